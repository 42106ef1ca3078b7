"""Clients that come back for work which another gatekeeper had in hand. It opens no socket and decides nothing.

    expected (another has it) --taken over--> in hand here --its end--> answered, kept for a while
         `--over there: the waiting try goes on as new, or is told that the request may have run

A try is known by its customer and what its client calls it. It joins the work that is there and gets the one answer,
also where that came before it.
"""

from __future__ import annotations

import hashlib
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass, field

from anisefront.gateway.ledger import Timers
from anisefront.upstream.own import Answer

KEEP_MS = 10_000.0  # an answer is kept for so long after the request's time
MOST_BYTES = 16 << 20  # of answers that are kept; beyond them the oldest go first
ROW_BYTES = 500  # that an answer costs besides its body

Done = Callable[[Answer], None]


def name_of(customer: str, identity: str, key: bytes) -> bytes:
    """Eight bytes for what a client calls its request, within its customer; the same at every gatekeeper."""
    mixed = hashlib.blake2b(digest_size=8, key=key, person=b"anisefront name")
    for part in (customer.encode(errors="surrogatepass"), identity.encode(errors="surrogatepass")):
        mixed.update(len(part).to_bytes(4, "big") + part)
    return mixed.digest()


@dataclass(slots=True, eq=False)
class _Work:
    """One request in hand here, or its answer. `mark`: what was asked for, so that another thing is told apart."""

    mark: bytes
    until_ms: float
    waiters: list[Done] = field(default_factory=list)
    answer: Answer | None = None


@dataclass(slots=True, eq=False)
class _Waiter:
    mark: bytes
    done: Done
    go_on: Callable[[], None]


class Returning:
    """Work taken over, by name, and tries that wait for what becomes of it."""

    def __init__(self, now_ms: Callable[[], float], timers: Timers) -> None:
        self._now, self._timers = now_ms, timers
        self._works: dict[bytes, _Work] = {}
        self._expected: dict[bytes, list[_Waiter]] = {}
        self._bytes = 0
        self.counts: Counter[str] = Counter()

    def __len__(self) -> int:
        return len(self._works)

    def begin(self, name: bytes, mark: bytes, until_ms: float) -> bool:
        """A request was taken over. False: it is in hand or answered here under this name already."""
        self._let_go()
        work = self._works.get(name)
        if work is not None:
            return False
        work = self._works[name] = _Work(mark, until_ms)
        for waiter in self._expected.pop(name, ()):
            self._join(work, waiter.mark, waiter.done)
        return True

    def finish(self, name: bytes, answer: Answer) -> None:
        """Its one answer, for all that wait and for those that come later."""
        work = self._works.get(name)
        if work is None or work.answer is not None:
            return
        work.answer, waiters, work.waiters = answer, work.waiters, []
        if answer.refused:
            # Danger: a refusal tells its client to come again; kept, it would be the answer to each further try.
            del self._works[name]
        else:
            self._bytes += self._size(answer)
        for done in waiters:
            done(answer)

    def join(self, name: bytes, mark: bytes, done: Done) -> bool:
        """A client's try. True: it has its answer or waits for it here."""
        work = self._works.get(name)
        if work is None:
            return False
        self._join(work, mark, done)
        return True

    def __contains__(self, name: object) -> bool:
        return name in self._works

    def answer(self, name: bytes) -> Answer | None:
        """The answer that is kept under this name."""
        work = self._works.get(name)
        return work.answer if work is not None else None

    def settle(self, name: bytes, answer: Answer) -> None:
        """The answer that another gatekeeper gave, for those that wait here."""
        for waiter in self._expected.pop(name, ()):
            waiter.done(answer)

    def expect(self, name: bytes, mark: bytes, deadline_at_ms: float, done: Done, go_on: Callable[[], None]) -> None:
        """A try whose request another gatekeeper has in hand: wait for what becomes of it, until its own time is up."""
        waiter = _Waiter(mark, done, go_on)
        self._expected.setdefault(name, []).append(waiter)
        self.counts["expected"] += 1
        self._timers.callLater(max(0.0, deadline_at_ms - self._now()) / 1000, self._too_late, name, waiter)

    def expects(self, name: bytes) -> bool:
        """Whether a try waits here for what becomes of this name elsewhere."""
        return name in self._expected

    def released(self, name: bytes, may_have_run: bool) -> None:
        """It ended at the other gatekeeper. What may have run there must not run here."""
        for waiter in self._expected.pop(name, ()):
            if may_have_run:
                waiter.done(Answer(reason="ended-elsewhere"))
            else:
                waiter.go_on()

    def _join(self, work: _Work, mark: bytes, done: Done) -> None:
        if mark != work.mark:
            # Danger: one name for two things. Whichever answer it got would be the other's.
            self.counts["another_under_name"] += 1
            done(Answer(refused=True, retry_after_ms=0.0, reason="another-request-under-this-name"))
        elif work.answer is not None:
            self.counts["joined_answer"] += 1
            done(work.answer)
        else:
            self.counts["joined"] += 1
            work.waiters.append(done)

    def _too_late(self, name: bytes, waiter: _Waiter) -> None:
        waiting = self._expected.get(name, [])
        if waiter in waiting:
            waiting.remove(waiter)
            if not waiting:
                del self._expected[name]
            waiter.done(Answer(refused=True, retry_after_ms=1000.0, reason="in-progress"))

    @staticmethod
    def _size(answer: Answer) -> int:
        return ROW_BYTES + (len(answer.message.body) if answer.message is not None else 0)

    def _let_go(self) -> None:
        """Of the oldest those whose time is over, and more where they take too much memory."""
        now = self._now()
        while self._works:
            name, work = next(iter(self._works.items()))
            if work.answer is None or now < work.until_ms + KEEP_MS and self._bytes <= MOST_BYTES:
                break
            del self._works[name]
            self._bytes -= self._size(work.answer)
