"""Stands before the peer ports of the real gatekeepers: counts what they are sent, and cuts a zone off on command.

Counting here changes nothing of the program; what they send is counted where it arrives.
"""

from __future__ import annotations

import json
import select
import socket
import sys

from benchmarks.scale import child, counting
from benchmarks.scale.files import ZONES


def crosses(cut: int | None, sender: int, receiver: int) -> bool:
    """Whether a datagram goes in or out of the zone that is cut off."""
    return cut is not None and (sender % ZONES == cut) != (receiver % ZONES == cut)


def bound() -> socket.socket:
    link = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
    link.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4 << 20)
    link.bind(("127.0.0.1", 0))
    return link


def main() -> None:
    targets: dict[int, int] = {int(number): port for number, port in child.task()["targets"].items()}
    links = {bound(): number for number in targets}
    way_out, tally, cut, rest = bound(), counting.Tally(), None, b""
    child.say({"ports": {number: link.getsockname()[1] for link, number in links.items()}})
    commands = sys.stdin.buffer.raw
    while True:
        for ready in select.select([commands, *links], (), (), 1.0)[0]:
            if ready is commands:
                data = commands.read(1 << 16)
                if not data:
                    return
                *lines, rest = (rest + data).split(b"\n")
                for line in lines:
                    told = json.loads(line)
                    if told["do"] == "cut":
                        cut = told["zone"]
                    child.say({"counts": tally.plain()})
                continue
            datagram, receiver = ready.recv(4096), links[ready]
            sender, _ = counting.ends(datagram)
            if crosses(cut, sender, receiver):
                continue
            tally.take(receiver, "in", datagram)
            if sender in targets:
                tally.take(sender, "out", datagram)
            try:
                way_out.sendto(datagram, ("127.0.0.1", targets[receiver]))
            except OSError:
                pass  # its port is closed: it is away


if __name__ == "__main__":
    main()
