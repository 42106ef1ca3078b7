"""Batching of the messages to peers, depending on the load of their inboxes.

Messages beyond the rate that an inbox accepts are lost. The load of the local inbox serves as an estimate of that of
the peers: the higher it is, the longer messages to one peer are collected before they are sent together.
"""

from __future__ import annotations

import math

from anisefront.policy.actions import SendToPeer
from anisefront.policy.control_period import PERIOD_MS
from anisefront.policy.decay import decay_factor
from anisefront.policy.peer_codec import MAX_QUOTA_MESSAGES, EndpointObservation, QuotaMessage, encode
from anisefront.policy.settings import Settings
from anisefront.policy.timers import TimerKind, TimerQueue

INBOX_FRACTION = 0.75  # target utilization of an inbox by all senders together
MAX_GAP_MS = 60.0  # between two messages to one peer
ACTIVE_PEER_MS = 1000.0  # peers that sent a message within this time count as senders to the same inboxes


class PeerOutbox:
    """Messages to peers that have not been sent yet."""

    __slots__ = ("_boot", "_flush_ms", "_pending", "_received", "_received_ms", "_sent_ms", "_settings", "_timers")

    def __init__(self, settings: Settings, boot: int, timers: TimerQueue) -> None:
        """Start without messages; `boot` is the random number that identifies this process."""
        self._boot = boot
        self._flush_ms = 0.0
        self._pending: dict[int, list[QuotaMessage]] = {}  # by peer
        self._received = 0.0  # decayed count of messages received
        self._received_ms: dict[int, float] = {}  # time of each peer's last message, in order of time
        self._sent_ms: dict[int, float] = {}
        self._settings = settings
        self._timers = timers

    def __len__(self) -> int:
        """Return the number of peers with pending messages."""
        return len(self._pending)

    @property
    def active_peers(self) -> int:
        """Return how many peers have sent messages recently."""
        return len(self._received_ms)

    def change_settings(self, settings: Settings) -> None:
        """Apply new settings."""
        self._settings = settings

    def record_received(self, now_ms: float, sender: int) -> None:
        """Count a message from a peer."""
        self._received_ms.pop(sender, None)  # so that the sender is inserted at the end
        self._received_ms[sender] = now_ms
        self._received += 1

    def end_period(self) -> None:
        """Decay the count of messages by a control period."""
        self._received *= decay_factor(PERIOD_MS, ACTIVE_PEER_MS)

    def add(self, peer: int, message: QuotaMessage) -> None:
        """Queue a message to a peer."""
        self._pending.setdefault(peer, []).append(message)

    def flush(
        self, now_ms: float, sustainable_attempts: float, observations: list[EndpointObservation]
    ) -> list[SendToPeer]:
        """Return the messages to send now, and set a timer for the others."""
        if not self._pending:
            return []
        gap_ms = self._gap_ms(now_ms)
        ready = [peer for peer in self._pending if now_ms > self._sent_ms.get(peer, -math.inf) + gap_ms]
        if len(ready) < len(self._pending) and now_ms >= self._flush_ms:
            self._flush_ms = now_ms + max(self._settings.tick_ms, gap_ms / 2)
            self._timers.set(TimerKind.OUTBOX_FLUSH, self._flush_ms)
        actions = []
        for peer in ready:
            self._sent_ms[peer] = now_ms
            messages = self._pending.pop(peer)[:MAX_QUOTA_MESSAGES]
            actions.append(SendToPeer(peer, encode(self._boot, sustainable_attempts, messages, observations)))
        return actions

    def _gap_ms(self, now_ms: float) -> float:
        """Return the minimum time between two messages to one peer: 0 while the inbox is less than half full."""
        self._evict_inactive_peers(now_ms)
        capacity_per_s = INBOX_FRACTION * self._settings.inbox_per_s or math.inf
        overload = min(1.0, max(0.0, 2 * self._received / capacity_per_s - 1))
        return min(MAX_GAP_MS, overload * len(self._received_ms) * 1000 / capacity_per_s)

    def _evict_inactive_peers(self, now_ms: float) -> None:
        while self._received_ms:
            oldest = next(iter(self._received_ms))
            if now_ms - self._received_ms[oldest] <= ACTIVE_PEER_MS:
                return
            del self._received_ms[oldest]
