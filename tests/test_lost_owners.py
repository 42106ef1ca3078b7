"""Locks of killed instances, and requests that wait for them: one order of events each, in memory.

Each lock of a dead owner is continued or released by one instance until the voters know. A request that is refused on
behalf of an ended one learns its outcome within a round trip, or requests the lock again.
"""

import pytest
from replication_fleet import (
    DEADLINE_S,
    LEASE_MS,
    NO_ENDPOINTS,
    REPLY_S,
    TAKEOVER_S,
    TRANSIT_S,
    SimulatedCluster,
)
from test_duplicate_requests import NAME, OTHER, PRIMARY, Backup
from test_identity_locks import DEADLINE_MS, IDENTITY, Cluster

from anisefront.cluster.backup_selection import placement_hash, slot_of
from anisefront.cluster.lock_decisions import LockHeld, LockRefused
from anisefront.cluster.lock_messages import LockOwner, LockReleases, LockReplies, LockRequests
from anisefront.cluster.lock_requester import WIDEN_MS
from anisefront.cluster.member_state import MemberStatus
from anisefront.cluster.replication_messages import Append, Outcome, OutcomeQuery, OutcomeReply
from anisefront.upstream.deduplication import request_identity

COUNT = 6


def ranks_of(key):
    slot = slot_of(request_identity("customer", key, b""))
    return sorted(range(COUNT), key=lambda number: placement_hash(slot, number))


class Scenario:
    """Cluster in which one client sends a request to an instance that is then killed; instances are named by rank."""

    def __init__(self, kind="pay"):
        self.cluster, self.key = SimulatedCluster(COUNT), "key"
        self.ranks = ranks_of(self.key)
        self.is_lost = lambda sender, receiver, message: False
        self.cluster.delays = self._delays
        self.client = self.cluster.client(self.key, kind, lambda client: None)

    def _delays(self, sender, receiver, messages):
        ranks = self.ranks.index(sender), self.ranks.index(receiver)
        return () if any(self.is_lost(*ranks, message) for message in messages) else (TRANSIT_S,)

    def __getitem__(self, rank):
        return self.cluster.members[self.ranks[rank]]

    def send(self, rank, client=None):
        (client or self.client).send(self.ranks[rank])

    def other(self, rank):
        """Send another client's request of the same identity, and return the client."""
        client = self.cluster.client(self.key, self.client.kind, lambda client: None)
        self.send(rank, client)
        return client

    def queue_at(self, rank):
        """Send the client's request to an instance where it waits for an endpoint."""
        self[rank].table.update_endpoints(NO_ENDPOINTS)
        self.run(0.05)
        self.send(rank)
        self.run(0.1)

    def kill(self, rank, detected=True):
        self.cluster.kill(self.ranks[rank])
        if detected:
            self.detect(rank)

    def detect(self, rank):
        for number in list(self.cluster.members):
            self.update_view(self.ranks.index(number), rank)

    def update_view(self, rank, other, status=MemberStatus.DEAD, swim_incarnation=9):
        self.cluster.update_view(self.ranks[rank], self.ranks[other], status, swim_incarnation)

    def run(self, seconds):
        self.cluster.run(seconds)

    def outcomes(self, client=None):
        return [outcome for request in (client or self.client).requests for _, outcome, _ in request.outcomes]


@pytest.fixture
def scenario():
    return Scenario()


# ---- continuation of lost requests ----------------------------------------------------------------


def test_a_client_that_waits_at_the_backup_before_the_takeover_is_served_by_it(scenario):
    scenario.queue_at(0)
    scenario.kill(0, detected=False)
    scenario.send(1)
    scenario.run(0.2)
    scenario.detect(0)
    scenario.run(TAKEOVER_S)
    assert scenario.outcomes() == ["served"] and scenario.cluster.runs[scenario.key] == 1


def test_a_client_that_retries_at_a_third_instance_before_the_takeover_is_served(scenario):
    scenario.queue_at(0)
    scenario.kill(0, detected=False)
    scenario.send(4)
    scenario.run(0.2)
    scenario.detect(0)
    scenario.run(TAKEOVER_S + REPLY_S)
    assert scenario.outcomes() == ["served"] and scenario.cluster.runs[scenario.key] == 1


def test_a_lock_of_a_lost_owner_is_free_where_the_backup_that_it_names_never_stored_the_request(scenario):
    # Guards against a wait until the deadline: no instance continues such a request or releases its lock.
    scenario.is_lost = lambda sender, receiver, message: isinstance(message, Append) and sender == 3
    scenario[3].table.update_endpoints(NO_ENDPOINTS)
    scenario.run(0.05)
    scenario.send(3)
    scenario.run(0.02)
    scenario.kill(3)
    scenario.run(0.2)
    scenario.send(4)
    scenario.run(LEASE_MS / 1000 + TAKEOVER_S + REPLY_S)
    assert scenario.outcomes() == ["served"]


def test_a_client_that_retries_at_a_former_backup_gets_the_outcome_from_elsewhere(scenario):
    # Guards against a wait until the deadline: the former backup queries only the primary, which is dead.
    scenario.queue_at(0)
    scenario.update_view(0, 1, MemberStatus.DEAD, 1)  # falsely: the request moves to another backup
    scenario.run(0.1)
    scenario.kill(0)
    scenario.run(0.1)
    scenario.send(1)
    scenario.run(TAKEOVER_S + REPLY_S)
    assert scenario.outcomes() == ["served"]


def test_a_lock_is_released_if_the_successor_has_no_capacity_for_the_request(scenario):
    # Guards against a wait until the deadline: the request outcomes there with a rejection that no client reads.
    scenario.queue_at(0)
    scenario[1].table.max_open_requests = 0
    scenario.kill(0)
    scenario.run(0.2)
    scenario.send(4)
    scenario.run(TAKEOVER_S + REPLY_S)
    assert scenario.outcomes() == ["served"]


def test_a_lock_is_released_if_the_record_of_the_request_is_malformed(scenario):
    scenario.queue_at(0)
    scenario[1].replication.takeover.update_classes({})
    scenario.kill(0)
    scenario.run(0.2)
    scenario.send(4)
    scenario.run(TAKEOVER_S + REPLY_S)
    assert scenario.outcomes() == ["served"]


def kill_with_duplicate_in_progress(scenario):
    """Kill an instance whose request was executed, while its backup has a duplicate in progress without the lock.

    Returns the client of the duplicate; the first client retries at a third instance.
    """
    scenario[0].is_mute = True
    scenario.is_lost = lambda sender, receiver, message: isinstance(message, LockRequests) and sender == 1
    scenario[1].table.update_endpoints(NO_ENDPOINTS)
    scenario.run(0.05)
    waiting = scenario.other(1)  # before that instance, as the backup, stores the request that has the lock
    scenario.send(0)
    scenario.run(0.025)
    assert scenario.cluster.runs[scenario.key] == 1
    scenario.kill(0)
    scenario.is_lost = lambda sender, receiver, message: False
    scenario.run(0.2)
    scenario.send(4)
    return waiting


def test_a_retry_of_a_lost_request_that_may_have_executed_fails_if_the_successor_had_a_duplicate(scenario):
    # Guards against a wait until the deadline: the successor fails its local request, and the lost one with it.
    waiting = kill_with_duplicate_in_progress(scenario)
    scenario.run(TAKEOVER_S + REPLY_S)
    assert scenario.outcomes(waiting) == ["failed"] and scenario.outcomes() == ["failed"]


def test_a_request_that_waited_until_the_lock_of_a_lost_one_expired_does_not_run_afterwards(scenario):
    # Guards against a second effect: it had yielded to an executed request, and retries once the voters evicted that.
    kill_with_duplicate_in_progress(scenario)
    scenario.run(DEADLINE_S)
    assert scenario.cluster.runs[scenario.key] == 1


def test_a_lock_of_a_lost_owner_is_free_where_the_backup_knows_that_its_request_has_ended(scenario):
    # Guards against a wait until the deadline: no instance stores the request any more, and none releases its lock.
    scenario[3].is_refused = True
    scenario.send(3)
    while not scenario[0].replication.backup.request_count:
        scenario.run(TRANSIT_S / 5)
    while scenario[0].replication.backup.request_count:
        scenario.run(TRANSIT_S / 5)
    scenario.kill(3)  # its rejection waits for the acknowledgement, and its lock for the rejection
    assert scenario.outcomes() == []
    scenario.run(0.2)
    scenario.send(4)
    scenario.run(TAKEOVER_S + REPLY_S)
    assert scenario.outcomes() == ["served"]


# ---- locks without a successor --------------------------------------------------------------------


def run_for(cluster, milliseconds):
    for _ in range(int(milliseconds // 20)):
        cluster.run(20.0)


def lose_next(cluster, number, kinds, receivers):
    """Drop messages of some types that a requester sends now to some voters, and deliver the others."""
    for action in cluster.requesters[number].flush(cluster.now):
        if not (isinstance(action.message, kinds) and action.receiver in receivers):
            cluster.deliver(number, action.receiver, action.message)


def acquire_repeatedly(cluster, number, until_ms):
    """Request the lock repeatedly, as a waiting request does; returns whether it was granted."""
    for request in range(10, 1000):
        if cluster.now >= until_ms:
            return False
        cluster.acquire(number, request)
        run_for(cluster, 260)
        if LockHeld(request) in cluster.decisions[number]:
            return True
    return False


@pytest.fixture
def cluster():
    """Requesters and voters; the first voter, which owns a lock, is dead, and all know it."""
    cluster = Cluster(6)
    cluster.ranks = cluster.placement.voters(IDENTITY)
    cluster.owner = cluster.ranks[0]
    cluster.successor, cluster.third = [number for number in range(6) if number not in cluster.ranks][:2]
    cluster.acquire(cluster.owner, backup=cluster.successor)
    run_for(cluster, 60)
    cluster.unreachable = {cluster.owner}
    for number, voter in cluster.voters.items():
        alive = {n: 1 for n in range(6) if n not in (number, cluster.owner)}
        voter.update_members(cluster.now, alive, frozenset({cluster.owner}))
        cluster.requesters[number].update_members(frozenset(alive))
    return cluster


def test_a_lost_release_of_a_lost_owners_lock_is_sent_again(cluster):
    # Guards against a wait until the deadline: the owner is dead and can't repeat the release.
    cluster.requesters[cluster.successor].release_predecessor(IDENTITY, LockOwner(cluster.owner, 1, 1), DEADLINE_MS)
    lose_next(cluster, cluster.successor, LockReleases, cluster.ranks)
    cluster.run()
    assert acquire_repeatedly(cluster, cluster.third, DEADLINE_MS / 4)


def test_a_request_that_ends_before_the_voters_know_its_predecessor_frees_the_lock(cluster):
    # Guards against a wait until the deadline: the voters name the dead owner, whose lock only its successor releases.
    requester = cluster.requesters[cluster.successor]
    requester.acquire(cluster.now, IDENTITY, 2, DEADLINE_MS, predecessor=LockOwner(cluster.owner, 1, 1))
    lose_next(cluster, cluster.successor, LockRequests, cluster.ranks)
    requester.release(2)
    lose_next(cluster, cluster.successor, LockReleases, cluster.ranks)
    cluster.run()
    assert acquire_repeatedly(cluster, cluster.third, DEADLINE_MS / 4)


def test_a_lock_that_was_abandoned_to_its_successor_is_not_released_by_its_former_owner():
    # Guards against a second execution: a third request gets the lock before the successor has requested it.
    cluster = Cluster(6)
    cluster.acquire(0, backup=1)
    run_for(cluster, 60)
    cluster.requesters[0].abandon(1)  # instance 1 has claimed its epoch
    cluster.acquire(2)  # refused; the voters repeat the vote to the owner, which could release it
    cluster.acquire(3)
    assert not any(isinstance(each, LockHeld) for each in cluster.decisions[3])
    cluster.acquire(1, 5, predecessor=LockOwner(0, 1, 1))
    assert cluster.decisions[1] == [LockHeld(5)]


def test_a_single_vote_for_a_lost_owner_refuses_no_request_while_the_other_voter_is_awaited(cluster):
    # Guards against a yield to a dead holder if a reply takes longer than the wait for the third voter.
    requester = cluster.requesters[cluster.successor]
    requester.release_predecessor(IDENTITY, LockOwner(cluster.owner, 1, 1), DEADLINE_MS)
    lose_next(cluster, cluster.successor, LockReleases, cluster.ranks[1:2])
    cluster.run()
    cluster.unreachable = {cluster.owner, cluster.ranks[2]}
    cluster.acquire(cluster.third, 7)
    cluster.run(WIDEN_MS)
    cluster.unreachable = {cluster.owner}
    run_for(cluster, 300)
    assert cluster.decisions[cluster.third] == [LockHeld(7)]


def replies_in_transit(cluster, request):
    """Deliver the successor's requests, and return the replies in transit to it."""
    for action in cluster.requesters[cluster.successor].flush(cluster.now):
        if action.receiver != cluster.owner:
            cluster.deliver(cluster.successor, action.receiver, action.message)
    sent = [(number, action) for number, voter in cluster.voters.items() for action in voter.take_actions()]
    return [(voter, action.message) for voter, action in sent if action.receiver == cluster.successor]


def deliver_replies(cluster, replies):
    for voter, message in replies:
        assert isinstance(message, LockReplies)
        cluster.requesters[cluster.successor].receive(cluster.now, voter, 1, message)


def test_a_request_that_continues_another_is_not_refused_on_behalf_of_its_predecessor(cluster):
    # Guards against a request that yields to its own predecessor, and waits for a dead instance.
    requester = cluster.requesters[cluster.successor]
    requester.acquire(cluster.now, IDENTITY, 3, DEADLINE_MS)
    deliver_replies(cluster, replies_in_transit(cluster, 3))  # the first refusal
    late_replies = replies_in_transit(cluster, 3)  # the second
    requester.continue_predecessor(cluster.now, 3, LockOwner(cluster.owner, 1, 1))
    deliver_replies(cluster, late_replies)
    run_for(cluster, 300)
    assert cluster.decisions[cluster.successor] == [LockHeld(3)]


def test_a_request_that_continues_another_is_not_refused_by_the_order_of_split_votes(cluster):
    # As above with one refusal, decided by the timer for the third voter.
    requester = cluster.requesters[cluster.successor]
    requester.acquire(cluster.now, IDENTITY, 3, DEADLINE_MS)
    deliver_replies(cluster, replies_in_transit(cluster, 3))
    requester.flush(cluster.now)
    requester.continue_predecessor(cluster.now, 3, LockOwner(cluster.owner, 1, 1))
    requester.flush(cluster.now)  # takes longer than the timer
    cluster.now += WIDEN_MS
    requester.handle_timers(cluster.now)
    assert not any(isinstance(each, LockRefused) for each in requester.take_decisions())


# ---- outcomes of ended requests -------------------------------------------------------------------


def test_a_client_of_a_request_that_was_taken_over_and_rejected_is_served_elsewhere(scenario):
    # Guards against a wait until the first deadline: the lock of a request that never executed was held until then.
    scenario.queue_at(0)
    scenario[1].is_refused = True  # no attempt of the successor is executed
    scenario.kill(0)
    scenario.send(1)
    scenario.run(LEASE_MS / 1000 + 0.4)
    assert scenario.outcomes() == ["rejected"] and scenario.cluster.runs[scenario.key] == 0
    scenario.send(4)
    scenario.run(REPLY_S)
    assert scenario.outcomes() == ["rejected", "served"]


def test_a_request_that_waits_for_a_rejected_one_is_executed(scenario):
    # Guards against "failed" for a request that never executed: attempts proven unexecuted counted as uncertain.
    scenario[0].is_refused = True
    scenario.cluster.clock.callLater(
        0.001, scenario.send, 4, other := scenario.cluster.client(scenario.key, "pay", lambda client: None)
    )
    scenario.send(0)
    scenario.run(REPLY_S)
    assert scenario.outcomes() == ["rejected"] and scenario.outcomes(other) == ["served"]


@pytest.mark.parametrize("kind", ["pay", "order"])
def test_a_request_refused_on_behalf_of_a_rejected_one_learns_the_outcome_in_a_round_trip(kind):
    # Guards against seconds without a reply: the holder stores no outcome of a request that it has rejected.
    scenario = Scenario(kind)
    scenario[3].is_refused = True
    scenario.is_lost = lambda sender, receiver, message: isinstance(message, LockReleases) and sender == 3
    scenario.send(3)
    scenario.run(0.2)
    assert scenario.outcomes() == ["rejected"]
    scenario.is_lost = (
        lambda sender, receiver, message: False
    )  # the holder releases it again when another request wants the lock
    scenario.send(4)
    scenario.run(REPLY_S)
    assert scenario.outcomes() == ["rejected", "served"]


def test_a_holder_that_was_taken_for_dead_for_a_while_is_asked_again(backup):
    # Guards against seconds without a reply: only the backup was queried from then on, which does not know the outcome.
    backup.duplicates.is_unavailable = lambda number: number == PRIMARY and backup.clock.seconds() < 0.3
    backup.deduplicator.wait_for_outcome(NAME, b"", DEADLINE_MS, backup.answers.append, lambda: None)
    backup.duplicates.follow(NAME, (PRIMARY, OTHER))
    backup.clock.pump([0.05] * 30)
    assert (PRIMARY, OutcomeQuery(NAME)) in backup.sent


def test_a_repeatedly_refused_request_retries_a_few_times_a_second(backup):
    # Guards against a storm of lock requests at the rate of round trips, each with its own chain of queries.
    acquired_s = []

    def acquire():
        acquired_s.append(backup.clock.seconds())
        backup.deduplicator.wait_for_outcome(NAME, b"", DEADLINE_MS, backup.answers.append, acquire)
        backup.duplicates.follow(NAME, (PRIMARY,))

    acquire()
    while backup.clock.seconds() < 5.0 and len(acquired_s) <= 25:
        backup.clock.advance(0.005)
        queries, backup.sent[:] = backup.sent[:], []
        for _ in queries:
            backup.duplicates.on_reply(OutcomeReply(NAME, Outcome.NEVER_EXECUTED, b""))
    assert 5 <= len(acquired_s) <= 25


@pytest.fixture
def backup():
    return Backup()
