"""The UDP port for other gatekeepers, on Twisted. What it takes and refuses is decided in cluster/datagrams.py."""

from __future__ import annotations

import time
from collections.abc import Callable

from twisted.internet import protocol

from anisefront.cluster.datagrams import DatagramAuthenticator
from anisefront.config.types import Address


class PeerPort(protocol.DatagramProtocol):
    """Sends sealed datagrams to peers by number and hands on what is proved to come from one."""

    noisy = False

    def __init__(
        self, seal: DatagramAuthenticator, peers: dict[int, Address], hear: Callable[[int, bytes], None]
    ) -> None:
        self._seal, self._peers, self._hear = seal, peers, hear

    def tell(self, receiver: int, data: bytes) -> None:
        """Send to one peer; one that has no address, or can't be reached, is as a message lost."""
        peer = self._peers.get(receiver)
        if peer is None or self.transport is None:
            self._seal.counts["no_address"] += 1
            return
        try:
            self.transport.write(self._seal.write(receiver, data, time.time() * 1000), (peer.host, peer.port))
        except OSError:
            self._seal.counts["not_sent"] += 1

    def datagramReceived(self, datagram: bytes, address: object) -> None:
        taken = self._seal.read(datagram, time.time() * 1000)
        if taken is not None:
            self._hear(*taken)

    def connectionRefused(self) -> None:
        """A peer's port is closed: it is away."""
