"""Many services in one gateway: so many controllers in one process, each with 24 workers of its own.

A gateway serves one pool today; this measures the memory and CPU of the controllers of one that serves all. The
parameters come as JSON, `{"services": n}`, and the figures are written as one line.
"""

from __future__ import annotations

import gc
import heapq
import os
import tempfile
import time
from dataclasses import replace
from pathlib import Path

from anisefront.cluster import endpoint_file
from anisefront.policy.actions import SetTimer, StartAttempt
from anisefront.policy.controller import Controller
from anisefront.policy.events import (
    Arrival,
    AttemptEnded,
    AttemptResult,
    Endpoint,
    EndpointList,
    EndpointStatus,
    Event,
    TimerFired,
)
from anisefront.policy.settings import Idempotency, Plan, RequestClass, Settings
from benchmarks.scale import child
from benchmarks.scale.files import Files, Sizes
from benchmarks.scale.fleet import quantile, rss_mb

WORKERS_PER_SERVICE = 24
IDLE_S = 3.0
REQUESTS = 2000
TIMER_RESOLUTION_MS = 5.0


def settings(gatekeepers: int) -> Settings:
    """Return the settings that the files of a scale run amount to."""
    return Settings(
        gateways=gatekeepers,
        number=0,
        zone="zone-0",
        classes=(
            RequestClass("view", 1000, 5000, 1, Idempotency.IDEMPOTENT),
            RequestClass("order", 1000, 5000, 2, Idempotency.KEYED, deduplication_window_ms=4800),
        ),
        plans=(Plan("tenant", 100, 16),),
        warm_up_ms=10_000,
        slow_start_initial_factor=0.2,
        overload_multiple=3,
        overload_window_ms=2000,
        max_attempts=3,
        tick_ms=5,
        max_units=1000,
        peer_messages_enabled=True,
        hedging_enabled=True,
        max_retry_after_ms=5000,
        inbox_per_s=200,
    )


def workers(count: int, first: int = 0) -> tuple[Endpoint, ...]:
    """Return consecutive endpoints, spread over the zones in turn."""
    return tuple(
        Endpoint(
            f"127.{1 + at // 62500}.{at // 250 % 250}.{at % 250 + 1}:8000",
            f"zone-{at % 8}",
            at // 24,
            EndpointStatus.READY,
        )
        for at in range(first, first + count)
    )


class Driver:
    """Controllers by number with a simulated clock; timers have the request table's resolution of 5 ms."""

    def __init__(self, controllers: list[Controller]) -> None:
        self.controllers, self.timers, self.turns, self.scheduled = controllers, [], 0, set()

    def handle(self, now: float, index: int, events: list[Event]) -> list[object]:
        """Let one controller handle events, and schedule the timers that it sets."""
        actions = self.controllers[index].handle(now, events)
        for action in actions:
            if isinstance(action, SetTimer):
                timer = (-(-(now + action.delay_ms) // TIMER_RESOLUTION_MS) * TIMER_RESOLUTION_MS, index)
                if timer not in self.scheduled:
                    self.scheduled.add(timer)
                    heapq.heappush(self.timers, timer)
        self.turns += 1
        return actions

    def idle(self, now: float, until: float) -> float:
        """Fire all timers up to a time of the simulated clock; return that time."""
        while self.timers and self.timers[0][0] <= until:
            timer = heapq.heappop(self.timers)
            self.scheduled.discard(timer)
            self.handle(timer[0], timer[1], [TimerFired("agenda")])
        return until


def request(driver: Driver, now: float, index: int, number: int) -> float:
    """Handle a request and the end of its attempt, as two turns; return the time."""
    for action in driver.handle(
        now, index, [Arrival(number, f"customer:tenant-{number % 200:05}", "view", "tenant", now + 5000, 1.0, 0, 1)]
    ):
        if isinstance(action, StartAttempt):
            driver.handle(
                now + TIMER_RESOLUTION_MS,
                index,
                [AttemptEnded(number, 0, action.endpoint, 4.0, AttemptResult.OK, True)],
            )
    return now + TIMER_RESOLUTION_MS


def measure_one(gatekeepers: int, count: int, turns: int = 1500) -> dict[str, float]:
    """Measure one controller with so many workers: requests of customers whose quota it owns, and list changes."""
    endpoints = workers(count)
    driver, began = Driver([Controller(settings(gatekeepers), 1)]), time.perf_counter()
    now = time.time() * 1000 // TIMER_RESOLUTION_MS * TIMER_RESOLUTION_MS
    driver.handle(now, 0, [EndpointList(endpoints)])
    first_list_s = time.perf_counter() - began
    request_us, change_ms = [], []
    for number in range(1, turns + 1):
        began = time.perf_counter()
        now = request(driver, now, 0, number)
        request_us.append((time.perf_counter() - began) * 1e6)
        now = driver.idle(now, now + 7)
    for number in range(5):
        changed = (
            replace(endpoints[number], status=EndpointStatus.DRAINING),
            *endpoints[:number],
            *endpoints[number + 1 :],
        )
        began = time.perf_counter()
        driver.handle(now, 0, [EndpointList(changed)])
        change_ms.append((time.perf_counter() - began) * 1e3)
        now = driver.idle(now, now + 100)
    return {
        "request_p50_us": quantile(request_us, 0.5),
        "request_mean_us": sum(request_us) / len(request_us),
        "whole_list_ms": first_list_s * 1e3,
        "one_changed_ms": quantile(change_ms, 0.5),
    }


def measure_parsing(count: int) -> dict[str, float]:
    """Measure the size of the endpoint list's file and the time to parse it."""
    with tempfile.TemporaryDirectory() as folder:
        file = Files(Path(folder), Sizes(workers=count, routes=1, tenants=1), 8000).endpoint_list
        text, durations_ms = file.read_bytes(), []
        for _ in range(3):
            began = time.perf_counter()
            endpoint_file.parse(text)
            durations_ms.append((time.perf_counter() - began) * 1e3)
    return {"list_bytes": float(len(text)), "parse_list_ms": min(durations_ms)}


def micro() -> dict[str, float]:
    """Measure one controller and its list, at the base sizes and at the plan's."""
    out = {}
    for gatekeepers, count in ((200, 1000), (850, 1000), (850, 11_000)):
        at = f"at_{gatekeepers}_{count}"
        out |= {f"{name}_{at}": value for name, value in measure_one(gatekeepers, count).items()}
    for count in (1000, 11_000):
        out |= {f"{name}_{count}": value for name, value in measure_parsing(count).items()}
    return out


def main() -> None:
    """Measure what the parameters ask for and report it to the parent."""
    parameters = child.task()
    child.send_to_parent(micro() if "micro" in parameters else many(parameters["services"]))


def many(count: int) -> dict[str, float]:
    """Measure so many controllers in one process, idle and with requests to each in turn."""
    gc.collect()
    before = rss_mb(os.getpid())
    driver = Driver([Controller(settings(850), number) for number in range(count)])
    now = time.time() * 1000 // TIMER_RESOLUTION_MS * TIMER_RESOLUTION_MS
    for number in range(count):
        driver.handle(now, number, [EndpointList(workers(WORKERS_PER_SERVICE, number * WORKERS_PER_SERVICE))])
    allocated_mb = rss_mb(os.getpid()) - before
    gc.collect()
    gc.freeze()
    now = driver.idle(now, now + 1000)
    began, turns = time.process_time(), driver.turns
    now = driver.idle(now, now + IDLE_S * 1000)
    idle, idle_turns = time.process_time() - began, driver.turns - turns
    request_us = []
    for number in range(1, REQUESTS + 1):
        began = time.perf_counter()
        now = request(driver, now, number % count, number)
        request_us.append((time.perf_counter() - began) * 1e6)
        now = driver.idle(now, now + 1)
    return {
        "held_mb": allocated_mb,
        "idle_cpu_ms_s": idle * 1000 / IDLE_S,
        "idle_turns_s": idle_turns / IDLE_S,
        "turn_us": idle * 1e6 / idle_turns,
        "request_p50_us": quantile(request_us, 0.5),
        "request_p99_us": quantile(request_us, 0.99),
    }


if __name__ == "__main__":
    main()
