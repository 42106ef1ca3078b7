"""A persistent trie of path segments: an edit copies the nodes on its path and shares all others."""

from __future__ import annotations

from bisect import bisect
from collections.abc import Callable, Mapping

from anisefront.gateway.routes import Route, RouteGroup


class PlacedRoute:
    """A route with its group and its index in the group."""

    __slots__ = ("group", "index", "route", "when")

    def __init__(self, route: Route, group: RouteGroup, index: int) -> None:
        """Place a route."""
        self.route = route
        self.group = group
        self.index = index
        self.when = route.pattern.when


RoutesByMethod = tuple[tuple[str, tuple[PlacedRoute, ...]], ...]  # by method, in order of precedence
Edit = Callable[[RoutesByMethod, tuple[str, ...]], RoutesByMethod]  # replaces the routes of some methods


class RouteNode:
    """A node of the trie.

    Attributes:
        owner: Identifies the edit that created the node. Only this edit may modify it.
        literals: Children by literal segment.
        parameter: The child for any segment.
        tails: Routes for the rest of a path, by its prefix, longest first.
        routes: Routes for a path that ends here.
    """

    __slots__ = ("literals", "owner", "parameter", "routes", "tails")

    def __init__(self, owner: object, other: RouteNode | None = None) -> None:
        """Create an empty node, or a copy of another."""
        self.owner = owner
        self.literals: dict[str, RouteNode] | None = None
        self.parameter: RouteNode | None = None
        self.tails: tuple[tuple[str, RoutesByMethod], ...] = ()
        self.routes: RoutesByMethod = ()
        if other is not None:
            self.literals = None if other.literals is None else other.literals.copy()
            self.parameter = other.parameter
            self.tails = other.tails
            self.routes = other.routes

    @property
    def is_empty(self) -> bool:
        """Return whether neither the node nor a child has a route."""
        return not (self.routes or self.tails or self.literals or self.parameter)

    def child(self, segment: str) -> RouteNode | None:
        """Return the child of a pattern's segment."""
        if segment.startswith(":"):
            return self.parameter
        return None if self.literals is None else self.literals.get(segment)

    def set_child(self, segment: str, node: RouteNode) -> None:
        """Replace the child of a pattern's segment; an empty one is removed."""
        if segment.startswith(":"):
            self.parameter = None if node.is_empty else node
        elif not node.is_empty:
            if self.literals is None:
                self.literals = {}
            self.literals[segment] = node
        elif self.literals is not None:
            self.literals.pop(segment, None)
            self.literals = self.literals or None


def find_route(
    node: RouteNode, segments: list[str], index: int, method: str, headers: Mapping[str, str]
) -> PlacedRoute | None:
    """Find the first route, depth first in order of precedence.

    Clients control the path, so the search must be bounded: by the depth of the routes, and it backtracks only where a
    literal and a parameter are siblings.
    """
    if index == len(segments):
        return _first_match(node.routes, method, headers) if node.routes else None
    segment = segments[index]
    if node.literals is not None:
        child = node.literals.get(segment)
        if child is not None:
            found = find_route(child, segments, index + 1, method, headers)
            if found is not None:
                return found
    if node.parameter is not None and segment:
        found = find_route(node.parameter, segments, index + 1, method, headers)
        if found is not None:
            return found
    return _find_tail(node, segments, index, method, headers) if node.tails else None


def _find_tail(
    node: RouteNode, segments: list[str], index: int, method: str, headers: Mapping[str, str]
) -> PlacedRoute | None:
    rest = "/".join(segments[index:])
    for prefix, routes in node.tails:
        if rest.startswith(prefix):
            found = _first_match(routes, method, headers)
            if found is not None:
                return found
    return None


def _first_match(routes: RoutesByMethod, method: str, headers: Mapping[str, str]) -> PlacedRoute | None:
    for wanted in (method, "*"):
        for name, entries in routes:
            if name != wanted:
                continue
            for placed in entries:
                if not placed.when or _conditions_match(placed.when, headers):
                    return placed
    return None


def _conditions_match(when: tuple[tuple[str, str], ...], headers: Mapping[str, str]) -> bool:
    return all(name in headers and value in ("*", headers[name]) for name, value in when)


def edited(root: RouteNode | None, path: str, methods: tuple[str, ...], owner: object, edit: Edit) -> RouteNode:
    """Return the trie with the routes of one path edited. An edit copies a node at most once."""
    segments = path[1:].split("/")
    has_tail = segments[-1].endswith("*") and not segments[-1].startswith(":")
    prefix = segments.pop()[:-1] if has_tail else None
    node = _owned(root, owner)
    parents = []
    for segment in segments:
        parents.append(node)
        node = _owned(node.child(segment), owner)
    if prefix is None:
        node.routes = edit(node.routes, methods)
    else:
        _edit_tail(node, prefix, methods, edit)
    for segment, parent in zip(reversed(segments), reversed(parents), strict=True):
        parent.set_child(segment, node)
        node = parent
    return node


def _edit_tail(node: RouteNode, prefix: str, methods: tuple[str, ...], edit: Edit) -> None:
    tails = dict(node.tails)
    tails[prefix] = edit(tails.get(prefix, ()), methods)
    nonempty = ((each, routes) for each, routes in tails.items() if routes)
    node.tails = tuple(sorted(nonempty, key=lambda each: -len(each[0])))


def _owned(node: RouteNode | None, owner: object) -> RouteNode:
    return node if node is not None and node.owner is owner else RouteNode(owner, node)


def insertion(placed: PlacedRoute, ranks: Mapping[int, int]) -> Edit:
    """Return the edit that inserts a route; `ranks` holds the order of the groups by their object ids."""

    def precedence(each: PlacedRoute) -> tuple[int, int, int]:
        """Return the sort key: more conditions first, then the order of the groups, then the order in the group."""
        return -len(each.when), ranks[id(each.group)], each.index

    def edit(routes: RoutesByMethod, methods: tuple[str, ...]) -> RoutesByMethod:
        """Insert the route."""
        by_method = dict(routes)
        for method in methods:
            entries = by_method.get(method, ())
            index = bisect(entries, precedence(placed), key=precedence)
            by_method[method] = (*entries[:index], placed, *entries[index:])
        return tuple(by_method.items())

    return edit


def removal(group: RouteGroup) -> Edit:
    """Return the edit that removes the routes of a group."""

    def edit(routes: RoutesByMethod, methods: tuple[str, ...]) -> RoutesByMethod:
        """Remove the group's routes, whatever their methods."""
        remaining = ((method, tuple(each for each in entries if each.group is not group)) for method, entries in routes)
        return tuple((method, entries) for method, entries in remaining if entries)

    return edit
