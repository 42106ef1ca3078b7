"""Discrete events: gatekeepers with the real module, workers, messages and clients, from one seed.

Each cause of chance has a stream of its own, and what is drawn for a request hangs on the request alone, so that two
options meet the same world. Times in milliseconds of the model; nothing here reads a clock.
"""

from __future__ import annotations

import heapq
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field, replace

import numpy as np

from anisefront.lab.model.traces import Arrival as Recorded
from anisefront.policy.control import Controller
from anisefront.policy.interface import (
    Arrival,
    Cancel,
    Event,
    Fail,
    Fleet,
    Heard,
    Outcome,
    Refuse,
    Result,
    Send,
    Server,
    Settings,
    State,
    Tell,
    Wake,
    Woken,
)
from anisefront.policy.messages import tag_of

NET_MS, LOSS, PEER_MS = 1.0, 0.02, (2.0, 10.0)
ROSTER_LAG_MS = 500.0
DRAWS = 16  # service times drawn ahead for one request


@dataclass(frozen=True, slots=True)
class Workers:
    """The workers' side of a model."""

    count: int = 10
    cores: int = 2
    queue: int = 32
    service_ms: float = 20.0
    spread: float = 0.5  # of the logarithm of service times
    warm_up_ms: float = 10_000.0
    cold_from: float = 0.2


@dataclass(frozen=True, slots=True)
class Trouble:
    """One thing that goes wrong: "slow" (all workers, `size` times), "deploy" (all replaced over `length_ms`),
    "freeze" (gatekeeper number `size`), "surge" (arrivals are drawn `size` times)."""

    kind: str
    at_ms: float
    length_ms: float
    size: float = 1.0


@dataclass(frozen=True, slots=True)
class Option:
    """What is compared: settings as a gatekeeper has them, how many gatekeepers, the workers."""

    settings: Settings
    gateways: int = 3
    spread: int = 3
    workers: Workers = Workers()  # noqa: RUF009 - frozen


@dataclass(slots=True)
class Played:
    """What a run came to. `service` is worth answered within the aim over worth asked for."""

    asked: float = 0.0
    served: float = 0.0
    waits: list[float] = field(default_factory=list)
    answers: dict[str, int] = field(default_factory=dict)
    by_second: dict[int, list[float]] = field(default_factory=dict)

    def measures(self) -> dict[str, float]:
        """The figures that options are compared by."""
        windows = [sum(self.by_second.get(s, (0, 0))[i] for s in range(first, first + 10))
                   for first in sorted(self.by_second)[:-9] or [0] for i in (0, 1)]
        parts = [good / all_ for good, all_ in zip(windows[::2], windows[1::2], strict=True) if all_]
        total = max(1, sum(self.answers.values()))
        return {"service": self.served / self.asked if self.asked else 1.0,
                "worst_10_s": min(parts, default=1.0),
                "p95_wait_ms": float(np.percentile(self.waits, 95)) if self.waits else 0.0,
                "refused": self.answers.get("refused", 0) / total}


class _Worker:
    __slots__ = ("busy", "id", "queue", "started", "state", "zone")

    def __init__(self, number: int, started: float, zone: str) -> None:
        self.id, self.started, self.zone = f"10.0.{number >> 8}.{number & 255}:80", started, zone
        self.busy, self.queue, self.state = 0, deque[tuple](), State.READY


class World:
    """One run of one option."""

    def __init__(self, option: Option, arrivals: list[Recorded], troubles: tuple[Trouble, ...], seed: int) -> None:
        self._option, self._arrivals, self._troubles = option, arrivals, troubles
        streams = np.random.SeedSequence(seed).spawn(4)
        draw = [np.random.Generator(np.random.PCG64(each)) for each in streams]
        sigma = option.workers.spread
        self._service = draw[0].lognormal(-sigma * sigma / 2, sigma, (max(1, len(arrivals)), DRAWS))
        self._doors, self._net = draw[1].random(max(1, len(arrivals))), draw[2]
        self._seeds = draw[3].integers(0, 1 << 48, 1024)
        self._now, self._order, self._heap = 0.0, 0, list[tuple[float, int, Callable[..., None], tuple]]()
        self._slow, self._frozen, self._played = 1.0, dict[int, list[Event]](), Played()
        self._workers: dict[str, _Worker] = {}
        self._number = 0
        self._requests: dict[int, tuple[Recorded, int]] = {}
        self._attempts: dict[int, int] = {}
        self._ended: set[int] = set()
        self._cancelled: set[tuple[int, int]] = set()
        self._gates = [Controller(replace(option.settings, gateways=option.gateways, number=n), int(self._seeds[n]))
                       for n in range(option.gateways)]
        self._classes = {kind.name: kind for kind in option.settings.classes}
        self._plans = {plan.name: plan for plan in option.settings.plans}

    def run(self) -> Played:
        """Play to the end of the last request."""
        for _ in range(self._option.workers.count):
            self._add_worker(0.0)
        fleet = self._fleet()
        for gate in range(len(self._gates)):
            self._at(0.0, self._hand, gate, fleet)
        for index, recorded in enumerate(self._arrivals):
            self._at(recorded.at, self._arrive, index, recorded)
        for trouble in self._troubles:
            self._at(trouble.at_ms, getattr(self, "_on_" + trouble.kind), trouble)
        last = (self._arrivals[-1].at if self._arrivals else 0.0) + 30_000.0
        while self._heap and self._heap[0][0] <= last:
            self._now, _, call, values = heapq.heappop(self._heap)
            call(*values)
        return self._played

    def _at(self, at: float, call: Callable[..., None], *values: object) -> None:
        self._order += 1
        heapq.heappush(self._heap, (at, self._order, call, values))

    # ---- gatekeepers ---------------------------------------------------------------------------

    def _hand(self, gate: int, *events: Event) -> None:
        if gate in self._frozen:
            self._frozen[gate] += events
            return
        for action in self._gates[gate].handle(self._now, list(events)):
            match action:
                case Send(number, server, allow):
                    attempt = self._attempts.get(number, -1) + 1
                    self._attempts[number] = attempt
                    if attempt == 0:
                        self._played.waits.append(self._now - self._requests[number][0].at)
                    self._at(self._now + NET_MS, self._reach, gate, number, attempt, server, self._now)
                    self._at(self._now + max(0.0, allow), self._time_out, gate, number, attempt, server, self._now)
                case Wake(after, name):
                    self._at(self._now + max(0.01, after), self._hand, gate, Woken(name))
                case Tell(receiver, data):
                    if self._net.random() >= LOSS:
                        self._at(self._now + self._net.uniform(*PEER_MS), self._hand, receiver, Heard(gate, data))
                case Refuse(number):
                    self._answer(number, "refused")
                case Fail(number):
                    self._answer(number, "failed")
                case Cancel(number, attempt):
                    self._cancelled.add((number, attempt))
                    self._at(self._now, self._end, gate, number, attempt, "", self._now, Result.CANCELLED)

    def _arrive(self, index: int, recorded: Recorded) -> None:
        first, spread = tag_of(recorded.customer) % len(self._gates), min(self._option.spread, len(self._gates))
        gate = (first + int(self._doors[index] ** 2 * spread)) % len(self._gates)  # some doors are busier
        number = index + 1
        self._requests[number] = (recorded, index)
        worth = self._worth(recorded)
        self._played.asked += worth
        self._second(recorded)[1] += worth
        self._hand(gate, Arrival(number, recorded.customer, recorded.class_name, recorded.plan,
                                 self._now + recorded.left, recorded.units, first, spread))

    def _worth(self, recorded: Recorded) -> float:
        return self._classes[recorded.class_name].worth * self._plans[recorded.plan].value * recorded.units

    def _second(self, recorded: Recorded) -> list[float]:
        return self._played.by_second.setdefault(int(recorded.at // 1000), [0.0, 0.0])

    def _answer(self, number: int, how: str) -> None:
        if number in self._ended:
            return
        self._ended.add(number)
        self._played.answers[how] = self._played.answers.get(how, 0) + 1
        recorded = self._requests[number][0]
        if how == "served" and self._now - recorded.at <= self._classes[recorded.class_name].aim_ms:
            self._played.served += self._worth(recorded)
            self._second(recorded)[0] += self._worth(recorded)

    # ---- workers -------------------------------------------------------------------------------

    def _add_worker(self, started: float) -> _Worker:
        worker = _Worker(self._number, started, self._option.settings.zone)
        self._number += 1
        self._workers[worker.id] = worker
        return worker

    def _fleet(self) -> Fleet:
        return Fleet(tuple(Server(w.id, w.zone, 0, w.state, 1.0, w.started) for w in self._workers.values()))

    def _tell_fleet(self) -> None:
        fleet = self._fleet()
        for gate in range(len(self._gates)):
            self._at(self._now + ROSTER_LAG_MS, self._hand, gate, fleet)

    def _reach(self, gate: int, number: int, attempt: int, server: str, sent: float) -> None:
        worker, kind = self._workers.get(server), self._option.workers
        if worker is None:
            self._end(gate, number, attempt, server, sent, Result.CONNECT_FAILED)
        elif worker.busy + len(worker.queue) >= kind.cores + kind.queue:
            self._at(self._now + NET_MS, self._end, gate, number, attempt, server, sent, Result.FULL)
        else:
            worker.queue.append((gate, number, attempt, sent))
            self._next(worker)

    def _next(self, worker: _Worker) -> None:
        kind = self._option.workers
        while worker.queue and worker.busy < kind.cores:
            gate, number, attempt, sent = worker.queue.popleft()
            if (number, attempt) in self._cancelled:
                continue
            warmth = 1.0 if not worker.started else min(1.0, kind.cold_from + (1 - kind.cold_from) * (
                self._now - worker.started) / kind.warm_up_ms)
            recorded, index = self._requests[number]
            took = kind.service_ms * recorded.units * self._slow * self._service[index, attempt % DRAWS] / warmth
            worker.busy += 1
            self._at(self._now + took, self._served, worker, gate, number, attempt, sent)

    def _served(self, worker: _Worker, gate: int, number: int, attempt: int, sent: float) -> None:
        worker.busy -= 1
        self._next(worker)
        if worker.id in self._workers:
            self._at(self._now + NET_MS, self._end, gate, number, attempt, worker.id, sent, Result.OK)

    def _time_out(self, gate: int, number: int, attempt: int, server: str, sent: float) -> None:
        if (number, attempt) not in self._cancelled:
            self._cancelled.add((number, attempt))
            self._told(gate, number, attempt, server, sent, Result.TIMEOUT)

    def _end(self, gate: int, number: int, attempt: int, server: str, sent: float, result: Result) -> None:
        if result is not Result.CANCELLED:
            if (number, attempt) in self._cancelled:
                return
            self._cancelled.add((number, attempt))
        self._told(gate, number, attempt, server, sent, result)

    def _told(self, gate: int, number: int, attempt: int, server: str, sent: float, result: Result) -> None:
        if result is Result.OK:
            self._answer(number, "served")
        self._hand(gate, Outcome(number, attempt, server, self._now - sent, result, number in self._ended))

    # ---- troubles ------------------------------------------------------------------------------

    def _on_slow(self, trouble: Trouble) -> None:
        self._slow = trouble.size
        self._at(self._now + trouble.length_ms, setattr, self, "_slow", 1.0)

    def _on_freeze(self, trouble: Trouble) -> None:
        gate = int(trouble.size) % len(self._gates)
        self._frozen[gate] = []
        self._at(self._now + trouble.length_ms, self._thaw, gate)

    def _thaw(self, gate: int) -> None:
        self._hand(gate, *self._frozen.pop(gate))

    def _on_deploy(self, trouble: Trouble) -> None:
        old = list(self._workers)
        for number, name in enumerate(old):
            at = self._now + trouble.length_ms * number / len(old)
            self._at(at, self._replace, name)

    def _replace(self, name: str) -> None:
        self._workers[name].state = State.DRAINING
        self._add_worker(max(0.001, self._now))
        self._tell_fleet()
        self._at(self._now + 3000.0, self._retire, name)

    def _retire(self, name: str) -> None:
        self._workers.pop(name, None)
        self._tell_fleet()
