"""Processes of one fleet on this machine, started and stopped together: workers, simulated and real gateways, clients.

Every wait has a timeout, and all processes are terminated by their ids on exit, also after a failure or Ctrl-C.
"""

from __future__ import annotations

import json
import os
import signal
import socket
import tempfile
import time
from collections.abc import Callable, Sequence
from dataclasses import asdict, dataclass
from pathlib import Path
from typing import Any

from benchmarks.scale import child, counting
from benchmarks.scale.datagram_relay import bind_loopback
from benchmarks.scale.files import Files, Sizes, customers_of, simulated_bytes
from benchmarks.scale.results import ROOT

READY_TIMEOUT_S = 40.0
SETTLE_TIMEOUT_S = 60.0
LOAD_TIMEOUT_S = 25.0
MAX_PROCESSES = 100
MAX_MEMORY_FRACTION = 0.45  # the other processes of the run bring the total to half of the memory
NEIGHBOUR_PROCESSES = (
    2  # for the simulated gateways that share customers with real ones; `processes` are for the others
)
GATEWAYS_PER_PROCESS = 85  # default for the other simulated gateways: 85 use a sixth of a core


@dataclass(slots=True)
class Reading:
    """CPU times, datagram counts and state reports at one moment."""

    at: float
    cpu_ms: dict[int, float]
    counts: dict[str, tuple[int, int]]
    states: dict[int, dict[str, Any]]


def cpu_ms(pid: int) -> float:
    """Return the CPU time of a process so far, over all its threads."""
    total = 0
    for thread in os.listdir(f"/proc/{pid}/task"):
        with open(f"/proc/{pid}/task/{thread}/schedstat") as file:
            total += int(file.read().split()[0])
    return total / 1e6


def rss_mb(pid: int) -> float:
    """Return the resident memory of a process, in MB of 10^6 bytes."""
    with open(f"/proc/{pid}/statm") as file:
        return int(file.read().split()[1]) * os.sysconf("SC_PAGE_SIZE") / 1e6


def rpc(address: str, method: str, params: dict[str, Any], seconds: float = 10.0) -> dict[str, Any]:
    """Make one JSON-RPC call and return the whole response."""
    host, _, port = address.rpartition(":")
    with socket.create_connection((host, int(port)), seconds) as link:
        link.sendall(json.dumps({"jsonrpc": "2.0", "id": 1, "method": method, "params": params}).encode() + b"\n")
        return json.loads(link.makefile().readline())


def quantile(values: Sequence[float], fraction: float) -> float:
    """Return a quantile of the values, 0 if there are none."""
    ordered = sorted(values)
    return ordered[min(len(ordered) - 1, int(fraction * len(ordered)))] if ordered else 0.0


def highest_ms(before: dict[str, Any], after: dict[str, Any]) -> float:
    """Return the upper bound of the highest bucket of a state report's histogram that grew between two reports."""
    buckets = [name for name, count in after["late"].items() if count > before["late"].get(name, 0)]
    bounds = [after["worst_ms"] if name == "more" else float(name[3:-3]) for name in buckets]
    return min(max(bounds, default=0.0), after["worst_ms"])


def knows_all(state: dict[str, Any], gatekeepers: int) -> bool:
    """Return whether a gateway knows all members; a suspected one counts, as a busy machine causes false suspicions."""
    return state["members"].get("alive", 0) + state["members"].get("suspected", 0) == gatekeepers


class Fleet:
    """Running processes of one fleet, as a context manager.

    With `settled`, the simulated gateways start with the full membership; otherwise they discover each other.
    """

    def __init__(
        self,
        sizes: Sizes,
        processes: int = 0,
        senders: int = 3,
        settled: bool = True,
        seed: int = 1,
        program: Path = ROOT,
    ) -> None:
        self.program = program  # the checkout whose sources the real gateways run
        self.sizes, self.seed, self._settled = sizes, seed, settled
        self._process_count, self._sender_count = (
            processes or max(3, -(-sizes.gatekeepers // GATEWAYS_PER_PROCESS)),
            senders,
        )
        if NEIGHBOUR_PROCESSES + self._process_count + senders + sizes.reals + 4 > MAX_PROCESSES:
            raise ValueError(f"the fleet needs more than {MAX_PROCESSES} processes")
        memory = os.sysconf("SC_PAGE_SIZE") * os.sysconf("SC_PHYS_PAGES")
        # A fleet too large for the memory would not fail here but take down other work on the machine.
        if simulated_bytes(sizes) > MAX_MEMORY_FRACTION * memory:
            raise ValueError(
                f"{simulated_bytes(sizes) / 1e9:.1f} GB for simulated gateways, the limit is "
                f"{MAX_MEMORY_FRACTION * memory / 1e9:.1f} GB of this machine's {memory / 1e9:.1f} GB"
            )
        self.children: list[child.Child] = []
        self.simulated: list[child.Child] = []
        self.senders: list[child.Child] = []
        self.reals: dict[int, child.Child] = {}
        self.addresses: dict[int, dict[str, str]] = {}
        self.start_s: dict[int, float] = {}
        self.versions: dict[int, int] = {}  # of the settings in force at each real gateway

    # ---- start and stop --------------------------------------------------------------------------

    def __enter__(self) -> Fleet:
        """Start all processes and wait until they are ready."""
        self._temporary_folder = tempfile.TemporaryDirectory(prefix="scale-")
        self.folder = Path(self._temporary_folder.name)
        try:
            self._start()
        except BaseException:
            self.__exit__()
            raise
        return self

    def __exit__(self, *_: object) -> None:
        """Terminate all processes and remove their files."""
        # A second Ctrl-C during termination would leave processes behind.
        previous_handler = signal.signal(signal.SIGINT, signal.SIG_IGN)
        try:
            child.terminate_all(self.children)
            self._temporary_folder.cleanup()
        finally:
            signal.signal(signal.SIGINT, previous_handler)

    def _child(self, name: str, module: str, parameters: dict[str, Any]) -> child.Child:
        process = child.Child.start_module(name, module, parameters, open(self.folder / f"{name}.log", "w"))
        self.children.append(process)
        return process

    def _start_command(self, name: str, folder: Path, *command: str) -> child.Child:
        """Start a command that is not part of the run in a checkout's folder; it is killed with this process."""
        process = child.Child(
            name,
            ["-m", "benchmarks.scale.child", str(os.getpid()), str(folder), *command],
            open(self.folder / f"{name}.log", "w"),
        )
        self.children.append(process)
        return process

    def _start(self) -> None:
        sizes, reals = self.sizes, range(self.sizes.reals)
        self.workers = self._child("workers", "workers", {"workers": sizes.workers})
        self.files = Files(self.folder, sizes, self.workers.receive(READY_TIMEOUT_S)["port"])
        simulated_numbers = range(sizes.reals, sizes.gatekeepers)
        neighbours, others = (
            set(sizes.neighbours),
            [number for number in simulated_numbers if number not in sizes.neighbours],
        )
        # Quota owners in one event loop with a hundred others would answer late, and requests wait for their answers.
        parts = [
            sorted(neighbours)[part::NEIGHBOUR_PROCESSES] for part in range(min(NEIGHBOUR_PROCESSES, len(neighbours)))
        ]
        parts += [others[part :: self._process_count] for part in range(min(self._process_count, len(others)))]
        self.simulated = [
            self._child(
                f"simulated-{part}",
                "simulated_gateways",
                {
                    "sizes": asdict(sizes),
                    "numbers": numbers,
                    "roster": str(self.files.endpoint_list),
                    "settings": str(self.files.simulated),
                    "seed": self.seed,
                },
            )
            for part, numbers in enumerate(parts)
        ]
        spare = {number: bind_loopback() for number in reals}
        self._ports = {number: link.getsockname()[1] for number, link in spare.items()}
        self.relay = self._child("relay", "datagram_relay", {"targets": self._ports})
        self.senders = [self._child(f"sender-{part}", "load", {}) for part in range(self._sender_count)]
        self.bare_sender = self._child("sender-bare", "load", {})
        self.bare = self._start_command("bare", ROOT, "-m", "benchmarks.bare_server")
        self.bare_address = self.bare.receive(READY_TIMEOUT_S)["grpc"]
        ports = self.relay.receive(READY_TIMEOUT_S)["ports"]
        for each in self.simulated:
            ports |= each.receive(READY_TIMEOUT_S)["ports"]
        self.files.write_peers({int(number): port for number, port in ports.items()})
        incarnations: dict[str, int] = {}
        for each in child.request_all(self.simulated, {"do": "lives", "ports": ports}, READY_TIMEOUT_S):
            incarnations |= each["lives"]
        # All learn the membership before any starts: a process still busy with it would not answer probes of others.
        child.request_all(
            self.simulated, {"do": "know", "lives": incarnations if self._settled else {}}, READY_TIMEOUT_S
        )
        child.request_all(self.simulated, {"do": "start"}, READY_TIMEOUT_S)
        for link in spare.values():
            link.close()
        self._customers: dict[int, list[str]] = {}
        for number in reals:
            self.start_real(number)
        for number in reals:
            self.wait_real(number)

    def start_real(self, number: int) -> None:
        """Start a real gateway; `wait_real` waits until it is ready."""
        file = self.files.write_main(number, self._ports[number])
        self.reals[number] = self._start_command(
            f"real-{number}", self.program, "-m", "anisefront", "serve", str(file), "--log-level", "warning"
        )

    def wait_real(self, number: int) -> None:
        """Wait until a real gateway reports its addresses."""
        self.addresses[number] = self.reals[number].receive(READY_TIMEOUT_S)
        self.start_s[number] = time.monotonic() - self.reals[number].started_s

    # ---- queries ---------------------------------------------------------------------------------

    def state(self, number: int) -> dict[str, Any]:
        """Return the state report of a real gateway."""
        return rpc(self.addresses[number]["jsonrpc"], "state", {})["result"]

    def states(self) -> dict[int, dict[str, Any]]:
        """Return the state reports of all real gateways."""
        return {number: self.state(number) for number in self.reals}

    def known(self) -> list[dict[str, Any]]:
        """Return what each process of simulated gateways reports of membership, endpoints and settings."""
        return child.request_all(self.simulated, {"do": "known"})

    def wait_until(
        self, condition: Callable[[dict[str, Any]], bool], seconds: float = SETTLE_TIMEOUT_S, pause_s: float = 0.05
    ) -> float:
        """Poll until `condition` holds for every real gateway's state; return the time, or raise `ChildError`."""
        end = time.monotonic() + seconds
        for number in self.reals:
            while not condition(state := self.state(number)):
                if time.monotonic() > end:
                    excerpt = {name: state[name] for name in ("members", "servers", "settings", "loop", "peers")}
                    raise child.ChildError(
                        f"real-{number}: condition not met within {seconds:g} s: {json.dumps(excerpt)[:3000]}"
                    )
                time.sleep(pause_s)
        return time.monotonic()

    def settle(self, rate: float | None = None) -> float:
        """Wait until every real gateway knows all members, then start the simulated clients; return the wait in s."""
        began = time.monotonic()
        self.wait_until(lambda state: knows_all(state, self.sizes.gatekeepers))
        self.set_client_rate(self.sizes.requests if rate is None else rate)
        return time.monotonic() - began

    def set_client_rate(self, rate: float) -> None:
        """Set the requests per second at each simulated gateway that has clients."""
        child.request_all(self.simulated, {"do": "set", "rate": rate})

    def take_reading(self, first: bool = True) -> Reading:
        """Read all counts.

        The state reports are fetched before the first reading and after the last, so that their CPU is not measured.
        """
        states = self.states() if first else {}
        parts = [each["counts"] for each in child.request_all([*self.simulated, self.relay], {"do": "counts"})]
        cpu_times, now = {number: cpu_ms(each.pid) for number, each in self.reals.items()}, time.monotonic()
        return Reading(now, cpu_times, counting.total(parts), states or self.states())

    # ---- faults and changes ----------------------------------------------------------------------

    def change_settings(self, include_simulated: bool = True) -> tuple[float, str]:
        """Add one route and reload all gateways, or the real ones only.

        Returns the seconds until it is in force at all real gateways, and its path.
        """
        for number in self.reals.keys() - self.versions.keys():
            self.versions[number] = self.state(number)["settings"]["version"]
        path, changed_at = self.files.change(), time.time()
        for each in self.reals.values():
            each.process.send_signal(signal.SIGHUP)
        reloaded = self.simulated if include_simulated else []
        for each in reloaded:
            each.send({"do": "reload"})
        slowest_s = 0.0
        for number in self.reals:
            end = time.monotonic() + SETTLE_TIMEOUT_S
            while (state := self.state(number))["settings"]["version"] <= self.versions[number]:
                if state["settings"]["fault"] or time.monotonic() > end:
                    raise child.ChildError(f"real-{number}: changed settings not in force: {state['settings']}")
                time.sleep(0.03)  # polling costs them CPU; the report says when the settings came into force
            self.versions[number] = state["settings"]["version"]
            slowest_s = max(slowest_s, time.time() - state["settings"]["since_ms"] / 1000 - changed_at)
        for each in reloaded:
            each.receive(SETTLE_TIMEOUT_S)
        return slowest_s, path

    def change_list(self, draining: int) -> float:
        """Mark the first workers of the list as draining; return the seconds until all real gateways know it."""
        began = time.monotonic()
        self.files.write_endpoint_list(draining)
        time.sleep(0.1)
        expected = draining
        return self.wait_until(lambda state: state["servers"].get("draining", 0) == expected, pause_s=0.02) - began

    def restart_simulated(self, numbers: Sequence[int], leaves: bool = True) -> None:
        """Restart simulated gateways, with a leave message or without."""
        child.request_all(self.simulated, {"do": "restart", "numbers": list(numbers), "leaves": leaves})

    def isolate_zone(self, zone: int | None) -> None:
        """Partition a zone from all others; with None, end the partition."""
        self.relay.request({"do": "cut", "zone": zone})
        child.request_all(self.simulated, {"do": "heal"} if zone is None else {"do": "set", "cut": zone})

    # ---- load and measurement windows ------------------------------------------------------------

    def start_load(self, rate: float, seconds: float) -> None:
        """Start clients of every real gateway at `rate` requests per second; `finish_load` returns their results."""
        if not self._customers:
            from anisefront.cli.config import checked

            settings = (
                checked(str(self.files.folder / "real-0.conf")).config.settings
                if self.sizes.routes * self.sizes.tenants < 1e6
                else checked(str(self.files.simulated)).config.settings
            )
            self._customers = customers_of(settings, self.sizes.tenants, set(self.reals))
        paths = self.files.paths()[1:] or self.files.paths()
        self.bare_sender.send(
            {
                "targets": {"bare": {"grpc": self.bare_address, "keys": ["k-00000"]}},
                "rate": rate,
                "seconds": seconds,
                "paths": paths,
                "seed": self.seed,
            }
        )
        for part, each in enumerate(self.senders):
            targets = {
                number: {
                    "grpc": self.addresses[number]["grpc"],
                    "keys": [f"k-{name.rpartition('-')[2]}" for name in self._customers[number]],
                }
                for number in list(self.reals)[part :: len(self.senders)]
            }
            each.send({"targets": targets, "rate": rate, "seconds": seconds, "paths": paths, "seed": self.seed + part})

    def finish_load(self, seconds: float) -> dict[str, Any]:
        """Wait for the clients to end and return their latencies and counts."""
        observed: dict[str, Any] = {"check": [], "through": [], "direct": [], "late": [], "counts": {}}
        for each in self.senders:
            part = each.receive(seconds + LOAD_TIMEOUT_S)
            for name in ("check", "through", "direct", "late"):
                observed[name] += part[name]
            for name, count in part["counts"].items():
                observed["counts"][name] = observed["counts"].get(name, 0) + count
        observed["bare"] = self.bare_sender.receive(seconds + LOAD_TIMEOUT_S)["check"]
        return observed

    def window(
        self, seconds: float, rate: float = 0.0, events: Sequence[tuple[float, Callable[[], None]]] = ()
    ) -> tuple[Reading, Reading, dict[str, Any]]:
        """Take readings at both ends of a window, with clients at a rate and events at their times in between."""
        before = self.take_reading()
        if rate:
            self.start_load(rate, seconds)
        for at, call in sorted(events, key=lambda each: each[0]):
            time.sleep(max(0.0, before.at + at - time.monotonic()))
            call()
        observed = {} if rate else {"counts": {}}
        if rate:
            observed = self.finish_load(seconds)
        time.sleep(max(0.0, before.at + seconds - time.monotonic()))
        return before, self.take_reading(first=False), observed

    def row(
        self,
        quiet_s: float,
        loaded_s: float,
        rate: float | None = None,
        events: Sequence[tuple[float, Callable[[], None]]] = (),
    ) -> dict[str, float]:
        """Return all measures of one row: a window without clients of the real gateways, and one with them."""
        rate = self.sizes.requests if rate is None else rate
        values = {"start_s": sum(self.start_s.values()) / len(self.start_s)}
        before, after, _ = self.window(quiet_s, events=events)
        took, reals = after.at - before.at, len(self.reals)
        quiet = sum(after.cpu_ms[number] - before.cpu_ms[number] for number in self.reals) / reals / took
        values["control_cpu_ms_s"] = quiet
        values |= self.rates(before, after, "quiet_")
        values["quiet_loop_ms"] = max(
            highest_ms(before.states[each]["loop"], after.states[each]["loop"]) for each in self.reals
        )
        before, after, observed = self.window(loaded_s, rate, events)
        return values | self.rates(before, after) | self.client_measures(before, after, observed, quiet)

    def rates(self, before: Reading, after: Reading, prefix: str = "") -> dict[str, float]:
        """Return datagrams and bytes per second by purpose and direction, as the mean over the real gateways."""
        return counting.rates(before.counts, after.counts, after.at - before.at, len(self.reals), prefix)

    def client_measures(
        self, before: Reading, after: Reading, observed: dict[str, Any], quiet_ms_s: float
    ) -> dict[str, float]:
        """Return the measures of a window with clients; `quiet_ms_s` is the CPU per second without them."""
        reals, took = len(self.reals), after.at - before.at
        spent = sum(after.cpu_ms[number] - before.cpu_ms[number] for number in self.reals) / reals
        requests = max(1, len(observed["check"])) / reals
        values = {
            "requests_s": requests / took,
            "cpu_ms_s": spent / took,
            "request_cpu_us": max(0.0, spent - quiet_ms_s * took) / requests * 1000,
            "served_share": observed["counts"].get("served", 0) / max(1, sum(observed["counts"].values())),
            "sent_late_p99_ms": quantile(observed["late"], 0.99),
            "wait_max_ms": max(observed["check"], default=0.0),
            "rss_mb": sum(rss_mb(each.pid) for each in self.reals.values()) / reals,
        }
        for name, fraction in (("p50", 0.5), ("p99", 0.99), ("p999", 0.999)):
            values[f"check_{name}_ms"] = quantile(observed["check"], fraction)
            values[f"bare_{name}_ms"] = quantile(observed["bare"], fraction)
            values[f"direct_{name}_ms"] = quantile(observed["direct"], fraction)
            values[f"added_{name}_ms"] = quantile(observed["through"], fraction) - quantile(
                observed["direct"], fraction
            )
        for name in ("loop", "turn"):
            values[f"{name}_ms"] = max(
                highest_ms(before.states[each][name], after.states[each][name]) for each in self.reals
            )
        for name in ("accounts", "stores", "peers", "workers"):
            values[f"held_{name}_kb"] = (
                sum(state["memory"][name]["bytes"] for state in after.states.values()) / reals / 1000
            )
        return values
