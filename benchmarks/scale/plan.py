"""Planned and present size of the fleet, and the budgets of a gateway; every other module takes the figures from here.

A machine is a gateway or a worker. Rates are per second, sizes in bytes, times by their unit.
"""

from __future__ import annotations

from dataclasses import dataclass

DAY_S = 86_400.0


@dataclass(frozen=True, slots=True)
class Size:
    """One size of the whole fleet; `requests_per_s` is the peak over all gateways."""

    gatekeepers: int
    workers: int
    services: int
    routes: int
    tenants: int
    requests_per_s: float
    changes_a_day: float  # of settings
    restarts_a_day: float  # machines restarted or replaced
    failures_a_day: float  # machines that fail

    @property
    def machines(self) -> int:
        """Return the number of gateways and workers, without the control machines."""
        return self.gatekeepers + self.workers

    @property
    def gateway_requests_per_s(self) -> float:
        """Return the peak rate of one gateway."""
        return self.requests_per_s / self.gatekeepers

    @property
    def service_workers(self) -> int:
        """Return the mean number of workers of a service."""
        return round(self.workers / self.services)

    @property
    def change_every_s(self) -> float:
        """Return the mean time between two settings changes, in seconds."""
        return DAY_S / self.changes_a_day

    @property
    def worker_changes_a_day(self) -> float:
        """Return the changes of the endpoint list: each worker that restarts or fails is removed and added again."""
        return 2 * (self.restarts_a_day + self.failures_a_day) * self.workers / self.machines

    @property
    def gatekeeper_changes_a_day(self) -> float:
        """Return the gateways that leave by a restart or a failure."""
        return (self.restarts_a_day + self.failures_a_day) * self.gatekeepers / self.machines


PLAN = Size(850, 11_000, 450, 5_800, 22_000, 69_000.0, 3_900.0, 660.0, 29.0)
# The standing test has 200 gateways, up to 200 workers and one service. Other figures are scaled from the plan, by 200
# of 850.
_TODAY_FRACTION = 200 / PLAN.gatekeepers
TODAY = Size(
    200,
    200,
    1,
    round(PLAN.routes * _TODAY_FRACTION),
    round(PLAN.tenants * _TODAY_FRACTION),
    PLAN.requests_per_s * _TODAY_FRACTION,
    PLAN.changes_a_day * _TODAY_FRACTION,
    PLAN.restarts_a_day * _TODAY_FRACTION,
    PLAN.failures_a_day * _TODAY_FRACTION,
)
REGIONS = 3
ZONES = 8
CONTROL_MACHINES = 5
RACK_MACHINES = 40  # assumed: the plan names no rack size
PARTITION_S = 300.0  # assumed: the plan says "minutes" for a partition of regions
WARM_UP_S = 30.0  # assumed: a worker is warm after this time
IN_FLIGHT_S = 0.1  # assumed: from a request's arrival to its response
SET_SIZE = 8  # assumed: gateways that serve one customer, as in the scale run


@dataclass(frozen=True, slots=True)
class Budget:
    """Limit of what a gateway may spend on control, or of what a request may lose; `unit` as in the page."""

    name: str
    limit: float
    unit: str


CPU = Budget("CPU for control", 0.037, "core")
MEMORY = Budget("memory", 128e6, "bytes")
TRAFFIC = Budget("traffic for control", 13_000.0, "bytes/s")
ADDED = Budget("added to a request, p99", 1.7, "ms")
IN_FORCE = Budget("change in force everywhere", 16.0, "s")
START_S = Budget("ready after a start", 10.0, "s")  # not from the plan: nine of ten restarts in the standing test
MAX_DEVIATION = 0.25  # relative; predictions that are further off are reported
