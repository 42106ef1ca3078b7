"""JSON-RPC 2.0 with one JSON value a line, free of I/O: parses lines to calls and encodes responses to lines."""

from __future__ import annotations

import json
from dataclasses import dataclass
from typing import Any, NamedTuple

from anisefront.protocols.errors import ProtocolError

# Error codes of the specification, section 5.1.
PARSE_ERROR = -32700
INVALID_REQUEST = -32600
METHOD_NOT_FOUND = -32601
INVALID_PARAMS = -32602
MAX_BATCH_CALLS = 256


class LineTooLongError(ProtocolError):
    """A line is longer than the limit; the connection can't continue."""


@dataclass(frozen=True, slots=True)
class Call:
    """One call.

    Attributes:
        method: The name of the method.
        params: An object or an array.
        id: What the response repeats; None also for a notification.
        is_notification: No response must be sent.
    """

    method: str
    params: Any
    id: Any
    is_notification: bool


@dataclass(frozen=True, slots=True)
class InvalidCall:
    """A value that is no call, with the error that answers it."""

    code: int
    message: str
    id: Any = None


class ParsedLine(NamedTuple):
    """The calls of one line, and whether the line is an array of calls."""

    is_batch: bool
    calls: list[Call | InvalidCall]


class LineSplitter:
    """Splits received bytes into lines."""

    def __init__(self, max_line_bytes: int) -> None:
        """Create a splitter at the start of a connection."""
        self._max_line_bytes = max_line_bytes
        self._partial_line = b""

    def feed(self, data: bytes) -> list[bytes]:
        """Return the lines that are complete now, without their ends and without empty ones.

        Raises:
            LineTooLongError: A line, complete or not, is longer than the limit.
        """
        *lines, partial_line = (self._partial_line + data).split(b"\n")
        if any(len(line) > self._max_line_bytes for line in [partial_line, *lines]):
            raise LineTooLongError(f"a line of over {self._max_line_bytes} bytes")
        self._partial_line = partial_line
        return [line for line in lines if line.strip()]

    def finish(self) -> list[bytes]:
        """Return the last line if the end of the connection completes one."""
        line = self._partial_line
        self._partial_line = b""
        return [line] if line.strip() else []


def parse_line(line: bytes) -> ParsedLine:
    """Parse a line to calls; what is no call is an `InvalidCall`."""
    try:
        value = json.loads(line)
    except (ValueError, RecursionError):
        return _invalid_line(PARSE_ERROR, "parse error: one JSON value a line is due")
    if not isinstance(value, list):
        return ParsedLine(False, [_parse_call(value)])
    if not value:
        return _invalid_line(INVALID_REQUEST, "an empty batch")
    if len(value) > MAX_BATCH_CALLS:
        return _invalid_line(INVALID_REQUEST, f"a batch of {len(value)} calls, at most {MAX_BATCH_CALLS}")
    return ParsedLine(True, [_parse_call(each) for each in value])


def _invalid_line(code: int, message: str) -> ParsedLine:
    return ParsedLine(False, [InvalidCall(code, message)])


def _parse_call(value: Any) -> Call | InvalidCall:
    if not isinstance(value, dict):
        return InvalidCall(INVALID_REQUEST, "a call is an object")
    call_id = value.get("id")
    if isinstance(call_id, bool) or not isinstance(call_id, str | int | float | type(None)):
        return InvalidCall(INVALID_REQUEST, "id: a string, a number or null is due")
    if value.get("jsonrpc") != "2.0":
        return InvalidCall(INVALID_REQUEST, 'jsonrpc: "2.0" is due', call_id)
    method = value.get("method")
    if not isinstance(method, str):
        return InvalidCall(INVALID_REQUEST, "method: a string is due", call_id)
    params = value.get("params", {})
    if not isinstance(params, dict | list):
        return InvalidCall(INVALID_REQUEST, "params: an object or an array is due", call_id)
    return Call(method, params, call_id, "id" not in value)


def result_response(call_id: Any, value: Any) -> dict[str, Any]:
    """Return the response to a call that was executed."""
    return {"jsonrpc": "2.0", "result": value, "id": call_id}


def error_response(call_id: Any, code: int, message: str, data: Any = None) -> dict[str, Any]:
    """Return the response to a call that was not executed."""
    error = {"code": code, "message": message}
    if data is not None:
        error["data"] = data
    return {"jsonrpc": "2.0", "error": error, "id": call_id}


def encode_line(response: dict[str, Any] | list[dict[str, Any]]) -> bytes:
    """Encode a response, or the responses to a batch, to one line."""
    try:
        return json.dumps(response, separators=(",", ":"), ensure_ascii=False).encode() + b"\n"
    except UnicodeEncodeError:
        # It repeats a lone surrogate of the call, which JSON can escape and UTF-8 can't represent.
        return json.dumps(response, separators=(",", ":")).encode() + b"\n"
