"""Takeover: the lock of a failed primary's request is continued by exactly one local request or released."""

import math
import types
from collections import Counter

import pytest
from twisted.internet.task import Clock

from anisefront.cluster.backup_state import ReplicatedRequest
from anisefront.cluster.lock_messages import LockOwner
from anisefront.cluster.replication_messages import Outcome
from anisefront.daemon.duplicate_requests import DuplicateRequests
from anisefront.daemon.request_records import RequestRecord, content_digest
from anisefront.daemon.request_takeover import DIRECT_REQUEST_KIND, RequestTakeover
from anisefront.policy.settings import DeduplicationScope, Idempotency, RequestClass
from anisefront.protocols import http1
from anisefront.upstream.deduplication import Deduplicator
from anisefront.upstream.direct_requests import DirectRequest, FinalResponse

IDENTITY = b"identity"
DEADLINE_MS = 8000.0
NEVER_MS = -math.inf
JOB = DirectRequest("POST", "/pay", {}, b"")
DATA = {"method": JOB.method, "target": JOB.target, "headers": {}, "body": ""}
RECORD = RequestRecord(DIRECT_REQUEST_KIND, "k", "stall", "pay", "wide", 1.0, 0, 1, DATA).encode()
OWNER = LockOwner(0, 1, 7)
SERVED = FinalResponse(http1.Message("", "", 200, {}, b"paid", True), "w:1", 1)


class TakeoverHarness:
    """A takeover whose locks, request table and direct requests only record calls."""

    def __init__(self):
        self.clock, self.released, self.continued, self.resumed, self.transferred = Clock(), [], [], [], []
        self.has_lock = self.is_lost = False
        self.is_undecided = self.accepts = True
        self.deduplicator = Deduplicator(lambda: self.clock.seconds() * 1000, self.clock)
        self.duplicates = DuplicateRequests(lambda receiver, data: None, self.clock, self.deduplicator, Counter())
        primary = types.SimpleNamespace(
            has_lock=lambda request: self.has_lock,
            is_lost=lambda request: self.is_lost,
            backup_of=lambda request: None,
        )
        locks = types.SimpleNamespace(
            release_predecessor=lambda identity, owner, deadline_ms: self.released.append(owner),
            continue_predecessor=self.continue_predecessor,
        )
        log = types.SimpleNamespace(info=lambda *values, **fields: None)
        self.takeover = RequestTakeover(
            lambda: self.clock.seconds() * 1000, log, primary, locks, self.deduplicator, self.duplicates, Counter()
        )
        self.set_class(Idempotency.NON_IDEMPOTENT)
        table = types.SimpleNamespace(transfer_to_backup=self.transferred.append)
        self.takeover.attach(table, types.SimpleNamespace(resume=self.resume), None)

    def set_class(self, *repeats):
        self.takeover.update_classes({"pay": RequestClass("pay", 4000, DEADLINE_MS, 3.0, *repeats)})

    def continue_predecessor(self, now_ms, request, owner):
        if self.is_undecided:
            self.continued.append(owner)
        return self.is_undecided

    def resume(self, *request):
        self.resumed.append(request)
        if self.accepts:
            self.request_lock_again()

    def request_lock_again(self):
        """Accept a local request of the identity, which requests its lock."""
        self.continued.append(self.takeover.inherited_locks.take(IDENTITY).owner)

    def take_over(self, attempts=(), record=RECORD, started_ms=0.0):
        replica = ReplicatedRequest(OWNER.request, True, DEADLINE_MS, IDENTITY, record)
        replica.attempts.update(dict.fromkeys(attempts, ("w:1", started_ms)))
        self.takeover.take_over(OWNER.number, OWNER.incarnation, replica)

    def wait(self, request_lock):
        """Let a request taken over before wait after it yielded; `request_lock` is called when it is to start again."""
        self.deduplicator.add(IDENTITY, content_digest(JOB), DEADLINE_MS)
        self.responses = []
        self.deduplicator.wait_for_outcome(
            IDENTITY, content_digest(JOB), DEADLINE_MS, self.responses.append, request_lock
        )


@pytest.fixture
def harness():
    return TakeoverHarness()


def test_a_request_that_is_taken_over_continues_its_lock(harness):
    harness.take_over()
    assert (harness.continued, harness.released, len(harness.resumed)) == ([OWNER], [], 1)


@pytest.mark.parametrize("attempts", [(), (0,)])
def test_the_lock_of_a_request_that_is_not_accepted_is_released_unless_it_may_have_executed(harness, attempts):
    # Guards against a lock of a failed owner that no instance continues or releases.
    harness.accepts = False
    harness.take_over(attempts)
    assert harness.released == ([] if attempts else [OWNER]) and IDENTITY not in harness.takeover.inherited_locks


@pytest.mark.parametrize("attempts", [(), (0,)])
@pytest.mark.parametrize("record", [b"", RECORD.replace(b'"body"', b'"other"')])
def test_the_lock_of_a_request_with_an_unreadable_record_is_released_unless_it_may_have_executed(
    harness, attempts, record
):
    harness.take_over(attempts, record)
    assert harness.released == ([] if attempts else [OWNER]) and harness.resumed == []


def test_the_lock_of_a_request_that_was_answered_here_before_is_released(harness):
    harness.deduplicator.add(IDENTITY, content_digest(JOB), DEADLINE_MS)
    harness.deduplicator.record_response(IDENTITY, SERVED)
    harness.take_over()
    assert (harness.released, harness.resumed) == ([OWNER], [])


def test_a_request_that_waits_for_the_failed_one_continues_its_lock(harness):
    # Guards against a wait until the deadline: the request had been taken over before and had yielded to this one.
    harness.wait(harness.request_lock_again)
    harness.take_over()
    assert (harness.continued, harness.released, harness.resumed) == ([OWNER], [], [])


def test_a_request_that_waits_for_a_failed_one_that_may_have_executed_fails(harness):
    harness.wait(harness.request_lock_again)
    harness.take_over(attempts=(0,))
    assert [answer.reason for answer in harness.responses] == ["ended-elsewhere"]
    assert (harness.continued, harness.released) == ([], [])


@pytest.mark.parametrize("scope", DeduplicationScope)
def test_a_request_that_waits_for_a_keyed_one_that_may_have_executed_continues_if_all_endpoints_deduplicate(
    harness, scope
):
    # Guards against a second execution: it is unknown in which zone or cell the first one took place.
    harness.set_class(Idempotency.KEYED, 0.0, scope, 20_000.0)
    harness.wait(harness.request_lock_again)
    harness.take_over(attempts=(0,))
    continues = scope is DeduplicationScope.ALL
    assert harness.continued == ([OWNER] if continues else [])
    assert [answer.reason for answer in harness.responses] == ([] if continues else ["ended-elsewhere"])


@pytest.mark.parametrize(
    ("window_ms", "started_ms", "continues"),
    [(DEADLINE_MS, 0.0, True), (DEADLINE_MS - 1, 0.0, False), (2 * DEADLINE_MS, -math.inf, False)],
)
def test_a_request_that_waits_for_a_keyed_one_that_may_have_executed_continues_within_its_window(
    harness, window_ms, started_ms, continues
):
    # Guards against a second execution: the endpoints forget the first one before this one's deadline.
    harness.set_class(Idempotency.KEYED, 0.0, DeduplicationScope.ALL, window_ms)
    harness.wait(harness.request_lock_again)
    harness.take_over(attempts=(0,), started_ms=started_ms)
    assert harness.continued == ([OWNER] if continues else [])
    assert [answer.reason for answer in harness.responses] == ([] if continues else ["ended-elsewhere"])


def test_a_local_request_that_is_requesting_its_lock_continues_that_of_the_failed_one(harness):
    harness.duplicates.add(1, IDENTITY, NEVER_MS)
    harness.take_over()
    assert (harness.continued, harness.released, harness.resumed) == ([OWNER], [], [])


def test_a_local_request_that_was_refused_its_lock_continues_that_of_the_failed_one(harness):
    # Guards against a lock that no request continues: the refusal was decided but not carried out yet.
    harness.duplicates.add(1, IDENTITY, NEVER_MS)
    harness.is_undecided = False
    harness.take_over()
    assert IDENTITY in harness.takeover.inherited_locks
    harness.request_lock_again()
    assert harness.continued == [OWNER]


def test_the_lock_of_a_failed_request_is_released_where_the_local_one_has_the_majority(harness):
    harness.duplicates.add(1, IDENTITY, NEVER_MS)
    harness.has_lock = True
    harness.take_over()
    assert (harness.released, harness.continued) == ([OWNER], [])


def test_a_local_request_yields_to_a_failed_one_that_may_have_executed_and_its_outcome_is_remembered(harness):
    # Guards against a wait until the deadline: the outcome of a request that was not continued was never sent.
    harness.duplicates.add(1, IDENTITY, NEVER_MS)
    harness.take_over(attempts=(0,))
    assert harness.transferred == [1] and harness.duplicates._outcomes[IDENTITY] is Outcome.MAY_HAVE_EXECUTED


def test_a_local_request_that_another_instance_owns_does_not_prevent_a_takeover(harness):
    # Guards against a wait until the deadline: the local request had lost its epoch, with an attempt in flight.
    harness.duplicates.add(1, IDENTITY, NEVER_MS)
    harness.is_lost = True
    harness.take_over()
    assert len(harness.resumed) == 1 and harness.continued == [OWNER]
