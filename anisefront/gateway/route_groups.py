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
    known = {id(group): number for number, group in enumerate(before)}
    common = [known[id(group)] for group in after if id(group) in known]
    staying = set(common)
    if any(first > second for first, second in zip(common, common[1:], strict=False)):
        staying = _longest_increasing(common)
    removed = [group for number, group in enumerate(before) if number not in staying]
    added = [group for group in after if known.get(id(group), -1) not in staying]
    return removed, added


def _longest_increasing(numbers: list[int]) -> set[int]:
    """Return the longest increasing subsequence of distinct numbers."""
    ends: list[int] = []  # the smallest last number of a subsequence, by its length
    previous: dict[int, int | None] = {}
    for number in numbers:
        at = bisect(ends, number)
        previous[number] = ends[at - 1] if at else None
        ends[at : at + 1] = [number]
    found: set[int] = set()
    last = ends[-1] if ends else None
    while last is not None:
        found.add(last)
        last = previous[last]
    return found
