"""Settings that change all the time under load, by processes: small here, larger by `make changes`."""

from change_loop import Loop


def test_every_answer_matches_one_version_and_all_instances_converge(tmp_path):
    loop = Loop(tmp_path, 3, 8, 0.8)
    assert loop.faults == [] and len({state["digest"] for state in loop.states}) == 1
    assert loop.digests[loop.states[0]["digest"]] == 9 and [state["fault"] for state in loop.states] == [""] * 3
    assert loop.counts["served"] > 50 and loop.counts["404"] > 20, loop.counts
    assert "there is no class 'nobody'" in loop.bad_told
