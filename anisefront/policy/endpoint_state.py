"""State of one endpoint at a gateway instance."""

from __future__ import annotations

import math
from dataclasses import dataclass, field, replace

from anisefront.policy.endpoint_health import EndpointHealth
from anisefront.policy.events import Endpoint, EndpointStatus


@dataclass(slots=True, eq=False)
class EndpointState:
    """One endpoint: its entry in the endpoint list, its load and its health."""

    endpoint: Endpoint
    health: EndpointHealth = field(default_factory=EndpointHealth)
    in_flight: int = 0  # attempts of this gateway instance
    load: float = 0.0  # of these attempts, in average attempts
    request_ids: set[int] = field(default_factory=set)  # requests with an attempt in flight at this endpoint
    others_load: float = 0.0  # attempts of other gateway instances, according to the last load report
    reported_ms: float = -math.inf

    def update(self, endpoint: Endpoint) -> None:
        """Apply a new entry of the endpoint list."""
        self.endpoint = endpoint

    def record_removed(self) -> None:
        """Mark the endpoint as removed, since the endpoint list no longer has an entry for it."""
        self.endpoint = replace(self.endpoint, status=EndpointStatus.REMOVED)

    def record_attempt_started(self, request_id: int, load: float) -> None:
        """Count an attempt in flight."""
        self.request_ids.add(request_id)
        self.in_flight += 1
        self.load += load

    def record_attempt_ended(self, load: float) -> None:
        """Remove an ended attempt; without attempts in flight the load is reset, since sums of floats drift."""
        self.in_flight -= 1
        self.load = max(0.0, self.load - load) if self.in_flight else 0.0

    def remove_request(self, request_id: int) -> None:
        """Remove a request that has ended or has no attempt in flight at this endpoint any more."""
        self.request_ids.discard(request_id)

    def record_load_report(self, now_ms: float, others_load: float) -> None:
        """Record the reported load of other gateway instances."""
        self.others_load = others_load
        self.reported_ms = now_ms
