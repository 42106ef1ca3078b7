"""State report of a gateway instance of the RESP platform."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Any

from anisefront.daemon.report_document import KeyTable, RequestTableReport

# Operators and tests read these keys.
STATE_KEYS: KeyTable = {
    "open": "requests.open_requests",
    "held": "requests.queued_requests",
    "out": "requests.attempts_in_flight",
    "window": "requests.concurrency_limit",
    "late_ms": "requests.event_loop_late_ms",
    "workers": "endpoints",
    "to_workers": "endpoint_connections",
    "connections": "client_connections",
    "accounts": "customer_accounts",
    "stores": "quota_buckets",
    "usual_ms": "response_times_ms",
    "reported": "reported_loads",
    "per_worker": "endpoint_loads",
    "shares": "class_shares",
    "turn": "batch_durations",
    "pauses": "collector_pauses",
    "counts": "request_counts",
    "front": "frontend_counts",
    "pool": "connection_pool_counts",
    "peers": "datagram_counts",
}


@dataclass(frozen=True, slots=True, kw_only=True)
class RespStateReport:
    """What a gateway instance is and does, in plain values."""

    requests: RequestTableReport
    endpoints: int
    endpoint_connections: int
    client_connections: dict[str, int]  # by the state that they are in
    customer_accounts: int
    quota_buckets: int
    response_times_ms: dict[str, int]  # by class
    reported_loads: dict[str, float]
    endpoint_loads: dict[str, list[float]]  # attempts in flight, load of other clients, latency ratio
    class_shares: dict[str, float]
    batch_durations: dict[str, Any]
    collector_pauses: dict[str, Any]
    request_counts: dict[str, int]
    frontend_counts: dict[str, int]
    connection_pool_counts: dict[str, int]
    datagram_counts: dict[str, int]
