"""Requests whose attempts use the connection pool, whatever protocol the endpoints speak. Decides nothing."""

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
        self.open_requests: dict[int, Any] = {}  # the subclass's kind of `OpenRequest`, by number
        self._exchanges: dict[tuple[int, int], Exchange] = {}  # hedged ones outlive the response until cancelled

    def encode_request(self, request: Any, attempt_name: str, endpoint: str, timeout_ms: float) -> tuple[bytes, bool]:
        """Encode the request of an attempt, and tell whether its response has no body."""
        raise NotImplementedError

    def interpret_response(self, response: Any) -> tuple[AttemptResult, tuple[float, ...]]:
        """Return what a complete response proves, and the load report in it."""
        raise NotImplementedError

    def deliver_response(self, request: Any, response: Any, endpoint: str) -> None:
        """Send a response to the client."""
        raise NotImplementedError

    def has_disconnected(self, request: Any) -> bool:
        """Whether the client has disconnected, though its frontend has not received the event yet."""
        return False

    def client_disconnected(self, number: int) -> None:
        """End a request whose client has disconnected."""
        if self.close_request(number) is not None:
            self._request_table.client_disconnected(number)

    def start_attempt(self, number: int, attempt: int, endpoint: str, timeout_ms: float) -> None:
        """Start an attempt over a connection of the pool."""
        request = self.open_requests.get(number)
        if request is None:
            self._request_table.attempt_ended(number, attempt, AttemptResult.DISCARDED, 0.0)
            return
        request.attempts += 1
        data, head_only = self.encode_request(request, f"{number}.{attempt}", endpoint, timeout_ms)

        self._exchanges[number, attempt] = self._pool.request(
            endpoint,
            data,
            timeout_ms / 1000,
            partial(self._exchange_ended, number, attempt, endpoint),
            head_only,
            partial(self._may_start, request, number, attempt),
        )

    def cancel_attempt(self, number: int, attempt: int) -> None:
        """Close the connection of an attempt; its end is reported at once."""
        exchange = self._exchanges.get((number, attempt))
        if exchange is not None:
            exchange.cancel()

    def close_request(self, number: int) -> Any:
        """Remove and return a request that has ended; None if it was removed before."""
        return self.open_requests.pop(number, None)

    def _may_start(self, request: Any, number: int, attempt: int) -> bool:
        return self._request_table.may_start_attempt(number, attempt) and not self.has_disconnected(request)

    def _exchange_ended(
        self, number: int, attempt: int, endpoint: str, result: AttemptResult | None, response: Any
    ) -> None:
        load: tuple[float, ...] = ()
        if response is not None:
            result, load = self.interpret_response(response)
        self._exchanges.pop((number, attempt), None)
        if self._request_table.attempt_ended(number, attempt, result, None, load):
            request = self.close_request(number)
            if request is not None:
                self.deliver_response(request, response, endpoint)
