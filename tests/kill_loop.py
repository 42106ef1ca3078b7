"""`make kills`: a fleet under steady load whose members are killed, stopped, cut off and started again at random, and
an auditor that knows only what crossed the sockets of workers and clients.

    python tests/kill_loop.py SECONDS [SEED]"""

import pathlib
import random
import signal
import sys
import tempfile
import threading
import time
from collections import Counter

from cluster import MORE, Hands, until

COUNT, CLIENTS, TIME_S = 5, 12, 8.0
PATHS = ("/pay", "/order", "/look")


class Client(threading.Thread):
    """One request after another, each asked at any gatekeeper until it has its end or its time is up."""

    def __init__(self, loop, number):
        super().__init__(daemon=True)
        self._loop, self._number, self._rng = loop, number, random.Random(loop.seed * 1000 + number)
        self.ended = []  # (path, key, the last final, when it was heard, how many tries)

    def run(self):
        serial = 0
        while not self._loop.over:
            serial += 1
            path, key = self._rng.choice(PATHS), f"{self._number}-{serial}"
            began, final, tries = time.monotonic(), "gone", 0
            while final in ("gone", "refused") and time.monotonic() - began < TIME_S:
                tries += 1
                try:
                    final = self._loop.hands.call(self._rng.choice(list(self._loop.hands.fleet.up)), path, key).final()
                except (OSError, KeyError, IndexError, AssertionError):
                    final = "gone"
                if final in ("gone", "refused"):
                    time.sleep(0.05)
            self.ended.append((path, key, final, time.monotonic(), tries))
            time.sleep(0.01)


class Trouble(threading.Thread):
    """What befalls the fleet. One member at most is dead or stopped at a time, so that keeper or origin is left."""

    def __init__(self, loop):
        super().__init__(daemon=True)
        self._loop, self._rng, self.counts = loop, random.Random(loop.seed), Counter()

    def run(self):
        fleet, rng = self._loop.hands.fleet, self._rng
        while not self._loop.over:
            time.sleep(rng.uniform(0.3, 1.0))
            number, what = rng.randrange(COUNT), rng.choice(("kill", "stop", "cut", "one way", "loss", "late"))
            self.counts[what] += 1
            lasts = rng.uniform(0.2, 2.5)
            if what == "kill":
                fleet.kill(number)
                time.sleep(lasts)
                fleet.start(number)
                until(lambda number=number: fleet.up[number].state()["servers"].get("ready") == 3, 30)
            elif what == "stop":
                fleet.signal(number, signal.SIGSTOP)
                time.sleep(lasts)
                fleet.signal(number, signal.SIGCONT)
            else:
                relay, other = fleet.relay, (number + rng.randrange(1, COUNT)) % COUNT
                if what == "cut":
                    relay.cut = lambda a, b, pair={number, other}: {a, b} == pair
                elif what == "one way":
                    relay.cut = lambda a, b, number=number: a == number
                elif what == "loss":
                    relay.loss = relay.twice = 0.3
                else:
                    relay.delay_s = lambda a, b: rng.random() * 0.8
                time.sleep(lasts)
                relay.cut, relay.delay_s = lambda a, b: False, lambda a, b: 0.0
                relay.loss = relay.twice = 0.0


class Loop:
    """One run; `faults` holds what the auditor found, `ends` how many requests of each path ended how."""

    def __init__(self, folder, seconds, seed):
        self.seed, self.over = seed, False
        self.hands = Hands(folder, COUNT, MORE, ready=True, seed=seed)
        try:
            until(lambda: all(each.state()["servers"].get("ready") == 3 for each in self.hands.fleet.up.values()))
            clients, self.trouble = [Client(self, number) for number in range(CLIENTS)], Trouble(self)
            for thread in (*clients, self.trouble):
                thread.start()
            time.sleep(seconds)
            self.over = True
            for thread in (self.trouble, *clients):
                thread.join(60)
            time.sleep(1.0)  # what would run too late runs now
            self.ended = [each for client in clients for each in client.ended]
        finally:
            self.hands.close()
        self.ends = Counter((path, final) for path, _, final, _, _ in self.ended)
        self.faults = list(self._audit())

    def _audit(self):
        workers = self.hands.workers
        for path, key, final, heard, tries in self.ended:
            runs, last = workers.runs[path, key], workers.last.get((path, key), 0.0)
            if path == "/pay" and runs > 1:
                yield f"{path} {key} ran {runs} times ({final}, {tries} tries)"
            if final == "served" and not runs:
                yield f"{path} {key} was served and never ran"
            if final == "refused" and path == "/pay" and runs:
                yield f"{path} {key} was refused and ran"
            if final in ("served", "failed", "refused") and path == "/pay" and last > heard + 0.2:
                yield f"{path} {key} came to a worker {last - heard:.2f} s after its end ({final})"


def main(seconds, seed):
    began, faults, ends, troubles = time.monotonic(), [], Counter(), Counter()
    while time.monotonic() - began < seconds:
        with tempfile.TemporaryDirectory() as folder:
            loop = Loop(pathlib.Path(folder), min(60.0, seconds), seed)
        faults += [f"seed {seed}: {fault}" for fault in loop.faults]
        ends, troubles, seed = ends + loop.ends, troubles + loop.trouble.counts, seed + 1
        print(f"{time.monotonic() - began:.0f} s: {sum(ends.values())} requests, {len(faults)} faults", flush=True)
    print("; ".join(f"{path} {final} {count}" for (path, final), count in sorted(ends.items())))
    print("troubles: " + ", ".join(f"{what} {count}" for what, count in sorted(troubles.items())))
    print("\n".join(faults[:20]))
    print(f"{sum(ends.values()) - len(faults)} passed, {len(faults)} failed")
    return 1 if faults else 0


if __name__ == "__main__":
    sys.exit(main(float(sys.argv[1]), int(sys.argv[2]) if len(sys.argv) > 2 else 1))
