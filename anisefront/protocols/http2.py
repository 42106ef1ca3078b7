"""The server's side of an HTTP/2 connection (RFC 9113), as much of it as gRPC needs, free of I/O.

Bytes go in by `receive`, which returns events; what is to be sent collects until `data_to_send` takes it.
It never opens a socket, reads a clock or knows of gRPC. What a server need not speak (push, priorities) is
refused or skipped with the RFC's own codes.

    stream:   idle --HEADERS--> open --END_STREAM--> half closed --our END_STREAM--> closed
    any state --RST_STREAM--> closed; a stream that is not in `streams` and not above `last_id` is closed
"""

from __future__ import annotations

import base64
import binascii
import struct
from collections import deque
from dataclasses import dataclass, field
from enum import IntEnum

import hpack

from anisefront.protocols import http1

HELD_MS = 1000.0  # a stream that was open for so long was no flood
PREFACE = b"PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n"
DATA, HEADERS, PRIORITY, RST_STREAM, SETTINGS, PUSH_PROMISE, PING, GOAWAY, WINDOW_UPDATE, CONTINUATION = range(10)
END_STREAM, ACK, END_HEADERS, PADDED, HAS_PRIORITY = 0x1, 0x1, 0x4, 0x8, 0x20
_TABLE_SIZE, _PUSH, _STREAMS, _WINDOW, _FRAME, _HEADER_LIST = 1, 2, 3, 4, 5, 6
_MOST_WINDOW, _DEFAULT_WINDOW = 2**31 - 1, 65535
_UPGRADED = b"HTTP/1.1 101 Switching Protocols\r\nconnection: Upgrade\r\nupgrade: h2c\r\n\r\n"
_OF_HTTP1 = ("host", "connection", "upgrade", "http2-settings", "transfer-encoding", "keep-alive")
_HEAD = struct.Struct(">HBBBL")  # length in two parts, type, flags, stream
_LONG = struct.Struct(">L")
_SETTING = struct.Struct(">HL")


class Code(IntEnum):
    """Error codes of RFC 9113, section 7."""

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


class RemoteFault(Exception):
    """The peer broke the protocol; the connection ends with `code`."""

    def __init__(self, code: Code, why: str) -> None:
        super().__init__(why)
        self.code = code


@dataclass(frozen=True, slots=True)
class Limits:
    """What one connection may ask of us. Sizes in bytes."""

    streams: int = 4096
    frame: int = 16384
    header_block: int = 16384  # compressed, all CONTINUATION frames together
    upgrade_body: int = 256 << 10  # of a request that comes by HTTP/1.1 and asks for h2c
    header_list: int = 32768  # as RFC 9113 counts it, 32 bytes for each field besides
    continuations: int = 8
    connection_window: int = 1 << 20
    stream_window: int = _DEFAULT_WINDOW
    queued: int = 4 << 20  # answers that the peer's flow control holds back
    calm: float = 1000.0  # resets, pings, settings and empty frames at one stroke,
    calm_per_s: float = 100.0  # and for good


@dataclass(frozen=True, slots=True)
class RequestReceived:
    stream: int
    headers: list[tuple[bytes, bytes]]
    ended: bool


@dataclass(frozen=True, slots=True)
class DataReceived:
    stream: int
    data: bytes
    ended: bool


@dataclass(frozen=True, slots=True)
class StreamReset:
    """The peer gave the stream up."""

    stream: int
    code: int


@dataclass(frozen=True, slots=True)
class PeerLeaves:
    """GOAWAY: the peer opens no more streams."""

    code: int


@dataclass(frozen=True, slots=True)
class Broken:
    """The connection is over; what is left to send tells the peer why."""

    code: Code
    why: str


Event = RequestReceived | DataReceived | StreamReset | PeerLeaves | Broken


@dataclass(slots=True)
class _Stream:
    window: int  # bytes that we may send
    opened_ms: float = 0.0
    open: bool = True  # the peer may still send
    unacknowledged: int = 0  # bytes received since our last WINDOW_UPDATE
    queue: deque[tuple[bytes, bytes]] = field(default_factory=deque)  # data and trailer block still to go


def _frame(kind: int, flags: int, stream: int, payload: bytes = b"") -> bytes:
    size = len(payload)
    return _HEAD.pack(size >> 8, size & 0xFF, kind, flags, stream) + payload


def literal_block(*headers: tuple[str, str]) -> bytes:
    """A header block of literals that touch no dynamic table (RFC 7541, 6.2.2): made once, sent often."""
    parts = []
    for name, value in headers:
        for text in (name.encode("ascii"), value.encode("latin-1")):
            parts.append(text)
    out = bytearray()
    for number, text in enumerate(parts):
        if number % 2 == 0:
            out.append(0)
        out += _integer(len(text), 7) + text
    return bytes(out)


def _integer(value: int, bits: int) -> bytes:
    most = (1 << bits) - 1
    if value < most:
        return bytes((value,))
    out, value = bytearray((most,)), value - most
    while value >= 0x80:
        out.append(value & 0x7F | 0x80)
        value >>= 7
    return bytes(out) + bytes((value,))


class Connection:
    """One connection, from its preface to its end."""

    def __init__(self, limits: Limits = Limits()) -> None:  # noqa: B008 - frozen
        self.limits, self.streams, self.last_id = limits, dict[int, _Stream](), 0
        self._decoder = hpack.Decoder(max_header_list_size=limits.header_list)
        self._table = _WatchedTable()
        self._decoder.header_table = self._table
        self._seen: dict[bytes, list[tuple[bytes, bytes]]] = {}
        self._seen_at = 0
        self._in, self._out, self._need_preface, self._settled = bytearray(), list[bytes](), True, False
        self._first: http1.Reader | None = http1.Reader(True, limits.header_block, limits.upgrade_body)
        self._block: tuple[int, bool, list[bytes]] | None = None  # headers that CONTINUATION goes on with
        self._window, self._first_window, self._peer_frame = _DEFAULT_WINDOW, _DEFAULT_WINDOW, 16384
        self._unacknowledged, self._queued, self._calm, self._calm_ms = 0, 0, limits.calm, None
        self.closed, self._leaving = False, False
        settings = (
            (_STREAMS, limits.streams),
            (_WINDOW, limits.stream_window),
            (_FRAME, limits.frame),
            (_HEADER_LIST, limits.header_list),
        )
        self._out.append(_frame(SETTINGS, 0, 0, b"".join(_SETTING.pack(*pair) for pair in settings)))
        self._out.append(_frame(WINDOW_UPDATE, 0, 0, _LONG.pack(limits.connection_window - _DEFAULT_WINDOW)))

    # ---- in ------------------------------------------------------------------------------------

    def receive(self, data: bytes, now_ms: float = 0.0) -> list[Event]:
        """The events in these bytes. `now_ms` refills the allowance for frames that carry no work."""
        events: list[Event] = []
        if self.closed:
            return events
        if self._calm_ms is not None:
            spare = max(0.0, now_ms - self._calm_ms) / 1000 * self.limits.calm_per_s
            self._calm = min(self.limits.calm, self._calm + spare)
        self._calm_ms = now_ms
        self._in += data
        try:
            if self._first is not None and not self._begin(events):
                return events
            if self._need_preface and not self._preface():
                return events
            self._frames(events)
        except RemoteFault as fault:
            self._break(fault.code, str(fault), events)
        return events

    def _begin(self, events: list[Event]) -> bool:
        """Prior knowledge, or HTTP/1.1 that asks for h2c (RFC 7540, 3.2): true once it is known which."""
        if self._in[:4] == PREFACE[: min(4, len(self._in))]:
            if len(self._in) < 4:
                return False
            self._first = None
            return True
        try:
            messages = self._first.feed(bytes(self._in), only_first=True)
        except http1.MessageFault as fault:
            raise RemoteFault(Code.PROTOCOL_ERROR, "no HTTP/2 preface") from fault
        self._in.clear()
        if not messages:
            return False
        request, self._in = messages[0], self._first.rest()
        self._first = None
        self._upgrade(request, events)
        return not self.closed

    def _upgrade(self, request: http1.Message, events: list[Event]) -> None:
        wanted = request.headers.get("upgrade", "").lower().split(",")
        text = request.headers.get("http2-settings", "")
        if "h2c" not in [each.strip() for each in wanted] or not text:
            self._out = [
                http1.response(
                    426,
                    {"upgrade": "h2c", "connection": "close"},
                    b"HTTP/2 is spoken here: gRPC by prior knowledge, or Upgrade: h2c\n",
                )
            ]
            self.closed = True
            events.append(Broken(Code.HTTP_1_1_REQUIRED, "HTTP/1.1 without Upgrade: h2c"))
            return
        try:
            settings = base64.urlsafe_b64decode(text + "=" * (-len(text) % 4))
        except (ValueError, binascii.Error) as problem:
            raise RemoteFault(Code.PROTOCOL_ERROR, "HTTP2-Settings can't be read") from problem
        self._out.insert(0, _UPGRADED)
        self._settings(settings)
        self.last_id = 1
        self.streams[1] = _Stream(self._first_window, self._calm_ms, False)
        headers = [
            (b":method", request.method.encode()),
            (b":scheme", b"http"),
            (b":path", request.target.encode("latin-1")),
            (b":authority", request.headers.get("host", "").encode("latin-1")),
        ]
        headers += [
            (name.encode(), value.encode("latin-1")) for name, value in request.headers.items() if name not in _OF_HTTP1
        ]
        events.append(RequestReceived(1, headers, not request.body))
        if request.body:
            events.append(DataReceived(1, request.body, True))

    def _preface(self) -> bool:
        size = min(len(self._in), len(PREFACE))
        if self._in[:size] != PREFACE[:size]:
            raise RemoteFault(Code.PROTOCOL_ERROR, "no HTTP/2 preface")
        if size < len(PREFACE):
            return False
        del self._in[:size]
        self._need_preface = False
        return True

    def _frames(self, events: list[Event]) -> None:
        buffer, at, end = self._in, 0, len(self._in)
        try:
            while end - at >= 9:
                size = buffer[at] << 16 | buffer[at + 1] << 8 | buffer[at + 2]
                if size > self.limits.frame:
                    raise RemoteFault(Code.FRAME_SIZE_ERROR, f"a frame of {size} bytes")
                if end - at - 9 < size:
                    return
                kind, flags = buffer[at + 3], buffer[at + 4]
                stream = _LONG.unpack_from(buffer, at + 5)[0] & _MOST_WINDOW
                payload = bytes(buffer[at + 9 : at + 9 + size])
                at += 9 + size
                if not self._settled and kind != SETTINGS:
                    raise RemoteFault(Code.PROTOCOL_ERROR, "SETTINGS must come first")
                if self._block is not None and (kind != CONTINUATION or stream != self._block[0]):
                    raise RemoteFault(Code.PROTOCOL_ERROR, "a header block was interrupted")
                if kind < len(_HANDLERS):
                    _HANDLERS[kind](self, flags, stream, payload, events)
        finally:
            del buffer[:at]

    def _spend_calm(self, cost: float, what: str) -> None:
        # Danger: frames that cost their sender nothing and us a reply or a search (rapid reset, ping
        # and settings floods) would take the whole process from the other connections.
        self._calm -= cost
        if self._calm < 0:
            raise RemoteFault(Code.ENHANCE_YOUR_CALM, f"too many {what} frames")

    @staticmethod
    def _unpad(flags: int, payload: bytes) -> bytes:
        if not flags & PADDED:
            return payload
        if not payload or payload[0] >= len(payload):
            raise RemoteFault(Code.PROTOCOL_ERROR, "more padding than frame")
        return payload[1 : len(payload) - payload[0]]

    def _on_data(self, flags: int, number: int, payload: bytes, events: list[Event]) -> None:
        stream, size = self.streams.get(number), len(payload)
        if number == 0 or stream is None and number > self.last_id:
            raise RemoteFault(Code.PROTOCOL_ERROR, "DATA on an idle stream")
        self._unacknowledged += size
        if self._unacknowledged > self.limits.connection_window:
            raise RemoteFault(Code.FLOW_CONTROL_ERROR, "more DATA than the connection's window")
        if self._unacknowledged * 2 > self.limits.connection_window:
            self._out.append(_frame(WINDOW_UPDATE, 0, 0, _LONG.pack(self._unacknowledged)))
            self._unacknowledged = 0
        data, ended = self._unpad(flags, payload), bool(flags & END_STREAM)
        if not data and not ended:
            self._spend_calm(1, "empty DATA")
        if stream is None:
            return  # it was answered or reset while this was under way
        if not stream.open:
            self.reset(number, Code.STREAM_CLOSED)
            events.append(StreamReset(number, Code.STREAM_CLOSED))
            return
        stream.unacknowledged += size
        if stream.unacknowledged > self.limits.stream_window:
            self.reset(number, Code.FLOW_CONTROL_ERROR)
            events.append(StreamReset(number, Code.FLOW_CONTROL_ERROR))
            return
        if ended:
            stream.open = False
        elif stream.unacknowledged * 2 > self.limits.stream_window:
            self._out.append(_frame(WINDOW_UPDATE, 0, number, _LONG.pack(stream.unacknowledged)))
            stream.unacknowledged = 0
        events.append(DataReceived(number, data, ended))

    def _on_headers(self, flags: int, number: int, payload: bytes, events: list[Event]) -> None:
        block = self._unpad(flags, payload)
        if flags & HAS_PRIORITY:
            if len(block) < 5:
                raise RemoteFault(Code.FRAME_SIZE_ERROR, "HEADERS too short for its priority")
            if _LONG.unpack_from(block)[0] & _MOST_WINDOW == number:
                raise RemoteFault(Code.PROTOCOL_ERROR, "a stream that depends on itself")
            block = block[5:]
        if number % 2 == 0:
            raise RemoteFault(Code.PROTOCOL_ERROR, f"a client can't open stream {number}")
        if number not in self.streams and number <= self.last_id:
            raise RemoteFault(Code.STREAM_CLOSED, f"HEADERS on closed stream {number}")
        if flags & END_HEADERS:
            self._headers(number, block, bool(flags & END_STREAM), events)
        else:
            self._block = (number, bool(flags & END_STREAM), [block])

    def _on_continuation(self, flags: int, number: int, payload: bytes, events: list[Event]) -> None:
        if self._block is None:
            raise RemoteFault(Code.PROTOCOL_ERROR, "CONTINUATION without HEADERS")
        number, ended, parts = self._block
        parts.append(payload)
        # Danger: a block that never ends holds memory, and its connection's order, for ever.
        if len(parts) > 1 + self.limits.continuations or sum(map(len, parts)) > self.limits.header_block:
            raise RemoteFault(Code.ENHANCE_YOUR_CALM, "a header block without end")
        if flags & END_HEADERS:
            self._block = None
            self._headers(number, b"".join(parts), ended, events)

    def _headers(self, number: int, block: bytes, ended: bool, events: list[Event]) -> None:
        headers = self._decode(block)
        stream = self.streams.get(number)
        if stream is not None:  # trailers
            if not stream.open or not ended:
                raise RemoteFault(Code.PROTOCOL_ERROR, "a second header block that does not end its stream")
            stream.open = False
            events.append(DataReceived(number, b"", True))
            return
        self.last_id = number
        if self._leaving or len(self.streams) >= self.limits.streams:
            self._spend_calm(0.1, "refused HEADERS")
            self._out.append(_frame(RST_STREAM, 0, number, _LONG.pack(Code.REFUSED_STREAM)))
            return
        self.streams[number] = _Stream(self._first_window, self._calm_ms, not ended)
        if not _well_formed(headers):
            self.reset(number, Code.PROTOCOL_ERROR)
            return
        events.append(RequestReceived(number, headers, ended))

    def _decode(self, block: bytes) -> list[tuple[bytes, bytes]]:
        """The fields of a block. A block seen before under the same table need not be read again."""
        if self._seen_at != self._table.changes:
            self._seen.clear()
            self._seen_at = self._table.changes
        known = self._seen.get(block)
        if known is not None:
            return known
        if len(block) > self.limits.header_block:
            raise RemoteFault(Code.ENHANCE_YOUR_CALM, "a header block too large")
        try:
            headers = [(bytes(name), bytes(value)) for name, value in self._decoder.decode(block, raw=True)]
        except hpack.OversizedHeaderListError as problem:
            raise RemoteFault(Code.ENHANCE_YOUR_CALM, "a header list too large") from problem
        except (hpack.HPACKError, UnicodeDecodeError, IndexError) as problem:
            raise RemoteFault(Code.COMPRESSION_ERROR, "a header block that can't be read") from problem
        if self._seen_at == self._table.changes and len(self._seen) < 64 and len(block) < 512:
            self._seen[block] = headers
        return headers

    def _on_priority(self, flags: int, number: int, payload: bytes, events: list[Event]) -> None:
        if len(payload) != 5 or not number:
            raise RemoteFault(Code.FRAME_SIZE_ERROR if number else Code.PROTOCOL_ERROR, "a PRIORITY frame")
        self._spend_calm(1, "PRIORITY")

    def _on_reset(self, flags: int, number: int, payload: bytes, events: list[Event]) -> None:
        if len(payload) != 4:
            raise RemoteFault(Code.FRAME_SIZE_ERROR, "RST_STREAM must have 4 bytes")
        if not number or number > self.last_id:
            raise RemoteFault(Code.PROTOCOL_ERROR, "RST_STREAM on an idle stream")
        # A proxy whose clients leave gives up many held streams at once, and must not lose its connection for it;
        # the flood that costs us is of streams that are given up as soon as they are opened.
        stream = self.streams.get(number)
        held = stream is not None and self._calm_ms - stream.opened_ms >= HELD_MS
        self._spend_calm(0.02 if held else 1, "RST_STREAM")
        if stream is not None:
            self._drop(number)
            events.append(StreamReset(number, _LONG.unpack(payload)[0]))

    def _on_settings(self, flags: int, number: int, payload: bytes, events: list[Event]) -> None:
        if number:
            raise RemoteFault(Code.PROTOCOL_ERROR, "SETTINGS on a stream")
        if flags & ACK:
            if payload:
                raise RemoteFault(Code.FRAME_SIZE_ERROR, "an acknowledgement with settings in it")
            return
        self._spend_calm(1, "SETTINGS")
        self._settled = True
        self._settings(payload)
        self._out.append(_frame(SETTINGS, ACK, 0))
        self._flush_queues()

    def _settings(self, payload: bytes) -> None:
        if len(payload) % 6:
            raise RemoteFault(Code.FRAME_SIZE_ERROR, "SETTINGS not of whole settings")
        for key, value in _SETTING.iter_unpack(payload):
            if key == _WINDOW:
                if value > _MOST_WINDOW:
                    raise RemoteFault(Code.FLOW_CONTROL_ERROR, "an initial window too large")
                for stream in self.streams.values():
                    stream.window += value - self._first_window
                self._first_window = value
            elif key == _FRAME:
                if not 16384 <= value <= 16777215:
                    raise RemoteFault(Code.PROTOCOL_ERROR, "a frame size out of range")
                self._peer_frame = value
            elif key == _PUSH and value > 1:
                raise RemoteFault(Code.PROTOCOL_ERROR, "ENABLE_PUSH is 0 or 1")

    def _on_push(self, flags: int, number: int, payload: bytes, events: list[Event]) -> None:
        raise RemoteFault(Code.PROTOCOL_ERROR, "a client can't push")

    def _on_ping(self, flags: int, number: int, payload: bytes, events: list[Event]) -> None:
        if number:
            raise RemoteFault(Code.PROTOCOL_ERROR, "PING on a stream")
        if len(payload) != 8:
            raise RemoteFault(Code.FRAME_SIZE_ERROR, "PING must have 8 bytes")
        self._spend_calm(1, "PING")
        if not flags & ACK:
            self._out.append(_frame(PING, ACK, 0, payload))

    def _on_goaway(self, flags: int, number: int, payload: bytes, events: list[Event]) -> None:
        if number or len(payload) < 8:
            raise RemoteFault(Code.PROTOCOL_ERROR if number else Code.FRAME_SIZE_ERROR, "a GOAWAY frame")
        events.append(PeerLeaves(_LONG.unpack_from(payload, 4)[0]))

    def _on_window(self, flags: int, number: int, payload: bytes, events: list[Event]) -> None:
        if len(payload) != 4:
            raise RemoteFault(Code.FRAME_SIZE_ERROR, "WINDOW_UPDATE must have 4 bytes")
        more = _LONG.unpack(payload)[0] & _MOST_WINDOW
        self._spend_calm(0.02, "WINDOW_UPDATE")
        if number == 0:
            self._window += more
            if not more or self._window > _MOST_WINDOW:
                raise RemoteFault(
                    Code.FLOW_CONTROL_ERROR if more else Code.PROTOCOL_ERROR, "a connection window that can't be"
                )
            self._flush_queues()
            return
        stream = self.streams.get(number)
        if stream is None:
            if number > self.last_id:
                raise RemoteFault(Code.PROTOCOL_ERROR, "WINDOW_UPDATE on an idle stream")
            return
        stream.window += more
        if not more or stream.window > _MOST_WINDOW:
            code = Code.FLOW_CONTROL_ERROR if more else Code.PROTOCOL_ERROR
            self.reset(number, code)
            events.append(StreamReset(number, code))
        else:
            self._flush(number, stream)

    def _break(self, code: Code, why: str, events: list[Event]) -> None:
        self._out.append(_frame(GOAWAY, 0, 0, _LONG.pack(self.last_id) + _LONG.pack(code) + why.encode()))
        for number in list(self.streams):
            events.append(StreamReset(number, code))
            self._drop(number)
        self.closed = True
        self._in.clear()
        events.append(Broken(code, why))

    # ---- out -----------------------------------------------------------------------------------

    def data_to_send(self) -> bytes:
        """All that waits to be written; it is the caller's from now on."""
        out, self._out = b"".join(self._out), []
        return out

    def send_headers(self, number: int, block: bytes, ended: bool = False) -> None:
        """Open the answer with a block of `literal_block`. A stream that is closed takes nothing."""
        if number in self.streams:
            self._out.append(_frame(HEADERS, END_HEADERS | END_STREAM * ended, number, block))
            if ended:
                self._finished(number)

    def send_data(self, number: int, data: bytes, trailers: bytes = b"") -> None:
        """Send DATA as the peer's windows allow; `trailers`, a block, end the stream after it."""
        stream = self.streams.get(number)
        if stream is None:
            return
        size = len(data)
        if not stream.queue and size <= stream.window and size <= self._window and size <= self._peer_frame:
            stream.window -= size
            self._window -= size
            if size:
                self._out.append(_frame(DATA, 0, number, data))
            if trailers:
                self._out.append(_frame(HEADERS, END_HEADERS | END_STREAM, number, trailers))
                self._finished(number)
            return
        stream.queue.append((data, trailers))
        self._queued += size
        if self._queued > self.limits.queued:
            # A peer that asks much and reads nothing holds memory that all share.
            self.reset(number, Code.ENHANCE_YOUR_CALM)
        else:
            self._flush(number, stream)

    def _flush_queues(self) -> None:
        for number, stream in list(self.streams.items()) if self._queued else ():
            self._flush(number, stream)

    def _flush(self, number: int, stream: _Stream) -> None:
        while stream.queue:
            data, trailers = stream.queue.popleft()
            room = min(stream.window, self._window, self._peer_frame)
            if data and room <= 0:
                stream.queue.appendleft((data, trailers))
                return
            part, rest = data[:room], data[room:]
            stream.window -= len(part)
            self._window -= len(part)
            self._queued -= len(part)
            if part:
                self._out.append(_frame(DATA, 0, number, part))
            if rest:
                stream.queue.appendleft((rest, trailers))
            elif trailers:
                self._out.append(_frame(HEADERS, END_HEADERS | END_STREAM, number, trailers))
                self._finished(number)

    def _finished(self, number: int) -> None:
        stream = self.streams[number]
        self._calm = min(self.limits.calm, self._calm + 1)  # work was done: its PINGs and resets are paid for
        if stream.open:  # the whole answer is out; what the peer still sends is of no use
            self._out.append(_frame(RST_STREAM, 0, number, _LONG.pack(Code.NO_ERROR)))
        self._drop(number)

    def _drop(self, number: int) -> None:
        stream = self.streams.pop(number)
        self._queued -= sum(len(data) for data, _ in stream.queue)

    def reset(self, number: int, code: Code) -> None:
        """Give a stream up."""
        if number in self.streams:
            self._out.append(_frame(RST_STREAM, 0, number, _LONG.pack(code)))
            self._drop(number)

    def end(self, code: Code, why: str) -> list[Event]:
        """End the connection ourselves, as if the peer had broken it; what it was in the middle of is reset."""
        events: list[Event] = []
        self._break(code, why, events)
        return events

    def leave(self) -> None:
        """GOAWAY without fault: open streams are finished, new ones refused."""
        if not self._leaving and not self.closed:
            self._leaving = True
            self._out.append(_frame(GOAWAY, 0, 0, _LONG.pack(self.last_id) + _LONG.pack(Code.NO_ERROR)))


class _WatchedTable(hpack.table.HeaderTable):
    """A header table that counts its changes."""

    def __init__(self) -> None:
        super().__init__()
        self.changes = 0

    def add(self, name: bytes, value: bytes) -> None:
        self.changes += 1
        super().add(name, value)

    def _shrink(self) -> None:
        self.changes += 1
        super()._shrink()


def _well_formed(headers: list[tuple[bytes, bytes]]) -> bool:
    """RFC 9113, 8.2 and 8.3: lower case, pseudo-headers first and once, nothing of one connection only."""
    pseudo: set[bytes] = set()
    plain = False
    for name, value in headers:
        if name[:1] == b":":
            if plain or name in pseudo or name not in (b":method", b":scheme", b":path", b":authority"):
                return False
            pseudo.add(name)
            continue
        plain = True
        if not name or name != name.lower() or b"\r" in value or b"\n" in value or b"\0" in value:
            return False
        if name in (b"connection", b"transfer-encoding", b"upgrade", b"keep-alive", b"proxy-connection"):
            return False
    return {b":method", b":scheme", b":path"} <= pseudo


_HANDLERS = (
    Connection._on_data,
    Connection._on_headers,
    Connection._on_priority,
    Connection._on_reset,
    Connection._on_settings,
    Connection._on_push,
    Connection._on_ping,
    Connection._on_goaway,
    Connection._on_window,
    Connection._on_continuation,
)
