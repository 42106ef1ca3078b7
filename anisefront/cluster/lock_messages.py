"""Typed messages of identity locks, which decide who may run the requests of one identity.

owner --LockRequests-->       voter   requests votes on identities; repeated until a majority has replied
owner <--LockReplies--        voter   the vote, or its holder; repeated to a holder whose lock another requests
owner --LockReleases-->       voter   the owner's requests have ended
voter --LockRecoveryQuery-->  all     a restarted voter has lost its votes, and asks which locks are known
voter <--LockRecoveryReply--  all     one page of the locks that an instance knows
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import NamedTuple

NO_INSTANCE = 0xFFFF  # sentinel in place of an instance's number


class LockOwner(NamedTuple):
    """A request of one process incarnation of an instance."""

    number: int
    incarnation: int
    request: int


@dataclass(frozen=True, slots=True)
class LockRequest:
    """Requests a vote.

    Attributes:
        identity: Digest of the identity.
        request: Number of the request at its instance.
        remaining_ms: Time until its deadline, after which the vote expires.
        backup: The instance that stores the request; `NO_INSTANCE` for none.
        has_yielded: Whether the client's request has yielded to another one of the identity before.
        predecessor: The request of a failed instance that this request continues.
    """

    identity: bytes
    request: int
    remaining_ms: int
    backup: int = NO_INSTANCE
    has_yielded: bool = False
    predecessor: LockOwner | None = None

    @property
    def follows_another(self) -> bool:
        """Whether it must not run if another request of the identity was executed meanwhile."""
        return self.has_yielded or self.predecessor is not None


@dataclass(frozen=True, slots=True)
class LockRequests:
    """Requests votes of one voter; `placement` is the digest of the voters' placement."""

    placement: bytes
    requests: tuple[LockRequest, ...]


@dataclass(frozen=True, slots=True)
class LockRelease:
    """Releases the lock of a request, and that of its predecessor.

    `may_have_executed`: it must not be executed again, so requests that yielded to it, or were taken over, must not
    run.
    """

    identity: bytes
    request: int
    may_have_executed: bool
    predecessor: LockOwner | None = None


@dataclass(frozen=True, slots=True)
class LockReleases:
    """Releases locks at one voter."""

    releases: tuple[LockRelease, ...]


@dataclass(frozen=True, slots=True)
class LockReply:
    """A vote for a request, or a refusal: then `holder` has the vote, and `holder_backup` stores its request."""

    identity: bytes
    request: int
    holder: int = NO_INSTANCE
    holder_request: int = 0
    holder_backup: int = NO_INSTANCE

    @property
    def is_granted(self) -> bool:
        """Whether the vote was given to the request."""
        return self.holder == NO_INSTANCE


class VoterRestart(NamedTuple):
    """A process incarnation of a voter that is recovering: votes of its earlier incarnations are void."""

    number: int
    incarnation: int


@dataclass(frozen=True, slots=True)
class LockReplies:
    """Votes of one voter, with the restarts of other voters whose queries it has answered."""

    restarts: tuple[VoterRestart, ...]
    replies: tuple[LockReply, ...]


@dataclass(frozen=True, slots=True)
class LockRecoveryQuery:
    """Asks for the locks that the receiver knows; `serial` numbers the queries of one process incarnation."""

    placement: bytes
    serial: int


class KnownLock(NamedTuple):
    """A lock that an instance knows as a voter, as the owner, or as the owner's backup."""

    identity: bytes
    owner: LockOwner
    remaining_ms: int
    backup: int


@dataclass(frozen=True, slots=True)
class LockRecoveryReply:
    """Page `page`, from 0, of the `pages` pages of a reply; `is_recovered`: the sender votes itself."""

    serial: int
    page: int
    pages: int
    is_recovered: bool
    locks: tuple[KnownLock, ...]


LockMessage = LockRequests | LockReplies | LockReleases | LockRecoveryQuery | LockRecoveryReply
