"""Owner's side of identity locks: obtains a majority of votes before a request may have an effect. Free of I/O.

    requested --votes of a majority--> held --end of the request--> released
        |-----a majority has voted for another--------------------> refused
        |-----the vote is split, and another has precedence-------> refused
        `-----no majority replies in time-------------------------> unavailable

A held lock stays held, since any later majority shares a voter with the one that granted it. The third voter is
queried until it has voted, too. Until the lock is held, votes of a voter that was restarted since are void, as the
voter may have lost them.

No single voter decides alone, however many instances are alive: in a partition the two others may be a majority on the
other side, before or after the partition is detected. Of two instances, the one with the lower number decides alone
while the other is not alive, as the other never does.
"""

from __future__ import annotations

import heapq
import math
from collections import Counter, OrderedDict
from collections.abc import Collection, Iterator
from dataclasses import dataclass, field
from typing import Any

from anisefront.cluster.backup_selection import Replica, placement_hash, slot_of
from anisefront.cluster.lock_codec import MAX_ITEMS
from anisefront.cluster.lock_decisions import LockDecision, LockHeld, LockRefused, LockUnavailable
from anisefront.cluster.lock_messages import (
    NO_INSTANCE,
    KnownLock,
    LockOwner,
    LockRelease,
    LockReleases,
    LockReplies,
    LockReply,
    LockRequest,
    LockRequests,
)
from anisefront.cluster.lock_placement import LockPlacement
from anisefront.cluster.predecessor_releases import PredecessorReleases
from anisefront.cluster.replication_actions import SendMessage

MAJORITY = 2  # of three voters, or of two
WIDEN_MS = 10.0  # after which the third voter is queried, too, if the first two are no majority
UNRESPONSIVE_MS = 5000.0  # for which a voter that did not reply within `WIDEN_MS` is not queried first
RELEASE_DELAY_MS = 5.0  # delay of the release of executed requests' locks, to batch them
RETRY_MS = 30.0
MAX_RETRY_MS = 240.0
MAX_ENDED = 10_000  # ended requests that are tracked, for votes that arrive later
NO_REQUEST = 0  # requests are numbered from 1
MAX_WAITING_FRACTION = 0.5  # of the time until its deadline, for which a request waits for a majority


@dataclass(slots=True, eq=False)
class _LocalLock:
    """The lock of a local request.

    Attributes:
        votes: Process incarnations of the voters that have voted for it, by number.
        refusals: Replies of those that have voted for another request, by number.
        has_new_backup: Whether the backup has changed since the voters were queried.
        queried: The voters that were sent the request.
    """

    identity: bytes
    voters: tuple[int, ...]
    request: int
    deadline_ms: float
    give_up_ms: float
    backup: int
    predecessor: LockOwner | None
    has_yielded: bool
    is_held: bool = False
    has_new_backup: bool = False
    queried: tuple[int, ...] = ()
    votes: dict[int, int] = field(default_factory=dict)
    refusals: dict[int, LockReply] = field(default_factory=dict)
    retry_ms: float = 0.0
    retry_interval_ms: float = RETRY_MS

    def continues(self, refusal: LockReply) -> bool:
        """Return whether a refusal names the predecessor, as the voter does not know of the continuation yet."""
        holder = (refusal.holder, refusal.holder_request)
        return self.predecessor is not None and holder == (self.predecessor.number, self.predecessor.request)


class LockRequester:
    """Locks of the requests of one process incarnation of an instance."""

    def __init__(self, local: Replica, placement: LockPlacement) -> None:
        """Initialize without locks."""
        self.counts: Counter[str] = Counter()
        self._local = local
        self._placement = placement
        self._locks: dict[int, _LocalLock] = {}  # by request
        self._retained: dict[int, _LocalLock] = {}  # of ended requests, until their deadlines
        self._alive: frozenset[int] = frozenset({local.number})
        self._voter_incarnations: dict[int, int] = {}  # by number; votes of earlier ones are void
        self._decisions: list[LockDecision] = []
        self._ended: OrderedDict[int, bool] = OrderedDict()  # by request: whether it may have executed
        self._abandoned: OrderedDict[int, None] = OrderedDict()  # requests that other instances continue
        self._unsent: dict[int, None] = {}  # requests whose votes are to be requested
        self._releases: dict[int, list[LockRelease]] = {}  # by voter
        self._releases_due_ms = math.inf
        self._predecessors = PredecessorReleases()
        self._unresponsive_until_ms: dict[int, float] = {}  # by voter
        self._schedule: list[tuple[float, int]] = []

    @property
    def is_required(self) -> bool:
        """Whether other instances are configured, which could run a request of the same identity."""
        return len(self._placement.instances) > 1

    def update_members(self, alive: frozenset[int]) -> None:
        """Replace the live instances, which exclude the local one."""
        self._alive = alive | {self._local.number}
        for lock in list(self._locks.values()):
            if not lock.is_held:
                self._decide(lock)

    def acquire(
        self,
        now_ms: float,
        identity: bytes,
        request: int,
        remaining_ms: float,
        backup: int = NO_INSTANCE,
        predecessor: LockOwner | None = None,
        has_yielded: bool = False,
    ) -> None:
        """Request the lock of a request's identity.

        Args:
            now_ms: Clock time.
            identity: Digest of its identity.
            request: Its number.
            remaining_ms: Time until its deadline.
            backup: The instance that stores it.
            predecessor: The request of a failed instance that it continues.
            has_yielded: Whether the client's request has yielded to another one of the identity before.
        """
        give_up_ms = now_ms + MAX_WAITING_FRACTION * remaining_ms
        deadline_ms = now_ms + remaining_ms
        voters = self._placement.voters(identity)
        lock = _LocalLock(identity, voters, request, deadline_ms, give_up_ms, backup, predecessor, has_yielded)
        self._locks[request] = lock
        if predecessor is None:
            lock.queried = self._first_voters(now_ms, lock)
            self._unsent[request] = None
            self._schedule_next(now_ms + WIDEN_MS, lock)
        else:
            self._query_all(now_ms, lock)

    def _first_voters(self, now_ms: float, lock: _LocalLock) -> tuple[int, ...]:
        """Return a preferred majority of the voters: responsive ones first, then the local one, then the backup."""

        def _order(voter: int) -> tuple[bool, bool, bool]:
            is_unresponsive = self._unresponsive_until_ms.get(voter, 0.0) > now_ms
            return is_unresponsive, voter != self._local.number, voter != lock.backup

        return tuple(sorted(lock.voters, key=_order)[:MAJORITY])

    def _query_all(self, now_ms: float, lock: _LocalLock) -> None:
        """Request the votes of all voters that have not voted for it."""
        lock.queried = lock.voters
        self._unsent[lock.request] = None
        lock.retry_ms = now_ms + lock.retry_interval_ms
        self._schedule_next(min(lock.retry_ms, lock.give_up_ms), lock)

    def _schedule_next(self, at_ms: float, lock: _LocalLock) -> None:
        heapq.heappush(self._schedule, (at_ms, lock.request))

    def set_backup(self, request: int, backup: int) -> None:
        """Notify the voters which instance stores a request: owners of refused requests query its outcome there."""
        lock = self._locks.get(request)
        if lock is not None and lock.backup != backup:
            lock.backup = backup
            lock.has_new_backup = True
            self._unsent[request] = None

    def continue_predecessor(self, now_ms: float, request: int, predecessor: LockOwner) -> bool:
        """Have a request that awaits its lock take over the lock of a failed instance's request.

        Returns:
            Whether it does; False if its lock was refused or is held already.
        """
        lock = self._locks.get(request)
        if lock is None or lock.is_held:
            return False
        self._release_predecessor_of(lock)  # it continues the new predecessor instead
        lock.predecessor = predecessor
        lock.refusals = {voter: reply for voter, reply in lock.refusals.items() if not lock.continues(reply)}
        self._query_all(now_ms, lock)
        return True

    def release_predecessor(self, identity: bytes, predecessor: LockOwner, deadline_ms: float) -> None:
        """Release the lock of a failed instance's request that is not continued here, repeatedly until it expires.

        Args:
            identity: Its identity.
            predecessor: The request.
            deadline_ms: Its deadline, at which the lock expires.
        """
        release = LockRelease(identity, NO_REQUEST, False, predecessor)
        self._predecessors.add(release, self._placement.voters(identity), deadline_ms)

    def release(self, request: int, may_have_executed: bool = False) -> None:
        """Release the lock of a request at once; `may_have_executed`: it must not be executed again."""
        lock = self._locks.pop(request, None)
        if lock is not None:
            self._release_at_voters(lock, may_have_executed)
            self._releases_due_ms = 0.0
            _store_bounded(self._ended, request, may_have_executed)

    def release_soon(self, now_ms: float, request: int, may_have_executed: bool = False) -> None:
        """Release the lock of a request that has its response, within `RELEASE_DELAY_MS` and batched with others."""
        lock = self._locks.pop(request, None)
        if lock is not None:
            self._release_at_voters(lock, may_have_executed)
            self._releases_due_ms = min(self._releases_due_ms, now_ms + RELEASE_DELAY_MS)
            _store_bounded(self._ended, request, may_have_executed)

    def retain(self, request: int) -> None:
        """Retain the lock of an ended request until its deadline: no request of its identity may run before."""
        lock = self._locks.pop(request, None)
        if lock is not None:
            self._retained[request] = lock
            heapq.heappush(self._schedule, (lock.deadline_ms, request))

    def abandon(self, request: int) -> None:
        """Leave the lock of a request to the instance that continues it.

        That instance does not know of the request's own predecessor, whose lock is released here.
        """
        lock = self._locks.pop(request, None)
        if lock is not None:
            self._release_predecessor_of(lock)
            _store_bounded(self._abandoned, request, None)

    def take_decisions(self) -> list[LockDecision]:
        """Return and clear the pending decisions."""
        decisions = self._decisions
        self._decisions = []
        return decisions

    def known_locks(self, now_ms: float) -> Iterator[KnownLock]:
        """Yield the locks that are held or requested."""
        for lock in (*self._locks.values(), *self._retained.values()):
            owner = LockOwner(self._local.number, self._local.incarnation, lock.request)
            yield KnownLock(lock.identity, owner, max(0, int(lock.deadline_ms - now_ms)), lock.backup)

    # ---- messages --------------------------------------------------------------------------------

    def receive(self, now_ms: float, sender: int, sender_incarnation: int, message: LockReplies) -> None:
        """Handle the votes of an authenticated sender."""
        self._note_restart(sender, sender_incarnation)
        for voter, incarnation in message.restarts:
            self._note_restart(voter, incarnation)
        for reply in message.replies:
            lock = self._locks.get(reply.request)
            if lock is None or lock.identity != reply.identity:
                self._release_unknown(sender, reply)
            else:
                self._on_reply(now_ms, lock, sender, sender_incarnation, reply)

    def _note_restart(self, voter: int, incarnation: int) -> None:
        """Record a voter's incarnation; after its restart it may vote for another request."""
        self._voter_incarnations[voter] = max(incarnation, self._voter_incarnations.get(voter, 0))

    def _release_unknown(self, sender: int, reply: LockReply) -> None:
        """Release a vote that arrived after the end of its request, or whose release was lost."""
        if reply.is_granted and reply.request not in self._retained and reply.request not in self._abandoned:
            may_have_executed = self._ended.get(reply.request, True)
            release = LockRelease(reply.identity, reply.request, may_have_executed)
            self._releases.setdefault(sender, []).append(release)
            self._releases_due_ms = 0.0

    def _on_reply(
        self, now_ms: float, lock: _LocalLock, sender: int, sender_incarnation: int, reply: LockReply
    ) -> None:
        if sender not in lock.voters:
            return
        if reply.is_granted:
            lock.votes[sender] = sender_incarnation
            lock.refusals.pop(sender, None)
        elif not lock.continues(reply):
            lock.votes.pop(sender, None)
            lock.refusals[sender] = reply
        if not lock.is_held:
            self._drop_void_votes(lock)
            self._decide(lock)
        is_undecided = lock.request in self._locks and not lock.is_held
        if is_undecided and lock.refusals and len(lock.queried) < len(lock.voters):
            self._query_all(now_ms, lock)

    def _drop_void_votes(self, lock: _LocalLock) -> None:
        lock.votes = {
            voter: incarnation
            for voter, incarnation in lock.votes.items()
            if incarnation >= self._voter_incarnations[voter]
        }

    def _decide(self, lock: _LocalLock) -> None:
        voters = self._deciding_voters(lock)
        needed = min(MAJORITY, len(voters))
        if sum(voter in voters for voter in lock.votes) >= needed:
            lock.is_held = True
            self._decisions.append(LockHeld(lock.request))
            return
        if not lock.refusals:
            return
        refusals = [reply for voter, reply in lock.refusals.items() if voter in voters]
        holders = Counter((reply.holder, reply.holder_request) for reply in refusals)
        for reply in refusals:
            if holders[reply.holder, reply.holder_request] >= needed:
                self._refuse(lock, reply)
                return

    def _deciding_voters(self, lock: _LocalLock) -> tuple[int, ...]:
        """Return the voters whose majority decides: all, or of two only the tie-breaker while the other is lost."""
        tie_breaker = min(lock.voters)
        is_other_lost = tie_breaker in self._alive and not self._alive.issuperset(lock.voters)
        return (tie_breaker,) if len(lock.voters) == MAJORITY and is_other_lost else lock.voters

    def _refuse(self, lock: _LocalLock, reply: LockReply) -> None:
        self.counts["locks_refused"] += 1
        self.release(lock.request)
        informed = [number for number in (reply.holder, reply.holder_backup) if number != NO_INSTANCE]
        self._decisions.append(LockRefused(lock.request, tuple(dict.fromkeys(informed))))

    def _release_at_voters(self, lock: _LocalLock, may_have_executed: bool) -> None:
        release = LockRelease(lock.identity, lock.request, may_have_executed, lock.predecessor)
        voters = lock.queried if lock.predecessor is None else lock.voters
        for voter in voters:
            self._releases.setdefault(voter, []).append(release)
        self._release_predecessor_of(lock)

    def _release_predecessor_of(self, lock: _LocalLock) -> None:
        """Release the predecessor's lock at voters that do not know of the continuation yet."""
        if lock.predecessor is not None:
            self.release_predecessor(lock.identity, lock.predecessor, lock.deadline_ms)

    # ---- sending ---------------------------------------------------------------------------------

    def flush(self, now_ms: float) -> list[SendMessage]:
        """Return the messages to send, with all requests since the last call batched by voter."""
        for voter, release in self._predecessors.take_due(now_ms):
            self._releases.setdefault(voter, []).append(release)
            self._releases_due_ms = now_ms
        if not self._unsent and now_ms < self._releases_due_ms:
            return []
        requests: dict[int, list[LockRequest]] = {}
        for number in self._unsent:
            lock = self._locks.get(number)
            if lock is not None:
                request = self._request(now_ms, lock)
                for voter in lock.queried:
                    if voter not in lock.votes or lock.has_new_backup:
                        requests.setdefault(voter, []).append(request)
                lock.has_new_backup = False
        self._unsent.clear()
        messages = self._take_releases(now_ms, requests.keys())
        messages += [
            SendMessage(voter, LockRequests(self._placement.digest, tuple(items[start : start + MAX_ITEMS])))
            for voter, items in requests.items()
            for start in range(0, len(items), MAX_ITEMS)
        ]
        return messages

    def _take_releases(self, now_ms: float, receivers: Collection[int]) -> list[SendMessage]:
        """Return the releases whose delay has passed, and those to voters that get a message now."""
        is_due = now_ms >= self._releases_due_ms
        voters = [voter for voter in self._releases if is_due or voter in receivers]
        messages = []
        for voter in voters:
            items = self._releases.pop(voter)
            for start in range(0, len(items), MAX_ITEMS):
                messages.append(SendMessage(voter, LockReleases(tuple(items[start : start + MAX_ITEMS]))))
        if not self._releases:
            self._releases_due_ms = math.inf
        return messages

    def _request(self, now_ms: float, lock: _LocalLock) -> LockRequest:
        remaining_ms = max(0, int(lock.deadline_ms - now_ms))
        return LockRequest(lock.identity, lock.request, remaining_ms, lock.backup, lock.has_yielded, lock.predecessor)

    # ---- timers ----------------------------------------------------------------------------------

    def handle_timers(self, now_ms: float) -> None:
        """Retry undecided requests, and refuse or give up those that stay undecided."""
        while self._schedule and self._schedule[0][0] <= now_ms:
            _, request = heapq.heappop(self._schedule)
            retained = self._retained.get(request)
            if retained is not None and retained.deadline_ms <= now_ms:
                del self._retained[request]
            lock = self._locks.get(request)
            if lock is not None and lock.is_held:
                self._query_remaining_voters(now_ms, lock)
            elif lock is not None:
                self._on_undecided(now_ms, lock)

    def _query_remaining_voters(self, now_ms: float, lock: _LocalLock) -> None:
        """Query the voters that have not voted yet, so that they know the lock's holder if the others fail."""
        if not lock.retry_ms:
            lock.retry_ms = now_ms + RETRY_MS
            self._schedule_next(lock.retry_ms, lock)
        missing = [voter for voter in lock.voters if voter not in lock.votes]
        if now_ms < lock.retry_ms or self._alive.isdisjoint(missing):
            return
        lock.retry_interval_ms = min(MAX_RETRY_MS, 2 * lock.retry_interval_ms)
        self._query_all(now_ms, lock)

    def _on_undecided(self, now_ms: float, lock: _LocalLock) -> None:
        preceding = [reply for reply in lock.refusals.values() if self._precedes(reply, lock)]
        if preceding and self._have_voters_replied(lock):
            self._refuse(lock, preceding[0])
        elif now_ms >= lock.give_up_ms:
            self.counts["locks_unavailable"] += 1
            self.release(lock.request)
            self._decisions.append(LockUnavailable(lock.request))
        elif not lock.retry_ms:
            self._note_unresponsive(now_ms, lock)
            self._query_all(now_ms, lock)
        elif now_ms >= lock.retry_ms:
            lock.retry_interval_ms = min(MAX_RETRY_MS, 2 * lock.retry_interval_ms)
            self._query_all(now_ms, lock)

    def _have_voters_replied(self, lock: _LocalLock) -> bool:
        """Return whether all live voters have replied or were queried twice, as a missing vote may make a majority."""
        replied = lock.votes.keys() | lock.refusals.keys()
        return replied >= self._alive.intersection(lock.voters) or lock.retry_interval_ms > RETRY_MS

    def _note_unresponsive(self, now_ms: float, lock: _LocalLock) -> None:
        for voter in lock.queried:
            if voter not in lock.votes and voter not in lock.refusals:
                self._unresponsive_until_ms[voter] = now_ms + UNRESPONSIVE_MS

    def _precedes(self, reply: LockReply, lock: _LocalLock) -> bool:
        """Return whether the holder has precedence when the votes are split; all contenders compute the same order."""
        slot = slot_of(lock.identity)
        holder_rank = (placement_hash(slot, reply.holder), reply.holder_request)
        return holder_rank < (placement_hash(slot, self._local.number), lock.request)

    @property
    def next_timer_ms(self) -> float:
        """Latest time for the next call of `handle_timers`; infinite without a lock."""
        scheduled_ms = self._schedule[0][0] if self._schedule else math.inf
        return min(scheduled_ms, self._releases_due_ms, self._predecessors.next_timer_ms)


def _store_bounded(requests: OrderedDict[int, Any], request: int, value: Any) -> None:
    """Store a value for a request, and evict the oldest entry beyond `MAX_ENDED`."""
    requests[request] = value
    if len(requests) > MAX_ENDED:
        requests.popitem(last=False)
