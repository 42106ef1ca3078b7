"""The fleet list as a file in the published `ClusterLoadAssignment` JSON form. Free of I/O.

health HEALTHY, UNKNOWN, DEGRADED: ready      DRAINING, UNHEALTHY, TIMEOUT: draining      absent: gone
locality.zone: the zone                       locality.sub_zone: the cell that drops repeats together
metadata.filter_metadata.anisefront.started: Unix seconds at which the worker started; absent: long ago
"""

from __future__ import annotations

import zlib

from envoy.config.core.v3 import health_check_pb2
from envoy.config.endpoint.v3 import endpoint_pb2
from google.protobuf import json_format

from anisefront.policy.events import Endpoint, EndpointList, EndpointStatus

_READY = {health_check_pb2.HEALTHY, health_check_pb2.UNKNOWN, health_check_pb2.DEGRADED}
MOST_BYTES = 4 << 20


class RosterFault(Exception):
    """A list that can't be taken; the one before stays in force."""


def parse(text: bytes) -> EndpointList:
    """The complete list in these bytes; raises `RosterFault` with the place and the fault."""
    if len(text) > MOST_BYTES:
        raise RosterFault(f"{len(text)} bytes, at most {MOST_BYTES}")
    try:
        listed = json_format.Parse(text, endpoint_pb2.ClusterLoadAssignment(), ignore_unknown_fields=True)
    except (json_format.ParseError, UnicodeDecodeError) as problem:
        raise RosterFault(f"no ClusterLoadAssignment: {' '.join(str(problem).split())[:200]}") from problem
    servers: dict[str, Endpoint] = {}
    for row, group in enumerate(listed.endpoints):
        cell = zlib.crc32(group.locality.sub_zone.encode())
        for column, entry in enumerate(group.lb_endpoints):
            place = f"endpoints[{row}].lb_endpoints[{column}]"
            socket = entry.endpoint.address.socket_address
            if not socket.address or not 0 < socket.port_value < 65536:
                raise RosterFault(f"{place}: address and port are due")
            name = f"{socket.address}:{socket.port_value}"
            if name in servers:
                raise RosterFault(f"{place}: {name} stands twice")
            started = (
                dict(entry.metadata.filter_metadata["anisefront"]).get("started", 0.0)
                if "anisefront" in entry.metadata.filter_metadata
                else 0.0
            )
            if not isinstance(started, float) or not 0 <= started < 1e11:
                raise RosterFault(f"{place}: started: Unix seconds are due")
            state = EndpointStatus.READY if entry.health_status in _READY else EndpointStatus.DRAINING
            weight = float(entry.load_balancing_weight.value) or 1.0
            servers[name] = Endpoint(name, group.locality.zone, cell, state, weight, started * 1000)
    if not servers:
        # Danger: a file cut off to nothing, or a template that rendered no rows, would take the fleet away.
        raise RosterFault("no endpoints: an empty list is taken for a fault")
    return EndpointList(tuple(servers.values()))


def write(cluster: str, servers: list[Endpoint], cells: dict[int, str]) -> str:
    """The list as such a file; `cells` names each `Server.cell`."""
    message = endpoint_pb2.ClusterLoadAssignment(cluster_name=cluster)
    for server in servers:
        if server.status is EndpointStatus.REMOVED:
            continue
        group = message.endpoints.add()
        group.locality.zone, group.locality.sub_zone = server.zone, cells.get(server.cell, "")
        entry = group.lb_endpoints.add()
        address, _, port = server.id.rpartition(":")
        entry.endpoint.address.socket_address.address = address
        entry.endpoint.address.socket_address.port_value = int(port)
        entry.load_balancing_weight.value = max(1, round(server.weight))
        entry.health_status = (
            health_check_pb2.HEALTHY if server.status is EndpointStatus.READY else health_check_pb2.DRAINING
        )
        if server.started_ms:
            entry.metadata.filter_metadata["anisefront"]["started"] = server.started_ms / 1000
    return json_format.MessageToJson(message)
