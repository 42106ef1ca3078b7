"""Requests beside paused input, floods and closes behind unread bytes of others; mostly on the real clock."""

import asyncio
import fcntl
import json
import socket
import subprocess
import sys
import termios
import threading
import time

import pytest
from test_node_front import GatewayHarness, command_with_id
from test_node_loopback import ROOT, Discovery, GatewayProcess, Worker, managed  # noqa: F401
from test_path import Running
from test_node_wire import ASK, DO, WIRE_SETTINGS, endpoint_row

from anisefront.frontends.input_scheduler import InputScheduler
from anisefront.resp_gateway import input_pause, resp_codec
from anisefront.testbed.usual_load import UsualLoad

ALLOWED_OVER_S = 0.55  # after its deadline a request's reply still counts; 50 ms of it are for the sockets
ALONE = [*ASK[:3], b"c=look,t=rated,d=480,units=1,spread=1,first=0"]  # a request to the only instance of its tier
INVALID = [*ASK[:3], ASK[3].replace(b"units=2", b"units=9")]


def start_gateway(managed, monkeypatch, sockets):  # noqa: F811
    """Start a gateway process with one worker and a wide quota."""
    monkeypatch.setitem(WIRE_SETTINGS, "packages", [{"name": "rated", "perSecond": 5000.0, "storeSize": 5000.0}])
    worker = managed(Worker())
    row = endpoint_row("s1", worker.address)
    discovery = managed(Discovery(row))
    made = managed(GatewayProcess(managed.folder, discovery.address, row, sockets=sockets))
    made.worker = worker
    return made


@pytest.fixture
def gateway(managed, monkeypatch):  # noqa: F811
    """A gateway process that can hold the connections of hundreds of clients."""
    return start_gateway(managed, monkeypatch, sockets=1024)


@pytest.fixture
def small_gateway(managed, monkeypatch):  # noqa: F811
    """A gateway process with half as many descriptors."""
    return start_gateway(managed, monkeypatch, sockets=512)


class Connection:
    """A client's connection that reads replies one by one."""

    def __init__(self, port):
        self.socket = socket.create_connection(("127.0.0.1", port), timeout=20)
        self.file = self.socket.makefile("rb")

    def ask(self, parts):
        """Send a command; return its reply and the seconds until it had come."""
        started_s = time.monotonic()
        self.socket.sendall(resp_codec.encode_command(parts))
        reply = self.read_reply()
        return reply, time.monotonic() - started_s

    def read_reply(self):
        """Return a value, or an error line."""
        line = self.file.readline()
        return self.file.readline() if line.startswith(b"$") else line


def test_requests_behind_invalid_commands_of_others_on_one_connection_are_served_in_time(gateway):
    """Guards against a pause that each invalid command makes longer, for as long as the connection lasts."""
    connection = Connection(gateway.port)
    for number in range(1, 8):
        assert connection.ask(INVALID)[0].startswith(b"-ERR units")
        reply, after_s = connection.ask(command_with_id(number, ALONE))
        assert reply.startswith(b"value for") and after_s < 0.48 + ALLOWED_OVER_S


def test_the_pause_after_an_invalid_command_grows_only_without_valid_requests():
    """Guards against a pause that is never unlearned."""
    harness = GatewayHarness()
    client = harness.client()
    for number in range(1, 6):
        harness.send(client, INVALID)
        harness.send(client, command_with_id(number))
        harness.reactor.advance(input_pause.PAUSE_S + 0.01)
        assert len(harness.controller.arrivals) == number


def test_any_number_of_invalid_commands_in_a_row_is_answered():
    """Guards against a doubling without end: it overflowed at the 1,025th."""
    harness = GatewayHarness()
    client = harness.client()
    for _ in range(1100):
        harness.send(client, INVALID)
        harness.reactor.advance(input_pause.MAX_PAUSE_S + 0.01)
    assert client.take().count(b"-ERR units") == 1100


# ---- time that a request waits in the connection's input --------------------------------------------


def test_a_request_that_waits_behind_a_pause_has_the_time_that_its_client_waits():
    """Guards against a deadline that counts from when a request is parsed."""
    harness = GatewayHarness()
    client = harness.client()
    harness.send(client, INVALID)
    arrived_ms = harness.frontend.now_ms()
    harness.send(client, command_with_id(1))
    harness.reactor.advance(input_pause.PAUSE_S / 2)
    harness.send(client, command_with_id(2))
    harness.reactor.advance(input_pause.PAUSE_S / 2 + 0.01)
    waits_ms = [each.deadline_at_ms - arrived_ms for each in harness.controller.arrivals]
    assert waits_ms == pytest.approx([480 * 0.9, 480 * 0.9 + 1000 * input_pause.PAUSE_S / 2])


@pytest.mark.parametrize("pause", ["pauseProducing", "pause_reading", "begin_waiting"])
def test_a_request_whose_time_is_over_when_it_is_read_is_rejected_and_not_submitted(pause):
    """Guards against requests that are executed after their client's time, since nobody read them before."""
    harness = GatewayHarness()
    client = harness.client()
    getattr(client.protocol, pause)()
    harness.reactor.advance(0.5)
    client.handle.recv = lambda size, flags: b"*"  # it has arrived meanwhile
    end = {"pauseProducing": "resumeProducing", "pause_reading": "resume_reading", "begin_waiting": "end_waiting"}
    getattr(client.protocol, end[pause])()
    harness.send(client, command_with_id(1))
    assert client.take() == b"-BUSY 250\r\n" and not harness.controller.arrivals
    harness.send(client, command_with_id(2))
    assert len(harness.controller.arrivals) == 1 and harness.frontend.counts["expired"] == 1


def test_a_pause_in_which_nothing_arrived_takes_no_time_from_a_later_request():
    harness = GatewayHarness()
    client = harness.client()
    client.protocol.pause_reading()
    harness.reactor.advance(0.5)
    client.protocol.resume_reading()
    harness.send(client, command_with_id(1))
    assert harness.controller.arrivals[0].deadline_at_ms == harness.frontend.now_ms() + 480 * 0.9


def test_a_long_batch_of_requests_with_little_time_is_answered_in_time(gateway):
    """Guards against requests at the end of a batch that are executed and answered after their time."""
    connection = Connection(gateway.port)
    started_s = time.monotonic()
    short = [*ALONE[:3], ALONE[3].replace(b"d=480", b"d=150")]
    data = b"".join(resp_codec.encode_command(command_with_id(number, short)) for number in range(1, 301))
    connection.socket.sendall(resp_codec.encode_command(INVALID) * 5 + data)
    replies = [connection.read_reply() for _ in range(305)]
    assert time.monotonic() - started_s < 0.15 + ALLOWED_OVER_S
    assert all(reply.startswith((b"value for", b"-BUSY", b"-ERR units", b"-ERR failed")) for reply in replies)


# ---- floods --------------------------------------------------------------------------------------

FLOOD_S = 4
FLOODS = [("invalid-reconnect", 300), ("invalid", 300), ("valid", 300), ("ping", 30_000)]


@pytest.mark.parametrize(("kind", "commands"), FLOODS)
def test_requests_of_others_are_answered_in_time_beside_a_flood(gateway, kind, commands):
    """Guards against iterations of the event loop that parse, for seconds, all that hundreds of clients have sent."""
    arguments = [str(gateway.port), kind, "250", str(commands), str(FLOOD_S)]
    flood = subprocess.Popen([sys.executable, "-m", "anisefront.testbed.flood", *arguments], cwd=ROOT, stdout=-3)
    waits_s = []

    def ask(first):
        connection = Connection(gateway.port)
        for number in range(first, first + 1000):
            if flood.poll() is not None:
                return
            parts = command_with_id(number, [*ALONE[:3], ALONE[3].replace(b"d=480", b"d=1000")])
            waits_s.append(connection.ask(parts)[1])
            time.sleep(0.1)

    threads = [threading.Thread(target=ask, args=(1000 * number,)) for number in range(1, 6)]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()
    assert flood.wait() == 0 and len(waits_s) > 5 * FLOOD_S and max(waits_s) < 1.0 + ALLOWED_OVER_S


SHARE = (0.2, 100)  # of a core, in each period of so many milliseconds: on the platform instances have a part of a core
USUAL_RATE = 80  # requests a second
TIMES_MS = [250, 350, 600, 900]
STREAMS = [("ping", 6), ("nameless", 8)]
STREAM_S = 8


def start_in_background(module, *arguments):
    """Start a module of the test bed in a process of its own."""
    command = [sys.executable, "-m", f"anisefront.testbed.{module}", *map(str, arguments)]
    return subprocess.Popen(command, cwd=ROOT, stdout=subprocess.DEVNULL)


@pytest.mark.parametrize(("kind", "clients"), STREAMS)
def test_requests_are_answered_in_time_beside_a_few_clients_that_send_without_a_break(small_gateway, kind, clients):
    """Guards against late answers beside clients of PINGs or of unsound commands, with a part of a core."""
    limiter = start_in_background("processor_share", small_gateway.process.pid, *SHARE)
    flood = start_in_background("stream_flood", small_gateway.port, kind, clients, STREAM_S)
    load = UsualLoad(small_gateway.port, TIMES_MS)
    asyncio.run(load.run(USUAL_RATE, STREAM_S))
    limiter.terminate()
    limiter.wait()
    over_ms = [answer.over_ms for answer in load.answers]
    assert flood.wait() == 0 and len(over_ms) > USUAL_RATE and max(over_ms) < ALLOWED_OVER_S * 1000


@pytest.mark.parametrize("limits", [{}, {"max_incoming_bytes": 1000}], ids=["its own cap", "the cap of all"])
def test_input_above_a_cap_is_rejected_in_turns(monkeypatch, limits):
    """Guards against iterations that parse all that a few clients have sent, as soon as it passes a cap."""
    harness = GatewayHarness(**limits)
    client = harness.client()
    harness.send(client, INVALID)
    assert client.take().startswith(b"-ERR units")
    with monkeypatch.context() as patch:
        patch.setattr(InputScheduler, "_has_time", lambda scheduler: False)
        client.protocol.dataReceived(b"".join(resp_codec.encode_command(command_with_id(n)) for n in range(1, 601)))
        assert client.take() == b"" and client.paused
    harness.reactor.advance(0)
    assert client.take() == b"-BUSY 250\r\n" * 600 and not harness.controller.arrivals


SERVE_SETTINGS = """language 2
gatekeeper 0 of 1 zone here
listen grpc 127.0.0.1:0
listen jsonrpc 127.0.0.1:0
pool main embedded 2
class look aim 500ms deadline 1s repeat safe
quota wide rate 1000000/s burst 1000000
plan wide quota wide
customers header x-api-key plan wide
route GET /list class look pool main
"""
CALL = {"method": "GET", "path": "/list", "headers": {"x-api-key": "k"}}


def test_json_rpc_calls_of_others_are_answered_in_time_beside_a_flood(tmp_path):
    """Guards against the same in `serve`: some lines of each connection add up to seconds."""
    file = tmp_path / "gatekeeper.conf"
    file.write_text(SERVE_SETTINGS)
    running = Running(file)
    try:
        port = running.where["jsonrpc"].split(":")[1]
        arguments = [port, "jsonrpc", "500", "2000", str(FLOOD_S)]
        flood = subprocess.Popen([sys.executable, "-m", "anisefront.testbed.flood", *arguments], cwd=ROOT, stdout=-3)
        connection = Connection(int(port))
        waits_s = []
        while flood.poll() is None:
            started_s = time.monotonic()
            line = {"jsonrpc": "2.0", "id": 1, "method": "call", "params": CALL}
            connection.socket.sendall(json.dumps(line).encode() + b"\n")
            assert json.loads(connection.file.readline())["id"] == 1
            waits_s.append(time.monotonic() - started_s)
            time.sleep(0.1)
    finally:
        running.stop()
    assert flood.wait() == 0 and len(waits_s) > FLOOD_S and max(waits_s) < 1.0 + ALLOWED_OVER_S


# ---- closes --------------------------------------------------------------------------------------

CLIENTS, COMMANDS, ROUNDS = 60, 100, 3
LEFT_S = 0.15  # after its client's close no attempt begins; 50 ms of it are for the sockets


class TimedList(list):
    """List of commands received, each with its time."""

    def append(self, item):
        super().append((item[0], time.monotonic()))


def unacknowledged(sock):
    """Return how many bytes the other side's system has not acknowledged yet."""
    return int.from_bytes(fcntl.ioctl(sock, termios.TIOCOUTQ, bytes(4)), sys.byteorder)


def send_much_and_go(port, first):
    """Send commands on many connections, and close each once all its bytes have arrived; return the times by id."""
    closed_s, sent = {}, {}
    for client in range(CLIENTS):
        numbers = range(first + client * COMMANDS, first + (client + 1) * COMMANDS)
        commands = [command_with_id(number, [*DO[:3], b"", b"x" * 400]) for number in numbers]
        for number, parts in zip(numbers, commands, strict=True):
            parts[3] = b"c=book,t=rated,d=2500,k=%x,units=1,spread=1,first=0" % number
        sock = socket.create_connection(("127.0.0.1", port))
        sock.sendall(b"".join(map(resp_codec.encode_command, commands)))
        sent[sock] = [parts[2] for parts in commands]
    while sent:
        for sock in [sock for sock in sent if not unacknowledged(sock)]:
            closed_s |= dict.fromkeys(sent.pop(sock), time.monotonic())
            sock.close()
    return closed_s


def test_no_attempt_begins_for_clients_that_send_much_at_once_and_go(gateway):
    """Guards against attempts for requests whose client's close is behind commands that are not read yet."""
    gateway.worker.received = TimedList()
    closed_s = {}
    for number in range(ROUNDS):
        closed_s |= send_much_and_go(gateway.port, 1 + number * CLIENTS * COMMANDS)
        time.sleep(1.5)
    began_s = [moment - closed_s[request_id] for request_id, moment in gateway.worker.received]
    assert began_s and max(began_s) < LEFT_S
