"""Holds the model against loopback runs of the real gatekeeper: forecasts first, then what was seen, then coverage.

What was seen comes from the stand-ins' records (service) and from the gatekeepers' traces (waits).
"""

from __future__ import annotations

import json
from collections.abc import Sequence
from dataclasses import dataclass
from pathlib import Path
from typing import Any

import numpy as np

from anisefront.testbed.model import traces
from anisefront.testbed.model.study import config_of

MEASURES = ("service", "p95_wait_ms")


@dataclass(frozen=True, slots=True)
class Checked:
    """One measure of one run: the forecast's interval and what was seen."""

    day: str
    measure: str
    low: float
    middle: float
    high: float
    seen: float

    @property
    def inside(self) -> bool:
        """Whether what was seen lies in the interval."""
        return self.low <= self.seen <= self.high


def forecast(runs: Sequence[dict[str, float]], level: float = 0.9) -> dict[str, tuple[float, float, float]]:
    """For each measure the interval in which one more run falls with this chance, and the middle.

    From order statistics: of `n` runs the k-th from each end bounds the next by a chance of (n + 1 - 2k) / (n + 1)."""
    out = {}
    for measure in MEASURES:
        values = sorted(run[measure] for run in runs)
        rank = int((1 - level) / 2 * (len(values) + 1))
        if rank < 1:
            raise ValueError(
                f"{len(values)} runs are too few for an interval at {level:g}: "
                f"{int(np.ceil(2 / (1 - level))) - 1} are due"
            )
        out[measure] = (values[rank - 1], float(np.median(values)), values[-rank])
    return out


def observed(folder: Path, settings: str) -> dict[str, float]:
    """The measures of a day that was played with `--record`."""
    config = config_of(settings, "settings").settings
    worth = {kind.name: kind.priority_weight for kind in config.classes}
    aims = {kind.name: kind.latency_objective_ms for kind in config.classes}
    values = {plan.name: plan.priority_multiplier for plan in config.plans}
    wishes: dict[str, float] = {}
    served: dict[str, float] = {}
    tries: dict[str, dict[str, Any]] = {}
    for line in (folder / "clients.jsonl").read_text().splitlines():
        record = json.loads(line)
        if record["kind"] == "try":
            tries[record["id"]] = record
            wishes[record["wish"]] = worth[record["cls"]] * values[record["plan"]] * record["units"]
        elif record["how"] == "served":
            each = tries[record["id"]]
            if record["at"] - each["at"] <= aims[each["cls"]]:
                served[each["wish"]] = wishes[each["wish"]]
    waits: list[float] = []
    for path in sorted(folder.glob("gatekeeper-*.trace*")):
        waits += [wait for _, wait in traces.load([str(path)]).waits]
    return {"service": sum(served.values()) / sum(wishes.values()), "p95_wait_ms": float(np.percentile(waits, 95))}


def check(day: str, runs: Sequence[dict[str, float]], seen: dict[str, float], level: float = 0.9) -> list[Checked]:
    """Each measure of one day."""
    return [Checked(day, measure, *ends, seen[measure]) for measure, ends in forecast(runs, level).items()]


def coverage(rows: Sequence[Checked]) -> dict[str, dict[str, float]]:
    """By measure: the share inside, how wide the interval is against its middle, and how far the middle was off."""
    out = {}
    for measure in MEASURES:
        mine = [row for row in rows if row.measure == measure]
        out[measure] = {
            "days": len(mine),
            "inside": sum(row.inside for row in mine) / len(mine),
            "width": float(np.median([(row.high - row.low) / max(1e-9, row.middle) for row in mine])),
            "off": float(np.median([abs(row.seen - row.middle) / max(1e-9, row.middle) for row in mine])),
        }
    return out
