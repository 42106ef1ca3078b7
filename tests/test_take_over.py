"""Work in hand survives the loss of its gatekeeper, by processes of the program: killed, stopped, cut off."""

import signal
import time
from concurrent.futures import ThreadPoolExecutor

import grpc
import pytest
from cluster import MORE, Hands, until
from test_path import check_headers


@pytest.fixture
def hands(tmp_path):
    made = Hands(tmp_path)
    yield made
    made.close()


def others(hands, *out):
    return [number for number in hands.fleet.up if number not in out]


def test_what_a_killed_gatekeeper_held_is_carried_to_its_end_once(hands):
    calls = {path: hands.call(0, path, f"key{path}") for path in ("/pay", "/order", "/look")}
    until(lambda: sum(seen["kept_for_others"] for seen in hands.keepers().values()) == 3)
    hands.fleet.kill(0)
    assert {call.final() for call in calls.values()} == {"gone"}
    until(lambda: sum(hands.count(n, "taken_over") for n in others(hands)) == 3)
    hands.open()
    until(lambda: len(hands.workers.runs) == 3)
    keepers = [n for n in others(hands) if hands.count(n, "taken_over")]
    for path in calls:
        finals = {n: hands.call(n, path, f"key{path}") for n in keepers}
        assert "served" in {call.final() for call in finals.values()}, path
    assert set(hands.workers.runs[path, f"key{path}"] for path in ("/pay", "/order")) == {1}


def test_a_client_that_comes_back_before_the_loss_is_known_gets_the_one_answer(hands):
    first = hands.call(0, "/pay", "a")
    keeper = hands.keeper()
    hands.fleet.kill(0)
    again = hands.call(keeper, "/pay", "a")  # its lease is not out yet
    third = hands.call(keeper, "/pay", "a")
    other = hands.call(keeper, "/pay", "a", body="another thing")
    hands.open()
    assert first.final() == "gone"
    assert again.end()["result"]["body"] == third.end()["result"]["body"] == '{"did": "a"}'
    assert other.end()["error"]["data"]["reason"] == "another-request-under-this-name"
    assert hands.call(keeper, "/pay", "a").final() == "served"  # also when the answer came before it
    assert hands.workers.came["/pay", "a"] == 1


@pytest.mark.parametrize("path, final, came", [("/pay", "failed", 1), ("/order", "served", 2), ("/look", "served", 2)])
def test_an_attempt_that_is_out_when_its_gatekeeper_is_killed(hands, path, final, came):
    hands.open()
    hands.workers.gate.clear()
    until(lambda: hands.fleet.up[0].state()["servers"].get("ready") == 3)
    first = hands.call(0, path, "a")
    until(lambda: hands.workers.came[path, "a"] == 1)
    keeper = hands.keeper()
    hands.fleet.kill(0)
    again = hands.call(keeper, path, "a")
    until(lambda: hands.count(keeper, "taken_over") == 1)
    hands.workers.gate.set()
    assert (first.final(), again.final()) == ("gone", final)
    # An unsafe one never again; a keyed one again, and its group drops it; a safe one by the taker and by its client.
    assert hands.workers.runs[path, "a"] == 1 or path == "/look"
    assert hands.workers.came[path, "a"] >= came and (path != "/pay" or hands.workers.came[path, "a"] == 1)


def test_an_attempt_whose_announcement_is_known_but_not_acknowledged(hands):
    first = hands.call(0, "/pay", "a")
    keeper = hands.keeper()
    time.sleep(0.2)  # its units are granted
    hands.fleet.relay.cut = lambda sender, receiver: receiver == 0  # nobody's word reaches the origin from now on
    hands.open()
    until(lambda: hands.fleet.up[0].state()["counts"].get("attempts"))
    hands.fleet.kill(0)
    again = hands.call(keeper, "/pay", "a").final()
    assert first.final() == "gone"
    # It never left. The keeper can't know that, so it fails it; on a machine so slow that the origin had time to leave
    # its keeper, nobody has it and the client's try is a new one.
    assert (again, hands.workers.came["/pay", "a"]) in (("failed", 0), ("served", 1))


@pytest.mark.parametrize("seconds", [1.0, 3.0])
def test_a_stopped_origin_that_wakes_sends_nothing_more(hands, seconds):
    first = hands.call(0, "/pay", "a")
    keeper = hands.keeper()
    hands.fleet.signal(0, signal.SIGSTOP)
    until(lambda: hands.count(keeper, "taken_over") == 1)
    again = hands.call(keeper, "/pay", "a")
    hands.open()
    assert again.final() == "served"
    time.sleep(seconds)
    hands.fleet.signal(0, signal.SIGCONT)
    assert first.final() == "served"  # it is another's, and so is the answer
    time.sleep(0.5)
    assert hands.workers.came["/pay", "a"] == 1
    until(lambda: hands.fleet.up[0].state()["counts"].get("lost") == 1)
    assert hands.call(0, "/pay", "b").final() == "served"  # and what is new goes its way


def test_a_short_stop_loses_nothing(hands):
    first = hands.call(0, "/pay", "a")
    keeper = hands.keeper()
    hands.fleet.signal(0, signal.SIGSTOP)
    time.sleep(0.15)
    hands.fleet.signal(0, signal.SIGCONT)
    hands.open()
    assert first.final() == "served"
    assert hands.workers.came["/pay", "a"] == 1 and hands.count(keeper, "taken_over") == 0


def test_a_keeper_that_is_killed_or_stopped_is_left_for_another(hands):
    first = hands.call(0, "/pay", "a")
    keeper = hands.keeper()
    hands.fleet.signal(keeper, signal.SIGSTOP)
    second = hands.call(0, "/pay", "b")
    until(lambda: hands.count(0, "keepers_left") >= 1 or hands.fleet.up[0].state()["members"]["not_alive"])
    hands.open()
    assert (first.final(), second.final()) == ("served", "served")
    hands.fleet.signal(keeper, signal.SIGCONT)
    time.sleep(1.5)  # it finds the lease out, asks the witness, and hears that the origin has left
    assert hands.workers.came["/pay", "a"] == 1 and hands.workers.came["/pay", "b"] == 1
    assert hands.count(keeper, "taken_over") == 0


@pytest.mark.parametrize("name", ["a", "d"])
def test_a_keeper_killed_and_then_its_origin(hands, name):
    # An identity that loses two of its voters with them is refused, and executed once one of the two is back. Which
    # identities do follows from the keeper, which is another one where the first is late.
    first = hands.call(0, "/pay", name)
    keeper = hands.keeper()
    hands.fleet.kill(keeper)
    second = hands.keeper()  # the witness let it go to another
    hands.fleet.kill(0)
    again = hands.call(second, "/pay", name)
    hands.open()
    end = again.final()
    assert first.final() == "gone"
    # Where the keeper was the second one's witness nobody continues it, and who waits for it is told at the deadline.
    assert end in ("served", "refused") or again.end()["error"]["data"]["reason"] == "in-progress"
    assert hands.workers.came["/pay", name] == (end == "served")
    hands.fleet.start(keeper)
    until(lambda: hands.call(second, "/pay", name).final() == "served", 20.0)
    assert hands.workers.came["/pay", name] == 1


def test_an_origin_cut_off_from_its_keeper_goes_on_with_another(hands):
    first = hands.call(0, "/pay", "a")
    keeper = hands.keeper()
    hands.fleet.relay.cut = lambda sender, receiver: {sender, receiver} == {0, keeper}
    second = hands.call(0, "/pay", "b")
    time.sleep(1.2)
    hands.open()
    assert (first.final(), second.final()) == ("served", "served")
    hands.fleet.relay.cut = lambda sender, receiver: False
    time.sleep(1.0)
    assert hands.workers.came["/pay", "a"] == hands.workers.came["/pay", "b"] == 1


def test_a_request_of_one_identity_runs_once_while_its_first_gatekeeper_can_not_reach_the_keeper(hands):
    # Guards against a second effect: the origin left a keeper that the other gatekeepers went on asking.
    hands.call(0, "/pay", "a")
    keeper = hands.keeper()
    other = others(hands, 0, keeper)[0]
    hands.fleet.relay.cut = lambda sender, receiver: {sender, receiver} == {0, keeper}
    names = [f"k{number}" for number in range(12)]
    first = [hands.call(0, "/pay", name) for name in names]
    time.sleep(0.6)
    again = [hands.call(other, "/pay", name) for name in names]
    time.sleep(0.3)
    hands.open()
    assert [call.final() for call in first] == ["served"] * 12
    assert {call.final() for call in again} <= {"failed", "served"}
    assert {hands.workers.came["/pay", name] for name in names} == {1}
    assert hands.count(0, "keepers_left") >= 1 and hands.count(other, "locks_refused") >= 1


def test_a_client_that_waits_at_a_keeper_asks_the_origin_for_its_answer(hands):
    # Guards against a wait until the deadline, or "failed", where the request has moved to another keeper since.
    first = hands.call(0, "/pay", "a")
    keeper = hands.keeper()
    again = hands.call(keeper, "/pay", "a")
    until(lambda: hands.count(keeper, "asked_again") >= 1)
    hands.open()
    assert first.final() == "served" and again.final() in ("served", "failed")
    assert hands.workers.came["/pay", "a"] == 1


def test_an_origin_cut_off_from_all_sends_nothing_that_may_not_run_again(hands):
    first = hands.call(0, "/pay", "a")
    keeper = hands.keeper()
    hands.fleet.relay.cut = lambda sender, receiver: 0 in (sender, receiver)
    until(lambda: hands.count(keeper, "taken_over") == 1)
    hands.open()  # the origin reaches workers and clients all the while
    assert hands.call(keeper, "/pay", "a").final() == "served"
    hands.fleet.relay.cut = lambda sender, receiver: False  # healed while it still waits
    assert first.final() == "served"
    assert hands.workers.came["/pay", "a"] == 1


def test_lost_and_doubled_datagrams_cost_no_request(hands):
    hands.fleet.relay.loss = hands.fleet.relay.twice = 0.3
    hands.open()
    until(lambda: hands.fleet.up[0].state()["servers"].get("ready") == 3)
    calls = [hands.call(0, "/pay", f"k{n}") for n in range(20)]
    assert [call.end() for call in calls if call.final() != "served"] == []
    assert {hands.workers.came["/pay", f"k{n}"] for n in range(20)} == {1}


def test_a_keeper_that_answers_late_makes_no_request_late(hands):
    hands.open()
    until(lambda: hands.fleet.up[0].state()["servers"].get("ready") == 3)
    hands.fleet.relay.delay_s = lambda sender, receiver: 0.3 if sender == 1 else 0.0
    calls = []
    for number in range(30):
        calls.append(hands.call(0, "/pay", f"k{number}"))
        calls[-1].end()
        time.sleep(0.02)
    assert [call.final() for call in calls] == ["served"] * 30
    late = [call for call in calls if call.took > 0.25]
    assert len(late) <= 2, [round(call.took, 3) for call in calls]  # the first that met it, and is moved to another


def test_messages_that_come_after_the_lease_is_out_change_nothing(hands):
    first = hands.call(0, "/pay", "a")
    keeper = hands.keeper()
    hands.fleet.relay.delay_s = lambda sender, receiver: 1.5 if 0 in (sender, receiver) else 0.0
    until(lambda: hands.count(keeper, "taken_over") == 1)
    hands.open()
    assert hands.call(keeper, "/pay", "a").final() == "served"
    hands.fleet.relay.delay_s = lambda sender, receiver: 0.0  # what is under way still comes, behind what is newer
    assert first.final() == "served"
    time.sleep(1.5)
    assert hands.workers.came["/pay", "a"] == 1 and hands.call(0, "/pay", "b").final() == "served"


def test_origin_and_keeper_killed_together_run_nothing_twice(hands):
    first = hands.call(0, "/pay", "a")
    keeper = hands.keeper()
    hands.fleet.kill(0)
    hands.fleet.kill(keeper)
    hands.open()
    time.sleep(1.0)
    assert hands.workers.came["/pay", "a"] == 0  # lost with both: with one keeper that is what is promised
    assert first.final() == "gone"
    # Whether they are lost or behind a cut can't be known: none of its identity runs before its time is up.
    assert hands.call(others(hands)[0], "/pay", "a").final() == "refused"
    assert hands.workers.came["/pay", "a"] == 0
    for number in (0, keeper):
        hands.fleet.start(number)
    until(lambda: hands.call(others(hands, 0, keeper)[0], "/pay", "a").final() == "served", 20.0)
    assert hands.workers.came["/pay", "a"] == 1


def test_what_an_ending_gatekeeper_can_not_finish_is_carried_on(hands):
    first = hands.call(0, "/pay", "a")  # the drain is 1 s, and no worker takes it
    keeper = hands.keeper()
    hands.fleet.signal(0, signal.SIGTERM)
    until(lambda: hands.count(keeper, "taken_over") == 1)
    hands.open()
    assert (first.final(), hands.call(keeper, "/pay", "a").final()) == ("gone", "served")
    assert hands.workers.came["/pay", "a"] == 1


def test_a_fleet_restarted_one_after_another_twice_runs_each_once(hands):
    hands.open()
    calls = []
    for turn in range(2):
        for number in range(4):
            until(lambda: all(each.state()["servers"].get("ready") == 3 for each in hands.fleet.up.values()))
            calls += [
                (n, f"{turn}-{number}-{n}", hands.call(n, "/pay", f"{turn}-{number}-{n}")) for n in list(hands.fleet.up)
            ]
            hands.fleet.signal(number, signal.SIGTERM)
            assert hands.fleet.up[number].process.wait(15) == 0
            hands.fleet.kill(number)
            hands.fleet.start(number)
    finals = [call.final() for _, _, call in calls]
    assert set(finals) <= {"served", "refused"} and finals.count("served") >= 0.9 * len(finals)
    assert max(hands.workers.came.values()) == 1


def test_a_class_that_wants_protection_is_refused_where_there_is_none(tmp_path):
    more = MORE.replace("repeat unsafe", "repeat unsafe unprotected refuse")
    hands = Hands(tmp_path, 1, more, ready=True)
    try:
        until(lambda: hands.fleet.up[0].state()["servers"].get("ready") == 3)
        assert hands.call(0, "/pay", "a").final() == "refused" and hands.call(0, "/order", "a").final() == "served"
        assert hands.count(0, "unprotected_no_keeper") == 2
        assert hands.call(0, "/pay", "b", body="x" * 2000).final() == "refused"
        assert hands.count(0, "unprotected_too_large") == 1
    finally:
        hands.close()


def test_a_class_that_wants_protection_is_refused_where_its_last_keeper_is_lost(tmp_path):
    # Guards against an unprotected execution: what was held without a backup was served when workers came.
    hands = Hands(tmp_path, 2, MORE.replace("repeat safe", "repeat safe unprotected refuse"))
    try:
        call = hands.call(0, "/look", "a")
        until(lambda: hands.keepers()[1]["kept_for_others"] == 1)
        hands.fleet.kill(1)
        until(lambda: hands.count(0, "unprotected_since") == 1)
        hands.open()
        assert call.final() == "refused" and not hands.workers.came
    finally:
        hands.close()


# ---- by way of a proxy ----------------------------------------------------------------------------


def check(hands, number, path="/pay", token="", request_id="r1", timeout=10.0):
    """A check in a thread; the headers that its answer sets, or the status it denies with."""
    headers = {"x_request_id": request_id} | ({"x_anisefront_attempt": token} if token else {})
    asked = hands.fleet.up[number].check("POST", path, timeout, **headers)
    return check_headers(asked) if asked.status.code == 0 else asked.denied_response.status.code


def in_thread(call, *more, **options):
    pool = ThreadPoolExecutor(1)
    return pool.submit(call, *more, **options)


def test_a_proxy_whose_gatekeeper_was_killed_goes_on_at_the_keeper(hands):
    hands.open()
    until(lambda: all(each.state()["servers"].get("ready") == 3 for each in hands.fleet.up.values()))
    first = check(hands, 0)
    keeper = hands.keeper()
    token = first["x-anisefront-attempt"]
    hands.fleet.kill(0)
    until(lambda: hands.count(keeper, "taken_over") == 1)
    again = in_thread(check, hands, keeper, token=token)  # ahead of its log
    time.sleep(0.2)
    hands.fleet.up[keeper].log(token, 503, "upstream_connection_failure")  # it never ran
    second = again.result(10)
    assert second["x-envoy-original-dst-host"] != first["x-envoy-original-dst-host"]
    hands.fleet.up[keeper].log(second["x-anisefront-attempt"], 200)
    until(lambda: hands.fleet.up[keeper].state()["counts"].get("served") == 1)


def test_an_attempt_that_may_have_run_is_not_made_again_at_the_keeper(hands):
    hands.open()
    until(lambda: all(each.state()["servers"].get("ready") == 3 for each in hands.fleet.up.values()))
    token = check(hands, 0)["x-anisefront-attempt"]
    keeper = hands.keeper()
    hands.fleet.kill(0)
    until(lambda: hands.count(keeper, "taken_over") == 1)
    assert check(hands, keeper, token=token) == 502  # no log came: it may have run
    assert hands.fleet.up[keeper].state()["proxied"]["came_back"] == 1


def test_a_proxy_that_asks_a_third_gatekeeper_gets_no_second_run(hands):
    hands.open()
    until(lambda: all(each.state()["servers"].get("ready") == 3 for each in hands.fleet.up.values()))
    assert check(hands, 0)["x-anisefront-attempt"]  # let go, and its log never comes
    keeper = hands.keeper()
    hands.fleet.kill(0)
    until(lambda: hands.count(keeper, "taken_over") == 1)
    third = others(hands, keeper)[0]
    assert check(hands, third) == 409  # it may have run
    assert check(hands, third, request_id="r2")["x-anisefront-attempt"]


def keeper_of_a_held_check(hands):
    """A check is held, its gatekeeper is killed, and its keeper has taken it over."""
    held = in_thread(check, hands, 0)
    keeper = hands.keeper()
    hands.fleet.kill(0)
    with pytest.raises(grpc.RpcError):
        held.result(10)
    until(lambda: hands.count(keeper, "taken_over") == 1)
    return keeper


def test_a_held_check_may_go_on_at_a_third_gatekeeper(hands):
    keeper = keeper_of_a_held_check(hands)
    third = others(hands, keeper)[0]
    again = in_thread(check, hands, third)
    hands.open()
    assert again.result(10)["x-anisefront-attempt"]
    assert check(hands, keeper) == 409  # it keeps that one now


def test_a_check_that_was_held_is_asked_again_at_the_keeper_and_goes(hands):
    keeper = keeper_of_a_held_check(hands)
    again = in_thread(check, hands, keeper)
    hands.open()
    assert again.result(10)["x-anisefront-attempt"]


# ---- the same identity at several gatekeepers ---------------------------------------------------------


def test_the_same_name_at_all_gatekeepers_at_once_runs_once(hands):
    calls = [hands.call(number, path, path) for path in ("/pay", "/order") for number in range(4)]
    until(lambda: sum(hands.count(n, "names_elsewhere") + hands.count(n, "expected") for n in range(4)) >= 6)
    hands.open()
    finals = [call.final() for call in calls]
    # An unsafe one is served to one, and the others are told that it may have run; a keyed one is dropped by its group.
    assert sorted(finals[:4]) == ["failed", "failed", "failed", "served"] and finals[4:] == ["served"] * 4
    assert hands.workers.came["/pay", "/pay"] == 1 and hands.workers.runs["/order", "/order"] == 1


def test_clients_that_come_back_at_every_gatekeeper_get_the_one_answer(hands):
    first = hands.call(0, "/pay", "a")
    hands.keeper()
    hands.fleet.kill(0)
    again = [hands.call(number, "/pay", "a") for number in others(hands) * 2]
    until(lambda: sum(hands.count(n, "taken_over") for n in others(hands)) == 1)
    hands.open()
    assert first.final() == "gone" and [call.final() for call in again] == ["served"] * 6
    assert hands.workers.came["/pay", "a"] == 1
    late = [hands.call(number, "/pay", "a") for number in others(hands)]
    assert [call.final() for call in late] == ["served"] * 3 and hands.workers.came["/pay", "a"] == 1
