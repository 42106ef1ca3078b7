"""Responses of the JSON-RPC frontend: the result of a request as the client receives it, and responses to batches."""

from __future__ import annotations

import base64
from collections.abc import Callable
from typing import Any

from anisefront.protocols import http1, jsonrpc
from anisefront.upstream.direct_requests import FinalResponse

# Error codes of this frontend, in the range that JSON-RPC leaves to servers.
REJECTED = -32001  # not executed: can be retried safely
FAILED = -32002  # may have been executed
UNROUTABLE = -32003

Response = dict[str, Any]


def encode_response(call_id: Any, response: FinalResponse) -> Response:
    """Convert the final response of a request to that of its call."""
    if response.message is not None:
        result = {
            "status": response.message.status,
            "headers": response.message.headers,
            **_encode_body(response.message),
            "worker": response.endpoint,
            "attempts": response.attempts,
        }
        return jsonrpc.result_response(call_id, result)
    if response.is_rejected:
        data = {"final": "refused", "reason": response.reason, "retry_after_ms": round(response.retry_after_ms)}
        return jsonrpc.error_response(call_id, REJECTED, "refused: safe to try again", data)
    data = {"final": "failed", "reason": response.reason}
    return jsonrpc.error_response(call_id, FAILED, "failed: it may have run", data)


def _encode_body(message: http1.Message) -> dict[str, str]:
    try:
        return {"body": message.body.decode()}
    except UnicodeDecodeError:
        return {"body_base64": base64.b64encode(message.body).decode()}


class LineResponse:
    """The response to one line, written once all its calls have ended."""

    def __init__(self, write: Callable[[Response | list[Response]], None], is_batch: bool, calls: int) -> None:
        """Create the response to a line.

        Args:
            write: Writes one line to the client.
            is_batch: The line is an array of calls, and so is its response.
            calls: The number of calls in the line.
        """
        self._write = write
        self._is_batch = is_batch
        self._outstanding = calls
        self._responses: list[Response] = []

    def add(self, response: Response | None) -> None:
        """Add one call's response; None for a notification, which has none."""
        self._outstanding -= 1
        if response is not None:
            self._responses.append(response)
        if self._outstanding == 0 and self._responses:
            self._write(self._responses if self._is_batch else self._responses[0])
