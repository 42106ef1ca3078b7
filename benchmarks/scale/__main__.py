"""`make scale`, or some parts: python -m benchmarks.scale [gatekeepers routes .. micro change whole] [--before REV]

    python -m benchmarks.scale page     the tables of docs/CAPACITY.md, anew from the committed results

Results go to benchmarks/results/scale.json, each part in its place; exit 1 where a part failed.
"""

from __future__ import annotations

import argparse
import os
import sys
import time

from benchmarks.scale import axes, change, micro, page, results, whole

# In the order in which they run; where the time is up, the last are cut, and it is said.
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
MOST_S = 900.0  # of all parts together
EXPECTED_S = {"requests": 50.0, "settings": 60.0, "list": 60.0, "members": 60.0}  # those that may be cut


def measure_axis(name: str) -> None:
    """One axis, its prediction written before its largest size is run."""
    wanted, beside = axes.AXES[name], [list(os.getloadavg())]
    kept = results.Axis(wanted.unit, axes.base(name))
    with wanted.measuring() as measure:
        for size in wanted.sizes:
            if size == wanted.sizes[-1]:
                results.predict(kept, size, wanted.models)
                _keep(name, kept)
            began = time.monotonic()
            kept.rows.append(results.Row(size, measure(size)))
            print(f"{name} {size:g}: {time.monotonic() - began:.1f} s  {_short(kept.rows[-1].values)}", flush=True)
    kept.strained = [row.size for row in kept.rows if results.strained(row.values)]
    if kept.strained:
        print(f"  {name}: STRAINED at {kept.strained}: the machine could not carry it, hold none of its times")
    kept.load_beside = [*beside, list(os.getloadavg())]
    out = results.compare(kept)
    _keep(name, kept)
    for each in out:
        found = kept.fits[each]
        print(f"  {name}: {each} out by more than a quarter: predicted {found.predicted:.4g}, was {found.measured:.4g}")


def _keep(name: str, axis: results.Axis) -> None:
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
    """One part, kept with when it ran and what beside it."""
    began, beside = time.monotonic(), list(os.getloadavg())
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
        "load_beside": [beside, list(os.getloadavg())],
        "took_s": time.monotonic() - began,
    }
    results.save(found)


def main() -> None:
    asked = argparse.ArgumentParser(prog="benchmarks.scale")
    asked.add_argument("parts", nargs="*", metavar="PART", help=", ".join(PARTS))
    asked.add_argument("--seconds", type=float, default=whole.SECONDS, help="of the whole run; shorter ones are trials")
    asked.add_argument("--before", default="", help="a revision whose text the part `change` measures too")
    given, began, failed = asked.parse_args(), time.monotonic(), []
    if wrong := set(given.parts) - {*PARTS, "page"}:
        asked.error(f"no part {', '.join(sorted(wrong))}: there are {', '.join(PARTS)} and page")
    if "page" in given.parts:
        print(f"{page.PAGE.relative_to(results.ROOT)}: {'written anew' if page.write() else 'as it was'}")
        return
    for part in given.parts or PARTS:
        gone = time.monotonic() - began
        if not given.parts and part in EXPECTED_S and gone + EXPECTED_S[part] > MOST_S:
            print(f"{part}: CUT, {gone:.0f} of {MOST_S:.0f} s are gone; run it by its name", flush=True)
            found = results.load()
            found.parts[part] = found.parts.get(part, {}) | {"cut": time.strftime("%Y-%m-%dT%H:%M:%S%z")}
            results.save(found)
            continue
        try:
            run(part, given.seconds, given.before)
        except Exception as problem:  # the other parts still tell something; what failed is said and kept
            failed.append(part)
            print(f"{part} FAILED: {problem}", file=sys.stderr, flush=True)
            found = results.load()
            found.parts[part] = {"date": time.strftime("%Y-%m-%dT%H:%M:%S%z"), "fault": str(problem)[:1000]}
            results.save(found)
        print(f"{part}: done after {time.monotonic() - began:.0f} s in all", flush=True)
    sys.exit(1 if failed else 0)


if __name__ == "__main__":
    main()
