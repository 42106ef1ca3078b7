"""Sender of one primary: sends entries and heartbeats of all epochs to the backups, and schedules retries."""

from __future__ import annotations

import heapq
import math
from collections.abc import Iterator

from anisefront.cluster.backup_selection import Replica
from anisefront.cluster.epoch_log import EncodedEntry, EpochLog
from anisefront.cluster.replication_actions import SendMessage
from anisefront.cluster.replication_codec import encode
from anisefront.cluster.replication_messages import Accepted, Append, LogEntry, Message, RelayRequest

HEARTBEAT_LEASE_FRACTION = 0.25  # heartbeat interval, as a fraction of the lease, while a backup stores requests
DEFERRAL_MS = 20.0  # delay before idempotent requests are appended: most complete earlier and cost no message
_NO_WITNESS = Replica(-1, 0)


class EpochSender:
    """Logs of all open epochs of one primary, with their timers."""

    def __init__(self, lease_ms: float) -> None:
        """Initialize without any epoch; `lease_ms` is the backups' lease, which heartbeats renew."""
        self.lease_ms = lease_ms
        self.logs: dict[int, EpochLog] = {}  # by epoch
        self._messages: list[SendMessage] = []
        # Epoch that accepts new requests, by number of the backup and whether the requests are pinned to it.
        self._current: dict[tuple[int, bool], int] = {}
        self._open_epochs: dict[int, list[int]] = {}  # by number of the backup, oldest first
        self._unsent: dict[int, None] = {}  # epochs with new entries, in the order of their first new entry
        self._schedule: list[tuple[float, int]] = []  # time and epoch
        self._last_epoch = 0

    def take_messages(self) -> list[SendMessage]:
        """Return and clear the pending messages."""
        messages = self._messages
        self._messages = []
        return messages

    def send(self, receiver: int, message: Message) -> None:
        """Queue a message to be sent."""
        self._messages.append(SendMessage(receiver, message))

    # ---- epochs ----------------------------------------------------------------------------------

    def open(self, backup: Replica, witness: Replica | None, is_pinned: bool) -> EpochLog:
        """Open an epoch for the new requests of a backup; its witness learns of it only when the epoch is contested."""
        self._last_epoch += 1
        log = EpochLog(self._last_epoch, backup, witness, is_pinned)
        self.logs[log.epoch] = log
        self._current[backup.number, is_pinned] = log.epoch
        self._open_epochs.setdefault(backup.number, []).append(log.epoch)
        return log

    def current(self, backup: int, is_pinned: bool) -> EpochLog | None:
        """Return the epoch that accepts the new requests of a backup."""
        return self.logs.get(self._current.get((backup, is_pinned), 0))

    def is_current(self, log: EpochLog) -> bool:
        """Return whether an epoch accepts new requests."""
        return self._current.get((log.backup.number, log.is_pinned)) == log.epoch

    def retire(self, log: EpochLog) -> None:
        """Stop accepting new requests in an epoch; those of its backup go to another one."""
        if self.is_current(log):
            del self._current[log.backup.number, log.is_pinned]

    def close(self, log: EpochLog) -> None:
        """Remove an epoch."""
        del self.logs[log.epoch]
        self._open_epochs[log.backup.number].remove(log.epoch)

    def close_if_finished(self, log: EpochLog) -> None:
        """Remove an epoch that accepts no requests, replicates none, and has nothing to send."""
        if log.requests or self.is_current(log) or log.epoch not in self.logs:
            return
        if log.releasing or not log.entries:
            self.close(log)

    # ---- entries ---------------------------------------------------------------------------------

    def add_request(self, now_ms: float, log: EpochLog, accepted: Accepted) -> None:
        """Append the first entry of a request; that of an idempotent request is deferred."""
        log.requests.add(accepted.request)
        if accepted.requires_ack:
            self.append(log, accepted)
        else:
            log.deferred[accepted.request] = [accepted]
            if not log.deferred_due_ms:
                log.deferred_due_ms = now_ms + DEFERRAL_MS
                self.schedule(log, log.deferred_due_ms)
        self._schedule_heartbeat(now_ms, log)

    def append(self, log: EpochLog, entry: LogEntry, immediately: bool = True) -> None:
        """Append an entry; unless sent immediately, it goes with the next entry or heartbeat."""
        if log.append(entry) and immediately:
            self.mark_unsent(log)

    def mark_unsent(self, log: EpochLog) -> None:
        """Have the entries of an epoch sent by the next `flush`."""
        self._unsent[log.epoch] = None

    def flush(self, now_ms: float) -> None:
        """Send the new entries."""
        for epoch in self._unsent:
            log = self.logs.get(epoch)
            if log is not None and not log.releasing and log.next_sequence - 1 > log.last_sent_sequence:
                self.send_new_entries(now_ms, log)
        self._unsent.clear()

    def send_new_entries(self, now_ms: float, log: EpochLog) -> None:
        """Send the entries that have not been sent; a message without entries is a heartbeat."""
        self._send_entries(now_ms, log, max(log.first_sequence, log.last_sent_sequence + 1))

    def resend(self, now_ms: float, log: EpochLog, relay: int | None = None) -> None:
        """Send all unacknowledged entries again, if `relay` is given also through that instance."""
        self._send_entries(now_ms, log, log.first_sequence, relay)

    def _send_entries(self, now_ms: float, log: EpochLog, first_sequence: int, relay: int | None = None) -> None:
        if not log.awaits_ack:
            # Restarted by every message, the timer would never retry a lost entry while others follow it.
            log.restart_retries(now_ms)
            self.schedule(log, log.retry_ms)
        for batch_sequence, batch in log.batches(first_sequence):
            append = self._make_append(log, batch_sequence, batch)
            self.send(log.backup.number, append)
            if relay is not None:
                self.send(relay, RelayRequest(log.backup.number, encode(append)))
        log.last_sent_sequence = max(log.last_sent_sequence, log.next_sequence - 1)
        log.last_sent_ms = now_ms

    def _make_append(self, log: EpochLog, first_sequence: int, batch: list[EncodedEntry]) -> Append:
        witness = log.witness or _NO_WITNESS
        return Append(
            epoch=log.epoch,
            backup_incarnation=log.backup.incarnation,
            witness=witness.number,
            witness_incarnation=witness.incarnation,
            oldest_epoch=self._open_epochs[log.backup.number][0],
            first_sequence=first_sequence,
            entries=tuple(encoded.entry for encoded in batch),
            encoded_entries=b"".join(encoded.data for encoded in batch),
        )

    # ---- schedule --------------------------------------------------------------------------------

    def schedule(self, log: EpochLog, at_ms: float) -> None:
        """Schedule a check of an epoch."""
        heapq.heappush(self._schedule, (at_ms, log.epoch))

    def due_logs(self, now_ms: float) -> Iterator[EpochLog]:
        """Yield the epochs to check now, including those scheduled for now meanwhile."""
        while self._schedule and self._schedule[0][0] <= now_ms:
            _, epoch = heapq.heappop(self._schedule)
            log = self.logs.get(epoch)
            if log is not None:
                yield log

    @property
    def next_timer_ms(self) -> float:
        """Time of the next scheduled check; infinite without one."""
        return self._schedule[0][0] if self._schedule else math.inf

    def append_deferred(self, now_ms: float, log: EpochLog) -> None:
        """Append the deferred entries of the requests that are still in flight, once `DEFERRAL_MS` has passed."""
        if not log.deferred_due_ms or now_ms < log.deferred_due_ms:
            return
        deferred = log.deferred
        log.deferred = {}
        log.deferred_due_ms = 0.0
        for entries in deferred.values():
            for entry in entries:
                self.append(log, entry)

    def send_due_heartbeat(self, now_ms: float, log: EpochLog) -> None:
        """Renew the lease at a backup that has received nothing recently, which would claim the epoch otherwise."""
        if not log.heartbeat_scheduled or log.releasing or now_ms < log.heartbeat_ms:
            return
        log.heartbeat_scheduled = False
        if not log.requests and not log.entries:
            return
        idle_ms = now_ms - log.last_sent_ms
        is_idle = idle_ms >= self.lease_ms * HEARTBEAT_LEASE_FRACTION / 2
        if not log.awaits_ack and (log.entries or is_idle):
            self.send_new_entries(now_ms, log)
            log.heartbeat_unacknowledged = True
        self._schedule_heartbeat(now_ms, log)

    def _schedule_heartbeat(self, now_ms: float, log: EpochLog) -> None:
        if not log.heartbeat_scheduled:
            log.heartbeat_scheduled = True
            log.heartbeat_ms = now_ms + self.lease_ms * HEARTBEAT_LEASE_FRACTION
            self.schedule(log, log.heartbeat_ms)
