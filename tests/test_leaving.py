"""Clients that leave while their request waits: withdrawn within a turn, and no attempt for it begins after."""

import contextlib

import pytest
from socket_harness import SocketHarness, reset, read_to_end
from test_node_front import GatewayHarness, command_with_id
from test_node_wire import ASK
from twisted.internet import error
from twisted.python.failure import Failure

from anisefront.resp_gateway import input_pause
from anisefront.resp_gateway import resp_codec
from anisefront.policy.actions import Reject, StartAttempt
from anisefront.policy.events import AttemptEnded, AttemptResult, ClientDisconnected

UNFIT = [b"FLUSHALL"]


@pytest.fixture
def stage():
    made = SocketHarness()
    yield made
    made.close()


@pytest.mark.parametrize("leave", [lambda link: link.close(), reset, lambda link: link.shutdown(1)])
@pytest.mark.parametrize(
    "behind",
    [
        b"",
        b"*2\r\n$4\r\nPI",
        resp_codec.encode_command(command_with_id(3)),
        resp_codec.encode_command(UNFIT),
        resp_codec.encode_command(UNFIT) + resp_codec.encode_command(command_with_id(3)) + b"*2\r\n$4\r\nPI",
    ],
)
def test_it_is_noticed_whatever_is_behind_the_request(stage, leave, behind):
    client = stage.client(ASK)
    client.sendall(behind)
    stage.turns(1)
    leave(client)
    stage.turns()
    ends = [end for end in stage.controller.ends if isinstance(end, ClientDisconnected)]
    assert len(ends) == len(stage.controller.arrivals) >= 1
    assert not stage.requests.open_requests and not stage.request_table.requests and not stage.frontend.connections
    assert stage.frontend.buffered.used == 0


def test_it_is_noticed_while_what_follows_an_unfit_command_waits(stage):
    client = stage.client(ASK, UNFIT)
    client.sendall(resp_codec.encode_command(command_with_id(3)) * 3)
    stage.turns()
    assert len(stage.controller.arrivals) == 1  # the others wait
    client.close()
    stage.turns()
    assert [type(end) for end in stage.controller.ends] == [ClientDisconnected]
    stage.wait(input_pause.MAX_PAUSE_S)
    assert len(stage.controller.arrivals) == 1 and stage.frontend.buffered.used == 0


def fill(client):
    """Send as much as the other side's system takes without its process reading."""
    client.setblocking(False)
    with contextlib.suppress(BlockingIOError):
        while True:
            client.send(b"x" * 4096)


SEND = {
    "nothing": lambda client: None,
    "a byte": lambda client: client.sendall(b"*"),
    "60 KB": lambda client: client.sendall(b"*2\r\n$4\r\nPING\r\n$60000\r\n" + b"x" * 60_000),
    "all that fits": fill,
}
LEAVE = {"closes": lambda client: client.close(), "closes its half": lambda client: client.shutdown(1), "resets": reset}
PAUSES = {
    "its write buffer is full": lambda connection: connection.pauseProducing(),
    "its input waits for a turn": lambda connection: connection.begin_waiting(),
    "invalid commands filled the buffer": lambda connection: connection.pause_reading(),
}


# A close behind more than fits does not reach this system before the bytes are read.
LEFT = [(sent, leave) for sent in SEND for leave in LEAVE if sent != "all that fits" or leave == "resets"]


@pytest.mark.parametrize("pause", PAUSES)
@pytest.mark.parametrize(("sent", "leave"), LEFT)
def test_no_attempt_begins_for_a_client_that_has_left_behind_unread_bytes(stage, sent, leave, pause):
    """Guards against attempts that begin after a close which nobody reads, since reading is paused."""
    client = stage.client(ASK)
    (connection,) = stage.frontend.by_state["busy"]
    PAUSES[pause](connection)
    SEND[sent](client)
    LEAVE[leave](client)
    stage.perform(StartAttempt(1, "s1", 400.0))
    assert stage.accept().recv(1000) == b"" and stage.pool.counts["not_begun"] == 1
    stage.turns()
    assert [type(end) for end in stage.controller.ends if isinstance(end, ClientDisconnected)] == [ClientDisconnected]
    assert not stage.requests.open_requests and not stage.frontend.connections and stage.frontend.buffered.used == 0


def test_what_waits_behind_an_unfit_command_has_a_cap_and_each_has_an_answer(stage):
    """They were dropped at the cap, and the request before them was called off."""
    client = stage.client(ASK, UNFIT)
    client.sendall(resp_codec.encode_command(command_with_id(3)) * 600)
    stage.turns(40)
    assert (
        not stage.controller.ends
        and len(stage.controller.arrivals) == 1
        and stage.frontend.buffered.used <= input_pause.MAX_BUFFERED
    )
    stage.perform(Reject(1, 40.0))
    for _ in range(4):
        stage.wait(0.1)
    stage.perform(*[Reject(each.id, 40.0) for each in stage.controller.arrivals[1:]])
    stage.frontend.fail_all()
    stage.turns(40)
    lines = read_to_end(client).split(b"\r\n")
    assert lines[:2] == [b"-BUSY 40", b"-ERR unknown command 'FLUSHALL'"] and len(lines) == 603 and not lines[-1]
    assert set(lines[2:-1]) <= {b"-BUSY 250", b"-BUSY 40", b"-ERR id: a request with this id is open"}
    assert stage.frontend.buffered.used == 0


@pytest.mark.parametrize("after_s", [0.0, 0.05, 0.1, 0.3])
def test_an_attempt_still_connecting_for_a_client_that_left_is_not_begun(after_s):
    house = GatewayHarness()
    client = house.client()
    house.send(client, ASK)
    house.run_iteration(StartAttempt(1, "s1", 400.0))
    client.protocol.connectionLost(Failure(error.ConnectionDone()))
    house.run_iteration()  # and the module calls nothing off, as where the settings forbid it
    house.reactor.advance(after_s)
    worker = house.connect_worker()
    house.run_iteration()
    assert worker.take() == b"" and worker.disconnecting and not house.request_table.requests
    assert [each.result for each in house.controller.ends if isinstance(each, AttemptEnded)] == [
        AttemptResult.DISCARDED
    ]


def test_a_first_attempt_that_was_decided_for_one_that_has_left_does_not_leave(stage):
    client = stage.client(ASK)
    client.close()
    stage.controller.next = [StartAttempt(1, "s1", 400.0)]
    stage.request_table.batches.schedule_iteration()
    stage.turns()
    stage.listeners["s1"].setblocking(False)
    with pytest.raises(BlockingIOError):
        while True:  # a connection may have been made, but nothing was written on it
            assert stage.listeners["s1"].accept()[0].recv(100) == b""
