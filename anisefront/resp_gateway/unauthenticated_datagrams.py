"""Unauthenticated datagrams between gateway instances: a MAC would exceed the platform's limit on their length.

A sender is identified by its address in the configuration; datagrams from other addresses are dropped.
"""

from __future__ import annotations

from collections import Counter

from anisefront.daemon.peer_port import PeerAddress, ReceivedMessage

MAX_BYTES = 256  # of a datagram, by the platform's rules


class UnauthenticatedDatagrams:
    """Datagram format without authentication: a datagram is the message alone."""

    undeliverable_key = "not_told"
    sent_key = "told"

    def __init__(self, number: int, peers: tuple[tuple[str, int], ...]) -> None:
        """Use the addresses `peers` of all gateway instances, of which this one has the number."""
        self.counts: Counter[str] = Counter()
        self._number = number
        self._peers = [PeerAddress(host, port) for host, port in peers]
        self._numbers = {peer: each for each, peer in enumerate(self._peers)}

    def address_of(self, receiver: int, data: bytes) -> PeerAddress | None:
        """Return the address of another gateway instance; None if there is none or the message is too long."""
        if not 0 <= receiver < len(self._peers) or receiver == self._number or len(data) > MAX_BYTES:
            return None
        return self._peers[receiver]

    def encode(self, receiver: int, data: bytes) -> bytes:
        """Return the message as it is."""
        return data

    def decode(self, datagram: bytes, address: tuple[str, int]) -> ReceivedMessage | None:
        """Return the message of a datagram from another gateway instance's address."""
        sender = self._numbers.get(PeerAddress(*address[:2]))
        if sender is None or sender == self._number or len(datagram) > MAX_BYTES:
            self.counts["strange"] += 1
            return None
        self.counts["heard"] += 1
        return ReceivedMessage(sender, datagram)
