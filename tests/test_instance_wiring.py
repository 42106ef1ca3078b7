"""Components that both kinds of gateway instances share: drain, listeners, peer port, report documents."""

from collections import Counter
from types import SimpleNamespace

import pytest
from twisted.internet.task import Clock

from anisefront.cluster.datagrams import DatagramAuthenticator
from anisefront.config.types import Address
from anisefront.daemon.authenticated_datagrams import AuthenticatedDatagrams
from anisefront.daemon.drain import POLL_INTERVAL_S, Drain
from anisefront.daemon.listeners import ACCEPT_BACKLOG, stop_listening
from anisefront.daemon.peer_port import PeerPort
from anisefront.daemon.report_document import to_document
from anisefront.resp_gateway.unauthenticated_datagrams import UnauthenticatedDatagrams
from anisefront.resp_gateway.resource_budgets import descriptor_budget

SECRET = b"sixteen bytes at least"
ADDRESSES = (("127.0.0.1", 7001), ("127.0.0.1", 7002))


def authenticated(number):
    peers = {other: Address(*ADDRESSES[other]) for other in range(2) if other != number}
    return AuthenticatedDatagrams(DatagramAuthenticator(SECRET, number, 1), peers)


def bare(number):
    return UnauthenticatedDatagrams(number, ADDRESSES)


class Transport:
    """Records what is sent, or fails."""

    def __init__(self, fails=False):
        self.sent = []
        self.fails = fails

    def write(self, datagram, address):
        if self.fails:
            raise OSError
        self.sent.append((datagram, address))


def test_drain_begins_once_and_completes_once():
    began = []
    drain = Drain(Clock())
    completed = drain.begin(lambda: began.append(1))
    assert drain.begin(lambda: began.append(2)) is completed
    assert began == [1]
    assert not drain.is_complete
    drain.complete()
    assert drain.is_complete
    assert completed.called


def test_drain_polls_at_once_and_at_the_interval_until_done():
    clock = Clock()
    answers = iter([False, False, True])
    done = []
    Drain(clock).poll(lambda: next(answers), lambda: done.append(clock.seconds()))
    clock.pump([POLL_INTERVAL_S] * 5)
    assert done == [2 * POLL_INTERVAL_S]
    assert not clock.getDelayedCalls()


def test_listener_accepts_its_whole_backlog_before_it_closes():
    calls = []
    listener = SimpleNamespace(numberAccepts=1)
    listener.doRead = lambda: calls.append(("accept", listener.numberAccepts))
    listener.stopListening = lambda: calls.append(("close", listener.numberAccepts))
    stop_listening(listener)
    assert calls == [("accept", ACCEPT_BACKLOG), ("close", ACCEPT_BACKLOG)]


@pytest.mark.parametrize("make", [authenticated, bare])
def test_peer_port_delivers_what_another_one_sent(make):
    received = []
    sender = PeerPort(make(0), None)
    receiver = PeerPort(make(1), lambda *message: received.append(message))
    sender.transport = Transport()
    sender.send(1, b"data")
    ((datagram, address),) = sender.transport.sent
    assert address == ADDRESSES[1]
    receiver.datagramReceived(datagram, ADDRESSES[0])
    assert received == [(0, b"data")]


@pytest.mark.parametrize(
    ("make", "transport", "receiver", "counts"),
    [
        (authenticated, None, 1, {"no_address": 1}),
        (authenticated, Transport(), 5, {"no_address": 1}),
        (authenticated, Transport(fails=True), 1, {"not_sent": 1}),
        (authenticated, Transport(), 1, {}),
        (bare, None, 1, {"not_told": 1}),
        (bare, Transport(), 5, {"not_told": 1}),
        (bare, Transport(fails=True), 1, {"not_sent": 1}),
        (bare, Transport(), 1, {"told": 1}),
    ],
)
def test_peer_port_counts_messages_by_the_keys_of_its_format(make, transport, receiver, counts):
    port = PeerPort(make(0), None)
    port.transport = transport
    port.send(receiver, b"data")
    assert port.counts == Counter(counts)


def test_document_has_the_keys_of_its_table_in_their_order():
    report = SimpleNamespace(inner=SimpleNamespace(value=1), name="n")
    document = to_document(report, {"z": "name", "a": {"b": "inner.value"}, "c": "inner.value"})
    assert list(document.items()) == [("z", "n"), ("a", {"b": 1}), ("c", 1)]


@pytest.mark.parametrize("descriptors", [1, 56, 128, 1024])
def test_descriptor_budget_divides_what_is_available(descriptors):
    budget = descriptor_budget(descriptors)
    assert budget.clients + budget.closing + budget.endpoints == max(32, descriptors - 24)
    assert min(budget.clients, budget.closing, budget.endpoints) >= 8
