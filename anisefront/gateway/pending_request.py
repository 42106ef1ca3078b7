"""Records of the requests and attempts that the request table holds."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from anisefront.policy.actions import Reject
from anisefront.policy.events import Arrival

if TYPE_CHECKING:
    from anisefront.gateway.interfaces import AttemptHandler


@dataclass(slots=True, eq=False)
class AttemptInFlight:
    """An attempt that has not ended.

    Attributes:
        endpoint: Where it goes.
        started_ms: When it was decided or, if it was withheld, released.
        start_before_ms: Its effect may begin until then.
        withheld_until_ms: Set while the replication guard withholds it: the end of the time it would have.
    """

    endpoint: str
    started_ms: float
    start_before_ms: float
    withheld_until_ms: float | None = None


@dataclass(frozen=True, slots=True)
class ReplicaRecord:
    """What another gateway instance needs to continue a request.

    Attributes:
        kind: The kind of attempt handler.
        identity: The name by which the client or proxy knows the request, unique within its customer; "" for none.
        data: What the attempt handler needs, as plain JSON values.
    """

    kind: str
    identity: str
    data: dict[str, object]


@dataclass(slots=True, eq=False)
class PendingRequest:
    """A request. It is held until it has ended and none of its attempts is in flight.

    Attributes:
        arrival: The request as the controller knows it.
        handler: Carries its attempts and its final response.
        accepted_ms: When it was accepted.
        attempts: Number of attempts that were decided, those of earlier gateway instances included.
        in_flight: Its attempts that have not ended, by number.
        ended: Whether it has its final response or its client has disconnected.
        transferred: Whether another gateway instance has taken it over: no further attempt leaves this one.
        withheld_rejection: Its rejection, while the replication guard withholds it.
        replica: What another gateway instance needs to continue it; None where it is not replicated.
    """

    arrival: Arrival
    handler: AttemptHandler
    accepted_ms: float
    attempts: int = 0
    in_flight: dict[int, AttemptInFlight] = field(default_factory=dict)
    ended: bool = False
    transferred: bool = False
    withheld_rejection: Reject | None = None
    replica: ReplicaRecord | None = None

    @property
    def withheld_attempts(self) -> list[int]:
        """Numbers of the attempts that the replication guard withholds."""
        return [number for number, attempt in self.in_flight.items() if attempt.withheld_until_ms is not None]
