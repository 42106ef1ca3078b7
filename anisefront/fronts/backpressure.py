"""Who does not read is not read from, and is cut off after a while: shared by all fronts."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

from twisted.internet import protocol


class Backpressure(protocol.Protocol):
    """A connection that is its transport's producer; `watch_reader` begins it, `forget_reader` ends it."""

    _stuck: Any = None

    def watch_reader(self, reactor: Any, stuck_s: float, cut: Callable[[], None]) -> None:
        """Stop reading while the transport's buffer is full; call `cut` where that lasts for `stuck_s` seconds."""
        self._reactor, self._stuck_s, self._cut = reactor, stuck_s, cut
        self.transport.registerProducer(self, True)

    def forget_reader(self) -> None:
        """The buffer is free again, or the connection is gone."""
        if self._stuck is not None and self._stuck.active():
            self._stuck.cancel()

    def pauseProducing(self) -> None:
        """The transport's buffer is full."""
        self.transport.pauseProducing()
        self._stuck = self._reactor.callLater(self._stuck_s, self._cut)

    def resumeProducing(self) -> None:
        """It is free again."""
        self.forget_reader()
        self.transport.resumeProducing()

    def stopProducing(self) -> None:
        """The transport is closing."""
