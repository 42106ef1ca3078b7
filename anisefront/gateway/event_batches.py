"""Batches of events for the controller, in event loop iterations of bounded time.

Events wait in three queues: requests and all that must stay in order with them, ends of attempts, and peer messages.
An iteration takes slices of each queue in turn until its time is used up; the rest follows after the event loop has
read its sockets. Endpoint lists precede all other events, since endpoints that are listed as draining have
already begun to drain.
"""

from __future__ import annotations

from collections import Counter, deque
from collections.abc import Callable

from anisefront.gateway.event_loop_lag import LagHistogram
from anisefront.gateway.interfaces import Timers
from anisefront.gateway.process_stall import StallDetector
from anisefront.gateway.timers import CoarseTimers
from anisefront.policy.events import (
    AttemptEnded,
    EndpointList,
    EndpointListConfirmed,
    EndpointListRequested,
    Event,
    PeerMessage,
)

SLICE_EVENTS = 16  # events of each queue in one batch for the controller
MAX_ITERATION_MS = 4.0  # time after which an iteration starts no further slice; a slice takes less than 1 ms
MAX_WAITING_REQUESTS = 64  # queued events of requests above which frontends accept no further ones for a while
MAX_PEER_MESSAGES = 10_000  # queued peer messages; further ones are dropped
STALL_RETRY_S = 0.001  # delay of an iteration that a stall defers


class EventQueues:
    """Events that no iteration has taken yet.

    Access logs of a proxy end attempts and free capacity for its authorization checks, and a batch of logs must not
    delay the checks. Hence ends of attempts and requests have separate queues.
    """

    def __init__(self, counts: Counter[str]) -> None:
        """Start empty; dropped messages are counted in `counts`."""
        self.received = 0  # events since the start
        self._counts = counts
        self._endpoint_lists: list[Event] = []
        self._attempt_ends: deque[Event] = deque()
        self._requests: deque[Event] = deque()
        self._peer_messages: deque[Event] = deque()

    def __len__(self) -> int:
        """Return the number of queued events."""
        return len(self._requests) + len(self._attempt_ends) + len(self._peer_messages) + len(self._endpoint_lists)

    @property
    def waiting_requests(self) -> int:
        """Return the number of queued events of requests: arrivals, and clients that disconnected."""
        return len(self._requests)

    def add(self, event: Event) -> bool:
        """Append an event to its queue.

        Returns:
            Whether there was capacity. A dropped peer message counts as lost in the network: peers retry.
        """
        if isinstance(event, EndpointList | EndpointListRequested | EndpointListConfirmed):
            self._endpoint_lists.append(event)
        elif isinstance(event, AttemptEnded):
            self._attempt_ends.append(event)
        elif not isinstance(event, PeerMessage):
            self._requests.append(event)
        elif len(self._peer_messages) < MAX_PEER_MESSAGES:
            self._peer_messages.append(event)
        else:
            self._counts["heard_dropped"] += 1
            return False
        self.received += 1
        return True

    def add_before_later_attempt_ends(self, event: Event) -> None:
        """Append an event that the controller must receive before any end of an attempt that is added later."""
        self._attempt_ends.append(event)
        self.received += 1

    def take_slice(self) -> list[Event]:
        """Remove and return the next events of each queue; ends of attempts first, since they free capacity."""
        events = self._endpoint_lists
        self._endpoint_lists = []
        for queue in (self._attempt_ends, self._requests, self._peer_messages):
            for _ in range(min(SLICE_EVENTS, len(queue))):
                events.append(queue.popleft())
        return events


class EventBatches:
    """Runs event loop iterations, each of which hands batches of events to `process`."""

    def __init__(
        self,
        process: Callable[[float, list[Event]], None],
        now_ms: Callable[[], float],
        timers: Timers,
        counts: Counter[str],
        cpu_time_ms: Callable[[], float] = lambda: 0.0,
    ) -> None:
        """Create a runner without events.

        Args:
            process: Handles the events of one batch, given the time in milliseconds.
            now_ms: The clock.
            timers: The event loop's timers.
            counts: Where stalls and dropped messages are counted.
            cpu_time_ms: Returns the processor time that the process has used: lateness that it spent working is no
                stall.
        """
        self.before_iteration: list[Callable[[], None]] = []
        self.after_iteration: list[Callable[[], None]] = []  # frontends flush the responses of an iteration
        self.stopped = False
        self.lateness_ms = 0.0  # of the last iteration's earliest timer
        self.duration_ms = LagHistogram()  # of iterations
        self._process = process
        self._now_ms = now_ms
        self._timers = timers
        self._counts = counts
        self._cpu_time_ms = cpu_time_ms
        self._cpu_time_before_ms = cpu_time_ms()  # at the end of the last iteration
        self._queues = EventQueues(counts)
        self._controller_timers = CoarseTimers(timers, self.schedule_iteration)
        self._stall = StallDetector()
        self._scheduled = False
        self._running = False

    @property
    def waiting(self) -> int:
        """Return the number of events that no iteration has taken yet."""
        return len(self._queues)

    def is_behind(self) -> bool:
        """Return whether too many requests wait for frontends to accept further ones now."""
        return self._queues.waiting_requests >= MAX_WAITING_REQUESTS and not self.stopped

    def post(self, event: Event) -> None:
        """Queue an event for the next iteration."""
        if self._queues.add(event):
            self.schedule_iteration()

    def post_before_later_attempt_ends(self, event: Event) -> None:
        """Queue an event that the controller must receive before any end of an attempt that is posted later."""
        self._queues.add_before_later_attempt_ends(event)
        self.schedule_iteration()

    def set_timer(self, now_ms: float, delay_ms: float, name: str) -> None:
        """Set a timer of the controller."""
        self._controller_timers.set(now_ms, delay_ms, name)

    def schedule_iteration(self) -> None:
        """Schedule an iteration unless one is scheduled or runs."""
        if not self._scheduled and not self._running:
            self._scheduled = True
            self._timers.callLater(0, self.run_iteration)

    def run_scheduled(self) -> None:
        """Run the scheduled iteration at once, if any, so that queued events are processed before a frontend opens."""
        if self._scheduled:
            self.run_iteration()

    def run_iteration(self) -> None:
        """Process queued events in batches, until the queues are empty or the time of an iteration is used up."""
        if self.stopped:
            return
        now_ms = self._now_ms()
        self._scheduled = False
        self.lateness_ms = self._controller_timers.lateness_ms(now_ms)
        working_ms = self._cpu_time_ms() - self._cpu_time_before_ms
        if self._stall.should_defer(self.lateness_ms - working_ms, self._queues.received):
            self._defer_iteration()
            return
        fired = self._controller_timers.pop_expired(now_ms)
        self._running = True
        started_ms = now_ms
        for call in self.before_iteration:
            call()
        try:
            now_ms = self._process_batches(now_ms, fired)
        finally:
            self._running = False
        self.duration_ms.record(now_ms - started_ms)
        for call in self.after_iteration:
            call()
        if self.waiting:  # more than fits into one iteration, or ends of attempts that the batch itself caused
            self.schedule_iteration()
        self._controller_timers.arm(now_ms)
        self._cpu_time_before_ms = self._cpu_time_ms()

    def _defer_iteration(self) -> None:
        if self._stall.deferrals == 1:
            self._counts["standstills"] += 1
        self._scheduled = True
        self._timers.callLater(STALL_RETRY_S, self.run_iteration)

    def _process_batches(self, now_ms: float, fired: list[Event]) -> float:
        """Process batches, the first with the timers that fired, and return the time at the end.

        An unbounded iteration would delay sockets and timers, and responses would miss their deadlines.
        """
        started_ms = now_ms
        while True:
            self._process(now_ms, self._queues.take_slice() + fired)
            fired = []
            now_ms = max(now_ms, self._now_ms())
            if self.stopped or not self.waiting or now_ms - started_ms >= MAX_ITERATION_MS:
                return now_ms
