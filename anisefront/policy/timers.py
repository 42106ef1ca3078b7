"""Timers of the controller.

The gateway instance cannot cancel timers. So each timer has a `SetTimer` action of its own, all with the same name,
while its kind and subject are kept here in order of expiry. After each batch of events the controller handles the
timers that have expired.
"""

from __future__ import annotations

import heapq
from collections.abc import Callable
from enum import IntEnum, auto
from typing import TypeAlias

from anisefront.policy.actions import Action, SetTimer

TIMER_NAME = "agenda"  # opaque to the gateway instance; `bench_adapter` writes it to the simulator
CLOCK_RESOLUTION_MS = 0.001  # a timer may fire early by this much
NO_SUBJECT = -1


class TimerKind(IntEnum):
    """What a timer is set for; comments name its subject."""

    CONTROL_PERIOD = auto()
    SUBSCRIBE = auto()
    BUCKET_REFILLED = auto()  # customer tag
    OWNER_REPLY_OVERDUE = auto()  # request id
    HEDGE_DELAY = auto()  # request id
    DISPATCH_DEADLINE = auto()  # request id; later, an attempt could not end within the latency objective
    RESPONSE_DEADLINE = auto()  # request id; the final answer is due
    OUTBOX_FLUSH = auto()
    ENDPOINT_LIST_OVERDUE = auto()


# Expiry, serial, kind, subject: timers with the same expiry expire in the order in which they were set. A plain tuple
# for speed, since several are created for each request.
_Timer: TypeAlias = tuple[float, int, TimerKind, int]


class TimerQueue:
    """The timers that have not expired."""

    __slots__ = ("now_ms", "pending", "_actions", "_serial")

    def __init__(self) -> None:
        """Start without timers."""
        self.pending: list[_Timer] = []  # a heap
        self._actions: list[Action] = []
        self.now_ms = 0.0
        self._serial = 0

    def begin_batch(self, now_ms: float, actions: list[Action]) -> None:
        """Set the current time, and the list to which new timers append their actions."""
        self.now_ms = now_ms
        self._actions = actions

    def set(self, kind: TimerKind, expires_ms: float, subject: int = NO_SUBJECT) -> None:
        """Set a timer."""
        self._serial += 1
        heapq.heappush(self.pending, (expires_ms, self._serial, kind, subject))
        self._actions.append(SetTimer(max(0.0, expires_ms - self.now_ms), TIMER_NAME))

    def expire(self, handle: Callable[[TimerKind, int], None]) -> None:
        """Remove the expired timers, and call the handler with the kind and subject of each."""
        pending = self.pending
        limit_ms = self.now_ms + CLOCK_RESOLUTION_MS
        while pending and pending[0][0] <= limit_ms:
            _, _, kind, subject = heapq.heappop(pending)
            handle(kind, subject)
