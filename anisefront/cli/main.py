"""The `anisefront` command. Its sub-commands are thin; other packages implement them."""

from __future__ import annotations

import sys

from anisefront.daemon import signals

if sys.argv[1:2] in (["serve"], ["node"]):  # before slow imports: without a handler, a signal would kill the process
    signals.capture()

import importlib  # noqa: E402
import json  # noqa: E402
from pathlib import Path  # noqa: E402

import click  # noqa: E402


# Sub-commands with many dependencies are imported on demand, so that a gateway instance does not spend memory on them.
_LAZY_COMMANDS = {
    "config": ("config", "config"),
    "check": ("config", "check"),
    "load": ("load", "load"),
    "model": ("model", "model"),
    "trace": ("trace", "trace"),
    "node": ("node", "node"),
}


class _LazyGroup(click.Group):
    """A command group that imports some sub-commands on demand."""

    def list_commands(self, ctx: click.Context) -> list[str]:
        return sorted([*super().list_commands(ctx), *_LAZY_COMMANDS])

    def get_command(self, ctx: click.Context, name: str) -> click.Command | None:
        if name not in _LAZY_COMMANDS:
            return super().get_command(ctx, name)
        module, attribute = _LAZY_COMMANDS[name]
        return getattr(importlib.import_module(f"anisefront.cli.{module}"), attribute)


@click.group(cls=_LazyGroup, context_settings={"help_option_names": ["-h", "--help"]})
@click.version_option(package_name="anisefront")
def main() -> None:
    """An API gateway that enforces quotas and priorities across a fleet."""


@main.command()
@click.argument("file", type=click.Path())
@click.option("--log-level", default="info", type=click.Choice(["debug", "info", "warning", "error"]))
def serve(file: str, log_level: str) -> None:
    """Run one gateway instance with the settings in FILE, in the foreground.

    SIGHUP reloads the settings, SIGTERM drains, a second SIGTERM stops at once."""
    import gc
    import os

    gc.disable()  # until the scheduled collector takes over: nearly all objects created from here on are long-lived

    from anisefront.gateway.steps import run_to_end
    from anisefront.daemon import process
    from anisefront.daemon.settings_source import SettingsSource

    source, workers = SettingsSource(file, os.environ), None
    # A list, which `process.serve` empties: a local variable here would keep the first settings alive for good.
    read = [run_to_end(source.steps())]
    for text in read[0].texts:
        click.echo(text, err=True)
    if read[0].config is None:
        sys.exit(2)
    if read[0].config.embedded is not None:
        from anisefront.testbed.workers import embedded_workers

        workers = embedded_workers(read[0].config.embedded, read[0].config.settings.zone)
    sys.exit(process.serve(source, read, log_level, workers))


def _call_jsonrpc(address: str, method: str, params: dict, timeout: float) -> dict:
    """Send one JSON-RPC call and return the response."""
    import socket

    host, _, port = address.rpartition(":")
    if not host or not port.isdigit():
        raise click.ClickException(f"{address!r} is not an address: write HOST:PORT")
    request = {"jsonrpc": "2.0", "id": 1, "method": method, "params": params}
    try:
        with socket.create_connection((host, int(port)), timeout) as connection:
            connection.sendall(json.dumps(request).encode() + b"\n")
            line = connection.makefile().readline()
    except OSError as error:
        raise click.ClickException(f"{address}: {error}") from error
    if not line:
        raise click.ClickException(f"{address}: the connection was closed without a response")
    return json.loads(line)


@main.command()
@click.argument("address")
@click.option("--timeout", default=3.0, help="Seconds to wait for the response.")
def state(address: str, timeout: float) -> None:
    """Print the state report of the instance whose JSON-RPC frontend listens on ADDRESS (HOST:PORT)."""
    click.echo(json.dumps(_call_jsonrpc(address, "state", {}, timeout)["result"], indent=2))


@main.command()
@click.argument("address")
@click.argument("method")
@click.argument("path")
@click.option("--header", "-H", multiple=True, help="A request header, as name: value.")
@click.option("--body", default="")
@click.option("--timeout", default=30.0, help="Seconds to wait for the final response.")
def call(address: str, method: str, path: str, header: tuple[str, ...], body: str, timeout: float) -> None:
    """Send a request, METHOD and PATH, through the instance at ADDRESS. Exit with 0 if it was served, else 1."""
    headers = {name.strip().lower(): value.strip() for name, _, value in (each.partition(":") for each in header)}
    response = _call_jsonrpc(
        address, "call", {"method": method, "path": path, "headers": headers, "body": body}, timeout
    )
    click.echo(json.dumps(response.get("result") or response["error"], indent=2))
    sys.exit(0 if "result" in response else 1)


@main.command()
@click.argument("script", type=click.Path(exists=True))
@click.option("--keep", type=click.Path(), help="Directory in which records are retained; by default they are deleted.")
@click.option("--seed", type=int, help="Overrides the seed of the script.")
@click.option(
    "--break", "guard", help="Disable one safeguard (see anisefront/testbed/sabotage.py); the audit must detect it."
)
@click.option("--record", is_flag=True, help="Record traffic into the directory, for the model.")
def day(script: str, keep: str | None, seed: int | None, guard: str | None, record: bool) -> None:
    """Run a fault-injection SCRIPT (or its directory) against instances, proxies and workers on loopback, and audit it.

    Exit with 0 only if no rule was violated and the script could be run."""
    import tempfile

    from anisefront.testbed.report import run_and_audit

    path = Path(script)
    path = path / "day.script" if path.is_dir() else path
    with tempfile.TemporaryDirectory() as made:
        folder = Path(keep or made)
        folder.mkdir(parents=True, exist_ok=True)
        sys.exit(run_and_audit(path, folder, seed, guard, record))
