"""RESP frontend, worker connections, discovery watch and peer datagrams, in memory and with a simulated clock."""

import gc

import pytest
from test_node_wire import ASK, DO, SERVED_REPLY, chunked_response
from test_pool import Transport as PoolTransport
from test_rules import settings
from twisted.internet import error
from twisted.internet.testing import MemoryReactorClock
from twisted.python.failure import Failure

from anisefront.upstream.connection_pool import ConnectionPool, PoolLimits
from anisefront.gateway.request_table import RequestTable
from anisefront.resp_gateway import client_connection
from anisefront.resp_gateway import connection_limits
from anisefront.resp_gateway import input_pause
from anisefront.resp_gateway import resp_codec
from anisefront.resp_gateway.resp_requests import RespRequests, WorkerConnectionCodec
from anisefront.resp_gateway.connection_limits import ConnectionLimits
from anisefront.resp_gateway.resp_frontend import RespFrontend
from anisefront.daemon.peer_port import PeerPort
from anisefront.resp_gateway.unauthenticated_datagrams import UnauthenticatedDatagrams
from anisefront.resp_gateway.command_mapping import CommandMapper
from anisefront.resp_gateway.discovery_watch import DiscoveryWatch
from anisefront.policy.actions import Fail, Reject, RejectionReason, StartAttempt
from anisefront.policy.events import AttemptEnded, AttemptResult, Endpoint, EndpointList, EndpointStatus


class ScriptedController:
    """Controller that records events and returns the actions that the test sets."""

    def __init__(self):
        self.arrivals, self.ends, self.next = [], [], []

    def handle(self, now, events):
        for event in events:
            name = type(event).__name__
            if name == "Arrival":
                self.arrivals.append(event)
            elif name in ("AttemptEnded", "ClientDisconnected"):
                self.ends.append(event)
        out, self.next = self.next, []
        return out


class Transport(PoolTransport):
    """Transport that records whether reading is paused."""

    def __init__(self):
        super().__init__()
        self.paused = False

    def pauseProducing(self):
        self.paused = True

    def resumeProducing(self):
        self.paused = False

    def abortConnection(self):
        if not self.aborted:
            super().abortConnection()

    def take(self):
        """Return and clear what was written."""
        data = self.value()
        self.clear()
        return data


class GatewayHarness:
    """Frontend, worker requests and connection pool around a scripted controller."""

    def __init__(self, **limits):
        self.reactor, self.controller = MemoryReactorClock(), ScriptedController()
        self.address = {"s1": ("127.0.0.1", 7001), "s2": ("127.0.0.1", 7002)}
        now = lambda: self.reactor.seconds() * 1000 + 1000  # noqa: E731
        self.request_table = RequestTable(self.controller, now, self.reactor)
        self.request_table.update_endpoints(
            EndpointList(tuple(Endpoint(name, "z", 0, EndpointStatus.READY) for name in self.address))
        )
        self.pool = ConnectionPool(
            self.reactor,
            PoolLimits(
                quiet_period_s=0.01,
                stall_timeout_s=0.4,
                max_connections=limits.pop("max_connections_to_endpoints", 0),
                max_incoming_bytes=limits.pop("max_incoming_bytes_from_endpoints", 0),
            ),
            WorkerConnectionCodec,
            self.address.get,
        )
        self.resp_requests = RespRequests(self.request_table, self.pool, ("util", "inflight"))
        self.frontend = RespFrontend(
            self.reactor, self.resp_requests, CommandMapper(settings()), now, ConnectionLimits(**limits)
        )

    def client(self):
        """Open a client connection; None if it is closed at once."""
        protocol = self.frontend.buildProtocol(None)
        if protocol is None:
            return None
        transport = Transport()
        transport.protocol = protocol
        protocol.makeConnection(transport)
        return transport

    def send(self, client, *commands):
        """Receive commands from a client and run an iteration."""
        client.protocol.dataReceived(b"".join(map(resp_codec.encode_command, commands)))
        self.run_iteration()

    def run_iteration(self, *actions):
        """Run an event loop iteration in which the controller returns these actions."""
        self.controller.next = list(actions)
        self.request_table.batches.schedule_iteration()
        self.reactor.advance(0)

    def connect_worker(self, full=False):
        """Establish the connection that was requested last; `full`: the kernel accepts no written bytes."""
        return self.connect_transport(self.reactor.tcpClients[-1][2], full)

    @staticmethod
    def connect_transport(factory, full=False):
        """Return the transport of a new connection of a factory."""
        transport = Transport()
        transport.full = full
        transport.protocol = factory.buildProtocol(None)
        transport.protocol.makeConnection(transport)
        return transport


def command_with_id(number, parts=ASK):
    """Return the command with another request id."""
    return [parts[0], parts[1], b"%016x" % number, *parts[3:]]


def test_requests_to_one_worker_reuse_its_connection():
    harness = GatewayHarness()
    client = harness.client()
    harness.send(client, [b"PING"])
    assert client.take() == b"+PONG\r\n"
    harness.send(client, ASK)
    (arrival,) = harness.controller.arrivals
    assert (arrival.customer, arrival.units, arrival.spread, arrival.first_gateway) == ("00000000b4d65521", 2.0, 3, 1)
    harness.run_iteration(StartAttempt(arrival.id, "s1", 400.0))
    worker = harness.connect_worker()
    assert worker.take() == resp_codec.encode_command([*ASK[:3], ASK[3].replace(b"480", b"400")])
    worker.protocol.dataReceived(SERVED_REPLY)
    harness.run_iteration()
    assert client.take() == b"$5\r\nva\r\nl\r\n" and harness.controller.ends[0].result is AttemptResult.OK
    harness.reactor.advance(0.02)
    harness.send(client, command_with_id(2))
    harness.run_iteration(StartAttempt(harness.controller.arrivals[1].id, "s1", 400.0))
    assert len(harness.reactor.tcpClients) == 1 and b"%016x" % 2 in worker.take()


def test_replies_keep_the_order_of_commands():
    harness = GatewayHarness()
    client = harness.client()
    harness.send(client, ASK, command_with_id(2), [b"PING"])
    first, second = harness.controller.arrivals
    harness.run_iteration(Reject(second.id, 250.0, RejectionReason.CAPACITY))
    assert client.take() == b""
    harness.run_iteration(Fail(first.id))
    assert client.take() == b"-ERR failed\r\n-BUSY 250\r\n+PONG\r\n"


def test_invalid_commands_get_errors_and_pause_parsing():
    harness = GatewayHarness()
    client = harness.client()
    harness.send(client, command_with_id(2, [ASK[0], ASK[1], ASK[2], ASK[3].replace(b"look", b"gold")]), [b"FLUSHALL"])
    assert not harness.controller.arrivals
    assert client.take() == b"-ERR c: no such class\r\n-ERR unknown command 'FLUSHALL'\r\n"
    harness.send(client, [b"PING"], command_with_id(3))
    harness.reactor.advance(input_pause.PAUSE_S - 0.01)
    assert client.take() == b"" and not harness.controller.arrivals and not client.disconnecting
    harness.reactor.advance(0.02)
    harness.run_iteration()
    assert client.take() == b"+PONG\r\n" and len(harness.controller.arrivals) == 1


def test_duplicate_open_request_id_is_rejected_and_the_first_request_continues():
    harness = GatewayHarness()
    first, second = harness.client(), harness.client()
    harness.send(first, ASK)
    harness.send(second, ASK)
    assert second.take().startswith(b"-ERR id") and len(harness.controller.arrivals) == 1
    harness.run_iteration(Reject(harness.controller.arrivals[0].id, 0.0))
    assert first.take() == b"-BUSY\r\n"


def test_protocol_error_ends_the_connection_after_earlier_replies():
    """Guards against failing open requests that were sent correctly before the invalid bytes."""
    harness = GatewayHarness()
    client = harness.client()
    harness.send(client, ASK)
    client.protocol.dataReceived(
        resp_codec.encode_command([b"PING"])
        + resp_codec.encode_command(command_with_id(2))
        + b"*1\r\n$62914560\r\n"
        + b"x" * 999
    )
    harness.run_iteration()
    assert client.take() == b"" and not client.disconnecting and not harness.controller.ends
    client.protocol.dataReceived(resp_codec.encode_command(command_with_id(3)))
    harness.run_iteration(Reject(2, 0.0), Reject(1, 40.0))
    assert client.take() == b"-BUSY 40\r\n+PONG\r\n-BUSY\r\n-ERR Protocol error: invalid bulk length\r\n"
    assert client.disconnecting and len(harness.controller.arrivals) == 2


def test_commands_above_the_open_command_cap_are_rejected_in_order():
    """Guards against fewer replies than commands: 10 commands in one read above 60 open ones got one reply."""
    harness = GatewayHarness()
    client = harness.client()
    harness.send(client, *[command_with_id(n) for n in range(60)])
    harness.send(client, *[command_with_id(n) for n in range(60, 70)])
    max_open = client_connection.MAX_OPEN_COMMANDS
    assert len(harness.controller.arrivals) == max_open and client.take() == b"" and not client.disconnecting
    harness.run_iteration(*[Reject(each.id, 40.0) for each in harness.controller.arrivals])
    assert client.take() == b"-BUSY 40\r\n" * max_open + b"-BUSY 250\r\n" * (70 - max_open)
    harness.send(client, command_with_id(70))
    assert len(harness.controller.arrivals) == max_open + 1 and not client.disconnecting


def test_all_pings_of_one_read_are_answered():
    harness = GatewayHarness()
    client = harness.client()
    harness.send(client, *[[b"PING"]] * 500)
    assert client.take() == b"+PONG\r\n" * 500 and not client.disconnecting
    harness.send(client, [b"PING"])
    assert client.take() == b""  # parsing is paused after a long batch
    harness.reactor.advance(input_pause.PAUSE_S)
    assert client.take() == b"+PONG\r\n" and not client.disconnecting


def test_commands_that_overflow_the_pause_buffer_are_rejected():
    harness = GatewayHarness(max_incoming_bytes=1000)
    client = harness.client()
    harness.send(client, [b"FLUSHALL"])
    harness.send(client, *[command_with_id(n) for n in range(5)])
    harness.send(client, *[command_with_id(n) for n in range(5, 10)])
    assert client.take().endswith(b"'FLUSHALL'\r\n" + b"-BUSY 250\r\n" * 10) and not client.disconnecting
    assert not harness.controller.arrivals and harness.frontend.incoming.used == 0 and client.paused
    harness.reactor.advance(input_pause.PAUSE_S)
    harness.send(client, command_with_id(11))
    assert len(harness.controller.arrivals) == 1 and not client.paused


def test_commands_received_while_closing_are_answered_before_the_protocol_error():
    harness = GatewayHarness()
    client = harness.client()
    harness.send(client, [b"PING"])
    harness.frontend.close_idle()
    client.take()
    client.protocol.dataReceived(
        resp_codec.encode_command([b"PING"]) + resp_codec.encode_command(command_with_id(2)) + b"no RESP"
    )
    assert client.take() == b"+PONG\r\n-BUSY 250\r\n-ERR Protocol error: expected '*'\r\n"


def test_partial_command_completed_during_a_pause_is_not_overdue(monkeypatch):
    monkeypatch.setattr(input_pause, "MAX_PAUSE_S", 2 * connection_limits.FIRST_COMMAND_TIMEOUT_S)
    harness = GatewayHarness()
    client = harness.client()
    for _ in range(4):
        harness.send(client, [b"FLUSHALL"])
        harness.reactor.advance(0.8)
    patient = [*ASK[:3], ASK[3].replace(b"d=480", b"d=5000")]
    whole = resp_codec.encode_command(command_with_id(5, patient))
    client.protocol.dataReceived(
        resp_codec.encode_command([b"FLUSHALL"]) + whole[:9]
    )  # the pause is longer than the timeout for a partial command
    client.protocol.dataReceived(whole[9:])
    for _ in range(12):
        harness.reactor.advance(0.1)
    assert len(harness.controller.arrivals) == 1 and not client.disconnecting


def test_partial_command_is_not_overdue_while_reading_is_paused():
    harness = GatewayHarness()
    client = harness.client()
    whole = resp_codec.encode_command(command_with_id(5))
    client.protocol.dataReceived(whole[:9])
    client.protocol.pauseProducing()  # the client does not read: the write buffer is full
    for _ in range(12):
        harness.reactor.advance(0.1)
    assert client.paused and not client.disconnecting
    client.protocol.resumeProducing()
    client.protocol.dataReceived(whole[9:])
    harness.run_iteration()
    assert len(harness.controller.arrivals) == 1


def test_overdue_partial_command_ends_the_connection_after_earlier_replies():
    harness = GatewayHarness()
    client = harness.client()
    harness.send(client, ASK)
    client.protocol.dataReceived(b"*1\r\n")
    for _ in range(12):
        harness.reactor.advance(0.1)
    assert not client.disconnecting and not harness.controller.ends
    harness.run_iteration(Reject(1, 0.0))
    assert client.take().startswith(b"-BUSY\r\n-ERR Protocol error: a command did not") and client.disconnecting


def test_endless_invalid_bytes_abort_the_connection_after_outstanding_replies():
    harness = GatewayHarness()
    client = harness.client()
    harness.send(client, ASK)
    sent = 0
    while not client.aborted and sent < 4 * client_connection.MAX_DISCARDED:
        client.protocol.dataReceived(b"x" * 65536)
        sent += 65536
    assert client.aborted and client.take() == b"-ERR failed\r\n-ERR Protocol error: a line of over 16 bytes\r\n"


def test_pending_replies_are_bounded():
    harness = GatewayHarness(max_buffered_bytes=100_000)
    client = harness.client()
    harness.send(client, ASK)
    value = [b"PING", b"v" * 30_000]
    for _ in range(10):
        harness.send(client, value)
    assert harness.frontend.buffered.used <= 100_000
    for _ in range(10):
        harness.send(client, *[[b"PING"]] * 500)
        assert len(client.protocol.replies.pending) < 5000 and harness.frontend.buffered.used <= 100_000
        harness.reactor.advance(input_pause.PAUSE_S)
    replies = client.take()
    assert replies.startswith(b"-ERR failed\r\n$30000") and replies.endswith(b"+PONG\r\n" * 500)
    assert replies.count(b"\r\n") == 1 + 10 + 3 + 10 * 500 and not client.disconnecting
    assert [type(end).__name__ for end in harness.controller.ends] == [
        "ClientDisconnected"
    ] and harness.frontend.buffered.used == 0


def test_silent_connections_and_partial_commands_time_out():
    harness = GatewayHarness()
    silent, half, later = harness.client(), harness.client(), harness.client()
    half.protocol.dataReceived(b"*2\r\n$4\r\nPI")
    harness.send(later, [b"PING"])
    later.protocol.dataReceived(b"*1\r\n")
    for _ in range(13):
        harness.reactor.advance(0.1)
    assert all(client.disconnecting and client.take().endswith(b"in time\r\n") for client in (silent, half, later))
    assert not harness.frontend.by_state["busy"] and not harness.frontend.by_state["half"]


HALF_LONG_COMMAND = b"*8\r\n" + resp_codec.encode_bulk(b"x" * 20_000) * 4  # 80,000 bytes, the rest never comes


def test_incomplete_commands_of_all_clients_together_stay_within_their_cap():
    """Guards against clients that stop in the middle of a command and together fill the memory of an instance."""
    harness = GatewayHarness(max_incoming_bytes=300_000)
    usual = harness.client()
    whole = resp_codec.encode_command([*command_with_id(1, DO)[:4], b"v" * 10_000])
    usual.protocol.dataReceived(whole[:9_000])
    clients = [harness.client() for _ in range(40)]
    for start in range(0, len(HALF_LONG_COMMAND), 16_384):
        for client in clients:
            client.protocol.dataReceived(HALF_LONG_COMMAND[start : start + 16_384])
            held = sum(each.protocol.reader.incomplete_bytes for each in (usual, *clients))
            assert held == harness.frontend.incoming.used <= 300_000
    usual.protocol.dataReceived(whole[9_000:])
    harness.run_iteration()
    assert len(harness.controller.arrivals) == 1  # the longest commands were discarded, not the usual client's
    for _ in range(12):
        harness.reactor.advance(0.1)
    assert all(client.take().endswith(b"in time\r\n") and client.disconnecting for client in clients)


def test_discarded_command_is_rejected_once_it_is_complete_and_the_connection_continues():
    """Guards against a connection that loses a command, or its place, when its bytes are freed."""
    harness = GatewayHarness(max_incoming_bytes=5_000)
    client = harness.client()
    long = resp_codec.encode_command([*command_with_id(1, DO)[:4], b"v" * 10_000])
    client.protocol.dataReceived(long[:6_000])
    assert harness.frontend.incoming.used < 30 and client.take() == b""
    client.protocol.dataReceived(long[6_000:])
    assert client.take() == b"-BUSY 250\r\n"
    harness.send(client, command_with_id(2))
    assert [arrival.id for arrival in harness.controller.arrivals] == [1] and not client.disconnecting


@pytest.mark.parametrize("end", ["overdue", "malformed", "write side closed", "client has closed", "lost"])
def test_bytes_of_an_incomplete_command_are_freed_when_nothing_more_is_parsed(end):
    """Guards against bytes that stay in memory until a connection is gone, seconds after its error reply."""
    harness = GatewayHarness()
    client = harness.client()
    client.protocol.dataReceived(HALF_LONG_COMMAND)
    assert harness.frontend.incoming.used == 80_000
    if end == "overdue":
        for _ in range(12):
            harness.reactor.advance(0.1)
    elif end == "malformed":
        client.protocol.dataReceived(b"no length\r\n")
    elif end == "write side closed":
        client.protocol.writeConnectionLost()
    elif end == "client has closed":
        client.protocol.readConnectionLost()
    else:
        client.protocol.connectionLost(Failure(error.ConnectionLost()))
    assert harness.frontend.incoming.used == client.protocol.reader.incomplete_bytes == 0
    client.protocol.dataReceived(HALF_LONG_COMMAND)
    assert harness.frontend.incoming.used == client.protocol.reader.incomplete_bytes == 0


def test_paused_input_of_all_clients_together_stays_within_the_same_cap():
    """Guards against clients whose input waits behind invalid commands: their bytes count with incomplete ones."""
    harness = GatewayHarness(max_incoming_bytes=100_000)
    clients = [harness.client() for _ in range(10)]
    flood = resp_codec.encode_command([*command_with_id(1, DO)[:4], b"v" * 10_000])
    for client in clients:
        harness.send(client, [b"FLUSHALL"])
        client.protocol.dataReceived(flood + flood[:5_000])
        assert harness.frontend.incoming.used <= 100_000 and harness.frontend.buffered.used == 0
    assert harness.frontend.incoming.used > 80_000
    assert [client.take().count(b"-BUSY") for client in clients].count(1) == 4 and not harness.controller.arrivals


def test_state_report_tells_the_bytes_of_incomplete_commands():
    """Guards against memory that no report shows: bytes of commands that never become complete."""
    harness = GatewayHarness()
    client = harness.client()
    harness.send(client, ASK)
    assert "incoming_bytes" not in harness.frontend.report()
    client.protocol.dataReceived(b"*2\r\n$4\r\nPING\r\n$50\r\n" + b"x" * 40)
    assert harness.frontend.report()["incoming_bytes"] == 44
    client.protocol.dataReceived(b"x" * 10 + b"\r\n")
    assert harness.frontend.report() == {"incoming_bytes": 0, "incoming_bytes_peak": 44}


def test_partial_command_timeout_restarts_with_each_completed_command():
    harness = GatewayHarness()
    client = harness.client()
    whole = resp_codec.encode_command([b"PING"])
    client.protocol.dataReceived(whole[:5])
    for _ in range(30):
        harness.reactor.advance(0.1)
        client.protocol.dataReceived(whole[5:] + whole[:5])
    assert not client.disconnecting and client.take() == b"+PONG\r\n" * 30


def test_idle_connections_above_the_threshold_are_closed():
    harness = GatewayHarness(idle_close_threshold=1)
    clients = [harness.client() for _ in range(3)]
    for client in clients:
        harness.send(client, [b"PING"])
    harness.reactor.advance(1.9)
    assert not any(client.disconnecting for client in clients)
    for _ in range(3):
        harness.reactor.advance(0.1)
    assert [client.disconnecting for client in clients] == [True, True, False]


def test_connection_without_requests_is_closed_for_a_new_one_at_the_cap():
    harness = GatewayHarness(max_connections=2)
    busy, silent = harness.client(), harness.client()
    harness.send(busy, ASK)
    third = harness.client()
    assert silent.disconnecting and not busy.disconnecting and not silent.aborted
    harness.send(third, command_with_id(2))
    refused = harness.client()
    assert (
        harness.frontend.connections == 2 and harness.frontend.counts["turned_away"] == 1 and not refused.disconnecting
    )
    harness.send(refused, command_with_id(3), [b"PING"])
    assert (
        refused.take() == b"-BUSY 250\r\n+PONG\r\n" and refused.disconnecting and len(harness.controller.arrivals) == 2
    )


def test_closing_connection_is_not_aborted_before_its_replies_are_written():
    harness = GatewayHarness(max_connections=1, max_closing=1)
    first = harness.client()
    harness.send(first, [b"PING"])
    second = harness.client()
    assert first.disconnecting and not second.disconnecting
    assert harness.client() is None and not first.aborted and harness.frontend.counts["closed_unread"] == 1
    first.protocol.writeConnectionLost()
    harness.client()
    assert first.aborted


def test_buffered_request_values_are_capped_and_released():
    first = [*DO[:4], b"x" * 60]
    harness = GatewayHarness(max_buffered_bytes=sum(map(len, first)) + 40)
    client = harness.client()
    harness.send(client, first, [*command_with_id(2, DO)[:4], b"x" * 60])
    assert len(harness.controller.arrivals) == 1
    harness.run_iteration(Fail(harness.controller.arrivals[0].id))
    assert client.take().endswith(b"-BUSY 250\r\n") and harness.frontend.buffered.used == 0


def test_all_parts_of_a_request_count_against_the_cap():
    """Guards against terms of 60 KB, as a key in a class that needs none, which were held beside the counted body."""
    harness = GatewayHarness(max_buffered_bytes=200_000)
    client = harness.client()
    for number in range(1, 11):
        parts = command_with_id(number)
        harness.send(client, [*parts[:3], parts[3] + b",k=" + b"x" * 60_000])
    assert len(harness.controller.arrivals) == 3 and client.protocol.replies.pending[-1].reply == b"-BUSY 250\r\n"
    assert 180_000 < harness.frontend.buffered.used <= 200_000
    harness.run_iteration(*(Reject(number, 0.0) for number in (1, 2, 3)))
    assert harness.frontend.buffered.used == 0


def test_attempt_keeps_no_copy_of_its_request_once_it_is_written():
    """Guards against a second copy of each long value, held from the first byte to the end of its attempt."""
    harness = GatewayHarness()
    client = harness.client()
    harness.send(client, [*command_with_id(1, DO)[:4], b"v" * 60_000])
    harness.run_iteration(StartAttempt(1, "s1", 400.0))
    worker = harness.connect_worker()
    assert b"v" * 60_000 in worker.value()
    exchange = worker.protocol.exchange
    assert not any(len(each) > 60_000 for each in gc.get_referents(exchange) if isinstance(each, bytes))


def test_disconnect_cancels_the_attempts_of_a_client():
    harness = GatewayHarness()
    client = harness.client()
    harness.send(client, ASK)
    harness.run_iteration(StartAttempt(1, "s1", 400.0))
    worker = harness.connect_worker()
    client.protocol.connectionLost(Failure(error.ConnectionDone()))
    harness.run_iteration()
    assert [type(end).__name__ for end in harness.controller.ends] == ["ClientDisconnected"]
    harness.resp_requests.cancel_attempt(1, 0)
    harness.run_iteration()
    assert worker.aborted and harness.controller.ends[1].result is AttemptResult.CANCELLED
    assert (
        not harness.frontend.connections
        and not harness.resp_requests.open_requests
        and not harness.request_table.requests
    )


def test_deadline_allows_for_the_read_delay():
    """Guards against late replies: requests read late by an instance that had just started were answered too late."""
    harness = GatewayHarness()
    harness.send(harness.client(), ASK)
    (arrival,) = harness.controller.arrivals
    timeout_ms = float(ASK[3].split(b"d=")[1].split(b",")[0])
    assert arrival.deadline_at_ms == harness.request_table.now_ms() + timeout_ms - min(100.0, timeout_ms / 10)


def test_drain_serves_late_requests_and_closes_idle_connections():
    harness = GatewayHarness()
    idle, busy = harness.client(), harness.client()
    harness.send(idle, [b"PING"])
    harness.send(busy, ASK)
    harness.frontend.latest_reply_ms = 1200.0
    harness.frontend.close_idle()
    assert idle.disconnecting and not busy.disconnecting
    late = harness.client()
    harness.send(late, command_with_id(2))
    assert harness.controller.arrivals[1].deadline_at_ms == 1200.0
    harness.run_iteration(Reject(1, 0.0), Reject(2, 0.0))
    assert busy.disconnecting and late.disconnecting and late.take() == b"-BUSY\r\n"


def test_end_of_drain_fails_open_requests():
    harness = GatewayHarness()
    client = harness.client()
    harness.send(client, ASK, command_with_id(2))
    harness.frontend.fail_all()
    assert client.take() == b"-ERR failed\r\n" * 2 and client.disconnecting


# ---- workers -------------------------------------------------------------------------------------


def start_attempt(harness, number=1):
    """Start a request's attempt; return the client's transport and that of the worker's connection."""
    client = harness.client()
    harness.send(client, command_with_id(number))
    harness.run_iteration(StartAttempt(harness.controller.arrivals[-1].id, "s1", 1400.0))
    return client, harness.connect_worker()


@pytest.mark.parametrize("noise", [b"HTTP/1.1 200\r\n", b"*3\r\n$3000000000\r\nxxxx", b"*3\r\n$2\r\nlong\r\n", b"\0\0"])
def test_malformed_reply_is_an_error_and_aborts_the_connection(noise):
    harness = GatewayHarness()
    client, worker = start_attempt(harness)
    worker.protocol.dataReceived(noise)
    harness.run_iteration()
    assert worker.aborted and harness.controller.ends[0].result is AttemptResult.ERROR and client.take() == b""


def test_stalled_reply_is_an_error_before_the_attempt_times_out():
    harness = GatewayHarness()
    _, worker = start_attempt(harness)
    worker.protocol.dataReceived(b"*3\r\n$50\r\nshort\r\n")
    harness.reactor.advance(0.41)
    harness.run_iteration()
    assert worker.aborted and harness.controller.ends[0].result is AttemptResult.ERROR


def test_incomplete_replies_of_all_workers_together_stay_within_their_cap():
    """Guards against workers that stop in the middle of long replies and together fill the memory of an instance."""
    harness = GatewayHarness(max_incoming_bytes_from_endpoints=200_000)
    client = harness.client()
    workers = []
    for number in range(1, 13):
        harness.send(client, command_with_id(number))
        harness.run_iteration(StartAttempt(number, "s1", 400.0))
        workers.append(harness.connect_worker())
        size = 10_000 if number == 1 else 60_000  # the first one sends an ordinary reply
        workers[-1].protocol.dataReceived(b"*3\r\n$%d\r\n" % size + b"v" * (size - 5))
        held = sum(each.protocol.reader.incomplete_bytes for each in workers)
        assert held == harness.pool.incoming.used <= 200_000
    workers[0].protocol.dataReceived(b"v" * 5 + b"\r\n$-1\r\n$-1\r\n")
    harness.run_iteration()
    ended = [end.result for end in harness.controller.ends]
    assert ended == [AttemptResult.ERROR] * 8 + [AttemptResult.OK]
    assert harness.pool.counts["response_discarded"] == 8 and client.take().startswith(b"$10000\r\nvv")
    for worker in workers:
        worker.protocol.connectionLost(Failure(error.ConnectionLost()))
    assert harness.pool.incoming.used == 0


@pytest.mark.parametrize("more", [SERVED_REPLY, b"noise"])
def test_bytes_after_a_reply_end_the_connection(more):
    harness = GatewayHarness()
    client, worker = start_attempt(harness)
    worker.protocol.dataReceived(SERVED_REPLY + more)
    assert client.take() == b"$5\r\nva\r\nl\r\n" and worker.disconnecting and not harness.pool._idle
    client, worker = start_attempt(harness, 2)  # and when they arrive in a later segment
    worker.protocol.dataReceived(SERVED_REPLY)
    worker.protocol.dataReceived(more)
    assert worker.aborted and not harness.pool._idle


def test_connection_is_reused_only_after_the_quiet_period():
    harness = GatewayHarness()
    _, worker = start_attempt(harness)
    worker.protocol.dataReceived(SERVED_REPLY)
    assert harness.pool.take_idle("s1") is None  # a duplicate reply may still arrive
    harness.reactor.advance(0.02)
    assert harness.pool.take_idle("s1") is worker.protocol


def test_unread_bytes_prevent_connection_reuse():
    harness = GatewayHarness()
    _, worker = start_attempt(harness)
    worker.protocol.dataReceived(SERVED_REPLY)
    harness.reactor.advance(0.02)
    worker.handle.recv = lambda size, flags: b"*"
    assert harness.pool.take_idle("s1") is None and worker.aborted


def test_attempt_is_discarded_if_its_worker_drains_while_connecting():
    harness = GatewayHarness()
    client = harness.client()
    harness.send(client, ASK)
    harness.run_iteration(StartAttempt(1, "s1", 400.0))
    harness.request_table.update_endpoints(
        EndpointList((Endpoint("s1", "z", 0, EndpointStatus.DRAINING), Endpoint("s2", "z", 0, EndpointStatus.READY)))
    )
    worker = harness.connect_worker()
    harness.run_iteration()
    assert worker.take() == b"" and worker.disconnecting
    assert [each.result for each in harness.controller.ends if isinstance(each, AttemptEnded)] == [
        AttemptResult.DISCARDED
    ]


def test_connections_of_moved_or_removed_workers_are_closed():
    harness = GatewayHarness()
    _, worker = start_attempt(harness)
    harness.address["s1"] = ("127.0.0.1", 7009)
    worker.protocol.dataReceived(SERVED_REPLY)
    assert worker.disconnecting and not harness.pool._idle
    del harness.address["s1"]
    client = harness.client()
    harness.send(client, command_with_id(2))
    harness.run_iteration(StartAttempt(2, "s1", 400.0))
    harness.run_iteration()
    assert harness.controller.ends[-1].result is AttemptResult.DISCARDED


def test_idle_connection_of_another_worker_is_closed_at_the_pool_cap():
    harness = GatewayHarness(max_connections_to_endpoints=1)
    _, worker = start_attempt(harness)
    worker.protocol.dataReceived(SERVED_REPLY)
    client = harness.client()
    harness.send(client, command_with_id(2))
    harness.run_iteration(StartAttempt(2, "s2", 400.0))
    assert worker.aborted and len(harness.reactor.tcpClients) == 2
    harness.send(client, command_with_id(3))
    harness.run_iteration(StartAttempt(3, "s1", 400.0))
    harness.run_iteration()
    assert harness.controller.ends[-1].result is AttemptResult.DISCARDED and harness.pool.counts["no_room"] == 1


# ---- discovery and peers -------------------------------------------------------------------------


class WatchHarness:
    """Discovery watch, the changes that it passed on, and the errors that it reported."""

    def __init__(self):
        self.reactor, self.changes, self.errors = MemoryReactorClock(), [], []
        self.watch = DiscoveryWatch(
            self.reactor, ("127.0.0.1", 8500), lambda: 41, self.changes.append, self.errors.append
        )
        self.watch.start()

    def connect(self, at=-1):
        """Establish the connection that was requested as number `at`."""
        transport = Transport()
        transport.protocol = self.reactor.tcpClients[at][2].buildProtocol(None)
        transport.protocol.makeConnection(transport)
        return transport


SNAPSHOT_RESPONSE = chunked_response(b'{"index":43,"snapshot":true,"endpoints":[]}\n')


def test_ended_or_silent_watch_is_reopened_from_the_known_version():
    harness = WatchHarness()
    link = harness.connect()
    assert b"GET /v1/endpoints?watch=1&from=41 HTTP/1.1" in link.take()
    link.protocol.dataReceived(SNAPSHOT_RESPONSE)
    assert [each.version for each in harness.changes] == [43]
    harness.reactor.advance(3.1)  # the heartbeat is missing
    harness.reactor.advance(0)
    assert len(harness.reactor.tcpClients) == 2
    harness.reactor.tcpClients[-1][2].clientConnectionFailed(None, Failure(error.ConnectionRefusedError()))
    harness.reactor.advance(0.11)
    assert len(harness.reactor.tcpClients) == 3 and not link.aborted
    harness.connect().protocol.dataReceived(SNAPSHOT_RESPONSE)
    assert link.aborted and [each.version for each in harness.changes] == [43, 43]


def test_invalid_watch_is_reported_and_reopened():
    harness = WatchHarness()
    harness.connect().protocol.dataReceived(chunked_response(b"}\n"))
    assert harness.errors and not harness.changes
    harness.reactor.advance(0.2)
    assert len(harness.reactor.tcpClients) == 2


def test_discovery_address_change_closes_the_old_watch():
    harness = WatchHarness()
    old = harness.connect()
    harness.watch.change_address(("127.0.0.1", 8501))
    assert old.aborted and harness.reactor.tcpClients[-1][:2] == ("127.0.0.1", 8501)
    old.protocol.dataReceived(SNAPSHOT_RESPONSE)
    assert not harness.changes
    harness.connect().protocol.dataReceived(SNAPSHOT_RESPONSE)
    assert len(harness.changes) == 1
    harness.reactor.advance(1.0)
    assert len(harness.reactor.tcpClients) == 2


class RecordingTransport:
    """UDP transport that records what is sent."""

    def __init__(self):
        self.out = []

    def write(self, data, address):
        self.out.append((data, address))


def test_peer_datagrams_are_checked_by_address_and_length():
    received = []
    port = PeerPort(
        UnauthenticatedDatagrams(1, (("127.0.0.2", 1), ("127.0.0.1", 1))), lambda *each: received.append(each)
    )
    port.transport = RecordingTransport()
    port.send(0, b"x" * 256)
    port.send(0, b"x" * 257)
    port.send(1, b"to ourselves")
    port.send(-1, b"to all")
    assert port.transport.out == [(b"x" * 256, ("127.0.0.2", 1))]
    port.datagramReceived(b"a", ("127.0.0.2", 1))
    port.datagramReceived(b"b", ("127.0.0.2", 2))
    port.datagramReceived(b"c" * 300, ("127.0.0.2", 1))
    assert received == [(0, b"a")]
