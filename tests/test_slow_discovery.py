"""Discovery that answers late, in parts or never: the watch hears any answer that comes within the platform's 6 s.

In memory with a simulated clock, as in test_watch.py.
"""

import pytest
from test_node_front import SNAPSHOT_RESPONSE
from test_watch import (
    BOUND_S,
    HEAD,
    ScriptedDiscovery,
    closes_connection,
    healthy,
    receive,
    sends_nothing,
    stops_sending,
)

from anisefront.resp_gateway.discovery_watch import MAX_WATCHES

STEP_S = 0.05  # of the stand-in
OBJECT = SNAPSHOT_RESPONSE[len(HEAD) :]
EMPTY_LINE = b"1\r\n\n\r\n"


def answers_after(delay_s):
    """Return the behavior of a watch that is answered late and lives on."""

    def behave(transport, open_s):
        if open_s == delay_s:
            receive(transport, SNAPSHOT_RESPONSE)
        elif open_s > delay_s and round(open_s - delay_s, 2) % 2 == 0:
            receive(transport, EMPTY_LINE)

    return behave


class SlowDiscovery(ScriptedDiscovery):
    """Discovery that checks with each step how many watches are open."""

    def run_until_received(self, seconds):
        """Run until another change was received or the time is up; return the seconds that it took."""
        started_s, received = self.reactor.seconds(), len(self.changes)
        for _ in range(round(seconds / STEP_S)):
            self.run(STEP_S)
            assert len([each for each in self.transports if not each.aborted]) <= MAX_WATCHES
            if len(self.changes) > received:
                break
        assert len(self.changes) > received, f"nothing received in {seconds} s"
        return self.reactor.seconds() - started_s


DELAYS_S = (0.3, 1.5, 3.0, 5.0)


@pytest.mark.parametrize("delay_s", DELAYS_S)
def test_answer_within_the_bound_is_received_and_paid_once(delay_s):
    """Guards against watches that are closed before a slow discovery answers them, so that no list ever arrives."""
    discovery = SlowDiscovery(answers_after(delay_s))
    assert discovery.run_until_received(20) <= delay_s + 0.2
    discovery.run(20)
    assert len(discovery.changes) == 1
    assert len([each for each in discovery.transports if not each.aborted]) == 1


@pytest.mark.parametrize("delay_s", DELAYS_S)
def test_answer_to_a_watch_that_replaces_a_closed_one_is_received(delay_s):
    discovery = SlowDiscovery(healthy, answers_after(delay_s))
    discovery.run(4.1)
    closes_connection(discovery.transports[0], 0.1)
    assert discovery.run_until_received(20) <= delay_s + 0.3


@pytest.mark.parametrize("delay_s", [0.3, 1.5, 2.9])
def test_answer_to_a_watch_that_replaces_a_silent_one_is_received_within_the_bound(delay_s):
    discovery = SlowDiscovery(stops_sending, answers_after(delay_s))
    discovery.run(2 * STEP_S)
    discovery.run_until_received(20)
    assert discovery.reactor.seconds() - discovery.transports[0].since <= BOUND_S


@pytest.mark.parametrize("delay_s", [0.3, 1.5, 3.0, 3.7])
def test_answer_of_another_discovery_service_is_received_before_its_list_counts_as_received(delay_s):
    discovery = SlowDiscovery(healthy, answers_after(delay_s))
    discovery.run(4.1)
    discovery.watch.change_address(("127.0.0.1", 8501))
    assert discovery.run_until_received(20) <= 4.0  # "4 s after SIGHUP"


@pytest.mark.parametrize("delay_s", [0.3, 1.4, 2.7])
@pytest.mark.parametrize("failing", [sends_nothing, closes_connection, "never"])
def test_answer_beside_a_watch_that_is_never_answered_is_received_within_the_bound(failing, delay_s):
    discovery = SlowDiscovery(failing, answers_after(delay_s))
    assert discovery.run_until_received(20) <= BOUND_S


@pytest.mark.parametrize("delay_s", [1.0, 3.0, 5.0])
def test_connection_that_comes_up_late_is_used(delay_s):
    """Guards against attempts to connect that are given up before a crowded discovery accepts them."""
    discovery = SlowDiscovery(answers_after(0.0))
    discovery.connect_delay_s = delay_s
    assert discovery.run_until_received(20) <= BOUND_S


def head_and_empty_lines_first(transport, open_s):
    if open_s == 0:
        receive(transport, HEAD + EMPTY_LINE)
    elif open_s == 5:
        receive(transport, OBJECT)


def head_first(transport, open_s):
    if open_s in (0, 5):
        receive(transport, OBJECT if open_s else HEAD)


def object_in_two_parts(transport, open_s):
    if open_s in (0, 5):
        half = len(SNAPSHOT_RESPONSE) - 10
        receive(transport, SNAPSHOT_RESPONSE[half:] if open_s else SNAPSHOT_RESPONSE[:half])


def empty_lines_then_object(transport, open_s):
    if open_s == 0:
        receive(transport, HEAD)
    elif open_s == 5:
        receive(transport, OBJECT)
    elif open_s % 2 == 0:
        receive(transport, EMPTY_LINE)


@pytest.mark.parametrize(
    "behavior", [head_and_empty_lines_first, head_first, object_in_two_parts, empty_lines_then_object]
)
def test_answer_in_parts_is_received_within_the_bound(behavior):
    discovery = SlowDiscovery(behavior)
    assert discovery.run_until_received(20) <= BOUND_S
    discovery.run(0.1)
    assert discovery.transports[0].aborted is False  # it has all changes, so no other watch was needed


def test_change_between_two_lines_is_received_at_once():
    def behave(transport, open_s):
        if open_s == 3:
            receive(transport, SNAPSHOT_RESPONSE)
        elif open_s in (3.5, 4.2):
            receive(transport, OBJECT)

    discovery = SlowDiscovery(behave)
    assert discovery.run_until_received(20) <= 3.2
    assert discovery.run_until_received(20) <= 0.6
    assert discovery.run_until_received(20) <= 0.8


@pytest.mark.parametrize("delay_s", [8.0, 15.0])
def test_answer_later_than_the_bound_is_received_at_last(delay_s):
    discovery = SlowDiscovery(answers_after(delay_s))
    assert discovery.run_until_received(60) <= 4 * delay_s


@pytest.mark.parametrize("outage_s", [1.0, 4.0, 8.0, 30.0])
def test_changes_are_received_at_once_when_an_outage_ends(outage_s):
    def behave(transport, open_s):
        if discovery.reactor.seconds() >= outage_s:
            answered = getattr(transport, "answered", False)
            receive(transport, EMPTY_LINE if answered else SNAPSHOT_RESPONSE)
            transport.answered = True

    discovery = SlowDiscovery(behave)
    assert discovery.run_until_received(60) <= outage_s + 0.2
    assert discovery.opened <= 4 + outage_s / 3  # calls of one instance, each of which the agent has to hold


def test_watches_of_an_outage_are_answered_within_the_bound_after_it():
    """Connections of the time of the outage stay open and silent; later ones are answered after 2.5 s."""

    def behave(transport, open_s):
        if transport.since >= 10:
            answers_after(2.5)(transport, open_s)

    discovery = SlowDiscovery(behave)
    assert discovery.run_until_received(60) <= 10 + BOUND_S


def test_silent_watch_stays_open_while_no_connection_comes_up():
    """Guards against an outage in which the one watch that may still receive a change is closed for attempts."""
    discovery = SlowDiscovery(stops_sending, "never")
    discovery.run(20)
    silent = discovery.transports[0]
    assert not silent.aborted
    receive(silent, OBJECT)
    assert len(discovery.changes) == 2


def test_silent_watch_is_closed_once_two_others_are_open():
    discovery = SlowDiscovery(stops_sending, sends_nothing)
    discovery.run(5)
    assert [each.aborted for each in discovery.transports] == [True, False, False]
