"""Seeded random event sequences against the module, with an independent check of the five rules."""

import heapq
import random

import pytest

from anisefront.policy.actions import CancelAttempt, Fail, Reject, SendToPeer, SetTimer, StartAttempt
from anisefront.policy.controller import Controller
from anisefront.policy.events import (
    Arrival,
    AttemptEnded,
    AttemptResult,
    Endpoint,
    EndpointList,
    EndpointStatus,
    PeerMessage,
    PeersUnreachable,
    ResponseStarted,
    TimerFired,
)
from anisefront.policy.settings import DeduplicationScope, Idempotency, Plan, RequestClass, Settings

TICK, GRACE, SLACK = 4.0, 250.0, 16.0


def settings(number=0, gateways=3, **more):
    """Settings with every kind of repeat and plan."""
    values = dict(
        gateways=gateways,
        number=number,
        zone="z0",
        tick_ms=TICK,
        classes=(
            RequestClass("look", 600, 1500, 2, Idempotency.IDEMPOTENT),
            RequestClass(
                "book",
                900,
                2500,
                4,
                Idempotency.KEYED,
                deduplication_scope=DeduplicationScope.CELL,
                deduplication_window_ms=1200,
            ),
            RequestClass(
                "hold",
                900,
                2500,
                4,
                Idempotency.KEYED,
                deduplication_scope=DeduplicationScope.ZONE,
                deduplication_window_ms=1200,
            ),
            RequestClass(
                "seat",
                900,
                2500,
                4,
                Idempotency.KEYED,
                deduplication_scope=DeduplicationScope.ALL,
                deduplication_window_ms=1200,
            ),
            RequestClass("debit", 900, 2500, 3, Idempotency.NON_IDEMPOTENT),
            RequestClass("feed", 900, 2500, 1, Idempotency.IDEMPOTENT, streamed=True),
        ),
        plans=(
            Plan("rated", 4, 12, 0, 1.0, 0.3, 0.1),
            Plan("capped", 8, 16, 0, 1.5, 0.5, 0.1, ceiling_per_s=16, ceiling_burst=32, ceiling_slack=4),
            Plan("open", max_in_flight=4, priority_multiplier=1.2, over_quota_cost=1.0),
        ),
        warm_up_ms=8000,
        slow_start_initial_factor=0.25,
        overload_multiple=3,
        overload_window_ms=1500,
        max_attempts=4,
        max_units=4,
        peer_messages_enabled=True,
        hedging_enabled=True,
        postpaid=True,
        max_retry_after_ms=1000,
        inbox_per_s=60,
        load_report_mode="answers",
        load_report_fields=("util", "inflight"),
    )
    values.update(more)
    return Settings(**values)


class Checker:
    """Keeps its own books of what was sent and answered; raises at the first broken rule."""

    def __init__(self, config):
        self.config = config
        self.kinds = {kind.name: kind for kind in config.classes}
        self.plans = {plan.name: plan for plan in config.plans}
        self.open, self.sent, self.proved, self.done = {}, {}, {}, set()
        self.ceilings = {}

    def arrival(self, gateway, arrival):
        self.open[arrival.id] = (gateway, arrival)
        self.sent[arrival.id], self.proved[arrival.id] = [], set()

    def killed(self, gateway):
        for number in [n for n, (owner, _) in self.open.items() if owner == gateway]:
            del self.open[number]
            self.done.add(number)

    def unproved(self, number):
        return [entry for n, entry in enumerate(self.sent[number]) if n not in self.proved[number]]

    def send(self, now, number, server, drained_ms):
        assert number in self.open, f"rule 1: {number} sent after its end"
        _, arrival = self.open[number]
        kind, plan = self.kinds[arrival.class_name], self.plans[arrival.plan_name]
        assert drained_ms is None or now <= drained_ms + GRACE, "rule 3: sent to a draining server"
        loose = self.unproved(number)
        if kind.idempotency is Idempotency.NON_IDEMPOTENT:
            assert not loose, "rule 2: an unsafe request went out twice"
        if kind.idempotency is Idempotency.KEYED and loose:
            first_ms, first = loose[0]
            assert now - first_ms <= kind.deduplication_window_ms, "rule 2: past the window"
            if kind.deduplication_scope is DeduplicationScope.CELL:
                assert first.cell == server.cell, "rule 2: another cell"
            if kind.deduplication_scope is DeduplicationScope.ZONE:
                assert first.zone == server.zone, "rule 2: another zone"
        if not self.sent[number] and plan.ceiling_per_s:
            level, at = self.ceilings.get(arrival.customer, (plan.ceiling_burst, now))
            level = min(plan.ceiling_burst, level + (now - at) / 1000 * plan.ceiling_per_s) - arrival.units
            assert level >= -plan.ceiling_slack - 1e-6, f"rule 5: {arrival.customer} at {level}"
            self.ceilings[arrival.customer] = (level, now)
        self.sent[number].append((now, server))

    def answer(self, now, number, refused):
        _, arrival = self.open.pop(number)
        kind = self.kinds[arrival.class_name]
        assert now <= arrival.deadline_at_ms + SLACK, "rule 1: late"
        if refused and self.unproved(number):
            all_of_them = kind.idempotency is Idempotency.KEYED and kind.deduplication_scope is DeduplicationScope.ALL
            assert kind.idempotency is Idempotency.IDEMPOTENT or all_of_them, "rule 2: refused though it may have run"
        self.done.add(number)


class Town:
    """A few gateways, servers that act at random, and a network that loses, delays and repeats."""

    def __init__(self, seed, gateways=3, kill=0.0005, loss=0.3, rate=120, views=0.0, **more):
        self.rng = random.Random(seed)
        self.more = more
        self.config = settings(gateways=gateways, **more)
        self.checker = Checker(self.config)
        self.loss, self.kill, self.rate, self.views = loss, kill, rate, views
        self.now, self.serial, self.queue, self.log = 1000.0, 0, [], []
        self.inbox = {n: [] for n in range(gateways)}
        self.fleet = [Endpoint(f"s{n}", f"z{n % 2}", n % 4, EndpointStatus.READY) for n in range(8)]
        self.learned = {n: {} for n in range(gateways)}
        self.life = {n: 0 for n in range(gateways)}
        self.gateways, self.tries, self.streams = {}, {}, set()
        self.cold_sent = {}
        for n in range(gateways):
            self.start(n)

    def start(self, n):
        self.life[n] += 1
        config = settings(number=n, gateways=len(self.life), **self.more)
        self.gateways[n] = Controller(config, self.rng.randrange(1 << 30))
        self.inbox[n] = [EndpointList(tuple(self.fleet))]
        self.learned[n] = {s.id: self.now for s in self.fleet if s.status is not EndpointStatus.READY}

    def later(self, delay, gateway, event):
        self.serial += 1
        heapq.heappush(self.queue, (self.now + delay, self.serial, gateway, self.life[gateway], event))

    def change_fleet(self):
        n = self.rng.randrange(len(self.fleet))
        old = self.fleet[n]
        flip = {
            EndpointStatus.READY: EndpointStatus.DRAINING,
            EndpointStatus.DRAINING: EndpointStatus.REMOVED,
            EndpointStatus.REMOVED: EndpointStatus.READY,
        }[old.status]
        started = self.now if flip is EndpointStatus.READY else old.started_ms
        self.fleet[n] = Endpoint(old.id, old.zone, old.cell, flip, 1.0, started)
        for gateway in self.gateways:
            self.inbox[gateway].append(EndpointList((self.fleet[n],), complete=False))
            if flip is EndpointStatus.READY:
                self.learned[gateway].pop(old.id, None)
            else:
                self.learned[gateway].setdefault(old.id, self.now)

    def change_view(self):
        """One gateway takes some others for gone, rightly or not."""
        n = self.rng.randrange(len(self.gateways))
        others = [other for other in self.gateways if other != n]
        self.inbox[n].append(PeersUnreachable(frozenset(self.rng.sample(others, self.rng.randrange(len(others) + 1)))))

    def arrive(self):
        gateway = self.rng.randrange(len(self.gateways))
        self.serial += 1
        kind = self.rng.choice(self.config.classes)
        plan = self.rng.choice(self.config.plans)
        spread = self.rng.choice((2, len(self.gateways)))
        customer = f"{plan.name}-{self.rng.randrange(4 if plan.max_in_flight else 1)}-{spread}"
        first = gateway if spread == len(self.gateways) else 0
        if spread == 2:
            gateway = self.rng.randrange(2)
        due = self.now + kind.deadline_ms * self.rng.uniform(0.05, 1)
        arrival = Arrival(
            self.serial,
            customer,
            kind.name,
            plan.name,
            due,
            self.rng.choice((1, 1, 2, 4)),
            0 if spread == 2 else first * 0,
            spread,
        )
        self.checker.arrival(gateway, arrival)
        self.inbox[gateway].append(arrival)

    def act(self, n, action):
        if isinstance(action, StartAttempt):
            server = next(s for s in self.fleet if s.id == action.endpoint)
            self.checker.send(self.now, action.id, server, self.learned[n].get(server.id))
            attempt = len(self.checker.sent[action.id]) - 1
            result = self.rng.choices(
                [
                    AttemptResult.OK,
                    AttemptResult.ERROR,
                    AttemptResult.OVERLOADED,
                    AttemptResult.TIMEOUT,
                    AttemptResult.CONNECT_FAILED,
                    AttemptResult.RESET,
                ],
                [70, 8, 8, 6, 4, 4],
            )[0]
            took = min(self.rng.expovariate(1 / 150), action.timeout_ms)
            took = action.timeout_ms if result is AttemptResult.TIMEOUT else took
            self.tries[action.id, attempt] = (n, server, self.now)
            streamed = self.checker.kinds[self.checker.open[action.id][1].class_name].streamed
            if streamed and result is AttemptResult.OK:
                self.later(took / 2, n, ResponseStarted(action.id, attempt, server.id))
            self.later(took, n, (action.id, attempt, result))
        elif isinstance(action, (Reject, Fail)):
            if action.id in self.checker.open:
                assert action.id not in self.streams, "rule 1: a started stream was ended"
                self.checker.answer(self.now, action.id, isinstance(action, Reject))
        elif isinstance(action, CancelAttempt):
            self.later(0.5, n, (action.id, action.attempt, AttemptResult.CANCELLED))
        elif isinstance(action, SetTimer):
            self.later(max(action.delay_ms, 1e-3), n, TimerFired(action.name))
        elif isinstance(action, SendToPeer):
            assert len(action.data) <= 256
            copies = 0 if self.rng.random() < self.loss else self.rng.choice((1, 1, 1, 2))
            for _ in range(copies):
                data = action.data if self.rng.random() > 0.02 else action.data[: self.rng.randrange(20)]
                self.later(self.rng.expovariate(1 / 60), action.receiver, PeerMessage(n, data))

    def deliver(self, gateway, event):
        if not isinstance(event, tuple):
            if isinstance(event, ResponseStarted):
                if event.id not in self.checker.open or (event.id, event.attempt) not in self.tries:
                    return
                self.streams.add(event.id)
            self.inbox[gateway].append(event)
            return
        number, attempt, result = event
        entry = self.tries.pop((number, attempt), None)
        if entry is None:
            return
        _, server, sent_ms = entry
        if result.never_executed:
            self.checker.proved[number].add(attempt)
        if number in self.checker.open and (result is AttemptResult.OK or number in self.streams):
            self.streams.discard(number)
            due = self.checker.open[number][1].deadline_at_ms
            assert self.now <= due + SLACK or self.checker.kinds[self.checker.open[number][1].class_name].streamed, (
                "rule 1: late"
            )
            self.checker.open.pop(number)
            self.checker.done.add(number)
        final = number not in self.checker.open
        self.inbox[gateway].append(
            AttemptEnded(
                number, attempt, server.id, self.now - sent_ms, result, final, self.rng.choice((0, 1, 3)), 0, (0.5, 2.0)
            )
        )

    def run(self, ms):
        end = self.now + ms
        while self.now < end or self.checker.open:
            self.now += TICK
            if self.now < end:
                while self.rng.random() < self.rate * TICK / 1000 / (1 + self.rate * TICK / 1000):
                    self.arrive()
                if self.rng.random() < 0.002:
                    self.change_fleet()
                if self.rng.random() < self.kill:
                    self.killed(self.rng.randrange(len(self.gateways)))
                if self.views and self.rng.random() < self.views:
                    self.change_view()
            while self.queue and self.queue[0][0] <= self.now:
                _, _, gateway, life, event = heapq.heappop(self.queue)
                if isinstance(event, PeerMessage) or life == self.life[gateway]:
                    self.deliver(gateway, event)
            for n, controller in self.gateways.items():
                events, self.inbox[n] = self.inbox[n], []
                if events:
                    actions = controller.handle(self.now, events)
                    self.log.append((n, self.now, actions))
                    for action in actions:
                        self.act(n, action)
            overdue = [
                n
                for n, (_, arrival) in self.checker.open.items()
                if arrival.deadline_at_ms + SLACK < self.now and n not in self.streams
            ]
            assert not overdue, f"rule 1: no answer for {overdue[:3]}"
            assert self.now < end + 60_000

    def killed(self, n):
        self.checker.killed(n)
        self.tries = {key: entry for key, entry in self.tries.items() if entry[0] != n}
        self.start(n)


@pytest.mark.parametrize("seed", range(6))
def test_rules_hold_over_random_days(seed):
    town = Town(seed, gateways=2 + seed % 3, loss=(0.1, 0.5, 1.0)[seed % 3])
    town.run(20_000)
    assert len(town.checker.done) > 1000
    assert sum(len(sent) > 1 for sent in town.checker.sent.values()) > 20


def test_rules_hold_when_gateways_die_all_the_time():
    town = Town(99, kill=0.01, rate=300)
    town.run(15_000)
    assert max(town.life.values()) > 5


def test_same_events_give_same_actions():
    first, second = Town(7), Town(7)
    first.run(4000)
    second.run(4000)
    assert first.log == second.log


@pytest.mark.parametrize("seed", range(3))
def test_cold_server_gets_no_more_than_its_warmth_allows(seed):
    """Rule 4: a server that starts is sent less than a warm one, by all gateways together, from the start."""
    rng = random.Random(seed)
    gateways = {n: Controller(settings(number=n), rng.randrange(1 << 30)) for n in range(3)}
    now, serial, sends, outs = 50_000.0, 0, [], []
    fleet = [Endpoint(f"s{n}", "z0", 0, EndpointStatus.READY) for n in range(5)]
    cold = Endpoint("cold", "z0", 0, EndpointStatus.READY, 1.0, 52_000.0)
    while now < 56_000:
        now += TICK
        for n, controller in gateways.items():
            events = []
            if now == 50_004.0:
                events.append(EndpointList(tuple(fleet)))
            if now == 52_000.0:
                events.append(EndpointList((cold,), complete=False))
            if rng.random() < 0.12:
                serial += 1
                events.append(Arrival(serial, f"c{serial % 400}", "look", "rated", now + 1500, 1, 0, 3))
            while outs and outs[0][0] <= now and outs[0][1] == n:
                _, _, number, server = heapq.heappop(outs)
                events.append(AttemptEnded(number, 0, server, 120.0, AttemptResult.OK, True))
            for action in controller.handle(now, events):
                if isinstance(action, StartAttempt):
                    sends.append((now, action.endpoint))
                    heapq.heappush(outs, (now + 120, n, action.id, action.endpoint))
        outs.sort()
    for start in range(52_000, 54_500, 100):
        window = [server for at, server in sends if start <= at < start + 1500]
        share = 0.25 + 0.75 * (start + 1500 - 52_000) / 8000
        warm = sum(server != "cold" for server in window) / 5
        assert window.count("cold") <= share * warm * 1.5 + 3
