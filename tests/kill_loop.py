"""`make kills`: gateway instances under steady load that are killed, stopped, partitioned and restarted at random.

The audit uses only what workers and clients observed.

    python tests/kill_loop.py SECONDS [SEED]
"""

import pathlib
import random
import signal
import sys
import tempfile
import threading
import time
from collections import Counter

from cluster import REPLICATION_SETTINGS, Cluster, wait_until

COUNT, CLIENTS, CLIENT_TIMEOUT_S = 5, 12, 8.0
PATHS = ("/pay", "/order", "/look")


class Client(threading.Thread):
    """Sends one request after another, each to random instances until it is served, fails or times out."""

    def __init__(self, kill_run, number):
        super().__init__(daemon=True)
        self._kill_run, self._number, self._rng = kill_run, number, random.Random(kill_run.seed * 1000 + number)
        self.outcomes = []  # (path, key, last outcome, time of it, times sent)

    def run(self):
        serial = 0
        while not self._kill_run.is_stopped:
            serial += 1
            path, key = self._rng.choice(PATHS), f"{self._number}-{serial}"
            started_s, final, tries = time.monotonic(), "disconnected", 0
            while final in ("disconnected", "refused") and time.monotonic() - started_s < CLIENT_TIMEOUT_S:
                tries += 1
                try:
                    final = self._kill_run.cluster.call(
                        self._rng.choice(list(self._kill_run.cluster.gateways.running)), path, key
                    ).final()
                except (OSError, KeyError, IndexError, AssertionError):
                    final = "disconnected"
                if final in ("disconnected", "refused"):
                    time.sleep(0.05)
            self.outcomes.append((path, key, final, time.monotonic(), tries))
            time.sleep(0.01)


class FaultInjector(threading.Thread):
    """Injects random faults. At most one instance is killed or stopped at a time, so that primary or backup remains."""

    def __init__(self, kill_run):
        super().__init__(daemon=True)
        self._kill_run, self._rng, self.counts = kill_run, random.Random(kill_run.seed), Counter()

    def run(self):
        gateways, rng = self._kill_run.cluster.gateways, self._rng
        while not self._kill_run.is_stopped:
            time.sleep(rng.uniform(0.3, 1.0))
            number, fault = rng.randrange(COUNT), rng.choice(("kill", "stop", "cut", "one way", "loss", "late"))
            self.counts[fault] += 1
            duration_s = rng.uniform(0.2, 2.5)
            if fault == "kill":
                gateways.kill(number)
                time.sleep(duration_s)
                gateways.start(number)
                wait_until(lambda number=number: gateways.running[number].state()["servers"].get("ready") == 3, 30)
            elif fault == "stop":
                gateways.signal(number, signal.SIGSTOP)
                time.sleep(duration_s)
                gateways.signal(number, signal.SIGCONT)
            else:
                relay, other_number = gateways.relay, (number + rng.randrange(1, COUNT)) % COUNT
                if fault == "cut":
                    relay.is_blocked = lambda a, b, pair={number, other_number}: {a, b} == pair
                elif fault == "one way":
                    relay.is_blocked = lambda a, b, number=number: a == number
                elif fault == "loss":
                    relay.loss_rate = relay.duplication_rate = 0.3
                else:
                    relay.delay_s = lambda a, b: rng.random() * 0.8
                time.sleep(duration_s)
                relay.is_blocked, relay.delay_s = lambda a, b: False, lambda a, b: 0.0
                relay.loss_rate = relay.duplication_rate = 0.0


class KillRun:
    """One run; `violations` holds the audit's findings, `outcome_counts` the requests by path and outcome."""

    def __init__(self, folder, seconds, seed):
        self.seed, self.is_stopped = seed, False
        self.cluster = Cluster(folder, COUNT, REPLICATION_SETTINGS, ready=True, seed=seed)
        try:
            wait_until(
                lambda: all(
                    gateway.state()["servers"].get("ready") == 3 for gateway in self.cluster.gateways.running.values()
                )
            )
            clients, self.fault_injector = [Client(self, number) for number in range(CLIENTS)], FaultInjector(self)
            for thread in (*clients, self.fault_injector):
                thread.start()
            time.sleep(seconds)
            self.is_stopped = True
            for thread in (self.fault_injector, *clients):
                thread.join(60)
            time.sleep(1.0)  # so that attempts that arrive too late are observed
            self.outcomes = [outcome for client in clients for outcome in client.outcomes]
        finally:
            self.cluster.close()
        self.outcome_counts = Counter((path, final) for path, _, final, _, _ in self.outcomes)
        self.violations = list(self._audit())

    def _audit(self):
        workers = self.cluster.workers
        for path, key, final, answered_s, tries in self.outcomes:
            executions, last_arrival_s = workers.executions[path, key], workers.last_arrival_s.get((path, key), 0.0)
            if path == "/pay" and executions > 1:
                yield f"{path} {key} was executed {executions} times ({final}, sent {tries} times)"
            if final == "served" and not executions:
                yield f"{path} {key} was served and never executed"
            if final == "refused" and path == "/pay" and executions:
                yield f"{path} {key} was refused and executed"
            if final in ("served", "failed", "refused") and path == "/pay" and last_arrival_s > answered_s + 0.2:
                yield f"{path} {key} arrived at a worker {last_arrival_s - answered_s:.2f} s too late ({final})"


def main(seconds, seed):
    started_s, violations, outcome_counts, fault_counts = time.monotonic(), [], Counter(), Counter()
    while time.monotonic() - started_s < seconds:
        with tempfile.TemporaryDirectory() as folder:
            kill_run = KillRun(pathlib.Path(folder), min(60.0, seconds), seed)
        violations += [f"seed {seed}: {violation}" for violation in kill_run.violations]
        outcome_counts, fault_counts, seed = (
            outcome_counts + kill_run.outcome_counts,
            fault_counts + kill_run.fault_injector.counts,
            seed + 1,
        )
        print(
            f"{time.monotonic() - started_s:.0f} s: {sum(outcome_counts.values())} requests, "
            f"{len(violations)} violations",
            flush=True,
        )
    print("; ".join(f"{path} {final} {count}" for (path, final), count in sorted(outcome_counts.items())))
    print("faults injected: " + ", ".join(f"{fault} {count}" for fault, count in sorted(fault_counts.items())))
    print("\n".join(violations[:20]))
    print(f"{sum(outcome_counts.values()) - len(violations)} passed, {len(violations)} failed")
    return 1 if violations else 0


if __name__ == "__main__":
    sys.exit(main(float(sys.argv[1]), int(sys.argv[2]) if len(sys.argv) > 2 else 1))
