"""Delegated requests of a failed gateway instance, until their proxy or their client returns.

No attempt can be sent before that: each attempt needs a check by the proxy.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass
from typing import Protocol

from anisefront.gateway.interfaces import Timers
from anisefront.gateway.request_terms import RequestTerms
from anisefront.policy.events import AttemptResult, PriorAttempts
from anisefront.upstream.delegated_checks import UNKNOWN_ATTEMPT, Reply, parse_number, split_attempt_name


@dataclass(slots=True, eq=False)
class InheritedRequest:
    """A delegated request of a failed gateway instance.

    Attributes:
        origin: The incarnation and the number by which the proxy knows it.
        idempotency_key: The key that its client sent with it.
        terms: Its terms.
        prior_attempts: Its attempts, as the backup knows them.
        uncertain_attempts: Attempts that may have been executed: endpoint and lower bound of the start, by number.
        reply: Callback for a check that came before the log of the attempt it refers to.
        is_awaited: Whether neither proxy nor client has returned and its deadline has not passed.
    """

    origin: tuple[str, int]
    idempotency_key: str
    terms: RequestTerms
    prior_attempts: PriorAttempts
    uncertain_attempts: dict[int, tuple[str, float]]
    reply: Reply | None = None
    is_awaited: bool = True

    def remaining_prior_attempts(self) -> PriorAttempts:
        """Return its prior attempts without those that are proved never to have been executed."""
        uncertain = sorted(self.uncertain_attempts.items())
        endpoint, started_ms = uncertain[0][1] if uncertain else (self.prior_attempts.endpoint, 0.0)
        return PriorAttempts(
            self.prior_attempts.attempts, len(uncertain), endpoint, started_ms, self.prior_attempts.quota_debited
        )


class Readmit(Protocol):
    """Passes an inherited request to the controller."""

    def __call__(self, inherited: InheritedRequest, reply: Reply, peer: str, request_id: str) -> int | None:
        """Accept the request and return its number; None if it was rejected."""


class InheritedRequests:
    """The inherited requests of one gateway instance."""

    def __init__(
        self,
        now_ms: Callable[[], float],
        timers: Timers,
        counts: Counter[str],
        log_timeout_ms: Callable[[], float],
        readmit: Readmit,
    ) -> None:
        """Create an empty collection.

        Args:
            now_ms: The clock.
            timers: The event loop's timers.
            counts: Where events are counted.
            log_timeout_ms: Returns how long a check waits for the log of the attempt it refers to.
            readmit: Called once the proxy or the client has returned.
        """
        self._now_ms = now_ms
        self._timers = timers
        self._counts = counts
        self._log_timeout_ms = log_timeout_ms
        self._readmit = readmit
        self._by_origin: dict[tuple[str, int], InheritedRequest] = {}
        self._by_idempotency_key: dict[tuple[str, str], InheritedRequest] = {}  # by customer and key

    def add(self, inherited: InheritedRequest) -> None:
        """Wait for a request's proxy or client until its deadline."""
        self._by_origin[inherited.origin] = inherited
        if inherited.idempotency_key:
            self._by_idempotency_key[inherited.terms.customer, inherited.idempotency_key] = inherited
        self._counts["inherited"] += 1
        delay_ms = max(0.0, inherited.terms.deadline_at_ms - self._now_ms())
        self._timers.callLater(delay_ms / 1000, self.release, inherited)

    def find(self, customer: str, idempotency_key: str) -> InheritedRequest | None:
        """Return a customer's request by its idempotency key."""
        return self._by_idempotency_key.get((customer, idempotency_key))

    def find_attempt(self, name: str) -> tuple[InheritedRequest | None, int]:
        """Return the request and the number of the attempt that a proxy names; None and 0 if there is none."""
        parts = split_attempt_name(name)
        request_number = parse_number(parts.request)
        attempt_number = parse_number(parts.attempt)
        if request_number is None or attempt_number is None:
            return None, 0
        return self._by_origin.get((parts.incarnation, request_number)), attempt_number

    def release(self, inherited: InheritedRequest) -> None:
        """Stop waiting for a request's proxy or client."""
        inherited.is_awaited = False
        key = (inherited.terms.customer, inherited.idempotency_key)
        if self._by_idempotency_key.get(key) is inherited:
            del self._by_idempotency_key[key]
        self._by_origin.pop(inherited.origin, None)

    def next_check(self, inherited: InheritedRequest, attempt_number: int, reply: Reply) -> int | None:
        """Receive the proxy's check after an attempt.

        Returns:
            The number of the request if it was readmitted. Otherwise the log will show whether the attempt was
            executed; without one it may have been.
        """
        if attempt_number not in inherited.uncertain_attempts:
            return self.readmit(inherited, reply)
        inherited.reply = reply
        self._timers.callLater(self._log_timeout_ms() / 1000, self._log_missing, inherited, reply)
        return None

    def attempt_logged(
        self, inherited: InheritedRequest, attempt_number: int, result: AttemptResult, is_final: bool
    ) -> None:
        """Record the late log of an attempt that the failed gateway instance had started."""
        self._counts["logs_settled"] += 1
        reply = inherited.reply
        if result.never_executed:
            del inherited.uncertain_attempts[attempt_number]
        if is_final or result is AttemptResult.OK:
            inherited.reply = None
            self.release(inherited)
            if reply is not None:
                reply(UNKNOWN_ATTEMPT)
        elif reply is not None:
            self.readmit(inherited, reply)

    def readmit(self, inherited: InheritedRequest, reply: Reply, peer: str = "", request_id: str = "") -> int | None:
        """Pass a request to the controller, since its proxy or client has returned.

        Returns:
            Its number; None if it was rejected.
        """
        self.release(inherited)
        self._counts["came_back"] += 1
        waiting = inherited.reply
        inherited.reply = None
        if waiting is not None and waiting is not reply:
            waiting(UNKNOWN_ATTEMPT)  # superseded by the new check
        return self._readmit(inherited, reply, peer, request_id)

    def _log_missing(self, inherited: InheritedRequest, reply: Reply) -> None:
        if inherited.reply is reply:
            self.readmit(inherited, reply)
