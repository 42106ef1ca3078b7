"""A pool of connections to endpoints, on Twisted. A connection carries one exchange at a time.

    connecting --connected--> writing --all handed to the OS--> waiting --response--> quiet --> idle --> writing

A cancellation or a timeout closes the connection. A failure before the operating system has the last byte of the
request proves that the request was not executed. The protocol is pluggable: each connection has a `ResponseReader`.
"""

from __future__ import annotations

import sys
from collections import Counter, deque
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

from twisted.internet.abstract import isIPAddress, isIPv6Address

from anisefront.gateway.incoming_bytes import IncomingBytes
from anisefront.upstream.http_responses import HttpResponseReader
from anisefront.upstream.pool_connection import PoolConnection, PoolConnectionFactory
from anisefront.upstream.pool_exchange import Exchange, OnEnd
from anisefront.upstream.response_reader import ResponseReader

MIN_SWEEP_DELAY_S = 0.001


@dataclass(slots=True)
class PoolLimits:
    """Limits of a pool.

    Attributes:
        connect_timeout_s: Time to establish a connection.
        idle_timeout_s: Time after which an idle connection is closed; well below the endpoints' own idle timeout.
        max_idle_per_endpoint: Idle connections to one endpoint; further ones are closed.
        max_body_bytes: Size of a response's body; a longer one is an error.
        max_incoming_bytes: Bytes of incomplete responses over all connections; 0 for no limit.
        max_connections: Total connections, including those being established; 0 for no limit.
        quiet_period_s: Time after a response in which a connection must stay silent before it is used again.
        stall_timeout_s: Time without a further byte after which an incomplete response is abandoned; 0 for none.
    """

    connect_timeout_s: float = 1.0
    idle_timeout_s: float = 2.0
    max_idle_per_endpoint: int = 32
    max_body_bytes: int = 1 << 20
    max_incoming_bytes: int = 0
    max_connections: int = 0
    quiet_period_s: float = 0.0
    stall_timeout_s: float = 0.0


def split_address(endpoint: str) -> tuple[str, int]:
    """Return the host and port of an endpoint that is named by its address."""
    host, _, port = endpoint.rpartition(":")
    return host, int(port)


class ConnectionPool:
    """Connections to all endpoints."""

    def __init__(
        self,
        reactor: Any,
        limits: PoolLimits | None = None,
        make_reader: Callable[[], ResponseReader] | None = None,
        address_of: Callable[[str], tuple[str, int] | None] = split_address,
    ) -> None:
        """Create a pool without connections.

        Args:
            reactor: Twisted's event loop.
            limits: Limits; the defaults if None.
            make_reader: Makes the reader of a connection; None for HTTP/1.1.
            address_of: Returns the host and port of an endpoint, None if it has none. Called for each use.
        """
        self.reactor = reactor
        self.limits = limits or PoolLimits()
        self.make_reader = make_reader or (lambda: HttpResponseReader(self.limits.max_body_bytes))
        self.address_of = address_of
        self.connections = 0  # open, or being made
        self.counts: Counter[str] = Counter()
        self.incoming = IncomingBytes(self.limits.max_incoming_bytes or sys.maxsize)
        self._idle: dict[str, deque[PoolConnection]] = {}  # of each endpoint, the longest idle first
        self._sweep_call: Any = None

    def request(
        self,
        endpoint: str,
        data: bytes,
        timeout_s: float,
        on_end: OnEnd,
        head_only: bool = False,
        may_start: Callable[[], bool] = lambda: True,
    ) -> Exchange:
        """Send a request to an endpoint.

        Args:
            endpoint: The endpoint that is to receive it.
            data: The encoded request.
            timeout_s: Time after which the exchange is aborted.
            on_end: Called with the result or the response.
            head_only: Whether its response has no body.
            may_start: Checked immediately before the first byte is written.

        Returns:
            The exchange, by which it can be cancelled.
        """
        exchange = Exchange(self, endpoint, data, timeout_s, on_end, head_only, may_start)
        exchange.start()
        return exchange

    def connect(self, endpoint: str, address: tuple[str, int], exchange: Exchange) -> Callable[[], object]:
        """Make a connection for an exchange. For a host name, all its IPv4 and IPv6 addresses are tried.

        Returns:
            A function that stops connecting.
        """
        factory = PoolConnectionFactory(self, endpoint, address, exchange)
        self.connections += 1
        if isIPAddress(address[0]) or isIPv6Address(address[0]):
            return self.reactor.connectTCP(*address, factory, timeout=self.limits.connect_timeout_s).disconnect
        from twisted.internet.endpoints import HostnameEndpoint  # a slow import that IP addresses don't need

        connecting = HostnameEndpoint(self.reactor, *address, timeout=self.limits.connect_timeout_s).connect(factory)
        connecting.addErrback(lambda failure: factory.clientConnectionFailed(None, failure))
        return connecting.cancel

    def take_idle(self, endpoint: str) -> PoolConnection | None:
        """Remove and return the most recently used connection that is alive and has been quiet for long enough."""
        idle = self._idle.get(endpoint)
        if not idle:
            return None
        quiet_since_s = self.reactor.seconds() - self.limits.quiet_period_s
        not_yet_quiet: list[PoolConnection] = []
        found = None
        while idle and found is None:
            connection = idle.pop()
            if self.limits.quiet_period_s and connection.idle_since_s > quiet_since_s:
                not_yet_quiet.append(connection)
            elif self._is_usable(connection):
                found = connection
            else:
                self.counts["dead"] += 1
                connection.transport.abortConnection()
        idle.extend(reversed(not_yet_quiet))
        if not idle:
            self._idle.pop(endpoint, None)
        return found

    def add_idle(self, connection: PoolConnection) -> None:
        """Return a connection to the pool, or close it if there are enough or its endpoint's address has changed."""
        idle = self._idle.setdefault(connection.endpoint, deque())
        is_surplus = len(idle) >= self.limits.max_idle_per_endpoint
        if is_surplus or self.address_of(connection.endpoint) != connection.address:
            if not idle:
                del self._idle[connection.endpoint]
            connection.transport.loseConnection()
            return
        connection.idle_since_s = self.reactor.seconds()
        idle.append(connection)
        if self._sweep_call is None:
            self._sweep_call = self.reactor.callLater(self.limits.idle_timeout_s, self._sweep)

    def ensure_capacity(self) -> bool:
        """Close the longest idle connection if the pool is at its limit.

        Returns:
            Whether a further connection may be made.
        """
        if not self.limits.max_connections or self.connections < self.limits.max_connections:
            return True
        oldest = min(
            (idle for idle in self._idle.values() if idle), key=lambda each: each[0].idle_since_s, default=None
        )
        if oldest is None:
            return False
        oldest.popleft().transport.abortConnection()
        return True

    def close_idle(self, endpoint: str) -> None:
        """Close the idle connections to an endpoint that was removed or whose address has changed."""
        for connection in self._idle.pop(endpoint, ()):
            connection.transport.loseConnection()

    def connection_closed(self, connection: PoolConnection) -> None:
        """Record that a connection has ended."""
        self.connections -= 1
        self.incoming.update(connection, 0)
        self.remove_idle(connection)

    def connect_failed(self) -> None:
        """Record that a connection could not be made."""
        self.connections -= 1

    def remove_idle(self, connection: PoolConnection) -> None:
        """Remove a connection from the pool, so that it is not used again."""
        idle = self._idle.get(connection.endpoint)
        if idle is not None and connection in idle:
            idle.remove(connection)
            if not idle:
                del self._idle[connection.endpoint]

    def close(self) -> None:
        """Close all idle connections."""
        for endpoint in list(self._idle):
            self.close_idle(endpoint)

    def _is_usable(self, connection: PoolConnection) -> bool:
        """Return whether a request may be written to an idle connection.

        A request on a connection that the endpoint has closed meanwhile would count as failed, and unsolicited bytes
        would be taken for its response. A connection that is idle for too long, as after a process stall, may have
        been dropped silently by the network.
        """
        is_recent = connection.idle_since_s > self.reactor.seconds() - self.limits.idle_timeout_s
        return is_recent and not connection.is_dead()

    def _sweep(self) -> None:
        """Close the connections whose idle timeout has passed.

        One timer serves all connections: one for each connection would cost every exchange a timer.
        """
        self._sweep_call = None
        now_s = self.reactor.seconds()
        oldest_s = None
        for endpoint, idle in list(self._idle.items()):
            while idle and idle[0].idle_since_s + self.limits.idle_timeout_s <= now_s:
                idle.popleft().transport.loseConnection()
            if idle:
                oldest_s = min(oldest_s or idle[0].idle_since_s, idle[0].idle_since_s)
            else:
                self._idle.pop(endpoint, None)
        if oldest_s is not None:
            delay_s = max(MIN_SWEEP_DELAY_S, oldest_s + self.limits.idle_timeout_s - now_s)
            self._sweep_call = self.reactor.callLater(delay_s, self._sweep)
