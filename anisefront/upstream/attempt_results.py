"""What the end of an attempt proves: HTTP statuses and a proxy's response flags as the controller's `AttemptResult`.

The table is docs/operators/outcomes.md; a test keeps both equal. Nothing here decides on requests.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass

from anisefront.policy.events import AttemptResult


@dataclass(frozen=True, slots=True)
class AttemptEnd:
    """How an attempt ended.

    Attributes:
        result: What its end proves.
        is_final: Whether the client has its response or has disconnected, whatever the controller decides now.
    """

    result: AttemptResult
    is_final: bool = False


# Response flags of envoy.data.accesslog.v3.ResponseFlags; the first match counts. Where more than one is set, those
# that prove most about the client come first, then those that prove least about the endpoint.
RESPONSE_FLAGS: tuple[tuple[str, AttemptEnd], ...] = (
    ("unauthorized_details", AttemptEnd(AttemptResult.DISCARDED, True)),  # the proxy denied by itself: nothing was sent
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
    ("upstream_overflow", AttemptEnd(AttemptResult.DISCARDED)),  # the proxy's own breaker: nothing was sent
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

    Only the published header of an overloaded upstream proves that the request was not executed: a 503 without it may
    come from behind the work.
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
