"""A simulated front proxy: checks each attempt with an instance, forwards it, and logs its result.

It follows the published proxy: an external-authorisation check with its own timeout, forwarding to the host named in
the response, an upstream access log with response flags, and another check for each further attempt. Its gRPC client
is `grpcio`, which shares no code with the instance's server.
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

ATTEMPT_HEADER = "x-anisefront-attempt"
_CHECK_METHOD = "/envoy.service.auth.v3.Authorization/Check"
_LOG_METHOD = "/envoy.service.accesslog.v3.AccessLogService/StreamAccessLogs"
_RESPONSE_FLAGS = {
    AttemptResult.CONNECT_FAILED: "upstream_connection_failure",
    AttemptResult.RESET: "upstream_connection_termination",
    AttemptResult.TIMEOUT: "upstream_request_timeout",
    AttemptResult.ERROR: "upstream_protocol_error",
    AttemptResult.CANCELLED: "downstream_connection_termination",
}
_LOGGED_HEADERS = ("endpoint-load-metrics", "endpoint-load-metrics-bin", "x-envoy-overloaded")
MAX_CHECKS = 8
TIMEOUT_MARGIN_MS = 20.0  # a proxy times out this long before its client


class LogStream:
    """The access-log stream. It is reopened after it breaks, and queues a limited number of entries meanwhile."""

    def __init__(self, channel: grpc.Channel, node: str) -> None:
        """Prepare a stream that identifies itself as `node`."""
        self._start = channel.stream_unary(
            _LOG_METHOD, als_pb2.StreamAccessLogsMessage.SerializeToString, als_pb2.StreamAccessLogsResponse.FromString
        )
        self._node, self._queue, self._call, self._closed = node, queue.Queue(4096), None, False

    def log(self, entry: Any) -> None:
        """Queue an entry for sending, opening the stream if necessary."""
        message = als_pb2.StreamAccessLogsMessage()
        message.identifier.node.id, message.identifier.log_name = self._node, "upstream"
        message.http_logs.log_entry.append(entry)
        if self._call is None or self._call.done():
            self._open()
        try:
            self._queue.put_nowait(message)
        except queue.Full:
            pass  # like the published proxy, drop entries rather than wait

    def _open(self) -> None:
        waiting, self._queue = self._queue, queue.Queue(4096)
        while not waiting.empty():
            message = waiting.get_nowait()
            if message is not None:
                self._queue.put_nowait(message)
        self._call = self._start.future(iter(self._queue.get, None), wait_for_ready=True)

    def close(self) -> None:
        """Close the stream after the queued entries."""
        self._queue.put(None)


class Proxy:
    """A proxy in front of one instance."""

    def __init__(
        self,
        reactor: Any,
        name: str,
        instance_address: str,
        record: Record,
        check_timeout_s: float = 10.0,
        pool: ConnectionPool | None = None,
    ) -> None:
        """Start listening on a free port and connect to the instance."""
        self.reactor, self.name, self.record, self.check_timeout_s = reactor, name, record, check_timeout_s
        options = [("grpc.initial_reconnect_backoff_ms", 100), ("grpc.max_reconnect_backoff_ms", 500)]
        self._channel = grpc.insecure_channel(instance_address, options=options)
        self._check = self._channel.unary_unary(
            _CHECK_METHOD, external_auth_pb2.CheckRequest.SerializeToString, external_auth_pb2.CheckResponse.FromString
        )
        self.logs = LogStream(self._channel, name)
        self.pool = pool or ConnectionPool(reactor, PoolLimits(connect_timeout_s=0.5))
        self.log_delay_s, self.duplicate_logs = 0.0, False  # set by injected faults
        self.port = reactor.listenTCP(0, _Factory(self), backlog=512, interface="127.0.0.1")
        self.address = f"127.0.0.1:{self.port.getHost().port}"

    def check(self, message: http1.Message, token: str, done: Callable[[Any], None]) -> Any:
        """Send a check to the instance and return the call. `done` receives the response, None if there is none."""
        request = external_auth_pb2.CheckRequest()
        http = request.attributes.request.http
        http.method, http.path, http.host = message.method, message.target, message.headers.get("host", "")
        http.id = message.headers.get("x-request-id", "")
        for name, value in message.headers.items():
            if name != ATTEMPT_HEADER:  # clients can't choose the attempt
                http.headers[name] = value
        if token:
            http.headers[ATTEMPT_HEADER] = token
        call = self._check.future(request, timeout=self.check_timeout_s)
        call.add_done_callback(lambda ended: self.reactor.callFromThread(self._deliver_check, ended, done))
        return call

    @staticmethod
    def _deliver_check(call: Any, done: Callable[[Any], None]) -> None:
        done(call.result() if not call.cancelled() and call.code() is grpc.StatusCode.OK else None)

    def log(
        self,
        token: str,
        message: http1.Message,
        worker: str,
        flag: str,
        response: http1.Message | None,
        duration_ms: float,
    ) -> None:
        """Send and record the upstream access log entry of an attempt."""
        entry = accesslog_pb2.HTTPAccessLogEntry()
        entry.request.request_id = message.headers.get("x-request-id", "")
        entry.request.path = message.target
        if token:
            entry.request.request_headers[ATTEMPT_HEADER] = token
        common = entry.common_properties
        if worker:
            host, _, port = worker.rpartition(":")
            common.upstream_remote_address.socket_address.address = host
            common.upstream_remote_address.socket_address.port_value = int(port)
            common.time_to_first_upstream_tx_byte.CopyFrom(duration_pb2.Duration())
            common.time_to_last_upstream_rx_byte.FromMicroseconds(int(duration_ms * 1000))
        if flag == "unauthorized_details":
            details = common.response_flags.unauthorized_details
            details.reason = accesslog_pb2.ResponseFlags.Unauthorized.EXTERNAL_SERVICE
            entry.response.response_code_details = "ext_authz_error"
        elif flag:
            setattr(common.response_flags, flag, True)
        if response is not None:
            entry.response.response_code.value = response.status
            for name in _LOGGED_HEADERS:
                if name in response.headers:
                    entry.response.response_headers[name] = response.headers[name]
        self.record.write(
            "log",
            proxy=self.name,
            id=entry.request.request_id,
            attempt=token,
            flag=flag,
            status=entry.response.response_code.value,
            worker=worker,
        )
        for _ in range(1 + self.duplicate_logs):
            self.reactor.callLater(self.log_delay_s, self.logs.log, entry)

    def close(self) -> None:
        """Stop listening and close the channel to the instance."""
        self.port.stopListening()
        self.logs.close()
        self._channel.close()


class _Downstream:
    """A client's request: repeats check, attempt and log until there is a response."""

    def __init__(self, proxy: Proxy, connection: _Connection, message: http1.Message) -> None:
        self._proxy, self._connection, self._message = proxy, connection, message
        self._call, self._exchange, self._token, self._checks = None, None, "", 0
        self._abandoned, self._forwarded_ms, self._worker = False, 0.0, ""
        timeout_ms = float(message.headers.get("x-envoy-expected-rq-timeout-ms", "15000"))
        self._timer = proxy.reactor.callLater(max(0.01, (timeout_ms - TIMEOUT_MARGIN_MS) / 1000), self._time_out)
        self._send_check()

    def _time_out(self) -> None:
        """Respond with 504 at the timeout of the whole request, as the published proxy does."""
        self._abandoned = True
        self._connection.respond(504, {"x-proxy-denied": "request_timeout"}, b"")
        self._cancel()

    def _send_check(self) -> None:
        self._checks += 1
        self._proxy.record.write("check", proxy=self._proxy.name, id=self._message.headers.get("x-request-id", ""))
        self._call = self._proxy.check(self._message, self._token, self._handle_check)

    def _handle_check(self, response: Any) -> None:
        self._call = None
        self._proxy.record.write("told", proxy=self._proxy.name, id=self._message.headers.get("x-request-id", ""))
        if self._abandoned:
            if response is not None and response.HasField("ok_response"):  # the OK response was already on its way
                self._log_unsent(response, "downstream_connection_termination")
            return
        if response is None:  # the check failed or timed out: the proxy denies the request itself
            self._proxy.log("", self._message, "", "unauthorized_details", None, 0.0)
            self._respond(403, {"x-proxy-denied": "ext_authz_error"}, b"")
            return
        if response.HasField("denied_response"):
            denied = response.denied_response
            headers = {option.header.key: option.header.value for option in denied.headers}
            self._respond(denied.status.code or 403, headers, denied.body.encode())
            return
        self._forward(self._headers_of(response))

    @staticmethod
    def _headers_of(response: Any) -> dict[str, str]:
        return {option.header.key: option.header.value for option in response.ok_response.headers}

    def _log_unsent(self, response: Any, flag: str) -> None:
        self._proxy.log(self._headers_of(response).get(ATTEMPT_HEADER, ""), self._message, "", flag, None, 0.0)

    def _forward(self, headers_added: dict[str, str]) -> None:
        self._token, self._worker = headers_added.get(ATTEMPT_HEADER, ""), headers_added["x-envoy-original-dst-host"]
        timeout_s = float(headers_added.get("x-envoy-upstream-rq-timeout-ms", "15000")) / 1000
        message, self._forwarded_ms = self._message, now_ms()
        headers = {
            name: value
            for name, value in message.headers.items()
            if name not in ("connection", "keep-alive", ATTEMPT_HEADER)
        } | {ATTEMPT_HEADER: self._token}
        self._proxy.record.write(
            "forward",
            proxy=self._proxy.name,
            worker=self._worker,
            attempt=self._token,
            id=message.headers.get("x-request-id", ""),
        )
        data = http1.encode_request(message.method, headers_added.get(":path", message.target), headers, message.body)
        self._exchange: Exchange | None = self._proxy.pool.request(
            self._worker, data, timeout_s, self._handle_attempt_end
        )

    def _handle_attempt_end(self, result: AttemptResult | None, response: http1.Message | None) -> None:
        self._exchange = None
        flag = "" if result is None else _RESPONSE_FLAGS[result]
        self._proxy.log(self._token, self._message, self._worker, flag, response, now_ms() - self._forwarded_ms)
        if self._abandoned:
            return
        if response is not None and response.status < 500:
            forwarded = {name: value for name, value in response.headers.items() if name != "connection"}
            self._respond(response.status, forwarded, response.body)
        elif self._checks < MAX_CHECKS:
            self._send_check()
        else:
            self._respond(502, {"x-proxy-denied": "attempts"}, b"")

    def _respond(self, status: int, headers: dict[str, str], body: bytes) -> None:
        self._timer.cancel()
        self._connection.respond(status, headers, body)

    def client_disconnected(self) -> None:
        """Cancel the check or attempt in progress, as the client has disconnected."""
        self._abandoned = True
        self._timer.cancel()
        self._cancel()

    def _cancel(self) -> None:
        if self._call is not None:
            self._call.cancel()
        if self._exchange is not None:
            self._exchange.cancel()


class _Connection(protocol.Protocol):
    def __init__(self, proxy: Proxy) -> None:
        self._proxy, self._reader, self._current, self._keep_alive = (
            proxy,
            http1.MessageReader(requests=True),
            None,
            True,
        )

    def connectionMade(self) -> None:
        self.transport.setTcpNoDelay(True)

    def dataReceived(self, data: bytes) -> None:
        try:
            for message in self._reader.feed(data):
                if self._current is not None:
                    raise http1.MessageError(400, "one request at a time")
                self._keep_alive = message.keep_alive
                self._current = _Downstream(self._proxy, self, message)
        except http1.MessageError as fault:
            self._keep_alive = False
            self.respond(fault.status, {}, str(fault).encode())

    def respond(self, status: int, headers: dict[str, str], body: bytes) -> None:
        self._current = None
        self.transport.write(http1.encode_response(status, headers, body))
        if not self._keep_alive:
            self.transport.loseConnection()

    def connectionLost(self, reason: Any = None) -> None:
        current, self._current = self._current, None
        if current is not None:
            current.client_disconnected()


class _Factory(protocol.ServerFactory):
    noisy = False

    def __init__(self, proxy: Proxy) -> None:
        self._proxy = proxy

    def buildProtocol(self, address: object) -> _Connection:
        return _Connection(self._proxy)
