"""One gatekeeper of six is killed with hundreds of requests in hand: each ends once, and the takers go on serving."""

from kill_under_load import played
from cluster import MORE


def test_hundreds_in_hand_at_one_kill_end_once_and_the_takers_serve_on(tmp_path):
    seen = played(tmp_path, 300, MORE)
    ends = seen["ends"]
    assert sum(ends.values()) == 300 and not [each for each in ends if each[2] == "none"], ends
    held = {
        end: sum(n for (_, stood, said), n in ends.items() if stood == "held" and said == end)
        for end in ("served", "failed")
    }
    assert seen["twice"] == 0 and seen["kept"] >= 250 and seen["taken_over"] >= 250
    assert sum(held.values()) >= 200 and held["served"] >= 0.99 * sum(held.values()), ends
    assert seen["usual"]["served"] >= 0.95 * sum(seen["usual"].values()) > 0, seen["usual"]


def test_at_the_cap_on_records_no_more_are_kept_and_service_goes_on(tmp_path):
    seen = played(tmp_path, 120, MORE.replace("keepers lease 600ms", "keepers lease 600ms records 5"), 3)
    assert seen["kept"] <= 10 and seen["full"] >= 60
    # Nobody knows of the rest, so what is out may run again, as without keepers; none is stuck for want of a word.
    assert not [each for each in seen["ends"] if each[:2] == ("/look", "held") and each[2] != "served"], seen["ends"]
    done = sum(n for each, n in seen["ends"].items() if each[2] != "none")
    assert done >= 90, seen["ends"]
