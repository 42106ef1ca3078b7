"""Relaying of replication messages between two instances that can't reach each other, through a third one.

The reply to a relayed message is sent through the same relay.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import NamedTuple

from anisefront.cluster.membership import Membership
from anisefront.cluster.replication_codec import decode, encode
from anisefront.cluster.replication_messages import Bundle, Message, RelayedMessage, RelayRequest


class _ReplyPath(NamedTuple):
    """The relay through which an origin is reached."""

    origin: int
    relay: int


class ReceivedFrom(NamedTuple):
    """A message, and the process incarnation of the instance that sent it."""

    sender: int
    incarnation: int
    message: Message


class MessageRelay:
    """Forwards relay requests, unpacks relayed messages, and sends replies through the relay."""

    def __init__(self, send: Callable[[int, bytes], None], membership: Membership) -> None:
        """Create a relay; `send(receiver, data)` sends a datagram, `membership` has the process incarnations."""
        self._send = send
        self._membership = membership
        self._reply_path: _ReplyPath | None = None

    def send(self, receiver: int, message: Message) -> None:
        """Send a message, through the relay if it replies to a relayed one."""
        self.send_encoded(receiver, encode(message))

    def send_encoded(self, receiver: int, data: bytes) -> None:
        """Send encoded messages, through the relay if they reply to a relayed one."""
        path = self._reply_path
        if path is not None and receiver == path.origin:
            self._send(path.relay, encode(RelayRequest(receiver, data)))
        else:
            self._send(receiver, data)

    def pass_on(self, sender: int, incarnation: int, request: RelayRequest) -> None:
        """Forward a message to its receiver, unless the receiver is unknown."""
        if request.receiver in self._membership.rows:
            self._send(request.receiver, encode(RelayedMessage(sender, incarnation, request.data)))

    def unpack(self, relayed: RelayedMessage) -> ReceivedFrom | None:
        """Return the inner message; None if it is malformed or from an earlier incarnation of its origin."""
        row = self._membership.rows.get(relayed.origin)
        if row is None or relayed.origin_incarnation < row.process_incarnation:
            return None
        message = decode(relayed.data)
        if message is None or isinstance(message, RelayRequest | RelayedMessage | Bundle):
            return None
        return ReceivedFrom(relayed.origin, relayed.origin_incarnation, message)

    def begin_reply(self, origin: int, relay: int) -> None:
        """Send messages to an origin through this relay from now on."""
        self._reply_path = _ReplyPath(origin, relay)

    def end_reply(self) -> None:
        """Send all messages directly again."""
        self._reply_path = None
