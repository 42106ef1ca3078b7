"""Slow start: how many attempts an endpoint gets while it is warming up.

All gateway instances together must not exceed the capacity that an endpoint has by then, or it stays overloaded for
good. None knows what the others start, so each attempt goes there with the probability that is the endpoint's fraction
of the cluster's capacity.
"""

from __future__ import annotations

import random
from collections.abc import Container

from anisefront.policy.endpoint_state import EndpointState
from anisefront.policy.events import Endpoint
from anisefront.policy.request import Request
from anisefront.policy.settings import Settings

MAX_FAILURE_FRACTION = 0.5  # of a class's attempts, above which an endpoint that is warming up is passed over
DRAW_INTERVAL_MS = 1000.0  # in which a request that stays queued draws once


class SlowStart:
    """Capacity of endpoints that are warming up, and the draw for one of them."""

    __slots__ = ("_initial_factor", "_rng", "_warm_up_ms")

    def __init__(self, settings: Settings, rng: random.Random) -> None:
        """Draw from this generator."""
        self._rng = rng
        self.change_settings(settings)

    def change_settings(self, settings: Settings) -> None:
        """Use other settings from now on."""
        self._initial_factor = settings.slow_start_initial_factor
        self._warm_up_ms = settings.warm_up_ms

    def factor(self, now_ms: float, endpoint: Endpoint) -> float:
        """Return the fraction of its capacity that an endpoint has by now."""
        age_ms = now_ms - endpoint.started_ms
        if not endpoint.started_ms or age_ms >= self._warm_up_ms:
            return 1.0
        return self._initial_factor + (1 - self._initial_factor) * max(0.0, age_ms) / self._warm_up_ms

    def draw(
        self,
        now_ms: float,
        request: Request,
        warming_up: list[EndpointState],
        cluster_capacity: float,
        eligible: Container[EndpointState] | None,
    ) -> EndpointState | None:
        """Return an endpoint that is warming up, or None if the draw is for a ready one.

        Args:
            now_ms: Clock time.
            request: The request that an attempt is to be started for.
            warming_up: The endpoints to draw for.
            cluster_capacity: Sum of the factors of all endpoints that carry the load, those that just left included.
            eligible: The only endpoints that the request may go to; None for all.
        """
        if not warming_up or now_ms < request.slow_start_draw_after_ms:
            return None
        request.record_slow_start_draw(now_ms + DRAW_INTERVAL_MS)
        remaining = self._rng.random() * cluster_capacity
        for state in warming_up:
            remaining -= self.factor(now_ms, state.endpoint)
            if remaining < 0:
                excluded = state in request.attempted or (eligible is not None and state not in eligible)
                failing = state.health.failure_fraction(now_ms, request.request_class.name) >= MAX_FAILURE_FRACTION
                return None if excluded or failing else state
        return None
