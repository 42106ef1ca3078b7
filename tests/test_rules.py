"""Seeded random event sequences against the controller, with an independent check of the five rules of the platform.

1. Each request gets one final answer by its deadline, and no attempt after it.
2. A request that may have been executed is sent again, or rejected as safe to retry, only as its idempotency allows.
3. No attempt goes to an endpoint that is not ready.
4. An endpoint that is warming up gets no more attempts than its current capacity allows.
5. No customer exceeds the ceiling of its plan.
"""

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

TICK_MS, DRAIN_GRACE_MS, ANSWER_SLACK_MS = 4.0, 250.0, 16.0


def settings(number=0, gateways=3, **overrides):
    """Settings with every kind of idempotency, deduplication scope and plan."""
    values = dict(
        gateways=gateways,
        number=number,
        zone="z0",
        tick_ms=TICK_MS,
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
    values.update(overrides)
    return Settings(**values)


class RuleChecker:
    """Keeps its own record of attempts and answers, and fails an assertion at the first violation of a rule."""

    def __init__(self, configuration):
        self.configuration = configuration
        self.classes = {request_class.name: request_class for request_class in configuration.classes}
        self.plans = {plan.name: plan for plan in configuration.plans}
        self.open_requests, self.attempts, self.never_executed, self.ended = {}, {}, {}, set()
        self.ceiling_levels = {}

    def record_arrival(self, gateway, arrival):
        self.open_requests[arrival.id] = (gateway, arrival)
        self.attempts[arrival.id], self.never_executed[arrival.id] = [], set()

    def record_failure(self, gateway):
        for number in [n for n, (owner, _) in self.open_requests.items() if owner == gateway]:
            del self.open_requests[number]
            self.ended.add(number)

    def uncertain_attempts(self, number):
        return [record for n, record in enumerate(self.attempts[number]) if n not in self.never_executed[number]]

    def check_attempt(self, now, number, endpoint, not_ready_since_ms):
        assert number in self.open_requests, f"rule 1: request {number} was sent after its end"
        _, arrival = self.open_requests[number]
        request_class, plan = self.classes[arrival.class_name], self.plans[arrival.plan_name]
        assert not_ready_since_ms is None or now <= not_ready_since_ms + DRAIN_GRACE_MS, (
            "rule 3: sent to an endpoint that is not ready"
        )
        uncertain = self.uncertain_attempts(number)
        if request_class.idempotency is Idempotency.NON_IDEMPOTENT:
            assert not uncertain, "rule 2: a non-idempotent request was sent twice"
        if request_class.idempotency is Idempotency.KEYED and uncertain:
            first_ms, first = uncertain[0]
            assert now - first_ms <= request_class.deduplication_window_ms, (
                "rule 2: sent after the deduplication window"
            )
            if request_class.deduplication_scope is DeduplicationScope.CELL:
                assert first.cell == endpoint.cell, "rule 2: sent to another cell"
            if request_class.deduplication_scope is DeduplicationScope.ZONE:
                assert first.zone == endpoint.zone, "rule 2: sent to another zone"
        if not self.attempts[number] and plan.ceiling_per_s:
            units, at = self.ceiling_levels.get(arrival.customer, (plan.ceiling_burst, now))
            units = min(plan.ceiling_burst, units + (now - at) / 1000 * plan.ceiling_per_s) - arrival.units
            assert units >= -plan.ceiling_slack - 1e-6, f"rule 5: {arrival.customer} at {units}"
            self.ceiling_levels[arrival.customer] = (units, now)
        self.attempts[number].append((now, endpoint))

    def check_answer(self, now, number, rejected):
        _, arrival = self.open_requests.pop(number)
        request_class = self.classes[arrival.class_name]
        assert now <= arrival.deadline_at_ms + ANSWER_SLACK_MS, "rule 1: answered after the deadline"
        if rejected and self.uncertain_attempts(number):
            assert request_class.idempotency is Idempotency.IDEMPOTENT, (
                "rule 2: rejected as safe to retry, but may have been executed"
            )
        self.ended.add(number)


class SimulatedCluster:
    """A few gateways, endpoints with random results, and a network that loses, delays and duplicates messages."""

    def __init__(
        self, seed, gateways=3, failure_rate=0.0005, loss_rate=0.3, rate_per_s=120, view_change_rate=0.0, **overrides
    ):
        self.rng = random.Random(seed)
        self.overrides = overrides
        self.configuration = settings(gateways=gateways, **overrides)
        self.checker = RuleChecker(self.configuration)
        self.loss_rate, self.failure_rate, self.rate_per_s, self.view_change_rate = (
            loss_rate,
            failure_rate,
            rate_per_s,
            view_change_rate,
        )
        self.now, self.serial, self.scheduled, self.log = 1000.0, 0, [], []
        self.pending_events = {n: [] for n in range(gateways)}
        self.endpoints = [Endpoint(f"s{n}", f"z{n % 2}", n % 4, EndpointStatus.READY) for n in range(8)]
        self.not_ready_since_ms = {n: {} for n in range(gateways)}
        self.incarnations = {n: 0 for n in range(gateways)}
        self.gateways, self.attempts_in_flight, self.streaming = {}, {}, set()
        self.warming_up_attempts = {}
        for n in range(gateways):
            self.start(n)

    def start(self, n):
        """Start a gateway, as a new process without state."""
        self.incarnations[n] += 1
        configuration = settings(number=n, gateways=len(self.incarnations), **self.overrides)
        self.gateways[n] = Controller(configuration, self.rng.randrange(1 << 30))
        self.pending_events[n] = [EndpointList(tuple(self.endpoints))]
        self.not_ready_since_ms[n] = {s.id: self.now for s in self.endpoints if s.status is not EndpointStatus.READY}

    def schedule(self, delay_ms, gateway, event):
        """Schedule an event of a gateway."""
        self.serial += 1
        heapq.heappush(self.scheduled, (self.now + delay_ms, self.serial, gateway, self.incarnations[gateway], event))

    def change_endpoint(self):
        """Move one endpoint to its next status, and send the change to all gateways."""
        n = self.rng.randrange(len(self.endpoints))
        old = self.endpoints[n]
        status = {
            EndpointStatus.READY: EndpointStatus.DRAINING,
            EndpointStatus.DRAINING: EndpointStatus.REMOVED,
            EndpointStatus.REMOVED: EndpointStatus.READY,
        }[old.status]
        started = self.now if status is EndpointStatus.READY else old.started_ms
        self.endpoints[n] = Endpoint(old.id, old.zone, old.cell, status, 1.0, started)
        for gateway in self.gateways:
            self.pending_events[gateway].append(EndpointList((self.endpoints[n],), complete=False))
            if status is EndpointStatus.READY:
                self.not_ready_since_ms[gateway].pop(old.id, None)
            else:
                self.not_ready_since_ms[gateway].setdefault(old.id, self.now)

    def change_unreachable_peers(self):
        """One gateway considers some others unreachable, rightly or not."""
        n = self.rng.randrange(len(self.gateways))
        others = [other for other in self.gateways if other != n]
        self.pending_events[n].append(
            PeersUnreachable(frozenset(self.rng.sample(others, self.rng.randrange(len(others) + 1))))
        )

    def add_arrival(self):
        """Let a random request arrive."""
        gateway = self.rng.randrange(len(self.gateways))
        self.serial += 1
        request_class = self.rng.choice(self.configuration.classes)
        plan = self.rng.choice(self.configuration.plans)
        spread = self.rng.choice((2, len(self.gateways)))
        customer = f"{plan.name}-{self.rng.randrange(4 if plan.max_in_flight else 1)}-{spread}"
        first = gateway if spread == len(self.gateways) else 0
        if spread == 2:
            gateway = self.rng.randrange(2)
        deadline_at_ms = self.now + request_class.deadline_ms * self.rng.uniform(0.05, 1)
        arrival = Arrival(
            self.serial,
            customer,
            request_class.name,
            plan.name,
            deadline_at_ms,
            self.rng.choice((1, 1, 2, 4)),
            0 if spread == 2 else first * 0,
            spread,
        )
        self.checker.record_arrival(gateway, arrival)
        self.pending_events[gateway].append(arrival)

    def perform(self, n, action):
        """Carry out an action of a gateway, with a random result."""
        if isinstance(action, StartAttempt):
            endpoint = next(s for s in self.endpoints if s.id == action.endpoint)
            self.checker.check_attempt(self.now, action.id, endpoint, self.not_ready_since_ms[n].get(endpoint.id))
            attempt = len(self.checker.attempts[action.id]) - 1
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
            duration_ms = min(self.rng.expovariate(1 / 150), action.timeout_ms)
            duration_ms = action.timeout_ms if result is AttemptResult.TIMEOUT else duration_ms
            self.attempts_in_flight[action.id, attempt] = (n, endpoint, self.now)
            streamed = self.checker.classes[self.checker.open_requests[action.id][1].class_name].streamed
            if streamed and result is AttemptResult.OK:
                self.schedule(duration_ms / 2, n, ResponseStarted(action.id, attempt, endpoint.id))
            self.schedule(duration_ms, n, (action.id, attempt, result))
        elif isinstance(action, (Reject, Fail)):
            if action.id in self.checker.open_requests:
                assert action.id not in self.streaming, "rule 1: a final answer after a streamed response had started"
                self.checker.check_answer(self.now, action.id, isinstance(action, Reject))
        elif isinstance(action, CancelAttempt):
            self.schedule(0.5, n, (action.id, action.attempt, AttemptResult.CANCELLED))
        elif isinstance(action, SetTimer):
            self.schedule(max(action.delay_ms, 1e-3), n, TimerFired(action.name))
        elif isinstance(action, SendToPeer):
            assert len(action.data) <= 256
            copies = 0 if self.rng.random() < self.loss_rate else self.rng.choice((1, 1, 1, 2))
            for _ in range(copies):
                data = action.data if self.rng.random() > 0.02 else action.data[: self.rng.randrange(20)]
                self.schedule(self.rng.expovariate(1 / 60), action.receiver, PeerMessage(n, data))

    def deliver(self, gateway, event):
        """Add a due event to the next batch of its gateway."""
        if not isinstance(event, tuple):
            if isinstance(event, ResponseStarted):
                if (
                    event.id not in self.checker.open_requests
                    or (event.id, event.attempt) not in self.attempts_in_flight
                ):
                    return
                self.streaming.add(event.id)
            self.pending_events[gateway].append(event)
            return
        number, attempt, result = event
        record = self.attempts_in_flight.pop((number, attempt), None)
        if record is None:
            return
        _, endpoint, sent_ms = record
        if result.never_executed:
            self.checker.never_executed[number].add(attempt)
        if number in self.checker.open_requests and (result is AttemptResult.OK or number in self.streaming):
            self.streaming.discard(number)
            deadline_at_ms = self.checker.open_requests[number][1].deadline_at_ms
            assert (
                self.now <= deadline_at_ms + ANSWER_SLACK_MS
                or self.checker.classes[self.checker.open_requests[number][1].class_name].streamed
            ), "rule 1: answered after the deadline"
            self.checker.open_requests.pop(number)
            self.checker.ended.add(number)
        final = number not in self.checker.open_requests
        self.pending_events[gateway].append(
            AttemptEnded(
                number,
                attempt,
                endpoint.id,
                self.now - sent_ms,
                result,
                final,
                self.rng.choice((0, 1, 3)),
                0,
                (0.5, 2.0),
            )
        )

    def run(self, duration_ms):
        """Let requests arrive for this time, then run until all have ended."""
        end = self.now + duration_ms
        while self.now < end or self.checker.open_requests:
            self.now += TICK_MS
            if self.now < end:
                while self.rng.random() < self.rate_per_s * TICK_MS / 1000 / (1 + self.rate_per_s * TICK_MS / 1000):
                    self.add_arrival()
                if self.rng.random() < 0.002:
                    self.change_endpoint()
                if self.rng.random() < self.failure_rate:
                    self.fail(self.rng.randrange(len(self.gateways)))
                if self.view_change_rate and self.rng.random() < self.view_change_rate:
                    self.change_unreachable_peers()
            while self.scheduled and self.scheduled[0][0] <= self.now:
                _, _, gateway, incarnation, event = heapq.heappop(self.scheduled)
                if isinstance(event, PeerMessage) or incarnation == self.incarnations[gateway]:
                    self.deliver(gateway, event)
            for n, controller in self.gateways.items():
                events, self.pending_events[n] = self.pending_events[n], []
                if events:
                    actions = controller.handle(self.now, events)
                    self.log.append((n, self.now, actions))
                    for action in actions:
                        self.perform(n, action)
            overdue = [
                n
                for n, (_, arrival) in self.checker.open_requests.items()
                if arrival.deadline_at_ms + ANSWER_SLACK_MS < self.now and n not in self.streaming
            ]
            assert not overdue, f"rule 1: no answer by the deadline of requests {overdue[:3]}"
            assert self.now < end + 60_000

    def fail(self, n):
        """End a gateway's process without notice, and start another."""
        self.checker.record_failure(n)
        self.attempts_in_flight = {key: record for key, record in self.attempts_in_flight.items() if record[0] != n}
        self.start(n)


@pytest.mark.parametrize("seed", range(6))
def test_rules_hold_over_random_schedules(seed):
    cluster = SimulatedCluster(seed, gateways=2 + seed % 3, loss_rate=(0.1, 0.5, 1.0)[seed % 3])
    cluster.run(20_000)
    assert len(cluster.checker.ended) > 1000
    assert sum(len(attempts) > 1 for attempts in cluster.checker.attempts.values()) > 20


def test_rules_hold_when_gateways_fail_often():
    cluster = SimulatedCluster(99, failure_rate=0.01, rate_per_s=300)
    cluster.run(15_000)
    assert max(cluster.incarnations.values()) > 5


def test_same_events_give_same_actions():
    first, second = SimulatedCluster(7), SimulatedCluster(7)
    first.run(4000)
    second.run(4000)
    assert first.log == second.log


@pytest.mark.parametrize("seed", range(3))
def test_an_endpoint_that_is_warming_up_gets_no_more_than_its_capacity_allows(seed):
    """Rule 4: all gateways together send an endpoint that has just started less than a ready one."""
    rng = random.Random(seed)
    gateways = {n: Controller(settings(number=n), rng.randrange(1 << 30)) for n in range(3)}
    now, serial, attempts, in_flight = 50_000.0, 0, [], []
    ready = [Endpoint(f"s{n}", "z0", 0, EndpointStatus.READY) for n in range(5)]
    warming_up = Endpoint("cold", "z0", 0, EndpointStatus.READY, 1.0, 52_000.0)
    while now < 56_000:
        now += TICK_MS
        for n, controller in gateways.items():
            events = []
            if now == 50_004.0:
                events.append(EndpointList(tuple(ready)))
            if now == 52_000.0:
                events.append(EndpointList((warming_up,), complete=False))
            if rng.random() < 0.12:
                serial += 1
                events.append(Arrival(serial, f"c{serial % 400}", "look", "rated", now + 1500, 1, 0, 3))
            while in_flight and in_flight[0][0] <= now and in_flight[0][1] == n:
                _, _, number, endpoint = heapq.heappop(in_flight)
                events.append(AttemptEnded(number, 0, endpoint, 120.0, AttemptResult.OK, True))
            for action in controller.handle(now, events):
                if isinstance(action, StartAttempt):
                    attempts.append((now, action.endpoint))
                    heapq.heappush(in_flight, (now + 120, n, action.id, action.endpoint))
        in_flight.sort()
    for start in range(52_000, 54_500, 100):
        endpoints = [endpoint for at_ms, endpoint in attempts if start <= at_ms < start + 1500]
        capacity_fraction = 0.25 + 0.75 * (start + 1500 - 52_000) / 8000
        attempts_per_endpoint = sum(endpoint != "cold" for endpoint in endpoints) / 5
        assert endpoints.count("cold") <= capacity_fraction * attempts_per_endpoint * 1.5 + 3
