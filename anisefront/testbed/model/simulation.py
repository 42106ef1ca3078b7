"""Discrete-event simulation of gatekeepers that run the real controller, their messages, clients and workers.

Random draws depend on the seed and the request alone (`draws.py`), so two options face the same random events. What a
client does after a refusal depends on the option, so arrivals differ from there on, but each request keeps its own
draws. Times are in milliseconds of simulated time; nothing here reads a clock.
"""

from __future__ import annotations

import heapq
from collections.abc import Callable, Sequence
from dataclasses import dataclass, replace

from anisefront.gateway.routing import first_gateway
from anisefront.policy.actions import CancelAttempt, Fail, Reject, SendToPeer, SetTimer, StartAttempt
from anisefront.policy.controller import Controller
from anisefront.policy.events import Arrival, AttemptEnded, AttemptResult, EndpointList, Event, PeerMessage, TimerFired
from anisefront.policy.settings import Idempotency, Settings
from anisefront.testbed.model.draws import Draws, Stream
from anisefront.testbed.model.faults import FaultInjector
from anisefront.testbed.model.measures import RunMetrics
from anisefront.testbed.model.pool import Job, WorkerModel, WorkerPool
from anisefront.testbed.model.traces import Arrival as RecordedArrival
from anisefront.testbed.model.traces import Attempt
from anisefront.testbed.script import Fault

TIMER_RESOLUTION_MS = 5.0  # timers are rounded up to it, as in the gatekeeper
MAX_TAIL_MS = 30_000.0  # simulated after the last arrival; longer than any deadline
SOCKET_BUFFER_MESSAGES = 250  # capacity of a datagram socket with the default buffer size
MAX_CLIENT_ATTEMPTS = 4  # submissions of one request; each has its own columns in the request's row of draws
# First columns of each group of draws in the row of a request.
_GATEWAY_COLUMN = 0
_PAUSE_COLUMN = 4
_UNUSED_COLUMN = 8
_SERVICE_TIME_COLUMN = 12


@dataclass(frozen=True, slots=True)
class Network:
    """Network delays, one way and in milliseconds, and message loss."""

    front_ms: float = 0.5  # between a client and a gatekeeper, including the proxy
    worker_ms: float = 1.0
    peers_ms: tuple[float, float] = (2.0, 10.0)  # between gatekeepers: minimum and maximum
    lose: float = 0.0  # fraction of messages between gatekeepers that are lost
    roster_ms: float = 500.0  # until gatekeepers see a change of the endpoint list
    start_ms: float = 800.0  # from the start of a gatekeeper's process to its first request


@dataclass(frozen=True, slots=True)
class Clients:
    """How clients retry refused requests."""

    retries: int = 0
    pause_ms: tuple[float, float] = (200.0, 1000.0)  # before a retry: minimum and maximum


@dataclass(frozen=True, slots=True)
class Option:
    """The configuration under comparison: settings, gatekeepers, workers, network and clients."""

    settings: Settings
    gateways: int = 3
    spread: int = 3
    workers: WorkerModel = WorkerModel()  # noqa: RUF009 - frozen
    network: Network = Network()  # noqa: RUF009 - frozen
    clients: Clients = Clients()  # noqa: RUF009 - frozen
    zones: tuple[str, ...] = ()  # assigned to gatekeepers and workers in turn; empty: the zone of the settings


class ClientRequest:
    """One submission of a client's request to a gatekeeper; a retry is another submission of the same request."""

    __slots__ = (
        "arrival",
        "attempts",
        "deadline",
        "ended",
        "instance",
        "received_at",
        "request_index",
        "retry_count",
        "sent_at",
    )

    def __init__(
        self,
        arrival: RecordedArrival,
        request_index: int,
        retry_count: int,
        sent_at: float,
        deadline: float,
        instance: int,
    ) -> None:
        """Create a submission; `request_index` selects the draws, which all retries of a request share."""
        self.arrival, self.request_index, self.retry_count, self.sent_at, self.deadline, self.instance = (
            arrival,
            request_index,
            retry_count,
            sent_at,
            deadline,
            instance,
        )
        self.attempts, self.ended, self.received_at = 0, False, sent_at  # received: by its gatekeeper


class GatewayInstance:
    """One gatekeeper: its controller and the state of its process."""

    __slots__ = ("controller", "dead", "frozen", "incarnation", "timers", "unread_messages")

    def __init__(self, controller: Controller) -> None:
        """Create a running gatekeeper."""
        self.controller, self.incarnation, self.dead = controller, 0, False
        self.frozen: list[Event] | None = None  # events received while its process is paused; None: it runs
        self.timers: set[float] = set()
        self.unread_messages = 0  # peer messages received while its process is paused


class Simulation:
    """One simulated run of one option."""

    def __init__(
        self, option: Option, arrivals: Sequence[RecordedArrival], faults: Sequence[Fault] = (), seed: int = 1
    ) -> None:
        """Set up a run; `arrivals` are in order of time."""
        self.option, self.arrivals, self.draws, self.metrics = option, arrivals, Draws(seed), RunMetrics()
        self.now, self._sequence, self._event_queue = 0.0, 0, list[tuple[float, int, Callable[..., None], tuple]]()
        settings = option.settings
        self.zones = option.zones or (settings.zone,)
        self.pool = WorkerPool(option.workers, self.zones, self.schedule, self._end_attempt)
        self.faults = FaultInjector(self, faults)
        self._classes = {kind.name: kind for kind in settings.classes}
        self._plans = {plan.name: plan for plan in settings.plans}
        self._requests: dict[int, ClientRequest] = {}
        self._jobs: dict[tuple[int, int], Job] = {}
        self._attempt_counts: dict[int, int] = {}  # attempts so far, by request id
        self._peer_message_counts = [0] * (option.gateways * option.gateways)  # messages so far, by sender and receiver
        self._last_request_id = self._in_flight = 0
        self._first_gateways: dict[str, int] = {}
        self.attempt_log: list[Attempt] | None = None  # set to a list to record all ended attempts
        self.incarnations = 0
        self.instances = [GatewayInstance(self.create_controller(n)) for n in range(option.gateways)]

    def create_controller(self, number: int) -> Controller:
        """Create the controller of a gatekeeper whose process starts."""
        self.incarnations += 1
        seed = int(self.draws.row(Stream.SEEDS, self.incarnations)[0] * (1 << 48))
        settings = replace(
            self.option.settings,
            gateways=self.option.gateways,
            number=number,
            zone=self.zones[number % len(self.zones)],
        )
        return Controller(settings, seed)

    def run(self) -> RunMetrics:
        """Run until the last request has ended, and return the metrics."""
        for index in range(self.option.workers.count):
            self.pool.add(index)
        for instance in range(len(self.instances)):
            self.schedule(0.0, self.deliver, instance, self.endpoint_list())
        self.faults.schedule_all()
        self.schedule(1000.0, self._sample_in_flight)
        arrivals, position, event_queue = self.arrivals, 0, self._event_queue
        last = (arrivals[-1].at if arrivals else 0.0) + MAX_TAIL_MS
        while True:
            next_arrival_at = arrivals[position].at if position < len(arrivals) else float("inf")
            if event_queue and event_queue[0][0] < next_arrival_at:
                if event_queue[0][0] > last:
                    break
                self.now, _, call, values = heapq.heappop(event_queue)
                self.pool.now = self.now
                call(*values)
            elif position < len(arrivals):
                self.now = self.pool.now = next_arrival_at
                for copy in range(self.faults.copies(arrivals[position], position)):
                    self._start_request(position if copy == 0 else -position * 8 - copy, arrivals[position])
                position += 1
            else:
                break
            if position == len(arrivals) and not self._requests:
                break
        self.metrics.crashed_workers = self.pool.crashed_workers
        return self.metrics

    def schedule(self, at: float, call: Callable[..., None], *values: object) -> None:
        """Schedule a call for a simulated time; calls for the same time run in the order of scheduling."""
        self._sequence += 1
        heapq.heappush(self._event_queue, (at, self._sequence, call, values))

    def _sample_in_flight(self) -> None:
        self.metrics.in_flight_at[int(self.now // 1000)] = float(self._in_flight)
        self.schedule(self.now + 1000.0, self._sample_in_flight)

    # ---- gatekeepers ---------------------------------------------------------------------------

    def deliver(self, number: int, *events: Event) -> None:
        """Deliver events to a gatekeeper and execute the actions of its controller."""
        instance = self.instances[number]
        if instance.dead:
            return
        if instance.frozen is not None:
            if isinstance(events[0], PeerMessage):
                instance.unread_messages += 1
                if instance.unread_messages > SOCKET_BUFFER_MESSAGES:
                    return  # the paused process does not read its socket, whose buffer is full
            instance.frozen += events
            return
        now = self.now
        for event in events:
            if type(event) is Arrival and event.id in self._requests:
                self._requests[event.id].received_at = now
        for action in instance.controller.handle(now, list(events)):
            if isinstance(action, SetTimer):
                at = -(-(now + action.delay_ms) // TIMER_RESOLUTION_MS) * TIMER_RESOLUTION_MS
                if at not in instance.timers:
                    instance.timers.add(at)
                    self.schedule(max(at, now + 0.01), self._fire_timer, number, instance.incarnation, at, action.name)
            elif isinstance(action, StartAttempt):
                self._send(number, instance, action)
            elif isinstance(action, SendToPeer):
                self._send_to_peer(number, action)
            elif isinstance(action, Reject):
                self._finish_request(action.id, "refused", action.reason.value)
            elif isinstance(action, Fail):
                self._finish_request(action.id, "failed")
            elif isinstance(action, CancelAttempt):
                job = self._jobs.get((action.id, action.attempt))
                if job is not None:
                    self.schedule(now, self._end_attempt, job, AttemptResult.CANCELLED, ())

    def _fire_timer(self, number: int, incarnation: int, at: float, name: str) -> None:
        instance = self.instances[number]
        if instance.incarnation == incarnation:
            instance.timers.discard(at)
            self.deliver(number, TimerFired(name))

    def _send_to_peer(self, sender: int, action: SendToPeer) -> None:
        pair = sender * len(self.instances) + action.receiver
        self._peer_message_counts[pair] += 1
        network, index = self.option.network, pair << 32 | self._peer_message_counts[pair]
        loss_rate, duplicate_rate = max(network.lose, self.faults.loss_rate), self.faults.duplicate_rate
        if (
            loss_rate
            and self.draws.uniform(Stream.MESSAGES, index, 0) < loss_rate
            or self.faults.partitioned(sender, action.receiver)
        ):
            return
        low, high = network.peers_ms
        for copy in range(1 + (duplicate_rate > 0 and self.draws.uniform(Stream.MESSAGES, index, 1) < duplicate_rate)):
            delay = low + (high - low) * self.draws.uniform(Stream.MESSAGES, index, 2 + copy)
            self.schedule(self.now + delay, self.deliver, action.receiver, PeerMessage(sender, action.data))

    def kill(self, number: int) -> None:
        """Kill a gatekeeper's process; the requests that it held are lost."""
        instance = self.instances[number]
        instance.dead, instance.incarnation = True, instance.incarnation + 1
        for request_id, request in list(self._requests.items()):
            if request.instance == number:
                self._finish_request(request_id, "lost")

    def restart(self, number: int) -> None:
        """Start a new incarnation of a gatekeeper that knows the endpoint list and nothing else."""
        instance = self.instances[number]
        instance.controller, instance.dead, instance.frozen, instance.timers = (
            self.create_controller(number),
            False,
            None,
            set(),
        )
        self.deliver(number, self.endpoint_list())

    def resume(self, number: int) -> None:
        """Resume a paused gatekeeper with the events received meanwhile; clients past their deadline have left."""
        instance = self.instances[number]
        events, instance.frozen, instance.unread_messages = instance.frozen or [], None, 0
        for request_id, request in list(self._requests.items()):
            if request.instance == number and request.deadline < self.now:
                self._finish_request(request_id, "none")
        if not instance.dead:
            self.deliver(number, *events)

    # ---- clients -------------------------------------------------------------------------------

    def _start_request(self, request_index: int, arrival: RecordedArrival) -> None:
        self.metrics.record_request(
            int(arrival.at // 1000), arrival.class_name, arrival.plan, self._request_value(arrival)
        )
        self._send_request(request_index, arrival, 0, arrival.remaining_ms)

    def _first_gateway(self, customer: str) -> int:
        """Return the first of the gateways that a customer is assigned to."""
        first = self._first_gateways.get(customer)
        if first is None:
            first = first_gateway(customer, self.option.settings.tag_key, len(self.instances))
            self._first_gateways[customer] = first
        return first

    def _send_request(
        self, request_index: int, arrival: RecordedArrival, retry_count: int, remaining_ms: float
    ) -> None:
        row, instances = self.draws.row(Stream.REQUESTS, abs(request_index)), len(self.instances)
        first, spread = self._first_gateway(arrival.customer), min(self.option.spread, instances)
        if retry_count == 0 and 0 <= arrival.gateway < instances:
            number = arrival.gateway
        else:
            number = (first + int(row[_GATEWAY_COLUMN + retry_count] * spread)) % instances
        self._last_request_id += 1
        request_id, sent_at = self._last_request_id, self.now
        self._requests[request_id] = ClientRequest(
            arrival, request_index, retry_count, sent_at, sent_at + remaining_ms, number
        )
        if self.instances[number].dead:
            self.schedule(sent_at + self.option.network.front_ms, self._finish_request, request_id, "lost")
            return
        self.schedule(
            sent_at + self.option.network.front_ms,
            self.deliver,
            number,
            Arrival(
                request_id,
                arrival.customer,
                arrival.class_name,
                arrival.plan,
                sent_at + self.option.network.front_ms + remaining_ms,
                arrival.units,
                first,
                spread,
                retry_count > 0 or arrival.is_retry,
                arrival.hedging_allowed,
            ),
        )

    def _request_value(self, arrival: RecordedArrival) -> float:
        return (
            self._classes[arrival.class_name].priority_weight
            * self._plans[arrival.plan].priority_multiplier
            * arrival.units
        )

    def _finish_request(self, request_id: int, outcome: str, reason: str = "") -> None:
        request = self._requests.get(request_id)
        if request is None or request.ended:
            return
        request.ended = True
        arrival, answered_at = request.arrival, self.now + self.option.network.front_ms
        self.metrics.record_answer(int(arrival.at // 1000), outcome, reason)
        if (
            outcome == "served"
            and answered_at - request.sent_at <= self._classes[arrival.class_name].latency_objective_ms
        ):
            self.metrics.record_served(
                int(arrival.at // 1000), arrival.class_name, arrival.plan, self._request_value(arrival)
            )
        elif outcome == "refused" and request.retry_count < min(self.option.clients.retries, MAX_CLIENT_ATTEMPTS - 1):
            row, (low, high) = self.draws.row(Stream.REQUESTS, abs(request.request_index)), self.option.clients.pause_ms
            self.schedule(
                answered_at + low + (high - low) * row[_PAUSE_COLUMN + request.retry_count],
                self._send_request,
                request.request_index,
                arrival,
                request.retry_count + 1,
                arrival.remaining_ms,
            )
        if not request.attempts:
            del self._requests[request_id]

    # ---- attempts ------------------------------------------------------------------------------

    def _send(self, number: int, instance: GatewayInstance, action: StartAttempt) -> None:
        request = self._requests.get(action.id)
        if request is None:
            self.deliver(number, AttemptEnded(action.id, 0, action.endpoint, 0.0, AttemptResult.DISCARDED, True))
            return
        arrival, attempt = request.arrival, self._next_attempt(action.id)
        if attempt == 0:
            self.metrics.record_wait(int(arrival.at // 1000), self.now - request.received_at)
            self.metrics.units[arrival.plan] = self.metrics.units.get(arrival.plan, 0.0) + arrival.units
        row = self.draws.row(Stream.REQUESTS, abs(request.request_index))
        keyed = self._classes[arrival.class_name].idempotency is Idempotency.KEYED
        job = Job(
            number,
            instance.incarnation,
            action.id,
            attempt,
            action.endpoint,
            self.now,
            self.now + action.timeout_ms,
            arrival.units,
            request.request_index if keyed else -1,
            row[_SERVICE_TIME_COLUMN + (4 * request.retry_count + attempt) % 16],
        )
        self._jobs[action.id, attempt] = job
        request.attempts += 1
        self._in_flight += 1
        self.schedule(self.now + self.option.network.worker_ms, self.pool.receive, job)
        self.schedule(job.deadline, self._end_attempt, job, AttemptResult.TIMEOUT, ())

    def _next_attempt(self, request_id: int) -> int:
        count = self._attempt_counts.get(request_id, 0)
        self._attempt_counts[request_id] = count + 1
        return count

    def _end_attempt(self, job: Job, result: AttemptResult, load: tuple[float, ...]) -> None:
        """End an attempt once; the gatekeeper receives the result after the network delay."""
        if job.finished:
            return
        job.finished = True
        delay = 0.0 if result in (AttemptResult.TIMEOUT, AttemptResult.CANCELLED) else self.option.network.worker_ms
        self.schedule(self.now + delay, self._report_result, job, result, load)

    def _report_result(self, job: Job, result: AttemptResult, load: tuple[float, ...]) -> None:
        self._jobs.pop((job.request_id, job.attempt), None)
        self._in_flight -= 1
        request, instance = self._requests.get(job.request_id), self.instances[job.instance]
        if self.attempt_log is not None and request is not None:
            worker = self.pool.workers.get(job.worker_id)
            self.attempt_log.append(
                Attempt(
                    job.sent_at,
                    job.worker_id,
                    request.arrival.class_name,
                    job.units,
                    result.value,
                    self.now - job.sent_at,
                    worker.started if worker else 0.0,
                )
            )
        if instance.incarnation == job.incarnation and instance.frozen is None and result is AttemptResult.OK:
            self._finish_request(job.request_id, "served")
        if request is not None:
            request.attempts -= 1
            if request.ended and not request.attempts:
                self._requests.pop(job.request_id, None)
                self._attempt_counts.pop(job.request_id, None)
        if instance.incarnation == job.incarnation:
            self.deliver(
                job.instance,
                AttemptEnded(
                    job.request_id,
                    job.attempt,
                    job.worker_id,
                    self.now - job.sent_at,
                    result,
                    request is None or request.ended,
                    0.0,
                    0,
                    load,
                ),
            )

    # ---- discovery -----------------------------------------------------------------------------

    def endpoint_list(self) -> EndpointList:
        """Return the current list of all workers."""
        return EndpointList(self.pool.endpoints())

    def publish_endpoints(self, after_ms: float | None = None) -> None:
        """Send the current endpoint list to all gatekeepers after the discovery delay."""
        endpoint_list, delay = self.endpoint_list(), self.option.network.roster_ms if after_ms is None else after_ms
        for instance in range(len(self.instances)):
            self.schedule(self.now + delay, self.deliver, instance, endpoint_list)
