"""One request and its response over a connection of the pool."""

from __future__ import annotations

from collections.abc import Callable
from typing import TYPE_CHECKING, Any

from anisefront.policy.events import AttemptResult

if TYPE_CHECKING:
    from anisefront.upstream.connection_pool import ConnectionPool
    from anisefront.upstream.pool_connection import PoolConnection

OnEnd = Callable[[AttemptResult | None, Any], None]  # the result if there is no complete response, else the response
MIN_TIMEOUT_S = 0.001


class Exchange:
    """A request in progress. Its `on_end` is called exactly once, whatever happens."""

    def __init__(
        self,
        pool: ConnectionPool,
        endpoint: str,
        data: bytes,
        timeout_s: float,
        on_end: OnEnd,
        head_only: bool,
        may_start: Callable[[], bool],
    ) -> None:
        """Create an exchange; the arguments are those of `ConnectionPool.request`."""
        self._pool = pool
        self._endpoint = endpoint
        self._data = data
        self._on_end: OnEnd | None = on_end
        self._head_only = head_only
        self._may_start = may_start
        self._connection: PoolConnection | None = None
        self._stop_connecting: Callable[[], object] | None = None  # while connecting
        self._timer = pool.reactor.callLater(max(MIN_TIMEOUT_S, timeout_s), self._abort, AttemptResult.TIMEOUT)

    def start(self) -> None:
        """Use an idle connection or make one."""
        connection = self._pool.take_idle(self._endpoint)
        if connection is not None:
            self.connected(connection)
            return
        address = self._pool.address_of(self._endpoint)
        if address is None or not self._pool.ensure_capacity():
            self._pool.counts["no_room" if address else "no_address"] += 1
            self._discard_later()
            return
        self._stop_connecting = self._pool.connect(self._endpoint, address, self)

    def connected(self, connection: PoolConnection) -> None:
        """Write the request to a connection that carries no other exchange."""
        self._stop_connecting = None
        if self._on_end is None:  # it ended while connecting
            connection.transport.abortConnection()
            return
        # Meanwhile the endpoint's address may have changed, or the attempt may no longer be allowed to start.
        has_moved = self._pool.address_of(self._endpoint) != connection.address
        if has_moved or not self._may_start():
            self._pool.counts["not_begun"] += 1
            connection.transport.loseConnection()
            self._discard_later()
            return
        self._connection = connection
        connection.exchange = self
        connection.reader.begin(self._head_only)
        data = self._data
        self._data = b""  # the connection holds the bytes until the operating system has them
        connection.write(data)

    def connect_failed(self) -> None:
        """End the exchange: no connection was made, so nothing was written."""
        self._stop_connecting = None
        self.finish(AttemptResult.CONNECT_FAILED, None)

    def cancel(self) -> None:
        """End the exchange and close its connection, if any."""
        self._abort(AttemptResult.CANCELLED)

    def finish(self, result: AttemptResult | None, response: Any) -> None:
        """Report the end of the exchange: the response, or the result if there is none."""
        on_end = self._on_end
        self._on_end = None
        if self._timer.active():
            self._timer.cancel()
        if on_end is not None:
            on_end(result, response)

    def _discard_later(self) -> None:
        """End the exchange in the next iteration: `ConnectionPool.request` has not returned it to its caller yet."""
        self._pool.reactor.callLater(0, self.finish, AttemptResult.DISCARDED, None)

    def _abort(self, result: AttemptResult) -> None:
        stop_connecting = self._stop_connecting
        connection = self._connection
        self._stop_connecting = None
        self._connection = None
        if stop_connecting is not None:  # nothing was written
            self.finish(AttemptResult.CONNECT_FAILED if result is AttemptResult.TIMEOUT else result, None)
            stop_connecting()
            return
        if connection is not None and connection.exchange is self:
            connection.exchange = None
            if connection.writing and result is AttemptResult.TIMEOUT:
                result = AttemptResult.CONNECT_FAILED
            connection.transport.abortConnection()
        self.finish(result, None)
