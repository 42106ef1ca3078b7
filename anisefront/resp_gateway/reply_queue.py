"""Replies of one connection in the order of its commands.

Requests complete in any order; a reply is written only when all earlier commands have theirs.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Callable
from dataclasses import dataclass

from anisefront.resp_gateway.connection_limits import ByteBudget


@dataclass(slots=True, eq=False)
class PendingReply:
    """Place of one command in the order of replies.

    Attributes:
        reply: The encoded reply, None while the request is open.
        request: Number of the request in the request table while it is open.
        buffered_bytes: Bytes reserved for the request, later for its reply.
    """

    reply: bytes | None = None
    request: int | None = None
    buffered_bytes: int = 0


class ReplyQueue:
    """Pending replies of one connection.

    Attributes:
        pending: Replies to commands that are not written yet, oldest first.
    """

    def __init__(self, budget: ByteBudget, cancel_request: Callable[[int], None]) -> None:
        """Start empty.

        Args:
            budget: Counts the bytes held by the pending replies.
            cancel_request: Called with the number of an open request whose reply is not wanted any more.
        """
        self.pending: deque[PendingReply] = deque()
        self._budget = budget
        self._cancel_request = cancel_request

    def append(self, entry: PendingReply) -> None:
        """Add the reply to the newest command."""
        self.pending.append(entry)

    def reserve(self, entry: PendingReply, size: int) -> None:
        """Reserve bytes for a request or for a reply."""
        entry.buffered_bytes = size
        self._budget.reserve(size)

    def complete(self, entry: PendingReply, reply: bytes) -> None:
        """Store the final reply of an open request, and count it in the request's place."""
        entry.reply = reply
        entry.request = None
        self._budget.reserve(len(reply) - entry.buffered_bytes)
        entry.buffered_bytes = len(reply)

    def release(self, entry: PendingReply) -> None:
        """Release the bytes reserved for a reply."""
        self._budget.release(entry.buffered_bytes)
        entry.buffered_bytes = 0

    def take_ready(self) -> bytes:
        """Remove and return the replies up to the first open request."""
        pending = self.pending
        ready: list[bytes] = []
        while pending:
            reply = pending[0].reply
            if reply is None:
                break
            entry = pending.popleft()
            if entry.buffered_bytes:
                self.release(entry)
            ready.append(reply)
        return b"".join(ready)

    def fail_open(self, reply: bytes) -> None:
        """Cancel all open requests and give them this reply."""
        for entry in self.pending:
            if entry.reply is None:
                self._cancel(entry)
                entry.reply = reply

    def clear(self) -> None:
        """Cancel all open requests and drop all replies."""
        for entry in self.pending:
            self._cancel(entry)
        self.pending.clear()

    def _cancel(self, entry: PendingReply) -> None:
        self.release(entry)
        request = entry.request
        if request is not None:
            entry.request = None
            self._cancel_request(request)
