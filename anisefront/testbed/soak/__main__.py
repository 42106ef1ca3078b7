"""Plays soaks by their seeds and prints the auditor's verdict.

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
NEAR = 0.8


def play(folder: Path, seed: int, seconds: float, guards: dict[int, str] | None = None) -> tuple[SoakAuditor, Soak]:
    """Play one soak and return its auditor."""
    soak = Soak(folder, seed, seconds, guards or {})
    asyncio.run(soak.play())
    return SoakAuditor(load(folder)), soak


def failure(auditor: SoakAuditor, verdicts: list[Verdict], seed: int, seconds: float) -> str:
    """What broke, the command that plays it again, and one request's story."""
    lines = [f"seed {seed}: python -m anisefront.testbed.soak {seconds:g} {seed} 1"]
    broken = [verdict for verdict in verdicts if verdict.breaches]
    for verdict in broken:
        lines.append(f"  {verdict.rule}: {len(verdict.breaches)} breaches")
        lines += [f"    {breach}" for breach in verdict.breaches[:5]]
    ids = [found[1] for verdict in broken for breach in verdict.breaches if (found := REQUEST_ID.match(breach))]
    if ids:
        lines += [f"  the story of {ids[0]}:", *(f"    {row}" for row in auditor.story(ids[0]))]
    return "\n".join(lines)


def _play_one(folder: Path, seed: int, seconds: float) -> bool:
    auditor, soak = play(folder, seed, seconds)
    verdicts = auditor.judge()
    for verdict in verdicts:
        near = f"{verdict.nearest:.2f} {verdict.nearest_what}" if verdict.nearest >= NEAR else f"{verdict.nearest:.2f}"
        print(f"  {verdict.rule:28} {verdict.cases:7} {len(verdict.breaches):4}  {near}")
    restarts = sum(record["kind"] == "restart" for record in auditor.day)
    exits = [record for record in auditor.day if record["kind"] == "exit"]
    kills = sum(record["killed"] for record in exits)
    print(f"  {restarts} restarts, {len(exits)} exits, {kills} kills, {len(auditor.tries)} requests")
    print(f"  {dict(Counter(answers[0]['how'] for answers in auditor.answers.values()))}")
    print(f"  {dict(sorted(soak.played.items()))}")
    print("\n".join(f"  {excuse}" for excuse in auditor.excused[:5]))
    if any(verdict.breaches for verdict in verdicts):
        print(failure(auditor, verdicts, seed, seconds))
        return False
    return True


def main(arguments: list[str]) -> int:
    """Play the runs; 1 if a rule broke in any."""
    seconds, seed, runs = float(arguments[0]), int(arguments[1]), int(arguments[2])
    failed = []
    for number in range(seed, seed + runs):
        print(f"seed {number}", flush=True)
        with tempfile.TemporaryDirectory() as made:
            folder = Path(arguments[3]) / str(number) if len(arguments) > 3 else Path(made)
            folder.mkdir(parents=True, exist_ok=True)
            try:
                passed = _play_one(folder, number, seconds)
            except RuntimeError as problem:
                print(f"seed {number}: {problem}: python -m anisefront.testbed.soak {seconds:g} {number} 1")
                passed = False
            if not passed:
                failed.append(number)
        sys.stdout.flush()
    print(f"{runs - len(failed)} passed, {len(failed)} failed{': seeds ' if failed else ''}{failed or ''}")
    return 1 if failed else 0


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
