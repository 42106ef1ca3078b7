"""State of one request, from its arrival to its final answer."""

from __future__ import annotations

from dataclasses import dataclass, field

from anisefront.policy.customer_account import CustomerAccount
from anisefront.policy.endpoint_state import EndpointState
from anisefront.policy.events import Arrival, AttemptResult
from anisefront.policy.response_times import size_of
from anisefront.policy.settings import Plan, RequestClass


@dataclass(slots=True, eq=False)
class QuotaClaim:
    """State of a request's claim on its customer's quota."""

    account: CustomerAccount
    serial: int = 0  # identifies the request in messages with the quota owner; 0: none sent yet
    messages_sent: int = 0
    sent_ms: float = 0.0
    owner_replied: bool = False
    debited_units: float = 0.0

    def assign_serial(self, serial: int) -> None:
        """Set the serial that identifies the request in messages with the quota owner."""
        self.serial = serial

    def record_sent(self, now_ms: float) -> None:
        """Count a request to the quota owner."""
        self.messages_sent += 1
        self.sent_ms = now_ms

    def record_reply(self) -> None:
        """Record that the quota owner has replied."""
        self.owner_replied = True

    def record_debited(self, units: float) -> None:
        """Record that units were taken from the quota."""
        self.debited_units = units


@dataclass(slots=True, eq=False)
class Request:
    """A request that has no final answer yet."""

    arrival: Arrival
    request_class: RequestClass
    plan: Plan
    claim: QuotaClaim
    arrived_ms: float
    objective_at_ms: float  # clock time at which its latency objective ends
    priority_weight: float
    sequence: int = 0  # position in the order of arrival of all requests
    size: int = 1  # response times are learned per size
    attempts_started: int = 0
    attempts_in_flight: dict[int, EndpointState] = field(default_factory=dict)
    attempted: tuple[EndpointState, ...] = ()
    uncertain_attempts: int = 0  # attempts that may have been executed, including those in flight
    first_uncertain: EndpointState | None = None
    first_uncertain_ms: float = 0.0
    within_quota: bool = True
    awaiting_quota: bool = True
    queued: bool = False  # admitted, but not dispatched
    streaming: bool = False
    slow_start_draw_after_ms: float = 0.0  # earliest time of the next draw for an endpoint that is warming up

    def inherit_attempts(self, endpoint: EndpointState | None) -> None:
        """Take over the attempts of a failed gateway instance, of which this endpoint received the first."""
        prior = self.arrival.prior_attempts
        if prior is None:
            return
        self.attempts_started = prior.attempts
        self.uncertain_attempts = prior.uncertain
        if prior.quota_debited:
            self.claim.record_debited(self.arrival.units)
        if endpoint is not None:
            self.attempted += (endpoint,)
            if prior.uncertain:
                self.first_uncertain = endpoint
                self.first_uncertain_ms = prior.started_ms

    def record_admitted(self) -> None:
        """Record that the request may be dispatched."""
        self.awaiting_quota = False
        self.queued = True
        self.claim.account.record_admitted()

    def record_over_quota(self, priority_multiplier: float) -> None:
        """Record that the request exceeds its quota, which changes its priority."""
        self.within_quota = False
        self.priority_weight *= priority_multiplier

    def record_dispatched(self) -> None:
        """Record the start of the first attempt."""
        self.queued = False
        self.slow_start_draw_after_ms = 0.0

    def record_attempt_started(self, now_ms: float, endpoint: EndpointState) -> None:
        """Record the start of an attempt."""
        self.attempts_in_flight[self.attempts_started] = endpoint
        self.attempted += (endpoint,)
        if not self.uncertain_attempts:
            self.first_uncertain = endpoint
            self.first_uncertain_ms = now_ms
        self.attempts_started += 1
        self.uncertain_attempts += 1

    def record_attempt_ended(self, attempt: int, result: AttemptResult) -> None:
        """Record the end of an attempt."""
        self.attempts_in_flight.pop(attempt, None)
        if result.never_executed:
            self.uncertain_attempts -= 1

    def record_response_started(self) -> None:
        """Record that a streamed response has started, after which no other attempt may start."""
        self.streaming = True

    def record_slow_start_draw(self, next_after_ms: float) -> None:
        """Record a draw for an endpoint that is warming up, and the earliest time of the next one."""
        self.slow_start_draw_after_ms = next_after_ms

    @property
    def answer_by_ms(self) -> float:
        """Return the time until which a response is useful: the deadline or the end of the latency objective."""
        return min(self.arrival.deadline_at_ms, self.objective_at_ms)


def new_request(
    now_ms: float, arrival: Arrival, request_class: RequestClass, plan: Plan, claim: QuotaClaim, sequence: int
) -> Request:
    """Return the state of a request that has just been accepted."""
    return Request(
        arrival,
        request_class,
        plan,
        claim,
        arrived_ms=now_ms,
        objective_at_ms=now_ms + request_class.latency_objective_ms,
        priority_weight=request_class.priority_weight * plan.priority_multiplier,
        sequence=sequence,
        size=size_of(arrival.units),
    )
