"""RESP2, read and written, free of I/O: commands that clients send, answers that workers give.

    command: array head --> (length --> value) for each part --> command
    answer:  error line | array head of three --> value --> figures --> report

A length is refused when it is read, never after buffering, and nothing is made by a length that was only promised.
What can't be read ends the reader: its `RespFault` holds the line to answer. Cost is linear in the bytes, however cut.
"""

from __future__ import annotations

from typing import NamedTuple

MOST_VALUE = 64 << 10  # bytes of one value
MOST_PARTS = 8  # of a command
MOST_HEAD = 16  # bytes of a line that holds a number, without its end
MOST_LINE = 512  # bytes of an answer's line
ANSWER_PARTS = 3  # the value, the figures on use, the load report


class RespFault(Exception):
    """The other side sent what is no RESP2 of the platform's form. `line` is the error to answer, without its end."""

    def __init__(self, why: str) -> None:
        super().__init__(why)
        self.line = f"ERR Protocol error: {why}".encode()


class _Reader:
    """Bytes that have come and were not read yet, and where the search for a line's end goes on."""

    def __init__(self) -> None:
        self._in = bytearray()
        self._at = 0  # the next byte to read
        self._seen = 0  # up to here there is no end of the present line
        self._parts: list[bytes] | None = None  # of the array that has begun
        self._length = -1  # of the value that is next; below nothing: its line is

    @property
    def midway(self) -> bool:
        """True while something has begun and not ended, or follows what was read."""
        return bool(self._in) or self._parts is not None

    def _line(self, most: int) -> bytes | None:
        """The next line without its end; None where it has not come whole."""
        data, at = self._in, self._at
        end = data.find(b"\r\n", max(at, self._seen - 1))
        if (end if end >= 0 else len(data) - 1) - at > most:
            raise RespFault(f"a line of over {most} bytes")
        if end < 0:
            self._seen = len(data)
            return None
        self._at = end + 2
        return bytes(data[at:end])

    @staticmethod
    def _size(digits: bytes, most: int, what: str) -> int:
        if not digits.isdigit() or int(digits) > most:
            raise RespFault(f"invalid {what} length")
        return int(digits)

    def _value(self) -> bytes | None:
        """The value whose length was read, and the line end after it; None where they have not come."""
        at, end = self._at, self._at + self._length
        if len(self._in) < end + 2:
            return None
        if self._in[end : end + 2] != b"\r\n":
            raise RespFault("a value that does not end where its length says")
        self._at, self._length = end + 2, -1
        return bytes(self._in[at:end])

    def _forget(self) -> None:
        if self._at:
            del self._in[: self._at]
            self._at = self._seen = 0


class CommandReader(_Reader):
    """Reads arrays of bulk strings. `fault` is set where what came can't be read; nothing is read after it."""

    def __init__(self) -> None:
        super().__init__()
        self._due = 0  # parts
        self.fault: RespFault | None = None

    def feed(self, data: bytes) -> list[list[bytes]]:
        """The commands that these bytes complete; what can't be read is left in `fault`."""
        out: list[list[bytes]] = []
        if self.fault is not None:
            return out
        self._in += data
        try:
            while (command := self._command()) is not None:
                out.append(command)
        except RespFault as problem:
            self.fault = problem
            self._in.clear()
            self._parts = None
            return out
        self._forget()
        return out

    def _command(self) -> list[bytes] | None:
        if self._parts is None:
            line = self._line(MOST_HEAD)
            if line is None:
                if self._in[self._at : self._at + 1] not in (b"", b"*"):
                    raise RespFault("expected '*'")
                return None
            if line[:1] != b"*":
                raise RespFault("expected '*'")
            self._due = self._size(line[1:], MOST_PARTS, "multibulk")
            if not self._due:
                raise RespFault("invalid multibulk length")
            self._parts = []
        parts = self._parts
        while len(parts) < self._due:
            if self._length < 0:
                line = self._line(MOST_HEAD)
                if line is None:
                    return None
                if line[:1] != b"$":
                    raise RespFault("expected '$'")
                self._length = self._size(line[1:], MOST_VALUE, "bulk")
            value = self._value()
            if value is None:
                return None
            parts.append(value)
        self._parts = None
        return parts


class Answer(NamedTuple):
    """A worker's whole answer: a value with figures and report, or an error line (`value` is None)."""

    value: bytes | None
    error: bytes = b""  # without its sign
    used: bytes = b""
    report: bytes = b""


class AnswerReader(_Reader):
    """Reads a worker's answers, one at a time."""

    def feed(self, data: bytes) -> Answer | None:
        """The answer that these bytes complete; what follows it stays unread. Raises `RespFault`."""
        self._in += data
        answer = self._answer()
        self._forget()
        return answer

    def _answer(self) -> Answer | None:
        if self._parts is None:
            line = self._line(MOST_LINE)
            if line is None:
                if self._in[self._at : self._at + 1] not in (b"", b"*", b"-"):
                    raise RespFault("an answer of no known kind")
                return None
            if line[:1] == b"-":
                return Answer(None, line[1:])
            if line != b"*%d" % ANSWER_PARTS:
                raise RespFault("an answer of no known kind")
            self._parts = []
        while len(self._parts) < ANSWER_PARTS:
            part = self._part(first=not self._parts)
            if part is None:
                return None
            self._parts.append(part)
        value, used, report = self._parts
        self._parts = None
        return Answer(value, b"", used, report)

    def _part(self, first: bool) -> bytes | None:
        """One part; the figures and the report may be null (then empty), or of any plain kind."""
        if self._length < 0:
            line = self._line(MOST_LINE)
            if line is None:
                return None
            kind, rest = line[:1], line[1:]
            if kind != b"$":
                if first or kind not in (b"+", b":", b"-"):
                    raise RespFault("a part of no known kind")
                return rest
            if rest == b"-1" and not first:
                return b""
            self._length = self._size(rest, MOST_VALUE, "bulk")
        return self._value()


def array(count: int, parts: list[bytes]) -> bytes:
    """The head of an array of `count` bulk strings, and the first of them."""
    return b"*%d\r\n" % count + b"".join(map(bulk, parts))


def command(parts: list[bytes]) -> bytes:
    """An array of bulk strings."""
    return array(len(parts), parts)


def bulk(value: bytes) -> bytes:
    """A value: a part of a command, or the answer to a client."""
    return b"$%d\r\n%b\r\n" % (len(value), value)


def error(line: bytes) -> bytes:
    """An error line; ends of lines in it would be another's answer and are taken out."""
    return b"-%b\r\n" % line.replace(b"\r", b" ").replace(b"\n", b" ")
