"""Requests of one identity at several gateways: outcomes for those that wait for the first one."""

from collections import Counter

import pytest
from twisted.internet.task import Clock

from anisefront.cluster.replication_codec import decode
from anisefront.cluster.replication_messages import Outcome, OutcomeQuery, OutcomeReply
from anisefront.daemon.duplicate_requests import OUTCOME_TIMEOUT_S, DuplicateRequests
from anisefront.daemon.request_records import encode_response
from anisefront.protocols import http1
from anisefront.upstream.deduplication import Deduplicator
from anisefront.upstream.direct_requests import DirectRequest, FinalResponse

NAME = b"identity"
JOB = DirectRequest("POST", "/pay", {}, b"")
SERVED = FinalResponse(http1.Message("", "", 200, {}, b"paid", True), "w:1", 1)
FAILED = FinalResponse(reason="ended-elsewhere")
PRIMARY, OTHER = 1, 2


def none_in_flight(identity):
    return False


class Backup:
    """Duplicates at a backup, with a waiting client and another waiting gateway."""

    def __init__(self):
        self.clock, self.sent, self.answers, self.started_anew = Clock(), [], [], []
        self.deduplicator = Deduplicator(lambda: self.clock.seconds() * 1000, self.clock)
        self.duplicates = DuplicateRequests(
            lambda receiver, data: self.sent.append((receiver, decode(data))), self.clock, self.deduplicator, Counter()
        )

    def wait(self):
        self.duplicates.add_waiting_request(
            NAME, JOB, 8000.0, self.answers.append, lambda: self.started_anew.append(NAME), PRIMARY
        )
        self.duplicates.wait_for(NAME, {OTHER})


@pytest.fixture
def backup():
    return Backup()


def test_the_response_of_a_completed_request_is_queried_before_waiting_requests_fail(backup):
    # Guards against "failed" for a served request: its completion arrived here before its response.
    backup.wait()
    backup.duplicates.end_uncertain(NAME, PRIMARY, none_in_flight)
    assert backup.sent == [(PRIMARY, OutcomeQuery(NAME))] and backup.answers == []
    reply = OutcomeReply(NAME, Outcome.RESPONDED, encode_response(SERVED))
    backup.duplicates.on_reply(reply)
    assert [answer.message.body for answer in backup.answers] == [b"paid"]
    assert backup.sent[1:] == [(OTHER, reply)]
    backup.clock.advance(OUTCOME_TIMEOUT_S)
    assert len(backup.answers) == 1 and len(backup.sent) == 2


def test_without_a_reply_the_requests_that_wait_for_a_completed_one_fail(backup):
    backup.wait()
    backup.duplicates.end_uncertain(NAME, PRIMARY, none_in_flight)
    backup.clock.advance(OUTCOME_TIMEOUT_S)
    assert backup.answers == [FAILED] and backup.started_anew == []
    assert backup.sent[-1] == (OTHER, OutcomeReply(NAME, Outcome.MAY_HAVE_EXECUTED))


def test_an_instance_that_queries_while_the_response_is_queried_is_notified_too(backup):
    backup.wait()
    backup.duplicates.end_uncertain(NAME, PRIMARY, none_in_flight)
    backup.duplicates.on_query(OTHER, NAME, is_replicated_here=False)
    backup.clock.advance(OUTCOME_TIMEOUT_S)
    assert backup.sent[-1] == (OTHER, OutcomeReply(NAME, Outcome.MAY_HAVE_EXECUTED))


def test_requests_that_wait_for_one_that_is_in_flight_again_continue_to_wait(backup):
    backup.wait()
    backup.duplicates.end_uncertain(NAME, PRIMARY, lambda identity: True)
    backup.clock.advance(OUTCOME_TIMEOUT_S)
    assert backup.answers == [] and backup.started_anew == []


def test_no_query_is_sent_if_no_request_waits(backup):
    backup.duplicates.end_uncertain(NAME, PRIMARY, none_in_flight)
    assert backup.sent == []


def test_a_request_that_waits_at_a_backup_queries_the_primary(backup):
    # Guards against a wait until the deadline after the request was moved to another backup.
    backup.wait()
    backup.clock.advance(1.0)
    assert backup.sent[0] == (PRIMARY, OutcomeQuery(NAME))


def test_a_request_whose_lock_holder_knows_no_outcome_requests_its_lock_again(backup):
    # Guards against a wait until the deadline: the queried holder had ended and did not know the outcome.
    backup.deduplicator.wait_for_outcome(
        NAME, b"", 8000.0, backup.answers.append, lambda: backup.started_anew.append(NAME)
    )
    backup.duplicates.follow(NAME, (PRIMARY, OTHER))
    backup.clock.pump([0.05] * 100)
    assert backup.started_anew == [NAME] and backup.answers == []
    queried = [receiver for receiver, _ in backup.sent]
    assert queried[:2] == [PRIMARY, PRIMARY] and OTHER in queried and len(queried) <= 10


def test_a_request_whose_lock_holder_is_unavailable_requests_its_lock_again_at_once(backup):
    backup.duplicates.is_unavailable = lambda number: True
    backup.deduplicator.wait_for_outcome(
        NAME, b"", 8000.0, backup.answers.append, lambda: backup.started_anew.append(NAME)
    )
    backup.duplicates.follow(NAME, (PRIMARY, OTHER))
    assert backup.started_anew == [NAME] and backup.sent == []


def test_the_lock_of_a_failed_holder_is_requested_a_few_times_a_second(backup):
    # Guards against a loop of lock requests and refusals: the lock of a failed holder stays until its deadline.
    def request_lock():
        backup.started_anew.append(backup.clock.seconds())
        backup.deduplicator.wait_for_outcome(NAME, b"", 8000.0, backup.answers.append, request_lock)
        backup.duplicates.follow(NAME, (PRIMARY,))

    backup.duplicates.is_unavailable = lambda number: True
    request_lock()
    backup.clock.pump([0.05] * 100)
    assert 5 <= len(backup.started_anew) <= 25


def test_a_holder_that_was_taken_for_dead_for_a_while_is_asked_again(backup):
    # Guards against a wait of seconds: only the backup was queried from then on, which did not know the outcome.
    unavailable = {PRIMARY}
    backup.duplicates.is_unavailable = unavailable.__contains__
    backup.deduplicator.wait_for_outcome(
        NAME, b"", 8000.0, backup.answers.append, lambda: backup.started_anew.append(NAME)
    )
    backup.duplicates.follow(NAME, (PRIMARY, OTHER))
    assert [receiver for receiver, _ in backup.sent] == [OTHER]
    unavailable.clear()
    backup.clock.advance(0.5)
    assert backup.sent[-1] == (PRIMARY, OutcomeQuery(NAME))


@pytest.mark.parametrize("uses_locks", [True, False])
def test_an_instance_that_uses_locks_gets_a_reply_if_nothing_is_known(backup, uses_locks):
    # Guards against a wait of seconds: no reply is right only if the other would run without a lock.
    backup.duplicates.on_query(OTHER, NAME, is_replicated_here=False, uses_locks=uses_locks)
    assert backup.sent == [(OTHER, OutcomeReply(NAME, Outcome.NEVER_EXECUTED))] * uses_locks


def test_a_request_that_waits_at_a_former_backup_requests_the_lock_when_the_primary_has_failed(backup):
    # Guards against a wait until the deadline: the primary had moved its request to another backup and was killed.
    backup.duplicates.is_unavailable = lambda number: number == PRIMARY
    backup.wait()
    backup.clock.advance(1.0)
    assert backup.started_anew == [NAME]


def test_repeated_lock_requests_are_combined_after_an_interval(backup):
    # Guards against hundreds of lock requests a second: each refusal led to a query, its reply to the next request.
    for _ in range(50):
        backup.deduplicator.wait_for_outcome(
            NAME, b"", 8000.0, backup.answers.append, lambda: backup.started_anew.append(NAME)
        )
        backup.duplicates.on_reply(OutcomeReply(NAME, Outcome.NEVER_EXECUTED))
    assert len(backup.started_anew) == 1
    backup.clock.advance(1.0)
    assert len(backup.started_anew) == 50
