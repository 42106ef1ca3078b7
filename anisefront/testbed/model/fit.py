"""What workers are like, from what gatekeepers recorded: service times, cores, the way there and back, cold starts.

Every figure comes with its uncertainty: blocks of time are drawn again (Künsch, "The jackknife and the bootstrap for
general stationary observations", 1989) and all is fitted anew, so that a forecast can carry what the trace leaves open.
"""

from __future__ import annotations

import bisect
import math
from collections.abc import Sequence
from dataclasses import asdict, dataclass, replace
from typing import Any

import numpy as np

from anisefront.testbed.model.pool import WorkerModel
from anisefront.testbed.model.traces import Attempt, Trace
from anisefront.testbed.model.world import Network, Option, Simulation
from anisefront.testbed.script import Trouble

SCALES = tuple(0.6 + 0.05 * step for step in range(13))
BLOCK_MS = 2000.0  # longer than what one attempt's trouble lasts
PEERS_MS, MOST_ROUND_MS = (2.0, 10.0), 60.0  # where nothing tells them; a home that answers later was asked again
DRAWS, POINTS, LEAST, MOST_CORES = 40, 65, 200, 16


class TooShort(Exception):
    """A trace that tells too little; the text says what is missing."""


@dataclass(frozen=True, slots=True)
class Fitted:
    """One set of figures. Milliseconds; `way_ms` there and back together."""

    service_ms: float
    way_ms: float
    cores: int
    cold_from: float
    shape: tuple[float, ...]
    peers_ms: tuple[float, float]  # a message between gatekeepers, least and most

    def workers(self, like: WorkerModel) -> WorkerModel:
        """Workers with these figures, and all else as `like`."""
        return replace(like, service_ms=self.service_ms, cores=self.cores, cold_from=self.cold_from, shape=self.shape)

    def network(self, like: Network) -> Network:
        """Ways with this figure."""
        return replace(like, worker_ms=max(0.05, self.way_ms / 2), peers_ms=self.peers_ms)


@dataclass(frozen=True, slots=True)
class Fit:
    """The figures, and draws of what they might as well be."""

    best: Fitted
    draws: tuple[Fitted, ...]
    attempts: int
    cold_attempts: int

    @staticmethod
    def joined(fits: Sequence[Fit]) -> Fit:
        """One of several days' fits: days differ by more than one day's blocks tell, and a forecast is to carry that.

        As many draws of each as the one with the fewest has."""
        least = min(len(each.draws) for each in fits)
        return Fit(
            fits[0].best,
            tuple(draw for each in fits for draw in each.draws[:least]),
            sum(each.attempts for each in fits),
            sum(each.cold_attempts for each in fits),
        )

    def interval(self, name: str, level: float = 0.9) -> tuple[float, float]:
        """Of one figure."""
        values = [getattr(each, name) for each in self.draws]
        low, high = np.quantile(values, [(1 - level) / 2, (1 + level) / 2])
        return float(low), float(high)

    def to_json(self) -> dict[str, Any]:
        """Plain values, for a file."""
        return {
            "best": asdict(self.best),
            "draws": [asdict(each) for each in self.draws],
            "attempts": self.attempts,
            "cold_attempts": self.cold_attempts,
        }

    @staticmethod
    def from_json(data: dict[str, Any]) -> Fit:
        """Back from `to_json`; raises `ValueError` where it is no fit."""
        try:
            made = [
                Fitted(
                    each["service_ms"],
                    each["way_ms"],
                    each["cores"],
                    each["cold_from"],
                    tuple(each["shape"]),
                    tuple(each["peers_ms"]),
                )
                for each in (data["best"], *data["draws"])
            ]
            return Fit(made[0], tuple(made[1:]), data["attempts"], data["cold_attempts"])
        except (KeyError, TypeError) as problem:
            raise ValueError(f"no fit: {problem} is missing") from problem


def fit(trace: Trace, warm_up_ms: float, draws: int = DRAWS, seed: int = 1) -> Fit:
    """All figures of a trace; raises `TooShort`. `warm_up_ms` is the settings'."""
    rows = _rows(trace.attempts)
    warm = rows[(rows[:, _AGE] < 0) | (rows[:, _AGE] >= warm_up_ms)]
    if len(warm) < LEAST:
        raise TooShort(f"{len(warm)} attempts that warm workers served: too few to tell anything, {LEAST} are due")
    waits = np.array(trace.waits, dtype=float).reshape(-1, 2)
    best = _fit(rows, waits, warm_up_ms)
    rng, first = np.random.default_rng(seed), float(rows[:, _AT].min())
    last = int((rows[:, _AT].max() - first) // BLOCK_MS) + 1
    groups, asked = (_blocks(times - first, last) for times in (rows[:, _AT], waits[:, 0]))
    drawn = []
    for _ in range(draws):
        chosen = rng.integers(0, last, last)
        again = rows[np.concatenate([groups[n] for n in chosen])]
        if len(again) < LEAST // 4:
            continue
        drawn.append(_fit(again, waits[np.concatenate([asked[n] for n in chosen])], warm_up_ms))
    return Fit(best, tuple(drawn), len(rows), len(rows) - len(warm))


def refined(found: Fit, option: Option, trace: Trace, troubles: Sequence[Trouble] = ()) -> Fit:
    """The fit with the times of messages for which the model's own play of the trace comes nearest to its waits.

    Waits are lengthened by more than messages, so that no part of them tells these alone; played again, they are
    lengthened in the same way (indirect inference: Gourieroux, Monfort and Renault, 1993). All draws move alike."""
    seen = _marks([wait for _, wait in trace.waits])
    if seen is None:
        return found
    like = replace(option, workers=found.best.workers(option.workers), network=found.best.network(option.network))
    low, high = found.best.peers_ms
    misses = {}
    for scale in SCALES:
        tried = replace(like, network=replace(like.network, peers_ms=(low * scale, high * scale)))
        played = _marks(Simulation(tried, trace.arrivals, troubles, 1).run().waits)
        misses[scale] = float("inf") if played is None else float(np.abs(np.log(played / seen)).sum())
    best = min(misses, key=misses.__getitem__)

    def moved(each: Fitted) -> Fitted:
        return replace(each, peers_ms=(each.peers_ms[0] * best, each.peers_ms[1] * best))

    return replace(found, best=moved(found.best), draws=tuple(moved(each) for each in found.draws))


def _marks(waits: Sequence[float]) -> np.ndarray | None:
    """What waits are compared by: places of those that were no mere turn of the loop, and of all."""
    all_ = np.asarray(waits, dtype=float)
    asked = all_[(all_ > 0.5) & (all_ < MOST_ROUND_MS)]
    if len(asked) < 50:
        return None
    return np.maximum(0.1, np.array([*np.quantile(asked, [0.25, 0.5, 0.75]), np.quantile(all_, 0.9)]))


def _blocks(times: np.ndarray, count: int) -> list[np.ndarray]:
    """Places of the times in each block."""
    numbers = (times // BLOCK_MS).astype(int)
    return [np.flatnonzero(numbers == block) for block in range(count)]


_AT, _TOOK, _UNITS, _OTHERS, _AGE = range(5)


def _rows(attempts: list[Attempt]) -> np.ndarray:
    """Attempts that were served: when, how long, units, how many others were at that worker, its age (-1: old)."""
    spans: dict[str, tuple[list[float], list[float]]] = {}
    for each in sorted(attempts, key=lambda one: one.at):
        spans.setdefault(each.worker, ([], []))[0].append(each.at)
        spans[each.worker][1].append(each.at + each.took)
    for _, ends in spans.values():
        ends.sort()
    rows = []
    for each in attempts:
        if each.result == "ok":
            begins, ends = spans[each.worker]
            others = bisect.bisect_left(begins, each.at) - bisect.bisect_right(ends, each.at)
            age = each.at - each.started if each.started else -1.0
            rows.append((each.at, each.took, each.units, others, age))
    return np.array(rows, dtype=float).reshape(-1, 5)


def _fit(rows: np.ndarray, waits: np.ndarray, warm_up_ms: float) -> Fitted:
    old = (rows[:, _AGE] < 0) | (rows[:, _AGE] >= warm_up_ms)
    alone = rows[old & (rows[:, _OTHERS] <= 0)]
    if len(alone) < 30:
        alone = rows[old & (rows[:, _OTHERS] <= np.quantile(rows[old, _OTHERS], 0.2))]
    service, way = _line(alone)
    shape = np.quantile(
        np.maximum(0.02, (alone[:, _TOOK] - way) / (service * alone[:, _UNITS])), (np.arange(POINTS) + 0.5) / POINTS
    )
    mean = float(shape.mean())
    service, shape = service * mean, shape / mean
    cores = _cores(rows[old], way)
    return Fitted(
        float(service),
        float(way),
        cores,
        _cold(rows[~old], service, way, cores, warm_up_ms, shape),
        tuple(float(value) for value in shape),
        _peers(waits[:, 1]),
    )


def _peers(waits: np.ndarray) -> tuple[float, float]:
    """What a message between gatekeepers takes. A request that its home lends to waits for two of them, each evenly
    spread, so that their sum is a triangle: its first quarter and its middle give both ends. Its low end is mixed with
    requests whose home is here, its upper half with those that waited for more than their home."""
    asked = waits[(waits > 0.5) & (waits < MOST_ROUND_MS)]
    if len(asked) < 50:
        return PEERS_MS
    low, middle = (float(each) for each in np.quantile(asked[asked > np.median(asked) / 5], [0.25, 0.5]))
    spread = max(0.1, (middle - low) / (1 - math.sqrt(0.5)))
    return max(0.05, (middle - spread) / 2), (middle + spread) / 2


def _line(rows: np.ndarray) -> tuple[float, float]:
    """Time of a unit and time of the way, by least squares over the units. Where all are of one size the way can't be
    told from the work: it is taken as half of the shortest time, 2 ms at most."""
    units, took = rows[:, _UNITS], rows[:, _TOOK]
    least = float(took.min())
    if units.std() > 0:
        slope = float(((units - units.mean()) * (took - took.mean())).mean() / units.var())
        way = float(took.mean() - slope * units.mean())
        if slope > 0 and 0 <= way <= least:
            return slope, way
    way = min(2.0, least / 2)
    return float(((took - way) / units).mean()), way


def _cores(rows: np.ndarray, way: float) -> int:
    """How many are served at once: with `n` cores who finds `k` others waits for k - n + 1 ends, n at a time."""
    others, took = np.clip(rows[:, _OTHERS], 0, 40).astype(int), (rows[:, _TOOK] - way) / rows[:, _UNITS]
    counts = np.bincount(others, minlength=41)
    seen = np.flatnonzero(counts >= 20)
    if not len(seen):
        return 2
    means = np.array([np.median(took[others == k]) for k in seen])
    base, weights = means[0], np.sqrt(counts[seen])
    errors = [
        float((weights * (means / base - 1 - np.maximum(0, seen - n + 1) / n) ** 2).sum())
        for n in range(1, MOST_CORES + 1)
    ]
    # Where no worker was ever full, more cores than were used at once can't be told apart: the fewest that fit.
    return 1 + int(np.argmin(np.round(errors, 6)))


def _cold(rows: np.ndarray, service: float, way: float, cores: int, warm_up_ms: float, shape: np.ndarray) -> float:
    """The share of its capacity that a worker has at first, by least squares of the logarithms."""
    rows = rows[rows[:, _OTHERS] < cores]
    if len(rows) < 20:
        return 1.0 if not len(rows) else 0.5
    slowed = np.log(np.maximum(0.05, (rows[:, _TOOK] - way) / (service * rows[:, _UNITS])))
    grid = np.linspace(0.05, 1.0, 96)
    age = np.clip(rows[:, _AGE] / warm_up_ms, 0, 1)
    expected = -np.log(grid[:, None] + (1 - grid[:, None]) * age)
    # The mean of the logarithms is less than the logarithm of the mean, for a warm worker's times as for these.
    errors = ((slowed - np.log(shape).mean() - expected) ** 2).mean(axis=1)
    return float(grid[int(np.argmin(errors))])
