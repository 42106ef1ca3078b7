"""What goes wrong in a model's day: the lines of a day's script, by the same names as on loopback.

deploy, errors, broken-answers, slow, silence, freeze-workers, kill-workers, freeze-gatekeeper, kill-gatekeeper,
datagrams, surge, partition, preempt; `logs`, `broken-roster` and `replay-datagrams` change nothing in a model
"""

from __future__ import annotations

from collections.abc import Sequence
from typing import TYPE_CHECKING, Any

from anisefront.policy.events import EndpointStatus
from anisefront.testbed.model.draws import Cause
from anisefront.testbed.model.pool import Worker
from anisefront.testbed.script import WORKER_FIGURES, Trouble

if TYPE_CHECKING:
    from anisefront.testbed.model.traces import Arrival
    from anisefront.testbed.model.world import World

WITHOUT_EFFECT = ("logs", "broken-roster", "replay-datagrams")
TOLD_MS = 150.0  # of a drain: the roster is looked at ten times a second
MOST_COPIES = 8


class Troubles:
    """The troubles of one run. It acts on the world; the world asks it about messages and surges."""

    def __init__(self, world: World, troubles: Sequence[Trouble]) -> None:
        self._world, self._planned = world, troubles
        self.lose = self.double = 0.0
        self._parted = 0
        self._surges: dict[str, float] = {}

    def plan(self) -> None:
        """Put all on the world's agenda."""
        for number, trouble in enumerate(self._planned):
            if trouble.name in WORKER_FIGURES:
                self._world.at(trouble.at_ms, self._on_figure, trouble.name, number, trouble.values)
            elif trouble.name not in WITHOUT_EFFECT:
                call = getattr(self, "_on_" + trouble.name.replace("-", "_"))
                self._world.at(trouble.at_ms, call, number, trouble.values)

    def parted(self, sender: int, receiver: int) -> bool:
        """Whether the rooms of two gatekeepers can't reach each other now."""
        zones = self._world.zones
        return self._parted > 0 and sender % len(zones) != receiver % len(zones)

    def copies(self, recorded: Arrival, index: int) -> int:
        """How many times an arrival comes in a surge of its plan."""
        times = self._surges.get(recorded.plan, 1.0)
        if times == 1.0:
            return 1
        whole = int(times)
        return min(MOST_COPIES, whole + (self._world.draws.row(Cause.REQUESTS, index)[27] < times - whole))

    def _for(self, values: dict[str, Any], call: Any, *more: object) -> None:
        self._world.at(self._world.now + values.get("for", 5000.0), call, *more)

    def _some(self, number: int, values: dict[str, Any]) -> list[Worker]:
        row = self._world.draws.row(Cause.TROUBLE, number)
        ready = [worker for worker in self._world.pool.workers.values() if worker.state is EndpointStatus.READY]
        ranked = sorted(range(len(ready)), key=lambda place: row[place % len(row)] + place // len(row))
        return [ready[place] for place in ranked[: values.get("workers", 1)]]

    @staticmethod
    def _set(workers: list[Worker], name: str, value: Any) -> None:
        for worker in workers:
            setattr(worker, name, value)

    def _on_figure(self, name: str, number: int, values: dict[str, Any]) -> None:
        figure, word, given, after = WORKER_FIGURES[name]
        workers = self._some(number, values)
        self._set(workers, figure, values.get(word, given))
        self._for(values, self._set, workers, figure, after)

    def _on_freeze_workers(self, number: int, values: dict[str, Any]) -> None:
        for worker in self._some(number, values):
            worker.frozen = True
            self._for(values, self._world.pool.thaw, worker)

    def _on_kill_workers(self, number: int, values: dict[str, Any]) -> None:
        for worker in self._some(number, values):
            self._world.pool.remove(worker.id)
        self._world.tell_fleet()

    def _on_preempt(self, number: int, values: dict[str, Any]) -> None:
        """Workers are taken away after a short notice, and cold ones come in their place after a while."""
        for place, worker in enumerate(self._some(number, values)):
            worker.state = EndpointStatus.DRAINING
            self._world.at(self._world.now + values.get("notice", 2000.0), self._retire, worker.id)
            self._world.at(self._world.now + values.get("for", 5000.0), self._cold, place)
        self._world.tell_fleet(TOLD_MS)

    def _cold(self, place: int) -> None:
        self._world.pool.add(place, self._world.now)
        self._world.tell_fleet()

    def _on_freeze_gatekeeper(self, number: int, values: dict[str, Any]) -> None:
        gate = values.get("number", 0) % len(self._world.gates)
        self._world.gates[gate].frozen = []
        self._for(values, self._world.thaw, gate)

    def _on_kill_gatekeeper(self, number: int, values: dict[str, Any]) -> None:
        gate = values.get("number", 0) % len(self._world.gates)
        self._world.stop(gate)
        back = values.get("back-after", 1500.0) + self._world.option.network.start_ms
        self._world.at(self._world.now + back, self._world.start, gate)

    def _on_datagrams(self, number: int, values: dict[str, Any]) -> None:
        self.lose, self.double = values.get("lose", 0.0), values.get("double", 0.0)
        self._for(values, self._set, [self], "lose", 0.0)
        self._for(values, self._set, [self], "double", 0.0)

    def _on_partition(self, number: int, values: dict[str, Any]) -> None:
        self._parted += 1
        self._for(values, self._heal)

    def _heal(self) -> None:
        self._parted -= 1

    def _on_surge(self, number: int, values: dict[str, Any]) -> None:
        self._surges[values["plan"]] = values.get("times", 3.0)
        self._for(values, self._surges.pop, values["plan"], None)

    def _on_deploy(self, number: int, values: dict[str, Any]) -> None:
        old = [worker for worker in self._world.pool.workers.values() if worker.state is EndpointStatus.READY]
        for place, worker in enumerate(old):
            at = self._world.now + values.get("over", 10_000.0) * place / len(old)
            self._world.at(at, self._replace, place, worker, values.get("drain", 2000.0))

    def _replace(self, place: int, old: Worker, drain_ms: float) -> None:
        old.state = EndpointStatus.DRAINING
        self._world.tell_fleet(TOLD_MS)
        self._world.pool.add(place, self._world.now)
        self._world.tell_fleet()
        self._world.at(self._world.now + drain_ms, self._retire, old.id)

    def _retire(self, name: str) -> None:
        self._world.pool.remove(name)
        self._world.tell_fleet()
