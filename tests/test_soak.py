"""Planned restarts under load: a short soak by its seed, and each guard of the auditor on sabotaged instances."""

import multiprocessing
import subprocess
import sys
from concurrent.futures import ProcessPoolExecutor

import pytest

from anisefront.testbed.soak.__main__ import failure, play
from anisefront.testbed.soak.audit import SoakAuditor

SEED, SECONDS = 1, 8.0
INTACT = {}
PLAYED = [
    INTACT,
    {
        0: "ceilings,one-answer",
        1: "ceilings,resets,exits",
        2: "ceilings,own-answers,attempts-out",
        3: "ceilings,attempts-out",
    },
    {0: "ready,drains", 1: "ready,descriptors", 2: "memory,twice", 3: "twice,descriptors,memory"},
    dict.fromkeys(range(4), "cold"),
]
RULES = {  # by the guard that is out
    "one-answer": "one final answer in time",
    "twice": "no effect twice",
    "drains": "drains kept",
    "cold": "cold workers not pushed over",
    "ceilings": "ceilings kept",
    "resets": "no end with answers due",
    "own-answers": "no answer but one's own",
    "exits": "ended before the kill",
    "ready": "ready in time",
    "descriptors": "descriptors given back",
    "memory": "memory given back",
    "attempts-out": "attempts out back to none",
}


def judged(folder, guards):
    """The verdicts on a soak with these guards out, and what its failure prints."""
    folder.mkdir()
    auditor, _ = play(folder, SEED, SECONDS, guards)
    verdicts = auditor.judge()
    return verdicts, failure(auditor, verdicts, SEED, SECONDS)


@pytest.fixture(scope="module")
def soaks(tmp_path_factory):
    """Two at a time, each in a process of its own."""
    folder = tmp_path_factory.mktemp("soaks")
    with ProcessPoolExecutor(2, multiprocessing.get_context("spawn")) as pool:
        return list(pool.map(judged, [folder / str(number) for number in range(len(PLAYED))], PLAYED))


def test_planned_restarts_under_load_break_no_rule(soaks):
    # Guards against requests that a restart loses, repeats or leaves without an end.
    verdicts, said = soaks[PLAYED.index(INTACT)]
    assert not any(verdict.breaches for verdict in verdicts), said
    assert all(verdict.cases for verdict in verdicts) and sorted(RULES.values()) == sorted(v.rule for v in verdicts)


@pytest.mark.parametrize("guard", RULES)
def test_the_auditor_sees_a_guard_that_is_out(soaks, guard):
    # Guards against an auditor that passes whatever it is shown.
    number = next(n for n, guards in enumerate(PLAYED) if any(guard in each.split(",") for each in guards.values()))
    verdicts, said = soaks[number]
    assert next(verdict for verdict in verdicts if verdict.rule == RULES[guard]).breaches, said
    assert f"seed {SEED}: python -m anisefront.testbed.soak" in said


@pytest.mark.parametrize(
    ("how", "at", "workers", "breaches"),
    [
        ("closed", 1099, [], 0),  # it crossed the end of its connection unread
        ("closed", 1101, [], 1),
        ("closed", 1050, ["arrive"], 1),  # it had been read
        ("broken", 1050, [], 1),
        ("reset", 1050, [], 1),
        ("gone", 1050, ["arrive"], 0),  # its client left
    ],
)
def test_a_request_whose_connection_ends_is_lost_unless_it_crossed_the_end_unread(how, at, workers, breaches):
    # Guards against a loss that counts as a crossing.
    tries = [{"at": 1000, "kind": "try", "id": "a", "due": 2500, "gatekeeper": 0}]
    records = {"clients": [*tries, {"at": at, "kind": "answer", "id": "a", "how": how}], "proxies": [], "day": []}
    records["workers"] = [{"at": 1010, "kind": kind, "id": "a", "worker": "s@0"} for kind in workers]
    assert len(SoakAuditor(records).ends().breaches) == breaches


def test_the_auditor_loads_nothing_of_the_gateway():
    # Guards against a fault that hides in code which both sides share.
    code = "import sys, anisefront.testbed.soak.audit as _\nprint(*(m for m in sys.modules if 'anisefront' in m))"
    loaded = subprocess.run([sys.executable, "-c", code], capture_output=True, text=True, check=True).stdout.split()
    assert [name for name in loaded if name.startswith("anisefront.") and ".testbed" not in name] == []
    assert "anisefront.testbed.soak.audit" in loaded
