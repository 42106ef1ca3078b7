"""One sender process: shots at their scheduled times, whatever became of those before; latencies from the schedule.

A request that could not be sent in time is sent late and its lateness is in its latency, as its client would feel it
(what closed-loop tools leave out: "coordinated omission", G. Tene). Nothing waits for an answer but its own task.
"""

from __future__ import annotations

import asyncio
import itertools
import json
from collections import Counter
from dataclasses import dataclass, field
from typing import Any

from hdrh.histogram import HdrHistogram

from anisefront.testbed.load.plan import Shot

HIGHEST_US, DIGITS = 600_000_000, 3
PATIENCE_S = 1.0  # after a request's time; then its answer counts as none
MOST_OPEN = 20_000  # requests that one sender waits for; what comes then is not sent, and counted as that
LINKS = 4  # JSON-RPC connections of one sender
_CHECK = "/envoy.service.auth.v3.Authorization/Check"
_LOG = "/envoy.service.accesslog.v3.AccessLogService/StreamAccessLogs"


def histogram() -> HdrHistogram:
    """Of microseconds, to three digits."""
    return HdrHistogram(1, HIGHEST_US, DIGITS)


@dataclass(slots=True)
class Tally:
    """What one sender saw."""

    latency: dict[str, HdrHistogram] = field(default_factory=dict)  # by "front class how"
    lateness: HdrHistogram = field(default_factory=histogram)  # of sending, against the schedule
    counts: Counter[str] = field(default_factory=Counter)

    def plain(self) -> dict[str, Any]:
        """For the way to the parent."""
        return {
            "latency": {name: each.encode().decode() for name, each in self.latency.items()},
            "lateness": self.lateness.encode().decode(),
            "counts": dict(self.counts),
        }

    def note(self, shot: Shot, how: str, seconds: float) -> None:
        """One end, so many seconds after its schedule."""
        name = f"{shot.front} {shot.class_name} {how}"
        if name not in self.latency:
            self.latency[name] = histogram()
        self.latency[name].record_value(min(HIGHEST_US, max(1, int(seconds * 1e6))))
        self.counts[how] += 1


class _Links:
    """JSON-RPC connections, opened again when they break."""

    def __init__(self, address: str) -> None:
        self._host, _, self._port = address.rpartition(":")
        self._writers: list[asyncio.StreamWriter | None] = [None] * LINKS
        self._locks = [asyncio.Lock() for _ in range(LINKS)]
        self._waiting: list[dict[int, asyncio.Future]] = [{} for _ in range(LINKS)]
        self._serial = itertools.count(1)

    async def call(self, shot: Shot) -> str:
        number = next(self._serial)
        place = number % LINKS
        params = {
            "method": shot.method,
            "path": shot.path,
            "headers": dict(shot.headers),
            "body": "{}" if shot.method == "POST" else "",
        }
        line = json.dumps({"jsonrpc": "2.0", "id": number, "method": "call", "params": params}).encode() + b"\n"
        async with self._locks[place]:
            if self._writers[place] is None:
                reader, self._writers[place] = await asyncio.open_connection(self._host, int(self._port), limit=1 << 22)
                asyncio.get_running_loop().create_task(self._read(place, reader))
        done = self._waiting[place][number] = asyncio.get_running_loop().create_future()
        self._writers[place].write(line)
        try:
            answer = await done
        finally:
            self._waiting[place].pop(number, None)
        if "result" in answer:
            return "served"
        return answer["error"].get("data", {}).get("final", "denied")

    async def _read(self, place: int, reader: asyncio.StreamReader) -> None:
        try:
            while line := await reader.readline():
                answer = json.loads(line)
                done = self._waiting[place].get(answer["id"])
                if done is not None and not done.done():
                    done.set_result(answer)
        except (OSError, ValueError):
            pass
        self._writers[place] = None
        for done in self._waiting[place].values():
            if not done.done():
                done.set_exception(ConnectionResetError("the link broke"))


class _Proxy:
    """Asks as a front proxy does, takes `work_s` for the attempt and logs its end."""

    def __init__(self, address: str, work_s: float) -> None:
        import grpc.aio
        from envoy.config.core.v3 import base_pb2  # noqa: F401 - registers what the messages below refer to
        from envoy.service.accesslog.v3 import als_pb2
        from envoy.service.auth.v3 import external_auth_pb2

        self._als, self._auth, self._work_s, self._aio = als_pb2, external_auth_pb2, work_s, grpc.aio
        self._channel = grpc.aio.insecure_channel(address)
        self._check = self._channel.unary_unary(
            _CHECK, external_auth_pb2.CheckRequest.SerializeToString, external_auth_pb2.CheckResponse.FromString
        )
        self._logs: asyncio.Queue[Any] = asyncio.Queue()
        stream = self._channel.stream_unary(
            _LOG, als_pb2.StreamAccessLogsMessage.SerializeToString, als_pb2.StreamAccessLogsResponse.FromString
        )
        self._stream = stream(self._entries())

    async def _entries(self) -> Any:
        while (message := await self._logs.get()) is not None:
            yield message

    async def call(self, shot: Shot) -> str:
        request = self._auth.CheckRequest()
        http = request.attributes.request.http
        http.method, http.path, http.host = shot.method, shot.path, "load.example"
        for name, value in shot.headers:
            http.headers[name] = value
        answer = await self._check(request, timeout=shot.left_ms / 1000 + PATIENCE_S)
        if not answer.HasField("ok_response"):
            told = {option.header.key: option.header.value for option in answer.denied_response.headers}
            return told.get("x-anisefront-final", "denied")
        token = next(
            option.header.value for option in answer.ok_response.headers if option.header.key == "x-anisefront-attempt"
        )
        asyncio.get_running_loop().call_later(self._work_s, self._log, token)
        return "allowed"

    def _log(self, token: str) -> None:
        message = self._als.StreamAccessLogsMessage()
        entry = message.http_logs.log_entry.add()
        entry.request.request_headers["x-anisefront-attempt"] = token
        entry.response.response_code.value = 200
        common = entry.common_properties
        common.time_to_first_upstream_tx_byte.FromMicroseconds(0)
        common.time_to_last_upstream_rx_byte.FromMicroseconds(int(self._work_s * 1e6))
        self._logs.put_nowait(message)

    async def close(self) -> None:
        await asyncio.sleep(self._work_s + 0.05)
        self._logs.put_nowait(None)
        try:
            await asyncio.wait_for(self._stream, 2.0)
        except (TimeoutError, asyncio.CancelledError, self._aio.AioRpcError):
            pass  # the other side is gone: what was measured stands
        await self._channel.close()


class Sender:
    """Sends shots to the addresses of the fronts, by name of the front."""

    def __init__(self, addresses: dict[str, str], work_s: float, most_open: int = MOST_OPEN) -> None:
        self._addresses, self._work_s, self._most_open = addresses, work_s, most_open
        self.tally = Tally()

    async def open_loop(self, shots: list[Shot], start: float) -> Tally:
        """All shots, each at `start` (of the loop's clock) and its own time; ends when the last is over."""
        ways, tasks = self._ways(shots), set()
        loop = asyncio.get_running_loop()
        for shot in shots:
            due = start + shot.at_s
            delay = due - loop.time()
            if delay > 0:
                await asyncio.sleep(delay)
            self.tally.lateness.record_value(max(1, int((loop.time() - due) * 1e6)))
            if len(tasks) >= self._most_open:
                self.tally.counts["not sent"] += 1
                continue
            task = loop.create_task(self._one(ways[shot.front], shot, due))
            tasks.add(task)
            task.add_done_callback(tasks.discard)
        while tasks:
            await asyncio.wait(tasks)
        await self._close(ways)
        return self.tally

    async def closed_loop(self, shots: list[Shot], start: float, clients: int) -> Tally:
        """The way that hides stalls, for comparison: so many clients, each sends when its last answer has come."""
        ways, loop, rest = self._ways(shots), asyncio.get_running_loop(), iter(shots)
        await asyncio.sleep(max(0.0, start - loop.time()))

        async def client() -> None:
            for shot in rest:
                await self._one(ways[shot.front], shot, loop.time())

        await asyncio.gather(*(client() for _ in range(clients)))
        await self._close(ways)
        return self.tally

    def _ways(self, shots: list[Shot]) -> dict[str, Any]:
        fronts = {shot.front for shot in shots}
        return {
            front: _Links(self._addresses[front])
            if front == "jsonrpc"
            else _Proxy(self._addresses[front], self._work_s)
            for front in fronts
        }

    @staticmethod
    async def _close(ways: dict[str, Any]) -> None:
        if "grpc" in ways:
            await ways["grpc"].close()

    async def _one(self, way: Any, shot: Shot, due: float) -> None:
        loop = asyncio.get_running_loop()
        try:
            how = await asyncio.wait_for(way.call(shot), max(0.0, due + shot.left_ms / 1000 + PATIENCE_S - loop.time()))
        except TimeoutError:
            how = "none"
        except Exception as problem:  # a broken connection or a status: an end like any other, counted by its kind
            code = getattr(problem, "code", None)
            how = "none" if code and code().name == "DEADLINE_EXCEEDED" else "lost"
        self.tally.note(shot, how, loop.time() - due)


def work(shots: list[Shot], addresses: dict[str, str], work_s: float, start_unix: float, closed: int) -> dict[str, Any]:
    """A sender process's whole life: its tally in plain values."""
    import time

    async def go() -> Tally:
        sender, loop = Sender(addresses, work_s), asyncio.get_running_loop()
        start = loop.time() + start_unix - time.time()
        return await (sender.closed_loop(shots, start, closed) if closed else sender.open_loop(shots, start))

    return asyncio.run(go()).plain()
