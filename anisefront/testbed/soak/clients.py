"""Load generator: clients on persistent, pipelined connections that retry refused requests and may disconnect."""

from __future__ import annotations

import asyncio
import itertools
import random
from collections import deque
from dataclasses import dataclass, field
from typing import Any

from anisefront.resp_gateway.resp_codec import encode_command
from anisefront.testbed.records import Record, now_ms
from anisefront.testbed.soak import platform
from anisefront.testbed.soak.workers import expected_value

CONNECTIONS = 24  # persistent ones, each replaced when it ends
PIPELINE_DEPTHS = (1, 1, 1, 2, 4, 8)  # commands written at once
MAX_PENDING = 16
MEAN_PAUSE_S = 0.15  # between two pipelined batches on a connection
MAX_SENDS = 3
RESPONSE_TIMEOUT_MS = 1000.0  # after the deadline of a connection's oldest request
CUSTOMERS = 40
CAPPED_CUSTOMERS = 4
CAPPED_SHARE = 0.25  # fraction of the requests
ABANDONED_CONNECTIONS = 4  # connections of one abandoned burst
ABANDONED_PIPELINE_DEPTH = 8


@dataclass(slots=True)
class ClientRequest:
    """One request of a client; it keeps its operation name, the idempotency key, each time it is sent."""

    operation: str
    class_name: str
    customer: int
    send_count: int = 0
    id: str = ""
    due_ms: float = 0.0

    @property
    def plan(self) -> str:
        """Name of the plan that the customer has."""
        return "capped" if self.customer < CAPPED_CUSTOMERS else "wide"


@dataclass(slots=True)
class LoadGenerator:
    """Client side of a soak: chooses instances and requests, and holds the requests to retry."""

    record: Record
    rng: random.Random
    ports: list[int]
    ready_instances: set[int] = field(default_factory=set)
    is_paused: bool = False
    is_stopped: bool = False
    retries: deque[ClientRequest] = field(default_factory=deque)
    connections: set[ClientConnection] = field(default_factory=set)
    serials: Any = field(default_factory=lambda: itertools.count(1))

    def next_request(self) -> ClientRequest:
        """Return the oldest pending retry, or a new request."""
        if self.retries:
            return self.retries.popleft()
        number = next(self.serials)
        first_customer = 0 if self.rng.random() < CAPPED_SHARE else CAPPED_CUSTOMERS
        customer = self.rng.randrange(first_customer, CUSTOMERS if first_customer else CAPPED_CUSTOMERS)
        return ClientRequest(f"w{number}", self.rng.choice(tuple(platform.DEADLINES_MS)), customer)

    def retry(self, request: ClientRequest, delay_s: float) -> None:
        """Queue a request to be sent once more after a delay, under a new id, unless it was sent too often."""
        if request.send_count < MAX_SENDS and not self.is_stopped:
            asyncio.get_running_loop().call_later(delay_s, self.retries.append, request)

    async def run_connection(self) -> None:
        """Send load on one connection, reconnecting whenever it ends, until the generator is stopped.

        A new connection sends at once, since an instance closes one without a command after a second.
        """
        while not self.is_stopped:
            connection = None if self.is_paused else await self.connect()
            if connection is None:
                await asyncio.sleep(0.05)
                continue
            is_new = True
            while connection.is_open and not self.is_stopped:
                if is_new or not self.is_paused:
                    connection.send(self.rng.choice(PIPELINE_DEPTHS))
                is_new = False
                await asyncio.sleep(self.rng.expovariate(1 / MEAN_PAUSE_S))
                connection.check_timeout()
        while any(connection.pending for connection in self.connections):
            for connection in list(self.connections):
                connection.check_timeout()
            await asyncio.sleep(0.1)

    async def connect(self) -> ClientConnection | None:
        """Connect to a random ready instance; return None if there is none or the connection fails."""
        if not self.ready_instances:
            return None
        number = self.rng.choice(sorted(self.ready_instances))
        loop = asyncio.get_running_loop()
        try:
            connecting = loop.create_connection(
                lambda: ClientConnection(self, number), platform.instance_host(), self.ports[number]
            )
            _, connection = await asyncio.wait_for(connecting, 1.0)
        except OSError:
            return None
        return connection

    async def send_abandoned_burst(self) -> None:
        """Pipeline requests on several new connections and close them while the requests are queued."""
        connections = [
            connection for _ in range(ABANDONED_CONNECTIONS) if (connection := await self.connect()) is not None
        ]
        for connection in connections:
            connection.send(ABANDONED_PIPELINE_DEPTH)
        await asyncio.sleep(self.rng.uniform(0.0, 0.03))
        for connection in connections:
            connection.abandon()

    async def answers_ping(self, number: int) -> bool:
        """Return whether an instance answers `PING` on a new connection."""
        try:
            reader, writer = await asyncio.open_connection(platform.instance_host(), self.ports[number])
        except OSError:
            return False
        try:
            writer.write(encode_command([b"PING"]))
            return await asyncio.wait_for(reader.readline(), 1.0) == b"+PONG\r\n"
        except OSError:
            return False
        finally:
            writer.close()


class ClientConnection(asyncio.Protocol):
    """One connection to an instance; answers arrive in the order of the commands."""

    def __init__(self, generator: LoadGenerator, number: int) -> None:
        """Belong to a generator; `number` is that of the instance."""
        self.is_open = False
        self.number = number
        self.pending: deque[ClientRequest] = deque()
        self._generator = generator
        self._buffer = bytearray()
        self._is_abandoned = False
        self._received_eof = False
        self._last_answer_ms = 0.0

    def connection_made(self, transport: Any) -> None:
        """Register with the load generator."""
        self._transport, self.is_open = transport, True
        self._generator.connections.add(self)

    def send(self, count: int) -> None:
        """Write up to `count` commands at once, within the limit on pending requests."""
        generator, data = self._generator, b""
        for _ in range(min(count, MAX_PENDING - len(self.pending))):
            request = generator.next_request()
            request.send_count += 1
            request.id = f"{next(generator.serials):016x}"
            data += self._command(request)
            self.pending.append(request)
        if not self._transport.is_closing():
            self._transport.write(data)

    def _command(self, request: ClientRequest) -> bytes:
        deadline_ms = platform.DEADLINES_MS[request.class_name]
        units = self._generator.rng.choice((1, 1, 2))
        request.due_ms = now_ms() + deadline_ms
        self._generator.record.write(
            "try",
            id=request.id,
            wish=request.operation,
            cls=request.class_name,
            customer=f"{request.customer:016x}",
            plan=request.plan,
            units=units,
            due=request.due_ms,
            gatekeeper=self.number,
            link=id(self),
        )
        values = (
            f"c={request.class_name},t={request.plan},d={deadline_ms:.0f},units={units},"
            f"spread={platform.INSTANCES},first=0"
        )
        if request.class_name == "order":
            values += f",k={request.operation}"
        command = b"Q.ASK" if request.class_name == "look" else b"Q.DO"
        parts = [command, f"{request.customer:016x}".encode(), request.id.encode(), values.encode()]
        return encode_command(parts if request.class_name == "look" else [*parts, b"body"])

    def data_received(self, data: bytes) -> None:
        """Parse complete answers and record each with its request."""
        self._buffer += data
        while (answer := self._next_answer()) is not None:
            if not self.pending:
                self._generator.record.write("stray", gatekeeper=self.number, data=repr(answer[:80]))
                continue
            self._record_answer(self.pending.popleft(), answer)

    def _next_answer(self) -> bytes | None:
        end = self._buffer.find(b"\r\n")
        if end < 0:
            return None
        end += 2
        if self._buffer[:1] == b"$" and self._buffer[1:2] != b"-":
            end += int(self._buffer[1 : end - 2]) + 2
        if len(self._buffer) < end:
            return None
        answer = bytes(self._buffer[:end])
        del self._buffer[:end]
        return answer

    def _record_answer(self, request: ClientRequest, answer: bytes) -> None:
        value = expected_value(request.id)
        if answer == b"$%d\r\n%b\r\n" % (len(value), value):
            outcome = "served"
        elif answer.startswith(b"-BUSY"):
            outcome = "refused"
        elif answer.startswith(b"-"):
            outcome = "failed"
        else:
            outcome = "wrong"
        behind, self._last_answer_ms = self._last_answer_ms, now_ms()
        self._record_outcome(
            request, outcome, behind=behind, said=answer[:60].decode("latin-1") if outcome != "served" else ""
        )
        if outcome == "refused":
            fields = answer.split()
            delay_ms = float(fields[1]) if len(fields) > 1 else 100.0
            self._generator.retry(request, delay_ms / 1000)

    def _record_outcome(self, request: ClientRequest, outcome: str, **more: Any) -> None:
        self._generator.record.write("answer", id=request.id, how=outcome, gatekeeper=self.number, **more)

    def check_timeout(self) -> None:
        """Record all pending requests as unanswered and disconnect if the oldest has timed out."""
        now = now_ms()
        if self.pending and now > max(self.pending[0].due_ms, self._last_answer_ms) + RESPONSE_TIMEOUT_MS:
            while self.pending:
                self._record_outcome(self.pending.popleft(), "none")
            self.abandon()

    def abandon(self) -> None:
        """Close the connection with its requests unanswered, as a client that disconnects."""
        self._is_abandoned = True
        while self.pending:
            self._record_outcome(self.pending.popleft(), "gone")
        self._transport.close()

    def eof_received(self) -> None:
        """Stop sending: the instance has closed its side."""
        self._received_eof, self.is_open = True, False

    def connection_lost(self, exc: Exception | None) -> None:
        """Record how the pending requests ended; retry those that were in transit during a clean close."""
        self.is_open = False
        self._generator.connections.discard(self)
        if self._is_abandoned:
            return
        outcome = "closed" if self._received_eof and exc is None else "reset"
        if self._buffer:
            outcome = "broken"
        if outcome == "reset":
            self._generator.record.write("reset", gatekeeper=self.number, due=len(self.pending))
        while self.pending:
            request = self.pending.popleft()
            self._record_outcome(request, outcome)
            if outcome == "closed":
                request.send_count -= 1  # the gateway did not read it, so this time does not count
                self._generator.retry(request, 0.0)
