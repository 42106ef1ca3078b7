"""Timers of the controller."""

from anisefront.policy.actions import SetTimer
from anisefront.policy.timers import CLOCK_RESOLUTION_MS, TimerKind, TimerQueue


def queue_at(now_ms):
    timers, actions = TimerQueue(), []
    timers.begin_batch(now_ms, actions)
    return timers, actions


def test_setting_a_timer_requests_one_of_the_host():
    timers, actions = queue_at(100.0)
    timers.set(TimerKind.HEDGE_DELAY, 150.0, 7)
    assert actions == [SetTimer(50.0, "agenda")]


def test_a_timer_in_the_past_is_requested_at_once():
    timers, actions = queue_at(100.0)
    timers.set(TimerKind.SUBSCRIBE, 90.0)
    assert actions == [SetTimer(0.0, "agenda")]


def test_timers_of_one_time_expire_in_the_order_in_which_they_were_set():
    timers, _ = queue_at(0.0)
    for subject in (3, 1, 2):
        timers.set(TimerKind.RESPONSE_DEADLINE, 10.0, subject)
    timers.set(TimerKind.HEDGE_DELAY, 5.0, 9)
    timers.begin_batch(10.0, [])
    expired = [timers.pop_expired() for _ in range(4)]
    assert [timer.subject for timer in expired] == [9, 3, 1, 2]
    assert timers.pop_expired() is None


def test_a_timer_may_fire_by_the_clock_resolution_early_and_no_more():
    timers, _ = queue_at(0.0)
    timers.set(TimerKind.SUBSCRIBE, 10.0)
    timers.begin_batch(10.0 - 2 * CLOCK_RESOLUTION_MS, [])
    assert timers.pop_expired() is None
    timers.begin_batch(10.0 - CLOCK_RESOLUTION_MS / 2, [])
    assert timers.pop_expired().kind is TimerKind.SUBSCRIBE
