"""Endpoint list in the JSON form of Envoy's `ClusterLoadAssignment`. Free of I/O.

health HEALTHY, UNKNOWN, DEGRADED: ready    DRAINING, UNHEALTHY, TIMEOUT: draining    absent: removed
locality.zone: the zone                     locality.sub_zone: the cell whose endpoints share request deduplication
metadata.filter_metadata.anisefront.started: Unix seconds at which the endpoint started; absent: long ago
"""

from __future__ import annotations

import zlib
from typing import Any

from envoy.config.core.v3 import health_check_pb2
from envoy.config.endpoint.v3 import endpoint_pb2
from google.protobuf import json_format

from anisefront.policy.events import Endpoint, EndpointList, EndpointStatus

MAX_FILE_BYTES = 4 << 20
MAX_PORT = 65535
MAX_STARTED_S = 1e11
_READY = {health_check_pb2.HEALTHY, health_check_pb2.UNKNOWN, health_check_pb2.DEGRADED}
_METADATA_NAMESPACE = "anisefront"


class EndpointFileError(Exception):
    """An endpoint list was rejected; the previous list stays in use."""


def parse(text: bytes) -> EndpointList:
    """Parse a complete endpoint list.

    Raises:
        EndpointFileError: The list is malformed or empty; the message names the faulty entry.
    """
    if len(text) > MAX_FILE_BYTES:
        raise EndpointFileError(f"endpoint list too large: {len(text)} bytes, at most {MAX_FILE_BYTES}")
    try:
        assignment = json_format.Parse(text, endpoint_pb2.ClusterLoadAssignment(), ignore_unknown_fields=True)
    except (json_format.ParseError, UnicodeDecodeError) as error:
        reason = " ".join(str(error).split())[:200]
        raise EndpointFileError(f"not a ClusterLoadAssignment: {reason}") from error
    endpoints: dict[str, Endpoint] = {}
    for row, group in enumerate(assignment.endpoints):
        for column, entry in enumerate(group.lb_endpoints):
            place = f"endpoints[{row}].lb_endpoints[{column}]"
            address = _parse_address(place, entry)
            if address in endpoints:
                raise EndpointFileError(f"{place}: {address} is listed more than once")
            endpoints[address] = _parse_endpoint(place, address, group.locality, entry)
    if not endpoints:
        # A truncated file, or a template that rendered no rows, would remove all endpoints.
        raise EndpointFileError("no endpoints: an empty list is rejected")
    return EndpointList(tuple(endpoints.values()))


def _parse_address(place: str, entry: Any) -> str:
    socket = entry.endpoint.address.socket_address
    if not socket.address or not 0 < socket.port_value <= MAX_PORT:
        raise EndpointFileError(f"{place}: address and port are required")
    return f"{socket.address}:{socket.port_value}"


def _parse_endpoint(place: str, address: str, locality: Any, entry: Any) -> Endpoint:
    return Endpoint(
        address,
        locality.zone,
        zlib.crc32(locality.sub_zone.encode()),
        EndpointStatus.READY if entry.health_status in _READY else EndpointStatus.DRAINING,
        float(entry.load_balancing_weight.value) or 1.0,
        _parse_started_s(place, entry) * 1000,
    )


def _parse_started_s(place: str, entry: Any) -> float:
    if _METADATA_NAMESPACE not in entry.metadata.filter_metadata:
        return 0.0
    started_s = dict(entry.metadata.filter_metadata[_METADATA_NAMESPACE]).get("started", 0.0)
    if not isinstance(started_s, float) or not 0 <= started_s < MAX_STARTED_S:
        raise EndpointFileError(f"{place}: started: Unix seconds are required")
    return started_s


def write(cluster: str, endpoints: list[Endpoint], cells: dict[int, str]) -> str:
    """Return the JSON text of an endpoint list; `cells` maps each `Endpoint.cell` to its name."""
    assignment = endpoint_pb2.ClusterLoadAssignment(cluster_name=cluster)
    for endpoint in endpoints:
        if endpoint.status is EndpointStatus.REMOVED:
            continue
        group = assignment.endpoints.add()
        group.locality.zone = endpoint.zone
        group.locality.sub_zone = cells.get(endpoint.cell, "")
        _write_endpoint(endpoint, group.lb_endpoints.add())
    return json_format.MessageToJson(assignment)


def _write_endpoint(endpoint: Endpoint, entry: Any) -> None:
    address, _, port = endpoint.id.rpartition(":")
    entry.endpoint.address.socket_address.address = address
    entry.endpoint.address.socket_address.port_value = int(port)
    entry.load_balancing_weight.value = max(1, round(endpoint.weight))
    is_ready = endpoint.status is EndpointStatus.READY
    entry.health_status = health_check_pb2.HEALTHY if is_ready else health_check_pb2.DRAINING
    if endpoint.started_ms:
        entry.metadata.filter_metadata[_METADATA_NAMESPACE]["started"] = endpoint.started_ms / 1000
