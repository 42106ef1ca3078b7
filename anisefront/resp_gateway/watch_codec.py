"""Codec of a discovery watch, without I/O: its HTTP request, and the endpoint changes in the response."""

from __future__ import annotations

import json
import re
from collections.abc import Iterable

from anisefront.protocols.http1 import BodyChunk, Head, Message, MessageError, MessageReader
from anisefront.resp_gateway.endpoint_changes import EndpointChange, parse_change
from anisefront.resp_gateway.errors import DiscoveryError

MAX_CHANGE_BYTES = 4 << 20
_JSON_STRING = re.compile(rb'"(?:[^"\\]|\\.)*"')


def encode_watch_request(version: int, host: str) -> bytes:
    """Encode the request for all changes after a version."""
    return f"GET /v1/endpoints?watch=1&from={version} HTTP/1.1\r\nhost: {host}\r\n\r\n".encode()


class WatchReader:
    """Reader of the response to a watch: one JSON object a line, or over several lines where it is indented.

    Attributes:
        heartbeats: Complete objects, and empty lines between them, received so far.
        ended: The response is complete.
    """

    def __init__(self) -> None:
        """Start before the response's head."""
        self._http = MessageReader(requests=False, stream_chunks=True)
        self._line = bytearray()
        self._object = bytearray()  # complete lines of an incomplete object
        self._depth = 0  # of brackets in it
        self.heartbeats = 0
        self.ended = False

    def feed(self, data: bytes) -> list[EndpointChange]:
        """Return the changes that these bytes complete.

        Raises:
            DiscoveryError: The bytes can't be parsed.
        """
        try:
            events = self._http.feed(data)
        except MessageError as error:
            raise DiscoveryError(str(error)) from error
        return list(self._read_events(events))

    def _read_events(self, events: Iterable[Head | BodyChunk | Message]) -> Iterable[EndpointChange]:
        for event in events:
            if isinstance(event, Head):
                if event.status != 200:
                    raise DiscoveryError(f"response with status {event.status}")
            elif isinstance(event, BodyChunk):
                yield from self._read_lines(event.data)
            else:
                self.ended = True
                yield from self._read_lines(event.body + b"\n")
                if self._depth:
                    raise DiscoveryError("the response ends within an object")

    def _read_lines(self, data: bytes) -> Iterable[EndpointChange]:
        searched = len(self._line)
        self._line += data
        end = self._line.find(b"\n", searched)
        while end >= 0:
            line = bytes(self._line[:end]).strip()
            del self._line[: end + 1]
            if line or not self._depth:
                yield from self._read_object_line(line)
            end = self._line.find(b"\n")
        if len(self._line) + len(self._object) > MAX_CHANGE_BYTES:
            raise DiscoveryError(f"object longer than {MAX_CHANGE_BYTES} bytes")

    def _read_object_line(self, line: bytes) -> Iterable[EndpointChange]:
        """Yield the change that this line completes, if it does.

        A JSON string holds no line end, so brackets can be counted line by line.
        """
        if line:
            without_strings = _JSON_STRING.sub(b"", line)
            opened = without_strings.count(b"{") + without_strings.count(b"[")
            closed = without_strings.count(b"}") + without_strings.count(b"]")
            self._depth += opened - closed
            self._object += line
            if self._depth > 0:
                return
        self.heartbeats += 1
        document = bytes(self._object)
        self._object = bytearray()
        self._depth = 0
        if document:
            yield self._parse(document)

    @staticmethod
    def _parse(document: bytes) -> EndpointChange:
        try:
            return parse_change(json.loads(document))
        except (ValueError, RecursionError) as error:
            raise DiscoveryError(str(error)) from error
