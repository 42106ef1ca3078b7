"""`make bench`: checks a second on one core against a bare server, latency, memory, and the module's own cost.

All in one run, one server at a time, turn and turn about; medians of the turns and ratios of these.
"""

import json
import os
import pathlib
import random
import signal
import statistics
import subprocess
import sys
import time
from anisefront.policy.actions import StartAttempt
from anisefront.policy.events import Arrival, AttemptEnded, AttemptResult, Endpoint, EndpointList, EndpointStatus
from anisefront.policy.settings import Idempotency, Plan, RequestClass, Settings

ROOT = pathlib.Path(__file__).parent.parent
CORES = sorted(os.sched_getaffinity(0))
CLIENTS, TURNS, SECONDS, CUSTOMERS = 3, 3, 3.0, 500


def start(command):
    """A server pinned to one core, and where it listens."""
    process = subprocess.Popen(
        command, cwd=ROOT, stdout=subprocess.PIPE, text=True, preexec_fn=lambda: os.sched_setaffinity(0, {CORES[0]})
    )
    return process, json.loads(process.stdout.readline())


def stop(process):
    process.send_signal(signal.SIGTERM)
    try:
        process.wait(8)
    except subprocess.TimeoutExpired:
        process.kill()
        process.wait()
    process.stdout.close()


def resident_mib(process):
    for line in pathlib.Path(f"/proc/{process.pid}/status").read_text().splitlines():
        if line.startswith("VmRSS"):
            return int(line.split()[1]) / 1024


def load(address, streams):
    """Checks a second and latencies in ms of all clients together; the worst client's tail counts."""
    clients = [
        subprocess.Popen(
            [sys.executable, "-m", "benchmarks.check_client", address, str(streams), str(SECONDS), str(CUSTOMERS)],
            cwd=ROOT,
            stdout=subprocess.PIPE,
            text=True,
            preexec_fn=lambda number=number: os.sched_setaffinity(0, set(CORES[1 + number :: CLIENTS] or CORES)),
        )
        for number in range(CLIENTS)
    ]
    rows = [json.loads(client.communicate()[0]) for client in clients]
    return {
        "rate": sum(row["checks"] for row in rows) / SECONDS,
        "denied": sum(row["denied"] for row in rows),
        **{name: max(row[name] for row in rows) / 1000 for name in ("p50", "p99", "p99.9")},
    }


SERVERS = {
    "anisefront": [sys.executable, "-m", "anisefront", "serve", "examples/loopback.conf", "--log-level", "warning"],
    "anisefront, recording": [
        sys.executable,
        "-m",
        "anisefront",
        "serve",
        "found/recording.conf",
        "--log-level",
        "warning",
    ],
    "bare grpcio asyncio": [sys.executable, "-m", "benchmarks.bare_server"],
}


def checks():
    """Both servers, with one check under way on each connection and with 64."""
    out = {}
    path = ROOT / "found" / "recording.conf"
    path.parent.mkdir(exist_ok=True)
    path.write_text((ROOT / "examples/loopback.conf").read_text() + f'record "{path}.trace" key k\n')
    for streams in (1, 64):
        turns = {name: [] for name in SERVERS}
        for _ in range(TURNS):
            for name, command in SERVERS.items():
                process, where = start(command)
                turns[name].append(load(where["grpc"], streams))
                stop(process)
        out[streams] = {
            name: {key: statistics.median(row[key] for row in rows) for key in rows[0]} for name, rows in turns.items()
        }
    return out


def memory(held):
    """MiB of a gatekeeper idle, and with so many checks held for their quota."""
    import grpc
    from envoy.service.auth.v3 import external_auth_pb2

    text = (ROOT / "examples/loopback.conf").read_text()
    text = text.replace("rate 1000000/s burst 1000000", "rate 1/h burst 1").replace(
        "aim 1s deadline 5s", "aim 100s deadline 300s"
    )
    path = ROOT / "found" / "held.conf"
    path.parent.mkdir(exist_ok=True)
    path.write_text(text)
    process, where = start([sys.executable, "-m", "anisefront", "serve", str(path), "--log-level", "warning"])
    time.sleep(0.5)
    idle = resident_mib(process)
    channels = [grpc.insecure_channel(where["grpc"], [("grpc.use_local_subchannel_pool", 1)]) for _ in range(4)]
    calls = []
    for number in range(held + 1):
        check = channels[number % 4].unary_unary(
            "/envoy.service.auth.v3.Authorization/Check", external_auth_pb2.CheckRequest.SerializeToString
        )
        request = external_auth_pb2.CheckRequest()
        request.attributes.request.http.method, request.attributes.request.http.path = "GET", "/stock-view"
        request.attributes.request.http.headers.update({"x-api-key": "one", "x-request-id": str(number)})
        calls.append(check.future(request))
    state = {}
    for _ in range(100):
        time.sleep(0.2)
        line = subprocess.run(
            [sys.executable, "-m", "anisefront", "state", where["jsonrpc"]], cwd=ROOT, capture_output=True, text=True
        ).stdout
        state = json.loads(line) if line else {}
        if state.get("open", 0) >= held:
            break
    full = resident_mib(process)
    for call in calls:
        call.cancel()
    process.kill()
    process.wait()
    process.stdout.close()
    return {"idle_mib": idle, "held": state.get("open"), "held_mib": full}


def module(gateways, requests=20_000):
    """Microseconds a request (arrival, send, outcome) that the module alone takes, told of so many gateways."""
    from anisefront.policy.controller import Controller

    settings = Settings(
        gateways=gateways,
        number=0,
        zone="a",
        classes=(RequestClass("r", 1000, 5000, 1.0, Idempotency.IDEMPOTENT),),
        plans=(Plan("p", 1e6, 1e6),),
        warm_up_ms=1000,
        slow_start_initial_factor=0.2,
        overload_multiple=3,
        overload_window_ms=1000,
        max_attempts=3,
        peer_messages_enabled=gateways > 1,
        inbox_per_s=200 if gateways > 1 else 0,
    )
    controller, rng, now = Controller(settings, 1), random.Random(1), 1000.0
    controller.handle(now, [EndpointList(tuple(Endpoint(f"s{n}", "a", 0, EndpointStatus.READY) for n in range(86)))])
    spent, due = 0.0, []
    for number in range(1, requests + 1):
        now += 10.0  # a hundred requests a second, well under the window: held work is measured elsewhere
        events = [Arrival(number, f"c{rng.randrange(CUSTOMERS)}", "r", "p", now + 5000, 1, 0, min(gateways, 3))]
        while due and due[0][0] <= now:
            events.append(due.pop(0)[1])
        began = time.perf_counter()
        actions = controller.handle(now, events)
        spent += time.perf_counter() - began
        for action in actions:
            if isinstance(action, StartAttempt):
                due.append((now + 5, AttemptEnded(action.id, 0, action.endpoint, 5.0, AttemptResult.OK, True)))
    return spent / requests * 1e6


def main():
    print("module alone, microseconds a request, 86 workers, median of 3:")
    for gateways in (2, 460):
        print(f"  {gateways:4} gateways told: {statistics.median(module(gateways) for _ in range(3)):.0f}")
    print("memory of one gatekeeper:", json.dumps(memory(10_000)))
    print(
        f"checks a second on one core, {CLIENTS} clients, each allowed check logged; median of {TURNS} turns of "
        f"{SECONDS:.0f} s; latency in ms"
    )
    for streams, rows in checks().items():
        print(f"  {streams} under way on each connection")
        for name, row in rows.items():
            print(
                f"    {name:22} {row['rate']:8.0f}/s  p50 {row['p50']:.2f}  p99 {row['p99']:.2f}  "
                f"p99.9 {row['p99.9']:.2f}  denied {row['denied']:.0f}"
            )
        ours, bare = rows["anisefront"], rows["bare grpcio asyncio"]
        recording = rows["anisefront, recording"]
        print(f"    recording costs {1 - recording['rate'] / ours['rate']:.1%} of the checks a second")
        print(
            f"    ratio {ours['rate'] / bare['rate']:.2f}; added p50 {ours['p50'] - bare['p50']:.2f}, "
            f"p99 {ours['p99'] - bare['p99']:.2f}, p99.9 {ours['p99.9'] - bare['p99.9']:.2f} ms"
        )


if __name__ == "__main__":
    main()
