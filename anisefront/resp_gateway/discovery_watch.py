"""Client of the platform's discovery service that always has a watch open.

A watch that has sent no line in time is overdue, and another one is opened beside it. The platform allows 6 s until an
instance knows what it missed, from the moment its watch stopped sending or from when discovery could be reached again,
whatever happens to the connections that replace it. Two cases look alike until then: a watch that will never send, and
a discovery service that takes seconds to answer. So the oldest watch without an answer is kept for those 6 s, and
newer ones are tried beside it, each with more time than the one before. During an outage of discovery no watch sends,
and a watch must be open to receive the changes that follow the recovery.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

from anisefront.resp_gateway.endpoint_changes import Address, EndpointChange
from anisefront.resp_gateway.watch_connection import WatchConnection

FIRST_LINE_TIMEOUT_S = 0.7  # the discovery agent runs on this machine and usually responds at once
MAX_FIRST_LINE_TIMEOUT_S = 3.0  # a watch opened within 3 s of a recovery and answered 3 s later is in time
FIRST_LINE_TIMEOUT_MULTIPLIER = 2.0  # per watch that was not answered in time
ANSWER_TIMEOUT_S = 6.0  # a change counts as received 6 s after discovery could be reached
MAX_ANSWER_TIMEOUT_S = 48.0
ANSWER_TIMEOUT_MULTIPLIER = 2.0  # per watch that was closed unanswered: a slower answer arrives, though late
BACKOFF_S = (0.1, 0.1, 0.2, 0.5)  # by attempts since the last line; attempts are cheap for the agent
MAX_WATCHES = 2  # beside a silent one that no connection has replaced yet


class DiscoveryWatch:
    """Client of the discovery service that always keeps a watch open.

    Attributes:
        connections: Open watches and attempts to connect, oldest first.
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
        self.connections: list[WatchConnection] = []
        self.attempts = 0
        self._on_error = on_error
        self._last_error = ""
        self._first_line_timeout_s = FIRST_LINE_TIMEOUT_S
        self._answer_timeout_s = ANSWER_TIMEOUT_S
        self._retry_call: Any = None
        self._started = False
        self._stopped = False

    def start(self) -> None:
        """Open the first watch."""
        self._started = True
        self._open()

    def change_address(self, address: Address) -> bool:
        """Use another discovery service; the known list stays in force until it sends changes.

        Returns:
            Whether the address is another one than before.
        """
        if address == self.address:
            return False
        self.address = address
        self._reset_timeouts()
        self._last_error = ""
        self.on_version_reset()  # another service numbers its versions independently
        self._close_all()
        self._open()
        return True

    def stop(self) -> None:
        """Close all watches and open no more."""
        self._stopped = True
        self._close_all()

    # ---- reports of the connections ------------------------------------------------------------

    def is_open(self, connection: WatchConnection) -> bool:
        """Return whether the connection is still wanted."""
        return connection in self.connections

    def connection_up(self) -> None:
        """Keep the number of open watches within its limit."""
        if len(self.connections) > MAX_WATCHES:
            self._close_replaced()

    def connection_live(self, connection: WatchConnection) -> None:
        """Close the watches that are not needed beside this one, which has sent a complete line.

        Lines before its first object hold no endpoints, so an older watch that may send them is kept.
        """
        self._reset_timeouts()
        self._cancel_retry()
        position = self.connections.index(connection)
        older = self.connections[:position]
        unneeded = self.connections[position + 1 :]
        unneeded += [each for each in older if connection.answered or each.answered]
        self._abort(unneeded)

    def connection_overdue(self, connection: WatchConnection) -> None:
        """Open another watch, at once where this one was live."""
        if not connection.answered:
            longer_s = self._first_line_timeout_s * FIRST_LINE_TIMEOUT_MULTIPLIER
            self._first_line_timeout_s = min(longer_s, MAX_FIRST_LINE_TIMEOUT_S)
        self._schedule_open(self._backoff_s() if self.attempts else 0.0)

    def connection_ended(self, connection: WatchConnection) -> None:
        """Open another watch in the place of one that was closed or never came up."""
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

    def _reset_timeouts(self) -> None:
        self.attempts = 0
        self._first_line_timeout_s = FIRST_LINE_TIMEOUT_S
        self._answer_timeout_s = ANSWER_TIMEOUT_S

    def _schedule_open(self, delay_s: float) -> None:
        """Open another watch after a delay, unless one is not overdue yet or scheduled."""
        if self._stopped or self._retry_call is not None:
            return
        if all(connection.overdue for connection in self.connections):
            self._retry_call = self.reactor.callLater(delay_s, self._open)

    def _open(self) -> None:
        self._retry_call = None
        if self._stopped or not self._started:
            return
        self._close_for_another()
        self.attempts += 1
        connection = WatchConnection(self, self.reactor, self.address, self._first_line_timeout_s)
        self.connections.append(connection)
        connection.open()

    def _close_for_another(self) -> None:
        """Close a watch if there are too many for another one; all are overdue.

        Of those without an answer the oldest is kept until its time is over, since it is answered first.
        """
        self._close_replaced()
        unanswered = [each for each in self.connections if not each.answered]
        if len(unanswered) < MAX_WATCHES:
            return
        oldest = unanswered[0]
        if self.reactor.seconds() - oldest.opened_s < self._answer_timeout_s:
            self._abort([unanswered[-1]])
            return
        self._answer_timeout_s = min(self._answer_timeout_s * ANSWER_TIMEOUT_MULTIPLIER, MAX_ANSWER_TIMEOUT_S)
        self._abort([oldest])

    def _close_replaced(self) -> None:
        """Close a watch that fell silent, once another connection is up beside as many as may be open.

        Until then it is kept: while discovery can't be reached it is the only one that may receive a change.
        """
        if len(self.connections) < MAX_WATCHES or all(each.answered or not each.is_up for each in self.connections):
            return
        self._abort([each for each in self.connections if each.answered])

    def _abort(self, connections: list[WatchConnection]) -> None:
        for connection in connections:
            self.connections.remove(connection)
            connection.abort()

    def _close_all(self) -> None:
        self._cancel_retry()
        self._abort(list(self.connections))

    def _cancel_retry(self) -> None:
        retry_call = self._retry_call
        self._retry_call = None
        if retry_call is not None and retry_call.active():
            retry_call.cancel()
