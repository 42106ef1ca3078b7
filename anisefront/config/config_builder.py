"""Entries read from directives, and the settings built from them. An entry has the location of each of its values."""

from __future__ import annotations

import hashlib
from collections import Counter
from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field
from sys import intern  # thousands of routes and keys share a few names
from typing import Any

from anisefront.config.lexer import Lexeme, Location, Problem, Severity, problem_at
from anisefront.config.types import Address, Config, Embedded, Recording
from anisefront.gateway.patterns import Pattern
from anisefront.gateway.routes import Key, Route
from anisefront.policy.peer_codec import MAX_CLASSES, MAX_PLANS
from anisefront.policy.settings import DeduplicationScope, Idempotency, Plan, RequestClass, Settings

_METHODS = {(method,): (method,) for method in ("GET", "POST", "PUT", "PATCH", "DELETE", "HEAD", "OPTIONS", "*")}
# Once the peer messages received exceed three eighths of this rate, quota requests and their replies wait up to 60 ms
# each to be batched (`PeerOutbox.flush`). A gateway instance receives 142 messages a second at the planned peak, 284 at
# twice the peak: with 200 here the wait for a batch dominates the time that a request is queued.
MESSAGES_PER_S = 1000.0
MIN_SECRET_BYTES = 16
MIN_PROBE_PERIOD_MS = 20.0
MAX_PROBE_PERIOD_MS = 60_000.0
MIN_LEASE_MS = 100.0
MAX_LEASE_MS = 60_000.0
TICK_MS = 5.0  # interval between timer ticks of the policy; its safety margins are twice this


@dataclass(slots=True)
class Entry:
    """One directive with its parsed values.

    Attributes:
        name: Name of the directive.
        lexeme: That name in the source.
        arguments: Values of the arguments.
        options: Values of the options that are given.
        lexemes: The source of each argument and option.
        unreadable: Options that may be given, but could not be read.
        seen: Options that are given, valid or not.
    """

    name: str
    lexeme: Lexeme
    arguments: dict[str, Any] = field(default_factory=dict)
    options: dict[str, Any] = field(default_factory=dict)
    lexemes: dict[str, Lexeme] = field(default_factory=dict)
    unreadable: set[str] = field(default_factory=set)
    seen: set[str] = field(default_factory=set)

    def get(self, name: str, default: Any = None) -> Any:
        """Return the value of an option."""
        return self.options.get(name, default)

    def lexeme_of(self, name: str) -> Lexeme:
        """Return the source of a value, or the directive's name if the value is not given."""
        return self.lexemes.get(name, self.lexeme)


class EntryTable:
    """All entries, by directive."""

    def __init__(self) -> None:
        """Create an empty table."""
        self._entries: dict[str, list[Entry]] = {}

    def add(self, entry: Entry) -> None:
        """Add an entry."""
        self._entries.setdefault(entry.name, []).append(entry)

    def all_of(self, name: str) -> list[Entry]:
        """Return the entries of a directive, in the order of their lines."""
        return self._entries.get(name, [])

    def single(self, name: str) -> Entry:
        """Return the entry of a directive that may occur once; an empty one if it is missing."""
        return (self.all_of(name) or [Entry(name, Lexeme("", Location(0, 1, 1)))])[0]

    def by_name(self, name: str) -> dict[str, Entry]:
        """Return the entries of a directive by their first argument."""
        return {next(iter(entry.arguments.values())): entry for entry in self.all_of(name)}

    def all(self) -> list[Entry]:
        """Return all entries."""
        return [entry for entries in self._entries.values() for entry in entries]


class UsageCounts:
    """Counts of the routes and keys that use each name, and of the units per request of routes.

    The checks of other lines need only these counts, which can be updated when a line is added or removed.
    """

    def __init__(self) -> None:
        """Create counts of zero."""
        self.classes: Counter[str] = Counter()
        self.pools: Counter[str] = Counter()
        self.plans: Counter[str] = Counter()
        self.units: Counter[float] = Counter()
        self.units_headers = 0  # routes that read the units of a request from a header

    @classmethod
    def count(cls, routes: Iterable[Route], keys: Iterable[Key]) -> UsageCounts:
        """Return the counts of the given routes and keys."""
        out = cls()
        for item in routes:
            out.count_route(item, 1)
        for item in keys:
            out.count_key(item, 1)
        return out

    def count_route(self, route: Route, change: int) -> None:
        """Add (`change` 1) or remove (-1) a route."""
        for counter, name in ((self.classes, route.class_name), (self.pools, route.pool), (self.units, route.units)):
            _count(counter, name, change)
        self.units_headers += change if route.units_header else 0

    def count_key(self, key: Key, change: int) -> None:
        """Add (`change` 1) or remove (-1) a key."""
        _count(self.plans, key.plan, change)


def _count(counter: Counter, name: Any, change: int) -> None:
    counter[name] += change
    if not counter[name]:
        del counter[name]


def find_second_pool(usage: UsageCounts) -> str:
    """Return the name of a second pool that routes use; "" if there is none.

    An instance has one policy controller with one set of endpoints, so all routes must use the same pool.
    """
    return sorted(usage.pools)[1] if len(usage.pools) > 1 else ""


def multiple_pools_problem(lexeme: Lexeme, usage: UsageCounts) -> Problem:
    """Return the problem reported at the first route that uses a second pool."""
    return problem_at(
        lexeme,
        f"routes reach {len(usage.pools)} pools: {', '.join(sorted(usage.pools))}",
        "a gatekeeper serves one pool; run another for the other",
        code="range",
    )


def build_config(
    entries: EntryTable, usage: UsageCounts, routes: tuple[Route, ...], keys: Mapping[str, Key], problems: list[Problem]
) -> Config | None:
    """Build the settings from all entries and from the given routes and keys.

    Returns:
        The settings; None if values are out of range, which is reported in `problems`.
    """
    before = len(problems)
    pool = _select_pool(entries, usage, problems)
    _check_numbers(entries, problems)
    _check_secret(entries, problems)
    _check_members(entries, problems)
    _check_keepers(entries, problems)
    for entry in entries.all_of("class"):
        _check_class(entry, problems)
    _check_counts(entries, problems)
    if any(problem.severity is Severity.ERROR for problem in problems[before:]):
        return None
    secret = entries.single("secret").arguments.get("text", "")
    return _assemble_config(entries, pool, _build_settings(entries, pool, secret), routes, keys)


def _check_numbers(entries: EntryTable, problems: list[Problem]) -> None:
    gatekeeper = entries.single("gatekeeper")
    number = gatekeeper.arguments["number"]
    count = gatekeeper.options["of"]
    suggestion = "numbers begin at 0 and end below the count"
    if count < 1 or number >= count:
        problems.append(
            problem_at(gatekeeper.lexeme_of("number"), f"gatekeeper {number} of {count}", suggestion, code="range")
        )
    if not count:
        return
    for other, entry in _peers(entries).items():
        if other >= count:
            problems.append(
                problem_at(entry.lexeme_of("number"), f"peer {other} of {count} gatekeepers", suggestion, code="range")
            )


def _peers(entries: EntryTable) -> dict[int, Entry]:
    return {entry.arguments["number"]: entry for entry in entries.all_of("peer")}


def _check_secret(entries: EntryTable, problems: list[Problem]) -> None:
    entry = entries.single("secret")
    secret = entry.arguments.get("text", "")
    size = len(secret.encode())
    if secret and size < MIN_SECRET_BYTES:
        problems.append(
            problem_at(entry.lexeme_of("text"), f"a secret of {size} bytes", "at least 16 are due", code="range")
        )
    gatekeeper = entries.single("gatekeeper")
    count = gatekeeper.options["of"]
    listens_to_peers = "peers" in entries.by_name("listen")
    if count > 1 and (not listens_to_peers or not secret):
        missing = "secret" if listens_to_peers else "listen peers"
        problems.append(
            problem_at(
                gatekeeper.lexeme,
                f"a fleet of {count} without a {missing!r} line",
                "gatekeepers share quotas by authenticated datagrams",
                code="missing",
            )
        )


def _check_members(entries: EntryTable, problems: list[Problem]) -> None:
    has_datagrams = "peers" in entries.by_name("listen") and entries.single("secret").arguments.get("text", "")
    for entry in entries.all_of("members"):
        if not has_datagrams:
            problems.append(
                problem_at(
                    entry.lexeme,
                    "members without 'listen peers' and 'secret' lines",
                    "probes are sent as authenticated datagrams between gatekeepers",
                    code="missing",
                )
            )
        if not MIN_PROBE_PERIOD_MS <= entry.get("period", 1000.0) <= MAX_PROBE_PERIOD_MS:
            message = "a period of probes that is not within 20ms and 60s"
            problems.append(problem_at(entry.lexeme_of("period"), message, "1s is usual", code="range"))


def _check_keepers(entries: EntryTable, problems: list[Problem]) -> None:
    for entry in entries.all_of("keepers"):
        if not entries.all_of("members"):
            message = "keepers without a 'members' line"
            problems.append(
                problem_at(entry.lexeme, message, "keepers are chosen among the members that are alive", code="missing")
            )
        if not MIN_LEASE_MS <= entry.get("lease", 1000.0) <= MAX_LEASE_MS:
            message = "a lease that is not within 100ms and 60s"
            problems.append(problem_at(entry.lexeme_of("lease"), message, "1s is usual", code="range"))


def _check_counts(entries: EntryTable, problems: list[Problem]) -> None:
    if len(entries.all_of("class")) > MAX_CLASSES or len(entries.all_of("plan")) > MAX_PLANS:
        lexeme = entries.single("gatekeeper").lexeme
        problems.append(
            problem_at(lexeme, "more than 16 classes or plans", "peer messages have room for 16", code="range")
        )
    attempts = entries.single("attempts")
    if attempts.arguments.get("most", 3) < 1:
        problems.append(problem_at(attempts.lexeme_of("most"), "no attempt at all", "at least 1 is due", code="range"))


def _build_settings(entries: EntryTable, pool: Entry, secret: str) -> Settings:
    gatekeeper = entries.single("gatekeeper")
    count = gatekeeper.options["of"]
    limits = entries.single("limits")
    attempts = entries.single("attempts")
    park_ms = entries.single("path").get("park", 100.0)
    report_fields = entries.single("report").arguments.get("values", ())
    return Settings(
        gateways=count,
        number=gatekeeper.arguments["number"],
        zone=gatekeeper.get("zone", ""),
        classes=tuple(_build_class(entry, park_ms) for entry in entries.all_of("class")),
        plans=tuple(_build_plan(entry, entries) for entry in entries.all_of("plan")),
        warm_up_ms=pool.get("warm-up", 10_000.0),
        slow_start_initial_factor=pool.get("cold-from", 0.2),
        overload_multiple=pool.get("fall-multiple", 3.0),
        overload_window_ms=pool.get("fall-window", 2000.0),
        max_attempts=attempts.arguments.get("most", 3),
        hedging_enabled=attempts.get("second-copies", "yes") == "yes",
        tick_ms=TICK_MS,
        max_units=limits.get("units", 1000.0),
        peer_messages_enabled=count > 1,
        max_retry_after_ms=limits.get("retry-after", 5000.0),
        inbox_per_s=entries.single("messages").arguments.get("rate", MESSAGES_PER_S) if count > 1 else 0.0,
        load_report_mode="answers" if report_fields else "none",
        load_report_fields=report_fields,
        # Derived from the secret, so that outsiders cannot predict which names share a tag.
        tag_key=hashlib.blake2b(secret.encode(), digest_size=32, person=b"anisefront tags").digest() if secret else b"",
    )


def _assemble_config(
    entries: EntryTable, pool: Entry, settings: Settings, routes: tuple[Route, ...], keys: Mapping[str, Key]
) -> Config:
    count = settings.gateways
    number = settings.number
    peers = _peers(entries)
    listens = entries.by_name("listen")
    limits = entries.single("limits")
    path = entries.single("path")
    secret = entries.single("secret").arguments.get("text", "")
    customers = entries.single("customers")
    address = {front: Address(*entry.arguments["address"]) for front, entry in listens.items()}
    embedded = (
        Embedded(pool.options["embedded"], pool.get("cores", 2), pool.get("service", 1.0))
        if "embedded" in pool.options
        else None
    )
    return Config(
        settings=settings,
        routes=routes,
        keys=keys,
        customer_header=customers.options["header"],
        default_plan=customers.get("plan", ""),
        repeat_header=entries.single("repeat-header").arguments.get("header", ""),
        spread=min(count, customers.get("spread", count)),
        grpc=address.get("grpc"),
        jsonrpc=address.get("jsonrpc"),
        peers_listen=address.get("peers"),
        peers={other: Address(*entry.arguments["address"]) for other, entry in peers.items() if other != number},
        secret=secret.encode(),
        roster_file=pool.get("roster", ""),
        embedded=embedded,
        log_ms=path.get("log", 1000.0),
        ask_again_ms=path.get("ask-again", 500.0),
        park_ms=path.get("park", 100.0),
        drain_ms=entries.single("drain").arguments.get("time", 10_000.0),
        stop_ms=entries.single("stop").arguments.get("time", 15_000.0),
        most_open=limits.get("open", 50_000),
        most_connections=limits.get("connections", 512),
        seed=entries.single("seed").arguments.get("number"),
        recording=_build_recording(entries),
        members_ms=entries.single("members").get("period", 1000.0) if entries.all_of("members") else 0.0,
        rooms={other: entry.get("zone", "") for other, entry in peers.items()},
        lease_ms=entries.single("keepers").get("lease", 1000.0) if entries.all_of("keepers") else 0.0,
        most_records=entries.single("keepers").get("records", 50_000),
        protected_only=frozenset(
            entry.arguments["name"] for entry in entries.all_of("class") if entry.get("unprotected") == "refuse"
        ),
    )


def _build_recording(entries: EntryTable) -> Recording | None:
    entry = entries.single("record")
    if not entry.arguments:
        return None
    return Recording(
        entry.arguments["file"],
        entry.get("rotate", 64 << 20),
        max(1, entry.get("keep", 4)),
        entry.options["key"].encode(),
    )


def _select_pool(entries: EntryTable, usage: UsageCounts, problems: list[Problem]) -> Entry:
    """Return the pool that routes use."""
    pools = entries.by_name("pool")
    for entry in pools.values():
        if ("roster" in entry.options) == ("embedded" in entry.options):
            problems.append(
                problem_at(
                    entry.lexeme,
                    f"pool {entry.arguments['name']!r}: one of roster and embedded is due",
                    "",
                    code="range",
                )
            )
    return pools[min(usage.pools)] if usage.pools else entries.all_of("pool")[0]


def _check_class(entry: Entry, problems: list[Problem]) -> None:
    if entry.options["deadline"] < entry.options["aim"]:
        problems.append(
            problem_at(
                entry.lexeme_of("deadline"),
                "a deadline under its aim",
                "swap them, or lower the aim",
                code="contradiction",
            )
        )
    keyed = entry.options["repeat"] == "keyed"
    if keyed and "window" not in entry.options:
        problems.append(
            problem_at(
                entry.lexeme,
                f"class {entry.arguments['name']!r} is keyed without a window",
                "say for how long workers drop a repeat, such as window 5s",
                code="missing",
            )
        )
    for name in ("window", "scope"):
        if not keyed and name in entry.options:
            problems.append(
                problem_at(
                    entry.lexeme_of(name),
                    f"{name!r} of a class that is not keyed has no effect",
                    "remove it",
                    Severity.WARNING,
                    "contradiction",
                )
            )


def check_route(entry: Entry) -> Problem | None:
    """Return a problem of a route that the types of its values do not exclude."""
    for condition in entry.get("when", ()):
        if "=" not in condition[1:]:
            return problem_at(
                entry.lexeme_of("when"), f"condition {condition!r}", "write name=value or name=*", code="range"
            )
    return None


def key(entry: Entry) -> Key:
    """Return the key that an entry describes."""
    return Key(entry.options["customer"], intern(entry.options["plan"]))


def route(entry: Entry) -> Route:
    """Return the route that an entry describes."""
    when = tuple(sorted(tuple(condition.split("=", 1)) for condition in entry.get("when", ())))
    methods = tuple(dict.fromkeys(map(intern, entry.arguments["method"])))
    return plain_route(
        methods,
        entry.arguments["path"],
        entry.get("host", "*"),
        entry.options["class"],
        entry.options["pool"],
        when,
        entry.get("units", 1.0),
        entry.get("units-header", ""),
    )


def plain_route(
    methods: tuple[str, ...],
    path: str,
    host: str,
    class_name: str,
    pool: str,
    when: tuple[tuple[str, str], ...] = (),
    units: float = 1.0,
    units_header: str = "",
) -> Route:
    """Return a route whose names are interned, since thousands of routes share them."""
    return Route(
        Pattern(_METHODS.get(methods, methods), path, intern(host), when),
        intern(class_name),
        intern(pool),
        units,
        units_header,
    )


def _build_class(entry: Entry, park_ms: float) -> RequestClass:
    # A dispatched request may wait for its authorization check and then for its proxy, up to park_ms each: a repeat
    # must still reach the worker within the window.
    window = max(0.0, entry.get("window", 0.0) - 2 * park_ms)
    return RequestClass(
        entry.arguments["name"],
        entry.options["aim"],
        entry.options["deadline"],
        entry.get("worth", 1.0),
        Idempotency(entry.options["repeat"]),
        entry.get("late-worth", 0.0),
        DeduplicationScope(entry.get("scope", "all")),
        window,
    )


def _build_plan(entry: Entry, entries: EntryTable) -> Plan:
    quota = entries.by_name("quota")[entry.options["quota"]]
    rate, ceiling = quota.get("rate", 0.0), quota.get("ceiling", 0.0)
    return Plan(
        entry.arguments["name"],
        rate,
        quota.get("burst", rate),
        quota.get("max-out", 0),
        entry.get("value", 1.0),
        entry.get("over-worth", 0.0),
        entry.get("over-cost", 0.0),
        ceiling,
        quota.get("ceiling-burst", ceiling),
        quota.get("ceiling-slack", 0.0),
    )
