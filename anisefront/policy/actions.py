"""Actions that the controller returns and the gateway instance carries out. Times are milliseconds."""

from __future__ import annotations

import math
from dataclasses import dataclass
from enum import Enum


class RejectionReason(Enum):
    """Why a request was rejected."""

    QUOTA = "quota"  # not granted in time: quota or ceiling are used up, or the quota owner did not reply
    CAPACITY = "capacity"  # no attempt could be started in time, or too many customers are known
    ATTEMPTS = "attempts"  # attempts failed or got no response, and no retry could end in time or within the budget
    INVALID = "unfit"  # deadline passed, class or plan unknown, id in use, or a tag that is another customer's


@dataclass(frozen=True, slots=True)
class StartAttempt:
    """Start an attempt. Exactly one `AttemptEnded` has to follow, whatever has become of the request meanwhile.

    The attempts of a request are numbered in the order of these actions, from 0 or from its prior attempts. An attempt
    may take `timeout_ms` and has to start within `start_within_ms`: later, the endpoints no longer drop a repeated
    execution of what may have been executed before.
    """

    id: int
    endpoint: str
    timeout_ms: float
    start_within_ms: float = math.inf
    attempt: int = 0


@dataclass(frozen=True, slots=True)
class Reject:
    """Final answer: a client's retry is safe, since nothing was executed or a second execution does no harm.

    `retry_after_ms` is advice to the client; 0: none.
    """

    id: int
    retry_after_ms: float = 0.0
    reason: RejectionReason = RejectionReason.CAPACITY


@dataclass(frozen=True, slots=True)
class Fail:
    """Final answer: it is not known whether the request was executed."""

    id: int


@dataclass(frozen=True, slots=True)
class CancelAttempt:
    """Stop waiting for one attempt."""

    id: int
    attempt: int


@dataclass(frozen=True, slots=True)
class SetTimer:
    """Request a `TimerFired` event of this name after the delay."""

    delay_ms: float
    name: str


@dataclass(frozen=True, slots=True)
class SendToPeer:
    """Send bytes to another gateway instance."""

    receiver: int
    data: bytes


@dataclass(frozen=True, slots=True)
class ProbeEndpoint:
    """Request the load of an endpoint."""

    endpoint: str


@dataclass(frozen=True, slots=True)
class Subscribe:
    """Request endpoint list changes from service discovery from now on."""


Action = StartAttempt | Reject | Fail | CancelAttempt | SetTimer | SendToPeer | ProbeEndpoint | Subscribe
