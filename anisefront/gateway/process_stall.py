"""Detection of stalls of the whole process, after which timers are deferred until the sockets have been read.

After a stall (a process that was stopped or got no processor time) the event loop runs its timers first. If they fired
before the controller receives the responses in the socket buffers, it would fail requests that were served and count
failures against their endpoints. A process that is late since it worked has read its sockets meanwhile: it has not
stalled, and deferring its timers would make it later still.
"""

from __future__ import annotations

MIN_STALL_MS = 250.0  # lateness of a timer, without the process's own work, above which it is taken to have stalled
MAX_IDLE_DEFERRALS = 3  # deferrals without a new event after which the sockets count as fully read
MAX_DEFERRALS = 20


class StallDetector:
    """Decides whether the timers of an event loop iteration are deferred."""

    def __init__(self) -> None:
        """Start without a stall."""
        self.deferrals = 0  # during the current stall
        self._idle_deferrals = 0
        self._received_events = 0

    def should_defer(self, lateness_ms: float, received_events: int) -> bool:
        """Decide on one iteration.

        Args:
            lateness_ms: How late the earliest timer is, without the time that the process worked.
            received_events: Events received since the start of the process.

        Returns:
            Whether the iteration is to be repeated after the event loop has read its sockets.
        """
        if lateness_ms <= MIN_STALL_MS or self._idle_deferrals >= MAX_IDLE_DEFERRALS or self.deferrals >= MAX_DEFERRALS:
            self.deferrals = 0
            self._idle_deferrals = 0
            return False
        if received_events == self._received_events:
            self._idle_deferrals += 1
        else:
            self._idle_deferrals = 0
        self._received_events = received_events
        self.deferrals += 1
        return True
