"""`envoy.service.auth.v3.Authorization/Check`: whether a front proxy may forward a request, and to which endpoint.

forwarded  OK, with x-envoy-original-dst-host, x-envoy-upstream-rq-timeout-ms and x-anisefront-attempt; and with
           :path if the request's path was not in normal form: it is forwarded as it was routed
rejected   429 (quota), 409 (in progress) or 503, Retry-After, x-anisefront-final: refused - can be retried safely
failed     502, x-anisefront-final: failed - it may have been executed
unroutable 401, 403, 404 or 400 - never forwarded
"""

from __future__ import annotations

import json
import math
from collections.abc import Callable, Mapping
from typing import Any

from envoy.config.core.v3 import base_pb2
from envoy.service.auth.v3 import attribute_context_pb2, external_auth_pb2
from google.protobuf.message import DecodeError

from anisefront.frontends.grpc_call import Call, Method
from anisefront.gateway.errors import AmbiguousPathError, UnroutableRequestError
from anisefront.gateway.paths import normalize_target
from anisefront.gateway.request_terms import RequestTerms
from anisefront.gateway.routing import Router
from anisefront.protocols import grpc
from anisefront.upstream.delegated_checks import CheckResponse, Verdict
from anisefront.upstream.delegated_requests import DelegatedRequests

PATH = b"/envoy.service.auth.v3.Authorization/Check"
ATTEMPT_HEADER = "x-anisefront-attempt"
FINAL_HEADER = "x-anisefront-final"
REASON_HEADER = "x-anisefront-reason"
DRAINING_RETRY_AFTER_MS = 1000.0
_OVERWRITE = base_pb2.HeaderValueOption.OVERWRITE_IF_EXISTS_OR_ADD
_RPC_CODES = {400: 3, 401: 16, 403: 7, 404: 5, 409: 6, 429: 8, 502: 14, 503: 14}  # google.rpc.Code
_RPC_PERMISSION_DENIED = 7
_REJECTION_STATUS = {"quota": 429, "in-progress": 409}  # by reason
_OVERLOADED_STATUS = 503  # of all other reasons


class AuthorizationService:
    """State that all checks share."""

    def __init__(
        self,
        router: Callable[[], Router],
        delegated: DelegatedRequests,
        now_ms: Callable[[], float],
        gateways_of: Callable[[str], tuple[int, int]],
    ) -> None:
        """Create the service.

        Args:
            router: Returns the current routes.
            delegated: The requests whose attempts proxies carry out.
            now_ms: The clock of deadlines.
            gateways_of: Returns the first gateway instance of a customer's set, and their number.
        """
        self.router = router
        self.delegated = delegated
        self.now_ms = now_ms
        self.gateways_of = gateways_of
        self.draining = False  # new requests are rejected; accepted ones continue

    def method(self) -> Method:
        """Return the method's entry for a `GrpcFactory`."""
        return lambda call: _Check(self, call)


class _Check:
    """One check: the first of a request, or that of a retry."""

    __slots__ = ("_call", "_message_received", "_number", "_rewritten_path", "_service")

    def __init__(self, service: AuthorizationService, call: Call) -> None:
        self._service = service
        self._call = call
        self._number: int | None = None
        self._message_received = False
        self._rewritten_path = ""  # the path to forward; empty if it is the one that was received

    def message_received(self, data: bytes) -> None:
        """Start the check of the request that the message describes."""
        if self._message_received:
            raise grpc.GrpcStatusError(grpc.StatusCode.INVALID_ARGUMENT, "one message a check")
        self._message_received = True
        try:
            http = external_auth_pb2.CheckRequest.FromString(data).attributes.request.http
        except DecodeError as error:
            raise grpc.GrpcStatusError(grpc.StatusCode.INVALID_ARGUMENT, "no CheckRequest") from error
        headers = dict(http.headers)
        token = headers.get(ATTEMPT_HEADER, "")
        if token:
            self._rewritten_path = _normalized_path(http.path)
            self._number = self._service.delegated.next_check(token, self._respond)
        else:
            self._check_new_request(http, headers)

    def half_closed(self) -> None:
        """Reject a call that ended without a message."""
        if not self._message_received:
            raise grpc.GrpcStatusError(grpc.StatusCode.INVALID_ARGUMENT, "a check without a message")

    def cancelled(self) -> None:
        """Cancel the check if it has no response yet."""
        if self._number is not None:
            self._service.delegated.check_cancelled(self._number)

    def _check_new_request(
        self, http: attribute_context_pb2.AttributeContext.HttpRequest, headers: Mapping[str, str]
    ) -> None:
        service = self._service
        try:
            if not http.method:
                raise UnroutableRequestError(400, "no-http-request")
            mapped = service.router().route(http.method, http.host, http.path, headers)
        except UnroutableRequestError as error:
            self._call.finish(encode_denied(error.status, str(error), {}))
            return
        self._rewritten_path = "" if mapped.target == http.path else mapped.target
        if service.draining:
            self._respond(CheckResponse(Verdict.REJECTED, retry_after_ms=DRAINING_RETRY_AFTER_MS, reason="draining"))
            return
        first_gateway, spread = service.gateways_of(mapped.customer)
        terms = RequestTerms(
            mapped.customer,
            mapped.class_name,
            mapped.plan,
            service.now_ms() + mapped.deadline_ms,
            mapped.units,
            first_gateway,
            spread,
            mapped.is_retry,
        )
        request_id = headers.get("x-request-id", "") or http.id
        idempotency_key = headers.get("x-idempotency-key", "")
        self._number = service.delegated.first_check(request_id, self._respond, terms, self._call.peer, idempotency_key)

    def _respond(self, response: CheckResponse) -> None:
        self._number = None
        if response.verdict is Verdict.START_ATTEMPT:
            self._call.finish(encode_allowed(response, self._rewritten_path))
        elif response.verdict is Verdict.REJECTED:
            status = _REJECTION_STATUS.get(response.reason, _OVERLOADED_STATUS)
            retry_after_s = max(1, math.ceil(response.retry_after_ms / 1000))
            headers = {"retry-after": str(retry_after_s), FINAL_HEADER: "refused"}
            self._call.finish(encode_denied(status, response.reason, headers))
        else:
            self._call.finish(encode_denied(502, response.reason, {FINAL_HEADER: "failed"}))


def _normalized_path(path: str) -> str:
    """Return the normal form of a path that was routed before, empty if the path is in normal form."""
    try:
        target = normalize_target(path)
    except AmbiguousPathError as error:
        raise grpc.GrpcStatusError(grpc.StatusCode.INVALID_ARGUMENT, f"another path than before: {error}") from error
    return "" if target == path else target


def encode_allowed(response: CheckResponse, rewritten_path: str = "") -> bytes:
    """Encode the response that lets the proxy start one attempt.

    Args:
        response: The endpoint, the timeout and the token of the attempt.
        rewritten_path: The path to forward, empty for the request's own.

    Returns:
        The serialized `CheckResponse`.
    """
    message = external_auth_pb2.CheckResponse()
    message.status.code = 0
    headers = {
        "x-envoy-original-dst-host": response.endpoint,
        "x-envoy-upstream-rq-timeout-ms": str(max(1, int(response.timeout_ms))),
        ATTEMPT_HEADER: response.attempt_name,
    }
    if rewritten_path:
        headers[":path"] = rewritten_path
    _add_headers(message.ok_response.headers, headers)
    return message.SerializeToString()


def encode_denied(status: int, reason: str, headers: Mapping[str, str]) -> bytes:
    """Encode the response that has the proxy answer the client itself.

    Args:
        status: The HTTP status for the client.
        reason: The reason, for a header and the body.
        headers: Further headers for the client.

    Returns:
        The serialized `CheckResponse`.
    """
    message = external_auth_pb2.CheckResponse()
    message.status.code = _RPC_CODES.get(status, _RPC_PERMISSION_DENIED)
    message.status.message = reason
    message.denied_response.status.code = status
    all_headers = {"content-type": "application/json", REASON_HEADER: reason, **headers}
    _add_headers(message.denied_response.headers, all_headers)
    message.denied_response.body = json.dumps({"reason": reason}) + "\n"
    return message.SerializeToString()


def _add_headers(options: Any, headers: Mapping[str, str]) -> None:
    """Append headers to a repeated field of `HeaderValueOption`."""
    for name, value in headers.items():
        option = options.add(append_action=_OVERWRITE)
        option.header.key = name
        option.header.value = value
