"""Timer that is deferred after a process stall until the sockets have been read."""

from __future__ import annotations

import math
from collections.abc import Callable
from typing import TYPE_CHECKING, Any

if TYPE_CHECKING:
    from twisted.internet.interfaces import IReactorTime

MAX_DEFERRALS = 3  # event loop iterations
DEFERRAL_S = 0.001


class DeferredTimer:
    """A one-shot timer on the event loop; times are milliseconds of the clock.

    After a stall the event loop runs timers before it reads sockets. A handler that ran at once would take peers for
    unresponsive whose replies are still in the socket's receive buffer.
    """

    def __init__(
        self, reactor: IReactorTime, clock: Callable[[], float], on_timer: Callable[[], None], max_lateness_ms: float
    ) -> None:
        """Create an unset timer; if it is more than `max_lateness_ms` late, the process was stalled."""
        self._reactor = reactor
        self._clock = clock
        self._on_timer = on_timer
        self._max_lateness_ms = max_lateness_ms
        self._due_ms = math.inf
        self._deferrals = 0
        self._call: Any = None

    def schedule_by(self, due_ms: float) -> None:
        """Fire at this time, or earlier if it is already set to an earlier time; infinity cancels the timer."""
        if self._call is not None and self._call.active():
            if self._due_ms <= due_ms < math.inf:
                return
            self._call.cancel()
        self._due_ms = due_ms
        self._call = None
        if due_ms < math.inf:
            delay_s = max(0.0, due_ms - self._clock()) / 1000
            self._call = self._reactor.callLater(delay_s, self._fire)

    def cancel(self) -> None:
        """Cancel the timer."""
        self.schedule_by(math.inf)

    def _fire(self) -> None:
        is_late = self._clock() - self._due_ms > self._max_lateness_ms
        if is_late and self._deferrals < MAX_DEFERRALS:
            self._deferrals += 1
            self._call = self._reactor.callLater(DEFERRAL_S, self._fire)
            return
        self._deferrals = 0
        self._call = None
        self._due_ms = math.inf
        self._on_timer()
