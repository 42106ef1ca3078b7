"""Replication messages between two gateways that can't reach each other, relayed by a third."""

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


def test_a_message_is_forwarded_to_its_receiver_with_its_origin(relay, sent):
    relay.pass_on(0, 10, RelayRequest(2, encode(ACK)))
    [(receiver, data)] = sent
    assert (receiver, decode(data)) == (2, RelayedMessage(0, 10, encode(ACK)))


def test_a_message_for_an_unknown_gateway_is_dropped(relay, sent):
    relay.pass_on(0, 10, RelayRequest(7, encode(ACK)))
    assert sent == []


def test_a_relayed_message_is_attributed_to_its_origin(relay):
    assert relay.unpack(RelayedMessage(0, 10, encode(ACK))) == (0, 10, ACK)


@pytest.mark.parametrize(
    "relayed",
    [
        RelayedMessage(0, 9, encode(ACK)),  # from an earlier process incarnation
        RelayedMessage(7, 10, encode(ACK)),
        RelayedMessage(0, 10, b""),
        RelayedMessage(0, 10, encode(ACK)[:-1]),
        RelayedMessage(0, 10, encode(RelayRequest(1, encode(ACK)))),
        RelayedMessage(0, 10, encode(RelayedMessage(1, 11, encode(ACK)))),
    ],
)
def test_malformed_messages_and_those_of_unknown_or_earlier_origins_are_dropped(relay, relayed):
    assert relay.unpack(relayed) is None


def test_a_reply_is_sent_through_the_relay_and_other_messages_directly(relay, sent):
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
