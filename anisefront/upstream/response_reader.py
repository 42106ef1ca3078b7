"""Interface of the codec that reads an endpoint's responses, by which the connection pool is independent of it."""

from __future__ import annotations

from typing import Any, Protocol


class ResponseReader(Protocol):
    """Reads the responses on one connection, one at a time."""

    fault: type[Exception]  # raised by `feed` for bytes that can't be read
    early: bool  # whether a response may begin before the whole request is written

    def begin(self, head_only: bool) -> None:
        """Expect the response to a request that is being written.

        Args:
            head_only: Whether the response has no body, as to HTTP's HEAD.
        """

    def feed(self, data: bytes) -> tuple[Any, bool] | None:
        """Read bytes.

        Returns:
            The response that they complete and whether the connection can carry a further exchange; None if the
            response is incomplete.
        """

    def close(self) -> Any | None:
        """Return the response that the end of the connection completes, if any."""
