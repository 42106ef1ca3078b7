"""Random kills, stops, cuts and losses under load, by a seed: short here, an hour by `make kills`."""

import pytest
from kill_loop import Loop


@pytest.mark.parametrize("seed", [1, 2])
def test_no_trouble_runs_an_unsafe_request_twice_or_after_its_end(tmp_path, seed):
    loop = Loop(tmp_path, 8.0, seed)
    assert loop.faults == [] and sum(loop.ends.values()) > 100
    assert all(loop.ends[path, "served"] for path in ("/pay", "/order", "/look")), loop.ends
