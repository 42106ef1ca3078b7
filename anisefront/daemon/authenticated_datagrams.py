"""Authenticated datagrams between gateway instances; `cluster.datagrams` decides which are accepted."""

from __future__ import annotations

import time
from collections import Counter
from collections.abc import Mapping

from anisefront.cluster.datagrams import DatagramAuthenticator
from anisefront.config.types import Address
from anisefront.daemon.peer_port import PeerAddress, ReceivedMessage


class AuthenticatedDatagrams:
    """Datagram format with sequence numbers and a message authentication code."""

    undeliverable_key = "no_address"
    sent_key = None

    def __init__(self, authenticator: DatagramAuthenticator, peers: Mapping[int, Address]) -> None:
        """Use this authenticator; `peers` holds the peers' addresses by number."""
        self._authenticator = authenticator
        self._peers = peers

    @property
    def counts(self) -> Counter[str]:
        """Return the counters, which are shared with the authenticator."""
        return self._authenticator.counts

    def address_of(self, receiver: int, data: bytes) -> PeerAddress | None:
        """Return the address of a peer; None if it has none."""
        peer = self._peers.get(receiver)
        return None if peer is None else PeerAddress(peer.host, peer.port)

    def encode(self, receiver: int, data: bytes) -> bytes:
        """Return the authenticated datagram of a message."""
        return self._authenticator.write(receiver, data, time.time() * 1000)

    def decode(self, datagram: bytes, address: tuple[str, int]) -> ReceivedMessage | None:
        """Return the message of a datagram that is authentic, recent and not a duplicate."""
        accepted = self._authenticator.read(datagram, time.time() * 1000)
        return None if accepted is None else ReceivedMessage(*accepted)
