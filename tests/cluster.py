"""Gateway processes with replication, workers that count executions, and clients, for tests of failover."""

import http.server
import json
import socket
import threading
import time
from collections import Counter

from processes import GatewayProcesses

REPLICATION_SETTINGS = """members period 100ms
keepers lease 600ms
report [util inflight]
class order aim 4s deadline 8s worth 2 repeat keyed window 20s
class pay aim 4s deadline 8s worth 3 repeat unsafe
class look aim 4s deadline 8s repeat safe"""
ROUTES = """route POST /order class order pool main
route POST /pay class pay pool main
route GET /look class look pool main"""


def endpoint_list_json(ports, health="HEALTHY"):
    """Return an endpoint list of workers at these ports, alternating between two zones."""
    return json.dumps(
        {
            "cluster_name": "main",
            "endpoints": [
                {
                    "locality": {"zone": f"room-{'ab'[index % 2]}"},
                    "lb_endpoints": [
                        {
                            "health_status": health,
                            "endpoint": {"address": {"socket_address": {"address": "127.0.0.1", "port_value": port}}},
                        }
                    ],
                }
                for index, port in enumerate(ports)
            ],
        }
    )


class Workers:
    """HTTP servers in threads.

    `executions` counts by (path, key) the requests that had an effect; a keyed repeat has none, as its deduplication
    group drops it. While `gate` is closed, requests are executed, but not answered.
    """

    def __init__(self, count):
        self.executions, self.arrivals, self.gate = Counter(), Counter(), threading.Event()
        self.last_arrival_s = {}  # time of the last arrival, by (path, key)
        self.senders = {}  # processes that sent attempts, by (path, key)
        self.gate.set()
        self.bypasses_gate = lambda key: False  # whether a request is answered while the gate is closed
        lock = threading.Lock()
        workers = self

        class Handler(http.server.BaseHTTPRequestHandler):
            protocol_version, disable_nagle_algorithm = "HTTP/1.1", True

            def do_GET(self):
                key = self.headers.get("x-idempotency-key", "")
                self.rfile.read(int(self.headers.get("content-length") or 0))
                with lock:
                    workers.arrivals[self.path, key] += 1
                    workers.last_arrival_s[self.path, key] = time.monotonic()
                    sender = self.headers.get("x-anisefront-attempt", "").partition(".")[0]
                    workers.senders.setdefault((self.path, key), set()).add(sender)
                    if self.path != "/order" or not workers.executions[self.path, key]:
                        workers.executions[self.path, key] += 1
                if not workers.bypasses_gate(key):
                    workers.gate.wait(20)
                body = json.dumps({"did": key}).encode()
                try:
                    self.send_response(200)
                    self.send_header("content-length", str(len(body)))
                    self.end_headers()
                    self.wfile.write(body)
                except OSError:
                    pass  # the instance that sent the request was killed

            do_POST = do_GET

            def log_message(self, *arguments):
                """Log nothing."""

        class Server(http.server.ThreadingHTTPServer):
            daemon_threads = True

            def handle_error(self, request, address):
                """Ignore it: the instance that sent the request was killed."""

        self.servers = [Server(("127.0.0.1", 0), Handler) for _ in range(count)]
        for server in self.servers:
            threading.Thread(target=server.serve_forever, args=(0.05,), daemon=True).start()

    def endpoint_list(self, ready=True):
        """Return the list of these workers, all ready or all draining."""
        return endpoint_list_json([server.server_port for server in self.servers], "HEALTHY" if ready else "DRAINING")

    def close(self):
        """Open the gate and stop the servers."""
        self.gate.set()
        for server in self.servers:
            server.shutdown()
            server.server_close()


class Cluster:
    """Gateway instances with replication, their workers, and calls of clients."""

    def __init__(self, folder, count=4, extra_settings=REPLICATION_SETTINGS, ready=False, seed=1, checkouts=None):
        self.workers, self.file = Workers(3), folder / "roster.json"
        self.set_workers_ready(ready)
        self.gateways = GatewayProcesses(
            folder, count, extra_settings, seed, f'roster "{self.file}"', ROUTES, checkouts
        )
        self.gateways.wait_for_members(lambda seen: seen.get("alive") == count)

    def set_workers_ready(self, ready=True):
        """List the workers as ready or as draining; while they drain, requests are queued."""
        new_file = self.file.with_suffix(".new")
        new_file.write_text(self.workers.endpoint_list(ready))
        new_file.replace(self.file)

    def call(self, number, path, key, body="", customer="stall-7"):
        """Start a client's call at an instance in a thread of its own."""
        return Call(self.gateways.running[number].where["jsonrpc"], path, key, body, customer)

    def replication_states(self):
        """Return the replication state of each running instance, by number."""
        return {number: each.state()["keepers"] for number, each in self.gateways.running.items()}

    def backup(self, count=1):
        """Wait until an instance is the backup of that many requests, and return its number."""
        return wait_until(
            lambda: [number for number, seen in self.replication_states().items() if seen["kept_for_others"] >= count]
        )[0]

    def counter(self, number, name):
        """Return a replication counter of an instance."""
        return self.gateways.running[number].state()["keepers"]["counts"].get(name, 0)

    def close(self):
        """Kill the instances and stop the workers."""
        self.gateways.close()
        self.workers.close()


class Call:
    """One call in a thread of its own; `answer` is its response, None if the connection ended without one."""

    def __init__(self, address, path, key, body, customer):
        self.answer, self.started_s = None, time.monotonic()
        params = {
            "method": "GET" if path == "/look" else "POST",
            "path": path,
            "body": body,
            "headers": {"x-api-key": customer, "x-idempotency-key": key},
        }
        self._request = json.dumps({"jsonrpc": "2.0", "id": 1, "method": "call", "params": params}).encode() + b"\n"
        self._connection = socket.create_connection(address.split(":"), 5)
        self._connection.settimeout(20)
        self._connection.sendall(self._request)
        self._thread = threading.Thread(target=self._read, daemon=True)
        self._thread.start()

    def _read(self):
        try:
            line = self._connection.makefile().readline()
            self.answer = json.loads(line) if line else None
        except OSError:
            pass
        self.elapsed_s = time.monotonic() - self.started_s
        self._connection.close()

    def wait_for_answer(self, seconds=15):
        """Wait for the end of the call and return `answer`."""
        self._thread.join(seconds)
        assert not self._thread.is_alive(), "no final answer"
        return self.answer

    def final(self):
        """Return "served", "refused", "failed", or "disconnected" if the connection ended without an answer."""
        answer = self.wait_for_answer()
        if answer is None:
            return "disconnected"
        return "served" if "result" in answer else answer["error"].get("data", {}).get("final", answer["error"])


def wait_until(condition, seconds=15.0):
    """Poll until `condition()` is true and return its value."""
    deadline_s = time.monotonic() + seconds
    while not (value := condition()):
        assert time.monotonic() < deadline_s, "the condition did not hold in time"
        time.sleep(0.02)
    return value
