"""The size that decides the design, today's, and the budgets: the one place where these figures stand.

A machine is a gatekeeper or a worker. Rates are per second, sizes bytes, times by their unit."""

from __future__ import annotations

from dataclasses import dataclass

DAY_S = 86_400.0


@dataclass(frozen=True, slots=True)
class Size:
    """One size of the whole fleet. `requests_per_s` is over all gatekeepers, at the peak."""

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
        """Gatekeepers and workers; the machines of control are not counted."""
        return self.gatekeepers + self.workers

    @property
    def each_requests_per_s(self) -> float:
        """A gatekeeper's part of the peak."""
        return self.requests_per_s / self.gatekeepers

    @property
    def service_workers(self) -> int:
        """Workers of a service, on average."""
        return round(self.workers / self.services)

    @property
    def change_every_s(self) -> float:
        """Seconds between two changes of settings."""
        return DAY_S / self.changes_a_day

    @property
    def worker_changes_a_day(self) -> float:
        """Lines of the list of workers that change: each worker that restarts or fails goes and comes back."""
        return 2 * (self.restarts_a_day + self.failures_a_day) * self.workers / self.machines

    @property
    def gatekeeper_changes_a_day(self) -> float:
        """Gatekeepers that go, by a restart or a failure."""
        return (self.restarts_a_day + self.failures_a_day) * self.gatekeepers / self.machines


PLAN = Size(850, 11_000, 450, 5_800, 22_000, 69_000.0, 3_900.0, 660.0, 29.0)
# The standing test has 200 gatekeepers, up to 200 workers and one service. What it has no figure for is the plan's
# part of 200 in 850.
_PART = 200 / PLAN.gatekeepers
TODAY = Size(
    200,
    200,
    1,
    round(PLAN.routes * _PART),
    round(PLAN.tenants * _PART),
    PLAN.requests_per_s * _PART,
    PLAN.changes_a_day * _PART,
    PLAN.restarts_a_day * _PART,
    PLAN.failures_a_day * _PART,
)
REGIONS, ZONES, CONTROL_MACHINES = 3, 8, 5
RACK_MACHINES = 40  # taken: the plan names no size of a rack
APART_S = 300.0  # taken: "minutes" for which regions lose each other
WARM_UP_S = 30.0  # taken: for so long a worker that has started is not surely warm
IN_HAND_S = 0.1  # taken: from a request's arrival to its answer
SET = 8  # taken: gatekeepers through which a customer comes, as in the scale run


@dataclass(frozen=True, slots=True)
class Budget:
    """What a gatekeeper may spend on control, or a request may lose. `unit` as in the page."""

    name: str
    most: float
    unit: str


CPU = Budget("CPU for control", 0.037, "core")
MEMORY = Budget("memory", 128e6, "bytes")
TRAFFIC = Budget("traffic for control", 13_000.0, "bytes/s")
ADDED = Budget("added to a request, p99", 1.7, "ms")
IN_FORCE = Budget("change in force everywhere", 16.0, "s")
START_S = Budget("ready after a start", 10.0, "s")  # not of the plan: nine in ten restarted, on the standing test
OFF_BY = 0.25  # a prediction further out than this part is said to be off
