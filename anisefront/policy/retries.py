"""Retries, hedged requests, and the constraints that a class's idempotency puts on them."""

from __future__ import annotations

import math
from typing import NamedTuple

from anisefront.policy.concurrency_limit import ConcurrencyLimit
from anisefront.policy.endpoint_registry import EndpointRegistry
from anisefront.policy.endpoint_state import EndpointState
from anisefront.policy.request import Request
from anisefront.policy.response_times import UNRESPONSIVE_MULTIPLE, ResponseTimes
from anisefront.policy.settings import DeduplicationScope, Idempotency, Settings

BUDGET_PER_REQUEST = 0.2  # retries per first attempt, so that retries do not amplify an overload
MAX_BUDGET = 20.0  # retries
INITIAL_BUDGET = MAX_BUDGET / 2
MIN_HEDGE_DELAY_MS = 150.0
MAX_HEDGE_UTILIZATION = 0.7  # fraction of the concurrency limit from which no hedged request is started


class AttemptConstraint(NamedTuple):
    """Endpoints and time to which the next attempt of a request is restricted."""

    eligible: list[EndpointState] | None  # None: all
    start_within_ms: float

    @property
    def forbids_all(self) -> bool:
        """Return whether no further attempt may start."""
        return self.eligible == []


UNCONSTRAINED = AttemptConstraint(None, math.inf)


def is_rejection_safe(request: Request) -> bool:
    """Return whether a client may retry the request at any time: it was not executed, or may be executed again.

    A keyed request that may have been executed is not: its endpoints drop a second execution only within their
    deduplication window, and nothing limits the time of a client's retry after a rejection.
    """
    return not request.uncertain_attempts or request.request_class.idempotency is Idempotency.IDEMPOTENT


class RetryPolicy:
    """Decides whether a request may have another attempt, and where."""

    __slots__ = ("_budget", "_endpoints", "_limit", "_response_times", "_settings")

    def __init__(
        self,
        settings: Settings,
        endpoints: EndpointRegistry,
        limit: ConcurrencyLimit,
        response_times: ResponseTimes,
    ) -> None:
        """Start with half of the budget."""
        self._budget = INITIAL_BUDGET  # retries that may be started
        self._endpoints = endpoints
        self._limit = limit
        self._response_times = response_times
        self._settings = settings

    def change_settings(self, settings: Settings) -> None:
        """Apply new settings."""
        self._settings = settings

    def record_first_attempt(self) -> None:
        """Add to the budget for a request's first attempt."""
        self._budget = min(MAX_BUDGET, self._budget + BUDGET_PER_REQUEST)

    def record_retry(self) -> None:
        """Take a retry from the budget."""
        self._budget -= 1

    def constraint(self, now_ms: float, request: Request) -> AttemptConstraint:
        """Return the constraint that earlier attempts, which may have been executed, put on the next one.

        A keyed request may only be sent to endpoints that deduplicate it, within their deduplication window. A
        non-idempotent one may not be sent again.
        """
        request_class = request.request_class
        first = request.first_uncertain
        if first is None or not request.uncertain_attempts or request_class.idempotency is Idempotency.IDEMPOTENT:
            return UNCONSTRAINED
        window_end_ms = request.first_uncertain_ms + request_class.deduplication_window_ms
        start_within_ms = window_end_ms - self._settings.tick_ms - now_ms
        if request_class.idempotency is Idempotency.NON_IDEMPOTENT or start_within_ms <= 0:
            return AttemptConstraint([], start_within_ms)
        return AttemptConstraint(self._deduplicating(first, request_class.deduplication_scope), start_within_ms)

    def allows_attempts(self, now_ms: float, request: Request) -> bool:
        """Return whether idempotency and the number of attempts allow another attempt."""
        if request.attempts_started >= self._settings.max_attempts:
            return False
        return not self.constraint(now_ms, request).forbids_all

    def allows_retry(self, now_ms: float, request: Request) -> bool:
        """Return whether a retry could end in time and is within the budget."""
        expected_end_ms = now_ms + self._response_times.reserved_ms(request.request_class, request.size)
        return expected_end_ms <= request.answer_by_ms and self._budget >= 1

    def allows_hedging(self, request: Request) -> bool:
        """Return whether a hedged request may be started for an unresponsive attempt."""
        if not self._settings.hedging_enabled or not request.arrival.allows_hedging:
            return False
        if self._limit.mean_in_flight >= MAX_HEDGE_UTILIZATION * self._limit.limit:
            return False
        return len(request.attempts_in_flight) == 1

    def allows_hedging_on_removal(self, request: Request, removed: list[EndpointState]) -> bool:
        """Return whether another attempt may be started because the endpoint of the only one has left service.

        Such an endpoint may stop before it has responded.
        """
        if not self._settings.hedging_enabled or not request.arrival.allows_hedging or request.streaming:
            return False
        if request.request_class.idempotency is not Idempotency.IDEMPOTENT or len(request.attempts_in_flight) != 1:
            return False
        return next(iter(request.attempts_in_flight.values())) in removed

    @staticmethod
    def hedge_delay_ms(expected_ms: float) -> float:
        """Return the time after which an attempt with this expected response time counts as unresponsive."""
        return max(MIN_HEDGE_DELAY_MS, UNRESPONSIVE_MULTIPLE * expected_ms)

    def _deduplicating(self, first: EndpointState, scope: DeduplicationScope) -> list[EndpointState] | None:
        """Return the endpoints in service that share deduplication with the first one, None for all."""
        if scope is DeduplicationScope.ALL:
            return None
        zone = first.endpoint.zone
        same_zone = [state for state in self._endpoints.in_service() if state.endpoint.zone == zone]
        if scope is DeduplicationScope.ZONE:
            return same_zone
        return [state for state in same_zone if state.endpoint.cell == first.endpoint.cell]
