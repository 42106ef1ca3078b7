"""Schedules of events for the controller, each drawn from one seed, and its decisions as stable lines of text.

Three instances run against simulated endpoints and send each other peer messages. Events and actions are plain tuples
of a tag and its values, whose texts are recorded. So the tags and the keys of the settings stay as they were recorded,
and only the adapter below uses names of the package. The lines contain floats by `repr`, so they depend on `sum` and on
the mathematical library of the Python in use.
"""

from __future__ import annotations

import hashlib
import heapq
import random
from collections import Counter
from dataclasses import dataclass

from anisefront.policy import actions as policy_actions
from anisefront.policy import events as policy_events
from anisefront.policy import settings as policy_settings
from anisefront.policy.controller import Controller
from anisefront.policy.peer_codec import QuotaMessageKind, decode

# ---- adapter: the only code here that uses names of the package ------------------------------------------------------

IDEMPOTENCIES = {
    "safe": policy_settings.Idempotency.IDEMPOTENT,
    "keyed": policy_settings.Idempotency.KEYED,
    "unsafe": policy_settings.Idempotency.NON_IDEMPOTENT,
}
SCOPES = {
    "all": policy_settings.DeduplicationScope.ALL,
    "zone": policy_settings.DeduplicationScope.ZONE,
    "cell": policy_settings.DeduplicationScope.CELL,
}
STATUSES = {
    "ready": policy_events.EndpointStatus.READY,
    "draining": policy_events.EndpointStatus.DRAINING,
    "gone": policy_events.EndpointStatus.REMOVED,
}
RESULTS = {
    "ok": policy_events.AttemptResult.OK,
    "error": policy_events.AttemptResult.ERROR,
    "full": policy_events.AttemptResult.OVERLOADED,
    "timeout": policy_events.AttemptResult.TIMEOUT,
    "connect_failed": policy_events.AttemptResult.CONNECT_FAILED,
    "reset": policy_events.AttemptResult.RESET,
    "cancelled": policy_events.AttemptResult.CANCELLED,
    "moot": policy_events.AttemptResult.DISCARDED,
}
REASONS = {
    policy_actions.RejectionReason.QUOTA: "quota",
    policy_actions.RejectionReason.CAPACITY: "capacity",
    policy_actions.RejectionReason.ATTEMPTS: "attempts",
    policy_actions.RejectionReason.INVALID: "unfit",
}
QUOTA_MESSAGE_KINDS = {
    QuotaMessageKind.REQUEST: "request",
    QuotaMessageKind.GRANT: "grant",
    QuotaMessageKind.QUEUED: "queued",
    QuotaMessageKind.DEBIT: "debit",
    QuotaMessageKind.REFUND: "refund",
    QuotaMessageKind.RETRY: "retry",
}


def make_class(
    name,
    latency_objective_ms,
    deadline_ms,
    priority_weight,
    idempotency,
    late_priority_weight,
    scope,
    window_ms,
    streamed,
    latency_objective_stretch,
):
    """Return a request class."""
    return policy_settings.RequestClass(
        name=name,
        latency_objective_ms=latency_objective_ms,
        deadline_ms=deadline_ms,
        priority_weight=priority_weight,
        idempotency=IDEMPOTENCIES[idempotency],
        late_priority_weight=late_priority_weight,
        deduplication_scope=SCOPES[scope],
        deduplication_window_ms=window_ms,
        streamed=streamed,
        latency_objective_stretch=latency_objective_stretch,
    )


def make_plan(
    name,
    rate_per_s,
    burst,
    max_in_flight,
    priority_multiplier,
    over_quota_multiplier,
    over_quota_cost,
    ceiling_per_s,
    ceiling_burst,
    ceiling_slack,
):
    """Return a plan."""
    return policy_settings.Plan(
        name=name,
        rate_per_s=rate_per_s,
        burst=burst,
        max_in_flight=max_in_flight,
        priority_multiplier=priority_multiplier,
        over_quota_multiplier=over_quota_multiplier,
        over_quota_cost=over_quota_cost,
        ceiling_per_s=ceiling_per_s,
        ceiling_burst=ceiling_burst,
        ceiling_slack=ceiling_slack,
    )


def make_settings(values):
    """Return the settings of one instance, from a dictionary with the recorded keys."""
    return policy_settings.Settings(
        gateways=values["instances"],
        number=values["number"],
        zone=values["zone"],
        classes=tuple(make_class(*row) for row in values["classes"]),
        plans=tuple(make_plan(*row) for row in values["plans"]),
        warm_up_ms=values["warm_up_ms"],
        slow_start_initial_factor=values["cold_from"],
        overload_multiple=values["fall_multiple"],
        overload_window_ms=values["fall_window_ms"],
        max_attempts=values["max_attempts"],
        tick_ms=values["tick_ms"],
        max_units=values["max_units"],
        cancellation_enabled=values["may_cancel"],
        peer_messages_enabled=values["may_tell"],
        probing_enabled=values["may_probe"],
        hedging_enabled=values["second_copies"],
        subscription_required=values["must_subscribe"],
        postpaid=values["settles"],
        max_retry_after_ms=values["max_retry_after_ms"],
        inbox_per_s=values["inbox_per_s"],
        poll_within_ms=values["ask_within_ms"],
        load_report_mode=values["report_how"],
        load_report_fields=values["report_fields"],
        cross_zone_price=values["cross_zone_price"],
        peer_message_price=values["peer_price"],
        max_customers=values["most_customers"],
        tag_key=values["tag_key"],
    )


def make_endpoint_list(endpoints, complete, failed):
    """Return an endpoint list; each endpoint is (id, zone, cell, status, weight, started_ms)."""
    rows = tuple(
        policy_events.Endpoint(
            id=name, zone=zone, cell=cell, status=STATUSES[status], weight=weight, started_ms=started_ms
        )
        for name, zone, cell, status, weight, started_ms in endpoints
    )
    return policy_events.EndpointList(endpoints=rows, complete=complete, failed=failed)


def make_arrival(
    request_id, customer, class_name, plan_name, deadline_at_ms, units, first, spread, is_retry, allows_hedging, prior
):
    """A request of a client; `prior` is None or (attempts, uncertain, endpoint, started_ms, quota_debited)."""
    prior_attempts = None
    if prior is not None:
        prior_attempts = policy_events.PriorAttempts(
            attempts=prior[0],
            uncertain=prior[1],
            endpoint=prior[2],
            started_ms=prior[3],
            quota_debited=prior[4],
        )
    return policy_events.Arrival(
        id=request_id,
        customer=customer,
        class_name=class_name,
        plan_name=plan_name,
        deadline_at_ms=deadline_at_ms,
        units=units,
        first_gateway=first,
        spread=spread,
        is_retry=is_retry,
        allows_hedging=allows_hedging,
        prior_attempts=prior_attempts,
    )


def make_response_started(request_id, attempt, endpoint):
    """Return the event that a streamed response has started."""
    return policy_events.ResponseStarted(id=request_id, attempt=attempt, endpoint=endpoint)


def make_attempt_ended(request_id, attempt, endpoint, duration_ms, result, final, actual_units, quota_use, load):
    """Return the event that an attempt has ended."""
    return policy_events.AttemptEnded(
        id=request_id,
        attempt=attempt,
        endpoint=endpoint,
        duration_ms=duration_ms,
        result=RESULTS[result],
        final=final,
        actual_units=actual_units,
        quota_use=quota_use,
        load=load,
    )


def make_client_disconnected(request_id):
    """Return the event that a client has disconnected."""
    return policy_events.ClientDisconnected(id=request_id)


def make_timer_fired(name):
    """Return the event that a timer has fired."""
    return policy_events.TimerFired(name=name)


def make_peer_message(sender, data):
    """Return the event that a peer message has arrived."""
    return policy_events.PeerMessage(sender=sender, data=data)


def make_peers_unreachable(numbers):
    """Return the event that these instances have failed or left."""
    return policy_events.PeersUnreachable(gateways=frozenset(numbers))


def make_probe_ended(endpoint, duration_ms, result, load):
    """Return the response to a probe."""
    return policy_events.ProbeEnded(endpoint=endpoint, duration_ms=duration_ms, result=RESULTS[result], load=load)


def make_counter_reply(name):
    """Return the response of the shared counter."""
    return policy_events.CounterReply(name=name)


EVENT_MAKERS = {
    "SETTINGS": make_settings,
    "FLEET": make_endpoint_list,
    "ARRIVAL": make_arrival,
    "STARTED": make_response_started,
    "OUTCOME": make_attempt_ended,
    "CLIENT_GONE": make_client_disconnected,
    "TIMER": make_timer_fired,
    "PEER": make_peer_message,
    "AWAY": make_peers_unreachable,
    "PROBED": make_probe_ended,
    "COUNTED": make_counter_reply,
}
ACTION_READERS = {
    policy_actions.StartAttempt: lambda action: (
        "ATTEMPT",
        action.id,
        action.endpoint,
        action.timeout_ms,
        action.start_within_ms,
    ),
    policy_actions.Reject: lambda action: ("REJECT", action.id, action.retry_after_ms, REASONS[action.reason]),
    policy_actions.Fail: lambda action: ("FAIL", action.id),
    policy_actions.CancelAttempt: lambda action: ("CANCEL", action.id, action.attempt),
    policy_actions.SetTimer: lambda action: ("SET_TIMER", action.delay_ms, action.name),
    policy_actions.SendToPeer: lambda action: ("PEER_MESSAGE", action.receiver, action.data),
    policy_actions.Subscribe: lambda action: ("SUBSCRIBE",),
}


def make_instance(values, seed):
    """Return the controller of one instance."""
    return Controller(make_settings(values), seed)


def decide(instance, now_ms, events):
    """Process one batch of plain events and return plain actions."""
    actions = instance.handle(now_ms, [EVENT_MAKERS[event[0]](*event[1:]) for event in events])
    return [ACTION_READERS[type(action)](action) for action in actions]


def quota_message_kinds(data):
    """Return the kinds of the quota messages in a peer message."""
    return [QUOTA_MESSAGE_KINDS[message.kind] for message in decode(data).quota_messages]


# ---- recorded lines ------------------------------------------------------------------------------------------------

TIMER_TAGS = ("TIMER", "SET_TIMER")  # their last value, the name of the timer, is opaque and not recorded


def format_value(value) -> str:
    """Return a value in a stable form."""
    if isinstance(value, bytes):
        return value.hex() or "-"
    if isinstance(value, str):
        return value or "-"
    if isinstance(value, dict):
        return "{" + " ".join(f"{key}={format_value(each)}" for key, each in value.items()) + "}"
    if isinstance(value, tuple):
        return "(" + " ".join(format_value(each) for each in value) + ")"
    return repr(value)


def format_line(item) -> str:
    """Return the line of a plain event or action, without the name of a timer."""
    values = item[:-1] if item[0] in TIMER_TAGS else item
    return " ".join(format_value(value) for value in values)


# ---- the schedule ---------------------------------------------------------------------------------------------------

SEEDS = tuple(range(1, 29))
READABLE_SEED = 7
READABLE_LINES = 1000
SIMULATED_INSTANCES = 3
RUN_MS = 30_000.0
IDLE_GAP_MS = 72_000.0  # time without requests in some schedules, so that idle customers are evicted
IDLE_GAP_SEEDS = (5, 11, 17)
OVERLOAD_SEEDS = (25, 26, 27, 28)  # overload by few classes, so that shares and concurrency limit apply
OVERLOAD_MS = 12_000.0  # duration of the arrivals in these schedules

CLASSES = (
    ("look", 300.0, 900.0, 1.0, "safe", 0.0, "all", 0.0, False, 0.0),
    ("deep", 900.0, 2500.0, 3.0, "safe", 0.5, "all", 0.0, False, 40.0),
    ("pay", 500.0, 2000.0, 5.0, "keyed", 0.2, "all", 700.0, False, 0.0),
    ("pay_zone", 700.0, 2200.0, 4.0, "keyed", 0.0, "zone", 1500.0, False, 0.0),
    ("pay_cell", 600.0, 1800.0, 4.0, "keyed", 0.1, "cell", 250.0, False, 0.0),
    ("write", 450.0, 1500.0, 6.0, "unsafe", 0.0, "all", 0.0, False, 0.0),
    ("stream", 400.0, 4000.0, 2.0, "safe", 0.3, "all", 0.0, True, 10.0),
    ("stream_once", 800.0, 3000.0, 2.0, "unsafe", 0.0, "all", 0.0, True, 0.0),
    ("idle", 200.0, 1500.0, 0.0, "safe", 0.0, "all", 0.0, False, 0.0),
)
ADDED_CLASS = ("added", 350.0, 1400.0, 7.0, "keyed", 0.0, "zone", 600.0, False, 0.0)
PLANS = (
    ("open", 0.0, 0.0, 0, 1.0, 0.0, 0.0, 0.0, 0.0, 0.0),
    ("rate", 4.0, 8.0, 0, 1.0, 0.0, 0.0, 0.0, 0.0, 0.0),
    ("wide", 20.0, 60.0, 0, 2.0, 0.0, 0.0, 0.0, 0.0, 0.0),
    ("slots", 0.0, 0.0, 2, 1.0, 0.0, 0.0, 0.0, 0.0, 0.0),
    ("rate_slots", 6.0, 10.0, 3, 1.5, 0.6, 0.1, 0.0, 0.0, 0.0),
    ("ceiling", 5.0, 20.0, 0, 1.0, 0.7, 0.1, 3.0, 6.0, 1.0),
    ("only_ceiling", 0.0, 0.0, 0, 1.0, 0.0, 0.0, 4.0, 5.0, 0.0),
    ("over", 2.0, 3.0, 0, 1.0, 0.5, 0.2, 0.0, 0.0, 0.0),
    ("over_dear", 2.0, 3.0, 0, 3.0, 0.1, 0.2, 0.0, 0.0, 0.0),
)
ADDED_PLAN = ("added", 3.0, 6.0, 1, 2.0, 0.4, 0.1, 0.0, 0.0, 0.0)
FAULTS = ("slow", "error", "full", "reset", "hang", "connect_failed", "timeout", "slow")
REPORT_FIELDS = ((), ("util",), ("inflight",), ("util", "inflight"))
LIST_FAULTS = ("lost", "draining", "restarted", "gone", "lost")


@dataclass
class Endpoint:
    """A simulated endpoint."""

    name: str
    zone: str
    cell: int
    weight: float
    started_ms: float
    response_ms: float
    capacity: int
    state: str = "ready"
    listed: bool = True
    fault: str = ""
    in_flight: int = 0


@dataclass
class Run:
    """Result of one schedule."""

    digest: str
    lines: int
    readable_lines: list[str]
    counts: Counter


class Schedule:
    """One schedule of events, drawn from its seed."""

    def __init__(self, seed: int) -> None:
        self.seed = seed
        self.rng = random.Random(seed * 7919)
        self.heap = []
        self.serial = 0
        self.next_id = 1
        self.now_ms = 0.0
        self.time_step_ms = (0.0, 1.0, 4.0)[seed % 3]
        self.open_requests = {}  # (arrival, instance), by request id
        self.attempts = {}  # (endpoint, start time) of each attempt, by request id
        self.in_flight = {}  # (endpoint, start time), by (instance, incarnation, request id, attempt)
        self.incarnations = [0] * SIMULATED_INSTANCES
        self.alive = [True] * SIMULATED_INSTANCES
        self.stalled_until_ms = [0.0] * SIMULATED_INSTANCES
        self.muted_until_ms = [0.0] * SIMULATED_INSTANCES
        self.hash = hashlib.sha256()
        self.lines = 0
        self.readable_lines = []
        self.counts = Counter()
        self.end_ms = RUN_MS + (IDLE_GAP_MS if seed in IDLE_GAP_SEEDS else 0.0)
        self.draw_parameters()

    # -- drawing

    def draw_parameters(self) -> None:
        """Draw endpoints, customers and settings."""
        rng, seed = self.rng, self.seed
        self.instances = 5 if seed % 6 == 2 else SIMULATED_INSTANCES
        zones = ("z0", "z1", "z2")[: 1 + seed % 3]
        self.zones = zones
        count = rng.choice((4, 6, 9, 14))
        self.endpoints = [
            Endpoint(
                name=f"e{number}",
                zone=rng.choice(zones),
                cell=number % 3,
                weight=rng.choice((1.0, 1.0, 2.0, 0.5, 0.0)),
                started_ms=rng.choice((0.0, 0.0, 0.0, 1.0)),
                response_ms=rng.uniform(25.0, 120.0),
                capacity=rng.choice((3, 5, 8, 30)),
            )
            for number in range(count)
        ]
        self.by_name = {endpoint.name: endpoint for endpoint in self.endpoints}
        self.customers = [
            (f"c{number}", rng.choice(PLANS)[0], rng.randrange(self.instances), rng.choice((1, 2, 3, 3, 9)))
            for number in range(rng.choice((12, 40, 150)))
        ]
        self.rate_per_s = rng.choice((30.0, 45.0, 60.0))
        self.request_classes = CLASSES
        if seed in OVERLOAD_SEEDS:
            self.draw_overload()
        self.loss_rate = rng.choice((0.0, 0.03, 0.2))
        self.duplicate_rate = rng.choice((0.0, 0.05))
        self.delay_ms = rng.choice((2.0, 10.0, 60.0))
        self.values = {
            "instances": self.instances,
            "number": 0,
            "zone": zones[0],
            "classes": self.request_classes,
            "plans": PLANS,
            "warm_up_ms": rng.choice((0.0, 4000.0, 15000.0)),
            "cold_from": rng.choice((0.1, 0.3)),
            "fall_multiple": 2.0,
            "fall_window_ms": 500.0,
            "max_attempts": rng.choice((1, 2, 3, 4)),
            "tick_ms": rng.choice((1.0, 5.0)),
            "max_units": 8.0,
            "may_cancel": seed % 4 != 1,
            "may_tell": seed % 8 != 3,
            "may_probe": seed % 2 == 0,
            "second_copies": seed % 3 != 0,
            "must_subscribe": seed % 5 < 3,
            "settles": seed % 2 == 1,
            "max_retry_after_ms": rng.choice((0.0, 300.0, 5000.0)),
            "inbox_per_s": (0.0, 20.0, 60.0, 1000.0, 1000.0)[seed % 5],
            "ask_within_ms": rng.choice((2000.0, 10000.0)),
            "report_how": "header",
            "report_fields": REPORT_FIELDS[seed // 2 % 4],
            "cross_zone_price": 0.1,
            "peer_price": 0.01,
            "most_customers": 20 if seed % 7 == 3 else 200_000,
            "tag_key": b"" if seed % 2 else b"key of the fleet",
        }
        self.current = [self.values_of(number) for number in range(SIMULATED_INSTANCES)]
        self.controllers = [make_instance(self.current[number], seed + number) for number in range(SIMULATED_INSTANCES)]

    def draw_overload(self) -> None:
        """Draw few classes and endpoints, and many requests, most of them without a quota."""
        rng = self.rng
        self.request_classes = (*CLASSES[:3], CLASSES[5])
        self.rate_per_s = 130.0 + 30.0 * (self.seed % 4)
        del self.endpoints[5 + self.seed % 3 :]
        for endpoint in self.endpoints:
            endpoint.capacity = 30
            endpoint.response_ms = rng.uniform(40.0, 90.0)
            endpoint.weight = rng.choice((1.0, 2.0))
        self.by_name = {endpoint.name: endpoint for endpoint in self.endpoints}
        self.customers = [(name, rng.choice(("open", "open", plan)), *rest) for name, plan, *rest in self.customers]

    def values_of(self, number: int) -> dict:
        """Return the settings of one instance."""
        return {**self.values, "number": number, "zone": self.zones[number % len(self.zones)]}

    # -- the clock

    def schedule_event(self, at_ms: float, instance: int, item) -> None:
        """Schedule a plain event of an instance, or a function call for instance -1."""
        if self.time_step_ms and instance >= 0:
            at_ms = -(-at_ms // self.time_step_ms) * self.time_step_ms
        self.serial += 1
        incarnation = self.incarnations[instance] if instance >= 0 else 0
        heapq.heappush(self.heap, (max(at_ms, self.now_ms), instance, self.serial, incarnation, item))

    def schedule_call(self, at_ms: float, function, *values) -> None:
        """Schedule a call of a function."""
        self.schedule_event(at_ms, -1, (function, values))

    def record_line(self, line: str) -> None:
        """Record one line."""
        self.hash.update(line.encode() + b"\n")
        self.lines += 1
        if self.seed == READABLE_SEED and len(self.readable_lines) < READABLE_LINES:
            self.readable_lines.append(line)

    def run(self) -> Run:
        """Play the schedule."""
        self.schedule_all()
        while self.heap and self.heap[0][0] <= self.end_ms:
            at_ms, instance, _, incarnation, item = heapq.heappop(self.heap)
            self.now_ms = at_ms
            if instance < 0:
                item[0](*item[1])
                continue
            due = [(incarnation, item)]
            while self.heap and self.heap[0][:2] == (at_ms, instance):
                entry = heapq.heappop(self.heap)
                due.append(entry[3:])
            if at_ms < self.stalled_until_ms[instance]:
                for _, delayed_event in due:
                    self.schedule_event(self.stalled_until_ms[instance], instance, delayed_event)
                continue
            events = [
                event for incarnation, item in due for event in self.deliverable_events(instance, incarnation, item)
            ]
            if events:
                self.process_batch(instance, events)
        return Run(self.hash.hexdigest(), self.lines, self.readable_lines, self.counts)

    def process_batch(self, instance: int, events: list) -> None:
        """Pass events to an instance and carry out its actions."""
        self.record_line(f"TURN {self.now_ms!r} {instance}")
        for event in events:
            self.counts[event[0]] += 1
            self.record_line("  > " + format_line(event))
        for action in decide(self.controllers[instance], self.now_ms, events):
            self.counts[action[0]] += 1
            self.record_line("  < " + format_line(action))
            getattr(self, "do_" + action[0].lower())(instance, *action[1:])

    def deliverable_events(self, instance: int, incarnation: int, item) -> list:
        """Return the events that an entry delivers to the instance now."""
        tag = item[0]
        if tag == "OUTCOME":
            return self.end_attempt(instance, incarnation, item)
        if not self.alive[instance] or incarnation != self.incarnations[instance]:
            return []
        if tag == "ARRIVAL":
            self.open_requests.setdefault(item[1], (item, instance))
            self.attempts.setdefault(item[1], [])
        elif tag in ("STARTED", "CLIENT_GONE") and item[1] not in self.open_requests:
            return []
        elif tag == "CLIENT_GONE":
            del self.open_requests[item[1]]
        return [item]

    def end_attempt(self, instance: int, incarnation: int, item) -> list:
        """Return the end of an attempt, if it has not ended before."""
        _, request_id, attempt, name, _, result, may_be_final = item
        started = self.in_flight.pop((instance, incarnation, request_id, attempt), None)
        if started is None:
            is_duplicate = (
                incarnation == self.incarnations[instance] and self.alive[instance] and self.rng.random() < 0.05
            )
            return [("OUTCOME", request_id, attempt, name, 1.0, result, False, 0.0, 0, ())] if is_duplicate else []
        endpoint, started_ms = started
        endpoint.in_flight -= 1
        if not self.alive[instance] or incarnation != self.incarnations[instance]:
            return []
        final = may_be_final and request_id in self.open_requests and self.open_requests[request_id][1] == instance
        if final:
            del self.open_requests[request_id]
        load = self.load_report(endpoint, instance)
        units = self.rng.choice((0.0, 1.0, 2.5))
        return [("OUTCOME", request_id, attempt, name, self.now_ms - started_ms, result, final, units, 0, load)]

    def load_report(self, endpoint: Endpoint, instance: int) -> tuple:
        """Return the load report in a response, which may be empty."""
        fields = self.current[instance]["report_fields"]
        if not fields or self.rng.random() < 0.3:
            return ()
        loads = {"util": min(1.2, endpoint.in_flight / endpoint.capacity), "inflight": float(endpoint.in_flight)}
        return tuple(loads[name] for name in fields)

    # -- actions

    def do_attempt(self, instance: int, request_id: int, name: str, timeout_ms: float, start_within_ms: float) -> None:
        """Start an attempt."""
        rng, endpoint = self.rng, self.by_name[name]
        key = (instance, self.incarnations[instance], request_id)
        attempt = self.next_attempt.get(key, 0)
        if not attempt and request_id in self.open_requests and self.open_requests[request_id][0][11]:
            attempt = self.open_requests[request_id][0][11][0]
        self.next_attempt[key] = attempt + 1
        self.in_flight[(*key, attempt)] = (endpoint, self.now_ms)
        self.attempts.setdefault(request_id, []).append((name, self.now_ms))
        endpoint.in_flight += 1
        arrival = self.open_requests[request_id][0] if request_id in self.open_requests else None
        units = arrival[6] if arrival else 1.0
        load_factor = 1 + endpoint.in_flight / endpoint.capacity
        duration_ms = (
            endpoint.response_ms * (0.5 + units / 2) * load_factor * rng.choice((0.5, 0.8, 1.0, 1.0, 1.3, 4.0))
        )
        result, fault = "ok", endpoint.fault
        if fault == "slow":
            duration_ms *= 8
        elif fault == "hang":
            duration_ms = 1e9
        elif fault and rng.random() < 0.85:
            result = fault
            duration_ms = 3.0 if fault in ("full", "connect_failed") else duration_ms * 0.6
        elif endpoint.in_flight > endpoint.capacity:
            result, duration_ms = "full", 2.0
        elif rng.random() < 0.02:
            result = "error"
        if start_within_ms < 2.0 and rng.random() < 0.8:
            result, duration_ms = "moot", 1.0
        if duration_ms > timeout_ms:
            result, duration_ms = "timeout", timeout_ms
        streamed = arrival is not None and arrival[3].startswith("stream")
        if streamed and result in ("ok", "reset") and rng.random() < 0.9:
            self.schedule_event(self.now_ms + duration_ms * 0.6, instance, ("STARTED", request_id, attempt, name))
            duration_ms *= rng.choice((1.0, 2.0, 6.0))
        may_be_final = result == "ok" or (result == "error" and rng.random() < 0.3)
        item = ("OUTCOME", request_id, attempt, name, duration_ms, result, may_be_final)
        self.schedule_event(self.now_ms + duration_ms, instance, item)
        if rng.random() < 0.02:
            self.schedule_event(self.now_ms + duration_ms + 5, instance, item)

    def do_reject(self, instance: int, request_id: int, retry_after_ms: float, reason: str) -> None:
        """Reject a request; some clients retry."""
        found = self.open_requests.pop(request_id, None)
        if found is None or reason == "unfit" or self.rng.random() < 0.6:
            return
        _, _, customer, class_name, plan_name, _, units, first, spread, _, allows_hedging, _ = found[0]
        at_ms = self.now_ms + retry_after_ms + self.rng.uniform(1.0, 200.0)
        self.add_arrival(at_ms, customer, class_name, plan_name, units, first, spread, True, allows_hedging)

    def do_fail(self, instance: int, request_id: int) -> None:
        """Fail a request."""
        self.open_requests.pop(request_id, None)

    def do_cancel(self, instance: int, request_id: int, attempt: int) -> None:
        """Cancel an attempt."""
        started = self.in_flight.get((instance, self.incarnations[instance], request_id, attempt))
        if started:
            result = "moot" if self.now_ms - started[1] < 3 else "cancelled"
            item = ("OUTCOME", request_id, attempt, started[0].name, 0.0, result, False)
            self.schedule_event(self.now_ms + self.rng.choice((0.0, 0.7)), instance, item)

    def do_set_timer(self, instance: int, delay_ms: float, name: str) -> None:
        """Set a timer."""
        self.schedule_event(self.now_ms + delay_ms, instance, ("TIMER", name))

    def do_peer_message(self, instance: int, receiver: int, data: bytes) -> None:
        """Deliver a peer message with delay, loss and duplication."""
        rng = self.rng
        self.counts.update("quota message " + kind for kind in quota_message_kinds(data))
        muted = self.now_ms < max(
            self.muted_until_ms[instance], self.muted_until_ms[receiver] if receiver < SIMULATED_INSTANCES else 0.0
        )
        if receiver >= SIMULATED_INSTANCES or muted or rng.random() < self.loss_rate:
            return
        for _ in range(1 + (rng.random() < self.duplicate_rate)):
            self.schedule_event(self.now_ms + self.delay_ms * rng.uniform(0.2, 2.0), receiver, ("PEER", instance, data))
        if rng.random() < 0.01:
            malformed = rng.choice(
                (b"", data[:-1], data[:9], b"\x07" + data[1:], data[:8] + b"\xee" + data[9:], data * 9)
            )
            self.schedule_event(self.now_ms + 1, receiver, ("PEER", instance, malformed))
            self.schedule_event(self.now_ms + 2, receiver, ("PEER", rng.choice((receiver, 77)), data))

    def do_subscribe(self, instance: int) -> None:
        """Let service discovery send a list, or fail."""
        if self.rng.random() < 0.3:
            self.schedule_event(self.now_ms + 5, instance, ("FLEET", (), True, True))
        else:
            self.schedule_call(self.now_ms + 20, self.send_list, instance)

    # -- scheduled events

    def schedule_all(self) -> None:
        """Schedule all events that are drawn in advance."""
        rng = self.rng
        self.next_attempt = {}
        for instance in range(SIMULATED_INSTANCES):
            self.schedule_call(rng.uniform(0.0, 40.0), self.send_list, instance)
        self.schedule_arrivals()
        if self.seed % 6 == 1:
            self.schedule_surge()
        self.schedule_faults()
        for start in range(1500, 29000, 2500):
            self.schedule_call(start + rng.uniform(0, 2000), self.change_endpoints)
        for instance in range(SIMULATED_INSTANCES):
            self.schedule_call(9000 + rng.uniform(0, 800), self.change_settings, instance, 1)
            self.schedule_call(19000 + rng.uniform(0, 800), self.change_settings, instance, 2)
        for _ in range(2):
            self.schedule_call(rng.uniform(3000, 27000), self.stall, rng.randrange(SIMULATED_INSTANCES))
            self.schedule_call(
                rng.uniform(3000, 27000),
                self.drop_peer_messages,
                rng.randrange(SIMULATED_INSTANCES),
                rng.choice((400.0, 4000.0)),
            )
        if self.seed % 4 != 0:
            self.schedule_call(rng.uniform(8000, 16000), self.fail_instance, rng.randrange(SIMULATED_INSTANCES))
        for _ in range(3):
            item = ("PROBED", self.endpoints[0].name, 3.0, "ok", ())
            self.schedule_event(rng.uniform(0, 25000), rng.randrange(SIMULATED_INSTANCES), item)
            self.schedule_event(rng.uniform(0, 25000), rng.randrange(SIMULATED_INSTANCES), ("COUNTED", "count"))

    def schedule_arrivals(self) -> None:
        """Schedule requests in alternating periods of low and high load."""
        rng, at_ms = self.rng, 1.0
        last_ms = OVERLOAD_MS if self.seed in OVERLOAD_SEEDS else RUN_MS - 2500
        while at_ms < last_ms:
            overloaded = int(at_ms / 1000) % 7 in (2, 3)
            at_ms += rng.expovariate(self.rate_per_s * (2.0 if overloaded else 0.6)) * 1000
            arrival_ms = at_ms + (IDLE_GAP_MS if self.seed in IDLE_GAP_SEEDS and at_ms > 14_000 else 0.0)
            number = int(len(self.customers) * rng.random() ** 3)
            customer, plan_name, first, spread = self.customers[number]
            class_name = rng.choice(self.request_classes)[0]
            if at_ms > 19_900 and rng.random() < 0.1:
                class_name = "added"
            if at_ms > 19_900 and rng.random() < 0.1:
                customer, plan_name = customer + "+", "added"
            if rng.random() < 0.004:
                class_name, plan_name = rng.choice((("none", plan_name), (class_name, "none")))
            units = rng.choice((0.0, 0.25, 1.0, 1.0, 1.0, 1.0, 1.5, 2.0, 3.7, 7.0, 20.0))
            self.add_arrival(
                arrival_ms, customer, class_name, plan_name, units, first, spread, False, rng.random() < 0.8
            )

    def schedule_surge(self) -> None:
        """Schedule so many requests of one class at one instance that most are rejected while they are queued."""
        at_ms, instance = self.rng.uniform(4000.0, 12000.0), self.rng.randrange(SIMULATED_INSTANCES)
        for number in range(260):
            deadline_at_ms, first = at_ms + 2000.0, instance
            values = (f"surge{number % 3}", "look", "open", deadline_at_ms, 1.0, first, 1, False, True, None)
            self.schedule_event(at_ms, instance, ("ARRIVAL", self.next_id, *values))
            self.next_id += 1
            at_ms += 0.9

    def add_arrival(
        self, at_ms, customer, class_name, plan_name, units, first, spread, is_retry, allows_hedging
    ) -> None:
        """Schedule one request of a client."""
        rng, request_id = self.rng, self.next_id
        self.next_id += 1
        instance = rng.randrange(SIMULATED_INSTANCES)
        deadline_ms = next((row[2] for row in (*CLASSES, ADDED_CLASS) if row[0] == class_name), 500.0)
        deadline_at_ms = at_ms + deadline_ms * rng.choice((1.0, 1.0, 1.0, 0.4)) * (rng.random() > 0.003)
        prior = None
        if rng.random() < 0.01:
            prior = self.draw_prior_attempts(at_ms)
        item = (
            "ARRIVAL",
            request_id,
            customer,
            class_name,
            plan_name,
            deadline_at_ms,
            units,
            first,
            spread,
            is_retry,
            allows_hedging,
            prior,
        )
        self.schedule_event(at_ms, instance, item)
        if rng.random() < 0.003:
            self.schedule_event(at_ms + 20, instance, item)
        if rng.random() < 0.04:
            self.schedule_event(at_ms + rng.uniform(1, 300), instance, ("CLIENT_GONE", request_id))

    def draw_prior_attempts(self, at_ms: float) -> tuple:
        """Draw the prior attempts of a request at another instance."""
        rng = self.rng
        name = rng.choice((*self.by_name, "unlisted", ""))
        attempts = rng.choice((0, 1, 1, 2))
        started_ms = rng.choice((-float("inf"), at_ms - 100.0, at_ms - 900.0))
        return (attempts, rng.randint(0, attempts), name, started_ms, rng.random() < 0.5)

    def schedule_faults(self) -> None:
        """Schedule periods in which endpoints have faults."""
        rng = self.rng
        for number in range(9):
            fault = FAULTS[(self.seed + number) % len(FAULTS)]
            start_ms, duration_ms = rng.uniform(1000, 26000), rng.choice((300.0, 1500.0, 4000.0))
            chosen = rng.sample(self.endpoints, rng.choice((1, 1, 2, len(self.endpoints))))
            for endpoint in chosen:
                self.schedule_call(start_ms, setattr, endpoint, "fault", fault)
                self.schedule_call(start_ms + duration_ms, setattr, endpoint, "fault", "")

    def send_list(self, instance: int) -> None:
        """Send the endpoint list to one instance."""
        rows = tuple(
            (each.name, each.zone, each.cell, each.state, each.weight, each.started_ms)
            for each in self.endpoints
            if each.listed
        )
        if self.rng.random() < 0.2:
            self.schedule_event(self.now_ms, instance, ("FLEET", rows[::2], False, False))
            self.schedule_event(self.now_ms + 30, instance, ("FLEET", (), True, True))
        self.schedule_event(self.now_ms + self.rng.uniform(0, 50), instance, ("FLEET", rows, True, False))

    def change_endpoints(self) -> None:
        """Make all endpoints ready, except for one or more that leave, drain or restart."""
        rng = self.rng
        for endpoint in self.endpoints:
            endpoint.state, endpoint.listed = "ready", True
        for endpoint in rng.sample(self.endpoints, rng.choice((1, 2, 3, len(self.endpoints) // 2))):
            change = rng.choice(LIST_FAULTS)
            if change == "restarted":
                endpoint.started_ms = self.now_ms
            elif change == "lost":
                endpoint.listed = False
            else:
                endpoint.state = change
        for instance in range(SIMULATED_INSTANCES):
            self.schedule_call(self.now_ms + rng.uniform(0, 100), self.send_list, instance)

    def change_settings(self, instance: int, step: int) -> None:
        """Change values in the first step, and add a class and a plan in the second."""
        values = self.values_of(instance)
        classes = tuple(
            (*row[:1], row[1] * 1.25, *row[2:]) if row[0] in ("look", "write") else row for row in self.request_classes
        )
        plans = tuple((*row[:1], row[1] * 0.5, row[2] * 0.75, *row[3:]) if row[0] != "wide" else row for row in PLANS)
        if step == 2:
            classes, plans = (*classes, ADDED_CLASS), (*plans, ADDED_PLAN)
        self.current[instance] = {**values, "classes": classes, "plans": plans, "max_attempts": 1 + step}
        self.schedule_event(self.now_ms, instance, ("SETTINGS", self.current[instance]))

    def stall(self, instance: int) -> None:
        """Let an instance process no events for more than a second."""
        self.stalled_until_ms[instance] = self.now_ms + 1100.0

    def drop_peer_messages(self, instance: int, duration_ms: float) -> None:
        """Drop all messages between an instance and its peers."""
        self.muted_until_ms[instance] = self.now_ms + duration_ms

    def fail_instance(self, instance: int) -> None:
        """Let an instance fail; others take over its open requests."""
        rng = self.rng
        self.alive[instance] = False
        self.incarnations[instance] += 1
        others = [other for other in range(SIMULATED_INSTANCES) if other != instance]
        for request_id, (item, owner) in list(self.open_requests.items()):
            if owner == instance:
                del self.open_requests[request_id]
                attempts = self.attempts.get(request_id) or []
                name, started_ms = attempts[0] if attempts else ("", -float("inf"))
                prior = (len(attempts), rng.randint(0, len(attempts)), name, started_ms, rng.random() < 0.5)
                self.schedule_event(self.now_ms + 50, rng.choice(others), (*item[:11], prior))
        restart_ms = self.now_ms + rng.choice((500.0, 4000.0, 9000.0))
        for other in others:
            self.schedule_event(self.now_ms + 300, other, ("AWAY", (instance,)))
            self.schedule_event(restart_ms + 300, other, ("AWAY", ()))
        self.schedule_call(restart_ms, self.restart, instance)

    def restart(self, instance: int) -> None:
        """Restart a failed instance with another seed."""
        self.alive[instance] = True
        self.controllers[instance] = make_instance(self.current[instance], self.seed + 1000 + instance)
        self.send_list(instance)


def play(seed: int) -> Run:
    """Play the schedule of one seed and return its result."""
    return Schedule(seed).run()
