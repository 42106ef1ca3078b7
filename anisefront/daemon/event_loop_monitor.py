"""Lateness of the event loop and its cause, by the kernel's scheduling counters."""

from __future__ import annotations

from collections.abc import Callable
from typing import TYPE_CHECKING

from anisefront.gateway.event_loop_lag import LagHistogram, SchedulerSample, parse_schedstat, thread_time_between

if TYPE_CHECKING:
    from twisted.internet.interfaces import IReactorTime

INTERVAL_MS = 50.0  # frequent enough for delays that clients notice, at negligible cost


def read_thread_times(pid: int | str, now_ms: float) -> SchedulerSample | None:
    """Return the kernel's counters for the main thread of a process; None if they can't be read."""
    try:
        with open(f"/proc/{pid}/schedstat") as file:
            return parse_schedstat(file.read(), now_ms)
    except OSError:
        return None


class EventLoopMonitor:
    """Measures at a fixed interval how late the event loop runs its timers."""

    def __init__(
        self,
        reactor: IReactorTime,
        now_ms: Callable[[], float],
        on_late: Callable[[float, str], None],
        interval_ms: float = INTERVAL_MS,
    ) -> None:
        """Create an inactive monitor; `on_late(late_ms, cause)` is called for each notable lateness."""
        self.lag = LagHistogram()
        self._reactor = reactor
        self._now_ms = now_ms
        self._on_late = on_late
        self._interval_ms = interval_ms
        self._previous: SchedulerSample | None = None
        self._due_ms = 0.0

    def start(self) -> None:
        """Measure until the event loop ends."""
        now_ms = self._now_ms()
        self._previous = read_thread_times("self", now_ms)
        self._due_ms = now_ms + self._interval_ms
        self._reactor.callLater(self._interval_ms / 1000, self._measure)

    def _measure(self) -> None:
        now_ms = self._now_ms()
        late_ms = now_ms - self._due_ms
        is_notable = late_ms >= self.lag.notable_ms
        spent = None
        if is_notable:
            current = read_thread_times("self", now_ms)
            if current and self._previous:
                spent = thread_time_between(self._previous, current)
        cause = self.lag.record(late_ms, spent)
        if is_notable:
            self._on_late(late_ms, cause)
        self.start()
