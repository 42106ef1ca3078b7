"""Registry of the endpoints in the endpoint list, grouped by readiness."""

from __future__ import annotations

from anisefront.policy.control_period import PERIOD_MS
from anisefront.policy.decay import decay_factor
from anisefront.policy.endpoint_state import EndpointState
from anisefront.policy.events import Endpoint, EndpointList, EndpointStatus
from anisefront.policy.peer_codec import endpoint_tag
from anisefront.policy.slow_start import SlowStart

CAPACITY_TIME_CONSTANT_MS = 30_000.0  # decay of `recent_capacity` after endpoints have left service
UNKNOWN_CELL = -1
UNKNOWN_ZONE = "?"


class EndpointRegistry:
    """All endpoints that were ever listed, and those in service."""

    __slots__ = ("by_tag", "capacity", "known", "ready", "recent_capacity", "warming_up", "_slow_start")

    def __init__(self, slow_start: SlowStart) -> None:
        """Start without endpoints."""
        self.known: dict[str, EndpointState] = {}
        self.by_tag: dict[int, EndpointState] = {}
        self.ready: list[EndpointState] = []
        self.warming_up: list[EndpointState] = []
        self.capacity = 0.0  # sum of the slow-start factors of the endpoints in service
        self.recent_capacity = 0.0  # its decayed maximum
        self._slow_start = slow_start

    def in_service(self) -> list[EndpointState]:
        """Return the endpoints that may receive attempts."""
        return self.ready + self.warming_up

    def update(self, now_ms: float, endpoint_list: EndpointList) -> list[EndpointState]:
        """Apply an endpoint list and return the endpoints that left service."""
        previous = self.in_service()
        if endpoint_list.complete:
            listed = {endpoint.id for endpoint in endpoint_list.endpoints}
            for endpoint_id, state in self.known.items():
                if endpoint_id not in listed:
                    state.record_removed()
        for endpoint in endpoint_list.endpoints:
            state = self.known.get(endpoint.id)
            if state is None or state.endpoint.started_ms != endpoint.started_ms:  # a restarted endpoint starts afresh
                state = EndpointState(endpoint)
                self.known[endpoint.id] = state
                self.by_tag[endpoint_tag(endpoint.id)] = state
            state.update(endpoint)
        self._sort_by_readiness(now_ms)
        return [state for state in previous if state.endpoint.status is not EndpointStatus.READY]

    def end_period(self, now_ms: float) -> None:
        """Decay the recent capacity by a control period, and update the endpoints that are warming up."""
        retained = decay_factor(PERIOD_MS, CAPACITY_TIME_CONSTANT_MS)
        self.recent_capacity = max(self.capacity, self.recent_capacity * retained)
        if self.warming_up:
            self._sort_by_readiness(now_ms)

    def state_or_placeholder(self, endpoint_id: str) -> EndpointState | None:
        """Return an endpoint's state: a placeholder in an unknown zone if it was never listed, None for an empty id."""
        if not endpoint_id:
            return None
        state = self.known.get(endpoint_id)
        if state is not None:
            return state
        return EndpointState(Endpoint(endpoint_id, UNKNOWN_ZONE, UNKNOWN_CELL, EndpointStatus.REMOVED))

    def _sort_by_readiness(self, now_ms: float) -> None:
        self.ready = []
        self.warming_up = []
        self.capacity = 0.0
        for state in self.known.values():
            if state.endpoint.status is not EndpointStatus.READY:
                continue
            factor = self._slow_start.factor(now_ms, state.endpoint)
            if factor >= 1:
                self.ready.append(state)
            else:
                self.warming_up.append(state)
            self.capacity += factor
        self.recent_capacity = max(self.capacity, self.recent_capacity)
