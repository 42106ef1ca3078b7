"""No attempt starts by an endpoint list that may be outdated while discovery may still answer, or waits for ever."""

import pytest
from test_rules import settings

from anisefront.policy.actions import Fail, Reject, StartAttempt
from anisefront.policy.controller import Controller
from anisefront.policy.endpoint_list_freshness import MAX_WAIT_MS, RESPONSE_TIMEOUT_MS, EndpointListFreshness
from anisefront.policy.events import (
    Arrival,
    AttemptEnded,
    AttemptResult,
    Endpoint,
    EndpointList,
    EndpointListConfirmed,
    EndpointListRequested,
    EndpointStatus,
    TimerFired,
)
from anisefront.policy.response_times import max_queueing_ms
from anisefront.policy.timers import TimerQueue

STORED = EndpointList(tuple(Endpoint(f"s{n}", "z0", 0, EndpointStatus.READY) for n in range(2)))
CURRENT = EndpointList((Endpoint("s0", "z0", 0, EndpointStatus.DRAINING), STORED.endpoints[1]))
VALID_AFTER_RELOAD_MS = 4000.0
QUEUEING_MS = max_queueing_ms(settings().classes[0])
START_MS = 1e6
STEP_MS = 50.0


class Instance:
    """A controller alone in its fleet, with a request each 50 ms; `attempts` has the time and endpoint of each."""

    def __init__(self):
        self.controller = Controller(settings(gateways=1), 7)
        self.now_ms, self.number = START_MS, 0
        self.attempts, self.arrived, self.answers = [], {}, {}

    def handle(self, *events):
        for action in self.controller.handle(self.now_ms, list(events)):
            if isinstance(action, StartAttempt):
                self.attempts.append((self.now_ms - START_MS, action.endpoint))
                self.handle(AttemptEnded(action.id, action.attempt, action.endpoint, 1.0, AttemptResult.OK, final=True))
            elif isinstance(action, Reject | Fail):
                self.answers[action.id] = self.now_ms

    def run(self, seconds, *events):
        """Handle the events, and then requests until the time is up."""
        self.handle(*events)
        for _ in range(round(seconds * 1000 / STEP_MS)):
            self.now_ms += STEP_MS
            self.number += 1
            self.arrived[self.number] = self.now_ms
            self.handle(TimerFired("agenda"), Arrival(self.number, "c", "look", "rated", self.now_ms + 1500))

    def first_attempt_ms(self, after_ms=0.0):
        return next((moment for moment, _ in self.attempts if moment > after_ms), None)


@pytest.mark.parametrize("answered_s", [0.0, 0.3, 1.0, 3.0, 5.9])
def test_no_attempt_before_discovery_answers_and_none_by_the_stored_list(answered_s):
    """Guards against requests that a restarted instance sends to workers which drained while it was away."""
    instance = Instance()
    instance.run(answered_s, STORED, EndpointListRequested(0.0))
    assert not instance.attempts
    instance.run(1.0, CURRENT, EndpointListConfirmed())
    assert instance.first_attempt_ms() - answered_s * 1000 <= STEP_MS
    assert {endpoint for _, endpoint in instance.attempts} == {"s1"}


def test_requests_of_the_wait_are_served_after_it_or_answered_in_time():
    instance = Instance()
    instance.run(3.0, STORED, EndpointListRequested(0.0))
    instance.run(0.05, CURRENT, EndpointListConfirmed())
    in_time = [number for number, arrived_ms in instance.arrived.items() if arrived_ms > instance.now_ms - QUEUEING_MS]
    assert len(instance.attempts) >= len(in_time)
    for number, arrived_ms in instance.arrived.items():
        if arrived_ms <= instance.now_ms - 1500:
            assert instance.answers[number] <= arrived_ms + 1500


def test_instance_without_discovery_serves_by_the_stored_list_after_the_bound():
    instance = Instance()
    instance.run(10.0, STORED, EndpointListRequested(0.0))
    assert RESPONSE_TIMEOUT_MS <= instance.first_attempt_ms() <= RESPONSE_TIMEOUT_MS + STEP_MS
    assert {endpoint for _, endpoint in instance.attempts} == {"s0", "s1"}


def test_wait_ends_by_its_own_timer():
    instance = Instance()
    instance.handle(STORED, EndpointListRequested(0.0))
    timers = [expires_ms for expires_ms, *_ in instance.controller.timers.pending]
    assert START_MS + RESPONSE_TIMEOUT_MS in timers


@pytest.mark.parametrize("reloads_s", [(1.0,), (5.5,), (1.0, 2.0, 3.0), (1.0, 2.0, 3.0, 4.0, 5.0, 6.0, 7.0, 8.0, 9.0)])
def test_reload_during_the_wait_extends_it_within_a_bound(reloads_s):
    instance = Instance()
    instance.run(reloads_s[0], STORED, EndpointListRequested(0.0))
    for before_s, after_s in zip(reloads_s, [*reloads_s[1:], reloads_s[-1] + 20], strict=True):
        instance.run(after_s - before_s, EndpointListRequested(VALID_AFTER_RELOAD_MS))
    expected_ms = min(reloads_s[-1] * 1000 + RESPONSE_TIMEOUT_MS, MAX_WAIT_MS)
    assert expected_ms <= instance.first_attempt_ms() <= expected_ms + STEP_MS


def test_reload_in_service_holds_attempts_only_after_its_list_counts_as_known():
    instance = Instance()
    instance.run(1.0, STORED, EndpointListRequested(0.0), EndpointListConfirmed())
    instance.run(9.0, EndpointListRequested(VALID_AFTER_RELOAD_MS))
    held = [moment for moment, _ in instance.attempts if 5000 < moment < 7000]
    assert not held
    assert instance.first_attempt_ms(5000) <= 7000 + STEP_MS
    assert sum(1000 < moment <= 4950 for moment, _ in instance.attempts) >= 75


def test_reload_in_service_that_is_answered_in_time_holds_nothing():
    instance = Instance()
    instance.run(1.0, STORED, EndpointListRequested(0.0), EndpointListConfirmed())
    instance.run(3.5, EndpointListRequested(VALID_AFTER_RELOAD_MS))
    instance.run(4.0, CURRENT, EndpointListConfirmed())
    moments = [moment for moment, _ in instance.attempts]
    assert max(after - before for before, after in zip(moments, moments[1:], strict=False)) <= STEP_MS
    assert {endpoint for moment, endpoint in instance.attempts if moment > 4500} == {"s1"}


def test_list_is_current_without_a_request_and_after_the_wait():
    timers = TimerQueue()
    freshness = EndpointListFreshness(timers)

    def is_outdated(after_ms):
        timers.begin_batch(START_MS + after_ms, [])
        return freshness.is_outdated

    assert not is_outdated(0.0)
    freshness.on_requested(EndpointListRequested(0.0))
    assert is_outdated(0.0) and is_outdated(RESPONSE_TIMEOUT_MS - 1) and not is_outdated(RESPONSE_TIMEOUT_MS)
    assert not is_outdated(2 * MAX_WAIT_MS)
    freshness.on_requested(EndpointListRequested(VALID_AFTER_RELOAD_MS))
    assert not is_outdated(2 * MAX_WAIT_MS)
