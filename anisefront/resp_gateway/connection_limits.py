"""Limits of the client side: number of connections, buffered bytes and time a connection may spend in a state."""

from __future__ import annotations

import enum
from dataclasses import dataclass

FIRST_COMMAND_TIMEOUT_S = 1.0  # for a connection's first command, and for any command after its first byte
IDLE_TIMEOUT_S = 2.0  # a connection without an open request may be closed after this time
DRAIN_LINGER_S = 0.2  # during the drain, for a connection that has only sent commands other than requests
CLOSE_TIMEOUT_S = 2.0  # from the start of a close to the abort, whatever the client does
SWEEP_INTERVAL_S = 0.1
MAX_ABORTED = 8  # above the caps: aborted connections, whose descriptors are free in the next event loop iteration


class ConnectionState(enum.StrEnum):
    """What a connection waits for. The values are keys of the state report."""

    NEW = "young"  # its first complete command
    PARTIAL_COMMAND = "half"  # the rest of a command
    IDLE = "idle"  # the next command; all earlier ones have their replies
    BUSY = "busy"  # replies to commands
    CLOSING = "closing"  # the client's end of the connection


# Members as globals: looking one up in its enumeration takes a noticeable part of a short command's time.
NEW = ConnectionState.NEW
PARTIAL_COMMAND = ConnectionState.PARTIAL_COMMAND
IDLE = ConnectionState.IDLE
BUSY = ConnectionState.BUSY
CLOSING = ConnectionState.CLOSING
OPEN_STATES = (NEW, PARTIAL_COMMAND, IDLE, BUSY)


@dataclass(slots=True)
class ConnectionLimits:
    """Caps of the frontend.

    Attributes:
        max_connections: Open connections; closing ones are not counted.
        max_closing: Closing connections beside them: the client must still read what was written to it.
        idle_close_threshold: Connections with commands above which those idle for `IDLE_TIMEOUT_S` are closed.
        max_buffered_bytes: Bytes of requests and of waiting replies, over all connections.
        max_unsent_bytes: Bytes of replies written to clients that do not read, over all connections.
        max_incoming_bytes: Bytes of incomplete commands and of paused input, over all connections.
    """

    max_connections: int = 100
    max_closing: int = 16
    idle_close_threshold: int = 30
    max_buffered_bytes: int = 8 << 20
    max_unsent_bytes: int = 4 << 20
    max_incoming_bytes: int = 4 << 20


class ByteBudget:
    """Count of the bytes that all connections together hold, against a cap."""

    __slots__ = ("limit", "used")

    def __init__(self, limit: int) -> None:
        """Start with nothing used."""
        self.limit = limit
        self.used = 0

    def fits(self, size: int) -> bool:
        """Tell whether `size` more bytes stay within the cap."""
        return self.used + size <= self.limit

    def reserve(self, size: int) -> None:
        """Count `size` more bytes as used."""
        self.used += size

    def release(self, size: int) -> None:
        """Count `size` bytes as free."""
        self.used -= size
