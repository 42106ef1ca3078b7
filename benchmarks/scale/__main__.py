"""Runs all parts of the scale benchmark (`make scale`), or some of them.

    python -m benchmarks.scale [gatekeepers routes .. micro change whole] [--before REV]
    python -m benchmarks.scale page     rewrites the tables of docs/CAPACITY.md from the committed results

Results go to benchmarks/results/scale.json, each part in its place; the exit status is 1 if a part failed.
"""

from __future__ import annotations

import argparse
import os
import sys
import time

from benchmarks.scale import axes, change, micro, page, results, whole

# In the order in which they run; if time runs short, the last are skipped and reported.
PARTS = (
    "gatekeepers",
    "workers",
    "routes",
    "tenants",
    "services",
    "micro",
    "whole",
    "change",
    "requests",
    "settings",
    "list",
    "members",
)
TIME_LIMIT_S = 900.0  # for all parts together
EXPECTED_S = {"requests": 50.0, "settings": 60.0, "list": 60.0, "members": 60.0}  # the parts that may be skipped


def measure_axis(name: str) -> None:
    """Measure one axis; the prediction for its largest size is stored before that size is run."""
    definition, load_averages = axes.AXES[name], [list(os.getloadavg())]
    axis = results.Axis(definition.unit, axes.base(name))
    with definition.measuring() as measure:
        for size in definition.sizes:
            if size == definition.sizes[-1]:
                results.predict(axis, size, definition.models)
                _store(name, axis)
            began = time.monotonic()
            axis.rows.append(results.Row(size, measure(size)))
            print(f"{name} {size:g}: {time.monotonic() - began:.1f} s  {_short(axis.rows[-1].values)}", flush=True)
    axis.strained = [row.size for row in axis.rows if results.strained(row.values)]
    if axis.strained:
        print(f"  {name}: STRAINED at {axis.strained}: the machine could not sustain the load, ignore their times")
    axis.load_beside = [*load_averages, list(os.getloadavg())]
    deviating = results.compare(axis)
    _store(name, axis)
    for each in deviating:
        fitted = axis.fits[each]
        print(
            f"  {name}: {each} off by more than a quarter: "
            f"predicted {fitted.predicted:.4g}, measured {fitted.measured:.4g}"
        )


def _store(name: str, axis: results.Axis) -> None:
    found = results.load()
    found.axes[name] = axis
    results.save(found)


def _short(values: dict[str, float]) -> str:
    names = (
        "rss_mb",
        "control_cpu_ms_s",
        "request_cpu_us",
        "added_p50_ms",
        "added_p99_ms",
        "wait_max_ms",
        "in_force_s",
        "held_mb",
        "idle_cpu_ms_s",
    )
    return "  ".join(f"{name} {values[name]:.4g}" for name in names if name in values)


def run(part: str, seconds: float, earlier: str = "") -> None:
    """Run one part and store its results, with its date and the load averages."""
    began, load_before = time.monotonic(), list(os.getloadavg())
    if part in axes.AXES:
        measure_axis(part)
    found = results.load()
    if part == "micro":
        found.micro = axes.measure_controllers({"micro": True}) | micro.measure()
    elif part == "change":
        found.change = change.run(earlier)
        print(
            "\n".join(
                f"  {name} {each}: {value:.4g}"
                for name in ("before", "after")
                for each, value in found.change.get(name, {}).items()
            )
        )
    elif part == "whole":
        found.whole = whole.run(seconds)
        print("\n".join(f"  {name}: {value}" for name, value in found.whole["values"].items()))
    found.parts[part] = {
        "date": time.strftime("%Y-%m-%dT%H:%M:%S%z"),
        "revision": results.revision(),
        "load_beside": [load_before, list(os.getloadavg())],
        "took_s": time.monotonic() - began,
    }
    results.save(found)


def main() -> None:
    """Parse the command line, run the parts, and exit with 1 if one failed."""
    parser = argparse.ArgumentParser(prog="benchmarks.scale")
    parser.add_argument("parts", nargs="*", metavar="PART", help=", ".join(PARTS))
    parser.add_argument(
        "--seconds", type=float, default=whole.SECONDS, help="length of the whole run; shorter ones are trials"
    )
    parser.add_argument("--before", default="", help="a revision that the part `change` measures too")
    arguments, began, failed = parser.parse_args(), time.monotonic(), []
    if unknown := set(arguments.parts) - {*PARTS, "page"}:
        parser.error(f"unknown part {', '.join(sorted(unknown))}: there are {', '.join(PARTS)} and page")
    if "page" in arguments.parts:
        print(f"{page.PAGE.relative_to(results.ROOT)}: {'updated' if page.write() else 'unchanged'}")
        return
    for part in arguments.parts or PARTS:
        elapsed_s = time.monotonic() - began
        if not arguments.parts and part in EXPECTED_S and elapsed_s + EXPECTED_S[part] > TIME_LIMIT_S:
            print(f"{part}: SKIPPED, {elapsed_s:.0f} of {TIME_LIMIT_S:.0f} s are used; run it by its name", flush=True)
            found = results.load()
            found.parts[part] = found.parts.get(part, {}) | {"cut": time.strftime("%Y-%m-%dT%H:%M:%S%z")}
            results.save(found)
            continue
        try:
            run(part, arguments.seconds, arguments.before)
        except Exception as problem:  # the other parts are still useful; the failure is printed and stored
            failed.append(part)
            print(f"{part} FAILED: {problem}", file=sys.stderr, flush=True)
            found = results.load()
            found.parts[part] = {"date": time.strftime("%Y-%m-%dT%H:%M:%S%z"), "fault": str(problem)[:1000]}
            results.save(found)
        print(f"{part}: done, {time.monotonic() - began:.0f} s since the start", flush=True)
    sys.exit(1 if failed else 0)


if __name__ == "__main__":
    main()
