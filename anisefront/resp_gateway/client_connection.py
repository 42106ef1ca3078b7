"""One client connection: parses commands, submits requests and writes replies in the order of the commands.

    NEW --first full command---> BUSY <--> IDLE       shutdown_write: the longest idle, where there are too many
      |                           |
      +---- PARTIAL_COMMAND ------+                   protocol error: the rest of a command is late
    any --bytes that can't be parsed--> BUSY: nothing more is parsed --last reply--> CLOSING
    any --shutdown_write--> CLOSING --all written, our half closed--> the client closes, or a timeout aborts
    rejected for lack of capacity: CLOSING from the start; our half is closed after the first reply

Each command received completely before our half of the connection is closed has exactly one reply, in order.
Connections are closed by halves: a full close over unread bytes resets the connection, and the reset discards replies
that the client has not read. Above a cap a command is rejected and the connection continues; an invalid command gets an
error reply; only bytes that can't be parsed end the connection, after the replies to all commands before them.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable
from typing import Any, Protocol

from twisted.internet import protocol
from twisted.internet.interfaces import IHalfCloseableProtocol
from twisted.python.failure import Failure
from zope.interface import implementer

from anisefront.frontends.backpressure import Backpressure
from anisefront.frontends.input_scheduler import TURN_BYTES, InputScheduler
from anisefront.gateway.incoming_bytes import IncomingBytes
from anisefront.resp_gateway import resp_codec
from anisefront.resp_gateway.command_mapping import REQUEST_VERBS, CommandMapper
from anisefront.resp_gateway.connection_limits import (
    BUSY,
    CLOSING,
    IDLE,
    NEW,
    PARTIAL_COMMAND,
    ByteBudget,
    ConnectionState,
)
from anisefront.resp_gateway.errors import InvalidCommandError, RespProtocolError
from anisefront.resp_gateway.fixed_replies import MAX_ERROR_VERB, OK, PONG, REJECTED
from anisefront.resp_gateway.input_arrival import InputArrival
from anisefront.resp_gateway.input_pause import InputPause
from anisefront.resp_gateway.reply_queue import PendingReply, ReplyQueue
from anisefront.resp_gateway.resp_codec import DISCARDED
from anisefront.resp_gateway.resp_requests import FAILED_REPLY, RespRequests
from anisefront.resp_gateway.socket_state import has_unread_close

WRITE_TIMEOUT_S = 5.0  # a client that does not read its replies for this time is aborted
MAX_DISCARDED = 1 << 20  # bytes received while closing, or after a protocol error; above this the connection is aborted
MAX_UNCOUNTED_REPLY = 64  # bytes; rejections and failures are shorter
MAX_OPEN_COMMANDS = 64  # commands of one connection without a reply; further ones are rejected
MAX_BATCH = 256  # commands received at once; after a longer batch parsing pauses
TURN_REQUESTS = 2  # submitted in one turn, since each of them costs the controller much more than its parsing
SLICE_BYTES = 256  # parsed at once within a turn
MAX_PENDING_REPLIES = (
    4_096  # replies behind an open request; above this the open requests fail, so that all are written
)


class Frontend(Protocol):
    """Interface of the frontend, as its connections use it."""

    reactor: Any
    requests: RespRequests
    commands: CommandMapper
    counts: Counter[str]
    buffered: ByteBudget
    unsent: ByteBudget
    incoming: IncomingBytes
    input_scheduler: InputScheduler
    read_bytes: int
    descriptors: int
    draining: bool

    now_ms: Callable[[], float]

    def deadline_ms(self, arrived_ms: float, timeout_ms: float) -> float:
        """Return the time by which a request that arrived then must have its reply."""

    def set_state(self, client: ClientConnection, state: ConnectionState) -> None:
        """Record that a connection enters a state now."""

    def remove(self, client: ClientConnection) -> None:
        """Drop a connection that has ended."""


@implementer(IHalfCloseableProtocol)
class ClientConnection(Backpressure):
    """Protocol of one client connection."""

    def __init__(self, frontend: Frontend, rejected: bool = False) -> None:
        """Create the protocol.

        Args:
            frontend: The state that connections share.
            rejected: There is no capacity for it: its first commands are rejected, then it ends.
        """
        self.frontend = frontend
        self.reader = resp_codec.CommandReader()
        self.replies = ReplyQueue(frontend.buffered, frontend.requests.client_disconnected)
        self.state: ConnectionState | None = None
        self.state_since_s = 0.0
        self.input = InputPause(frontend.reactor, self._resume_input)
        self._rejected = rejected
        self._received_command = False
        self._received_request = False
        self._closing = False  # no request is accepted any more
        self._write_closed = False  # our half is closed
        self._is_waiting = False  # for a turn to process the buffered input
        self._arrival = InputArrival(frontend.now_ms)
        self._arrived_ms = 0.0  # of the bytes that are parsed now
        self._turn_requests = 0  # submitted in this turn
        self._batch_commands = 0  # received since nothing was buffered
        self._unsent = 0  # bytes written since the write buffer became full
        self._discarded = 0  # bytes

    @property
    def has_nothing_to_write(self) -> bool:
        """Tell whether no reply is outstanding: our half is closed, or no command was received."""
        return self._write_closed or not self._received_command

    def connectionMade(self) -> None:
        """Start in `NEW`; a rejected connection starts in `CLOSING`."""
        self.transport.setTcpNoDelay(True)
        self.frontend.descriptors += 1
        self.start_backpressure(self.frontend.reactor, WRITE_TIMEOUT_S, self.abort)
        self.transport.bufferSize = self.frontend.read_bytes
        self._closing = self._rejected
        self.frontend.set_state(self, CLOSING if self._rejected else NEW)

    def dataReceived(self, data: bytes) -> None:
        """Parse, buffer or discard bytes."""
        self._arrived_ms = self._arrival.bytes_read()
        if self._closing or self.reader.error is not None:
            self._discarded += len(data)
            if self._discarded > MAX_DISCARDED:
                self._discard_limit_reached()
                return
        if self._write_closed or self.reader.error is not None:
            return
        if self.input.active:
            self._buffer_input(data)
        elif not self.input.buffered and self.reader.completes_nothing(len(data)):
            self._process(data)
        else:
            self.input.buffer(data, self._arrived_ms)
            self._process_in_turn()
        self._count_incoming()

    def _process_in_turn(self) -> None:
        """Process what was received in turns; on a closing connection the first one is at once, before the close."""
        if not self._closing or self._is_waiting or self.take_turn(TURN_BYTES):
            self.frontend.input_scheduler.submit(self)

    def take_turn(self, max_bytes: int) -> bool:
        """Process some of the buffered commands, at least one that is complete; return whether bytes are left."""
        if self._is_waiting and has_unread_close(self.transport.getHandle()):
            self.readConnectionLost()
            return False
        if self.input.buffered:
            self._batch_commands += self._parse_slices(max_bytes)
            self._write_replies()
        if self._is_waiting:
            self._count_incoming()
        if self.input.buffered:
            return True
        self._end_batch()
        return False

    def _parse_slices(self, max_bytes: int) -> int:
        """Parse as many of the buffered bytes as a turn allows, and return how many commands they completed."""
        pause = self.input
        bytes_left_after = len(pause.buffered) - max_bytes
        self._turn_requests = 0
        commands = 0
        while pause.buffered:
            data, self._arrived_ms = pause.take_slice(SLICE_BYTES)
            commands += self._parse(data)
            is_used_up = len(pause.buffered) <= bytes_left_after or self._turn_requests >= TURN_REQUESTS
            if commands and is_used_up:
                break
        return commands

    def _end_batch(self) -> None:
        """Begin the pause that a long batch or an invalid command causes, if any."""
        if self._batch_commands > MAX_BATCH:
            self.input.long_batch_received()
        self._batch_commands = 0
        if not self._closing and self.reader.error is None:
            self.input.begin_pending()

    def begin_waiting(self) -> None:
        """Stop reading until the buffered commands have had their turns."""
        self._is_waiting = True
        self.pause_reading()
        if self.state in (NEW, IDLE, PARTIAL_COMMAND):
            self.frontend.set_state(self, BUSY)

    def end_waiting(self) -> None:
        """Read again, unless the connection has ended its wait itself."""
        if self._is_waiting:
            self._is_waiting = False
            self.resume_reading()

    def discard_incoming(self) -> None:
        """Reject the commands that wait behind a pause, and the incomplete one when the rest of it has come."""
        self.frontend.counts["incoming_discarded"] += 1
        if self.input.buffered:
            self._reject_buffered()
        self.reader.discard_command()
        self._count_incoming()

    def _count_incoming(self) -> None:
        size = len(self.input.buffered) + self.reader.incomplete_bytes
        self.frontend.incoming.update(self, size)

    def _discard_limit_reached(self) -> None:
        """Write the outstanding replies and close; abort the connection if as many bytes follow again."""
        if self._closing:
            self.abort()
        else:
            self._discarded = 0
            self.fail_all()

    def _buffer_input(self, data: bytes) -> None:
        """Buffer bytes received during a pause; on overflow reject the commands in the buffer and stop reading."""
        self.input.buffer(data, self._arrived_ms)
        if self.input.overflowed:
            self._reject_buffered()

    def _reject_buffered(self) -> None:
        if self.input.active:
            self.input.pause_reading(self.pause_reading)
        self._process(self.input.take_buffered(), reject=True)

    def _process(self, data: bytes, reject: bool = False) -> None:
        """Parse bytes, handle each complete command and write the replies that are ready."""
        self._parse(data, reject)
        self._write_replies()

    def _parse(self, data: bytes, reject: bool = False) -> int:
        """Parse bytes, handle each complete command, and return how many there were."""
        commands = self.reader.feed(data)
        if commands and self.state is PARTIAL_COMMAND:
            self.frontend.set_state(self, PARTIAL_COMMAND)  # restarts the timeout for the next command
        for parts in commands:
            self._handle_command(parts, reject)
        if self.reader.error is not None:
            self.input.take_buffered()  # nothing more is parsed
        return len(commands)

    def _write_replies(self) -> None:
        """Write the replies that are ready, and end the connection after a protocol error."""
        if len(self.replies.pending) > MAX_PENDING_REPLIES:
            self._fail_open()
        if self.reader.error is not None:
            self._protocol_error(self.reader.error.error_line)
        else:
            self._flush()

    def _handle_command(self, parts: list[bytes], reject: bool) -> None:
        self._received_command = True
        if len(self.replies.pending) >= MAX_OPEN_COMMANDS:
            self._write_ready()  # replies that are ready do not count
        if reject or parts is DISCARDED or len(self.replies.pending) >= MAX_OPEN_COMMANDS:
            self.frontend.counts["refused"] += 1
            self._received_request = True
            self.replies.append(REJECTED)
            return
        entry = PendingReply()
        self.replies.append(entry)
        verb = parts[0]
        if verb in REQUEST_VERBS:
            self._handle_request(entry, parts)
        elif verb.upper() == b"PING" and len(parts) <= 2:
            self._handle_ping(entry, parts)
        elif verb.upper() in (b"CLIENT", b"SELECT"):
            entry.reply = OK
        else:
            self._invalid_command(entry, f"unknown command '{verb[:MAX_ERROR_VERB].decode('latin-1')}'")

    def _handle_ping(self, entry: PendingReply, parts: list[bytes]) -> None:
        if len(parts) == 1:
            entry.reply = PONG
            return
        payload = parts[1]
        if not self.frontend.buffered.fits(len(payload)):
            self._reject_for_capacity(entry)
            return
        entry.reply = resp_codec.encode_bulk(payload)
        self.replies.reserve(entry, len(payload))

    def _handle_request(self, entry: PendingReply, parts: list[bytes]) -> None:
        """Submit a request. Its reply comes through `complete`, or at once where it is rejected or invalid."""
        frontend = self.frontend
        self._received_request = True
        if self._closing:  # it was received before our half is closed, but no attempt may start any more
            entry.reply = REJECTED.reply
            return
        try:
            request = frontend.commands.to_request(parts)
        except InvalidCommandError as error:
            self._invalid_command(entry, str(error))
            return
        if frontend.requests.is_open(request.id):
            # Workers identify requests by id: they would take another request with this id for a hedged one.
            self._invalid_command(entry, "id: a request with this id is open")
            return
        self.input.valid_request_received()
        if self._arrived_ms + request.timeout_ms <= frontend.now_ms():
            frontend.counts["expired"] += 1
            entry.reply = REJECTED.reply
            return
        size = sum(map(len, parts))
        if not frontend.buffered.fits(size):
            self._reject_for_capacity(entry)
            return

        def complete(reply: bytes) -> None:
            """Write the request's reply when all earlier ones are written."""
            if not self._has_memory_for(entry, reply):
                frontend.counts["reply_discarded"] += 1
                reply = FAILED_REPLY
            self.replies.complete(entry, reply)
            self._flush()

        self.replies.reserve(entry, size)
        deadline_ms = frontend.deadline_ms(self._arrived_ms, request.timeout_ms)
        self._turn_requests += 1
        entry.request = frontend.requests.submit(request, deadline_ms, complete, self.has_disconnected)
        if entry.request is None:
            self._reject_for_capacity(entry)

    def _has_memory_for(self, entry: PendingReply, reply: bytes) -> bool:
        """Tell whether a reply is written and sent at once, or may wait: for earlier ones, or for a client to read."""
        if len(reply) <= MAX_UNCOUNTED_REPLY:
            return True
        if self.replies.pending[0] is not entry and not self.frontend.buffered.fits(len(reply) - entry.buffered_bytes):
            return False
        return not self._write_buffer_full or self.frontend.unsent.fits(len(reply))

    def has_disconnected(self) -> bool:
        """Tell whether the client has closed, even if the event loop has not reported it yet.

        While the connection is not read, the event loop would report it only after the unread bytes.
        """
        if not has_unread_close(self.transport.getHandle()):
            return False
        self.frontend.reactor.callLater(0, self._drop_if_open)
        return True

    def _drop_if_open(self) -> None:
        if self.connected and not self._write_closed:
            self.readConnectionLost()

    def _reject_for_capacity(self, entry: PendingReply) -> None:
        self.frontend.counts["full"] += 1
        entry.reply = REJECTED.reply

    def _invalid_command(self, entry: PendingReply, reason: str) -> None:
        """Reply with an error and pause: a flood of invalid commands would take the event loop's time from others."""
        self.frontend.counts["unfit"] += 1
        entry.reply = resp_codec.encode_error(b"ERR " + reason.encode("ascii", "replace"))
        if not self._closing:
            self.input.invalid_command_received()

    def _resume_input(self) -> None:
        """End the pause and process what was buffered during it."""
        self.input.end(self.resume_reading)
        if self.input.buffered and self.reader.error is None:
            self.frontend.input_scheduler.submit(self)
        self._count_incoming()

    def _process_all_buffered(self) -> None:
        """Process what was received before our half is closed."""
        self.input.end(self.resume_reading)
        self.frontend.input_scheduler.remove(self)
        self.end_waiting()
        if self.input.buffered and self.reader.error is None:
            self._process(self.input.take_buffered())
        self._count_incoming()

    def _protocol_error(self, line: bytes) -> None:
        """Stop parsing. Commands received completely before still get their replies; then this error line is sent."""
        self.frontend.counts["unreadable"] += 1
        self.input.end(self.resume_reading)  # what still comes is discarded, not buffered
        self._stop_parsing()
        self.replies.append(PendingReply(resp_codec.encode_error(line)))
        self._flush()

    def _stop_parsing(self) -> None:
        """Parse nothing more, and free the bytes of a command that will not be complete."""
        self.input.take_buffered()
        if self.reader.error is None:
            self.reader.fail(RespProtocolError("nothing more is read"))
        self._count_incoming()

    def _write_ready(self) -> None:
        """Write the replies up to the first open request."""
        data = self.replies.take_ready()
        if not data:
            return
        self.transport.write(data)
        if self._write_buffer_full:
            self._unsent += len(data)
            self.frontend.unsent.reserve(len(data))

    def pause_began(self) -> None:
        """Count what comes from now on as having arrived now."""
        self._arrival.pause_began()

    def pause_ended(self) -> None:
        """Count what is not in the socket yet from when it is read."""
        self._arrival.pause_ended(self.transport.getHandle())

    def resumeProducing(self) -> None:
        """Release the bytes that the client has read, and read again."""
        self._release_unsent()
        super().resumeProducing()

    def _release_unsent(self) -> None:
        self.frontend.unsent.release(self._unsent)
        self._unsent = 0

    def _flush(self) -> None:
        """Write the replies that are ready, then enter the state that follows."""
        self._write_ready()
        if self._closing:
            if self._rejected and not self.input.buffered and self._has_something_to_reject:
                self._rejected = False
                self._close_write_half()
            return
        if self.reader.error is not None and not self.replies.pending:
            self.shutdown_write()
            return
        state = self._next_state()
        if state is not self.state:
            self.frontend.set_state(self, state)
        # A connection without a request yet is about to send one; the frontend's sweep closes it after a short time.
        if self.frontend.draining and state is IDLE and self._received_request:
            self.shutdown_write()

    @property
    def _has_something_to_reject(self) -> bool:
        return self._received_command or self.reader.error is not None

    def _next_state(self) -> ConnectionState:
        if self.reader.error is not None:
            return BUSY
        if not self._received_command:
            return NEW
        if self._is_waiting and self.input.buffered:
            return BUSY
        if self.reader.has_partial:
            return PARTIAL_COMMAND
        return BUSY if self.replies.pending else IDLE

    def shutdown_write(self) -> None:
        """Accept no more requests, write the ready replies, close our half, then wait for the client's."""
        if self._closing:
            return
        self._closing = True
        self.frontend.set_state(self, CLOSING)
        self._process_all_buffered()
        self._close_write_half()

    def _close_write_half(self) -> None:
        # While registered as producer the transport would not close after a full write buffer has drained.
        self.transport.unregisterProducer()
        self.transport.resumeProducing()
        self.transport.loseWriteConnection()

    def writeConnectionLost(self) -> None:
        """Discard what is received from now on: all is written and our half is closed."""
        self._write_closed = True
        self._release_unsent()
        self._stop_parsing()

    def readConnectionLost(self) -> None:
        """Cancel open requests and close: the client has closed its half."""
        self._cancel_all()
        if not self._closing:
            self.frontend.set_state(self, CLOSING)
        self._closing = True
        self._write_closed = True
        self.transport.unregisterProducer()
        self.transport.loseConnection()

    def fail_all(self) -> None:
        """Reply to open requests that they failed, and close."""
        self._fail_open()
        self._write_ready()
        self.shutdown_write()

    def _fail_open(self) -> None:
        self.replies.fail_open(FAILED_REPLY)

    def command_overdue(self) -> None:
        """End parsing if the rest of a command is late, unless it waits here to be read or parsed."""
        since_s = self.state_since_s
        reading_paused = self.input.reading_paused or self._write_buffer_full
        self._resume_input()
        if self.state_since_s == since_s and not reading_paused:
            self.frontend.counts["overdue"] += 1
            self._protocol_error(RespProtocolError("a command did not come whole in time").error_line)

    def abort(self) -> None:
        """Close without writing the outstanding replies."""
        self._closing = True
        self._write_closed = True
        self.transport.abortConnection()

    def _cancel_all(self) -> None:
        self.frontend.input_scheduler.remove(self)
        self.input.cancel_timer()
        self.replies.clear()
        self._stop_parsing()

    def connectionLost(self, reason: Failure = protocol.connectionDone) -> None:
        """Release all resources of the connection."""
        self._closing = True
        self._write_closed = True
        self.frontend.descriptors -= 1
        self.cancel_write_timeout()
        self._release_unsent()
        self._cancel_all()
        self.frontend.remove(self)
