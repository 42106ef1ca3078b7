"""Detection of a process stall: when the timers of an iteration are deferred, and until when."""

from anisefront.gateway.process_stall import MAX_DEFERRALS, MAX_IDLE_DEFERRALS, MIN_STALL_MS, StallDetector

LATE_MS = MIN_STALL_MS + 1


def test_timers_in_time_are_not_deferred():
    detector = StallDetector()
    assert not detector.should_defer(0.0, 0) and not detector.should_defer(MIN_STALL_MS, 5)
    assert detector.deferrals == 0


def test_after_a_stall_timers_are_deferred_until_no_event_comes():
    detector = StallDetector()
    received = [10, 20, 30, *[30] * MAX_IDLE_DEFERRALS]
    assert all(detector.should_defer(LATE_MS, count) for count in received)
    assert detector.deferrals == len(received)
    assert not detector.should_defer(LATE_MS, 30)


def test_timers_are_deferred_a_bounded_number_of_times_while_events_keep_coming():
    detector = StallDetector()
    deferred = [detector.should_defer(LATE_MS, count) for count in range(1, MAX_DEFERRALS + 2)]
    assert deferred == [True] * MAX_DEFERRALS + [False]


def test_a_second_stall_is_detected_after_the_first_has_ended():
    detector = StallDetector()
    assert detector.should_defer(LATE_MS, 1) and not detector.should_defer(0.0, 2)
    assert detector.should_defer(LATE_MS, 3) and detector.deferrals == 1
