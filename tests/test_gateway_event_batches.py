"""Batches of events: order of the queues, bounds of an iteration, deferral after a process stall."""

from collections import Counter

import pytest
from twisted.internet.task import Clock

from anisefront.gateway.event_batches import (
    MAX_ITERATION_MS,
    MAX_PEER_MESSAGES,
    SLICE_EVENTS,
    EventBatches,
    EventQueues,
)
from anisefront.policy.events import (
    AttemptEnded,
    AttemptResult,
    ClientDisconnected,
    EndpointList,
    PeerMessage,
    TimerFired,
)

STALL_S = 1.0


def end_of(request):
    return AttemptEnded(request, 0, "endpoint", 1.0, AttemptResult.OK, False)


class Batches:
    """Event batches on a simulated clock, and what was processed."""

    def __init__(self):
        self.clock = Clock()
        self.counts = Counter()
        self.processed = []
        self.process_ms = self.cpu_ms = 0.0
        self.batches = EventBatches(self.process, self.now_ms, self.clock, self.counts, lambda: self.cpu_ms)

    def now_ms(self):
        return self.clock.seconds() * 1000

    def process(self, now_ms, events):
        self.processed.append(events)
        self.clock.rightNow += self.process_ms / 1000


@pytest.fixture
def made():
    return Batches()


def test_a_slice_has_endpoint_lists_first_then_ends_of_attempts_requests_and_peer_messages():
    queues = EventQueues(Counter())
    events = [PeerMessage(1, b""), ClientDisconnected(1), end_of(2), EndpointList(())]
    for event in events:
        assert queues.add(event)
    assert len(queues) == 4 and queues.take_slice() == events[::-1] and len(queues) == 0


def test_a_slice_takes_as_many_events_of_each_queue():
    queues = EventQueues(Counter())
    for number in range(SLICE_EVENTS + 1):
        queues.add(end_of(number))
        queues.add(ClientDisconnected(number))
    assert len(queues.take_slice()) == 2 * SLICE_EVENTS and len(queues.take_slice()) == 2


def test_peer_messages_above_the_limit_are_dropped_and_counted():
    counts = Counter()
    queues = EventQueues(counts)
    added = [queues.add(PeerMessage(1, b"")) for _ in range(MAX_PEER_MESSAGES + 3)]
    assert added.count(False) == counts["heard_dropped"] == 3
    assert queues.add(ClientDisconnected(1)) and queues.received == MAX_PEER_MESSAGES + 1


def test_an_event_before_later_ends_of_attempts_precedes_them():
    queues = EventQueues(Counter())
    queues.add_before_later_attempt_ends(ClientDisconnected(1))
    queues.add(end_of(1))
    assert queues.take_slice() == [ClientDisconnected(1), end_of(1)]


def test_events_of_one_moment_are_processed_in_one_iteration(made):
    for number in range(3):
        made.batches.post(ClientDisconnected(number))
    made.clock.advance(0)
    assert made.processed == [[ClientDisconnected(number) for number in range(3)]] and made.batches.waiting == 0


def test_an_iteration_ends_when_its_time_is_up_and_continues_after_the_event_loop(made):
    made.process_ms = MAX_ITERATION_MS
    for number in range(2 * SLICE_EVENTS):
        made.batches.post(ClientDisconnected(number))
    iterations = []
    made.batches.after_iteration.append(lambda: iterations.append(len(made.processed)))
    made.clock.advance(0)
    made.clock.advance(0)
    assert iterations == [1, 2]


def test_a_scheduled_iteration_can_be_run_at_once(made):
    made.batches.run_scheduled()
    assert not made.processed
    made.batches.post(ClientDisconnected(1))
    made.batches.run_scheduled()
    made.batches.run_scheduled()
    assert made.processed == [[ClientDisconnected(1)]]


def test_after_a_stall_events_that_come_meanwhile_precede_the_timer(made):
    made.batches.set_timer(0.0, 10.0, "period")
    made.batches.run_iteration()
    made.processed.clear()
    made.clock.rightNow += STALL_S
    made.clock.advance(0)
    made.batches.post(ClientDisconnected(1))
    assert not made.processed and made.counts["standstills"] == 1
    for _ in range(10):
        made.clock.advance(0.001)
    assert made.processed == [[ClientDisconnected(1), TimerFired("period")]] and made.counts["standstills"] == 1


def test_timers_are_not_deferred_if_the_process_itself_worked_all_the_time(made):
    """Guards against a flood that is taken for a stall, so that timers are put off for as long as it lasts."""
    made.batches.set_timer(0.0, 10.0, "period")
    made.batches.run_iteration()
    made.processed.clear()
    made.clock.rightNow += STALL_S
    made.cpu_ms += 0.9 * STALL_S * 1000
    made.clock.advance(0)
    assert made.processed == [[TimerFired("period")]] and not made.counts["standstills"]


def test_work_before_the_last_iteration_does_not_hide_a_stall(made):
    made.cpu_ms = 60_000.0
    made.batches.set_timer(0.0, 10.0, "period")
    made.batches.run_iteration()
    made.processed.clear()
    made.clock.rightNow += STALL_S
    made.clock.advance(0)
    assert not made.processed and made.counts["standstills"] == 1


def test_stopped_batches_process_nothing(made):
    made.batches.post(ClientDisconnected(1))
    made.batches.stopped = True
    made.clock.advance(0)
    assert not made.processed
