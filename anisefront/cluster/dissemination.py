"""Gossip of member rows: each change is piggybacked on a bounded number of protocol messages.

SWIM's infection-style dissemination: the number of transmissions of a row grows with the logarithm of the cluster's
size, and the rows with the fewest transmissions are sent first.
"""

from __future__ import annotations

import heapq
import math

from anisefront.cluster.member_state import MemberRow

# Rows on a ping or an ack. After a partition has healed, all rows of both sides have to be spread. With as many as fit
# into a datagram, large clusters do not converge: handling the rows delays the members, late members are suspected, and
# each suspicion has to be spread as well.
MAX_PIGGYBACKED_ROWS = 8
RETRANSMIT_MULTIPLIER = 3  # transmissions of a row, per logarithm of the cluster's size


class Dissemination:
    """Rows that are still to be spread, with their numbers of transmissions."""

    def __init__(self) -> None:
        """Initialize with nothing to spread."""
        self._transmissions: dict[int, int] = {}

    def spread(self, number: int) -> None:
        """Start to spread a member's row, with its number of transmissions reset."""
        self._transmissions[number] = 0

    def clear(self) -> None:
        """Stop spreading all rows."""
        self._transmissions.clear()

    def piggyback(self, rows: dict[int, MemberRow], first: list[MemberRow]) -> list[MemberRow]:
        """Return the rows that a message carries: `first`, then as many of those to be spread as fit."""
        carried = list(first)
        already_carried = {row.number for row in first}
        max_transmissions = retransmit_limit(len(rows))
        for number in heapq.nsmallest(MAX_PIGGYBACKED_ROWS, self._transmissions, key=self._order):
            if len(carried) >= MAX_PIGGYBACKED_ROWS:
                break
            if number in already_carried:
                continue
            carried.append(rows[number])
            self._transmissions[number] += 1
            if self._transmissions[number] >= max_transmissions:
                del self._transmissions[number]
        return carried

    def _order(self, number: int) -> tuple[int, int]:
        return self._transmissions[number], number


def retransmit_limit(members: int) -> int:
    """Return the number of transmissions of a row in a cluster of this size."""
    return RETRANSMIT_MULTIPLIER * max(1, math.ceil(math.log2(members + 1)))
