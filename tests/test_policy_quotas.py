"""Quota owner, quota borrower and the outbox to peers."""

import random
from dataclasses import replace

import pytest
from test_rules import settings

from anisefront.policy.actions import RejectionReason
from anisefront.policy.events import Arrival
from anisefront.policy.peer_codec import QuotaMessage, QuotaMessageKind, customer_tag, decode
from anisefront.policy.peer_outbox import MAX_GAP_MS, PeerOutbox
from anisefront.policy.quota_borrower import Lender, QuotaBorrower, QuotaDecision
from anisefront.policy.quota_owner import LEASE_MULTIPLE, QuotaOwner
from anisefront.policy.quota_parameters import IDLE_MS
from anisefront.policy.quota_request_queue import QuotaRequestKey
from anisefront.policy.request import Request
from anisefront.policy.settings import Plan
from anisefront.policy.timers import TimerKind, TimerQueue

LOOK, BOOK = settings().classes[:2]
TAG = customer_tag("c")


def message(kind, serial=1, units=1.0, class_index=1, plan_index=0):
    return QuotaMessage(kind, TAG, serial, units, 0.0, class_index, plan_index)


def pending(timers):
    """Return the kinds of the pending timers."""
    return [kind for _, _, kind, _ in timers.pending]


class OwnerSide:
    """A quota owner that records the messages it sends."""

    def __init__(self, plan, **more):
        self.sent = []
        self.timers = TimerQueue()
        self.settings = settings(plans=(plan,), **more)
        self.owner = QuotaOwner(self.settings, self.timers, lambda now_ms, gateway, sent: self.sent.append(sent))

    def receive(self, now_ms, *args, gateway=1, **more):
        """Pass a message to the owner and return the kinds of its replies."""
        self.sent.clear()
        received = message(*args, **more)
        self.owner.receive(now_ms, QuotaRequestKey(gateway, 7, received.serial), received)
        return [each.kind for each in self.sent]

    @property
    def bucket(self):
        return self.owner.buckets[TAG]


REQUEST, RETRY, GRANT = QuotaMessageKind.REQUEST, QuotaMessageKind.RETRY, QuotaMessageKind.GRANT
QUEUED, DEBIT, REFUND = QuotaMessageKind.QUEUED, QuotaMessageKind.DEBIT, QuotaMessageKind.REFUND


# ---- owner -------------------------------------------------------------------------------------------


def test_units_are_granted_while_the_bucket_has_them_and_then_queued():
    side = OwnerSide(Plan("p", 1.0, 3.0))
    replies = [side.receive(0.0, REQUEST, serial) for serial in range(1, 5)]
    assert replies == [[GRANT], [GRANT], [GRANT], [QUEUED]]
    assert side.bucket.level == 0.0
    assert pending(side.timers) == [TimerKind.BUCKET_REFILLED]


def test_a_queued_request_is_granted_when_the_bucket_has_filled():
    side = OwnerSide(Plan("p", 10.0, 1.0))
    side.receive(0.0, REQUEST, 1)
    assert side.receive(0.0, REQUEST, 2) == [QUEUED]
    side.sent.clear()
    side.owner.refill_timer_fired(101.0, TAG)
    assert [(each.kind, each.serial) for each in side.sent] == [(GRANT, 2)]


def test_a_repeated_request_is_granted_once():
    side = OwnerSide(Plan("p", 1.0, 3.0))
    side.receive(0.0, REQUEST, 1, units=2.0)
    assert side.receive(1.0, REQUEST, 1, units=2.0) == [GRANT]
    assert side.sent[0].units == 0.0
    assert side.bucket.level == pytest.approx(1.0, abs=0.01)


def test_a_repeated_debit_is_counted_once_and_overdraws_by_a_burst_at_most():
    side = OwnerSide(Plan("p", 1.0, 3.0))
    for _ in range(2):
        side.receive(0.0, DEBIT, 1, units=2.0)
    assert side.bucket.level == 1.0
    for serial in range(2, 9):
        side.receive(0.0, DEBIT, serial, units=2.0)
    assert side.bucket.level == -3.0


def test_a_refund_puts_back_granted_units_and_no_others():
    side = OwnerSide(Plan("p", 0.001, 3.0))
    side.receive(0.0, REQUEST, 1, units=2.0)
    side.receive(0.0, REFUND, 2, units=2.0)
    assert side.bucket.level == 1.0
    side.receive(0.0, REFUND, 1, units=2.0)
    assert side.bucket.level == 3.0


def test_a_repeated_refund_puts_its_units_back_once():
    # Guards against a quota that grows: each duplicate of a refund added the units of the debit again.
    side = OwnerSide(Plan("p", 0.001, 6.0))
    for serial in (1, 2, 3):
        side.receive(0.0, REQUEST, serial, units=2.0)
    for units in (0.0, 2.0, 2.0):  # 0 for a repeated grant, which must not affect the refund of the others
        side.receive(0.0, REFUND, 1, units=units)
    assert side.bucket.level == 2.0
    side.receive(0.0, REFUND, 2, units=2.0)
    assert side.bucket.level == 4.0


def test_a_lease_ends_with_its_refund_or_its_expiry():
    side = OwnerSide(Plan("p", max_in_flight=1))
    assert side.receive(0.0, REQUEST, 1) == [GRANT]
    assert side.receive(0.0, REQUEST, 2) == [QUEUED]
    assert side.receive(1.0, REFUND, 1) == [GRANT]
    assert set(side.bucket.leases) == {QuotaRequestKey(1, 7, 2)}
    assert side.receive(LEASE_MULTIPLE * BOOK.latency_objective_ms + 2.0, REQUEST, 3) == [GRANT]


def test_requests_of_lower_priority_and_retries_leave_a_reserve():
    granted = []
    for kind, class_index in ((REQUEST, 1), (REQUEST, 0), (RETRY, 1)):
        side = OwnerSide(Plan("p", 0.001, 12.0))
        replies = [side.receive(0.0, kind, serial, class_index=class_index) for serial in range(1, 15)]
        granted.append(replies.count([GRANT]))
    assert granted == [12, 9, 6]


def test_of_equal_priority_the_newest_is_granted_first():
    side = OwnerSide(Plan("p", 10.0, 1.0))
    for serial in (1, 2, 3):
        side.receive(0.0, REQUEST, serial)
    side.sent.clear()
    side.owner.refill_timer_fired(101.0, TAG)
    assert [each.serial for each in side.sent] == [3]


def test_at_the_limit_of_customers_a_request_gets_a_reply_but_no_bucket():
    side = OwnerSide(Plan("p", 1.0, 3.0), max_customers=0)
    assert side.receive(0.0, REQUEST) == [QUEUED]
    assert side.receive(0.0, DEBIT) == []
    assert not side.owner.buckets


def test_a_change_of_plans_does_not_refill_the_bucket():
    side = OwnerSide(Plan("p", 1.0, 3.0))
    for serial in (1, 2, 3):
        side.receive(0.0, REQUEST, serial)
    side.owner.change_settings(0.0, replace(side.settings, plans=(Plan("p", 1.0, 9.0),)))
    assert side.bucket.level == 0.0
    assert side.bucket.plan.burst == 9.0


def test_an_idle_bucket_is_evicted_and_an_overdrawn_one_stays():
    for units, left in ((1.0, 0), (6.0, 1)):
        side = OwnerSide(Plan("p", 0.05, 3.0))
        side.receive(0.0, DEBIT, 1, units=units)
        side.owner.evict_idle(IDLE_MS + 1)
        assert len(side.owner.buckets) == left


# ---- borrower ----------------------------------------------------------------------------------------


class BorrowerSide:
    """A quota borrower that is not the owner, which records the messages it sends and its decisions."""

    def __init__(self, plan=None, **more):
        self.plan = plan or settings().plans[0]
        self.sent, self.decisions = [], []
        self.timers = TimerQueue()
        owner = TAG % 3
        self.owner = owner
        self.settings = settings(number=(owner + 1) % 3, plans=(self.plan,), **more)
        self.outbox = PeerOutbox(self.settings, 7, self.timers)
        self.borrower = QuotaBorrower(
            self.settings, random.Random(1), self.timers, self.outbox, self._send, self._decide
        )

    def _send(self, now_ms, gateway, sent):
        self.sent.append((gateway, sent))

    def _decide(self, request, decision):
        self.decisions.append(decision)

    def request(self, now_ms=0.0, units=1.0, number=1):
        arrival = Arrival(number, "c", "look", self.plan.name, 1e6, units, 0, 3)
        claim = self.borrower.open_claim(now_ms, arrival, self.plan)
        return Request(arrival, LOOK, self.plan, claim, now_ms, now_ms + 600.0, 1.0)

    def kinds(self):
        return [sent.kind for _, sent in self.sent]


def test_the_owner_is_sent_a_request_and_its_grant_decides():
    side = BorrowerSide()
    one = side.request()
    side.borrower.request_units(0.0, one)
    ((gateway, sent),) = side.sent
    assert gateway == side.owner
    assert sent.kind is REQUEST
    side.borrower.receive(20.0, side.owner, sent._replace(kind=GRANT))
    assert side.decisions == [QuotaDecision.GRANTED]
    assert one.claim.debited_units == 1.0


def test_a_reply_of_another_gateway_is_ignored_and_its_grant_is_refunded():
    side = BorrowerSide()
    side.borrower.request_units(0.0, side.request())
    other = side.settings.number
    side.borrower.receive(20.0, other, side.sent[0][1]._replace(kind=GRANT))
    assert not side.decisions
    assert side.sent[-1][0] == other
    assert side.kinds()[-1] is REFUND


def test_units_of_the_local_bucket_are_taken_and_the_owner_is_notified():
    side = BorrowerSide()
    one = side.request()
    assert not side.borrower.try_debit_locally(0.0, one)  # it starts empty
    later = side.request(now_ms=5000.0, units=0.3, number=2)
    assert side.borrower.try_debit_locally(5000.0, later)
    assert side.kinds() == [DEBIT]


def test_an_unresponsive_owner_is_sent_the_request_twice_and_then_one_overdraft_is_granted():
    side = BorrowerSide()
    first, second = side.request(number=1), side.request(number=2)
    for one in (first, second):
        side.borrower.request_units(0.0, one)
        side.borrower.reply_overdue(150.0, one)
        side.borrower.reply_overdue(300.0, one)
    assert side.decisions == [QuotaDecision.GRANTED]
    assert first.claim.account.local_bucket < 0
    assert side.kinds().count(DEBIT) == 1


def test_no_overdraft_is_granted_while_most_peers_respond():
    side = BorrowerSide(gateways=3)
    for peer in (0, 1, 2):
        side.outbox.record_received(0.0, peer)
    one = side.request()
    side.borrower.request_units(0.0, one)
    for now_ms in (150.0, 300.0, 550.0):
        side.borrower.reply_overdue(now_ms, one)
    assert not side.decisions
    assert DEBIT not in side.kinds()


def test_without_peer_messages_the_overdraft_is_granted_at_once():
    side = BorrowerSide(peer_messages_enabled=False)
    one = side.request()
    side.borrower.request_units(0.0, one)
    assert [expires_ms for expires_ms, *_ in side.timers.pending] == [0.0]
    side.borrower.reply_overdue(0.0, one)
    assert side.decisions == [QuotaDecision.GRANTED]


def test_in_place_of_a_failed_owner_the_next_instance_grants_units_at_a_higher_cost():
    side = BorrowerSide(gateways=3)
    one = side.request()
    assert side.borrower.lender_of(one) == Lender(side.owner, 1.0)
    side.borrower.set_unreachable(frozenset({side.owner}))
    assert side.borrower.lender_of(one) == Lender((side.owner + 1) % 3, 1.5)


@pytest.mark.parametrize("plan", [Plan("p", 4, 12, ceiling_per_s=8, ceiling_burst=8), Plan("p", max_in_flight=2)])
def test_only_the_owner_grants_ceilings_and_leases_even_if_it_has_failed(plan):
    side = BorrowerSide(plan)
    side.borrower.set_unreachable(frozenset({side.owner}))
    assert side.borrower.lender_of(side.request()).gateway == side.owner


def test_units_of_an_ended_request_without_an_attempt_are_refunded():
    side = BorrowerSide()
    side.request()  # opens the account, whose bucket starts empty
    one = side.request(now_ms=5000.0, units=0.1, number=2)
    assert side.borrower.try_debit_locally(5000.0, one)
    side.borrower.request_ended(5001.0, one)
    assert side.kinds() == [DEBIT, REFUND]


def test_a_customer_with_another_ones_tag_and_one_beyond_the_limit_get_no_account(monkeypatch):
    side = BorrowerSide(max_customers=1)
    assert side.request().claim.account.tag == TAG
    arrival = Arrival(2, "other", "look", "rated", 1e6)
    assert side.borrower.open_claim(0.0, arrival, side.plan) is RejectionReason.CAPACITY
    monkeypatch.setattr("anisefront.policy.quota_borrower.customer_tag", lambda customer, key: TAG)
    assert side.borrower.open_claim(0.0, arrival, side.plan) is RejectionReason.INVALID


# ---- outbox ------------------------------------------------------------------------------------------


def outbox_with(received, inbox_per_s=20):
    timers = TimerQueue()
    outbox = PeerOutbox(settings(inbox_per_s=inbox_per_s), 7, timers)
    for peer in range(received):
        outbox.record_received(0.0, peer)
    return outbox, timers


def test_with_an_empty_inbox_messages_are_sent_at_once():
    outbox, timers = outbox_with(received=0)
    outbox.add(1, message(REQUEST))
    (action,) = outbox.flush(0.0, 2.0, [])
    assert action.receiver == 1
    assert decode(action.data).quota_messages == (message(REQUEST),)
    assert not timers.pending


def test_with_a_full_inbox_messages_to_one_peer_are_collected():
    outbox, timers = outbox_with(received=30)
    outbox.add(1, message(REQUEST, 1))
    assert len(outbox.flush(0.0, 2.0, [])) == 1
    outbox.add(1, message(REQUEST, 2))
    outbox.add(2, message(REQUEST, 3))
    assert [action.receiver for action in outbox.flush(1.0, 2.0, [])] == [2]
    assert pending(timers) == [TimerKind.OUTBOX_FLUSH]
    assert [action.receiver for action in outbox.flush(MAX_GAP_MS + 1, 2.0, [])] == [1]


def test_hundreds_of_grants_that_are_refunded_at_once_do_not_nest():
    """Local requests that have ended refund their grant within the granting call, which must not recurse."""
    side = OwnerSide(Plan("p", 10.0, 1.0))
    side.receive(0.0, REQUEST, 1)
    for serial in range(2, 502):
        side.receive(0.0, REQUEST, serial)
    granted = []

    def refund(now_ms, gateway, sent):
        granted.append(sent.serial)
        refunded = sent._replace(kind=REFUND)
        side.owner.receive(now_ms, QuotaRequestKey(gateway, 7, sent.serial), refunded)

    side.owner._send = refund
    side.owner.refill_timer_fired(101.0, TAG)
    assert granted == list(range(501, 1, -1))
    assert not side.bucket.queue


def test_a_grant_that_comes_after_its_request_has_ended_is_refunded_once():
    # Guards against a quota that grows: both the end of the request and the late grant refund its units.
    borrower, owner = BorrowerSide(), OwnerSide(Plan("p", 0.001, 12.0))
    owner.receive(0.0, DEBIT, 99, units=5.0)
    one = borrower.request()
    borrower.borrower.request_units(0.0, one)
    ((_, quota_request),) = borrower.sent
    key = QuotaRequestKey(1, 7, quota_request.serial)
    owner.owner.receive(10.0, key, quota_request)
    grant = owner.sent[-1]
    for now_ms in (100.0, 200.0):  # overdue twice, after which the units are taken from the local bucket
        borrower.borrower.reply_overdue(now_ms, one)
    borrower.borrower.request_ended(300.0, one)
    borrower.borrower.receive(400.0, borrower.owner, grant)
    assert borrower.kinds() == [REQUEST, REQUEST, DEBIT, REFUND, REFUND]
    for _, sent in borrower.sent[1:]:
        owner.owner.receive(500.0, key, sent)
    assert owner.bucket.level == pytest.approx(7.0, abs=0.01)
