"""Errors of the gateway package."""

from __future__ import annotations


class GatewayError(Exception):
    """Base of the errors of this package."""


class AmbiguousPathError(GatewayError):
    """A request target that two readers could interpret differently. The message says why."""


class UnroutableRequestError(GatewayError):
    """A request that no route or key covers: it must be denied.

    Attributes:
        status: The HTTP status of the denial.
    """

    def __init__(self, status: int, reason: str) -> None:
        """Create an error with a reason for the client."""
        super().__init__(reason)
        self.status = status
