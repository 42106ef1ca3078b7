"""Exchange of all rows after a partition has healed. Free of I/O and of clocks.

All rows of both sides are news then, which the few rows on pings and acks spread too slowly. So each member requests
the rows of one other in each of some periods (push-pull as in Demers et al., 1987): what either side knows, and which
members it still takes for dead, reaches all in a number of periods that grows with the logarithm of the cluster.
"""

from __future__ import annotations

import math
from collections.abc import Callable

DEAD_FRACTION = 1 / 16  # of the members, dead at once, from which a return counts as the end of a partition
ROWS_PER_PERIOD = 256  # requested by one member on average: a larger cluster exchanges less often


class Recovery:
    """The periods in which one member requests all rows of others."""

    def __init__(self) -> None:
        """Initialize outside of a recovery."""
        self._exchanges = 0  # left
        self._periods = 0  # since the last one
        self._returned: list[int] = []

    def member_returned(self, number: int, still_dead: int, members: int) -> None:
        """Begin to exchange rows, or go on, if a dead member is back and many were dead with it."""
        if still_dead + 1 < DEAD_FRACTION * members:
            return
        self._exchanges = math.ceil(math.log2(members + 1))
        self._returned.append(number)

    def takes_turn(self, members: int) -> bool:
        """Return whether rows are requested in the period that begins."""
        self._periods += 1
        if not self._exchanges or self._periods < members / ROWS_PER_PERIOD:
            return False
        self._periods = 0
        self._exchanges -= 1
        return True

    def take_returned(self, is_alive: Callable[[int], bool]) -> list[int]:
        """Return the members that have returned since the last call and are alive."""
        returned = [number for number in self._returned if is_alive(number)]
        self._returned.clear()
        return returned
