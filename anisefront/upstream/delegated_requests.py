"""Requests whose attempts a proxy sends: a check asks for an attempt, our response starts it, the access log ends it.

Maps a proxy's checks and access logs to the requests of the table. Opens no socket and makes no decisions. States:

    checking (a check is open) --start_attempt--> in flight --log: served--> ended
                                                  in flight --log: failed--> between checks --check--> checking
    between checks, no check for `next_check_ms` --> ended: the proxy has answered its client by itself

A final response that no check waits for is retained for that time and sent to the next check.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable

from anisefront.gateway.interfaces import Timers
from anisefront.gateway.pending_request import ReplicaRecord
from anisefront.gateway.request_table import RequestTable
from anisefront.gateway.request_terms import RequestTerms
from anisefront.policy.actions import RejectionReason
from anisefront.policy.events import Arrival, AttemptResult, PriorAttempts
from anisefront.upstream.delegated_checks import (
    AT_CAPACITY,
    FAILED,
    IN_PROGRESS,
    UNKNOWN_ATTEMPT,
    CheckResponse,
    DelegatedRequest,
    DelegationTimeouts,
    Reply,
    Verdict,
    WithheldAttempt,
)
from anisefront.upstream.delegated_index import DelegatedIndex
from anisefront.upstream.delegated_timers import StateTimers
from anisefront.upstream.inherited_requests import InheritedRequest, InheritedRequests

REPLICA_KIND = "proxied"  # in the records of delegated requests; other versions read it


class DelegatedRequests:
    """The attempt handler for requests that proxies ask about."""

    def __init__(
        self,
        request_table: RequestTable,
        timers: Timers,
        incarnation: str,
        timeouts: DelegationTimeouts | None = None,
    ) -> None:
        """Create a handler; `incarnation` names this process in the names of attempts."""
        self._request_table = request_table
        self._state_timers = StateTimers(timers)
        self._incarnation = incarnation
        self.timeouts = timeouts or DelegationTimeouts()
        self.index = DelegatedIndex(incarnation)
        self.counts: Counter[str] = Counter()
        # Set where requests are replicated: whether another gateway instance has a customer's request of a key.
        self.is_in_progress_elsewhere: Callable[[str, str], bool] | None = None
        self.inherited = InheritedRequests(
            request_table.now_ms, timers, self.counts, lambda: self.timeouts.log_ms, self._readmit
        )

    # ---- checks --------------------------------------------------------------------------------

    def first_check(
        self, request_id: str, reply: Reply, terms: RequestTerms, peer: str = "", idempotency_key: str = ""
    ) -> int | None:
        """Receive the first check of a request.

        Args:
            request_id: The proxy's id of the request.
            reply: Receives the response to the check.
            terms: The request's terms.
            peer: The proxy's host.
            idempotency_key: The client's key of the request, where it differs from `request_id`.

        Returns:
            The number for `check_cancelled`; None if the response was sent at once.
        """
        idempotency_key = idempotency_key or request_id
        inherited = self.inherited.find(terms.customer, idempotency_key)
        if inherited is not None:
            return self.inherited.readmit(inherited, reply, peer, request_id)
        if self._is_duplicate(request_id, terms.customer, idempotency_key):
            # Sent through two proxies or gateway instances, the same request would be executed twice.
            self.counts["same_id_twice"] += 1
            reply(IN_PROGRESS)
            return None
        request_number = self._accept(idempotency_key, terms, None)
        if request_number is None:
            reply(AT_CAPACITY)
            return None
        self.index.add(DelegatedRequest(request_id, request_number, reply, peer=peer, customer=terms.customer))
        return request_number

    def next_check(self, attempt_name: str, reply: Reply) -> int | None:
        """Receive a further check: the proxy asks for the attempt after the one that it names.

        Returns:
            The number for `check_cancelled`; None if the response was sent at once.
        """
        inherited, attempt_number = self.inherited.find_attempt(attempt_name)
        if inherited is not None and inherited.reply is None:
            return self.inherited.next_check(inherited, attempt_number, reply)
        request = self.index.find_attempt(attempt_name)
        if request is None or request.reply is not None:
            # From another incarnation, ended long ago, or repeated: whether it was executed isn't known here.
            self.counts["asked_again_unknown"] += 1
            reply(UNKNOWN_ATTEMPT)
            return None
        request.revision += 1
        request.reply = reply
        if request.final is not None:
            self._send_final(request, request.final)
            return None
        if request.withheld is not None:
            self._release_withheld(request, request.withheld)
        elif request.in_flight:  # the check came before the log
            self._state_timers.call_later(self.timeouts.log_ms, request, self._log_missing)
        return request.number

    def check_cancelled(self, request_number: int) -> None:
        """End a request whose proxy gave up its open check: the client disconnected, or the proxy's timeout passed."""
        request = self.index.get(request_number)
        if request is not None and request.reply is not None:
            request.reply = None
            self.counts["withdrawn"] += 1
            if not request.in_flight:
                self._close(request)
            self._request_table.client_disconnected(request_number)

    # ---- access logs ---------------------------------------------------------------------------

    def attempt_logged(
        self,
        attempt_name: str,
        result: AttemptResult,
        duration_ms: float | None,
        load: tuple[float, ...],
        is_final: bool,
    ) -> bool:
        """Record the end of an attempt that a proxy logged.

        Args:
            attempt_name: The attempt.
            result: What its end proves.
            duration_ms: How long it took, if the log says.
            load: The endpoint's load report.
            is_final: Whether the client has its response or has disconnected.

        Returns:
            Whether the attempt is known and had no log before. Otherwise nothing changes.
        """
        inherited, attempt_number = self.inherited.find_attempt(attempt_name)
        if inherited is not None and attempt_number in inherited.uncertain_attempts:
            self.inherited.attempt_logged(inherited, attempt_number, result, is_final)
            return True
        request = self.index.find_attempt(attempt_name)
        if request is None or not request.in_flight:
            self.counts["logs_unknown"] += 1
            return False
        request.in_flight = False
        request.revision += 1
        if is_final and result is not AttemptResult.OK:
            self._request_table.client_disconnected(request.number)
        is_served = self._request_table.attempt_ended(request.number, request.attempt_number, result, duration_ms, load)
        if is_served or is_final or result is AttemptResult.OK:
            self._close(request)
        elif request.reply is None:
            self._state_timers.call_later(self.timeouts.next_check_ms, request, self._next_check_missing)
        return True

    def denial_logged(self, request_id: str, peer: str) -> bool:
        """Record that a proxy denied a request because its check had failed: our response never reached it.

        The proxy saw no attempt's name, so the log has only the request id. It proves that nothing was sent only if
        it comes from the host that asked and no other check came with that id.

        Returns:
            Whether it proves that.
        """
        request = self.index.find_sole(request_id)
        if request is None or request.is_ambiguous or request.peer != peer or request.attempt_number > 0:
            self.counts["logs_unknown"] += 1
            return False
        self.counts["unsent"] += 1
        self._request_table.client_disconnected(request.number)
        if request.in_flight:
            request.in_flight = False
            self._request_table.attempt_ended(request.number, request.attempt_number, AttemptResult.DISCARDED, 0.0)
        self._close(request)
        return True

    def inherit(
        self,
        incarnation: str,
        request_number: int,
        idempotency_key: str,
        terms: RequestTerms,
        prior_attempts: PriorAttempts,
        uncertain_attempts: dict[int, tuple[str, float]],
    ) -> InheritedRequest:
        """Wait for the proxy or the client of a request that another gateway instance had.

        Args:
            incarnation: Process incarnation of the other gateway instance.
            request_number: The request's number there.
            idempotency_key: The client's key of the request.
            terms: Its terms.
            prior_attempts: Summary of its attempts so far.
            uncertain_attempts: Attempts that may have been executed: endpoint and start, by number.
        """
        inherited = InheritedRequest(
            (incarnation, request_number), idempotency_key, terms, prior_attempts, uncertain_attempts
        )
        self.inherited.add(inherited)
        return inherited

    def _readmit(self, inherited: InheritedRequest, reply: Reply, peer: str, request_id: str) -> int | None:
        prior_attempts = inherited.remaining_prior_attempts()
        request_number = self._accept(inherited.idempotency_key, inherited.terms, prior_attempts)
        if request_number is None:
            reply(FAILED if inherited.uncertain_attempts else AT_CAPACITY)
            return None
        request = DelegatedRequest(request_id, request_number, reply, peer=peer, customer=inherited.terms.customer)
        request.attempt_number = prior_attempts.attempts - 1
        self.index.add(request)
        return request_number

    # ---- attempt handler -----------------------------------------------------------------------

    def start_attempt(self, request_number: int, attempt_number: int, endpoint: str, timeout_ms: float) -> None:
        """Start an attempt: by the open check, or by the next one if it comes soon."""
        request = self.index.get(request_number)
        if request is None:
            self._request_table.attempt_ended(request_number, attempt_number, AttemptResult.DISCARDED, 0.0)
        elif request.reply is not None:
            self._start(request, attempt_number, endpoint, timeout_ms)
        else:
            request.withheld = WithheldAttempt(attempt_number, endpoint, timeout_ms, self._request_table.now_ms())

    def cancel_attempt(self, request_number: int, attempt_number: int) -> None:
        """Do nothing: a proxy's attempt can't be cancelled. Its log or its timeout ends it."""

    def reject(self, request_number: int, retry_after_ms: float, reason: RejectionReason) -> None:
        """Send a rejection to the open check, or retain it for the next."""
        self._respond(
            request_number, CheckResponse(Verdict.REJECTED, retry_after_ms=retry_after_ms, reason=reason.value)
        )

    def fail(self, request_number: int) -> None:
        """Send a failure to the open check, or retain it for the next."""
        self._respond(request_number, FAILED)

    def yield_to_duplicate(self, arrival: Arrival, idempotency_key: str) -> None:
        """Let the proxy retry a request that is in progress at another gateway instance."""
        request = self.index.get(arrival.id)
        self._request_table.client_disconnected(arrival.id)
        if request is not None:
            reply = request.take_reply()
            self._close(request)
            if reply is not None:
                reply(IN_PROGRESS)

    # ---- open requests -------------------------------------------------------------------------

    def _accept(self, idempotency_key: str, terms: RequestTerms, prior_attempts: PriorAttempts | None) -> int | None:
        replica = None
        if self.is_in_progress_elsewhere is not None:
            replica = ReplicaRecord(REPLICA_KIND, idempotency_key, {"life": self._incarnation})
        return self._request_table.accept(
            self, terms, allows_hedging=False, prior_attempts=prior_attempts, replica=replica
        )

    def _is_duplicate(self, request_id: str, customer: str, idempotency_key: str) -> bool:
        """Whether the customer's request is in progress here, which is then marked as ambiguous, or elsewhere."""
        request = self.index.find(request_id, customer)
        if request is not None:
            request.is_ambiguous = True
            return True
        if self.is_in_progress_elsewhere is None or not idempotency_key:
            return False
        return self.is_in_progress_elsewhere(customer, idempotency_key)

    def _start(self, request: DelegatedRequest, attempt_number: int, endpoint: str, timeout_ms: float) -> None:
        reply = request.take_reply()
        request.attempt_number = attempt_number
        request.in_flight = True
        request.revision += 1
        timeout_ms = self.timeouts.proxy_timeout_ms(timeout_ms)
        name = f"{self._incarnation}.{request.number}.{attempt_number}"
        reply(CheckResponse(Verdict.START_ATTEMPT, endpoint, timeout_ms, name))
        self._state_timers.call_later(timeout_ms + self.timeouts.log_ms, request, self._log_missing)

    def _release_withheld(self, request: DelegatedRequest, withheld: WithheldAttempt) -> None:
        """Start a withheld attempt, unless the controller must decide again.

        An attempt that was valid when it was decided may violate a drain or a retry's time window by now.
        """
        request.withheld = None
        waited_ms = self._request_table.now_ms() - withheld.since_ms
        is_late = waited_ms > self.timeouts.max_withheld_ms
        if is_late or not self._request_table.may_start_attempt(request.number, withheld.number):
            self._request_table.attempt_ended(request.number, withheld.number, AttemptResult.DISCARDED, 0.0)
        else:
            self._start(request, withheld.number, withheld.endpoint, withheld.timeout_ms - waited_ms)

    def _respond(self, request_number: int, response: CheckResponse) -> None:
        request = self.index.get(request_number)
        if request is None:
            return
        if request.reply is not None:
            self._send_final(request, response)
            return
        request.final = response  # the proxy may still ask what to send to its client
        delay_ms = self.timeouts.next_check_ms
        if request.in_flight:
            delay_ms += self.timeouts.log_ms
        self._state_timers.call_later(delay_ms, request, self._next_check_missing)

    def _send_final(self, request: DelegatedRequest, response: CheckResponse) -> None:
        reply = request.take_reply()
        self._close(request)
        reply(response)

    def _close(self, request: DelegatedRequest) -> None:
        request.revision += 1
        self.index.remove(request)
        if request.in_flight:  # its log won't be recognized any more
            request.in_flight = False
            self._request_table.attempt_ended(request.number, request.attempt_number, AttemptResult.TIMEOUT)
        if request.withheld is not None:
            withheld = request.withheld
            request.withheld = None
            self._request_table.attempt_ended(request.number, withheld.number, AttemptResult.DISCARDED, 0.0)

    def _log_missing(self, request: DelegatedRequest) -> None:
        """Take an attempt without a log for a timeout that may have been executed."""
        if not request.in_flight:
            return
        self.counts["logs_missing"] += 1
        request.in_flight = False
        request.revision += 1
        self._request_table.attempt_ended(request.number, request.attempt_number, AttemptResult.TIMEOUT)
        if request.reply is None:
            self._state_timers.call_later(self.timeouts.next_check_ms, request, self._next_check_missing)

    def _next_check_missing(self, request: DelegatedRequest) -> None:
        """End a request whose proxy did not return: its client has a response, and nothing more may be sent."""
        self.counts["not_asked_again"] += 1
        self._close(request)
        self._request_table.client_disconnected(request.number)
