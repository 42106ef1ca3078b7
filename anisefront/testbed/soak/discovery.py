"""A stand-in for discovery: one agent for each gateway instance, which may be slow or silent."""

from __future__ import annotations

import asyncio
import json
from typing import Any

from anisefront.testbed.records import Record
from anisefront.testbed.soak import platform
from anisefront.testbed.soak.workers import Worker

TOLD_LATEST_S = 6.0  # what discovery has to tell counts as told then
EMPTY_LINE_S = 2.0
HEAD = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"


class Discovery:
    """The endpoint list and its agents."""

    def __init__(self, record: Record) -> None:
        self.index = 1
        self.listed: dict[str, tuple[Worker, str]] = {}  # with its status
        self.agents = [Agent(self, number) for number in range(platform.INSTANCES)]
        self._record = record
        self._last_told: tuple[list[str], list[str]] = [], []

    async def start(self) -> None:
        """Listen, one agent for each instance."""
        for agent in self.agents:
            await agent.start()

    def close(self) -> None:
        """Stop listening."""
        for agent in self.agents:
            agent.close()

    def publish(self, worker: Worker, status: str) -> None:
        """Change the status of a worker: `active`, `leaving` or `left`."""
        self.index += 1
        if status == "left":
            self.listed.pop(worker.name, None)
        else:
            self.listed[worker.name] = worker, status
        for agent in self.agents:
            agent.changed(worker, status)

    def rows(self, number: int) -> list[dict[str, Any]]:
        """The whole list for an instance."""
        return [worker.row(number, status) for worker, status in self.listed.values()]

    def told(self) -> None:
        """Record what all instances have been told."""
        views = [(agent.number, agent.view) for agent in self.agents]
        listed = [(f"{name}@{number}", status) for number, view in views for name, status in view.items()]
        ready = [name for name, status in listed if status == "active"]
        draining = [name for name, status in listed if status == "leaving"]
        if (ready, draining) != self._last_told:
            self._last_told = ready, draining
            self._record.write("roster", ready=ready, draining=draining)


class Agent:
    """Discovery as one instance sees it."""

    def __init__(self, discovery: Discovery, number: int) -> None:
        self.number, self.view = number, dict[str, str]()  # what the instance has been told
        self.delay_s = 0.0
        self._discovery = discovery
        self._is_down = False
        self._waiting: list[bytes] = []  # lines that a silent agent has still to write
        self._watches: set[asyncio.StreamWriter] = set()

    async def start(self) -> None:
        """Listen."""
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        self.address = f"127.0.0.1:{self._server.sockets[0].getsockname()[1]}"

    def close(self) -> None:
        """Stop listening."""
        self._server.close()

    def silence(self) -> None:
        """Write nothing from now on; calls are let in."""
        self._is_down = True

    def speak(self) -> None:
        """Write at once what was missed; watches that came meanwhile get the whole list."""
        self._is_down = False
        self._write_snapshot(self._watches)

    def changed(self, worker: Worker, status: str) -> None:
        """Tell a change after the agent's delay."""
        loop = asyncio.get_running_loop()
        row = worker.row(self.number, status)
        line = platform.endpoint_change(self._discovery.index, [row], snapshot=False)
        loop.call_later(self.delay_s, self._tell, line, worker.name, status)
        loop.call_later(TOLD_LATEST_S, self._mark, worker.name, status)

    def _tell(self, line: dict[str, Any], name: str, status: str) -> None:
        if self._is_down or not self._watches:
            return
        for watch in self._watches:
            _write(watch, json.dumps(line).encode() + b"\n")
        self._mark(name, status)

    def _mark(self, name: str, status: str) -> None:
        if status == "left":
            self.view.pop(name, None)
        elif self._discovery.listed.get(name, (None, ""))[1] == status:
            self.view[name] = status
        self._discovery.told()

    def _write_snapshot(self, watches: set[asyncio.StreamWriter]) -> None:
        rows = self._discovery.rows(self.number)
        text = json.dumps(platform.endpoint_change(self._discovery.index, rows, snapshot=True)).encode()
        for watch in watches:
            _write(watch, text + b"\n")
        if watches:
            self.view = {row["name"]: row["status"] for row in rows}
            self._discovery.told()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            await reader.readuntil(b"\r\n\r\n")
            await asyncio.sleep(self.delay_s)
            writer.write(HEAD)
            self._watches.add(writer)
            if not self._is_down:
                self._write_snapshot({writer})
            while not writer.is_closing():
                await asyncio.sleep(EMPTY_LINE_S)
                if not self._is_down:
                    _write(writer, b"\n")
                    await writer.drain()
        except (OSError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass  # the instance or the run has ended
        finally:
            self._watches.discard(writer)
            writer.close()


def _write(writer: asyncio.StreamWriter, line: bytes) -> None:
    if not writer.is_closing():
        writer.write(b"%x\r\n%b\r\n" % (len(line), line))
