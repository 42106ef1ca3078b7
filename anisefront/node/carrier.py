"""Attempts of the platform's requests, over the pool to workers. No decision is made here."""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass

from anisefront.carriers.pool import Exchange, Pool
from anisefront.core.ledger import Ledger
from anisefront.node import resp
from anisefront.node.terms import Wanted, report_row
from anisefront.policy.interface import Reason, Result

Final = Callable[[bytes], None]  # hears the one answer, written for the client
FAILED = resp.error(b"ERR failed")


class RespAnswers:
    """The answers on one connection to a worker, for the pool."""

    fault = resp.RespFault

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


def outcome(answer: resp.Answer) -> tuple[Result | None, bytes]:
    """What a whole answer proves, and its load report. None: an error line that the platform does not name, which
    proves nothing and leaves the connection in doubt."""
    if answer.value is not None:
        return Result.OK, answer.report
    word, _, report = answer.error.partition(b" ")
    if word == b"BUSY":
        return Result.FULL, report
    if answer.error == b"ERR failed" or answer.error.startswith(b"ERR failed "):
        return Result.ERROR, report.partition(b" ")[2]
    return None, b""


def refusal(retry_in_ms: float) -> bytes:
    """`-BUSY`, with a time to come back where there is one."""
    return resp.error(b"BUSY %d" % max(1, round(retry_in_ms)) if retry_in_ms > 0 else b"BUSY")


@dataclass(slots=True, eq=False)
class _Open:
    wanted: Wanted
    final: Final
    came_ms: float
    attempts: int = 0
    sent_ms: float = 0.0


class NodeCarrier:
    """The carrier for what comes over the platform's front."""

    def __init__(self, ledger: Ledger, pool: Pool, report_fields: tuple[str, ...],
                 aims: dict[str, float]) -> None:
        self.aims = aims  # of the classes, in milliseconds
        self._ledger, self._pool, self.report_fields = ledger, pool, report_fields
        self.open: dict[int, _Open] = {}
        self._ids: set[bytes] = set()
        self._exchanges: dict[tuple[int, int], Exchange] = {}
        self.seen = Counter[str]()  # sums of what served attempts took and what workers reported, for the state report

    def knows(self, wanted_id: bytes) -> bool:
        """Whether a request with this id is open."""
        return wanted_id in self._ids

    def ask(self, wanted: Wanted, due_ms: float, final: Final) -> int | None:
        """Take a request in. `final` hears its one answer; the number is for `withdraw`, None where it was refused."""
        number = self._ledger.accept(self, wanted.customer, wanted.class_name, wanted.plan_name, due_ms, wanted.units,
                                     wanted.first_gateway, wanted.spread, wanted.is_repeat)
        if number is not None:
            self.open[number] = _Open(wanted, final, self._ledger.now_ms())
            self._ids.add(wanted.id)
        return number

    def withdraw(self, number: int) -> None:
        """The client has left."""
        if self._close(number) is not None:
            self._ledger.leave(number)

    def send(self, request: int, attempt: int, worker: str, allow_ms: float) -> None:
        """One attempt over a connection of the pool."""
        entry = self.open.get(request)
        if entry is None:
            self._ledger.outcome(request, attempt, Result.MOOT, 0.0)
            return

        entry.attempts += 1
        if entry.attempts == 1:
            entry.sent_ms = self._ledger.now_ms()

        def ended(result: Result | None, answer: resp.Answer | None) -> None:
            self._ended(request, attempt, result, answer)

        self._exchanges[request, attempt] = self._pool.request(
            worker, entry.wanted.command(allow_ms), allow_ms / 1000, ended)

    def _ended(self, request: int, attempt: int, result: Result | None, answer: resp.Answer | None) -> None:
        load: tuple[float, ...] = ()
        if answer is not None:
            result, report = outcome(answer)
            if result is None:
                self._pool.counts["unknown_error"] += 1
                result = Result.ERROR
            load = report_row(report, self.report_fields)
            if load:
                self.seen["reports"] += 1
                for name, value in zip(self.report_fields, load, strict=True):
                    self.seen[name] += value
        self._exchanges.pop((request, attempt), None)
        if self._ledger.outcome(request, attempt, result, None, load):
            entry = self._close(request)
            if entry is not None:
                self._note(entry)
                entry.final(resp.bulk(answer.value))

    def _note(self, entry: _Open) -> None:
        """Whether it was served within its class's aim, and where the time went."""
        now, aim = self._ledger.now_ms(), self.aims[entry.wanted.class_name]
        self.seen["served"] += 1
        self.seen[f"served {entry.wanted.class_name} {entry.wanted.plan_name}"] += 1
        self.seen["wait_ms"] += entry.sent_ms - entry.came_ms
        self.seen["took_ms"] += now - entry.sent_ms
        self.seen["late"] += now - entry.came_ms > aim
        self.seen["late_by_wait"] += entry.sent_ms - entry.came_ms > aim / 2
        self.seen["late_took"] += now - entry.sent_ms > aim

    def cancel(self, request: int, attempt: int) -> None:
        """Close the connection of an attempt; its outcome is told at once."""
        exchange = self._exchanges.get((request, attempt))
        if exchange is not None:
            exchange.cancel()

    def refuse(self, request: int, retry_in_ms: float, reason: Reason) -> None:
        """Final: not done, safe to try again."""
        entry = self._close(request)
        if entry is not None:
            self.seen[f"refused {entry.wanted.class_name} {entry.wanted.plan_name} {reason.value}"] += 1
            entry.final(refusal(retry_in_ms))

    def fail(self, request: int) -> None:
        """Final: no promise."""
        entry = self._close(request)
        if entry is not None:
            entry.final(FAILED)

    def _close(self, request: int) -> _Open | None:
        entry = self.open.pop(request, None)
        if entry is not None:
            self._ids.discard(entry.wanted.id)
        return entry
