"""Model of one client connection, its request's attempt and the drain, without sockets.

It runs any order of events and checks invariants. `test_connection_search.py` runs all short orders, and long ones by
seeds.
"""

from unittest import mock

from test_node_front import GatewayHarness, command_with_id
from test_node_wire import ASK, DO, SERVED_REPLY
from twisted.internet import error
from twisted.python.failure import Failure

from anisefront.resp_gateway import client_connection
from anisefront.resp_gateway import connection_limits
from anisefront.resp_gateway import input_pause
from anisefront.resp_gateway import resp_codec
from anisefront.policy.actions import StartAttempt
from anisefront.policy.events import Endpoint, EndpointList, EndpointStatus

EVENTS = {
    "c": "a complete command",
    "h": "the first half of a command",
    "r": "the rest of that command",
    "u": "an unsupported command",
    "e": "the client closes its write side",
    "x": "the client resets the connection",
    "t": "timeouts elapse",
    "s": "the process is told to drain",
    "f": "the drain ends",
    "l": "an endpoint list has the worker as draining",
    "g": "the controller starts the attempt of a waiting request",
    "k": "the connection to the worker is established",
    "a": "the worker responds",
    "w": "the event loop writes",
    "m": "more commands in one read than may be open",
    "v": "more bytes of values than may be buffered",
    "o": "more bytes after an unsupported command than may be buffered",
    "z": "a command, followed by malformed bytes",
    "n": "an unsupported command, and the first half of the next",
    "b": "most of a long command: more bytes than incomplete commands may hold",
}
CAPS = {"MAX_OPEN_COMMANDS": 5, "MAX_BATCH": 8, "MAX_PENDING_REPLIES": 15}  # small limits
PAUSE = {"MAX_BUFFERED": 400, "PAUSE_S": 1.1}  # a pause longer than an incomplete command may take
VALUES = 700  # bytes
INCOMING = 500  # bytes of incomplete commands and of paused input
LONG_BODY = 600  # bytes
BUSY = b"-BUSY"
ASKED = (b"$5\r\nva\r\nl", BUSY, b"-ERR failed")


class InvariantViolation(AssertionError):
    """An invariant is violated."""


class ModelTransport:
    """Twisted's transport of the client connection: data that is written is sent in a later iteration."""

    def __init__(self):
        self.protocol, self.pending, self.out = None, b"", b""
        self.shutdown_requested = self.close_requested = self.is_write_closed = self.is_lost = self.was_aborted = False
        self.paused, self.waiting = False, []

    def write(self, data):
        if not (self.is_write_closed or self.is_lost):
            self.pending += data

    def loseWriteConnection(self):
        self.shutdown_requested = True

    def loseConnection(self):
        self.close_requested = True

    def abortConnection(self):
        if (
            self.protocol.frontend.reactor.seconds()
            < self.protocol.state_since_s + connection_limits.CLOSE_TIMEOUT_S - 1e-6
        ):
            raise InvariantViolation("a connection was aborted before its timeout")
        self.close_requested = self.was_aborted = True
        self.pending = b""

    def registerProducer(self, producer, streaming):
        pass

    def unregisterProducer(self):
        pass

    def pauseProducing(self):
        self.paused = True

    def resumeProducing(self):
        self.paused = False

    def setTcpNoDelay(self, on):
        pass

    def getHandle(self):
        return self

    def recv(self, size, flags):
        raise BlockingIOError  # in this model a close is reported immediately

    def run_iteration(self):
        if self.is_lost:
            return
        self.out, self.pending = self.out + self.pending, b""
        if self.shutdown_requested and not self.is_write_closed:
            self.is_write_closed = True
            self.protocol.writeConnectionLost()
        if self.close_requested:
            self.lost(error.ConnectionDone())

    def lost(self, reason):
        if not self.is_lost:
            self.is_lost = True
            self.protocol.connectionLost(Failure(reason))


class ConnectionModel:
    """Runs events; raises `InvariantViolation` at the first violated invariant."""

    def __init__(self, turned_away=False):
        room = {"max_connections": 0} if turned_away else {}
        self.house, self.wire = (
            GatewayHarness(max_buffered_bytes=VALUES, max_incoming_bytes=INCOMING, **room),
            ModelTransport(),
        )
        self.wire.protocol = self.house.frontend.buildProtocol(None)
        self.wire.protocol.makeConnection(self.wire)
        self.read = []  # allowed replies to the complete commands read before our write side closed
        self.number, self.half = 0, b""  # the rest of an incomplete command
        self.behind = 0  # bytes that were read at this moment although reading was paused
        self.client_closed = self.draining = self.overdue = False
        self.sent, self.workers = set(), []

    def run_events(self, events):
        for event in events:
            getattr(self, "_" + event)()
            self.house.reactor.advance(0)
            self._arrive()
            self._check()

    def _deliver(self, *commands, more=b"", whole=True, malformed=False):
        """Deliver commands in one read; `more` is the rest of a command (`whole`), a part, or malformed."""
        if self.client_closed or self.wire.is_lost:
            return
        allowed = [self._allowed(parts) for parts in commands] + [ASKED] * (bool(more) and whole)
        self.wire.waiting.append((b"".join(map(resp_codec.encode_command, commands)) + more, allowed, malformed))
        self._arrive()

    def _arrive(self):
        """Read the data in the socket, unless reading is paused."""
        wire = self.wire
        while wire.waiting and not (wire.paused or wire.is_lost or self.client_closed):
            data, allowed, malformed = wire.waiting.pop(0)
            if wire.protocol.input.active:
                if self.behind > PAUSE["MAX_BUFFERED"]:
                    raise InvariantViolation("reading is not paused during a flood")
                self.behind += len(data)
            arrivals = len(self.house.controller.arrivals)
            if not (wire.is_write_closed or self.overdue):
                self.read += allowed
            wire.protocol.dataReceived(data)
            self.house.reactor.advance(0)
            if wire.is_write_closed and len(self.house.controller.arrivals) > arrivals:
                raise InvariantViolation("a request was accepted after our write side had closed")
            self.overdue = self.overdue or malformed or self.house.frontend.counts["unreadable"] > 0

    @staticmethod
    def _allowed(parts):
        """Return how the replies to this command may begin."""
        if parts[0] == b"PING":
            return (resp_codec.encode_bulk(parts[1]), BUSY)
        return ASKED if parts[0].startswith(b"Q") else (b"-ERR unknown", BUSY)

    def _command(self, parts=ASK):
        self.number += 1
        return command_with_id(self.number, parts)

    def _c(self):
        if not self.half:
            self._deliver(self._command())

    def _h(self):
        if not self.half:
            self._deliver(more=self._split(self._command(), 20), whole=False)

    def _b(self):
        if not self.half:
            parts = [*self._command(DO)[:4], b"x" * LONG_BODY]
            self._deliver(more=self._split(parts, LONG_BODY), whole=False)

    def _split(self, parts, size):
        """Return the first bytes of a command, and keep the rest for the event "r"."""
        data = resp_codec.encode_command(parts)
        self.half = data[size:]
        return data[:size]

    def _r(self):
        if self.half:
            rest, self.half = self.half, b""
            self._deliver(more=rest)

    def _n(self):
        if not self.half:
            self._deliver([b"FLUSHALL"], more=self._split(self._command(), 20), whole=False)

    def _u(self):
        if not self.half:
            self._deliver([b"FLUSHALL"])

    def _m(self):
        if not self.half:
            names = range(self.number, self.number + CAPS["MAX_OPEN_COMMANDS"])
            self._deliver(*(each for name in names for each in (self._command(), [b"PING", b"%d" % name])))

    def _v(self):
        if not self.half:
            value = b"x" * (VALUES * 2 // 3)
            self._deliver(*([*self._command(DO)[:4], value] for _ in range(2)), [b"PING", value])

    def _o(self):
        if not self.half:
            self._deliver([b"FLUSHALL"])
            self._deliver(*(self._command() for _ in range(PAUSE["MAX_BUFFERED"] // 100)))

    def _z(self):
        if not self.half:
            self._deliver(self._command(), [b"PING", b"z"], more=b"*1\r\n$x\r\n", whole=False, malformed=True)

    def _e(self):
        if not (self.client_closed or self.wire.is_lost or self.wire.waiting):
            self.client_closed = True
            self.wire.protocol.readConnectionLost()

    def _x(self):
        self.client_closed = True
        self.wire.lost(error.ConnectionLost())

    def _t(self):
        self.behind = 0
        for _ in range(12):
            self.house.reactor.advance(0.1)
        self.overdue = self.overdue or self.house.frontend.counts["unreadable"] > 0

    def _s(self):
        self.house.frontend.close_idle()

    def _f(self):
        self.house.frontend.fail_all()

    def _l(self):
        self.draining = True
        self.house.request_table.update_endpoints(
            EndpointList(
                (Endpoint("s1", "z", 0, EndpointStatus.DRAINING), Endpoint("s2", "z", 0, EndpointStatus.READY))
            )
        )

    def _g(self):
        waiting = [each.id for each in self.house.controller.arrivals if each.id not in self.sent]
        if waiting:
            self.sent.add(waiting[0])
            self.house.controller.next = [StartAttempt(waiting[0], "s1", 1400.0)]
            self.house.request_table.batches.schedule_iteration()

    def _k(self):
        while len(self.workers) < len(self.house.reactor.tcpClients):
            factory = self.house.reactor.tcpClients[len(self.workers)][2]
            transport = type(self.house).connect_transport(factory)
            self.workers.append(transport)
            if (self.client_closed or self.wire.is_write_closed or self.draining) and transport.value():
                raise InvariantViolation(
                    "an attempt started for a client that has disconnected or has its reply, or at a draining worker"
                )

    def _a(self):
        for worker in self.workers:
            if worker.value() and not worker.aborted and not worker.disconnecting:
                worker.clear()
                worker.protocol.dataReceived(SERVED_REPLY)

    def _w(self):
        self.wire.run_iteration()

    def answers(self):
        """Return the replies and error lines that the client has received, in order."""
        at, found, out = 0, [], self.wire.out
        while at < len(out):
            end = out.index(b"\r\n", at) + 2
            if out[at : at + 1] == b"$":
                end += int(out[at + 1 : end - 2]) + 2
            found.append(out[at:end])
            at = end
        return found

    def _check(self):
        found = self.answers()
        if len(found) > len(self.read) + self.overdue:
            raise InvariantViolation("more replies than commands")
        if not all(map(bytes.startswith, found, self.read)):
            raise InvariantViolation("a reply to another command")
        if (
            len(self.house.resp_requests.open_requests) > CAPS["MAX_OPEN_COMMANDS"]
            or self.house.frontend.buffered.used > VALUES
            or (len(self.wire.protocol.replies.pending) > CAPS["MAX_PENDING_REPLIES"] + 1)
        ):
            raise InvariantViolation("more is buffered than the limits allow")
        held = len(self.wire.protocol.input.buffered) + self.wire.protocol.reader.incomplete_bytes
        if self.wire.is_lost:
            held = 0  # whatever the ended connection still has is freed with it
        if held > INCOMING or self.house.frontend.incoming.used != held:
            raise InvariantViolation("more bytes of incomplete commands are held than counted, or than allowed")

    def finish(self):
        """End the drain, write the last data, and let all timeouts elapse."""
        self.run_events("fww")
        if not (self.client_closed or self.wire.was_aborted) and len(self.answers()) < len(self.read):
            raise InvariantViolation("a command that was read has no reply")
        self.run_events("gk")
        for _ in range(40):
            self.house.reactor.advance(0.1)
            self.wire.run_iteration()
        if not (self.client_closed or self.wire.is_lost):
            raise InvariantViolation("a connection that began to close long ago is still open")
        self.wire.waiting.clear()
        self._e()
        self.wire.run_iteration()
        self.house.reactor.advance(0)
        front, carrier = self.house.frontend, self.house.resp_requests
        if carrier.open_requests or carrier._ids or self.house.request_table.requests:
            raise InvariantViolation("state of an ended request was not released")
        if front.buffered.used or any(front.by_state.values()):
            raise InvariantViolation("state of a closed connection was not released")


def run_events(events, turned_away=False):
    """Run these events and finish."""
    with mock.patch.multiple(client_connection, **CAPS), mock.patch.multiple(input_pause, **PAUSE):
        model = ConnectionModel(turned_away)
        model.run_events(events)
        model.finish()
