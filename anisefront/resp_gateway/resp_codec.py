"""RESP2 codec without I/O: commands from clients, replies from workers.

    command:      array head --> (length --> value) for each part --> command
    worker reply: error line | array head of three --> payload --> usage --> load report

A length above its cap is rejected when it is read, before anything is buffered for it, and no memory is allocated for
bytes that were only announced. A protocol error ends the reader. Cost is linear in the bytes, however they are split.
A command can be discarded while it is incomplete: its values are freed, and the rest of it is skipped as it arrives.
"""

from __future__ import annotations

from typing import NamedTuple

from anisefront.resp_gateway.errors import RespProtocolError

MAX_VALUE_BYTES = 64 << 10
MAX_COMMAND_PARTS = 8
MAX_LENGTH_LINE_BYTES = 16  # a line that holds a number, without its end
MAX_REPLY_LINE_BYTES = 512  # a line of a worker's reply
WORKER_REPLY_PARTS = 3  # the payload, the usage figures, the load report
NO_LENGTH = -1  # the next value's length line has not been read
DISCARDED: list[bytes] = []  # in place of the parts of a command that was discarded before it was complete


class _Reader:
    """Buffer of received bytes, with the position of the next byte and of the search for a line's end."""

    def __init__(self) -> None:
        self._buffer = bytearray()
        self._position = 0
        self._searched = 0  # up to here the current line has no end
        self._parts: list[bytes] | None = None  # of the array being read
        self._length = NO_LENGTH

    @property
    def has_partial(self) -> bool:
        """Tell whether bytes follow the last complete command or reply."""
        return bool(self._buffer) or self._parts is not None

    @property
    def incomplete_bytes(self) -> int:
        """Count the bytes held of an incomplete command or reply."""
        return len(self._buffer) + sum(map(len, self._parts or ()))

    def _read_line(self, max_bytes: int) -> bytes | None:
        """Return the next line without its end, None while it is incomplete."""
        data = self._buffer
        start = self._position
        end = data.find(b"\r\n", max(start, self._searched - 1))
        received_end = end if end >= 0 else len(data) - 1  # the last byte may be the first of the line's end
        if received_end - start > max_bytes:
            raise RespProtocolError(f"a line of over {max_bytes} bytes")
        if end < 0:
            self._searched = len(data)
            return None
        self._position = end + 2
        return bytes(data[start:end])

    @staticmethod
    def _parse_length(digits: bytes, maximum: int, what: str) -> int:
        if not digits.isdigit() or int(digits) > maximum:
            raise RespProtocolError(f"invalid {what} length")
        return int(digits)

    def _read_value(self) -> bytes | None:
        """Return the value whose length was read, None while it or its line end is incomplete."""
        start = self._position
        end = start + self._length
        if len(self._buffer) < end + 2:
            return None
        if self._buffer[end : end + 2] != b"\r\n":
            raise RespProtocolError("a value that does not end where its length says")
        self._position = end + 2
        self._length = NO_LENGTH
        return bytes(self._buffer[start:end])

    def _starts_with(self, type_bytes: tuple[bytes, ...]) -> bool:
        """Tell whether the next byte is missing or one of these, before its line is complete."""
        type_byte = self._buffer[self._position : self._position + 1]
        return not type_byte or type_byte in type_bytes

    def _discard_consumed(self) -> None:
        if self._position:
            del self._buffer[: self._position]
            self._position = 0
            self._searched = 0


class CommandReader(_Reader):
    """Reader of commands: arrays of bulk strings.

    Attributes:
        error: The protocol error after which nothing more is read, None while there is none.
    """

    def __init__(self) -> None:
        """Start without received bytes."""
        super().__init__()
        self._missing_values = 0  # of the array being read
        self._discarding = False
        self.error: RespProtocolError | None = None

    def feed(self, data: bytes) -> list[list[bytes]]:
        """Return the commands that these bytes complete, `DISCARDED` for one that was discarded.

        A protocol error is stored in `error`.
        """
        commands: list[list[bytes]] = []
        if self.error is not None:
            return commands
        self._buffer += data
        try:
            command = self._read_command()
            while command is not None:
                commands.append(command)
                command = self._read_command()
        except RespProtocolError as error:
            self.fail(error)
            return commands
        self._discard_consumed()
        return commands

    def completes_nothing(self, size: int) -> bool:
        """Tell whether the next `size` bytes only continue a value, so that parsing them is cheap."""
        return self._length - len(self._buffer) > size

    def fail(self, error: RespProtocolError) -> None:
        """Read nothing more, and free what is held of an incomplete command."""
        self.error = error
        self._buffer.clear()
        self._parts = None

    def discard_command(self) -> None:
        """Free the values of the command that is being read, and skip the rest of it as it arrives.

        Of a command whose first line is incomplete, only a few bytes are held: they stay.
        """
        if self._parts is None:
            return
        self._parts = []
        self._discarding = True
        self._skip_received()
        self._discard_consumed()

    def _read_command(self) -> list[bytes] | None:
        if self._parts is None:
            if not self._read_array_head():
                return None
            self._parts = []
        parts = self._parts
        while self._missing_values:
            value = self._read_next_value()
            if value is None:
                return None
            self._missing_values -= 1
            if not self._discarding:
                parts.append(value)
        self._parts = None
        if self._discarding:
            self._discarding = False
            return DISCARDED
        return parts

    def _read_next_value(self) -> bytes | None:
        """Return the next value, None while it is incomplete."""
        if self._length == NO_LENGTH:
            line = self._read_line(MAX_LENGTH_LINE_BYTES)
            if line is None:
                return None
            if line[:1] != b"$":
                raise RespProtocolError("expected '$'")
            self._length = self._parse_length(line[1:], MAX_VALUE_BYTES, "bulk")
        if self._discarding:
            self._skip_received()
        return self._read_value()

    def _skip_received(self) -> None:
        """Skip the received bytes of the value whose length was read."""
        skipped = min(max(0, self._length), len(self._buffer) - self._position)
        self._position += skipped
        self._length -= skipped

    def _read_array_head(self) -> bool:
        """Read how many parts follow, False while the line is incomplete."""
        line = self._read_line(MAX_LENGTH_LINE_BYTES)
        if line is None:
            if not self._starts_with((b"*",)):
                raise RespProtocolError("expected '*'")
            return False
        if line[:1] != b"*":
            raise RespProtocolError("expected '*'")
        self._missing_values = self._parse_length(line[1:], MAX_COMMAND_PARTS, "multibulk")
        if not self._missing_values:
            raise RespProtocolError("invalid multibulk length")
        return True


class WorkerReply(NamedTuple):
    """A worker's reply: a payload with usage figures and load report, or an error line (`payload` is None)."""

    payload: bytes | None
    error: bytes = b""  # without its type byte
    usage: bytes = b""
    load_report: bytes = b""


class WorkerReplyReader(_Reader):
    """Reader of a worker's replies, one at a time."""

    def feed(self, data: bytes) -> WorkerReply | None:
        """Return the reply that these bytes complete, None while it is incomplete.

        What follows the reply stays in the buffer.

        Raises:
            RespProtocolError: The bytes are no reply.
        """
        self._buffer += data
        reply = self._read_reply()
        self._discard_consumed()
        return reply

    def _read_reply(self) -> WorkerReply | None:
        if self._parts is None:
            line = self._read_line(MAX_REPLY_LINE_BYTES)
            if line is None:
                if not self._starts_with((b"*", b"-")):
                    raise RespProtocolError("a reply of unknown type")
                return None
            if line[:1] == b"-":
                return WorkerReply(None, line[1:])
            if line != b"*%d" % WORKER_REPLY_PARTS:
                raise RespProtocolError("a reply of unknown type")
            self._parts = []
        while len(self._parts) < WORKER_REPLY_PARTS:
            element = self._read_element(first=not self._parts)
            if element is None:
                return None
            self._parts.append(element)
        payload, usage, load_report = self._parts
        self._parts = None
        return WorkerReply(payload, b"", usage, load_report)

    def _read_element(self, first: bool) -> bytes | None:
        """Return the next part, None while it is incomplete.

        The first one, the payload, is a bulk string. The usage figures and the load report may also be null (returned
        as empty) or of any simple type.
        """
        if self._length < 0:
            line = self._read_line(MAX_REPLY_LINE_BYTES)
            if line is None:
                return None
            type_byte = line[:1]
            rest = line[1:]
            if type_byte != b"$":
                if first or type_byte not in (b"+", b":", b"-"):
                    raise RespProtocolError("a reply element of unknown type")
                return rest
            if rest == b"-1" and not first:
                return b""
            self._length = self._parse_length(rest, MAX_VALUE_BYTES, "bulk")
        return self._read_value()


def encode_array_start(count: int, parts: list[bytes]) -> bytes:
    """Encode the head of an array of `count` bulk strings and the first of them."""
    return b"*%d\r\n" % count + b"".join(map(encode_bulk, parts))


def encode_command(parts: list[bytes]) -> bytes:
    """Encode an array of bulk strings."""
    return encode_array_start(len(parts), parts)


def encode_bulk(value: bytes) -> bytes:
    """Encode a value: a part of a command, or the reply to a client."""
    return b"$%d\r\n%b\r\n" % (len(value), value)


def encode_error(line: bytes) -> bytes:
    """Encode an error line. Line ends in it would start another reply and are replaced by spaces."""
    return b"-%b\r\n" % line.replace(b"\r", b" ").replace(b"\n", b" ")
