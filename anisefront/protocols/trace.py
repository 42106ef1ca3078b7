"""The form of recorded traffic, free of I/O: blocks of records, each with its length and checksum.

    file   = head { block }        head  = "anisefront trace 1\\n"
    block  = "AT" | length 4 | CRC-32 of the packed bytes 4 | packed bytes (zlib over a JSON list)

A file that was cut off, by a crash or a full disk, is read up to the last whole block.

    ["life", at, gatekeeper, life]                             a gatekeeper began
    ["arrive", at, id, customer, class, plan, units, left, repeat, copies]
    ["send", at, id, attempt, worker]      ["end", at, id, attempt, result, took]
    ["answer", at, id, how, reason]        ["fleet", at, [[worker, zone, cell, state, started], ...]]

A trace that was made of others has instead of sends and ends, and with the gatekeeper after each arrival's `copies`:

    ["tried", at, worker, class, units, result, took, started]     ["totals", at, {how: answers}]

Times are Unix milliseconds, `left` and `took` milliseconds. Customers are pseudonyms.
"""

from __future__ import annotations

import hmac
import json
import struct
import zlib
from typing import Any

HEAD = b"anisefront trace 1\n"
_BLOCK = struct.Struct(">2sLL")
MOST_BLOCK = 16 << 20
Record = list[Any]


def block(records: list[Record]) -> bytes:
    """One block of these records."""
    packed = zlib.compress(json.dumps(records, separators=(",", ":")).encode(), 1)
    return _BLOCK.pack(b"AT", len(packed), zlib.crc32(packed)) + packed


def read(data: bytes) -> tuple[list[Record], str]:
    """The records of a file and, where it does not end well, what stopped the reading."""
    if not data.startswith(HEAD):
        return [], "no trace, or of another version"
    at, records = len(HEAD), []
    while at < len(data):
        if len(data) - at < _BLOCK.size:
            return records, f"cut off at byte {at}"
        mark, size, check = _BLOCK.unpack_from(data, at)
        packed = data[at + _BLOCK.size : at + _BLOCK.size + size]
        if mark != b"AT" or size > MOST_BLOCK:
            return records, f"no block at byte {at}"
        if len(packed) < size:
            return records, f"cut off at byte {at}"
        if zlib.crc32(packed) != check:
            return records, f"the block at byte {at} is damaged"
        unpacker = zlib.decompressobj()
        text = unpacker.decompress(packed, 16 * MOST_BLOCK)
        if unpacker.unconsumed_tail:
            return records, f"the block at byte {at} is too large"
        records += json.loads(text)
        at += _BLOCK.size + size
    return records, ""


def pseudonym(key: bytes, customer: str) -> str:
    """A stand-in for a customer's name that only who has the key can make again."""
    return hmac.digest(key, customer.encode(), "sha256")[:8].hex()
