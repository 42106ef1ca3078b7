"""`anisefront load`: recorded or scripted traffic against running gatekeepers, open loop."""

from __future__ import annotations

import json
import multiprocessing
import sys
import time
from pathlib import Path

import click

from anisefront.cli.config import load as load_settings

START_S = 1.0  # until all senders are up


@click.command()
@click.argument("settings", type=click.Path(exists=True, dir_okay=False))
@click.option("--grpc", "grpc_address", help="HOST:PORT of the gatekeeper's gRPC front.")
@click.option("--jsonrpc", "jsonrpc_address", help="HOST:PORT of its JSON-RPC front.")
@click.option(
    "--trace", "traces", multiple=True, type=click.Path(exists=True, dir_okay=False), help="Recorded traffic."
)
@click.option("--day", type=click.Path(exists=True, dir_okay=False), help="Or a day's script.")
@click.option("--scale", default=1, help="So many times the customers of a trace.")
@click.option("--speed", default=1.0, help="So many times as fast.")
@click.option("--seconds", default=0.0, help="Stop after so many seconds of the traffic.")
@click.option("--seed", default=1)
@click.option("--processes", default=1, help="Senders.")
@click.option("--work", "work_ms", default=20.0, help="What an attempt takes that a check allowed, ms.")
@click.option("--closed", default=0, help="Closed loop by so many clients a sender: hides stalls; to compare only.")
@click.option("-o", "out", type=click.Path(), help="Write the figures there as JSON.")
def load(
    settings: str,
    grpc_address: str | None,
    jsonrpc_address: str | None,
    traces: tuple[str, ...],
    day: str | None,
    scale: int,
    speed: float,
    seconds: float,
    seed: int,
    processes: int,
    work_ms: float,
    closed: int,
    out: str | None,
) -> None:
    """Send traffic by SETTINGS (for routes and headers) at its scheduled times, and tell latencies from these.

    Exit 3 where the senders fell behind: the load was not what was asked for."""
    from anisefront.testbed import script as scripts
    from anisefront.testbed.load import plan, sender
    from anisefront.testbed.load.report import QUANTILES, Report
    from anisefront.testbed.model import scripted
    from anisefront.testbed.model import traces as recorded

    addresses = {name: each for name, each in (("grpc", grpc_address), ("jsonrpc", jsonrpc_address)) if each}
    if not addresses or bool(traces) == bool(day) or speed <= 0 or processes < 1:
        raise click.UsageError("give --grpc or --jsonrpc or both, --trace or --day, and a speed and processes above 0")
    config = load_settings(settings)
    if day:
        script, problems = scripts.read(Path(day).read_text())
        if problems:
            raise click.ClickException("; ".join(f"{day}:{each.location.line}: {each.message}" for each in problems))
        arrivals = scripted.arrivals(script, config, seed)
    else:
        whole = recorded.load(traces)
        for problem in whole.problems:
            click.echo(problem, err=True)
        arrivals = (recorded.scale(whole, scale, seed) if scale > 1 else whole).arrivals
    if seconds:
        arrivals = [each for each in arrivals if each.at < seconds * 1000]
    if not arrivals:
        raise click.ClickException("nothing to send")
    try:
        shots = plan.shots(arrivals, config, speed, tuple(addresses))
    except plan.Unfit as problem:
        raise click.ClickException(str(problem)) from problem
    start = time.time() + START_S + 0.3 * processes
    tasks = [
        (plan.part(shots, number, processes), addresses, work_ms / 1000, start, closed) for number in range(processes)
    ]
    with multiprocessing.get_context("spawn").Pool(processes) as pool:
        found = Report(pool.starmap(sender.work, tasks))
    click.echo(found.text())
    click.echo(", ".join(f"{count} {how}" for how, count in sorted(found.counts.items())))
    if out:
        rows = {
            name: {"count": count, **{f"p{q:g}_ms": value for q, value in zip(QUANTILES, values, strict=True)}}
            for name, count, values in found.rows()
        }
        Path(out).write_text(
            json.dumps(
                {
                    "latency": rows,
                    "counts": found.counts,
                    "late_share": found.late_share,
                    "fell_behind": found.fell_behind,
                },
                indent=1,
            )
            + "\n"
        )
    sys.exit(3 if found.fell_behind and not closed else 0)
