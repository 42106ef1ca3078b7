"""Requests of RESP clients, and their attempts over the connection pool to workers; no admission decisions."""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass
from typing import NamedTuple

from anisefront.gateway.request_table import RequestTable
from anisefront.gateway.request_terms import RequestTerms
from anisefront.policy.actions import RejectionReason
from anisefront.policy.events import AttemptResult
from anisefront.resp_gateway import resp_codec
from anisefront.resp_gateway.command_mapping import ClientRequest, load_report_values
from anisefront.resp_gateway.errors import RespProtocolError
from anisefront.upstream.connection_pool import ConnectionPool
from anisefront.upstream.pooled_requests import OpenRequest, PooledRequests

ReplyCallback = Callable[[bytes], None]  # receives a request's one reply, encoded for the client
BUSY = b"BUSY"
FAILED = b"ERR failed"
FAILED_REPLY = resp_codec.encode_error(FAILED)
LATE_WAIT_FRACTION = 0.5  # of the latency objective: a longer wait counts as the cause of a late reply


class ReplyOutcome(NamedTuple):
    """Outcome of an attempt, as the worker's reply shows it.

    Attributes:
        result: None for an error line that the platform does not define: the outcome is unknown, and so is whether
            the worker will read the next command on the connection.
        load_report: The report in the reply, empty where there is none.
    """

    result: AttemptResult | None
    load_report: bytes


class WorkerConnectionCodec:
    """Codec of one connection to a worker, for the pool."""

    fault = RespProtocolError
    allows_early_response = False  # a worker starts a command when its last byte has arrived

    def __init__(self) -> None:
        """Start without received bytes."""
        self._reader = resp_codec.WorkerReplyReader()

    @property
    def incomplete_bytes(self) -> int:
        """Count the bytes held of an incomplete reply."""
        return self._reader.incomplete_bytes

    def begin(self, head_only: bool) -> None:
        """Do nothing at the start of a request."""

    def feed(self, data: bytes) -> tuple[resp_codec.WorkerReply, bool] | None:
        """Return the reply and whether the connection can be used again, None while the reply is incomplete.

        It can if nothing follows the reply and the reply shows that the worker understood the command.
        """
        reply = self._reader.feed(data)
        if reply is None:
            return None
        understood = reply.payload is not None or classify_reply(reply).result is not None
        return reply, understood and not self._reader.has_partial

    def close(self) -> None:
        """Return nothing: no reply is completed by the end of its connection."""


def classify_reply(reply: resp_codec.WorkerReply) -> ReplyOutcome:
    """Return the outcome of an attempt as its reply shows it."""
    if reply.payload is not None:
        return ReplyOutcome(AttemptResult.OK, reply.load_report)
    code, _, rest = reply.error.partition(b" ")
    if code == BUSY:
        return ReplyOutcome(AttemptResult.OVERLOADED, rest)
    if reply.error == FAILED or reply.error.startswith(FAILED + b" "):
        return ReplyOutcome(AttemptResult.ERROR, rest.partition(b" ")[2])
    return ReplyOutcome(None, b"")


def encode_rejection(retry_after_ms: float) -> bytes:
    """Encode `-BUSY`, with the time after which to retry if there is one."""
    if retry_after_ms <= 0:
        return resp_codec.encode_error(BUSY)
    return resp_codec.encode_error(b"%b %d" % (BUSY, max(1, round(retry_after_ms))))


@dataclass(slots=True, eq=False)
class _OpenRequest(OpenRequest):
    request: ClientRequest
    on_reply: ReplyCallback
    has_disconnected: Callable[[], bool]
    received_ms: float
    first_attempt_ms: float = 0.0  # 0: none yet


class RespRequests(PooledRequests):
    """Open requests of RESP clients.

    Attributes:
        statistics: Sums over served attempts and load reports, by the keys of the state report.
    """

    def __init__(self, request_table: RequestTable, pool: ConnectionPool, load_report_fields: tuple[str, ...]) -> None:
        """Create an empty set of requests.

        Args:
            request_table: Holds the requests and their attempts.
            pool: Connections to workers.
            load_report_fields: Names of a load report's values, in the settings' order.
        """
        super().__init__(request_table, pool)
        self._fields = load_report_fields
        self._ids: set[bytes] = set()
        self.statistics = Counter[str]()

    def is_open(self, request_id: bytes) -> bool:
        """Tell whether a request with this id has no reply yet."""
        return request_id in self._ids

    def is_behind(self) -> bool:
        """Tell whether the controller has too many submitted requests waiting to be handed further ones now."""
        return self._request_table.batches.is_behind()

    def submit(
        self,
        request: ClientRequest,
        deadline_ms: float,
        on_reply: ReplyCallback,
        has_disconnected: Callable[[], bool] = lambda: False,
    ) -> int | None:
        """Enter a request into the request table.

        Args:
            request: The validated request.
            deadline_ms: When the reply must be written, on the request table's clock.
            on_reply: Called once with the encoded reply.
            has_disconnected: Returns whether the client has closed its connection.

        Returns:
            The number for `client_disconnected`, None where the request table is full.
        """
        number = self._request_table.accept(
            self,
            RequestTerms(
                request.customer,
                request.class_name,
                request.plan_name,
                deadline_ms,
                request.units,
                request.first_gateway,
                request.spread,
                request.is_retry,
            ),
        )
        if number is not None:
            self.open_requests[number] = _OpenRequest(request, on_reply, has_disconnected, self._request_table.now_ms())
            self._ids.add(request.id)
        return number

    def has_disconnected(self, entry: _OpenRequest) -> bool:
        """Tell whether the client has disconnected, at the last moment before an attempt starts."""
        return entry.has_disconnected()

    def encode_request(self, entry: _OpenRequest, name: str, worker: str, timeout_ms: float) -> tuple[bytes, bool]:
        """Return the client's command with the remaining time, and that its reply has a body."""
        entry.first_attempt_ms = entry.first_attempt_ms or self._request_table.now_ms()
        return entry.request.worker_command(timeout_ms), False

    def interpret_response(self, answer: resp_codec.WorkerReply) -> tuple[AttemptResult, tuple[float, ...]]:
        """Return the result of an attempt and its load report; an undefined error line may follow an execution."""
        outcome = classify_reply(answer)
        result = outcome.result
        if result is None:
            self._pool.counts["unknown_error"] += 1
            result = AttemptResult.ERROR
        load = load_report_values(outcome.load_report, self._fields)
        if load:
            self.statistics["reports"] += 1
            for name, value in zip(self._fields, load, strict=True):
                self.statistics[name] += value
        return result, load

    def deliver_response(self, entry: _OpenRequest, answer: resp_codec.WorkerReply, worker: str) -> None:
        """Reply with the worker's payload."""
        self._record_served(entry)
        entry.on_reply(resp_codec.encode_bulk(answer.payload))

    def _record_served(self, entry: _OpenRequest) -> None:
        request = entry.request
        statistics = self.statistics
        wait_ms = entry.first_attempt_ms - entry.received_ms
        attempts_ms = self._request_table.now_ms() - entry.first_attempt_ms
        objective_ms = request.latency_objective_ms
        statistics["served"] += 1
        statistics[f"served {request.class_name} {request.plan_name}"] += 1
        statistics["wait_ms"] += wait_ms
        statistics["took_ms"] += attempts_ms
        statistics["late"] += int(wait_ms + attempts_ms > objective_ms)
        statistics["late_by_wait"] += int(wait_ms > objective_ms * LATE_WAIT_FRACTION)
        statistics["late_took"] += int(attempts_ms > objective_ms)

    def reject(self, request: int, retry_after_ms: float, reason: RejectionReason) -> None:
        """Reply that the request is rejected, and that a retry is safe."""
        entry = self.close_request(request)
        if entry is not None:
            rejected = entry.request
            self.statistics[f"refused {rejected.class_name} {rejected.plan_name} {reason.value}"] += 1
            entry.on_reply(encode_rejection(retry_after_ms))

    def fail(self, request: int) -> None:
        """Reply that the request failed; it may have been executed."""
        entry = self.close_request(request)
        if entry is not None:
            entry.on_reply(FAILED_REPLY)

    def close_request(self, request: int) -> _OpenRequest | None:
        """Remove a request that has ended, so that its id can be used for another one."""
        entry = super().close_request(request)
        if entry is not None:
            self._ids.discard(entry.request.id)
        return entry
