"""All axes at full size together, with changes, restarts and a zone that is cut off and healed."""

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
SECONDS, CHANGE_S, RESTARTED, QUIET_S, BACK_S = 300.0, 22.0, 0.05, 5.0, 30.0
RESTARTS, CUT, ZONE = (0.2, 0.4), (0.5, 0.7), 3  # parts of the time: restarts, then a minute's cut of five


def run(seconds: float = SECONDS, sizes: Sizes = PLAN) -> dict[str, Any]:
    """The run; its figures. Shorter ones have all their troubles in proportion, but a change every 22 s."""
    began = time.monotonic()
    with Fleet(sizes) as fleet:
        values: dict[str, Any] = {
            "up_s": time.monotonic() - began,
            "start_s": sum(fleet.start_s.values()) / len(fleet.start_s),
        }
        try:
            values["settle_s"] = fleet.settle()
        except ChildError as problem:  # a machine too busy for all of them: said, and the rest is measured all the same
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
            (CHANGE_S * (place + 0.5), lambda: changed.append(fleet.change_settings()[0]))
            for place in range(int(seconds / CHANGE_S))
        ]
        calm = [number for number in range(sizes.reals, sizes.gatekeepers) if number not in sizes.neighbours]
        restarted = calm[:: max(1, len(calm) // max(1, round(RESTARTED * (sizes.gatekeepers - sizes.reals))))]
        gap = (RESTARTS[1] - RESTARTS[0]) * seconds / len(restarted)
        events += [
            (RESTARTS[0] * seconds + gap * place, lambda number=number: fleet.restart_simulated([number]))
            for place, number in enumerate(restarted)
        ]

        def cut() -> None:
            notes["not_alive_before_cut"] = _not_alive(fleet)
            fleet.isolate_zone(ZONE)

        def heal() -> None:
            notes["not_alive_at_the_end_of_cut"] = _not_alive(fleet)
            fleet.isolate_zone(None)
            notes["healed"] = time.monotonic()

        events += [(CUT[0] * seconds, cut), (CUT[1] * seconds, heal)]
        spent = {each.name: cpu_ms(each.pid) for each in fleet.children}
        before, after, seen = fleet.window(seconds, sizes.requests, events)
        values |= fleet.rates(before, after) | fleet.client_measures(before, after, seen, quiet)
        values |= {
            "control_cpu_ms_s": quiet,
            "in_force_s": max(changed, default=0.0),
            "changes": len(changed),
            "settings_bytes_s": len(changed) * fleet.files.settings_bytes() / (after.at - before.at),
            "list_bytes": fleet.files.endpoint_list.stat().st_size,
            "restarted": len(restarted),
            "cut_members": sum(number % ZONES == ZONE for number in range(sizes.gatekeepers)),
            "cut_s": (CUT[1] - CUT[0]) * seconds,
            "seconds": seconds,
        }
        end = time.monotonic()
        try:
            back = fleet.wait_until(lambda state: knows_all(state, sizes.gatekeepers), BACK_S, 0.2)
            notes["all_alive_again_s"] = max(back, end) - notes.pop("healed")
        except ChildError as problem:  # a figure that did not come is said, and the rest is kept
            notes["all_alive_again_s"] = None
            notes["not_so"] = str(problem)[:300]
        notes.pop("healed", None)
        hollow = fleet.known()
        values |= notes | {
            "counts": seen["counts"],
            "hollow_rss_mb": sum(each["rss_mb"] for each in hollow),
            "hollow_late_ms": max(each["late"]["worst_ms"] for each in hollow),
            "hollow_late_by_cause_ms": {
                cause: sum(each["late"]["notable_ms_by_cause"][cause] for each in hollow)
                for cause in ("own", "machine", "blocked")
            },
            "hollow_out": sum(each["out"] for each in hollow),
            "hollow_settings": len({(each["version"], each["digest"]) for each in hollow}),
            "harness_cores": sum(
                cpu_ms(each.pid) - spent[each.name] for each in fleet.children if each not in fleet.reals.values()
            )
            / 1000
            / (time.monotonic() - before.at),
        }
    return {"sizes": asdict(sizes), "values": values, "strained": strained(values)}


def _not_alive(fleet: Fleet) -> float:
    """How many members a real gatekeeper of no cut zone takes for not alive; the most of any."""
    return max(
        fleet.sizes.gatekeepers - state["members"].get("alive", 0)
        for number, state in fleet.states().items()
        if number % ZONES != ZONE
    )
