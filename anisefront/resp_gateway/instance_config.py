"""Configuration of one gateway instance: the platform's `PROXY_CONFIG` file and environment.

No I/O but for the one file. Whatever is missing or wrong raises an `InstanceConfigError` that names the place.
"""

from __future__ import annotations

import json
import sys
from collections.abc import Mapping
from dataclasses import dataclass, replace
from typing import Any

from anisefront.policy.peer_codec import MAX_CLASSES, MAX_PLANS
from anisefront.policy.settings import Settings
from anisefront.policy.settings_document import read_settings
from anisefront.resp_gateway.endpoint_changes import Address, EndpointChange, parse_address, parse_change
from anisefront.resp_gateway.errors import DiscoveryError, InstanceConfigError

MAX_FILE_BYTES = 16 << 20
BASE_MEMORY_MB = 28.0  # used by an instance that knows no customers; half of the rest is for customers
CUSTOMERS_PER_MB = 256  # about 2 KB each as a customer, and as much as their quota owner
MIN_CUSTOMERS = 1000
DEFAULT_MEMORY_MB = 128.0
DEFAULT_SOCKETS = 256.0
DEFAULT_CONNECT_TIMEOUT_MS = 250.0
DEFAULT_IDLE_MS = 5000.0


@dataclass(frozen=True, slots=True)
class InstanceConfig:
    """Configuration of one gateway instance. Times in milliseconds, memory in megabytes (2^20 bytes).

    Attributes:
        peers: Addresses of all instances, in the order of their numbers in the settings.
        known_endpoints: The endpoint list that the instance last had, which may be outdated.
        sockets: How many sockets the instance may hold.
        idle_ms: Idle time after which the platform closes a connection to a worker.
    """

    name: str
    listen: Address
    discovery: Address
    seed: int
    settings: Settings
    peer_listen: Address | None
    peers: tuple[Address, ...]
    known_endpoints: EndpointChange | None
    memory_mb: float
    sockets: int
    connect_timeout_ms: float
    idle_ms: float


def read_config_file(path: str) -> dict[str, Any]:
    """Return the JSON object in the file.

    Raises:
        InstanceConfigError: The file can't be read or holds no object.
    """
    try:
        with open(path, "rb") as file:
            document = json.loads(file.read(MAX_FILE_BYTES))
    except (OSError, ValueError) as error:
        raise InstanceConfigError(str(error), path) from error
    if not isinstance(document, dict):
        raise InstanceConfigError("expected a JSON object", path)
    return document


def parse_config(document: Mapping[str, Any], environment: Mapping[str, str]) -> InstanceConfig:
    """Return the configuration of the file's object; the environment has the addresses that the file does not name.

    Raises:
        InstanceConfigError: Something is missing or wrong.
    """
    limits = _object(document.get("limits"))
    memory_mb = _positive(limits, "memory_mb", DEFAULT_MEMORY_MB)
    settings = _settings(document, memory_mb)
    peers = _peers(document, settings)
    known_endpoints = _known_endpoints(document)
    seed = _seed(document)
    connection_limits = _object(document["settings"].get("limits"))
    peer_listen = document.get("peer_listen")
    return InstanceConfig(
        name=str(document.get("name") or environment.get("PROXY_NAME", "")),
        listen=_address(document.get("listen") or environment.get("PROXY_LISTEN"), "listen"),
        discovery=_address(document.get("discovery") or environment.get("PROXY_DISCOVERY"), "discovery"),
        seed=seed,
        settings=settings,
        peer_listen=_address(peer_listen, "peer_listen") if peer_listen else None,
        peers=tuple(_address(each, f"peers[{number}]") for number, each in enumerate(peers)),
        known_endpoints=known_endpoints,
        memory_mb=memory_mb,
        sockets=int(_positive(limits, "sockets", DEFAULT_SOCKETS)),
        connect_timeout_ms=_positive(connection_limits, "dialTimeoutMs", DEFAULT_CONNECT_TIMEOUT_MS),
        idle_ms=_positive(connection_limits, "connIdleMs", DEFAULT_IDLE_MS),
    )


def _object(value: object) -> Mapping[str, Any]:
    return value if isinstance(value, dict) else {}


def _positive(table: Mapping[str, Any], name: str, default: float) -> float:
    value = table.get(name)
    is_number = isinstance(value, int | float) and not isinstance(value, bool)
    return float(value) if is_number and 0 < value <= sys.float_info.max else default


def _address(value: object, field: str) -> Address:
    address = parse_address(value)
    if address is None:
        raise InstanceConfigError(f"{value!r} is not HOST:PORT", field)
    return address


def _settings(document: Mapping[str, Any], memory_mb: float) -> Settings:
    """Return the settings, with the cap on customers that the memory allows.

    The policy's own cap is for a large machine; on a small one, requests under invented customer ids would fill the
    memory.
    """
    try:
        settings = read_settings(document.get("settings"))
    except ValueError as error:
        raise InstanceConfigError(str(error), "settings") from error
    has_peers = settings.peer_messages_enabled and settings.gateways > 1
    if has_peers and (len(settings.classes) > MAX_CLASSES or len(settings.plans) > MAX_PLANS):
        raise InstanceConfigError("more than 16 classes or plans, which peer messages can't carry", "settings")
    affordable_customers = (memory_mb - BASE_MEMORY_MB) * CUSTOMERS_PER_MB
    max_customers = int(min(settings.max_customers, max(MIN_CUSTOMERS, affordable_customers)))
    return replace(settings, max_customers=max_customers)


def _peers(document: Mapping[str, Any], settings: Settings) -> list[object]:
    peers = document.get("peers")
    if not isinstance(peers, list):
        return []
    if peers and len(peers) < settings.gateways:
        raise InstanceConfigError(f"{len(peers)} addresses for {settings.gateways} gateway instances", "peers")
    return peers


def _known_endpoints(document: Mapping[str, Any]) -> EndpointChange | None:
    known = document.get("known")
    if known is None:
        return None
    try:
        return parse_change(known)
    except DiscoveryError as error:
        raise InstanceConfigError(str(error), "known") from error


def _seed(document: Mapping[str, Any]) -> int:
    seed = str(document.get("seed", "0"))
    try:
        return int(seed, 16)
    except ValueError as error:
        raise InstanceConfigError(f"{seed!r} is not a hexadecimal number", "seed") from error
