"""Results of a scale run: the file benchmarks/results/scale.json, and the predictions in it. Nothing is measured here.

    {"date": ISO 8601, "revision": git's, with "+" if files differ from it,
     "machine": {"cpu", "cores", "memory_gib", "kernel", "python"},
     "axes": {name: Axis}, "whole": {...}, "micro": {...}, "parts": {name: {"date", "revision", "load_beside",
     "took_s"}, or "fault": why it failed; "cut": when it was skipped for lack of time, its figures are of "date"}}

    Axis   {"unit": what a size counts, "base": the other axes' sizes, "rows": [Row], "fits": {measure: Fit},
            "load_beside": load averages of the machine before and after, "strained": sizes at which the machine could
            not sustain the load (see `strained`): their times say nothing about a gateway}
    whole  {"sizes": of each axis, "values": as a Row's, and the events and observations of the run, as flat figures}
    micro  {name: figure}, controllers in one process and models, by name
    change {"sizes", "after": {name: figure}, "before": the same of an earlier revision}: one real gateway whose
            settings change by one line
    Row    {"size": n, "values": {measure: value}}      rows are sorted by size; the last is the largest
    Fit    {"model", "a", "b", "c", "err_a", "err_b", "err_c", "r2", "predicted_at", "predicted", "measured", "ratio",
            "out"}      through all rows but the last; `predicted` is written to the file before the last size is run;
            `ratio` is measured / predicted, null unless positive was predicted; `out`: off by over a quarter

Measures are named by quantity and unit; all are of the real gateways, as their mean unless stated otherwise:

    start_s             from the process's start until it reports that it is ready
    rss_mb              resident memory at the end of the row, MB of 10^6 bytes; `held_*_kb`: its own count by purpose
    change_cpu_ms       CPU per change of settings or of the list, without the requests and control of the window
    control_cpu_ms_s    CPU per second in a window without own clients: membership, and quota requests of other gateways
                        that this one owns
    request_cpu_us      CPU per request beyond that, in the window with requests, including requests to quota owners
    members_*, quotas_*, keeping_*   `_in_msgs_s`, `_out_msgs_s`, `_in_bytes_s`, `_out_bytes_s`: datagrams per second
                        in the window with requests (`quiet_...`: in the quiet one), with authentication, without UDP
    list_bytes_s, settings_bytes_s   bytes per second of the endpoint list and the settings files that are read
    check_p50_ms ...    from the scheduled time of a request to the response of its check, by gRPC external
                        authorisation: the client executes the attempt itself and logs its end
    bare_p50_ms ...     the same for a bare grpcio server that allows everything, by a client of the same kind and rate:
                        the cost of the client and the machine
    added_p50_ms, added_p99_ms, added_p999_ms   a request through the gateway to its worker against the same one
                        sent straight to that worker afterwards: difference of the quantiles
    wait_max_ms         the longest check of the row: how long a stall of the event loop makes a client wait
    loop_ms, turn_ms    upper bound of the highest bucket of loop lateness and turn length (state report)
    in_force_s          from the change of a file until it is in force at the last real gateway
    zone_*              in the largest row of `members`: all `zone_members` of one zone restart at once; not fitted
"""

from __future__ import annotations

import json
import os
import platform
import subprocess
import time
from dataclasses import asdict, dataclass, field
from pathlib import Path
from typing import Any

ROOT = Path(__file__).parent.parent.parent
FILE = ROOT / "benchmarks/results/scale.json"
MAX_DEVIATION = 0.25  # relative; predictions that are further off are reported


@dataclass(frozen=True, slots=True)
class Fit:
    """Fit of a measure by size, with its prediction for the largest size (None: not made or not run yet)."""

    model: str
    a: float
    b: float
    err_a: float
    err_b: float
    r2: float
    c: float = 0.0
    err_c: float = 0.0
    predicted_at: float | None = None
    predicted: float | None = None
    measured: float | None = None
    ratio: float | None = None
    out: bool | None = None


@dataclass(slots=True)
class Row:
    """Measures of one size of an axis, as means over the real gateways."""

    size: float
    values: dict[str, float]


@dataclass(slots=True)
class Axis:
    """Results of one axis, with the other axes at `base`."""

    unit: str
    base: dict[str, float]
    rows: list[Row] = field(default_factory=list)
    fits: dict[str, Fit] = field(default_factory=dict)
    load_beside: list[list[float]] = field(default_factory=list)
    strained: list[float] = field(default_factory=list)


@dataclass(slots=True)
class Results:
    """Contents of the results file."""

    date: str = ""
    revision: str = ""
    machine: dict[str, Any] = field(default_factory=dict)
    axes: dict[str, Axis] = field(default_factory=dict)
    whole: dict[str, Any] = field(default_factory=dict)
    micro: dict[str, Any] = field(default_factory=dict)
    change: dict[str, Any] = field(default_factory=dict)
    parts: dict[str, dict[str, Any]] = field(default_factory=dict)


MAX_SENT_LATE_P99_MS = 20.0  # against the schedule of the clients


def strained(values: dict[str, float]) -> bool:
    """Return whether the clients themselves sent late, so that the machine was measured and not the gateway.

    A stall of a gateway does not delay sending, so it cannot be mistaken for this.
    """
    return values.get("sent_late_p99_ms", 0.0) > MAX_SENT_LATE_P99_MS


# Prefixes of the measures that are costs. The others are stored but not fitted: histogram buckets, and measures of the
# quality of the run (served_share, sent_late, direct, requests_s); the loaded window has the quiet one's messages too.
FITTED = (
    "start_s",
    "rss_mb",
    "held_",
    "control_cpu_ms_s",
    "cpu_ms_s",
    "request_cpu_us",
    "members_",
    "quotas_",
    "added_",
    "wait_max_ms",
    "in_force_s",
    "list_bytes_s",
    "settings_bytes_s",
    "change_cpu_ms",
    "idle_",
    "turn_us",
    "request_p50_us",
)


def predict(axis: Axis, largest: float, models: dict[str, str] | None = None) -> None:
    """Fit each cost that all rows have, and predict it for the largest size.

    `models` has the fit models of measures that are not linear in the size.
    """
    from benchmarks.scale import fit

    names = set.intersection(*(set(row.values) for row in axis.rows)) if axis.rows else set()
    for name in sorted(each for each in names if each.startswith(FITTED)):
        sizes, values = [row.size for row in axis.rows], [row.values[name] for row in axis.rows]
        found = fit.fit(sizes, values, (models or {}).get(name, "linear"))
        axis.fits[name] = Fit(**asdict(found) | {"predicted_at": largest, "predicted": fit.at(found, largest)})


def compare(axis: Axis) -> list[str]:
    """Compare the last row with its predictions; return the measures that are off by more than a quarter."""
    from benchmarks.scale import fit

    last, deviating = axis.rows[-1], []
    for name, found in axis.fits.items():
        if name not in last.values or found.predicted_at != last.size:
            continue
        ratio = fit.ratio(found.predicted, last.values[name])
        off = abs(last.values[name] - found.predicted) > MAX_DEVIATION * abs(found.predicted)
        axis.fits[name] = Fit(**asdict(found) | {"measured": last.values[name], "ratio": ratio, "out": off})
        deviating += [name] * off
    return deviating


def machine() -> dict[str, Any]:
    """Describe this machine: CPU, cores, memory, kernel and Python version."""
    cpu = ""
    for line in Path("/proc/cpuinfo").read_text().splitlines():
        if line.startswith("model name"):
            cpu = line.partition(":")[2].strip()
            break
    memory = os.sysconf("SC_PAGE_SIZE") * os.sysconf("SC_PHYS_PAGES") / 2**30
    return {
        "cpu": cpu,
        "cores": os.cpu_count(),
        "memory_gib": round(memory, 1),
        "kernel": platform.release(),
        "python": platform.python_version(),
    }


def revision() -> str:
    """Return git's revision, with "+" if files differ from it; "unknown" outside of a checkout."""

    def git(*words: str) -> str:
        """Run a git command and return its output."""
        return subprocess.run(
            ["git", "-C", str(ROOT), *words], capture_output=True, text=True, timeout=20, check=True
        ).stdout.strip()

    try:
        changed = git("status", "--porcelain", "--", "anisefront", "benchmarks", ":!benchmarks/results")
        return git("rev-parse", "--short", "HEAD") + "+" * bool(changed)
    except (OSError, subprocess.SubprocessError):
        return "unknown"


def load(path: Path = FILE) -> Results:
    """Read the results; without a file they are empty."""
    if not path.exists():
        return Results()
    data = json.loads(path.read_text())
    axes = {
        name: Axis(
            each["unit"],
            each["base"],
            [Row(**row) for row in each["rows"]],
            {key: Fit(**value) for key, value in each["fits"].items()},
            each.get("load_beside", []),
            each.get("strained", []),
        )
        for name, each in data.pop("axes", {}).items()
    }
    return Results(**data, axes=axes)


def plain(value: Any) -> Any:
    """Round figures to six digits: the rest is noise, and diffs of two runs stay readable."""
    if isinstance(value, dict):
        return {key: plain(each) for key, each in value.items()}
    if isinstance(value, list | tuple):
        return [plain(each) for each in value]
    return float(f"{value:.6g}") if isinstance(value, float) else value


def save(results: Results, path: Path = FILE) -> None:
    """Write all results atomically."""
    results.date, results.revision = time.strftime("%Y-%m-%dT%H:%M:%S%z"), revision()
    results.machine = machine()
    path.parent.mkdir(exist_ok=True)
    temporary = path.with_suffix(".new")
    temporary.write_text(json.dumps(plain(asdict(results)), indent=1) + "\n")
    temporary.replace(path)
