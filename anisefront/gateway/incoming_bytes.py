"""Cap on the received bytes of incomplete messages and of waiting input, over all connections of one kind.

A peer may announce a message of several long values and stop in the middle of it. Each connection alone stays within
the protocol's lengths then, but all of them together may hold more than the process has memory. Above the cap the
connection that holds most of an incomplete message gives it up: a peer that sends an ordinary message keeps its own.

Input that waits to be parsed counts as well, but is not given up, since parsing it takes time. Above the cap its
connection is not read on, so that each connection adds one read at most.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import Protocol


class Holder(Protocol):
    """A connection that holds bytes of an incomplete message, or messages that are not parsed yet."""

    def discard_incoming(self) -> None:
        """Free the bytes of the incomplete message, and report by `IncomingBytes.update` how few are left."""


@dataclass(slots=True)
class _Held:
    """Bytes of one connection."""

    incomplete: int = 0
    waiting: int = 0

    @property
    def size(self) -> int:
        return self.incomplete + self.waiting


class IncomingBytes:
    """Bytes of incomplete messages and of waiting input, by the connection that holds them.

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
        self._by_holder: dict[Holder, _Held] = {}

    def is_over(self, size: int) -> bool:
        """Tell whether `size` more bytes pass the cap."""
        return self.used + size > self.limit

    def update(self, holder: Holder, incomplete: int, waiting: int = 0) -> None:
        """Record what a connection holds now; above the cap the longest incomplete message is discarded.

        Args:
            holder: The connection.
            incomplete: Bytes of an incomplete message.
            waiting: Bytes that wait to be parsed.
        """
        held = self._by_holder.setdefault(holder, _Held())
        growth = incomplete + waiting - held.size
        held.incomplete = incomplete
        held.waiting = waiting
        if not held.size:
            del self._by_holder[holder]
        self.used += growth
        if growth > 0 and self.used > self.limit:
            self._discard_longest()
        self.peak = max(self.peak, self.used)

    def _discard_longest(self) -> None:
        """Discard the longest incomplete message; among equals the one that has been held for the longest time.

        One is enough: it has at least the bytes that a connection's incomplete message has more than before.
        """
        longest = max(self._by_holder, key=lambda holder: self._by_holder[holder].incomplete)
        if self._by_holder[longest].incomplete:
            longest.discard_incoming()
