"""The requests and attempts of one gateway instance, between frontends, attempt handlers and the controller.

Everything that happens becomes an event for the controller; every action of the controller is carried out. The table
makes no decisions and performs no I/O: clock, timers and the connection to peers are passed in.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable
from typing import Any

from anisefront.gateway.action_executor import ActionExecutor
from anisefront.gateway.batch_processor import BatchProcessor
from anisefront.gateway.event_batches import EventBatches
from anisefront.gateway.interfaces import AttemptHandler, ReplicationGuard, Timers
from anisefront.gateway.pending_request import PendingRequest, ReplicaRecord
from anisefront.gateway.request_terms import RequestTerms
from anisefront.policy.actions import Action, Reject, RejectionReason, StartAttempt
from anisefront.policy.controller import Controller
from anisefront.policy.events import (
    Arrival,
    AttemptEnded,
    AttemptResult,
    ClientDisconnected,
    EndpointList,
    EndpointListConfirmed,
    EndpointListRequested,
    EndpointStatus,
    PeerMessage,
    PeersUnreachable,
    PriorAttempts,
)
from anisefront.policy.settings import Settings

UNPROTECTED_RETRY_AFTER_MS = 1000.0  # retry advice if a request can't be replicated
MAX_REMOVED_ENDPOINTS_MULTIPLIER = 4  # of the listed endpoints; if more are known, removed ones are evicted
MIN_KNOWN_ENDPOINTS = 256  # known endpoints up to which none is evicted, however few are listed


class RequestTable:
    """The requests and attempts of one gateway instance, around one `Controller`."""

    def __init__(
        self,
        controller: Controller,
        now_ms: Callable[[], float],
        timers: Timers,
        send_to_peer: Callable[[int, bytes], None] = lambda receiver, data: None,
        subscribe: Callable[[], None] = lambda: None,
        max_open_requests: int = 50_000,
        on_controller_error: Callable[[Exception], None] | None = None,
        on_action_error: Callable[[Exception], None] | None = None,
        cpu_time_ms: Callable[[], float] = lambda: 0.0,
    ) -> None:
        """Create an empty table.

        Args:
            controller: Decides on all requests.
            now_ms: The clock.
            timers: The event loop's timers.
            send_to_peer: Sends bytes to another gateway instance, given its number.
            subscribe: Asks for endpoint lists.
            max_open_requests: Limit on open requests; further ones are not accepted.
            on_controller_error: Called after the controller raised and all requests failed; if None, it is raised.
            on_action_error: Called if an action can't be carried out; if None, it is raised.
            cpu_time_ms: Returns the processor time that the process has used.
        """
        self.controller = controller
        self.now_ms = now_ms
        self.max_open_requests = max_open_requests
        self.guard: ReplicationGuard | None = None
        self.requests: dict[int, PendingRequest] = {}
        self.endpoint_statuses: dict[str, EndpointStatus] = {}
        self.counts: Counter[str] = Counter()
        self.open_requests = 0  # accepted and not ended
        self._executor = ActionExecutor(self, send_to_peer, subscribe)
        self.processor = self._make_processor()
        self.batches = EventBatches(self.processor.process, now_ms, timers, self.counts, cpu_time_ms)
        self._timers = timers
        self._on_controller_error = on_controller_error
        self._on_action_error = on_action_error
        self._last_request_number = 0

    # ---- events --------------------------------------------------------------------------------

    def accept(
        self,
        handler: AttemptHandler,
        terms: RequestTerms,
        allows_hedging: bool = True,
        prior_attempts: PriorAttempts | None = None,
        replica: ReplicaRecord | None = None,
    ) -> int | None:
        """Accept a request, which is then owed one final response by `deadline_at_ms`.

        Returns:
            Its number. None if the table is at capacity or stopped, or if a backup is required and none is available:
            then it does not count as accepted, and the caller must reject it at once.
        """
        if self.open_requests >= self.max_open_requests or self.batches.stopped:
            self.counts["turned_away"] += 1
            return None
        self._last_request_number += 1
        arrival = _arrival(self._last_request_number, terms, allows_hedging, prior_attempts)
        request = PendingRequest(arrival, handler, self.now_ms(), replica=replica)
        if prior_attempts is not None:
            request.attempts = prior_attempts.attempts
            request.may_have_executed = prior_attempts.uncertain > 0
        if self.guard is not None and not self.guard.try_protect(request):
            self.counts["unprotected_refused"] += 1
            return None
        self.requests[arrival.id] = request
        self.open_requests += 1
        self.counts["accepted"] += 1
        self.batches.post(arrival)
        return arrival.id

    def attempt_ended(
        self,
        request_number: int,
        attempt_number: int,
        result: AttemptResult,
        duration_ms: float | None = None,
        load: tuple[float, ...] = (),
        actual_units: float = 0.0,
    ) -> bool:
        """Record the end of an attempt. An attempt that is unknown or has ended before is ignored.

        Returns:
            Whether this served the request, so that the response is sent to the client.
        """
        request = self.requests.get(request_number)
        ended = request.in_flight.pop(attempt_number, None) if request else None
        if request is None or ended is None:
            self.counts["outcomes_unknown"] += 1
            return False
        is_served = result is AttemptResult.OK and not request.ended
        if is_served:
            self._end(request)
            self.counts["served"] += 1
        self.counts[f"attempts_{result.value}"] += 1
        if not result.never_executed:
            request.may_have_executed = True
        elif self.guard is not None:
            self.guard.attempt_never_executed(request_number, attempt_number)
        if duration_ms is None:
            duration_ms = self.now_ms() - ended.started_ms
        self.batches.post(
            AttemptEnded(
                request_number,
                attempt_number,
                ended.endpoint,
                duration_ms,
                result,
                request.ended,
                actual_units,
                0,
                load,
            )
        )
        if request.transferred and not request.in_flight and not request.ended:
            self._end_transferred(request)
        self.remove_if_complete(request)
        return is_served

    def attempt_discarded(self, action: StartAttempt) -> None:
        """Record the end of an attempt whose request was removed before the attempt could start."""
        result = AttemptResult.DISCARDED
        self.counts[f"attempts_{result.value}"] += 1
        self.batches.post(AttemptEnded(action.id, action.attempt, action.endpoint, 0.0, result, final=True))

    def client_disconnected(self, request_number: int) -> None:
        """End a request whose client or proxy has disconnected, or has a response from elsewhere."""
        request = self.requests.get(request_number)
        if request is not None and not request.ended:
            self._end(request)
            self.counts["left"] += 1
            self.batches.post(ClientDisconnected(request_number))
            self.remove_if_complete(request)

    def receive_peer_message(self, sender: int, data: bytes) -> None:
        """Accept authenticated bytes from another gateway instance."""
        self.batches.post(PeerMessage(sender, data))

    def set_unreachable_peers(self, gateways: frozenset[int]) -> None:
        """Replace the set of gateway instances that are known to have failed or left."""
        self.batches.post(PeersUnreachable(gateways))

    def update_endpoints(self, endpoint_list: EndpointList) -> None:
        """Replace the endpoints by a complete list."""
        if not endpoint_list.failed:
            listed = {endpoint.id: endpoint.status for endpoint in endpoint_list.endpoints}
            known = dict.fromkeys(self.endpoint_statuses, EndpointStatus.REMOVED) | listed
            max_known = MAX_REMOVED_ENDPOINTS_MULTIPLIER * len(listed) + MIN_KNOWN_ENDPOINTS
            self.endpoint_statuses = known if len(known) <= max_known else listed
        self.batches.post(endpoint_list)

    def endpoints_requested(self, valid_for_ms: float) -> None:
        """Record that discovery was asked for a list; the present one counts as current for this time."""
        self.batches.post(EndpointListRequested(valid_for_ms))

    def endpoints_confirmed(self) -> None:
        """Record that discovery has responded, after `update_endpoints` if it sent changes."""
        self.batches.post(EndpointListConfirmed())

    def change_settings(self, settings: Settings) -> None:
        """Apply changed settings to the requests that arrive from now on."""
        self.batches.post(settings)

    def fail_open_requests(self) -> None:
        """Fail every request without a final response, at the end of the process."""
        for request in list(self.requests.values()):
            if not request.ended:
                self.fail(request)

    def may_start_attempt(self, request_number: int, attempt_number: int) -> bool:
        """Return whether an attempt that was started earlier may still be sent; checked immediately before it is.

        Meanwhile its endpoint may have begun to drain, its client may have disconnected, another gateway instance may
        have taken the request over, or the endpoints' deduplication window may have passed.
        """
        request = self.requests.get(request_number)
        pending = request.in_flight.get(attempt_number) if request is not None else None
        return (
            pending is not None
            and not request.ended
            and not request.transferred
            and self.now_ms() <= pending.start_before_ms
            and self.endpoint_statuses.get(pending.endpoint) is EndpointStatus.READY
        )

    # ---- results of replication ----------------------------------------------------------------

    def release_attempt(self, request_number: int, attempt_number: int) -> None:
        """Start a withheld attempt after it was replicated."""
        request = self.requests.get(request_number)
        pending = request.in_flight.get(attempt_number) if request is not None else None
        if pending is None or pending.withheld_until_ms is None:
            return
        timeout_ms = pending.withheld_until_ms - self.now_ms()
        pending.withheld_until_ms = None
        pending.started_ms = self.now_ms()
        if timeout_ms <= 0 or not self.may_start_attempt(
            request_number, attempt_number
        ):  # the controller decides again
            self.attempt_ended(request_number, attempt_number, AttemptResult.DISCARDED, 0.0)
        else:
            action = StartAttempt(request_number, pending.endpoint, timeout_ms, attempt=attempt_number)
            self._contain(
                action, request.handler.start_attempt, request_number, attempt_number, pending.endpoint, timeout_ms
            )

    def release_rejection(self, request_number: int) -> None:
        """Send a withheld rejection after it was replicated."""
        request = self.requests.get(request_number)
        if request is not None and request.withheld_rejection is not None and not request.ended:
            self._contain(request.withheld_rejection, self.reject, request, request.withheld_rejection)
            self.remove_if_complete(request)

    def reject_unprotected(self, request_number: int) -> None:
        """Reject a request that lacks its required backup or lock, unless an attempt of it has been sent."""
        request = self.requests.get(request_number)
        if request is None or request.ended or len(request.withheld_attempts) < len(request.in_flight):
            return
        self.counts["unprotected_refused"] += 1
        self.batches.post_before_later_attempt_ends(ClientDisconnected(request_number))
        if request.may_have_executed:
            self.fail(request)
            self.remove_if_complete(request)
            return
        rejection = Reject(request_number, UNPROTECTED_RETRY_AFTER_MS, RejectionReason.CAPACITY)
        self._contain(rejection, self.reject, request, rejection)
        self.remove_if_complete(request)

    def transfer_to_backup(self, request_number: int) -> None:
        """Yield a request to the gateway instance that has taken it over.

        Attempts in flight may still serve it; no further attempt is sent. If none does, its client waits for the
        response of the other instance, or the request fails.
        """
        request = self.requests.get(request_number)
        if request is None or request.ended or request.transferred:
            return
        request.transferred = True
        self.counts["lost"] += 1
        # If the controller received the ends below first, it would start a further attempt.
        self.batches.post_before_later_attempt_ends(ClientDisconnected(request_number))
        self._discard_withheld_attempts(request)
        if request.ended:
            return
        if request.in_flight:
            self.fail_at_deadline(request, self.now_ms())
        else:
            self._end_transferred(request)
            self.remove_if_complete(request)

    def _end_transferred(self, request: PendingRequest) -> None:
        """End a request that another instance owns, and of which no attempt is in flight here."""
        if self.guard is None or not self.guard.try_follow_owner(request):
            self.fail(request)

    def fail_at_deadline(self, request: PendingRequest, now_ms: float) -> None:
        """Ensure a final response to a request that the controller no longer tracks."""
        delay_ms = max(0.0, request.arrival.deadline_at_ms - now_ms)
        self._timers.callLater(delay_ms / 1000, self._deadline_passed, request.arrival.id)

    def _deadline_passed(self, request_number: int) -> None:
        request = self.requests.get(request_number)
        if request is not None and not request.ended:
            self.fail(request)
            self.remove_if_complete(request)

    # ---- batches of events ---------------------------------------------------------------------

    def _make_processor(self) -> BatchProcessor:
        return BatchProcessor(
            lambda now_ms, events: self.controller.handle(now_ms, events),
            self._executor.carry_out,
            self._controller_failed,
            self._action_failed,
        )

    # ---- errors --------------------------------------------------------------------------------

    def _controller_failed(self, error: Exception) -> None:
        """Fail all requests after the controller raised within a batch.

        Its state is undefined then, so it must not be called again, and open requests would never get a response. The
        process should end afterwards.
        """
        if self._on_controller_error is None:
            raise error
        self.batches.stopped = True
        self.fail_open_requests()
        self._on_controller_error(error)

    def _contain(self, action: Action, carry_out: Callable[..., None], *arguments: Any) -> None:
        """Carry out a withheld action, with the same error handling as for other actions."""
        try:
            carry_out(*arguments)
        except Exception as error:
            self._action_failed(action, error)

    def _action_failed(self, action: Action, error: Exception) -> None:
        if self._on_action_error is None:
            raise error
        self.counts["raised"] += 1
        self._on_action_error(error)
        self._executor.limit_failure(action)

    # ---- ends of requests ----------------------------------------------------------------------

    def reject(self, request: PendingRequest, action: Reject) -> None:
        """Reject a request as its final response: it is safe for the client to retry it."""
        self._end(request)
        self.counts["refused"] += 1
        self.counts[f"refused_{action.reason.value}"] += 1
        request.handler.reject(action.id, action.retry_after_ms, action.reason)

    def fail(self, request: PendingRequest) -> None:
        """Fail a request as its final response: it may have been executed."""
        self._end(request)
        self.counts["failed"] += 1
        request.handler.fail(request.arrival.id)

    def _end(self, request: PendingRequest) -> None:
        request.ended = True
        self.open_requests -= 1
        if self.guard is not None:
            self.guard.request_completed(request.arrival.id)
        self._discard_withheld_attempts(request)

    def _discard_withheld_attempts(self, request: PendingRequest) -> None:
        """End the attempts that the replication guard withholds: they were never sent."""
        for attempt_number in request.withheld_attempts:
            self.attempt_ended(request.arrival.id, attempt_number, AttemptResult.DISCARDED, 0.0)

    def remove_if_complete(self, request: PendingRequest) -> None:
        """Remove a request that has ended and has no attempt in flight."""
        if request.ended and not request.in_flight:
            self.requests.pop(request.arrival.id, None)


def _arrival(
    request_number: int, terms: RequestTerms, allows_hedging: bool, prior_attempts: PriorAttempts | None
) -> Arrival:
    return Arrival(
        request_number,
        terms.customer,
        terms.class_name,
        terms.plan_name,
        terms.deadline_at_ms,
        terms.units,
        terms.first_gateway,
        terms.spread,
        terms.is_retry,
        allows_hedging,
        prior_attempts,
    )
