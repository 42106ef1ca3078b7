"""One soak run from a seed: start the instances, restart them in waves under load, let them idle, and stop them."""

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
from anisefront.testbed.soak.clients import CONNECTIONS, LoadGenerator
from anisefront.testbed.soak.discovery import Discovery
from anisefront.testbed.soak.nodes import Node
from anisefront.testbed.soak.peers import Peers
from anisefront.testbed.soak.workers import FAULTS, SeenKeys, Worker
from anisefront.testbed.stall_monitor import StallMonitor

START_TIMEOUT_S = 60.0  # a start that takes longer fails the run
SETTLE_S = 1.5  # from the start of the instances to the first measurement
LOAD_AFTER_LAST_RESTART_S = 2.0  # of load after the last restart
IDLE_S = 3.0  # longer than instances keep idle connections to workers
STATE_TIMEOUT_S = 12.0  # an instance logs its state at shorter intervals
MEASURE_INTERVAL_S = 0.5
EVENT_LOOP_GRACE_S = 0.2  # for the event loop to process closed sockets and list updates
NEW_CONNECTIONS_S = (0.2, 0.4)  # after SIGTERM, for which clients still open connections
DISCOVERY_OUTAGE_S = (2.0, 6.0)  # at most discovery.DELIVERY_DEADLINE_S, after which changes count as delivered
IDLE_CONNECTIONS = 150  # more than an instance holds
SIGNAL_SERIES = ("term", "hup hup term", "term hup", "term term", "hup while reading", "term while starting")


class _ReactorAdapter:
    """Adapter that offers the asyncio loop as the reactor that `StallMonitor` expects, until the run is stopped."""

    def __init__(self) -> None:
        self.is_stopped = False

    def callLater(self, delay_s: float, callback: Any) -> None:
        if not self.is_stopped:
            asyncio.get_running_loop().call_later(delay_s, lambda: self.is_stopped or callback())


class Soak:
    """The stand-ins, the gateway instances, and the restarts and faults that are injected."""

    def __init__(self, folder: Path, seed: int, seconds: float, faults_by_instance: dict[int, str]) -> None:
        """Prepare a run; `faults_by_instance` names the sabotage of instances by number."""
        self.folder, self.seconds, self.faults_by_instance = folder, seconds, faults_by_instance
        self.seed = seed
        self.rng = self._random_source("restarts")
        self.scenario_counts: Counter[str] = Counter()
        self.records = {name: Record((folder / f"{name}.jsonl").open("w")) for name in RECORDS}
        self.discovery = Discovery(self.records["day"])
        self.peers = Peers()
        self.workers: list[Worker] = []
        self.ports = [platform.free_port(socket.SOCK_STREAM) for _ in range(platform.INSTANCES)]
        self.load_generator = LoadGenerator(self.records["clients"], self._random_source("clients"), self.ports)
        self.nodes: list[Node] = []
        self._tasks: set[asyncio.Task[None]] = set()
        self._seen_keys: SeenKeys = {}
        self._restart_queue: list[int] = []  # instances left to restart before any is restarted a second time
        self._reactor = _ReactorAdapter()

    def _random_source(self, activity: str) -> random.Random:
        """Return a random source for one concurrent activity, so that a seed gives each the same draws in every run."""
        return random.Random(f"{activity} {self.seed}")

    async def run(self) -> None:
        """Run the soak from start to end and write its records."""
        try:
            await self._start()
            await asyncio.sleep(SETTLE_S)
            self._measure("before")
            await self._run_load()
            await self._idle()
            await asyncio.gather(*(self._stop(node) for node in self.nodes))
        finally:
            await self._clean_up()

    # ---- start and end -------------------------------------------------------------------------

    async def _start(self) -> None:
        self._record_settings()
        await self.peers.start()
        for _ in range(platform.WORKERS):
            await self._add_worker(cold=False)
        await self.discovery.start()
        await asyncio.sleep(EVENT_LOOP_GRACE_S)  # the agents apply the list
        for number, agent in enumerate(self.discovery.agents):
            config = self._config(number, agent.address)
            faults = self.faults_by_instance.get(number)
            self.nodes.append(Node(number, self.folder, config, self.records["day"], faults))
        StallMonitor(self._reactor, self.records["day"], self._pids).start()
        await asyncio.gather(*(self._start_node(node) for node in self.nodes))

    def _record_settings(self) -> None:
        write = self.records["day"].write
        for name, audited_as in platform.AUDITED_AS.items():
            write("class", name=name, repeat=audited_as, scope="cell")
        write(
            "plan",
            name="capped",
            ceiling=platform.CEILING_PER_S,
            ceiling_burst=platform.CEILING_BURST,
            ceiling_slack=platform.CEILING_SLACK,
        )
        write("limits", memory_mb=platform.MEMORY_MB, descriptors=platform.DESCRIPTORS)

    def _config(self, number: int, discovery: str) -> dict[str, Any]:
        return {
            "name": f"n{number}",
            "listen": f"{platform.instance_host()}:{self.ports[number]}",
            "discovery": discovery,
            "seed": f"{self.rng.getrandbits(32):x}",
            "limits": {"cores": 1.0, "memory_mb": platform.MEMORY_MB, "sockets": platform.DESCRIPTORS},
            "peer_listen": f"{platform.instance_host()}:{self.peers.listen_ports[number]}",
            "peers": self.peers.addresses(number),
            "settings": platform.settings(number),
        }

    def _pids(self) -> dict[int, int]:
        return {node.number: node.pid for node in self.nodes if node.pid is not None}

    async def _add_worker(self, cold: bool) -> Worker:
        number = len(self.workers)
        rng = self._random_source(f"worker {number}")
        worker = Worker(f"s{number}", number % 2, cold, rng, self.records["workers"], self._seen_keys)
        await worker.start()
        self.workers.append(worker)
        self.discovery.publish(worker, "active")
        return worker

    def _spawn(self, node: Node) -> None:
        agent = self.discovery.agents[node.number]
        node.spawn(list(agent.rows.values()), agent.index)

    async def _start_node(self, node: Node) -> None:
        """Start an instance, and send it load once it answers."""
        self._spawn(node)
        started_ms = now_ms()
        while not await self.load_generator.answers_ping(node.number):
            if node.pid is None or now_ms() - started_ms > START_TIMEOUT_S * 1000:
                raise RuntimeError(f"instance {node.number} exited during its start or did not answer PING in time")
            await asyncio.sleep(0.01)
        self.records["day"].write("ready", number=node.number, took=now_ms() - started_ms)
        self.load_generator.ready_instances.add(node.number)

    async def _stop(self, node: Node) -> None:
        self.load_generator.ready_instances.discard(node.number)
        node.signal(signal.SIGTERM)
        await node.wait_for_exit(now_ms())

    async def _clean_up(self) -> None:
        for node in self.nodes:
            if node.pid is not None:
                node.process.kill()
                node.process.wait()
        for task in self._tasks:
            task.cancel()
        for stand_in in (self.discovery, self.peers, *self.workers):
            stand_in.close()
        self._reactor.is_stopped = True
        await asyncio.sleep(EVENT_LOOP_GRACE_S)
        for record in self.records.values():
            record.close()

    def _measure(self, when: str) -> None:
        for node in self.nodes:
            node.measure(when)

    def _create_task(self, coroutine: Coroutine[Any, Any, None]) -> asyncio.Task[None]:
        task = asyncio.get_running_loop().create_task(coroutine)
        self._tasks.add(task)
        return task

    # ---- load and idle time --------------------------------------------------------------------

    async def _run_load(self) -> None:
        connection_tasks = [self._create_task(self.load_generator.run_connection()) for _ in range(CONNECTIONS)]
        fault_tasks = [
            self._create_task(coroutine)
            for coroutine in (
                self._measure_periodically(),
                self._inject_worker_faults(),
                self._send_abandoned_bursts(),
                self._replace_workers(),
            )
        ]
        deadline_ms = now_ms() + self.seconds * 1000
        while now_ms() < deadline_ms:
            await asyncio.sleep(self.rng.uniform(0.3, 0.8))
            await self._restart_wave()
        await asyncio.sleep(LOAD_AFTER_LAST_RESTART_S)
        for task in fault_tasks:
            task.cancel()
        for worker in self.workers:
            worker.fault = ""
        self.load_generator.is_stopped = True
        await asyncio.gather(*connection_tasks)
        for connection in list(self.load_generator.connections):
            connection.abandon()

    async def _idle(self) -> None:
        """Idle without clients until each instance has logged a state of that time; measure and record it."""
        await asyncio.sleep(IDLE_S)
        idle_since = datetime.now(UTC).isoformat()
        deadline_ms = now_ms() + STATE_TIMEOUT_S * 1000
        while now_ms() < deadline_ms and any(node.last_state()[0] < idle_since for node in self.nodes):
            await asyncio.sleep(0.2)
        for node in self.nodes:
            timestamp, in_flight = node.last_state()
            self.records["day"].write("state", number=node.number, is_fresh=timestamp >= idle_since, out=in_flight)
        self._measure("after")

    async def _measure_periodically(self) -> None:
        while True:
            await asyncio.sleep(MEASURE_INTERVAL_S)
            self._measure("under load")

    async def _inject_worker_faults(self) -> None:
        """Make one worker at a time fail all its commands for a while, each time in one way."""
        rng = self._random_source("spells")
        while True:
            await asyncio.sleep(rng.uniform(1.0, 3.0))
            worker = rng.choice(self.workers)
            worker.fault = rng.choice(FAULTS)
            await asyncio.sleep(rng.uniform(0.2, 1.0))
            worker.fault = ""

    async def _send_abandoned_bursts(self) -> None:
        rng = self._random_source("bursts")
        while True:
            await asyncio.sleep(rng.uniform(0.5, 2.0))
            self.scenario_counts["abandoned bursts"] += 1
            await self.load_generator.send_abandoned_burst()

    async def _replace_workers(self) -> None:
        """Replace workers: add a cold one, then drain and remove another."""
        rng = self._random_source("fleet")
        while True:
            await asyncio.sleep(rng.uniform(3.0, 6.0))
            worker, status = rng.choice(list(self.discovery.endpoints.values()))
            if status != "active":
                continue
            self.scenario_counts["workers replaced"] += 1
            await self._add_worker(cold=True)
            self.discovery.publish(worker, "leaving")
            await asyncio.sleep(2.0)
            self.discovery.publish(worker, "left")

    # ---- restarts ------------------------------------------------------------------------------

    async def _restart_wave(self) -> None:
        """Restart several instances overlapping in time, while one kind of fault is injected."""
        numbers = self._next_instances(self.rng.choice((1, 2, 2, 3)))
        agents = [self.discovery.agents[number] for number in numbers]
        fault = self.rng.choice(("", "", "slow discovery", "silent discovery", "cut", "crowd", "quiet"))
        self.scenario_counts[fault or "no fault"] += 1
        self.records["day"].write("wave", numbers=numbers, trouble=fault)
        idle_connections: list[asyncio.StreamWriter] = []
        if fault == "quiet":
            self.load_generator.is_paused = True
            await asyncio.sleep(platform.CONNECTION_IDLE_MS * 1.2 / 1000)
            self.load_generator.is_paused = False
        elif fault == "cut":
            self.peers.partition = set(self.rng.sample(range(platform.INSTANCES), 2))
            self._create_task(self._heal_partition(self.rng.uniform(0.5, 4.0)))
        elif fault == "crowd":
            idle_connections = await self._open_idle_connections(numbers[0])
        elif fault:
            for agent in agents:
                agent.delay_s = self.rng.uniform(1.0, 3.0) if fault == "slow discovery" else 0.0
                if fault == "silent discovery":
                    agent.go_down()
            self._create_task(self._restore_discovery(agents, self.rng.uniform(*DISCOVERY_OUTAGE_S)))
        random_sources = [random.Random(self.rng.random()) for _ in numbers]
        restarts = zip(numbers, random_sources, strict=True)
        await asyncio.gather(*(self._restart(self.nodes[number], rng) for number, rng in restarts))
        for writer in idle_connections:
            writer.close()

    def _next_instances(self, count: int) -> list[int]:
        if len(self._restart_queue) < count:
            self._restart_queue = self.rng.sample(range(platform.INSTANCES), platform.INSTANCES)
        numbers, self._restart_queue = self._restart_queue[:count], self._restart_queue[count:]
        return numbers

    async def _heal_partition(self, delay_s: float) -> None:
        await asyncio.sleep(delay_s)
        self.peers.partition = set()

    async def _restore_discovery(self, agents: list[Any], delay_s: float) -> None:
        await asyncio.sleep(delay_s)
        for agent in agents:
            agent.delay_s = 0.0
            agent.recover()

    async def _open_idle_connections(self, number: int) -> list[asyncio.StreamWriter]:
        """Open connections that send one command each and then stay idle."""
        writers = []
        for _ in range(IDLE_CONNECTIONS):
            try:
                _, writer = await asyncio.open_connection(platform.instance_host(), self.ports[number])
            except OSError:
                break
            writer.write(encode_command([b"PING"]))
            writers.append(writer)
        return writers

    async def _restart(self, node: Node, rng: random.Random) -> None:
        """Perform a planned restart with one of the series of signals."""
        await asyncio.sleep(rng.uniform(0.0, 1.0))
        series = rng.choice(SIGNAL_SERIES)
        self.scenario_counts[series] += 1
        self.records["day"].write("restart", number=node.number, series=series)
        term_ms = await self._send_signals(node, series, rng)
        await node.wait_for_exit(term_ms)
        if series == "term while starting":
            self._spawn(node)
            await node.wait_for_sigterm_handler()
            await asyncio.sleep(rng.uniform(0.0, 0.6))
            node.signal(signal.SIGTERM)
            await node.wait_for_exit(now_ms())
        await self._start_node(node)

    async def _send_signals(self, node: Node, series: str, rng: random.Random) -> float:
        """Send a series of signals; return the time when SIGTERM was sent."""
        if series == "hup while reading":
            await node.reload_from_pipe()
        elif series == "hup hup term":
            for _ in range(2):
                self._change_quota(node, rng)
                node.signal(signal.SIGHUP)
                await asyncio.sleep(rng.choice((0.0, 0.01, 0.1)))
        term_ms = now_ms()
        node.signal(signal.SIGTERM)
        asyncio.get_running_loop().call_later(
            rng.uniform(*NEW_CONNECTIONS_S), self.load_generator.ready_instances.discard, node.number
        )
        if series == "hup while reading":
            await asyncio.sleep(rng.uniform(0.0, 0.05))
            node.finish_reload()
        elif series == "term hup":
            await asyncio.sleep(rng.choice((0.0, 0.05, 0.5)))
            self._change_quota(node, rng)
            node.signal(signal.SIGHUP)
        elif series == "term term":
            await asyncio.sleep(rng.uniform(0.02, 1.0))
            node.signal(signal.SIGTERM)
        return term_ms

    def _change_quota(self, node: Node, rng: random.Random) -> None:
        """Write another quota to the file, to be loaded at SIGHUP."""
        node.config["settings"]["packages"][0]["perSecond"] = rng.uniform(4000.0, 6000.0)
        node.write()


RECORDS = ("clients", "workers", "proxies", "day")
