"""Epochs of one primary: sends their entries and heartbeats to the backups, and schedules retries."""

from __future__ import annotations

import heapq
import math
from collections.abc import Iterator

from anisefront.cluster.backup_selection import Replica
from anisefront.cluster.epoch_log import EncodedEntry, EpochLog
from anisefront.cluster.replication_actions import SendMessage
from anisefront.cluster.replication_codec import encode
from anisefront.cluster.replication_messages import Accepted, Append, LogEntry, Message, RelayRequest

HEARTBEAT_LEASE_FRACTION = 0.25  # of a lease: interval of heartbeats while a backup stores something
DEFERRAL_MS = 20.0  # idempotent requests are appended so late: most have completed by then and cost no message
_NO_WITNESS = Replica(-1, 0)


class EpochSender:
    """Logs of all open epochs of one primary, and their schedule."""

    def __init__(self, lease_ms: float) -> None:
        """Initialize without any epoch; `lease_ms` is the backups' lease, which heartbeats renew."""
        self.lease_ms = lease_ms
        self.logs: dict[int, EpochLog] = {}  # by epoch
        self._messages: list[SendMessage] = []
        # Epoch that takes new requests, by number of the backup and whether they are pinned to it.
        self._current: dict[tuple[int, bool], int] = {}
        self._open_epochs: dict[int, list[int]] = {}  # by number of the backup, the oldest first
        self._unsent: dict[int, None] = {}  # epochs with new entries, in the order of the first of these
        self._schedule: list[tuple[float, int]] = []  # when to look at an epoch
        self._last_epoch = 0

    def take_messages(self) -> list[SendMessage]:
        """Return the messages to send, and keep none."""
        messages = self._messages
        self._messages = []
        return messages

    def send(self, receiver: int, message: Message) -> None:
        """Send a message, after those that were sent before."""
        self._messages.append(SendMessage(receiver, message))

    # ---- epochs ----------------------------------------------------------------------------------

    def open(self, backup: Replica, witness: Replica | None, is_pinned: bool) -> EpochLog:
        """Open an epoch that takes the new requests of a backup; its witness learns of it only in a conflict."""
        self._last_epoch += 1
        log = EpochLog(self._last_epoch, backup, witness, is_pinned)
        self.logs[log.epoch] = log
        self._current[backup.number, is_pinned] = log.epoch
        self._open_epochs.setdefault(backup.number, []).append(log.epoch)
        return log

    def current(self, backup: int, is_pinned: bool) -> EpochLog | None:
        """Return the epoch that takes the new requests of a backup."""
        return self.logs.get(self._current.get((backup, is_pinned), 0))

    def is_current(self, log: EpochLog) -> bool:
        """Return whether an epoch takes new requests."""
        return self._current.get((log.backup.number, log.is_pinned)) == log.epoch

    def retire(self, log: EpochLog) -> None:
        """Let new requests of this backup go to another epoch."""
        if self.is_current(log):
            del self._current[log.backup.number, log.is_pinned]

    def close(self, log: EpochLog) -> None:
        """Remove an epoch."""
        del self.logs[log.epoch]
        self._open_epochs[log.backup.number].remove(log.epoch)

    def close_if_finished(self, log: EpochLog) -> None:
        """Remove an epoch that takes no requests, replicates none, and has nothing to send."""
        if log.requests or self.is_current(log) or log.epoch not in self.logs:
            return
        if log.releasing or not log.entries:
            self.close(log)

    # ---- entries ---------------------------------------------------------------------------------

    def add_request(self, now_ms: float, log: EpochLog, accepted: Accepted) -> None:
        """Append the first entry of a request; one that is idempotent is deferred."""
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
        """Append an entry; one that is not sent immediately goes with the next one, or with a heartbeat."""
        if log.append(entry) and immediately:
            self.mark_unsent(log)

    def mark_unsent(self, log: EpochLog) -> None:
        """Send an epoch's entries by the next `flush`."""
        self._unsent[log.epoch] = None

    def flush(self, now_ms: float) -> None:
        """Send the new entries."""
        for epoch in self._unsent:
            log = self.logs.get(epoch)
            if log is not None and not log.releasing and log.next_sequence - 1 > log.last_sent_sequence:
                self.send_new_entries(now_ms, log)
        self._unsent.clear()

    def send_new_entries(self, now_ms: float, log: EpochLog) -> None:
        """Send the entries that have not been sent; without any, the message is a heartbeat."""
        self._send_entries(now_ms, log, max(log.first_sequence, log.last_sent_sequence + 1))

    def resend(self, now_ms: float, log: EpochLog, relay: int | None = None) -> None:
        """Send all unacknowledged entries, through another instance too if one is given."""
        self._send_entries(now_ms, log, log.first_sequence, relay)

    def _send_entries(self, now_ms: float, log: EpochLog, first_sequence: int, relay: int | None = None) -> None:
        if not log.awaits_ack:
            # Counted from the last message instead, a lost entry would never be retried while others follow it.
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
        """Look at an epoch at a time."""
        heapq.heappush(self._schedule, (at_ms, log.epoch))

    def due_logs(self, now_ms: float) -> Iterator[EpochLog]:
        """Yield the epochs to look at, also those that come due meanwhile."""
        while self._schedule and self._schedule[0][0] <= now_ms:
            _, epoch = heapq.heappop(self._schedule)
            log = self.logs.get(epoch)
            if log is not None:
                yield log

    @property
    def next_timer_ms(self) -> float:
        """Time of the next epoch to look at; infinite without one."""
        return self._schedule[0][0] if self._schedule else math.inf

    def append_deferred(self, now_ms: float, log: EpochLog) -> None:
        """Append the deferred entries of the requests that are still in flight, once they are due."""
        if not log.deferred_due_ms or now_ms < log.deferred_due_ms:
            return
        deferred = log.deferred
        log.deferred = {}
        log.deferred_due_ms = 0.0
        for entries in deferred.values():
            for entry in entries:
                self.append(log, entry)

    def send_due_heartbeat(self, now_ms: float, log: EpochLog) -> None:
        """Renew the lease at a backup that has received nothing for long; it would claim the epoch otherwise."""
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
