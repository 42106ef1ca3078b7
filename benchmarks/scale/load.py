"""Clients of real gatekeepers, open loop: a check, the request to the worker that it names, the log of its end; and the
same request straight to that worker beside it. Latencies count from the scheduled time.

Built on the senders of `anisefront load`. What a gatekeeper adds to a request on this path is its check.
"""

from __future__ import annotations

import asyncio
import json
import random
import sys
import threading
import time
from typing import Any

from benchmarks.scale import child

MOST_OPEN, PATIENCE_S, READY_S = 2000, 6.0, 20.0


async def exchange(address: str, path: str) -> None:
    """One request to a worker over a connection of its own."""
    host, _, port = address.rpartition(":")
    reader, writer = await asyncio.open_connection(host, int(port))
    try:
        writer.write(f"GET {path} HTTP/1.1\r\nhost: {address}\r\n\r\n".encode())
        while await reader.read(4096):
            pass
    finally:
        writer.close()


def way_to(address: str) -> Any:
    """The lab's sender as a front proxy, told of the worker that a check names."""
    from anisefront.testbed.load import sender

    class Way(sender._Proxy):
        async def check(self, path: str, key: str, name: str) -> tuple[str, str]:
            request = self._auth.CheckRequest()
            http = request.attributes.request.http
            http.method, http.path, http.host = "GET", path, "load.example"
            http.headers["x-api-key"], http.headers["x-request-id"] = key, name
            answer = await self._check(request, timeout=PATIENCE_S)
            told = {
                option.header.key: option.header.value
                for option in (answer.ok_response if answer.HasField("ok_response") else answer.denied_response).headers
            }
            if not answer.HasField("ok_response"):
                return "", told.get("x-anisefront-final", "denied") + " " + told.get("x-anisefront-reason", "")
            return told["x-envoy-original-dst-host"], told["x-anisefront-attempt"]

    return Way(address, 0.0)


class Seen:
    """What one run saw; milliseconds."""

    def __init__(self) -> None:
        self.check: list[float] = []
        self.through: list[float] = []
        self.direct: list[float] = []
        self.late: list[float] = []
        self.counts: dict[str, int] = {}

    def count(self, how: str) -> None:
        self.counts[how] = self.counts.get(how, 0) + 1


async def one(way: Any, seen: Seen, due: float, path: str, key: str, name: str) -> None:
    """One request, and the same straight to its worker."""
    loop = asyncio.get_running_loop()
    try:
        worker, token = await way.check(path, key, name)
        checked = loop.time()
        seen.check.append((checked - due) * 1000)
        if not worker:
            seen.count(token)
            return
        await asyncio.wait_for(exchange(worker, path), PATIENCE_S)
        seen.through.append((loop.time() - due) * 1000)
        way._work_s = loop.time() - checked
        way._log(token)
        began = loop.time()
        await asyncio.wait_for(exchange(worker, path), PATIENCE_S)
        seen.direct.append((loop.time() - began) * 1000)
        seen.count("served")
    except Exception as problem:  # an end like any other, counted by its kind
        seen.count(f"lost {type(problem).__name__}")


async def run(told: dict[str, Any], ways: dict[str, Any]) -> dict[str, Any]:
    """Requests at `rate` a second to each target for `seconds`; all that was seen."""
    chance, seen, tasks, loop = random.Random(told["seed"]), Seen(), set(), asyncio.get_running_loop()
    plan = []
    for number, target in told["targets"].items():
        at = chance.expovariate(told["rate"])
        while at < told["seconds"]:
            plan.append((at, number, target["grpc"], chance.choice(told["paths"]), chance.choice(target["keys"])))
            at += chance.expovariate(told["rate"])
    for address in {each[2] for each in plan}:  # what a connection costs at first is no gatekeeper's doing
        if address not in ways:
            ways[address] = way_to(address)
            await asyncio.wait_for(ways[address]._channel.channel_ready(), READY_S)
    start = loop.time() + 0.1
    for place, (at, number, address, path, key) in enumerate(sorted(plan)):
        delay = start + at - loop.time()
        if delay > 0:
            await asyncio.sleep(delay)
        seen.late.append((loop.time() - start - at) * 1000)
        if len(tasks) >= MOST_OPEN:
            seen.count("not sent")
            continue
        made = loop.create_task(one(ways[address], seen, start + at, path, key, f"{told['seed']}-{number}-{place}"))
        tasks.add(made)
        made.add_done_callback(tasks.discard)
    if tasks:
        await asyncio.wait(tasks, timeout=3 * PATIENCE_S)
    return {
        "check": seen.check,
        "through": seen.through,
        "direct": seen.direct,
        "late": seen.late,
        "counts": seen.counts,
        "ended": time.time(),
    }


async def serve() -> None:
    """Runs, one after another, as the supervisor says; each answers when it has ended."""
    ways, loop, lines = {}, asyncio.get_running_loop(), asyncio.Queue()

    def read() -> None:
        for line in sys.stdin:
            loop.call_soon_threadsafe(lines.put_nowait, line)
        loop.call_soon_threadsafe(lines.put_nowait, "")

    threading.Thread(target=read, daemon=True).start()
    while line := await lines.get():
        told = json.loads(line)
        for address in [each for each in ways if each not in {target["grpc"] for target in told["targets"].values()}]:
            await ways.pop(address).close()
        child.say(await run(told, ways))


def main() -> None:
    child.task()
    import anisefront.testbed.load.sender  # noqa: F401 - what is loaded now does not delay the first request
    import grpc.aio  # noqa: F401

    asyncio.run(serve())


if __name__ == "__main__":
    main()
