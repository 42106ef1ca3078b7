"""Encoded forms of requests and responses that gateway instances exchange, as JSON lists by position."""

from __future__ import annotations

import base64
import hashlib
import json
from collections.abc import Container
from dataclasses import dataclass
from typing import Any

from anisefront.gateway.pending_request import PendingRequest
from anisefront.protocols import http1
from anisefront.upstream.direct_requests import DirectRequest, FinalResponse

RECORD_VERSION = 1
DIGEST_BYTES = 16


@dataclass(frozen=True, slots=True)
class RequestRecord:
    """What a backup needs to continue a request. The order of the fields is that of the encoded list.

    `data` depends on `carrier`, the kind of upstream that executes the request.
    """

    carrier: str
    identity: str
    customer: str
    class_name: str
    plan_name: str
    units: float
    first_gateway: int
    spread: int
    data: dict[str, Any]

    @classmethod
    def of(cls, entry: PendingRequest) -> RequestRecord:
        """Return the record of a request that carries its work."""
        arrival = entry.arrival
        return cls(
            entry.replica.kind,
            entry.replica.identity,
            arrival.customer,
            arrival.class_name,
            arrival.plan_name,
            arrival.units,
            arrival.first_gateway,
            arrival.spread,
            entry.replica.data,
        )

    def encode(self) -> bytes:
        """Encode the record."""
        fields = [getattr(self, name) for name in self.__slots__]
        return json.dumps([RECORD_VERSION, *fields], separators=(",", ":")).encode()

    def job(self) -> DirectRequest:
        """Return the call of a request that our own connection pool executes."""
        data = self.data
        return DirectRequest(data["method"], data["target"], data["headers"], base64.b64decode(data["body"]))


_RECORD_FIELDS = len(RequestRecord.__slots__)


def decode_record(data: bytes, class_names: Container[str]) -> RequestRecord | None:
    """Decode a record; None for one of another version of this program, or of a class that is not configured here.

    Versions run side by side during a rolling restart: one record must not prevent that others are taken over.
    """
    try:
        version, *fields = json.loads(data)
    except (ValueError, TypeError):
        return None
    if version != RECORD_VERSION or len(fields) != _RECORD_FIELDS:
        return None
    record = RequestRecord(*fields)
    return record if record.class_name in class_names else None


def encode_response(answer: FinalResponse) -> bytes:
    """Encode a response for another instance."""
    message = answer.message
    served = None if message is None else [message.status, message.headers, base64.b64encode(message.body).decode()]
    return json.dumps(
        [served, answer.endpoint, answer.attempts, answer.is_rejected, answer.retry_after_ms, answer.reason],
        separators=(",", ":"),
    ).encode()


def decode_response(data: bytes) -> FinalResponse | None:
    """Decode a response; None where the bytes are malformed."""
    try:
        served, *rest = json.loads(data)
        return FinalResponse(None if served is None else _decode_message(served), *rest)
    except (ValueError, TypeError, IndexError):
        return None


def _decode_message(served: list[Any]) -> http1.Message:
    status = served[0]
    headers = served[1]
    body = base64.b64decode(served[2])
    return http1.Message("", "", status, headers, body, True)


def content_digest(job: DirectRequest) -> bytes:
    """Return a digest of what a call asks for, by which different calls of one identity are distinguished."""
    digest = hashlib.blake2b(digest_size=DIGEST_BYTES)
    for part in (job.method.encode(), job.target.encode(), job.body):
        digest.update(len(part).to_bytes(4, "big") + part)
    return digest.digest()
