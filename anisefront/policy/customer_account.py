"""State of one customer at a gateway instance: its local token buckets and its demand."""

from __future__ import annotations

import math
from collections.abc import Iterator
from dataclasses import dataclass

from anisefront.policy.decay import decay_factor, rate_per_s
from anisefront.policy.quota_parameters import DEMAND_TIME_CONSTANT_MS, IDLE_MS, OWNER_CEILING_FRACTION
from anisefront.policy.settings import Plan

LOCAL_BURST_FRACTION = 0.1  # of the burst, held by all local buckets together in addition to the owner's bucket
DEMAND_EXPIRY_MS = 2 * DEMAND_TIME_CONSTANT_MS  # age at which the owner's report of the total demand is dropped


@dataclass(slots=True, eq=False)
class CustomerAccount:
    """One customer at this gateway instance."""

    tag: int
    spread: int  # number of gateway instances that receive its requests
    owner: int  # number of the gateway instance that owns its quota bucket
    updated_ms: float
    local_bucket: float = 0.0  # units; negative while overdrawn
    ceiling_bucket: float = 0.0  # units left of this instance's part of the ceiling
    demand: float = 0.0  # decayed count of units requested here
    total_demand_per_s: float = 0.0  # units requested at all instances, as last reported by the owner; 0: unknown
    reported_ms: float = -math.inf
    in_flight: int = 0  # requests admitted and not ended

    @property
    def demand_per_s(self) -> float:
        """Return the rate of units requested at this instance."""
        return rate_per_s(self.demand, DEMAND_TIME_CONSTANT_MS)

    def successors(self, gateways: int) -> Iterator[int]:
        """Yield the other gateway instances of the customer, in the order in which they replace its owner."""
        first = self.owner - self.tag % self.spread
        return ((first + (self.tag + step) % self.spread) % gateways for step in range(1, self.spread))

    def refill(self, now_ms: float, plan: Plan) -> None:
        """Fill the local buckets for the elapsed time.

        The bucket fills at the quota's rate times this instance's fraction of the demand. The ceiling is divided into
        fixed equal parts. They start empty, so that a restart does not grant used units again.
        """
        elapsed_s = (now_ms - self.updated_ms) / 1000
        self.updated_ms = now_ms
        self.demand *= decay_factor(elapsed_s * 1000, DEMAND_TIME_CONSTANT_MS)
        if now_ms - self.reported_ms > DEMAND_EXPIRY_MS:
            self.total_demand_per_s = 0.0
        fraction = self._demand_fraction()
        capacity = plan.burst * LOCAL_BURST_FRACTION * fraction
        self.local_bucket = min(capacity, self.local_bucket + plan.rate_per_s * fraction * elapsed_s)
        ceiling_fraction = (1 - OWNER_CEILING_FRACTION) / self.spread
        ceiling_units = self.ceiling_bucket + plan.ceiling_per_s * ceiling_fraction * elapsed_s
        self.ceiling_bucket = min(plan.ceiling_burst * ceiling_fraction, ceiling_units)

    def _demand_fraction(self) -> float:
        """Return this instance's fraction of the customer's demand; an equal one while the total is unknown."""
        if not self.total_demand_per_s:
            return 1 / self.spread
        return min(1.0, self.demand_per_s / self.total_demand_per_s)

    def debit(self, units: float) -> None:
        """Take units from the local buckets."""
        self.local_bucket -= units
        self.ceiling_bucket -= units

    def record_demand(self, units: float) -> None:
        """Count requested units."""
        self.demand += units

    def record_total_demand(self, now_ms: float, demand_per_s: float) -> None:
        """Record the customer's demand at all instances, as reported by the owner."""
        self.total_demand_per_s = demand_per_s
        self.reported_ms = now_ms

    def record_admitted(self) -> None:
        """Count an admitted request."""
        self.in_flight += 1

    def record_ended(self) -> None:
        """Remove an ended request from the count of admitted ones."""
        self.in_flight -= 1

    def is_evictable(self, now_ms: float) -> bool:
        """Return whether a new account would grant the customer no more than this one."""
        return now_ms - self.updated_ms >= IDLE_MS and not self.in_flight and self.local_bucket >= 0
