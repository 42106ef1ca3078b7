"""Header blocks of received HEADERS and CONTINUATION frames (RFC 9113, sections 4.3, 6.2 and 6.10)."""

from __future__ import annotations

from typing import NamedTuple

from anisefront.protocols.http2_frames import (
    END_HEADERS,
    END_STREAM,
    MAX_UINT31,
    PRIORITY_FLAG,
    UINT32,
    ErrorCode,
    Frame,
    FrameType,
    Http2ConnectionError,
    remove_padding,
)
from anisefront.protocols.http2_limits import Http2Limits

PRIORITY_BYTES = 5  # dependency and weight, section 6.3


class HeaderBlock(NamedTuple):
    """A complete header block."""

    stream_id: int
    data: bytes
    end_stream: bool


def header_fragment(frame: Frame) -> bytes:
    """Return the header block fragment of a HEADERS frame, without padding and priority.

    Raises:
        Http2ConnectionError: The frame is malformed, or its stream is not a client's.
    """
    fragment = remove_padding(frame)
    if frame.flags & PRIORITY_FLAG:
        if len(fragment) < PRIORITY_BYTES:
            raise Http2ConnectionError(ErrorCode.FRAME_SIZE_ERROR, "HEADERS too short for its priority")
        if UINT32.unpack_from(fragment)[0] & MAX_UINT31 == frame.stream_id:
            raise Http2ConnectionError(ErrorCode.PROTOCOL_ERROR, "a stream that depends on itself")
        fragment = fragment[PRIORITY_BYTES:]
    if frame.stream_id % 2 == 0:  # section 5.1.1
        raise Http2ConnectionError(ErrorCode.PROTOCOL_ERROR, f"a client can't open stream {frame.stream_id}")
    return fragment


class HeaderBlockAssembler:
    """Joins the fragments of one header block at a time."""

    __slots__ = ("_end_stream", "_fragments", "_limits", "_stream_id")

    def __init__(self, limits: Http2Limits) -> None:
        """Create an assembler without a block."""
        self._limits = limits
        self._stream_id: int | None = None  # of the block whose CONTINUATION frames are outstanding
        self._end_stream = False
        self._fragments: list[bytes] = []

    def check_order(self, frame: Frame) -> None:
        """Reject a frame inside a header block: it would be out of order with it (section 6.10).

        Raises:
            Http2ConnectionError: The frame does not continue the block.
        """
        if self._stream_id is None:
            return
        if frame.type != FrameType.CONTINUATION or frame.stream_id != self._stream_id:
            raise Http2ConnectionError(ErrorCode.PROTOCOL_ERROR, "a header block was interrupted")

    def begin(self, frame: Frame, fragment: bytes) -> HeaderBlock | None:
        """Begin a block with the fragment of a HEADERS frame; return the block if it is complete."""
        end_stream = bool(frame.flags & END_STREAM)
        if frame.flags & END_HEADERS:
            return HeaderBlock(frame.stream_id, fragment, end_stream)
        self._stream_id = frame.stream_id
        self._end_stream = end_stream
        self._fragments = [fragment]
        return None

    def add(self, frame: Frame) -> HeaderBlock | None:
        """Add a CONTINUATION frame; return the block if it is complete.

        Raises:
            Http2ConnectionError: There is no block, or the block is too long.
        """
        if self._stream_id is None:
            raise Http2ConnectionError(ErrorCode.PROTOCOL_ERROR, "CONTINUATION without HEADERS")
        self._fragments.append(frame.payload)
        # A block that never ends would use memory without limit (CONTINUATION flood, CVE-2024-27316).
        size = sum(len(fragment) for fragment in self._fragments)
        if len(self._fragments) > 1 + self._limits.max_continuations or size > self._limits.max_header_block_bytes:
            raise Http2ConnectionError(ErrorCode.ENHANCE_YOUR_CALM, "a header block without end")
        if not frame.flags & END_HEADERS:
            return None
        block = HeaderBlock(self._stream_id, b"".join(self._fragments), self._end_stream)
        self._stream_id = None
        self._fragments = []
        return block
