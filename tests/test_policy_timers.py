"""Timers of the controller."""

from anisefront.policy.actions import SetTimer
from anisefront.policy.timers import CLOCK_RESOLUTION_MS, TimerKind, TimerQueue


def expired(timers):
    """Return the kinds and subjects of the timers that expire now."""
    found = []
    timers.expire(lambda kind, subject: found.append((kind, subject)))
    return found


def queue_at(now_ms):
    timers, actions = TimerQueue(), []
    timers.begin_batch(now_ms, actions)
    return timers, actions


def test_setting_a_timer_returns_an_action():
    timers, actions = queue_at(100.0)
    timers.set(TimerKind.HEDGE_DELAY, 150.0, 7)
    assert actions == [SetTimer(50.0, "agenda")]


def test_a_timer_in_the_past_has_no_delay():
    timers, actions = queue_at(100.0)
    timers.set(TimerKind.SUBSCRIBE, 90.0)
    assert actions == [SetTimer(0.0, "agenda")]


def test_timers_with_the_same_expiry_expire_in_the_order_in_which_they_were_set():
    timers, _ = queue_at(0.0)
    for subject in (3, 1, 2):
        timers.set(TimerKind.RESPONSE_DEADLINE, 10.0, subject)
    timers.set(TimerKind.HEDGE_DELAY, 5.0, 9)
    timers.begin_batch(10.0, [])
    assert [subject for _, subject in expired(timers)] == [9, 3, 1, 2]
    assert not expired(timers)


def test_a_timer_that_is_set_while_others_expire_expires_with_them():
    timers, _ = queue_at(0.0)
    timers.set(TimerKind.SUBSCRIBE, 10.0, 1)
    timers.begin_batch(10.0, [])
    found = []

    def handle(kind, subject):
        found.append(subject)
        if subject < 3:
            timers.set(kind, 10.0, subject + 1)

    timers.expire(handle)
    assert found == [1, 2, 3]


def test_a_timer_may_fire_early_by_at_most_the_clock_resolution():
    timers, _ = queue_at(0.0)
    timers.set(TimerKind.SUBSCRIBE, 10.0)
    timers.begin_batch(10.0 - 2 * CLOCK_RESOLUTION_MS, [])
    assert not expired(timers)
    timers.begin_batch(10.0 - CLOCK_RESOLUTION_MS / 2, [])
    assert expired(timers) == [(TimerKind.SUBSCRIBE, -1)]
