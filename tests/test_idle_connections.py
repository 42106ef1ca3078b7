"""Idle connections to workers: closed, with unsolicited bytes, or past their idle timeout."""

import pytest
from socket_harness import SocketHarness, reset
from test_node_front import GatewayHarness, command_with_id, start_attempt
from test_node_wire import SERVED_REPLY

from anisefront.resp_gateway import resp_codec
from anisefront.policy.actions import StartAttempt
from anisefront.policy.events import AttemptEnded, AttemptResult


@pytest.fixture
def stage():
    made = SocketHarness()
    yield made
    made.close()


@pytest.mark.parametrize(
    "break_connection",
    [
        lambda link: link.close(),
        reset,
        lambda link: link.sendall(b"*3\r\n$5"),
        lambda link: link.sendall(SERVED_REPLY),
        lambda link: link.shutdown(1),
    ],
)
@pytest.mark.parametrize("seen", [False, True])
def test_a_connection_that_closed_or_received_bytes_while_idle_is_not_reused(stage, break_connection, seen):
    """Holds whether or not the event loop has read the event before the next attempt takes a connection."""
    client, worker = stage.served()
    stage.time += 0.02
    break_connection(worker)
    if seen:
        stage.turns()
    client.sendall(resp_codec.encode_command(command_with_id(2)))
    stage.reactor.iterate(0)
    stage.decide(StartAttempt(2, "s1", 400.0))
    fresh = stage.accept()
    assert b"%016x" % 2 in fresh.recv(1000)
    fresh.sendall(SERVED_REPLY)
    stage.turns()
    assert client.recv(1000) == b"$5\r\nva\r\nl\r\n" and stage.pool.connections == 1
    assert [each.result for each in stage.controller.ends if isinstance(each, AttemptEnded)] == [
        AttemptResult.OK,
        AttemptResult.OK,
    ]


def test_a_connection_past_its_idle_timeout_is_not_reused_even_before_the_sweep():
    """After a process stall a connection may be taken before the sweep; the network may have dropped it silently."""
    house = GatewayHarness()
    _, worker = start_attempt(house)
    worker.protocol.dataReceived(SERVED_REPLY)
    house.reactor.advance(0.02)
    assert house.pool.take_idle("s1") is worker.protocol
    house.pool.add_idle(worker.protocol)
    house.reactor.rightNow += house.pool.limits.idle_timeout_s + 1
    assert house.pool.take_idle("s1") is None and worker.aborted


def test_an_unsolicited_response_closes_an_idle_connection(stage):
    _, worker = stage.served()
    worker.sendall(SERVED_REPLY)
    stage.turns()
    assert not stage.pool.connections and not stage.pool._idle
