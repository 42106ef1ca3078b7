"""Watches whether the machine let the processes of a day run, so that its own stalls are not blamed on a gatekeeper.

At a steady pace it reads what the kernel counts for each: how long it was ready to run and had no core. A gatekeeper's
own work, however long, is no such time; of the laboratory's process, which holds the clock, every stall is, but for
those in which a gatekeeper was blocked in a call: it owed its answers then, whatever the laboratory waited for.
"""

from __future__ import annotations

import math
from collections.abc import Callable
from typing import Any

from anisefront.daemon.event_loop_monitor import INTERVAL_MS, read_thread_times
from anisefront.gateway.event_loop_lag import SchedulerSample, thread_time_between
from anisefront.testbed.records import Record, now_ms

EVERY_MS = 25.0
LEAST_MS = 3.0  # what is less in one look is no stall
# A gatekeeper's loop wakes itself every INTERVAL_MS. Twice that, and one look for a timer that is about to fire.
BLOCKED_LOOKS = math.ceil(2 * INTERVAL_MS / EVERY_MS) + 1
ASLEEP = "S"  # the kernel's word for a sleep that an event ends; neither stopped nor waiting for a disk


def read_state(pid: int | str) -> str:
    """Return the kernel's one-letter state of a process; "" if it can't be read."""
    try:
        with open(f"/proc/{pid}/stat") as file:
            # The program's name stands in brackets and may hold spaces and brackets itself.
            return file.read().rpartition(")")[2].split()[0]
    except (OSError, IndexError):
        return ""


class SleepTracker:
    """Tells when a process sleeps on through so many looks that its event loop must be blocked in a call.

    A process that is asleep and has neither run nor waited since a look has slept ever since: one that was woken has
    to run before it can sleep again. A process that waits for a core is not asleep, so it is never told as blocked.
    Looks are counted, not time alone: after a stall of the whole machine the first look may come before the timers of
    the others.
    """

    def __init__(self) -> None:
        """Start with nothing known."""
        self._last: SchedulerSample | None = None
        self._told_until_ms = 0.0
        self._looks = 0

    def blocked_since(self, sample: SchedulerSample, state: str) -> float | None:
        """Return from when to this look the process was blocked, as far as not told before; None if it was not."""
        last, self._last = self._last, sample
        unchanged = last is not None and (last.ran_ms, last.waited_ms) == (sample.ran_ms, sample.waited_ms)
        if not unchanged or state != ASLEEP:
            self._looks, self._told_until_ms = 0, sample.at_ms
            return None
        self._looks += 1
        if self._looks < BLOCKED_LOOKS:
            return None
        since_ms, self._told_until_ms = self._told_until_ms, sample.at_ms
        return since_ms


class Watch:
    """`pids` gives the gatekeepers' process ids by number at any time."""

    def __init__(self, reactor: Any, record: Record, pids: Callable[[], dict[int, int]]) -> None:
        self._reactor, self._record, self._pids = reactor, record, pids
        self._last: dict[str, SchedulerSample] = {}
        self._sleeps: dict[tuple[str, int | str], SleepTracker] = {}
        self._at_ms = 0.0

    def start(self) -> None:
        """Look, and go on until the loop ends."""
        self._at_ms = now_ms()
        self._look()

    def _look(self) -> None:
        now, before = now_ms(), self._at_ms
        self._at_ms = now
        stood = {}
        ids: dict[str, int | str] = {"lab": "self", **{str(number): pid for number, pid in self._pids().items()}}
        samples = {name: sample for name, pid in ids.items() if (sample := read_thread_times(pid, now)) is not None}
        for name, sample in samples.items():
            if name in self._last:
                stood[name] = thread_time_between(self._last[name], sample).waited_ms
        self._last = samples
        stood["lab"] = max(stood.get("lab", 0.0), now - before - EVERY_MS)
        told = {name: round(ms, 1) for name, ms in stood.items() if ms >= LEAST_MS}
        if told:
            self._record.write("stood", since=round(before, 1), until=round(now, 1), ms=told)
        self._note_blocked(ids, samples)
        self._reactor.callLater(EVERY_MS / 1000, self._look)

    def _note_blocked(self, ids: dict[str, int | str], samples: dict[str, SchedulerSample]) -> None:
        """Record for each gatekeeper whether it was blocked in a call until this look."""
        for name, sample in samples.items():
            if name == "lab":
                continue  # it is running this
            # A gatekeeper that is started again is another process.
            tracker = self._sleeps.setdefault((name, ids[name]), SleepTracker())
            since = tracker.blocked_since(sample, read_state(ids[name]))
            if since is not None:
                self._record.write("blocked", number=int(name), since=round(since, 1), until=round(sample.at_ms, 1))
