"""`anisefront model run|compare|fit|search|report|list`: thin; what they do lives in lab/model."""

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
from anisefront.testbed.model.study import OptionSpec, Runner, Study, Traffic, Unfit, collect, config_of
from anisefront.testbed.model.study import option_of as option_of_spec

BATCH = 8
_KEYS: dict[str, tuple[str, Callable[[str], Any]]] = {
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


class _Faults(click.Group):
    """A fault of a study is one clear line and not a trace."""

    def invoke(self, context: click.Context) -> Any:
        try:
            return super().invoke(context)
        except Unfit as problem:
            raise click.ClickException(str(problem)) from problem


@click.group(cls=_Faults)
def model() -> None:
    """Play traffic through a model of the fleet and compare options.

    An OPTION is a settings file, with what differs behind it: now.conf,workers=86,gatekeepers=460. Known are
    gatekeepers, workers, cores, service (ms), queue, cells, retries, lose (share of messages),
    start (ms of a gatekeeper's process), zones (a+b), module (a folder with another
    version's decision files) and name."""


def option_of(text: str, shared: dict[str, Any]) -> OptionSpec:
    """The option in `FILE[,key=value...]`; raises `Unfit`."""
    path, *pairs = text.split(",")
    try:
        settings = Path(path).read_text()
    except (OSError, UnicodeDecodeError) as problem:
        raise Unfit(f"{path}: {problem}") from problem
    values: dict[str, Any] = {"name": text, **shared}
    for pair in pairs:
        key, equals, value = pair.partition("=")
        if key not in _KEYS or not equals:
            raise Unfit(f"{pair!r} in {text!r}: write key=value, with a key of {', '.join(_KEYS)}")
        name, read = _KEYS[key]
        try:
            values[name] = read(value)
        except ValueError as problem:
            raise Unfit(f"{pair!r} in {text!r}: {problem}") from problem
    if values.get("gatekeepers", 3) < 1 or values.get("workers", 10) < 1 or values.get("cores", 2) < 1:
        raise Unfit(f"{text!r}: at least one gatekeeper, worker and core are due")
    spec = OptionSpec(settings=settings, **values)
    config_of(spec.settings, path)  # what is wrong with it is said before anything is played
    return spec


_SHARED = [
    click.option(
        "--trace",
        "traces",
        multiple=True,
        type=click.Path(exists=True, dir_okay=False),
        help="Recorded traffic, one file for each gatekeeper.",
    ),
    click.option(
        "--day", type=click.Path(exists=True, dir_okay=False), help="Or a day's script, drawn anew by each seed."
    ),
    click.option("--scale", default=1, help="So many times the customers of a trace."),
    click.option("--from", "begin_s", default=0.0, help="Second of the trace to begin at."),
    click.option("--to", "end_s", default=0.0, help="Second to end at."),
    click.option("--trouble", "troubles", multiple=True, help="A line of a script: 'at 30s slow workers 9 for 10s'."),
    click.option(
        "--fit",
        "fitted",
        multiple=True,
        type=click.Path(exists=True, dir_okay=False),
        help="Workers as `fit` found them; several days' fits tell how days differ.",
    ),
    click.option("--store", "store_path", default="anisefront-model.sqlite", help="Keeps the runs."),
    click.option("--processes", default=os.cpu_count() or 1),
]


def _shared(command: Any) -> Any:
    for option in reversed(_SHARED):
        command = option(command)
    return command


def _study(texts: tuple[str, ...], more: dict[str, Any]) -> Study:
    if bool(more["traces"]) == bool(more["day"]):
        raise Unfit("what comes is due: --trace FILE for each gatekeeper, or --day SCRIPT")
    shared: dict[str, Any] = {"troubles": tuple(more["troubles"])}
    if more["fitted"]:
        from anisefront.testbed.model.fit import Fit

        try:
            fits = [Fit.from_json(json.loads(Path(path).read_text())) for path in more["fitted"]]
        except ValueError as problem:
            raise Unfit(f"--fit: {problem}; make it with `anisefront model fit`") from problem
        shared["fit"] = json.dumps(Fit.joined(fits).to_json())
    day = Path(more["day"]).read_text() if more["day"] else ""
    if day:
        shared |= _of_day(day)
    traffic = Traffic(tuple(more["traces"]), more["scale"], day, more["begin_s"], more["end_s"])
    return Study(tuple(option_of(text, shared) for text in texts), traffic)


def _of_day(text: str) -> dict[str, Any]:
    """What a day's script says of the fleet; an option's own values go before it."""
    from anisefront.testbed import script as scripts

    script, problems = scripts.read(text)
    if problems:
        raise Unfit("; ".join(f"the day, line {each.location.line}: {each.message}" for each in problems))
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
    """Runs played and the time that is left, on a terminal; silent elsewhere."""

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

    def one(self) -> None:
        self._bar.advance(self._task)


def _play(
    study: Study, kind: str, seeds: int, more: dict[str, Any], stop: Callable[[list[list[dict]]], int | None]
) -> tuple[str, list[list[dict]]]:
    """Runs in batches until `stop` says how many of the seeds are enough, or all are played."""
    with (
        Store(more["store_path"]) as store,
        Runner(more["processes"]) as runner,
        _Progress(seeds * len(study.options)) as progress,
    ):
        name = store.begin(study, kind)
        known = store.known(name)

        def keep(option: int, seed: int, figures: dict) -> None:
            store.keep(name, option, seed, figures)
            progress.one()

        runs: list[list[dict]] = []
        for last in range(min(BATCH, seeds), seeds + BATCH, BATCH):
            runs = collect(runner, study, list(range(1, min(last, seeds) + 1)), known, keep)
            enough = stop(runs)
            if enough is not None:
                return name, [option[:enough] for option in runs]
        return name, runs


@model.command()
@click.argument("option")
@click.option("--runs", default=1, help="Runs, each of another seed.")
@_shared
def run(option: str, runs: int, **more: Any) -> None:
    """Play traffic under OPTION and print the figures."""
    study = _study((option,), more)
    name, (played,) = _play(study, "run", runs, more, lambda _: None)
    for each in played:
        click.echo(json.dumps(each["measures"] | {"answers": each["answers"], "reasons": each["reasons"]}))
    click.echo(f"study {name}", err=True)


@model.command()
@click.argument("before")
@click.argument("after")
@click.option("--runs", default=40, help="The most pairs of runs.")
@click.option("--narrow", default=0.005, help="Stop when the service's interval is no wider than this to each side.")
@_shared
def compare(before: str, after: str, runs: int, narrow: float, **more: Any) -> None:
    """Play traffic under two OPTIONs, in pairs that meet the same world, and say what differs.

    Exit 1 where AFTER is worse in some measure. Killed and begun again it goes on with the runs that it had."""
    from anisefront.testbed.model import compare as comparing

    if runs < comparing.LEAST_RUNS:
        raise Unfit(f"--runs {runs}: at least {comparing.LEAST_RUNS} pairs are due for an interval")
    study = _study((before, after), more)

    def enough(played: list[list[dict]]) -> int | None:
        first, second = ([each["measures"] for each in option] for option in played)
        return comparing.enough(first, second, narrow)

    name, played = _play(study, "compare", runs, more, enough)
    found = comparing.findings(*([each["measures"] for each in option] for option in played))
    for finding in found:
        click.echo(comparing.words(finding, len(played[0])))
    click.echo(f"study {name}", err=True)
    sys.exit(1 if any(finding.verdict == "worse" for finding in found) else 0)


@model.command()
@click.argument("settings", type=click.Path(exists=True, dir_okay=False))
@click.option("--trace", "traces", multiple=True, required=True, type=click.Path(exists=True, dir_okay=False))
@click.option("--workers", default=0, help="How many there were: the trace is played to fit times of messages.")
@click.option("-o", "out", default="-", type=click.File("w"), help="Where the fit goes.")
def fit(settings: str, traces: tuple[str, ...], workers: int, out: Any) -> None:
    """Fit what workers are like to recorded traffic, under the SETTINGS that it was recorded under."""
    from anisefront.testbed.model import fit as fitting
    from anisefront.testbed.model import traces as recorded

    whole = recorded.load(traces)
    for problem in whole.problems:
        click.echo(problem, err=True)
    try:
        text = Path(settings).read_text()
        found = fitting.fit(whole, config_of(text, settings).settings.warm_up_ms)
        if workers:
            spec = OptionSpec(settings, text, len(traces), workers)
            found = fitting.refined(found, option_of_spec(spec), whole)
    except fitting.TooShort as problem:
        raise Unfit(str(problem)) from problem
    json.dump(found.to_json(), out)
    out.write("\n")
    click.echo(f"{found.attempts} attempts, {found.cold_attempts} of them at cold workers", err=True)
    for name in ("service_ms", "way_ms", "cores", "cold_from"):
        low, high = found.interval(name)
        click.echo(f"{name:11} {getattr(found.best, name):8.3f}   nine in ten: {low:.3f} to {high:.3f}", err=True)


@model.command()
@click.argument("what", type=click.Choice(["weakest-day", "smallest-fleet"]))
@click.argument("option")
@click.option("--measure", default="service", type=click.Choice(["service", "worst_10_s"]))
@click.option("--keep", default=0.9, help="For smallest-fleet: what the measure has to be.")
@click.option("--of", "part", default="workers", type=click.Choice(["workers", "gatekeepers"]))
@click.option("--most", default=0, help="For smallest-fleet: the largest to try; 0: four times the option's.")
@click.option("--kind", "kinds", multiple=True, help="For weakest-day: troubles to draw from; all by default.")
@click.option("--runs", default=60, help="The most runs.")
@_shared
def search(
    what: str,
    option: str,
    measure: str,
    keep: float,
    part: str,
    most: int,
    kinds: tuple[str, ...],
    runs: int,
    **more: Any,
) -> None:
    """Find the trouble and its time that cost OPTION most, or the smallest fleet that keeps a measure."""
    from anisefront.testbed.model import search as searching

    study = _study((option,), more)
    with Store(more["store_path"]) as store, Runner(more["processes"]) as runner, _Progress(runs) as progress:

        def played(studied: Study, seeds: list[int]) -> list[dict[str, float]]:
            name = store.begin(studied, "search")
            known = store.known(name)

            def kept(number: int, seed: int, figures: dict) -> None:
                store.keep(name, number, seed, figures)
                progress.one()

            return [each["measures"] for each in collect(runner, studied, seeds, known, kept)[0]]

        plain = replace(study, series=False)
        if what == "weakest-day":
            found = searching.weakest_day(plain, played, measure, kinds, runs)
        else:
            found = searching.smallest_fleet(plain, played, measure, keep, part, most, runs)
    click.echo(json.dumps(found, indent=2))


@model.command("list")
@click.option("--store", "store_path", default="anisefront-model.sqlite", type=click.Path(exists=True))
def list_(store_path: str) -> None:
    """The studies that were played."""
    import datetime

    with Store(store_path) as store:
        for row in store.listed():
            made = datetime.datetime.fromtimestamp(row["made_s"]).strftime("%Y-%m-%d %H:%M")
            click.echo(f"{row['id']}  {made}  {row['kind']:8} {row['runs']:4} runs  {' | '.join(row['options'])}")


@model.command()
@click.argument("study")
@click.option("--store", "store_path", default="anisefront-model.sqlite", type=click.Path(exists=True))
@click.option("-o", "out", default="report.html", type=click.Path(), help="The page.")
@click.option("--plots", type=click.Path(), help="A folder for the plots as PNG files.")
def report(study: str, store_path: str, out: str, plots: str | None) -> None:
    """Write one self-contained page on STUDY, the beginning of whose name will do."""
    from anisefront.testbed.model import report as reporting

    with Store(store_path) as store:
        try:
            found = store.study(study)
        except KeyError as problem:
            raise Unfit(f"{study!r} names no study, or several: see `anisefront model list`") from problem
        names = [row["id"] for row in store.listed() if row["id"].startswith(study)]
        known = store.known(names[0])
    seeds = [
        seed
        for seed in sorted({seed for _, seed in known})
        if all((number, seed) in known for number in range(len(found.options)))
    ]
    if not seeds or not found.series:
        raise Unfit(f"study {names[0]} has no whole run with series to draw")
    runs = [[known[number, seed] for seed in seeds] for number in range(len(found.options))]
    Path(out).write_text(reporting.page(found, names[0], runs, Path(plots) if plots else None))
    click.echo(f"{out}: {len(seeds)} runs of each option")
