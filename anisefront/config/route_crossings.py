"""Search for pairs of routes of which each is wider than the other in some segment of its path.

All path patterns are put into a trie, and each pattern with a parameter or a wildcard is walked through it.
"""

from __future__ import annotations

from collections.abc import Iterable, Iterator
from dataclasses import dataclass, field

from anisefront.gateway.patterns import segments
from anisefront.gateway.routes import Route

MAX_STEPS = 20_000  # of the walk of one pattern; beyond it, notes may be missing


def is_parameter(segment: str) -> bool:
    """Return whether a segment of a path pattern is a `:parameter`."""
    return segment.startswith(":")


def is_literal(path: str) -> bool:
    """Return whether a path pattern has neither parameters nor a wildcard."""
    return not any(is_parameter(segment) or segment.endswith("*") for segment in segments(path))


@dataclass(slots=True)
class _TrieNode:
    """A node of the trie of path patterns; routes are stored by their numbers."""

    literals: dict[str, _TrieNode] = field(default_factory=dict)
    parameter: _TrieNode | None = None
    wildcards: dict[str, list[int]] = field(default_factory=dict)  # routes that end here with `prefix*`, by prefix
    ends: list[int] = field(default_factory=list)  # routes that end here


# A position of the walk: node, depth, and whether what has been matched so far is wider or narrower than the pattern
# somewhere. A plain tuple, since a walk makes thousands of them.
_Position = tuple[_TrieNode, int, bool, bool]


def crossing_pairs(routes: Iterable[Route]) -> Iterator[tuple[int, int]]:
    """Find the pairs of routes, by number, of which each is wider than the other in some segment.

    If one is a special case of the other, its precedence is expected, so such branches are not followed.
    """
    paths = [segments(route.pattern.path) for route in routes]
    root = _TrieNode()
    for number, path in enumerate(paths):
        _insert(root, path, number)
    for number, path in enumerate(paths):
        if any(is_parameter(segment) or segment.endswith("*") for segment in path):
            yield from ((other, number) for other in _crossing_routes(root, path) if other < number)
            yield from ((number, other) for other in _crossing_routes(root, path) if other > number)


def _insert(root: _TrieNode, path: list[str], number: int) -> None:
    node = root
    for segment in path:
        if is_parameter(segment):
            if node.parameter is None:
                node.parameter = _TrieNode()
            node = node.parameter
        elif segment.endswith("*"):  # the last segment
            node.wildcards.setdefault(segment[:-1], []).append(number)
            return
        else:
            node = node.literals.setdefault(segment, _TrieNode())
    node.ends.append(number)


def _crossing_routes(root: _TrieNode, path: list[str]) -> Iterator[int]:
    """Find the routes that are wider than `path` in one segment and narrower in another."""
    stack: list[_Position] = [(root, 0, False, False)]
    steps = 0
    while stack and steps < MAX_STEPS:
        node, depth, wider, narrower = stack.pop()
        steps += 1
        if depth >= len(path):
            if depth == len(path) and wider and narrower:
                yield from node.ends
            continue
        segment = path[depth]
        if segment.endswith("*") and not is_parameter(segment):
            yield from _crossing_below(node, segment[:-1], wider, narrower)
            continue
        if node.wildcards:
            yield from _crossing_wildcards(node, segment, narrower)
        stack += _next_positions(node, segment, depth + 1, wider, narrower)


def _crossing_wildcards(node: _TrieNode, segment: str, narrower: bool) -> Iterator[int]:
    """Find the wildcards of this node: wider in what follows, and narrower than a parameter if they have a prefix."""
    parameter = is_parameter(segment)
    for prefix, routes in node.wildcards.items():
        narrower_here = narrower or (parameter and prefix)
        if narrower_here and (parameter or segment.startswith(prefix)):
            yield from routes


def _next_positions(node: _TrieNode, segment: str, depth: int, wider: bool, narrower: bool) -> list[_Position]:
    parameter = is_parameter(segment)
    positions: list[_Position] = []
    if parameter:
        positions += [(child, depth, wider, True) for child in node.literals.values()]
    elif segment in node.literals:
        positions.append((node.literals[segment], depth, wider, narrower))
    if node.parameter is not None:
        positions.append((node.parameter, depth, wider or not parameter, narrower))
    return positions


def _crossing_below(node: _TrieNode, prefix: str, wider: bool, narrower: bool) -> Iterator[int]:
    """Find the routes that have paths in common with a final `prefix*` and are wider in some other segment."""
    for other_prefix, routes in node.wildcards.items():
        inside = other_prefix.startswith(prefix) and wider
        outside = prefix.startswith(other_prefix) and narrower
        if inside or outside:
            yield from routes
    stack: list[_TrieNode] = []
    if wider:
        stack += [child for segment, child in node.literals.items() if segment.startswith(prefix)]
    if node.parameter is not None and (wider or prefix):
        stack.append(node.parameter)
    while stack:
        yield from _routes_of(stack, stack.pop())


def _routes_of(stack: list[_TrieNode], node: _TrieNode) -> Iterator[int]:
    """Return the routes of a node and add its children to the stack."""
    yield from node.ends
    for routes in node.wildcards.values():
        yield from routes
    stack += node.literals.values()
    if node.parameter is not None:
        stack.append(node.parameter)
