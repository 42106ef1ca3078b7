"""Open-loop clients of real gateways: a check, the request to the worker that it names, and the access log entry.

The same request is then sent straight to that worker for comparison. Latencies count from the scheduled time. Built on
the senders of `anisefront load`. On this path the check is what a gateway adds to a request.
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

MAX_OPEN_REQUESTS = 2000
TIMEOUT_S = 6.0
READY_TIMEOUT_S = 20.0


async def exchange(address: str, path: str) -> None:
    """Send one request to a worker over a new connection and read its response."""
    host, _, port = address.rpartition(":")
    reader, writer = await asyncio.open_connection(host, int(port))
    try:
        writer.write(f"GET {path} HTTP/1.1\r\nhost: {address}\r\n\r\n".encode())
        while await reader.read(4096):
            pass
    finally:
        writer.close()


def client_of(address: str) -> Any:
    """Return a sender that acts as a front proxy and returns the worker that a check names."""
    from anisefront.testbed.load import sender

    class CheckClient(sender._GrpcProxy):
        async def check(self, path: str, key: str, name: str) -> tuple[str, str]:
            """Return the worker and the attempt token; without a worker, the reason of the rejection."""
            request = self._auth.CheckRequest()
            http = request.attributes.request.http
            http.method, http.path, http.host = "GET", path, "load.example"
            http.headers["x-api-key"], http.headers["x-request-id"] = key, name
            answer = await self._check(request, timeout=TIMEOUT_S)
            headers = {
                option.header.key: option.header.value
                for option in (answer.ok_response if answer.HasField("ok_response") else answer.denied_response).headers
            }
            if not answer.HasField("ok_response"):
                return "", headers.get("x-anisefront-final", "denied") + " " + headers.get("x-anisefront-reason", "")
            return headers["x-envoy-original-dst-host"], headers["x-anisefront-attempt"]

    return CheckClient(address, 0.0)


class Observations:
    """Latencies of one run in milliseconds, and counts of its outcomes."""

    def __init__(self) -> None:
        self.check: list[float] = []
        self.through: list[float] = []
        self.direct: list[float] = []
        self.late: list[float] = []
        self.counts: dict[str, int] = {}

    def count(self, outcome: str) -> None:
        """Count one outcome."""
        self.counts[outcome] = self.counts.get(outcome, 0) + 1


async def send_request(client: Any, observations: Observations, due: float, path: str, key: str, name: str) -> None:
    """Send one request through the gateway, then the same one straight to its worker."""
    loop = asyncio.get_running_loop()
    try:
        worker, token = await client.check(path, key, name)
        checked = loop.time()
        observations.check.append((checked - due) * 1000)
        if not worker:
            observations.count(token)
            return
        await asyncio.wait_for(exchange(worker, path), TIMEOUT_S)
        observations.through.append((loop.time() - due) * 1000)
        client._work_s = loop.time() - checked
        client._log(token)
        began = loop.time()
        await asyncio.wait_for(exchange(worker, path), TIMEOUT_S)
        observations.direct.append((loop.time() - began) * 1000)
        observations.count("served")
    except Exception as problem:  # any failure is counted as an outcome, by its type
        observations.count(f"lost {type(problem).__name__}")


async def run(command: dict[str, Any], clients: dict[str, Any]) -> dict[str, Any]:
    """Send requests at `rate` per second to each target for `seconds`; return all observations."""
    rng, observations, tasks, loop = random.Random(command["seed"]), Observations(), set(), asyncio.get_running_loop()
    plan = []
    for number, target in command["targets"].items():
        at = rng.expovariate(command["rate"])
        while at < command["seconds"]:
            plan.append((at, number, target["grpc"], rng.choice(command["paths"]), rng.choice(target["keys"])))
            at += rng.expovariate(command["rate"])
    for address in {each[2] for each in plan}:  # the setup of a connection is not a cost of the gateway
        if address not in clients:
            clients[address] = client_of(address)
            await asyncio.wait_for(clients[address]._channel.channel_ready(), READY_TIMEOUT_S)
    start = loop.time() + 0.1
    for place, (at, number, address, path, key) in enumerate(sorted(plan)):
        delay = start + at - loop.time()
        if delay > 0:
            await asyncio.sleep(delay)
        observations.late.append((loop.time() - start - at) * 1000)
        if len(tasks) >= MAX_OPEN_REQUESTS:
            observations.count("not sent")
            continue
        request_task = loop.create_task(
            send_request(clients[address], observations, start + at, path, key, f"{command['seed']}-{number}-{place}")
        )
        tasks.add(request_task)
        request_task.add_done_callback(tasks.discard)
    if tasks:
        await asyncio.wait(tasks, timeout=3 * TIMEOUT_S)
    return {
        "check": observations.check,
        "through": observations.through,
        "direct": observations.direct,
        "late": observations.late,
        "counts": observations.counts,
        "ended": time.time(),
    }


async def serve() -> None:
    """Execute the runs that the parent requests, one after another; answer each when it has ended."""
    clients, loop, lines = {}, asyncio.get_running_loop(), asyncio.Queue()

    def read() -> None:
        """Pass lines of standard input to the event loop."""
        for line in sys.stdin:
            loop.call_soon_threadsafe(lines.put_nowait, line)
        loop.call_soon_threadsafe(lines.put_nowait, "")

    threading.Thread(target=read, daemon=True).start()
    while line := await lines.get():
        command = json.loads(line)
        for address in [
            each for each in clients if each not in {target["grpc"] for target in command["targets"].values()}
        ]:
            await clients.pop(address).close()
        child.send_to_parent(await run(command, clients))


def main() -> None:
    """Load the modules that senders need, then serve runs until the parent closes the pipe."""
    child.task()
    import grpc.aio  # noqa: F401

    import anisefront.testbed.load.sender  # noqa: F401 - imported now, so that loading does not delay the first request

    asyncio.run(serve())


if __name__ == "__main__":
    main()
