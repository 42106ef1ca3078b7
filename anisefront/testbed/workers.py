"""Stand-ins for workers: HTTP/1.1 servers with cores, a queue, cold starts, dropped repeats and load reports.

They obey what the operators' rules say of workers and write down what reached them. On command they fail fast,
slow down, fall silent, freeze or die.
"""

from __future__ import annotations

import json
import random
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any

from twisted.internet import protocol

from anisefront.config.types import Embedded
from anisefront.policy.events import Endpoint, EndpointList, EndpointStatus
from anisefront.protocols import http1
from anisefront.testbed.records import Record, now_ms

ANSWER = {"content-type": "application/json"}


@dataclass(frozen=True, slots=True)
class Kind:
    """What all workers of a fleet are like. Times in milliseconds."""

    cores: int = 2
    queue: int = 64
    service_ms: float = 20.0
    spread: float = 0.25  # of a service time, as the share of its mean that is random
    warm_up_ms: float = 10_000.0
    cold_from: float = 0.2
    fall_multiple: float = 3.0
    fall_window_ms: float = 2000.0
    keyed_paths: tuple[str, ...] = ()
    keep_ms: float = 5000.0  # how long a cell drops repeats of a key


@dataclass(slots=True)
class Cell:
    """Workers that drop repeats together: keys and when they were first seen."""

    name: str
    keys: dict[str, float] = field(default_factory=dict)

    def repeated(self, key: str, now: float, keep_ms: float) -> bool:
        """Whether the key came before, within its time; a new one is remembered."""
        while self.keys and now - next(iter(self.keys.values())) > keep_ms:
            del self.keys[next(iter(self.keys))]
        if key in self.keys:
            return True
        self.keys[key] = now
        return False


class _Job:
    __slots__ = ("connection", "message", "size")

    def __init__(self, connection: _Connection, message: http1.Message, size: float) -> None:
        self.connection, self.message, self.size = connection, message, size


class Worker:
    """One worker process."""

    def __init__(
        self,
        reactor: Any,
        kind: Kind,
        zone: str,
        cell: Cell,
        rng: random.Random,
        record: Record,
        cold: bool,
        host: str = "127.0.0.1",
    ) -> None:
        self.reactor, self.kind, self.zone, self.cell, self.rng, self.record = reactor, kind, zone, cell, rng, record
        self.started_ms = now_ms() if cold else 0.0
        self.connections: set[_Connection] = set()
        self._queue: deque[_Job] = deque()
        self._busy = 0
        self._work: deque[tuple[float, float]] = deque()  # when work came, and how much of a core's time
        self.error_share, self.slow, self.silent, self.frozen, self.fallen = 0.0, 1.0, False, False, False
        self.broken_share = 0.0  # of answers that are errors though the work was done
        self._thawed: list[Callable[[], None]] = []
        self.port = reactor.listenTCP(0, _Factory(self), backlog=256, interface=host)
        self.id = f"{host}:{self.port.getHost().port}"
        record.write(
            "worker",
            worker=self.id,
            zone=zone,
            cell=cell.name,
            cold=cold,
            cores=kind.cores,
            service_ms=kind.service_ms,
            warm_up_ms=kind.warm_up_ms,
            cold_from=kind.cold_from,
            fall_multiple=kind.fall_multiple,
            fall_window_ms=kind.fall_window_ms,
        )

    def warmth(self) -> float:
        """The share of its capacity that it has by now."""
        if not self.started_ms:
            return 1.0
        age = (now_ms() - self.started_ms) / self.kind.warm_up_ms
        return min(1.0, self.kind.cold_from + (1 - self.kind.cold_from) * age)

    # ---- work ----------------------------------------------------------------------------------

    def arrived(self, connection: _Connection, message: http1.Message) -> None:
        """One whole request. What comes while it is frozen has arrived all the same."""
        self._note("arrive", message)
        if self.frozen:
            self._thawed.append(lambda: self._take(connection, message))
        else:
            self._take(connection, message)

    def _take(self, connection: _Connection, message: http1.Message) -> None:
        headers = message.headers
        size = float(headers.get("x-units", "1")) if headers.get("x-units", "1").replace(".", "").isdigit() else 1.0
        self._press(size)
        if self.fallen or self.silent:
            return
        if self.rng.random() < self.error_share:
            self._note("error", message)
            connection.answer(500, {}, b'{"error":"fast failure"}')
        elif self._busy + len(self._queue) >= self.kind.cores + self.kind.queue:
            self._note("full", message)
            connection.answer(503, {"x-envoy-overloaded": "true"}, b'{"error":"full"}')
        else:
            self._queue.append(_Job(connection, message, size))
            self._next()

    def _note(self, kind: str, message: http1.Message, **more: Any) -> None:
        headers = message.headers
        self.record.write(
            kind,
            worker=self.id,
            cell=self.cell.name,
            zone=self.zone,
            path=message.target,
            id=headers.get("x-request-id", ""),
            attempt=headers.get("x-anisefront-attempt", ""),
            customer=headers.get("x-api-key", ""),
            units=headers.get("x-units", "1"),
            **more,
        )

    def _press(self, size: float) -> None:
        """A cold worker that is sent too much falls over and stays down."""
        if not self.started_ms or self.fallen:
            return
        now, kind = now_ms(), self.kind
        self._work.append((now, size * kind.service_ms))
        while self._work and now - self._work[0][0] > kind.fall_window_ms:
            self._work.popleft()
        budget = kind.fall_multiple * self.warmth() * kind.cores * kind.fall_window_ms
        if self.warmth() < 1 and sum(work for _, work in self._work) > budget:
            self.fallen = True
            self.record.write("fall", worker=self.id, work=sum(work for _, work in self._work), budget=budget)

    def _next(self) -> None:
        while self._queue and self._busy < self.kind.cores and not self.frozen:
            job = self._queue.popleft()
            if not job.connection.connected:
                self._note("dropped", job.message)
                continue
            path, key = job.message.target.partition("?")[0], job.message.headers.get("x-idempotency-key", "")
            if path in self.kind.keyed_paths and key and self.cell.repeated(key, now_ms(), self.kind.keep_ms):
                self._note("repeat", job.message, key=key)
                job.connection.answer(200, self._report(), b'{"done":"before"}')
                continue
            self._busy += 1
            self._note("run", job.message, key=key)
            spread = self.kind.spread
            mean = self.kind.service_ms * job.size * self.slow / self.warmth()
            took = mean * (1 - spread + spread * self.rng.expovariate(1.0))
            self.reactor.callLater(took / 1000, self._done, job)

    def _done(self, job: _Job) -> None:
        if self.frozen:
            self._thawed.append(lambda: self._done(job))
            return
        self._busy -= 1
        self._note("done", job.message)
        if not self.fallen and not self.silent and self.broken_share and self.rng.random() < self.broken_share:
            job.connection.answer(500, self._report(), b'{"error":"after the work"}')
        elif not self.fallen and not self.silent:
            job.connection.answer(200, self._report(), json.dumps({"served": job.message.target}).encode())
        self._next()

    def _report(self) -> dict[str, str]:
        busy = min(1.0, self._busy / self.kind.cores)
        held = self._busy + len(self._queue)
        return {"endpoint-load-metrics": f"TEXT cpu_utilization={busy:.2f},named_metrics.inflight={held}"}

    # ---- commands ------------------------------------------------------------------------------

    def freeze(self, for_s: float) -> None:
        """Stand still for so long: nothing is read as work, begun or answered."""
        self.frozen = True
        self.reactor.callLater(for_s, self._thaw)

    def _thaw(self) -> None:
        self.frozen = False
        waiting, self._thawed = self._thawed, []
        for call in waiting:
            call()
        self._next()

    def die(self) -> None:
        """The process is gone: its port refuses, its connections reset."""
        self.record.write("death", worker=self.id)
        self.fallen = True
        self.port.stopListening()
        for connection in list(self.connections):
            connection.transport.abortConnection()

    def listed(self, state: EndpointStatus = EndpointStatus.READY) -> Endpoint:
        """This worker as a line of a fleet list."""
        import zlib

        return Endpoint(self.id, self.zone, zlib.crc32(self.cell.name.encode()), state, 1.0, self.started_ms)


class _Connection(protocol.Protocol):
    def __init__(self, worker: Worker) -> None:
        self._worker, self._reader, self._keep = worker, http1.MessageReader(requests=True), True

    def connectionMade(self) -> None:
        self._worker.connections.add(self)
        self.transport.setTcpNoDelay(True)

    def dataReceived(self, data: bytes) -> None:
        try:
            for message in self._reader.feed(data):
                self._keep = message.keep_alive
                self._worker.arrived(self, message)
        except http1.MessageError as fault:
            self._keep = False
            self.answer(fault.status, {}, str(fault).encode())

    def answer(self, status: int, headers: dict[str, str], body: bytes) -> None:
        if self.connected:
            self.transport.write(http1.encode_response(status, ANSWER | headers, body))
            if not self._keep:
                self.transport.loseConnection()

    def connectionLost(self, reason: Any = None) -> None:
        self.connected = 0
        self._worker.connections.discard(self)


class _Factory(protocol.ServerFactory):
    noisy = False

    def __init__(self, worker: Worker) -> None:
        self._worker = worker

    def buildProtocol(self, address: object) -> _Connection:
        return _Connection(self._worker)


def embedded(wanted: Embedded, zone: str) -> Callable[[Any], EndpointList]:
    """Starts warm workers inside a gatekeeper's own process, for a first try and for benchmarks."""

    def start(reactor: Any) -> EndpointList:
        kind = Kind(wanted.cores, 1024, wanted.service_ms)
        cell, record = Cell("embedded"), Record(None)
        workers = [
            Worker(reactor, kind, zone, cell, random.Random(number), record, False) for number in range(wanted.count)
        ]
        return EndpointList(tuple(worker.listed() for worker in workers))

    return start
