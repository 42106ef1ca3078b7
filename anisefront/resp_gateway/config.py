"""What the platform tells a gatekeeper: `PROXY_CONFIG` and the environment. Free of I/O but for the one file.

What is missing or wrong is one `ConfigFault` that names the place and what is due there.
"""

from __future__ import annotations

import json
from collections.abc import Mapping
from dataclasses import dataclass, replace
from typing import Any

from anisefront.policy.settings import Settings
from anisefront.policy.settings_document import read_settings
from anisefront.resp_gateway.discovery import Change, DiscoveryFault, address, read_change

MOST_BYTES = 16 << 20
BASE_MB = 28.0  # what a gatekeeper takes before it knows anybody; half of the rest is for customers
CUSTOMERS_PER_MB, LEAST_CUSTOMERS = 256, 1000  # known here and as their home, about 2 KB each
Address = tuple[str, int]


class ConfigFault(ValueError):
    """The configuration can't be taken; the text says where and why."""


@dataclass(frozen=True, slots=True)
class NodeConfig:
    """One gatekeeper's configuration. Times in milliseconds, memory in megabytes (2^20 bytes)."""

    name: str
    listen: Address
    discovery: Address
    seed: int
    settings: Settings
    peer_listen: Address | None
    peers: tuple[Address, ...]  # by their numbers in the settings
    known: Change | None  # the fleet list that this gatekeeper last had; it may be old
    memory_mb: float
    sockets: int
    connect_timeout_ms: float
    idle_ms: float  # after which the machine closes an idle connection to a worker at the latest


def read(path: str) -> dict[str, Any]:
    """The object in the file."""
    try:
        with open(path, "rb") as file:
            found = json.loads(file.read(MOST_BYTES))
    except (OSError, ValueError) as problem:
        raise ConfigFault(f"{path}: {problem}") from problem
    if not isinstance(found, dict):
        raise ConfigFault(f"{path}: an object is due")
    return found


def _figure(table: Mapping[str, Any], name: str, fallback: float) -> float:
    value = table.get(name)
    usable = isinstance(value, int | float) and not isinstance(value, bool) and value > 0
    return float(value) if usable else fallback


def node_config(found: Mapping[str, Any], environment: Mapping[str, str]) -> NodeConfig:
    """The configuration that the file's object and the environment make; the environment's addresses stand in for
    those that the file does not name."""
    limits = found.get("limits")
    limits = limits if isinstance(limits, dict) else {}
    memory_mb = _figure(limits, "memory_mb", 128.0)
    try:
        settings = read_settings(found.get("settings"))
    except ValueError as problem:
        raise ConfigFault(f"settings: {problem}") from problem
    # Danger: the module's own cap on customers is for a large machine; here strangers' names would fill the memory.
    most = max(LEAST_CUSTOMERS, int((memory_mb - BASE_MB) * CUSTOMERS_PER_MB))
    settings = replace(settings, max_customers=min(settings.max_customers, most))
    peers = found.get("peers")
    peers = peers if isinstance(peers, list) else []
    if peers and len(peers) < settings.gateways:
        raise ConfigFault(f"peers: {len(peers)} addresses for {settings.gateways} gatekeepers")
    known = None
    if found.get("known") is not None:
        try:
            known = read_change(found["known"])
        except DiscoveryFault as problem:
            raise ConfigFault(f"known: {problem}") from problem
    seed = str(found.get("seed", "0"))
    try:
        seed_number = int(seed, 16)
    except ValueError as problem:
        raise ConfigFault(f"seed: {seed!r} is no hex number") from problem
    told = found["settings"].get("limits")
    told = told if isinstance(told, dict) else {}
    peer_listen = found.get("peer_listen")
    return NodeConfig(
        name=str(found.get("name") or environment.get("PROXY_NAME", "")),
        listen=address(found.get("listen") or environment.get("PROXY_LISTEN"), "listen", ConfigFault),
        discovery=address(found.get("discovery") or environment.get("PROXY_DISCOVERY"), "discovery", ConfigFault),
        seed=seed_number,
        settings=settings,
        peer_listen=address(peer_listen, "peer_listen", ConfigFault) if peer_listen else None,
        peers=tuple(address(each, f"peers[{n}]", ConfigFault) for n, each in enumerate(peers)),
        known=known,
        memory_mb=memory_mb,
        sockets=int(_figure(limits, "sockets", 256.0)),
        connect_timeout_ms=_figure(told, "dialTimeoutMs", 250.0),
        idle_ms=_figure(told, "connIdleMs", 5000.0),
    )
