"""`envoy.service.auth.v3.Authorization/Check`: a front proxy asks whether, and where to, a request may go.

GO       OK, with x-envoy-original-dst-host, x-envoy-upstream-rq-timeout-ms and x-anisefront-attempt;
         and with :path where the request's was not in normal form: it goes on as what it was judged
REFUSED  429 (quota) or 503, Retry-After, x-anisefront-final: refused - safe to try again
FAILED   502, x-anisefront-final: failed - no promise
unmapped 401, 403, 404 or 400 - never let through
"""

from __future__ import annotations

import json
import math
from collections.abc import Callable

from envoy.config.core.v3 import base_pb2
from envoy.service.auth.v3 import external_auth_pb2
from google.protobuf.message import DecodeError

from anisefront.upstream.delegated_checks import CheckResponse, Verdict
from anisefront.gateway.request_terms import RequestTerms
from anisefront.upstream.delegated_requests import DelegatedRequests
from anisefront.gateway.errors import AmbiguousPathError
from anisefront.gateway.paths import normalize_target
from anisefront.gateway.routing import Router
from anisefront.gateway.errors import UnroutableRequestError
from anisefront.frontends.grpcserver import Call, Method
from anisefront.protocols import grpc

PATH = b"/envoy.service.auth.v3.Authorization/Check"
ATTEMPT, FINAL, REASON = "x-anisefront-attempt", "x-anisefront-final", "x-anisefront-reason"
_OVERWRITE = base_pb2.HeaderValueOption.OVERWRITE_IF_EXISTS_OR_ADD
_RPC_CODES = {400: 3, 401: 16, 403: 7, 404: 5, 409: 6, 429: 8, 502: 14, 503: 14}  # google.rpc.Code


class Gate:
    """What a check needs besides its message."""

    def __init__(
        self, router: Callable[[], Router], proxied: DelegatedRequests, now_ms: object, gateways_of: object
    ) -> None:
        self.router, self.proxied, self.now_ms, self.gateways_of = router, proxied, now_ms, gateways_of
        self.closing = False  # while draining: what is new is refused, what was begun goes on

    def method(self) -> Method:
        """The method's entry for a `GrpcFactory`."""
        return lambda call: _Check(self, call)


class _Check:
    __slots__ = ("_asked", "_call", "_gate", "_number", "_target")

    def __init__(self, gate: Gate, call: Call) -> None:
        self._gate, self._call, self._number, self._asked = gate, call, None, False
        self._target = ""  # the path to go on with, where it is another than the one that came

    def message(self, data: bytes) -> None:
        if self._asked:
            raise grpc.CallFault(grpc.Status.INVALID_ARGUMENT, "one message a check")
        self._asked = True
        try:
            http = external_auth_pb2.CheckRequest.FromString(data).attributes.request.http
        except DecodeError as problem:
            raise grpc.CallFault(grpc.Status.INVALID_ARGUMENT, "no CheckRequest") from problem
        gate, headers = self._gate, dict(http.headers)
        token = headers.get(ATTEMPT, "")
        if token:
            self._target = self._other_path(http.path)
            self._number = gate.proxied.next_check(token, self._reply)
            return
        try:
            if not http.method:
                raise UnroutableRequestError(400, "no-http-request")
            mapped = gate.router().map(http.method, http.host, http.path, headers)
        except UnroutableRequestError as problem:
            self._call.finish(denied(problem.status, str(problem), {}))
            return
        self._target = "" if mapped.target == http.path else mapped.target
        if gate.closing:
            self._reply(CheckResponse(Verdict.REJECTED, retry_after_ms=1000.0, reason="draining"))
            return
        first, spread = gate.gateways_of(mapped.customer)
        self._number = gate.proxied.first_check(
            headers.get("x-request-id", "") or http.id,
            self._reply,
            RequestTerms(
                mapped.customer,
                mapped.class_name,
                mapped.plan,
                gate.now_ms() + mapped.deadline_ms,
                mapped.units,
                first,
                spread,
                mapped.is_retry,
            ),
            self._call.peer,
            headers.get("x-idempotency-key", ""),
        )

    @staticmethod
    def _other_path(path: str) -> str:
        """The normal form of a path that was judged before, "" where it is in it."""
        try:
            target = normalize_target(path)
        except AmbiguousPathError as problem:
            raise grpc.CallFault(grpc.Status.INVALID_ARGUMENT, f"another path than before: {problem}") from problem
        return "" if target == path else target

    def half_closed(self) -> None:
        if not self._asked:
            raise grpc.CallFault(grpc.Status.INVALID_ARGUMENT, "a check without a message")

    def gone(self) -> None:
        if self._number is not None:
            self._gate.proxied.check_cancelled(self._number)

    def _reply(self, answer: CheckResponse) -> None:
        self._number = None
        if answer.verdict is Verdict.START_ATTEMPT:
            self._call.finish(allowed(answer, self._target))
        elif answer.verdict is Verdict.REJECTED:
            status = 429 if answer.reason == "quota" else 409 if answer.reason == "in-progress" else 503
            retry = {"retry-after": str(max(1, math.ceil(answer.retry_after_ms / 1000)))}
            self._call.finish(denied(status, answer.reason, retry | {FINAL: "refused"}))
        else:
            self._call.finish(denied(502, answer.reason, {FINAL: "failed"}))


def allowed(answer: CheckResponse, target: str = "") -> bytes:
    """The message that lets one attempt go; `target`: with another path than the request's."""
    response = external_auth_pb2.CheckResponse()
    response.status.code = 0
    for name, value in (
        ("x-envoy-original-dst-host", answer.endpoint),
        ("x-envoy-upstream-rq-timeout-ms", str(max(1, int(answer.timeout_ms)))),
        (ATTEMPT, answer.attempt),
        *(((":path", target),) if target else ()),
    ):
        option = response.ok_response.headers.add(append_action=_OVERWRITE)
        option.header.key, option.header.value = name, value
    return response.SerializeToString()


def denied(status: int, reason: str, headers: dict[str, str]) -> bytes:
    """The message that answers the client in our place."""
    response = external_auth_pb2.CheckResponse()
    response.status.code, response.status.message = _RPC_CODES.get(status, 7), reason
    response.denied_response.status.code = status
    for name, value in {"content-type": "application/json", REASON: reason, **headers}.items():
        option = response.denied_response.headers.add(append_action=_OVERWRITE)
        option.header.key, option.header.value = name, value
    response.denied_response.body = json.dumps({"reason": reason}) + "\n"
    return response.SerializeToString()
