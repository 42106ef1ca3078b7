"""Load on a gateway instance that is killed with many requests in flight, and steady load on the other instances."""

import json
import random
import socket
import threading
import time
from collections import Counter

from cluster import Cluster, wait_until

PATHS = ("/pay", "/order", "/look")
CONNECTIONS = 6  # of clients; an instance takes at most 1,024 pending calls on each
CLIENT_TIMEOUT_S = 8.0


def request_line(number, path, key):
    """Return the JSON-RPC call of one request as a line."""
    params = {
        "method": "GET" if path == "/look" else "POST",
        "path": path,
        "body": "",
        "headers": {"x-api-key": "stall-7", "x-idempotency-key": key},
    }
    return json.dumps({"jsonrpc": "2.0", "id": number, "method": "call", "params": params}).encode() + b"\n"


def outcome_of(answer):
    """Return "served", "refused" or "failed"."""
    return "served" if "result" in answer else answer["error"].get("data", {}).get("final", "failed")


class RequestBatch:
    """Requests `numbers`, each with its own key, sent on one connection at a time until served or failed."""

    def __init__(self, cluster, numbers, seed):
        self._cluster, self._pending, self._rng = cluster, dict.fromkeys(numbers), random.Random(seed)
        self.outcomes, self.answered_s = {}, {}  # outcome and time of the final answers, by number
        self._deadline_s = time.monotonic() + CLIENT_TIMEOUT_S
        self._thread = threading.Thread(target=self._run, daemon=True)
        self._thread.start()

    def _run(self):
        instance = 0
        while self._pending and time.monotonic() < self._deadline_s:
            try:
                self._ask(self._cluster.gateways.running[instance].where["jsonrpc"])
            except (OSError, KeyError, ValueError):
                pass
            instance = self._rng.choice([number for number in self._cluster.gateways.running if number])
            time.sleep(0.1)

    def _ask(self, address):
        with socket.create_connection(address.split(":"), 5) as connection:
            connection.settimeout(max(0.1, self._deadline_s - time.monotonic()))
            connection.sendall(b"".join(request_line(n, PATHS[n % 3], f"k{n}") for n in self._pending))
            unanswered = len(self._pending)
            for response_line in connection.makefile():
                answer, unanswered = json.loads(response_line), unanswered - 1
                outcome = outcome_of(answer)
                if outcome != "refused":
                    self.outcomes[answer["id"]] = outcome
                    self.answered_s[answer["id"]] = time.monotonic()
                    del self._pending[answer["id"]]
                if not unanswered:
                    return

    def join(self):
        """Wait until all requests have ended, or their time is up."""
        self._thread.join(CLIENT_TIMEOUT_S + 10)


class SteadyClient:
    """A client that makes one call after another at one instance."""

    def __init__(self, cluster, instance):
        self._cluster, self._instance, self.is_stopped = cluster, instance, False
        self.outcomes, self.latencies = Counter(), []
        self._thread = threading.Thread(target=self._run, daemon=True)
        self._thread.start()

    def _run(self):
        number = 0
        while not self.is_stopped:
            number, started_s = number + 1, time.monotonic()
            call = self._cluster.call(self._instance, "/look", f"usual-{self._instance}-{number}", customer="usual")
            self.outcomes[call.final()] += 1
            self.latencies.append((started_s, time.monotonic() - started_s))
            time.sleep(0.02)

    def join(self):
        """Stop after the current call."""
        self.is_stopped = True
        self._thread.join(20)


def kill_gateway_under_load(folder, requests, extra_settings, instances=6, seed=1):
    """Kill an instance with `requests` requests in flight; return their outcomes, and those of steady clients."""
    cluster = Cluster(folder, instances, extra_settings, ready=True, seed=seed)
    cluster.workers.bypasses_gate = lambda key: key.startswith("usual")
    try:
        wait_until(lambda: all(each.state()["servers"].get("ready") == 3 for each in cluster.gateways.running.values()))
        cluster.workers.gate.clear()
        steady_clients = [SteadyClient(cluster, number) for number in range(1, instances)]
        batches = [RequestBatch(cluster, range(n, requests, CONNECTIONS), seed + n) for n in range(CONNECTIONS)]
        wait_until(lambda: cluster.gateways.running[0].state()["counts"].get("accepted", 0) >= requests, 30)
        time.sleep(0.4)  # the announcements have arrived
        killed_process = cluster.gateways.running[0].state()["life"]
        replicated = sum(each["kept_for_others"] for number, each in cluster.replication_states().items() if number)
        cluster.gateways.kill(0)
        killed_s = time.monotonic()
        cluster.workers.gate.set()
        for each in (*batches, *steady_clients):
            each.join()
        outcomes = {number: outcome for batch in batches for number, outcome in batch.outcomes.items()}
        answered_s = {number: answered_at_s for batch in batches for number, answered_at_s in batch.answered_s.items()}
        executions = cluster.workers.executions

        def state_at_kill(number):
            """Return "answered", "in flight" if the killed process had started an attempt, or "queued"."""
            if answered_s.get(number, killed_s) < killed_s:
                return "answered"
            senders = cluster.workers.senders.get((PATHS[number % 3], f"k{number}"), ())
            return "in flight" if killed_process in senders else "queued"

        return {
            "outcomes": Counter((PATHS[n % 3], state_at_kill(n), outcomes.get(n, "none")) for n in range(requests)),
            "executed_twice": sum(times > 1 for (path, _), times in executions.items() if path == "/pay"),
            "replicated": replicated,
            "at_capacity": sum(cluster.counter(number, "full") for number in cluster.gateways.running),
            "taken_over": sum(cluster.counter(number, "taken_over") for number in cluster.gateways.running),
            "steady_outcomes": sum((each.outcomes for each in steady_clients), Counter()),
            "steady_latencies_ms": [
                sorted(
                    1000 * latency_s
                    for each in steady_clients
                    for started_s, latency_s in each.latencies
                    if (started_s > killed_s) is is_after_kill
                )
                for is_after_kill in (False, True)
            ],
        }
    finally:
        cluster.close()
