"""Actions that the controller returns and the gateway instance carries out. Times are milliseconds."""

from __future__ import annotations

import math
from dataclasses import dataclass
from enum import Enum


class RejectionReason(Enum):
    """Why a request was rejected."""

    QUOTA = "quota"  # no units granted in time: quota or ceiling exhausted, or no reply from the quota owner
    CAPACITY = "capacity"  # no attempt could be started in time, or the limit of known customers is reached
    ATTEMPTS = "attempts"  # attempts failed or got no response, and time or budget did not allow a retry
    INVALID = "unfit"  # deadline passed, class or plan unknown, id in use, or tag taken by another customer


@dataclass(frozen=True, slots=True)
class StartAttempt:
    """Start an attempt. Exactly one `AttemptEnded` must follow, even if the request has ended in the meantime.

    The attempts of a request are numbered in the order of these actions, from 0 or from the number of its prior
    attempts. An attempt may take `timeout_ms` and must start within `start_within_ms`: after that the endpoints no
    longer detect a repeated execution of a request that an earlier attempt may have executed.
    """

    id: int
    endpoint: str
    timeout_ms: float
    start_within_ms: float = math.inf
    attempt: int = 0


@dataclass(frozen=True, slots=True)
class Reject:
    """Final answer after which a client may retry at any time: nothing was executed, or the class is idempotent.

    `retry_after_ms` is advice to the client; 0 means none.
    """

    id: int
    retry_after_ms: float = 0.0
    reason: RejectionReason = RejectionReason.CAPACITY


@dataclass(frozen=True, slots=True)
class Fail:
    """Final answer for a request that may or may not have been executed, and whose retry may not be safe."""

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
    """Subscribe to endpoint lists from service discovery."""


Action = StartAttempt | Reject | Fail | CancelAttempt | SetTimer | SendToPeer | ProbeEndpoint | Subscribe
