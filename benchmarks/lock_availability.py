"""Fraction of identities that are refused after the loss of a zone and in a partition, by the rule for identity locks.

    python -m benchmarks.lock_availability

Calculated from the placement of voters, for fleets with instances in one, two or three zones in turn. With one zone,
one instance is lost and the partition has two halves. No instance is started.
"""

from __future__ import annotations

from anisefront.cluster.backup_selection import SLOTS
from anisefront.cluster.lock_placement import LockPlacement

INSTANCE_COUNTS = (2, 4, 6, 24, 200)
ZONE_COUNTS = (1, 2, 3)
MAJORITY = 2


def side_of(count: int, zones: int) -> frozenset[int]:
    """Return the instances of the first zone; of a fleet in one zone those of the lower half."""
    if zones == 1:
        return frozenset(range(count // 2))
    return frozenset(range(0, count, zones))


def voters_by_slot(count: int, zones: int) -> list[tuple[int, ...]]:
    """Return the voters of each slot."""
    placement = LockPlacement({number: str(number % zones) if zones > 1 else "" for number in range(count)})
    return [placement.voters_of_slot(slot) for slot in range(SLOTS)]


def is_served_by_majority(voters: tuple[int, ...], alive: frozenset[int]) -> bool:
    """Return whether the instances of a side serve an identity by the present rule."""
    if len(voters) == MAJORITY:
        return min(voters) in alive
    return len(alive.intersection(voters)) >= MAJORITY


def is_served_by_half(voters: tuple[int, ...], alive: frozenset[int], count: int) -> bool:
    """Return whether they serve it by the earlier rule: a single live voter decides if half of all are alive."""
    remaining = alive.intersection(voters)
    return len(remaining) >= MAJORITY or (len(remaining) == 1 and 2 * len(alive) >= count)


def is_served_by_tie_breaker(voters: tuple[int, ...], alive: frozenset[int], count: int) -> bool:
    """Return whether they serve it with a tie-breaker.

    A single live voter decides if more than half of the instances are alive, or half with the lowest one.
    """
    has_majority = 2 * len(alive) > count or (2 * len(alive) == count and 0 in alive)
    remaining = alive.intersection(voters)
    return len(remaining) >= MAJORITY or (len(remaining) == 1 and has_majority)


def percent(slots: list[bool]) -> str:
    """Format the fraction of slots that are true, in percent."""
    return f"{100 * sum(slots) / len(slots):3.0f}%"


def main() -> None:
    """Print the table for all fleets."""
    print("instances, zones | refused: zone 0 lost, another zone lost | refused in a partition: here, there | ", end="")
    print("run on both sides of a partition, half alive | with a tie-breaker")
    for count in INSTANCE_COUNTS:
        for zones in ZONE_COUNTS:
            if zones > count:
                continue
            instances = frozenset(range(count))
            here = side_of(count, zones)
            there = instances - here
            lost = frozenset({0}) if zones == 1 else here
            lost_other = frozenset({count - 1}) if zones == 1 else frozenset(range(1, count, zones))
            slots = voters_by_slot(count, zones)
            row = [
                percent([not is_served_by_majority(v, instances - each) for v in slots]) for each in (lost, lost_other)
            ]
            row += [percent([not is_served_by_majority(voters, side) for voters in slots]) for side in (here, there)]
            for rule in (is_served_by_half, is_served_by_tie_breaker):
                row.append(percent([rule(v, here, count) and rule(v, there, count) for v in slots]))
            print(f"{count:9}, {zones:5} | {row[0]}, {row[1]} | {row[2]}, {row[3]} | {row[4]} | {row[5]}")


if __name__ == "__main__":
    main()
