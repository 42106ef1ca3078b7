"""Share of identities that are refused while a zone is lost, and at a cut, by the rule for identity locks.

    python -m benchmarks.lock_availability

Computed from the placement of voters, for fleets whose instances are in one, two or three zones by turns. In one zone
the loss is that of one instance, and the cut is down the middle. Nothing is run.
"""

from __future__ import annotations

from anisefront.cluster.backup_selection import SLOTS
from anisefront.cluster.lock_placement import LockPlacement

COUNTS = (2, 4, 6, 24, 200)
ZONES = (1, 2, 3)
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
    """Whether the instances of a side serve an identity by the rule that is in force."""
    if len(voters) == MAJORITY:
        return min(voters) in alive
    return len(alive.intersection(voters)) >= MAJORITY


def is_served_by_half(voters: tuple[int, ...], alive: frozenset[int], count: int) -> bool:
    """Whether they served it by the rule before: an only live voter decided alone beside half of the instances."""
    remaining = alive.intersection(voters)
    return len(remaining) >= MAJORITY or (len(remaining) == 1 and 2 * len(alive) >= count)


def is_served_by_tie_breaker(voters: tuple[int, ...], alive: frozenset[int], count: int) -> bool:
    """Whether an only live voter decides alone beside more than half, or half with the lowest instance."""
    has_most = 2 * len(alive) > count or (2 * len(alive) == count and 0 in alive)
    remaining = alive.intersection(voters)
    return len(remaining) >= MAJORITY or (len(remaining) == 1 and has_most)


def share(slots: list[bool]) -> str:
    """Return a share of the slots in percent."""
    return f"{100 * sum(slots) / len(slots):3.0f}%"


def main() -> None:
    """Print the table."""
    print("instances, zones | refused: zone 0 lost, another zone lost | refused at a cut: here, there | ", end="")
    print("run on both sides at a cut, half alive | with a tie-breaker")
    for count in COUNTS:
        for zones in ZONES:
            if zones > count:
                continue
            everyone = frozenset(range(count))
            here = side_of(count, zones)
            there = everyone - here
            lost = frozenset({0}) if zones == 1 else here
            lost_other = frozenset({count - 1}) if zones == 1 else frozenset(range(1, count, zones))
            slots = voters_by_slot(count, zones)
            row = [share([not is_served_by_majority(v, everyone - each) for v in slots]) for each in (lost, lost_other)]
            row += [share([not is_served_by_majority(voters, side) for voters in slots]) for side in (here, there)]
            for rule in (is_served_by_half, is_served_by_tie_breaker):
                row.append(share([rule(v, here, count) and rule(v, there, count) for v in slots]))
            print(f"{count:9}, {zones:5} | {row[0]}, {row[1]} | {row[2]}, {row[3]} | {row[4]} | {row[5]}")


if __name__ == "__main__":
    main()
