"""Log of one epoch at its primary: entries that the backup has not acknowledged, and what is scheduled for it."""

from __future__ import annotations

from collections import deque
from collections.abc import Iterator
from dataclasses import dataclass, field
from typing import NamedTuple

from anisefront.cluster.backup_selection import Replica
from anisefront.cluster.replication_codec import MAX_ENTRIES_BYTES, encode_entry
from anisefront.cluster.replication_messages import Completed, LogEntry

MAX_UNACKNOWLEDGED = 4000  # entries at one backup; beyond them it gets no further request
MAX_ENTRIES_PER_MESSAGE = 255
RETRY_MS = 30.0  # after which unacknowledged entries are sent again


class EncodedEntry(NamedTuple):
    """An entry with its bytes."""

    entry: LogEntry
    data: bytes


@dataclass(slots=True, eq=False)
class EpochLog:
    """What one incarnation of a backup is sent, with one witness over it.

    Attributes:
        is_pinned: Whether its requests stay with the backup while that is a member, however late it is.
        requests: Numbers of the requests that this epoch replicates.
        entries: Entries that are not acknowledged.
        deferred: Entries of idempotent requests of which the backup was not notified yet.
        deferred_due_ms: When these are appended; 0: there are none.
        first_sequence: Number of the first unacknowledged entry.
        last_sent_sequence: Number of the last entry that has been sent.
        last_sent_ms: When something was last sent.
        waiting_since_ms: Since when an acknowledgement that makes progress is awaited.
        retry_ms: When to send again without one.
        releasing: Whether the primary gives up the backup; without a witness nothing ends this state.
        heartbeat_scheduled: Whether `heartbeat_ms` is set.
        heartbeat_unacknowledged: Whether a heartbeat awaits its acknowledgement.
        relayed_count: How often the entries were sent through another instance since the last acknowledgement.
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
        """Whether the backup owes an acknowledgement."""
        return self.last_sent_sequence >= self.first_sequence or self.heartbeat_unacknowledged

    @property
    def next_sequence(self) -> int:
        """Number that the next entry gets."""
        return self.first_sequence + len(self.entries)

    @property
    def has_capacity(self) -> bool:
        """Whether the epoch accepts a further request."""
        return len(self.entries) + len(self.deferred) < MAX_UNACKNOWLEDGED

    def append(self, entry: LogEntry) -> bool:
        """Append an entry; returns whether it is ready to be sent, rather than deferred with its request."""
        if entry.request in self.deferred:
            self.deferred[entry.request].append(entry)
            return False
        self.entries.append(EncodedEntry(entry, encode_entry(entry)))
        return True

    def acknowledge(self, last_sequence: int) -> Iterator[LogEntry]:
        """Remove and yield the entries up to a number."""
        while self.entries and self.first_sequence <= last_sequence:
            entry = self.entries.popleft().entry
            self.first_sequence += 1
            yield entry

    def withdraw(self, request: int) -> None:
        """Replace a request's entries by ones without effect, and send all entries again."""
        without_effect = Completed(request)
        for position, (entry, _) in enumerate(self.entries):
            if entry.request == request:
                self.entries[position] = EncodedEntry(without_effect, encode_entry(without_effect))
        self.last_sent_sequence = self.first_sequence - 1

    def restart_retries(self, now_ms: float) -> None:
        """Measure the retry interval and the backup's timeout from now."""
        self.waiting_since_ms = now_ms
        self.relayed_count = 0
        self.retry_interval_ms = RETRY_MS
        self.retry_ms = now_ms + RETRY_MS

    def batches(self, first_sequence: int) -> Iterator[tuple[int, list[EncodedEntry]]]:
        """Split the entries from a number on into messages, at least one: its first number and its entries."""
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
