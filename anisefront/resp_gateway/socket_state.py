"""State of a socket that the event loop has not read yet."""

from __future__ import annotations

import socket


def has_unread_close(connection: socket.socket) -> bool:
    """Tell whether the peer has closed the connection, by peeking at the first unread byte.

    After a stall of the process a close may be unread in the socket. An attempt that starts before the event loop
    reads it would be made for a client that has disconnected.
    """
    try:
        return not connection.recv(1, socket.MSG_PEEK | socket.MSG_DONTWAIT)
    except BlockingIOError:
        return False
    except OSError:
        return True
