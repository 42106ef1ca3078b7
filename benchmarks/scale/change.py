"""What a change of one line costs a real gatekeeper with all routes and keys of the plan, now and at a revision before.

Beside it stand only as many hollow ones as share customers with it, so its settings have 24 `peer` lines and not 850.
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
QUIET_S, CHANGING_S, EACH_S, MANY, MANY_S = 4.0, 12.0, 4.0, 1000, 20.0
SLOW_MS, FEW_S = 200.0, 8.0  # a change that takes so long is made fewer times: a thousand would take half an hour


@contextmanager
def checkout(revision: str) -> Iterator[Path]:
    """A revision of the project in a folder of its own."""
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
    """Start, requests without changes and with one every four seconds, then many changes one after another: as many as
    there is time for. CPU of the many is with what asking for their state costs."""
    with Fleet(sizes, processes=1, senders=1, program=program) as fleet:
        values = {"start_s": fleet.start_s[0], "rss_start_mb": rss_mb(fleet.reals[0].pid)}
        fleet.settle()
        row = fleet.row(QUIET_S, QUIET_S)
        times: list[float] = []
        events = [
            (EACH_S * (place + 0.5), lambda: times.append(fleet.change_settings()[0]))
            for place in range(int(CHANGING_S / EACH_S))
        ]
        worked = fleet.state(0)["settings"].get("work_ms")  # an earlier revision may not count it
        before, after, seen = fleet.window(CHANGING_S, sizes.requests, events)
        found = fleet.client_measures(before, after, seen, row["control_cpu_ms_s"])
        beyond = found["cpu_ms_s"] - row["control_cpu_ms_s"] - found["requests_s"] * row["request_cpu_us"] / 1000
        values |= {
            "change_cpu_ms": beyond * (after.at - before.at) / len(times),
            "in_force_s": max(times),
            "quiet_loop_ms": row["loop_ms"],
            "loop_ms": found["loop_ms"],
        }
        if worked is not None:
            values["work_ms"] = (fleet.state(0)["settings"]["work_ms"] - worked) / len(times)
        for name in ("check_p50_ms", "check_p99_ms", "added_p99_ms", "wait_max_ms", "served_share"):
            values |= {f"quiet_{name}": row[name], f"changing_{name}": found[name]}
        values["rss_before_many_mb"] = rss_mb(fleet.reals[0].pid)
        most_s = FEW_S if values["change_cpu_ms"] > SLOW_MS else MANY_S
        end, count, spent = time.monotonic() + most_s, 0, cpu_ms(fleet.reals[0].pid)
        while count < MANY and time.monotonic() < end:
            fleet.change_settings(include_simulated=False)
            count += 1
        values |= {
            "many": float(count),
            "many_cpu_ms": (cpu_ms(fleet.reals[0].pid) - spent) / count,
            "rss_after_many_mb": rss_mb(fleet.reals[0].pid),
        }
    return values


def run(earlier: str = "") -> dict[str, Any]:
    """Both in one run; `earlier`: a revision, "" for none."""
    found: dict[str, Any] = {"sizes": asdict(SIZES), "after": measure(ROOT)}
    if earlier:
        with checkout(earlier) as place:
            found |= {"before": measure(place), "before_revision": earlier}
    return found
