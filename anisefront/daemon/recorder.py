"""Recording of events and actions of a gateway instance to a rotated trace file of bounded size.

It never delays a request, and a full disk stops the recording, not the service.
"""

from __future__ import annotations

import os

from anisefront.config.types import Recording
from anisefront.policy.actions import Fail, Reject, StartAttempt
from anisefront.policy.events import Arrival, AttemptEnded, AttemptResult, ClientDisconnected, EndpointList
from anisefront.protocols import trace

MAX_BUFFERED = 20_000  # records; further ones are dropped and counted
FLUSH_THRESHOLD = 2000  # buffered records
MAX_PSEUDONYMS = 50_000  # cached; beyond that the cache is cleared


class Recorder:
    """The trace of one process incarnation of a gateway instance."""

    def __init__(self, settings: Recording, number: int, incarnation: str, started_ms: float) -> None:
        """Begin a new trace file for the gateway instance with this number."""
        self.fault = ""
        self.written = 0
        self.dropped = 0
        self._settings = settings
        self._buffer: list[trace.Record] = []
        self._buffer.append(["life", round(started_ms, 2), number, incarnation])
        self._file_bytes = 0
        self._pseudonyms: dict[str, str] = {}
        self._open_file()

    def state(self) -> dict[str, int | str]:
        """Return the numbers of written and dropped records, and the fault that stopped the recording, if any."""
        return {"written": self.written, "dropped": self.dropped, "fault": self.fault}

    def _open_file(self) -> None:
        """Begin a new file; older files are renumbered and the oldest is removed."""
        path = self._settings.path
        try:
            for number in range(self._settings.keep - 1, 0, -1):
                older = path if number == 1 else f"{path}.{number - 1}"
                if os.path.exists(older):
                    os.replace(older, f"{path}.{number}")
            with open(path, "wb") as file:
                file.write(trace.FILE_HEADER)
            self._file_bytes = len(trace.FILE_HEADER)
        except OSError as error:
            self.fault = f"{path}: {error.strerror or error}"

    def record_event(self, at_ms: float, event: object) -> None:
        """Record an event or an action."""
        record = self._record_of(round(at_ms, 2), event)
        if record is None or self.fault:
            return
        if len(self._buffer) >= MAX_BUFFERED:
            self.dropped += 1
            return
        self._buffer.append(record)
        if len(self._buffer) >= FLUSH_THRESHOLD:
            self.flush()

    def _record_of(self, at_ms: float, event: object) -> trace.Record | None:
        match event:
            case Arrival():
                return [
                    "arrive",
                    at_ms,
                    event.id,
                    self._pseudonym(event.customer),
                    event.class_name,
                    event.plan_name,
                    event.units,
                    round(event.deadline_at_ms - at_ms, 1),
                    int(event.is_retry),
                    int(event.allows_hedging),
                ]
            case StartAttempt():
                return ["send", at_ms, event.id, -1, event.endpoint]
            case AttemptEnded():
                if event.result is AttemptResult.OK and event.final:
                    self._buffer.append(["answer", at_ms, event.id, "served", ""])
                return ["end", at_ms, event.id, event.attempt, event.result.value, round(event.duration_ms, 2)]
            case Reject():
                return ["answer", at_ms, event.id, "refused", event.reason.value]
            case Fail():
                return ["answer", at_ms, event.id, "failed", ""]
            case ClientDisconnected():
                return ["answer", at_ms, event.id, "left", ""]
            case EndpointList() if not event.failed:
                return ["fleet", at_ms, [[s.id, s.zone, s.cell, s.status.value, s.started_ms] for s in event.endpoints]]
        return None

    def _pseudonym(self, customer: str) -> str:
        pseudonym = self._pseudonyms.get(customer)
        if pseudonym is None:
            if len(self._pseudonyms) >= MAX_PSEUDONYMS:
                self._pseudonyms.clear()
            pseudonym = trace.pseudonym(self._settings.key, customer)
            self._pseudonyms[customer] = pseudonym
        return pseudonym

    def flush(self) -> None:
        """Write the buffer as one block."""
        if self.fault or not self._buffer:
            return
        records = self._buffer
        self._buffer = []
        data = trace.encode_block(records)
        try:
            with open(self._settings.path, "ab") as file:
                file.write(data)
        except OSError as error:
            self.fault = f"{self._settings.path}: {error.strerror or error}"
            return
        self.written += len(records)
        self._file_bytes += len(data)
        if self._file_bytes > self._settings.rotate:
            self._open_file()
