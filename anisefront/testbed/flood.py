"""Clients of an instance that flood it, in a process of their own.

    python -m anisefront.testbed.flood PORT KIND CLIENTS COMMANDS SECONDS

Each client sends COMMANDS commands at once, reads the replies, and sends again: on the same connection, or on a new one
where the kind has "-reconnect" at its end. It prints how many commands were answered, and how many of them were served.
"""

from __future__ import annotations

import asyncio
import contextlib
import json
import random
import sys

from anisefront.resp_gateway.resp_codec import encode_command

RECONNECT = "-reconnect"
TERMS = {"invalid": b"c=none,t=rated,d=5000,units=1", "valid": b"c=look,t=rated,d=1000,units=1"}


def encode_commands(kind: str, count: int) -> bytes:
    """Encode commands of a kind: PINGs, requests of no class (`invalid`), or requests that can be served (`valid`).

    The kind `jsonrpc` is calls of JSON-RPC without a route, for the port of that protocol.
    """
    if kind == "ping":
        return encode_command([b"PING"]) * count
    if kind == "jsonrpc":
        params = {"method": "GET", "path": "/no/such/route", "headers": {"x-api-key": "k"}}
        line = {"jsonrpc": "2.0", "id": 1, "method": "call", "params": params}
        return (json.dumps(line).encode() + b"\n") * count
    terms = TERMS[kind] + b",spread=1,first=0"
    return b"".join(
        encode_command([b"Q.ASK", b"%016x" % random.getrandbits(33), b"%016x" % random.getrandbits(64), terms])
        for _ in range(count)
    )


class FloodClient:
    """One client; `answered` counts its replies, `served` those with a value."""

    def __init__(self, port: int, kind: str, commands: int) -> None:
        """Send to a port of the loopback address."""
        self.answered = 0
        self.served = 0
        self._port = port
        self._reconnects = kind.endswith(RECONNECT)
        self._commands = commands
        self._data = encode_commands(kind.removesuffix(RECONNECT), commands)

    async def run(self) -> None:
        """Send again and again, on a new connection after each end."""
        while True:
            with contextlib.suppress(OSError):
                reader, writer = await asyncio.open_connection("127.0.0.1", self._port)
                try:
                    while await self._exchange(reader, writer) and not self._reconnects:
                        pass
                finally:
                    writer.close()
            await asyncio.sleep(0)

    async def _exchange(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> bool:
        """Send all commands and read their replies; return whether all came before the end of the connection."""
        writer.write(self._data)
        missing = self._commands
        while missing > 0:
            data = await reader.read(65536)
            if not data:
                return False
            values = data.count(b"$")  # begins the first line of a value, which has two
            replies = data.count(b"\n") - values
            missing -= replies
            self.answered += replies
            self.served += values
        return True


async def flood(port: int, kind: str, clients: int, commands: int, seconds: float) -> tuple[int, int]:
    """Run clients for a time and return how many commands were answered, and how many of them were served."""
    running = [FloodClient(port, kind, commands) for _ in range(clients)]
    tasks = [asyncio.ensure_future(client.run()) for client in running]
    await asyncio.wait(tasks, timeout=seconds)
    for task in tasks:
        task.cancel()
    return sum(client.answered for client in running), sum(client.served for client in running)


if __name__ == "__main__":
    port, kind, clients, commands, seconds = sys.argv[1:]
    print(*asyncio.run(flood(int(port), kind, int(clients), int(commands), float(seconds))))
