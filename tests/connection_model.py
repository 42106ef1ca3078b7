"""One client's connection, its request's attempt and the drain as a model without sockets: any order of events, and
what must hold whatever the order. `test_connection_search.py` plays short orders all and long ones by seeds."""

from test_node_front import House, other
from test_node_wire import ASK, SERVED
from twisted.internet import error
from twisted.python.failure import Failure

from anisefront.node import resp
from anisefront.policy.interface import Fleet, Send, Server, State

EVENTS = {
    "c": "a whole command", "h": "the first half of one", "r": "its rest", "u": "a command that can't be used",
    "e": "the client ends its half", "x": "it resets", "t": "a time is over", "s": "the signal to end",
    "f": "the drain's end", "l": "the worker drains, says the list", "g": "the module sends what waits",
    "k": "the connection to the worker comes up", "a": "the worker answers", "w": "the loop writes",
}


class Broken(AssertionError):
    """Something that must hold does not."""


class Wire:
    """Twisted's transport of the client's connection: what is written leaves in a later turn."""

    def __init__(self):
        self.protocol, self.pending, self.out = None, b"", b""
        self.want_shut = self.want_close = self.shut = self.gone = self.cut = False
        self.paused = False

    def write(self, data):
        if not (self.shut or self.gone):
            self.pending += data

    def loseWriteConnection(self):
        self.want_shut = True

    def loseConnection(self):
        self.want_close = True

    def abortConnection(self):
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

    def __init__(self):
        self.house, self.wire = House(), Wire()
        self.wire.protocol = self.house.front.buildProtocol(None)
        self.wire.protocol.makeConnection(self.wire)
        self.read = 0  # whole commands that were read before our half was shut
        self.number, self.half = 0, b""
        self.left = self.draining = self.overdue = False
        self.sent, self.workers = set(), []

    def play(self, events):
        for event in events:
            getattr(self, "_" + event)()
            self.house.reactor.advance(0)
            self._check()

    def _deliver(self, data, commands):
        if self.left or self.wire.gone:
            return
        arrivals = len(self.house.module.arrivals)
        self.read += commands * (not self.wire.shut and not self.overdue)
        self.wire.protocol.dataReceived(data)
        self.house.reactor.advance(0)
        if self.wire.shut and len(self.house.module.arrivals) > arrivals:
            raise Broken("a request that came after our half was shut was taken")
        self.overdue = self.overdue or self.house.front.counts["unreadable"] > 0

    def _command(self):
        self.number += 1
        return resp.command(other(self.number, ASK))

    def _c(self):
        if not self.half:
            self._deliver(self._command(), 1)

    def _h(self):
        if not self.half:
            self.half = self._command()
            self._deliver(self.half[:20], 0)

    def _r(self):
        if self.half:
            rest, self.half = self.half[20:], b""
            self._deliver(rest, 1)

    def _u(self):
        if not self.half:
            self._deliver(resp.command([b"FLUSHALL"]), 1)

    def _e(self):
        if not (self.left or self.wire.gone):
            self.left = True
            self.wire.protocol.readConnectionLost()

    def _x(self):
        self.left = True
        self.wire.lost(error.ConnectionLost())

    def _t(self):
        for _ in range(12):
            self.house.reactor.advance(0.1)
        self.overdue = self.overdue or self.house.front.counts["unreadable"] > 0

    def _s(self):
        self.house.front.close_idle()

    def _f(self):
        self.house.front.fail_all()

    def _l(self):
        self.draining = True
        self.house.ledger.roster(Fleet((Server("s1", "z", 0, State.DRAINING), Server("s2", "z", 0, State.READY))))

    def _g(self):
        waiting = [each.id for each in self.house.module.arrivals if each.id not in self.sent]
        if waiting:
            self.sent.add(waiting[0])
            self.house.module.next = [Send(waiting[0], "s1", 1400.0)]
            self.house.ledger._plan_turn()

    def _k(self):
        while len(self.workers) < len(self.house.reactor.tcpClients):
            factory = self.house.reactor.tcpClients[len(self.workers)][2]
            transport = type(self.house).worker_transport(factory)
            self.workers.append(transport)
            if (self.left or self.wire.shut or self.draining) and transport.value():
                raise Broken("an attempt began for a client that had gone or was answered, or at a draining worker")

    def _a(self):
        for worker in self.workers:
            if worker.value() and not worker.aborted and not worker.disconnecting:
                worker.clear()
                worker.protocol.dataReceived(SERVED)

    def _w(self):
        self.wire.turn()

    def answers(self):
        """How many answers and error lines the client has."""
        at, count, out = 0, 0, self.wire.out
        while at < len(out):
            end = out.index(b"\r\n", at) + 2
            if out[at:at + 1] == b"$":
                end += int(out[at + 1:end - 2]) + 2
            at, count = end, count + 1
        return count

    def _check(self):
        if self.answers() > self.read + self.overdue:
            raise Broken("more answers than commands")

    def finish(self):
        """The drain's end, the last writes, and time for all that was begun."""
        self.play("fww")
        if not (self.left or self.wire.cut) and self.answers() < self.read:
            raise Broken("a command that was read has no answer")
        self.play("gk")
        for _ in range(40):
            self.house.reactor.advance(0.1)
            self.wire.turn()
        if not (self.left or self.wire.gone):
            raise Broken("a connection whose end was begun long ago is still there")
        self._e()
        self.wire.turn()
        self.house.reactor.advance(0)
        front, carrier = self.house.front, self.house.carrier
        if carrier.open or carrier._ids or self.house.ledger.entries:
            raise Broken("something is kept of a request that has ended")
        if front.bodies or any(front.places.values()):
            raise Broken("something is kept of a connection that has ended")


def play(events):
    """Play these events to the end."""
    model = Model()
    model.play(events)
    model.finish()
