"""Pending probes, and the order in which members are probed."""

from __future__ import annotations

import random
from collections.abc import Callable
from dataclasses import dataclass

MAX_PENDING_PROBES = 256  # probes for other members and of dead members are never removed otherwise
MAX_SEQUENCE = 0xFFFFFFFF


@dataclass(slots=True, eq=False)
class Probe:
    """A ping of one member.

    Attributes:
        requester: Member on whose behalf it is sent; None: the local one.
        requester_sequence: Sequence number of the requester's own probe.
        indirect_pings: Number of members that were requested to ping indirectly.
        nacks: Number of these that got no acknowledgement either; their nacks show that the local member is reachable.
    """

    number: int
    requester: int | None = None
    requester_sequence: int = 0
    acknowledged: bool = False
    indirect_pings: int = 0
    nacks: int = 0


class PendingProbes:
    """Probes by their sequence number."""

    def __init__(self) -> None:
        """Initialize without any probe."""
        self._probes: dict[int, Probe] = {}
        self._sequence = 0

    def add(self, probe: Probe) -> int:
        """Add a probe and return its sequence number; evicts the oldest beyond `MAX_PENDING_PROBES`."""
        self._sequence = self._sequence % MAX_SEQUENCE + 1
        self._probes[self._sequence] = probe
        if len(self._probes) > MAX_PENDING_PROBES:
            del self._probes[next(iter(self._probes))]
        return self._sequence

    def get(self, sequence: int) -> Probe | None:
        """Return a pending probe, None without it."""
        return self._probes.get(sequence)

    def remove(self, sequence: int) -> Probe | None:
        """Remove and return a pending probe, None without it."""
        return self._probes.pop(sequence, None)


class ProbeOrder:
    """Round-robin order of members, shuffled before each round.

    Each member is probed once per round, which bounds the time to detect a failure (SWIM, section 4.3).
    """

    def __init__(self, rng: random.Random) -> None:
        """Initialize with the random generator that shuffles the rounds."""
        self._rng = rng
        self._round: list[int] = []

    def next(self, candidates: Callable[[], list[int]], is_alive: Callable[[int], bool]) -> int | None:
        """Return the next live member; None without any.

        Args:
            candidates: Returns the members to probe in a new round.
            is_alive: Returns whether a member of the round is still alive.
        """
        while True:
            if not self._round:
                self._round = candidates()
                self._rng.shuffle(self._round)
                if not self._round:
                    return None
            number = self._round.pop()
            if is_alive(number):
                return number
