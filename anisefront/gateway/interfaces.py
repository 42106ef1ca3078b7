"""Interfaces that the request table depends on: timers, attempt handlers and a replication guard."""

from __future__ import annotations

from collections.abc import Callable
from typing import Protocol

from anisefront.gateway.pending_request import PendingRequest
from anisefront.policy.actions import RejectionReason
from anisefront.policy.events import Arrival


class Timers(Protocol):
    """One-shot timers of an event loop. Twisted's reactor and `Clock` both provide them."""

    def callLater(self, delay: float, call: Callable[..., None], *args: object) -> object:
        """Call after `delay` seconds."""


class AttemptHandler(Protocol):
    """Sends the attempts of a request to endpoints and its final response to the client."""

    def start_attempt(self, request_number: int, attempt_number: int, endpoint: str, timeout_ms: float) -> None:
        """Start an attempt. Its end must always be reported to `RequestTable.attempt_ended`."""

    def cancel_attempt(self, request_number: int, attempt_number: int) -> None:
        """Stop waiting for an attempt. Its end must still be reported."""

    def reject(self, request_number: int, retry_after_ms: float, reason: RejectionReason) -> None:
        """Send the final response: it is safe for the client to retry the request."""

    def fail(self, request_number: int) -> None:
        """Send the final response: the request may have been executed."""

    def yield_to_duplicate(self, arrival: Arrival, idempotency_key: str) -> None:
        """Yield to a request with the same idempotency key that is in progress at another gateway instance.

        No attempt of this request is in flight. The handler ends it by `RequestTable.client_disconnected` and remains
        responsible for the client.
        """


class ReplicationGuard(Protocol):
    """Ensures that another gateway instance knows of a request before the request can have an effect."""

    def try_protect(self, request: PendingRequest) -> bool:
        """Begin to replicate an accepted request.

        Returns:
            Whether the request may proceed. False if its class requires a backup and none is available.
        """

    def may_release_attempt(self, request_number: int, attempt_number: int, endpoint: str) -> bool:
        """Replicate the start of an attempt.

        Returns:
            Whether the attempt may be sent now. Otherwise `RequestTable.release_attempt` or
            `RequestTable.transfer_to_backup` is called later.
        """

    def may_release_rejection(self, request_number: int) -> bool:
        """Replicate the rejection of a request.

        Returns:
            Whether the rejection may be sent now. Otherwise `RequestTable.release_rejection` or
            `RequestTable.transfer_to_backup` is called later.
        """

    def attempt_never_executed(self, request_number: int, attempt_number: int) -> None:
        """Record that an attempt is proved never to have been executed."""

    def try_follow_owner(self, request: PendingRequest) -> bool:
        """Let the client of a request that another instance owns wait for the outcome there.

        Returns:
            Whether it waits. Otherwise its request ends here.
        """

    def request_completed(self, request_number: int) -> None:
        """Record that a request has its final response or its client has disconnected."""
