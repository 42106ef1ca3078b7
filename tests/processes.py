"""Several gateway instances as processes, and a relay for their datagrams that can block, lose, duplicate and delay."""

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
    """Datagram relay with one port for each instance, which forwards to the instance's own port.

    Its faults are attributes that a test sets at any time.
    """

    def __init__(self, targets, seed):
        self.rng, self.targets = random.Random(seed), targets
        self.is_blocked = lambda sender, receiver: False
        self.loss_rate = self.duplication_rate = 0.0
        self.delay_s = lambda sender, receiver: 0.0
        self._delayed = []  # heap of delayed datagrams: due time, serial number, receiver, data
        self.sockets = [self.bound_socket() for _ in targets]
        self.ports = [sock.getsockname()[1] for sock in self.sockets]
        self._is_closed = False
        self._thread = threading.Thread(target=self._run, daemon=True)
        self._thread.start()

    @staticmethod
    def bound_socket():
        """Return a datagram socket bound to a free port."""
        sock = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4 << 20)
        sock.bind(("127.0.0.1", 0))
        return sock

    def _run(self):
        serial = 0
        while not self._is_closed:
            now = time.monotonic()
            while self._delayed and self._delayed[0][0] <= now:
                _, _, receiver, data = heapq.heappop(self._delayed)
                self._forward(receiver, data)
            wait = min(0.05, self._delayed[0][0] - now) if self._delayed else 0.05
            for sock in select.select(self.sockets, (), (), max(0.0, wait))[0]:
                try:
                    receiver, data = self.sockets.index(sock), sock.recv(2048)
                except OSError:
                    continue  # an earlier datagram met a closed port; the kernel reports it here
                sender = int.from_bytes(data[1:3], "big")
                if self.is_blocked(sender, receiver) or self.rng.random() < self.loss_rate:
                    continue
                for _ in range(1 + (self.rng.random() < self.duplication_rate)):
                    delay_s = self.delay_s(sender, receiver)
                    if delay_s:
                        serial += 1
                        heapq.heappush(self._delayed, (time.monotonic() + delay_s, serial, receiver, data))
                    else:
                        self._forward(receiver, data)

    def _forward(self, receiver, data):
        try:
            self.sockets[receiver].sendto(data, ("127.0.0.1", self.targets[receiver]))
        except OSError:
            pass

    def close(self):
        """Stop the thread and close the ports."""
        self._is_closed = True
        self._thread.join()
        for sock in self.sockets:
            sock.close()


class GatewayProcesses:
    """`count` gateway instances, alternating between two zones.

    `extra_settings` and `routes` are further lines of their settings. `checkouts` holds, by number, the folder of
    another version of the program that an instance runs.
    """

    def __init__(self, folder, count, extra_settings="", seed=1, pool="embedded 2", routes="", checkouts=None):
        self.checkouts = checkouts or {}
        reserved = [Relay.bound_socket() for _ in range(count)]
        ports = [sock.getsockname()[1] for sock in reserved]
        for sock in reserved:
            sock.close()
        self.relay = Relay(ports, seed)
        peers = "\n".join(
            f"peer {n} 127.0.0.1:{port} zone room-{'ab'[n % 2]}" for n, port in enumerate(self.relay.ports)
        )
        self.files, self.running = [], {}
        for number, port in enumerate(ports):
            file = folder / f"{number}.conf"
            file.write_text(
                SETTINGS.format(
                    number=number,
                    count=count,
                    room="ab"[number % 2],
                    port=port,
                    more=extra_settings,
                    peers=peers,
                    pool=pool,
                    routes=routes,
                )
            )
            self.files.append(file)
        with ThreadPoolExecutor(count) as pool:
            list(pool.map(self.start, range(count)))

    def start(self, number):
        """Start an instance and wait until it listens."""
        self.running[number] = Running(self.files[number], checkout=self.checkouts.get(number, ROOT))

    def kill(self, number):
        """Kill an instance with SIGKILL and wait for its exit."""
        gateway = self.running.pop(number)
        gateway.process.kill()
        gateway.process.wait()
        gateway.channel.close()

    def signal(self, number, signal_number):
        """Send a signal to an instance."""
        self.running[number].process.send_signal(signal_number)

    def members(self, numbers=None):
        """Return the view of the members of each running instance, or of those with these numbers."""
        return {
            number: each.state()["members"]
            for number, each in sorted(self.running.items())
            if numbers is None or number in numbers
        }

    def wait_for_members(self, condition, numbers=None, seconds=40.0):
        """Poll until `condition` holds of each instance's view of the members; return the seconds that it took."""
        started_s = time.monotonic()
        while not all(map(condition, (seen := self.members(numbers)).values())):
            assert time.monotonic() - started_s < seconds, seen
            time.sleep(0.05)
        return time.monotonic() - started_s

    def close(self):
        """Kill all instances and close the relay."""
        for number in list(self.running):
            self.kill(number)
        self.relay.close()
