# ruff: noqa: D101, D102, D103, D107
"""Stand-ins of the second review: clients, workers, discovery, a delaying proxy, and a starter of gatekeepers.

Standard library only. Everything runs in one event loop on loopback addresses and the real clock; the gatekeepers are
separate processes, started by the deploy file's `run`. Each stand-in does what the users' protocol page says.
"""

from __future__ import annotations

import asyncio
import contextlib
import json
import os
import pathlib
import random
import signal
import socket
import sys
import tempfile
import time
import tomllib

ROOT = pathlib.Path(__file__).resolve().parent.parent
HOST = "127.0.0.1"
HEARTBEAT_S = 2.0
HELD, BROKEN, NOT_RUN = 0, 1, 2


def free_port(kind: int = socket.SOCK_STREAM) -> int:
    """Return a port that is free now."""
    with socket.socket(socket.AF_INET, kind) as sock:
        sock.bind((HOST, 0))
        return sock.getsockname()[1]


class Record:
    """What was sent, answered and run, one line each with the time since the start."""

    def __init__(self, folder: pathlib.Path) -> None:
        self.started_s = time.monotonic()
        self._file = open(folder / "record.txt", "w", encoding="utf-8")  # noqa: SIM115

    def __call__(self, who: str, text: str) -> None:
        self._file.write(f"{time.monotonic() - self.started_s:9.4f} {who:10} {text}\n")

    def close(self) -> None:
        self._file.close()


def settings(gatekeepers: int, number: int, **changes: object) -> dict:
    """Return settings like those of a small deployment of two classes and one plan with a wide quota."""
    document = {
        "balancers": gatekeepers,
        "myNumber": number,
        "locality": "room-a",
        "azs": ["room-a", "room-b"],
        "classes": [
            {"name": "view", "repeat": "retryable", "aimMs": 1500.0, "deadlineMs": 5000.0, "worth": 2.0},
            {
                "name": "order",
                "repeat": "dedup",
                "keyScope": "cell",
                "dedupWindowMs": 5000.0,
                "aimMs": 2000.0,
                "deadlineMs": 5000.0,
                "worth": 6.0,
            },
            {"name": "pay", "repeat": "fragile", "aimMs": 2000.0, "deadlineMs": 5000.0, "worth": 6.0},
        ],
        "packages": [{"name": "wide", "perSecond": 4000.0, "storeSize": 8000.0, "valueFactor": 1.0}],
        "discovery": "automatic",
        "domain": {"inboxPerS": 60.0, "maxUnits": 4, "mayCount": False, "postPaid": False},
        "limits": {
            "cancel": True,
            "connIdleMs": 15000.0,
            "dialTimeoutMs": 250.0,
            "maxAttempts": 6,
            "maxRetryAfterMs": 1000.0,
            "maxStreams": 32,
            "mayTell": True,
            "probing": False,
            "retryAfter": True,
            "secondCopies": True,
        },
        "report": {"fields": ["util", "inflight"], "how": "answers"},
        "rules": {
            "answerSlackMs": 16.0,
            "askWithinMs": 10000.0,
            "coldFrom": 0.17,
            "drainGraceMs": 2000.0,
            "fallMultiple": 4.0,
            "tipAfterMs": 2000.0,
            "warmUpMs": 13000.0,
        },
        "tickMs": 4.0,
    }
    return document | changes


# ---- RESP -------------------------------------------------------------------------------------------


def bulk(value: bytes) -> bytes:
    return b"$%d\r\n%b\r\n" % (len(value), value)


def command(*parts: bytes) -> bytes:
    return b"*%d\r\n" % len(parts) + b"".join(map(bulk, parts))


async def read_command(reader: asyncio.StreamReader) -> list[bytes]:
    line = await reader.readuntil(b"\r\n")
    if line[:1] != b"*":
        raise ValueError(line)
    parts = []
    for _ in range(int(line[1:])):
        length = int((await reader.readuntil(b"\r\n"))[1:])
        parts.append((await reader.readexactly(length + 2))[:-2])
    return parts


async def read_reply(reader: asyncio.StreamReader) -> tuple[str, bytes]:
    """Return ("served", value), ("refused", line) or ("failed", line)."""
    line = (await reader.readuntil(b"\r\n"))[:-2]
    if line[:1] == b"$":
        if line == b"$-1":
            return "failed", line
        return "served", (await reader.readexactly(int(line[1:]) + 2))[:-2]
    if line == b"-BUSY" or line.startswith(b"-BUSY "):
        return "refused", line
    return "failed", line


def terms_of(parts: list[bytes]) -> dict[str, str]:
    return dict(pair.split("=", 1) for pair in parts[3].decode().split(","))


# ---- workers ----------------------------------------------------------------------------------------


class Worker:
    """A sound worker: serves the commands of a connection one after the other, the value made for the request.

    `work_s` is how long a command takes. Subclasses change what follows the work.
    """

    def __init__(self, name: str, record: Record, work_s: float = 0.05, zone: str = "room-a", cell: int = 0) -> None:
        self.name, self.record, self.work_s, self.zone, self.cell = name, record, work_s, zone, cell
        self.runs: list[tuple[float, bytes]] = []  # when a command's last byte had come, and its id
        self.status, self.since_ms, self.port, self.address = "active", 0, 0, ""
        self.inflight = 0
        self.answering: set[asyncio.StreamWriter] = set()  # connections with a command that has no answer yet
        self._server: asyncio.Server | None = None

    async def start(self) -> None:
        self._server = await asyncio.start_server(self._serve, HOST, self.port)
        self.port = self._server.sockets[0].getsockname()[1]
        self.address = self.address or f"{HOST}:{self.port}"

    def row(self) -> dict:
        return {
            "name": self.name,
            "address": self.address,
            "zone": self.zone,
            "type": "small-2c",
            "group": self.cell,
            "status": self.status,
            "weight": 1.0,
            "since_ms": self.since_ms,
        }

    def answer(self, parts: list[bytes]) -> bytes:
        report = b"util=0.30,inflight=%d" % self.inflight
        return b"*3\r\n" + bulk(b"made-for-" + parts[2]) + b"$-1\r\n" + bulk(report)

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        writer.get_extra_info("socket").setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        with contextlib.suppress(asyncio.IncompleteReadError, ConnectionError, ValueError):
            while True:
                parts = await read_command(reader)
                self.answering.add(writer)
                self.runs.append((time.monotonic(), parts[2]))
                self.record(self.name, f"runs {parts[2].decode()} {parts[3].decode()}")
                self.inflight += 1
                try:
                    await asyncio.sleep(self.work_s)
                finally:
                    self.inflight -= 1
                self.answering.discard(writer)
                await self.finish(parts, reader, writer)
        self.answering.discard(writer)
        writer.close()

    async def finish(self, parts: list[bytes], reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        writer.write(self.answer(parts))


# ---- discovery --------------------------------------------------------------------------------------


class Discovery:
    """The agent on the gatekeepers' machine: answers a watch with what changed, then with changes as they come.

    `answer_delay_s` is how long it takes until it answers a call. `history` holds, by version, the rows that changed.
    """

    def __init__(self, record: Record, name: str = "discovery") -> None:
        self.record, self.name, self.answer_delay_s, self.port = record, name, 0.0, 0
        self.history: list[tuple[int, list[dict]]] = []
        self.index = 0
        self.current: dict[str, dict] = {}
        self._changed = asyncio.Condition()

    async def start(self) -> None:
        server = await asyncio.start_server(self._serve, HOST, self.port)
        self.port = server.sockets[0].getsockname()[1]

    async def change(self, *rows: dict) -> None:
        self.index += 1
        for row in rows:
            self.current.pop(row["name"], None)
            if row["status"] != "left":
                self.current[row["name"]] = row
        self.history.append((self.index, [dict(row) for row in rows]))
        summary = " ".join(f"{row['name']}={row['status']}" for row in rows)
        self.record(self.name, f"has version {self.index}: {summary}")
        async with self._changed:
            self._changed.notify_all()

    def whole(self) -> dict:
        return {"index": self.index, "snapshot": True, "endpoints": [dict(row) for row in self.current.values()]}

    def _since(self, version: int) -> dict:
        rows = [row for index, changed in self.history if index > version for row in changed]
        return {"index": self.index, "snapshot": False, "endpoints": rows}

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        with contextlib.suppress(asyncio.IncompleteReadError, ConnectionError):
            head = await reader.readuntil(b"\r\n\r\n")
            target = head.split(b" ")[1].decode()
            version = int(target.rpartition("from=")[2]) if "from=" in target else 0
            self.record(self.name, f"is asked {target}")
            gone = asyncio.ensure_future(reader.read())
            if self.answer_delay_s:
                await asyncio.wait([gone], timeout=self.answer_delay_s)
                if gone.done():
                    self.record(self.name, f"the caller of {target} closed before it was answered")
                    return
            writer.write(b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n")
            first = self.whole() if not version else self._since(version)
            sent = self.index
            self._chunk(writer, json.dumps(first).encode() + b"\n")
            self.record(self.name, f"answers {target} with version {sent}")
            while not gone.done():
                async with self._changed:
                    newer = self._changed.wait_for(lambda known=sent: self.index > known)
                    with contextlib.suppress(TimeoutError):
                        await asyncio.wait_for(newer, HEARTBEAT_S)
                if self.index > sent:
                    change = self._since(sent)
                    sent = self.index
                    self._chunk(writer, json.dumps(change).encode() + b"\n")
                    self.record(self.name, f"tells version {sent}")
                else:
                    self._chunk(writer, b"\n")
                await writer.drain()
        writer.close()

    @staticmethod
    def _chunk(writer: asyncio.StreamWriter, data: bytes) -> None:
        writer.write(b"%x\r\n%b\r\n" % (len(data), data))


# ---- clients ----------------------------------------------------------------------------------------


class Answer:
    """What a client got: `kind` is served, refused, failed, closed (no answer) or none (in time)."""

    def __init__(self, kind: str, value: bytes, after_s: float) -> None:
        self.kind, self.value, self.after_s = kind, value, after_s


class Client:
    """A front's connections to one gatekeeper: reuses idle ones and opens more when all are busy."""

    def __init__(self, address: tuple[str, int], record: Record, seed: int = 1) -> None:
        self.address, self.record = address, record
        self.random = random.Random(seed)
        self.answers: dict[bytes, Answer] = {}
        self._idle: list[tuple[asyncio.StreamReader, asyncio.StreamWriter]] = []

    def new_id(self) -> bytes:
        return b"%016x" % self.random.getrandbits(64)

    def request(
        self, name: str, request_id: bytes, d_ms: int, body: bytes = b"", extra: str = "", units: str = "1"
    ) -> bytes:
        customer = b"%016x" % self.random.randrange(1 << 16)
        verb = b"Q.ASK" if name == "view" else b"Q.DO"
        terms = f"c={name},t=wide,d={d_ms},units={units},spread=1,first=0{extra}".encode()
        return command(verb, customer, request_id, terms, *([body] if body else []))

    async def ask(
        self, name: str = "view", d_ms: int = 5000, wait_s: float | None = None, extra: str = "", units: str = "1"
    ) -> Answer:
        request_id = self.new_id()
        data = self.request(name, request_id, d_ms, extra=extra, units=units)
        started_s = time.monotonic()
        self.record("client", f"sends {request_id.decode()} {name} d={d_ms} units={units}{extra}")
        try:
            async with asyncio.timeout(wait_s or d_ms / 1000 + 0.55):
                if self._idle:
                    answer = await self._exchange(*self._idle.pop(), data, started_s)
                    if answer is not None:
                        return self._note(request_id, answer)
                    self.record("client", f"sends {request_id.decode()} once more: its connection was closed")
                try:
                    connection = await asyncio.open_connection(*self.address)
                except OSError as error:
                    return self._note(request_id, Answer("unreachable", str(error).encode(), 0.0))
                answer = await self._exchange(*connection, data, started_s)
        except TimeoutError:
            return self._note(request_id, Answer("none", b"", time.monotonic() - started_s))
        return self._note(request_id, answer or Answer("closed", b"", time.monotonic() - started_s))

    async def _exchange(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter, data: bytes, started_s: float
    ) -> Answer | None:
        """Return the answer, None where the connection ends without one."""
        try:
            writer.write(data)
            kind, value = await read_reply(reader)
        except (ConnectionError, asyncio.IncompleteReadError):
            writer.transport.abort()
            return None
        except asyncio.CancelledError:
            writer.transport.abort()
            raise
        self._idle.append((reader, writer))
        return Answer(kind, value, time.monotonic() - started_s)

    def _note(self, request_id: bytes, answer: Answer) -> Answer:
        self.answers[request_id] = answer
        self.record("client", f"got {request_id.decode()} {answer.kind} {answer.value[:60].decode('latin-1')}")
        return answer


# ---- a proxy that delays ----------------------------------------------------------------------------


class DelayProxy:
    """Passes bytes on after `one_way_s` in each direction, in order."""

    def __init__(self, target_port: int, one_way_s: float) -> None:
        self.target_port, self.one_way_s, self.port = target_port, one_way_s, 0

    async def start(self) -> None:
        server = await asyncio.start_server(self._serve, HOST, 0)
        self.port = server.sockets[0].getsockname()[1]

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            far_reader, far_writer = await asyncio.open_connection(HOST, self.target_port)
        except OSError:
            writer.transport.abort()
            return
        for each in (writer, far_writer):
            each.get_extra_info("socket").setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        await asyncio.gather(self._pass(reader, far_writer), self._pass(far_reader, writer))

    async def _pass(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        loop = asyncio.get_running_loop()
        with contextlib.suppress(ConnectionError):
            while data := await reader.read(65536):
                loop.call_later(self.one_way_s, writer.write, data)
        loop.call_later(self.one_way_s, writer.close)


# ---- gatekeepers ------------------------------------------------------------------------------------


class Gatekeeper:
    """One gatekeeper: the deploy file's `run`, with a configuration of its own."""

    def __init__(self, name: str, config: dict, folder: pathlib.Path, record: Record) -> None:
        self.name, self.config, self.record = name, config, record
        self.host, _, port = config["listen"].rpartition(":")
        self.port = int(port)
        self.path = folder / f"{name}.json"
        self.log = folder / f"{name}.log"
        self.temporary = folder / f"{name}.tmp"
        self.temporary.mkdir(exist_ok=True)
        self.process: asyncio.subprocess.Process | None = None

    def write_config(self) -> None:
        fresh = self.path.with_suffix(".new")
        fresh.write_text(json.dumps(self.config))
        fresh.rename(self.path)

    async def start(self) -> None:
        """Start it, and return once it answers PING."""
        self.write_config()
        run = tomllib.loads((ROOT / "deploy/balancer.toml").read_text())["run"]
        environment = {
            "PATH": os.environ["PATH"],
            "TMPDIR": str(self.temporary),
            "PROXY_NAME": self.name,
            "PROXY_LISTEN": self.config["listen"],
            "PROXY_DISCOVERY": self.config["discovery"],
            "PROXY_CONFIG": str(self.path),
            "PYTHONDONTWRITEBYTECODE": "1",
        }
        log = open(self.log, "ab")  # noqa: SIM115
        self.process = await asyncio.create_subprocess_exec(
            "/bin/sh", "-c", run, cwd=ROOT, env=environment, stdout=log, stderr=log
        )
        log.close()
        self.record(self.name, "is started")
        for _ in range(300):
            if self.process.returncode is not None:
                raise NotRunError(f"{self.name} ended with {self.process.returncode}")
            with contextlib.suppress(OSError, asyncio.IncompleteReadError):
                reader, writer = await asyncio.open_connection(self.host, self.port)
                writer.write(command(b"PING"))
                line = await reader.readline()
                writer.close()
                if line == b"+PONG\r\n":
                    self.record(self.name, "answers PING")
                    return
            await asyncio.sleep(0.1)
        raise NotRunError(f"{self.name} is not ready after 30 s")

    def signal(self, number: int) -> None:
        self.record(self.name, f"gets {signal.Signals(number).name}")
        self.process.send_signal(number)

    def memory_kb(self) -> int:
        status = pathlib.Path(f"/proc/{self.process.pid}/status").read_text()
        return int(next(line for line in status.splitlines() if line.startswith("VmRSS")).split()[1])

    async def stop(self) -> None:
        if self.process is not None and self.process.returncode is None:
            with contextlib.suppress(ProcessLookupError):
                self.process.kill()
            await self.process.wait()


class NotRunError(Exception):
    """The case could not run."""


class Case:
    """The parts of one case. `trouble` is False with TROUBLE=0."""

    def __init__(self, file: str) -> None:
        self.folder = pathlib.Path(file).resolve().parent
        self.record = Record(self.folder)
        self.trouble = os.environ.get("TROUBLE", "1") != "0"
        self.temporary = tempfile.TemporaryDirectory(prefix="review-")
        self.gatekeepers: list[Gatekeeper] = []
        self.processes: list[asyncio.subprocess.Process] = []  # of stand-ins
        self.verdict: tuple[int, str] = (NOT_RUN, "the case came to no verdict")

    def gatekeeper(
        self, discovery: Discovery, memory_mb: int = 128, sockets: int = 512, **changes: object
    ) -> Gatekeeper:
        """Return a gatekeeper that is alone in its tier, not started."""
        config = {
            "name": "n0",
            "listen": f"{HOST}:{free_port()}",
            "discovery": f"{HOST}:{discovery.port}",
            "seed": f"{random.getrandbits(64):016x}",
            "limits": {"cores": 1.0, "memory_mb": memory_mb, "sockets": sockets},
            "peer_listen": f"{HOST}:{free_port(socket.SOCK_DGRAM)}",
            "known": discovery.whole(),
            "settings": settings(1, 0, **changes),
        }
        config["peers"] = [config["peer_listen"]]
        keeper = Gatekeeper("n0", config, pathlib.Path(self.temporary.name), self.record)
        self.gatekeepers.append(keeper)
        return keeper

    def broken(self, text: str) -> None:
        self.verdict = (BROKEN, text)

    def held(self, text: str) -> None:
        self.verdict = (HELD, text)

    async def _run(self, body) -> None:
        # Connections are still open when the loop ends: their tasks are cancelled, which is no fault.
        loop = asyncio.get_running_loop()
        loop.set_exception_handler(lambda loop, context: None)
        loop.add_signal_handler(signal.SIGTERM, asyncio.current_task().cancel)
        try:
            async with asyncio.timeout(115):
                await body(self)
        except asyncio.CancelledError:
            self.verdict = (NOT_RUN, "ended by a signal")
        except (NotRunError, OSError, TimeoutError) as error:
            self.verdict = (NOT_RUN, f"{type(error).__name__}: {error}")
        finally:
            for keeper in self.gatekeepers:
                await keeper.stop()
            for process in self.processes:
                if process.returncode is None:
                    process.kill()
                    await process.wait()

    async def worker_processes(self, count: int, work_s: float) -> list[WorkerProcess]:
        """Start workers in processes of their own."""
        workers = [WorkerProcess(f"s-{number:08x}", self.record, work_s) for number in range(count)]
        for worker in workers:
            await worker.start()
            self.processes.append(worker.process)
        return workers

    def main(self, body) -> None:
        """Run the case and exit with its verdict."""
        asyncio.run(self._run(body))
        code, text = self.verdict
        trouble = "with the disruption" if self.trouble else "without the disruption"
        verdict = {HELD: "held", BROKEN: "BROKEN", NOT_RUN: "not run"}[code]
        print(f"{verdict} ({trouble}): {text}")
        self.record("verdict", f"{verdict} ({trouble}): {text}")
        for keeper in self.gatekeepers:
            if code == NOT_RUN and keeper.log.exists():
                sys.stderr.write(keeper.log.read_text()[-3000:])
        self.record.close()
        self.temporary.cleanup()
        sys.exit(code)


# ---- a worker in a process of its own ---------------------------------------------------------------


class _WorkerProtocol(asyncio.Protocol):
    """A sound worker's connection that notes when the first byte of each command came."""

    def __init__(self, work_s: float) -> None:
        self.work_s = work_s
        self.buffer = bytearray()
        self.first_byte_s = 0.0
        self.waiting: list[bytes] = []

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = transport
        transport.get_extra_info("socket").setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)

    def data_received(self, data: bytes) -> None:
        if not self.buffer:
            self.first_byte_s = time.monotonic()
        self.buffer += data
        while (parts := self._take_command()) is not None:
            print("run", f"{self.first_byte_s:.6f}", parts[2].decode(), flush=True)
            self.waiting.append(parts[2])
            if len(self.waiting) == 1:
                asyncio.get_running_loop().call_later(self.work_s, self._answer)

    def _answer(self) -> None:
        value = b"made-for-" + self.waiting.pop(0)
        self.transport.write(b"*3\r\n" + bulk(value) + b"$-1\r\n" + bulk(b"util=0.30,inflight=1"))
        if self.waiting:
            asyncio.get_running_loop().call_later(self.work_s, self._answer)

    def _take_command(self) -> list[bytes] | None:
        """Remove and return a complete command, None if there is none."""
        data = self.buffer
        end = data.find(b"\r\n")
        if end < 0:
            return None
        position = end + 2
        parts = []
        for _ in range(int(data[1:end])):
            end = data.find(b"\r\n", position)
            if end < 0:
                return None
            length = int(data[position + 1 : end])
            if len(data) < end + 2 + length + 2:
                return None
            parts.append(bytes(data[end + 2 : end + 2 + length]))
            position = end + 2 + length + 2
        del data[:position]
        return parts


class WorkerProcess:
    """Starts a worker in a process of its own, so that its times don't depend on the other stand-ins' load."""

    def __init__(self, name: str, record: Record, work_s: float) -> None:
        self.name, self.record, self.work_s = name, record, work_s
        self.runs: list[tuple[float, bytes]] = []  # when a command's first byte came, and its id
        self.status, self.address = "active", ""

    async def start(self) -> None:
        self.process = await asyncio.create_subprocess_exec(
            sys.executable, "-B", __file__, "worker", str(self.work_s), stdout=asyncio.subprocess.PIPE
        )
        self.address = f"{HOST}:{int((await self.process.stdout.readline()).split()[1])}"
        self._reading = asyncio.ensure_future(self._read())

    async def _read(self) -> None:
        while line := await self.process.stdout.readline():
            _, moment, request_id = line.split()
            self.runs.append((float(moment), request_id))
            self.record(
                self.name, f"runs {request_id.decode()}, first byte {float(moment) - self.record.started_s:.4f}"
            )

    def row(self) -> dict:
        return {
            "name": self.name,
            "address": self.address,
            "zone": "room-a",
            "type": "small-2c",
            "group": 0,
            "status": self.status,
            "weight": 1.0,
            "since_ms": 0,
        }


async def _worker_main(work_s: float) -> None:
    server = await asyncio.get_running_loop().create_server(lambda: _WorkerProtocol(work_s), HOST, 0)
    print("port", server.sockets[0].getsockname()[1], flush=True)
    await server.serve_forever()


# ---- bad clients, in processes of their own ---------------------------------------------------------


def commands_of_no_class(count: int) -> bytes:
    """Return well-formed commands whose class does not exist."""
    return b"".join(
        command(
            b"Q.ASK",
            b"%016x" % random.getrandbits(33),
            b"%016x" % random.getrandbits(64),
            b"c=nope,t=wide,d=5000,units=1,spread=1,first=0",
        )
        for _ in range(count)
    )


async def _send_again_and_again(port: int, count: int) -> None:
    """Send commands at once, read the answers, close, and send the same thing again."""
    data = commands_of_no_class(count)
    while True:
        with contextlib.suppress(ConnectionError, asyncio.IncompleteReadError):
            reader, writer = await asyncio.open_connection(HOST, port)
            writer.write(data)
            for _ in range(count):
                await reader.readuntil(b"\r\n")
            writer.close()
        await asyncio.sleep(0)


async def _bad_clients_main(port: int, clients: int, count: int, seconds: float) -> None:
    tasks = [asyncio.ensure_future(_send_again_and_again(port, count)) for _ in range(clients)]
    await asyncio.wait(tasks, timeout=seconds)
    for task in tasks:
        task.cancel()


async def start_bad_clients(port: int, clients: int, count: int, seconds: float) -> asyncio.subprocess.Process:
    """Start bad clients, each of which sends `count` commands at once, again as soon as it is turned away."""
    return await asyncio.create_subprocess_exec(
        sys.executable, "-B", __file__, "bad-clients", str(port), str(clients), str(count), str(seconds)
    )


if __name__ == "__main__" and sys.argv[1:2] == ["worker"]:
    asyncio.run(_worker_main(float(sys.argv[2])))

if __name__ == "__main__" and sys.argv[1:2] == ["bad-clients"]:
    asyncio.run(_bad_clients_main(int(sys.argv[2]), int(sys.argv[3]), int(sys.argv[4]), float(sys.argv[5])))
