"""Stand-ins for RESP workers that hang, reset, forget idle connections and break off answers, by a seed.

Each worker listens once for each gateway instance, so that an arrival tells who sent it.
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
MAX_BACKLOG_MS = 400.0  # of work, beyond which a command is turned away
FAULTS = ("hang", "reset", "break_off", "failed")
FAULT_SHARE = 0.01  # of commands, for each kind
MIN_IDLE_SHARE = 0.2  # of the idle time after which the machine may close a connection


SeenKeys = dict[tuple[int, str], float]  # when a group of workers saw a key


def value_of(request_id: str) -> bytes:
    """What a worker answers for a request."""
    return b"value for " + request_id.encode()


class Worker:
    """One worker, with a listener for each gateway instance."""

    def __init__(self, name: str, group: int, cold: bool, rng: random.Random, record: Record, seen: SeenKeys) -> None:
        self.name, self.group, self.rng, self.record = name, group, rng, record
        self.started_ms = int(now_ms()) if cold else 0
        self.manner = ""  # one of FAULTS while it does that to all commands
        self.addresses: list[str] = []
        self._servers: list[asyncio.Server] = []
        self._free_ms = [0.0] * CORES
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
        """Listen for all instances."""
        loop = asyncio.get_running_loop()
        for number in range(platform.INSTANCES):
            server = await loop.create_server(lambda number=number: _Connection(self, number), "127.0.0.1", 0)
            self._servers.append(server)
            self.addresses.append(f"127.0.0.1:{server.sockets[0].getsockname()[1]}")

    def close(self) -> None:
        """Refuse new connections."""
        for server in self._servers:
            server.close()

    def row(self, number: int, status: str) -> dict[str, Any]:
        """This worker in the endpoint list of an instance."""
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

    def note(self, kind: str, number: int, request_id: str, **more: Any) -> None:
        """Record what befell a command that an instance sent."""
        self.record.write(
            kind,
            worker=f"{self.name}@{number}",
            sender=number,
            id=request_id,
            cell=str(self.group),
            zone=platform.ZONE,
            **more,
        )

    def take(self, connection: _Connection, number: int, parts: list[bytes]) -> None:
        """Begin a command whose last byte has come."""
        request_id = parts[2].decode()
        values = dict(item.split("=", 1) for item in parts[3].decode().split(","))
        units = float(values.get("units", "1"))
        connection.out.add(request_id)
        self.note("arrive", number, request_id, units=units)
        now, first = now_ms(), min(range(CORES), key=self._free_ms.__getitem__)
        if self._free_ms[first] - now > MAX_BACKLOG_MS:
            connection.answer(request_id, b"-BUSY inflight=64,util=1\r\n")
            return
        self._run(number, request_id, values)
        self._free_ms[first] = max(now, self._free_ms[first]) + SERVICE_MS * units / self._warmth(now)
        delay_s = (self._free_ms[first] - now) / 1000
        asyncio.get_running_loop().call_later(delay_s, self._done, connection, request_id)

    def _warmth(self, now: float) -> float:
        age = (now - self.started_ms) / platform.WARM_UP_MS
        return min(1.0, platform.COLD_FROM + (1 - platform.COLD_FROM) * age)

    def _run(self, number: int, request_id: str, values: dict[str, str]) -> None:
        """Record the effect; a key that its group has seen has none."""
        key = values.get("k", "")
        is_repeat = bool(key) and now_ms() - self._seen.get((self.group, key), 0.0) < platform.DEDUPLICATION_MS
        if is_repeat:
            self.note("repeat", number, request_id)
            return
        if key:
            self._seen[self.group, key] = now_ms()
        self.note("run", number, request_id)

    def _done(self, connection: _Connection, request_id: str) -> None:
        fault = self.manner or self._fault_of_one()
        if fault == "hang":
            self.note("hang", connection.number, request_id)
        elif fault == "reset":
            connection.abort(fault)
        elif fault == "failed":
            connection.answer(request_id, b"-ERR failed\r\n")
        elif fault == "break_off":
            connection.break_off(b"*3\r\n" + encode_bulk(value_of(request_id))[:12])
        else:
            busy = sum(free > now_ms() for free in self._free_ms)
            report = encode_bulk(f"util={busy / CORES:.2f},inflight={busy}".encode())
            connection.answer(request_id, b"*3\r\n" + encode_bulk(value_of(request_id)) + b"$-1\r\n" + report)

    def _fault_of_one(self) -> str:
        draw = self.rng.random()
        return FAULTS[int(draw / FAULT_SHARE)] if draw < FAULT_SHARE * len(FAULTS) else ""


class _Connection(asyncio.Protocol):
    def __init__(self, worker: Worker, number: int) -> None:
        self.number, self.out = number, set[str]()
        self._worker, self._reader = worker, CommandReader()
        self._idle: asyncio.TimerHandle | None = None
        self._forgotten = False

    def connection_made(self, transport: Any) -> None:
        self._transport = transport

    def data_received(self, data: bytes) -> None:
        if self._idle is not None:
            self._idle.cancel()
            self._idle = None
        for parts in self._reader.feed(data):
            if self._forgotten:
                self._worker.note("forgotten", self.number, parts[2].decode())
                self.abort("forgotten")
                return
            self._worker.take(self, self.number, parts)

    def answer(self, request_id: str, data: bytes) -> None:
        """Write an answer; from then on the connection may be forgotten."""
        if request_id not in self.out or self._transport.is_closing():
            return
        self.out.discard(request_id)
        self._worker.note("done", self.number, request_id)
        self._transport.write(data)
        if not self.out:
            share = self._worker.rng.uniform(MIN_IDLE_SHARE, 1.0)
            delay_s = share * platform.CONNECTION_IDLE_MS / 1000
            self._idle = asyncio.get_running_loop().call_later(delay_s, self._forget)

    def _forget(self) -> None:
        self._forgotten = True

    def break_off(self, part: bytes) -> None:
        """Write a part of an answer and end."""
        if not self._transport.is_closing():
            self._transport.write(part)
            self._transport.close()

    def abort(self, why: str) -> None:
        """Reset the connection."""
        for request_id in self.out:
            self._worker.note(why, self.number, request_id)
        self._transport.abort()

    def connection_lost(self, exc: Exception | None) -> None:
        if self._idle is not None:
            self._idle.cancel()
        for request_id in self.out:
            self._worker.note("gone", self.number, request_id)
        self.out.clear()
