"""Bundling of replication messages: several messages to one receiver share a datagram."""

from __future__ import annotations

from collections.abc import Iterable, Iterator

from anisefront.cluster.lock_messages import LockMessage
from anisefront.cluster.replication_codec import decode, encode
from anisefront.cluster.replication_messages import Bundle, Message, RelayedMessage, RelayRequest

MAX_BUNDLE_BYTES = 1250  # of all messages in one datagram, small enough to avoid IP fragmentation
LENGTH_BYTES = 2


def bundles(messages: Iterable[bytes]) -> Iterator[bytes]:
    """Yield datagrams that hold these encoded messages, in their order."""
    pending: list[bytes] = []
    size = 0
    for data in messages:
        if pending and size + LENGTH_BYTES + len(data) > MAX_BUNDLE_BYTES:
            yield _datagram(pending)
            pending = []
            size = 0
        pending.append(data)
        size += LENGTH_BYTES + len(data)
    if pending:
        yield _datagram(pending)


def _datagram(messages: list[bytes]) -> bytes:
    return messages[0] if len(messages) == 1 else encode(Bundle(tuple(messages)))


def unbundle(bundle: Bundle) -> list[Message | LockMessage | None]:
    """Return the messages of a bundle; None in place of a malformed one, of a bundle, or of a relayed message."""
    inner = [decode(data) for data in bundle.messages]
    return [None if isinstance(each, Bundle | RelayRequest | RelayedMessage) else each for each in inner]
