"""Encoding of the messages and log entries of request replication.

Each message begins with `MAGIC_BYTE` and its kind, each log entry with its kind. All integers are big-endian.
"""

from __future__ import annotations

import struct

from anisefront.cluster import lock_codec
from anisefront.cluster.lock_messages import LockMessage
from anisefront.cluster.replication_messages import (
    Accepted,
    Append,
    AppendAck,
    AttemptDiscarded,
    AttemptStarted,
    BackupAtCapacity,
    Bundle,
    ClaimEpoch,
    Completed,
    EpochDecision,
    EpochFenced,
    InProgressElsewhere,
    LogEntry,
    Message,
    Outcome,
    OutcomeQuery,
    OutcomeReply,
    RelayedMessage,
    RelayRequest,
    ReleaseEpoch,
)

MAGIC_BYTE = 0x4B  # first byte; quota messages begin with their version, membership messages with 0x4D
MAX_ENTRIES_BYTES = 1200  # of entries in one message; avoids IP fragmentation
MAX_RECORD_BYTES = 1100  # of one record; a larger request is counted and not replicated
MAX_ENDPOINT_BYTES = 255

_HEADER = struct.Struct(">BB")  # magic byte, kind
_APPEND_KIND = 1
_APPEND = struct.Struct(">IQhQIIB")
_OUTCOME_REPLY_KIND = 8
_OUTCOME_REPLY = struct.Struct(">8sB")
_RELAY_REQUEST_KIND = 12
_RELAY_REQUEST = struct.Struct(">HH")
_RELAYED_MESSAGE_KIND = 13
_RELAYED_MESSAGE = struct.Struct(">HQH")
_BUNDLE_KIND = 19
_BUNDLED_LENGTH = struct.Struct(">H")
_FIXED_SIZE: dict[type, tuple[int, struct.Struct]] = {
    AppendAck: (2, struct.Struct(">II")),
    EpochFenced: (3, struct.Struct(">I")),
    ReleaseEpoch: (4, struct.Struct(">IQ")),
    ClaimEpoch: (5, struct.Struct(">HQIQ")),
    EpochDecision: (6, struct.Struct(">HQI?")),
    InProgressElsewhere: (7, struct.Struct(">IQ")),
    OutcomeQuery: (9, struct.Struct(">8s")),
    BackupAtCapacity: (10, struct.Struct(">IQ")),
}
_FIXED_SIZE_BY_KIND = {kind: (message_type, layout) for message_type, (kind, layout) in _FIXED_SIZE.items()}

_ACCEPTED_KIND = 1
_ACCEPTED = struct.Struct(">BQ?I8sH")
_ATTEMPT_STARTED_KIND = 2
_ATTEMPT_STARTED = struct.Struct(">BQH?B")
_ATTEMPT_DISCARDED_KIND = 3
_ATTEMPT_DISCARDED = struct.Struct(">BQH")
_COMPLETED_KIND = 4
_COMPLETED = struct.Struct(">BQ")


def encode_entry(entry: LogEntry) -> bytes:
    """Encode one log entry.

    Raises:
        ValueError: The record or the endpoint's name is too long.
    """
    match entry:
        case Accepted(request, requires_ack, remaining_ms, identity, record):
            if len(record) > MAX_RECORD_BYTES:
                raise ValueError(f"record: {len(record)} bytes exceed {MAX_RECORD_BYTES}")
            head = _ACCEPTED.pack(_ACCEPTED_KIND, request, requires_ack, remaining_ms, identity, len(record))
            return head + record
        case AttemptStarted(request, attempt, endpoint, awaits_ack):
            name = endpoint.encode()
            if len(name) > MAX_ENDPOINT_BYTES:
                raise ValueError(f"endpoint: name of {len(name)} bytes exceeds {MAX_ENDPOINT_BYTES}")
            return _ATTEMPT_STARTED.pack(_ATTEMPT_STARTED_KIND, request, attempt, awaits_ack, len(name)) + name
        case AttemptDiscarded(request, attempt):
            return _ATTEMPT_DISCARDED.pack(_ATTEMPT_DISCARDED_KIND, request, attempt)
        case Completed(request):
            return _COMPLETED.pack(_COMPLETED_KIND, request)


def _decode_entry(data: bytes, offset: int) -> tuple[LogEntry, int]:
    """Decode the entry at `offset`; returns it and the offset of the next one."""
    kind = data[offset]
    if kind == _ACCEPTED_KIND:
        _, request, requires_ack, remaining_ms, identity, length = _ACCEPTED.unpack_from(data, offset)
        offset += _ACCEPTED.size
        record = _read_exactly(data, offset, length)
        return Accepted(request, requires_ack, remaining_ms, identity, record), offset + length
    if kind == _ATTEMPT_STARTED_KIND:
        _, request, attempt, awaits_ack, length = _ATTEMPT_STARTED.unpack_from(data, offset)
        offset += _ATTEMPT_STARTED.size
        endpoint = _read_exactly(data, offset, length).decode()
        return AttemptStarted(request, attempt, endpoint, awaits_ack), offset + length
    if kind == _ATTEMPT_DISCARDED_KIND:
        _, request, attempt = _ATTEMPT_DISCARDED.unpack_from(data, offset)
        return AttemptDiscarded(request, attempt), offset + _ATTEMPT_DISCARDED.size
    if kind == _COMPLETED_KIND:
        _, request = _COMPLETED.unpack_from(data, offset)
        return Completed(request), offset + _COMPLETED.size
    raise ValueError(f"unknown entry kind {kind}")


def _read_exactly(data: bytes, offset: int, length: int) -> bytes:
    if offset + length > len(data):
        raise ValueError("field extends beyond the end of the message")
    return data[offset : offset + length]


def _read_remaining(data: bytes, offset: int, length: int) -> bytes:
    if len(data) != offset + length:
        raise ValueError("message length does not match its length field")
    return data[offset:]


def encode(message: Message | LockMessage) -> bytes:
    """Encode a message."""
    if isinstance(message, Append):
        return _encode_append(message)
    if isinstance(message, OutcomeReply):
        head = _HEADER.pack(MAGIC_BYTE, _OUTCOME_REPLY_KIND) + _OUTCOME_REPLY.pack(message.identity, message.outcome)
        return head + message.response
    if isinstance(message, RelayRequest):
        head = _RELAY_REQUEST.pack(message.receiver, len(message.data))
        return _HEADER.pack(MAGIC_BYTE, _RELAY_REQUEST_KIND) + head + message.data
    if isinstance(message, RelayedMessage):
        head = _RELAYED_MESSAGE.pack(message.origin, message.origin_incarnation, len(message.data))
        return _HEADER.pack(MAGIC_BYTE, _RELAYED_MESSAGE_KIND) + head + message.data
    if isinstance(message, Bundle):
        items = b"".join(_BUNDLED_LENGTH.pack(len(data)) + data for data in message.messages)
        return _HEADER.pack(MAGIC_BYTE, _BUNDLE_KIND) + items
    if isinstance(message, LockMessage):
        kind, body = lock_codec.encode_body(message)
        return _HEADER.pack(MAGIC_BYTE, kind) + body
    kind, layout = _FIXED_SIZE[type(message)]
    # Fields are packed in the order of `__slots__`, which is part of the wire format.
    return _HEADER.pack(MAGIC_BYTE, kind) + layout.pack(*(getattr(message, name) for name in message.__slots__))


def _encode_append(message: Append) -> bytes:
    head = _APPEND.pack(
        message.epoch,
        message.backup_incarnation,
        message.witness,
        message.witness_incarnation,
        message.oldest_epoch,
        message.first_sequence,
        len(message.entries),
    )
    entries = message.encoded_entries or b"".join(map(encode_entry, message.entries))
    return _HEADER.pack(MAGIC_BYTE, _APPEND_KIND) + head + entries


def decode(data: bytes) -> Message | LockMessage | None:
    """Decode a message; None if the bytes are malformed."""
    try:
        magic_byte, kind = _HEADER.unpack_from(data)
        if magic_byte != MAGIC_BYTE:
            return None
        if kind == _OUTCOME_REPLY_KIND:
            identity, outcome = _OUTCOME_REPLY.unpack_from(data, _HEADER.size)
            return OutcomeReply(identity, Outcome(outcome), data[_HEADER.size + _OUTCOME_REPLY.size :])
        if kind == _APPEND_KIND:
            return _decode_append(data)
        if kind == _RELAY_REQUEST_KIND:
            receiver, length = _RELAY_REQUEST.unpack_from(data, _HEADER.size)
            return RelayRequest(receiver, _read_remaining(data, _HEADER.size + _RELAY_REQUEST.size, length))
        if kind == _RELAYED_MESSAGE_KIND:
            origin, incarnation, length = _RELAYED_MESSAGE.unpack_from(data, _HEADER.size)
            return RelayedMessage(
                origin, incarnation, _read_remaining(data, _HEADER.size + _RELAYED_MESSAGE.size, length)
            )
        if kind == _BUNDLE_KIND:
            return _decode_bundle(data)
        if kind not in _FIXED_SIZE_BY_KIND:
            return lock_codec.decode_body(kind, data[_HEADER.size :])
        message_type, layout = _FIXED_SIZE_BY_KIND[kind]
        return message_type(*layout.unpack(data[_HEADER.size :]))
    except (struct.error, ValueError, KeyError, IndexError, UnicodeDecodeError):
        return None


def _decode_bundle(data: bytes) -> Bundle:
    offset = _HEADER.size
    messages = []
    while offset < len(data):
        (length,) = _BUNDLED_LENGTH.unpack_from(data, offset)
        offset += _BUNDLED_LENGTH.size
        messages.append(_read_exactly(data, offset, length))
        offset += length
    return Bundle(tuple(messages))


def _decode_append(data: bytes) -> Append | None:
    *head, count = _APPEND.unpack_from(data, _HEADER.size)
    offset = _HEADER.size + _APPEND.size
    entries = list[LogEntry]()
    for _ in range(count):
        entry, offset = _decode_entry(data, offset)
        entries.append(entry)
    if offset != len(data):
        return None
    return Append(*head, tuple(entries))
