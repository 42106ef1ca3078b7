"""A failed primary's lock is continued by one request of the taker, or released, whatever the taker finds."""

import types
from collections import Counter

import pytest
from twisted.internet.task import Clock

from anisefront.cluster.backup_state import ReplicatedRequest
from anisefront.cluster.lock_messages import LockOwner
from anisefront.cluster.replication_messages import Outcome
from anisefront.daemon.duplicate_requests import DuplicateRequests
from anisefront.daemon.request_records import RequestRecord, content_digest
from anisefront.daemon.request_takeover import OWN_POOL, RequestTakeover
from anisefront.policy.settings import DeduplicationScope, Idempotency, RequestClass
from anisefront.protocols import http1
from anisefront.upstream.deduplication import Deduplicator
from anisefront.upstream.direct_requests import DirectRequest, FinalResponse

IDENTITY = b"identity"
DEADLINE_MS = 8000.0
JOB = DirectRequest("POST", "/pay", {}, b"")
DATA = {"method": JOB.method, "target": JOB.target, "headers": {}, "body": ""}
RECORD = RequestRecord(OWN_POOL, "k", "stall", "pay", "wide", 1.0, 0, 1, DATA).encode()
OWNER = LockOwner(0, 1, 7)
SERVED = FinalResponse(http1.Message("", "", 200, {}, b"paid", True), "w:1", 1)


class Taker:
    """A taker whose locks, table and connection pool only record what they are asked for."""

    def __init__(self):
        self.clock, self.released, self.continued, self.resumed, self.given_up = Clock(), [], [], [], []
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
        table = types.SimpleNamespace(transfer_to_backup=self.given_up.append)
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
            self.ask_for_lock()

    def ask_for_lock(self):
        """A request of the identity is accepted here, and asks for its lock."""
        self.continued.append(self.takeover.inherited_locks.take(IDENTITY).owner)

    def take_over(self, attempts=(), record=RECORD):
        replica = ReplicatedRequest(OWNER.request, True, DEADLINE_MS, IDENTITY, record)
        replica.attempts.update(dict.fromkeys(attempts, ("w:1", 0.0)))
        self.takeover.take_over(OWNER.number, OWNER.incarnation, replica)

    def wait(self, ask):
        """A request taken over before has yielded and waits; `ask` is called when it asks for its lock again."""
        self.deduplicator.add(IDENTITY, content_digest(JOB), DEADLINE_MS)
        self.answers = []
        self.deduplicator.wait_for_outcome(IDENTITY, content_digest(JOB), DEADLINE_MS, self.answers.append, ask)


@pytest.fixture
def taker():
    return Taker()


def test_a_request_that_is_taken_over_continues_its_lock(taker):
    taker.take_over()
    assert (taker.continued, taker.released, len(taker.resumed)) == ([OWNER], [], 1)


@pytest.mark.parametrize("attempts", [(), (0,)])
def test_the_lock_of_a_request_that_is_not_accepted_is_released_unless_it_may_have_run(taker, attempts):
    # Guards against a lock of a dead owner that nobody continues or releases.
    taker.accepts = False
    taker.take_over(attempts)
    assert taker.released == ([] if attempts else [OWNER]) and IDENTITY not in taker.takeover.inherited_locks


@pytest.mark.parametrize("attempts", [(), (0,)])
@pytest.mark.parametrize("record", [b"", RECORD.replace(b'"body"', b'"other"')])
def test_the_lock_of_a_request_that_can_not_be_read_is_released_unless_it_may_have_run(taker, attempts, record):
    taker.take_over(attempts, record)
    assert taker.released == ([] if attempts else [OWNER]) and taker.resumed == []


def test_the_lock_of_a_request_that_was_answered_here_before_is_released(taker):
    taker.deduplicator.add(IDENTITY, content_digest(JOB), DEADLINE_MS)
    taker.deduplicator.record_response(IDENTITY, SERVED)
    taker.take_over()
    assert (taker.released, taker.resumed) == ([OWNER], [])


def test_a_request_that_waits_for_the_failed_one_continues_its_lock(taker):
    # Guards against a wait until the deadline: it had been taken over before and had yielded to the failed one.
    taker.wait(taker.ask_for_lock)
    taker.take_over()
    assert (taker.continued, taker.released, taker.resumed) == ([OWNER], [], [])


def test_a_request_that_waits_for_a_failed_one_that_may_have_run_fails(taker):
    taker.wait(taker.ask_for_lock)
    taker.take_over(attempts=(0,))
    assert [answer.reason for answer in taker.answers] == ["ended-elsewhere"]
    assert (taker.continued, taker.released) == ([], [])


@pytest.mark.parametrize("scope", DeduplicationScope)
def test_a_request_that_waits_for_a_keyed_one_that_may_have_run_goes_on_where_all_endpoints_drop_repeats(taker, scope):
    # Guards against a second effect: the one that waits does not know in which zone or cell the first was executed.
    taker.set_class(Idempotency.KEYED, 0.0, scope, 20_000.0)
    taker.wait(taker.ask_for_lock)
    taker.take_over(attempts=(0,))
    goes_on = scope is DeduplicationScope.ALL
    assert taker.continued == ([OWNER] if goes_on else [])
    assert [answer.reason for answer in taker.answers] == ([] if goes_on else ["ended-elsewhere"])


def test_a_local_request_that_asks_for_its_lock_continues_that_of_the_failed_one(taker):
    taker.duplicates.add(1, IDENTITY, True)
    taker.take_over()
    assert (taker.continued, taker.released, taker.resumed) == ([OWNER], [], [])


def test_a_local_request_that_was_refused_its_lock_continues_that_of_the_failed_one(taker):
    # Guards against a lock that nobody continues: the refusal was decided, and not yet carried out.
    taker.duplicates.add(1, IDENTITY, True)
    taker.is_undecided = False
    taker.take_over()
    assert IDENTITY in taker.takeover.inherited_locks
    taker.ask_for_lock()
    assert taker.continued == [OWNER]


def test_the_lock_of_a_failed_request_is_released_where_the_local_one_has_the_majority(taker):
    taker.duplicates.add(1, IDENTITY, True)
    taker.has_lock = True
    taker.take_over()
    assert (taker.released, taker.continued) == ([OWNER], [])


def test_a_local_request_yields_to_a_failed_one_that_may_have_run_and_who_asks_is_told(taker):
    # Guards against a wait until the deadline: nobody told the outcome of a request that was not continued.
    taker.duplicates.add(1, IDENTITY, True)
    taker.take_over(attempts=(0,))
    assert taker.given_up == [1] and taker.duplicates._outcomes[IDENTITY] is Outcome.MAY_HAVE_EXECUTED


def test_a_local_request_that_another_instance_owns_does_not_keep_the_failed_one_from_going_on(taker):
    # Guards against a wait until the deadline: the local one had lost its epoch, and an attempt of it was in flight.
    taker.duplicates.add(1, IDENTITY, True)
    taker.is_lost = True
    taker.take_over()
    assert len(taker.resumed) == 1 and taker.continued == [OWNER]
