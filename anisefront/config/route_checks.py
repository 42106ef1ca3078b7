"""Checks of routes against each other: unreachable routes, overlaps, and paths that are easily confused.

A problem about precedence includes an example request. Free of I/O.
"""

from __future__ import annotations

from collections.abc import Generator, Iterator

from anisefront.config.lexer import Lexeme, Problem, Severity, problem_at
from anisefront.config.route_crossings import crossing_pairs, is_literal, is_parameter
from anisefront.gateway.patterns import OTHER, OTHER_METHOD, Pattern, common, covers, rank, shape
from anisefront.gateway.routes import Route
from anisefront.gateway.routing import RouteIndex

MAX_OVERLAPS = 200  # reported pairs of one group, and notes of each kind; thousands of messages would not help
PAIRS_PER_STEP = 50  # comparisons of two routes in one step

RouteLines = list[tuple[Lexeme, Route]]  # the name lexeme of each route's line, and the route, in order


def overlap_group(pattern: Pattern) -> str:
    """Return the key of the routes that can contradict each other or be confused.

    They have the same host, and the same shape of path apart from letter case and a final slash.
    """
    path = "/".join(":" if is_parameter(segment) else segment for segment in pattern.path.split("/"))
    return f"{pattern.host} {path.lower().rstrip('/')}"


def check_routes(lines: RouteLines, notes: bool = True) -> Iterator[Problem]:
    """Check all routes: errors and warnings group by group, then notes, which compare each route with all others."""
    groups: dict[str, RouteLines] = {}
    for line in lines:
        groups.setdefault(overlap_group(line[1].pattern), []).append(line)
    unreachable: set[int] = set()
    for group in groups.values():
        for problem in check_overlap_group(group, unreachable):
            if problem is not None:
                yield problem
    if notes:
        yield from _check_crossings([line for line in lines if id(line) not in unreachable])
        yield from _check_path_variants(lines)


def check_overlap_group(lines: RouteLines, unreachable: set[int]) -> Iterator[Problem | None]:
    """Check the routes of one group: those that never match, overlaps, and paths that differ in spelling only.

    Args:
        lines: The routes of the group.
        unreachable: Receives the `id` of each line whose route never matches.

    Yields:
        Each problem; None marks a step of work without one.
    """
    if len(lines) == 1:
        return
    by_shape: dict[tuple, list[int]] = {}
    for number, (_, route) in enumerate(lines):
        if number % PAIRS_PER_STEP == PAIRS_PER_STEP - 1:
            yield None
        by_shape.setdefault((route.pattern.host, shape(route.pattern.path)), []).append(number)
    unreachable_numbers: set[int] = set()
    for numbers in by_shape.values():
        for number in numbers:
            covering = yield from _find_covering(lines, numbers, number)
            if covering is not None:
                unreachable_numbers.add(number)
                unreachable.add(id(lines[number]))
                yield _unreachable_route(lines[number], lines[covering])
    yield from _check_overlaps(lines, list(by_shape.values()), unreachable_numbers)
    yield from _check_spelling(lines)


def _unreachable_route(line: tuple[Lexeme, Route], covering: tuple[Lexeme, Route]) -> Problem:
    same_outcome = covering[1].outcome == line[1].outcome
    difference = "" if same_outcome else ", with another outcome"
    return problem_at(
        line[0],
        f"this route never matches: line {covering[0].location.line} takes all of it{difference}",
        "remove it, or put it first",
        Severity.WARNING if same_outcome else Severity.ERROR,
        "unreachable",
    )


def _find_covering(lines: RouteLines, numbers: list[int], number: int) -> Generator[None, None, int | None]:
    """Return the last of the routes that together cover all requests of a route; None if they do not cover it."""
    pattern = lines[number][1].pattern
    uncovered_methods = set(pattern.methods)
    last = None
    for count, other in enumerate(numbers):
        if count % PAIRS_PER_STEP == PAIRS_PER_STEP - 1:
            yield
        if other == number:
            continue
        other_pattern = lines[other][1].pattern
        for method in sorted(uncovered_methods):
            own_rank = rank(pattern, method, number)
            other_rank = rank(other_pattern, method if method in other_pattern.methods else "*", other)
            single_method = Pattern((method,), pattern.path, pattern.host, pattern.when)
            if other_rank < own_rank and covers(other_pattern, single_method):
                uncovered_methods.discard(method)
                last = other
    return None if uncovered_methods else last


def _check_overlaps(lines: RouteLines, groups: list[list[int]], unreachable: set[int]) -> Iterator[Problem | None]:
    """Report pairs of one shape with requests in common and different outcomes.

    The order of lines decides between them, which is easy to overlook.
    """
    reported = 0
    for numbers in groups:
        for position, first in enumerate(numbers):
            for count, second in enumerate(numbers[position + 1 :], 1):
                if count % PAIRS_PER_STEP == 0:
                    yield None
                if reported >= MAX_OVERLAPS or first in unreachable or second in unreachable:
                    continue
                problem = _overlap(lines[first], lines[second])
                if problem is not None:
                    reported += 1
                    yield problem


def _overlap(first: tuple[Lexeme, Route], second: tuple[Lexeme, Route]) -> Problem | None:
    first_route = first[1]
    second_route = second[1]
    if first_route.outcome == second_route.outcome:
        return None
    if len(first_route.pattern.when) != len(second_route.pattern.when):
        return None
    shared = common(first_route.pattern, second_route.pattern)
    if not shared:
        return None
    return problem_at(
        second[0],
        f"overlaps line {first[0].location.line} with another outcome: {shared[0]} goes there, by order of lines",
        "make the conditions exclude each other",
        Severity.WARNING,
        "overlap",
    )


def _check_crossings(lines: RouteLines) -> Iterator[Problem]:
    """Note pairs of different shapes with requests in common and different outcomes: the more specific one wins."""
    reported = 0
    for first, second in dict.fromkeys(crossing_pairs(route for _, route in lines)):
        if reported >= MAX_OVERLAPS:
            return
        first_route = lines[first][1]
        second_route = lines[second][1]
        if first_route.outcome == second_route.outcome:
            continue
        shared = common(first_route.pattern, second_route.pattern)
        if shared:
            reported += 1
            first_rank = rank(first_route.pattern, shared[0].method, first)
            second_rank = rank(second_route.pattern, shared[0].method, second)
            winner = first if first_rank <= second_rank else second
            yield problem_at(
                lines[max(first, second)][0],
                f"overlaps line {lines[min(first, second)][0].location.line} with another outcome: "
                f"{shared[0]} goes to line {lines[winner][0].location.line}, which is more specific",
                "",
                Severity.NOTE,
                "overlap",
            )


def _check_path_variants(lines: RouteLines) -> Iterator[Problem]:
    """Note routes for which a variant of the path matches another route with another outcome.

    The variants are a final slash, swapped letter case, and a parameter after a semicolon: many endpoints treat them as
    the same path. All other variants are normalized or rejected.
    """
    index = RouteIndex(tuple(route for _, route in lines))
    reported = 0
    for lexeme, route in lines:
        path = route.pattern.path
        if not is_literal(path) or path == "/" or reported >= MAX_OVERLAPS:
            continue
        found = _find_diverging_variant(index, lines, route)
        if found is None:
            continue
        reported += 1
        variant, other = found
        yield problem_at(
            lexeme,
            f"{variant} goes by line {lines[other][0].location.line} with another outcome, "
            f"and workers may take it for {path}",
            "make sure that they do not, or add a route for it",
            Severity.NOTE,
            "slips",
        )


def _find_diverging_variant(index: RouteIndex, lines: RouteLines, route: Route) -> tuple[str, int] | None:
    """Return the first variant that another route matches with another outcome, and the number of that route."""
    pattern = route.pattern
    path = pattern.path
    host = "other-host" + pattern.host[1:] if pattern.host.startswith("*.") else pattern.host
    headers = {name: OTHER if value == "*" else value for name, value in pattern.when}
    method = OTHER_METHOD if pattern.methods[0] == "*" else pattern.methods[0]
    for variant in (path + "/", path.swapcase(), path + ";x"):
        other = index.find(method, host, variant, headers)
        if other < 0:
            continue
        other_route = lines[other][1]
        if other_route.outcome != route.outcome and other_route.pattern.path != variant:
            return variant, other
    return None


def _check_spelling(lines: RouteLines) -> Iterator[Problem | None]:
    """Report routes that differ only in letter case or a final slash, since requests distinguish them."""
    first_numbers: dict[tuple, int] = {}
    for number, (lexeme, route) in enumerate(lines):
        if number % PAIRS_PER_STEP == PAIRS_PER_STEP - 1:
            yield None
        pattern = route.pattern
        spelling = (pattern.host, pattern.methods, pattern.when, pattern.path.lower().rstrip("/") or "/")
        first = first_numbers.setdefault(spelling, number)
        first_word, first_route = lines[first]
        first_path = first_route.pattern.path
        if first != number and first_path != pattern.path and first_route.outcome != route.outcome:
            difference = "a final slash" if first_path.lower() != pattern.path.lower() else "case"
            yield problem_at(
                lexeme,
                f"differs from line {first_word.location.line} by {difference} alone, with another outcome",
                "paths are compared letter by letter",
                Severity.WARNING,
                "twins",
            )
