"""Run of all axes at full size together, with settings changes, restarts, and a zone that is partitioned and healed."""

from __future__ import annotations

import time
from collections.abc import Callable
from dataclasses import asdict
from typing import Any

from benchmarks.scale.child import ChildError
from benchmarks.scale.files import ZONES, Sizes
from benchmarks.scale.fleet import Fleet, cpu_ms, knows_all
from benchmarks.scale.results import strained

PLAN = Sizes(gatekeepers=850, workers=11_000, routes=5800, tenants=22_000)
SECONDS = 300.0
CHANGE_INTERVAL_S = 22.0
RESTARTED_FRACTION = 0.05  # of the simulated gateways
QUIET_S = 5.0
RECOVERY_TIMEOUT_S = 30.0
RESTART_PHASE = (0.2, 0.4)  # begin and end as fractions of the run
PARTITION_PHASE = (0.5, 0.7)  # one minute of a run of five
PARTITIONED_ZONE = 3


def run(seconds: float = SECONDS, sizes: Sizes = PLAN) -> dict[str, Any]:
    """Execute the run and return its figures.

    Restarts and the partition scale with the length of the run; settings always change every 22 s.
    """
    began = time.monotonic()
    with Fleet(sizes) as fleet:
        values: dict[str, Any] = {
            "up_s": time.monotonic() - began,
            "start_s": sum(fleet.start_s.values()) / len(fleet.start_s),
        }
        try:
            values["settle_s"] = fleet.settle()
        except ChildError as problem:  # a machine too busy for the fleet: recorded, and the rest is measured
            values |= {"settle_s": None, "not_settled": str(problem)[:300]}
            fleet.set_client_rate(sizes.requests)
        time.sleep(2.0)
        before, after, _ = fleet.window(QUIET_S)
        took = after.at - before.at
        quiet = sum(after.cpu_ms[each] - before.cpu_ms[each] for each in fleet.reals) / len(fleet.reals) / took
        values |= fleet.rates(before, after, "quiet_")
        changed: list[float] = []
        notes: dict[str, Any] = {}
        events: list[tuple[float, Callable[[], None]]] = [
            (CHANGE_INTERVAL_S * (place + 0.5), lambda: changed.append(fleet.change_settings()[0]))
            for place in range(int(seconds / CHANGE_INTERVAL_S))
        ]
        restartable = [number for number in range(sizes.reals, sizes.gatekeepers) if number not in sizes.neighbours]
        restarted = restartable[
            :: max(1, len(restartable) // max(1, round(RESTARTED_FRACTION * (sizes.gatekeepers - sizes.reals))))
        ]
        gap = (RESTART_PHASE[1] - RESTART_PHASE[0]) * seconds / len(restarted)
        events += [
            (RESTART_PHASE[0] * seconds + gap * place, lambda number=number: fleet.restart_simulated([number]))
            for place, number in enumerate(restarted)
        ]

        def start_partition() -> None:
            """Partition the zone."""
            notes["not_alive_before_cut"] = _not_alive(fleet)
            fleet.isolate_zone(PARTITIONED_ZONE)

        def end_partition() -> None:
            """Heal the partition."""
            notes["not_alive_at_the_end_of_cut"] = _not_alive(fleet)
            fleet.isolate_zone(None)
            notes["healed"] = time.monotonic()

        events += [(PARTITION_PHASE[0] * seconds, start_partition), (PARTITION_PHASE[1] * seconds, end_partition)]
        cpu_before_ms = {each.name: cpu_ms(each.pid) for each in fleet.children}
        before, after, observed = fleet.window(seconds, sizes.requests, events)
        values |= fleet.rates(before, after) | fleet.client_measures(before, after, observed, quiet)
        values |= {
            "control_cpu_ms_s": quiet,
            "in_force_s": max(changed, default=0.0),
            "changes": len(changed),
            "settings_bytes_s": len(changed) * fleet.files.settings_bytes() / (after.at - before.at),
            "list_bytes": fleet.files.endpoint_list.stat().st_size,
            "restarted": len(restarted),
            "cut_members": sum(number % ZONES == PARTITIONED_ZONE for number in range(sizes.gatekeepers)),
            "cut_s": (PARTITION_PHASE[1] - PARTITION_PHASE[0]) * seconds,
            "seconds": seconds,
        }
        end = time.monotonic()
        try:
            recovered = fleet.wait_until(lambda state: knows_all(state, sizes.gatekeepers), RECOVERY_TIMEOUT_S, 0.2)
            notes["all_alive_again_s"] = max(recovered, end) - notes.pop("healed")
        except ChildError as problem:  # a missing figure is recorded, and the rest is kept
            notes["all_alive_again_s"] = None
            notes["not_so"] = str(problem)[:300]
        notes.pop("healed", None)
        simulated = fleet.known()
        values |= notes | {
            "counts": observed["counts"],
            "hollow_rss_mb": sum(each["rss_mb"] for each in simulated),
            "hollow_late_ms": max(each["late"]["worst_ms"] for each in simulated),
            "hollow_late_by_cause_ms": {
                cause: sum(each["late"]["notable_ms_by_cause"][cause] for each in simulated)
                for cause in ("own", "machine", "blocked")
            },
            "hollow_out": sum(each["out"] for each in simulated),
            "hollow_settings": len({(each["version"], each["digest"]) for each in simulated}),
            "harness_cores": sum(
                cpu_ms(each.pid) - cpu_before_ms[each.name]
                for each in fleet.children
                if each not in fleet.reals.values()
            )
            / 1000
            / (time.monotonic() - before.at),
        }
    return {"sizes": asdict(sizes), "values": values, "strained": strained(values)}


def _not_alive(fleet: Fleet) -> float:
    """Return the largest number of members that a real gateway outside the partitioned zone takes for not alive."""
    return max(
        fleet.sizes.gatekeepers - state["members"].get("alive", 0)
        for number, state in fleet.states().items()
        if number % ZONES != PARTITIONED_ZONE
    )
