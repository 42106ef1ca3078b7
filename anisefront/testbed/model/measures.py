"""Metrics of a simulated run: the measures that options are compared by, and the time series that reports plot."""

from __future__ import annotations

from dataclasses import dataclass, field

import numpy as np

MEASURES = ("service", "worst_10_s", "p95_wait_ms", "refused")


@dataclass(slots=True)
class RunMetrics:
    """Metrics of one run.

    `service` is the value served within the latency objective over the value requested, where the value of a request
    is the priority weight of its class times the priority multiplier of its plan and its units. A request that is
    retried after a refusal counts once. Series by second hold [value served in time, value requested].
    """

    requested_value: float = 0.0
    served_value: float = 0.0
    waits: list[float] = field(default_factory=list)  # from arrival to the first attempt
    answers: dict[str, int] = field(default_factory=dict)  # of submissions, retries included
    reasons: dict[str, int] = field(default_factory=dict)  # of refusals
    by_second: dict[int, list[float]] = field(default_factory=dict)
    by_class: dict[str, dict[int, list[float]]] = field(default_factory=dict)
    by_plan: dict[str, dict[int, list[float]]] = field(default_factory=dict)
    refusals_at: dict[str, dict[int, int]] = field(default_factory=dict)  # by reason, by second
    waits_at: dict[int, list[float]] = field(default_factory=dict)
    in_flight_at: dict[int, float] = field(default_factory=dict)  # attempts in flight, by second
    units: dict[str, float] = field(default_factory=dict)  # dispatched to workers, by plan
    crashed_workers: int = 0

    def record_request(self, second: int, class_name: str, plan: str, value: float) -> None:
        """Count a new request of a client."""
        self.requested_value += value
        for rows in (self.by_second, self.by_class.setdefault(class_name, {}), self.by_plan.setdefault(plan, {})):
            rows.setdefault(second, [0.0, 0.0])[1] += value

    def record_served(self, second: int, class_name: str, plan: str, value: float) -> None:
        """Count a request answered within its latency objective; `second` is that of its arrival."""
        self.served_value += value
        for rows in (self.by_second, self.by_class[class_name], self.by_plan[plan]):
            rows[second][0] += value

    def record_wait(self, second: int, wait_ms: float) -> None:
        """Record how long a request waited for its first attempt."""
        self.waits.append(wait_ms)
        self.waits_at.setdefault(second, []).append(wait_ms)

    def record_answer(self, second: int, outcome: str, reason: str = "") -> None:
        """Count the final answer to one submission of a request."""
        self.answers[outcome] = self.answers.get(outcome, 0) + 1
        if reason:
            self.reasons[reason] = self.reasons.get(reason, 0) + 1
            rows = self.refusals_at.setdefault(reason, {})
            rows[second] = rows.get(second, 0) + 1

    def measures(self) -> dict[str, float]:
        """Return the measures that options are compared by."""
        total = max(1, sum(self.answers.values()))
        return {
            "service": self.served_value / self.requested_value if self.requested_value else 1.0,
            "worst_10_s": lowest_served_fraction(self.by_second, 10),
            "p95_wait_ms": float(np.percentile(self.waits, 95)) if self.waits else 0.0,
            "refused": self.answers.get("refused", 0) / total,
        }


def lowest_served_fraction(rows: dict[int, list[float]], seconds: int) -> float:
    """Return the lowest served fraction over any window of this many seconds that has requests."""
    if not rows:
        return 1.0
    length = max(rows) + 1
    table = np.zeros((length, 2))
    for second, values in rows.items():
        table[second] = values
    sums = np.cumsum(np.vstack([np.zeros((1, 2)), table]), axis=0)
    windows = sums[seconds:] - sums[:-seconds] if length > seconds else sums[-1:]
    windows = windows[windows[:, 1] > 0]
    return float((windows[:, 0] / windows[:, 1]).min()) if len(windows) else 1.0
