"""Choice of an endpoint for an attempt: the one with the lowest cost among a few candidates.

The cost is the load of an endpoint times its latency ratio, raised by its failures and if it is in another zone.
"""

from __future__ import annotations

import math
import random

from anisefront.policy.control_period import PERIOD_MS, RATE_TIME_CONSTANT_MS
from anisefront.policy.decay import decay_factor
from anisefront.policy.endpoint_registry import EndpointRegistry
from anisefront.policy.endpoint_state import EndpointState
from anisefront.policy.load_reports import LoadReports
from anisefront.policy.request import Request
from anisefront.policy.settings import Idempotency
from anisefront.policy.slow_start import SlowStart

MIN_CHOICES = 2.0  # endpoints that are compared (power of d choices)
CHOICES_PER_ATTEMPT = 4.0  # additional ones per attempt that this instance starts a second and endpoint
REPORT_TIME_CONSTANT_MS = 300.0  # decay of a reported load towards the mean of all reports
MIN_EXPONENT = -50.0  # bounds the decay for endpoints without a report, whose report time is minus infinity
MIN_FRESHNESS = math.exp(MIN_EXPONENT)
FAILURE_PENALTY = 200.0  # factor of the squared failure fraction: squared, one failure costs little, a series much
NON_IDEMPOTENT_PENALTY = 2 * FAILURE_PENALTY  # such a request cannot be retried after a failure
MIN_WEIGHT = 0.01
MIN_JITTER = 1.0
JITTER_RANGE = 1.1 - MIN_JITTER  # so that instances with equal information do not all choose the same endpoint
OTHER_ZONE_COST = 1.15


class EndpointSelection:
    """Chooses endpoints."""

    __slots__ = ("_endpoints", "_load_reports", "_recent_attempts", "_rng", "_slow_start", "_zone")

    def __init__(
        self,
        zone: str,
        rng: random.Random,
        endpoints: EndpointRegistry,
        load_reports: LoadReports,
        slow_start: SlowStart,
    ) -> None:
        """Choose among the registry's endpoints, for a gateway instance in this zone."""
        self._endpoints = endpoints
        self._load_reports = load_reports
        self._recent_attempts = 0.0  # decayed count
        self._rng = rng
        self._slow_start = slow_start
        self._zone = zone

    def change_zone(self, zone: str) -> None:
        """Set the zone of this gateway instance."""
        self._zone = zone

    def record_attempt_started(self) -> None:
        """Count an attempt."""
        self._recent_attempts += 1

    def end_period(self) -> None:
        """Decay the count of attempts by a control period."""
        self._recent_attempts *= decay_factor(PERIOD_MS, RATE_TIME_CONSTANT_MS)

    def extra_choices(self, ready: int) -> float:
        """Return how many endpoints are compared beyond the minimum, given the number of ready ones.

        An instance that starts few attempts has little recent information of its own. If it compared many endpoints
        by shared information, all instances would choose the same one.
        """
        return CHOICES_PER_ATTEMPT * self._recent_attempts / max(1, ready)

    def choose(
        self, now_ms: float, request: Request, eligible: list[EndpointState] | None, load: float
    ) -> EndpointState | None:
        """Choose an endpoint for an attempt of this load, None if there is none.

        `eligible` lists the only endpoints that the request may be sent to; None allows all.
        """
        registry = self._endpoints
        drawn = self._slow_start.draw(now_ms, request, registry.warming_up, registry.recent_capacity, eligible)
        if drawn is not None:
            return drawn
        ready = registry.ready
        if eligible is not None:
            ready = [state for state in ready if state in eligible]
        candidates = self._sample(now_ms, ready, request.attempted)
        return self._cheapest(now_ms, candidates, request, load)

    def _sample(
        self, now_ms: float, ready: list[EndpointState], attempted: tuple[EndpointState, ...]
    ) -> list[EndpointState]:
        """Return the endpoints to compare, excluding already attempted ones if there are others.

        A random sample alone leaves some endpoints idle while others are loaded. So the endpoints with the latest
        responses are compared too: each has just completed an attempt and reported its load (balancing with memory).
        """
        count = math.ceil(MIN_CHOICES + self.extra_choices(len(ready)))
        if attempted:
            ready = [state for state in ready if state not in attempted] or ready
        if count >= len(ready):
            return ready
        return self._load_reports.latest(now_ms, ready) + self._rng.sample(ready, count)

    def _cheapest(
        self, now_ms: float, candidates: list[EndpointState], request: Request, load: float
    ) -> EndpointState | None:
        """Return the candidate with the lowest cost; inlined in one loop, since this is the hot path."""
        class_name = request.request_class.name
        non_idempotent = request.request_class.idempotency is Idempotency.NON_IDEMPOTENT
        penalty = NON_IDEMPOTENT_PENALTY if non_idempotent else FAILURE_PENALTY
        mean_others_load = self._load_reports.mean_others_load
        zone = self._zone
        random_draw = self._rng.random
        best = None
        best_cost = math.inf
        for state in candidates:
            # An old report of a low load does not show that the endpoint is idle, so it decays to the mean load.
            exponent = (state.reported_ms - now_ms) / REPORT_TIME_CONSTANT_MS
            freshness = math.exp(exponent) if exponent > MIN_EXPONENT else MIN_FRESHNESS
            others_load = mean_others_load + (state.others_load - mean_others_load) * freshness
            health = state.health
            latency_ratio = 1.0 if health.latency_ratio == 1 else health.latency_ratio_at(now_ms)
            cost = (load + state.load + others_load) * latency_ratio / max(MIN_WEIGHT, state.endpoint.weight)
            if health.failure_counts:
                cost *= 1 + penalty * health.failure_fraction(now_ms, class_name) ** 2
            jitter = MIN_JITTER + JITTER_RANGE * random_draw()
            cost *= jitter * (1.0 if state.endpoint.zone == zone else OTHER_ZONE_COST)
            if cost < best_cost:
                best = state
                best_cost = cost
        return best
