"""Runs a day script: starts instances, proxies, workers and clients, and injects the scheduled faults.

Proxies, workers and clients record the traffic at their sockets in files of the run's folder, which the auditor reads
afterwards.
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
from anisefront.testbed.clients import ClientRequest, Clients
from anisefront.testbed.proxy import Proxy
from anisefront.testbed.records import Record
from anisefront.testbed.relay import Relay
from anisefront.testbed.script import WORKER_ATTRIBUTE_FAULTS, CustomerGroup, Fault, Script
from anisefront.testbed.stall_monitor import StallMonitor
from anisefront.testbed.workers import DeduplicationCell, Worker, WorkerSettings

DISCOVERY_DELAY_S = 0.5  # delay until a new worker is listed; a drain is listed at once
WORKER_POOL_OPTIONS = "warm-up 6s cold-from 20% fall-multiple 2 fall-window 2s"
CLUSTER_SECRET = "a secret of the loopback day"


class InvalidRunError(Exception):
    """The script can't be run, because its settings are invalid."""


def settings_text(template: str, number: int, script: Script, endpoint_file_path: str, peers: dict[int, str]) -> str:
    """Return the settings of one instance: the template followed by the directives specific to the instance."""
    lines = [
        template,
        f"gatekeeper {number} of {script.gatekeepers} zone room-{'ab'[number % 2]}",
        "listen grpc 127.0.0.1:0",
        "listen jsonrpc 127.0.0.1:0",
        "listen peers 127.0.0.1:0",
        f'secret "{CLUSTER_SECRET}"',
        f'pool stalls roster "{endpoint_file_path}" {WORKER_POOL_OPTIONS}',
        f"seed {script.seed * 100 + number}",
    ]
    lines += [f"peer {other} {address}" for other, address in peers.items() if other != number]
    return "\n".join(lines) + "\n"


class _InstanceProcess(protocol.ProcessProtocol):
    """An instance's process. Its first line of output holds the addresses on which it listens."""

    def __init__(
        self, number: int, on_ready: Callable[[dict[str, str]], None], on_exit: Callable[[int, str], None], log: Path
    ) -> None:
        self.number, self._on_ready, self._on_exit, self._output = number, on_ready, on_exit, b""
        self._log = log.open("ab")
        self.frozen = False

    def outReceived(self, data: bytes) -> None:
        self._output += data
        if b"\n" in self._output:
            line, self._output = self._output.split(b"\n", 1)
            self._on_ready(json.loads(line))

    def errReceived(self, data: bytes) -> None:
        self._log.write(data)

    def processEnded(self, reason: Any) -> None:
        self._log.close()
        self._on_exit(self.number, str(reason.value))


class DayRun:
    """One run of a day script."""

    def __init__(
        self, reactor: Any, script: Script, template: str, folder: Path, command: list[str], record: bool = False
    ) -> None:
        """Prepare a run. Raise `InvalidRunError` if the settings are invalid."""
        self.reactor, self.script, self.folder, self._command = reactor, script, folder, command
        self._template, self._record = template, record
        self._endpoint_file = str(folder / "roster.json")
        text = settings_text(template, 0, script, self._endpoint_file, {})
        checked = checker.check(loader.load_text(text, script.settings))
        if checked.config is None:
            raise InvalidRunError(
                "\n".join(messages.format_problem(checked.loaded, problem) for problem in checked.problems)
            )
        self.config: Config = checked.config
        self._records = {
            name: Record((folder / f"{name}.jsonl").open("w")) for name in ("clients", "workers", "proxies", "day")
        }
        self.rng = random.Random(script.seed)
        self.done: defer.Deferred[None] = defer.Deferred()
        self._instances: dict[int, _InstanceProcess] = {}
        self._proxies: dict[int, Proxy] = {}
        self._relays = [Relay(reactor, random.Random(f"{script.seed} relay {n}"), n) for n in range(script.gatekeepers)]
        self._workers: list[Worker] = []
        self._draining: list[Worker] = []
        self._cells = [DeduplicationCell(f"cell-{n}") for n in range(script.workers.get("cells", 2))]
        self._surge_factors: dict[str, float] = {}
        self._request_count = self._address_count = 0
        self._worker_settings = self._make_worker_settings()
        self.clients = Clients(
            reactor, self._records["clients"], random.Random(f"{script.seed} clients"), script.retries, script.own_share
        )
        self._stopping = False
        self.run_errors: list[str] = []

    def _make_worker_settings(self) -> WorkerSettings:
        options, settings = self.script.workers, self.config.settings
        keyed = {
            request_class.name for request_class in settings.classes if request_class.idempotency is Idempotency.KEYED
        }
        return WorkerSettings(
            cores=options.get("cores", 2),
            queue=options.get("queue", 32),
            service_ms=options.get("service", 20.0),
            warm_up_ms=settings.warm_up_ms,
            initial_capacity=settings.slow_start_initial_factor,
            overload_multiple=settings.overload_multiple,
            overload_window_ms=settings.overload_window_ms,
            deduplication_ms=options.get("drops-repeats", 5000.0),
            keyed_paths=tuple(route.pattern.path for route in self.config.routes if route.class_name in keyed),
        )

    # ---- start and end ---------------------------------------------------------------------------

    def start(self) -> None:
        """Start the run. `done` fires when it is over and its records are written."""
        write = self._records["day"].write
        for request_class in self.config.settings.classes:
            write(
                "class",
                name=request_class.name,
                repeat=request_class.idempotency.value,
                scope=request_class.deduplication_scope.value,
            )
        for plan in self.config.settings.plans:
            write(
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
            write("route", path=route.pattern.path, cls=route.class_name)
        StallMonitor(self.reactor, self._records["day"], self._pids).start()
        for number in range(self.script.workers.get("count", 4)):
            self._start_worker(number, cold=False)
        self._write_endpoint_list()
        for number in range(self.script.gatekeepers):
            self._start_instance(number)
        self._wait_for_instances(100)

    def _wait_for_instances(self, polls_left: int) -> None:
        if len(self._proxies) == self.script.gatekeepers:
            self._start_traffic()
        elif polls_left == 0:
            self._report_run_error("not all instances started within 10 s")
            self._stop_instances()
        else:
            self.reactor.callLater(0.1, self._wait_for_instances, polls_left - 1)

    def _start_traffic(self) -> None:
        self._records["day"].write("begin")
        for group in self.script.customer_groups:
            for number in range(group.count):
                self._schedule_request(group, f"{group.plan}-{number}", self.reactor.seconds())
        for fault in self.script.faults:
            self.reactor.callLater(fault.at_ms / 1000, self._inject_fault, fault)
        self.reactor.callLater(self.script.length_ms / 1000, self._stop_traffic)

    def _stop_traffic(self) -> None:
        self._stopping = True
        self._wait_for_responses(200)

    def _wait_for_responses(self, polls_left: int) -> None:
        if self.clients.open_count and polls_left:
            self.reactor.callLater(0.1, self._wait_for_responses, polls_left - 1)
        else:
            self.reactor.callLater(1.5, self._stop_instances)  # attempts in flight end, and access logs arrive

    def _stop_instances(self) -> None:
        self._records["day"].write("end", relays=[dict(relay.counts) for relay in self._relays])
        self._stopping = True
        running = list(self._instances.values())
        for process in running:
            self._signal(process, signal.SIGCONT)
            self._signal(process, signal.SIGTERM)
        self._wait_for_exits(80)

    def _wait_for_exits(self, polls_left: int) -> None:
        if self._instances and polls_left:
            self.reactor.callLater(0.1, self._wait_for_exits, polls_left - 1)
            return
        for process in list(self._instances.values()):
            self._report_run_error(f"instance {process.number} did not exit within 8 s of SIGTERM")
            self._signal(process, signal.SIGKILL)
        for proxy in self._proxies.values():
            proxy.close()
        for record in self._records.values():
            record.close()
        self.done.callback(None)

    def _report_run_error(self, message: str) -> None:
        self.run_errors.append(message)
        self._records["day"].write("fault", what=message)

    # ---- instances -------------------------------------------------------------------------------

    def _start_instance(self, number: int) -> None:
        path = self.folder / f"gatekeeper-{number}.conf"
        peers = {n: relay.address for n, relay in enumerate(self._relays)}
        text = settings_text(self._template, number, self.script, self._endpoint_file, peers)
        if self._record:
            text += f'record "{self.folder / f"gatekeeper-{number}.trace"}" rotate 256MiB keep 8 key day\n'
        path.write_text(text)

        def on_ready(addresses: dict[str, str]) -> None:
            host, _, port = addresses["peers"].rpartition(":")
            self._relays[number].target = (host, int(port))
            self.clients.jsonrpc_addresses[number] = addresses["jsonrpc"]
            self._records["day"].write("gatekeeper_up", number=number)
            if number in self._proxies:
                self._proxies[number].close()
            self._proxies[number] = Proxy(self.reactor, f"proxy-{number}", addresses["grpc"], self._records["proxies"])
            self.clients.proxy_addresses[number] = self._proxies[number].address

        process = _InstanceProcess(
            number, on_ready, self._handle_instance_exit, self.folder / f"gatekeeper-{number}.log"
        )
        self._instances[number] = process
        command = [*self._command, "serve", str(path)]
        self.reactor.spawnProcess(process, command[0], command, env=os.environ, path=None)

    def _pids(self) -> dict[int, int]:
        return {
            number: process.transport.pid
            for number, process in self._instances.items()
            if process.transport.pid is not None
        }

    def _handle_instance_exit(self, number: int, reason: str) -> None:
        self._instances.pop(number, None)
        self._records["day"].write("gatekeeper_down", number=number, how=reason)
        if not self._stopping and "signal 9" not in reason:
            self._report_run_error(f"instance {number} exited unexpectedly: {reason}")

    @staticmethod
    def _signal(process: _InstanceProcess, number: int) -> None:
        try:
            process.transport.signalProcess(int(number))
        except error.ProcessExitedAlready:
            pass

    # ---- workers and discovery -------------------------------------------------------------------

    def _start_worker(self, number: int, cold: bool) -> Worker:
        cell = self._cells[number % len(self._cells)]
        rng = random.Random(f"{self.script.seed} worker {number} {cold}")
        # Each worker of a run has its own loopback address: a freed port is soon reused by another worker, whose
        # requests would then be audited as requests to the drained one.
        self._address_count += 1
        host = f"127.0.{1 + self._address_count // 250}.{1 + self._address_count % 250}"
        worker = Worker(
            self.reactor,
            self._worker_settings,
            f"room-{'ab'[number % 2]}",
            cell,
            rng,
            self._records["workers"],
            cold,
            host,
        )
        self._workers.append(worker)
        return worker

    def _endpoints(self) -> list[Endpoint]:
        return [worker.as_endpoint() for worker in self._workers] + [
            worker.as_endpoint(EndpointStatus.DRAINING) for worker in self._draining
        ]

    def _write_endpoint_list(self) -> None:
        import zlib

        names = {zlib.crc32(cell.name.encode()): cell.name for cell in self._cells}
        text = endpoint_file.write("stalls", self._endpoints(), names)
        temporary = Path(self._endpoint_file + ".part")
        temporary.write_text(text)
        temporary.rename(self._endpoint_file)
        self._records["day"].write(
            "roster", ready=[worker.id for worker in self._workers], draining=[worker.id for worker in self._draining]
        )

    # ---- traffic ---------------------------------------------------------------------------------

    def _schedule_request(self, group: CustomerGroup, customer: str, due_s: float) -> None:
        """Schedule a customer's next request; `due_s` is the scheduled time of the previous one.

        If the delay were counted from the actual time of the previous request, every delay of this process would lower
        the rate, and a surge would be weaker than the script demands.
        """
        plan = next(plan for plan in self.config.settings.plans if plan.name == group.plan)
        rate = (group.rate_per_s or plan.rate_per_s * group.quota_fraction) * self._surge_factors.get(group.plan, 1.0)
        delay = self.rng.expovariate(rate) if rate > 0 else math.inf
        # Longer delays are drawn again after 0.5 s, so that a surge also affects customers with a low rate.
        delay_step = min(delay, 0.5)
        due_s += delay_step
        self.reactor.callLater(
            max(0.0, due_s - self.reactor.seconds()), self._send_request, group, customer, delay <= 0.5, due_s
        )

    def _send_request(self, group: CustomerGroup, customer: str, send_now: bool, due_s: float) -> None:
        if self._stopping:
            return
        if send_now:
            names, shares = zip(*self.script.mix.items(), strict=True)
            name = self.rng.choices(names, shares)[0]
            route = next(route for route in self.config.routes if route.class_name == name)
            request_class = next(
                request_class for request_class in self.config.settings.classes if request_class.name == name
            )
            self._request_count += 1
            method = route.pattern.methods[0]
            units = self.rng.choice((1, 1, 1, 2)) if route.units_header else 1
            self.clients.send(
                ClientRequest(
                    f"w{self._request_count}",
                    customer,
                    group.plan,
                    name,
                    method,
                    route.pattern.path,
                    units,
                    request_class.deadline_ms,
                )
            )
        self._schedule_request(group, customer, due_s)

    # ---- faults ----------------------------------------------------------------------------------

    def _inject_fault(self, fault: Fault) -> None:
        self._records["day"].write("trouble", name=fault.name, **fault.values)
        if fault.name in WORKER_ATTRIBUTE_FAULTS:
            self._apply_attribute_fault(fault.name, fault.values)
        else:
            getattr(self, "_on_" + fault.name.replace("-", "_"))(fault.values)

    def _call_after_fault(self, values: dict[str, Any], call: Callable[..., None], *args: Any) -> None:
        self.reactor.callLater(values.get("for", 5000.0) / 1000, call, *args)

    def _sample_workers(self, values: dict[str, Any]) -> list[Worker]:
        return self.rng.sample(self._workers, min(values.get("workers", 1), len(self._workers)))

    def _on_deploy(self, values: dict[str, Any]) -> None:
        old = list(self._workers)
        interval_s = values.get("over", 10_000.0) / 1000 / len(old)
        for number, worker in enumerate(old):
            self.reactor.callLater(
                number * interval_s, self._replace, number, worker, values.get("drain", 2000.0) / 1000
            )

    def _replace(self, number: int, old: Worker, drain_s: float) -> None:
        if old in self._workers:
            self._workers.remove(old)
            self._draining.append(old)
        self._write_endpoint_list()
        self._start_worker(number, cold=True)
        self.reactor.callLater(DISCOVERY_DELAY_S, self._write_endpoint_list)
        self.reactor.callLater(drain_s, self._remove_worker, old)

    def _remove_worker(self, worker: Worker) -> None:
        if worker in self._draining:
            self._draining.remove(worker)
        worker.kill()
        self.reactor.callLater(DISCOVERY_DELAY_S, self._write_endpoint_list)

    def _set_attribute(self, workers: list[Worker], name: str, value: Any) -> None:
        for worker in workers:
            setattr(worker, name, value)

    def _apply_attribute_fault(self, name: str, values: dict[str, Any]) -> None:
        attribute, option, default, after = WORKER_ATTRIBUTE_FAULTS[name]
        workers = self._sample_workers(values)
        self._set_attribute(workers, attribute, values.get(option, default))
        self._call_after_fault(values, self._set_attribute, workers, attribute, after)

    def _on_freeze_workers(self, values: dict[str, Any]) -> None:
        for worker in self._sample_workers(values):
            worker.freeze(values.get("for", 5000.0) / 1000)

    def _on_kill_workers(self, values: dict[str, Any]) -> None:
        for worker in self._sample_workers(values):
            self._workers.remove(worker)
            worker.kill()
        self.reactor.callLater(DISCOVERY_DELAY_S, self._write_endpoint_list)

    def _on_freeze_gatekeeper(self, values: dict[str, Any]) -> None:
        process = self._instances.get(values.get("number", 0))
        if process is not None:
            self._signal(process, signal.SIGSTOP)
            self._records["day"].write("frozen", number=process.number)
            self._call_after_fault(values, self._resume, process)

    def _resume(self, process: _InstanceProcess) -> None:
        self._signal(process, signal.SIGCONT)
        self._records["day"].write("thawed", number=process.number)

    def _on_kill_gatekeeper(self, values: dict[str, Any]) -> None:
        number = values.get("number", 0)
        process = self._instances.get(number)
        if process is not None:
            self._signal(process, signal.SIGKILL)
            self.reactor.callLater(values.get("back-after", 1500.0) / 1000, self._start_instance, number)

    def _set_relay_rates(self, loss_rate: float, duplication_rate: float) -> None:
        for relay in self._relays:
            relay.loss_rate, relay.duplication_rate = loss_rate, duplication_rate

    def _on_datagrams(self, values: dict[str, Any]) -> None:
        self._set_relay_rates(values.get("lose", 0.0), values.get("double", 0.0))
        self._call_after_fault(values, self._set_relay_rates, 0.0, 0.0)

    def _on_replay_datagrams(self, values: dict[str, Any]) -> None:
        for relay in self._relays:
            relay.replay()

    def _on_surge(self, values: dict[str, Any]) -> None:
        self._surge_factors[values["plan"]] = values.get("times", 3.0)
        self._call_after_fault(values, self._surge_factors.pop, values["plan"])

    def _set_logs(self, delay_s: float, duplicate: bool) -> None:
        for proxy in self._proxies.values():
            proxy.log_delay_s, proxy.duplicate_logs = delay_s, duplicate

    def _on_logs(self, values: dict[str, Any]) -> None:
        self._set_logs(values.get("late", 0.0) / 1000, values.get("doubled", "no") == "yes")
        self._call_after_fault(values, self._set_logs, 0.0, False)

    def _on_preempt(self, values: dict[str, Any]) -> None:
        """Remove workers after a short notice, and start cold replacements after a while."""
        for index, worker in enumerate(self._sample_workers(values)):
            self._workers.remove(worker)
            self._draining.append(worker)
            self.reactor.callLater(values.get("notice", 2000.0) / 1000, self._remove_worker, worker)
            self._call_after_fault(values, self._start_replacement, index)
        self._write_endpoint_list()

    def _start_replacement(self, index: int) -> None:
        self._start_worker(index, cold=True)
        self.reactor.callLater(DISCOVERY_DELAY_S, self._write_endpoint_list)

    def _on_partition(self, values: dict[str, Any]) -> None:
        """Partition the zones: instances with odd numbers can't reach those with even numbers."""
        for relay in self._relays:
            relay.partitioned = True
        self._call_after_fault(values, self._end_partition)

    def _end_partition(self) -> None:
        for relay in self._relays:
            relay.partitioned = False

    def _on_broken_roster(self, values: dict[str, Any]) -> None:
        """Truncate the endpoint file to half, as a writer without atomic rename may; then empty it; then restore it."""
        path = Path(self._endpoint_file)
        text = path.read_text()
        path.write_text(text[: len(text) // 2])
        self.reactor.callLater(values.get("for", 2000.0) / 2000, path.write_text, "")
        self._call_after_fault(values, self._write_endpoint_list)


def play(
    script: Script, template: str, folder: Path, command: list[str] | None = None, record: bool = False
) -> list[str]:
    """Run a script to its end and return the errors of the run itself.

    It runs the reactor, so it can be called only once per process.
    """
    from twisted.internet import reactor

    run = DayRun(reactor, script, template, folder, command or [sys.executable, "-m", "anisefront"], record)
    run.done.addBoth(lambda _: reactor.stop())
    reactor.callWhenRunning(run.start)
    reactor.run()
    return run.run_errors
