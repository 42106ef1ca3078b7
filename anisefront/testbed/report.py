"""Runs a day script, audits the records and prints the verdict."""

from __future__ import annotations

import dataclasses
import sys
from pathlib import Path

import click

from anisefront.config import loader, messages
from anisefront.testbed import script as scripts
from anisefront.testbed.audit import Auditor, load


def run_and_audit(path: Path, folder: Path, seed: int | None, guard: str | None, record: bool = False) -> int:
    """Run the script at `path` with its records in `folder`, print the verdict and return the exit code."""
    from anisefront.testbed import day

    text = path.read_text()
    script, problems = scripts.read(text)
    for problem in problems:
        click.echo(messages.format_problem(loader.load_text(text, str(path)), problem), err=True)
    if problems:
        return 2
    if seed is not None:
        script = dataclasses.replace(script, seed=seed)
    command = [sys.executable, "-m", "anisefront"]
    if guard is not None:
        command = [sys.executable, "-m", "anisefront.testbed.sabotage", guard]
    try:
        run_errors = day.play(script, (path.parent / script.settings).read_text(), folder, command, record)
    except day.InvalidRunError as error:
        click.echo(str(error), err=True)
        return 2
    auditor = Auditor(load(folder))
    verdicts = auditor.judge()
    click.echo(f"{'rule':30} {'cases':>6} {'broken':>6}  nearest miss (1 is the limit)")
    for verdict in verdicts:
        click.echo(
            f"{verdict.rule:30} {verdict.cases:6} {len(verdict.breaches):6}  {verdict.nearest:.2f} "
            f"{verdict.nearest_what}".rstrip()
        )
        for breach in verdict.breaches[:5]:
            click.echo(f"    {breach}")
    for excuse in auditor.excused[:5]:
        click.echo(f"    {excuse}")
    stall_ms = sum(max(ms.values()) for _, _, ms in auditor.stalls)
    click.echo(f"the machine kept processes of the day from running for {stall_ms:.0f} ms")
    click.echo("tries: " + ", ".join(f"{count} {how}" for how, count in auditor.summary().items()))
    for error in run_errors:
        click.echo(f"the day itself: {error}")
    violated = any(verdict.breaches for verdict in verdicts)
    untested = [verdict.rule for verdict in verdicts if not verdict.cases]
    for rule in untested:
        click.echo(f"the day itself: no case of {rule!r} was seen, so it proves nothing of it")
    passed = not violated and not run_errors and not untested
    click.echo("verdict: every rule kept" if passed else "verdict: BROKEN" if violated else "verdict: not proved")
    return 0 if passed else 1
