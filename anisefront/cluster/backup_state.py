"""State of a backup: the epochs of its primaries, and the requests replicated in them."""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import IntEnum
from typing import NamedTuple

from anisefront.cluster.replication_messages import NO_IDENTITY

MAX_CLOSED_EPOCHS = 256  # closed epochs tracked for each primary incarnation; all older epochs are closed
MAX_INCARNATIONS = 4  # incarnations tracked for each primary; the epochs of older ones are closed


class EpochKey(NamedTuple):
    """Identifies an epoch among those of all primaries."""

    primary: int
    primary_incarnation: int
    epoch: int


class RequestKey(NamedTuple):
    """Identifies a replicated request among those of all primaries and epochs."""

    primary: int
    primary_incarnation: int
    epoch: int
    request: int


@dataclass(slots=True, eq=False)
class ReplicatedRequest:
    """A request of another instance, as its backup stores it.

    Attributes:
        request: Its number at its primary.
        requires_ack: Whether it is keyed or non-idempotent.
        deadline_ms: Time at which it expires.
        identity: Digest by which a client's retry is recognized.
        record: The request as its host encodes it.
        attempts: Attempts that may have executed, by number: the endpoint, and the earliest time at which the attempt
            can have started (-inf: unknown).
    """

    request: int
    requires_ack: bool
    deadline_ms: float
    identity: bytes
    record: bytes
    attempts: dict[int, tuple[str, float]] = field(default_factory=dict)

    @property
    def excludes_duplicates(self) -> bool:
        """Whether no other request of its identity may run concurrently."""
        return self.requires_ack and self.identity != NO_IDENTITY


class EpochState(IntEnum):
    """State of an epoch at its backup."""

    OPEN = 0
    CLAIMING = 1  # the witness has not decided on the claim yet
    CLAIMED = 2


@dataclass(slots=True, eq=False)
class BackupEpoch:
    """An epoch of one incarnation of a primary.

    Attributes:
        last_sequence: Number of the last entry applied.
        declined: Requests declined for lack of capacity, until they complete.
        lease_renewed_ms: Time of the primary's last message.
        lease_check_scheduled: Whether a check of the lease is scheduled.
        claim_started_ms: Time of the first claim sent to the witness.
        claim_sent_ms: Time of the last claim sent to the witness.
    """

    key: EpochKey
    witness: int
    witness_incarnation: int
    state: EpochState = EpochState.OPEN
    last_sequence: int = 0
    requests: dict[int, ReplicatedRequest] = field(default_factory=dict)
    declined: set[int] = field(default_factory=set)
    lease_renewed_ms: float = 0.0
    lease_check_scheduled: bool = False
    claim_started_ms: float = 0.0
    claim_sent_ms: float = 0.0


@dataclass(slots=True, eq=False)
class PrimaryEpochs:
    """Epochs of one incarnation of a primary; those up to `closed_up_to` that are not in `by_number` are closed."""

    by_number: dict[int, BackupEpoch] = field(default_factory=dict)
    closed_up_to: int = 0
