"""UDP relay in front of the peer ports of the real gateways: counts their datagrams and isolates a zone on command.

Counting in the relay leaves the gateways unchanged; what they send is counted at the receiver.
"""

from __future__ import annotations

import json
import select
import socket
import sys

from benchmarks.scale import child, counting
from benchmarks.scale.files import ZONES


def crosses(isolated_zone: int | None, sender: int, receiver: int) -> bool:
    """Return whether a datagram enters or leaves the isolated zone."""
    return isolated_zone is not None and (sender % ZONES == isolated_zone) != (receiver % ZONES == isolated_zone)


def bind_loopback() -> socket.socket:
    """Return a UDP socket on a free loopback port, with a receive buffer for bursts."""
    link = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
    link.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4 << 20)
    link.bind(("127.0.0.1", 0))
    return link


def main() -> None:
    """Relay datagrams and answer the commands of the parent until it closes the pipe."""
    targets: dict[int, int] = {int(number): port for number, port in child.task()["targets"].items()}
    sockets = {bind_loopback(): number for number in targets}
    outgoing, tally, isolated_zone, buffer = bind_loopback(), counting.Tally(), None, b""
    child.send_to_parent({"ports": {number: link.getsockname()[1] for link, number in sockets.items()}})
    commands = sys.stdin.buffer.raw
    while True:
        for ready in select.select([commands, *sockets], (), (), 1.0)[0]:
            if ready is commands:
                data = commands.read(1 << 16)
                if not data:
                    return
                *lines, buffer = (buffer + data).split(b"\n")
                for line in lines:
                    command = json.loads(line)
                    if command["do"] == "cut":
                        isolated_zone = command["zone"]
                    child.send_to_parent({"counts": tally.plain()})
                continue
            datagram, receiver = ready.recv(4096), sockets[ready]
            sender, _ = counting.ends(datagram)
            if crosses(isolated_zone, sender, receiver):
                continue
            tally.count(receiver, "in", datagram)
            if sender in targets:
                tally.count(sender, "out", datagram)
            try:
                outgoing.sendto(datagram, ("127.0.0.1", targets[receiver]))
            except OSError:
                pass  # the receiver's port is closed while it restarts


if __name__ == "__main__":
    main()
