"""Releases of failed instances' locks, repeated until the locks expire. Free of I/O.

A release is a single datagram, and a voter that misses it keeps naming the owner as the holder. A live owner receives
the vote again and repeats the release; a failed owner does not. So the instance that took its request over repeats it.
"""

from __future__ import annotations

import heapq
import itertools
import math
from dataclasses import dataclass

from anisefront.cluster.lock_messages import LockRelease

RETRY_MS = 30.0
MAX_RETRY_MS = 960.0


@dataclass(slots=True, eq=False)
class _RepeatedRelease:
    """A release, its receivers, and the time at which the lock expires by itself."""

    release: LockRelease
    voters: tuple[int, ...]
    expires_ms: float
    interval_ms: float = RETRY_MS


class PredecessorReleases:
    """The releases that one instance repeats."""

    def __init__(self) -> None:
        """Initialize without releases."""
        self._serials = itertools.count()
        self._schedule: list[tuple[float, int, _RepeatedRelease]] = []

    def __len__(self) -> int:
        """Return the number of repeated releases."""
        return len(self._schedule)

    def add(self, release: LockRelease, voters: tuple[int, ...], expires_ms: float) -> None:
        """Send a release to voters with the next messages, and again until the lock expires at `expires_ms`."""
        self._push(-math.inf, _RepeatedRelease(release, voters, expires_ms))

    def _push(self, due_ms: float, repeated: _RepeatedRelease) -> None:
        heapq.heappush(self._schedule, (due_ms, next(self._serials), repeated))

    def take_due(self, now_ms: float) -> list[tuple[int, LockRelease]]:
        """Return the releases to send now, with their receivers."""
        due = []
        while self._schedule and self._schedule[0][0] <= now_ms:
            _, _, repeated = heapq.heappop(self._schedule)
            due += [(voter, repeated.release) for voter in repeated.voters]
            next_ms = now_ms + repeated.interval_ms
            repeated.interval_ms = min(MAX_RETRY_MS, 2 * repeated.interval_ms)
            if next_ms < repeated.expires_ms:
                self._push(next_ms, repeated)
        return due

    @property
    def next_timer_ms(self) -> float:
        """Latest time for the next call of `take_due`; infinite without a release."""
        return self._schedule[0][0] if self._schedule else math.inf
