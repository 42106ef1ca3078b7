"""Semantic checks of all lines except routes: contradictory policies and unused definitions.

They run on entries that are valid by themselves. Free of I/O.
"""

from __future__ import annotations

from collections.abc import Iterable, Iterator

from anisefront.config.config_builder import Entry, EntryTable, UsageCounts
from anisefront.config.lexer import Lexeme, Problem, Severity, problem_at
from anisefront.config.types import Config

MAX_LISTED_PEERS = 5  # in one message on missing peer lines


def check_semantics(entries: EntryTable, config: Config, usage: UsageCounts) -> Iterator[Problem]:
    """Check all lines except routes and keys, of which only the counts in `usage` are needed."""
    yield from _check_quotas(entries, usage)
    yield from _check_classes(entries)
    yield from _check_timeouts_and_attempts(entries)
    yield from _check_drain(entries, config)
    yield from _check_peers(entries, config)
    yield from _check_listeners(entries)
    yield from _check_unused(entries, usage)


def check_customer_plans(entries: Iterable[Entry]) -> Iterator[Problem]:
    """Report customers with keys on two plans; the given keys are in the order of their lines."""
    first_keys: dict[str, Entry] = {}
    for entry in entries:
        customer = entry.options["customer"]
        first_entry = first_keys.setdefault(customer, entry)
        if first_entry.options["plan"] != entry.options["plan"]:
            yield _problem(
                entry.lexeme_of("plan"),
                f"customer {customer!r} is on two plans, first in line {first_entry.lexeme.location.line}",
                "keys of one customer count against one quota",
                Severity.ERROR,
            )


def _problem(
    lexeme: Lexeme,
    message: str,
    suggestion: str = "",
    severity: Severity = Severity.WARNING,
    code: str = "contradiction",
) -> Problem:
    return problem_at(lexeme, message, suggestion, severity, code)


def _check_quotas(entries: EntryTable, usage: UsageCounts) -> Iterator[Problem]:
    for name, entry in entries.by_name("quota").items():
        yield from _check_limits(name, entry)
        yield from _check_ceiling(name, entry)
        yield from _check_burst(name, entry, usage)
        if entry.get("rate", 0.0) and entry.get("max-out", 0):
            yield _problem(
                entry.lexeme_of("max-out"),
                f"quota {name!r}: with max-out its rate counts at the home alone",
                "",
                Severity.NOTE,
            )


def _check_limits(name: str, entry: Entry) -> Iterator[Problem]:
    if not entry.get("rate", 0.0) and not entry.get("ceiling", 0.0) and not entry.get("max-out", 0):
        yield _problem(entry.lexeme, f"quota {name!r} holds nobody to anything", "give rate, max-out or ceiling")


def _check_ceiling(name: str, entry: Entry) -> Iterator[Problem]:
    rate = entry.get("rate", 0.0)
    ceiling = entry.get("ceiling", 0.0)
    if not rate or not ceiling:
        return
    if ceiling < rate:
        yield _problem(
            entry.lexeme_of("ceiling"),
            f"quota {name!r}: its ceiling is below its rate",
            "raise the ceiling, or lower the rate",
            Severity.ERROR,
        )
    if entry.get("ceiling-burst", ceiling) < entry.get("burst", rate):
        yield _problem(
            entry.lexeme_of("ceiling-burst"),
            f"quota {name!r}: the ceiling's burst is below the burst",
            "what the quota allows at once the ceiling refuses",
        )


def _check_burst(name: str, entry: Entry, usage: UsageCounts) -> Iterator[Problem]:
    rate = entry.get("rate", 0.0)
    if not rate:
        return
    burst = entry.get("burst", rate)
    max_units = max(usage.units, default=1.0)
    if burst < 1:
        yield _problem(
            entry.lexeme_of("burst"),
            f"quota {name!r}: a burst of {burst:g} that no request can use",
            "the smallest request counts 1 unit",
            Severity.ERROR,
        )
    elif not usage.units_headers and burst < max_units:
        yield _problem(
            entry.lexeme_of("burst"),
            f"quota {name!r}: requests of {max_units:g} units never fit its burst",
            f"raise it to {max_units:g} or more",
        )


def _check_classes(entries: EntryTable) -> Iterator[Problem]:
    path = entries.single("path")
    park_ms = path.get("park", 100.0)
    poll_interval_ms = path.get("ask-again", 500.0)
    for name, entry in entries.by_name("class").items():
        if entry.options["repeat"] == "keyed" and entry.get("window", 0.0) <= 2 * park_ms:
            yield _problem(
                entry.lexeme_of("window"),
                f"class {name!r}: its window leaves no time for a repeat",
                f"the way over a proxy takes twice park, {2 * park_ms:g}ms, of it",
            )
        if entry.get("worth", 1.0) == 0:
            yield _problem(entry.lexeme_of("worth"), f"class {name!r} is worth nothing: all others go before it")
        if entry.get("late-worth", 0.0) and entry.options["deadline"] == entry.options["aim"]:
            yield _problem(
                entry.lexeme_of("late-worth"), f"class {name!r}: no answer can be late, its deadline is its aim"
            )
        if poll_interval_ms >= entry.options["deadline"]:
            yield _problem(
                path.lexeme_of("ask-again"),
                f"ask-again outlasts the deadline of class {name!r}",
                "no further attempt can be in time",
            )


def _check_timeouts_and_attempts(entries: EntryTable) -> Iterator[Problem]:
    path = entries.single("path")
    if path.get("log", 1000.0) < path.get("park", 100.0):
        yield _problem(path.lexeme_of("log"), "logs are given less time than a send waits for its check")
    attempts = entries.single("attempts")
    if attempts.arguments.get("most", 3) == 1 and attempts.get("second-copies") == "yes":
        yield _problem(attempts.lexeme_of("second-copies"), "second copies where one attempt is all")


def _check_drain(entries: EntryTable, config: Config) -> Iterator[Problem]:
    drain = entries.single("drain")
    stop = entries.single("stop")
    if config.drain_ms > config.stop_ms:
        yield _problem(
            drain.lexeme_of("time") if drain.lexemes else stop.lexeme_of("time"),
            f"a drain of {config.drain_ms:g}ms, but the process is killed after {config.stop_ms:g}ms",
            "raise stop above drain",
            Severity.ERROR if drain.lexemes and stop.lexemes else Severity.WARNING,
        )
    max_deadline_ms = max(entry.options["deadline"] for entry in entries.all_of("class"))
    if config.drain_ms < max_deadline_ms:
        yield _problem(
            drain.lexeme_of("time"),
            f"a drain of {config.drain_ms:g}ms cuts off requests that may take {max_deadline_ms:g}ms",
            "",
            Severity.NOTE,
        )


def _check_peers(entries: EntryTable, config: Config) -> Iterator[Problem]:
    own_number = config.settings.number
    gateway_count = config.settings.gateways
    peers = entries.all_of("peer")
    listed = {entry.arguments["number"] for entry in peers}
    missing = sorted(set(range(gateway_count)) - listed - {own_number})
    if missing:
        yield _problem(
            peers[0].lexeme if listed else entries.single("gatekeeper").lexeme,
            f"no peer line for gatekeeper {', '.join(map(str, missing[:MAX_LISTED_PEERS]))}",
            "quotas of customers whose home it is go on credit",
        )
    elif gateway_count > 1 and own_number not in listed:
        yield _problem(
            peers[0].lexeme,
            f"the peer list does not contain this gatekeeper, {own_number}",
            "one list for the whole fleet can be included by all gatekeepers",
            Severity.NOTE,
        )


def _check_listeners(entries: EntryTable) -> Iterator[Problem]:
    """Report two listeners on one port; UDP (peers) and TCP ports are separate, and port 0 means any free port."""
    first_listeners: dict[tuple[tuple[str, int], bool], Entry] = {}
    for entry in entries.all_of("listen"):
        address = entry.arguments["address"]
        is_udp = entry.arguments["front"] == "peers"
        first_entry = first_listeners.setdefault((address, is_udp), entry)
        if first_entry is not entry and address[1]:
            yield _problem(entry.lexeme_of("address"), "two fronts on one port", "give each its own", Severity.ERROR)


def _check_unused(entries: EntryTable, usage: UsageCounts) -> Iterator[Problem]:
    plans = {*usage.plans, entries.single("customers").get("plan")}
    quotas = {entry.options["quota"] for entry in entries.all_of("plan")}
    for directive, used, reason in (
        ("class", usage.classes, "no route leads to it"),
        ("pool", usage.pools, "no route reaches it"),
        ("plan", plans, "no customer is on it"),
        ("quota", quotas, "no plan has it"),
    ):
        for name, entry in entries.by_name(directive).items():
            if name not in used:
                yield _problem(entry.lexeme_of("name"), f"{directive} {name!r}: {reason}", "", code="unused")
