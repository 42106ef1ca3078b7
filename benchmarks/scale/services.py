"""Many services in one gatekeeper: so many decision modules in one process, each with 24 workers of its own.

A gatekeeper serves one pool today; this is what the modules alone of one that serves all would hold and take. Its task
comes as JSON, `{"services": n}`, and its figures go out as one line.
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
from anisefront.policy.controller import Controller
from benchmarks.scale import child
from benchmarks.scale.files import Files, Sizes
from benchmarks.scale.fleet import quantile, rss_mb
from anisefront.policy.actions import SetTimer, StartAttempt
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

WORKERS, IDLE_S, TURNS, GRAIN_MS = 24, 3.0, 2000, 5.0


def settings(gatekeepers: int) -> Settings:
    """As the settings files of a scale run come to."""
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
    """Modules by number, and a clock of ours: wake-ups as the ledger keeps them, to a grain of 5 ms."""

    def __init__(self, modules: list[Controller]) -> None:
        self.modules, self.wakes, self.turns, self.known = modules, [], 0, set()

    def hand(self, now: float, which: int, events: list[Event]) -> list[object]:
        """One turn of one module."""
        actions = self.modules[which].handle(now, events)
        for action in actions:
            if isinstance(action, SetTimer):
                wake = (-(-(now + action.delay_ms) // GRAIN_MS) * GRAIN_MS, which)
                if wake not in self.known:
                    self.known.add(wake)
                    heapq.heappush(self.wakes, wake)
        self.turns += 1
        return actions

    def idle(self, now: float, until: float) -> float:
        """All wake-ups up to a time of the clock; the time."""
        while self.wakes and self.wakes[0][0] <= until:
            wake = heapq.heappop(self.wakes)
            self.known.discard(wake)
            self.hand(wake[0], wake[1], [TimerFired("agenda")])
        return until


def request(driver: Driver, now: float, which: int, number: int) -> float:
    """A request and the end of its attempt, as two turns."""
    for action in driver.hand(
        now, which, [Arrival(number, f"customer:tenant-{number % 200:05}", "view", "tenant", now + 5000, 1.0, 0, 1)]
    ):
        if isinstance(action, StartAttempt):
            driver.hand(now + GRAIN_MS, which, [AttemptEnded(number, 0, action.endpoint, 4.0, AttemptResult.OK, True)])
    return now + GRAIN_MS


def alone(gatekeepers: int, count: int, turns: int = 1500) -> dict[str, float]:
    """One module before so many workers: a request with its turns, home of its customer, and changes of the list."""
    servers = workers(count)
    driver, began = Driver([Controller(settings(gatekeepers), 1)]), time.perf_counter()
    now = time.time() * 1000 // GRAIN_MS * GRAIN_MS
    driver.hand(now, 0, [EndpointList(servers)])
    first = time.perf_counter() - began
    took, listed = [], []
    for number in range(1, turns + 1):
        began = time.perf_counter()
        now = request(driver, now, 0, number)
        took.append((time.perf_counter() - began) * 1e6)
        now = driver.idle(now, now + 7)
    for number in range(5):
        changed = (replace(servers[number], status=EndpointStatus.DRAINING), *servers[:number], *servers[number + 1 :])
        began = time.perf_counter()
        driver.hand(now, 0, [EndpointList(changed)])
        listed.append((time.perf_counter() - began) * 1e3)
        now = driver.idle(now, now + 100)
    return {
        "request_p50_us": quantile(took, 0.5),
        "request_mean_us": sum(took) / len(took),
        "whole_list_ms": first * 1e3,
        "one_changed_ms": quantile(listed, 0.5),
    }


def reading(count: int) -> dict[str, float]:
    """The list as a file: its bytes, and what reading it takes."""
    with tempfile.TemporaryDirectory() as folder:
        file = Files(Path(folder), Sizes(workers=count, routes=1, tenants=1), 8000).endpoint_list
        text, took = file.read_bytes(), []
        for _ in range(3):
            began = time.perf_counter()
            endpoint_file.parse(text)
            took.append((time.perf_counter() - began) * 1e3)
    return {"list_bytes": float(len(text)), "parse_list_ms": min(took)}


def micro() -> dict[str, float]:
    """The module alone, at the base and at the plan."""
    out = {}
    for gatekeepers, count in ((200, 1000), (850, 1000), (850, 11_000)):
        at = f"at_{gatekeepers}_{count}"
        out |= {f"{name}_{at}": value for name, value in alone(gatekeepers, count).items()}
    for count in (1000, 11_000):
        out |= {f"{name}_{count}": value for name, value in reading(count).items()}
    return out


def main() -> None:
    given = child.task()
    child.send_to_parent(micro() if "micro" in given else many(given["services"]))


def many(count: int) -> dict[str, float]:
    """So many modules, idle and with requests in turn."""
    gc.collect()
    before = rss_mb(os.getpid())
    driver = Driver([Controller(settings(850), number) for number in range(count)])
    now = time.time() * 1000 // GRAIN_MS * GRAIN_MS
    for number in range(count):
        driver.hand(now, number, [EndpointList(workers(WORKERS, number * WORKERS))])
    held = rss_mb(os.getpid()) - before
    gc.collect()
    gc.freeze()
    now = driver.idle(now, now + 1000)
    began, turns = time.process_time(), driver.turns
    now = driver.idle(now, now + IDLE_S * 1000)
    idle, idle_turns = time.process_time() - began, driver.turns - turns
    took = []
    for number in range(1, TURNS + 1):
        began = time.perf_counter()
        now = request(driver, now, number % count, number)
        took.append((time.perf_counter() - began) * 1e6)
        now = driver.idle(now, now + 1)
    return {
        "held_mb": held,
        "idle_cpu_ms_s": idle * 1000 / IDLE_S,
        "idle_turns_s": idle_turns / IDLE_S,
        "turn_us": idle * 1e6 / idle_turns,
        "request_p50_us": quantile(took, 0.5),
        "request_p99_us": quantile(took, 0.99),
    }


if __name__ == "__main__":
    main()
