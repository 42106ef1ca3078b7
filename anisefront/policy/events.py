"""Events that a gateway instance passes to the controller. Times are milliseconds."""

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
    DISCARDED = "moot"  # never started, since its request had ended or its time was up

    @property
    def never_executed(self) -> bool:
        """True if the result proves that the endpoint did not start to execute the request."""
        return self in (AttemptResult.OVERLOADED, AttemptResult.CONNECT_FAILED, AttemptResult.DISCARDED)


class EndpointStatus(Enum):
    """Status of an endpoint in service discovery."""

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
    started_ms: float = 0.0  # 0: unknown or long ago; the endpoint counts as warmed up


@dataclass(frozen=True, slots=True)
class EndpointList:
    """Result of service discovery: a `complete` list replaces the previous one, a `failed` one has no content."""

    endpoints: tuple[Endpoint, ...]
    complete: bool = True
    failed: bool = False


@dataclass(frozen=True, slots=True)
class EndpointListRequested:
    """Service discovery was asked for a list, by an instance that starts or moves to another discovery service.

    Attributes:
        valid_for_ms: How long the present list counts as current.
    """

    valid_for_ms: float


@dataclass(frozen=True, slots=True)
class EndpointListConfirmed:
    """Service discovery has responded: the present list, or the one sent with it, is current."""


@dataclass(frozen=True, slots=True)
class PriorAttempts:
    """Attempts that a failed gateway instance had started for a request."""

    attempts: int = 0  # attempts started
    uncertain: int = 0  # those of them that may have been executed
    endpoint: str = ""  # of the first attempt
    started_ms: float = -math.inf  # of the first attempt, by this instance's clock; -inf: unknown
    quota_debited: bool = False  # whether the request's units were taken from the quota


@dataclass(frozen=True, slots=True)
class Arrival:
    """A client's request, which gets one final answer by `deadline_at_ms`."""

    id: int
    customer: str
    class_name: str
    plan_name: str
    deadline_at_ms: float
    units: float = 1.0
    first_gateway: int = 0
    spread: int = 1  # number of gateway instances, from the first one, that receive the customer's requests
    is_retry: bool = False  # by the client
    allows_hedging: bool = True  # whether its transport supports two attempts in flight
    prior_attempts: PriorAttempts | None = None  # of a failed instance; new attempts continue their numbering


@dataclass(frozen=True, slots=True)
class ResponseStarted:
    """A streamed response has started; the request can have no other attempt from now on."""

    id: int
    attempt: int
    endpoint: str


@dataclass(frozen=True, slots=True)
class AttemptEnded:
    """The end of one attempt; `final` means that its request has ended too."""

    id: int
    attempt: int
    endpoint: str
    duration_ms: float
    result: AttemptResult
    final: bool
    actual_units: float = 0.0
    quota_use: int = 0  # 1 + percentage of the quota in use; 0: not reported
    load: tuple[float, ...] = ()  # values of `Settings.load_report_fields`


@dataclass(frozen=True, slots=True)
class ClientDisconnected:
    """The client disconnected and needs no answer."""

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
    """All gateway instances known to have failed or left; the state of the others is unknown."""

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
    """The response of the simulator's shared counter; the controller makes no such calls."""

    name: str


Event = (
    Settings
    | EndpointList
    | EndpointListRequested
    | EndpointListConfirmed
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
