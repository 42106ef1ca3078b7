"""A front, a carrier and a pool on real loopback sockets, a turn of the loop at a time, with time handed in.

What crosses the loopback is there at once, so a test says what lies in which socket before the next turn begins."""

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


class Stage:
    """One gatekeeper's sockets around a scripted module, with workers `s1` and `s2` that the test plays."""

    def __init__(self, **limits):
        self.time, self.reactor, self.module, self.links = 0.0, EPollReactor(), ScriptedController(), []
        self.reactor.seconds = lambda: self.time
        now = lambda: self.time * 1000 + 1000  # noqa: E731
        self.request_table = RequestTable(self.module, now, self.reactor)
        self.request_table.update_endpoints(
            EndpointList(tuple(Endpoint(name, "z", 0, EndpointStatus.READY) for name in ("s1", "s2")))
        )
        self.listeners = {name: self._keep(socket.create_server(("127.0.0.1", 0))) for name in ("s1", "s2")}
        address = {name: listener.getsockname() for name, listener in self.listeners.items()}
        self.pool = ConnectionPool(
            self.reactor, PoolLimits(quiet_period_s=0.01, stall_timeout_s=0.4), WorkerConnectionCodec, address.get
        )
        self.carrier = RespRequests(self.request_table, self.pool, ("util", "inflight"))
        self.front = RespFrontend(
            self.reactor, self.carrier, CommandMapper(settings()), now, ConnectionLimits(**limits)
        )
        self.port = self.reactor.listenTCP(0, self.front, interface="127.0.0.1")

    def _keep(self, link):
        link.settimeout(2)
        self.links.append(link)
        return link

    def close(self):
        self.port.stopListening()
        for link in self.links:
            link.close()
        self.turns()

    def turns(self, count=8):
        """So many turns of the loop."""
        for _ in range(count):
            self.reactor.iterate(0)

    def wait(self, seconds):
        """Time goes by, a tenth of a second at a time."""
        for _ in range(round(seconds * 10)):
            self.time += 0.1
            self.turns(2)

    def say(self, *actions):
        """The module says this now."""
        self.module.next = list(actions)
        self.request_table.batches.schedule_iteration()
        self.turns()

    def client(self, *commands):
        """A connection that has sent these commands, and they were taken in."""
        link = self._keep(socket.create_connection(("127.0.0.1", self.port.getHost().port)))
        link.sendall(b"".join(map(resp_codec.encode_command, commands)))
        self.turns()
        return link

    def decide(self, *actions):
        """The module says this now, and the loop has read and written no socket since."""
        self.module.next = list(actions)
        self.request_table.batches._scheduled = False
        self.request_table.batches.run_iteration()

    def served(self):
        """A client, and a worker's connection that has carried its request and has not rested yet."""
        client = self.client(ASK)
        self.say(StartAttempt(1, "s1", 400.0))
        worker = self.accept()
        assert worker.recv(1000)
        worker.sendall(SERVED_REPLY)
        self.turns()
        assert client.recv(1000) == b"$5\r\nva\r\nl\r\n"
        return client, worker

    def accept(self, worker="s1"):
        """The connection that was made to a worker."""
        self.turns()
        return self._keep(self.listeners[worker].accept()[0])


def reset(link):
    """Close it so that its other side is reset."""
    link.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    link.close()


def rest(link):
    """All that comes until its other side ends; `ConnectionResetError` where that is no clean end."""
    found = b""
    while data := link.recv(65536):
        found += data
    return found
