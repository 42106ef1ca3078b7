"""Witness of request replication: decides for each epoch whether its primary or its backup owns it.

An epoch is owned by the first who asks: released by its primary, or claimed by its backup.

    undecided --ReleaseEpoch--> released
        `-------ClaimEpoch----> claimed

A decision is final: a second one that differed would give one request to two instances. So a witness whose memory of
an epoch was evicted, or that has been restarted, does not reply at all.
"""

from __future__ import annotations

from typing import NamedTuple

from anisefront.cluster.backup_state import MAX_CLOSED_EPOCHS, MAX_INCARNATIONS
from anisefront.cluster.replication_actions import SendMessage
from anisefront.cluster.replication_messages import ClaimEpoch, EpochDecision, Message, ReleaseEpoch


class _PrimaryKey(NamedTuple):
    number: int
    incarnation: int


class Witness:
    """Decisions of one process incarnation of a witness."""

    def __init__(self, incarnation: int) -> None:
        """Initialize without any decision; `incarnation` is that of the local process."""
        self.incarnation = incarnation
        self._actions: list[SendMessage] = []
        # By primary's number and incarnation: whether each decided epoch was claimed.
        self._decisions: dict[int, dict[int, dict[int, bool]]] = {}
        self._evicted_epoch: dict[_PrimaryKey, int] = {}  # epochs up to this one get no reply any more
        self._evicted_incarnation: dict[int, int] = {}  # nor do incarnations of a primary up to this one

    def receive(self, sender: int, sender_incarnation: int, message: Message) -> None:
        """Handle a message from an authenticated sender."""
        if not isinstance(message, ReleaseEpoch | ClaimEpoch):
            return
        if message.witness_incarnation != self.incarnation:
            return  # the decisions of an earlier incarnation are not known
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
        """Bound the memory for one primary."""
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
        """Return the messages to send, and keep none."""
        actions = self._actions
        self._actions = []
        return actions
