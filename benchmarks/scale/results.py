"""What a scale run writes down, benchmarks/results/scale.json, and how parts of it are put together. No measuring here.

    {"date": ISO 8601, "revision": git's, "+" behind it where files differ from it,
     "machine": {"cpu", "cores", "memory_gib", "kernel", "python"},
     "axes": {name: Axis}, "whole": {...}, "micro": {...}, "parts": {name: {"date", "revision", "load_beside",
     "took_s"}, or "fault": why it failed; "cut": when it was left out for time, its figures are of "date"}}

    Axis   {"unit": what a size counts, "base": the other axes' sizes, "rows": [Row], "fits": {measure: Fit},
            "load_beside": load averages of the machine before and after, "strained": sizes at which the machine was
            too busy to hold the load (see `strained`): their times say nothing of a gatekeeper}
    whole  {"sizes": of each axis, "values": as a Row's, and what the run did and saw, as flat figures}
    micro  {name: figure}, the module alone in one process, as the names say
    change {"sizes", "after": {name: figure}, "before": the same of an earlier revision}: one real gatekeeper whose
            settings change by one line
    Row    {"size": n, "values": {measure: value}}      rows stand by size; the last is the largest
    Fit    {"model", "a", "b", "c", "err_a", "err_b", "err_c", "r2", "predicted_at", "predicted", "measured", "ratio",
            "out"}      through all rows but the last; `predicted` was written to the file before the last one was run;
            `ratio` is measured / predicted, null where nothing or less was predicted; `out`: off by over a quarter

Measures are named by what they are and their unit; all are of the real gatekeepers, the mean of them unless it says
otherwise:

    start_s             from the process's start until it said it was ready
    rss_mb              resident memory at the end of the row, MB of 10^6 bytes; `held_*_kb`: its own count by purpose
    change_cpu_ms       CPU a change of settings or of the list beyond what the requests and control of its window take
    control_cpu_ms_s    CPU a second in a window without requests of its own clients: membership, and its part as home
                        of quotas of what gatekeepers beside it ask
    request_cpu_us      CPU a request beyond that, in the window with requests: with what it asks of homes
    members_*, quotas_*, keeping_*   `_in_msgs_s`, `_out_msgs_s`, `_in_bytes_s`, `_out_bytes_s`: datagrams a second in
                        the window with requests (for the others of the quiet one `quiet_...`), with seal, without UDP
    list_bytes_s, settings_bytes_s   bytes of the roster and of the settings files that are read a second
    check_p50_ms ...    from the scheduled time of a request to the answer of its check, by gRPC external authorisation:
                        the client carries the attempt out itself and logs its end
    bare_p50_ms ...     the same of a bare grpcio server beside it that allows everything, by another such client at the
                        same rate: what the client and the machine take
    added_p50_ms, added_p99_ms, added_p999_ms   a request by way of the gatekeeper to its worker against one straight
                        to that worker a moment later: difference of the quantiles
    wait_max_ms         the longest that a check of the row took: what a stop of the loop makes a client wait
    loop_ms, turn_ms    upper bound of the row of the highest lateness of the loop and length of a turn (state report)
    in_force_s          from the change of a file until the last real one says that it is in force
    zone_*              in the largest row of `members`: all `zone_members` of one zone restarted at once; not fitted
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
QUARTER = 0.25  # a prediction that is out by more is said


@dataclass(frozen=True, slots=True)
class Fit:
    """A measure by size, and its prediction for the largest size (None: not made or not run yet)."""

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
    """One size of an axis: the mean over the real gatekeepers of what was measured."""

    size: float
    values: dict[str, float]


@dataclass(slots=True)
class Axis:
    """One axis, with the others at `base`."""

    unit: str
    base: dict[str, float]
    rows: list[Row] = field(default_factory=list)
    fits: dict[str, Fit] = field(default_factory=dict)
    load_beside: list[list[float]] = field(default_factory=list)
    strained: list[float] = field(default_factory=list)


@dataclass(slots=True)
class Results:
    """The whole file."""

    date: str = ""
    revision: str = ""
    machine: dict[str, Any] = field(default_factory=dict)
    axes: dict[str, Axis] = field(default_factory=dict)
    whole: dict[str, Any] = field(default_factory=dict)
    micro: dict[str, Any] = field(default_factory=dict)
    change: dict[str, Any] = field(default_factory=dict)
    parts: dict[str, dict[str, Any]] = field(default_factory=dict)


LATE_MS = 20.0  # of one in a hundred requests, against the schedule of their clients


def strained(values: dict[str, float]) -> bool:
    """Whether the clients themselves were late: then the machine is what was measured. A stop of a gatekeeper makes no
    client late in sending, so it can't hide here."""
    return values.get("sent_late_p99_ms", 0.0) > LATE_MS


# What is a cost by itself. The others are kept but not fitted: rows of histograms, and what tells how well it was
# measured (served_share, sent_late, direct, requests_s); the quiet window's messages are in those of the loaded one.
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
    """Fit each cost that all rows have, and say what it will be at the largest size. `models`: of those that do not
    go with the size itself."""
    from benchmarks.scale import fit

    names = set.intersection(*(set(row.values) for row in axis.rows)) if axis.rows else set()
    for name in sorted(each for each in names if each.startswith(FITTED)):
        sizes, values = [row.size for row in axis.rows], [row.values[name] for row in axis.rows]
        found = fit.fit(sizes, values, (models or {}).get(name, "linear"))
        axis.fits[name] = Fit(**asdict(found) | {"predicted_at": largest, "predicted": fit.at(found, largest)})


def compare(axis: Axis) -> list[str]:
    """Lay the last row beside what was predicted of it; the measures that are out by more than a quarter."""
    from benchmarks.scale import fit

    last, out = axis.rows[-1], []
    for name, found in axis.fits.items():
        if name not in last.values or found.predicted_at != last.size:
            continue
        ratio = fit.ratio(found.predicted, last.values[name])
        off = abs(last.values[name] - found.predicted) > QUARTER * abs(found.predicted)
        axis.fits[name] = Fit(**asdict(found) | {"measured": last.values[name], "ratio": ratio, "out": off})
        out += [name] * off
    return out


def machine() -> dict[str, Any]:
    """What this machine is."""
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
    """Git's name of what runs, with "+" where files differ from it; "unknown" outside of a checkout."""

    def git(*words: str) -> str:
        return subprocess.run(
            ["git", "-C", str(ROOT), *words], capture_output=True, text=True, timeout=20, check=True
        ).stdout.strip()

    try:
        changed = git("status", "--porcelain", "--", "anisefront", "benchmarks", ":!benchmarks/results")
        return git("rev-parse", "--short", "HEAD") + "+" * bool(changed)
    except (OSError, subprocess.SubprocessError):
        return "unknown"


def load(path: Path = FILE) -> Results:
    """What is there; empty results where there is no file."""
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
    """Figures to six digits: what is beyond is noise, and a diff of two runs stays readable."""
    if isinstance(value, dict):
        return {key: plain(each) for key, each in value.items()}
    if isinstance(value, list | tuple):
        return [plain(each) for each in value]
    return float(f"{value:.6g}") if isinstance(value, float) else value


def save(results: Results, path: Path = FILE) -> None:
    """Write all, at once or not at all."""
    results.date, results.revision = time.strftime("%Y-%m-%dT%H:%M:%S%z"), revision()
    results.machine = machine()
    path.parent.mkdir(exist_ok=True)
    made = path.with_suffix(".new")
    made.write_text(json.dumps(plain(asdict(results)), indent=1) + "\n")
    made.replace(path)
