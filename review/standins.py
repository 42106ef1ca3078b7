"""Stand-ins for the review's cases: platform, discovery, workers and clients, and the gateway processes under test.

They are written from the users' pages alone, on the standard library alone. The gateway instances are started with the
`run` command of the deploy file, as processes of their own, on loopback addresses and the real clock.
"""

from __future__ import annotations

import asyncio
import contextlib
import json
import os
import signal
import socket
import subprocess
import sys
import tempfile
import time
import tomllib
import traceback
from collections.abc import Awaitable, Callable
from pathlib import Path
from typing import Any

ROOT = Path(__file__).resolve().parent.parent
HELD, BROKEN, NOT_RUN = 0, 1, 2  # exit codes of a case
READY_S = 30.0  # a gateway instance may take this long to be ready
CASE_S = 110.0  # a case that takes longer could not run
SOCKET_SLACK_MS = 50.0  # by the protocol page each time limit is 50 ms longer on sockets
LATE_MS = 500.0  # by the terms in force an answer up to this late only earns nothing
VALUE = b"value of "


class CaseNotRunError(Exception):
    """The case could not be run, so that it says nothing about the rule."""


class Record:
    """The file with what was sent, answered and run; times in milliseconds since the start of the case."""

    def __init__(self, path: Path) -> None:
        """Begin an empty record."""
        self._file = path.open("w")
        self._started_s = time.monotonic()

    def now_ms(self) -> float:
        """Return the time since the start of the case."""
        return (time.monotonic() - self._started_s) * 1000

    def write(self, what: str, **fields: Any) -> float:
        """Write one line, and return its time."""
        now_ms = self.now_ms()
        text = " ".join(f"{name}={value}" for name, value in fields.items())
        self._file.write(f"{now_ms:10.1f} {what} {text}\n")
        self._file.flush()
        return now_ms


def host() -> str:
    """Return a loopback address of this case's own, so that runs side by side do not share ports."""
    pid = os.getpid()
    return f"127.{96 + (pid >> 16 & 15)}.{pid >> 8 & 255}.{pid & 255}"


def free_port(kind: socket.SocketKind = socket.SOCK_STREAM) -> int:
    """Return a port of this case's address that nothing listens on."""
    with socket.socket(socket.AF_INET, kind) as sock:
        sock.bind((host(), 0))
        return sock.getsockname()[1]


# ---- workers -----------------------------------------------------------------------------------


def read_command(buffer: bytearray) -> list[bytes] | None:
    """Remove and return the first command of the buffer, an array of bulk strings; None while it is incomplete."""
    head_end = buffer.find(b"\r\n")
    if head_end < 0:
        return None
    if buffer[:1] != b"*":
        raise ValueError("no array")
    position = head_end + 2
    parts = []
    for _ in range(int(buffer[1:head_end])):
        end = buffer.find(b"\r\n", position)
        if end < 0:
            return None
        length = int(buffer[position + 1 : end])
        if len(buffer) < end + 2 + length + 2:
            return None
        parts.append(bytes(buffer[end + 2 : end + 2 + length]))
        position = end + 2 + length + 2
    del buffer[:position]
    return parts


def terms_of(parts: list[bytes]) -> dict[str, str]:
    """Return the names and values of a request's list."""
    return dict(pair.split("=", 1) for pair in parts[3].decode().split(","))


def worker_answer(parts: list[bytes], fields: bytes) -> bytes:
    """Encode the answer to a command: the value made for its request, no figures on use, and the load report."""
    value = VALUE + parts[2]
    return b"*3\r\n$%d\r\n%b\r\n$-1\r\n$%d\r\n%b\r\n" % (len(value), value, len(fields), fields)


class Worker:
    """A worker that answers every command with the value made for its request, after its service time."""

    def __init__(self, name: str, record: Record, service_ms: float, fields: str) -> None:
        """Create a worker that does not listen yet; `fields` is its load report."""
        self.name = name
        self.record = record
        self.service_ms = service_ms
        self.fields = fields.encode()
        self.began: dict[str, list[float]] = {}  # when the commands of each request came whole
        self.address = ""

    async def start(self) -> None:
        """Listen on a free port."""
        server = await asyncio.start_server(self._serve, host(), 0, limit=1 << 20)
        self.address = f"{host()}:{server.sockets[0].getsockname()[1]}"

    def row(self, status: str = "active", group: int = 0) -> dict[str, Any]:
        """Return the worker's entry in the list of discovery."""
        return {
            "name": self.name,
            "address": self.address,
            "zone": "a",
            "type": "m2",
            "group": group,
            "status": status,
            "weight": 1.0,
            "since_ms": 0,
        }

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        buffer = bytearray()
        with contextlib.suppress(ConnectionError, asyncio.CancelledError):
            while data := await reader.read(1 << 16):
                buffer += data
                while (parts := read_command(buffer)) is not None:
                    await self.answer(parts, writer)
        writer.close()

    async def answer(self, parts: list[bytes], writer: asyncio.StreamWriter) -> None:
        """Answer one command."""
        if parts[0] in (b"CLIENT", b"SELECT"):
            writer.write(b"+OK\r\n")
            return
        if parts[0] not in (b"Q.ASK", b"Q.DO"):
            writer.write(b"-ERR unknown command\r\n")
            return
        request_id = parts[2].decode()
        at_ms = self.record.write("command", worker=self.name, id=request_id, told_ms=terms_of(parts)["d"])
        self.began.setdefault(request_id, []).append(at_ms)
        await asyncio.sleep(self.service_ms / 1000)
        writer.write(worker_answer(parts, self.fields))


# ---- discovery ---------------------------------------------------------------------------------


class Agent:
    """The agent of discovery: it answers a watch at once with the whole list, then with each change."""

    def __init__(self, record: Record) -> None:
        """Start with an empty list."""
        self.record = record
        self.index = 41
        self.rows: dict[str, dict[str, Any]] = {}
        self.address = ""
        self._watchers: set[asyncio.StreamWriter] = set()

    async def start(self) -> None:
        """Listen on a free port."""
        server = await asyncio.start_server(self._serve, host(), 0)
        self.address = f"{host()}:{server.sockets[0].getsockname()[1]}"

    def document(self) -> dict[str, Any]:
        """Return the whole list."""
        return {"index": self.index, "snapshot": True, "endpoints": list(self.rows.values())}

    def tell(self, row: dict[str, Any]) -> None:
        """Change an entry and send the change to all watches."""
        self.index += 1
        self.rows[row["name"]] = row
        self.record.write("told", worker=row["name"], status=row["status"])
        change = {"index": self.index, "snapshot": False, "endpoints": [row]}
        for writer in self._watchers:
            _write_chunk(writer, json.dumps(change).encode() + b"\n")

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        with contextlib.suppress(ConnectionError, asyncio.IncompleteReadError, asyncio.CancelledError):
            await reader.readuntil(b"\r\n\r\n")
            writer.write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
            _write_chunk(writer, json.dumps(self.document()).encode() + b"\n")
            self._watchers.add(writer)
            while not writer.is_closing():
                await asyncio.sleep(2.0)
                _write_chunk(writer, b"\n")
                await writer.drain()
        self._watchers.discard(writer)
        writer.close()


def _write_chunk(writer: asyncio.StreamWriter, data: bytes) -> None:
    writer.write(b"%x\r\n%b\r\n" % (len(data), data))


# ---- gateway instances -------------------------------------------------------------------------


class Gateway:
    """One gateway instance, started as the deploy file says."""

    def __init__(self, number: int, folder: Path, config: dict[str, Any], record: Record) -> None:
        """Keep the configuration file and the log in `folder`."""
        self.number = number
        self.config = config
        self.record = record
        self.log = folder / f"gateway-{number}.log"
        self.file = folder / f"gateway-{number}.json"
        self.process: subprocess.Popen[bytes] | None = None

    @property
    def address(self) -> tuple[str, int]:
        """Return where clients connect."""
        address, _, port = self.config["listen"].rpartition(":")
        return address, int(port)

    def spawn(self) -> None:
        """Start the process."""
        self.file.write_text(json.dumps(self.config))
        deploy = tomllib.loads((ROOT / "deploy/balancer.toml").read_text())
        environment = {
            **os.environ,
            "PROXY_NAME": self.config["name"],
            "PROXY_LISTEN": self.config["listen"],
            "PROXY_DISCOVERY": self.config["discovery"],
            "PROXY_CONFIG": str(self.file),
        }
        with self.log.open("ab") as log:
            self.process = subprocess.Popen(
                ["/bin/sh", "-c", deploy["run"]], cwd=ROOT, env=environment, stdout=log, stderr=log
            )
        self.record.write("start", gateway=self.number)

    async def wait_until_ready(self) -> None:
        """Wait until it answers `PING`, as the front does."""
        deadline_s = time.monotonic() + READY_S
        while time.monotonic() < deadline_s:
            if self.process.poll() is not None:
                raise CaseNotRunError(f"gateway {self.number} ended: {self.log.read_text()[-400:]}")
            with contextlib.suppress(OSError, EOFError, asyncio.IncompleteReadError):
                client = await Client.connect(self, self.record)
                client.write(command(b"PING"))
                if await client.read_reply() == b"+PONG":
                    client.close()
                    self.record.write("ready", gateway=self.number)
                    return
            await asyncio.sleep(0.05)
        raise CaseNotRunError(f"gateway {self.number} is not ready")

    def signal(self, number: signal.Signals) -> None:
        """Send a signal to the process, if it runs."""
        if self.process is not None and self.process.poll() is None:
            self.record.write("signal", gateway=self.number, name=number.name)
            self.process.send_signal(number)

    def memory_mb(self) -> float:
        """Return the memory that the process has for itself, without files; 0 where it has ended."""
        with contextlib.suppress(OSError):
            for line in Path(f"/proc/{self.process.pid}/status").read_text().splitlines():
                if line.startswith("RssAnon:"):
                    return int(line.split()[1]) / 1024
        return 0.0

    def end(self) -> None:
        """End the process, and wait for it."""
        if self.process is not None and self.process.poll() is None:
            self.process.kill()
        if self.process is not None:
            self.process.wait()


class Site:
    """A small deployment: gateway instances, workers and discovery."""

    def __init__(self, record: Record, folder: Path, workers: list[Worker]) -> None:
        """Create a deployment that is not started."""
        self.record = record
        self.folder = folder
        self.workers = workers
        self.agents: list[Agent] = []
        self.gateways: list[Gateway] = []

    async def start(self, settings: dict[str, Any], limits: dict[str, float]) -> None:
        """Start workers, an agent for each gateway instance, and the instances; wait until all are ready."""
        count = settings["balancers"]
        for worker in self.workers:
            await worker.start()
        peers = [f"{host()}:{free_port(socket.SOCK_DGRAM)}" for _ in range(count)]
        for number in range(count):
            agent = Agent(self.record)
            agent.rows = {worker.name: worker.row() for worker in self.workers}
            await agent.start()
            self.agents.append(agent)
            config = {
                "name": f"n{number}",
                "listen": f"{host()}:{free_port()}",
                "discovery": agent.address,
                "seed": f"{int(time.time() * 1000) + number:016x}",
                "limits": limits,
                "peer_listen": peers[number],
                "peers": peers,
                "known": agent.document(),
                "settings": {**settings, "myNumber": number},
            }
            self.gateways.append(Gateway(number, self.folder, config, self.record))
        for gateway in self.gateways:
            gateway.spawn()
        for gateway in self.gateways:
            await gateway.wait_until_ready()

    def runs(self, request_id: str) -> list[float]:
        """Return when workers began the commands of a request."""
        return sorted(at_ms for worker in self.workers for at_ms in worker.began.get(request_id, []))

    def end(self) -> None:
        """End the gateway instances."""
        for gateway in self.gateways:
            gateway.end()


# ---- clients -----------------------------------------------------------------------------------


def command(*parts: bytes) -> bytes:
    """Encode a command."""
    return b"*%d\r\n" % len(parts) + b"".join(b"$%d\r\n%b\r\n" % (len(part), part) for part in parts)


def new_id() -> str:
    """Return an id that no other request has."""
    return os.urandom(8).hex()


def request(
    verb: str,
    class_name: str,
    plan: str,
    request_id: str,
    timeout_ms: float,
    customer: int,
    body: bytes = b"",
    **more: str,
) -> bytes:
    """Encode a request of one unit of a customer whose set is the whole tier of two; `more` are further terms."""
    terms = {"c": class_name, "t": plan, "d": f"{timeout_ms:g}", **more, "units": "1", "spread": "2", "first": "0"}
    text = ",".join(f"{name}={value}" for name, value in terms.items())
    parts = [verb.encode(), b"%016x" % customer, request_id.encode(), text.encode()]
    return command(*parts, *([body] if body else []))


class Client:
    """One connection of a front to a gateway instance."""

    def __init__(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter, record: Record) -> None:
        """Use a connection that is up."""
        self.reader = reader
        self.writer = writer
        self.record = record

    @classmethod
    async def connect(cls, gateway: Gateway, record: Record) -> Client:
        """Open a connection."""
        return cls(*await asyncio.open_connection(*gateway.address, limit=1 << 20), record)

    def write(self, data: bytes) -> None:
        """Write bytes."""
        self.writer.write(data)

    async def read_reply(self) -> bytes:
        """Read one answer: a line, or the bytes of a value behind `$`."""
        line = (await self.reader.readuntil(b"\r\n"))[:-2]
        if line[:1] != b"$" or line == b"$-1":
            return line
        return b"$" + (await self.reader.readexactly(int(line[1:]) + 2))[:-2]

    async def ask(self, request_id: str, data: bytes, within_s: float) -> tuple[float, bytes | None]:
        """Send a request and wait for its answer.

        Returns:
            Milliseconds from the request's last byte to the answer's, and the answer; None where there is none.
        """
        self.write(data)
        await self.writer.drain()
        sent_ms = self.record.write("sent", id=request_id)
        reply = None
        with contextlib.suppress(TimeoutError, OSError, asyncio.IncompleteReadError):
            reply = await asyncio.wait_for(self.read_reply(), within_s)
        took_ms = self.record.now_ms() - sent_ms
        self.record.write("answered", id=request_id, after_ms=f"{took_ms:.0f}", answer=reply)
        return took_ms, reply

    def answers_waiting(self) -> bool:
        """Tell whether bytes have come that were not read."""
        return bool(self.reader._buffer)

    def close(self) -> None:
        """Close the connection."""
        self.writer.close()


# ---- running a case ----------------------------------------------------------------------------


def trouble() -> bool:
    """Tell whether the case runs with its disruption."""
    return os.environ.get("TROUBLE", "1") != "0"


def run_case(path: str, case: Callable[[Record, Path], Awaitable[int]]) -> None:
    """Run a case beside its record, and exit with its code."""
    record = Record(Path(path).parent / "record.txt")
    record.write("case", trouble=int(trouble()))
    with tempfile.TemporaryDirectory() as folder:
        try:
            code = asyncio.run(asyncio.wait_for(case(record, Path(folder)), CASE_S))
        except Exception as error:  # whatever else goes wrong here says nothing about the rule
            record.write("not run", why="".join(traceback.format_exception(error)))
            code = NOT_RUN
    verdict = {HELD: "the rule held", BROKEN: "the rule was BROKEN", NOT_RUN: "the case could not run"}[code]
    record.write("verdict", text=verdict)
    print(verdict)
    sys.exit(code)
