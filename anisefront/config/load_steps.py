"""Sizes of the steps of an incremental load. The event loop does other work between steps."""

from __future__ import annotations

from collections.abc import Callable, Generator, Sequence
from typing import Any

SECTIONS_PER_STEP = 64
VALUES_PER_SECTION = 4  # routes or keys whose comparison costs as much as processing a section


def ends_step(number: int) -> bool:
    """Return whether a step ends before the section of this number, from 0."""
    return number % SECTIONS_PER_STEP == SECTIONS_PER_STEP - 1


def find_positions(values: Sequence[Any], is_wanted: Callable[[Any], bool]) -> Generator[None, None, list[int]]:
    """Return the positions of the values for which `is_wanted` is true, in steps."""
    positions = []
    for position, value in enumerate(values):
        if position % (VALUES_PER_SECTION * SECTIONS_PER_STEP) == 0:
            yield
        if is_wanted(value):
            positions.append(position)
    return positions
