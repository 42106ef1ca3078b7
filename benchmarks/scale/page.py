"""Tables of docs/CAPACITY.md, from the plan and the committed results: `python -m benchmarks.scale page`.

A table between `<!-- table NAME -->` and `<!-- end -->` is rewritten; the text around it is kept.
"""

from __future__ import annotations

import math
import re
import statistics
from collections.abc import Callable, Iterable, Sequence
from functools import partial
from pathlib import Path

from anisefront.cluster.endpoint_file import MAX_FILE_BYTES
from benchmarks.scale import estimates, fit, partition, results, roles, settings_distribution, subsets
from benchmarks.scale.estimates import Crossing
from benchmarks.scale.plan import (
    ADDED,
    CONTROL_MACHINES,
    CPU,
    DAY_S,
    IN_FLIGHT_S,
    IN_FORCE,
    MAX_DEVIATION,
    MEMORY,
    PARTITION_S,
    PLAN,
    RACK_MACHINES,
    SET_SIZE,
    START_S,
    TODAY,
    TRAFFIC,
    WARM_UP_S,
    Size,
)
from benchmarks.scale.results import Results
from benchmarks.scale.roles import short

PAGE = results.ROOT / "docs/CAPACITY.md"
NO_VALUE = "not measured"
STRAINED_SUFFIX = " (strained)"
STRAINED_NOTE = "strained: the machine could not carry it, its times say nothing of a gatekeeper"
TIME_MEASURES = ("added_", "wait_max_ms", "in_force_s", "start_s")
FULL_RUN_S = 300.0  # a shorter run of all axes is a trial
NEAR_PLANS = 2.0  # budgets that are crossed later go to the shorter table
_TABLE = re.compile(r"<!-- table (\w+) -->\n(.*?)<!-- end -->\n", re.DOTALL)
_MEMBERS = tuple(f"members_{direction}_bytes_s" for direction in ("in", "out"))
_QUOTAS = tuple(f"quotas_{direction}_bytes_s" for direction in ("in", "out"))


class PageError(ValueError):
    """Raised when a page cannot be filled; the message names the table and the remedy."""


# ---- cells ---------------------------------------------------------------------------------------


def cell(value: float | None, unit: str = "") -> str:
    """Format a figure with its unit, or state that it was not measured."""
    if value is None or math.isnan(value):
        return NO_VALUE
    return short(value) + (f" {unit}" if unit else "")


def table(head: Sequence[str], rows: Iterable[Sequence[str]]) -> str:
    """Return the lines of a table; one without rows states that nothing was measured."""
    body = [f"| {' | '.join(row)} |" for row in rows] or [f"| {' | '.join([NO_VALUE, *[''] * (len(head) - 1)])} |"]
    return "\n".join([f"| {' | '.join(head)} |", f"| {' | '.join(['---'] * len(head))} |", *body]) + "\n"


# ---- the plan ------------------------------------------------------------------------------------


def plan_table(_: Results) -> str:
    """Return the table of sizes, derived figures and budgets."""

    def both(name: str, of: Callable[[Size], float]) -> tuple[str, str, str]:
        """Return a row with one figure at both sizes."""
        return name, short(of(TODAY)), short(of(PLAN))

    assumptions = (
        f"a rack of {RACK_MACHINES} machines; regions apart for {short(PARTITION_S)} s; a request in hand for "
        f"{short(IN_FLIGHT_S)} s; a worker warm after {short(WARM_UP_S)} s; a tenant through {SET_SIZE} gatekeepers"
    )
    return table(
        ("", "today", "plan"),
        [
            both("gatekeepers", lambda size: size.gatekeepers),
            both("workers", lambda size: size.workers),
            both("services", lambda size: size.services),
            both("routes", lambda size: size.routes),
            both("tenants", lambda size: size.tenants),
            both("requests/s at the peak", lambda size: size.requests_per_s),
            both("of these at one gatekeeper", lambda size: size.gateway_requests_per_s),
            both("of these at one worker", lambda size: size.requests_per_s / size.workers),
            both("changes of settings a day", lambda size: size.changes_a_day),
            both("lines of the list that change in a day", lambda size: size.worker_changes_a_day),
            (
                "CPU, memory, traffic of a gatekeeper for control",
                "",
                f"{CPU.limit:.1%} of a core, {short(MEMORY.limit / 1e6)} MB, {short(TRAFFIC.limit / 1000)} kB/s",
            ),
            ("added to 99 requests in 100", "", f"{short(ADDED.limit)} ms"),
            (
                "so one stop of the loop at each change of settings, or of the list",
                "",
                f"{short(longest_stop_ms())} ms, or {short(longest_stop_ms(list_every_s()))} ms",
            ),
            (
                "a change in force everywhere; a restarted one ready",
                "",
                f"{short(IN_FORCE.limit)} s; {short(START_S.limit)} s (the standing test's)",
            ),
            ("machines of control", "", str(CONTROL_MACHINES)),
            ("taken, where the plan is silent", "", assumptions),
        ],
    )


def list_every_s() -> float:
    """Return the mean time between two changes of the endpoint list, in seconds."""
    return DAY_S / PLAN.worker_changes_a_day


def longest_stop_ms(every_s: float = PLAN.change_every_s) -> float:
    """Return the longest stall, at this interval, with which 99 of 100 requests keep the added latency budget."""
    return ADDED.limit + 0.01 * every_s * 1000


# ---- roles ---------------------------------------------------------------------------------------


def roles_table(_: Results) -> str:
    """Return the table of roles."""
    return table(
        ("role", "state", "messages", "carried by"),
        [(each.name, each.state, each.messages, each.mechanism) for each in roles.ROLES],
    )


def faults_table(stored: Results) -> str:
    """Return the table of fault effects by role."""
    start = estimates.estimate(stored, ["start_s"], PLAN)
    settings = stored.micro.get("files", {}).get("plan", {}).get("settings")
    lost = {
        each.name: f"{roles.count(each.gatekeepers)} gatekeepers, {roles.count(each.workers)} workers"
        for each in roles.faults()
    }
    head = [
        f"{name} ({lost[name]})" if name != roles.FAULTS[-1] else f"{name}, {short(PARTITION_S)} s"
        for name in roles.FAULTS
    ]
    return table(
        ("role", *head),
        [(name, *cells) for name, cells in roles.fault_effects(start.value if start else None, settings)],
    )


Figure = Callable[[Results, Size], float | None]
_FROM_FITS: set[Figure] = set()  # figures that are sums over the axes


def _fits(*measures: str, factor: float = 1.0) -> tuple[Figure, tuple[str, ...], float]:
    def at(stored: Results, size: Size) -> float | None:
        """Return the estimate at a size, None if it was not measured."""
        estimate = estimates.estimate(stored, measures, size)
        return None if estimate is None else max(0.0, estimate.value) * factor

    _FROM_FITS.add(at)
    return at, measures, factor


def _plain(figure: Figure) -> tuple[Figure, tuple[str, ...], float]:
    return figure, (), 1.0


def _name(size: Size) -> str:
    return "today" if size is TODAY else "plan"


def _file_bytes(stored: Results, size: Size, name: str) -> float | None:
    return stored.micro.get("files", {}).get(_name(size), {}).get(name)


def list_bytes_s(stored: Results, size: Size) -> float | None:
    """Return the traffic to one gateway that receives the whole list at each change."""
    file_bytes = _file_bytes(stored, size, "roster")
    return None if file_bytes is None else file_bytes * size.worker_changes_a_day / DAY_S


def settings_bytes_s(stored: Results, size: Size) -> float | None:
    """Return the traffic to one gateway that receives all settings at each change."""
    file_bytes = _file_bytes(stored, size, "settings")
    return None if file_bytes is None else file_bytes * size.changes_a_day / DAY_S


def list_cpu_ms_s(stored: Results, size: Size) -> float | None:
    """Return the CPU per second for changes of the list."""
    cost = estimates.list_change_ms(stored, size.workers)
    return None if cost is None else cost * size.worker_changes_a_day / DAY_S


def warming_cpu_ms_s(stored: Results, size: Size) -> float | None:
    """Return the CPU for warm-up as the mean of a day, with independent random starts of workers."""
    cost = warming_cpu(stored, size.workers)
    starts = size.worker_changes_a_day / 2 / DAY_S
    return None if cost is None else cost * 1000 * -math.expm1(-starts * WARM_UP_S)


def bare_p99_ms(stored: Results) -> float | None:
    """Return the p99 of a check of the bare server: the share of the client and the machine."""
    values = [
        row.values["bare_p99_ms"] for axis in stored.axes.values() for row in axis.rows if "bare_p99_ms" in row.values
    ]
    return statistics.median(values) if values else None


def warming_line(stored: Results) -> results.Fit | None:
    """Fit the fraction of a core that is used while one worker warms up, by the number of workers."""
    rows = stored.micro.get("warming", [])
    if len(rows) < 2:
        return None
    return fit.fit([row["workers"] for row in rows], [row["warming_cpu"] for row in rows])


def warming_cpu(stored: Results, workers: float) -> float | None:
    """Return the fraction of a core that is used while one worker warms up."""
    line = warming_line(stored)
    return None if line is None else max(0.0, fit.at(line, workers))


def of_change(measure: str, changed: str) -> Figure:
    """Return a figure for the cost of a settings change, by the bytes of all settings at a size."""

    def at(stored: Results, size: Size) -> float | None:
        """Return the cost at a size, None if it was not measured."""
        line, file_bytes = estimates.by_settings(stored, measure, changed), _file_bytes(stored, size, "settings")
        return None if line is None or file_bytes is None else line(file_bytes)

    return at


CHANGE_CPU = of_change("change_cpu_ms", "change_cpu_ms")
CHANGE_MAX_WAIT = of_change("wait_max_ms", "changing_wait_max_ms")
CHANGE_IN_FORCE = of_change("in_force_s", "in_force_s")


def settings_cpu_ms_s(stored: Results, size: Size) -> float | None:
    """Return the CPU per second for changes of settings."""
    cost = CHANGE_CPU(stored, size)
    return None if cost is None else cost * size.changes_a_day / DAY_S


def control_cpu_ms_s(stored: Results, size: Size) -> float | None:
    """Return the CPU per second for control: at rest, and for changes of settings and of the list."""
    at_rest = estimates.estimate(stored, ["control_cpu_ms_s"], size)
    parts = [
        None if at_rest is None else at_rest.value,
        settings_cpu_ms_s(stored, size),
        list_cpu_ms_s(stored, size),
        warming_cpu_ms_s(stored, size),
    ]
    return None if None in parts else sum(parts)


def traffic_bytes_s(stored: Results, size: Size) -> float | None:
    """Return the control traffic of a gateway: datagrams, and list and settings at each change."""
    datagrams = estimates.estimate(stored, [*_MEMBERS, *_QUOTAS], size)
    parts = [None if datagrams is None else datagrams.value, list_bytes_s(stored, size), settings_bytes_s(stored, size)]
    return None if None in parts else sum(parts)


def worker_open(_: Results, size: Size) -> float:
    """Return the open connections of a worker if every gateway knows all workers, with the pool's idle timeout."""
    each = size.requests_per_s / size.gatekeepers / size.workers
    return size.gatekeepers * -math.expm1(-each * subsets.IDLE_TIMEOUTS_S[0])


def worker_handshakes(_: Results, size: Size) -> float:
    """Return the handshakes per second of a worker if every gateway knows all workers."""
    each = size.requests_per_s / size.gatekeepers / size.workers
    return size.requests_per_s / size.workers * math.exp(-each * subsets.IDLE_TIMEOUTS_S[0])


def zone_restart_ms(stored: Results, size: Size) -> float | None:
    """Return the CPU of one gateway when a zone's members crash and restart at once; measured at today's size only."""
    axis = stored.axes.get("members")
    last = axis.rows[-1].values if axis is not None and axis.rows else {}
    return last.get("zone_change_cpu_ms") if size is TODAY else None


# Role, cost, unit, (figure, measures in the full run, factor), budget in that unit.
COSTS: tuple[tuple[str, str, str, tuple[Figure, tuple[str, ...], float], float | None], ...] = (
    ("gatekeeper", "memory", "MB", _fits("rss_mb"), MEMORY.limit / 1e6),
    ("", "CPU for control at rest: members, and as home", "ms/s", _fits("control_cpu_ms_s"), CPU.limit * 1000),
    ("", "and for all changes", "ms/s", _plain(control_cpu_ms_s), CPU.limit * 1000),
    ("", "once, when a zone restarts at once", "ms", _plain(zone_restart_ms), None),
    ("", "datagrams of members and quotas", "bytes/s", _fits(*_MEMBERS, *_QUOTAS), TRAFFIC.limit),
    ("", "and list and settings whole at each change", "bytes/s", _plain(traffic_bytes_s), TRAFFIC.limit),
    ("", "CPU of a request", "us", _fits("request_cpu_us"), None),
    ("", "added to a request, p50", "ms", _fits("added_p50_ms"), None),
    ("", "added, p99", "ms", _fits("added_p99_ms"), ADDED.limit),
    ("", "added, p99.9", "ms", _fits("added_p999_ms"), None),
    (
        "",
        "a bare server's check by such a client beside it, p99, the middle of all rows",
        "ms",
        _plain(lambda stored, _: bare_p99_ms(stored)),
        None,
    ),
    ("", "start", "s", _fits("start_s"), START_S.limit),
    ("home of quotas", "messages, in and out", "a second", _fits("quotas_in_msgs_s", "quotas_out_msgs_s"), None),
    ("", "bytes, in and out", "bytes/s", _fits(*_QUOTAS), TRAFFIC.limit),
    ("", "stores and accounts", "kB", _fits("held_stores_kb", "held_accounts_kb"), None),
    ("keeper", "messages, in and out (off in the scale run)", "a second", _plain(lambda stored, size: None), None),
    (
        "who tells the list",
        "the list, as a file",
        "bytes",
        _plain(lambda stored, size: _file_bytes(stored, size, "roster")),
        float(MAX_FILE_BYTES),
    ),
    ("", "whole at each change, to one", "bytes/s", _plain(list_bytes_s), TRAFFIC.limit),
    (
        "",
        "one change at a gatekeeper: CPU, and a stop",
        "ms",
        _plain(lambda stored, size: estimates.list_change_ms(stored, size.workers)),
        longest_stop_ms(list_every_s()),
    ),
    (
        "",
        "CPU while a worker warms up",
        "ms/s",
        _plain(lambda stored, size: _times_thousand(warming_cpu(stored, size.workers))),
        CPU.limit * 1000,
    ),
    ("", "the same over the day", "ms/s", _plain(warming_cpu_ms_s), CPU.limit * 1000),
    (
        "who tells settings",
        "all settings, as files",
        "bytes",
        _plain(lambda stored, size: _file_bytes(stored, size, "settings")),
        None,
    ),
    ("", "whole at each change, to one", "bytes/s", _plain(settings_bytes_s), TRAFFIC.limit),
    ("", "CPU of one change at a gatekeeper", "ms", (CHANGE_CPU, ("change_cpu_ms",), 1.0), None),
    ("", "the longest wait while settings change", "ms", (CHANGE_MAX_WAIT, ("wait_max_ms",), 1.0), longest_stop_ms()),
    ("", "from a change to its being in force", "s", (CHANGE_IN_FORCE, ("in_force_s",), 1.0), IN_FORCE.limit),
    (
        "the machines of control",
        "whole settings to their gatekeepers, each",
        "MB/s",
        _plain(lambda stored, size: _megabytes_per_control_machine(settings_bytes_s(stored, size), size)),
        None,
    ),
    ("worker", "connections open, all of a service known", "", _plain(worker_open), None),
    ("", "handshakes", "a second", _plain(worker_handshakes), None),
    (
        "client side",
        "requests in hand at its gatekeeper",
        "",
        _plain(lambda stored, size: size.gateway_requests_per_s * IN_FLIGHT_S),
        None,
    ),
)


def _times_thousand(value: float | None) -> float | None:
    return None if value is None else value * 1000


def _megabytes_per_control_machine(value: float | None, size: Size) -> float | None:
    return None if value is None else value * size.gatekeepers / CONTROL_MACHINES / 1e6


def full_run_cell(predicted: float | None, measured: float | None) -> str:
    """Format the value of the run of all axes, and whether the estimate deviates from it by too much."""
    if measured is None:
        return NO_VALUE
    if predicted is None or not estimates.deviates(predicted, measured):
        return short(measured)
    return f"{short(measured)}, **off by more than a quarter**"


def full_run_value(stored: Results, measures: tuple[str, ...]) -> float | None:
    """Return the value of the run of all axes; the CPU of a change is calculated there by difference."""
    if measures == ("change_cpu_ms",):
        return estimates.whole_settings_change_ms(stored)
    return estimates.full_run_value(stored, measures) if measures else None


def strained_at(axis: results.Axis) -> list[float]:
    """Return the sizes at which the machine could not sustain the load."""
    return sorted({*axis.strained, *(row.size for row in axis.rows if results.strained(row.values))})


def full_run_strained(stored: Results) -> bool:
    """Return whether the machine could not sustain the load of the run of all axes."""
    return bool(stored.whole.get("strained")) or results.strained(stored.whole.get("values", {}))


def strained(stored: Results, measures: Sequence[str]) -> tuple[bool, bool]:
    """Return whether these are times from a machine that could not sustain the load.

    The first value is for the axes, the second for the run of all axes.
    """
    times = any(measure.startswith(TIME_MEASURES) for measure in measures)
    axes = [axis for axis in stored.axes.values() if all(measure in axis.fits for measure in measures)]
    return times and any(map(strained_at, axes)), times and full_run_strained(stored)


def costs_table(stored: Results) -> str:
    """Return the table of each role's costs at both sizes, with those of the full run."""
    rows = []
    for role, what, unit, (figure, measures, factor), budget in COSTS:
        today, plan = figure(stored, TODAY), figure(stored, PLAN)
        estimate = estimates.estimate(stored, measures, PLAN) if figure in _FROM_FITS else None
        full_run = full_run_value(stored, measures)
        error = f" ± {short(estimate.error * factor)}" if estimate is not None and estimate.error else ""
        axes, all_axes = strained(stored, measures)
        rows.append(
            (
                role,
                what + (f", {unit}" if unit else ""),
                cell(today),
                cell(plan) + error + STRAINED_SUFFIX * axes,
                full_run_cell(plan, None if full_run is None else full_run * factor) + STRAINED_SUFFIX * all_axes
                if measures
                else "",
                "" if budget is None else short(budget),
                "" if budget is None else budget_fraction(plan if full_run is None else full_run * factor, budget),
            )
        )
    head = (
        "role",
        "cost",
        "today",
        "plan, by the slopes",
        "plan, all axes at once",
        "budget",
        "part of it, all axes or else the slopes",
    )
    return table(head, rows)


def budget_fraction(value: float | None, budget: float) -> str:
    """Format a fraction of a budget, in bold if the budget is exceeded."""
    if value is None:
        return NO_VALUE
    return f"**{value / budget:.2f}**" if value > budget else f"{value / budget:.2f}"


# ---- the order of work ---------------------------------------------------------------------------


def crossings(stored: Results) -> list[tuple[str, str, Crossing]]:
    """Return budget, growing size and crossing, sorted by the fraction of the plan."""
    out: list[tuple[str, str, Crossing]] = []
    for name, measures, limit in (
        ("CPU for control, at rest", ["control_cpu_ms_s"], CPU.limit * 1000),
        ("memory", ["rss_mb"], MEMORY.limit / 1e6),
        ("datagrams of control", [*_MEMBERS, *_QUOTAS], TRAFFIC.limit),
        ("added p99", ["added_p99_ms"], ADDED.limit),
        ("ready after a start", ["start_s"], START_S.limit),
    ):
        name += STRAINED_SUFFIX * strained(stored, measures)[0]
        base = estimates.value_at_base(stored, measures)
        if base is not None and base > limit:
            out.append((name, "nothing: the base is over it", Crossing("", 0.0, 0.0)))
            continue
        for axis in estimates.AXES:
            if (axis_crossing := estimates.crossing(stored, axis, measures, limit)) is not None:
                out.append((name, axis, axis_crossing))
        if (joint_crossing := estimates.crossing_in_step(stored, measures, limit)) is not None:
            out.append((name, "all in step", joint_crossing))
    file_bytes = _file_bytes(stored, PLAN, "settings")
    for name, measure, changed, limit in (
        ("p99: a stop at each change of settings", "wait_max_ms", "changing_wait_max_ms", longest_stop_ms()),
        ("a change in force everywhere", "in_force_s", "in_force_s", IN_FORCE.limit),
    ):
        if (line := estimates.by_settings(stored, measure, changed)) is not None and file_bytes is not None:
            name += STRAINED_SUFFIX * ("settings" in stored.axes and bool(strained_at(stored.axes["settings"])))
            out.append(
                (
                    name,
                    "all settings, in step",
                    estimates.solve("all in step", partial(_of_bytes, line, file_bytes), limit, 1.0),
                )
            )
    if estimates.list_change_ms(stored, PLAN.workers) is not None:
        out.append(
            (
                "p99: a stop at each change of the list",
                "workers",
                estimates.solve(
                    "workers",
                    lambda size: (estimates.list_change_ms(stored, size) - ADDED.limit) * size,
                    (longest_stop_ms(list_every_s()) - ADDED.limit) * PLAN.workers,
                    PLAN.workers,
                ),
            )
        )
    if "services" in stored.axes and "idle_cpu_ms_s" in stored.axes["services"].fits:
        line = stored.axes["services"].fits["idle_cpu_ms_s"]
        out.append(
            (
                "CPU for control: modules at rest",
                "services",
                estimates.solve("services", lambda size: fit.at(line, size), CPU.limit * 1000, PLAN.services),
            )
        )
    if (warming := warming_line(stored)) is not None:
        out.append(
            (
                "CPU for control while a worker warms up",
                "workers",
                estimates.solve("workers", partial(fit.at, warming), CPU.limit, PLAN.workers),
            )
        )
    roster, settings = (_file_bytes(stored, PLAN, name) for name in ("roster", "settings"))
    if roster is not None:
        each = roster / PLAN.workers
        lines = PLAN.worker_changes_a_day / PLAN.workers / DAY_S
        out.append(
            (
                "the list's file is taken",
                "workers",
                estimates.solve("workers", lambda size: each * size, MAX_FILE_BYTES, PLAN.workers),
            )
        )
        out.append(
            (
                "traffic: the list whole at each change",
                "workers",
                estimates.solve("workers", lambda size: each * size * lines * size, TRAFFIC.limit, PLAN.workers),
            )
        )
    if settings is not None:
        out.append(
            (
                "traffic: settings whole at each change",
                "changes a day",
                estimates.solve(
                    "changes a day", lambda size: settings * size / DAY_S, TRAFFIC.limit, PLAN.changes_a_day
                ),
            )
        )
    cost = CHANGE_CPU(stored, PLAN)
    if cost is not None:
        out.append(
            (
                "CPU for control: changes of settings",
                "changes a day",
                estimates.solve(
                    "changes a day", lambda size: cost * size / DAY_S, CPU.limit * 1000, PLAN.changes_a_day
                ),
            )
        )
    return sorted(out, key=lambda each: each[2].plan_fraction)


def _of_bytes(line: Callable[[float], float], file_bytes: float, fraction: float) -> float:
    return line(fraction * file_bytes)


def order_table(stored: Results) -> str:
    """Return the table of budgets that are crossed within `NEAR_PLANS` times the plan."""
    shown = [each for each in crossings(stored) if each[2].plan_fraction <= NEAR_PLANS]
    rows = []
    for name, axis, at in shown:
        size = f"{at.size:.2f} of the plan" if at.axis == "all in step" else short(at.size)
        where = "already" if at.size == 0 else size
        rows.append(
            (name, axis, where, f"**{at.plan_fraction:.2f}**" if at.plan_fraction <= 1 else f"{at.plan_fraction:.2f}")
        )
    return table(("budget", "what grows", "crossed at", "part of the plan"), rows)


def later_table(stored: Results) -> str:
    """Return the table of budgets that are crossed later, with the multiple of the plan."""
    later: dict[str, list[str]] = {}
    for name, axis, at in crossings(stored):
        if at.plan_fraction > NEAR_PLANS:
            times = f"{at.plan_fraction:.1f}" if math.isfinite(at.plan_fraction) else "over a hundred"
            later.setdefault(name, []).append(f"{axis} {times}")
    return table(
        ("budget", "crossed by what grows, at so many plans"),
        [(name, ", ".join(entries)) for name, entries in later.items()],
    )


def off_table(stored: Results) -> str:
    """Return the table of predictions that were off by more than a quarter, with the reason if it is known.

    Measures that the page does not use are only counted.
    """
    used = {measure for _, _, _, (_, measures, _), _ in COSTS for measure in measures}
    used |= {"held_mb", "idle_cpu_ms_s", "request_p99_us", "cpu_ms_s"}
    by_reason: dict[tuple[str, str], list[str]] = {}
    unused = 0
    for name, axis in stored.axes.items():
        strained_axis = bool(strained_at(axis))
        for measure, each in estimates.deviating_fits(axis):
            unused += measure not in used
            if measure in used:
                ratio = f"{each.measured / each.predicted:.2f}" if each.predicted > 0 else "less than nothing predicted"
                why = roles.explanation(name, measure) or (
                    "the machine was strained" if strained_axis else "not explained"
                )
                by_reason.setdefault((name, why), []).append(f"{measure} {ratio}")
    rows = [(name, ", ".join(measures), why) for (name, why), measures in by_reason.items()]
    compared = sum(each.measured is not None for axis in stored.axes.values() for each in axis.fits.values())
    if compared:
        rows.append((f"of {compared} predictions", f"{unused} more, of measures that this page does not use", ""))
    return table(("axis", "measures, with measured by predicted", "why"), rows)


# ---- connections, services, settings -------------------------------------------------------------


def known_table(stored: Results) -> str:
    """Return the table by subset size.

    It has connections by the plan's means, for the pool's idle timeout and a longer one, and the response times of the
    queueing model in service times, by the information about loads.
    """
    measured = {row["known"]: row for row in stored.micro.get("subsets", {}).get("rows", ())}
    rows = []
    for known in subsets.SUBSET_SIZES:
        now, long = (subsets.connections(known, idle) for idle in subsets.IDLE_TIMEOUTS_S)
        row = measured.get(known)
        model = (
            [NO_VALUE] * 5
            if row is None
            else [
                f"{row['reports']['spread']:.3f}",
                *(f"{row[each]['answer']:.2f}" for each in subsets.LOAD_INFORMATION),
                f"{row['zone_lost']:.1%}",
            ]
        )
        rows.append(
            (
                f"{known} (all)" if known == PLAN.service_workers else str(known),
                short(now.met_every_s),
                f"{now.found_open:.1%}, {short(now.handshakes)}",
                f"{short(now.open_here)}, {short(now.open_there)}",
                f"{long.found_open:.0%}, {short(long.handshakes)}",
                f"{short(long.open_here)}, {short(long.open_there)}",
                *model,
            )
        )
    one, two = (f"idle {short(idle)} s: " for idle in subsets.IDLE_TIMEOUTS_S)
    handshakes, opened = "share that finds one open, handshakes/s at a worker", "open at a gatekeeper, at a worker"
    return table(
        (
            "known",
            "met every, s",
            one + handshakes,
            one + opened,
            two + handshakes,
            two + opened,
            "load spread",
            "answer: by chance",
            "two by what answers told",
            "two by true loads",
            "under two left by a zone's loss",
        ),
        rows,
    )


def change_table(stored: Results) -> str:
    """Return the table of the cost of a one-line change with all routes and keys, with its objectives."""
    now, before = stored.change.get("after", {}), stored.change.get("before", {})

    def both(name: str, of: Callable[[dict[str, float]], float], objective: str) -> tuple[str, str, str, str]:
        """Return a row with one figure before and now."""
        cells = []
        for each in (before, now):
            try:
                cells.append(short(of(each)))
            except (KeyError, ZeroDivisionError):
                cells.append(NO_VALUE)
        return name, cells[0], cells[1], objective

    return table(
        ("", f"before ({stored.change.get('before_revision', NO_VALUE)})", "now", "aim, at most"),
        [
            both("CPU of a change: of the process beyond a quiet window, ms", lambda each: each["change_cpu_ms"], ""),
            both("and the work on settings by itself, ms", lambda each: each["work_ms"], "20, 80"),
            both("the longest wait of a check, changing, ms", lambda each: each["changing_wait_max_ms"], ""),
            both("and quiet, ms", lambda each: each["quiet_wait_max_ms"], ""),
            both("the loop at its latest, changing, ms (upper bound of a row)", lambda each: each["loop_ms"], "1, 5"),
            both(
                "p99 of a check, changing by quiet",
                lambda each: each["changing_check_p99_ms"] / each["quiet_check_p99_ms"],
                "1.1",
            ),
            both("from a change to its being in force, s", lambda each: each["in_force_s"], short(IN_FORCE.limit)),
            both(
                "memory after many changes, by before",
                lambda each: each["rss_after_many_mb"] / each["rss_before_many_mb"],
                "1.03",
            ),
            both("changes made for that", lambda each: each["many"], "1,000"),
            both("start, s", lambda each: each["start_s"], "1.5"),
            both("memory after it, MB", lambda each: each["rss_start_mb"], "70"),
        ],
    )


def strategies_table(stored: Results) -> str:
    """Return the table of subsetting strategies with the same subset size."""
    measured = stored.micro.get("subsets")
    rows = [
        (
            row["way"],
            str(row["known"]),
            f"{row['deviation']:.3f}",
            f"{row['most']:.2f}",
            f"{row['moved']:.1%}",
            f"{row['zone_lost']:.1%}",
        )
        for row in (measured["ways"] if measured else ())
    ]
    return table(
        (
            "way",
            "known",
            "deviation of gatekeepers a worker",
            "most over mean",
            "new connections when one worker goes",
            "left with under two by a zone's loss",
        ),
        rows,
    )


def services_table(stored: Results) -> str:
    """Return the table of services in every gateway, and split over groups of gateways."""
    axis, split = stored.axes.get("services"), stored.micro.get("subsets", {}).get("split", [])
    answers = {row["groups"]: row["answer"] for row in split}
    rows = []
    for groups in subsets.GROUPS:
        count = PLAN.services / groups

        def measured(name: str, size: float = count) -> float | None:
            """Return a measure of the row with this number of services."""
            matching = [row for row in (axis.rows if axis else ()) if abs(row.size - size) <= size / 100]
            return matching[0].values.get(name) if matching else None

        connections = subsets.connections(subsets.SPLIT_SUBSET_SIZE, subsets.IDLE_TIMEOUTS_S[1], groups)
        idle = measured("idle_cpu_ms_s")
        rows.append(
            (
                str(groups),
                short(count),
                short(PLAN.gatekeepers / groups),
                cell(measured("held_mb")),
                cell(idle),
                NO_VALUE if idle is None else budget_fraction(idle, CPU.limit * 1000),
                cell(measured("request_p99_us")),
                cell(connections.met_every_s),
                cell(connections.open_here),
                f"{answers[groups]:.2f}" if groups in answers else NO_VALUE,
            )
        )
    return table(
        (
            "groups",
            "services each",
            "gatekeepers of a service",
            "modules hold, MB",
            "CPU at rest, ms/s",
            "part of the budget",
            "a request's turns, p99, us",
            "a worker is met every, s",
            "open at a gatekeeper",
            "answer, in service times",
        ),
        rows,
    )


def distribution_table(stored: Results) -> str:
    """Return the table of methods to distribute a settings change."""
    files = stored.micro.get("files", {}).get("plan", {})
    rows = []
    for each in settings_distribution.methods(files.get("settings"), files.get("one_file")):
        rows.append(
            (
                each.name,
                short(each.sent_bytes),
                short(each.each_bytes_s),
                budget_fraction(each.each_bytes_s, TRAFFIC.limit),
                short(each.lossless_s),
                short(each.lossy_s),
                short(each.machine_down_s),
            )
        )
    return table(
        (
            "way",
            "bytes a change, sent by a machine of control",
            "bytes/s at a gatekeeper",
            "of its budget",
            "to all, s",
            f"with {settings_distribution.LOSS:.0%} lost, s",
            "with one of the machines away, s",
        ),
        rows,
    )


# ---- quotas in partitions, accepted costs, missing results ------------------------------------------------


def partition_bound_table(_: Results) -> str:
    """Return the table of the bound, for a tenant with the mean rate as quota and twice that as burst."""
    rate = PLAN.requests_per_s / PLAN.tenants
    rows = []
    for spread in (SET_SIZE, PLAN.gatekeepers):
        even, worst = partition.steady(spread, rate, 2 * rate), partition.worst_case(spread, rate, 2 * rate)
        rows.append(
            (
                str(spread),
                short(even.at_once),
                short(even.per_s),
                short(even.total(PARTITION_S)),
                f"{even.total(PARTITION_S) / rate / PARTITION_S:.2f}",
                short(worst.total(PARTITION_S)),
                f"{worst.total(PARTITION_S) / rate / PARTITION_S:.2f}",
            )
        )
    return table(
        (
            "gatekeepers of its set",
            "units at once",
            "a second",
            f"in {short(PARTITION_S)} s",
            "of its quota",
            "at worst",
            "of its quota",
        ),
        rows,
    )


def partition_simulation_table(stored: Results) -> str:
    """Return the table of the simulations: three partitioned regions, and one failed gateway."""
    measured = stored.micro.get("apart", {})
    rows = [
        (
            f"regions {short(row['away_ms'])} ms apart, one way; asked {short(row['demand'])} times the quotas",
            f"{row['before']:.2f}",
            f"{row['during']:.2f}",
            f"{row['after']:.2f}",
            f"{short(row['beyond'])} of {short(row['bound'])}",
        )
        for row in measured.get("cuts", ())
    ]
    if (failed_owner := measured.get("without_home")) is not None:
        rows += [
            (
                f"one gatekeeper gone, {known}; asked half of the quotas: of what its tenants ask, of the others'",
                "",
                f"{failed_owner[f'lost_{name}']:.2f}, {failed_owner[f'others_{name}']:.2f}",
                "",
                "",
            )
            for name, known in (("unknown", "not known yet"), ("known", "known"))
        ]
    return table(
        ("", "passed of the quotas, before", "in the trouble", "after it", "units of a tenant beyond, of the bound"),
        rows,
    )


def accepted_table(_: Results) -> str:
    """Return the table of accepted costs."""
    return table(("cost", "where", "grows with", "why it is accepted"), roles.ACCEPTED)


def missing_table(stored: Results) -> str:
    """Return the table of missing, strained and failed results."""
    rows = [
        (f"axis `{name}`", NO_VALUE)
        for name in (*estimates.AXES, *estimates.CHANGES, "services")
        if name not in stored.axes
    ]
    rows += [
        (f"axis `{name}`, the largest size", NO_VALUE)
        for name, axis in stored.axes.items()
        if not any(each.measured is not None for each in axis.fits.values())
    ]
    rows += [
        (f"axis `{name}` at {', '.join(map(short, sizes))}", STRAINED_NOTE)
        for name, axis in stored.axes.items()
        if (sizes := strained_at(axis))
    ]
    rows += [("the run of all axes", STRAINED_NOTE)] * full_run_strained(stored)
    rows += [
        (f"`{name}` of the module alone and the models", NO_VALUE)
        for name in ("subsets", "warming", "apart", "files")
        if name not in stored.micro
    ]
    rows += [("a change of one line with all routes and keys", NO_VALUE)] * ("after" not in stored.change)
    rows += [("the run of all axes at full size", NO_VALUE)] * (not stored.whole.get("values"))
    rows += [
        (f"part `{name}`", f"failed: {part['fault'].splitlines()[0][:120]}")
        for name, part in stored.parts.items()
        if part.get("fault")
    ]
    rows += [(what, why) for what, why in roles.UNMEASURED]
    return table(("what", "how it stands"), rows)


def taken_table(stored: Results) -> str:
    """Return the table of dates and machine, with the load average before and after each part."""
    machine, parts = stored.machine, []
    for name, part in stored.parts.items():
        loads = " to ".join(short(each[0]) for each in part.get("load_beside", []))
        seconds = stored.whole.get("values", {}).get("seconds", FULL_RUN_S) if name == "whole" else FULL_RUN_S
        parts.append(
            f"{name} {part.get('date', '')[:16].replace('T', ' ')}"
            + f" ({loads})" * bool(loads)
            + f", a trial of {short(seconds)} s" * (seconds < FULL_RUN_S)
        )
    rows = (
        []
        if not stored.date
        else [
            (
                stored.date[:16].replace("T", " "),
                stored.revision,
                f"{machine.get('cores')} cores, {machine.get('cpu')}, "
                f"{machine.get('memory_gib')} GiB, CPython {machine.get('python')}",
                "; ".join(parts) or NO_VALUE,
            )
        ]
    )
    return table(("written", "revision", "machine", "parts (load average before and after)"), rows)


TABLES: dict[str, Callable[[Results], str]] = {
    "plan": plan_table,
    "roles": roles_table,
    "costs": costs_table,
    "troubles": faults_table,
    "apart": partition_bound_table,
    "played": partition_simulation_table,
    "order": order_table,
    "later": later_table,
    "off": off_table,
    "known": known_table,
    "ways": strategies_table,
    "services": services_table,
    "change": change_table,
    "carrying": distribution_table,
    "accepted": accepted_table,
    "missing": missing_table,
    "taken": taken_table,
}


# ---- the page ------------------------------------------------------------------------------------


def fill(text: str, stored: Results) -> str:
    """Return the page with all tables rewritten; raises `PageError` if its marks do not match."""
    named = _TABLE.findall(text)
    names = [name for name, _ in named]
    if text.count("<!-- table ") != len(names) or text.count("<!-- end -->") != len(names):
        raise PageError("a table's marks don't pair: <!-- table NAME -->, its lines, <!-- end -->")
    for name in names:
        if name not in TABLES:
            raise PageError(f"table {name}: there is none of that name; there are {', '.join(TABLES)}")
    if missing := [name for name in TABLES if names.count(name) != 1]:
        raise PageError(f"tables {', '.join(missing)}: each is due once")
    return _TABLE.sub(lambda match: f"<!-- table {match[1]} -->\n{TABLES[match[1]](stored)}<!-- end -->\n", text)


def prose(text: str) -> str:
    """Return the text around the tables."""
    return _TABLE.sub("", text)


def figures(text: str) -> set[str]:
    """Return the figures in a text as they are written, without those in code and links."""
    plain = re.sub(r"`[^`]*`|\]\([^)]*\)", " ", text)
    return {each.rstrip(".,") for each in re.findall(r"(?<![\w.-])\d[\d,.]*", plain)}


def prose_figures() -> set[str]:
    """Return the figures that prose may use besides those of the tables: the plan's, and derived ones."""
    return {
        short(each)
        for each in (
            PLAN.gatekeepers,
            PLAN.workers,
            PLAN.services,
            PLAN.routes,
            PLAN.tenants,
            PLAN.requests_per_s,
            PLAN.gateway_requests_per_s,
            PLAN.changes_a_day,
            PLAN.change_every_s,
            PLAN.service_workers,
            PLAN.machines,
            PLAN.workers / PLAN.gateway_requests_per_s,
            PLAN.gatekeepers * PLAN.workers,
            PLAN.gatekeepers / CONTROL_MACHINES,
            PLAN.services / PLAN.gateway_requests_per_s,
            TODAY.gatekeepers,
            MAX_DEVIATION * 100,
            SET_SIZE,
            IN_FORCE.limit,
            settings_distribution.HEARTBEAT_S,
            settings_distribution.CHANGE_BYTES,
            subsets.UTILIZATION,
            subsets.RATE_SPREAD,
            longest_stop_ms(),
        )
    }


def write(path: Path = PAGE, stored: Results | None = None) -> bool:
    """Rewrite the tables of the page; return whether it changed."""
    before = path.read_text()
    after = fill(before, results.load() if stored is None else stored)
    path.write_text(after)
    return after != before
