"""The request table and its attempt handlers on a simulated clock: each hard case of the path, caused by hand."""

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
    """A ledger with the carrier for proxies, and what each check was told."""

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
def test_worker_fails_after_the_check_said_yes(kind, result, verdict):
    desk = Desk()
    desk.ask(kind=kind)
    first = desk.told[0]
    desk.log(first.attempt_name, result)
    desk.again(first.attempt_name)
    second = desk.told[1]
    assert second.verdict is verdict
    if kind == "keyed":  # only where repeats are dropped
        cells = {server.id: server.cell for server in SERVERS}
        assert cells[second.endpoint] == cells[first.endpoint]
    if verdict is Verdict.START_ATTEMPT:
        desk.log(second.attempt_name, AttemptResult.OK)
    assert desk.empty()


def test_check_ahead_of_its_log_waits_for_it():
    desk = Desk()
    desk.ask(kind="unsafe")
    desk.again(desk.told[0].attempt_name)
    assert len(desk.told) == 1
    desk.log(desk.told[0].attempt_name, AttemptResult.CONNECT_FAILED)
    assert desk.told[1].verdict is Verdict.START_ATTEMPT and desk.told[1].attempt_name == "life.1.1"


def test_proxy_out_of_time_while_our_ok_is_on_the_wire():
    desk = Desk()
    desk.ask("r9")
    assert desk.told[0].verdict is Verdict.START_ATTEMPT  # it was counted, and went out
    assert not desk.proxied.denial_logged("r9", "another proxy")
    assert desk.proxied.denial_logged("r9", "p")
    desk.run(0.01)
    assert desk.empty() and desk.request_table.counts["attempts_moot"] == 1
    assert not desk.log(desk.told[0].attempt_name, AttemptResult.OK)


def test_unsent_is_no_proof_where_two_asked_with_one_id():
    desk = Desk()
    desk.ask("r")
    desk.ask("r")
    assert desk.told[1].verdict is Verdict.REJECTED and desk.told[1].reason == "in-progress"
    assert not desk.proxied.denial_logged("r", "p")
    desk.log(desk.told[0].attempt_name, AttemptResult.OK)
    assert desk.empty() and desk.request_table.counts["attempts"] == 1


def test_no_log_in_time_may_have_run():
    desk = Desk()
    desk.ask(kind="unsafe", due_ms=500)
    desk.run(2.5)
    assert desk.empty() and desk.request_table.counts["attempts_timeout"] == 1
    assert not desk.log(desk.told[0].attempt_name, AttemptResult.OK)


def test_late_log_of_a_request_that_has_its_answer_closes_the_books():
    desk = Desk()
    desk.ask(kind="safe", due_ms=300)
    desk.run(0.4)  # the module's guard has answered; the proxy has not asked for it
    assert desk.request_table.counts["refused"] == 1 and not desk.empty()
    desk.log(desk.told[0].attempt_name, AttemptResult.OK)
    assert desk.empty() and desk.request_table.counts["served"] == 0


def test_proxy_that_does_not_ask_again_gets_nothing_more():
    desk = Desk()
    desk.ask()
    desk.log(desk.told[0].attempt_name, AttemptResult.RESET)
    assert not desk.empty()  # the next attempt waits for its check
    desk.run(0.6)
    assert desk.empty() and len(desk.told) == 1
    desk.again(desk.told[0].attempt_name)
    assert desk.told[1].verdict is Verdict.FAILED


def test_send_that_waited_for_its_check_is_decided_anew_if_its_worker_drains():
    desk = Desk()
    desk.ask()
    desk.log(desk.told[0].attempt_name, AttemptResult.RESET)
    parked = next(iter(desk.proxied.index.by_number.values())).withheld.endpoint
    desk.request_table.update_endpoints(
        EndpointList(
            tuple(
                Endpoint(s.id, s.zone, s.cell, EndpointStatus.DRAINING if s.id == parked else s.status) for s in SERVERS
            )
        )
    )
    desk.again(desk.told[0].attempt_name)
    assert desk.told[1].verdict is Verdict.START_ATTEMPT and desk.told[1].endpoint != parked
    desk.log(desk.told[1].attempt_name, AttemptResult.OK)
    assert desk.empty()


def test_client_leaves_while_held():
    desk = Desk(Plan("wide", 1, 1))
    numbers = [desk.ask(f"r{n}") for n in range(3)]
    assert [answer.verdict for answer in desk.told] == [Verdict.START_ATTEMPT]
    desk.proxied.check_cancelled(numbers[1])
    desk.run(1.0)
    desk.log(desk.told[0].attempt_name, AttemptResult.OK)
    desk.run(3.0)
    assert desk.empty() and desk.request_table.counts["left"] == 1


def test_client_gone_midway_ends_the_request():
    desk = Desk()
    desk.ask(kind="safe")
    desk.log(desk.told[0].attempt_name, AttemptResult.CANCELLED, over=True)
    assert desk.empty() and len(desk.told) == 1


def test_full_ledger_turns_away_at_once():
    desk = Desk(Plan("wide", 0.1, 1))
    desk.request_table.max_open_requests = 2
    for number in range(4):
        desk.ask(f"r{number}")
    assert [answer.reason for answer in desk.told[-2:]] == ["held-requests"] * 2
    assert desk.request_table.counts["turned_away"] == 2


def test_every_request_is_answered_before_its_time_whatever_is_lost():
    desk = Desk(Plan("wide", 20, 20))
    due = {}
    for number in range(200):
        desk.ask(f"r{number}", ("safe", "keyed", "unsafe")[number % 3], 300.0 + number % 7 * 100)
        due[number] = desk.request_table.now_ms()
    desk.run(5.0)  # no log ever comes
    assert desk.empty() and len(desk.told) == 200
    assert desk.request_table.counts["accepted"] == 200


class Late(Clock):
    """A clock whose process stands still: sockets are read only after timers have run."""

    def stand_still(self, seconds, sockets):
        self.rightNow += seconds
        self.advance(0)  # timers first, as an event loop does
        sockets()
        for _ in range(60):
            self.advance(0.001)


def test_after_a_standstill_the_answers_in_our_sockets_come_before_wake_ups():
    desk = Desk()
    late = Late()
    late.rightNow = desk.clock.seconds()
    desk.ask(kind="unsafe", due_ms=1000)
    desk.clock.__class__ = Late
    desk.clock.stand_still(
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


def test_module_that_raises_leaves_nobody_unanswered():
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


def test_outcome_table_of_the_operators_page_is_the_code():
    import pathlib
    import re

    page = (pathlib.Path(__file__).parent.parent / "docs/operators/outcomes.md").read_text()
    rows = re.findall(r"^\| `(\w+)` \| `(\w+)` \| (yes|no) \| (yes|no) \|$", page, re.M)
    assert rows == [
        (name, end.result.value, "no" if end.result.never_executed else "yes", "yes" if end.is_final else "no")
        for name, end in RESPONSE_FLAGS
    ]


class Lines:
    """A pool in which a test answers for the workers."""

    def __init__(self):
        self.asked = []

    def request(self, worker, data, allow_s, done, head_only=False, may_begin=lambda: True):
        exchange = type("Exchange", (), {"worker": worker, "done": staticmethod(done), "called_off": False})()

        def cancel():
            exchange.called_off = True
            done(AttemptResult.CANCELLED, None)

        exchange.cancel = cancel
        self.asked.append(exchange)
        return exchange


def test_second_copies_and_cancels_on_our_own_connections():
    from anisefront.upstream.direct_requests import DirectRequest, DirectRequests
    from anisefront.protocols.http1 import Message

    patient = tuple(replace(kind, latency_objective_ms=1900) for kind in CLASSES)
    desk = Desk(classes=patient, hedging_enabled=True)
    lines, answers = Lines(), []
    own = DirectRequests(desk.request_table, lines, "life", ())
    own.accept(
        DirectRequest("GET", "/a", {}, b""),
        answers.append,
        RequestTerms("c", "safe", "wide", desk.request_table.now_ms() + 2000, 1.0, 0, 1, False),
    )
    desk.run(0.01)
    assert len(lines.asked) == 1
    desk.run(0.9)  # silence: the module sends a second copy, elsewhere
    assert len(lines.asked) == 2 and lines.asked[0].worker != lines.asked[1].worker and not answers
    lines.asked[1].done(None, Message("", "", 200, {}, b"ok", True))
    desk.run(0.01)
    assert [answer.message.body for answer in answers] == [b"ok"] and lines.asked[0].called_off
    assert desk.empty() and not own.open_requests and not own._exchanges
    own.accept(
        DirectRequest("GET", "/a", {}, b""),
        answers.append,
        RequestTerms("c", "unsafe", "wide", desk.request_table.now_ms() + 2000, 1.0, 0, 1, False),
    )
    desk.run(1.0)
    assert len(lines.asked) == 3  # never a copy of what must not run twice


def test_proxies_are_never_asked_for_a_second_copy():
    desk = Desk(classes=tuple(replace(kind, latency_objective_ms=1900) for kind in CLASSES), hedging_enabled=True)
    desk.ask(kind="safe")
    desk.run(1.0)
    assert len(desk.told) == 1 and desk.request_table.counts["attempts"] == 1


# ---- the turn ------------------------------------------------------------------------------------------------------


class Slow:
    """A module of which every event takes a while on the desk's own clock; it notes what it was handed."""

    def __init__(self, desk, each_ms):
        self.desk, self.each_ms, self.turns = desk, each_ms, []

    def handle(self, now, events):
        self.turns.append((now, [type(event).__name__ for event in events]))
        self.desk.clock.rightNow += self.each_ms * len(events) / 1000
        return []


def test_a_turn_is_bounded_and_serves_all_lines_in_turn():
    from anisefront.gateway.event_batches import MAX_ITERATION_MS, SLICE_EVENTS

    desk = Desk()
    request_table = desk.request_table
    slow = request_table.controller = Slow(desk, 0.05)
    for number in range(400):
        request_table.batches.post(AttemptEnded(number, 0, "w", 1.0, AttemptResult.OK, True))
    for _ in range(200):
        request_table.accept(desk.proxied, RequestTerms("c", "safe", "wide", request_table.now_ms() + 2000))
        request_table.receive_peer_message(1, b"x")
    request_table.update_endpoints(EndpointList(SERVERS))
    ends = []
    request_table.batches.after_iteration.append(lambda: ends.append(len(slow.turns)))
    desk.clock.advance(0)
    first = [name for _, names in slow.turns[: ends[0]] for name in names]
    assert (
        first[0] == "EndpointList" and len(first) < 200
    )  # a turn's time is up after about 80 events of 50 microseconds
    assert len(ends) > 5  # between them the loop reads its sockets
    assert request_table.batches.duration_ms.worst_ms < MAX_ITERATION_MS + 3 * SLICE_EVENTS * 0.05 + 0.1
    assert abs(first.count("AttemptEnded") - first.count("Arrival")) <= SLICE_EVENTS and first.count("PeerMessage") > 0
    assert request_table.batches.waiting == 0 and sum(len(names) for _, names in slow.turns) == 801
    order = slow.turns[0][1]
    assert (
        order[1:17] == ["AttemptEnded"] * 16 and order[17:33] == ["Arrival"] * 16 and order[33:] == ["PeerMessage"] * 16
    )


def test_peers_messages_that_no_turn_takes_in_are_dropped_at_their_cap():
    from anisefront.gateway.event_batches import MAX_PEER_MESSAGES

    desk = Desk()
    for _ in range(MAX_PEER_MESSAGES + 50):
        desk.request_table.receive_peer_message(1, b"x")
    assert desk.request_table.batches.waiting == MAX_PEER_MESSAGES and desk.request_table.counts["heard_dropped"] == 50
    desk.ask()
    assert desk.told


def test_an_answer_that_is_due_while_a_turn_is_cut_is_given_in_time():
    desk = Desk(Plan("narrow", 0.001, 1))
    desk.proxied.first_check(
        "first",
        desk.told.append,
        RequestTerms("c", "safe", "narrow", desk.request_table.now_ms() + 2000, 1.0, 0, 1, False),
    )
    desk.run(0.01)
    answers = []
    due = desk.request_table.now_ms() + 300
    desk.proxied.first_check(
        "held",
        lambda answer: answers.append(desk.request_table.now_ms()),
        RequestTerms("c", "safe", "narrow", due, 1.0, 0, 1, False),
    )
    desk.run(0.1)
    kept = desk.request_table.controller.handle

    def slow(now, events):
        desk.clock.rightNow += 0.0002 * len(events)
        return kept(now, events)

    desk.request_table.controller.handle = slow
    for _ in range(40):  # a flood that never lets a turn take all in
        for number in range(60):
            desk.request_table.attempt_ended(10**6 + number, 0, AttemptResult.OK)
            desk.request_table.receive_peer_message(0, b"flood")
        desk.run(0.005)
    assert answers and answers[0] <= due


def test_an_action_that_cannot_be_carried_out_takes_nothing_else_with_it():
    class Module:
        def __init__(self):
            self.next, self.events = [], []

        def handle(self, now, events):
            self.events += events
            out, self.next = self.next, []
            return out

    class Carrier:
        def __init__(self, good):
            self.good, self.did = good, []

        def start_attempt(self, *what):
            self.reject(*what)

        def reject(self, *what):
            if not self.good:
                raise OSError("no more descriptors")
            self.did.append(what)

    reactor, raised = MemoryReactorClock(), []
    module, bad, good = Module(), Carrier(False), Carrier(True)
    request_table = RequestTable(module, lambda: reactor.seconds() * 1000, reactor, on_action_error=raised.append)
    request_table.update_endpoints(EndpointList((Endpoint("s1", "z", 0, EndpointStatus.READY),)))
    for carrier in (bad, good, bad, good):
        request_table.accept(carrier, RequestTerms("f", "look", "rated", 5000.0))
    module.next = [StartAttempt(1, "s1", 100.0), StartAttempt(2, "s1", 100.0), Reject(3), Reject(4)]
    reactor.advance(0)
    reactor.advance(0)
    assert [type(each) for each in raised] == [OSError, OSError] and len(good.did) == 2
    assert [each.result for each in module.events if isinstance(each, AttemptEnded)] == [AttemptResult.ERROR]
    assert set(request_table.requests) == {1, 2} and request_table.open_requests == 2
    module.next = [StartAttempt(1, "s1", 100.0)]
    request_table._on_action_error = None
    request_table.batches.schedule_iteration()
    with pytest.raises(OSError):
        reactor.advance(0)


@pytest.mark.parametrize("offset_ms", range(5))
@pytest.mark.parametrize(("tick_ms", "margin_ms"), [(TICK_MS, 0.0), (1.0, 100 * MAX_READ_DELAY_FRACTION)])
def test_a_final_answer_without_a_response_is_given_before_the_deadline(tick_ms, margin_ms, offset_ms):
    # Guards against answers that are late by the grain of the timers. The platform's front, whose tick may be 1 ms,
    # makes requests due before their clients' timeouts, here one of 100 ms.
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
