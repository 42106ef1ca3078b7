"""Observed latency and failures of one endpoint.

High latency and failures raise the cost of an endpoint (see `endpoint_selection`), so an outlier gets few attempts. As
the observations decay, it gets more again.
"""

from __future__ import annotations

import math
from dataclasses import dataclass, field

from anisefront.policy.decay import decay_factor
from anisefront.policy.response_times import UNRESPONSIVE_MULTIPLE

LATENCY_GAIN = 0.15  # weight of an observation in the mean latency ratio
MAX_LATENCY_RATIO = 10.0
LATENCY_TIME_CONSTANT_MS = 15_000.0  # decay of the latency ratio towards 1
FAILURE_TIME_CONSTANT_MS = 4000.0  # decay of failures, after which an outlier gets attempts again


@dataclass(slots=True, eq=False)
class EndpointHealth:
    """Latency and failures of one endpoint; the counts decay and are kept per request class."""

    latency_ratio: float = 1.0  # mean of actual over expected duration
    outcome_counts: dict[str, float] = field(default_factory=dict)
    failure_counts: dict[str, float] = field(default_factory=dict)
    observed_ms: float = 0.0

    def latency_ratio_at(self, now_ms: float) -> float:
        """Return the latency ratio, which decays to 1 without new observations."""
        # `decay_factor` inlined for speed: this is called for each candidate of each attempt.
        return 1 + (self.latency_ratio - 1) * math.exp((self.observed_ms - now_ms) / LATENCY_TIME_CONSTANT_MS)

    def failure_fraction(self, now_ms: float, class_name: str) -> float:
        """Return the fraction of a class's attempts that fail, with the fraction over all classes as a prior."""
        if not self.failure_counts:
            return 0.0
        retained = decay_factor(now_ms - self.observed_ms, FAILURE_TIME_CONSTANT_MS)
        failures = retained * sum(self.failure_counts.values())
        overall = failures / (retained * sum(self.outcome_counts.values()) + 2)
        class_failures = retained * self.failure_counts.get(class_name, 0.0)
        return (class_failures + overall) / (retained * self.outcome_counts.get(class_name, 0.0) + 1)

    def record(
        self, now_ms: float, class_name: str, latency_ratio: float, normalized_ratio: float, weight: float
    ) -> None:
        """Record an observation.

        Args:
            now_ms: Clock time.
            class_name: Class of the request.
            latency_ratio: Actual over expected duration; infinity for a failure.
            normalized_ratio: The same, normalized to an average load of the endpoint.
            weight: 1 for a response to this instance, less for less certain observations.
        """
        retained = decay_factor(now_ms - self.observed_ms, FAILURE_TIME_CONSTANT_MS)
        self.latency_ratio = self.latency_ratio_at(now_ms)
        self.outcome_counts = {name: count * retained for name, count in self.outcome_counts.items()}
        self.failure_counts = {name: count * retained for name, count in self.failure_counts.items()}
        self.outcome_counts[class_name] = self.outcome_counts.get(class_name, 0.0) + weight
        if latency_ratio == math.inf:
            self.failure_counts[class_name] = self.failure_counts.get(class_name, 0.0) + weight
        elif latency_ratio > UNRESPONSIVE_MULTIPLE:  # the attempt was counted as unresponsive before its response
            self.failure_counts[class_name] = max(0.0, self.failure_counts.get(class_name, 0.0) - weight)
        if normalized_ratio < math.inf:
            self.latency_ratio += (
                (min(MAX_LATENCY_RATIO, normalized_ratio) - self.latency_ratio) * LATENCY_GAIN * weight
            )
        self.observed_ms = now_ms
