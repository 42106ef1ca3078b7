"""Immutable tables of routes, by host and path. An edited table is built in steps and shares what did not change.

The cost of a lookup grows with the length of the request's path, not with the number of routes; that of an edit grows
with the number of changed routes. The order of precedence is defined in gateway/patterns.py. Persistent maps of the
package `immutables` would share more, but a lookup in plain dictionaries needs only the standard library.
"""

from __future__ import annotations

from collections.abc import Generator, Iterable, Iterator, Mapping
from itertools import chain

from anisefront.gateway.route_trie import Edit, PlacedRoute, RouteNode, edited, find_route, insertion, removal
from anisefront.gateway.routes import Route, RouteGroup
from anisefront.gateway.steps import run_to_end

ROUTES_PER_STEP = 24


class RouteTable:
    """Finds the first of the routes that match a request."""

    __slots__ = ("_any", "_exact", "_suffix_lengths", "_suffixes")

    def __init__(
        self,
        exact: dict[str, RouteNode] | None = None,
        suffixes: dict[str, RouteNode] | None = None,
        any_host: RouteNode | None = None,
    ) -> None:
        """Create a table.

        Args:
            exact: Routes by host.
            suffixes: Routes by what follows the "*" of a host pattern.
            any_host: Routes for all hosts.
        """
        self._exact = exact or {}
        self._suffixes = suffixes or {}
        self._any = any_host
        self._suffix_lengths: list[int] = []
        self._sort_suffixes()

    def edited(
        self, removed: Iterable[RouteGroup], added: Iterable[RouteGroup], ranks: Mapping[int, int]
    ) -> Generator[None, None, RouteTable]:
        """Build the table with some groups removed and others added, in steps.

        Args:
            removed: Groups to remove.
            added: Groups to add.
            ranks: The order of all groups of the new table, by their object ids. The groups that remain must keep
                their relative order.
        """
        owner = object()
        table = RouteTable(self._exact.copy(), self._suffixes.copy(), self._any)
        edits = chain(_removals(removed), _insertions(added, ranks))
        for number, (route, edit) in enumerate(edits, 1):
            if number % ROUTES_PER_STEP == 0:
                yield
            if edit is not None:
                table._edit(route, owner, edit)
        table._sort_suffixes()
        return table

    def find(self, method: str, host: str, path: str, headers: Mapping[str, str]) -> PlacedRoute | None:
        """Return the route of a request, None if there is none. Query, port and the host's case are ignored."""
        if "?" in path:
            path = path.partition("?")[0]
        if path[:1] != "/":
            return None
        segments = path[1:].split("/")
        if self._exact or self._suffixes:
            found = self._find_by_host(_without_port(host.lower()), segments, method, headers)
            if found is not None:
                return found
        return None if self._any is None else find_route(self._any, segments, 0, method, headers)

    def _find_by_host(
        self, host: str, segments: list[str], method: str, headers: Mapping[str, str]
    ) -> PlacedRoute | None:
        node = self._exact.get(host)
        if node is not None:
            found = find_route(node, segments, 0, method, headers)
            if found is not None:
                return found
        for length in self._suffix_lengths:
            node = self._suffixes.get(host[-length:]) if length < len(host) else None
            if node is not None:
                found = find_route(node, segments, 0, method, headers)
                if found is not None:
                    return found
        return None

    def _edit(self, route: Route, owner: object, edit: Edit) -> None:
        pattern = route.pattern
        if pattern.host == "*":
            node = edited(self._any, pattern.path, pattern.methods, owner, edit)
            self._any = None if node.is_empty else node
            return
        is_suffix = pattern.host.startswith("*.")
        hosts = self._suffixes if is_suffix else self._exact
        name = pattern.host[1:] if is_suffix else pattern.host
        node = edited(hosts.get(name), pattern.path, pattern.methods, owner, edit)
        hosts[name] = node
        if node.is_empty:
            del hosts[name]

    def _sort_suffixes(self) -> None:
        self._suffix_lengths = sorted({len(suffix) for suffix in self._suffixes}, reverse=True)


def build_route_table(routes: RouteGroup) -> RouteTable:
    """Build a table of routes in one go."""
    return run_to_end(RouteTable().edited((), (routes,), {id(routes): 0}))


def _removals(groups: Iterable[RouteGroup]) -> Iterator[tuple[Route, Edit | None]]:
    """Yield the routes of groups with the edit that removes each; None if an earlier edit has removed it."""
    for group in groups:
        edit = removal(group)
        seen: set[tuple[str, str]] = set()
        for route in group:
            place = route.pattern.host, route.pattern.path
            yield route, None if place in seen else edit
            seen.add(place)


def _insertions(groups: Iterable[RouteGroup], ranks: Mapping[int, int]) -> Iterator[tuple[Route, Edit | None]]:
    """Yield the routes of groups with the edit that inserts each."""
    for group in groups:
        for index, route in enumerate(group):
            yield route, insertion(PlacedRoute(route, group, index), ranks)


def _without_port(host: str) -> str:
    if host[-1:] == "]" or ":" not in host:  # an IPv6 address without a port, or a name
        return host
    return host.rpartition(":")[0] or host
