"""Random kills, stops, partitions and losses under load, from a seed: short here, an hour in `make kills`."""

import pytest
from kill_loop import KillRun


@pytest.mark.parametrize("seed", [1, 2])
def test_no_fault_executes_an_unsafe_request_twice_or_after_its_end(tmp_path, seed):
    run = KillRun(tmp_path, 8.0, seed)
    assert run.violations == [] and sum(run.outcome_counts.values()) > 100
    assert all(run.outcome_counts[path, "served"] for path in ("/pay", "/order", "/look")), run.outcome_counts
