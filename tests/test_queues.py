"""What is held, waits and is known: the same order as the plain way, and a cost that hangs on what changes."""

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


def request(number, kind, came=0.0):
    return Request(Arrival(number, "c", kind.name, "rated", 1e9), kind, None, None, came, 0.0, 1.0)


@pytest.mark.parametrize("seed", range(20))
def test_held_work_leaves_in_the_order_of_the_plain_way(seed):
    rng, held, plain, kinds = random.Random(seed), RequestQueue(), [], settings().classes[:3]
    for number in range(600):
        one = request(number, rng.choice(kinds), rng.choice((1.5, 2.25, 3.0)))
        group = QueueGroup(one.request_class.name, rng.random() < 0.7)
        one.priority_weight = rng.choice((1.0, 2.0))
        held.add(one, group)
        plain.append(((-one.priority_weight, -one.arrived_ms), number, group, one))
        while plain and rng.random() < 0.45:
            if rng.random() < 0.5:
                gone = plain.pop(rng.randrange(len(plain)))[3]
            else:
                groups = {QueueGroup(kind.name, inside) for kind in rng.sample(kinds, 2) for inside in (True, False)}
                mine = [entry for entry in plain if entry[2] in groups]
                wanted = min(mine, default=None, key=lambda entry: entry[:2])
                gone = held.first(groups)
                assert gone is (wanted and wanted[3])
                if gone is None:
                    continue
                plain.remove(wanted)
            held.remove(gone)
        assert len(held) == len(plain)
        for kind in kinds:
            mine = [entry[3] for entry in plain if entry[3].request_class is kind]
            assert held.count_of(kind.name) == len(mine)
            assert held.total_age_ms(kind.name, 10.0) == pytest.approx(sum(10.0 - each.arrived_ms for each in mine))


def test_what_left_held_work_is_thrown_away():
    held, kind = RequestQueue(), settings().classes[0]
    group = QueueGroup(kind.name, True)
    many = [request(number, kind) for number in range(40_000)]
    for one in many:
        held.add(one, group)
    for one in many[1:]:  # none of them ever first
        held.remove(one)
    assert len(held) == 1 and len(held._heaps[group]) <= 2 + 2 * MIN_REMOVED and held.first([group]) is many[0]


@pytest.mark.parametrize("seed", range(20))
def test_tries_at_home_are_served_in_the_order_of_the_plain_way(seed):
    rng, waiting, plain, now = random.Random(seed), QuotaRequestQueue(), [], 0.0
    for number in range(500):
        now += rng.choice((0.0, 1.0, 3.0))
        ask_ = QuotaRequest(
            QuotaRequestKey(0, 0, number), None, rng.choice((0.0, 2.0, 5.0)), now, now + rng.choice((5.0, 40.0, 90.0))
        )
        waiting.add(ask_)
        plain.append(ask_)
        if rng.random() < 0.3:
            gone = rng.choice(plain)
            waiting.remove(gone.key)
            plain.remove(gone)
        while rng.random() < 0.4:
            plain = sorted(
                (each for each in plain if each.expires_ms > now),
                key=lambda each: (each.priority_weight, each.received_ms),
            )
            first = waiting.first(now)
            assert first is (plain[-1] if plain else None)
            if plain:
                waiting.remove(plain.pop().key)
        waiting.evict_expired(now)
        assert len(waiting) <= len(plain) + 60
    waiting.evict_expired(now + 100)
    assert not waiting and not waiting._by_priority


def many_held(count, plan="none"):
    """A gateway that holds so many requests for the quota of 20 customers."""
    kind = RequestClass("look", 60_000, 300_000, 1.0, Idempotency.IDEMPOTENT)
    c = Controller(
        settings(
            gateways=1,
            peer_messages_enabled=False,
            plans=(Plan("none", 0.001, 1), Plan("wide", 1e6, 1e6)),
            classes=(kind,),
            inbox_per_s=0,
        ),
        1,
    )
    c.handle(1000, [EndpointList(tuple(Endpoint(f"s{n}", "z0", 0, EndpointStatus.READY) for n in range(20)))])
    for first in range(0, count, 1000):
        for send in actions_of(
            StartAttempt,
            c.handle(1000, [Arrival(n, f"c{n % 20}", "look", plan, 1e6) for n in range(first, first + 1000)]),
        ):
            c.handle(1000, [AttemptEnded(send.id, 0, send.endpoint, 1.0, AttemptResult.OK, True)])
    return c


def counted_steps(call):
    """Python calls that a call makes: a cost that no machine's noise is in."""
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


def test_a_turn_costs_what_it_changes_and_not_what_is_held():
    costs = []
    for held in (1000, 20_000):
        c = many_held(held)
        steps = []
        for turn in range(20):
            number = 10**6 + turn
            count, actions = counted_steps(
                lambda number=number, turn=turn, c=c: c.handle(1001 + turn, [Arrival(number, "w", "look", "wide", 1e6)])
            )
            (send,) = actions_of(StartAttempt, actions)
            c.handle(1001 + turn, [AttemptEnded(send.id, 0, send.endpoint, 1.0, AttemptResult.OK, True)])
            steps.append(count)
        costs.append(sorted(steps)[10])
    assert costs[1] < 1.2 * costs[0], costs


def test_all_clients_leaving_and_a_refill_let_everything_go():
    c = many_held(20_000)
    assert len(c.requests) > 19_000
    store_waits = sum(len(store.queue) for store in c.quota_owner.buckets.values())
    assert store_waits > 19_000
    c.handle(1002, [ClientDisconnected(number) for number in list(c.requests)])
    assert not c.requests and not len(c.admission.queue) and not c.quota_borrower.pending
    assert not any(account.in_flight for account in c.quota_borrower.accounts.values())


def test_quiet_customers_are_let_go_and_those_that_owe_are_kept():
    c = new_controller(gateways=1, peer_messages_enabled=False)
    number, now = 0, 1000.0
    c.handle(now, [ENDPOINT_LIST])
    sends = []
    for number in range(2000):
        now += 1
        sends += actions_of(StartAttempt, c.handle(now, [new_arrival(number, customer=f"n{number}")]))
    busy = sends.pop()
    c.handle(now, [AttemptEnded(send.id, 0, send.endpoint, 5.0, AttemptResult.OK, True) for send in sends])
    assert len(c.quota_borrower.accounts) == len(c.quota_borrower.tag_holders) == 2000
    held = c.quota_borrower.accounts[f"n{busy.id}"]
    held.local_bucket = -0.5  # overdrawn
    for _ in range(1500):
        now += 100
        c.handle(now, [TimerFired("agenda")])
    assert (
        f"n{busy.id}" in c.quota_borrower.accounts
        and len(c.quota_borrower.accounts) < 3
        and len(c.quota_owner.buckets) < 3
    )
    assert len(c.quota_borrower.tag_holders) == len(c.quota_borrower.accounts)


def test_a_home_keeps_a_store_with_a_lease_out_a_try_waiting_or_a_level_that_is_not_full():
    c, now = new_controller(gateways=300, number=7), 1000.0
    c.handle(now, [ENDPOINT_LIST])
    leased, empty, waits, quiet = (customer_tag(name) for name in ("leased", "empty", "waits", "quiet"))
    rows = [
        new_quota_message(QuotaMessageKind.REQUEST, "leased", 1, plan_index=2),
        new_quota_message(QuotaMessageKind.DEBIT, "empty", 2, units=4),
        *(new_quota_message(QuotaMessageKind.REQUEST, "waits", 10 + n) for n in range(9)),
        new_quota_message(QuotaMessageKind.REQUEST, "quiet", 3),
    ]
    c.handle(now, [PeerMessage(1, encode(1, 1.0, rows, []))])
    stores = c.quota_owner.buckets
    assert {leased, empty, waits, quiet} <= set(stores)
    stores[leased].leases = dict.fromkeys(stores[leased].leases, now + 200_000)
    stores[empty].plan, stores[empty].level = Plan("slow", 0.0001, 10), 5.0
    for ask_ in stores[waits].queue._by_key.values():
        ask_.expires_ms = now + 200_000
    for _ in range(900):
        now += 100
        c.handle(now, [TimerFired("agenda")])
    assert quiet not in stores and {leased, empty} <= set(stores)
    assert len(stores[leased].leases) == 1 and stores[empty].level == pytest.approx(5, abs=0.2)


def test_a_flood_of_names_is_refused_at_the_cap_and_pushes_out_nobody():
    c = new_controller(gateways=1, peer_messages_enabled=False, max_customers=50)
    c.handle(1000, [ENDPOINT_LIST])
    first = actions_of(StartAttempt, c.handle(1001, [new_arrival(1, customer="owner")]))
    actions = c.handle(1002, [new_arrival(n, customer=f"flood-{n}") for n in range(2, 400)])
    refused = actions_of(Reject, actions)
    assert (
        len(c.quota_borrower.accounts) == 50
        and {each.reason for each in refused} == {RejectionReason.CAPACITY}
        and first
    )
    assert len(refused) >= 398 - 49 and "owner" in c.quota_borrower.accounts
    home = new_controller(gateways=300, number=7, max_customers=10)
    home.handle(1000, [ENDPOINT_LIST])
    rows = [new_quota_message(QuotaMessageKind.REQUEST, f"n{n}", n + 1) for n in range(13)]
    told = [
        each.kind
        for tell in actions_of(SendToPeer, home.handle(1001, [PeerMessage(1, encode(1, 1.0, rows, []))]))
        for each in decode(tell.data).quota_messages
    ]
    assert told.count(QuotaMessageKind.GRANT) == 10 and told.count(QuotaMessageKind.QUEUED) == 3
    assert len(home.quota_owner.buckets) == 10


def test_a_server_that_leaves_is_looked_up_by_its_own_attempts():
    c = new_controller()
    sends = actions_of(
        StartAttempt, c.handle(1000, [ENDPOINT_LIST, *(new_arrival(n, customer=f"c{n}") for n in range(40))])
    )
    for state in c.endpoints.known.values():
        assert {n for n, each in c.requests.items() if state in each.attempts_in_flight.values()} == state.request_ids
    c.handle(1010, [AttemptEnded(send.id, 0, send.endpoint, 5.0, AttemptResult.OK, True) for send in sends])
    assert not any(state.request_ids for state in c.endpoints.known.values())


def test_a_refill_lets_many_go_at_once_and_each_turn_stays_small():
    """What waited for quota goes out as the window lets it, in order; nobody is passed over and none goes twice."""
    c, now = many_held(5000), 1002.0
    waited = set(c.requests)
    raised = replace(c.settings, plans=(Plan("none", 1e6, 1e6), c.settings.plans[1]))
    out, sent, biggest = [], {send.id for send in actions_of(StartAttempt, c.handle(now, [raised]))}, 0
    while len(sent) < len(waited) and now < 20_000:
        now += 5.0
        actions = c.handle(now, [TimerFired("agenda"), *out])
        sends = actions_of(StartAttempt, actions)
        assert not sent & {send.id for send in sends}
        sent |= {send.id for send in sends}
        biggest = max(biggest, len(sends))
        out = [AttemptEnded(send.id, 0, send.endpoint, 4.0, AttemptResult.OK, True) for send in sends]
    # Raised quotas let go at once what had waited for the old ones; the window lets it out.
    assert sent == waited and biggest < 1500 and now < 5000, (len(sent), biggest, now)


def test_all_due_in_one_millisecond_are_all_answered_in_that_turn():
    c = new_controller(
        gateways=1, peer_messages_enabled=False, plans=(Plan("rated", 0.001, 1), *settings().plans[1:]), inbox_per_s=0
    )
    c.handle(1000, [ENDPOINT_LIST, *(new_arrival(n, customer=f"c{n % 9}", deadline_at_ms=1700.0) for n in range(5000))])
    answered = {}
    for now in range(1001, 1701):
        for action in actions_of(Reject, c.handle(float(now), [TimerFired("agenda")])):
            assert action.id not in answered
            answered[action.id] = now
    assert len(answered) + len(c.requests) == 5000 and not [
        n for n, each in c.requests.items() if not each.attempts_started
    ]
    assert max(answered.values()) < 1700
