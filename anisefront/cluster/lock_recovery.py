"""Recovery of a voter that was restarted: it votes on a slot once it knows what its earlier votes may have been.

    recovering --both other voters of the slot, recovered themselves, have replied--> recovered
         |-----all other configured instances have replied-------------------------^
         `-----the longest deadline has passed since the start---------------------^

One of its votes counts only together with another voter's. So the two others know all of them; where these have been
restarted too, the owners and their backups do. Where neither can be asked no message can tell, and the votes have to
lapse, as all votes do at the deadlines of their requests. Instances that are believed dead have to reply as well:
behind a partition they may own locks that the earlier votes helped to get.
"""

from __future__ import annotations

import math
from dataclasses import dataclass, field

from anisefront.cluster.lock_messages import KnownLock, LockRecoveryReply
from anisefront.cluster.lock_placement import LockPlacement

QUERY_RETRY_MS = 60.0
MAX_QUERY_RETRY_MS = 1000.0


@dataclass(slots=True, eq=False)
class _ReplyPages:
    """Pages of the reply to one query."""

    incarnation: int
    serial: int
    locks: dict[int, tuple[KnownLock, ...]] = field(default_factory=dict)


class VoterRecovery:
    """What one process incarnation of a voter has asked and learned."""

    def __init__(self, number: int, placement: LockPlacement, max_duration_ms: float, is_recovered: bool) -> None:
        """Begin to recover, or be recovered from the start.

        Args:
            number: Number of the local instance.
            placement: Who votes.
            max_duration_ms: Longest deadline of a request.
            is_recovered: Whether there are no earlier votes.
        """
        self.serial = 0  # of the last query
        self._number = number
        self._placement = placement
        self._max_duration_ms = max_duration_ms
        self._pages: dict[int, _ReplyPages] = {}  # by number of the replying instance
        self._recovered_by_replies: dict[int, bool] = {}  # by number: whether it is recovered itself
        self._open_slots = set() if is_recovered else set(placement.slots_of(number))
        self._end_ms = math.inf
        self._query_ms = 0.0
        self._query_interval_ms = QUERY_RETRY_MS

    @property
    def is_complete(self) -> bool:
        """Whether all slots are recovered."""
        return not self._open_slots

    def is_recovered(self, slot: int) -> bool:
        """Whether the voter may vote on identities of a slot."""
        return slot not in self._open_slots

    def receivers_due(self, now_ms: float) -> list[int]:
        """Return whom to ask now, after which the next query is due later; nobody where none is due."""
        if self._end_ms == math.inf:
            self._end_ms = now_ms + self._max_duration_ms
        if now_ms >= self._end_ms:
            self._open_slots.clear()
        if self.is_complete or now_ms < self._query_ms:
            return []
        self._query_ms = now_ms + self._query_interval_ms
        self._query_interval_ms = min(MAX_QUERY_RETRY_MS, 2 * self._query_interval_ms)
        self.serial += 1
        others = self._placement.instances - {self._number}
        return sorted(number for number in others if not self._recovered_by_replies.get(number))

    def retry_soon(self, now_ms: float) -> None:
        """Ask again at once, as other instances may be reachable now."""
        self._query_ms = min(self._query_ms, now_ms)
        self._query_interval_ms = QUERY_RETRY_MS

    @property
    def next_timer_ms(self) -> float:
        """Time at which `receivers_due` is to be called at the latest."""
        return math.inf if self.is_complete else min(self._query_ms, self._end_ms)

    def on_reply(self, sender: int, sender_incarnation: int, reply: LockRecoveryReply) -> list[KnownLock]:
        """Take in a page.

        Returns:
            The locks that the sender knows, once all pages of its reply are here.
        """
        pages = self._pages.get(sender)
        if pages is None or (pages.incarnation, pages.serial) < (sender_incarnation, reply.serial):
            pages = self._pages[sender] = _ReplyPages(sender_incarnation, reply.serial)
        if (pages.incarnation, pages.serial) != (sender_incarnation, reply.serial):
            return []
        pages.locks[reply.page] = reply.locks
        if len(pages.locks) < reply.pages:
            return []
        self._recovered_by_replies[sender] = reply.is_recovered
        return [lock for page in sorted(pages.locks) for lock in pages.locks[page]]

    def update_slots(self) -> None:
        """Recover the slots for which the replies suffice, after the locks in them were taken in."""
        others = self._placement.instances - {self._number}
        if self._recovered_by_replies and others <= self._recovered_by_replies.keys():
            self._open_slots.clear()
        recovered = {number for number, is_recovered in self._recovered_by_replies.items() if is_recovered}
        self._open_slots -= {
            slot for slot in self._open_slots if recovered.issuperset(self._placement.other_voters(slot, self._number))
        }
