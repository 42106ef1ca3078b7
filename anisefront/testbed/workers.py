"""Simulated workers: HTTP/1.1 servers with cores, a queue, cold starts, deduplication and load reports.

They behave as the operators' rules require of workers and record the requests that reach them. Injected faults make
them fail fast, slow down, stop responding, freeze or crash.
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

RESPONSE_HEADERS = {"content-type": "application/json"}


@dataclass(frozen=True, slots=True)
class WorkerSettings:
    """Properties that all workers of a run share. Times are in milliseconds."""

    cores: int = 2
    queue: int = 64
    service_ms: float = 20.0
    spread: float = 0.25  # random fraction of the mean service time
    warm_up_ms: float = 10_000.0
    initial_capacity: float = 0.2  # fraction of the full capacity of a worker that has just started
    overload_multiple: float = 3.0
    overload_window_ms: float = 2000.0
    keyed_paths: tuple[str, ...] = ()
    deduplication_ms: float = 5000.0  # retention of idempotency keys in a cell


@dataclass(slots=True)
class DeduplicationCell:
    """The idempotency keys that the workers of a cell share, with the time at which each was first seen."""

    name: str
    keys: dict[str, float] = field(default_factory=dict)

    def is_duplicate(self, key: str, now: float, deduplication_ms: float) -> bool:
        """Return whether the key was seen within the retention period; remember it if not."""
        while self.keys and now - next(iter(self.keys.values())) > deduplication_ms:
            del self.keys[next(iter(self.keys))]
        if key in self.keys:
            return True
        self.keys[key] = now
        return False


class _QueuedRequest:
    """A queued request with its size in units and the connection to respond on."""

    __slots__ = ("connection", "message", "size")

    def __init__(self, connection: _Connection, message: http1.Message, size: float) -> None:
        self.connection, self.message, self.size = connection, message, size


class Worker:
    """A simulated worker process."""

    def __init__(
        self,
        reactor: Any,
        settings: WorkerSettings,
        zone: str,
        cell: DeduplicationCell,
        rng: random.Random,
        record: Record,
        cold: bool,
        host: str = "127.0.0.1",
    ) -> None:
        """Start listening on a free port. A worker that is not cold counts as warmed up."""
        self.reactor, self.settings, self.zone, self.cell, self.rng, self.record = (
            reactor,
            settings,
            zone,
            cell,
            rng,
            record,
        )
        self.started_ms = now_ms() if cold else 0.0
        self.connections: set[_Connection] = set()
        self._queue: deque[_QueuedRequest] = deque()
        self._busy = 0
        self._recent_work: deque[tuple[float, float]] = deque()  # arrival time and core time of recent requests
        self.error_share, self.slow, self.silent, self.frozen, self.collapsed = 0.0, 1.0, False, False, False
        self.broken_share = 0.0  # fraction of responses that are errors although the work was done
        self._deferred_calls: list[Callable[[], None]] = []
        self.port = reactor.listenTCP(0, _Factory(self), backlog=256, interface=host)
        self.id = f"{host}:{self.port.getHost().port}"
        record.write(
            "worker",
            worker=self.id,
            zone=zone,
            cell=cell.name,
            cold=cold,
            cores=settings.cores,
            service_ms=settings.service_ms,
            warm_up_ms=settings.warm_up_ms,
            cold_from=settings.initial_capacity,
            fall_multiple=settings.overload_multiple,
            fall_window_ms=settings.overload_window_ms,
        )

    def warm_up_factor(self) -> float:
        """Return the fraction of its full capacity that the worker has reached."""
        if not self.started_ms:
            return 1.0
        age = (now_ms() - self.started_ms) / self.settings.warm_up_ms
        return min(1.0, self.settings.initial_capacity + (1 - self.settings.initial_capacity) * age)

    # ---- work ----------------------------------------------------------------------------------

    def receive(self, connection: _Connection, message: http1.Message) -> None:
        """Handle a complete request. One that arrives while the worker is frozen is recorded now and handled later."""
        self._record_event("arrive", message)
        if self.frozen:
            self._deferred_calls.append(lambda: self._accept(connection, message))
        else:
            self._accept(connection, message)

    def _accept(self, connection: _Connection, message: http1.Message) -> None:
        headers = message.headers
        size = float(headers.get("x-units", "1")) if headers.get("x-units", "1").replace(".", "").isdigit() else 1.0
        self._check_overload(size)
        if self.collapsed or self.silent:
            return
        if self.rng.random() < self.error_share:
            self._record_event("error", message)
            connection.respond(500, {}, b'{"error":"fast failure"}')
        elif self._busy + len(self._queue) >= self.settings.cores + self.settings.queue:
            self._record_event("full", message)
            connection.respond(503, {"x-envoy-overloaded": "true"}, b'{"error":"full"}')
        else:
            self._queue.append(_QueuedRequest(connection, message, size))
            self._start_queued()

    def _record_event(self, kind: str, message: http1.Message, **more: Any) -> None:
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

    def _check_overload(self, size: float) -> None:
        """Collapse for good if a cold worker has been sent more than the permitted multiple of its capacity."""
        if not self.started_ms or self.collapsed:
            return
        now, settings = now_ms(), self.settings
        self._recent_work.append((now, size * settings.service_ms))
        while self._recent_work and now - self._recent_work[0][0] > settings.overload_window_ms:
            self._recent_work.popleft()
        budget = settings.overload_multiple * self.warm_up_factor() * settings.cores * settings.overload_window_ms
        if self.warm_up_factor() < 1 and sum(work for _, work in self._recent_work) > budget:
            self.collapsed = True
            self.record.write("fall", worker=self.id, work=sum(work for _, work in self._recent_work), budget=budget)

    def _start_queued(self) -> None:
        while self._queue and self._busy < self.settings.cores and not self.frozen:
            queued = self._queue.popleft()
            if not queued.connection.connected:
                self._record_event("dropped", queued.message)
                continue
            path, key = queued.message.target.partition("?")[0], queued.message.headers.get("x-idempotency-key", "")
            if (
                path in self.settings.keyed_paths
                and key
                and self.cell.is_duplicate(key, now_ms(), self.settings.deduplication_ms)
            ):
                self._record_event("repeat", queued.message, key=key)
                queued.connection.respond(200, self._report(), b'{"done":"before"}')
                continue
            self._busy += 1
            self._record_event("run", queued.message, key=key)
            spread = self.settings.spread
            mean = self.settings.service_ms * queued.size * self.slow / self.warm_up_factor()
            duration_ms = mean * (1 - spread + spread * self.rng.expovariate(1.0))
            self.reactor.callLater(duration_ms / 1000, self._finish, queued)

    def _finish(self, queued: _QueuedRequest) -> None:
        if self.frozen:
            self._deferred_calls.append(lambda: self._finish(queued))
            return
        self._busy -= 1
        self._record_event("done", queued.message)
        if not self.collapsed and not self.silent and self.broken_share and self.rng.random() < self.broken_share:
            queued.connection.respond(500, self._report(), b'{"error":"after the work"}')
        elif not self.collapsed and not self.silent:
            queued.connection.respond(200, self._report(), json.dumps({"served": queued.message.target}).encode())
        self._start_queued()

    def _report(self) -> dict[str, str]:
        busy = min(1.0, self._busy / self.settings.cores)
        in_flight = self._busy + len(self._queue)
        return {"endpoint-load-metrics": f"TEXT cpu_utilization={busy:.2f},named_metrics.inflight={in_flight}"}

    # ---- faults and discovery ------------------------------------------------------------------------------

    def freeze(self, for_s: float) -> None:
        """Stop accepting, starting and answering requests for a while."""
        self.frozen = True
        self.reactor.callLater(for_s, self._thaw)

    def _thaw(self) -> None:
        self.frozen = False
        waiting, self._deferred_calls = self._deferred_calls, []
        for call in waiting:
            call()
        self._start_queued()

    def kill(self) -> None:
        """Simulate the death of the process: refuse new connections and reset the open ones."""
        self.record.write("death", worker=self.id)
        self.collapsed = True
        self.port.stopListening()
        for connection in list(self.connections):
            connection.transport.abortConnection()

    def as_endpoint(self, state: EndpointStatus = EndpointStatus.READY) -> Endpoint:
        """Return the worker's entry of an endpoint list."""
        import zlib

        return Endpoint(self.id, self.zone, zlib.crc32(self.cell.name.encode()), state, 1.0, self.started_ms)


class _Connection(protocol.Protocol):
    def __init__(self, worker: Worker) -> None:
        self._worker, self._reader, self._keep_alive = worker, http1.MessageReader(requests=True), True

    def connectionMade(self) -> None:
        self._worker.connections.add(self)
        self.transport.setTcpNoDelay(True)

    def dataReceived(self, data: bytes) -> None:
        try:
            for message in self._reader.feed(data):
                self._keep_alive = message.keep_alive
                self._worker.receive(self, message)
        except http1.MessageError as fault:
            self._keep_alive = False
            self.respond(fault.status, {}, str(fault).encode())

    def respond(self, status: int, headers: dict[str, str], body: bytes) -> None:
        if self.connected:
            self.transport.write(http1.encode_response(status, RESPONSE_HEADERS | headers, body))
            if not self._keep_alive:
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


def embedded_workers(embedded: Embedded, zone: str) -> Callable[[Any], EndpointList]:
    """Return a function that starts warm workers inside an instance's own process, for trials and benchmarks."""

    def start(reactor: Any) -> EndpointList:
        settings = WorkerSettings(embedded.cores, 1024, embedded.service_ms)
        cell, record = DeduplicationCell("embedded"), Record(None)
        workers = [
            Worker(reactor, settings, zone, cell, random.Random(number), record, False)
            for number in range(embedded.count)
        ]
        return EndpointList(tuple(worker.as_endpoint() for worker in workers))

    return start
