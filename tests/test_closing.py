"""Closing by halves: no answer goes with a reset, and nothing is taken that comes after our half is shut.

Over real sockets, a turn of the loop at a time: each test says what lies unread in which socket at which moment."""

import socket

import pytest
from stage import Stage, rest
from test_node_front import command_with_id
from test_node_wire import ASK

from anisefront.resp_gateway import client_connection
from anisefront.resp_gateway import connection_limits
from anisefront.resp_gateway import resp_codec
from anisefront.policy.actions import Reject


@pytest.fixture
def stage():
    made = Stage(max_connections=3, max_closing=2)
    yield made
    made.close()


def test_an_answer_is_not_lost_with_what_its_client_sends_in_that_moment(stage):
    client = stage.client(ASK)
    stage.front.close_idle()
    stage.module.next = [Reject(1, 0.0)]
    stage.request_table.batches.schedule_iteration()
    stage.reactor.iterate(0)  # the answer is written, the end begun
    stage.turns()
    client.sendall(resp_codec.encode_command(command_with_id(2)))  # it crosses our end
    stage.turns()
    assert rest(client) == b"-BUSY\r\n" and len(stage.module.arrivals) == 1
    client.close()
    stage.turns()
    assert not any(stage.front.by_state.values())


def test_a_request_that_is_read_before_our_half_is_shut_is_refused_and_not_sent_on(stage):
    client = stage.client([b"PING"])
    assert client.recv(100) == b"+PONG\r\n"
    client.sendall(resp_codec.encode_command(command_with_id(2)))  # it lies in our socket
    stage.front.close_idle()
    stage.turns()
    assert rest(client) == b"-BUSY 250\r\n" and not stage.module.arrivals


@pytest.mark.parametrize("more", [b"", b"x" * 100_000])
def test_what_cannot_be_read_gets_its_error_line_and_a_clean_end(stage, more):
    client = stage.client()
    client.sendall(b"GET / HTTP/1.1\r\n\r\n" + more)
    stage.turns(40)
    client.sendall(b"more")
    stage.turns()
    assert rest(client).startswith(b"-ERR Protocol error") and not stage.module.arrivals
    client.close()
    stage.turns()
    assert not any(stage.front.by_state.values())


def test_a_client_that_never_ends_its_half_is_gone_after_the_stated_time(stage):
    client = stage.client(ASK)
    stage.front.fail_all()
    stage.wait(connection_limits.CLOSE_TIMEOUT_S + 0.2)
    assert rest_or_reset(client).startswith(b"-ERR failed\r\n") and not any(stage.front.by_state.values())


def rest_or_reset(link):
    found = b""
    try:
        while data := link.recv(65536):
            found += data
    except ConnectionResetError:
        pass
    return found


def test_one_that_goes_on_sending_while_it_is_closed_is_cut_off(stage):
    client = stage.client()
    client.sendall(b"no RESP at all\r\n")
    stage.turns()
    client.setblocking(False)
    sent = 0
    try:
        while sent < 4 * client_connection.MAX_DISCARDED:
            sent += client.send(b"x" * 65536)
            stage.turns(8)
    except ConnectionError:
        pass
    assert sent < 2 * client_connection.MAX_DISCARDED and not any(stage.front.by_state.values())


def test_at_the_cap_room_is_made_by_a_clean_end_and_closing_connections_have_a_cap_of_their_own(stage):
    first = [stage.client([b"PING"]) for _ in range(3)]
    more = [stage.client([b"PING"]) for _ in range(2)]
    assert [rest(link) for link in first[:2]] == [b"+PONG\r\n"] * 2
    assert stage.front.connections == 3 and len(stage.front.by_state["closing"]) == 2
    more += [stage.client([b"PING"]) for _ in range(2)]
    assert stage.front.counts["closing_cut"] == 2 and len(stage.front.by_state["closing"]) == 2
    assert all(link.recv(100) == b"+PONG\r\n" for link in more)


def test_what_a_slow_reader_has_not_read_yet_is_still_written_when_its_connection_ends(stage):
    client = stage._keep(socket.socket())
    client.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
    client.connect(("127.0.0.1", stage.port.getHost().port))
    value = b"v" * 60_000
    for _ in range(40):  # more than both sides' buffers hold
        client.sendall(resp_codec.encode_command([b"PING", value]))
        stage.turns(16)
    stage.front.fail_all()
    stage.turns()
    got, client_sees = b"", True
    while client_sees:
        stage.turns(2)
        data = client.recv(65536)
        got, client_sees = got + data, bool(data)
    assert got.count(b"$60000\r\n") * len(resp_codec.encode_bulk(value)) == len(got) and len(got) > 60_000


def test_at_the_drains_end_each_connection_gets_its_answer_however_many_there_are(stage):
    clients = [stage.client(command_with_id(number)) for number in range(3)]
    stage.front.limits.max_closing = 1
    stage.front.fail_all()
    stage.turns()
    assert [rest(client) for client in clients] == [b"-ERR failed\r\n"] * 3


def test_a_client_for_which_there_is_no_room_is_told_so_and_its_connection_ends_cleanly(stage):
    clients = [stage.client(command_with_id(number)) for number in range(4)]
    assert rest(clients[3]) == b"-BUSY 250\r\n" and len(stage.module.arrivals) == 3
    clients[3].close()
    stage.turns()
    assert not stage.front.by_state["closing"] and stage.front.connections == 3


def test_a_client_that_sends_without_end_and_reads_nothing_is_held_to_little_and_cut_off(stage):
    client = stage.client(ASK)
    client.setblocking(False)
    flood, kept, ends = resp_codec.encode_command([b"Q.ASK", b"x"]) * 1000, 0, stage.module.ends
    client.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
    for _ in range(600):  # the system's own buffers fill first: until then the client may be one that reads slowly
        try:
            client.send(flood)
        except OSError:  # its buffers are full, or it has been cut off
            pass
        stage.wait(0.1)
        for protocol in (each for place in stage.front.by_state.values() for each in place):
            transport = protocol.transport
            kept = max(
                kept,
                len(protocol.replies.pending) * 8
                + len(protocol.input.buffered)
                + len(transport.dataBuffer)
                + sum(map(len, transport._tempDataBuffer)),
            )
        if not stage.front.connections:
            break
    assert 0 < kept < 500_000 and len(ends) == 1  # what was open is called off long before it is cut off
    assert not stage.carrier.open_requests and not stage.front.connections and stage.front.buffered.used == 0


def test_a_client_that_reads_is_not_cut_off_where_its_full_buffer_was_written_to_twice(stage):
    """The transport says that its buffer is full at each write into it, and once only that it is free."""
    pong = [b"PING", b"x" * 20_000]
    client = stage.client(ASK, pong, command_with_id(2), pong, command_with_id(3))
    stage.decide(Reject(1, 0.0))
    stage.decide(Reject(2, 0.0))  # the loop has written nothing since
    found = 0
    while found < 40_000:
        stage.turns()
        found += len(client.recv(65536))
    stage.wait(client_connection.WRITE_TIMEOUT_S + 1)
    stage.say(Reject(3, 0.0))
    assert client.recv(100) == b"-BUSY\r\n"
