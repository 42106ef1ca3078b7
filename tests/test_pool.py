"""The connection pool in memory: reuse, dead connections, cancellation, timeouts and malformed responses."""

import pytest
import zope.interface
from twisted.internet import address, error, interfaces
from twisted.internet.testing import MemoryReactorClock, StringTransport
from twisted.python.failure import Failure

from anisefront.upstream.connection_pool import ConnectionPool, PoolLimits
from anisefront.policy.events import AttemptResult

RESPONSE = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"


class Handle:
    """A socket whose remote side is open or closed."""

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
        self.full = False  # the operating system accepts no data

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
        """Begin to close the write side; `shut` completes it, as the next iteration of an event loop does."""
        self.disconnecting = True

    def shut(self):
        """Complete the close of the write side."""
        self.protocol.writeConnectionLost()


class PoolHarness:
    """A connection pool whose connections are established by the test."""

    def __init__(self, **limits):
        self.reactor = MemoryReactorClock()
        self.pool, self.ends, self.transports = ConnectionPool(self.reactor, PoolLimits(**limits)), [], []

    def request(self, timeout_s=1.0):
        return self.pool.request(
            "127.0.0.1:80",
            b"GET / HTTP/1.1\r\n\r\n",
            timeout_s,
            lambda result, message: self.ends.append((result, message and message.body)),
        )

    def connect(self):
        factory = self.reactor.tcpClients[-1][2]
        transport = Transport()
        transport.protocol = factory.buildProtocol(None)
        transport.protocol.makeConnection(transport)
        self.transports.append(transport)
        return transport


def test_a_connection_is_reused():
    harness = PoolHarness()
    harness.request()
    first = harness.connect()
    first.protocol.dataReceived(RESPONSE)
    harness.request()
    assert len(harness.reactor.tcpClients) == 1
    first.protocol.dataReceived(RESPONSE)
    assert harness.ends == [(None, b"ok")] * 2 and first.value().count(b"GET") == 2


def test_a_dead_idle_connection_fails_no_request():
    harness = PoolHarness()
    harness.request()
    first = harness.connect()
    first.protocol.dataReceived(RESPONSE)
    first.handle.closed = True
    harness.request()
    assert len(harness.reactor.tcpClients) == 2 and len(harness.ends) == 1
    harness.connect().protocol.dataReceived(RESPONSE)
    assert harness.ends[1] == (None, b"ok")


def test_idle_connections_are_closed_and_limited():
    harness = PoolHarness(max_idle_per_endpoint=1, idle_timeout_s=2.0)
    for _ in range(2):
        harness.request()
        harness.connect()
    for transport in harness.transports:
        transport.protocol.dataReceived(RESPONSE)
    assert [transport.disconnecting for transport in harness.transports] == [False, True]
    harness.reactor.advance(2.1)
    assert harness.transports[0].disconnecting and harness.pool.take_idle("127.0.0.1:80") is None


def test_cancel_closes_the_connection_and_ends_once():
    harness = PoolHarness()
    exchange = harness.request()
    transport = harness.connect()
    exchange.cancel()
    exchange.cancel()
    assert transport.aborted and harness.ends == [(AttemptResult.CANCELLED, None)]


def test_a_timeout_before_and_after_the_request_was_written():
    harness = PoolHarness()
    harness.request(0.5)
    harness.reactor.advance(0.6)  # before a connection was made
    harness.request(0.5)
    harness.connect()
    harness.reactor.advance(0.6)
    assert [result for result, _ in harness.ends] == [AttemptResult.CONNECT_FAILED, AttemptResult.TIMEOUT]


def test_an_endpoint_with_a_host_name_is_reached_at_its_resolved_address():
    class Resolver:
        def resolveHostName(self, receiver, *args, **more):
            receiver.resolutionBegan(None)
            receiver.addressResolved(address.IPv6Address("TCP", "::1", 80))
            receiver.resolutionComplete()

    harness = PoolHarness()
    harness.reactor.nameResolver = Resolver()
    zope.interface.directlyProvides(
        harness.reactor, *zope.interface.providedBy(harness.reactor), interfaces.IReactorPluggableNameResolver
    )
    harness.pool.request(
        "stalls.example:80",
        b"GET / HTTP/1.1\r\n\r\n",
        1.0,
        lambda result, message: harness.ends.append((result, message and message.body)),
    )
    harness.reactor.advance(0)
    assert harness.reactor.tcpClients[-1][:2] == ("::1", 80)
    harness.connect().protocol.dataReceived(RESPONSE)
    assert harness.ends == [(None, b"ok")] and harness.pool.connections == 1


def test_a_refused_connection_proves_that_nothing_was_executed():
    harness = PoolHarness()
    harness.request()
    factory = harness.reactor.tcpClients[-1][2]
    factory.clientConnectionFailed(None, Failure(error.ConnectionRefusedError()))
    assert harness.ends == [(AttemptResult.CONNECT_FAILED, None)]


@pytest.mark.parametrize(
    ("data", "reason", "end"),
    [
        *[
            (data, reason, (AttemptResult.RESET, None))
            for data in (b"", RESPONSE[:20], RESPONSE[:-1])
            for reason in (error.ConnectionLost(), error.ConnectionDone())
        ],
        (b"HTTP/1.0 200 OK\r\n\r\nall", error.ConnectionDone(), (None, b"all")),
        (b"HTTP/1.0 200 OK\r\n\r\nall", error.ConnectionLost(), (AttemptResult.RESET, None)),
    ],
)  # a reset completes no response
def test_connection_lost_before_and_within_headers_and_body(data, reason, end):
    harness = PoolHarness()
    harness.request()
    transport = harness.connect()
    if data:
        transport.protocol.dataReceived(data)
    transport.protocol.connectionLost(Failure(reason))
    assert harness.ends == [end]


def test_a_malformed_response_is_an_error_and_closes_the_connection():
    harness = PoolHarness()
    harness.request()
    transport = harness.connect()
    transport.protocol.dataReceived(b"SSH-2.0\r\n\r\n")
    assert transport.aborted and harness.ends == [(AttemptResult.ERROR, None)]


def test_interim_responses_are_skipped_and_unsolicited_bytes_close_the_connection():
    harness = PoolHarness()
    harness.request()
    transport = harness.connect()
    transport.protocol.dataReceived(b"HTTP/1.1 103 Early Hints\r\n\r\n" + RESPONSE)
    assert harness.ends == [(None, b"ok")]
    transport.protocol.dataReceived(RESPONSE)
    assert transport.aborted
