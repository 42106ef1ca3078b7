"""Local requests of a primary: their attempts, and the effects of the backups' replies. Free of I/O."""

from __future__ import annotations

from collections import Counter
from dataclasses import dataclass, field

from anisefront.cluster.epoch_log import EpochLog
from anisefront.cluster.epoch_sender import EpochSender
from anisefront.cluster.replication_actions import (
    Action,
    DeliverRejection,
    LockUnavailable,
    LoseOwnership,
    ReplicationUnavailable,
    StartAttempt,
    YieldToDuplicate,
)
from anisefront.cluster.replication_messages import (
    NO_IDENTITY,
    Accepted,
    AttemptDiscarded,
    AttemptStarted,
    Completed,
    LogEntry,
)


@dataclass(slots=True, eq=False)
class LocalRequest:
    """A replicated local request.

    Attributes:
        attempts: Endpoints of the attempts that may have executed or may still start, by attempt number.
        prior_attempts: Those of them that a failed instance started.
        awaiting_ack: Attempts that start once the backup has acknowledged them.
        awaiting_lock: Attempts that start once the request holds the lock of its identity.
        is_locked: Whether it holds the lock of its identity, or needs none.
        rejection_pending: Whether its rejection is delivered once the backup has acknowledged it.
        lost: Whether another instance owns it, so that no further attempt starts here.
    """

    accepted: Accepted
    slot: int
    deadline_ms: float
    epoch: int = 0
    attempts: dict[int, str] = field(default_factory=dict)
    prior_attempts: frozenset[int] = frozenset()
    awaiting_ack: set[int] = field(default_factory=set)
    awaiting_lock: set[int] = field(default_factory=set)
    is_locked: bool = True
    rejection_pending: bool = False
    lost: bool = False

    @property
    def has_identity(self) -> bool:
        """Whether a client's retry can be recognized."""
        return self.accepted.identity != NO_IDENTITY

    @property
    def not_started(self) -> set[int]:
        """Attempts that are recorded but have not started."""
        return self.awaiting_ack | self.awaiting_lock

    @property
    def uncertain_attempts(self) -> dict[int, str]:
        """Endpoints of the started attempts that may have executed, by number."""
        return {number: endpoint for number, endpoint in self.attempts.items() if number not in self.not_started}

    @property
    def is_pinned(self) -> bool:
        """Whether duplicates must be detected at its backup, or both requests would run."""
        return self.accepted.excludes_duplicates


class LocalRequests:
    """The replicated requests of one primary, by number, and the actions that result from the replies of backups."""

    def __init__(self, sender: EpochSender, counts: Counter[str]) -> None:
        """Initialize without any request; `counts` are the primary's counters."""
        self._sender = sender
        self._counts = counts
        self._requests: dict[int, LocalRequest] = {}
        self._actions: list[Action] = []

    def __len__(self) -> int:
        """Return the number of requests."""
        return len(self._requests)

    def __getitem__(self, request: int) -> LocalRequest:
        """Return a replicated request."""
        return self._requests[request]

    def get(self, request: int) -> LocalRequest | None:
        """Return a request, None if it is not replicated."""
        return self._requests.get(request)

    def add(self, local: LocalRequest) -> None:
        """Add a request."""
        self._requests[local.accepted.request] = local

    def remove(self, request: int) -> LocalRequest | None:
        """Remove and return a completed request."""
        return self._requests.pop(request, None)

    def take_actions(self) -> list[Action]:
        """Return and clear the pending actions."""
        actions = self._actions
        self._actions = []
        return actions

    def start_awaiting(self, local: LocalRequest) -> None:
        """Start the attempts that await an acknowledgement, or let them await only the lock."""
        for attempt in sorted(local.awaiting_ack):
            self._start(local, attempt)
        local.awaiting_ack.clear()

    def _start(self, local: LocalRequest, attempt: int) -> None:
        if local.is_locked:
            self._actions.append(StartAttempt(local.accepted.request, attempt))
        else:
            local.awaiting_lock.add(attempt)

    def on_locked(self, request: int) -> None:
        """Start the attempts that await only the lock."""
        local = self._requests.get(request)
        if local is None:
            return
        local.is_locked = True
        self._actions += [StartAttempt(request, attempt) for attempt in sorted(local.awaiting_lock)]
        local.awaiting_lock.clear()

    def on_lock_unavailable(self, request: int) -> None:
        """Have the host reject a request that cannot get its lock."""
        local = self._requests.get(request)
        if local is not None and not local.lost:
            self._actions.append(LockUnavailable(request))

    def deliver_rejection(self, request: int) -> None:
        """Deliver a pending rejection; the request remains until its host completes it."""
        self._actions.append(DeliverRejection(request))

    def on_entry_acknowledged(self, log: EpochLog, entry: LogEntry) -> None:
        """Carry out what awaits the acknowledgement of an entry."""
        local = self._requests.get(entry.request)
        if local is None or local.epoch != log.epoch:
            return
        if isinstance(entry, AttemptStarted) and entry.attempt in local.awaiting_ack:
            local.awaiting_ack.discard(entry.attempt)
            self._start(local, entry.attempt)
        elif isinstance(entry, Completed) and local.rejection_pending:
            log.requests.discard(entry.request)
            self.deliver_rejection(entry.request)

    def on_duplicate(self, request: int, informed: tuple[int, ...]) -> None:
        """Yield to another request of this identity; later entries of the epoch are sent without this request.

        Args:
            request: The request.
            informed: Instances that know of the other request.
        """
        local = self._requests.get(request)
        if local is None or local.lost:
            return
        log = self._sender.logs.get(local.epoch)
        if log is not None:
            self._withdraw(log, request)
            self._append_end(log, local)
        local.epoch = 0
        local.lost = True
        self._counts["names_elsewhere"] += 1
        for attempt in local.not_started:
            del local.attempts[attempt]  # not started, and never will
        local.awaiting_ack.clear()
        local.awaiting_lock.clear()
        # The response of an attempt that has started here may still arrive.
        if local.attempts.keys() - local.prior_attempts:
            self._actions.append(LoseOwnership(request, informed))
        else:
            self._actions.append(YieldToDuplicate(request, informed))

    def on_backup_at_capacity(self, now_ms: float, log: EpochLog, request: int) -> None:
        """Continue without a backup: it did not store the request, so no instance takes the request over."""
        local = self._withdraw(log, request)
        log.waiting_since_ms = now_ms  # the backup responds
        self._counts["unprotected_full"] += 1
        if local.rejection_pending:
            self.deliver_rejection(request)
            return
        self.continue_without_backup(local)

    def continue_without_backup(self, local: LocalRequest) -> None:
        """Start attempts that await an acknowledgement, unless the host rejects the request for lack of a backup."""
        self._actions.append(ReplicationUnavailable(local.accepted.request))
        self.start_awaiting(local)

    def _withdraw(self, log: EpochLog, request: int) -> LocalRequest:
        local = self._requests[request]
        local.epoch = 0
        log.requests.discard(request)
        log.withdraw(request)
        self._sender.mark_unsent(log)
        return local

    def _append_end(self, log: EpochLog, local: LocalRequest) -> None:
        """End a withdrawn request at its backup, which may have stored a resent copy of its entries meanwhile."""
        request = local.accepted.request
        for attempt in sorted(local.not_started):
            log.append(AttemptDiscarded(request, attempt))
        log.append(Completed(request))

    def lose_epoch(self, log: EpochLog) -> None:
        """Give up an epoch that its backup has claimed; idempotent requests continue here nevertheless."""
        for request in sorted(log.requests):
            local = self._requests[request]
            local.epoch = 0
            local.lost = local.accepted.requires_ack
            if local.lost:
                local.awaiting_ack.clear()
                local.awaiting_lock.clear()
                self._actions.append(LoseOwnership(request, (log.backup.number,)))
        self._counts["epochs_lost"] += 1
        log.requests.clear()
        log.entries.clear()
        log.deferred.clear()
        self._sender.retire(log)
        self._sender.close(log)
