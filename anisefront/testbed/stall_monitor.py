"""Records when the machine kept the processes of a run from running, so that instances are not blamed for its stalls.

The monitor samples the kernel's scheduling counters of each process at a fixed interval: how long the process was
runnable without a core. The time that an instance spends on its own work is not a stall of the machine. In the
test bed's process, which takes the time stamps, every delay is one, except while an instance is blocked in a call: the
instance owes its responses then, whatever the test bed's process waits for.
"""

from __future__ import annotations

import math
from collections.abc import Callable
from typing import Any

from anisefront.daemon.event_loop_monitor import INTERVAL_MS, read_thread_times
from anisefront.gateway.event_loop_lag import SchedulerSample, thread_time_between
from anisefront.testbed.records import Record, now_ms

SAMPLE_INTERVAL_MS = 25.0
MIN_STALL_MS = 3.0  # shorter delays within one sample are not recorded
# An instance's event loop wakes up every INTERVAL_MS: twice that, and one sample for a timer that is about to fire.
BLOCKED_SAMPLES = math.ceil(2 * INTERVAL_MS / SAMPLE_INTERVAL_MS) + 1
SLEEPING = "S"  # kernel state of an interruptible sleep; neither stopped nor waiting for a disk


def read_state(pid: int | str) -> str:
    """Return the kernel's one-letter state of a process, "" if it can't be read."""
    try:
        with open(f"/proc/{pid}/stat") as file:
            # The program's name is in parentheses and may itself contain spaces and parentheses.
            return file.read().rpartition(")")[2].split()[0]
    except (OSError, IndexError):
        return ""


class SleepTracker:
    """Detects that a process has slept for so many samples that its event loop must be blocked in a call.

    A process that is asleep and has neither run nor waited for a core since a sample has slept ever since: a process
    that was woken has to run before it can sleep again. A process that waits for a core is not asleep, so it is never
    reported as blocked. Samples are counted, not time alone: after a stall of the whole machine the first sample may
    come before the timers of the other processes.
    """

    def __init__(self) -> None:
        """Start without a sample."""
        self._last: SchedulerSample | None = None
        self._reported_until_ms = 0.0
        self._unchanged_samples = 0

    def blocked_since(self, sample: SchedulerSample, state: str) -> float | None:
        """Return since when, after the last report, the process has been blocked; None if it is not."""
        last, self._last = self._last, sample
        unchanged = last is not None and (last.ran_ms, last.waited_ms) == (sample.ran_ms, sample.waited_ms)
        if not unchanged or state != SLEEPING:
            self._unchanged_samples, self._reported_until_ms = 0, sample.at_ms
            return None
        self._unchanged_samples += 1
        if self._unchanged_samples < BLOCKED_SAMPLES:
            return None
        since_ms, self._reported_until_ms = self._reported_until_ms, sample.at_ms
        return since_ms


class StallMonitor:
    """Periodically records stalls of the test bed's process and of instances, and blocked instances.

    `pids` returns the current process ids of the instances by number.
    """

    def __init__(self, reactor: Any, record: Record, pids: Callable[[], dict[int, int]]) -> None:
        """Prepare a monitor that writes to `record`."""
        self._reactor, self._record, self._pids = reactor, record, pids
        self._last: dict[str, SchedulerSample] = {}
        self._sleep_trackers: dict[tuple[str, int | str], SleepTracker] = {}
        self._sampled_at_ms = 0.0

    def start(self) -> None:
        """Take a sample now and at every interval until the event loop ends."""
        self._sampled_at_ms = now_ms()
        self._take_sample()

    def _take_sample(self) -> None:
        now, before = now_ms(), self._sampled_at_ms
        self._sampled_at_ms = now
        stalls = {}
        ids: dict[str, int | str] = {"lab": "self", **{str(number): pid for number, pid in self._pids().items()}}
        samples = {name: sample for name, pid in ids.items() if (sample := read_thread_times(pid, now)) is not None}
        for name, sample in samples.items():
            if name in self._last:
                stalls[name] = thread_time_between(self._last[name], sample).waited_ms
        self._last = samples
        stalls["lab"] = max(stalls.get("lab", 0.0), now - before - SAMPLE_INTERVAL_MS)
        reported = {name: round(ms, 1) for name, ms in stalls.items() if ms >= MIN_STALL_MS}
        if reported:
            self._record.write("stood", since=round(before, 1), until=round(now, 1), ms=reported)
        self._record_blocked(ids, samples)
        self._reactor.callLater(SAMPLE_INTERVAL_MS / 1000, self._take_sample)

    def _record_blocked(self, ids: dict[str, int | str], samples: dict[str, SchedulerSample]) -> None:
        """Record for each instance whether it was blocked in a call until this sample."""
        for name, sample in samples.items():
            if name == "lab":
                continue  # the test bed's own process, which runs this method
            # A restarted instance is another process, with a tracker of its own.
            tracker = self._sleep_trackers.setdefault((name, ids[name]), SleepTracker())
            since = tracker.blocked_since(sample, read_state(ids[name]))
            if since is not None:
                self._record.write("blocked", number=int(name), since=round(since, 1), until=round(sample.at_ms, 1))
