"""The bytes that gateways send each other: what each customer has used, in at most 256 bytes."""

from __future__ import annotations

import struct
import zlib
from typing import NamedTuple

MAX_BYTES = 256
_VERSION = 1
_HEAD = struct.Struct("<BHB")  # version, boot number, seconds since the sender's start
_ENTRY = struct.Struct("<IIHB")  # customer tag, units spent x 8, asked a second x 16, out x 16
MAX_ENTRIES = (MAX_BYTES - _HEAD.size) // _ENTRY.size
_SPENT_RANGE = 1 << 32


class Use(NamedTuple):
    """One customer's use at the sender."""

    tag: int
    spent: float  # units since the sender's start
    asked_per_s: float
    out: float  # attempts out, on average


class News(NamedTuple):
    """One message."""

    boot: int
    up_s: int
    uses: tuple[Use, ...]


def tag_of(customer: str) -> int:
    """A short stand-in for a customer's name; the same at every gateway."""
    return zlib.crc32(customer.encode())


def encode(boot: int, up_s: float, uses: list[Use]) -> bytes:
    """The message for these uses; those beyond MAX_ENTRIES are left out."""
    parts = [_HEAD.pack(_VERSION, boot & 0xFFFF, min(255, int(up_s)))]
    for use in uses[:MAX_ENTRIES]:
        parts.append(_ENTRY.pack(use.tag, int(use.spent * 8) % _SPENT_RANGE,
                                 min(0xFFFF, int(use.asked_per_s * 16)), min(255, round(use.out * 16))))
    return b"".join(parts)


def decode(data: bytes) -> News | None:
    """The message in these bytes, or None where they cannot be read."""
    if len(data) < _HEAD.size or (len(data) - _HEAD.size) % _ENTRY.size or data[0] != _VERSION:
        return None
    _, boot, up_s = _HEAD.unpack_from(data)
    return News(boot, up_s, tuple(
        Use(tag, spent / 8, asked / 16, out / 16)
        for tag, spent, asked, out in _ENTRY.iter_unpack(data[_HEAD.size:])))
