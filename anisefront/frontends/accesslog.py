"""`envoy.service.accesslog.v3.AccessLogService/StreamAccessLogs`: what became of the attempts that proxies made.

A proxy must log the request header x-anisefront-attempt and the response headers endpoint-load-metrics and
x-envoy-overloaded (`additional_request_headers_to_log`, `additional_response_headers_to_log`).
"""

from __future__ import annotations

from collections import deque

from envoy.service.accesslog.v3 import als_pb2
from google.protobuf.message import DecodeError

from anisefront.upstream.attempt_results import end_from_flags
from anisefront.upstream.delegated_requests import DelegatedRequests
from anisefront.frontends.authorization import ATTEMPT
from anisefront.frontends.grpcserver import Call, Method
from anisefront.protocols import grpc, orca

PATH = b"/envoy.service.accesslog.v3.AccessLogService/StreamAccessLogs"
SLICE = 64  # entries taken in before others have their turn: about a millisecond
_DONE = als_pb2.StreamAccessLogsResponse().SerializeToString()


def method(proxied: DelegatedRequests, load_report_fields: tuple[str, ...]) -> Method:
    """The method's entry for a `GrpcFactory`."""
    return lambda call: _Stream(proxied, load_report_fields, call)


class _Stream:
    __slots__ = ("_call", "_ended", "_fields", "_proxied", "_waiting")

    def __init__(self, proxied: DelegatedRequests, fields: tuple[str, ...], call: Call) -> None:
        self._proxied, self._fields, self._call = proxied, fields, call
        self._waiting, self._ended = deque[object](), False

    def message(self, data: bytes) -> None:
        try:
            entries = als_pb2.StreamAccessLogsMessage.FromString(data).http_logs.log_entry
        except DecodeError as problem:
            raise grpc.CallFault(grpc.Status.INVALID_ARGUMENT, "no StreamAccessLogsMessage") from problem
        idle = not self._waiting
        self._waiting.extend(entries)
        if idle:
            self._work()

    def _work(self) -> None:
        # Danger: a proxy that was away sends thousands at once. Taken in as one, they hold up every check meanwhile.
        for _ in range(min(SLICE, len(self._waiting))):
            self._entry(self._waiting.popleft())
        if self._waiting:
            self._call.later(self._work)
        elif self._ended:
            self._call.finish(_DONE)

    def _entry(self, entry: object) -> None:
        token = entry.request.request_headers.get(ATTEMPT, "")
        common, headers = entry.common_properties, entry.response.response_headers
        if not token:
            # Denied by the proxy alone, because its check failed; what we denied is logged as ext_authz_denied.
            if (
                common.response_flags.HasField("unauthorized_details")
                and entry.response.response_code_details == "ext_authz_error"
            ):
                self._proxied.denial_logged(entry.request.request_id, self._call.peer)
            return
        names = {field.name for field, _ in common.response_flags.ListFields()}
        end = end_from_flags(names, entry.response.response_code.value, headers)
        took = None
        if common.HasField("time_to_last_upstream_rx_byte") and common.HasField("time_to_first_upstream_tx_byte"):
            took = max(
                0.0,
                (
                    common.time_to_last_upstream_rx_byte.ToMicroseconds()
                    - common.time_to_first_upstream_tx_byte.ToMicroseconds()
                )
                / 1000,
            )
        load = orca.row(orca.read(headers), self._fields) if headers else ()
        self._proxied.attempt_logged(token, end.result, took, load, end.is_final)

    def half_closed(self) -> None:
        self._ended = True
        if not self._waiting:
            self._call.finish(_DONE)

    def gone(self) -> None:
        """A stream that breaks takes nothing with it: what it did not tell comes as a time-out."""
