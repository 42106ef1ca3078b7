"""`anisefront trace info|cut|merge|scale|anonymise|import`: recorded traffic, from files to a file."""

from __future__ import annotations

import json
from typing import Any

import click


@click.group()
def trace() -> None:
    """Look at recorded traffic and make other traffic of it."""


def _load(files: tuple[str, ...]) -> Any:
    from anisefront.testbed.model import traces

    whole = traces.load(files)
    for problem in whole.problems:
        click.echo(problem, err=True)
    return whole


_FILES = click.argument("files", type=click.Path(exists=True, dir_okay=False), nargs=-1, required=True)
_OUT = click.option("-o", "out", required=True, type=click.Path(), help="The file to write.")


def _write(whole: Any, out: str) -> None:
    from anisefront.testbed.model import traces

    with open(out, "wb") as file:
        file.write(traces.written(whole))
    click.echo(f"{out}: {len(whole.arrivals)} arrivals, {len(whole.attempts)} attempts")


@trace.command()
@_FILES
def info(files: tuple[str, ...]) -> None:
    """Say what FILES, one for each gatekeeper, hold together."""
    from anisefront.testbed.model import traces

    click.echo(json.dumps(traces.describe(_load(files)), indent=2))


@trace.command()
@_FILES
@_OUT
def merge(files: tuple[str, ...], out: str) -> None:
    """One trace of several gatekeepers', clocks set by the fleet lists that all saw."""
    _write(_load(files), out)


@trace.command()
@_FILES
@click.option("--from", "begin_s", default=0.0, help="Second to begin at.")
@click.option("--to", "end_s", default=float("inf"), help="Second to end at.")
@_OUT
def cut(files: tuple[str, ...], begin_s: float, end_s: float, out: str) -> None:
    """A part of a trace."""
    from anisefront.testbed.model import traces

    if not 0 <= begin_s < end_s:
        raise click.ClickException(f"--from {begin_s:g} --to {end_s:g}: the end must come after the beginning")
    _write(traces.cut(_load(files), begin_s * 1000, end_s * 1000), out)


@trace.command()
@_FILES
@click.option("--times", required=True, type=click.IntRange(2, 10_000), help="So many times the customers.")
@click.option("--seed", default=1)
@_OUT
def scale(files: tuple[str, ...], times: int, seed: int, out: str) -> None:
    """More customers with the rhythms of the recorded ones."""
    from anisefront.testbed.model import traces

    _write(traces.scale(_load(files), times, seed), out)


@trace.command()
@_FILES
@click.option("--key", required=True, help="Who has it can make the pseudonyms again; another one breaks the link.")
@_OUT
def anonymise(files: tuple[str, ...], key: str, out: str) -> None:
    """Other pseudonyms for customers, and workers by number."""
    from anisefront.testbed.model import traces

    _write(traces.anonymised(_load(files), key.encode()), out)


@trace.command("import")
@click.argument("file", type=click.File("r"))
@click.option("--class-of", "classes", multiple=True, required=True, help="PATH-PREFIX=CLASS, the longest that fits.")
@click.option("--customer", "customer_field", default="x-api-key", help="The logged request header with the key.")
@click.option("--plan", required=True, help="The plan of all these customers.")
@click.option("--deadline", default="15s", help="Of requests whose log has no time-out.")
@click.option("--key", required=True, help="For pseudonyms.")
@_OUT
def import_(
    file: Any, classes: tuple[str, ...], customer_field: str, plan: str, deadline: str, key: str, out: str
) -> None:
    """A trace of a proxy's access log: the published HTTPAccessLogEntry message in its JSON form, a line each."""
    from anisefront.config.lexer import Lexeme, Location
    from anisefront.config.values import TIME
    from anisefront.config.values import InvalidValueError as BadValue
    from anisefront.testbed.model import imported

    try:
        left = TIME.read(Lexeme(deadline, Location(0, 1, 1)))
    except BadValue as problem:
        raise click.ClickException(f"--deadline: {problem.message}") from problem
    rules = dict(rule.rpartition("=")[::2] for rule in classes)
    whole = imported.read(file, rules, customer_field, plan, left, key.encode())
    for problem in whole.problems:
        click.echo(problem, err=True)
    if not whole.arrivals:
        raise click.ClickException("no entry could be taken")
    _write(whole, out)
