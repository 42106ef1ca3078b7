"""UDP relay between instances that drops, duplicates and delays datagrams at random, with a seeded generator.

Each receiving instance has a relay with its own port.
"""

from __future__ import annotations

import random
from collections import Counter
from typing import Any

from twisted.internet import protocol


class Relay(protocol.DatagramProtocol):
    """Forwards the datagrams sent to its port to `target`, subject to the injected faults."""

    noisy = False

    def __init__(self, reactor: Any, rng: random.Random, number: int = 0) -> None:
        """Start listening on a free port, as the relay of instance `number`."""
        self._reactor, self._rng, self._number = reactor, rng, number
        self.partitioned = False  # drops datagrams from instances of the other zone, whose numbers differ in parity
        self.target: tuple[str, int] | None = None
        self.loss_rate, self.duplication_rate, self.delay_ms = 0.0, 0.0, (1.0, 8.0)
        self.counts: Counter[str] = Counter()
        self._recorded: list[bytes] = []
        self.port = reactor.listenUDP(0, self, interface="127.0.0.1", maxPacketSize=2048)

    @property
    def address(self) -> str:
        """The address to which peers send."""
        return f"127.0.0.1:{self.port.getHost().port}"

    def datagramReceived(self, datagram: bytes, address: object) -> None:
        """Forward a datagram, unless a fault drops it; delay it and perhaps duplicate it."""
        self.counts["came"] += 1
        if len(self._recorded) < 200:
            self._recorded.append(datagram)
        if self.partitioned and len(datagram) > 3 and (datagram[2] ^ self._number) & 1:  # bytes 1 and 2: the sender
            self.counts["parted"] += 1
            return
        if self._rng.random() < self.loss_rate:
            self.counts["lost"] += 1
            return
        for _ in range(1 + (self._rng.random() < self.duplication_rate)):
            self._reactor.callLater(self._rng.uniform(*self.delay_ms) / 1000, self._send, datagram)

    def replay(self) -> None:
        """Send the recorded datagrams again, and each of them with its last byte changed."""
        for datagram in self._recorded:
            self._send(datagram)
            self._send(datagram[:-1] + bytes((datagram[-1] ^ 1,)))
            self.counts["replayed"] += 2

    def _send(self, datagram: bytes) -> None:
        if self.target is not None and self.transport is not None:
            self.transport.write(datagram, self.target)
            self.counts["sent"] += 1

    def connectionRefused(self) -> None:
        """Ignore the error: the instance is down."""
