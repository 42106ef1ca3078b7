"""Typed log entries and messages of request replication.

primary --Append-->              backup    numbered entries of one epoch, applied in sequence
primary <--AppendAck--           backup    all entries up to this number are applied
primary <--EpochFenced--         backup    the backup has claimed the epoch: the primary must send nothing more
primary --ReleaseEpoch-->        witness   the primary gives up the epoch's backup
backup  --ClaimEpoch-->          witness   the backup takes the epoch over
either  <--EpochDecision--       witness   the owner of the epoch: the first to claim or release it, permanently
primary <--InProgressElsewhere-- backup    another request of this identity is in progress: this one must not run
primary <--OutcomeReply--        backup    the outcome of the other request
primary --OutcomeQuery-->        backup    queries that outcome, as a lost reply is not repeated by itself
primary <--BackupAtCapacity--    backup    no capacity for this request: it continues without a backup
any     --RelayRequest-->        any       requests forwarding of a message to an instance that is not reached directly
any     <--RelayedMessage--      any       a message forwarded for another instance
any     --Bundle-->              any       several messages in one datagram
"""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import IntEnum

NO_IDENTITY = bytes(8)


@dataclass(frozen=True, slots=True)
class Accepted:
    """The primary has accepted a request.

    Attributes:
        request: Its number at the primary.
        requires_ack: Whether it is keyed or non-idempotent, so that attempts await an acknowledgement.
        remaining_ms: Time until its deadline.
        identity: Digest by which a client's retry is recognized; `NO_IDENTITY` without one.
        record: The request as its host encodes it.
    """

    request: int
    requires_ack: bool
    remaining_ms: int
    identity: bytes
    record: bytes

    @property
    def excludes_duplicates(self) -> bool:
        """Whether no other request of its identity may run concurrently."""
        return self.requires_ack and self.identity != NO_IDENTITY


@dataclass(frozen=True, slots=True)
class AttemptStarted:
    """An attempt is about to start at an endpoint.

    `awaits_ack` is false for an attempt that started earlier, under another backup. It is also true for attempts of
    idempotent requests, although these start without an acknowledgement.
    """

    request: int
    attempt: int
    endpoint: str
    awaits_ack: bool = True


@dataclass(frozen=True, slots=True)
class AttemptDiscarded:
    """An attempt is proven never to have executed."""

    request: int
    attempt: int


@dataclass(frozen=True, slots=True)
class Completed:
    """The request has its final response."""

    request: int


LogEntry = Accepted | AttemptStarted | AttemptDiscarded | Completed


@dataclass(frozen=True, slots=True)
class Append:
    """Entries of an epoch from `first_sequence` on, for one process incarnation of the backup.

    Epochs below `oldest_epoch` are finished. `encoded_entries` caches the encoded entries, if available.
    """

    epoch: int
    backup_incarnation: int
    witness: int  # instance number; -1: none
    witness_incarnation: int
    oldest_epoch: int
    first_sequence: int
    entries: tuple[LogEntry, ...]
    encoded_entries: bytes = field(default=b"", compare=False, repr=False)


@dataclass(frozen=True, slots=True)
class AppendAck:
    """The backup has applied all entries of the epoch up to this number and has not claimed the epoch."""

    epoch: int
    last_sequence: int


@dataclass(frozen=True, slots=True)
class EpochFenced:
    """The backup has claimed the epoch."""

    epoch: int


@dataclass(frozen=True, slots=True)
class InProgressElsewhere:
    """The backup knows another request of this identity: this one must not run."""

    epoch: int
    request: int


@dataclass(frozen=True, slots=True)
class BackupAtCapacity:
    """The backup has no capacity for this request and will never store it."""

    epoch: int
    request: int


@dataclass(frozen=True, slots=True)
class OutcomeQuery:
    """Queries the outcome of the request in progress with this identity."""

    identity: bytes


class Outcome(IntEnum):
    """Outcome of a request that blocked another one of its identity."""

    NEVER_EXECUTED = 0  # or endpoints deduplicate executions: the other request may run
    MAY_HAVE_EXECUTED = 1
    RESPONDED = 2  # with the response


@dataclass(frozen=True, slots=True)
class OutcomeReply:
    """Notifies the owners of requests that got `InProgressElsewhere`; `response` is encoded by the host."""

    identity: bytes
    outcome: Outcome
    response: bytes = b""


@dataclass(frozen=True, slots=True)
class ReleaseEpoch:
    """Releases an epoch, so that its backup must not claim it; sent to the witness by the primary."""

    epoch: int
    witness_incarnation: int


@dataclass(frozen=True, slots=True)
class ClaimEpoch:
    """Claims an epoch of one process incarnation of a primary; sent to the witness by the backup."""

    primary: int
    primary_incarnation: int
    epoch: int
    witness_incarnation: int


@dataclass(frozen=True, slots=True)
class EpochDecision:
    """The witness's decision on an epoch: claimed by its backup, or released by its primary."""

    primary: int
    primary_incarnation: int
    epoch: int
    claimed: bool


@dataclass(frozen=True, slots=True)
class RelayRequest:
    """Requests that an encoded message be forwarded to another instance."""

    receiver: int
    data: bytes


@dataclass(frozen=True, slots=True)
class RelayedMessage:
    """An encoded message, forwarded for one process incarnation of another instance."""

    origin: int
    origin_incarnation: int
    data: bytes


@dataclass(frozen=True, slots=True)
class Bundle:
    """Several encoded messages to one receiver in one datagram."""

    messages: tuple[bytes, ...]


Message = (
    Append
    | AppendAck
    | EpochFenced
    | InProgressElsewhere
    | BackupAtCapacity
    | OutcomeReply
    | OutcomeQuery
    | ReleaseEpoch
    | ClaimEpoch
    | EpochDecision
    | RelayRequest
    | RelayedMessage
    | Bundle
)
