"""UDP port for messages between gateway instances.

Addressing, encoding and identification of the sender are a strategy: authenticated in `authenticated_datagrams`,
plain in `resp_gateway.unauthenticated_datagrams`.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable
from typing import NamedTuple, Protocol

from twisted.internet import protocol

MAX_DATAGRAM_BYTES = 2048  # read from the socket at once


class PeerAddress(NamedTuple):
    """The address of a peer's port."""

    host: str
    port: int


class ReceivedMessage(NamedTuple):
    """A message of a peer."""

    sender: int
    data: bytes


class DatagramFormat(Protocol):
    """Format of the datagrams between gateway instances, with counters of their outcomes."""

    counts: Counter[str]
    undeliverable_key: str  # counts messages that have no receiver
    sent_key: str | None  # counts messages that were sent, if they are counted

    def address_of(self, receiver: int, data: bytes) -> PeerAddress | None:
        """Return the address for a message; None if it can't be delivered."""

    def encode(self, receiver: int, data: bytes) -> bytes:
        """Return the datagram of a message."""

    def decode(self, datagram: bytes, address: tuple[str, int]) -> ReceivedMessage | None:
        """Return the message of a datagram; None if it is not accepted, which is counted."""


class PeerPort(protocol.DatagramProtocol):
    """Sends messages to peers by number and passes on those that are accepted from a peer."""

    noisy = False

    def __init__(self, datagrams: DatagramFormat, on_message: Callable[[int, bytes], None]) -> None:
        """Create a port; `on_message(sender, data)` is called for each accepted message."""
        self._datagrams = datagrams
        self._on_message = on_message

    @property
    def counts(self) -> Counter[str]:
        """Return the counters of the datagrams' outcomes, by the format's keys."""
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
        """Ignore a closed port of a peer: messages to it count as lost."""
