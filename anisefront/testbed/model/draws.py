"""Chance for the model: what is drawn for a thing hangs on the seed, the cause and the thing alone, never on the order
in which things happen. So two options that meet the same world part only where they act differently.

Counter-based generators (Salmon et al., "Parallel random numbers: as easy as 1, 2, 3", 2011) give any block of any
stream at once, so a long day needs no table of all its draws.
"""

from __future__ import annotations

import math
from collections.abc import Sequence
from enum import IntEnum

import numpy as np

ROWS, COLUMNS, MOST_BLOCKS = 1024, 28, 64


class Cause(IntEnum):
    """One stream each."""

    REQUESTS = 1  # doors, pauses, service times: a row for each wish
    MESSAGES = 2  # what peers' messages meet on their way: a row for each count of a pair
    SEEDS = 3  # of the decision modules: a row for each life
    TROUBLE = 4  # whom a trouble hits: a row for each trouble
    TRAFFIC = 5  # scripted customers: a generator for each


class Draws:
    """Rows of `COLUMNS` uniform numbers by cause and index."""

    def __init__(self, seed: int) -> None:
        self._seed = seed
        self._blocks: dict[tuple[int, int], list[list[float]]] = {}

    def row(self, cause: Cause, index: int) -> list[float]:
        """The row of one thing. Blocks that were not used for long are made again when asked for."""
        block, place = divmod(index, ROWS)
        rows = self._blocks.get((cause, block))
        if rows is None:
            if len(self._blocks) >= MOST_BLOCKS:
                del self._blocks[next(iter(self._blocks))]
            rows = self.generator(cause, block).random((ROWS, COLUMNS)).tolist()
            self._blocks[cause, block] = rows
        return rows[place]

    def one(self, cause: Cause, index: int, column: int) -> float:
        """One number of a thing among so many that their rows would be made and let go again and again: SplitMix64
        (Steele, Lea and Flood, 2014) over seed, cause, index and column."""
        mixed = _mix(_mix(self._seed ^ cause << 56) ^ index) + column
        return (_mix(mixed) >> 11) * 2.0**-53

    def generator(self, cause: Cause, number: int) -> np.random.Generator:
        """A generator of its own."""
        return np.random.Generator(np.random.Philox(key=[self._seed & (1 << 63) - 1, cause], counter=[0, 0, 0, number]))


def _mix(value: int) -> int:
    value = (value + 0x9E3779B97F4A7C15) & 0xFFFFFFFFFFFFFFFF
    value = (value ^ value >> 30) * 0xBF58476D1CE4E5B9 & 0xFFFFFFFFFFFFFFFF
    value = (value ^ value >> 27) * 0x94D049BB133111EB & 0xFFFFFFFFFFFFFFFF
    return value ^ value >> 31


def lognormal(sigma: float, points: int = 65) -> tuple[float, ...]:
    """Quantiles, evenly spaced and of mean 1, of times whose logarithm spreads by `sigma`."""
    from statistics import NormalDist

    normal = NormalDist()
    values = [math.exp(sigma * normal.inv_cdf((n + 0.5) / points)) for n in range(points)]
    mean = sum(values) / points
    return tuple(value / mean for value in values)


def quantile(shape: Sequence[float], u: float) -> float:
    """The value at `u`, 0 to 1, between the quantiles."""
    place = u * (len(shape) - 1)
    low = int(place)
    if low >= len(shape) - 1:
        return shape[-1]
    return shape[low] + (shape[low + 1] - shape[low]) * (place - low)
