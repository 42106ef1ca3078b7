"""Locks of failed instances' requests that continue here, until the request that continues one asks for it."""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Callable
from typing import NamedTuple

from anisefront.cluster.lock_messages import LockOwner


class _InheritedLock(NamedTuple):
    owner: LockOwner
    deadline_ms: float


class InheritedLocks:
    """Owners of the locks, by identity."""

    def __init__(self, now_ms: Callable[[], float]) -> None:
        """Start without locks."""
        self._now_ms = now_ms
        self._locks: OrderedDict[bytes, _InheritedLock] = OrderedDict()

    def add(self, identity: bytes, owner: LockOwner, deadline_ms: float) -> None:
        """Remember the owner until the deadline of its request."""
        while self._locks and next(iter(self._locks.values())).deadline_ms <= self._now_ms():
            self._locks.popitem(last=False)
        self._locks[identity] = _InheritedLock(owner, deadline_ms)

    def take(self, identity: bytes) -> LockOwner | None:
        """Remove and return the owner whose lock the next request of an identity continues."""
        lock = self._locks.pop(identity, None)
        return lock.owner if lock is not None else None
