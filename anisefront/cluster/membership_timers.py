"""Timers of the membership protocol, ordered by expiration."""

from __future__ import annotations

import heapq
import math
from collections.abc import Iterator
from enum import Enum, auto


class Timer(Enum):
    """Purpose of a timer."""

    JOIN = auto()
    PERIOD = auto()
    ACK_TIMEOUT = auto()  # argument: sequence number of the probe
    NACK = auto()  # argument: sequence number of the probe
    PROBE_END = auto()  # argument: sequence number of the probe
    SUSPICION = auto()  # argument: number of the suspect member


class MembershipTimers:
    """Pending timers; those of the same time expire in the order in which they were set."""

    def __init__(self) -> None:
        """Initialize without any timer."""
        self._pending: list[tuple[float, int, Timer, int]] = []
        self._serial = 0

    def set(self, at_ms: float, timer: Timer, argument: int = -1) -> None:
        """Set a timer."""
        self._serial += 1
        heapq.heappush(self._pending, (at_ms, self._serial, timer, argument))

    def expired(self, now_ms: float) -> Iterator[tuple[Timer, int]]:
        """Remove and yield expired timers with their arguments, including those set for now meanwhile."""
        while self._pending and self._pending[0][0] <= now_ms:
            _, _, timer, argument = heapq.heappop(self._pending)
            yield timer, argument

    @property
    def next_ms(self) -> float:
        """Time of the next timer; infinite without one."""
        return self._pending[0][0] if self._pending else math.inf
