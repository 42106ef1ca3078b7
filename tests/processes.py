"""Several gatekeepers as processes, with a relay between them that cuts, loses, doubles and delays their datagrams."""

import heapq
import random
import select
import socket
import threading
import time
from concurrent.futures import ThreadPoolExecutor

from test_path import ROOT, Running

SETTINGS = """language 2
gatekeeper {number} of {count} zone room-{room}
listen grpc 127.0.0.1:0
listen jsonrpc 127.0.0.1:0
listen peers 127.0.0.1:{port}
secret "sixteen bytes at least"
pool main {pool}
class view aim 1s deadline 5s repeat safe
quota wide rate 1000000/s burst 1000000
plan wide quota wide
customers header x-api-key plan wide
route GET /stock-view class view pool main
{routes}
drain 1s
{more}
{peers}
"""


class Relay:
    """One port for each gatekeeper; what is sent to it goes on to its own. Its faults are set as it runs."""

    def __init__(self, targets, seed):
        self.rng, self.targets = random.Random(seed), targets
        self.cut = lambda sender, receiver: False
        self.loss = self.twice = 0.0
        self.delay_s = lambda sender, receiver: 0.0
        self._later = []  # what is under way: when, a serial, to whom, what
        self.links = [self._bound() for _ in targets]
        self.ports = [link.getsockname()[1] for link in self.links]
        self._over = False
        self._thread = threading.Thread(target=self._work, daemon=True)
        self._thread.start()

    @staticmethod
    def _bound():
        link = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        link.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4 << 20)
        link.bind(("127.0.0.1", 0))
        return link

    def _work(self):
        serial = 0
        while not self._over:
            now = time.monotonic()
            while self._later and self._later[0][0] <= now:
                _, _, receiver, data = heapq.heappop(self._later)
                self._pass_on(receiver, data)
            wait = min(0.05, self._later[0][0] - now) if self._later else 0.05
            for link in select.select(self.links, (), (), max(0.0, wait))[0]:
                try:
                    receiver, data = self.links.index(link), link.recv(2048)
                except OSError:
                    continue  # a port before was closed, and the kernel says so here
                sender = int.from_bytes(data[1:3], "big")
                if self.cut(sender, receiver) or self.rng.random() < self.loss:
                    continue
                for _ in range(1 + (self.rng.random() < self.twice)):
                    delay_s = self.delay_s(sender, receiver)
                    if delay_s:
                        serial += 1
                        heapq.heappush(self._later, (time.monotonic() + delay_s, serial, receiver, data))
                    else:
                        self._pass_on(receiver, data)

    def _pass_on(self, receiver, data):
        try:
            self.links[receiver].sendto(data, ("127.0.0.1", self.targets[receiver]))
        except OSError:
            pass

    def close(self):
        self._over = True
        self._thread.join()
        for link in self.links:
            link.close()


class Fleet:
    """`count` gatekeepers of one fleet, in two rooms by turns. `more`, `routes`: further lines of their settings.

    `checkouts`: by number, the folder of another version of the program that an instance runs."""

    def __init__(self, folder, count, more="", seed=1, pool="embedded 2", routes="", checkouts=None):
        self.checkouts = checkouts or {}
        spare = [Relay._bound() for _ in range(count)]
        ports = [link.getsockname()[1] for link in spare]
        for link in spare:
            link.close()
        self.relay = Relay(ports, seed)
        peers = "\n".join(
            f"peer {n} 127.0.0.1:{port} zone room-{'ab'[n % 2]}" for n, port in enumerate(self.relay.ports)
        )
        self.files, self.up = [], {}
        for number, port in enumerate(ports):
            file = folder / f"{number}.conf"
            file.write_text(
                SETTINGS.format(
                    number=number,
                    count=count,
                    room="ab"[number % 2],
                    port=port,
                    more=more,
                    peers=peers,
                    pool=pool,
                    routes=routes,
                )
            )
            self.files.append(file)
        with ThreadPoolExecutor(count) as pool:
            list(pool.map(self.start, range(count)))

    def start(self, number):
        self.up[number] = Running(self.files[number], checkout=self.checkouts.get(number, ROOT))

    def kill(self, number):
        gone = self.up.pop(number)
        gone.process.kill()
        gone.process.wait()
        gone.channel.close()

    def signal(self, number, what):
        self.up[number].process.send_signal(what)

    def members(self, numbers=None):
        return {
            number: each.state()["members"]
            for number, each in sorted(self.up.items())
            if numbers is None or number in numbers
        }

    def until(self, what, numbers=None, seconds=40.0):
        """Poll until `what` holds of each one's view of the members; the time it took."""
        began = time.monotonic()
        while not all(map(what, (seen := self.members(numbers)).values())):
            assert time.monotonic() - began < seconds, seen
            time.sleep(0.05)
        return time.monotonic() - began

    def close(self):
        for number in list(self.up):
            self.kill(number)
        self.relay.close()
