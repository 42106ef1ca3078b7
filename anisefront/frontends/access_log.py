"""`envoy.service.accesslog.v3.AccessLogService/StreamAccessLogs`: results of the attempts that proxies made.

A proxy must log the request header x-anisefront-attempt and the response headers endpoint-load-metrics and
x-envoy-overloaded (`additional_request_headers_to_log`, `additional_response_headers_to_log`).
"""

from __future__ import annotations

from collections import deque

from envoy.data.accesslog.v3.accesslog_pb2 import AccessLogCommon, HTTPAccessLogEntry
from envoy.service.accesslog.v3 import als_pb2
from google.protobuf.message import DecodeError

from anisefront.frontends.authorization import ATTEMPT_HEADER
from anisefront.frontends.grpc_call import Call, Method
from anisefront.protocols import grpc, orca
from anisefront.upstream.attempt_results import end_from_flags
from anisefront.upstream.delegated_requests import DelegatedRequests

PATH = b"/envoy.service.accesslog.v3.AccessLogService/StreamAccessLogs"
MAX_BATCH_ENTRIES = 64  # processed in one event loop iteration: about a millisecond
_RESPONSE = als_pb2.StreamAccessLogsResponse().SerializeToString()


def method(delegated: DelegatedRequests, load_report_fields: tuple[str, ...]) -> Method:
    """Return the method's entry for a `GrpcFactory`."""
    return lambda call: _LogStream(delegated, load_report_fields, call)


class _LogStream:
    """One stream of log entries from a proxy."""

    __slots__ = ("_call", "_delegated", "_half_closed", "_load_report_fields", "_unprocessed")

    def __init__(self, delegated: DelegatedRequests, load_report_fields: tuple[str, ...], call: Call) -> None:
        self._delegated = delegated
        self._load_report_fields = load_report_fields
        self._call = call
        self._unprocessed: deque[HTTPAccessLogEntry] = deque()
        self._half_closed = False

    def message_received(self, data: bytes) -> None:
        """Process the entries of a message, in batches."""
        try:
            entries = als_pb2.StreamAccessLogsMessage.FromString(data).http_logs.log_entry
        except DecodeError as error:
            raise grpc.GrpcStatusError(grpc.StatusCode.INVALID_ARGUMENT, "no StreamAccessLogsMessage") from error
        is_idle = not self._unprocessed
        self._unprocessed.extend(entries)
        if is_idle:
            self._process_batch()

    def half_closed(self) -> None:
        """Complete the call, once all entries are processed."""
        self._half_closed = True
        if not self._unprocessed:
            self._call.finish(_RESPONSE)

    def cancelled(self) -> None:
        """Do nothing: an attempt whose entry is lost with the stream ends by its timeout."""

    def _process_batch(self) -> None:
        # A proxy that was disconnected sends thousands of entries at once. Processed in one event loop iteration,
        # they would delay every authorization check.
        for _ in range(min(MAX_BATCH_ENTRIES, len(self._unprocessed))):
            self._process_entry(self._unprocessed.popleft())
        if self._unprocessed:
            self._call.continue_in_next_iteration(self._process_batch)
        elif self._half_closed:
            self._call.finish(_RESPONSE)

    def _process_entry(self, entry: HTTPAccessLogEntry) -> None:
        token = entry.request.request_headers.get(ATTEMPT_HEADER, "")
        if not token:
            self._process_denial(entry)
            return
        common = entry.common_properties
        headers = entry.response.response_headers
        flags = {field.name for field, _ in common.response_flags.ListFields()}
        end = end_from_flags(flags, entry.response.response_code.value, headers)
        load_report: tuple[float, ...] = ()
        if headers:
            load_report = orca.select_fields(orca.decode_report(headers), self._load_report_fields)
        self._delegated.attempt_logged(token, end.result, _upstream_time_ms(common), load_report, end.is_final)

    def _process_denial(self, entry: HTTPAccessLogEntry) -> None:
        """Report a request that the proxy itself denied because its check failed.

        What a gateway instance denied is logged as ext_authz_denied.
        """
        if not entry.common_properties.response_flags.HasField("unauthorized_details"):
            return
        if entry.response.response_code_details == "ext_authz_error":
            self._delegated.denial_logged(entry.request.request_id, self._call.peer)


def _upstream_time_ms(common: AccessLogCommon) -> float | None:
    """Return the time from the first byte sent upstream to the last one received, None where it is not logged."""
    if not common.HasField("time_to_last_upstream_rx_byte"):
        return None
    if not common.HasField("time_to_first_upstream_tx_byte"):
        return None
    received_us = common.time_to_last_upstream_rx_byte.ToMicroseconds()
    sent_us = common.time_to_first_upstream_tx_byte.ToMicroseconds()
    return max(0.0, (received_us - sent_us) / 1000)
