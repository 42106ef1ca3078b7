"""SETTINGS (RFC 9113, section 6.5): those that this server sends, and those that it applies from the client."""

from __future__ import annotations

import struct
from enum import IntEnum

from anisefront.protocols.http2_frames import MAX_UINT31, ErrorCode, FrameType, Http2ConnectionError, encode_frame
from anisefront.protocols.http2_limits import MIN_MAX_FRAME_BYTES, Http2Limits

MAX_MAX_FRAME_BYTES = 2**24 - 1
_SETTING = struct.Struct(">HL")


class Setting(IntEnum):
    """Settings of section 6.5.2."""

    HEADER_TABLE_SIZE = 1
    ENABLE_PUSH = 2
    MAX_CONCURRENT_STREAMS = 3
    INITIAL_WINDOW_SIZE = 4
    MAX_FRAME_SIZE = 5
    MAX_HEADER_LIST_SIZE = 6


def encode_settings(limits: Http2Limits) -> bytes:
    """Encode the SETTINGS frame that announces the limits."""
    settings = {
        Setting.MAX_CONCURRENT_STREAMS: limits.max_streams,
        Setting.INITIAL_WINDOW_SIZE: limits.stream_window_bytes,
        Setting.MAX_FRAME_SIZE: limits.max_frame_bytes,
        Setting.MAX_HEADER_LIST_SIZE: limits.max_header_list_bytes,
    }
    payload = b"".join(_SETTING.pack(setting, value) for setting, value in settings.items())
    return encode_frame(FrameType.SETTINGS, 0, 0, payload)


def decode_settings(payload: bytes) -> list[tuple[int, int]]:
    """Decode and check the client's settings.

    Returns:
        Pairs of setting and value, in the order in which they apply (section 6.5.3). Settings may be unknown: those
        are ignored.

    Raises:
        Http2ConnectionError: A value is out of range.
    """
    if len(payload) % _SETTING.size:
        raise Http2ConnectionError(ErrorCode.FRAME_SIZE_ERROR, "SETTINGS not of whole settings")
    settings = list(_SETTING.iter_unpack(payload))
    for setting, value in settings:
        _check(setting, value)
    return settings


def _check(setting: int, value: int) -> None:
    if setting == Setting.INITIAL_WINDOW_SIZE and value > MAX_UINT31:
        raise Http2ConnectionError(ErrorCode.FLOW_CONTROL_ERROR, "an initial window too large")
    if setting == Setting.MAX_FRAME_SIZE and not MIN_MAX_FRAME_BYTES <= value <= MAX_MAX_FRAME_BYTES:
        raise Http2ConnectionError(ErrorCode.PROTOCOL_ERROR, "a frame size out of range")
    if setting == Setting.ENABLE_PUSH and value > 1:
        raise Http2ConnectionError(ErrorCode.PROTOCOL_ERROR, "ENABLE_PUSH is 0 or 1")
