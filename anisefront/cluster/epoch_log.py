"""Log of one epoch at its primary: unacknowledged entries, and the state of retries and heartbeats."""

from __future__ import annotations

from collections import deque
from collections.abc import Iterator
from dataclasses import dataclass, field
from typing import NamedTuple

from anisefront.cluster.backup_selection import Replica
from anisefront.cluster.replication_codec import MAX_ENTRIES_BYTES, encode_entry
from anisefront.cluster.replication_messages import Completed, LogEntry

MAX_UNACKNOWLEDGED = 4000  # entries at one backup, beyond which it gets no further request
MAX_ENTRIES_PER_MESSAGE = 255
RETRY_MS = 30.0  # after which unacknowledged entries are sent again


class EncodedEntry(NamedTuple):
    """An entry with its encoded bytes."""

    entry: LogEntry
    data: bytes


@dataclass(slots=True, eq=False)
class EpochLog:
    """The log that is sent to one incarnation of a backup, under one witness.

    Attributes:
        is_pinned: Whether its requests stay with the backup while that is a member, even if it is unresponsive.
        requests: Numbers of the requests that this epoch replicates.
        entries: Unacknowledged entries.
        deferred: Entries of idempotent requests that are not appended yet.
        deferred_due_ms: Time at which these are appended; 0 without any.
        first_sequence: Number of the first unacknowledged entry.
        last_sent_sequence: Number of the last entry that has been sent.
        last_sent_ms: Time of the last message.
        waiting_since_ms: Time from which on an acknowledgement that makes progress is awaited.
        retry_ms: Time of the next retry without one.
        releasing: Whether the primary is releasing the backup; without a witness nothing ends this state.
        heartbeat_scheduled: Whether `heartbeat_ms` is set.
        heartbeat_unacknowledged: Whether a heartbeat awaits its acknowledgement.
        relayed_count: Number of relayed transmissions since the last acknowledgement.
    """

    epoch: int
    backup: Replica
    witness: Replica | None
    is_pinned: bool = False
    requests: set[int] = field(default_factory=set)
    entries: deque[EncodedEntry] = field(default_factory=deque)
    deferred: dict[int, list[LogEntry]] = field(default_factory=dict)
    deferred_due_ms: float = 0.0
    first_sequence: int = 1
    last_sent_sequence: int = 0
    last_sent_ms: float = 0.0
    waiting_since_ms: float = 0.0
    retry_ms: float = 0.0
    retry_interval_ms: float = RETRY_MS
    releasing: bool = False
    heartbeat_scheduled: bool = False
    heartbeat_ms: float = 0.0
    heartbeat_unacknowledged: bool = False
    relayed_count: int = 0

    @property
    def awaits_ack(self) -> bool:
        """Whether an acknowledgement of the backup is outstanding."""
        return self.last_sent_sequence >= self.first_sequence or self.heartbeat_unacknowledged

    @property
    def next_sequence(self) -> int:
        """Number of the next entry."""
        return self.first_sequence + len(self.entries)

    @property
    def has_capacity(self) -> bool:
        """Whether the epoch accepts a further request."""
        return len(self.entries) + len(self.deferred) < MAX_UNACKNOWLEDGED

    def append(self, entry: LogEntry) -> bool:
        """Append an entry; returns whether it is ready to be sent, False if it is deferred with its request."""
        if entry.request in self.deferred:
            self.deferred[entry.request].append(entry)
            return False
        self.entries.append(EncodedEntry(entry, encode_entry(entry)))
        return True

    def acknowledge(self, last_sequence: int) -> Iterator[LogEntry]:
        """Remove and yield the entries up to a sequence number."""
        while self.entries and self.first_sequence <= last_sequence:
            entry = self.entries.popleft().entry
            self.first_sequence += 1
            yield entry

    def withdraw(self, request: int) -> None:
        """Replace a request's entries by no-ops, and have all entries sent again."""
        no_op = Completed(request)
        for position, (entry, _) in enumerate(self.entries):
            if entry.request == request:
                self.entries[position] = EncodedEntry(no_op, encode_entry(no_op))
        self.last_sent_sequence = self.first_sequence - 1

    def restart_retries(self, now_ms: float) -> None:
        """Restart the retry interval and the backup's timeout."""
        self.waiting_since_ms = now_ms
        self.relayed_count = 0
        self.retry_interval_ms = RETRY_MS
        self.retry_ms = now_ms + RETRY_MS

    def batches(self, first_sequence: int) -> Iterator[tuple[int, list[EncodedEntry]]]:
        """Split the entries from a sequence number on into batches, at least one: first sequence number and entries."""
        batch = list[EncodedEntry]()
        size = 0
        batch_sequence = first_sequence
        for sequence in range(first_sequence, self.next_sequence):
            encoded = self.entries[sequence - self.first_sequence]
            too_large = size + len(encoded.data) > MAX_ENTRIES_BYTES
            if batch and (too_large or len(batch) == MAX_ENTRIES_PER_MESSAGE):
                yield batch_sequence, batch
                batch = []
                size = 0
                batch_sequence = sequence
            batch.append(encoded)
            size += len(encoded.data)
        yield batch_sequence, batch
