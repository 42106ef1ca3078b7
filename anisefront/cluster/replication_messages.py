"""Typed log entries and messages of request replication.

primary --Append-->              backup    numbered entries of one epoch, applied in order only
primary <--AppendAck--           backup    all entries up to this number are known
primary <--EpochFenced--         backup    the backup has claimed the epoch: the primary must send nothing more
primary --ReleaseEpoch-->        witness   the primary gives up the epoch's backup
backup  --ClaimEpoch-->          witness   the backup takes the epoch over
either  <--EpochDecision--       witness   who owns the epoch: the first who claimed or released it, permanently
primary <--InProgressElsewhere-- backup    a request of this identity is in progress elsewhere: this one must not run
primary <--OutcomeReply--        backup    the outcome of the other request
primary --OutcomeQuery-->        backup    asks for that outcome, as a lost reply is not repeated by itself
primary <--BackupFull--          backup    no capacity for this request: it continues without a backup
any     --RelayRequest-->        any       asks an instance to pass a message on to one that can't be reached directly
any     <--RelayedMessage--      any       a message that was passed on for another instance
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
        requires_ack: Whether it is keyed or non-idempotent, so that attempts wait for an acknowledgement.
        remaining_ms: Time until its deadline.
        identity: Digest by which a client's retry is recognized; `NO_IDENTITY` where there is none.
        record: The request as its host encodes it.
    """

    request: int
    requires_ack: bool
    remaining_ms: int
    identity: bytes
    record: bytes

    @property
    def excludes_duplicates(self) -> bool:
        """Whether no other request of its identity may run beside it."""
        return self.requires_ack and self.identity != NO_IDENTITY


@dataclass(frozen=True, slots=True)
class AttemptStarted:
    """An attempt is about to start at an endpoint.

    `awaits_ack` is false for an attempt that started earlier, while another instance was the backup; it is set for
    attempts of idempotent requests too, although these start without an acknowledgement.
    """

    request: int
    attempt: int
    endpoint: str
    awaits_ack: bool = True


@dataclass(frozen=True, slots=True)
class AttemptDiscarded:
    """An attempt is proved never to have executed."""

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

    Epochs below `oldest_epoch` are finished. `encoded_entries` holds the entries' bytes where they exist already.
    """

    epoch: int
    backup_incarnation: int
    witness: int  # number of a gateway instance; -1: none
    witness_incarnation: int
    oldest_epoch: int
    first_sequence: int
    entries: tuple[LogEntry, ...]
    encoded_entries: bytes = field(default=b"", compare=False, repr=False)


@dataclass(frozen=True, slots=True)
class AppendAck:
    """The backup knows all entries of the epoch up to this number and has not claimed the epoch."""

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
class BackupFull:
    """The backup has no capacity: it does not know this request and never will."""

    epoch: int
    request: int


@dataclass(frozen=True, slots=True)
class OutcomeQuery:
    """Asks for the outcome of the request in progress that has this identity."""

    identity: bytes


class Outcome(IntEnum):
    """Outcome of a request that blocked another of its identity."""

    NEVER_EXECUTED = 0  # or endpoints drop a repeated execution: the other may run
    MAY_HAVE_EXECUTED = 1
    RESPONDED = 2  # the response is included


@dataclass(frozen=True, slots=True)
class OutcomeReply:
    """Notifies those whose requests got `InProgressElsewhere`; `response` is encoded by the host."""

    identity: bytes
    outcome: Outcome
    response: bytes = b""


@dataclass(frozen=True, slots=True)
class ReleaseEpoch:
    """Notifies the witness that the epoch's backup must not claim it; sent by the primary."""

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
    """Asks for a message, in its encoded form, to be passed on to another instance."""

    receiver: int
    data: bytes


@dataclass(frozen=True, slots=True)
class RelayedMessage:
    """A message, in its encoded form, that was passed on for one process incarnation of another instance."""

    origin: int
    origin_incarnation: int
    data: bytes


@dataclass(frozen=True, slots=True)
class Bundle:
    """Several messages, in their encoded form, to one receiver in one datagram."""

    messages: tuple[bytes, ...]


Message = (
    Append
    | AppendAck
    | EpochFenced
    | InProgressElsewhere
    | BackupFull
    | OutcomeReply
    | OutcomeQuery
    | ReleaseEpoch
    | ClaimEpoch
    | EpochDecision
    | RelayRequest
    | RelayedMessage
    | Bundle
)
