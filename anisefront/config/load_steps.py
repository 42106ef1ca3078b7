"""Sizes of the steps of an incremental load, between which the event loop does other work."""

from __future__ import annotations

from collections.abc import Callable, Generator, Sequence
from typing import Any

SECTIONS_PER_STEP = 64
VALUES_PER_SECTION = 4  # routes or keys that cost as much as a section when they are compared only


def ends_step(number: int) -> bool:
    """Return whether a step ends before the section of this number, from 0."""
    return number % SECTIONS_PER_STEP == SECTIONS_PER_STEP - 1


def find_positions(values: Sequence[Any], is_wanted: Callable[[Any], bool]) -> Generator[None, None, list[int]]:
    """Return the positions of the values that are wanted, in steps."""
    positions = []
    for position, value in enumerate(values):
        if position % (VALUES_PER_SECTION * SECTIONS_PER_STEP) == 0:
            yield
        if is_wanted(value):
            positions.append(position)
    return positions
