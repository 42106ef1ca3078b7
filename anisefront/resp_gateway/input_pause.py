"""Pause of one connection's input, so that a flood of commands does not take the event loop's time from others.

There are two stages. They differ in what the gateway still notices:

1. Parsing is paused. The transport is still read, into a bounded buffer, so that the end of the connection is noticed
   and the client's open requests are cancelled. Begins after an invalid command or a very long batch, once all that was
   received with it is parsed.
2. Reading is paused too. Begins when the buffer is full; the kernel's flow control then stops the client.

A connection may carry requests of many clients, valid ones of some and invalid ones of others. So only invalid commands
in a row make the pause longer, and even the longest pause leaves a request time to be served or rejected.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

PAUSE_S = 0.1  # after a long batch, and when the buffer is full
MAX_PAUSE_S = 0.4  # after an invalid command: doubled by each one in a row from `PAUSE_S` up to this
MAX_BUFFERED = (64 << 10) + 1024  # bytes that wait during a pause: one command of the maximum length


@dataclass(slots=True)
class _Arrival:
    """Bytes of the buffer that arrived together."""

    size: int
    at_ms: float


class InputPause:
    """State of the pause, and the received bytes that are not parsed yet.

    Attributes:
        active: Commands are not parsed now.
        reading_paused: The transport is not read either.
        buffered: Bytes that wait for the end of the pause, or for the connection's turn.
    """

    def __init__(self, reactor: Any, resume: Callable[[], None]) -> None:
        """Start without a pause.

        Args:
            reactor: Runs the timer.
            resume: Called when the pause has elapsed; it calls `end`.
        """
        self.active = False
        self.reading_paused = False
        self.buffered = bytearray()
        self._arrivals: deque[_Arrival] = deque()  # of the buffered bytes, oldest first
        self._reactor = reactor
        self._resume = resume
        self._pending_s = 0.0  # the pause that begins when nothing is buffered; 0 for none
        self._next_pause_s = PAUSE_S  # after an invalid command
        self._timer: Any = None

    @property
    def overflowed(self) -> bool:
        """Tell whether more bytes wait than this connection may buffer."""
        return len(self.buffered) > MAX_BUFFERED

    def long_batch_received(self) -> None:
        """Have a pause begin after a long batch, unless one is pending or has begun."""
        if not (self.active or self._pending_s):
            self._pending_s = PAUSE_S

    def invalid_command_received(self) -> None:
        """Have a pause begin after an invalid command, twice as long as after the one before, unless one is pending."""
        if not (self.active or self._pending_s):
            self._pending_s = self._next_pause_s
            self._next_pause_s = min(MAX_PAUSE_S, 2 * self._next_pause_s)

    def valid_request_received(self) -> None:
        """Return to the shortest pause: the connection does not carry invalid commands alone."""
        self._next_pause_s = PAUSE_S

    def begin_pending(self) -> None:
        """Begin the pending pause, if any."""
        if self._pending_s:
            self.active = True
            self._timer = self._reactor.callLater(self._pending_s, self._resume)
            self._pending_s = 0.0

    def buffer(self, data: bytes, arrived_ms: float) -> None:
        """Buffer bytes until they can be parsed."""
        self.buffered += data
        self._arrivals.append(_Arrival(len(data), arrived_ms))

    def take_slice(self, max_bytes: int) -> tuple[bytes, float]:
        """Remove and return the first bytes of the buffer, that arrived together, and when they did."""
        arrival = self._arrivals[0]
        size = min(max_bytes, arrival.size)
        arrival.size -= size
        if not arrival.size:
            self._arrivals.popleft()
        data = bytes(self.buffered[:size])
        del self.buffered[:size]
        return data, arrival.at_ms

    def take_buffered(self) -> bytes:
        """Empty the buffer and return what was in it."""
        data = bytes(self.buffered)
        self.buffered = bytearray()
        self._arrivals.clear()
        return data

    def pause_reading(self, stop_reading: Callable[[], None]) -> None:
        """Pause reading as well, for `PAUSE_S` from now on."""
        if self.reading_paused:
            return
        self.reading_paused = True
        stop_reading()
        self._timer.cancel()
        self._timer = self._reactor.callLater(PAUSE_S, self._resume)

    def end(self, continue_reading: Callable[[], None]) -> None:
        """End both stages, and drop a pending pause."""
        self.cancel_timer()
        self.active = False
        self._pending_s = 0.0
        if self.reading_paused:
            self.reading_paused = False
            continue_reading()

    def cancel_timer(self) -> None:
        """Stop the timer: the connection has ended, or the pause ends early."""
        if self._timer is not None and self._timer.active():
            self._timer.cancel()
