"""Limit on the attempts that one gateway instance has in flight.

The limit follows Little's law: completion rate times the time that an attempt may spend at an endpoint. Overload
responses reduce it multiplicatively; it recovers once other responses outnumber them, or once no recent response is
left.

Difference from the paper cited in `fuzzy_controller`, which assumes a fixed pool of server processes.
"""

from __future__ import annotations

import math

from anisefront.policy.control_period import MIN_SAMPLES, PERIOD_MS, RATE_TIME_CONSTANT_MS
from anisefront.policy.decay import decay_factor

# Attempts in flight per unit of ready capacity, over all gateway instances.
INITIAL_PER_ENDPOINT = 12.0  # until there are responses
MIN_PER_ENDPOINT = 4.0  # otherwise slow responses would reduce the limit to zero for good

ENDPOINT_TIME_FRACTION = 0.25  # mean time at an endpoint, as a fraction of the class's latency objective
PEAK_MULTIPLE = 2.0  # the limit stays within this multiple of the recent peak in flight
OVERLOADED_FRACTION = 0.15  # fraction of ended attempts rejected as overloaded above which the limit backs off
BACKOFF_MULTIPLIER = 0.75  # per control period
MIN_BACKOFF = 0.3
RECOVERY_MULTIPLIER = 1.05  # per control period
MIN_ENDED_ATTEMPTS = 0.1  # an instance with a lower decayed count and no attempts in flight is idle
BURST_ALLOWANCE = 1.5  # attempts beyond the limit while the mean in flight is below it
PEER_GAIN = 0.1  # weight of one peer report in the exponentially weighted mean of all


class ConcurrencyLimit:
    """Attempts in flight and the limit on them."""

    __slots__ = (
        "in_flight",
        "limit",
        "mean_in_flight",
        "sustainable_attempts",
        "_backoff",
        "_ended_attempts",
        "_gateways",
        "_mean_updated_ms",
        "_overloaded_attempts",
        "_peak_in_flight",
        "_peers_mean",
        "_succeeded_objectives_ms",
    )

    def __init__(self, gateways: int) -> None:
        """Start without attempts; the limit is divided by the number of gateway instances."""
        self.in_flight = 0
        self.limit = 0.0
        self.mean_in_flight = 0.0  # exponentially weighted
        self.sustainable_attempts = 0.0  # by Little's law, summed over the classes
        self._backoff = 1.0
        self._ended_attempts = 0.0  # decayed count
        self._gateways = gateways
        self._mean_updated_ms = 0.0
        self._overloaded_attempts = 0.0  # decayed count
        self._peak_in_flight = 0.0
        self._peers_mean = 0.0  # sustainable attempts per peer, exponentially weighted
        self._succeeded_objectives_ms = 0.0  # latency objectives of the attempts that succeeded in this period

    @property
    def backoff(self) -> float:
        """Return the factor by which overload responses reduce the limit."""
        return self._backoff

    def record_attempt_started(self, now_ms: float) -> None:
        """Count an attempt in flight."""
        self._update_mean(now_ms)
        self.in_flight += 1

    def record_attempt_ended(self, now_ms: float, overloaded: bool) -> None:
        """Count an attempt that is no longer in flight."""
        self._update_mean(now_ms)
        self.in_flight -= 1
        self._ended_attempts += 1
        if overloaded:
            self._overloaded_attempts += 1

    def record_success(self, latency_objective_ms: float) -> None:
        """Count a successful response of a class with this latency objective."""
        self._succeeded_objectives_ms += latency_objective_ms

    def record_peer_report(self, sustainable_attempts: float) -> None:
        """Record how many attempts a peer can sustain."""
        self._peers_mean += (sustainable_attempts - self._peers_mean) * PEER_GAIN

    def end_period(self, now_ms: float, ready_capacity: float) -> None:
        """Adjust the limit to the attempts of a control period."""
        retained = decay_factor(PERIOD_MS, RATE_TIME_CONSTANT_MS)
        sustained = self._succeeded_objectives_ms * ENDPOINT_TIME_FRACTION / PERIOD_MS
        self.sustainable_attempts = self.sustainable_attempts * retained + sustained * (1 - retained)
        self._update_mean(now_ms)
        self._peak_in_flight = max(float(self.in_flight), self._peak_in_flight * retained)
        self._update_backoff()
        self._succeeded_objectives_ms = 0.0
        self._overloaded_attempts = self._overloaded_attempts * retained * retained
        self._ended_attempts = self._ended_attempts * retained * retained
        self.update_limit(ready_capacity)

    def update_limit(self, ready_capacity: float) -> None:
        """Set the limit for this capacity of the ready endpoints.

        All gateway instances share the endpoints, so each uses an equal part of the capacity. An instance with few
        ended attempts has a poor estimate of the completion rate, which the mean of its peers complements.
        """
        capacity = ready_capacity / self._gateways
        missing = max(0.0, self._peers_mean - self.sustainable_attempts)
        sustainable = self.sustainable_attempts + missing * MIN_SAMPLES / (MIN_SAMPLES + self._ended_attempts)
        maximum = PEAK_MULTIPLE * max(self._peak_in_flight, INITIAL_PER_ENDPOINT * capacity)
        minimum_per_endpoint = MIN_PER_ENDPOINT if sustainable else INITIAL_PER_ENDPOINT
        minimum = minimum_per_endpoint * capacity * self._backoff
        self.limit = max(minimum, min(sustainable * self._backoff, maximum))

    def headroom(self) -> float:
        """Return how many more attempts may start.

        At one or two requests a second the limit is below 1, but arrivals are random. A strict limit would queue
        requests in an idle cluster, so bursts may exceed it as long as the mean does not.
        """
        allowance = BURST_ALLOWANCE if self.mean_in_flight < self.limit else 0.0
        return self.limit + allowance - self.in_flight

    def _update_mean(self, now_ms: float) -> None:
        gain = -math.expm1((self._mean_updated_ms - now_ms) / RATE_TIME_CONSTANT_MS)
        self.mean_in_flight += (self.in_flight - self.mean_in_flight) * gain
        self._mean_updated_ms = now_ms

    def _update_backoff(self) -> None:
        """Back off while the cluster as a whole, not one endpoint, rejects attempts as overloaded.

        Both counts decay at the same rate, so after the last attempt their ratio never changes. An instance with an
        attempt in flight waits for its result; an idle one recovers.
        """
        is_idle = not self.in_flight and self._ended_attempts < MIN_ENDED_ATTEMPTS
        if not is_idle and self._overloaded_attempts > OVERLOADED_FRACTION * self._ended_attempts:
            self._backoff = max(MIN_BACKOFF, self._backoff * BACKOFF_MULTIPLIER)
        else:
            self._backoff = min(1.0, self._backoff * RECOVERY_MULTIPLIER)
