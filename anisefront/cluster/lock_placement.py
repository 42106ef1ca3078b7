"""Placement of voters: the instances that vote on an identity.

These are the first three configured instances, dead or alive, in the rendezvous order of the identity's slot, in
different zones as far as possible. Two majorities of the same three voters intersect (Gifford 1979, Thomas 1979), so
the voters must not depend on which instances are believed alive.
"""

from __future__ import annotations

import hashlib

from anisefront.cluster.backup_selection import SLOTS, placement_hash, slot_of

VOTERS = 3
DIGEST_BYTES = 4


class LockPlacement:
    """Voters of each slot, computed from the configured instances and their zones."""

    def __init__(self, zones: dict[int, str]) -> None:
        """Compute the voters; `zones` has all configured instances, "" for those without a zone."""
        self.instances = frozenset(zones)
        self.digest = hashlib.blake2b(repr(sorted(zones.items())).encode(), digest_size=DIGEST_BYTES).digest()
        self._voters = [_voters_of(slot, zones) for slot in range(SLOTS)]

    def voters(self, identity: bytes) -> tuple[int, ...]:
        """Return the voters on an identity."""
        return self.voters_of_slot(slot_of(identity))

    def voters_of_slot(self, slot: int) -> tuple[int, ...]:
        """Return the voters on the identities of a slot."""
        return self._voters[slot]

    def slots_of(self, number: int) -> list[int]:
        """Return the slots in which an instance votes."""
        return [slot for slot, voters in enumerate(self._voters) if number in voters]

    def other_voters(self, slot: int, number: int) -> list[int]:
        """Return the voters of a slot other than an instance."""
        return [voter for voter in self._voters[slot] if voter != number]


def _voters_of(slot: int, zones: dict[int, str]) -> tuple[int, ...]:
    ranking = sorted(zones, key=lambda number: placement_hash(slot, number))
    voters: list[int] = []
    while len(voters) < min(VOTERS, len(ranking)):
        used_zones = {zones[number] for number in voters}
        remaining = [number for number in ranking if number not in voters]
        elsewhere = [number for number in remaining if zones[number] not in used_zones]
        voters.append((elsewhere or remaining)[0])
    return tuple(voters)
