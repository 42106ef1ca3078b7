"""Clients that send commands without a break, each on one connection, in a process of their own.

    python -m anisefront.testbed.stream_flood PORT KIND CLIENTS SECONDS

The replies are read meanwhile, and not waited for. Prints how many lines of replies came. Kinds: `ping`; `nameless`,
commands with an empty name, the shortest there are; `unknown`, requests of no class; `new-customers`, requests that can
be served, each of a customer that comes only once.
"""

from __future__ import annotations

import contextlib
import random
import socket
import sys
import threading
import time

from anisefront.resp_gateway.resp_codec import encode_command

COMMANDS_AT_ONCE = 500
READ_BYTES = 1 << 16
CONSTANT_COMMANDS = {"ping": [b"PING"], "nameless": [b""]}
TERMS = {"unknown": b"c=none,t=rated,d=500,units=1", "new-customers": b"c=look,t=rated,d=900,units=1"}


def encode_batch(kind: str) -> bytes:
    """Encode some commands of a kind, those that carry names under new ones."""
    if kind in CONSTANT_COMMANDS:
        return encode_command(CONSTANT_COMMANDS[kind]) * COMMANDS_AT_ONCE
    terms = TERMS[kind] + b",spread=1,first=0"
    return b"".join(
        encode_command([b"Q.ASK", b"%016x" % random.getrandbits(33), b"%016x" % random.getrandbits(64), terms])
        for _ in range(COMMANDS_AT_ONCE)
    )


class StreamClient:
    """One client; `answered` counts the lines that it has read."""

    def __init__(self, port: int, kind: str, until_s: float) -> None:
        """Connect to a port of the loopback address, to send until a time of the monotonic clock."""
        self.answered = 0
        self._kind = kind
        self._until_s = until_s
        self._socket = socket.create_connection(("127.0.0.1", port))
        self._threads = [threading.Thread(target=each, daemon=True) for each in (self._send, self._read)]

    def start(self) -> None:
        """Begin to send and to read."""
        for thread in self._threads:
            thread.start()

    def _send(self) -> None:
        batch = encode_batch(self._kind)
        with contextlib.suppress(OSError):
            while time.monotonic() < self._until_s:
                self._socket.sendall(batch)
                if self._kind not in CONSTANT_COMMANDS:
                    batch = encode_batch(self._kind)

    def _read(self) -> None:
        with contextlib.suppress(OSError):
            while data := self._socket.recv(READ_BYTES):
                self.answered += data.count(b"\n")


def main() -> None:
    """Flood a port for a time, by the command line."""
    port, kind, clients, seconds = sys.argv[1:]
    until_s = time.monotonic() + float(seconds)
    flooding = [StreamClient(int(port), kind, until_s) for _ in range(int(clients))]
    for client in flooding:
        client.start()
    time.sleep(float(seconds))
    print(sum(client.answered for client in flooding))


if __name__ == "__main__":
    main()
