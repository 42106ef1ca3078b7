"""One call of a gRPC connection: a stream on one side, the service that answers it on the other."""

from __future__ import annotations

from collections.abc import Callable, Mapping
from typing import Any, Protocol

from anisefront.protocols import grpc
from anisefront.protocols.http2_connection import Http2Connection


class Service(Protocol):
    """One call of one method, as its service sees it."""

    def message_received(self, data: bytes) -> None:
        """Process a complete message from the client; raises `grpc.GrpcStatusError` if it can't be used."""

    def half_closed(self) -> None:
        """Note that the client sends no more."""

    def cancelled(self) -> None:
        """Release the call: its client cancelled it, its deadline passed, or its connection was lost."""


class CallConnection(Protocol):
    """Interface of the connection, as its calls use it."""

    transport: Any
    http2: Http2Connection
    calls: dict[int, Call]

    @property
    def reactor(self) -> Any:
        """Return the event loop."""

    def flush_soon(self) -> None:
        """Write the pending output at the end of this event loop iteration."""

    def pause_reading(self) -> None:
        """Stop reading from the client."""

    def resume_reading(self) -> None:
        """Read from the client again."""


Method = Callable[["Call"], Service]


class Call:
    """One stream. A service answers through it; after its end all responses are ignored."""

    __slots__ = ("_connection", "_decoder", "_headers_sent", "_stream_id", "_timer", "ended", "headers", "service")

    def __init__(
        self, connection: CallConnection, stream_id: int, headers: Mapping[bytes, bytes], decoder: grpc.MessageDecoder
    ) -> None:
        """Create the call of a new stream; its service is assigned afterwards."""
        self.headers = headers
        self.ended = False
        self.service: Service | None = None
        self._connection = connection
        self._stream_id = stream_id
        self._decoder = decoder
        self._headers_sent = False
        self._timer: Any = None

    @property
    def peer(self) -> str:
        """Return the host of the client."""
        return self._connection.transport.getPeer().host

    # ---- responses ------------------------------------------------------------------------------

    def reply(self, message: bytes) -> None:
        """Send one message."""
        if self.ended:
            return
        self._send_headers()
        self._connection.http2.send_data(self._stream_id, grpc.encode_message(message))
        self._connection.flush_soon()

    def finish(self, message: bytes | None = None) -> None:
        """End the call with OK, after a last message if there is one."""
        if self.ended:
            return
        self._send_headers()
        data = b"" if message is None else grpc.encode_message(message)
        self._connection.http2.send_data(self._stream_id, data, grpc.OK_TRAILERS)
        self._close()
        self._connection.flush_soon()

    def fail(self, status: grpc.StatusCode, reason: str) -> None:
        """End the call with another status than OK."""
        if self.ended:
            return
        connection = self._connection.http2
        if self._headers_sent:
            connection.send_data(self._stream_id, b"", grpc.encode_trailers(status, reason))
        else:
            connection.send_headers(self._stream_id, grpc.encode_trailers_only(status, reason), True)
        self._close()
        self._connection.flush_soon()

    def _send_headers(self) -> None:
        if not self._headers_sent:
            self._headers_sent = True
            self._connection.http2.send_headers(self._stream_id, grpc.RESPONSE_HEADERS)

    def _close(self) -> None:
        self.ended = True
        if self._timer is not None and self._timer.active():
            self._timer.cancel()
        self._connection.calls.pop(self._stream_id, None)

    # ---- event loop -----------------------------------------------------------------------------

    def continue_in_next_iteration(self, work: Callable[[], None]) -> None:
        """Run `work` in the next event loop iteration; until then the client is not read from."""
        self._connection.pause_reading()
        self._connection.reactor.callLater(0, self._continue, work)

    def _continue(self, work: Callable[[], None]) -> None:
        self._connection.resume_reading()
        work()

    def set_timeout(self, timeout_ms: float | None) -> None:
        """End the call once its client no longer waits; None sets no timeout."""
        if timeout_ms is not None:
            self._timer = self._connection.reactor.callLater(timeout_ms / 1000, self._deadline_exceeded)

    def _deadline_exceeded(self) -> None:
        self.fail(grpc.StatusCode.DEADLINE_EXCEEDED, "out of time")
        self.service.cancelled()

    # ---- events of the stream -------------------------------------------------------------------

    def stream_closed(self) -> None:
        """Cancel the call: its stream was reset, or its connection was lost."""
        if not self.ended:
            self._close()
            self.service.cancelled()

    def data_received(self, data: bytes, end_stream: bool) -> None:
        """Pass the messages in the stream's data on to the service."""
        try:
            self._deliver(data, end_stream)
        except grpc.GrpcStatusError as error:
            if not self.ended:
                self.fail(error.status, str(error))
                self.service.cancelled()

    def _deliver(self, data: bytes, end_stream: bool) -> None:
        messages = self._decoder.feed(data) if data else []
        for message in messages:
            if self.ended:
                return
            self.service.message_received(message)
        if not end_stream or self.ended:
            return
        if self._decoder.has_partial_message:
            raise grpc.GrpcStatusError(grpc.StatusCode.INTERNAL, "the stream ended inside a message")
        self.service.half_closed()
