"""Completed requests of other instances whose backup this instance was.

Their primary releases their locks slightly later. If it fails before that, only the backup knows that they ended.
"""

from __future__ import annotations

from collections import OrderedDict
from typing import NamedTuple

from anisefront.cluster.lock_messages import LockOwner

MAX_REQUESTS = 10_000  # above this the oldest are evicted


class CompletedRequest(NamedTuple):
    """A request of whose completion this backup was notified.

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
        """Store a request, in place of an earlier one of its identity."""
        self._by_identity[identity] = request
        self._by_identity.move_to_end(identity)
        if len(self._by_identity) > MAX_REQUESTS:
            self._by_identity.popitem(last=False)

    def get(self, now_ms: float, identity: bytes) -> CompletedRequest | None:
        """Return the request of an identity, unless its lock has lapsed."""
        request = self._by_identity.get(identity)
        return request if request is not None and request.deadline_ms > now_ms else None
