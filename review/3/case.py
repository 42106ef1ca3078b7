"""Many clients send hundreds of commands at once, and again as soon as they are turned away."""

from __future__ import annotations

import asyncio
import subprocess
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

import sites
import standins

BAD_CLIENTS = 300
COMMANDS = 300  # at once
FLOOD_S = 6.0
USUAL_CLIENTS = 20
USUAL_S = 5.0
GAP_S = 0.1
SILENCE_S = 12.0
TIMEOUT_MS = 1000  # half of the class's deadline, the least that a client waits
LATEST_MS = TIMEOUT_MS + standins.LATE_MS + standins.SOCKET_SLACK_MS


class BadClient(asyncio.Protocol):
    """Sends its commands at once, reads all answers, and sends as many again."""

    def __init__(self, number: int) -> None:
        """Prepare the commands of a customer of its own."""
        ids = (standins.new_id() for _ in range(COMMANDS))
        data = (standins.request("Q.ASK", "seat-check", "estandar", each, TIMEOUT_MS, 1000 + number) for each in ids)
        self.commands = b"".join(data)
        self.answers = 0

    def connection_made(self, transport: asyncio.Transport) -> None:
        """Send the first commands."""
        self.transport = transport
        self.send()

    def send(self) -> None:
        """Send the commands."""
        self.answers = 0
        self.transport.write(self.commands)

    def data_received(self, data: bytes) -> None:
        """Count answers."""
        self.answers += data.count(b"-BUSY") + data.count(standins.VALUE) + data.count(b"-ERR")
        if self.answers >= COMMANDS:
            self.send()


async def flood(address: str, port: str) -> None:
    """Be all bad clients, in a process of their own."""
    loop = asyncio.get_running_loop()
    for number in range(BAD_CLIENTS):
        await loop.create_connection(lambda number=number: BadClient(number), address, int(port))
    await asyncio.sleep(FLOOD_S)


async def ask_usually(site: standins.Site, number: int, end_ms: float) -> int:
    """Send requests one after another, and return how many got no answer in time."""
    record = site.record
    client = await standins.Client.connect(site.gateways[0], record)
    late = 0
    while record.now_ms() < end_ms:
        request_id = standins.new_id()
        data = standins.request("Q.ASK", "seat-check", "amplio", request_id, TIMEOUT_MS, number + 1)
        took_ms, reply = await client.ask(request_id, data, SILENCE_S)
        closed = client.reader.at_eof()
        if took_ms > LATEST_MS and not (closed and reply is None):
            late += 1
            record.write("judged", id=request_id, after_ms=f"{took_ms:.0f}", latest_ms=LATEST_MS, answer=reply)
        if closed:  # between requests, or unread: the client goes on with a new connection
            client.close()
            client = await standins.Client.connect(site.gateways[0], record)
        await asyncio.sleep(GAP_S)
    client.close()
    return late


async def case(record: standins.Record, folder: Path) -> int:
    """Return whether each usual request got its final answer at most half a second after its time."""
    workers = [standins.Worker(f"s-{number}", record, 80.0, "util=0.3,inflight=1") for number in range(8)]
    site = standins.Site(record, folder, workers)
    bad = None
    try:
        await site.start(sites.coop_lic_santiago(), {"cores": 1.0, "memory_mb": 192.0, "sockets": 1024})
        end_ms = record.now_ms() + USUAL_S * 1000
        usual = [asyncio.create_task(ask_usually(site, number, end_ms)) for number in range(USUAL_CLIENTS)]
        await asyncio.sleep(1.0)
        if standins.trouble():
            record.write("trouble", clients=BAD_CLIENTS, commands=COMMANDS)
            bad = subprocess.Popen([sys.executable, "-B", __file__, *map(str, site.gateways[0].address)])
        late = sum(await asyncio.gather(*usual))
        record.write("late", requests=late)
        return standins.BROKEN if late else standins.HELD
    finally:
        if bad is not None:
            bad.kill()
            bad.wait()
        site.end()


if len(sys.argv) > 1:
    asyncio.run(flood(*sys.argv[1:]))
else:
    standins.run_case(__file__, case)
