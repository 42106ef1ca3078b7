"""Timers of delegated requests that expire only while a request is in the state in which they were set."""

from __future__ import annotations

from collections.abc import Callable

from anisefront.gateway.interfaces import Timers
from anisefront.upstream.delegated_checks import DelegatedRequest

OnExpiry = Callable[[DelegatedRequest], None]


class StateTimers:
    """Timers that are void once the state of their request has changed."""

    def __init__(self, timers: Timers) -> None:
        """Create timers over those of an event loop."""
        self._timers = timers

    def call_later(self, delay_ms: float, request: DelegatedRequest, on_expiry: OnExpiry) -> None:
        """Call after a time, unless the request's state has changed by then."""
        self._timers.callLater(delay_ms / 1000, self._expire, request, request.revision, on_expiry)

    @staticmethod
    def _expire(request: DelegatedRequest, revision: int, on_expiry: OnExpiry) -> None:
        if revision == request.revision:
            on_expiry(request)
