"""`anisefront trace info|cut|merge|scale|anonymise|import`: inspects and transforms recorded traffic."""

from __future__ import annotations

import json
from typing import Any

import click


@click.group()
def trace() -> None:
    """Inspect and transform recorded traffic."""


def _load(files: tuple[str, ...]) -> Any:
    from anisefront.testbed.model import traces

    recorded = traces.load(files)
    for problem in recorded.problems:
        click.echo(problem, err=True)
    return recorded


_FILES = click.argument("files", type=click.Path(exists=True, dir_okay=False), nargs=-1, required=True)
_OUT = click.option("-o", "out", required=True, type=click.Path(), help="The file to write.")


def _write(recorded: Any, out: str) -> None:
    from anisefront.testbed.model import traces

    with open(out, "wb") as file:
        file.write(traces.encode_trace(recorded))
    click.echo(f"{out}: {len(recorded.arrivals)} arrivals, {len(recorded.attempts)} attempts")


@trace.command()
@_FILES
def info(files: tuple[str, ...]) -> None:
    """Summarize the traffic in FILES, one for each instance."""
    from anisefront.testbed.model import traces

    click.echo(json.dumps(traces.describe(_load(files)), indent=2))


@trace.command()
@_FILES
@_OUT
def merge(files: tuple[str, ...], out: str) -> None:
    """Merge the traces of several instances; clocks are aligned by the endpoint lists that all received."""
    _write(_load(files), out)


@trace.command()
@_FILES
@click.option("--from", "begin_s", default=0.0, help="Start, in seconds of the trace.")
@click.option("--to", "end_s", default=float("inf"), help="End, in seconds of the trace.")
@_OUT
def cut(files: tuple[str, ...], begin_s: float, end_s: float, out: str) -> None:
    """Cut an interval out of a trace."""
    from anisefront.testbed.model import traces

    if not 0 <= begin_s < end_s:
        raise click.ClickException(f"--from {begin_s:g} --to {end_s:g}: the end must come after the beginning")
    _write(traces.cut(_load(files), begin_s * 1000, end_s * 1000), out)


@trace.command()
@_FILES
@click.option("--times", required=True, type=click.IntRange(2, 10_000), help="Multiple of the customers.")
@click.option("--seed", default=1)
@_OUT
def scale(files: tuple[str, ...], times: int, seed: int, out: str) -> None:
    """Multiply the customers, each with the arrival pattern of a recorded one."""
    from anisefront.testbed.model import traces

    _write(traces.scale(_load(files), times, seed), out)


@trace.command()
@_FILES
@click.option("--key", required=True, help="Key of the pseudonyms; the same key gives the same pseudonyms.")
@_OUT
def anonymise(files: tuple[str, ...], key: str, out: str) -> None:
    """Replace customers by new pseudonyms, and workers by numbers."""
    from anisefront.testbed.model import traces

    _write(traces.anonymise(_load(files), key.encode()), out)


@trace.command("import")
@click.argument("file", type=click.File("r"))
@click.option(
    "--class-of",
    "classes",
    multiple=True,
    required=True,
    help="PATH-PREFIX=CLASS; the longest matching prefix applies.",
)
@click.option(
    "--customer", "customer_field", default="x-api-key", help="The logged request header with the customer's key."
)
@click.option("--plan", required=True, help="The plan of all customers.")
@click.option("--deadline", default="15s", help="Deadline of requests whose log entry has no timeout.")
@click.option("--key", required=True, help="Key of the pseudonyms.")
@_OUT
def import_(
    file: Any, classes: tuple[str, ...], customer_field: str, plan: str, deadline: str, key: str, out: str
) -> None:
    """Import a proxy's access log: HTTPAccessLogEntry messages in JSON form, one per line."""
    from anisefront.config.lexer import Lexeme, Location
    from anisefront.config.values import TIME
    from anisefront.config.values import InvalidValueError
    from anisefront.testbed.model import imported

    try:
        deadline_ms = TIME.read(Lexeme(deadline, Location(0, 1, 1)))
    except InvalidValueError as error:
        raise click.ClickException(f"--deadline: {error.message}") from error
    rules = dict(rule.rpartition("=")[::2] for rule in classes)
    recorded = imported.read(file, rules, customer_field, plan, deadline_ms, key.encode())
    for problem in recorded.problems:
        click.echo(problem, err=True)
    if not recorded.arrivals:
        raise click.ClickException("no entry of the access log could be imported")
    _write(recorded, out)
