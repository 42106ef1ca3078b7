"""Request replication without I/O: all orders of steps of a small cluster, random orders of larger ones, mutations."""

import math
import random
from dataclasses import replace

import pytest
from replication_mutations import DECLINED, LATE, MUTATIONS
from replication_net import World, explore, load_code, messages, requested_actions, schedule, schedule_of_one_identity

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


def make_primary(others=(1, 2), **zones):
    primary = Primary(Replica(0, 1, "a"))
    primary.update_members(0.0, {n: Replica(n, 1, zones.get(f"r{n}", "")) for n in others})
    return primary


def flush(primary, now=0.0):
    primary.handle_timers(now)
    primary.flush(now)
    return messages(primary)


def started_attempts(primary):
    return [(action.request, action.attempt) for action in requested_actions(primary, StartAttempt)]


def test_every_order_of_one_request_among_three_instances():
    world = World(load_code(), 3, {"kill": 1, "doubt": 1, "tick": 1})
    world.accept(0, 1, "r")
    states, fault = explore(world, 5)
    assert fault is None and states > 3000


@pytest.mark.parametrize("identity", [b"%08d" % n for n in range(3)])
@pytest.mark.parametrize("places", [(0, 1), (1, 2), (0, 2)])
def test_every_order_of_two_requests_of_one_identity_at_two_of_three_instances(identity, places):
    world = World(load_code(), 3, {"twice": 1})
    for request, number in enumerate(places, 1):
        world.accept(number, request, "the request", identity)
    states, fault = explore(world, 8, 400)
    assert fault is None and states > 50


def test_of_two_instances_that_are_each_others_backups_one_yields():
    mutations = [
        (
            "primary",
            "return placement_hash(slot, other) < placement_hash(slot, self.local.number)",
            "return True",
        )
    ]
    faults = []
    for identity in (b"%08d" % n for n in range(6)):
        world = World(load_code(*mutations), 3, {}, has_locks=False)
        for request, number in enumerate((1, 2), 1):
            world.accept(number, request, "the request", identity)
        faults.append(explore(world, 8, 1500)[1])
    assert any(faults)


def test_a_search_of_all_orders_detects_a_removed_safeguard():
    world = World(load_code(*MUTATIONS["a request moves after the witness's decision"]), 3, {"doubt": 2})
    world.accept(0, 1, "r")
    assert explore(world, 6)[1] is not None


def test_random_orders_execute_no_request_twice():
    code = load_code()
    assert sum(sum(schedule(code, seed).runs.values()) for seed in range(800)) > 1200  # most requests are executed


@pytest.mark.parametrize("faults", [{"tick": 6}, {"tick": 6, "wait": 6, "lose": 3, "twice": 3}])
def test_two_requests_of_one_identity_are_executed_once_despite_late_instances(faults):
    # Guards against a second effect: a late backup was replaced by one that did not know of the other request.
    code = load_code()
    runs = [sum(schedule_of_one_identity(code, seed, faults).runs.values()) for seed in range(1500)]
    assert sum(runs) > 1200  # most requests are executed


@pytest.mark.parametrize("faults", [{"doubt": 1}, {"start": 1, "kill": 1, "learn": 3}])
def test_two_requests_of_one_identity_are_executed_once_while_membership_views_differ(faults):
    # Guards against a second effect: instances with different membership views select different backups.
    code = load_code()
    for seed in range(1500):
        schedule_of_one_identity(code, seed, faults)


@pytest.mark.parametrize("name", MUTATIONS)
def test_the_removal_of_each_replication_safeguard_is_detected(name):
    code = load_code(*MUTATIONS[name])
    for seed in range(8000):
        try:
            schedule(code, seed, 3, 2, 50)
        except AssertionError:
            return
    raise AssertionError(f"removal of {name!r} was not detected")


def stored_after_late_message(mutation):
    """Deliver a message after its epoch has ended; returns the number of requests that the backup stores."""
    backup = (load_code(*LATE[mutation]) if mutation else load_code()).Backup(1, 1)
    first = Append(1, 1, 2, 1, 1, 1, (Accepted(1, True, 10_000, NO_IDENTITY, b""),))
    backup.receive(0.0, 0, 1, first)
    backup.receive(0.0, 0, 1, Append(1, 1, 2, 1, 1, 2, (Completed(1),)))
    backup.receive(0.0, 0, 1, Append(2, 1, 2, 1, 2, 1, (Accepted(2, True, 10_000, NO_IDENTITY, b""), Completed(2))))
    if mutation == "incarnation":
        backup.primary_terminated(0.0, 0, 1)
        first = Append(3, 1, 2, 1, 3, 1, first.entries)
    backup.receive(1.0, 0, 1, first)
    return backup.request_count


@pytest.mark.parametrize("mutation", LATE)
def test_a_message_delayed_until_its_epoch_has_ended_has_no_effect(mutation):
    assert stored_after_late_message("") == 0 and stored_after_late_message(mutation) == 1


def test_an_attempt_awaits_the_acknowledgement_unless_its_request_is_idempotent():
    primary = make_primary()
    identity = b"one name"
    assert primary.accept(0.0, Accepted(1, True, 1000, identity, b"")) and primary.accept(
        0.0, Accepted(2, False, 1000, identity, b"")
    )
    assert not primary.start_attempt(0.0, 1, 0, "w") and primary.start_attempt(0.0, 2, 0, "w")
    [(backup, append)] = flush(primary)
    assert [type(each) for each in append.entries] == [Accepted, AttemptStarted]  # batched in one message
    primary.receive(1.0, backup, 1, AppendAck(append.epoch, 1))
    assert started_attempts(primary) == []
    primary.receive(1.0, backup, 1, AppendAck(append.epoch, 2))
    assert started_attempts(primary) == [(1, 0)] and flush(primary, 1.0) == []


def test_idempotent_requests_are_appended_after_a_delay_unless_completed_before():
    primary = make_primary()
    for number in (1, 2, 3):
        primary.accept(0.0, Accepted(number, False, 1000, NO_IDENTITY, b"r"))
        assert primary.start_attempt(0.0, number, 0, "w")
    assert flush(primary) == []
    primary.discard_attempt(5.0, 2, 0)
    primary.complete(10.0, 1)
    assert primary.next_timer_ms <= DEFERRAL_MS and len(primary) == 2
    primary.handle_timers(DEFERRAL_MS)
    appended = [entry for _, append in flush(primary, DEFERRAL_MS) for entry in append.entries]
    assert sorted(appended, key=lambda entry: (entry.request, str(type(entry)))) == sorted(
        [
            Accepted(2, False, 1000, NO_IDENTITY, b"r"),
            AttemptStarted(2, 0, "w"),
            AttemptDiscarded(2, 0),
            Accepted(3, False, 1000, NO_IDENTITY, b"r"),
            AttemptStarted(3, 0, "w"),
        ],
        key=lambda entry: (entry.request, str(type(entry))),
    )
    primary.complete(DEFERRAL_MS + 1, 2)
    assert 1 not in [entry.request for log in primary._sender.logs.values() for entry, _ in log.entries]
    for log in primary._sender.logs.values():  # no epoch retains entries that were never appended
        assert not log.deferred and not log.deferred_due_ms


def test_deferred_requests_of_a_released_backup_are_appended_to_another():
    primary = make_primary()
    primary.accept(0.0, Accepted(1, False, 1000, NO_IDENTITY, b"r"))
    backup = primary.backup_of(1)
    primary.update_members(5.0, {n: Replica(n, 1) for n in (1, 2, 3) if n != backup})
    primary.handle_timers(5.0 + DEFERRAL_MS)
    assert [
        (receiver != backup, entry.request)
        for receiver, append in flush(primary, 5.0 + DEFERRAL_MS)
        for entry in append.entries
    ] == [(True, 1)]
    assert not any(log.deferred for log in primary._sender.logs.values())


def test_entries_encoded_before_yield_the_same_bytes():
    append = Append(1, 2, 3, 4, 1, 1, ENTRIES)
    encoded_entries = b"".join(map(encode_entry, ENTRIES))
    assert (
        encode(replace(append, encoded_entries=encoded_entries)) == encode(append) and decode(encode(append)) == append
    )


def test_a_slow_backup_is_replaced_after_the_witness_decides():
    primary = make_primary((1, 2, 3))
    primary.accept(0.0, Accepted(1, True, 1000, NO_IDENTITY, b""))
    primary.start_attempt(0.0, 1, 0, "w")
    [(slow, append)] = flush(primary)
    sent, now = [], 0.0
    while not any(isinstance(message, ReleaseEpoch) for _, message in sent) and now < 1000:
        now += 5.0
        sent += flush(primary, now)
    assert BACKUP_TIMEOUT_MS <= now <= 2 * BACKUP_TIMEOUT_MS
    primary.receive(now, append.witness, append.witness_incarnation, EpochDecision(0, 1, append.epoch, False))
    [(other, resent)] = flush(primary, now)
    assert other != slow and started_attempts(primary) == []
    primary.receive(now, other, 1, AppendAck(resent.epoch, 2))
    assert started_attempts(primary) == [(1, 0)]
    primary.accept(now, Accepted(2, True, 1000, NO_IDENTITY, b""))
    assert flush(primary, now)[0][0] != slow  # nor is it selected for later requests


def test_entries_for_a_slow_backup_of_an_identity_are_relayed_and_it_is_not_released():
    primary = make_primary((1, 2, 3))
    primary.accept(0.0, Accepted(1, True, 10_000, b"identity", b""))
    primary.start_attempt(0.0, 1, 0, "w")
    [(slow, append)] = flush(primary)
    sent = [each for now in range(5, 2000, 5) for each in flush(primary, float(now))]
    assert not [message for _, message in sent if isinstance(message, ReleaseEpoch)] and started_attempts(primary) == []
    relayed = [(receiver, message) for receiver, message in sent if isinstance(message, RelayRequest)]
    assert {receiver for receiver, _ in relayed} == {1, 2, 3} - {slow}
    assert {(message.receiver, decode(message.data)) for _, message in relayed} == {(slow, append)}
    primary.receive(2000.0, slow, 1, AppendAck(append.epoch, 2))
    assert started_attempts(primary) == [(1, 0)]


def test_an_identity_is_rejected_when_its_backup_has_too_many_unacknowledged_entries():
    primary = make_primary((1, 2, 3))
    for request in range(20_000):
        accepted = Accepted(request, True, 1000, b"identity", b"")
        if not primary.accept(0.0, accepted):
            break
    assert request == MAX_UNACKNOWLEDGED and not primary.may_run_unprotected(accepted)
    assert primary.may_run_unprotected(replace(accepted, identity=NO_IDENTITY))
    assert make_primary(()).may_run_unprotected(accepted)  # without other instances there is no duplicate


def test_a_backup_that_stores_a_copy_of_a_rejected_duplicate_is_notified_of_its_end():
    # Guards against an identity that stays blocked: the backup stored a request that its primary had given up.
    primary, backup = make_primary((1,)), Backup(1, 1)
    primary.accept(0.0, Accepted(1, True, 60_000, b"identity", b""))
    primary.start_attempt(0.0, 1, 0, "w")
    [(_, append)] = flush(primary)
    backup.is_local_duplicate = lambda identity, number: True
    backup.receive(0.0, 0, 1, append)
    rejections = messages(backup)
    backup.is_local_duplicate = lambda identity, number: False  # the local request has ended meanwhile
    backup.receive(1.0, 0, 1, append)
    for _, message in rejections:
        primary.receive(2.0, 1, 1, message)
    for _, message in flush(primary, 3.0):
        backup.receive(3.0, 0, 1, message)
    [released] = [action.replica for action in requested_actions(backup, ReleaseRequest)]
    assert backup.request_count == 0 and released.attempts == {} and started_attempts(primary) == []


def test_a_request_moved_to_another_backup_keeps_its_identity_blocked():
    # Guards against a second effect: waiters for a moved request were notified that it never executed.
    backup = Backup(1, 1)
    accepted = Accepted(7, True, 1000, b"identity", b"")
    backup.receive(0.0, 0, 1, Append(1, 1, 2, 1, 1, 1, (accepted,)))
    backup.receive(1.0, 0, 1, Append(2, 1, 2, 1, 2, 1, ()))  # its primary has finished the first epoch
    assert backup.request_count == 0 and requested_actions(backup, ReleaseRequest) == []
    messages(backup)
    backup.receive(2.0, 3, 1, Append(1, 1, 2, 1, 1, 1, (accepted,)))
    assert (3, InProgressElsewhere(1, 7)) in messages(backup) and backup.request_count == 0
    assert backup.find_primary(999.0, b"identity") == 0
    backup.receive(999.0, 0, 1, Append(3, 1, 2, 1, 2, 1, (replace(accepted, remaining_ms=1),)))  # moved back
    assert backup.request_count == 1
    backup.receive(1001.0, 0, 1, Append(4, 1, 2, 1, 4, 1, ()))
    backup.receive(1002.0, 3, 1, Append(2, 1, 2, 1, 1, 1, (accepted,)))  # the deadline has passed
    assert backup.request_count == 1 and backup.find_primary(1002.0, b"identity") == 3


@pytest.mark.parametrize("has_started", [False, True])
def test_a_request_that_yields_may_have_executed_only_if_an_attempt_started(has_started):
    # Guards against "failed" for a request that never executed: two requests had yielded to each other.
    primary = make_primary((1,))
    primary.accept(0.0, Accepted(1, True, 60_000, b"identity", b""))
    primary.start_attempt(0.0, 1, 0, "w")
    [(_, append)] = flush(primary)
    if has_started:
        primary.receive(1.0, 1, 1, AppendAck(append.epoch, 2))
        primary.start_attempt(1.0, 1, 1, "v")
    primary.receive(2.0, 1, 1, InProgressElsewhere(append.epoch, 1))
    assert primary.may_have_executed(1) is has_started and primary.may_have_executed(2) is None
    assert (
        len(requested_actions(primary, YieldToDuplicate)) == (not has_started)
        and len(requested_actions(primary, LoseOwnership)) == has_started
    )


@pytest.mark.parametrize("acknowledged", [True, False])
def test_a_rejection_after_an_attempt_that_never_executed_frees_the_identity(acknowledged):
    # Guards against a rejection called safe to retry whose identity stays blocked until the deadline.
    locks = LockRequester(Replica(0, 1), LockPlacement(dict.fromkeys(range(3), "")))
    primary = Primary(Replica(0, 1), locks=locks)
    primary.update_members(0.0, {n: Replica(n, 1) for n in (1, 2)})
    primary.accept(0.0, Accepted(1, True, 60_000, b"identity", b""))
    primary.start_attempt(0.0, 1, 0, "w")
    [(backup, append)] = [(receiver, sent) for receiver, sent in flush(primary) if isinstance(sent, Append)]
    primary.receive(1.0, backup, 1, AppendAck(append.epoch, 2))
    for voter in (1, 2):
        primary.receive(1.0, voter, 1, LockReplies((), (LockReply(b"identity", 1),)))
    assert started_attempts(primary) == [(1, 0)] and primary.may_have_executed(1)
    primary.discard_attempt(2.0, 1, 0)  # connection failed
    assert not primary.reject(3.0, 1)
    if acknowledged:
        primary.receive(4.0, backup, 1, AppendAck(append.epoch, 4))
    else:  # the backup is lost, the witness has released the epoch, and no other backup is has_started
        primary.update_members(4.0, {3 - backup: Replica(3 - backup, 1)})
        primary.receive(5.0, 3 - backup, 1, EpochDecision(0, 1, append.epoch, False))
    assert len(requested_actions(primary, DeliverRejection)) == 1
    assert primary.may_have_executed(1) is False
    primary.complete(6.0, 1)
    assert len(primary) == 0 and not list(locks.known_locks(6.0))


def test_the_backup_of_a_continued_request_knows_of_its_prior_attempts():
    # Guards against a second effect: after a second takeover the attempts of the first primary were unknown.
    primary, backup = make_primary((1,)), Backup(1, 1)
    accepted = Accepted(7, True, 60_000, b"identity", b"")
    primary.accept(0.0, accepted, prior_attempts={0: "w", 1: "v"})
    for _, message in flush(primary):
        backup.receive(1.0, 0, 1, message)
    assert primary.may_have_executed(7)
    backup.primary_failed(2.0, 0, 1)
    [takeover] = requested_actions(backup, TakeOver)
    assert takeover.replica.attempts == {0: ("w", -math.inf), 1: ("v", -math.inf)}


def test_all_duplicates_of_one_message_are_rejected_at_once():
    # Guards against one round trip per duplicate: hundreds of retries after a loss waited for seconds.
    backup = Backup(1, 1)
    entries = tuple(Accepted(number, True, 9000, b"%08d" % number, b"") for number in range(4))
    backup.receive(0.0, 2, 1, Append(1, 1, 3, 1, 1, 1, (entries[0], entries[1], entries[3])))
    messages(backup)
    backup.receive(1.0, 0, 1, Append(1, 1, 2, 1, 1, 1, entries))
    rejections = [message.request for _, message in messages(backup) if isinstance(message, InProgressElsewhere)]
    assert rejections == [0, 1, 3]


def test_a_lost_entry_is_sent_again_while_others_follow_it():
    primary, backup = make_primary((1,)), Backup(1, 1)
    primary.accept(0.0, Accepted(1, True, 1000, NO_IDENTITY, b""))
    flush(primary)  # lost
    for now in range(5, 100, 5):
        primary.accept(float(now), Accepted(1 + now, True, 1000, NO_IDENTITY, b""))
        for _, message in flush(primary, float(now)):
            backup.receive(float(now), 0, 1, message)
        for _, message in messages(backup):
            primary.receive(float(now), 1, 1, message)
    assert backup.request_count == 20


def test_a_completion_is_sent_with_the_next_entry_or_heartbeat():
    primary, backup = make_primary((1,)), Backup(1, 1)
    primary.accept(0.0, Accepted(1, True, 60_000, NO_IDENTITY, b""))
    backup.receive(0.0, 0, 1, flush(primary)[0][1])
    primary.receive(1.0, 1, 1, messages(backup)[-1][1])
    primary.complete(2.0, 1)
    assert flush(primary, 3.0) == [] and backup.request_count == 1
    backup.receive(260.0, 0, 1, flush(primary, 260.0)[0][1])
    primary.receive(261.0, 1, 1, messages(backup)[-1][1])
    assert backup.request_count == 0 and flush(primary, 2000.0) == []  # nothing more to send


def test_backups_are_in_another_zone_and_few_change_when_a_member_joins():
    primary = make_primary(tuple(range(1, 9)), r1="a", r2="a", r3="a")
    chosen = {slot: primary._selector.ranking(slot, "a", 0)[0] for slot in range(64)}
    assert {member.number for member in chosen.values()} <= {4, 5, 6, 7, 8}
    primary.update_members(0.0, {n: Replica(n, 1, "a" if n < 4 else "") for n in range(1, 10)})
    moved = sum(primary._selector.ranking(slot, "a", 0)[0] != chosen[slot] for slot in range(64))
    assert 0 < moved < 24  # a sixth is the new member's share


def test_the_entries_of_an_unresponsive_backup_are_bounded():
    primary = make_primary((1,))
    is_accepted = [
        primary.accept(0.0, Accepted(n, True, 1000, NO_IDENTITY, b"")) for n in range(MAX_UNACKNOWLEDGED + 5)
    ]
    assert sum(is_accepted) == MAX_UNACKNOWLEDGED and not any(is_accepted[MAX_UNACKNOWLEDGED:])


def stored_after_decline(*mutations):
    """Resend a declined request to a backup that has capacity resent; returns the number of requests it stores."""
    backup = load_code(*mutations).Backup(1, 1, max_requests=1)
    append = Append(1, 1, 2, 1, 1, 1, (Accepted(1, True, 10_000, NO_IDENTITY, b""),))
    backup.receive(0.0, 2, 1, append)
    backup.receive(0.0, 0, 1, append)
    backup.receive(1.0, 2, 1, Append(1, 1, 2, 1, 1, 2, (Completed(1),)))
    backup.receive(2.0, 0, 1, append)  # the primary may still receive the first reply, and continue without a backup
    return backup.request_count


def test_a_request_declined_for_lack_of_capacity_stays_declined():
    assert stored_after_decline() == 0 and stored_after_decline(DECLINED) == 1


def test_a_backup_at_capacity_declines_requests_and_never_stores_them_later():
    backup = Backup(1, 1, max_requests=2)
    four = Append(1, 1, -1, 0, 1, 1, tuple(Accepted(n, True, 1000, NO_IDENTITY, b"") for n in range(4)))
    backup.receive(0.0, 0, 1, four)
    assert (
        messages(backup) == [(0, BackupAtCapacity(1, 2)), (0, BackupAtCapacity(1, 3)), (0, AppendAck(1, 2))]
        and backup.request_count == 2
    )
    messages(backup)
    backup.receive(0.0, 0, 1, Append(2, 1, -1, 0, 2, 1, ()))  # the first epoch is finished
    assert backup.request_count == 0
    backup = Backup(1, 1, max_requests=1)
    backup.receive(0.0, 0, 1, replace(four, entries=four.entries[1:3]))
    backup._release(backup._epochs(0, 1)[1], backup._epochs(0, 1)[1].requests[1])  # capacity for another request
    messages(backup)
    backup.receive(1.0, 0, 1, Append(1, 1, -1, 0, 1, 2, (Accepted(2, True, 1000, NO_IDENTITY, b""),)))
    assert messages(backup) == [(0, BackupAtCapacity(1, 2)), (0, AppendAck(1, 1))] and backup.request_count == 0
    backup.receive(2.0, 0, 1, Append(1, 1, -1, 0, 1, 2, (Completed(2), Accepted(3, True, 1000, NO_IDENTITY, b""))))
    assert (
        messages(backup)[-1] == (0, AppendAck(1, 3))
        and backup.request_count == 1
        and not backup._epochs(0, 1)[1].declined
    )


def test_a_primary_whose_backup_is_at_capacity_continues_and_sends_the_other_entries():
    primary = make_primary((1,))
    for request in (1, 2):
        primary.accept(0.0, Accepted(request, True, 1000, NO_IDENTITY, b""))
        assert not primary.start_attempt(0.0, request, 0, "w")
    [(_, append)] = flush(primary)
    primary.receive(1.0, 1, 1, BackupAtCapacity(append.epoch, 1))
    assert (
        requested_actions(primary, ReplicationUnavailable) == [ReplicationUnavailable(1)]
        and started_attempts(primary) == [(1, 0)]
        and primary.counts["unprotected_full"] == 1
    )
    primary.receive(1.0, 1, 1, BackupAtCapacity(append.epoch, 1))  # duplicated
    assert started_attempts(primary) == [(1, 0)]
    [(_, resent)] = flush(primary, 1.0)
    assert [entry.request for entry in resent.entries] == [1, 1, 2, 2] and resent.entries[0] == Completed(1)
    primary.receive(2.0, 1, 1, AppendAck(append.epoch, 4))
    assert started_attempts(primary) == [(1, 0), (2, 0)] and primary.start_attempt(3.0, 1, 1, "w")


def test_a_primary_that_loses_its_last_backup_notifies_its_host():
    # Guards against an unprotected execution in a class that requires a backup: the host was notified only of backups
    # at capacity.
    primary = make_primary((1,))
    for request in (1, 2):
        primary.accept(0.0, Accepted(request, False, 1000, NO_IDENTITY, b""))
    primary.update_members(1.0, {})
    assert requested_actions(primary, ReplicationUnavailable) == [ReplicationUnavailable(1), ReplicationUnavailable(2)]
    assert primary.counts["unprotected_since"] == 2


def test_every_order_of_two_requests_with_backup_capacity_for_one():
    world = World(load_code(), 3, {"twice": 1, "kill": 1, "doubt": 1}, max_requests=1)
    for request in (1, 2):
        world.accept(0, request, f"r{request}")
    states, fault = explore(world, 5, 6000)
    assert fault is None and states > 2000


def test_an_expired_lease_triggers_the_claim_and_heartbeats_renew_it():
    primary, backup, witness = make_primary(r2="a"), Backup(1, 1), Witness(1)
    primary.accept(0.0, Accepted(1, True, 60_000, NO_IDENTITY, b"r"))
    for now in range(0, 5000, 10):
        for receiver, message in flush(primary, float(now)):
            if receiver == 1:
                backup.receive(float(now), 0, 1, message)
        backup.handle_timers(float(now))
        for _, message in messages(backup):
            primary.receive(float(now), 1, 1, message)
    assert backup.request_count == 1
    assert backup.counts["leases_out"] == 0
    backup.handle_timers(6100.0)
    [(receiver, claim)] = messages(backup)
    witness.receive(1, 1, claim)
    backup.receive(6100.0, receiver, 1, messages(witness)[0][1])
    assert [action.replica.record for action in requested_actions(backup, TakeOver)] == [
        b"r"
    ] and backup.request_count == 0


def test_a_claim_without_a_reply_ends_with_the_last_request_and_may_be_made_again():
    # Guards against claims repeated every 50 ms for the life of the process after a restart of the witness.
    primary = make_primary()
    primary.accept(0.0, Accepted(1, True, 1000, NO_IDENTITY, b"r"))
    [(number, append)] = flush(primary)
    backup = Backup(number, 1)
    backup.receive(0.0, 0, 1, append)
    backup.primary_failed(10.0, 0, 1)
    for now in range(10, 5000, 10):
        backup.handle_timers(float(now))
    claims = [message for _, message in messages(backup) if isinstance(message, ClaimEpoch)]
    assert 15 <= len(claims) <= 20 and backup.next_timer_ms == math.inf
    later = replace(append, first_sequence=2, entries=(Accepted(2, True, 1000, NO_IDENTITY, b"r"),))
    backup.receive(5000.0, 0, 1, later)
    backup.primary_failed(5010.0, 0, 1)
    witness = Witness(append.witness_incarnation)
    witness.receive(number, 1, [message for _, message in messages(backup) if isinstance(message, ClaimEpoch)][-1])
    backup.receive(5020.0, append.witness, append.witness_incarnation, messages(witness)[0][1])
    assert [action.replica.request for action in requested_actions(backup, TakeOver)] == [2]


def test_messages_are_encoded_and_decoded():
    for message in MESSAGES:
        data = encode(message)
        assert decode(data) == message
        for cut in range(len(data)):
            assert decode(data[:cut]) is None
    with pytest.raises(ValueError, match="record: 1101 bytes exceed 1100"):
        encode(Append(1, 1, -1, 0, 1, 1, (Accepted(1, True, 0, NO_IDENTITY, bytes(MAX_RECORD_BYTES + 1)),)))


def test_random_bytes_are_decoded_without_exceptions():
    rng = random.Random(5)
    for _ in range(4000):
        data = bytearray(encode(rng.choice(MESSAGES)))
        for _ in range(rng.randrange(1, 4)):
            data[rng.randrange(len(data))] = rng.randrange(256)
        decode(bytes(data))
