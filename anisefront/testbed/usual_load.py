"""Requests of usual clients at a fixed rate, whatever the replies do, on connections that are kept."""

from __future__ import annotations

import asyncio
import itertools
import time
from collections.abc import Iterator
from dataclasses import dataclass

from anisefront.resp_gateway.resp_codec import encode_command

LONGEST_WAIT_S = 5.0  # beyond a request's time

Streams = tuple[asyncio.StreamReader, asyncio.StreamWriter]


@dataclass(frozen=True, slots=True)
class Answer:
    """What a client saw of one request; `after_ms` is None where no reply came."""

    time_ms: int
    after_ms: float | None
    line: str

    @property
    def over_ms(self) -> float:
        """Return how long after the request's time the reply came."""
        return float("inf") if self.after_ms is None else self.after_ms - self.time_ms


class UsualLoad:
    """Sends requests to one port of the loopback address; `answers` has one entry for each."""

    def __init__(self, port: int, times_ms: list[int]) -> None:
        """Create a load without connections."""
        self.answers: list[Answer] = []
        self._port = port
        self._times_ms = itertools.cycle(times_ms)
        self._numbers: Iterator[int] = itertools.count(1)
        self._idle: list[Streams] = []

    async def run(self, rate: float, seconds: float) -> None:
        """Send at a rate for a time, then wait for the replies and close the connections."""
        ends_s = time.monotonic() + seconds
        requests = []
        while time.monotonic() < ends_s:
            requests.append(asyncio.ensure_future(self._ask(next(self._times_ms))))
            await asyncio.sleep(1 / rate)
        await asyncio.gather(*requests)
        for _, writer in self._idle:
            writer.close()
            await writer.wait_closed()

    async def _ask(self, time_ms: int) -> None:
        number = next(self._numbers)
        terms = b"c=look,t=rated,d=%d,units=1,spread=1,first=0" % time_ms
        started_s = time.monotonic()
        try:
            line = await asyncio.wait_for(
                self._exchange([b"Q.ASK", b"%016x" % number, b"%016x" % number, terms]),
                time_ms / 1000 + LONGEST_WAIT_S,
            )
        except (OSError, EOFError, TimeoutError) as error:
            self.answers.append(Answer(time_ms, None, type(error).__name__))
        else:
            self.answers.append(Answer(time_ms, 1000 * (time.monotonic() - started_s), line.decode().strip()))

    async def _exchange(self, parts: list[bytes]) -> bytes:
        while self._idle:
            streams = self._idle.pop()
            try:
                return await self._exchange_on(streams, parts)
            except (OSError, EOFError):
                # The connection was closed while it was idle: the client sends once more.
                streams[1].close()
        return await self._exchange_on(await asyncio.open_connection("127.0.0.1", self._port), parts)

    async def _exchange_on(self, streams: Streams, parts: list[bytes]) -> bytes:
        reader, writer = streams
        writer.write(encode_command(parts))
        line = await reader.readuntil(b"\r\n")
        if line.startswith(b"$"):
            await reader.readuntil(b"\r\n")
        self._idle.append(streams)
        return line
