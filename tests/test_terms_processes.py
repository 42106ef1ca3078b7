"""Platform requirements that need processes over loopback: descriptors, start times, reload and drain."""

import os
import resource
import signal
import socket
import subprocess
import sys
import threading
import time

import pytest
from test_node_loopback import ROOT, Discovery, GatewayProcess, Worker, send_request, managed  # noqa: F401
from test_node_wire import endpoint_row

from anisefront.resp_gateway import resp_codec

SOCKETS = 128


class UnavailableDiscovery(Discovery):
    """Discovery that is down until `returns` is set: it sends nothing on its connections, or closes them."""

    def __init__(self, behavior, *rows):
        self.behavior, self.returns = behavior, threading.Event()
        super().__init__(*rows)

    def _serve(self, connection):
        if self.behavior == "silent":
            self.returns.wait(30)
        if self.returns.is_set():
            super()._serve(connection)


class LimitedGatewayProcess(GatewayProcess):
    """Gateway process whose descriptor limit is the configured number of sockets."""

    def start(self):
        def limit():
            resource.setrlimit(resource.RLIMIT_NOFILE, (SOCKETS, SOCKETS))

        return subprocess.Popen(
            [sys.executable, "-m", "anisefront", "node"],
            cwd=ROOT,
            stdout=self.log,
            stderr=self.log,
            env={**os.environ, "PROXY_CONFIG": str(self.file)},
            preexec_fn=limit,
        )


def until(condition, seconds=10.0):
    """Wait until the condition holds."""
    end = time.monotonic() + seconds
    while not condition():
        assert time.monotonic() < end
        time.sleep(0.02)


@pytest.mark.parametrize("behavior", ["silent", "ends"])
def test_watch_gets_a_descriptor_while_idle_clients_hold_all_of_theirs(managed, behavior):  # noqa: F811
    old, new = managed(Worker()), managed(Worker())
    discovery = managed(UnavailableDiscovery(behavior, endpoint_row("s2", new.address)))
    gateway = managed(
        LimitedGatewayProcess(managed.folder, discovery.address, endpoint_row("s1", old.address), sockets=SOCKETS)
    )
    connections = []
    gateway.process.send_signal(signal.SIGSTOP)  # so that all are accepted in one event loop iteration
    for _ in range(6 * SOCKETS):
        connection = socket.create_connection(("127.0.0.1", gateway.port))
        connection.settimeout(5)
        connections.append(connection)
        connection.sendall(resp_codec.encode_command([b"PING"]))
    gateway.process.send_signal(signal.SIGCONT)
    time.sleep(0.5)
    discovery.returns.set()
    until(lambda: discovery.connections, 6.0)
    client = gateway.client()
    until(lambda: send_request(client, 9999) and new.received)
    assert gateway.process.poll() is None


# ---- nine in ten restarted processes are ready within 10 s --------------------------------------------


def test_nine_of_ten_processes_started_at_once_are_ready_in_time_and_so_is_a_restarted_one(managed):  # noqa: F811
    worker = managed(Worker())
    discovery = managed(Discovery(endpoint_row("s1", worker.address)))
    gateways = []
    for number in range(10):
        folder = managed.folder / str(number)
        folder.mkdir()
        gateways.append(managed(GatewayProcess.__new__(GatewayProcess)))
        gateways[-1].launch(folder, discovery.address, endpoint_row("s1", worker.address))

    def ready():
        return sum(gateway.log_text().count('"ready"') for gateway in gateways)

    until(lambda: ready() >= 9, 10.0)
    until(lambda: ready() == 10, 30.0)
    idle_connections = [socket.create_connection(("127.0.0.1", gateways[0].port)) for _ in range(5)]
    assert send_request(gateways[0].client(), 1) == b"value for %016x" % 1
    gateways[0].process.kill()
    gateways[0].process.wait()
    gateways[0].process = gateways[0].start()
    until(lambda: ready() == 11, 10.0)
    for number, gateway in enumerate(gateways):
        assert send_request(gateway.client(), 100 + number) == b"value for %016x" % (100 + number)
    assert len(idle_connections) == 5


# ---- a reload followed by a drain ---------------------------------------------------------------------


@pytest.mark.parametrize(
    ("signals", "pause_s"),
    [
        ((signal.SIGHUP, signal.SIGTERM), 0.0),
        ((signal.SIGHUP, signal.SIGTERM, signal.SIGHUP), 0.03),
        ((signal.SIGTERM, signal.SIGHUP), 0.0),
    ],
)
def test_reload_and_drain_in_any_order_apply_the_file_and_answer_all_requests(managed, signals, pause_s):  # noqa: F811
    first_worker, second_worker = managed(Worker(work_s=0.6)), managed(Worker())
    old, new = (
        managed(Discovery(endpoint_row("s1", first_worker.address))),
        managed(Discovery(endpoint_row("s2", second_worker.address))),
    )
    gateway = managed(GatewayProcess(managed.folder, old.address, endpoint_row("s1", first_worker.address)))
    replies = []
    client = gateway.client()
    first = threading.Thread(target=lambda: replies.append(send_request(client, 1, timeout_ms=4000)))
    first.start()
    until(lambda: first_worker.received)
    gateway.write_config(discovery=new.address)
    for number in signals:
        gateway.process.send_signal(number)
        time.sleep(pause_s)
    gateway.wait_for_log(f'"discovery": "{new.address}"')
    until(lambda: new.connections)
    first.join()
    client.close()
    assert replies == [b"value for %016x" % 1] and gateway.process.wait(8) == 0
    assert "stopped_at_once" not in gateway.log_text() and "Traceback" not in gateway.log_text()


def test_sigterm_while_the_configuration_is_read_starts_a_drain(managed):  # noqa: F811
    """The configuration is a named pipe: the reload blocks in reading it, and SIGTERM arrives meanwhile."""
    worker = managed(Worker(work_s=0.5))
    gateway = managed(
        GatewayProcess(
            managed.folder,
            managed(Discovery(endpoint_row("s1", worker.address))).address,
            endpoint_row("s1", worker.address),
        )
    )
    replies = []
    client = gateway.client()
    first = threading.Thread(target=lambda: replies.append(send_request(client, 1, timeout_ms=4000)))
    first.start()
    until(lambda: worker.received)
    text = gateway.file.read_bytes()
    gateway.file.unlink()
    os.mkfifo(gateway.file)
    gateway.process.send_signal(signal.SIGHUP)
    with gateway.file.open("wb") as pipe:  # blocks until the process opens it for reading
        gateway.process.send_signal(signal.SIGTERM)
        time.sleep(0.05)
        pipe.write(text)
    gateway.wait_for_log('"event": "config"')
    gateway.wait_for_log("draining")
    first.join()
    client.close()
    assert replies == [b"value for %016x" % 1] and gateway.process.wait(8) == 0


# ---- requests on connections that are accepted around SIGTERM -----------------------------------------


def test_request_received_around_the_drain_is_answered_or_not_forwarded(managed):  # noqa: F811
    worker = managed(Worker())
    gateway = managed(
        GatewayProcess(
            managed.folder,
            managed(Discovery(endpoint_row("s1", worker.address))).address,
            endpoint_row("s1", worker.address),
        )
    )
    connections = [socket.create_connection(("127.0.0.1", gateway.port)) for _ in range(4)]
    gateway.process.send_signal(signal.SIGTERM)
    requests, number, began = [], 0, time.monotonic()
    while time.monotonic() < began + 0.35:  # while new connections are accepted
        number += 1
        connection = (
            connections.pop()
            if number % 8 == 1 and connections
            else socket.create_connection(("127.0.0.1", gateway.port))
        )
        connection.settimeout(5)
        data = resp_codec.encode_command(
            [b"Q.ASK", b"00000000b4d65521", b"%016x" % number, b"c=look,t=rated,d=1400,units=1,spread=1,first=0"]
        )
        try:
            connection.sendall(data[:20])
            time.sleep(0.008)
            connection.sendall(data[20:])
        except ConnectionError:
            pass  # the process closed it meanwhile
        requests.append((b"%016x" % number, connection))
    answered = 0
    for number, connection in requests:
        try:
            reply = connection.recv(1000)
        except ConnectionError:
            reply = b""
        connection.close()
        answered += reply == resp_codec.encode_bulk(b"value for " + number)
        assert (
            reply == resp_codec.encode_bulk(b"value for " + number)
            or reply[:5] == b"-BUSY"
            or not reply
            and number not in [each for each, _ in worker.received]
        )
    assert answered >= len(requests) - 4 > 0 and gateway.process.wait(8) == 0
