"""Watches whether the machine let the processes of a day run, so that its own stalls are not blamed on a gatekeeper.

At a steady pace it reads what the kernel counts for each: how long it was ready to run and had no core. A gatekeeper's
own work, however long, is no such time; of the laboratory's process, which holds the clock, every stall is.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

from anisefront.daemon.event_loop_monitor import read_thread_times
from anisefront.gateway.event_loop_lag import SchedulerSample, thread_time_between
from anisefront.testbed.records import Record, now_ms

EVERY_MS = 25.0
LEAST_MS = 3.0  # what is less in one look is no stall


class Watch:
    """`pids` gives the gatekeepers' process ids by number at any time."""

    def __init__(self, reactor: Any, record: Record, pids: Callable[[], dict[int, int]]) -> None:
        self._reactor, self._record, self._pids = reactor, record, pids
        self._last: dict[str, SchedulerSample] = {}
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
        self._reactor.callLater(EVERY_MS / 1000, self._look)
