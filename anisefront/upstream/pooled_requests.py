"""Requests whose attempts use the connection pool, independent of the endpoints' protocol. Makes no decisions."""

from __future__ import annotations

from dataclasses import dataclass, field
from functools import partial
from typing import Any

from anisefront.gateway.request_table import RequestTable
from anisefront.policy.events import AttemptResult
from anisefront.upstream.connection_pool import ConnectionPool
from anisefront.upstream.pool_exchange import Exchange


@dataclass(slots=True, eq=False)
class OpenRequest:
    """A request without a final response."""

    attempts: int = field(default=0, init=False)


class PooledRequests:
    """An attempt handler over a connection pool. Subclasses encode requests and interpret and deliver responses."""

    def __init__(self, request_table: RequestTable, pool: ConnectionPool) -> None:
        """Create a handler without requests."""
        self._request_table = request_table
        self._pool = pool
        self.open_requests: dict[int, Any] = {}  # instances of the subclass's `OpenRequest`, by number
        self._exchanges: dict[tuple[int, int], Exchange] = {}  # hedged ones outlive the response until cancelled

    def encode_request(self, request: Any, attempt_name: str, endpoint: str, timeout_ms: float) -> tuple[bytes, bool]:
        """Return the encoded request of an attempt, and whether its response has no body."""
        raise NotImplementedError

    def interpret_response(self, response: Any) -> tuple[AttemptResult, tuple[float, ...]]:
        """Return what a complete response proves, and the load report in it."""
        raise NotImplementedError

    def deliver_response(self, request: Any, response: Any, endpoint: str) -> None:
        """Send a response to the client."""
        raise NotImplementedError

    def has_disconnected(self, request: Any) -> bool:
        """Return whether the client has disconnected, though its frontend has not received the event yet."""
        return False

    def client_disconnected(self, request_number: int) -> None:
        """End a request whose client has disconnected."""
        if self.close_request(request_number) is not None:
            self._request_table.client_disconnected(request_number)

    def start_attempt(self, request_number: int, attempt_number: int, endpoint: str, timeout_ms: float) -> None:
        """Start an attempt over a connection of the pool."""
        request = self.open_requests.get(request_number)
        if request is None:
            self._request_table.attempt_ended(request_number, attempt_number, AttemptResult.DISCARDED, 0.0)
            return
        request.attempts += 1
        data, head_only = self.encode_request(request, f"{request_number}.{attempt_number}", endpoint, timeout_ms)

        self._exchanges[request_number, attempt_number] = self._pool.request(
            endpoint,
            data,
            timeout_ms / 1000,
            partial(self._exchange_ended, request_number, attempt_number, endpoint),
            head_only,
            partial(self._may_start, request, request_number, attempt_number),
        )

    def cancel_attempt(self, request_number: int, attempt_number: int) -> None:
        """Close the connection of an attempt; its end is reported at once."""
        exchange = self._exchanges.get((request_number, attempt_number))
        if exchange is not None:
            exchange.cancel()

    def close_request(self, request_number: int) -> Any:
        """Remove and return a request that has ended; None if it was removed before."""
        return self.open_requests.pop(request_number, None)

    def _may_start(self, request: Any, request_number: int, attempt_number: int) -> bool:
        return self._request_table.may_start_attempt(request_number, attempt_number) and not self.has_disconnected(
            request
        )

    def _exchange_ended(
        self, request_number: int, attempt_number: int, endpoint: str, result: AttemptResult | None, response: Any
    ) -> None:
        load: tuple[float, ...] = ()
        if response is not None:
            result, load = self.interpret_response(response)
        self._exchanges.pop((request_number, attempt_number), None)
        if self._request_table.attempt_ended(request_number, attempt_number, result, None, load):
            request = self.close_request(request_number)
            if request is not None:
                self.deliver_response(request, response, endpoint)
