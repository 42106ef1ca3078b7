"""Listening TCP sockets of a gateway instance."""

from __future__ import annotations

from typing import Any

ACCEPT_BACKLOG = 1024  # connections that the operating system queues until the event loop accepts them


def listen_tcp(reactor: Any, host: str, port: int, factory: Any) -> Any:
    """Listen and return the listening port.

    Raises:
        OSError: The address is not available.
    """
    return reactor.listenTCP(port, factory, backlog=ACCEPT_BACKLOG, interface=host)


def stop_listening(listener: Any) -> None:
    """Accept all connections in the backlog, then close a listening port.

    Closing the socket resets the connections in its backlog. Twisted adapts the number of connections that one read
    accepts to earlier reads, so it is raised to the whole backlog first.
    """
    listener.numberAccepts = ACCEPT_BACKLOG
    listener.doRead()
    listener.stopListening()
