"""Paired comparison of two options: confidence intervals of the differences and a verdict for each measure."""

from __future__ import annotations

import math
from dataclasses import dataclass

import numpy as np

from anisefront.testbed.model.measures import MEASURES

HIGHER_IS_BETTER = {"service": True, "worst_10_s": True, "p95_wait_ms": False, "refused": False}
MIN_RUNS = 8
RESAMPLES = 4000


@dataclass(frozen=True, slots=True)
class Comparison:
    """Comparison of one measure: both means, the interval of the difference, the verdict and the runs it needs."""

    measure: str
    first: float
    second: float
    low: float
    high: float
    verdict: str
    runs_needed: int


def interval(differences: np.ndarray, level: float, seed: int = 0) -> tuple[float, float]:
    """Return the confidence interval of the mean by the studentised bootstrap over pairs.

    It keeps its coverage for skewed differences, for which the percentile bootstrap is too narrow (Efron and
    Tibshirani, An Introduction to the Bootstrap, 12.5).
    """
    n, mean, deviation = len(differences), differences.mean(), differences.std(ddof=1)
    if deviation == 0:
        return float(mean), float(mean)
    rng = np.random.default_rng(seed)
    resampled = differences[rng.integers(0, n, (RESAMPLES, n))]
    deviations = resampled.std(axis=1, ddof=1)
    valid = deviations > 0
    t = (resampled.mean(axis=1)[valid] - mean) / (deviations[valid] / math.sqrt(n))
    low, high = np.quantile(t, [(1 - level) / 2, (1 + level) / 2])
    error = deviation / math.sqrt(n)
    return float(mean - high * error), float(mean - low * error)


def sign_flip(differences: np.ndarray, seed: int = 0) -> float:
    """Return the p-value of the paired randomisation test (Fisher, The Design of Experiments, 21).

    It is the probability of a mean at least this far from zero if the options are equal and the sign of each pair is
    random, and holds its error rate for any distribution. Up to twelve pairs all signs are enumerated; for more,
    `RESAMPLES` random sign vectors are drawn.
    """
    n, mean = len(differences), abs(differences.mean())
    if n <= 12:
        signs = 1 - 2 * (np.arange(2**n)[:, None] >> np.arange(n) & 1)
    else:
        signs = np.random.default_rng(seed).choice((-1, 1), (RESAMPLES, n))
    as_extreme = int((np.abs(signs @ differences) / n >= mean * (1 - 1e-9)).sum())
    return as_extreme / len(signs) if n <= 12 else (1 + as_extreme) / (1 + RESAMPLES)


def compare_measures(
    first: list[dict[str, float]], second: list[dict[str, float]], level: float = 0.9
) -> list[Comparison]:
    """Compare paired runs in each measure.

    With four measures, one soon differs by chance; so each interval has the level at which all hold together
    (Bonferroni).
    """
    each_level, out = 1 - (1 - level) / len(MEASURES), []
    for measure in MEASURES:
        a, b = np.array([run[measure] for run in first]), np.array([run[measure] for run in second])
        difference = b - a
        low, high = interval(difference, each_level)
        # If most pairs are equal and a few differ, the bootstrap underestimates the variance: at a nominal 10%, 17% of
        # A/A comparisons were reported as different. So the randomisation test has to reject as well.
        clear = (low > 0 or high < 0) and sign_flip(difference) <= 1 - each_level
        better = (difference.mean() > 0) == HIGHER_IS_BETTER[measure]
        runs_needed = len(a)
        if not clear and difference.mean():
            runs_needed = math.ceil(len(a) * ((high - low) / 2 / abs(difference.mean())) ** 2)
        out.append(
            Comparison(
                measure,
                float(a.mean()),
                float(b.mean()),
                low,
                high,
                ("better" if better else "worse") if clear else "too small to tell",
                runs_needed,
            )
        )
    return out


def runs_for_precision(
    first: list[dict[str, float]], second: list[dict[str, float]], half_width: float = 0.005, level: float = 0.9
) -> int | None:
    """Return after how many pairs the interval of `service` has at most this half-width; None if it does not yet.

    The stopping rule looks at the width alone, never at the sign of the difference, so it favours no verdict.
    """
    difference = np.array([b["service"] - a["service"] for a, b in zip(first, second, strict=True)])
    for runs in range(MIN_RUNS, len(difference) + 1):
        low, high = interval(difference[:runs], level)
        if high - low <= 2 * half_width:
            return runs
    return None


def format_comparison(comparison: Comparison, runs: int) -> str:
    """Format a comparison as one line."""
    suffix = ""
    if comparison.verdict == "too small to tell":
        suffix = (
            f" with {runs} runs; about {comparison.runs_needed} would be needed"
            if comparison.runs_needed < 10**6
            else ""
        )
    return (
        f"{comparison.measure:12} {comparison.first:9.4f} -> {comparison.second:9.4f}  difference "
        f"{comparison.low:+.4f} to {comparison.high:+.4f}: {comparison.verdict}{suffix}"
    )
