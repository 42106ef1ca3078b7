"""Carries out the controller's actions on the request table."""

from __future__ import annotations

from collections.abc import Callable
from typing import TYPE_CHECKING

from anisefront.gateway.pending_request import AttemptInFlight
from anisefront.policy.actions import (
    Action,
    CancelAttempt,
    Fail,
    ProbeEndpoint,
    Reject,
    SendToPeer,
    SetTimer,
    StartAttempt,
    Subscribe,
)
from anisefront.policy.events import AttemptResult

if TYPE_CHECKING:
    from anisefront.gateway.request_table import RequestTable


class ActionExecutor:
    """Carries out actions on the requests of one table."""

    def __init__(
        self,
        table: RequestTable,
        send_to_peer: Callable[[int, bytes], None],
        subscribe: Callable[[], None],
    ) -> None:
        """Create an executor; the arguments are those of the table."""
        self._table = table
        self._send_to_peer = send_to_peer
        self._subscribe = subscribe

    def carry_out(self, now_ms: float, action: Action) -> None:
        """Carry out one action."""
        if isinstance(action, SetTimer):
            self._table.batches.set_timer(now_ms, action.delay_ms, action.name)
        elif isinstance(action, StartAttempt):
            self._start_attempt(now_ms, action)
        elif isinstance(action, SendToPeer):
            self._send_to_peer(action.receiver, action.data)
        elif isinstance(action, Reject | Fail):
            self._respond(now_ms, action)
        elif isinstance(action, CancelAttempt):
            self._cancel_attempt(action)
        elif isinstance(action, Subscribe):
            self._subscribe()
        elif isinstance(action, ProbeEndpoint):
            self._table.counts["probes_dropped"] += 1  # probing is never enabled here

    def limit_failure(self, action: Action) -> None:
        """Confine the failure of an action to its request."""
        request = self._table.requests.get(getattr(action, "id", None))
        if request is None:
            return
        if isinstance(action, StartAttempt) and action.attempt in request.in_flight:  # it may have been sent
            self._table.attempt_ended(action.id, action.attempt, AttemptResult.ERROR)
        else:
            self._table.remove_if_complete(request)

    def _start_attempt(self, now_ms: float, action: StartAttempt) -> None:
        self._table.counts["attempts"] += 1
        request = self._table.requests.get(action.id)
        if request is None:  # its client disconnected in the same batch
            self._table.attempt_discarded(action)
            return
        attempt_number = action.attempt
        request.attempts = attempt_number + 1
        attempt = AttemptInFlight(action.endpoint, now_ms, now_ms + action.start_within_ms)
        request.in_flight[attempt_number] = attempt
        guard = self._table.guard
        if request.ended or request.transferred:
            # No attempt starts for a request that has its final response or is owned by another gateway instance.
            self._table.attempt_ended(action.id, attempt_number, AttemptResult.DISCARDED, 0.0)
        elif guard is not None and not guard.may_release_attempt(action.id, attempt_number, action.endpoint):
            attempt.withheld_until_ms = now_ms + action.timeout_ms
        else:
            request.handler.start_attempt(action.id, attempt_number, action.endpoint, action.timeout_ms)

    def _cancel_attempt(self, action: CancelAttempt) -> None:
        request = self._table.requests.get(action.id)
        if request is None or request.transferred:
            return
        attempt = request.in_flight.get(action.attempt)
        if attempt is None:
            return
        if attempt.withheld_until_ms is not None:
            self._table.attempt_ended(action.id, action.attempt, AttemptResult.DISCARDED, 0.0)
        else:
            request.handler.cancel_attempt(action.id, action.attempt)

    def _respond(self, now_ms: float, action: Reject | Fail) -> None:
        table = self._table
        request = table.requests.get(action.id)
        if request is None or request.ended or request.transferred:
            table.counts["answers_moot"] += 1
            return
        if isinstance(action, Fail):
            table.fail(request)
        elif table.guard is None or table.guard.may_release_rejection(action.id):
            table.reject(request, action)
        else:
            request.withheld_rejection = action
            table.fail_at_deadline(request, now_ms)
        table.remove_if_complete(request)
