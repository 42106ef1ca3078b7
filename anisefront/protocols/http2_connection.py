"""Server side of an HTTP/2 connection (RFC 9113), as much of it as gRPC needs, free of I/O.

`receive` takes bytes and returns events; output accumulates until `data_to_send` returns it. The connection
opens no socket, reads no clock and knows nothing of gRPC. What a server need not support (push, priorities) is rejected
or ignored as the RFC says.

    start --client preface, or an upgrade from HTTP/1.1--> preface --SETTINGS--> open --error, or `end`--> closed
"""

from __future__ import annotations

from anisefront.protocols import http1, http2_start
from anisefront.protocols.http2_events import (
    ConnectionTerminated,
    DataReceived,
    Event,
    GoAwayReceived,
    RequestReceived,
    StreamReset,
)
from anisefront.protocols.http2_frames import (
    ACK,
    END_STREAM,
    MAX_UINT31,
    UINT32,
    ErrorCode,
    Frame,
    FrameBuffer,
    FrameType,
    Http2ConnectionError,
    encode_frame,
    encode_goaway,
    encode_rst_stream,
    encode_window_update,
    remove_padding,
)
from anisefront.protocols.http2_header_blocks import (
    PRIORITY_BYTES,
    HeaderBlock,
    HeaderBlockAssembler,
    header_fragment,
)
from anisefront.protocols.http2_headers import HeaderDecoder, is_well_formed
from anisefront.protocols.http2_limits import DEFAULT_WINDOW_BYTES, FrameAllowance, Http2Limits
from anisefront.protocols.http2_settings import decode_settings, encode_settings
from anisefront.protocols.http2_streams import Stream, StreamSender, window_error

PING_BYTES = 8
MIN_GOAWAY_BYTES = 8
ACCEPTED_STREAM_MS = 1000.0  # a stream that was open for this time was not opened only to be reset
# Costs of frames from the allowance; a frame that never carries work costs 1.
ACCEPTED_STREAM_RESET_COST = 0.02
WINDOW_UPDATE_COST = 0.02
REFUSED_STREAM_COST = 0.1


class Http2Connection:
    """One connection, from its preface to its end."""

    def __init__(self, limits: Http2Limits | None = None) -> None:
        """Create a connection; its SETTINGS are to be sent at once."""
        self.limits = limits or Http2Limits()
        self.last_stream_id = 0  # the highest that the client opened
        self.closed = False
        self._allowance = FrameAllowance(self.limits)
        self._sender = StreamSender(self.limits, self._allowance)
        self.streams = self._sender.streams
        self._headers = HeaderDecoder(self.limits)
        self._frames = FrameBuffer(self.limits.max_frame_bytes)
        self._start = http2_start.ConnectionStart(self.limits)
        self._settings_received = False
        self._draining = False
        self._header_blocks = HeaderBlockAssembler(self.limits)
        self._now_ms = 0.0
        self._sender.append(encode_settings(self.limits))
        self._sender.append(encode_window_update(0, self.limits.connection_window_bytes - DEFAULT_WINDOW_BYTES))

    # ---- responses ------------------------------------------------------------------------------

    def data_to_send(self) -> bytes:
        """Return the bytes to send, and clear them."""
        return self._sender.take()

    def send_headers(self, stream_id: int, block: bytes, end_stream: bool = False) -> None:
        """Send a header block, as `literal_block` encodes it; nothing if the stream is closed."""
        self._sender.send_headers(stream_id, block, end_stream)

    def send_data(self, stream_id: int, data: bytes, trailers: bytes = b"") -> None:
        """Send data as the client's windows admit it; `trailers`, a header block, end the stream after it."""
        self._sender.send_data(stream_id, data, trailers)

    def reset(self, stream_id: int, code: ErrorCode) -> None:
        """Reset a stream."""
        self._sender.reset(stream_id, code)

    def end(self, code: ErrorCode, reason: str) -> list[Event]:
        """End the connection as for an error of the client; its open streams are reset."""
        events: list[Event] = []
        self._terminate(code, reason, events)
        return events

    def drain(self) -> None:
        """Send GOAWAY (section 6.8): open streams are finished, new ones refused."""
        if not self._draining and not self.closed:
            self._draining = True
            self._sender.append(encode_goaway(self.last_stream_id, ErrorCode.NO_ERROR))

    def _terminate(self, code: ErrorCode, reason: str, events: list[Event]) -> None:
        self._sender.append(encode_goaway(self.last_stream_id, code, reason))
        for stream_id in list(self.streams):
            events.append(StreamReset(stream_id, code))
            self._sender.remove(stream_id)
        self.closed = True
        self._frames.received.clear()
        events.append(ConnectionTerminated(code, reason))

    # ---- input ----------------------------------------------------------------------------------

    def receive(self, data: bytes, now_ms: float = 0.0) -> list[Event]:
        """Process bytes from the client.

        Args:
            data: The bytes.
            now_ms: The time, which refills the allowance for frames that carry no work.

        Returns:
            The events in these bytes.
        """
        events: list[Event] = []
        if self.closed:
            return events
        self._allowance.refill(now_ms)
        self._now_ms = now_ms
        self._frames.received += data
        try:
            if self._receive_start(events) and self._start.receive_preface(self._frames):
                self._receive_frames(events)
        except Http2ConnectionError as error:
            self._terminate(error.code, str(error), events)
        return events

    def _receive_start(self, events: list[Event]) -> bool:
        """Tell whether HTTP/2 has started, by prior knowledge or by an upgrade from HTTP/1.1."""
        if self._start.is_http2:
            return True
        request = self._start.receive_request(self._frames)
        if request is not None:
            self._upgrade(request, events)
        return self._start.is_http2 and not self.closed

    def _upgrade(self, request: http1.Message, events: list[Event]) -> None:
        """Continue with HTTP/2 after an HTTP/1.1 request, or close the connection if it is no upgrade."""
        if not http2_start.requests_h2c(request):
            self._sender.replace(http2_start.UPGRADE_REQUIRED)
            self.closed = True
            events.append(ConnectionTerminated(ErrorCode.HTTP_1_1_REQUIRED, "HTTP/1.1 without Upgrade: h2c"))
            return
        settings = http2_start.decode_settings_header(request)
        self._sender.prepend(http2_start.SWITCHING_PROTOCOLS)
        self._sender.apply_settings(decode_settings(settings))
        self.last_stream_id = http2_start.UPGRADED_STREAM
        self._sender.open(http2_start.UPGRADED_STREAM, self._now_ms, is_remote_open=False)
        events.append(
            RequestReceived(http2_start.UPGRADED_STREAM, http2_start.request_headers(request), not request.body)
        )
        if request.body:
            events.append(DataReceived(http2_start.UPGRADED_STREAM, request.body, True))

    def _receive_frames(self, events: list[Event]) -> None:
        try:
            frame = self._frames.next_frame()
            while frame is not None:
                self._receive_frame(frame, events)
                frame = self._frames.next_frame()
        finally:
            self._frames.discard_returned()

    def _receive_frame(self, frame: Frame, events: list[Event]) -> None:
        if not self._settings_received and frame.type != FrameType.SETTINGS:
            raise Http2ConnectionError(ErrorCode.PROTOCOL_ERROR, "SETTINGS must come first")
        self._header_blocks.check_order(frame)
        handler = _HANDLERS.get(frame.type)
        if handler is not None:  # frames of unknown types are ignored (section 5.5)
            handler(self, frame, events)

    # ---- DATA -----------------------------------------------------------------------------------

    def _on_data(self, frame: Frame, events: list[Event]) -> None:
        stream = self.streams.get(frame.stream_id)
        if frame.stream_id == 0 or (stream is None and frame.stream_id > self.last_stream_id):
            raise Http2ConnectionError(ErrorCode.PROTOCOL_ERROR, "DATA on an idle stream")
        self._sender.acknowledge_data(len(frame.payload))
        data = remove_padding(frame)
        end_stream = bool(frame.flags & END_STREAM)
        if not data and not end_stream:
            self._allowance.spend(1, "empty DATA")
        if stream is None:
            return  # it was answered or reset while the frame was in transit
        if not stream.is_remote_open:
            self._stream_error(frame.stream_id, ErrorCode.STREAM_CLOSED, events)
            return
        stream.unacknowledged += len(frame.payload)
        if stream.unacknowledged > self.limits.stream_window_bytes:
            self._stream_error(frame.stream_id, ErrorCode.FLOW_CONTROL_ERROR, events)
            return
        if end_stream:
            stream.is_remote_open = False
        else:
            self._sender.acknowledge_stream_data(frame.stream_id, stream)
        events.append(DataReceived(frame.stream_id, data, end_stream))

    def _stream_error(self, stream_id: int, code: ErrorCode, events: list[Event]) -> None:
        """Reset a stream on which the client violated the protocol (section 5.4.2)."""
        self._sender.reset(stream_id, code)
        events.append(StreamReset(stream_id, code))

    # ---- HEADERS and CONTINUATION ---------------------------------------------------------------

    def _on_headers(self, frame: Frame, events: list[Event]) -> None:
        fragment = header_fragment(frame)
        if frame.stream_id not in self.streams and frame.stream_id <= self.last_stream_id:
            raise Http2ConnectionError(ErrorCode.STREAM_CLOSED, f"HEADERS on closed stream {frame.stream_id}")
        block = self._header_blocks.begin(frame, fragment)
        if block is not None:
            self._on_header_block(block, events)

    def _on_continuation(self, frame: Frame, events: list[Event]) -> None:
        block = self._header_blocks.add(frame)
        if block is not None:
            self._on_header_block(block, events)

    def _on_header_block(self, block: HeaderBlock, events: list[Event]) -> None:
        # A refused stream's block must be decoded too, since it can change the dynamic table (section 4.3).
        headers = self._headers.decode(block.data)
        stream = self.streams.get(block.stream_id)
        if stream is not None:
            self._on_trailers(block, stream, events)
            return
        self.last_stream_id = block.stream_id
        if self._draining or len(self.streams) >= self.limits.max_streams:
            self._allowance.spend(REFUSED_STREAM_COST, "refused HEADERS")
            self._sender.append(encode_rst_stream(block.stream_id, ErrorCode.REFUSED_STREAM))
            return
        self._sender.open(block.stream_id, self._now_ms, is_remote_open=not block.end_stream)
        if not is_well_formed(headers):
            self._sender.reset(block.stream_id, ErrorCode.PROTOCOL_ERROR)
            return
        events.append(RequestReceived(block.stream_id, headers, block.end_stream))

    def _on_trailers(self, block: HeaderBlock, stream: Stream, events: list[Event]) -> None:
        if not stream.is_remote_open or not block.end_stream:  # section 8.1
            raise Http2ConnectionError(ErrorCode.PROTOCOL_ERROR, "a second header block that does not end its stream")
        stream.is_remote_open = False
        events.append(DataReceived(block.stream_id, b"", True))

    # ---- WINDOW_UPDATE and RST_STREAM -----------------------------------------------------------

    def _on_window_update(self, frame: Frame, events: list[Event]) -> None:
        if len(frame.payload) != UINT32.size:
            raise Http2ConnectionError(ErrorCode.FRAME_SIZE_ERROR, "WINDOW_UPDATE must have 4 bytes")
        increment = UINT32.unpack(frame.payload)[0] & MAX_UINT31
        self._allowance.spend(WINDOW_UPDATE_COST, "WINDOW_UPDATE")
        if frame.stream_id == 0:
            self._sender.extend_connection_window(increment)
            return
        stream = self.streams.get(frame.stream_id)
        if stream is None:
            if frame.stream_id > self.last_stream_id:
                raise Http2ConnectionError(ErrorCode.PROTOCOL_ERROR, "WINDOW_UPDATE on an idle stream")
            return
        stream.send_window += increment
        if not increment or stream.send_window > MAX_UINT31:
            self._stream_error(frame.stream_id, window_error(increment), events)
        else:
            self._sender.flush(frame.stream_id, stream)

    def _on_rst_stream(self, frame: Frame, events: list[Event]) -> None:
        if len(frame.payload) != UINT32.size:
            raise Http2ConnectionError(ErrorCode.FRAME_SIZE_ERROR, "RST_STREAM must have 4 bytes")
        if frame.stream_id == 0 or frame.stream_id > self.last_stream_id:
            raise Http2ConnectionError(ErrorCode.PROTOCOL_ERROR, "RST_STREAM on an idle stream")
        # A proxy whose clients disconnect resets many queued requests at once, and must not lose its connection for
        # that. Rapid reset (CVE-2023-44487) is of streams that are reset as soon as they are opened.
        stream = self.streams.get(frame.stream_id)
        cost = 1.0
        if stream is not None and self._now_ms - stream.opened_ms >= ACCEPTED_STREAM_MS:
            cost = ACCEPTED_STREAM_RESET_COST
        self._allowance.spend(cost, "RST_STREAM")
        if stream is not None:
            self._sender.remove(frame.stream_id)
            events.append(StreamReset(frame.stream_id, UINT32.unpack(frame.payload)[0]))

    # ---- frames of the connection ---------------------------------------------------------------

    def _on_settings(self, frame: Frame, events: list[Event]) -> None:
        if frame.stream_id:
            raise Http2ConnectionError(ErrorCode.PROTOCOL_ERROR, "SETTINGS on a stream")
        if frame.flags & ACK:
            if frame.payload:
                raise Http2ConnectionError(ErrorCode.FRAME_SIZE_ERROR, "an acknowledgement with settings in it")
            return
        self._allowance.spend(1, "SETTINGS")
        self._settings_received = True
        self._sender.apply_settings(decode_settings(frame.payload))
        self._sender.append(encode_frame(FrameType.SETTINGS, ACK, 0))
        self._sender.flush_all()

    def _on_ping(self, frame: Frame, events: list[Event]) -> None:
        if frame.stream_id:
            raise Http2ConnectionError(ErrorCode.PROTOCOL_ERROR, "PING on a stream")
        if len(frame.payload) != PING_BYTES:
            raise Http2ConnectionError(ErrorCode.FRAME_SIZE_ERROR, "PING must have 8 bytes")
        self._allowance.spend(1, "PING")
        if not frame.flags & ACK:
            self._sender.append(encode_frame(FrameType.PING, ACK, 0, frame.payload))

    def _on_goaway(self, frame: Frame, events: list[Event]) -> None:
        if frame.stream_id:
            raise Http2ConnectionError(ErrorCode.PROTOCOL_ERROR, "a GOAWAY frame")
        if len(frame.payload) < MIN_GOAWAY_BYTES:
            raise Http2ConnectionError(ErrorCode.FRAME_SIZE_ERROR, "a GOAWAY frame")
        events.append(GoAwayReceived(UINT32.unpack_from(frame.payload, UINT32.size)[0]))

    def _on_priority(self, frame: Frame, events: list[Event]) -> None:
        if frame.stream_id == 0:
            raise Http2ConnectionError(ErrorCode.PROTOCOL_ERROR, "a PRIORITY frame")
        if len(frame.payload) != PRIORITY_BYTES:
            raise Http2ConnectionError(ErrorCode.FRAME_SIZE_ERROR, "a PRIORITY frame")
        self._allowance.spend(1, "PRIORITY")

    def _on_push_promise(self, frame: Frame, events: list[Event]) -> None:
        raise Http2ConnectionError(ErrorCode.PROTOCOL_ERROR, "a client can't push")


_HANDLERS = {
    FrameType.DATA: Http2Connection._on_data,
    FrameType.HEADERS: Http2Connection._on_headers,
    FrameType.PRIORITY: Http2Connection._on_priority,
    FrameType.RST_STREAM: Http2Connection._on_rst_stream,
    FrameType.SETTINGS: Http2Connection._on_settings,
    FrameType.PUSH_PROMISE: Http2Connection._on_push_promise,
    FrameType.PING: Http2Connection._on_ping,
    FrameType.GOAWAY: Http2Connection._on_goaway,
    FrameType.WINDOW_UPDATE: Http2Connection._on_window_update,
    FrameType.CONTINUATION: Http2Connection._on_continuation,
}
