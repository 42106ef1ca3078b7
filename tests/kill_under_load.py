"""Many requests in hand at a gatekeeper that is killed, a few connections of clients, and usual clients beside them."""

import json
import random
import socket
import threading
import time
from collections import Counter

from cluster import Hands, until

PATHS = ("/pay", "/order", "/look")
LINKS = 6  # connections; a front takes 1,024 calls that wait on each
TIME_S = 8.0


def line(number, path, key):
    params = {
        "method": "GET" if path == "/look" else "POST",
        "path": path,
        "body": "",
        "headers": {"x-api-key": "stall-7", "x-idempotency-key": key},
    }
    return json.dumps({"jsonrpc": "2.0", "id": number, "method": "call", "params": params}).encode() + b"\n"


def final(answer):
    """Which it was: "served", "refused" or "failed"."""
    return "served" if "result" in answer else answer["error"].get("data", {}).get("final", "failed")


class Crowd:
    """Requests `numbers`, each with a name of its own, asked on one connection at a time until each has an end that
    says not to come again; their ends are in `ends`."""

    def __init__(self, hands, numbers, seed):
        self._hands, self._left, self._rng = hands, dict.fromkeys(numbers), random.Random(seed)
        self.ends, self.ended = {}, {}  # the final answers, and when they came
        self._until = time.monotonic() + TIME_S
        self._thread = threading.Thread(target=self._work, daemon=True)
        self._thread.start()

    def _work(self):
        where = 0
        while self._left and time.monotonic() < self._until:
            try:
                self._ask(self._hands.fleet.up[where].where["jsonrpc"])
            except (OSError, KeyError, ValueError):
                pass
            where = self._rng.choice([number for number in self._hands.fleet.up if number])
            time.sleep(0.1)

    def _ask(self, address):
        with socket.create_connection(address.split(":"), 5) as link:
            link.settimeout(max(0.1, self._until - time.monotonic()))
            link.sendall(b"".join(line(n, PATHS[n % 3], f"k{n}") for n in self._left))
            due = len(self._left)
            for said in link.makefile():
                answer, due = json.loads(said), due - 1
                end = final(answer)
                if end != "refused":
                    self.ends[answer["id"]] = end
                    self.ended[answer["id"]] = time.monotonic()
                    del self._left[answer["id"]]
                if not due:
                    return

    def join(self):
        self._thread.join(TIME_S + 10)


class Usual:
    """A client of one gatekeeper that asks for something small all the time; `ends` and `waits` of its calls."""

    def __init__(self, hands, where):
        self._hands, self._where, self.over = hands, where, False
        self.ends, self.waits = Counter(), []
        self._thread = threading.Thread(target=self._work, daemon=True)
        self._thread.start()

    def _work(self):
        number = 0
        while not self.over:
            number, began = number + 1, time.monotonic()
            call = self._hands.call(self._where, "/look", f"usual-{self._where}-{number}", customer="usual")
            self.ends[call.final()] += 1
            self.waits.append((began, time.monotonic() - began))
            time.sleep(0.02)

    def join(self):
        self.over = True
        self._thread.join(20)


def played(folder, count, more, gatekeepers=6, seed=1):
    """Kill one of the gatekeepers with `count` requests in hand: what became of them, and of others' beside."""
    hands = Hands(folder, gatekeepers, more, ready=True, seed=seed)
    hands.workers.passes = lambda key: key.startswith("usual")
    try:
        until(lambda: all(each.state()["servers"].get("ready") == 3 for each in hands.fleet.up.values()))
        hands.workers.gate.clear()
        usual = [Usual(hands, number) for number in range(1, gatekeepers)]
        crowds = [Crowd(hands, range(n, count, LINKS), seed + n) for n in range(LINKS)]
        until(lambda: hands.fleet.up[0].state()["counts"].get("accepted", 0) >= count, 30)
        time.sleep(0.4)  # what was announced is known
        process = hands.fleet.up[0].state()["life"]
        kept = sum(each["kept_for_others"] for number, each in hands.keepers().items() if number)
        hands.fleet.kill(0)
        killed = time.monotonic()
        hands.workers.gate.set()
        for each in (*crowds, *usual):
            each.join()
        ends = {number: end for crowd in crowds for number, end in crowd.ends.items()}
        ended = {number: at for crowd in crowds for number, at in crowd.ended.items()}
        runs = hands.workers.runs

        def stood(number):
            """Where a request was at the kill: answered, "out" if the killed process's attempt had left, or "held"."""
            if ended.get(number, killed) < killed:
                return "answered"
            senders = hands.workers.senders.get((PATHS[number % 3], f"k{number}"), ())
            return "out" if process in senders else "held"

        return {
            "ends": Counter((PATHS[n % 3], stood(n), ends.get(n, "none")) for n in range(count)),
            "twice": sum(times > 1 for (path, _), times in runs.items() if path == "/pay"),
            "kept": kept,
            "full": sum(hands.count(number, "full") for number in hands.fleet.up),
            "taken_over": sum(hands.count(number, "taken_over") for number in hands.fleet.up),
            "usual": sum((each.ends for each in usual), Counter()),
            "usual_ms": [
                sorted(1000 * took for each in usual for began, took in each.waits if (began > killed) is late)
                for late in (False, True)
            ],
        }
    finally:
        hands.close()
