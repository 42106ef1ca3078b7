"""Interface between the connection pool and the protocol in which endpoints respond."""

from __future__ import annotations

from typing import Any, Protocol


class ResponseReader(Protocol):
    """Reads the responses on one connection, one at a time."""

    fault: type[Exception]  # raised by `feed` for a malformed response
    allows_early_response: bool  # whether a response may begin before the whole request is written

    @property
    def incomplete_bytes(self) -> int:
        """Count the bytes held of an incomplete response."""

    def begin(self, head_only: bool) -> None:
        """Expect the response to a request that is being written.

        Args:
            head_only: Whether the response has no body, as after an HTTP HEAD request.
        """

    def feed(self, data: bytes) -> tuple[Any, bool] | None:
        """Read received bytes.

        Returns:
            The response that they complete, and whether the connection can be reused; None if the response is
            incomplete.
        """

    def close(self) -> Any | None:
        """Return the response that the end of the connection completes, if any."""
