"""Recovery of a restarted voter: it votes on a slot once it knows all votes that it may have given before.

    recovering --both other voters of the slot, recovered themselves, have replied--> recovered
         |-----all other configured instances have replied-------------------------^
         `-----the longest deadline has passed since the start---------------------^

A vote counts only in a majority with another voter's vote. So the two other voters know all votes that counted; if
these were restarted too, the owners and their backups know them. If none of them can be reached, the votes have to
expire, as all votes do at the deadlines of their requests. Instances that are believed dead have to reply as well:
behind a partition they may hold locks that were granted by the earlier votes.
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
    """Pages received of the reply to one query."""

    incarnation: int
    serial: int
    locks: dict[int, tuple[KnownLock, ...]] = field(default_factory=dict)


class VoterRecovery:
    """State of the recovery of one process incarnation of a voter."""

    def __init__(self, number: int, placement: LockPlacement, max_duration_ms: float, is_recovered: bool) -> None:
        """Begin the recovery, or skip it if there is nothing to recover.

        Args:
            number: Number of the local instance.
            placement: The voters of all slots.
            max_duration_ms: Longest deadline of a request, after which all earlier votes have expired.
            is_recovered: Whether there are no earlier votes.
        """
        self.serial = 0  # of the last query
        self._number = number
        self._placement = placement
        self._max_duration_ms = max_duration_ms
        self._pages: dict[int, _ReplyPages] = {}  # by number of the replying instance
        self._recovered_by_replies: dict[int, bool] = {}  # by number: whether the replying instance is recovered itself
        self._unrecovered_slots = set() if is_recovered else set(placement.slots_of(number))
        self._end_ms = math.inf
        self._query_ms = 0.0
        self._query_interval_ms = QUERY_RETRY_MS

    @property
    def is_complete(self) -> bool:
        """Whether all slots are recovered."""
        return not self._unrecovered_slots

    def is_recovered(self, slot: int) -> bool:
        """Whether the voter may vote on identities of a slot."""
        return slot not in self._unrecovered_slots

    def receivers_to_query(self, now_ms: float) -> list[int]:
        """Return the receivers of a query to send now, and schedule the next one; empty before the next query."""
        if self._end_ms == math.inf:
            self._end_ms = now_ms + self._max_duration_ms
        if now_ms >= self._end_ms:
            self._unrecovered_slots.clear()
        if self.is_complete or now_ms < self._query_ms:
            return []
        self._query_ms = now_ms + self._query_interval_ms
        self._query_interval_ms = min(MAX_QUERY_RETRY_MS, 2 * self._query_interval_ms)
        self.serial += 1
        others = self._placement.instances - {self._number}
        return sorted(number for number in others if not self._recovered_by_replies.get(number))

    def retry_soon(self, now_ms: float) -> None:
        """Query again at once, as other instances may be reachable now."""
        self._query_ms = min(self._query_ms, now_ms)
        self._query_interval_ms = QUERY_RETRY_MS

    @property
    def next_timer_ms(self) -> float:
        """Latest time for the next call of `receivers_to_query`."""
        return math.inf if self.is_complete else min(self._query_ms, self._end_ms)

    def on_reply(self, sender: int, sender_incarnation: int, reply: LockRecoveryReply) -> list[KnownLock]:
        """Store a page of a reply.

        Returns:
            The locks that the sender knows, once all pages of its reply have arrived.
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
        """Mark the slots as recovered for which the replies suffice; call it after storing the locks of the replies."""
        others = self._placement.instances - {self._number}
        if self._recovered_by_replies and others <= self._recovered_by_replies.keys():
            self._unrecovered_slots.clear()
        recovered = {number for number, is_recovered in self._recovered_by_replies.items() if is_recovered}
        self._unrecovered_slots -= {
            slot
            for slot in self._unrecovered_slots
            if recovered.issuperset(self._placement.other_voters(slot, self._number))
        }
