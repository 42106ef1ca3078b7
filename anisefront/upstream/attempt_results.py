"""Mapping of HTTP statuses and a proxy's response flags to the controller's `AttemptResult`.

docs/operators/outcomes.md documents the same table; a test compares the two.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass

from anisefront.policy.events import AttemptResult


@dataclass(frozen=True, slots=True)
class AttemptEnd:
    """How an attempt ended.

    Attributes:
        result: What its end proves about its execution.
        is_final: Whether the client has its response or has disconnected, so that no retry is possible.
    """

    result: AttemptResult
    is_final: bool = False


# Response flags of envoy.data.accesslog.v3.ResponseFlags; the first match counts. Flags that show that the client has
# disconnected come first, then those that say least about the execution at the endpoint.
RESPONSE_FLAGS: tuple[tuple[str, AttemptEnd], ...] = (
    ("unauthorized_details", AttemptEnd(AttemptResult.DISCARDED, True)),  # denied by the proxy: nothing was sent
    ("downstream_connection_termination", AttemptEnd(AttemptResult.CANCELLED, True)),
    ("downstream_remote_reset", AttemptEnd(AttemptResult.CANCELLED, True)),
    ("downstream_protocol_error", AttemptEnd(AttemptResult.CANCELLED, True)),
    ("upstream_request_timeout", AttemptEnd(AttemptResult.TIMEOUT)),
    ("duration_timeout", AttemptEnd(AttemptResult.TIMEOUT)),
    ("stream_idle_timeout", AttemptEnd(AttemptResult.TIMEOUT)),
    ("upstream_max_stream_duration_reached", AttemptEnd(AttemptResult.TIMEOUT)),
    ("upstream_remote_reset", AttemptEnd(AttemptResult.RESET)),
    ("upstream_connection_termination", AttemptEnd(AttemptResult.RESET)),
    ("upstream_protocol_error", AttemptEnd(AttemptResult.RESET)),
    ("local_reset", AttemptEnd(AttemptResult.RESET)),
    ("upstream_connection_failure", AttemptEnd(AttemptResult.CONNECT_FAILED)),
    ("upstream_overflow", AttemptEnd(AttemptResult.DISCARDED)),  # the proxy's circuit breaker: nothing was sent
    ("no_healthy_upstream", AttemptEnd(AttemptResult.DISCARDED)),
    ("no_route_found", AttemptEnd(AttemptResult.DISCARDED, True)),
    ("no_cluster_found", AttemptEnd(AttemptResult.DISCARDED, True)),
    ("dns_resolution_failure", AttemptEnd(AttemptResult.DISCARDED)),
    ("overload_manager", AttemptEnd(AttemptResult.DISCARDED, True)),
    ("rate_limited", AttemptEnd(AttemptResult.DISCARDED, True)),
    ("fault_injected", AttemptEnd(AttemptResult.DISCARDED, True)),
)


def result_of_response(status: int, headers: Mapping[str, str]) -> AttemptResult:
    """Return what a complete response of an endpoint proves.

    Only the `x-envoy-overloaded` header proves that the request was not executed: a 503 without it may have been sent
    after the endpoint had executed it.
    """
    if status in (429, 503) and headers.get("x-envoy-overloaded", "").lower() == "true":
        return AttemptResult.OVERLOADED
    return AttemptResult.ERROR if status >= 500 or status < 100 else AttemptResult.OK


def end_from_flags(flags: set[str], status: int, headers: Mapping[str, str]) -> AttemptEnd:
    """Return the end of an attempt that a proxy logged with these response flags."""
    for flag, end in RESPONSE_FLAGS:
        if flag in flags:
            return end
    return AttemptEnd(result_of_response(status, headers))
