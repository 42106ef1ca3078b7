"""What the end of an attempt proves: HTTP statuses and a proxy's response flags as the module's `Result`.

The table is docs/operators/outcomes.md; a test holds both to the same rows. Nothing here decides about requests.
"""

from __future__ import annotations

from collections.abc import Mapping
from typing import NamedTuple

from anisefront.policy.events import AttemptResult


class End(NamedTuple):
    """How an attempt ended, and whether its client has its answer or has left, whatever is decided now."""

    result: AttemptResult
    over: bool = False


# Response flags of envoy.data.accesslog.v3.ResponseFlags, first match from the top: where more than one is
# set, what proves most about the client comes first, then what proves least about the worker.
FLAGS: tuple[tuple[str, End], ...] = (
    ("unauthorized_details", End(AttemptResult.DISCARDED, True)),  # the proxy denied by itself: nothing was sent
    ("downstream_connection_termination", End(AttemptResult.CANCELLED, True)),
    ("downstream_remote_reset", End(AttemptResult.CANCELLED, True)),
    ("downstream_protocol_error", End(AttemptResult.CANCELLED, True)),
    ("upstream_request_timeout", End(AttemptResult.TIMEOUT)),
    ("duration_timeout", End(AttemptResult.TIMEOUT)),
    ("stream_idle_timeout", End(AttemptResult.TIMEOUT)),
    ("upstream_max_stream_duration_reached", End(AttemptResult.TIMEOUT)),
    ("upstream_remote_reset", End(AttemptResult.RESET)),
    ("upstream_connection_termination", End(AttemptResult.RESET)),
    ("upstream_protocol_error", End(AttemptResult.RESET)),
    ("local_reset", End(AttemptResult.RESET)),
    ("upstream_connection_failure", End(AttemptResult.CONNECT_FAILED)),
    ("upstream_overflow", End(AttemptResult.DISCARDED)),  # the proxy's own breaker: nothing was sent
    ("no_healthy_upstream", End(AttemptResult.DISCARDED)),
    ("no_route_found", End(AttemptResult.DISCARDED, True)),
    ("no_cluster_found", End(AttemptResult.DISCARDED, True)),
    ("dns_resolution_failure", End(AttemptResult.DISCARDED)),
    ("overload_manager", End(AttemptResult.DISCARDED, True)),
    ("rate_limited", End(AttemptResult.DISCARDED, True)),
    ("fault_injected", End(AttemptResult.DISCARDED, True)),
)


def of_answer(status: int, headers: Mapping[str, str]) -> AttemptResult:
    """What a worker's whole answer says. Only the published sign of an overloaded upstream proves that it
    did not run: a bare 503 may come from behind the work."""
    if status in (429, 503) and headers.get("x-envoy-overloaded", "").lower() == "true":
        return AttemptResult.OVERLOADED
    return AttemptResult.ERROR if status >= 500 or status < 100 else AttemptResult.OK


def of_flags(names: set[str], status: int, headers: Mapping[str, str]) -> End:
    """The end of an attempt that a proxy logged with these response flags."""
    for name, end in FLAGS:
        if name in names:
            return end
    return End(of_answer(status, headers))
