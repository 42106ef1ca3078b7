"""Exchange of all rows after a partition has healed: its periods and the members that are queried first."""

from anisefront.cluster.recovery import ROWS_PER_PERIOD, PartitionRecovery


def exchange_periods(recovery, members, periods=200):
    return [period for period in range(periods) if recovery.should_exchange(members)]


def test_a_single_return_starts_no_exchange():
    recovery = PartitionRecovery()
    recovery.member_returned(3, still_dead=0, members=64)
    assert exchange_periods(recovery, 64) == []


def test_the_return_of_one_of_many_dead_members_starts_a_logarithmic_number_of_exchanges():
    recovery = PartitionRecovery()
    recovery.member_returned(3, still_dead=7, members=64)
    assert exchange_periods(recovery, 64) == list(range(7))


def test_each_further_return_restarts_the_exchanges():
    recovery = PartitionRecovery()
    recovery.member_returned(3, still_dead=7, members=64)
    exchange_periods(recovery, 64, 5)
    recovery.member_returned(4, still_dead=6, members=64)
    assert len(exchange_periods(recovery, 64)) == 7


def test_the_rows_exchanged_per_period_are_bounded_in_a_large_cluster():
    recovery = PartitionRecovery()
    members = 4 * ROWS_PER_PERIOD
    recovery.member_returned(3, still_dead=members // 4, members=members)
    periods = exchange_periods(recovery, members)
    assert len(periods) == 11 and {later - earlier for earlier, later in zip(periods, periods[1:], strict=False)} == {4}


def test_a_returned_member_is_queried_first_and_once():
    recovery = PartitionRecovery()
    for number in (3, 4):
        recovery.member_returned(number, still_dead=7, members=64)
    assert recovery.take_returned(lambda number: number != 4) == [3]
    assert recovery.take_returned(lambda number: True) == []
