"""A stand-in for service discovery: one agent for each gateway instance, which may be slow or unresponsive."""

from __future__ import annotations

import asyncio
import json
from typing import Any

from anisefront.testbed.records import Record
from anisefront.testbed.soak import platform
from anisefront.testbed.soak.workers import Worker

DELIVERY_DEADLINE_S = 6.0  # a change counts as delivered to an instance after that time, whatever the agent did
KEEPALIVE_INTERVAL_S = 2.0
MIN_CHANGE_GAP_S = 0.0001  # between two changes to one instance, so that they keep their order
RESPONSE_HEAD = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"


class Discovery:
    """The endpoint list, and the agents that send it to the instances."""

    def __init__(self, record: Record) -> None:
        """Start with an empty list; changes are written to `record`."""
        self.index = 1
        self.endpoints: dict[str, tuple[Worker, str]] = {}  # worker and status by name
        self.agents = [Agent(self, number) for number in range(platform.INSTANCES)]
        self._record = record
        self._last_recorded: tuple[list[str], list[str]] = [], []

    async def start(self) -> None:
        """Start the agent of each instance."""
        for agent in self.agents:
            await agent.start()

    def close(self) -> None:
        """Stop all agents."""
        for agent in self.agents:
            agent.close()

    def publish(self, worker: Worker, status: str) -> None:
        """Publish the status of a worker: `active`, `leaving` or `left`."""
        self.index += 1
        if status == "left":
            self.endpoints.pop(worker.name, None)
        else:
            self.endpoints[worker.name] = worker, status
        for agent in self.agents:
            agent.schedule_change(worker, status)

    def record_delivered(self) -> None:
        """Record the status of each worker that counts as delivered, by instance, if any has changed."""
        views = [(agent.number, agent.view) for agent in self.agents]
        listed = [(f"{name}@{number}", status) for number, view in views for name, status in view.items()]
        active = [name for name, status in listed if status == "active"]
        draining = [name for name, status in listed if status == "leaving"]
        if (active, draining) != self._last_recorded:
            self._last_recorded = active, draining
            self._record.write("roster", ready=active, draining=draining)


class Agent:
    """Discovery agent of one instance: it answers watches with the list it has, unless it is down."""

    def __init__(self, discovery: Discovery, number: int) -> None:
        """Serve the instance with this number."""
        self.number, self.view = number, dict[str, str]()  # statuses delivered to the instance, by worker
        self.rows: dict[str, dict[str, Any]] = {}  # rows of the list by worker, as the agent has it
        self.index = 0
        self.delay_s = 0.0  # until the agent receives a change, or answers a call; changes keep their order
        self._next_change_s = 0.0
        self._delivered: set[tuple[str, str]] = set()
        self._discovery = discovery
        self._is_down = False
        self._missed_changes: list[tuple[int, dict[str, Any]]] = []  # changes received while down
        self._watchers: set[asyncio.StreamWriter] = set()
        self._unanswered_watchers: set[asyncio.StreamWriter] = set()

    async def start(self) -> None:
        """Listen on a port of its own."""
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        self.address = f"127.0.0.1:{self._server.sockets[0].getsockname()[1]}"

    def close(self) -> None:
        """Stop listening."""
        self._server.close()

    def go_down(self) -> None:
        """Stop writing to watchers; new connections are still accepted."""
        self._is_down = True

    def recover(self) -> None:
        """Send the changes that were missed, and the whole list to watchers that connected while down."""
        self._is_down = False
        missed_changes, self._missed_changes = self._missed_changes, []
        for index, row in missed_changes:
            self._apply(index, row)
        for watcher in self._unanswered_watchers:
            self._write_snapshot(watcher)
        self._unanswered_watchers.clear()

    def schedule_change(self, worker: Worker, status: str) -> None:
        """Receive a change after the delay.

        It counts as delivered when it is sent, and at the latest after `DELIVERY_DEADLINE_S`.
        """
        loop = asyncio.get_running_loop()
        row = worker.row(self.number, status)
        self._next_change_s = max(self._next_change_s + MIN_CHANGE_GAP_S, loop.time() + self.delay_s)
        loop.call_at(self._next_change_s, self._receive, self._discovery.index, row)
        loop.call_later(DELIVERY_DEADLINE_S, self._mark_delivered, row)

    def _receive(self, index: int, row: dict[str, Any]) -> None:
        if self._is_down:
            self._missed_changes.append((index, row))
        else:
            self._apply(index, row)

    def _apply(self, index: int, row: dict[str, Any]) -> None:
        self.index = index
        if row["status"] == "left":
            self.rows.pop(row["name"], None)
        else:
            self.rows[row["name"]] = row
        line = json.dumps(platform.endpoint_change(index, [row], snapshot=False)).encode()
        for watcher in self._watchers - self._unanswered_watchers:
            _write(watcher, line + b"\n")
        self._mark_delivered(row)

    def _mark_delivered(self, row: dict[str, Any]) -> None:
        name, status = row["name"], row["status"]
        if (name, status) in self._delivered:
            return
        self._delivered.add((name, status))
        self.view[name] = status
        if status == "left":
            del self.view[name]
        self._discovery.record_delivered()

    def _write_snapshot(self, watcher: asyncio.StreamWriter) -> None:
        change = platform.endpoint_change(self.index, list(self.rows.values()), snapshot=True)
        _write(watcher, json.dumps(change).encode() + b"\n")

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            await reader.readuntil(b"\r\n\r\n")
            if await _is_closed_within(self.delay_s, reader):
                return
            writer.write(RESPONSE_HEAD)
            self._watchers.add(writer)
            if self._is_down:
                self._unanswered_watchers.add(writer)
            else:
                self._write_snapshot(writer)
            await self._send_keepalives(reader, writer)
        except (OSError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass  # the instance or the run has ended
        finally:
            self._watchers.discard(writer)
            self._unanswered_watchers.discard(writer)
            writer.close()

    async def _send_keepalives(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Write empty lines until the instance closes the watch."""
        while True:
            try:
                if not await asyncio.wait_for(reader.read(1024), KEEPALIVE_INTERVAL_S):
                    return
            except TimeoutError:
                if not self._is_down:
                    _write(writer, b"\n")


async def _is_closed_within(delay_s: float, reader: asyncio.StreamReader) -> bool:
    """Wait, and return whether the instance closed the watch meanwhile."""
    if not delay_s:
        return False
    try:
        return not await asyncio.wait_for(reader.read(1024), delay_s)
    except TimeoutError:
        return False


def _write(writer: asyncio.StreamWriter, line: bytes) -> None:
    if not writer.is_closing():
        writer.write(b"%x\r\n%b\r\n" % (len(line), line))
