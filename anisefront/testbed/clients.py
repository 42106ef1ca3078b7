"""Open-loop clients: they send on schedule, time out at their deadline and retry refused requests.

They send HTTP/1.1 through a proxy or JSON-RPC directly to an instance, and record the requests and responses.
"""

from __future__ import annotations

import json
import random
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

from twisted.internet import protocol
from twisted.internet.endpoints import TCP4ClientEndpoint

from anisefront.policy.events import AttemptResult
from anisefront.protocols import http1
from anisefront.testbed.records import Record, now_ms
from anisefront.upstream.connection_pool import ConnectionPool

RESPONSE_GRACE_MS = 1000.0  # a client waits this long past its deadline, so that late responses are recorded


@dataclass(frozen=True, slots=True)
class ClientRequest:
    """A logical request, which includes its retries."""

    name: str
    customer: str
    plan: str
    class_name: str
    method: str
    path: str
    units: int
    deadline_ms: float


class JsonRpcConnection(protocol.Protocol):
    """A client's JSON-RPC connection, which multiplexes calls by id."""

    def __init__(self) -> None:
        """Create a connection without open calls."""
        self.waiting: dict[str, Callable[[dict[str, Any] | None], None]] = {}
        self._buffer = b""

    def connectionMade(self) -> None:
        """Disable the delay of small segments."""
        self.transport.setTcpNoDelay(True)

    def call(self, number: str, params: dict[str, Any], done: Callable[[dict[str, Any] | None], None]) -> None:
        """Send a call. `done` receives the response, or None if the connection breaks first."""
        self.waiting[number] = done
        line = {"jsonrpc": "2.0", "id": number, "method": "call", "params": params}
        self.transport.write(json.dumps(line).encode() + b"\n")

    def dataReceived(self, data: bytes) -> None:
        """Pass each complete response to its call."""
        *lines, self._buffer = (self._buffer + data).split(b"\n")
        for line in lines:
            response = json.loads(line)
            done = self.waiting.pop(response["id"], None)
            if done is not None:
                done(response)

    def connectionLost(self, reason: Any = None) -> None:
        """End all open calls without a response."""
        self.connected = 0
        waiting, self.waiting = self.waiting, {}
        for done in waiting.values():
            done(None)


class _JsonRpcFactory(protocol.ClientFactory):
    noisy = False
    protocol = JsonRpcConnection

    def buildProtocol(self, address: object) -> JsonRpcConnection:
        return JsonRpcConnection()


class Clients:
    """All clients of a run. `proxy_addresses` and `jsonrpc_addresses` map instance numbers to addresses."""

    def __init__(self, reactor: Any, record: Record, rng: random.Random, retries: int, jsonrpc_fraction: float) -> None:
        """Create clients that send `jsonrpc_fraction` of their requests by JSON-RPC, the others through proxies."""
        self.reactor, self.record, self.rng, self.retries, self.jsonrpc_fraction = (
            reactor,
            record,
            rng,
            retries,
            jsonrpc_fraction,
        )
        self.proxy_addresses: dict[int, str] = {}
        self.jsonrpc_addresses: dict[int, str] = {}
        self._connections: dict[int, JsonRpcConnection] = {}
        self._pool = ConnectionPool(reactor)
        self._serial = 0
        self.open_count = 0

    def send(self, request: ClientRequest, number: int = 0) -> None:
        """Send a request: the first try, or a retry (`number` > 0) after a refusal."""
        self._serial += 1
        name = f"{request.name}-{number}"
        instance = self.rng.choice(sorted(self.proxy_addresses))
        timeout_ms = request.deadline_ms * self.rng.uniform(0.6, 1.0)
        by_jsonrpc = self.rng.random() < self.jsonrpc_fraction
        deadline_at_ms = now_ms() + timeout_ms
        self.record.write(
            "try",
            id=name,
            wish=request.name,
            number=number,
            customer=request.customer,
            plan=request.plan,
            cls=request.class_name,
            units=request.units,
            due=round(deadline_at_ms, 2),
            gatekeeper=instance,
            front="jsonrpc" if by_jsonrpc else "proxy",
        )
        headers = {
            "host": "stalls.example",
            "x-request-id": name,
            "x-api-key": request.customer,
            "x-units": str(request.units),
            "x-idempotency-key": request.name,
            "x-client-retry": str(number),
            "x-envoy-expected-rq-timeout-ms": str(int(timeout_ms)),
        }
        self.open_count += 1
        finished = [False]

        def finish(outcome: str, status: int = 0, reason: str = "", worker: str = "") -> None:
            self.record.write("answer", id=name, how=outcome, status=status, reason=reason, worker=worker)
            if not finished[0]:
                finished[0] = True
                self.open_count -= 1
                if outcome == "refused" and number < self.retries:
                    self.reactor.callLater(self.rng.uniform(0.2, 1.0), self.send, request, number + 1)

        if by_jsonrpc:
            self._send_by_jsonrpc(instance, name, request, headers, timeout_ms, finish)
        else:
            self._send_by_proxy(instance, request, headers, timeout_ms, finish)

    def _send_by_proxy(
        self, instance: int, request: ClientRequest, headers: dict[str, str], timeout_ms: float, finish: Any
    ) -> None:
        def done(result: AttemptResult | None, response: http1.Message | None) -> None:
            if response is None:
                finish("none" if result is AttemptResult.TIMEOUT else "lost", reason=result.value)
                return
            final = response.headers.get("x-anisefront-final", "")
            outcome = final or (
                "proxy" if "x-proxy-denied" in response.headers else "served" if response.status < 400 else "denied"
            )
            finish(outcome, response.status, response.headers.get("x-anisefront-reason", ""))

        body = b"{}" if request.method == "POST" else b""
        data = http1.encode_request(request.method, request.path, headers, body)
        self._pool.request(self.proxy_addresses[instance], data, (timeout_ms + RESPONSE_GRACE_MS) / 1000, done)

    def _send_by_jsonrpc(
        self, instance: int, name: str, request: ClientRequest, headers: dict[str, str], timeout_ms: float, finish: Any
    ) -> None:
        state = {"over": False}

        def done(response: dict[str, Any] | None) -> None:
            if state["over"]:
                return
            state["over"] = True
            if timer.active():
                timer.cancel()
            if response is None:
                finish("lost")
            elif "result" in response:
                finish("served", response["result"]["status"], worker=response["result"]["worker"])
            else:
                data = response["error"].get("data", {})
                finish(data.get("final", "denied"), response["error"]["code"], data.get("reason", ""))

        def expire() -> None:
            state["over"] = True
            finish("none")

        timer = self.reactor.callLater((timeout_ms + RESPONSE_GRACE_MS) / 1000, expire)
        params = {
            "method": request.method,
            "path": request.path,
            "headers": headers,
            "body": "{}" if request.method == "POST" else "",
        }
        connection = self._connections.get(instance)
        if connection is not None and connection.connected:
            connection.call(name, params, done)
            return
        host, _, port = self.jsonrpc_addresses[instance].rpartition(":")
        connecting = TCP4ClientEndpoint(self.reactor, host, int(port), timeout=1).connect(_JsonRpcFactory())

        def connected(new: JsonRpcConnection) -> None:
            self._connections[instance] = new
            new.call(name, params, done)

        connecting.addCallbacks(connected, lambda _: done(None))
