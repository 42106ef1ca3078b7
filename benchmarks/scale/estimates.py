"""What a measure is at a size of the whole fleet, from the fits of all axes, and where it crosses its budget.

The axes are taken to add up: the value at the base, and along each axis what its fit says beyond the base. The run of
all axes at full size stands beside it, so the sum is held against something. Free of I/O."""

from __future__ import annotations

import math
from collections.abc import Callable, Sequence
from dataclasses import dataclass

from benchmarks.scale import fit
from benchmarks.scale.plan import OFF_BY, PLAN, Size
from benchmarks.scale.results import Axis, Fit, Results

# What each axis counts, of a whole fleet.
AXES: dict[str, Callable[[Size], float]] = {
    "gatekeepers": lambda size: size.gatekeepers,
    "workers": lambda size: size.workers,
    "services": lambda size: size.services,
    "routes": lambda size: size.routes,
    "tenants": lambda size: size.tenants,
    "requests": lambda size: size.each_requests_per_s,
    "changes": lambda size: size.changes_a_day / 1440,
    "members": lambda size: size.gatekeeper_changes_a_day / 1440,
}


@dataclass(frozen=True, slots=True)
class Estimate:
    """`error` is a standard error of the slopes; `without`: axes that were not measured, or not with this measure."""

    value: float
    error: float
    without: tuple[str, ...]


@dataclass(frozen=True, slots=True)
class Crossing:
    """`size` along `axis` at which a budget is crossed, the other axes at the base, and its part of the plan.
    Infinite: not within a hundred times the plan. 0: at the least size already."""

    axis: str
    size: float
    part: float


def known_fits(results: Results, measures: Sequence[str]) -> dict[str, list[Fit]]:
    """Of each axis the fits of these measures, where it has all of them."""
    out = {}
    for name, axis in results.axes.items():
        if name in AXES and all(measure in axis.fits for measure in measures):
            out[name] = [axis.fits[measure] for measure in measures]
    return out


def base_of(results: Results, name: str) -> float | None:
    """The base of an axis, as the others say; the least size that was run where no other tells."""
    told = [axis.base[name] for axis in results.axes.values() if name in axis.base]
    own = results.axes[name].base.get(name)
    if own is not None or told:
        return own if own is not None else told[0]
    rows = results.axes[name].rows
    return rows[0].size if rows else None


def total(fits: list[Fit], size: float) -> float:
    """The sum of some fits at a size."""
    return sum(fit.at(each, size) for each in fits)


def value_at_base(results: Results, measures: Sequence[str]) -> float | None:
    """The middle of what the axes' fits say of the base that they share."""
    said = sorted(total(fits, base) for name, fits in known_fits(results, measures).items()
                  if (base := base_of(results, name)) is not None)
    return said[len(said) // 2] if said else None


def estimate(results: Results, measures: Sequence[str], size: Size) -> Estimate | None:
    """The sum of some measures at a size; None where no axis has them."""
    value, doubt = value_at_base(results, measures), 0.0
    if value is None:
        return None
    known = known_fits(results, measures)
    for name, fits in known.items():
        at, base = AXES[name](size), base_of(results, name)
        value += total(fits, at) - total(fits, base)
        doubt += sum((each.err_b * (at - base)) ** 2 + (each.err_c * (at * at - base * base)) ** 2 for each in fits)
    return Estimate(value, math.sqrt(doubt), tuple(name for name in AXES if name not in known))


def whole(results: Results, measures: Sequence[str]) -> float | None:
    """The same in the run of all axes at full size; None where it was not measured."""
    values = results.whole.get("values", {})
    return sum(values[name] for name in measures) if all(name in values for name in measures) else None


def off(predicted: float, measured: float) -> bool:
    """Whether a prediction is further out than it may be without a word."""
    return abs(measured - predicted) > OFF_BY * abs(predicted)


def crossing(results: Results, name: str, measures: Sequence[str], most: float) -> Crossing | None:
    """Where along one axis the sum of some measures crosses `most`; None where the axis has not measured them."""
    fits, plan = known_fits(results, measures).get(name), AXES[name](PLAN)
    if fits is None:
        return None
    return solve(name, lambda size: total(fits, size), most, plan)


def together(results: Results, measures: Sequence[str], most: float) -> Crossing | None:
    """Where it is crossed if all axes grow from nothing to the plan in step; `size` is a part of the plan."""
    known, base = known_fits(results, measures), value_at_base(results, measures)
    if base is None:
        return None

    def at(part: float) -> float:
        return base + sum(total(fits, part * AXES[name](PLAN)) - total(fits, base_of(results, name))
                          for name, fits in known.items())

    return solve("all in step", at, most, 1.0)


def solve(name: str, at: Callable[[float], float], most: float, plan: float) -> Crossing:
    """The least size from which on `at` is over `most`, by halving. `plan`: the planned size."""
    low, high = 0.0, 100.0 * plan
    if at(low) > most:
        return Crossing(name, 0.0, 0.0)
    # Danger: a fit that bends may be over its budget and under it again far beyond what was measured: the first
    # crossing counts, so it is looked for from below.
    steps = 2000
    for step in range(1, steps + 1):
        edge = high * (step / steps) ** 2
        if at(edge) > most:
            high = edge
            break
        low = edge
    else:
        return Crossing(name, math.inf, math.inf)
    for _ in range(60):
        middle = (low + high) / 2
        low, high = (low, middle) if at(middle) > most else (middle, high)
    return Crossing(name, high, high / plan)


def first_off(axis: Axis) -> list[tuple[str, Fit]]:
    """The measures of an axis whose prediction was out by more than a quarter."""
    return [(name, each) for name, each in sorted(axis.fits.items())
            if each.predicted is not None and each.measured is not None and off(each.predicted, each.measured)]
