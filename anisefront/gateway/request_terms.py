"""Terms of a request: what a frontend determines when it accepts one."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class RequestTerms:
    """The terms under which a request is accepted.

    Attributes:
        customer: The customer whose quota it debits.
        class_name: Its request class.
        plan_name: Its customer's plan.
        deadline_at_ms: The latest time of its final response.
        units: Its cost in units of quota.
        first_gateway: The first of the gateway instances that its customer comes through.
        spread: How many gateway instances its customer comes through.
        is_retry: Whether its client says that it is a retry.
    """

    customer: str
    class_name: str
    plan_name: str
    deadline_at_ms: float
    units: float = 1.0
    first_gateway: int = 0
    spread: int = 1
    is_retry: bool = False
