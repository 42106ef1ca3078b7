"""Random draws that depend on the seed, the stream and the index alone, never on the order of events.

Two options that are simulated with the same seed therefore face the same random events, and their runs differ only
where the options act differently. Counter-based generators (Salmon et al., "Parallel random numbers: as easy as 1, 2,
3", 2011) compute any block of any stream directly, so a long run needs no table of all its draws.
"""

from __future__ import annotations

import math
from collections.abc import Sequence
from enum import IntEnum

import numpy as np

BLOCK_ROWS = 1024
COLUMNS = 28
MAX_CACHED_BLOCKS = 64


class Stream(IntEnum):
    """The independent random streams."""

    REQUESTS = 1  # gateway, pauses, service times: a row for each request
    MESSAGES = 2  # loss, duplication and delay of peer messages: an index for each message of a pair
    SEEDS = 3  # of the controllers: a row for each incarnation
    FAULTS = 4  # which workers a fault affects: a row for each fault
    TRAFFIC = 5  # customers of a script: a generator for each


class Draws:
    """Rows of `COLUMNS` uniform numbers, by stream and index."""

    def __init__(self, seed: int) -> None:
        """Create the draws of a seed."""
        self._seed = seed
        self._blocks: dict[tuple[int, int], list[list[float]]] = {}

    def row(self, stream: Stream, index: int) -> list[float]:
        """Return the row at an index. Evicted blocks are computed again on demand."""
        block, position = divmod(index, BLOCK_ROWS)
        rows = self._blocks.get((stream, block))
        if rows is None:
            if len(self._blocks) >= MAX_CACHED_BLOCKS:
                del self._blocks[next(iter(self._blocks))]
            rows = self.generator(stream, block).random((BLOCK_ROWS, COLUMNS)).tolist()
            self._blocks[stream, block] = rows
        return rows[position]

    def uniform(self, stream: Stream, index: int, column: int) -> float:
        """Return a single uniform number, hashed from seed, stream, index and column.

        For sparse indices, such as those of messages, rows would be computed and evicted over and over. The hash is
        SplitMix64 (Steele, Lea and Flood, 2014).
        """
        mixed = _mix(_mix(self._seed ^ stream << 56) ^ index) + column
        return (_mix(mixed) >> 11) * 2.0**-53

    def generator(self, stream: Stream, number: int) -> np.random.Generator:
        """Return an independent generator for a number of a stream."""
        return np.random.Generator(
            np.random.Philox(key=[self._seed & (1 << 63) - 1, stream], counter=[0, 0, 0, number])
        )


def _mix(value: int) -> int:
    value = (value + 0x9E3779B97F4A7C15) & 0xFFFFFFFFFFFFFFFF
    value = (value ^ value >> 30) * 0xBF58476D1CE4E5B9 & 0xFFFFFFFFFFFFFFFF
    value = (value ^ value >> 27) * 0x94D049BB133111EB & 0xFFFFFFFFFFFFFFFF
    return value ^ value >> 31


def lognormal(sigma: float, points: int = 65) -> tuple[float, ...]:
    """Return evenly spaced quantiles of a log-normal distribution with mean 1; `sigma` is the deviation of the log."""
    from statistics import NormalDist

    normal = NormalDist()
    values = [math.exp(sigma * normal.inv_cdf((n + 0.5) / points)) for n in range(points)]
    mean = sum(values) / points
    return tuple(value / mean for value in values)


def quantile(quantiles: Sequence[float], probability: float) -> float:
    """Interpolate between quantiles at `probability`, from 0 to 1."""
    position = probability * (len(quantiles) - 1)
    low = int(position)
    if low >= len(quantiles) - 1:
        return quantiles[-1]
    return quantiles[low] + (quantiles[low + 1] - quantiles[low]) * (position - low)
