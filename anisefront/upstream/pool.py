"""A pool of connections to workers, on Twisted. It carries one exchange a connection at a time.

    connecting --connected--> writing --all with the system--> waiting --whole answer--> resting --> idle --> writing
    cancel and time-out close the connection; a fault before the last byte was with the system proves that nothing ran

What the workers speak is handed in: a reader of answers for each connection (`upstream/http.py` has HTTP/1.1's).
"""

from __future__ import annotations

import socket
from collections import Counter, deque
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any, Protocol

from twisted.internet import error, protocol
from twisted.internet.abstract import isIPAddress, isIPv6Address
from twisted.python.failure import Failure

from anisefront.policy.events import AttemptResult
from anisefront.upstream.http import HttpAnswers

Done = Callable[[AttemptResult | None, Any], None]  # a result where no whole answer came, else the answer


class Answers(Protocol):
    """Reads the answers on one connection, one at a time."""

    fault: type[Exception]  # what `feed` raises for what can't be read
    early: bool  # whether an answer may begin before the whole request is written

    def feed(self, data: bytes) -> tuple[Any, bool] | None:
        """The answer that these bytes complete, and whether the connection can carry a further exchange."""

    def close(self) -> Any | None:
        """The connection has ended: the answer that this completes, if it is one."""

    def begin(self, head_only: bool) -> None:
        """A request is written: its answer is next."""


@dataclass(slots=True)
class PoolLimits:
    """Caps of a pool. Times in seconds, sizes in bytes."""

    connect_s: float = 1.0
    idle_s: float = 2.0  # well under what servers wait before they close
    idle_each: int = 32  # idle connections kept for a worker; more are closed
    most_body: int = 1 << 20
    most: int = 0  # connections in all, being connected or open; 0: no cap of the pool's own
    rest_s: float = 0.0  # after its answer a connection shows for so long that nothing more comes
    stall_s: float = 0.0  # an answer that has begun goes on within this time; 0: the request's time is the bound


def split_address(worker: str) -> tuple[str, int]:
    """The host and port of a worker that is named by its address."""
    host, _, port = worker.rpartition(":")
    return host, int(port)


class _Client(protocol.Protocol):
    """One connection."""

    def __init__(self, pool: Pool, worker: str, address: tuple[str, int], exchange: Exchange) -> None:
        self.pool, self.worker, self.address, self.exchange = pool, worker, address, exchange
        self.answers = pool.answers()
        self.idle_since = 0.0
        self._stall: Any = None
        self._data: bytes | None = None  # to be handed to the transport
        self.writing = False  # a part of the request is not with the system yet

    def connectionMade(self) -> None:
        self.transport.setTcpNoDelay(True)
        exchange, self.exchange = self.exchange, None
        exchange.connected(self)

    def write(self, data: bytes) -> None:
        """Hand a request over. The transport asks its producer for more when all is with the system."""
        self._data, self.writing = data, True
        self.transport.registerProducer(self, False)

    def resumeProducing(self) -> None:
        data, self._data = self._data, None
        if data is not None:
            self.transport.write(data)
        else:
            self.writing = False
            self.transport.unregisterProducer()

    def stopProducing(self) -> None:
        """The transport is closing."""

    def dataReceived(self, data: bytes) -> None:
        exchange = self.exchange
        if exchange is None:  # nobody asked: what it says can't be an answer to what comes next
            # Danger: its end is told in a later turn; until then it would be taken for one that is free.
            self.pool.counts["unasked"] += 1
            self.pool.not_idle(self)
            self.transport.abortConnection()
            return
        if self.writing and not self.answers.early:
            # Danger: what came between the look at an idle connection and the write would pass for the answer to a
            # command that its worker has not read.
            self.pool.counts["unasked"] += 1
            self._give_up(exchange, AttemptResult.CONNECT_FAILED)
            return
        try:
            found = self.answers.feed(data)
        except self.answers.fault:
            self.pool.counts["spoilt"] += 1
            self._give_up(exchange, AttemptResult.ERROR)
            return
        if found is None:
            if self.pool.limits.stall_s:
                self._watch()
            return
        self._unwatch()
        self.exchange = None
        if found[1] and not self.writing:
            self.pool.keep(self)
        else:
            self.transport.loseConnection()
        exchange.finish(None, found[0])

    def _give_up(self, exchange: Exchange, result: AttemptResult) -> None:
        self._unwatch()
        self.exchange = None
        self.transport.abortConnection()
        exchange.finish(result, None)

    def _watch(self) -> None:
        """Danger: an answer that has begun and does not go on, as with a length that does not fit, would hold its
        request until the whole time is gone."""
        self._unwatch()
        self._stall = self.pool.reactor.callLater(self.pool.limits.stall_s, self._stalled)

    def _unwatch(self) -> None:
        stall, self._stall = self._stall, None
        if stall is not None and stall.active():
            stall.cancel()

    def _stalled(self) -> None:
        if self.exchange is not None:
            self.pool.counts["stalled"] += 1
            self._give_up(self.exchange, AttemptResult.ERROR)

    def connectionLost(self, reason: Failure = protocol.connectionDone) -> None:
        self._unwatch()
        self.pool.gone(self)
        exchange, self.exchange = self.exchange, None
        if exchange is None:
            return
        # Danger: a reset is no end: an answer without a length that it breaks off is not whole.
        whole = self.answers.close() if reason.check(error.ConnectionDone) else None
        if whole is not None:
            exchange.finish(None, whole)
        else:
            exchange.finish(AttemptResult.CONNECT_FAILED if self.writing else AttemptResult.RESET, None)

    def dead(self) -> bool:
        """Whether the other side has closed or said more, though the event loop has not told yet."""
        try:
            return self.transport.getHandle().recv(1, socket.MSG_PEEK | socket.MSG_DONTWAIT) is not None
        except BlockingIOError:
            return False
        except OSError:
            return True


class Exchange:
    """One request on its way. `done` is called once, whatever happens."""

    def __init__(
        self,
        pool: Pool,
        worker: str,
        data: bytes,
        allow_s: float,
        done: Done,
        head_only: bool,
        may_begin: Callable[[], bool],
    ) -> None:
        self._pool, self._worker, self._data, self._done = pool, worker, data, done
        self._head_only, self._may_begin, self._client = head_only, may_begin, None
        self._stop_connecting: Callable[[], object] | None = None  # while we are
        self._timer = pool.reactor.callLater(max(0.001, allow_s), self._end, AttemptResult.TIMEOUT)

    def start(self) -> None:
        client = self._pool.take(self._worker)
        if client is not None:
            self.connected(client)
            return
        address = self._pool.address_of(self._worker)
        if address is None or not self._pool.make_room():
            self._pool.counts["no_room" if address else "no_address"] += 1
            self._pool.reactor.callLater(0, self.finish, AttemptResult.DISCARDED, None)  # the caller has not got us yet
            return
        self._stop_connecting = self._pool.connect(address, _Factory(self._pool, self._worker, address, self))

    def connected(self, client: _Client) -> None:
        """There is a connection that is ours to write to."""
        self._stop_connecting = None
        if self._done is None:  # it ended while it was being connected
            client.transport.abortConnection()
            return
        # Danger: while we were connecting its worker may have moved, or the reason for the attempt may have gone.
        moved = self._pool.address_of(self._worker) != client.address
        if moved or not self._may_begin():
            self._pool.counts["not_begun"] += 1
            client.transport.loseConnection()
            self._pool.reactor.callLater(
                0, self.finish, AttemptResult.DISCARDED, None
            )  # the caller may not have got us yet
            return
        self._client, client.exchange = client, self
        client.answers.begin(self._head_only)
        client.write(self._data)

    def unconnected(self) -> None:
        """No connection came up: nothing was written."""
        self._stop_connecting = None
        self.finish(AttemptResult.CONNECT_FAILED, None)

    def cancel(self) -> None:
        """Give it up; the connection, if there is one, is closed."""
        self._end(AttemptResult.CANCELLED)

    def _end(self, result: AttemptResult) -> None:
        stop, client = self._stop_connecting, self._client
        self._stop_connecting = self._client = None
        if stop is not None:  # nothing was written
            self.finish(AttemptResult.CONNECT_FAILED if result is AttemptResult.TIMEOUT else result, None)
            stop()
            return
        if client is not None and client.exchange is self:
            client.exchange = None
            if client.writing and result is AttemptResult.TIMEOUT:
                result = AttemptResult.CONNECT_FAILED
            client.transport.abortConnection()
        self.finish(result, None)

    def finish(self, result: AttemptResult | None, answer: Any) -> None:
        """The end: the answer, or how it failed."""
        done, self._done = self._done, None
        if self._timer.active():
            self._timer.cancel()
        if done is not None:
            done(result, answer)


class _Factory(protocol.ClientFactory):
    noisy = False

    def __init__(self, pool: Pool, worker: str, address: tuple[str, int], exchange: Exchange) -> None:
        self._pool, self._worker, self._address, self._exchange = pool, worker, address, exchange

    def buildProtocol(self, address: object) -> _Client:
        return _Client(self._pool, self._worker, self._address, self._exchange)

    def clientConnectionFailed(self, connector: object, reason: Failure) -> None:
        self._pool.connections -= 1
        self._exchange.unconnected()


class Pool:
    """Connections to all workers.

    `answers` makes a reader for each connection; `address_of` tells where a worker listens (None: nowhere) and is
    asked anew each time."""

    def __init__(
        self,
        reactor: Any,
        limits: PoolLimits | None = None,
        answers: Callable[[], Answers] | None = None,
        address_of: Callable[[str], tuple[str, int] | None] = split_address,
    ) -> None:
        self.reactor, self.limits = reactor, limits or PoolLimits()
        self.answers = answers or (lambda: HttpAnswers(self.limits.most_body))
        self.address_of = address_of
        self.connections = 0  # open, or being connected
        self.counts: Counter[str] = Counter()
        self._idle: dict[str, deque[_Client]] = {}  # of each worker, the longest idle first
        self._sweep_call: Any = None

    def request(
        self,
        worker: str,
        data: bytes,
        allow_s: float,
        done: Done,
        head_only: bool = False,
        may_begin: Callable[[], bool] = lambda: True,
    ) -> Exchange:
        """Send a written request to a worker; `done` hears its end within `allow_s`. `may_begin` is asked at the last
        moment before the first byte."""
        exchange = Exchange(self, worker, data, allow_s, done, head_only, may_begin)
        exchange.start()
        return exchange

    def connect(self, address: tuple[str, int], factory: _Factory) -> Callable[[], object]:
        """Begin a connection; the answer stops it. Of a name all addresses are tried, of both families."""
        self.connections += 1
        if isIPAddress(address[0]) or isIPv6Address(address[0]):
            return self.reactor.connectTCP(*address, factory, timeout=self.limits.connect_s).disconnect
        from twisted.internet.endpoints import HostnameEndpoint  # much behind it, which those with addresses save

        connecting = HostnameEndpoint(self.reactor, *address, timeout=self.limits.connect_s).connect(factory)
        connecting.addErrback(lambda failure: factory.clientConnectionFailed(None, failure))
        return connecting.cancel

    def take(self, worker: str) -> _Client | None:
        """An idle connection that is alive: the newest of those that have rested."""
        idle = self._idle.get(worker)
        if not idle:
            return None
        now = self.reactor.seconds()
        rested, fresh = now - self.limits.rest_s, now - self.limits.idle_s
        resting: list[_Client] = []
        found = None
        while idle:
            client = idle.pop()
            if self.limits.rest_s and client.idle_since > rested:
                resting.append(client)
                continue
            # Danger: a connection that the worker closed while it was idle would look like a failed request, and
            # what it said unasked would pass for the next answer. One idle for too long, as after a standstill, may
            # have been forgotten on its way, and nobody says so.
            if client.idle_since > fresh and not client.dead():
                found = client
                break
            self.counts["dead"] += 1
            client.transport.abortConnection()
        idle.extend(reversed(resting))
        if not idle:
            self._idle.pop(worker, None)
        return found

    def keep(self, client: _Client) -> None:
        """A connection whose exchange is over."""
        idle = self._idle.setdefault(client.worker, deque())
        if len(idle) >= self.limits.idle_each or self.address_of(client.worker) != client.address:
            if not idle:
                del self._idle[client.worker]
            client.transport.loseConnection()
            return
        client.idle_since = self.reactor.seconds()
        idle.append(client)
        if self._sweep_call is None:
            self._sweep_call = self.reactor.callLater(self.limits.idle_s, self._sweep)

    def _sweep(self) -> None:
        """Close what was idle for long. One timer for all, since one each would cost every exchange."""
        self._sweep_call = None
        now, first = self.reactor.seconds(), None
        for worker, idle in list(self._idle.items()):
            while idle and idle[0].idle_since + self.limits.idle_s <= now:
                idle.popleft().transport.loseConnection()
            if idle:
                first = min(first or idle[0].idle_since, idle[0].idle_since)
            else:
                self._idle.pop(worker, None)
        if first is not None:
            self._sweep_call = self.reactor.callLater(max(0.001, first + self.limits.idle_s - now), self._sweep)

    def make_room(self) -> bool:
        """Whether one more connection may be made; the longest idle one is closed for it where that helps."""
        if not self.limits.most or self.connections < self.limits.most:
            return True
        idle = min((idle for idle in self._idle.values() if idle), key=lambda each: each[0].idle_since, default=None)
        if idle is None:
            return False
        idle.popleft().transport.abortConnection()
        return True

    def drop_worker(self, worker: str) -> None:
        """Close a worker's idle connections: it has left, or moved."""
        for client in self._idle.pop(worker, ()):
            client.transport.loseConnection()

    def gone(self, client: _Client) -> None:
        """A connection that has ended."""
        self.connections -= 1
        self.not_idle(client)

    def not_idle(self, client: _Client) -> None:
        """A connection that carries nothing more."""
        idle = self._idle.get(client.worker)
        if idle is not None and client in idle:
            idle.remove(client)
            if not idle:
                del self._idle[client.worker]

    def close(self) -> None:
        """Close what is idle."""
        for worker in list(self._idle):
            self.drop_worker(worker)
