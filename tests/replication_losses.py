"""`make losses`: a gatekeeper is killed with work in hand, round after round, with keepers and without, in one run.

Clients come back, at gatekeepers drawn by the seed, until their time is up. Prints by class and by where it stood
how many ended served, how many unsafe requests ran twice, and how long after the kill the next unsafe attempt came.
Before that, what keepers cost where nothing is lost."""

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

from kill_under_load import played
from cluster import MORE, Hands, until

COUNT, LOAD, PATHS = 6, 120, ("/pay", "/order", "/look")
TIME_S, CALLS = 8.0, 250
KINDS = (("keepers", MORE), ("none", MORE.replace("keepers lease 600ms\n", "")))


class Client:
    """One request of one client, and all its tries."""

    def __init__(self, hands, rng, number):
        self.path, self.key, self.final, self.tries = PATHS[number % 3], f"k{number}", "", 0
        self._hands, self._rng, self._began = hands, rng, time.monotonic()
        self.thread = threading.Thread(target=self._work, daemon=True)
        self.thread.start()

    def _work(self):
        where = 0
        while time.monotonic() - self._began < TIME_S:
            self.tries += 1
            try:
                self.final = self._hands.call(where, self.path, self.key).final()
            except (OSError, KeyError, AssertionError):
                self.final = "gone"
            if self.final in ("served", "failed"):
                return
            where = self._rng.choice([n for n in self._hands.fleet.up if n])
            time.sleep(0.1)


def one(seed, more):
    """One round: counts by path, where it stood and whether it was served; unsafe ones that ran twice; seconds from the
    kill to the next unsafe attempt."""
    rng = random.Random(seed)
    with tempfile.TemporaryDirectory() as folder:
        hands = Hands(pathlib.Path(folder), COUNT, more, ready=True, seed=seed)
        try:
            until(lambda: all(each.state()["servers"].get("ready") == 3 for each in hands.fleet.up.values()))
            hands.workers.gate.clear()  # so that what left stays out, and the rest is held for the window
            clients = [Client(hands, rng, number) for number in range(LOAD)]
            until(lambda: hands.fleet.up[0].state()["counts"].get("accepted", 0) == LOAD)
            time.sleep(0.3)
            out = set(hands.workers.came)
            hands.fleet.kill(0)
            killed = time.monotonic()
            hands.workers.gate.set()
            first = None
            while any(client.thread.is_alive() for client in clients):
                if first is None and any(path == "/pay" and (path, key) not in out for path, key in hands.workers.came):
                    first = time.monotonic() - killed
                time.sleep(0.005)
            served = Counter()
            for client in clients:
                stood = "out" if (client.path, client.key) in out else "held"
                served[client.path, stood, client.final == "served"] += 1
            twice = sum(times > 1 for (path, _), times in hands.workers.runs.items() if path == "/pay")
            return served, twice, first
        finally:
            hands.close()


def pace(address, path, count, started, waits):
    """Calls one after another on one connection; how long each took."""
    with socket.create_connection(address.split(":"), 10) as link:
        lines = link.makefile()
        for number in range(count):
            params = {
                "method": "GET" if path == "/look" else "POST",
                "path": path,
                "headers": {"x-api-key": "stall-7", "x-idempotency-key": f"{started}-{number}"},
            }
            began = time.monotonic()
            link.sendall(json.dumps({"jsonrpc": "2.0", "id": 1, "method": "call", "params": params}).encode() + b"\n")
            assert "result" in json.loads(lines.readline())
            waits.append(time.monotonic() - began)


def cost(hands, path):
    """Calls a second over eight connections to one gatekeeper, and the middle and late wait in milliseconds."""
    waits, address = [], hands.fleet.up[0].where["jsonrpc"]
    threads = [
        threading.Thread(target=pace, args=(address, path, CALLS, f"{path}{n}{time.time()}", waits)) for n in range(8)
    ]
    began = time.monotonic()
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()
    waits.sort()
    return len(waits) / (time.monotonic() - began), waits[len(waits) // 2] * 1000, waits[-len(waits) // 100] * 1000


def costs():
    """On beside off, turn and turn about in one run."""
    with contextlib.ExitStack() as stack:
        fleets = {}
        for name, more in KINDS:
            folder = stack.enter_context(tempfile.TemporaryDirectory())
            fleets[name] = Hands(pathlib.Path(folder), 4, more, ready=True)
            stack.callback(fleets[name].close)
        time.sleep(1.0)  # the roster is read
        for path in PATHS:
            seen = {name: [] for name, _ in KINDS}
            for _ in range(3):
                for name in seen:
                    seen[name].append(cost(fleets[name], path))
            on, off = (sorted(seen[name])[1] for name in ("keepers", "none"))
            print(
                f"cost {path}: {on[0]:.0f} calls a second with keepers, {off[0]:.0f} without ({on[0] / off[0]:.2f}); "
                f"p50 {on[1]:.1f} and {off[1]:.1f} ms, p99 {on[2]:.1f} and {off[2]:.1f} ms",
                flush=True,
            )


def many():
    """Two thousand in hand at one kill: ends, and what the takers' usual clients noticed."""
    with tempfile.TemporaryDirectory() as folder:
        seen = played(pathlib.Path(folder), 2000, MORE)
    ends = ", ".join(f"{' '.join(each)} {count}" for each, count in sorted(seen["ends"].items()))
    before, after = (
        f"{waits[len(waits) // 2]:.0f} and {waits[int(len(waits) * 0.95)]:.0f} ms" for waits in seen["usual_ms"]
    )
    print(
        f"2,000 in hand: {ends}; taken over {seen['taken_over']}, unsafe ran twice {seen['twice']}; usual clients "
        f"served {seen['usual']['served']} of {sum(seen['usual'].values())}, p50 and p95 {before} before the kill, "
        f"{after} after",
        flush=True,
    )


def main(rounds):
    faults = 0
    costs()
    many()
    for name, more in KINDS:
        results = [one(seed, more) for seed in range(rounds)]
        total = sum((result[0] for result in results), Counter())
        said = [
            f"{path} {stood} {total[path, stood, True]} of {total[path, stood, True] + total[path, stood, False]}"
            for path in PATHS
            for stood in ("held", "out")
        ]
        twice, firsts = sum(r[1] for r in results), sorted(r[2] for r in results if r[2] is not None)
        if name == "keepers":
            faults = twice
        print(
            f"{name}: served {', '.join(said)}; unsafe ran twice {twice}; "
            f"next unsafe attempt after {statistics.median(firsts):.2f} s (most {firsts[-1]:.2f})",
            flush=True,
        )
    print(f"{rounds - min(rounds, faults)} passed, {min(rounds, faults)} failed")
    return 1 if faults else 0


if __name__ == "__main__":
    sys.exit(main(int(sys.argv[1])))
