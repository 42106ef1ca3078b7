"""UDP port for messages between gateway instances.

How datagrams are addressed, encoded and attributed to a sender is a strategy: authenticated in
`authenticated_datagrams`, bare in `resp_gateway.bare_datagrams`.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable
from typing import NamedTuple, Protocol

from twisted.internet import protocol

MAX_DATAGRAM_BYTES = 2048  # that one read takes from the socket


class PeerAddress(NamedTuple):
    """Where the port of a peer is."""

    host: str
    port: int


class ReceivedMessage(NamedTuple):
    """Bytes that a peer has sent."""

    sender: int
    data: bytes


class DatagramFormat(Protocol):
    """Format of the datagrams between gateway instances, and the counters of what became of them."""

    counts: Counter[str]
    undeliverable_key: str  # counts messages that have no receiver
    sent_key: str | None  # counts messages that were sent, if they are counted

    def address_of(self, receiver: int, data: bytes) -> PeerAddress | None:
        """Return where to send a message; None if it can't be delivered."""

    def encode(self, receiver: int, data: bytes) -> bytes:
        """Return the datagram of a message."""

    def decode(self, datagram: bytes, address: tuple[str, int]) -> ReceivedMessage | None:
        """Return the message of a datagram; None, counted, if it is not accepted."""


class PeerPort(protocol.DatagramProtocol):
    """Sends messages to peers by number and passes on those that are accepted from a peer."""

    noisy = False

    def __init__(self, datagrams: DatagramFormat, on_message: Callable[[int, bytes], None]) -> None:
        """Prepare a port; `on_message(sender, data)` is called for each accepted message."""
        self._datagrams = datagrams
        self._on_message = on_message

    @property
    def counts(self) -> Counter[str]:
        """Return what became of the datagrams, by the format's keys."""
        return self._datagrams.counts

    def send(self, receiver: int, data: bytes) -> None:
        """Send a message to one peer; if that is not possible, it counts as lost."""
        address = self._datagrams.address_of(receiver, data)
        if address is None or self.transport is None:
            self.counts[self._datagrams.undeliverable_key] += 1
            return
        try:
            self.transport.write(self._datagrams.encode(receiver, data), address)
        except OSError:
            self.counts["not_sent"] += 1
            return
        if self._datagrams.sent_key is not None:
            self.counts[self._datagrams.sent_key] += 1

    def datagramReceived(self, datagram: bytes, address: tuple[str, int]) -> None:
        """Pass on the message of a datagram if it is accepted."""
        message = self._datagrams.decode(datagram, address)
        if message is not None:
            self._on_message(message.sender, message.data)

    def connectionRefused(self) -> None:
        """Ignore that a peer's port is closed: its messages count as lost."""
