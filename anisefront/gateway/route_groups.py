"""Difference between two lists of route groups, as groups to remove from and to add to a route table."""

from __future__ import annotations

from bisect import bisect
from collections.abc import Sequence

from anisefront.gateway.routes import RouteGroup


def changed_groups(
    before: Sequence[RouteGroup], after: Sequence[RouteGroup]
) -> tuple[list[RouteGroup], list[RouteGroup]]:
    """Return the groups to remove and those to add, so that the remaining groups keep their relative order.

    A group that moved is in both lists; as many groups as possible remain. Groups are compared by object identity.
    """
    positions = {id(group): position for position, group in enumerate(before)}
    common_positions = [positions[id(group)] for group in after if id(group) in positions]
    remaining = set(common_positions)
    if any(first > second for first, second in zip(common_positions, common_positions[1:], strict=False)):
        remaining = _longest_increasing(common_positions)
    removed = [group for position, group in enumerate(before) if position not in remaining]
    added = [group for group in after if positions.get(id(group), -1) not in remaining]
    return removed, added


def _longest_increasing(numbers: list[int]) -> set[int]:
    """Return the longest increasing subsequence of distinct numbers."""
    ends: list[int] = []  # the smallest last number of a subsequence, by its length
    previous: dict[int, int | None] = {}
    for number in numbers:
        length = bisect(ends, number)
        previous[number] = ends[length - 1] if length else None
        ends[length : length + 1] = [number]
    subsequence: set[int] = set()
    last = ends[-1] if ends else None
    while last is not None:
        subsequence.add(last)
        last = previous[last]
    return subsequence
