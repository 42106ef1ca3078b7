"""Half-close of client connections: no reply is lost by a reset, and later input is not accepted.

The tests use real sockets and single iterations of the event loop, so that each controls which data are unread in
which socket.
"""

import socket

import pytest
from socket_harness import SocketHarness, read_to_end
from test_node_front import command_with_id
from test_node_wire import ASK

from anisefront.resp_gateway import client_connection
from anisefront.resp_gateway import connection_limits
from anisefront.resp_gateway import resp_codec
from anisefront.policy.actions import Reject


@pytest.fixture
def stage():
    made = SocketHarness(max_connections=3, max_closing=2)
    yield made
    made.close()


def test_a_reply_is_not_lost_if_its_client_sends_data_at_that_moment(stage):
    client = stage.client(ASK)
    stage.frontend.close_idle()
    stage.controller.next = [Reject(1, 0.0)]
    stage.request_table.batches.schedule_iteration()
    stage.reactor.iterate(0)  # the reply is written and the close begins
    stage.turns()
    client.sendall(resp_codec.encode_command(command_with_id(2)))  # it crosses our end
    stage.turns()
    assert read_to_end(client) == b"-BUSY\r\n" and len(stage.controller.arrivals) == 1
    client.close()
    stage.turns()
    assert not any(stage.frontend.by_state.values())


def test_a_request_that_is_read_before_our_write_side_closes_is_rejected(stage):
    client = stage.client([b"PING"])
    assert client.recv(100) == b"+PONG\r\n"
    client.sendall(resp_codec.encode_command(command_with_id(2)))  # it lies in our socket
    stage.frontend.close_idle()
    stage.turns()
    assert read_to_end(client) == b"-BUSY 250\r\n" and not stage.controller.arrivals


@pytest.mark.parametrize("more", [b"", b"x" * 100_000])
def test_malformed_input_gets_an_error_line_and_a_clean_close(stage, more):
    client = stage.client()
    client.sendall(b"GET / HTTP/1.1\r\n\r\n" + more)
    stage.turns(40)
    client.sendall(b"more")
    stage.turns()
    assert read_to_end(client).startswith(b"-ERR Protocol error") and not stage.controller.arrivals
    client.close()
    stage.turns()
    assert not any(stage.frontend.by_state.values())


def test_a_client_that_never_closes_its_write_side_is_aborted_after_the_timeout(stage):
    client = stage.client(ASK)
    stage.frontend.fail_all()
    stage.wait(connection_limits.CLOSE_TIMEOUT_S + 0.2)
    assert rest_or_reset(client).startswith(b"-ERR failed\r\n") and not any(stage.frontend.by_state.values())


def rest_or_reset(link):
    found = b""
    try:
        while data := link.recv(65536):
            found += data
    except ConnectionResetError:
        pass
    return found


def test_a_client_that_keeps_sending_while_it_is_closed_is_aborted(stage):
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
    assert sent < 2 * client_connection.MAX_DISCARDED and not any(stage.frontend.by_state.values())


def test_at_the_limit_an_idle_connection_is_closed_cleanly_and_closing_ones_have_their_own_limit(stage):
    first = [stage.client([b"PING"]) for _ in range(3)]
    more = [stage.client([b"PING"]) for _ in range(2)]
    assert [read_to_end(link) for link in first[:2]] == [b"+PONG\r\n"] * 2
    assert stage.frontend.connections == 3 and len(stage.frontend.by_state["closing"]) == 2
    more += [stage.client([b"PING"]) for _ in range(2)]
    assert stage.frontend.counts["closing_cut"] == 2 and len(stage.frontend.by_state["closing"]) == 2
    assert all(link.recv(100) == b"+PONG\r\n" for link in more)


def test_pending_replies_of_a_slow_reader_are_written_before_its_connection_closes(stage):
    client = stage._track(socket.socket())
    client.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
    client.connect(("127.0.0.1", stage.port.getHost().port))
    value = b"v" * 60_000
    for _ in range(40):  # more than the buffers of both sides can hold
        client.sendall(resp_codec.encode_command([b"PING", value]))
        stage.turns(16)
    stage.frontend.fail_all()
    stage.turns()
    got, client_sees = b"", True
    while client_sees:
        stage.turns(2)
        data = client.recv(65536)
        got, client_sees = got + data, bool(data)
    assert got.count(b"$60000\r\n") * len(resp_codec.encode_bulk(value)) == len(got) and len(got) > 60_000


def test_at_the_end_of_the_drain_each_connection_gets_its_reply(stage):
    clients = [stage.client(command_with_id(number)) for number in range(3)]
    stage.frontend.limits.max_closing = 1
    stage.frontend.fail_all()
    stage.turns()
    assert [read_to_end(client) for client in clients] == [b"-ERR failed\r\n"] * 3


def test_a_client_beyond_the_connection_limit_is_rejected_and_closed_cleanly(stage):
    clients = [stage.client(command_with_id(number)) for number in range(4)]
    assert read_to_end(clients[3]) == b"-BUSY 250\r\n" and len(stage.controller.arrivals) == 3
    clients[3].close()
    stage.turns()
    assert not stage.frontend.by_state["closing"] and stage.frontend.connections == 3


def test_a_client_that_floods_and_never_reads_uses_little_memory_and_is_aborted(stage):
    client = stage.client(ASK)
    client.setblocking(False)
    flood, kept, ends = resp_codec.encode_command([b"Q.ASK", b"x"]) * 1000, 0, stage.controller.ends
    client.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
    for _ in range(600):  # the kernel's buffers fill first: until then it may be a slow reader
        try:
            client.send(flood)
        except OSError:  # its buffers are full, or it was aborted
            pass
        stage.wait(0.1)
        for protocol in (each for place in stage.frontend.by_state.values() for each in place):
            transport = protocol.transport
            kept = max(
                kept,
                len(protocol.replies.pending) * 8
                + len(protocol.input.buffered)
                + len(transport.dataBuffer)
                + sum(map(len, transport._tempDataBuffer)),
            )
        if not stage.frontend.connections:
            break
    assert 0 < kept < 500_000 and len(ends) == 1  # its request is cancelled long before it is aborted
    assert not stage.requests.open_requests and not stage.frontend.connections and stage.frontend.buffered.used == 0


def unsent_bytes(stage):
    """Return the bytes that wait in the transports of all client connections."""
    transports = [each.transport for place in stage.frontend.by_state.values() for each in place]
    return sum(len(each.dataBuffer) + sum(map(len, each._tempDataBuffer)) for each in transports)


def serve_value(stage, number, value):
    """End an open request with a value of a worker."""
    entry = stage.requests.close_request(number)
    stage.requests.deliver_response(entry, resp_codec.WorkerReply(value), "s1")


def test_replies_to_clients_that_do_not_read_stay_within_their_cap():
    """Guards against values in the write buffers of many slow readers, which filled the memory of an instance."""
    stage = SocketHarness(max_connections=30, max_unsent_bytes=400_000)
    clients = [
        stage.client(*(command_with_id(100 * client + number) for number in range(1, 41))) for client in range(10)
    ]
    for number in range(1, 401):
        serve_value(stage, number, b"v" * 65_000)
        if number % 40 == 0:
            stage.turns(30)  # the kernel's buffers fill first
        assert unsent_bytes(stage) <= 400_000 + len(clients) * 66_000  # and one reply for each, which may be read
    received = b""
    while received.count(b"$65000\r\n") + received.count(b"-ERR failed") < 40:
        received += clients[-1].recv(1 << 20)
        stage.turns()
    assert b"$65000" in received and b"-ERR failed" in received
    for client in clients:
        client.close()
    stage.turns(20)
    assert stage.frontend.unsent.used == 0 and stage.frontend.counts["reply_discarded"] > 0
    stage.close()


def test_replies_that_wait_for_an_earlier_one_stay_within_the_cap():
    """Guards against values of many requests behind an open one: their bytes were counted, but never refused."""
    stage = SocketHarness(max_buffered_bytes=200_000)
    client = stage.client(*(command_with_id(number) for number in range(1, 41)))
    for number in range(40, 1, -1):
        serve_value(stage, number, b"v" * 65_000)
        assert stage.frontend.buffered.used <= 200_000
    stage.decide(Reject(1, 0.0))
    received = b""
    while received.count(b"-") + received.count(b"$") < 40:
        stage.turns()
        received += client.recv(1 << 20)
    assert received.startswith(b"-BUSY\r\n-ERR failed\r\n") and received.count(b"$65000") == 3
    stage.close()


def test_a_reading_client_is_not_aborted_after_two_writes_to_its_full_buffer(stage):
    """The transport pauses its producer at each write into the full buffer, but resumes it only once."""
    pong = [b"PING", b"x" * 20_000]
    client = stage.client(ASK, pong, command_with_id(2), pong, command_with_id(3))
    stage.decide(Reject(1, 0.0))
    stage.decide(Reject(2, 0.0))  # the event loop has written nothing since
    found = 0
    while found < 40_000:
        stage.turns()
        found += len(client.recv(65536))
    stage.wait(client_connection.WRITE_TIMEOUT_S + 1)
    stage.perform(Reject(3, 0.0))
    assert client.recv(100) == b"-BUSY\r\n"
