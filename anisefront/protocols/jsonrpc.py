"""JSON-RPC 2.0, one JSON value a line, free of I/O: lines in, calls out; answers in, lines out."""

from __future__ import annotations

import json
from dataclasses import dataclass
from typing import Any

PARSE_ERROR, INVALID_REQUEST, NO_METHOD, INVALID_PARAMS, INTERNAL = -32700, -32600, -32601, -32602, -32603
MOST_BATCH = 256


class TooLong(Exception):
    """A line beyond the limit; the connection can't go on."""


@dataclass(frozen=True, slots=True)
class Call:
    """One call. `id` is None only with `notification`, where no answer may be sent."""

    method: str
    params: Any
    id: Any
    notification: bool


@dataclass(frozen=True, slots=True)
class Invalid:
    """What was no call, with the error that answers it."""

    code: int
    message: str
    id: Any = None


class Lines:
    """Splits bytes into lines of at most `most` bytes."""

    def __init__(self, most: int) -> None:
        self._most, self._rest = most, b""

    def feed(self, data: bytes) -> list[bytes]:
        """The whole lines, without their ends and without empty ones; raises `TooLong`."""
        *lines, rest = (self._rest + data).split(b"\n")
        if len(rest) > self._most or any(len(line) > self._most for line in lines):
            raise TooLong(f"a line of over {self._most} bytes")
        self._rest = rest
        return [line for line in lines if line.strip()]

    def last(self) -> list[bytes]:
        """The line that the end of the connection ends."""
        rest, self._rest = self._rest, b""
        return [rest] if rest.strip() else []


def read(line: bytes) -> tuple[bool, list[Call | Invalid]]:
    """Whether the line is a batch, and its calls."""
    try:
        value = json.loads(line)
    except (ValueError, RecursionError):
        return False, [Invalid(PARSE_ERROR, "parse error: one JSON value a line is due")]
    if not isinstance(value, list):
        return False, [_call(value)]
    if not value:
        return False, [Invalid(INVALID_REQUEST, "an empty batch")]
    if len(value) > MOST_BATCH:
        return False, [Invalid(INVALID_REQUEST, f"a batch of {len(value)} calls, at most {MOST_BATCH}")]
    return True, [_call(part) for part in value]


def _call(value: Any) -> Call | Invalid:
    if not isinstance(value, dict):
        return Invalid(INVALID_REQUEST, "a call is an object")
    number = value.get("id")
    if isinstance(number, bool) or not isinstance(number, str | int | float | type(None)):
        return Invalid(INVALID_REQUEST, "id: a string, a number or null is due")
    if value.get("jsonrpc") != "2.0":
        return Invalid(INVALID_REQUEST, 'jsonrpc: "2.0" is due', number)
    method, params = value.get("method"), value.get("params", {})
    if not isinstance(method, str):
        return Invalid(INVALID_REQUEST, "method: a string is due", number)
    if not isinstance(params, dict | list):
        return Invalid(INVALID_REQUEST, "params: an object or an array is due", number)
    return Call(method, params, number, "id" not in value)


def result(call_id: Any, value: Any) -> dict[str, Any]:
    """The answer to a call that was carried out."""
    return {"jsonrpc": "2.0", "result": value, "id": call_id}


def error(call_id: Any, code: int, message: str, data: Any = None) -> dict[str, Any]:
    """The answer to a call that was not."""
    body = {"code": code, "message": message} | ({} if data is None else {"data": data})
    return {"jsonrpc": "2.0", "error": body, "id": call_id}


def write(answer: dict[str, Any] | list[dict[str, Any]]) -> bytes:
    """One line."""
    return json.dumps(answer, separators=(",", ":"), ensure_ascii=False).encode() + b"\n"
