"""What settings come to that can be read but can't be meant: policies that contradict each other, routes that can
never match, and where precedence decides. Free of I/O; each finding carries a request that shows it."""

from __future__ import annotations

from collections.abc import Generator, Iterable, Iterator

from anisefront.config.lexer import Problem, Severity, Word, fault
from anisefront.config.model import Entry, Model, Uses
from anisefront.config.types import Config
from anisefront.gateway.patterns import OTHER, OTHER_METHOD, Pattern, common, covers, rank, segments, shape
from anisefront.gateway.routing import RouteIndex
from anisefront.gateway.routes import Route

MOST_STEPS = 20_000  # of one pattern's walk through the others; a file that needs more is told less
MOST_OVERLAPS = 200  # pairs that are reported of one neighbourhood, and notes in all; thousands are no help to anybody
PAIRS = 50  # that are compared in one step


def examine(model: Model, config: Config, uses: Uses) -> Iterator[Problem]:
    """What is found of all lines but routes and keys, of which it takes no more than how often they use a name."""
    yield from _quotas(model, uses)
    yield from _classes(model)
    yield from _fleet(model, config)
    yield from _unused(model, uses)


def _found(
    word: Word, what: str, mend: str = "", severity: Severity = Severity.WARNING, code: str = "contradiction"
) -> Problem:
    return fault(word, what, mend, severity, code)


def _quotas(model: Model, uses: Uses) -> Iterator[Problem]:
    most, open_ended = max(uses.units, default=1.0), bool(uses.headers)
    for name, entry in model.named("quota").items():
        rate, ceiling, out = entry.get("rate", 0.0), entry.get("ceiling", 0.0), entry.get("max-out", 0)
        burst, ceiling_burst = entry.get("burst", rate), entry.get("ceiling-burst", ceiling)
        if not rate and not ceiling and not out:
            yield _found(entry.word, f"quota {name!r} holds nobody to anything", "give rate, max-out or ceiling")
        if rate and ceiling and ceiling < rate:
            yield _found(
                entry.place("ceiling"),
                f"quota {name!r}: its ceiling is below its rate",
                "raise the ceiling, or lower the rate",
                Severity.ERROR,
            )
        if rate and ceiling and ceiling_burst < burst:
            yield _found(
                entry.place("ceiling-burst"),
                f"quota {name!r}: the ceiling's burst is below the burst",
                "what the quota allows at once the ceiling refuses",
            )
        if rate and burst < 1:
            yield _found(
                entry.place("burst"),
                f"quota {name!r}: a burst of {burst:g} that no request can use",
                "the smallest request counts 1 unit",
                Severity.ERROR,
            )
        elif rate and not open_ended and burst < most:
            yield _found(
                entry.place("burst"),
                f"quota {name!r}: requests of {most:g} units never fit its burst",
                f"raise it to {most:g} or more",
            )
        if rate and out:
            yield _found(
                entry.place("max-out"),
                f"quota {name!r}: with max-out its rate counts at the home alone",
                "",
                Severity.NOTE,
            )


def owners(entries: Iterable[Entry]) -> Iterator[Problem]:
    """Customers on two plans, of the keys that are given, in the order of their lines."""
    known: dict[str, Entry] = {}
    for entry in entries:
        customer = entry.options["customer"]
        first = known.setdefault(customer, entry)
        if first.options["plan"] != entry.options["plan"]:
            yield _found(
                entry.place("plan"),
                f"customer {customer!r} is on two plans, first in line {first.word.place.line}",
                "keys of one customer count against one quota",
                Severity.ERROR,
            )


def _classes(model: Model) -> Iterator[Problem]:
    park = model.one("path").get("park", 100.0)
    log, again = model.one("path").get("log", 1000.0), model.one("path").get("ask-again", 500.0)
    for name, entry in model.named("class").items():
        if entry.options["repeat"] == "keyed" and entry.get("window", 0.0) <= 2 * park:
            yield _found(
                entry.place("window"),
                f"class {name!r}: its window leaves no time for a repeat",
                f"the way over a proxy takes twice park, {2 * park:g}ms, of it",
            )
        if entry.get("worth", 1.0) == 0:
            yield _found(entry.place("worth"), f"class {name!r} is worth nothing: all others go before it")
        if entry.get("late-worth", 0.0) and entry.options["deadline"] == entry.options["aim"]:
            yield _found(entry.place("late-worth"), f"class {name!r}: no answer can be late, its deadline is its aim")
        if again >= entry.options["deadline"]:
            yield _found(
                model.one("path").place("ask-again"),
                f"ask-again outlasts the deadline of class {name!r}",
                "no further attempt can be in time",
            )
    if log < park:
        yield _found(model.one("path").place("log"), "logs are given less time than a send waits for its check")
    attempts = model.one("attempts")
    if attempts.arguments.get("most", 3) == 1 and attempts.get("second-copies") == "yes":
        yield _found(attempts.place("second-copies"), "second copies where one attempt is all")


def _fleet(model: Model, config: Config) -> Iterator[Problem]:
    drain, stop = model.one("drain"), model.one("stop")
    if config.drain_ms > config.stop_ms:
        yield _found(
            drain.place("time") if drain.places else stop.place("time"),
            f"a drain of {config.drain_ms:g}ms, but the process is killed after {config.stop_ms:g}ms",
            "raise stop above drain",
            Severity.ERROR if drain.places and stop.places else Severity.WARNING,
        )
    longest = max(entry.options["deadline"] for entry in model.of("class"))
    if config.drain_ms < longest:
        yield _found(
            drain.place("time"),
            f"a drain of {config.drain_ms:g}ms cuts off requests that may take {longest:g}ms",
            "",
            Severity.NOTE,
        )
    listed, count = {entry.arguments["number"] for entry in model.of("peer")}, config.settings.gateways
    missing = sorted(set(range(count)) - listed - {config.settings.number})
    if missing:
        word = model.of("peer")[0].word if listed else model.one("gatekeeper").word
        yield _found(
            word,
            f"no peer line for gatekeeper {', '.join(map(str, missing[:5]))}",
            "quotas of customers whose home it is go on credit",
        )
    elif count > 1 and config.settings.number not in listed:
        yield _found(
            model.of("peer")[0].word,
            f"a peer list without ourselves, gatekeeper {config.settings.number}",
            "one list for the whole fleet can be included by all",
            Severity.NOTE,
        )
    seen: dict[tuple[str, int], Entry] = {}
    for entry in model.of("listen"):
        address = entry.arguments["address"]
        kind = entry.arguments["front"] == "peers"
        other = seen.setdefault((address, kind), entry)
        if other is not entry and address[1]:
            yield _found(entry.place("address"), "two fronts on one port", "give each its own", Severity.ERROR)


def _unused(model: Model, uses: Uses) -> Iterator[Problem]:
    plans = {*uses.plans, model.one("customers").get("plan")}
    quotas = {entry.options["quota"] for entry in model.of("plan")}
    for what, known, used, by in (
        ("class", model.named("class"), uses.classes, "no route leads to it"),
        ("pool", model.named("pool"), uses.pools, "no route reaches it"),
        ("plan", model.named("plan"), plans, "no customer is on it"),
        ("quota", model.named("quota"), quotas, "no plan has it"),
    ):
        for name, entry in known.items():
            if name not in used:
                yield _found(entry.place("name"), f"{what} {name!r}: {by}", "", code="unused")


# ---- routes ---------------------------------------------------------------------------------------------------


Lines = list[tuple[Word, Route]]  # where routes stand, and what they are, in their order


def neighbourhood(pattern: Pattern) -> str:
    """All routes that can contradict each other or be taken for one another have the same: host and shape, whatever
    the case and a final slash."""
    path = "/".join(":" if segment.startswith(":") else segment for segment in pattern.path.split("/"))
    return f"{pattern.host} {path.lower().rstrip('/')}"


def routes(lines: Lines, notes: bool = True) -> Iterator[Problem]:
    """What is found of all routes: errors and warnings by neighbourhoods; and notes, for which each is held against
    all others."""
    grouped: dict[str, Lines] = {}
    for line in lines:
        grouped.setdefault(neighbourhood(line[1].pattern), []).append(line)
    dead: set[int] = set()
    for each in grouped.values():
        yield from (found for found in neighbours(each, dead) if found is not None)
    if notes:
        yield from _crossings([line for line in lines if id(line) not in dead])
        yield from _slips(lines)


def neighbours(lines: Lines, never: set[int]) -> Iterator[Problem | None]:
    """What is found of the routes of one neighbourhood: those that never match, whose ids go to `never`; pairs that
    overlap with different outcomes; near twins. None stands for a step's work without a finding."""
    if len(lines) == 1:
        return
    groups: dict[tuple, list[int]] = {}
    for number, (_, route) in enumerate(lines):
        if number % PAIRS == PAIRS - 1:
            yield None
        groups.setdefault((route.pattern.host, shape(route.pattern.path)), []).append(number)
    dead: set[int] = set()
    for numbers in groups.values():
        for number in numbers:
            covering = yield from _covering(lines, numbers, number)
            if covering is not None:
                dead.add(number)
                never.add(id(lines[number]))
                word, route = lines[number]
                by = lines[covering]
                same = "" if by[1].outcome == route.outcome else ", with another outcome"
                yield _found(
                    word,
                    f"this route never matches: line {by[0].place.line} takes all of it{same}",
                    "remove it, or put it first",
                    Severity.ERROR if same else Severity.WARNING,
                    "unreachable",
                )
    yield from _overlaps(lines, groups, dead)
    yield from _twins(lines)


def _covering(lines: Lines, numbers: list[int], number: int) -> Generator[None, None, int | None]:
    """The route that takes all of another's requests, or that takes what is left of them for each method."""
    pattern, left, last = lines[number][1].pattern, set(lines[number][1].pattern.methods), None
    for at, other in enumerate(numbers):
        if at % PAIRS == PAIRS - 1:
            yield
        if other == number:
            continue
        higher = lines[other][1].pattern
        for method in sorted(left):
            mine = rank(pattern, method, number)
            theirs = rank(higher, method if method in higher.methods else "*", other)
            single = type(pattern)((method,), pattern.path, pattern.host, pattern.when)
            if theirs < mine and covers(higher, single):
                left.discard(method)
                last = other
    return last if not left else None


def _overlaps(lines: Lines, groups: dict[tuple, list[int]], dead: set[int]) -> Iterator[Problem | None]:
    """Pairs of one shape with requests in common and different outcomes, decided by conditions or by line order, which
    is easily overlooked."""
    told = 0
    for numbers in groups.values():
        for at, first in enumerate(numbers):
            for count, second in enumerate(numbers[at + 1 :], 1):
                if count % PAIRS == 0:
                    yield None
                if told >= MOST_OVERLAPS or first in dead or second in dead:
                    continue
                a, b = lines[first][1], lines[second][1]
                if a.outcome == b.outcome or len(a.pattern.when) != len(b.pattern.when):
                    continue
                shared = common(a.pattern, b.pattern)
                if shared:
                    told += 1
                    yield _found(
                        lines[second][0],
                        f"overlaps line {lines[first][0].place.line} with another outcome: "
                        f"{shared[0]} goes there, by order of lines",
                        "make the conditions exclude each other",
                        Severity.WARNING,
                        "overlap",
                    )


def _crossings(lines: Lines) -> Iterator[Problem]:
    """Pairs of several shapes with requests in common and different outcomes: being more particular decides."""
    notes = 0
    for first, second in dict.fromkeys(_crossing(lines)):
        if notes >= MOST_OVERLAPS:
            return
        a, b = lines[first][1], lines[second][1]
        if a.outcome == b.outcome:
            continue
        shared = common(a.pattern, b.pattern)
        if shared:
            notes += 1
            winner = min((first, second), key=lambda n: rank(lines[n][1].pattern, shared[0].method, n))
            yield _found(
                lines[max(first, second)][0],
                f"overlaps line {lines[min(first, second)][0].place.line} with "
                f"another outcome: {shared[0]} goes to line {lines[winner][0].place.line}, which is more "
                "particular",
                "",
                Severity.NOTE,
                "overlap",
            )


class _Branch:
    """A place in a trie of path patterns."""

    __slots__ = ("here", "literals", "parameter", "tails")

    def __init__(self) -> None:
        self.literals: dict[str, _Branch] = {}
        self.parameter: _Branch | None = None
        self.tails: dict[str, list[int]] = {}
        self.here: list[int] = []


def _crossing(lines: Lines) -> Iterator[tuple[int, int]]:
    """Pairs of which each is somewhere wider than the other, by walking every pattern through a trie of all.

    Where one is a special case of the other nobody is surprised, so such branches are not followed."""
    root = _Branch()
    for number, (_, route) in enumerate(lines):
        node = root
        for segment in segments(route.pattern.path):
            if segment.startswith(":"):
                node.parameter = node = node.parameter or _Branch()
            elif segment.endswith("*"):
                node.tails.setdefault(segment[:-1], []).append(number)
                node = None
            else:
                node = node.literals.setdefault(segment, _Branch())
        if node is not None:
            node.here.append(number)
    for number, (_, route) in enumerate(lines):
        own = segments(route.pattern.path)
        if any(segment.startswith(":") or segment.endswith("*") for segment in own):
            yield from ((other, number) for other in _crossed(root, own) if other < number)
            yield from ((number, other) for other in _crossed(root, own) if other > number)


def _crossed(root: _Branch, own: list[str]) -> Iterator[int]:
    """Patterns that are wider than `own` at one place and narrower at another."""
    stack, steps = [(root, 0, False, False)], 0
    while stack and steps < MOST_STEPS:
        node, at, wider, narrower = stack.pop()
        steps += 1
        if at >= len(own):
            if at == len(own) and wider and narrower:
                yield from node.here
            continue
        segment = own[at]
        parameter = segment.startswith(":")
        if segment.endswith("*") and not parameter:
            yield from _below(node, segment[:-1], wider, narrower)
            continue
        for prefix, others in node.tails.items():  # wider in what follows; narrower than a parameter by its prefix
            if (narrower or parameter and prefix) and (parameter or segment.startswith(prefix)):
                yield from others
        if parameter:
            stack += [(child, at + 1, wider, True) for child in node.literals.values()]
        elif segment in node.literals:
            stack.append((node.literals[segment], at + 1, wider, narrower))
        if node.parameter is not None:
            stack.append((node.parameter, at + 1, wider or not parameter, narrower))


def _below(node: _Branch, prefix: str, wider: bool, narrower: bool) -> Iterator[int]:
    """Patterns that have something in common with a final prefix*, and are wider somewhere besides."""
    for tail, others in node.tails.items():
        if tail.startswith(prefix) and wider or prefix.startswith(tail) and narrower:
            yield from others
    stack = [child for segment, child in node.literals.items() if segment.startswith(prefix)] if wider else []
    if node.parameter is not None and (wider or prefix):
        stack.append(node.parameter)
    while stack:
        branch = stack.pop()
        yield from branch.here
        yield from (other for others in branch.tails.values() for other in others)
        stack += [*branch.literals.values(), *([branch.parameter] if branch.parameter is not None else [])]


def _slips(lines: Lines) -> Iterator[Problem]:
    """Routes of which a raw form goes by another, wider route with another outcome, though many workers take it for
    the same: with a final slash, in other letters, with a parameter behind a semicolon. All other raw forms are
    brought to one or refused."""
    index, told = RouteIndex(tuple(route for _, route in lines)), 0
    for word, route in lines:
        pattern = route.pattern
        literal = not any(segment.startswith(":") or segment.endswith("*") for segment in segments(pattern.path))
        if not literal or pattern.path == "/" or told >= MOST_OVERLAPS:
            continue
        host = "other-host" + pattern.host[1:] if pattern.host.startswith("*.") else pattern.host
        headers = {name: OTHER if value == "*" else value for name, value in pattern.when}
        method = pattern.methods[0] if pattern.methods[0] != "*" else OTHER_METHOD
        for raw in (pattern.path + "/", pattern.path.swapcase(), pattern.path + ";x"):
            other = index.find(method, host, raw, headers)
            if other >= 0 and lines[other][1].outcome != route.outcome and lines[other][1].pattern.path != raw:
                told += 1
                yield _found(
                    word,
                    f"{raw} goes by line {lines[other][0].place.line} with another outcome, and workers "
                    f"may take it for {pattern.path}",
                    "see that they do not, or give it a route of its own",
                    Severity.NOTE,
                    "slips",
                )
                break


def _twins(lines: Lines) -> Iterator[Problem | None]:
    """Routes that differ in case or in a final slash alone: to a request they are two."""
    seen: dict[tuple, int] = {}
    for number, (word, route) in enumerate(lines):
        if number % PAIRS == PAIRS - 1:
            yield None
        pattern = route.pattern
        key = (pattern.host, pattern.methods, pattern.when, pattern.path.lower().rstrip("/") or "/")
        first = seen.setdefault(key, number)
        other = lines[first][1]
        if first != number and other.pattern.path != pattern.path and other.outcome != route.outcome:
            how = "a final slash" if other.pattern.path.lower() != pattern.path.lower() else "case"
            yield _found(
                word,
                f"differs from line {lines[first][0].place.line} by {how} alone, with another outcome",
                "paths are compared letter by letter",
                Severity.WARNING,
                "twins",
            )
