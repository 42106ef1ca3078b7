"""Clients that keep their connections, pipeline, retry what was refused, and sometimes leave in the middle."""

from __future__ import annotations

import asyncio
import itertools
import random
from collections import deque
from dataclasses import dataclass, field
from typing import Any

from anisefront.resp_gateway.resp_codec import encode_command
from anisefront.testbed.records import Record, now_ms
from anisefront.testbed.soak import platform
from anisefront.testbed.soak.workers import value_of

SLOTS = 24  # connections that are kept
DEPTHS = (1, 1, 1, 2, 4, 8)  # commands that are written at once
MAX_PENDING = 16
PAUSE_S = 0.15  # between two bursts on a connection, on average
MAX_TRIES = 3
PATIENCE_MS = 1000.0  # beyond a request's time
CUSTOMERS = 40
CAPPED_CUSTOMERS = 4
CAPPED_SHARE = 0.25  # of the requests
LEAVERS = 4  # connections of a burst that leaves
LEAVERS_DEPTH = 8


@dataclass(slots=True)
class Try:
    """One request as a client sends it; its retries have the same wish."""

    wish: str
    cls: str
    customer: int
    tries: int = 0
    id: str = ""
    due_ms: float = 0.0

    @property
    def plan(self) -> str:
        """The customer's plan."""
        return "capped" if self.customer < CAPPED_CUSTOMERS else "wide"


@dataclass(slots=True)
class Front:
    """Which instances it deals out to, and what is asked."""

    record: Record
    rng: random.Random
    ports: list[int]
    open: set[int] = field(default_factory=set)
    is_paused: bool = False
    is_over: bool = False
    again: deque[Try] = field(default_factory=deque)
    links: set[Link] = field(default_factory=set)
    serial: Any = field(default_factory=lambda: itertools.count(1))

    def next_try(self) -> Try:
        """A retry that waits, or a new wish."""
        if self.again:
            return self.again.popleft()
        number = next(self.serial)
        first = 0 if self.rng.random() < CAPPED_SHARE else CAPPED_CUSTOMERS
        customer = self.rng.randrange(first, CUSTOMERS if first else CAPPED_CUSTOMERS)
        return Try(f"w{number}", self.rng.choice(tuple(platform.DEADLINES_MS)), customer)

    def retry(self, each: Try, delay_s: float) -> None:
        """Ask a wish again later, under a new id."""
        if each.tries < MAX_TRIES and not self.is_over:
            asyncio.get_running_loop().call_later(delay_s, self.again.append, each)

    async def keep_slot(self) -> None:
        """Keep a connection to some instance, and a new one whenever it ends."""
        while not self.is_over:
            link = await self.connect()
            if link is None:
                await asyncio.sleep(0.05)
                continue
            while link.is_up and not self.is_over:
                if not self.is_paused:
                    link.send(self.rng.choice(DEPTHS))
                await asyncio.sleep(self.rng.expovariate(1 / PAUSE_S))
                link.check_patience()
        while any(link.pending for link in self.links):
            for link in list(self.links):
                link.check_patience()
            await asyncio.sleep(0.1)

    async def connect(self) -> Link | None:
        """Connect to an instance that the front has, if any."""
        if not self.open:
            return None
        number = self.rng.choice(sorted(self.open))
        loop = asyncio.get_running_loop()
        try:
            made = loop.create_connection(lambda: Link(self, number), platform.instances_host(), self.ports[number])
            _, link = await asyncio.wait_for(made, 1.0)
        except OSError:
            return None
        return link

    async def leave_in_a_burst(self) -> None:
        """Connections that ask for much and are closed while their requests are queued."""
        links = [link for _ in range(LEAVERS) if (link := await self.connect()) is not None]
        for link in links:
            link.send(LEAVERS_DEPTH)
        await asyncio.sleep(self.rng.uniform(0.0, 0.03))
        for link in links:
            link.leave()

    async def answers_ping(self, number: int) -> bool:
        """Whether an instance answers `PING` on a new connection."""
        try:
            reader, writer = await asyncio.open_connection(platform.instances_host(), self.ports[number])
        except OSError:
            return False
        try:
            writer.write(encode_command([b"PING"]))
            return await asyncio.wait_for(reader.readline(), 1.0) == b"+PONG\r\n"
        except OSError:
            return False
        finally:
            writer.close()


class Link(asyncio.Protocol):
    """One connection to an instance. Its answers come in the order of its commands."""

    def __init__(self, front: Front, number: int) -> None:
        self.is_up = False
        self.number = number
        self.pending: deque[Try] = deque()
        self._front = front
        self._buffer = bytearray()
        self._has_left = False
        self._had_end = False
        self._last_answer_ms = 0.0

    def connection_made(self, transport: Any) -> None:
        """Join the front's connections."""
        self._transport, self.is_up = transport, True
        self._front.links.add(self)

    def send(self, count: int) -> None:
        """Write so many commands at once."""
        front, data = self._front, b""
        for _ in range(min(count, MAX_PENDING - len(self.pending))):
            each = front.next_try()
            each.tries += 1
            each.id = f"{next(front.serial):016x}"
            data += self._command(each)
            self.pending.append(each)
        if not self._transport.is_closing():
            self._transport.write(data)

    def _command(self, each: Try) -> bytes:
        deadline_ms = platform.DEADLINES_MS[each.cls]
        units = self._front.rng.choice((1, 1, 2))
        each.due_ms = now_ms() + deadline_ms
        self._front.record.write(
            "try",
            id=each.id,
            wish=each.wish,
            cls=each.cls,
            customer=f"{each.customer:016x}",
            plan=each.plan,
            units=units,
            due=each.due_ms,
            gatekeeper=self.number,
            link=id(self),
        )
        values = f"c={each.cls},t={each.plan},d={deadline_ms:.0f},units={units},spread={platform.INSTANCES},first=0"
        if each.cls == "order":
            values += f",k={each.wish}"
        verb = b"Q.ASK" if each.cls == "look" else b"Q.DO"
        parts = [verb, f"{each.customer:016x}".encode(), each.id.encode(), values.encode()]
        return encode_command(parts if each.cls == "look" else [*parts, b"body"])

    def data_received(self, data: bytes) -> None:
        """Take in whole answers."""
        self._buffer += data
        while (answer := self._next_answer()) is not None:
            if not self.pending:
                self._front.record.write("stray", gatekeeper=self.number, data=repr(answer[:80]))
                continue
            self._take(self.pending.popleft(), answer)

    def _next_answer(self) -> bytes | None:
        end = self._buffer.find(b"\r\n")
        if end < 0:
            return None
        end += 2
        if self._buffer[:1] == b"$" and self._buffer[1:2] != b"-":
            end += int(self._buffer[1 : end - 2]) + 2
        if len(self._buffer) < end:
            return None
        answer = bytes(self._buffer[:end])
        del self._buffer[:end]
        return answer

    def _take(self, each: Try, answer: bytes) -> None:
        value = value_of(each.id)
        if answer == b"$%d\r\n%b\r\n" % (len(value), value):
            how = "served"
        elif answer.startswith(b"-BUSY"):
            how = "refused"
        elif answer.startswith(b"-"):
            how = "failed"
        else:
            how = "wrong"
        behind, self._last_answer_ms = self._last_answer_ms, now_ms()
        self._end(each, how, behind=behind, said=answer[:60].decode("latin-1") if how != "served" else "")
        if how == "refused":
            words = answer.split()
            delay_ms = float(words[1]) if len(words) > 1 else 100.0
            self._front.retry(each, delay_ms / 1000)

    def _end(self, each: Try, how: str, **more: Any) -> None:
        self._front.record.write("answer", id=each.id, how=how, gatekeeper=self.number, **more)

    def check_patience(self) -> None:
        """Give up where the first answer is long overdue."""
        now = now_ms()
        if self.pending and now > max(self.pending[0].due_ms, self._last_answer_ms) + PATIENCE_MS:
            while self.pending:
                self._end(self.pending.popleft(), "none")
            self.leave()

    def leave(self) -> None:
        """Close it, whatever is due."""
        self._has_left = True
        while self.pending:
            self._end(self.pending.popleft(), "gone")
        self._transport.close()

    def eof_received(self) -> None:
        """The instance has ended it: nothing more is sent here."""
        self._had_end, self.is_up = True, False

    def connection_lost(self, exc: Exception | None) -> None:
        """Record what was due, and ask what crossed the end of the connection once more."""
        self.is_up = False
        self._front.links.discard(self)
        if self._has_left:
            return
        how = "closed" if self._had_end and exc is None else "reset"
        if self._buffer:
            how = "broken"
        if how == "reset":
            self._front.record.write("reset", gatekeeper=self.number, due=len(self.pending))
        while self.pending:
            each = self.pending.popleft()
            self._end(each, how)
            if how == "closed":
                each.tries -= 1  # the same request once more
                self._front.retry(each, 0.0)
