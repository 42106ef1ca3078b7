"""Requests survive the loss of their primary, with gateway processes that are killed, stopped or partitioned."""

import signal
import time
from concurrent.futures import ThreadPoolExecutor

import grpc
import pytest
from cluster import REPLICATION_SETTINGS, Cluster, wait_until
from test_path import check_headers


@pytest.fixture
def cluster(tmp_path):
    cluster_under_test = Cluster(tmp_path)
    yield cluster_under_test
    cluster_under_test.close()


def others(cluster, *excluded):
    """Return the running instances but these."""
    return [number for number in cluster.gateways.running if number not in excluded]


def test_requests_queued_at_a_killed_instance_are_completed_once(cluster):
    calls = {path: cluster.call(0, path, f"key{path}") for path in ("/pay", "/order", "/look")}
    wait_until(lambda: sum(seen["kept_for_others"] for seen in cluster.replication_states().values()) == 3)
    cluster.gateways.kill(0)
    assert {call.final() for call in calls.values()} == {"disconnected"}
    wait_until(lambda: sum(cluster.counter(n, "taken_over") for n in others(cluster)) == 3)
    cluster.set_workers_ready()
    wait_until(lambda: len(cluster.workers.executions) == 3)
    backups = [n for n in others(cluster) if cluster.counter(n, "taken_over")]
    for path in calls:
        outcomes = {n: cluster.call(n, path, f"key{path}") for n in backups}
        assert "served" in {call.final() for call in outcomes.values()}, path
    assert set(cluster.workers.executions[path, f"key{path}"] for path in ("/pay", "/order")) == {1}


def test_a_client_that_retries_before_the_lease_expires_gets_the_same_answer(cluster):
    original = cluster.call(0, "/pay", "a")
    backup = cluster.backup()
    cluster.gateways.kill(0)
    repeated = cluster.call(backup, "/pay", "a")  # the lease has not expired yet
    third = cluster.call(backup, "/pay", "a")
    other = cluster.call(backup, "/pay", "a", body="another thing")
    cluster.set_workers_ready()
    assert original.final() == "disconnected"
    assert repeated.wait_for_answer()["result"]["body"] == third.wait_for_answer()["result"]["body"] == '{"did": "a"}'
    assert other.wait_for_answer()["error"]["data"]["reason"] == "another-request-under-this-name"
    assert cluster.call(backup, "/pay", "a").final() == "served"  # also after the answer
    assert cluster.workers.arrivals["/pay", "a"] == 1


@pytest.mark.parametrize(
    "path, final, min_arrivals", [("/pay", "failed", 1), ("/order", "served", 2), ("/look", "served", 2)]
)
def test_an_attempt_that_is_in_flight_when_its_instance_is_killed(cluster, path, final, min_arrivals):
    cluster.set_workers_ready()
    cluster.workers.gate.clear()
    wait_until(lambda: cluster.gateways.running[0].state()["servers"].get("ready") == 3)
    original = cluster.call(0, path, "a")
    wait_until(lambda: cluster.workers.arrivals[path, "a"] == 1)
    backup = cluster.backup()
    cluster.gateways.kill(0)
    repeated = cluster.call(backup, path, "a")
    wait_until(lambda: cluster.counter(backup, "taken_over") == 1)
    cluster.workers.gate.set()
    assert (original.final(), repeated.final()) == ("disconnected", final)
    # An unsafe request is never sent again; a keyed one is, and its deduplication group drops it; a safe one is sent by
    # the backup and by its client.
    assert cluster.workers.executions[path, "a"] == 1 or path == "/look"
    assert cluster.workers.arrivals[path, "a"] >= min_arrivals and (
        path != "/pay" or cluster.workers.arrivals[path, "a"] == 1
    )


def test_an_attempt_whose_announcement_is_known_but_not_acknowledged(cluster):
    original = cluster.call(0, "/pay", "a")
    backup = cluster.backup()
    time.sleep(0.2)  # its quota is granted
    cluster.gateways.relay.is_blocked = (
        lambda sender, receiver: receiver == 0
    )  # no datagram reaches the primary from now on
    cluster.set_workers_ready()
    wait_until(lambda: cluster.gateways.running[0].state()["counts"].get("attempts"))
    cluster.gateways.kill(0)
    repeated = cluster.call(backup, "/pay", "a").final()
    assert original.final() == "disconnected"
    # The attempt was never sent. The backup can't know that, so it fails the request; on a machine so slow that the
    # primary had time to release its backup, no instance has the request, and the client's retry is a new one.
    assert (repeated, cluster.workers.arrivals["/pay", "a"]) in (("failed", 0), ("served", 1))


@pytest.mark.parametrize("seconds", [1.0, 3.0])
def test_a_stopped_primary_that_resumes_sends_no_more_attempts(cluster, seconds):
    original = cluster.call(0, "/pay", "a")
    backup = cluster.backup()
    cluster.gateways.signal(0, signal.SIGSTOP)
    wait_until(lambda: cluster.counter(backup, "taken_over") == 1)
    repeated = cluster.call(backup, "/pay", "a")
    cluster.set_workers_ready()
    assert repeated.final() == "served"
    time.sleep(seconds)
    cluster.gateways.signal(0, signal.SIGCONT)
    assert original.final() == "served"  # the backup has taken over, and the answer is the backup's
    time.sleep(0.5)
    assert cluster.workers.arrivals["/pay", "a"] == 1
    wait_until(lambda: cluster.gateways.running[0].state()["counts"].get("lost") == 1)
    assert cluster.call(0, "/pay", "b").final() == "served"  # and new requests are served


def test_a_short_stop_loses_nothing(cluster):
    original = cluster.call(0, "/pay", "a")
    backup = cluster.backup()
    cluster.gateways.signal(0, signal.SIGSTOP)
    time.sleep(0.15)
    cluster.gateways.signal(0, signal.SIGCONT)
    cluster.set_workers_ready()
    assert original.final() == "served"
    assert cluster.workers.arrivals["/pay", "a"] == 1 and cluster.counter(backup, "taken_over") == 0


def test_a_backup_that_is_killed_or_stopped_is_replaced(cluster):
    original = cluster.call(0, "/pay", "a")
    backup = cluster.backup()
    cluster.gateways.signal(backup, signal.SIGSTOP)
    second = cluster.call(0, "/pay", "b")
    wait_until(
        lambda: cluster.counter(0, "keepers_left") >= 1 or cluster.gateways.running[0].state()["members"]["not_alive"]
    )
    cluster.set_workers_ready()
    assert (original.final(), second.final()) == ("served", "served")
    cluster.gateways.signal(backup, signal.SIGCONT)
    time.sleep(1.5)  # it sees the lease expired, asks the witness, and learns that the primary has released it
    assert cluster.workers.arrivals["/pay", "a"] == 1 and cluster.workers.arrivals["/pay", "b"] == 1
    assert cluster.counter(backup, "taken_over") == 0


@pytest.mark.parametrize("name", ["a", "d"])
def test_a_backup_is_killed_and_then_its_primary(cluster, name):
    # An identity that loses two of its voters with them is refused, and executed once one of the two is back. Which
    # identities these are depends on the backup, and that is another instance if the first one answers late.
    original = cluster.call(0, "/pay", name)
    backup = cluster.backup()
    cluster.gateways.kill(backup)
    second = cluster.backup()  # the witness allowed another backup
    cluster.gateways.kill(0)
    repeated = cluster.call(second, "/pay", name)
    cluster.set_workers_ready()
    end = repeated.final()
    assert original.final() == "disconnected"
    # If the first backup was the witness of the second, nobody takes over, and a waiting client is answered at the
    # deadline.
    assert end in ("served", "refused") or repeated.wait_for_answer()["error"]["data"]["reason"] == "in-progress"
    assert cluster.workers.arrivals["/pay", name] == (end == "served")
    cluster.gateways.start(backup)
    wait_until(lambda: cluster.call(second, "/pay", name).final() == "served", 20.0)
    assert cluster.workers.arrivals["/pay", name] == 1


def test_a_primary_partitioned_from_its_backup_uses_another(cluster):
    original = cluster.call(0, "/pay", "a")
    backup = cluster.backup()
    cluster.gateways.relay.is_blocked = lambda sender, receiver: {sender, receiver} == {0, backup}
    second = cluster.call(0, "/pay", "b")
    time.sleep(1.2)
    cluster.set_workers_ready()
    assert (original.final(), second.final()) == ("served", "served")
    cluster.gateways.relay.is_blocked = lambda sender, receiver: False
    time.sleep(1.0)
    assert cluster.workers.arrivals["/pay", "a"] == cluster.workers.arrivals["/pay", "b"] == 1


def test_a_request_of_one_identity_is_executed_once_while_its_primary_cannot_reach_the_backup(cluster):
    # Guards against a second execution: the primary released a backup that the other instances went on asking.
    cluster.call(0, "/pay", "a")
    backup = cluster.backup()
    other = others(cluster, 0, backup)[0]
    cluster.gateways.relay.is_blocked = lambda sender, receiver: {sender, receiver} == {0, backup}
    names = [f"k{number}" for number in range(12)]
    original = [cluster.call(0, "/pay", name) for name in names]
    time.sleep(0.6)
    repeated = [cluster.call(other, "/pay", name) for name in names]
    time.sleep(0.3)
    cluster.set_workers_ready()
    assert [call.final() for call in original] == ["served"] * 12
    assert {call.final() for call in repeated} <= {"failed", "served"}
    assert {cluster.workers.arrivals["/pay", name] for name in names} == {1}
    assert cluster.counter(0, "keepers_left") >= 1 and cluster.counter(other, "locks_refused") >= 1


def test_a_client_that_waits_at_a_backup_gets_the_answer_of_the_primary(cluster):
    # Guards against a wait until the deadline, or "failed", where the request has moved to another backup since.
    original = cluster.call(0, "/pay", "a")
    backup = cluster.backup()
    repeated = cluster.call(backup, "/pay", "a")
    wait_until(lambda: cluster.counter(backup, "asked_again") >= 1)
    cluster.set_workers_ready()
    assert original.final() == "served" and repeated.final() in ("served", "failed")
    assert cluster.workers.arrivals["/pay", "a"] == 1


def test_a_primary_partitioned_from_all_instances_sends_no_unsafe_request(cluster):
    original = cluster.call(0, "/pay", "a")
    backup = cluster.backup()
    cluster.gateways.relay.is_blocked = lambda sender, receiver: 0 in (sender, receiver)
    wait_until(lambda: cluster.counter(backup, "taken_over") == 1)
    cluster.set_workers_ready()  # the primary still reaches workers and clients
    assert cluster.call(backup, "/pay", "a").final() == "served"
    cluster.gateways.relay.is_blocked = lambda sender, receiver: False  # healed while the original call still waits
    assert original.final() == "served"
    assert cluster.workers.arrivals["/pay", "a"] == 1


def test_lost_and_duplicated_datagrams_lose_no_request(cluster):
    cluster.gateways.relay.loss_rate = cluster.gateways.relay.duplication_rate = 0.3
    cluster.set_workers_ready()
    wait_until(lambda: cluster.gateways.running[0].state()["servers"].get("ready") == 3)
    calls = [cluster.call(0, "/pay", f"k{n}") for n in range(20)]
    assert [call.wait_for_answer() for call in calls if call.final() != "served"] == []
    assert {cluster.workers.arrivals["/pay", f"k{n}"] for n in range(20)} == {1}


def test_a_backup_that_answers_late_delays_no_request(cluster):
    cluster.set_workers_ready()
    wait_until(lambda: cluster.gateways.running[0].state()["servers"].get("ready") == 3)
    cluster.gateways.relay.delay_s = lambda sender, receiver: 0.3 if sender == 1 else 0.0
    calls = []
    for number in range(30):
        calls.append(cluster.call(0, "/pay", f"k{number}"))
        calls[-1].wait_for_answer()
        time.sleep(0.02)
    assert [call.final() for call in calls] == ["served"] * 30
    late_calls = [call for call in calls if call.elapsed_s > 0.25]
    assert len(late_calls) <= 2, [
        round(call.elapsed_s, 3) for call in calls
    ]  # the first call of each delayed backup, which is then replaced


def test_messages_that_arrive_after_the_lease_has_expired_change_nothing(cluster):
    original = cluster.call(0, "/pay", "a")
    backup = cluster.backup()
    cluster.gateways.relay.delay_s = lambda sender, receiver: 1.5 if 0 in (sender, receiver) else 0.0
    wait_until(lambda: cluster.counter(backup, "taken_over") == 1)
    cluster.set_workers_ready()
    assert cluster.call(backup, "/pay", "a").final() == "served"
    cluster.gateways.relay.delay_s = lambda sender, receiver: 0.0  # datagrams in transit still arrive, after newer ones
    assert original.final() == "served"
    time.sleep(1.5)
    assert cluster.workers.arrivals["/pay", "a"] == 1 and cluster.call(0, "/pay", "b").final() == "served"


def test_primary_and_backup_killed_together_execute_nothing_twice(cluster):
    original = cluster.call(0, "/pay", "a")
    backup = cluster.backup()
    cluster.gateways.kill(0)
    cluster.gateways.kill(backup)
    cluster.set_workers_ready()
    time.sleep(1.0)
    assert cluster.workers.arrivals["/pay", "a"] == 0  # lost with both: one backup protects against one loss only
    assert original.final() == "disconnected"
    # Whether they are lost or partitioned can't be known: no request of its identity is executed before the deadline.
    assert cluster.call(others(cluster)[0], "/pay", "a").final() == "refused"
    assert cluster.workers.arrivals["/pay", "a"] == 0
    for number in (0, backup):
        cluster.gateways.start(number)
    wait_until(lambda: cluster.call(others(cluster, 0, backup)[0], "/pay", "a").final() == "served", 20.0)
    assert cluster.workers.arrivals["/pay", "a"] == 1


def test_requests_that_a_draining_instance_cannot_finish_are_taken_over(cluster):
    original = cluster.call(0, "/pay", "a")  # the drain takes 1 s, and no worker is ready
    backup = cluster.backup()
    cluster.gateways.signal(0, signal.SIGTERM)
    wait_until(lambda: cluster.counter(backup, "taken_over") == 1)
    cluster.set_workers_ready()
    assert (original.final(), cluster.call(backup, "/pay", "a").final()) == ("disconnected", "served")
    assert cluster.workers.arrivals["/pay", "a"] == 1


def test_two_rolling_restarts_execute_each_request_once(cluster):
    cluster.set_workers_ready()
    calls = []
    for round_number in range(2):
        for number in range(4):
            wait_until(
                lambda: all(each.state()["servers"].get("ready") == 3 for each in cluster.gateways.running.values())
            )
            calls += [
                (n, f"{round_number}-{number}-{n}", cluster.call(n, "/pay", f"{round_number}-{number}-{n}"))
                for n in list(cluster.gateways.running)
            ]
            cluster.gateways.signal(number, signal.SIGTERM)
            assert cluster.gateways.running[number].process.wait(15) == 0
            cluster.gateways.kill(number)
            cluster.gateways.start(number)
    outcomes = [call.final() for _, _, call in calls]
    assert set(outcomes) <= {"served", "refused"} and outcomes.count("served") >= 0.9 * len(outcomes)
    assert max(cluster.workers.arrivals.values()) == 1


def test_a_class_that_wants_protection_is_refused_where_there_is_none(tmp_path):
    settings = REPLICATION_SETTINGS.replace("repeat unsafe", "repeat unsafe unprotected refuse")
    cluster = Cluster(tmp_path, 1, settings, ready=True)
    try:
        wait_until(lambda: cluster.gateways.running[0].state()["servers"].get("ready") == 3)
        assert cluster.call(0, "/pay", "a").final() == "refused" and cluster.call(0, "/order", "a").final() == "served"
        assert cluster.counter(0, "unprotected_no_keeper") == 2
        assert cluster.call(0, "/pay", "b", body="x" * 2000).final() == "refused"
        assert cluster.counter(0, "unprotected_too_large") == 1
    finally:
        cluster.close()


def test_a_class_that_wants_protection_is_refused_where_its_last_backup_is_lost(tmp_path):
    # Guards against an unprotected execution: a request queued without a backup was served when workers became ready.
    cluster = Cluster(tmp_path, 2, REPLICATION_SETTINGS.replace("repeat safe", "repeat safe unprotected refuse"))
    try:
        call = cluster.call(0, "/look", "a")
        wait_until(lambda: cluster.replication_states()[1]["kept_for_others"] == 1)
        cluster.gateways.kill(1)
        wait_until(lambda: cluster.counter(0, "unprotected_since") == 1)
        cluster.set_workers_ready()
        assert call.final() == "refused" and not cluster.workers.arrivals
    finally:
        cluster.close()


# ---- through a proxy ----------------------------------------------------------------------------


def check(cluster, number, path="/pay", token="", request_id="r1", timeout=10.0):
    """Make a check; return the headers that its answer sets, or the status that it denies with."""
    headers = {"x_request_id": request_id} | ({"x_anisefront_attempt": token} if token else {})
    response = cluster.gateways.running[number].check("POST", path, timeout, **headers)
    return check_headers(response) if response.status.code == 0 else response.denied_response.status.code


def start_in_thread(call, *arguments, **options):
    """Call a function in a thread of its own and return its future."""
    pool = ThreadPoolExecutor(1)
    return pool.submit(call, *arguments, **options)


def test_a_proxy_whose_instance_was_killed_continues_at_the_backup(cluster):
    cluster.set_workers_ready()
    wait_until(lambda: all(each.state()["servers"].get("ready") == 3 for each in cluster.gateways.running.values()))
    original = check(cluster, 0)
    backup = cluster.backup()
    token = original["x-anisefront-attempt"]
    cluster.gateways.kill(0)
    wait_until(lambda: cluster.counter(backup, "taken_over") == 1)
    repeated = start_in_thread(check, cluster, backup, token=token)  # before its access log
    time.sleep(0.2)
    cluster.gateways.running[backup].log(token, 503, "upstream_connection_failure")  # it was never executed
    second = repeated.result(10)
    assert second["x-envoy-original-dst-host"] != original["x-envoy-original-dst-host"]
    cluster.gateways.running[backup].log(second["x-anisefront-attempt"], 200)
    wait_until(lambda: cluster.gateways.running[backup].state()["counts"].get("served") == 1)


def test_an_attempt_that_may_have_been_executed_is_not_repeated_at_the_backup(cluster):
    cluster.set_workers_ready()
    wait_until(lambda: all(each.state()["servers"].get("ready") == 3 for each in cluster.gateways.running.values()))
    token = check(cluster, 0)["x-anisefront-attempt"]
    backup = cluster.backup()
    cluster.gateways.kill(0)
    wait_until(lambda: cluster.counter(backup, "taken_over") == 1)
    assert check(cluster, backup, token=token) == 502  # no access log: it may have been executed
    assert cluster.gateways.running[backup].state()["proxied"]["came_back"] == 1


def test_a_proxy_that_asks_a_third_instance_gets_no_second_execution(cluster):
    cluster.set_workers_ready()
    wait_until(lambda: all(each.state()["servers"].get("ready") == 3 for each in cluster.gateways.running.values()))
    assert check(cluster, 0)["x-anisefront-attempt"]  # sent on, and its access log never arrives
    backup = cluster.backup()
    cluster.gateways.kill(0)
    wait_until(lambda: cluster.counter(backup, "taken_over") == 1)
    third = others(cluster, backup)[0]
    assert check(cluster, third) == 409  # it may have been executed
    assert check(cluster, third, request_id="r2")["x-anisefront-attempt"]


def backup_of_a_queued_check(cluster):
    """Queue a check, kill its instance, and return the backup once it has taken over."""
    queued = start_in_thread(check, cluster, 0)
    backup = cluster.backup()
    cluster.gateways.kill(0)
    with pytest.raises(grpc.RpcError):
        queued.result(10)
    wait_until(lambda: cluster.counter(backup, "taken_over") == 1)
    return backup


def test_a_queued_check_may_continue_at_a_third_instance(cluster):
    backup = backup_of_a_queued_check(cluster)
    third = others(cluster, backup)[0]
    repeated = start_in_thread(check, cluster, third)
    cluster.set_workers_ready()
    assert repeated.result(10)["x-anisefront-attempt"]
    assert check(cluster, backup) == 409  # it replicates that one now


def test_a_queued_check_that_is_repeated_at_the_backup_is_allowed(cluster):
    backup = backup_of_a_queued_check(cluster)
    repeated = start_in_thread(check, cluster, backup)
    cluster.set_workers_ready()
    assert repeated.result(10)["x-anisefront-attempt"]


# ---- the same identity at several instances -----------------------------------------------------------


def test_the_same_identity_at_all_instances_at_once_is_executed_once(cluster):
    calls = [cluster.call(number, path, path) for path in ("/pay", "/order") for number in range(4)]
    wait_until(
        lambda: sum(cluster.counter(n, "names_elsewhere") + cluster.counter(n, "expected") for n in range(4)) >= 6
    )
    cluster.set_workers_ready()
    outcomes = [call.final() for call in calls]
    # An unsafe request is served once, and the others fail as it may have been executed; repeats of a keyed one are
    # dropped by its group.
    assert sorted(outcomes[:4]) == ["failed", "failed", "failed", "served"] and outcomes[4:] == ["served"] * 4
    assert cluster.workers.arrivals["/pay", "/pay"] == 1 and cluster.workers.executions["/order", "/order"] == 1


def test_clients_that_retry_at_every_instance_get_the_same_answer(cluster):
    original = cluster.call(0, "/pay", "a")
    cluster.backup()
    cluster.gateways.kill(0)
    repeated = [cluster.call(number, "/pay", "a") for number in others(cluster) * 2]
    wait_until(lambda: sum(cluster.counter(n, "taken_over") for n in others(cluster)) == 1)
    cluster.set_workers_ready()
    assert original.final() == "disconnected" and [call.final() for call in repeated] == ["served"] * 6
    assert cluster.workers.arrivals["/pay", "a"] == 1
    late_calls = [cluster.call(number, "/pay", "a") for number in others(cluster)]
    assert [call.final() for call in late_calls] == ["served"] * 3 and cluster.workers.arrivals["/pay", "a"] == 1
