"""JSON-RPC 2.0 over TCP, a line each: `call` has a request carried out by us, `state` reports on this gatekeeper.

call {"method", "path", "host"?, "headers"?, "body"?}  ->  {"status", "headers", "body", "worker", "attempts"}
errors: -32001 refused (safe to try again)  -32002 failed (no promise)  -32003 unmapped
"""

from __future__ import annotations

import base64
import binascii
from collections import Counter, deque
from collections.abc import Callable
from dataclasses import replace
from typing import Any

from twisted.internet import interfaces, protocol
from twisted.python.failure import Failure
from zope.interface import implementer

from anisefront.upstream.direct_requests import DirectRequest, DirectRequests, FinalResponse
from anisefront.gateway.request_terms import RequestTerms
from anisefront.gateway.routing import Router
from anisefront.gateway.errors import UnroutableRequestError
from anisefront.frontends.backpressure import Backpressure
from anisefront.protocols import http1, jsonrpc

SLICE = 16  # lines taken in before others have their turn
REFUSED, FAILED, UNMAPPED = -32001, -32002, -32003
# Headers of the hop between the client and us; a worker is sent our own.
_OF_THE_HOP = {
    "connection",
    "keep-alive",
    "proxy-connection",
    "transfer-encoding",
    "content-length",
    "upgrade",
    "te",
    "trailer",
    "host",
}


class BadParams(Exception):
    """Parameters that can't be taken: which, and why."""


def job_from(params: Any) -> tuple[DirectRequest, str]:
    """The job and its host; raises `BadParams`."""
    if not isinstance(params, dict):
        raise BadParams("params: an object is due")
    unknown = set(params) - {"method", "path", "host", "headers", "body", "body_base64"}
    if unknown:
        raise BadParams(f"{sorted(unknown)[0][:40]}: not known here")
    texts = {
        name: params.get(name, fallback)
        for name, fallback in (("method", "GET"), ("path", None), ("host", ""), ("body", ""), ("body_base64", ""))
    }
    for name, value in texts.items():
        if not isinstance(value, str):
            raise BadParams(f"{name}: a string is due")
    headers = params.get("headers", {})
    if not isinstance(headers, dict) or not all(isinstance(value, str) for value in headers.values()):
        raise BadParams("headers: an object of strings is due")
    given, headers = headers, {name.lower(): value for name, value in headers.items()}
    if len(headers) < len(given):
        # Danger: which of the two counts is a matter of order, and may be another here than at the worker.
        twice = next(name for name in headers if sum(name == each.lower() for each in given) > 1)
        raise BadParams(f"headers: {twice[:40]!r} is there twice, in different cases")
    if not texts["path"].startswith("/"):
        raise BadParams("path: it must begin with /")
    try:
        body = texts["body"].encode() or base64.b64decode(texts["body_base64"], validate=True)
        kept = {name: value for name, value in headers.items() if name not in _OF_THE_HOP}
        http1.request(texts["method"], texts["path"], kept, body)
    except (ValueError, UnicodeEncodeError, binascii.Error) as problem:
        raise BadParams(f"no request can be made of this: {problem}") from problem
    return DirectRequest(texts["method"], texts["path"], kept, body), texts["host"]


class Desk:
    """What calls need besides their parameters."""

    def __init__(
        self,
        router: Callable[[], Router],
        own: DirectRequests,
        now_ms: Callable[[], float],
        gateways_of: Callable[[str], tuple[int, int]],
        state: Callable[[], dict[str, Any]],
    ) -> None:
        self.router, self.own, self.now_ms, self.gateways_of, self.state = router, own, now_ms, gateways_of, state
        self.closing = False

    def ask(self, params: Any, done: Callable[[FinalResponse], None]) -> int | None:
        """Take a request in; raises `BadParams` or `Unmapped`."""
        job, host = job_from(params)
        mapped = self.router().map(job.method, host, job.target, job.headers)
        job = replace(job, target=mapped.target)
        if self.closing:
            done(FinalResponse(is_rejected=True, retry_after_ms=1000.0, reason="draining"))
            return None
        first, spread = self.gateways_of(mapped.customer)
        return self.own.accept(
            job,
            done,
            RequestTerms(
                mapped.customer,
                mapped.class_name,
                mapped.plan,
                self.now_ms() + mapped.deadline_ms,
                mapped.units,
                first,
                spread,
                mapped.is_retry,
            ),
        )


def written(call_id: Any, answer: FinalResponse) -> dict[str, Any]:
    """The final answer as the client gets it."""
    if answer.message is not None:
        message = answer.message
        try:
            body = {"body": message.body.decode()}
        except UnicodeDecodeError:
            body = {"body_base64": base64.b64encode(message.body).decode()}
        return jsonrpc.result(
            call_id,
            {
                "status": message.status,
                "headers": message.headers,
                **body,
                "worker": answer.endpoint,
                "attempts": answer.attempts,
            },
        )
    if answer.is_rejected:
        data = {"final": "refused", "reason": answer.reason, "retry_after_ms": round(answer.retry_after_ms)}
        return jsonrpc.error(call_id, REFUSED, "refused: safe to try again", data)
    return jsonrpc.error(call_id, FAILED, "failed: it may have run", {"final": "failed", "reason": answer.reason})


class _Batch:
    """The answers to one line, written when the last is there."""

    def __init__(self, connection: JsonRpcConnection, many: bool, due: int) -> None:
        self._connection, self._many, self._due, self._answers = connection, many, due, []

    def add(self, answer: dict[str, Any] | None) -> None:
        """One call's answer, None for a notification."""
        self._due -= 1
        if answer is not None:
            self._answers.append(answer)
        if self._due == 0 and self._answers:
            self._connection.write(self._answers if self._many else self._answers[0])


@implementer(interfaces.IHalfCloseableProtocol)
class JsonRpcConnection(Backpressure):
    """One connection of a client. Answers come as they are ready, not in the order of the calls."""

    def __init__(self, factory: JsonRpcFactory) -> None:
        self.factory, self._lines = factory, jsonrpc.Lines(factory.most_line)
        self._open: set[int] = set()  # requests that this client waits for
        self._waiting, self._done_reading = 0, False
        self._unread: deque[bytes] = deque()  # lines that were read and not taken yet

    def connectionMade(self) -> None:
        self.transport.setTcpNoDelay(True)
        self.transport.setTcpKeepAlive(True)
        self.watch_reader(self.factory.reactor, self.factory.stuck_s, self.transport.abortConnection)
        if len(self.factory.connections) < self.factory.most_connections:
            self.factory.connections.add(self)
        else:  # it holds no place while it lingers
            self.factory.counts["connections_refused"] += 1
            self._refuse("too many connections")

    def _refuse(self, why: str) -> None:
        """Danger: closed over what it still sends, the connection would be reset, and its client might not read why. So
        our half is shut, and what comes is thrown away until the client ends or a second is over."""
        self.write(jsonrpc.error(None, jsonrpc.INVALID_REQUEST, why))
        self._done_reading = True
        self._withdraw()
        self.transport.unregisterProducer()
        self.transport.loseWriteConnection()
        self.factory.reactor.callLater(1.0, self.transport.abortConnection)

    def dataReceived(self, data: bytes) -> None:
        if self._done_reading:
            return
        try:
            lines = self._lines.feed(data)
        except jsonrpc.TooLong as problem:
            self.factory.counts["lines_too_long"] += 1
            self._refuse(str(problem))
            return
        self._take(lines)

    def _take(self, lines: list[bytes]) -> None:
        idle = not self._unread
        self._unread.extend(lines)
        if idle and self._unread:
            self._work()

    def _work(self) -> None:
        # Danger: some hundred short lines come in one read; taken at once they hold up everybody else.
        for _ in range(min(SLICE, len(self._unread))):
            many, calls = jsonrpc.read(self._unread.popleft())
            batch = _Batch(self, many, len(calls))
            for call in calls:
                self._call(call, batch)
        if self._unread:
            self.hold()
            self.factory.reactor.callLater(0, self._again)
        elif self._done_reading and not self._waiting:
            self.transport.loseConnection()

    def _again(self) -> None:
        self.go_on()
        if self.connected:
            self._work()

    def _call(self, call: jsonrpc.Call | jsonrpc.Invalid, batch: _Batch) -> None:
        if isinstance(call, jsonrpc.Invalid):
            self.factory.counts["calls_invalid"] += 1
            batch.add(jsonrpc.error(call.id, call.code, call.message))
        elif call.method == "call":
            self._ask(call, batch)
        elif call.method == "state":
            batch.add(None if call.notification else jsonrpc.result(call.id, self.factory.desk.state()))
        else:
            fault = jsonrpc.error(call.id, jsonrpc.NO_METHOD, f"no method {call.method[:60]!r}: call, state")
            batch.add(None if call.notification else fault)

    def _ask(self, call: jsonrpc.Call, batch: _Batch) -> None:
        number: int | None = None
        answered = False

        def done(answer: FinalResponse) -> None:
            nonlocal answered
            answered = True
            self._waiting -= 1
            self._open.discard(number)
            batch.add(None if call.notification else written(call.id, answer))
            if self._done_reading and not self._waiting and not self._unread:
                self.transport.loseConnection()

        if self._waiting >= self.factory.most_waiting:
            answer = FinalResponse(is_rejected=True, retry_after_ms=1000.0, reason="too-many-calls")
            batch.add(None if call.notification else written(call.id, answer))
            return
        self._waiting += 1
        try:
            number = self.factory.desk.ask(call.params, done)
        except (BadParams, UnroutableRequestError) as problem:
            self._waiting -= 1
            code = UNMAPPED if isinstance(problem, UnroutableRequestError) else jsonrpc.INVALID_PARAMS
            batch.add(None if call.notification else jsonrpc.error(call.id, code, str(problem)))
            return
        if number is not None and not answered:
            self._open.add(number)

    def write(self, answer: dict[str, Any] | list[dict[str, Any]]) -> None:
        """One line to the client."""
        if self.connected:
            self.transport.write(jsonrpc.write(answer))

    def readConnectionLost(self) -> None:
        """The client sends no more, but still reads: what is open is answered first."""
        if not self._done_reading:
            self._take(self._lines.last())
        self._done_reading = True
        if not self._waiting and not self._unread:
            self.transport.loseConnection()

    def writeConnectionLost(self) -> None:
        """Our side is closed."""

    def connectionLost(self, reason: Failure = protocol.connectionDone) -> None:
        self.factory.connections.discard(self)
        self.forget_reader()
        self._withdraw()

    def _withdraw(self) -> None:
        """Nobody waits for what is open here any more."""
        for number in list(self._open):
            self.factory.desk.own.client_disconnected(number)
        self._open.clear()
        self._waiting = 0
        self._unread.clear()


class JsonRpcFactory(protocol.ServerFactory):
    """A listener and its caps."""

    noisy = False

    def __init__(
        self,
        reactor: object,
        desk: Desk,
        most_connections: int = 512,
        most_line: int = 1 << 20,
        most_waiting: int = 1024,
        stuck_s: float = 20.0,
    ) -> None:
        self.reactor, self.desk, self.most_connections, self.most_line = reactor, desk, most_connections, most_line
        self.most_waiting, self.stuck_s = most_waiting, stuck_s
        self.connections: set[JsonRpcConnection] = set()
        self.counts: Counter[str] = Counter()

    def buildProtocol(self, address: object) -> JsonRpcConnection:
        return JsonRpcConnection(self)
