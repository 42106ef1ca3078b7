"""Delegated requests that a lost gateway instance had, until their proxy or their client returns.

Nothing can be sent for them before: an attempt needs a check of the proxy.
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
    """A request that another gateway instance had.

    Attributes:
        origin: The incarnation and the number by which the proxy knows it.
        identity: The name by which its client knows it.
        terms: Its terms.
        prior_attempts: Its attempts, as the backup knows them.
        uncertain_attempts: Attempts that may have been executed: endpoint and lower bound of the start, by number.
        reply: Responds to a check that came before the log of the attempt it refers to.
        is_awaited: Whether neither proxy nor client has returned and its deadline has not passed.
    """

    origin: tuple[str, int]
    identity: str
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
        self._by_identity: dict[tuple[str, str], InheritedRequest] = {}  # by customer and identity

    def add(self, inherited: InheritedRequest) -> None:
        """Wait for a request's proxy or client until its deadline."""
        self._by_origin[inherited.origin] = inherited
        if inherited.identity:
            self._by_identity[inherited.terms.customer, inherited.identity] = inherited
        self._counts["inherited"] += 1
        delay_ms = max(0.0, inherited.terms.deadline_at_ms - self._now_ms())
        self._timers.callLater(delay_ms / 1000, self.release, inherited)

    def find(self, customer: str, identity: str) -> InheritedRequest | None:
        """Return the request by its client's name of it."""
        return self._by_identity.get((customer, identity))

    def find_attempt(self, name: str) -> tuple[InheritedRequest | None, int]:
        """Return the request and the number of the attempt that a proxy names; None and 0 if there is none."""
        parts = split_attempt_name(name)
        request = parse_number(parts.request)
        attempt = parse_number(parts.attempt)
        if request is None or attempt is None:
            return None, 0
        return self._by_origin.get((parts.incarnation, request)), attempt

    def release(self, inherited: InheritedRequest) -> None:
        """Stop waiting for a request's proxy or client."""
        inherited.is_awaited = False
        identity = (inherited.terms.customer, inherited.identity)
        if self._by_identity.get(identity) is inherited:
            del self._by_identity[identity]
        self._by_origin.pop(inherited.origin, None)

    def next_check(self, inherited: InheritedRequest, attempt: int, reply: Reply) -> int | None:
        """Receive the proxy's check after an attempt.

        Returns:
            The number of the request if it was readmitted. Otherwise the log will show whether the attempt was
            executed; without one it may have been.
        """
        if attempt not in inherited.uncertain_attempts:
            return self.readmit(inherited, reply)
        inherited.reply = reply
        self._timers.callLater(self._log_timeout_ms() / 1000, self._log_missing, inherited, reply)
        return None

    def attempt_logged(self, inherited: InheritedRequest, attempt: int, result: AttemptResult, is_final: bool) -> None:
        """Record the late log of an attempt that the lost gateway instance had started."""
        self._counts["logs_settled"] += 1
        reply = inherited.reply
        if result.never_executed:
            del inherited.uncertain_attempts[attempt]
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
            waiting(UNKNOWN_ATTEMPT)  # another check replaces it
        return self._readmit(inherited, reply, peer, request_id)

    def _log_missing(self, inherited: InheritedRequest, reply: Reply) -> None:
        if inherited.reply is reply:
            self.readmit(inherited, reply)
