"""Which customer, plan and class a request belongs to, by its host, method, path and headers.

What routes and keys are looked up in is gateway/tables.py; which route comes first is said in gateway/patterns.py. Pure
look-ups, no decisions.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, field

from anisefront.gateway.paths import Unclear, normal
from anisefront.gateway.patterns import Pattern, rank
from anisefront.gateway.tables import Part, RouteTable
from anisefront.policy.peer_codec import customer_tag

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
    is_retry: bool
    target: str  # path and query in normal form: what matched, and what a worker may be sent


class Unmapped(Exception):
    """A request that no rule covers: it is denied, never let through. `status` is HTTP's."""

    def __init__(self, status: int, reason: str) -> None:
        super().__init__(reason)
        self.status = status


class RouteIndex:
    """Finds routes by their numbers. `routes` are in the order of their lines."""

    def __init__(self, routes: tuple[Route, ...]) -> None:
        self.routes, self._table = routes, table_of(routes)

    def find(self, method: str, host: str, path: str, headers: Mapping[str, str]) -> int:
        """The number of the route, -1 for none."""
        found = self._table.find(method, host, path, headers)
        return -1 if found is None else found.at

    def in_order(self) -> list[tuple[int, str]]:
        """All routes, one for each of their methods, in the order of precedence: for the plain way."""
        pairs = [(number, method) for number, route in enumerate(self.routes) for method in route.pattern.methods]
        return sorted(pairs, key=lambda pair: rank(self.routes[pair[0]].pattern, pair[1], pair[0]))


def table_of(routes: Part) -> RouteTable:
    """A table of routes, made at once."""
    steps = RouteTable().edited((), (routes,), {id(routes): 0})
    while True:
        try:
            next(steps)
        except StopIteration as ended:
            return ended.value


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
    table: RouteTable | None = None  # of the routes, where it is made already

    def __post_init__(self) -> None:
        if self.table is None:
            self.table = table_of(self.routes)

    def map(self, method: str, host: str, path: str, headers: Mapping[str, str]) -> Mapped:
        """What the request is to the module; raises `Unmapped`. Names of headers are lower case."""
        try:
            target = normal(path)
        except Unclear as problem:
            raise Unmapped(400, f"unclear-path: {problem}") from problem
        found = self.table.find(method, host, target, headers)
        if found is None:
            raise Unmapped(404, "no-route")
        route = found.route
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
        return Mapped(
            customer,
            plan,
            route.class_name,
            min(self.max_units, max(1.0, units if units is not None else self.max_units)),
            deadline if left is None or not 0 < left < deadline else left,
            bool(self.repeat_header) and headers.get(self.repeat_header, "0") not in ("", "0"),
            target,
        )


def first_gateway(customer: str, tag_key: bytes, gateways: int) -> int:
    """The first of the gateways that a customer comes through; the same at every gatekeeper.

    Danger: the module chooses the home within the set by the tag's remainder. From the same remainder here, homes in a
    fleet of even size would all have even numbers, and half of the gatekeepers would keep all quotas."""
    return (customer_tag(customer, tag_key) >> 40) % gateways


def _number(text: str, fallback: float) -> float | None:
    """The number in a header, `fallback` where there is none, None where it can't be read."""
    if not text:
        return fallback
    try:
        value = float(text)
    except ValueError:
        return None
    return value if 0 <= value < 1e12 else None
