"""Cost of a settings change with 5,800 routes and 22,000 keys in 472 files: `python -m benchmarks.settings`.

Compares the full load (loader, checker and router) with the incremental one (`IncrementalLoader` and
`build_next_version`) in one run, each in a process of its own, so that memory is counted separately. `measure()`
returns the raw numbers.
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


def change_one_line(layout: Layout, number: int) -> None:
    """Change one line in the file of one service, to a different route each time."""
    layout.change(number % 100, f"route GET /changing/{number} class look pool main")


def resident_mb() -> float:
    """Return the resident memory of this process, in MiB."""
    return int(Path("/proc/self/statm").read_text().split()[1]) * 4096 / 2**20


def peak_mb() -> float:
    """Return the peak resident memory of this process, in MiB."""
    return resource.getrusage(resource.RUSAGE_SELF).ru_maxrss / 1024


def before(layout: Layout, path: Path, changes: int) -> dict[str, object]:
    """Measure the full load: loader.load, checker.check, Router."""
    from anisefront.config import checker, loader
    from anisefront.gateway.routing import Router

    out: dict[str, object] = {"imported_mb": resident_mb()}

    def load_fully() -> tuple[object, float]:
        """Load the settings and return the router and the CPU in ms."""
        began = time.process_time()
        config = checker.check(loader.load(str(path)), {}).config
        router = Router(
            config.routes,
            {request_class.name: request_class.deadline_ms for request_class in config.settings.classes},
            config.customer_header,
            config.keys,
            config.default_plan,
        )
        return router, (time.process_time() - began) * 1000

    router, out["start_cpu_ms"] = load_fully()
    out["held_mb"], costs = resident_mb(), []
    for number in range(changes):
        change_one_line(layout, number)
        router, cost = load_fully()
        costs.append(cost)
    assert router.route("GET", "h", f"/changing/{changes - 1}", {"x-api-key": "any"}).class_name == "look"
    return {**out, "change_cpu_ms": costs, "held_after_mb": resident_mb(), "peak_mb": peak_mb()}


def after(layout: Layout, path: Path, changes: int) -> dict[str, object]:
    """Measure the incremental load, with the garbage collector configured as in daemon/collector.py."""
    from anisefront.config.incremental_loader import IncrementalLoader
    from anisefront.daemon import collector
    from anisefront.gateway.versions import build_next_version

    out: dict[str, object] = {"imported_mb": resident_mb()}
    steps_ms: list[float] = []
    steps_cpu_ms: list[float] = []

    def run(steps: object) -> object:
        """Run the steps to their end, record the duration of each, and return the result."""
        while True:
            began, cpu = time.perf_counter(), time.process_time()
            try:
                next(steps)
            except StopIteration as ended:
                return ended.value
            finally:
                steps_cpu_ms.append((time.process_time() - cpu) * 1000)
                steps_ms.append((time.perf_counter() - began) * 1000)

    began, wall, incremental_loader = time.process_time(), time.perf_counter(), IncrementalLoader(str(path), {})
    version = run(build_next_version(None, run(incremental_loader.steps())))
    out["start_cpu_ms"] = (time.process_time() - began) * 1000
    out["start_ms"], out["held_mb"] = (time.perf_counter() - wall) * 1000, resident_mb()
    gc.collect()
    gc.freeze()
    gc.set_threshold(collector.YOUNG_THRESHOLD, collector.MIDDLE_THRESHOLD, collector.OLD_THRESHOLD)
    costs, longest_ms, longest_cpu_ms, counts, resident = [], [], [], [], []
    for number in range(changes):
        change_one_line(layout, number)
        steps_ms.clear()
        steps_cpu_ms.clear()
        began = time.process_time()
        outcome = run(incremental_loader.steps())
        assert outcome.config is not None, outcome.texts
        version = run(build_next_version(version, outcome))
        costs.append((time.process_time() - began) * 1000)
        longest_ms.append(max(steps_ms))
        longest_cpu_ms.append(max(steps_cpu_ms))
        counts.append(len(steps_ms))
        resident.append(resident_mb())
    assert version.number == changes + 1
    assert version.router.route("GET", "h", f"/changing/{changes - 1}", {"x-api-key": "any"}).class_name == "look"
    began = time.perf_counter()
    gc.collect()
    return {
        **out,
        "change_cpu_ms": costs,
        "longest_step_ms": longest_ms,
        "longest_step_cpu_ms": longest_cpu_ms,
        "steps": counts,
        "held_after_mb": resident,
        "peak_mb": peak_mb(),
        "full_collection_ms": (time.perf_counter() - began) * 1000,
    }


def measure(changes: int = 1000, full_loads: int = 3) -> dict[str, dict[str, object]]:
    """Return the raw numbers of both methods: so many incremental changes, and so many full loads."""
    out = {}
    for name, count in (("before", full_loads), ("after", changes)):
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
    """Print the figures of both methods."""
    if len(sys.argv) == 4:
        method = {"before": before, "after": after}[sys.argv[1]]
        layout = Layout(Path(sys.argv[2]))
        print(json.dumps(method(layout, layout.write(), int(sys.argv[3]))))
        return
    found = measure(int(sys.argv[1]) if len(sys.argv) > 1 else 1000)
    old, new = found["before"], found["after"]
    costs, resident = sorted(new["change_cpu_ms"]), new["held_after_mb"]
    cpu, longest = sorted(new["longest_step_cpu_ms"]), sorted(new["longest_step_ms"])
    print(
        f"one line changed, CPU: before {statistics.median(old['change_cpu_ms']):.0f} ms; "
        f"after {statistics.median(costs):.1f} ms (p99 {costs[len(costs) * 99 // 100]:.1f}, {len(costs)} changes)"
    )
    for what, each in (("CPU", cpu), ("elapsed", longest)):
        print(
            f"longest step of a change, {what}: median {statistics.median(each):.2f} ms, "
            f"p99 {each[len(each) * 99 // 100]:.2f}, longest {each[-1]:.2f}; {new['steps'][-1]} steps"
        )
    print(f"start, CPU: before {old['start_cpu_ms']:.0f} ms; after {new['start_cpu_ms']:.0f} ms")
    print(
        f"resident: before {old['imported_mb']:.1f} -> {old['held_mb']:.1f} MiB, {len(old['change_cpu_ms'])} changes "
        f"later {old['held_after_mb']:.1f}; after {new['imported_mb']:.1f} -> {new['held_mb']:.1f} MiB, "
        f"first change {resident[0]:.1f}, tenth {resident[min(9, len(resident) - 1)]:.1f}, last {resident[-1]:.1f} "
        f"({(resident[-1] / new['held_mb'] - 1) * 100:+.1f}% of the start)"
    )
    print(f"peak resident: before {old['peak_mb']:.1f} MiB, after {new['peak_mb']:.1f}")
    print(f"a full garbage collection of objects allocated since the start: {new['full_collection_ms']:.1f} ms")


if __name__ == "__main__":
    main()
