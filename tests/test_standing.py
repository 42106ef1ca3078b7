"""What `make standing` says of a score, from entries as the bench leaves them."""

import json

from benchmarks.standing import compared, entries


def day(name, score, seed=1, lost=0, **more):
    return {"name": name, "score": score, "seed": seed, "served": 0.8, "served_least": 0.4, "fault": None, "gate": None,
            "rules": {"lost": lost, "drain": 0}} | more


def test_each_day_stands_beside_the_last_of_its_seed_and_a_broken_rule_is_named():
    before = [{"days": [day("calm+mass", 0.5), day("herd+mass", 0.7, seed=2)]}, {"days": [day("calm+mass", 0.6)]}]
    now = {"days": [day("calm+mass", 0.8), day("herd+mass", 0.0, seed=3, lost=4)], "figures": {"gate": 0.0}}
    calm, herd, gate = compared(now, before)
    assert "0.80  last 0.60" in calm and "served 0.800 (gate 0.400)" in calm
    assert "last   - " in herd and "BROKEN: lost" in herd
    assert gate == "GATE failed" and compared(now | {"figures": {"gate": 1.0}}, before)[-1] == "GATE passed"


def test_entries_of_other_commands_and_of_scores_without_a_gate_are_passed_over(tmp_path):
    for number, entry in enumerate([{"cmd": "score", "figures": {"gate": 1.0}}, {"cmd": "real-score", "figures": {}},
                                    {"cmd": "real-score", "figures": {"gate": 1.0}, "days": []}]):
        (tmp_path / f"2026{number}.json").write_text(json.dumps(entry))
    assert entries(tmp_path) == [{"cmd": "real-score", "figures": {"gate": 1.0}, "days": []}]
