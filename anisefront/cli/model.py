"""`anisefront model run|compare` and `anisefront trace info`."""

from __future__ import annotations

import json
import sys

import click

from anisefront.cli.config import load
from anisefront.config.types import Config


@click.group()
def model() -> None:
    """Play traffic through a model of the fleet and compare options."""


@click.group()
def trace() -> None:
    """Look at recorded traffic."""


@trace.command()
@click.argument("files", type=click.Path(exists=True), nargs=-1, required=True)
def info(files: tuple[str, ...]) -> None:
    """Say what FILES, one for each gatekeeper, hold together."""
    from anisefront.lab.model import traces
    click.echo(json.dumps(traces.describe(traces.load(files)), indent=2))


def _option(config: Config, gateways: int, workers: int) -> object:
    from anisefront.lab.model.world import Option, Workers
    settings = config.settings
    return Option(settings, gateways, min(config.spread, gateways),
                  Workers(count=workers, warm_up_ms=settings.warm_up_ms, cold_from=settings.cold_from))


def _troubles(words: tuple[str, ...]) -> tuple:
    from anisefront.lab.model.world import Trouble
    out = []
    for text in words:
        parts = text.split(":")
        if len(parts) != 4 or parts[0] not in ("slow", "deploy", "freeze"):
            raise click.ClickException(f"{text!r} is no trouble: write KIND:AT_S:FOR_S:SIZE, of slow, deploy, freeze")
        out.append(Trouble(parts[0], float(parts[1]) * 1000, float(parts[2]) * 1000, float(parts[3])))
    return tuple(out)


_SHARED = [click.option("--trace", "files", multiple=True, type=click.Path(exists=True), required=True,
                        help="Recorded traffic, one file for each gatekeeper."),
           click.option("--gatekeepers", default=3), click.option("--workers", default=10),
           click.option("--scale", "times", default=1, help="So many times the customers."),
           click.option("--trouble", "troubles", multiple=True, help="KIND:AT_S:FOR_S:SIZE, of slow, deploy, freeze.")]


def _shared(command: object) -> object:
    for option in reversed(_SHARED):
        command = option(command)
    return command


def _arrivals(files: tuple[str, ...], times: int, seed: int, known: set[str]) -> list:
    from anisefront.lab.model import traces
    whole = traces.load(files)
    for problem in whole.problems:
        click.echo(problem, err=True)
    if times > 1:
        whole = traces.scale(whole, times, seed)
    unknown = {each.class_name for each in whole.arrivals} - known
    if unknown:
        raise click.ClickException(f"the trace has classes that the settings don't: {', '.join(sorted(unknown))}")
    if len(whole.arrivals) < 100:
        raise click.ClickException(f"{len(whole.arrivals)} arrivals: too few to tell anything, 100 are due")
    return whole.arrivals


@model.command()
@click.argument("settings", type=click.Path())
@_shared
@click.option("--seed", default=1)
def run(settings: str, files: tuple[str, ...], gatekeepers: int, workers: int, times: int, troubles: tuple[str, ...],
        seed: int) -> None:
    """Play recorded traffic once under SETTINGS."""
    from anisefront.lab.model.world import World
    config = load(settings)
    arrivals = _arrivals(files, times, seed, {kind.name for kind in config.settings.classes})
    played = World(_option(config, gatekeepers, workers), arrivals, _troubles(troubles), seed).run()
    click.echo(json.dumps(played.measures() | {"answers": played.answers}, indent=2))


@model.command()
@click.argument("before", type=click.Path())
@click.argument("after", type=click.Path())
@_shared
@click.option("--runs", default=40, help="The most pairs of runs.")
def compare(before: str, after: str, files: tuple[str, ...], gatekeepers: int, workers: int, times: int,
            troubles: tuple[str, ...], runs: int) -> None:
    """Play recorded traffic under BEFORE and AFTER, in pairs that meet the same world, and say what differs.

    Exit 0 unless AFTER is worse in some measure."""
    from anisefront.lab.model import compare as comparing
    from anisefront.lab.model.world import World
    options = [_option(load(path), gatekeepers, workers) for path in (before, after)]
    arrivals = _arrivals(files, times, 1, {kind.name for kind in options[0].settings.classes})
    wrong = _troubles(troubles)
    found, used = comparing.compare(
        lambda option, seed: World(options[option], arrivals, wrong, seed).run().measures(), runs)
    for finding in found:
        click.echo(comparing.words(finding, used))
    sys.exit(1 if any(finding.verdict == "worse" for finding in found) else 0)
