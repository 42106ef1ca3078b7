"""Witness of request replication: decides for each epoch whether its primary or its backup owns it.

The first request decides: the epoch is released by its primary, or claimed by its backup.

    undecided --ReleaseEpoch--> released
        `-------ClaimEpoch----> claimed

A decision is final, since a different second one would make two instances own one request. So a witness that has
evicted its decision on an epoch, or was restarted, does not reply at all.
"""

from __future__ import annotations

from typing import NamedTuple

from anisefront.cluster.backup_state import MAX_CLOSED_EPOCHS, MAX_INCARNATIONS
from anisefront.cluster.replication_actions import SendMessage
from anisefront.cluster.replication_messages import ClaimEpoch, EpochDecision, Message, ReleaseEpoch


class _PrimaryKey(NamedTuple):
    """Identifies a process incarnation of a primary."""

    number: int
    incarnation: int


class Witness:
    """Decisions of one process incarnation of a witness."""

    def __init__(self, incarnation: int) -> None:
        """Initialize without any decision; `incarnation` is that of the local process."""
        self.incarnation = incarnation
        self._actions: list[SendMessage] = []
        # Whether each decided epoch was claimed, by primary's number, incarnation and epoch.
        self._decisions: dict[int, dict[int, dict[int, bool]]] = {}
        self._evicted_epoch: dict[_PrimaryKey, int] = {}  # epochs up to this one get no reply
        self._evicted_incarnation: dict[int, int] = {}  # incarnations of a primary up to this one get no reply

    def receive(self, sender: int, sender_incarnation: int, message: Message) -> None:
        """Handle a message from an authenticated sender."""
        if not isinstance(message, ReleaseEpoch | ClaimEpoch):
            return
        if message.witness_incarnation != self.incarnation:
            return  # decisions of an earlier incarnation are lost
        if isinstance(message, ClaimEpoch):
            claimed = True
            primary = _PrimaryKey(message.primary, message.primary_incarnation)
        else:
            claimed = False
            primary = _PrimaryKey(sender, sender_incarnation)
        if primary.incarnation <= self._evicted_incarnation.get(primary.number, 0):
            return
        by_incarnation = self._decisions.setdefault(primary.number, {})
        decisions = by_incarnation.setdefault(primary.incarnation, {})
        if message.epoch <= self._evicted_epoch.get(primary, 0) and message.epoch not in decisions:
            return
        decision = decisions.setdefault(message.epoch, claimed)
        reply = EpochDecision(primary.number, primary.incarnation, message.epoch, decision)
        self._actions.append(SendMessage(sender, reply))
        self._evict(primary, by_incarnation, decisions)

    def _evict(
        self, primary: _PrimaryKey, by_incarnation: dict[int, dict[int, bool]], decisions: dict[int, bool]
    ) -> None:
        """Bound the number of decisions stored for one primary."""
        if len(decisions) > MAX_CLOSED_EPOCHS:
            oldest_epoch = min(decisions)
            self._evicted_epoch[primary] = max(self._evicted_epoch.get(primary, 0), oldest_epoch)
            del decisions[oldest_epoch]
        if len(by_incarnation) > MAX_INCARNATIONS:
            oldest = min(by_incarnation)
            self._evicted_incarnation[primary.number] = max(self._evicted_incarnation.get(primary.number, 0), oldest)
            self._evicted_epoch.pop(_PrimaryKey(primary.number, oldest), None)
            del by_incarnation[oldest]

    def take_actions(self) -> list[SendMessage]:
        """Return and clear the pending messages."""
        actions = self._actions
        self._actions = []
        return actions
