"""Attempts in flight: starts them at endpoints and reports each start and end to the components that count them."""

from __future__ import annotations

import math
from typing import NamedTuple

from anisefront.policy.actions import CancelAttempt, StartAttempt
from anisefront.policy.admission import Admission
from anisefront.policy.concurrency_limit import ConcurrencyLimit
from anisefront.policy.endpoint_selection import EndpointSelection
from anisefront.policy.endpoint_state import EndpointState
from anisefront.policy.events import AttemptEnded, AttemptResult
from anisefront.policy.load_reports import LoadReports
from anisefront.policy.outlier_detection import OutlierDetection
from anisefront.policy.request import Request
from anisefront.policy.response_times import ResponseTimes
from anisefront.policy.retries import RetryPolicy
from anisefront.policy.settings import Settings

MIN_TIMEOUT_MS = 1.0
UNINFORMATIVE_RESULTS = (AttemptResult.CANCELLED, AttemptResult.DISCARDED)  # no evidence about the endpoint


class AttemptKey(NamedTuple):
    """Identity of an attempt."""

    request_id: int
    attempt: int


class Attempt(NamedTuple):
    """An attempt in flight."""

    endpoint: EndpointState
    class_name: str
    size: int
    load: float  # in average attempts


class AttemptTracker:
    """The attempts in flight of all requests."""

    __slots__ = (
        "in_flight",
        "_admission",
        "_latency_objectives_ms",
        "_limit",
        "_load_reports",
        "_outlier_detection",
        "_response_times",
        "_retries",
        "_selection",
        "_settings",
    )

    def __init__(
        self,
        settings: Settings,
        admission: Admission,
        limit: ConcurrencyLimit,
        load_reports: LoadReports,
        outlier_detection: OutlierDetection,
        response_times: ResponseTimes,
        retries: RetryPolicy,
        selection: EndpointSelection,
    ) -> None:
        """Start without attempts; these components are notified of each start and end."""
        self.in_flight: dict[AttemptKey, Attempt] = {}
        self._admission = admission
        self._limit = limit
        self._load_reports = load_reports
        self._outlier_detection = outlier_detection
        self._response_times = response_times
        self._retries = retries
        self._selection = selection
        self.change_settings(settings)

    def change_settings(self, settings: Settings) -> None:
        """Apply new settings."""
        self._settings = settings
        self._latency_objectives_ms = {each.name: each.latency_objective_ms for each in settings.classes}

    def start(self, now_ms: float, request: Request, expected_ms: float) -> StartAttempt | None:
        """Start one more attempt of a request.

        Args:
            now_ms: Clock time.
            request: The request.
            expected_ms: Expected response time of the attempt.

        Returns:
            The action that starts it, None if no endpoint is eligible or the attempts are used up.
        """
        class_name = request.request_class.name
        load = self._response_times.load_of(expected_ms)
        constraint = self._retries.constraint(now_ms, request)
        endpoint = self._selection.choose(now_ms, request, constraint.eligible, load)
        if endpoint is None or request.attempts_started >= self._settings.max_attempts:
            return None
        request_id = request.arrival.id
        number = request.attempts_started
        timeout_ms = max(MIN_TIMEOUT_MS, request.arrival.deadline_at_ms - now_ms)
        action = StartAttempt(request_id, endpoint.endpoint.id, timeout_ms, constraint.start_within_ms, number)
        key = AttemptKey(request_id, number)
        self.in_flight[key] = Attempt(endpoint, class_name, request.size, load)
        request.record_attempt_started(now_ms, endpoint)
        endpoint.record_attempt_started(request_id, load)
        self._admission.record_attempt_started(class_name)
        self._selection.record_attempt_started()
        self._limit.record_attempt_started(now_ms)
        return action

    def end(self, now_ms: float, event: AttemptEnded, stalled: bool) -> Attempt | None:
        """Record the end of an attempt and return it; None if it is not in flight.

        If this process was stalled, the duration includes the stall and is not evidence about the endpoint.
        """
        attempt = self.in_flight.pop((event.id, event.attempt), None)
        if attempt is None:
            return None
        self._record_capacity(now_ms, event, attempt)
        if not stalled:
            self._record_outcome(now_ms, event, attempt)
        return attempt

    def cancel(self, request: Request, except_attempt: int | None = None) -> list[CancelAttempt]:
        """Return the actions that cancel a request's attempts in flight."""
        if not self._settings.cancellation_enabled:
            return []
        attempts = [attempt for attempt in request.attempts_in_flight if attempt != except_attempt]
        return [CancelAttempt(request.arrival.id, attempt) for attempt in attempts]

    def _record_capacity(self, now_ms: float, event: AttemptEnded, attempt: Attempt) -> None:
        self._admission.record_attempt_ended(attempt.class_name)
        attempt.endpoint.record_attempt_ended(attempt.load)
        self._limit.record_attempt_ended(now_ms, event.result is AttemptResult.OVERLOADED)
        if event.load:
            self._load_reports.record(now_ms, attempt.endpoint, event.load)
        if event.result is AttemptResult.OK:
            self._limit.record_success(self._latency_objectives_ms[attempt.class_name])

    def _record_outcome(self, now_ms: float, event: AttemptEnded, attempt: Attempt) -> None:
        latency_ratio = math.inf
        if event.result is AttemptResult.OK:
            latency_ratio = self._response_times.record(attempt.class_name, attempt.size, event.duration_ms)
        if event.result not in UNINFORMATIVE_RESULTS:
            self._outlier_detection.record_attempt(now_ms, attempt.endpoint, attempt.class_name, latency_ratio)
