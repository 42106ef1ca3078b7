"""Runs soaks from consecutive seeds and prints the verdicts of the auditor.

python -m anisefront.testbed.soak SECONDS SEED RUNS [FOLDER]
"""

from __future__ import annotations

import asyncio
import re
import sys
import tempfile
from collections import Counter
from pathlib import Path

from anisefront.testbed.audit import Verdict, load
from anisefront.testbed.soak.audit import SoakAuditor
from anisefront.testbed.soak.run import Soak

REQUEST_ID = re.compile(r"^([0-9a-f]{16})\b")
NEAR_FRACTION = 0.8


def run_soak(
    folder: Path, seed: int, seconds: float, faults_by_instance: dict[int, str] | None = None
) -> tuple[SoakAuditor, Soak]:
    """Run one soak and return its auditor and the run itself."""
    soak = Soak(folder, seed, seconds, faults_by_instance or {})
    asyncio.run(soak.run())
    return SoakAuditor(load(folder)), soak


def failure(auditor: SoakAuditor, verdicts: list[Verdict], seed: int, seconds: float) -> str:
    """Return a report: the broken rules, the command that repeats the run, and the records of one request."""
    lines = [f"seed {seed}: python -m anisefront.testbed.soak {seconds:g} {seed} 1"]
    broken_verdicts = [verdict for verdict in verdicts if verdict.breaches]
    for verdict in broken_verdicts:
        lines.append(f"  {verdict.rule}: {len(verdict.breaches)} breaches")
        lines += [f"    {breach}" for breach in verdict.breaches[:5]]
    ids = [
        match[1] for verdict in broken_verdicts for breach in verdict.breaches if (match := REQUEST_ID.match(breach))
    ]
    if ids:
        lines += [f"  records of {ids[0]}:", *(f"    {row}" for row in auditor.request_history(ids[0]))]
    return "\n".join(lines)


def _run_and_report(folder: Path, seed: int, seconds: float) -> bool:
    auditor, soak = run_soak(folder, seed, seconds)
    verdicts = auditor.judge()
    for verdict in verdicts:
        nearest = (
            f"{verdict.nearest:.2f} {verdict.nearest_what}"
            if verdict.nearest >= NEAR_FRACTION
            else f"{verdict.nearest:.2f}"
        )
        print(f"  {verdict.rule:28} {verdict.cases:7} {len(verdict.breaches):4}  {nearest}")
    restarts = sum(record["kind"] == "restart" for record in auditor.run_records)
    exits = [record for record in auditor.run_records if record["kind"] == "exit"]
    kills = sum(record["killed"] for record in exits)
    print(f"  {restarts} restarts, {len(exits)} exits, {kills} kills, {len(auditor.tries)} requests")
    print(f"  {dict(Counter(answers[0]['how'] for answers in auditor.answers.values()))}")
    print(f"  {dict(sorted(soak.scenario_counts.items()))}")
    print("\n".join(f"  {excuse}" for excuse in auditor.excused[:5]))
    if any(verdict.breaches for verdict in verdicts):
        print(failure(auditor, verdicts, seed, seconds))
        return False
    return True


def main(arguments: list[str]) -> int:
    """Run the soaks; return 1 if a rule was broken in any of them."""
    seconds, seed, runs = float(arguments[0]), int(arguments[1]), int(arguments[2])
    failed = []
    for number in range(seed, seed + runs):
        print(f"seed {number}", flush=True)
        with tempfile.TemporaryDirectory() as temporary_folder:
            folder = Path(arguments[3]) / str(number) if len(arguments) > 3 else Path(temporary_folder)
            folder.mkdir(parents=True, exist_ok=True)
            try:
                passed = _run_and_report(folder, number, seconds)
            except RuntimeError as error:
                print(f"seed {number}: {error}: python -m anisefront.testbed.soak {seconds:g} {number} 1")
                passed = False
            if not passed:
                failed.append(number)
        sys.stdout.flush()
    print(f"{runs - len(failed)} passed, {len(failed)} failed{': seeds ' if failed else ''}{failed or ''}")
    return 1 if failed else 0


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
