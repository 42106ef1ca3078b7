"""What a change of settings costs one real `anisefront serve` at the planned size, under a light steady load.

    python -m benchmarks.changes [--before FOLDER] [--changes 20] [--many 1000]

FOLDER is a checkout of another text (git worktree add FOLDER COMMIT): it is measured first, in the same run.
Load: 160 calls a second on one connection; every second one asks the path that the next change adds or takes away, so
that the moment in force is seen from outside, in quiet times too. Waits are from a call's sending to its answer. The
calls are of 100 tenants: each one that is met for the first time takes memory of its own.
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

ROUTES, KEYS, KEY_FILES, PER_S, MOST_S = 5_800, 22_000, 22, 160.0, 60.0
NOWHERE, AFTER_S = "/nowhere/probe", 0.1  # what a change leaves to be done counts as its cost for so long
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
    """Settings as a large installation keeps them: routes by service, keys by thousands, each in a file of its own."""

    folder: pathlib.Path
    services: int = 450

    def write(self) -> pathlib.Path:
        """All files; the path of the first."""
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
        """The file of a service."""
        return self.folder / f"services/service-{number:03}.conf"

    def text(self, number: int, more: str = "") -> str:
        """The routes of a service, and perhaps a line more."""
        kinds = ("list", ":item", ":item/parts", "find", "parts/*")
        lines = []
        for place in range(number, ROUTES, self.services):
            turn = place // self.services
            method, name = ("GET", "look") if turn % 3 else ("POST", "order")
            lines.append(f"route {method} /service-{number:03}/r{turn}/{kinds[turn % 5]} class {name} pool main")
        return "\n".join([*lines, more, ""])

    def change(self, number: int, more: str) -> None:
        """A service's file written anew beside the old one, and renamed over it."""
        new = self.service(number).with_suffix(".new")
        new.write_text(self.text(number, more))
        os.replace(new, self.service(number))


@dataclass(slots=True)
class Phase:
    """The waits of one phase, in milliseconds."""

    waits_ms: list[float] = field(default_factory=list)
    failed: int = 0

    def report(self) -> dict[str, float]:
        """What a client felt."""
        waits = sorted(self.waits_ms)
        return {
            "calls": len(waits),
            "failed": self.failed,
            "p50_ms": round(statistics.median(waits), 2),
            "p99_ms": round(waits[int(0.99 * len(waits))], 2),
            "longest_ms": round(waits[-1], 1),
        }


class Client:
    """Steady calls on one connection, whatever becomes of them; `seen` has the last answer about each probe path."""

    def __init__(self, address: str) -> None:
        host, _, port = address.rpartition(":")
        self.link = socket.create_connection((host, int(port)), MOST_S)
        self.link.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self.phase, self.probe, self.seen, self.over = Phase(), NOWHERE, {}, False
        self._sent: dict[int, tuple[float, str, Phase]] = {}
        self.sent = self.answered = 0
        self.threads = [threading.Thread(target=each, daemon=True) for each in (self._send, self._read)]
        for thread in self.threads:
            thread.start()

    def _send(self) -> None:
        due, paths = time.perf_counter(), random.Random(1)
        while not self.over:
            due += 1 / PER_S
            time.sleep(max(0.0, due - time.perf_counter()))
            probes = self.sent % 2
            path = self.probe if probes else f"/service-{paths.randrange(100):03}/r1/{paths.randrange(1000)}"
            params = {"method": "GET", "path": path, "headers": {"x-api-key": f"k-{paths.randrange(0, KEYS, 220):05}"}}
            line = json.dumps({"jsonrpc": "2.0", "id": self.sent, "method": "call", "params": params}).encode()
            self._sent[self.sent] = time.perf_counter(), path, self.phase
            self.sent += 1
            self.link.sendall(line + b"\n")

    def _read(self) -> None:
        with self.link.makefile("rb") as file:
            for line in file:
                now, answer = time.perf_counter(), json.loads(line)
                sent, path, phase = self._sent.pop(answer["id"])
                phase.waits_ms.append((now - sent) * 1000)
                self.answered += 1
                found = "result" in answer
                self.seen[path] = found
                phase.failed += not found and not path.endswith("/probe")

    def until(self, path: str, found: bool) -> float:
        """Seconds until a call to a path is found, or is not."""
        self.seen.pop(path, None)
        self.probe, began = path, time.perf_counter()
        while self.seen.get(path) is not found:
            if time.perf_counter() - began > MOST_S:
                raise TimeoutError(f"{path} is not {'found' if found else 'gone'} after {MOST_S:g} s")
            time.sleep(0.001)
        self.probe = NOWHERE  # what is found costs more than what is not, and that is no cost of a change
        return time.perf_counter() - began

    def close(self) -> None:
        """End both threads, once all is answered."""
        self.over = True
        self.threads[0].join(MOST_S)
        end = time.perf_counter() + MOST_S
        while self.answered < self.sent and time.perf_counter() < end:
            time.sleep(0.01)
        self.link.shutdown(socket.SHUT_WR)
        self.threads[1].join(MOST_S)
        self.link.close()


class Server:
    """One `anisefront serve` of the text in `folder`."""

    def __init__(self, folder: str, settings: pathlib.Path) -> None:
        began = time.perf_counter()
        self.process = subprocess.Popen(
            [sys.executable, "-m", "anisefront", "serve", str(settings), "--log-level", "error"],
            cwd=folder,
            env={**os.environ, "PYTHONPATH": folder},
            stdout=subprocess.PIPE,
            text=True,
        )
        self.where = json.loads(self.process.stdout.readline())
        self.ready_s = time.perf_counter() - began

    def cpu_s(self) -> float:
        """Processor time so far, of its one thread; finer than the ticks of /proc/PID/stat."""
        return int(pathlib.Path(f"/proc/{self.process.pid}/schedstat").read_text().split()[0]) / 1e9

    def rss_mb(self) -> float:
        """Resident memory."""
        for line in pathlib.Path(f"/proc/{self.process.pid}/status").read_text().splitlines():
            if line.startswith("VmRSS:"):
                return round(int(line.split()[1]) / 1024, 1)
        raise ValueError("no VmRSS line")

    def state(self) -> dict:
        """Its own report."""
        host, _, port = self.where["jsonrpc"].rpartition(":")
        with socket.create_connection((host, int(port)), MOST_S) as link:
            link.sendall(b'{"jsonrpc": "2.0", "id": 1, "method": "state"}\n')
            return json.loads(link.makefile().readline())["result"]

    def hang_up(self) -> None:
        """Have it read its settings."""
        self.process.send_signal(signal.SIGHUP)

    def stop(self) -> None:
        """SIGTERM, and a bounded wait."""
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
    """The cost of changes to the text in `folder`: `changes` of one line, one each `every_s`, then one after another
    until there were `many`."""
    with tempfile.TemporaryDirectory() as made:
        layout = Layout(pathlib.Path(made), services)
        server = Server(folder, layout.write())
        try:
            out = {"ready_s": round(server.ready_s, 2), "rss_at_start_mb": server.rss_mb()}
            client = Client(server.where["jsonrpc"])
            try:
                time.sleep(2.0)  # the first calls make what later ones find
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
        """One line more in a service's file, or the one of before less."""
        nonlocal done
        number, turn = done // 2 % layout.services, done % 2
        path = f"/service-{number:03}/probe"
        layout.change(number, "" if turn else f"route GET {path} class look pool main")
        cpu, began = server.cpu_s(), time.perf_counter()
        server.hang_up()
        in_force.append(client.until(path, found=not turn))
        if done < changes:
            time.sleep(AFTER_S)
            cost_s.append(server.cpu_s() - cpu - quiet_cpu * (time.perf_counter() - began))
        done += 1

    out, quiet = {"rss_under_load_mb": server.rss_mb()}, Phase()
    client.phase = quiet
    cpu, began = server.cpu_s(), time.perf_counter()
    time.sleep(quiet_s)
    quiet_cpu = (server.cpu_s() - cpu) / (time.perf_counter() - began)
    work_ms = server.state()["settings"].get("work_ms", math.nan)  # the text before does not count it
    changing = client.phase = Phase()
    time.sleep(AFTER_S)
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
        client.phase = crowded = Phase()
        began, marks = time.perf_counter(), {}
        while done < many:
            change()
            if done in (100, 200, 500):
                marks[f"rss_after_{done}_mb"] = server.rss_mb()
        out |= marks | {
            "many": many,
            f"rss_after_{many}_mb": server.rss_mb(),
            "crowded": crowded.report(),
            "many_took_s": round(time.perf_counter() - began, 1),
        }
    state = server.state()
    return out | {name: state[name] for name in ("settings", "pauses", "loop", "turn")}


def of_module(stores: int) -> float:
    """Milliseconds for which the module stops the loop where its own settings change (plans, quotas, classes), with so
    many customers that it is the home of."""
    from anisefront.policy.controller import Controller
    from anisefront.policy.peer_codec import QuotaMessage, QuotaMessageKind
    from anisefront.policy.quota_request_queue import QuotaRequestKey

    def settings(rate: float) -> Settings:
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
        module = Controller(settings(60), turn)
        module.handle(1000.0, [])
        for tag in range(stores):
            module.quota_owner.receive(
                1000.0,
                QuotaRequestKey(1, 1, tag + 1),
                QuotaMessage(QuotaMessageKind.DEBIT, tag, tag + 1, 1.0, 0.0, 0, 0),
            )
        began = time.perf_counter()
        module.handle(1100.0, [settings(61)])
        out.append((time.perf_counter() - began) * 1000)
    return round(statistics.median(out), 2)


def main() -> None:
    """Measure this text, and another first where one is named."""
    parse = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parse.add_argument("--before")
    parse.add_argument("--changes", type=int, default=20)
    parse.add_argument("--before-changes", type=int, default=6)
    parse.add_argument("--many", type=int, default=1000)
    parse.add_argument("--services", type=int, default=450)
    parse.add_argument("--quiet-s", type=float, default=20.0)
    parse.add_argument("--every-s", type=float, default=3.0)
    given = parse.parse_args()
    own = str(pathlib.Path(__file__).resolve().parent.parent)
    out = {
        "machine": f"{os.cpu_count()} cores, {platform.machine()}, Python {platform.python_version()}",
        "load_before": os.getloadavg()[0],
    }
    out["module_ms_by_homes"] = {count: of_module(count) for count in (26, 260, 2600, 22_000)}
    if given.before:
        out["before"] = measure(
            os.path.abspath(given.before), given.before_changes, 0, given.services, given.quiet_s, given.every_s
        )
    out["after"] = measure(own, given.changes, given.many, given.services, given.quiet_s, given.every_s)
    print(json.dumps(out | {"load_after": os.getloadavg()[0]}, indent=1))


if __name__ == "__main__":
    main()
