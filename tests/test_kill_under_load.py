"""One instance of six is killed with hundreds of requests in flight: each ends once, and the backups serve on."""

from kill_under_load import kill_gateway_under_load
from cluster import REPLICATION_SETTINGS


def test_hundreds_in_flight_at_one_kill_end_once_and_the_backups_serve_on(tmp_path):
    results = kill_gateway_under_load(tmp_path, 300, REPLICATION_SETTINGS)
    outcomes = results["outcomes"]
    assert sum(outcomes.values()) == 300 and not [group for group in outcomes if group[2] == "none"], outcomes
    queued = {
        outcome: sum(count for (_, state, final), count in outcomes.items() if state == "queued" and final == outcome)
        for outcome in ("served", "failed")
    }
    assert results["executed_twice"] == 0 and results["replicated"] >= 250 and results["taken_over"] >= 250
    assert sum(queued.values()) >= 200 and queued["served"] >= 0.99 * sum(queued.values()), outcomes
    assert results["steady_outcomes"]["served"] >= 0.95 * sum(results["steady_outcomes"].values()) > 0, results[
        "steady_outcomes"
    ]


def test_at_the_cap_on_records_no_more_are_replicated_and_service_continues(tmp_path):
    results = kill_gateway_under_load(
        tmp_path, 120, REPLICATION_SETTINGS.replace("keepers lease 600ms", "keepers lease 600ms records 5"), 3
    )
    assert results["replicated"] <= 10 and results["at_capacity"] >= 60
    # The rest is not replicated, so an attempt in flight may be executed again, as without backups; none is blocked by
    # a missing acknowledgement.
    assert not [group for group in results["outcomes"] if group[:2] == ("/look", "queued") and group[2] != "served"], (
        results["outcomes"]
    )
    final_count = sum(count for group, count in results["outcomes"].items() if group[2] != "none")
    assert final_count >= 90, results["outcomes"]
