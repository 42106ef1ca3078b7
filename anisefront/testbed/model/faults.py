"""Fault injection in the simulation: the fault lines of a day script, with the names that a loopback run uses.

deploy, errors, broken-answers, slow, silence, freeze-workers, kill-workers, freeze-gatekeeper, kill-gatekeeper,
datagrams, surge, partition, preempt; `logs`, `broken-roster` and `replay-datagrams` have no effect in the simulation
"""

from __future__ import annotations

from collections.abc import Sequence
from typing import TYPE_CHECKING, Any

from anisefront.policy.events import EndpointStatus
from anisefront.testbed.model.draws import Stream
from anisefront.testbed.model.pool import Worker
from anisefront.testbed.script import WORKER_ATTRIBUTE_FAULTS, Fault

if TYPE_CHECKING:
    from anisefront.testbed.model.simulation import Simulation
    from anisefront.testbed.model.traces import Arrival

IGNORED_FAULTS = ("logs", "broken-roster", "replay-datagrams")
DRAIN_NOTICE_MS = 150.0  # until gatekeepers see a drain: the endpoint file is polled ten times a second
MAX_COPIES = 8  # of one arrival during a surge


class FaultInjector:
    """Injects the faults of one run: it changes the simulation, which queries it about messages and surges."""

    def __init__(self, simulation: Simulation, faults: Sequence[Fault]) -> None:
        """Create an injector of `faults`; `schedule_all` schedules them."""
        self._simulation, self._planned_faults = simulation, faults
        self.loss_rate = self.duplicate_rate = 0.0
        self._active_partitions = 0
        self._surge_factors: dict[str, float] = {}

    def schedule_all(self) -> None:
        """Schedule all faults."""
        for number, fault in enumerate(self._planned_faults):
            if fault.name in WORKER_ATTRIBUTE_FAULTS:
                self._simulation.schedule(fault.at_ms, self._on_worker_attribute, fault.name, number, fault.values)
            elif fault.name not in IGNORED_FAULTS:
                call = getattr(self, "_on_" + fault.name.replace("-", "_"))
                self._simulation.schedule(fault.at_ms, call, number, fault.values)

    def partitioned(self, sender: int, receiver: int) -> bool:
        """Whether a network partition separates the zones of two gatekeepers now."""
        zones = self._simulation.zones
        return self._active_partitions > 0 and sender % len(zones) != receiver % len(zones)

    def copies(self, arrival: Arrival, index: int) -> int:
        """Return how many copies of an arrival to send, given the surges of its plan."""
        times = self._surge_factors.get(arrival.plan, 1.0)
        if times == 1.0:
            return 1
        whole = int(times)
        return min(MAX_COPIES, whole + (self._simulation.draws.row(Stream.REQUESTS, index)[27] < times - whole))

    def _schedule_end(self, values: dict[str, Any], call: Any, *more: object) -> None:
        self._simulation.schedule(self._simulation.now + values.get("for", 5000.0), call, *more)

    def _select_workers(self, number: int, values: dict[str, Any]) -> list[Worker]:
        row = self._simulation.draws.row(Stream.FAULTS, number)
        ready = [worker for worker in self._simulation.pool.workers.values() if worker.state is EndpointStatus.READY]
        ranked = sorted(range(len(ready)), key=lambda index: row[index % len(row)] + index // len(row))
        return [ready[index] for index in ranked[: values.get("workers", 1)]]

    @staticmethod
    def _set(targets: list[Any], name: str, value: Any) -> None:
        for target in targets:
            setattr(target, name, value)

    def _on_worker_attribute(self, name: str, number: int, values: dict[str, Any]) -> None:
        attribute, key, default, reset_value = WORKER_ATTRIBUTE_FAULTS[name]
        workers = self._select_workers(number, values)
        self._set(workers, attribute, values.get(key, default))
        self._schedule_end(values, self._set, workers, attribute, reset_value)

    def _on_freeze_workers(self, number: int, values: dict[str, Any]) -> None:
        for worker in self._select_workers(number, values):
            worker.frozen = True
            self._schedule_end(values, self._simulation.pool.resume, worker)

    def _on_kill_workers(self, number: int, values: dict[str, Any]) -> None:
        for worker in self._select_workers(number, values):
            self._simulation.pool.remove(worker.id)
        self._simulation.publish_endpoints()

    def _on_preempt(self, number: int, values: dict[str, Any]) -> None:
        """Remove workers after a short notice, and start cold ones in their place later."""
        for index, worker in enumerate(self._select_workers(number, values)):
            worker.state = EndpointStatus.DRAINING
            self._simulation.schedule(self._simulation.now + values.get("notice", 2000.0), self._retire, worker.id)
            self._simulation.schedule(self._simulation.now + values.get("for", 5000.0), self._start_cold_worker, index)
        self._simulation.publish_endpoints(DRAIN_NOTICE_MS)

    def _start_cold_worker(self, index: int) -> None:
        self._simulation.pool.add(index, self._simulation.now)
        self._simulation.publish_endpoints()

    def _on_freeze_gatekeeper(self, number: int, values: dict[str, Any]) -> None:
        instance = values.get("number", 0) % len(self._simulation.instances)
        self._simulation.instances[instance].frozen = []
        self._schedule_end(values, self._simulation.resume, instance)

    def _on_kill_gatekeeper(self, number: int, values: dict[str, Any]) -> None:
        instance = values.get("number", 0) % len(self._simulation.instances)
        self._simulation.kill(instance)
        delay_ms = values.get("back-after", 1500.0) + self._simulation.option.network.start_ms
        self._simulation.schedule(self._simulation.now + delay_ms, self._simulation.restart, instance)

    def _on_datagrams(self, number: int, values: dict[str, Any]) -> None:
        self.loss_rate, self.duplicate_rate = values.get("lose", 0.0), values.get("double", 0.0)
        self._schedule_end(values, self._set, [self], "loss_rate", 0.0)
        self._schedule_end(values, self._set, [self], "duplicate_rate", 0.0)

    def _on_partition(self, number: int, values: dict[str, Any]) -> None:
        self._active_partitions += 1
        self._schedule_end(values, self._heal)

    def _heal(self) -> None:
        self._active_partitions -= 1

    def _on_surge(self, number: int, values: dict[str, Any]) -> None:
        self._surge_factors[values["plan"]] = values.get("times", 3.0)
        self._schedule_end(values, self._surge_factors.pop, values["plan"], None)

    def _on_deploy(self, number: int, values: dict[str, Any]) -> None:
        old = [worker for worker in self._simulation.pool.workers.values() if worker.state is EndpointStatus.READY]
        for index, worker in enumerate(old):
            at = self._simulation.now + values.get("over", 10_000.0) * index / len(old)
            self._simulation.schedule(at, self._replace, index, worker, values.get("drain", 2000.0))

    def _replace(self, index: int, old: Worker, drain_ms: float) -> None:
        old.state = EndpointStatus.DRAINING
        self._simulation.publish_endpoints(DRAIN_NOTICE_MS)
        self._simulation.pool.add(index, self._simulation.now)
        self._simulation.publish_endpoints()
        self._simulation.schedule(self._simulation.now + drain_ms, self._retire, old.id)

    def _retire(self, worker_id: str) -> None:
        self._simulation.pool.remove(worker_id)
        self._simulation.publish_endpoints()
