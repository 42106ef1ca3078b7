"""Errors of the platform's gateway, in one hierarchy."""

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
    """The other side sent bytes that are not RESP2 in the platform's form."""

    @property
    def error_line(self) -> bytes:
        """Return the line of the error reply, without its end."""
        return f"ERR Protocol error: {self.reason}".encode()


class InvalidCommandError(RespGatewayError):
    """A command is well-formed and can't be used; the text names the field."""


class DiscoveryError(RespGatewayError):
    """Discovery sent what can't be parsed."""


class InstanceConfigError(RespGatewayError):
    """The configuration is rejected; the text names the place."""
