"""Stand-ins for RESP workers that hang, reset, drop idle connections and truncate answers, drawn from a seed.

Each worker has a separate listener for each gateway instance, so that the sender of a command is known.
"""

from __future__ import annotations

import asyncio
import random
from typing import Any

from anisefront.resp_gateway.resp_codec import CommandReader, encode_bulk
from anisefront.testbed.records import Record, now_ms
from anisefront.testbed.soak import platform

CORES = 2
SERVICE_MS = 12.0
MAX_BACKLOG_MS = 400.0  # of queued work; a command beyond it is answered as overloaded
FAULTS = ("hang", "reset", "break_off", "failed")
FAULT_FRACTION = 0.01  # of the commands, for each kind of fault
MIN_IDLE_FRACTION = 0.2  # of the idle timeout, from which on an idle connection may be dropped without notice


SeenKeys = dict[tuple[int, str], float]  # when a group of workers last executed a key


def expected_value(request_id: str) -> bytes:
    """Return the value that a worker answers to a request."""
    return b"value for " + request_id.encode()


class Worker:
    """One worker, with a listener for each gateway instance."""

    def __init__(self, name: str, group: int, cold: bool, rng: random.Random, record: Record, seen: SeenKeys) -> None:
        """Belong to a deduplication group, which shares `seen`; a cold worker warms up from now on."""
        self.name, self.group, self.rng, self.record = name, group, rng, record
        self.started_ms = int(now_ms()) if cold else 0
        self.fault = ""  # one of FAULTS while all commands fail in that way
        self.addresses: list[str] = []
        self._servers: list[asyncio.Server] = []
        self._core_free_at_ms = [0.0] * CORES
        self._seen = seen
        record.write(
            "worker",
            worker=name,
            cold=cold,
            cores=CORES,
            service_ms=SERVICE_MS,
            warm_up_ms=platform.WARM_UP_MS,
            cold_from=platform.COLD_FROM,
            fall_multiple=platform.FALL_MULTIPLE,
            fall_window_ms=platform.FALL_WINDOW_MS,
        )

    async def start(self) -> None:
        """Open a listener for each instance."""
        loop = asyncio.get_running_loop()
        for number in range(platform.INSTANCES):
            server = await loop.create_server(lambda number=number: _Connection(self, number), "127.0.0.1", 0)
            self._servers.append(server)
            self.addresses.append(f"127.0.0.1:{server.sockets[0].getsockname()[1]}")

    def close(self) -> None:
        """Close the listeners, so that new connections are refused."""
        for server in self._servers:
            server.close()

    def row(self, number: int, status: str) -> dict[str, Any]:
        """Return the row of this worker in the endpoint list of an instance."""
        return {
            "name": self.name,
            "address": self.addresses[number],
            "zone": platform.ZONE,
            "type": "m2",
            "group": self.group,
            "status": status,
            "weight": 1.0,
            "since_ms": self.started_ms,
        }

    def record_event(self, kind: str, number: int, request_id: str, **more: Any) -> None:
        """Write a record of an event of a command that an instance sent."""
        self.record.write(
            kind,
            worker=f"{self.name}@{number}",
            sender=number,
            id=request_id,
            cell=str(self.group),
            zone=platform.ZONE,
            **more,
        )

    def accept_command(self, connection: _Connection, number: int, parts: list[bytes]) -> None:
        """Queue a command that has been received completely, or answer that the worker is overloaded."""
        request_id = parts[2].decode()
        fields = dict(item.split("=", 1) for item in parts[3].decode().split(","))
        units = float(fields.get("units", "1"))
        connection.in_flight.add(request_id)
        self.record_event("arrive", number, request_id, units=units)
        now, core = now_ms(), min(range(CORES), key=self._core_free_at_ms.__getitem__)
        if self._core_free_at_ms[core] - now > MAX_BACKLOG_MS:
            connection.answer(request_id, b"-BUSY inflight=64,util=1\r\n")
            return
        self._execute(number, request_id, fields)
        self._core_free_at_ms[core] = max(now, self._core_free_at_ms[core]) + SERVICE_MS * units / self._speed(now)
        delay_s = (self._core_free_at_ms[core] - now) / 1000
        asyncio.get_running_loop().call_later(delay_s, self._complete, connection, request_id)

    def _speed(self, now: float) -> float:
        age = (now - self.started_ms) / platform.WARM_UP_MS
        return min(1.0, platform.COLD_FROM + (1 - platform.COLD_FROM) * age)

    def _execute(self, number: int, request_id: str, fields: dict[str, str]) -> None:
        """Record the execution, or a repeat if the group has executed the key within the deduplication window."""
        key = fields.get("k", "")
        is_repeat = bool(key) and now_ms() - self._seen.get((self.group, key), 0.0) < platform.DEDUPLICATION_MS
        if is_repeat:
            self.record_event("repeat", number, request_id)
            return
        if key:
            self._seen[self.group, key] = now_ms()
        self.record_event("run", number, request_id)

    def _complete(self, connection: _Connection, request_id: str) -> None:
        fault = self.fault or self._draw_fault()
        if fault == "hang":
            self.record_event("hang", connection.number, request_id)
        elif fault == "reset":
            connection.abort(fault)
        elif fault == "failed":
            connection.answer(request_id, b"-ERR failed\r\n")
        elif fault == "break_off":
            connection.break_off(b"*3\r\n" + encode_bulk(expected_value(request_id))[:12])
        else:
            busy = sum(free_at_ms > now_ms() for free_at_ms in self._core_free_at_ms)
            report = encode_bulk(f"util={busy / CORES:.2f},inflight={busy}".encode())
            connection.answer(request_id, b"*3\r\n" + encode_bulk(expected_value(request_id)) + b"$-1\r\n" + report)

    def _draw_fault(self) -> str:
        draw = self.rng.random()
        return FAULTS[int(draw / FAULT_FRACTION)] if draw < FAULT_FRACTION * len(FAULTS) else ""


class _Connection(asyncio.Protocol):
    def __init__(self, worker: Worker, number: int) -> None:
        self.number, self.in_flight = number, set[str]()
        self._worker, self._reader = worker, CommandReader()
        self._idle_timer: asyncio.TimerHandle | None = None
        self._is_dropped = False

    def connection_made(self, transport: Any) -> None:
        self._transport = transport

    def data_received(self, data: bytes) -> None:
        if self._idle_timer is not None:
            self._idle_timer.cancel()
            self._idle_timer = None
        for parts in self._reader.feed(data):
            if self._is_dropped:
                self._worker.record_event("forgotten", self.number, parts[2].decode())
                self.abort("forgotten")
                return
            self._worker.accept_command(self, self.number, parts)

    def answer(self, request_id: str, data: bytes) -> None:
        """Write an answer; a connection that is idle after it may be dropped, which the next command then finds."""
        if request_id not in self.in_flight or self._transport.is_closing():
            return
        self.in_flight.discard(request_id)
        self._worker.record_event("done", self.number, request_id)
        self._transport.write(data)
        if not self.in_flight:
            fraction = self._worker.rng.uniform(MIN_IDLE_FRACTION, 1.0)
            delay_s = fraction * platform.CONNECTION_IDLE_MS / 1000
            self._idle_timer = asyncio.get_running_loop().call_later(delay_s, self._drop)

    def _drop(self) -> None:
        self._is_dropped = True

    def break_off(self, partial_answer: bytes) -> None:
        """Write a partial answer and close the connection."""
        if not self._transport.is_closing():
            self._transport.write(partial_answer)
            self._transport.close()

    def abort(self, kind: str) -> None:
        """Reset the connection and record the end of its commands under this kind."""
        for request_id in self.in_flight:
            self._worker.record_event(kind, self.number, request_id)
        self._transport.abort()

    def connection_lost(self, exc: Exception | None) -> None:
        if self._idle_timer is not None:
            self._idle_timer.cancel()
        for request_id in self.in_flight:
            self._worker.record_event("gone", self.number, request_id)
        self.in_flight.clear()
