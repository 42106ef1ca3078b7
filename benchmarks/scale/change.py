"""Cost of a one-line settings change for a real gateway with the plan's routes and keys, now and at a past revision.

The fleet has only the simulated gateways that share customers with it: its settings have 24 `peer` lines and not 850.
"""

from __future__ import annotations

import subprocess
import tempfile
import time
from collections.abc import Iterator
from contextlib import contextmanager
from dataclasses import asdict
from pathlib import Path
from typing import Any

from benchmarks.scale.files import Sizes
from benchmarks.scale.fleet import Fleet, cpu_ms, rss_mb
from benchmarks.scale.results import ROOT

SIZES = Sizes(gatekeepers=24, workers=1000, routes=5800, tenants=22_000, reals=1)
QUIET_S = 4.0
CHANGING_S = 12.0
CHANGE_INTERVAL_S = 4.0
MANY_CHANGES = 1000
MANY_CHANGES_S = 20.0
SLOW_CHANGE_MS = 200.0  # slower changes are repeated for a shorter time: a thousand would take half an hour
SLOW_CHANGES_S = 8.0


@contextmanager
def checkout(revision: str) -> Iterator[Path]:
    """Check a revision out into a temporary git worktree."""
    with tempfile.TemporaryDirectory(prefix="scale-") as folder:
        place = Path(folder) / "before"
        subprocess.run(
            ["git", "-C", str(ROOT), "worktree", "add", "--detach", str(place), revision],
            check=True,
            capture_output=True,
            timeout=60,
        )
        try:
            yield place
        finally:
            subprocess.run(
                ["git", "-C", str(ROOT), "worktree", "remove", "--force", str(place)],
                check=True,
                capture_output=True,
                timeout=60,
            )


def measure(program: Path, sizes: Sizes = SIZES) -> dict[str, float]:
    """Measure the start, requests without changes and with one every four seconds, then many changes in succession.

    There are as many of these as fit into their time; their CPU includes the state reports that are polled.
    """
    with Fleet(sizes, processes=1, senders=1, program=program) as fleet:
        values = {"start_s": fleet.start_s[0], "rss_start_mb": rss_mb(fleet.reals[0].pid)}
        fleet.settle()
        row = fleet.row(QUIET_S, QUIET_S)
        times: list[float] = []
        events = [
            (CHANGE_INTERVAL_S * (place + 0.5), lambda: times.append(fleet.change_settings()[0]))
            for place in range(int(CHANGING_S / CHANGE_INTERVAL_S))
        ]
        work_before_ms = fleet.state(0)["settings"].get("work_ms")  # earlier revisions do not report it
        before, after, observed = fleet.window(CHANGING_S, sizes.requests, events)
        changing = fleet.client_measures(before, after, observed, row["control_cpu_ms_s"])
        beyond = changing["cpu_ms_s"] - row["control_cpu_ms_s"] - changing["requests_s"] * row["request_cpu_us"] / 1000
        values |= {
            "change_cpu_ms": beyond * (after.at - before.at) / len(times),
            "in_force_s": max(times),
            "quiet_loop_ms": row["loop_ms"],
            "loop_ms": changing["loop_ms"],
        }
        if work_before_ms is not None:
            values["work_ms"] = (fleet.state(0)["settings"]["work_ms"] - work_before_ms) / len(times)
        for name in ("check_p50_ms", "check_p99_ms", "added_p99_ms", "wait_max_ms", "served_share"):
            values |= {f"quiet_{name}": row[name], f"changing_{name}": changing[name]}
        values["rss_before_many_mb"] = rss_mb(fleet.reals[0].pid)
        duration_s = SLOW_CHANGES_S if values["change_cpu_ms"] > SLOW_CHANGE_MS else MANY_CHANGES_S
        end, count, cpu_before_ms = time.monotonic() + duration_s, 0, cpu_ms(fleet.reals[0].pid)
        while count < MANY_CHANGES and time.monotonic() < end:
            fleet.change_settings(include_simulated=False)
            count += 1
        values |= {
            "many": float(count),
            "many_cpu_ms": (cpu_ms(fleet.reals[0].pid) - cpu_before_ms) / count,
            "rss_after_many_mb": rss_mb(fleet.reals[0].pid),
        }
    return values


def run(earlier: str = "") -> dict[str, Any]:
    """Measure this checkout, and the revision `earlier` unless it is empty."""
    found: dict[str, Any] = {"sizes": asdict(SIZES), "after": measure(ROOT)}
    if earlier:
        with checkout(earlier) as place:
            found |= {"before": measure(place), "before_revision": earlier}
    return found
