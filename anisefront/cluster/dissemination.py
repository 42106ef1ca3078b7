"""Gossip of member rows: each change is carried by a bounded number of the messages that are sent anyway.

SWIM's infection-style dissemination: a row is sent a number of times that grows with the logarithm of the cluster,
those that were sent least often first.
"""

from __future__ import annotations

import heapq
import math

from anisefront.cluster.member_state import MemberRow

# Rows on a ping or an ack. After a partition has healed all rows of both sides are news. With as many as fit into a
# datagram large clusters do not settle: handling the rows delays the members, late members are suspected, and
# suspicions are news.
MAX_PIGGYBACKED_ROWS = 8
RETRANSMIT_MULTIPLIER = 3  # times the logarithm of the cluster's size that a row is sent


class Dissemination:
    """Rows that are still to be spread, by how often they were sent."""

    def __init__(self) -> None:
        """Initialize with nothing to spread."""
        self._transmissions: dict[int, int] = {}

    def spread(self, number: int) -> None:
        """Start to spread a member's row, from the first transmission on."""
        self._transmissions[number] = 0

    def clear(self) -> None:
        """Spread nothing more of what is known."""
        self._transmissions.clear()

    def piggyback(self, rows: dict[int, MemberRow], first: list[MemberRow]) -> list[MemberRow]:
        """Return the rows that a message carries: those given, and as many to be spread as fit."""
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
    """Return how often a row is sent in a cluster of this size."""
    return RETRANSMIT_MULTIPLIER * max(1, math.ceil(math.log2(members + 1)))
