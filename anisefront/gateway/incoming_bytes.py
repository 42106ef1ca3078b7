"""Cap on the received bytes of incomplete messages, over all connections of one kind.

A peer may announce a message of several long values and stop in the middle of it. Each connection alone stays within
the protocol's lengths then, but all of them together may hold more than the process has memory. Above the cap the
connection that holds most gives up its bytes: a peer that sends an ordinary message keeps its own.
"""

from __future__ import annotations

from typing import Protocol


class Holder(Protocol):
    """A connection that holds bytes of an incomplete message, or messages that are not parsed yet."""

    def discard_incoming(self) -> None:
        """Free the bytes, and report by `IncomingBytes.update` how few are left."""


class IncomingBytes:
    """Bytes of incomplete messages, by the connection that holds them.

    Attributes:
        limit: Bytes that all connections together may hold.
        used: Bytes held now.
        peak: The most that were ever held.
    """

    def __init__(self, limit: int) -> None:
        """Start with nothing held."""
        self.limit = limit
        self.used = 0
        self.peak = 0
        self._by_holder: dict[Holder, int] = {}

    def update(self, holder: Holder, size: int) -> None:
        """Record that a connection holds `size` bytes now; above the cap the largest holder discards its bytes.

        One discarding is enough: the largest holder has at least the bytes that this connection has more than before.
        """
        previous = self._by_holder.get(holder, 0)
        if size == previous:
            return
        self.used += size - previous
        if size:
            self._by_holder[holder] = size
        else:
            del self._by_holder[holder]
        if size > previous and self.used > self.limit:
            self._largest().discard_incoming()
        self.peak = max(self.peak, self.used)

    def _largest(self) -> Holder:
        """Return the connection that holds most; among equals the one that has held bytes for the longest time."""
        return max(self._by_holder, key=self._by_holder.__getitem__)
