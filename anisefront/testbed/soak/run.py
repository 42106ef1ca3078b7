"""One soak by its seed: the fleet starts, is loaded and restarted in waves, rests, and ends."""

from __future__ import annotations

import asyncio
import random
import signal
import socket
from collections import Counter
from collections.abc import Coroutine
from datetime import UTC, datetime
from pathlib import Path
from typing import Any

from anisefront.resp_gateway.resp_codec import encode_command
from anisefront.testbed.records import Record, now_ms
from anisefront.testbed.soak import platform
from anisefront.testbed.soak.clients import SLOTS, Front
from anisefront.testbed.soak.discovery import Discovery
from anisefront.testbed.soak.nodes import Node
from anisefront.testbed.soak.peers import Peers
from anisefront.testbed.soak.workers import FAULTS, SeenKeys, Worker
from anisefront.testbed.stall_monitor import StallMonitor

START_S = 60.0  # a start that takes longer ends the run
SETTLE_S = 1.5  # from the start of the fleet to the first measure
AFTER_S = 2.0  # of load after the last restart
QUIET_S = 3.0  # after which idle connections to workers are closed
STATE_S = 12.0  # within which an instance reports its state
MEASURE_S = 0.5
MOMENT_S = 0.2  # in which sockets tell of their end
OUTAGE_S = (2.0, 6.0)  # of discovery; what it has to tell counts as told after that time
CROWD = 150  # idle connections, more than an instance holds
SERIES = ("term", "hup hup term", "term hup", "term term", "hup while reading", "term while starting")


class _Loop:
    """The event loop as `StallMonitor` calls it, until the run is over."""

    def __init__(self) -> None:
        self.is_over = False

    def callLater(self, delay_s: float, call: Any) -> None:
        if not self.is_over:
            asyncio.get_running_loop().call_later(delay_s, lambda: self.is_over or call())


class Soak:
    """The stand-ins, the instances, and what befalls them."""

    def __init__(self, folder: Path, seed: int, seconds: float, guards: dict[int, str]) -> None:
        self.folder, self.seconds, self.guards = folder, seconds, guards
        self.seed = seed
        self.rng = self._random("restarts")
        self.played: Counter[str] = Counter()
        self.records = {name: Record((folder / f"{name}.jsonl").open("w")) for name in RECORDS}
        self.discovery = Discovery(self.records["day"])
        self.peers = Peers()
        self.workers: list[Worker] = []
        self.ports = [platform.free_port(socket.SOCK_STREAM) for _ in range(platform.INSTANCES)]
        self.front = Front(self.records["clients"], self._random("clients"), self.ports)
        self.nodes: list[Node] = []
        self._tasks: set[asyncio.Task[None]] = set()
        self._seen: SeenKeys = {}
        self._turn: list[int] = []  # instances that are still to be restarted before any is again
        self._loop = _Loop()

    def _random(self, what: str) -> random.Random:
        """A source of its own for each thing that goes on beside others, so that a seed plays the same again."""
        return random.Random(f"{what} {self.seed}")

    async def play(self) -> None:
        """The whole run."""
        try:
            await self._start()
            await asyncio.sleep(SETTLE_S)
            self._measure("before")
            await self._load()
            await self._rest()
            await asyncio.gather(*(self._stop(node) for node in self.nodes))
        finally:
            await self._end()

    # ---- start and end -------------------------------------------------------------------------

    async def _start(self) -> None:
        self._note_terms()
        await self.peers.start()
        for _ in range(platform.WORKERS):
            await self._add_worker(cold=False)
        await self.discovery.start()
        await asyncio.sleep(MOMENT_S)  # in which the agents take the list in
        for number, agent in enumerate(self.discovery.agents):
            config = self._config(number, agent.address)
            guard = self.guards.get(number)
            self.nodes.append(Node(number, self.folder, config, self.records["day"], guard))
        StallMonitor(self._loop, self.records["day"], self._pids).start()
        await asyncio.gather(*(self._start_node(node) for node in self.nodes))

    def _note_terms(self) -> None:
        note = self.records["day"].write
        for name, audited_as in platform.AUDITED_AS.items():
            note("class", name=name, repeat=audited_as, scope="cell")
        note(
            "plan",
            name="capped",
            ceiling=platform.CEILING_PER_S,
            ceiling_burst=platform.CEILING_BURST,
            ceiling_slack=platform.CEILING_SLACK,
        )
        note("limits", memory_mb=platform.MEMORY_MB, descriptors=platform.DESCRIPTORS)

    def _config(self, number: int, discovery: str) -> dict[str, Any]:
        return {
            "name": f"n{number}",
            "listen": f"{platform.instances_host()}:{self.ports[number]}",
            "discovery": discovery,
            "seed": f"{self.rng.getrandbits(32):x}",
            "limits": {"cores": 1.0, "memory_mb": platform.MEMORY_MB, "sockets": platform.DESCRIPTORS},
            "peer_listen": f"{platform.instances_host()}:{self.peers.listens[number]}",
            "peers": self.peers.addresses(number),
            "settings": platform.settings(number),
        }

    def _pids(self) -> dict[int, int]:
        return {node.number: node.pid for node in self.nodes if node.pid is not None}

    async def _add_worker(self, cold: bool) -> Worker:
        number = len(self.workers)
        rng = self._random(f"worker {number}")
        worker = Worker(f"s{number}", number % 2, cold, rng, self.records["workers"], self._seen)
        await worker.start()
        self.workers.append(worker)
        self.discovery.publish(worker, "active")
        return worker

    def _spawn(self, node: Node) -> None:
        agent = self.discovery.agents[node.number]
        node.spawn(list(agent.rows.values()), agent.index)

    async def _start_node(self, node: Node) -> None:
        """Start an instance, and let the front have it once it answers."""
        self._spawn(node)
        began = now_ms()
        while not await self.front.answers_ping(node.number):
            if node.pid is None or now_ms() - began > START_S * 1000:
                raise RuntimeError(f"instance {node.number} did not start")
            await asyncio.sleep(0.01)
        self.records["day"].write("ready", number=node.number, took=now_ms() - began)
        self.front.open.add(node.number)

    async def _stop(self, node: Node) -> None:
        self.front.open.discard(node.number)
        node.signal(signal.SIGTERM)
        await node.ended(now_ms())

    async def _end(self) -> None:
        for node in self.nodes:
            if node.pid is not None:
                node.process.kill()
                node.process.wait()
        for task in self._tasks:
            task.cancel()
        for closing in (self.discovery, self.peers, *self.workers):
            closing.close()
        self._loop.is_over = True
        await asyncio.sleep(MOMENT_S)
        for record in self.records.values():
            record.close()

    def _measure(self, when: str) -> None:
        for node in self.nodes:
            node.measure(when)

    def _begin(self, work: Coroutine[Any, Any, None]) -> asyncio.Task[None]:
        task = asyncio.get_running_loop().create_task(work)
        self._tasks.add(task)
        return task

    # ---- load and rest -------------------------------------------------------------------------

    async def _load(self) -> None:
        slots = [self._begin(self.front.keep_slot()) for _ in range(SLOTS)]
        troubles = [self._begin(work) for work in (self._measures(), self._spells(), self._bursts(), self._fleet())]
        until = now_ms() + self.seconds * 1000
        while now_ms() < until:
            await asyncio.sleep(self.rng.uniform(0.3, 0.8))
            await self._wave()
        await asyncio.sleep(AFTER_S)
        for trouble in troubles:
            trouble.cancel()
        for worker in self.workers:
            worker.manner = ""
        self.front.is_over = True
        await asyncio.gather(*slots)
        for link in list(self.front.links):
            link.leave()

    async def _rest(self) -> None:
        """Without clients, until each instance has reported a state of that time."""
        await asyncio.sleep(QUIET_S)
        since = datetime.now(UTC).isoformat()
        until = now_ms() + STATE_S * 1000
        while now_ms() < until and any(node.last_state()[0] < since for node in self.nodes):
            await asyncio.sleep(0.2)
        for node in self.nodes:
            at, out = node.last_state()
            self.records["day"].write("state", number=node.number, is_fresh=at >= since, out=out)
        self._measure("after")

    async def _measures(self) -> None:
        while True:
            await asyncio.sleep(MEASURE_S)
            self._measure("under load")

    async def _spells(self) -> None:
        """One worker at a time goes wrong in all it does for a while."""
        rng = self._random("spells")
        while True:
            await asyncio.sleep(rng.uniform(1.0, 3.0))
            worker = rng.choice(self.workers)
            worker.manner = rng.choice(FAULTS)
            await asyncio.sleep(rng.uniform(0.2, 1.0))
            worker.manner = ""

    async def _bursts(self) -> None:
        rng = self._random("bursts")
        while True:
            await asyncio.sleep(rng.uniform(0.5, 2.0))
            self.played["bursts that left"] += 1
            await self.front.leave_in_a_burst()

    async def _fleet(self) -> None:
        """Workers leave, and cold ones come."""
        rng = self._random("fleet")
        while True:
            await asyncio.sleep(rng.uniform(3.0, 6.0))
            worker, status = rng.choice(list(self.discovery.listed.values()))
            if status != "active":
                continue
            self.played["workers replaced"] += 1
            await self._add_worker(cold=True)
            self.discovery.publish(worker, "leaving")
            await asyncio.sleep(2.0)
            self.discovery.publish(worker, "left")

    # ---- restarts ------------------------------------------------------------------------------

    async def _wave(self) -> None:
        """Restart several instances in overlapping order, under one of the troubles."""
        numbers = self._next_numbers(self.rng.choice((1, 2, 2, 3)))
        agents = [self.discovery.agents[number] for number in numbers]
        trouble = self.rng.choice(("", "", "slow discovery", "silent discovery", "cut", "crowd", "quiet"))
        self.played[trouble or "no trouble"] += 1
        self.records["day"].write("wave", numbers=numbers, trouble=trouble)
        crowd: list[asyncio.StreamWriter] = []
        if trouble == "quiet":
            self.front.is_paused = True
            await asyncio.sleep(platform.CONNECTION_IDLE_MS * 1.2 / 1000)
            self.front.is_paused = False
        elif trouble == "cut":
            self.peers.cut = set(self.rng.sample(range(platform.INSTANCES), 2))
            self._begin(self._heal(self.rng.uniform(0.5, 4.0)))
        elif trouble == "crowd":
            crowd = await self._crowd(numbers[0])
        elif trouble:
            for agent in agents:
                agent.delay_s = self.rng.uniform(1.0, 3.0) if trouble == "slow discovery" else 0.0
                if trouble == "silent discovery":
                    agent.silence()
            self._begin(self._speak(agents, self.rng.uniform(*OUTAGE_S)))
        sources = [random.Random(self.rng.random()) for _ in numbers]
        pairs = zip(numbers, sources, strict=True)
        await asyncio.gather(*(self._restart(self.nodes[number], rng) for number, rng in pairs))
        for writer in crowd:
            writer.close()

    def _next_numbers(self, count: int) -> list[int]:
        if len(self._turn) < count:
            self._turn = self.rng.sample(range(platform.INSTANCES), platform.INSTANCES)
        numbers, self._turn = self._turn[:count], self._turn[count:]
        return numbers

    async def _heal(self, after_s: float) -> None:
        await asyncio.sleep(after_s)
        self.peers.cut = set()

    async def _speak(self, agents: list[Any], after_s: float) -> None:
        await asyncio.sleep(after_s)
        for agent in agents:
            agent.delay_s = 0.0
            agent.speak()

    async def _crowd(self, number: int) -> list[asyncio.StreamWriter]:
        """Idle connections that have sent a command each."""
        writers = []
        for _ in range(CROWD):
            try:
                _, writer = await asyncio.open_connection(platform.instances_host(), self.ports[number])
            except OSError:
                break
            writer.write(encode_command([b"PING"]))
            writers.append(writer)
        return writers

    async def _restart(self, node: Node, rng: random.Random) -> None:
        """A planned restart with one of the series of signals."""
        await asyncio.sleep(rng.uniform(0.0, 1.0))
        series = rng.choice(SERIES)
        self.played[series] += 1
        self.records["day"].write("restart", number=node.number, series=series)
        term_ms = await self._end_life(node, series, rng)
        asyncio.get_running_loop().call_later(rng.uniform(0.2, 0.4), self.front.open.discard, node.number)
        await node.ended(term_ms)
        if series == "term while starting":
            self._spawn(node)
            await node.until_armed()
            await asyncio.sleep(rng.uniform(0.0, 0.6))
            node.signal(signal.SIGTERM)
            await node.ended(now_ms())
        await self._start_node(node)

    async def _end_life(self, node: Node, series: str, rng: random.Random) -> float:
        """Send a series of signals; when SIGTERM was sent."""
        if series == "hup while reading":
            await node.hang_up_while_reading()
        elif series == "hup hup term":
            for _ in range(2):
                self._change(node, rng)
                node.signal(signal.SIGHUP)
                await asyncio.sleep(rng.choice((0.0, 0.01, 0.1)))
        term_ms = now_ms()
        node.signal(signal.SIGTERM)
        if series == "hup while reading":
            await asyncio.sleep(rng.uniform(0.0, 0.05))
            node.release()
        elif series == "term hup":
            await asyncio.sleep(rng.choice((0.0, 0.05, 0.5)))
            self._change(node, rng)
            node.signal(signal.SIGHUP)
        elif series == "term term":
            await asyncio.sleep(rng.uniform(0.02, 1.0))
            node.signal(signal.SIGTERM)
        return term_ms

    def _change(self, node: Node, rng: random.Random) -> None:
        """Another quota in the file, for SIGHUP to take in."""
        node.config["settings"]["packages"][0]["perSecond"] = rng.uniform(4000.0, 6000.0)
        node.write()


RECORDS = ("clients", "workers", "proxies", "day")
