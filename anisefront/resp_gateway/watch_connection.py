"""One watch of the platform's discovery service: a connection that receives endpoint changes.

    connecting -> waiting --first object--> answered --a line in time--> answered
        |            |                         |
     overdue      overdue                   overdue

An overdue connection may still send: what it sends is accepted until its owner closes it.
"""

from __future__ import annotations

from typing import Any, Protocol

from twisted.internet import protocol
from twisted.python.failure import Failure

from anisefront.resp_gateway.endpoint_changes import Address, EndpointChange
from anisefront.resp_gateway.errors import DiscoveryError
from anisefront.resp_gateway.watch_codec import WatchReader, encode_watch_request

HEARTBEAT_TIMEOUT_S = 3.0  # an empty line comes every 2 s: a watch that has missed one is overdue
CONNECT_TIMEOUT_S = 6.0  # an answer later than that counts as received whether or not it arrived


class WatchOwner(Protocol):
    """What a connection reports to."""

    def known_version(self) -> int:
        """Return the version up to which all changes are known."""

    def is_open(self, connection: WatchConnection) -> bool:
        """Return whether the connection is still wanted."""

    def on_change(self, change: EndpointChange) -> None:
        """Receive a change."""

    def on_version_reset(self) -> None:
        """Learn that discovery has restarted its version numbers."""

    def connection_up(self) -> None:
        """Learn that a connection was established."""

    def connection_live(self, connection: WatchConnection) -> None:
        """Learn that the connection has sent a complete line in time."""

    def connection_overdue(self, connection: WatchConnection) -> None:
        """Learn that no line has arrived in time."""

    def connection_ended(self, connection: WatchConnection) -> None:
        """Learn that the connection was closed, or never came up."""

    def report_error(self, error: str) -> None:
        """Receive the text of an error in the stream."""


class WatchConnection(protocol.Protocol):
    """Protocol of one watch, from the attempt to connect on.

    Attributes:
        opened_s: When the attempt to connect began, by the reactor's clock.
        overdue: No line arrived within the timeout.
        answered: The first object was received: it has all changes since the requested version.
    """

    def __init__(self, owner: WatchOwner, reactor: Any, address: Address, first_line_timeout_s: float) -> None:
        """Create a connection that is not opened yet.

        Args:
            owner: Receives changes and reports.
            reactor: Event loop.
            address: Where discovery listens.
            first_line_timeout_s: Time until the connection is overdue if it has sent no line.
        """
        self.opened_s = reactor.seconds()
        self.overdue = False
        self.answered = False
        self._owner = owner
        self._reactor = reactor
        self._address = address
        self._first_line_timeout_s = first_line_timeout_s
        self._reader = WatchReader()
        self._timer: Any = None
        self._connector: Any = None
        self._requested_version = 0
        self._received_change = False
        self._last_line_s = self.opened_s
        self._may_have_missed_change = False

    @property
    def is_up(self) -> bool:
        """Whether the connection was established."""
        return self.transport is not None

    def open(self) -> None:
        """Connect."""
        self._timer = self._reactor.callLater(self._first_line_timeout_s, self._timed_out)
        self._connector = self._reactor.connectTCP(
            *self._address, _WatchFactory(self, self._owner), timeout=CONNECT_TIMEOUT_S
        )

    def abort(self) -> None:
        """Close the connection, or stop connecting."""
        self._cancel_timer()
        if self.is_up:
            self.transport.abortConnection()
        else:
            self._connector.disconnect()

    def connectionMade(self) -> None:
        """Request all changes after the known version."""
        host, port = self._address
        self._requested_version = self._owner.known_version()
        self.transport.write(encode_watch_request(self._requested_version, f"{host}:{port}"))
        self._owner.connection_up()

    def dataReceived(self, data: bytes) -> None:
        """Hand on the changes, unless another watch has replaced this one."""
        if not self._owner.is_open(self):
            return
        heartbeats = self._reader.heartbeats
        try:
            changes = self._reader.feed(data)
        except DiscoveryError as error:
            self._owner.report_error(str(error))
            self.abort()
            return
        # Bytes that complete no line do not count: a connection may send them forever without sending a change.
        if self._reader.heartbeats > heartbeats:
            self._line_received(has_change=bool(changes))
        for change in changes:
            if not self._accept(change):
                return
        if self._reader.ended:
            self.abort()

    def connectionLost(self, reason: Failure = protocol.connectionDone) -> None:
        """Report the end."""
        self.ended()

    def ended(self) -> None:
        """Stop the timer and report the end, or the failure to connect."""
        self._cancel_timer()
        self._owner.connection_ended(self)

    def _accept(self, change: EndpointChange) -> bool:
        """Hand on a change; False if discovery restarted its version numbers, which needs a watch from 0.

        Such changes look older than the known version and would be ignored forever.
        """
        first = not self._received_change
        self._received_change = True
        if first and not change.snapshot and change.version < self._requested_version:
            self._owner.on_version_reset()
            self.abort()
            return False
        self._owner.on_change(change)
        return True

    def _line_received(self, has_change: bool) -> None:
        """Restart the timer, unless the watch may have missed a change.

        A watch that stopped sending and then sends again, even empty lines only, may never send a change that it
        missed. What it sends is accepted, but another watch must replace it. The first object of a watch is exempt:
        it has all changes since the requested version.
        """
        now_s = self._reactor.seconds()
        if has_change and not self.answered:
            self.answered = True
            self._may_have_missed_change = False
        elif now_s - self._last_line_s >= HEARTBEAT_TIMEOUT_S:
            self._may_have_missed_change = True
        self._last_line_s = now_s
        if self._may_have_missed_change:
            return
        self.overdue = False
        self._cancel_timer()
        self._timer = self._reactor.callLater(HEARTBEAT_TIMEOUT_S, self._timed_out)
        self._owner.connection_live(self)

    def _timed_out(self) -> None:
        self.overdue = True
        self._owner.connection_overdue(self)

    def _cancel_timer(self) -> None:
        if self._timer is not None and self._timer.active():
            self._timer.cancel()


class _WatchFactory(protocol.ClientFactory):
    """Factory of one connection."""

    noisy = False

    def __init__(self, connection: WatchConnection, owner: WatchOwner) -> None:
        """Create the factory of one attempt to connect."""
        self._connection = connection
        self._owner = owner

    def buildProtocol(self, address: object) -> WatchConnection | None:
        """Return the protocol, None where the connection is not wanted any more."""
        return self._connection if self._owner.is_open(self._connection) else None

    def clientConnectionFailed(self, connector: object, reason: Failure) -> None:
        """Report that discovery can't be reached."""
        self._connection.ended()
