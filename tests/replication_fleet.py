"""Several instances' real replication, with their request tables and clients, on one simulated clock.

Each has a `ReplicationService`, a `RequestTable` with its `Controller`, and `DirectRequests`. Only the endpoints, the
membership and the net are made up: a seed, or a test, says which datagram is lost, late or doubled, who is killed, and
who believes what about whom. Clients ask, and come back elsewhere where their instance is killed or rejects them."""

import random
from collections import Counter
from functools import partial

from structlog import get_logger
from twisted.internet.task import Clock

from anisefront.cluster.member_state import MemberChange, MemberRow, MemberStatus
from anisefront.cluster.replication_codec import decode
from anisefront.cluster.replication_messages import Bundle
from anisefront.config.types import Config
from anisefront.daemon.message_bundles import unbundle
from anisefront.daemon.replication import ReplicationService
from anisefront.gateway.request_table import RequestTable
from anisefront.gateway.request_terms import RequestTerms
from anisefront.policy.controller import Controller
from anisefront.policy.events import AttemptResult, Endpoint, EndpointList, EndpointStatus
from anisefront.policy.settings import Idempotency, Plan, RequestClass, Settings
from anisefront.protocols import http1
from anisefront.upstream.delegated_requests import DelegatedRequests
from anisefront.upstream.direct_requests import DirectRequest, DirectRequests

LEASE_MS = 600.0
DEADLINE_S = 8.0
SERVICE_S = 0.005  # of an attempt
TRANSIT_S = 0.0005  # of a datagram
ENDPOINTS = EndpointList(tuple(Endpoint(f"10.0.0.{n}:80", "", 0, EndpointStatus.READY) for n in range(4)))
NO_ENDPOINTS = EndpointList(())
READ_S = 0.0001  # after a stop, until the sockets are read
START_MS = 1e6  # of the clock
CLASSES = (
    RequestClass("pay", 4000, DEADLINE_S * 1000, 3.0, Idempotency.NON_IDEMPOTENT),
    RequestClass("order", 4000, DEADLINE_S * 1000, 2.0, Idempotency.KEYED, deduplication_window_ms=20_000),
)


def settings_of(number, count):
    return Settings(
        gateways=count,
        number=number,
        zone="",
        classes=CLASSES,
        plans=(Plan("wide", 1000, 1000),),
        warm_up_ms=0,
        slow_start_initial_factor=1.0,
        overload_multiple=3,
        overload_window_ms=1000,
        max_attempts=3,
        tick_ms=5,
        max_retry_after_ms=1000,
    )


class Timer:
    """A timer of one process, which fires later where the process is stopped."""

    def __init__(self, reactor, delay_s, call):
        self._reactor, self._call = reactor, call
        self._inner = reactor.clock.callLater(delay_s, self._fire)

    def _fire(self):
        stopped_s = self._reactor.stopped_until_s - self._reactor.seconds()
        if stopped_s > 0:
            self._inner = self._reactor.clock.callLater(stopped_s, self._fire)
        elif not self._reactor.is_dead:
            self._call()

    def active(self):
        return self._inner.active()

    def cancel(self):
        self._inner.cancel()

    def getTime(self):
        return self._inner.getTime()


class Reactor:
    """Timers of one process: none fires once it is dead, and those of a stop fire after it."""

    def __init__(self, clock):
        self.clock, self.is_dead, self.stopped_until_s = clock, False, 0.0

    def seconds(self):
        return self.clock.seconds()

    def callLater(self, delay_s, call, *arguments, **more):
        return Timer(self, delay_s, partial(call, *arguments, **more))


class Membership:
    """What one instance believes of the others."""

    def __init__(self, count):
        self.rows = {n: MemberRow(n, 1, 0, MemberStatus.ALIVE) for n in range(count)}

    def alive(self):
        return [number for number, row in self.rows.items() if row.status <= MemberStatus.SUSPECT]


class Exchange:
    """An attempt at an endpoint. What has left runs, also where its sender is killed."""

    def __init__(self, fleet, member, data, timeout_s, on_end, may_start):
        self._fleet, self._member, self._on_end, self._may_start = fleet, member, on_end, may_start
        self._is_connected = False
        self._key = data.partition(b"x-idempotency-key: ")[2].partition(b"\r\n")[0].decode()
        member.reactor.callLater(0, self._start)
        member.reactor.callLater(timeout_s, self._end, AttemptResult.TIMEOUT, None)

    def _start(self):
        if self._on_end is None:
            return
        if self._member.connect_s and not self._is_connected:
            self._is_connected = True
            self._member.reactor.callLater(self._member.connect_s, self._start)
            return
        if not self._may_start():
            self._end(AttemptResult.DISCARDED, None)
            return
        if self._member.is_refused:
            self._end(AttemptResult.CONNECT_FAILED, None)
            return
        self._fleet.runs[self._key] += 1
        self._fleet.note(f"{self._key} runs at {self._member.number}")
        if not self._member.is_mute:
            served = http1.Message("", "", 200, {}, b"paid", True)
            self._member.reactor.callLater(SERVICE_S, self._end, None, served)

    def cancel(self):
        self._end(AttemptResult.CANCELLED, None)

    def _end(self, result, response):
        on_end, self._on_end = self._on_end, None
        if on_end is not None:
            on_end(result, response)


class Member:
    """One instance."""

    def __init__(self, fleet, number, count):
        self.number, self.fleet = number, fleet
        self.is_mute = False  # whether its attempts run without an answer
        self.is_refused = False  # whether no endpoint takes its connections
        self.connect_s = 0.0  # until a connection to an endpoint is up
        self.reactor = Reactor(fleet.clock)
        self.membership = Membership(count)
        settings = settings_of(number, count)
        config = Config(settings, (), {}, "", lease_ms=LEASE_MS, members_ms=100.0)
        self.table = RequestTable(Controller(settings, number), fleet.now_ms, self.reactor)
        self.own = DirectRequests(self.table, self, f"life{number}", ())
        self.replication = ReplicationService(
            self.reactor,
            fleet.now_ms,
            lambda receiver, data: fleet.send(number, receiver, data),
            get_logger().bind() if fleet.is_logging else Silent(),
            config,
            1,
            self.membership,
        )
        self.replication.attach(self.table, self.own, DelegatedRequests(self.table, self.reactor, f"life{number}"))
        self.table.update_endpoints(ENDPOINTS)

    def request(self, endpoint, data, timeout_s, on_end, head_only=False, may_start=lambda: True):
        """Send a request to an endpoint, as the connection pool does."""
        return Exchange(self.fleet, self, data, timeout_s, on_end, may_start)

    def believe(self, *rows):
        changes = [MemberChange(row, self.membership.rows.get(row.number)) for row in rows]
        self.membership.rows.update((row.number, row) for row in rows)
        self.replication.on_member_changes(changes)


class Silent:
    """A log that nobody reads."""

    def info(self, event, **fields):
        """Nothing."""


class Ask:
    """A client's request at one instance, and its ends there."""

    def __init__(self, number, at_s):
        self.number, self.at_s, self.deadline_s, self.ends = number, at_s, at_s + DEADLINE_S, []
        self.is_lost = False  # its instance was killed before it had an end


class Client:
    """One request, with one identity wherever it is asked, until it has an end that is no rejection."""

    def __init__(self, fleet, key, kind, choose):
        """`choose(asked)`: when to ask next, from now, and where; None for not again."""
        self.fleet, self.key, self.kind, self.choose = fleet, key, kind, choose
        self.asks, self.ended_s = [], None

    def ask(self, number):
        fleet = self.fleet
        if number not in fleet.members:
            self._come_back()
            return
        ask = Ask(number, fleet.clock.seconds())
        self.asks.append(ask)
        fleet.note(f"{self.key} asks {number}")
        job = DirectRequest("POST", f"/{self.kind}", {"x-idempotency-key": self.key}, b"")
        deadline_ms = fleet.now_ms() + DEADLINE_S * 1000
        terms = RequestTerms("customer", self.kind, "wide", deadline_ms)
        fleet.members[number].own.accept(job, lambda answer: self._on_end(ask, answer), terms)

    def _on_end(self, ask, answer):
        fleet = self.fleet
        end = "rejected" if answer.is_rejected else "served" if answer.message is not None else "failed"
        fleet.note(f"{self.key} is {end} at {ask.number} {answer.reason}")
        ask.ends.append((fleet.clock.seconds(), end, answer.reason))
        if self.ended_s is not None or len(ask.ends) > 1:
            return
        if end == "rejected":
            self._come_back()
        else:
            self.ended_s = fleet.clock.seconds()

    def killed(self, number):
        for ask in self.asks:
            if ask.number == number and not ask.ends:
                ask.is_lost = True
                self._come_back()

    def _come_back(self):
        chosen = self.choose(self)
        if chosen is not None:
            self.fleet.clock.callLater(chosen[0], self.ask, chosen[1])


class Fleet:
    """All instances of a fleet. `fate(sender, receiver, messages)` returns after how long each copy of a datagram
    arrives: none for a lost one."""

    def __init__(self, count=4, fate=None, is_logging=False):
        self.clock, self.runs, self.clients, self.notes = Clock(), Counter(), [], []
        self.fate = fate or (lambda sender, receiver, messages: (TRANSIT_S,))
        self.is_logging, self.killed_s, self.sent = is_logging, None, 0
        self.members = {n: Member(self, n, count) for n in range(count)}
        for number, member in self.members.items():
            rows = [row for row in member.membership.rows.values() if row.number != number]
            member.believe(*rows)
        self.run(1.0)

    def now_ms(self):
        return START_MS + self.clock.seconds() * 1000

    def note(self, text):
        self.notes.append(f"{self.clock.seconds():.4f} {text}")

    def run(self, seconds):
        """Let time pass, from one event to the next."""
        until_s = self.clock.seconds() + seconds
        while self.clock.calls and self.clock.calls[0].getTime() <= until_s:
            self.clock.advance(max(0.0, self.clock.calls[0].getTime() - self.clock.seconds()))
        self.clock.advance(max(0.0, until_s - self.clock.seconds()))

    def send(self, sender, receiver, data):
        self.sent += 1
        for delay_s in self.fate(sender, receiver, messages_of(data)):
            self.clock.callLater(delay_s, self._deliver, sender, receiver, data)

    def _deliver(self, sender, receiver, data):
        member = self.members.get(receiver)
        if member is None:
            return
        stopped_s = member.reactor.stopped_until_s - self.clock.seconds()
        if stopped_s > 0:  # it is read after the timers that are late, as the event loop does
            self.clock.callLater(stopped_s + READ_S, self._deliver, sender, receiver, data)
        else:
            member.replication.receive(sender, 1, data)

    def client(self, key, kind, choose):
        client = Client(self, key, kind, choose)
        self.clients.append(client)
        return client

    def kill(self, number):
        self.note(f"{number} is killed")
        self.killed_s = self.clock.seconds()
        self.members.pop(number).reactor.is_dead = True
        for client in self.clients:
            client.killed(number)

    def believe(self, number, other, status, swim_incarnation=0):
        """Let one instance hear of the status of another."""
        if number in self.members:
            self.note(f"{number} believes {other} {status.name}")
            self.members[number].believe(MemberRow(other, 1, swim_incarnation, status))


def messages_of(data):
    message = decode(data)
    return unbundle(message) if isinstance(message, Bundle) else [message]


# ---- searches ------------------------------------------------------------------------------------

# After these times a client that came back has an end, other than a rejection, while two voters are alive.
DETECTION_S = LEASE_MS / 1000  # of the loss, by the membership or by the lease
TAKEOVER_S = 0.5  # the witness, the new backup and the voters, one lost datagram of each included
REPLY_S = 1.25  # the longest interval of queries: the reply may be lost once
TIMER_S = 0.05  # by which an end may come after its deadline
MAX_DATAGRAMS = 5000  # of a schedule: eight clients that ask a few times, with a few queries each second
KILL_S = 1.0  # after the beginning
LAST_FAULT_S = 2.0  # after the beginning, at the latest
VICTIMS = ("queues", "is mute", "is busy", "refuses")  # how what the victim has accepted stands at the kill


class Schedule:
    """Clients of some identities, and faults chosen by a seed. `faults` says which there may be, and how many.

    kill: of one instance; lose, twice: datagrams; slow: instances to which datagrams take long for a while; stop:
    processes that are stopped for a while; refuse: instances whose connections no endpoint takes for a while; doubt:
    wrong beliefs that somebody is dead."""

    def __init__(self, seed, faults, count=4, clients=8, is_logging=False):
        self.rng = random.Random(seed)
        self.left = {kind: self.rng.randrange(most + 1) for kind, most in faults.items()}
        self.slow = {}  # until when, by instance
        self.is_disturbed = False
        self.fleet = Fleet(count, self._fate, is_logging)
        self.begun_s = self.fleet.clock.seconds()
        self.victim = self.rng.randrange(count)
        self._begin(count, clients)
        self._plan_faults(count, "kill" in faults)

    def _fate(self, sender, receiver, messages):
        rng = self.rng
        transit_s = TRANSIT_S * rng.uniform(0.2, 4)
        if not self.is_disturbed:
            return (transit_s,)
        if self.fleet.clock.seconds() < self.slow.get(receiver, 0.0):
            transit_s += rng.uniform(0.0, 0.08)
        if self.left.get("lose") and rng.random() < 0.1:
            self.left["lose"] -= 1
            self.fleet.note(f"lost {sender} to {receiver}: {messages}")
            return ()
        if self.left.get("twice") and rng.random() < 0.1:
            self.left["twice"] -= 1
            return transit_s, transit_s + rng.uniform(0.0, 0.3)
        return (transit_s,)

    def _at(self, seconds, call, *arguments):
        """Call something so long after the beginning."""
        self.fleet.clock.callLater(self.begun_s + seconds - self.fleet.clock.seconds(), call, *arguments)

    def _begin(self, count, clients):
        """Let clients ask, most of them the instance that is killed later."""
        fleet, rng = self.fleet, self.rng
        state = rng.choice(VICTIMS)
        victim = fleet.members[self.victim]
        if state == "queues":
            victim.table.update_endpoints(NO_ENDPOINTS)
        victim.is_mute, victim.is_refused = state == "is mute", state == "refuses"
        since_s = KILL_S - 0.03 if state == "is busy" else 0.0
        for number in range(clients):
            client = fleet.client(f"k{number}", rng.choice(("pay", "order")), self._choose)
            where = self.victim if rng.random() < 0.8 else rng.randrange(count)
            self._at(rng.uniform(since_s, KILL_S + 0.02), client.ask, where)
            if state == "queues" and rng.random() < 0.3:  # it asks another instance before it has its end
                self._at(rng.uniform(0.0, KILL_S - 0.2), self._ask_again, client)

    def _ask_again(self, client):
        if client.ended_s is None and client.asks:
            client.ask(self.rng.choice(sorted(self.fleet.members)))

    def _choose(self, client):
        """Return after how long and where a client comes back."""
        if client.ended_s is not None or self.fleet.clock.seconds() > self.begun_s + DEADLINE_S:
            return None
        return self.rng.uniform(0.02, 1.0), self.rng.choice(sorted(self.fleet.members))

    # ---- faults ----------------------------------------------------------------------------------

    def _plan_faults(self, count, has_kill):
        rng = self.rng
        self._at(KILL_S - rng.uniform(0.0, 0.5), self._disturb)
        self._at(KILL_S, self._kill if has_kill else self._serve, self.victim)
        for kind in ("slow", "stop", "refuse"):
            for _ in range(self.left.get(kind, 0)):
                lasts_s = rng.uniform(0.05, 0.5)
                at_s = rng.uniform(KILL_S - 0.5, LAST_FAULT_S - 0.5)
                self._at(at_s, getattr(self, f"_{kind}"), rng.randrange(count), lasts_s)
        for _ in range(self.left.get("doubt", 0)):
            self._at(rng.uniform(0.5, LAST_FAULT_S - 0.5), self._doubt, *rng.sample(range(count), 2))

    def _disturb(self):
        self.is_disturbed = True

    def _serve(self, number):
        member = self.fleet.members[number]
        member.is_mute = member.is_refused = False
        member.table.update_endpoints(ENDPOINTS)

    def _slow(self, number, seconds):
        self.slow[number] = self.fleet.clock.seconds() + seconds

    def _stop(self, number, seconds):
        if number in self.fleet.members:
            self.fleet.note(f"{number} is stopped for {seconds:.3f} s")
            self.fleet.members[number].reactor.stopped_until_s = self.fleet.clock.seconds() + seconds

    def _refuse(self, number, seconds):
        if number in self.fleet.members and number != self.victim:
            self.fleet.note(f"{number} reaches no endpoint for {seconds:.3f} s")
            self.fleet.members[number].is_refused = True
            self.fleet.clock.callLater(seconds, self._reach, number)

    def _reach(self, number):
        self.fleet.members[number].is_refused = False

    def _kill(self, victim):
        fleet = self.fleet
        fleet.kill(victim)
        for number in fleet.members:
            at_s = self.rng.uniform(0.05, DETECTION_S)
            fleet.clock.callLater(at_s, fleet.believe, number, victim, MemberStatus.DEAD, 9)

    def _doubt(self, one, other):
        fleet = self.fleet
        if other not in fleet.members or one not in fleet.members:
            return
        fleet.believe(one, other, MemberStatus.DEAD, 1)
        fleet.clock.callLater(self.rng.uniform(0.01, 0.5), self._trust, one, other)

    def _trust(self, one, other):
        if other in self.fleet.members:
            self.fleet.believe(one, other, MemberStatus.ALIVE, 2)

    # ---- judgement -------------------------------------------------------------------------------

    def play(self):
        """Let it run to its end, and return what went wrong."""
        self.fleet.run(LAST_FAULT_S)
        self.is_disturbed = False
        while self.fleet.clock.seconds() < self.begun_s + 2 * DEADLINE_S + 2.0:
            self.fleet.run(0.5)
            if all(self._is_over(client) for client in self.fleet.clients):
                break
            if self.fleet.sent > MAX_DATAGRAMS:
                return [f"{self.fleet.sent} datagrams within {self.fleet.clock.seconds():.1f} s"]
        return [problem for client in self.fleet.clients for problem in self._problems(client)]

    def _is_over(self, client):
        return client.ended_s is not None and all(ask.ends or ask.is_lost for ask in client.asks)

    def _problems(self, client):
        runs = self.fleet.runs[client.key]
        if client.kind == "pay" and runs > 1:
            yield f"{client.key} ran {runs} times"
        for ask in client.asks:
            if ask.is_lost:
                continue
            if len(ask.ends) != 1:
                yield f"{client.key} has {len(ask.ends)} ends at {ask.number}, asked at {ask.at_s:.3f}: {ask.ends}"
            elif ask.ends[0][0] > ask.deadline_s + TIMER_S:
                yield f"{client.key} has its end at {ask.number} after its deadline: {ask.ends}"
        yield from self._late(client)

    def _late(self, client):
        """A client that lost its instance, and has no end in time after it came back and the last fault was over."""
        killed_s = self.fleet.killed_s
        if killed_s is None or not any(ask.is_lost for ask in client.asks):
            return
        returned_s = next((ask.at_s for ask in client.asks if ask.at_s > killed_s), None)
        if returned_s is None:
            return
        faults_end_s = self.begun_s + LAST_FAULT_S if self.left.keys() - {"kill"} else 0.0
        due_s = max(returned_s, killed_s + DETECTION_S, faults_end_s) + TAKEOVER_S + REPLY_S
        if client.ended_s is None or client.ended_s > due_s:
            took_s = (client.ended_s or float("inf")) - killed_s
            back_s = returned_s - killed_s
            yield f"{client.key} ({client.kind}), back {back_s:.3f} s after the kill, ended at {took_s:.3f} s"
