"""gRPC over HTTP/2 by its published protocol: message framing, time-outs, status. Free of I/O.

It never decompresses: a compressed message is refused, as a server may.
"""

from __future__ import annotations

import struct
from enum import IntEnum

from anisefront.protocols.http2_headers import literal_block

_PREFIX = struct.Struct(">BL")
_UNITS_MS = {"H": 3_600_000.0, "M": 60_000.0, "S": 1000.0, "m": 1.0, "u": 1e-3, "n": 1e-6}
ANSWER_HEADERS = literal_block((":status", "200"), ("content-type", "application/grpc"))


class Status(IntEnum):
    """The codes used here, of gRPC's published list."""

    OK = 0
    CANCELLED = 1
    INVALID_ARGUMENT = 3
    DEADLINE_EXCEEDED = 4
    NOT_FOUND = 5
    RESOURCE_EXHAUSTED = 8
    UNIMPLEMENTED = 12
    INTERNAL = 13
    UNAVAILABLE = 14


class CallFault(Exception):
    """A call that ends with a status other than OK."""

    def __init__(self, status: Status, why: str) -> None:
        super().__init__(why)
        self.status = status


def pack(message: bytes) -> bytes:
    """One message with its prefix."""
    return _PREFIX.pack(0, len(message)) + message


class Unpacker:
    """The messages in the DATA of one stream."""

    __slots__ = ("_most", "_rest")

    def __init__(self, most: int) -> None:
        self._most, self._rest = most, b""

    def feed(self, data: bytes) -> list[bytes]:
        """The messages that are now whole; raises `CallFault` where one can't be taken."""
        data = self._rest + data if self._rest else data
        at, messages = 0, []
        while len(data) - at >= _PREFIX.size:
            packed, size = _PREFIX.unpack_from(data, at)
            if packed:
                raise CallFault(Status.UNIMPLEMENTED, "compressed messages are not taken: send identity")
            if size > self._most:
                raise CallFault(Status.RESOURCE_EXHAUSTED, f"a message of {size} bytes, at most {self._most}")
            if len(data) - at - _PREFIX.size < size:
                break
            messages.append(data[at + _PREFIX.size : at + _PREFIX.size + size])
            at += _PREFIX.size + size
        self._rest = data[at:]
        return messages

    @property
    def partial(self) -> bool:
        """True while a message has begun and not ended."""
        return bool(self._rest)


def timeout_ms(text: bytes) -> float | None:
    """The milliseconds of a `grpc-timeout` header, None for none; raises `CallFault` for what it can't be."""
    if not text:
        return None
    digits, unit = text[:-1], text[-1:].decode("latin-1")
    if unit not in _UNITS_MS or not digits.isdigit() or len(digits) > 8:
        raise CallFault(Status.INVALID_ARGUMENT, f"grpc-timeout {text[:16]!r} can't be read")
    return int(digits) * _UNITS_MS[unit]


def trailers(status: Status, message: str = "") -> bytes:
    """The header block that ends a call. The message is percent-encoded as the protocol has it."""
    fields = [("grpc-status", str(int(status)))]
    if message:
        fields.append(
            (
                "grpc-message",
                "".join(
                    chr(byte) if 0x20 <= byte <= 0x7E and byte != 0x25 else f"%{byte:02X}"
                    for byte in message.encode()[:1024]
                ),
            )
        )
    return literal_block(*fields)


def only_trailers(status: Status, message: str) -> bytes:
    """An answer that is its trailers, for a call that ends before any message."""
    return literal_block((":status", "200"), ("content-type", "application/grpc")) + trailers(status, message)


OK_TRAILERS = trailers(Status.OK)
