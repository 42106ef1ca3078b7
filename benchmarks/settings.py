"""`python -m benchmarks.settings`: what a change of settings costs at 5,800 routes and 22,000 keys, 472 files included.

Before (the whole load, check and router) and after (IncrementalLoader and next_steps) in one run, in processes of their
own so that memory is each one's. `measure()` gives the raw numbers.
"""

from __future__ import annotations

import gc
import json
import resource
import statistics
import subprocess
import sys
import tempfile
import time
from pathlib import Path

from benchmarks.changes import Layout


def one_line(layout: Layout, number: int) -> None:
    """Change one line in the file of one service: a route of its own, another each time."""
    layout.change(number % 100, f"route GET /changing/{number} class look pool main")


def held_mb() -> float:
    """What the process holds in memory, in MiB."""
    return int(Path("/proc/self/statm").read_text().split()[1]) * 4096 / 2**20


def peak_mb() -> float:
    """The most that the process has held in memory, in MiB."""
    return resource.getrusage(resource.RUSAGE_SELF).ru_maxrss / 1024


def before(layout: Layout, path: Path, changes: int) -> dict[str, object]:
    """The whole way: loader.load, checker.check, Router."""
    from anisefront.config import checker, loader
    from anisefront.gateway.routing import Router

    out: dict[str, object] = {"imported_mb": held_mb()}

    def whole() -> tuple[object, float]:
        began = time.process_time()
        config = checker.check(loader.load(str(path)), {}).config
        router = Router(
            config.routes,
            {kind.name: kind.deadline_ms for kind in config.settings.classes},
            config.customer_header,
            config.keys,
            config.default_plan,
        )
        return router, (time.process_time() - began) * 1000

    router, out["start_cpu_ms"] = whole()
    out["held_mb"], costs = held_mb(), []
    for number in range(changes):
        one_line(layout, number)
        router, cost = whole()
        costs.append(cost)
    assert router.route("GET", "h", f"/changing/{changes - 1}", {"x-api-key": "any"}).class_name == "look"
    return {**out, "change_cpu_ms": costs, "held_after_mb": held_mb(), "peak_mb": peak_mb()}


def after(layout: Layout, path: Path, changes: int) -> dict[str, object]:
    """In steps: IncrementalLoader and next_steps, the collector of cycles set as daemon/collector.py sets it."""
    from anisefront.config.incremental_loader import IncrementalLoader
    from anisefront.gateway.versions import build_next_version
    from anisefront.daemon import collector

    out: dict[str, object] = {"imported_mb": held_mb()}
    steps_ms: list[float] = []
    steps_cpu_ms: list[float] = []

    def run(steps: object) -> object:
        while True:
            began, cpu = time.perf_counter(), time.process_time()
            try:
                next(steps)
            except StopIteration as ended:
                return ended.value
            finally:
                steps_cpu_ms.append((time.process_time() - cpu) * 1000)
                steps_ms.append((time.perf_counter() - began) * 1000)

    began, wall, reading = time.process_time(), time.perf_counter(), IncrementalLoader(str(path), {})
    version = run(build_next_version(None, run(reading.steps())))
    out["start_cpu_ms"] = (time.process_time() - began) * 1000
    out["start_ms"], out["held_mb"] = (time.perf_counter() - wall) * 1000, held_mb()
    gc.collect()
    gc.freeze()
    gc.set_threshold(collector.YOUNG_THRESHOLD, collector.MIDDLE_THRESHOLD, collector.OLD_THRESHOLD)
    costs, longest, longest_cpu, counts, held = [], [], [], [], []
    for number in range(changes):
        one_line(layout, number)
        steps_ms.clear()
        steps_cpu_ms.clear()
        began = time.process_time()
        outcome = run(reading.steps())
        assert outcome.config is not None, outcome.texts
        version = run(build_next_version(version, outcome))
        costs.append((time.process_time() - began) * 1000)
        longest.append(max(steps_ms))
        longest_cpu.append(max(steps_cpu_ms))
        counts.append(len(steps_ms))
        held.append(held_mb())
    assert version.number == changes + 1
    assert version.router.route("GET", "h", f"/changing/{changes - 1}", {"x-api-key": "any"}).class_name == "look"
    began = time.perf_counter()
    gc.collect()
    return {
        **out,
        "change_cpu_ms": costs,
        "longest_step_ms": longest,
        "longest_step_cpu_ms": longest_cpu,
        "steps": counts,
        "held_after_mb": held,
        "peak_mb": peak_mb(),
        "full_collection_ms": (time.perf_counter() - began) * 1000,
    }


def measure(changes: int = 1000, whole: int = 3) -> dict[str, dict[str, object]]:
    """Raw numbers of both ways: so many changes in steps, and so many by the whole load."""
    out = {}
    for name, count in (("before", whole), ("after", changes)):
        with tempfile.TemporaryDirectory() as folder:
            done = subprocess.run(
                [sys.executable, "-m", "benchmarks.settings", name, folder, str(count)],
                stdout=subprocess.PIPE,
                check=True,
                timeout=600,
            )
            out[name] = json.loads(done.stdout)
    return out


def main() -> None:
    """Print both ways side by side."""
    if len(sys.argv) == 4:
        way = {"before": before, "after": after}[sys.argv[1]]
        layout = Layout(Path(sys.argv[2]))
        print(json.dumps(way(layout, layout.write(), int(sys.argv[3]))))
        return
    found = measure(int(sys.argv[1]) if len(sys.argv) > 1 else 1000)
    old, new = found["before"], found["after"]
    costs, held = sorted(new["change_cpu_ms"]), new["held_after_mb"]
    cpu, longest = sorted(new["longest_step_cpu_ms"]), sorted(new["longest_step_ms"])
    print(
        f"one line changed, CPU: before {statistics.median(old['change_cpu_ms']):.0f} ms; "
        f"after {statistics.median(costs):.1f} ms (p99 {costs[len(costs) * 99 // 100]:.1f}, {len(costs)} changes)"
    )
    for what, each in (("CPU", cpu), ("by the clock", longest)):
        print(
            f"longest step of a change, {what}: median {statistics.median(each):.2f} ms, "
            f"p99 {each[len(each) * 99 // 100]:.2f}, longest {each[-1]:.2f}; {new['steps'][-1]} steps"
        )
    print(f"start, CPU: before {old['start_cpu_ms']:.0f} ms; after {new['start_cpu_ms']:.0f} ms")
    print(
        f"held: before {old['imported_mb']:.1f} -> {old['held_mb']:.1f} MiB, {len(old['change_cpu_ms'])} changes "
        f"later {old['held_after_mb']:.1f}; after {new['imported_mb']:.1f} -> {new['held_mb']:.1f} MiB, "
        f"first change {held[0]:.1f}, tenth {held[min(9, len(held) - 1)]:.1f}, last {held[-1]:.1f} "
        f"({(held[-1] / new['held_mb'] - 1) * 100:+.1f}% of the start)"
    )
    print(f"the most that was held: before {old['peak_mb']:.1f} MiB, after {new['peak_mb']:.1f}")
    print(f"a full collection of what came since the start: {new['full_collection_ms']:.1f} ms")


if __name__ == "__main__":
    main()
