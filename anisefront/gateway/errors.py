"""Errors of the gateway package."""

from __future__ import annotations


class GatewayError(Exception):
    """Base of the errors of this package."""


class AmbiguousPathError(GatewayError):
    """A request target that two parsers could interpret differently. The message states the reason."""


class UnroutableRequestError(GatewayError):
    """A request that matches no route or has no valid key, and must be denied.

    Attributes:
        status: The HTTP status of the denial.
    """

    def __init__(self, status: int, reason: str) -> None:
        """Create an error with a reason for the client."""
        super().__init__(reason)
        self.status = status
