"""Open-loop clients: they come when they come, give up when their time is up, and repeat what was refused.

By HTTP/1.1 through a proxy or by JSON-RPC at a gatekeeper; what they sent and got goes to their record.
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

PATIENCE_MS = 1000.0  # how long after its time a client still listens, so that a late answer is seen as late


@dataclass(frozen=True, slots=True)
class Wish:
    """What a client wants done: one, however many tries it takes."""

    name: str
    customer: str
    plan: str
    class_name: str
    method: str
    path: str
    units: int
    deadline_ms: float


class RpcLink(protocol.Protocol):
    """A client's JSON-RPC connection: several tries at a time, answers by id."""

    def __init__(self) -> None:
        self.waiting: dict[str, Callable[[dict[str, Any] | None], None]] = {}
        self._rest = b""

    def connectionMade(self) -> None:
        self.transport.setTcpNoDelay(True)

    def call(self, number: str, params: dict[str, Any], done: Callable[[dict[str, Any] | None], None]) -> None:
        """Send one call; `done` hears the answer, None when the connection breaks first."""
        self.waiting[number] = done
        line = {"jsonrpc": "2.0", "id": number, "method": "call", "params": params}
        self.transport.write(json.dumps(line).encode() + b"\n")

    def dataReceived(self, data: bytes) -> None:
        *lines, self._rest = (self._rest + data).split(b"\n")
        for line in lines:
            answer = json.loads(line)
            done = self.waiting.pop(answer["id"], None)
            if done is not None:
                done(answer)

    def connectionLost(self, reason: Any = None) -> None:
        self.connected = 0
        waiting, self.waiting = self.waiting, {}
        for done in waiting.values():
            done(None)


class _RpcFactory(protocol.ClientFactory):
    noisy = False
    protocol = RpcLink

    def buildProtocol(self, address: object) -> RpcLink:
        return RpcLink()


class Clients:
    """All clients of a day. `proxies` and `gatekeepers` are addresses by gatekeeper number."""

    def __init__(self, reactor: Any, record: Record, rng: random.Random, retries: int, own_share: float) -> None:
        self.reactor, self.record, self.rng, self.retries, self.own_share = reactor, record, rng, retries, own_share
        self.proxies: dict[int, str] = {}
        self.gatekeepers: dict[int, str] = {}
        self._links: dict[int, RpcLink] = {}
        self._pool = ConnectionPool(reactor)
        self._serial = 0
        self.open = 0

    def wish(self, wish: Wish, number: int = 0) -> None:
        """The first try, or a repeat after a refusal."""
        self._serial += 1
        name = f"{wish.name}-{number}"
        gatekeeper = self.rng.choice(sorted(self.proxies))
        deadline = wish.deadline_ms * self.rng.uniform(0.6, 1.0)
        own = self.rng.random() < self.own_share
        due = now_ms() + deadline
        self.record.write(
            "try",
            id=name,
            wish=wish.name,
            number=number,
            customer=wish.customer,
            plan=wish.plan,
            cls=wish.class_name,
            units=wish.units,
            due=round(due, 2),
            gatekeeper=gatekeeper,
            front="jsonrpc" if own else "proxy",
        )
        headers = {
            "host": "stalls.example",
            "x-request-id": name,
            "x-api-key": wish.customer,
            "x-units": str(wish.units),
            "x-idempotency-key": wish.name,
            "x-client-retry": str(number),
            "x-envoy-expected-rq-timeout-ms": str(int(deadline)),
        }
        self.open += 1
        answered = [False]

        def ended(how: str, status: int = 0, reason: str = "", worker: str = "") -> None:
            self.record.write("answer", id=name, how=how, status=status, reason=reason, worker=worker)
            if not answered[0]:
                answered[0] = True
                self.open -= 1
                if how == "refused" and number < self.retries:
                    self.reactor.callLater(self.rng.uniform(0.2, 1.0), self.wish, wish, number + 1)

        if own:
            self._by_rpc(gatekeeper, name, wish, headers, deadline, ended)
        else:
            self._by_proxy(gatekeeper, wish, headers, deadline, ended)

    def _by_proxy(self, gatekeeper: int, wish: Wish, headers: dict[str, str], deadline: float, ended: Any) -> None:
        def done(result: AttemptResult | None, answer: http1.Message | None) -> None:
            if answer is None:
                ended("none" if result is AttemptResult.TIMEOUT else "lost", reason=result.value)
                return
            final = answer.headers.get("x-anisefront-final", "")
            how = final or (
                "proxy" if "x-proxy-denied" in answer.headers else "served" if answer.status < 400 else "denied"
            )
            ended(how, answer.status, answer.headers.get("x-anisefront-reason", ""))

        body = b"{}" if wish.method == "POST" else b""
        data = http1.encode_request(wish.method, wish.path, headers, body)
        self._pool.request(self.proxies[gatekeeper], data, (deadline + PATIENCE_MS) / 1000, done)

    def _by_rpc(
        self, gatekeeper: int, name: str, wish: Wish, headers: dict[str, str], deadline: float, ended: Any
    ) -> None:
        state = {"over": False}

        def done(answer: dict[str, Any] | None) -> None:
            if state["over"]:
                return
            state["over"] = True
            if timer.active():
                timer.cancel()
            if answer is None:
                ended("lost")
            elif "result" in answer:
                ended("served", answer["result"]["status"], worker=answer["result"]["worker"])
            else:
                data = answer["error"].get("data", {})
                ended(data.get("final", "denied"), answer["error"]["code"], data.get("reason", ""))

        def late() -> None:
            state["over"] = True
            ended("none")

        timer = self.reactor.callLater((deadline + PATIENCE_MS) / 1000, late)
        params = {
            "method": wish.method,
            "path": wish.path,
            "headers": headers,
            "body": "{}" if wish.method == "POST" else "",
        }
        link = self._links.get(gatekeeper)
        if link is not None and link.connected:
            link.call(name, params, done)
            return
        host, _, port = self.gatekeepers[gatekeeper].rpartition(":")
        connecting = TCP4ClientEndpoint(self.reactor, host, int(port), timeout=1).connect(_RpcFactory())

        def connected(new: RpcLink) -> None:
            self._links[gatekeeper] = new
            new.call(name, params, done)

        connecting.addCallbacks(connected, lambda _: done(None))
