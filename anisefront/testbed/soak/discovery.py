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
ORDER_S = 0.0001  # between two changes at least
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
    """Discovery on one instance's machine: it answers at once with what it has been sent, unless discovery is down."""

    def __init__(self, discovery: Discovery, number: int) -> None:
        self.number, self.view = number, dict[str, str]()  # what counts as told to the instance
        self.rows: dict[str, dict[str, Any]] = {}  # the list that it has been sent
        self.index = 0
        self.delay_s = 0.0  # until it is sent a change; changes come in their order
        self._next_s = 0.0
        self._marked: set[tuple[str, str]] = set()
        self._discovery = discovery
        self._is_down = False
        self._missed: list[tuple[int, dict[str, Any]]] = []  # changes that it will be sent when discovery is back
        self._watches: set[asyncio.StreamWriter] = set()
        self._unanswered: set[asyncio.StreamWriter] = set()

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
        """Write what was missed; watches that came meanwhile get the whole list."""
        self._is_down = False
        missed, self._missed = self._missed, []
        for index, row in missed:
            self._take(index, row)
        for watch in self._unanswered:
            self._write_snapshot(watch)
        self._unanswered.clear()

    def changed(self, worker: Worker, status: str) -> None:
        """Be sent a change after the delay; it counts as told by then, or when its time is up."""
        loop = asyncio.get_running_loop()
        row = worker.row(self.number, status)
        self._next_s = max(self._next_s + ORDER_S, loop.time() + self.delay_s)
        loop.call_at(self._next_s, self._receive, self._discovery.index, row)
        loop.call_later(TOLD_LATEST_S, self._mark, row)

    def _receive(self, index: int, row: dict[str, Any]) -> None:
        if self._is_down:
            self._missed.append((index, row))
        else:
            self._take(index, row)

    def _take(self, index: int, row: dict[str, Any]) -> None:
        self.index = index
        if row["status"] == "left":
            self.rows.pop(row["name"], None)
        else:
            self.rows[row["name"]] = row
        line = json.dumps(platform.endpoint_change(index, [row], snapshot=False)).encode()
        for watch in self._watches - self._unanswered:
            _write(watch, line + b"\n")
        self._mark(row)

    def _mark(self, row: dict[str, Any]) -> None:
        name, status = row["name"], row["status"]
        if (name, status) in self._marked:
            return
        self._marked.add((name, status))
        self.view[name] = status
        if status == "left":
            del self.view[name]
        self._discovery.told()

    def _write_snapshot(self, watch: asyncio.StreamWriter) -> None:
        change = platform.endpoint_change(self.index, list(self.rows.values()), snapshot=True)
        _write(watch, json.dumps(change).encode() + b"\n")

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            await reader.readuntil(b"\r\n\r\n")
            writer.write(HEAD)
            self._watches.add(writer)
            if self._is_down:
                self._unanswered.add(writer)
            else:
                self._write_snapshot(writer)
            await self._keep(reader, writer)
        except (OSError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass  # the instance or the run has ended
        finally:
            self._watches.discard(writer)
            self._unanswered.discard(writer)
            writer.close()

    async def _keep(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Write empty lines until the instance ends the watch."""
        while True:
            try:
                if not await asyncio.wait_for(reader.read(1024), EMPTY_LINE_S):
                    return
            except TimeoutError:
                if not self._is_down:
                    _write(writer, b"\n")


def _write(writer: asyncio.StreamWriter, line: bytes) -> None:
    if not writer.is_closing():
        writer.write(b"%x\r\n%b\r\n" % (len(line), line))
