"""The decisions for fixed schedules of events equal the recorded ones bit for bit.

A difference is a change of behavior. A seed is recorded again only in the commit of a fix, which has to show that the
changed decisions are due to the fix alone.
"""

import functools
import json
import os
import subprocess
import sys
from collections import Counter
from pathlib import Path

import pytest
from decision_schedule import READABLE_LINES, READABLE_SEED, SEEDS, Run, play

TESTS = Path(__file__).parent
DATA = TESTS / "data" / "decisions"
DIGESTS = json.loads((DATA / "digests.json").read_text())
RECORDED_LINES = (DATA / "first_lines.txt").read_text().splitlines()
EVENTS = {
    "SETTINGS", "FLEET", "ARRIVAL", "STARTED", "OUTCOME", "CLIENT_GONE", "TIMER", "PEER", "AWAY", "PROBED", "COUNTED",
}  # fmt: skip
ACTIONS = {"ATTEMPT", "REJECT", "FAIL", "CANCEL", "SET_TIMER", "PEER_MESSAGE", "SUBSCRIBE"}
QUOTA_MESSAGES = {
    "quota message request",
    "quota message grant",
    "quota message queued",
    "quota message debit",
    "quota message refund",
    "quota message retry",
}


@functools.cache
def run_of(seed: int) -> Run:
    """Return the run of a seed, which is played once."""
    return play(seed)


def first_difference(recorded: list[str], played: list[str]) -> str:
    """Return the first difference, or an empty text."""
    for number, (old, new) in enumerate(zip(recorded, played, strict=False), 1):
        if old != new:
            return f"line {number}\nrecorded: {old}\nplayed:   {new}"
    return "" if len(recorded) == len(played) else f"{len(recorded)} lines recorded, {len(played)} played"


def test_data_contain_every_seed_and_the_readable_lines():
    assert set(DIGESTS) == {str(seed) for seed in SEEDS}
    assert len(SEEDS) >= 20
    assert len(RECORDED_LINES) == READABLE_LINES


def test_first_decisions_of_the_readable_seed_equal_the_recorded_lines():
    difference = first_difference(RECORDED_LINES, run_of(READABLE_SEED).readable_lines)
    assert not difference, difference


@pytest.mark.parametrize("seed", SEEDS)
def test_decisions_of_a_seed_have_the_recorded_digest(seed):
    run = run_of(seed)
    if seed == READABLE_SEED:
        difference = first_difference(RECORDED_LINES, run.readable_lines)
        assert not difference, difference
    assert {"lines": run.lines, "sha256": run.digest} == DIGESTS[str(seed)]


def test_schedules_contain_every_event_action_and_quota_message():
    counts = sum((run_of(seed).counts for seed in SEEDS), Counter())
    assert EVENTS | ACTIONS | QUOTA_MESSAGES == set(counts)


def test_decisions_do_not_depend_on_the_hash_seed():
    command = f"from decision_schedule import play; print(play({READABLE_SEED}).digest)"
    for hash_seed in ("0", "4711"):
        environment = {**os.environ, "PYTHONHASHSEED": hash_seed, "PYTHONPATH": f"{TESTS.parent}:{TESTS}"}
        completed = subprocess.run(
            [sys.executable, "-c", command],
            env=environment,
            capture_output=True,
            text=True,
            check=True,
        )
        assert completed.stdout.strip() == DIGESTS[str(READABLE_SEED)]["sha256"]
