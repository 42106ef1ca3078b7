"""Token bucket of one customer's quota, at its quota owner."""

from __future__ import annotations

import math
from dataclasses import dataclass, field
from typing import NamedTuple

from anisefront.policy.decay import decay_factor, rate_per_s
from anisefront.policy.quota_parameters import (
    DEMAND_TIME_CONSTANT_MS,
    IDLE_MS,
    OWNER_CEILING_FRACTION,
    RESERVE_FRACTION,
)
from anisefront.policy.quota_request_queue import QuotaRequest, QuotaRequestKey, QuotaRequestQueue
from anisefront.policy.settings import Plan

DEBIT_RETENTION_MS = 5000.0  # for which debits are kept to detect duplicate messages
MIN_RETAINED_DEBITS = 64  # up to which no debits are evicted


class Debit(NamedTuple):
    """Units that a request has taken."""

    made_ms: float
    refundable_units: float  # those not refunded yet


@dataclass(slots=True, eq=False)
class QuotaBucket:
    """Levels, leases and waiting requests of one customer."""

    plan: Plan
    level: float  # units
    updated_ms: float
    ceiling_level: float = 0.0  # units of the owner's part of the ceiling
    demand: float = 0.0  # decayed count of units requested by all borrowers
    queue: QuotaRequestQueue = field(default_factory=QuotaRequestQueue)
    leases: dict[QuotaRequestKey, float] = field(default_factory=dict)  # expiry, by request in flight
    debits: dict[QuotaRequestKey, Debit] = field(default_factory=dict)  # in order of time
    refill_timer_ms: float = math.inf  # expiry of the timer for the next request; infinity: none is set

    @property
    def demand_per_s(self) -> float:
        """Return the rate of units that all borrowers request."""
        return rate_per_s(self.demand, DEMAND_TIME_CONSTANT_MS)

    def refill(self, now_ms: float) -> None:
        """Fill the bucket for the elapsed time, and drop expired requests and leases."""
        elapsed_s = (now_ms - self.updated_ms) / 1000
        self.updated_ms = now_ms
        plan = self.plan
        self.demand *= decay_factor(elapsed_s * 1000, DEMAND_TIME_CONSTANT_MS)
        self.level = min(plan.burst, self.level + plan.rate_per_s * elapsed_s)
        ceiling_units = self.ceiling_level + plan.ceiling_per_s * OWNER_CEILING_FRACTION * elapsed_s
        self.ceiling_level = min(plan.ceiling_burst * OWNER_CEILING_FRACTION, ceiling_units)
        self.queue.evict_expired(now_ms)
        self.leases = {key: expires_ms for key, expires_ms in self.leases.items() if expires_ms > now_ms}

    def change_plan(self, plan: Plan) -> None:
        """Apply another plan; levels are only reduced to its bursts, so that a change grants no units again."""
        self.plan = plan
        self.level = min(plan.burst, self.level)
        self.ceiling_level = min(plan.ceiling_burst * OWNER_CEILING_FRACTION, self.ceiling_level)

    def record_demand(self, units: float) -> None:
        """Count requested units."""
        self.demand += units

    def set_refill_timer(self, expires_ms: float) -> None:
        """Record the expiry of the timer for the next request."""
        self.refill_timer_ms = expires_ms

    def clear_refill_timer(self) -> None:
        """Record that the timer has fired."""
        self.refill_timer_ms = math.inf

    def wait_s(self, now_ms: float, request: QuotaRequest, max_priority: float) -> float:
        """Return how long a request must wait for units, ceiling and lease; 0 or less if it may be granted now.

        Requests of lower priority leave a reserve in the bucket for others. Clients' retries leave the largest, since
        most of their latency objective has passed.
        """
        plan = self.plan
        units = request.message.units
        wait_s = 0.0
        if plan.rate_per_s:
            reserve = RESERVE_FRACTION * plan.burst * (1 - request.priority_weight / max_priority)
            wait_s = (units + reserve - self.level) / plan.rate_per_s
        if plan.ceiling_per_s:
            wait_s = max(wait_s, (units - self.ceiling_level) / (plan.ceiling_per_s * OWNER_CEILING_FRACTION))
        if plan.max_in_flight and len(self.leases) >= plan.max_in_flight:
            wait_s = max(wait_s, (min(self.leases.values()) - now_ms) / 1000)
        return wait_s

    def debit(self, now_ms: float, key: QuotaRequestKey, units: float, lease_ms: float) -> None:
        """Take units, and a lease if the plan limits the requests in flight; the level may become negative."""
        if len(self.debits) > MIN_RETAINED_DEBITS:
            self._evict_debits(now_ms)
        self.debits[key] = Debit(now_ms, units)
        self.level = max(-self.plan.burst, self.level - units)
        if self.plan.max_in_flight:
            self.leases[key] = now_ms + lease_ms

    def debit_ceiling(self, units: float) -> None:
        """Take units of the ceiling."""
        self.ceiling_level -= units

    def refund(self, key: QuotaRequestKey, units: float, plan: Plan) -> None:
        """End a request's lease, or put back units that it did not use if there is no lease.

        A request may be refunded twice: when it ends, and for a grant that arrives later. Only debited units are put
        back.
        """
        lease = self.leases.pop(key, None)
        debit = self.debits.get(key)
        if lease is not None or debit is None or plan.max_in_flight:
            return
        refunded_units = min(units, debit.refundable_units)
        self.debits[key] = debit._replace(refundable_units=debit.refundable_units - refunded_units)
        self.level = min(plan.burst, self.level + refunded_units)

    def is_evictable(self, now_ms: float) -> bool:
        """Evict expired requests, and return whether a new bucket would grant the customer no more than this one."""
        idle_s = (now_ms - self.updated_ms) / 1000
        if idle_s * 1000 < IDLE_MS or self.level + self.plan.rate_per_s * idle_s < self.plan.burst:
            return False
        self.queue.evict_expired(now_ms)
        return not self.queue and not any(expires_ms > now_ms for expires_ms in self.leases.values())

    def _evict_debits(self, now_ms: float) -> None:
        while self.debits:
            oldest = next(iter(self.debits))
            if now_ms - self.debits[oldest].made_ms <= DEBIT_RETENTION_MS:
                return
            del self.debits[oldest]
