"""Cost of a settings change for one real `anisefront serve` of the planned size, under a light steady load.

    python -m benchmarks.changes [--before FOLDER] [--changes 20] [--many 1000]

FOLDER is a checkout of another revision (git worktree add FOLDER COMMIT), which is measured first, in the same run.

The load is 160 calls per second on one connection. Every second call requests a probe path: the one that the current
change adds or removes, so that the client sees when it is in force, and one without a route in quiet phases. Latencies
are from the sending of a call to its response. The calls are of 100 tenants only, because each new tenant takes memory.
"""

import argparse
import json
import math
import os
import pathlib
import platform
import random
import signal
import socket
import statistics
import subprocess
import sys
import tempfile
import threading
import time
from dataclasses import dataclass, field

from anisefront.policy.settings import Idempotency, Plan, RequestClass, Settings

ROUTES = 5_800
KEYS = 22_000
KEY_FILES = 22
CALLS_PER_S = 160.0
TIMEOUT_S = 60.0
UNROUTED_PATH = "/nowhere/probe"
AFTERMATH_S = 0.1  # CPU used within this time after a change is in force counts as its cost
HEAD = """language 2
gatekeeper 0 of 1 zone here
listen grpc 127.0.0.1:0
listen jsonrpc 127.0.0.1:0
pool main embedded 4 cores 4 service 1ms
class look aim 1s deadline 5s worth 2 repeat safe
class order aim 2s deadline 5s worth 6 repeat keyed scope all window 5s
quota wide rate 1000000/s burst 1000000
quota small rate 60/s burst 120
plan wide quota wide
plan small quota small
customers header x-api-key plan wide
include "services/*.conf"
include "keys/*.conf"
"""


@dataclass(frozen=True, slots=True)
class Layout:
    """Settings files of a large installation: one for the routes of each service, one for each thousand keys."""

    folder: pathlib.Path
    services: int = 450

    def write(self) -> pathlib.Path:
        """Write all files and return the path of the main one."""
        for name in ("services", "keys"):
            (self.folder / name).mkdir()
        for number in range(self.services):
            self.service(number).write_text(self.text(number))
        for number in range(KEY_FILES):
            keys = range(number * KEYS // KEY_FILES, (number + 1) * KEYS // KEY_FILES)
            (self.folder / f"keys/{number:02}.conf").write_text(
                "".join(
                    f"key k-{key:05} customer tenant-{key:05} plan {'small' if key % 3 else 'wide'}\n" for key in keys
                )
            )
        path = self.folder / "gatekeeper.conf"
        path.write_text(HEAD)
        return path

    def service(self, number: int) -> pathlib.Path:
        """Return the path of a service's file."""
        return self.folder / f"services/service-{number:03}.conf"

    def text(self, number: int, added_line: str = "") -> str:
        """Return the routes of a service, with an added line if there is one."""
        endings = ("list", ":item", ":item/parts", "find", "parts/*")
        lines = []
        for place in range(number, ROUTES, self.services):
            turn = place // self.services
            method, name = ("GET", "look") if turn % 3 else ("POST", "order")
            lines.append(f"route {method} /service-{number:03}/r{turn}/{endings[turn % 5]} class {name} pool main")
        return "\n".join([*lines, added_line, ""])

    def change(self, number: int, added_line: str) -> None:
        """Replace a service's file atomically."""
        temporary = self.service(number).with_suffix(".new")
        temporary.write_text(self.text(number, added_line))
        os.replace(temporary, self.service(number))


@dataclass(slots=True)
class Phase:
    """Latencies of one phase, in milliseconds."""

    latencies_ms: list[float] = field(default_factory=list)
    failed: int = 0

    def report(self) -> dict[str, float]:
        """Return the latencies as seen by a client."""
        latencies = sorted(self.latencies_ms)
        return {
            "calls": len(latencies),
            "failed": self.failed,
            "p50_ms": round(statistics.median(latencies), 2),
            "p99_ms": round(latencies[int(0.99 * len(latencies))], 2),
            "longest_ms": round(latencies[-1], 1),
        }


class Client:
    """Open-loop calls on one connection; `seen` has the last result for each path: whether it has a route."""

    def __init__(self, address: str) -> None:
        host, _, port = address.rpartition(":")
        self.link = socket.create_connection((host, int(port)), TIMEOUT_S)
        self.link.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self.phase, self.probe, self.seen, self.stopping = Phase(), UNROUTED_PATH, {}, False
        self._sent: dict[int, tuple[float, str, Phase]] = {}
        self.sent = self.answered = 0
        self.threads = [threading.Thread(target=each, daemon=True) for each in (self._send, self._read)]
        for thread in self.threads:
            thread.start()

    def _send(self) -> None:
        due, rng = time.perf_counter(), random.Random(1)
        while not self.stopping:
            due += 1 / CALLS_PER_S
            time.sleep(max(0.0, due - time.perf_counter()))
            is_probe = self.sent % 2
            path = self.probe if is_probe else f"/service-{rng.randrange(100):03}/r1/{rng.randrange(1000)}"
            params = {"method": "GET", "path": path, "headers": {"x-api-key": f"k-{rng.randrange(0, KEYS, 220):05}"}}
            line = json.dumps({"jsonrpc": "2.0", "id": self.sent, "method": "call", "params": params}).encode()
            self._sent[self.sent] = time.perf_counter(), path, self.phase
            self.sent += 1
            self.link.sendall(line + b"\n")

    def _read(self) -> None:
        with self.link.makefile("rb") as file:
            for line in file:
                now, response = time.perf_counter(), json.loads(line)
                sent, path, phase = self._sent.pop(response["id"])
                phase.latencies_ms.append((now - sent) * 1000)
                self.answered += 1
                found = "result" in response
                self.seen[path] = found
                phase.failed += not found and not path.endswith("/probe")

    def wait_for_route(self, path: str, found: bool) -> float:
        """Return the seconds until a path has a route, or has none."""
        self.seen.pop(path, None)
        self.probe, began = path, time.perf_counter()
        while self.seen.get(path) is not found:
            if time.perf_counter() - began > TIMEOUT_S:
                raise TimeoutError(f"{path} still {'has no' if found else 'has a'} route after {TIMEOUT_S:g} s")
            time.sleep(0.001)
        self.probe = UNROUTED_PATH  # a routed call costs more than an unrouted one, which is no cost of a change
        return time.perf_counter() - began

    def close(self) -> None:
        """Stop sending, wait for the outstanding responses, and end both threads."""
        self.stopping = True
        self.threads[0].join(TIMEOUT_S)
        end = time.perf_counter() + TIMEOUT_S
        while self.answered < self.sent and time.perf_counter() < end:
            time.sleep(0.01)
        self.link.shutdown(socket.SHUT_WR)
        self.threads[1].join(TIMEOUT_S)
        self.link.close()


class Server:
    """One `anisefront serve` process of the checkout in `folder`."""

    def __init__(self, folder: str, settings: pathlib.Path) -> None:
        began = time.perf_counter()
        self.process = subprocess.Popen(
            [sys.executable, "-m", "anisefront", "serve", str(settings), "--log-level", "error"],
            cwd=folder,
            env={**os.environ, "PYTHONPATH": folder},
            stdout=subprocess.PIPE,
            text=True,
        )
        self.addresses = json.loads(self.process.stdout.readline())
        self.ready_s = time.perf_counter() - began

    def cpu_s(self) -> float:
        """Return the CPU time of its only thread; schedstat has a finer resolution than the ticks of /proc/PID/stat."""
        return int(pathlib.Path(f"/proc/{self.process.pid}/schedstat").read_text().split()[0]) / 1e9

    def rss_mb(self) -> float:
        """Return the resident memory in MiB."""
        for line in pathlib.Path(f"/proc/{self.process.pid}/status").read_text().splitlines():
            if line.startswith("VmRSS:"):
                return round(int(line.split()[1]) / 1024, 1)
        raise ValueError(f"no VmRSS line in /proc/{self.process.pid}/status")

    def state(self) -> dict:
        """Return its state report."""
        host, _, port = self.addresses["jsonrpc"].rpartition(":")
        with socket.create_connection((host, int(port)), TIMEOUT_S) as link:
            link.sendall(b'{"jsonrpc": "2.0", "id": 1, "method": "state"}\n')
            return json.loads(link.makefile().readline())["result"]

    def reload(self) -> None:
        """Send SIGHUP, so that it reloads its settings."""
        self.process.send_signal(signal.SIGHUP)

    def stop(self) -> None:
        """Terminate the process, and kill it after 20 s."""
        self.process.terminate()
        try:
            self.process.wait(20)
        except subprocess.TimeoutExpired:
            self.process.kill()
            self.process.wait()
        self.process.stdout.close()


def measure(
    folder: str, changes: int, many: int, services: int = 450, quiet_s: float = 20.0, every_s: float = 3.0
) -> dict:
    """Measure one-line changes with the checkout in `folder`.

    There are `changes` of them, one each `every_s`, then more in succession until there were `many`.
    """
    with tempfile.TemporaryDirectory() as temporary_folder:
        layout = Layout(pathlib.Path(temporary_folder), services)
        server = Server(folder, layout.write())
        try:
            out = {"ready_s": round(server.ready_s, 2), "rss_at_start_mb": server.rss_mb()}
            client = Client(server.addresses["jsonrpc"])
            try:
                time.sleep(2.0)  # the first calls fill caches that later ones use
                out |= _phases(server, client, layout, changes, many, quiet_s, every_s)
            finally:
                client.close()
            return out | {"unanswered": client.sent - client.answered}
        finally:
            server.stop()


def _phases(
    server: Server, client: Client, layout: Layout, changes: int, many: int, quiet_s: float, every_s: float
) -> dict:
    in_force, cost_s, done = [], [], 0

    def change() -> None:
        """Add one line to a service's file, or remove the one added before."""
        nonlocal done
        number, turn = done // 2 % layout.services, done % 2
        path = f"/service-{number:03}/probe"
        layout.change(number, "" if turn else f"route GET {path} class look pool main")
        cpu, began = server.cpu_s(), time.perf_counter()
        server.reload()
        in_force.append(client.wait_for_route(path, found=not turn))
        if done < changes:
            time.sleep(AFTERMATH_S)
            cost_s.append(server.cpu_s() - cpu - quiet_cpu * (time.perf_counter() - began))
        done += 1

    out, quiet = {"rss_under_load_mb": server.rss_mb()}, Phase()
    client.phase = quiet
    cpu, began = server.cpu_s(), time.perf_counter()
    time.sleep(quiet_s)
    quiet_cpu = (server.cpu_s() - cpu) / (time.perf_counter() - began)
    work_ms = server.state()["settings"].get("work_ms", math.nan)  # earlier revisions do not report it
    changing = client.phase = Phase()
    time.sleep(AFTERMATH_S)
    began = time.perf_counter()
    for number in range(changes):
        change()
        time.sleep(max(0.0, began + (number + 1) * every_s - time.perf_counter()))
    out |= {
        "quiet": quiet.report(),
        "changing": changing.report(),
        "changes": changes,
        "p99_ratio": round(changing.report()["p99_ms"] / quiet.report()["p99_ms"], 2),
        "cpu_quiet_share": round(quiet_cpu, 4),
        "cpu_a_change_median_ms": round(statistics.median(cost_s) * 1000, 1),
        "cpu_a_change_mean_ms": round(statistics.mean(cost_s) * 1000, 1),
        "own_work_a_change_ms": round((server.state()["settings"].get("work_ms", math.nan) - work_ms) / changes, 1),
        "in_force_median_ms": round(statistics.median(in_force) * 1000),
        "in_force_longest_ms": round(max(in_force) * 1000),
        "rss_after_changes_mb": server.rss_mb(),
    }
    if many > changes:
        client.phase = successive = Phase()
        began, marks = time.perf_counter(), {}
        while done < many:
            change()
            if done in (100, 200, 500):
                marks[f"rss_after_{done}_mb"] = server.rss_mb()
        out |= marks | {
            "many": many,
            f"rss_after_{many}_mb": server.rss_mb(),
            "crowded": successive.report(),
            "many_took_s": round(time.perf_counter() - began, 1),
        }
    state = server.state()
    return out | {name: state[name] for name in ("settings", "pauses", "loop", "turn")}


def controller_settings_change_ms(stores: int) -> float:
    """Return how long a change of plans, quotas or classes blocks the event loop in a controller, in ms.

    The controller owns the quotas of `stores` customers.
    """
    from anisefront.policy.controller import Controller
    from anisefront.policy.peer_codec import QuotaMessage, QuotaMessageKind
    from anisefront.policy.quota_request_queue import QuotaRequestKey

    def settings(rate: float) -> Settings:
        """Return settings with this rate of the plan."""
        return Settings(
            850,
            0,
            "here",
            (RequestClass("look", 1000, 5000, 1.0, Idempotency.IDEMPOTENT),),
            (Plan("small", rate, 120),),
            10_000,
            0.2,
            3.0,
            2000,
            3,
            peer_messages_enabled=True,
            inbox_per_s=200,
        )

    out = []
    for turn in range(5):
        controller = Controller(settings(60), turn)
        controller.handle(1000.0, [])
        for tag in range(stores):
            controller.quota_owner.receive(
                1000.0,
                QuotaRequestKey(1, 1, tag + 1),
                QuotaMessage(QuotaMessageKind.DEBIT, tag, tag + 1, 1.0, 0.0, 0, 0),
            )
        began = time.perf_counter()
        controller.handle(1100.0, [settings(61)])
        out.append((time.perf_counter() - began) * 1000)
    return round(statistics.median(out), 2)


def main() -> None:
    """Measure this checkout, after another one if `--before` names it."""
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument("--before")
    parser.add_argument("--changes", type=int, default=20)
    parser.add_argument("--before-changes", type=int, default=6)
    parser.add_argument("--many", type=int, default=1000)
    parser.add_argument("--services", type=int, default=450)
    parser.add_argument("--quiet-s", type=float, default=20.0)
    parser.add_argument("--every-s", type=float, default=3.0)
    arguments = parser.parse_args()
    this_checkout = str(pathlib.Path(__file__).resolve().parent.parent)
    out = {
        "machine": f"{os.cpu_count()} cores, {platform.machine()}, Python {platform.python_version()}",
        "load_before": os.getloadavg()[0],
    }
    out["module_ms_by_homes"] = {count: controller_settings_change_ms(count) for count in (26, 260, 2600, 22_000)}
    if arguments.before:
        out["before"] = measure(
            os.path.abspath(arguments.before),
            arguments.before_changes,
            0,
            arguments.services,
            arguments.quiet_s,
            arguments.every_s,
        )
    out["after"] = measure(
        this_checkout, arguments.changes, arguments.many, arguments.services, arguments.quiet_s, arguments.every_s
    )
    print(json.dumps(out | {"load_after": os.getloadavg()[0]}, indent=1))


if __name__ == "__main__":
    main()
