"""Python's cycle collector, kept from stopping the loop: a full collection walks all that is held.

What lives at the start is frozen, and so is what a change of settings leaves. Young objects are collected often and
little at a time. Old ones, of which nearly all go by their reference counts, are walked only when little is held, or at
last after half an hour; frozen ones, where settings changed, once a day.
"""

from __future__ import annotations

import gc
import time
from collections.abc import Callable
from typing import Any

from anisefront.gateway.event_loop_lag import LagHistogram

YOUNG, MIDDLE, OLD = 5000, 4, 1_000_000  # thresholds of the three generations; the last means: not by itself
EVERY_S, MOST_S, FEW_HELD = 60.0, 1800.0, 500
FROZEN_S = 86_400.0  # what was frozen behind a change and has become garbage by cycles waits so long at most


class Collector:
    """`held` says how many requests are held now. `pauses` has all collections, in milliseconds."""

    def __init__(self, reactor: Any, held: Callable[[], int], every_s: float = EVERY_S) -> None:
        self._reactor, self._held, self._every_s = reactor, held, every_s
        self.pauses, self._began, self._last = LagHistogram(), 0.0, 0.0
        self._started = False
        self._settled_s: float | None = None  # since when things are frozen that were not there at the start

    def start(self) -> None:
        """Take over; once a process."""
        gc.collect()
        gc.freeze()
        gc.enable()  # who starts may hold it off until here
        gc.set_threshold(YOUNG, MIDDLE, OLD)
        self._started = True
        gc.callbacks.append(self._note)
        self._last = self._reactor.seconds()
        self._reactor.callLater(self._every_s, self._look)

    def settle(self) -> None:
        """What has come to stay is walked no more: a change of settings leaves some objects for each line of the files
        that it touched, and after a day of changes each full collection would walk all settings."""
        if self._started:
            gc.collect(1)
            gc.freeze()
            if self._settled_s is None:
                self._settled_s = self._reactor.seconds()

    def _note(self, phase: str, info: dict[str, int]) -> None:
        if phase == "start":
            self._began = time.perf_counter()
        else:
            self.pauses.record((time.perf_counter() - self._began) * 1000)

    def _look(self) -> None:
        now = self._reactor.seconds()
        if self._held() <= FEW_HELD or now - self._last >= MOST_S:
            self._last = now
            if self._settled_s is not None and now - self._settled_s >= FROZEN_S:
                self._settled_s = None
                gc.unfreeze()
                gc.collect()
                gc.freeze()
            else:
                gc.collect()
        self._reactor.callLater(self._every_s, self._look)
