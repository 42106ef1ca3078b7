"""Membership between processes over loopback: time until all members know of a start, a crash and a leave.

    python -m benchmarks.members 24 100 200

Each process has the membership of one member and no other part of a gateway, so that 200 fit on one machine.
"""

import json
import select
import signal
import socket
import subprocess
import sys
import time

from anisefront.cluster.datagrams import DatagramAuthenticator
from anisefront.cluster.membership import Membership

SECRET = b"sixteen bytes at least"
PERIOD_MS = 1000.0


def member(number: int, ports: list[int]) -> None:
    """Run one member until SIGTERM, which makes it leave; print one line for each change of a member's status."""
    link = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
    link.bind(("127.0.0.1", ports[number]))
    process_incarnation, terminated = int(time.time() * 1000), []
    authenticator = DatagramAuthenticator(SECRET, number, process_incarnation)
    membership = Membership(number, process_incarnation, range(len(ports)), process_incarnation ^ number, PERIOD_MS)
    signal.signal(signal.SIGTERM, lambda *_: terminated.append(1))

    def send(messages: list[tuple[int, bytes]]) -> None:
        """Authenticate and send messages to their receivers."""
        for receiver, data in messages:
            link.sendto(authenticator.write(receiver, data, time.time() * 1000), ("127.0.0.1", ports[receiver]))

    while not terminated:
        now = time.time() * 1000
        wait = max(0.0, min(membership.next_timer_ms - now, 1000.0)) / 1000
        ready = select.select([link], (), (), wait)[0]
        received = []
        if ready:
            message = authenticator.read(link.recv(2048), time.time() * 1000)
            if message is not None:
                received.append((message[0], authenticator.peers[message[0]].process_incarnation, message[1]))
        send(membership.handle(time.time() * 1000, received))
        for change in membership.changes:
            print(json.dumps([time.time(), number, change.row.number, change.row.status.name]))
        sys.stdout.flush()
        membership.changes.clear()
    send(membership.leave())


class Fleet:
    """Processes of one member each; their status changes are read from their output files."""

    def __init__(self, count: int, folder: str) -> None:
        reserved_sockets = [socket.socket(socket.AF_INET, socket.SOCK_DGRAM) for _ in range(count)]
        for link in reserved_sockets:
            link.bind(("127.0.0.1", 0))
        self.ports = [link.getsockname()[1] for link in reserved_sockets]
        for link in reserved_sockets:
            link.close()
        self.folder, self.running = folder, {}

    def start(self, number: int) -> None:
        """Start the process of one member."""
        out = open(f"{self.folder}/{number}", "a")
        self.running[number] = subprocess.Popen(
            [sys.executable, "-m", "benchmarks.members", "member", str(number), json.dumps(self.ports)], stdout=out
        )

    def statuses(self) -> dict[tuple[int, int], tuple[float, str]]:
        """Return the last status that each process reported of each member, with its time."""
        last = {}
        for number in self.running:
            for line in open(f"{self.folder}/{number}"):
                at, reporter, subject, status = json.loads(line)
                last[reporter, subject] = (at, status)
        return last

    def wait_for_status(self, subject: int, expected: str, timeout_s: float = 120.0) -> float:
        """Wait until all running processes report a status of one member; return the time, infinity on timeout."""
        end = time.time() + timeout_s
        while time.time() < end:
            statuses = self.statuses()
            views = [statuses.get((number, subject), (0.0, "")) for number in self.running if number != subject]
            if all(status == expected for _, status in views):
                return max(at for at, _ in views)
            time.sleep(0.5)
        return float("inf")


def measure(count: int, folder: str) -> dict[str, float]:
    """Return the times in seconds, and how often a running member was declared dead."""
    fleet = Fleet(count, folder)
    for number in range(1, count):
        fleet.start(number)
    time.sleep(20 + count / 10)
    began = time.time()
    fleet.start(0)
    found = {"members": count, "start_s": fleet.wait_for_status(0, "ALIVE") - began}
    time.sleep(30)
    false_positives = sum(status == "DEAD" for _, status in fleet.statuses().values())
    fleet.running.pop(1).kill()
    began = time.time()
    found["death_s"] = fleet.wait_for_status(1, "DEAD") - began
    leaver = fleet.running.pop(2)
    began = time.time()
    leaver.terminate()
    found["leave_s"] = fleet.wait_for_status(2, "LEFT") - began
    for each in fleet.running.values():
        each.terminate()
    for each in fleet.running.values():
        each.wait()
    return {**found, "falsely_out": false_positives}


def main() -> None:
    """Print one row of the table for each number of members."""
    import tempfile

    print("| members | all know of a start, s | of a crash, s | of a leave, s | running ones declared dead |")
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
