"""Start of a connection: the client preface, by prior knowledge or after an upgrade from HTTP/1.1.

RFC 9113, sections 3.3 and 3.4; RFC 7540, section 3.2 (the upgrade to h2c, which RFC 9113 deprecates).
"""

from __future__ import annotations

import base64
import binascii

from anisefront.protocols import http1
from anisefront.protocols.http2_frames import PREFACE, ErrorCode, FrameBuffer, Http2ConnectionError
from anisefront.protocols.http2_headers import Headers
from anisefront.protocols.http2_limits import Http2Limits

METHOD_BYTES = 4  # enough to tell the preface's "PRI " from the method of an HTTP/1.1 request
UPGRADED_STREAM = 1  # the stream of the request that upgrades the connection

SWITCHING_PROTOCOLS = b"HTTP/1.1 101 Switching Protocols\r\nconnection: Upgrade\r\nupgrade: h2c\r\n\r\n"
UPGRADE_REQUIRED = http1.encode_response(
    426,
    {"upgrade": "h2c", "connection": "close"},
    b"HTTP/2 is spoken here: gRPC by prior knowledge, or Upgrade: h2c\n",
)
# Fields that concern the HTTP/1.1 connection only; `host` becomes `:authority`.
_HTTP1_HEADERS = ("host", "connection", "upgrade", "http2-settings", "transfer-encoding", "keep-alive")


def requests_h2c(request: http1.Message) -> bool:
    """Tell whether a request asks to upgrade to h2c."""
    protocols = [protocol.strip() for protocol in request.headers.get("upgrade", "").lower().split(",")]
    return "h2c" in protocols and bool(request.headers.get("http2-settings", ""))


def decode_settings_header(request: http1.Message) -> bytes:
    """Return the payload of the SETTINGS frame that the header HTTP2-Settings carries (section 3.2.1).

    Raises:
        Http2ConnectionError: The header is not base64url.
    """
    text = request.headers["http2-settings"]
    try:
        return base64.urlsafe_b64decode(text + "=" * (-len(text) % 4))
    except (ValueError, binascii.Error) as error:
        raise Http2ConnectionError(ErrorCode.PROTOCOL_ERROR, "HTTP2-Settings can't be read") from error


def request_headers(request: http1.Message) -> Headers:
    """Return the headers that the request has on stream 1 after the upgrade."""
    headers = [
        (b":method", request.method.encode()),
        (b":scheme", b"http"),
        (b":path", request.target.encode("latin-1")),
        (b":authority", request.headers.get("host", "").encode("latin-1")),
    ]
    for name, value in request.headers.items():
        if name not in _HTTP1_HEADERS:
            headers.append((name.encode(), value.encode("latin-1")))
    return headers


class ConnectionStart:
    """Reads the bytes before the first frame."""

    __slots__ = ("_http1", "_preface_received")

    def __init__(self, limits: Http2Limits) -> None:
        """Create the reader of a new connection."""
        self._http1: http1.MessageReader | None = http1.MessageReader(
            True, limits.max_header_block_bytes, limits.max_upgrade_body_bytes
        )
        self._preface_received = False

    @property
    def is_http2(self) -> bool:
        """Tell whether HTTP/2 follows; before, the connection may still be an HTTP/1.1 one."""
        return self._http1 is None

    def receive_request(self, frames: FrameBuffer) -> http1.Message | None:
        """Return the HTTP/1.1 request that the connection starts with, None by prior knowledge or if it is incomplete.

        Raises:
            Http2ConnectionError: The bytes are neither HTTP/1.1 nor HTTP/2.
        """
        received = frames.received
        size = min(METHOD_BYTES, len(received))
        if received[:size] == PREFACE[:size]:
            if size == METHOD_BYTES:
                self._http1 = None
            return None
        try:
            messages = self._http1.feed(bytes(received), only_first=True)
        except http1.MessageError as error:
            raise Http2ConnectionError(ErrorCode.PROTOCOL_ERROR, "no HTTP/2 preface") from error
        received.clear()
        if not messages:
            return None
        frames.received = self._http1.unread_bytes()
        self._http1 = None
        return messages[0]

    def receive_preface(self, frames: FrameBuffer) -> bool:
        """Tell whether the client preface is complete.

        Raises:
            Http2ConnectionError: The bytes are not the preface.
        """
        if self._preface_received:
            return True
        received = frames.received
        size = min(len(received), len(PREFACE))
        if received[:size] != PREFACE[:size]:
            raise Http2ConnectionError(ErrorCode.PROTOCOL_ERROR, "no HTTP/2 preface")
        if size < len(PREFACE):
            return False
        del received[:size]
        self._preface_received = True
        return True
