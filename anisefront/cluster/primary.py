"""Primary of request replication: which backup stores a request, and when an attempt may start. Free of I/O.

A request is replicated to one backup. An attempt of a keyed or non-idempotent request starts only once the backup has
acknowledged it. So a backup that takes over knows of each attempt that may have executed, regardless of clocks and
pauses (primary-backup replication with a witness; compare Liskov et al., Harp, 1991).

    open --backup late or not alive--> releasing --EpochDecision, released--> its requests go to another backup
      |                                    `-------EpochDecision, claimed---> lost: the backup owns its requests
      `--EpochFenced--> lost

Requests with an identity that must not run twice are pinned: a duplicate at another primary is detected only at their
common backup. So they have epochs of their own, which are released when the backup is not alive, but never because it
is slow. While it does not acknowledge, their entries are also relayed through other instances.

Safety depends on three orderings: an attempt follows the backup's acknowledgement, another backup follows the
witness's decision, and the witness decides for the first request. Timers only trigger retries and the selection of
another backup.
"""

from __future__ import annotations

import math
from collections import Counter
from collections.abc import Mapping
from dataclasses import replace
from types import MappingProxyType

from anisefront.cluster.backup_selection import BackupSelector, Replica, placement_hash, slot_of
from anisefront.cluster.epoch_log import RETRY_MS, EpochLog
from anisefront.cluster.epoch_sender import HEARTBEAT_LEASE_FRACTION, EpochSender
from anisefront.cluster.local_requests import LocalRequest, LocalRequests
from anisefront.cluster.lock_decisions import LockHeld, LockRefused, LockUnavailable
from anisefront.cluster.lock_messages import NO_INSTANCE, LockMessage, LockOwner, LockReplies
from anisefront.cluster.lock_requester import LockRequester
from anisefront.cluster.replication_actions import Action
from anisefront.cluster.replication_messages import (
    NO_IDENTITY,
    Accepted,
    AppendAck,
    AttemptDiscarded,
    AttemptStarted,
    BackupAtCapacity,
    Completed,
    EpochDecision,
    EpochFenced,
    InProgressElsewhere,
    LogEntry,
    Message,
    ReleaseEpoch,
)

MAX_RETRY_MS = 480.0  # limit of the back-off of retries that cannot lead to another backup
NO_ATTEMPTS: Mapping[int, str] = MappingProxyType({})
# Time without an acknowledgement after which another backup is selected, or entries of pinned requests are relayed.
BACKUP_TIMEOUT_MS = 150.0


class Primary:
    """The requests that one process incarnation of an instance replicates to others."""

    def __init__(self, local: Replica, lease_ms: float = 1000.0, locks: LockRequester | None = None) -> None:
        """Initialize without any request.

        Args:
            local: The local instance.
            lease_ms: The lease at its backups.
            locks: Identity locks; None: duplicates are detected only at their common backup.
        """
        self.local = local
        self.counts: Counter[str] = Counter()
        self._selector = BackupSelector(local)
        # Retries also renew the lease at the backup, which would expire with a longer interval.
        self._max_retry_ms = min(MAX_RETRY_MS, lease_ms * HEARTBEAT_LEASE_FRACTION)
        self._sender = EpochSender(lease_ms)
        self._requests = LocalRequests(self._sender, self.counts)
        self._locks = locks if locks is not None and locks.is_required else None

    def __len__(self) -> int:
        """Return the number of replicated requests."""
        return len(self._requests)

    def take_actions(self) -> list[Action]:
        """Return and clear the pending actions."""
        self._carry_out_lock_decisions()
        return [*self._sender.take_messages(), *self._requests.take_actions()]

    # ---- requests --------------------------------------------------------------------------------

    def accept(
        self,
        now_ms: float,
        accepted: Accepted,
        predecessor: LockOwner | None = None,
        has_yielded: bool = False,
        prior_attempts: Mapping[int, str] = NO_ATTEMPTS,
    ) -> bool:
        """Replicate a request; returns False if no backup is available.

        Args:
            now_ms: Clock time.
            accepted: The request.
            predecessor: The request of a failed instance that it continues.
            has_yielded: Whether the client's request has yielded to another one of its identity before.
            prior_attempts: Endpoints of the failed instance's attempts that may have executed, by number.
        """
        local = self._make_local(now_ms, accepted)
        log = self._choose_log(now_ms, local)
        if log is None or (self._is_pinned(local) and not log.has_capacity):
            return False
        local.epoch = log.epoch
        self._requests.add(local)
        self._sender.add_request(now_ms, log, accepted)
        local.attempts.update(prior_attempts)
        local.prior_attempts = frozenset(prior_attempts)
        for attempt, endpoint in sorted(prior_attempts.items()):
            self._sender.append(log, AttemptStarted(accepted.request, attempt, endpoint, awaits_ack=False))
        self._acquire_lock(now_ms, local, predecessor, has_yielded)
        return True

    def accept_without_backup(
        self,
        now_ms: float,
        accepted: Accepted,
        predecessor: LockOwner | None = None,
        has_yielded: bool = False,
    ) -> None:
        """Accept a request without replicating it; it still needs the lock of its identity."""
        local = self._make_local(now_ms, accepted)
        if self._locks is not None and accepted.excludes_duplicates:
            self._requests.add(local)
            self._acquire_lock(now_ms, local, predecessor, has_yielded)

    def _make_local(self, now_ms: float, accepted: Accepted) -> LocalRequest:
        has_identity = accepted.identity != NO_IDENTITY
        slot = slot_of(accepted.identity if has_identity else b"%d" % accepted.request)
        return LocalRequest(accepted, slot, now_ms + accepted.remaining_ms)

    def _is_pinned(self, local: LocalRequest) -> bool:
        """Return whether duplicates are detected only at its backup, since identity locks are not used."""
        return self._locks is None and local.is_pinned

    def _acquire_lock(
        self, now_ms: float, local: LocalRequest, predecessor: LockOwner | None, has_yielded: bool
    ) -> None:
        accepted = local.accepted
        if self._locks is not None and accepted.excludes_duplicates:
            local.is_locked = False
            log = self._sender.logs.get(local.epoch)
            backup = NO_INSTANCE if log is None else log.backup.number
            self._locks.acquire(
                now_ms,
                accepted.identity,
                accepted.request,
                accepted.remaining_ms,
                backup,
                predecessor,
                has_yielded,
            )

    def _update_lock_backup(self, local: LocalRequest) -> None:
        log = self._sender.logs.get(local.epoch)
        if self._locks is not None and log is not None:
            self._locks.set_backup(local.accepted.request, log.backup.number)

    def _carry_out_lock_decisions(self) -> None:
        if self._locks is None:
            return
        for decision in self._locks.take_decisions():
            match decision:
                case LockHeld(request):
                    self._requests.on_locked(request)
                case LockRefused(request, informed):
                    self._requests.on_duplicate(request, informed)
                case LockUnavailable(request):
                    self._requests.on_lock_unavailable(request)

    def may_run_unprotected(self, accepted: Accepted) -> bool:
        """Return whether a request that `accept` did not replicate may run nevertheless.

        One with an identity must not while other instances are live: its backup may know a duplicate.
        """
        return not accepted.excludes_duplicates or not self._selector.has_alternative_to(self.local.number)

    def start_attempt(self, now_ms: float, request: int, attempt: int, endpoint: str) -> bool:
        """Return whether an attempt may start at once.

        If not, a `StartAttempt` follows later, or a `LoseOwnership` of its request.
        """
        local = self._requests.get(request)
        if local is None:
            return True  # not replicated, so that no instance takes it over
        if local.lost:
            return False
        local.attempts[attempt] = endpoint
        log = self._sender.logs.get(local.epoch)
        if log is None:  # no backup is available, and the witness has fenced the last one
            if not local.is_locked:
                local.awaiting_lock.add(attempt)
            return local.is_locked
        requires_ack = local.accepted.requires_ack
        if requires_ack:
            # Started before the acknowledgement, the attempt would be repeated by a backup that takes over.
            local.awaiting_ack.add(attempt)
        if not log.releasing:
            self._sender.append(log, AttemptStarted(request, attempt, endpoint), immediately=requires_ack)
        return not requires_ack

    def discard_attempt(self, now_ms: float, request: int, attempt: int) -> None:
        """Record that an attempt is proven never to have executed."""
        local = self._requests.get(request)
        if local is not None and local.attempts.pop(attempt, None) is not None:
            local.awaiting_ack.discard(attempt)
            local.awaiting_lock.discard(attempt)
            self._append(local, AttemptDiscarded(request, attempt), immediately=False)

    def reject(self, now_ms: float, request: int) -> bool:
        """Return whether the rejection of a request may be delivered at once.

        If not, a `DeliverRejection` follows later, or a `LoseOwnership`.
        """
        local = self._requests.get(request)
        if local is None:
            return True
        if local.lost:
            return False
        if local.epoch not in self._sender.logs or not local.accepted.requires_ack:
            self.complete(now_ms, request)
            return True
        # A rejected client may retry elsewhere: a backup that takes over without knowing of the rejection would run the
        # request concurrently with that retry.
        local.rejection_pending = True
        self._append(local, Completed(request))
        return False

    def complete(
        self, now_ms: float, request: int, must_not_repeat: bool = False, blocks_identity: bool = False
    ) -> None:
        """Record that a request has its final response; the backup is notified with the next entries.

        Args:
            now_ms: Clock time.
            request: The request.
            must_not_repeat: Whether it may have executed and a second execution would be harmful.
            blocks_identity: Whether no other request of its identity may run until its deadline.
        """
        self._end_lock(now_ms, request, must_not_repeat, blocks_identity)
        local = self._requests.remove(request)
        if local is None:
            return
        log = self._sender.logs.get(local.epoch)
        if log is None:
            return
        log.requests.discard(request)
        if log.deferred.pop(request, None) is None and not local.rejection_pending:
            # A client's retry may wait for this entry at the backup.
            self._append(local, Completed(request), immediately=local.accepted.excludes_duplicates)
        self._sender.close_if_finished(log)

    def _end_lock(self, now_ms: float, request: int, must_not_repeat: bool, blocks_identity: bool) -> None:
        if self._locks is None:
            return
        local = self._requests.get(request)
        if local is not None and local.lost:
            self._locks.abandon(request)
        elif blocks_identity:
            self._locks.retain(request)
        elif self.may_have_executed(request):
            self._locks.release_soon(now_ms, request, must_not_repeat)
        else:
            self._locks.release(request)

    def _append(self, local: LocalRequest, entry: LogEntry, immediately: bool = True) -> None:
        log = self._sender.logs.get(local.epoch)
        if log is not None and not log.releasing:
            self._sender.append(log, entry, immediately)

    def may_have_executed(self, request: int) -> bool | None:
        """Return whether a started attempt of a request may have executed; None if the request is not replicated."""
        local = self._requests.get(request)
        return None if local is None else bool(local.uncertain_attempts)

    def uncertain_attempts(self, request: int) -> dict[int, str]:
        """Return the endpoints of the started attempts that may have executed, by number."""
        local = self._requests.get(request)
        return {} if local is None else local.uncertain_attempts

    def has_lock(self, request: int) -> bool:
        """Return whether a request holds the lock of its identity, so that no other of its identity has started."""
        local = self._requests.get(request)
        return self._locks is not None and local is not None and local.is_locked and not local.lost

    def is_lost(self, request: int) -> bool:
        """Return whether another instance owns a request; responses of its attempts may still arrive here."""
        local = self._requests.get(request)
        return local is not None and local.lost

    def backup_of(self, request: int) -> int | None:
        """Return the number of the backup of a request, None without one."""
        local = self._requests.get(request)
        if local is None:
            return None
        log = self._sender.logs.get(local.epoch)
        return log.backup.number if log is not None else None

    def yields_to(self, request: int, other: int) -> bool:
        """Return whether a local request yields to one of its identity at another instance.

        Two instances that are each other's backups would otherwise reject each other's request, or run both. The one
        that ranks first in the order of backups continues.
        """
        if self.backup_of(request) != other:
            return False
        slot = self._requests[request].slot
        return placement_hash(slot, other) < placement_hash(slot, self.local.number)

    # ---- backups ---------------------------------------------------------------------------------

    def update_members(self, now_ms: float, alive: dict[int, Replica]) -> None:
        """Replace the live instances, which exclude the local one."""
        self._selector.update_members(alive)
        if self._locks is not None:
            self._locks.update_members(frozenset(alive))
        for log in list(self._sender.logs.values()):
            if alive.get(log.backup.number) != log.backup:
                self._release(now_ms, log)
            elif log.witness is not None and alive.get(log.witness.number) != log.witness:
                self._on_witness_lost(now_ms, log)

    def _on_witness_lost(self, now_ms: float, log: EpochLog) -> None:
        """Retire an epoch whose witness is lost, so that new requests get another witness.

        Without its witness the epoch cannot be released. One that is being released returns to its backup, or its
        requests would neither move nor be replicated until their deadlines. If the witness had already released it,
        the backup stores none of its requests, and they are unprotected.
        """
        self._sender.retire(log)
        if log.releasing:
            log.releasing = False
            self.counts["keepers_returned_to"] += 1
            self._sender.resend(now_ms, log)

    def _choose_log(self, now_ms: float, local: LocalRequest) -> EpochLog | None:
        if self._is_pinned(local):
            backup = self._selector.common_backup(local.slot)
            return None if backup is None else self._current_log(backup, is_pinned=True)
        for backup in self._selector.candidates(now_ms, local.slot, local.has_identity):
            log = self._current_log(backup, is_pinned=False)
            if log.has_capacity:
                return log
        return None

    def _current_log(self, backup: Replica, is_pinned: bool) -> EpochLog:
        log = self._sender.current(backup.number, is_pinned)
        if log is not None:
            return log
        return self._sender.open(backup, self._selector.witness_for(backup), is_pinned)

    def _release(self, now_ms: float, log: EpochLog) -> None:
        """Move the requests of a lost backup, the non-idempotent ones once the witness has fenced that backup."""
        if log.releasing:
            return
        log.releasing = True
        log.retry_interval_ms = RETRY_MS
        log.deferred.clear()
        self.counts["keepers_left"] += 1
        self._sender.retire(log)
        for request in sorted(log.requests):
            if not self._requests[request].accepted.requires_ack:  # safe to run more than once
                self._move(now_ms, request)
        self._send_release(now_ms, log)

    def _send_release(self, now_ms: float, log: EpochLog) -> None:
        if log.witness is not None and log.requests:
            self._sender.send(log.witness.number, ReleaseEpoch(log.epoch, log.witness.incarnation))
            log.retry_ms = now_ms + log.retry_interval_ms
            self._sender.schedule(log, log.retry_ms)

    def _move(self, now_ms: float, request: int) -> None:
        """Replicate a request to another backup.

        A non-idempotent request must move only after the witness's decision, as the previous backup might have taken it
        over.
        """
        local = self._requests[request]
        self._sender.logs[local.epoch].requests.discard(request)
        if local.rejection_pending:  # no backup stores it any more
            self._requests.deliver_rejection(request)
            return
        log = self._choose_log(now_ms, local)
        if log is None:
            local.epoch = 0
            self.counts["unprotected_since"] += 1
            if self._locks is not None:
                self._locks.set_backup(request, NO_INSTANCE)
            self._requests.continue_without_backup(local)
            return
        local.epoch = log.epoch
        self._update_lock_backup(local)
        remaining_ms = max(0, int(local.deadline_ms - now_ms))
        self._sender.add_request(now_ms, log, replace(local.accepted, remaining_ms=remaining_ms))
        for attempt, endpoint in sorted(local.attempts.items()):
            self._sender.append(log, AttemptStarted(request, attempt, endpoint, attempt in local.not_started))

    # ---- messages --------------------------------------------------------------------------------

    def receive(self, now_ms: float, sender: int, sender_incarnation: int, message: Message | LockMessage) -> None:
        """Handle a message from an authenticated sender."""
        if isinstance(message, EpochDecision):
            self._on_decision(now_ms, sender, sender_incarnation, message)
            return
        if isinstance(message, LockReplies):
            if self._locks is not None:
                self._locks.receive(now_ms, sender, sender_incarnation, message)
            return
        if isinstance(message, AppendAck | EpochFenced | InProgressElsewhere | BackupAtCapacity):
            self._on_backup_message(now_ms, sender, sender_incarnation, message)

    def _on_backup_message(
        self,
        now_ms: float,
        sender: int,
        sender_incarnation: int,
        message: AppendAck | EpochFenced | InProgressElsewhere | BackupAtCapacity,
    ) -> None:
        log = self._sender.logs.get(message.epoch)
        if log is None:
            return
        from_backup = (sender, sender_incarnation) == (log.backup.number, log.backup.incarnation)
        if not from_backup:
            return
        match message:
            case AppendAck():
                self._on_ack(now_ms, log, message.last_sequence)
            case EpochFenced():
                self._lose_epoch(log)
            case InProgressElsewhere() if message.request in log.requests:
                self._on_duplicate(now_ms, log, message.request)
            case BackupAtCapacity() if message.request in log.requests:
                self._on_backup_at_capacity(now_ms, log, message.request)

    def _on_backup_at_capacity(self, now_ms: float, log: EpochLog, request: int) -> None:
        self._requests.on_backup_at_capacity(now_ms, log, request)
        if self._locks is not None:
            self._locks.set_backup(request, NO_INSTANCE)

    def _lose_epoch(self, log: EpochLog) -> None:
        requests = sorted(log.requests)
        self._requests.lose_epoch(log)
        if self._locks is not None:
            for request in requests:
                if self._requests[request].lost:
                    self._locks.abandon(request)

    def _on_duplicate(self, now_ms: float, log: EpochLog, request: int) -> None:
        """Yield to the request that the backup knows, unless this one holds the lock."""
        if self._locks is not None and self._requests[request].is_locked:
            self._on_backup_at_capacity(now_ms, log, request)
            return
        if self._locks is not None:
            self._locks.release(request)
        self._requests.on_duplicate(request, (log.backup.number,))

    def _on_decision(self, now_ms: float, sender: int, sender_incarnation: int, message: EpochDecision) -> None:
        log = self._sender.logs.get(message.epoch)
        if log is None or (message.primary, message.primary_incarnation) != self.local[:2]:
            return
        witness = log.witness
        if witness is None or (sender, sender_incarnation) != (witness.number, witness.incarnation):
            return
        if not log.releasing:
            return
        if message.claimed:
            self._lose_epoch(log)
            return
        for request in sorted(log.requests):
            self._move(now_ms, request)
        self._sender.close_if_finished(log)

    def _on_ack(self, now_ms: float, log: EpochLog, last_sequence: int) -> None:
        progressed = False
        for entry in log.acknowledge(last_sequence):
            progressed = True
            self._requests.on_entry_acknowledged(log, entry)
        if progressed or not log.entries:
            log.heartbeat_unacknowledged = False
            log.restart_retries(now_ms)
            self._selector.mark_responsive(log.backup.number)
        self._sender.close_if_finished(log)

    # ---- timers ----------------------------------------------------------------------------------

    def flush(self, now_ms: float) -> None:
        """Send new entries, and lock requests and releases."""
        self._sender.flush(now_ms)
        if self._locks is not None:
            for action in self._locks.flush(now_ms):
                self._sender.send(action.receiver, action.message)

    def handle_timers(self, now_ms: float) -> None:
        """Send heartbeats, and retry unacknowledged entries and releases.

        After a process stall, handle the messages that wait in the sockets first, or backups that have acknowledged
        would seem unresponsive.
        """
        for log in self._sender.due_logs(now_ms):
            self._sender.append_deferred(now_ms, log)
            self._sender.send_due_heartbeat(now_ms, log)
            self._retry(now_ms, log)
        if self._locks is not None:
            self._locks.handle_timers(now_ms)

    def _retry(self, now_ms: float, log: EpochLog) -> None:
        if now_ms < log.retry_ms:
            if log.awaits_ack or log.releasing:
                self._sender.schedule(log, log.retry_ms)
        elif log.releasing:
            log.retry_interval_ms = min(MAX_RETRY_MS, 2 * log.retry_interval_ms)
            self._send_release(now_ms, log)
        elif log.awaits_ack:
            self._retry_append(now_ms, log)

    def _retry_append(self, now_ms: float, log: EpochLog) -> None:
        """Resend unacknowledged entries; after the timeout, select another backup, or relay the entries if pinned."""
        has_alternative = self._selector.has_alternative_to(log.backup.number)
        has_timed_out = has_alternative and now_ms - log.waiting_since_ms >= BACKUP_TIMEOUT_MS
        if has_timed_out and not log.is_pinned:
            self._selector.mark_unresponsive(now_ms, log.backup.number)
            self._release(now_ms, log)
            return
        if has_timed_out or not has_alternative:
            log.retry_interval_ms = min(self._max_retry_ms, 2 * log.retry_interval_ms)
        self.counts["fed_again"] += 1
        log.retry_ms = now_ms + log.retry_interval_ms
        self._sender.resend(now_ms, log, self._next_relay(log) if has_timed_out else None)
        self._sender.schedule(log, log.retry_ms)

    def _next_relay(self, log: EpochLog) -> int:
        """Return the instance that relays the entries of this retry; each retry uses another one."""
        self.counts["relayed"] += 1
        relay = self._selector.relay_for(log.backup, log.relayed_count)
        log.relayed_count += 1
        return relay.number

    @property
    def next_timer_ms(self) -> float:
        """Latest time for the next call of `handle_timers`; infinite without a timer."""
        lock_timer_ms = self._locks.next_timer_ms if self._locks is not None else math.inf
        return min(self._sender.next_timer_ms, lock_timer_ms)
