"""Adapter between the simulator's text protocol and the controller.

It reads batches of messages, passes them as events to one `Controller` per simulated gateway instance, and writes the
resulting actions. It makes no decisions. An invalid message ends the process with an error message.
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

_ENDPOINT_STATUSES = {
    "Running": EndpointStatus.READY,
    "Stopping": EndpointStatus.DRAINING,
    "Deleted": EndpointStatus.REMOVED,
}
_RETRY_BIT = 2  # in the field stateBits of REQUEST: the client has sent the request before


class WireError(Exception):
    """An invalid message; the text names the message and the field."""


class ControllerError(Exception):
    """The controller raised an exception; the text is the reply to the simulator."""


# ---- field readers -------------------------------------------------------------------------------------


def _read_number(text: str) -> float:
    if text == "-":
        return 0.0
    value = float(text)
    if not math.isfinite(value):
        raise ValueError(text)
    return value


def _read_integer(text: str) -> int:
    return 0 if text == "-" else int(text)


def _read_non_negative_integer(text: str) -> int:
    value = int(text)
    if value < 0:
        raise ValueError(text)
    return value


def _read_name(text: str) -> str:
    if not text or text == "-":
        raise ValueError(text)
    return text


def _read_text(text: str) -> str:
    return text


def _read_flag(text: str) -> bool:
    if text not in ("0", "1", "-"):
        raise ValueError(text)
    return text == "1"


def _read_bytes(text: str) -> bytes:
    return b"" if text == "-" else bytes.fromhex(text)


def _read_numbers(text: str) -> tuple[float, ...]:
    return () if text in ("-", "") else tuple(_read_number(part) for part in text.split(","))


def _read_result(text: str) -> AttemptResult:
    return AttemptResult(text)


def _read_list_mode(text: str) -> str:
    if text not in ("delta", "full", "cached", "failed"):
        raise ValueError(text)
    return text


def _read_endpoint_status(text: str) -> EndpointStatus:
    return _ENDPOINT_STATUSES[text]


Reader = Callable[[str], Any]
# Fields of each message, in the order in which they are sent.
_MESSAGE_FIELDS: dict[str, tuple[tuple[str, Reader], ...]] = {
    "SYNC": (("clock", _read_number),),
    "YOUR_TURN": (),
    "SWITCH_TO": (("gatekeeper", _read_non_negative_integer),),
    "CONFIGURE": (("salt", _read_integer), ("info", _read_text)),
    "KILL": (),
    "FLEET": (("mode", _read_list_mode), ("rev", _read_integer), ("rows", _read_integer)),
    "WORKER": (
        ("worker", _read_name),
        ("zone", _read_text),
        ("sku", _read_text),
        ("pod", _read_integer),
        ("health", _read_endpoint_status),
        ("share", _read_number),
        ("onlineSinceMs", _read_number),
    ),
    "REQUEST": (
        ("requestId", _read_non_negative_integer),
        ("setFrom", _read_number),
        ("doors", _read_number),
        ("sizeUnits", _read_number),
        ("dueMs", _read_number),
        ("stateBits", _read_integer),
        ("member", _read_name),
        ("category", _read_name),
        ("gradeOfService", _read_name),
    ),
    "ACK_FIRST": (
        ("requestId", _read_non_negative_integer),
        ("worker", _read_name),
        ("rttMs", _read_number),
        ("roundNo", _read_non_negative_integer),
    ),
    "VERDICT": (
        ("requestId", _read_non_negative_integer),
        ("roundNo", _read_non_negative_integer),
        ("actual", _read_number),
        ("worker", _read_name),
        ("rttMs", _read_number),
        ("result", _read_result),
        ("final", _read_flag),
        ("quotaUse", _read_integer),
        ("load", _read_numbers),
    ),
    "CLIENT_GONE": (("requestId", _read_non_negative_integer),),
    "FIRED": (("name", _read_name),),
    "PONG": (("worker", _read_name), ("rttMs", _read_number), ("result", _read_result), ("load", _read_numbers)),
    "FROM_PEER": (("originPeer", _read_non_negative_integer), ("data", _read_bytes)),
    "LEDGER_REPLY": (
        ("nowAt", _read_number),
        ("result", _read_result),
        ("rttMs", _read_number),
        ("counter", _read_name),
    ),
}
_MESSAGES_ENDING_IN_TEXT = {"CONFIGURE"}


def _parse_message(name: str, parts: list[str]) -> list[Any]:
    """Return the field values of one message."""
    fields = _MESSAGE_FIELDS[name]
    if name in _MESSAGES_ENDING_IN_TEXT and len(parts) > len(fields):
        parts = [*parts[: len(fields) - 1], "\t".join(parts[len(fields) - 1 :])]
    if len(parts) != len(fields):
        raise WireError(f"{name}: expected {len(fields)} fields, got {len(parts)}")
    values = []
    for (field, read), part in zip(fields, parts, strict=True):
        try:
            values.append(read(part))
        except (ValueError, KeyError) as error:
            raise WireError(f"{name}: field {field}: invalid value {part[:80]!r}") from error
    return values


# ---- messages and batches ------------------------------------------------------------------------------------


def _parse_json(info: str) -> object:
    try:
        return json.loads(info)
    except ValueError as error:
        raise ValueError("info: invalid JSON") from error


def _event_of(name: str, values: list[Any]) -> Event:
    """Return the event for one message to an instance."""
    if name == "REQUEST":
        request_id, first_gateway, spread, units, deadline_at_ms, flags, customer, class_name, plan_name = values
        return Arrival(
            request_id,
            customer,
            class_name,
            plan_name,
            deadline_at_ms,
            units,
            int(first_gateway),
            int(spread),
            bool(flags & _RETRY_BIT),
        )
    if name == "VERDICT":
        request_id, attempt, actual_units, endpoint, duration_ms, result, final, quota_use, load = values
        return AttemptEnded(request_id, attempt, endpoint, duration_ms, result, final, actual_units, quota_use, load)
    if name == "ACK_FIRST":
        request_id, endpoint, _duration_ms, attempt = values
        return ResponseStarted(request_id, attempt, endpoint)
    if name == "CLIENT_GONE":
        return ClientDisconnected(values[0])
    if name == "FIRED":
        return TimerFired(values[0])
    if name == "FROM_PEER":
        return PeerMessage(values[0], values[1])
    if name == "PONG":
        return ProbeEnded(*values)
    return CounterReply(values[3])


def _reply_of(action: Action) -> str:
    """Return the reply line for one action."""
    match action:
        case StartAttempt(request_id, endpoint, timeout_ms):
            return f"HAND_OFF\t{request_id}\t{endpoint}\t{timeout_ms:.3f}"
        case Reject(request_id, retry_after_ms):
            return f"DENY\t{request_id}\t{retry_after_ms:.3f}"
        case Fail(request_id):
            return f"FINISH_ERROR\t{request_id}"
        case CancelAttempt(request_id, attempt):
            return f"DROP_ATTEMPT\t{request_id}\t{attempt}"
        case SetTimer(delay_ms, name):
            return f"SET_ALARM\t{delay_ms:.3f}\t{name}"
        case SendToPeer(receiver, data):
            return f"NOTIFY\t{receiver}\t{data.hex() or '-'}"
        case ProbeEndpoint(endpoint):
            return f"INSPECT\t{endpoint}"
        case Subscribe():
            return "TRACK\t1"


class SimulatorHost:
    """Hosts any number of independent gateway instances in this process."""

    def __init__(self, source: Iterator[str], sink: TextIO, warnings: TextIO) -> None:
        """Read lines from `source`, write replies to `sink`, and report skipped messages to `warnings`."""
        self._source = source
        self._sink = sink
        self._warnings = warnings
        self._instances: dict[int, Controller] = {}
        self._reported_names: set[str] = set()

    def run(self) -> None:
        """Process batches until the input ends."""
        for line in self._source:
            name, *parts = line.rstrip("\n").split("\t")
            if name != "SYNC":
                if name:
                    self._skip_message(name)
                continue
            if not self._process_batch(_parse_message("SYNC", parts)[0]):
                return

    def _skip_message(self, name: str) -> None:
        if name in _MESSAGE_FIELDS:
            raise WireError(f"{name}: unexpected at this place of the input")
        if name not in self._reported_names:
            self._reported_names.add(name)
            print(f"simhost: unknown message {name[:80]!r} is skipped", file=self._warnings)

    def _process_batch(self, now_ms: float) -> bool:
        """Read one batch and write its replies; return False if the input ends before the batch does."""
        events: dict[int, list[Event]] = {}
        replies: list[str] = []
        current: int | None = None
        for line in self._source:
            name, *parts = line.rstrip("\n").split("\t")
            if name == "YOUR_TURN":
                for number in events:
                    self._process_events(number, now_ms, events[number], replies)
                self._sink.write("".join(reply + "\n" for reply in replies) + "FINISHED\n")
                self._sink.flush()
                return True
            if name not in _MESSAGE_FIELDS or name in ("SYNC", "WORKER"):
                self._skip_message(name)
                continue
            values = _parse_message(name, parts)
            if name == "SWITCH_TO":
                current = values[0]
            elif current is None:
                raise WireError(f"{name}: no SWITCH_TO before this message")
            else:
                self._process_message(name, values, current, events)
        return False

    def _process_message(self, name: str, values: list[Any], instance: int, events: dict[int, list[Event]]) -> None:
        """Process one message to an instance, and queue its event, if any."""
        if name == "KILL":
            self._instances.pop(instance, None)
            events.pop(instance, None)
        elif name == "CONFIGURE":
            events.pop(instance, None)
            self._start_instance(instance, values[0], values[1])
            events[instance] = []
        elif name == "FLEET":
            events.setdefault(instance, []).append(self._endpoint_list(*values))
        else:
            events.setdefault(instance, []).append(_event_of(name, values))

    def _endpoint_list(self, mode: str, _revision: int, count: int) -> EndpointList:
        endpoints = []
        while len(endpoints) < count:
            line = next(self._source, None)
            name, *parts = (line or "").rstrip("\n").split("\t")
            if name != "WORKER":
                raise WireError(f"FLEET: field rows: expected {count} WORKER messages, got {len(endpoints)}")
            endpoint_id, zone, _sku, cell, status, weight, started_ms = _parse_message("WORKER", parts)
            endpoints.append(Endpoint(endpoint_id, zone, cell, status, weight, started_ms))
        return EndpointList(tuple(endpoints), complete=mode in ("full", "cached"), failed=mode == "failed")

    def _start_instance(self, number: int, seed: int, info: str) -> None:
        try:
            self._instances[number] = Controller(read_settings(_parse_json(info)), seed)
        except ValueError as error:
            raise WireError(f"CONFIGURE: field {error}") from error

    def _process_events(self, number: int, now_ms: float, events: list[Event], replies: list[str]) -> None:
        if number not in self._instances:
            raise WireError(f"SWITCH_TO: field gatekeeper: instance {number} is not configured")
        try:
            actions = self._instances[number].handle(now_ms, events)
        except Exception as error:
            raise ControllerError(
                f"FROM\t{number}\nBUG\tinstance {number}: {type(error).__name__}: {' '.join(str(error).split())}"
            ) from error
        if actions:
            replies.append(f"FROM\t{number}")
            replies.extend(_reply_of(action) for action in actions)


def main() -> int:
    """Process batches from standard input and return the exit code."""
    sys.stdin.reconfigure(encoding="utf-8", newline="\n")  # type: ignore[union-attr]
    sys.stdout.reconfigure(encoding="utf-8", newline="\n")  # type: ignore[union-attr]
    try:
        SimulatorHost(iter(sys.stdin.readline, ""), sys.stdout, sys.stderr).run()
    except (WireError, UnicodeDecodeError) as error:
        print(f"simhost: {error}", file=sys.stderr)
        return 2
    except ControllerError as error:
        import traceback

        traceback.print_exception(error.__cause__, file=sys.stderr)
        print(f"{error}\nFINISHED", flush=True)
        return 1
    return 0


if __name__ == "__main__":
    sys.exit(main())
