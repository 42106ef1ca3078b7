"""Who keeps whose work, decided without I/O: all orders of a small world, random ones of a larger, guards taken out."""

import math
import random
from dataclasses import replace

import pytest
from replication_mutations import CUTS, DECLINED, LATE
from replication_net import World, done, explore, fresh, messages, schedule, schedule_of_one_identity

from anisefront.cluster.backup import Backup
from anisefront.cluster.backup_selection import Replica
from anisefront.cluster.epoch_log import MAX_UNACKNOWLEDGED
from anisefront.cluster.epoch_sender import DEFERRAL_MS
from anisefront.cluster.lock_messages import LockReplies, LockReply
from anisefront.cluster.lock_placement import LockPlacement
from anisefront.cluster.lock_requester import LockRequester
from anisefront.cluster.primary import BACKUP_TIMEOUT_MS, Primary
from anisefront.cluster.replication_actions import (
    DeliverRejection,
    LoseOwnership,
    ReleaseRequest,
    ReplicationUnavailable,
    StartAttempt,
    TakeOver,
    YieldToDuplicate,
)
from anisefront.cluster.replication_codec import MAX_RECORD_BYTES, decode, encode, encode_entry
from anisefront.cluster.replication_messages import (
    NO_IDENTITY,
    Accepted,
    Append,
    AppendAck,
    AttemptDiscarded,
    AttemptStarted,
    BackupAtCapacity,
    ClaimEpoch,
    Completed,
    EpochDecision,
    EpochFenced,
    InProgressElsewhere,
    RelayedMessage,
    RelayRequest,
    ReleaseEpoch,
)
from anisefront.cluster.witness import Witness

ENTRIES = (
    Accepted(7, True, 900, b"12345678", b"record"),
    AttemptStarted(7, 0, "10.0.0.1:80"),
    AttemptStarted(7, 1, "w", False),
    AttemptDiscarded(7, 0),
    Completed(7),
)
MESSAGES = (
    Append(3, 2**40, 4, 2**41, 1, 9, ENTRIES),
    Append(1, 1, -1, 0, 1, 1, ()),
    AppendAck(3, 12),
    EpochFenced(3),
    ReleaseEpoch(3, 5),
    ClaimEpoch(4, 2**41, 3, 5),
    EpochDecision(4, 2**41, 3, True),
    EpochDecision(0, 1, 3, False),
    RelayRequest(4, b"message"),
    RelayedMessage(4, 2**41, b"message"),
)


def origin(others=(1, 2), **rooms):
    made = Primary(Replica(0, 1, "a"))
    made.update_members(0.0, {n: Replica(n, 1, rooms.get(f"r{n}", "")) for n in others})
    return made


def feeds(made, now=0.0):
    made.handle_timers(now)
    made.flush(now)
    return messages(made)


def started(made):
    return [(action.request, action.attempt) for action in done(made, StartAttempt)]


def test_every_order_of_one_request_among_three():
    world = World(fresh(), 3, {"kill": 1, "doubt": 1, "tick": 1})
    world.take(0, 1, "r")
    states, fault = explore(world, 5)
    assert fault is None and states > 3000


@pytest.mark.parametrize("name", [b"%08d" % n for n in range(3)])
@pytest.mark.parametrize("places", [(0, 1), (1, 2), (0, 2)])
def test_every_order_of_two_of_one_name_at_two_of_three(name, places):
    world = World(fresh(), 3, {"twice": 1})
    for request, number in enumerate(places, 1):
        world.take(number, request, "the name", name)
    states, fault = explore(world, 8, 400)
    assert fault is None and states > 50


def test_of_two_that_keep_each_others_one_gives_way():
    cuts = [
        (
            "primary",
            "return placement_hash(slot, other) < placement_hash(slot, self.local.number)",
            "return True",
        )
    ]
    faults = []
    for name in (b"%08d" % n for n in range(6)):
        world = World(fresh(*cuts), 3, {}, has_locks=False)
        for request, number in enumerate((1, 2), 1):
            world.take(number, request, "the name", name)
        faults.append(explore(world, 8, 1500)[1])
    assert any(faults)


def test_a_search_of_all_orders_finds_what_is_missing():
    world = World(fresh(*CUTS["work moves after the witness's word"]), 3, {"doubt": 2})
    world.take(0, 1, "r")
    assert explore(world, 6)[1] is not None


def test_random_orders_run_nothing_twice():
    code = fresh()
    assert sum(sum(schedule(code, seed).runs.values()) for seed in range(800)) > 1200  # and most of it runs


@pytest.mark.parametrize("faults", [{"tick": 6}, {"tick": 6, "wait": 6, "lose": 3, "twice": 3}])
def test_two_of_one_identity_run_once_however_late_instances_are(faults):
    # Guards against a second effect: a backup that was only late was left for one that knew of no other request.
    code = fresh()
    runs = [sum(schedule_of_one_identity(code, seed, faults).runs.values()) for seed in range(1500)]
    assert sum(runs) > 1200  # and most of them run


@pytest.mark.parametrize("faults", [{"doubt": 1}, {"start": 1, "kill": 1, "learn": 3}])
def test_two_of_one_identity_run_once_while_gateways_disagree_on_who_is_there(faults):
    # Guards against a second effect: gateways that know of other members choose other backups for one identity.
    code = fresh()
    for seed in range(1500):
        schedule_of_one_identity(code, seed, faults)


@pytest.mark.parametrize("name", CUTS)
def test_each_guard_taken_out_is_found(name):
    code = fresh(*CUTS[name])
    for seed in range(8000):
        try:
            schedule(code, seed, 3, 2, 50)
        except AssertionError:
            return
    raise AssertionError(f"without {name!r} nothing was found")


def late(cut):
    """A message that was under way until all was over: what a keeper makes of it."""
    keeper = (fresh(*LATE[cut]) if cut else fresh()).Backup(1, 1)
    first = Append(1, 1, 2, 1, 1, 1, (Accepted(1, True, 10_000, NO_IDENTITY, b""),))
    keeper.receive(0.0, 0, 1, first)
    keeper.receive(0.0, 0, 1, Append(1, 1, 2, 1, 1, 2, (Completed(1),)))
    keeper.receive(0.0, 0, 1, Append(2, 1, 2, 1, 2, 1, (Accepted(2, True, 10_000, NO_IDENTITY, b""), Completed(2))))
    if cut == "life":
        keeper.primary_terminated(0.0, 0, 1)
        first = Append(3, 1, 2, 1, 3, 1, first.entries)
    keeper.receive(1.0, 0, 1, first)
    return keeper.request_count


@pytest.mark.parametrize("cut", LATE)
def test_a_message_that_comes_when_all_is_over_begins_nothing(cut):
    assert late("") == 0 and late(cut) == 1


def test_a_bound_attempt_waits_for_the_keeper_and_a_safe_one_does_not():
    made = origin()
    named = b"one name"
    assert made.accept(0.0, Accepted(1, True, 1000, named, b"")) and made.accept(
        0.0, Accepted(2, False, 1000, named, b"")
    )
    assert not made.start_attempt(0.0, 1, 0, "w") and made.start_attempt(0.0, 2, 0, "w")
    [(keeper, feed)] = feeds(made)
    assert [type(each) for each in feed.entries] == [Accepted, AttemptStarted]  # a batch of the turn
    made.receive(1.0, keeper, 1, AppendAck(feed.epoch, 1))
    assert started(made) == []
    made.receive(1.0, keeper, 1, AppendAck(feed.epoch, 2))
    assert started(made) == [(1, 0)] and feeds(made, 1.0) == []


def test_what_may_simply_run_again_is_told_after_a_while_and_not_at_all_where_it_has_ended_by_then():
    made = origin()
    for number in (1, 2, 3):
        made.accept(0.0, Accepted(number, False, 1000, NO_IDENTITY, b"r"))
        assert made.start_attempt(0.0, number, 0, "w")
    assert feeds(made) == []
    made.discard_attempt(5.0, 2, 0)
    made.complete(10.0, 1)
    assert made.next_timer_ms <= DEFERRAL_MS and len(made) == 2
    made.handle_timers(DEFERRAL_MS)
    told = [entry for _, feed in feeds(made, DEFERRAL_MS) for entry in feed.entries]
    assert sorted(told, key=lambda entry: (entry.request, str(type(entry)))) == sorted(
        [
            Accepted(2, False, 1000, NO_IDENTITY, b"r"),
            AttemptStarted(2, 0, "w"),
            AttemptDiscarded(2, 0),
            Accepted(3, False, 1000, NO_IDENTITY, b"r"),
            AttemptStarted(3, 0, "w"),
        ],
        key=lambda entry: (entry.request, str(type(entry))),
    )
    made.complete(DEFERRAL_MS + 1, 2)
    assert 1 not in [entry.request for log in made._sender.logs.values() for entry, _ in log.entries]
    for log in made._sender.logs.values():  # no epoch keeps what was never told
        assert not log.deferred and not log.deferred_due_ms


def test_late_ones_of_a_keeper_that_is_left_are_told_to_another():
    made = origin()
    made.accept(0.0, Accepted(1, False, 1000, NO_IDENTITY, b"r"))
    keeper = made.backup_of(1)
    made.update_members(5.0, {n: Replica(n, 1) for n in (1, 2, 3) if n != keeper})
    made.handle_timers(5.0 + DEFERRAL_MS)
    assert [(to != keeper, entry.request) for to, feed in feeds(made, 5.0 + DEFERRAL_MS) for entry in feed.entries] == [
        (True, 1)
    ]
    assert not any(log.deferred for log in made._sender.logs.values())


def test_entries_packed_before_are_the_same_bytes():
    feed = Append(1, 2, 3, 4, 1, 1, ENTRIES)
    encoded_entries = b"".join(map(encode_entry, ENTRIES))
    assert encode(replace(feed, encoded_entries=encoded_entries)) == encode(feed) and decode(encode(feed)) == feed


def test_a_slow_keeper_is_left_for_another_by_the_witness():
    made = origin((1, 2, 3))
    made.accept(0.0, Accepted(1, True, 1000, NO_IDENTITY, b""))
    made.start_attempt(0.0, 1, 0, "w")
    [(slow, feed)] = feeds(made)
    out, now = [], 0.0
    while not any(isinstance(message, ReleaseEpoch) for _, message in out) and now < 1000:
        now += 5.0
        out += feeds(made, now)
    assert BACKUP_TIMEOUT_MS <= now <= 2 * BACKUP_TIMEOUT_MS
    made.receive(now, feed.witness, feed.witness_incarnation, EpochDecision(0, 1, feed.epoch, False))
    [(other, again)] = feeds(made, now)
    assert other != slow and started(made) == []
    made.receive(now, other, 1, AppendAck(again.epoch, 2))
    assert started(made) == [(1, 0)]
    made.accept(now, Accepted(2, True, 1000, NO_IDENTITY, b""))
    assert feeds(made, now)[0][0] != slow  # nor is it asked for what comes next


def test_a_slow_keeper_of_an_identity_is_asked_through_others_and_not_left():
    made = origin((1, 2, 3))
    made.accept(0.0, Accepted(1, True, 10_000, b"identity", b""))
    made.start_attempt(0.0, 1, 0, "w")
    [(slow, feed)] = feeds(made)
    out = [each for now in range(5, 2000, 5) for each in feeds(made, float(now))]
    assert not [message for _, message in out if isinstance(message, ReleaseEpoch)] and started(made) == []
    relayed = [(receiver, message) for receiver, message in out if isinstance(message, RelayRequest)]
    assert {receiver for receiver, _ in relayed} == {1, 2, 3} - {slow}
    assert {(message.receiver, decode(message.data)) for _, message in relayed} == {(slow, feed)}
    made.receive(2000.0, slow, 1, AppendAck(feed.epoch, 2))
    assert started(made) == [(1, 0)]


def test_an_identity_is_refused_where_its_keeper_is_too_far_behind():
    made = origin((1, 2, 3))
    for request in range(20_000):
        accepted = Accepted(request, True, 1000, b"identity", b"")
        if not made.accept(0.0, accepted):
            break
    assert request == MAX_UNACKNOWLEDGED and not made.may_run_unprotected(accepted)
    assert made.may_run_unprotected(replace(accepted, identity=NO_IDENTITY))
    assert origin(()).may_run_unprotected(accepted)  # nobody else is there to have another of it


def test_a_keeper_that_takes_a_copy_of_what_it_turned_away_hears_that_it_never_ran():
    # Guards against an identity that stays blocked: the keeper stored a request that its origin had given up.
    made, keeper = origin((1,)), Backup(1, 1)
    made.accept(0.0, Accepted(1, True, 60_000, b"identity", b""))
    made.start_attempt(0.0, 1, 0, "w")
    [(_, feed)] = feeds(made)
    keeper.is_local_duplicate = lambda identity, primary: True
    keeper.receive(0.0, 0, 1, feed)
    turned_away = messages(keeper)
    keeper.is_local_duplicate = lambda identity, primary: False  # its own request has ended by now
    keeper.receive(1.0, 0, 1, feed)
    for _, message in turned_away:
        made.receive(2.0, 1, 1, message)
    for _, message in feeds(made, 3.0):
        keeper.receive(3.0, 0, 1, message)
    [released] = [action.replica for action in done(keeper, ReleaseRequest)]
    assert keeper.request_count == 0 and released.attempts == {} and started(made) == []


def test_what_its_origin_has_moved_elsewhere_is_neither_ended_nor_run_beside_it():
    # Guards against a second effect: those who wait for a request that had moved were told that it never ran.
    keeper = Backup(1, 1)
    name = Accepted(7, True, 1000, b"identity", b"")
    keeper.receive(0.0, 0, 1, Append(1, 1, 2, 1, 1, 1, (name,)))
    keeper.receive(1.0, 0, 1, Append(2, 1, 2, 1, 2, 1, ()))  # its origin has finished with the first epoch
    assert keeper.request_count == 0 and done(keeper, ReleaseRequest) == []
    messages(keeper)
    keeper.receive(2.0, 3, 1, Append(1, 1, 2, 1, 1, 1, (name,)))
    assert (3, InProgressElsewhere(1, 7)) in messages(keeper) and keeper.request_count == 0
    assert keeper.find_primary(999.0, b"identity") == 0
    keeper.receive(999.0, 0, 1, Append(3, 1, 2, 1, 2, 1, (replace(name, remaining_ms=1),)))  # it moves back
    assert keeper.request_count == 1
    keeper.receive(1001.0, 0, 1, Append(4, 1, 2, 1, 4, 1, ()))
    keeper.receive(1002.0, 3, 1, Append(2, 1, 2, 1, 1, 1, (name,)))  # its time is over
    assert keeper.request_count == 1 and keeper.find_primary(1002.0, b"identity") == 3


@pytest.mark.parametrize("left", [False, True])
def test_a_request_that_gives_way_may_have_run_only_if_an_attempt_of_it_left(left):
    # Guards against "failed" for a request that never ran: two gave way to each other, each for the other's sake.
    made = origin((1,))
    made.accept(0.0, Accepted(1, True, 60_000, b"identity", b""))
    made.start_attempt(0.0, 1, 0, "w")
    [(_, feed)] = feeds(made)
    if left:
        made.receive(1.0, 1, 1, AppendAck(feed.epoch, 2))
        made.start_attempt(1.0, 1, 1, "v")
    made.receive(2.0, 1, 1, InProgressElsewhere(feed.epoch, 1))
    assert made.may_have_executed(1) is left and made.may_have_executed(2) is None
    assert len(done(made, YieldToDuplicate)) == (not left) and len(done(made, LoseOwnership)) == left


@pytest.mark.parametrize("acknowledged", [True, False])
def test_a_rejection_after_an_attempt_that_never_executed_frees_the_identity(acknowledged):
    # Guards against a rejection called safe to retry whose identity stays blocked until the deadline.
    locks = LockRequester(Replica(0, 1), LockPlacement(dict.fromkeys(range(3), "")))
    made = Primary(Replica(0, 1), locks=locks)
    made.update_members(0.0, {n: Replica(n, 1) for n in (1, 2)})
    made.accept(0.0, Accepted(1, True, 60_000, b"identity", b""))
    made.start_attempt(0.0, 1, 0, "w")
    [(backup, feed)] = [(receiver, sent) for receiver, sent in feeds(made) if isinstance(sent, Append)]
    made.receive(1.0, backup, 1, AppendAck(feed.epoch, 2))
    for voter in (1, 2):
        made.receive(1.0, voter, 1, LockReplies((), (LockReply(b"identity", 1),)))
    assert started(made) == [(1, 0)] and made.may_have_executed(1)
    made.discard_attempt(2.0, 1, 0)  # no connection came up
    assert not made.reject(3.0, 1)
    if acknowledged:
        made.receive(4.0, backup, 1, AppendAck(feed.epoch, 4))
    else:  # its backup is lost, the witness agrees, and none is left that knows of it
        made.update_members(4.0, {3 - backup: Replica(3 - backup, 1)})
        made.receive(5.0, 3 - backup, 1, EpochDecision(0, 1, feed.epoch, False))
    assert len(done(made, DeliverRejection)) == 1
    assert made.may_have_executed(1) is False
    made.complete(6.0, 1)
    assert len(made) == 0 and not list(locks.known_locks(6.0))


def test_the_backup_of_a_taker_knows_of_the_attempts_before_it():
    # Guards against a second effect: who took over from a taker thought that nothing had been started.
    made, keeper = origin((1,)), Backup(1, 1)
    accepted = Accepted(7, True, 60_000, b"identity", b"")
    made.accept(0.0, accepted, prior_attempts={0: "w", 1: "v"})
    for _, message in feeds(made):
        keeper.receive(1.0, 0, 1, message)
    assert made.may_have_executed(7)
    keeper.primary_failed(2.0, 0, 1)
    [taken] = done(keeper, TakeOver)
    assert taken.replica.attempts == {0: ("w", -math.inf), 1: ("v", -math.inf)}


def test_all_of_one_message_that_are_in_hand_elsewhere_are_turned_away_at_once():
    # Guards against one round trip for each: hundreds that came back after a loss waited for seconds.
    keeper = Backup(1, 1)
    entries = tuple(Accepted(number, True, 9000, b"%08d" % number, b"") for number in range(4))
    keeper.receive(0.0, 2, 1, Append(1, 1, 3, 1, 1, 1, (entries[0], entries[1], entries[3])))
    messages(keeper)
    keeper.receive(1.0, 0, 1, Append(1, 1, 2, 1, 1, 1, entries))
    turned_away = [message.request for _, message in messages(keeper) if isinstance(message, InProgressElsewhere)]
    assert turned_away == [0, 1, 3]


def test_a_lost_entry_is_fed_again_while_others_follow_it():
    made, keeper = origin((1,)), Backup(1, 1)
    made.accept(0.0, Accepted(1, True, 1000, NO_IDENTITY, b""))
    feeds(made)  # lost
    for now in range(5, 100, 5):
        made.accept(float(now), Accepted(1 + now, True, 1000, NO_IDENTITY, b""))
        for _, message in feeds(made, float(now)):
            keeper.receive(float(now), 0, 1, message)
        for _, message in messages(keeper):
            made.receive(float(now), 1, 1, message)
    assert keeper.request_count == 20


def test_an_end_is_told_with_what_comes_next_or_with_a_sign_of_life():
    made, keeper = origin((1,)), Backup(1, 1)
    made.accept(0.0, Accepted(1, True, 60_000, NO_IDENTITY, b""))
    keeper.receive(0.0, 0, 1, feeds(made)[0][1])
    made.receive(1.0, 1, 1, messages(keeper)[-1][1])
    made.complete(2.0, 1)
    assert feeds(made, 3.0) == [] and keeper.request_count == 1
    keeper.receive(260.0, 0, 1, feeds(made, 260.0)[0][1])
    made.receive(261.0, 1, 1, messages(keeper)[-1][1])
    assert keeper.request_count == 0 and feeds(made, 2000.0) == []  # and then there is nothing more to say


def test_another_room_keeps_and_few_move_when_a_member_comes():
    made = origin(tuple(range(1, 9)), r1="a", r2="a", r3="a")
    chosen = {slot: made._selector.ranking(slot, "a", 0)[0] for slot in range(64)}
    assert {member.number for member in chosen.values()} <= {4, 5, 6, 7, 8}
    made.update_members(0.0, {n: Replica(n, 1, "a" if n < 4 else "") for n in range(1, 10)})
    moved = sum(made._selector.ranking(slot, "a", 0)[0] != chosen[slot] for slot in range(64))
    assert 0 < moved < 24  # a sixth is the newcomer's part


def test_a_keeper_that_hears_nothing_holds_so_much_at_most():
    made = origin((1,))
    taken = [made.accept(0.0, Accepted(n, True, 1000, NO_IDENTITY, b"")) for n in range(MAX_UNACKNOWLEDGED + 5)]
    assert sum(taken) == MAX_UNACKNOWLEDGED and not any(taken[MAX_UNACKNOWLEDGED:])


def declined(*cuts):
    """A keeper with room for one that turned a request away, and has room when it is fed again: how many it keeps."""
    keeper = fresh(*cuts).Backup(1, 1, max_requests=1)
    feed = Append(1, 1, 2, 1, 1, 1, (Accepted(1, True, 10_000, NO_IDENTITY, b""),))
    keeper.receive(0.0, 2, 1, feed)
    keeper.receive(0.0, 0, 1, feed)
    keeper.receive(1.0, 2, 1, Append(1, 1, 2, 1, 1, 2, (Completed(1),)))
    keeper.receive(2.0, 0, 1, feed)  # its origin may still hear of the first word, and go on by itself
    return keeper.request_count


def test_what_was_turned_away_for_want_of_room_stays_so():
    assert declined() == 0 and declined(DECLINED) == 1


def test_a_full_keeper_takes_no_more_and_what_it_turned_away_it_never_takes():
    keeper = Backup(1, 1, max_requests=2)
    four = Append(1, 1, -1, 0, 1, 1, tuple(Accepted(n, True, 1000, NO_IDENTITY, b"") for n in range(4)))
    keeper.receive(0.0, 0, 1, four)
    assert (
        messages(keeper) == [(0, BackupAtCapacity(1, 2)), (0, BackupAtCapacity(1, 3)), (0, AppendAck(1, 2))]
        and keeper.request_count == 2
    )
    messages(keeper)
    keeper.receive(0.0, 0, 1, Append(2, 1, -1, 0, 2, 1, ()))  # all of the first epoch is over
    assert keeper.request_count == 0
    keeper = Backup(1, 1, max_requests=1)
    keeper.receive(0.0, 0, 1, replace(four, entries=four.entries[1:3]))
    keeper._release(keeper._epochs(0, 1)[1], keeper._epochs(0, 1)[1].requests[1])  # there is room again
    messages(keeper)
    keeper.receive(1.0, 0, 1, Append(1, 1, -1, 0, 1, 2, (Accepted(2, True, 1000, NO_IDENTITY, b""),)))
    assert messages(keeper) == [(0, BackupAtCapacity(1, 2)), (0, AppendAck(1, 1))] and keeper.request_count == 0
    keeper.receive(2.0, 0, 1, Append(1, 1, -1, 0, 1, 2, (Completed(2), Accepted(3, True, 1000, NO_IDENTITY, b""))))
    assert (
        messages(keeper)[-1] == (0, AppendAck(1, 3))
        and keeper.request_count == 1
        and not keeper._epochs(0, 1)[1].declined
    )


def test_an_origin_whose_keeper_is_full_goes_on_without_and_tells_the_rest():
    made = origin((1,))
    for request in (1, 2):
        made.accept(0.0, Accepted(request, True, 1000, NO_IDENTITY, b""))
        assert not made.start_attempt(0.0, request, 0, "w")
    [(_, feed)] = feeds(made)
    made.receive(1.0, 1, 1, BackupAtCapacity(feed.epoch, 1))
    assert (
        done(made, ReplicationUnavailable) == [ReplicationUnavailable(1)]
        and started(made) == [(1, 0)]
        and made.counts["unprotected_full"] == 1
    )
    made.receive(1.0, 1, 1, BackupAtCapacity(feed.epoch, 1))  # said twice
    assert started(made) == [(1, 0)]
    [(_, again)] = feeds(made, 1.0)
    assert [entry.request for entry in again.entries] == [1, 1, 2, 2] and again.entries[0] == Completed(1)
    made.receive(2.0, 1, 1, AppendAck(feed.epoch, 4))
    assert started(made) == [(1, 0), (2, 0)] and made.start_attempt(3.0, 1, 1, "w")


def test_an_origin_that_loses_its_last_keeper_tells_its_host():
    # Guards against an unprotected execution in a class that requires a backup: only a full one was told of.
    made = origin((1,))
    for request in (1, 2):
        made.accept(0.0, Accepted(request, False, 1000, NO_IDENTITY, b""))
    made.update_members(1.0, {})
    assert done(made, ReplicationUnavailable) == [ReplicationUnavailable(1), ReplicationUnavailable(2)]
    assert made.counts["unprotected_since"] == 2


def test_every_order_of_two_requests_where_a_keeper_has_room_for_one():
    world = World(fresh(), 3, {"twice": 1, "kill": 1, "doubt": 1}, max_requests=1)
    for request in (1, 2):
        world.take(0, request, f"r{request}")
    states, fault = explore(world, 5, 6000)
    assert fault is None and states > 2000


def test_a_lease_decides_when_the_witness_is_asked_and_signs_of_life_keep_it():
    made, keeper, witness = origin(r2="a"), Backup(1, 1), Witness(1)
    made.accept(0.0, Accepted(1, True, 60_000, NO_IDENTITY, b"r"))
    for now in range(0, 5000, 10):
        for receiver, message in feeds(made, float(now)):
            if receiver == 1:
                keeper.receive(float(now), 0, 1, message)
        keeper.handle_timers(float(now))
        for _, message in messages(keeper):
            made.receive(float(now), 1, 1, message)
    assert keeper.request_count == 1
    assert keeper.counts["leases_out"] == 0
    keeper.handle_timers(6100.0)
    [(receiver, close)] = messages(keeper)
    witness.receive(1, 1, close)
    keeper.receive(6100.0, receiver, 1, messages(witness)[0][1])
    assert [action.replica.record for action in done(keeper, TakeOver)] == [b"r"] and keeper.request_count == 0


def test_a_claim_without_a_reply_ends_with_the_last_request_and_may_be_made_again():
    # Guards against claims repeated every 50 ms for the rest of the process where the witness was restarted.
    made = origin()
    made.accept(0.0, Accepted(1, True, 1000, NO_IDENTITY, b"r"))
    [(number, feed)] = feeds(made)
    keeper = Backup(number, 1)
    keeper.receive(0.0, 0, 1, feed)
    keeper.primary_failed(10.0, 0, 1)
    for now in range(10, 5000, 10):
        keeper.handle_timers(float(now))
    claims = [message for _, message in messages(keeper) if isinstance(message, ClaimEpoch)]
    assert 15 <= len(claims) <= 20 and keeper.next_timer_ms == math.inf
    later = replace(feed, first_sequence=2, entries=(Accepted(2, True, 1000, NO_IDENTITY, b"r"),))
    keeper.receive(5000.0, 0, 1, later)
    keeper.primary_failed(5010.0, 0, 1)
    witness = Witness(feed.witness_incarnation)
    witness.receive(number, 1, [message for _, message in messages(keeper) if isinstance(message, ClaimEpoch)][-1])
    keeper.receive(5020.0, feed.witness, feed.witness_incarnation, messages(witness)[0][1])
    assert [action.replica.request for action in done(keeper, TakeOver)] == [2]


def test_messages_come_back_as_they_went():
    for message in MESSAGES:
        data = encode(message)
        assert decode(data) == message
        for cut in range(len(data)):
            assert decode(data[:cut]) is None
    with pytest.raises(ValueError, match="record: 1101 bytes exceed 1100"):
        encode(Append(1, 1, -1, 0, 1, 1, (Accepted(1, True, 0, NO_IDENTITY, bytes(MAX_RECORD_BYTES + 1)),)))


def test_noise_is_no_message_and_raises_nothing():
    rng = random.Random(5)
    for _ in range(4000):
        data = bytearray(encode(rng.choice(MESSAGES)))
        for _ in range(rng.randrange(1, 4)):
            data[rng.randrange(len(data))] = rng.randrange(256)
        decode(bytes(data))
