"""Which customer, plan and class a request belongs to, by its host, method, path and headers.

Routes are kept in a trie by host and path segment, so that what a look-up costs grows with the request's path and
not with the number of routes. Which route comes first is said in core/patterns.py. Pure look-ups, no decisions.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, field

from anisefront.core.paths import Unclear, normal
from anisefront.core.patterns import Pattern, rank
from anisefront.policy.messages import tag_of

# Danger: keys are what callers write. One that reads like a listed customer's name would spend that customer's quota,
# so the names of the two kinds begin differently.
LISTED, UNLISTED = "customer:", "key:"


@dataclass(frozen=True, slots=True)
class Route:
    """Requests of one kind, and what they are to the module."""

    pattern: Pattern
    class_name: str
    pool: str = ""
    units: float = 1.0
    units_header: str = ""  # takes the units from there; what can't be read counts as the most

    @property
    def outcome(self) -> tuple[str, str, float, str]:
        """What makes a difference to a request that this route takes."""
        return self.class_name, self.pool, self.units, self.units_header


@dataclass(frozen=True, slots=True)
class Key:
    """What a customer's key stands for."""

    customer: str
    plan: str


@dataclass(frozen=True, slots=True)
class Mapped:
    """A request as the module wants it. `deadline_ms` is the time that the client leaves, from now on."""

    customer: str
    plan: str
    class_name: str
    units: float
    deadline_ms: float
    is_repeat: bool
    target: str  # path and query in normal form: what matched, and what a worker may be sent


class Unmapped(Exception):
    """A request that no rule covers: it is denied, never let through. `status` is HTTP's."""

    def __init__(self, status: int, reason: str) -> None:
        super().__init__(reason)
        self.status = status


class _Node:
    """One place in a trie of path segments."""

    __slots__ = ("here", "literals", "parameter", "tails")

    def __init__(self) -> None:
        self.literals: dict[str, _Node] = {}
        self.parameter: _Node | None = None
        self.tails: list[tuple[str, dict[str, list[int]]]] = []  # prefix and routes by method, longest first
        self.here: dict[str, list[int]] | None = None  # routes that end here, by method, in order of precedence


class RouteIndex:
    """Finds the first of the routes that match a request. `routes` are in the order of their lines."""

    def __init__(self, routes: tuple[Route, ...]) -> None:
        self.routes = routes
        self._whens = [route.pattern.when for route in routes]
        self._exact: dict[str, _Node] = {}
        self._tails: dict[str, _Node] = {}  # by the part after "*", such as ".example"
        self._any: _Node | None = None
        for number in sorted(range(len(routes)), key=lambda n: (-len(routes[n].pattern.when), n)):
            self._add(number, routes[number].pattern)
        self._lengths = sorted({len(tail) for tail in self._tails}, reverse=True)

    def _add(self, number: int, pattern: Pattern) -> None:
        host = pattern.host
        if host == "*":
            self._any = node = self._any or _Node()
        elif host.startswith("*."):
            node = self._tails.setdefault(host[1:], _Node())
        else:
            node = self._exact.setdefault(host, _Node())
        *inner, last = pattern.path[1:].split("/")
        for segment in inner:
            node = self._child(node, segment)
        if last.endswith("*") and not last.startswith(":"):
            prefix = last[:-1]
            by_method = next((each for known, each in node.tails if known == prefix), None)
            if by_method is None:
                by_method = {}
                node.tails.append((prefix, by_method))
                node.tails.sort(key=lambda tail: -len(tail[0]))
        else:
            node = self._child(node, last)
            node.here = by_method = {} if node.here is None else node.here
        for method in pattern.methods:
            by_method.setdefault(method, []).append(number)

    @staticmethod
    def _child(node: _Node, segment: str) -> _Node:
        if segment.startswith(":"):
            node.parameter = node.parameter or _Node()
            return node.parameter
        return node.literals.setdefault(segment, _Node())

    def find(self, method: str, host: str, path: str, headers: Mapping[str, str]) -> int:
        """The number of the route, -1 for none. A query and a port are left out; a host's case is no matter."""
        if "?" in path:
            path = path.partition("?")[0]
        if path[:1] != "/":
            return -1
        given = path[1:].split("/")
        if self._exact or self._tails:
            host = host.lower()
            if host[-1:] != "]":  # not a bare IPv6 address
                host = host.rpartition(":")[0] or host if ":" in host else host
            node = self._exact.get(host)
            if node is not None and (found := self._walk(node, given, 0, method, headers)) >= 0:
                return found
            for length in self._lengths:
                if length < len(host):
                    node = self._tails.get(host[-length:])
                    if node is not None and (found := self._walk(node, given, 0, method, headers)) >= 0:
                        return found
        return -1 if self._any is None else self._walk(self._any, given, 0, method, headers)

    def _walk(self, node: _Node, given: list[str], at: int, method: str, headers: Mapping[str, str]) -> int:
        """Depth first in the order of precedence. Danger: paths are the clients' to write; the walk is bounded
        by the depth of the routes, and goes back only where a literal and a parameter stand side by side."""
        if at == len(given):
            return -1 if node.here is None else self._pick(node.here, method, headers)
        segment = given[at]
        child = node.literals.get(segment)
        if child is not None and (found := self._walk(child, given, at + 1, method, headers)) >= 0:
            return found
        if node.parameter is not None and segment \
                and (found := self._walk(node.parameter, given, at + 1, method, headers)) >= 0:
            return found
        if node.tails:
            rest = "/".join(given[at:])
            for prefix, by_method in node.tails:
                if rest.startswith(prefix) and (found := self._pick(by_method, method, headers)) >= 0:
                    return found
        return -1

    def _pick(self, by_method: dict[str, list[int]], method: str, headers: Mapping[str, str]) -> int:
        for wanted in (method, "*"):
            for number in by_method.get(wanted, ()):
                for name, value in self._whens[number]:
                    if name not in headers or value not in ("*", headers[name]):
                        break
                else:
                    return number
        return -1

    def in_order(self) -> list[tuple[int, str]]:
        """All routes, one for each of their methods, in the order of precedence: for the plain way."""
        pairs = [(number, method) for number, route in enumerate(self.routes) for method in route.pattern.methods]
        return sorted(pairs, key=lambda pair: rank(self.routes[pair[0]].pattern, pair[1], pair[0]))


@dataclass
class Router:
    """What a request is to the module."""

    routes: tuple[Route, ...]
    deadlines_ms: Mapping[str, float]  # by class
    customer_header: str
    keys: Mapping[str, Key] = field(default_factory=dict)
    default_plan: str = ""  # for keys that are not listed: each is a customer of its own; "": refused
    max_units: float = 1.0
    repeat_header: str = ""
    deadline_header: str = "x-envoy-expected-rq-timeout-ms"

    def __post_init__(self) -> None:
        self.index = RouteIndex(self.routes)

    def map(self, method: str, host: str, path: str, headers: Mapping[str, str]) -> Mapped:
        """What the request is to the module; raises `Unmapped`. Names of headers are lower case."""
        try:
            target = normal(path)
        except Unclear as problem:
            raise Unmapped(400, f"unclear-path: {problem}") from problem
        number = self.index.find(method, host, target, headers)
        if number < 0:
            raise Unmapped(404, "no-route")
        route = self.routes[number]
        name = headers.get(self.customer_header, "")
        if not name or len(name) > 256:
            raise Unmapped(401, "no-key")
        key = self.keys.get(name)
        if key is None and not self.default_plan:
            raise Unmapped(403, "unknown-key")
        units = _number(headers.get(route.units_header, ""), route.units) if route.units_header else route.units
        deadline = self.deadlines_ms[route.class_name]
        left = _number(headers.get(self.deadline_header, ""), deadline)
        customer, plan = (LISTED + key.customer, key.plan) if key else (UNLISTED + name, self.default_plan)
        return Mapped(customer, plan, route.class_name,
                      min(self.max_units, max(1.0, units if units is not None else self.max_units)),
                      deadline if left is None or not 0 < left < deadline else left,
                      bool(self.repeat_header) and headers.get(self.repeat_header, "0") not in ("", "0"),
                      target)


def first_gateway(customer: str, tag_key: bytes, gateways: int) -> int:
    """The first of the gateways that a customer comes through; the same at every gatekeeper.

    Danger: the module chooses the home within the set by the tag's remainder. From the same remainder here, homes in a
    fleet of even size would all have even numbers, and half of the gatekeepers would keep all quotas."""
    return (tag_of(customer, tag_key) >> 40) % gateways


def _number(text: str, fallback: float) -> float | None:
    """The number in a header, `fallback` where there is none, None where it can't be read."""
    if not text:
        return fallback
    try:
        value = float(text)
    except ValueError:
        return None
    return value if 0 <= value < 1e12 else None
