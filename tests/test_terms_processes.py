"""Terms of the standing test that processes over loopback show: descriptors, starts, reload and drain, pieces."""

import os
import resource
import signal
import socket
import subprocess
import sys
import threading
import time

import pytest
from test_node_loopback import ROOT, Discovery, Node, Worker, ask, house  # noqa: F401
from test_node_wire import endpoint_row

from anisefront.resp_gateway import resp_codec

SOCKETS = 128


class Down(Discovery):
    """It is down until `returns`: calls are let in and told nothing, or ended at once."""

    def __init__(self, manner, *rows):
        self.manner, self.returns = manner, threading.Event()
        super().__init__(*rows)

    def _serve(self, link):
        if self.manner == "silent":
            self.returns.wait(30)
        if self.returns.is_set():
            super()._serve(link)


class Few(Node):
    """A gatekeeper that the system gives no more descriptors than its limits say."""

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


def until(what, seconds=10.0):
    end = time.monotonic() + seconds
    while not what():
        assert time.monotonic() < end
        time.sleep(0.02)


@pytest.mark.parametrize("manner", ["silent", "ends"])
def test_the_watch_gets_a_descriptor_where_idle_clients_hold_all_they_can(house, manner):  # noqa: F811
    old, new = house(Worker()), house(Worker())
    discovery = house(Down(manner, endpoint_row("s2", new.address)))
    node = house(Few(house.folder, discovery.address, endpoint_row("s1", old.address), sockets=SOCKETS))
    links = []
    node.process.send_signal(signal.SIGSTOP)  # so that all come in one look
    for _ in range(6 * SOCKETS):
        link = socket.create_connection(("127.0.0.1", node.port))
        link.settimeout(5)
        links.append(link)
        link.sendall(resp_codec.encode_command([b"PING"]))
    node.process.send_signal(signal.SIGCONT)
    time.sleep(0.5)
    discovery.returns.set()
    until(lambda: discovery.links, 6.0)
    client = node.client()
    until(lambda: ask(client, 9999) and new.took)
    assert node.process.poll() is None


# ---- nine in ten restarted processes are ready within 10 s ----------------------------------------------


def test_of_ten_that_start_at_once_nine_are_ready_in_time_and_so_is_one_killed_under_its_clients(house):  # noqa: F811
    worker = house(Worker())
    discovery = house(Discovery(endpoint_row("s1", worker.address)))
    nodes = []
    for number in range(10):
        folder = house.folder / str(number)
        folder.mkdir()
        nodes.append(house(Node.__new__(Node)))
        nodes[-1].made(folder, discovery.address, endpoint_row("s1", worker.address))

    def ready():
        return sum(node.said().count('"ready"') for node in nodes)

    until(lambda: ready() >= 9, 10.0)
    until(lambda: ready() == 10, 30.0)
    held = [socket.create_connection(("127.0.0.1", nodes[0].port)) for _ in range(5)]
    assert ask(nodes[0].client(), 1) == b"value for %016x" % 1
    nodes[0].process.kill()
    nodes[0].process.wait()
    nodes[0].process = nodes[0].start()
    until(lambda: ready() == 11, 10.0)
    for number, node in enumerate(nodes):
        assert ask(node.client(), 100 + number) == b"value for %016x" % (100 + number)
    assert len(held) == 5


# ---- a reload followed by a drain ------------------------------------------------------------------------


@pytest.mark.parametrize(
    ("signals", "pause_s"),
    [
        ((signal.SIGHUP, signal.SIGTERM), 0.0),
        ((signal.SIGHUP, signal.SIGTERM, signal.SIGHUP), 0.03),
        ((signal.SIGTERM, signal.SIGHUP), 0.0),
    ],
)
def test_a_reload_and_a_drain_in_any_order_take_the_file_in_and_answer_all(house, signals, pause_s):  # noqa: F811
    one, two = house(Worker(work_s=0.6)), house(Worker())
    old, new = house(Discovery(endpoint_row("s1", one.address))), house(Discovery(endpoint_row("s2", two.address)))
    node = house(Node(house.folder, old.address, endpoint_row("s1", one.address)))
    answers = []
    client = node.client()
    first = threading.Thread(target=lambda: answers.append(ask(client, 1, wait=4000)))
    first.start()
    until(lambda: one.took)
    node.write(discovery=new.address)
    for number in signals:
        node.process.send_signal(number)
        time.sleep(pause_s)
    node.until_said(f'"discovery": "{new.address}"')
    until(lambda: new.links)
    first.join()
    client.close()
    assert answers == [b"value for %016x" % 1] and node.process.wait(8) == 0
    assert "stopped_at_once" not in node.said() and "Traceback" not in node.said()


def test_a_signal_to_end_that_comes_while_the_file_is_read_is_a_drain(house):  # noqa: F811
    """The file is a pipe: the reload waits in it for its bytes, and the signal comes then."""
    worker = house(Worker(work_s=0.5))
    node = house(
        Node(
            house.folder,
            house(Discovery(endpoint_row("s1", worker.address))).address,
            endpoint_row("s1", worker.address),
        )
    )
    answers = []
    client = node.client()
    first = threading.Thread(target=lambda: answers.append(ask(client, 1, wait=4000)))
    first.start()
    until(lambda: worker.took)
    text = node.file.read_bytes()
    node.file.unlink()
    os.mkfifo(node.file)
    node.process.send_signal(signal.SIGHUP)
    with node.file.open("wb") as pipe:  # opens when the other side reads
        node.process.send_signal(signal.SIGTERM)
        time.sleep(0.05)
        pipe.write(text)
    node.until_said('"event": "config"')
    node.until_said("draining")
    first.join()
    client.close()
    assert answers == [b"value for %016x" % 1] and node.process.wait(8) == 0


# ---- kills right after an accept -------------------------------------------------------------------------


def test_a_request_on_a_connection_taken_before_or_in_the_drain_is_answered_or_not_sent_on(house):  # noqa: F811
    worker = house(Worker())
    node = house(
        Node(
            house.folder,
            house(Discovery(endpoint_row("s1", worker.address))).address,
            endpoint_row("s1", worker.address),
        )
    )
    links = [socket.create_connection(("127.0.0.1", node.port)) for _ in range(4)]
    node.process.send_signal(signal.SIGTERM)
    asked, number, began = [], 0, time.monotonic()
    while time.monotonic() < began + 0.35:  # in which connections go on coming
        number += 1
        link = links.pop() if number % 8 == 1 and links else socket.create_connection(("127.0.0.1", node.port))
        link.settimeout(5)
        data = resp_codec.encode_command(
            [b"Q.ASK", b"00000000b4d65521", b"%016x" % number, b"c=look,t=rated,d=1400,units=1,spread=1,first=0"]
        )
        try:
            link.sendall(data[:20])
            time.sleep(0.008)
            link.sendall(data[20:])
        except ConnectionError:
            pass  # it was closed in that moment
        asked.append((b"%016x" % number, link))
    answered = 0
    for number, link in asked:
        try:
            said = link.recv(1000)
        except ConnectionError:
            said = b""
        link.close()
        answered += said == resp_codec.encode_bulk(b"value for " + number)
        assert (
            said == resp_codec.encode_bulk(b"value for " + number)
            or said[:5] == b"-BUSY"
            or not said
            and number not in [each for each, _ in worker.took]
        )
    assert answered >= len(asked) - 4 > 0 and node.process.wait(8) == 0
