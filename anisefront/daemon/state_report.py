"""State report of a gateway instance of the settings language."""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterable
from dataclasses import dataclass
from typing import TYPE_CHECKING, Any

from anisefront.daemon.report_document import KeyTable, RequestTableReport, report_of_request_table
from anisefront.daemon.settings_updates import SettingsReport
from anisefront.policy.events import EndpointStatus

if TYPE_CHECKING:
    from anisefront.daemon.gateway_instance import GatewayInstance

# Operators' tools, the test bed and the benchmarks depend on these keys.
STATE_KEYS: KeyTable = {
    "gatekeeper": "number",
    "of": "gateways",
    "life": "incarnation",
    "state": "phase",
    "up_ms": "up_ms",
    "open": "requests.open_requests",
    "held": "requests.queued_requests",
    "attempts_out": "requests.attempts_in_flight",
    "window": "requests.concurrency_limit",
    "loop_late_ms": "requests.event_loop_late_ms",
    "loop": "event_loop",
    "turn": "batch_durations",
    "pauses": "collector_pauses",
    "memory": "memory",
    "servers": "endpoints_by_state",
    "roster_fault": "endpoint_file_fault",
    "settings": {
        "version": "settings.version",
        "digest": "settings.digest",
        "since_ms": "settings.age_ms",
        "fault": "settings.fault",
        "reading": "settings.is_reading",
        "readings": "settings.outcomes",
        "work_ms": "settings.work_ms",
        "slices": "settings.slices",
        "longest_slice_ms": "settings.longest_slice_ms",
    },
    "recording": "recording",
    "connections": {"grpc": "grpc_connections", "jsonrpc": "jsonrpc_connections"},
    "counts": "request_counts",
    "proxied": "delegated_counts",
    "grpc": "grpc_counts",
    "jsonrpc": "jsonrpc_counts",
    "peers": "datagram_counts",
    "members": "membership",
    "keepers": "replication",
}


@dataclass(frozen=True, slots=True, kw_only=True)
class StateReport:
    """The state of a gateway instance, in plain values."""

    number: int
    gateways: int
    incarnation: str
    phase: str
    up_ms: int
    requests: RequestTableReport
    event_loop: dict[str, Any]  # histogram of its lateness
    batch_durations: dict[str, Any]
    collector_pauses: dict[str, Any]
    memory: dict[str, dict[str, int]]
    endpoints_by_state: dict[str, int]
    endpoint_file_fault: str
    settings: SettingsReport
    recording: dict[str, int | str]
    grpc_connections: int
    jsonrpc_connections: int
    request_counts: dict[str, int]
    delegated_counts: dict[str, int]
    grpc_counts: dict[str, int]
    jsonrpc_counts: dict[str, int]
    datagram_counts: dict[str, int]
    membership: dict[str, Any]
    replication: dict[str, Any]


def report_of(instance: GatewayInstance) -> StateReport:
    """Return the current state of a gateway instance."""
    table = instance.request_table
    return StateReport(
        number=instance.config.settings.number,
        gateways=instance.config.settings.gateways,
        incarnation=instance.incarnation,
        phase="draining" if instance.authorization.draining else "serving",
        up_ms=round(instance.clock() - instance.started_ms),
        requests=report_of_request_table(table),
        event_loop=instance.event_loop_monitor.lag.report(),
        batch_durations=table.batches.duration_ms.report(),
        collector_pauses=instance.collector.pauses.report(),
        memory=instance.memory.current(),
        endpoints_by_state=_count_by_state(table.endpoint_statuses.values()),
        endpoint_file_fault=instance.endpoint_file.fault,
        settings=instance.updates.report(),
        recording=instance.recorder.state() if instance.recorder is not None else {},
        grpc_connections=len(instance.grpc.connections),
        jsonrpc_connections=len(instance.jsonrpc.connections),
        request_counts=dict(table.counts),
        delegated_counts=dict(instance.delegated_requests.counts),
        grpc_counts=dict(instance.grpc.counts),
        jsonrpc_counts=dict(instance.jsonrpc.counts),
        datagram_counts=dict(instance.peer_port.counts) if instance.peer_port else {},
        membership=instance.membership_service.state() if instance.membership_service is not None else {},
        replication=instance.replication_service.state() if instance.replication_service is not None else {},
    )


def _count_by_state(states: Iterable[EndpointStatus]) -> dict[str, int]:
    return {state.value: count for state, count in Counter(states).items()}
