"""Attempts over our own connections, in memory: reuse, dead connections, cancels, time-outs, faults."""

import pytest
import zope.interface
from twisted.internet import address, error, interfaces
from twisted.internet.testing import MemoryReactorClock, StringTransport
from twisted.python.failure import Failure

from anisefront.upstream.connection_pool import ConnectionPool, PoolLimits
from anisefront.policy.events import AttemptResult

ANSWER = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"


class Handle:
    """A socket that says whether its other side has closed."""

    def __init__(self):
        self.closed = False

    def recv(self, size, flags):
        if self.closed:
            return b""
        raise BlockingIOError


class Transport(StringTransport):
    def __init__(self):
        super().__init__()
        self.handle, self.aborted = Handle(), False
        self.full = False  # the system takes nothing

    def getHandle(self):
        return self.handle

    def abortConnection(self):
        self.aborted = True
        self.protocol.connectionLost(Failure(error.ConnectionAborted()))

    def setTcpNoDelay(self, on):
        pass

    def registerProducer(self, producer, streaming):
        self.producer = producer
        if not streaming:
            producer.resumeProducing()
            if not self.full:
                producer.resumeProducing()

    def unregisterProducer(self):
        self.producer = None

    def loseWriteConnection(self):
        """Both ends see it in the next turn of a loop; `shut` is that turn."""
        self.disconnecting = True

    def shut(self):
        """All is written, and our half is shut."""
        self.protocol.writeConnectionLost()


class Line:
    """A pool and its connections, made by hand."""

    def __init__(self, **limits):
        self.reactor = MemoryReactorClock()
        self.pool, self.ends, self.made = ConnectionPool(self.reactor, PoolLimits(**limits)), [], []

    def ask(self, allow=1.0):
        return self.pool.request(
            "127.0.0.1:80",
            b"GET / HTTP/1.1\r\n\r\n",
            allow,
            lambda result, message: self.ends.append((result, message and message.body)),
        )

    def connect(self):
        factory = self.reactor.tcpClients[-1][2]
        transport = Transport()
        transport.protocol = factory.buildProtocol(None)
        transport.protocol.makeConnection(transport)
        self.made.append(transport)
        return transport


def test_connection_is_used_again():
    line = Line()
    line.ask()
    first = line.connect()
    first.protocol.dataReceived(ANSWER)
    line.ask()
    assert len(line.reactor.tcpClients) == 1
    first.protocol.dataReceived(ANSWER)
    assert line.ends == [(None, b"ok")] * 2 and first.value().count(b"GET") == 2


def test_dead_idle_connection_is_no_failed_request():
    line = Line()
    line.ask()
    first = line.connect()
    first.protocol.dataReceived(ANSWER)
    first.handle.closed = True
    line.ask()
    assert len(line.reactor.tcpClients) == 2 and len(line.ends) == 1
    line.connect().protocol.dataReceived(ANSWER)
    assert line.ends[1] == (None, b"ok")


def test_idle_connections_are_closed_and_capped():
    line = Line(max_idle_per_endpoint=1, idle_timeout_s=2.0)
    for _ in range(2):
        line.ask()
        line.connect()
    for transport in line.made:
        transport.protocol.dataReceived(ANSWER)
    assert [transport.disconnecting for transport in line.made] == [False, True]
    line.reactor.advance(2.1)
    assert line.made[0].disconnecting and line.pool.take_idle("127.0.0.1:80") is None


def test_cancel_closes_the_connection_and_ends_once():
    line = Line()
    exchange = line.ask()
    transport = line.connect()
    exchange.cancel()
    exchange.cancel()
    assert transport.aborted and line.ends == [(AttemptResult.CANCELLED, None)]


def test_time_out_and_what_it_proves():
    line = Line()
    line.ask(0.5)
    line.reactor.advance(0.6)  # nothing was written
    line.ask(0.5)
    line.connect()
    line.reactor.advance(0.6)
    assert [result for result, _ in line.ends] == [AttemptResult.CONNECT_FAILED, AttemptResult.TIMEOUT]


def test_a_worker_that_has_a_name_is_reached_at_whatever_address_it_has():
    class Resolver:
        def resolveHostName(self, receiver, *args, **more):
            receiver.resolutionBegan(None)
            receiver.addressResolved(address.IPv6Address("TCP", "::1", 80))
            receiver.resolutionComplete()

    line = Line()
    line.reactor.nameResolver = Resolver()
    zope.interface.directlyProvides(
        line.reactor, *zope.interface.providedBy(line.reactor), interfaces.IReactorPluggableNameResolver
    )
    line.pool.request(
        "stalls.example:80",
        b"GET / HTTP/1.1\r\n\r\n",
        1.0,
        lambda result, message: line.ends.append((result, message and message.body)),
    )
    line.reactor.advance(0)
    assert line.reactor.tcpClients[-1][:2] == ("::1", 80)
    line.connect().protocol.dataReceived(ANSWER)
    assert line.ends == [(None, b"ok")] and line.pool.connections == 1


def test_refused_connection_never_ran():
    line = Line()
    line.ask()
    factory = line.reactor.tcpClients[-1][2]
    factory.clientConnectionFailed(None, Failure(error.ConnectionRefusedError()))
    assert line.ends == [(AttemptResult.CONNECT_FAILED, None)]


@pytest.mark.parametrize(
    ("data", "reason", "end"),
    [
        *[
            (data, reason, (AttemptResult.RESET, None))
            for data in (b"", ANSWER[:20], ANSWER[:-1])
            for reason in (error.ConnectionLost(), error.ConnectionDone())
        ],
        (b"HTTP/1.0 200 OK\r\n\r\nall", error.ConnectionDone(), (None, b"all")),
        (b"HTTP/1.0 200 OK\r\n\r\nall", error.ConnectionLost(), (AttemptResult.RESET, None)),
    ],
)  # a reset is no end
def test_connection_lost_before_headers_in_them_and_in_the_body(data, reason, end):
    line = Line()
    line.ask()
    transport = line.connect()
    if data:
        transport.protocol.dataReceived(data)
    transport.protocol.connectionLost(Failure(reason))
    assert line.ends == [end]


def test_garbage_is_an_error_and_closes():
    line = Line()
    line.ask()
    transport = line.connect()
    transport.protocol.dataReceived(b"SSH-2.0\r\n\r\n")
    assert transport.aborted and line.ends == [(AttemptResult.ERROR, None)]


def test_interim_answers_are_passed_over_and_unasked_bytes_close():
    line = Line()
    line.ask()
    transport = line.connect()
    transport.protocol.dataReceived(b"HTTP/1.1 103 Early Hints\r\n\r\n" + ANSWER)
    assert line.ends == [(None, b"ok")]
    transport.protocol.dataReceived(ANSWER)
    assert transport.aborted
