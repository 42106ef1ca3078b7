"""Requests of failed primaries that continue here: the policy decides what is to be done, as for any other request.

A request over the local connection pool is sent again; one that a proxy executes waits for the proxy to come back.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable
from typing import Any

from anisefront.cluster.backup_state import ReplicatedRequest
from anisefront.cluster.lock_messages import LockOwner
from anisefront.cluster.lock_requester import LockRequester
from anisefront.cluster.primary import Primary
from anisefront.cluster.replication_messages import NO_IDENTITY, Outcome
from anisefront.daemon.duplicate_requests import DuplicateRequests
from anisefront.daemon.inherited_locks import InheritedLocks
from anisefront.daemon.request_records import RequestRecord, content_digest, decode_record
from anisefront.gateway.request_table import RequestTable
from anisefront.gateway.request_terms import RequestTerms
from anisefront.policy.events import PriorAttempts
from anisefront.policy.settings import Idempotency, RequestClass
from anisefront.upstream.deduplication import Deduplicator
from anisefront.upstream.delegated_requests import DelegatedRequests
from anisefront.upstream.direct_requests import DirectRequests, FinalResponse
from anisefront.upstream.inherited_requests import InheritedRequest

OWN_POOL = "own"  # records of requests that our own connection pool executes


class RequestTakeover:
    """Continues requests of failed primaries, and reports the outcome of each to those that wait for it."""

    def __init__(
        self,
        clock: Callable[[], float],
        log: Any,
        primary: Primary,
        locks: LockRequester,
        returning: Deduplicator,
        duplicates: DuplicateRequests,
        counts: Counter[str],
    ) -> None:
        """Start without requests."""
        self._clock = clock
        self._log = log
        self._primary = primary
        self._locks = locks
        self.inherited_locks = InheritedLocks(clock)
        self._returning = returning
        self._duplicates = duplicates
        self._counts = counts
        self._classes: dict[str, RequestClass] = {}
        # Delegated requests taken over whose proxy has not returned, by identity.
        self._inherited: dict[bytes, InheritedRequest] = {}

    def update_classes(self, classes: dict[str, RequestClass]) -> None:
        """Put other request classes in force."""
        self._classes = classes

    def attach(self, request_table: RequestTable, own: DirectRequests, proxied: DelegatedRequests) -> None:
        """Connect to the request table and the upstreams."""
        self._request_table = request_table
        self._own = own
        self._proxied = proxied

    def _idempotency(self, class_name: str) -> Idempotency:
        return self._classes[class_name].idempotency

    def uncertain_outcome(self, replica: ReplicatedRequest) -> Outcome:
        """Return the outcome of a request that may have executed.

        With an idempotency key it may be sent again: endpoints of its deduplication scope drop a repeated execution.
        """
        return Outcome.NEVER_EXECUTED if self._has_idempotency_key(replica) else Outcome.MAY_HAVE_EXECUTED

    def _has_idempotency_key(self, replica: ReplicatedRequest) -> bool:
        record = decode_record(replica.record, self._classes)
        return record is not None and self._idempotency(record.class_name) is Idempotency.KEYED

    def blocks(self, identity: bytes) -> bool:
        """Return whether a delegated request taken over blocks others of its identity; one that does not is released.

        Its proxy went to another instance then, where nothing prevents the request: it continues without us.
        """
        inherited = self._inherited.pop(identity, None)
        if inherited is None or not inherited.is_awaited:
            return False
        class_name = inherited.terms.class_name
        if inherited.uncertain_attempts and self._idempotency(class_name) is Idempotency.NON_IDEMPOTENT:
            self._inherited[identity] = inherited
            return True
        self._proxied.inherited.release(inherited)
        return False

    def take_over(self, primary: int, incarnation: int, replica: ReplicatedRequest) -> None:
        """Continue a request of a failed primary."""
        owner = LockOwner(primary, incarnation, replica.request)
        self._counts["taken_over"] += 1
        if replica.deadline_ms <= self._clock():
            self._counts["taken_too_late"] += 1
            return
        record = decode_record(replica.record, self._classes)
        if record is None:
            self._counts["records_unreadable"] += 1
            return
        local_request = self._duplicates.request_number(replica.identity)
        if local_request is not None:
            # The local request has yielded to that of the failed primary and is still here: only one may continue.
            self._counts["taken_in_hand"] += 1
            if self._primary.has_lock(local_request):
                return  # so no attempt of the other has left
            if replica.attempts and not self._has_idempotency_key(replica):
                self._request_table.transfer_to_backup(local_request)
            else:
                self._locks.continue_predecessor(self._clock(), local_request, owner)
            return
        prior_attempts = _prior_attempts(replica)
        self._log.info(
            "taken_over",
            origin=primary,
            life=incarnation,
            request=replica.request,
            attempts=prior_attempts.attempts,
        )
        if replica.excludes_duplicates:
            self.inherited_locks.add(replica.identity, owner, replica.deadline_ms)
        if record.carrier == OWN_POOL:
            self._continue_own(record, replica, prior_attempts)
        else:
            self._continue_delegated(record, replica, prior_attempts)
            self._release_unless_uncertain(replica, owner)

    def _release_unless_uncertain(self, replica: ReplicatedRequest, owner: LockOwner) -> None:
        """Let any instance have the lock to which the proxy may turn, unless the request may have been executed."""
        is_uncertain = replica.attempts and self.uncertain_outcome(replica) is Outcome.MAY_HAVE_EXECUTED
        if replica.excludes_duplicates and not is_uncertain:
            self._locks.release_predecessor(replica.identity, owner, replica.deadline_ms)

    def _continue_own(self, record: RequestRecord, replica: ReplicatedRequest, prior_attempts: PriorAttempts) -> None:
        job = record.job()
        if job is None:
            self._counts["records_unreadable"] += 1
            return
        identity = replica.identity
        if identity != NO_IDENTITY and not self._returning.add(identity, content_digest(job), replica.deadline_ms):
            return  # its client has retried here before: that request is in flight or has its response
        self._own.resume(
            job,
            lambda answer: self._on_response(identity, answer),
            _terms(record, replica),
            record.identity,
            prior_attempts,
        )
        local_request = self._duplicates.request_number(identity)
        if local_request is not None:  # its new backup may have clients waiting for this identity
            backup = self._primary.backup_of(local_request)
            self._duplicates.wait_for(identity, set() if backup is None else {backup})

    def _continue_delegated(
        self, record: RequestRecord, replica: ReplicatedRequest, prior_attempts: PriorAttempts
    ) -> None:
        incarnation = record.delegating_incarnation()
        if incarnation is None:
            self._counts["records_unreadable"] += 1
            return
        inherited = self._proxied.inherit(
            incarnation,
            replica.request,
            record.identity,
            _terms(record, replica),
            prior_attempts,
            dict(replica.attempts),
        )
        if not replica.excludes_duplicates:
            return
        while self._inherited and not next(iter(self._inherited.values())).is_awaited:
            del self._inherited[next(iter(self._inherited))]
        self._inherited[replica.identity] = inherited
        self._duplicates.notify(replica.identity, self.uncertain_outcome(replica))

    def _on_response(self, identity: bytes, answer: FinalResponse) -> None:
        """Deliver the response to all that wait for this identity."""
        if identity == NO_IDENTITY:
            return
        self._returning.record_response(identity, answer)
        if answer.is_rejected:
            self._duplicates.notify(identity, Outcome.NEVER_EXECUTED)
        else:
            self._duplicates.notify(identity, Outcome.RESPONDED, answer)


def _prior_attempts(replica: ReplicatedRequest) -> PriorAttempts:
    """Return what the policy must know of the attempts of a failed primary."""
    attempts = sorted(replica.attempts.items())
    if not attempts:
        return PriorAttempts(0, 0, "", 0.0, False)
    endpoint, started_ms = attempts[0][1]
    return PriorAttempts(attempts[-1][0] + 1, len(attempts), endpoint, started_ms, True)


def _terms(record: RequestRecord, replica: ReplicatedRequest) -> RequestTerms:
    """Return the terms under which the failed primary accepted a request."""
    return RequestTerms(
        record.customer,
        record.class_name,
        record.plan_name,
        replica.deadline_ms,
        record.units,
        record.first_gateway,
        record.spread,
    )
