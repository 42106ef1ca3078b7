"""Fit of worker parameters to recorded traces: service times, cores, network delays and cold starts.

Every parameter comes with its uncertainty: blocks of time are resampled (Künsch, "The jackknife and the bootstrap for
general stationary observations", 1989) and everything is fitted again, so that a forecast includes the uncertainty
that the trace leaves.
"""

from __future__ import annotations

import bisect
import math
from collections.abc import Sequence
from dataclasses import asdict, dataclass, replace
from typing import Any

import numpy as np

from anisefront.testbed.model.pool import WorkerModel
from anisefront.testbed.model.simulation import Network, Option, Simulation
from anisefront.testbed.model.traces import Attempt, Trace
from anisefront.testbed.script import Fault

PEER_DELAY_SCALES = tuple(0.6 + 0.05 * step for step in range(13))
BLOCK_MS = 2000.0  # longer than the effects of a single attempt last
DEFAULT_PEERS_MS = (2.0, 10.0)  # delay of peer messages if the trace does not determine it: minimum and maximum
MAX_ROUND_TRIP_MS = 60.0  # longer waits include a repeated query to the home instance
BOOTSTRAP_DRAWS = 40
SHAPE_POINTS = 65
MIN_ATTEMPTS = 200
MAX_CORES = 16


class TraceTooShortError(Exception):
    """A trace with too little data for a fit; the message says what is missing."""


@dataclass(frozen=True, slots=True)
class Fitted:
    """One set of parameters, in milliseconds; `way_ms` is the network round trip to a worker."""

    service_ms: float
    way_ms: float
    cores: int
    cold_from: float  # fraction of the capacity that a worker starts with
    shape: tuple[float, ...]  # quantiles of service times, divided by their mean
    peers_ms: tuple[float, float]  # delay of a message between gatekeepers: minimum and maximum

    def workers(self, base: WorkerModel) -> WorkerModel:
        """Return `base` with the fitted worker parameters."""
        return replace(base, service_ms=self.service_ms, cores=self.cores, cold_from=self.cold_from, shape=self.shape)

    def network(self, base: Network) -> Network:
        """Return `base` with the fitted network delays."""
        return replace(base, worker_ms=max(0.05, self.way_ms / 2), peers_ms=self.peers_ms)


@dataclass(frozen=True, slots=True)
class Fit:
    """The best parameters, and bootstrap draws of them."""

    best: Fitted
    draws: tuple[Fitted, ...]
    attempts: int
    cold_attempts: int

    @staticmethod
    def merged(fits: Sequence[Fit]) -> Fit:
        """Merge the fits of several days, so that a forecast includes the variation between days.

        Each fit contributes as many draws as the one with the fewest has.
        """
        least = min(len(each.draws) for each in fits)
        return Fit(
            fits[0].best,
            tuple(draw for each in fits for draw in each.draws[:least]),
            sum(each.attempts for each in fits),
            sum(each.cold_attempts for each in fits),
        )

    def interval(self, name: str, level: float = 0.9) -> tuple[float, float]:
        """Return the confidence interval of one parameter."""
        values = [getattr(each, name) for each in self.draws]
        low, high = np.quantile(values, [(1 - level) / 2, (1 + level) / 2])
        return float(low), float(high)

    def to_json(self) -> dict[str, Any]:
        """Return plain values for a file."""
        return {
            "best": asdict(self.best),
            "draws": [asdict(each) for each in self.draws],
            "attempts": self.attempts,
            "cold_attempts": self.cold_attempts,
        }

    @staticmethod
    def from_json(data: dict[str, Any]) -> Fit:
        """Restore a fit from `to_json`; raises `ValueError` for other data."""
        try:
            parameters = [
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
            return Fit(parameters[0], tuple(parameters[1:]), data["attempts"], data["cold_attempts"])
        except (KeyError, TypeError) as error:
            raise ValueError(f"not a fit: {error} is missing") from error


def fit(trace: Trace, warm_up_ms: float, draws: int = BOOTSTRAP_DRAWS, seed: int = 1) -> Fit:
    """Fit all parameters to a trace; raises `TraceTooShortError`. `warm_up_ms` is that of the settings."""
    rows = _served_attempts(trace.attempts)
    warm = rows[(rows[:, _AGE] < 0) | (rows[:, _AGE] >= warm_up_ms)]
    if len(warm) < MIN_ATTEMPTS:
        raise TraceTooShortError(
            f"{len(warm)} attempts were served by warm workers: too few for a fit, {MIN_ATTEMPTS} are due"
        )
    waits = np.array(trace.waits, dtype=float).reshape(-1, 2)
    best = _fit_parameters(rows, waits, warm_up_ms)
    rng, first = np.random.default_rng(seed), float(rows[:, _SENT_AT].min())
    last = int((rows[:, _SENT_AT].max() - first) // BLOCK_MS) + 1
    attempt_blocks, wait_blocks = (_rows_by_block(times - first, last) for times in (rows[:, _SENT_AT], waits[:, 0]))
    bootstrap_draws = []
    for _ in range(draws):
        chosen = rng.integers(0, last, last)
        resampled = rows[np.concatenate([attempt_blocks[n] for n in chosen])]
        if len(resampled) < MIN_ATTEMPTS // 4:
            continue
        bootstrap_draws.append(
            _fit_parameters(resampled, waits[np.concatenate([wait_blocks[n] for n in chosen])], warm_up_ms)
        )
    return Fit(best, tuple(bootstrap_draws), len(rows), len(rows) - len(warm))


def fit_message_delays(initial_fit: Fit, option: Option, trace: Trace, faults: Sequence[Fault] = ()) -> Fit:
    """Return the fit with the message delays for which a simulation of the trace reproduces its waits best.

    Waits also have causes other than messages, so they do not determine the delays directly; a simulation has the same
    causes (indirect inference: Gourieroux, Monfort and Renault, 1993). All draws are scaled alike.
    """
    observed = _wait_quantiles([wait for _, wait in trace.waits])
    if observed is None:
        return initial_fit
    base = replace(
        option, workers=initial_fit.best.workers(option.workers), network=initial_fit.best.network(option.network)
    )
    low, high = initial_fit.best.peers_ms
    deviations = {}
    for scale in PEER_DELAY_SCALES:
        candidate = replace(base, network=replace(base.network, peers_ms=(low * scale, high * scale)))
        simulated = _wait_quantiles(Simulation(candidate, trace.arrivals, faults, 1).run().waits)
        deviations[scale] = float("inf") if simulated is None else float(np.abs(np.log(simulated / observed)).sum())
    best = min(deviations, key=deviations.__getitem__)

    def scaled(each: Fitted) -> Fitted:
        return replace(each, peers_ms=(each.peers_ms[0] * best, each.peers_ms[1] * best))

    return replace(initial_fit, best=scaled(initial_fit.best), draws=tuple(scaled(each) for each in initial_fit.draws))


def _wait_quantiles(waits: Sequence[float]) -> np.ndarray | None:
    """Return the quantiles by which waits are compared: of waits longer than an event loop turn, and of all."""
    all_ = np.asarray(waits, dtype=float)
    queried = all_[(all_ > 0.5) & (all_ < MAX_ROUND_TRIP_MS)]
    if len(queried) < 50:
        return None
    return np.maximum(0.1, np.array([*np.quantile(queried, [0.25, 0.5, 0.75]), np.quantile(all_, 0.9)]))


def _rows_by_block(times: np.ndarray, count: int) -> list[np.ndarray]:
    """Return the indices of the times in each block."""
    numbers = (times // BLOCK_MS).astype(int)
    return [np.flatnonzero(numbers == block) for block in range(count)]


_SENT_AT, _DURATION, _UNITS, _CONCURRENT, _AGE = range(5)


def _served_attempts(attempts: list[Attempt]) -> np.ndarray:
    """Return served attempts as rows: start, duration, units, concurrent attempts at the worker, its age (-1: warm)."""
    spans: dict[str, tuple[list[float], list[float]]] = {}
    for each in sorted(attempts, key=lambda one: one.at):
        spans.setdefault(each.worker, ([], []))[0].append(each.at)
        spans[each.worker][1].append(each.at + each.duration_ms)
    for _, ends in spans.values():
        ends.sort()
    rows = []
    for each in attempts:
        if each.result == "ok":
            begins, ends = spans[each.worker]
            concurrent = bisect.bisect_left(begins, each.at) - bisect.bisect_right(ends, each.at)
            age = each.at - each.started if each.started else -1.0
            rows.append((each.at, each.duration_ms, each.units, concurrent, age))
    return np.array(rows, dtype=float).reshape(-1, 5)


def _fit_parameters(rows: np.ndarray, waits: np.ndarray, warm_up_ms: float) -> Fitted:
    warm = (rows[:, _AGE] < 0) | (rows[:, _AGE] >= warm_up_ms)
    uncontended = rows[warm & (rows[:, _CONCURRENT] <= 0)]
    if len(uncontended) < 30:
        uncontended = rows[warm & (rows[:, _CONCURRENT] <= np.quantile(rows[warm, _CONCURRENT], 0.2))]
    service, round_trip = _fit_service_and_network(uncontended)
    shape = np.quantile(
        np.maximum(0.02, (uncontended[:, _DURATION] - round_trip) / (service * uncontended[:, _UNITS])),
        (np.arange(SHAPE_POINTS) + 0.5) / SHAPE_POINTS,
    )
    mean = float(shape.mean())
    service, shape = service * mean, shape / mean
    cores = _fit_cores(rows[warm], round_trip)
    return Fitted(
        float(service),
        float(round_trip),
        cores,
        _fit_cold_start(rows[~warm], service, round_trip, cores, warm_up_ms, shape),
        tuple(float(value) for value in shape),
        _fit_peer_delays(waits[:, 1]),
    )


def _fit_peer_delays(waits: np.ndarray) -> tuple[float, float]:
    """Fit the minimum and maximum delay of a message between gatekeepers.

    A request that needs a grant from its home instance waits for two messages. Each delay is uniform, so their sum has
    a triangular distribution, whose lower quartile and median determine both ends. The low end also contains requests
    whose home is the local instance, and the upper half those that waited for more than their home.
    """
    queried = waits[(waits > 0.5) & (waits < MAX_ROUND_TRIP_MS)]
    if len(queried) < 50:
        return DEFAULT_PEERS_MS
    lower_quartile, median = (
        float(each) for each in np.quantile(queried[queried > np.median(queried) / 5], [0.25, 0.5])
    )
    spread = max(0.1, (median - lower_quartile) / (1 - math.sqrt(0.5)))
    return max(0.05, (median - spread) / 2), (median + spread) / 2


def _fit_service_and_network(rows: np.ndarray) -> tuple[float, float]:
    """Fit the service time of a unit and the network round trip, by least squares over the units.

    If all requests have the same size, the round trip cannot be separated from the work: it is taken as half of the
    shortest duration, 2 ms at most.
    """
    units, duration_ms = rows[:, _UNITS], rows[:, _DURATION]
    shortest = float(duration_ms.min())
    if units.std() > 0:
        slope = float(((units - units.mean()) * (duration_ms - duration_ms.mean())).mean() / units.var())
        round_trip = float(duration_ms.mean() - slope * units.mean())
        if slope > 0 and 0 <= round_trip <= shortest:
            return slope, round_trip
    round_trip = min(2.0, shortest / 2)
    return float(((duration_ms - round_trip) / units).mean()), round_trip


def _fit_cores(rows: np.ndarray, round_trip: float) -> int:
    """Fit the cores: with `n` cores an attempt that finds `k` others waits for k - n + 1 completions, n at a time."""
    concurrent, duration_ms = (
        np.clip(rows[:, _CONCURRENT], 0, 40).astype(int),
        (rows[:, _DURATION] - round_trip) / rows[:, _UNITS],
    )
    counts = np.bincount(concurrent, minlength=41)
    observed = np.flatnonzero(counts >= 20)
    if not len(observed):
        return 2
    means = np.array([np.median(duration_ms[concurrent == k]) for k in observed])
    base, weights = means[0], np.sqrt(counts[observed])
    errors = [
        float((weights * (means / base - 1 - np.maximum(0, observed - n + 1) / n) ** 2).sum())
        for n in range(1, MAX_CORES + 1)
    ]
    # If no worker was ever saturated, larger numbers of cores fit equally well: take the smallest.
    return 1 + int(np.argmin(np.round(errors, 6)))


def _fit_cold_start(
    rows: np.ndarray, service: float, round_trip: float, cores: int, warm_up_ms: float, shape: np.ndarray
) -> float:
    """Fit the fraction of its capacity that a worker starts with, by least squares of the logarithms."""
    rows = rows[rows[:, _CONCURRENT] < cores]
    if len(rows) < 20:
        return 1.0 if not len(rows) else 0.5
    log_slowdown = np.log(np.maximum(0.05, (rows[:, _DURATION] - round_trip) / (service * rows[:, _UNITS])))
    grid = np.linspace(0.05, 1.0, 96)
    age = np.clip(rows[:, _AGE] / warm_up_ms, 0, 1)
    expected = -np.log(grid[:, None] + (1 - grid[:, None]) * age)
    # The mean of the logarithms is below the logarithm of the mean; correct by that of warm workers' service times.
    errors = ((log_slowdown - np.log(shape).mean() - expected) ** 2).mean(axis=1)
    return float(grid[int(np.argmin(errors))])
