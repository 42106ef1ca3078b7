"""Sender process: sends requests at their scheduled times and measures latencies from these times.

A request that can't be sent in time is sent late, and the delay is part of its latency, as a client would experience
it. Closed-loop tools omit such delays ("coordinated omission", G. Tene). No request waits for the response to another.
"""

from __future__ import annotations

import asyncio
import itertools
import json
from collections import Counter
from dataclasses import dataclass, field
from typing import Any

from hdrh.histogram import HdrHistogram

from anisefront.testbed.load.plan import ScheduledRequest

MAX_LATENCY_US = 600_000_000
SIGNIFICANT_DIGITS = 3
TIMEOUT_GRACE_S = 1.0  # past a request's deadline; then it counts as unanswered
MAX_OPEN = 20_000  # open requests per sender; beyond it requests are counted as not sent
JSONRPC_CONNECTIONS = 4  # per sender
_CHECK_METHOD = "/envoy.service.auth.v3.Authorization/Check"
_LOG_METHOD = "/envoy.service.accesslog.v3.AccessLogService/StreamAccessLogs"


def new_histogram() -> HdrHistogram:
    """Return an empty histogram of microseconds."""
    return HdrHistogram(1, MAX_LATENCY_US, SIGNIFICANT_DIGITS)


@dataclass(slots=True)
class Tally:
    """The results of one sender."""

    latency: dict[str, HdrHistogram] = field(default_factory=dict)  # by "frontend class outcome"
    lateness: HdrHistogram = field(default_factory=new_histogram)  # delay of sending against the schedule
    counts: Counter[str] = field(default_factory=Counter)

    def as_dict(self) -> dict[str, Any]:
        """Return the results as plain values, for the parent process."""
        return {
            "latency": {name: latencies.encode().decode() for name, latencies in self.latency.items()},
            "lateness": self.lateness.encode().decode(),
            "counts": dict(self.counts),
        }

    def record(self, request: ScheduledRequest, outcome: str, seconds: float) -> None:
        """Record the outcome of a request, `seconds` after its scheduled time."""
        name = f"{request.frontend} {request.class_name} {outcome}"
        if name not in self.latency:
            self.latency[name] = new_histogram()
        self.latency[name].record_value(min(MAX_LATENCY_US, max(1, int(seconds * 1e6))))
        self.counts[outcome] += 1


class _JsonRpcConnections:
    """JSON-RPC connections, reopened when they break."""

    def __init__(self, address: str) -> None:
        self._host, _, self._port = address.rpartition(":")
        self._writers: list[asyncio.StreamWriter | None] = [None] * JSONRPC_CONNECTIONS
        self._locks = [asyncio.Lock() for _ in range(JSONRPC_CONNECTIONS)]
        self._waiting: list[dict[int, asyncio.Future]] = [{} for _ in range(JSONRPC_CONNECTIONS)]
        self._next_id = itertools.count(1)

    async def call(self, request: ScheduledRequest) -> str:
        number = next(self._next_id)
        index = number % JSONRPC_CONNECTIONS
        params = {
            "method": request.method,
            "path": request.path,
            "headers": dict(request.headers),
            "body": "{}" if request.method == "POST" else "",
        }
        line = json.dumps({"jsonrpc": "2.0", "id": number, "method": "call", "params": params}).encode() + b"\n"
        async with self._locks[index]:
            if self._writers[index] is None:
                reader, self._writers[index] = await asyncio.open_connection(self._host, int(self._port), limit=1 << 22)
                asyncio.get_running_loop().create_task(self._read(index, reader))
        response_future = self._waiting[index][number] = asyncio.get_running_loop().create_future()
        self._writers[index].write(line)
        try:
            response = await response_future
        finally:
            self._waiting[index].pop(number, None)
        if "result" in response:
            return "served"
        return response["error"].get("data", {}).get("final", "denied")

    async def _read(self, index: int, reader: asyncio.StreamReader) -> None:
        try:
            while line := await reader.readline():
                response = json.loads(line)
                response_future = self._waiting[index].get(response["id"])
                if response_future is not None and not response_future.done():
                    response_future.set_result(response)
        except (OSError, ValueError):
            pass
        self._writers[index] = None
        for response_future in self._waiting[index].values():
            if not response_future.done():
                response_future.set_exception(ConnectionResetError("the JSON-RPC connection was closed"))


class _GrpcProxy:
    """Sends checks as a front proxy does, simulates an attempt that takes `work_s`, and logs its result."""

    def __init__(self, address: str, work_s: float) -> None:
        import grpc.aio
        from envoy.config.core.v3 import base_pb2  # noqa: F401 - registers what the messages below refer to
        from envoy.service.accesslog.v3 import als_pb2
        from envoy.service.auth.v3 import external_auth_pb2

        self._als, self._auth, self._work_s, self._aio = als_pb2, external_auth_pb2, work_s, grpc.aio
        self._channel = grpc.aio.insecure_channel(address)
        self._check = self._channel.unary_unary(
            _CHECK_METHOD, external_auth_pb2.CheckRequest.SerializeToString, external_auth_pb2.CheckResponse.FromString
        )
        self._logs: asyncio.Queue[Any] = asyncio.Queue()
        stream = self._channel.stream_unary(
            _LOG_METHOD, als_pb2.StreamAccessLogsMessage.SerializeToString, als_pb2.StreamAccessLogsResponse.FromString
        )
        self._stream = stream(self._entries())

    async def _entries(self) -> Any:
        while (message := await self._logs.get()) is not None:
            yield message

    async def call(self, request: ScheduledRequest) -> str:
        check_request = self._auth.CheckRequest()
        http = check_request.attributes.request.http
        http.method, http.path, http.host = request.method, request.path, "load.example"
        for name, value in request.headers:
            http.headers[name] = value
        response = await self._check(check_request, timeout=request.timeout_ms / 1000 + TIMEOUT_GRACE_S)
        if not response.HasField("ok_response"):
            headers = {option.header.key: option.header.value for option in response.denied_response.headers}
            return headers.get("x-anisefront-final", "denied")
        token = next(
            option.header.value
            for option in response.ok_response.headers
            if option.header.key == "x-anisefront-attempt"
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
            pass  # the instance has gone away; the measurements remain valid
        await self._channel.close()


class Sender:
    """Sends requests to the frontends, whose addresses are given by name."""

    def __init__(self, addresses: dict[str, str], work_s: float, max_open: int = MAX_OPEN) -> None:
        """Create a sender whose simulated attempts take `work_s` seconds."""
        self._addresses, self._work_s, self._max_open = addresses, work_s, max_open
        self.tally = Tally()

    async def open_loop(self, schedule: list[ScheduledRequest], start: float) -> Tally:
        """Send each request at its time after `start` (of the loop's clock), and return when all have ended."""
        connections, tasks = self._connect(schedule), set()
        loop = asyncio.get_running_loop()
        for request in schedule:
            due = start + request.at_s
            delay = due - loop.time()
            if delay > 0:
                await asyncio.sleep(delay)
            self.tally.lateness.record_value(max(1, int((loop.time() - due) * 1e6)))
            if len(tasks) >= self._max_open:
                self.tally.counts["not sent"] += 1
                continue
            task = loop.create_task(self._send(connections[request.frontend], request, due))
            tasks.add(task)
            task.add_done_callback(tasks.discard)
        while tasks:
            await asyncio.wait(tasks)
        await self._close(connections)
        return self.tally

    async def closed_loop(self, schedule: list[ScheduledRequest], start: float, clients: int) -> Tally:
        """Send with a number of clients that each wait for the previous response, for comparison: this hides stalls."""
        connections, loop, remaining = self._connect(schedule), asyncio.get_running_loop(), iter(schedule)
        await asyncio.sleep(max(0.0, start - loop.time()))

        async def client() -> None:
            for request in remaining:
                await self._send(connections[request.frontend], request, loop.time())

        await asyncio.gather(*(client() for _ in range(clients)))
        await self._close(connections)
        return self.tally

    def _connect(self, schedule: list[ScheduledRequest]) -> dict[str, Any]:
        frontends = {request.frontend for request in schedule}
        return {
            frontend: _JsonRpcConnections(self._addresses[frontend])
            if frontend == "jsonrpc"
            else _GrpcProxy(self._addresses[frontend], self._work_s)
            for frontend in frontends
        }

    @staticmethod
    async def _close(connections: dict[str, Any]) -> None:
        if "grpc" in connections:
            await connections["grpc"].close()

    async def _send(self, connection: Any, request: ScheduledRequest, due: float) -> None:
        loop = asyncio.get_running_loop()
        try:
            outcome = await asyncio.wait_for(
                connection.call(request), max(0.0, due + request.timeout_ms / 1000 + TIMEOUT_GRACE_S - loop.time())
            )
        except TimeoutError:
            outcome = "none"
        except Exception as error:  # a broken connection or a gRPC status is an outcome, too
            code = getattr(error, "code", None)
            outcome = "none" if code and code().name == "DEADLINE_EXCEEDED" else "lost"
        self.tally.record(request, outcome, loop.time() - due)


def run_sender(
    schedule: list[ScheduledRequest], addresses: dict[str, str], work_s: float, start_unix: float, closed_clients: int
) -> dict[str, Any]:
    """Run a sender process to its end and return its results as plain values."""
    import time

    async def run() -> Tally:
        sender, loop = Sender(addresses, work_s), asyncio.get_running_loop()
        start = loop.time() + start_unix - time.time()
        return await (
            sender.closed_loop(schedule, start, closed_clients) if closed_clients else sender.open_loop(schedule, start)
        )

    return asyncio.run(run()).as_dict()
