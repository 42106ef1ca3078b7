"""Delivery of quota messages: to a peer's quota owner or borrower, or to those of this gateway instance."""

from __future__ import annotations

from typing import Protocol

from anisefront.policy.peer_codec import QuotaMessage, QuotaMessageKind
from anisefront.policy.peer_outbox import PeerOutbox
from anisefront.policy.quota_request_queue import QuotaRequestKey
from anisefront.policy.settings import Settings

OWNER_REPLIES = (QuotaMessageKind.GRANT, QuotaMessageKind.QUEUED)


class OwnerSide(Protocol):
    """What receives the messages to a quota owner."""

    def receive(self, now_ms: float, key: QuotaRequestKey, message: QuotaMessage) -> None:
        """Take in a borrower's message."""


class BorrowerSide(Protocol):
    """What receives the replies of a quota owner."""

    def receive(self, now_ms: float, sender: int, message: QuotaMessage) -> None:
        """Take in an owner's reply."""


class QuotaRouter:
    """Routes quota messages by the gateway instance they are for."""

    __slots__ = ("_boot", "_borrower", "_outbox", "_owner", "_settings")

    def __init__(self, settings: Settings, boot: int, outbox: PeerOutbox) -> None:
        """Send through the outbox; `boot` is this process's random number."""
        self._boot = boot
        self._borrower: BorrowerSide
        self._outbox = outbox
        self._owner: OwnerSide
        self._settings = settings

    def connect(self, borrower: BorrowerSide, owner: OwnerSide) -> None:
        """Deliver what is for this gateway instance to these."""
        self._borrower = borrower
        self._owner = owner

    def change_settings(self, settings: Settings) -> None:
        """Use other settings from now on."""
        self._settings = settings

    def send(self, now_ms: float, gateway: int, message: QuotaMessage) -> None:
        """Send a message to a gateway instance; one to this instance is delivered at once."""
        if gateway == self._settings.number:
            self.deliver(now_ms, gateway, self._boot, message)
        elif self._settings.peer_messages_enabled:
            self._outbox.add(gateway, message)

    def deliver(self, now_ms: float, sender: int, boot: int, message: QuotaMessage) -> None:
        """Hand a message to the side that it is for; one with an unknown class or plan is dropped."""
        if message.kind in OWNER_REPLIES:
            self._borrower.receive(now_ms, sender, message)
        elif message.plan_index < len(self._settings.plans) and message.class_index < len(self._settings.classes):
            self._owner.receive(now_ms, QuotaRequestKey(sender, boot, message.serial), message)
