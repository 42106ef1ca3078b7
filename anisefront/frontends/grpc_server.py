"""gRPC server on Twisted: passes the streams of a connection to calls, and calls to their services.

It is independent of services and messages; `protocols/` parses and encodes the bytes of the connection.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Mapping
from dataclasses import dataclass, field
from typing import Any

from twisted.internet import protocol
from twisted.python.failure import Failure

from anisefront.frontends.backpressure import Backpressure
from anisefront.frontends.grpc_call import Call, Method
from anisefront.frontends.input_scheduler import InputScheduler
from anisefront.protocols import grpc
from anisefront.protocols.http2_connection import Http2Connection
from anisefront.protocols.http2_events import (
    ConnectionTerminated,
    DataReceived,
    Event,
    RequestReceived,
    StreamReset,
)
from anisefront.protocols.http2_frames import ErrorCode
from anisefront.protocols.http2_headers import literal_block
from anisefront.protocols.http2_limits import Http2Limits

GOAWAY_READ_TIMEOUT_S = 1.0  # for a client to read the GOAWAY frame
MAX_REPORTED_PATH = 100  # characters


@dataclass(slots=True)
class ServerLimits:
    """Caps of one listener."""

    max_connections: int = 512
    max_message_bytes: int = 256 << 10
    preface_timeout_s: float = 5.0  # a connection without a request by then is closed
    write_timeout_s: float = 20.0  # a client that reads nothing for this time is aborted
    http2: Http2Limits = field(default_factory=Http2Limits)


class GrpcConnection(Backpressure):
    """One connection of a client."""

    def __init__(self, factory: GrpcFactory) -> None:
        """Create the protocol of a new connection."""
        self.factory = factory
        self.http2 = Http2Connection(factory.limits.http2)
        self.calls: dict[int, Call] = {}
        self._flush_scheduled = False
        self._request_received = False
        self._received = bytearray()  # not processed yet

    @property
    def reactor(self) -> Any:
        """Return the event loop."""
        return self.factory.reactor

    def connectionMade(self) -> None:
        """Send SETTINGS, or GOAWAY if there are too many connections."""
        factory = self.factory
        self.transport.setTcpNoDelay(True)
        self.transport.setTcpKeepAlive(True)
        self.start_backpressure(factory.reactor, factory.limits.write_timeout_s, self._write_timed_out)
        self._preface_timer = factory.reactor.callLater(factory.limits.preface_timeout_s, self._preface_timed_out)
        # A rejected connection stays open until its client has read GOAWAY. It must not count as a connection, or
        # many rejected clients would exclude others for which there is capacity again.
        if len(factory.connections) < factory.limits.max_connections:
            factory.connections.add(self)
        else:
            factory.counts["connections_refused"] += 1
            self._dispatch(self.http2.end(ErrorCode.ENHANCE_YOUR_CALM, "too many connections"))
        self.flush()

    def dataReceived(self, data: bytes) -> None:
        """Process bytes in turns."""
        self._received += data
        self.factory.input_scheduler.submit(self)

    def take_turn(self, max_bytes: int) -> bool:
        """Process at most `max_bytes` and write the immediate responses together; return whether bytes are left."""
        data = bytes(self._received[:max_bytes])
        del self._received[:max_bytes]
        self._flush_scheduled = True  # it is written below
        self._dispatch(self.http2.receive(data, self.factory.reactor.seconds() * 1000))
        self.flush()
        return bool(self._received)

    def begin_waiting(self) -> None:
        """Stop reading until the received bytes have had their turns."""
        self.pause_reading()

    def end_waiting(self) -> None:
        """Read again."""
        self.resume_reading()

    def connectionLost(self, reason: Failure = protocol.connectionDone) -> None:
        """Cancel the open calls."""
        self.factory.connections.discard(self)
        self.factory.input_scheduler.remove(self)
        self._received.clear()
        self.cancel_write_timeout()
        if self._preface_timer.active():
            self._preface_timer.cancel()
        for call in list(self.calls.values()):
            call.stream_closed()

    def flush_soon(self) -> None:
        """Write the pending output at the end of this event loop iteration, once for all its responses."""
        if not self._flush_scheduled:
            self._flush_scheduled = True
            self.factory.flush_soon(self)

    def flush(self) -> None:
        """Write the pending output."""
        self._flush_scheduled = False
        data = self.http2.data_to_send()
        if data:
            self.transport.write(data)

    def drain(self) -> None:
        """Accept no new calls; the open ones are finished."""
        self.http2.drain()
        self.flush()

    def _dispatch(self, events: list[Event]) -> None:
        for event in events:
            if isinstance(event, RequestReceived):
                self._request_received = True
                self._start_call(event)
            elif isinstance(event, DataReceived):
                call = self.calls.get(event.stream_id)
                if call is not None:
                    call.data_received(event.data, event.end_stream)
            elif isinstance(event, StreamReset):
                call = self.calls.get(event.stream_id)
                if call is not None:
                    call.stream_closed()
            elif isinstance(event, ConnectionTerminated):
                self._close(event.code)

    def _close(self, code: ErrorCode) -> None:
        self.factory.counts[f"connections_broken_{code.name.lower()}"] += 1
        self.flush()
        self.transport.loseConnection()
        # A client that does not read its GOAWAY would keep the connection open forever.
        self.factory.reactor.callLater(GOAWAY_READ_TIMEOUT_S, self.transport.abortConnection)

    def _start_call(self, event: RequestReceived) -> None:
        headers = dict(event.headers)
        if headers[b":method"] != b"POST" or not headers.get(b"content-type", b"").startswith(b"application/grpc"):
            block = literal_block((":status", "415"), ("content-type", "text/plain"))
            self.http2.send_headers(event.stream_id, block, True)
            return
        method = self.factory.methods.get(headers[b":path"])
        call = Call(self, event.stream_id, headers, grpc.MessageDecoder(self.factory.limits.max_message_bytes))
        self.calls[event.stream_id] = call
        if method is None:
            path = headers[b":path"].decode("latin-1")[:MAX_REPORTED_PATH]
            call.fail(grpc.StatusCode.UNIMPLEMENTED, f"no method {path}")
            return
        call.service = method(call)
        try:
            call.set_timeout(grpc.decode_timeout_ms(headers.get(b"grpc-timeout", b"")))
        except grpc.GrpcStatusError as error:
            call.fail(error.status, str(error))
            return
        if event.end_stream:
            call.data_received(b"", True)

    def _preface_timed_out(self) -> None:
        if not self._request_received:
            self.factory.counts["connections_silent"] += 1
            self.transport.abortConnection()

    def _write_timed_out(self) -> None:
        self.factory.counts["connections_stuck"] += 1
        self.transport.abortConnection()


class GrpcFactory(protocol.ServerFactory):
    """A listener: its methods by path, its limits, its connections."""

    noisy = False

    def __init__(
        self,
        reactor: Any,
        methods: Mapping[bytes, Method],
        limits: ServerLimits | None = None,
        input_scheduler: InputScheduler | None = None,
    ) -> None:
        """Create the factory of a listener; `input_scheduler` is one that other listeners share."""
        self.reactor = reactor
        self.methods = dict(methods)
        self.limits = limits or ServerLimits()
        self.input_scheduler = input_scheduler or InputScheduler(reactor)
        self.connections: set[GrpcConnection] = set()
        self.counts: Counter[str] = Counter()
        self._unwritten: list[GrpcConnection] = []
        self._collecting = False

    def buildProtocol(self, address: object) -> GrpcConnection:
        """Create the protocol of a new connection."""
        return GrpcConnection(self)

    def flush_soon(self, connection: GrpcConnection) -> None:
        """Write a connection's responses at the end of the batch, or in the next iteration if there is no batch."""
        if not self._unwritten and not self._collecting:
            self.reactor.callLater(0, self.flush)
        self._unwritten.append(connection)

    def collect(self) -> None:
        """Begin a batch: its responses are written together when it calls `flush`."""
        self._collecting = True

    def flush(self) -> None:
        """Write the responses of every connection."""
        self._collecting = False
        unwritten = self._unwritten
        self._unwritten = []
        for connection in unwritten:
            connection.flush()

    def drain(self) -> None:
        """Send GOAWAY on every connection."""
        for connection in list(self.connections):
            connection.drain()
