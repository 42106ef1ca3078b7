"""Replication messages between two gateways that can't reach each other, passed on by a third."""

from types import SimpleNamespace

import pytest

from anisefront.cluster.replication_codec import decode, encode
from anisefront.cluster.replication_messages import AppendAck, EpochFenced, RelayedMessage, RelayRequest
from anisefront.daemon.message_relay import MessageRelay

ACK = AppendAck(3, 12)


@pytest.fixture
def sent():
    return []


@pytest.fixture
def relay(sent):
    rows = {number: SimpleNamespace(process_incarnation=10 + number) for number in range(3)}
    return MessageRelay(lambda *message: sent.append(message), SimpleNamespace(rows=rows))


def test_a_message_goes_on_to_its_receiver_with_the_name_of_its_origin(relay, sent):
    relay.pass_on(0, 10, RelayRequest(2, encode(ACK)))
    [(receiver, data)] = sent
    assert (receiver, decode(data)) == (2, RelayedMessage(0, 10, encode(ACK)))


def test_a_message_for_no_known_gateway_goes_nowhere(relay, sent):
    relay.pass_on(0, 10, RelayRequest(7, encode(ACK)))
    assert sent == []


def test_a_relayed_message_is_of_its_origin(relay):
    assert relay.unpack(RelayedMessage(0, 10, encode(ACK))) == (0, 10, ACK)


@pytest.mark.parametrize(
    "relayed",
    [
        RelayedMessage(0, 9, encode(ACK)),  # of a process that has been replaced
        RelayedMessage(7, 10, encode(ACK)),
        RelayedMessage(0, 10, b""),
        RelayedMessage(0, 10, encode(ACK)[:-1]),
        RelayedMessage(0, 10, encode(RelayRequest(1, encode(ACK)))),
        RelayedMessage(0, 10, encode(RelayedMessage(1, 11, encode(ACK)))),
    ],
)
def test_what_is_no_message_of_a_living_origin_is_dropped(relay, relayed):
    assert relay.unpack(relayed) is None


def test_a_reply_goes_back_as_the_message_came_and_others_go_directly(relay, sent):
    relay.begin_reply(0, 1)
    relay.send(0, ACK)
    relay.send(2, ACK)
    relay.end_reply()
    relay.send(0, EpochFenced(3))
    assert [(receiver, decode(data)) for receiver, data in sent] == [
        (1, RelayRequest(0, encode(ACK))),
        (2, ACK),
        (0, EpochFenced(3)),
    ]
