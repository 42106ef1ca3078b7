"""gRPC over HTTP/2 as its protocol document specifies it: message framing, timeouts, status. Free of I/O.

Messages are never decompressed: a compressed one is rejected, as the protocol allows a server to.
"""

from __future__ import annotations

import struct
from enum import IntEnum

from anisefront.protocols.errors import ProtocolError
from anisefront.protocols.http2_headers import literal_block

MAX_TIMEOUT_DIGITS = 8
MAX_STATUS_MESSAGE_BYTES = 1024  # before percent-encoding
MAX_REPORTED_TIMEOUT = 16  # bytes
_MESSAGE_PREFIX = struct.Struct(">BL")  # compressed flag, length
_UNITS_MS = {"H": 3_600_000.0, "M": 60_000.0, "S": 1000.0, "m": 1.0, "u": 1e-3, "n": 1e-6}
RESPONSE_HEADERS = literal_block((":status", "200"), ("content-type", "application/grpc"))


class StatusCode(IntEnum):
    """The status codes used here, of gRPC's list."""

    OK = 0
    CANCELLED = 1
    INVALID_ARGUMENT = 3
    DEADLINE_EXCEEDED = 4
    NOT_FOUND = 5
    RESOURCE_EXHAUSTED = 8
    UNIMPLEMENTED = 12
    INTERNAL = 13
    UNAVAILABLE = 14


class GrpcStatusError(ProtocolError):
    """A call ends with a status other than OK.

    Attributes:
        status: The status code.
    """

    def __init__(self, status: StatusCode, reason: str) -> None:
        """Create an error whose text is the status message."""
        super().__init__(reason)
        self.status = status


def encode_message(message: bytes) -> bytes:
    """Encode one message with its prefix."""
    return _MESSAGE_PREFIX.pack(0, len(message)) + message


class MessageDecoder:
    """Splits the data of one stream into messages."""

    __slots__ = ("_max_message_bytes", "_partial_message")

    def __init__(self, max_message_bytes: int) -> None:
        """Create a decoder at the start of a stream."""
        self._max_message_bytes = max_message_bytes
        self._partial_message = b""

    def feed(self, data: bytes) -> list[bytes]:
        """Return the messages that are complete now.

        Raises:
            GrpcStatusError: A message is compressed or too large.
        """
        if self._partial_message:
            data = self._partial_message + data
        messages = []
        offset = 0
        while len(data) - offset >= _MESSAGE_PREFIX.size:
            compressed, size = _MESSAGE_PREFIX.unpack_from(data, offset)
            self._check(compressed, size)
            start = offset + _MESSAGE_PREFIX.size
            if len(data) - start < size:
                break
            messages.append(data[start : start + size])
            offset = start + size
        self._partial_message = data[offset:]
        return messages

    def _check(self, compressed: int, size: int) -> None:
        if compressed:
            raise GrpcStatusError(StatusCode.UNIMPLEMENTED, "compressed messages are not taken: send identity")
        # The length is the client's claim: a message is not awaited that would use more memory than is allowed.
        if size > self._max_message_bytes:
            reason = f"a message of {size} bytes, at most {self._max_message_bytes}"
            raise GrpcStatusError(StatusCode.RESOURCE_EXHAUSTED, reason)

    @property
    def has_partial_message(self) -> bool:
        """Tell whether a message has begun and is not complete."""
        return bool(self._partial_message)


def decode_timeout_ms(text: bytes) -> float | None:
    """Return the milliseconds of a `grpc-timeout` header, None if it is empty.

    Raises:
        GrpcStatusError: The header is malformed.
    """
    if not text:
        return None
    digits = text[:-1]
    unit = text[-1:].decode("latin-1")
    if unit not in _UNITS_MS or not digits.isdigit() or len(digits) > MAX_TIMEOUT_DIGITS:
        reason = f"grpc-timeout {text[:MAX_REPORTED_TIMEOUT]!r} can't be read"
        raise GrpcStatusError(StatusCode.INVALID_ARGUMENT, reason)
    return int(digits) * _UNITS_MS[unit]


def encode_trailers(status: StatusCode, message: str = "") -> bytes:
    """Encode the header block that ends a call, with a percent-encoded status message if there is one."""
    fields = [("grpc-status", str(int(status)))]
    if message:
        fields.append(("grpc-message", _percent_encode(message.encode()[:MAX_STATUS_MESSAGE_BYTES])))
    return literal_block(*fields)


def _percent_encode(message: bytes) -> str:
    """Encode all bytes but those of printable ASCII without the percent sign."""
    return "".join(chr(byte) if 0x20 <= byte <= 0x7E and byte != 0x25 else f"%{byte:02X}" for byte in message)


def encode_trailers_only(status: StatusCode, message: str) -> bytes:
    """Encode a Trailers-Only response, for a call that ends before any message."""
    return RESPONSE_HEADERS + encode_trailers(status, message)


OK_TRAILERS = encode_trailers(StatusCode.OK)
