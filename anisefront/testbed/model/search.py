"""Searches by simulation: the fault that degrades a fleet most, and the smallest fleet that meets a measure.

The fault is searched by a tree-structured Parzen estimator (Bergstra et al., 2011; `optuna`), which handles kinds and
parameters together and needs few runs. Proposals come in batches of a fixed size, so that the search is the same on
any number of processes; stored runs are not repeated.
"""

from __future__ import annotations

import math
from collections.abc import Callable
from dataclasses import replace
from typing import Any

import numpy as np

from anisefront.testbed.model.compare import interval
from anisefront.testbed.model.study import InvalidStudyError, Study, load_arrivals

RunMeasures = Callable[[Study, list[int]], list[dict[str, float]]]
BATCH_SIZE = 4
SEARCH_SEEDS = (1, 2)
VALIDATION_RUNS = 8
# Ranges of the parameters of each kind of fault; times are in seconds, `share` is a fraction of the workers.
FAULT_PARAMETERS: dict[str, dict[str, tuple[float, float]]] = {
    "deploy": {"over": (2, 60), "drain": (0.5, 5)},
    "slow": {"share": (0.1, 1.0), "times": (1.5, 8), "for": (2, 30)},
    "errors": {"share": (0.1, 1.0), "for": (2, 30)},
    "silence": {"share": (0.1, 0.6), "for": (2, 15)},
    "freeze-workers": {"share": (0.1, 1.0), "for": (1, 6)},
    "preempt": {"share": (0.1, 0.6), "notice": (0.1, 5), "for": (3, 30)},
    "freeze-gatekeeper": {"for": (2, 15)},
    "kill-gatekeeper": {"back-after": (0.5, 10)},
    "partition": {"for": (5, 60)},
}


def fault_line(kind: str, at_s: float, parameters: dict[str, float], workers: int) -> str:
    """Format a fault as a line of a script; times are in seconds, `share` is a fraction of the workers."""
    words = ["at", f"{at_s:.2f}s", kind]
    for name, value in parameters.items():
        if name == "share":
            words += ["workers", str(max(1, round(value * workers)))]
        elif name == "times":
            words += [name, f"{value:.2f}"]
        else:
            words += [name, f"{value:.2f}s"]
    return " ".join(words)


def traffic_length_s(study: Study) -> float:
    """Return the duration of the traffic in seconds."""
    arrivals = load_arrivals(study.traffic, study.options[0].settings, 1)
    return max(1.0, arrivals[-1].at / 1000)


def weakest_day(
    study: Study, run_seeds: RunMeasures, measure: str, kinds: tuple[str, ...], runs: int
) -> dict[str, Any]:
    """Find the single fault, with its time and parameters, that lowers a measure most, within a number of runs.

    The reported difference is measured with fresh seeds, since the extreme of many noisy results is biased.
    """
    import optuna

    unknown = set(kinds) - set(FAULT_PARAMETERS)
    if unknown:
        raise InvalidStudyError(f"--kind {sorted(unknown)[0]}: known are {', '.join(FAULT_PARAMETERS)}")
    if runs < BATCH_SIZE * len(SEARCH_SEEDS) + 2 * VALIDATION_RUNS:
        raise InvalidStudyError(
            f"--runs {runs}: a search needs at least {BATCH_SIZE * len(SEARCH_SEEDS) + 2 * VALIDATION_RUNS}"
        )
    optuna.logging.set_verbosity(optuna.logging.WARNING)
    option, length = study.options[0], traffic_length_s(study)
    sampler = optuna.samplers.TPESampler(seed=1, n_startup_trials=3 * BATCH_SIZE, constant_liar=True)
    search = optuna.create_study(direction="minimize", sampler=sampler)
    tried: dict[str, float] = {}
    for _ in range((runs - 2 * VALIDATION_RUNS) // (BATCH_SIZE * len(SEARCH_SEEDS))):
        batch = []
        for trial in (search.ask() for _ in range(BATCH_SIZE)):
            kind = trial.suggest_categorical("kind", sorted(kinds or FAULT_PARAMETERS))
            at = trial.suggest_float("at", 0.05, 0.9)
            parameters = {
                name: trial.suggest_float(f"{kind} {name}", *ends) for name, ends in FAULT_PARAMETERS[kind].items()
            }
            batch.append((trial, fault_line(kind, at * length, parameters, option.workers)))
        for trial, text in batch:
            value = float(np.mean([run[measure] for run in run_seeds(_with_fault(study, text), list(SEARCH_SEEDS))]))
            search.tell(trial, value)
            tried[text] = value
    worst = min(tried, key=tried.__getitem__)
    fresh = list(range(1001, 1001 + VALIDATION_RUNS))
    baseline, degraded = (
        np.array([run[measure] for run in run_seeds(each, fresh)]) for each in (study, _with_fault(study, worst))
    )
    low, high = interval(degraded - baseline, 0.9)
    return {
        "trouble": worst,
        "measure": measure,
        "without": round(float(baseline.mean()), 4),
        "with": round(float(degraded.mean()), 4),
        "difference": [round(low, 4), round(high, 4)],
        "tried": len(tried),
        "next": [
            {"trouble": text, "with": round(value, 4)}
            for text, value in sorted(tried.items(), key=lambda pair: pair[1])[1:5]
        ],
    }


def _with_fault(study: Study, text: str) -> Study:
    option = study.options[0]
    return replace(study, options=(replace(option, troubles=(*option.troubles, text)),))


def smallest_fleet(
    study: Study, run_seeds: RunMeasures, measure: str, minimum: float, resource: str, max_size: int, runs: int
) -> dict[str, Any]:
    """Find the smallest number of workers or gatekeepers for which the mean of a measure is at least `minimum`.

    Bisection applies because service does not fall as a fleet grows. A size is undecided, and counts as too small, if
    its 95% interval still contains `minimum` after its part of the runs.
    """
    if not 0 < minimum < 1:
        raise InvalidStudyError(f"--keep {minimum:g}: must be between 0 and 1")
    current_size = getattr(study.options[0], resource)
    low, high, results_by_size = 0, max_size or 4 * current_size, {}
    runs_per_size = max(8, runs // max(1, math.ceil(math.log2(high + 1)) + 1))

    def is_sufficient(size: int) -> bool:
        sized = replace(study, options=(replace(study.options[0], **{resource: size}),))
        values: list[float] = []
        while len(values) < runs_per_size:
            seeds = list(range(len(values) + 1, min(runs_per_size, len(values) + BATCH_SIZE) + 1))
            values += [run[measure] for run in run_seeds(sized, seeds)]
            if len(values) < 8 and len(values) < runs_per_size:
                continue
            ends = interval(np.array(values), 0.95)
            if ends[0] >= minimum or ends[1] < minimum:
                break
        results_by_size[size] = {
            "mean": round(float(np.mean(values)), 4),
            "interval": [round(end, 4) for end in ends],
            "runs": len(values),
            "verdict": "keeps" if ends[0] >= minimum else "falls short" if ends[1] < minimum else "undecided",
        }
        return ends[0] >= minimum

    if not is_sufficient(high):
        return {
            "smallest": None,
            "why": f"even {high} {resource} do not meet {minimum:g} with confidence",
            "tried": results_by_size,
        }
    while high - low > 1:
        middle = (low + high) // 2
        low, high = (low, middle) if is_sufficient(middle) else (middle, high)
    return {
        "smallest": high,
        "part": resource,
        "measure": measure,
        "keep": minimum,
        "tried": dict(sorted(results_by_size.items())),
    }
