"""Retry budget, hedging and idempotency rules."""

from dataclasses import replace

import pytest
from test_rules import settings

from anisefront.policy.actions import Fail, Reject, RejectionReason, StartAttempt
from anisefront.policy.admission import final_answer
from anisefront.policy.concurrency_limit import ConcurrencyLimit
from anisefront.policy.controller import Controller
from anisefront.policy.customer_account import CustomerAccount
from anisefront.policy.endpoint_registry import EndpointRegistry
from anisefront.policy.endpoint_state import EndpointState
from anisefront.policy.events import (
    Arrival,
    AttemptEnded,
    AttemptResult,
    Endpoint,
    EndpointList,
    EndpointStatus,
    PriorAttempts,
)
from anisefront.policy.request import QuotaClaim, Request
from anisefront.policy.response_times import ResponseTimes
from anisefront.policy.retries import INITIAL_BUDGET, MAX_BUDGET, UNCONSTRAINED, RetryPolicy
from anisefront.policy.slow_start import SlowStart

CLASSES = {each.name: each for each in settings().classes}
ENDPOINTS = [Endpoint(f"s{n}", f"z{n % 2}", n % 4, EndpointStatus.READY) for n in range(8)]


@pytest.fixture
def registry():
    made = EndpointRegistry(SlowStart(settings(), None))
    made.update(0.0, EndpointList(tuple(ENDPOINTS)))
    return made


@pytest.fixture
def policy(registry):
    times = ResponseTimes()
    times.add_classes(settings().classes)
    limit = ConcurrencyLimit(1)
    limit.update_limit(8.0)
    return RetryPolicy(settings(), registry, limit, times)


def request(class_name="look", deadline_at_ms=5000.0, **more):
    request_class = CLASSES[class_name]
    arrival = Arrival(1, "c", class_name, "rated", deadline_at_ms, **more)
    claim = QuotaClaim(CustomerAccount(1, 1, 0, 0.0))
    objective_at_ms = request_class.latency_objective_ms
    return Request(arrival, request_class, settings().plans[0], claim, 0.0, objective_at_ms, 1.0)


def attempted(registry, class_name, started_ms=0.0):
    one = request(class_name)
    one.record_attempt_started(started_ms, registry.known["s0"])
    return one


# ---- idempotency -------------------------------------------------------------------------------------


def test_a_first_attempt_may_be_sent_to_any_endpoint(policy):
    for name in CLASSES:
        assert policy.constraint(0.0, request(name)) is UNCONSTRAINED


def test_an_idempotent_request_may_be_retried_at_any_endpoint(policy, registry):
    assert policy.constraint(10.0, attempted(registry, "look")) is UNCONSTRAINED


def test_a_non_idempotent_request_may_not_be_retried(policy, registry):
    one = attempted(registry, "debit")
    assert policy.constraint(10.0, one).forbids_all
    assert not policy.allows_attempts(10.0, one)


@pytest.mark.parametrize(
    ("class_name", "eligible"),
    [("book", {"s0", "s4"}), ("hold", {"s0", "s2", "s4", "s6"}), ("seat", None)],
)
def test_a_keyed_request_may_be_retried_at_the_endpoints_that_deduplicate_it(policy, registry, class_name, eligible):
    found = policy.constraint(100.0, attempted(registry, class_name)).eligible
    assert (found and {state.endpoint.id for state in found}) == eligible


def test_a_keyed_request_has_to_start_within_the_deduplication_window(policy, registry):
    window_ms = CLASSES["seat"].deduplication_window_ms
    one = attempted(registry, "seat", started_ms=50.0)
    assert policy.constraint(100.0, one).start_within_ms == 50.0 + window_ms - settings().tick_ms - 100.0
    assert policy.constraint(50.0 + window_ms, one).forbids_all


@pytest.mark.parametrize("result", [each for each in AttemptResult if each.never_executed])
def test_an_attempt_that_was_never_executed_does_not_constrain_the_next(policy, registry, result):
    one = attempted(registry, "debit")
    one.record_attempt_ended(0, result)
    assert policy.constraint(10.0, one) is UNCONSTRAINED


@pytest.mark.parametrize(
    ("class_name", "answer"), [("look", Reject), ("seat", Fail), ("hold", Fail), ("book", Fail), ("debit", Fail)]
)
def test_an_attempted_request_is_rejected_only_if_a_retry_is_safe(registry, class_name, answer):
    assert isinstance(final_answer(attempted(registry, class_name), 1000.0), answer)
    assert isinstance(final_answer(request(class_name), 1000.0), Reject)


KEYED_CLASSES = ("seat", "hold", "book")  # one for each deduplication scope


def answers_after_attempt(class_name, result, ended_ms):
    """Return the types of the answers to a request whose only attempt ends so at this time; None: it does not end."""
    controller = Controller(settings(max_attempts=1), 1)
    controller.handle(0.0, [EndpointList((ENDPOINTS[0],))])
    actions = controller.handle(0.0, [Arrival(1, "c", class_name, "open", 2500.0)])
    assert [action.id for action in actions if isinstance(action, StartAttempt)] == [1]
    events = [] if result is None else [AttemptEnded(1, 0, "s0", ended_ms, result, False)]
    actions = controller.handle(ended_ms, events)
    return [type(action) for action in actions if isinstance(action, Reject | Fail)]


@pytest.mark.parametrize("class_name", KEYED_CLASSES)
@pytest.mark.parametrize(
    ("result", "ended_ms"),
    [(AttemptResult.ERROR, 10.0), (AttemptResult.RESET, 1190.0), (AttemptResult.TIMEOUT, 1210.0), (None, 2500.0)],
)
def test_a_keyed_request_that_may_have_been_executed_is_not_rejected_as_safe(class_name, result, ended_ms):
    # Guards against a second effect: the client's retry, shortly before the window's end too, comes after it.
    assert answers_after_attempt(class_name, result, ended_ms) == [Fail]


@pytest.mark.parametrize("class_name", KEYED_CLASSES)
@pytest.mark.parametrize("result", [each for each in AttemptResult if each.never_executed])
def test_a_keyed_request_that_no_endpoint_executed_is_rejected_as_safe(class_name, result):
    assert answers_after_attempt(class_name, result, 1210.0) == [Reject]


@pytest.mark.parametrize(
    ("class_name", "uncertain", "answer"),
    [(name, 0, Reject) for name in (*KEYED_CLASSES, "debit", "look")]
    + [(name, 1, Fail) for name in (*KEYED_CLASSES, "debit", "none")]
    + [("look", 1, Reject)],
)
@pytest.mark.parametrize(
    ("plan_name", "deadline_at_ms", "max_customers"), [("open", 10.0, 10), ("none", 2500.0, 10), ("open", 2500.0, 0)]
)
def test_a_request_taken_over_that_is_not_accepted_is_rejected_only_if_a_retry_is_safe(
    class_name, uncertain, answer, plan_name, deadline_at_ms, max_customers
):
    # Guards against a second effect: expired, of an unknown plan or without an account it was rejected in any class.
    controller = Controller(settings(max_customers=max_customers), 1)
    prior_attempts = PriorAttempts(1, uncertain, "s0", 0.0, True)
    arrival = Arrival(1, "c", class_name, plan_name, deadline_at_ms, prior_attempts=prior_attempts)
    actions = controller.handle(10.0, [EndpointList(tuple(ENDPOINTS)), arrival])
    assert [type(action) for action in actions if isinstance(action, Reject | Fail)] == [answer]


def test_the_rejection_names_its_reason(registry):
    waiting, queued, failed = request(), request(), attempted(registry, "look")
    queued.record_admitted()
    failed.record_admitted()
    reasons = [final_answer(each, 1000.0).reason for each in (waiting, queued, failed)]
    assert reasons == [RejectionReason.QUOTA, RejectionReason.CAPACITY, RejectionReason.ATTEMPTS]


def test_the_rejection_of_a_request_taken_over_without_an_attempt_left_names_the_attempts():
    # Guards against the reason `quota` for a request whose units the failed instance had already debited.
    controller = Controller(settings(), 1)
    prior_attempts = PriorAttempts(settings().max_attempts, 1, "s0", 0.0, True)
    actions = controller.handle(0.0, [Arrival(1, "c", "look", "rated", 1400.0, prior_attempts=prior_attempts)])
    assert [action.reason for action in actions if isinstance(action, Reject)] == [RejectionReason.ATTEMPTS]


@pytest.mark.parametrize(("units", "maximum", "advice"), [(1, 9000, 250.0), (4, 9000, 1000.0), (4, 600, 600)])
def test_the_retry_advice_is_the_time_to_refill_within_bounds(units, maximum, advice):
    one = request(units=units)
    one.plan = replace(one.plan, rate_per_s=4.0)
    assert final_answer(one, maximum).retry_after_ms == advice


# ---- budget and time ---------------------------------------------------------------------------------


def test_retries_use_up_the_budget_and_first_attempts_refill_it(policy, registry):
    one = attempted(registry, "look")
    for _ in range(int(INITIAL_BUDGET)):
        assert policy.allows_retry(0.0, one)
        policy.record_retry()
    assert not policy.allows_retry(0.0, one)
    for _ in range(4):
        policy.record_first_attempt()
    assert not policy.allows_retry(0.0, one)
    for _ in range(2):
        policy.record_first_attempt()
    assert policy.allows_retry(0.0, one)


def test_the_budget_is_bounded(policy, registry):
    for _ in range(1000):
        policy.record_first_attempt()
    for _ in range(int(MAX_BUDGET)):
        policy.record_retry()
    assert not policy.allows_retry(0.0, attempted(registry, "look"))


def test_a_retry_that_could_not_end_in_time_is_not_allowed(policy, registry):
    one = attempted(registry, "look")
    assert policy.allows_retry(100.0, one)
    assert not policy.allows_retry(one.answer_by_ms - 10.0, one)


def test_no_attempt_is_allowed_beyond_the_maximum(policy, registry):
    one = request("look")
    for _ in range(settings().max_attempts):
        assert policy.allows_attempts(0.0, one)
        one.record_attempt_started(0.0, registry.known["s0"])
    assert not policy.allows_attempts(0.0, one)


# ---- hedging -----------------------------------------------------------------------------------------


def test_one_attempt_is_hedged_below_the_utilization_bound(policy, registry):
    assert policy.allows_hedging(attempted(registry, "look"))
    for _ in range(80):
        policy._limit.record_attempt_started(0.0)
    policy._limit.record_attempt_started(10_000.0)
    assert not policy.allows_hedging(attempted(registry, "look"))


def test_a_request_with_two_attempts_in_flight_or_without_support_for_them_is_not_hedged(policy, registry):
    twice = attempted(registry, "look")
    twice.record_attempt_started(1.0, registry.known["s1"])
    assert not policy.allows_hedging(twice)
    single = request(allows_hedging=False)
    single.record_attempt_started(0.0, registry.known["s0"])
    assert not policy.allows_hedging(single)


@pytest.mark.parametrize(("class_name", "allowed"), [("look", True), ("seat", False), ("debit", False)])
def test_only_idempotent_requests_are_hedged_when_their_endpoint_leaves_service(policy, registry, class_name, allowed):
    left = [registry.known["s0"]]
    assert policy.allows_hedging_on_removal(attempted(registry, class_name), left) is allowed
    assert not policy.allows_hedging_on_removal(attempted(registry, class_name), [EndpointState(ENDPOINTS[1])])
    streaming = attempted(registry, class_name)
    streaming.record_response_started()
    assert not policy.allows_hedging_on_removal(streaming, left)
