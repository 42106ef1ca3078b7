"""The workers' side of the model: cores, queue, cold start, dropped repeats, load reports, and what goes wrong there.

Times in milliseconds of the model. What a worker does is what the stand-ins on loopback do (`testbed/workers.py`).
"""

from __future__ import annotations

from collections import deque
from collections.abc import Callable
from dataclasses import dataclass

from anisefront.policy.events import AttemptResult, Endpoint, EndpointStatus
from anisefront.testbed.model.draws import lognormal, quantile

NORMAL = lognormal(0.5)


@dataclass(frozen=True, slots=True)
class Workers:
    """What all workers are like."""

    count: int = 10
    cores: int = 2
    queue: int = 32
    service_ms: float = 20.0  # of one unit, on average
    shape: tuple[float, ...] = NORMAL  # quantiles of service times over their mean
    warm_up_ms: float = 10_000.0
    cold_from: float = 0.2
    fall_multiple: float = 0.0  # a cold worker that is sent more falls; 0: none does
    fall_window_ms: float = 2000.0
    cells: int = 1
    keep_ms: float = 5000.0  # how long a cell drops repeats of a key
    reports: bool = False  # of its load, with each answer


class Job:
    """One attempt on its way through a worker."""

    __slots__ = ("allow_until", "attempt", "gate", "key", "life", "number", "over", "sent", "server", "u", "units")

    def __init__(
        self,
        gate: int,
        life: int,
        number: int,
        attempt: int,
        server: str,
        sent: float,
        allow_until: float,
        units: float,
        key: int,
        u: float,
    ) -> None:
        self.gate, self.life, self.number, self.attempt, self.server = gate, life, number, attempt, server
        self.sent, self.allow_until, self.units, self.key, self.u = sent, allow_until, units, key, u
        self.over = False  # nobody waits for it any more


class Worker:
    """One worker."""

    __slots__ = (
        "broken_share",
        "busy",
        "cell",
        "error_share",
        "fallen",
        "frozen",
        "id",
        "queue",
        "silent",
        "slow",
        "started",
        "state",
        "waiting",
        "work",
        "zone",
    )

    def __init__(self, number: int, started: float, zone: str, cell: int) -> None:
        self.id, self.started, self.zone = f"10.0.{number >> 8}.{number & 255}:80", started, zone
        self.busy, self.queue, self.state, self.cell = 0, deque[Job](), EndpointStatus.READY, cell
        self.slow, self.error_share, self.silent, self.frozen, self.fallen = 1.0, 0.0, False, False, False
        self.broken_share = 0.0  # of answers that are errors though the work was done
        self.waiting: list[Callable[[], None]] = []  # what came or ended while it stood still
        self.work: deque[tuple[float, float]] = deque()


class Pool:
    """All workers. `at(time, call, *values)` plans, `ended(job, result, load)` hears how an attempt ended."""

    def __init__(
        self,
        kind: Workers,
        zones: tuple[str, ...],
        at: Callable[..., None],
        ended: Callable[[Job, AttemptResult, tuple[float, ...]], None],
    ) -> None:
        self.kind, self._zones, self._at, self._ended = kind, zones, at, ended
        self.now = 0.0  # set by the world before each call
        self.workers: dict[str, Worker] = {}
        self._made = 0
        self._keys: list[dict[int, float]] = [{} for _ in range(kind.cells)]
        self.fallen = 0

    def add(self, place: int, started: float = 0.0) -> Worker:
        """One more; `place` gives its zone and cell, `started` 0 means long ago."""
        worker = Worker(self._made, started, self._zones[place % len(self._zones)], place % self.kind.cells)
        self._made += 1
        self.workers[worker.id] = worker
        return worker

    def listed(self) -> tuple[Endpoint, ...]:
        """What a fleet list says."""
        return tuple(Endpoint(w.id, w.zone, w.cell, w.state, 1.0, w.started) for w in self.workers.values())

    def remove(self, name: str) -> None:
        """The process is gone; what it held is reset."""
        worker = self.workers.pop(name, None)
        if worker is not None:
            worker.fallen = True
            for job in worker.queue:
                self._end(job, AttemptResult.RESET)
            worker.queue.clear()

    # ---- an attempt ----------------------------------------------------------------------------

    def reach(self, job: Job) -> None:
        """An attempt has come over the network."""
        worker = self.workers.get(job.server)
        if worker is None:
            self._end(job, AttemptResult.CONNECT_FAILED)
        elif worker.frozen:
            worker.waiting.append(lambda: self._take(worker, job))
        else:
            self._take(worker, job)

    def _take(self, worker: Worker, job: Job) -> None:
        kind = self.kind
        if kind.fall_multiple and worker.started and not worker.fallen:
            self._press(worker, job.units * kind.service_ms)
        if worker.fallen or worker.silent:
            return
        if worker.error_share and job.u * 997 % 1 < worker.error_share:
            self._end(job, AttemptResult.ERROR)
        elif worker.busy + len(worker.queue) >= kind.cores + kind.queue:
            self._end(job, AttemptResult.OVERLOADED)
        else:
            worker.queue.append(job)
            self._next(worker)

    def warmth(self, worker: Worker) -> float:
        """The share of its capacity that it has by now."""
        if not worker.started:
            return 1.0
        share = self.kind.cold_from + (1 - self.kind.cold_from) * (self.now - worker.started) / self.kind.warm_up_ms
        return min(1.0, share)

    def _press(self, worker: Worker, work: float) -> None:
        kind, warmth = self.kind, self.warmth(worker)
        worker.work.append((self.now, work))
        while worker.work and self.now - worker.work[0][0] > kind.fall_window_ms:
            worker.work.popleft()
        budget = kind.fall_multiple * warmth * kind.cores * kind.fall_window_ms
        if warmth < 1 and sum(each for _, each in worker.work) > budget:
            worker.fallen, self.fallen = True, self.fallen + 1

    def _next(self, worker: Worker) -> None:
        kind = self.kind
        while worker.queue and worker.busy < kind.cores and not worker.frozen:
            job = worker.queue.popleft()
            if job.over:
                continue
            if job.key >= 0 and self._repeated(worker.cell, job.key):
                self._end(job, AttemptResult.OK)
                continue
            worker.busy += 1
            took = kind.service_ms * job.units * worker.slow * quantile(kind.shape, job.u) / self.warmth(worker)
            self._at(self.now + took, self._served, worker, job)

    def _repeated(self, cell: int, key: int) -> bool:
        keys = self._keys[cell]
        while keys and self.now - next(iter(keys.values())) > self.kind.keep_ms:
            del keys[next(iter(keys))]
        if key in keys:
            return True
        keys[key] = self.now
        return False

    def _served(self, worker: Worker, job: Job) -> None:
        if worker.frozen:
            worker.waiting.append(lambda: self._served(worker, job))
            return
        worker.busy -= 1
        if worker.id not in self.workers:
            self._end(job, AttemptResult.RESET)
            return
        self._next(worker)
        if not worker.fallen and not worker.silent:
            load = ()
            if self.kind.reports:
                load = (min(1.0, worker.busy / self.kind.cores), float(worker.busy + len(worker.queue)))
            broken = worker.broken_share and job.u * 991 % 1 < worker.broken_share
            self._ended(job, AttemptResult.ERROR if broken else AttemptResult.OK, load)

    def _end(self, job: Job, result: AttemptResult) -> None:
        self._ended(job, result, ())

    # ---- what goes wrong -----------------------------------------------------------------------

    def thaw(self, worker: Worker) -> None:
        """A worker that stood still goes on with what came meanwhile."""
        worker.frozen = False
        waiting, worker.waiting = worker.waiting, []
        for call in waiting:
            call()
        self._next(worker)
