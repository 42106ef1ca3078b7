"""Voter on identity locks: gives its vote on an identity to one request at a time. Free of I/O.

    free --LockRequests--> voted for the first request --LockReleases, or the deadline--> free
                                 `--LockRequests of its successor--> voted for the successor

A vote is final until its request has ended: with a second concurrent vote two requests of one identity could each have
a majority. A restarted voter has lost its votes, and votes only once it has recovered them.
"""

from __future__ import annotations

import heapq
import math
from collections import Counter, OrderedDict
from collections.abc import Callable, Iterable
from dataclasses import dataclass

from anisefront.cluster.backup_selection import Replica, slot_of
from anisefront.cluster.lock_codec import MAX_ITEMS
from anisefront.cluster.lock_messages import (
    NO_INSTANCE,
    KnownLock,
    LockMessage,
    LockOwner,
    LockRecoveryQuery,
    LockRecoveryReply,
    LockRelease,
    LockReleases,
    LockReplies,
    LockReply,
    LockRequest,
    LockRequests,
    VoterRestart,
)
from anisefront.cluster.lock_placement import LockPlacement
from anisefront.cluster.lock_recovery import VoterRecovery
from anisefront.cluster.replication_actions import SendMessage

MAX_LOCKS = 50_000
MAX_ENDED = 10_000  # ended requests that are tracked, since a delayed message could request their locks again


@dataclass(slots=True, eq=False)
class _Lock:
    """Vote on one identity.

    Attributes:
        holders: The requests that may have the vote, each with the number of its backup; after a recovery there may be
            several, none of which gets the vote before the others have ended.
        expires_ms: Time at which the vote expires.
    """

    holders: dict[LockOwner, int]
    expires_ms: float


class LockVoter:
    """Votes of one process incarnation of an instance."""

    def __init__(
        self,
        local: Replica,
        placement: LockPlacement,
        max_deadline_ms: float,
        max_locks: int = MAX_LOCKS,
        is_recovered: bool = False,
    ) -> None:
        """Initialize without votes.

        Args:
            local: The local instance.
            placement: The voters of all slots.
            max_deadline_ms: Longest deadline of a request.
            max_locks: Number of identities beyond which the voter abstains.
            is_recovered: Whether no earlier process of this instance has voted.
        """
        self.counts: Counter[str] = Counter()
        # Returns the locks of local requests and of those stored as a backup.
        self.other_locks: Callable[[float], Iterable[KnownLock]] = lambda now_ms: ()
        self._local = local
        self._placement = placement
        self._max_locks = max_locks
        self._recovery = VoterRecovery(local.number, placement, max_deadline_ms, is_recovered)
        self._locks: dict[bytes, _Lock] = {}
        self._expirations: list[tuple[float, bytes]] = []
        self._alive: dict[int, int] = {}
        self._departed: frozenset[int] = frozenset()
        self._ended: OrderedDict[LockOwner, None] = OrderedDict()
        self._restarts: dict[int, int] = {}  # by number of a voter: oldest incarnation whose votes count
        self._newest_incarnation: dict[int, int] = {}  # of senders, by number
        self._actions: list[SendMessage] = []
        self._replies: dict[int, list[LockReply]] = {}  # by receiver
        # Ended requests that may have been executed, by identity, with the deadline of their lock.
        self._finished: OrderedDict[bytes, tuple[LockOwner, float]] = OrderedDict()
        # Requests whose locks have expired, so that it is unknown whether they were executed, with the deadline. A
        # request that yielded to one of these, or to a finished one, may wait up to the longest deadline after that.
        self._expired: OrderedDict[bytes, tuple[LockOwner, float]] = OrderedDict()
        self._max_deadline_ms = max_deadline_ms

    def __len__(self) -> int:
        """Return the number of identities with a vote."""
        return len(self._locks)

    def uses_locks(self, number: int, incarnation: int) -> bool:
        """Return whether this process incarnation of an instance, or a later one, has sent a lock message."""
        return self._newest_incarnation.get(number, 0) >= incarnation

    def take_actions(self) -> list[SendMessage]:
        """Return and clear the pending messages."""
        if self._replies:
            self._collect_replies()
        actions = self._actions
        if actions:
            self._actions = []
        return actions

    def _collect_replies(self) -> None:
        restarts = tuple(VoterRestart(*each) for each in sorted(self._restarts.items()))
        for receiver, replies in self._replies.items():
            for start in range(0, len(replies), MAX_ITEMS):
                message = LockReplies(restarts, tuple(replies[start : start + MAX_ITEMS]))
                self._actions.append(SendMessage(receiver, message))
        self._replies = {}

    # ---- messages --------------------------------------------------------------------------------

    def receive(self, now_ms: float, sender: int, sender_incarnation: int, message: LockMessage) -> None:
        """Handle a message from an authenticated sender; a delayed one of an earlier incarnation is ignored."""
        if sender_incarnation < self._newest_incarnation.get(sender, 0):
            return
        self._newest_incarnation[sender] = sender_incarnation
        self._release_expired(now_ms)
        match message:
            case LockRequests(placement, requests):
                if self._has_same_placement(placement):
                    for request in requests:
                        owner = LockOwner(sender, sender_incarnation, request.request)
                        self._on_request(now_ms, owner, request)
            case LockReleases(releases):
                for release in releases:
                    self._on_release(LockOwner(sender, sender_incarnation, release.request), release)
            case LockRecoveryQuery(placement, serial):
                if self._has_same_placement(placement):
                    self._on_recovery_query(now_ms, sender, sender_incarnation, serial)
            case LockRecoveryReply():
                self._on_recovery_reply(now_ms, sender, sender_incarnation, message)

    def _has_same_placement(self, placement: bytes) -> bool:
        """Return whether the sender computes the same voters; majorities of different voters may not intersect."""
        if placement != self._placement.digest:
            self.counts["placements_differing"] += 1
        return placement == self._placement.digest

    def _on_request(self, now_ms: float, owner: LockOwner, request: LockRequest) -> None:
        slot = slot_of(request.identity)
        if owner in self._ended or self._local.number not in self._placement.voters_of_slot(slot):
            return
        lock = self._locks.get(request.identity)
        if lock is not None:
            self._replace_predecessor(lock, owner, request)
            self._drop_lost_holders(lock, owner)
            holder = _other_holder(lock, owner)
            if holder is not None:
                self._refuse(owner, request, lock, holder)
                return
        preceding = self._preceding_holder(now_ms, request)
        if preceding is not None:
            reply = LockReply(request.identity, request.request, preceding.number, preceding.request)
            self._reply(owner.number, reply)
            return
        if not self._recovery.is_recovered(slot):
            return
        if lock is None:
            if len(self._locks) >= self._max_locks:
                self.counts["locks_full"] += 1
                return
            lock = self._locks[request.identity] = _Lock({}, now_ms)
        lock.holders[owner] = request.backup
        self._extend(request.identity, lock, now_ms + request.remaining_ms)
        self._reply(owner.number, LockReply(request.identity, request.request))

    def _preceding_holder(self, now_ms: float, request: LockRequest) -> LockOwner | None:
        """Return the request that may have executed before one that must not run after another, None without any."""
        if not request.follows_another:
            return None
        for ended in (self._finished, self._expired):
            holder, expires_ms = ended.get(request.identity, (None, -math.inf))
            if expires_ms + self._max_deadline_ms > now_ms and holder != request.predecessor:
                return holder
        return None

    def _replace_predecessor(self, lock: _Lock, owner: LockOwner, request: LockRequest) -> None:
        """Transfer the vote of a failed instance's request to the request that continues it."""
        if request.predecessor in lock.holders:
            del lock.holders[request.predecessor]
            lock.holders[owner] = request.backup
            self._note_ended(request.predecessor)

    def _drop_lost_holders(self, lock: _Lock, owner: LockOwner) -> None:
        """Drop holders that no instance continues: requests of departed instances that had no backup.

        A request with a backup stays even if the backup seems dead, too: both may be alive behind a partition.
        """
        for holder, backup in list(lock.holders.items()):
            if holder != owner and backup == NO_INSTANCE and self._has_departed(holder):
                self.counts["locks_lost"] += 1
                del lock.holders[holder]
                self._note_ended(holder)

    def _has_departed(self, holder: LockOwner) -> bool:
        if holder.number == self._local.number:
            return holder.incarnation < self._local.incarnation
        return holder.number in self._departed or self._alive.get(holder.number, 0) > holder.incarnation

    def _refuse(self, owner: LockOwner, request: LockRequest, lock: _Lock, holder: LockOwner) -> None:
        self.counts["refusals"] += 1
        reply = LockReply(request.identity, request.request, holder.number, holder.request, lock.holders[holder])
        self._reply(owner.number, reply)
        if len(lock.holders) == 1 and self._recovery.is_recovered(slot_of(request.identity)):
            # Prompts the holder to release it again if its release was lost.
            self._reply(holder.number, LockReply(request.identity, holder.request))

    def _reply(self, receiver: int, reply: LockReply) -> None:
        self._replies.setdefault(receiver, []).append(reply)

    def _on_release(self, owner: LockOwner, release: LockRelease) -> None:
        ended = [owner] if release.predecessor is None else [owner, release.predecessor]
        for each in ended:
            self._note_ended(each)
        lock = self._locks.get(release.identity)
        if lock is None:
            return
        if release.may_have_executed and owner in lock.holders:
            self._finished[release.identity] = (owner, lock.expires_ms)
            self._finished.move_to_end(release.identity)
            if len(self._finished) > MAX_ENDED:
                self._finished.popitem(last=False)
        for each in ended:
            lock.holders.pop(each, None)
        if not lock.holders:
            del self._locks[release.identity]

    def _note_ended(self, owner: LockOwner) -> None:
        self._ended[owner] = None
        if len(self._ended) > MAX_ENDED:
            self._ended.popitem(last=False)

    def _extend(self, identity: bytes, lock: _Lock, expires_ms: float) -> None:
        if expires_ms > lock.expires_ms:
            lock.expires_ms = expires_ms
            heapq.heappush(self._expirations, (expires_ms, identity))

    def _release_expired(self, now_ms: float) -> None:
        while self._expirations and self._expirations[0][0] <= now_ms:
            _, identity = heapq.heappop(self._expirations)
            lock = self._locks.get(identity)
            if lock is not None and lock.expires_ms <= now_ms:
                del self._locks[identity]
                self._note_expired(identity, lock)

    def _note_expired(self, identity: bytes, lock: _Lock) -> None:
        if not lock.holders:
            return  # all holders were dropped, and no vote was given since
        self._expired[identity] = (next(iter(lock.holders)), lock.expires_ms)
        self._expired.move_to_end(identity)
        if len(self._expired) > MAX_ENDED:
            self._expired.popitem(last=False)

    # ---- recovery --------------------------------------------------------------------------------

    def _on_recovery_query(self, now_ms: float, sender: int, sender_incarnation: int, serial: int) -> None:
        """Reply with all locks known here in slots of the sender.

        Votes given from now on name the sender's incarnation, which voids votes of its earlier ones. Otherwise such a
        vote, which this reply does not report, and a new one from here could be a second majority.
        """
        self._note_restart(sender, sender_incarnation)
        known = [lock for lock in self.known_locks(now_ms) if sender in self._placement.voters(lock.identity)]
        pages = max(1, -(-len(known) // MAX_ITEMS))
        for page in range(pages):
            locks = tuple(known[page * MAX_ITEMS : (page + 1) * MAX_ITEMS])
            reply = LockRecoveryReply(serial, page, pages, self._recovery.is_complete, locks)
            self._actions.append(SendMessage(sender, reply))

    def known_locks(self, now_ms: float) -> list[KnownLock]:
        """Return all locks that this instance knows as voter, owner and backup."""
        voted = [
            KnownLock(identity, owner, max(0, int(lock.expires_ms - now_ms)), backup)
            for identity, lock in self._locks.items()
            for owner, backup in lock.holders.items()
        ]
        finished = [
            KnownLock(identity, owner, max(0, int(expires_ms - now_ms)), NO_INSTANCE)
            for identity, (owner, expires_ms) in self._finished.items()
            if expires_ms > now_ms
        ]
        return [*voted, *finished, *self.other_locks(now_ms)]

    def _on_recovery_reply(self, now_ms: float, sender: int, sender_incarnation: int, reply: LockRecoveryReply) -> None:
        if self._recovery.is_complete:
            return
        self._note_restart(sender, sender_incarnation)
        for known in self._recovery.on_reply(sender, sender_incarnation, reply):
            if known.owner not in self._ended:
                lock = self._locks.setdefault(known.identity, _Lock({}, now_ms))
                lock.holders.setdefault(known.owner, known.backup)
                self._extend(known.identity, lock, now_ms + known.remaining_ms)
        self._recovery.update_slots()

    def _note_restart(self, number: int, incarnation: int) -> None:
        self._restarts[number] = max(self._restarts.get(number, 0), incarnation)

    # ---- timers ----------------------------------------------------------------------------------

    def update_members(self, now_ms: float, alive: dict[int, int], departed: frozenset[int]) -> None:
        """Replace the membership of the other instances.

        Args:
            now_ms: Clock time.
            alive: Process incarnations of the live instances, by number.
            departed: Numbers of the instances that are dead or have left.
        """
        self._alive = alive
        self._departed = departed
        self._recovery.retry_soon(now_ms)

    def handle_timers(self, now_ms: float) -> None:
        """Expire votes, and send scheduled recovery queries."""
        self._release_expired(now_ms)
        for receiver in self._recovery.receivers_to_query(now_ms):
            query = LockRecoveryQuery(self._placement.digest, self._recovery.serial)
            self._actions.append(SendMessage(receiver, query))

    @property
    def next_timer_ms(self) -> float:
        """Latest time for the next call of `handle_timers`; expiring votes need no call."""
        return self._recovery.next_timer_ms


def _other_holder(lock: _Lock, owner: LockOwner) -> LockOwner | None:
    """Return another request that may have the vote, None without any."""
    return next((holder for holder in lock.holders if holder != owner), None)
