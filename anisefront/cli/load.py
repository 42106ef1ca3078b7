"""`anisefront load`: an open-loop load generator that sends recorded or scripted traffic to running instances."""

from __future__ import annotations

import json
import multiprocessing
import sys
import time
from pathlib import Path

import click

from anisefront.cli.config import load as load_settings

START_S = 1.0  # base time for starting the senders, to which each process adds


@click.command()
@click.argument("settings", type=click.Path(exists=True, dir_okay=False))
@click.option("--grpc", "grpc_address", help="HOST:PORT of the gRPC frontend.")
@click.option("--jsonrpc", "jsonrpc_address", help="HOST:PORT of the JSON-RPC frontend.")
@click.option(
    "--trace", "traces", multiple=True, type=click.Path(exists=True, dir_okay=False), help="Recorded traffic."
)
@click.option("--day", type=click.Path(exists=True, dir_okay=False), help="A day script, in place of a trace.")
@click.option("--scale", default=1, help="Multiple of the customers of a trace.")
@click.option("--speed", default=1.0, help="Multiple of the recorded speed.")
@click.option("--seconds", default=0.0, help="Stop after this many seconds of the traffic; 0 sends all of it.")
@click.option("--seed", default=1)
@click.option("--processes", default=1, help="Number of sender processes.")
@click.option("--work", "work_ms", default=20.0, help="Simulated duration of an attempt that a check allowed, in ms.")
@click.option(
    "--closed", default=0, help="Closed loop with this many clients per sender; hides stalls, for comparison only."
)
@click.option("-o", "out", type=click.Path(), help="Write the results to this file as JSON.")
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
    """Send traffic at its scheduled times, by the routes and headers of SETTINGS; latencies count from these times.

    Exit with 3 if the senders fell behind the schedule, so that the load was lower than requested."""
    from anisefront.testbed import script as scripts
    from anisefront.testbed.load import plan, sender
    from anisefront.testbed.load.report import QUANTILES, Report
    from anisefront.testbed.model import scripted
    from anisefront.testbed.model import traces as recorded

    addresses = {name: address for name, address in (("grpc", grpc_address), ("jsonrpc", jsonrpc_address)) if address}
    if not addresses or bool(traces) == bool(day) or speed <= 0 or processes < 1:
        raise click.UsageError(
            "--grpc or --jsonrpc (or both) and either --trace or --day are required; "
            "--speed and --processes must be above 0"
        )
    config = load_settings(settings)
    if day:
        script, problems = scripts.read(Path(day).read_text())
        if problems:
            raise click.ClickException(
                "; ".join(f"{day}:{problem.location.line}: {problem.message}" for problem in problems)
            )
        arrivals = scripted.generate_arrivals(script, config, seed)
    else:
        trace = recorded.load(traces)
        for problem in trace.problems:
            click.echo(problem, err=True)
        arrivals = (recorded.scale(trace, scale, seed) if scale > 1 else trace).arrivals
    if seconds:
        arrivals = [arrival for arrival in arrivals if arrival.at < seconds * 1000]
    if not arrivals:
        raise click.ClickException("the traffic has no requests to send")
    try:
        schedule = plan.build_schedule(arrivals, config, speed, tuple(addresses))
    except plan.UnsupportedTrafficError as error:
        raise click.ClickException(str(error)) from error
    start = time.time() + START_S + 0.3 * processes
    tasks = [
        (plan.sender_share(schedule, number, processes), addresses, work_ms / 1000, start, closed)
        for number in range(processes)
    ]
    with multiprocessing.get_context("spawn").Pool(processes) as pool:
        report = Report(pool.starmap(sender.run_sender, tasks))
    click.echo(report.text())
    click.echo(", ".join(f"{count} {outcome}" for outcome, count in sorted(report.counts.items())))
    if out:
        rows = {
            name: {"count": count, **{f"p{q:g}_ms": value for q, value in zip(QUANTILES, values, strict=True)}}
            for name, count, values in report.rows()
        }
        Path(out).write_text(
            json.dumps(
                {
                    "latency": rows,
                    "counts": report.counts,
                    "late_share": report.late_fraction,
                    "fell_behind": report.fell_behind,
                },
                indent=1,
            )
            + "\n"
        )
    sys.exit(3 if report.fell_behind and not closed else 0)
