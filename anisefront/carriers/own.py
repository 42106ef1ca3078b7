"""Attempts that the gatekeeper carries itself over its own connections. No decision is made here."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass

from anisefront.carriers.outcomes import of_answer
from anisefront.carriers.pool import Pool
from anisefront.carriers.pooled import Open, Pooled
from anisefront.core.ledger import Ledger
from anisefront.policy.interface import Reason, Result
from anisefront.wire import http1, orca


@dataclass(frozen=True, slots=True)
class Job:
    """What is to be sent to a worker, whichever it becomes."""

    method: str
    target: str
    headers: dict[str, str]
    body: bytes


@dataclass(frozen=True, slots=True)
class Answer:
    """The final answer: `message` for one that was served, else a refusal or a failure."""

    message: http1.Message | None = None
    worker: str = ""
    attempts: int = 0
    refused: bool = False
    retry_in_ms: float = 0.0
    reason: str = ""


@dataclass(slots=True, eq=False)
class _Open(Open):
    job: Job
    done: Callable[[Answer], None]


class Own(Pooled):
    """The carrier for requests whose attempts we make."""

    def __init__(self, ledger: Ledger, pool: Pool, life: str, report_fields: tuple[str, ...]) -> None:
        super().__init__(ledger, pool)
        self._life, self._fields = life, report_fields

    def ask(self, job: Job, done: Callable[[Answer], None], customer: str, class_name: str, plan_name: str,
            due_ms: float, units: float, first_gateway: int, spread: int, is_repeat: bool) -> int | None:
        """Take a request in. `done` hears its one final answer; the number is for `withdraw`."""
        number = self._ledger.accept(self, customer, class_name, plan_name, due_ms, units, first_gateway,
                                     spread, is_repeat)
        if number is None:
            done(Answer(refused=True, retry_in_ms=1000.0, reason="held-requests"))
            return None
        self.open[number] = _Open(job, done)
        return number

    def written(self, entry: _Open, name: str, worker: str, allow_ms: float) -> tuple[bytes, bool]:
        """An HTTP/1.1 request."""
        job = entry.job
        headers = {"host": worker, **job.headers, "x-anisefront-attempt": f"{self._life}.{name}"}
        return http1.request(job.method, job.target, headers, job.body), job.method == "HEAD"

    def read(self, answer: http1.Message) -> tuple[Result, tuple[float, ...]]:
        """By status and headers."""
        return of_answer(answer.status, answer.headers), orca.row(orca.read(answer.headers), self._fields)

    def served(self, entry: _Open, answer: http1.Message, worker: str) -> None:
        """Final: the worker's answer."""
        entry.done(Answer(answer, worker, entry.attempts))

    def refuse(self, request: int, retry_in_ms: float, reason: Reason) -> None:
        """Final: not done, safe to try again."""
        self._final(request, Answer(refused=True, retry_in_ms=retry_in_ms, reason=reason.value))

    def fail(self, request: int) -> None:
        """Final: no promise."""
        self._final(request, Answer(reason="failed"))

    def _final(self, request: int, answer: Answer) -> None:
        entry = self.close(request)
        if entry is not None:
            entry.done(answer)
