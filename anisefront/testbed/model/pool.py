"""Simulated workers: cores, queue, cold start, deduplication, load reports and worker faults.

Times are in milliseconds of simulated time. Workers behave like the test workers on loopback (`testbed/workers.py`).
"""

from __future__ import annotations

from collections import deque
from collections.abc import Callable
from dataclasses import dataclass

from anisefront.policy.events import AttemptResult, Endpoint, EndpointStatus
from anisefront.testbed.model.draws import lognormal, quantile

NORMAL = lognormal(0.5)


@dataclass(frozen=True, slots=True)
class WorkerModel:
    """Parameters shared by all workers."""

    count: int = 10
    cores: int = 2
    queue: int = 32
    service_ms: float = 20.0  # mean for one unit
    shape: tuple[float, ...] = NORMAL  # quantiles of service times, divided by their mean
    warm_up_ms: float = 10_000.0
    cold_from: float = 0.2  # fraction of the capacity that a worker starts with
    overload_multiple: float = 0.0  # a cold worker crashes above this multiple of its capacity; 0: never
    overload_window_ms: float = 2000.0
    cells: int = 1
    deduplication_window_ms: float = 5000.0  # how long the workers of a cell drop duplicates of a key
    load_reports: bool = False  # whether each response carries a load report


class Job:
    """One attempt at a worker."""

    __slots__ = (
        "attempt",
        "deadline",
        "deduplication_key",
        "finished",
        "incarnation",
        "instance",
        "request_id",
        "sent_at",
        "uniform",
        "units",
        "worker_id",
    )

    def __init__(
        self,
        instance: int,
        incarnation: int,
        request_id: int,
        attempt: int,
        worker_id: str,
        sent_at: float,
        deadline: float,
        units: float,
        deduplication_key: int,
        uniform: float,
    ) -> None:
        """Create the job of an attempt.

        `instance` and `incarnation` identify the process that sent it; a negative `deduplication_key` means none.
        `uniform` is the draw, from 0 to 1, that determines its service time and errors.
        """
        self.instance, self.incarnation, self.request_id, self.attempt, self.worker_id = (
            instance,
            incarnation,
            request_id,
            attempt,
            worker_id,
        )
        self.sent_at, self.deadline, self.units, self.deduplication_key, self.uniform = (
            sent_at,
            deadline,
            units,
            deduplication_key,
            uniform,
        )
        self.finished = False  # its result was already reported, or it was cancelled or timed out


class Worker:
    """One simulated worker."""

    __slots__ = (
        "broken_share",
        "busy_cores",
        "cell",
        "crashed",
        "deferred_calls",
        "error_share",
        "frozen",
        "id",
        "queue",
        "recent_work",
        "silent",
        "slow",
        "started",
        "state",
        "zone",
    )

    def __init__(self, number: int, started: float, zone: str, cell: int) -> None:
        """Create a ready worker; `started` 0 means that it has warmed up."""
        self.id, self.started, self.zone = f"10.0.{number >> 8}.{number & 255}:80", started, zone
        self.busy_cores, self.queue, self.state, self.cell = 0, deque[Job](), EndpointStatus.READY, cell
        self.slow, self.error_share, self.silent, self.frozen, self.crashed = 1.0, 0.0, False, False, False
        self.broken_share = 0.0  # fraction of responses that are errors although the work was done
        self.deferred_calls: list[Callable[[], None]] = []  # attempts that arrived or completed while it is frozen
        self.recent_work: deque[tuple[float, float]] = deque()


class WorkerPool:
    """All workers. `schedule(time, call, *values)` schedules a call; `on_end(job, result, load)` reports a result."""

    def __init__(
        self,
        model: WorkerModel,
        zones: tuple[str, ...],
        schedule: Callable[..., None],
        on_end: Callable[[Job, AttemptResult, tuple[float, ...]], None],
    ) -> None:
        """Create an empty pool; workers are assigned to `zones` in turn."""
        self.model, self._zones, self._schedule, self._on_end = model, zones, schedule, on_end
        self.now = 0.0  # set by the simulation before each call
        self.workers: dict[str, Worker] = {}
        self._created = 0
        self._recent_keys: list[dict[int, float]] = [{} for _ in range(model.cells)]
        self.crashed_workers = 0

    def add(self, index: int, started: float = 0.0) -> Worker:
        """Add a worker; `index` selects its zone and cell, and `started` 0 means that it has warmed up."""
        worker = Worker(self._created, started, self._zones[index % len(self._zones)], index % self.model.cells)
        self._created += 1
        self.workers[worker.id] = worker
        return worker

    def endpoints(self) -> tuple[Endpoint, ...]:
        """Return the workers as an endpoint list has them."""
        return tuple(Endpoint(w.id, w.zone, w.cell, w.state, 1.0, w.started) for w in self.workers.values())

    def remove(self, worker_id: str) -> None:
        """Remove a worker whose process has exited; its queued attempts are reset."""
        worker = self.workers.pop(worker_id, None)
        if worker is not None:
            worker.crashed = True
            for job in worker.queue:
                self._finish(job, AttemptResult.RESET)
            worker.queue.clear()

    # ---- attempts ------------------------------------------------------------------------------

    def receive(self, job: Job) -> None:
        """Receive an attempt from the network."""
        worker = self.workers.get(job.worker_id)
        if worker is None:
            self._finish(job, AttemptResult.CONNECT_FAILED)
        elif worker.frozen:
            worker.deferred_calls.append(lambda: self._accept(worker, job))
        else:
            self._accept(worker, job)

    def _accept(self, worker: Worker, job: Job) -> None:
        model = self.model
        if model.overload_multiple and worker.started and not worker.crashed:
            self._check_overload(worker, job.units * model.service_ms)
        if worker.crashed or worker.silent:
            return
        if worker.error_share and job.uniform * 997 % 1 < worker.error_share:
            self._finish(job, AttemptResult.ERROR)
        elif worker.busy_cores + len(worker.queue) >= model.cores + model.queue:
            self._finish(job, AttemptResult.OVERLOADED)
        else:
            worker.queue.append(job)
            self._start_jobs(worker)

    def warm_fraction(self, worker: Worker) -> float:
        """Return the fraction of its full capacity that a worker has now."""
        if not worker.started:
            return 1.0
        fraction = (
            self.model.cold_from + (1 - self.model.cold_from) * (self.now - worker.started) / self.model.warm_up_ms
        )
        return min(1.0, fraction)

    def _check_overload(self, worker: Worker, work_ms: float) -> None:
        model, warm_fraction = self.model, self.warm_fraction(worker)
        worker.recent_work.append((self.now, work_ms))
        while worker.recent_work and self.now - worker.recent_work[0][0] > model.overload_window_ms:
            worker.recent_work.popleft()
        budget = model.overload_multiple * warm_fraction * model.cores * model.overload_window_ms
        if warm_fraction < 1 and sum(each for _, each in worker.recent_work) > budget:
            worker.crashed, self.crashed_workers = True, self.crashed_workers + 1

    def _start_jobs(self, worker: Worker) -> None:
        model = self.model
        while worker.queue and worker.busy_cores < model.cores and not worker.frozen:
            job = worker.queue.popleft()
            if job.finished:
                continue
            if job.deduplication_key >= 0 and self._is_duplicate(worker.cell, job.deduplication_key):
                self._finish(job, AttemptResult.OK)
                continue
            worker.busy_cores += 1
            duration_ms = (
                model.service_ms
                * job.units
                * worker.slow
                * quantile(model.shape, job.uniform)
                / self.warm_fraction(worker)
            )
            self._schedule(self.now + duration_ms, self._complete, worker, job)

    def _is_duplicate(self, cell: int, deduplication_key: int) -> bool:
        keys = self._recent_keys[cell]
        while keys and self.now - next(iter(keys.values())) > self.model.deduplication_window_ms:
            del keys[next(iter(keys))]
        if deduplication_key in keys:
            return True
        keys[deduplication_key] = self.now
        return False

    def _complete(self, worker: Worker, job: Job) -> None:
        if worker.frozen:
            worker.deferred_calls.append(lambda: self._complete(worker, job))
            return
        worker.busy_cores -= 1
        if worker.id not in self.workers:
            self._finish(job, AttemptResult.RESET)
            return
        self._start_jobs(worker)
        if not worker.crashed and not worker.silent:
            load = ()
            if self.model.load_reports:
                load = (min(1.0, worker.busy_cores / self.model.cores), float(worker.busy_cores + len(worker.queue)))
            broken = worker.broken_share and job.uniform * 991 % 1 < worker.broken_share
            self._on_end(job, AttemptResult.ERROR if broken else AttemptResult.OK, load)

    def _finish(self, job: Job, result: AttemptResult) -> None:
        self._on_end(job, result, ())

    # ---- faults --------------------------------------------------------------------------------

    def resume(self, worker: Worker) -> None:
        """Resume a frozen worker with what arrived and completed meanwhile."""
        worker.frozen = False
        deferred_calls, worker.deferred_calls = worker.deferred_calls, []
        for call in deferred_calls:
            call()
        self._start_jobs(worker)
