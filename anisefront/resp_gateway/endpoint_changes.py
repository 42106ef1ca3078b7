"""Endpoint list of the platform's discovery: parsed changes, and the directory that they are applied to. No I/O.

A worker's name and address are separate: a new worker may use the address of one that was removed.
"""

from __future__ import annotations

import re
import sys
from collections.abc import Mapping
from dataclasses import dataclass
from typing import Any

from anisefront.policy.events import Endpoint, EndpointList, EndpointStatus
from anisefront.resp_gateway.errors import DiscoveryError

Address = tuple[str, int]  # host and port, as the reactor takes them
STATUS_BY_NAME = {
    "active": EndpointStatus.READY,
    "leaving": EndpointStatus.DRAINING,
    "left": EndpointStatus.REMOVED,
}
MAX_ENDPOINTS = 10_000
MAX_TEXT_CHARACTERS = 256
MAX_PORT = 65535
_PORT = re.compile(r"[0-9]{1,5}")


@dataclass(frozen=True, slots=True)
class ListedEndpoint:
    """One worker in discovery's list."""

    endpoint: Endpoint
    address: Address


@dataclass(frozen=True, slots=True)
class EndpointChange:
    """A complete list (`snapshot`), or the entries that changed up to a version."""

    version: int
    snapshot: bool
    entries: tuple[ListedEndpoint, ...]


@dataclass(frozen=True, slots=True)
class AppliedChange:
    """Result of a change.

    Attributes:
        endpoints: The new endpoint list, None where the change was outdated.
        replaced: Names of workers that were removed, moved to another address or restarted.
    """

    endpoints: EndpointList | None
    replaced: list[str]


def parse_address(text: object) -> Address | None:
    """Return the host and port of `host:port`, None where the text is something else."""
    if not isinstance(text, str):
        return None
    host, _, port = text.rpartition(":")
    if not host or not _PORT.fullmatch(port) or not 0 < int(port) <= MAX_PORT:
        return None
    return host, int(port)


def parse_change(document: object) -> EndpointChange:
    """Return the change that a JSON object describes.

    Raises:
        DiscoveryError: The object describes none.
    """
    if not isinstance(document, dict) or not isinstance(document.get("endpoints"), list):
        raise DiscoveryError("expected an object with a list 'endpoints'")
    rows = document["endpoints"]
    if len(rows) > MAX_ENDPOINTS:
        raise DiscoveryError(f"more than {MAX_ENDPOINTS} endpoints")
    version = int(_number(document, "index", 0))
    return EndpointChange(version, document.get("snapshot") is True, tuple(_parse_entry(row) for row in rows))


def _parse_entry(row: object) -> ListedEndpoint:
    if not isinstance(row, dict):
        raise DiscoveryError(f"{row!r} is not an endpoint object")
    status = STATUS_BY_NAME.get(_text(row, "status"))
    if status is None:
        raise DiscoveryError(f"{row['status']!r} is an unknown status", "status")
    endpoint = Endpoint(
        _text(row, "name"),
        str(row.get("zone", "")),
        int(_number(row, "group", 0)),
        status,
        _number(row, "weight", 1.0),
        _number(row, "since_ms", 0),
    )
    address = parse_address(_text(row, "address"))
    if address is None:
        raise DiscoveryError(f"{row['address']!r} is not HOST:PORT", "address")
    return ListedEndpoint(endpoint, address)


def _text(row: Mapping[str, Any], name: str) -> str:
    value = row.get(name)
    if not isinstance(value, str) or not value or len(value) > MAX_TEXT_CHARACTERS:
        raise DiscoveryError(f"{value!r} is not a string of 1 to {MAX_TEXT_CHARACTERS} characters", name)
    return value


def _number(row: Mapping[str, Any], name: str, default: float) -> float:
    value = row.get(name, default)
    is_number = isinstance(value, int | float) and not isinstance(value, bool)
    if not is_number or not abs(value) <= sys.float_info.max:
        raise DiscoveryError(f"{value!r} is not a finite number", name)
    return value


class EndpointDirectory:
    """Workers listed now.

    Attributes:
        version: Discovery's version of the list, 0 where it is not known.
        entries: The listed workers, with their names as keys.
    """

    def __init__(self) -> None:
        """Start empty."""
        self.version = 0
        self.entries: dict[str, ListedEndpoint] = {}

    def apply(self, change: EndpointChange) -> AppliedChange:
        """Apply a change, unless it is outdated, as after a reconnect."""
        if not change.snapshot and change.version <= self.version and self.version:
            return AppliedChange(None, [])
        before = self.entries
        after = {} if change.snapshot else dict(before)
        for entry in change.entries:
            if entry.endpoint.status is EndpointStatus.REMOVED:
                after.pop(entry.endpoint.id, None)
            else:
                after[entry.endpoint.id] = entry
        self.version = change.version
        self.entries = after
        replaced = [name for name, old in before.items() if self._is_replaced(old, after.get(name))]
        return AppliedChange(EndpointList(tuple(entry.endpoint for entry in after.values())), replaced)

    @staticmethod
    def _is_replaced(old: ListedEndpoint, new: ListedEndpoint | None) -> bool:
        if new is None:
            return True
        return new.address != old.address or new.endpoint.started_ms != old.endpoint.started_ms

    def reset_version(self) -> None:
        """Accept any next version, as discovery may number its versions differently; the list stays in force."""
        self.version = 0

    def address_of(self, worker: str) -> Address | None:
        """Return the address of a worker, None if it is not listed."""
        entry = self.entries.get(worker)
        return entry.address if entry else None
