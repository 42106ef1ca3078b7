"""HTTP/1.1 (RFC 9112) messages, read and written, free of I/O; both sides of a connection use the one reader.

    head --(length | chunks | until close | none)--> body --> head of the next message

It never pipelines, never guesses at an unclear length, and says by its error what was wrong.
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


class MessageFault(Exception):
    """The peer sent what is no HTTP/1.1 message; `status` is what a server would answer."""

    def __init__(self, status: int, why: str) -> None:
        super().__init__(why)
        self.status = status


@dataclass(frozen=True, slots=True)
class Message:
    """A whole request (`method`, `target`) or response (`status`). Names of headers are lower case."""

    method: str
    target: str
    status: int
    headers: dict[str, str]
    body: bytes
    keep_alive: bool


@dataclass(frozen=True, slots=True)
class Head:
    """The head of a response has come: the peer has begun its answer."""

    status: int
    headers: dict[str, str]


@dataclass(frozen=True, slots=True)
class Part:
    """A chunk of a body that is handed on as it comes."""

    data: bytes


class Reader:
    """Reads the messages of one side of a connection: `requests` true on a server, false on a client.

    `parts`: a chunked body comes as a `Part` for each chunk, and the message at its end has none; what it may hold in
    all is not bounded then."""

    def __init__(self, requests: bool, most_head: int = 16384, most_body: int = 1 << 20, parts: bool = False) -> None:
        self._requests, self._most_head, self._most_body = requests, most_head, most_body
        self._parts: list[Part] | None = [] if parts else None
        self._in = bytearray()
        self._start: tuple[str, str, int, bytes] | None = None
        self._headers: dict[str, str] = {}
        self._body = bytearray()
        self._mode, self._left = "", 0  # "length", "chunk", "close"; bytes of it still to come
        self.head_only = False  # the next response answers a HEAD request

    @property
    def midway(self) -> bool:
        """True while a message has begun and not ended."""
        return bool(self._in) or self._start is not None

    def feed(self, data: bytes, only_first: bool = False) -> list[Message | Head | Part]:
        """What these bytes complete; raises `MessageFault`. `only_first` leaves what follows a message alone."""
        self._in += data
        out: list[Message | Head | Part] = []
        while True:
            if self._start is None:
                if not self._read_head():
                    return out
                if not self._requests:
                    out.append(Head(self._start[2], self._headers))
            whole = self._read_body()
            if self._parts:
                out += self._parts
                self._parts.clear()
            if not whole:
                return out
            out.append(self._finish())
            if only_first:
                return out

    def rest(self) -> bytearray:
        """Bytes after the last message: the next one's, or another protocol's after an upgrade."""
        return self._in

    def close(self) -> list[Message]:
        """The peer has closed: the message that this ends, if it is whole; raises where one is cut off."""
        if self._start is not None and self._mode == "close":
            return [self._finish()]
        if self.midway:
            raise MessageFault(400, "closed in the middle of a message")
        return []

    def _read_head(self) -> bool:
        while self._in[:2] == b"\r\n":  # RFC 9112, 2.2: skip an empty line before a start line
            del self._in[:2]
        end = self._in.find(b"\r\n\r\n")
        if end < 0:
            if len(self._in) > self._most_head:
                raise MessageFault(431, f"a head of over {self._most_head} bytes")
            return False
        if end > self._most_head:
            raise MessageFault(431, f"a head of over {self._most_head} bytes")
        first, *lines = bytes(self._in[:end]).split(b"\r\n")
        del self._in[: end + 4]
        self._start = self._start_line(first)
        self._headers = {}
        for line in lines:
            name, colon, value = line.partition(b":")
            if not colon or not _TOKEN.match(name) or b"\0" in value or b"\r" in value or b"\n" in value:
                raise MessageFault(400, f"header line {line[:60]!r} can't be read")
            key, text = name.decode("ascii").lower(), value.strip(b" \t").decode("latin-1")
            if key == "content-length" and self._headers.get(key, text) != text:
                raise MessageFault(400, "two lengths that differ")
            known = self._headers.get(key)
            self._headers[key] = text if known is None or key == "content-length" else f"{known}, {text}"
        self._body_mode()
        return True

    def _start_line(self, line: bytes) -> tuple[str, str, int, bytes]:
        parts = line.split(b" ", 2)
        if self._requests:
            if (
                len(parts) != 3
                or not _TOKEN.match(parts[0])
                or parts[2] not in (b"HTTP/1.1", b"HTTP/1.0")
                or not parts[1]
            ):
                raise MessageFault(400, f"request line {line[:60]!r} can't be read")
            return parts[0].decode("ascii"), parts[1].decode("latin-1"), 0, parts[2]
        if len(parts) < 2 or parts[0] not in (b"HTTP/1.1", b"HTTP/1.0") or not parts[1].isdigit() or len(parts[1]) != 3:
            raise MessageFault(502, f"status line {line[:60]!r} can't be read")
        return "", "", int(parts[1]), parts[0]

    def _body_mode(self) -> None:
        status, coding = self._start[2], self._headers.get("transfer-encoding", "").lower()
        length = self._headers.get("content-length")
        self._body.clear()
        if self._requests is False and (self.head_only or status in _NO_BODY or 100 <= status < 200):
            self._mode, self._left = "length", 0
        elif coding:
            # Danger: a message with both, or with a coding that is not the last, is how requests are smuggled.
            if coding != "chunked" or length is not None:
                raise MessageFault(400, f"transfer-encoding {coding[:30]!r} can't be taken")
            self._mode, self._left = "chunk", -1
        elif length is not None:
            if not (length.isascii() and length.isdigit()) or len(length) > 15:
                raise MessageFault(400, f"content-length {length[:30]!r} is no number")
            self._mode, self._left = "length", int(length)
            self._check_size(self._left)
        elif self._requests:
            self._mode, self._left = "length", 0
        else:
            self._mode, self._left = "close", 0

    def _check_size(self, size: int) -> None:
        if size > self._most_body:
            raise MessageFault(413, f"a body of over {self._most_body} bytes")

    def _read_body(self) -> bool:
        if self._mode == "chunk":
            return self._read_chunks()
        if self._mode == "close":
            self._check_size(len(self._body) + len(self._in))
            self._body += self._in
            self._in.clear()
            return False
        part = self._in[: self._left]
        del self._in[: len(part)]
        self._body += part
        self._left -= len(part)
        return self._left == 0

    def _read_chunks(self) -> bool:
        while True:
            if self._left > 0:  # the chunk and the line end after it
                if len(self._in) < self._left + 2:
                    return False
                if self._in[self._left : self._left + 2] != b"\r\n":
                    raise MessageFault(400, "a chunk that does not end where it should")
                if self._parts is not None:
                    self._parts.append(Part(bytes(self._in[: self._left])))
                else:
                    self._body += self._in[: self._left]
                del self._in[: self._left + 2]
                self._left = -1
            end = self._in.find(b"\r\n")
            if end < 0:
                if len(self._in) > 1024:
                    raise MessageFault(400, "a chunk's line without end")
                return False
            if self._left == 0:  # trailers, up to an empty line
                line = bytes(self._in[:end])
                del self._in[: end + 2]
                if not line:
                    return True
                continue
            size = bytes(self._in[:end]).split(b";")[0].strip()
            if not re.match(rb"[0-9A-Fa-f]{1,8}\Z", size):
                raise MessageFault(400, f"chunk size {size[:20]!r} can't be read")
            del self._in[: end + 2]
            self._left = int(size, 16)
            self._check_size(len(self._body) + self._left)

    def _finish(self) -> Message:
        method, target, status, version = self._start
        options = {part.strip() for part in self._headers.get("connection", "").lower().split(",")}
        keep = "close" not in options and (version == b"HTTP/1.1" or "keep-alive" in options)
        message = Message(method, target, status, self._headers, bytes(self._body), keep and self._mode != "close")
        self._start = None
        self._headers = {}
        self._body.clear()
        self._mode = ""
        return message


def _check(text: str) -> str:
    if "\r" in text or "\n" in text or "\0" in text:
        raise ValueError(f"a line break in {text[:40]!r}")
    return text


def request(method: str, target: str, headers: dict[str, str], body: bytes = b"") -> bytes:
    """A request. Lengths are ours to write; `ValueError` for what would break the lines."""
    if not _TOKEN.match(method.encode("latin-1")) or " " in target or not target:
        raise ValueError(f"{method[:20]!r} {target[:40]!r} is no request line")
    lines = [f"{method} {_check(target)} HTTP/1.1"]
    return _write(lines, headers, body, always=bool(body) or method in ("POST", "PUT", "PATCH"))


def response(status: int, headers: dict[str, str], body: bytes = b"") -> bytes:
    """A response with its length."""
    return _write([f"HTTP/1.1 {status} {REASONS.get(status, 'Status')}"], headers, body, always=True)


def _write(lines: list[str], headers: dict[str, str], body: bytes, always: bool) -> bytes:
    for name, value in headers.items():
        if name.lower() not in ("content-length", "transfer-encoding"):
            if not _TOKEN.match(name.encode("latin-1")):
                raise ValueError(f"{name[:40]!r} is no header name")
            lines.append(f"{name}: {_check(value)}")
    if always:
        lines.append(f"content-length: {len(body)}")
    return "\r\n".join(lines).encode("latin-1") + b"\r\n\r\n" + body
