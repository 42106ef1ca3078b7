"""HTTP/2 frames (RFC 9113, section 4 and 6): layout, types, flags, error codes, and splitting input into frames."""

from __future__ import annotations

import struct
from enum import IntEnum
from typing import NamedTuple

from anisefront.protocols.errors import ProtocolError

PREFACE = b"PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n"  # section 3.4
FRAME_HEADER_BYTES = 9
MAX_UINT31 = 2**31 - 1  # of stream identifiers and windows; the highest bit is reserved

# Flags; which of them a frame can have depends on its type.
END_STREAM = 0x1
ACK = 0x1
END_HEADERS = 0x4
PADDED = 0x8
PRIORITY_FLAG = 0x20

_FRAME_HEADER = struct.Struct(">HBBBL")  # length in two parts, type, flags, stream identifier
UINT32 = struct.Struct(">L")


class FrameType(IntEnum):
    """Frame types of section 6."""

    DATA = 0
    HEADERS = 1
    PRIORITY = 2
    RST_STREAM = 3
    SETTINGS = 4
    PUSH_PROMISE = 5
    PING = 6
    GOAWAY = 7
    WINDOW_UPDATE = 8
    CONTINUATION = 9


class ErrorCode(IntEnum):
    """Error codes of section 7."""

    NO_ERROR = 0
    PROTOCOL_ERROR = 1
    INTERNAL_ERROR = 2
    FLOW_CONTROL_ERROR = 3
    SETTINGS_TIMEOUT = 4
    STREAM_CLOSED = 5
    FRAME_SIZE_ERROR = 6
    REFUSED_STREAM = 7
    CANCEL = 8
    COMPRESSION_ERROR = 9
    CONNECT_ERROR = 10
    ENHANCE_YOUR_CALM = 11
    INADEQUATE_SECURITY = 12
    HTTP_1_1_REQUIRED = 13


class Http2ConnectionError(ProtocolError):
    """The client violated the protocol: a connection error of section 5.4.1.

    Attributes:
        code: The error code that GOAWAY carries.
    """

    def __init__(self, code: ErrorCode, reason: str) -> None:
        """Create an error whose text is sent to the client."""
        super().__init__(reason)
        self.code = code


class Frame(NamedTuple):
    """One received frame. Its type may be unknown."""

    type: int
    flags: int
    stream_id: int
    payload: bytes


def encode_frame(frame_type: int, flags: int, stream_id: int, payload: bytes = b"") -> bytes:
    """Encode one frame."""
    size = len(payload)
    return _FRAME_HEADER.pack(size >> 8, size & 0xFF, frame_type, flags, stream_id) + payload


def encode_window_update(stream_id: int, increment: int) -> bytes:
    """Encode WINDOW_UPDATE; stream 0 is the connection."""
    return encode_frame(FrameType.WINDOW_UPDATE, 0, stream_id, UINT32.pack(increment))


def encode_rst_stream(stream_id: int, code: ErrorCode) -> bytes:
    """Encode RST_STREAM."""
    return encode_frame(FrameType.RST_STREAM, 0, stream_id, UINT32.pack(code))


def encode_goaway(last_stream_id: int, code: ErrorCode, reason: str = "") -> bytes:
    """Encode GOAWAY; `reason` is its debug data."""
    payload = UINT32.pack(last_stream_id) + UINT32.pack(code) + reason.encode()
    return encode_frame(FrameType.GOAWAY, 0, 0, payload)


def remove_padding(frame: Frame) -> bytes:
    """Return the payload of DATA or HEADERS without its padding (sections 6.1, 6.2).

    Raises:
        Http2ConnectionError: The padding is longer than the payload.
    """
    payload = frame.payload
    if not frame.flags & PADDED:
        return payload
    if not payload or payload[0] >= len(payload):
        raise Http2ConnectionError(ErrorCode.PROTOCOL_ERROR, "more padding than frame")
    return payload[1 : len(payload) - payload[0]]


class FrameBuffer:
    """Splits received bytes into frames."""

    def __init__(self, max_frame_bytes: int) -> None:
        """Create an empty buffer; `max_frame_bytes` is the SETTINGS_MAX_FRAME_SIZE that the client was sent."""
        self.received = bytearray()
        self._max_frame_bytes = max_frame_bytes
        self._offset = 0  # of the first byte that is in no returned frame

    def next_frame(self) -> Frame | None:
        """Return the next complete frame, None if there is none.

        Raises:
            Http2ConnectionError: The frame is larger than the client was allowed to send (section 4.2).
        """
        received = self.received
        offset = self._offset
        available = len(received) - offset - FRAME_HEADER_BYTES
        if available < 0:
            return None
        size = received[offset] << 16 | received[offset + 1] << 8 | received[offset + 2]
        if size > self._max_frame_bytes:
            raise Http2ConnectionError(ErrorCode.FRAME_SIZE_ERROR, f"a frame of {size} bytes")
        if available < size:
            return None
        stream_id = UINT32.unpack_from(received, offset + 5)[0] & MAX_UINT31
        start = offset + FRAME_HEADER_BYTES
        self._offset = start + size
        return Frame(received[offset + 3], received[offset + 4], stream_id, bytes(received[start : start + size]))

    def discard_returned(self) -> None:
        """Release the bytes of the frames that were returned; once for all frames of a read."""
        del self.received[: self._offset]
        self._offset = 0
