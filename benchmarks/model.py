"""The model's speed: requests a second on one core against the same events on `simpy`, on all cores, by size of the
fleet, the module's share, and memory. Part of `make bench-model`."""

import json
import os
import resource  # noqa: F401 - for the code of `size`
import statistics
import subprocess
import sys
import time

import numpy as np
import simpy

from anisefront.testbed.model.draws import lognormal
from anisefront.testbed.model.pool import WorkerModel
from anisefront.testbed.model.traces import Arrival
from anisefront.testbed.model.simulation import Network, Option, Simulation
from anisefront.policy.settings import DeduplicationScope, Idempotency, Plan, RequestClass, Settings

TURNS = 3
SETTINGS = Settings(
    gateways=3,
    number=0,
    zone="a",
    classes=(
        RequestClass("view", 800, 2500, 2.0, Idempotency.IDEMPOTENT),
        RequestClass(
            "order",
            1000,
            2500,
            6.0,
            Idempotency.KEYED,
            deduplication_scope=DeduplicationScope.CELL,
            deduplication_window_ms=4800,
        ),
        RequestClass("pickup", 1000, 3000, 4.0, Idempotency.NON_IDEMPOTENT),
    ),
    plans=(Plan("stall", 6, 12, over_quota_cost=1.0), Plan("market", 40, 50, priority_multiplier=2.0)),
    warm_up_ms=6000,
    slow_start_initial_factor=0.2,
    overload_multiple=2,
    overload_window_ms=2000,
    max_attempts=4,
    hedging_enabled=True,
    peer_messages_enabled=True,
    inbox_per_s=200,
    max_retry_after_ms=1000,
)


def traffic(seconds, rate, customers, seed=1):
    """Arrivals by chance; one customer in twenty is on the larger plan."""
    rng = np.random.default_rng(seed)
    count = int(seconds * rate)
    who, kinds = rng.integers(customers, size=count), rng.choice(3, size=count, p=(0.7, 0.2, 0.1))
    return [
        Arrival(
            float(at),
            f"c{n}",
            ("view", "order", "pickup")[kind],
            "market" if n % 20 == 0 else "stall",
            1.0,
            2400.0,
            -1,
            False,
            True,
        )
        for at, n, kind in zip(np.sort(rng.uniform(0, seconds * 1000, count)), who, kinds, strict=True)
    ]


class SimpySimulation(Simulation):
    """The same world whose agenda is a `simpy.Environment`."""

    def __init__(self, *values):
        self.env = simpy.Environment()
        super().__init__(*values)

    def schedule(self, at, call, *values):
        """As the world's own."""
        event = self.env.timeout(max(0.0, at - self.env.now))
        event.callbacks.append(lambda _: self._happen(call, values))

    def _happen(self, call, values):
        self.now = self.pool.now = self.env.now
        call(*values)

    def run(self):
        """As the world's own."""
        for place in range(self.option.workers.count):
            self.pool.add(place)
        for instance in range(len(self.instances)):
            self.schedule(0.0, self.deliver, instance, self.endpoint_list())
        for place, each in enumerate(self.arrivals):
            self.schedule(each.at, self._start_request, place, each)
        self.env.run(self.arrivals[-1].at + 3000.0)
        return self.metrics


def option(gateways, workers):
    """A fleet of a size."""
    return Option(SETTINGS, gateways, min(gateways, 8), WorkerModel(workers, 2, 32, 40.0, lognormal(0.4)), Network())


def timed(kind, fleet, arrivals):
    """Requests a second of one run, and the run."""
    world = kind(fleet, arrivals, (), 1)
    began = time.process_time()
    world.run()
    return len(arrivals) / (time.process_time() - began), world


def share(fleet, arrivals):
    """Of the time of a run, what the module took."""
    world, spent = Simulation(fleet, arrivals, (), 1), [0.0]
    for instance in world.instances:

        def handle(now, events, kept=instance.controller.handle):
            began = time.perf_counter()
            try:
                return kept(now, events)
            finally:
                spent[0] += time.perf_counter() - began

        instance.controller.handle = handle
    began = time.perf_counter()
    world.run()
    return spent[0] / (time.perf_counter() - began)


def size(gateways, workers, rate, seconds):
    """One fleet in a process of its own: seconds for a simulated second, and the most memory."""
    code = (
        f"from benchmarks.model import *; a = traffic({seconds}, {rate}, 4000); b = time.process_time();"
        f"Simulation(option({gateways}, {workers}), a, (), 1).run();"
        f"print(json.dumps([(time.process_time() - b) / {seconds},"
        "resource.getrusage(resource.RUSAGE_SELF).ru_maxrss / 1024]))"
    )
    return json.loads(subprocess.run([sys.executable, "-c", code], capture_output=True, text=True, check=True).stdout)


def main():
    arrivals, fleet = traffic(20, 200, 200), option(3, 20)
    rates = {"ours": [], "simpy": []}
    for _ in range(TURNS):
        rates["ours"].append(timed(Simulation, fleet, arrivals)[0])
        rates["simpy"].append(timed(SimpySimulation, fleet, arrivals)[0])
    ours, other = (statistics.median(rates[name]) for name in ("ours", "simpy"))
    print(f"requests a second on one core: {ours:.0f}; the same events on simpy {other:.0f} ({ours / other:.2f})")
    print(f"the module's share of the time: {share(fleet, arrivals):.2f}")
    cores = len(os.sched_getaffinity(0))
    code = "from benchmarks.model import *; timed(Simulation, option(3, 20), traffic(20, 200, 200))"
    began = time.perf_counter()
    many = [subprocess.Popen([sys.executable, "-c", code]) for _ in range(cores)]
    for each in many:
        each.wait()
    rate = cores * len(arrivals) / (time.perf_counter() - began)
    print(f"on {cores} processes: {rate:.0f} a second, starting up included")
    print(f"{'gatekeepers':>12} {'workers':>8} {'a second':>9} {'s for a simulated s':>20} {'MiB':>6}")
    for gateways, workers, rate in ((3, 20, 590), (30, 86, 590), (115, 86, 590), (460, 86, 590)):
        cost, memory = size(gateways, workers, rate, 10)
        print(f"{gateways:12} {workers:8} {rate:9} {cost:20.3f} {memory:6.0f}", flush=True)


if __name__ == "__main__":
    main()
