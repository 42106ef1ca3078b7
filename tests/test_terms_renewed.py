"""Platform requirements on accepts, disconnects, discovery, cold workers and split commands, one section each."""

import heapq
import json
import math
import os
import random
import socket

import pytest
from socket_harness import SocketHarness, reset
from test_node_front import GatewayHarness, Transport, command_with_id
from test_node_wire import ASK, DO, WIRE_SETTINGS, change_document, config_document, endpoint_row
from test_rules import settings
from test_watch import BOUND_S, HEAD
from twisted.internet import error
from twisted.internet.testing import MemoryReactorClock
from twisted.python.failure import Failure

from anisefront.resp_gateway import connection_limits
from anisefront.resp_gateway import resp_codec
from anisefront.resp_gateway import discovery_watch
from anisefront.resp_gateway.instance_config import parse_config
from anisefront.resp_gateway.endpoint_changes import EndpointDirectory, parse_change
from anisefront.resp_gateway.instance import RespGatewayInstance
from anisefront.policy.actions import Fail, Reject, SetTimer, StartAttempt
from anisefront.policy.controller import Controller
from anisefront.policy.events import (
    Arrival,
    AttemptEnded,
    AttemptResult,
    Endpoint,
    EndpointList,
    EndpointStatus,
    TimerFired,
)
from anisefront.policy.slow_start import SlowStart


@pytest.fixture
def stage():
    made = SocketHarness()
    yield made
    made.close()


# ---- connections accepted before the end --------------------------------------------------------------


def test_all_pending_connections_are_accepted_when_the_listener_closes(stage):
    """More connections are pending than one accept loop takes: each one that the kernel accepted is answered."""
    stage.client([b"PING"])  # one connection was accepted in the last iteration
    links = [stage._track(socket.create_connection(("127.0.0.1", stage.port.getHost().port))) for _ in range(30)]
    for link in links:
        link.sendall(resp_codec.encode_command([b"PING"]))
    instance = RespGatewayInstance.__new__(RespGatewayInstance)
    instance._port = stage.port
    instance._stop_listening()
    stage.turns()
    assert [link.recv(100) for link in links] == [b"+PONG\r\n"] * 30


# ---- descriptors held by clients ----------------------------------------------------------------------


def test_connections_accepted_in_one_iteration_stay_within_the_descriptor_caps():
    """An aborted connection holds its descriptor until the next iteration, and the watch may need one in this one."""
    stage = SocketHarness(max_connections=10, max_closing=4)
    try:

        def open_descriptors():
            return len(os.listdir("/proc/self/fd"))

        stage.client([b"PING"])
        port = stage.port.getHost().port
        links = [stage._track(socket.create_connection(("127.0.0.1", port))) for _ in range(45)]
        stage.port.numberAccepts, before, max_open = 200, open_descriptors() - 1, 0
        for _ in range(6):
            stage.reactor.iterate(0)
            max_open = max(max_open, open_descriptors() - before)
        assert max_open <= 10 + 4 + connection_limits.MAX_ABORTED
        new = stage.client([b"PING"])
        assert new.recv(100) == b"+PONG\r\n" and len(links) == 45
    finally:
        stage.close()


# ---- disconnected clients -----------------------------------------------------------------------------


@pytest.mark.parametrize("leave", [lambda link: link.close(), reset, lambda link: link.shutdown(1)])
@pytest.mark.parametrize("first", [True, False])
def test_no_attempt_starts_for_a_client_whose_close_is_unread(stage, leave, first):
    """The client disconnects while the process is stalled, and the event loop has read no socket since."""
    _, idle_connection = stage.served()
    stage.wait(0.1)
    client = stage.client(command_with_id(2))
    number = stage.controller.arrivals[-1].id
    if not first:
        stage.perform(StartAttempt(number, "s2", 400.0))
        worker = stage.accept("s2")
        assert worker.recv(1000)
        worker.sendall(b"-BUSY\r\n")
        stage.turns()
    leave(client)
    stage.time += 0.11
    stage.decide(StartAttempt(number, "s1", 400.0))
    stage.turns()
    assert idle_connection.recv(1000) == b""  # taken for the attempt and closed unused
    assert not stage.requests.open_requests and not stage.request_table.requests


# ---- a change is known 6 s after discovery had it and was reachable -----------------------------------

STEP_S, EMPTY = 0.05, b"1\r\n\n\r\n"


def chunk(text):
    return b"%x\r\n%b\r\n" % (len(text), text)


class _AgentWatch:
    """One watch as the agent sees it.

    Attributes:
        fate: What happens to it.
        at: When that happens.
        sent_version: The last version that was sent.
    """

    def __init__(self, agent, protocol):
        self.agent, self.link, self.opened = agent, Transport(), agent.now
        self.link.protocol = protocol
        protocol.makeConnection(self.link)
        self.sent_version = int(self.link.take().split(b"from=")[1].split(b" ")[0])
        self.fate = "healthy" if agent.reachable else agent.rng.choice(agent.FATES)
        # Its fault begins by `healthy_s` at the latest: a change missed after that would have a bound of its own.
        self.at = min(agent.healthy_s, agent.now + agent.rng.choice((0.0, 0.1, 0.7, 2.1, 4.0)))
        self.lasts = agent.rng.choice((3.2, 5.0))
        self.last, self.head_sent, self.done = agent.now, False, False

    def send(self, data, head=HEAD):
        if not self.link.aborted:
            self.link.protocol.dataReceived((b"" if self.head_sent else head) + data)
            self.head_sent, self.last = True, self.agent.now

    def lost(self, reason):
        if not self.link.aborted:
            self.link.aborted = True
            self.link.protocol.connectionLost(Failure(reason))

    def step(self):
        if self.link.aborted:
            return
        if self.fate == "healthy" or self.agent.now < self.at:
            self.send_changes()
        elif self.fate == "partial lines":
            self.send(b"1\r\n" + (b" " if self.done else b"{") + b"\r\n")
            self.done = True
        elif self.fate == "heartbeats only":  # silent for a while: it misses changes, and then sends heartbeats only
            if self.agent.now >= self.at + self.lasts and self.agent.now - self.last >= 2.0:
                self.send(EMPTY)
        elif self.fate == "resumes":  # silent until the agent is healthy, then it sends all changes
            if self.agent.reachable:
                self.send_changes()
        elif not self.done:
            self.done = True
            if self.fate == "truncated":
                self.send(chunk(self.agent.line(self.sent_version)[:20]))
            elif self.fate == "garbage":
                self.send(chunk(b"}\n"))
            elif self.fate == "ends":
                self.send(b"0\r\n\r\n")
            elif self.fate == "refuses":
                self.send(b"", b"HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n")
            elif self.fate == "closes":
                self.lost(error.ConnectionDone())
            elif self.fate == "resets":
                self.lost(error.ConnectionLost())

    def send_changes(self):
        if self.sent_version < self.agent.index:
            self.send(chunk(self.agent.line(self.sent_version)))
            self.sent_version = self.agent.index
        elif self.agent.now - self.last >= 2.0:
            self.send(EMPTY)


class Agent:
    """Discovery agent whose watches get random faults until `healthy_s`, and none afterwards."""

    FATES = (
        "healthy",
        "silent",
        "silent",
        "partial lines",
        "heartbeats only",
        "resumes",
        "truncated",
        "garbage",
        "ends",
        "refuses",
        "closes",
        "resets",
    )

    def __init__(self, seed):
        self.rng, self.reactor, self.directory = random.Random(seed), MemoryReactorClock(), EndpointDirectory()
        self.healthy_s, self.index, self.watches, self.at = self.rng.uniform(0, 9), 50, [], 0
        self.watch = discovery_watch.DiscoveryWatch(
            self.reactor,
            ("127.0.0.1", 8500),
            lambda: self.directory.version,
            self.directory.apply,
            lambda reason: None,
            self.directory.reset_version,
        )

    @property
    def now(self):
        return self.reactor.seconds()

    @property
    def reachable(self):
        return self.now >= self.healthy_s

    def line(self, known):
        """Return a complete list at random, otherwise the changes after a version."""
        complete = known < 50 or self.rng.random() < 0.3
        rows = [endpoint_row(f"s{n}", f"127.0.0.1:{n}") for n in range(50 if complete else known + 1, self.index + 1)]
        return json.dumps(change_document(self.index, *rows, snapshot=complete)).encode() + b"\n"

    def accept_connections(self):
        while self.at < len(self.reactor.tcpClients):
            factory, timeout = self.reactor.tcpClients[self.at][2:4]
            self.at += 1
            how = "up" if self.reachable else self.rng.choice(("up", "up", "refused", "never", "late"))
            if how == "refused":
                self.reactor.callLater(0, factory.clientConnectionFailed, None, Failure(error.ConnectionRefusedError()))
            elif how == "never":
                self.reactor.callLater(timeout, factory.clientConnectionFailed, None, Failure(error.TimeoutError()))
            else:
                self.reactor.callLater(0.0 if how == "up" else timeout * 0.9, self.up, factory)

    def up(self, factory):
        protocol = factory.buildProtocol(None)
        if protocol is not None:
            self.watches.append(_AgentWatch(self, protocol))

    def run(self):
        """Return when, after the bound, the known version first differs from the agent's; None if it never does."""
        self.watch.start()
        while self.now < self.healthy_s + BOUND_S + 6:
            self.accept_connections()
            self.reactor.advance(STEP_S)
            if self.rng.random() < 0.02:
                self.index += 1
            for watch in self.watches:
                watch.step()
            if self.now > self.healthy_s + BOUND_S and self.directory.version != self.index:
                return round(self.now - self.healthy_s, 2)
        return None


def test_no_sequence_of_watch_faults_delays_a_change_beyond_the_bound():
    assert {seed: late for seed in range(250) if (late := Agent(seed).run()) is not None} == {}


# ---- cold workers under the load of all instances -----------------------------------------------------


def allowance_excess(seed, instances, warm, cold, rate_per_s, burst, **more):
    """Return by how much attempts at a cold worker exceed its allowance, relative to the random variation.

    Many controllers send to `warm` workers with a capacity of `rate_per_s` each and to `cold` new ones, and a burst
    begins just after these start. Attempts are counted in the settings' window; the random variation of an allowance
    of n is 2 x root of n + 2. Above 1 the worker is overloaded.
    """
    rng, policy = random.Random(seed), settings(gateways=instances, peer_messages_enabled=False, **more)
    controllers = [
        Controller(settings(gateways=instances, number=n, peer_messages_enabled=False, **more), rng.randrange(1 << 30))
        for n in range(instances)
    ]
    tick, now, start_ms, serial, sent = 10.0, 0.0, 52_000.0, 0, {f"c{n}": [] for n in range(cold)}
    endpoints = [Endpoint(f"w{n}", "z0", 0, EndpointStatus.READY) for n in range(warm)]
    scheduled = []  # events of each controller by time: ends of attempts and timers
    for n in range(instances):
        at_ms = start_ms + rng.uniform(0, 100)
        heapq.heappush(scheduled, (50_000.0, n, 0, EndpointList(tuple(endpoints))))
        heapq.heappush(
            scheduled,
            (
                at_ms,
                n,
                1,
                EndpointList(
                    tuple(Endpoint(name, "z0", 0, EndpointStatus.READY, 1.0, start_ms) for name in sent), complete=False
                ),
            ),
        )
    for now in (50_000.0 + tick * step for step in range(int((start_ms - 50_000.0 + policy.warm_up_ms / 2) / tick))):
        events = {n: [] for n in range(instances)}
        while scheduled and scheduled[0][0] <= now:
            _, n, _, event = heapq.heappop(scheduled)
            events[n].append(event)
        arrivals_due = rate_per_s * warm * tick / 1000 * (burst if now >= start_ms + 200 else 1.0)
        for _ in range(int(arrivals_due) + (rng.random() < arrivals_due % 1)):
            serial += 1
            n = rng.randrange(instances)
            events[n].append(Arrival(serial, f"f{rng.randrange(5000)}", "look", "open", now + 1500, 1, n, 1))
        for n, received in events.items():
            for action in controllers[n].handle(now, received) if received else ():
                serial += 1
                if isinstance(action, StartAttempt):
                    sent.get(action.endpoint, []).append(now)
                    end = AttemptEnded(action.id, 0, action.endpoint, 100.0, AttemptResult.OK, True)
                    heapq.heappush(scheduled, (now + rng.expovariate(1 / 100), n, serial, end))
                elif isinstance(action, SetTimer):
                    heapq.heappush(scheduled, (now + action.delay_ms, n, serial, TimerFired(action.name)))
    assert all(sent.values())
    worst = -math.inf
    for calls in sent.values():
        for at in calls:
            share = (
                policy.slow_start_initial_factor
                + (1 - policy.slow_start_initial_factor) * (at - start_ms) / policy.warm_up_ms
            )
            allowed = policy.overload_multiple * share * rate_per_s * policy.overload_window_ms / 1000
            count = sum(at - policy.overload_window_ms < each <= at for each in calls)
            worst = max(worst, (count - allowed) / (2 * math.sqrt(allowed) + 2))
    return worst


@pytest.mark.parametrize(
    ("instances", "warm", "cold", "rate_per_s", "burst", "more"),
    [(20, 6, 1, 20.0, 2.5, {}), (30, 10, 2, 8.0, 1.5, {"overload_multiple": 2.0}), (24, 4, 4, 15.0, 2.5, {})],
)
def test_many_instances_together_stay_within_the_allowance_of_a_cold_worker(
    instances, warm, cold, rate_per_s, burst, more
):
    assert max(allowance_excess(seed, instances, warm, cold, rate_per_s, burst, **more) for seed in range(2)) <= 1


def test_cold_worker_with_the_share_of_a_warm_one_exceeds_its_allowance(monkeypatch):
    monkeypatch.setattr(SlowStart, "factor", lambda self, now_ms, endpoint: 0.99 if endpoint.started_ms else 1.0)
    assert allowance_excess(0, 20, 6, 1, 20.0, 2.5) > 1


# ---- disconnects while a request waits ----------------------------------------------------------------


class TwoInstances:
    """Two instances in memory: a request arrives at the first, and the second owns its quota."""

    def __init__(self):
        self.reactor, self.mail, self.workers, self.up = MemoryReactorClock(), [], [], 0
        rows = [endpoint_row(f"s{n}", f"127.0.0.1:{7000 + n}") for n in range(4)]
        self.instances = []
        for n in range(2):
            instance = RespGatewayInstance(
                parse_config(
                    config_document(
                        settings=WIRE_SETTINGS | {"myNumber": n}, known=change_document(41, *rows, snapshot=True)
                    ),
                    {},
                ),
                self.reactor,
                lambda: self.reactor.seconds() * 1000 + 1e6,
            )
            instance.request_table._executor._send_to_peer = lambda receiver, data, n=n: self.mail.append(
                (receiver, n, data)
            )
            instance.prepare()
            self.instances.append(instance)

    def send_requests(self):
        """Send requests of several customers until one waits for a reply of its quota owner."""
        for number in range(1, 50):
            self.client = Transport()
            self.client.protocol = self.instances[0].frontend.buildProtocol(None)
            self.client.protocol.makeConnection(self.client)
            terms = b"c=look,t=rated,d=1400,units=4,spread=2,first=0"
            self.client.protocol.dataReceived(
                resp_codec.encode_command([b"Q.ASK", b"%016x" % number, b"%016x" % number, terms])
            )
            self.reactor.advance(0.001)
            if self.mail:
                return
            self.client.protocol.connectionLost(Failure(error.ConnectionDone()))
            self.reactor.tcpClients.clear()
        raise AssertionError("no request waits")

    def deliver_mail(self):
        mail, self.mail[:] = list(self.mail), []
        for receiver, sender, data in mail:
            self.instances[receiver].request_table.receive_peer_message(sender, data)
        self.reactor.advance(0.001)

    def connect(self):
        """Establish the requested connections to workers."""
        while self.up < len(self.reactor.tcpClients):
            factory, self.up = self.reactor.tcpClients[self.up][2], self.up + 1
            worker = Transport()
            worker.protocol = factory.buildProtocol(None)
            worker.protocol.makeConnection(worker)
            self.workers.append(worker)

    def until(self, wait):
        """Advance until the request is in this wait; no event loop iteration has run since its last event."""
        self.send_requests()
        if wait == "quota owner":
            return
        self.deliver_until_connecting()
        if wait in ("retry", "hedge"):
            self.connect()
            assert self.started_attempts() == 1
            if wait == "retry":
                self.workers[0].protocol.dataReceived(b"-BUSY\r\n")

    def deliver_until_connecting(self):
        for _ in range(20):
            if self.reactor.tcpClients:
                return
            self.deliver_mail()
        raise AssertionError("the quota owner does not reply")

    def started_attempts(self):
        return sum(bool(worker.value()) for worker in self.workers)


@pytest.mark.parametrize("after_s", [0.0, 0.05, 0.1, 0.2, 1.0])
@pytest.mark.parametrize("wait", ["quota owner", "connection", "retry", "hedge"])
def test_no_attempt_starts_after_a_disconnect_in_any_wait(wait, after_s):
    started = {}
    for disconnects in (False, True):
        pair = TwoInstances()
        pair.until(wait)
        before = pair.started_attempts()
        if disconnects:
            pair.client.protocol.connectionLost(Failure(error.ConnectionDone()))
        if after_s:
            pair.reactor.advance(after_s)
        for _ in range(40):
            pair.deliver_mail()
            pair.connect()
            pair.reactor.advance(0.02)
        started[disconnects] = pair.started_attempts() - before
        assert not disconnects or not pair.instances[0].request_table.open_requests
    assert started[True] == 0
    assert started[False] > 0 or after_s >= 0.2 or wait == "hedge"  # a client that stays connected has its attempt


# ---- endpoints that a complete list leaves out --------------------------------------------------------


def test_endpoint_missing_in_a_complete_list_loses_its_connections():
    pair = TwoInstances()
    pair.send_requests()
    pair.deliver_until_connecting()
    port = pair.reactor.tcpClients[0][1]
    rows = [endpoint_row(f"s{n}", f"127.0.0.1:{7000 + n}") for n in range(4) if 7000 + n != port]
    pair.instances[0].apply_endpoint_change(
        parse_change(change_document(43, *rows, snapshot=True))
    )  # the worker still listens, and its connection is established
    for _ in range(40):
        pair.connect()
        pair.reactor.advance(0.02)
    assert not pair.workers[0].value() and f"s{port - 7000}" not in pair.instances[0].endpoint_directory.entries
    assert pair.started_attempts() == 1 and port not in [each[1] for each in pair.reactor.tcpClients[1:]]


# ---- split commands -----------------------------------------------------------------------------------


def test_split_commands_are_handled_once_and_in_order():
    data = resp_codec.encode_command(ASK) + resp_codec.encode_command([b"PING"]) + resp_codec.encode_command(DO)
    for cut in range(1, len(data)):
        harness = GatewayHarness()
        client = harness.client()
        for piece in (data[:cut], data[cut:]):
            client.protocol.dataReceived(piece)
            harness.run_iteration()
        assert [each.class_name for each in harness.controller.arrivals] == ["look", "book"], cut
        first, second = (each.id for each in harness.controller.arrivals)
        harness.run_iteration(Fail(second))
        harness.run_iteration(Reject(first, 0.0))
        assert (
            client.take() == b"-BUSY\r\n+PONG\r\n-ERR failed\r\n"
            and client.protocol.state == connection_limits.ConnectionState.IDLE
        )
