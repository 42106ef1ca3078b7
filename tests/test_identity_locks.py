"""Identity locks without I/O: votes, refusals, recovery of votes, and mutations that the searches must detect."""

import math
import random

import pytest
from lock_mutations import MUTATIONS, PARTITION_MUTATIONS
from replication_net import World, explore, load_code, messages, schedule_across_a_partition, schedule_of_one_identity

from anisefront.cluster.backup_selection import Replica, slot_of
from anisefront.cluster.lock_codec import MAX_ITEMS
from anisefront.cluster.lock_decisions import LockHeld, LockRefused, LockUnavailable
from anisefront.cluster.lock_messages import (
    NO_INSTANCE,
    KnownLock,
    LockOwner,
    LockRecoveryQuery,
    LockRecoveryReply,
    LockRelease,
    LockReleases,
    LockReplies,
    LockReply,
    LockRequest,
    LockRequests,
    VoterRestart,
)
from anisefront.cluster.lock_placement import LockPlacement
from anisefront.cluster.lock_requester import WIDEN_MS, LockRequester
from anisefront.cluster.lock_voter import LockVoter
from anisefront.cluster.predecessor_releases import PredecessorReleases
from anisefront.cluster.replication_codec import decode, encode

IDENTITY = b"identity"
DEADLINE_MS = 8000.0
SINGLE_FAULTS = (
    {"doubt": 1},
    {"start": 1, "kill": 1, "learn": 3},
    {"doubt": 1, "tick": 4, "wait": 4, "lose": 3, "twice": 3},
    {"kill": 1, "start": 1, "learn": 3, "tick": 4, "wait": 4, "lose": 3, "twice": 3},
)
OWNER = LockOwner(4, 2**41, 2**40)
MESSAGES = (
    LockRequests(
        b"four", (LockRequest(IDENTITY, 7, 900, 2), LockRequest(IDENTITY, 8, 0, has_yielded=True, predecessor=OWNER))
    ),
    LockReplies((VoterRestart(3, 2**41),), (LockReply(IDENTITY, 7), LockReply(IDENTITY, 8, 4, 9, 5))),
    LockReplies((), ()),
    LockReleases((LockRelease(IDENTITY, 7, True), LockRelease(IDENTITY, 8, False, OWNER))),
    LockRecoveryQuery(b"four", 3),
    LockRecoveryReply(3, 1, 2, True, (KnownLock(IDENTITY, OWNER, 900, NO_INSTANCE),)),
)


class Cluster:
    """Requesters and voters; messages are delivered at once unless their sender or receiver is in `unreachable`."""

    def __init__(self, count=4, recovered=True):
        self.placement = LockPlacement(dict.fromkeys(range(count), ""))
        self.now = 0.0
        self.unreachable = set()
        self.incarnations = dict.fromkeys(range(count), 1)
        self.voters = {n: self.voter(n, recovered) for n in range(count)}
        self.requesters = {n: LockRequester(Replica(n, 1), self.placement) for n in range(count)}
        for n, requester in self.requesters.items():
            requester.update_members(frozenset(range(count)) - {n})
        self.decisions = {n: [] for n in range(count)}

    def voter(self, number, recovered=False):
        return LockVoter(
            Replica(number, self.incarnations[number]), self.placement, DEADLINE_MS, is_recovered=recovered
        )

    def restart(self, number):
        self.incarnations[number] += 1
        self.voters[number] = self.voter(number)

    def acquire(self, number, request=1, **options):
        self.requesters[number].acquire(self.now, IDENTITY, request, DEADLINE_MS, **options)
        self.run()

    def run(self, advance_ms=0.0):
        """Deliver messages until there are none."""
        self.now += advance_ms
        for role in (*self.requesters.values(), *self.voters.values()):
            role.handle_timers(self.now)
        while sent := self.take_messages():
            for sender, action in sent:
                self.deliver(sender, action.receiver, decode(encode(action.message)))
        for number, requester in self.requesters.items():
            self.decisions[number] += requester.take_decisions()

    def take_messages(self):
        sent = [(n, action) for n, each in self.requesters.items() for action in each.flush(self.now)]
        sent += [(n, action) for n, each in self.voters.items() for action in each.take_actions()]
        return [
            (sender, action)
            for sender, action in sent
            if sender not in self.unreachable and action.receiver not in self.unreachable
        ]

    def deliver(self, sender, receiver, message):
        incarnation = self.incarnations[sender]
        if isinstance(message, LockReplies):
            self.requesters[receiver].receive(self.now, sender, incarnation, message)
        else:
            is_owner = isinstance(message, LockRequests | LockReleases)
            self.voters[receiver].receive(self.now, sender, 1 if is_owner else incarnation, message)


@pytest.fixture
def cluster():
    return Cluster()


def test_lock_messages_are_encoded_and_decoded_and_truncated_ones_rejected():
    for message in MESSAGES:
        data = encode(message)
        assert decode(data) == message
        assert all(decode(data[:cut]) is None for cut in range(len(data)))
    assert decode(encode(LockRecoveryReply(1, 2, 2, True, ()))) is None


def test_random_bytes_are_decoded_as_lock_messages_without_exceptions():
    rng = random.Random(5)
    for _ in range(4000):
        data = bytearray(encode(rng.choice(MESSAGES)))
        for _ in range(rng.randrange(1, 4)):
            data[rng.randrange(len(data))] = rng.randrange(256)
        decode(bytes(data))


def test_a_full_message_fits_a_datagram():
    request = LockRequest(IDENTITY, 2**40, 9000, 2, True, OWNER)
    known = KnownLock(IDENTITY, OWNER, 900, 2)
    reply = LockReply(IDENTITY, 1, 2, 3, 4)
    for message in (
        LockRequests(b"four", (request,) * MAX_ITEMS),
        LockRecoveryReply(1, 0, 1, True, (known,) * MAX_ITEMS),
        LockReplies((VoterRestart(1, 1),) * 20, (reply,) * MAX_ITEMS),
        LockReleases((LockRelease(IDENTITY, 1, True, OWNER),) * MAX_ITEMS),
    ):
        assert len(encode(message)) <= 1250


def test_voters_are_in_different_zones_and_independent_of_membership():
    placement = LockPlacement({number: "abc"[number % 3] for number in range(9)})
    for slot in range(64):
        voters = placement._voters[slot]
        assert len(voters) == 3 and {number % 3 for number in voters} == {0, 1, 2}
    two_zones = LockPlacement({number: "ab"[number % 2] for number in range(6)})
    assert all({number % 2 for number in voters} == {0, 1} for voters in two_zones._voters)
    assert placement.digest != two_zones.digest


def test_the_first_requester_gets_the_lock_and_the_next_learns_which_instances_know_of_it(cluster):
    cluster.acquire(0)
    cluster.requesters[0].set_backup(1, 3)
    cluster.run()
    cluster.acquire(1)
    assert cluster.decisions[0] == [LockHeld(1)] and cluster.decisions[1] == [LockRefused(1, (0, 3))]


def test_a_released_lock_is_free_for_the_next(cluster):
    cluster.acquire(0)
    cluster.requesters[0].release(1)
    cluster.run()
    cluster.acquire(1)
    assert cluster.decisions[1] == [LockHeld(1)] and not any(len(voter) for n, voter in cluster.voters.items() if n > 3)


def test_a_late_voter_delays_one_request_for_milliseconds_and_the_next_not_at_all(cluster):
    cluster.unreachable = {cluster.placement.voters(IDENTITY)[0]}
    owner = next(number for number in range(4) if number not in cluster.placement.voters(IDENTITY))
    cluster.acquire(owner)
    cluster.run(WIDEN_MS)
    assert cluster.decisions[owner] == [LockHeld(1)]
    cluster.requesters[owner].release(1)
    cluster.acquire(owner, 2)
    assert cluster.decisions[owner] == [LockHeld(1), LockHeld(2)]


def test_the_third_voter_is_queried_for_a_lock_that_lasts(cluster):
    cluster.acquire(0)
    voters = cluster.placement.voters(IDENTITY)
    assert sum(len(cluster.voters[voter]) for voter in voters) == 2
    for _ in range(4):
        cluster.run(20.0)
    assert sum(len(cluster.voters[voter]) for voter in voters) == 3


def test_without_a_majority_a_request_is_given_up_while_its_client_can_still_retry(cluster):
    cluster.unreachable = set(cluster.placement.voters(IDENTITY)[:2])
    owner = next(number for number in range(4) if number not in cluster.unreachable)
    cluster.acquire(owner)
    while not cluster.decisions[owner] and cluster.now < DEADLINE_MS:
        cluster.run(20.0)
    assert cluster.decisions[owner] == [LockUnavailable(1)] and cluster.now <= DEADLINE_MS / 2 + 20


def test_a_split_vote_is_resolved_and_one_of_them_gets_the_lock(cluster):
    voters = cluster.placement.voters(IDENTITY)
    contenders = list(range(3))
    for number, voter in zip(contenders, voters, strict=True):  # each gets one vote
        request = LockRequests(cluster.placement.digest, (LockRequest(IDENTITY, 1, 8000),))
        cluster.voters[voter].receive(0.0, number, 1, request)
        cluster.voters[voter].take_actions()
    for number in contenders:
        cluster.requesters[number].acquire(0.0, IDENTITY, 1, DEADLINE_MS)
    for _ in range(20):
        cluster.run(40.0)
    decided = [type(decision) for number in contenders for decision in cluster.decisions[number]]
    assert sorted(each.__name__ for each in decided) == ["LockHeld", "LockRefused", "LockRefused"]


def test_a_request_of_a_failed_instance_passes_its_lock_on(cluster):
    cluster.acquire(0)
    cluster.acquire(1, predecessor=LockOwner(0, 1, 1))
    assert cluster.decisions[1] == [LockHeld(1)]
    cluster.acquire(2)
    assert cluster.decisions[2] == [LockRefused(1, (1,))]


@pytest.mark.parametrize("options", [{"predecessor": LockOwner(2, 1, 9)}, {"has_yielded": True}])
def test_a_request_that_yielded_or_was_taken_over_does_not_run_after_another_was_executed(cluster, options):
    # Guards against a second effect: a duplicate that had yielded to another continues once that one has ended.
    cluster.acquire(0)
    cluster.requesters[0].release(1, may_have_executed=True)
    cluster.run()
    cluster.acquire(1, **options)
    assert cluster.decisions[1] == [LockRefused(1, (0,))]
    cluster.acquire(3)  # a new request, after the response
    assert cluster.decisions[3] == [LockHeld(1)]


def test_a_release_that_overtakes_its_request_leaves_no_vote():
    voter = Cluster().voters[first_voter()]
    voter.receive(0.0, 0, 1, LockReleases((LockRelease(IDENTITY, 1, False),)))
    voter.receive(1.0, 0, 1, LockRequests(Cluster().placement.digest, (LockRequest(IDENTITY, 1, 8000),)))
    assert len(voter) == 0 and messages(voter) == []


def first_voter():
    return Cluster().placement.voters(IDENTITY)[0]


def test_a_vote_that_arrives_after_the_end_of_its_request_is_released(cluster):
    cluster.requesters[0].acquire(0.0, IDENTITY, 1, DEADLINE_MS)
    sent = cluster.requesters[0].flush(0.0)
    cluster.requesters[0].release(1)
    cluster.requesters[0].flush(0.0)  # the releases are lost
    for action in sent:
        cluster.deliver(0, action.receiver, action.message)
    cluster.run()
    assert not any(len(voter) for voter in cluster.voters.values())


def test_a_lost_release_is_sent_again_when_another_requests_the_lock(cluster):
    cluster.acquire(0)
    cluster.requesters[0].release(1)
    cluster.requesters[0].flush(0.0)  # lost
    cluster.acquire(1)
    assert cluster.decisions[1] == [LockRefused(1, (0,))] and not any(len(each) for each in cluster.voters.values())


@pytest.mark.parametrize("is_continued", [False, True])
def test_a_lost_release_of_a_failed_instances_lock_is_sent_again(is_continued):
    # Guards against a lock held until its deadline: its owner is dead and cannot repeat the lost release.
    cluster = Cluster(5)
    failed, *voters = cluster.placement.voters(IDENTITY)
    successor, other = set(range(5)) - {failed, *voters}
    cluster.acquire(failed)
    cluster.run(20.0)  # all voters have voted for it
    cluster.run(40.0)
    cluster.unreachable = {failed}
    predecessor = LockOwner(failed, 1, 1)
    requester = cluster.requesters[successor]
    if is_continued:  # and ends before the voters know of it
        requester.acquire(cluster.now, IDENTITY, 1, DEADLINE_MS, predecessor=predecessor)
        requester.release(1)
    else:
        requester.release_predecessor(IDENTITY, predecessor, DEADLINE_MS)
    requester.flush(cluster.now)  # lost
    cluster.acquire(other)
    assert cluster.decisions[other] == [LockRefused(1, (failed,))]
    cluster.run(40.0)
    cluster.acquire(other, 2)
    cluster.run(WIDEN_MS)
    assert cluster.decisions[other][1:] == [LockHeld(2)]


def test_releases_of_failed_instances_locks_end_at_their_deadlines():
    releases = PredecessorReleases()
    releases.add(LockRelease(IDENTITY, 0, False, OWNER), (1, 2, 3), DEADLINE_MS)
    sent = [releases.take_due(now) for now in range(0, int(DEADLINE_MS) + 2000, 10)]
    assert [voter for voter, _ in sent[0]] == [1, 2, 3] and 5 < sum(map(bool, sent)) < 20
    assert len(releases) == 0 and releases.next_timer_ms == math.inf


def test_an_abandoned_request_releases_the_lock_of_its_predecessor(cluster):
    # Guards against a lock that is never released: the next instance knows of the request, but not of its predecessor.
    failed, first, second = cluster.placement.voters(IDENTITY)
    cluster.acquire(failed)
    cluster.run(40.0)
    cluster.run(40.0)
    cluster.unreachable = {failed, second}
    cluster.acquire(first, predecessor=LockOwner(failed, 1, 1))  # one vote
    cluster.requesters[first].abandon(1)
    cluster.unreachable = {failed}
    cluster.run(40.0)
    [next_one] = set(range(4)) - {failed, first, second}
    cluster.acquire(next_one, predecessor=LockOwner(first, 1, 1))
    assert cluster.decisions[next_one] == [LockHeld(1)]


def test_a_vote_expires_at_the_deadline_of_its_request(cluster):
    cluster.acquire(0)
    cluster.run(DEADLINE_MS)
    cluster.acquire(1)
    assert cluster.decisions[1] == [LockHeld(1)]


def test_a_request_that_yielded_does_not_run_after_the_deadline_of_an_executed_one(cluster):
    # Guards against a second effect: the finished request was evicted at its deadline, and this one waits longer.
    cluster.acquire(0)
    cluster.requesters[0].release(1, may_have_executed=True)
    cluster.run()
    cluster.run(DEADLINE_MS)
    cluster.acquire(1, has_yielded=True)
    assert cluster.decisions[1] == [LockRefused(1, (0,))]
    cluster.run(DEADLINE_MS)
    cluster.acquire(1, 2, has_yielded=True)
    assert cluster.decisions[1][1:] == [LockHeld(2)]


def test_a_lock_whose_holders_were_dropped_expires_without_an_error(cluster):
    # Guards against an exception that discards the actions of a whole event loop iteration.
    voter = cluster.voters[first_voter()]
    owner, other = sorted(set(range(4)) - {first_voter()})[:2]
    request = LockRequests(cluster.placement.digest, (LockRequest(IDENTITY, 1, 8000),))
    voter.receive(0.0, owner, 1, request)
    voter.update_members(0.0, {}, frozenset({owner}))
    voter._recovery._unrecovered_slots = {slot_of(IDENTITY)}  # restarted, with the lock learned from another voter
    voter.receive(1.0, other, 1, request)
    voter.handle_timers(DEADLINE_MS + 1)
    assert len(voter) == 0


def test_votes_that_arrive_after_a_request_was_abandoned_are_left_to_its_successor(cluster):
    # Guards against a lock that is released as if its request had executed, while another instance continues it.
    requester = cluster.requesters[0]
    requester.acquire(0.0, IDENTITY, 1, DEADLINE_MS)
    requests = requester.flush(0.0)
    requester.abandon(1)
    for action in requests:
        cluster.deliver(0, action.receiver, action.message)
    cluster.run()
    assert sum(len(voter) for voter in cluster.voters.values()) == 2
    cluster.acquire(1, predecessor=LockOwner(0, 1, 1))
    assert cluster.decisions[1] == [LockHeld(1)]


def test_a_request_that_yielded_does_not_run_after_a_lock_expired_with_unknown_outcome(cluster):
    # Guards against a second effect: the holder was executed and lost, and a request that yielded to it waited longer.
    cluster.acquire(0)
    cluster.run(DEADLINE_MS)
    cluster.acquire(1, has_yielded=True)
    assert cluster.decisions[1] == [LockRefused(1, (0,))]
    cluster.run(DEADLINE_MS)
    cluster.acquire(1, 2, has_yielded=True)
    assert cluster.decisions[1][1:] == [LockHeld(2)]


def test_a_restarted_voter_votes_once_both_others_have_reported_their_locks(cluster):
    first, second, third = cluster.placement.voters(IDENTITY)
    cluster.unreachable = {third}
    cluster.acquire(0)
    cluster.restart(first)
    cluster.run(1.0)
    cluster.acquire(1)
    assert cluster.decisions[1] == []  # one refusal and one abstention
    cluster.unreachable = set()
    cluster.run(2000.0)
    assert LockRefused(1, (0,)) in cluster.decisions[1] and cluster.voters[first]._recovery.is_complete


def test_voters_that_were_restarted_together_learn_from_the_owners(cluster):
    cluster.acquire(0)
    for number in cluster.placement.voters(IDENTITY):
        cluster.restart(number)
    for number, voter in cluster.voters.items():
        voter.other_locks = cluster.requesters[number].known_locks
    cluster.run(1.0)
    cluster.acquire(1)
    assert cluster.decisions[1] == [LockRefused(1, (0,))]


def test_a_restarted_voter_without_replies_waits_for_the_longest_deadline(cluster):
    voter = cluster.placement.voters(IDENTITY)[0]
    cluster.restart(voter)
    cluster.unreachable = set(range(4)) - {voter}
    cluster.run(1.0)
    cluster.run(DEADLINE_MS - 1)
    assert not cluster.voters[voter]._recovery.is_complete
    cluster.run(1.0)
    assert cluster.voters[voter]._recovery.is_complete


def test_a_vote_of_an_earlier_incarnation_is_void_once_another_vote_names_the_restart():
    placement = LockPlacement(dict.fromkeys(range(3), ""))
    requester = LockRequester(Replica(0, 1), placement)
    requester.update_members(frozenset((1, 2)))
    requester.acquire(0.0, IDENTITY, 1, DEADLINE_MS)
    vote = LockReply(IDENTITY, 1)
    requester.receive(0.0, 1, 1, LockReplies((), (vote,)))
    requester.receive(0.0, 2, 1, LockReplies((VoterRestart(1, 2),), (vote,)))
    requester.receive(0.0, 1, 1, LockReplies((), (vote,)))  # in transit since before the restart
    assert requester.take_decisions() == []
    requester.receive(0.0, 1, 2, LockReplies((), (vote,)))
    assert requester.take_decisions() == [LockHeld(1)]


def test_a_voter_with_other_voters_in_its_settings_does_not_vote(cluster):
    voter = cluster.voters[first_voter()]
    voter.receive(0.0, 0, 1, LockRequests(b"else", (LockRequest(IDENTITY, 1, 8000),)))
    assert len(voter) == 0 and voter.counts["placements_differing"] == 1


def test_a_voter_at_its_capacity_abstains():
    placement = LockPlacement(dict.fromkeys(range(3), ""))
    voter = LockVoter(Replica(1, 1), placement, DEADLINE_MS, max_locks=1, is_recovered=True)
    for number, identity in enumerate((IDENTITY, b"another!"), 1):
        voter.receive(0.0, 0, 1, LockRequests(placement.digest, (LockRequest(identity, number, 8000),)))
    assert len(voter) == 1 and voter.counts["locks_full"] == 1


@pytest.mark.parametrize("count", [4, 5, 6])
def test_the_only_live_voter_does_not_decide_alone(count):
    # Guards against a second effect in a partition: the two other voters may be a majority on the other side.
    cluster = Cluster(count)
    first, second, third = cluster.placement.voters(IDENTITY)
    cluster.unreachable = {first, second}
    others = set(range(count)) - cluster.unreachable
    for number in others:
        cluster.requesters[number].update_members(frozenset(others - {number}))
    owner = min(others - {third})
    cluster.acquire(owner)
    while not cluster.decisions[owner] and cluster.now < DEADLINE_MS:
        cluster.run(20.0)
    assert cluster.decisions[owner] == [LockUnavailable(1)] and cluster.now <= DEADLINE_MS / 2 + 20


def test_of_two_instances_the_higher_one_does_not_decide_alone():
    # Guards against a second effect in a cluster of two: the lower one decides alone while the link is down.
    cluster = Cluster(2)
    cluster.unreachable = {0}
    cluster.acquire(1)
    cluster.requesters[1].update_members(frozenset())
    cluster.run()
    assert cluster.decisions[1] == []


def test_an_instance_that_sees_less_than_half_of_the_cluster_needs_a_majority(cluster):
    first, second, third = cluster.placement.voters(IDENTITY)
    cluster.unreachable = set(range(4)) - {third}
    cluster.requesters[third].update_members(frozenset())
    cluster.acquire(third)
    assert cluster.decisions[third] == []


def test_a_lock_whose_owner_and_backup_seem_dead_is_held_until_its_deadline(cluster):
    # Guards against a second effect in a partition: both may be alive on the other side.
    cluster.acquire(0)
    cluster.requesters[0].set_backup(1, 3)
    cluster.run()
    for voter in cluster.voters.values():
        voter.update_members(0.0, {}, frozenset({0, 3}))
    cluster.acquire(1)
    assert cluster.decisions[1] == [LockRefused(1, (0, 3))]
    cluster.run(DEADLINE_MS)
    cluster.acquire(2)
    assert cluster.decisions[2] == [LockHeld(1)]


def test_a_lock_of_a_dead_instance_without_a_backup_is_free(cluster):
    cluster.acquire(0)
    for voter in cluster.voters.values():
        voter.update_members(0.0, {}, frozenset({0}))
    cluster.acquire(1)
    assert cluster.decisions[1] == [LockHeld(1)]


def test_a_restarted_voter_waits_for_instances_that_it_considers_dead(cluster):
    # Guards against a second effect in a partition: an owner behind it held the vote of the voter's earlier process.
    voter = cluster.placement.voters(IDENTITY)[0]
    lost = cluster.placement.voters(IDENTITY)[1]
    cluster.restart(voter)
    cluster.unreachable = {lost}
    cluster.voters[voter].update_members(0.0, {}, frozenset({lost}))
    cluster.run(1.0)
    assert not cluster.voters[voter]._recovery.is_recovered(slot_of(IDENTITY))
    cluster.unreachable = set()
    cluster.run(1000.0)
    assert cluster.voters[voter]._recovery.is_complete


@pytest.mark.parametrize("count", [2, 3])
def test_small_clusters_have_locks_too(count):
    cluster = Cluster(count)
    cluster.acquire(0)
    cluster.acquire(1)
    assert cluster.decisions[0] == [LockHeld(1)] and cluster.decisions[1] == [LockRefused(1, (0,))]


def test_the_lower_one_of_two_decides_alone_when_the_other_is_dead():
    cluster = Cluster(2)
    cluster.unreachable = {1}
    cluster.acquire(0)
    assert cluster.decisions[0] == []
    cluster.requesters[0].update_members(frozenset())
    cluster.run()
    assert cluster.decisions[0] == [LockHeld(1)]


def test_a_cluster_of_one_needs_no_locks():
    assert not LockRequester(Replica(0, 1), LockPlacement({0: ""})).is_required


@pytest.mark.parametrize("count", [3, 4, 5])
@pytest.mark.parametrize("faults", SINGLE_FAULTS)
def test_two_requests_of_one_identity_are_executed_once_with_one_fault(faults, count):
    # Guards against a second effect with one false suspicion or restart and lost, duplicated or late messages.
    code = load_code()
    runs = sum(sum(schedule_of_one_identity(code, seed, faults, count).runs.values()) for seed in range(300))
    assert runs > 100


@pytest.mark.parametrize("count", [2, 3, 4, 5])
@pytest.mark.parametrize("faults", [{}, *SINGLE_FAULTS])
def test_two_requests_of_one_identity_are_executed_once_across_a_partition(faults, count):
    # Guards against a second effect in a partition, also with one false suspicion or restart.
    code = load_code()
    timing_faults = {"tick": 6, "wait": 6}
    runs = sum(
        sum(schedule_across_a_partition(code, seed, timing_faults | faults, count).runs.values()) for seed in range(200)
    )
    assert runs > 60


@pytest.mark.parametrize("places", [(0, 1), (1, 2), (2, 3)])
def test_every_order_of_two_requests_of_one_identity_at_two_of_four_with_a_false_suspicion(places):
    world = World(load_code(), 4, {"doubt": 1})
    for request, number in enumerate(places, 1):
        world.accept(number, request, "the request", IDENTITY)
    states, fault = explore(world, 6, 400)
    assert fault is None and states > 300


@pytest.mark.parametrize("name", MUTATIONS)
def test_the_removal_of_each_lock_safeguard_is_detected(name):
    faults, mutations = MUTATIONS[name]
    code = load_code(*mutations)
    for seed in range(8000):
        try:
            schedule_of_one_identity(code, seed, faults, 3 + seed % 2)
        except AssertionError:
            return
    raise AssertionError(f"removal of {name!r} was not detected")


@pytest.mark.parametrize("name", PARTITION_MUTATIONS)
def test_the_removal_of_each_partition_safeguard_is_detected(name):
    faults, mutations = PARTITION_MUTATIONS[name]
    code = load_code(*mutations)
    for seed in range(8000):
        try:
            schedule_across_a_partition(code, seed, faults, 2 if "of two" in name else 3 + seed % 3)
        except AssertionError:
            return
    raise AssertionError(f"removal of {name!r} was not detected")
