"""Who is there, by processes of the program: killed, stopped and woken, cut off from each other, ended on purpose."""

import signal

import pytest
from processes import Fleet
from test_config import error_messages, check_text
from test_path import ROOT

COUNT = 4


@pytest.fixture
def fleet(tmp_path):
    made = Fleet(tmp_path, COUNT, "members period 100ms")
    yield made
    made.close()


def all_alive(seen):
    return seen.get("alive") == COUNT


def test_a_death_a_new_life_a_pause_and_a_leave_are_known_to_all(fleet):
    fleet.until(all_alive)
    fleet.kill(1)
    fleet.until(lambda seen: seen["not_alive"] == {"1": "out"})
    fleet.start(1)
    fleet.until(all_alive)
    fleet.signal(2, signal.SIGSTOP)
    fleet.until(lambda seen: seen["not_alive"] == {"2": "out"}, {0, 1, 3})
    fleet.signal(2, signal.SIGCONT)
    fleet.until(all_alive)
    assert fleet.members({2})[2]["counts"]["refuted"] >= 1  # the same life, and it said so itself
    fleet.signal(3, signal.SIGTERM)
    fleet.until(lambda seen: seen["not_alive"] == {"3": "left"}, {0, 1, 2})
    assert fleet.up[3].process.wait(10) == 0


def test_a_cut_between_rooms_and_lost_and_doubled_datagrams_end_in_one_view(fleet):
    fleet.until(all_alive)
    fleet.relay.cut = lambda sender, receiver: sender % 2 != receiver % 2
    fleet.until(lambda seen: seen["not_alive"] == {"1": "out", "3": "out"}, {0, 2})
    fleet.until(lambda seen: seen["not_alive"] == {"0": "out", "2": "out"}, {1, 3})
    fleet.relay.cut = lambda sender, receiver: (sender, receiver) == (0, 1)  # healed but for one way
    fleet.relay.loss, fleet.relay.twice = 0.3, 0.3
    fleet.until(all_alive)
    fleet.relay.cut, fleet.relay.loss = (lambda sender, receiver: False), 0.0
    fleet.until(all_alive)


def test_without_its_line_nobody_is_probed(tmp_path):
    fleet = Fleet(tmp_path, 2)
    try:
        assert fleet.members() == {0: {}, 1: {}}
    finally:
        fleet.close()


@pytest.mark.parametrize(
    "line, said",
    [
        ("members", "members without 'listen peers' and 'secret' lines"),
        ("members period 1ms", "a period of probes that is not within 20ms and 60s"),
    ],
)
def test_settings_that_cannot_be_are_named(line, said):
    text = (ROOT / "examples/loopback.conf").read_text() + line + "\n"
    if "period" in line:
        text += 'listen peers 127.0.0.1:0\nsecret "sixteen bytes at least"\n'
    checked = check_text(text)
    assert error_messages(checked) == [said] and not checked.config
