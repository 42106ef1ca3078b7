"""Gateway processes partitioned into halves execute each identity on one side at most."""

from collections import Counter

import pytest
from cluster import REPLICATION_SETTINGS, Cluster, wait_until

KEYS = [f"k{number}" for number in range(24)]
SHORT_DEADLINES = REPLICATION_SETTINGS.replace("aim 4s deadline 8s", "aim 1s deadline 3s")


@pytest.mark.parametrize("count", [2, 4])
@pytest.mark.parametrize("is_noticed", [True, False])
def test_one_identity_on_both_sides_of_a_partition_is_executed_once(tmp_path, count, is_noticed):
    # Guards against a second execution: the only voter of an identity on one side of the partition decided alone.
    cluster = Cluster(tmp_path, count, SHORT_DEADLINES, ready=True)
    try:
        wait_until(lambda: all(each.state()["servers"].get("ready") == 3 for each in cluster.gateways.running.values()))
        cluster.gateways.relay.is_blocked = lambda sender, receiver: sender % 2 != receiver % 2
        if is_noticed:
            cluster.gateways.wait_for_members(lambda seen: seen.get("out") == count // 2)
        outcomes = Counter()
        for _ in range(3):  # a rejected request may be retried
            unexecuted = [key for key in KEYS if not cluster.workers.executions["/pay", key]]
            calls = [cluster.call(side, "/pay", key) for key in unexecuted for side in (0, 1)]
            outcomes.update(call.final() for call in calls)
        executions = [cluster.workers.executions["/pay", key] for key in KEYS]
        assert max(executions) == 1, (executions, outcomes)
        assert not is_noticed or (min(executions) == 1 and set(outcomes) == {"served", "refused"}), (
            executions,
            outcomes,
        )
    finally:
        cluster.close()
