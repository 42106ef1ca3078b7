"""Load that endpoints report with their responses."""

from __future__ import annotations

from anisefront.policy.control_period import EWMA_GAIN
from anisefront.policy.endpoint_state import EndpointState

IN_FLIGHT_FIELD = "inflight"  # attempts in flight at the endpoint, of all gateway instances
UTILIZATION_FIELD = "util"  # 0 to 1
UTILIZATION_LOAD = 2.0  # attempts in flight assumed at full utilization, if only the utilization is reported
BASE_LOAD = 4.0  # attempts; response times are proportional to this plus the attempts in flight
MAX_LATEST = 4  # endpoints
LATEST_MS = 1000.0  # maximum age of the report of one of the latest endpoints


class LoadReports:
    """Reported load of all endpoints."""

    __slots__ = ("mean_others_load", "_fields", "_latest", "_mean_load")

    def __init__(self, fields: tuple[str, ...]) -> None:
        """Start without reports."""
        self.mean_others_load = 0.0  # per endpoint, of other gateway instances
        self._fields = fields
        self._latest: list[EndpointState] = []  # endpoints with the latest reports, the newest first
        self._mean_load = 0.0  # per endpoint, of all gateway instances

    def change_fields(self, fields: tuple[str, ...]) -> None:
        """Set the fields of the reports."""
        self._fields = fields

    def record(self, now_ms: float, state: EndpointState, values: tuple[float, ...]) -> None:
        """Record a report whose values are in the order of the fields."""
        report = dict(zip(self._fields, values, strict=False))
        if IN_FLIGHT_FIELD in report:
            others_load = max(0.0, report[IN_FLIGHT_FIELD] - state.in_flight)
        else:
            others_load = UTILIZATION_LOAD * max(0.0, min(1.0, report.get(UTILIZATION_FIELD, 0.0)))
        state.record_load_report(now_ms, others_load)
        self.mean_others_load += (others_load - self.mean_others_load) * EWMA_GAIN
        self._mean_load += (others_load + state.in_flight - self._mean_load) * EWMA_GAIN
        self._latest = [state, *(other for other in self._latest if other is not state)][:MAX_LATEST]

    def latest(self, now_ms: float, candidates: list[EndpointState]) -> list[EndpointState]:
        """Return the candidates with the latest reports."""
        return [state for state in self._latest if now_ms - state.reported_ms <= LATEST_MS and state in candidates]

    def latency_normalization(self, now_ms: float, state: EndpointState) -> float:
        """Return the factor that normalizes a response time of now to an endpoint of average load.

        Without it, loaded endpoints would count as slow. All gateway instances would avoid them at once and load
        others, until these count as slow in turn: load would oscillate, with some endpoints idle for seconds.
        """
        if state.reported_ms != now_ms:
            return 1.0
        return (BASE_LOAD + self._mean_load) / (BASE_LOAD + state.others_load + state.in_flight)
