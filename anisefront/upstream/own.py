"""Attempts that the gatekeeper carries itself over its own connections. No decision is made here."""

from __future__ import annotations

import base64
from collections.abc import Callable
from dataclasses import dataclass
from typing import Protocol

from anisefront.gateway.ledger import Ledger, Work
from anisefront.policy.actions import RejectionReason
from anisefront.policy.events import Arrival, AttemptResult, PriorAttempts
from anisefront.protocols import http1, orca
from anisefront.upstream.outcomes import of_answer
from anisefront.upstream.pool import Pool
from anisefront.upstream.pooled import Open, Pooled


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
    retry_after_ms: float = 0.0
    reason: str = ""


class Joins(Protocol):
    """Who knows of work that another gatekeeper had in hand."""

    def joins(
        self,
        customer: str,
        identity: str,
        class_name: str,
        deadline_at_ms: float,
        job: Job,
        done: Callable[[Answer], None],
        go_on: Callable[[], None],
    ) -> bool:
        """True where a client's try joins such work; `go_on` is called if it is to be one of its own after all."""

    def waits(
        self,
        customer: str,
        identity: str,
        deadline_at_ms: float,
        job: Job,
        done: Callable[[Answer], None],
        go_on: Callable[[], None],
    ) -> None:
        """A client's try waits for what becomes of such work."""


@dataclass(slots=True, eq=False)
class _Open(Open):
    job: Job
    done: Callable[[Answer], None]


class Own(Pooled):
    """The carrier for requests whose attempts we make."""

    def __init__(self, ledger: Ledger, pool: Pool, life: str, load_report_fields: tuple[str, ...]) -> None:
        super().__init__(ledger, pool)
        self._life, self._fields = life, load_report_fields
        self.returning: Joins | None = None

    def ask(
        self,
        job: Job,
        done: Callable[[Answer], None],
        customer: str,
        class_name: str,
        plan_name: str,
        deadline_at_ms: float,
        units: float,
        first_gateway: int,
        spread: int,
        is_retry: bool,
    ) -> int | None:
        """Take a request in. `done` hears its one final answer; the number is for `withdraw`."""

        def take(prior_attempts: PriorAttempts | None = None) -> int | None:
            return self._take(
                job,
                done,
                customer,
                class_name,
                plan_name,
                deadline_at_ms,
                units,
                first_gateway,
                spread,
                is_retry,
                identity,
                prior_attempts,
            )

        identity = job.headers.get("x-idempotency-key") or job.headers.get("x-request-id", "")
        joined = (
            self.returning is not None
            and identity
            and self.returning.joins(customer, identity, class_name, deadline_at_ms, job, done, take)
        )
        return None if joined else take()

    def go_on(
        self,
        job: Job,
        done: Callable[[Answer], None],
        customer: str,
        class_name: str,
        plan_name: str,
        deadline_at_ms: float,
        units: float,
        first_gateway: int,
        spread: int,
        identity: str,
        prior_attempts: PriorAttempts,
    ) -> None:
        """A request that another gatekeeper had before. `done` hears its one final answer."""
        self._take(
            job,
            done,
            customer,
            class_name,
            plan_name,
            deadline_at_ms,
            units,
            first_gateway,
            spread,
            False,
            identity,
            prior_attempts,
        )

    def _take(
        self,
        job: Job,
        done: Callable[[Answer], None],
        customer: str,
        class_name: str,
        plan_name: str,
        deadline_at_ms: float,
        units: float,
        first_gateway: int,
        spread: int,
        is_retry: bool,
        identity: str,
        prior_attempts: PriorAttempts | None,
    ) -> int | None:
        work = None
        if self.returning is not None:
            work = Work(
                "own",
                identity,
                {
                    "method": job.method,
                    "target": job.target,
                    "headers": job.headers,
                    "body": base64.b64encode(job.body).decode(),
                },
            )
        number = self._ledger.accept(
            self,
            customer,
            class_name,
            plan_name,
            deadline_at_ms,
            units,
            first_gateway,
            spread,
            is_retry,
            prior_attempts=prior_attempts,
            work=work,
        )
        if number is None:
            # What was sent before may have run: then nothing may be promised.
            done(
                Answer(reason="failed")
                if prior_attempts is not None and prior_attempts.uncertain
                else Answer(refused=True, retry_after_ms=1000.0, reason="held-requests")
            )
            return None
        opened = self.open[number] = _Open(job, done)
        opened.attempts = prior_attempts.attempts if prior_attempts is not None else 0
        return number

    def stand_back(self, arrival: Arrival, identity: str) -> None:
        """Another gatekeeper has this client's request in hand: wait for what becomes of it."""
        opened = self.close(arrival.id)
        self._ledger.leave(arrival.id)
        if opened is None:
            return

        def again() -> None:
            self._take(
                opened.job,
                opened.done,
                arrival.customer,
                arrival.class_name,
                arrival.plan_name,
                arrival.deadline_at_ms,
                arrival.units,
                arrival.first_gateway,
                arrival.spread,
                arrival.is_retry,
                identity,
                arrival.prior_attempts,
            )

        self.returning.waits(arrival.customer, identity, arrival.deadline_at_ms, opened.job, opened.done, again)

    def written(self, entry: _Open, name: str, worker: str, timeout_ms: float) -> tuple[bytes, bool]:
        """An HTTP/1.1 request."""
        job = entry.job
        headers = {"host": worker, **job.headers, "x-anisefront-attempt": f"{self._life}.{name}"}
        return http1.request(job.method, job.target, headers, job.body), job.method == "HEAD"

    def read(self, answer: http1.Message) -> tuple[AttemptResult, tuple[float, ...]]:
        """By status and headers."""
        return of_answer(answer.status, answer.headers), orca.row(orca.read(answer.headers), self._fields)

    def served(self, entry: _Open, answer: http1.Message, worker: str) -> None:
        """Final: the worker's answer."""
        entry.done(Answer(answer, worker, entry.attempts))

    def refuse(self, request: int, retry_after_ms: float, reason: RejectionReason) -> None:
        """Final: not done, safe to try again."""
        self._final(request, Answer(refused=True, retry_after_ms=retry_after_ms, reason=reason.value))

    def fail(self, request: int) -> None:
        """Final: no promise."""
        self._final(request, Answer(reason="failed"))

    def _final(self, request: int, answer: Answer) -> None:
        entry = self.close(request)
        if entry is not None:
            entry.done(answer)
