"""Searches over the model: the day that costs most, and the smallest fleet that keeps a stated service.

The weakest day is looked for by a tree-structured Parzen estimator (Bergstra et al., 2011; `optuna`), which takes
kinds and figures together and needs few runs. Proposals come in batches of a fixed size, so that the search is the
same on any number of processes; runs that are stored are not played again.
"""

from __future__ import annotations

import math
from collections.abc import Callable
from dataclasses import replace
from typing import Any

import numpy as np

from anisefront.testbed.model.compare import interval
from anisefront.testbed.model.study import Study, Unfit, arrivals_of

Played = Callable[[Study, list[int]], list[dict[str, float]]]
BATCH, SEEDS, FRESH = 4, (1, 2), 8
# For each kind of trouble: what may be drawn, from and to.
KINDS: dict[str, dict[str, tuple[float, float]]] = {
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


def line(kind: str, at_s: float, drawn: dict[str, float], workers: int) -> str:
    """The trouble as a script has it. A `share` is of the workers; figures of time are in seconds."""
    words = ["at", f"{at_s:.2f}s", kind]
    for name, value in drawn.items():
        if name == "share":
            words += ["workers", str(max(1, round(value * workers)))]
        elif name == "times":
            words += [name, f"{value:.2f}"]
        else:
            words += [name, f"{value:.2f}s"]
    return " ".join(words)


def length_s(study: Study) -> float:
    """How long the traffic lasts."""
    arrivals = arrivals_of(study.traffic, study.options[0].settings, 1)
    return max(1.0, arrivals[-1].at / 1000)


def weakest_day(study: Study, played: Played, measure: str, kinds: tuple[str, ...], runs: int) -> dict[str, Any]:
    """The one trouble, and its time and figures, under which the measure falls most. `runs` bounds the search; the
    loss that is told comes from fresh seeds, since the best of many is flattered by its luck."""
    import optuna

    unknown = set(kinds) - set(KINDS)
    if unknown:
        raise Unfit(f"--kind {sorted(unknown)[0]}: known are {', '.join(KINDS)}")
    if runs < BATCH * len(SEEDS) + 2 * FRESH:
        raise Unfit(f"--runs {runs}: at least {BATCH * len(SEEDS) + 2 * FRESH} are due for a search")
    optuna.logging.set_verbosity(optuna.logging.WARNING)
    option, length = study.options[0], length_s(study)
    sampler = optuna.samplers.TPESampler(seed=1, n_startup_trials=3 * BATCH, constant_liar=True)
    search = optuna.create_study(direction="minimize", sampler=sampler)
    tried: dict[str, float] = {}
    for _ in range((runs - 2 * FRESH) // (BATCH * len(SEEDS))):
        batch = []
        for trial in (search.ask() for _ in range(BATCH)):
            kind = trial.suggest_categorical("kind", sorted(kinds or KINDS))
            at = trial.suggest_float("at", 0.05, 0.9)
            drawn = {name: trial.suggest_float(f"{kind} {name}", *ends) for name, ends in KINDS[kind].items()}
            batch.append((trial, line(kind, at * length, drawn, option.workers)))
        for trial, text in batch:
            value = float(np.mean([run[measure] for run in played(_with(study, text), list(SEEDS))]))
            search.tell(trial, value)
            tried[text] = value
    worst = min(tried, key=tried.__getitem__)
    fresh = list(range(1001, 1001 + FRESH))
    quiet, rough = (np.array([run[measure] for run in played(each, fresh)]) for each in (study, _with(study, worst)))
    low, high = interval(rough - quiet, 0.9)
    return {
        "trouble": worst,
        "measure": measure,
        "without": round(float(quiet.mean()), 4),
        "with": round(float(rough.mean()), 4),
        "difference": [round(low, 4), round(high, 4)],
        "tried": len(tried),
        "next": [
            {"trouble": text, "with": round(value, 4)}
            for text, value in sorted(tried.items(), key=lambda pair: pair[1])[1:5]
        ],
    }


def _with(study: Study, text: str) -> Study:
    option = study.options[0]
    return replace(study, options=(replace(option, troubles=(*option.troubles, text)),))


def smallest_fleet(
    study: Study, played: Played, measure: str, keep: float, part: str, most: int, runs: int
) -> dict[str, Any]:
    """The fewest workers or gatekeepers of which the mean of the measure is surely at least `keep`.

    By halving: service does not fall as a fleet grows. A size stays undecided, and counts as too small, where its
    interval at 95% still holds `keep` after its part of the runs."""
    if not 0 < keep < 1:
        raise Unfit(f"--keep {keep:g}: a share between 0 and 1 is due")
    now = getattr(study.options[0], part)
    low, high, table = 0, most or 4 * now, {}
    each_runs = max(8, runs // max(1, math.ceil(math.log2(high + 1)) + 1))

    def enough(size: int) -> bool:
        sized = replace(study, options=(replace(study.options[0], **{part: size}),))
        values: list[float] = []
        while len(values) < each_runs:
            seeds = list(range(len(values) + 1, min(each_runs, len(values) + BATCH) + 1))
            values += [run[measure] for run in played(sized, seeds)]
            if len(values) < 8 and len(values) < each_runs:
                continue
            ends = interval(np.array(values), 0.95)
            if ends[0] >= keep or ends[1] < keep:
                break
        table[size] = {
            "mean": round(float(np.mean(values)), 4),
            "interval": [round(end, 4) for end in ends],
            "runs": len(values),
            "verdict": "keeps" if ends[0] >= keep else "falls short" if ends[1] < keep else "undecided",
        }
        return ends[0] >= keep

    if not enough(high):
        return {"smallest": None, "why": f"even {high} {part} do not surely keep {keep:g}", "tried": table}
    while high - low > 1:
        middle = (low + high) // 2
        low, high = (low, middle) if enough(middle) else (middle, high)
    return {"smallest": high, "part": part, "measure": measure, "keep": keep, "tried": dict(sorted(table.items()))}
