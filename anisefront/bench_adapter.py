"""The simulator's wire: reads batches, hosts one Controller an instance, writes the replies.

Nothing here decides anything. What cannot be read ends the process with one plain message.
"""

from __future__ import annotations

import json
import math
import sys
from collections.abc import Callable, Iterator
from typing import Any, TextIO

from anisefront.policy.actions import (
    Action,
    CancelAttempt,
    Fail,
    ProbeEndpoint,
    Reject,
    SendToPeer,
    SetTimer,
    StartAttempt,
    Subscribe,
)
from anisefront.policy.controller import Controller
from anisefront.policy.events import (
    Arrival,
    AttemptEnded,
    AttemptResult,
    ClientDisconnected,
    CounterReply,
    Endpoint,
    EndpointList,
    EndpointStatus,
    Event,
    PeerMessage,
    ProbeEnded,
    ResponseStarted,
    TimerFired,
)
from anisefront.policy.settings_document import read_settings

_STATES = {"Running": EndpointStatus.READY, "Stopping": EndpointStatus.DRAINING, "Deleted": EndpointStatus.REMOVED}
_REPEATED_BIT = 2


class WireError(Exception):
    """A line that cannot be read: names the message and the field."""


class ControllerError(Exception):
    """The controller raised an exception; the text is the reply for the simulator."""


# ---- values -------------------------------------------------------------------------------------


def _number(text: str) -> float:
    if text == "-":
        return 0.0
    value = float(text)
    if not math.isfinite(value):
        raise ValueError(text)
    return value


def _whole(text: str) -> int:
    return 0 if text == "-" else int(text)


def _natural(text: str) -> int:
    value = int(text)
    if value < 0:
        raise ValueError(text)
    return value


def _name(text: str) -> str:
    if not text or text == "-":
        raise ValueError(text)
    return text


def _text(text: str) -> str:
    return text


def _flag(text: str) -> bool:
    if text not in ("0", "1", "-"):
        raise ValueError(text)
    return text == "1"


def _bytes(text: str) -> bytes:
    return b"" if text == "-" else bytes.fromhex(text)


def _row(text: str) -> tuple[float, ...]:
    return () if text in ("-", "") else tuple(_number(part) for part in text.split(","))


def _result(text: str) -> AttemptResult:
    return AttemptResult(text)


def _mode(text: str) -> str:
    if text not in ("delta", "full", "cached", "failed"):
        raise ValueError(text)
    return text


def _state(text: str) -> EndpointStatus:
    return _STATES[text]


Reader = Callable[[str], Any]
# The fields of each message, in the order of the wire.
_FIELDS: dict[str, tuple[tuple[str, Reader], ...]] = {
    "SYNC": (("clock", _number),),
    "YOUR_TURN": (),
    "SWITCH_TO": (("gatekeeper", _natural),),
    "CONFIGURE": (("salt", _whole), ("info", _text)),
    "KILL": (),
    "FLEET": (("mode", _mode), ("rev", _whole), ("rows", _whole)),
    "WORKER": (
        ("worker", _name),
        ("zone", _text),
        ("sku", _text),
        ("pod", _whole),
        ("health", _state),
        ("share", _number),
        ("onlineSinceMs", _number),
    ),
    "REQUEST": (
        ("requestId", _natural),
        ("setFrom", _number),
        ("doors", _number),
        ("sizeUnits", _number),
        ("dueMs", _number),
        ("stateBits", _whole),
        ("member", _name),
        ("category", _name),
        ("gradeOfService", _name),
    ),
    "ACK_FIRST": (("requestId", _natural), ("worker", _name), ("rttMs", _number), ("roundNo", _natural)),
    "VERDICT": (
        ("requestId", _natural),
        ("roundNo", _natural),
        ("actual", _number),
        ("worker", _name),
        ("rttMs", _number),
        ("result", _result),
        ("final", _flag),
        ("quotaUse", _whole),
        ("load", _row),
    ),
    "CLIENT_GONE": (("requestId", _natural),),
    "FIRED": (("name", _name),),
    "PONG": (("worker", _name), ("rttMs", _number), ("result", _result), ("load", _row)),
    "FROM_PEER": (("originPeer", _natural), ("data", _bytes)),
    "LEDGER_REPLY": (("nowAt", _number), ("result", _result), ("rttMs", _number), ("counter", _name)),
}
_LAST_IS_TEXT = {"CONFIGURE"}


def _values(name: str, parts: list[str]) -> list[Any]:
    """Return the values of one message."""
    fields = _FIELDS[name]
    if name in _LAST_IS_TEXT and len(parts) > len(fields):
        parts = [*parts[: len(fields) - 1], "\t".join(parts[len(fields) - 1 :])]
    if len(parts) != len(fields):
        raise WireError(f"{name}: {len(parts)} fields where {len(fields)} are due")
    values = []
    for (field, read), part in zip(fields, parts, strict=True):
        try:
            values.append(read(part))
        except (ValueError, KeyError) as problem:
            raise WireError(f"{name}: field {field}: cannot read {part[:80]!r}") from problem
    return values


# ---- batches ------------------------------------------------------------------------------------


def _object(info: str) -> object:
    try:
        return json.loads(info)
    except ValueError as problem:
        raise ValueError("info: no JSON") from problem


def _event(name: str, values: list[Any]) -> Event:
    """Return the controller's event for one message of an instance."""
    if name == "REQUEST":
        number, first, spread, units, due, bits, customer, category, plan = values
        return Arrival(
            number, customer, category, plan, due, units, int(first), int(spread), bool(bits & _REPEATED_BIT)
        )
    if name == "VERDICT":
        number, attempt, actual, worker, took, result, final, used, load = values
        return AttemptEnded(number, attempt, worker, took, result, final, actual, used, load)
    if name == "ACK_FIRST":
        number, worker, _took, attempt = values
        return ResponseStarted(number, attempt, worker)
    if name == "CLIENT_GONE":
        return ClientDisconnected(values[0])
    if name == "FIRED":
        return TimerFired(values[0])
    if name == "FROM_PEER":
        return PeerMessage(values[0], values[1])
    if name == "PONG":
        return ProbeEnded(*values)
    return CounterReply(values[3])


def _reply(action: Action) -> str:
    """Return the line of the simulator's wire for one action."""
    match action:
        case StartAttempt(number, server, allow):
            return f"HAND_OFF\t{number}\t{server}\t{allow:.3f}"
        case Reject(number, retry):
            return f"DENY\t{number}\t{retry:.3f}"
        case Fail(number):
            return f"FINISH_ERROR\t{number}"
        case CancelAttempt(number, attempt):
            return f"DROP_ATTEMPT\t{number}\t{attempt}"
        case SetTimer(after, name):
            return f"SET_ALARM\t{after:.3f}\t{name}"
        case SendToPeer(receiver, data):
            return f"NOTIFY\t{receiver}\t{data.hex() or '-'}"
        case ProbeEndpoint(server):
            return f"INSPECT\t{server}"
        case Subscribe():
            return "TRACK\t1"


class Host:
    """Many instances that share nothing but this process."""

    def __init__(self, source: Iterator[str], sink: TextIO, warnings: TextIO) -> None:
        """Read lines from `source`, write replies to `sink` and skipped messages to `warnings`."""
        self._source = source
        self._sink = sink
        self._warnings = warnings
        self._instances: dict[int, Controller] = {}
        self._reported: set[str] = set()

    def run(self) -> None:
        """Serve batches until the input ends."""
        for line in self._source:
            name, *parts = line.rstrip("\n").split("\t")
            if name != "SYNC":
                if name:
                    self._skip(name)
                continue
            if not self._batch(_values("SYNC", parts)[0]):
                return

    def _skip(self, name: str) -> None:
        if name in _FIELDS:
            raise WireError(f"{name}: out of place")
        if name not in self._reported:
            self._reported.add(name)
            print(f"simhost: message {name[:80]!r} is not known and is skipped", file=self._warnings)

    def _batch(self, now: float) -> bool:
        """Read one batch to its end and answer it; False when the input ends inside it."""
        events: dict[int, list[Event]] = {}
        replies: list[str] = []
        current: int | None = None
        for line in self._source:
            name, *parts = line.rstrip("\n").split("\t")
            if name == "YOUR_TURN":
                for number in events:
                    self._turn(number, now, events[number], replies)
                self._sink.write("".join(reply + "\n" for reply in replies) + "FINISHED\n")
                self._sink.flush()
                return True
            if name not in _FIELDS or name in ("SYNC", "WORKER"):
                self._skip(name)
                continue
            values = _values(name, parts)
            if name == "SWITCH_TO":
                current = values[0]
            elif current is None:
                raise WireError(f"{name}: no SWITCH_TO before it")
            else:
                self._take(name, values, current, events)
        return False

    def _take(self, name: str, values: list[Any], instance: int, events: dict[int, list[Event]]) -> None:
        """Take in one message for an instance, and queue the event that it makes."""
        if name == "KILL":
            self._instances.pop(instance, None)
            events.pop(instance, None)
        elif name == "CONFIGURE":
            events.pop(instance, None)
            self._start(instance, values[0], values[1])
            events[instance] = []
        elif name == "FLEET":
            events.setdefault(instance, []).append(self._endpoint_list(*values))
        else:
            events.setdefault(instance, []).append(_event(name, values))

    def _endpoint_list(self, mode: str, _rev: int, count: int) -> EndpointList:
        endpoints = []
        while len(endpoints) < count:
            line = next(self._source, None)
            name, *parts = (line or "").rstrip("\n").split("\t")
            if name != "WORKER":
                raise WireError(f"FLEET: field rows: {count} told, {len(endpoints)} came")
            worker, zone, _sku, cell, state, weight, started = _values("WORKER", parts)
            endpoints.append(Endpoint(worker, zone, cell, state, weight, started))
        return EndpointList(tuple(endpoints), complete=mode in ("full", "cached"), failed=mode == "failed")

    def _start(self, number: int, salt: int, info: str) -> None:
        try:
            self._instances[number] = Controller(read_settings(_object(info)), salt)
        except ValueError as problem:
            raise WireError(f"CONFIGURE: field {problem}") from problem

    def _turn(self, number: int, now: float, events: list[Event], replies: list[str]) -> None:
        if number not in self._instances:
            raise WireError(f"SWITCH_TO: field gatekeeper: {number} was not configured")
        try:
            actions = self._instances[number].handle(now, events)
        except Exception as problem:
            raise ControllerError(
                f"FROM\t{number}\nBUG\tinstance {number}: {type(problem).__name__}: {' '.join(str(problem).split())}"
            ) from problem
        if actions:
            replies.append(f"FROM\t{number}")
            replies.extend(_reply(action) for action in actions)


def main() -> int:
    """Serve standard input and return the exit code."""
    sys.stdin.reconfigure(encoding="utf-8", newline="\n")  # type: ignore[union-attr]
    sys.stdout.reconfigure(encoding="utf-8", newline="\n")  # type: ignore[union-attr]
    try:
        Host(iter(sys.stdin.readline, ""), sys.stdout, sys.stderr).run()
    except (WireError, UnicodeDecodeError) as problem:
        print(f"simhost: {problem}", file=sys.stderr)
        return 2
    except ControllerError as fault:
        import traceback

        traceback.print_exception(fault.__cause__, file=sys.stderr)
        print(f"{fault}\nFINISHED", flush=True)
        return 1
    return 0


if __name__ == "__main__":
    sys.exit(main())
