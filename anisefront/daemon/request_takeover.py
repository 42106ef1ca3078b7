"""Takeover of requests of failed primaries, which continue under the controller like any other request.

A request over the local connection pool is sent again; a delegated one waits for its proxy to return.
"""

from __future__ import annotations

import math
from collections import Counter
from collections.abc import Callable
from typing import Any

from anisefront.cluster.backup_state import ReplicatedRequest
from anisefront.cluster.lock_messages import LockOwner
from anisefront.cluster.lock_requester import LockRequester
from anisefront.cluster.primary import Primary
from anisefront.cluster.replication_messages import NO_IDENTITY, Outcome
from anisefront.daemon.attempt_history import attempts_of_replica
from anisefront.daemon.duplicate_requests import DuplicateRequests
from anisefront.daemon.inherited_locks import InheritedLock, InheritedLocks
from anisefront.daemon.request_records import RequestRecord, content_digest, decode_record
from anisefront.gateway.request_table import RequestTable
from anisefront.gateway.request_terms import RequestTerms
from anisefront.policy.events import PriorAttempts
from anisefront.policy.settings import RequestClass
from anisefront.upstream.deduplication import Deduplicator
from anisefront.upstream.delegated_requests import DelegatedRequests
from anisefront.upstream.direct_requests import DirectRequests, FinalResponse
from anisefront.upstream.inherited_requests import InheritedRequest

DIRECT_REQUEST_KIND = "own"  # handler kind in the records of direct requests


class RequestTakeover:
    """Continues requests of failed primaries, and reports their outcomes to the instances that wait for them."""

    def __init__(
        self,
        clock: Callable[[], float],
        log: Any,
        primary: Primary,
        locks: LockRequester,
        deduplicator: Deduplicator,
        duplicates: DuplicateRequests,
        counts: Counter[str],
    ) -> None:
        """Start without requests."""
        self._clock = clock
        self._log = log
        self._primary = primary
        self._locks = locks
        self.inherited_locks = InheritedLocks(clock)
        self._deduplicator = deduplicator
        self._duplicates = duplicates
        self._counts = counts
        self._classes: dict[str, RequestClass] = {}
        # Delegated requests that were taken over and whose proxy has not returned, by identity.
        self._inherited: dict[bytes, InheritedRequest] = {}

    def update_classes(self, classes: dict[str, RequestClass]) -> None:
        """Apply changed request classes."""
        self._classes = classes

    def attach(
        self, request_table: RequestTable, direct_requests: DirectRequests, delegated_requests: DelegatedRequests
    ) -> None:
        """Connect to the request table and the attempt handlers."""
        self._request_table = request_table
        self._direct_requests = direct_requests
        self._delegated_requests = delegated_requests

    def uncertain_outcome(self, replica: ReplicatedRequest) -> Outcome:
        """Return the outcome of a request that may have executed.

        Another request with its idempotency key may run if all endpoints drop repeated executions until its deadline.
        It may not if only the endpoints of one zone or cell do: it is unknown here which endpoint received the first.
        """
        record = decode_record(replica.record, self._classes)
        if record is not None and self._is_repeatable(record.class_name, replica.attempts):
            return Outcome.NEVER_EXECUTED
        return Outcome.MAY_HAVE_EXECUTED

    def _is_repeatable(self, class_name: str, attempts: dict[int, tuple[str, float]]) -> bool:
        """Return whether another request may replace one with these attempts: endpoint and start, by number."""
        first_attempt_ms = min((started_ms for _, started_ms in attempts.values()), default=math.inf)
        return self._clock() <= self._classes[class_name].repeatable_until_ms(first_attempt_ms)

    def blocks(self, identity: bytes) -> bool:
        """Return whether a delegated request taken over blocks others of its identity; otherwise it is released.

        Its proxy has then gone to another instance, where the request may run: it continues there.
        """
        inherited = self._inherited.pop(identity, None)
        if inherited is None or not inherited.is_awaited:
            return False
        class_name = inherited.terms.class_name
        attempts = inherited.uncertain_attempts
        if attempts and not self._is_repeatable(class_name, attempts):
            self._inherited[identity] = inherited
            return True
        self._delegated_requests.inherited.release(inherited)
        return False

    def take_over(self, primary: int, incarnation: int, replica: ReplicatedRequest) -> None:
        """Continue a request of a failed primary.

        Its lock must be continued by exactly one local request or be released: its owner does neither any more.
        """
        owner = LockOwner(primary, incarnation, replica.request)
        self._counts["taken_over"] += 1
        if replica.deadline_ms <= self._clock():
            self._counts["taken_too_late"] += 1  # its lock has lapsed
            return
        record = decode_record(replica.record, self._classes)
        if record is None:
            self._counts["records_unreadable"] += 1
            self._release_unless_uncertain(replica, owner)
            return
        local_request_number = self._duplicates.request_number(replica.identity)
        if local_request_number is not None and not self._primary.is_lost(local_request_number):
            self._counts["taken_in_hand"] += 1
            self._continue_local(local_request_number, replica, owner)
            return
        prior_attempts = attempts_of_replica(replica)
        self._log.info(
            "taken_over",
            origin=primary,
            life=incarnation,
            request=replica.request,
            attempts=prior_attempts.attempts,
        )
        if record.handler_kind == DIRECT_REQUEST_KIND:
            self._continue_direct(record, replica, owner, prior_attempts)
        else:
            self._inherit_lock(replica, owner)
            self._continue_delegated(record, replica, prior_attempts)
            self._release_unless_uncertain(replica, owner)

    def inherit_lock(self, identity: bytes, lock: InheritedLock) -> None:
        """Let the next accepted request of an identity continue a lock."""
        replaced = self.inherited_locks.add(identity, lock)
        if replaced is not None and replaced.owner != lock.owner:
            self._locks.release_predecessor(identity, *replaced)

    def _inherit_lock(self, replica: ReplicatedRequest, owner: LockOwner) -> None:
        if replica.excludes_duplicates:
            self.inherit_lock(replica.identity, InheritedLock(owner, replica.deadline_ms))

    def _is_uncertain(self, replica: ReplicatedRequest) -> bool:
        """Return whether it may have been executed, so that no other request of its identity may run."""
        return bool(replica.attempts) and self.uncertain_outcome(replica) is Outcome.MAY_HAVE_EXECUTED

    def _release_unless_uncertain(self, replica: ReplicatedRequest, owner: LockOwner) -> None:
        """Release the lock of a request that is not continued here, unless it may have been executed."""
        if replica.excludes_duplicates and not self._is_uncertain(replica):
            self._locks.release_predecessor(replica.identity, owner, replica.deadline_ms)

    def _continue_local(self, local_request_number: int, replica: ReplicatedRequest, owner: LockOwner) -> None:
        """Let the local request of this identity continue in place of the failed primary's, or fail."""
        if self._primary.has_lock(local_request_number):  # so the other has started no attempt
            self._locks.release_predecessor(replica.identity, owner, replica.deadline_ms)
        elif self._is_uncertain(replica):
            self._duplicates.remember(replica.identity, Outcome.MAY_HAVE_EXECUTED)
            self._request_table.transfer_to_backup(local_request_number)
        elif not self._locks.continue_predecessor(self._clock(), local_request_number, owner):
            self._inherit_lock(replica, owner)  # it was refused its lock, and requests it again at once

    def _continue_direct(
        self, record: RequestRecord, replica: ReplicatedRequest, owner: LockOwner, prior_attempts: PriorAttempts
    ) -> None:
        request = record.direct_request()
        if request is None:
            self._counts["records_unreadable"] += 1
            self._release_unless_uncertain(replica, owner)
            return
        identity = replica.identity
        if identity != NO_IDENTITY and not self._deduplicator.add(
            identity, content_digest(request), replica.deadline_ms
        ):
            self._continue_waiting(replica, owner)
            return
        self._inherit_lock(replica, owner)
        self._direct_requests.resume(
            request,
            lambda response: self._on_response(identity, response),
            _terms(record, replica),
            record.idempotency_key,
            prior_attempts,
        )
        if self.inherited_locks.take(identity) is not None:  # it was not accepted
            self._release_unless_uncertain(replica, owner)
        local_request_number = self._duplicates.request_number(identity)
        if local_request_number is not None:  # its new backup may have clients waiting for this identity
            backup = self._primary.backup_of(local_request_number)
            self._duplicates.wait_for(identity, set() if backup is None else {backup})

    def _continue_waiting(self, replica: ReplicatedRequest, owner: LockOwner) -> None:
        """Resolve through the request of this identity that was taken over before: it has a response or has yielded."""
        if self._deduplicator.response_of(replica.identity) is not None:
            self._release_unless_uncertain(replica, owner)
        elif self._is_uncertain(replica):
            self._duplicates.end(replica.identity, Outcome.MAY_HAVE_EXECUTED)
        else:
            self._inherit_lock(replica, owner)
            self._duplicates.request_lock_again(replica.identity)

    def _continue_delegated(
        self, record: RequestRecord, replica: ReplicatedRequest, prior_attempts: PriorAttempts
    ) -> None:
        incarnation = record.delegating_incarnation()
        if incarnation is None:
            self._counts["records_unreadable"] += 1
            return
        inherited = self._delegated_requests.inherit(
            incarnation,
            replica.request,
            record.idempotency_key,
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

    def _on_response(self, identity: bytes, response: FinalResponse) -> None:
        """Deliver a response to all clients and instances that wait for this identity."""
        if identity == NO_IDENTITY:
            return
        self._deduplicator.record_response(identity, response)
        if response.is_rejected:
            self._duplicates.notify(identity, Outcome.NEVER_EXECUTED)
        else:
            self._duplicates.notify(identity, Outcome.RESPONDED, response)


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
