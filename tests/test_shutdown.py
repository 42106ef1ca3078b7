"""Shutdown: the lifecycle's transitions in any order, drain times, and processes signalled at particular steps."""

import itertools
import json
import os
import signal
import socket
import subprocess
import sys
import threading
import time

import pytest
from test_node_loopback import ROOT, Discovery, GatewayProcess, Worker, send_request, free_port, managed  # noqa: F401
from test_node_wire import WIRE_SETTINGS, change_document, config_document, endpoint_row
from twisted.internet.testing import MemoryReactorClock

from anisefront.daemon.lifecycle import TRANSITIONS, Command, Lifecycle, Phase, Step
from anisefront.resp_gateway.instance_config import parse_config
from anisefront.resp_gateway.instance import RespGatewayInstance

# ---- every order of steps ---------------------------------------------------------------------------


def violation(table, depth=6):
    """Return the first sequence of steps that violates a rule of the lifecycle, and the rule; None if there is none."""
    listens = (Command.LISTEN, Command.LISTEN_AND_RELOAD)
    for steps in itertools.product(Step, repeat=depth):
        phase, done, hung_up = Phase.STARTING, [], False
        for step in steps:
            if step is Step.DRAINED and not {Command.DRAIN} & set(done):
                continue  # it cannot come before the drain begins
            hung_up |= step is Step.RELOAD_REQUESTED and phase in (Phase.STARTING, Phase.STALE)
            phase, command = table.get((phase, step), (phase, None))
            if command is None:
                if step is Step.READY and phase in (Phase.STARTING, Phase.STALE):
                    return steps, "it never listens"
                if step is Step.TERMINATE and phase in (Phase.STARTING, Phase.STALE, Phase.SERVING):
                    return steps, "SIGTERM is ignored"
                if step is Step.DRAINED and phase is not Phase.ENDED:
                    return steps, "it does not end"
                if step is Step.RELOAD_REQUESTED and phase in (Phase.SERVING, Phase.DRAINING):
                    return steps, "SIGHUP is ignored"
                if step is Step.FAULT and phase is not Phase.ENDED:
                    return steps, "a fault does not end the process"
                continue
            if command in listens and (
                Command.DRAIN in done or Command.STOP in done or any(each in done for each in listens)
            ):
                return steps, "it listens twice, or after it was told to end"
            if command in listens and (command is Command.LISTEN_AND_RELOAD) is not hung_up:
                return steps, "a configuration that changed during the start is not read"
            if command in (Command.DRAIN, Command.RELOAD, Command.END_DRAIN) and not any(
                each in done for each in listens
            ):
                return steps, "a command for a process that does not listen yet"
            if command in (Command.DRAIN, Command.STOP, Command.END_DRAIN) and command in done:
                return steps, "done twice"
            if Command.STOP in done:
                return steps, "a command after the stop"
            if command is Command.STOP and step is Step.TERMINATE and any(each in done for each in listens):
                return steps, "it stops without a drain"
            done.append(command)
    return None


def test_no_order_of_six_steps_violates_a_rule():
    assert violation(TRANSITIONS) is None


@pytest.mark.parametrize("key", list(TRANSITIONS), ids=lambda key: f"{key[0].name}-{key[1].name}")
def test_each_row_taken_out_is_found_out(key):
    remaining = {each: value for each, value in TRANSITIONS.items() if each != key}
    if key == (Phase.DRAINING, Step.TERMINATE):
        assert not any(
            command is Command.END_DRAIN for _, command in remaining.values()
        )  # a second SIGTERM would have no effect
    elif key == (Phase.ENDING_DRAIN, Step.DRAINED):
        assert violation(remaining, 5) is not None
    else:
        assert violation(remaining) is not None


def test_lifecycle_follows_the_transitions():
    lifecycle = Lifecycle()
    assert [
        lifecycle.advance(step)
        for step in (
            Step.RELOAD_REQUESTED,
            Step.READY,
            Step.TERMINATE,
            Step.READY,
            Step.RELOAD_REQUESTED,
            Step.DRAINED,
            Step.TERMINATE,
        )
    ] == [None, Command.LISTEN_AND_RELOAD, Command.DRAIN, None, Command.RELOAD, Command.STOP, None]


# ---- drain times ---------------------------------------------------------------------------------------


def settings(*deadlines):
    kind = WIRE_SETTINGS["classes"][0]
    return WIRE_SETTINGS | {
        "balancers": 1,
        "myNumber": 0,
        "classes": [
            kind | {"name": f"c{n}", "aimMs": deadline / 2, "deadlineMs": deadline}
            for n, deadline in enumerate(deadlines)
        ],
    }


def config(*deadlines):
    return parse_config(
        config_document(
            listen=f"127.0.0.1:{free_port()}",
            discovery="127.0.0.1:1",
            settings=settings(*deadlines),
            peers=[],
            peer_listen=None,
            known=None,
        ),
        {},
    )


class Port:
    """Listening port that records its calls."""

    def __init__(self):
        self.calls = []

    def doRead(self):
        self.calls.append("accepted pending connections")

    def stopListening(self):
        self.calls.append("closed")


def draining(*deadlines, reloaded=()):
    reactor = MemoryReactorClock()
    instance = RespGatewayInstance(config(*deadlines), reactor, lambda: reactor.seconds() * 1000)
    instance._port = Port()
    if reloaded:
        instance.reload(lambda: config(*reloaded))
    ended = []
    instance.drain().addCallback(lambda _: ended.append(reactor.seconds() * 1000))
    return reactor, instance, ended


@pytest.mark.parametrize(
    ("deadlines", "kill_ms"), [((5000,), 3700), ((300, 900), 1600), ((100,), 800), ((2000,), 2700)]
)
def test_drain_ends_before_the_kill_time_that_follows_from_the_settings(deadlines, kill_ms):
    reactor, instance, ended = draining(*deadlines)
    instance.request_table.open_requests = 1  # a request that never ends
    assert instance.frontend.deadline_ms(instance.clock(), 1e6) <= kill_ms - 250
    for _ in range(400):
        reactor.advance(0.01)
    assert ended and ended[0] <= kill_ms - 100 and instance._port is None


def test_kill_time_follows_reloaded_settings():
    _, instance, _ = draining(5000, reloaded=(5000, 5000))
    assert instance.frontend.latest_reply_ms == 3400
    _, instance, _ = draining(900, reloaded=(900, 2000))
    assert instance.frontend.latest_reply_ms == 2400


def test_pending_connections_are_accepted_before_the_listener_closes():
    reactor, instance, _ = draining(5000)
    port = instance._port
    for _ in range(60):
        reactor.advance(0.01)
    assert port.calls == ["accepted pending connections", "closed"]


# ---- processes ----------------------------------------------------------------------------------------

PRELUDE = """
import os, signal, sys
sys.argv = ["anisefront", "node"]
def at(module, *numbers):  # sends the signals when this module is about to be imported
    class Finder:
        def find_spec(self, name, path=None, target=None):
            if name == module and numbers:
                sys.meta_path.remove(self)
                for number in numbers:
                    os.kill(os.getpid(), number)
    sys.meta_path.insert(0, Finder())
def before(cls, name, *numbers):  # sends the signals before this method is called
    inner = getattr(cls, name)
    def outer(self, *args, **more):
        for number in numbers:
            os.kill(os.getpid(), number)
        return inner(self, *args, **more)
    setattr(cls, name, outer)
"""


class Staged(GatewayProcess):
    """Gateway process that receives signals at the step that `prelude` defines."""

    prelude = ""

    def start(self):
        code = PRELUDE + self.prelude + "\nfrom anisefront.cli.main import main\nmain()\n"
        return subprocess.Popen(
            [sys.executable, "-c", code],
            cwd=ROOT,
            stdout=self.log,
            stderr=self.log,
            env={**os.environ, "PROXY_CONFIG": str(self.file)},
        )


def staged(folder, prelude, discovery="127.0.0.1:1", until_ready=False):
    process_class = type("StagedWithPrelude", (Staged,), {"prelude": prelude})
    if until_ready:
        return process_class(folder, discovery)
    gateway = process_class.__new__(process_class)
    gateway.port, gateway.file = 0, folder / "config.json"
    gateway.config = config_document(
        listen=f"127.0.0.1:{free_port()}",
        discovery=discovery,
        settings=settings(5000),
        peers=[],
        peer_listen=None,
        known=None,
    )
    gateway.write_config()
    gateway.log = (folder / "log").open("w+")
    gateway.process = gateway.start()
    return gateway


@pytest.mark.parametrize(
    "prelude",
    [
        "at('click', signal.SIGTERM)",
        "at('twisted.internet.reactor', signal.SIGTERM)",
        "at('click', signal.SIGHUP, signal.SIGTERM)",
        "from anisefront.daemon import signals\ninner = signals.take_pending\n"
        "def take_pending():\n    found = inner()\n"
        "    os.kill(os.getpid(), signal.SIGTERM)\n    return found\nsignals.take_pending = take_pending",
        "from anisefront.resp_gateway.instance import RespGatewayInstance\n"
        "before(RespGatewayInstance, 'prepare', signal.SIGTERM)",
        "from anisefront.resp_gateway.instance import RespGatewayInstance\n"
        "before(RespGatewayInstance, '__init__', signal.SIGTERM)",
    ],
)
def test_sigterm_during_the_start_ends_the_process_before_it_listens(tmp_path, prelude):
    gateway = staged(tmp_path, prelude)
    try:
        assert gateway.process.wait(20) == 0
        assert '"ready"' not in gateway.log_text() and '"started"' not in gateway.log_text()
    finally:
        gateway.stop()


@pytest.mark.parametrize(
    "prelude",
    [
        "at('click', signal.SIGHUP)",
        "at('twisted.internet.reactor', signal.SIGHUP)",
        "from anisefront.resp_gateway.instance import RespGatewayInstance\n"
        "before(RespGatewayInstance, 'prepare', signal.SIGHUP)",
    ],
)
def test_sighup_during_the_start_reloads_the_configuration(tmp_path, prelude):
    gateway = staged(tmp_path, prelude, until_ready=True)
    try:
        gateway.wait_for_log('"event": "config"')
        assert gateway.client().ping()
    finally:
        gateway.stop()


def test_two_sigterms_in_one_iteration_count_as_one(managed):  # noqa: F811
    worker = managed(Worker(work_s=0.5))
    prelude = (
        "from anisefront.resp_gateway.client_connection import ClientConnection\n"
        "before(ClientConnection, '_handle_request', signal.SIGTERM, signal.SIGTERM)"
    )
    rows = [endpoint_row("s1", worker.address)]
    process_class = type("StagedWithPrelude", (Staged,), {"prelude": prelude})
    gateway = managed(process_class(managed.folder, managed(Discovery(*rows)).address, *rows))
    assert send_request(gateway.client(), 1, timeout_ms=4000) == b"value for %016x" % 1  # it is served during the drain
    assert gateway.process.wait(5) == 0 and "stopped_at_once" not in gateway.log_text()


def test_second_sigterm_fails_open_requests_and_ends_the_process(managed):  # noqa: F811
    worker = managed(Worker("silent"))
    rows = [endpoint_row("s1", worker.address)]
    gateway = managed(GatewayProcess(managed.folder, managed(Discovery(*rows)).address, *rows))
    connection = socket.create_connection(("127.0.0.1", gateway.port))
    connection.settimeout(5)
    connection.sendall(
        b"*4\r\n$5\r\nQ.ASK\r\n$16\r\n00000000b4d65521\r\n$16\r\n0000000000000001\r\n"
        b"$47\r\nc=look,t=rated,d=9000,units=1,spread=1,first=0\r\n".replace(b"$47", b"$46")
    )
    time.sleep(0.3)
    gateway.process.send_signal(signal.SIGTERM)
    gateway.wait_for_log("draining")
    gateway.process.send_signal(signal.SIGTERM)
    received = b""
    while data := connection.recv(1000):
        received += data
    assert received.startswith(b"-") and gateway.process.wait(5) == 1


def test_sighup_during_the_drain_applies_the_new_discovery_address(managed):  # noqa: F811
    first_worker, second_worker = managed(Worker(work_s=1.0)), managed(Worker())
    old, new = (
        managed(Discovery(endpoint_row("s1", first_worker.address))),
        managed(Discovery(endpoint_row("s2", second_worker.address))),
    )
    gateway = managed(GatewayProcess(managed.folder, old.address, endpoint_row("s1", first_worker.address)))
    replies = []
    first = threading.Thread(target=lambda: replies.append(send_request(gateway.client(), 1, timeout_ms=4000)))
    first.start()
    time.sleep(0.2)
    gateway.process.send_signal(signal.SIGTERM)
    gateway.wait_for_log("draining")
    gateway.write_config(discovery=new.address)
    gateway.process.send_signal(signal.SIGHUP)
    gateway.wait_for_log(f'"discovery": "{new.address}"')
    time.sleep(0.1)
    assert send_request(gateway.client(), 2) == b"value for %016x" % 2 and b"%016x" % 2 in [
        name for name, _ in second_worker.received
    ]
    first.join()
    assert replies == [b"value for %016x" % 1] and gateway.process.wait(5) == 0


def test_with_short_deadlines_the_process_ends_before_the_kill_time(managed):  # noqa: F811
    """With deadlines of 0.6 s SIGKILL may come 1.3 s after SIGTERM; requests arrive one after another until then."""
    worker = managed(Worker("silent"))
    folder = managed.folder
    (folder / "config.json").write_text("")
    gateway = GatewayProcess.__new__(GatewayProcess)
    gateway.port, gateway.file = free_port(), folder / "config.json"
    short = WIRE_SETTINGS | {
        "balancers": 1,
        "myNumber": 0,
        "classes": [each | {"aimMs": 300, "deadlineMs": 600} for each in WIRE_SETTINGS["classes"]],
    }
    gateway.config = config_document(
        listen=f"127.0.0.1:{gateway.port}",
        discovery=managed(Discovery(endpoint_row("s1", worker.address))).address,
        settings=short,
        peers=[],
        peer_listen=None,
        known=change_document(41, endpoint_row("s1", worker.address), snapshot=True),
    )
    gateway.write_config()
    gateway.log = (folder / "log").open("w+")
    gateway.process = gateway.start()
    managed(gateway)
    gateway.wait_for_log('"ready"')
    connection = socket.create_connection(("127.0.0.1", gateway.port))
    connection.settimeout(5)
    terminated_at = None
    asked = answered = 0
    try:
        while asked < 100:
            if asked == 2:
                gateway.process.send_signal(signal.SIGTERM)
                terminated_at = time.monotonic()
            asked += 1
            terms = b"c=look,t=rated,d=600,units=1,spread=1,first=0"
            connection.sendall(
                b"*4\r\n$5\r\nQ.ASK\r\n$16\r\n00000000b4d65521\r\n$16\r\n%016x\r\n$%d\r\n%b\r\n"
                % (asked, len(terms), terms)
            )
            reply = connection.recv(1000)
            if not reply:
                break
            answered += 1
    except ConnectionError:
        pass
    assert terminated_at is not None and asked - answered <= 1  # the last request may cross the close of the connection
    gateway.process.wait(5)
    # Guards against an end 3.5 s after SIGTERM. The process needs 1.2 s by its own clock, as the drain time test checks
    # exactly; the rest allows for a loaded machine.
    assert time.monotonic() - terminated_at <= 2.2


def test_invalid_configuration_ends_the_start_with_one_line(tmp_path):
    (tmp_path / "config.json").write_text(
        json.dumps({"listen": "127.0.0.1:1", "discovery": "127.0.0.1:1", "settings": {}})
    )
    done = subprocess.run(
        [sys.executable, "-m", "anisefront", "node"],
        cwd=ROOT,
        capture_output=True,
        text=True,
        timeout=20,
        env={**os.environ, "PROXY_CONFIG": str(tmp_path / "config.json")},
    )
    assert done.returncode and len(done.stderr.strip().splitlines()) == 1 and "settings: info." in done.stderr
