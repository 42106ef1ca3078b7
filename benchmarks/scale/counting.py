"""Datagrams between gatekeepers by what they are for, told by bytes that no seal hides. Free of I/O."""

from __future__ import annotations

from collections import Counter

from anisefront.cluster import membership_messages, replication_codec
from anisefront.cluster.membership_messages import MessageKind

HEAD = 29  # bytes before the data of a sealed datagram (cluster/datagrams.py)
KIND_NAMES = {  # as stored measurements have them
    MessageKind.PING: "ping",
    MessageKind.ACK: "answer",
    MessageKind.INDIRECT_PING: "ping_for",
    MessageKind.NACK: "nothing",
    MessageKind.JOIN: "join",
    MessageKind.ROWS: "rows",
}
PURPOSES = ("members", "quotas", "keeping")


def purpose(datagram: bytes) -> str:
    """`members.ping` and the like, `quotas`, `keeping`, or `unreadable`."""
    if len(datagram) <= HEAD + 16:
        return "unreadable"
    mark = datagram[HEAD]
    if mark == membership_messages.MAGIC_BYTE:
        return f"members.{KIND_NAMES[MessageKind(datagram[HEAD + 1])]}"
    return "keeping" if mark == replication_codec.MAGIC_BYTE else "quotas"


def ends(datagram: bytes) -> tuple[int, int]:
    """The numbers of sender and receiver, as the datagram says."""
    return int.from_bytes(datagram[1:3], "big"), int.from_bytes(datagram[3:5], "big")


class Tally:
    """Messages and bytes by real gatekeeper, way and purpose; `plain` is what a line of JSON can carry."""

    def __init__(self) -> None:
        self.messages: Counter[str] = Counter()
        self.bytes: Counter[str] = Counter()

    def take(self, number: int, way: str, datagram: bytes) -> None:
        """One datagram that a real gatekeeper was sent ("in") or sent ("out")."""
        key = f"{number} {way} {purpose(datagram)}"
        self.messages[key] += 1
        self.bytes[key] += len(datagram)

    def plain(self) -> dict[str, list[int]]:
        return {key: [count, self.bytes[key]] for key, count in self.messages.items()}


def total(parts: list[dict[str, list[int]]]) -> dict[str, tuple[int, int]]:
    """Some tallies together."""
    messages, sizes = Counter(), Counter()
    for part in parts:
        for key, (count, size) in part.items():
            messages[key] += count
            sizes[key] += size
    return {key: (messages[key], sizes[key]) for key in messages}


def rates(
    before: dict[str, tuple[int, int]], after: dict[str, tuple[int, int]], seconds: float, reals: int, prefix: str = ""
) -> dict[str, float]:
    """Messages and bytes a second of one real gatekeeper, the mean of all, by purpose and way."""
    out = {
        f"{prefix}{name}_{way}_{what}_s": 0.0
        for name in PURPOSES
        for way in ("in", "out")
        for what in ("msgs", "bytes")
    }
    for key, (count, size) in after.items():
        _, way, what = key.split()
        name = what.partition(".")[0]
        if name in PURPOSES:
            first = before.get(key, (0, 0))
            out[f"{prefix}{name}_{way}_msgs_s"] += (count - first[0]) / seconds / reals
            out[f"{prefix}{name}_{way}_bytes_s"] += (size - first[1]) / seconds / reals
    return out
