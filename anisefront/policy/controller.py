"""The controller: all decisions of one gateway instance, as a function of its events.

It handles events, takes each request from its arrival to its final answer, and schedules timers. The rules are in the
other modules of the package:

- admission, queueing and load shedding: `admission`, `concurrency_limit`, `fuzzy_controller`;
- quotas: `quota_borrower`, `quota_owner`;
- whether attempts may start by the endpoint list: `endpoint_list_freshness`;
- choice of an endpoint: `endpoint_selection`, `slow_start`, `outlier_detection`, `load_reports`;
- retries and hedged requests: `retries`.
"""

from __future__ import annotations

import random
from collections.abc import Callable
from typing import Any

from anisefront.policy.actions import Action, RejectionReason, Subscribe
from anisefront.policy.admission import (
    Admission,
    admits_over_quota,
    answer_unaccepted,
    dispatch_deadline_ms,
    final_answer,
)
from anisefront.policy.attempt_tracker import AttemptTracker
from anisefront.policy.concurrency_limit import ConcurrencyLimit
from anisefront.policy.control_period import PERIOD_MS
from anisefront.policy.endpoint_list_freshness import EndpointListFreshness
from anisefront.policy.endpoint_registry import EndpointRegistry
from anisefront.policy.endpoint_selection import EndpointSelection
from anisefront.policy.endpoint_state import EndpointState
from anisefront.policy.events import (
    Arrival,
    AttemptEnded,
    ClientDisconnected,
    EndpointList,
    EndpointListConfirmed,
    EndpointListRequested,
    Event,
    PeerMessage,
    PeersUnreachable,
    ResponseStarted,
)
from anisefront.policy.load_reports import LoadReports
from anisefront.policy.outlier_detection import OutlierDetection
from anisefront.policy.peer_codec import decode
from anisefront.policy.peer_outbox import PeerOutbox
from anisefront.policy.quota_borrower import QuotaBorrower, QuotaDecision
from anisefront.policy.quota_owner import QuotaOwner
from anisefront.policy.quota_router import QuotaRouter
from anisefront.policy.request import Request, new_request
from anisefront.policy.response_times import ResponseTimes
from anisefront.policy.retries import RetryPolicy
from anisefront.policy.settings import Plan, RequestClass, Settings
from anisefront.policy.slow_start import SlowStart
from anisefront.policy.timers import TimerKind, TimerQueue

MAX_BOOT = 1 << 16  # exclusive bound of the random number by which peers tell a restarted instance from its predecessor
STALL_MS = 4 * PERIOD_MS  # after a longer gap between batches this process counts as stalled
ANSWER_MARGIN_TICKS = 2  # timer ticks between the final answer and the deadline
RESUBSCRIBE_FRACTION = 0.25  # delay of a new subscription, as a fraction of the interval of endpoint lists


class Controller:
    """Decisions of one gateway instance. The same settings, seed and events give the same actions."""

    def __init__(self, settings: Settings, seed: int) -> None:
        """Start without endpoints and requests; all random draws come from the seed."""
        rng = random.Random(seed)
        self.settings = settings
        self.classes: dict[str, RequestClass] = {}
        self.plans: dict[str, Plan] = {}
        self.requests: dict[int, Request] = {}  # those without a final answer, by id
        self.timers = TimerQueue()
        self.endpoint_list_freshness = EndpointListFreshness(self.timers)
        self.response_times = ResponseTimes()
        self.concurrency_limit = ConcurrencyLimit(settings.gateways)
        self.admission = Admission(settings, self.concurrency_limit)
        self._set_classes_and_plans(settings)
        self._connect_attempts(settings, rng)
        self._connect_quotas(settings, rng)
        self._actions: list[Action] = []
        self._arrivals = 0
        self._left_service: list[EndpointState] = []  # in this batch
        self._now_ms = -1.0
        self._stalled = False
        self._event_handlers: dict[type, Callable[[Any], None]] = {
            Arrival: self._on_arrival,
            AttemptEnded: self._on_attempt_ended,
            ClientDisconnected: self._on_client_disconnected,
            EndpointList: self._on_endpoint_list,
            EndpointListConfirmed: self.endpoint_list_freshness.on_confirmed,
            EndpointListRequested: self.endpoint_list_freshness.on_requested,
            PeerMessage: self._on_peer_message,
            PeersUnreachable: self._on_peers_unreachable,
            ResponseStarted: self._on_response_started,
            Settings: self._on_settings,
        }
        self._request_timer_handlers: dict[TimerKind, Callable[[Request], None]] = {
            TimerKind.OWNER_REPLY_OVERDUE: self._on_owner_reply_overdue,
            TimerKind.HEDGE_DELAY: self._on_hedge_delay,
            TimerKind.DISPATCH_DEADLINE: self._on_dispatch_deadline,
            TimerKind.RESPONSE_DEADLINE: self._end_without_response,
        }

    def handle(self, now_ms: float, events: list[Event]) -> list[Action]:
        """Process a batch of events and return the resulting actions.

        Args:
            now_ms: Clock time, not before that of the last batch.
            events: The events since then, in order.

        Returns:
            The actions, to be carried out in order.
        """
        self._begin_batch(now_ms)
        for event in events:
            handler = self._event_handlers.get(type(event))
            if handler is not None:
                handler(event)
        if self._left_service:
            self._retry_from_left_endpoints()
        self.timers.expire(self._on_timer)
        if not self.endpoint_list_freshness.is_outdated and (self.endpoints.ready or self.endpoints.warming_up):
            self.admission.dispatch_queued(now_ms, self._try_start_first_attempt)
        if self.outbox:
            self._flush_outbox()
        return self._actions

    # ---- wiring ----------------------------------------------------------------------------------

    def _connect_attempts(self, settings: Settings, rng: random.Random) -> None:
        self.slow_start = SlowStart(settings, rng)
        self.endpoints = EndpointRegistry(self.slow_start)
        self.load_reports = LoadReports(settings.load_report_fields)
        self.outlier_detection = OutlierDetection(list(self.classes), self.load_reports)
        self.endpoint_selection = EndpointSelection(
            settings.zone, rng, self.endpoints, self.load_reports, self.slow_start
        )
        self.retries = RetryPolicy(settings, self.endpoints, self.concurrency_limit, self.response_times)
        self.attempts = AttemptTracker(
            settings,
            self.admission,
            self.concurrency_limit,
            self.load_reports,
            self.outlier_detection,
            self.response_times,
            self.retries,
            self.endpoint_selection,
        )

    def _connect_quotas(self, settings: Settings, rng: random.Random) -> None:
        boot = rng.randrange(MAX_BOOT)
        self.outbox = PeerOutbox(settings, boot, self.timers)
        self.quota_router = QuotaRouter(settings, boot, self.outbox)
        send = self.quota_router.send
        self.quota_owner = QuotaOwner(settings, self.timers, send)
        self.quota_borrower = QuotaBorrower(settings, rng, self.timers, self.outbox, send, self._on_quota_decision)
        self.quota_router.connect(self.quota_borrower, self.quota_owner)

    def _set_classes_and_plans(self, settings: Settings) -> None:
        self.classes = {request_class.name: request_class for request_class in settings.classes}
        self.plans = {plan.name: plan for plan in settings.plans}
        self.response_times.add_classes(settings.classes)

    def _begin_batch(self, now_ms: float) -> None:
        is_first = self._now_ms < 0
        self._stalled = 0 <= self._now_ms < now_ms - STALL_MS
        self._now_ms = now_ms
        self._actions = []
        self._left_service = []
        self.timers.begin_batch(now_ms, self._actions)
        if is_first:
            self.timers.set(TimerKind.CONTROL_PERIOD, now_ms)
            self.timers.set(TimerKind.SUBSCRIBE, now_ms)

    # ---- events ----------------------------------------------------------------------------------

    def _on_settings(self, settings: Settings) -> None:
        """Apply new settings to new requests; open requests keep their class and plan.

        Classes and plans may only be appended. The gateway instance rejects settings in which one is removed or moved:
        peers identify them by index, so those with the old settings would account to another plan.
        """
        self.settings = settings
        self._set_classes_and_plans(settings)
        self.admission.change_settings(settings)
        self.slow_start.change_settings(settings)
        self.load_reports.change_fields(settings.load_report_fields)
        self.endpoint_selection.change_zone(settings.zone)
        self.retries.change_settings(settings)
        self.attempts.change_settings(settings)
        self.outbox.change_settings(settings)
        self.quota_router.change_settings(settings)
        self.quota_borrower.change_settings(settings)
        self.quota_owner.change_settings(self._now_ms, settings)
        self.outlier_detection.change_classes(list(self.classes))

    def _on_endpoint_list(self, endpoint_list: EndpointList) -> None:
        if endpoint_list.failed:
            resubscribe_ms = self._now_ms + self.settings.poll_within_ms * RESUBSCRIBE_FRACTION
            self.timers.set(TimerKind.SUBSCRIBE, resubscribe_ms)
            return
        self._left_service += self.endpoints.update(self._now_ms, endpoint_list)
        self.concurrency_limit.update_limit(self.endpoints.capacity)

    def _on_peer_message(self, event: PeerMessage) -> None:
        """Process a peer's message; a malformed one, or one from an unknown sender, is dropped."""
        report = decode(event.data)
        if report is None or event.sender == self.settings.number or event.sender >= self.settings.gateways:
            return
        self.outbox.record_received(self._now_ms, event.sender)
        self.concurrency_limit.record_peer_report(report.sustainable_attempts)
        if not self._stalled:
            own_attempts = self.endpoint_selection.extra_choices(len(self.endpoints.ready))
            self.outlier_detection.record_peer_observations(
                self._now_ms, report.observations, self.endpoints.by_tag, own_attempts
            )
        self.quota_borrower.record_peer_message(event.sender)
        for message in report.quota_messages:
            self.quota_router.deliver(self._now_ms, event.sender, report.boot, message)

    def _on_peers_unreachable(self, event: PeersUnreachable) -> None:
        self.quota_borrower.set_unreachable(event.gateways)

    def _on_arrival(self, arrival: Arrival) -> None:
        request_class = self.classes.get(arrival.class_name)
        plan = self.plans.get(arrival.plan_name)
        expired = arrival.deadline_at_ms <= self._now_ms
        if request_class is None or plan is None or expired or arrival.id in self.requests:
            self._actions.append(answer_unaccepted(arrival, request_class, RejectionReason.INVALID))
            return
        claim = self.quota_borrower.open_claim(self._now_ms, arrival, plan)
        if isinstance(claim, RejectionReason):
            self._actions.append(answer_unaccepted(arrival, request_class, claim))
            return
        self._arrivals += 1
        request = new_request(self._now_ms, arrival, request_class, plan, claim, self._arrivals)
        self.requests[arrival.id] = request
        self._set_deadlines(request)
        if arrival.prior_attempts is not None:
            request.inherit_attempts(self.endpoints.state_or_placeholder(arrival.prior_attempts.endpoint))
        self._begin_request(request)

    def _set_deadlines(self, request: Request) -> None:
        request_id = request.arrival.id
        answer_ms = request.arrival.deadline_at_ms - ANSWER_MARGIN_TICKS * self.settings.tick_ms
        self.timers.set(TimerKind.RESPONSE_DEADLINE, answer_ms, request_id)
        reserved_ms = self.response_times.reserved_ms(request.request_class, request.size)
        dispatch_ms = dispatch_deadline_ms(self._now_ms, request, reserved_ms)
        self.timers.set(TimerKind.DISPATCH_DEADLINE, dispatch_ms, request_id)

    def _begin_request(self, request: Request) -> None:
        if not self.retries.allows_attempts(self._now_ms, request):
            self._end_without_response(request)
        elif request.claim.debited_units or self.quota_borrower.try_debit_locally(self._now_ms, request):
            self._admit(request)
        else:
            self.quota_borrower.request_units(self._now_ms, request)

    def _on_response_started(self, event: ResponseStarted) -> None:
        request = self.requests.get(event.id)
        if request is not None:
            request.record_response_started()
            self._actions += self.attempts.cancel(request, except_attempt=event.attempt)

    def _on_client_disconnected(self, event: ClientDisconnected) -> None:
        request = self.requests.get(event.id)
        if request is not None:
            self._end(request)

    def _on_attempt_ended(self, event: AttemptEnded) -> None:
        attempt = self.attempts.end(self._now_ms, event, self._stalled)
        if attempt is None:
            return
        request = self.requests.get(event.id)
        if request is None:
            return
        request.record_attempt_ended(event.attempt, event.result)
        if attempt.endpoint not in request.attempts_in_flight.values():
            attempt.endpoint.remove_request(event.id)
        if event.final:
            self._end(request)
        elif not request.attempts_in_flight and not self._try_retry(request):
            self._end_without_response(request)

    # ---- timers ----------------------------------------------------------------------------------

    def _on_timer(self, kind: TimerKind, subject: int) -> None:
        handler = self._request_timer_handlers.get(kind)
        if handler is not None:
            request = self.requests.get(subject)
            if request is not None and not request.streaming:
                handler(request)
        elif kind is TimerKind.CONTROL_PERIOD:
            self._end_period()
        elif kind is TimerKind.BUCKET_REFILLED:
            self.quota_owner.refill_timer_fired(self._now_ms, subject)
        elif kind is TimerKind.SUBSCRIBE and self.settings.subscription_required:
            self._actions.append(Subscribe())
        # Others need no handler: after each batch the outbox is flushed, and queued requests are dispatched.

    def _end_period(self) -> None:
        now_ms = self._now_ms
        self.timers.set(TimerKind.CONTROL_PERIOD, now_ms + PERIOD_MS)
        self.admission.end_period(now_ms)
        self.outbox.end_period()
        self.quota_borrower.evict_idle(now_ms)
        self.quota_owner.evict_idle(now_ms)
        self.endpoints.end_period(now_ms)
        self.endpoint_selection.end_period()
        self.concurrency_limit.end_period(now_ms, self.endpoints.capacity)

    def _on_owner_reply_overdue(self, request: Request) -> None:
        if request.awaiting_quota:
            self.quota_borrower.reply_overdue(self._now_ms, request)

    def _on_hedge_delay(self, request: Request) -> None:
        if not self._stalled:
            for endpoint in request.attempts_in_flight.values():
                self.outlier_detection.record_unresponsive(self._now_ms, endpoint, request.request_class.name)
        if self.retries.allows_hedging(request):
            self._try_retry(request)

    def _on_dispatch_deadline(self, request: Request) -> None:
        """Shed a request that could not respond in time any more, early enough for a client's retry."""
        if request.queued or request.awaiting_quota:
            self._end_without_response(request)

    # ---- steps of a request -------------------------------------------------------------------------

    def _on_quota_decision(self, request: Request, decision: QuotaDecision) -> None:
        if decision is QuotaDecision.GRANTED:
            self._admit(request)
        elif admits_over_quota(request.plan):
            self.quota_borrower.withdraw(request)
            request.record_over_quota(request.plan.over_quota_multiplier)
            self._admit(request)

    def _admit(self, request: Request) -> None:
        request.record_admitted()
        self.admission.enqueue(request)

    def _try_start_first_attempt(self, request: Request) -> bool:
        if not self._try_start_attempt(request):
            return False
        self.retries.record_first_attempt()
        return True

    def _try_retry(self, request: Request) -> bool:
        """Start a retry or a hedged request, and return whether one was started."""
        if not self.retries.allows_retry(self._now_ms, request) or not self._try_start_attempt(request):
            return False
        self.retries.record_retry()
        return True

    def _try_start_attempt(self, request: Request) -> bool:
        """Start an attempt, and return whether one was started."""
        if self.endpoint_list_freshness.is_outdated:
            return False
        expected_ms = self.response_times.expected_ms(request.request_class.name, request.size)
        action = self.attempts.start(self._now_ms, request, expected_ms)
        if action is None:
            return False
        self._actions.append(action)
        hedge_delay_ms = self.retries.hedge_delay_ms(expected_ms)
        self.timers.set(TimerKind.HEDGE_DELAY, self._now_ms + hedge_delay_ms, request.arrival.id)
        return True

    def _retry_from_left_endpoints(self) -> None:
        """Start another attempt for requests whose endpoint has left service, in order of arrival."""
        request_ids = {request_id for endpoint in self._left_service for request_id in endpoint.request_ids}
        affected = [self.requests[request_id] for request_id in request_ids]
        for request in sorted(affected, key=lambda each: each.sequence):
            if self.retries.allows_hedging_on_removal(request, self._left_service):
                self._try_retry(request)

    def _end_without_response(self, request: Request) -> None:
        """Give the final answer for a request that gets no response."""
        self._actions.append(final_answer(request, self.settings.max_retry_after_ms))
        self._end(request)

    def _end(self, request: Request) -> None:
        """Remove a request, refund its unused quota units, and cancel its attempts in flight."""
        request_id = request.arrival.id
        self.requests.pop(request_id, None)
        if request.queued:
            self.admission.remove(request)
        self.quota_borrower.request_ended(self._now_ms, request)
        for endpoint in request.attempts_in_flight.values():
            endpoint.remove_request(request_id)
        self._actions += self.attempts.cancel(request)

    def _flush_outbox(self) -> None:
        observations = self.outlier_detection.recent_observations(self._now_ms)
        self._actions += self.outbox.flush(self._now_ms, self.concurrency_limit.sustainable_attempts, observations)
