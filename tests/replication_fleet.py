"""Several instances with real replication and request tables, and their clients, on one simulated clock.

Each instance has a `ReplicationService`, a `RequestTable` with its `Controller`, and `DirectRequests`. Only endpoints,
membership and network are simulated: a seed or a test chooses which datagrams are lost, delayed or duplicated, which
instance is killed, and the membership view of each instance. Clients retry at another instance when their instance is
killed or rejects their request.
"""

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
WINDOW_S = 5.0  # of the class whose deduplication window ends before its deadline
SERVICE_S = 0.005  # duration of an attempt
TRANSIT_S = 0.0005  # duration of a datagram's transit
ENDPOINTS = EndpointList(tuple(Endpoint(f"10.0.0.{n}:80", "", 0, EndpointStatus.READY) for n in range(4)))
NO_ENDPOINTS = EndpointList(())
READ_S = 0.0001  # from the end of a stop until the sockets are read
START_MS = 1e6  # initial time of the clock
CLASSES = (
    RequestClass("pay", 4000, DEADLINE_S * 1000, 3.0, Idempotency.NON_IDEMPOTENT),
    RequestClass("order", 4000, DEADLINE_S * 1000, 2.0, Idempotency.KEYED, deduplication_window_ms=20_000),
    RequestClass("ticket", 4000, DEADLINE_S * 1000, 2.0, Idempotency.KEYED, deduplication_window_ms=WINDOW_S * 1000),
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
    """Timer of one process, which fires late if the process is stopped."""

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
    """Timers of one process: none fires after its death, and those that expire while it is stopped fire afterwards."""

    def __init__(self, clock):
        self.clock, self.is_dead, self.stopped_until_s = clock, False, 0.0

    def seconds(self):
        return self.clock.seconds()

    def callLater(self, delay_s, call, *arguments, **more):
        return Timer(self, delay_s, partial(call, *arguments, **more))


class Membership:
    """Membership view of one instance."""

    def __init__(self, count):
        self.rows = {n: MemberRow(n, 1, 0, MemberStatus.ALIVE) for n in range(count)}

    def alive(self):
        return [number for number, row in self.rows.items() if row.status <= MemberStatus.SUSPECT]


class Exchange:
    """Attempt at an endpoint; once sent it is executed, even if its sender is killed."""

    def __init__(self, cluster, member, data, timeout_s, on_end, may_start):
        self._cluster, self._member, self._on_end, self._may_start = cluster, member, on_end, may_start
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
        self._cluster.runs[self._key] += 1
        self._cluster.log(f"{self._key} is executed by {self._member.number}")
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
    """Instance of the simulated cluster."""

    def __init__(self, cluster, number, count):
        self.number, self.cluster = number, cluster
        self.is_mute = False  # whether its attempts are executed without a response
        self.is_refused = False  # whether endpoints refuse its connections
        self.connect_s = 0.0  # duration of connecting to an endpoint
        self.reactor = Reactor(cluster.clock)
        self.membership = Membership(count)
        settings = settings_of(number, count)
        config = Config(settings, (), {}, "", lease_ms=LEASE_MS, members_ms=100.0)
        self.table = RequestTable(Controller(settings, number), cluster.now_ms, self.reactor)
        self.direct_requests = DirectRequests(self.table, self, f"life{number}", ())
        self.replication = ReplicationService(
            self.reactor,
            cluster.now_ms,
            lambda receiver, data: cluster.send(number, receiver, data),
            get_logger().bind() if cluster.is_logging else NullLog(),
            config,
            1,
            self.membership,
        )
        self.replication.attach(
            self.table, self.direct_requests, DelegatedRequests(self.table, self.reactor, f"life{number}")
        )
        self.table.update_endpoints(ENDPOINTS)

    def request(self, endpoint, data, timeout_s, on_end, head_only=False, may_start=lambda: True):
        """Send a request to an endpoint, as the connection pool does."""
        return Exchange(self.cluster, self, data, timeout_s, on_end, may_start)

    def update_view(self, *rows):
        changes = [MemberChange(row, self.membership.rows.get(row.number)) for row in rows]
        self.membership.rows.update((row.number, row) for row in rows)
        self.replication.on_member_changes(changes)


class NullLog:
    """Log that discards all events."""

    def info(self, event, **fields):
        """Discard an event."""


class ClientRequest:
    """Request of a client at one instance, with its outcomes there."""

    def __init__(self, number, at_s):
        self.number, self.at_s, self.deadline_s, self.outcomes = number, at_s, at_s + DEADLINE_S, []
        self.is_lost = False  # whether its instance was killed before the outcome


class Client:
    """Client that sends one request, with the same identity at each instance, until its outcome is no rejection."""

    def __init__(self, cluster, key, kind, choose_retry):
        """Initialize; `choose_retry(client)` returns the delay and the instance of the next retry, or None."""
        self.cluster, self.key, self.kind, self.choose_retry = cluster, key, kind, choose_retry
        self.requests, self.ended_s = [], None

    def send(self, number):
        cluster = self.cluster
        if number not in cluster.members:
            self._retry()
            return
        request = ClientRequest(number, cluster.clock.seconds())
        self.requests.append(request)
        cluster.log(f"{self.key} is sent to {number}")
        direct_request = DirectRequest("POST", f"/{self.kind}", {"x-idempotency-key": self.key}, b"")
        deadline_ms = cluster.now_ms() + DEADLINE_S * 1000
        terms = RequestTerms("customer", self.kind, "wide", deadline_ms)
        cluster.members[number].direct_requests.accept(
            direct_request, lambda response: self._on_end(request, response), terms
        )

    def _on_end(self, request, response):
        cluster = self.cluster
        outcome = "rejected" if response.is_rejected else "served" if response.message is not None else "failed"
        cluster.log(f"{self.key} is {outcome} at {request.number} {response.reason}")
        request.outcomes.append((cluster.clock.seconds(), outcome, response.reason))
        if self.ended_s is not None or len(request.outcomes) > 1:
            return
        if outcome == "rejected":
            self._retry()
        else:
            self.ended_s = cluster.clock.seconds()

    def killed(self, number):
        for request in self.requests:
            if request.number == number and not request.outcomes:
                request.is_lost = True
                self._retry()

    def _retry(self):
        chosen = self.choose_retry(self)
        if chosen is not None:
            self.cluster.clock.callLater(chosen[0], self.send, chosen[1])


class SimulatedCluster:
    """All instances of a cluster.

    `delays(sender, receiver, messages)` returns the transit times of the copies of a datagram, none for a lost one.
    """

    def __init__(self, count=4, delays=None, is_logging=False):
        self.clock, self.runs, self.clients, self.log_lines = Clock(), Counter(), [], []
        self.delays = delays or (lambda sender, receiver, messages: (TRANSIT_S,))
        self.is_logging, self.killed_s, self.sent = is_logging, None, 0
        self.members = {n: Member(self, n, count) for n in range(count)}
        for number, member in self.members.items():
            rows = [row for row in member.membership.rows.values() if row.number != number]
            member.update_view(*rows)
        self.run(1.0)

    def now_ms(self):
        return START_MS + self.clock.seconds() * 1000

    def log(self, text):
        self.log_lines.append(f"{self.clock.seconds():.4f} {text}")

    def run(self, seconds):
        """Advance the clock from event to event."""
        until_s = self.clock.seconds() + seconds
        while self.clock.calls and self.clock.calls[0].getTime() <= until_s:
            self.clock.advance(max(0.0, self.clock.calls[0].getTime() - self.clock.seconds()))
        self.clock.advance(max(0.0, until_s - self.clock.seconds()))

    def send(self, sender, receiver, data):
        self.sent += 1
        for delay_s in self.delays(sender, receiver, messages_of(data)):
            self.clock.callLater(delay_s, self._deliver, sender, receiver, data)

    def _deliver(self, sender, receiver, data):
        member = self.members.get(receiver)
        if member is None:
            return
        stopped_s = member.reactor.stopped_until_s - self.clock.seconds()
        if stopped_s > 0:  # read after the late timers, as in the event loop
            self.clock.callLater(stopped_s + READ_S, self._deliver, sender, receiver, data)
        else:
            member.replication.receive(sender, 1, data)

    def client(self, key, kind, choose_retry):
        client = Client(self, key, kind, choose_retry)
        self.clients.append(client)
        return client

    def kill(self, number):
        self.log(f"{number} is killed")
        self.killed_s = self.clock.seconds()
        self.members.pop(number).reactor.is_dead = True
        for client in self.clients:
            client.killed(number)

    def update_view(self, number, other, status, swim_incarnation=0):
        """Change the status of another instance in the view of one instance."""
        if number in self.members:
            self.log(f"{number} considers {other} {status.name}")
            self.members[number].update_view(MemberRow(other, 1, swim_incarnation, status))


def messages_of(data):
    message = decode(data)
    return unbundle(message) if isinstance(message, Bundle) else [message]


# ---- searches ------------------------------------------------------------------------------------

# Sum of these: time within which a returned client gets an outcome other than a rejection while two voters are alive.
DETECTION_S = LEASE_MS / 1000  # of the loss, by the membership or by the lease
TAKEOVER_S = 0.5  # by witness, new backup and voters, including one lost datagram of each
REPLY_S = 1.25  # longest interval between queries, as the reply may be lost once
TIMER_S = 0.05  # tolerated delay of an outcome after its deadline
MAX_DATAGRAMS = 5000  # of a schedule: eight clients with a few retries, and a few queries per second
KILL_S = 1.0  # after the start
LAST_FAULT_S = 2.0  # after the start, at the latest
VICTIM_STATES = ("queues", "is mute", "is busy", "refuses")  # state of the victim's requests when it is killed


class Schedule:
    """Clients of several identities, with faults chosen by a seed; `faults` maps each kind to its maximum number.

    kill: kills one instance; lose, twice: drop or duplicate datagrams; slow: delays datagrams to an instance for a
    while; stop: stops a process for a while; refuse: has endpoints refuse an instance's connections for a while; doubt:
    makes an instance falsely consider another one dead.
    """

    def __init__(self, seed, faults, count=4, clients=8, is_logging=False):
        self.rng = random.Random(seed)
        self.remaining_faults = {kind: self.rng.randrange(maximum + 1) for kind, maximum in faults.items()}
        self.slow_until_s = {}  # by instance
        self.is_disturbed = False
        self.cluster = SimulatedCluster(count, self._delays, is_logging)
        self.started_s = self.cluster.clock.seconds()
        self.victim = self.rng.randrange(count)
        self._schedule_requests(count, clients)
        self._plan_faults(count, "kill" in faults)

    def _delays(self, sender, receiver, messages):
        rng = self.rng
        transit_s = TRANSIT_S * rng.uniform(0.2, 4)
        if not self.is_disturbed:
            return (transit_s,)
        if self.cluster.clock.seconds() < self.slow_until_s.get(receiver, 0.0):
            transit_s += rng.uniform(0.0, 0.08)
        if self.remaining_faults.get("lose") and rng.random() < 0.1:
            self.remaining_faults["lose"] -= 1
            self.cluster.log(f"lost from {sender} to {receiver}: {messages}")
            return ()
        if self.remaining_faults.get("twice") and rng.random() < 0.1:
            self.remaining_faults["twice"] -= 1
            return transit_s, transit_s + rng.uniform(0.0, 0.3)
        return (transit_s,)

    def _at(self, seconds, call, *arguments):
        """Schedule a call, relative to the start."""
        self.cluster.clock.callLater(self.started_s + seconds - self.cluster.clock.seconds(), call, *arguments)

    def _schedule_requests(self, count, clients):
        """Schedule the requests of all clients, most of them at the instance that is killed later."""
        cluster, rng = self.cluster, self.rng
        state = rng.choice(VICTIM_STATES)
        victim = cluster.members[self.victim]
        if state == "queues":
            victim.table.update_endpoints(NO_ENDPOINTS)
        victim.is_mute, victim.is_refused = state == "is mute", state == "refuses"
        since_s = KILL_S - 0.03 if state == "is busy" else 0.0
        for number in range(clients):
            client = cluster.client(f"k{number}", rng.choice(("pay", "order")), self._choose_retry)
            instance = self.victim if rng.random() < 0.8 else rng.randrange(count)
            self._at(rng.uniform(since_s, KILL_S + 0.02), client.send, instance)
            if state == "queues" and rng.random() < 0.3:  # a duplicate at another instance before the outcome
                self._at(rng.uniform(0.0, KILL_S - 0.2), self._send_duplicate, client)

    def _send_duplicate(self, client):
        if client.ended_s is None and client.requests:
            client.send(self.rng.choice(sorted(self.cluster.members)))

    def _choose_retry(self, client):
        """Return the delay and the instance of a client's retry."""
        if client.ended_s is not None or self.cluster.clock.seconds() > self.started_s + DEADLINE_S:
            return None
        return self.rng.uniform(0.02, 1.0), self.rng.choice(sorted(self.cluster.members))

    # ---- faults ----------------------------------------------------------------------------------

    def _plan_faults(self, count, has_kill):
        rng = self.rng
        self._at(KILL_S - rng.uniform(0.0, 0.5), self._disturb)
        self._at(KILL_S, self._kill if has_kill else self._serve, self.victim)
        for kind in ("slow", "stop", "refuse"):
            for _ in range(self.remaining_faults.get(kind, 0)):
                duration_s = rng.uniform(0.05, 0.5)
                at_s = rng.uniform(KILL_S - 0.5, LAST_FAULT_S - 0.5)
                self._at(at_s, getattr(self, f"_{kind}"), rng.randrange(count), duration_s)
        for _ in range(self.remaining_faults.get("doubt", 0)):
            self._at(rng.uniform(0.5, LAST_FAULT_S - 0.5), self._doubt, *rng.sample(range(count), 2))

    def _disturb(self):
        self.is_disturbed = True

    def _serve(self, number):
        member = self.cluster.members[number]
        member.is_mute = member.is_refused = False
        member.table.update_endpoints(ENDPOINTS)

    def _slow(self, number, seconds):
        self.slow_until_s[number] = self.cluster.clock.seconds() + seconds

    def _stop(self, number, seconds):
        if number in self.cluster.members:
            self.cluster.log(f"{number} is stopped for {seconds:.3f} s")
            self.cluster.members[number].reactor.stopped_until_s = self.cluster.clock.seconds() + seconds

    def _refuse(self, number, seconds):
        if number in self.cluster.members and number != self.victim:
            self.cluster.log(f"{number} reaches no endpoint for {seconds:.3f} s")
            self.cluster.members[number].is_refused = True
            self.cluster.clock.callLater(seconds, self._accept_again, number)

    def _accept_again(self, number):
        self.cluster.members[number].is_refused = False

    def _kill(self, victim):
        cluster = self.cluster
        cluster.kill(victim)
        for number in cluster.members:
            at_s = self.rng.uniform(0.05, DETECTION_S)
            cluster.clock.callLater(at_s, cluster.update_view, number, victim, MemberStatus.DEAD, 9)

    def _doubt(self, one, other):
        cluster = self.cluster
        if other not in cluster.members or one not in cluster.members:
            return
        cluster.update_view(one, other, MemberStatus.DEAD, 1)
        cluster.clock.callLater(self.rng.uniform(0.01, 0.5), self._trust, one, other)

    def _trust(self, one, other):
        if other in self.cluster.members:
            self.cluster.update_view(one, other, MemberStatus.ALIVE, 2)

    # ---- checks ----------------------------------------------------------------------------------

    def play(self):
        """Run the schedule to its end, and return the problems found."""
        self.cluster.run(LAST_FAULT_S)
        self.is_disturbed = False
        while self.cluster.clock.seconds() < self.started_s + 2 * DEADLINE_S + 2.0:
            self.cluster.run(0.5)
            if all(self._is_over(client) for client in self.cluster.clients):
                break
            if self.cluster.sent > MAX_DATAGRAMS:
                return [f"{self.cluster.sent} datagrams within {self.cluster.clock.seconds():.1f} s"]
        return [problem for client in self.cluster.clients for problem in self._problems(client)]

    def _is_over(self, client):
        return client.ended_s is not None and all(request.outcomes or request.is_lost for request in client.requests)

    def _problems(self, client):
        runs = self.cluster.runs[client.key]
        if client.kind == "pay" and runs > 1:
            yield f"{client.key} was executed {runs} times"
        for request in client.requests:
            if request.is_lost:
                continue
            if len(request.outcomes) != 1:
                yield (
                    f"{client.key} has {len(request.outcomes)} outcomes at {request.number}, "
                    f"sent at {request.at_s:.3f}: {request.outcomes}"
                )
            elif request.outcomes[0][0] > request.deadline_s + TIMER_S:
                yield f"{client.key} has an outcome at {request.number} after its deadline: {request.outcomes}"
        yield from self._late(client)

    def _late(self, client):
        """Yield a problem if a killed instance's client gets no outcome in time after its retry and the last fault."""
        killed_s = self.cluster.killed_s
        if killed_s is None or not any(request.is_lost for request in client.requests):
            return
        returned_s = next((request.at_s for request in client.requests if request.at_s > killed_s), None)
        if returned_s is None:
            return
        faults_end_s = self.started_s + LAST_FAULT_S if self.remaining_faults.keys() - {"kill"} else 0.0
        limit_s = max(returned_s, killed_s + DETECTION_S, faults_end_s) + TAKEOVER_S + REPLY_S
        if client.ended_s is None or client.ended_s > limit_s:
            took_s = (client.ended_s or float("inf")) - killed_s
            returned_after_s = returned_s - killed_s
            yield (
                f"{client.key} ({client.kind}), returned {returned_after_s:.3f} s after the kill, "
                f"ended after {took_s:.3f} s"
            )
