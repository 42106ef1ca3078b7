"""The request table and its attempt handlers on a simulated clock: races, timeouts and failures of the proxy path."""

from dataclasses import replace
from types import SimpleNamespace

import pytest
from twisted.internet.task import Clock
from twisted.internet.testing import MemoryReactorClock

from anisefront.config.config_builder import TICK_MS
from anisefront.resp_gateway.resp_frontend import MAX_READ_DELAY_FRACTION
from anisefront.upstream.attempt_results import RESPONSE_FLAGS, end_from_flags, result_of_response
from anisefront.gateway.request_terms import RequestTerms
from anisefront.upstream.delegated_checks import Verdict
from anisefront.upstream.delegated_requests import DelegatedRequests
from anisefront.gateway.request_table import RequestTable
from anisefront.policy.controller import Controller
from anisefront.policy.actions import Reject, StartAttempt
from anisefront.policy.events import AttemptEnded
from anisefront.policy.events import AttemptResult, Endpoint, EndpointList, EndpointStatus
from anisefront.policy.settings import DeduplicationScope, Idempotency, Plan, RequestClass, Settings

CLASSES = (
    RequestClass("safe", 500, 2000, 1.0, Idempotency.IDEMPOTENT),
    RequestClass(
        "keyed",
        500,
        2000,
        1.0,
        Idempotency.KEYED,
        deduplication_scope=DeduplicationScope.CELL,
        deduplication_window_ms=1500,
    ),
    RequestClass("unsafe", 500, 2000, 1.0, Idempotency.NON_IDEMPOTENT),
)
SERVERS = tuple(Endpoint(f"10.0.0.{n}:80", "a", n % 3, EndpointStatus.READY) for n in range(6))


class Desk:
    """A request table with the handler of delegated requests, and the responses to all checks."""

    def __init__(self, plan=None, classes=CLASSES, **more):
        self.clock = Clock()
        settings = Settings(
            gateways=1,
            number=0,
            zone="a",
            classes=classes,
            plans=(plan or Plan("wide", 1000, 1000),),
            warm_up_ms=5000,
            slow_start_initial_factor=0.2,
            overload_multiple=3,
            overload_window_ms=1000,
            max_attempts=3,
            tick_ms=5,
            **more,
        )
        self.request_table = RequestTable(
            Controller(settings, 7), lambda: 1e6 + self.clock.seconds() * 1000, self.clock
        )
        self.proxied = DelegatedRequests(self.request_table, self.clock, "life")
        self.request_table.update_endpoints(EndpointList(SERVERS))
        self.told = []
        self.run(0.01)

    def run(self, seconds):
        for _ in range(round(seconds * 1000)):
            self.clock.advance(0.001)

    def ask(self, name="r", kind="safe", due_ms=2000.0, peer="p"):
        number = self.proxied.first_check(
            name,
            self.told.append,
            RequestTerms("c", kind, "wide", self.request_table.now_ms() + due_ms, 1.0, 0, 1, False),
            peer,
        )
        self.run(0.005)
        return number

    def again(self, token):
        number = self.proxied.next_check(token, self.told.append)
        self.run(0.005)
        return number

    def log(self, token, result, over=False):
        taken = self.proxied.attempt_logged(token, result, 10.0, (), over)
        self.run(0.005)
        return taken

    def empty(self):
        return (
            not self.request_table.requests
            and not self.request_table.open_requests
            and not self.proxied.index.by_number
            and not self.request_table.controller.requests
            and not self.request_table.controller.concurrency_limit.in_flight
        )


def test_served():
    desk = Desk()
    desk.ask()
    assert desk.told[0].verdict is Verdict.START_ATTEMPT and desk.told[0].timeout_ms < 2000
    assert desk.log(desk.told[0].attempt_name, AttemptResult.OK)
    assert desk.empty() and desk.request_table.counts["served"] == 1


@pytest.mark.parametrize(
    ("kind", "result", "verdict"),
    [
        ("safe", AttemptResult.RESET, Verdict.START_ATTEMPT),
        ("safe", AttemptResult.CONNECT_FAILED, Verdict.START_ATTEMPT),
        ("keyed", AttemptResult.RESET, Verdict.START_ATTEMPT),
        ("keyed", AttemptResult.ERROR, Verdict.START_ATTEMPT),
        ("unsafe", AttemptResult.CONNECT_FAILED, Verdict.START_ATTEMPT),
        ("unsafe", AttemptResult.OVERLOADED, Verdict.START_ATTEMPT),
        ("unsafe", AttemptResult.RESET, Verdict.FAILED),
        ("unsafe", AttemptResult.ERROR, Verdict.FAILED),
        ("unsafe", AttemptResult.TIMEOUT, Verdict.FAILED),
    ],
)
def test_endpoint_fails_after_the_check_was_allowed(kind, result, verdict):
    desk = Desk()
    desk.ask(kind=kind)
    first = desk.told[0]
    desk.log(first.attempt_name, result)
    desk.again(first.attempt_name)
    second = desk.told[1]
    assert second.verdict is verdict
    if kind == "keyed":  # only an endpoint of the same cell drops repeated executions
        cells = {server.id: server.cell for server in SERVERS}
        assert cells[second.endpoint] == cells[first.endpoint]
    if verdict is Verdict.START_ATTEMPT:
        desk.log(second.attempt_name, AttemptResult.OK)
    assert desk.empty()


def test_a_check_before_the_log_of_its_attempt_waits_for_the_log():
    desk = Desk()
    desk.ask(kind="unsafe")
    desk.again(desk.told[0].attempt_name)
    assert len(desk.told) == 1
    desk.log(desk.told[0].attempt_name, AttemptResult.CONNECT_FAILED)
    assert desk.told[1].verdict is Verdict.START_ATTEMPT and desk.told[1].attempt_name == "life.1.1"


def test_proxy_timeout_while_the_check_response_is_in_transit():
    desk = Desk()
    desk.ask("r9")
    assert desk.told[0].verdict is Verdict.START_ATTEMPT  # the attempt counts as started
    assert not desk.proxied.denial_logged("r9", "another proxy")
    assert desk.proxied.denial_logged("r9", "p")
    desk.run(0.01)
    assert desk.empty() and desk.request_table.counts["attempts_moot"] == 1
    assert not desk.log(desk.told[0].attempt_name, AttemptResult.OK)


def test_a_denial_proves_nothing_if_two_checks_had_one_request_id():
    desk = Desk()
    desk.ask("r")
    desk.ask("r")
    assert desk.told[1].verdict is Verdict.REJECTED and desk.told[1].reason == "in-progress"
    assert not desk.proxied.denial_logged("r", "p")
    desk.log(desk.told[0].attempt_name, AttemptResult.OK)
    assert desk.empty() and desk.request_table.counts["attempts"] == 1


def test_an_attempt_without_a_log_may_have_been_executed():
    desk = Desk()
    desk.ask(kind="unsafe", due_ms=500)
    desk.run(2.5)
    assert desk.empty() and desk.request_table.counts["attempts_timeout"] == 1
    assert not desk.log(desk.told[0].attempt_name, AttemptResult.OK)


def test_a_late_log_of_an_answered_request_ends_its_attempt():
    desk = Desk()
    desk.ask(kind="safe", due_ms=300)
    desk.run(0.4)  # the controller has rejected it before its deadline; the proxy has not asked for the response
    assert desk.request_table.counts["refused"] == 1 and not desk.empty()
    desk.log(desk.told[0].attempt_name, AttemptResult.OK)
    assert desk.empty() and desk.request_table.counts["served"] == 0


def test_a_proxy_without_a_further_check_gets_no_further_attempt():
    desk = Desk()
    desk.ask()
    desk.log(desk.told[0].attempt_name, AttemptResult.RESET)
    assert not desk.empty()  # the next attempt waits for a check
    desk.run(0.6)
    assert desk.empty() and len(desk.told) == 1
    desk.again(desk.told[0].attempt_name)
    assert desk.told[1].verdict is Verdict.FAILED


def test_a_withheld_attempt_is_decided_again_if_its_endpoint_drains():
    desk = Desk()
    desk.ask()
    desk.log(desk.told[0].attempt_name, AttemptResult.RESET)
    withheld_endpoint = next(iter(desk.proxied.index.by_number.values())).withheld.endpoint
    desk.request_table.update_endpoints(
        EndpointList(
            tuple(
                Endpoint(s.id, s.zone, s.cell, EndpointStatus.DRAINING if s.id == withheld_endpoint else s.status)
                for s in SERVERS
            )
        )
    )
    desk.again(desk.told[0].attempt_name)
    assert desk.told[1].verdict is Verdict.START_ATTEMPT and desk.told[1].endpoint != withheld_endpoint
    desk.log(desk.told[1].attempt_name, AttemptResult.OK)
    assert desk.empty()


def test_client_disconnects_while_queued():
    desk = Desk(Plan("wide", 1, 1))
    numbers = [desk.ask(f"r{n}") for n in range(3)]
    assert [answer.verdict for answer in desk.told] == [Verdict.START_ATTEMPT]
    desk.proxied.check_cancelled(numbers[1])
    desk.run(1.0)
    desk.log(desk.told[0].attempt_name, AttemptResult.OK)
    desk.run(3.0)
    assert desk.empty() and desk.request_table.counts["left"] == 1


def test_client_disconnect_during_an_attempt_ends_the_request():
    desk = Desk()
    desk.ask(kind="safe")
    desk.log(desk.told[0].attempt_name, AttemptResult.CANCELLED, over=True)
    assert desk.empty() and len(desk.told) == 1


def test_a_full_request_table_rejects_at_once():
    desk = Desk(Plan("wide", 0.1, 1))
    desk.request_table.max_open_requests = 2
    for number in range(4):
        desk.ask(f"r{number}")
    assert [answer.reason for answer in desk.told[-2:]] == ["held-requests"] * 2
    assert desk.request_table.counts["turned_away"] == 2


def test_every_request_is_answered_before_its_deadline_without_any_logs():
    desk = Desk(Plan("wide", 20, 20))
    due = {}
    for number in range(200):
        desk.ask(f"r{number}", ("safe", "keyed", "unsafe")[number % 3], 300.0 + number % 7 * 100)
        due[number] = desk.request_table.now_ms()
    desk.run(5.0)  # no log arrives
    assert desk.empty() and len(desk.told) == 200
    assert desk.request_table.counts["accepted"] == 200


class StallingClock(Clock):
    """A clock whose process stalls: sockets are read only after timers have run."""

    def stall(self, seconds, sockets):
        self.rightNow += seconds
        self.advance(0)  # an event loop runs timers first
        sockets()
        for _ in range(60):
            self.advance(0.001)


def test_after_a_stall_responses_in_the_socket_buffers_precede_timers():
    desk = Desk()
    stalling_clock = StallingClock()
    stalling_clock.rightNow = desk.clock.seconds()
    desk.ask(kind="unsafe", due_ms=1000)
    desk.clock.__class__ = StallingClock
    desk.clock.stall(
        1.5, lambda: desk.proxied.attempt_logged(desk.told[0].attempt_name, AttemptResult.OK, 20.0, (), False)
    )
    assert desk.request_table.counts["served"] == 1 and desk.request_table.counts["failed"] == 0
    assert desk.request_table.counts["standstills"] == 1


@pytest.mark.parametrize("row", RESPONSE_FLAGS)
def test_response_flags(row):
    name, end = row
    assert end_from_flags({name}, 0, {}) == end
    assert end_from_flags({name, "unauthorized_details"}, 0, {}).result is AttemptResult.DISCARDED


@pytest.mark.parametrize(
    ("status", "headers", "result"),
    [
        (200, {}, AttemptResult.OK),
        (404, {}, AttemptResult.OK),
        (500, {}, AttemptResult.ERROR),
        (503, {}, AttemptResult.ERROR),
        (503, {"x-envoy-overloaded": "true"}, AttemptResult.OVERLOADED),
        (429, {}, AttemptResult.OK),
        (0, {}, AttemptResult.ERROR),
    ],
)
def test_statuses(status, headers, result):
    assert result_of_response(status, headers) is result


def test_a_controller_error_fails_all_open_requests():
    desk, faults = Desk(Plan("wide", 0.1, 1)), []
    desk.request_table._on_controller_error = faults.append
    desk.ask("r0")
    desk.ask("r1")
    desk.request_table.controller.handle = lambda now, events: 1 / 0
    desk.ask("r2")
    assert [answer.verdict for answer in desk.told] == [Verdict.START_ATTEMPT, Verdict.FAILED, Verdict.FAILED]
    assert len(faults) == 1 and desk.request_table.open_requests == 0
    desk.ask("r3")
    assert desk.told[-1].reason == "held-requests"


def test_outcome_table_of_the_operators_page_matches_the_code():
    import pathlib
    import re

    page = (pathlib.Path(__file__).parent.parent / "docs/operators/outcomes.md").read_text()
    rows = re.findall(r"^\| `(\w+)` \| `(\w+)` \| (yes|no) \| (yes|no) \|$", page, re.M)
    assert rows == [
        (name, end.result.value, "no" if end.result.never_executed else "yes", "yes" if end.is_final else "no")
        for name, end in RESPONSE_FLAGS
    ]


class FakePool:
    """A connection pool whose responses the test provides."""

    def __init__(self):
        self.requests = []

    def request(self, endpoint, data, timeout_s, on_end, head_only=False, may_start=lambda: True):
        exchange = type("Exchange", (), {"endpoint": endpoint, "on_end": staticmethod(on_end), "cancelled": False})()

        def cancel():
            exchange.cancelled = True
            on_end(AttemptResult.CANCELLED, None)

        exchange.cancel = cancel
        self.requests.append(exchange)
        return exchange


def test_hedged_attempts_and_cancellation_over_own_connections():
    from anisefront.upstream.direct_requests import DirectRequest, DirectRequests
    from anisefront.protocols.http1 import Message

    slow_classes = tuple(replace(kind, latency_objective_ms=1900) for kind in CLASSES)
    desk = Desk(classes=slow_classes, hedging_enabled=True)
    pool, responses = FakePool(), []
    direct_requests = DirectRequests(desk.request_table, pool, "life", ())
    direct_requests.accept(
        DirectRequest("GET", "/a", {}, b""),
        responses.append,
        RequestTerms("c", "safe", "wide", desk.request_table.now_ms() + 2000, 1.0, 0, 1, False),
    )
    desk.run(0.01)
    assert len(pool.requests) == 1
    desk.run(0.9)  # without a response the controller hedges to another endpoint
    assert len(pool.requests) == 2 and pool.requests[0].endpoint != pool.requests[1].endpoint and not responses
    pool.requests[1].on_end(None, Message("", "", 200, {}, b"ok", True))
    desk.run(0.01)
    assert [answer.message.body for answer in responses] == [b"ok"] and pool.requests[0].cancelled
    assert desk.empty() and not direct_requests.open_requests and not direct_requests._exchanges
    direct_requests.accept(
        DirectRequest("GET", "/a", {}, b""),
        responses.append,
        RequestTerms("c", "unsafe", "wide", desk.request_table.now_ms() + 2000, 1.0, 0, 1, False),
    )
    desk.run(1.0)
    assert len(pool.requests) == 3  # a request that must not be executed twice is never hedged


def test_delegated_requests_are_never_hedged():
    desk = Desk(classes=tuple(replace(kind, latency_objective_ms=1900) for kind in CLASSES), hedging_enabled=True)
    desk.ask(kind="safe")
    desk.run(1.0)
    assert len(desk.told) == 1 and desk.request_table.counts["attempts"] == 1


# ---- event loop iterations -----------------------------------------------------------------------------------------


class SlowController:
    """A controller that spends simulated time on each event and records the batches that it receives."""

    def __init__(self, desk, each_ms):
        self.desk, self.each_ms, self.batches_seen = desk, each_ms, []

    def handle(self, now, events):
        self.batches_seen.append((now, [type(event).__name__ for event in events]))
        self.desk.clock.rightNow += self.each_ms * len(events) / 1000
        return []


def test_an_iteration_is_bounded_and_serves_all_queues_in_turn():
    from anisefront.gateway.event_batches import MAX_ITERATION_MS, SLICE_EVENTS

    desk = Desk()
    request_table = desk.request_table
    slow_controller = request_table.controller = SlowController(desk, 0.05)
    for number in range(400):
        request_table.batches.post(AttemptEnded(number, 0, "w", 1.0, AttemptResult.OK, True))
    for _ in range(200):
        request_table.accept(desk.proxied, RequestTerms("c", "safe", "wide", request_table.now_ms() + 2000))
        request_table.receive_peer_message(1, b"x")
    request_table.update_endpoints(EndpointList(SERVERS))
    ends = []
    request_table.batches.after_iteration.append(lambda: ends.append(len(slow_controller.batches_seen)))
    desk.clock.advance(0)
    first = [name for _, names in slow_controller.batches_seen[: ends[0]] for name in names]
    assert (
        first[0] == "EndpointList" and len(first) < 200
    )  # the time of an iteration suffices for about 80 events of 50 microseconds
    assert len(ends) > 5  # the event loop reads its sockets in between
    assert request_table.batches.duration_ms.worst_ms < MAX_ITERATION_MS + 3 * SLICE_EVENTS * 0.05 + 0.1
    assert abs(first.count("AttemptEnded") - first.count("Arrival")) <= SLICE_EVENTS and first.count("PeerMessage") > 0
    assert request_table.batches.waiting == 0 and sum(len(names) for _, names in slow_controller.batches_seen) == 801
    order = slow_controller.batches_seen[0][1]
    assert (
        order[1:17] == ["AttemptEnded"] * 16 and order[17:33] == ["Arrival"] * 16 and order[33:] == ["PeerMessage"] * 16
    )


def test_peer_messages_above_the_queue_limit_are_dropped():
    from anisefront.gateway.event_batches import MAX_PEER_MESSAGES

    desk = Desk()
    for _ in range(MAX_PEER_MESSAGES + 50):
        desk.request_table.receive_peer_message(1, b"x")
    assert desk.request_table.batches.waiting == MAX_PEER_MESSAGES and desk.request_table.counts["heard_dropped"] == 50
    desk.ask()
    assert desk.told


def test_a_response_that_is_due_while_iterations_are_cut_short_is_sent_in_time():
    desk = Desk(Plan("narrow", 0.001, 1))
    desk.proxied.first_check(
        "first",
        desk.told.append,
        RequestTerms("c", "safe", "narrow", desk.request_table.now_ms() + 2000, 1.0, 0, 1, False),
    )
    desk.run(0.01)
    answered_ms = []
    due_ms = desk.request_table.now_ms() + 300
    desk.proxied.first_check(
        "held",
        lambda answer: answered_ms.append(desk.request_table.now_ms()),
        RequestTerms("c", "safe", "narrow", due_ms, 1.0, 0, 1, False),
    )
    desk.run(0.1)
    handle = desk.request_table.controller.handle

    def slow(now, events):
        desk.clock.rightNow += 0.0002 * len(events)
        return handle(now, events)

    desk.request_table.controller.handle = slow
    for _ in range(40):  # more events than an iteration can process
        for number in range(60):
            desk.request_table.attempt_ended(10**6 + number, 0, AttemptResult.OK)
            desk.request_table.receive_peer_message(0, b"flood")
        desk.run(0.005)
    assert answered_ms and answered_ms[0] <= due_ms


def test_an_action_that_fails_does_not_affect_other_requests():
    class ScriptedController:
        def __init__(self):
            self.next, self.events = [], []

        def handle(self, now, events):
            self.events += events
            out, self.next = self.next, []
            return out

    class RecordingHandler:
        def __init__(self, working):
            self.working, self.did = working, []

        def start_attempt(self, *what):
            self.reject(*what)

        def reject(self, *what):
            if not self.working:
                raise OSError("no more descriptors")
            self.did.append(what)

    reactor, raised = MemoryReactorClock(), []
    controller, failing, working = ScriptedController(), RecordingHandler(False), RecordingHandler(True)
    request_table = RequestTable(controller, lambda: reactor.seconds() * 1000, reactor, on_action_error=raised.append)
    request_table.update_endpoints(EndpointList((Endpoint("s1", "z", 0, EndpointStatus.READY),)))
    for handler in (failing, working, failing, working):
        request_table.accept(handler, RequestTerms("f", "look", "rated", 5000.0))
    controller.next = [StartAttempt(1, "s1", 100.0), StartAttempt(2, "s1", 100.0), Reject(3), Reject(4)]
    reactor.advance(0)
    reactor.advance(0)
    assert [type(each) for each in raised] == [OSError, OSError] and len(working.did) == 2
    assert [each.result for each in controller.events if isinstance(each, AttemptEnded)] == [AttemptResult.ERROR]
    assert set(request_table.requests) == {1, 2} and request_table.open_requests == 2
    controller.next = [StartAttempt(1, "s1", 100.0)]
    request_table._on_action_error = None
    request_table.batches.schedule_iteration()
    with pytest.raises(OSError):
        reactor.advance(0)


@pytest.mark.parametrize("offset_ms", range(5))
@pytest.mark.parametrize(("tick_ms", "margin_ms"), [(TICK_MS, 0.0), (1.0, 100 * MAX_READ_DELAY_FRACTION)])
def test_a_final_response_without_an_attempt_result_is_sent_before_the_deadline(tick_ms, margin_ms, offset_ms):
    # Guards against final responses that are late by the granularity of the timers. The RESP frontend, whose tick may
    # be 1 ms, sets deadlines before its clients' timeouts, here one of 100 ms.
    desk = Desk()
    table = desk.request_table
    table.change_settings(replace(table.controller.settings, tick_ms=tick_ms))
    desk.run(0.01 + offset_ms / 1000)
    client_deadline_ms = table.now_ms() + 100.0
    answered_ms = []
    table.accept(
        SimpleNamespace(
            start_attempt=lambda *started: None,
            cancel_attempt=lambda *cancelled: None,
            reject=lambda *rejected: answered_ms.append(table.now_ms()),
            fail=lambda *failed: answered_ms.append(table.now_ms()),
        ),
        RequestTerms("c", "unsafe", "wide", client_deadline_ms - margin_ms, 1.0, 0, 1, False),
    )
    desk.run(0.2)
    assert len(answered_ms) == 1 and answered_ms[0] < client_deadline_ms
