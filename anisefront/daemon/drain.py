"""Graceful shutdown (drain) of a gateway instance: started once, polled until it is complete."""

from __future__ import annotations

from collections.abc import Callable
from typing import TYPE_CHECKING

from twisted.internet import defer

if TYPE_CHECKING:
    from twisted.internet.interfaces import IReactorTime

POLL_INTERVAL_S = 0.02


class Drain:
    """The drain of one gateway instance."""

    def __init__(self, reactor: IReactorTime) -> None:
        """Create a drain that has not begun."""
        self._reactor = reactor
        self._completed: defer.Deferred[None] | None = None

    @property
    def is_complete(self) -> bool:
        """Return whether the drain has ended."""
        return self._completed is not None and self._completed.called

    def begin(self, start: Callable[[], None]) -> defer.Deferred[None]:
        """Call `start` on the first call, and return a deferred that fires when the drain is complete."""
        if self._completed is None:
            self._completed = defer.Deferred()
            start()
        return self._completed

    def complete(self) -> None:
        """Report that the drain has ended."""
        assert self._completed is not None  # a drain that has not begun can't end
        self._completed.callback(None)

    def poll(self, is_done: Callable[[], bool], then: Callable[[], None]) -> None:
        """Call `then` as soon as `is_done` returns true, which is checked now and at an interval."""
        if is_done():
            then()
            return
        self._reactor.callLater(POLL_INTERVAL_S, self.poll, is_done, then)
