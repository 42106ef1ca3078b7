"""Actions that the controller returns and the gateway instance carries out. Times are milliseconds."""

from __future__ import annotations

import math
from dataclasses import dataclass
from enum import Enum


class RejectionReason(Enum):
    """Why a request was rejected."""

    QUOTA = "quota"  # its customer's quota or ceiling is used up
    CAPACITY = "capacity"  # no attempt could be started in time
    ATTEMPTS = "attempts"  # its attempts failed, and no retry could end in time
    INVALID = "unfit"  # its deadline had passed when it arrived, or its class or plan is not known


@dataclass(frozen=True, slots=True)
class StartAttempt:
    """Start an attempt; the attempts of a request are numbered from 0 in the order of these actions.

    It may take `timeout_ms` and has to start within `start_within_ms`: later, the endpoints no longer drop a repeated
    execution of what may have been executed before.
    """

    id: int
    endpoint: str
    timeout_ms: float
    start_within_ms: float = math.inf


@dataclass(frozen=True, slots=True)
class Reject:
    """Final answer: nothing was executed, so a client may retry after `retry_after_ms`."""

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
