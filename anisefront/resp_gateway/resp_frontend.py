"""Listener for the platform's RESP clients: accepts connections, limits their number and shuts them down.

No admission decision is made here: each valid request is submitted to the request table.
"""

from __future__ import annotations

import itertools
from collections import Counter, OrderedDict
from collections.abc import Callable
from typing import Any

from twisted.internet import protocol

from anisefront.frontends.backpressure import READ_BYTES
from anisefront.frontends.input_scheduler import InputScheduler
from anisefront.gateway.incoming_bytes import IncomingBytes
from anisefront.resp_gateway.client_connection import ClientConnection
from anisefront.resp_gateway.command_mapping import CommandMapper
from anisefront.resp_gateway.connection_limits import (
    BUSY,
    CLOSE_TIMEOUT_S,
    CLOSING,
    DRAIN_LINGER_S,
    FIRST_COMMAND_TIMEOUT_S,
    IDLE,
    IDLE_TIMEOUT_S,
    MAX_ABORTED,
    NEW,
    OPEN_STATES,
    PARTIAL_COMMAND,
    SWEEP_INTERVAL_S,
    ByteBudget,
    ConnectionLimits,
    ConnectionState,
)
from anisefront.resp_gateway.resp_requests import RespRequests

MIN_READ_BYTES = 2 << 10
MAX_READ_DELAY_MS = 100.0  # time a request may have waited to be read before its deadline counts
MAX_READ_DELAY_FRACTION = 0.1  # of the client's timeout, where that is less


class RespFrontend(protocol.Factory):
    """Factory of client connections, and the state that they share.

    Attributes:
        counts: Events by the keys of the state report.
        buffered: Bytes of open requests and of replies that wait for earlier ones.
        unsent: Bytes of replies written to connections whose write buffer is full.
        incoming: Bytes of incomplete commands and of input that waits to be parsed.
        input_scheduler: Decides when a connection's input is parsed.
        read_bytes: Of one connection at once; the input of all connections may wait within the cap on incoming bytes.
        descriptors: Connections that hold a descriptor, including those aborted in this event loop iteration.
        draining: Connections close once they are idle.
        latest_reply_ms: Deadlines are capped to this time on the request table's clock.
        by_state: The connections in each state, the longest in it first.
    """

    noisy = False

    def __init__(
        self,
        reactor: Any,
        requests: RespRequests,
        commands: CommandMapper,
        now_ms: Callable[[], float],
        limits: ConnectionLimits,
    ) -> None:
        """Create the factory.

        Args:
            reactor: Event loop.
            requests: Takes valid requests.
            commands: Maps commands to requests; replaced when the settings change.
            now_ms: The request table's clock.
            limits: Caps on connections and buffered bytes.
        """
        self.reactor = reactor
        self.requests = requests
        self.commands = commands
        self.now_ms = now_ms
        self.limits = limits
        self.counts: Counter[str] = Counter()
        self.buffered = ByteBudget(limits.max_buffered_bytes)
        self.unsent = ByteBudget(limits.max_unsent_bytes)
        self.incoming = IncomingBytes(limits.max_incoming_bytes)
        self.input_scheduler = InputScheduler(reactor, requests.is_behind)
        fair_read_bytes = limits.max_incoming_bytes // (2 * max(1, limits.max_connections))
        self.read_bytes = min(READ_BYTES, max(MIN_READ_BYTES, fair_read_bytes))
        self.descriptors = 0
        self.draining = False
        self.latest_reply_ms = float("inf")
        self.by_state: dict[ConnectionState, OrderedDict[ClientConnection, None]] = {
            state: OrderedDict() for state in ConnectionState
        }
        self._sweep_call: Any = None

    @property
    def connections(self) -> int:
        """Count the open connections, without those that are closing."""
        return sum(len(self.by_state[state]) for state in OPEN_STATES)

    def report(self) -> dict[str, int]:
        """Return the counts, and the incoming bytes if there were any, by the state report's keys."""
        if not self.incoming.peak:
            return dict(self.counts)
        return dict(self.counts) | {"incoming_bytes": self.incoming.used, "incoming_bytes_peak": self.incoming.peak}

    def deadline_ms(self, arrived_ms: float, timeout_ms: float) -> float:
        """Return the time by which a request must have its reply.

        The client's timeout counts from when it sent the request. The request then waits in the network and in the
        socket, for a long time if all clients connect at once. A reply at the end of a timeout counted from its arrival
        would be late by that wait.

        Args:
            arrived_ms: When the request arrived, at the earliest.
            timeout_ms: The client's timeout.
        """
        read_delay_ms = min(MAX_READ_DELAY_MS, timeout_ms * MAX_READ_DELAY_FRACTION)
        return min(arrived_ms + timeout_ms - read_delay_ms, self.latest_reply_ms)

    def buildProtocol(self, address: object) -> ClientConnection | None:
        """Accept a connection, if necessary in place of an unused one.

        If all are in use, the connection is rejected with a reply; if no descriptor is free for that, it is closed at
        once (None).
        """
        if not self._has_descriptor():
            self.counts["closed_unread"] += 1
            return None
        rejected = self.connections >= self.limits.max_connections and not self._close_unused()
        if rejected:
            self.counts["turned_away"] += 1
        if self._sweep_call is None:
            self._sweep_call = self.reactor.callLater(SWEEP_INTERVAL_S, self._sweep)
        return ClientConnection(self, rejected)

    def _has_descriptor(self) -> bool:
        """Tell whether a descriptor is free for one more connection, aborting a closing one if need be.

        An aborted connection's descriptor is free only in the next event loop iteration. Without the cap on all
        descriptors, many connections accepted in one iteration would use up those needed for discovery and reload.
        """
        max_descriptors = self.limits.max_connections + self.limits.max_closing
        if self.descriptors >= max_descriptors + MAX_ABORTED:
            return False
        if self.connections + len(self.by_state[CLOSING]) < max_descriptors:
            return True
        return self._abort_closing()

    def _close_unused(self) -> bool:
        """Close the oldest connection without a request, False where there is none."""
        for state in (NEW, IDLE):
            if self.by_state[state]:
                self.counts["made_room"] += 1
                next(iter(self.by_state[state])).shutdown_write()
                return True
        return False

    def _abort_closing(self) -> bool:
        """Abort the oldest closing connection without outstanding replies, False where there is none."""
        for client in self.by_state[CLOSING]:
            if client.has_nothing_to_write:
                self.remove(client)
                self.counts["closing_cut"] += 1
                client.abort()
                return True
        return False

    def set_state(self, client: ClientConnection, state: ConnectionState) -> None:
        """Record that a connection enters a state now."""
        self.remove(client)
        client.state = state
        client.state_since_s = self.reactor.seconds()
        self.by_state[state][client] = None

    def remove(self, client: ClientConnection) -> None:
        """Drop a connection that has ended, or is about to."""
        if client.state is not None:
            del self.by_state[client.state][client]
            client.state = None

    def _sweep(self) -> None:
        """Apply the timeouts. Connections are ordered by time in each state, so only those overdue are visited."""
        now_s = self.reactor.seconds()
        for state in (NEW, PARTIAL_COMMAND):
            for client in self._in_state_since(state, now_s - FIRST_COMMAND_TIMEOUT_S):
                client.command_overdue()
        if self.draining:
            for client in self._in_state_since(IDLE, now_s - DRAIN_LINGER_S):
                client.shutdown_write()
        for client in self._in_state_since(CLOSING, now_s - CLOSE_TIMEOUT_S):
            self.remove(client)
            client.abort()
        self._close_excess_idle(now_s)
        self._sweep_call = None
        if any(self.by_state.values()):
            self._sweep_call = self.reactor.callLater(SWEEP_INTERVAL_S, self._sweep)

    def _close_excess_idle(self, now_s: float) -> None:
        """Close the longest idle connections above the threshold."""
        states = (IDLE, BUSY, PARTIAL_COMMAND)
        in_use = sum(len(self.by_state[state]) for state in states)
        excess = max(0, in_use - self.limits.idle_close_threshold)
        for client in self._in_state_since(IDLE, now_s - IDLE_TIMEOUT_S)[:excess]:
            self.counts["idle_closed"] += 1
            client.shutdown_write()

    def _in_state_since(self, state: ConnectionState, moment_s: float) -> list[ClientConnection]:
        return list(itertools.takewhile(lambda client: client.state_since_s <= moment_s, self.by_state[state]))

    def close_idle(self) -> None:
        """Begin the drain: from now on connections close between requests."""
        self.draining = True
        for client in list(self.by_state[IDLE]):
            client.shutdown_write()

    def fail_all(self) -> None:
        """End the drain: open requests get a failure reply, and all connections close."""
        for state in OPEN_STATES:
            for client in list(self.by_state[state]):
                client.fail_all()
