"""While the home of a customer's quota is gone another of its set lends: by the module, by random schedules, and by
processes that are killed and cut off."""

import json
import time

import pytest
from processes import GatewayProcesses
from test_module import ENDPOINT_LIST, new_arrival, new_controller, owner_of, actions_of
from test_rules import SimulatedCluster, settings

from anisefront.cli.config import checked
from anisefront.gateway.routing import first_gateway
from anisefront.gateway.routing import LISTED_PREFIX
from anisefront.policy.actions import SendToPeer, StartAttempt
from anisefront.policy.events import PeerMessage, PeersUnreachable, TimerFired
from anisefront.policy.peer_codec import QuotaMessageKind, customer_tag, decode, encode
from anisefront.policy.quota_borrower import Lender, QuotaBorrower
from anisefront.policy.quota_parameters import RESERVE_FRACTION
from anisefront.policy.settings import Plan
from benchmarks.scale import partition

HOME = owner_of("f")
NEXT, LAST = (HOME + 1) % 3, (HOME + 2) % 3
OUTSIDE = 4  # of five gatekeepers one that is not of the set


def told(actions):
    """Who was told what, and the items."""
    return [
        (tell.receiver, item) for tell in actions_of(SendToPeer, actions) for item in decode(tell.data).quota_messages
    ]


def asked(c, now, number, **more):
    """Whom a new request asks."""
    seen = told(c.handle(now, [new_arrival(number, deadline_at_ms=now + 4000.0, **more)]))
    assert {item.kind for _, item in seen} <= {QuotaMessageKind.REQUEST}
    return [receiver for receiver, _ in seen]


@pytest.mark.parametrize(
    "gone, whom",
    [((), HOME), ((HOME,), NEXT), ((HOME, NEXT), LAST), ((NEXT, LAST), HOME), ((NEXT,), HOME), ((3,), HOME)],
)
def test_the_next_reachable_instance_of_the_set_is_asked(gone, whom):
    c = new_controller(gateways=5, number=OUTSIDE)
    c.handle(1000, [ENDPOINT_LIST, PeersUnreachable(frozenset(gone))])
    assert asked(c, 1001, 1) == [whom]
    c.handle(1002, [PeersUnreachable(frozenset())])
    assert asked(c, 1003, 2) == [HOME]


def test_an_instance_that_reaches_no_other_grants_to_itself():
    c = new_controller(gateways=5, number=OUTSIDE)
    c.handle(1000, [ENDPOINT_LIST, PeersUnreachable(frozenset(range(4)))])
    actions = c.handle(1001, [new_arrival(1)])
    assert not actions_of(SendToPeer, actions) and [send.id for send in actions_of(StartAttempt, actions)] == [1]


@pytest.mark.parametrize("plan", ["capped", "open"])
def test_ceilings_and_slots_are_never_granted_by_another(plan):
    c = new_controller(gateways=5, number=OUTSIDE)
    c.handle(1000, [ENDPOINT_LIST, PeersUnreachable(frozenset({HOME}))])
    assert asked(c, 1001, 1, plan=plan) == [HOME]


def test_a_unit_costs_more_the_fewer_instances_are_reachable_but_can_still_be_granted():
    drawn = []
    for gone in ({HOME}, {HOME, NEXT, 3}, set()):
        for units in (1, 4):
            c = new_controller(gateways=5, number=OUTSIDE)
            c.handle(1000, [ENDPOINT_LIST, PeersUnreachable(frozenset(gone))])
            drawn += [item.units for _, item in told(c.handle(1001, [new_arrival(1, units=units)]))]
    assert drawn == [1.25, 5.0, 2.5, RESERVE_FRACTION * 12, 1.0, 4.0]


def test_a_request_that_waits_for_an_unreachable_owner_asks_the_next_and_returns_the_late_grant():
    c = new_controller(gateways=5, number=OUTSIDE)
    first = told(c.handle(1000, [ENDPOINT_LIST, new_arrival(1)]))
    assert [receiver for receiver, _ in first] == [HOME]
    again = []
    for now in range(1004, 1160, 4):
        again += told(c.handle(now, [PeersUnreachable(frozenset({HOME})), TimerFired("agenda")]))
    assert {receiver for receiver, _ in again} == {NEXT}

    def word(sender, item):
        data = encode(1, 1.0, [item._replace(kind=QuotaMessageKind.GRANT)], [])
        return c.handle(1160, [PeerMessage(sender, data), TimerFired("agenda")])

    late = word(HOME, first[0][1])
    assert not actions_of(StartAttempt, late) and [(who, item.kind) for who, item in told(late)] == [
        (HOME, QuotaMessageKind.REFUND)
    ]
    assert [send.id for send in actions_of(StartAttempt, word(NEXT, again[0][1]))] == [1]


# ---- searched, and each guard taken out is found --------------------------------------------------


# A ceiling far under the quota, so that it is what binds.
LOW = Plan("capped", 100, 100, 0, 1.5, 0.5, 0.1, ceiling_per_s=4, ceiling_burst=12, ceiling_slack=1)


def town(seed):
    """Views that are right, wrong and different at each."""
    return SimulatedCluster(
        seed, gateways=3, loss_rate=0.1, view_change_rate=0.02, rate_per_s=200, plans=(LOW, *settings().plans[::2])
    )


@pytest.mark.parametrize("seed", range(3))
def test_rules_hold_whichever_instances_are_taken_for_unreachable(seed):
    town(seed).run(12_000)


def without(monkeypatch, guard):
    """The module with one guard of `QuotaBorrower.lender_of` taken out."""
    real = QuotaBorrower.lender_of

    def lender_of(self, request):
        account, plan, units = request.claim.account, request.plan, request.arrival.units
        if guard == "ceilings" and account.owner in self.unreachable and plan.ceiling_per_s:
            left = (each for each in account.successors(self.settings.gateways) if each not in self.unreachable)
            return Lender(next(left, self.settings.number), units)
        lender = real(self, request)
        return Lender(lender.gateway, units) if guard == "dearer" else lender

    monkeypatch.setattr(QuotaBorrower, "lender_of", lender_of)


def test_ceilings_that_others_grant_too_are_detected(monkeypatch):
    without(monkeypatch, "ceilings")
    with pytest.raises(AssertionError, match="rule 5"):
        for seed in range(3):
            town(seed).run(12_000)


CUT = dict(spread=9, rate_per_s=2.0, burst=20.0, customers=9, connected_s=4.0, partitioned_s=40.0, known_s=2.0)


def test_each_side_of_a_partition_grants_the_quota_once_more():
    found = partition.simulate_partition(**CUT)
    assert 1.3 < found["during"] and found["beyond"] <= found["bound"]


def test_a_unit_that_costs_one_everywhere_is_detected(monkeypatch):
    without(monkeypatch, "dearer")
    found = partition.simulate_partition(**CUT)
    assert found["beyond"] > found["bound"]


# ---- processes ------------------------------------------------------------------------------------

COUNT, PERIOD = 4, "members period 100ms\nquota small rate 20/s burst 8\nplan small quota small\n"
KEYS = [f"c{number:02}" for number in range(24)]


@pytest.fixture
def gateways(tmp_path):
    lines = "".join(f"key {name} customer {name} plan small\n" for name in KEYS)
    made = GatewayProcesses(tmp_path, COUNT, PERIOD + lines)
    yield made
    made.close()


def homes(gateways):
    """The customers by the gatekeeper that is their home."""
    settings, found = checked(str(gateways.files[0])).config.settings, {}
    for name in KEYS:
        first = first_gateway(LISTED_PREFIX + name, settings.tag_key, COUNT)
        home = (first + customer_tag(LISTED_PREFIX + name, settings.tag_key) % COUNT) % COUNT
        found.setdefault(home, []).append(name)
    return found


def call(gateways, number, names):
    """How one request of each of these customers ends at a gatekeeper: its status, or why it was refused."""
    lines = [
        {
            "jsonrpc": "2.0",
            "id": place,
            "method": "call",
            "params": {"method": "GET", "path": "/stock-view", "headers": {"x-api-key": name}},
        }
        for place, name in enumerate(names)
    ]
    ends = {}
    for line in lines:
        (answer,) = gateways.running[number].rpc(line)
        ends[names[line["id"]]] = answer["result"]["status"] if "result" in answer else json.dumps(answer["error"])
    return ends


def all_served(gateways, numbers, names):
    return [ends for number in numbers if set((ends := call(gateways, number, names)).values()) != {200}] == []


def view(gone):
    return lambda seen: set(seen["not_alive"]) == {str(number) for number in gone}


def test_customers_of_a_killed_owner_are_served_by_the_others_and_by_it_after_its_restart(gateways):
    gateways.wait_for_members(view([]))
    mine = homes(gateways)
    assert all(len(mine.get(number, ())) >= 2 for number in range(COUNT))
    assert all_served(gateways, range(COUNT), KEYS)
    gateways.kill(1)
    refused = call(gateways, 0, mine[1][:1])  # nobody knows yet: its home alone could lend
    assert 200 not in refused.values(), refused
    gateways.wait_for_members(view([1]))
    assert all_served(gateways, (0, 2, 3), KEYS)
    gateways.start(1)
    gateways.wait_for_members(view([]))
    assert all_served(gateways, range(COUNT), KEYS)


def test_both_sides_of_a_partition_serve_and_keep_the_stated_bound(gateways):
    gateways.wait_for_members(view([]))
    gateways.relay.is_blocked = lambda sender, receiver: sender % 2 != receiver % 2
    gateways.wait_for_members(view([1, 3]), {0, 2})
    gateways.wait_for_members(view([0, 2]), {1, 3})
    assert all_served(gateways, range(COUNT), KEYS)
    name, began, served = homes(gateways)[0][0], time.monotonic(), 0
    while time.monotonic() - began < 3.0:
        for number in range(COUNT):
            served += sum(end == 200 for end in call(gateways, number, [name] * 4).values())
    took_s = time.monotonic() - began
    # Home's side the quota, the other its part of it; each with a full store before, and the own buckets' tenth.
    assert served <= 1.5 * 20 * took_s + 2 * 8 + 2
    gateways.relay.is_blocked = lambda sender, receiver: False
    gateways.wait_for_members(view([]))
    assert all_served(gateways, range(COUNT), KEYS)
