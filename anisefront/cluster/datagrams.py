"""Authenticated datagrams between gateway instances: sequence number, process incarnation, time and HMAC. Free of I/O.

    version 1 | sender 2 | receiver 2 | process incarnation 8 | sequence 8 | sent, ms 8 | data | HMAC-SHA256, first 16

A receiver accepts each datagram once, only from the sender's latest process incarnation, and none older than
`MAX_AGE_MS`. Duplicated, forged and replayed datagrams therefore have no effect, even after a restart of the receiver.
"""

from __future__ import annotations

import hashlib
import hmac
import struct
from collections import Counter
from dataclasses import dataclass

_HEADER = struct.Struct(">BHHQQQ")
_VERSION = 1
_MAC_BYTES = 16
OVERHEAD_BYTES = _HEADER.size + _MAC_BYTES
MAX_AGE_MS = 10_000.0  # exceeds the tolerated clock skew plus transit time
REPLAY_WINDOW = 128  # sequence numbers below the highest that are tracked; older datagrams are dropped
MIN_SECRET_BYTES = 16


@dataclass(slots=True)
class _Peer:
    """Replay window over the datagrams of one sender."""

    process_incarnation: int = 0
    highest_sequence: int = 0
    received: int = 0  # bits of the REPLAY_WINDOW sequence numbers up to the highest

    def restart(self, process_incarnation: int) -> None:
        """Start to track a later process incarnation."""
        self.process_incarnation = process_incarnation
        self.highest_sequence = 0
        self.received = 0

    def accept(self, sequence: int) -> bool:
        """Track a sequence number in a sliding window (RFC 4303); returns whether it is new."""
        ahead = sequence - self.highest_sequence
        if ahead > 0:
            self.highest_sequence = sequence
            window_mask = (1 << REPLAY_WINDOW) - 1
            self.received = ((self.received << ahead) | 1) & window_mask if ahead < REPLAY_WINDOW else 1
            return True
        behind = -ahead
        if behind >= REPLAY_WINDOW or self.received >> behind & 1:
            return False
        self.received |= 1 << behind
        return True


class DatagramAuthenticator:
    """Signs and verifies the datagrams of one process incarnation of an instance."""

    def __init__(self, secret: bytes, number: int, process_incarnation: int) -> None:
        """Initialize with the secret that all instances share.

        Raises:
            ValueError: The secret is too short.
        """
        if len(secret) < MIN_SECRET_BYTES:
            raise ValueError(f"secret: {len(secret)} bytes, at least {MIN_SECRET_BYTES} are required")
        self.number = number
        self.process_incarnation = process_incarnation
        self.peers: dict[int, _Peer] = {}
        self.counts: Counter[str] = Counter()
        self._secret = secret
        self._last_sequence: dict[int, int] = {}

    def _mac(self, data: bytes) -> bytes:
        return hmac.digest(self._secret, data, hashlib.sha256)[:_MAC_BYTES]

    def write(self, receiver: int, data: bytes, now_ms: float) -> bytes:
        """Return the datagram for one receiver; `now_ms` is Unix time."""
        sequence = self._last_sequence.get(receiver, 0) + 1
        self._last_sequence[receiver] = sequence
        header = _HEADER.pack(_VERSION, self.number, receiver, self.process_incarnation, sequence, int(now_ms))
        body = header + data
        return body + self._mac(body)

    def read(self, datagram: bytes, now_ms: float) -> tuple[int, bytes] | None:
        """Return sender and data, or None for a rejected datagram; `counts` has the reasons."""
        result, accepted = self._read(datagram, now_ms)
        self.counts[result] += 1
        return accepted

    def _read(self, datagram: bytes, now_ms: float) -> tuple[str, tuple[int, bytes] | None]:
        if len(datagram) < OVERHEAD_BYTES or datagram[0] != _VERSION:
            return "unreadable", None
        body = datagram[:-_MAC_BYTES]
        if not hmac.compare_digest(datagram[-_MAC_BYTES:], self._mac(body)):
            return "forged", None
        _, sender, receiver, process_incarnation, sequence, sent_ms = _HEADER.unpack_from(body)
        if receiver != self.number or sender == self.number:
            return "misdirected", None
        if abs(now_ms - sent_ms) > MAX_AGE_MS:
            # A receiver that has just started knows no sequence numbers and would accept a replayed datagram.
            return "too_old", None
        peer = self.peers.setdefault(sender, _Peer())
        if process_incarnation < peer.process_incarnation:
            return "earlier_life", None
        if process_incarnation > peer.process_incarnation:
            peer.restart(process_incarnation)
        if not peer.accept(sequence):
            return "repeated", None
        return "taken", (sender, body[_HEADER.size :])
