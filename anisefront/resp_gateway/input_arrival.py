"""When the bytes of a connection arrived, as far as the process can tell.

A client's timeout counts from when it sent its request. Bytes that come while a connection is not read are seen only
later: they count from when reading was paused, so that a request never has more time than its client waits.
"""

from __future__ import annotations

import socket
from collections.abc import Callable

from anisefront.resp_gateway.socket_state import has_unread_bytes


class InputArrival:
    """Arrival of the bytes that are read next."""

    def __init__(self, now_ms: Callable[[], float]) -> None:
        """Start with a connection that is read; `now_ms` is the request table's clock."""
        self._now_ms = now_ms
        self._paused_at_ms: float | None = None  # the next bytes may have arrived since then

    def pause_began(self) -> None:
        """Record that the connection is not read from now on, unless it was not read before."""
        if self._paused_at_ms is None:
            self._paused_at_ms = self._now_ms()

    def pause_ended(self, connection: socket.socket) -> None:
        """Record that the connection is read again; what is not in its socket now arrives later."""
        if not has_unread_bytes(connection):
            self._paused_at_ms = None

    def bytes_read(self) -> float:
        """Return when the bytes that have just been read arrived, at the earliest."""
        arrived_ms = self._now_ms() if self._paused_at_ms is None else self._paused_at_ms
        self._paused_at_ms = None
        return arrived_ms
