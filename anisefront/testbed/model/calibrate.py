"""Validation of the simulation against loopback runs of the real gatekeeper: forecasts, observations and coverage.

Observations come from the records of the test clients (service) and the traces of the gatekeepers (waits).
"""

from __future__ import annotations

import json
from collections.abc import Sequence
from dataclasses import dataclass
from pathlib import Path
from typing import Any

import numpy as np

from anisefront.testbed.model import traces
from anisefront.testbed.model.study import load_config

MEASURES = ("service", "p95_wait_ms")


@dataclass(frozen=True, slots=True)
class ForecastCheck:
    """One measure of one loopback run: the forecast interval and the observed value."""

    day: str
    measure: str
    low: float
    median: float
    high: float
    observed: float

    @property
    def inside(self) -> bool:
        """Whether the observed value lies in the interval."""
        return self.low <= self.observed <= self.high


def forecast(runs: Sequence[dict[str, float]], level: float = 0.9) -> dict[str, tuple[float, float, float]]:
    """Return the prediction interval of one more run for each measure, as its lower end, the median and its upper end.

    The interval comes from order statistics: the k-th of `n` runs from each end encloses the next run with a
    probability of (n + 1 - 2k) / (n + 1).
    """
    out = {}
    for measure in MEASURES:
        values = sorted(run[measure] for run in runs)
        rank = int((1 - level) / 2 * (len(values) + 1))
        if rank < 1:
            raise ValueError(
                f"{len(values)} runs are too few for an interval at {level:g}: "
                f"at least {int(np.ceil(2 / (1 - level))) - 1} are needed"
            )
        out[measure] = (values[rank - 1], float(np.median(values)), values[-rank])
    return out


def observed_measures(folder: Path, settings: str) -> dict[str, float]:
    """Return the measures of a loopback run that was recorded with `--record`."""
    config = load_config(settings, "settings").settings
    priority_weights = {kind.name: kind.priority_weight for kind in config.classes}
    latency_objectives_ms = {kind.name: kind.latency_objective_ms for kind in config.classes}
    multipliers = {plan.name: plan.priority_multiplier for plan in config.plans}
    requested_values: dict[str, float] = {}
    served_values: dict[str, float] = {}
    submissions: dict[str, dict[str, Any]] = {}
    for line in (folder / "clients.jsonl").read_text().splitlines():
        record = json.loads(line)
        if record["kind"] == "try":
            submissions[record["id"]] = record
            requested_values[record["wish"]] = (
                priority_weights[record["cls"]] * multipliers[record["plan"]] * record["units"]
            )
        elif record["how"] == "served":
            each = submissions[record["id"]]
            if record["at"] - each["at"] <= latency_objectives_ms[each["cls"]]:
                served_values[each["wish"]] = requested_values[each["wish"]]
    waits: list[float] = []
    for path in sorted(folder.glob("gatekeeper-*.trace*")):
        waits += [wait for _, wait in traces.load([str(path)]).waits]
    return {
        "service": sum(served_values.values()) / sum(requested_values.values()),
        "p95_wait_ms": float(np.percentile(waits, 95)),
    }


def check_forecast(
    day: str, runs: Sequence[dict[str, float]], observed: dict[str, float], level: float = 0.9
) -> list[ForecastCheck]:
    """Compare each observed measure of one loopback run with its forecast."""
    return [ForecastCheck(day, measure, *ends, observed[measure]) for measure, ends in forecast(runs, level).items()]


def coverage(rows: Sequence[ForecastCheck]) -> dict[str, dict[str, float]]:
    """Return by measure the coverage, the median relative width of the intervals and the median relative error."""
    out = {}
    for measure in MEASURES:
        checks = [row for row in rows if row.measure == measure]
        out[measure] = {
            "days": len(checks),
            "inside": sum(row.inside for row in checks) / len(checks),
            "width": float(np.median([(row.high - row.low) / max(1e-9, row.median) for row in checks])),
            "off": float(np.median([abs(row.observed - row.median) / max(1e-9, row.median) for row in checks])),
        }
    return out
