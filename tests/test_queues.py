"""Queues, quota buckets and accounts: their order against a reference, their cost, and what is evicted."""

import random
from dataclasses import replace

import pytest
from test_module import ENDPOINT_LIST, new_arrival, new_controller, new_quota_message, actions_of
from test_rules import settings

from anisefront.policy.actions import Reject, RejectionReason, SendToPeer, StartAttempt
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
    TimerFired,
)
from anisefront.policy.peer_codec import QuotaMessageKind, customer_tag, decode, encode
from anisefront.policy.quota_request_queue import QuotaRequest, QuotaRequestKey, QuotaRequestQueue
from anisefront.policy.request import Request
from anisefront.policy.request_queue import MIN_REMOVED, QueueGroup, RequestQueue
from anisefront.policy.settings import Idempotency, Plan, RequestClass


def request(number, request_class, arrived_ms=0.0):
    return Request(
        Arrival(number, "c", request_class.name, "rated", 1e9), request_class, None, None, arrived_ms, 0.0, 1.0
    )


@pytest.mark.parametrize("seed", range(20))
def test_queued_requests_are_dispatched_in_the_order_of_a_reference_queue(seed):
    rng, queue, reference, classes = random.Random(seed), RequestQueue(), [], settings().classes[:3]
    for number in range(600):
        one = request(number, rng.choice(classes), rng.choice((1.5, 2.25, 3.0)))
        group = QueueGroup(one.request_class.name, rng.random() < 0.7)
        one.priority_weight = rng.choice((1.0, 2.0))
        queue.add(one, group)
        reference.append(((-one.priority_weight, -one.arrived_ms), number, group, one))
        while reference and rng.random() < 0.45:
            if rng.random() < 0.5:
                removed = reference.pop(rng.randrange(len(reference)))[3]
            else:
                groups = {
                    QueueGroup(request_class.name, within_quota)
                    for request_class in rng.sample(classes, 2)
                    for within_quota in (True, False)
                }
                matching = [entry for entry in reference if entry[2] in groups]
                expected = min(matching, default=None, key=lambda entry: entry[:2])
                removed = queue.first(groups)
                assert removed is (expected and expected[3])
                if removed is None:
                    continue
                reference.remove(expected)
            queue.remove(removed)
        assert len(queue) == len(reference)
        for request_class in classes:
            matching = [entry[3] for entry in reference if entry[3].request_class is request_class]
            assert queue.count_of(request_class.name) == len(matching)
            assert queue.total_age_ms(request_class.name, 10.0) == pytest.approx(
                sum(10.0 - each.arrived_ms for each in matching)
            )


def test_entries_of_removed_requests_are_dropped():
    queue, request_class = RequestQueue(), settings().classes[0]
    group = QueueGroup(request_class.name, True)
    many = [request(number, request_class) for number in range(40_000)]
    for one in many:
        queue.add(one, group)
    for one in many[1:]:  # none of them is ever at the top of the heap
        queue.remove(one)
    assert len(queue) == 1 and len(queue._heaps[group]) <= 2 + 2 * MIN_REMOVED and queue.first([group]) is many[0]


@pytest.mark.parametrize("seed", range(20))
def test_quota_requests_are_granted_in_the_order_of_a_reference_queue(seed):
    rng, queue, reference, now = random.Random(seed), QuotaRequestQueue(), [], 0.0
    for number in range(500):
        now += rng.choice((0.0, 1.0, 3.0))
        quota_request = QuotaRequest(
            QuotaRequestKey(0, 0, number), None, rng.choice((0.0, 2.0, 5.0)), now, now + rng.choice((5.0, 40.0, 90.0))
        )
        queue.add(quota_request)
        reference.append(quota_request)
        if rng.random() < 0.3:
            removed = rng.choice(reference)
            queue.remove(removed.key)
            reference.remove(removed)
        while rng.random() < 0.4:
            reference = sorted(
                (each for each in reference if each.expires_ms > now),
                key=lambda each: (each.priority_weight, each.received_ms),
            )
            first = queue.first(now)
            assert first is (reference[-1] if reference else None)
            if reference:
                queue.remove(reference.pop().key)
        queue.evict_expired(now)
        assert len(queue) <= len(reference) + 60
    queue.evict_expired(now + 100)
    assert not queue and not queue._by_priority


def controller_with_queued(count, plan="none"):
    """A controller with so many requests queued for the quota of 20 customers."""
    request_class = RequestClass("look", 60_000, 300_000, 1.0, Idempotency.IDEMPOTENT)
    controller = Controller(
        settings(
            gateways=1,
            peer_messages_enabled=False,
            plans=(Plan("none", 0.001, 1), Plan("wide", 1e6, 1e6)),
            classes=(request_class,),
            inbox_per_s=0,
        ),
        1,
    )
    controller.handle(1000, [EndpointList(tuple(Endpoint(f"s{n}", "z0", 0, EndpointStatus.READY) for n in range(20)))])
    for first in range(0, count, 1000):
        for start in actions_of(
            StartAttempt,
            controller.handle(1000, [Arrival(n, f"c{n % 20}", "look", plan, 1e6) for n in range(first, first + 1000)]),
        ):
            controller.handle(1000, [AttemptEnded(start.id, 0, start.endpoint, 1.0, AttemptResult.OK, True)])
    return controller


def count_calls(call):
    """The number of Python calls within a call, a cost without the noise of the machine, and its result."""
    import sys

    count = [0]

    def trace(frame, event, argument):
        count[0] += event in ("call", "c_call")

    sys.setprofile(trace)
    try:
        result = call()
    finally:
        sys.setprofile(None)
    return count[0], result


def test_the_cost_of_a_batch_does_not_depend_on_the_number_of_queued_requests():
    costs = []
    for queued in (1000, 20_000):
        controller = controller_with_queued(queued)
        counts_per_batch = []
        for batch in range(20):
            number = 10**6 + batch
            count, actions = count_calls(
                lambda number=number, batch=batch, controller=controller: controller.handle(
                    1001 + batch, [Arrival(number, "w", "look", "wide", 1e6)]
                )
            )
            (start,) = actions_of(StartAttempt, actions)
            controller.handle(1001 + batch, [AttemptEnded(start.id, 0, start.endpoint, 1.0, AttemptResult.OK, True)])
            counts_per_batch.append(count)
        costs.append(sorted(counts_per_batch)[10])
    assert costs[1] < 1.2 * costs[0], costs


def test_after_all_clients_have_disconnected_no_request_is_left():
    controller = controller_with_queued(20_000)
    assert len(controller.requests) > 19_000
    queued_requests = sum(len(bucket.queue) for bucket in controller.quota_owner.buckets.values())
    assert queued_requests > 19_000
    controller.handle(1002, [ClientDisconnected(number) for number in list(controller.requests)])
    assert not controller.requests and not len(controller.admission.queue) and not controller.quota_borrower.pending
    assert not any(account.in_flight for account in controller.quota_borrower.accounts.values())


def test_idle_accounts_are_evicted_and_those_in_use_are_kept():
    controller = new_controller(gateways=1, peer_messages_enabled=False)
    number, now = 0, 1000.0
    controller.handle(now, [ENDPOINT_LIST])
    starts = []
    for number in range(2000):
        now += 1
        starts += actions_of(StartAttempt, controller.handle(now, [new_arrival(number, customer=f"n{number}")]))
    open_request = starts.pop()
    controller.handle(now, [AttemptEnded(start.id, 0, start.endpoint, 5.0, AttemptResult.OK, True) for start in starts])
    assert len(controller.quota_borrower.accounts) == len(controller.quota_borrower.tag_holders) == 2000
    account = controller.quota_borrower.accounts[f"n{open_request.id}"]
    account.local_bucket = -0.5  # overdrawn
    for _ in range(1500):
        now += 100
        controller.handle(now, [TimerFired("agenda")])
    assert (
        f"n{open_request.id}" in controller.quota_borrower.accounts
        and len(controller.quota_borrower.accounts) < 3
        and len(controller.quota_owner.buckets) < 3
    )
    assert len(controller.quota_borrower.tag_holders) == len(controller.quota_borrower.accounts)


def test_a_bucket_with_a_lease_or_a_low_level_is_not_evicted():
    controller, now = new_controller(gateways=300, number=7), 1000.0
    controller.handle(now, [ENDPOINT_LIST])
    leased, empty, waiting, idle = (customer_tag(name) for name in ("leased", "empty", "waits", "quiet"))
    messages = [
        new_quota_message(QuotaMessageKind.REQUEST, "leased", 1, plan_index=2),
        new_quota_message(QuotaMessageKind.DEBIT, "empty", 2, units=4),
        *(new_quota_message(QuotaMessageKind.REQUEST, "waits", 10 + n) for n in range(9)),
        new_quota_message(QuotaMessageKind.REQUEST, "quiet", 3),
    ]
    controller.handle(now, [PeerMessage(1, encode(1, 1.0, messages, []))])
    buckets = controller.quota_owner.buckets
    assert {leased, empty, waiting, idle} <= set(buckets)
    buckets[leased].leases = dict.fromkeys(buckets[leased].leases, now + 200_000)
    buckets[empty].plan, buckets[empty].level = Plan("slow", 0.0001, 10), 5.0
    for quota_request in buckets[waiting].queue._by_key.values():
        quota_request.expires_ms = now + 200_000
    for _ in range(900):
        now += 100
        controller.handle(now, [TimerFired("agenda")])
    assert idle not in buckets and {leased, empty} <= set(buckets)
    assert len(buckets[leased].leases) == 1 and buckets[empty].level == pytest.approx(5, abs=0.2)


def test_a_flood_of_customers_is_rejected_at_the_limit_and_evicts_nobody():
    controller = new_controller(gateways=1, peer_messages_enabled=False, max_customers=50)
    controller.handle(1000, [ENDPOINT_LIST])
    first = actions_of(StartAttempt, controller.handle(1001, [new_arrival(1, customer="owner")]))
    actions = controller.handle(1002, [new_arrival(n, customer=f"flood-{n}") for n in range(2, 400)])
    rejected = actions_of(Reject, actions)
    assert (
        len(controller.quota_borrower.accounts) == 50
        and {each.reason for each in rejected} == {RejectionReason.CAPACITY}
        and first
    )
    assert len(rejected) >= 398 - 49 and "owner" in controller.quota_borrower.accounts
    owner = new_controller(gateways=300, number=7, max_customers=10)
    owner.handle(1000, [ENDPOINT_LIST])
    messages = [new_quota_message(QuotaMessageKind.REQUEST, f"n{n}", n + 1) for n in range(13)]
    replies = [
        each.kind
        for action in actions_of(SendToPeer, owner.handle(1001, [PeerMessage(1, encode(1, 1.0, messages, []))]))
        for each in decode(action.data).quota_messages
    ]
    assert replies.count(QuotaMessageKind.GRANT) == 10 and replies.count(QuotaMessageKind.QUEUED) == 3
    assert len(owner.quota_owner.buckets) == 10


def test_each_endpoint_knows_the_requests_with_an_attempt_at_it():
    controller = new_controller()
    starts = actions_of(
        StartAttempt, controller.handle(1000, [ENDPOINT_LIST, *(new_arrival(n, customer=f"c{n}") for n in range(40))])
    )
    for state in controller.endpoints.known.values():
        assert {
            n for n, each in controller.requests.items() if state in each.attempts_in_flight.values()
        } == state.request_ids
    controller.handle(
        1010, [AttemptEnded(start.id, 0, start.endpoint, 5.0, AttemptResult.OK, True) for start in starts]
    )
    assert not any(state.request_ids for state in controller.endpoints.known.values())


def test_after_a_refill_many_requests_are_dispatched_in_small_batches():
    """Requests that waited for quota are dispatched within the concurrency limit, each exactly once."""
    controller, now = controller_with_queued(5000), 1002.0
    queued = set(controller.requests)
    raised_settings = replace(controller.settings, plans=(Plan("none", 1e6, 1e6), controller.settings.plans[1]))
    ended, started, most_starts = (
        [],
        {start.id for start in actions_of(StartAttempt, controller.handle(now, [raised_settings]))},
        0,
    )
    while len(started) < len(queued) and now < 20_000:
        now += 5.0
        actions = controller.handle(now, [TimerFired("agenda"), *ended])
        starts = actions_of(StartAttempt, actions)
        assert not started & {start.id for start in starts}
        started |= {start.id for start in starts}
        most_starts = max(most_starts, len(starts))
        ended = [AttemptEnded(start.id, 0, start.endpoint, 4.0, AttemptResult.OK, True) for start in starts]
    # After the quotas were raised all waiting requests are granted at once, and dispatched within the limit.
    assert started == queued and most_starts < 1500 and now < 5000, (len(started), most_starts, now)


def test_requests_with_the_same_deadline_are_all_answered_by_it():
    controller = new_controller(
        gateways=1, peer_messages_enabled=False, plans=(Plan("rated", 0.001, 1), *settings().plans[1:]), inbox_per_s=0
    )
    controller.handle(
        1000, [ENDPOINT_LIST, *(new_arrival(n, customer=f"c{n % 9}", deadline_at_ms=1700.0) for n in range(5000))]
    )
    rejected_ms = {}
    for now in range(1001, 1701):
        for action in actions_of(Reject, controller.handle(float(now), [TimerFired("agenda")])):
            assert action.id not in rejected_ms
            rejected_ms[action.id] = now
    assert len(rejected_ms) + len(controller.requests) == 5000 and not [
        n for n, each in controller.requests.items() if not each.attempts_started
    ]
    assert max(rejected_ms.values()) < 1700
