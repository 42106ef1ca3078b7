"""The tables of docs/CAPACITY.md, from the plan and the committed results: `python -m benchmarks.scale page`.

A table stands between `<!-- table NAME -->` and `<!-- end -->` and is written whole; what stands around is kept."""

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
    APART_S,
    CONTROL_MACHINES,
    CPU,
    DAY_S,
    IN_FORCE,
    IN_HAND_S,
    MEMORY,
    OFF_BY,
    PLAN,
    RACK_MACHINES,
    SET,
    START_S,
    TODAY,
    TRAFFIC,
    WARM_UP_S,
    Size,
)
from benchmarks.scale.results import Results
from benchmarks.scale.roles import short

PAGE = results.ROOT / "docs/CAPACITY.md"
NOTHING = "not measured"
STRAINED = " (strained)"
STRAINS = "strained: the machine could not carry it, its times say nothing of a gatekeeper"
TIMES = ("added_", "wait_max_ms", "in_force_s", "start_s")
WHOLE_S = 300.0  # the run of all axes; a shorter one is a trial
NEAR = 2.0  # plans: budgets that are crossed later are told more shortly
_TABLE = re.compile(r"<!-- table (\w+) -->\n(.*?)<!-- end -->\n", re.DOTALL)
_MEMBERS = tuple(f"members_{way}_bytes_s" for way in ("in", "out"))
_QUOTAS = tuple(f"quotas_{way}_bytes_s" for way in ("in", "out"))


class PageFault(ValueError):
    """A page that can't be filled; says which table, and what to do."""


# ---- cells ---------------------------------------------------------------------------------------


def cell(value: float | None, unit: str = "") -> str:
    """A figure, or that there is none."""
    if value is None or math.isnan(value):
        return NOTHING
    return short(value) + (f" {unit}" if unit else "")


def table(head: Sequence[str], rows: Iterable[Sequence[str]]) -> str:
    """Lines of a table; one that has no rows says so."""
    body = [f"| {' | '.join(row)} |" for row in rows] or [f"| {' | '.join([NOTHING, *[''] * (len(head) - 1)])} |"]
    return "\n".join([f"| {' | '.join(head)} |", f"| {' | '.join(['---'] * len(head))} |", *body]) + "\n"


# ---- the plan ------------------------------------------------------------------------------------


def plan_table(_: Results) -> str:
    """The sizes, what follows from them, and what may be spent."""

    def both(name: str, of: Callable[[Size], float]) -> tuple[str, str, str]:
        return name, short(of(TODAY)), short(of(PLAN))

    taken = (
        f"a rack of {RACK_MACHINES} machines; regions apart for {short(APART_S)} s; a request in hand for "
        f"{short(IN_HAND_S)} s; a worker warm after {short(WARM_UP_S)} s; a tenant through {SET} gatekeepers"
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
            both("of these at one gatekeeper", lambda size: size.each_requests_per_s),
            both("of these at one worker", lambda size: size.requests_per_s / size.workers),
            both("changes of settings a day", lambda size: size.changes_a_day),
            both("lines of the list that change in a day", lambda size: size.worker_changes_a_day),
            (
                "CPU, memory, traffic of a gatekeeper for control",
                "",
                f"{CPU.most:.1%} of a core, {short(MEMORY.most / 1e6)} MB, {short(TRAFFIC.most / 1000)} kB/s",
            ),
            ("added to 99 requests in 100", "", f"{short(ADDED.most)} ms"),
            (
                "so one stop of the loop at each change of settings, or of the list",
                "",
                f"{short(longest_stop_ms())} ms, or {short(longest_stop_ms(list_every_s()))} ms",
            ),
            (
                "a change in force everywhere; a restarted one ready",
                "",
                f"{short(IN_FORCE.most)} s; {short(START_S.most)} s (the standing test's)",
            ),
            ("machines of control", "", str(CONTROL_MACHINES)),
            ("taken, where the plan is silent", "", taken),
        ],
    )


def list_every_s() -> float:
    """Seconds between two lines of the list that change."""
    return DAY_S / PLAN.worker_changes_a_day


def longest_stop_ms(every_s: float = PLAN.change_every_s) -> float:
    """The stop, coming so often, beyond which one request in a hundred waits longer than may be added."""
    return ADDED.most + 0.01 * every_s * 1000


# ---- roles ---------------------------------------------------------------------------------------


def roles_table(_: Results) -> str:
    return table(
        ("role", "state", "messages", "carried by"),
        [(each.name, each.state, each.messages, each.carried) for each in roles.ROLES],
    )


def troubles_table(found: Results) -> str:
    start = estimates.estimate(found, ["start_s"], PLAN)
    settings = found.micro.get("files", {}).get("plan", {}).get("settings")
    lost = {
        each.name: f"{roles.count(each.gatekeepers)} gatekeepers, {roles.count(each.workers)} workers"
        for each in roles.troubles()
    }
    head = [
        f"{name} ({lost[name]})" if name != roles.TROUBLES[-1] else f"{name}, {short(APART_S)} s"
        for name in roles.TROUBLES
    ]
    return table(
        ("role", *head), [(name, *cells) for name, cells in roles.in_trouble(start.value if start else None, settings)]
    )


Figure = Callable[[Results, Size], float | None]
_BY_SLOPES: set[Figure] = set()  # those that are sums over the axes


def _fits(*measures: str, times: float = 1.0) -> tuple[Figure, tuple[str, ...], float]:
    def at(found: Results, size: Size) -> float | None:
        said = estimates.estimate(found, measures, size)
        return None if said is None else max(0.0, said.value) * times

    _BY_SLOPES.add(at)
    return at, measures, times


def _plain(figure: Figure) -> tuple[Figure, tuple[str, ...], float]:
    return figure, (), 1.0


def _name(size: Size) -> str:
    return "today" if size is TODAY else "plan"


def _file_bytes(found: Results, size: Size, name: str) -> float | None:
    return found.micro.get("files", {}).get(_name(size), {}).get(name)


def list_bytes_s(found: Results, size: Size) -> float | None:
    """The whole list at each change, to one gatekeeper."""
    held = _file_bytes(found, size, "roster")
    return None if held is None else held * size.worker_changes_a_day / DAY_S


def settings_bytes_s(found: Results, size: Size) -> float | None:
    """All settings at each change, to one gatekeeper."""
    held = _file_bytes(found, size, "settings")
    return None if held is None else held * size.changes_a_day / DAY_S


def list_cpu_ms_s(found: Results, size: Size) -> float | None:
    cost = estimates.list_change_ms(found, size.workers)
    return None if cost is None else cost * size.worker_changes_a_day / DAY_S


def warming_cpu_ms_s(found: Results, size: Size) -> float | None:
    """CPU while some worker warms up, over the day: the part of it in which one does (chance, independent starts)."""
    cost = warming_cpu(found, size.workers)
    starts = size.worker_changes_a_day / 2 / DAY_S
    return None if cost is None else cost * 1000 * -math.expm1(-starts * WARM_UP_S)


def bare_p99_ms(found: Results) -> float | None:
    """What a check takes where nothing is decided: the client's and the machine's part."""
    seen = [
        row.values["bare_p99_ms"] for axis in found.axes.values() for row in axis.rows if "bare_p99_ms" in row.values
    ]
    return statistics.median(seen) if seen else None


def warming_line(found: Results) -> results.Fit | None:
    """Share of a core while one worker warms up, by the line through what was measured."""
    rows = found.micro.get("warming", [])
    if len(rows) < 2:
        return None
    return fit.fit([row["workers"] for row in rows], [row["warming_cpu"] for row in rows])


def warming_cpu(found: Results, workers: float) -> float | None:
    line = warming_line(found)
    return None if line is None else max(0.0, fit.at(line, workers))


def of_change(measure: str, changed: str) -> Figure:
    """What a change of settings comes to, by the bytes of all settings at a size."""

    def at(found: Results, size: Size) -> float | None:
        line, held = estimates.by_settings(found, measure, changed), _file_bytes(found, size, "settings")
        return None if line is None or held is None else line(held)

    return at


CHANGE_CPU = of_change("change_cpu_ms", "change_cpu_ms")
CHANGE_WAIT = of_change("wait_max_ms", "changing_wait_max_ms")
CHANGE_IN_FORCE = of_change("in_force_s", "in_force_s")


def settings_cpu_ms_s(found: Results, size: Size) -> float | None:
    cost = CHANGE_CPU(found, size)
    return None if cost is None else cost * size.changes_a_day / DAY_S


def control_cpu_ms_s(found: Results, size: Size) -> float | None:
    """At rest, and for changes of settings and of the list."""
    rest = estimates.estimate(found, ["control_cpu_ms_s"], size)
    parts = [
        None if rest is None else rest.value,
        settings_cpu_ms_s(found, size),
        list_cpu_ms_s(found, size),
        warming_cpu_ms_s(found, size),
    ]
    return None if None in parts else sum(parts)


def traffic_bytes_s(found: Results, size: Size) -> float | None:
    told = estimates.estimate(found, [*_MEMBERS, *_QUOTAS], size)
    parts = [None if told is None else told.value, list_bytes_s(found, size), settings_bytes_s(found, size)]
    return None if None in parts else sum(parts)


def worker_open(_: Results, size: Size) -> float:
    """Connections that a worker sees open where each gatekeeper knows all of its service, idle as the pool allows."""
    each = size.requests_per_s / size.gatekeepers / size.workers
    return size.gatekeepers * -math.expm1(-each * subsets.IDLE_S[0])


def worker_handshakes(_: Results, size: Size) -> float:
    each = size.requests_per_s / size.gatekeepers / size.workers
    return size.requests_per_s / size.workers * math.exp(-each * subsets.IDLE_S[0])


def zone_restart_ms(found: Results, size: Size) -> float | None:
    """CPU at one gatekeeper when a zone's members die and come again at once: measured in a fleet of today's size."""
    axis = found.axes.get("members")
    last = axis.rows[-1].values if axis is not None and axis.rows else {}
    return last.get("zone_change_cpu_ms") if size is TODAY else None


# Role, what, unit, (figure, measures in the whole run, times), budget in that unit.
COSTS: tuple[tuple[str, str, str, tuple[Figure, tuple[str, ...], float], float | None], ...] = (
    ("gatekeeper", "memory", "MB", _fits("rss_mb"), MEMORY.most / 1e6),
    ("", "CPU for control at rest: members, and as home", "ms/s", _fits("control_cpu_ms_s"), CPU.most * 1000),
    ("", "and for all changes", "ms/s", _plain(control_cpu_ms_s), CPU.most * 1000),
    ("", "once, when a zone restarts at once", "ms", _plain(zone_restart_ms), None),
    ("", "datagrams of members and quotas", "bytes/s", _fits(*_MEMBERS, *_QUOTAS), TRAFFIC.most),
    ("", "and list and settings whole at each change", "bytes/s", _plain(traffic_bytes_s), TRAFFIC.most),
    ("", "CPU of a request", "us", _fits("request_cpu_us"), None),
    ("", "added to a request, p50", "ms", _fits("added_p50_ms"), None),
    ("", "added, p99", "ms", _fits("added_p99_ms"), ADDED.most),
    ("", "added, p99.9", "ms", _fits("added_p999_ms"), None),
    (
        "",
        "a bare server's check by such a client beside it, p99, the middle of all rows",
        "ms",
        _plain(lambda found, _: bare_p99_ms(found)),
        None,
    ),
    ("", "start", "s", _fits("start_s"), START_S.most),
    ("home of quotas", "messages, in and out", "a second", _fits("quotas_in_msgs_s", "quotas_out_msgs_s"), None),
    ("", "bytes, in and out", "bytes/s", _fits(*_QUOTAS), TRAFFIC.most),
    ("", "stores and accounts", "kB", _fits("held_stores_kb", "held_accounts_kb"), None),
    ("keeper", "messages, in and out (off in the scale run)", "a second", _plain(lambda found, size: None), None),
    (
        "who tells the list",
        "the list, as a file",
        "bytes",
        _plain(lambda found, size: _file_bytes(found, size, "roster")),
        float(MAX_FILE_BYTES),
    ),
    ("", "whole at each change, to one", "bytes/s", _plain(list_bytes_s), TRAFFIC.most),
    (
        "",
        "one change at a gatekeeper: CPU, and a stop",
        "ms",
        _plain(lambda found, size: estimates.list_change_ms(found, size.workers)),
        longest_stop_ms(list_every_s()),
    ),
    (
        "",
        "CPU while a worker warms up",
        "ms/s",
        _plain(lambda found, size: _thousand(warming_cpu(found, size.workers))),
        CPU.most * 1000,
    ),
    ("", "the same over the day", "ms/s", _plain(warming_cpu_ms_s), CPU.most * 1000),
    (
        "who tells settings",
        "all settings, as files",
        "bytes",
        _plain(lambda found, size: _file_bytes(found, size, "settings")),
        None,
    ),
    ("", "whole at each change, to one", "bytes/s", _plain(settings_bytes_s), TRAFFIC.most),
    ("", "CPU of one change at a gatekeeper", "ms", (CHANGE_CPU, ("change_cpu_ms",), 1.0), None),
    ("", "the longest wait while settings change", "ms", (CHANGE_WAIT, ("wait_max_ms",), 1.0), longest_stop_ms()),
    ("", "from a change to its being in force", "s", (CHANGE_IN_FORCE, ("in_force_s",), 1.0), IN_FORCE.most),
    (
        "the machines of control",
        "whole settings to their gatekeepers, each",
        "MB/s",
        _plain(lambda found, size: _mega(settings_bytes_s(found, size), size)),
        None,
    ),
    ("worker", "connections open, all of a service known", "", _plain(worker_open), None),
    ("", "handshakes", "a second", _plain(worker_handshakes), None),
    (
        "client side",
        "requests in hand at its gatekeeper",
        "",
        _plain(lambda found, size: size.each_requests_per_s * IN_HAND_S),
        None,
    ),
)


def _thousand(value: float | None) -> float | None:
    return None if value is None else value * 1000


def _mega(value: float | None, size: Size) -> float | None:
    return None if value is None else value * size.gatekeepers / CONTROL_MACHINES / 1e6


def beside(predicted: float | None, measured: float | None) -> str:
    """What the run of all axes gave, and whether the sum of the slopes was further out than it may be."""
    if measured is None:
        return NOTHING
    if predicted is None or not estimates.off(predicted, measured):
        return short(measured)
    return f"{short(measured)}, **off by more than a quarter**"


def whole(found: Results, measures: tuple[str, ...]) -> float | None:
    """What the run of all axes says; a change's CPU is told there by difference."""
    if measures == ("change_cpu_ms",):
        return estimates.whole_settings_change_ms(found)
    return estimates.whole(found, measures) if measures else None


def strained_at(axis: results.Axis) -> list[float]:
    """The sizes at which the machine could not carry the load."""
    return sorted({*axis.strained, *(row.size for row in axis.rows if results.strained(row.values))})


def whole_strained(found: Results) -> bool:
    return bool(found.whole.get("strained")) or results.strained(found.whole.get("values", {}))


def strained(found: Results, measures: Sequence[str]) -> tuple[bool, bool]:
    """Whether these are times that were taken where the machine could not carry the load: along the axes, and in the
    run of all axes."""
    times = any(measure.startswith(TIMES) for measure in measures)
    axes = [axis for axis in found.axes.values() if all(measure in axis.fits for measure in measures)]
    return times and any(map(strained_at, axes)), times and whole_strained(found)


def costs_table(found: Results) -> str:
    """Each role's costs at both sizes, and the whole run beside."""
    rows = []
    for role, what, unit, (figure, measures, times), budget in COSTS:
        today, plan = figure(found, TODAY), figure(found, PLAN)
        said = estimates.estimate(found, measures, PLAN) if figure in _BY_SLOPES else None
        seen = whole(found, measures)
        doubt = f" ± {short(said.error * times)}" if said is not None and said.error else ""
        axes, all_axes = strained(found, measures)
        rows.append(
            (
                role,
                what + (f", {unit}" if unit else ""),
                cell(today),
                cell(plan) + doubt + STRAINED * axes,
                beside(plan, None if seen is None else seen * times) + STRAINED * all_axes if measures else "",
                "" if budget is None else short(budget),
                "" if budget is None else over(plan if seen is None else seen * times, budget),
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


def over(value: float | None, budget: float) -> str:
    """A part of a budget; one that is passed stands out."""
    if value is None:
        return NOTHING
    return f"**{value / budget:.2f}**" if value > budget else f"{value / budget:.2f}"


# ---- the order of work ---------------------------------------------------------------------------


def crossings(found: Results) -> list[tuple[str, str, Crossing]]:
    """Budget, what grows, where it is crossed; the least part of the plan first."""
    out: list[tuple[str, str, Crossing]] = []
    for name, measures, most in (
        ("CPU for control, at rest", ["control_cpu_ms_s"], CPU.most * 1000),
        ("memory", ["rss_mb"], MEMORY.most / 1e6),
        ("datagrams of control", [*_MEMBERS, *_QUOTAS], TRAFFIC.most),
        ("added p99", ["added_p99_ms"], ADDED.most),
        ("ready after a start", ["start_s"], START_S.most),
    ):
        name += STRAINED * strained(found, measures)[0]
        base = estimates.value_at_base(found, measures)
        if base is not None and base > most:
            out.append((name, "nothing: the base is over it", Crossing("", 0.0, 0.0)))
            continue
        for axis in estimates.AXES:
            if (found_at := estimates.crossing(found, axis, measures, most)) is not None:
                out.append((name, axis, found_at))
        if (all_at := estimates.together(found, measures, most)) is not None:
            out.append((name, "all in step", all_at))
    held = _file_bytes(found, PLAN, "settings")
    for name, measure, changed, most in (
        ("p99: a stop at each change of settings", "wait_max_ms", "changing_wait_max_ms", longest_stop_ms()),
        ("a change in force everywhere", "in_force_s", "in_force_s", IN_FORCE.most),
    ):
        if (line := estimates.by_settings(found, measure, changed)) is not None and held is not None:
            name += STRAINED * ("settings" in found.axes and bool(strained_at(found.axes["settings"])))
            out.append(
                (
                    name,
                    "all settings, in step",
                    estimates.solve("all in step", partial(_of_bytes, line, held), most, 1.0),
                )
            )
    if estimates.list_change_ms(found, PLAN.workers) is not None:
        out.append(
            (
                "p99: a stop at each change of the list",
                "workers",
                estimates.solve(
                    "workers",
                    lambda size: (estimates.list_change_ms(found, size) - ADDED.most) * size,
                    (longest_stop_ms(list_every_s()) - ADDED.most) * PLAN.workers,
                    PLAN.workers,
                ),
            )
        )
    if "services" in found.axes and "idle_cpu_ms_s" in found.axes["services"].fits:
        line = found.axes["services"].fits["idle_cpu_ms_s"]
        out.append(
            (
                "CPU for control: modules at rest",
                "services",
                estimates.solve("services", lambda size: fit.at(line, size), CPU.most * 1000, PLAN.services),
            )
        )
    if (warming := warming_line(found)) is not None:
        out.append(
            (
                "CPU for control while a worker warms up",
                "workers",
                estimates.solve("workers", partial(fit.at, warming), CPU.most, PLAN.workers),
            )
        )
    roster, settings = (_file_bytes(found, PLAN, name) for name in ("roster", "settings"))
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
                estimates.solve("workers", lambda size: each * size * lines * size, TRAFFIC.most, PLAN.workers),
            )
        )
    if settings is not None:
        out.append(
            (
                "traffic: settings whole at each change",
                "changes a day",
                estimates.solve(
                    "changes a day", lambda size: settings * size / DAY_S, TRAFFIC.most, PLAN.changes_a_day
                ),
            )
        )
    cost = CHANGE_CPU(found, PLAN)
    if cost is not None:
        out.append(
            (
                "CPU for control: changes of settings",
                "changes a day",
                estimates.solve("changes a day", lambda size: cost * size / DAY_S, CPU.most * 1000, PLAN.changes_a_day),
            )
        )
    return sorted(out, key=lambda each: each[2].part)


def _of_bytes(line: Callable[[float], float], held: float, part: float) -> float:
    return line(part * held)


def order_table(found: Results) -> str:
    """Up to so many times the plan."""
    near = [each for each in crossings(found) if each[2].part <= NEAR]
    rows = []
    for name, axis, at in near:
        size = f"{at.size:.2f} of the plan" if at.axis == "all in step" else short(at.size)
        where = "already" if at.size == 0 else size
        rows.append((name, axis, where, f"**{at.part:.2f}**" if at.part <= 1 else f"{at.part:.2f}"))
    return table(("budget", "what grows", "crossed at", "part of the plan"), rows)


def later_table(found: Results) -> str:
    """What holds for longer, and for how long."""
    later: dict[str, list[str]] = {}
    for name, axis, at in crossings(found):
        if at.part > NEAR:
            times = f"{at.part:.1f}" if math.isfinite(at.part) else "over a hundred"
            later.setdefault(name, []).append(f"{axis} {times}")
    return table(
        ("budget", "crossed by what grows, at so many plans"), [(name, ", ".join(said)) for name, said in later.items()]
    )


def off_table(found: Results) -> str:
    """Predictions that were out by more than a quarter, measured by predicted, with why, where that is known; of
    measures that the page does not use their number."""
    used = {measure for _, _, _, (_, measures, _), _ in COSTS for measure in measures}
    used |= {"held_mb", "idle_cpu_ms_s", "request_p99_us", "cpu_ms_s"}
    said: dict[tuple[str, str], list[str]] = {}
    rest = 0
    for name, axis in found.axes.items():
        late = bool(strained_at(axis))
        for measure, each in estimates.first_off(axis):
            rest += measure not in used
            if measure in used:
                ratio = f"{each.measured / each.predicted:.2f}" if each.predicted > 0 else "less than nothing predicted"
                why = roles.explained(name, measure) or ("the machine was strained" if late else "not explained")
                said.setdefault((name, why), []).append(f"{measure} {ratio}")
    rows = [(name, ", ".join(measures), why) for (name, why), measures in said.items()]
    made = sum(each.measured is not None for axis in found.axes.values() for each in axis.fits.values())
    if made:
        rows.append((f"of {made} predictions", f"{rest} more, of measures that this page does not use", ""))
    return table(("axis", "measures, with measured by predicted", "why"), rows)


# ---- connections, services, settings -------------------------------------------------------------


def known_table(found: Results) -> str:
    """By the number of workers known: connections by the plan's means, for the pool's idle time and a longer one, and
    the queue model's answer times, in service times, by what is known of loads."""
    measured = {row["known"]: row for row in found.micro.get("subsets", {}).get("rows", ())}
    rows = []
    for known in subsets.KNOWN:
        now, long = (subsets.connections(known, idle) for idle in subsets.IDLE_S)
        row = measured.get(known)
        model = (
            [NOTHING] * 5
            if row is None
            else [
                f"{row['reports']['spread']:.3f}",
                *(f"{row[each]['answer']:.2f}" for each in subsets.KNOWLEDGE),
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
    one, two = (f"idle {short(idle)} s: " for idle in subsets.IDLE_S)
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


def change_table(found: Results) -> str:
    """What one line more costs a gatekeeper with all routes and keys, and what is wanted."""
    now, before = found.change.get("after", {}), found.change.get("before", {})

    def both(name: str, of: Callable[[dict[str, float]], float], wanted: str) -> tuple[str, str, str, str]:
        said = []
        for each in (before, now):
            try:
                said.append(short(of(each)))
            except (KeyError, ZeroDivisionError):
                said.append(NOTHING)
        return name, said[0], said[1], wanted

    return table(
        ("", f"before ({found.change.get('before_revision', NOTHING)})", "now", "aim, at most"),
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
            both("from a change to its being in force, s", lambda each: each["in_force_s"], short(IN_FORCE.most)),
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


def ways_table(found: Results) -> str:
    """Ways to choose the same number."""
    measured = found.micro.get("subsets")
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


def services_table(found: Results) -> str:
    """All services in each gatekeeper, and split over groups of gatekeepers."""
    axis, split = found.axes.get("services"), found.micro.get("subsets", {}).get("split", [])
    answers = {row["groups"]: row["answer"] for row in split}
    rows = []
    for groups in subsets.GROUPS:
        count = PLAN.services / groups

        def said(name: str, size: float = count) -> float | None:
            near = [row for row in (axis.rows if axis else ()) if abs(row.size - size) <= size / 100]
            return near[0].values.get(name) if near else None

        link = subsets.connections(subsets.SPLIT_KNOWN, subsets.IDLE_S[1], groups)
        idle = said("idle_cpu_ms_s")
        rows.append(
            (
                str(groups),
                short(count),
                short(PLAN.gatekeepers / groups),
                cell(said("held_mb")),
                cell(idle),
                NOTHING if idle is None else over(idle, CPU.most * 1000),
                cell(said("request_p99_us")),
                cell(link.met_every_s),
                cell(link.open_here),
                f"{answers[groups]:.2f}" if groups in answers else NOTHING,
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


def carrying_table(found: Results) -> str:
    """What would carry a change of settings."""
    files = found.micro.get("files", {}).get("plan", {})
    rows = []
    for each in settings_distribution.methods(files.get("settings"), files.get("one_file")):
        rows.append(
            (
                each.name,
                short(each.sent_bytes),
                short(each.each_bytes_s),
                over(each.each_bytes_s, TRAFFIC.most),
                short(each.calm_s),
                short(each.lossy_s),
                short(each.dead_s),
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


# ---- quotas apart, accepted costs, what is missing ------------------------------------------------


def apart_table(_: Results) -> str:
    """Of one tenant with the mean of the traffic as its quota, and twice that as burst."""
    rate = PLAN.requests_per_s / PLAN.tenants
    rows = []
    for spread in (SET, PLAN.gatekeepers):
        calm, worst = partition.steady(spread, rate, 2 * rate), partition.worst_case(spread, rate, 2 * rate)
        rows.append(
            (
                str(spread),
                short(calm.at_once),
                short(calm.each_s),
                short(calm.total(APART_S)),
                f"{calm.total(APART_S) / rate / APART_S:.2f}",
                short(worst.total(APART_S)),
                f"{worst.total(APART_S) / rate / APART_S:.2f}",
            )
        )
    return table(
        (
            "gatekeepers of its set",
            "units at once",
            "a second",
            f"in {short(APART_S)} s",
            "of its quota",
            "at worst",
            "of its quota",
        ),
        rows,
    )


def played_table(found: Results) -> str:
    """The module itself in simulated time: three regions, and one gatekeeper that is away."""
    measured = found.micro.get("apart", {})
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
    if (home := measured.get("without_home")) is not None:
        rows += [
            (
                f"one gatekeeper gone, {known}; asked half of the quotas: of what its tenants ask, of the others'",
                "",
                f"{home[f'lost_{name}']:.2f}, {home[f'others_{name}']:.2f}",
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
    return table(("cost", "where", "grows with", "why it is accepted"), roles.ACCEPTED)


def missing_table(found: Results) -> str:
    """What is not there, by axis and by part."""
    rows = [
        (f"axis `{name}`", NOTHING)
        for name in (*estimates.AXES, *estimates.CHANGES, "services")
        if name not in found.axes
    ]
    rows += [
        (f"axis `{name}`, the largest size", NOTHING)
        for name, axis in found.axes.items()
        if not any(each.measured is not None for each in axis.fits.values())
    ]
    rows += [
        (f"axis `{name}` at {', '.join(map(short, sizes))}", STRAINS)
        for name, axis in found.axes.items()
        if (sizes := strained_at(axis))
    ]
    rows += [("the run of all axes", STRAINS)] * whole_strained(found)
    rows += [
        (f"`{name}` of the module alone and the models", NOTHING)
        for name in ("subsets", "warming", "apart", "files")
        if name not in found.micro
    ]
    rows += [("a change of one line with all routes and keys", NOTHING)] * ("after" not in found.change)
    rows += [("the run of all axes at full size", NOTHING)] * (not found.whole.get("values"))
    rows += [
        (f"part `{name}`", f"failed: {part['fault'].splitlines()[0][:120]}")
        for name, part in found.parts.items()
        if part.get("fault")
    ]
    rows += [(what, why) for what, why in roles.NOT_MEASURED]
    return table(("what", "how it stands"), rows)


def taken_table(found: Results) -> str:
    """When and where the results were taken, with the load of the machine before and after each part."""
    machine, parts = found.machine, []
    for name, part in found.parts.items():
        loads = " to ".join(short(each[0]) for each in part.get("load_beside", []))
        seconds = found.whole.get("values", {}).get("seconds", WHOLE_S) if name == "whole" else WHOLE_S
        parts.append(
            f"{name} {part.get('date', '')[:16].replace('T', ' ')}"
            + f" ({loads})" * bool(loads)
            + f", a trial of {short(seconds)} s" * (seconds < WHOLE_S)
        )
    rows = (
        []
        if not found.date
        else [
            (
                found.date[:16].replace("T", " "),
                found.revision,
                f"{machine.get('cores')} cores, {machine.get('cpu')}, "
                f"{machine.get('memory_gib')} GiB, CPython {machine.get('python')}",
                "; ".join(parts) or NOTHING,
            )
        ]
    )
    return table(("written", "revision", "machine", "parts (load average before and after)"), rows)


TABLES: dict[str, Callable[[Results], str]] = {
    "plan": plan_table,
    "roles": roles_table,
    "costs": costs_table,
    "troubles": troubles_table,
    "apart": apart_table,
    "played": played_table,
    "order": order_table,
    "later": later_table,
    "off": off_table,
    "known": known_table,
    "ways": ways_table,
    "services": services_table,
    "change": change_table,
    "carrying": carrying_table,
    "accepted": accepted_table,
    "missing": missing_table,
    "taken": taken_table,
}


# ---- the page ------------------------------------------------------------------------------------


def fill(text: str, found: Results) -> str:
    """The page with all its tables made anew. `PageFault` where its marks don't fit."""
    named = _TABLE.findall(text)
    names = [name for name, _ in named]
    if text.count("<!-- table ") != len(names) or text.count("<!-- end -->") != len(names):
        raise PageFault("a table's marks don't pair: <!-- table NAME -->, its lines, <!-- end -->")
    for name in names:
        if name not in TABLES:
            raise PageFault(f"table {name}: there is none of that name; there are {', '.join(TABLES)}")
    if missing := [name for name in TABLES if names.count(name) != 1]:
        raise PageFault(f"tables {', '.join(missing)}: each is due once")
    return _TABLE.sub(lambda match: f"<!-- table {match[1]} -->\n{TABLES[match[1]](found)}<!-- end -->\n", text)


def prose(text: str) -> str:
    """What stands around the tables."""
    return _TABLE.sub("", text)


def figures(text: str) -> set[str]:
    """The figures in a text, as they are written; names of files and the like are no figures."""
    plain = re.sub(r"`[^`]*`|\]\([^)]*\)", " ", text)
    return {each.rstrip(".,") for each in re.findall(r"(?<![\w.-])\d[\d,.]*", plain)}


def prose_figures() -> set[str]:
    """What the prose may name besides figures of the tables: the plan's, and arithmetic from it."""
    return {
        short(each)
        for each in (
            PLAN.gatekeepers,
            PLAN.workers,
            PLAN.services,
            PLAN.routes,
            PLAN.tenants,
            PLAN.requests_per_s,
            PLAN.each_requests_per_s,
            PLAN.changes_a_day,
            PLAN.change_every_s,
            PLAN.service_workers,
            PLAN.machines,
            PLAN.workers / PLAN.each_requests_per_s,
            PLAN.gatekeepers * PLAN.workers,
            PLAN.gatekeepers / CONTROL_MACHINES,
            PLAN.services / PLAN.each_requests_per_s,
            TODAY.gatekeepers,
            OFF_BY * 100,
            SET,
            IN_FORCE.most,
            settings_distribution.HEARTBEAT_S,
            settings_distribution.CHANGE_BYTES,
            subsets.BUSY,
            subsets.RATE_SPREAD,
            longest_stop_ms(),
        )
    }


def write(path: Path = PAGE, found: Results | None = None) -> bool:
    """Fill the page anew; whether it changed."""
    before = path.read_text()
    after = fill(before, results.load() if found is None else found)
    path.write_text(after)
    return after != before
