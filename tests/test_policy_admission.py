"""Order of dispatch, class shares at the concurrency limit, and dispatch deadlines."""

from dataclasses import replace

import pytest
from test_rules import settings

from anisefront.policy.admission import Admission, admits_over_quota, dispatch_deadline_ms
from anisefront.policy.concurrency_limit import ConcurrencyLimit
from anisefront.policy.customer_account import CustomerAccount
from anisefront.policy.events import Arrival
from anisefront.policy.request import QuotaClaim, Request
from anisefront.policy.response_times import RESPONSE_FRACTION
from anisefront.policy.settings import Plan

LOOK, BOOK = settings().classes[:2]
TWO_CLASSES = settings(classes=(LOOK, BOOK))


class Dispatcher:
    """An admission with a concurrency limit, which records the ids of dispatched requests."""

    def __init__(self, capacity):
        self.limit = ConcurrencyLimit(1)
        self.limit.update_limit(capacity)
        self.admission = Admission(TWO_CLASSES, self.limit)
        self.dispatched = []
        self.blocked = set()

    def queue(self, number, request_class=LOOK, priority_weight=1.0, arrived_ms=0.0, over_quota=False):
        arrival = Arrival(number, "c", request_class.name, "rated", 1e9)
        claim = QuotaClaim(CustomerAccount(1, 1, 0, 0.0))
        request = Request(arrival, request_class, settings().plans[0], claim, arrived_ms, 1e9, priority_weight)
        if over_quota:
            request.record_over_quota(1.0)
        request.record_admitted()
        self.admission.enqueue(request)

    def start(self, request):
        """Start an attempt, unless the request is blocked."""
        if request.arrival.id in self.blocked:
            return False
        self.dispatched.append(request.arrival.id)
        self.limit.record_attempt_started(0.0)
        self.admission.record_attempt_started(request.request_class.name)
        return True

    def dispatch(self):
        self.admission.dispatch_queued(0.0, self.start)
        return self.dispatched


def test_below_the_limit_all_requests_are_dispatched_by_priority_and_the_newest_first():
    dispatcher = Dispatcher(capacity=10.0)
    dispatcher.queue(1, priority_weight=1.0)
    dispatcher.queue(2, priority_weight=5.0, arrived_ms=1.0)
    dispatcher.queue(3, priority_weight=5.0, arrived_ms=2.0)
    assert dispatcher.dispatch() == [3, 2, 1]
    assert not dispatcher.admission.queue


def test_at_the_limit_each_class_has_its_share_regardless_of_its_priority():
    dispatcher = Dispatcher(capacity=1.0)  # 12 attempts, and 1 as allowance for bursts
    for number in range(40):
        dispatcher.queue(number, BOOK, priority_weight=9.0)
        dispatcher.queue(100 + number, LOOK, priority_weight=1.0)
    dispatched = dispatcher.dispatch()
    assert sum(number >= 100 for number in dispatched) == 6
    assert len(dispatched) == 13


def test_capacity_that_other_classes_leave_of_their_shares_is_used_by_priority():
    dispatcher = Dispatcher(capacity=1.0)
    for number in range(40):
        dispatcher.queue(number, BOOK)
    assert len(dispatcher.dispatch()) == 13


def test_a_blocked_request_stays_queued_and_delays_no_other():
    dispatcher = Dispatcher(capacity=10.0)
    dispatcher.blocked = {1}
    dispatcher.queue(1, priority_weight=9.0)
    dispatcher.queue(2)
    assert dispatcher.dispatch() == [2]
    assert len(dispatcher.admission.queue) == 1
    dispatcher.blocked = set()
    assert dispatcher.dispatch() == [2, 1]


def test_requests_beyond_their_quota_are_dispatched_after_the_others_and_only_below_half_the_limit():
    dispatcher = Dispatcher(capacity=1.0)
    dispatcher.queue(1, priority_weight=9.0, over_quota=True)
    dispatcher.queue(2)
    assert dispatcher.dispatch() == [2, 1]
    loaded = Dispatcher(capacity=1.0)
    for _ in range(7):
        loaded.limit.record_attempt_started(0.0)
    loaded.limit.record_attempt_ended(60_000.0, overloaded=False)
    loaded.queue(1, over_quota=True)
    assert loaded.dispatch() == []


def test_a_class_whose_queueing_delay_exceeds_its_target_gains_share():
    dispatcher = Dispatcher(capacity=0.0)
    dispatcher.queue(1, LOOK)
    before = {name: share.share for name, share in dispatcher.admission.shares.items()}
    for period in range(1, 30):
        dispatcher.admission.end_period(10_000.0 + 100.0 * period)
    assert dispatcher.admission.shares["look"].share > before["look"]
    assert dispatcher.admission.shares["book"].share == before["book"]


@pytest.mark.parametrize(
    ("multiplier", "cost", "ceiling", "admitted"),
    [(0.5, 0.1, 0.0, True), (0.1, 0.5, 0.0, False), (0.5, 0.1, 8.0, False)],
)
def test_a_request_beyond_its_quota_is_admitted_if_its_multiplier_exceeds_the_cost_and_there_is_no_ceiling(
    multiplier, cost, ceiling, admitted
):
    plan = Plan("p", 4, 12, over_quota_multiplier=multiplier, over_quota_cost=cost, ceiling_per_s=ceiling)
    assert admits_over_quota(plan) is admitted


def test_a_request_may_be_queued_until_its_response_would_be_late():
    arrival = Arrival(1, "c", "look", "rated", 5000.0)
    request = Request(arrival, LOOK, settings().plans[0], None, 1000.0, 1600.0, 1.0)
    assert dispatch_deadline_ms(1000.0, request, 100.0) == 1500.0
    assert dispatch_deadline_ms(1000.0, request, 10_000.0) == 1000.0 + RESPONSE_FRACTION * 600.0
    request.arrival = replace(arrival, deadline_at_ms=1300.0)
    assert dispatch_deadline_ms(1000.0, request, 100.0) == 1200.0
