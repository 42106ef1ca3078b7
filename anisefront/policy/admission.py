"""Admission: which requests are queued, in which order they are dispatched, and which are shed.

Below the concurrency limit every admitted request is dispatched at once. At the limit each class has a share of it,
and capacity that the shares leave unused is given to requests by priority weight.

Differences from the paper cited in `fuzzy_controller`: there, the shares apply at all times, and priority is a fixed
order of the classes.
"""

from __future__ import annotations

import math
from collections.abc import Callable, Iterable

from anisefront.policy.actions import Fail, Reject, RejectionReason
from anisefront.policy.concurrency_limit import ConcurrencyLimit
from anisefront.policy.control_period import MIN_SAMPLES
from anisefront.policy.events import Arrival
from anisefront.policy.fuzzy_controller import FuzzyController
from anisefront.policy.request import Request
from anisefront.policy.request_queue import QueueGroup, RequestQueue
from anisefront.policy.response_times import RESPONSE_FRACTION, max_queueing_ms
from anisefront.policy.retries import is_rejection_safe
from anisefront.policy.settings import Idempotency, Plan, RequestClass, Settings

MAX_BLOCKED = 1000  # requests without an eligible endpoint that end one round of dispatching
MAX_OVER_QUOTA_UTILIZATION = 0.5  # fraction of the concurrency limit below which over-quota requests are dispatched
MIN_RETRY_AFTER_MS = 250.0


def admits_over_quota(plan: Plan) -> bool:
    """Return whether requests beyond the quota are admitted: no ceiling, and a multiplier above their cost."""
    return plan.over_quota_multiplier > plan.over_quota_cost and not plan.ceiling_per_s


def dispatch_deadline_ms(now_ms: float, request: Request, reserved_ms: float) -> float:
    """Return the time until which a request may be queued so that the reserved time is left for its response.

    A request with little time left is still queued for a fraction of it, since it may be dispatched at once.
    """
    answer_by_ms = request.answer_by_ms
    return max(answer_by_ms - reserved_ms, now_ms + RESPONSE_FRACTION * (answer_by_ms - now_ms))


def final_answer(request: Request, max_retry_after_ms: float) -> Reject | Fail:
    """Return the answer for a request without a response: a rejection only if a client's retry is safe."""
    if not is_rejection_safe(request):
        return Fail(request.arrival.id)
    refill_ms = request.arrival.units * 1000 / (request.plan.rate_per_s or math.inf)
    retry_after_ms = min(max(MIN_RETRY_AFTER_MS, refill_ms), max_retry_after_ms)
    return Reject(request.arrival.id, retry_after_ms, _rejection_reason(request))


def answer_unaccepted(arrival: Arrival, request_class: RequestClass | None, reason: RejectionReason) -> Reject | Fail:
    """Return the answer for an arriving request that is not accepted; it fails if a client's retry is not safe.

    A request taken over from a failed instance may have been executed there.
    """
    prior_attempts = arrival.prior_attempts
    may_have_executed = prior_attempts is not None and prior_attempts.uncertain > 0
    is_idempotent = request_class is not None and request_class.idempotency is Idempotency.IDEMPOTENT
    if may_have_executed and not is_idempotent:
        return Fail(arrival.id)
    return Reject(arrival.id, 0.0, reason)


def _rejection_reason(request: Request) -> RejectionReason:
    # A request taken over from a failed instance that had debited its units is not waiting for its quota.
    if request.awaiting_quota and not request.claim.debited_units:
        return RejectionReason.QUOTA
    if request.attempts_started:
        return RejectionReason.ATTEMPTS
    return RejectionReason.CAPACITY


class Admission:
    """The queue of admitted requests and the classes' shares of the concurrency limit."""

    __slots__ = ("queue", "shares", "_delays_ms", "_in_flight", "_limit", "_over_quota_groups", "_within_quota_groups")

    def __init__(self, settings: Settings, limit: ConcurrencyLimit) -> None:
        """Start with an empty queue and equal shares."""
        self.queue = RequestQueue()
        self.shares: dict[str, FuzzyController] = {}  # by class
        self._delays_ms: dict[str, list[float]] = {}  # queueing delays of this control period, by class
        self._in_flight: dict[str, int] = {}  # attempts by class
        self._limit = limit
        self._within_quota_groups: dict[str, QueueGroup] = {}  # by class
        self._over_quota_groups: dict[str, QueueGroup] = {}
        self.change_settings(settings)

    def change_settings(self, settings: Settings) -> None:
        """Apply new classes; known ones keep their shares."""
        for request_class in settings.classes:
            self._add_class(request_class, 1 / len(settings.classes))

    def enqueue(self, request: Request) -> None:
        """Queue an admitted request."""
        groups = self._within_quota_groups if request.within_quota else self._over_quota_groups
        self.queue.add(request, groups[request.request_class.name])

    def remove(self, request: Request) -> None:
        """Remove a queued request that has ended."""
        self.queue.remove(request)

    def record_attempt_started(self, class_name: str) -> None:
        """Count an attempt against the class's share."""
        self._in_flight[class_name] += 1

    def record_attempt_ended(self, class_name: str) -> None:
        """Remove an ended attempt from the class's count."""
        self._in_flight[class_name] -= 1

    def end_period(self, now_ms: float) -> None:
        """Adjust the shares to the queueing delays of a control period.

        If few requests were dispatched, the ages of those still queued count as delays too.
        """
        for name, share in self.shares.items():
            delays_ms = self._delays_ms[name]
            total_ms = sum(delays_ms)
            count = len(delays_ms)
            queued = self.queue.count_of(name)
            if count < MIN_SAMPLES and queued:
                total_ms += self.queue.total_age_ms(name, now_ms)
                count += queued
            share.end_period(total_ms / count if count else 0.0)
            self._delays_ms[name] = []

    def dispatch_queued(self, now_ms: float, try_dispatch: Callable[[Request], bool]) -> None:
        """Dispatch queued requests as far as the concurrency limit allows.

        `try_dispatch` starts a request's first attempt, and returns whether an endpoint was available for it.
        """
        if not self.queue or self._limit.headroom() < 1:
            return
        blocked: list[Request] = []
        over_quota_allowed = self._limit.mean_in_flight < MAX_OVER_QUOTA_UTILIZATION * self._limit.limit
        if len(self.queue) > self._limit.headroom():
            self._dispatch_by_share(now_ms, try_dispatch, blocked)
        self._dispatch_by_priority(now_ms, self._within_quota_groups.values(), try_dispatch, blocked)
        if over_quota_allowed:
            self._dispatch_by_priority(now_ms, self._over_quota_groups.values(), try_dispatch, blocked)
        for request in blocked:
            self.enqueue(request)

    def _add_class(self, request_class: RequestClass, share: float) -> None:
        name = request_class.name
        controller = self.shares.setdefault(name, FuzzyController(0.0, share))
        controller.set_target_delay_ms(max_queueing_ms(request_class))
        self._delays_ms.setdefault(name, [])
        self._in_flight.setdefault(name, 0)
        self._within_quota_groups.setdefault(name, QueueGroup(name, True))
        self._over_quota_groups.setdefault(name, QueueGroup(name, False))

    def _dispatch_by_share(
        self, now_ms: float, try_dispatch: Callable[[Request], bool], blocked: list[Request]
    ) -> None:
        """Dispatch each class's requests up to its share of the limit."""
        limit = self._limit.limit
        total = max(1.0, sum(share.share for share in self.shares.values()))
        headroom = {name: share.share / total * limit - self._in_flight[name] for name, share in self.shares.items()}
        while True:
            groups = [self._within_quota_groups[name] for name, attempts in headroom.items() if attempts >= 1]
            request = self.queue.first(groups)
            if request is None or not self._has_capacity(blocked):
                return
            self._dispatch(now_ms, request, try_dispatch, blocked)
            headroom[request.request_class.name] -= 1

    def _dispatch_by_priority(
        self,
        now_ms: float,
        groups: Iterable[QueueGroup],
        try_dispatch: Callable[[Request], bool],
        blocked: list[Request],
    ) -> None:
        """Dispatch the requests of these groups by priority, regardless of the shares."""
        while True:
            request = self.queue.first(groups)
            if request is None or not self._has_capacity(blocked):
                return
            self._dispatch(now_ms, request, try_dispatch, blocked)

    def _has_capacity(self, blocked: list[Request]) -> bool:
        return self._limit.headroom() >= 1 and len(blocked) < MAX_BLOCKED

    def _dispatch(
        self, now_ms: float, request: Request, try_dispatch: Callable[[Request], bool], blocked: list[Request]
    ) -> None:
        self.queue.remove(request)
        if not try_dispatch(request):
            blocked.append(request)
            return
        self._delays_ms[request.request_class.name].append(now_ms - request.arrived_ms)
        request.record_dispatched()
