"""Events that an HTTP/2 connection returns for the bytes that it receives."""

from __future__ import annotations

from dataclasses import dataclass

from anisefront.protocols.http2_frames import ErrorCode


@dataclass(frozen=True, slots=True)
class RequestReceived:
    """A client opened a stream with a request."""

    stream_id: int
    headers: list[tuple[bytes, bytes]]
    end_stream: bool


@dataclass(frozen=True, slots=True)
class DataReceived:
    """Data of a request; trailers arrive as empty data that ends the stream."""

    stream_id: int
    data: bytes
    end_stream: bool


@dataclass(frozen=True, slots=True)
class StreamReset:
    """A stream ended before its response: the client reset it, or violated the protocol on it."""

    stream_id: int
    code: int


@dataclass(frozen=True, slots=True)
class GoAwayReceived:
    """The client opens no more streams."""

    code: int


@dataclass(frozen=True, slots=True)
class ConnectionTerminated:
    """The connection has ended; what is left to send tells the client why."""

    code: ErrorCode
    reason: str


Event = RequestReceived | DataReceived | StreamReset | GoAwayReceived | ConnectionTerminated
