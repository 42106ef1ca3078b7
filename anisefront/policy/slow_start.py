"""Slow start: limits the attempts at an endpoint while it is warming up.

All gateway instances together must not exceed the current capacity of the endpoint, or it stays overloaded for good.
No instance knows the attempts of the others, so each attempt is sent there with a probability equal to the endpoint's
fraction of the cluster's capacity.
"""

from __future__ import annotations

import random
from collections.abc import Container

from anisefront.policy.endpoint_state import EndpointState
from anisefront.policy.events import Endpoint
from anisefront.policy.request import Request
from anisefront.policy.settings import Settings

MAX_FAILURE_FRACTION = 0.5  # from this fraction of a class's attempts an endpoint that is warming up is not selected
DRAW_INTERVAL_MS = 1000.0  # between two draws of a request that stays queued


class SlowStart:
    """Capacity of endpoints that are warming up, and random selection among them."""

    __slots__ = ("_initial_factor", "_rng", "_warm_up_ms")

    def __init__(self, settings: Settings, rng: random.Random) -> None:
        """Use this generator for the random selection."""
        self._rng = rng
        self.change_settings(settings)

    def change_settings(self, settings: Settings) -> None:
        """Apply new settings."""
        self._initial_factor = settings.slow_start_initial_factor
        self._warm_up_ms = settings.warm_up_ms

    def factor(self, now_ms: float, endpoint: Endpoint) -> float:
        """Return the current fraction of an endpoint's full capacity."""
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
        """Select an endpoint that is warming up at random; None means that a ready one is to be chosen.

        Args:
            now_ms: Clock time.
            request: The request for which an attempt is to be started.
            warming_up: The endpoints to select from.
            cluster_capacity: Sum of the factors of all endpoints in service, and of those that left recently.
            eligible: The only endpoints that the request may be sent to; None allows all.
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
