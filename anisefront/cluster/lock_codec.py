"""Encoding of the messages of identity locks. All integers are big-endian."""

from __future__ import annotations

import struct
from collections.abc import Callable
from typing import Any

from anisefront.cluster.lock_messages import (
    KnownLock,
    LockMessage,
    LockOwner,
    LockRecoveryQuery,
    LockRecoveryReply,
    LockRelease,
    LockReleases,
    LockReplies,
    LockReply,
    LockRequest,
    LockRequests,
    VoterRestart,
)

REQUESTS_KIND = 14
REPLIES_KIND = 15
RELEASES_KIND = 16
RECOVERY_QUERY_KIND = 17
RECOVERY_REPLY_KIND = 18
MAX_ITEMS = 28  # requests, replies, releases or locks in one message; avoids IP fragmentation

_REQUESTS = struct.Struct(">4sB")
_REQUEST = struct.Struct(">8sQIH??HQQ")
_RELEASES = struct.Struct(">B")
_RELEASE = struct.Struct(">8sQ??HQQ")
_REPLIES = struct.Struct(">BB")
_RESTART = struct.Struct(">HQ")
_REPLY = struct.Struct(">8sQHQH")
_RECOVERY_QUERY = struct.Struct(">4sI")
_RECOVERY_REPLY = struct.Struct(">IHH?B")
_KNOWN_LOCK = struct.Struct(">8sHQQIH")
_NO_OWNER = LockOwner(0, 0, 0)


def encode_body(message: LockMessage) -> tuple[int, bytes]:
    """Return the kind and the encoded body of a message."""
    match message:
        case LockRequests(placement, requests):
            return REQUESTS_KIND, _REQUESTS.pack(placement, len(requests)) + b"".join(map(_encode_request, requests))
        case LockReleases(releases):
            return RELEASES_KIND, _RELEASES.pack(len(releases)) + b"".join(map(_encode_release, releases))
        case LockReplies(restarts, replies):
            items = [_RESTART.pack(*restart) for restart in restarts]
            items += [
                _REPLY.pack(each.identity, each.request, each.holder, each.holder_request, each.holder_backup)
                for each in replies
            ]
            return REPLIES_KIND, _REPLIES.pack(len(restarts), len(replies)) + b"".join(items)
        case LockRecoveryQuery(placement, serial):
            return RECOVERY_QUERY_KIND, _RECOVERY_QUERY.pack(placement, serial)
        case LockRecoveryReply(serial, page, pages, is_recovered, locks):
            head = _RECOVERY_REPLY.pack(serial, page, pages, is_recovered, len(locks))
            items = [_KNOWN_LOCK.pack(each.identity, *each.owner, each.remaining_ms, each.backup) for each in locks]
            return RECOVERY_REPLY_KIND, head + b"".join(items)


def _encode_request(request: LockRequest) -> bytes:
    has_predecessor = request.predecessor is not None
    predecessor = request.predecessor or _NO_OWNER
    return _REQUEST.pack(
        request.identity,
        request.request,
        request.remaining_ms,
        request.backup,
        request.has_yielded,
        has_predecessor,
        *predecessor,
    )


def _encode_release(release: LockRelease) -> bytes:
    has_predecessor = release.predecessor is not None
    predecessor = release.predecessor or _NO_OWNER
    return _RELEASE.pack(release.identity, release.request, release.may_have_executed, has_predecessor, *predecessor)


def decode_body(kind: int, body: bytes) -> LockMessage:
    """Decode a message.

    Raises:
        ValueError: It is malformed, or of another kind.
        struct.error: It is too short.
    """
    decoder = _DECODERS.get(kind)
    if decoder is None:
        raise ValueError(f"unknown message kind {kind}")
    return decoder(body)


def _decode_requests(body: bytes) -> LockRequests:
    placement, count = _REQUESTS.unpack_from(body)
    requests = []
    for fields in _items(body, _REQUESTS.size, _REQUEST, count):
        identity, request, remaining_ms, backup, has_yielded, has_predecessor, *predecessor = fields
        owner = LockOwner(*predecessor) if has_predecessor else None
        requests.append(LockRequest(identity, request, remaining_ms, backup, has_yielded, owner))
    return LockRequests(placement, tuple(requests))


def _decode_releases(body: bytes) -> LockReleases:
    (count,) = _RELEASES.unpack_from(body)
    releases = []
    for fields in _items(body, _RELEASES.size, _RELEASE, count):
        identity, request, may_have_executed, has_predecessor, *predecessor = fields
        owner = LockOwner(*predecessor) if has_predecessor else None
        releases.append(LockRelease(identity, request, may_have_executed, owner))
    return LockReleases(tuple(releases))


def _decode_replies(body: bytes) -> LockReplies:
    restart_count, reply_count = _REPLIES.unpack_from(body)
    replies_offset = _REPLIES.size + restart_count * _RESTART.size
    restarts = _items(body[:replies_offset], _REPLIES.size, _RESTART, restart_count)
    replies = _items(body, replies_offset, _REPLY, reply_count)
    return LockReplies(
        tuple(VoterRestart(*fields) for fields in restarts), tuple(LockReply(*fields) for fields in replies)
    )


def _decode_recovery_query(body: bytes) -> LockRecoveryQuery:
    return LockRecoveryQuery(*_RECOVERY_QUERY.unpack(body))


def _decode_recovery_reply(body: bytes) -> LockRecoveryReply:
    serial, page, pages, is_recovered, count = _RECOVERY_REPLY.unpack_from(body)
    if page >= pages:
        raise ValueError(f"page {page} out of range: {pages} pages")
    locks = tuple(
        KnownLock(identity, LockOwner(number, incarnation, request), remaining_ms, backup)
        for identity, number, incarnation, request, remaining_ms, backup in _items(
            body, _RECOVERY_REPLY.size, _KNOWN_LOCK, count
        )
    )
    return LockRecoveryReply(serial, page, pages, is_recovered, locks)


def _items(body: bytes, offset: int, layout: struct.Struct, count: int) -> list[tuple[Any, ...]]:
    if len(body) != offset + count * layout.size:
        raise ValueError("message length does not match its number of items")
    return list(layout.iter_unpack(body[offset:]))


_DECODERS: dict[int, Callable[[bytes], LockMessage]] = {
    REQUESTS_KIND: _decode_requests,
    REPLIES_KIND: _decode_replies,
    RELEASES_KIND: _decode_releases,
    RECOVERY_QUERY_KIND: _decode_recovery_query,
    RECOVERY_REPLY_KIND: _decode_recovery_reply,
}
