"""Errors of the RESP gateway, in one hierarchy."""

from __future__ import annotations


class RespGatewayError(Exception):
    """Base of the package's errors.

    Attributes:
        reason: What is wrong and what is expected.
        field: The field or place that is wrong, empty where it concerns the whole input.
    """

    def __init__(self, reason: str, field: str = "") -> None:
        """Create an error whose text is `field: reason`."""
        super().__init__(f"{field}: {reason}" if field else reason)
        self.reason = reason
        self.field = field


class RespProtocolError(RespGatewayError):
    """The peer sent bytes that are not RESP2 as the platform uses it."""

    @property
    def error_line(self) -> bytes:
        """Return the line of the error reply, without its end."""
        return f"ERR Protocol error: {self.reason}".encode()


class InvalidCommandError(RespGatewayError):
    """A command is well-formed RESP, but invalid; the text names the field."""


class DiscoveryError(RespGatewayError):
    """Discovery sent data that can't be parsed."""


class InstanceConfigError(RespGatewayError):
    """The configuration is rejected; the text names the place."""
