"""Self-contained HTML report on a study: the options side by side with their intervals, and plots over time.

Lines are the mean of the runs, bands their 5th to 95th percentile. The page refers to no external resources.
"""

from __future__ import annotations

import base64
import html
import io
from pathlib import Path
from typing import Any

import numpy as np

from anisefront.testbed.model.compare import MIN_RUNS, Comparison, compare_measures
from anisefront.testbed.model.study import RunFigures, Study

COLOURS = ("#0b6fa4", "#c8550a")  # distinguishable with red-green colour blindness and in greyscale
WINDOW_S = 10
TITLES = {
    "service": "Service: weighted fraction of requests answered within the latency objective",
    "worst_10_s": "Service in the worst ten seconds",
    "p95_wait_ms": "95th percentile of waits for the first attempt, ms",
    "refused": "Fraction of submissions that were refused",
}


def _plot(width: float = 9.0, height: float = 3.0, columns: int = 1) -> tuple[Any, Any]:
    import matplotlib

    matplotlib.use("Agg")
    from matplotlib import pyplot

    figure, axes = pyplot.subplots(
        1, columns, figsize=(width, height), sharey=True, squeeze=False, layout="constrained"
    )
    for axis in axes[0]:
        axis.spines[["top", "right"]].set_visible(False)
        axis.grid(axis="y", color="#dddddd", linewidth=0.6)
        axis.set_axisbelow(True)
    return figure, list(axes[0])


def _encode_png(figure: Any) -> bytes:
    from matplotlib import pyplot

    out = io.BytesIO()
    figure.savefig(out, format="png", dpi=110)
    pyplot.close(figure)
    return out.getvalue()


def _table(rows: list[dict[str, Any]], length: int) -> np.ndarray:
    """Return values by run and second; seconds without a value are 0."""
    table = np.zeros((len(rows), length))
    for number, row in enumerate(rows):
        for second, value in row.items():
            if int(second) < length:
                table[number, int(second)] = value
    return table


def _served_fractions(rows: list[dict[str, Any]], length: int) -> np.ndarray:
    """Return the served fraction over a moving window, by run and second; NaN for windows without requests."""
    served, requested = (_table([{s: v[i] for s, v in row.items()} for row in rows], length) for i in (0, 1))
    window = np.ones(WINDOW_S)
    sums = [np.array([np.convolve(row, window, "full")[:length] for row in table]) for table in (served, requested)]
    with np.errstate(divide="ignore", invalid="ignore"):
        return np.where(sums[1] > 0, sums[0] / sums[1], np.nan)


def _band(axis: Any, table: np.ndarray, colour: str, label: str) -> None:
    seconds = np.arange(table.shape[1])
    defined = np.isfinite(table).any(axis=0)
    table, seconds = table[:, defined], seconds[defined]
    if not table.size:
        return
    axis.plot(seconds, np.nanmean(table, axis=0), color=colour, label=label, linewidth=1.6)
    if len(table) > 1:
        low, high = np.nanquantile(table, [0.05, 0.95], axis=0)
        axis.fill_between(seconds, low, high, color=colour, alpha=0.18, linewidth=0)


def _length(runs: list[list[RunFigures]]) -> int:
    return 1 + max(
        (int(second) for option in runs for each in option for second in each["series"]["service"]), default=0
    )


def plots(names: list[str], runs: list[list[RunFigures]], comparisons: list[Comparison]) -> dict[str, bytes]:
    """Return plots as PNG images by title; `runs` and `names` are by option."""
    length, out = _length(runs), {}
    labelled = list(zip(names, runs, COLOURS, strict=False))

    def bands(title: str, key: str, part: str | None, unit: str) -> None:
        figure, (axis,) = _plot()
        for name, option, colour in labelled:
            rows = [each["series"][key] if part is None else each["series"][key].get(part, {}) for each in option]
            _band(axis, _served_fractions(rows, length) if unit == "fraction" else _table(rows, length), colour, name)
        axis.set(xlabel="seconds", ylabel=unit, xlim=(0, length))
        axis.set_ylim(0, 1.02 if unit == "fraction" else None)
        axis.legend(frameon=False, loc="lower left" if unit == "fraction" else "upper left")
        out[title] = _encode_png(figure)

    bands(f"Service over time, moving window of {WINDOW_S} s", "service", None, "fraction")
    for key, what in (("by_class", "class"), ("by_plan", "plan")):
        parts = sorted({part for option in runs for each in option for part in each["series"][key]})
        figure, axes = _plot(9.0, 2.8, max(1, len(parts)))
        for axis, part in zip(axes, parts, strict=False):
            for name, option, colour in labelled:
                _band(
                    axis,
                    _served_fractions([each["series"][key].get(part, {}) for each in option], length),
                    colour,
                    name,
                )
            axis.set(title=part, xlabel="seconds", ylim=(0, 1.02), xlim=(0, length))
        axes[0].set_ylabel("fraction served in time")
        axes[0].legend(frameon=False, loc="lower left", fontsize="small")
        out[f"Service by {what}"] = _encode_png(figure)
    bands("Longest wait for a first attempt in each second", "waits", None, "milliseconds")
    bands("Attempts in flight", "out", None, "attempts")
    out["Refusals by reason"] = _plot_refusals(labelled, length)
    out["Units dispatched, by plan"] = _plot_units(labelled)
    if comparisons:
        out["Differences and their intervals"] = _forest_plot(comparisons)
    return out


def _plot_refusals(labelled: list[tuple[str, list[RunFigures], str]], length: int) -> bytes:
    reasons = sorted({reason for _, option, _ in labelled for each in option for reason in each["series"]["refused"]})
    figure, axes = _plot(9.0, 2.8, max(1, len(reasons)))
    for axis, reason in zip(axes, reasons, strict=False):
        for name, option, colour in labelled:
            table = _table([each["series"]["refused"].get(reason, {}) for each in option], length)
            smooth = np.array([np.convolve(row, np.ones(WINDOW_S) / WINDOW_S, "full")[:length] for row in table])
            _band(axis, smooth, colour, name)
        axis.set(title=reason, xlabel="seconds", xlim=(0, length))
    axes[0].set_ylabel("refusals per second")
    axes[0].legend(frameon=False, loc="upper left", fontsize="small")
    return _encode_png(figure)


def _plot_units(labelled: list[tuple[str, list[RunFigures], str]]) -> bytes:
    plans = sorted({plan for _, option, _ in labelled for each in option for plan in each["series"]["units"]})
    figure, (axis,) = _plot(9.0, 2.4)
    for number, (name, option, colour) in enumerate(labelled):
        table = np.array([[each["series"]["units"].get(plan, 0.0) for plan in plans] for each in option])
        places = np.arange(len(plans)) + 0.38 * number
        low, high = np.quantile(table, [0.05, 0.95], axis=0)
        means = table.mean(axis=0)
        axis.bar(
            places,
            means,
            0.36,
            color=colour,
            label=name,
            yerr=np.maximum(0, [means - low, high - means]),
            error_kw={"ecolor": "#444444"},
        )
    axis.set_xticks(np.arange(len(plans)) + 0.19 * (len(labelled) - 1), plans)
    axis.set_ylabel("units per run")
    axis.legend(frameon=False)
    return _encode_png(figure)


def _forest_plot(comparisons: list[Comparison]) -> bytes:
    figure, (axis,) = _plot(9.0, 2.2)
    for place, each in enumerate(reversed(comparisons)):
        size = max(abs(each.first), abs(each.second), 1e-9)
        colour = {"better": "#1a7a3c", "worse": "#a31515"}.get(each.verdict, "#666666")
        low, high = each.low / size * 100, each.high / size * 100
        axis.plot([low, high], [place, place], color=colour, linewidth=3, solid_capstyle="butt")
        axis.plot([(each.second - each.first) / size * 100], [place], "o", color=colour)
        axis.text(1.01, place, each.verdict, transform=axis.get_yaxis_transform(), va="center", color=colour)
    axis.axvline(0, color="#222222", linewidth=0.8)
    axis.set_yticks(range(len(comparisons)), [each.measure for each in reversed(comparisons)])
    axis.set_xlabel("difference, percent of the larger mean")
    axis.set_ylim(-0.6, len(comparisons) - 0.4)
    return _encode_png(figure)


def render_page(study: Study, name: str, runs: list[list[RunFigures]], directory: Path | None = None) -> str:
    """Return the HTML of the report; with a directory, also write the plots there as PNG files."""
    options = [option.name for option in study.options]
    measures = [[each["measures"] for each in option] for option in runs]
    comparisons = compare_measures(measures[0], measures[1]) if len(runs) == 2 and len(runs[0]) >= MIN_RUNS else []
    parts = [
        f"<h1>Study {html.escape(name)}</h1>",
        _summary_table(study, len(runs[0])),
        _verdict_table(options, measures, comparisons),
    ]
    for title, picture in plots(options, runs, comparisons).items():
        if directory is not None:
            directory.mkdir(parents=True, exist_ok=True)
            file_name = "".join(c if c.isalnum() else "-" for c in title.lower()).strip("-")
            (directory / f"{file_name}.png").write_bytes(picture)
        data = base64.b64encode(picture).decode()
        shown = html.escape(title)
        parts.append(f'<h2>{shown}</h2><img alt="{shown}" src="data:image/png;base64,{data}">')
    return _PAGE_TEMPLATE.replace("BODY", "\n".join(parts)).replace("TITLE", html.escape(f"Study {name}"))


def _summary_table(study: Study, runs: int) -> str:
    rows = []
    for option in study.options:
        faults = "<br>".join(html.escape(line) for line in option.troubles) or "none"
        rows.append(
            f"<tr><td>{html.escape(option.name)}</td><td>{option.gatekeepers}</td><td>{option.workers}</td>"
            f"<td>{'as fitted' if option.fit else f'{option.service_ms:g} ms, {option.cores} cores'}</td>"
            f"<td>{option.retries}</td><td>{faults}</td></tr>"
        )
    traffic = "a day script" if study.traffic.day else f"{len(study.traffic.traces)} recorded files"
    scale_note = f", {study.traffic.scale} times the customers" if study.traffic.scale > 1 else ""
    return (
        f"<p>{runs} runs of each option on {traffic}{scale_note}. "
        "Runs with the same seed face the same random events.</p>"
        "<table><tr><th>option<th>gatekeepers<th>workers<th>service time<th>client retries<th>additional faults</tr>"
        + "".join(rows)
        + "</table>"
    )


def _verdict_table(options: list[str], measures: list[list[dict[str, float]]], comparisons: list[Comparison]) -> str:
    if not comparisons:
        rows = []
        for name, option in zip(options, measures, strict=True):
            for measure in TITLES:
                values = [each[measure] for each in option]
                low, high = np.quantile(values, [0.05, 0.95])
                rows.append(
                    f"<tr><td>{html.escape(name)}</td><td>{TITLES[measure]}</td><td>{np.mean(values):.4f}</td>"
                    f"<td>{low:.4f} to {high:.4f}</td></tr>"
                )
        return (
            "<table><tr><th>option<th>measure<th>mean<th>5th to 95th percentile of runs</tr>"
            + "".join(rows)
            + "</table>"
        )
    rows = [
        f"<tr><td>{TITLES[each.measure]}</td><td>{each.first:.4f}</td><td>{each.second:.4f}</td>"
        f"<td>{each.low:+.4f} to {each.high:+.4f}</td><td class='{each.verdict.split()[0]}'>{each.verdict}"
        + (
            f"; about {each.runs_needed} runs would be needed"
            if each.verdict.startswith("too") and len(measures[0]) < each.runs_needed < 10**6
            else ""
        )
        + "</td></tr>"
        for each in comparisons
    ]
    first, second = (html.escape(name) for name in options)
    return (
        f"<table><tr><th>measure<th>{first}<th>{second}<th>difference, 90% joint interval<th>verdict</tr>"
        + "".join(rows)
        + "</table>"
    )


_PAGE_TEMPLATE = """<!doctype html>
<html lang="en"><meta charset="utf-8"><title>TITLE</title>
<style>
body { font: 15px/1.45 system-ui, sans-serif; max-width: 62rem; margin: 2rem auto; padding: 0 1rem; color: #222 }
table { border-collapse: collapse; margin: 1rem 0 }
th, td { text-align: left; padding: .3rem .7rem; border-bottom: 1px solid #ddd; vertical-align: top }
h2 { font-size: 1.05rem; margin: 1.8rem 0 .3rem } img { max-width: 100% }
.better { color: #1a7a3c } .worse { color: #a31515 } .too { color: #555 }
</style>
<body>
BODY
</body></html>
"""
