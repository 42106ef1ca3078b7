"""Routes and customers' keys, as the configuration defines them."""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass

from anisefront.gateway.patterns import Pattern


@dataclass(frozen=True, slots=True)
class Route:
    """Requests of one kind, and their class and cost.

    Attributes:
        pattern: The requests that it covers.
        class_name: Their request class.
        pool: The endpoints that serve them.
        units: Their cost in units of quota.
        units_header: The header that overrides `units`; an unreadable value counts as the maximum.
    """

    pattern: Pattern
    class_name: str
    pool: str = ""
    units: float = 1.0
    units_header: str = ""

    @property
    def outcome(self) -> tuple[str, str, float, str]:
        """Return all that the route determines for its requests."""
        return self.class_name, self.pool, self.units, self.units_header


RouteGroup = Sequence[Route]  # adjacent routes that are replaced together; compared by object identity


@dataclass(frozen=True, slots=True)
class Key:
    """The customer and the plan of a customer's key."""

    customer: str
    plan: str
