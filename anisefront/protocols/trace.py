r"""Stored format of recorded traffic, free of I/O: blocks of records, each with its length and checksum.

    file   = header { block }      header = "anisefront trace 1\n"
    block  = "AT" | length 4 | CRC-32 of the compressed bytes 4 | compressed bytes (zlib over a JSON list)

A file that was truncated, by a crash or a full disk, is decoded up to its last complete block.

    ["life", at, gatekeeper, life]                             a gateway instance started, with its incarnation
    ["arrive", at, id, customer, class, plan, units, left, repeat, copies]
    ["send", at, id, attempt, worker]      ["end", at, id, attempt, result, took]
    ["answer", at, id, how, reason]        ["fleet", at, [[worker, zone, cell, state, started], ...]]

A trace that was converted from access logs has these in place of "send" and "end", and after each arrival's `copies`
the number of the gateway instance:

    ["tried", at, worker, class, units, result, took, started]     ["totals", at, {how: answers}]

Times are Unix milliseconds, `left` and `took` milliseconds. Customers are pseudonyms.
"""

from __future__ import annotations

import hmac
import json
import struct
import zlib
from typing import Any, NamedTuple

FILE_HEADER = b"anisefront trace 1\n"
MAX_BLOCK_BYTES = 16 << 20  # compressed
MAX_RECORDS_BYTES = 16 * MAX_BLOCK_BYTES  # of one block, decompressed: protects from a decompression bomb
PSEUDONYM_BYTES = 8
_BLOCK_MARK = b"AT"
_BLOCK_HEADER = struct.Struct(">2sLL")
Record = list[Any]


class DecodedFile(NamedTuple):
    """The records of a file and, if it does not end after a complete block, what stopped the decoding."""

    records: list[Record]
    fault: str


def encode_block(records: list[Record]) -> bytes:
    """Encode one block of records."""
    compressed = zlib.compress(json.dumps(records, separators=(",", ":")).encode(), 1)
    return _BLOCK_HEADER.pack(_BLOCK_MARK, len(compressed), zlib.crc32(compressed)) + compressed


def decode_file(data: bytes) -> DecodedFile:
    """Decode a file, up to its last complete block."""
    if not data.startswith(FILE_HEADER):
        return DecodedFile([], "no trace, or of another version")
    records: list[Record] = []
    offset = len(FILE_HEADER)
    while offset < len(data):
        fault = _block_fault(data, offset)
        if fault:
            return DecodedFile(records, fault)
        compressed = _compressed_records(data, offset)
        decompressor = zlib.decompressobj()
        text = decompressor.decompress(compressed, MAX_RECORDS_BYTES)
        if decompressor.unconsumed_tail:
            return DecodedFile(records, f"the block at byte {offset} decompresses to over {MAX_RECORDS_BYTES} bytes")
        records += json.loads(text)
        offset += _BLOCK_HEADER.size + len(compressed)
    return DecodedFile(records, "")


def _block_fault(data: bytes, offset: int) -> str:
    """Return what is wrong with the block at `offset`, empty if it is complete."""
    if len(data) - offset < _BLOCK_HEADER.size:
        return f"cut off at byte {offset}"
    mark, size, checksum = _BLOCK_HEADER.unpack_from(data, offset)
    if mark != _BLOCK_MARK or size > MAX_BLOCK_BYTES:
        return f"no block header at byte {offset}"
    compressed = _compressed_records(data, offset)
    if len(compressed) < size:
        return f"cut off at byte {offset}"
    if zlib.crc32(compressed) != checksum:
        return f"checksum mismatch of the block at byte {offset}"
    return ""


def _compressed_records(data: bytes, offset: int) -> bytes:
    _, size, _ = _BLOCK_HEADER.unpack_from(data, offset)
    start = offset + _BLOCK_HEADER.size
    return data[start : start + size]


def pseudonym(key: bytes, customer: str) -> str:
    """Return a substitute for a customer's name that only the owner of the key can compute."""
    return hmac.digest(key, customer.encode(), "sha256")[:PSEUDONYM_BYTES].hex()
