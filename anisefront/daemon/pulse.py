"""The pulse of a loop: how late it comes to what is due, and whose time that was. Reads the kernel's counts."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

from anisefront.gateway.event_loop_lag import LagHistogram, SchedulerSample, parse_schedstat, thread_time_between

EVERY_MS = 50.0  # twenty a second: enough to see what a client feels, too few to be felt


def reading(pid: int | str, now_ms: float) -> SchedulerSample | None:
    """The kernel's counts for the main thread of a process; None where there are none to read."""
    try:
        with open(f"/proc/{pid}/schedstat") as file:
            return parse_schedstat(file.read(), now_ms)
    except OSError:
        return None


class Pulse:
    """Looks at the clock at a steady pace. `on_late(late_ms, cause)` hears of each notable lateness."""

    def __init__(
        self,
        reactor: Any,
        now_ms: Callable[[], float],
        on_late: Callable[[float, str], None],
        every_ms: float = EVERY_MS,
    ) -> None:
        self._reactor, self._now_ms, self._on_late, self._every_ms = reactor, now_ms, on_late, every_ms
        self.lag = LagHistogram()
        self._last: SchedulerSample | None = None
        self._due_ms = 0.0

    def start(self) -> None:
        """Begin, and go on until the loop ends."""
        self._again()

    def _again(self) -> None:
        now = self._now_ms()
        self._last = reading("self", now)
        self._due_ms = now + self._every_ms
        self._reactor.callLater(self._every_ms / 1000, self._beat)

    def _beat(self) -> None:
        now = self._now_ms()
        late, standing = now - self._due_ms, None
        if late >= self.lag.notable_ms:
            after = reading("self", now)
            standing = thread_time_between(self._last, after) if after and self._last else None
        cause = self.lag.record(late, standing)
        if late >= self.lag.notable_ms:
            self._on_late(late, cause)
        self._again()
