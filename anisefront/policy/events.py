"""Events that a gateway instance hands to the controller. Times are milliseconds."""

from __future__ import annotations

import math
from dataclasses import dataclass
from enum import Enum

from anisefront.policy.settings import Settings


class AttemptResult(Enum):
    """How an attempt ended."""

    OK = "ok"
    ERROR = "error"
    OVERLOADED = "full"
    TIMEOUT = "timeout"
    CONNECT_FAILED = "connect_failed"
    RESET = "reset"
    CANCELLED = "cancelled"
    DISCARDED = "moot"  # never started: its request had ended or its time was up

    @property
    def never_executed(self) -> bool:
        """True where the result proves that the endpoint did not begin the work."""
        return self in (AttemptResult.OVERLOADED, AttemptResult.CONNECT_FAILED, AttemptResult.DISCARDED)


class EndpointStatus(Enum):
    """What service discovery says of an endpoint."""

    READY = "ready"
    DRAINING = "draining"
    REMOVED = "gone"


@dataclass(frozen=True, slots=True)
class Endpoint:
    """One entry of an endpoint list."""

    id: str
    zone: str
    cell: int
    status: EndpointStatus
    weight: float = 1.0
    started_ms: float = 0.0  # 0: long ago


@dataclass(frozen=True, slots=True)
class EndpointList:
    """Service discovery's view. `complete` lists replace the one before; `failed` ones carry nothing."""

    endpoints: tuple[Endpoint, ...]
    complete: bool = True
    failed: bool = False


@dataclass(frozen=True, slots=True)
class PriorAttempts:
    """What is known of the attempts of a request that a lost gateway instance had accepted."""

    attempts: int = 0  # that were started
    uncertain: int = 0  # of these, not proved never to have been executed
    endpoint: str = ""  # of the first
    started_ms: float = -math.inf  # of the first, by this instance's clock; -inf: as long ago as can be
    quota_debited: bool = False  # its units were drawn from the quota


@dataclass(frozen=True, slots=True)
class Arrival:
    """A client's request, owed one final answer by `deadline_at_ms`."""

    id: int
    customer: str
    class_name: str
    plan_name: str
    deadline_at_ms: float
    units: float = 1.0
    first_gateway: int = 0
    spread: int = 1  # gateway instances, from the first one, that receive the customer's requests
    is_retry: bool = False
    allows_hedging: bool = True  # its transport allows two attempts in flight
    prior_attempts: PriorAttempts | None = None  # of another instance; attempts are numbered on from there


@dataclass(frozen=True, slots=True)
class ResponseStarted:
    """A streamed response has begun; the attempt belongs to the client now."""

    id: int
    attempt: int
    endpoint: str


@dataclass(frozen=True, slots=True)
class AttemptEnded:
    """How one attempt ended; `final` says that its request has ended too."""

    id: int
    attempt: int
    endpoint: str
    duration_ms: float
    result: AttemptResult
    final: bool
    actual_units: float = 0.0
    quota_use: int = 0  # 1 + percent; 0: not reported
    load: tuple[float, ...] = ()  # values of `Settings.load_report_fields`


@dataclass(frozen=True, slots=True)
class ClientDisconnected:
    """The client left; it needs no answer any more."""

    id: int


@dataclass(frozen=True, slots=True)
class TimerFired:
    """A timer that was set has fired."""

    name: str


@dataclass(frozen=True, slots=True)
class PeerMessage:
    """Bytes from another gateway instance."""

    sender: int
    data: bytes


@dataclass(frozen=True, slots=True)
class PeersUnreachable:
    """All gateway instances known to be dead or to have left; nothing is known of those that are not listed."""

    gateways: frozenset[int]


@dataclass(frozen=True, slots=True)
class ProbeEnded:
    """The response to a probe."""

    endpoint: str
    duration_ms: float
    result: AttemptResult
    load: tuple[float, ...] = ()


@dataclass(frozen=True, slots=True)
class CounterReply:
    """The response of the shared counter; the controller makes no such calls."""

    name: str


Event = (
    Settings
    | EndpointList
    | Arrival
    | ResponseStarted
    | AttemptEnded
    | ClientDisconnected
    | TimerFired
    | PeerMessage
    | PeersUnreachable
    | ProbeEnded
    | CounterReply
)
