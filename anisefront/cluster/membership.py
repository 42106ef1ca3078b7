"""Who of the fleet is there: probes, indirect probes, suspicion and its refutation. Free of I/O and of clocks.

SWIM (Das, Gupta, Motivala 2002) with Lifeguard (Dadgar, Phillips, Currey 2018) over sealed datagrams:

    every period one member is pinged, in turns through a shuffled list; no answer within a part of it -> others are
    asked to ping it; no answer by the end of the period -> suspected; not refuted in time -> out

Who answers late, hears that others could not reach it, or misses refusals of those it asked takes itself for slow,
waits longer before it accuses (`awareness`) and so does not take a fleet for dead because it was paused itself. Rows
travel on the pings and answers that go anyway, each a number of times that grows with the logarithm of the fleet; so
the messages a member sends a second do not grow with it.

`handle(now_ms, heard)` takes in datagrams and returns what to send; it is to be called again at `next_timer_ms`.
"""

from __future__ import annotations

import heapq
import math
import random
import struct
from collections import Counter
from collections.abc import Iterable
from dataclasses import dataclass
from enum import IntEnum

from anisefront.cluster.members import MOST_ROWS, Row, Status, newer, pack, unpack

MARK = 0x4D  # first byte of each message; the module's own begin with their version, a small number
_HEAD = struct.Struct(">BBIH")  # mark, kind, sequence, member it is about
# Rows on a ping or an answer, where there is news. After a cut all rows of both sides are: 200 members take 93 periods
# to agree again, 64 take 39. Danger: with as many as fit (25 and 17) a run of 850 on one machine did not come to rest:
# the rows kept its processes late, who is late is suspected, and suspicions are news.
PIGGYBACK = 8
INDIRECT = 3  # members asked to ping for us
CONFIRMERS = 3  # others whose suspicion shortens the time to refute the most
SPREAD = 3  # a row is told so many times the logarithm of the fleet
SUSPICION, SUSPICION_MOST = 4.0, 6.0  # periods times the logarithm; that many times as long while nobody else suspects
ANSWER_PART = 0.4  # of a period that an answer may take before others are asked
NACK_PART = 0.8  # of that time after which who was asked says that it heard nothing either
SLOWEST = 8  # the awareness of being slow is at most this
JOIN_MS, JOIN_SEEDS = 250.0, 3  # while nobody answers, so many are asked for all rows so often
SYNC_PERIODS, BACK_PERIODS = 30, 5  # rows are compared in full; one that is out is pinged all the same


class Kind(IntEnum):
    """What a message is."""

    PING = 1
    ANSWER = 2
    PING_FOR = 3  # please ping this member for me
    NOTHING = 4  # I did, and heard nothing in time
    JOIN = 5  # tell me all you know
    ROWS = 6  # rows alone


@dataclass(frozen=True, slots=True)
class Change:
    """A member's row is another now. `before` is None where nothing was known."""

    row: Row
    before: Row | None


@dataclass(slots=True, eq=False)
class _Probe:
    """One member that we wait for, for ourselves or (`asker`) for another."""

    number: int
    asker: int | None = None
    asked_sequence: int = 0
    answered: bool = False
    helpers: int = 0  # asked to ping for us
    nothings: int = 0  # of these that said they heard nothing: so we are heard


@dataclass(slots=True, eq=False)
class _Suspicion:
    row: Row
    began_ms: float
    by: set[int]


class Membership:
    """One gatekeeper's view. `life` is its own life's number, greater at each start; `peers` all others by number."""

    def __init__(self, number: int, life: int, peers: Iterable[int], seed: int, period_ms: float) -> None:
        self.number, self.period_ms = number, period_ms
        self.peers = sorted(set(peers) - {number})
        self.rows: dict[int, Row] = {number: Row(number, life, 0, Status.ALIVE)}
        self.changes: list[Change] = []  # for who is interested; taken out by him
        self.awareness = 0
        self.counts: Counter[str] = Counter()
        self._rng = random.Random(seed)
        self._turn: list[int] = []  # members still to be pinged in this round
        self._sequence = self._periods = 0
        self._probes: dict[int, _Probe] = {}  # by sequence
        self._suspicions: dict[int, _Suspicion] = {}
        self._told: dict[int, int] = {}  # how often each member's row has been told
        self._agenda: list[tuple[float, int, str, int]] = []
        self._serial = 0
        self._out: list[tuple[int, bytes]] = []
        self._left = False
        self._began = False

    # ---- what is known -------------------------------------------------------------------------

    def status(self, number: int) -> Status | None:
        """What is said of a member, None where nothing is known."""
        row = self.rows.get(number)
        return row.status if row else None

    def alive(self) -> list[int]:
        """The members that are alive or only suspected, ourselves included."""
        return [number for number, row in self.rows.items() if row.status <= Status.SUSPECTED]

    @property
    def next_timer_ms(self) -> float:
        """When `handle` is to be called again at the latest."""
        return self._agenda[0][0] if self._agenda else math.inf

    # ---- the turn ------------------------------------------------------------------------------

    def handle(self, now_ms: float, heard: Iterable[tuple[int, int, bytes]] = ()) -> list[tuple[int, bytes]]:
        """Take in datagrams (sender, life of the sender, data) and what is due; returns (receiver, data)."""
        self._out = []
        if not self._began:
            self._began = True
            self._told[self.number] = 0
            self._plan(now_ms, "join")
            self._plan(now_ms + self._rng.random() * self.period_ms, "period")
        for sender, life, data in heard:
            self._hear(now_ms, sender, life, data)
        while self._agenda and self._agenda[0][0] <= now_ms:
            _, _, what, number = heapq.heappop(self._agenda)
            if not self._left:
                getattr(self, f"_{what}")(now_ms, number)
        return self._out

    def leave(self) -> list[tuple[int, bytes]]:
        """We go on purpose: the last that is sent. Nothing is probed or answered after it."""
        row = self.rows[self.number]
        self.rows[self.number] = Row(self.number, row.life, row.incarnation, Status.LEFT)
        self._left, self._out = True, []
        others = [number for number in self.alive() if number != self.number]
        for number in self._rng.sample(others, min(len(others), SPREAD * self._log())):
            self._send(number, Kind.ROWS, 0, 0, [self.rows[self.number]])
        return self._out

    def _plan(self, at_ms: float, what: str, number: int = -1) -> None:
        self._serial += 1
        heapq.heappush(self._agenda, (at_ms, self._serial, what, number))

    def _log(self) -> int:
        return max(1, math.ceil(math.log2(len(self.rows) + 1)))

    # ---- what is due ---------------------------------------------------------------------------

    def _join(self, now: float, _: int) -> None:
        """Nobody has answered yet: ask some for all they know."""
        if len(self.rows) == 1 and self.peers:
            for number in self._rng.sample(self.peers, min(JOIN_SEEDS, len(self.peers))):
                self._send(number, Kind.JOIN, 0, 0, [self.rows[self.number]])
            self._plan(now + JOIN_MS * (0.5 + self._rng.random()), "join")

    def _period(self, now: float, _: int) -> None:
        """Ping the next member. Who takes itself for slow does so less often and waits longer."""
        self._periods += 1
        length = self.period_ms * (1 + self.awareness)
        self._plan(now + length, "period")
        if self._periods % SYNC_PERIODS == 0:
            others = [number for number in self.alive() if number != self.number]
            if others:
                self._send(self._rng.choice(others), Kind.JOIN, 0, 0, [self.rows[self.number]])
        if self._periods % BACK_PERIODS == 0:
            # One that is out may only have been cut off: whoever never asks it again splits the fleet for good.
            out = [number for number, row in self.rows.items() if row.status is Status.OUT]
            unknown = [number for number in self.peers if number not in self.rows]
            if out or unknown:
                self._ping(self._rng.choice(out or unknown))
        number = self._next()
        if number is None:
            self._aware(-1)  # nobody to accuse: who is alone must not ask ever more seldom
        else:
            probe = self._ping(number)
            self._plan(now + ANSWER_PART * length, "unanswered", probe)
            self._plan(now + length, "verdict", probe)

    def _next(self) -> int | None:
        """Each member comes once a round, in an order of chance: so the time to know of a death has a bound."""
        while True:
            if not self._turn:
                self._turn = [number for number in self.alive() if number != self.number]
                self._rng.shuffle(self._turn)
                if not self._turn:
                    return None
            number = self._turn.pop()
            if self.rows[number].status <= Status.SUSPECTED:
                return number

    def _ping(self, number: int, asker: int | None = None, asked_sequence: int = 0) -> int:
        self._sequence = self._sequence % 0xFFFFFFFF + 1
        self._probes[self._sequence] = _Probe(number, asker, asked_sequence)
        if len(self._probes) > 256:  # pings for others and of those that are out, which nobody waits for
            del self._probes[next(iter(self._probes))]
        self._send(number, Kind.PING, self._sequence, number, self._doubt(number))
        return self._sequence

    def _doubt(self, number: int) -> list[Row]:
        """The row of a member that we doubt, for itself: so that it can refute."""
        row = self.rows.get(number)
        return [row] if row is not None and row.status in (Status.SUSPECTED, Status.OUT) else []

    def _unanswered(self, now: float, sequence: int) -> None:
        probe = self._probes.get(sequence)
        if probe is None or probe.answered:
            return
        others = [number for number in self.alive() if number not in (self.number, probe.number)]
        for number in self._rng.sample(others, min(INDIRECT, len(others))):
            probe.helpers += 1
            self._send(number, Kind.PING_FOR, sequence, probe.number, [])

    def _nothing(self, now: float, sequence: int) -> None:
        probe = self._probes.get(sequence)
        if probe is not None and not probe.answered and probe.asker is not None:
            self._send(probe.asker, Kind.NOTHING, probe.asked_sequence, probe.number, [])

    def _verdict(self, now: float, sequence: int) -> None:
        probe = self._probes.pop(sequence, None)
        if probe is None:
            return
        if probe.answered:
            self._aware(-1)
            return
        # Those asked who do not even say that they heard nothing: perhaps it is we who do not hear.
        self._aware(1 if not probe.helpers else probe.helpers - probe.nothings)
        row = self.rows.get(probe.number)
        if row is not None and row.status is Status.ALIVE:
            self.counts["suspected"] += 1
            self._take(now, Row(row.number, row.life, row.incarnation, Status.SUSPECTED), self.number)

    def _suspicion(self, now: float, number: int) -> None:
        held = self._suspicions.get(number)
        if held is None or self.rows[number] != held.row:
            return
        over = held.began_ms + self._patience(len(held.by) - 1)
        if now < over:
            self._plan(over, "suspicion", number)
            return
        row = held.row
        self.counts["out"] += 1
        self._take(now, Row(number, row.life, row.incarnation, Status.OUT), self.number)

    def _patience(self, confirmers: int) -> float:
        """How long a suspicion may be refuted: the longer, the fewer others share it and the slower we are."""
        least = SUSPICION * max(1.0, math.log10(max(2, len(self.rows)))) * self.period_ms
        most = SUSPICION_MOST * least
        part = min(1.0, math.log(confirmers + 1) / math.log(CONFIRMERS + 1))
        alone = len(self.rows) <= 2  # nobody else could share it
        return (least if alone else most - (most - least) * part) * (1 + self.awareness / SLOWEST)

    def _aware(self, change: int) -> None:
        self.awareness = max(0, min(SLOWEST, self.awareness + change))

    # ---- what is heard -------------------------------------------------------------------------

    def _hear(self, now: float, sender: int, life: int, data: bytes) -> None:
        if self._left or len(data) < _HEAD.size or data[0] != MARK or sender == self.number:
            return
        _, kind, sequence, about = _HEAD.unpack_from(data)
        rows = unpack(data[_HEAD.size :])
        if rows is None or kind not in Kind._value2member_map_:
            self.counts["unreadable"] += 1
            return
        known = self.rows.get(sender)
        if known is None or known.life < life:
            self._take(now, Row(sender, life, 0, Status.ALIVE), sender)  # its seal proves this life
        for row in rows:
            self._take(now, row, sender)
        if kind == Kind.PING:
            self._send(sender, Kind.ANSWER, sequence, self.number, self._doubt(sender))
        elif kind == Kind.ANSWER:
            self._answered(sequence, sender)
        elif kind == Kind.PING_FOR and about != self.number:
            mine = self._ping(about, sender, sequence)
            self._plan(now + NACK_PART * ANSWER_PART * self.period_ms, "nothing", mine)
        elif kind == Kind.NOTHING:
            probe = self._probes.get(sequence)
            if probe is not None and probe.number == about:
                probe.nothings = min(probe.helpers, probe.nothings + 1)
        elif kind == Kind.JOIN:
            for at in range(0, len(self.rows), MOST_ROWS):
                self._send(sender, Kind.ROWS, 0, 0, list(self.rows.values())[at : at + MOST_ROWS], bare=True)

    def _answered(self, sequence: int, sender: int) -> None:
        probe = self._probes.get(sequence)
        if probe is None or probe.answered:
            return
        if sender == probe.number or probe.helpers:  # itself, or one of those we asked on its behalf
            probe.answered = True
            if probe.asker is not None:
                self._send(probe.asker, Kind.ANSWER, probe.asked_sequence, probe.number, [])

    def _take(self, now: float, row: Row, sender: int) -> None:
        """Another row of a member, said by `sender`."""
        if row.number == self.number:
            self._about_us(row)
            return
        if row.number not in self.peers:
            return  # settings name who may be in the fleet: what others say can't make it grow
        known = self.rows.get(row.number)
        held = self._suspicions.get(row.number)
        if held is not None and row == held.row and sender not in held.by:
            held.by.add(sender)  # one more who could not reach it: less time to refute
            if len(held.by) <= CONFIRMERS + 1:
                self._told[row.number] = 0
                self._plan(max(now, held.began_ms + self._patience(len(held.by) - 1)), "suspicion", row.number)
        if not newer(row, known):
            return
        self.rows[row.number] = row
        self._told[row.number] = 0
        self._suspicions.pop(row.number, None)
        if row.status is Status.SUSPECTED:
            self._suspicions[row.number] = _Suspicion(row, now, {sender})
            self._plan(now + self._patience(0), "suspicion", row.number)
        if known is None or (known.life, known.status) != (row.life, row.status):
            self.changes.append(Change(row, known))

    def _about_us(self, row: Row) -> None:
        """What others say of us. We are here, so a greater incarnation says so; and perhaps we were slow."""
        mine = self.rows[self.number]
        if row.life != mine.life or row.status is Status.ALIVE:
            return
        # Danger: a refutation that was told often enough and lost each time on its way to this one would never be
        # told it again, and both would take each other for out for good (found by seed 583 of the search).
        self._told[self.number] = 0
        if newer(row, mine):
            self.rows[self.number] = Row(self.number, mine.life, row.incarnation + 1, Status.ALIVE)
            self._aware(1)
            self.counts["refuted"] += 1

    # ---- what is said --------------------------------------------------------------------------

    def _send(self, receiver: int, kind: Kind, sequence: int, about: int, first: list[Row], bare: bool = False) -> None:
        """One message; what is news goes along, that which was told least often first."""
        rows = list(first)
        if not bare:
            most, named = SPREAD * self._log(), {row.number for row in first}
            for number in heapq.nsmallest(PIGGYBACK, self._told, key=lambda each: (self._told[each], each)):
                if len(rows) >= PIGGYBACK:
                    break
                if number not in named:
                    rows.append(self.rows[number])
                    self._told[number] += 1
                    if self._told[number] >= most:
                        del self._told[number]
        self.counts["sent"] += 1
        self._out.append((receiver, _HEAD.pack(MARK, kind, sequence, about) + pack(rows)))
