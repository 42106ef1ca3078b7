"""Locks of failed instances' requests, held until a request continues them here or they lapse."""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Callable
from typing import NamedTuple

from anisefront.cluster.lock_messages import LockOwner


class InheritedLock(NamedTuple):
    """Lock of a failed instance's request.

    Attributes:
        owner: The request.
        deadline_ms: Its deadline.
    """

    owner: LockOwner
    deadline_ms: float


class InheritedLocks:
    """Inherited locks by identity."""

    def __init__(self, now_ms: Callable[[], float]) -> None:
        """Start without locks."""
        self._now_ms = now_ms
        self._locks: OrderedDict[bytes, InheritedLock] = OrderedDict()

    def __contains__(self, identity: object) -> bool:
        """Return whether there is a lock of an identity that no request has continued yet."""
        return identity in self._locks

    def add(self, identity: bytes, lock: InheritedLock) -> InheritedLock | None:
        """Store a lock until its deadline; returns the lock of the same identity that it replaces."""
        while self._locks and next(iter(self._locks.values())).deadline_ms <= self._now_ms():
            self._locks.popitem(last=False)
        replaced = self._locks.pop(identity, None)
        self._locks[identity] = lock
        return replaced

    def take(self, identity: bytes) -> InheritedLock | None:
        """Remove and return the lock that the next request of an identity continues."""
        return self._locks.pop(identity, None)
