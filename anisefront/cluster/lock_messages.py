"""Typed messages of identity locks: who may run the requests of one identity.

owner --LockRequests-->       voter   asks for its vote on identities, again until it has enough votes
owner <--LockReplies--        voter   the vote, or who has it; a holder whose lock another wants is told again
owner --LockReleases-->       voter   the owner's requests have ended
voter --LockRecoveryQuery-->  all     a restarted voter has no memory of its votes, and asks what others know
voter <--LockRecoveryReply--  all     one page of the locks that an instance knows
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import NamedTuple

NO_INSTANCE = 0xFFFF  # in place of the number of an instance


class LockOwner(NamedTuple):
    """A request of one process incarnation of an instance."""

    number: int
    incarnation: int
    request: int


@dataclass(frozen=True, slots=True)
class LockRequest:
    """Asks for a vote.

    Attributes:
        identity: Digest of the identity.
        request: Number of the request at its instance.
        remaining_ms: Time until its deadline, after which the vote lapses.
        backup: The instance that knows of the request; `NO_INSTANCE` for none.
        has_yielded: Whether its client's request had yielded to another of the identity before.
        predecessor: The request of a failed instance that this one continues.
    """

    identity: bytes
    request: int
    remaining_ms: int
    backup: int = NO_INSTANCE
    has_yielded: bool = False
    predecessor: LockOwner | None = None

    @property
    def follows_another(self) -> bool:
        """Whether it must not run if another request of the identity has been executed meanwhile."""
        return self.has_yielded or self.predecessor is not None


@dataclass(frozen=True, slots=True)
class LockRequests:
    """Asks one voter for votes; `placement` is the digest of the placement that names the voters."""

    placement: bytes
    requests: tuple[LockRequest, ...]


@dataclass(frozen=True, slots=True)
class LockRelease:
    """Ends the lock of a request, and that of the request which it continued.

    `may_have_executed`: it must not be executed again, so requests that had yielded to it, or were taken over, must
    not run.
    """

    identity: bytes
    request: int
    may_have_executed: bool
    predecessor: LockOwner | None = None


@dataclass(frozen=True, slots=True)
class LockReleases:
    """Ends locks at one voter."""

    releases: tuple[LockRelease, ...]


@dataclass(frozen=True, slots=True)
class LockReply:
    """A vote for a request, or against it: then `holder` has the vote, and `holder_backup` knows of its request."""

    identity: bytes
    request: int
    holder: int = NO_INSTANCE
    holder_request: int = 0
    holder_backup: int = NO_INSTANCE

    @property
    def is_granted(self) -> bool:
        """Whether it is a vote for the request."""
        return self.holder == NO_INSTANCE


class VoterRestart(NamedTuple):
    """A process incarnation of a voter that has asked for what others know: votes of earlier ones are void."""

    number: int
    incarnation: int


@dataclass(frozen=True, slots=True)
class LockReplies:
    """Votes of one voter, with the restarts of other voters that it has replied to before."""

    restarts: tuple[VoterRestart, ...]
    replies: tuple[LockReply, ...]


@dataclass(frozen=True, slots=True)
class LockRecoveryQuery:
    """Asks for the locks that the receiver knows; `serial` numbers the queries of one process incarnation."""

    placement: bytes
    serial: int


class KnownLock(NamedTuple):
    """A lock that an instance knows, as a voter, as the owner or as the owner's backup."""

    identity: bytes
    owner: LockOwner
    remaining_ms: int
    backup: int


@dataclass(frozen=True, slots=True)
class LockRecoveryReply:
    """One of `pages` pages, from 0, of the reply to a query; `is_recovered`: the sender votes itself."""

    serial: int
    page: int
    pages: int
    is_recovered: bool
    locks: tuple[KnownLock, ...]


LockMessage = LockRequests | LockReplies | LockReleases | LockRecoveryQuery | LockRecoveryReply
