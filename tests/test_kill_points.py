"""Instances killed at given calls with requests in flight, and backups short of CPU time, as processes."""

import signal
import threading
import time

import pytest
from cluster import Cluster, wait_until
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
def cluster(tmp_path):
    running = Cluster(tmp_path)
    yield running
    running.close()


def restart_to_die(cluster, module, owner, name):
    """Restart instance 0 so that it kills itself at a call of this method."""
    cluster.gateways.kill(0)
    cluster.gateways.running[0] = Running(
        cluster.gateways.files[0], "-c", KILL_AT_CALL.format(module=module, owner=owner, name=name)
    )
    cluster.gateways.wait_for_members(lambda seen: seen.get("alive") == 4)
    cluster.set_workers_ready()
    wait_until(lambda: cluster.gateways.running[0].state()["servers"].get("ready") == 3)


@pytest.mark.parametrize(("path", "final"), [("/pay", "failed"), ("/order", "served"), ("/look", "served")])
@pytest.mark.parametrize(
    "line",
    [
        ("gateway.request_table", "RequestTable", "attempt_ended"),
        ("upstream.direct_requests", "DirectRequests", "deliver_response"),
    ],
)
def test_killed_after_the_execution_and_before_the_client_has_the_response(cluster, line, path, final):
    """While the response is read, or after the controller has got it; in neither case has the client a response."""
    restart_to_die(cluster, *line)
    first = cluster.call(0, path, "a")
    assert first.final() == "disconnected"
    cluster.gateways.running.pop(0).process.wait()
    assert cluster.workers.executions[path, "a"] == 1
    outcomes = [cluster.call(number, path, "a").final() for number in cluster.gateways.running]
    assert set(outcomes) == {final}, outcomes
    assert cluster.workers.executions[path, "a"] == 1 or path == "/look"
    assert path != "/pay" or cluster.workers.arrivals[path, "a"] == 1


@pytest.mark.parametrize(("path", "final"), [("/pay", "failed"), ("/order", "served")])
def test_killed_after_the_acknowledgement_and_before_the_attempt_starts(cluster, path, final):
    """The backup knows of an attempt that never started: a non-idempotent request fails, as it may have executed."""
    restart_to_die(cluster, "gateway.request_table", "RequestTable", "release_attempt")
    first = cluster.call(0, path, "a")
    assert first.final() == "disconnected"
    cluster.gateways.running.pop(0).process.wait()
    assert cluster.call(1, path, "a").final() == final
    assert cluster.workers.arrivals[path, "a"] == (0 if path == "/pay" else 1)


def test_killed_before_replication_the_request_is_executed_for_the_clients_retry_only(cluster):
    restart_to_die(cluster, "daemon.replication", "ReplicationService", "try_protect")
    assert cluster.call(0, "/pay", "a").final() == "disconnected"
    cluster.gateways.running.pop(0).process.wait()
    assert cluster.call(1, "/pay", "a").final() == "served" and cluster.workers.arrivals["/pay", "a"] == 1


def outcomes_of_calls(cluster, count=30):
    calls = [cluster.call(0, "/pay", f"k{number}") for number in range(count) if time.sleep(0.02) is None]
    return [call.final() for call in calls]


def test_a_backup_on_a_quarter_of_a_core_costs_no_request(cluster):
    cluster.set_workers_ready()
    wait_until(lambda: cluster.gateways.running[0].state()["servers"].get("ready") == 3)
    is_done = threading.Event()

    def starve():
        while not is_done.is_set():
            cluster.gateways.signal(1, signal.SIGSTOP)
            time.sleep(0.075)
            cluster.gateways.signal(1, signal.SIGCONT)
            time.sleep(0.025)

    thread = threading.Thread(target=starve, daemon=True)
    thread.start()
    try:
        assert outcomes_of_calls(cluster) == ["served"] * 30
    finally:
        is_done.set()
        thread.join()
    assert all(times == 1 for times in cluster.workers.executions.values())


def test_backups_whose_datagrams_arrive_in_bursts_cost_no_request(cluster):
    cluster.set_workers_ready()
    wait_until(lambda: cluster.gateways.running[0].state()["servers"].get("ready") == 3)
    cluster.gateways.relay.delay_s = lambda sender, receiver: 0.1 - time.monotonic() % 0.1
    assert outcomes_of_calls(cluster) == ["served"] * 30
    assert all(times == 1 for times in cluster.workers.executions.values())
