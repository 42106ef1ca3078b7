"""Authenticated datagrams between gatekeepers: sequence, incarnation, time and an HMAC. Free of I/O.

    version 1 | sender 2 | receiver 2 | incarnation 8 | sequence 8 | sent, ms 8 | data | HMAC-SHA256, first 16

A receiver takes each datagram once, only from the sender's newest life, and none older than `MOST_AGE_MS`:
so neither a doubled, a forged nor a kept one of an earlier life changes anything, also after a restart of ours.
"""

from __future__ import annotations

import hashlib
import hmac
import struct
from collections import Counter
from dataclasses import dataclass

_HEAD = struct.Struct(">BHHQQQ")
_VERSION, _MAC_BYTES = 1, 16
MOST_AGE_MS = 10_000.0  # a little more than clocks of one fleet may differ and a datagram may take
REMEMBERED = 128  # sequences behind the highest that are told from repeats; older ones are dropped
LEAST_SECRET = 16


@dataclass(slots=True)
class _Peer:
    incarnation: int = 0
    highest: int = 0
    seen: int = 0  # bits of the REMEMBERED sequences up to the highest


class Seal:
    """Writes and reads the datagrams of one gatekeeper's life."""

    def __init__(self, secret: bytes, number: int, incarnation: int) -> None:
        if len(secret) < LEAST_SECRET:
            raise ValueError(f"secret: {len(secret)} bytes, at least {LEAST_SECRET} are due")
        self._secret, self.number, self.incarnation = secret, number, incarnation
        self._sequence: dict[int, int] = {}
        self.peers: dict[int, _Peer] = {}
        self.counts: Counter[str] = Counter()

    def _mac(self, data: bytes) -> bytes:
        return hmac.digest(self._secret, data, hashlib.sha256)[:_MAC_BYTES]

    def write(self, receiver: int, data: bytes, now_ms: float) -> bytes:
        """The datagram for one receiver. `now_ms` is Unix time."""
        sequence = self._sequence[receiver] = self._sequence.get(receiver, 0) + 1
        body = _HEAD.pack(_VERSION, self.number, receiver, self.incarnation, sequence, int(now_ms)) + data
        return body + self._mac(body)

    def read(self, datagram: bytes, now_ms: float) -> tuple[int, bytes] | None:
        """Sender and data, or None where it must not be taken; `counts` says why."""
        why, taken = self._read(datagram, now_ms)
        self.counts[why] += 1
        return taken

    def _read(self, datagram: bytes, now_ms: float) -> tuple[str, tuple[int, bytes] | None]:
        if len(datagram) < _HEAD.size + _MAC_BYTES or datagram[0] != _VERSION:
            return "unreadable", None
        body, mac = datagram[:-_MAC_BYTES], datagram[-_MAC_BYTES:]
        if not hmac.compare_digest(mac, self._mac(body)):
            return "forged", None
        _, sender, receiver, incarnation, sequence, sent_ms = _HEAD.unpack_from(body)
        if receiver != self.number or sender == self.number:
            return "misdirected", None
        if abs(now_ms - sent_ms) > MOST_AGE_MS:
            # Danger: what was kept from an earlier life would be taken by a receiver that has just started.
            return "too_old", None
        peer = self.peers.setdefault(sender, _Peer())
        if incarnation < peer.incarnation:
            return "earlier_life", None
        if incarnation > peer.incarnation:
            peer.incarnation, peer.highest, peer.seen = incarnation, 0, 0
        if sequence > peer.highest:
            peer.seen = (
                (peer.seen << sequence - peer.highest | 1) & (1 << REMEMBERED) - 1
                if sequence - peer.highest < REMEMBERED
                else 1
            )
            peer.highest = sequence
        else:
            bit = peer.highest - sequence
            if bit >= REMEMBERED or peer.seen >> bit & 1:
                return "repeated", None
            peer.seen |= 1 << bit
        return "taken", (sender, body[_HEAD.size :])
