"""Concurrency limit: completion rate, backoff and recovery."""

import pytest
from test_core import SERVERS, ProxyHarness

from anisefront.policy.concurrency_limit import MIN_BACKOFF, ConcurrencyLimit
from anisefront.policy.events import AttemptResult, EndpointList
from anisefront.upstream.delegated_checks import Verdict

CAPACITY = 10.0


def limit_after(periods, ended=20, overloaded=0):
    """A limit after control periods with so many ended attempts each, some of them overloaded."""
    limit = ConcurrencyLimit(1)
    for period in range(periods):
        for number in range(ended):
            limit.record_attempt_started(period * 100.0)
            limit.record_attempt_ended(period * 100.0, number < overloaded)
            if number >= overloaded:
                limit.record_success(1000.0)
        limit.end_period(period * 100.0 + 100.0, CAPACITY)
    return limit


def test_without_responses_the_limit_is_the_initial_one_per_endpoint():
    assert limit_after(1, ended=0).limit == 120.0


def test_the_limit_follows_the_completion_rate_between_its_bounds():
    few, many = limit_after(60, ended=1), limit_after(60, ended=40)
    assert few.limit == 40.0  # the minimum per endpoint
    assert many.limit == pytest.approx(40 * 1000 * 0.25 / 100, rel=0.01)


def test_overload_responses_of_many_attempts_back_off_to_the_minimum():
    assert limit_after(3, overloaded=10).backoff < 0.5
    assert limit_after(50, overloaded=10).backoff == MIN_BACKOFF


def test_overload_responses_of_few_attempts_do_not_back_off():
    assert limit_after(50, overloaded=2).backoff == 1.0


def test_the_backoff_recovers_while_attempts_succeed():
    limit = limit_after(50, overloaded=10)
    for period in range(100):
        now_ms = 6000.0 + period * 100.0
        limit.record_attempt_started(now_ms)
        limit.record_attempt_ended(now_ms, overloaded=False)
        limit.end_period(now_ms, CAPACITY)
    assert limit.backoff == 1.0


def test_the_backoff_recovers_while_the_instance_is_idle():
    # Guards against a limit that stayed at 0.3 of its value for good: both counts of ended attempts decay at the same
    # rate, so their ratio never changed.
    limit = limit_after(50, overloaded=10)
    for period in range(100):
        limit.end_period(6000.0 + period * 100.0, CAPACITY)
    assert limit.backoff == 1.0


def test_the_backoff_stays_while_an_attempt_is_in_flight_and_none_ends():
    limit = limit_after(50, overloaded=10)
    limit.record_attempt_started(5000.0)
    for period in range(100):
        limit.end_period(6000.0 + period * 100.0, CAPACITY)
    assert limit.backoff == MIN_BACKOFF


@pytest.mark.parametrize("overloaded", [0, 60])
def test_after_an_idle_period_the_limit_is_that_of_a_new_instance(overloaded):
    # Guards against requests rejected for lack of capacity long after the endpoints were idle again.
    desk = ProxyHarness()
    desk.request_table.update_endpoints(EndpointList(SERVERS[:1]))
    for number in range(overloaded):
        known = len(desk.responses)
        desk.check(f"first-{number}")
        for reply in desk.responses[known:]:
            if reply.verdict is Verdict.START_ATTEMPT:
                desk.log(reply.attempt_name, AttemptResult.OVERLOADED, True)
    desk.run(10)
    desk.responses.clear()
    for number in range(10):
        desk.check(f"second-{number}")
    desk.run(2.5)
    assert [reply.verdict for reply in desk.responses] == [Verdict.START_ATTEMPT] * 10


def test_the_peers_mean_complements_few_own_responses():
    alone, informed = ConcurrencyLimit(1), ConcurrencyLimit(1)
    for limit in (alone, informed):
        limit.record_success(1000.0)
    for _ in range(50):
        informed.record_peer_report(100.0)
    for limit in (alone, informed):
        limit.end_period(100.0, CAPACITY)
    assert informed.limit > alone.limit


def test_a_burst_may_exceed_the_limit_while_the_mean_is_below_it():
    limit = ConcurrencyLimit(1)
    limit.update_limit(0.05)
    assert limit.limit < 1 <= limit.headroom()
    limit.record_attempt_started(0.0)
    limit.record_attempt_started(0.0)
    assert limit.headroom() < 1
    limit.end_period(5000.0, 0.05)
    assert limit.headroom() < 0
