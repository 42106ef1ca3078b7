"""State of a socket that the event loop has not read yet."""

from __future__ import annotations

import select
import socket


def has_unread_close(connection: socket.socket) -> bool:
    """Tell whether the peer has closed or reset the connection, also behind bytes that are unread.

    After a stall of the process, and while a connection is not read, a close may be unread in the socket. An attempt
    that starts before the event loop reads it would be made for a client that has disconnected.
    """
    try:
        first_byte = _peek(connection)
    except BlockingIOError:
        return False
    except OSError:
        return True
    return not first_byte or _is_hung_up(connection)


def has_unread_bytes(connection: socket.socket) -> bool:
    """Tell whether bytes of the peer lie unread in the socket."""
    try:
        return bool(_peek(connection))
    except OSError:
        return False


def _peek(connection: socket.socket) -> bytes:
    """Return the first unread byte, nothing if the peer has closed the connection behind what was read."""
    return connection.recv(1, socket.MSG_PEEK | socket.MSG_DONTWAIT)


def _is_hung_up(connection: socket.socket) -> bool:
    """Ask the system, as the first unread byte does not tell what is behind it. A reset is a hang-up too."""
    poller = select.poll()
    poller.register(connection, select.POLLRDHUP)
    return any(events & select.POLLRDHUP for _, events in poller.poll(0))
