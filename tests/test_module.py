"""The module alone: odd but legal rounds, settings that cannot be right, and one test a failure found."""

from dataclasses import replace

import pytest
from test_rules import settings

from anisefront.policy.actions import CancelAttempt, Fail, Reject, RejectionReason, SendToPeer, StartAttempt, Subscribe
from anisefront.policy.concurrency_limit import ConcurrencyLimit
from anisefront.policy.controller import Controller
from anisefront.policy.events import (
    Arrival,
    AttemptEnded,
    AttemptResult,
    ClientDisconnected,
    Endpoint,
    EndpointList,
    EndpointStatus,
    PeerMessage,
    ResponseStarted,
    TimerFired,
)
from anisefront.policy.fuzzy_controller import SET_CENTRES, FuzzyController, infer_output
from anisefront.policy.peer_codec import (
    MAX_BYTES,
    MAX_QUOTA_MESSAGES,
    EndpointObservation,
    QuotaMessage,
    QuotaMessageKind,
    customer_tag,
    decode,
    encode,
    latency_ratio_of,
    observation_of,
)
from anisefront.policy.settings import DeduplicationScope, Idempotency, Plan, RequestClass

ENDPOINT_LIST = EndpointList(tuple(Endpoint(f"s{n}", f"z{n % 2}", n % 4, EndpointStatus.READY) for n in range(6)))


def new_controller(**more):
    return Controller(settings(**more), 1)


def new_arrival(number, name="look", plan="rated", due=5000.0, customer="f", units=1):
    return Arrival(number, customer, name, plan, due, units, 0, 3)


def actions_of(kind, actions):
    return [action for action in actions if isinstance(action, kind)]


def attempt_ended(send, result, attempt=0, took=50.0, final=None):
    final = result is AttemptResult.OK if final is None else final
    return AttemptEnded(send.id, attempt, send.endpoint, took, result, final)


def test_ordinary_request_is_sent_and_ends():
    c = new_controller()
    sends = actions_of(StartAttempt, c.handle(1000, [ENDPOINT_LIST, new_arrival(1)]))
    assert [send.id for send in sends] == [1]
    assert not actions_of(Fail, c.handle(1050, [attempt_ended(sends[0], AttemptResult.OK)]))
    assert not c.requests and not c.concurrency_limit.in_flight


def test_error_is_tried_again_elsewhere_if_safe_and_failed_if_unsafe():
    c = new_controller()
    safe, unsafe = actions_of(StartAttempt, c.handle(1000, [ENDPOINT_LIST, new_arrival(1), new_arrival(2, "debit")]))
    if safe.id != 1:
        safe, unsafe = unsafe, safe
    actions = c.handle(1050, [attempt_ended(safe, AttemptResult.ERROR), attempt_ended(unsafe, AttemptResult.ERROR)])
    again = actions_of(StartAttempt, actions)
    assert [send.id for send in again] == [1] and again[0].endpoint != safe.endpoint
    assert actions_of(Fail, actions) == [Fail(2)]


def test_unsafe_is_tried_again_when_it_never_ran():
    c = new_controller()
    (send,) = actions_of(StartAttempt, c.handle(1000, [ENDPOINT_LIST, new_arrival(1, "debit")]))
    (again,) = actions_of(StartAttempt, c.handle(1010, [attempt_ended(send, AttemptResult.OVERLOADED)]))
    assert again.id == 1


def test_a_disproved_attempt_does_not_clear_one_that_may_have_run():
    """An error, then a full at the same server: the first may have run all the same."""
    c = Controller(settings(peer_messages_enabled=False), 1)
    one = EndpointList((Endpoint("s0", "z0", 0, EndpointStatus.READY),))
    (send,) = actions_of(StartAttempt, c.handle(1000, [one, new_arrival(1, "book", due=1900)]))
    (again,) = actions_of(StartAttempt, c.handle(1010, [attempt_ended(send, AttemptResult.ERROR)]))
    other = EndpointList(
        (Endpoint("s0", "z0", 0, EndpointStatus.DRAINING), Endpoint("s9", "z0", 3, EndpointStatus.READY))
    )
    actions = c.handle(1020, [other, attempt_ended(again, AttemptResult.OVERLOADED, 1)])
    assert not actions_of(StartAttempt, actions) and actions_of(Fail, actions) == [Fail(1)]


def test_odd_rounds_are_handled():
    c = new_controller()
    c.handle(1000, [EndpointList(()), EndpointList((), failed=True), TimerFired("never asked"), ClientDisconnected(77)])
    assert actions_of(
        Reject, c.handle(1001, [new_arrival(1, "no such class"), new_arrival(2, plan="no such plan")])
    ) == [
        Reject(1, 0.0, RejectionReason.INVALID),
        Reject(2, 0.0, RejectionReason.INVALID),
    ]
    assert actions_of(Reject, c.handle(1002, [new_arrival(3, due=900.0)])) == [Reject(3, 0.0, RejectionReason.INVALID)]
    c.handle(1003, [new_arrival(4)])  # no servers: held
    assert 4 in c.requests
    (send,) = actions_of(StartAttempt, c.handle(1004, [ENDPOINT_LIST]))
    assert actions_of(CancelAttempt, c.handle(1005, [ClientDisconnected(4)])) == [CancelAttempt(4, 0)]
    assert c.handle(1006, [ClientDisconnected(4), ResponseStarted(4, 0, send.endpoint)]) == []
    c.handle(
        1007,
        [
            attempt_ended(send, AttemptResult.OK),
            attempt_ended(send, AttemptResult.OK),
            attempt_ended(send, AttemptResult.ERROR, 3),
        ],
    )
    assert c.concurrency_limit.in_flight == 0 and not c.requests


def test_held_without_servers_is_refused_before_its_time_is_up():
    c = new_controller()
    c.handle(1000, [EndpointList(()), new_arrival(1, due=1600.0), new_arrival(2, "debit", due=1500)])
    refused = {}
    for now in range(1004, 1700, 4):
        refused.update((action.id, now) for action in actions_of(Reject, c.handle(now, [TimerFired("agenda")])))
    assert set(refused) == {1, 2} and refused[1] <= 1600 and refused[2] <= 1500


def test_held_work_is_given_up_before_its_aim_where_a_late_answer_is_worth_something():
    """Held to near its deadline it cost 0.3 of its worth, kept its client's connection and took new work's slots."""
    base = settings()
    kinds = tuple(replace(kind, late_priority_weight=0.2) for kind in base.classes)
    c = new_controller(classes=kinds)
    c.handle(1000, [EndpointList(()), new_arrival(1, due=6000.0)])
    refused = {}
    for now in range(1004, 2000, 4):
        refused.update((action.id, now) for action in actions_of(Reject, c.handle(now, [TimerFired("agenda")])))
    assert 1000 < refused[1] < 1000 + kinds[0].latency_objective_ms


def new_quota_message(kind, customer="f", serial=1, units=1.0, asked=0.0, class_index=0, plan_index=0):
    return QuotaMessage(kind, customer_tag(customer), serial, units, asked, class_index, plan_index)


def owner_of(customer, first=0, spread=3):
    return first + customer_tag(customer) % spread


def test_peer_bytes_that_cannot_be_read_change_nothing():
    c = new_controller()
    c.handle(1000, [ENDPOINT_LIST])
    good = encode(5, 1.0, [new_quota_message(QuotaMessageKind.DEBIT, units=4)], [])
    odd = [
        encode(5, 1.0, [new_quota_message(QuotaMessageKind.DEBIT, class_index=15)], []),
        encode(5, 1.0, [new_quota_message(QuotaMessageKind.REQUEST, plan_index=15)], []),
        encode(5, 1.0, [new_quota_message(QuotaMessageKind.GRANT), new_quota_message(QuotaMessageKind.QUEUED)], []),
        encode(5, 1.0, [], [EndpointObservation(77, 15, 15)]),
    ]
    bad_kind = bytearray(good)
    bad_kind[6] = 99
    for data in (b"", b"\x00", good[:-1], b"\xff" + good[1:], bytes(300), bytes(bad_kind), *odd):
        assert not actions_of(StartAttempt, c.handle(1001, [PeerMessage(1, data)]))
    c.handle(1001, [PeerMessage(9, good), PeerMessage(0, good)])
    assert not c.quota_owner.buckets and not c.requests
    c.handle(1001, [PeerMessage(1, good), PeerMessage(1, good)])  # repeated: counted once
    assert c.quota_owner.buckets[customer_tag("f")].level == pytest.approx(12 - 4, abs=0.1)


def test_messages_survive_a_round_trip_and_stay_small():
    items = [new_quota_message(QuotaMessageKind(1 + n % 6), f"c{n}", n, n / 16, 2.25, n % 16, 3) for n in range(100)]
    ratios = (0.01, 1.0, 2.0, float("inf"))
    sightings = [observation_of(f"s{n}", n, ratio) for n, ratio in enumerate(ratios)]
    data = encode(70000, 1.5, items, sightings)
    news = decode(data)
    assert len(data) <= MAX_BYTES and news.boot == 70000 & 0xFFFF and news.sustainable_attempts == 1.5
    assert news.quota_messages == tuple(items[:MAX_QUOTA_MESSAGES]) and news.observations == tuple(sightings)
    assert [latency_ratio_of(seen) for seen in news.observations] == [0.25, 1.0, 2.0, float("inf")]


@pytest.mark.parametrize(
    "bad, key",
    [
        (dict(classes=()), "classes"),
        (dict(plans=()), "plans"),
        (dict(gateways=0), "gateways"),
        (dict(number=3), "number"),
        (dict(max_attempts=0), "max_attempts"),
        (dict(warm_up_ms=-1), "warm_up_ms"),
    ],
)
def test_settings_that_cannot_be_right_are_named(bad, key):
    with pytest.raises(ValueError, match=key):
        settings(**bad)


def test_plans_and_classes_that_cannot_be_right_are_named():
    with pytest.raises(ValueError, match="rate_per_s"):
        Plan("p", rate_per_s=-1)
    with pytest.raises(ValueError, match="idempotency"):
        RequestClass("k", 1, 1, 1, "sometimes", deduplication_scope=DeduplicationScope.ALL)
    with pytest.raises(ValueError, match="latency_objective_ms"):
        RequestClass("k", float("nan"), 1, 1, Idempotency.IDEMPOTENT)


def test_fuzzy_surface_is_the_diagonal_table():
    assert infer_output(0, 0) == pytest.approx(0, abs=1e-9)
    for error in SET_CENTRES:
        for change in SET_CENTRES:
            value = infer_output(error, change)
            assert value == pytest.approx(-infer_output(-error, -change))
            assert (value > 0.1) == (error + change > 0) and (value < -0.1) == (error + change < 0)


def test_a_late_class_gains_share_and_an_early_one_keeps_it():
    share = FuzzyController(500, 0.3)
    for _ in range(10):
        share.end_period(100)
    assert share.share == 0.3
    for _ in range(10):
        share.end_period(3000)
    assert share.share > 0.3


def test_learned_answer_time_cannot_lock_a_class_out():
    """Refused on arrival, nothing is answered, so nothing would ever bring the learned time down."""
    c = new_controller()
    c.handle(1000, [ENDPOINT_LIST])
    c.response_times.by_class["look"] = 5000.0
    assert actions_of(StartAttempt, c.handle(1001, [new_arrival(1)]))


def test_window_is_shared_out_over_gateways():
    few, many = ConcurrencyLimit(1), ConcurrencyLimit(10)
    for window in (few, many):
        window.end_period(0, 20)
    assert few.limit > 5 * many.limit
    for window in (few, many):
        window.record_success(1000)
        window.end_period(100, 20)
    assert few.limit > 5 * many.limit


def test_a_cap_of_less_than_one_leaves_room_for_chance_but_not_for_a_steady_excess():
    """At one request a second a count scatters: held to its mean, much would wait for nothing."""
    window = ConcurrencyLimit(400)
    window.end_period(0, 40)
    assert window.limit < 2 <= window.headroom()
    for _ in range(3):
        window.record_attempt_started(0)
    for now in range(100, 3000, 100):
        window.end_period(now, 40)
    assert window.headroom() < 0


def test_below_the_cap_nothing_is_held_and_at_it_the_worthiest_leave_first():
    c = new_controller(gateways=1)
    c.handle(1000, [ENDPOINT_LIST])
    calm = [new_arrival(n, customer=f"c{n}") for n in range(1, 200)]
    first = actions_of(StartAttempt, c.handle(1001, calm))
    assert c.concurrency_limit.limit <= len(first) <= c.concurrency_limit.limit + 2
    assert len(c.admission.queue) == 199 - len(first)
    c.handle(1002, [new_arrival(500, "feed", customer="a"), new_arrival(501, "book", customer="b")])
    sent = actions_of(StartAttempt, c.handle(1010, [attempt_ended(send, AttemptResult.OK) for send in first[:3]]))
    assert sent[0].id == 501


def test_cap_on_attempts_out_is_kept_by_the_home_for_all_gateways():
    number = owner_of("o")
    c = new_controller(number=number)
    peer = (number + 1) % 3
    asks = [new_quota_message(QuotaMessageKind.REQUEST, "o", n, plan_index=2) for n in (1, 2, 3)]
    c.handle(1000, [ENDPOINT_LIST, PeerMessage(peer, encode(1, 1.0, asks, []))])
    assert (
        len(actions_of(StartAttempt, c.handle(1001, [new_arrival(n, plan="open", customer="o") for n in range(1, 9)])))
        == 1
    )
    free = encode(1, 1.0, [new_quota_message(QuotaMessageKind.REFUND, "o", 2, plan_index=2)], [])
    assert len(actions_of(StartAttempt, c.handle(1002, [PeerMessage(peer, free)]))) == 1


def test_home_lends_to_all_gateways_together_no_more_than_the_quota():
    """Hundreds of gateways with a slice each would pass many quotas; repeats change nothing."""
    c, tag = new_controller(gateways=300, number=7), customer_tag("f")
    c.handle(1000, [ENDPOINT_LIST])
    granted = set()
    for n in range(300):
        data = encode(1, 1.0, [new_quota_message(QuotaMessageKind.REQUEST, serial=9)], [])
        if n != 7:
            for tell in actions_of(SendToPeer, c.handle(1001 + n / 100, [PeerMessage(n, data), PeerMessage(n, data)])):
                news = decode(tell.data)
                granted |= {tell.receiver for told in news.quota_messages if told.kind is QuotaMessageKind.GRANT}
    # The class is worth half the worthiest: it leaves a quarter of the burst in store for that one.
    assert 8 <= len(granted) <= 10 and 3 <= c.quota_owner.buckets[tag].level < 4.1


def test_a_clients_repeat_leaves_a_reserve_to_first_tries():
    """Repeats come when most of their aim has gone by; lent to them, the quota is spent on late answers."""
    granted = {}
    for kind, worthiest in ((QuotaMessageKind.RETRY, 0), (QuotaMessageKind.REQUEST, 1)):
        c = new_controller(gateways=300, number=7)
        c.handle(1000, [ENDPOINT_LIST])
        asks = [new_quota_message(kind, serial=n, class_index=worthiest) for n in range(1, 16)]
        c.handle(1001, [PeerMessage(1, encode(1, 1.0, asks, []))])
        granted[kind] = len(c.quota_owner.buckets[customer_tag("f")].debits)
    assert granted[QuotaMessageKind.RETRY] <= 7 and granted[QuotaMessageKind.REQUEST] >= 11


def test_a_silent_home_is_asked_again_and_then_one_request_goes_on_credit():
    """A stalled home must not stop a quiet customer, and must not open its quota at every gateway either."""
    number = (owner_of("f") + 1) % 3
    c = new_controller(number=number)
    events, told, sent = [ENDPOINT_LIST, *(new_arrival(n, units=4, due=9000.0) for n in (1, 2, 3))], [], []
    for now in range(1000, 1500, 4):
        actions = c.handle(now, [*events, TimerFired("agenda")])
        events, told, sent = [], told + actions_of(SendToPeer, actions), sent + actions_of(StartAttempt, actions)
    kinds = [told.kind for tell in told for told in decode(tell.data).quota_messages]
    assert len(sent) == 1 and kinds.count(QuotaMessageKind.REQUEST) >= 6 and kinds.count(QuotaMessageKind.DEBIT) == 1


def sent_of(c, arrivals, until=1500):
    """What is sent of these by then, nothing being heard from anybody."""
    events, sent = [ENDPOINT_LIST, *arrivals], []
    for now in range(1000, until, 4):
        actions = c.handle(now, [*events, TimerFired("agenda")])
        events, sent = [], sent + actions_of(StartAttempt, actions)
    return sent


def test_with_short_aims_credit_still_comes_before_a_request_is_given_up():
    """Two questions of 150 ms each took longer than a request with an aim of 400 ms may wait: it was refused for a
    silent home, and the home was never found silent. With no peers at all nobody was served that is not at home."""
    number = (owner_of("f") + 1) % 3
    short = tuple(replace(kind, latency_objective_ms=400.0, deadline_ms=700.0) for kind in settings().classes)
    assert len(sent_of(new_controller(number=number, classes=short), [new_arrival(1, due=1700.0)])) == 1
    assert (
        len(sent_of(new_controller(number=number, classes=short), [new_arrival(n, due=1700.0) for n in (1, 2, 3)])) == 1
    )


def test_without_peers_nobody_is_asked_and_credit_is_given_at_once():
    number = (owner_of("f") + 1) % 3
    c = new_controller(number=number, peer_messages_enabled=False)
    assert len(sent_of(c, [new_arrival(n, due=1700.0) for n in (1, 2)], 1010)) == 1
    at_home = new_controller(number=owner_of("f"), peer_messages_enabled=False)
    assert len(sent_of(at_home, [new_arrival(n, due=1700.0) for n in (1, 2)], 1010)) == 2


def test_a_home_that_is_silent_among_many_that_speak_is_asked_on_and_gives_no_credit():
    """A home that hears more than its inbox takes seems gone: one request on credit at each gateway of a wide set was
    many times the burst."""
    number = (owner_of("f") + 1) % 3
    others = [n for n in range(3, 9) if n != number]
    c, told, sent = new_controller(number=number, gateways=9), [], []
    events = [ENDPOINT_LIST, new_arrival(1, units=4, due=9000.0)]
    for now in range(1000, 2000, 4):
        heard = [PeerMessage(other, encode(1, 1.0, [], [])) for other in others if now % 100 == 0]
        actions = c.handle(now, [*events, *heard, TimerFired("agenda")])
        events, told, sent = [], told + actions_of(SendToPeer, actions), sent + actions_of(StartAttempt, actions)
    kinds = [told.kind for tell in told for told in decode(tell.data).quota_messages]
    assert not sent and kinds.count(QuotaMessageKind.REQUEST) >= 3 and QuotaMessageKind.DEBIT not in kinds


def test_what_was_granted_and_not_used_goes_back():
    c = new_controller(number=(owner_of("f") + 1) % 3)
    tells = actions_of(SendToPeer, c.handle(1000, [EndpointList(()), new_arrival(1, units=4)]))
    (asked,) = [told for tell in tells for told in decode(tell.data).quota_messages]
    data = encode(1, 1.0, [asked._replace(kind=QuotaMessageKind.GRANT)], [])
    c.handle(1010, [PeerMessage(owner_of("f"), data)])
    tells = actions_of(SendToPeer, c.handle(1200, [ClientDisconnected(1), TimerFired("agenda")]))
    assert [told.kind for tell in tells for told in decode(tell.data).quota_messages] == [QuotaMessageKind.REFUND]


def test_cold_server_is_bounded_over_hundreds_of_gateways_even_after_a_stall():
    """Rule 4 counts all gateways together: one send from each of 400 would push it over."""
    cold = Endpoint("cold", "z0", 0, EndpointStatus.READY, 1.0, 50_000.0)
    count = 0
    for n in range(400):
        c = Controller(settings(number=n, gateways=400, peer_messages_enabled=False), n)
        c.handle(50_000, [EndpointList((*ENDPOINT_LIST.endpoints, cold))])
        burst = [Arrival(k, f"c{k}", "look", "rated", 53_400.0, 1, n, 1) for k in range(1, 4)]
        count += sum(send.endpoint == "cold" for send in actions_of(StartAttempt, c.handle(52_000, burst)))
    warm = 400 * 3 / 7
    assert 0 < count < 0.45 * 2 * warm


def test_fast_failer_does_not_attract_load():
    c = new_controller()
    now, sent, number = 1000.0, [], 0
    c.handle(now, [ENDPOINT_LIST])
    for _ in range(200):
        number, now = number + 1, now + 20
        for send in actions_of(
            StartAttempt, c.handle(now, [new_arrival(number, due=now + 4000, customer=f"c{number}")])
        ):
            sent.append(send.endpoint)
            result, took = (AttemptResult.ERROR, 2) if send.endpoint == "s1" else (AttemptResult.OK, 90)
            more = c.handle(now + 5, [attempt_ended(send, result, took=took)])
            for n, retry in enumerate(actions_of(StartAttempt, more)):
                c.handle(now + 10, [attempt_ended(retry, AttemptResult.OK, n + 1)])
    assert sent.count("s1") < len(sent) / 15


def test_ceiling_starts_empty_so_that_a_restart_grants_nothing_twice():
    c = new_controller(number=owner_of("k"))
    c.handle(1000, [ENDPOINT_LIST])
    assert not actions_of(StartAttempt, c.handle(1001, [new_arrival(1, plan="capped", customer="k")]))
    assert actions_of(StartAttempt, c.handle(1250, [TimerFired("agenda")]))


def test_only_the_home_is_told_and_nothing_without_news():
    c, told = new_controller(number=(owner_of("f") + 1) % 3), []
    c.handle(1000, [ENDPOINT_LIST])
    for now in range(1004, 3000, 4):
        events = [new_arrival(now, due=now + 1500.0)] if now == 1500 else []
        told += [tell.receiver for tell in actions_of(SendToPeer, c.handle(now, [*events, TimerFired("agenda")]))]
    assert set(told) == {owner_of("f")} and len(told) <= 4


def test_a_customer_that_repeats_without_end_leaves_room_in_its_homes_inbox():
    c = new_controller(number=(owner_of("f") + 1) % 3, inbox_per_s=20)
    c.handle(1000, [ENDPOINT_LIST, new_arrival(1)])
    wait = encode(1, 1.0, [new_quota_message(QuotaMessageKind.QUEUED, asked=400.0)], [])
    c.handle(1010, [PeerMessage(owner_of("f"), wait)])
    asked = 0
    for n in range(400):
        for tell in actions_of(SendToPeer, c.handle(1012 + n, [new_arrival(n + 2)])):
            asked += sum(told.kind is QuotaMessageKind.REQUEST for told in decode(tell.data).quota_messages)
    assert 0 < asked < 100


def test_work_for_one_request_does_not_grow_with_the_gateways():
    """Counted: actions for the same day at 4 and at 400 gateways."""
    counts = []
    for gateways in (4, 400):
        c = new_controller(gateways=gateways, number=1)
        c.handle(1000, [ENDPOINT_LIST])
        total = 0
        for now in range(1004, 3000, 4):
            came = Arrival(now, f"c{now}", "look", "rated", now + 1500.0, 1, 0, gateways)
            total += len(c.handle(now, [*([came] if now % 40 == 0 else []), TimerFired("agenda")]))
        counts.append(total)
    assert counts[1] < 1.5 * counts[0]


def test_discovery_that_must_be_asked_is_asked_and_asked_again():
    c = new_controller(subscription_required=True, poll_within_ms=4000)
    assert actions_of(Subscribe, c.handle(1000, [ENDPOINT_LIST]))
    c.handle(1010, [EndpointList((), failed=True)])
    assert actions_of(Subscribe, c.handle(2100, [TimerFired("agenda")]))


def test_a_server_that_refuses_at_once_draws_no_load_and_does_not_close_the_window():
    """It answers in no time, so it looks idle; and its refusals say nothing of the rest of the fleet."""
    for result in (AttemptResult.OVERLOADED, AttemptResult.CONNECT_FAILED):
        c = new_controller()
        now, sent = 1000.0, []
        c.handle(now, [ENDPOINT_LIST])
        for number in range(1, 300):
            now += 10
            sends = actions_of(
                StartAttempt, c.handle(now, [new_arrival(number, due=now + 1400, customer=f"c{number}")])
            )
            while sends:
                send = sends.pop()
                sent.append(send.endpoint)
                bad = send.endpoint == "s2"
                attempt = c.requests[send.id].attempts_started - 1
                sends += actions_of(
                    StartAttempt, c.handle(now + 2, [attempt_ended(send, result if bad else AttemptResult.OK, attempt)])
                )
        assert sent.count("s2") < len(sent) / 15
        assert c.concurrency_limit.backoff == 1.0


def test_an_old_report_of_an_idle_server_draws_no_herd():
    """Gateways that all believed reports of a second ago sent all to one server, then none for as long."""
    c = new_controller(gateways=1)
    servers = EndpointList(tuple(Endpoint(f"s{n}", "z0", 0, EndpointStatus.READY) for n in range(6)))
    sends = actions_of(StartAttempt, c.handle(1000, [servers, *[new_arrival(n, customer=f"f{n}") for n in range(6)]]))
    loads = [(0.9, 30.0) if n else (0.0, 0.0) for n in range(6)]  # the last report says: all busy but one
    done = [
        AttemptEnded(send.id, 0, send.endpoint, 50.0, AttemptResult.OK, True, 0.0, 0, load)
        for send, load in zip(sends, loads, strict=True)
    ]
    c.handle(1050, done)
    c.handle(1950, [new_arrival(n, customer=f"g{n}") for n in range(10, 22)])
    assert max(state.in_flight for state in c.endpoints.known.values()) <= 4


def test_a_server_that_has_just_told_of_a_free_place_is_compared_though_chance_passes_it_by():
    """One of many gateways sees few answers: of a hundred servers chance compares two, and some stay idle by others
    that are crowded."""
    c = new_controller(gateways=1)
    c.handle(1000, [EndpointList(tuple(Endpoint(f"s{n}", "z0", 0, EndpointStatus.READY) for n in range(100)))])
    for n in range(30):  # what servers carry as a rule
        (send,) = actions_of(StartAttempt, c.handle(1000 + n, [new_arrival(n, customer=f"f{n}")]))
        c.handle(1000 + n, [AttemptEnded(send.id, 0, send.endpoint, 50.0, AttemptResult.OK, True, 0.0, 0, (0.9, 6.0))])
    chosen = set()
    for n in range(30, 40):
        (send,) = actions_of(StartAttempt, c.handle(1000 + n, [new_arrival(n, customer=f"f{n}")]))
        chosen.add(send.endpoint)
        c.handle(1000 + n, [AttemptEnded(send.id, 0, send.endpoint, 50.0, AttemptResult.OK, True, 0.0, 0, (0.1, 0.0))])
    assert len(chosen) <= 2  # the first that told of being idle is taken again


def test_a_crowded_server_is_not_taken_for_a_slow_one():
    """All gateways that hear of it would flee it at once and crowd the others: some servers stood idle by turns."""
    c = new_controller(gateways=1)
    c.handle(1000, [EndpointList(tuple(Endpoint(f"s{n}", "z0", 0, EndpointStatus.READY) for n in range(2)))])
    for now in range(1000, 9000, 200):
        for send in actions_of(
            StartAttempt,
            c.handle(now, [new_arrival(now + n, customer=f"f{now + n}", due=now + 4000.0) for n in (0, 1)]),
        ):
            crowded = 12.0 if send.endpoint == "s0" else 0.0
            c.handle(
                now + 100,
                [
                    AttemptEnded(
                        send.id, 0, send.endpoint, 25.0 * (4 + crowded), AttemptResult.OK, True, 0.0, 0, (0.9, crowded)
                    )
                ],
            )
    assert all(0.8 < state.health.latency_ratio_at(9000) < 1.25 for state in c.endpoints.known.values())


def test_a_server_that_was_given_large_requests_is_not_taken_for_a_slow_one():
    """Answers take longer the more units; judged by one usual time, chance made servers fast or slow by turns."""
    c = new_controller(gateways=1)
    c.handle(1000, [EndpointList(tuple(Endpoint(f"s{n}", "z0", 0, EndpointStatus.READY) for n in range(2)))])
    now = 1000
    for number in range(200):
        now += 1000
        units = 1 + 3 * (number % 2)
        (send,) = actions_of(
            StartAttempt, c.handle(now, [new_arrival(number, units=units, customer=f"f{number}", due=now + 4000.0)])
        )
        c.handle(now + 50 * units, [attempt_ended(send, AttemptResult.OK, took=50.0 * units)])
    times = c.response_times
    assert 49 < times.expected_ms("look", 1) < 52 and 198 < times.expected_ms("look", 4) < 202
    assert all(0.95 < state.health.latency_ratio_at(now) < 1.05 for state in c.endpoints.known.values())


def test_servers_are_compared_by_the_work_that_is_out_not_by_how_many_attempts():
    c = new_controller(gateways=1)
    c.response_times._by_size["look"].update({1: 50.0, 4: 200.0})
    c.response_times._overall_ms = 50.0
    c.handle(1000, [EndpointList(tuple(Endpoint(f"s{n}", "z0", 0, EndpointStatus.READY) for n in range(2)))])
    sends = [
        actions_of(StartAttempt, c.handle(1001 + n, [new_arrival(n, units=4 if not n else 1, customer=f"f{n}")]))[0]
        for n in range(4)
    ]
    assert sends[0].endpoint not in {send.endpoint for send in sends[1:]}
    loads = {state.load for state in c.endpoints.known.values()}
    assert loads == {4.0, 3.0}
    for send in sends:
        c.handle(1100, [attempt_ended(send, AttemptResult.OK)])
    assert {state.load for state in c.endpoints.known.values()} == {0.0}


def test_a_server_that_restarts_under_its_old_id_keeps_its_count_of_attempts_out():
    c = new_controller()
    (send,) = actions_of(StartAttempt, c.handle(1000, [ENDPOINT_LIST, new_arrival(1)]))
    old = c.endpoints.known[send.endpoint].endpoint
    back = Endpoint(old.id, old.zone, old.cell, EndpointStatus.READY, 1.0, 1005.0)
    c.handle(1010, [EndpointList((back,), complete=False)])
    c.handle(1020, [attempt_ended(send, AttemptResult.RESET)])
    assert c.endpoints.known[send.endpoint].in_flight == 0
