"""One connection of the pool, on Twisted. It carries one exchange at a time."""

from __future__ import annotations

import socket
from typing import TYPE_CHECKING, Any

from twisted.internet import error, protocol
from twisted.python.failure import Failure

from anisefront.policy.events import AttemptResult

if TYPE_CHECKING:
    from anisefront.upstream.connection_pool import ConnectionPool
    from anisefront.upstream.pool_exchange import Exchange


class PoolConnection(protocol.Protocol):
    """A connection to an endpoint.

    Attributes:
        exchange: The exchange that it carries or, until it is connected, for which it is made.
        idle_since_s: When its last exchange ended.
        writing: Whether part of the request has not been handed to the operating system yet.
    """

    def __init__(self, pool: ConnectionPool, endpoint: str, address: tuple[str, int], exchange: Exchange) -> None:
        """Create a connection that is made for an exchange."""
        self.pool = pool
        self.endpoint = endpoint
        self.address = address
        self.exchange: Exchange | None = exchange
        self.reader = pool.make_reader()
        self.idle_since_s = 0.0
        self.writing = False
        self._stall_timer: Any = None
        self._unwritten: bytes | None = None  # to be handed to the transport

    def connectionMade(self) -> None:
        """Start the exchange that the connection was made for."""
        self.transport.setTcpNoDelay(True)
        exchange = self.exchange
        self.exchange = None
        exchange.connected(self)

    def write(self, data: bytes) -> None:
        """Write a request. The transport asks its producer for more once the operating system has all of it."""
        self._unwritten = data
        self.writing = True
        self.transport.registerProducer(self, False)

    def resumeProducing(self) -> None:
        """Hand the request to the transport; a second call means that the operating system has all of it."""
        data = self._unwritten
        self._unwritten = None
        if data is not None:
            self.transport.write(data)
        else:
            self.writing = False
            self.transport.unregisterProducer()

    def stopProducing(self) -> None:
        """Do nothing: the transport is closing."""

    def dataReceived(self, data: bytes) -> None:
        """Read a response, or abort the connection if no request is pending."""
        exchange = self.exchange
        if exchange is None:
            # The transport reports the abort in a later iteration. If the connection stayed in the pool until then, a
            # request could be written to it, and these bytes would be taken for its response.
            self.pool.counts["unasked"] += 1
            self.pool.remove_idle(self)
            self.transport.abortConnection()
        elif self.writing and not self.reader.allows_early_response:
            # Bytes that arrived between the check of an idle connection and the write would be taken for the response
            # to a request that the endpoint has not read.
            self.pool.counts["unasked"] += 1
            self._abort(exchange, AttemptResult.CONNECT_FAILED)
        else:
            self._read_response(exchange, data)

    def connectionLost(self, reason: Failure = protocol.connectionDone) -> None:
        """End the exchange, unless the end of the connection completes its response."""
        self._cancel_stall_timer()
        self.pool.connection_closed(self)
        exchange = self.exchange
        self.exchange = None
        if exchange is None:
            return
        # Only a clean close completes a response without a length: after a reset it is truncated.
        response = self.reader.close() if reason.check(error.ConnectionDone) else None
        if response is not None:
            exchange.finish(None, response)
        else:
            exchange.finish(AttemptResult.CONNECT_FAILED if self.writing else AttemptResult.RESET, None)

    def is_dead(self) -> bool:
        """Return whether the endpoint has closed or sent bytes that the event loop has not reported yet."""
        try:
            return self.transport.getHandle().recv(1, socket.MSG_PEEK | socket.MSG_DONTWAIT) is not None
        except BlockingIOError:
            return False
        except OSError:
            return True

    def _read_response(self, exchange: Exchange, data: bytes) -> None:
        try:
            found = self.reader.feed(data)
        except self.reader.fault:
            self.pool.counts["spoilt"] += 1
            self._abort(exchange, AttemptResult.ERROR)
            return
        if found is None:
            if self.pool.limits.stall_timeout_s:
                self._restart_stall_timer()
            self.pool.incoming.update(self, self.reader.incomplete_bytes)
            return
        response, is_reusable = found
        self.pool.incoming.update(self, 0)
        self._cancel_stall_timer()
        self.exchange = None
        if is_reusable and not self.writing:
            self.pool.add_idle(self)
        else:
            self.transport.loseConnection()
        exchange.finish(None, response)

    def discard_incoming(self) -> None:
        """Give up an incomplete response: the attempt has failed, and its request may have been executed."""
        if self.exchange is None:  # it is being aborted
            self._discard_response()
            return
        self.pool.counts["response_discarded"] += 1
        self._abort(self.exchange, AttemptResult.ERROR)

    def _discard_response(self) -> None:
        """Free the bytes of an incomplete response: the connection may outlive its abort by an iteration."""
        self.reader = self.pool.make_reader()
        self.pool.incoming.update(self, 0)

    def _abort(self, exchange: Exchange, result: AttemptResult) -> None:
        self._cancel_stall_timer()
        self._discard_response()
        self.exchange = None
        self.transport.abortConnection()
        exchange.finish(result, None)

    def _restart_stall_timer(self) -> None:
        """Restart the timeout for the next bytes of a response.

        Without it, a response that stops midway, as with a wrong length, would block its request until the deadline.
        """
        self._cancel_stall_timer()
        self._stall_timer = self.pool.reactor.callLater(self.pool.limits.stall_timeout_s, self._stalled)

    def _cancel_stall_timer(self) -> None:
        timer = self._stall_timer
        self._stall_timer = None
        if timer is not None and timer.active():
            timer.cancel()

    def _stalled(self) -> None:
        if self.exchange is not None:
            self.pool.counts["stalled"] += 1
            self._abort(self.exchange, AttemptResult.ERROR)


class PoolConnectionFactory(protocol.ClientFactory):
    """Makes the connection for one exchange."""

    noisy = False

    def __init__(self, pool: ConnectionPool, endpoint: str, address: tuple[str, int], exchange: Exchange) -> None:
        """Create a factory; the arguments are those of `PoolConnection`."""
        self._pool = pool
        self._endpoint = endpoint
        self._address = address
        self._exchange = exchange

    def buildProtocol(self, address: object) -> PoolConnection:
        """Make the connection."""
        return PoolConnection(self._pool, self._endpoint, self._address, self._exchange)

    def clientConnectionFailed(self, connector: object, reason: Failure) -> None:
        """Report that no connection could be made."""
        self._pool.connect_failed()
        self._exchange.connect_failed()
