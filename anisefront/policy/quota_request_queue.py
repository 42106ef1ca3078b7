"""Queue of quota requests at a customer's quota owner."""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass
from typing import NamedTuple

from anisefront.policy.peer_codec import QuotaMessage


class QuotaRequestKey(NamedTuple):
    """Identity of a quota request in the cluster."""

    gateway: int  # number of the borrower
    boot: int  # random number that identifies the borrower's process
    serial: int  # number of the request at the borrower


@dataclass(slots=True, eq=False)
class QuotaRequest:
    """A borrower's request for units, queued at the quota owner."""

    key: QuotaRequestKey
    message: QuotaMessage
    priority_weight: float
    received_ms: float
    expires_ms: float


class QuotaRequestQueue:
    """Quota requests by priority, and the newest first among those of equal priority.

    Requests of one priority are kept in order of arrival: the next to grant is at the right end, and expired ones are
    evicted from the left.
    """

    __slots__ = ("_by_key", "_by_priority")

    def __init__(self) -> None:
        """Start empty."""
        self._by_key: dict[QuotaRequestKey, QuotaRequest] = {}
        self._by_priority: dict[float, deque[QuotaRequest]] = {}

    def __len__(self) -> int:
        """Return the number of queued requests, including some that have expired."""
        return len(self._by_key)

    def __contains__(self, key: QuotaRequestKey) -> bool:
        """Return whether the request is queued."""
        return key in self._by_key

    def add(self, request: QuotaRequest) -> None:
        """Queue a request, which must not be older than those queued."""
        self._by_key[request.key] = request
        self._by_priority.setdefault(request.priority_weight, deque()).append(request)

    def remove(self, key: QuotaRequestKey) -> None:
        """Remove a request, if it is queued."""
        request = self._by_key.pop(key, None)
        if request is not None:
            request.expires_ms = 0.0  # marks it for lazy eviction

    def evict_expired(self, now_ms: float) -> None:
        """Remove expired requests, of each priority up to the oldest one that has not expired."""
        expired = [
            priority
            for priority, requests in self._by_priority.items()
            if requests and requests[0].expires_ms <= now_ms
        ]
        for priority in expired:
            requests = self._by_priority[priority]
            while requests and requests[0].expires_ms <= now_ms:
                self._evict(requests.popleft())
            if not requests:
                del self._by_priority[priority]

    def first(self, now_ms: float) -> QuotaRequest | None:
        """Return the request to grant next, None if all have expired."""
        for priority in sorted(self._by_priority, reverse=True):
            requests = self._by_priority[priority]
            while requests:
                if requests[-1].expires_ms > now_ms:
                    return requests[-1]
                self._evict(requests.pop())
            del self._by_priority[priority]
        return None

    def _evict(self, request: QuotaRequest) -> None:
        if self._by_key.get(request.key) is request:
            del self._by_key[request.key]
