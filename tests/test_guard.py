"""Requests taken over from another instance, attempts and rejections withheld by the guard, and deduplication."""

import json
from dataclasses import replace

import pytest
from test_core import SERVERS, ProxyHarness
from test_module import ENDPOINT_LIST, actions_of, new_arrival, new_controller
from twisted.internet.task import Clock

from anisefront.upstream.direct_requests import FinalResponse
from anisefront.upstream.delegated_checks import Verdict
from anisefront.upstream.deduplication import Deduplicator
from anisefront.daemon.request_records import RequestRecord, decode_record
from anisefront.policy.actions import Fail, Reject, SendToPeer, StartAttempt
from anisefront.policy.events import AttemptResult, EndpointList, EndpointStatus, PriorAttempts

FIRST = ENDPOINT_LIST.endpoints[0].id


class WithholdingGuard:
    """Guard that withholds all attempts and rejections, and records the calls."""

    def __init__(self):
        self.attempts, self.rejections, self.never_executed, self.completed = [], [], [], []

    def try_protect(self, entry):
        return True

    def may_release_attempt(self, request, attempt, endpoint):
        self.attempts.append((request, attempt, endpoint))
        return False

    def may_release_rejection(self, request):
        self.rejections.append(request)
        return False

    def attempt_never_executed(self, request, attempt):
        self.never_executed.append((request, attempt))

    def try_follow_owner(self, request):
        return False

    def request_completed(self, request):
        self.completed.append(request)


def guarded_desk():
    desk, guard = ProxyHarness(), WithholdingGuard()
    desk.request_table.guard = guard
    return desk, guard


# ---- controller -----------------------------------------------------------------------------------


@pytest.mark.parametrize(
    "name, prior_attempts, kind",
    [
        ("debit", PriorAttempts(1, 1, FIRST, 900.0, True), Fail),  # may have executed
        ("debit", PriorAttempts(1, 0, FIRST, 900.0, True), StartAttempt),  # proven never to have executed
        ("debit", PriorAttempts(), StartAttempt),
        ("look", PriorAttempts(1, 1, FIRST, 900.0, True), StartAttempt),
        ("look", PriorAttempts(99, 1, FIRST, 900.0, True), Reject),
    ],
)
def test_a_request_with_prior_attempts_of_another_instance(name, prior_attempts, kind):
    actions = new_controller().handle(
        1000.0, [ENDPOINT_LIST, replace(new_arrival(1, name), prior_attempts=prior_attempts)]
    )
    assert actions_of(kind, actions), actions
    assert all(send.endpoint != prior_attempts.endpoint for send in actions_of(StartAttempt, actions))


def test_quota_units_of_a_taken_over_request_are_not_drawn_again():
    peer_messages = actions_of(
        SendToPeer,
        new_controller(gateways=3, number=0, peer_messages_enabled=True).handle(
            1000.0,
            [
                ENDPOINT_LIST,
                replace(
                    new_arrival(1), prior_attempts=PriorAttempts(1, 1, FIRST, 900.0, True), first_gateway=1, spread=1
                ),
            ],
        ),
    )
    assert peer_messages == []


# ---- request table --------------------------------------------------------------------------------


def test_an_attempt_starts_when_the_guard_releases_it_with_the_remaining_time():
    desk, guard = guarded_desk()
    number = desk.check(class_name="unsafe")
    desk.run(0.1)
    assert desk.responses == [] and guard.attempts[0][:2] == (number, 0)
    desk.request_table.release_attempt(number, 0)
    assert desk.responses[0].verdict is Verdict.START_ATTEMPT and desk.responses[0].timeout_ms < 1900
    desk.request_table.release_attempt(number, 0)  # duplicate call
    desk.log(desk.responses[0].attempt_name, AttemptResult.OK)
    assert desk.is_empty() and guard.completed == [number] and len(desk.responses) == 1


def test_an_attempt_whose_endpoint_drains_meanwhile_is_decided_again():
    desk, guard = guarded_desk()
    number = desk.check(class_name="unsafe")
    draining = guard.attempts[0][2]
    desk.request_table.update_endpoints(
        EndpointList(
            tuple(replace(each, status=EndpointStatus.DRAINING) if each.id == draining else each for each in SERVERS)
        )
    )
    desk.run(0.005)
    desk.request_table.release_attempt(number, 0)
    desk.run(0.005)
    assert (
        guard.never_executed == [(number, 0)]
        and guard.attempts[1][1:] != (0, draining)
        and guard.attempts[1][2] != draining
    )


def test_a_lost_request_fails_and_none_of_its_attempts_starts():
    desk, guard = guarded_desk()
    number = desk.check(class_name="unsafe")
    desk.request_table.transfer_to_backup(number)
    desk.request_table.release_attempt(number, 0)
    desk.run(0.01)
    assert [response.verdict for response in desk.responses] == [Verdict.FAILED] and desk.is_empty()
    assert desk.request_table.counts["lost"] == 1


def test_a_lost_request_delivers_the_response_of_its_own_attempt_and_starts_no_other():
    desk, guard = guarded_desk()
    number = desk.check(class_name="unsafe")
    desk.request_table.release_attempt(number, 0)
    desk.request_table.transfer_to_backup(number)
    desk.run(0.01)
    assert (
        desk.log(desk.responses[0].attempt_name, AttemptResult.OK)
        and desk.request_table.counts["served"] == 1
        and desk.is_empty()
    )
    other = desk.check("r2", class_name="unsafe")
    desk.request_table.release_attempt(other, 0)
    desk.request_table.transfer_to_backup(other)
    desk.log(desk.responses[1].attempt_name, AttemptResult.CONNECT_FAILED)
    desk.next_check(desk.responses[1].attempt_name)
    assert desk.responses[-1].verdict is Verdict.FAILED and len(guard.attempts) == 2


def test_a_rejection_awaits_the_guard_and_fails_at_the_deadline():
    desk, guard = guarded_desk()
    desk.request_table.update_endpoints(EndpointList(()))
    number, other = desk.check("r1", "unsafe", 600.0), desk.check("r2", "unsafe", 600.0)
    desk.run(0.55)
    assert guard.rejections and desk.responses == []
    desk.request_table.release_rejection(number)
    assert [response.verdict for response in desk.responses] == [Verdict.REJECTED]
    desk.run(0.1)
    assert [response.verdict for response in desk.responses] == [
        Verdict.REJECTED,
        Verdict.FAILED,
    ]  # no rejection without the guard's consent
    assert desk.is_empty() and other in guard.completed


def test_a_request_that_the_guard_cannot_protect_is_rejected():
    desk, guard = guarded_desk()
    guard.try_protect = lambda entry: False
    assert desk.check(class_name="unsafe") is None and desk.responses[0].verdict is Verdict.REJECTED and desk.is_empty()


def test_a_record_of_another_version_or_unknown_class_is_not_decoded():
    good = [1, "own", "", "c", "pay", "p", 1.0, 0, 1, {}]
    assert decode_record(json.dumps(good).encode(), {"pay": None}) == RequestRecord(*good[1:])
    for bad in (b"", b"[]", b"3", b"{}", b"\xff", json.dumps([2, *good[1:]]).encode(), json.dumps(good[:-1]).encode()):
        assert decode_record(bad, {"pay": None}) is None
    assert decode_record(json.dumps(good).encode(), {"order": None}) is None


# ---- retries of clients ---------------------------------------------------------------------------


def make_deduplicator():
    clock = Clock()
    return clock, Deduplicator(lambda: clock.seconds() * 1000, clock), []


def test_all_retries_of_one_identity_get_the_same_response():
    _, deduplicator, outcomes = make_deduplicator()
    deduplicator.wait_for_outcome(b"n", b"m", 5000.0, outcomes.append, lambda: outcomes.append("execute"))
    assert deduplicator.add(b"n", b"m", 5000.0) and not deduplicator.add(b"n", b"m", 5000.0)
    assert deduplicator.try_join(b"n", b"m", outcomes.append) and deduplicator.try_join(b"n", b"x", outcomes.append)
    assert [response.reason for response in outcomes] == ["another-request-under-this-name"]
    response = FinalResponse(reason="failed")
    deduplicator.record_response(b"n", response)
    deduplicator.record_response(b"n", FinalResponse(is_rejected=True))
    assert deduplicator.try_join(b"n", b"m", outcomes.append) and outcomes[1:] == [response] * 3


def test_a_retry_stops_waiting_at_its_deadline_or_when_the_other_request_ended():
    clock, deduplicator, outcomes = make_deduplicator()
    deduplicator.wait_for_outcome(b"n", b"m", 1000.0, outcomes.append, lambda: outcomes.append("execute"))
    deduplicator.wait_for_outcome(b"o", b"m", 9000.0, outcomes.append, lambda: outcomes.append("execute"))
    clock.advance(1.1)
    assert [response.reason for response in outcomes] == ["in-progress"]
    deduplicator.ended_elsewhere(b"o", False)
    deduplicator.ended_elsewhere(b"n", False)
    deduplicator.wait_for_outcome(b"o", b"m", 9000.0, outcomes.append, lambda: outcomes.append("execute"))
    deduplicator.ended_elsewhere(b"o", True)
    assert outcomes[1] == "execute" and outcomes[2].reason == "ended-elsewhere" and len(outcomes) == 3


def test_a_retry_whose_deadline_passes_while_the_other_request_is_in_progress_fails():
    # Guards against a second effect: a request was rejected as safe to retry, and executed afterwards.
    clock, deduplicator, outcomes = make_deduplicator()
    deduplicator.wait_for_outcome(b"n", b"m", 1000.0, outcomes.append, lambda: outcomes.append("execute"))
    clock.advance(1.1)
    assert outcomes == [FinalResponse(reason="in-progress")] and not outcomes[0].is_rejected
    deduplicator.responded_elsewhere(b"n", FinalResponse(reason="failed"))  # the other request's outcome arrives later
    assert len(outcomes) == 1


def test_stored_responses_are_evicted_when_they_expire():
    clock, deduplicator, _ = make_deduplicator()
    for number in range(5):
        deduplicator.add(b"%d" % number, b"m", 1000.0)
        deduplicator.record_response(b"%d" % number, FinalResponse())
    clock.advance(60.0)
    deduplicator.add(b"last", b"m", 70_000.0)
    assert len(deduplicator) == 1
