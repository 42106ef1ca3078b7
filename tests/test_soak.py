"""Planned restarts under load: a short soak from a seed, and the detection of each fault that the auditor looks for."""

import asyncio
import multiprocessing
import random
import subprocess
import sys
from concurrent.futures import ProcessPoolExecutor

import pytest

from anisefront.testbed.records import Record
from anisefront.testbed.soak import platform
from anisefront.testbed.soak.__main__ import failure, run_soak
from anisefront.testbed.soak.audit import SoakAuditor
from anisefront.testbed.soak.clients import LoadGenerator

SEED, SECONDS = 1, 8.0
NO_FAULTS = {}
FAULTS_BY_RUN = [
    NO_FAULTS,
    {
        0: "ceilings,one-answer",
        1: "ceilings,resets,exits",
        2: "ceilings,own-answers,attempts-out",
        3: "ceilings,attempts-out",
    },
    {0: "ready,drains", 1: "ready,descriptors", 2: "memory,twice", 3: "twice,descriptors,memory"},
    dict.fromkeys(range(4), "cold"),
]
RULES = {  # by the fault that breaks it
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


def run_and_judge(folder, faults):
    """Return the verdicts on a soak with these injected faults, and its failure report."""
    folder.mkdir()
    auditor, _ = run_soak(folder, SEED, SECONDS, faults)
    verdicts = auditor.judge()
    return verdicts, failure(auditor, verdicts, SEED, SECONDS)


@pytest.fixture(scope="module")
def soaks(tmp_path_factory):
    """Run the soaks two at a time, each in its own process."""
    folder = tmp_path_factory.mktemp("soaks")
    with ProcessPoolExecutor(2, multiprocessing.get_context("spawn")) as pool:
        return list(pool.map(run_and_judge, [folder / str(run) for run in range(len(FAULTS_BY_RUN))], FAULTS_BY_RUN))


def test_planned_restarts_under_load_break_no_rule(soaks):
    # Guards against requests that a restart loses, executes twice or leaves without an answer.
    verdicts, report = soaks[FAULTS_BY_RUN.index(NO_FAULTS)]
    assert not any(verdict.breaches for verdict in verdicts), report
    assert all(verdict.cases for verdict in verdicts) and sorted(RULES.values()) == sorted(
        verdict.rule for verdict in verdicts
    )


@pytest.mark.parametrize("fault", RULES)
def test_the_auditor_detects_an_injected_fault(soaks, fault):
    # Guards against an auditor that accepts every run.
    run = next(
        run for run, faults in enumerate(FAULTS_BY_RUN) if any(fault in each.split(",") for each in faults.values())
    )
    verdicts, report = soaks[run]
    assert next(verdict for verdict in verdicts if verdict.rule == RULES[fault]).breaches, report
    assert f"seed {SEED}: python -m anisefront.testbed.soak" in report


@pytest.mark.parametrize(
    ("outcome", "answered_at", "worker_records", "breaches"),
    [
        ("closed", 1099, [], 0),  # in transit when its connection was closed, so unread
        ("closed", 1101, [], 1),
        ("closed", 1050, ["arrive"], 1),  # it had been read
        ("broken", 1050, [], 1),
        ("reset", 1050, [], 1),
        ("gone", 1050, ["arrive"], 0),  # its client disconnected
    ],
)
def test_a_request_whose_connection_ends_is_lost_unless_it_was_unread_in_transit(
    outcome, answered_at, worker_records, breaches
):
    # Guards against a lost request that is excused as one in transit.
    tries = [{"at": 1000, "kind": "try", "id": "a", "due": 2500, "gatekeeper": 0}]
    records = {
        "clients": [*tries, {"at": answered_at, "kind": "answer", "id": "a", "how": outcome}],
        "proxies": [],
        "day": [],
    }
    records["workers"] = [{"at": 1010, "kind": kind, "id": "a", "worker": "s@0"} for kind in worker_records]
    assert len(SoakAuditor(records).connection_ends().breaches) == breaches


def test_the_auditor_loads_nothing_of_the_gateway():
    # Guards against a fault that is hidden by code which gateway and auditor share.
    code = "import sys, anisefront.testbed.soak.audit as _\nprint(*(m for m in sys.modules if 'anisefront' in m))"
    loaded = subprocess.run([sys.executable, "-c", code], capture_output=True, text=True, check=True).stdout.split()
    assert [name for name in loaded if name.startswith("anisefront.") and ".testbed" not in name] == []
    assert "anisefront.testbed.soak.audit" in loaded


def test_load_generator_opens_no_connection_while_it_is_paused():
    """Guards against clients that connect and send nothing, so that an instance's error line counts as a breach."""
    opened = []

    async def play():
        server = await asyncio.start_server(lambda reader, writer: opened.append(writer), platform.instance_host(), 0)
        port = server.sockets[0].getsockname()[1]
        generator = LoadGenerator(Record(None), random.Random(1), [port], {0}, is_paused=True)
        sending = asyncio.ensure_future(generator.run_connection())
        await asyncio.sleep(0.2)
        sending.cancel()
        server.close()

    asyncio.run(play())
    assert not opened
