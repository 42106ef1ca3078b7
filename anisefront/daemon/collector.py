"""Scheduling of garbage collection, so that full collections do not block the event loop under load.

A full collection visits all tracked objects. Objects that exist at the start, or that a settings change has created,
are frozen. Young objects are collected frequently in small portions. Old ones, almost all of which reference counting
frees, are collected only while few requests are open, or after half an hour at the latest; frozen ones once a day if
the settings have changed.
"""

from __future__ import annotations

import gc
import time
from collections.abc import Callable
from typing import TYPE_CHECKING

from anisefront.gateway.event_loop_lag import LagHistogram

if TYPE_CHECKING:
    from twisted.internet.interfaces import IReactorTime

# Thresholds of the three generations.
YOUNG_THRESHOLD = 5000
MIDDLE_THRESHOLD = 4
OLD_THRESHOLD = 1_000_000  # never reached: only this module runs full collections

CHECK_INTERVAL_S = 60.0
MAX_COLLECTION_INTERVAL_S = 1800.0
MAX_OPEN_REQUESTS = 500  # number of open requests above which a full collection is postponed
MAX_FROZEN_S = 86_400.0  # time from a settings change until frozen objects are collected too


class Collector:
    """Schedules the collections of this process and measures their pauses."""

    def __init__(
        self, reactor: IReactorTime, open_requests: Callable[[], int], interval_s: float = CHECK_INTERVAL_S
    ) -> None:
        """Create an inactive collector; `open_requests` returns the number of open requests."""
        self.pauses = LagHistogram()
        self._reactor = reactor
        self._open_requests = open_requests
        self._interval_s = interval_s
        self._collection_began_s = 0.0
        self._last_collection_s = 0.0
        self._started = False
        self._frozen_since_s: float | None = None  # when objects were first frozen after the start

    def start(self) -> None:
        """Take over the garbage collection of the process; called once."""
        gc.collect()
        gc.freeze()
        gc.enable()  # the caller may have disabled it while it loaded
        gc.set_threshold(YOUNG_THRESHOLD, MIDDLE_THRESHOLD, OLD_THRESHOLD)
        self._started = True
        gc.callbacks.append(self._record_phase)
        self._last_collection_s = self._reactor.seconds()
        self._reactor.callLater(self._interval_s, self._check)

    def freeze_new_objects(self) -> None:
        """Freeze the objects that a settings change has created.

        There are some for each affected line of the files. Without freezing, after a day of changes each full
        collection would visit all settings.
        """
        if not self._started:
            return
        gc.collect(1)
        gc.freeze()
        if self._frozen_since_s is None:
            self._frozen_since_s = self._reactor.seconds()

    def _record_phase(self, phase: str, info: dict[str, int]) -> None:
        if phase == "start":
            self._collection_began_s = time.perf_counter()
        else:
            self.pauses.record((time.perf_counter() - self._collection_began_s) * 1000)

    def _check(self) -> None:
        now_s = self._reactor.seconds()
        if self._open_requests() <= MAX_OPEN_REQUESTS or now_s - self._last_collection_s >= MAX_COLLECTION_INTERVAL_S:
            self._last_collection_s = now_s
            self._collect_all(now_s)
        self._reactor.callLater(self._interval_s, self._check)

    def _collect_all(self, now_s: float) -> None:
        if self._frozen_since_s is None or now_s - self._frozen_since_s < MAX_FROZEN_S:
            gc.collect()
            return
        self._frozen_since_s = None
        gc.unfreeze()
        gc.collect()
        gc.freeze()
