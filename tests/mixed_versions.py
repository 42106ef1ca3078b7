"""`python tests/mixed_versions.py CHECKOUT`: instances of this version and of another checkout together, under load.

Two clusters of three: one instance of the other version among two of this, and the reverse. In each, an instance of
either version is killed while requests are in flight. Judged are: every instance sees the same members, a customer's
quota holds over all instances, every request in flight at the kill gets one final answer, and none that must not be
executed twice was. Prints a line a check; exits with 1 if one failed.
"""

import pathlib
import sys
import tempfile
import threading
import time
from collections import Counter

from cluster import REPLICATION_SETTINGS, Cluster, wait_until

RATE_PER_S = 40.0
BURST = 20.0
QUOTA_SECONDS = 5.0
MAX_OVER_QUOTA = 1.25  # times burst and rate together: the tolerance of a wide set of instances
MIN_OF_QUOTA = 0.6
IN_FLIGHT = 30  # requests to the instance that is killed
CLIENT_SECONDS = 8.0
PATHS = ("/pay", "/order", "/look")
LIMITED = f"""
quota tight rate {RATE_PER_S:g}/s burst {BURST:g}
plan tight quota tight
key tight-key customer tight plan tight"""


class Client:
    """One request that returns at other instances until it has a final answer that does not ask for a retry."""

    def __init__(self, cluster, first_instance, number):
        self.path = PATHS[number % len(PATHS)]
        self.key = f"k{number}"
        self.final = ""
        self._cluster = cluster
        self._instance = first_instance
        self._deadline_s = time.monotonic() + CLIENT_SECONDS
        self.thread = threading.Thread(target=self._run, daemon=True)
        self.thread.start()

    def _run(self):
        while time.monotonic() < self._deadline_s:
            try:
                self.final = self._cluster.call(self._instance, self.path, self.key).final()
            except (OSError, KeyError, AssertionError):
                self.final = "disconnected"
            if self.final in ("served", "failed"):
                return
            self._instance = min(self._cluster.gateways.running)
            time.sleep(0.1)


def served_of_limited_customer(cluster):
    """Return how many of a customer's requests were served while it asked all instances for far more than its quota."""
    served = Counter()
    deadline_s = time.monotonic() + QUOTA_SECONDS

    def ask(number, thread):
        count = 0
        while time.monotonic() < deadline_s:
            count += 1
            call = cluster.call(number, "/look", f"q{number}-{thread}-{count}", customer="tight-key")
            served[call.final()] += 1

    threads = [threading.Thread(target=ask, args=(number, n)) for number in cluster.gateways.running for n in range(6)]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()
    return served


def kill_with_requests_in_flight(cluster, victim):
    """Kill an instance whose attempts wait at the endpoints, and return its clients when all have ended."""
    before = cluster.gateways.running[victim].state()["counts"].get("accepted", 0)
    cluster.workers.gate.clear()
    clients = [Client(cluster, victim, number) for number in range(IN_FLIGHT)]
    wait_until(lambda: cluster.gateways.running[victim].state()["counts"].get("accepted", 0) >= before + IN_FLIGHT)
    time.sleep(0.3)
    cluster.gateways.kill(victim)
    cluster.workers.gate.set()
    for client in clients:
        client.thread.join()
    return clients


def judge(name, victim, checkouts, checks):
    """Run one cluster and add the outcome of each check, by name."""
    with tempfile.TemporaryDirectory() as folder:
        cluster = Cluster(pathlib.Path(folder), 3, REPLICATION_SETTINGS + LIMITED, ready=True, checkouts=checkouts)
        try:
            wait_until(
                lambda: all(each.state()["servers"].get("ready") == 3 for each in cluster.gateways.running.values())
            )
            checks[f"{name}: all see three members"] = True  # `Cluster` waits for it, and fails without
            served = served_of_limited_customer(cluster)
            expected = BURST + RATE_PER_S * QUOTA_SECONDS
            is_quota_kept = MIN_OF_QUOTA * expected <= served["served"] <= MAX_OVER_QUOTA * expected
            checks[f"{name}: quota {expected:.0f}, served {served['served']} of {served.total()}"] = is_quota_kept
            clients = kill_with_requests_in_flight(cluster, victim)
            outcomes = Counter((client.path, client.final) for client in clients)
            repeated = Counter(
                path for (path, _), times in cluster.workers.executions.items() if times > 1 and path != "/look"
            )
            checks[f"{name}: unsafe and keyed requests executed twice {sum(repeated.values())}"] = not repeated
            unserved = {outcome for (path, outcome) in outcomes if path in ("/order", "/look") and outcome != "served"}
            checks[f"{name}: outcomes {dict(sorted(outcomes.items()))}"] = not unserved
            taken_over = sum(each["counts"].get("taken_over", 0) for each in cluster.replication_states().values())
            checks[f"{name}: requests taken over {taken_over}"] = True
            cluster.gateways.wait_for_members(
                lambda seen: seen.get("alive") == 2 and list(seen["not_alive"]) == [str(victim)]
            )
            checks[f"{name}: the others see the same two members"] = True
        finally:
            cluster.close()


def main(checkout):
    """Run the clusters and print each check."""
    checks = {}
    for name, other_instances in (("one of the other version", (0,)), ("two of the other version", (1, 2))):
        for victim in (0, 1):
            version = "the other version" if victim in other_instances else "this version"
            judge(f"{name}, {version} killed", victim, dict.fromkeys(other_instances, checkout), checks)
    for name, passed in checks.items():
        print("passed" if passed else "FAILED", name)
    failed = sum(not passed for passed in checks.values())
    print(f"{len(checks) - failed} passed, {failed} failed")
    return 1 if failed else 0


if __name__ == "__main__":
    sys.exit(main(sys.argv[1]))
