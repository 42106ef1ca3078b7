"""Whether the endpoint list may be outdated while service discovery may still send a newer one.

A gateway instance that starts has the list that its predecessor had. An endpoint of it may be draining, gone or
restarted by now, and discovery counts that as known from the instance's first moment, or some time after the instance
was moved to another discovery service. So no attempt starts by such a list until discovery has responded. It must not
wait forever: discovery that is down responds when it is back, and the list is the best that there is until then.
"""

from __future__ import annotations

import math

from anisefront.policy.events import EndpointListConfirmed, EndpointListRequested
from anisefront.policy.timers import TimerKind, TimerQueue

RESPONSE_TIMEOUT_MS = 6000.0  # a change counts as known 6 s after discovery could be reached
MAX_WAIT_MS = 2 * RESPONSE_TIMEOUT_MS  # from the first request, if others follow it before a response


class EndpointListFreshness:
    """The requests to discovery that have no response yet, and what follows from them for attempts."""

    __slots__ = ("_outdated_from_ms", "_requested_ms", "_timers", "_wait_until_ms")

    def __init__(self, timers: TimerQueue) -> None:
        """Start without a request: the list counts as current."""
        self._timers = timers
        self._requested_ms = -math.inf  # of the first request without a response
        self._outdated_from_ms = math.inf
        self._wait_until_ms = -math.inf

    @property
    def is_outdated(self) -> bool:
        """Whether the list may be outdated and a newer one may still come: no attempt may start."""
        return self._outdated_from_ms <= self._timers.now_ms < self._wait_until_ms

    def on_requested(self, event: EndpointListRequested) -> None:
        """Wait for a response from the time on at which the present list is no longer current."""
        now_ms = self._timers.now_ms
        if now_ms >= self._wait_until_ms:
            self._requested_ms = now_ms
            self._outdated_from_ms = math.inf
        self._outdated_from_ms = min(self._outdated_from_ms, now_ms + event.valid_for_ms)
        self._wait_until_ms = min(now_ms + RESPONSE_TIMEOUT_MS, self._requested_ms + MAX_WAIT_MS)
        self._timers.set(TimerKind.ENDPOINT_LIST_OVERDUE, self._wait_until_ms)

    def on_confirmed(self, event: EndpointListConfirmed) -> None:
        """End the wait: the list is current."""
        self._outdated_from_ms = math.inf
        self._wait_until_ms = -math.inf
