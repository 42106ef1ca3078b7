"""Actions that the replication roles want their host to carry out, in the order in which it must do so."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass

from anisefront.cluster.backup_state import ReplicatedRequest
from anisefront.cluster.lock_messages import LockMessage
from anisefront.cluster.replication_messages import Message


@dataclass(frozen=True, slots=True)
class SendMessage:
    """Send a message to a peer."""

    receiver: int
    message: Message | LockMessage


@dataclass(frozen=True, slots=True)
class ReplicationUnavailable:
    """No backup is available for this local request, or the one had no capacity: no instance replicates it."""

    request: int


@dataclass(frozen=True, slots=True)
class StartAttempt:
    """A postponed attempt may start now."""

    request: int
    attempt: int


@dataclass(frozen=True, slots=True)
class DeliverRejection:
    """A postponed rejection may be delivered now."""

    request: int


@dataclass(frozen=True, slots=True)
class LoseOwnership:
    """No further attempt of this local request may start here: another instance owns it or its identity.

    `informed` are instances that know of the other one, the first of them best.
    """

    request: int
    informed: tuple[int, ...]


@dataclass(frozen=True, slots=True)
class YieldToDuplicate:
    """A local request of which no attempt has started must wait for another of its identity.

    `informed` are instances that know of that one, the first of them best.
    """

    request: int
    informed: tuple[int, ...]


@dataclass(frozen=True, slots=True)
class LockUnavailable:
    """A local request of which no attempt has started can't get the lock of its identity in time."""

    request: int


@dataclass(frozen=True, slots=True)
class NotifyLater:
    """A primary's request was rejected as a duplicate; the primary is to be notified of the other's outcome."""

    primary: int
    identity: bytes


@dataclass(frozen=True, slots=True)
class ReleaseRequest:
    """A request of a primary is replicated here no longer, and not owned here: completed, or expired."""

    primary: int
    primary_incarnation: int
    replica: ReplicatedRequest


@dataclass(frozen=True, slots=True)
class TakeOver:
    """This instance owns a request of a failed primary from now on."""

    primary: int
    primary_incarnation: int
    replica: ReplicatedRequest


Action = (
    SendMessage
    | ReplicationUnavailable
    | StartAttempt
    | DeliverRejection
    | LoseOwnership
    | YieldToDuplicate
    | LockUnavailable
    | NotifyLater
    | ReleaseRequest
    | TakeOver
)

# All actions of one type are carried out before those of the next: what other instances must learn first goes first,
# and a client that waits for a released request is served before the requests that are taken over.
_EXECUTION_ORDER: dict[type[Action], int] = {
    SendMessage: 0,
    ReplicationUnavailable: 1,
    StartAttempt: 2,
    DeliverRejection: 3,
    LoseOwnership: 4,
    YieldToDuplicate: 5,
    LockUnavailable: 6,
    NotifyLater: 7,
    ReleaseRequest: 8,
    TakeOver: 9,
}


def in_execution_order(actions: Iterable[Action]) -> list[Action]:
    """Sort actions by type, those of one type in the order given."""
    return sorted(actions, key=lambda action: _EXECUTION_ORDER[type(action)])
