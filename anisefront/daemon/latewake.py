"""One wake-up on the event loop that is put off after a standstill, until the sockets have been read."""

from __future__ import annotations

import math
from collections.abc import Callable
from typing import Any

PUT_OFF = 3  # turns of the loop


class LateWake:
    """Calls `call` at the time that `at` was last given; milliseconds of `clock`. After a standstill (later than
    `late_ms`) the loop runs timers first: who judged then would blame others for answers that wait in our sockets."""

    def __init__(self, reactor: Any, clock: Callable[[], float], call: Callable[[], None], late_ms: float) -> None:
        self._reactor, self._clock, self._call_back, self._late_ms = reactor, clock, call, late_ms
        self._due_ms, self._put_off, self._call = math.inf, 0, None

    def at(self, due_ms: float) -> None:
        """The next time at the latest, infinite for never; an earlier one that was given stays."""
        if self._call is not None and self._call.active():
            if self._due_ms <= due_ms < math.inf:
                return
            self._call.cancel()
        self._due_ms, self._call = due_ms, None
        if due_ms < math.inf:
            self._call = self._reactor.callLater(max(0.0, due_ms - self._clock()) / 1000, self._rise)

    def stop(self) -> None:
        """No call any more."""
        self.at(math.inf)

    def _rise(self) -> None:
        if self._clock() - self._due_ms > self._late_ms and self._put_off < PUT_OFF:
            self._put_off += 1
            self._call = self._reactor.callLater(0.001, self._rise)
            return
        self._put_off, self._call, self._due_ms = 0, None, math.inf
        self._call_back()
