"""HTTP/1.1 answers for the pool: whole messages, interim ones passed over. No I/O."""

from __future__ import annotations

from anisefront.protocols.http1 import Head, Message, MessageFault, Reader


class HttpAnswers:
    """The answers on one connection."""

    fault = MessageFault
    early = True  # a server may answer before it has read the whole request

    def __init__(self, most_body: int) -> None:
        self._reader = Reader(requests=False, most_body=most_body)

    def begin(self, head_only: bool) -> None:
        """A request is written; `head_only`: it is a HEAD, whose answer has no body."""
        self._reader.head_only = head_only

    def feed(self, data: bytes) -> tuple[Message, bool] | None:
        """The answer that is complete; the connection can go on where it says so and nothing follows."""
        for event in self._reader.feed(data):
            if not isinstance(event, Head) and event.status >= 200:
                return event, event.keep_alive and not self._reader.midway
        return None

    def close(self) -> Message | None:
        """The message that the end of the connection completes."""
        try:
            whole = self._reader.close()
        except MessageFault:
            return None
        return whole[0] if whole else None
