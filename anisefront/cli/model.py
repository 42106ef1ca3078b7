"""`anisefront model run|compare|fit|search|report|list`: commands over `anisefront.testbed.model`."""

from __future__ import annotations

import json
import os
import sys
from collections.abc import Callable
from dataclasses import replace
from pathlib import Path
from typing import Any

import click

from anisefront.testbed.model.store import Store
from anisefront.testbed.model.study import OptionSpec, Runner, Study, Traffic, InvalidStudyError, collect, load_config
from anisefront.testbed.model.study import build_option

BATCH = 8  # seeds that are run before the stop condition is checked again
_OPTION_KEYS: dict[str, tuple[str, Callable[[str], Any]]] = {
    "gatekeepers": ("gatekeepers", int),
    "workers": ("workers", int),
    "cores": ("cores", int),
    "service": ("service_ms", float),
    "queue": ("queue", int),
    "cells": ("cells", int),
    "retries": ("retries", int),
    "lose": ("lose", float),
    "start": ("start_ms", float),
    "zones": ("zones", lambda text: tuple(text.split("+"))),
    "module": ("module", str),
    "name": ("name", str),
}


class _StudyGroup(click.Group):
    """A command group that reports an invalid study as one line instead of a traceback."""

    def invoke(self, context: click.Context) -> Any:
        try:
            return super().invoke(context)
        except InvalidStudyError as error:
            raise click.ClickException(str(error)) from error


@click.group(cls=_StudyGroup)
def model() -> None:
    """Simulate traffic with a model of the fleet and compare options.

    An OPTION is a settings file, followed by overrides: now.conf,workers=86,gatekeepers=460. The keys are
    gatekeepers, workers, cores, service (ms), queue, cells, retries, lose (fraction of messages),
    start (ms until an instance has started), zones (a+b), module (a directory with another
    version of the policy) and name."""


def parse_option(text: str, spec_values: dict[str, Any]) -> OptionSpec:
    """Parse an option, `FILE[,key=value...]`; raises `InvalidStudyError`."""
    path, *pairs = text.split(",")
    try:
        settings = Path(path).read_text()
    except (OSError, UnicodeDecodeError) as error:
        raise InvalidStudyError(f"{path}: {error}") from error
    values: dict[str, Any] = {"name": text, **spec_values}
    for pair in pairs:
        key, equals, value = pair.partition("=")
        if key not in _OPTION_KEYS or not equals:
            raise InvalidStudyError(f"{pair!r} in {text!r}: write key=value, with a key of {', '.join(_OPTION_KEYS)}")
        name, parse = _OPTION_KEYS[key]
        try:
            values[name] = parse(value)
        except ValueError as error:
            raise InvalidStudyError(f"{pair!r} in {text!r}: {error}") from error
    if values.get("gatekeepers", 3) < 1 or values.get("workers", 10) < 1 or values.get("cores", 2) < 1:
        raise InvalidStudyError(f"{text!r}: at least one gatekeeper, worker and core are due")
    spec = OptionSpec(settings=settings, **values)
    load_config(spec.settings, path)  # reports errors in the settings before any run
    return spec


_SHARED_OPTIONS = [
    click.option(
        "--trace",
        "traces",
        multiple=True,
        type=click.Path(exists=True, dir_okay=False),
        help="Recorded traffic, one file for each instance.",
    ),
    click.option(
        "--day",
        type=click.Path(exists=True, dir_okay=False),
        help="A day script, in place of a trace; each seed draws other traffic.",
    ),
    click.option("--scale", default=1, help="Multiple of the customers of a trace."),
    click.option("--from", "begin_s", default=0.0, help="Start, in seconds of the trace."),
    click.option("--to", "end_s", default=0.0, help="End, in seconds of the trace; 0 is the end of the trace."),
    click.option(
        "--trouble",
        "troubles",
        multiple=True,
        help="A fault to inject, as in a script: 'at 30s slow workers 9 for 10s'.",
    ),
    click.option(
        "--fit",
        "fitted",
        multiple=True,
        type=click.Path(exists=True, dir_okay=False),
        help="Worker parameters from `fit`; fits of several days show how much days vary.",
    ),
    click.option("--store", "store_path", default="anisefront-model.sqlite", help="Database in which runs are stored."),
    click.option("--processes", default=os.cpu_count() or 1),
]


def _add_shared_options(command: Any) -> Any:
    for option in reversed(_SHARED_OPTIONS):
        command = option(command)
    return command


def _build_study(texts: tuple[str, ...], shared_options: dict[str, Any]) -> Study:
    if bool(shared_options["traces"]) == bool(shared_options["day"]):
        raise InvalidStudyError("what comes is due: --trace FILE for each gatekeeper, or --day SCRIPT")
    spec_values: dict[str, Any] = {"troubles": tuple(shared_options["troubles"])}
    if shared_options["fitted"]:
        from anisefront.testbed.model.fit import Fit

        try:
            fits = [Fit.from_json(json.loads(Path(path).read_text())) for path in shared_options["fitted"]]
        except ValueError as error:
            raise InvalidStudyError(f"--fit: {error}; make it with `anisefront model fit`") from error
        spec_values["fit"] = json.dumps(Fit.merged(fits).to_json())
    day = Path(shared_options["day"]).read_text() if shared_options["day"] else ""
    if day:
        spec_values |= _fleet_of_day(day)
    traffic = Traffic(
        tuple(shared_options["traces"]),
        shared_options["scale"],
        day,
        shared_options["begin_s"],
        shared_options["end_s"],
    )
    return Study(tuple(parse_option(text, spec_values) for text in texts), traffic)


def _fleet_of_day(text: str) -> dict[str, Any]:
    """Return the fleet parameters of a day script; values of the option itself take precedence."""
    from anisefront.testbed import script as scripts

    script, problems = scripts.read(text)
    if problems:
        raise InvalidStudyError(
            "; ".join(f"the day, line {problem.location.line}: {problem.message}" for problem in problems)
        )
    workers = script.workers
    return {
        "gatekeepers": script.gatekeepers,
        "workers": workers.get("count", 4),
        "cores": workers.get("cores", 2),
        "service_ms": workers.get("service", 20.0),
        "queue": workers.get("queue", 32),
        "cells": workers.get("cells", 1),
        "retries": script.retries,
        "zones": ("room-a", "room-b"),
    }


class _Progress:
    """Progress bar with the number of finished runs and the remaining time; only on a terminal."""

    def __init__(self, total: int) -> None:
        from rich.progress import BarColumn, MofNCompleteColumn, Progress, TextColumn, TimeRemainingColumn

        self._bar = Progress(
            TextColumn("{task.description}"),
            BarColumn(),
            MofNCompleteColumn(),
            TimeRemainingColumn(),
            disable=not sys.stderr.isatty(),
            transient=True,
        )
        self._task = self._bar.add_task("runs", total=total)

    def __enter__(self) -> _Progress:
        self._bar.start()
        return self

    def __exit__(self, *_: object) -> None:
        self._bar.stop()

    def advance(self) -> None:
        self._bar.advance(self._task)


def _run_study(
    study: Study, kind: str, seeds: int, shared_options: dict[str, Any], stop: Callable[[list[list[dict]]], int | None]
) -> tuple[str, list[list[dict]]]:
    """Run a study in batches until `stop` returns how many seeds are enough, or all have been run.

    Returns:
        The identifier of the study, and the results of its runs by option.
    """
    with (
        Store(shared_options["store_path"]) as store,
        Runner(shared_options["processes"]) as runner,
        _Progress(seeds * len(study.options)) as progress,
    ):
        name = store.add_study(study, kind)
        known = store.load_runs(name)

        def store_run(option: int, seed: int, figures: dict) -> None:
            store.save_run(name, option, seed, figures)
            progress.advance()

        runs: list[list[dict]] = []
        for last in range(min(BATCH, seeds), seeds + BATCH, BATCH):
            runs = collect(runner, study, list(range(1, min(last, seeds) + 1)), known, store_run)
            enough = stop(runs)
            if enough is not None:
                return name, [option[:enough] for option in runs]
        return name, runs


@model.command()
@click.argument("option")
@click.option("--runs", default=1, help="Number of runs, each with its own seed.")
@_add_shared_options
def run(option: str, runs: int, **shared_options: Any) -> None:
    """Simulate traffic under OPTION and print the measurements."""
    study = _build_study((option,), shared_options)
    name, (results,) = _run_study(study, "run", runs, shared_options, lambda _: None)
    for result in results:
        click.echo(json.dumps(result["measures"] | {"answers": result["answers"], "reasons": result["reasons"]}))
    click.echo(f"study {name}", err=True)


@model.command()
@click.argument("before")
@click.argument("after")
@click.option("--runs", default=40, help="Maximum number of pairs of runs.")
@click.option(
    "--narrow", default=0.005, help="Stop when the half-width of the confidence interval of `service` is at most this."
)
@_add_shared_options
def compare(before: str, after: str, runs: int, narrow: float, **shared_options: Any) -> None:
    """Simulate traffic under two OPTIONs, in pairs with the same random events, and report the differences.

    Exit with 1 if AFTER is worse in some measure. An interrupted comparison continues with the stored runs."""
    from anisefront.testbed.model import compare as comparison

    if runs < comparison.MIN_RUNS:
        raise InvalidStudyError(f"--runs {runs}: at least {comparison.MIN_RUNS} pairs are due for an interval")
    study = _build_study((before, after), shared_options)

    def enough(results: list[list[dict]]) -> int | None:
        first, second = ([run_result["measures"] for run_result in option] for option in results)
        return comparison.runs_for_precision(first, second, narrow)

    name, results = _run_study(study, "compare", runs, shared_options, enough)
    findings = comparison.compare_measures(*([run_result["measures"] for run_result in option] for option in results))
    for finding in findings:
        click.echo(comparison.format_comparison(finding, len(results[0])))
    click.echo(f"study {name}", err=True)
    sys.exit(1 if any(finding.verdict == "worse" for finding in findings) else 0)


@model.command()
@click.argument("settings", type=click.Path(exists=True, dir_okay=False))
@click.option("--trace", "traces", multiple=True, required=True, type=click.Path(exists=True, dir_okay=False))
@click.option(
    "--workers",
    default=0,
    help="Number of workers in the recording; if given, the trace is simulated to fit message delays.",
)
@click.option("-o", "out", default="-", type=click.File("w"), help="The file to write the fit to.")
def fit(settings: str, traces: tuple[str, ...], workers: int, out: Any) -> None:
    """Fit the parameters of workers to traffic that was recorded with SETTINGS."""
    from anisefront.testbed.model import fit as fitting
    from anisefront.testbed.model import traces as recorded

    trace = recorded.load(traces)
    for problem in trace.problems:
        click.echo(problem, err=True)
    try:
        text = Path(settings).read_text()
        worker_fit = fitting.fit(trace, load_config(text, settings).settings.warm_up_ms)
        if workers:
            spec = OptionSpec(settings, text, len(traces), workers)
            worker_fit = fitting.fit_message_delays(worker_fit, build_option(spec), trace)
    except fitting.TraceTooShortError as error:
        raise InvalidStudyError(str(error)) from error
    json.dump(worker_fit.to_json(), out)
    out.write("\n")
    click.echo(f"{worker_fit.attempts} attempts, {worker_fit.cold_attempts} of them at cold workers", err=True)
    for name in ("service_ms", "way_ms", "cores", "cold_from"):
        low, high = worker_fit.interval(name)
        click.echo(
            f"{name:11} {getattr(worker_fit.best, name):8.3f}   90 % interval: {low:.3f} to {high:.3f}", err=True
        )


@model.command()
@click.argument("what", type=click.Choice(["weakest-day", "smallest-fleet"]))
@click.argument("option")
@click.option("--measure", default="service", type=click.Choice(["service", "worst_10_s"]))
@click.option("--keep", default=0.9, help="For smallest-fleet: minimum value of the measure.")
@click.option("--of", "part", default="workers", type=click.Choice(["workers", "gatekeepers"]))
@click.option(
    "--most", default=0, help="For smallest-fleet: the largest size to try; 0 means four times that of the option."
)
@click.option("--kind", "kinds", multiple=True, help="For weakest-day: kinds of faults to inject; all by default.")
@click.option("--runs", default=60, help="Maximum number of runs.")
@_add_shared_options
def search(
    what: str,
    option: str,
    measure: str,
    keep: float,
    part: str,
    most: int,
    kinds: tuple[str, ...],
    runs: int,
    **shared_options: Any,
) -> None:
    """Find the fault and its time that degrade OPTION most, or the smallest fleet that meets a measure."""
    from anisefront.testbed.model import search as model_search

    study = _build_study((option,), shared_options)
    with (
        Store(shared_options["store_path"]) as store,
        Runner(shared_options["processes"]) as runner,
        _Progress(runs) as progress,
    ):

        def run_seeds(studied: Study, seeds: list[int]) -> list[dict[str, float]]:
            name = store.add_study(studied, "search")
            known = store.load_runs(name)

            def store_run(number: int, seed: int, figures: dict) -> None:
                store.save_run(name, number, seed, figures)
                progress.advance()

            return [run_result["measures"] for run_result in collect(runner, studied, seeds, known, store_run)[0]]

        plain = replace(study, series=False)
        if what == "weakest-day":
            result = model_search.weakest_day(plain, run_seeds, measure, kinds, runs)
        else:
            result = model_search.smallest_fleet(plain, run_seeds, measure, keep, part, most, runs)
    click.echo(json.dumps(result, indent=2))


@model.command("list")
@click.option("--store", "store_path", default="anisefront-model.sqlite", type=click.Path(exists=True))
def list_(store_path: str) -> None:
    """List the stored studies."""
    import datetime

    with Store(store_path) as store:
        for row in store.list_studies():
            created = datetime.datetime.fromtimestamp(row["made_s"]).strftime("%Y-%m-%d %H:%M")
            click.echo(f"{row['id']}  {created}  {row['kind']:8} {row['runs']:4} runs  {' | '.join(row['options'])}")


@model.command()
@click.argument("study")
@click.option("--store", "store_path", default="anisefront-model.sqlite", type=click.Path(exists=True))
@click.option("-o", "out", default="report.html", type=click.Path(), help="The file to write.")
@click.option("--plots", type=click.Path(), help="A directory for the plots, as PNG files.")
def report(study: str, store_path: str, out: str, plots: str | None) -> None:
    """Write a self-contained HTML report on STUDY, given by its identifier or an unambiguous prefix."""
    from anisefront.testbed.model import report as model_report

    with Store(store_path) as store:
        try:
            stored_study = store.find_study(study)
        except KeyError as error:
            raise InvalidStudyError(f"{study!r} names no study, or several: see `anisefront model list`") from error
        names = [row["id"] for row in store.list_studies() if row["id"].startswith(study)]
        known = store.load_runs(names[0])
    seeds = [
        seed
        for seed in sorted({seed for _, seed in known})
        if all((number, seed) in known for number in range(len(stored_study.options)))
    ]
    if not seeds or not stored_study.series:
        raise InvalidStudyError(f"study {names[0]} has no complete run with time series to plot")
    runs = [[known[number, seed] for seed in seeds] for number in range(len(stored_study.options))]
    Path(out).write_text(model_report.render_page(stored_study, names[0], runs, Path(plots) if plots else None))
    click.echo(f"{out}: {len(seeds)} runs of each option")
