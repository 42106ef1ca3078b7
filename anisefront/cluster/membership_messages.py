"""Messages of the membership protocol: a header, followed by rows of members."""

from __future__ import annotations

import struct
from dataclasses import dataclass
from enum import IntEnum

from anisefront.cluster.member_state import MemberRow, decode_rows, encode_rows

MAGIC_BYTE = 0x4D  # first byte; quota messages begin with their version, replication messages with 0x4B
_HEADER = struct.Struct(">BBIH")  # magic byte, kind, sequence, subject


class MessageKind(IntEnum):
    """Kinds of messages."""

    PING = 1
    ACK = 2
    INDIRECT_PING = 3  # requests a ping of the subject on behalf of the sender
    NACK = 4  # the subject of an indirect ping has not acknowledged in time
    JOIN = 5  # requests all rows
    ROWS = 6  # carries only rows


@dataclass(frozen=True, slots=True)
class MembershipMessage:
    """A message; `subject` is the number of the member that it concerns."""

    kind: MessageKind
    sequence: int = 0
    subject: int = 0
    rows: tuple[MemberRow, ...] = ()


def is_membership_message(data: bytes) -> bool:
    """Return whether bytes are a message of this protocol, well-formed or not."""
    return len(data) >= _HEADER.size and data[0] == MAGIC_BYTE


def encode_message(message: MembershipMessage) -> bytes:
    """Encode a message."""
    head = _HEADER.pack(MAGIC_BYTE, message.kind, message.sequence, message.subject)
    return head + encode_rows(message.rows)


def decode_message(data: bytes) -> MembershipMessage | None:
    """Decode a message; None if the bytes are malformed."""
    _, kind, sequence, subject = _HEADER.unpack_from(data)
    rows = decode_rows(data[_HEADER.size :])
    if rows is None or kind not in MessageKind._value2member_map_:
        return None
    return MembershipMessage(MessageKind(kind), sequence, subject, tuple(rows))
