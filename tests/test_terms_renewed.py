"""Terms of the standing test that hold from now on, one part a term: what each promises and where it is shown."""

import socket

import pytest
from stage import Stage, reset
from test_node_front import other

from anisefront.node import resp
from anisefront.node.gatekeeper import NodeGatekeeper
from anisefront.policy.interface import Send


@pytest.fixture
def stage():
    made = Stage()
    yield made
    made.close()


# ---- kills right after an accept ------------------------------------------------------------------------


def test_all_who_had_come_when_the_listener_closes_are_let_in(stage):
    """More had come since the last look than came in it: each that the system let in is answered."""
    stage.client([b"PING"])  # one came in the last look
    links = [stage._keep(socket.create_connection(("127.0.0.1", stage.port.getHost().port))) for _ in range(30)]
    for link in links:
        link.sendall(resp.command([b"PING"]))
    gatekeeper = NodeGatekeeper.__new__(NodeGatekeeper)
    gatekeeper._port = stage.port
    gatekeeper._stop_listening()
    stage.turns()
    assert [link.recv(100) for link in links] == [b"+PONG\r\n"] * 30


# ---- a client that closes has gone --------------------------------------------------------------------


@pytest.mark.parametrize("leave", [lambda link: link.close(), reset, lambda link: link.shutdown(1)])
@pytest.mark.parametrize("first", [True, False])
def test_no_attempt_begins_for_a_client_whose_close_lies_unread(stage, leave, first):
    """The process stood still; its client has gone meanwhile, and the loop has read no socket since."""
    _, resting = stage.served()
    stage.wait(0.1)
    client = stage.client(other(2))
    number = stage.module.arrivals[-1].id
    if not first:
        stage.say(Send(number, "s2", 400.0))
        worker = stage.accept("s2")
        assert worker.recv(1000)
        worker.sendall(b"-BUSY\r\n")
        stage.turns()
    leave(client)
    stage.time += 0.11
    stage.decide(Send(number, "s1", 400.0))
    stage.turns()
    assert resting.recv(1000) == b""  # it was taken for the attempt and ended unused
    assert not stage.carrier.open and not stage.ledger.entries
