"""`anisefront serve|check|day|state|config`. Each command is thin: what it does lives in the other rooms."""

from __future__ import annotations

import sys

from anisefront.daemon import signals

if sys.argv[1:2] in (["serve"], ["node"]):  # before anything that takes time to load
    signals.capture()

import importlib  # noqa: E402
import json  # noqa: E402
from pathlib import Path  # noqa: E402

import click  # noqa: E402


# Commands with much behind them, each from its own module: a gatekeeper of little memory loads none of the others'.
_ELSEWHERE = {
    "config": ("config", "config"),
    "check": ("config", "check"),
    "load": ("load", "load"),
    "model": ("model", "model"),
    "trace": ("trace", "trace"),
    "node": ("node", "node"),
}


class _Commands(click.Group):
    """The sub-commands, loaded when they are asked for."""

    def list_commands(self, ctx: click.Context) -> list[str]:
        return sorted([*super().list_commands(ctx), *_ELSEWHERE])

    def get_command(self, ctx: click.Context, name: str) -> click.Command | None:
        if name not in _ELSEWHERE:
            return super().get_command(ctx, name)
        module, attribute = _ELSEWHERE[name]
        return getattr(importlib.import_module(f"anisefront.cli.{module}"), attribute)


@click.group(cls=_Commands, context_settings={"help_option_names": ["-h", "--help"]})
@click.version_option(package_name="anisefront")
def main() -> None:
    """A gateway that keeps quotas and priorities across a fleet."""


@main.command()
@click.argument("file", type=click.Path())
@click.option("--log-level", default="info", type=click.Choice(["debug", "info", "warning", "error"]))
def serve(file: str, log_level: str) -> None:
    """Run one gatekeeper by a settings FILE in the foreground.

    SIGHUP reads the file and what it includes again, SIGTERM drains, a second one stops at once."""
    import gc
    import os

    gc.disable()  # until the process's collector takes over: nearly all that is made from here on stays

    from anisefront.gateway.steps import run_to_end
    from anisefront.daemon import process
    from anisefront.daemon.settings_source import SettingsSource

    source, workers = SettingsSource(file, os.environ), None
    read = [run_to_end(source.steps())]  # handed on below: what is named here is held for life
    for text in read[0].texts:
        click.echo(text, err=True)
    if read[0].config is None:
        sys.exit(2)
    if read[0].config.embedded is not None:
        from anisefront.testbed.workers import embedded

        workers = embedded(read[0].config.embedded, read[0].config.settings.zone)
    sys.exit(process.serve(source, read, log_level, workers))


def _ask(address: str, method: str, params: dict, timeout: float) -> dict:
    """One JSON-RPC call and its answer."""
    import socket

    host, _, port = address.rpartition(":")
    if not host or not port.isdigit():
        raise click.ClickException(f"{address!r} is no address: write HOST:PORT")
    call = {"jsonrpc": "2.0", "id": 1, "method": method, "params": params}
    try:
        with socket.create_connection((host, int(port)), timeout) as link:
            link.sendall(json.dumps(call).encode() + b"\n")
            line = link.makefile().readline()
    except OSError as problem:
        raise click.ClickException(f"{address}: {problem}") from problem
    if not line:
        raise click.ClickException(f"{address}: it closed without an answer")
    return json.loads(line)


@main.command()
@click.argument("address")
@click.option("--timeout", default=3.0, help="Seconds to wait for an answer.")
def state(address: str, timeout: float) -> None:
    """Print the state report of the gatekeeper whose JSON-RPC front listens at ADDRESS (HOST:PORT)."""
    click.echo(json.dumps(_ask(address, "state", {}, timeout)["result"], indent=2))


@main.command()
@click.argument("address")
@click.argument("method")
@click.argument("path")
@click.option("--header", "-H", multiple=True, help="name: value")
@click.option("--body", default="")
@click.option("--timeout", default=30.0, help="Seconds to wait for the final answer.")
def call(address: str, method: str, path: str, header: tuple[str, ...], body: str, timeout: float) -> None:
    """Have the gatekeeper at ADDRESS carry out a request: METHOD and PATH. Exit 0 if it was served, else 1."""
    headers = {name.strip().lower(): value.strip() for name, _, value in (each.partition(":") for each in header)}
    answer = _ask(address, "call", {"method": method, "path": path, "headers": headers, "body": body}, timeout)
    click.echo(json.dumps(answer.get("result") or answer["error"], indent=2))
    sys.exit(0 if "result" in answer else 1)


@main.command()
@click.argument("script", type=click.Path(exists=True))
@click.option("--keep", type=click.Path(), help="Folder for the day's records; else they go with the day.")
@click.option("--seed", type=int, help="Another seed than the script's.")
@click.option(
    "--break", "guard", help="Take out one rule's guard (see anisefront/testbed/sabotage.py): it must be caught."
)
@click.option("--record", is_flag=True, help="Gatekeepers record what they see into the folder, for the model.")
def day(script: str, keep: str | None, seed: int | None, guard: str | None, record: bool) -> None:
    """Play a SCRIPT of troubles (or its folder) against gatekeepers, proxies and workers on loopback, and judge it.

    Exit 0 only if no rule broke and the day itself could be played."""
    import tempfile

    from anisefront.testbed.report import judge

    path = Path(script)
    path = path / "day.script" if path.is_dir() else path
    with tempfile.TemporaryDirectory() as made:
        folder = Path(keep or made)
        folder.mkdir(parents=True, exist_ok=True)
        sys.exit(judge(path, folder, seed, guard, record))
