"""The ledger of one gatekeeper: requests, attempts and wake-ups between fronts, carriers and the module.

What comes waits in three lines: requests (with all that must keep its place among them), ends of attempts, and peers'
bytes. A turn takes from each in turn, in slices, until its time is up, and goes on after the loop has read its sockets.
Fleet lists go before all: what they say of drains is true already.

Everything that happens is an event for the module; everything the module says is carried out. It opens no
socket, reads no clock of its own and decides nothing: clock, timers and the way to peers are handed in.
"""

from __future__ import annotations

import heapq
from collections import Counter, deque
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Protocol

from anisefront.gateway.standing import Lag
from anisefront.policy.actions import (
    CancelAttempt,
    Fail,
    ProbeEndpoint,
    Reject,
    RejectionReason,
    SendToPeer,
    SetTimer,
    StartAttempt,
    Subscribe,
)
from anisefront.policy.controller import Controller
from anisefront.policy.events import (
    Arrival,
    AttemptEnded,
    AttemptResult,
    ClientDisconnected,
    EndpointList,
    EndpointStatus,
    Event,
    PeerMessage,
    PeersUnreachable,
    PriorAttempts,
    TimerFired,
)
from anisefront.policy.settings import Settings

GRAIN_MS = 5.0  # wake-ups are kept to this grain, so that those of one moment are one turn and not many
STANDSTILL_MS = 250.0  # a turn so late after its time means that the whole process stood still
SLICE = 16  # events of each line that the module is handed at once
TURN_MS = 4.0  # a turn begins no further slice after so long; one slice takes less than a millisecond
MOST_HEARD = 10_000  # peers' messages that wait for a turn; more are dropped
TURNED_AWAY_MS = 1000.0  # advice where no other gatekeeper can know of a request
DRY_TURNS, MOST_TURNS = 3, 20  # after a standstill wake-ups wait for so many turns without news, or so many at all


class Timers(Protocol):
    """What the ledger needs of an event loop; Twisted's reactor and `Clock` both have it."""

    def callLater(self, delay: float, call: Callable[..., None], *args: object) -> object:
        """Call after `delay` seconds."""


class Carrier(Protocol):
    """Who takes a request's attempts out and its final answer back."""

    def send(self, request: int, attempt: int, worker: str, timeout_ms: float) -> None:
        """Start an attempt. Its end must come back as `Ledger.outcome`, whatever happens."""

    def cancel(self, request: int, attempt: int) -> None:
        """Stop waiting for an attempt; its outcome is still owed."""

    def refuse(self, request: int, retry_after_ms: float, reason: RejectionReason) -> None:
        """The final answer: not done, and safe to try again."""

    def fail(self, request: int) -> None:
        """The final answer: no promise is made."""

    def stand_back(self, arrival: Arrival, identity: str) -> None:
        """Another request of that identity is in hand elsewhere, and none of this one's attempts has left: end it in
        the ledger by `leave`, and see to its client."""


class Guard(Protocol):
    """Who sees to it that another gatekeeper knows of a request before its effect begins."""

    def taken(self, entry: Entry) -> bool:
        """A request is accepted. False: its class goes on with protection only, and there is none."""

    def sending(self, request: int, attempt: int, worker: str) -> bool:
        """False: not yet; `Ledger.go` is called when it may, or `Ledger.lose`."""

    def refusing(self, request: int) -> bool:
        """False: not yet; `Ledger.answer` is called when it may be said, or `Ledger.lose`."""

    def never_executed(self, request: int, attempt: int) -> None:
        """An attempt is proved never to have run."""

    def over(self, request: int) -> None:
        """The request has ended."""


@dataclass(slots=True, eq=False)
class Attempt:
    """One attempt that is out. `parked_ms`: it waits for the guard's word, and until when it would be allowed;
    `begin_by_ms`: its effect may begin until then."""

    worker: str
    sent_ms: float
    begin_by_ms: float
    parked_ms: float | None = None


@dataclass(frozen=True, slots=True)
class Work:
    """What another gatekeeper would need to go on with a request: the carrier's kind, by what its client or proxy
    knows it within its customer ("": by nothing), and what the carrier needs, in plain values."""

    kind: str
    identity: str
    data: dict[str, object]


@dataclass(slots=True, eq=False)
class Entry:
    """One request. It stays until it has ended and none of its attempts is out."""

    arrival: Arrival
    carrier: Carrier
    came_ms: float
    attempts: int = 0
    out: dict[int, Attempt] = field(default_factory=dict)
    ended: bool = False
    lost: bool = False  # another gatekeeper has it: nothing more leaves here
    refusal: Reject | None = None  # waits for the guard's word
    work: Work | None = None


class Ledger:
    """The books of one gatekeeper around one `Controller`."""

    def __init__(
        self,
        controller: Controller,
        now_ms: Callable[[], float],
        timers: Timers,
        tell: Callable[[int, bytes], None] = lambda receiver, data: None,
        subscribe: Callable[[], None] = lambda: None,
        most_open: int = 50_000,
        on_fault: Callable[[Exception], None] | None = None,
        on_raise: Callable[[Exception], None] | None = None,
    ) -> None:
        self.controller, self.now_ms, self._timers = controller, now_ms, timers
        self._tell, self._subscribe, self.most_open, self._on_fault = tell, subscribe, most_open, on_fault
        self._on_raise = on_raise  # hears of an action that could not be carried out; none: it is raised
        self.stopped = False
        self.observer: Callable[[float, object], None] | None = None  # is shown each event and each action
        self.guard: Guard | None = None
        self.before_turn: list[Callable[[], None]] = []  # fronts that write all answers of a turn at once
        self.after_turn: list[Callable[[], None]] = []
        self.entries: dict[int, Entry] = {}
        self.servers: dict[str, EndpointStatus] = {}
        self.counts: Counter[str] = Counter()
        self.open = 0  # accepted and not ended
        self.turns_late_ms = 0.0  # how late the last turn was
        # Three lines, so that a batch of logs does not hold up the checks behind it, nor the other way round: logs
        # free slots, and starved of them checks would wait for nothing.
        self._requests, self._ends, self._peers = (deque[Event]() for _ in range(3))
        self._lists: list[Event] = []
        self.turn_ms = Lag()  # how long turns took
        self._turn_due: float | None = None
        self._wakes: list[tuple[float, str]] = []
        self._known_wakes: set[tuple[float, str]] = set()
        self._alarm_ms = float("inf")
        self._dry = self._put_off = self._seen_events = 0
        self._serial = self._came = 0
        self._turning = False

    # ---- events --------------------------------------------------------------------------------

    def accept(
        self,
        carrier: Carrier,
        customer: str,
        class_name: str,
        plan_name: str,
        deadline_at_ms: float,
        units: float = 1.0,
        first_gateway: int = 0,
        spread: int = 1,
        is_retry: bool = False,
        allows_hedging: bool = True,
        prior_attempts: PriorAttempts | None = None,
        work: Work | None = None,
    ) -> int | None:
        """Take a request in and return its number; it is owed one final answer by `due_ms`.

        None where the ledger holds as many as it may, or where another gatekeeper should know of it and none can:
        nothing was counted, and the asker says so at once. `past`: another gatekeeper had it before."""
        if self.open >= self.most_open or self.stopped:
            self.counts["turned_away"] += 1
            return None
        self._serial += 1
        arrival = Arrival(
            self._serial,
            customer,
            class_name,
            plan_name,
            deadline_at_ms,
            units,
            first_gateway,
            spread,
            is_retry,
            allows_hedging,
            prior_attempts,
        )
        entry = Entry(arrival, carrier, self.now_ms(), prior_attempts.attempts if prior_attempts else 0, work=work)
        if self.guard is not None and not self.guard.taken(entry):
            self.counts["unprotected_refused"] += 1
            return None
        self.entries[self._serial] = entry
        self.open += 1
        self.counts["accepted"] += 1
        self._post(arrival)
        return self._serial

    def outcome(
        self,
        request: int,
        attempt: int,
        result: AttemptResult,
        duration_ms: float | None = None,
        load: tuple[float, ...] = (),
        actual_units: float = 0.0,
    ) -> bool:
        """An attempt has ended. True where this ended the request: the answer is the client's.

        An attempt that is not known, or whose end was told before, changes nothing."""
        entry = self.entries.get(request)
        out = entry.out.pop(attempt, None) if entry else None
        if entry is None or out is None:
            self.counts["outcomes_unknown"] += 1
            return False
        served = result is AttemptResult.OK and not entry.ended
        if served:
            self._end(entry)
            self.counts["served"] += 1
        self.counts[f"attempts_{result.value}"] += 1
        if self.guard is not None and result.never_executed:
            self.guard.never_executed(request, attempt)
        took = self.now_ms() - out.sent_ms if duration_ms is None else duration_ms
        self._post(AttemptEnded(request, attempt, out.worker, took, result, entry.ended, actual_units, 0, load))
        if entry.lost and not entry.out and not entry.ended:
            self._fail(entry)
        self._forget(request, entry)
        return served

    def leave(self, request: int) -> None:
        """The client, or the proxy on its behalf, has left or has its answer from elsewhere."""
        entry = self.entries.get(request)
        if entry is not None and not entry.ended:
            self._end(entry)
            self.counts["left"] += 1
            self._post(ClientDisconnected(request))
            self._forget(request, entry)

    def fail_open(self) -> None:
        """At the end: whoever is still owed an answer gets the one that promises nothing."""
        for entry in list(self.entries.values()):
            if not entry.ended:
                self._fail(entry)

    # ---- what the guard says -------------------------------------------------------------------

    def go(self, request: int, attempt: int) -> None:
        """Another gatekeeper knows of this attempt now: it may leave."""
        entry = self.entries.get(request)
        out = entry.out.get(attempt) if entry is not None else None
        if out is None or out.parked_ms is None:
            return
        timeout_ms, out.parked_ms, out.sent_ms = out.parked_ms - self.now_ms(), None, self.now_ms()
        if timeout_ms <= 0 or not self.may_begin(request, attempt):  # it is decided anew
            self.outcome(request, attempt, AttemptResult.DISCARDED, 0.0)
        else:
            entry.carrier.send(request, attempt, out.worker, timeout_ms)

    def answer(self, request: int) -> None:
        """Another gatekeeper knows that this request is refused: it may be said."""
        entry = self.entries.get(request)
        if entry is not None and entry.refusal is not None and not entry.ended:
            self._refuse(entry, entry.refusal)
            self._forget(request, entry)

    def turn_away(self, request: int) -> None:
        """No other gatekeeper can know of this request, and without that its class does not run: refused, while nothing
        of it has left."""
        entry = self.entries.get(request)
        if entry is None or entry.ended or any(out.parked_ms is None for out in entry.out.values()):
            return
        self.counts["unprotected_refused"] += 1
        self._ends.append(ClientDisconnected(request))
        self._came += 1
        self._plan_turn()
        self._refuse(entry, Reject(request, TURNED_AWAY_MS, RejectionReason.CAPACITY))
        self._forget(request, entry)

    def lose(self, request: int) -> None:
        """Another gatekeeper has taken the request over. What is out may bring its answer; nothing more leaves."""
        entry = self.entries.get(request)
        if entry is None or entry.ended or entry.lost:
            return
        entry.lost = True
        self.counts["lost"] += 1
        # Danger: told of the ends below first, the module would make a further attempt for it.
        self._ends.append(ClientDisconnected(request))
        self._came += 1
        self._plan_turn()
        for attempt in [number for number, out in entry.out.items() if out.parked_ms is not None]:
            self.outcome(request, attempt, AttemptResult.DISCARDED, 0.0)
        if not entry.ended:
            if not entry.out:
                self._fail(entry)
                self._forget(request, entry)
            else:
                self._timers.callLater(
                    max(0.0, entry.arrival.deadline_at_ms - self.now_ms()) / 1000, self._too_late, request
                )

    def _too_late(self, request: int) -> None:
        """The guard of rule 1 for what the module does not see to any more."""
        entry = self.entries.get(request)
        if entry is not None and not entry.ended:
            self._fail(entry)
            self._forget(request, entry)

    def hear(self, sender: int, data: bytes) -> None:
        """Bytes from a peer that are proved to be its own."""
        self._post(PeerMessage(sender, data))

    def away(self, gatekeepers: frozenset[int]) -> None:
        """All other gatekeepers that are known to be gone."""
        self._post(PeersUnreachable(gatekeepers))

    def roster(self, fleet: EndpointList) -> None:
        """A complete fleet list."""
        if not fleet.failed:
            listed = {server.id: server.status for server in fleet.endpoints}
            self.servers = dict.fromkeys(self.servers, EndpointStatus.REMOVED) | listed
            if len(self.servers) > 4 * len(listed) + 256:  # names of the long gone are let go
                self.servers = listed
        self._post(fleet)

    def change(self, settings: Settings) -> None:
        """Other settings for what arrives from now on."""
        self._post(settings)

    def may_begin(self, request: int, attempt: int) -> bool:
        """Whether what was decided before may still leave: asked by carriers at the last moment before it does.

        Danger: meanwhile its worker may have begun to drain, its client may have gone, another gatekeeper may have
        taken it over, or the window in which its group knows a repeat may be over."""
        entry = self.entries.get(request)
        out = entry.out.get(attempt) if entry is not None else None
        return (
            out is not None
            and not entry.ended
            and not entry.lost
            and self.now_ms() <= out.begin_by_ms
            and self.servers.get(out.worker) is EndpointStatus.READY
        )

    # ---- turns ---------------------------------------------------------------------------------

    def settle(self) -> None:
        """Hand in what has come so far at once: a front that opens next finds the first list taken in."""
        if self._turn_due is not None:
            self._turn()

    def _post(self, event: Event) -> None:
        line = (
            self._lists
            if isinstance(event, EndpointList)
            else self._ends
            if isinstance(event, AttemptEnded)
            else self._peers
            if isinstance(event, PeerMessage)
            else self._requests
        )
        if line is self._peers and len(line) >= MOST_HEARD:
            self.counts["heard_dropped"] += 1  # as a message lost on its way: peers ask again
            return
        line.append(event)
        self._came += 1
        self._plan_turn()

    @property
    def waiting(self) -> int:
        """Events that no turn has taken in yet."""
        return len(self._requests) + len(self._ends) + len(self._peers) + len(self._lists)

    def _slice(self) -> list[Event]:
        """The next events, of each line as many: ends first, since they free what the requests want."""
        events, self._lists = self._lists, []
        for line in (self._ends, self._requests, self._peers):
            for _ in range(min(SLICE, len(line))):
                events.append(line.popleft())
        return events

    def _plan_turn(self) -> None:
        if self._turn_due is None and not self._turning:
            self._turn_due = self.now_ms()
            self._timers.callLater(0, self._turn)

    def _rise(self) -> None:
        self._alarm_ms = float("inf")
        self._plan_turn()

    def _turn(self) -> None:
        """Hand in what has come; afterwards carry out what the module says."""
        if self.stopped:
            return
        now = self.now_ms()
        self._turn_due = None
        late = now - min(self._next_wake(), now)
        self.turns_late_ms = late
        if late > STANDSTILL_MS and self._dry < DRY_TURNS and self._put_off < MOST_TURNS:
            # Danger: after a standstill the loop runs timers first. A module that is woken before it hears of
            # the answers that wait in our sockets fails requests that were served, and blames the servers.
            self.counts["standstills"] += self._put_off == 0
            self._dry = self._dry + 1 if self._came == self._seen_events else 0
            self._seen_events, self._put_off = self._came, self._put_off + 1
            self._turn_due = now
            self._timers.callLater(0.001, self._turn)
            return
        self._dry = self._put_off = 0
        names: set[str] = set()
        while self._wakes and self._wakes[0][0] <= now:
            wake = heapq.heappop(self._wakes)
            self._known_wakes.discard(wake)
            names.add(wake[1])
        woken = [TimerFired(name) for name in sorted(names)]
        self._turning, began = True, now
        for call in self.before_turn:
            call()
        try:
            while True:
                self._hand_in(now, self._slice() + woken)
                woken, now = [], max(now, self.now_ms())
                # Danger: a turn without end would hold up sockets and timers, and with them answers that are due.
                if self.stopped or not self.waiting or now - began >= TURN_MS:
                    break
        finally:
            self._turning = False
        self.turn_ms.take(now - began)
        for call in self.after_turn:
            call()
        if self.waiting:  # more than a turn may take, or carriers that answered at once
            self._plan_turn()
        self._set_alarm(now)

    def _hand_in(self, now: float, events: list[Event]) -> None:
        """Events for the module, and what it says, carried out."""
        if self.observer is not None:
            for event in events:
                self.observer(now, event)
        for action in self._decide(now, events):
            if self.observer is not None:
                self.observer(now, action)
            try:
                self._carry_out(now, action)
            except Exception as problem:
                if self._on_raise is None:
                    raise
                self._raised(action, problem)

    def _raised(self, action: object, problem: Exception) -> None:
        """Danger: one action that can't be carried out would take with it all that the module said behind it."""
        self.counts["raised"] += 1
        self._on_raise(problem)
        entry = self.entries.get(getattr(action, "id", None))
        if (
            entry is not None and isinstance(action, StartAttempt) and entry.out
        ):  # it may have left: its end is owed still
            self.outcome(action.id, max(entry.out), AttemptResult.ERROR)
        elif entry is not None:
            self._forget(action.id, entry)

    def _decide(self, now: float, events: list[Event]) -> list[object]:
        try:
            return self.controller.handle(now, events)
        except Exception as problem:
            if self._on_fault is None:
                raise
            # Danger: a module that raised in the middle of a turn can't be asked again, and all that it held
            # would stay unanswered. Each gets the answer that promises nothing; then the process is to end.
            self.stopped = True
            self.fail_open()
            self._on_fault(problem)
            return []

    def _next_wake(self) -> float:
        return self._wakes[0][0] if self._wakes else float("inf")

    def _set_alarm(self, now: float) -> None:
        first = self._next_wake()
        if first < self._alarm_ms:
            self._alarm_ms = first
            self._timers.callLater(max(0.0, first - now) / 1000, self._rise_at, first)

    def _rise_at(self, deadline_at_ms: float) -> None:
        if deadline_at_ms == self._alarm_ms:  # an earlier one has been set meanwhile: that one rules
            self._rise()

    # ---- actions -------------------------------------------------------------------------------

    def _carry_out(self, now: float, action: object) -> None:
        if isinstance(action, SetTimer):
            at = -(-(now + action.delay_ms) // GRAIN_MS) * GRAIN_MS
            wake = (at, action.name)
            if wake not in self._known_wakes:
                self._known_wakes.add(wake)
                heapq.heappush(self._wakes, wake)
        elif isinstance(action, StartAttempt):
            self._send(now, action)
        elif isinstance(action, SendToPeer):
            self._tell(action.receiver, action.data)
        elif isinstance(action, Reject | Fail):
            entry = self.entries.get(action.id)
            if entry is None or entry.ended or entry.lost:
                self.counts["answers_moot"] += 1
                return
            if isinstance(action, Fail):
                self._fail(entry)
            elif self.guard is None or self.guard.refusing(action.id):
                self._refuse(entry, action)
            else:
                entry.refusal = action
                self._timers.callLater(max(0.0, entry.arrival.deadline_at_ms - now) / 1000, self._too_late, action.id)
            self._forget(action.id, entry)
        elif isinstance(action, CancelAttempt):
            entry = self.entries.get(action.id)
            out = entry.out.get(action.attempt) if entry is not None and not entry.lost else None
            if out is not None and out.parked_ms is not None:
                self.outcome(action.id, action.attempt, AttemptResult.DISCARDED, 0.0)
            elif out is not None:
                entry.carrier.cancel(action.id, action.attempt)
        elif isinstance(action, Subscribe):
            self._subscribe()
        elif isinstance(action, ProbeEndpoint):
            self.counts["probes_dropped"] += 1  # settings never allow them here

    def _send(self, now: float, action: StartAttempt) -> None:
        entry = self.entries.get(action.id)
        if entry is None:
            return
        number, entry.attempts = entry.attempts, entry.attempts + 1
        entry.out[number] = Attempt(action.endpoint, now, now + action.start_within_ms)
        self.counts["attempts"] += 1
        if entry.ended or entry.lost:
            # The guard of rule 1: nothing goes out for a request that has its final answer or is another's.
            self.outcome(action.id, number, AttemptResult.DISCARDED, 0.0)
            return
        if self.guard is not None and not self.guard.sending(action.id, number, action.endpoint):
            entry.out[number].parked_ms = now + action.timeout_ms
            return
        entry.carrier.send(action.id, number, action.endpoint, action.timeout_ms)

    def _refuse(self, entry: Entry, action: Reject) -> None:
        self._end(entry)
        self.counts["refused"] += 1
        self.counts[f"refused_{action.reason.value}"] += 1
        entry.carrier.refuse(action.id, action.retry_after_ms, action.reason)

    def _fail(self, entry: Entry) -> None:
        self._end(entry)
        self.counts["failed"] += 1
        entry.carrier.fail(entry.arrival.id)

    def _end(self, entry: Entry) -> None:
        entry.ended = True
        self.open -= 1
        if self.guard is not None:
            self.guard.over(entry.arrival.id)
        for attempt in [number for number, out in entry.out.items() if out.parked_ms is not None]:
            self.outcome(entry.arrival.id, attempt, AttemptResult.DISCARDED, 0.0)  # it never left

    def _forget(self, request: int, entry: Entry) -> None:
        if entry.ended and not entry.out:
            self.entries.pop(request, None)
