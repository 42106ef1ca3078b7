"""Identities whose requests have yielded to a duplicate at another instance, until their deadlines."""

from __future__ import annotations

from collections import OrderedDict


class YieldedRequests:
    """Identities of requests that have yielded here; those whose deadline has passed are dropped."""

    def __init__(self) -> None:
        """Start without identities."""
        self._deadlines_ms: OrderedDict[bytes, float] = OrderedDict()  # by identity

    def add(self, identity: bytes, deadline_at_ms: float) -> None:
        """Record that a request of an identity has yielded."""
        self._deadlines_ms[identity] = deadline_at_ms

    def has(self, now_ms: float, identity: bytes) -> bool:
        """Return whether a request of an identity has yielded and its deadline has not passed."""
        while self._deadlines_ms and next(iter(self._deadlines_ms.values())) <= now_ms:
            self._deadlines_ms.popitem(last=False)
        return identity in self._deadlines_ms
