"""A RESP frontend, its requests and a connection pool on loopback sockets, with simulated time.

The event loop runs one iteration at a time. Data that is sent over the loopback is readable at once, so a test
determines which sockets are readable in the next iteration.
"""

import socket
import struct

from test_node_front import ScriptedController
from test_node_wire import ASK, SERVED_REPLY
from test_rules import settings
from twisted.internet.epollreactor import EPollReactor

from anisefront.upstream.connection_pool import ConnectionPool, PoolLimits
from anisefront.gateway.request_table import RequestTable
from anisefront.resp_gateway import resp_codec
from anisefront.resp_gateway.resp_requests import RespRequests, WorkerConnectionCodec
from anisefront.resp_gateway.connection_limits import ConnectionLimits
from anisefront.resp_gateway.resp_frontend import RespFrontend
from anisefront.resp_gateway.command_mapping import CommandMapper
from anisefront.policy.actions import StartAttempt
from anisefront.policy.events import Endpoint, EndpointList, EndpointStatus


class SocketHarness:
    """The sockets of one gateway instance around a scripted controller; the test acts as workers `s1` and `s2`."""

    def __init__(self, **limits):
        self.time, self.reactor, self.controller, self.sockets = 0.0, EPollReactor(), ScriptedController(), []
        self.reactor.seconds = lambda: self.time
        now = lambda: self.time * 1000 + 1000  # noqa: E731
        self.request_table = RequestTable(self.controller, now, self.reactor)
        self.request_table.update_endpoints(
            EndpointList(tuple(Endpoint(name, "z", 0, EndpointStatus.READY) for name in ("s1", "s2")))
        )
        self.listeners = {name: self._track(socket.create_server(("127.0.0.1", 0))) for name in ("s1", "s2")}
        address = {name: listener.getsockname() for name, listener in self.listeners.items()}
        self.pool = ConnectionPool(
            self.reactor, PoolLimits(quiet_period_s=0.01, stall_timeout_s=0.4), WorkerConnectionCodec, address.get
        )
        self.requests = RespRequests(self.request_table, self.pool, ("util", "inflight"))
        self.frontend = RespFrontend(
            self.reactor, self.requests, CommandMapper(settings()), now, ConnectionLimits(**limits)
        )
        self.port = self.reactor.listenTCP(0, self.frontend, interface="127.0.0.1")

    def _track(self, sock):
        sock.settimeout(2)
        self.sockets.append(sock)
        return sock

    def close(self):
        """Stop listening and close all sockets of the test."""
        self.port.stopListening()
        for sock in self.sockets:
            sock.close()
        self.turns()

    def turns(self, count=8):
        """Run `count` iterations of the event loop."""
        for _ in range(count):
            self.reactor.iterate(0)

    def wait(self, seconds):
        """Advance time in steps of 0.1 s, with iterations of the event loop in between."""
        for _ in range(round(seconds * 10)):
            self.time += 0.1
            self.turns(2)

    def perform(self, *actions):
        """Let the controller return these actions in the next iterations."""
        self.controller.next = list(actions)
        self.request_table.batches.schedule_iteration()
        self.turns()

    def client(self, *commands):
        """Return a client connection that has sent these commands, after the frontend has read them."""
        sock = self._track(socket.create_connection(("127.0.0.1", self.port.getHost().port)))
        sock.sendall(b"".join(map(resp_codec.encode_command, commands)))
        self.turns()
        return sock

    def decide(self, *actions):
        """Let the controller return these actions at once, without any socket read or written since."""
        self.controller.next = list(actions)
        self.request_table.batches._scheduled = False
        self.request_table.batches.run_iteration()

    def served(self):
        """Return a client whose request was served, and the worker's connection, still within its quiet period."""
        client = self.client(ASK)
        self.perform(StartAttempt(1, "s1", 400.0))
        worker = self.accept()
        assert worker.recv(1000)
        worker.sendall(SERVED_REPLY)
        self.turns()
        assert client.recv(1000) == b"$5\r\nva\r\nl\r\n"
        return client, worker

    def accept(self, worker="s1"):
        """Accept and return the connection that was made to a worker."""
        self.turns()
        return self._track(self.listeners[worker].accept()[0])


def reset(sock):
    """Close a socket so that its peer gets a connection reset."""
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    sock.close()


def read_to_end(sock):
    """Return all data until the peer closes; raise `ConnectionResetError` if it does not close cleanly."""
    received = b""
    while data := sock.recv(65536):
        received += data
    return received
