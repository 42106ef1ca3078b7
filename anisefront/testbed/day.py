"""Plays a script: gatekeeper processes, proxies, workers, clients, and trouble by the clock.

All that crossed the stand-ins' sockets goes to files in the day's folder, which the auditor reads afterwards.
"""

from __future__ import annotations

import json
import math
import os
import random
import signal
import sys
from collections.abc import Callable
from pathlib import Path
from typing import Any

from twisted.internet import defer, error, protocol

from anisefront.cluster import endpoint_file
from anisefront.config import checker, loader, messages
from anisefront.config.types import Config
from anisefront.policy.events import Endpoint, EndpointStatus
from anisefront.policy.settings import Idempotency
from anisefront.testbed.clients import Clients, Wish
from anisefront.testbed.proxy import Proxy
from anisefront.testbed.records import Record
from anisefront.testbed.relay import Relay
from anisefront.testbed.script import WORKER_FIGURES, Crowd, Script, Trouble
from anisefront.testbed.stall_monitor import Watch
from anisefront.testbed.workers import Cell, Kind, Worker

ROSTER_LAG_S = 0.5  # discovery tells of a new worker so late; a drain is told at once
WORKERS = "warm-up 6s cold-from 20% fall-multiple 2 fall-window 2s"
SECRET = "a secret of the loopback day"


class Unfit(Exception):
    """A day that can't be played: its settings or its script are wrong."""


def settings_text(template: str, number: int, script: Script, roster_file: str, peers: dict[int, str]) -> str:
    """One gatekeeper's settings: the template and what is its own."""
    lines = [
        template,
        f"gatekeeper {number} of {script.gatekeepers} zone room-{'ab'[number % 2]}",
        "listen grpc 127.0.0.1:0",
        "listen jsonrpc 127.0.0.1:0",
        "listen peers 127.0.0.1:0",
        f'secret "{SECRET}"',
        f'pool stalls roster "{roster_file}" {WORKERS}',
        f"seed {script.seed * 100 + number}",
    ]
    lines += [f"peer {other} {address}" for other, address in peers.items() if other != number]
    return "\n".join(lines) + "\n"


class _Gatekeeper(protocol.ProcessProtocol):
    """One gatekeeper process."""

    def __init__(
        self, number: int, ready: Callable[[dict[str, str]], None], ended: Callable[[int, str], None], log: Path
    ) -> None:
        self.number, self._ready, self._ended, self._out = number, ready, ended, b""
        self._log = log.open("ab")
        self.frozen = False

    def outReceived(self, data: bytes) -> None:
        self._out += data
        if b"\n" in self._out:
            line, self._out = self._out.split(b"\n", 1)
            self._ready(json.loads(line))

    def errReceived(self, data: bytes) -> None:
        self._log.write(data)

    def processEnded(self, reason: Any) -> None:
        self._log.close()
        self._ended(self.number, str(reason.value))


class Day:
    """One day, from its script to its records."""

    def __init__(
        self, reactor: Any, script: Script, template: str, folder: Path, command: list[str], record: bool = False
    ) -> None:
        self.reactor, self.script, self.folder, self._command = reactor, script, folder, command
        self._template, self._record = template, record
        self._roster_file = str(folder / "roster.json")
        text = settings_text(template, 0, script, self._roster_file, {})
        checked = checker.check(loader.load_text(text, script.settings))
        if checked.config is None:
            raise Unfit("\n".join(messages.format_problem(checked.loaded, problem) for problem in checked.problems))
        self.config: Config = checked.config
        self._records = {
            name: Record((folder / f"{name}.jsonl").open("w")) for name in ("clients", "workers", "proxies", "day")
        }
        self.rng = random.Random(script.seed)
        self.done: defer.Deferred[None] = defer.Deferred()
        self._gatekeepers: dict[int, _Gatekeeper] = {}
        self._proxies: dict[int, Proxy] = {}
        self._relays = [Relay(reactor, random.Random(f"{script.seed} relay {n}"), n) for n in range(script.gatekeepers)]
        self._workers: list[Worker] = []
        self._draining: list[Worker] = []
        self._cells = [Cell(f"cell-{n}") for n in range(script.workers.get("cells", 2))]
        self._surge: dict[str, float] = {}
        self._serial = self._addresses = 0
        self._kind = self._worker_kind()
        self.clients = Clients(
            reactor, self._records["clients"], random.Random(f"{script.seed} clients"), script.retries, script.own_share
        )
        self._over = False
        self.faults: list[str] = []

    def _worker_kind(self) -> Kind:
        wanted, settings = self.script.workers, self.config.settings
        keyed = {kind.name for kind in settings.classes if kind.idempotency is Idempotency.KEYED}
        return Kind(
            cores=wanted.get("cores", 2),
            queue=wanted.get("queue", 32),
            service_ms=wanted.get("service", 20.0),
            warm_up_ms=settings.warm_up_ms,
            cold_from=settings.slow_start_initial_factor,
            fall_multiple=settings.overload_multiple,
            fall_window_ms=settings.overload_window_ms,
            keep_ms=wanted.get("drops-repeats", 5000.0),
            keyed_paths=tuple(route.pattern.path for route in self.config.routes if route.class_name in keyed),
        )

    # ---- start and end -------------------------------------------------------------------------

    def start(self) -> None:
        """Begin; `done` fires when the day is over and its records are written."""
        note = self._records["day"].write
        for kind in self.config.settings.classes:
            note("class", name=kind.name, repeat=kind.idempotency.value, scope=kind.deduplication_scope.value)
        for plan in self.config.settings.plans:
            note(
                "plan",
                name=plan.name,
                rate=plan.rate_per_s,
                burst=plan.burst,
                ceiling=plan.ceiling_per_s,
                ceiling_burst=plan.ceiling_burst,
                ceiling_slack=plan.ceiling_slack,
                max_in_flight=plan.max_in_flight,
            )
        for route in self.config.routes:
            note("route", path=route.pattern.path, cls=route.class_name)
        Watch(self.reactor, self._records["day"], self._pids).start()
        for number in range(self.script.workers.get("count", 4)):
            self._start_worker(number, cold=False)
        self._write_roster()
        for number in range(self.script.gatekeepers):
            self._start_gatekeeper(number)
        self._wait_for_fleet(100)

    def _wait_for_fleet(self, tries: int) -> None:
        if len(self._proxies) == self.script.gatekeepers:
            self._begin()
        elif tries == 0:
            self._fault("the gatekeepers did not start in time")
            self._end()
        else:
            self.reactor.callLater(0.1, self._wait_for_fleet, tries - 1)

    def _begin(self) -> None:
        self._records["day"].write("begin")
        for crowd in self.script.crowds:
            for number in range(crowd.count):
                self._next_wish(crowd, f"{crowd.plan}-{number}", self.reactor.seconds())
        for trouble in self.script.troubles:
            self.reactor.callLater(trouble.at_ms / 1000, self._trouble, trouble)
        self.reactor.callLater(self.script.length_ms / 1000, self._last_wish)

    def _last_wish(self) -> None:
        self._over = True
        self._wait_for_answers(200)

    def _wait_for_answers(self, tries: int) -> None:
        if self.clients.open and tries:
            self.reactor.callLater(0.1, self._wait_for_answers, tries - 1)
        else:
            self.reactor.callLater(1.5, self._end)  # attempts still out end, and logs arrive

    def _end(self) -> None:
        self._records["day"].write("end", relays=[dict(relay.counts) for relay in self._relays])
        self._over = True
        waiting = list(self._gatekeepers.values())
        for gatekeeper in waiting:
            self._signal(gatekeeper, signal.SIGCONT)
            self._signal(gatekeeper, signal.SIGTERM)
        self._wait_for_exits(80)

    def _wait_for_exits(self, tries: int) -> None:
        if self._gatekeepers and tries:
            self.reactor.callLater(0.1, self._wait_for_exits, tries - 1)
            return
        for gatekeeper in list(self._gatekeepers.values()):
            self._fault(f"gatekeeper {gatekeeper.number} did not drain in time")
            self._signal(gatekeeper, signal.SIGKILL)
        for proxy in self._proxies.values():
            proxy.close()
        for record in self._records.values():
            record.close()
        self.done.callback(None)

    def _fault(self, what: str) -> None:
        self.faults.append(what)
        self._records["day"].write("fault", what=what)

    # ---- gatekeepers ---------------------------------------------------------------------------

    def _start_gatekeeper(self, number: int) -> None:
        path = self.folder / f"gatekeeper-{number}.conf"
        peers = {n: relay.address for n, relay in enumerate(self._relays)}
        text = settings_text(self._template, number, self.script, self._roster_file, peers)
        if self._record:
            text += f'record "{self.folder / f"gatekeeper-{number}.trace"}" rotate 256MiB keep 8 key day\n'
        path.write_text(text)

        def ready(where: dict[str, str]) -> None:
            host, _, port = where["peers"].rpartition(":")
            self._relays[number].target = (host, int(port))
            self.clients.gatekeepers[number] = where["jsonrpc"]
            self._records["day"].write("gatekeeper_up", number=number)
            if number in self._proxies:
                self._proxies[number].close()
            self._proxies[number] = Proxy(self.reactor, f"proxy-{number}", where["grpc"], self._records["proxies"])
            self.clients.proxies[number] = self._proxies[number].address

        process = _Gatekeeper(number, ready, self._gatekeeper_ended, self.folder / f"gatekeeper-{number}.log")
        self._gatekeepers[number] = process
        command = [*self._command, "serve", str(path)]
        self.reactor.spawnProcess(process, command[0], command, env=os.environ, path=None)

    def _pids(self) -> dict[int, int]:
        return {
            number: process.transport.pid
            for number, process in self._gatekeepers.items()
            if process.transport.pid is not None
        }

    def _gatekeeper_ended(self, number: int, how: str) -> None:
        self._gatekeepers.pop(number, None)
        self._records["day"].write("gatekeeper_down", number=number, how=how)
        if not self._over and "signal 9" not in how:
            self._fault(f"gatekeeper {number} ended by itself: {how}")

    @staticmethod
    def _signal(gatekeeper: _Gatekeeper, number: int) -> None:
        try:
            gatekeeper.transport.signalProcess(int(number))
        except error.ProcessExitedAlready:
            pass

    # ---- workers and roster --------------------------------------------------------------------

    def _start_worker(self, number: int, cold: bool) -> Worker:
        cell = self._cells[number % len(self._cells)]
        rng = random.Random(f"{self.script.seed} worker {number} {cold}")
        # Danger: a port that is free again is soon another worker's, and a drain of the old would be judged by what
        # the new one gets. So each worker of a day has a loopback address that no other has.
        self._addresses += 1
        host = f"127.0.{1 + self._addresses // 250}.{1 + self._addresses % 250}"
        worker = Worker(
            self.reactor, self._kind, f"room-{'ab'[number % 2]}", cell, rng, self._records["workers"], cold, host
        )
        self._workers.append(worker)
        return worker

    def _listed(self) -> list[Endpoint]:
        return [worker.listed() for worker in self._workers] + [
            worker.listed(EndpointStatus.DRAINING) for worker in self._draining
        ]

    def _write_roster(self) -> None:
        import zlib

        names = {zlib.crc32(cell.name.encode()): cell.name for cell in self._cells}
        text = endpoint_file.write("stalls", self._listed(), names)
        part = Path(self._roster_file + ".part")
        part.write_text(text)
        part.rename(self._roster_file)
        self._records["day"].write(
            "roster", ready=[worker.id for worker in self._workers], draining=[worker.id for worker in self._draining]
        )

    # ---- traffic -------------------------------------------------------------------------------

    def _next_wish(self, crowd: Crowd, customer: str, due_s: float) -> None:
        """Plan a customer's next wish; `due_s` is when the one before was due. Danger: counted from when it came, each
        lateness of ours would thin the traffic out, and a surge would be less than the script says."""
        plan = next(plan for plan in self.config.settings.plans if plan.name == crowd.plan)
        rate = (crowd.per_s or plan.rate_per_s * crowd.of_quota) * self._surge.get(crowd.plan, 1.0)
        delay = self.rng.expovariate(rate) if rate > 0 else math.inf
        # no longer ahead than this, so that a surge is felt by those who would come seldom
        step = min(delay, 0.5)
        due_s += step
        self.reactor.callLater(
            max(0.0, due_s - self.reactor.seconds()), self._wish, crowd, customer, delay <= 0.5, due_s
        )

    def _wish(self, crowd: Crowd, customer: str, comes: bool, due_s: float) -> None:
        if self._over:
            return
        if comes:
            names, shares = zip(*self.script.mix.items(), strict=True)
            name = self.rng.choices(names, shares)[0]
            route = next(route for route in self.config.routes if route.class_name == name)
            kind = next(kind for kind in self.config.settings.classes if kind.name == name)
            self._serial += 1
            method = route.pattern.methods[0]
            units = self.rng.choice((1, 1, 1, 2)) if route.units_header else 1
            self.clients.wish(
                Wish(
                    f"w{self._serial}", customer, crowd.plan, name, method, route.pattern.path, units, kind.deadline_ms
                )
            )
        self._next_wish(crowd, customer, due_s)

    # ---- trouble -------------------------------------------------------------------------------

    def _trouble(self, trouble: Trouble) -> None:
        self._records["day"].write("trouble", name=trouble.name, **trouble.values)
        if trouble.name in WORKER_FIGURES:
            self._on_figure(trouble.name, trouble.values)
        else:
            getattr(self, "_on_" + trouble.name.replace("-", "_"))(trouble.values)

    def _later(self, values: dict[str, Any], call: Callable[..., None], *args: Any) -> None:
        self.reactor.callLater(values.get("for", 5000.0) / 1000, call, *args)

    def _some(self, values: dict[str, Any]) -> list[Worker]:
        return self.rng.sample(self._workers, min(values.get("workers", 1), len(self._workers)))

    def _on_deploy(self, values: dict[str, Any]) -> None:
        old = list(self._workers)
        step = values.get("over", 10_000.0) / 1000 / len(old)
        for number, worker in enumerate(old):
            self.reactor.callLater(number * step, self._replace, number, worker, values.get("drain", 2000.0) / 1000)

    def _replace(self, number: int, old: Worker, drain_s: float) -> None:
        if old in self._workers:
            self._workers.remove(old)
            self._draining.append(old)
        self._write_roster()
        self._start_worker(number, cold=True)
        self.reactor.callLater(ROSTER_LAG_S, self._write_roster)
        self.reactor.callLater(drain_s, self._retire, old)

    def _retire(self, worker: Worker) -> None:
        if worker in self._draining:
            self._draining.remove(worker)
        worker.die()
        self.reactor.callLater(ROSTER_LAG_S, self._write_roster)

    def _set(self, workers: list[Worker], name: str, value: Any) -> None:
        for worker in workers:
            setattr(worker, name, value)

    def _on_figure(self, name: str, values: dict[str, Any]) -> None:
        figure, word, given, after = WORKER_FIGURES[name]
        workers = self._some(values)
        self._set(workers, figure, values.get(word, given))
        self._later(values, self._set, workers, figure, after)

    def _on_freeze_workers(self, values: dict[str, Any]) -> None:
        for worker in self._some(values):
            worker.freeze(values.get("for", 5000.0) / 1000)

    def _on_kill_workers(self, values: dict[str, Any]) -> None:
        for worker in self._some(values):
            self._workers.remove(worker)
            worker.die()
        self.reactor.callLater(ROSTER_LAG_S, self._write_roster)

    def _on_freeze_gatekeeper(self, values: dict[str, Any]) -> None:
        gatekeeper = self._gatekeepers.get(values.get("number", 0))
        if gatekeeper is not None:
            self._signal(gatekeeper, signal.SIGSTOP)
            self._records["day"].write("frozen", number=gatekeeper.number)
            self._later(values, self._thaw, gatekeeper)

    def _thaw(self, gatekeeper: _Gatekeeper) -> None:
        self._signal(gatekeeper, signal.SIGCONT)
        self._records["day"].write("thawed", number=gatekeeper.number)

    def _on_kill_gatekeeper(self, values: dict[str, Any]) -> None:
        number = values.get("number", 0)
        gatekeeper = self._gatekeepers.get(number)
        if gatekeeper is not None:
            self._signal(gatekeeper, signal.SIGKILL)
            self.reactor.callLater(values.get("back-after", 1500.0) / 1000, self._start_gatekeeper, number)

    def _set_relays(self, lose: float, double: float) -> None:
        for relay in self._relays:
            relay.lose, relay.double = lose, double

    def _on_datagrams(self, values: dict[str, Any]) -> None:
        self._set_relays(values.get("lose", 0.0), values.get("double", 0.0))
        self._later(values, self._set_relays, 0.0, 0.0)

    def _on_replay_datagrams(self, values: dict[str, Any]) -> None:
        for relay in self._relays:
            relay.replay()

    def _on_surge(self, values: dict[str, Any]) -> None:
        self._surge[values["plan"]] = values.get("times", 3.0)
        self._later(values, self._surge.pop, values["plan"])

    def _set_logs(self, late_s: float, doubled: bool) -> None:
        for proxy in self._proxies.values():
            proxy.delay_logs_s, proxy.double_logs = late_s, doubled

    def _on_logs(self, values: dict[str, Any]) -> None:
        self._set_logs(values.get("late", 0.0) / 1000, values.get("doubled", "no") == "yes")
        self._later(values, self._set_logs, 0.0, False)

    def _on_preempt(self, values: dict[str, Any]) -> None:
        """Workers are taken away after a short notice, and cold ones come in their place after a while."""
        for place, worker in enumerate(self._some(values)):
            self._workers.remove(worker)
            self._draining.append(worker)
            self.reactor.callLater(values.get("notice", 2000.0) / 1000, self._retire, worker)
            self._later(values, self._cold, place)
        self._write_roster()

    def _cold(self, place: int) -> None:
        self._start_worker(place, cold=True)
        self.reactor.callLater(ROSTER_LAG_S, self._write_roster)

    def _on_partition(self, values: dict[str, Any]) -> None:
        """The rooms can't reach each other: gatekeepers of odd and of even numbers."""
        for relay in self._relays:
            relay.parted = True
        self._later(values, self._heal)

    def _heal(self) -> None:
        for relay in self._relays:
            relay.parted = False

    def _on_broken_roster(self, values: dict[str, Any]) -> None:
        """Half a file, as a writer that does not rename leaves it; then nothing; then the whole again."""
        path = Path(self._roster_file)
        text = path.read_text()
        path.write_text(text[: len(text) // 2])
        self.reactor.callLater(values.get("for", 2000.0) / 2000, path.write_text, "")
        self._later(values, self._write_roster)


def play(
    script: Script, template: str, folder: Path, command: list[str] | None = None, record: bool = False
) -> list[str]:
    """Play a day to its end and return what went wrong with the playing itself. Runs the reactor: once a process."""
    from twisted.internet import reactor

    day = Day(reactor, script, template, folder, command or [sys.executable, "-m", "anisefront"], record)
    day.done.addBoth(lambda _: reactor.stop())
    reactor.callWhenRunning(day.start)
    reactor.run()
    return day.faults
