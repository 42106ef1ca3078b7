"""Report of `make standing`, from journal entries as the bench writes them."""

import json

from benchmarks import standing
from benchmarks.standing import entries, line, of_site


def day(name, score, seed=1, lost=0, **more):
    return {
        "name": name,
        "score": score,
        "seed": seed,
        "served": 0.8,
        "served_least": 0.4,
        "fault": None,
        "gate": None,
        "rules": {"lost": lost, "drain": 0},
    } | more


def test_each_day_is_compared_with_the_last_of_its_seed_and_broken_rules_are_named():
    before = [{"days": [day("calm+mass", 0.5), day("herd+mass", 0.7, seed=2)]}, {"days": [day("calm+mass", 0.6)]}]
    now = {"days": [day("calm+mass", 0.8), day("herd+mass", 0.0, seed=3, lost=4)], "figures": {"gate": 0.0}}
    calm, herd, gate = line("a.toml", now, before).split("; ")
    assert calm == "a.toml: calm+mass 0.80 (last 0.60) served 0.80 of 0.40"
    assert herd == "herd+mass 0.00 served 0.80 of 0.40 BROKEN: lost" and gate == "GATE failed"
    assert line("a.toml", now | {"figures": {"gate": 1.0}}, before).endswith("GATE passed")
    crashed = now | {"days": [day("calm+mass", 0.0, fault="n3 crashed")]}
    assert "n3 crashed" in line("a.toml", crashed, before)


def test_entries_of_other_commands_and_scores_without_a_gate_are_ignored(tmp_path):
    for number, entry in enumerate(
        [
            {"cmd": "score", "figures": {"gate": 1.0}},
            {"cmd": "real-score", "figures": {}},
            {"cmd": "real-score", "figures": {"gate": 1.0}, "days": []},
        ]
    ):
        (tmp_path / f"2026{number}.json").write_text(json.dumps(entry))
    assert entries(tmp_path) == [{"cmd": "real-score", "figures": {"gate": 1.0}, "days": []}]


def test_the_last_score_is_of_the_same_deployment_and_set():
    found = [
        {"argv": argv}
        for argv in (["x/a.toml", "--quick"], ["x/b.toml", "--quick"], ["x/a.toml"], ["y/a.toml", "--panel", "brink"])
    ]
    assert of_site(found, "a.toml") == [{"argv": ["x/a.toml", "--quick"]}]


def test_without_the_bench_one_line_reports_it(monkeypatch, tmp_path, capsys):
    monkeypatch.setattr(standing, "BENCH", tmp_path / "missing")
    assert standing.main() == 2
    assert len(capsys.readouterr().out.splitlines()) == 1


def test_all_deployments_exist():
    assert [each.name for each in standing.SITES if each.parent == standing.ROOT / "deploy/sites"] == [
        "kiln-freight.toml",
        "solo-ledger.toml",
    ]
    assert all(each.exists() for each in standing.SITES if each.parent == standing.ROOT / "deploy/sites")
