"""Writes what a gatekeeper sees to a bounded, rotated trace. It never holds up a request, and a full disk stops the
recording, not the service."""

from __future__ import annotations

import os

from anisefront.config.types import Recording
from anisefront.policy.actions import Fail, Reject, StartAttempt
from anisefront.policy.events import Arrival, AttemptEnded, AttemptResult, ClientDisconnected, EndpointList
from anisefront.protocols import trace

MOST_WAITING = 20_000  # records not yet written; more are dropped and counted
WRITE_EVERY = 2000
MOST_NAMES = 50_000  # pseudonyms remembered; then made anew


class Recorder:
    """The trace of one gatekeeper's life. `see` takes every event and action of the ledger."""

    def __init__(self, wanted: Recording, number: int, life: str, at_ms: float) -> None:
        self._wanted, self._waiting, self.fault, self.written, self.dropped = wanted, list[trace.Record](), "", 0, 0
        self._waiting.append(["life", round(at_ms, 2), number, life])
        self._size, self._names = 0, dict[str, str]()
        self._open_file()

    def _open_file(self) -> None:
        """Begin a new file; older ones move up by one, the oldest goes."""
        path = self._wanted.path
        try:
            for number in range(self._wanted.keep - 1, 0, -1):
                older = path if number == 1 else f"{path}.{number - 1}"
                if os.path.exists(older):
                    os.replace(older, f"{path}.{number}")
            with open(path, "wb") as file:
                file.write(trace.HEAD)
            self._size = len(trace.HEAD)
        except OSError as problem:
            self.fault = f"{path}: {problem.strerror or problem}"

    def see(self, at: float, thing: object) -> None:
        """Note an event or an action."""
        record = self._record(round(at, 2), thing)
        if record is None or self.fault:
            return
        if len(self._waiting) >= MOST_WAITING:
            self.dropped += 1
            return
        self._waiting.append(record)
        if len(self._waiting) >= WRITE_EVERY:
            self.flush()

    def _record(self, at: float, thing: object) -> trace.Record | None:
        match thing:
            case Arrival():
                return [
                    "arrive",
                    at,
                    thing.id,
                    self._name(thing.customer),
                    thing.class_name,
                    thing.plan_name,
                    thing.units,
                    round(thing.deadline_at_ms - at, 1),
                    int(thing.is_retry),
                    int(thing.allows_hedging),
                ]
            case StartAttempt():
                return ["send", at, thing.id, -1, thing.endpoint]
            case AttemptEnded():
                if thing.result is AttemptResult.OK and thing.final:
                    self._waiting.append(["answer", at, thing.id, "served", ""])
                return ["end", at, thing.id, thing.attempt, thing.result.value, round(thing.duration_ms, 2)]
            case Reject():
                return ["answer", at, thing.id, "refused", thing.reason.value]
            case Fail():
                return ["answer", at, thing.id, "failed", ""]
            case ClientDisconnected():
                return ["answer", at, thing.id, "left", ""]
            case EndpointList() if not thing.failed:
                return ["fleet", at, [[s.id, s.zone, s.cell, s.status.value, s.started_ms] for s in thing.endpoints]]
        return None

    def _name(self, customer: str) -> str:
        name = self._names.get(customer)
        if name is None:
            if len(self._names) >= MOST_NAMES:
                self._names.clear()
            name = self._names[customer] = trace.pseudonym(self._wanted.key, customer)
        return name

    def flush(self) -> None:
        """Write what waits as one block."""
        if self.fault or not self._waiting:
            return
        records, self._waiting = self._waiting, []
        data = trace.block(records)
        try:
            with open(self._wanted.path, "ab") as file:
                file.write(data)
        except OSError as problem:
            self.fault = f"{self._wanted.path}: {problem.strerror or problem}"
            return
        self.written += len(records)
        self._size += len(data)
        if self._size > self._wanted.rotate:
            self._open_file()
