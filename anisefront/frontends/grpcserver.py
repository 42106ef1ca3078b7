"""A gRPC server on Twisted: streams of a connection to calls, calls to the services that answer them.

It knows no service and no message; `wire/` reads and writes what crosses the socket.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable, Mapping
from dataclasses import dataclass, field
from typing import Protocol

from twisted.internet import protocol
from twisted.python.failure import Failure

from anisefront.frontends.backpressure import Backpressure
from anisefront.protocols import grpc, http2


class Service(Protocol):
    """One call of one method, as its service sees it."""

    def message(self, data: bytes) -> None:
        """A whole message from the client; raises `grpc.CallFault` where it can't be taken."""

    def half_closed(self) -> None:
        """The client sends no more."""

    def gone(self) -> None:
        """The call is over before we ended it: cancelled, out of time, or its connection broke."""


Method = Callable[["Call"], Service]


@dataclass(slots=True)
class ServerLimits:
    """Caps of one listener. Times in seconds, sizes in bytes."""

    connections: int = 512
    message: int = 256 << 10
    preface_s: float = 5.0  # a connection that has not begun to speak by then is closed
    stuck_s: float = 20.0  # a peer that reads nothing for so long is cut off
    http2: http2.Limits = field(default_factory=http2.Limits)


class Call:
    """One stream. A service answers through it; after its end it takes nothing and does nothing."""

    __slots__ = ("_connection", "_headers_sent", "_stream", "_timer", "_unpacker", "headers", "over", "service")

    def __init__(
        self, connection: GrpcConnection, stream: int, headers: Mapping[bytes, bytes], unpacker: grpc.Unpacker
    ) -> None:
        self._connection, self._stream, self.headers, self._unpacker = connection, stream, headers, unpacker
        self._headers_sent, self.over, self._timer, self.service = False, False, None, None

    @property
    def peer(self) -> str:
        """The host at the other end."""
        return self._connection.transport.getPeer().host

    def reply(self, message: bytes) -> None:
        """Send one message."""
        if not self.over:
            self._open()
            self._connection.http2.send_data(self._stream, grpc.pack(message))
            self._connection.flush_soon()

    def finish(self, message: bytes | None = None) -> None:
        """End the call with OK, after a last message if there is one."""
        if not self.over:
            self._open()
            data = b"" if message is None else grpc.pack(message)
            self._connection.http2.send_data(self._stream, data, grpc.OK_TRAILERS)
            self._end()

    def fail(self, status: grpc.Status, why: str) -> None:
        """End the call with another status."""
        if self.over:
            return
        http2_ = self._connection.http2
        if self._headers_sent:
            http2_.send_data(self._stream, b"", grpc.trailers(status, why))
        else:
            http2_.send_headers(self._stream, grpc.only_trailers(status, why), True)
        self._end()

    def _open(self) -> None:
        if not self._headers_sent:
            self._headers_sent = True
            self._connection.http2.send_headers(self._stream, grpc.ANSWER_HEADERS)

    def _end(self) -> None:
        self._close()
        self._connection.flush_soon()

    def _close(self) -> None:
        self.over = True
        if self._timer is not None and self._timer.active():
            self._timer.cancel()
        self._connection.calls.pop(self._stream, None)

    def later(self, work: Callable[[], None]) -> None:
        """Go on with `work` after the loop has looked at all others; until then this client is not read from."""
        self._connection.hold()
        self._connection.factory.reactor.callLater(0, self._again, work)

    def _again(self, work: Callable[[], None]) -> None:
        self._connection.go_on()
        work()

    def limit(self, timeout_ms: float | None) -> None:
        """End the call by itself when its client no longer waits."""
        if timeout_ms is not None:
            self._timer = self._connection.factory.reactor.callLater(timeout_ms / 1000, self._late)

    def _late(self) -> None:
        self.fail(grpc.Status.DEADLINE_EXCEEDED, "out of time")
        self.service.gone()

    def lost(self) -> None:
        """The stream is gone."""
        if not self.over:
            self._close()
            self.service.gone()

    def data(self, data: bytes, ended: bool) -> None:
        """What came on the stream."""
        try:
            for message in self._unpacker.feed(data) if data else ():
                if self.over:
                    return
                self.service.message(message)
            if ended and not self.over:
                if self._unpacker.partial:
                    raise grpc.CallFault(grpc.Status.INTERNAL, "the stream ended inside a message")
                self.service.half_closed()
        except grpc.CallFault as fault:
            if not self.over:
                self.fail(fault.status, str(fault))
                self.service.gone()


class GrpcConnection(Backpressure):
    """One connection of a client."""

    def __init__(self, factory: GrpcFactory) -> None:
        self.factory, self.http2 = factory, http2.Connection(factory.limits.http2)
        self.calls: dict[int, Call] = {}
        self._flush_due, self._spoken = False, False

    def connectionMade(self) -> None:
        factory, transport = self.factory, self.transport
        transport.setTcpNoDelay(True)
        transport.setTcpKeepAlive(True)
        self.watch_reader(factory.reactor, factory.limits.stuck_s, self._cut)
        self._preface = factory.reactor.callLater(factory.limits.preface_s, self._silent)
        # Danger: one that is refused lingers until it has read so. It holds no place, or a crowd at the door would
        # keep out those who come when a place is free.
        if len(factory.connections) < factory.limits.connections:
            factory.connections.add(self)
        else:
            factory.counts["connections_refused"] += 1
            self._events(self.http2.end(http2.Code.ENHANCE_YOUR_CALM, "too many connections"))
        self._flush()

    def _silent(self) -> None:
        if not self._spoken:
            self.factory.counts["connections_silent"] += 1
            self.transport.abortConnection()

    def dataReceived(self, data: bytes) -> None:
        self._flush_due = True  # what is answered at once is written below
        self._events(self.http2.receive(data, self.factory.reactor.seconds() * 1000))
        self._flush()

    def _events(self, events: list[http2.Event]) -> None:
        for event in events:
            if isinstance(event, http2.RequestReceived):
                self._spoken = True
                self._begin(event)
            elif isinstance(event, http2.DataReceived):
                call = self.calls.get(event.stream)
                if call is not None:
                    call.data(event.data, event.ended)
            elif isinstance(event, http2.StreamReset):
                call = self.calls.get(event.stream)
                if call is not None:
                    call.lost()
            elif isinstance(event, http2.Broken):
                self.factory.counts[f"connections_broken_{event.code.name.lower()}"] += 1
                self._flush()
                self.transport.loseConnection()
                # one that does not read its GOAWAY would stay for good
                self.factory.reactor.callLater(1.0, self.transport.abortConnection)

    def _begin(self, event: http2.RequestReceived) -> None:
        headers = dict(event.headers)
        if headers[b":method"] != b"POST" or not headers.get(b"content-type", b"").startswith(b"application/grpc"):
            block = http2.literal_block((":status", "415"), ("content-type", "text/plain"))
            self.http2.send_headers(event.stream, block, True)
            return
        method = self.factory.methods.get(headers[b":path"])
        call = Call(self, event.stream, headers, grpc.Unpacker(self.factory.limits.message))
        self.calls[event.stream] = call
        if method is None:
            call.fail(grpc.Status.UNIMPLEMENTED, f"no method {headers[b':path'].decode('latin-1')[:100]}")
            return
        call.service = method(call)
        try:
            call.limit(grpc.timeout_ms(headers.get(b"grpc-timeout", b"")))
        except grpc.CallFault as fault:
            call.fail(fault.status, str(fault))
            return
        if event.ended:
            call.data(b"", True)

    def flush_soon(self) -> None:
        """Write what has collected at the end of this turn of the loop, once for all answers of it."""
        if not self._flush_due:
            self._flush_due = True
            self.factory.flush_soon(self)

    def _flush(self) -> None:
        self._flush_due = False
        data = self.http2.data_to_send()
        if data:
            self.transport.write(data)

    def connectionLost(self, reason: Failure = protocol.connectionDone) -> None:
        self.factory.connections.discard(self)
        self.forget_reader()
        if self._preface.active():
            self._preface.cancel()
        for call in list(self.calls.values()):
            call.lost()

    def leave(self) -> None:
        """Take no new calls; the open ones are finished."""
        self.http2.leave()
        self._flush()

    def _cut(self) -> None:
        self.factory.counts["connections_stuck"] += 1
        self.transport.abortConnection()


class GrpcFactory(protocol.ServerFactory):
    """A listener: its methods by path, its limits, its connections."""

    noisy = False

    def __init__(self, reactor: object, methods: Mapping[bytes, Method], limits: ServerLimits | None = None) -> None:
        self.reactor, self.methods, self.limits = reactor, dict(methods), limits or ServerLimits()
        self.connections: set[GrpcConnection] = set()
        self.counts: Counter[str] = Counter()
        self._unwritten: list[GrpcConnection] = []
        self._gathering = False

    def buildProtocol(self, address: object) -> GrpcConnection:
        return GrpcConnection(self)

    def flush_soon(self, connection: GrpcConnection) -> None:
        """Write a connection's answers at the end of the turn, or at the next moment where no turn is on."""
        if not self._unwritten and not self._gathering:
            self.reactor.callLater(0, self.flush)
        self._unwritten.append(connection)

    def gather(self) -> None:
        """A turn begins: its answers are written together when it calls `flush`."""
        self._gathering = True

    def flush(self) -> None:
        """Write what has collected for every connection."""
        self._gathering = False
        unwritten, self._unwritten = self._unwritten, []
        for connection in unwritten:
            connection._flush()

    def leave(self) -> None:
        """GOAWAY on every connection."""
        for connection in list(self.connections):
            connection.leave()
