"""Actions that the replication roles request from their host, and the order in which it carries them out."""

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
    """No backup is available for this local request, or its backup has no capacity: it is not replicated."""

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

    `informed` are instances that know of the other request, the best informed first.
    """

    request: int
    informed: tuple[int, ...]


@dataclass(frozen=True, slots=True)
class YieldToDuplicate:
    """A local request of which no attempt has started must wait for another one of its identity.

    `informed` are instances that know of the other request, the best informed first.
    """

    request: int
    informed: tuple[int, ...]


@dataclass(frozen=True, slots=True)
class LockUnavailable:
    """A local request of which no attempt has started cannot get the lock of its identity in time."""

    request: int


@dataclass(frozen=True, slots=True)
class NotifyLater:
    """A primary's request was rejected as a duplicate; notify the primary of the other request's outcome later."""

    primary: int
    identity: bytes


@dataclass(frozen=True, slots=True)
class ReleaseRequest:
    """A primary's request is no longer stored here, since it completed or expired; it was not taken over."""

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

# All actions of one type are carried out before those of the next: messages to other instances go first, and clients
# that wait for a released request are served before requests are taken over.
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
    """Sort actions by the execution order of their types, stably."""
    return sorted(actions, key=lambda action: _EXECUTION_ORDER[type(action)])
