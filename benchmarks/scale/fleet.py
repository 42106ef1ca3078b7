"""A whole fleet of processes on this machine, started and ended as one: workers, hollow and real gatekeepers, clients.

Every wait has a bound, and all processes are ended by their ids on the way out, also after a failure or Ctrl-C.
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
from benchmarks.scale.files import Files, Sizes, customers_of, hollow_bytes
from benchmarks.scale.results import ROOT
from benchmarks.scale.datagram_relay import bound

READY_S, KNOWN_S, LOAD_S = 40.0, 60.0, 25.0
MOST_PROCESSES, MOST_MEMORY = 100, 0.45  # under half of the memory, with what the others hold
NEAR = 2  # processes for the hollow ones that share customers with real ones; `processes` are for the others
IN_ONE = 85  # of these in one process, where it is not said: they fill a sixth of a core


@dataclass(slots=True)
class Reading:
    """What the system and the taps say at a moment."""

    at: float
    cpu_ms: dict[int, float]
    counts: dict[str, tuple[int, int]]
    states: dict[int, dict[str, Any]]


def cpu_ms(pid: int) -> float:
    """CPU time of a process so far, of all its threads."""
    total = 0
    for thread in os.listdir(f"/proc/{pid}/task"):
        with open(f"/proc/{pid}/task/{thread}/schedstat") as file:
            total += int(file.read().split()[0])
    return total / 1e6


def rss_mb(pid: int) -> float:
    with open(f"/proc/{pid}/statm") as file:
        return int(file.read().split()[1]) * os.sysconf("SC_PAGE_SIZE") / 1e6


def rpc(address: str, method: str, params: dict[str, Any], seconds: float = 10.0) -> dict[str, Any]:
    """One JSON-RPC call; the whole answer."""
    host, _, port = address.rpartition(":")
    with socket.create_connection((host, int(port)), seconds) as link:
        link.sendall(json.dumps({"jsonrpc": "2.0", "id": 1, "method": method, "params": params}).encode() + b"\n")
        return json.loads(link.makefile().readline())


def quantile(values: Sequence[float], part: float) -> float:
    ordered = sorted(values)
    return ordered[min(len(ordered) - 1, int(part * len(ordered)))] if ordered else 0.0


def highest_ms(before: dict[str, Any], after: dict[str, Any]) -> float:
    """The upper bound of the highest row of a histogram of the state report that grew in between."""
    rows = [name for name, count in after["late"].items() if count > before["late"].get(name, 0)]
    bounds = [after["worst_ms"] if name == "more" else float(name[3:-3]) for name in rows]
    return min(max(bounds, default=0.0), after["worst_ms"])


def knows_all(state: dict[str, Any], gatekeepers: int) -> bool:
    """Whether one takes all for being there; of many on a busy machine now and then one is suspected, and says no."""
    return state["members"].get("alive", 0) + state["members"].get("suspected", 0) == gatekeepers


class Fleet:
    """`settled`: hollow ones begin as those that have been there for long; else they find each other."""

    def __init__(
        self,
        sizes: Sizes,
        processes: int = 0,
        senders: int = 3,
        settled: bool = True,
        seed: int = 1,
        program: Path = ROOT,
    ) -> None:
        self.program = program  # the checkout whose text the real ones run
        self.sizes, self.seed, self._settled = sizes, seed, settled
        self._many, self._senders_many = processes or max(3, -(-sizes.gatekeepers // IN_ONE)), senders
        if NEAR + self._many + senders + sizes.reals + 4 > MOST_PROCESSES:
            raise ValueError(f"more than {MOST_PROCESSES} processes")
        memory = os.sysconf("SC_PAGE_SIZE") * os.sysconf("SC_PHYS_PAGES")
        # Danger: what does not fit would not fail here but take the machine's other work with it.
        if hollow_bytes(sizes) > MOST_MEMORY * memory:
            raise ValueError(
                f"{hollow_bytes(sizes) / 1e9:.1f} GB for hollow gatekeepers, at most "
                f"{MOST_MEMORY * memory / 1e9:.1f} of this machine's {memory / 1e9:.1f}"
            )
        self.children: list[child.Child] = []
        self.hollow: list[child.Child] = []
        self.senders: list[child.Child] = []
        self.reals: dict[int, child.Child] = {}
        self.where: dict[int, dict[str, str]] = {}
        self.start_s: dict[int, float] = {}
        self.versions: dict[int, int] = {}  # of the settings in force at each real one

    # ---- begin and end -------------------------------------------------------------------------

    def __enter__(self) -> Fleet:
        self._made = tempfile.TemporaryDirectory(prefix="scale-")
        self.folder = Path(self._made.name)
        try:
            self._start()
        except BaseException:
            self.__exit__()
            raise
        return self

    def __exit__(self, *_: object) -> None:
        # Danger: a second Ctrl-C in the midst of ending would leave processes behind.
        before = signal.signal(signal.SIGINT, signal.SIG_IGN)
        try:
            child.end_all(self.children)
            self._made.cleanup()
        finally:
            signal.signal(signal.SIGINT, before)

    def _child(self, name: str, module: str, given: dict[str, Any]) -> child.Child:
        made = child.Child.of(name, module, given, open(self.folder / f"{name}.log", "w"))
        self.children.append(made)
        return made

    def _program(self, name: str, folder: Path, *command: str) -> child.Child:
        """A program that knows nothing of us, from the folder of its text."""
        made = child.Child(
            name,
            ["-m", "benchmarks.scale.child", str(os.getpid()), str(folder), *command],
            open(self.folder / f"{name}.log", "w"),
        )
        self.children.append(made)
        return made

    def _start(self) -> None:
        sizes, reals = self.sizes, range(self.sizes.reals)
        self.workers = self._child("workers", "workers", {"workers": sizes.workers})
        self.files = Files(self.folder, sizes, self.workers.hear(READY_S)["port"])
        rest = range(sizes.reals, sizes.gatekeepers)
        near, far = set(sizes.busy), [number for number in rest if number not in sizes.busy]
        # Danger: homes that stand in one loop with a hundred others would answer late, and requests wait for them.
        parts = [sorted(near)[part::NEAR] for part in range(min(NEAR, len(near)))]
        parts += [far[part :: self._many] for part in range(min(self._many, len(far)))]
        self.hollow = [
            self._child(
                f"hollow-{part}",
                "simulated_gateways",
                {
                    "sizes": asdict(sizes),
                    "numbers": numbers,
                    "roster": str(self.files.roster),
                    "settings": str(self.files.hollow),
                    "seed": self.seed,
                },
            )
            for part, numbers in enumerate(parts)
        ]
        spare = {number: bound() for number in reals}
        self._ports = {number: link.getsockname()[1] for number, link in spare.items()}
        self.tap = self._child("relay", "datagram_relay", {"targets": self._ports})
        self.senders = [self._child(f"sender-{part}", "load", {}) for part in range(self._senders_many)]
        self.bare_sender = self._child("sender-bare", "load", {})
        self.bare = self._program("bare", ROOT, "-m", "benchmarks.bare_server")
        self.bare_at = self.bare.hear(READY_S)["grpc"]
        ports = self.tap.hear(READY_S)["ports"]
        for each in self.hollow:
            ports |= each.hear(READY_S)["ports"]
        self.files.write_peers({int(number): port for number, port in ports.items()})
        lives: dict[str, int] = {}
        for each in child.ask_all(self.hollow, {"do": "lives", "ports": ports}, READY_S):
            lives |= each["lives"]
        # Danger: one process that still takes in what it is to know answers no probe of those that began before it.
        child.ask_all(self.hollow, {"do": "know", "lives": lives if self._settled else {}}, READY_S)
        child.ask_all(self.hollow, {"do": "start"}, READY_S)
        for link in spare.values():
            link.close()
        self._customers: dict[int, list[str]] = {}
        for number in reals:
            self.begin_real(number)
        for number in reals:
            self.wait_real(number)

    def begin_real(self, number: int) -> None:
        """Start a real one; `wait_real` waits until it is ready."""
        file = self.files.write_main(number, self._ports[number])
        self.reals[number] = self._program(
            f"real-{number}", self.program, "-m", "anisefront", "serve", str(file), "--log-level", "warning"
        )

    def wait_real(self, number: int) -> None:
        self.where[number] = self.reals[number].hear(READY_S)
        self.start_s[number] = time.monotonic() - self.reals[number].began

    # ---- asking --------------------------------------------------------------------------------

    def state(self, number: int) -> dict[str, Any]:
        return rpc(self.where[number]["jsonrpc"], "state", {})["result"]

    def states(self) -> dict[int, dict[str, Any]]:
        return {number: self.state(number) for number in self.reals}

    def known(self) -> list[dict[str, Any]]:
        """What the processes of hollow ones say of who is known and what is in force."""
        return child.ask_all(self.hollow, {"do": "known"})

    def until(self, what: Callable[[dict[str, Any]], bool], seconds: float = KNOWN_S, pause_s: float = 0.05) -> float:
        """Poll until `what` holds of the state of each real one; the moment. `child.Lost` where it does not come."""
        end = time.monotonic() + seconds
        for number in self.reals:
            while not what(state := self.state(number)):
                if time.monotonic() > end:
                    said = {name: state[name] for name in ("members", "servers", "settings", "loop", "peers")}
                    raise child.Lost(f"real-{number}: not so after {seconds:g} s: {json.dumps(said)[:3000]}")
                time.sleep(pause_s)
        return time.monotonic()

    def settle(self, rate: float | None = None) -> float:
        """Wait until each real one knows all; the seconds. The hollow ones' clients begin, at the real ones' rate."""
        began = time.monotonic()
        self.until(lambda state: knows_all(state, self.sizes.gatekeepers))
        self.clients(self.sizes.requests if rate is None else rate)
        return time.monotonic() - began

    def clients(self, rate: float) -> None:
        """The clients of hollow ones send so many requests a second to each."""
        child.ask_all(self.hollow, {"do": "set", "rate": rate})

    def read(self, first: bool = True) -> Reading:
        """All counts now. What asking for their states costs the real ones falls outside of two readings."""
        states = self.states() if first else {}
        parts = [each["counts"] for each in child.ask_all([*self.hollow, self.tap], {"do": "counts"})]
        spent, now = {number: cpu_ms(each.pid) for number, each in self.reals.items()}, time.monotonic()
        return Reading(now, spent, counting.total(parts), states or self.states())

    # ---- troubles and changes ------------------------------------------------------------------

    def change_settings(self, all_of_them: bool = True) -> tuple[float, str]:
        """One route more in one file, told to all or to the real ones only; the seconds until it is in force at all,
        and its path."""
        for number in self.reals.keys() - self.versions.keys():
            self.versions[number] = self.state(number)["settings"]["version"]
        path, began = self.files.change(), time.time()
        for each in self.reals.values():
            each.process.send_signal(signal.SIGHUP)
        told = self.hollow if all_of_them else []
        for each in told:
            each.tell({"do": "reload"})
        last = 0.0
        for number in self.reals:
            end = time.monotonic() + KNOWN_S
            while (state := self.state(number))["settings"]["version"] <= self.versions[number]:
                if state["settings"]["fault"] or time.monotonic() > end:
                    raise child.Lost(f"real-{number}: settings not in force: {state['settings']}")
                time.sleep(0.03)  # asking costs them CPU; when it came into force they say themselves
            self.versions[number] = state["settings"]["version"]
            last = max(last, time.time() - state["settings"]["since_ms"] / 1000 - began)
        for each in told:
            each.hear(KNOWN_S)
        return last, path

    def change_list(self, draining: int) -> float:
        """So many of the list's first workers drain from now on; the seconds until all real ones know, at most."""
        began = time.monotonic()
        self.files.write_roster(draining)
        time.sleep(0.1)
        wanted = draining
        return self.until(lambda state: state["servers"].get("draining", 0) == wanted, pause_s=0.02) - began

    def restart_hollow(self, numbers: Sequence[int], leaves: bool = True) -> None:
        child.ask_all(self.hollow, {"do": "restart", "numbers": list(numbers), "leaves": leaves})

    def cut(self, zone: int | None) -> None:
        """Cut a zone off from all others, or heal it."""
        self.tap.ask({"do": "cut", "zone": zone})
        child.ask_all(self.hollow, {"do": "heal"} if zone is None else {"do": "set", "cut": zone})

    # ---- load and windows ----------------------------------------------------------------------

    def begin_load(self, rate: float, seconds: float) -> None:
        """Clients at every real one, at `rate` a second each; `end_load` has what they saw."""
        if not self._customers:
            from anisefront.cli.config import checked

            settings = (
                checked(str(self.files.folder / "real-0.conf")).config.settings
                if self.sizes.routes * self.sizes.tenants < 1e6
                else checked(str(self.files.hollow)).config.settings
            )
            self._customers = customers_of(settings, self.sizes.tenants, set(self.reals))
        paths = self.files.paths()[1:] or self.files.paths()
        self.bare_sender.tell(
            {
                "targets": {"bare": {"grpc": self.bare_at, "keys": ["k-00000"]}},
                "rate": rate,
                "seconds": seconds,
                "paths": paths,
                "seed": self.seed,
            }
        )
        for part, each in enumerate(self.senders):
            targets = {
                number: {
                    "grpc": self.where[number]["grpc"],
                    "keys": [f"k-{name.rpartition('-')[2]}" for name in self._customers[number]],
                }
                for number in list(self.reals)[part :: len(self.senders)]
            }
            each.tell({"targets": targets, "rate": rate, "seconds": seconds, "paths": paths, "seed": self.seed + part})

    def end_load(self, seconds: float) -> dict[str, Any]:
        """What all clients saw."""
        seen: dict[str, Any] = {"check": [], "through": [], "direct": [], "late": [], "counts": {}}
        for each in self.senders:
            part = each.hear(seconds + LOAD_S)
            for name in ("check", "through", "direct", "late"):
                seen[name] += part[name]
            for name, count in part["counts"].items():
                seen["counts"][name] = seen["counts"].get(name, 0) + count
        seen["bare"] = self.bare_sender.hear(seconds + LOAD_S)["check"]
        return seen

    def window(
        self, seconds: float, rate: float = 0.0, events: Sequence[tuple[float, Callable[[], None]]] = ()
    ) -> tuple[Reading, Reading, dict[str, Any]]:
        """Two readings so many seconds apart, with clients at a rate and with events at their seconds in between."""
        before = self.read()
        if rate:
            self.begin_load(rate, seconds)
        for at, call in sorted(events, key=lambda each: each[0]):
            time.sleep(max(0.0, before.at + at - time.monotonic()))
            call()
        seen = {} if rate else {"counts": {}}
        if rate:
            seen = self.end_load(seconds)
        time.sleep(max(0.0, before.at + seconds - time.monotonic()))
        return before, self.read(first=False), seen

    def row(
        self,
        quiet_s: float,
        loaded_s: float,
        rate: float | None = None,
        events: Sequence[tuple[float, Callable[[], None]]] = (),
    ) -> dict[str, float]:
        """All measures of one row: a window without clients of the real ones, and one with them; events in both."""
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
        before, after, seen = self.window(loaded_s, rate, events)
        return values | self.rates(before, after) | self.seen(before, after, seen, quiet)

    def rates(self, before: Reading, after: Reading, prefix: str = "") -> dict[str, float]:
        """Datagrams and their bytes a second of one real gatekeeper, the mean, by purpose and way."""
        return counting.rates(before.counts, after.counts, after.at - before.at, len(self.reals), prefix)

    def seen(self, before: Reading, after: Reading, seen: dict[str, Any], quiet_ms_s: float) -> dict[str, float]:
        """Measures of a window with clients. `quiet_ms_s`: the CPU a second that goes for control all the same."""
        reals, took = len(self.reals), after.at - before.at
        spent = sum(after.cpu_ms[number] - before.cpu_ms[number] for number in self.reals) / reals
        asked = max(1, len(seen["check"])) / reals
        values = {
            "requests_s": asked / took,
            "cpu_ms_s": spent / took,
            "request_cpu_us": max(0.0, spent - quiet_ms_s * took) / asked * 1000,
            "served_share": seen["counts"].get("served", 0) / max(1, sum(seen["counts"].values())),
            "sent_late_p99_ms": quantile(seen["late"], 0.99),
            "wait_max_ms": max(seen["check"], default=0.0),
            "rss_mb": sum(rss_mb(each.pid) for each in self.reals.values()) / reals,
        }
        for name, part in (("p50", 0.5), ("p99", 0.99), ("p999", 0.999)):
            values[f"check_{name}_ms"] = quantile(seen["check"], part)
            values[f"bare_{name}_ms"] = quantile(seen["bare"], part)
            values[f"direct_{name}_ms"] = quantile(seen["direct"], part)
            values[f"added_{name}_ms"] = quantile(seen["through"], part) - quantile(seen["direct"], part)
        for name in ("loop", "turn"):
            values[f"{name}_ms"] = max(
                highest_ms(before.states[each][name], after.states[each][name]) for each in self.reals
            )
        for name in ("accounts", "stores", "peers", "workers"):
            values[f"held_{name}_kb"] = (
                sum(state["memory"][name]["bytes"] for state in after.states.values()) / reals / 1000
            )
        return values
