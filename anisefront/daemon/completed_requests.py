"""Requests of other instances that have completed, as far as this instance was their backup.

Their primary releases their locks a little later. If it fails before, no other instance knows that they have ended.
"""

from __future__ import annotations

from collections import OrderedDict
from typing import NamedTuple

from anisefront.cluster.lock_messages import LockOwner

MAX_REQUESTS = 10_000  # the oldest are forgotten


class CompletedRequest(NamedTuple):
    """A request whose end this backup was told.

    Attributes:
        owner: The request.
        deadline_ms: Its deadline, at which its lock lapses.
        is_uncertain: Whether it may have been executed and must not be repeated.
    """

    owner: LockOwner
    deadline_ms: float
    is_uncertain: bool


class CompletedRequests:
    """The last completed request of each identity, until its deadline."""

    def __init__(self) -> None:
        """Start without requests."""
        self._by_identity: OrderedDict[bytes, CompletedRequest] = OrderedDict()

    def add(self, identity: bytes, request: CompletedRequest) -> None:
        """Remember a request."""
        self._by_identity[identity] = request
        self._by_identity.move_to_end(identity)
        if len(self._by_identity) > MAX_REQUESTS:
            self._by_identity.popitem(last=False)

    def get(self, now_ms: float, identity: bytes) -> CompletedRequest | None:
        """Return the request of an identity whose lock has not lapsed yet."""
        request = self._by_identity.get(identity)
        return request if request is not None and request.deadline_ms > now_ms else None
