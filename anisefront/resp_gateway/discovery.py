"""The platform's discovery: its list and its watch, read into fleet lists for the module. Free of I/O.

`Book` keeps what was told of every worker: name and address are apart, for a new worker may come at an old address.
It decides nothing about requests. `fleet/` has the roster of our own; this is the platform's.
"""

from __future__ import annotations

import json
import math
import re
from collections.abc import Iterable, Mapping
from dataclasses import dataclass
from typing import Any

from anisefront.policy.events import Endpoint, EndpointList, EndpointStatus
from anisefront.protocols.http1 import Head, Message, MessageFault, Part, Reader

STATES = {"active": EndpointStatus.READY, "leaving": EndpointStatus.DRAINING, "left": EndpointStatus.REMOVED}
MOST_LINE = 4 << 20  # bytes of one change
MOST_WORKERS = 10_000
_STRING = re.compile(rb'"(?:[^"\\]|\\.)*"')


class DiscoveryFault(ValueError):
    """What discovery sent can't be read."""


@dataclass(frozen=True, slots=True)
class Entry:
    """One worker as discovery tells of it."""

    endpoint: Endpoint
    address: tuple[str, int]


@dataclass(frozen=True, slots=True)
class Change:
    """The whole list (`snapshot`), or the entries that changed up to version `index`."""

    index: int
    snapshot: bool
    entries: tuple[Entry, ...]


def address(text: object, where: str, fault: type[ValueError]) -> tuple[str, int]:
    """`host:port` as a pair; `fault` names `where` it is wrong."""
    host, _, port = text.rpartition(":") if isinstance(text, str) else ("", "", "")
    if not host or not port.isdigit() or not 0 < int(port) < 65536:
        raise fault(f"{where}: {text!r} is no HOST:PORT")
    return host, int(port)


def _text(row: Mapping[str, Any], name: str) -> str:
    value = row.get(name)
    if not isinstance(value, str) or not value or len(value) > 256:
        raise DiscoveryFault(f"{name}: {value!r} is no text")
    return value


def _number(row: Mapping[str, Any], name: str, fallback: float) -> float:
    value = row.get(name, fallback)
    if isinstance(value, bool) or not isinstance(value, int | float) or not math.isfinite(value):
        raise DiscoveryFault(f"{name}: {value!r} is no number")
    return value


def _entry(row: object) -> Entry:
    if not isinstance(row, dict):
        raise DiscoveryFault(f"{row!r} is no entry")
    state = STATES.get(row.get("status"))
    if state is None:
        raise DiscoveryFault(f"status: {row.get('status')!r} is not known")
    server = Endpoint(
        _text(row, "name"),
        str(row.get("zone", "")),
        int(_number(row, "group", 0)),
        state,
        _number(row, "weight", 1.0),
        _number(row, "since_ms", 0),
    )
    return Entry(server, address(_text(row, "address"), "address", DiscoveryFault))


def read_change(found: object) -> Change:
    """The change that a JSON object tells; `DiscoveryFault` where it can't be read."""
    if not isinstance(found, dict) or not isinstance(found.get("endpoints"), list):
        raise DiscoveryFault("an object with endpoints is due")
    if len(found["endpoints"]) > MOST_WORKERS:
        raise DiscoveryFault(f"over {MOST_WORKERS} endpoints")
    return Change(
        int(_number(found, "index", 0)), found.get("snapshot") is True, tuple(_entry(row) for row in found["endpoints"])
    )


class Book:
    """What is known of the workers now."""

    def __init__(self) -> None:
        self.index = 0
        self.entries: dict[str, Entry] = {}

    def apply(self, change: Change) -> tuple[EndpointList | None, list[str]]:
        """Take a change in: the list for the module (None where the change is older than what is known), and the
        names of workers that have gone, have moved or were started anew."""
        if not change.snapshot and change.index <= self.index and self.index:
            return None, []  # a change that was told before, as after a reconnect
        before, after = self.entries, {} if change.snapshot else dict(self.entries)
        for entry in change.entries:
            if entry.endpoint.status is EndpointStatus.REMOVED:
                after.pop(entry.endpoint.id, None)
            else:
                after[entry.endpoint.id] = entry
        self.index, self.entries = change.index, after
        moved = [name for name, old in before.items() if self._moved(old, after.get(name))]
        return EndpointList(tuple(entry.endpoint for entry in after.values())), moved

    @staticmethod
    def _moved(old: Entry, new: Entry | None) -> bool:
        return new is None or new.address != old.address or new.endpoint.started_ms != old.endpoint.started_ms

    def forget_version(self) -> None:
        """What is told next comes from a discovery that counts its versions anew; the list stays in force."""
        self.index = 0

    def address_of(self, worker: str) -> tuple[str, int] | None:
        """Where a worker listens; None for one that is not listed."""
        entry = self.entries.get(worker)
        return entry.address if entry else None


def watch_request(index: int, host: str) -> bytes:
    """The request that opens a watch from a version on."""
    return f"GET /v1/endpoints?watch=1&from={index} HTTP/1.1\r\nhost: {host}\r\n\r\n".encode()


class WatchReader:
    """Reads the answer to a watch: a change a line, or over several where it comes indented, however chunks are cut."""

    def __init__(self) -> None:
        self._http = Reader(requests=False, parts=True)
        self._line = bytearray()
        self._object = bytearray()  # the lines so far of an object that goes on
        self._depth = 0  # of its brackets
        self.lines = 0  # whole objects, and empty lines between them: signs of life
        self.ended = False

    def feed(self, data: bytes) -> list[Change]:
        """The changes that these bytes complete. Raises `DiscoveryFault`."""
        try:
            events = self._http.feed(data)
        except MessageFault as problem:
            raise DiscoveryFault(str(problem)) from problem
        return list(self._changes(events))

    def _changes(self, events: Iterable[Head | Part | Message]) -> Iterable[Change]:
        for event in events:
            if isinstance(event, Head):
                if event.status != 200:
                    raise DiscoveryFault(f"status {event.status}")
            elif isinstance(event, Part):
                yield from self._lines(event.data)
            else:
                self.ended = True
                yield from self._lines(event.body + b"\n")
                if self._depth:
                    raise DiscoveryFault("the answer ends in the middle of an object")

    def _lines(self, data: bytes) -> Iterable[Change]:
        seen = len(self._line)
        self._line += data
        while (end := self._line.find(b"\n", seen)) >= 0:
            line = bytes(self._line[:end]).strip()
            del self._line[: end + 1]
            seen = 0
            if line or not self._depth:
                yield from self._whole(line)
        if len(self._line) + len(self._object) > MOST_LINE:
            raise DiscoveryFault(f"an object of over {MOST_LINE} bytes")

    def _whole(self, line: bytes) -> Iterable[Change]:
        """The change that this line ends, if it does. No string of JSON holds an end of line, so brackets are counted
        a line at a time."""
        if line:
            bare = _STRING.sub(b"", line)
            self._depth += bare.count(b"{") + bare.count(b"[") - bare.count(b"}") - bare.count(b"]")
            self._object += line
            if self._depth > 0:
                return
        self.lines += 1
        found, self._object, self._depth = bytes(self._object), bytearray(), 0
        if found:
            try:
                yield read_change(json.loads(found))
            except (ValueError, RecursionError) as problem:
                raise DiscoveryFault(str(problem)) from problem
