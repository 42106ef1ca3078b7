"""What a run came to: the figures that options are compared by, and the rows that reports draw."""

from __future__ import annotations

from dataclasses import dataclass, field

import numpy as np

MEASURES = ("service", "worst_10_s", "p95_wait_ms", "refused")


@dataclass(slots=True)
class Played:
    """One run. `service` is worth answered within the aim over worth wished for; a wish that was refused and tried
    again counts once. Rows by second hold [worth served in time, worth wished for]."""

    asked: float = 0.0
    served: float = 0.0
    waits: list[float] = field(default_factory=list)  # from arrival to the first attempt
    answers: dict[str, int] = field(default_factory=dict)  # of tries
    reasons: dict[str, int] = field(default_factory=dict)  # of refusals
    by_second: dict[int, list[float]] = field(default_factory=dict)
    by_class: dict[str, dict[int, list[float]]] = field(default_factory=dict)
    by_plan: dict[str, dict[int, list[float]]] = field(default_factory=dict)
    refused_at: dict[str, dict[int, int]] = field(default_factory=dict)  # by reason, by second
    waits_at: dict[int, list[float]] = field(default_factory=dict)
    out_at: dict[int, float] = field(default_factory=dict)  # attempts out, by second
    units: dict[str, float] = field(default_factory=dict)  # sent on, by plan
    fallen: int = 0

    def wish(self, second: int, class_name: str, plan: str, worth: float) -> None:
        """Somebody wants something."""
        self.asked += worth
        for rows in (self.by_second, self.by_class.setdefault(class_name, {}), self.by_plan.setdefault(plan, {})):
            rows.setdefault(second, [0.0, 0.0])[1] += worth

    def granted(self, second: int, class_name: str, plan: str, worth: float) -> None:
        """It was answered within its aim; `second` is the wish's."""
        self.served += worth
        for rows in (self.by_second, self.by_class[class_name], self.by_plan[plan]):
            rows[second][0] += worth

    def waited(self, second: int, wait_ms: float) -> None:
        """A first attempt went out."""
        self.waits.append(wait_ms)
        self.waits_at.setdefault(second, []).append(wait_ms)

    def answered(self, second: int, how: str, reason: str = "") -> None:
        """A try has its final answer."""
        self.answers[how] = self.answers.get(how, 0) + 1
        if reason:
            self.reasons[reason] = self.reasons.get(reason, 0) + 1
            rows = self.refused_at.setdefault(reason, {})
            rows[second] = rows.get(second, 0) + 1

    def measures(self) -> dict[str, float]:
        """The figures that options are compared by."""
        total = max(1, sum(self.answers.values()))
        return {
            "service": self.served / self.asked if self.asked else 1.0,
            "worst_10_s": worst(self.by_second, 10),
            "p95_wait_ms": float(np.percentile(self.waits, 95)) if self.waits else 0.0,
            "refused": self.answers.get("refused", 0) / total,
        }


def worst(rows: dict[int, list[float]], seconds: int) -> float:
    """The least share served in any so many seconds that had anything to serve."""
    if not rows:
        return 1.0
    length = max(rows) + 1
    table = np.zeros((length, 2))
    for second, values in rows.items():
        table[second] = values
    sums = np.cumsum(np.vstack([np.zeros((1, 2)), table]), axis=0)
    parts = sums[seconds:] - sums[:-seconds] if length > seconds else sums[-1:]
    parts = parts[parts[:, 1] > 0]
    return float((parts[:, 0] / parts[:, 1]).min()) if len(parts) else 1.0
