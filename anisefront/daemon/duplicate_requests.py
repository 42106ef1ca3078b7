"""Duplicates: requests of one identity that are in flight at several gateway instances.

A backup that knows a request of some identity rejects another's request of it as a duplicate. The rejected one waits
at its own instance for the outcome of the first: it gets the same response, runs after all, or fails.
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

QUERY_INTERVAL_S = 0.25  # a request that waits for an outcome queries it again, with exponential backoff
MAX_QUERY_INTERVAL_S = 1.0
MIN_QUERY_JITTER = 0.75  # of the interval, up to 1.25: those rejected at the same time do not query at the same time
QUERY_JITTER_DIVISOR = 512
MAX_QUERIES = 5  # of an outcome, after which a request that has yielded asks for its lock again
HOLDER_QUERIES = 2  # of the holder of a lock, after which its backup is queried, too
OUTCOME_TIMEOUT_S = 0.5  # for a primary to send the response of a request that has completed
MAX_OUTCOMES = 10_000  # remembered for those that query again; the oldest are evicted


class LocalRequest(NamedTuple):
    """A request in flight here that must not run beside another of its identity.

    Attributes:
        identity: Its identity.
        must_not_repeat: Whether a second execution would do harm, by its class when it was accepted.
    """

    identity: bytes
    must_not_repeat: bool


@dataclass(slots=True, eq=False)
class _Following:
    """Queries of the outcome to which a request here has yielded.

    Attributes:
        informed: The holder of the lock and its backup.
        queries: How often it was queried.
    """

    informed: tuple[int, ...]
    queries: int = 0

    @property
    def holder(self) -> int:
        """The holder of the lock."""
        return self.informed[0]


class DuplicateRequests:
    """Requests in flight here by identity, and the instances that wait for their outcome.

    `send(receiver, data)` sends a datagram, `counts` are the counters of the replication service.
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
        self._request_numbers: dict[bytes, list[int]] = {}  # the first represents its identity
        self._waiting_instances: dict[bytes, set[int]] = {}
        self._followed: dict[bytes, _Following] = {}  # holders to which requests here have yielded
        # Identities whose requests have asked for the lock just now, and whether they are to ask again.
        self._asked_for_lock: dict[bytes, bool] = {}
        self._uncertain: set[bytes] = set()  # completed, and their primaries were queried for the response
        self._outcomes: OrderedDict[bytes, Outcome] = OrderedDict()  # last sent, of identities without a response here

    # ---- requests in flight here -----------------------------------------------------------------

    def add(self, request: int, identity: bytes, must_not_repeat: bool) -> None:
        """Add a request; the first one of an identity represents it."""
        self._local[request] = LocalRequest(identity, must_not_repeat)
        self._request_numbers.setdefault(identity, []).append(request)

    def demote(self, request: int) -> None:
        """Let any other request of its identity represent it: this one is another instance's now."""
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
        """Return a request in flight here; None where it has no identity or may run beside others of it."""
        return self._local.get(request)

    def request_number(self, identity: bytes) -> int | None:
        """Return the number of the request in flight here that represents this identity."""
        numbers = self._request_numbers.get(identity)
        return numbers[0] if numbers else None

    # ---- instances that wait for an outcome ------------------------------------------------------

    def add_waiting_instance(self, identity: bytes, number: int) -> None:
        """Notify an instance of the outcome of an identity, at once where the response is here already."""
        self.wait_for(identity, {number})
        response = self._deduplicator.response_of(identity)
        if response is not None:
            self.notify(identity, Outcome.RESPONDED, response)

    def wait_for(self, identity: bytes, numbers: set[int]) -> None:
        """Notify some instances of the outcome of an identity."""
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
        """Remember an outcome; that one request was never executed does not say so of another of its identity."""
        if self._outcomes.get(identity) is not Outcome.MAY_HAVE_EXECUTED:
            self._outcomes[identity] = outcome
        self._outcomes.move_to_end(identity)
        while len(self._outcomes) > MAX_OUTCOMES:
            self._outcomes.popitem(last=False)

    def end(self, identity: bytes, outcome: Outcome) -> None:
        """End the wait of all requests of an identity, here and elsewhere, without a response."""
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
            sender: Who asks.
            identity: The identity.
            is_replicated_here: Whether a request of it is stored here.
            precedes: Whether the sender comes before this instance where two yield to each other.
            uses_locks: Whether the sender asks for locks: then it may ask for its own where nothing is known here.
        """
        self.wait_for(identity, {sender})
        in_progress = is_replicated_here or identity in self._request_numbers or identity in self._uncertain
        response = self._deduplicator.response_of(identity)
        if response is not None:
            self.notify(identity, Outcome.RESPONDED, response)
        elif identity in self._outcomes and not in_progress:
            self.notify(identity, self._outcomes[identity])
        elif self._outcomes.get(identity) is Outcome.MAY_HAVE_EXECUTED and identity not in self._request_numbers:
            self.notify(identity, Outcome.MAY_HAVE_EXECUTED)  # what is stored here of others waits for that, too
        elif not in_progress and uses_locks:
            self.notify(identity, Outcome.NEVER_EXECUTED)
        elif not in_progress and self._deduplicator.is_awaited(identity):
            # Ours has yielded to another. If that is the sender's, which has yielded to ours, one has to go on.
            following = self._followed.get(identity)
            if precedes and following is not None and following.holder == sender:
                self.notify(identity, Outcome.NEVER_EXECUTED)
        elif not in_progress and identity not in self._deduplicator:
            del self._waiting_instances[identity]  # the outcome is not known: no reply is better than a wrong one

    # ---- requests of others that have completed --------------------------------------------------

    def end_uncertain(self, identity: bytes, primary: int, is_in_flight: Callable[[bytes], bool]) -> None:
        """End the wait for a request that may have been executed, and of which the response is not known here.

        Its primary may still have the response, so it is queried first. Without a reply all that wait are failed,
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
        on_released: Callable[[], None],
        informed: int | None,
    ) -> None:
        """Let a request wait for the outcome of another of its identity, of which instance `informed` knows."""
        self._deduplicator.wait_for_outcome(identity, content_digest(request), deadline_ms, on_response, on_released)
        if informed is not None:
            self._reactor.callLater(QUERY_INTERVAL_S, self._query, identity, informed, QUERY_INTERVAL_S)

    def is_followed(self, identity: bytes) -> bool:
        """Return whether a request here has yielded to the holder of the lock of an identity, and waits."""
        return identity in self._followed and self._deduplicator.is_awaited(identity)

    def follow(self, identity: bytes, informed: tuple[int, ...]) -> None:
        """Query the outcome to which a request here has yielded, now and again until it is known.

        The holder of the lock comes first; its backup knows the outcome only where the holder is lost. Where none is
        left, or none has told for long, the request asks for its lock again.

        Args:
            identity: The identity.
            informed: The holder and its backup.
        """
        following = _Following(informed)
        self._followed[identity] = following
        self._query_holder(identity, following)

    def _query_holder(self, identity: bytes, following: _Following) -> None:
        if self._followed.get(identity) is not following:
            return  # the request has asked for its lock since, and was refused by another holder
        if not self._deduplicator.is_awaited(identity):
            del self._followed[identity]
            return
        remaining = [number for number in following.informed if not self.is_unavailable(number)]
        if not remaining or following.queries >= MAX_QUERIES:
            self.ask_for_lock_again(identity)
            return
        for number in remaining if following.queries >= HOLDER_QUERIES else remaining[:1]:
            self._counts["asked_again"] += 1
            self._send(number, encode(OutcomeQuery(identity)))
        interval_s = min(MAX_QUERY_INTERVAL_S, QUERY_INTERVAL_S * 2**following.queries)
        following.queries += 1
        self._reactor.callLater(_jittered(identity, interval_s), self._query_holder, identity, following)

    def ask_for_lock_again(self, identity: bytes) -> None:
        """Let the requests that wait for an identity ask for its lock, once an interval at most.

        The voters may name the same holder each time: the lock of one that is lost stands until its deadline.
        """
        if identity in self._asked_for_lock:
            self._asked_for_lock[identity] = True
            return
        self._asked_for_lock[identity] = False
        self._reactor.callLater(_jittered(identity, QUERY_INTERVAL_S), self._on_asking_interval_over, identity)
        self._deduplicator.ended_elsewhere(identity, may_have_executed=False)

    def _on_asking_interval_over(self, identity: bytes) -> None:
        if self._asked_for_lock.pop(identity):
            self.ask_for_lock_again(identity)

    def _query(self, identity: bytes, informed: int, interval_s: float) -> None:
        """Query an outcome while a request waits for it.

        The reply is a single datagram. When an instance fails with thousands of requests in flight many are lost, and
        a request would wait until its deadline.
        """
        if not self._deduplicator.is_awaited(identity):
            return
        if self.is_unavailable(informed) and not self.is_stored(identity):
            self.ask_for_lock_again(identity)  # its primary had moved it to another backup
            return
        self._counts["asked_again"] += 1
        self._send(informed, encode(OutcomeQuery(identity)))
        interval_s = min(MAX_QUERY_INTERVAL_S, 2 * interval_s)
        self._reactor.callLater(_jittered(identity, interval_s), self._query, identity, informed, interval_s)

    def on_reply(self, reply: OutcomeReply) -> None:
        """End the wait of the requests of an identity."""
        response = decode_response(reply.response) if reply.outcome is Outcome.RESPONDED else None
        if response is not None:
            self._deduplicator.responded_elsewhere(reply.identity, response)
            self.notify(reply.identity, Outcome.RESPONDED, response)
            return
        if reply.outcome is Outcome.NEVER_EXECUTED:
            self.ask_for_lock_again(reply.identity)
        else:
            self._deduplicator.ended_elsewhere(reply.identity, may_have_executed=True)
        self.notify(reply.identity, reply.outcome)


def _jittered(identity: bytes, interval_s: float) -> float:
    return interval_s * (MIN_QUERY_JITTER + identity[0] / QUERY_JITTER_DIVISOR)
