"""Clients' requests that duplicate one which another gateway instance has or had. No I/O; decides nothing.

    in progress elsewhere --taken over--> in progress here --its end--> response retained for a while
             `--ended there: the waiting request is sent, or fails because the other may have been executed

A request is identified by its customer and the identity that its client gives it. A duplicate joins the request and
receives its one response, also if that came before.
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


def request_key(customer: str, identity: str, key: bytes) -> bytes:
    """Return the eight bytes by which all gateway instances identify a client's request.

    Args:
        customer: The customer.
        identity: What the client calls the request, unique within the customer.
        key: The secret of the hash.
    """
    digest = hashlib.blake2b(digest_size=8, key=key, person=b"anisefront name")
    for text in (customer, identity):
        data = text.encode(errors="surrogatepass")
        digest.update(len(data).to_bytes(4, "big") + data)
    return digest.digest()


@dataclass(slots=True, eq=False)
class _LocalRequest:
    """A request that was taken over, or its response.

    Attributes:
        content_digest: Of what it asks for, by which different requests of one key are recognized.
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
    """Requests that were taken over, by key, and the duplicates that wait for an outcome."""

    def __init__(self, now_ms: Callable[[], float], timers: Timers) -> None:
        """Create a deduplicator without requests."""
        self._now_ms = now_ms
        self._timers = timers
        self._local: dict[bytes, _LocalRequest] = {}
        self._waiting_elsewhere: dict[bytes, list[_WaitingDuplicate]] = {}
        self._retained_bytes = 0
        self.counts: Counter[str] = Counter()

    def __len__(self) -> int:
        """Number of requests in progress here and retained responses."""
        return len(self._local)

    def __contains__(self, key: object) -> bool:
        """Whether a request of this key is in progress here or its response retained."""
        return key in self._local

    def add(self, key: bytes, content_digest: bytes, deadline_at_ms: float) -> bool:
        """Record that a request was taken over.

        Returns:
            Whether it is the first: False if one of this key is in progress or answered here.
        """
        self._evict()
        if key in self._local:
            return False
        request = _LocalRequest(content_digest, deadline_at_ms)
        self._local[key] = request
        for duplicate in self._waiting_elsewhere.pop(key, ()):
            self._join(request, duplicate.content_digest, duplicate.on_response)
        return True

    def record_response(self, key: bytes, response: FinalResponse) -> None:
        """Send the response of a request to all duplicates and retain it for later ones."""
        request = self._local.get(key)
        if request is None or request.response is not None:
            return
        request.response = response
        waiting = request.waiting
        request.waiting = []
        if response.is_rejected:
            # A rejection asks the client to retry. If it were retained, each retry would receive it.
            del self._local[key]
        else:
            self._retained_bytes += _size_of(response)
        for on_response in waiting:
            on_response(response)

    def retain_response(
        self, key: bytes, content_digest: bytes, deadline_at_ms: float, response: FinalResponse
    ) -> None:
        """Retain the response that another gateway instance gave, unless a request of this key is known here."""
        if self.add(key, content_digest, deadline_at_ms):
            self.record_response(key, response)

    def try_join(self, key: bytes, content_digest: bytes, on_response: OnResponse) -> bool:
        """Join a client's request to the one of its key.

        Returns:
            Whether there is one here: `on_response` was called or will be.
        """
        request = self._local.get(key)
        if request is None:
            return False
        self._join(request, content_digest, on_response)
        return True

    def response_of(self, key: bytes) -> FinalResponse | None:
        """Return the retained response of this key."""
        request = self._local.get(key)
        return request.response if request is not None else None

    def wait_for_outcome(
        self,
        key: bytes,
        content_digest: bytes,
        deadline_at_ms: float,
        on_response: OnResponse,
        start_anew: Callable[[], object],
    ) -> None:
        """Let a request wait, until its deadline, for the outcome of one that is in progress elsewhere."""
        duplicate = _WaitingDuplicate(content_digest, on_response, start_anew)
        self._waiting_elsewhere.setdefault(key, []).append(duplicate)
        self.counts["expected"] += 1
        delay_ms = max(0.0, deadline_at_ms - self._now_ms())
        self._timers.callLater(delay_ms / 1000, self._deadline_passed, key, duplicate)

    def is_awaited(self, key: bytes) -> bool:
        """Whether a request waits for the outcome of this key elsewhere."""
        return key in self._waiting_elsewhere

    def responded_elsewhere(self, key: bytes, response: FinalResponse) -> None:
        """Send the response that another gateway instance gave to the requests that wait for it."""
        for duplicate in self._waiting_elsewhere.pop(key, ()):
            duplicate.on_response(response)

    def ended_elsewhere(self, key: bytes, may_have_run: bool) -> None:
        """Fail the requests that wait for this key if it may have been executed elsewhere; else send them."""
        for duplicate in self._waiting_elsewhere.pop(key, ()):
            if may_have_run:
                duplicate.on_response(FinalResponse(reason="ended-elsewhere"))
            else:
                duplicate.start_anew()

    def _join(self, request: _LocalRequest, content_digest: bytes, on_response: OnResponse) -> None:
        if content_digest != request.content_digest:
            # Two different requests under one key: whichever response it received would be the other's.
            self.counts["another_under_name"] += 1
            on_response(FinalResponse(is_rejected=True, retry_after_ms=0.0, reason="another-request-under-this-name"))
        elif request.response is not None:
            self.counts["joined_answer"] += 1
            on_response(request.response)
        else:
            self.counts["joined"] += 1
            request.waiting.append(on_response)

    def _deadline_passed(self, key: bytes, duplicate: _WaitingDuplicate) -> None:
        waiting = self._waiting_elsewhere.get(key, [])
        if duplicate not in waiting:
            return
        waiting.remove(duplicate)
        if not waiting:
            del self._waiting_elsewhere[key]
        # No rejection: the other request may execute after this, and its lock may end before the client retries.
        duplicate.on_response(FinalResponse(reason="in-progress"))

    def _evict(self) -> None:
        """Evict responses from the oldest on: those past their retention, and more while all take too much memory."""
        now_ms = self._now_ms()
        while self._local:
            key, request = next(iter(self._local.items()))
            if request.response is None:
                return
            is_retained = now_ms < request.deadline_at_ms + RESPONSE_RETENTION_MS
            if is_retained and self._retained_bytes <= MAX_RETAINED_BYTES:
                return
            del self._local[key]
            self._retained_bytes -= _size_of(request.response)


def _size_of(response: FinalResponse) -> int:
    if response.message is None:
        return RESPONSE_OVERHEAD_BYTES
    return RESPONSE_OVERHEAD_BYTES + len(response.message.body)
