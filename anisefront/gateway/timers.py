"""Timers of the controller, rounded up to a coarse granularity so that adjacent ones expire in one batch."""

from __future__ import annotations

import heapq
from collections.abc import Callable

from anisefront.gateway.interfaces import Timers
from anisefront.policy.events import TimerFired

TIMER_GRAIN_MS = 5.0


class CoarseTimers:
    """Named timers on top of one event loop timer. A name may be set for several points in time."""

    def __init__(self, timers: Timers, on_expiry: Callable[[], None]) -> None:
        """Create timers that call `on_expiry` once the earliest of them expires."""
        self._timers = timers
        self._on_expiry = on_expiry
        self._heap: list[tuple[float, str]] = []
        self._known: set[tuple[float, str]] = set()
        self._armed_ms = float("inf")  # expiry of the event loop timer that was set last

    def set(self, now_ms: float, delay_ms: float, name: str) -> None:
        """Set a timer; the same name at the same rounded time is set once."""
        expiry_ms = -(-(now_ms + delay_ms) // TIMER_GRAIN_MS) * TIMER_GRAIN_MS
        timer = (expiry_ms, name)
        if timer not in self._known:
            self._known.add(timer)
            heapq.heappush(self._heap, timer)

    def pop_expired(self, now_ms: float) -> list[TimerFired]:
        """Remove the timers that have expired and return one event for each name, in order of the names."""
        names: set[str] = set()
        while self._heap and self._heap[0][0] <= now_ms:
            timer = heapq.heappop(self._heap)
            self._known.discard(timer)
            names.add(timer[1])
        return [TimerFired(name) for name in sorted(names)]

    def lateness_ms(self, now_ms: float) -> float:
        """Return how long ago the earliest timer expired; 0 if none has."""
        return now_ms - min(self._next_expiry_ms(), now_ms)

    def arm(self, now_ms: float) -> None:
        """Set the event loop timer to the earliest expiry, unless it is set to that time or earlier."""
        earliest_ms = self._next_expiry_ms()
        if earliest_ms < self._armed_ms:
            self._armed_ms = earliest_ms
            self._timers.callLater(max(0.0, earliest_ms - now_ms) / 1000, self._expire, earliest_ms)

    def _next_expiry_ms(self) -> float:
        return self._heap[0][0] if self._heap else float("inf")

    def _expire(self, expiry_ms: float) -> None:
        if expiry_ms == self._armed_ms:  # otherwise an earlier timer was set meanwhile
            self._armed_ms = float("inf")
            self._on_expiry()
