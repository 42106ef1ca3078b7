"""Turns of the connections whose input waits: order, bounds of an iteration, ends of connections."""

import pytest
from twisted.internet.task import Clock
from twisted.internet.testing import StringTransport

from anisefront.frontends.grpc_server import GrpcFactory

from anisefront.frontends.input_scheduler import (
    FIRST_TURN_BYTES,
    FIRST_TURNS_IN_ROW,
    MAX_ITERATION_S,
    TURN_BYTES,
    InputScheduler,
)


HTTP2_PREFACE = b"PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n"
EMPTY_SETTINGS = b"\0\0\0\4\0\0\0\0\0"
SETTINGS_ACK = b"\0\0\0\4\1\0\0\0\0"


def transport_with_options(transport):
    """Let a transport in memory accept the options of a socket."""
    transport.setTcpNoDelay = transport.setTcpKeepAlive = lambda on: None
    return transport


class Connection:
    """A connection with input for so many turns, each of which takes `turn_s`."""

    def __init__(self, made, name, turns, turn_s):
        self.made, self.name, self.left, self.turn_s, self.reads = made, name, turns, turn_s, True

    def take_turn(self, max_bytes):
        self.left -= 1
        self.made.turns.append((self.name, max_bytes))
        self.made.clock.rightNow += self.turn_s
        return self.left > 0

    def begin_waiting(self):
        assert self.reads
        self.reads = False

    def end_waiting(self):
        assert not self.reads
        self.reads = True


class Made:
    """A scheduler on a simulated clock, whose calls a test runs one iteration at a time."""

    def __init__(self):
        self.clock, self.turns, self.is_behind = Clock(), [], False
        self.scheduler = InputScheduler(self.clock, lambda: self.is_behind)

    def submit(self, name, turns, turn_s=MAX_ITERATION_S / 2):
        connection = Connection(self, name, turns, turn_s)
        self.scheduler.submit(connection)
        return connection

    def iterate(self):
        """Run the calls that are due now, not those that they make; return the names that had turns."""
        self.turns.clear()
        calls, self.clock.calls = self.clock.calls, []
        for call in calls:
            call.func()
        return [name for name, _ in self.turns]


@pytest.fixture
def made():
    return Made()


def test_input_is_processed_at_once_while_there_is_time(made):
    connection = made.submit("a", 2)
    assert made.turns == [("a", TURN_BYTES)] * 2 and connection.reads and not made.clock.calls


def test_what_does_not_fit_into_an_iteration_waits_and_is_not_read_meanwhile(made):
    first, second = made.submit("a", 5), made.submit("b", 1)
    assert len(made.turns) == 2 and not first.reads and not second.reads
    assert made.iterate() == ["b", "a"] and second.reads and not first.reads
    assert made.iterate() == ["a", "a"] and first.reads and made.iterate() == []


def test_first_turns_are_short_and_go_before_further_ones_but_not_for_ever(made):
    made.submit("flood", 100)
    for number in range(2 * FIRST_TURNS_IN_ROW):
        made.submit(str(number), 1, MAX_ITERATION_S / 100)
    names = made.iterate()
    assert made.turns[0] == ("0", FIRST_TURN_BYTES) and names.index("flood") == FIRST_TURNS_IN_ROW
    assert set(map(str, range(2 * FIRST_TURNS_IN_ROW))) <= {*names, *made.iterate()}


def test_connections_that_send_much_have_turns_by_rotation(made):
    for name in "abc":
        made.submit(name, 3)
    assert sum([made.iterate() for _ in range(4)], []) == ["b", "c", "a", "b", "c", "b", "c"]


def test_no_turn_begins_while_the_controller_is_behind(made):
    made.is_behind = True
    connection = made.submit("a", 1)
    assert made.iterate() == [] and not connection.reads
    made.is_behind = False
    assert made.iterate() == ["a"] and connection.reads


def test_a_connection_that_has_ended_has_no_turn(made):
    made.submit("a", 9)
    ended = made.submit("b", 1)
    made.scheduler.remove(ended)
    assert "b" not in made.iterate() and not made.scheduler.is_waiting(ended)


def test_a_clock_that_is_set_back_does_not_stop_the_turns(made):
    made.submit("a", 2)
    made.clock.rightNow -= 100.0
    made.submit("b", 1)
    assert [name for name, _ in made.turns] == ["a", "a", "b"]


def test_frames_of_a_grpc_connection_wait_for_their_turn(made):
    """Guards against connections of `serve` that take an iteration each, as those of the RESP platform did."""
    transport = StringTransport()
    connection = GrpcFactory(made.clock, {}, input_scheduler=made.scheduler).buildProtocol(None)
    connection.makeConnection(transport_with_options(transport))
    transport.clear()
    made.is_behind = True
    connection.dataReceived(HTTP2_PREFACE + EMPTY_SETTINGS)
    assert transport.value() == b"" and transport.producerState == "paused"
    made.is_behind = False
    made.iterate()
    assert transport.value() == SETTINGS_ACK and transport.producerState == "producing"
