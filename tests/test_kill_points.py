"""Instances killed at given calls with requests in flight, and backups short of CPU time, as processes."""

import signal
import threading
import time

import pytest
from cluster import Hands, until
from test_path import Running

# The instance kills itself when this method is about to be called.
KILL_AT_CALL = """
import os, signal, sys
from anisefront.{module} import {owner}
inner = {owner}.{name}
def dies(self, *args, **more):
    os.kill(os.getpid(), signal.SIGKILL)
{owner}.{name} = dies
from anisefront.cli.main import main
main()
"""


@pytest.fixture
def hands(tmp_path):
    running = Hands(tmp_path)
    yield running
    running.close()


def restart_to_die(hands, module, owner, name):
    """Restart instance 0 so that it kills itself at a call of this method."""
    hands.fleet.kill(0)
    hands.fleet.up[0] = Running(hands.fleet.files[0], "-c", KILL_AT_CALL.format(module=module, owner=owner, name=name))
    hands.fleet.until(lambda seen: seen.get("alive") == 4)
    hands.open()
    until(lambda: hands.fleet.up[0].state()["servers"].get("ready") == 3)


@pytest.mark.parametrize(("path", "final"), [("/pay", "failed"), ("/order", "served"), ("/look", "served")])
@pytest.mark.parametrize(
    "line",
    [
        ("gateway.request_table", "RequestTable", "attempt_ended"),
        ("upstream.direct_requests", "DirectRequests", "deliver_response"),
    ],
)
def test_killed_after_the_execution_and_before_the_client_has_the_response(hands, line, path, final):
    """While the response is read, or after the controller has got it; in neither case has the client a response."""
    restart_to_die(hands, *line)
    first = hands.call(0, path, "a")
    assert first.final() == "gone"
    hands.fleet.up.pop(0).process.wait()
    assert hands.workers.runs[path, "a"] == 1
    outcomes = [hands.call(number, path, "a").final() for number in hands.fleet.up]
    assert set(outcomes) == {final}, outcomes
    assert hands.workers.runs[path, "a"] == 1 or path == "/look"
    assert path != "/pay" or hands.workers.came[path, "a"] == 1


@pytest.mark.parametrize(("path", "final"), [("/pay", "failed"), ("/order", "served")])
def test_killed_after_the_acknowledgement_and_before_the_attempt_starts(hands, path, final):
    """The backup knows of an attempt that never started: a non-idempotent request fails, as it may have executed."""
    restart_to_die(hands, "gateway.request_table", "RequestTable", "release_attempt")
    first = hands.call(0, path, "a")
    assert first.final() == "gone"
    hands.fleet.up.pop(0).process.wait()
    assert hands.call(1, path, "a").final() == final
    assert hands.workers.came[path, "a"] == (0 if path == "/pay" else 1)


def test_killed_before_replication_the_request_is_executed_for_the_clients_retry_only(hands):
    restart_to_die(hands, "daemon.replication", "ReplicationService", "try_protect")
    assert hands.call(0, "/pay", "a").final() == "gone"
    hands.fleet.up.pop(0).process.wait()
    assert hands.call(1, "/pay", "a").final() == "served" and hands.workers.came["/pay", "a"] == 1


def outcomes_of_calls(hands, count=30):
    calls = [hands.call(0, "/pay", f"k{number}") for number in range(count) if time.sleep(0.02) is None]
    return [call.final() for call in calls]


def test_a_backup_on_a_quarter_of_a_core_costs_no_request(hands):
    hands.open()
    until(lambda: hands.fleet.up[0].state()["servers"].get("ready") == 3)
    is_done = threading.Event()

    def starve():
        while not is_done.is_set():
            hands.fleet.signal(1, signal.SIGSTOP)
            time.sleep(0.075)
            hands.fleet.signal(1, signal.SIGCONT)
            time.sleep(0.025)

    thread = threading.Thread(target=starve, daemon=True)
    thread.start()
    try:
        assert outcomes_of_calls(hands) == ["served"] * 30
    finally:
        is_done.set()
        thread.join()
    assert all(times == 1 for times in hands.workers.runs.values())


def test_backups_whose_datagrams_arrive_in_bursts_cost_no_request(hands):
    hands.open()
    until(lambda: hands.fleet.up[0].state()["servers"].get("ready") == 3)
    hands.fleet.relay.delay_s = lambda sender, receiver: 0.1 - time.monotonic() % 0.1
    assert outcomes_of_calls(hands) == ["served"] * 30
    assert all(times == 1 for times in hands.workers.runs.values())
