"""What a request that another gatekeeper had means to the module, and what the ledger's guard holds back; in memory."""

import json
from dataclasses import replace

import pytest
from test_core import SERVERS, Desk
from test_module import ENDPOINT_LIST, new_arrival, new_controller, actions_of
from twisted.internet.task import Clock

from anisefront.upstream.direct_requests import FinalResponse
from anisefront.upstream.delegated_checks import Verdict
from anisefront.upstream.deduplication import Deduplicator
from anisefront.daemon.request_records import RequestRecord, decode_record
from anisefront.policy.actions import Fail, Reject, SendToPeer, StartAttempt
from anisefront.policy.events import AttemptResult, EndpointList, EndpointStatus, PriorAttempts

FIRST = ENDPOINT_LIST.endpoints[0].id


class Guard:
    """Says nothing until it is told to."""

    def __init__(self):
        self.asked, self.refusals, self.never, self.ended = [], [], [], []

    def try_protect(self, entry):
        return True

    def may_release_attempt(self, request, attempt, worker):
        self.asked.append((request, attempt, worker))
        return False

    def may_release_rejection(self, request):
        self.refusals.append(request)
        return False

    def attempt_never_executed(self, request, attempt):
        self.never.append((request, attempt))

    def try_follow_owner(self, request):
        return False

    def request_completed(self, request):
        self.ended.append(request)


def guarded():
    desk, guard = Desk(), Guard()
    desk.request_table.guard = guard
    return desk, guard


# ---- the module -----------------------------------------------------------------------------------


@pytest.mark.parametrize(
    "name, past, kind",
    [
        ("debit", PriorAttempts(1, 1, FIRST, 900.0, True), Fail),  # it may have run
        ("debit", PriorAttempts(1, 0, FIRST, 900.0, True), StartAttempt),  # it is proved that it never ran
        ("debit", PriorAttempts(), StartAttempt),
        ("look", PriorAttempts(1, 1, FIRST, 900.0, True), StartAttempt),
        ("look", PriorAttempts(99, 1, FIRST, 900.0, True), Reject),
    ],
)
def test_a_request_that_another_gateway_had(name, past, kind):
    actions = new_controller().handle(1000.0, [ENDPOINT_LIST, replace(new_arrival(1, name), prior_attempts=past)])
    assert actions_of(kind, actions), actions
    assert all(send.endpoint != past.endpoint for send in actions_of(StartAttempt, actions))


def test_units_that_were_drawn_are_not_drawn_again():
    asked = actions_of(
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
    assert asked == []


# ---- the ledger -----------------------------------------------------------------------------------


def test_an_attempt_leaves_when_the_guard_says_so_and_in_what_time_is_left():
    desk, guard = guarded()
    number = desk.ask(kind="unsafe")
    desk.run(0.1)
    assert desk.told == [] and guard.asked[0][:2] == (number, 0)
    desk.request_table.release_attempt(number, 0)
    assert desk.told[0].verdict is Verdict.START_ATTEMPT and desk.told[0].timeout_ms < 1900
    desk.request_table.release_attempt(number, 0)  # said twice
    desk.log(desk.told[0].attempt_name, AttemptResult.OK)
    assert desk.empty() and guard.ended == [number] and len(desk.told) == 1


def test_an_attempt_whose_worker_drains_meanwhile_is_decided_anew():
    desk, guard = guarded()
    number = desk.ask(kind="unsafe")
    gone = guard.asked[0][2]
    desk.request_table.update_endpoints(
        EndpointList(
            tuple(replace(each, status=EndpointStatus.DRAINING) if each.id == gone else each for each in SERVERS)
        )
    )
    desk.run(0.005)
    desk.request_table.release_attempt(number, 0)
    desk.run(0.005)
    assert guard.never == [(number, 0)] and guard.asked[1][1:] != (0, gone) and guard.asked[1][2] != gone


def test_a_lost_request_is_failed_and_nothing_leaves_for_it():
    desk, guard = guarded()
    number = desk.ask(kind="unsafe")
    desk.request_table.transfer_to_backup(number)
    desk.request_table.release_attempt(number, 0)
    desk.run(0.01)
    assert [answer.verdict for answer in desk.told] == [Verdict.FAILED] and desk.empty()
    assert desk.request_table.counts["lost"] == 1


def test_a_lost_request_passes_on_what_its_own_attempt_brings_and_asks_for_no_other():
    desk, guard = guarded()
    number = desk.ask(kind="unsafe")
    desk.request_table.release_attempt(number, 0)
    desk.request_table.transfer_to_backup(number)
    desk.run(0.01)
    assert (
        desk.log(desk.told[0].attempt_name, AttemptResult.OK)
        and desk.request_table.counts["served"] == 1
        and desk.empty()
    )
    other = desk.ask("r2", kind="unsafe")
    desk.request_table.release_attempt(other, 0)
    desk.request_table.transfer_to_backup(other)
    desk.log(desk.told[1].attempt_name, AttemptResult.CONNECT_FAILED)
    desk.again(desk.told[1].attempt_name)
    assert desk.told[-1].verdict is Verdict.FAILED and len(guard.asked) == 2


def test_a_refusal_waits_for_the_guard_and_is_failed_where_no_word_comes_in_time():
    desk, guard = guarded()
    desk.request_table.update_endpoints(EndpointList(()))
    number, other = desk.ask("r1", "unsafe", 600.0), desk.ask("r2", "unsafe", 600.0)
    desk.run(0.55)
    assert guard.refusals and desk.told == []
    desk.request_table.release_rejection(number)
    assert [answer.verdict for answer in desk.told] == [Verdict.REJECTED]
    desk.run(0.1)
    assert [answer.verdict for answer in desk.told] == [Verdict.REJECTED, Verdict.FAILED]  # no promise without a word
    assert desk.empty() and other in guard.ended


def test_a_guard_that_wants_protection_has_nothing_counted():
    desk, guard = guarded()
    guard.try_protect = lambda entry: False
    assert desk.ask(kind="unsafe") is None and desk.told[0].verdict is Verdict.REJECTED and desk.empty()


def test_a_record_of_another_version_or_class_is_no_record():
    good = [1, "own", "", "c", "pay", "p", 1.0, 0, 1, {}]
    assert decode_record(json.dumps(good).encode(), {"pay": None}) == RequestRecord(*good[1:])
    for bad in (b"", b"[]", b"3", b"{}", b"\xff", json.dumps([2, *good[1:]]).encode(), json.dumps(good[:-1]).encode()):
        assert decode_record(bad, {"pay": None}) is None
    assert decode_record(json.dumps(good).encode(), {"order": None}) is None


# ---- clients that come back --------------------------------------------------------------------------


def returning():
    clock = Clock()
    return clock, Deduplicator(lambda: clock.seconds() * 1000, clock), []


def test_all_tries_of_one_name_get_the_one_answer_before_and_after_it_came():
    _, desk, told = returning()
    desk.wait_for_outcome(b"n", b"m", 5000.0, told.append, lambda: told.append("alone"))
    assert desk.add(b"n", b"m", 5000.0) and not desk.add(b"n", b"m", 5000.0)
    assert desk.try_join(b"n", b"m", told.append) and desk.try_join(b"n", b"x", told.append)
    assert [answer.reason for answer in told] == ["another-request-under-this-name"]
    answer = FinalResponse(reason="failed")
    desk.record_response(b"n", answer)
    desk.record_response(b"n", FinalResponse(is_rejected=True))
    assert desk.try_join(b"n", b"m", told.append) and told[1:] == [answer] * 3


def test_a_try_whose_time_is_up_or_whose_way_is_free_waits_no_longer():
    clock, desk, told = returning()
    desk.wait_for_outcome(b"n", b"m", 1000.0, told.append, lambda: told.append("alone"))
    desk.wait_for_outcome(b"o", b"m", 9000.0, told.append, lambda: told.append("alone"))
    clock.advance(1.1)
    assert [answer.reason for answer in told] == ["in-progress"]
    desk.ended_elsewhere(b"o", False)
    desk.ended_elsewhere(b"n", False)
    desk.wait_for_outcome(b"o", b"m", 9000.0, told.append, lambda: told.append("alone"))
    desk.ended_elsewhere(b"o", True)
    assert told[1] == "alone" and told[2].reason == "ended-elsewhere" and len(told) == 3


def test_a_try_whose_time_is_up_while_another_of_its_name_is_in_progress_fails():
    # Guards against a second effect: "refused, safe to retry" was said of a request that was then executed.
    clock, desk, told = returning()
    desk.wait_for_outcome(b"n", b"m", 1000.0, told.append, lambda: told.append("alone"))
    clock.advance(1.1)
    assert told == [FinalResponse(reason="in-progress")] and not told[0].is_rejected
    desk.responded_elsewhere(b"n", FinalResponse(reason="failed"))  # the other's outcome comes after that
    assert len(told) == 1


def test_answers_are_let_go_when_their_time_is_over():
    clock, desk, _ = returning()
    for number in range(5):
        desk.add(b"%d" % number, b"m", 1000.0)
        desk.record_response(b"%d" % number, FinalResponse())
    clock.advance(60.0)
    desk.add(b"last", b"m", 70_000.0)
    assert len(desk) == 1
