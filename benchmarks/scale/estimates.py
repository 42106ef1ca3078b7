"""Estimates of a measure at a size of the whole fleet, from the fits of all axes, and where it crosses its budget.

The axes are assumed to add up: the value at the base, plus what the fit of each axis adds beyond the base. The run of
all axes at full size checks that sum. Free of I/O.
"""

from __future__ import annotations

import math
from collections.abc import Callable, Sequence
from dataclasses import dataclass

from benchmarks.scale import fit
from benchmarks.scale.plan import MAX_DEVIATION, PLAN, Size
from benchmarks.scale.results import Axis, Fit, Results

# Size of each axis in a whole fleet. Services are no such axis: they are measured in a process of their own.
AXES: dict[str, Callable[[Size], float]] = {
    "gatekeepers": lambda size: size.gatekeepers,
    "workers": lambda size: size.workers,
    "routes": lambda size: size.routes,
    "tenants": lambda size: size.tenants,
    "requests": lambda size: size.gateway_requests_per_s,
    "members": lambda size: size.gatekeeper_changes_a_day / 1440,
}
QUIET = ("members",)  # axes with no events while another axis is measured
# The cost of changes of settings and of the list depends on their sizes: it is reported by itself, at full size.
CHANGES = ("settings", "list")
SIGNIFICANT_ERRORS = 2.0  # a slope of fewer standard errors counts as zero; its error still counts


@dataclass(frozen=True, slots=True)
class Estimate:
    """Estimate with the standard error of its slopes; `missing_axes` were not measured, or not with this measure."""

    value: float
    error: float
    missing_axes: tuple[str, ...]


@dataclass(frozen=True, slots=True)
class Crossing:
    """Size along an axis at which a budget is crossed, with the other axes at the base, and its fraction of the plan.

    An infinite size is beyond a hundred times the plan; 0 means crossed at the smallest size already.
    """

    axis: str
    size: float
    plan_fraction: float


def known_fits(results: Results, measures: Sequence[str]) -> dict[str, list[Fit]]:
    """Return the fits of these measures for each axis that has all of them."""
    out = {}
    for name, axis in results.axes.items():
        if name in AXES and all(measure in axis.fits for measure in measures):
            out[name] = [axis.fits[measure] for measure in measures]
    return out


def base_of(results: Results, name: str) -> float | None:
    """Return the base of an axis, as stored with the others; the smallest size that was run if none has it."""
    if name in QUIET:
        return 0.0
    bases = [axis.base[name] for axis in results.axes.values() if name in axis.base]
    own = results.axes[name].base.get(name)
    if own is not None or bases:
        return own if own is not None else bases[0]
    rows = results.axes[name].rows
    return rows[0].size if rows else None


def total(fits: list[Fit], size: float) -> float:
    """Return the sum of some fits at a size."""
    return sum(fit.at(each, size) for each in fits)


def value_at_base(results: Results, measures: Sequence[str]) -> float | None:
    """Return the median of the values that the axes' fits have at their common base."""
    values = sorted(
        total(fits, base)
        for name, fits in known_fits(results, measures).items()
        if (base := base_of(results, name)) is not None
    )
    return values[len(values) // 2] if values else None


def _gain(fits: list[Fit], size: float, base: float) -> float:
    """Return what an axis adds between two sizes, by the significant slopes."""
    significant = [
        each
        for each in fits
        if abs(each.b) > SIGNIFICANT_ERRORS * each.err_b or abs(each.c) > SIGNIFICANT_ERRORS * each.err_c
    ]
    return total(significant, size) - total(significant, base)


def _error(found: Fit, size: float, base: float) -> float:
    """Return the standard error of a fit's difference between two sizes."""
    if found.model == fit.MODELS["inverse"]:
        size, base = 1 / size, 1 / base
    return math.hypot(found.err_b * (size - base), found.err_c * (size * size - base * base))


def estimate(results: Results, measures: Sequence[str], size: Size) -> Estimate | None:
    """Estimate the sum of some measures at a size; None if no axis has them."""
    value, variance = value_at_base(results, measures), 0.0
    if value is None:
        return None
    known = known_fits(results, measures)
    for name, fits in known.items():
        at, base = AXES[name](size), base_of(results, name)
        value += _gain(fits, at, base)
        variance += sum(_error(each, at, base) ** 2 for each in fits)
    return Estimate(value, math.sqrt(variance), tuple(name for name in AXES if name not in known))


def full_run_value(results: Results, measures: Sequence[str]) -> float | None:
    """Return the sum of some measures in the run of all axes at full size; None if it was not measured."""
    values = results.whole.get("values", {})
    return sum(values[name] for name in measures) if all(name in values for name in measures) else None


def deviates(predicted: float, measured: float) -> bool:
    """Return whether a prediction is further off than `MAX_DEVIATION`."""
    return abs(measured - predicted) > MAX_DEVIATION * abs(predicted)


def crossing(results: Results, name: str, measures: Sequence[str], limit: float) -> Crossing | None:
    """Return where along one axis the sum of some measures crosses `limit`; None if the axis lacks them."""
    fits, plan = known_fits(results, measures).get(name), AXES[name](PLAN)
    if fits is None:
        return None
    return solve(name, lambda size: total(fits, size), limit, plan)


def crossing_in_step(results: Results, measures: Sequence[str], limit: float) -> Crossing | None:
    """Return where the limit is crossed if all axes grow in step; `size` is a fraction of the plan."""
    known, base = known_fits(results, measures), value_at_base(results, measures)
    if base is None:
        return None

    def at(fraction: float) -> float:
        """Return the value at a fraction of the plan."""
        return base + sum(
            _gain(fits, fraction * AXES[name](PLAN), base_of(results, name)) for name, fits in known.items()
        )

    return solve("all in step", at, limit, 1.0)


def solve(name: str, at: Callable[[float], float], limit: float, plan: float) -> Crossing:
    """Return the smallest size at which `at` exceeds `limit`, by bisection; `plan` is the planned size."""
    low, high = 0.0, 100.0 * plan
    if at(low) > limit:
        return Crossing(name, 0.0, 0.0)
    # A quadratic fit may cross its budget again far beyond the measured sizes: the first crossing counts, so the search
    # goes upwards in steps.
    steps = 200
    for step in range(1, steps + 1):
        edge = high * (step / steps) ** 2
        if at(edge) > limit:
            high = edge
            break
        low = edge
    else:
        return Crossing(name, math.inf, math.inf)
    for _ in range(60):
        middle = (low + high) / 2
        low, high = (low, middle) if at(middle) > limit else (middle, high)
    return Crossing(name, high, high / plan)


def interpolate(figures: dict[str, float], name: str, size: float) -> float | None:
    """Interpolate linearly between figures that are stored as `name_SIZE`; None with fewer than two sizes."""
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
    """Return the CPU of one change of the list: the file is parsed, and the controller updates all endpoints."""
    parse = interpolate(results.micro, "parse_list_ms", workers)
    update = interpolate(results.micro, f"one_changed_ms_at_{PLAN.gatekeepers}", workers)
    return None if parse is None or update is None else max(0.0, parse) + max(0.0, update)


def by_settings(results: Results, measure: str, changed: str) -> Callable[[float], float] | None:
    """Return the cost of a settings change as a function of the bytes of all settings.

    It is the line through the axis of settings at the base, with the plan's changes per minute, and the measure of
    `change` with all routes and keys. With only one of them it is proportional to the bytes; None if neither is stored.
    """
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
    """Return the CPU of a settings change in the full run: the CPU of requests there beyond their estimate."""
    values = results.whole.get("values", {})
    expected = estimate(results, ["request_cpu_us"], PLAN)
    if expected is None or not values.get("changes") or "request_cpu_us" not in values:
        return None
    excess_us = (values["request_cpu_us"] - expected.value) * values["requests_s"] * values["seconds"]
    return max(0.0, excess_us / 1000 / values["changes"])


def deviating_fits(axis: Axis) -> list[tuple[str, Fit]]:
    """Return the measures of an axis whose prediction was off by more than a quarter."""
    return [
        (name, each)
        for name, each in sorted(axis.fits.items())
        if each.predicted is not None and each.measured is not None and deviates(each.predicted, each.measured)
    ]
