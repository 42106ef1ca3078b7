"""Suspicions of members, and the timeout within which they can be refuted.

Lifeguard's (Dadgar, Phillips, Currey 2018) dynamic suspicion timeout: it is long while no other member shares the
suspicion, shrinks with each confirmation, and is extended while the local member considers itself slow.
"""

from __future__ import annotations

import math
from dataclasses import dataclass

from anisefront.cluster.member_state import MemberRow

MAX_CONFIRMATIONS = 3  # suspicions by other members that shorten the timeout
SUSPICION_PERIODS = 4.0  # minimum timeout, in probe periods times the logarithm of the cluster's size
MAX_SUSPICION_MULTIPLIER = 6.0  # of the minimum, while no other member suspects it
MAX_AWARENESS = 8


@dataclass(slots=True, eq=False)
class Suspicion:
    """A suspicion of one row, with the members that share it."""

    row: MemberRow
    started_ms: float
    suspected_by: set[int]

    @property
    def confirmations(self) -> int:
        """Number of members that share the suspicion, except the first."""
        return len(self.suspected_by) - 1


def suspicion_timeout_ms(period_ms: float, members: int, confirmations: int, awareness: int) -> float:
    """Return the time after which a suspect member that did not refute the suspicion is declared dead.

    Args:
        period_ms: Probe period.
        members: Number of known members, the local one included.
        confirmations: Members that share the suspicion.
        awareness: Local health score (0: healthy, up to `MAX_AWARENESS`).
    """
    slowness_multiplier = 1 + awareness / MAX_AWARENESS
    minimum_ms = SUSPICION_PERIODS * max(1.0, math.log10(max(2, members))) * period_ms
    if members <= 2:  # no other member could confirm it
        return minimum_ms * slowness_multiplier
    maximum_ms = MAX_SUSPICION_MULTIPLIER * minimum_ms
    confirmed_fraction = min(1.0, math.log(confirmations + 1) / math.log(MAX_CONFIRMATIONS + 1))
    return (maximum_ms - (maximum_ms - minimum_ms) * confirmed_fraction) * slowness_multiplier
