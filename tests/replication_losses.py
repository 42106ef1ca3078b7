"""`make losses`: repeatedly kill an instance with requests in flight, with backups and without.

Clients retry at random instances until their time is up. Prints, by class and by state at the kill, how many requests
were served, how many unsafe ones were executed twice, and the time from the kill to the next unsafe attempt. Before
that, it measures the cost of replication where nothing is lost.
"""

import contextlib
import json
import pathlib
import random
import socket
import statistics
import sys
import tempfile
import threading
import time
from collections import Counter

from kill_under_load import kill_gateway_under_load
from cluster import REPLICATION_SETTINGS, Cluster, wait_until

INSTANCES, REQUESTS, PATHS = 6, 120, ("/pay", "/order", "/look")
CLIENT_TIMEOUT_S, CALLS_PER_CONNECTION = 8.0, 250
VARIANTS = (("backups", REPLICATION_SETTINGS), ("none", REPLICATION_SETTINGS.replace("keepers lease 600ms\n", "")))


class Client:
    """One request of one client, sent until it is served or fails."""

    def __init__(self, cluster, rng, number):
        self.path, self.key, self.final, self.send_count = PATHS[number % 3], f"k{number}", "", 0
        self._cluster, self._rng, self._started_s = cluster, rng, time.monotonic()
        self.thread = threading.Thread(target=self._run, daemon=True)
        self.thread.start()

    def _run(self):
        instance = 0
        while time.monotonic() - self._started_s < CLIENT_TIMEOUT_S:
            self.send_count += 1
            try:
                self.final = self._cluster.call(instance, self.path, self.key).final()
            except (OSError, KeyError, AssertionError):
                self.final = "disconnected"
            if self.final in ("served", "failed"):
                return
            instance = self._rng.choice([n for n in self._cluster.gateways.running if n])
            time.sleep(0.1)


def run_round(seed, settings):
    """Run one round.

    Return counts by path, state at the kill and whether it was served; the number of unsafe requests executed twice;
    and the seconds from the kill to the next unsafe attempt.
    """
    rng = random.Random(seed)
    with tempfile.TemporaryDirectory() as folder:
        cluster = Cluster(pathlib.Path(folder), INSTANCES, settings, ready=True, seed=seed)
        try:
            wait_until(
                lambda: all(each.state()["servers"].get("ready") == 3 for each in cluster.gateways.running.values())
            )
            cluster.workers.gate.clear()  # so that attempts stay in flight, and the rest is queued for a free slot
            clients = [Client(cluster, rng, number) for number in range(REQUESTS)]
            wait_until(lambda: cluster.gateways.running[0].state()["counts"].get("accepted", 0) == REQUESTS)
            time.sleep(0.3)
            in_flight = set(cluster.workers.arrivals)
            cluster.gateways.kill(0)
            killed_s = time.monotonic()
            cluster.workers.gate.set()
            first_after_s = None
            while any(client.thread.is_alive() for client in clients):
                if first_after_s is None and any(
                    path == "/pay" and (path, key) not in in_flight for path, key in cluster.workers.arrivals
                ):
                    first_after_s = time.monotonic() - killed_s
                time.sleep(0.005)
            served = Counter()
            for client in clients:
                state = "in flight" if (client.path, client.key) in in_flight else "queued"
                served[client.path, state, client.final == "served"] += 1
            executed_twice = sum(times > 1 for (path, _), times in cluster.workers.executions.items() if path == "/pay")
            return served, executed_twice, first_after_s
        finally:
            cluster.close()


def call_repeatedly(address, path, count, key_prefix, latencies):
    """Make calls one after another on one connection; append their latencies."""
    with socket.create_connection(address.split(":"), 10) as connection:
        responses = connection.makefile()
        for number in range(count):
            params = {
                "method": "GET" if path == "/look" else "POST",
                "path": path,
                "headers": {"x-api-key": "stall-7", "x-idempotency-key": f"{key_prefix}-{number}"},
            }
            started_s = time.monotonic()
            connection.sendall(
                json.dumps({"jsonrpc": "2.0", "id": 1, "method": "call", "params": params}).encode() + b"\n"
            )
            assert "result" in json.loads(responses.readline())
            latencies.append(time.monotonic() - started_s)


def measure(cluster, path):
    """Return calls per second over eight connections to one instance, and the median and p99 latency in ms."""
    latencies, address = [], cluster.gateways.running[0].where["jsonrpc"]
    threads = [
        threading.Thread(
            target=call_repeatedly, args=(address, path, CALLS_PER_CONNECTION, f"{path}{n}{time.time()}", latencies)
        )
        for n in range(8)
    ]
    started_s = time.monotonic()
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()
    latencies.sort()
    return (
        len(latencies) / (time.monotonic() - started_s),
        latencies[len(latencies) // 2] * 1000,
        latencies[-len(latencies) // 100] * 1000,
    )


def compare_costs():
    """Measure calls with and without backups, alternating in one run."""
    with contextlib.ExitStack() as stack:
        clusters = {}
        for name, settings in VARIANTS:
            folder = stack.enter_context(tempfile.TemporaryDirectory())
            clusters[name] = Cluster(pathlib.Path(folder), 4, settings, ready=True)
            stack.callback(clusters[name].close)
        time.sleep(1.0)  # the endpoint list is read
        for path in PATHS:
            results = {name: [] for name, _ in VARIANTS}
            for _ in range(3):
                for name in results:
                    results[name].append(measure(clusters[name], path))
            on, off = (sorted(results[name])[1] for name in ("backups", "none"))
            print(
                f"cost {path}: {on[0]:.0f} calls a second with backups, {off[0]:.0f} without ({on[0] / off[0]:.2f}); "
                f"p50 {on[1]:.1f} and {off[1]:.1f} ms, p99 {on[2]:.1f} and {off[2]:.1f} ms",
                flush=True,
            )


def kill_with_many_in_flight():
    """Kill an instance with 2,000 requests in flight; print outcomes, and the latency of steady clients."""
    with tempfile.TemporaryDirectory() as folder:
        results = kill_gateway_under_load(pathlib.Path(folder), 2000, REPLICATION_SETTINGS)
    outcomes = ", ".join(f"{' '.join(each)} {count}" for each, count in sorted(results["outcomes"].items()))
    before, after = (
        f"{latencies[len(latencies) // 2]:.0f} and {latencies[int(len(latencies) * 0.95)]:.0f} ms"
        for latencies in results["steady_latencies_ms"]
    )
    print(
        f"2,000 in flight: {outcomes}; taken over {results['taken_over']}, unsafe executed twice "
        f"{results['executed_twice']}; steady clients served "
        f"{results['steady_outcomes']['served']} of {sum(results['steady_outcomes'].values())}, p50 and p95 "
        f"{before} before the kill, {after} after",
        flush=True,
    )


def main(rounds):
    """Run all measurements; return 1 if an unsafe request was executed twice with backups."""
    failures = 0
    compare_costs()
    kill_with_many_in_flight()
    for name, settings in VARIANTS:
        results = [run_round(seed, settings) for seed in range(rounds)]
        totals = sum((result[0] for result in results), Counter())
        served_texts = [
            f"{path} {state} {totals[path, state, True]} of {totals[path, state, True] + totals[path, state, False]}"
            for path in PATHS
            for state in ("queued", "in flight")
        ]
        executed_twice, delays_s = (
            sum(result[1] for result in results),
            sorted(result[2] for result in results if result[2] is not None),
        )
        if name == "backups":
            failures = executed_twice
        print(
            f"{name}: served {', '.join(served_texts)}; unsafe executed twice {executed_twice}; "
            f"next unsafe attempt after {statistics.median(delays_s):.2f} s (most {delays_s[-1]:.2f})",
            flush=True,
        )
    print(f"{rounds - min(rounds, failures)} passed, {min(rounds, failures)} failed")
    return 1 if failures else 0


if __name__ == "__main__":
    sys.exit(main(int(sys.argv[1])))
