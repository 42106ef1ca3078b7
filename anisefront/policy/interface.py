"""The types that pass between a gateway and the decision module: settings, events and actions.

Times are milliseconds. Nothing in this file decides anything.
"""

from __future__ import annotations

import math
from dataclasses import dataclass, field
from enum import Enum


class Repeat(Enum):
    """What a second run of a request would do."""

    SAFE = "safe"  # may run any number of times
    KEYED = "keyed"  # a group of servers drops a repeat for a while
    UNSAFE = "unsafe"  # must never run twice


class Scope(Enum):
    """Which servers drop repeats of a keyed request together."""

    ALL = "all"
    ZONE = "zone"
    CELL = "cell"


class Result(Enum):
    """How an attempt ended."""

    OK = "ok"
    ERROR = "error"
    FULL = "full"
    TIMEOUT = "timeout"
    CONNECT_FAILED = "connect_failed"
    RESET = "reset"
    CANCELLED = "cancelled"
    MOOT = "moot"

    @property
    def never_ran(self) -> bool:
        """True where the outcome proves that the server never began the work."""
        return self in (Result.FULL, Result.CONNECT_FAILED, Result.MOOT)


class Reason(Enum):
    """Why a request was refused."""

    QUOTA = "quota"  # its customer's quota or ceiling has no room for it
    CAPACITY = "capacity"  # it could not go out in time
    ATTEMPTS = "attempts"  # its attempts failed, and no further one could be in time
    UNFIT = "unfit"  # its time was up when it came, or its class or plan is not known


class State(Enum):
    """What discovery says of a server."""

    READY = "ready"
    DRAINING = "draining"
    GONE = "gone"


def _refuse_below(low: float, **values: float) -> None:
    for key, value in values.items():
        if not value >= low:
            raise ValueError(f"{key}: {value!r} is below {low}")


@dataclass(frozen=True, slots=True)
class RequestClass:
    """A class of requests: what it wants and what may be done with it."""

    name: str
    aim_ms: float
    deadline_ms: float
    worth: float
    repeat: Repeat
    late_worth: float = 0.0
    scope: Scope = Scope.ALL
    window_ms: float = 0.0
    streamed: bool = False
    aim_stretch: float = 0.0

    def __post_init__(self) -> None:
        _refuse_below(
            0,
            aim_ms=self.aim_ms,
            deadline_ms=self.deadline_ms,
            worth=self.worth,
            late_worth=self.late_worth,
            window_ms=self.window_ms,
        )
        if not isinstance(self.repeat, Repeat):
            raise ValueError(f"repeat: {self.repeat!r} is no kind of repeat")


@dataclass(frozen=True, slots=True)
class Plan:
    """A plan: the quota of each of its customers over all gateways, and the price of leaving it."""

    name: str
    rate_per_s: float = 0.0  # 0: no quota on the rate
    burst: float = 0.0
    max_out: int = 0  # 0: no quota on attempts out at once
    value: float = 1.0
    over_worth: float = 0.0
    over_cost: float = 0.0
    ceiling_per_s: float = 0.0  # 0: no ceiling
    ceiling_burst: float = 0.0
    ceiling_slack: float = 0.0

    def __post_init__(self) -> None:
        _refuse_below(
            0,
            rate_per_s=self.rate_per_s,
            burst=self.burst,
            max_out=self.max_out,
            value=self.value,
            over_worth=self.over_worth,
            over_cost=self.over_cost,
            ceiling_per_s=self.ceiling_per_s,
            ceiling_burst=self.ceiling_burst,
            ceiling_slack=self.ceiling_slack,
        )


@dataclass(frozen=True, slots=True)
class Settings:
    """What a gateway is told when it starts, and again, as an event, when its figures change while it runs."""

    gateways: int
    number: int
    zone: str
    classes: tuple[RequestClass, ...]
    plans: tuple[Plan, ...]
    warm_up_ms: float
    cold_from: float
    fall_multiple: float
    fall_window_ms: float
    max_attempts: int
    tick_ms: float = 1.0
    max_units: float = 1.0
    may_cancel: bool = True
    may_tell: bool = False
    may_probe: bool = False
    second_copies: bool = False
    must_subscribe: bool = False
    settles: bool = False
    max_retry_after_ms: float = 0.0
    inbox_per_s: float = 0.0
    ask_within_ms: float = 10_000.0
    report_how: str = "none"
    report_fields: tuple[str, ...] = ()
    cross_zone_price: float = 0.0
    peer_price: float = 0.0
    most_customers: int = 200_000  # known at once, here and as their home; more are refused until others are let go
    tag_key: bytes = field(default=b"", repr=False)  # the fleet's own, for customers' tags; at most 64 bytes

    def __post_init__(self) -> None:
        if not self.classes:
            raise ValueError("classes: there are none")
        if not self.plans:
            raise ValueError("plans: there are none")
        _refuse_below(1, gateways=self.gateways, max_attempts=self.max_attempts)
        _refuse_below(
            0,
            number=self.number,
            warm_up_ms=self.warm_up_ms,
            cold_from=self.cold_from,
            fall_multiple=self.fall_multiple,
            fall_window_ms=self.fall_window_ms,
            max_units=self.max_units,
            inbox_per_s=self.inbox_per_s,
        )
        if len(self.tag_key) > 64:
            raise ValueError(f"tag_key: {len(self.tag_key)} bytes are more than 64")
        if self.number >= self.gateways:
            raise ValueError(f"number: {self.number} is not below gateways ({self.gateways})")


# ---- events -------------------------------------------------------------------------------------


@dataclass(frozen=True, slots=True)
class Server:
    """One line of a fleet list."""

    id: str
    zone: str
    cell: int
    state: State
    weight: float = 1.0
    started_ms: float = 0.0  # 0: long ago


@dataclass(frozen=True, slots=True)
class Fleet:
    """Discovery's view. `complete` lists replace the old one; `failed` ones carry nothing."""

    servers: tuple[Server, ...]
    complete: bool = True
    failed: bool = False


@dataclass(frozen=True, slots=True)
class Past:
    """What is known of a request that a gateway which is lost had in hand."""

    attempts: int = 0  # that were sent
    uncertain: int = 0  # of these, not proved never to have run
    server: str = ""  # where the first went; and when, by our clock (-inf: so long ago as can be)
    server_ms: float = -math.inf
    paid: bool = False  # its units were drawn from the quota


@dataclass(frozen=True, slots=True)
class Arrival:
    """A client's request, from now on owed one final answer by `due_ms`."""

    id: int
    customer: str
    class_name: str
    plan_name: str
    due_ms: float
    units: float = 1.0
    first_gateway: int = 0
    spread: int = 1
    is_repeat: bool = False
    copies: bool = True  # its way allows two attempts out at once
    past: Past | None = None  # another gateway had it before; further attempts are numbered on from there


@dataclass(frozen=True, slots=True)
class Started:
    """A streamed answer has begun; the attempt belongs to the client now."""

    id: int
    attempt: int
    server: str


@dataclass(frozen=True, slots=True)
class Outcome:
    """How one attempt ended; `final` says that its request has ended too."""

    id: int
    attempt: int
    server: str
    took_ms: float
    result: Result
    final: bool
    true_units: float = 0.0
    used_percent: int = 0  # 1 + percent; 0: not told
    load: tuple[float, ...] = ()


@dataclass(frozen=True, slots=True)
class ClientGone:
    """The client left; nothing more is owed."""

    id: int


@dataclass(frozen=True, slots=True)
class Woken:
    """A wake-up that was asked for."""

    name: str


@dataclass(frozen=True, slots=True)
class Heard:
    """Bytes from another gateway."""

    sender: int
    data: bytes


@dataclass(frozen=True, slots=True)
class Away:
    """The gateways that are known to be gone, all of them; nothing is known of those that are not told of."""

    gateways: frozenset[int]


@dataclass(frozen=True, slots=True)
class Probed:
    """The answer to a probe."""

    server: str
    took_ms: float
    result: Result
    load: tuple[float, ...] = ()


@dataclass(frozen=True, slots=True)
class Counted:
    """The answer of the shared counter; this module makes no such calls."""

    name: str


Event = Settings | Fleet | Arrival | Started | Outcome | ClientGone | Woken | Heard | Away | Probed | Counted


# ---- actions ------------------------------------------------------------------------------------


@dataclass(frozen=True, slots=True)
class Send:
    """Start an attempt; attempts of a request are numbered from 0 in the order of their sends.

    It may take `allow_ms`, and begin within `begin_ms`: later, what may have run before is not known there any more."""

    id: int
    server: str
    allow_ms: float
    begin_ms: float = math.inf


@dataclass(frozen=True, slots=True)
class Refuse:
    """Final: it is safe to try again."""

    id: int
    retry_in_ms: float = 0.0
    reason: Reason = Reason.CAPACITY


@dataclass(frozen=True, slots=True)
class Fail:
    """Final: no promise is made."""

    id: int


@dataclass(frozen=True, slots=True)
class Cancel:
    """Stop waiting for one attempt."""

    id: int
    attempt: int


@dataclass(frozen=True, slots=True)
class Wake:
    """Ask for a `Woken` event."""

    after_ms: float
    name: str


@dataclass(frozen=True, slots=True)
class Tell:
    """Send bytes to another gateway."""

    receiver: int
    data: bytes


@dataclass(frozen=True, slots=True)
class Probe:
    """Ask a server for its load."""

    server: str


@dataclass(frozen=True, slots=True)
class Subscribe:
    """Ask discovery for changes from now on."""


Action = Send | Refuse | Fail | Cancel | Wake | Tell | Probe | Subscribe
