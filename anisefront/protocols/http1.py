"""HTTP/1.1 messages (RFC 9112): one reader for requests and responses, and their encoding. Free of I/O.

    head --(length | chunks | until close | none)--> body --> head of the next message

A message whose length is ambiguous is rejected, not interpreted.
"""

from __future__ import annotations

import re
from dataclasses import dataclass

_TOKEN = re.compile(rb"[!#$%&'*+\-.^_`|~0-9A-Za-z]+\Z")
_NO_BODY = (204, 304)
REASONS = {
    200: "OK",
    400: "Bad Request",
    403: "Forbidden",
    404: "Not Found",
    409: "Conflict",
    426: "Upgrade Required",
    429: "Too Many Requests",
    500: "Internal Server Error",
    502: "Bad Gateway",
    503: "Service Unavailable",
    504: "Gateway Timeout",
}


class MessageError(Exception):
    """The peer sent bytes that are not a valid HTTP/1.1 message.

    Attributes:
        status: The status with which a server rejects the message.
    """

    def __init__(self, status: int, reason: str) -> None:
        """Create an error whose text is the reason."""
        super().__init__(reason)
        self.status = status


@dataclass(frozen=True, slots=True)
class Message:
    """A complete request (`method`, `target`) or response (`status`). Names of headers are in lower case."""

    method: str
    target: str
    status: int
    headers: dict[str, str]
    body: bytes
    keep_alive: bool


@dataclass(frozen=True, slots=True)
class Head:
    """The head of a response, returned before its body is complete."""

    status: int
    headers: dict[str, str]


@dataclass(frozen=True, slots=True)
class BodyChunk:
    """One chunk of a chunked body, returned before the message is complete."""

    data: bytes


class MessageReader:
    """Reads the messages that one side of a connection sends.

    Attributes:
        head_only: The next response answers a HEAD request, so it has no body.
    """

    def __init__(
        self,
        requests: bool,
        max_head_bytes: int = 16384,
        max_body_bytes: int = 1 << 20,
        stream_chunks: bool = False,
    ) -> None:
        """Create a reader at the start of a connection.

        Args:
            requests: The messages are requests, as a server reads them; otherwise they are responses.
            max_head_bytes: The longest head that is accepted.
            max_body_bytes: The longest body that is accepted.
            stream_chunks: Return each chunk of a chunked body as a `BodyChunk`. The message at its end then has an
                empty body, and only the single chunk is limited, not the whole body.
        """
        self._requests, self._max_head_bytes, self._max_body_bytes = requests, max_head_bytes, max_body_bytes
        self._chunks: list[BodyChunk] | None = [] if stream_chunks else None
        self._buffer = bytearray()
        self._start_line: tuple[str, str, int, bytes] | None = None  # method, target, status, version
        self._headers: dict[str, str] = {}
        self._body = bytearray()
        # How the body ends ("length", "chunk", "close"), and the bytes that its length or current chunk still lacks.
        self._framing, self._remaining = "", 0
        self.head_only = False

    @property
    def has_partial_message(self) -> bool:
        """Tell whether bytes of an incomplete message were received."""
        return bool(self._buffer) or self._start_line is not None

    @property
    def incomplete_bytes(self) -> int:
        """Count the bytes held of an incomplete message."""
        return len(self._buffer) + len(self._body)

    def feed(self, data: bytes, only_first: bool = False) -> list[Message | Head | BodyChunk]:
        """Return the events that these bytes complete.

        Args:
            data: The received bytes.
            only_first: Stop after one message, and leave the bytes that follow it in the buffer.

        Raises:
            MessageError: The bytes are not valid HTTP/1.1, or exceed a limit.
        """
        self._buffer += data
        events: list[Message | Head | BodyChunk] = []
        while True:
            if self._start_line is None:
                if not self._read_head():
                    return events
                if not self._requests:
                    events.append(Head(self._start_line[2], self._headers))
            complete = self._read_body()
            if self._chunks:
                events += self._chunks
                self._chunks.clear()
            if not complete:
                return events
            events.append(self._finish())
            if only_first:
                return events

    def unread_bytes(self) -> bytearray:
        """Return the bytes after the last message: the next message, or another protocol after an upgrade."""
        return self._buffer

    def close(self) -> list[Message]:
        """Return the message that the end of the connection completes, if there is one.

        Raises:
            MessageError: The connection was closed within a message.
        """
        if self._start_line is not None and self._framing == "close":
            return [self._finish()]
        if self.has_partial_message:
            raise MessageError(400, "the connection was closed within a message")
        return []

    def _read_head(self) -> bool:
        while self._buffer[:2] == b"\r\n":  # RFC 9112, 2.2: skip an empty line before a start line
            del self._buffer[:2]
        end = self._buffer.find(b"\r\n\r\n")
        if end < 0:
            if len(self._buffer) > self._max_head_bytes:
                raise MessageError(431, f"head longer than {self._max_head_bytes} bytes")
            return False
        if end > self._max_head_bytes:
            raise MessageError(431, f"head longer than {self._max_head_bytes} bytes")
        start_line, *lines = bytes(self._buffer[:end]).split(b"\r\n")
        del self._buffer[: end + 4]
        self._start_line = self._parse_start_line(start_line)
        self._headers = {}
        for line in lines:
            name, colon, value = line.partition(b":")
            if not colon or not _TOKEN.match(name) or b"\0" in value or b"\r" in value or b"\n" in value:
                raise MessageError(400, f"invalid header line {line[:60]!r}")
            key, text = name.decode("ascii").lower(), value.strip(b" \t").decode("latin-1")
            if key == "content-length" and self._headers.get(key, text) != text:
                raise MessageError(400, "two different values of content-length")
            previous = self._headers.get(key)
            self._headers[key] = text if previous is None or key == "content-length" else f"{previous}, {text}"
        self._set_framing()
        return True

    def _parse_start_line(self, line: bytes) -> tuple[str, str, int, bytes]:
        parts = line.split(b" ", 2)
        if self._requests:
            if (
                len(parts) != 3
                or not _TOKEN.match(parts[0])
                or parts[2] not in (b"HTTP/1.1", b"HTTP/1.0")
                or not parts[1]
            ):
                raise MessageError(400, f"invalid request line {line[:60]!r}")
            return parts[0].decode("ascii"), parts[1].decode("latin-1"), 0, parts[2]
        if len(parts) < 2 or parts[0] not in (b"HTTP/1.1", b"HTTP/1.0") or not parts[1].isdigit() or len(parts[1]) != 3:
            raise MessageError(502, f"invalid status line {line[:60]!r}")
        return "", "", int(parts[1]), parts[0]

    def _set_framing(self) -> None:
        status, coding = self._start_line[2], self._headers.get("transfer-encoding", "").lower()
        length = self._headers.get("content-length")
        self._body.clear()
        if self._requests is False and (self.head_only or status in _NO_BODY or 100 <= status < 200):
            self._framing, self._remaining = "length", 0
        elif coding:
            # With both fields, or with a coding after `chunked`, two implementations can disagree on the length of the
            # message, which allows request smuggling.
            if coding != "chunked" or length is not None:
                raise MessageError(400, f"transfer-encoding {coding[:30]!r} is not supported")
            self._framing, self._remaining = "chunk", -1
        elif length is not None:
            if not (length.isascii() and length.isdigit()) or len(length) > 15:
                raise MessageError(400, f"invalid content-length {length[:30]!r}")
            self._framing, self._remaining = "length", int(length)
            self._check_size(self._remaining)
        elif self._requests:
            self._framing, self._remaining = "length", 0
        else:
            self._framing, self._remaining = "close", 0

    def _check_size(self, size: int) -> None:
        if size > self._max_body_bytes:
            raise MessageError(413, f"body longer than {self._max_body_bytes} bytes")

    def _read_body(self) -> bool:
        if self._framing == "chunk":
            return self._read_chunks()
        if self._framing == "close":
            self._check_size(len(self._body) + len(self._buffer))
            self._body += self._buffer
            self._buffer.clear()
            return False
        received = self._buffer[: self._remaining]
        del self._buffer[: len(received)]
        self._body += received
        self._remaining -= len(received)
        return self._remaining == 0

    def _read_chunks(self) -> bool:
        while True:
            if self._remaining > 0:  # the chunk's data and the line end after it
                if len(self._buffer) < self._remaining + 2:
                    return False
                if self._buffer[self._remaining : self._remaining + 2] != b"\r\n":
                    raise MessageError(400, "a chunk is not followed by a line end")
                if self._chunks is not None:
                    self._chunks.append(BodyChunk(bytes(self._buffer[: self._remaining])))
                else:
                    self._body += self._buffer[: self._remaining]
                del self._buffer[: self._remaining + 2]
                self._remaining = -1
            end = self._buffer.find(b"\r\n")
            if end < 0:
                if len(self._buffer) > 1024:
                    raise MessageError(400, "chunk size or trailer line longer than 1024 bytes")
                return False
            if self._remaining == 0:  # trailers, up to an empty line
                line = bytes(self._buffer[:end])
                del self._buffer[: end + 2]
                if not line:
                    return True
                continue
            size = bytes(self._buffer[:end]).split(b";")[0].strip()
            if not re.match(rb"[0-9A-Fa-f]{1,8}\Z", size):
                raise MessageError(400, f"invalid chunk size {size[:20]!r}")
            del self._buffer[: end + 2]
            self._remaining = int(size, 16)
            self._check_size(len(self._body) + self._remaining)

    def _finish(self) -> Message:
        method, target, status, version = self._start_line
        options = {option.strip() for option in self._headers.get("connection", "").lower().split(",")}
        keep_alive = "close" not in options and (version == b"HTTP/1.1" or "keep-alive" in options)
        message = Message(
            method, target, status, self._headers, bytes(self._body), keep_alive and self._framing != "close"
        )
        self._start_line = None
        self._headers = {}
        self._body.clear()
        self._framing = ""
        return message


def _check_no_line_break(text: str) -> str:
    if "\r" in text or "\n" in text or "\0" in text:
        raise ValueError(f"a line break in {text[:40]!r}")
    return text


def encode_request(method: str, target: str, headers: dict[str, str], body: bytes = b"") -> bytes:
    """Encode a request. Its length is computed; a length in `headers` is ignored.

    Raises:
        ValueError: A value would produce an invalid request line or header.
    """
    if not _TOKEN.match(method.encode("latin-1")) or " " in target or not target:
        raise ValueError(f"{method[:20]!r} {target[:40]!r} is no request line")
    lines = [f"{method} {_check_no_line_break(target)} HTTP/1.1"]
    return _encode(lines, headers, body, with_length=bool(body) or method in ("POST", "PUT", "PATCH"))


def encode_response(status: int, headers: dict[str, str], body: bytes = b"") -> bytes:
    """Encode a response. Its length is computed; a length in `headers` is ignored."""
    return _encode([f"HTTP/1.1 {status} {REASONS.get(status, 'Status')}"], headers, body, with_length=True)


def _encode(lines: list[str], headers: dict[str, str], body: bytes, with_length: bool) -> bytes:
    for name, value in headers.items():
        if name.lower() not in ("content-length", "transfer-encoding"):
            if not _TOKEN.match(name.encode("latin-1")):
                raise ValueError(f"{name[:40]!r} is no header name")
            lines.append(f"{name}: {_check_no_line_break(value)}")
    if with_length:
        lines.append(f"content-length: {len(body)}")
    return "\r\n".join(lines).encode("latin-1") + b"\r\n\r\n" + body
