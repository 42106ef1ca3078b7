"""Membership in seeded simulated networks: convergence of all views, and mutations that remove each safeguard."""

import itertools
import random

import pytest
from membership_net import PERIOD_MS, Net

from anisefront.cluster import membership
from anisefront.cluster.member_state import (
    ROW_FORMAT,
    MemberChange,
    MemberRow,
    MemberStatus,
    decode_rows,
    encode_rows,
    supersedes,
)
from anisefront.cluster.membership import Membership
from anisefront.cluster.membership_messages import MAGIC_BYTE


def converged_net(count, **options):
    net = Net(count, **options)
    for number in range(count):
        net.start(number)
    net.run_until_converged(20 * PERIOD_MS)
    return net


def test_rows_merge_to_the_same_state_in_every_order():
    rows = [
        MemberRow(1, process_incarnation, swim_incarnation, status)
        for process_incarnation in (1, 2)
        for swim_incarnation in (0, 1)
        for status in MemberStatus
    ]
    for received in itertools.combinations(rows, 3):
        results = set()
        for order in itertools.permutations(received):
            known = None
            for row in (*order, order[0]):
                known = row if supersedes(row, known) else known
            results.add(known)
        assert len(results) == 1


def test_rows_are_encoded_and_decoded():
    rows = [MemberRow(7, 1 << 40, 3, MemberStatus.SUSPECT), MemberRow(0, 1, 0, MemberStatus.LEFT)]
    data = encode_rows(rows)
    assert decode_rows(data) == rows and decode_rows(b"") == []
    assert (
        decode_rows(data[:-1]) is None and decode_rows(data[:-1] + b"\x09") is None and decode_rows(data * 40) is None
    )
    assert len(data) == 2 * ROW_FORMAT.size


@pytest.mark.parametrize("count", [2, 6, 24])
def test_views_converge_after_a_start_a_crash_a_leave_and_a_restart(count):
    net = converged_net(count, seed=count)
    net.kill(1)
    detected_ms = net.run_until_converged(80 * PERIOD_MS)
    assert detected_ms > 3 * PERIOD_MS  # a suspicion stays refutable for some periods
    net.start(1)
    assert net.run_until_converged(20 * PERIOD_MS) <= 12 * PERIOD_MS
    net.leave(0)
    assert (
        net.run_until_converged(20 * PERIOD_MS) <= (1 if count == 2 else 6) * PERIOD_MS
    )  # announced by the member itself


def test_loss_duplication_and_delay_declare_no_member_dead():
    net = converged_net(12, seed=3, loss=0.1, duplication=0.2, delay=(1.0, 150.0))
    net.run(120 * PERIOD_MS)
    assert not net.view_errors() and not sum(node.counts["out"] for node in net.nodes.values())


def run_with_long_pauses(count=10, seed=4):
    """Pause a member for many periods, repeatedly: it must neither declare the others dead nor stay excluded."""
    net = converged_net(count, seed=seed)
    for _ in range(6):
        net.pause(2, 12 * PERIOD_MS)
        net.run(13 * PERIOD_MS)
        net.run(4 * PERIOD_MS)
    net.run_until_converged(60 * PERIOD_MS)
    return net


def test_a_paused_member_rejoins_and_declares_no_other_dead():
    net = run_with_long_pauses()
    assert net.nodes[2].counts["refuted"] >= 1
    assert net.nodes[2].counts["out"] == 0


def run_with_partition(seed=5):
    net = converged_net(8, seed=seed)
    half = {0, 1, 2}
    net.is_partitioned = lambda sender, receiver: (sender in half) != (receiver in half)
    net.run(60 * PERIOD_MS)
    assert net.nodes[0].status(5) is MemberStatus.DEAD and net.nodes[5].status(0) is MemberStatus.DEAD
    net.is_partitioned = lambda sender, receiver: False
    net.run_until_converged(80 * PERIOD_MS)


def test_two_sides_of_a_long_partition_merge_again():
    run_with_partition()


def run_with_partitioned_zone():
    """Partition a zone: once healed, all rows have changed and have to spread with few messages."""
    net = converged_net(64, seed=8)
    net.is_partitioned = lambda sender, receiver: (sender % 8 == 3) != (receiver % 8 == 3)
    net.run(60 * PERIOD_MS)
    assert net.nodes[0].status(3) is MemberStatus.DEAD and len(net.nodes[3].alive()) < 64
    net.is_partitioned = lambda sender, receiver: False
    net.run_until_converged(25 * PERIOD_MS, step_ms=PERIOD_MS)


def test_a_zone_rejoins_quickly_after_a_long_partition():
    run_with_partitioned_zone()


def test_a_one_way_partition_of_a_link_declares_no_member_dead():
    net = converged_net(8, seed=6)
    net.is_partitioned = lambda sender, receiver: (sender, receiver) == (1, 2)
    net.run(100 * PERIOD_MS)
    assert not sum(node.counts["out"] for node in net.nodes.values())


def schedule(seed, count=5):
    """Inject faults of all kinds at random times; without further faults, all views must converge."""
    rng = random.Random(seed)
    net = Net(
        count,
        seed=seed,
        loss=rng.choice((0.0, 0.1, 0.3)),
        duplication=rng.choice((0.0, 0.3)),
        delay=rng.choice(((1.0, 10.0), (1.0, 400.0))),
    )
    for number in range(count):
        net.start(number)
    for _ in range(12):
        net.run(rng.uniform(0, 6) * PERIOD_MS)
        number, fault = rng.randrange(count), rng.choice(("kill", "start", "leave", "pause", "cut", "heal"))
        if fault == "start" or number not in net.nodes:
            net.start(number)  # also restarts a running member
        elif fault == "cut":
            side = {each for each in range(count) if rng.random() < 0.5}
            one_way = rng.random() < 0.5
            net.is_partitioned = (
                lambda a, b, side=side, one_way=one_way: a in side
                and b not in side
                or not one_way
                and b in side
                and a not in side
            )
        elif fault == "heal":
            net.is_partitioned = lambda a, b: False
        else:
            getattr(net, fault)(number, *([rng.uniform(0, 10) * PERIOD_MS] if fault == "pause" else []))
    net.is_partitioned, net.loss, net.delay = (lambda a, b: False), 0.0, (1.0, 10.0)
    net.run(10 * PERIOD_MS)
    net.run_until_converged(150 * PERIOD_MS, step_ms=PERIOD_MS)


@pytest.mark.parametrize("first", range(0, 40, 20))
def test_views_converge_after_random_faults(first):
    for seed in range(first, first + 20):
        schedule(seed)


def test_a_lost_refutation_is_sent_again():
    """Seed 583 of the search: two members that had refuted long ago considered each other dead permanently."""
    schedule(583, 4)


def test_message_rate_of_a_member_does_not_grow_with_the_cluster():
    rates = []
    for count in (6, 24, 48):
        net = converged_net(count, seed=count)
        before = sum(node.counts["sent"] for node in net.nodes.values())
        net.run(40 * PERIOD_MS)
        rates.append((sum(node.counts["sent"] for node in net.nodes.values()) - before) / count / 40)
    assert max(rates) < 1.3 * min(rates) and max(rates) < 3.0, rates


def test_rows_of_an_earlier_process_incarnation_are_ignored():
    node = Membership(0, 1, range(3), 1, PERIOD_MS)
    node.handle(0.0, [(1, 5, bytes((MAGIC_BYTE, 6, 0, 0, 0, 0, 0, 0)))])
    assert node.rows[1] == MemberRow(1, 5, 0, MemberStatus.ALIVE) and node.changes == [MemberChange(node.rows[1], None)]
    stale = encode_rows([MemberRow(1, 4, 9, MemberStatus.LEFT), MemberRow(1, 4, 9, MemberStatus.DEAD)])
    node.handle(1.0, [(2, 1, bytes((MAGIC_BYTE, 6, 0, 0, 0, 0, 0, 0)) + stale)])
    assert node.rows[1] == MemberRow(1, 5, 0, MemberStatus.ALIVE)


def test_malformed_messages_and_rows_of_unknown_members_are_ignored():
    node, rng = Membership(0, 1, range(3), 1, PERIOD_MS), random.Random(2)
    node.handle(0.0)
    before = dict(node.rows)
    for _ in range(2000):
        node.handle(1.0, [(1, 0, bytes((MAGIC_BYTE, rng.choice((0, 7, 99)))) + rng.randbytes(rng.randrange(40)))])
        node.handle(
            1.0,
            [(9, 7, bytes((MAGIC_BYTE, 6, 0, 0, 0, 0, 0, 9)) + encode_rows([MemberRow(9, 7, 0, MemberStatus.ALIVE)]))],
        )
    assert set(node.rows) <= set(before) | {1}  # only configured peers become members


def _without_incarnation(row, known):
    return known is None or row.precedence[1:] > known.precedence[1:]


SAFEGUARDS = {
    "process incarnations in the order of rows": (
        lambda patch: patch.setattr(membership, "supersedes", _without_incarnation),
        lambda: [schedule(seed) for seed in range(40)],
    ),
    "refutation": (
        lambda patch: patch.setattr(Membership, "_merge_local", lambda self, row: None),
        run_with_long_pauses,
    ),
    "dead members are probed": (
        lambda patch: patch.setattr(membership, "DEAD_PROBE_PERIODS", 10**9),
        run_with_partition,
    ),
    "indirect probes": (
        lambda patch: patch.setattr(membership, "INDIRECT_PINGS", 0),
        test_a_one_way_partition_of_a_link_declares_no_member_dead,
    ),
    "suspicion timeout": (
        lambda patch: patch.setattr(Membership, "_suspicion_timeout_ms", lambda self, confirmations: 0.0),
        test_loss_duplication_and_delay_declare_no_member_dead,
    ),
}


@pytest.mark.parametrize("name", SAFEGUARDS)
def test_each_guard_taken_out_is_found_out(monkeypatch, name):
    remove, run = SAFEGUARDS[name]
    remove(monkeypatch)
    with pytest.raises(AssertionError):
        run()
