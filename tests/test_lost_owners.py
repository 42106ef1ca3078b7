"""Locks of killed instances, and those that wait for them: one order of events each, in memory.

Each lock of an owner that is gone is continued or released by one instance, until the voters know; and who is refused
on behalf of a request that has ended is told its outcome in a round trip, or asks anew."""

import pytest
from replication_fleet import (
    DEADLINE_S,
    LEASE_MS,
    NO_ENDPOINTS,
    REPLY_S,
    TAKEOVER_S,
    TRANSIT_S,
    Fleet,
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


class Scene:
    """A fleet in which one client asks an instance that is then killed; instances are named by their rank."""

    def __init__(self, kind="pay"):
        self.fleet, self.key = Fleet(COUNT), "key"
        self.ranks = ranks_of(self.key)
        self.lose = lambda sender, receiver, message: False
        self.fleet.fate = self._fate
        self.client = self.fleet.client(self.key, kind, lambda client: None)

    def _fate(self, sender, receiver, messages):
        ranks = self.ranks.index(sender), self.ranks.index(receiver)
        return () if any(self.lose(*ranks, message) for message in messages) else (TRANSIT_S,)

    def __getitem__(self, rank):
        return self.fleet.members[self.ranks[rank]]

    def ask(self, rank, client=None):
        (client or self.client).ask(self.ranks[rank])

    def other(self, rank):
        """Another client's request of the same identity."""
        client = self.fleet.client(self.key, self.client.kind, lambda client: None)
        self.ask(rank, client)
        return client

    def queue_at(self, rank):
        """Let the client's request wait at an instance for an endpoint."""
        self[rank].table.update_endpoints(NO_ENDPOINTS)
        self.run(0.05)
        self.ask(rank)
        self.run(0.1)

    def kill(self, rank, detected=True):
        self.fleet.kill(self.ranks[rank])
        if detected:
            self.detect(rank)

    def detect(self, rank):
        for number in list(self.fleet.members):
            self.believe(self.ranks.index(number), rank)

    def believe(self, rank, other, status=MemberStatus.DEAD, swim_incarnation=9):
        self.fleet.believe(self.ranks[rank], self.ranks[other], status, swim_incarnation)

    def run(self, seconds):
        self.fleet.run(seconds)

    def ends(self, client=None):
        return [end for ask in (client or self.client).asks for _, end, _ in ask.ends]


@pytest.fixture
def scene():
    return Scene()


# ---- who continues a lost request -----------------------------------------------------------------


def test_a_client_that_waits_at_the_backup_before_the_takeover_is_served_by_it(scene):
    scene.queue_at(0)
    scene.kill(0, detected=False)
    scene.ask(1)
    scene.run(0.2)
    scene.detect(0)
    scene.run(TAKEOVER_S)
    assert scene.ends() == ["served"] and scene.fleet.runs[scene.key] == 1


def test_a_client_that_comes_elsewhere_before_the_takeover_is_served_too(scene):
    scene.queue_at(0)
    scene.kill(0, detected=False)
    scene.ask(4)
    scene.run(0.2)
    scene.detect(0)
    scene.run(TAKEOVER_S + REPLY_S)
    assert scene.ends() == ["served"] and scene.fleet.runs[scene.key] == 1


def test_a_lock_of_a_lost_owner_is_free_where_the_backup_that_it_names_never_stored_the_request(scene):
    # Guards against a wait until the deadline: nobody continues such a request, and nobody releases its lock.
    scene.lose = lambda sender, receiver, message: isinstance(message, Append) and sender == 3
    scene[3].table.update_endpoints(NO_ENDPOINTS)
    scene.run(0.05)
    scene.ask(3)
    scene.run(0.02)
    scene.kill(3)
    scene.run(0.2)
    scene.ask(4)
    scene.run(LEASE_MS / 1000 + TAKEOVER_S + REPLY_S)
    assert scene.ends() == ["served"]


def test_a_client_that_comes_back_to_a_former_backup_hears_of_the_end_elsewhere(scene):
    # Guards against a wait until the deadline: the former backup asks only the primary, which is dead.
    scene.queue_at(0)
    scene.believe(0, 1, MemberStatus.DEAD, 1)  # wrongly: the request moves to another backup
    scene.run(0.1)
    scene.kill(0)
    scene.run(0.1)
    scene.ask(1)
    scene.run(TAKEOVER_S + REPLY_S)
    assert scene.ends() == ["served"]


def test_a_lock_is_released_where_the_instance_that_takes_the_request_over_has_no_room_for_it(scene):
    # Guards against a wait until the deadline: the request ends there with a rejection that no client reads.
    scene.queue_at(0)
    scene[1].table.max_open_requests = 0
    scene.kill(0)
    scene.run(0.2)
    scene.ask(4)
    scene.run(TAKEOVER_S + REPLY_S)
    assert scene.ends() == ["served"]


def test_a_lock_is_released_where_the_record_of_the_request_is_not_readable(scene):
    scene.queue_at(0)
    scene[1].replication.takeover.update_classes({})
    scene.kill(0)
    scene.run(0.2)
    scene.ask(4)
    scene.run(TAKEOVER_S + REPLY_S)
    assert scene.ends() == ["served"]


def kill_beside_another_in_hand(scene):
    """Kill an instance whose request has run, while its backup has another of the identity in hand without its lock.

    Returns the client of that one; the first client comes back to a third instance."""
    scene[0].is_mute = True
    scene.lose = lambda sender, receiver, message: isinstance(message, LockRequests) and sender == 1
    scene[1].table.update_endpoints(NO_ENDPOINTS)
    scene.run(0.05)
    waiting = scene.other(1)  # before that is told, as the backup, of the one that has the lock
    scene.ask(0)
    scene.run(0.025)
    assert scene.fleet.runs[scene.key] == 1
    scene.kill(0)
    scene.lose = lambda sender, receiver, message: False
    scene.run(0.2)
    scene.ask(4)
    return waiting


def test_who_comes_back_for_a_lost_request_that_may_have_run_is_told_so_where_the_taker_had_another_in_hand(scene):
    # Guards against a wait until the deadline: the taker fails its own request, and the lost one with it.
    waiting = kill_beside_another_in_hand(scene)
    scene.run(TAKEOVER_S + REPLY_S)
    assert scene.ends(waiting) == ["failed"] and scene.ends() == ["failed"]


def test_a_request_that_waited_until_the_lock_of_a_lost_one_lapsed_does_not_run_after_that(scene):
    # Guards against a second effect: it had yielded to one that ran, and asks again when the voters have forgotten it.
    kill_beside_another_in_hand(scene)
    scene.run(DEADLINE_S)
    assert scene.fleet.runs[scene.key] == 1


def test_a_lock_of_a_lost_owner_is_free_where_the_backup_knows_that_its_request_has_ended(scene):
    # Guards against a wait until the deadline: no instance has the request any more, and nobody releases its lock.
    scene[3].is_refused = True
    scene.ask(3)
    while not scene[0].replication.backup.request_count:
        scene.run(TRANSIT_S / 5)
    while scene[0].replication.backup.request_count:
        scene.run(TRANSIT_S / 5)
    scene.kill(3)  # its rejection waits for the acknowledgement, and its lock for the rejection
    assert scene.ends() == []
    scene.run(0.2)
    scene.ask(4)
    scene.run(TAKEOVER_S + REPLY_S)
    assert scene.ends() == ["served"]


# ---- locks that nobody continues ------------------------------------------------------------------


def run_for(cluster, milliseconds):
    for _ in range(int(milliseconds // 20)):
        cluster.run(20.0)


def lose_next(cluster, number, kinds, receivers):
    """Drop what a requester sends now to some voters."""
    for action in cluster.requesters[number].flush(cluster.now):
        if not (isinstance(action.message, kinds) and action.receiver in receivers):
            cluster.deliver(number, action.receiver, action.message)


def ask_until(cluster, number, until_ms):
    """Ask for the lock again and again, as a request that waits does; returns whether it was given."""
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
    cluster.taker, cluster.third = [number for number in range(6) if number not in cluster.ranks][:2]
    cluster.acquire(cluster.owner, backup=cluster.taker)
    run_for(cluster, 60)
    cluster.unreachable = {cluster.owner}
    for number, voter in cluster.voters.items():
        alive = {n: 1 for n in range(6) if n not in (number, cluster.owner)}
        voter.update_members(cluster.now, alive, frozenset({cluster.owner}))
        cluster.requesters[number].update_members(frozenset(alive))
    return cluster


def test_a_lost_release_of_a_lost_owners_lock_is_sent_again(cluster):
    # Guards against a wait until the deadline: the owner is dead and can't repeat the release.
    cluster.requesters[cluster.taker].release_predecessor(IDENTITY, LockOwner(cluster.owner, 1, 1), DEADLINE_MS)
    lose_next(cluster, cluster.taker, LockReleases, cluster.ranks)
    cluster.run()
    assert ask_until(cluster, cluster.third, DEADLINE_MS / 4)


def test_a_request_that_ends_before_the_voters_know_what_it_continues_frees_the_lock(cluster):
    # Guards against a wait until the deadline: the voters name the dead owner, which nobody but its successor releases.
    requester = cluster.requesters[cluster.taker]
    requester.acquire(cluster.now, IDENTITY, 2, DEADLINE_MS, predecessor=LockOwner(cluster.owner, 1, 1))
    lose_next(cluster, cluster.taker, LockRequests, cluster.ranks)
    requester.release(2)
    lose_next(cluster, cluster.taker, LockReleases, cluster.ranks)
    cluster.run()
    assert ask_until(cluster, cluster.third, DEADLINE_MS / 4)


def test_a_lock_that_was_left_to_its_successor_is_not_released_by_its_former_owner():
    # Guards against a second execution: a third request gets the lock before the one that continues has asked for it.
    cluster = Cluster(6)
    cluster.acquire(0, backup=1)
    run_for(cluster, 60)
    cluster.requesters[0].abandon(1)  # instance 1 has claimed its epoch
    cluster.acquire(2)  # refused; the voters ask the owner whether its request has ended
    cluster.acquire(3)
    assert not any(isinstance(each, LockHeld) for each in cluster.decisions[3])
    cluster.acquire(1, 5, predecessor=LockOwner(0, 1, 1))
    assert cluster.decisions[1] == [LockHeld(5)]


def test_a_single_vote_for_a_lost_owner_refuses_nobody_while_the_other_voter_is_waited_for(cluster):
    # Guards against a yield to a dead holder where a reply takes longer than the third voter is waited for.
    requester = cluster.requesters[cluster.taker]
    requester.release_predecessor(IDENTITY, LockOwner(cluster.owner, 1, 1), DEADLINE_MS)
    lose_next(cluster, cluster.taker, LockReleases, cluster.ranks[1:2])
    cluster.run()
    cluster.unreachable = {cluster.owner, cluster.ranks[2]}
    cluster.acquire(cluster.third, 7)
    cluster.run(WIDEN_MS)
    cluster.unreachable = {cluster.owner}
    run_for(cluster, 300)
    assert cluster.decisions[cluster.third] == [LockHeld(7)]


def asked(cluster, request):
    """Let the taker ask, and return the replies that are on their way to it."""
    for action in cluster.requesters[cluster.taker].flush(cluster.now):
        if action.receiver != cluster.owner:
            cluster.deliver(cluster.taker, action.receiver, action.message)
    sent = [(number, action) for number, voter in cluster.voters.items() for action in voter.take_actions()]
    return [(voter, action.message) for voter, action in sent if action.receiver == cluster.taker]


def answer(cluster, replies):
    for voter, message in replies:
        assert isinstance(message, LockReplies)
        cluster.requesters[cluster.taker].receive(cluster.now, voter, 1, message)


def test_a_request_that_continues_another_is_not_refused_on_behalf_of_that(cluster):
    # Guards against a request that yields to its own predecessor, and waits for a dead instance.
    requester = cluster.requesters[cluster.taker]
    requester.acquire(cluster.now, IDENTITY, 3, DEADLINE_MS)
    answer(cluster, asked(cluster, 3))  # the first refusal
    on_their_way = asked(cluster, 3)  # the second
    requester.continue_predecessor(cluster.now, 3, LockOwner(cluster.owner, 1, 1))
    answer(cluster, on_their_way)
    run_for(cluster, 300)
    assert cluster.decisions[cluster.taker] == [LockHeld(3)]


def test_a_request_that_continues_another_is_not_refused_by_the_order_of_split_votes(cluster):
    # As above with one refusal, by the timer for the third voter.
    requester = cluster.requesters[cluster.taker]
    requester.acquire(cluster.now, IDENTITY, 3, DEADLINE_MS)
    answer(cluster, asked(cluster, 3))
    requester.flush(cluster.now)
    requester.continue_predecessor(cluster.now, 3, LockOwner(cluster.owner, 1, 1))
    requester.flush(cluster.now)  # takes longer than the timer
    cluster.now += WIDEN_MS
    requester.handle_timers(cluster.now)
    assert not any(isinstance(each, LockRefused) for each in requester.take_decisions())


# ---- outcomes of ended requests -------------------------------------------------------------------


def test_a_client_of_a_request_that_was_taken_over_and_rejected_is_served_elsewhere(scene):
    # Guards against a wait until the first deadline: the lock of a request that never ran was kept until then.
    scene.queue_at(0)
    scene[1].is_refused = True  # no attempt of the taker is executed
    scene.kill(0)
    scene.ask(1)
    scene.run(LEASE_MS / 1000 + 0.4)
    assert scene.ends() == ["rejected"] and scene.fleet.runs[scene.key] == 0
    scene.ask(4)
    scene.run(REPLY_S)
    assert scene.ends() == ["rejected", "served"]


def test_who_waits_for_a_request_that_is_rejected_runs_after_all(scene):
    # Guards against "failed" for what never ran: attempts that are proved not to have run counted as uncertain.
    scene[0].is_refused = True
    scene.fleet.clock.callLater(0.001, scene.ask, 4, other := scene.fleet.client(scene.key, "pay", lambda client: None))
    scene.ask(0)
    scene.run(REPLY_S)
    assert scene.ends() == ["rejected"] and scene.ends(other) == ["served"]


@pytest.mark.parametrize("kind", ["pay", "order"])
def test_who_is_refused_on_behalf_of_a_rejected_request_hears_of_its_end_in_a_round_trip(kind):
    # Guards against seconds of silence: the holder remembers no outcome of a request that it has rejected.
    scene = Scene(kind)
    scene[3].is_refused = True
    scene.lose = lambda sender, receiver, message: isinstance(message, LockReleases) and sender == 3
    scene.ask(3)
    scene.run(0.2)
    assert scene.ends() == ["rejected"]
    scene.lose = lambda sender, receiver, message: False  # the holder releases it again when another asks
    scene.ask(4)
    scene.run(REPLY_S)
    assert scene.ends() == ["rejected", "served"]


def test_a_holder_that_was_taken_for_dead_for_a_while_is_asked_again(backup):
    # Guards against seconds of silence: only the backup was asked from then on, which knows nothing of the end.
    backup.duplicates.is_unavailable = lambda number: number == PRIMARY and backup.clock.seconds() < 0.3
    backup.deduplicator.wait_for_outcome(NAME, b"", DEADLINE_MS, backup.answers.append, lambda: None)
    backup.duplicates.follow(NAME, (PRIMARY, OTHER))
    backup.clock.pump([0.05] * 30)
    assert (PRIMARY, OutcomeQuery(NAME)) in backup.sent


def test_a_request_that_is_refused_each_time_it_is_told_to_ask_anew_does_so_a_few_times_a_second(backup):
    # Guards against a storm of requests and queries at the pace of the round trip, each with a query chain of its own.
    asked = []

    def ask():
        asked.append(backup.clock.seconds())
        backup.deduplicator.wait_for_outcome(NAME, b"", DEADLINE_MS, backup.answers.append, ask)
        backup.duplicates.follow(NAME, (PRIMARY,))

    ask()
    while backup.clock.seconds() < 5.0 and len(asked) <= 25:
        backup.clock.advance(0.005)
        queries, backup.sent[:] = backup.sent[:], []
        for _ in queries:
            backup.duplicates.on_reply(OutcomeReply(NAME, Outcome.NEVER_EXECUTED, b""))
    assert 5 <= len(asked) <= 25


@pytest.fixture
def backup():
    return Backup()
