"""Datagrams between gatekeepers of the platform: bare, for a seal would make them longer than the platform allows.

A sender is known by its address in the configuration; what comes from elsewhere is dropped.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable

from twisted.internet import protocol

MOST_BYTES = 256  # a longer datagram breaks the platform's rule


class PeerPort(protocol.DatagramProtocol):
    """Sends the module's bytes to peers by number and hands on what comes from one."""

    noisy = False

    def __init__(self, number: int, peers: tuple[tuple[str, int], ...], hear: Callable[[int, bytes], None]) -> None:
        self._number, self._peers, self._hear = number, peers, hear
        self._numbers = {peer: n for n, peer in enumerate(peers)}
        self.counts: Counter[str] = Counter()

    def tell(self, receiver: int, data: bytes) -> None:
        """Send to one peer; one that can't be reached is as a message lost."""
        if (
            not 0 <= receiver < len(self._peers)
            or receiver == self._number
            or len(data) > MOST_BYTES
            or self.transport is None
        ):
            self.counts["not_told"] += 1
            return
        try:
            self.transport.write(data, self._peers[receiver])
            self.counts["told"] += 1
        except OSError:
            self.counts["not_sent"] += 1

    def datagramReceived(self, datagram: bytes, address: tuple[str, int]) -> None:
        sender = self._numbers.get(address[:2])
        if sender is None or sender == self._number or len(datagram) > MOST_BYTES:
            self.counts["strange"] += 1
            return
        self.counts["heard"] += 1
        self._hear(sender, datagram)

    def connectionRefused(self) -> None:
        """A peer's port is closed: it is away."""
