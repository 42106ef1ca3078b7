"""Cost of a controller's endpoint list: at rest, while a worker warms up, and when one changes.

CPU is that of this process per simulated second; bytes are those allocated in Python (`tracemalloc`).
"""

from __future__ import annotations

import statistics
import time
import tracemalloc

from anisefront.policy.control_period import PERIOD_MS
from anisefront.policy.controller import Controller
from anisefront.policy.events import Endpoint, EndpointList, EndpointStatus, TimerFired
from anisefront.policy.settings import Idempotency, Plan, RequestClass, Settings
from benchmarks.scale.plan import PLAN, WARM_UP_S, ZONES

START_MS = 1_000_000.0
SIZES = (688, 1_375, 2_750, 5_500, 11_000)  # workers of one controller, up to the plan's


def settings() -> Settings:
    """Return settings with two classes and two plans, for a fleet of the planned size."""
    return Settings(
        gateways=PLAN.gatekeepers,
        number=0,
        zone="z0",
        classes=(
            RequestClass("view", 300.0, 1500.0, 1.0, Idempotency.IDEMPOTENT),
            RequestClass("order", 600.0, 2500.0, 3.0, Idempotency.NON_IDEMPOTENT),
        ),
        plans=(Plan("none"), Plan("small", 3.0, 6.0)),
        warm_up_ms=WARM_UP_S * 1000,
        slow_start_initial_factor=0.2,
        overload_multiple=3.0,
        overload_window_ms=2000.0,
        max_attempts=3,
        peer_messages_enabled=True,
        inbox_per_s=400.0,
    )


def endpoint(number: int, state: EndpointStatus = EndpointStatus.READY, started_ms: float = 0.0) -> Endpoint:
    """Return one endpoint; numbers go through the zones in turn."""
    return Endpoint(
        f"10.{number >> 8}.{number & 255}.1:80", f"z{number % ZONES}", number % ZONES, state, 1.0, started_ms
    )


def new_controller(workers: int) -> Controller:
    """Return a controller with so many workers in its list."""
    controller = Controller(settings(), 37)
    controller.handle(START_MS, [EndpointList(tuple(endpoint(number) for number in range(workers)))])
    return controller


def allocated_bytes(workers: int) -> int:
    """Return the bytes that a controller with so many workers allocates."""
    tracemalloc.start()
    try:
        before = tracemalloc.get_traced_memory()[0]
        controller = new_controller(workers)
        return tracemalloc.get_traced_memory()[0] - before + 0 * len(controller.requests)
    finally:
        tracemalloc.stop()


def idle_cpu(controller: Controller, start_ms: float, seconds: float) -> float:
    """Return the CPU per second of the control periods, without requests."""
    began = time.process_time()
    for step in range(1, int(seconds * 1000 / PERIOD_MS) + 1):
        controller.handle(start_ms + step * PERIOD_MS, [TimerFired("agenda")])
    return (time.process_time() - began) / seconds


def one_change_ms(controller: Controller, now: float) -> float:
    """Return the median time of a list change: one worker is removed and returns warm."""
    durations_ms = []
    for number in range(9):
        for state, started_ms in ((EndpointStatus.REMOVED, 0.0), (EndpointStatus.READY, now - 2000 * WARM_UP_S)):
            now += 1.0
            line = EndpointList((endpoint(number, state, started_ms),), complete=False)
            began = time.perf_counter()
            controller.handle(now, [line])
            durations_ms.append((time.perf_counter() - began) * 1000)
    return statistics.median(durations_ms)


def measure(sizes: tuple[int, ...] = SIZES, seconds: float = 5.0) -> list[dict[str, float]]:
    """Return one row for each size, in plain values: fractions of a core, milliseconds, bytes."""
    rows = []
    for workers in sizes:
        controller = new_controller(workers)
        row = {
            "workers": workers,
            "bytes": allocated_bytes(workers),
            "idle_cpu": idle_cpu(controller, START_MS, seconds),
            "change_ms": one_change_ms(controller, START_MS + 10_000),
        }
        now = START_MS + 20_000
        controller.handle(now, [EndpointList((endpoint(workers - 1, EndpointStatus.READY, now),), complete=False)])
        rows.append(row | {"warming_cpu": idle_cpu(controller, now, seconds)})
    return rows
