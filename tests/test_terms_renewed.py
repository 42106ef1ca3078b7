"""Terms of the standing test that hold from now on, one part a term: what each promises and where it is shown."""

import heapq
import json
import math
import os
import random
import socket

import pytest
from stage import Stage, reset
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
    made = Stage()
    yield made
    made.close()


# ---- kills right after an accept ------------------------------------------------------------------------


def test_all_who_had_come_when_the_listener_closes_are_let_in(stage):
    """More had come since the last look than came in it: each that the system let in is answered."""
    stage.client([b"PING"])  # one came in the last look
    links = [stage._keep(socket.create_connection(("127.0.0.1", stage.port.getHost().port))) for _ in range(30)]
    for link in links:
        link.sendall(resp_codec.encode_command([b"PING"]))
    gatekeeper = RespGatewayInstance.__new__(RespGatewayInstance)
    gatekeeper._port = stage.port
    gatekeeper._stop_listening()
    stage.turns()
    assert [link.recv(100) for link in links] == [b"+PONG\r\n"] * 30


# ---- idle clients may fill the descriptors -------------------------------------------------------------


def test_however_many_come_in_one_look_they_hold_no_more_descriptors_than_the_caps_leave_them():
    """What is cut off for others has its descriptor until the next turn, and the watch may need one in this."""
    stage = Stage(max_connections=10, max_closing=4)
    try:

        def held():
            return len(os.listdir("/proc/self/fd"))

        stage.client([b"PING"])
        port = stage.port.getHost().port
        links = [stage._keep(socket.create_connection(("127.0.0.1", port))) for _ in range(45)]
        stage.port.numberAccepts, before, most = 200, held() - 1, 0
        for _ in range(6):
            stage.reactor.iterate(0)
            most = max(most, held() - before)
        assert most <= 10 + 4 + connection_limits.MAX_ABORTED
        new = stage.client([b"PING"])
        assert new.recv(100) == b"+PONG\r\n" and len(links) == 45
    finally:
        stage.close()


# ---- a client that closes has gone --------------------------------------------------------------------


@pytest.mark.parametrize("leave", [lambda link: link.close(), reset, lambda link: link.shutdown(1)])
@pytest.mark.parametrize("first", [True, False])
def test_no_attempt_begins_for_a_client_whose_close_lies_unread(stage, leave, first):
    """The process stood still; its client has gone meanwhile, and the loop has read no socket since."""
    _, resting = stage.served()
    stage.wait(0.1)
    client = stage.client(command_with_id(2))
    number = stage.module.arrivals[-1].id
    if not first:
        stage.say(StartAttempt(number, "s2", 400.0))
        worker = stage.accept("s2")
        assert worker.recv(1000)
        worker.sendall(b"-BUSY\r\n")
        stage.turns()
    leave(client)
    stage.time += 0.11
    stage.decide(StartAttempt(number, "s1", 400.0))
    stage.turns()
    assert resting.recv(1000) == b""  # it was taken for the attempt and ended unused
    assert not stage.carrier.open_requests and not stage.request_table.requests


# ---- a change counts as told 6 s after discovery had it and could be reached ---------------------------

STEP_S, EMPTY = 0.05, b"1\r\n\n\r\n"


def chunk(text):
    return b"%x\r\n%b\r\n" % (len(text), text)


class _Call:
    """One watch as the agent sees it. `fate`: what becomes of it, `at` when; `told`: the version that was written."""

    def __init__(self, agent, protocol):
        self.agent, self.link, self.opened = agent, Transport(), agent.now
        self.link.protocol = protocol
        protocol.makeConnection(self.link)
        self.told = int(self.link.take().split(b"from=")[1].split(b" ")[0])
        self.fate = "well" if agent.reachable else agent.rng.choice(agent.FATES)
        # Its trouble begins at the latest with the last one: what is missed after that has a bound of its own.
        self.at = min(agent.well_s, agent.now + agent.rng.choice((0.0, 0.1, 0.7, 2.1, 4.0)))
        self.lasts = agent.rng.choice((3.2, 5.0))
        self.last, self.headed, self.done = agent.now, False, False

    def say(self, data, head=HEAD):
        if not self.link.aborted:
            self.link.protocol.dataReceived((b"" if self.headed else head) + data)
            self.headed, self.last = True, self.agent.now

    def lost(self, reason):
        if not self.link.aborted:
            self.link.aborted = True
            self.link.protocol.connectionLost(Failure(reason))

    def step(self):
        if self.link.aborted:
            return
        if self.fate == "well" or self.agent.now < self.at:
            self.tell()
        elif self.fate == "drips":
            self.say(b"1\r\n" + (b" " if self.done else b"{") + b"\r\n")
            self.done = True
        elif self.fate == "deaf":  # it was silent and misses what there was; then only its empty lines come again
            if self.agent.now >= self.at + self.lasts and self.agent.now - self.last >= 2.0:
                self.say(EMPTY)
        elif self.fate == "wakes":  # the agent was silent; at its return it tells all
            if self.agent.reachable:
                self.tell()
        elif not self.done:
            self.done = True
            if self.fate == "half":
                self.say(chunk(self.agent.line(self.told)[:20]))
            elif self.fate == "garbage":
                self.say(chunk(b"}\n"))
            elif self.fate == "ends":
                self.say(b"0\r\n\r\n")
            elif self.fate == "refuses":
                self.say(b"", b"HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n")
            elif self.fate == "closes":
                self.lost(error.ConnectionDone())
            elif self.fate == "resets":
                self.lost(error.ConnectionLost())

    def tell(self):
        if self.told < self.agent.index:
            self.say(chunk(self.agent.line(self.told)))
            self.told = self.agent.index
        elif self.agent.now - self.last >= 2.0:
            self.say(EMPTY)


class Agent:
    """A discovery's agent that until `well_s` does to each call what chance says, and is well to all calls after."""

    FATES = (
        "well",
        "silent",
        "silent",
        "drips",
        "deaf",
        "wakes",
        "half",
        "garbage",
        "ends",
        "refuses",
        "closes",
        "resets",
    )

    def __init__(self, seed):
        self.rng, self.reactor, self.book = random.Random(seed), MemoryReactorClock(), EndpointDirectory()
        self.well_s, self.index, self.calls, self.at = self.rng.uniform(0, 9), 50, [], 0
        self.watch = discovery_watch.DiscoveryWatch(
            self.reactor,
            ("127.0.0.1", 8500),
            lambda: self.book.version,
            self.book.apply,
            lambda why: None,
            self.book.reset_version,
        )

    @property
    def now(self):
        return self.reactor.seconds()

    @property
    def reachable(self):
        return self.now >= self.well_s

    def line(self, known):
        """A whole list now and then, else what changed."""
        whole = known < 50 or self.rng.random() < 0.3
        rows = [endpoint_row(f"s{n}", f"127.0.0.1:{n}") for n in range(50 if whole else known + 1, self.index + 1)]
        return json.dumps(change_document(self.index, *rows, snapshot=whole)).encode() + b"\n"

    def take_calls(self):
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
            self.calls.append(_Call(self, protocol))

    def play(self):
        """The first moment from the bound on at which what there is, is not known; None where there is none."""
        self.watch.start()
        while self.now < self.well_s + BOUND_S + 6:
            self.take_calls()
            self.reactor.advance(STEP_S)
            if self.rng.random() < 0.02:
                self.index += 1
            for call in self.calls:
                call.step()
            if self.now > self.well_s + BOUND_S and self.book.version != self.index:
                return round(self.now - self.well_s, 2)
        return None


def test_no_order_of_failed_refused_silent_and_given_up_calls_keeps_a_change_back():
    assert {seed: late for seed in range(250) if (late := Agent(seed).play()) is not None} == {}


# ---- cold workers fall under the sum of what all processes send -----------------------------------------


def past_the_budget(seed, gatekeepers, warm, cold, rate_per_s, burst, **more):
    """Many modules beside each other in front of `warm` workers that bear `rate_per_s` each, and of `cold` new ones,
    whose start all are told of; a burst begins just after it. By how much calls in the settings' window passed what
    the settings allow a cold one then, as a part of what may be chance: 2 x root of N + 2. Over 1 it falls."""
    rng, told = random.Random(seed), settings(gateways=gatekeepers, peer_messages_enabled=False, **more)
    modules = [
        Controller(
            settings(gateways=gatekeepers, number=n, peer_messages_enabled=False, **more), rng.randrange(1 << 30)
        )
        for n in range(gatekeepers)
    ]
    tick, now, start_ms, serial, sent = 10.0, 0.0, 52_000.0, 0, {f"c{n}": [] for n in range(cold)}
    fleet = [Endpoint(f"w{n}", "z0", 0, EndpointStatus.READY) for n in range(warm)]
    later = []  # what each module hears when: ends of attempts and wake-ups
    for n in range(gatekeepers):
        at_ms = start_ms + rng.uniform(0, 100)
        heapq.heappush(later, (50_000.0, n, 0, EndpointList(tuple(fleet))))
        heapq.heappush(
            later,
            (
                at_ms,
                n,
                1,
                EndpointList(
                    tuple(Endpoint(name, "z0", 0, EndpointStatus.READY, 1.0, start_ms) for name in sent), complete=False
                ),
            ),
        )
    for now in (50_000.0 + tick * step for step in range(int((start_ms - 50_000.0 + told.warm_up_ms / 2) / tick))):
        events = {n: [] for n in range(gatekeepers)}
        while later and later[0][0] <= now:
            _, n, _, event = heapq.heappop(later)
            events[n].append(event)
        wanted = rate_per_s * warm * tick / 1000 * (burst if now >= start_ms + 200 else 1.0)
        for _ in range(int(wanted) + (rng.random() < wanted % 1)):
            serial += 1
            n = rng.randrange(gatekeepers)
            events[n].append(Arrival(serial, f"f{rng.randrange(5000)}", "look", "open", now + 1500, 1, n, 1))
        for n, heard in events.items():
            for action in modules[n].handle(now, heard) if heard else ():
                serial += 1
                if isinstance(action, StartAttempt):
                    sent.get(action.endpoint, []).append(now)
                    end = AttemptEnded(action.id, 0, action.endpoint, 100.0, AttemptResult.OK, True)
                    heapq.heappush(later, (now + rng.expovariate(1 / 100), n, serial, end))
                elif isinstance(action, SetTimer):
                    heapq.heappush(later, (now + action.delay_ms, n, serial, TimerFired(action.name)))
    assert all(sent.values())
    worst = -math.inf
    for calls in sent.values():
        for at in calls:
            share = (
                told.slow_start_initial_factor
                + (1 - told.slow_start_initial_factor) * (at - start_ms) / told.warm_up_ms
            )
            allowed = told.overload_multiple * share * rate_per_s * told.overload_window_ms / 1000
            count = sum(at - told.overload_window_ms < each <= at for each in calls)
            worst = max(worst, (count - allowed) / (2 * math.sqrt(allowed) + 2))
    return worst


@pytest.mark.parametrize(
    ("gatekeepers", "warm", "cold", "rate_per_s", "burst", "more"),
    [(20, 6, 1, 20.0, 2.5, {}), (30, 10, 2, 8.0, 1.5, {"overload_multiple": 2.0}), (24, 4, 4, 15.0, 2.5, {})],
)
def test_many_beside_each_other_send_a_cold_worker_no_more_than_its_budget_and_chance(
    gatekeepers, warm, cold, rate_per_s, burst, more
):
    assert max(past_the_budget(seed, gatekeepers, warm, cold, rate_per_s, burst, **more) for seed in range(2)) <= 1


def test_a_cold_worker_that_is_given_a_warm_ones_part_would_pass_it(monkeypatch):
    monkeypatch.setattr(SlowStart, "factor", lambda self, now_ms, endpoint: 0.99 if endpoint.started_ms else 1.0)
    assert past_the_budget(0, 20, 6, 1, 20.0, 2.5) > 1


# ---- at each wait of a request --------------------------------------------------------------------------


class Two:
    """Two gatekeepers with the module in memory: a request comes to the first, the home of its quota is the second."""

    def __init__(self):
        self.reactor, self.mail, self.workers, self.up = MemoryReactorClock(), [], [], 0
        rows = [endpoint_row(f"s{n}", f"127.0.0.1:{7000 + n}") for n in range(4)]
        self.made = []
        for n in range(2):
            made = RespGatewayInstance(
                parse_config(
                    config_document(
                        settings=WIRE_SETTINGS | {"myNumber": n}, known=change_document(41, *rows, snapshot=True)
                    ),
                    {},
                ),
                self.reactor,
                lambda: self.reactor.seconds() * 1000 + 1e6,
            )
            made.request_table._executor._send_to_peer = lambda receiver, data, n=n: self.mail.append(
                (receiver, n, data)
            )
            made.prepare()
            self.made.append(made)

    def ask(self):
        """Requests of several customers, until one waits for its home's word."""
        for number in range(1, 50):
            self.client = Transport()
            self.client.protocol = self.made[0].frontend.buildProtocol(None)
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

    def post(self):
        mail, self.mail[:] = list(self.mail), []
        for receiver, sender, data in mail:
            self.made[receiver].request_table.receive_peer_message(sender, data)
        self.reactor.advance(0.001)

    def connect(self):
        """The connections that are being made come up."""
        while self.up < len(self.reactor.tcpClients):
            factory, self.up = self.reactor.tcpClients[self.up][2], self.up + 1
            worker = Transport()
            worker.protocol = factory.buildProtocol(None)
            worker.protocol.makeConnection(worker)
            self.workers.append(worker)

    def until(self, wait):
        """Go on until the request is in this wait; the loop has not turned since its last event."""
        self.ask()
        if wait == "home":
            return
        self.go_on()
        if wait in ("next", "copy"):
            self.connect()
            assert self.begun() == 1
            if wait == "next":
                self.workers[0].protocol.dataReceived(b"-BUSY\r\n")

    def go_on(self):
        for _ in range(20):
            if self.reactor.tcpClients:
                return
            self.post()
        raise AssertionError("the home says nothing")

    def begun(self):
        return sum(bool(worker.value()) for worker in self.workers)


@pytest.mark.parametrize("after_s", [0.0, 0.05, 0.1, 0.2, 1.0])
@pytest.mark.parametrize("wait", ["home", "connection", "next", "copy"])
def test_a_client_that_leaves_in_any_wait_has_no_attempt_begun_after_it(wait, after_s):
    begun = {}
    for leaves in (False, True):
        two = Two()
        two.until(wait)
        before = two.begun()
        if leaves:
            two.client.protocol.connectionLost(Failure(error.ConnectionDone()))
        if after_s:
            two.reactor.advance(after_s)
        for _ in range(40):
            two.post()
            two.connect()
            two.reactor.advance(0.02)
        begun[leaves] = two.begun() - before
        assert not leaves or not two.made[0].request_table.open_requests
    assert begun[True] == 0
    assert begun[False] > 0 or after_s >= 0.2 or wait == "copy"  # one that stays has its attempt


# ---- what a whole list doesn't name is gone -------------------------------------------------------------


def test_a_first_answer_that_leaves_out_who_drains_ends_what_is_resting_and_on_its_way_there():
    two = Two()
    two.ask()
    two.go_on()
    port = two.reactor.tcpClients[0][1]
    rows = [endpoint_row(f"s{n}", f"127.0.0.1:{7000 + n}") for n in range(4) if 7000 + n != port]
    two.made[0].apply_endpoint_change(
        parse_change(change_document(43, *rows, snapshot=True))
    )  # it still listens, and its connection comes up
    for _ in range(40):
        two.connect()
        two.reactor.advance(0.02)
    assert not two.workers[0].value() and f"s{port - 7000}" not in two.made[0].endpoint_directory.entries
    assert two.begun() == 1 and port not in [each[1] for each in two.reactor.tcpClients[1:]]


# ---- requests in pieces ----------------------------------------------------------------------------------


def test_commands_in_pieces_are_taken_once_each_whole_and_in_order():
    data = resp_codec.encode_command(ASK) + resp_codec.encode_command([b"PING"]) + resp_codec.encode_command(DO)
    for cut in range(1, len(data)):
        house = GatewayHarness()
        client = house.client()
        for piece in (data[:cut], data[cut:]):
            client.protocol.dataReceived(piece)
            house.run_iteration()
        assert [each.class_name for each in house.controller.arrivals] == ["look", "book"], cut
        first, second = (each.id for each in house.controller.arrivals)
        house.run_iteration(Fail(second))
        house.run_iteration(Reject(first, 0.0))
        assert (
            client.take() == b"-BUSY\r\n+PONG\r\n-ERR failed\r\n"
            and client.protocol.state == connection_limits.ConnectionState.IDLE
        )
