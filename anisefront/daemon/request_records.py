"""Encoding of the requests and responses that gateway instances exchange, as positional JSON lists."""

from __future__ import annotations

import base64
import hashlib
import json
import math
from collections.abc import Container
from dataclasses import dataclass
from typing import Any

from anisefront.gateway.pending_request import PendingRequest
from anisefront.protocols import http1
from anisefront.upstream.direct_requests import DirectRequest, FinalResponse

RECORD_VERSION = 1
DIGEST_BYTES = 16
MAX_INTEGER = 2**63  # instances never write a larger one


@dataclass(frozen=True, slots=True)
class RequestRecord:
    """What a backup needs to continue a request. The order of the fields is that of the encoded list.

    The contents of `data` depend on `handler_kind`, the kind of attempt handler that executes the request.
    """

    handler_kind: str
    idempotency_key: str
    customer: str
    class_name: str
    plan_name: str
    units: float
    first_gateway: int
    spread: int
    data: dict[str, Any]

    @classmethod
    def of(cls, request: PendingRequest) -> RequestRecord:
        """Return the record of a request that has a `ReplicaRecord`."""
        arrival = request.arrival
        return cls(
            request.replica.handler_kind,
            request.replica.idempotency_key,
            arrival.customer,
            arrival.class_name,
            arrival.plan_name,
            arrival.units,
            arrival.first_gateway,
            arrival.spread,
            request.replica.data,
        )

    def encode(self) -> bytes:
        """Encode the record."""
        fields = [getattr(self, name) for name in self.__slots__]
        return json.dumps([RECORD_VERSION, *fields], separators=(",", ":")).encode()

    def direct_request(self) -> DirectRequest | None:
        """Return the HTTP request of a direct request; None if the data are malformed."""
        data = self.data
        if not all(isinstance(data.get(name), str) for name in ("method", "target", "body")):
            return None
        body = _decode_body(data["body"])
        if body is None or not _is_header_table(data.get("headers")):
            return None
        return DirectRequest(data["method"], data["target"], data["headers"], body)

    def delegating_incarnation(self) -> str | None:
        """Return the process incarnation that named the attempts of a delegated request; None if it is missing."""
        incarnation = self.data.get("life")
        return incarnation if isinstance(incarnation, str) else None


_RECORD_FIELDS = len(RequestRecord.__slots__)
_RESPONSE_FIELDS = 6
_MESSAGE_FIELDS = 3  # status, headers, body in base64


def decode_record(data: bytes, class_names: Container[str]) -> RequestRecord | None:
    """Decode a record; None if it is malformed, has another version, or its class is not configured here.

    Several versions run during a rolling restart: one unreadable record must not prevent the takeover of others.
    """
    document = _load(data)
    if not isinstance(document, list) or len(document) != 1 + _RECORD_FIELDS or document[0] != RECORD_VERSION:
        return None
    record = RequestRecord(*document[1:])
    if not _is_well_formed(record) or record.class_name not in class_names:
        return None
    return record


def _load(data: bytes) -> Any:
    """Return the JSON value of some bytes; None if they are malformed."""
    try:
        return json.loads(data)
    except (ValueError, RecursionError):
        return None


def _is_well_formed(record: RequestRecord) -> bool:
    texts = (record.handler_kind, record.idempotency_key, record.customer, record.class_name, record.plan_name)
    if not all(isinstance(text, str) for text in texts):
        return False
    if not _is_finite(record.units) or not isinstance(record.data, dict):
        return False
    return _is_integer(record.first_gateway) and _is_integer(record.spread)


def _is_header_table(value: Any) -> bool:
    return isinstance(value, dict) and all(isinstance(text, str) for text in value.values())


def _is_integer(value: Any) -> bool:
    return isinstance(value, int) and not isinstance(value, bool) and abs(value) <= MAX_INTEGER


def _is_finite(value: Any) -> bool:
    """Return whether a value is a finite number; booleans are not."""
    if isinstance(value, int):
        return _is_integer(value)
    return isinstance(value, float) and math.isfinite(value)


def _decode_body(text: str) -> bytes | None:
    try:
        return base64.b64decode(text, validate=True)
    except ValueError:
        return None


def encode_response(response: FinalResponse) -> bytes:
    """Encode a response for another instance."""
    message = response.message
    encoded_message = (
        None if message is None else [message.status, message.headers, base64.b64encode(message.body).decode()]
    )
    return json.dumps(
        [
            encoded_message,
            response.endpoint,
            response.attempts,
            response.is_rejected,
            response.retry_after_ms,
            response.reason,
        ],
        separators=(",", ":"),
    ).encode()


def decode_response(data: bytes) -> FinalResponse | None:
    """Decode a response; None if the bytes are malformed."""
    document = _load(data)
    if not isinstance(document, list) or len(document) != _RESPONSE_FIELDS:
        return None
    encoded_message, endpoint, attempts, is_rejected, retry_after_ms, reason = document
    if not isinstance(endpoint, str) or not isinstance(reason, str) or not isinstance(is_rejected, bool):
        return None
    if not _is_integer(attempts) or not _is_finite(retry_after_ms):
        return None
    message = None
    if encoded_message is not None:
        message = _decode_message(encoded_message)
        if message is None:
            return None
    return FinalResponse(message, endpoint, attempts, is_rejected, retry_after_ms, reason)


def _decode_message(encoded_message: Any) -> http1.Message | None:
    if not isinstance(encoded_message, list) or len(encoded_message) != _MESSAGE_FIELDS:
        return None
    status, headers, encoded_body = encoded_message
    if not _is_integer(status) or not _is_header_table(headers) or not isinstance(encoded_body, str):
        return None
    body = _decode_body(encoded_body)
    return None if body is None else http1.Message("", "", status, headers, body, True)


def content_digest(request: DirectRequest) -> bytes:
    """Return a digest of a request's content, by which different requests of one identity are distinguished."""
    digest = hashlib.blake2b(digest_size=DIGEST_BYTES)
    for part in (request.method.encode(), request.target.encode(), request.body):
        digest.update(len(part).to_bytes(4, "big") + part)
    return digest.digest()
