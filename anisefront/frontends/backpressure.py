"""Who does not read is not read from, and is cut off after a while; who sends much is read a little at a time."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

from twisted.internet import protocol


READ_BYTES = 16 << 10  # of one connection in one turn of the loop: some forty checks, a few milliseconds


class Backpressure(protocol.Protocol):
    """A connection that is its transport's producer; `watch_reader` begins it, `forget_reader` ends it."""

    _stuck: Any = None
    _full = False
    _busy = 0  # those who have enough to do with what was read

    def watch_reader(self, reactor: Any, stuck_s: float, cut: Callable[[], None]) -> None:
        """Stop reading while the transport's buffer is full; call `cut` where that lasts for `stuck_s` seconds."""
        self._reactor, self._stuck_s, self._cut = reactor, stuck_s, cut
        self.transport.bufferSize = READ_BYTES
        self.transport.registerProducer(self, True)

    def hold(self) -> None:
        """Read nothing more until `go_on`: what was read is still being worked on. Once for each who asks."""
        self._busy += 1
        self.transport.pauseProducing()

    def go_on(self) -> None:
        """One who asked to hold is done."""
        self._busy -= 1
        if not self._busy and not self._full and self.connected:
            self.transport.resumeProducing()

    def forget_reader(self) -> None:
        """The buffer is free again, or the connection is gone."""
        if self._stuck is not None and self._stuck.active():
            self._stuck.cancel()

    def pauseProducing(self) -> None:
        """The transport's buffer is full.

        Danger: it says so again at each write while it is full, and once only that it is free. A second timer would
        take the first one's place, and the first, which nobody could stop, would cut off a client that reads."""
        if self._full:
            return
        self._full = True
        self.transport.pauseProducing()
        self._stuck = self._reactor.callLater(self._stuck_s, self._cut)

    def resumeProducing(self) -> None:
        """It is free again."""
        self._full = False
        self.forget_reader()
        if not self._busy:
            self.transport.resumeProducing()

    def stopProducing(self) -> None:
        """The transport is closing."""
