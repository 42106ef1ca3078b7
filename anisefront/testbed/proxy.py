"""A stand-in for the front proxy: asks the gatekeeper by the published services, forwards, logs each attempt.

It does what the published one does: an external-authorisation check with a time-out of its own, forwarding to
the host that the answer names, an upstream access log with response flags, and a further check for a further
attempt. Its gRPC is `grpcio`, which shares nothing with our server.
"""

from __future__ import annotations

import queue
from collections.abc import Callable
from typing import Any

import grpc
from envoy.config.core.v3 import base_pb2  # noqa: F401 - registers what the messages below refer to
from envoy.data.accesslog.v3 import accesslog_pb2
from envoy.service.accesslog.v3 import als_pb2
from envoy.service.auth.v3 import external_auth_pb2
from google.protobuf import duration_pb2
from twisted.internet import protocol

from anisefront.policy.events import AttemptResult
from anisefront.protocols import http1
from anisefront.testbed.records import Record, now_ms
from anisefront.upstream.connection_pool import ConnectionPool, PoolLimits
from anisefront.upstream.pool_exchange import Exchange

ATTEMPT = "x-anisefront-attempt"
_CHECK = "/envoy.service.auth.v3.Authorization/Check"
_LOG = "/envoy.service.accesslog.v3.AccessLogService/StreamAccessLogs"
_FLAGS = {
    AttemptResult.CONNECT_FAILED: "upstream_connection_failure",
    AttemptResult.RESET: "upstream_connection_termination",
    AttemptResult.TIMEOUT: "upstream_request_timeout",
    AttemptResult.ERROR: "upstream_protocol_error",
    AttemptResult.CANCELLED: "downstream_connection_termination",
}
_LOGGED = ("endpoint-load-metrics", "endpoint-load-metrics-bin", "x-envoy-overloaded")
MOST_CHECKS = 8
MARGIN_MS = 20.0  # a proxy ends a request so long before its client does


class LogStream:
    """The access-log stream, opened again after it breaks; what is logged meanwhile waits, up to a cap."""

    def __init__(self, channel: grpc.Channel, node: str) -> None:
        self._start = channel.stream_unary(
            _LOG, als_pb2.StreamAccessLogsMessage.SerializeToString, als_pb2.StreamAccessLogsResponse.FromString
        )
        self._node, self._queue, self._call, self._closed = node, queue.Queue(4096), None, False

    def log(self, entry: Any) -> None:
        """Send one entry."""
        message = als_pb2.StreamAccessLogsMessage()
        message.identifier.node.id, message.identifier.log_name = self._node, "upstream"
        message.http_logs.log_entry.append(entry)
        if self._call is None or self._call.done():
            self._open()
        try:
            self._queue.put_nowait(message)
        except queue.Full:
            pass  # as the published one: logs are dropped, never waited for

    def _open(self) -> None:
        waiting, self._queue = self._queue, queue.Queue(4096)
        while not waiting.empty():
            message = waiting.get_nowait()
            if message is not None:
                self._queue.put_nowait(message)
        self._call = self._start.future(iter(self._queue.get, None), wait_for_ready=True)

    def close(self) -> None:
        """End the stream."""
        self._queue.put(None)


class Proxy:
    """One proxy in front of one gatekeeper."""

    def __init__(
        self,
        reactor: Any,
        name: str,
        gatekeeper: str,
        record: Record,
        check_s: float = 10.0,
        pool: ConnectionPool | None = None,
    ) -> None:
        self.reactor, self.name, self.record, self.check_s = reactor, name, record, check_s
        options = [("grpc.initial_reconnect_backoff_ms", 100), ("grpc.max_reconnect_backoff_ms", 500)]
        self._channel = grpc.insecure_channel(gatekeeper, options=options)
        self._check = self._channel.unary_unary(
            _CHECK, external_auth_pb2.CheckRequest.SerializeToString, external_auth_pb2.CheckResponse.FromString
        )
        self.logs = LogStream(self._channel, name)
        self.pool = pool or ConnectionPool(reactor, PoolLimits(connect_timeout_s=0.5))
        self.delay_logs_s, self.double_logs = 0.0, False  # trouble on command
        self.port = reactor.listenTCP(0, _Factory(self), backlog=512, interface="127.0.0.1")
        self.address = f"127.0.0.1:{self.port.getHost().port}"

    def check(self, message: http1.Message, token: str, done: Callable[[Any], None]) -> Any:
        """Ask the gatekeeper; `done` hears the answer, None where none came. Returns the call."""
        request = external_auth_pb2.CheckRequest()
        http = request.attributes.request.http
        http.method, http.path, http.host = message.method, message.target, message.headers.get("host", "")
        http.id = message.headers.get("x-request-id", "")
        for name, value in message.headers.items():
            if name != ATTEMPT:  # nobody outside names an attempt
                http.headers[name] = value
        if token:
            http.headers[ATTEMPT] = token
        call = self._check.future(request, timeout=self.check_s)
        call.add_done_callback(lambda ended: self.reactor.callFromThread(self._answered, ended, done))
        return call

    @staticmethod
    def _answered(call: Any, done: Callable[[Any], None]) -> None:
        done(call.result() if not call.cancelled() and call.code() is grpc.StatusCode.OK else None)

    def log(
        self, token: str, message: http1.Message, worker: str, flag: str, answer: http1.Message | None, took_ms: float
    ) -> None:
        """Write an upstream log entry for one attempt."""
        entry = accesslog_pb2.HTTPAccessLogEntry()
        entry.request.request_id = message.headers.get("x-request-id", "")
        entry.request.path = message.target
        if token:
            entry.request.request_headers[ATTEMPT] = token
        common = entry.common_properties
        if worker:
            host, _, port = worker.rpartition(":")
            common.upstream_remote_address.socket_address.address = host
            common.upstream_remote_address.socket_address.port_value = int(port)
            common.time_to_first_upstream_tx_byte.CopyFrom(duration_pb2.Duration())
            common.time_to_last_upstream_rx_byte.FromMicroseconds(int(took_ms * 1000))
        if flag == "unauthorized_details":
            details = common.response_flags.unauthorized_details
            details.reason = accesslog_pb2.ResponseFlags.Unauthorized.EXTERNAL_SERVICE
            entry.response.response_code_details = "ext_authz_error"
        elif flag:
            setattr(common.response_flags, flag, True)
        if answer is not None:
            entry.response.response_code.value = answer.status
            for name in _LOGGED:
                if name in answer.headers:
                    entry.response.response_headers[name] = answer.headers[name]
        self.record.write(
            "log",
            proxy=self.name,
            id=entry.request.request_id,
            attempt=token,
            flag=flag,
            status=entry.response.response_code.value,
            worker=worker,
        )
        for _ in range(1 + self.double_logs):
            self.reactor.callLater(self.delay_logs_s, self.logs.log, entry)

    def close(self) -> None:
        """Stop listening and asking."""
        self.port.stopListening()
        self.logs.close()
        self._channel.close()


class _Downstream:
    """One client's request: check, attempt, log, further check, until there is an answer."""

    def __init__(self, proxy: Proxy, connection: _Connection, message: http1.Message) -> None:
        self._proxy, self._connection, self._message = proxy, connection, message
        self._call, self._exchange, self._token, self._checks = None, None, "", 0
        self._gone, self._sent_ms, self._worker = False, 0.0, ""
        left_ms = float(message.headers.get("x-envoy-expected-rq-timeout-ms", "15000"))
        self._timer = proxy.reactor.callLater(max(0.01, (left_ms - MARGIN_MS) / 1000), self._out_of_time)
        self._ask()

    def _out_of_time(self) -> None:
        """The whole request's time is up: the published proxy answers 504 by itself."""
        self._gone = True
        self._connection.answer(504, {"x-proxy-denied": "request_timeout"}, b"")
        self._give_up()

    def _ask(self) -> None:
        self._checks += 1
        self._proxy.record.write("check", proxy=self._proxy.name, id=self._message.headers.get("x-request-id", ""))
        self._call = self._proxy.check(self._message, self._token, self._told)

    def _told(self, answer: Any) -> None:
        self._call = None
        self._proxy.record.write("told", proxy=self._proxy.name, id=self._message.headers.get("x-request-id", ""))
        if self._gone:
            if answer is not None and answer.HasField("ok_response"):  # its OK was on the wire
                self._log_unsent(answer, "downstream_connection_termination")
            return
        if answer is None:  # the check failed or ran out of time: the proxy denies by itself
            self._proxy.log("", self._message, "", "unauthorized_details", None, 0.0)
            self._finish(403, {"x-proxy-denied": "ext_authz_error"}, b"")
            return
        if answer.HasField("denied_response"):
            denied = answer.denied_response
            headers = {option.header.key: option.header.value for option in denied.headers}
            self._finish(denied.status.code or 403, headers, denied.body.encode())
            return
        self._forward(self._headers_of(answer))

    @staticmethod
    def _headers_of(answer: Any) -> dict[str, str]:
        return {option.header.key: option.header.value for option in answer.ok_response.headers}

    def _log_unsent(self, answer: Any, flag: str) -> None:
        self._proxy.log(self._headers_of(answer).get(ATTEMPT, ""), self._message, "", flag, None, 0.0)

    def _forward(self, told: dict[str, str]) -> None:
        self._token, self._worker = told.get(ATTEMPT, ""), told["x-envoy-original-dst-host"]
        allow_s = float(told.get("x-envoy-upstream-rq-timeout-ms", "15000")) / 1000
        message, self._sent_ms = self._message, now_ms()
        headers = {
            name: value for name, value in message.headers.items() if name not in ("connection", "keep-alive", ATTEMPT)
        } | {ATTEMPT: self._token}
        self._proxy.record.write(
            "forward",
            proxy=self._proxy.name,
            worker=self._worker,
            attempt=self._token,
            id=message.headers.get("x-request-id", ""),
        )
        data = http1.encode_request(message.method, told.get(":path", message.target), headers, message.body)
        self._exchange: Exchange | None = self._proxy.pool.request(self._worker, data, allow_s, self._ended)

    def _ended(self, result: AttemptResult | None, answer: http1.Message | None) -> None:
        self._exchange = None
        flag = "" if result is None else _FLAGS[result]
        self._proxy.log(self._token, self._message, self._worker, flag, answer, now_ms() - self._sent_ms)
        if self._gone:
            return
        if answer is not None and answer.status < 500:
            kept = {name: value for name, value in answer.headers.items() if name != "connection"}
            self._finish(answer.status, kept, answer.body)
        elif self._checks < MOST_CHECKS:
            self._ask()
        else:
            self._finish(502, {"x-proxy-denied": "attempts"}, b"")

    def _finish(self, status: int, headers: dict[str, str], body: bytes) -> None:
        self._timer.cancel()
        self._connection.answer(status, headers, body)

    def client_gone(self) -> None:
        """The client left: what is under way is given up."""
        self._gone = True
        self._timer.cancel()
        self._give_up()

    def _give_up(self) -> None:
        if self._call is not None:
            self._call.cancel()
        if self._exchange is not None:
            self._exchange.cancel()


class _Connection(protocol.Protocol):
    def __init__(self, proxy: Proxy) -> None:
        self._proxy, self._reader, self._current, self._keep = proxy, http1.MessageReader(requests=True), None, True

    def connectionMade(self) -> None:
        self.transport.setTcpNoDelay(True)

    def dataReceived(self, data: bytes) -> None:
        try:
            for message in self._reader.feed(data):
                if self._current is not None:
                    raise http1.MessageError(400, "one request at a time")
                self._keep = message.keep_alive
                self._current = _Downstream(self._proxy, self, message)
        except http1.MessageError as fault:
            self._keep = False
            self.answer(fault.status, {}, str(fault).encode())

    def answer(self, status: int, headers: dict[str, str], body: bytes) -> None:
        self._current = None
        self.transport.write(http1.encode_response(status, headers, body))
        if not self._keep:
            self.transport.loseConnection()

    def connectionLost(self, reason: Any = None) -> None:
        current, self._current = self._current, None
        if current is not None:
            current.client_gone()


class _Factory(protocol.ServerFactory):
    noisy = False

    def __init__(self, proxy: Proxy) -> None:
        self._proxy = proxy

    def buildProtocol(self, address: object) -> _Connection:
        return _Connection(self._proxy)
