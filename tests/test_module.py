"""The controller alone: unusual but legal events, invalid settings, and one test for each fault that was found."""

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
    """A controller with the test settings."""
    return Controller(settings(**more), 1)


def new_arrival(number, class_name="look", plan="rated", deadline_at_ms=5000.0, customer="f", units=1):
    return Arrival(number, customer, class_name, plan, deadline_at_ms, units, 0, 3)


def actions_of(kind, actions):
    """The actions of one type."""
    return [action for action in actions if isinstance(action, kind)]


def attempt_ended(start, result, attempt=0, duration_ms=50.0, final=None):
    final = result is AttemptResult.OK if final is None else final
    return AttemptEnded(start.id, attempt, start.endpoint, duration_ms, result, final)


def test_an_ordinary_request_is_dispatched_and_ends():
    controller = new_controller()
    starts = actions_of(StartAttempt, controller.handle(1000, [ENDPOINT_LIST, new_arrival(1)]))
    assert [start.id for start in starts] == [1]
    assert not actions_of(Fail, controller.handle(1050, [attempt_ended(starts[0], AttemptResult.OK)]))
    assert not controller.requests and not controller.concurrency_limit.in_flight


def test_an_error_is_retried_elsewhere_if_idempotent_and_fails_otherwise():
    controller = new_controller()
    idempotent, non_idempotent = actions_of(
        StartAttempt, controller.handle(1000, [ENDPOINT_LIST, new_arrival(1), new_arrival(2, "debit")])
    )
    if idempotent.id != 1:
        idempotent, non_idempotent = non_idempotent, idempotent
    actions = controller.handle(
        1050, [attempt_ended(idempotent, AttemptResult.ERROR), attempt_ended(non_idempotent, AttemptResult.ERROR)]
    )
    retries = actions_of(StartAttempt, actions)
    assert [start.id for start in retries] == [1] and retries[0].endpoint != idempotent.endpoint
    assert actions_of(Fail, actions) == [Fail(2)]


def test_a_non_idempotent_request_is_retried_if_it_was_never_executed():
    controller = new_controller()
    (start,) = actions_of(StartAttempt, controller.handle(1000, [ENDPOINT_LIST, new_arrival(1, "debit")]))
    (retry,) = actions_of(StartAttempt, controller.handle(1010, [attempt_ended(start, AttemptResult.OVERLOADED)]))
    assert retry.id == 1


def test_an_overload_response_does_not_rule_out_that_an_earlier_attempt_was_executed():
    """After an error of the first attempt, an overload response to the second proves nothing about the first."""
    controller = Controller(settings(peer_messages_enabled=False), 1)
    one = EndpointList((Endpoint("s0", "z0", 0, EndpointStatus.READY),))
    (start,) = actions_of(StartAttempt, controller.handle(1000, [one, new_arrival(1, "book", deadline_at_ms=1900)]))
    (retry,) = actions_of(StartAttempt, controller.handle(1010, [attempt_ended(start, AttemptResult.ERROR)]))
    other = EndpointList(
        (Endpoint("s0", "z0", 0, EndpointStatus.DRAINING), Endpoint("s9", "z0", 3, EndpointStatus.READY))
    )
    actions = controller.handle(1020, [other, attempt_ended(retry, AttemptResult.OVERLOADED, 1)])
    assert not actions_of(StartAttempt, actions) and actions_of(Fail, actions) == [Fail(1)]


def test_unusual_event_batches_are_handled():
    controller = new_controller()
    controller.handle(
        1000, [EndpointList(()), EndpointList((), failed=True), TimerFired("never set"), ClientDisconnected(77)]
    )
    assert actions_of(
        Reject, controller.handle(1001, [new_arrival(1, "no such class"), new_arrival(2, plan="no such plan")])
    ) == [
        Reject(1, 0.0, RejectionReason.INVALID),
        Reject(2, 0.0, RejectionReason.INVALID),
    ]
    assert actions_of(Reject, controller.handle(1002, [new_arrival(3, deadline_at_ms=900.0)])) == [
        Reject(3, 0.0, RejectionReason.INVALID)
    ]
    controller.handle(1003, [new_arrival(4)])  # queued: there are no endpoints
    assert 4 in controller.requests
    (start,) = actions_of(StartAttempt, controller.handle(1004, [ENDPOINT_LIST]))
    assert actions_of(CancelAttempt, controller.handle(1005, [ClientDisconnected(4)])) == [CancelAttempt(4, 0)]
    assert controller.handle(1006, [ClientDisconnected(4), ResponseStarted(4, 0, start.endpoint)]) == []
    controller.handle(
        1007,
        [
            attempt_ended(start, AttemptResult.OK),
            attempt_ended(start, AttemptResult.OK),
            attempt_ended(start, AttemptResult.ERROR, 3),
        ],
    )
    assert controller.concurrency_limit.in_flight == 0 and not controller.requests


def test_a_request_queued_without_endpoints_is_rejected_before_its_deadline():
    controller = new_controller()
    controller.handle(
        1000, [EndpointList(()), new_arrival(1, deadline_at_ms=1600.0), new_arrival(2, "debit", deadline_at_ms=1500)]
    )
    rejected = {}
    for now in range(1004, 1700, 4):
        rejected.update(
            (action.id, now) for action in actions_of(Reject, controller.handle(now, [TimerFired("agenda")]))
        )
    assert set(rejected) == {1, 2} and rejected[1] <= 1600 and rejected[2] <= 1500


def test_a_queued_request_is_shed_before_its_latency_objective_even_if_late_responses_have_priority():
    """Queued until close to its deadline, it lost 0.3 of its value and took capacity from new requests.

    It also occupied its client's connection for all that time.
    """
    base = settings()
    classes = tuple(replace(each, late_priority_weight=0.2) for each in base.classes)
    controller = new_controller(classes=classes)
    controller.handle(1000, [EndpointList(()), new_arrival(1, deadline_at_ms=6000.0)])
    rejected = {}
    for now in range(1004, 2000, 4):
        rejected.update(
            (action.id, now) for action in actions_of(Reject, controller.handle(now, [TimerFired("agenda")]))
        )
    assert 1000 < rejected[1] < 1000 + classes[0].latency_objective_ms


def new_quota_message(kind, customer="f", serial=1, units=1.0, demand_per_s=0.0, class_index=0, plan_index=0):
    return QuotaMessage(kind, customer_tag(customer), serial, units, demand_per_s, class_index, plan_index)


def owner_of(customer, first=0, spread=3):
    """The number of the gateway that owns a customer's quota."""
    return first + customer_tag(customer) % spread


def test_malformed_peer_messages_change_nothing():
    controller = new_controller()
    controller.handle(1000, [ENDPOINT_LIST])
    valid = encode(5, 1.0, [new_quota_message(QuotaMessageKind.DEBIT, units=4)], [])
    unknown = [
        encode(5, 1.0, [new_quota_message(QuotaMessageKind.DEBIT, class_index=15)], []),
        encode(5, 1.0, [new_quota_message(QuotaMessageKind.REQUEST, plan_index=15)], []),
        encode(5, 1.0, [new_quota_message(QuotaMessageKind.GRANT), new_quota_message(QuotaMessageKind.QUEUED)], []),
        encode(5, 1.0, [], [EndpointObservation(77, 15, 15)]),
    ]
    unknown_kind = bytearray(valid)
    unknown_kind[6] = 99
    for data in (b"", b"\x00", valid[:-1], b"\xff" + valid[1:], bytes(300), bytes(unknown_kind), *unknown):
        assert not actions_of(StartAttempt, controller.handle(1001, [PeerMessage(1, data)]))
    controller.handle(1001, [PeerMessage(9, valid), PeerMessage(0, valid)])
    assert not controller.quota_owner.buckets and not controller.requests
    controller.handle(1001, [PeerMessage(1, valid), PeerMessage(1, valid)])  # a duplicate, counted once
    assert controller.quota_owner.buckets[customer_tag("f")].level == pytest.approx(12 - 4, abs=0.1)


def test_peer_messages_survive_a_round_trip_within_the_size_limit():
    messages = [new_quota_message(QuotaMessageKind(1 + n % 6), f"c{n}", n, n / 16, 2.25, n % 16, 3) for n in range(100)]
    ratios = (0.01, 1.0, 2.0, float("inf"))
    observations = [observation_of(f"s{n}", n, ratio) for n, ratio in enumerate(ratios)]
    data = encode(70000, 1.5, messages, observations)
    report = decode(data)
    assert len(data) <= MAX_BYTES and report.boot == 70000 & 0xFFFF and report.sustainable_attempts == 1.5
    assert report.quota_messages == tuple(messages[:MAX_QUOTA_MESSAGES]) and report.observations == tuple(observations)
    assert [latency_ratio_of(each) for each in report.observations] == [0.25, 1.0, 2.0, float("inf")]


@pytest.mark.parametrize(
    "invalid, key",
    [
        (dict(classes=()), "classes"),
        (dict(plans=()), "plans"),
        (dict(gateways=0), "gateways"),
        (dict(number=3), "number"),
        (dict(max_attempts=0), "max_attempts"),
        (dict(warm_up_ms=-1), "warm_up_ms"),
    ],
)
def test_invalid_settings_are_named(invalid, key):
    with pytest.raises(ValueError, match=key):
        settings(**invalid)


def test_invalid_plans_and_classes_are_named():
    with pytest.raises(ValueError, match="rate_per_s"):
        Plan("p", rate_per_s=-1)
    with pytest.raises(ValueError, match="idempotency"):
        RequestClass("k", 1, 1, 1, "sometimes", deduplication_scope=DeduplicationScope.ALL)
    with pytest.raises(ValueError, match="latency_objective_ms"):
        RequestClass("k", float("nan"), 1, 1, Idempotency.IDEMPOTENT)


def test_the_fuzzy_output_follows_the_diagonal_rule_base():
    assert infer_output(0, 0) == pytest.approx(0, abs=1e-9)
    for error in SET_CENTRES:
        for change in SET_CENTRES:
            value = infer_output(error, change)
            assert value == pytest.approx(-infer_output(-error, -change))
            assert (value > 0.1) == (error + change > 0) and (value < -0.1) == (error + change < 0)


def test_a_class_with_long_delays_gains_share_and_one_with_short_delays_keeps_it():
    controller = FuzzyController(500, 0.3)
    for _ in range(10):
        controller.end_period(100)
    assert controller.share == 0.3
    for _ in range(10):
        controller.end_period(3000)
    assert controller.share > 0.3


def test_a_long_expected_response_time_cannot_shed_a_class_for_good():
    """If all requests were shed on arrival, no response would ever reduce the expected response time."""
    controller = new_controller()
    controller.handle(1000, [ENDPOINT_LIST])
    controller.response_times.by_class["look"] = 5000.0
    assert actions_of(StartAttempt, controller.handle(1001, [new_arrival(1)]))


def test_the_concurrency_limit_is_divided_among_gateways():
    few, many = ConcurrencyLimit(1), ConcurrencyLimit(10)
    for limit in (few, many):
        limit.end_period(0, 20)
    assert few.limit > 5 * many.limit
    for limit in (few, many):
        limit.record_success(1000)
        limit.end_period(100, 20)
    assert few.limit > 5 * many.limit


def test_a_limit_below_one_allows_bursts_but_no_lasting_excess():
    """Arrivals at one a second are random: with a strict limit of their mean many would be queued needlessly."""
    limit = ConcurrencyLimit(400)
    limit.end_period(0, 40)
    assert limit.limit < 2 <= limit.headroom()
    for _ in range(3):
        limit.record_attempt_started(0)
    for now in range(100, 3000, 100):
        limit.end_period(now, 40)
    assert limit.headroom() < 0


def test_at_the_limit_the_request_of_the_highest_priority_is_dispatched_first():
    controller = new_controller(gateways=1)
    controller.handle(1000, [ENDPOINT_LIST])
    arrivals = [new_arrival(n, customer=f"c{n}") for n in range(1, 200)]
    first = actions_of(StartAttempt, controller.handle(1001, arrivals))
    assert controller.concurrency_limit.limit <= len(first) <= controller.concurrency_limit.limit + 2
    assert len(controller.admission.queue) == 199 - len(first)
    controller.handle(1002, [new_arrival(500, "feed", customer="a"), new_arrival(501, "book", customer="b")])
    started = actions_of(
        StartAttempt, controller.handle(1010, [attempt_ended(start, AttemptResult.OK) for start in first[:3]])
    )
    assert started[0].id == 501


def test_the_quota_owner_limits_requests_in_flight_over_all_gateways():
    number = owner_of("o")
    controller = new_controller(number=number)
    peer = (number + 1) % 3
    requests = [new_quota_message(QuotaMessageKind.REQUEST, "o", n, plan_index=2) for n in (1, 2, 3)]
    controller.handle(1000, [ENDPOINT_LIST, PeerMessage(peer, encode(1, 1.0, requests, []))])
    assert (
        len(
            actions_of(
                StartAttempt, controller.handle(1001, [new_arrival(n, plan="open", customer="o") for n in range(1, 9)])
            )
        )
        == 1
    )
    refund = encode(1, 1.0, [new_quota_message(QuotaMessageKind.REFUND, "o", 2, plan_index=2)], [])
    assert len(actions_of(StartAttempt, controller.handle(1002, [PeerMessage(peer, refund)]))) == 1


def test_the_quota_owner_grants_all_gateways_together_no_more_than_the_quota():
    """With a part of the quota each, hundreds of gateways would exceed it; duplicate messages change nothing."""
    controller, tag = new_controller(gateways=300, number=7), customer_tag("f")
    controller.handle(1000, [ENDPOINT_LIST])
    granted = set()
    for n in range(300):
        data = encode(1, 1.0, [new_quota_message(QuotaMessageKind.REQUEST, serial=9)], [])
        if n != 7:
            for action in actions_of(
                SendToPeer, controller.handle(1001 + n / 100, [PeerMessage(n, data), PeerMessage(n, data)])
            ):
                report = decode(action.data)
                granted |= {
                    action.receiver for message in report.quota_messages if message.kind is QuotaMessageKind.GRANT
                }
    # The class has half of the highest priority weight, so it leaves a quarter of the burst to that one.
    assert 8 <= len(granted) <= 10 and 3 <= controller.quota_owner.buckets[tag].level < 4.1


def test_a_clients_retry_leaves_a_reserve_for_first_requests():
    """Clients retry late in their latency objective; units granted to them would be spent on late responses."""
    granted = {}
    for kind, class_index in ((QuotaMessageKind.RETRY, 0), (QuotaMessageKind.REQUEST, 1)):
        controller = new_controller(gateways=300, number=7)
        controller.handle(1000, [ENDPOINT_LIST])
        requests = [new_quota_message(kind, serial=n, class_index=class_index) for n in range(1, 16)]
        controller.handle(1001, [PeerMessage(1, encode(1, 1.0, requests, []))])
        granted[kind] = len(controller.quota_owner.buckets[customer_tag("f")].debits)
    assert granted[QuotaMessageKind.RETRY] <= 7 and granted[QuotaMessageKind.REQUEST] >= 11


def test_an_unresponsive_owner_is_sent_the_request_again_and_then_one_overdraft_is_granted():
    """A stalled owner must neither block a customer nor let every gateway exceed its quota."""
    number = (owner_of("f") + 1) % 3
    controller = new_controller(number=number)
    events, sent, started = (
        [ENDPOINT_LIST, *(new_arrival(n, units=4, deadline_at_ms=9000.0) for n in (1, 2, 3))],
        [],
        [],
    )
    for now in range(1000, 1500, 4):
        actions = controller.handle(now, [*events, TimerFired("agenda")])
        events, sent, started = [], sent + actions_of(SendToPeer, actions), started + actions_of(StartAttempt, actions)
    kinds = [message.kind for action in sent for message in decode(action.data).quota_messages]
    assert len(started) == 1 and kinds.count(QuotaMessageKind.REQUEST) >= 6 and kinds.count(QuotaMessageKind.DEBIT) == 1


def starts_without_replies(controller, arrivals, until=1500):
    """The attempts started by then for these arrivals, while no peer replies."""
    events, started = [ENDPOINT_LIST, *arrivals], []
    for now in range(1000, until, 4):
        actions = controller.handle(now, [*events, TimerFired("agenda")])
        events, started = [], started + actions_of(StartAttempt, actions)
    return started


def test_with_short_latency_objectives_the_overdraft_comes_before_the_request_is_shed():
    """Guards against requests shed while their owner was unresponsive.

    Two messages with a time-out of 150 ms each took longer than a request with a latency objective of 400 ms may be
    queued, so it was shed before the owner counted as unresponsive. Without any peer, only requests at their owner
    were served.
    """
    number = (owner_of("f") + 1) % 3
    short = tuple(replace(kind, latency_objective_ms=400.0, deadline_ms=700.0) for kind in settings().classes)
    assert (
        len(
            starts_without_replies(
                new_controller(number=number, classes=short), [new_arrival(1, deadline_at_ms=1700.0)]
            )
        )
        == 1
    )
    assert (
        len(
            starts_without_replies(
                new_controller(number=number, classes=short), [new_arrival(n, deadline_at_ms=1700.0) for n in (1, 2, 3)]
            )
        )
        == 1
    )


def test_without_peer_messages_no_owner_is_asked_and_an_overdraft_is_granted_at_once():
    number = (owner_of("f") + 1) % 3
    controller = new_controller(number=number, peer_messages_enabled=False)
    assert len(starts_without_replies(controller, [new_arrival(n, deadline_at_ms=1700.0) for n in (1, 2)], 1010)) == 1
    owner = new_controller(number=owner_of("f"), peer_messages_enabled=False)
    assert len(starts_without_replies(owner, [new_arrival(n, deadline_at_ms=1700.0) for n in (1, 2)], 1010)) == 2


def test_no_overdraft_is_granted_for_an_unresponsive_owner_while_most_peers_respond():
    """An owner whose inbox overflows seems to have failed.

    One overdraft at each of the many gateways of a customer added up to many times the burst.
    """
    number = (owner_of("f") + 1) % 3
    peers = [n for n in range(3, 9) if n != number]
    controller, sent, started = new_controller(number=number, gateways=9), [], []
    events = [ENDPOINT_LIST, new_arrival(1, units=4, deadline_at_ms=9000.0)]
    for now in range(1000, 2000, 4):
        incoming = [PeerMessage(peer, encode(1, 1.0, [], [])) for peer in peers if now % 100 == 0]
        actions = controller.handle(now, [*events, *incoming, TimerFired("agenda")])
        events, sent, started = [], sent + actions_of(SendToPeer, actions), started + actions_of(StartAttempt, actions)
    kinds = [message.kind for action in sent for message in decode(action.data).quota_messages]
    assert not started and kinds.count(QuotaMessageKind.REQUEST) >= 3 and QuotaMessageKind.DEBIT not in kinds


def test_units_that_were_granted_and_not_used_are_refunded():
    controller = new_controller(number=(owner_of("f") + 1) % 3)
    sent = actions_of(SendToPeer, controller.handle(1000, [EndpointList(()), new_arrival(1, units=4)]))
    (request,) = [message for action in sent for message in decode(action.data).quota_messages]
    data = encode(1, 1.0, [request._replace(kind=QuotaMessageKind.GRANT)], [])
    controller.handle(1010, [PeerMessage(owner_of("f"), data)])
    sent = actions_of(SendToPeer, controller.handle(1200, [ClientDisconnected(1), TimerFired("agenda")]))
    assert [message.kind for action in sent for message in decode(action.data).quota_messages] == [
        QuotaMessageKind.REFUND
    ]


def test_attempts_at_a_warming_up_endpoint_are_bounded_over_hundreds_of_gateways_even_after_a_stall():
    """Rule 4 counts all gateways together: one attempt of each of 400 would overload the endpoint."""
    warming_up = Endpoint("cold", "z0", 0, EndpointStatus.READY, 1.0, 50_000.0)
    count = 0
    for n in range(400):
        controller = Controller(settings(number=n, gateways=400, peer_messages_enabled=False), n)
        controller.handle(50_000, [EndpointList((*ENDPOINT_LIST.endpoints, warming_up))])
        burst = [Arrival(k, f"c{k}", "look", "rated", 53_400.0, 1, n, 1) for k in range(1, 4)]
        count += sum(start.endpoint == "cold" for start in actions_of(StartAttempt, controller.handle(52_000, burst)))
    attempts_per_endpoint = 400 * 3 / 7
    assert 0 < count < 0.45 * 2 * attempts_per_endpoint


def test_an_endpoint_that_fails_fast_does_not_attract_load():
    controller = new_controller()
    now, started, number = 1000.0, [], 0
    controller.handle(now, [ENDPOINT_LIST])
    for _ in range(200):
        number, now = number + 1, now + 20
        for start in actions_of(
            StartAttempt,
            controller.handle(now, [new_arrival(number, deadline_at_ms=now + 4000, customer=f"c{number}")]),
        ):
            started.append(start.endpoint)
            result, duration_ms = (AttemptResult.ERROR, 2) if start.endpoint == "s1" else (AttemptResult.OK, 90)
            actions = controller.handle(now + 5, [attempt_ended(start, result, duration_ms=duration_ms)])
            for n, retry in enumerate(actions_of(StartAttempt, actions)):
                controller.handle(now + 10, [attempt_ended(retry, AttemptResult.OK, n + 1)])
    assert started.count("s1") < len(started) / 15


def test_ceiling_starts_empty_so_that_a_restart_grants_nothing_twice():
    controller = new_controller(number=owner_of("k"))
    controller.handle(1000, [ENDPOINT_LIST])
    assert not actions_of(StartAttempt, controller.handle(1001, [new_arrival(1, plan="capped", customer="k")]))
    assert actions_of(StartAttempt, controller.handle(1250, [TimerFired("agenda")]))


def test_only_the_quota_owner_is_sent_messages_and_none_without_a_request():
    controller, receivers = new_controller(number=(owner_of("f") + 1) % 3), []
    controller.handle(1000, [ENDPOINT_LIST])
    for now in range(1004, 3000, 4):
        events = [new_arrival(now, deadline_at_ms=now + 1500.0)] if now == 1500 else []
        receivers += [
            action.receiver
            for action in actions_of(SendToPeer, controller.handle(now, [*events, TimerFired("agenda")]))
        ]
    assert set(receivers) == {owner_of("f")} and len(receivers) <= 4


def test_a_customer_far_beyond_its_quota_does_not_fill_its_owners_inbox():
    controller = new_controller(number=(owner_of("f") + 1) % 3, inbox_per_s=20)
    controller.handle(1000, [ENDPOINT_LIST, new_arrival(1)])
    queued = encode(1, 1.0, [new_quota_message(QuotaMessageKind.QUEUED, demand_per_s=400.0)], [])
    controller.handle(1010, [PeerMessage(owner_of("f"), queued)])
    requested = 0
    for n in range(400):
        for action in actions_of(SendToPeer, controller.handle(1012 + n, [new_arrival(n + 2)])):
            requested += sum(message.kind is QuotaMessageKind.REQUEST for message in decode(action.data).quota_messages)
    assert 0 < requested < 100


def test_the_actions_per_request_do_not_grow_with_the_gateways():
    """Compares the number of actions for the same arrivals at 4 and at 400 gateways."""
    counts = []
    for gateways in (4, 400):
        controller = new_controller(gateways=gateways, number=1)
        controller.handle(1000, [ENDPOINT_LIST])
        total = 0
        for now in range(1004, 3000, 4):
            arrival = Arrival(now, f"c{now}", "look", "rated", now + 1500.0, 1, 0, gateways)
            total += len(controller.handle(now, [*([arrival] if now % 40 == 0 else []), TimerFired("agenda")]))
        counts.append(total)
    assert counts[1] < 1.5 * counts[0]


def test_a_subscription_is_requested_and_renewed_after_a_failed_list():
    controller = new_controller(subscription_required=True, poll_within_ms=4000)
    assert actions_of(Subscribe, controller.handle(1000, [ENDPOINT_LIST]))
    controller.handle(1010, [EndpointList((), failed=True)])
    assert actions_of(Subscribe, controller.handle(2100, [TimerFired("agenda")]))


def test_an_endpoint_that_rejects_at_once_attracts_no_load_and_does_not_reduce_the_limit():
    """It responds at once, so it appears idle, and its overload responses say nothing about other endpoints."""
    for result in (AttemptResult.OVERLOADED, AttemptResult.CONNECT_FAILED):
        controller = new_controller()
        now, started = 1000.0, []
        controller.handle(now, [ENDPOINT_LIST])
        for number in range(1, 300):
            now += 10
            starts = actions_of(
                StartAttempt,
                controller.handle(now, [new_arrival(number, deadline_at_ms=now + 1400, customer=f"c{number}")]),
            )
            while starts:
                start = starts.pop()
                started.append(start.endpoint)
                is_rejecting = start.endpoint == "s2"
                attempt = controller.requests[start.id].attempts_started - 1
                starts += actions_of(
                    StartAttempt,
                    controller.handle(
                        now + 2, [attempt_ended(start, result if is_rejecting else AttemptResult.OK, attempt)]
                    ),
                )
        assert started.count("s2") < len(started) / 15
        assert controller.concurrency_limit.backoff == 1.0


def test_an_old_report_of_an_idle_endpoint_does_not_attract_a_herd():
    """Gateways that trusted reports of a second ago all chose the same endpoint, then avoided it for as long."""
    controller = new_controller(gateways=1)
    endpoints = EndpointList(tuple(Endpoint(f"s{n}", "z0", 0, EndpointStatus.READY) for n in range(6)))
    starts = actions_of(
        StartAttempt, controller.handle(1000, [endpoints, *[new_arrival(n, customer=f"f{n}") for n in range(6)]])
    )
    loads = [(0.9, 30.0) if n else (0.0, 0.0) for n in range(6)]  # by the last reports all endpoints but one are loaded
    ended = [
        AttemptEnded(start.id, 0, start.endpoint, 50.0, AttemptResult.OK, True, 0.0, 0, load)
        for start, load in zip(starts, loads, strict=True)
    ]
    controller.handle(1050, ended)
    controller.handle(1950, [new_arrival(n, customer=f"g{n}") for n in range(10, 22)])
    assert max(state.in_flight for state in controller.endpoints.known.values()) <= 4


def test_an_endpoint_with_a_recent_report_is_compared_even_if_it_is_not_sampled():
    """One of many gateways gets few responses, and compares two of a hundred endpoints.

    With a random sample alone, some endpoints stayed idle while others were overloaded.
    """
    controller = new_controller(gateways=1)
    controller.handle(1000, [EndpointList(tuple(Endpoint(f"s{n}", "z0", 0, EndpointStatus.READY) for n in range(100)))])
    for n in range(30):  # the usual load of an endpoint
        (start,) = actions_of(StartAttempt, controller.handle(1000 + n, [new_arrival(n, customer=f"f{n}")]))
        controller.handle(
            1000 + n, [AttemptEnded(start.id, 0, start.endpoint, 50.0, AttemptResult.OK, True, 0.0, 0, (0.9, 6.0))]
        )
    chosen = set()
    for n in range(30, 40):
        (start,) = actions_of(StartAttempt, controller.handle(1000 + n, [new_arrival(n, customer=f"f{n}")]))
        chosen.add(start.endpoint)
        controller.handle(
            1000 + n, [AttemptEnded(start.id, 0, start.endpoint, 50.0, AttemptResult.OK, True, 0.0, 0, (0.1, 0.0))]
        )
    assert len(chosen) <= 2  # the first endpoint that reported to be idle is chosen again


def test_a_loaded_endpoint_does_not_count_as_slow():
    """Otherwise all gateways avoided a loaded endpoint at once and overloaded others, while some were idle."""
    controller = new_controller(gateways=1)
    controller.handle(1000, [EndpointList(tuple(Endpoint(f"s{n}", "z0", 0, EndpointStatus.READY) for n in range(2)))])
    for now in range(1000, 9000, 200):
        for start in actions_of(
            StartAttempt,
            controller.handle(
                now, [new_arrival(now + n, customer=f"f{now + n}", deadline_at_ms=now + 4000.0) for n in (0, 1)]
            ),
        ):
            others_load = 12.0 if start.endpoint == "s0" else 0.0
            controller.handle(
                now + 100,
                [
                    AttemptEnded(
                        start.id,
                        0,
                        start.endpoint,
                        25.0 * (4 + others_load),
                        AttemptResult.OK,
                        True,
                        0.0,
                        0,
                        (0.9, others_load),
                    )
                ],
            )
    assert all(0.8 < state.health.latency_ratio_at(9000) < 1.25 for state in controller.endpoints.known.values())


def test_an_endpoint_with_large_requests_does_not_count_as_slow():
    """Responses to more units take longer; compared with one mean, endpoints counted as fast or slow by chance."""
    controller = new_controller(gateways=1)
    controller.handle(1000, [EndpointList(tuple(Endpoint(f"s{n}", "z0", 0, EndpointStatus.READY) for n in range(2)))])
    now = 1000
    for number in range(200):
        now += 1000
        units = 1 + 3 * (number % 2)
        (start,) = actions_of(
            StartAttempt,
            controller.handle(
                now, [new_arrival(number, units=units, customer=f"f{number}", deadline_at_ms=now + 4000.0)]
            ),
        )
        controller.handle(now + 50 * units, [attempt_ended(start, AttemptResult.OK, duration_ms=50.0 * units)])
    times = controller.response_times
    assert 49 < times.expected_ms("look", 1) < 52 and 198 < times.expected_ms("look", 4) < 202
    assert all(0.95 < state.health.latency_ratio_at(now) < 1.05 for state in controller.endpoints.known.values())


def test_endpoints_are_compared_by_their_load_and_not_by_their_number_of_attempts():
    controller = new_controller(gateways=1)
    controller.response_times._by_size["look"].update({1: 50.0, 4: 200.0})
    controller.response_times._overall_ms = 50.0
    controller.handle(1000, [EndpointList(tuple(Endpoint(f"s{n}", "z0", 0, EndpointStatus.READY) for n in range(2)))])
    starts = [
        actions_of(
            StartAttempt, controller.handle(1001 + n, [new_arrival(n, units=4 if not n else 1, customer=f"f{n}")])
        )[0]
        for n in range(4)
    ]
    assert starts[0].endpoint not in {start.endpoint for start in starts[1:]}
    loads = {state.load for state in controller.endpoints.known.values()}
    assert loads == {4.0, 3.0}
    for start in starts:
        controller.handle(1100, [attempt_ended(start, AttemptResult.OK)])
    assert {state.load for state in controller.endpoints.known.values()} == {0.0}


def test_an_endpoint_that_restarts_under_its_id_keeps_its_count_of_attempts_in_flight():
    controller = new_controller()
    (start,) = actions_of(StartAttempt, controller.handle(1000, [ENDPOINT_LIST, new_arrival(1)]))
    old = controller.endpoints.known[start.endpoint].endpoint
    restarted = Endpoint(old.id, old.zone, old.cell, EndpointStatus.READY, 1.0, 1005.0)
    controller.handle(1010, [EndpointList((restarted,), complete=False)])
    controller.handle(1020, [attempt_ended(start, AttemptResult.RESET)])
    assert controller.endpoints.known[start.endpoint].in_flight == 0
