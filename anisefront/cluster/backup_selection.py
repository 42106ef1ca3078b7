"""Selection of backups and witnesses among the live members, by rendezvous hashing.

Each slot of identities ranks the members in its own order (Thaler, Ravishankar 1998). The load is spread evenly, and
few slots change their backup when a member joins or leaves.
"""

from __future__ import annotations

import hashlib
from typing import NamedTuple

SLOTS = 64
UNRESPONSIVE_MS = 5000.0  # for which a backup that timed out is not selected while there are others


class Replica(NamedTuple):
    """One process incarnation of an instance, as a candidate for backup or witness."""

    number: int
    incarnation: int
    zone: str = ""


def slot_of(data: bytes) -> int:
    """Return the slot to which an identity belongs."""
    return int.from_bytes(hashlib.blake2b(data, digest_size=2).digest(), "big") % SLOTS


def placement_hash(slot: int, number: int) -> bytes:
    """Return the rendezvous hash that ranks an instance in a slot."""
    return hashlib.blake2b(b"%d %d" % (slot, number), digest_size=8).digest()


class BackupSelector:
    """Ranks the live members for each slot, and tracks which of them have timed out."""

    def __init__(self, local: Replica) -> None:
        """Initialize without members; `local`, the local instance, is never selected."""
        self._local = local
        self._members: dict[int, Replica] = {}
        self._unresponsive_until_ms: dict[int, float] = {}
        self._rankings: dict[tuple[int, str, int], list[Replica]] = {}  # cached until the members change

    def update_members(self, members: dict[int, Replica]) -> None:
        """Replace the live members, which exclude the local instance."""
        self._members = dict(members)
        self._rankings.clear()

    def has_alternative_to(self, number: int) -> bool:
        """Return whether any other member is live."""
        return any(member != number for member in self._members)

    def mark_unresponsive(self, now_ms: float, number: int) -> None:
        """Avoid a member for `UNRESPONSIVE_MS`, as it did not acknowledge in time."""
        self._unresponsive_until_ms[number] = now_ms + UNRESPONSIVE_MS

    def mark_responsive(self, number: int) -> None:
        """Stop avoiding a member that acknowledges again."""
        self._unresponsive_until_ms.pop(number, None)

    def candidates(self, now_ms: float, slot: int, has_identity: bool) -> list[Replica]:
        """Return the possible backups of a slot, the preferred one first.

        The zone counts only for requests without an identity.
        """
        ranking = self.ranking(slot, "" if has_identity else self._local.zone, self._local.number)
        if not self._unresponsive_until_ms:
            return ranking
        responsive = [member for member in ranking if self._unresponsive_until_ms.get(member.number, 0.0) <= now_ms]
        return responsive or ranking

    def common_backup(self, slot: int) -> Replica | None:
        """Return the backup at which duplicates of several primaries are detected; None without another instance.

        It follows from the live members alone. If late acknowledgements counted, two primaries would select different
        backups, neither backup would know of the other request, and both requests would run.
        """
        ranking = self.ranking(slot, "", self._local.number)
        return ranking[0] if ranking else None

    def relay_for(self, backup: Replica, retry: int) -> Replica:
        """Return an instance that relays to a backup, another one at each retry; a third instance must be live."""
        ranking = self.ranking(self._local.number, backup.zone, backup.number)
        return ranking[retry % len(ranking)]

    def witness_for(self, backup: Replica) -> Replica | None:
        """Return the witness for a backup, in another zone if possible; None without a third instance."""
        ranking = self.ranking(self._local.number, backup.zone, backup.number)
        return ranking[0] if ranking else None

    def ranking(self, slot: int, avoided_zone: str, excluded: int) -> list[Replica]:
        """Return the members except one, by rendezvous hash, those in the avoided zone ("": none) last."""
        cached = self._rankings.get((slot, avoided_zone, excluded))
        if cached is not None:
            return cached

        def _order(member: Replica) -> tuple[bool, bytes]:
            in_avoided_zone = bool(avoided_zone) and member.zone == avoided_zone
            return in_avoided_zone, placement_hash(slot, member.number)

        ranking = sorted((member for member in self._members.values() if member.number != excluded), key=_order)
        self._rankings[slot, avoided_zone, excluded] = ranking
        return ranking
