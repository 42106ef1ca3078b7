"""Duplicates: requests of one identity that are in flight at several gateway instances.

A backup that stores a request of an identity rejects a request of the same identity from another instance as a
duplicate. The rejected one waits at its own instance for the outcome of the first: it gets the same response, is
executed after all, or fails.
"""

from __future__ import annotations

from collections import Counter, OrderedDict
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any, NamedTuple

from anisefront.cluster.replication_codec import MAX_RECORD_BYTES, encode
from anisefront.cluster.replication_messages import Outcome, OutcomeQuery, OutcomeReply
from anisefront.daemon.request_records import content_digest, decode_response, encode_response
from anisefront.upstream.deduplication import Deduplicator
from anisefront.upstream.direct_requests import DirectRequest, FinalResponse

QUERY_INTERVAL_S = 0.25  # initial interval of outcome queries, with exponential backoff
MAX_QUERY_INTERVAL_S = 1.0
MIN_QUERY_JITTER = 0.75  # fraction of the interval, up to 1.25, so that simultaneous rejections query at other times
QUERY_JITTER_DIVISOR = 512
MAX_QUERIES = 5  # queries of an outcome, after which a request that has yielded requests its lock again
HOLDER_QUERIES = 2  # queries of the lock holder, after which its backup is queried too
OUTCOME_TIMEOUT_S = 0.5  # for a primary to send the response of a completed request
MAX_OUTCOMES = 10_000  # cached for repeated queries; the oldest are evicted


class LocalRequest(NamedTuple):
    """A request in flight here that must not run beside another of its identity.

    Attributes:
        identity: Its identity.
        repeatable_until_ms: Latest time at which another request of its identity may replace it if it may have been
            executed, by its class when it was accepted.
    """

    identity: bytes
    repeatable_until_ms: float


@dataclass(slots=True, eq=False)
class _Following:
    """Outcome queries on behalf of a local request that has yielded to another one.

    Attributes:
        informed: Numbers of the lock holder and its backup, which know the outcome.
        queries: Number of queries so far.
    """

    informed: tuple[int, ...]
    queries: int = 0

    @property
    def holder(self) -> int:
        """Return the holder of the lock."""
        return self.informed[0]


class DuplicateRequests:
    """Local requests by identity, and the instances that wait for their outcome.

    `send(receiver, data)` sends a datagram; `counts` are the counters of the replication service.
    """

    def __init__(
        self, send: Callable[[int, bytes], None], reactor: Any, deduplicator: Deduplicator, counts: Counter[str]
    ) -> None:
        """Start without requests."""
        self.is_unavailable: Callable[[int], bool] = lambda number: False  # whether an instance is dead or has left
        self.is_stored: Callable[[bytes], bool] = lambda identity: False  # whether this backup stores a request of it
        self._send = send
        self._reactor = reactor
        self._deduplicator = deduplicator
        self._counts = counts
        self._local: dict[int, LocalRequest] = {}
        self._request_numbers: dict[bytes, list[int]] = {}  # the first one represents the identity
        self._waiting_instances: dict[bytes, set[int]] = {}
        self._followed: dict[bytes, _Following] = {}  # holders to which requests here have yielded
        # Identities whose requests have recently requested the lock, and whether they must request it again.
        self._recent_lock_requests: dict[bytes, bool] = {}
        self._uncertain: set[bytes] = set()  # completed requests whose primary was queried for the response
        self._outcomes: OrderedDict[bytes, Outcome] = OrderedDict()  # last ones, of identities without a local response

    # ---- requests in flight here -----------------------------------------------------------------

    def add(self, request: int, identity: bytes, repeatable_until_ms: float) -> None:
        """Add a request; the first one of an identity represents it."""
        self._local[request] = LocalRequest(identity, repeatable_until_ms)
        self._request_numbers.setdefault(identity, []).append(request)

    def demote(self, request: int) -> None:
        """Let another request of its identity represent the identity: another instance owns this one now."""
        local = self._local.get(request)
        if local is not None:
            numbers = self._request_numbers[local.identity]
            numbers.remove(request)
            numbers.append(request)

    def represents(self, request: int) -> bool:
        """Return whether a request represents its identity."""
        local = self._local.get(request)
        return local is not None and self._request_numbers[local.identity][0] == request

    def remove(self, request: int) -> LocalRequest | None:
        """Remove a request, and return it."""
        local = self._local.pop(request, None)
        if local is not None:
            numbers = self._request_numbers[local.identity]
            numbers.remove(request)
            if not numbers:
                del self._request_numbers[local.identity]
        return local

    def get(self, request: int) -> LocalRequest | None:
        """Return a local request; None if it has no identity or may run concurrently with others of its identity."""
        return self._local.get(request)

    def request_number(self, identity: bytes) -> int | None:
        """Return the number of the local request that represents this identity."""
        numbers = self._request_numbers.get(identity)
        return numbers[0] if numbers else None

    # ---- instances that wait for an outcome ------------------------------------------------------

    def add_waiting_instance(self, identity: bytes, number: int) -> None:
        """Notify an instance of the outcome of an identity, immediately if the response is retained here."""
        self.wait_for(identity, {number})
        response = self._deduplicator.response_of(identity)
        if response is not None:
            self.notify(identity, Outcome.RESPONDED, response)

    def wait_for(self, identity: bytes, numbers: set[int]) -> None:
        """Notify instances of the outcome of an identity once it is known."""
        self._waiting_instances.setdefault(identity, set()).update(numbers)

    def notify(self, identity: bytes, outcome: Outcome, response: FinalResponse | None = None) -> None:
        """Notify the waiting instances of an outcome."""
        receivers = self._waiting_instances.pop(identity, ())
        if receivers and response is None:
            self.remember(identity, outcome)
        for receiver in receivers:
            encoded_response = encode_response(response) if response is not None else b""
            if len(encoded_response) > MAX_RECORD_BYTES:
                outcome = Outcome.MAY_HAVE_EXECUTED
                encoded_response = b""
            self._send(receiver, encode(OutcomeReply(identity, outcome, encoded_response)))

    def remember(self, identity: bytes, outcome: Outcome) -> None:
        """Cache an outcome. MAY_HAVE_EXECUTED stays even if another request of the identity was never executed."""
        if self._outcomes.get(identity) is not Outcome.MAY_HAVE_EXECUTED:
            self._outcomes[identity] = outcome
        self._outcomes.move_to_end(identity)
        while len(self._outcomes) > MAX_OUTCOMES:
            self._outcomes.popitem(last=False)

    def end(self, identity: bytes, outcome: Outcome) -> None:
        """End the wait for an identity, at this and other instances, without a response."""
        self.remember(identity, outcome)
        self._deduplicator.ended_elsewhere(identity, outcome is not Outcome.NEVER_EXECUTED)
        self.notify(identity, outcome)

    def on_query(
        self,
        sender: int,
        identity: bytes,
        is_replicated_here: bool,
        precedes: bool = False,
        uses_locks: bool = False,
    ) -> None:
        """Answer an outcome query, now or when the outcome is known.

        Args:
            sender: The instance that sent the query.
            identity: The identity.
            is_replicated_here: Whether a request of it is stored here.
            precedes: Whether the sender takes precedence if two requests have yielded to each other.
            uses_locks: Whether the sender uses locks: then it may request the lock itself if nothing is known here.
        """
        self.wait_for(identity, {sender})
        in_progress = is_replicated_here or identity in self._request_numbers or identity in self._uncertain
        response = self._deduplicator.response_of(identity)
        if response is not None:
            self.notify(identity, Outcome.RESPONDED, response)
        elif identity in self._outcomes and not in_progress:
            self.notify(identity, self._outcomes[identity])
        elif self._outcomes.get(identity) is Outcome.MAY_HAVE_EXECUTED and identity not in self._request_numbers:
            self.notify(identity, Outcome.MAY_HAVE_EXECUTED)  # stored requests of others wait for it too
        elif not in_progress and uses_locks:
            self.notify(identity, Outcome.NEVER_EXECUTED)
        elif not in_progress and self._deduplicator.is_awaited(identity):
            # The local request has yielded. If it and the sender's have yielded to each other, one must continue.
            following = self._followed.get(identity)
            if precedes and following is not None and following.holder == sender:
                self.notify(identity, Outcome.NEVER_EXECUTED)
        elif not in_progress and identity not in self._deduplicator:
            del self._waiting_instances[identity]  # the outcome is unknown: no reply is better than a wrong one

    # ---- requests of others that have completed --------------------------------------------------

    def end_uncertain(self, identity: bytes, primary: int, is_in_flight: Callable[[bytes], bool]) -> None:
        """End the wait for a request that may have been executed and whose response is unknown here.

        Its primary may still have the response, so it is queried first. Without a reply all waiting requests fail,
        unless a request of the identity is in flight again.
        """
        if not self._deduplicator.is_awaited(identity) and identity not in self._waiting_instances:
            return
        self._uncertain.add(identity)
        self._send(primary, encode(OutcomeQuery(identity)))
        self._reactor.callLater(OUTCOME_TIMEOUT_S, self._fail_uncertain, identity, is_in_flight)

    def _fail_uncertain(self, identity: bytes, is_in_flight: Callable[[bytes], bool]) -> None:
        self._uncertain.discard(identity)
        if is_in_flight(identity):
            return
        self._deduplicator.ended_elsewhere(identity, may_have_executed=True)
        self.notify(identity, Outcome.MAY_HAVE_EXECUTED)

    # ---- requests here that wait for an outcome --------------------------------------------------

    def add_waiting_request(
        self,
        identity: bytes,
        request: DirectRequest,
        deadline_ms: float,
        on_response: Callable[[FinalResponse], None],
        start_anew: Callable[[], None],
        informed_instance: int | None,
    ) -> None:
        """Let a request wait for another one of its identity, whose outcome `informed_instance` will know."""
        self._deduplicator.wait_for_outcome(identity, content_digest(request), deadline_ms, on_response, start_anew)
        if informed_instance is not None:
            self._reactor.callLater(QUERY_INTERVAL_S, self._query, identity, informed_instance, QUERY_INTERVAL_S)

    def is_followed(self, identity: bytes) -> bool:
        """Return whether a local request has yielded to the lock holder of an identity and still waits."""
        return identity in self._followed and self._deduplicator.is_awaited(identity)

    def follow(self, identity: bytes, informed: tuple[int, ...]) -> None:
        """Query the outcome of the request to which a local one has yielded, repeatedly until it is known.

        The lock holder is queried first; its backup knows the outcome only if the holder has failed. If neither is
        available, or neither replies after several queries, the request requests its lock again.

        Args:
            identity: The identity.
            informed: The holder and its backup.
        """
        following = _Following(informed)
        self._followed[identity] = following
        self._query_holder(identity, following)

    def _query_holder(self, identity: bytes, following: _Following) -> None:
        if self._followed.get(identity) is not following:
            return  # the request has requested its lock since, and yielded to another holder
        if not self._deduplicator.is_awaited(identity):
            del self._followed[identity]
            return
        remaining = [number for number in following.informed if not self.is_unavailable(number)]
        if not remaining or following.queries >= MAX_QUERIES:
            self.request_lock_again(identity)
            return
        for number in remaining if following.queries >= HOLDER_QUERIES else remaining[:1]:
            self._counts["asked_again"] += 1
            self._send(number, encode(OutcomeQuery(identity)))
        interval_s = min(MAX_QUERY_INTERVAL_S, QUERY_INTERVAL_S * 2**following.queries)
        following.queries += 1
        self._reactor.callLater(_jittered(identity, interval_s), self._query_holder, identity, following)

    def request_lock_again(self, identity: bytes) -> None:
        """Let the requests that wait for an identity request its lock, at most once per interval.

        The voters may name the same holder each time: the lock of a failed holder stays until its deadline.
        """
        if identity in self._recent_lock_requests:
            self._recent_lock_requests[identity] = True
            return
        self._recent_lock_requests[identity] = False
        self._reactor.callLater(_jittered(identity, QUERY_INTERVAL_S), self._on_lock_request_interval_elapsed, identity)
        self._deduplicator.ended_elsewhere(identity, may_have_executed=False)

    def _on_lock_request_interval_elapsed(self, identity: bytes) -> None:
        if self._recent_lock_requests.pop(identity):
            self.request_lock_again(identity)

    def _query(self, identity: bytes, informed_instance: int, interval_s: float) -> None:
        """Query an outcome repeatedly while a request waits for it.

        The reply is a single datagram. When an instance fails with thousands of requests in flight many datagrams are
        lost, and without further queries a request would wait until its deadline.
        """
        if not self._deduplicator.is_awaited(identity):
            return
        if self.is_unavailable(informed_instance) and not self.is_stored(identity):
            self.request_lock_again(identity)  # the failed primary had moved it to another backup
            return
        self._counts["asked_again"] += 1
        self._send(informed_instance, encode(OutcomeQuery(identity)))
        interval_s = min(MAX_QUERY_INTERVAL_S, 2 * interval_s)
        self._reactor.callLater(_jittered(identity, interval_s), self._query, identity, informed_instance, interval_s)

    def on_reply(self, reply: OutcomeReply) -> None:
        """End the wait of the requests of an identity with the outcome of a reply."""
        response = decode_response(reply.response) if reply.outcome is Outcome.RESPONDED else None
        if response is not None:
            self._deduplicator.responded_elsewhere(reply.identity, response)
            self.notify(reply.identity, Outcome.RESPONDED, response)
            return
        if reply.outcome is Outcome.NEVER_EXECUTED:
            self.request_lock_again(reply.identity)
        else:
            self._deduplicator.ended_elsewhere(reply.identity, may_have_executed=True)
        self.notify(reply.identity, reply.outcome)


def _jittered(identity: bytes, interval_s: float) -> float:
    return interval_s * (MIN_QUERY_JITTER + identity[0] / QUERY_JITTER_DIVISOR)
