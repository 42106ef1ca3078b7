"""Membership on the event loop: datagrams and timers for the protocol in `cluster/membership.py`."""

from __future__ import annotations

import math
from collections import Counter
from collections.abc import Callable, Iterable
from typing import Any

from anisefront.cluster.member_state import MemberChange, MemberStatus
from anisefront.cluster.membership import Membership

STALL_FRACTION = 0.25  # of a period: a timer that is later than that indicates a process stall
MAX_DEFERRALS = 3  # event loop iterations until the sockets have been read
DEFERRAL_MS = 1.0

# Names in state reports and log events; operators' tools depend on them.
STATUS_NAMES = {
    MemberStatus.ALIVE: "alive",
    MemberStatus.SUSPECT: "suspected",
    MemberStatus.DEAD: "out",
    MemberStatus.LEFT: "left",
}


class MembershipService:
    """Membership of one gateway instance."""

    def __init__(
        self,
        reactor: Any,
        clock: Callable[[], float],
        send: Callable[[int, bytes], None],
        log: Any,
        number: int,
        process_incarnation: int,
        peers: Iterable[int],
        seed: int,
        period_ms: float,
    ) -> None:
        """Initialize the membership.

        Args:
            reactor: Twisted's event loop.
            clock: Current time in milliseconds.
            send: Sends a datagram to a peer.
            log: Structured log.
            number: Number of this instance.
            process_incarnation: Incarnation of this process, greater at each start of the instance.
            peers: Numbers of all instances that may be members.
            seed: Seed of the random generator.
            period_ms: Probe period.
        """
        self._reactor = reactor
        self._clock = clock
        self._send = send
        self._log = log
        self.membership = Membership(number, process_incarnation, peers, seed, period_ms)
        self.on_changes: Callable[[list[MemberChange]], None] = lambda changes: None
        self.on_unavailable: Callable[[frozenset[int]], None] = lambda numbers: None  # gets all that are dead or left
        self._unavailable = frozenset[int]()
        self._received: list[tuple[int, int, bytes]] = []
        self._deferrals = 0
        self._call: Any = None

    def start(self) -> None:
        """Join the cluster."""
        self._process()

    def receive(self, sender: int, process_incarnation: int, data: bytes) -> None:
        """Queue a datagram from an authenticated sender, to be handled once per event loop iteration."""
        self._received.append((sender, process_incarnation, data))
        self._schedule(0.0)

    def leave(self) -> None:
        """Leave the cluster."""
        self._send_all(self.membership.leave())
        if self._call is not None and self._call.active():
            self._call.cancel()
        self._call = None

    def state(self) -> dict[str, Any]:
        """Return the state report. Operators' tools depend on its keys."""
        rows = self.membership.rows
        members_by_status = Counter(STATUS_NAMES[row.status] for row in rows.values())
        return {
            **members_by_status,
            "unknown": len(self.membership.peers) + 1 - len(rows),
            "awareness": self.membership.awareness,
            "not_alive": {str(number): STATUS_NAMES[row.status] for number, row in sorted(rows.items()) if row.status},
            "counts": dict(self.membership.counts),
        }

    def _process(self) -> None:
        self._call = None
        now_ms = self._clock()
        if self._is_stalled(now_ms):
            # After a process stall the event loop runs timers first: all members would be suspected while their acks
            # are in the socket's receive buffer.
            self._deferrals += 1
            self._schedule(DEFERRAL_MS)
            return
        self._deferrals = 0
        received = self._received
        self._received = []
        self._send_all(self.membership.handle(now_ms, received))
        self._report_changes()
        next_timer_ms = self.membership.next_timer_ms
        if next_timer_ms < math.inf:
            self._schedule(max(0.0, next_timer_ms - self._clock()))

    def _is_stalled(self, now_ms: float) -> bool:
        late_ms = now_ms - self.membership.next_timer_ms
        return late_ms > STALL_FRACTION * self.membership.period_ms and self._deferrals < MAX_DEFERRALS

    def _report_changes(self) -> None:
        changes = self.membership.changes
        self.membership.changes = []
        for change in changes:
            self._log.info(
                "member",
                number=change.row.number,
                status=STATUS_NAMES[change.row.status],
                life=change.row.process_incarnation,
                incarnation=change.row.swim_incarnation,
            )
        if changes:
            self.on_changes(changes)
            self._report_unavailable()

    def _report_unavailable(self) -> None:
        """Report the members that are dead or have left; a dead one may only be partitioned from this instance."""
        previous = self._unavailable
        rows = self.membership.rows
        self._unavailable = frozenset(number for number, row in rows.items() if row.status >= MemberStatus.DEAD)
        if self._unavailable != previous:
            self.on_unavailable(self._unavailable)

    def _schedule(self, delay_ms: float) -> None:
        if self._call is not None and self._call.active():
            if self._call.getTime() <= self._reactor.seconds() + delay_ms / 1000:
                return
            self._call.cancel()
        self._call = self._reactor.callLater(delay_ms / 1000, self._process)

    def _send_all(self, messages: list[tuple[int, bytes]]) -> None:
        for receiver, data in messages:
            self._send(receiver, data)
