"""The bytes that gateways send each other, at most 256: quota business and sightings of servers."""

from __future__ import annotations

import hashlib
import math
import struct
import zlib
from enum import IntEnum
from typing import NamedTuple

MAX_BYTES = 256
_VERSION = 3
_HEAD = struct.Struct("<BHHB")  # version, boot number, room of the sender x 64, items
TAG_BYTES = 10  # a thousand million customers meet with a chance of 4 in 10 million
_ITEM = struct.Struct(f"<B{TAG_BYTES}sHHHB")  # kind, tag, serial, units x 16, asked a second x 16, indexes
_SIGHTING = struct.Struct("<HB")  # server tag, class and grade
MAX_SIGHTINGS = 4
MAX_ITEMS = (MAX_BYTES - _HEAD.size - MAX_SIGHTINGS * _SIGHTING.size) // _ITEM.size


class Kind(IntEnum):
    """What an item says."""

    ASK = 1  # to the home: may so many units go on?
    GRANT = 2  # from the home: they may
    WAIT = 3  # from the home: heard, but not now
    SPENT = 4  # to the home: they went on without a grant
    BACK = 5  # to the home: not needed, or no longer out
    AGAIN = 6  # an ASK for a client's repeat


class Item(NamedTuple):
    """One piece of business about one try of a customer."""

    kind: Kind
    tag: int
    serial: int
    units: float
    asked_per_s: float  # of the sender; from a home, of the whole set
    class_index: int
    plan_index: int


class Sighting(NamedTuple):
    """How one attempt at a server went at the sender."""

    server: int
    class_index: int
    grade: int


class News(NamedTuple):
    """One message."""

    boot: int
    room: float
    items: tuple[Item, ...]
    sightings: tuple[Sighting, ...]


_FAILED, _EVEN = 15, 4  # grades: failed; as fast as usual, with two grades for each doubling


def sighting(server: str, class_index: int, ratio: float) -> Sighting:
    """What was seen of a server: the answer time against the usual, or inf for a failure."""
    grade = _FAILED if ratio == math.inf else _EVEN + round(2 * math.log2(max(0.25, min(32.0, ratio))))
    return Sighting(server_tag(server), class_index & 15, grade)


def ratio_of(seen: Sighting) -> float:
    """The answer time against the usual that a sighting tells, inf for a failure."""
    return math.inf if seen.grade == _FAILED else 2 ** ((seen.grade - _EVEN) / 2)


def tag_of(customer: str, key: bytes = b"") -> int:
    """A short stand-in for a customer's name; the same at every gateway that has the fleet's key.

    Danger: with a checksum anybody could make a name whose stand-in is another customer's, and draw on its quota."""
    digest = hashlib.blake2b(customer.encode(errors="surrogatepass"), digest_size=TAG_BYTES, key=key).digest()
    return int.from_bytes(digest, "little")


def server_tag(server: str) -> int:
    """A short stand-in for a server's id."""
    return zlib.crc32(server.encode()) & 0xFFFF


def encode(boot: int, room: float, items: list[Item], sightings: list[Sighting]) -> bytes:
    """The message; items and sightings beyond what it holds are left out."""
    items, sightings = items[:MAX_ITEMS], sightings[:MAX_SIGHTINGS]
    parts = [_HEAD.pack(_VERSION, boot & 0xFFFF, _clip(room * 64), len(items))]
    for item in items:
        parts.append(
            _ITEM.pack(
                item.kind,
                item.tag.to_bytes(TAG_BYTES, "little"),
                item.serial & 0xFFFF,
                _clip(item.units * 16),
                _clip(item.asked_per_s * 16),
                item.class_index << 4 | item.plan_index,
            )
        )
    parts += [_SIGHTING.pack(seen.server, seen.class_index << 4 | seen.grade) for seen in sightings]
    return b"".join(parts)


def _clip(value: float) -> int:
    return max(0, min(0xFFFF, round(value)))


def decode(data: bytes) -> News | None:
    """The message in these bytes, or None where they cannot be read."""
    if len(data) < _HEAD.size or len(data) > MAX_BYTES or data[0] != _VERSION:
        return None
    _, boot, room, count = _HEAD.unpack_from(data)
    body = _HEAD.size + count * _ITEM.size
    if len(data) < body or (len(data) - body) % _SIGHTING.size:
        return None
    rows = list(_ITEM.iter_unpack(data[_HEAD.size : body]))
    if any(row[0] not in _KINDS for row in rows):
        return None
    return News(
        boot,
        room / 64,
        tuple(
            Item(Kind(kind), int.from_bytes(tag, "little"), serial, units / 16, asked / 16, packed >> 4, packed & 15)
            for kind, tag, serial, units, asked, packed in rows
        ),
        tuple(Sighting(server, packed >> 4, packed & 15) for server, packed in _SIGHTING.iter_unpack(data[body:])),
    )


_KINDS = frozenset(int(kind) for kind in Kind)
