"""Discrete events: gatekeepers with the real module, their messages, the clients and the workers, from one seed.

What is drawn for a wish hangs on the wish alone (`draws.py`), so that two options meet the same world. What a client
does after a refusal depends on the option, and from there on arrivals differ; their draws stay the wish's own. Times
in milliseconds of the model; nothing here reads a clock.
"""

from __future__ import annotations

import heapq
from collections.abc import Callable, Sequence
from dataclasses import dataclass, replace

from anisefront.gateway.routing import first_gateway
from anisefront.policy.actions import CancelAttempt, Fail, Reject, SendToPeer, SetTimer, StartAttempt
from anisefront.policy.controller import Controller
from anisefront.policy.events import Arrival, AttemptEnded, AttemptResult, EndpointList, Event, PeerMessage, TimerFired
from anisefront.policy.settings import Idempotency, Settings
from anisefront.testbed.model.draws import Cause, Draws
from anisefront.testbed.model.measures import Played
from anisefront.testbed.model.pool import Job, Pool, Workers
from anisefront.testbed.model.traces import Arrival as Recorded
from anisefront.testbed.model.traces import Attempt
from anisefront.testbed.model.troubles import Troubles
from anisefront.testbed.script import Trouble

GRAIN_MS = 5.0  # wake-ups are kept to it, as the gatekeeper's ledger does
LAST_MS = 30_000.0  # after the last arrival: longer than any deadline
SOCKET_HOLDS = 250  # messages in a datagram socket of the usual size
MOST_TRIES = 4  # of one wish; each has its own columns of the wish's draws
_DOOR, _PAUSE, _LEFT, _SERVICE = 0, 4, 8, 12  # first columns of a wish's row


@dataclass(frozen=True, slots=True)
class Network:
    """What the ways take and lose. Milliseconds, one way."""

    front_ms: float = 0.5  # between a client, over its proxy, and a gatekeeper
    worker_ms: float = 1.0
    peers_ms: tuple[float, float] = (2.0, 10.0)
    lose: float = 0.0  # of messages between gatekeepers
    roster_ms: float = 500.0
    start_ms: float = 800.0  # from a gatekeeper's process being started to its first request


@dataclass(frozen=True, slots=True)
class Clients:
    """What those do that are refused."""

    retries: int = 0
    pause_ms: tuple[float, float] = (200.0, 1000.0)


@dataclass(frozen=True, slots=True)
class Option:
    """What is compared: settings as a gatekeeper has them, how many gatekeepers, the workers, the ways, the clients."""

    settings: Settings
    gateways: int = 3
    spread: int = 3
    workers: Workers = Workers()  # noqa: RUF009 - frozen
    network: Network = Network()  # noqa: RUF009 - frozen
    clients: Clients = Clients()  # noqa: RUF009 - frozen
    zones: tuple[str, ...] = ()  # gatekeepers and workers are spread over them in turn; none: all in the settings' own


class Try:
    """One request as a gatekeeper knows it."""

    __slots__ = ("at", "attempts", "due", "ended", "gate", "heard", "recorded", "tries", "wish")

    def __init__(self, recorded: Recorded, wish: int, tries: int, at: float, due: float, gate: int) -> None:
        self.recorded, self.wish, self.tries, self.at, self.due, self.gate = recorded, wish, tries, at, due, gate
        self.attempts, self.ended, self.heard = 0, False, at  # when its gatekeeper took it in


class Gate:
    """One gatekeeper: its module, and whether it runs."""

    __slots__ = ("controller", "dead", "frozen", "life", "unread", "wakes")

    def __init__(self, controller: Controller) -> None:
        self.controller, self.life, self.dead = controller, 0, False
        self.frozen: list[Event] | None = None  # what came while it stood still
        self.wakes: set[float] = set()
        self.unread = 0  # messages that came while it stood still


class World:
    """One run of one option."""

    def __init__(
        self, option: Option, arrivals: Sequence[Recorded], troubles: Sequence[Trouble] = (), seed: int = 1
    ) -> None:
        self.option, self.arrivals, self.draws, self.played = option, arrivals, Draws(seed), Played()
        self.now, self._order, self._heap = 0.0, 0, list[tuple[float, int, Callable[..., None], tuple]]()
        settings = option.settings
        self.zones = option.zones or (settings.zone,)
        self.pool = Pool(option.workers, self.zones, self.at, self._ended)
        self.troubles = Troubles(self, troubles)
        self._classes = {kind.name: kind for kind in settings.classes}
        self._plans = {plan.name: plan for plan in settings.plans}
        self._tries: dict[int, Try] = {}
        self._jobs: dict[tuple[int, int], Job] = {}
        self._counts: dict[int, int] = {}  # attempts so far, by try
        self._told = [0] * (option.gateways * option.gateways)  # messages of each pair so far
        self._serial = self._out = 0
        self._firsts: dict[str, int] = {}
        self.attempts: list[Attempt] | None = None  # a list here is given all attempts that ended
        self.lives = 0
        self.gates = [Gate(self.module(n)) for n in range(option.gateways)]

    def module(self, number: int) -> Controller:
        """A gatekeeper's module as it is when its process starts."""
        self.lives += 1
        seed = int(self.draws.row(Cause.SEEDS, self.lives)[0] * (1 << 48))
        settings = replace(
            self.option.settings,
            gateways=self.option.gateways,
            number=number,
            zone=self.zones[number % len(self.zones)],
        )
        return Controller(settings, seed)

    def run(self) -> Played:
        """Play to the end of the last request."""
        for place in range(self.option.workers.count):
            self.pool.add(place)
        for gate in range(len(self.gates)):
            self.at(0.0, self.hand, gate, self.fleet())
        self.troubles.plan()
        self.at(1000.0, self._each_second)
        arrivals, place, heap = self.arrivals, 0, self._heap
        last = (arrivals[-1].at if arrivals else 0.0) + LAST_MS
        while True:
            due = arrivals[place].at if place < len(arrivals) else float("inf")
            if heap and heap[0][0] < due:
                if heap[0][0] > last:
                    break
                self.now, _, call, values = heapq.heappop(heap)
                self.pool.now = self.now
                call(*values)
            elif place < len(arrivals):
                self.now = self.pool.now = due
                for copy in range(self.troubles.copies(arrivals[place], place)):
                    self._wish(place if copy == 0 else -place * 8 - copy, arrivals[place])
                place += 1
            else:
                break
            if place == len(arrivals) and not self._tries:
                break
        self.played.fallen = self.pool.fallen
        return self.played

    def at(self, at: float, call: Callable[..., None], *values: object) -> None:
        """Plan a call."""
        self._order += 1
        heapq.heappush(self._heap, (at, self._order, call, values))

    def _each_second(self) -> None:
        self.played.out_at[int(self.now // 1000)] = float(self._out)
        self.at(self.now + 1000.0, self._each_second)

    # ---- gatekeepers ---------------------------------------------------------------------------

    def hand(self, number: int, *events: Event) -> None:
        """Events for a gatekeeper, and what its module makes of them."""
        gate = self.gates[number]
        if gate.dead:
            return
        if gate.frozen is not None:
            if isinstance(events[0], PeerMessage):
                gate.unread += 1
                if gate.unread > SOCKET_HOLDS:
                    return  # nobody reads the socket, and it is full
            gate.frozen += events
            return
        now = self.now
        for event in events:
            if type(event) is Arrival and event.id in self._tries:
                self._tries[event.id].heard = now
        for action in gate.controller.handle(now, list(events)):
            if isinstance(action, SetTimer):
                at = -(-(now + action.delay_ms) // GRAIN_MS) * GRAIN_MS
                if at not in gate.wakes:
                    gate.wakes.add(at)
                    self.at(max(at, now + 0.01), self._wake, number, gate.life, at, action.name)
            elif isinstance(action, StartAttempt):
                self._send(number, gate, action)
            elif isinstance(action, SendToPeer):
                self._tell(number, action)
            elif isinstance(action, Reject):
                self._answer(action.id, "refused", action.reason.value)
            elif isinstance(action, Fail):
                self._answer(action.id, "failed")
            elif isinstance(action, CancelAttempt):
                job = self._jobs.get((action.id, action.attempt))
                if job is not None:
                    self.at(now, self._ended, job, AttemptResult.CANCELLED, ())

    def _wake(self, number: int, life: int, at: float, name: str) -> None:
        gate = self.gates[number]
        if gate.life == life:
            gate.wakes.discard(at)
            self.hand(number, TimerFired(name))

    def _tell(self, sender: int, action: SendToPeer) -> None:
        pair = sender * len(self.gates) + action.receiver
        self._told[pair] += 1
        network, index = self.option.network, pair << 32 | self._told[pair]
        lose, double = max(network.lose, self.troubles.lose), self.troubles.double
        if lose and self.draws.one(Cause.MESSAGES, index, 0) < lose or self.troubles.parted(sender, action.receiver):
            return
        low, high = network.peers_ms
        for copy in range(1 + (double > 0 and self.draws.one(Cause.MESSAGES, index, 1) < double)):
            delay = low + (high - low) * self.draws.one(Cause.MESSAGES, index, 2 + copy)
            self.at(self.now + delay, self.hand, action.receiver, PeerMessage(sender, action.data))

    def stop(self, number: int) -> None:
        """The process is killed: what it held is lost."""
        gate = self.gates[number]
        gate.dead, gate.life = True, gate.life + 1
        for name, each in list(self._tries.items()):
            if each.gate == number:
                self._answer(name, "lost")

    def start(self, number: int) -> None:
        """A new life with nothing but the fleet list."""
        gate = self.gates[number]
        gate.controller, gate.dead, gate.frozen, gate.wakes = self.module(number), False, None, set()
        self.hand(number, self.fleet())

    def thaw(self, number: int) -> None:
        """A gatekeeper that stood still hears all that came. Clients whose time is up have gone."""
        gate = self.gates[number]
        events, gate.frozen, gate.unread = gate.frozen or [], None, 0
        for name, each in list(self._tries.items()):
            if each.gate == number and each.due < self.now:
                self._answer(name, "none")
        if not gate.dead:
            self.hand(number, *events)

    # ---- clients -------------------------------------------------------------------------------

    def _wish(self, wish: int, recorded: Recorded) -> None:
        self.played.wish(int(recorded.at // 1000), recorded.class_name, recorded.plan, self._worth(recorded))
        self._try(wish, recorded, 0, recorded.left)

    def _first(self, customer: str) -> int:
        """The first gateway of a customer's set."""
        first = self._firsts.get(customer)
        if first is None:
            first = first_gateway(customer, self.option.settings.tag_key, len(self.gates))
            self._firsts[customer] = first
        return first

    def _try(self, wish: int, recorded: Recorded, tries: int, left: float) -> None:
        row, gates = self.draws.row(Cause.REQUESTS, abs(wish)), len(self.gates)
        first, spread = self._first(recorded.customer), min(self.option.spread, gates)
        if tries == 0 and 0 <= recorded.gateway < gates:
            number = recorded.gateway
        else:
            number = (first + int(row[_DOOR + tries] * spread)) % gates
        self._serial += 1
        name, sent = self._serial, self.now
        self._tries[name] = Try(recorded, wish, tries, sent, sent + left, number)
        if self.gates[number].dead:
            self.at(sent + self.option.network.front_ms, self._answer, name, "lost")
            return
        self.at(
            sent + self.option.network.front_ms,
            self.hand,
            number,
            Arrival(
                name,
                recorded.customer,
                recorded.class_name,
                recorded.plan,
                sent + self.option.network.front_ms + left,
                recorded.units,
                first,
                spread,
                tries > 0 or recorded.is_retry,
                recorded.copies,
            ),
        )

    def _worth(self, recorded: Recorded) -> float:
        return (
            self._classes[recorded.class_name].priority_weight
            * self._plans[recorded.plan].priority_multiplier
            * recorded.units
        )

    def _answer(self, name: int, how: str, reason: str = "") -> None:
        each = self._tries.get(name)
        if each is None or each.ended:
            return
        each.ended = True
        recorded, came = each.recorded, self.now + self.option.network.front_ms
        self.played.answered(int(recorded.at // 1000), how, reason)
        if how == "served" and came - each.at <= self._classes[recorded.class_name].latency_objective_ms:
            self.played.granted(int(recorded.at // 1000), recorded.class_name, recorded.plan, self._worth(recorded))
        elif how == "refused" and each.tries < min(self.option.clients.retries, MOST_TRIES - 1):
            row, (low, high) = self.draws.row(Cause.REQUESTS, abs(each.wish)), self.option.clients.pause_ms
            self.at(
                came + low + (high - low) * row[_PAUSE + each.tries],
                self._try,
                each.wish,
                recorded,
                each.tries + 1,
                recorded.left,
            )
        if not each.attempts:
            del self._tries[name]

    # ---- attempts ------------------------------------------------------------------------------

    def _send(self, number: int, gate: Gate, action: StartAttempt) -> None:
        each = self._tries.get(action.id)
        if each is None:
            self.hand(number, AttemptEnded(action.id, 0, action.endpoint, 0.0, AttemptResult.DISCARDED, True))
            return
        recorded, attempt = each.recorded, self._attempt(action.id)
        if attempt == 0:
            self.played.waited(int(recorded.at // 1000), self.now - each.heard)
            self.played.units[recorded.plan] = self.played.units.get(recorded.plan, 0.0) + recorded.units
        row = self.draws.row(Cause.REQUESTS, abs(each.wish))
        keyed = self._classes[recorded.class_name].idempotency is Idempotency.KEYED
        job = Job(
            number,
            gate.life,
            action.id,
            attempt,
            action.endpoint,
            self.now,
            self.now + action.timeout_ms,
            recorded.units,
            each.wish if keyed else -1,
            row[_SERVICE + (4 * each.tries + attempt) % 16],
        )
        self._jobs[action.id, attempt] = job
        each.attempts += 1
        self._out += 1
        self.at(self.now + self.option.network.worker_ms, self.pool.reach, job)
        self.at(job.allow_until, self._ended, job, AttemptResult.TIMEOUT, ())

    def _attempt(self, name: int) -> int:
        count = self._counts.get(name, 0)
        self._counts[name] = count + 1
        return count

    def _ended(self, job: Job, result: AttemptResult, load: tuple[float, ...]) -> None:
        """The first end of an attempt counts; the gatekeeper hears of it after the way back."""
        if job.over:
            return
        job.over = True
        delay = 0.0 if result in (AttemptResult.TIMEOUT, AttemptResult.CANCELLED) else self.option.network.worker_ms
        self.at(self.now + delay, self._heard, job, result, load)

    def _heard(self, job: Job, result: AttemptResult, load: tuple[float, ...]) -> None:
        self._jobs.pop((job.number, job.attempt), None)
        self._out -= 1
        each, gate = self._tries.get(job.number), self.gates[job.gate]
        if self.attempts is not None and each is not None:
            worker = self.pool.workers.get(job.server)
            self.attempts.append(
                Attempt(
                    job.sent,
                    job.server,
                    each.recorded.class_name,
                    job.units,
                    result.value,
                    self.now - job.sent,
                    worker.started if worker else 0.0,
                )
            )
        if gate.life == job.life and gate.frozen is None and result is AttemptResult.OK:
            self._answer(job.number, "served")
        if each is not None:
            each.attempts -= 1
            if each.ended and not each.attempts:
                self._tries.pop(job.number, None)
                self._counts.pop(job.number, None)
        if gate.life == job.life:
            self.hand(
                job.gate,
                AttemptEnded(
                    job.number,
                    job.attempt,
                    job.server,
                    self.now - job.sent,
                    result,
                    each is None or each.ended,
                    0.0,
                    0,
                    load,
                ),
            )

    # ---- discovery -----------------------------------------------------------------------------

    def fleet(self) -> EndpointList:
        """A complete list of now."""
        return EndpointList(self.pool.listed())

    def tell_fleet(self, after_ms: float | None = None) -> None:
        """All gatekeepers hear of the workers as they are now, after a while."""
        fleet, delay = self.fleet(), self.option.network.roster_ms if after_ms is None else after_ms
        for gate in range(len(self.gates)):
            self.at(self.now + delay, self.hand, gate, fleet)
