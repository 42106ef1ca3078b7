"""Membership, with gateway processes that are killed, stopped and continued, partitioned, or terminated."""

import signal

import pytest
from processes import GatewayProcesses
from test_config import error_messages, check_text
from test_path import ROOT

COUNT = 4


@pytest.fixture
def gateways(tmp_path):
    gateways_under_test = GatewayProcesses(tmp_path, COUNT, "members period 100ms")
    yield gateways_under_test
    gateways_under_test.close()


def are_all_alive(view):
    """Return whether a view of the members has all instances alive."""
    return view.get("alive") == COUNT


def test_a_kill_a_restart_a_pause_and_a_leave_are_known_to_all(gateways):
    gateways.wait_for_members(are_all_alive)
    gateways.kill(1)
    gateways.wait_for_members(lambda view: view["not_alive"] == {"1": "out"})
    gateways.start(1)
    gateways.wait_for_members(are_all_alive)
    gateways.signal(2, signal.SIGSTOP)
    gateways.wait_for_members(lambda view: view["not_alive"] == {"2": "out"}, {0, 1, 3})
    gateways.signal(2, signal.SIGCONT)
    gateways.wait_for_members(are_all_alive)
    assert gateways.members({2})[2]["counts"]["refuted"] >= 1  # the same process, which refuted the suspicion itself
    gateways.signal(3, signal.SIGTERM)
    gateways.wait_for_members(lambda view: view["not_alive"] == {"3": "left"}, {0, 1, 2})
    assert gateways.running[3].process.wait(10) == 0


def test_a_partition_between_zones_and_lost_and_duplicated_datagrams_end_in_one_view(gateways):
    gateways.wait_for_members(are_all_alive)
    gateways.relay.is_blocked = lambda sender, receiver: sender % 2 != receiver % 2
    gateways.wait_for_members(lambda view: view["not_alive"] == {"1": "out", "3": "out"}, {0, 2})
    gateways.wait_for_members(lambda view: view["not_alive"] == {"0": "out", "2": "out"}, {1, 3})
    gateways.relay.is_blocked = lambda sender, receiver: (sender, receiver) == (0, 1)  # healed except for one direction
    gateways.relay.loss_rate, gateways.relay.duplication_rate = 0.3, 0.3
    gateways.wait_for_members(are_all_alive)
    gateways.relay.is_blocked, gateways.relay.loss_rate = (lambda sender, receiver: False), 0.0
    gateways.wait_for_members(are_all_alive)


def test_without_a_members_line_no_instance_is_probed(tmp_path):
    gateways = GatewayProcesses(tmp_path, 2)
    try:
        assert gateways.members() == {0: {}, 1: {}}
    finally:
        gateways.close()


@pytest.mark.parametrize(
    "settings_line, message",
    [
        ("members", "members without 'listen peers' and 'secret' lines"),
        ("members period 1ms", "a period of probes that is not within 20ms and 60s"),
    ],
)
def test_invalid_member_settings_are_reported(settings_line, message):
    text = (ROOT / "examples/loopback.conf").read_text() + settings_line + "\n"
    if "period" in settings_line:
        text += 'listen peers 127.0.0.1:0\nsecret "sixteen bytes at least"\n'
    checked = check_text(text)
    assert error_messages(checked) == [message] and not checked.config
