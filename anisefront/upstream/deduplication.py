"""Deduplication of client requests that were first sent to another gateway instance. Performs no I/O.

    in progress elsewhere --taken over--> in progress here --its end--> response retained for a while
             `--ended there: the waiting request is sent, or fails because the other may have been executed

A request is identified by a digest of its customer and the idempotency key that its client sends. A duplicate joins
the request and receives the same response, even if that response was sent before the duplicate arrived.
"""

from __future__ import annotations

import hashlib
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass, field

from anisefront.gateway.interfaces import Timers
from anisefront.upstream.direct_requests import FinalResponse, OnResponse

RESPONSE_RETENTION_MS = 10_000.0  # after the deadline of its request
MAX_RETAINED_BYTES = 16 << 20  # of responses; above it the oldest are evicted
RESPONSE_OVERHEAD_BYTES = 500  # of a retained response besides its body


def request_identity(customer: str, idempotency_key: str, hash_key: bytes) -> bytes:
    """Return the eight-byte digest by which all gateway instances identify a client's request.

    Args:
        customer: The customer.
        idempotency_key: The client's key of the request, unique within the customer.
        hash_key: The secret key of the hash.
    """
    digest = hashlib.blake2b(digest_size=8, key=hash_key, person=b"anisefront name")
    for text in (customer, idempotency_key):
        data = text.encode(errors="surrogatepass")
        digest.update(len(data).to_bytes(4, "big") + data)
    return digest.digest()


@dataclass(slots=True, eq=False)
class _LocalRequest:
    """A request that was taken over, or its retained response.

    Attributes:
        content_digest: Digest of its content, by which different requests of one identity are told apart.
        deadline_at_ms: Its deadline.
        waiting: Duplicates that wait for its response.
        response: Its response, once there is one.
    """

    content_digest: bytes
    deadline_at_ms: float
    waiting: list[OnResponse] = field(default_factory=list)
    response: FinalResponse | None = None


@dataclass(slots=True, eq=False)
class _WaitingDuplicate:
    """A request that waits for the outcome of one that is in progress elsewhere."""

    content_digest: bytes
    on_response: OnResponse
    start_anew: Callable[[], object]


class Deduplicator:
    """Requests that were taken over, by identity, and the duplicates that wait for an outcome."""

    def __init__(self, now_ms: Callable[[], float], timers: Timers) -> None:
        """Create a deduplicator without requests."""
        self._now_ms = now_ms
        self._timers = timers
        self._local: dict[bytes, _LocalRequest] = {}
        self._waiting_elsewhere: dict[bytes, list[_WaitingDuplicate]] = {}
        self._retained_bytes = 0
        self.counts: Counter[str] = Counter()

    def __len__(self) -> int:
        """Return the number of requests in progress here and of retained responses."""
        return len(self._local)

    def __contains__(self, identity: object) -> bool:
        """Return whether a request of this identity is in progress here or its response is retained."""
        return identity in self._local

    def add(self, identity: bytes, content_digest: bytes, deadline_at_ms: float) -> bool:
        """Record that a request was taken over.

        Returns:
            Whether it is the first: False if one of this identity is in progress or has a response here.
        """
        self._evict()
        if identity in self._local:
            return False
        request = _LocalRequest(content_digest, deadline_at_ms)
        self._local[identity] = request
        for duplicate in self._waiting_elsewhere.pop(identity, ()):
            self._join(request, duplicate.content_digest, duplicate.on_response)
        return True

    def record_response(self, identity: bytes, response: FinalResponse) -> None:
        """Send the response of a request to all duplicates and retain it for later ones."""
        request = self._local.get(identity)
        if request is None or request.response is not None:
            return
        request.response = response
        waiting = request.waiting
        request.waiting = []
        if response.is_rejected:
            # A rejection asks the client to retry. If it were retained, each retry would receive it again.
            del self._local[identity]
        else:
            self._retained_bytes += _size_of(response)
        for on_response in waiting:
            on_response(response)

    def retain_response(
        self, identity: bytes, content_digest: bytes, deadline_at_ms: float, response: FinalResponse
    ) -> None:
        """Retain the response of another gateway instance, unless a request of this identity is known here."""
        if self.add(identity, content_digest, deadline_at_ms):
            self.record_response(identity, response)

    def try_join(self, identity: bytes, content_digest: bytes, on_response: OnResponse) -> bool:
        """Let a client's request share the response of the one of its identity.

        Returns:
            Whether there is one here: `on_response` was called or will be.
        """
        request = self._local.get(identity)
        if request is None:
            return False
        self._join(request, content_digest, on_response)
        return True

    def response_of(self, identity: bytes) -> FinalResponse | None:
        """Return the retained response of this identity."""
        request = self._local.get(identity)
        return request.response if request is not None else None

    def wait_for_outcome(
        self,
        identity: bytes,
        content_digest: bytes,
        deadline_at_ms: float,
        on_response: OnResponse,
        start_anew: Callable[[], object],
    ) -> None:
        """Let a request wait, until its deadline, for the outcome of one that is in progress elsewhere."""
        duplicate = _WaitingDuplicate(content_digest, on_response, start_anew)
        self._waiting_elsewhere.setdefault(identity, []).append(duplicate)
        self.counts["expected"] += 1
        delay_ms = max(0.0, deadline_at_ms - self._now_ms())
        self._timers.callLater(delay_ms / 1000, self._deadline_passed, identity, duplicate)

    def is_awaited(self, identity: bytes) -> bool:
        """Return whether a request waits here for the outcome of this identity at another instance."""
        return identity in self._waiting_elsewhere

    def responded_elsewhere(self, identity: bytes, response: FinalResponse) -> None:
        """Send the response of another gateway instance to the requests that wait for it."""
        for duplicate in self._waiting_elsewhere.pop(identity, ()):
            duplicate.on_response(response)

    def ended_elsewhere(self, identity: bytes, may_have_executed: bool) -> None:
        """Fail the requests that wait for this identity if it may have been executed elsewhere; else send them."""
        for duplicate in self._waiting_elsewhere.pop(identity, ()):
            if may_have_executed:
                duplicate.on_response(FinalResponse(reason="ended-elsewhere"))
            else:
                duplicate.start_anew()

    def _join(self, request: _LocalRequest, content_digest: bytes, on_response: OnResponse) -> None:
        if content_digest != request.content_digest:
            # Two different requests under one idempotency key: it would receive the response to the other one.
            self.counts["another_under_name"] += 1
            on_response(FinalResponse(is_rejected=True, retry_after_ms=0.0, reason="another-request-under-this-name"))
        elif request.response is not None:
            self.counts["joined_answer"] += 1
            on_response(request.response)
        else:
            self.counts["joined"] += 1
            request.waiting.append(on_response)

    def _deadline_passed(self, identity: bytes, duplicate: _WaitingDuplicate) -> None:
        waiting = self._waiting_elsewhere.get(identity, [])
        if duplicate not in waiting:
            return
        waiting.remove(duplicate)
        if not waiting:
            del self._waiting_elsewhere[identity]
        # Not a rejection: the other request may still execute, and its lock may lapse before the client retries.
        duplicate.on_response(FinalResponse(reason="in-progress"))

    def _evict(self) -> None:
        """Evict responses from the oldest on: those past their retention, and more while all take too much memory."""
        now_ms = self._now_ms()
        while self._local:
            identity, request = next(iter(self._local.items()))
            if request.response is None:
                return
            is_retained = now_ms < request.deadline_at_ms + RESPONSE_RETENTION_MS
            if is_retained and self._retained_bytes <= MAX_RETAINED_BYTES:
                return
            del self._local[identity]
            self._retained_bytes -= _size_of(request.response)


def _size_of(response: FinalResponse) -> int:
    if response.message is None:
        return RESPONSE_OVERHEAD_BYTES
    return RESPONSE_OVERHEAD_BYTES + len(response.message.body)
