"""A UDP relay between gatekeepers: loses, doubles and delays datagrams by a seed. One port for each receiver."""

from __future__ import annotations

import random
from collections import Counter
from typing import Any

from twisted.internet import protocol


class Relay(protocol.DatagramProtocol):
    """What is sent to this port goes on to `target`, as far as the trouble lets it."""

    noisy = False

    def __init__(self, reactor: Any, rng: random.Random, number: int = 0) -> None:
        self._reactor, self._rng, self._number = reactor, rng, number
        self.parted = False  # nothing comes from the other room: from numbers that are odd where ours is even
        self.target: tuple[str, int] | None = None
        self.lose, self.double, self.delay_ms = 0.0, 0.0, (1.0, 8.0)
        self.counts: Counter[str] = Counter()
        self._kept: list[bytes] = []
        self.port = reactor.listenUDP(0, self, interface="127.0.0.1", maxPacketSize=2048)

    @property
    def address(self) -> str:
        """Where peers send."""
        return f"127.0.0.1:{self.port.getHost().port}"

    def datagramReceived(self, datagram: bytes, address: object) -> None:
        self.counts["came"] += 1
        if len(self._kept) < 200:
            self._kept.append(datagram)
        if self.parted and len(datagram) > 3 and (datagram[2] ^ self._number) & 1:  # the sender is bytes 1 and 2
            self.counts["parted"] += 1
            return
        if self._rng.random() < self.lose:
            self.counts["lost"] += 1
            return
        for _ in range(1 + (self._rng.random() < self.double)):
            self._reactor.callLater(self._rng.uniform(*self.delay_ms) / 1000, self._send, datagram)

    def replay(self) -> None:
        """Send again what was kept from earlier, and the same with a byte changed."""
        for datagram in self._kept:
            self._send(datagram)
            self._send(datagram[:-1] + bytes((datagram[-1] ^ 1,)))
            self.counts["replayed"] += 2

    def _send(self, datagram: bytes) -> None:
        if self.target is not None and self.transport is not None:
            self.transport.write(datagram, self.target)
            self.counts["sent"] += 1

    def connectionRefused(self) -> None:
        """The gatekeeper is away."""
