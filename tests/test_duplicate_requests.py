"""Requests of one identity at several gateways: what those get that wait for the first of them."""

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
    """Duplicates at a backup at which a client waits, and another gateway too."""

    def __init__(self):
        self.clock, self.sent, self.answers, self.anew = Clock(), [], [], []
        self.deduplicator = Deduplicator(lambda: self.clock.seconds() * 1000, self.clock)
        self.duplicates = DuplicateRequests(
            lambda receiver, data: self.sent.append((receiver, decode(data))), self.clock, self.deduplicator, Counter()
        )

    def wait(self):
        self.duplicates.add_waiting_request(
            NAME, JOB, 8000.0, self.answers.append, lambda: self.anew.append(NAME), PRIMARY
        )
        self.duplicates.wait_for(NAME, {OTHER})


@pytest.fixture
def backup():
    return Backup()


def test_the_response_of_a_completed_request_is_asked_for_before_its_waiters_fail(backup):
    # Guards against "failed" for a request that was served: its end was known here before its response.
    backup.wait()
    backup.duplicates.end_uncertain(NAME, PRIMARY, none_in_flight)
    assert backup.sent == [(PRIMARY, OutcomeQuery(NAME))] and backup.answers == []
    reply = OutcomeReply(NAME, Outcome.RESPONDED, encode_response(SERVED))
    backup.duplicates.on_reply(reply)
    assert [answer.message.body for answer in backup.answers] == [b"paid"]
    assert backup.sent[1:] == [(OTHER, reply)]
    backup.clock.advance(OUTCOME_TIMEOUT_S)
    assert len(backup.answers) == 1 and len(backup.sent) == 2


def test_without_a_reply_the_waiters_of_a_completed_request_fail(backup):
    backup.wait()
    backup.duplicates.end_uncertain(NAME, PRIMARY, none_in_flight)
    backup.clock.advance(OUTCOME_TIMEOUT_S)
    assert backup.answers == [FAILED] and backup.anew == []
    assert backup.sent[-1] == (OTHER, OutcomeReply(NAME, Outcome.MAY_HAVE_EXECUTED))


def test_who_asks_while_the_response_is_asked_for_is_told_of_the_end_too(backup):
    backup.wait()
    backup.duplicates.end_uncertain(NAME, PRIMARY, none_in_flight)
    backup.duplicates.on_query(OTHER, NAME, is_replicated_here=False)
    backup.clock.advance(OUTCOME_TIMEOUT_S)
    assert backup.sent[-1] == (OTHER, OutcomeReply(NAME, Outcome.MAY_HAVE_EXECUTED))


def test_waiters_of_a_request_that_is_in_flight_again_go_on_waiting(backup):
    backup.wait()
    backup.duplicates.end_uncertain(NAME, PRIMARY, lambda identity: True)
    backup.clock.advance(OUTCOME_TIMEOUT_S)
    assert backup.answers == [] and backup.anew == []


def test_nobody_is_asked_where_nobody_waits(backup):
    backup.duplicates.end_uncertain(NAME, PRIMARY, none_in_flight)
    assert backup.sent == []


def test_a_client_that_waits_at_a_backup_asks_the_primary(backup):
    # Guards against a wait until the deadline where the request has moved to another backup since.
    backup.wait()
    backup.clock.advance(1.0)
    assert backup.sent[0] == (PRIMARY, OutcomeQuery(NAME))


def test_a_request_whose_holder_knows_nothing_asks_for_its_lock_again(backup):
    # Guards against a wait until the deadline: a holder that had ended was asked for its outcome and did not know.
    backup.deduplicator.wait_for_outcome(NAME, b"", 8000.0, backup.answers.append, lambda: backup.anew.append(NAME))
    backup.duplicates.follow(NAME, (PRIMARY, OTHER))
    backup.clock.pump([0.05] * 100)
    assert backup.anew == [NAME] and backup.answers == []
    asked = [receiver for receiver, _ in backup.sent]
    assert asked[:2] == [PRIMARY, PRIMARY] and OTHER in asked and len(asked) <= 10


def test_a_request_whose_holder_is_gone_asks_for_its_lock_again_at_once(backup):
    backup.duplicates.is_unavailable = lambda number: True
    backup.deduplicator.wait_for_outcome(NAME, b"", 8000.0, backup.answers.append, lambda: backup.anew.append(NAME))
    backup.duplicates.follow(NAME, (PRIMARY, OTHER))
    assert backup.anew == [NAME] and backup.sent == []


def test_a_lock_of_a_lost_holder_is_asked_for_a_few_times_a_second(backup):
    # Guards against a loop of requests and refusals: the lock of a lost holder stands until its deadline.
    def ask():
        backup.anew.append(backup.clock.seconds())
        backup.deduplicator.wait_for_outcome(NAME, b"", 8000.0, backup.answers.append, ask)
        backup.duplicates.follow(NAME, (PRIMARY,))

    backup.duplicates.is_unavailable = lambda number: True
    ask()
    backup.clock.pump([0.05] * 100)
    assert 5 <= len(backup.anew) <= 25


def test_a_holder_that_was_taken_for_dead_for_a_while_is_asked_again(backup):
    # Guards against seconds of waiting: only the backup was asked from then on, which knew nothing.
    dead = {PRIMARY}
    backup.duplicates.is_unavailable = dead.__contains__
    backup.deduplicator.wait_for_outcome(NAME, b"", 8000.0, backup.answers.append, lambda: backup.anew.append(NAME))
    backup.duplicates.follow(NAME, (PRIMARY, OTHER))
    assert [receiver for receiver, _ in backup.sent] == [OTHER]
    dead.clear()
    backup.clock.advance(0.5)
    assert backup.sent[-1] == (PRIMARY, OutcomeQuery(NAME))


@pytest.mark.parametrize("uses_locks", [True, False])
def test_who_asks_for_locks_is_told_where_nothing_is_known(backup, uses_locks):
    # Guards against seconds of waiting: silence is right only where the other would run without asking the voters.
    backup.duplicates.on_query(OTHER, NAME, is_replicated_here=False, uses_locks=uses_locks)
    assert backup.sent == [(OTHER, OutcomeReply(NAME, Outcome.NEVER_EXECUTED))] * uses_locks


def test_a_client_that_waits_at_a_former_backup_asks_for_the_lock_when_the_primary_is_lost(backup):
    # Guards against a wait until the deadline: the primary had moved its request to another backup, and was killed.
    backup.duplicates.is_unavailable = lambda number: number == PRIMARY
    backup.wait()
    backup.clock.advance(1.0)
    assert backup.anew == [NAME]


def test_requests_that_ask_for_a_lock_again_do_so_together_after_an_interval(backup):
    # Guards against hundreds of requests a second: each refusal led to a query, whose reply led to the next request.
    for _ in range(50):
        backup.deduplicator.wait_for_outcome(NAME, b"", 8000.0, backup.answers.append, lambda: backup.anew.append(NAME))
        backup.duplicates.on_reply(OutcomeReply(NAME, Outcome.NEVER_EXECUTED))
    assert len(backup.anew) == 1
    backup.clock.advance(1.0)
    assert len(backup.anew) == 50
