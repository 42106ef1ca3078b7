"""Timers at a grain: which expire together, and when the event loop is asked to call."""

import pytest
from twisted.internet.task import Clock

from anisefront.gateway.timers import TIMER_GRAIN_MS, CoarseTimers
from anisefront.policy.events import TimerFired


@pytest.fixture
def clock():
    return Clock()


@pytest.fixture
def expiries(clock):
    return []


@pytest.fixture
def timers(clock, expiries):
    return CoarseTimers(clock, lambda: expiries.append(clock.seconds() * 1000))


def test_timers_of_one_grain_expire_together_in_order_of_their_names(timers):
    timers.set(0.0, TIMER_GRAIN_MS - 1, "b")
    timers.set(0.0, TIMER_GRAIN_MS - 4, "a")
    timers.set(0.0, TIMER_GRAIN_MS + 1, "later")
    assert timers.pop_expired(TIMER_GRAIN_MS - 0.1) == []
    assert timers.pop_expired(TIMER_GRAIN_MS) == [TimerFired("a"), TimerFired("b")]
    assert timers.pop_expired(2 * TIMER_GRAIN_MS) == [TimerFired("later")]


def test_a_name_that_expires_at_several_times_at_once_fires_once(timers):
    for delay_ms in (1.0, 2.0, TIMER_GRAIN_MS + 1):
        timers.set(0.0, delay_ms, "period")
    assert timers.pop_expired(3 * TIMER_GRAIN_MS) == [TimerFired("period")]
    assert timers.pop_expired(1e9) == []


def test_lateness_is_that_of_the_earliest_timer(timers):
    assert timers.lateness_ms(1000.0) == 0.0
    timers.set(0.0, 100.0, "first")
    timers.set(0.0, 200.0, "second")
    assert timers.lateness_ms(99.0) == 0.0 and timers.lateness_ms(350.0) == 250.0


def test_an_earlier_timer_replaces_the_call_that_was_armed(timers, clock, expiries):
    timers.set(0.0, 100.0, "late")
    timers.arm(0.0)
    timers.set(0.0, 50.0, "early")
    timers.arm(0.0)
    clock.advance(0.05)
    assert len(expiries) == 1 and timers.pop_expired(50.0) == [TimerFired("early")]
    timers.arm(50.0)
    clock.advance(0.05)
    assert len(expiries) == 2 and timers.pop_expired(100.0) == [TimerFired("late")]
