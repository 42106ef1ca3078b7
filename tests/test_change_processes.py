"""Settings that change continuously under load, with gateway processes: small here, larger in `make changes`."""

from change_loop import ChangeRun


def test_every_answer_matches_one_version_and_all_instances_converge(tmp_path):
    run = ChangeRun(tmp_path, 3, 8, 0.8)
    assert run.violations == [] and len({state["digest"] for state in run.final_states}) == 1
    assert (
        run.version_by_digest[run.final_states[0]["digest"]] == 9
        and [state["fault"] for state in run.final_states] == [""] * 3
    )
    assert run.counts["served"] > 50 and run.counts["404"] > 20, run.counts
    assert "there is no class 'nobody'" in run.reported_fault
