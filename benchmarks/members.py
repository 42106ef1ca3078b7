"""Membership alone, by processes over loopback: time until all know of a start, a death and a leave.

    python -m benchmarks.members 24 100 200

Each process holds the membership of one number and nothing else of a gatekeeper, so that 200 fit on one machine."""

import json
import select
import signal
import socket
import subprocess
import sys
import time

from anisefront.cluster.datagrams import DatagramAuthenticator
from anisefront.cluster.membership import Membership

SECRET, PERIOD_MS = b"sixteen bytes at least", 1000.0


def member(number: int, ports: list[int]) -> None:
    """One member until SIGTERM, which makes it leave; writes a line for each change."""
    link = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
    link.bind(("127.0.0.1", ports[number]))
    life, ended = int(time.time() * 1000), []
    seal = DatagramAuthenticator(SECRET, number, life)
    known = Membership(number, life, range(len(ports)), life ^ number, PERIOD_MS)
    signal.signal(signal.SIGTERM, lambda *_: ended.append(1))

    def send(out: list[tuple[int, bytes]]) -> None:
        for receiver, data in out:
            link.sendto(seal.write(receiver, data, time.time() * 1000), ("127.0.0.1", ports[receiver]))

    while not ended:
        now = time.time() * 1000
        wait = max(0.0, min(known.next_timer_ms - now, 1000.0)) / 1000
        ready = select.select([link], (), (), wait)[0]
        heard = []
        if ready:
            taken = seal.read(link.recv(2048), time.time() * 1000)
            if taken is not None:
                heard.append((taken[0], seal.peers[taken[0]].process_incarnation, taken[1]))
        send(known.handle(time.time() * 1000, heard))
        for change in known.changes:
            print(json.dumps([time.time(), number, change.row.number, change.row.status.name]))
        sys.stdout.flush()
        known.changes.clear()
    send(known.leave())


class Fleet:
    """Processes of one member each; what they say is read from their files."""

    def __init__(self, count: int, folder: str) -> None:
        spare = [socket.socket(socket.AF_INET, socket.SOCK_DGRAM) for _ in range(count)]
        for link in spare:
            link.bind(("127.0.0.1", 0))
        self.ports = [link.getsockname()[1] for link in spare]
        for link in spare:
            link.close()
        self.folder, self.up = folder, {}

    def start(self, number: int) -> None:
        out = open(f"{self.folder}/{number}", "a")
        self.up[number] = subprocess.Popen(
            [sys.executable, "-m", "benchmarks.members", "member", str(number), json.dumps(self.ports)], stdout=out
        )

    def said(self) -> dict[tuple[int, int], tuple[float, str]]:
        """What each says of each last, and since when."""
        last = {}
        for number in self.up:
            for line in open(f"{self.folder}/{number}"):
                at, who, about, status = json.loads(line)
                last[who, about] = (at, status)
        return last

    def until(self, about: int, wanted: str, most_s: float = 120.0) -> float:
        """The moment from which all that are up said so of one member."""
        end = time.time() + most_s
        while time.time() < end:
            said = self.said()
            views = [said.get((number, about), (0.0, "")) for number in self.up if number != about]
            if all(status == wanted for _, status in views):
                return max(at for at, _ in views)
            time.sleep(0.5)
        return float("inf")


def measure(count: int, folder: str) -> dict[str, float]:
    """The times in seconds, and how often one that was up was taken for out."""
    fleet = Fleet(count, folder)
    for number in range(1, count):
        fleet.start(number)
    time.sleep(20 + count / 10)
    began = time.time()
    fleet.start(0)
    found = {"members": count, "start_s": fleet.until(0, "ALIVE") - began}
    time.sleep(30)
    false = sum(status == "DEAD" for _, status in fleet.said().values())
    fleet.up.pop(1).kill()
    began = time.time()
    found["death_s"] = fleet.until(1, "DEAD") - began
    leaver = fleet.up.pop(2)
    began = time.time()
    leaver.terminate()
    found["leave_s"] = fleet.until(2, "LEFT") - began
    for each in fleet.up.values():
        each.terminate()
    for each in fleet.up.values():
        each.wait()
    return {**found, "falsely_out": false}


def main() -> None:
    import tempfile

    print("| members | all know of a start, s | of a death, s | of a leave, s | taken for out and up |")
    print("| --- | --- | --- | --- | --- |")
    for count in map(int, sys.argv[1:]):
        with tempfile.TemporaryDirectory() as folder:
            found = measure(count, folder)
        print(
            f"| {count} | {found['start_s']:.1f} | {found['death_s']:.1f} | {found['leave_s']:.2f} | "
            f"{found['falsely_out']} |",
            flush=True,
        )


if __name__ == "__main__":
    if sys.argv[1] == "member":
        member(int(sys.argv[2]), json.loads(sys.argv[3]))
    else:
        main()
