"""HTTP/1.1 responses for the connection pool: complete messages, without interim (1xx) responses. Performs no I/O."""

from __future__ import annotations

from anisefront.protocols.http1 import Head, Message, MessageError, MessageReader

MIN_FINAL_STATUS = 200  # lower ones are interim


class HttpResponseReader:
    """Reads the responses on one connection."""

    fault = MessageError
    allows_early_response = True  # a server may respond before it has read the whole request

    def __init__(self, max_body_bytes: int) -> None:
        """Create a reader; a longer body is an error."""
        self._reader = MessageReader(requests=False, max_body_bytes=max_body_bytes)

    @property
    def incomplete_bytes(self) -> int:
        """Count the bytes held of an incomplete response."""
        return self._reader.incomplete_bytes

    def begin(self, head_only: bool) -> None:
        """Expect a response; `head_only`: to a HEAD request, whose response has no body."""
        self._reader.head_only = head_only

    def feed(self, data: bytes) -> tuple[Message, bool] | None:
        """Return a completed response, and whether the connection can be reused: keep-alive, and no bytes follow."""
        for event in self._reader.feed(data):
            if not isinstance(event, Head) and event.status >= MIN_FINAL_STATUS:
                return event, event.keep_alive and not self._reader.has_partial_message
        return None

    def close(self) -> Message | None:
        """Return the message that the end of the connection completes."""
        try:
            messages = self._reader.close()
        except MessageError:
            return None
        return messages[0] if messages else None
