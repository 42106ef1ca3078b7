"""What a controller's list of workers costs it: at rest, while one warms up, when one changes; the module alone.

CPU is this process's, over simulated time; bytes are what Python holds (`tracemalloc`), the interpreter left out."""

from __future__ import annotations

import statistics
import time
import tracemalloc

from anisefront.policy.control_period import PERIOD_MS
from anisefront.policy.controller import Controller
from benchmarks.scale.plan import PLAN, WARM_UP_S, ZONES
from anisefront.policy.events import Endpoint, EndpointList, EndpointStatus, TimerFired
from anisefront.policy.settings import Idempotency, Plan, RequestClass, Settings

START_MS = 1_000_000.0
SIZES = (688, 1_375, 2_750, 5_500, 11_000)  # workers of one controller; the last is the plan's


def settings() -> Settings:
    """Two classes and two plans, in a fleet of the planned size."""
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


def server(number: int, state: EndpointStatus = EndpointStatus.READY, started_ms: float = 0.0) -> Endpoint:
    """One line of the list; lines go through the zones in turn."""
    return Endpoint(
        f"10.{number >> 8}.{number & 255}.1:80", f"z{number % ZONES}", number % ZONES, state, 1.0, started_ms
    )


def made(workers: int) -> Controller:
    """A controller that knows so many."""
    out = Controller(settings(), 37)
    out.handle(START_MS, [EndpointList(tuple(server(number) for number in range(workers)))])
    return out


def held_bytes(workers: int) -> int:
    """What it holds."""
    tracemalloc.start()
    try:
        before = tracemalloc.get_traced_memory()[0]
        kept = made(workers)
        return tracemalloc.get_traced_memory()[0] - before + 0 * len(kept.requests)
    finally:
        tracemalloc.stop()


def idle_cpu(controller: Controller, start_ms: float, seconds: float) -> float:
    """CPU a second of its own periods, without requests."""
    began = time.process_time()
    for step in range(1, int(seconds * 1000 / PERIOD_MS) + 1):
        controller.handle(start_ms + step * PERIOD_MS, [TimerFired("agenda")])
    return (time.process_time() - began) / seconds


def one_change_ms(controller: Controller, now: float) -> float:
    """One worker goes and is back, warm: the middle of its turns."""
    took = []
    for number in range(9):
        for state, started_ms in ((EndpointStatus.REMOVED, 0.0), (EndpointStatus.READY, now - 2000 * WARM_UP_S)):
            now += 1.0
            line = EndpointList((server(number, state, started_ms),), complete=False)
            began = time.perf_counter()
            controller.handle(now, [line])
            took.append((time.perf_counter() - began) * 1000)
    return statistics.median(took)


def measure(sizes: tuple[int, ...] = SIZES, seconds: float = 5.0) -> list[dict[str, float]]:
    """A row for each size, in plain values. Shares of a core, milliseconds, bytes."""
    rows = []
    for workers in sizes:
        one = made(workers)
        row = {
            "workers": workers,
            "bytes": held_bytes(workers),
            "idle_cpu": idle_cpu(one, START_MS, seconds),
            "change_ms": one_change_ms(one, START_MS + 10_000),
        }
        now = START_MS + 20_000
        one.handle(now, [EndpointList((server(workers - 1, EndpointStatus.READY, now),), complete=False)])
        rows.append(row | {"warming_cpu": idle_cpu(one, now, seconds)})
    return rows
