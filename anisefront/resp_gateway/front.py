"""Clients of the platform: connections, commands in, answers in the order of the commands, on Twisted.

    young --first whole command--> busy <--> idle          ended: the longest idle where there are too many
      |                             |
      +---- half a command ---------+                      faulty: when it does not come whole in time
    any --what can't be read--> faulty: busy, and nothing more is looked at --the last answer--> end
    any --end--> closing --all written, our half shut--> shut --the client ends, or a time is over--> gone
    turned away (no room): closing from the first, our half is shut behind the first answer

Each command that came whole before our half was shut has one answer, in order, before the end. A connection is closed
by halves: a close over unread bytes would reset it, and with the reset would go answers that the client has not read.
Beyond a cap a command is refused and the connection goes on; what can be read and not used gets an error line; only
what can't be read ends the connection, after the answers of all before it. Who sends without measure is heard no
faster than others are served. Nothing here decides about requests that can be used: the ledger hears of all of them.
"""

from __future__ import annotations

import itertools
import socket
from collections import Counter, OrderedDict, deque
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

from twisted.internet import protocol
from twisted.internet.interfaces import IHalfCloseableProtocol
from twisted.python.failure import Failure
from zope.interface import implementer

from anisefront.frontends.backpressure import Backpressure
from anisefront.resp_gateway import resp
from anisefront.resp_gateway.carrier import FAILED, NodeCarrier, refusal
from anisefront.resp_gateway.terms import VERBS, Reader, TermsFault

FIRST_S = 1.0  # a connection's first command is due within this time, any command so long after its first byte
IDLE_S = 2.0  # a connection without an open request may be closed after so long
LINGER_S = 0.2  # at the end, after a greeting without a request
STUCK_S = 5.0  # a client that does not read its answers is cut off
SWEEP_S = 0.1
UNREAD_MS, UNREAD_PART = 100.0, 0.1  # for how long a request may have waited to be read; or such a part of its time
CLOSE_S = 2.0  # a connection whose end was begun is gone by then, whatever its client does
MOST_DISCARDED = 1 << 20  # bytes that are thrown away of a connection that is closing; one that sends more is cut off
MOST_UNREAD = (64 << 10) + 1024  # bytes that may wait behind a command that can't be used: one whole command
MOST_OPEN = 64  # commands of one connection without an answer; those beyond are refused
MOST_AT_ONCE = 256  # commands of one read: none that asks is so short. Nothing more is looked at for PAUSE_S
MOST_WAITING = 4_096  # answers behind an open one; at more what is open is failed, so that all can be written
PAUSE_S, MOST_PAUSE_S = 0.1, 1.6  # nothing is read after a command that can't be used; twice as long after each more
MOST_CUT = 8  # beyond the caps: cut off, and still holding their descriptors until the next turn
BUSY_MS = 250.0  # advice where this gatekeeper is full
PONG, OK = b"+PONG\r\n", b"+OK\r\n"
YOUNG, HALF, IDLE, BUSY, CLOSING = "young", "half", "idle", "busy", "closing"


@dataclass(slots=True)
class FrontLimits:
    """Caps of the front. Sizes in bytes."""

    most_connections: int = 100
    most_closing: int = 16  # beside them: closing, so that what was written to them is read
    many_connections: int = 30  # with commands; where there are more, those that were idle for IDLE_S are closed
    most_bodies: int = 8 << 20  # of values held for open requests


@dataclass(slots=True, eq=False)
class _Slot:
    """One command's place in the order of answers."""

    answer: bytes | None = None
    number: int | None = None  # of its request in the ledger
    size: int = 0  # bytes held, of its request's value or of its answer


REFUSED = _Slot(refusal(BUSY_MS))  # the place of each command that is refused here: floods of them cost a pointer each


@implementer(IHalfCloseableProtocol)
class Client(Backpressure):
    """One connection."""

    def __init__(self, front: Front, turned_away: bool = False) -> None:
        self.front, self.reader = front, resp.CommandReader()
        self._turned_away = turned_away  # there is no room: it is told so, and ends
        self.slots: deque[_Slot] = deque()
        self.place = ""
        self.since = 0.0  # in this place
        self._bad = 0
        self._spoke = self._asked = False  # a whole command has come; one that asks for something has
        self._ending = self._shut = False  # no request is taken any more; our half is shut
        self._late = 0  # bytes that came while it is closing, or after what can't be read
        self._unread = bytearray()  # what waits while it is paused
        self._pause: Any = None
        self._held = False  # reading is stopped, too, until the pause is over

    @property
    def settled(self) -> bool:
        """Nothing has to be written to it any more: our half is shut, or no command has come."""
        return self._shut or not self._spoke

    def connectionMade(self) -> None:
        self.transport.setTcpNoDelay(True)
        self.front.descriptors += 1
        self.watch_reader(self.front.reactor, STUCK_S, self.abort)
        self._ending = self._turned_away
        self.front.put(self, CLOSING if self._turned_away else YOUNG)

    def dataReceived(self, data: bytes) -> None:
        if self._ending or self.reader.fault is not None:
            self._late += len(data)
            if self._late > MOST_DISCARDED:
                self._too_late()
                return
        if self._shut or self.reader.fault is not None:
            return
        if self._pause is not None:
            self._keep_unread(data)
        else:
            self._take_in(data)

    def _too_late(self) -> None:
        """It goes on sending. What is owed is written first; after as much again it is cut off."""
        if self._ending:
            self.abort()
        else:
            self._late = 0
            self.fail_all()

    def _keep_unread(self, data: bytes) -> None:
        """Danger: with reading stopped instead we would not see that the client leaves, and what it has open here
        would be sent on for nobody. At the caps what waits is refused, and reading stops for a moment: else a flood
        would take the time of all others."""
        front = self.front
        self._unread += data
        front.bodies += len(data)
        if len(self._unread) > MOST_UNREAD or front.bodies > front.limits.most_bodies:
            self._hold()
            self._take_in(self._forget_unread(), refuse=True)

    def _hold(self) -> None:
        """Stop reading until the pause is over, which is soon."""
        if not self._held:
            self._held = True
            self.hold()
            self._pause.cancel()
            self._pause = self.front.reactor.callLater(PAUSE_S, self._read_on)

    def _take_in(self, data: bytes, refuse: bool = False) -> None:
        commands = self.reader.feed(data)
        if commands and self.place == HALF:
            self.front.put(self, HALF)  # another command has begun: its time counts from now
        for parts in commands:
            self._command(parts, refuse)
        if len(self.slots) > MOST_WAITING:
            self._fail_open()
        if len(commands) > MOST_AT_ONCE and self._pause is None and not self._ending:
            self._pause = self.front.reactor.callLater(PAUSE_S, self._read_on)
        if self.reader.fault is not None:
            self._unreadable(self.reader.fault.line)
            return
        self._flush()

    def _command(self, parts: list[bytes], refuse: bool) -> None:
        self._spoke = True
        if len(self.slots) >= MOST_OPEN:
            self._write()  # what has its answer by now does not count
        if refuse or len(self.slots) >= MOST_OPEN:
            self.front.counts["refused"] += 1
            self._asked = True
            self.slots.append(REFUSED)
            return
        slot = _Slot()
        self.slots.append(slot)
        verb = parts[0]
        if verb in VERBS:
            self._ask(slot, parts)
        elif verb.upper() == b"PING" and len(parts) <= 2:
            self._pong(slot, parts)
        elif verb.upper() in (b"CLIENT", b"SELECT"):
            slot.answer = OK
        else:
            self._unfit(slot, f"unknown command '{verb[:20].decode('latin-1')}'")

    def _pong(self, slot: _Slot, parts: list[bytes]) -> None:
        front = self.front
        if len(parts) == 1:
            slot.answer = PONG
        elif front.bodies + len(parts[1]) > front.limits.most_bodies:
            front.counts["full"] += 1
            slot.answer = REFUSED.answer
        else:
            slot.answer, slot.size = resp.bulk(parts[1]), len(parts[1])
            front.bodies += slot.size

    def _ask(self, slot: _Slot, parts: list[bytes]) -> None:
        front, self._asked = self.front, True
        if self._ending:  # it came before our half was shut: it is not sent on, and its client is told so
            slot.answer = REFUSED.answer
            return
        try:
            wanted = front.terms.read(parts)
        except TermsFault as problem:
            self._unfit(slot, str(problem))
            return
        if front.carrier.knows(wanted.id):
            # Danger: workers know a request by its id: another's, sent on, would be taken for a second copy of it.
            self._unfit(slot, "id: a request with this id is open")
            return
        if front.bodies + len(wanted.tail) > front.limits.most_bodies:
            front.counts["full"] += 1
            slot.answer = REFUSED.answer
            return

        def final(answer: bytes) -> None:
            slot.answer, slot.number = answer, None
            front.bodies += len(answer) - slot.size
            slot.size = len(answer)
            self._flush()

        slot.size = len(wanted.tail)
        front.bodies += slot.size
        slot.number = front.carrier.ask(wanted, front.deadline_at_ms(wanted.wait_ms), final, self.left)
        if slot.number is None:
            front.counts["full"] += 1
            slot.answer = REFUSED.answer

    def left(self) -> bool:
        """Whether the client has closed, though the loop has not told yet.

        Danger: after a standstill its close lies unread in the socket, and an attempt would begin for nobody."""
        try:
            return not self.transport.getHandle().recv(1, socket.MSG_PEEK | socket.MSG_DONTWAIT)
        except BlockingIOError:
            return False
        except OSError:
            return True

    def _unfit(self, slot: _Slot, why: str) -> None:
        """A command that can't be used. Danger: the same again at once, without end, would take the time of all
        others; so nothing more of this connection is looked at for a moment."""
        self.front.counts["unfit"] += 1
        slot.answer = resp.error(b"ERR " + why.encode("ascii", "replace"))
        if self._pause is None and not self._ending:
            self._pause = self.front.reactor.callLater(min(MOST_PAUSE_S, PAUSE_S * 2**self._bad), self._read_on)
            self._bad += 1

    def _read_on(self) -> None:
        if self._pause is not None and self._pause.active():
            self._pause.cancel()
        self._pause = None
        if self._held:
            self._held = False
            self.go_on()
        data = self._forget_unread()
        if data and self.reader.fault is None:
            self._take_in(data)

    def _forget_unread(self) -> bytes:
        data, self._unread = bytes(self._unread), bytearray()
        self.front.bodies -= len(data)
        return data

    def _unreadable(self, line: bytes) -> None:
        """What came can't be read. What came whole before it is served to its end; then comes this line."""
        self.front.counts["unreadable"] += 1
        if self.reader.fault is None:
            self.reader.fault = resp.RespFault("nothing more is read")
        self.slots.append(_Slot(resp.error(line)))
        self._flush()

    def _withdraw(self, slot: _Slot) -> None:
        self._let_go(slot)
        if slot.number is not None:
            number, slot.number = slot.number, None
            self.front.carrier.client_disconnected(number)

    def _let_go(self, slot: _Slot) -> None:
        self.front.bodies -= slot.size
        slot.size = 0

    def _write(self) -> None:
        """The answers whose turn it is."""
        slots, ready = self.slots, []
        while slots and slots[0].answer is not None:
            slot = slots.popleft()
            self._let_go(slot)
            ready.append(slot.answer)
        if ready:
            self.transport.write(b"".join(ready))

    def _flush(self) -> None:
        """Write the answers whose turn it is, and take the place that follows from what is left."""
        self._write()
        slots = self.slots
        if self._ending:
            if self._turned_away and (self._spoke or self.reader.fault is not None):
                self._turned_away = False
                self._shut_half()
            return
        if self.reader.fault is not None:
            if not slots:
                self.end()
                return
            place = BUSY
        elif not self._spoke:
            place = YOUNG
        elif self.reader.midway:
            place = HALF
        else:
            place = BUSY if slots else IDLE
        if place != self.place:
            self.front.put(self, place)
        if place == IDLE and self.front.draining and self._asked:
            self.end()  # one that only greeted us is about to ask: the sweep closes it

    def end(self) -> None:
        """Close, when what was written has gone out: take no more requests, shut our half, wait for the client's."""
        if not self._ending:
            self._ending = True
            self.front.put(self, CLOSING)
            self._read_on()  # what waits was read before our half is shut
            self._shut_half()

    def _shut_half(self) -> None:
        self.transport.unregisterProducer()  # else a full buffer, once it is free, would not be followed by the end
        self.transport.resumeProducing()
        self.transport.loseWriteConnection()

    def writeConnectionLost(self) -> None:
        """All is written and our half is shut: what is read from now on came too late."""
        self._shut = True

    def readConnectionLost(self) -> None:
        """The client has ended its half: it has gone, or has seen that we are closing."""
        self._withdraw_all()
        if not self._ending:
            self.front.put(self, CLOSING)
        self._ending = self._shut = True
        self.transport.unregisterProducer()
        self.transport.loseConnection()

    def fail_all(self) -> None:
        """Answer what is open, without a promise, and close."""
        self._fail_open()
        self._write()
        self.end()

    def _fail_open(self) -> None:
        for slot in self.slots:
            if slot.answer is None:
                self._withdraw(slot)
                slot.answer = FAILED

    def overdue(self) -> None:
        """Its command did not come whole in time; or its rest waits to be looked at, or is not read by us."""
        since, unread = self.since, self._held or self._full
        self._read_on()
        if self.since == since and not unread:
            self.front.counts["overdue"] += 1
            self._unreadable(resp.RespFault("a command did not come whole in time").line)

    def abort(self) -> None:
        """Cut it off."""
        self._ending = self._shut = True
        self.transport.abortConnection()

    def _withdraw_all(self) -> None:
        if self._pause is not None and self._pause.active():
            self._pause.cancel()
        self._forget_unread()
        for slot in self.slots:
            self._withdraw(slot)
        self.slots.clear()

    def connectionLost(self, reason: Failure = protocol.connectionDone) -> None:
        self._ending = self._shut = True
        self.front.descriptors -= 1
        self.forget_reader()
        self._withdraw_all()
        self.front.gone(self)


class Front(protocol.Factory):
    """All connections of clients. `now_ms` is the ledger's clock."""

    noisy = False

    def __init__(
        self, reactor: Any, carrier: NodeCarrier, terms: Reader, now_ms: Callable[[], float], limits: FrontLimits
    ) -> None:
        self.reactor, self.carrier, self.terms, self.now_ms, self.limits = reactor, carrier, terms, now_ms, limits
        self.counts: Counter[str] = Counter()
        self.bodies = self.descriptors = 0  # bytes; connections that hold one, also cut off in this turn
        self.draining = False
        self.latest_ms = float("inf")  # all is answered by then, whatever the clients would wait
        # Of each place the connections by the time since which they are in it, the longest first.
        self.places: dict[str, OrderedDict[Client, None]] = {
            place: OrderedDict() for place in (YOUNG, HALF, IDLE, BUSY, CLOSING)
        }
        self._sweep_call: Any = None

    @property
    def connections(self) -> int:
        """How many connections are open; those that are closing are counted apart."""
        return sum(len(kept) for place, kept in self.places.items() if place != CLOSING)

    def deadline_at_ms(self, wait_ms: float) -> float:
        """When a request that is read now is to be answered.

        Danger: its time counts from when it was sent. Until it is read it is on its way, and waits here while the loop
        is busy with others, as when all clients of a gatekeeper that has just started come at once; an answer at the
        last moment of a time that is counted from now would be late by as much."""
        return min(self.now_ms() + wait_ms - min(UNREAD_MS, wait_ms * UNREAD_PART), self.latest_ms)

    def buildProtocol(self, address: object) -> Client | None:
        """Take a connection, in the place of one that is not used where there are as many as may be. Without such a one
        it is told that there is no room; only where nothing can be spared for that is it closed unread."""
        limits, turned_away = self.limits, False
        most = limits.most_connections + limits.most_closing
        # Danger: all that come in one look would each take the place of one whose descriptor is free only in the next
        # turn; with none left the watch, a list or a new configuration could not be had.
        if (
            self.descriptors >= most + MOST_CUT
            or self.connections + len(self.places[CLOSING]) >= most
            and not self._cut_closing()
        ):
            self.counts["closed_unread"] += 1
            return None
        if self.connections >= limits.most_connections:
            for place in (YOUNG, IDLE):
                if self.places[place]:
                    client = next(iter(self.places[place]))
                    self.counts["made_room"] += 1
                    client.end()
                    break
            else:
                self.counts["turned_away"] += 1
                turned_away = True
        if self._sweep_call is None:
            self._sweep_call = self.reactor.callLater(SWEEP_S, self._sweep)
        return Client(self, turned_away)

    def _cut_closing(self) -> bool:
        """Cut off the oldest of the closing ones to which nothing has to be written any more."""
        for client in self.places[CLOSING]:
            if client.settled:
                self.gone(client)
                self.counts["closing_cut"] += 1
                client.abort()
                return True
        return False

    def put(self, client: Client, place: str) -> None:
        """A connection is in this place from now on."""
        self.gone(client)
        client.place, client.since = place, self.reactor.seconds()
        self.places[place][client] = None

    def gone(self, client: Client) -> None:
        """A connection is in no place any more: it has ended, or is about to."""
        if client.place:
            del self.places[client.place][client]
            client.place = ""

    def _sweep(self) -> None:
        """Look at the longest in each place; those behind them are not due."""
        now = self.reactor.seconds()
        for place in (YOUNG, HALF):
            for client in self._since(place, now - FIRST_S):
                client.overdue()
        idle = self.places[IDLE]
        if self.draining:
            for client in self._since(IDLE, now - LINGER_S):
                client.end()
        for client in self._since(CLOSING, now - CLOSE_S):
            self.gone(client)
            client.abort()
        used = len(idle) + len(self.places[BUSY]) + len(self.places[HALF])
        for client in self._since(IDLE, now - IDLE_S)[: max(0, used - self.limits.many_connections)]:
            self.counts["idle_closed"] += 1
            client.end()
        self._sweep_call = self.reactor.callLater(SWEEP_S, self._sweep) if any(self.places.values()) else None

    def _since(self, place: str, moment: float) -> list[Client]:
        return list(itertools.takewhile(lambda client: client.since <= moment, self.places[place]))

    def close_idle(self) -> None:
        """From now on connections end between requests."""
        self.draining = True
        for client in list(self.places[IDLE]):
            client.end()

    def fail_all(self) -> None:
        """The end: what has no answer yet gets one that promises nothing, and all connections close."""
        for place in (YOUNG, HALF, IDLE, BUSY):
            for client in list(self.places[place]):
                client.fail_all()
