"""Settings of one gateway instance: request classes, plans and limits.

`settings_document` reads them from the settings document, which has other names and units. Durations are milliseconds.
"""

from __future__ import annotations

import math
from dataclasses import dataclass, field
from enum import Enum

MAX_TAG_KEY_BYTES = 64  # the longest key that BLAKE2b takes


class Idempotency(Enum):
    """Effect of a second execution of a request."""

    IDEMPOTENT = "safe"  # may be executed any number of times
    KEYED = "keyed"  # a group of endpoints deduplicates executions within a time window
    NON_IDEMPOTENT = "unsafe"  # must never be executed twice


class DeduplicationScope(Enum):
    """Group of endpoints that deduplicate executions of a keyed request together."""

    ALL = "all"
    ZONE = "zone"
    CELL = "cell"


def check_minimum(minimum: float, **values: float) -> None:
    """Raise `ValueError` for the first value that is not a number of at least the minimum."""
    for name, value in values.items():
        if not value >= minimum:
            raise ValueError(f"{name}: {value!r} is not a number of at least {minimum}")


@dataclass(frozen=True, slots=True)
class RequestClass:
    """A class of requests: its latency objective, its priority and its idempotency."""

    name: str
    latency_objective_ms: float
    deadline_ms: float
    priority_weight: float
    idempotency: Idempotency
    late_priority_weight: float = 0.0
    deduplication_scope: DeduplicationScope = DeduplicationScope.ALL
    deduplication_window_ms: float = 0.0
    streamed: bool = False
    latency_objective_stretch: float = 0.0

    def __post_init__(self) -> None:
        """Check the values."""
        check_minimum(
            0,
            latency_objective_ms=self.latency_objective_ms,
            deadline_ms=self.deadline_ms,
            priority_weight=self.priority_weight,
            late_priority_weight=self.late_priority_weight,
            deduplication_window_ms=self.deduplication_window_ms,
        )
        if not isinstance(self.idempotency, Idempotency):
            raise ValueError(f"idempotency: expected a member of Idempotency, got {self.idempotency!r}")

    def repeatable_until_ms(self, first_attempt_ms: float) -> float:
        """Return the latest time at which a request of the same identity may replace one that may have been executed.

        Any endpoint may receive it, at any time until its deadline, and must still drop it as a second execution.

        Args:
            first_attempt_ms: Lower bound of the time at which the first attempt started; -inf if it is unknown.

        Returns:
            The time; inf if a second execution is harmless at any time, -inf if no request may replace it.
        """
        if self.idempotency is Idempotency.IDEMPOTENT:
            return math.inf
        if self.idempotency is Idempotency.KEYED and self.deduplication_scope is DeduplicationScope.ALL:
            return first_attempt_ms + self.deduplication_window_ms - self.deadline_ms
        return -math.inf


@dataclass(frozen=True, slots=True)
class Plan:
    """A plan: the quota of each of its customers over all gateway instances, and the cost of exceeding it."""

    name: str
    rate_per_s: float = 0.0  # units; 0: no quota on the rate
    burst: float = 0.0  # units
    max_in_flight: int = 0  # requests; 0: no quota on requests in flight
    priority_multiplier: float = 1.0
    over_quota_multiplier: float = 0.0  # of the priority weight of requests beyond the quota
    over_quota_cost: float = 0.0  # of a request beyond the quota, in multiples of the priority weight
    ceiling_per_s: float = 0.0  # units; 0: no ceiling
    ceiling_burst: float = 0.0
    ceiling_slack: float = 0.0

    def __post_init__(self) -> None:
        """Check the values."""
        check_minimum(
            0,
            rate_per_s=self.rate_per_s,
            burst=self.burst,
            max_in_flight=self.max_in_flight,
            priority_multiplier=self.priority_multiplier,
            over_quota_multiplier=self.over_quota_multiplier,
            over_quota_cost=self.over_quota_cost,
            ceiling_per_s=self.ceiling_per_s,
            ceiling_burst=self.ceiling_burst,
            ceiling_slack=self.ceiling_slack,
        )


@dataclass(frozen=True, slots=True)
class Settings:
    """Configuration of a gateway instance, given at its start and, as an event, when it changes."""

    gateways: int  # instances in the cluster
    number: int  # of this instance, from 0
    zone: str
    classes: tuple[RequestClass, ...]
    plans: tuple[Plan, ...]
    warm_up_ms: float
    slow_start_initial_factor: float  # fraction of its full capacity that an endpoint has at its start
    overload_multiple: float
    overload_window_ms: float
    max_attempts: int
    tick_ms: float = 1.0  # resolution of the timers, as configured
    max_units: float = 1.0
    cancellation_enabled: bool = True
    peer_messages_enabled: bool = False
    probing_enabled: bool = False
    hedging_enabled: bool = False
    subscription_required: bool = False
    postpaid: bool = False
    max_retry_after_ms: float = 0.0
    inbox_per_s: float = 0.0  # messages a second that an instance can receive; 0: unknown
    poll_within_ms: float = 10_000.0
    load_report_mode: str = "none"
    load_report_fields: tuple[str, ...] = ()
    cross_zone_price: float = 0.0
    peer_message_price: float = 0.0
    max_customers: int = 200_000  # with an account, and likewise with a bucket at a quota owner; more are rejected
    tag_key: bytes = field(default=b"", repr=False)  # the cluster's secret key for customer tags

    def __post_init__(self) -> None:
        """Check the values."""
        if not self.classes:
            raise ValueError("classes: at least one request class is required")
        if not self.plans:
            raise ValueError("plans: at least one plan is required")
        check_minimum(1, gateways=self.gateways, max_attempts=self.max_attempts)
        check_minimum(
            0,
            number=self.number,
            warm_up_ms=self.warm_up_ms,
            slow_start_initial_factor=self.slow_start_initial_factor,
            overload_multiple=self.overload_multiple,
            overload_window_ms=self.overload_window_ms,
            max_units=self.max_units,
            inbox_per_s=self.inbox_per_s,
        )
        if len(self.tag_key) > MAX_TAG_KEY_BYTES:
            raise ValueError(f"tag_key: {len(self.tag_key)} bytes exceed the maximum of {MAX_TAG_KEY_BYTES} bytes")
        if self.number >= self.gateways:
            raise ValueError(f"number: {self.number} must be below the number of gateways, {self.gateways}")
