"""Membership of the cluster: probes, indirect probes, suspicion and its refutation. Free of I/O and of clocks.

SWIM (Das, Gupta, Motivala 2002) with Lifeguard (Dadgar, Phillips, Currey 2018) over authenticated datagrams:

    alive --no ack, neither direct nor indirect, by the end of a probe period--> suspect
    suspect --not refuted in time--> dead
    suspect, dead --a greater SWIM incarnation, announced by the member itself--> alive

A member whose probes are acknowledged late, that has to refute suspicions, or that misses nacks considers itself slow
(`awareness`). It then probes less often and with longer timeouts, so a paused member does not declare the others dead.
Rows are piggybacked on pings and acks, so the message rate of a member does not grow with the cluster.
"""

from __future__ import annotations

import random
from collections import Counter
from collections.abc import Iterable

from anisefront.cluster.dissemination import Dissemination, retransmit_limit
from anisefront.cluster.member_state import MAX_ROWS, MemberChange, MemberRow, MemberStatus, supersedes
from anisefront.cluster.membership_messages import (
    MembershipMessage,
    MessageKind,
    decode_message,
    encode_message,
    is_membership_message,
)
from anisefront.cluster.membership_timers import MembershipTimers, Timer
from anisefront.cluster.probes import PendingProbes, Probe, ProbeOrder
from anisefront.cluster.recovery import PartitionRecovery
from anisefront.cluster.suspicion import MAX_AWARENESS, MAX_CONFIRMATIONS, Suspicion, suspicion_timeout_ms

INDIRECT_PINGS = 3  # members requested to ping indirectly
ACK_TIMEOUT_FRACTION = 0.4  # of a period, after which indirect pings are sent
NACK_TIMEOUT_FRACTION = 0.8  # of that timeout, after which an indirect ping is answered by a nack
JOIN_RETRY_MS = 250.0
JOIN_SEEDS = 3  # peers that all rows are requested from until one has answered
SYNC_PERIODS = 30  # between requests for all rows of a random member
DEAD_PROBE_PERIODS = 5  # between pings of a dead or unknown member


class Membership:
    """One instance's view of the cluster."""

    def __init__(
        self, number: int, process_incarnation: int, peers: Iterable[int], seed: int, period_ms: float
    ) -> None:
        """Initialize a view in which only the local instance is known.

        Args:
            number: Number of the local instance.
            process_incarnation: Its process incarnation, which increases with each start.
            peers: Numbers of all instances that may be members.
            seed: Seed of the random generator.
            period_ms: Probe period.
        """
        self.number = number
        self.period_ms = period_ms
        self.peers = sorted(set(peers) - {number})
        self.rows = {number: MemberRow(number, process_incarnation, 0, MemberStatus.ALIVE)}
        self.changes: list[MemberChange] = []  # drained by the host
        self.awareness = 0
        self.counts: Counter[str] = Counter()
        self._rng = random.Random(seed)
        self._probe_order = ProbeOrder(self._rng)
        self._probes = PendingProbes()
        self._periods = 0
        self._recovery = PartitionRecovery()
        self._suspicions: dict[int, Suspicion] = {}
        self._dissemination = Dissemination()
        self._timers = MembershipTimers()
        self._outgoing: list[tuple[int, bytes]] = []
        self._has_started = False
        self._has_left = False

    # ---- state -----------------------------------------------------------------------------------

    def status(self, number: int) -> MemberStatus | None:
        """Return a member's status; None for an unknown member."""
        row = self.rows.get(number)
        return row.status if row else None

    def alive(self) -> list[int]:
        """Return the members that are alive or suspect, the local one included."""
        return [number for number, row in self.rows.items() if row.status <= MemberStatus.SUSPECT]

    def _others_alive(self) -> list[int]:
        return [number for number in self.alive() if number != self.number]

    @property
    def next_timer_ms(self) -> float:
        """Latest time for the next call of `handle`."""
        return self._timers.next_ms

    # ---- entry points ----------------------------------------------------------------------------

    def handle(self, now_ms: float, received: Iterable[tuple[int, int, bytes]] = ()) -> list[tuple[int, bytes]]:
        """Handle messages and expired timers.

        Args:
            now_ms: Current time.
            received: Sender, its process incarnation and data of each authenticated datagram.

        Returns:
            Receiver and data of each datagram to send.
        """
        self._outgoing = []
        if not self._has_started:
            self._has_started = True
            self._dissemination.spread(self.number)
            self._timers.set(now_ms, Timer.JOIN)
            self._timers.set(now_ms + self._rng.random() * self.period_ms, Timer.PERIOD)
        for sender, process_incarnation, data in received:
            self._receive(now_ms, sender, process_incarnation, data)
        for timer, argument in self._timers.expired(now_ms):
            if not self._has_left:
                self._on_timer(now_ms, timer, argument)
        return self._outgoing

    def leave(self) -> list[tuple[int, bytes]]:
        """Leave the cluster; returns the final datagrams to send. Nothing is probed or acknowledged afterwards."""
        row = self.rows[self.number]
        left = row.with_status(MemberStatus.LEFT)
        self.rows[self.number] = left
        self._has_left = True
        self._outgoing = []
        others = self._others_alive()
        for number in self._rng.sample(others, min(len(others), retransmit_limit(len(self.rows)))):
            self._send(number, MessageKind.ROWS, rows=[left])
        return self._outgoing

    # ---- timers ----------------------------------------------------------------------------------

    def _on_timer(self, now_ms: float, timer: Timer, argument: int) -> None:
        match timer:
            case Timer.JOIN:
                self._join(now_ms)
            case Timer.PERIOD:
                self._start_period(now_ms)
            case Timer.ACK_TIMEOUT:
                self._send_indirect_pings(argument)
            case Timer.NACK:
                self._send_nack(argument)
            case Timer.PROBE_END:
                self._end_probe(now_ms, argument)
            case Timer.SUSPICION:
                self._check_suspicion(now_ms, argument)

    def _join(self, now_ms: float) -> None:
        """Request all rows from random peers until one has answered."""
        if len(self.rows) > 1 or not self.peers:
            return
        for number in self._rng.sample(self.peers, min(JOIN_SEEDS, len(self.peers))):
            self._send(number, MessageKind.JOIN, rows=[self.rows[self.number]])
        self._timers.set(now_ms + JOIN_RETRY_MS * (0.5 + self._rng.random()), Timer.JOIN)

    def _start_period(self, now_ms: float) -> None:
        """Probe the next member; an instance that considers itself slow uses a longer period."""
        self._periods += 1
        period_ms = self.period_ms * (1 + self.awareness)
        self._timers.set(now_ms + period_ms, Timer.PERIOD)
        if self._recovery.should_exchange(len(self.rows)) or self._periods % SYNC_PERIODS == 0:
            self._request_rows()
        if self._periods % DEAD_PROBE_PERIODS == 0:
            self._ping_dead_or_unknown()
        number = self._probe_order.next(self._others_alive, self._is_alive)
        if number is None:
            self._change_awareness(-1)  # or an instance without known members would probe ever less often
            return
        sequence = self._ping(Probe(number))
        self._timers.set(now_ms + ACK_TIMEOUT_FRACTION * period_ms, Timer.ACK_TIMEOUT, sequence)
        self._timers.set(now_ms + period_ms, Timer.PROBE_END, sequence)

    def _is_alive(self, number: int) -> bool:
        return self.rows[number].status <= MemberStatus.SUSPECT

    def _request_rows(self) -> None:
        """Request all rows of one member, which repairs losses of the dissemination.

        Members that have returned come first: after a healed partition, all rows of their side are different.
        """
        others = self._recovery.take_returned(self._is_alive) or self._others_alive()
        if others:
            self._send(self._rng.choice(others), MessageKind.JOIN, rows=[self.rows[self.number]])

    def _ping_dead_or_unknown(self) -> None:
        """Ping a dead or unknown member, or the sides of a healed partition would never merge."""
        dead = [number for number, row in self.rows.items() if row.status is MemberStatus.DEAD]
        unknown = [number for number in self.peers if number not in self.rows]
        if dead or unknown:
            self._ping(Probe(self._rng.choice(dead or unknown)))

    def _ping(self, probe: Probe) -> int:
        sequence = self._probes.add(probe)
        self._send(probe.number, MessageKind.PING, sequence, probe.number, self._row_to_refute(probe.number))
        return sequence

    def _row_to_refute(self, number: int) -> list[MemberRow]:
        """Return the row of a suspect or dead member, which is sent to that member so that it can refute the status."""
        row = self.rows.get(number)
        if row is None or row.status not in (MemberStatus.SUSPECT, MemberStatus.DEAD):
            return []
        return [row]

    def _send_indirect_pings(self, sequence: int) -> None:
        probe = self._probes.get(sequence)
        if probe is None or probe.acknowledged:
            return
        others = [number for number in self.alive() if number not in (self.number, probe.number)]
        for number in self._rng.sample(others, min(INDIRECT_PINGS, len(others))):
            probe.indirect_pings += 1
            self._send(number, MessageKind.INDIRECT_PING, sequence, probe.number)

    def _send_nack(self, sequence: int) -> None:
        probe = self._probes.get(sequence)
        if probe is not None and not probe.acknowledged and probe.requester is not None:
            self._send(probe.requester, MessageKind.NACK, probe.requester_sequence, probe.number)

    def _end_probe(self, now_ms: float, sequence: int) -> None:
        """Suspect a member that was probed without an acknowledgement."""
        probe = self._probes.remove(sequence)
        if probe is None:
            return
        if probe.acknowledged:
            self._change_awareness(-1)
            return
        # Missing nacks indicate that the local instance may be the one that receives nothing.
        self._change_awareness(probe.indirect_pings - probe.nacks if probe.indirect_pings else 1)
        row = self.rows.get(probe.number)
        if row is not None and row.status is MemberStatus.ALIVE:
            self.counts["suspected"] += 1
            self._merge(now_ms, row.with_status(MemberStatus.SUSPECT), self.number)

    def _check_suspicion(self, now_ms: float, number: int) -> None:
        """Declare a suspect member dead once its suspicion timeout has expired."""
        suspicion = self._suspicions.get(number)
        if suspicion is None or self.rows[number] != suspicion.row:
            return
        expires_ms = suspicion.started_ms + self._suspicion_timeout_ms(suspicion.confirmations)
        if now_ms < expires_ms:
            self._timers.set(expires_ms, Timer.SUSPICION, number)
            return
        self.counts["out"] += 1
        self._merge(now_ms, suspicion.row.with_status(MemberStatus.DEAD), self.number)

    def _suspicion_timeout_ms(self, confirmations: int) -> float:
        return suspicion_timeout_ms(self.period_ms, len(self.rows), confirmations, self.awareness)

    def _change_awareness(self, change: int) -> None:
        self.awareness = max(0, min(MAX_AWARENESS, self.awareness + change))

    # ---- messages --------------------------------------------------------------------------------

    def _receive(self, now_ms: float, sender: int, process_incarnation: int, data: bytes) -> None:
        if self._has_left or sender == self.number or not is_membership_message(data):
            return
        message = decode_message(data)
        if message is None:
            self.counts["unreadable"] += 1
            return
        known = self.rows.get(sender)
        if known is None or known.process_incarnation < process_incarnation:
            # This incarnation is authenticated by the datagram.
            self._merge(now_ms, MemberRow(sender, process_incarnation, 0, MemberStatus.ALIVE), sender)
        for row in message.rows:
            self._merge(now_ms, row, sender)
        self._dispatch(now_ms, sender, message)

    def _dispatch(self, now_ms: float, sender: int, message: MembershipMessage) -> None:
        match message.kind:
            case MessageKind.PING:
                self._send(sender, MessageKind.ACK, message.sequence, self.number, self._row_to_refute(sender))
            case MessageKind.ACK:
                self._on_ack(sender, message)
            case MessageKind.INDIRECT_PING:
                self._on_indirect_ping(now_ms, sender, message)
            case MessageKind.NACK:
                self._on_nack(message)
            case MessageKind.JOIN:
                self._send_all_rows(sender)

    def _on_ack(self, sender: int, message: MembershipMessage) -> None:
        probe = self._probes.get(message.sequence)
        if probe is None or probe.acknowledged:
            return
        if sender != probe.number and not probe.indirect_pings:
            return  # from neither the member itself nor one that pinged it indirectly
        probe.acknowledged = True
        if probe.requester is not None:
            self._send(probe.requester, MessageKind.ACK, probe.requester_sequence, probe.number)

    def _on_indirect_ping(self, now_ms: float, sender: int, message: MembershipMessage) -> None:
        if message.subject == self.number:
            return
        sequence = self._ping(Probe(message.subject, sender, message.sequence))
        timeout_ms = NACK_TIMEOUT_FRACTION * ACK_TIMEOUT_FRACTION * self.period_ms
        self._timers.set(now_ms + timeout_ms, Timer.NACK, sequence)

    def _on_nack(self, message: MembershipMessage) -> None:
        probe = self._probes.get(message.sequence)
        if probe is not None and probe.number == message.subject:
            probe.nacks = min(probe.indirect_pings, probe.nacks + 1)

    def _send_all_rows(self, receiver: int) -> None:
        for start in range(0, len(self.rows), MAX_ROWS):
            rows = list(self.rows.values())[start : start + MAX_ROWS]
            self._outgoing_message(receiver, MembershipMessage(MessageKind.ROWS, rows=tuple(rows)))

    def _merge(self, now_ms: float, row: MemberRow, sender: int) -> None:
        """Merge a member's row that `sender` reports."""
        if row.number == self.number:
            self._merge_local(row)
            return
        if row.number not in self.peers:
            return  # only configured peers may become members, whatever rows others send
        known = self.rows.get(row.number)
        self._confirm_suspicion(now_ms, row, sender)
        if not supersedes(row, known):
            return
        self.rows[row.number] = row
        self._dissemination.spread(row.number)
        self._suspicions.pop(row.number, None)
        if row.status is MemberStatus.SUSPECT:
            self._suspicions[row.number] = Suspicion(row, now_ms, {sender})
            self._timers.set(now_ms + self._suspicion_timeout_ms(0), Timer.SUSPICION, row.number)
        if known is not None and known.status is MemberStatus.DEAD and row.status is MemberStatus.ALIVE:
            dead = sum(other.status is MemberStatus.DEAD for other in self.rows.values())
            self._recovery.member_returned(row.number, dead, len(self.rows))
        if known is None or (known.process_incarnation, known.status) != (row.process_incarnation, row.status):
            self.changes.append(MemberChange(row, known))

    def _confirm_suspicion(self, now_ms: float, row: MemberRow, sender: int) -> None:
        """Shorten the suspicion timeout when another member confirms a suspicion."""
        suspicion = self._suspicions.get(row.number)
        if suspicion is None or row != suspicion.row or sender in suspicion.suspected_by:
            return
        suspicion.suspected_by.add(sender)
        if suspicion.confirmations <= MAX_CONFIRMATIONS:
            self._dissemination.spread(row.number)
            expires_ms = suspicion.started_ms + self._suspicion_timeout_ms(suspicion.confirmations)
            self._timers.set(max(now_ms, expires_ms), Timer.SUSPICION, row.number)

    def _merge_local(self, row: MemberRow) -> None:
        """Refute a suspicion or death of the local member by a greater SWIM incarnation."""
        local = self.rows[self.number]
        if row.process_incarnation != local.process_incarnation or row.status is MemberStatus.ALIVE:
            return
        # Spread again even if already refuted: the transmissions of the refutation may all have been lost on the way to
        # this sender, and the two members would consider each other dead permanently.
        self._dissemination.spread(self.number)
        if supersedes(row, local):
            self.rows[self.number] = MemberRow(
                self.number, local.process_incarnation, row.swim_incarnation + 1, MemberStatus.ALIVE
            )
            self._change_awareness(1)
            self.counts["refuted"] += 1

    def _send(
        self,
        receiver: int,
        kind: MessageKind,
        sequence: int = 0,
        subject: int = 0,
        rows: Iterable[MemberRow] = (),
    ) -> None:
        """Send a message with the given rows, followed by piggybacked rows."""
        carried = self._dissemination.piggyback(self.rows, list(rows))
        self._outgoing_message(receiver, MembershipMessage(kind, sequence, subject, tuple(carried)))

    def _outgoing_message(self, receiver: int, message: MembershipMessage) -> None:
        self.counts["sent"] += 1
        self._outgoing.append((receiver, encode_message(message)))
