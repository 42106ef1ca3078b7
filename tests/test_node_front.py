"""The platform's front, carrier, pool, watch and peers in memory: one test a danger, each with an exact clock."""

import pytest
from test_node_wire import ASK, DO, SERVED, chunked
from test_pool import Transport as Socket
from test_rules import settings
from twisted.internet import error
from twisted.internet.testing import MemoryReactorClock
from twisted.python.failure import Failure

from anisefront.upstream.connection_pool import ConnectionPool, PoolLimits
from anisefront.gateway.request_table import RequestTable
from anisefront.resp_gateway import client_connection
from anisefront.resp_gateway import input_pause
from anisefront.resp_gateway import resp_codec
from anisefront.resp_gateway.resp_requests import RespRequests, WorkerConnectionCodec
from anisefront.resp_gateway.connection_limits import ConnectionLimits
from anisefront.resp_gateway.resp_frontend import RespFrontend
from anisefront.daemon.peer_port import PeerPort
from anisefront.resp_gateway.bare_datagrams import BareDatagrams
from anisefront.resp_gateway.command_mapping import CommandMapper
from anisefront.resp_gateway.discovery_watch import DiscoveryWatch
from anisefront.policy.actions import Fail, Reject, RejectionReason, StartAttempt
from anisefront.policy.events import AttemptEnded, AttemptResult, Endpoint, EndpointList, EndpointStatus


class ScriptedController:
    """A module that does what the test says."""

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


class Transport(Socket):
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
        data = self.value()
        self.clear()
        return data


class GatewayHarness:
    """A front, a carrier and a pool around a scripted module."""

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
            PoolLimits(quiet_period_s=0.01, stall_timeout_s=0.4, max_connections=limits.pop("most", 0)),
            WorkerConnectionCodec,
            self.address.get,
        )
        self.resp_requests = RespRequests(self.request_table, self.pool, ("util", "inflight"))
        self.frontend = RespFrontend(
            self.reactor, self.resp_requests, CommandMapper(settings()), now, ConnectionLimits(**limits)
        )

    def client(self):
        protocol = self.frontend.buildProtocol(None)
        if protocol is None:
            return None
        transport = Transport()
        transport.protocol = protocol
        protocol.makeConnection(transport)
        return transport

    def send(self, client, *commands):
        client.protocol.dataReceived(b"".join(map(resp_codec.encode_command, commands)))
        self.run_iteration()

    def run_iteration(self, *actions):
        """Let the module say this in a turn now."""
        self.controller.next = list(actions)
        self.request_table.batches.schedule_iteration()
        self.reactor.advance(0)

    def connect_worker(self, full=False):
        """The connection that was asked for last comes up; `full`: the system takes nothing of what is written."""
        return self.connect_transport(self.reactor.tcpClients[-1][2], full)

    @staticmethod
    def connect_transport(factory, full=False):
        transport = Transport()
        transport.full = full
        transport.protocol = factory.buildProtocol(None)
        transport.protocol.makeConnection(transport)
        return transport


def command_with_id(number, parts=ASK):
    return [parts[0], parts[1], b"%016x" % number, *parts[3:]]


def test_ping_and_a_request_served_on_a_connection_that_is_used_again():
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
    worker.protocol.dataReceived(SERVED)
    harness.run_iteration()
    assert client.take() == b"$5\r\nva\r\nl\r\n" and harness.controller.ends[0].result is AttemptResult.OK
    harness.reactor.advance(0.02)
    harness.send(client, command_with_id(2))
    harness.run_iteration(StartAttempt(harness.controller.arrivals[1].id, "s1", 400.0))
    assert len(harness.reactor.tcpClients) == 1 and b"%016x" % 2 in worker.take()


def test_answers_keep_the_order_of_the_commands():
    harness = GatewayHarness()
    client = harness.client()
    harness.send(client, ASK, command_with_id(2), [b"PING"])
    first, second = harness.controller.arrivals
    harness.run_iteration(Reject(second.id, 250.0, RejectionReason.CAPACITY))
    assert client.take() == b""
    harness.run_iteration(Fail(first.id))
    assert client.take() == b"-ERR failed\r\n-BUSY 250\r\n+PONG\r\n"


def test_what_cannot_be_used_touches_nobody_and_is_read_on_slowly():
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


def test_another_clients_open_id_is_refused_and_its_request_goes_on():
    harness = GatewayHarness()
    usual, rude = harness.client(), harness.client()
    harness.send(usual, ASK)
    harness.send(rude, ASK)
    assert rude.take().startswith(b"-ERR id") and len(harness.controller.arrivals) == 1
    harness.run_iteration(Reject(harness.controller.arrivals[0].id, 0.0))
    assert usual.take() == b"-BUSY\r\n"


def test_what_cannot_be_read_ends_the_connection_after_the_answers_of_all_before_it():
    """What was open used to be called off and answered as failed, though its client had asked as it should."""
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


def test_commands_beyond_the_cap_on_open_ones_are_refused_in_their_place_and_the_connection_goes_on():
    """60 were open, 10 more came in one read: there were 61 answers for 70 commands, then the end."""
    harness = GatewayHarness()
    client = harness.client()
    harness.send(client, *[command_with_id(n) for n in range(60)])
    harness.send(client, *[command_with_id(n) for n in range(60, 70)])
    most = client_connection.MAX_OPEN_COMMANDS
    assert len(harness.controller.arrivals) == most and client.take() == b"" and not client.disconnecting
    harness.run_iteration(*[Reject(each.id, 40.0) for each in harness.controller.arrivals])
    assert client.take() == b"-BUSY 40\r\n" * most + b"-BUSY 250\r\n" * (70 - most)
    harness.send(client, command_with_id(70))
    assert len(harness.controller.arrivals) == most + 1 and not client.disconnecting


def test_what_needs_nobody_is_answered_however_many_come_in_one_read():
    harness = GatewayHarness()
    client = harness.client()
    harness.send(client, *[[b"PING"]] * 500)
    assert client.take() == b"+PONG\r\n" * 500 and not client.disconnecting
    harness.send(client, [b"PING"])
    assert client.take() == b""  # its sender is heard no faster than others are served
    harness.reactor.advance(input_pause.PAUSE_S)
    assert client.take() == b"+PONG\r\n" and not client.disconnecting


def test_what_waits_behind_an_unfit_command_is_refused_where_there_is_no_room_for_it():
    harness = GatewayHarness(max_buffered_bytes=1000)
    client = harness.client()
    harness.send(client, [b"FLUSHALL"])
    harness.send(client, *[command_with_id(n) for n in range(5)])
    harness.send(client, *[command_with_id(n) for n in range(5, 10)])
    assert client.take().endswith(b"'FLUSHALL'\r\n" + b"-BUSY 250\r\n" * 10) and not client.disconnecting
    assert not harness.controller.arrivals and harness.frontend.buffered.used == 0 and client.paused
    harness.reactor.advance(input_pause.PAUSE_S)
    harness.send(client, command_with_id(11))
    assert len(harness.controller.arrivals) == 1 and not client.paused


def test_commands_read_while_the_connection_ends_are_answered_before_what_cannot_be_read():
    harness = GatewayHarness()
    client = harness.client()
    harness.send(client, [b"PING"])
    harness.frontend.close_idle()
    client.take()
    client.protocol.dataReceived(
        resp_codec.encode_command([b"PING"]) + resp_codec.encode_command(command_with_id(2)) + b"no RESP"
    )
    assert client.take() == b"+PONG\r\n-BUSY 250\r\n-ERR Protocol error: expected '*'\r\n"


def test_half_a_command_whose_rest_has_come_and_waits_is_not_overdue():
    harness = GatewayHarness()
    client = harness.client()
    for _ in range(4):
        harness.send(client, [b"FLUSHALL"])
        harness.reactor.advance(0.8)
    whole = resp_codec.encode_command(command_with_id(5))
    client.protocol.dataReceived(
        resp_codec.encode_command([b"FLUSHALL"]) + whole[:9]
    )  # the pause is longer than half may wait
    client.protocol.dataReceived(whole[9:])
    for _ in range(12):
        harness.reactor.advance(0.1)
    assert len(harness.controller.arrivals) == 1 and not client.disconnecting


def test_half_a_command_is_not_overdue_while_nothing_is_read_of_its_sender():
    harness = GatewayHarness()
    client = harness.client()
    whole = resp_codec.encode_command(command_with_id(5))
    client.protocol.dataReceived(whole[:9])
    client.protocol.pauseProducing()  # it does not read: the transport's buffer is full
    for _ in range(12):
        harness.reactor.advance(0.1)
    assert client.paused and not client.disconnecting
    client.protocol.resumeProducing()
    client.protocol.dataReceived(whole[9:])
    harness.run_iteration()
    assert len(harness.controller.arrivals) == 1


def test_half_a_command_ends_the_connection_after_the_answers_before_it():
    harness = GatewayHarness()
    client = harness.client()
    harness.send(client, ASK)
    client.protocol.dataReceived(b"*1\r\n")
    for _ in range(12):
        harness.reactor.advance(0.1)
    assert not client.disconnecting and not harness.controller.ends
    harness.run_iteration(Reject(1, 0.0))
    assert client.take().startswith(b"-BUSY\r\n-ERR Protocol error: a command did not") and client.disconnecting


def test_one_that_sends_noise_without_end_gets_what_is_owed_and_is_cut_off():
    harness = GatewayHarness()
    client = harness.client()
    harness.send(client, ASK)
    sent = 0
    while not client.aborted and sent < 4 * client_connection.MAX_DISCARDED:
        client.protocol.dataReceived(b"x" * 65536)
        sent += 65536
    assert client.aborted and client.take() == b"-ERR failed\r\n-ERR Protocol error: a line of over 16 bytes\r\n"


def test_answers_that_wait_have_a_cap_for_a_client_that_sends_without_end():
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
    answers = client.take()
    assert answers.startswith(b"-ERR failed\r\n$30000") and answers.endswith(b"+PONG\r\n" * 500)
    assert answers.count(b"\r\n") == 1 + 10 + 3 + 10 * 500 and not client.disconnecting
    assert [type(end).__name__ for end in harness.controller.ends] == [
        "ClientDisconnected"
    ] and harness.frontend.buffered.used == 0


def test_silent_and_half_commands_are_cut_within_their_time():
    harness = GatewayHarness()
    silent, half, later = harness.client(), harness.client(), harness.client()
    half.protocol.dataReceived(b"*2\r\n$4\r\nPI")
    harness.send(later, [b"PING"])
    later.protocol.dataReceived(b"*1\r\n")
    for _ in range(13):
        harness.reactor.advance(0.1)
    assert all(client.disconnecting and client.take().endswith(b"in time\r\n") for client in (silent, half, later))
    assert not harness.frontend.by_state["busy"] and not harness.frontend.by_state["half"]


def test_a_client_whose_reads_end_in_half_a_command_each_time_is_not_cut_while_commands_come():
    harness = GatewayHarness()
    client = harness.client()
    whole = resp_codec.encode_command([b"PING"])
    client.protocol.dataReceived(whole[:5])
    for _ in range(30):
        harness.reactor.advance(0.1)
        client.protocol.dataReceived(whole[5:] + whole[:5])
    assert not client.disconnecting and client.take() == b"+PONG\r\n" * 30


def test_where_there_are_many_connections_the_idle_ones_are_closed_after_their_time():
    harness = GatewayHarness(idle_close_threshold=1)
    clients = [harness.client() for _ in range(3)]
    for client in clients:
        harness.send(client, [b"PING"])
    harness.reactor.advance(1.9)
    assert not any(client.disconnecting for client in clients)
    for _ in range(3):
        harness.reactor.advance(0.1)
    assert [client.disconnecting for client in clients] == [True, True, False]


def test_at_the_cap_a_connection_that_says_nothing_makes_room_and_one_with_a_request_stays():
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


def test_a_closing_connection_is_not_cut_off_while_answers_for_it_are_still_to_be_written():
    harness = GatewayHarness(max_connections=1, max_closing=1)
    first = harness.client()
    harness.send(first, [b"PING"])
    second = harness.client()
    assert first.disconnecting and not second.disconnecting
    assert harness.client() is None and not first.aborted and harness.frontend.counts["closed_unread"] == 1
    first.protocol.writeConnectionLost()
    harness.client()
    assert first.aborted


def test_values_held_for_open_requests_have_a_cap_and_are_let_go():
    harness = GatewayHarness(max_buffered_bytes=100)
    client = harness.client()
    harness.send(client, [*DO[:4], b"x" * 60], [*command_with_id(2, DO)[:4], b"x" * 60])
    assert len(harness.controller.arrivals) == 1
    harness.run_iteration(Fail(harness.controller.arrivals[0].id))
    assert client.take().endswith(b"-BUSY 250\r\n") and harness.frontend.buffered.used == 0


def test_a_client_that_leaves_has_its_attempts_called_off():
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


def test_a_request_is_due_before_its_time_is_up_by_as_much_as_it_may_have_waited_to_be_read():
    """Four requests of a gatekeeper that had just started were read late and answered at the last moment: too late."""
    harness = GatewayHarness()
    harness.send(harness.client(), ASK)
    (arrival,) = harness.controller.arrivals
    wait = float(ASK[3].split(b"d=")[1].split(b",")[0])
    assert arrival.deadline_at_ms == harness.request_table.now_ms() + wait - min(100.0, wait / 10)


def test_the_end_serves_what_still_comes_and_closes_between_requests():
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


def test_at_the_last_moment_all_that_is_open_gets_an_answer():
    harness = GatewayHarness()
    client = harness.client()
    harness.send(client, ASK, command_with_id(2))
    harness.frontend.fail_all()
    assert client.take() == b"-ERR failed\r\n" * 2 and client.disconnecting


# ---- workers -------------------------------------------------------------------------------------


def start_attempt(harness, number=1):
    """A request whose attempt is out on a connection that has come up."""
    client = harness.client()
    harness.send(client, command_with_id(number))
    harness.run_iteration(StartAttempt(harness.controller.arrivals[-1].id, "s1", 1400.0))
    return client, harness.connect_worker()


@pytest.mark.parametrize("noise", [b"HTTP/1.1 200\r\n", b"*3\r\n$3000000000\r\nxxxx", b"*3\r\n$2\r\nlong\r\n", b"\0\0"])
def test_a_spoilt_answer_is_an_error_that_may_have_run_and_its_connection_ends(noise):
    harness = GatewayHarness()
    client, worker = start_attempt(harness)
    worker.protocol.dataReceived(noise)
    harness.run_iteration()
    assert worker.aborted and harness.controller.ends[0].result is AttemptResult.ERROR and client.take() == b""


def test_an_answer_that_stalls_is_spoilt_well_before_the_time_is_up():
    harness = GatewayHarness()
    _, worker = start_attempt(harness)
    worker.protocol.dataReceived(b"*3\r\n$50\r\nshort\r\n")
    harness.reactor.advance(0.41)
    harness.run_iteration()
    assert worker.aborted and harness.controller.ends[0].result is AttemptResult.ERROR


@pytest.mark.parametrize("more", [SERVED, b"noise"])
def test_more_than_one_answer_leaves_the_answer_and_ends_the_connection(more):
    harness = GatewayHarness()
    client, worker = start_attempt(harness)
    worker.protocol.dataReceived(SERVED + more)
    assert client.take() == b"$5\r\nva\r\nl\r\n" and worker.disconnecting and not harness.pool._idle
    client, worker = start_attempt(harness, 2)  # and when it comes in a later segment
    worker.protocol.dataReceived(SERVED)
    worker.protocol.dataReceived(more)
    assert worker.aborted and not harness.pool._idle


def test_a_connection_shows_for_a_while_that_nothing_more_comes_before_it_is_used_again():
    harness = GatewayHarness()
    _, worker = start_attempt(harness)
    worker.protocol.dataReceived(SERVED)
    assert harness.pool.take_idle("s1") is None  # a second copy may be on its way
    harness.reactor.advance(0.02)
    assert harness.pool.take_idle("s1") is worker.protocol


def test_what_waits_unread_in_the_socket_ends_a_connection_instead_of_answering_the_next():
    harness = GatewayHarness()
    _, worker = start_attempt(harness)
    worker.protocol.dataReceived(SERVED)
    harness.reactor.advance(0.02)
    worker.handle.recv = lambda size, flags: b"*"
    assert harness.pool.take_idle("s1") is None and worker.aborted


def test_an_attempt_still_connecting_when_its_worker_leaves_is_not_begun():
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


def test_a_worker_that_moved_or_left_keeps_no_connection():
    harness = GatewayHarness()
    _, worker = start_attempt(harness)
    harness.address["s1"] = ("127.0.0.1", 7009)
    worker.protocol.dataReceived(SERVED)
    assert worker.disconnecting and not harness.pool._idle
    del harness.address["s1"]
    client = harness.client()
    harness.send(client, command_with_id(2))
    harness.run_iteration(StartAttempt(2, "s1", 400.0))
    harness.run_iteration()
    assert harness.controller.ends[-1].result is AttemptResult.DISCARDED


def test_with_no_room_for_a_connection_an_idle_one_of_another_worker_goes():
    harness = GatewayHarness(most=1)
    _, worker = start_attempt(harness)
    worker.protocol.dataReceived(SERVED)
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
    """A watch and what it watching."""

    def __init__(self):
        self.reactor, self.changes, self.faults = MemoryReactorClock(), [], []
        self.watch = DiscoveryWatch(
            self.reactor, ("127.0.0.1", 8500), lambda: 41, self.changes.append, self.faults.append
        )
        self.watch.start()

    def link(self, at=-1):
        transport = Transport()
        transport.protocol = self.reactor.tcpClients[at][2].buildProtocol(None)
        transport.protocol.makeConnection(transport)
        return transport


SNAPSHOT_RESPONSE = chunked(b'{"index":43,"snapshot":true,"endpoints":[]}\n')


def test_a_watch_that_ends_or_falls_silent_is_opened_again_from_what_is_known():
    watching = WatchHarness()
    link = watching.link()
    assert b"GET /v1/endpoints?watch=1&from=41 HTTP/1.1" in link.take()
    link.protocol.dataReceived(SNAPSHOT_RESPONSE)
    assert [each.version for each in watching.changes] == [43]
    watching.reactor.advance(3.1)  # no empty line came
    watching.reactor.advance(0)
    assert len(watching.reactor.tcpClients) == 2
    watching.reactor.tcpClients[-1][2].clientConnectionFailed(None, Failure(error.ConnectionRefusedError()))
    watching.reactor.advance(0.11)
    assert len(watching.reactor.tcpClients) == 3 and not link.aborted
    watching.link().protocol.dataReceived(SNAPSHOT_RESPONSE)
    assert link.aborted and [each.version for each in watching.changes] == [43, 43]


def test_a_watch_that_cannot_be_read_says_so_and_begins_anew():
    watching = WatchHarness()
    watching.link().protocol.dataReceived(chunked(b"}\n"))
    assert watching.faults and not watching.changes
    watching.reactor.advance(0.2)
    assert len(watching.reactor.tcpClients) == 2


def test_discovery_that_moves_is_followed_and_the_old_one_is_heard_no_more():
    watching = WatchHarness()
    old = watching.link()
    watching.watch.change_address(("127.0.0.1", 8501))
    assert old.aborted and watching.reactor.tcpClients[-1][:2] == ("127.0.0.1", 8501)
    old.protocol.dataReceived(SNAPSHOT_RESPONSE)
    assert not watching.changes
    watching.link().protocol.dataReceived(SNAPSHOT_RESPONSE)
    assert len(watching.changes) == 1
    watching.reactor.advance(1.0)
    assert len(watching.reactor.tcpClients) == 2


class RecordingTransport:
    def __init__(self):
        self.out = []

    def write(self, data, address):
        self.out.append((data, address))


def test_peers_are_known_by_their_address_and_nothing_longer_than_the_platform_allows_goes_out():
    heard = []
    port = PeerPort(BareDatagrams(1, (("127.0.0.2", 1), ("127.0.0.1", 1))), lambda *each: heard.append(each))
    port.transport = RecordingTransport()
    port.send(0, b"x" * 256)
    port.send(0, b"x" * 257)
    port.send(1, b"to ourselves")
    port.send(-1, b"to all")
    assert port.transport.out == [(b"x" * 256, ("127.0.0.2", 1))]
    port.datagramReceived(b"a", ("127.0.0.2", 1))
    port.datagramReceived(b"b", ("127.0.0.2", 2))
    port.datagramReceived(b"c" * 300, ("127.0.0.2", 1))
    assert heard == [(0, b"a")]
