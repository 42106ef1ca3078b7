"""Streams of an HTTP/2 connection and what is sent on them, within the client's flow-control windows.

    idle --HEADERS--> open --END_STREAM--> half closed (remote) --our END_STREAM--> closed
    any state --RST_STREAM--> closed (RFC 9113, section 5.1)

A stream that is not in `streams` and not above the last stream identifier is closed.
"""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass, field

from anisefront.protocols.http2_frames import (
    END_HEADERS,
    END_STREAM,
    MAX_UINT31,
    ErrorCode,
    FrameType,
    Http2ConnectionError,
    encode_frame,
    encode_rst_stream,
    encode_window_update,
)
from anisefront.protocols.http2_limits import (
    DEFAULT_WINDOW_BYTES,
    MIN_MAX_FRAME_BYTES,
    FrameAllowance,
    Http2Limits,
)
from anisefront.protocols.http2_settings import Setting


@dataclass(slots=True)
class Stream:
    """One stream that is not closed."""

    send_window: int  # bytes that the client accepts; negative after it reduced the initial window (section 6.9.2)
    opened_ms: float = 0.0
    is_remote_open: bool = True  # the client may still send
    unacknowledged: int = 0  # bytes received since our last WINDOW_UPDATE
    queue: deque[tuple[bytes, bytes]] = field(default_factory=deque)  # data, and the trailer block after it


def window_error(increment: int) -> ErrorCode:
    """Return the error of an increment that is zero (section 6.9) or makes the window too large (section 6.9.1)."""
    return ErrorCode.FLOW_CONTROL_ERROR if increment else ErrorCode.PROTOCOL_ERROR


class StreamSender:
    """The open streams, their windows, and the frames to be sent."""

    def __init__(self, limits: Http2Limits, allowance: FrameAllowance) -> None:
        """Create a sender with the client's initial settings."""
        self.streams: dict[int, Stream] = {}
        self._connection_window = DEFAULT_WINDOW_BYTES  # bytes that the client accepts on all streams together
        self._unacknowledged = 0  # bytes received on all streams since our last WINDOW_UPDATE of the connection
        self._limits = limits
        self._allowance = allowance
        self._initial_window = DEFAULT_WINDOW_BYTES
        self._max_frame_bytes = MIN_MAX_FRAME_BYTES
        self._frames: list[bytes] = []
        self._queued_bytes = 0

    # ---- frames ---------------------------------------------------------------------------------

    def append(self, frame: bytes) -> None:
        """Send an encoded frame."""
        self._frames.append(frame)

    def prepend(self, data: bytes) -> None:
        """Send bytes before all frames."""
        self._frames.insert(0, data)

    def replace(self, data: bytes) -> None:
        """Send bytes in place of all frames."""
        self._frames = [data]

    def take(self) -> bytes:
        """Return the bytes to send, and clear them."""
        data = b"".join(self._frames)
        self._frames = []
        return data

    # ---- streams --------------------------------------------------------------------------------

    def open(self, stream_id: int, now_ms: float, is_remote_open: bool) -> None:
        """Add a stream that the client opened."""
        self.streams[stream_id] = Stream(self._initial_window, now_ms, is_remote_open)

    def reset(self, stream_id: int, code: ErrorCode) -> None:
        """Send RST_STREAM unless the stream is closed."""
        if stream_id in self.streams:
            self._frames.append(encode_rst_stream(stream_id, code))
            self.remove(stream_id)

    def remove(self, stream_id: int) -> None:
        """Remove a stream; what is queued for it is discarded."""
        stream = self.streams.pop(stream_id)
        self._queued_bytes -= sum(len(data) for data, _ in stream.queue)

    def apply_settings(self, settings: list[tuple[int, int]]) -> None:
        """Apply the client's settings."""
        for setting, value in settings:
            if setting == Setting.INITIAL_WINDOW_SIZE:
                for stream in self.streams.values():
                    stream.send_window += value - self._initial_window
                self._initial_window = value
            elif setting == Setting.MAX_FRAME_SIZE:
                self._max_frame_bytes = value

    # ---- flow control (section 5.2) -------------------------------------------------------------

    def acknowledge_data(self, size: int) -> None:
        """Count DATA against the connection's window, padding included (section 6.9.1), and extend the window.

        Raises:
            Http2ConnectionError: The client sent more than the window admits.
        """
        window = self._limits.connection_window_bytes
        self._unacknowledged += size
        if self._unacknowledged > window:
            raise Http2ConnectionError(ErrorCode.FLOW_CONTROL_ERROR, "more DATA than the connection's window")
        if self._unacknowledged * 2 > window:
            self._frames.append(encode_window_update(0, self._unacknowledged))
            self._unacknowledged = 0

    def acknowledge_stream_data(self, stream_id: int, stream: Stream) -> None:
        """Extend the stream's window once half of it is used."""
        if stream.unacknowledged * 2 > self._limits.stream_window_bytes:
            self._frames.append(encode_window_update(stream_id, stream.unacknowledged))
            stream.unacknowledged = 0

    def extend_connection_window(self, increment: int) -> None:
        """Apply a WINDOW_UPDATE of the connection.

        Raises:
            Http2ConnectionError: The increment is not allowed.
        """
        self._connection_window += increment
        if not increment or self._connection_window > MAX_UINT31:
            raise Http2ConnectionError(window_error(increment), "a connection window that can't be")
        self.flush_all()

    # ---- responses ------------------------------------------------------------------------------

    def send_headers(self, stream_id: int, block: bytes, end_stream: bool) -> None:
        """Send HEADERS unless the stream is closed."""
        if stream_id not in self.streams:
            return
        flags = END_HEADERS | END_STREAM if end_stream else END_HEADERS
        self._frames.append(encode_frame(FrameType.HEADERS, flags, stream_id, block))
        if end_stream:
            self._finish(stream_id)

    def send_data(self, stream_id: int, data: bytes, trailers: bytes) -> None:
        """Send DATA, and a trailer block if there is one; queue what the windows do not admit."""
        stream = self.streams.get(stream_id)
        if stream is None:
            return
        size = len(data)
        if not stream.queue and size <= self._sendable(stream):
            self._send(stream_id, stream, data, trailers)
            return
        stream.queue.append((data, trailers))
        self._queued_bytes += size
        if self._queued_bytes > self._limits.max_queued_bytes:
            # A client that requests much and reads nothing would exhaust the memory of all connections
            # (CVE-2019-9511, -9517).
            self.reset(stream_id, ErrorCode.ENHANCE_YOUR_CALM)
        else:
            self.flush(stream_id, stream)

    def flush_all(self) -> None:
        """Send what the windows admit now, on all streams."""
        if not self._queued_bytes:
            return
        for stream_id, stream in list(self.streams.items()):
            self.flush(stream_id, stream)

    def flush(self, stream_id: int, stream: Stream) -> None:
        """Send what the windows admit now, on one stream."""
        while stream.queue:
            data, trailers = stream.queue.popleft()
            sendable = self._sendable(stream)
            if data and sendable <= 0:
                stream.queue.appendleft((data, trailers))
                return
            admitted = data[:sendable]
            remaining = data[sendable:]
            self._queued_bytes -= len(admitted)
            if remaining:
                self._send(stream_id, stream, admitted, b"")
                stream.queue.appendleft((remaining, trailers))
            else:
                self._send(stream_id, stream, admitted, trailers)

    def _sendable(self, stream: Stream) -> int:
        return min(stream.send_window, self._connection_window, self._max_frame_bytes)

    def _send(self, stream_id: int, stream: Stream, data: bytes, trailers: bytes) -> None:
        stream.send_window -= len(data)
        self._connection_window -= len(data)
        if data:
            self._frames.append(encode_frame(FrameType.DATA, 0, stream_id, data))
        if trailers:
            self._frames.append(encode_frame(FrameType.HEADERS, END_HEADERS | END_STREAM, stream_id, trailers))
            self._finish(stream_id)

    def _finish(self, stream_id: int) -> None:
        """Close a stream whose response is complete."""
        self._allowance.credit()
        if self.streams[stream_id].is_remote_open:  # what the client still sends is not needed (section 8.1)
            self._frames.append(encode_rst_stream(stream_id, ErrorCode.NO_ERROR))
        self.remove(stream_id)
