"""Speed of the simulation model: requests per second against the same events on `simpy`, by cores and fleet size.

It also prints the controller's fraction of the time, and memory. Part of `make bench-model`.
"""

import json
import os
import resource  # noqa: F401 - for the code of `size`
import statistics
import subprocess
import sys
import time

import numpy as np
import simpy

from anisefront.policy.settings import DeduplicationScope, Idempotency, Plan, RequestClass, Settings
from anisefront.testbed.model.draws import lognormal
from anisefront.testbed.model.pool import WorkerModel
from anisefront.testbed.model.simulation import Network, Option, Simulation
from anisefront.testbed.model.traces import Arrival

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
    """Return random arrivals; one customer in twenty has the larger plan."""
    rng = np.random.default_rng(seed)
    count = int(seconds * rate)
    customer_numbers, classes = rng.integers(customers, size=count), rng.choice(3, size=count, p=(0.7, 0.2, 0.1))
    return [
        Arrival(
            float(at),
            f"c{n}",
            ("view", "order", "pickup")[request_class],
            "market" if n % 20 == 0 else "stall",
            1.0,
            2400.0,
            -1,
            False,
            True,
        )
        for at, n, request_class in zip(
            np.sort(rng.uniform(0, seconds * 1000, count)), customer_numbers, classes, strict=True
        )
    ]


class SimpySimulation(Simulation):
    """The same simulation with a `simpy.Environment` as its event queue."""

    def __init__(self, *values):
        self.env = simpy.Environment()
        super().__init__(*values)

    def schedule(self, at, call, *values):
        """Schedule an event, as in the base class."""
        event = self.env.timeout(max(0.0, at - self.env.now))
        event.callbacks.append(lambda _: self._happen(call, values))

    def _happen(self, call, values):
        self.now = self.pool.now = self.env.now
        call(*values)

    def run(self):
        """Run the simulation, as in the base class."""
        for place in range(self.option.workers.count):
            self.pool.add(place)
        for instance in range(len(self.instances)):
            self.schedule(0.0, self.deliver, instance, self.endpoint_list())
        for place, each in enumerate(self.arrivals):
            self.schedule(each.at, self._start_request, place, each)
        self.env.run(self.arrivals[-1].at + 3000.0)
        return self.metrics


def option(gateways, workers):
    """Return an option with this number of gateways and workers."""
    return Option(SETTINGS, gateways, min(gateways, 8), WorkerModel(workers, 2, 32, 40.0, lognormal(0.4)), Network())


def timed(simulation_class, fleet, arrivals):
    """Run one simulation and return its requests per second, and the simulation."""
    simulation = simulation_class(fleet, arrivals, (), 1)
    began = time.process_time()
    simulation.run()
    return len(arrivals) / (time.process_time() - began), simulation


def controller_fraction(fleet, arrivals):
    """Return the fraction of a run's time that the controllers take."""
    simulation, spent = Simulation(fleet, arrivals, (), 1), [0.0]
    for instance in simulation.instances:

        def handle(now, events, original=instance.controller.handle):
            """Measure one call of the original method."""
            began = time.perf_counter()
            try:
                return original(now, events)
            finally:
                spent[0] += time.perf_counter() - began

        instance.controller.handle = handle
    began = time.perf_counter()
    simulation.run()
    return spent[0] / (time.perf_counter() - began)


def size(gateways, workers, rate, seconds):
    """Simulate one fleet in a process of its own; return seconds per simulated second, and peak memory in MiB."""
    code = (
        f"from benchmarks.model import *; a = traffic({seconds}, {rate}, 4000); b = time.process_time();"
        f"Simulation(option({gateways}, {workers}), a, (), 1).run();"
        f"print(json.dumps([(time.process_time() - b) / {seconds},"
        "resource.getrusage(resource.RUSAGE_SELF).ru_maxrss / 1024]))"
    )
    return json.loads(subprocess.run([sys.executable, "-c", code], capture_output=True, text=True, check=True).stdout)


def main():
    """Print all figures."""
    arrivals, fleet = traffic(20, 200, 200), option(3, 20)
    rates = {"event queue": [], "simpy": []}
    for _ in range(TURNS):
        rates["event queue"].append(timed(Simulation, fleet, arrivals)[0])
        rates["simpy"].append(timed(SimpySimulation, fleet, arrivals)[0])
    own_rate, simpy_rate = (statistics.median(rates[name]) for name in ("event queue", "simpy"))
    print(
        f"requests a second on one core: {own_rate:.0f}; "
        f"the same events on simpy {simpy_rate:.0f} ({own_rate / simpy_rate:.2f})"
    )
    print(f"the controllers' share of the time: {controller_fraction(fleet, arrivals):.2f}")
    cores = len(os.sched_getaffinity(0))
    code = "from benchmarks.model import *; timed(Simulation, option(3, 20), traffic(20, 200, 200))"
    began = time.perf_counter()
    processes = [subprocess.Popen([sys.executable, "-c", code]) for _ in range(cores)]
    for each in processes:
        each.wait()
    rate = cores * len(arrivals) / (time.perf_counter() - began)
    print(f"on {cores} processes: {rate:.0f} a second, starting up included")
    print(f"{'gatekeepers':>12} {'workers':>8} {'a second':>9} {'s for a simulated s':>20} {'MiB':>6}")
    for gateways, workers, rate in ((3, 20, 590), (30, 86, 590), (115, 86, 590), (460, 86, 590)):
        cost, memory = size(gateways, workers, rate, 10)
        print(f"{gateways:12} {workers:8} {rate:9} {cost:20.3f} {memory:6.0f}", flush=True)


if __name__ == "__main__":
    main()
