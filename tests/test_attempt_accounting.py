"""Each attempt that the controller starts ends exactly once, even if its request ends before the attempt is sent."""

from collections import Counter
from dataclasses import replace
from types import SimpleNamespace

import pytest
from hypothesis import settings as hypothesis_settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, precondition, rule
from test_core import CLASSES, SERVERS, ProxyHarness
from test_guard import guarded_desk
from twisted.internet.task import Clock

from anisefront.gateway.request_table import RequestTable
from anisefront.gateway.request_terms import RequestTerms
from anisefront.policy.controller import Controller
from anisefront.policy.events import AttemptResult, EndpointList, EndpointStatus, PriorAttempts
from anisefront.policy.settings import Plan, Settings

EXAMPLES = 800
STEPS = 40
LAST_DEADLINE_S = 3.0
ENDINGS = [each for each in AttemptResult if each is not AttemptResult.DISCARDED]


def attempts_in_flight(controller):
    """Return all counts of attempts in flight in the controller that are not 0, by name."""
    counts = {
        "limit": controller.concurrency_limit.in_flight,
        "tracked": len(controller.attempts.in_flight),
        "requests": len(controller.requests),
        "queued": len(controller.admission.queue),
        "unanswered quota requests": len(controller.quota_borrower.pending),
    }
    counts |= {f"class {name}": count for name, count in controller.admission._in_flight.items()}
    counts |= {f"customer {name}": each.in_flight for name, each in controller.quota_borrower.accounts.items()}
    for name, state in controller.endpoints.known.items():
        counts |= {f"{name}": state.in_flight, f"{name} load": state.load, f"{name} requests": len(state.request_ids)}
    return {name: count for name, count in counts.items() if count}


def attempts_ended(counts):
    """Return the number of ended attempts in the counters of a request table."""
    return sum(counts[f"attempts_{result.value}"] for result in AttemptResult)


def test_attempts_of_clients_that_disconnected_in_the_same_iteration_take_no_capacity():
    # Guards against a permanent loss of capacity: the controller got the ends of attempts before the disconnections.
    desk = ProxyHarness()
    numbers = [
        desk.delegated_requests.first_check(f"r{n}", desk.responses.append, terms(desk.request_table, 2000.0))
        for n in range(200)
    ]
    desk.run(0.005)
    started = [reply.attempt_name for reply in desk.responses]
    assert 20 < len(started) < 200
    for name in started[:20]:
        desk.delegated_requests.attempt_logged(name, AttemptResult.OK, 10.0, (), True)
    for number in numbers[len(started) :]:
        desk.delegated_requests.check_cancelled(number)
    desk.run(0.005)
    for name in started[20:]:
        desk.delegated_requests.attempt_logged(name, AttemptResult.OK, 10.0, (), True)
    desk.run(1)
    assert attempts_in_flight(desk.request_table.controller) == {}
    counts = desk.request_table.counts
    assert counts["attempts"] == attempts_ended(counts) and counts["attempts_moot"] > 0


def terms(table, remaining_ms, class_name="safe"):
    """Return the terms of a request with this time left until its deadline."""
    return RequestTerms("c", class_name, "wide", table.now_ms() + remaining_ms, 1.0, 0, 1, False)


@pytest.mark.parametrize(("uncertain", "response"), [(0, "reject"), (1, "fail")])
def test_an_unprotected_request_is_rejected_as_safe_to_retry_only_if_no_attempt_may_have_been_executed(
    uncertain, response
):
    # Guards against a second execution: a request that a failed instance had started was rejected as safe to retry.
    desk = ProxyHarness()
    answers = []
    handler = SimpleNamespace(
        reject=lambda number, retry_after_ms, reason: answers.append("reject"),
        fail=lambda number: answers.append("fail"),
    )
    prior_attempts = PriorAttempts(1, uncertain, SERVERS[0].id)
    number = desk.request_table.accept(
        handler, terms(desk.request_table, 2000.0, "keyed"), prior_attempts=prior_attempts
    )
    desk.request_table.reject_unprotected(number)
    assert answers == [response]
    desk.run(0.01)
    assert not desk.request_table.requests


@pytest.mark.parametrize(
    ("result", "response"), [(AttemptResult.CONNECT_FAILED, "reject"), (AttemptResult.RESET, "fail")]
)
def test_an_unprotected_request_whose_ended_attempt_may_have_been_executed_is_not_rejected_as_safe(result, response):
    # Guards against a second execution: only attempts of a failed instance and those in flight were looked at.
    desk, guard = guarded_desk()
    answers = []
    handler = SimpleNamespace(
        start_attempt=lambda *values: None,
        reject=lambda number, retry_after_ms, reason: answers.append("reject"),
        fail=lambda number: answers.append("fail"),
    )
    number = desk.request_table.accept(handler, terms(desk.request_table, 2000.0, "keyed"))
    desk.run(0.01)
    desk.request_table.release_attempt(number, 0)
    desk.request_table.attempt_ended(number, 0, result)
    desk.run(0.01)
    assert [attempt for _, attempt, _ in guard.attempts] == [0, 1]  # the second one is withheld
    desk.request_table.reject_unprotected(number)
    assert answers == [response]


class Handler:
    """An attempt handler whose next call can be made to raise, before or after its work."""

    def __init__(self):
        self.table = None
        self.in_flight = set()
        self.responses = Counter()
        self.raising = ""

    def _raise(self, when):
        if self.raising == when:
            self.raising = ""
            raise OSError("no descriptors left")

    def start_attempt(self, request, attempt, endpoint, timeout_ms):
        self._raise("before")
        self.in_flight.add((request, attempt))
        self._raise("after")

    def cancel_attempt(self, request, attempt):
        self._raise("before")
        self.end(request, attempt, AttemptResult.CANCELLED)
        self._raise("after")

    def end(self, request, attempt, result):
        self.in_flight.discard((request, attempt))
        self.table.attempt_ended(request, attempt, result)

    def reject(self, request, retry_after_ms, reason):
        self.responses[request] += 1
        self._raise("after")

    def fail(self, request):
        self.responses[request] += 1

    def yield_to_duplicate(self, arrival, identity):
        self.table.client_disconnected(arrival.id)


class Guard:
    """A replication guard that withholds attempts and rejections while `withholding` is set."""

    def __init__(self):
        self.withholding = False
        self.withheld = []
        self.withheld_rejections = []

    def try_protect(self, request):
        return True

    def may_release_attempt(self, request, attempt, endpoint):
        if self.withholding:
            self.withheld.append((request, attempt))
        return not self.withholding

    def may_release_rejection(self, request):
        if self.withholding:
            self.withheld_rejections.append(request)
        return not self.withholding

    def attempt_never_executed(self, request, attempt):
        pass

    def try_follow_owner(self, request):
        return False

    def request_completed(self, request):
        pass


class AttemptAccounting(RuleBasedStateMachine):
    """Requests, their ends and errors in any order, several of them in one iteration of the event loop."""

    def __init__(self):
        super().__init__()
        self.clock = Clock()
        settings = Settings(
            gateways=1,
            number=0,
            zone="a",
            classes=CLASSES,
            plans=(Plan("wide", 20, 20),),
            warm_up_ms=5000,
            slow_start_initial_factor=0.2,
            overload_multiple=3,
            overload_window_ms=1000,
            max_attempts=3,
            tick_ms=5,
            hedging_enabled=True,
        )
        self.settings = settings
        self.raised = []
        self.table = RequestTable(
            Controller(settings, 7),
            lambda: 1e6 + self.clock.seconds() * 1000,
            self.clock,
            on_action_error=self.raised.append,
        )
        self.handler = Handler()
        self.handler.table = self.table
        self.guard = self.table.guard = Guard()
        self.numbers = []
        self.table.update_endpoints(EndpointList(SERVERS))
        self.run(0.01)

    @rule(seconds=st.sampled_from([0.0, 0.001, 0.06, 0.3, 1.0]))
    def run(self, seconds):
        self.clock.pump([0.0, 0.0, seconds, 0.0, 0.0])

    @rule(
        count=st.integers(1, 30),
        class_name=st.sampled_from([each.name for each in CLASSES]),
        remaining_ms=st.sampled_from([40.0, 300.0, 2000.0]),
        prior=st.sampled_from([None, PriorAttempts(1, 0, SERVERS[0].id), PriorAttempts(2, 1, SERVERS[1].id)]),
    )
    def accept(self, count, class_name, remaining_ms, prior):
        for _ in range(count):
            self.numbers.append(
                self.table.accept(self.handler, terms(self.table, remaining_ms, class_name), prior_attempts=prior)
            )

    @precondition(lambda self: self.handler.in_flight)
    @rule(data=st.data(), count=st.integers(1, 20), result=st.sampled_from(ENDINGS))
    def end_attempts(self, data, count, result):
        for _ in range(min(count, len(self.handler.in_flight))):
            self.handler.end(*data.draw(st.sampled_from(sorted(self.handler.in_flight))), result)

    @precondition(lambda self: self.numbers)
    @rule(data=st.data(), count=st.integers(1, 20))
    def disconnect(self, data, count):
        last = data.draw(st.integers(1, len(self.numbers)))
        for number in self.numbers[max(0, last - count) : last]:
            self.table.client_disconnected(number)

    @precondition(lambda self: self.numbers)
    @rule(data=st.data(), method=st.sampled_from(["transfer_to_backup", "reject_unprotected", "release_rejection"]))
    def replicate(self, data, method):
        getattr(self.table, method)(data.draw(st.sampled_from(self.numbers)))

    @precondition(lambda self: self.numbers)
    @rule(data=st.data())
    def yield_to_duplicate(self, data):
        request = self.table.requests.get(data.draw(st.sampled_from(self.numbers)))
        if request is not None and not request.ended:
            request.handler.yield_to_duplicate(request.arrival, "")

    @rule(withholding=st.booleans())
    def withhold(self, withholding):
        self.guard.withholding = withholding

    @rule()
    def release_withheld(self):
        withheld, self.guard.withheld = self.guard.withheld, []
        for request, attempt in withheld:
            self.table.release_attempt(request, attempt)

    @rule(statuses=st.lists(st.sampled_from(EndpointStatus), min_size=len(SERVERS), max_size=len(SERVERS)))
    def list_endpoints(self, statuses):
        listed = zip(SERVERS, statuses, strict=True)
        self.table.update_endpoints(EndpointList(tuple(replace(each, status=status) for each, status in listed)))

    @rule(cancellation=st.booleans(), hedging=st.booleans(), rate_per_s=st.sampled_from([1.0, 20.0, 1000.0]))
    def change_settings(self, cancellation, hedging, rate_per_s):
        plans = (Plan("wide", rate_per_s, rate_per_s),)
        self.settings = replace(self.settings, cancellation_enabled=cancellation, hedging_enabled=hedging, plans=plans)
        self.table.change_settings(self.settings)

    @rule(when=st.sampled_from(["before", "after"]))
    def make_handler_raise(self, when):
        self.handler.raising = when

    def teardown(self):
        """End all open requests and attempts, after which every count of attempts in flight must be 0."""
        self.handler.raising = ""
        self.guard.withholding = False
        self.run(0.0)
        for number in self.numbers:
            self.table.client_disconnected(number)
        self.run(0.0)
        for request, attempt in sorted(self.handler.in_flight):
            self.handler.end(request, attempt, AttemptResult.TIMEOUT)
        for _ in range(10):
            self.run(LAST_DEADLINE_S / 10)
        assert attempts_in_flight(self.table.controller) == {}
        assert not self.table.requests and not self.table.open_requests
        assert self.table.counts["attempts"] == attempts_ended(self.table.counts)
        assert not self.handler.responses or max(self.handler.responses.values()) == 1


AttemptAccounting.TestCase.settings = hypothesis_settings(
    max_examples=EXAMPLES, stateful_step_count=STEPS, deadline=None, derandomize=True
)
TestAttemptAccounting = AttemptAccounting.TestCase
