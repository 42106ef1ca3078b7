"""Delivery of quota messages to quota owners and borrowers, at peers or at this gateway instance."""

from __future__ import annotations

from typing import Protocol

from anisefront.policy.peer_codec import QuotaMessage, QuotaMessageKind
from anisefront.policy.peer_outbox import PeerOutbox
from anisefront.policy.quota_request_queue import QuotaRequestKey
from anisefront.policy.settings import Settings

OWNER_REPLIES = (QuotaMessageKind.GRANT, QuotaMessageKind.QUEUED)


class OwnerSide(Protocol):
    """Receiver of the messages to a quota owner."""

    def receive(self, now_ms: float, key: QuotaRequestKey, message: QuotaMessage) -> None:
        """Process a borrower's message."""


class BorrowerSide(Protocol):
    """Receiver of the replies of a quota owner."""

    def receive(self, now_ms: float, sender: int, message: QuotaMessage) -> None:
        """Process an owner's reply."""


class QuotaRouter:
    """Routes quota messages to gateway instances."""

    __slots__ = ("_boot", "_borrower", "_outbox", "_owner", "_settings")

    def __init__(self, settings: Settings, boot: int, outbox: PeerOutbox) -> None:
        """Send through the outbox; `boot` is the random number that identifies this process."""
        self._boot = boot
        self._borrower: BorrowerSide
        self._outbox = outbox
        self._owner: OwnerSide
        self._settings = settings

    def connect(self, borrower: BorrowerSide, owner: OwnerSide) -> None:
        """Set the receivers of messages to this gateway instance."""
        self._borrower = borrower
        self._owner = owner

    def change_settings(self, settings: Settings) -> None:
        """Apply new settings."""
        self._settings = settings

    def send(self, now_ms: float, gateway: int, message: QuotaMessage) -> None:
        """Send a message to a gateway instance; one to this instance is delivered at once."""
        if gateway == self._settings.number:
            self.deliver(now_ms, gateway, self._boot, message)
        elif self._settings.peer_messages_enabled:
            self._outbox.add(gateway, message)

    def deliver(self, now_ms: float, sender: int, boot: int, message: QuotaMessage) -> None:
        """Deliver a message to the owner's or the borrower's side; one with an unknown class or plan is dropped."""
        if message.kind in OWNER_REPLIES:
            self._borrower.receive(now_ms, sender, message)
        elif message.plan_index < len(self._settings.plans) and message.class_index < len(self._settings.classes):
            self._owner.receive(now_ms, QuotaRequestKey(sender, boot, message.serial), message)
