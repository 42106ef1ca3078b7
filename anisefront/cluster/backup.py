"""Backup of request replication: stores primaries' requests in flight, and takes them over after failures.

    open --lease expired, or primary left--> claiming --EpochDecision, claimed--> claimed: its requests are local
                                                `--EpochDecision, released--> dropped: the primary released its backup

The witness is queried even if the primary has certainly terminated, since the primary may have released the epoch
before. An epoch without a witness (a cluster of two) is claimed at once: its primary can't release it either.

Every message for a claimed epoch is answered by `EpochFenced`, permanently. Until the claim, only applied entries are
acknowledged, so a primary that was merely paused or partitioned starts no attempt that its backup does not know of.
Leases decide when the witness is queried, never who owns a request.
"""

from __future__ import annotations

import heapq
import math
from collections import Counter
from collections.abc import Callable, Iterator

from anisefront.cluster.backup_state import (
    MAX_CLOSED_EPOCHS,
    MAX_INCARNATIONS,
    BackupEpoch,
    EpochKey,
    EpochState,
    PrimaryEpochs,
    ReplicatedRequest,
    RequestKey,
)
from anisefront.cluster.lock_messages import KnownLock, LockOwner
from anisefront.cluster.replication_actions import Action, NotifyLater, ReleaseRequest, SendMessage, TakeOver
from anisefront.cluster.replication_messages import (
    Accepted,
    Append,
    AppendAck,
    AttemptDiscarded,
    AttemptStarted,
    BackupAtCapacity,
    ClaimEpoch,
    Completed,
    EpochDecision,
    EpochFenced,
    InProgressElsewhere,
    LogEntry,
    Message,
)

CLAIM_RETRY_MS = 50.0  # interval between claims sent to the witness
WITNESS_TIMEOUT_MS = 500.0  # after which idempotent requests are taken over without the witness's decision
MAX_REQUESTS = 50_000


class Backup:
    """Requests of other instances, stored by one process incarnation of an instance."""

    def __init__(
        self, number: int, incarnation: int, lease_ms: float = 1000.0, max_requests: int = MAX_REQUESTS
    ) -> None:
        """Initialize without any replicated request.

        Args:
            number: Number of the local instance.
            incarnation: Its process incarnation.
            lease_ms: Time without a message of a primary after which its requests are claimed.
            max_requests: Number of requests that can be stored.
        """
        self.number = number
        self.incarnation = incarnation
        self.lease_ms = lease_ms
        self.max_requests = max_requests
        self.request_count = 0
        # Requests that are stored here, or were stored here until their primary moved them to another backup.
        self._by_identity: dict[bytes, dict[RequestKey, None]] = {}  # oldest first
        # Returns whether a local request of this identity, or its response, takes precedence over the request of the
        # primary with this number.
        self.is_local_duplicate: Callable[[bytes, int], bool] | None = None
        # Returns whether a process incarnation of an instance uses identity locks. Earlier versions do not; duplicates
        # of their requests are detected here.
        self.uses_locks: Callable[[int, int], bool] = lambda number, incarnation: False
        self.counts: Counter[str] = Counter()
        self._actions: list[Action] = []
        self._primaries: dict[tuple[int, int], PrimaryEpochs] = {}  # by number and incarnation
        self._claiming: dict[EpochKey, BackupEpoch] = {}
        self._lease_checks: list[tuple[float, EpochKey]] = []
        self._expirations: list[tuple[float, RequestKey, bytes]] = []  # deadline, key, identity
        self._terminated: dict[int, int] = {}  # incarnations of a primary up to this one have terminated

    def take_actions(self) -> list[Action]:
        """Return and clear the pending actions."""
        actions = self._actions
        self._actions = []
        return actions

    def find_primary(self, now_ms: float, identity: bytes) -> int | None:
        """Return the primary that has a request of an identity in flight, None where this backup knows of none."""
        self._release_expired(now_ms)
        key = self._first_stored(identity)
        return key.primary if key is not None else None

    def _first_stored(self, identity: bytes) -> RequestKey | None:
        return next(iter(self._by_identity.get(identity, ())), None)

    def stores(self, identity: bytes) -> bool:
        """Return whether a request of an identity is stored here and would be taken over."""
        return self.find_stored(identity) is not None

    def find_stored(self, identity: bytes) -> ReplicatedRequest | None:
        """Return the first request of an identity that is stored here and would be taken over."""
        for key in self._by_identity.get(identity, ()):
            epoch = self._epochs(key.primary, key.primary_incarnation).get(key.epoch)
            if epoch is not None and key.request in epoch.requests:
                return epoch.requests[key.request]
        return None

    def known_locks(self, now_ms: float) -> Iterator[KnownLock]:
        """Yield the locks that stored requests hold or have requested."""
        for (primary, incarnation), epochs in self._primaries.items():
            for epoch in epochs.by_number.values():
                for stored in epoch.requests.values():
                    if stored.excludes_duplicates:
                        owner = LockOwner(primary, incarnation, stored.request)
                        remaining_ms = max(0, int(stored.deadline_ms - now_ms))
                        yield KnownLock(stored.identity, owner, remaining_ms, self.number)

    # ---- messages --------------------------------------------------------------------------------

    def receive(self, now_ms: float, sender: int, sender_incarnation: int, message: Message) -> None:
        """Handle a message from an authenticated sender."""
        if isinstance(message, Append):
            self._on_append(now_ms, sender, sender_incarnation, message)
        elif isinstance(message, EpochDecision):
            self._on_decision(sender, sender_incarnation, message)

    def _on_append(self, now_ms: float, primary: int, primary_incarnation: int, message: Append) -> None:
        if message.backup_incarnation != self.incarnation:
            # An earlier incarnation may have taken the request over: after an acknowledgement it could run twice.
            self.counts["for_another_life"] += 1
            return
        if primary_incarnation <= self._terminated.get(primary, 0):
            return  # a delayed message of a terminated process: its requests would be stored and run again
        epochs = self._primaries.setdefault((primary, primary_incarnation), PrimaryEpochs())
        self._drop_finished(epochs, message.oldest_epoch)
        epoch = epochs.by_number.get(message.epoch)
        if epoch is None:
            if message.epoch <= epochs.closed_up_to:
                return  # a delayed message: its requests would run again
            key = EpochKey(primary, primary_incarnation, message.epoch)
            epoch = BackupEpoch(key, message.witness, message.witness_incarnation)
            epochs.by_number[message.epoch] = epoch
        if epoch.state is EpochState.CLAIMED:
            self._send(primary, EpochFenced(message.epoch))
            return
        epoch.lease_renewed_ms = now_ms
        self._append(now_ms, epoch, message)
        self._send(primary, AppendAck(message.epoch, epoch.last_sequence))

    def _drop_finished(self, epochs: PrimaryEpochs, oldest_epoch: int) -> None:
        """Drop the open epochs that their primary has finished."""
        for number in [number for number in epochs.by_number if number < oldest_epoch]:
            if epochs.by_number[number].state is EpochState.OPEN:
                self._drop(epochs.by_number[number])

    def _append(self, now_ms: float, epoch: BackupEpoch, message: Append) -> None:
        """Apply new entries in sequence, up to the first one that cannot be applied."""
        self._release_expired(now_ms)
        for sequence, entry in enumerate(message.entries, message.first_sequence):
            # Applied out of sequence, an old `Accepted` could follow the `Completed` of the same request.
            if sequence == epoch.last_sequence + 1:
                if self._exceeds_capacity(epoch, entry):
                    self._decline_remaining(epoch, message.entries[sequence - message.first_sequence :])
                    return
                if isinstance(entry, Accepted) and self._is_duplicate(epoch.key, entry):
                    self._reject_duplicates(epoch.key, message.entries[sequence - message.first_sequence :])
                    return
                self._apply(now_ms, epoch, entry)
                epoch.last_sequence = sequence

    def _reject_duplicates(self, epoch_key: EpochKey, entries: tuple[LogEntry, ...]) -> None:
        """Reject all duplicates of a message at once, which saves their primary a round trip for each of them.

        None is acknowledged, or their attempts would run concurrently with those of the requests in flight.
        """
        for entry in entries:
            if isinstance(entry, Accepted) and self._is_duplicate(epoch_key, entry):
                self.counts["names_in_hand"] += 1
                self._actions.append(NotifyLater(epoch_key.primary, entry.identity))
                self._send(epoch_key.primary, InProgressElsewhere(epoch_key.epoch, entry.request))

    def _exceeds_capacity(self, epoch: BackupEpoch, entry: LogEntry) -> bool:
        """Return whether a request is not stored for lack of capacity.

        A declined request stays declined, since its primary continues without a backup however late it is notified.
        """
        if not isinstance(entry, Accepted) or entry.request in epoch.requests:
            return False
        return self.request_count >= self.max_requests or entry.request in epoch.declined

    def _decline_remaining(self, epoch: BackupEpoch, entries: tuple[LogEntry, ...]) -> None:
        """Decline all requests that exceed the capacity; none is acknowledged, so the primary resends the others."""
        for entry in entries:
            if self._exceeds_capacity(epoch, entry):
                if entry.request not in epoch.declined:
                    self.counts["full"] += 1
                epoch.declined.add(entry.request)
                self._send(epoch.key.primary, BackupAtCapacity(epoch.key.epoch, entry.request))

    def _is_duplicate(self, epoch_key: EpochKey, accepted: Accepted) -> bool:
        """Return whether another request of this identity is stored here, was moved from here, or is in flight here.

        A request that its own primary appends in another epoch is no duplicate.
        """
        if not accepted.excludes_duplicates:
            return False
        uses_locks = self.uses_locks(epoch_key.primary, epoch_key.primary_incarnation)
        stored = self._first_stored(accepted.identity)
        if stored is None:
            is_local = self.is_local_duplicate
            return not uses_locks and is_local is not None and is_local(accepted.identity, epoch_key.primary)
        if uses_locks and self.uses_locks(stored.primary, stored.primary_incarnation):
            return False
        same_primary = (stored.primary, stored.primary_incarnation) == epoch_key[:2]
        return not same_primary or stored.request != accepted.request

    def _apply(self, now_ms: float, epoch: BackupEpoch, entry: LogEntry) -> None:
        stored = epoch.requests.get(entry.request)
        match entry:
            case Accepted() if stored is None:
                self._store(now_ms, epoch, entry)
            case AttemptStarted(_, attempt, endpoint, awaits_ack) if stored is not None:
                # An attempt that awaits this acknowledgement starts no earlier than now.
                stored.attempts[attempt] = (endpoint, now_ms if awaits_ack else -math.inf)
            case AttemptDiscarded(_, attempt) if stored is not None:
                stored.attempts.pop(attempt, None)
            case Completed() if stored is not None:
                self._release(epoch, stored)
            case Completed(request):
                epoch.declined.discard(request)

    def _store(self, now_ms: float, epoch: BackupEpoch, accepted: Accepted) -> None:
        deadline_ms = now_ms + accepted.remaining_ms
        epoch.requests[accepted.request] = ReplicatedRequest(
            accepted.request, accepted.requires_ack, deadline_ms, accepted.identity, accepted.record
        )
        self.request_count += 1
        key = RequestKey(*epoch.key, accepted.request)
        if accepted.excludes_duplicates:
            self._by_identity.setdefault(accepted.identity, {})[key] = None
        self._schedule_lease_check(now_ms, epoch)
        heapq.heappush(self._expirations, (deadline_ms, key, accepted.identity))

    def _on_decision(self, sender: int, sender_incarnation: int, message: EpochDecision) -> None:
        epoch = self._claiming.get(EpochKey(message.primary, message.primary_incarnation, message.epoch))
        if epoch is None or (epoch.witness, epoch.witness_incarnation) != (sender, sender_incarnation):
            return
        if message.claimed:
            self._take_over_epoch(epoch)
        else:
            self.counts["left_before"] += 1
            self._drop(epoch)

    # ---- failure of a primary --------------------------------------------------------------------

    def primary_failed(self, now_ms: float, primary: int, primary_incarnation: int) -> None:
        """Claim all open epochs of one process incarnation of a primary, whether or not their leases have expired."""
        for epoch in list(self._epochs(primary, primary_incarnation).values()):
            if epoch.state is EpochState.OPEN and epoch.requests:
                self._claim(now_ms, epoch)

    def primary_terminated(self, now_ms: float, primary: int, primary_incarnation: int) -> None:
        """Claim the epochs of this incarnation and of earlier ones, none of which sends anything more."""
        for number, incarnation in list(self._primaries):
            if number == primary and incarnation <= primary_incarnation:
                self.primary_failed(now_ms, primary, incarnation)
        self._terminated[primary] = max(self._terminated.get(primary, 0), primary_incarnation)
        incarnations = sorted(incarnation for number, incarnation in self._primaries if number == primary)
        for incarnation in incarnations[:-MAX_INCARNATIONS]:
            for epoch in list(self._primaries[primary, incarnation].by_number.values()):
                self._drop(epoch)
            del self._primaries[primary, incarnation]

    def _epochs(self, primary: int, primary_incarnation: int) -> dict[int, BackupEpoch]:
        epochs = self._primaries.get((primary, primary_incarnation))
        return epochs.by_number if epochs is not None else {}

    def _claim(self, now_ms: float, epoch: BackupEpoch) -> None:
        if epoch.witness < 0:
            self._take_over_epoch(epoch)
            return
        epoch.state = EpochState.CLAIMING
        epoch.claim_started_ms = now_ms
        self._claiming[epoch.key] = epoch
        self._send_claim(now_ms, epoch)

    def _send_claim(self, now_ms: float, epoch: BackupEpoch) -> None:
        epoch.claim_sent_ms = now_ms
        self._send(epoch.witness, ClaimEpoch(*epoch.key, epoch.witness_incarnation))

    def _take_over_epoch(self, epoch: BackupEpoch) -> None:
        epoch.state = EpochState.CLAIMED
        self._claiming.pop(epoch.key, None)
        self.counts["epochs_taken"] += 1
        for stored in list(epoch.requests.values()):
            self._take_over(epoch, stored)
        self._evict_claimed(epoch.key)

    def _take_over(self, epoch: BackupEpoch, stored: ReplicatedRequest) -> None:
        self._remove(epoch, stored)
        self._actions.append(TakeOver(epoch.key.primary, epoch.key.primary_incarnation, stored))

    def _evict_claimed(self, key: EpochKey) -> None:
        """Bound the number of claimed epochs; an evicted epoch is never acknowledged again."""
        epochs = self._primaries[key.primary, key.primary_incarnation]
        claimed = [number for number, epoch in epochs.by_number.items() if epoch.state is EpochState.CLAIMED]
        if len(claimed) > MAX_CLOSED_EPOCHS:
            epochs.closed_up_to = max(epochs.closed_up_to, claimed[0])
            del epochs.by_number[claimed[0]]

    def _drop(self, epoch: BackupEpoch) -> None:
        """Close an epoch that its primary has released.

        Its requests have moved to another backup, so their outcome is not known here. Their identities stay blocked
        until their deadlines, or another request of such an identity would run concurrently with the moved one.
        """
        self._claiming.pop(epoch.key, None)
        self.request_count -= len(epoch.requests)
        epoch.requests.clear()
        epochs = self._primaries[epoch.key.primary, epoch.key.primary_incarnation]
        del epochs.by_number[epoch.key.epoch]
        epochs.closed_up_to = max(epochs.closed_up_to, epoch.key.epoch)

    def _release(self, epoch: BackupEpoch, stored: ReplicatedRequest) -> None:
        self._remove(epoch, stored)
        self._actions.append(ReleaseRequest(epoch.key.primary, epoch.key.primary_incarnation, stored))

    def _remove(self, epoch: BackupEpoch, stored: ReplicatedRequest) -> None:
        del epoch.requests[stored.request]
        self.request_count -= 1
        self._unblock(stored.identity, RequestKey(*epoch.key, stored.request))

    def _unblock(self, identity: bytes, key: RequestKey) -> None:
        keys = self._by_identity.get(identity, {})
        keys.pop(key, None)
        if not keys:
            self._by_identity.pop(identity, None)

    # ---- timers ----------------------------------------------------------------------------------

    def _schedule_lease_check(self, renewed_ms: float, epoch: BackupEpoch) -> None:
        if not epoch.lease_check_scheduled:
            epoch.lease_check_scheduled = True
            heapq.heappush(self._lease_checks, (renewed_ms + self.lease_ms, epoch.key))

    def handle_timers(self, now_ms: float) -> None:
        """Release expired requests, check leases, and repeat claims.

        After a process stall, handle the messages that wait in the sockets first, or renewed leases would seem expired.
        """
        self._release_expired(now_ms)
        while self._lease_checks and self._lease_checks[0][0] <= now_ms:
            _, epoch_key = heapq.heappop(self._lease_checks)
            epoch = self._epochs(epoch_key.primary, epoch_key.primary_incarnation).get(epoch_key.epoch)
            if epoch is not None:
                self._check_lease(now_ms, epoch)
        for epoch in list(self._claiming.values()):
            self._continue_claim(now_ms, epoch)

    def _release_expired(self, now_ms: float) -> None:
        while self._expirations and self._expirations[0][0] <= now_ms:
            _, key, identity = heapq.heappop(self._expirations)
            epoch = self._epochs(key.primary, key.primary_incarnation).get(key.epoch)
            if epoch is not None and key.request in epoch.requests:
                self._release(epoch, epoch.requests[key.request])
            else:
                self._unblock(identity, key)

    def _check_lease(self, now_ms: float, epoch: BackupEpoch) -> None:
        epoch.lease_check_scheduled = False
        if epoch.state is not EpochState.OPEN or not epoch.requests:
            return
        if now_ms - epoch.lease_renewed_ms >= self.lease_ms:
            self.counts["leases_out"] += 1
            self._claim(now_ms, epoch)
        else:
            self._schedule_lease_check(epoch.lease_renewed_ms, epoch)

    def _continue_claim(self, now_ms: float, epoch: BackupEpoch) -> None:
        """Retry the claim; take over idempotent requests once its decision is late.

        A witness that was restarted never replies. The claim ends when the last request has expired.
        """
        if not epoch.requests:
            epoch.state = EpochState.OPEN
            del self._claiming[epoch.key]
            return
        if now_ms - epoch.claim_sent_ms >= CLAIM_RETRY_MS:
            self._send_claim(now_ms, epoch)
        if now_ms - epoch.claim_started_ms >= WITNESS_TIMEOUT_MS:
            for stored in [stored for stored in epoch.requests.values() if not stored.requires_ack]:
                self._take_over(epoch, stored)

    @property
    def next_timer_ms(self) -> float:
        """Latest time for the next call of `handle_timers`."""
        last_claim_ms = min((epoch.claim_sent_ms for epoch in self._claiming.values()), default=math.inf)
        claim_ms = last_claim_ms + CLAIM_RETRY_MS
        if not self._lease_checks:
            return claim_ms
        return min(claim_ms, self._lease_checks[0][0])

    def _send(self, receiver: int, message: Message) -> None:
        self._actions.append(SendMessage(receiver, message))
