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


class ProxyHarness:
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
        self.delegated_requests = DelegatedRequests(self.request_table, self.clock, "life")
        self.request_table.update_endpoints(EndpointList(SERVERS))
        self.responses = []
        self.run(0.01)

    def run(self, seconds):
        for _ in range(round(seconds * 1000)):
            self.clock.advance(0.001)

    def check(self, request_id="r", class_name="safe", due_ms=2000.0, peer="p"):
        number = self.delegated_requests.first_check(
            request_id,
            self.responses.append,
            RequestTerms("c", class_name, "wide", self.request_table.now_ms() + due_ms, 1.0, 0, 1, False),
            peer,
        )
        self.run(0.005)
        return number

    def next_check(self, attempt_name):
        number = self.delegated_requests.next_check(attempt_name, self.responses.append)
        self.run(0.005)
        return number

    def log(self, attempt_name, result, is_final=False):
        is_known = self.delegated_requests.attempt_logged(attempt_name, result, 10.0, (), is_final)
        self.run(0.005)
        return is_known

    def is_empty(self):
        return (
            not self.request_table.requests
            and not self.request_table.open_requests
            and not self.delegated_requests.index.by_number
            and not self.request_table.controller.requests
            and not self.request_table.controller.concurrency_limit.in_flight
        )


def test_served():
    harness = ProxyHarness()
    harness.check()
    assert harness.responses[0].verdict is Verdict.START_ATTEMPT and harness.responses[0].timeout_ms < 2000
    assert harness.log(harness.responses[0].attempt_name, AttemptResult.OK)
    assert harness.is_empty() and harness.request_table.counts["served"] == 1


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
    harness = ProxyHarness()
    harness.check(class_name=kind)
    first = harness.responses[0]
    harness.log(first.attempt_name, result)
    harness.next_check(first.attempt_name)
    second = harness.responses[1]
    assert second.verdict is verdict
    if kind == "keyed":  # only an endpoint of the same cell drops repeated executions
        cells = {server.id: server.cell for server in SERVERS}
        assert cells[second.endpoint] == cells[first.endpoint]
    if verdict is Verdict.START_ATTEMPT:
        harness.log(second.attempt_name, AttemptResult.OK)
    assert harness.is_empty()


def test_a_check_before_the_log_of_its_attempt_waits_for_the_log():
    harness = ProxyHarness()
    harness.check(class_name="unsafe")
    harness.next_check(harness.responses[0].attempt_name)
    assert len(harness.responses) == 1
    harness.log(harness.responses[0].attempt_name, AttemptResult.CONNECT_FAILED)
    assert harness.responses[1].verdict is Verdict.START_ATTEMPT and harness.responses[1].attempt_name == "life.1.1"


def test_proxy_timeout_while_the_check_response_is_in_transit():
    harness = ProxyHarness()
    harness.check("r9")
    assert harness.responses[0].verdict is Verdict.START_ATTEMPT  # the attempt counts as started
    assert not harness.delegated_requests.denial_logged("r9", "another proxy")
    assert harness.delegated_requests.denial_logged("r9", "p")
    harness.run(0.01)
    assert harness.is_empty() and harness.request_table.counts["attempts_moot"] == 1
    assert not harness.log(harness.responses[0].attempt_name, AttemptResult.OK)


def test_a_denial_proves_nothing_if_two_checks_had_one_request_id():
    harness = ProxyHarness()
    harness.check("r")
    harness.check("r")
    assert harness.responses[1].verdict is Verdict.REJECTED and harness.responses[1].reason == "in-progress"
    assert not harness.delegated_requests.denial_logged("r", "p")
    harness.log(harness.responses[0].attempt_name, AttemptResult.OK)
    assert harness.is_empty() and harness.request_table.counts["attempts"] == 1


def test_an_attempt_without_a_log_may_have_been_executed():
    harness = ProxyHarness()
    harness.check(class_name="unsafe", due_ms=500)
    harness.run(2.5)
    assert harness.is_empty() and harness.request_table.counts["attempts_timeout"] == 1
    assert not harness.log(harness.responses[0].attempt_name, AttemptResult.OK)


def test_a_late_log_of_an_answered_request_ends_its_attempt():
    harness = ProxyHarness()
    harness.check(class_name="safe", due_ms=300)
    harness.run(0.4)  # the controller has rejected it before its deadline; the proxy has not asked for the response
    assert harness.request_table.counts["refused"] == 1 and not harness.is_empty()
    harness.log(harness.responses[0].attempt_name, AttemptResult.OK)
    assert harness.is_empty() and harness.request_table.counts["served"] == 0


def test_a_proxy_without_a_further_check_gets_no_further_attempt():
    harness = ProxyHarness()
    harness.check()
    harness.log(harness.responses[0].attempt_name, AttemptResult.RESET)
    assert not harness.is_empty()  # the next attempt waits for a check
    harness.run(0.6)
    assert harness.is_empty() and len(harness.responses) == 1
    harness.next_check(harness.responses[0].attempt_name)
    assert harness.responses[1].verdict is Verdict.FAILED


def test_a_withheld_attempt_is_decided_again_if_its_endpoint_drains():
    harness = ProxyHarness()
    harness.check()
    harness.log(harness.responses[0].attempt_name, AttemptResult.RESET)
    withheld_endpoint = next(iter(harness.delegated_requests.index.by_number.values())).withheld.endpoint
    harness.request_table.update_endpoints(
        EndpointList(
            tuple(
                Endpoint(s.id, s.zone, s.cell, EndpointStatus.DRAINING if s.id == withheld_endpoint else s.status)
                for s in SERVERS
            )
        )
    )
    harness.next_check(harness.responses[0].attempt_name)
    assert harness.responses[1].verdict is Verdict.START_ATTEMPT and harness.responses[1].endpoint != withheld_endpoint
    harness.log(harness.responses[1].attempt_name, AttemptResult.OK)
    assert harness.is_empty()


def test_client_disconnects_while_queued():
    harness = ProxyHarness(Plan("wide", 1, 1))
    numbers = [harness.check(f"r{n}") for n in range(3)]
    assert [answer.verdict for answer in harness.responses] == [Verdict.START_ATTEMPT]
    harness.delegated_requests.check_cancelled(numbers[1])
    harness.run(1.0)
    harness.log(harness.responses[0].attempt_name, AttemptResult.OK)
    harness.run(3.0)
    assert harness.is_empty() and harness.request_table.counts["left"] == 1


def test_client_disconnect_during_an_attempt_ends_the_request():
    harness = ProxyHarness()
    harness.check(class_name="safe")
    harness.log(harness.responses[0].attempt_name, AttemptResult.CANCELLED, is_final=True)
    assert harness.is_empty() and len(harness.responses) == 1


def test_a_full_request_table_rejects_at_once():
    harness = ProxyHarness(Plan("wide", 0.1, 1))
    harness.request_table.max_open_requests = 2
    for number in range(4):
        harness.check(f"r{number}")
    assert [answer.reason for answer in harness.responses[-2:]] == ["held-requests"] * 2
    assert harness.request_table.counts["turned_away"] == 2


def test_every_request_is_answered_before_its_deadline_without_any_logs():
    harness = ProxyHarness(Plan("wide", 20, 20))
    due = {}
    for number in range(200):
        harness.check(f"r{number}", ("safe", "keyed", "unsafe")[number % 3], 300.0 + number % 7 * 100)
        due[number] = harness.request_table.now_ms()
    harness.run(5.0)  # no log arrives
    assert harness.is_empty() and len(harness.responses) == 200
    assert harness.request_table.counts["accepted"] == 200


class StallingClock(Clock):
    """A clock whose process stalls: sockets are read only after timers have run."""

    def stall(self, seconds, sockets):
        self.rightNow += seconds
        self.advance(0)  # an event loop runs timers first
        sockets()
        for _ in range(60):
            self.advance(0.001)


def test_after_a_stall_responses_in_the_socket_buffers_precede_timers():
    harness = ProxyHarness()
    stalling_clock = StallingClock()
    stalling_clock.rightNow = harness.clock.seconds()
    harness.check(class_name="unsafe", due_ms=1000)
    harness.clock.__class__ = StallingClock
    harness.clock.stall(
        1.5,
        lambda: harness.delegated_requests.attempt_logged(
            harness.responses[0].attempt_name, AttemptResult.OK, 20.0, (), False
        ),
    )
    assert harness.request_table.counts["served"] == 1 and harness.request_table.counts["failed"] == 0
    assert harness.request_table.counts["standstills"] == 1


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
    harness, faults = ProxyHarness(Plan("wide", 0.1, 1)), []
    harness.request_table._on_controller_error = faults.append
    harness.check("r0")
    harness.check("r1")
    harness.request_table.controller.handle = lambda now, events: 1 / 0
    harness.check("r2")
    assert [answer.verdict for answer in harness.responses] == [Verdict.START_ATTEMPT, Verdict.FAILED, Verdict.FAILED]
    assert len(faults) == 1 and harness.request_table.open_requests == 0
    harness.check("r3")
    assert harness.responses[-1].reason == "held-requests"


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
    harness = ProxyHarness(classes=slow_classes, hedging_enabled=True)
    pool, responses = FakePool(), []
    direct_requests = DirectRequests(harness.request_table, pool, "life", ())
    direct_requests.accept(
        DirectRequest("GET", "/a", {}, b""),
        responses.append,
        RequestTerms("c", "safe", "wide", harness.request_table.now_ms() + 2000, 1.0, 0, 1, False),
    )
    harness.run(0.01)
    assert len(pool.requests) == 1
    harness.run(0.9)  # without a response the controller hedges to another endpoint
    assert len(pool.requests) == 2 and pool.requests[0].endpoint != pool.requests[1].endpoint and not responses
    pool.requests[1].on_end(None, Message("", "", 200, {}, b"ok", True))
    harness.run(0.01)
    assert [answer.message.body for answer in responses] == [b"ok"] and pool.requests[0].cancelled
    assert harness.is_empty() and not direct_requests.open_requests and not direct_requests._exchanges
    direct_requests.accept(
        DirectRequest("GET", "/a", {}, b""),
        responses.append,
        RequestTerms("c", "unsafe", "wide", harness.request_table.now_ms() + 2000, 1.0, 0, 1, False),
    )
    harness.run(1.0)
    assert len(pool.requests) == 3  # a request that must not be executed twice is never hedged


def test_delegated_requests_are_never_hedged():
    harness = ProxyHarness(
        classes=tuple(replace(kind, latency_objective_ms=1900) for kind in CLASSES), hedging_enabled=True
    )
    harness.check(class_name="safe")
    harness.run(1.0)
    assert len(harness.responses) == 1 and harness.request_table.counts["attempts"] == 1


# ---- event loop iterations -----------------------------------------------------------------------------------------


class SlowController:
    """A controller that spends simulated time on each event and records the batches that it receives."""

    def __init__(self, harness, each_ms):
        self.harness, self.each_ms, self.batches_seen = harness, each_ms, []

    def handle(self, now, events):
        self.batches_seen.append((now, [type(event).__name__ for event in events]))
        self.harness.clock.rightNow += self.each_ms * len(events) / 1000
        return []


def test_an_iteration_is_bounded_and_serves_all_queues_in_turn():
    from anisefront.gateway.event_batches import MAX_ITERATION_MS, SLICE_EVENTS

    harness = ProxyHarness()
    request_table = harness.request_table
    slow_controller = request_table.controller = SlowController(harness, 0.05)
    for number in range(400):
        request_table.batches.post(AttemptEnded(number, 0, "w", 1.0, AttemptResult.OK, True))
    for _ in range(200):
        request_table.accept(
            harness.delegated_requests, RequestTerms("c", "safe", "wide", request_table.now_ms() + 2000)
        )
        request_table.receive_peer_message(1, b"x")
    request_table.update_endpoints(EndpointList(SERVERS))
    ends = []
    request_table.batches.after_iteration.append(lambda: ends.append(len(slow_controller.batches_seen)))
    harness.clock.advance(0)
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

    harness = ProxyHarness()
    for _ in range(MAX_PEER_MESSAGES + 50):
        harness.request_table.receive_peer_message(1, b"x")
    assert (
        harness.request_table.batches.waiting == MAX_PEER_MESSAGES
        and harness.request_table.counts["heard_dropped"] == 50
    )
    harness.check()
    assert harness.responses


def test_a_response_that_is_due_while_iterations_are_cut_short_is_sent_in_time():
    harness = ProxyHarness(Plan("narrow", 0.001, 1))
    harness.delegated_requests.first_check(
        "first",
        harness.responses.append,
        RequestTerms("c", "safe", "narrow", harness.request_table.now_ms() + 2000, 1.0, 0, 1, False),
    )
    harness.run(0.01)
    answered_ms = []
    due_ms = harness.request_table.now_ms() + 300
    harness.delegated_requests.first_check(
        "held",
        lambda answer: answered_ms.append(harness.request_table.now_ms()),
        RequestTerms("c", "safe", "narrow", due_ms, 1.0, 0, 1, False),
    )
    harness.run(0.1)
    handle = harness.request_table.controller.handle

    def slow(now, events):
        harness.clock.rightNow += 0.0002 * len(events)
        return handle(now, events)

    harness.request_table.controller.handle = slow
    for _ in range(40):  # more events than an iteration can process
        for number in range(60):
            harness.request_table.attempt_ended(10**6 + number, 0, AttemptResult.OK)
            harness.request_table.receive_peer_message(0, b"flood")
        harness.run(0.005)
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
    harness = ProxyHarness()
    table = harness.request_table
    table.change_settings(replace(table.controller.settings, tick_ms=tick_ms))
    harness.run(0.01 + offset_ms / 1000)
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
    harness.run(0.2)
    assert len(answered_ms) == 1 and answered_ms[0] < client_deadline_ms
