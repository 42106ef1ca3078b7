"""Attempts of the platform's requests, over the pool to workers. No decision is made here."""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass

from anisefront.gateway.request_table import RequestTable
from anisefront.gateway.request_terms import RequestTerms
from anisefront.policy.actions import RejectionReason
from anisefront.policy.events import AttemptResult
from anisefront.resp_gateway import resp
from anisefront.resp_gateway.terms import Wanted, report_row
from anisefront.upstream.connection_pool import ConnectionPool
from anisefront.upstream.pooled_requests import OpenRequest, PooledRequests

Final = Callable[[bytes], None]  # hears the one answer, written for the client
FAILED = resp.error(b"ERR failed")


class RespAnswers:
    """The answers on one connection to a worker, for the pool."""

    fault = resp.RespFault
    early = False  # a worker begins a command when its last byte has come

    def __init__(self) -> None:
        self._reader = resp.AnswerReader()

    def begin(self, head_only: bool) -> None:
        """A request is written."""

    def feed(self, data: bytes) -> tuple[resp.Answer, bool] | None:
        """The answer; the connection can go on where nothing follows it and the worker could read our command."""
        answer = self._reader.feed(data)
        if answer is None:
            return None
        clean = not self._reader.midway and (answer.value is not None or outcome(answer)[0] is not None)
        return answer, clean

    def close(self) -> None:
        """No answer is ended by the end of its connection."""


def outcome(answer: resp.Answer) -> tuple[AttemptResult | None, bytes]:
    """What a whole answer proves, and its load report. None: an error line that the platform does not name, which
    proves nothing and leaves the connection in doubt."""
    if answer.value is not None:
        return AttemptResult.OK, answer.report
    word, _, report = answer.error.partition(b" ")
    if word == b"BUSY":
        return AttemptResult.OVERLOADED, report
    if answer.error == b"ERR failed" or answer.error.startswith(b"ERR failed "):
        return AttemptResult.ERROR, report.partition(b" ")[2]
    return None, b""


def refusal(retry_after_ms: float) -> bytes:
    """`-BUSY`, with a time to come back where there is one."""
    return resp.error(b"BUSY %d" % max(1, round(retry_after_ms)) if retry_after_ms > 0 else b"BUSY")


@dataclass(slots=True, eq=False)
class _Open(OpenRequest):
    wanted: Wanted
    final: Final
    came_ms: float
    left: Callable[[], bool]
    sent_ms: float = 0.0  # its first attempt


class NodeCarrier(PooledRequests):
    """The carrier for what comes over the platform's front."""

    def __init__(self, request_table: RequestTable, pool: ConnectionPool, load_report_fields: tuple[str, ...]) -> None:
        super().__init__(request_table, pool)
        self._fields = load_report_fields
        self._ids: set[bytes] = set()
        self.seen = Counter[str]()  # sums of what served attempts took and what workers reported, for the state report

    def knows(self, wanted_id: bytes) -> bool:
        """Whether a request with this id is open."""
        return wanted_id in self._ids

    def ask(
        self, wanted: Wanted, deadline_at_ms: float, final: Final, left: Callable[[], bool] = lambda: False
    ) -> int | None:
        """Take a request in. `final` hears its one answer, `left` is asked whether its client has closed; the number
        is for `withdraw`, None where it was refused."""
        number = self._request_table.accept(
            self,
            RequestTerms(
                wanted.customer,
                wanted.class_name,
                wanted.plan_name,
                deadline_at_ms,
                wanted.units,
                wanted.first_gateway,
                wanted.spread,
                wanted.is_retry,
            ),
        )
        if number is not None:
            self.open_requests[number] = _Open(wanted, final, self._request_table.now_ms(), left)
            self._ids.add(wanted.id)
        return number

    def has_disconnected(self, entry: _Open) -> bool:
        """Asked at the last moment before an attempt begins."""
        return entry.left()

    def encode_request(self, entry: _Open, name: str, worker: str, timeout_ms: float) -> tuple[bytes, bool]:
        """The client's command with the time that is left."""
        entry.sent_ms = entry.sent_ms or self._request_table.now_ms()
        return entry.wanted.command(timeout_ms), False

    def interpret_response(self, answer: resp.Answer) -> tuple[AttemptResult, tuple[float, ...]]:
        """By its form; an error line that the platform does not name may have run."""
        result, report = outcome(answer)
        if result is None:
            self._pool.counts["unknown_error"] += 1
            result = AttemptResult.ERROR
        load = report_row(report, self._fields)
        if load:
            self.seen["reports"] += 1
            for name, value in zip(self._fields, load, strict=True):
                self.seen[name] += value
        return result, load

    def deliver_response(self, entry: _Open, answer: resp.Answer, worker: str) -> None:
        """Final: the value as the worker gave it."""
        wanted, seen = entry.wanted, self.seen
        waited, took = entry.sent_ms - entry.came_ms, self._request_table.now_ms() - entry.sent_ms
        seen["served"] += 1
        seen[f"served {wanted.class_name} {wanted.plan_name}"] += 1
        seen["wait_ms"] += waited
        seen["took_ms"] += took
        seen["late"] += waited + took > wanted.latency_objective_ms  # and whether by waiting or at the worker
        seen["late_by_wait"] += waited > wanted.latency_objective_ms / 2
        seen["late_took"] += took > wanted.latency_objective_ms
        entry.final(resp.bulk(answer.value))

    def reject(self, request: int, retry_after_ms: float, reason: RejectionReason) -> None:
        """Final: not done, safe to try again."""
        entry = self.close_request(request)
        if entry is not None:
            self.seen[f"refused {entry.wanted.class_name} {entry.wanted.plan_name} {reason.value}"] += 1
            entry.final(refusal(retry_after_ms))

    def fail(self, request: int) -> None:
        """Final: no promise."""
        entry = self.close_request(request)
        if entry is not None:
            entry.final(FAILED)

    def close_request(self, request: int) -> _Open | None:
        """The request has ended, and its id may come again."""
        entry = super().close_request(request)
        if entry is not None:
            self._ids.discard(entry.wanted.id)
        return entry
