"""Records of the requests that a proxy delegates: its checks, our responses to them, and the names of attempts."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from enum import Enum
from typing import NamedTuple


class Verdict(Enum):
    """The meaning of the response to a check."""

    START_ATTEMPT = "go"
    REJECTED = "refused"
    FAILED = "failed"


@dataclass(frozen=True, slots=True)
class CheckResponse:
    """The response to one check.

    Attributes:
        verdict: What the proxy is to do.
        endpoint: Where an attempt goes.
        timeout_ms: How long it may take.
        attempt_name: The name by which the proxy refers to it.
        retry_after_ms: Advice with a rejection.
        reason: Of a rejection or failure.
    """

    verdict: Verdict
    endpoint: str = ""
    timeout_ms: float = 0.0
    attempt_name: str = ""
    retry_after_ms: float = 0.0
    reason: str = ""


MAX_NUMBER_DIGITS = 19  # of a request's or attempt's number in an attempt's name
MIN_TIMEOUT_MS = 1.0  # of an attempt
Reply = Callable[[CheckResponse], None]

AT_CAPACITY = CheckResponse(Verdict.REJECTED, retry_after_ms=1000.0, reason="held-requests")
IN_PROGRESS = CheckResponse(Verdict.REJECTED, retry_after_ms=1000.0, reason="in-progress")
UNKNOWN_ATTEMPT = CheckResponse(Verdict.FAILED, reason="unknown-attempt")
FAILED = CheckResponse(Verdict.FAILED, reason="failed")


class WithheldAttempt(NamedTuple):
    """An attempt that waits for the proxy's next check."""

    number: int
    endpoint: str
    timeout_ms: float
    since_ms: float


@dataclass(slots=True, eq=False)
class DelegatedRequest:
    """A request that a proxy asked about.

    Attributes:
        request_id: The proxy's id of it; "" if it has none.
        number: Its number in the request table.
        reply: Callback that responds to the open check, if there is one.
        attempt_number: The number of the last attempt that was started.
        in_flight: Whether the proxy may have started the attempt and has not logged its end.
        peer: The proxy's host.
        is_ambiguous: Whether another check came with the same request id.
        withheld: An attempt that no check waits for yet.
        final: The final response, while no check waits for it.
        customer: Its customer.
        revision: Number of changes of its state, by which timers of an earlier state are recognized.
    """

    request_id: str
    number: int
    reply: Reply | None
    attempt_number: int = -1
    in_flight: bool = False
    peer: str = ""
    is_ambiguous: bool = False
    withheld: WithheldAttempt | None = None
    final: CheckResponse | None = None
    customer: str = ""
    revision: int = 0

    def take_reply(self) -> Reply | None:
        """Remove and return the callback that responds to the open check."""
        reply = self.reply
        self.reply = None
        return reply


@dataclass(slots=True)
class DelegationTimeouts:
    """Times in milliseconds that the path through a proxy takes.

    Attributes:
        log_ms: Time to wait for an attempt's log after its timeout, before the attempt counts as timed out.
        next_check_ms: Time without a check after which the proxy is taken to have answered its client by itself.
        proxy_overhead_ms: Subtracted from an attempt's timeout, so that the proxy ends it before our deadline.
        max_withheld_ms: Maximum time that an attempt waits for its check, before the controller decides again.
    """

    log_ms: float = 1000.0
    next_check_ms: float = 500.0
    proxy_overhead_ms: float = 25.0
    max_withheld_ms: float = 100.0

    def proxy_timeout_ms(self, timeout_ms: float) -> float:
        """Return the timeout that the proxy is to apply to an attempt."""
        return max(MIN_TIMEOUT_MS, timeout_ms - self.proxy_overhead_ms)


class AttemptName(NamedTuple):
    """The parts of an attempt's name: `INCARNATION.REQUEST.ATTEMPT`, the last two as text."""

    incarnation: str
    request: str
    attempt: str


def split_attempt_name(name: str) -> AttemptName:
    """Split an attempt's name; what is missing is empty."""
    incarnation, _, rest = name.partition(".")
    request, _, attempt = rest.partition(".")
    return AttemptName(incarnation, request, attempt)


def parse_number(text: str) -> int | None:
    """Parse the number of a request or attempt in a name; None if the text is not a number."""
    if len(text) > MAX_NUMBER_DIGITS or not (text.isascii() and text.isdigit()):
        return None
    return int(text)
