"""Benchmarks checks per second on one core against a bare server, latency, memory, and the controller alone.

`make bench` measures one server at a time, alternating, and prints medians of the rounds and their ratios.
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
CLIENTS = 3
ROUNDS = 3
SECONDS = 3.0
CUSTOMERS = 500


def start(command):
    """Start a server pinned to one core; return the process and its addresses."""
    process = subprocess.Popen(
        command, cwd=ROOT, stdout=subprocess.PIPE, text=True, preexec_fn=lambda: os.sched_setaffinity(0, {CORES[0]})
    )
    return process, json.loads(process.stdout.readline())


def stop(process):
    """Terminate a server, and kill it after 8 s."""
    process.send_signal(signal.SIGTERM)
    try:
        process.wait(8)
    except subprocess.TimeoutExpired:
        process.kill()
        process.wait()
    process.stdout.close()


def resident_mib(process):
    """Return the resident memory of a process."""
    for line in pathlib.Path(f"/proc/{process.pid}/status").read_text().splitlines():
        if line.startswith("VmRSS"):
            return int(line.split()[1]) / 1024


def load(address, streams):
    """Return checks per second of all clients together, and the latencies in ms of the slowest client."""
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
    """Measure all servers, with one concurrent check on each connection and with 64."""
    out = {}
    path = ROOT / "found" / "recording.conf"
    path.parent.mkdir(exist_ok=True)
    path.write_text((ROOT / "examples/loopback.conf").read_text() + f'record "{path}.trace" key k\n')
    for streams in (1, 64):
        rounds = {name: [] for name in SERVERS}
        for _ in range(ROUNDS):
            for name, command in SERVERS.items():
                process, addresses = start(command)
                rounds[name].append(load(addresses["grpc"], streams))
                stop(process)
        out[streams] = {
            name: {key: statistics.median(row[key] for row in rows) for key in rows[0]} for name, rows in rounds.items()
        }
    return out


def memory(queued):
    """Return the memory of a gateway in MiB, idle and with so many checks queued for their quota."""
    import grpc
    from envoy.service.auth.v3 import external_auth_pb2

    text = (ROOT / "examples/loopback.conf").read_text()
    text = text.replace("rate 1000000/s burst 1000000", "rate 1/h burst 1").replace(
        "aim 1s deadline 5s", "aim 100s deadline 300s"
    )
    path = ROOT / "found" / "held.conf"
    path.parent.mkdir(exist_ok=True)
    path.write_text(text)
    process, addresses = start([sys.executable, "-m", "anisefront", "serve", str(path), "--log-level", "warning"])
    time.sleep(0.5)
    idle = resident_mib(process)
    channels = [grpc.insecure_channel(addresses["grpc"], [("grpc.use_local_subchannel_pool", 1)]) for _ in range(4)]
    calls = []
    for number in range(queued + 1):
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
            [sys.executable, "-m", "anisefront", "state", addresses["jsonrpc"]],
            cwd=ROOT,
            capture_output=True,
            text=True,
        ).stdout
        state = json.loads(line) if line else {}
        if state.get("open", 0) >= queued:
            break
    loaded = resident_mib(process)
    for call in calls:
        call.cancel()
    process.kill()
    process.wait()
    process.stdout.close()
    return {"idle_mib": idle, "held": state.get("open"), "held_mib": loaded}


def controller_us(gateways, requests=20_000):
    """Return the time of a controller per request (arrival, attempt, result), in a fleet of so many gateways."""
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
    total_s, due = 0.0, []
    for number in range(1, requests + 1):
        now += 10.0  # 100 requests per second, well below the concurrency limit: queueing is measured in held.py
        events = [Arrival(number, f"c{rng.randrange(CUSTOMERS)}", "r", "p", now + 5000, 1, 0, min(gateways, 3))]
        while due and due[0][0] <= now:
            events.append(due.pop(0)[1])
        began = time.perf_counter()
        actions = controller.handle(now, events)
        total_s += time.perf_counter() - began
        for action in actions:
            if isinstance(action, StartAttempt):
                due.append((now + 5, AttemptEnded(action.id, 0, action.endpoint, 5.0, AttemptResult.OK, True)))
    return total_s / requests * 1e6


def main():
    """Print all figures."""
    print("controller alone, microseconds a request, 86 workers, median of 3:")
    for gateways in (2, 460):
        print(f"  {gateways:4} gateways: {statistics.median(controller_us(gateways) for _ in range(3)):.0f}")
    print("memory of one gatekeeper:", json.dumps(memory(10_000)))
    print(
        f"checks a second on one core, {CLIENTS} clients, each allowed check logged; median of {ROUNDS} rounds of "
        f"{SECONDS:.0f} s; latency in ms"
    )
    for streams, rows in checks().items():
        print(f"  {streams} concurrent on each connection")
        for name, row in rows.items():
            print(
                f"    {name:22} {row['rate']:8.0f}/s  p50 {row['p50']:.2f}  p99 {row['p99']:.2f}  "
                f"p99.9 {row['p99.9']:.2f}  denied {row['denied']:.0f}"
            )
        gateway, bare = rows["anisefront"], rows["bare grpcio asyncio"]
        recording = rows["anisefront, recording"]
        print(f"    recording costs {1 - recording['rate'] / gateway['rate']:.1%} of the checks a second")
        print(
            f"    ratio {gateway['rate'] / bare['rate']:.2f}; added p50 {gateway['p50'] - bare['p50']:.2f}, "
            f"p99 {gateway['p99'] - bare['p99']:.2f}, p99.9 {gateway['p99.9'] - bare['p99.9']:.2f} ms"
        )


if __name__ == "__main__":
    main()
