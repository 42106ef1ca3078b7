"""Lateness of an event loop and its cause: the process's own work, other load on the machine, or a blocking wait.

The kernel's scheduling statistics of a thread distinguish the three causes. The thread ran: the process's own work
took too long. It was runnable while another thread had the core: the machine is overloaded. It slept: a blocking call,
or a stopped process. Performs no I/O: the caller reads the statistics.
"""

from __future__ import annotations

from dataclasses import dataclass

BOUNDS_MS = (1.0, 2.0, 5.0, 10.0, 20.0, 50.0, 100.0, 200.0, 500.0, 1000.0, 2000.0, 5000.0, 10_000.0)


@dataclass(frozen=True, slots=True)
class SchedulerSample:
    """Total time that a thread had run and had waited for a core, at one moment. All in milliseconds."""

    at_ms: float
    ran_ms: float
    waited_ms: float


def parse_schedstat(text: str, at_ms: float) -> SchedulerSample | None:
    """Parse the kernel's scheduling statistics of a thread.

    Args:
        text: `/proc/PID/schedstat`: time run and time waited in nanoseconds, number of time slices.
        at_ms: When it was read.

    Returns:
        The sample, or None if the line can't be parsed.
    """
    fields = text.split()
    if len(fields) < 2 or not (fields[0].isdigit() and fields[1].isdigit()):
        return None
    return SchedulerSample(at_ms, int(fields[0]) / 1e6, int(fields[1]) / 1e6)


@dataclass(frozen=True, slots=True)
class ThreadTime:
    """How a thread spent the time between two samples; the three fields add up to that time."""

    ran_ms: float
    waited_ms: float
    slept_ms: float


def thread_time_between(before: SchedulerSample, after: SchedulerSample) -> ThreadTime:
    """Compute how a thread spent the time between two samples."""
    elapsed_ms = max(0.0, after.at_ms - before.at_ms)
    ran_ms = min(elapsed_ms, max(0.0, after.ran_ms - before.ran_ms))
    waited_ms = min(elapsed_ms - ran_ms, max(0.0, after.waited_ms - before.waited_ms))
    return ThreadTime(ran_ms, waited_ms, elapsed_ms - ran_ms - waited_ms)


class LagHistogram:
    """A fixed-size histogram of lateness, with the causes of lateness above a threshold."""

    def __init__(self, notable_ms: float = 20.0) -> None:
        """Create an empty histogram; lateness of `notable_ms` or more is attributed to a cause."""
        self.notable_ms = notable_ms
        self.counts = [0] * (len(BOUNDS_MS) + 1)
        self.worst_ms = 0.0
        self.causes = {"own": 0.0, "machine": 0.0, "blocked": 0.0}  # milliseconds of notable lateness, by cause

    def record(self, late_ms: float, thread_time: ThreadTime | None = None) -> str:
        """Count one lateness.

        Args:
            late_ms: The lateness.
            thread_time: How the event loop's thread spent the time; None if unknown.

        Returns:
            The main cause; "" if the lateness is below the threshold or its cause is unknown.
        """
        late_ms = max(0.0, late_ms)
        index = 0
        while index < len(BOUNDS_MS) and late_ms > BOUNDS_MS[index]:
            index += 1
        self.counts[index] += 1
        self.worst_ms = max(self.worst_ms, late_ms)
        if late_ms < self.notable_ms or thread_time is None:
            return ""
        # Until the timer was due the thread slept on purpose. Only sleep beyond that is a blocking wait.
        elapsed_ms = thread_time.slept_ms + thread_time.ran_ms + thread_time.waited_ms
        intended_sleep_ms = max(0.0, elapsed_ms - late_ms)
        by_cause = {
            "own": thread_time.ran_ms,
            "machine": thread_time.waited_ms,
            "blocked": max(0.0, thread_time.slept_ms - intended_sleep_ms),
        }
        for cause, duration_ms in by_cause.items():
            self.causes[cause] += min(duration_ms, late_ms)
        return max(by_cause, key=by_cause.__getitem__)

    def report(self) -> dict[str, object]:
        """Return the histogram by upper bound in milliseconds, the worst lateness, and the causes."""
        rows = {f"to_{bound:g}_ms": count for bound, count in zip(BOUNDS_MS, self.counts, strict=False) if count}
        if self.counts[-1]:
            rows["more"] = self.counts[-1]
        return {
            "late": rows,
            "worst_ms": round(self.worst_ms, 1),
            "notable_ms_by_cause": {name: round(value, 1) for name, value in self.causes.items()},
        }
