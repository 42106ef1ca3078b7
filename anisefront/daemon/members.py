"""Who of the fleet is there, on the event loop: datagrams and wake-ups for `cluster/membership.py`, which decides."""

from __future__ import annotations

import math
from collections import Counter
from collections.abc import Callable, Iterable
from typing import Any

from anisefront.cluster.members import Status
from anisefront.cluster.membership import Change, Membership

LATE_PART, PUT_OFF = 0.25, 3  # so late, in periods, means that we stood still; turns until our sockets are read


class Members:
    """The membership of one gatekeeper. `tell(receiver, data)` sends a datagram, `life` is our life's number."""

    def __init__(
        self,
        reactor: Any,
        clock: Callable[[], float],
        tell: Callable[[int, bytes], None],
        log: Any,
        number: int,
        life: int,
        peers: Iterable[int],
        seed: int,
        period_ms: float,
    ) -> None:
        self._reactor, self._clock, self._tell, self._log = reactor, clock, tell, log
        self.membership = Membership(number, life, peers, seed, period_ms)
        self.listener: Callable[[list[Change]], None] = lambda changes: None  # is told what has changed
        self.tell_gone: Callable[[frozenset[int]], None] = lambda gone: None  # is told all that are, when they change
        self._gone = frozenset[int]()
        self._heard: list[tuple[int, int, bytes]] = []
        self._put_off = 0
        self._call: Any = None

    def start(self) -> None:
        """Begin to ask who is there."""
        self._turn()

    def hear(self, sender: int, life: int, data: bytes) -> None:
        """A message of a peer whose seal proves its life."""
        self._heard.append((sender, life, data))
        self._plan(0.0)

    def leave(self) -> None:
        """We go on purpose."""
        self._send(self.membership.leave())
        if self._call is not None and self._call.active():
            self._call.cancel()
        self._call = None

    def state(self) -> dict[str, Any]:
        """Who is there, in plain values."""
        known = self.membership
        said = Counter(row.status.name.lower() for row in known.rows.values())
        return {
            **said,
            "unknown": len(known.peers) + 1 - len(known.rows),
            "awareness": known.awareness,
            "not_alive": {
                str(number): row.status.name.lower() for number, row in sorted(known.rows.items()) if row.status
            },
            "counts": dict(known.counts),
        }

    def _turn(self) -> None:
        self._call, now = None, self._clock()
        if now - self.membership.next_timer_ms > LATE_PART * self.membership.period_ms and self._put_off < PUT_OFF:
            # Danger: after a standstill the loop runs timers first: all others would be accused of not having
            # answered while their answers wait in our socket.
            self._put_off += 1
            self._plan(1.0)
            return
        self._put_off, heard, self._heard = 0, self._heard, []
        self._send(self.membership.handle(now, heard))
        for change in self.membership.changes:
            self._log.info(
                "member",
                number=change.row.number,
                status=change.row.status.name.lower(),
                life=change.row.life,
                incarnation=change.row.incarnation,
            )
        changes, self.membership.changes = self.membership.changes, []
        if changes:
            self.listener(changes)
            self._look_who_is_gone()
        due = self.membership.next_timer_ms
        if due < math.inf:
            self._plan(max(0.0, due - self._clock()))

    def _look_who_is_gone(self) -> None:
        """Those that are out or have left. One that is out may only be cut off, and takes us for gone then."""
        before, self._gone = (
            self._gone,
            frozenset(number for number, row in self.membership.rows.items() if row.status >= Status.OUT),
        )
        if self._gone != before:
            self.tell_gone(self._gone)

    def _plan(self, delay_ms: float) -> None:
        if self._call is not None and self._call.active():
            if self._call.getTime() <= self._reactor.seconds() + delay_ms / 1000:
                return
            self._call.cancel()
        self._call = self._reactor.callLater(delay_ms / 1000, self._turn)

    def _send(self, messages: list[tuple[int, bytes]]) -> None:
        for receiver, data in messages:
            self._tell(receiver, data)
