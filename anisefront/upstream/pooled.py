"""Attempts over connections of our own pool: what is the same whatever the workers speak. No decision is made here."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import Any

from anisefront.gateway.ledger import Ledger
from anisefront.policy.events import AttemptResult
from anisefront.upstream.pool import Exchange, Pool


@dataclass(slots=True, eq=False)
class Open:
    """A request that has no final answer yet."""

    attempts: int = field(default=0, init=False)


class Pooled:
    """A carrier over a pool. Its kinds say how a request is written, what an answer proves and who hears of it."""

    def __init__(self, ledger: Ledger, pool: Pool) -> None:
        self._ledger, self._pool = ledger, pool
        self.open: dict[int, Any] = {}  # `Open` of the kind, by number
        self._exchanges: dict[tuple[int, int], Exchange] = {}  # copies outlive the answer until called off

    def written(self, entry: Any, name: str, worker: str, timeout_ms: float) -> tuple[bytes, bool]:
        """The request of the attempt that is called `name`, and whether its answer has a head only."""
        raise NotImplementedError

    def read(self, answer: Any) -> tuple[AttemptResult, tuple[float, ...]]:
        """What a whole answer proves, and the load report in it."""
        raise NotImplementedError

    def served(self, entry: Any, answer: Any, worker: str) -> None:
        """This answer is the client's."""
        raise NotImplementedError

    def left(self, entry: Any) -> bool:
        """Whether the client has closed, though its front has not heard yet."""
        return False

    def withdraw(self, number: int) -> None:
        """The client has left."""
        if self.close(number) is not None:
            self._ledger.leave(number)

    def send(self, request: int, attempt: int, worker: str, timeout_ms: float) -> None:
        """One attempt over a connection of the pool."""
        entry = self.open.get(request)
        if entry is None:
            self._ledger.outcome(request, attempt, AttemptResult.DISCARDED, 0.0)
            return
        entry.attempts += 1
        data, head_only = self.written(entry, f"{request}.{attempt}", worker, timeout_ms)

        def ended(result: AttemptResult | None, answer: Any) -> None:
            self._ended(request, attempt, worker, result, answer)

        def may_begin() -> bool:
            return self._ledger.may_begin(request, attempt) and not self.left(entry)

        self._exchanges[request, attempt] = self._pool.request(
            worker, data, timeout_ms / 1000, ended, head_only, may_begin
        )

    def _ended(self, request: int, attempt: int, worker: str, result: AttemptResult | None, answer: Any) -> None:
        load: tuple[float, ...] = ()
        if answer is not None:
            result, load = self.read(answer)
        self._exchanges.pop((request, attempt), None)
        if self._ledger.outcome(request, attempt, result, None, load):
            entry = self.close(request)
            if entry is not None:
                self.served(entry, answer, worker)

    def cancel(self, request: int, attempt: int) -> None:
        """Close the connection of an attempt; its outcome is told at once."""
        exchange = self._exchanges.get((request, attempt))
        if exchange is not None:
            exchange.cancel()

    def close(self, request: int) -> Any:
        """The request has ended: what was kept of it, None where that was before."""
        return self.open.pop(request, None)
