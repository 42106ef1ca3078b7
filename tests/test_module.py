"""The module alone: odd but legal rounds, settings that cannot be right, and one test a failure found."""

import pytest
from test_rules import settings

from anisefront import messages
from anisefront.control import CENTRES, Controller, FuzzyShare, Window
from anisefront.interface import (
    Arrival,
    Cancel,
    ClientGone,
    Fail,
    Fleet,
    Heard,
    Outcome,
    Plan,
    Probe,
    Probed,
    Refuse,
    Repeat,
    RequestClass,
    Result,
    Scope,
    Send,
    Server,
    Started,
    State,
    Subscribe,
    Tell,
    Woken,
)

FLEET = Fleet(tuple(Server(f"s{n}", f"z{n % 2}", n % 4, State.READY) for n in range(6)))


def gateway(**more):
    return Controller(settings(**more), 1)


def ask(number, name="look", plan="rated", due=5000.0, customer="c", units=1):
    return Arrival(number, customer, name, plan, due, units, 0, 3)


def of(kind, actions):
    return [action for action in actions if isinstance(action, kind)]


def outcome(send, result, attempt=0, took=50.0, final=None):
    final = result is Result.OK if final is None else final
    return Outcome(send.id, attempt, send.server, took, result, final)


def test_ordinary_request_is_sent_and_ends():
    c = gateway()
    sends = of(Send, c.handle(1000, [FLEET, ask(1)]))
    assert [send.id for send in sends] == [1]
    assert not of(Fail, c.handle(1050, [outcome(sends[0], Result.OK)]))
    assert not c.requests and not c.window.out


def test_error_is_tried_again_elsewhere_if_safe_and_failed_if_unsafe():
    c = gateway()
    safe, unsafe = of(Send, c.handle(1000, [FLEET, ask(1), ask(2, "debit")]))
    if safe.id != 1:
        safe, unsafe = unsafe, safe
    actions = c.handle(1050, [outcome(safe, Result.ERROR), outcome(unsafe, Result.ERROR)])
    again = of(Send, actions)
    assert [send.id for send in again] == [1] and again[0].server != safe.server
    assert of(Fail, actions) == [Fail(2)]


def test_unsafe_is_tried_again_when_it_never_ran():
    c = gateway()
    send, = of(Send, c.handle(1000, [FLEET, ask(1, "debit")]))
    again, = of(Send, c.handle(1010, [outcome(send, Result.FULL)]))
    assert again.id == 1


def test_a_disproved_attempt_does_not_clear_one_that_may_have_run():
    """An error, then a full at the same server: the first may have run all the same."""
    c = Controller(settings(may_tell=False), 1)
    one = Fleet((Server("s0", "z0", 0, State.READY),))
    send, = of(Send, c.handle(1000, [one, ask(1, "book", due=1900)]))
    again, = of(Send, c.handle(1010, [outcome(send, Result.ERROR)]))
    other = Fleet((Server("s0", "z0", 0, State.DRAINING), Server("s9", "z0", 3, State.READY)))
    actions = c.handle(1020, [other, outcome(again, Result.FULL, 1)])
    assert not of(Send, actions) and of(Fail, actions) == [Fail(1)]


def test_odd_rounds_are_handled():
    c = gateway()
    c.handle(1000, [Fleet(()), Fleet((), failed=True), Woken("never asked"), ClientGone(77)])
    assert of(Refuse, c.handle(1001, [ask(1, "no such class"), ask(2, plan="no such plan")])) == [
        Refuse(1), Refuse(2)]
    assert of(Refuse, c.handle(1002, [ask(3, due=900.0)])) == [Refuse(3)]
    c.handle(1003, [ask(4)])  # no servers: held
    assert 4 in c.requests
    send, = of(Send, c.handle(1004, [FLEET]))
    assert of(Cancel, c.handle(1005, [ClientGone(4)])) == [Cancel(4, 0)]
    assert c.handle(1006, [ClientGone(4), Started(4, 0, send.server)]) == []
    c.handle(1007, [outcome(send, Result.OK), outcome(send, Result.OK), outcome(send, Result.ERROR, 3)])
    assert c.window.out == 0 and not c.requests


def test_held_without_servers_is_refused_before_its_time_is_up():
    c = gateway()
    c.handle(1000, [Fleet(()), ask(1, due=1600.0), ask(2, "debit", due=1500)])
    refused = {}
    for now in range(1004, 1700, 4):
        refused.update((action.id, now) for action in of(Refuse, c.handle(now, [Woken("agenda")])))
    assert set(refused) == {1, 2} and refused[1] <= 1600 and refused[2] <= 1500


def test_peer_bytes_that_cannot_be_read_change_nothing():
    c = gateway()
    c.handle(1000, [FLEET, ask(1)])
    good = messages.encode(5, 3.0, [messages.Use(messages.tag_of("c"), 4.0, 1.0, 0.5)])
    before = c.quota.accounts["c"].store
    for data in (b"", b"\x00", good[:-1], b"\xff" + good[1:], bytes(300)):
        c.handle(1001, [Heard(1, data)])
    c.handle(1001, [Heard(9, good), Heard(0, good)])
    assert c.quota.accounts["c"].store == pytest.approx(before, abs=0.1) and not c.quota.news
    c.handle(1001, [Heard(1, good), Heard(1, good)])  # repeated: counted once
    assert c.quota.accounts["c"].store == pytest.approx(before - 4, abs=0.1)


def test_messages_survive_a_round_trip_and_stay_small():
    uses = [messages.Use(n, n + 0.5, 2.25, 1.5) for n in range(100)]
    data = messages.encode(70000, 1000, uses)
    assert len(data) <= messages.MAX_BYTES
    assert messages.decode(data).uses == tuple(uses[:messages.MAX_ENTRIES])


@pytest.mark.parametrize("bad, key", [
    (dict(classes=()), "classes"), (dict(plans=()), "plans"), (dict(gateways=0), "gateways"),
    (dict(number=3), "number"), (dict(max_attempts=0), "max_attempts"), (dict(warm_up_ms=-1), "warm_up_ms")])
def test_settings_that_cannot_be_right_are_named(bad, key):
    with pytest.raises(ValueError, match=key):
        settings(**bad)


def test_plans_and_classes_that_cannot_be_right_are_named():
    with pytest.raises(ValueError, match="rate_per_s"):
        Plan("p", rate_per_s=-1)
    with pytest.raises(ValueError, match="repeat"):
        RequestClass("k", 1, 1, 1, "sometimes", scope=Scope.ALL)
    with pytest.raises(ValueError, match="aim_ms"):
        RequestClass("k", float("nan"), 1, 1, Repeat.SAFE)


def test_fuzzy_surface_is_the_diagonal_table():
    assert FuzzyShare.infer(0, 0) == pytest.approx(0, abs=1e-9)
    for error in CENTRES:
        for change in CENTRES:
            value = FuzzyShare.infer(error, change)
            assert value == pytest.approx(-FuzzyShare.infer(-error, -change))
            assert (value > 0.1) == (error + change > 0) and (value < -0.1) == (error + change < 0)


def test_a_late_class_gains_share_and_an_early_one_keeps_it():
    share = FuzzyShare(500, 0.3)
    for _ in range(10):
        share.step(100)
    assert share.share == 0.3
    for _ in range(10):
        share.step(3000)
    assert share.share > 0.3


def test_learned_answer_time_cannot_lock_a_class_out():
    """Refused on arrival, nothing is answered, so nothing would ever bring the learned time down."""
    c = gateway()
    c.handle(1000, [FLEET])
    c.usual["look"] = 5000.0
    assert of(Send, c.handle(1001, [ask(1)]))


def test_window_is_shared_out_over_gateways():
    few, many = Window(1), Window(10)
    assert few.cap(20) > 5 * many.cap(20)
    few.answered_ms = many.answered_ms = 1000
    few.step(), many.step()
    assert few.cap(20) > 5 * many.cap(20)


def test_below_the_cap_nothing_is_held_and_at_it_the_worthiest_leave_first():
    c = gateway()
    c.handle(1000, [FLEET])
    cap = c.window.cap(6)
    calm = [ask(n, customer=f"c{n}") for n in range(1, cap + 1)]
    first = of(Send, c.handle(1001, calm))
    assert len(first) == cap
    c.handle(1002, [ask(500, "feed", customer="a"), ask(501, "book", customer="b")])
    assert {request.arrival.id for request in c.held} == {500, 501}
    sent = of(Send, c.handle(1010, [outcome(first[0], Result.OK)]))
    assert [send.id for send in sent] == [501]


def test_cap_on_attempts_out_is_kept_by_one_gateway_and_weighed_with_others():
    c = gateway()
    c.handle(1000, [FLEET, Heard(1, messages.encode(1, 1, [])), Heard(2, messages.encode(1, 1, []))])
    sends = of(Send, c.handle(1001, [ask(n, plan="open", customer="o") for n in range(1, 9)]))
    assert len(sends) == 4
    busy = messages.encode(1, 1, [messages.Use(messages.tag_of("p"), 0, 9, 4.0)])
    assert not of(Send, c.handle(1002, [Heard(1, busy), ask(20, plan="open", customer="p")]))


def test_fast_failer_does_not_attract_load():
    c = gateway()
    now, sent, number = 1000.0, [], 0
    c.handle(now, [FLEET])
    for _ in range(200):
        number, now = number + 1, now + 20
        for send in of(Send, c.handle(now, [ask(number, due=now + 4000, customer=f"c{number}")])):
            sent.append(send.server)
            result, took = (Result.ERROR, 2) if send.server == "s1" else (Result.OK, 90)
            more = c.handle(now + 5, [outcome(send, result, took=took)])
            for n, retry in enumerate(of(Send, more)):
                c.handle(now + 10, [outcome(retry, Result.OK, n + 1)])
    assert sent.count("s1") < len(sent) / 15


def test_ceiling_slice_starts_empty_so_that_a_restart_grants_nothing_twice():
    c = gateway()
    c.handle(1000, [FLEET])
    assert not of(Send, c.handle(1001, [ask(1, plan="capped", customer="k")]))
    assert of(Send, c.handle(1250, [Woken("agenda")]))


def test_gossip_goes_to_the_customers_set_only():
    c = Controller(settings(gateways=4), 1)
    told = []
    c.handle(1000, [FLEET])
    for now in range(1004, 3000, 4):
        events = [Arrival(now, "c", "look", "rated", now + 1500.0, 1, 0, 2)] if now % 100 == 0 else []
        told += of(Tell, c.handle(now, [*events, Woken("agenda")]))
    assert any(messages.decode(tell.data).uses for tell in told if tell.receiver == 1)
    assert not any(messages.decode(tell.data).uses for tell in told if tell.receiver in (2, 3))


def test_many_gateways_stay_within_the_inbox():
    """Faster than an inbox takes, messages are lost and every gateway would look stale."""
    c = gateway(gateways=40, inbox_per_s=60)
    told = 0
    c.handle(0, [FLEET])
    for now in range(4, 10_000, 4):
        told += len(of(Tell, c.handle(now, [Woken("agenda")])))
    assert 39 <= told <= 60 * 10  # what one sends to all, one receives from all


def test_discovery_that_must_be_asked_is_asked_and_asked_again():
    c = gateway(must_subscribe=True, ask_within_ms=4000)
    assert of(Subscribe, c.handle(1000, [FLEET]))
    c.handle(1010, [Fleet((), failed=True)])
    assert of(Subscribe, c.handle(2100, [Woken("agenda")]))


def test_a_server_that_refuses_at_once_draws_no_load_and_does_not_close_the_window():
    """It answers in no time, so it looks idle; and its refusals say nothing of the rest of the fleet."""
    for result in (Result.FULL, Result.CONNECT_FAILED):
        c = gateway()
        now, sent = 1000.0, []
        c.handle(now, [FLEET])
        for number in range(1, 300):
            now += 10
            sends = of(Send, c.handle(now, [ask(number, due=now + 1400, customer=f"c{number}")]))
            while sends:
                send = sends.pop()
                sent.append(send.server)
                bad = send.server == "s2"
                attempt = c.requests[send.id].attempts - 1
                sends += of(Send, c.handle(now + 2, [outcome(send, result if bad else Result.OK, attempt)]))
        assert sent.count("s2") < len(sent) / 15
        assert c.window.cut == 1.0


def test_a_server_that_restarts_under_its_old_id_keeps_its_count_of_attempts_out():
    c = gateway()
    send, = of(Send, c.handle(1000, [FLEET, ask(1)]))
    old = c.servers.known[send.server].entry
    back = Server(old.id, old.zone, old.cell, State.READY, 1.0, 1005.0)
    c.handle(1010, [Fleet((back,), complete=False)])
    c.handle(1020, [outcome(send, Result.RESET)])
    assert c.servers.known[send.server].out == 0


def test_load_reports_on_probes_are_asked_for_and_used():
    c = gateway(report_how="probe", may_probe=True)
    probes = of(Probe, c.handle(1000, [FLEET])) + of(Probe, c.handle(2000, [Woken("agenda")]))
    assert {probe.server for probe in probes} == {server.id for server in FLEET.servers}
    c.handle(2005, [Probed("s3", 4.0, Result.OK, (0.9, 30.0)), Probed("never listed", 4.0, Result.OK)])
    sends = of(Send, c.handle(2010, [ask(n, customer=f"c{n}") for n in range(1, 7)]))
    assert len(sends) == 6 and "s3" not in {send.server for send in sends}
