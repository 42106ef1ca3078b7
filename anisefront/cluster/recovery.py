"""Exchange of all rows after a partition has healed. Free of I/O and of clocks.

All rows of both sides have changed then, and the few rows on pings and acks spread them too slowly. So each member
requests all rows of one other member in each of a number of periods (push-pull as in Demers et al., 1987). The rows of
either side, including those of members that it still considers dead, reach all members in a number of periods that
grows with the logarithm of the cluster's size.
"""

from __future__ import annotations

import math
from collections.abc import Callable

DEAD_FRACTION = 1 / 16  # share of members dead at once from which a return counts as the end of a partition
ROWS_PER_PERIOD = 256  # requested by one member on average; larger clusters exchange less often


class PartitionRecovery:
    """Decides in which periods a member requests all rows of another one."""

    def __init__(self) -> None:
        """Initialize outside of a recovery."""
        self._exchanges = 0  # remaining
        self._periods = 0  # since the last exchange
        self._returned: list[int] = []

    def member_returned(self, number: int, still_dead: int, members: int) -> None:
        """Start or extend the exchanges if a dead member has returned and many were dead with it."""
        if still_dead + 1 < DEAD_FRACTION * members:
            return
        self._exchanges = math.ceil(math.log2(members + 1))
        self._returned.append(number)

    def should_exchange(self, members: int) -> bool:
        """Return whether all rows of a member are to be requested in the period that begins."""
        self._periods += 1
        if not self._exchanges or self._periods < members / ROWS_PER_PERIOD:
            return False
        self._periods = 0
        self._exchanges -= 1
        return True

    def take_returned(self, is_alive: Callable[[int], bool]) -> list[int]:
        """Return the live members that have returned since the last call, and clear them."""
        returned = [number for number in self._returned if is_alive(number)]
        self._returned.clear()
        return returned
