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

# What each axis counts, of a whole fleet. Services are no such axis: they were measured in a process of their own.
AXES: dict[str, Callable[[Size], float]] = {
    "gatekeepers": lambda size: size.gatekeepers,
    "workers": lambda size: size.workers,
    "routes": lambda size: size.routes,
    "tenants": lambda size: size.tenants,
    "requests": lambda size: size.each_requests_per_s,
    "members": lambda size: size.gatekeeper_changes_a_day / 1440,
}
QUIET = ("members",)  # nothing of it happens while another axis is measured
# What changes of settings and of the list cost hangs on how much there is: it is told by itself, at full size.
CHANGES = ("settings", "list")
SURE = 2.0  # a slope of fewer standard errors is taken for none; its error counts all the same


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
    if name in QUIET:
        return 0.0
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
    said = sorted(
        total(fits, base)
        for name, fits in known_fits(results, measures).items()
        if (base := base_of(results, name)) is not None
    )
    return said[len(said) // 2] if said else None


def _gain(fits: list[Fit], size: float, base: float) -> float:
    """What an axis adds between two sizes, by the slopes that are sure."""
    sure = [each for each in fits if abs(each.b) > SURE * each.err_b or abs(each.c) > SURE * each.err_c]
    return total(sure, size) - total(sure, base)


def _doubt(found: Fit, size: float, base: float) -> float:
    """The standard error of what a fit says of the way between two sizes."""
    if found.model == fit.MODELS["inverse"]:
        size, base = 1 / size, 1 / base
    return math.hypot(found.err_b * (size - base), found.err_c * (size * size - base * base))


def estimate(results: Results, measures: Sequence[str], size: Size) -> Estimate | None:
    """The sum of some measures at a size; None where no axis has them."""
    value, doubt = value_at_base(results, measures), 0.0
    if value is None:
        return None
    known = known_fits(results, measures)
    for name, fits in known.items():
        at, base = AXES[name](size), base_of(results, name)
        value += _gain(fits, at, base)
        doubt += sum(_doubt(each, at, base) ** 2 for each in fits)
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
        return base + sum(_gain(fits, part * AXES[name](PLAN), base_of(results, name)) for name, fits in known.items())

    return solve("all in step", at, most, 1.0)


def solve(name: str, at: Callable[[float], float], most: float, plan: float) -> Crossing:
    """The least size from which on `at` is over `most`, by halving. `plan`: the planned size."""
    low, high = 0.0, 100.0 * plan
    if at(low) > most:
        return Crossing(name, 0.0, 0.0)
    # Danger: a fit that bends may be over its budget and under it again far beyond what was measured: the first
    # crossing counts, so it is looked for from below.
    steps = 200
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


def between(figures: dict[str, float], name: str, size: float) -> float | None:
    """A figure of the module alone that is told as `name_SIZE`: by the line through the sizes there; None where fewer
    than two are."""
    prefix = f"{name}_"
    known = sorted(
        (float(key[len(prefix) :]), value)
        for key, value in figures.items()
        if key.startswith(prefix) and key[len(prefix) :].isdigit()
    )
    if len(known) < 2:
        return None
    (low, first), (high, last) = known[0], known[-1]
    return first + (last - first) * (size - low) / (high - low)


def list_change_ms(results: Results, workers: float) -> float | None:
    """CPU of one change of the list: the file is parsed, and the module takes in all lines."""
    parse = between(results.micro, "parse_list_ms", workers)
    taken = between(results.micro, f"one_changed_ms_at_{PLAN.gatekeepers}", workers)
    return None if parse is None or taken is None else max(0.0, parse) + max(0.0, taken)


def by_settings(results: Results, measure: str, changed: str) -> Callable[[float], float] | None:
    """What a change of settings comes to, by the bytes of all settings: the line through what the axis of settings says
    of the base, at the plan's changes a minute, and what `change` measured with all routes and keys. Through one of
    them alone it grows with the bytes; None where neither is there."""
    axis, files, points = results.axes.get("settings"), results.micro.get("files", {}), []
    if axis is not None and measure in axis.fits and "base" in files:
        points.append((files["base"]["settings"], fit.at(axis.fits[measure], PLAN.changes_a_day / 1440)))
    if changed in results.change.get("after", {}) and "plan" in files:
        points.append((files["plan"]["settings"], results.change["after"][changed]))
    if not points:
        return None
    low, last = points[0] if len(points) > 1 else (0.0, 0.0), points[-1]
    return lambda size: max(0.0, low[1] + (last[1] - low[1]) * (size - low[0]) / (last[0] - low[0]))


def whole_settings_change_ms(results: Results) -> float | None:
    """The same in the whole run, by difference: what a request took there beyond what the slopes say of requests."""
    values = results.whole.get("values", {})
    usual = estimate(results, ["request_cpu_us"], PLAN)
    if usual is None or not values.get("changes") or "request_cpu_us" not in values:
        return None
    over_us = (values["request_cpu_us"] - usual.value) * values["requests_s"] * values["seconds"]
    return max(0.0, over_us / 1000 / values["changes"])


def first_off(axis: Axis) -> list[tuple[str, Fit]]:
    """The measures of an axis whose prediction was out by more than a quarter."""
    return [
        (name, each)
        for name, each in sorted(axis.fits.items())
        if each.predicted is not None and each.measured is not None and off(each.predicted, each.measured)
    ]
