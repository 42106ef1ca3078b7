"""Whose time it was when a process was late: its own work, the machine's other work, or a wait for something else.

A late turn of the loop has one of three causes, told apart by what the kernel counts for a thread: it ran (our own
work was too long), it was ready to run and another had the core (the machine), or it slept (a blocking call, a
stopped process). Free of I/O: the counts are handed in.
"""

from __future__ import annotations

from dataclasses import dataclass

BOUNDS_MS = (1.0, 2.0, 5.0, 10.0, 20.0, 50.0, 100.0, 200.0, 500.0, 1000.0, 2000.0, 5000.0, 10_000.0)


@dataclass(frozen=True, slots=True)
class Sample:
    """One reading: the clock, and how long the thread had run and had waited for a core by then. Milliseconds."""

    at_ms: float
    ran_ms: float
    waited_ms: float


def read_schedstat(text: str, at_ms: float) -> Sample | None:
    """The kernel's line for a thread (`/proc/PID/schedstat`: ran, waited, turns; nanoseconds); None if unreadable."""
    parts = text.split()
    if len(parts) < 2 or not (parts[0].isdigit() and parts[1].isdigit()):
        return None
    return Sample(at_ms, int(parts[0]) / 1e6, int(parts[1]) / 1e6)


@dataclass(frozen=True, slots=True)
class Standing:
    """How the time between two readings was spent. The three add up to it."""

    ran_ms: float
    waited_ms: float
    slept_ms: float


def between(before: Sample, after: Sample) -> Standing:
    """What a thread did between two readings."""
    gap = max(0.0, after.at_ms - before.at_ms)
    ran = min(gap, max(0.0, after.ran_ms - before.ran_ms))
    waited = min(gap - ran, max(0.0, after.waited_ms - before.waited_ms))
    return Standing(ran, waited, gap - ran - waited)


class Lag:
    """A histogram of how late a loop came to what was due, and the cause of what was late by more than a stated time.

    `notable_ms`: what is later is put down to a cause. Its size is fixed; counts only grow."""

    def __init__(self, notable_ms: float = 20.0) -> None:
        self.notable_ms = notable_ms
        self.counts = [0] * (len(BOUNDS_MS) + 1)
        self.worst_ms = 0.0
        self.causes = {"own": 0.0, "machine": 0.0, "blocked": 0.0}  # milliseconds of notable lateness, by cause

    def take(self, late_ms: float, standing: Standing | None = None) -> str:
        """Count one lateness; the answer is its main cause, "" where it is not notable or nothing tells it."""
        late_ms = max(0.0, late_ms)
        place = 0
        while place < len(BOUNDS_MS) and late_ms > BOUNDS_MS[place]:
            place += 1
        self.counts[place] += 1
        self.worst_ms = max(self.worst_ms, late_ms)
        if late_ms < self.notable_ms or standing is None:
            return ""
        # The thread slept until its time; what it slept beyond that was no wait of ours to have.
        idle = max(0.0, standing.slept_ms + standing.ran_ms + standing.waited_ms - late_ms)
        parts = {"own": standing.ran_ms, "machine": standing.waited_ms, "blocked": max(0.0, standing.slept_ms - idle)}
        for name, part in parts.items():
            self.causes[name] += min(part, late_ms)
        return max(parts, key=parts.__getitem__)

    def report(self) -> dict[str, object]:
        """The histogram with the upper bounds of its rows in milliseconds, the worst, and the causes."""
        rows = {f"to_{bound:g}_ms": count for bound, count in zip(BOUNDS_MS, self.counts, strict=False) if count}
        if self.counts[-1]:
            rows["more"] = self.counts[-1]
        return {
            "late": rows,
            "worst_ms": round(self.worst_ms, 1),
            "notable_ms_by_cause": {name: round(value, 1) for name, value in self.causes.items()},
        }
