"""Values that a valid settings file yields. Plain records without logic."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, field

from anisefront.gateway.routes import Key, Route
from anisefront.policy.settings import Settings


@dataclass(frozen=True, slots=True)
class Address:
    """Address to listen on or to connect to; port 0 means any free port."""

    host: str
    port: int


@dataclass(frozen=True, slots=True)
class Embedded:
    """Simulated workers inside this process, for first trials and benchmarks."""

    count: int
    cores: int
    service_ms: float


@dataclass(frozen=True, slots=True)
class Recording:
    """Settings of traffic recording.

    Attributes:
        path: The file that records are appended to.
        rotate: Size in bytes beyond which a new file is begun.
        keep: Number of files that are retained.
        key: Key from which pseudonyms of customers are derived.
    """

    path: str
    rotate: int
    keep: int
    key: bytes


@dataclass(frozen=True, slots=True)
class Config:
    """Settings of one gateway instance. Times are in milliseconds."""

    settings: Settings
    routes: tuple[Route, ...]
    keys: Mapping[str, Key]
    customer_header: str
    default_plan: str = ""
    repeat_header: str = ""
    spread: int = 1  # number of gateway instances that receive the requests of one customer
    grpc: Address | None = None
    jsonrpc: Address | None = None
    peers_listen: Address | None = None
    peers: dict[int, Address] = field(default_factory=dict)
    secret: bytes = b""
    roster_file: str = ""
    embedded: Embedded | None = None
    log_ms: float = 1000.0  # after the time allowed to an attempt: without an access log by then, it timed out
    ask_again_ms: float = 500.0  # a proxy that asks for no further attempt within this has answered its client
    park_ms: float = 100.0  # time that an attempt waits for its check
    drain_ms: float = 10_000.0
    stop_ms: float = 15_000.0  # time after which the supervisor kills the process
    most_open: int = 50_000  # maximum number of open requests
    most_connections: int = 512  # maximum number of connections of each frontend
    seed: int | None = None  # of random choices; None draws one at each start
    recording: Recording | None = None
    members_ms: float = 0.0  # period of membership probes between instances; 0 disables failure detection
    rooms: dict[int, str] = field(default_factory=dict)  # zone of each gateway instance by number; "" if not configured
    lease_ms: float = 0.0  # silence after which an instance is considered lost; 0 disables replication
    most_records: int = 50_000  # maximum number of requests replicated for other instances
    protected_only: frozenset[str] = frozenset()  # classes whose requests are rejected if no backup is reachable
