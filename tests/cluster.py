"""A fleet of processes with keepers, workers that count what ran, and clients: what the tests of taking over need."""

import http.server
import json
import socket
import threading
import time
from collections import Counter

from processes import Fleet

MORE = """members period 100ms
keepers lease 600ms
report [util inflight]
class order aim 4s deadline 8s worth 2 repeat keyed window 20s
class pay aim 4s deadline 8s worth 3 repeat unsafe
class look aim 4s deadline 8s repeat safe"""
ROUTES = """route POST /order class order pool main
route POST /pay class pay pool main
route GET /look class look pool main"""


def roster_of(ports, health="HEALTHY"):
    """A list of workers at these ports, in two rooms by turns."""
    return json.dumps(
        {
            "cluster_name": "main",
            "endpoints": [
                {
                    "locality": {"zone": f"room-{'ab'[n % 2]}"},
                    "lb_endpoints": [
                        {
                            "health_status": health,
                            "endpoint": {"address": {"socket_address": {"address": "127.0.0.1", "port_value": port}}},
                        }
                    ],
                }
                for n, port in enumerate(ports)
            ],
        }
    )


class Workers:
    """Servers in threads. `runs` counts by (path, key) what had an effect: a keyed repeat has none, as its group drops
    it. While `gate` is closed, what came runs and is not answered."""

    def __init__(self, count):
        self.runs, self.came, self.gate = Counter(), Counter(), threading.Event()
        self.last = {}  # when the last of each came, by (path, key)
        self.senders = {}  # which processes' attempts came, by (path, key)
        self.gate.set()
        self.passes = lambda key: False  # whose requests go by a closed gate
        lock = threading.Lock()
        workers = self

        class Handler(http.server.BaseHTTPRequestHandler):
            protocol_version, disable_nagle_algorithm = "HTTP/1.1", True

            def do_GET(self):
                key = self.headers.get("x-idempotency-key", "")
                self.rfile.read(int(self.headers.get("content-length") or 0))
                with lock:
                    workers.came[self.path, key] += 1
                    workers.last[self.path, key] = time.monotonic()
                    sender = self.headers.get("x-anisefront-attempt", "").partition(".")[0]
                    workers.senders.setdefault((self.path, key), set()).add(sender)
                    if self.path != "/order" or not workers.runs[self.path, key]:
                        workers.runs[self.path, key] += 1
                if not workers.passes(key):
                    workers.gate.wait(20)
                body = json.dumps({"did": key}).encode()
                try:
                    self.send_response(200)
                    self.send_header("content-length", str(len(body)))
                    self.end_headers()
                    self.wfile.write(body)
                except OSError:
                    pass  # who asked is dead

            do_POST = do_GET

            def log_message(self, *said):
                """Nothing."""

        class Server(http.server.ThreadingHTTPServer):
            daemon_threads = True

            def handle_error(self, request, address):
                """Who asked is dead."""

        self.servers = [Server(("127.0.0.1", 0), Handler) for _ in range(count)]
        for server in self.servers:
            threading.Thread(target=server.serve_forever, args=(0.05,), daemon=True).start()

    def roster(self, ready=True):
        return roster_of([server.server_port for server in self.servers], "HEALTHY" if ready else "DRAINING")

    def close(self):
        self.gate.set()
        for server in self.servers:
            server.shutdown()
            server.server_close()


class Hands:
    """The fleet, its workers and its clients."""

    def __init__(self, folder, count=4, more=MORE, ready=False, seed=1, checkouts=None):
        self.workers, self.file = Workers(3), folder / "roster.json"
        self.open(ready)
        self.fleet = Fleet(folder, count, more, seed, f'roster "{self.file}"', ROUTES, checkouts)
        self.fleet.until(lambda seen: seen.get("alive") == count)

    def open(self, ready=True):
        """Whether the workers take anything: while they don't, requests are held."""
        fresh = self.file.with_suffix(".new")
        fresh.write_text(self.workers.roster(ready))
        fresh.replace(self.file)

    def call(self, number, path, key, body="", customer="stall-7"):
        """A client's call in a thread of its own."""
        return Call(self.fleet.up[number].where["jsonrpc"], path, key, body, customer)

    def keepers(self):
        return {number: each.state()["keepers"] for number, each in self.fleet.up.items()}

    def keeper(self, count=1):
        """Who keeps that many requests for others."""
        return until(lambda: [n for n, seen in self.keepers().items() if seen["kept_for_others"] >= count])[0]

    def count(self, number, name):
        return self.fleet.up[number].state()["keepers"]["counts"].get(name, 0)

    def close(self):
        self.fleet.close()
        self.workers.close()


class Call:
    """`answer`: the line that came, None where the connection broke without one."""

    def __init__(self, address, path, key, body, customer):
        self.answer, self.began = None, time.monotonic()
        params = {
            "method": "GET" if path == "/look" else "POST",
            "path": path,
            "body": body,
            "headers": {"x-api-key": customer, "x-idempotency-key": key},
        }
        self._line = json.dumps({"jsonrpc": "2.0", "id": 1, "method": "call", "params": params}).encode() + b"\n"
        self._link = socket.create_connection(address.split(":"), 5)
        self._link.settimeout(20)
        self._link.sendall(self._line)
        self._thread = threading.Thread(target=self._read, daemon=True)
        self._thread.start()

    def _read(self):
        try:
            line = self._link.makefile().readline()
            self.answer = json.loads(line) if line else None
        except OSError:
            pass
        self.took = time.monotonic() - self.began
        self._link.close()

    def end(self, seconds=15):
        self._thread.join(seconds)
        assert not self._thread.is_alive(), "no final answer"
        return self.answer

    def final(self):
        """Which it was: "served", "refused", "failed", or "gone" where the connection broke."""
        answer = self.end()
        if answer is None:
            return "gone"
        return "served" if "result" in answer else answer["error"].get("data", {}).get("final", answer["error"])


def until(what, seconds=15.0):
    """Poll until `what()` is true; its value."""
    end = time.monotonic() + seconds
    while not (value := what()):
        assert time.monotonic() < end, "it did not come to pass"
        time.sleep(0.02)
    return value
