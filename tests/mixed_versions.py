"""`python tests/mixed_versions.py CHECKOUT`: instances of this text and of another checkout in one fleet, under load.

Two fleets of three: one instance of the other text among two of this, and the other way round. In each, an instance of
either text is killed while requests are in flight. Judged are: every instance sees the same members, a customer's
quota holds over the fleet, every request in flight at the kill gets one final answer, and none that must not be
executed twice was. Prints a line a check; exits with 1 if one failed.
"""

import pathlib
import sys
import tempfile
import threading
import time
from collections import Counter

from cluster import MORE, Hands, until

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

    def __init__(self, hands, first, number):
        self.path = PATHS[number % len(PATHS)]
        self.key = f"k{number}"
        self.final = ""
        self._hands = hands
        self._where = first
        self._ends = time.monotonic() + CLIENT_SECONDS
        self.thread = threading.Thread(target=self._run, daemon=True)
        self.thread.start()

    def _run(self):
        while time.monotonic() < self._ends:
            try:
                self.final = self._hands.call(self._where, self.path, self.key).final()
            except (OSError, KeyError, AssertionError):
                self.final = "disconnected"
            if self.final in ("served", "failed"):
                return
            self._where = min(self._hands.fleet.up)
            time.sleep(0.1)


def served_of_limited_customer(hands):
    """Return how many of a customer's requests were served while it asked all instances for far more than its quota."""
    served = Counter()
    ends = time.monotonic() + QUOTA_SECONDS

    def ask(number, thread):
        count = 0
        while time.monotonic() < ends:
            count += 1
            call = hands.call(number, "/look", f"q{number}-{thread}-{count}", customer="tight-key")
            served[call.final()] += 1

    threads = [threading.Thread(target=ask, args=(number, n)) for number in hands.fleet.up for n in range(6)]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()
    return served


def kill_with_requests_in_flight(hands, victim):
    """Kill an instance whose attempts are held at the endpoints, and return its clients when all have ended."""
    before = hands.fleet.up[victim].state()["counts"].get("accepted", 0)
    hands.workers.gate.clear()
    clients = [Client(hands, victim, number) for number in range(IN_FLIGHT)]
    until(lambda: hands.fleet.up[victim].state()["counts"].get("accepted", 0) >= before + IN_FLIGHT)
    time.sleep(0.3)
    hands.fleet.kill(victim)
    hands.workers.gate.set()
    for client in clients:
        client.thread.join()
    return clients


def judge(name, victim, checkouts, checks):
    """Play one fleet and add the outcome of each check, by name."""
    with tempfile.TemporaryDirectory() as folder:
        hands = Hands(pathlib.Path(folder), 3, MORE + LIMITED, ready=True, checkouts=checkouts)
        try:
            until(lambda: all(each.state()["servers"].get("ready") == 3 for each in hands.fleet.up.values()))
            checks[f"{name}: all see three members"] = True  # `Hands` waits for it, and fails without
            served = served_of_limited_customer(hands)
            wanted = BURST + RATE_PER_S * QUOTA_SECONDS
            held = MIN_OF_QUOTA * wanted <= served["served"] <= MAX_OVER_QUOTA * wanted
            checks[f"{name}: quota {wanted:.0f}, served {served['served']} of {served.total()}"] = held
            clients = kill_with_requests_in_flight(hands, victim)
            ends = Counter((client.path, client.final) for client in clients)
            runs = Counter(path for (path, _), times in hands.workers.runs.items() if times > 1 and path != "/look")
            checks[f"{name}: unsafe and keyed requests executed twice {sum(runs.values())}"] = not runs
            others = {end for (path, end) in ends if path in ("/order", "/look") and end != "served"}
            checks[f"{name}: ends {dict(sorted(ends.items()))}"] = not others
            taken = sum(each["counts"].get("taken_over", 0) for each in hands.keepers().values())
            checks[f"{name}: requests taken over {taken}"] = True
            hands.fleet.until(lambda seen: seen.get("alive") == 2 and list(seen["not_alive"]) == [str(victim)])
            checks[f"{name}: the others see the same two members"] = True
        finally:
            hands.close()


def main(checkout):
    """Play the fleets and print each check."""
    checks = {}
    for name, others in (("one of the other text", (0,)), ("two of the other text", (1, 2))):
        for victim in (0, 1):
            text = "the other text" if victim in others else "this text"
            judge(f"{name}, {text} killed", victim, dict.fromkeys(others, checkout), checks)
    for name, passed in checks.items():
        print("passed" if passed else "FAILED", name)
    failed = sum(not passed for passed in checks.values())
    print(f"{len(checks) - failed} passed, {failed} failed")
    return 1 if failed else 0


if __name__ == "__main__":
    sys.exit(main(sys.argv[1]))
