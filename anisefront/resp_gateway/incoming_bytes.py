"""Count of the bytes that clients have sent and that are part of no request yet, over all connections."""

from __future__ import annotations

from collections.abc import Hashable


class IncomingBytes:
    """Bytes of incomplete commands, by the connection that holds them.

    Attributes:
        used: Bytes held now.
        peak: The most that were ever held.
    """

    def __init__(self) -> None:
        """Start with nothing held."""
        self.used = 0
        self.peak = 0
        self._by_holder: dict[Hashable, int] = {}

    def update(self, holder: Hashable, size: int) -> None:
        """Record that a connection holds `size` bytes now."""
        previous = self._by_holder.get(holder, 0)
        if size == previous:
            return
        self.used += size - previous
        self.peak = max(self.peak, self.used)
        if size:
            self._by_holder[holder] = size
        else:
            del self._by_holder[holder]
