"""Requests of usual clients beside floods, and commands a second, of one instance on the RESP platform.

    python -m benchmarks.floods [--before FOLDER] [--clients 100 300 600] [--kinds ...] [--seconds 6]

FOLDER is a checkout of another revision, which is measured in the same run. Twenty usual clients send a request a
second each, with a deadline of a second, on connections that they keep. `late` counts replies that came half a second
after the deadline or later, `longest_ms` is the longest wait for a reply. The flooding clients are those of
`anisefront.testbed.flood`; a kind has the commands that each of them sends at once behind its colon.
"""

from __future__ import annotations

import argparse
import asyncio
import contextlib
import json
import os
import socket
import subprocess
import sys
import tempfile
import time
from pathlib import Path
from typing import Any

from anisefront.resp_gateway.resp_codec import CommandReader, encode_bulk, encode_command

USUAL_CLIENTS = 20
DEADLINE_S = 1.0
LATE_S = DEADLINE_S + 0.5
WORK_S = 0.02
HEARTBEAT_S = 2.0  # of a watch while nothing changes
TERMS = b"c=look,t=rated,d=1000,units=1,spread=1,first=0"
KINDS = (
    "invalid:300",
    "invalid-reconnect:300",
    "valid:300",
    "valid-reconnect:300",
    "ping:30000",
    "ping:200",
)  # at once


class WorkerConnection(asyncio.Protocol):
    """A worker's connection: each command is served after `WORK_S`."""

    def connection_made(self, transport: Any) -> None:
        """Start without received bytes."""
        self._transport = transport
        self._reader = CommandReader()

    def data_received(self, data: bytes) -> None:
        """Serve the commands that are complete."""
        for parts in self._reader.feed(data):
            asyncio.get_running_loop().call_later(WORK_S, self._answer, parts[2])

    def _answer(self, request_id: bytes) -> None:
        self._transport.write(b"*3\r\n" + encode_bulk(b"value " + request_id) + b"$-1\r\n" + encode_bulk(b"util=0.2"))


class DiscoveryConnection(asyncio.Protocol):
    """A watch of discovery, whose list does not change."""

    def __init__(self, known: dict[str, Any]) -> None:
        """Answer with this list."""
        self._known = known

    def connection_made(self, transport: Any) -> None:
        """Start without a request."""
        self._transport = transport

    def data_received(self, data: bytes) -> None:
        """Answer the request, which comes in one piece."""
        self._transport.write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
        self._send_line(json.dumps(self._known).encode())
        self._send_heartbeat()

    def _send_heartbeat(self) -> None:
        if not self._transport.is_closing():
            self._send_line(b"")
            asyncio.get_running_loop().call_later(HEARTBEAT_S, self._send_heartbeat)

    def _send_line(self, line: bytes) -> None:
        self._transport.write(b"%x\r\n%b\n\r\n" % (len(line) + 1, line))


def free_port() -> int:
    """Return a port that is free now."""
    with socket.socket() as sock:
        sock.bind(("127.0.0.1", 0))
        return sock.getsockname()[1]


def endpoint_list(worker_port: int) -> dict[str, Any]:
    """Return discovery's list of one worker."""
    endpoint = {"name": "s1", "address": f"127.0.0.1:{worker_port}", "zone": "a", "type": "m", "group": 0}
    endpoint |= {"status": "active", "weight": 1.0, "since_ms": 0}
    return {"index": 1, "snapshot": True, "endpoints": [endpoint]}


def configuration(port: int, discovery_port: int, known: dict[str, Any]) -> dict[str, Any]:
    """Return the configuration of an instance that is alone and has one worker."""
    look = {"name": "look", "aimMs": 750.0, "deadlineMs": 2000.0, "worth": 3.0, "repeat": "retryable"}
    return {
        "name": "n0",
        "listen": f"127.0.0.1:{port}",
        "discovery": f"127.0.0.1:{discovery_port}",
        "seed": "1",
        "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 2048},
        "peers": [],
        "known": known,
        "settings": {
            "balancers": 1,
            "myNumber": 0,
            "locality": "a",
            "classes": [look],
            "packages": [{"name": "rated", "perSecond": 5000.0, "storeSize": 5000.0}],
            "rules": {"warmUpMs": 1000.0, "coldFrom": 0.5, "fallMultiple": 4.0, "tipAfterMs": 2000.0},
            "limits": {"maxAttempts": 6, "cancel": True, "secondCopies": True, "connIdleMs": 15000.0}
            | {"dialTimeoutMs": 333.0, "mayTell": True, "retryAfter": True, "maxRetryAfterMs": 1000.0},
            "domain": {"maxUnits": 4.0, "inboxPerS": 60.0},
            "report": {"how": "answers", "fields": ["util"]},
        },
    }


class UsualClient:
    """A client that sends a request a second; `waits_s` has the time until each reply."""

    def __init__(self, number: int, port: int) -> None:
        """Connect at the first request."""
        self.waits_s: list[float] = []
        self.served = 0
        self._number, self._port, self._sent = number, port, 0
        self._streams: tuple[asyncio.StreamReader, asyncio.StreamWriter] | None = None

    async def run(self, until_s: float) -> None:
        """Send until a time of the monotonic clock."""
        await asyncio.sleep(self._number / USUAL_CLIENTS)
        while time.monotonic() < until_s:
            started_s = time.monotonic()
            with contextlib.suppress(OSError, asyncio.IncompleteReadError):
                await self._ask(started_s)
            await asyncio.sleep(max(0.0, started_s + 1.0 - time.monotonic()))

    async def _ask(self, started_s: float) -> None:
        if self._streams is None:
            self._streams = await asyncio.open_connection("127.0.0.1", self._port)
        reader, writer = self._streams
        self._sent += 1
        request_id = b"%08x%08x" % (self._number + 1, self._sent)
        writer.write(encode_command([b"Q.ASK", b"%016x" % self._number, request_id, TERMS]))
        try:
            line = await reader.readuntil(b"\r\n")
            if line.startswith(b"$"):
                await reader.readuntil(b"\r\n")
                self.served += 1
        except (OSError, asyncio.IncompleteReadError):
            self._streams = None
            raise
        self.waits_s.append(time.monotonic() - started_s)


async def usual_load(port: int, seconds: float) -> dict[str, Any]:
    """Run the usual clients and return what they saw."""
    clients = [UsualClient(number, port) for number in range(USUAL_CLIENTS)]
    await asyncio.gather(*(client.run(time.monotonic() + seconds) for client in clients))
    waits_s = sorted(wait_s for client in clients for wait_s in client.waits_s)
    return {
        "requests": len(waits_s),
        "served": sum(client.served for client in clients),
        "late": sum(wait_s >= LATE_S for wait_s in waits_s),
        "longest_ms": round(1000 * waits_s[-1]) if waits_s else None,
    }


async def measure(folder: Path, kind: str, clients: int, seconds: float) -> dict[str, Any]:
    """Start an instance of a checkout, and flood it beside the usual clients."""
    loop = asyncio.get_running_loop()
    worker = await loop.create_server(WorkerConnection, "127.0.0.1", 0)
    port = free_port()
    with tempfile.TemporaryDirectory() as temporary:
        file = Path(temporary) / "config.json"
        known = endpoint_list(worker.sockets[0].getsockname()[1])
        discovery = await loop.create_server(lambda: DiscoveryConnection(known), "127.0.0.1", 0)
        file.write_text(json.dumps(configuration(port, discovery.sockets[0].getsockname()[1], known)))
        instance = subprocess.Popen(
            [sys.executable, "-m", "anisefront", "node"],
            cwd=folder,
            env={**os.environ, "PROXY_CONFIG": str(file), "PYTHONPATH": str(folder)},
            stdout=subprocess.DEVNULL,
            stderr=subprocess.DEVNULL,
        )
        try:
            await wait_until_ready(port)
            return await flooded(port, kind, clients, seconds)
        finally:
            instance.kill()
            instance.wait()
            worker.close()
            discovery.close()


async def flooded(port: int, kind: str, clients: int, seconds: float) -> dict[str, Any]:
    """Return what the usual clients saw beside a flood, and the commands a second of the flood."""
    name, _, commands = kind.partition(":")
    arguments = [str(port), name, str(clients), commands, str(seconds)]
    flood = await asyncio.create_subprocess_exec(
        sys.executable, "-m", "anisefront.testbed.flood", *arguments, stdout=asyncio.subprocess.PIPE
    )
    report = await usual_load(port, seconds + 1.0) if clients > 1 else {}
    output, _ = await flood.communicate()
    answered, served = map(int, output.split())
    return report | {"commands_per_s": round(answered / seconds), "served_per_s": round(served / seconds)}


async def wait_until_ready(port: int) -> None:
    """Wait until the instance answers PING."""
    for _ in range(200):
        with contextlib.suppress(OSError, asyncio.IncompleteReadError):
            reader, writer = await asyncio.open_connection("127.0.0.1", port)
            writer.write(encode_command([b"PING"]))
            await reader.readuntil(b"\r\n")
            writer.close()
            return
        await asyncio.sleep(0.1)
    raise TimeoutError("the instance is not ready after 20 s")


def main() -> None:
    """Measure each kind of flood with each number of clients, and print a line for each."""
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument("--before", type=Path)
    parser.add_argument("--clients", type=int, nargs="+", default=[1, 100, 300, 600])
    parser.add_argument("--kinds", nargs="+", default=KINDS)
    parser.add_argument("--seconds", type=float, default=6.0)
    options = parser.parse_args()
    folders = {"before": options.before, "now": Path(__file__).resolve().parent.parent}
    for kind in options.kinds:
        for clients in options.clients:
            for name, folder in folders.items():
                if folder is not None:
                    report = asyncio.run(measure(folder, kind, clients, options.seconds))
                    print(json.dumps({"text": name, "kind": kind, "clients": clients} | report), flush=True)


if __name__ == "__main__":
    main()
