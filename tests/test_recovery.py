"""When all rows are exchanged after a cut has healed, and with whom."""

from anisefront.cluster.recovery import ROWS_PER_PERIOD, PartitionRecovery


def turns(recovery, members, periods=200):
    return [period for period in range(periods) if recovery.should_exchange(members)]


def test_a_single_return_begins_no_exchange():
    recovery = PartitionRecovery()
    recovery.member_returned(3, still_dead=0, members=64)
    assert turns(recovery, 64) == []


def test_the_return_of_one_of_many_begins_as_many_exchanges_as_the_logarithm_of_the_cluster():
    recovery = PartitionRecovery()
    recovery.member_returned(3, still_dead=7, members=64)
    assert turns(recovery, 64) == list(range(7))


def test_each_further_return_begins_them_anew():
    recovery = PartitionRecovery()
    recovery.member_returned(3, still_dead=7, members=64)
    turns(recovery, 64, 5)
    recovery.member_returned(4, still_dead=6, members=64)
    assert len(turns(recovery, 64)) == 7


def test_a_large_cluster_exchanges_no_more_rows_a_period():
    recovery = PartitionRecovery()
    members = 4 * ROWS_PER_PERIOD
    recovery.member_returned(3, still_dead=members // 4, members=members)
    periods = turns(recovery, members)
    assert len(periods) == 11 and {later - sooner for sooner, later in zip(periods, periods[1:], strict=False)} == {4}


def test_a_returned_member_is_asked_first_and_once():
    recovery = PartitionRecovery()
    for number in (3, 4):
        recovery.member_returned(number, still_dead=7, members=64)
    assert recovery.take_returned(lambda number: number != 4) == [3]
    assert recovery.take_returned(lambda number: True) == []
