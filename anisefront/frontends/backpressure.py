"""Backpressure for connections: pauses reading while a client does not read, and aborts it after a timeout."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

from twisted.internet import protocol

READ_BYTES = 16 << 10  # of one connection in one event loop iteration: about forty checks, a few milliseconds


class Backpressure(protocol.Protocol):
    """Protocol that is its transport's producer.

    A subclass calls `start_backpressure` when its connection is made and `cancel_write_timeout` when it is lost.
    """

    _write_timeout: Any = None
    _write_buffer_full = False
    _read_pauses = 0  # calls of `pause_reading` without their `resume_reading`

    def start_backpressure(self, reactor: Any, write_timeout_s: float, on_write_timeout: Callable[[], None]) -> None:
        """Register as producer, so that reading stops while the transport's write buffer is full.

        Args:
            reactor: Runs the timer.
            write_timeout_s: How long the buffer may stay full.
            on_write_timeout: Called when the buffer has been full for that time.
        """
        self._reactor, self._write_timeout_s, self._on_write_timeout = reactor, write_timeout_s, on_write_timeout
        self.transport.bufferSize = READ_BYTES
        self.transport.registerProducer(self, True)

    @property
    def reads(self) -> bool:
        """Tell whether the client is read from."""
        return not self._read_pauses and not self._write_buffer_full

    def pause_reading(self) -> None:
        """Stop reading until `resume_reading`, as received data is still being processed. Calls nest."""
        self.pause_began()
        self._read_pauses += 1
        self.transport.pauseProducing()

    def resume_reading(self) -> None:
        """End one pause; read again when no other is left and the write buffer is not full."""
        self._read_pauses -= 1
        if self.reads and self.connected:
            self.transport.resumeProducing()
            self.pause_ended()

    def pause_began(self) -> None:
        """Note that the client is not read from; may be called within a pause. For subclasses."""

    def pause_ended(self) -> None:
        """Note that the client is read from again. For subclasses."""

    def cancel_write_timeout(self) -> None:
        """Stop the timer: the write buffer has drained, or the connection is lost."""
        if self._write_timeout is not None and self._write_timeout.active():
            self._write_timeout.cancel()

    def pauseProducing(self) -> None:
        """Stop reading and start the write timeout: the transport's write buffer is full.

        The transport calls this at each write while the buffer is full, but `resumeProducing` only once. A second
        timer would replace the first, which could then not be cancelled and would abort a client that reads.
        """
        if self._write_buffer_full:
            return
        self._write_buffer_full = True
        self.pause_began()
        self.transport.pauseProducing()
        self._write_timeout = self._reactor.callLater(self._write_timeout_s, self._on_write_timeout)

    def resumeProducing(self) -> None:
        """Read again: the write buffer has drained."""
        self._write_buffer_full = False
        self.cancel_write_timeout()
        if self.reads:
            self.transport.resumeProducing()
            self.pause_ended()

    def stopProducing(self) -> None:
        """Do nothing: the transport is closing."""
