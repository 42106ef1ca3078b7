"""Counts of datagrams between gateways by purpose, which the unencrypted bytes show. Free of I/O."""

from __future__ import annotations

from collections import Counter

from anisefront.cluster import membership_messages, replication_codec
from anisefront.cluster.membership_messages import MessageKind

HEADER_BYTES = 29  # before the data of an authenticated datagram (cluster/datagrams.py)
KIND_NAMES = {  # as in stored results
    MessageKind.PING: "ping",
    MessageKind.ACK: "answer",
    MessageKind.INDIRECT_PING: "ping_for",
    MessageKind.NACK: "nothing",
    MessageKind.JOIN: "join",
    MessageKind.ROWS: "rows",
}
PURPOSES = ("members", "quotas", "keeping")


def purpose(datagram: bytes) -> str:
    """Return the purpose: `members.` with the message kind, `quotas`, `keeping` (replication), or `unreadable`."""
    if len(datagram) <= HEADER_BYTES + 16:
        return "unreadable"
    mark = datagram[HEADER_BYTES]
    if mark == membership_messages.MAGIC_BYTE:
        return f"members.{KIND_NAMES[MessageKind(datagram[HEADER_BYTES + 1])]}"
    return "keeping" if mark == replication_codec.MAGIC_BYTE else "quotas"


def ends(datagram: bytes) -> tuple[int, int]:
    """Return the numbers of sender and receiver from the header."""
    return int.from_bytes(datagram[1:3], "big"), int.from_bytes(datagram[3:5], "big")


class Tally:
    """Messages and bytes by real gateway, direction and purpose."""

    def __init__(self) -> None:
        self.messages: Counter[str] = Counter()
        self.bytes: Counter[str] = Counter()

    def count(self, number: int, direction: str, datagram: bytes) -> None:
        """Count one datagram that a real gateway received ("in") or sent ("out")."""
        key = f"{number} {direction} {purpose(datagram)}"
        self.messages[key] += 1
        self.bytes[key] += len(datagram)

    def plain(self) -> dict[str, list[int]]:
        """Return the counts as JSON can carry them: messages and bytes by key."""
        return {key: [count, self.bytes[key]] for key, count in self.messages.items()}


def total(parts: list[dict[str, list[int]]]) -> dict[str, tuple[int, int]]:
    """Return the sums over several tallies."""
    messages, sizes = Counter(), Counter()
    for part in parts:
        for key, (count, size) in part.items():
            messages[key] += count
            sizes[key] += size
    return {key: (messages[key], sizes[key]) for key in messages}


def rates(
    before: dict[str, tuple[int, int]], after: dict[str, tuple[int, int]], seconds: float, reals: int, prefix: str = ""
) -> dict[str, float]:
    """Return messages and bytes per second by purpose and direction, as the mean over the real gateways."""
    out = {
        f"{prefix}{name}_{direction}_{unit}_s": 0.0
        for name in PURPOSES
        for direction in ("in", "out")
        for unit in ("msgs", "bytes")
    }
    for key, (count, size) in after.items():
        _, direction, detail = key.split()
        name = detail.partition(".")[0]
        if name in PURPOSES:
            first = before.get(key, (0, 0))
            out[f"{prefix}{name}_{direction}_msgs_s"] += (count - first[0]) / seconds / reals
            out[f"{prefix}{name}_{direction}_bytes_s"] += (size - first[1]) / seconds / reals
    return out
