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
        endpoint: The endpoint that it is sent to.
        started_ms: When the controller started it or, if it was withheld, when it was released.
        start_before_ms: Latest time at which it may be sent.
        withheld_until_ms: Set while the replication guard withholds it: when its timeout ends.
    """

    endpoint: str
    started_ms: float
    start_before_ms: float
    withheld_until_ms: float | None = None


@dataclass(frozen=True, slots=True)
class ReplicaRecord:
    """What another gateway instance needs to continue a request.

    Attributes:
        handler_kind: The kind of attempt handler, `REPLICA_KIND` of its module.
        idempotency_key: The client's or proxy's key of the request, unique within its customer; "" for none.
        data: What the attempt handler needs, as plain JSON values.
    """

    handler_kind: str
    idempotency_key: str
    data: dict[str, object]


@dataclass(slots=True, eq=False)
class PendingRequest:
    """A request. It stays in the table until it has ended and none of its attempts is in flight.

    Attributes:
        arrival: The request as the controller knows it.
        handler: Sends its attempts and its final response.
        accepted_ms: When it was accepted.
        attempts: Number of attempts started by the controller, including those of earlier gateway instances.
        in_flight: Its attempts that have not ended, by number.
        may_have_executed: Whether an attempt that has ended, here or at an earlier gateway instance, may have been
            executed.
        ended: Whether it has its final response or its client has disconnected.
        transferred: Whether another gateway instance has taken it over: this one sends no further attempt.
        withheld_rejection: Its rejection, while the replication guard withholds it.
        replica: What another gateway instance needs to continue it; None where it is not replicated.
    """

    arrival: Arrival
    handler: AttemptHandler
    accepted_ms: float
    attempts: int = 0
    in_flight: dict[int, AttemptInFlight] = field(default_factory=dict)
    may_have_executed: bool = False
    ended: bool = False
    transferred: bool = False
    withheld_rejection: Reject | None = None
    replica: ReplicaRecord | None = None

    @property
    def first_attempt_after_ms(self) -> float:
        """Lower bound of the time at which its first attempt started; -inf if it is unknown."""
        prior = self.arrival.prior_attempts
        return self.accepted_ms if prior is None or not prior.uncertain else prior.started_ms

    @property
    def withheld_attempts(self) -> list[int]:
        """Numbers of the attempts that the replication guard withholds."""
        return [number for number, attempt in self.in_flight.items() if attempt.withheld_until_ms is not None]
