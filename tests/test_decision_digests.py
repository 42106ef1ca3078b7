"""The decisions for fixed schedules of events are those that were recorded, bit for bit.

A difference is a change of behavior. A seed is recorded anew only by the commit of a mend that shows that its changed
decisions are the mend itself."""

import functools
import json
import os
import subprocess
import sys
from collections import Counter
from pathlib import Path

import pytest
from decision_schedule import CLEAR_LINES, CLEAR_SEED, SEEDS, Run, play

TESTS = Path(__file__).parent
DATA = TESTS / "data" / "decisions"
DIGESTS = json.loads((DATA / "digests.json").read_text())
CLEAR = (DATA / "first_lines.txt").read_text().splitlines()
EVENTS = {
    "SETTINGS", "FLEET", "ARRIVAL", "STARTED", "OUTCOME", "CLIENT_GONE", "TIMER", "PEER", "AWAY", "PROBED", "COUNTED",
}  # fmt: skip
ACTIONS = {"ATTEMPT", "REJECT", "FAIL", "CANCEL", "SET_TIMER", "PEER_MESSAGE", "SUBSCRIBE"}
PEER_ITEMS = {"item ask", "item grant", "item wait", "item spent", "item back", "item again"}


@functools.cache
def run_of(seed: int) -> Run:
    """The run of a seed, played once."""
    return play(seed)


def first_difference(recorded: list[str], played: list[str]) -> str:
    """The first line that differs, or nothing."""
    for number, (old, new) in enumerate(zip(recorded, played, strict=False), 1):
        if old != new:
            return f"line {number}\nrecorded: {old}\nplayed:   {new}"
    return "" if len(recorded) == len(played) else f"{len(recorded)} lines recorded, {len(played)} played"


def test_data_holds_every_seed_and_the_clear_lines():
    assert set(DIGESTS) == {str(seed) for seed in SEEDS}
    assert len(SEEDS) >= 20
    assert len(CLEAR) == CLEAR_LINES


def test_first_decisions_of_the_clear_seed_equal_the_recorded_lines():
    difference = first_difference(CLEAR, run_of(CLEAR_SEED).clear)
    assert not difference, difference


@pytest.mark.parametrize("seed", SEEDS)
def test_decisions_of_a_seed_have_the_recorded_digest(seed):
    run = run_of(seed)
    if seed == CLEAR_SEED:
        difference = first_difference(CLEAR, run.clear)
        assert not difference, difference
    assert {"lines": run.lines, "sha256": run.digest} == DIGESTS[str(seed)]


def test_schedules_reach_every_event_action_and_peer_item():
    seen = sum((run_of(seed).seen for seed in SEEDS), Counter())
    assert EVENTS | ACTIONS | PEER_ITEMS == set(seen)


def test_decisions_do_not_depend_on_the_hash_seed():
    command = f"from decision_schedule import play; print(play({CLEAR_SEED}).digest)"
    for hash_seed in ("0", "4711"):
        environment = {**os.environ, "PYTHONHASHSEED": hash_seed, "PYTHONPATH": f"{TESTS.parent}:{TESTS}"}
        done = subprocess.run(
            [sys.executable, "-c", command],
            env=environment,
            capture_output=True,
            text=True,
            check=True,
        )
        assert done.stdout.strip() == DIGESTS[str(CLEAR_SEED)]["sha256"]
