"""JSON-RPC 2.0 over TCP, one line each: `call` has this instance carry a request out, `state` returns its report.

call {"method", "path", "host"?, "headers"?, "body"?}  ->  {"status", "headers", "body", "worker", "attempts"}
errors: -32001 rejected (can be retried safely)  -32002 failed (may have been executed)  -32003 unroutable

    OPEN --client's half closed--> INPUT ENDED: open calls are answered --last response--> closed
    OPEN --line too long, or too many connections--> REJECTED: our half is closed --client closes, or 1 s--> closed
"""

from __future__ import annotations

from collections import Counter, deque
from typing import Any

from twisted.internet import interfaces, protocol
from twisted.python.failure import Failure
from zope.interface import implementer

from anisefront.frontends.backpressure import Backpressure
from anisefront.frontends.errors import InvalidParamsError
from anisefront.frontends.input_scheduler import InputScheduler
from anisefront.frontends.jsonrpc_dispatcher import CallDispatcher
from anisefront.frontends.jsonrpc_responses import UNROUTABLE, LineResponse, Response, encode_response
from anisefront.gateway.errors import UnroutableRequestError
from anisefront.protocols import jsonrpc
from anisefront.upstream.direct_requests import FinalResponse

MAX_CONNECTIONS = 512
MAX_LINE_BYTES = 1 << 20
MAX_OUTSTANDING_CALLS = 1024  # of one connection
WRITE_TIMEOUT_S = 20.0  # a client that reads nothing for this time is aborted
REJECTION_READ_TIMEOUT_S = 1.0  # for a client to read why its connection ends
CAP_RETRY_AFTER_MS = 1000.0
MAX_REPORTED_METHOD = 60  # characters


class _OutstandingCall:
    """A call whose request has no final response yet."""

    __slots__ = ("_connection", "_line", "call", "ended", "number")

    def __init__(self, connection: JsonRpcConnection, call: jsonrpc.Call, line: LineResponse) -> None:
        self._connection = connection
        self._line = line
        self.call = call
        self.number: int | None = None
        self.ended = False

    def complete(self, response: FinalResponse) -> None:
        """Pass the final response on to the client."""
        self.ended = True
        self._connection.call_ended(self)
        self.add_response(response)
        self._connection.close_if_complete()

    def add_response(self, response: FinalResponse) -> None:
        """Add the response to the line's."""
        self._line.add(None if self.call.is_notification else encode_response(self.call.id, response))

    def add_error(self, code: int, message: str) -> None:
        """Add an error to the line's response."""
        self._line.add(None if self.call.is_notification else jsonrpc.error_response(self.call.id, code, message))


@implementer(interfaces.IHalfCloseableProtocol)
class JsonRpcConnection(Backpressure):
    """One connection of a client. Responses are written as they are complete, not in the order of the calls."""

    def __init__(self, factory: JsonRpcFactory) -> None:
        """Create the protocol of a new connection."""
        self.factory = factory
        self._lines = jsonrpc.LineSplitter(factory.max_line_bytes)
        self._open_requests: set[int] = set()
        self._outstanding_calls = 0
        self._unprocessed_lines: deque[bytes] = deque()
        self._input_ended = False  # by the client, or by us as we reject what follows

    # ---- Twisted's events -----------------------------------------------------------------------

    def connectionMade(self) -> None:
        """Accept the connection, or reject it if there are too many."""
        self.transport.setTcpNoDelay(True)
        self.transport.setTcpKeepAlive(True)
        self.start_backpressure(self.factory.reactor, self.factory.write_timeout_s, self.transport.abortConnection)
        # A rejected connection stays open until its client has read why. It must not count as a connection, or
        # many rejected clients would exclude others for which there is capacity again.
        if len(self.factory.connections) < self.factory.max_connections:
            self.factory.connections.add(self)
        else:
            self.factory.counts["connections_refused"] += 1
            self._reject("too many connections")

    def dataReceived(self, data: bytes) -> None:
        """Process the complete lines."""
        if self._input_ended:
            return
        try:
            lines = self._lines.feed(data)
        except jsonrpc.LineTooLongError as error:
            self.factory.counts["lines_too_long"] += 1
            self._reject(str(error))
            return
        self._enqueue(lines)

    def readConnectionLost(self) -> None:
        """Answer the open calls, then close: the client sends no more, but still reads."""
        if not self._input_ended:
            self._enqueue(self._lines.finish())
        self._input_ended = True
        self.close_if_complete()

    def writeConnectionLost(self) -> None:
        """Do nothing: our half is closed."""

    def connectionLost(self, reason: Failure = protocol.connectionDone) -> None:
        """Cancel the open requests."""
        self.factory.connections.discard(self)
        self.factory.input_scheduler.remove(self)
        self.cancel_write_timeout()
        self._cancel_requests()

    # ---- lines ----------------------------------------------------------------------------------

    def _enqueue(self, lines: list[bytes]) -> None:
        # One read returns hundreds of short lines. Processed in one event loop iteration, they would delay all other
        # connections.
        self._unprocessed_lines.extend(lines)
        if self._unprocessed_lines:
            self.factory.input_scheduler.submit(self)

    def take_turn(self, max_bytes: int) -> bool:
        """Process lines up to `max_bytes`, at least one; return whether some are left."""
        while self._unprocessed_lines and max_bytes > 0:
            line = self._unprocessed_lines.popleft()
            max_bytes -= len(line)
            self._process_line(line)
        if self._unprocessed_lines:
            return True
        self.close_if_complete()
        return False

    def begin_waiting(self) -> None:
        """Stop reading until the lines have had their turns."""
        self.pause_reading()

    def end_waiting(self) -> None:
        """Read again."""
        self.resume_reading()

    def _process_line(self, data: bytes) -> None:
        is_batch, calls = jsonrpc.parse_line(data)
        line = LineResponse(self._write, is_batch, len(calls))
        for call in calls:
            self._process_call(call, line)

    # ---- calls ----------------------------------------------------------------------------------

    def _process_call(self, call: jsonrpc.Call | jsonrpc.InvalidCall, line: LineResponse) -> None:
        if isinstance(call, jsonrpc.InvalidCall):
            self.factory.counts["calls_invalid"] += 1
            line.add(jsonrpc.error_response(call.id, call.code, call.message))
        elif call.method == "call":
            self._submit(_OutstandingCall(self, call, line))
        elif call.method == "state":
            line.add(
                None if call.is_notification else jsonrpc.result_response(call.id, self.factory.dispatcher.state())
            )
        else:
            message = f"no method {call.method[:MAX_REPORTED_METHOD]!r}: call, state"
            line.add(
                None if call.is_notification else jsonrpc.error_response(call.id, jsonrpc.METHOD_NOT_FOUND, message)
            )

    def _submit(self, outstanding: _OutstandingCall) -> None:
        if self._outstanding_calls >= self.factory.max_outstanding_calls:
            outstanding.add_response(
                FinalResponse(is_rejected=True, retry_after_ms=CAP_RETRY_AFTER_MS, reason="too-many-calls")
            )
            return
        self._outstanding_calls += 1
        try:
            outstanding.number = self.factory.dispatcher.submit(outstanding.call.params, outstanding.complete)
        except InvalidParamsError as error:
            self._outstanding_calls -= 1
            outstanding.add_error(jsonrpc.INVALID_PARAMS, str(error))
            return
        except UnroutableRequestError as error:
            self._outstanding_calls -= 1
            outstanding.add_error(UNROUTABLE, str(error))
            return
        if outstanding.number is not None and not outstanding.ended:
            self._open_requests.add(outstanding.number)

    def call_ended(self, outstanding: _OutstandingCall) -> None:
        """Release the capacity of a call."""
        self._outstanding_calls -= 1
        self._open_requests.discard(outstanding.number)

    def _write(self, response: Response | list[Response]) -> None:
        if self.connected:
            self.transport.write(jsonrpc.encode_line(response))

    # ---- closing --------------------------------------------------------------------------------

    def close_if_complete(self) -> None:
        """Close the connection if the client sends no more and all its calls are answered."""
        if self._input_ended and not self._outstanding_calls and not self._unprocessed_lines:
            self.transport.loseConnection()

    def _reject(self, reason: str) -> None:
        """Send an error and close our half; discard input until the client closes, or the timeout aborts.

        A full close over unread input would reset the connection, and the reset discards an error that the client has
        not read.
        """
        self._write(jsonrpc.error_response(None, jsonrpc.INVALID_REQUEST, reason))
        self._input_ended = True
        self._cancel_requests()
        self.transport.unregisterProducer()
        self.transport.loseWriteConnection()
        self.factory.reactor.callLater(REJECTION_READ_TIMEOUT_S, self.transport.abortConnection)

    def _cancel_requests(self) -> None:
        """Cancel all open requests: no client waits for them."""
        for number in list(self._open_requests):
            self.factory.dispatcher.cancel(number)
        self._open_requests.clear()
        self._outstanding_calls = 0
        self._unprocessed_lines.clear()


class JsonRpcFactory(protocol.ServerFactory):
    """A listener and its caps."""

    noisy = False

    def __init__(
        self,
        reactor: Any,
        dispatcher: CallDispatcher,
        max_connections: int = MAX_CONNECTIONS,
        max_line_bytes: int = MAX_LINE_BYTES,
        max_outstanding_calls: int = MAX_OUTSTANDING_CALLS,
        write_timeout_s: float = WRITE_TIMEOUT_S,
        input_scheduler: InputScheduler | None = None,
    ) -> None:
        """Create the factory of a listener; `input_scheduler` is one that other listeners share."""
        self.reactor = reactor
        self.dispatcher = dispatcher
        self.max_connections = max_connections
        self.max_line_bytes = max_line_bytes
        self.max_outstanding_calls = max_outstanding_calls
        self.write_timeout_s = write_timeout_s
        self.input_scheduler = input_scheduler or InputScheduler(reactor)
        self.connections: set[JsonRpcConnection] = set()
        self.counts: Counter[str] = Counter()

    def buildProtocol(self, address: object) -> JsonRpcConnection:
        """Create the protocol of a new connection."""
        return JsonRpcConnection(self)
