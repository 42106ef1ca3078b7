"""One client's connection, its request's attempt and the drain as a model without sockets: any order of events, and
what must hold whatever the order. `test_connection_search.py` plays short orders all and long ones by seeds."""

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
    "c": "a whole command",
    "h": "the first half of one",
    "r": "its rest",
    "u": "a command that can't be used",
    "e": "the client ends its half",
    "x": "it resets",
    "t": "a time is over",
    "s": "the signal to end",
    "f": "the drain's end",
    "l": "the worker drains, says the list",
    "g": "the module sends what waits",
    "k": "the connection to the worker comes up",
    "a": "the worker answers",
    "w": "the loop writes",
    "m": "many commands in one read, over the cap on open ones",
    "v": "values over the cap on those that are held",
    "o": "more behind a command that can't be used than may wait there",
    "z": "a command, and bytes that can't be read",
    "n": "one that can't be used, and the first half of the next",
}
CAPS = {"MAX_OPEN_COMMANDS": 5, "MAX_BATCH": 8, "MAX_PENDING_REPLIES": 15}  # small ones,
PAUSE = {"MAX_BUFFERED": 400, "PAUSE_S": 1.1}  # and a pause that is longer than half a command may wait
VALUES = 700  # bytes
BUSY = b"-BUSY"
ASKED = (b"$5\r\nva\r\nl", BUSY, b"-ERR failed")


class Broken(AssertionError):
    """Something that must hold does not."""


class Wire:
    """Twisted's transport of the client's connection: what is written leaves in a later turn."""

    def __init__(self):
        self.protocol, self.pending, self.out = None, b"", b""
        self.want_shut = self.want_close = self.shut = self.gone = self.cut = False
        self.paused, self.waiting = False, []

    def write(self, data):
        if not (self.shut or self.gone):
            self.pending += data

    def loseWriteConnection(self):
        self.want_shut = True

    def loseConnection(self):
        self.want_close = True

    def abortConnection(self):
        if (
            self.protocol.frontend.reactor.seconds()
            < self.protocol.state_since_s + connection_limits.CLOSE_TIMEOUT_S - 1e-6
        ):
            raise Broken("a connection was cut off before its time")
        self.want_close = self.cut = True
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
        raise BlockingIOError  # here an end is heard as it comes

    def turn(self):
        if self.gone:
            return
        self.out, self.pending = self.out + self.pending, b""
        if self.want_shut and not self.shut:
            self.shut = True
            self.protocol.writeConnectionLost()
        if self.want_close:
            self.lost(error.ConnectionDone())

    def lost(self, reason):
        if not self.gone:
            self.gone = True
            self.protocol.connectionLost(Failure(reason))


class Model:
    """Plays events; raises `Broken` at the first thing that does not hold."""

    def __init__(self, turned_away=False):
        room = {"max_connections": 0} if turned_away else {}
        self.house, self.wire = GatewayHarness(max_buffered_bytes=VALUES, **room), Wire()
        self.wire.protocol = self.house.frontend.buildProtocol(None)
        self.wire.protocol.makeConnection(self.wire)
        self.read = []  # whole commands that were read before our half was shut: what they may be answered with
        self.number, self.half = 0, b""
        self.behind = 0  # bytes that were read in this moment while it was paused
        self.left = self.draining = self.overdue = False
        self.sent, self.workers = set(), []

    def play(self, events):
        for event in events:
            getattr(self, "_" + event)()
            self.house.reactor.advance(0)
            self._arrive()
            self._check()

    def _deliver(self, *commands, more=b"", whole=True, spoilt=False):
        """These come in one read; `more` is bytes that are the rest of one (`whole`), a part of one, or `spoilt`."""
        if self.left or self.wire.gone:
            return
        allowed = [self._allowed(parts) for parts in commands] + [ASKED] * (bool(more) and whole)
        self.wire.waiting.append((b"".join(map(resp_codec.encode_command, commands)) + more, allowed, spoilt))
        self._arrive()

    def _arrive(self):
        """What lies in the socket is read, if it is read."""
        wire = self.wire
        while wire.waiting and not (wire.paused or wire.gone or self.left):
            data, allowed, spoilt = wire.waiting.pop(0)
            if wire.protocol.input.active:
                if self.behind > PAUSE["MAX_BUFFERED"]:
                    raise Broken("a flood is read as fast as it comes")
                self.behind += len(data)
            arrivals = len(self.house.controller.arrivals)
            if not (wire.shut or self.overdue):
                self.read += allowed
            wire.protocol.dataReceived(data)
            self.house.reactor.advance(0)
            if wire.shut and len(self.house.controller.arrivals) > arrivals:
                raise Broken("a request that came after our half was shut was taken")
            self.overdue = self.overdue or spoilt or self.house.frontend.counts["unreadable"] > 0

    @staticmethod
    def _allowed(parts):
        """How the answers to this command may begin."""
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
            self.half = resp_codec.encode_command(self._command())
            self._deliver(more=self.half[:20], whole=False)

    def _r(self):
        if self.half:
            rest, self.half = self.half[20:], b""
            self._deliver(more=rest)

    def _n(self):
        if not self.half:
            self.half = resp_codec.encode_command(self._command())
            self._deliver([b"FLUSHALL"], more=self.half[:20], whole=False)

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
            self._deliver(self._command(), [b"PING", b"z"], more=b"*1\r\n$x\r\n", whole=False, spoilt=True)

    def _e(self):
        if not (self.left or self.wire.gone or self.wire.waiting):
            self.left = True
            self.wire.protocol.readConnectionLost()

    def _x(self):
        self.left = True
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
            if (self.left or self.wire.shut or self.draining) and transport.value():
                raise Broken("an attempt began for a client that had gone or was answered, or at a draining worker")

    def _a(self):
        for worker in self.workers:
            if worker.value() and not worker.aborted and not worker.disconnecting:
                worker.clear()
                worker.protocol.dataReceived(SERVED_REPLY)

    def _w(self):
        self.wire.turn()

    def answers(self):
        """The answers and error lines that the client has, in their order."""
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
            raise Broken("more answers than commands")
        if not all(map(bytes.startswith, found, self.read)):
            raise Broken("an answer that is another command's")
        if (
            len(self.house.resp_requests.open_requests) > CAPS["MAX_OPEN_COMMANDS"]
            or self.house.frontend.buffered.used > VALUES
            or (len(self.wire.protocol.replies.pending) > CAPS["MAX_PENDING_REPLIES"] + 1)
        ):
            raise Broken("more is held than may be")

    def finish(self):
        """The drain's end, the last writes, and time for all that was begun."""
        self.play("fww")
        if not (self.left or self.wire.cut) and len(self.answers()) < len(self.read):
            raise Broken("a command that was read has no answer")
        self.play("gk")
        for _ in range(40):
            self.house.reactor.advance(0.1)
            self.wire.turn()
        if not (self.left or self.wire.gone):
            raise Broken("a connection whose end was begun long ago is still there")
        self.wire.waiting.clear()
        self._e()
        self.wire.turn()
        self.house.reactor.advance(0)
        front, carrier = self.house.frontend, self.house.resp_requests
        if carrier.open_requests or carrier._ids or self.house.request_table.requests:
            raise Broken("something is kept of a request that has ended")
        if front.buffered.used or any(front.by_state.values()):
            raise Broken("something is kept of a connection that has ended")


def play(events, turned_away=False):
    """Play these events to the end."""
    with mock.patch.multiple(client_connection, **CAPS), mock.patch.multiple(input_pause, **PAUSE):
        model = Model(turned_away)
        model.play(events)
        model.finish()
