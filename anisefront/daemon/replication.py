"""Replication of requests in flight, on the event loop; `cluster/primary.py` and `cluster/backup.py` have the protocol.

The service connects the request table (as its replication guard), the peers' datagrams and the attempt handlers.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable, Iterator
from typing import Any

from anisefront.cluster import replication_actions as actions
from anisefront.cluster.backup import Backup
from anisefront.cluster.backup_selection import Replica, placement_hash, slot_of
from anisefront.cluster.backup_state import ReplicatedRequest
from anisefront.cluster.lock_messages import KnownLock, LockMessage, LockOwner, LockReplies
from anisefront.cluster.lock_placement import LockPlacement
from anisefront.cluster.lock_requester import LockRequester
from anisefront.cluster.lock_voter import LockVoter
from anisefront.cluster.member_state import MemberChange, MemberStatus
from anisefront.cluster.membership import Membership
from anisefront.cluster.primary import Primary
from anisefront.cluster.replication_codec import MAX_RECORD_BYTES, decode, encode
from anisefront.cluster.replication_messages import (
    NO_IDENTITY,
    Accepted,
    Bundle,
    Message,
    Outcome,
    OutcomeQuery,
    OutcomeReply,
    RelayedMessage,
    RelayRequest,
)
from anisefront.cluster.witness import Witness
from anisefront.config.types import Config
from anisefront.daemon.attempt_history import arrival_to_start_again, prior_endpoints
from anisefront.daemon.completed_requests import CompletedRequest, CompletedRequests
from anisefront.daemon.deferred_timer import DeferredTimer
from anisefront.daemon.duplicate_requests import DuplicateRequests
from anisefront.daemon.inherited_locks import InheritedLock
from anisefront.daemon.message_bundles import bundles, unbundle
from anisefront.daemon.message_relay import MessageRelay
from anisefront.daemon.request_records import RequestRecord, content_digest, decode_record, decode_response
from anisefront.daemon.request_takeover import DIRECT_REQUEST_KIND, RequestTakeover
from anisefront.daemon.yielded_requests import YieldedRequests
from anisefront.gateway.pending_request import PendingRequest
from anisefront.gateway.request_table import RequestTable
from anisefront.policy.settings import Idempotency
from anisefront.upstream.deduplication import Deduplicator, request_identity
from anisefront.upstream.delegated_requests import DelegatedRequests
from anisefront.upstream.direct_requests import DirectRequest, DirectRequests, FinalResponse

NO_BACKUP = "no_keeper"  # suffix of the counter of requests for which no backup is available
STALL_MS = 50.0  # a timer that is later than that indicates a process stall: the sockets are read first


class ReplicationService:
    """Replication of one gateway instance."""

    def __init__(
        self,
        reactor: Any,
        clock: Callable[[], float],
        send: Callable[[int, bytes], None],
        log: Any,
        config: Config,
        incarnation: int,
        membership: Membership,
    ) -> None:
        """Initialize primary, backup and witness.

        Args:
            reactor: Twisted's event loop.
            clock: Current time in milliseconds.
            send: Sends a datagram to a peer.
            log: Structured log.
            config: Current configuration.
            incarnation: Process incarnation of this instance.
            membership: Membership of the cluster, from which backups are selected.
        """
        settings = config.settings
        self._clock = clock
        self._membership = membership
        self._relay = MessageRelay(send, membership)
        local = Replica(settings.number, incarnation, settings.zone)
        placement = _placement(config)
        max_deadline_ms = max(each.deadline_ms for each in settings.classes)
        self.locks = LockRequester(local, placement)
        self.voter = LockVoter(local, placement, max_deadline_ms)
        self.voter.other_locks = self._other_locks
        self.primary = Primary(local, config.lease_ms, self.locks)
        self.backup = Backup(settings.number, incarnation, config.lease_ms, config.most_records)
        self.backup.is_local_duplicate = self._is_local_duplicate
        self.backup.uses_locks = self.voter.uses_locks
        self.witness = Witness(incarnation)
        self._reactor = reactor
        self._incarnation = incarnation
        self._send_datagram = send
        self.deduplicator = Deduplicator(clock, reactor)
        self.counts: Counter[str] = Counter()
        self.duplicates = DuplicateRequests(self._send_or_loop_back, reactor, self.deduplicator, self.counts)
        self.duplicates.is_unavailable = self._is_unavailable
        self.duplicates.is_stored = self.backup.stores
        self.takeover = RequestTakeover(
            clock, log, self.primary, self.locks, self.deduplicator, self.duplicates, self.counts
        )
        self.completed = CompletedRequests()
        self.update_config(config)
        self._timer = DeferredTimer(reactor, clock, self._on_timer, STALL_MS)
        self._is_processing = False
        self._yielded = YieldedRequests()
        self._yielding: int | None = None  # the request that is yielding now
        self._informed: tuple[int, ...] = ()  # instances that know of the request to which it yields
        # Local requests that other instances own, with the instances that know of them.
        self._owned_elsewhere: dict[int, tuple[int, ...]] = {}

    def update_config(self, config: Config) -> None:
        """Apply a changed configuration."""
        self._settings = config.settings
        self._zones = config.rooms
        self._protected_only = config.protected_only
        self._classes = {request_class.name: request_class for request_class in config.settings.classes}
        self.takeover.update_classes(self._classes)

    def attach(
        self, request_table: RequestTable, direct_requests: DirectRequests, delegated_requests: DelegatedRequests
    ) -> None:
        """Connect to the request table and the attempt handlers."""
        self._request_table = request_table
        self.takeover.attach(request_table, direct_requests, delegated_requests)
        request_table.guard = self
        request_table.batches.after_iteration.append(self.process)
        direct_requests.duplicates = self
        delegated_requests.is_in_progress_elsewhere = self._is_replicated

    def _identity(self, customer: str, idempotency_key: str) -> bytes:
        return request_identity(customer, idempotency_key, self._settings.tag_key)

    def _is_replicated(self, customer: str, idempotency_key: str) -> bool:
        return self._is_in_flight_elsewhere(self._identity(customer, idempotency_key))

    def _is_in_flight_elsewhere(self, identity: bytes) -> bool:
        return self.backup.find_primary(self._clock(), identity) is not None

    def _idempotency(self, class_name: str) -> Idempotency:
        return self._classes[class_name].idempotency

    # ---- guard of the request table --------------------------------------------------------------

    def try_protect(self, request: PendingRequest) -> bool:
        """Replicate an accepted request; returns False if it must not run without a backup and has none."""
        if request.replica is None:
            return True
        now_ms = self._clock()
        accepted = self._accepted(now_ms, request)
        if accepted.excludes_duplicates:
            request_class = self._classes[request.arrival.class_name]
            repeatable_until_ms = request_class.repeatable_until_ms(request.first_attempt_after_ms)
            self.duplicates.add(accepted.request, accepted.identity, repeatable_until_ms)
        inherited = self.takeover.inherited_locks.take(accepted.identity)
        predecessor = inherited.owner if inherited is not None else None
        has_yielded = self._yielded.has(now_ms, accepted.identity)
        reason = self._replicate(now_ms, accepted, predecessor, has_yielded, prior_endpoints(request))
        if reason is None:
            self.counts["protected"] += 1
            return True
        self.counts[f"unprotected_{reason}"] += 1
        is_required = reason == NO_BACKUP and not self.primary.may_run_unprotected(accepted)
        if is_required or request.arrival.class_name in self._protected_only:
            self.duplicates.remove(accepted.request)
            if inherited is not None:
                self.locks.release_predecessor(accepted.identity, *inherited)
            return False
        self.primary.accept_without_backup(now_ms, accepted, predecessor, has_yielded)
        return True

    def _accepted(self, now_ms: float, request: PendingRequest) -> Accepted:
        arrival = request.arrival
        has_identity = bool(request.replica.idempotency_key)
        return Accepted(
            request=arrival.id,
            requires_ack=self._idempotency(arrival.class_name) is not Idempotency.IDEMPOTENT,
            remaining_ms=max(0, int(arrival.deadline_at_ms - now_ms)),
            identity=self._identity(arrival.customer, request.replica.idempotency_key) if has_identity else NO_IDENTITY,
            record=RequestRecord.of(request).encode(),
        )

    def _replicate(
        self,
        now_ms: float,
        accepted: Accepted,
        predecessor: LockOwner | None,
        has_yielded: bool,
        prior_attempts: dict[int, str],
    ) -> str | None:
        """Replicate a request; returns the reason if that is not possible, None otherwise."""
        if len(accepted.record) > MAX_RECORD_BYTES:
            return "too_large"
        is_accepted = self.primary.accept(now_ms, accepted, predecessor, has_yielded, prior_attempts)
        return None if is_accepted else NO_BACKUP

    def may_release_attempt(self, request_number: int, attempt_number: int, endpoint: str) -> bool:
        """Return whether an attempt may start now."""
        return self.primary.start_attempt(self._clock(), request_number, attempt_number, endpoint)

    def may_release_rejection(self, request_number: int) -> bool:
        """Return whether a rejection may be delivered now."""
        return self.primary.reject(self._clock(), request_number)

    def attempt_never_executed(self, request_number: int, attempt_number: int) -> None:
        """Record that an attempt is proved never to have executed."""
        self.primary.discard_attempt(self._clock(), request_number, attempt_number)

    def request_completed(self, request_number: int) -> None:
        """Record that a request has ended."""
        self._owned_elsewhere.pop(request_number, None)
        is_uncertain = self._is_uncertain(request_number)
        represents_identity = self.duplicates.represents(request_number)
        local = self.duplicates.remove(request_number)
        is_retained = local is not None and local.identity in self.deduplicator
        had_lock = self.primary.has_lock(request_number)
        backup = self.primary.backup_of(request_number)
        self.primary.complete(self._clock(), request_number, is_uncertain, is_uncertain and is_retained)
        if local is None or not represents_identity or request_number == self._yielding:
            return  # instances that wait for a yielding request are notified of the other one's outcome
        outcome = Outcome.MAY_HAVE_EXECUTED if is_uncertain else Outcome.NEVER_EXECUTED
        if had_lock:  # others may have been refused the lock and query the outcome later
            self.duplicates.remember(local.identity, outcome)
        if not is_retained:
            self.duplicates.notify(local.identity, outcome)
        elif backup is not None:  # the response follows; the backup may have changed since the takeover
            self.duplicates.wait_for(local.identity, {backup})

    def _is_uncertain(self, request_number: int) -> bool:
        """Return whether a request may have been executed, so that no other of its identity may replace it now."""
        local = self.duplicates.get(request_number)
        if local is None or self._clock() <= local.repeatable_until_ms:
            return False
        return self._may_have_executed(request_number)

    def _may_have_executed(self, request_number: int) -> bool:
        request = self._request_table.requests[request_number]
        prior_attempts = request.arrival.prior_attempts
        if prior_attempts is not None and prior_attempts.uncertain:
            return True
        started_here = self.primary.may_have_executed(request_number)
        return request.attempts > 0 if started_here is None else started_here

    def stop(self) -> None:
        """Stop before the process leaves the cluster: its backups then own the requests in flight."""
        self.process()
        # An attempt that starts after the backups were notified would run concurrently with one of the new owner.
        self._request_table.batches.stopped = True
        self._timer.cancel()

    # ---- retries by clients ----------------------------------------------------------------------

    def try_join(
        self,
        customer: str,
        idempotency_key: str,
        class_name: str,
        deadline_at_ms: float,
        request: DirectRequest,
        on_response: Callable[[FinalResponse], None],
        start_anew: Callable[[], None],
    ) -> bool:
        """Return whether a client's request is in progress here or at a primary whose backup this instance is.

        If so it waits for that response; otherwise it is a new request.
        """
        identity = self._identity(customer, idempotency_key)
        if self.deduplicator.try_join(identity, content_digest(request), on_response):
            return True
        primary = self.backup.find_primary(self._clock(), identity)
        if primary is None or self._idempotency(class_name) is Idempotency.IDEMPOTENT:
            return False
        self._yielded.add(identity, deadline_at_ms)
        self.duplicates.add_waiting_request(identity, request, deadline_at_ms, on_response, start_anew, primary)
        return True

    def wait_for_outcome(
        self,
        customer: str,
        idempotency_key: str,
        deadline_at_ms: float,
        request: DirectRequest,
        on_response: Callable[[FinalResponse], None],
        start_anew: Callable[[], None],
    ) -> None:
        """Let a request that yields wait for the outcome of the other request of its identity."""
        identity = self._identity(customer, idempotency_key)
        self.duplicates.add_waiting_request(identity, request, deadline_at_ms, on_response, start_anew, None)
        if identity in self.takeover.inherited_locks:  # the holder's lock was taken over here meanwhile
            self.duplicates.request_lock_again(identity)
        else:
            self.duplicates.follow(identity, self._informed)

    def _other_locks(self, now_ms: float) -> Iterator[KnownLock]:
        yield from self.locks.known_locks(now_ms)
        yield from self.backup.known_locks(now_ms)

    def _is_local_duplicate(self, identity: bytes, primary: int) -> bool:
        """Return whether a request of this identity, or its response, is held at this instance."""
        if self.takeover.blocks(identity):
            return True
        request_number = self.duplicates.request_number(identity)
        if request_number is None:
            return identity in self.deduplicator
        return not self.primary.yields_to(request_number, primary)

    # ---- membership and messages -----------------------------------------------------------------

    def on_member_changes(self, changes: list[MemberChange]) -> None:
        """Handle changes of the membership."""
        now_ms = self._clock()
        for change in changes:
            if change.row.number != self._settings.number:
                self._on_member_change(now_ms, change)
        rows = self._membership.rows
        others = [number for number in self._membership.alive() if number != self._settings.number]
        unavailable = frozenset(
            number for number, row in rows.items() if row.status in (MemberStatus.DEAD, MemberStatus.LEFT)
        )
        self.voter.update_members(now_ms, {number: rows[number].process_incarnation for number in others}, unavailable)
        self.voter.handle_timers(now_ms)
        self.primary.update_members(
            now_ms,
            {
                number: Replica(number, rows[number].process_incarnation, self._zones.get(number, ""))
                for number in others
            },
        )
        self.process()

    def _is_unavailable(self, number: int) -> bool:
        row = self._membership.rows.get(number)
        return row is not None and row.status in (MemberStatus.DEAD, MemberStatus.LEFT)

    def _on_member_change(self, now_ms: float, change: MemberChange) -> None:
        row = change.row
        previous = change.previous
        if previous is not None and previous.process_incarnation < row.process_incarnation:
            self.backup.primary_terminated(now_ms, row.number, previous.process_incarnation)
        if row.status is MemberStatus.LEFT:
            self.backup.primary_terminated(now_ms, row.number, row.process_incarnation)
        # A primary that others consider dead may still be reachable from here: its lease decides.

    def receive(self, sender: int, incarnation: int, data: bytes) -> None:
        """Handle a datagram from an authenticated sender."""
        message = decode(data)
        if not isinstance(message, Bundle):
            self._receive_decoded(sender, incarnation, message)
            return
        self._is_processing = True  # process once, after all messages of the datagram
        try:
            for each in unbundle(message):
                self._receive_decoded(sender, incarnation, each)
        finally:
            self._is_processing = False
        self.process()

    def _receive_decoded(self, sender: int, incarnation: int, message: Message | LockMessage | None) -> None:
        if message is None:
            self.counts["unreadable"] += 1
        elif isinstance(message, RelayRequest):
            self._relay.pass_on(sender, incarnation, message)
        elif isinstance(message, RelayedMessage):
            self._receive_relayed(sender, message)
        else:
            self._receive_message(sender, incarnation, message)

    def _receive_relayed(self, relay: int, relayed: RelayedMessage) -> None:
        received = self._relay.unpack(relayed)
        if received is None:
            self.counts["unreadable"] += 1
            return
        self._relay.begin_reply(received.sender, relay)
        try:
            self._receive_message(*received)
        finally:
            self._relay.end_reply()

    def _receive_message(self, sender: int, incarnation: int, message: Message | LockMessage) -> None:
        if isinstance(message, OutcomeReply):
            self._retain_response(message)
            self.duplicates.on_reply(message)
        elif isinstance(message, OutcomeQuery):
            uses_locks = self.voter.uses_locks(sender, incarnation)
            # A sender that uses locks need not wait for a request that its primary has moved to another backup.
            is_replicated_here = (
                self.backup.stores(message.identity) if uses_locks else self._is_in_flight_elsewhere(message.identity)
            )
            precedes = self._precedes(message.identity, sender)
            self._release_if_completed(message.identity)
            self.duplicates.on_query(sender, message.identity, is_replicated_here, precedes, uses_locks)
        else:
            now_ms = self._clock()
            if isinstance(message, LockReplies):
                self.primary.receive(now_ms, sender, incarnation, message)
            elif isinstance(message, LockMessage):
                self.voter.receive(now_ms, sender, incarnation, message)
            else:
                self.primary.receive(now_ms, sender, incarnation, message)
                self.backup.receive(now_ms, sender, incarnation, message)
                self.witness.receive(sender, incarnation, message)
            self.process()

    def _retain_response(self, reply: OutcomeReply) -> None:
        """Retain the response of a request that is stored here, in case its primary fails or seems to fail later."""
        replica = self.backup.find_stored(reply.identity) if reply.outcome is Outcome.RESPONDED else None
        response = decode_response(reply.response) if replica is not None else None
        if response is None or response.message is None:
            return
        record = decode_record(replica.record, self._classes)
        request = record.direct_request() if record is not None else None
        if request is not None:
            self.deduplicator.retain_response(reply.identity, content_digest(request), replica.deadline_ms, response)

    def _precedes(self, identity: bytes, other: int) -> bool:
        slot = slot_of(identity)
        return placement_hash(slot, other) < placement_hash(slot, self._settings.number)

    def _send_or_loop_back(self, receiver: int, data: bytes) -> None:
        """Send a datagram; one to this instance is handled in a later iteration of the event loop."""
        if receiver != self._settings.number:
            self._send_datagram(receiver, data)
            return
        message = decode(data)
        self._reactor.callLater(0, self._receive_message, receiver, self._incarnation, message)

    def _on_timer(self) -> None:
        now_ms = self._clock()
        self.primary.handle_timers(now_ms)
        self.backup.handle_timers(now_ms)
        self.voter.handle_timers(now_ms)
        self.process()

    # ---- actions ---------------------------------------------------------------------------------

    def process(self) -> None:
        """Carry out all pending actions, including those that they lead to."""
        if self._is_processing:
            return
        self._is_processing = True
        try:
            has_effects = True
            while has_effects:
                self.primary.flush(self._clock())
                has_effects = self._carry_out_all()
        finally:
            self._is_processing = False
        parts = (self.primary, self.backup, self.voter)
        self._timer.schedule_by(min(part.next_timer_ms for part in parts))

    def _carry_out_all(self) -> bool:
        """Carry out the pending actions; returns whether they may have led to further ones."""
        parts = (self.primary, self.backup, self.witness, self.voter)
        pending = [action for part in parts for action in part.take_actions()]
        ordered = actions.in_execution_order(pending)
        messages = [action for action in ordered if isinstance(action, actions.SendMessage)]
        others = [action for action in ordered if not isinstance(action, actions.SendMessage)]
        local = [action for action in messages if action.receiver == self._settings.number]
        self._send_all([action for action in messages if action.receiver != self._settings.number])
        for action in local:  # to or from the voter of this instance
            self._receive_message(action.receiver, self._incarnation, action.message)
        for action in others:
            self._carry_out(action)
        return bool(local or others)

    def _send_all(self, messages: list[actions.SendMessage]) -> None:
        """Send messages, bundled by receiver if the receiver supports bundles."""
        by_receiver: dict[int, list[Message | LockMessage]] = {}
        for action in messages:
            by_receiver.setdefault(action.receiver, []).append(action.message)
        for receiver, each in by_receiver.items():
            incarnation = (
                self._membership.rows[receiver].process_incarnation if receiver in self._membership.rows else 0
            )
            if len(each) > 1 and incarnation and self.voter.uses_locks(receiver, incarnation):
                for datagram in bundles(map(encode, each)):
                    self._relay.send_encoded(receiver, datagram)
            else:
                for message in each:
                    self._relay.send(receiver, message)

    def _carry_out(self, action: actions.Action) -> None:
        match action:
            case actions.ReplicationUnavailable(request_number):
                self._on_replication_unavailable(request_number)
            case actions.StartAttempt(request_number, attempt_number):
                self._request_table.release_attempt(request_number, attempt_number)
            case actions.DeliverRejection(request_number):
                self._request_table.release_rejection(request_number)
            case actions.LoseOwnership(request_number, informed):
                self._lose_ownership(request_number, informed)
            case actions.YieldToDuplicate(request_number, informed):
                self._yield_to_duplicate(request_number, informed)
            case actions.LockUnavailable(request_number):
                self._request_table.reject_unprotected(request_number)
            case actions.NotifyLater(primary, identity):
                self.duplicates.add_waiting_instance(identity, primary)
            case actions.ReleaseRequest(primary, incarnation, replica):
                self._on_released(LockOwner(primary, incarnation, replica.request), replica)
            case actions.TakeOver(primary, incarnation, replica):
                self.takeover.take_over(primary, incarnation, replica)

    def _on_replication_unavailable(self, request_number: int) -> None:
        request = self._request_table.requests.get(request_number)
        if request is not None and request.arrival.class_name in self._protected_only:
            self._request_table.reject_unprotected(request_number)

    def _lose_ownership(self, request_number: int, informed: tuple[int, ...]) -> None:
        if request_number in self._request_table.requests:
            self._owned_elsewhere[request_number] = informed
        self.duplicates.demote(request_number)
        self._request_table.transfer_to_backup(request_number)

    def try_follow_owner(self, request: PendingRequest) -> bool:
        """Let the client of a request that another instance owns wait for the outcome there, as for a duplicate.

        One that may have been executed here and that no other may replace fails: its owner does not repeat it.
        """
        request_number = request.arrival.id
        informed = self._owned_elsewhere.get(request_number)
        local = self.duplicates.get(request_number)
        if not informed or local is None or request.replica.handler_kind != DIRECT_REQUEST_KIND:
            return False
        if self._is_uncertain(request_number):
            return False
        self.counts["followed_owner"] += 1
        self._yield_to_duplicate(request_number, informed)
        # The owner may never have stored it: then it is started again here and must continue its lock.
        owner = LockOwner(self._settings.number, self._incarnation, request_number)
        self.takeover.inherit_lock(local.identity, InheritedLock(owner, request.arrival.deadline_at_ms))
        return True

    def _yield_to_duplicate(self, request_number: int, informed: tuple[int, ...]) -> None:
        request = self._request_table.requests.get(request_number)
        if request is None or request.ended:
            return
        arrival = request.arrival
        idempotency_key = request.replica.idempotency_key
        self._yielded.add(self._identity(arrival.customer, idempotency_key), arrival.deadline_at_ms)
        self._yielding = request_number
        self._informed = informed  # for `wait_for_outcome`, which the attempt handler calls
        uncertain_attempts = self.primary.uncertain_attempts(request_number)
        request.handler.yield_to_duplicate(arrival_to_start_again(request, uncertain_attempts), idempotency_key)
        self._informed = ()
        self._yielding = None

    def _on_released(self, owner: LockOwner, replica: ReplicatedRequest) -> None:
        """Resolve the requests that wait for one which is not stored here any more."""
        if not replica.excludes_duplicates:
            return
        outcome = self.takeover.uncertain_outcome(replica) if replica.attempts else Outcome.NEVER_EXECUTED
        is_uncertain = outcome is Outcome.MAY_HAVE_EXECUTED
        self.completed.add(replica.identity, CompletedRequest(owner, replica.deadline_ms, is_uncertain))
        if is_uncertain:
            # Other stored requests of the identity wait for the outcome as well.
            self.duplicates.end_uncertain(replica.identity, owner.number, lambda identity: False)
        elif not self._is_in_flight_elsewhere(replica.identity):
            # A request that yielded to the lock holder is notified by the holder: this one may have yielded too.
            if not self.duplicates.is_followed(replica.identity):
                self.deduplicator.ended_elsewhere(replica.identity, may_have_executed=False)
            if not self.voter.uses_locks(owner.number, 1):
                self.duplicates.notify(replica.identity, outcome)

    def _release_if_completed(self, identity: bytes) -> None:
        """Resolve a completed request whose primary has failed since: release its lock, unless it may have executed."""
        completed = self.completed.get(self._clock(), identity)
        if completed is None or not self._is_unavailable(completed.owner.number):
            return
        if completed.is_uncertain:
            self.duplicates.remember(identity, Outcome.MAY_HAVE_EXECUTED)
        else:
            self.locks.release_predecessor(identity, completed.owner, completed.deadline_ms)

    # ---- state -----------------------------------------------------------------------------------

    def state(self) -> dict[str, Any]:
        """Return the state report. Operators' tools depend on its keys."""
        return {
            "kept_for_others": self.backup.request_count,
            "kept_by_others": len(self.primary),
            "answers": len(self.deduplicator),
            "counts": dict(sum((part.counts for part in self._counting_parts), self.counts.copy())),
        }

    @property
    def _counting_parts(self) -> tuple[Any, ...]:
        return self.primary, self.backup, self.locks, self.voter, self.deduplicator


def _placement(config: Config) -> LockPlacement:
    """Return the placement of votes; zones are used only if all instances have one, so that all of them agree."""
    instances = range(config.settings.gateways)
    has_zones = all(config.rooms.get(number) for number in instances)
    return LockPlacement({number: config.rooms[number] if has_zones else "" for number in instances})
