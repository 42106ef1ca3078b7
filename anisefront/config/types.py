"""What a settings file comes to. Plain records; nothing is decided or read here."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, field

from anisefront.gateway.routes import Key, Route
from anisefront.policy.settings import Settings


@dataclass(frozen=True, slots=True)
class Address:
    """Where to listen or whom to reach; port 0 takes a free one."""

    host: str
    port: int


@dataclass(frozen=True, slots=True)
class Embedded:
    """Workers inside this process, for a first try and for benchmarks."""

    count: int
    cores: int
    service_ms: float


@dataclass(frozen=True, slots=True)
class Recording:
    """Where traffic is recorded, when a new file begins (bytes), how many are kept, the key of pseudonyms."""

    path: str
    rotate: int
    keep: int
    key: bytes


@dataclass(frozen=True, slots=True)
class Config:
    """One gatekeeper's settings. Times in milliseconds."""

    settings: Settings
    routes: tuple[Route, ...]
    keys: Mapping[str, Key]
    customer_header: str
    default_plan: str = ""
    repeat_header: str = ""
    spread: int = 1  # gateways that a customer's requests come through
    grpc: Address | None = None
    jsonrpc: Address | None = None
    peers_listen: Address | None = None
    peers: dict[int, Address] = field(default_factory=dict)
    secret: bytes = b""
    roster_file: str = ""
    embedded: Embedded | None = None
    log_ms: float = 1000.0
    ask_again_ms: float = 500.0
    park_ms: float = 100.0
    drain_ms: float = 10_000.0
    stop_ms: float = 15_000.0
    most_open: int = 50_000
    most_connections: int = 512
    seed: int | None = None
    recording: Recording | None = None
    members_ms: float = 0.0  # the period of probes between gatekeepers; 0: who is there is not watched
    rooms: dict[int, str] = field(default_factory=dict)  # zones of other gatekeepers, where they are told
    lease_ms: float = 0.0  # after which a gatekeeper not heard is taken for lost; 0: nobody keeps
    most_records: int = 50_000  # requests kept for others
    protected_only: frozenset[str] = frozenset()  # classes that are refused where no keeper can be told
