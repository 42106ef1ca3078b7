"""Two hundred clients stop in the middle of a command and stay; the platform kills what passes its memory limit."""

from __future__ import annotations

import asyncio
import contextlib
import signal
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

import sites
import standins

MEMORY_MB = 96.0
SOCKETS = 576
STUCK_CLIENTS = 200
STAY_S = 4.0
PARTS = 8
VALUE = b"x" * (64 << 10)  # the most that a value may hold
HALF_COMMAND = b"*%d\r\n" % PARTS + (b"$%d\r\n%b\r\n" % (len(VALUE), VALUE)) * (PARTS - 1) + b"$%d\r\n" % len(VALUE)
USUAL_CLIENTS = 10
USUAL_REQUESTS = 30
GAP_S = 0.2
SAMPLE_S = 0.01


async def stop_midway(gateway: standins.Gateway, ends: list[bytes]) -> None:
    """Send half a command and stay; keep what comes back: an error, or nothing before a close."""
    with contextlib.suppress(OSError, TimeoutError):
        reader, writer = await asyncio.open_connection(*gateway.address)
        writer.write(HALF_COMMAND)
        ends.append(await asyncio.wait_for(reader.read(200), STAY_S))
        await asyncio.sleep(STAY_S)
        writer.close()


async def ask_usually(gateway: standins.Gateway, record: standins.Record, number: int) -> None:
    """Send requests one after another, as a front does for its customers."""
    client = await standins.Client.connect(gateway, record)
    for _ in range(USUAL_REQUESTS):
        request_id = standins.new_id()
        data = standins.request("Q.ASK", "stock-view", "market-wide", request_id, 5000, customer=number + 1)
        _, reply = await client.ask(request_id, data, 5.5)
        if reply is None:
            return
        await asyncio.sleep(GAP_S)


async def enforce_memory(gateway: standins.Gateway, record: standins.Record) -> float:
    """Kill the gateway instance when it needs more memory than its limit, as the platform does.

    Returns:
        Its memory in MB then, 0 where it stayed within the limit. Runs until it is cancelled or has killed.
    """
    peak_mb = 0.0
    while True:
        memory_mb = gateway.memory_mb()
        if memory_mb > peak_mb + 1:
            peak_mb = memory_mb
            record.write("memory", gateway=gateway.number, mb=f"{memory_mb:.0f}", limit=MEMORY_MB)
        if memory_mb > MEMORY_MB:
            gateway.signal(signal.SIGKILL)
            record.write("killed for memory", gateway=gateway.number, mb=f"{memory_mb:.0f}", limit=MEMORY_MB)
            return memory_mb
        await asyncio.sleep(SAMPLE_S)


async def case(record: standins.Record, folder: Path) -> int:
    """Return whether a gateway instance was killed for memory."""
    workers = [standins.Worker(f"s-{number}", record, 150.0, "util=0.3,inflight=1") for number in range(8)]
    site = standins.Site(record, folder, workers)
    try:
        await site.start(sites.neihu_main(), {"cores": 1.0, "memory_mb": MEMORY_MB, "sockets": SOCKETS})
        gateway = site.gateways[0]
        platform = asyncio.create_task(enforce_memory(gateway, record))
        usual = [asyncio.create_task(ask_usually(gateway, record, number)) for number in range(USUAL_CLIENTS)]
        await asyncio.sleep(1.0)
        ends: list[bytes] = []
        if standins.trouble():
            record.write("trouble", clients=STUCK_CLIENTS, bytes_each=len(HALF_COMMAND))
            await asyncio.gather(*(stop_midway(gateway, ends) for _ in range(STUCK_CLIENTS)))
            record.write("trouble over", errors=sum(end.startswith(b"-") for end in ends), closes=ends.count(b""))
        await asyncio.gather(*usual, return_exceptions=True)
        platform.cancel()
        killed = platform.done() and not platform.cancelled() and platform.result() > 0
        return standins.BROKEN if killed else standins.HELD
    finally:
        site.end()


standins.run_case(__file__, case)
