"""Requests whose attempts this gateway instance sends over its own HTTP connections. Makes no decisions."""

from __future__ import annotations

import base64
from collections.abc import Callable
from dataclasses import dataclass
from functools import partial
from typing import Protocol

from anisefront.gateway.pending_request import ReplicaRecord
from anisefront.gateway.request_table import RequestTable
from anisefront.gateway.request_terms import RequestTerms
from anisefront.policy.actions import RejectionReason
from anisefront.policy.events import Arrival, AttemptResult, PriorAttempts
from anisefront.protocols import http1, orca
from anisefront.upstream.attempt_results import result_of_response
from anisefront.upstream.connection_pool import ConnectionPool
from anisefront.upstream.pooled_requests import OpenRequest, PooledRequests

REPLICA_KIND = "own"  # in the records of direct requests; other versions read it
AT_CAPACITY_RETRY_AFTER_MS = 1000.0


@dataclass(frozen=True, slots=True)
class DirectRequest:
    """An HTTP request whose endpoint has not been selected yet."""

    method: str
    target: str
    headers: dict[str, str]
    body: bytes


@dataclass(frozen=True, slots=True)
class FinalResponse:
    """The final response to a client: `message` if the request was served, else a rejection or a failure."""

    message: http1.Message | None = None
    endpoint: str = ""
    attempts: int = 0
    is_rejected: bool = False
    retry_after_ms: float = 0.0
    reason: str = ""


OnResponse = Callable[[FinalResponse], None]


class DuplicateRegistry(Protocol):
    """Knows of requests that are or were in progress at another gateway instance."""

    def try_join(
        self,
        customer: str,
        idempotency_key: str,
        class_name: str,
        deadline_at_ms: float,
        request: DirectRequest,
        on_response: OnResponse,
        start_anew: Callable[[], object],
    ) -> bool:
        """Let a client's request share the response of one with the same idempotency key.

        Returns:
            Whether there is one: `on_response` then receives its response, or `start_anew` is called if the request
            must be sent after all.
        """

    def wait_for_outcome(
        self,
        customer: str,
        idempotency_key: str,
        deadline_at_ms: float,
        request: DirectRequest,
        on_response: OnResponse,
        start_anew: Callable[[], object],
    ) -> None:
        """Let a client's request wait for the outcome of the one with the same idempotency key."""


@dataclass(slots=True, eq=False)
class _OpenRequest(OpenRequest):
    request: DirectRequest
    on_response: OnResponse


class DirectRequests(PooledRequests):
    """The attempt handler for requests that this gateway instance sends itself."""

    def __init__(
        self,
        request_table: RequestTable,
        pool: ConnectionPool,
        incarnation: str,
        load_report_fields: tuple[str, ...],
    ) -> None:
        """Create a handler; `incarnation` names this process in the names of attempts."""
        super().__init__(request_table, pool)
        self._incarnation = incarnation
        self._load_report_fields = load_report_fields
        self.duplicates: DuplicateRegistry | None = None

    def accept(self, request: DirectRequest, on_response: OnResponse, terms: RequestTerms) -> int | None:
        """Accept a client's request.

        Returns:
            Its number for `client_disconnected`; None if it was answered at once or joined another request.
        """
        idempotency_key = request.headers.get("x-idempotency-key") or request.headers.get("x-request-id", "")
        start_anew = partial(self._accept, request, on_response, terms, idempotency_key, None)
        if self.duplicates is not None and idempotency_key:
            has_joined = self.duplicates.try_join(
                terms.customer,
                idempotency_key,
                terms.class_name,
                terms.deadline_at_ms,
                request,
                on_response,
                start_anew,
            )
            if has_joined:
                return None
        return start_anew()

    def resume(
        self,
        request: DirectRequest,
        on_response: OnResponse,
        terms: RequestTerms,
        idempotency_key: str,
        prior_attempts: PriorAttempts,
    ) -> None:
        """Continue a request that another gateway instance had accepted."""
        self._accept(request, on_response, terms, idempotency_key, prior_attempts)

    def yield_to_duplicate(self, arrival: Arrival, idempotency_key: str) -> None:
        """Let a client wait for the outcome of its request at another gateway instance."""
        opened = self.close_request(arrival.id)
        self._request_table.client_disconnected(arrival.id)
        if opened is None:
            return
        request = opened.request
        on_response = opened.on_response
        start_anew = partial(
            self._accept, request, on_response, _terms_of(arrival), idempotency_key, arrival.prior_attempts
        )
        self.duplicates.wait_for_outcome(
            arrival.customer, idempotency_key, arrival.deadline_at_ms, request, on_response, start_anew
        )

    def encode_request(
        self, request: _OpenRequest, attempt_name: str, endpoint: str, timeout_ms: float
    ) -> tuple[bytes, bool]:
        """Encode an HTTP/1.1 request."""
        sent = request.request
        headers = {"host": endpoint, **sent.headers, "x-anisefront-attempt": f"{self._incarnation}.{attempt_name}"}
        return http1.encode_request(sent.method, sent.target, headers, sent.body), sent.method == "HEAD"

    def interpret_response(self, response: http1.Message) -> tuple[AttemptResult, tuple[float, ...]]:
        """Return what the status and the headers prove, and the ORCA load report."""
        result = result_of_response(response.status, response.headers)
        return result, orca.select_fields(orca.decode_report(response.headers), self._load_report_fields)

    def deliver_response(self, request: _OpenRequest, response: http1.Message, endpoint: str) -> None:
        """Send the endpoint's response to the client."""
        request.on_response(FinalResponse(response, endpoint, request.attempts))

    def reject(self, request_number: int, retry_after_ms: float, reason: RejectionReason) -> None:
        """Send a rejection: it is safe for the client to retry the request."""
        self._respond(
            request_number, FinalResponse(is_rejected=True, retry_after_ms=retry_after_ms, reason=reason.value)
        )

    def fail(self, request_number: int) -> None:
        """Send a failure: the request may have been executed."""
        self._respond(request_number, FinalResponse(reason="failed"))

    def _accept(
        self,
        request: DirectRequest,
        on_response: OnResponse,
        terms: RequestTerms,
        idempotency_key: str,
        prior_attempts: PriorAttempts | None,
    ) -> int | None:
        replica = _replica_of(request, idempotency_key) if self.duplicates is not None else None
        request_number = self._request_table.accept(self, terms, prior_attempts=prior_attempts, replica=replica)
        if request_number is None:
            # An attempt of another gateway instance may have been executed: then a retry may execute it twice.
            if prior_attempts is not None and prior_attempts.uncertain:
                on_response(FinalResponse(reason="failed"))
            else:
                on_response(
                    FinalResponse(is_rejected=True, retry_after_ms=AT_CAPACITY_RETRY_AFTER_MS, reason="held-requests")
                )
            return None
        opened = _OpenRequest(request, on_response)
        opened.attempts = prior_attempts.attempts if prior_attempts is not None else 0
        self.open_requests[request_number] = opened
        return request_number

    def _respond(self, request_number: int, response: FinalResponse) -> None:
        opened = self.close_request(request_number)
        if opened is not None:
            opened.on_response(response)


def _replica_of(request: DirectRequest, idempotency_key: str) -> ReplicaRecord:
    data = {
        "method": request.method,
        "target": request.target,
        "headers": request.headers,
        "body": base64.b64encode(request.body).decode(),
    }
    return ReplicaRecord(REPLICA_KIND, idempotency_key, data)


def _terms_of(arrival: Arrival) -> RequestTerms:
    return RequestTerms(
        arrival.customer,
        arrival.class_name,
        arrival.plan_name,
        arrival.deadline_at_ms,
        arrival.units,
        arrival.first_gateway,
        arrival.spread,
        arrival.is_retry,
    )
