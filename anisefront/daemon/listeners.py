"""Listening TCP sockets of a gateway instance."""

from __future__ import annotations

from typing import Any

ACCEPT_BACKLOG = 1024  # connections that the system accepts before the event loop takes them


def listen_tcp(reactor: Any, host: str, port: int, factory: Any) -> Any:
    """Listen and return the listening port.

    Raises:
        OSError: The address is not available.
    """
    return reactor.listenTCP(port, factory, backlog=ACCEPT_BACKLOG, interface=host)


def stop_listening(listener: Any) -> None:
    """Accept all clients that the system has accepted, then close a listening port.

    Closing the socket resets the connections in its backlog. One read of Twisted accepts no more connections than the
    read before did, so the limit is raised to the whole backlog first.
    """
    listener.numberAccepts = ACCEPT_BACKLOG
    listener.doRead()
    listener.stopListening()
