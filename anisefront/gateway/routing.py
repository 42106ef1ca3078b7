"""Routing: determines customer, plan, class and cost of a request by its method, host, path and headers."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, field

from anisefront.gateway.errors import AmbiguousPathError, UnroutableRequestError
from anisefront.gateway.paths import normalize_target
from anisefront.gateway.patterns import rank
from anisefront.gateway.route_table import RouteTable, build_route_table
from anisefront.gateway.routes import Key, Route
from anisefront.policy.peer_codec import customer_tag

# Clients control their keys. An unlisted key that equals a listed customer's name would debit that customer's quota, so
# the two kinds of customers have different prefixes.
LISTED_PREFIX = "customer:"
UNLISTED_PREFIX = "key:"
MAX_KEY_LENGTH = 256
MAX_HEADER_NUMBER = 1e12


@dataclass(frozen=True, slots=True)
class RoutedRequest:
    """A request with what the controller needs to know about it.

    Attributes:
        customer: The customer whose quota it debits.
        plan: The customer's plan.
        class_name: Its request class.
        units: Its cost in units of quota.
        deadline_ms: The time that the client allows, relative to now.
        is_retry: Whether the client says that it is a retry.
        target: Path and query in normal form, as matched by the route and sent to the endpoint.
    """

    customer: str
    plan: str
    class_name: str
    units: float
    deadline_ms: float
    is_retry: bool
    target: str


class RouteIndex:
    """Finds routes by their numbers in the configuration's order."""

    def __init__(self, routes: tuple[Route, ...]) -> None:
        """Index routes, which are in the order of their lines."""
        self.routes = routes
        self._table = build_route_table(routes)

    def find(self, method: str, host: str, path: str, headers: Mapping[str, str]) -> int:
        """Return the number of a request's route, -1 if there is none."""
        found = self._table.find(method, host, path, headers)
        return -1 if found is None else found.index

    def in_order(self) -> list[tuple[int, str]]:
        """Return all routes in order of precedence, each once for each of its methods."""
        pairs = [(number, method) for number, route in enumerate(self.routes) for method in route.pattern.methods]
        return sorted(pairs, key=lambda pair: rank(self.routes[pair[0]].pattern, pair[1], pair[0]))


@dataclass
class Router:
    """Routes requests.

    Attributes:
        routes: All routes.
        deadlines_ms: The maximum time that a request may take, by class.
        customer_header: The header with the customer's key.
        keys: The listed keys.
        default_plan: The plan of unlisted keys, each of which is a separate customer; "" to deny them.
        max_units: The maximum cost of a request.
        repeat_header: The header by which a client marks a retry; "" for none.
        deadline_header: The header with the time that the client allows.
        table: The table of the routes; built from `routes` if None.
    """

    routes: tuple[Route, ...]
    deadlines_ms: Mapping[str, float]
    customer_header: str
    keys: Mapping[str, Key] = field(default_factory=dict)
    default_plan: str = ""
    max_units: float = 1.0
    repeat_header: str = ""
    deadline_header: str = "x-envoy-expected-rq-timeout-ms"
    table: RouteTable | None = None

    def __post_init__(self) -> None:
        """Build the table if none was given."""
        if self.table is None:
            self.table = build_route_table(self.routes)

    def route(self, method: str, host: str, path: str, headers: Mapping[str, str]) -> RoutedRequest:
        """Route a request. Names of headers are in lower case.

        Raises:
            UnroutableRequestError: No route or key covers it, or its path is ambiguous.
        """
        try:
            target = normalize_target(path)
        except AmbiguousPathError as error:
            raise UnroutableRequestError(400, f"unclear-path: {error}") from error
        found = self.table.find(method, host, target, headers)
        if found is None:
            raise UnroutableRequestError(404, "no-route")
        route = found.route
        customer, plan = self._customer(headers)
        return RoutedRequest(
            customer,
            plan,
            route.class_name,
            self._units(route, headers),
            self._deadline_ms(route, headers),
            bool(self.repeat_header) and headers.get(self.repeat_header, "0") not in ("", "0"),
            target,
        )

    def _customer(self, headers: Mapping[str, str]) -> tuple[str, str]:
        """Return the customer and the plan."""
        text = headers.get(self.customer_header, "")
        if not text or len(text) > MAX_KEY_LENGTH:
            raise UnroutableRequestError(401, "no-key")
        key = self.keys.get(text)
        if key is not None:
            return LISTED_PREFIX + key.customer, key.plan
        if not self.default_plan:
            raise UnroutableRequestError(403, "unknown-key")
        return UNLISTED_PREFIX + text, self.default_plan

    def _units(self, route: Route, headers: Mapping[str, str]) -> float:
        units: float | None = route.units
        if route.units_header:
            units = _number(headers.get(route.units_header, ""), route.units)
        if units is None:
            units = self.max_units
        return min(self.max_units, max(1.0, units))

    def _deadline_ms(self, route: Route, headers: Mapping[str, str]) -> float:
        longest_ms = self.deadlines_ms[route.class_name]
        allowed_ms = _number(headers.get(self.deadline_header, ""), longest_ms)
        if allowed_ms is None or not 0 < allowed_ms < longest_ms:
            return longest_ms
        return allowed_ms


def first_gateway(customer: str, tag_key: bytes, gateways: int) -> int:
    """Return the first of the gateway instances that serve a customer; all instances compute the same.

    The controller selects the quota owner within the set by the lower bits of the customer's tag. If they were used
    here too, all owners in a cluster of even size would have even numbers, and half of the instances would own all
    quotas. Hence the tag's upper bits.
    """
    return (customer_tag(customer, tag_key) >> 40) % gateways


def _number(text: str, fallback: float) -> float | None:
    """Return the number in a header, `fallback` if the header is empty, None if it can't be read."""
    if not text:
        return fallback
    try:
        value = float(text)
    except ValueError:
        return None
    return value if 0 <= value < MAX_HEADER_NUMBER else None
