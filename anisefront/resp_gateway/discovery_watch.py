"""Connection to the platform's discovery service: a watch that is reopened whenever it ends or stops sending.

    connecting --connected--> new --first object--> live --a line in time--> live
        |                      |                     |
    timeout             timeout: suspect      timeout: suspect
        '----------------------'---------------------'--> another watch is opened beside it

The platform allows 6 s until an instance knows what it missed from the moment its watch stopped sending, whatever
happens to the connections that replace it; the timeouts here leave time for three of them. A suspect watch stays open
beside the new one until that one sends: during an outage of discovery no watch sends, and a watch must be
open to receive the changes that follow the recovery.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

from twisted.internet import protocol
from twisted.python.failure import Failure

from anisefront.resp_gateway.endpoint_changes import Address, EndpointChange
from anisefront.resp_gateway.errors import DiscoveryError
from anisefront.resp_gateway.watch_codec import WatchReader, encode_watch_request

HEARTBEAT_TIMEOUT_S = 3.0  # an empty line comes every 2 s: a watch that has missed one is suspect
FIRST_LINE_TIMEOUT_S = 0.7  # the discovery agent runs on this machine and responds to a new watch at once
CONNECT_TIMEOUT_S = 0.7
BACKOFF_S = (0.1, 0.1, 0.2, 0.5)  # by attempts since the last line; attempts are cheap for the agent
MAX_WATCHES = 2


class _WatchConnection(protocol.Protocol):
    """Protocol of one watch.

    Attributes:
        suspect: No line arrived within the timeout.
    """

    def __init__(self, watch: DiscoveryWatch) -> None:
        """Create the protocol of a connection that is about to come up."""
        self._watch = watch
        self._reader = WatchReader()
        self._timer: Any = None
        self._requested_version = 0
        self.suspect = False
        self._received_change = False
        self._last_line_s = 0.0  # when it sent its last line, or was opened
        self._may_have_missed_change = False

    def connectionMade(self) -> None:
        """Request all changes after the known version."""
        host, port = self._watch.address
        self._requested_version = self._watch.known_version()
        self._last_line_s = self._watch.reactor.seconds()
        self.transport.write(encode_watch_request(self._requested_version, f"{host}:{port}"))
        self._timer = self._watch.reactor.callLater(FIRST_LINE_TIMEOUT_S, self._timed_out)

    def dataReceived(self, data: bytes) -> None:
        """Hand on the changes, unless another watch has replaced this one."""
        if self not in self._watch.connections:
            return
        heartbeats = self._reader.heartbeats
        try:
            changes = self._reader.feed(data)
        except DiscoveryError as error:
            self._watch.report_error(str(error))
            self.abort()
            return
        # Bytes that complete no line do not count: a connection may send them forever without sending a change.
        if self._reader.heartbeats > heartbeats:
            self._line_received(first_change=bool(changes) and not heartbeats)
        for change in changes:
            if not self._accept(change):
                return
        if self._reader.ended:
            self.abort()

    def _accept(self, change: EndpointChange) -> bool:
        """Hand on a change; False if discovery restarted its version numbers, which needs a watch from 0.

        Such changes look older than the known version and would be ignored forever.
        """
        first = not self._received_change
        self._received_change = True
        if first and not change.snapshot and change.version < self._requested_version:
            self._watch.on_version_reset()
            self.abort()
            return False
        self._watch.on_change(change)
        return True

    def _line_received(self, first_change: bool) -> None:
        """Restart the timer, unless the watch may have missed a change.

        A watch that stopped sending and then sends again, even empty lines only, may never send a change that it
        missed. What it sends is accepted, but another watch must replace it. The first object of a watch is exempt:
        it has all changes since the requested version.
        """
        now_s = self._watch.reactor.seconds()
        if now_s - self._last_line_s >= HEARTBEAT_TIMEOUT_S and not first_change:
            self._may_have_missed_change = True
        self._last_line_s = now_s
        if self._may_have_missed_change:
            return
        if self._timer.active():
            self._timer.reset(HEARTBEAT_TIMEOUT_S)
        else:
            self.suspect = False
            self._timer = self._watch.reactor.callLater(HEARTBEAT_TIMEOUT_S, self._timed_out)
        self._watch.connection_live(self)

    def _timed_out(self) -> None:
        self.suspect = True
        self._watch.connection_suspect()

    def abort(self) -> None:
        """Close the connection; the watch opens another one where no other is live."""
        self.transport.abortConnection()

    def connectionLost(self, reason: Failure = protocol.connectionDone) -> None:
        """Stop the timer and report the end."""
        if self._timer is not None and self._timer.active():
            self._timer.cancel()
        self._watch.connection_ended(self)


class _WatchFactory(protocol.ClientFactory):
    """Factory of one connection."""

    noisy = False

    def __init__(self, watch: DiscoveryWatch) -> None:
        """Create the factory of one attempt to connect."""
        self._watch = watch

    def buildProtocol(self, address: object) -> _WatchConnection | None:
        """Return the protocol, None where the connection is not wanted any more."""
        return self._watch.connected(self)

    def clientConnectionFailed(self, connector: object, reason: Failure) -> None:
        """Report that discovery can't be reached."""
        self._watch.connect_failed(self)


class DiscoveryWatch:
    """Client of the discovery service that always keeps a watch open.

    Attributes:
        connections: Open watches, oldest first.
        attempts: Connections tried since a watch was last live.
    """

    def __init__(
        self,
        reactor: Any,
        address: Address,
        known_version: Callable[[], int],
        on_change: Callable[[EndpointChange], None],
        on_error: Callable[[str], None],
        on_version_reset: Callable[[], None] = lambda: None,
    ) -> None:
        """Create a client that is not started.

        Args:
            reactor: Event loop.
            address: Where discovery listens.
            known_version: Returns the version up to which all changes are known.
            on_change: Receives each change.
            on_error: Receives the text of an error in the stream, once while it repeats.
            on_version_reset: Called when discovery has restarted its version numbers.
        """
        self.reactor = reactor
        self.address = address
        self.known_version = known_version
        self.on_change = on_change
        self.on_version_reset = on_version_reset
        self.connections: list[_WatchConnection] = []
        self.attempts = 0
        self._on_error = on_error
        self._last_error = ""
        self._connecting: _WatchFactory | None = None
        self._connector: Any = None
        self._retry_call: Any = None
        self._started = False
        self._stopped = False

    def start(self) -> None:
        """Open the first watch."""
        self._started = True
        self._open()

    def change_address(self, address: Address) -> None:
        """Use another discovery service; the known list stays in force until it sends changes."""
        if address == self.address:
            return
        self.address = address
        self.attempts = 0
        self._last_error = ""
        self.on_version_reset()  # another service numbers its versions independently
        self._cancel_connecting()
        self._abort(self.connections)
        self._open()

    def stop(self) -> None:
        """Close all watches and open no more."""
        self._stopped = True
        self._cancel_connecting()
        self._abort(self.connections)

    # ---- reports of the connections ------------------------------------------------------------

    def connected(self, factory: _WatchFactory) -> _WatchConnection | None:
        """Add the connection that came up, None where it is not wanted any more."""
        if factory is not self._connecting:
            return None
        self._connecting = None
        connection = _WatchConnection(self)
        self.connections.append(connection)
        self._abort(self.connections[:-MAX_WATCHES])
        return connection

    def connect_failed(self, factory: _WatchFactory) -> None:
        """Retry after a failure to connect."""
        if factory is self._connecting:
            self._connecting = None
            self._schedule_open(self._backoff_s())

    def connection_live(self, connection: _WatchConnection) -> None:
        """Close all other watches, as this one has sent a complete line."""
        self.attempts = 0
        if len(self.connections) > 1 or self._connecting is not None or self._retry_call is not None:
            self._cancel_connecting()
            self._abort([each for each in self.connections if each is not connection])

    def connection_suspect(self) -> None:
        """Open another watch, at once where this one was live."""
        self._schedule_open(self._backoff_s() if self.attempts else 0.0)

    def connection_ended(self, connection: _WatchConnection) -> None:
        """Open another watch in the place of one that was closed."""
        if connection in self.connections:
            self.connections.remove(connection)
            self._schedule_open(self._backoff_s())

    def report_error(self, error: str) -> None:
        """Report an error in the stream, unless it repeats; the last list stays in force."""
        if error != self._last_error:
            self._last_error = error
            self._on_error(error)

    # ---- opening and closing -------------------------------------------------------------------

    def _backoff_s(self) -> float:
        return BACKOFF_S[min(self.attempts, len(BACKOFF_S) - 1)]

    def _schedule_open(self, delay_s: float) -> None:
        """Open another watch after a delay, unless one is live, connecting or scheduled."""
        if self._stopped or self._connecting is not None or self._retry_call is not None:
            return
        if all(connection.suspect for connection in self.connections):
            self._retry_call = self.reactor.callLater(delay_s, self._open)

    def _open(self) -> None:
        self._retry_call = None
        if self._stopped or not self._started or self._connecting is not None:
            return
        self.attempts += 1
        self._connecting = _WatchFactory(self)
        self._connector = self.reactor.connectTCP(*self.address, self._connecting, timeout=CONNECT_TIMEOUT_S)

    def _abort(self, connections: list[_WatchConnection]) -> None:
        for connection in list(connections):
            self.connections.remove(connection)
            connection.abort()

    def _cancel_connecting(self) -> None:
        retry_call = self._retry_call
        self._retry_call = None
        if retry_call is not None and retry_call.active():
            retry_call.cancel()
        connecting = self._connecting
        self._connecting = None
        if connecting is not None:
            self._connector.disconnect()
