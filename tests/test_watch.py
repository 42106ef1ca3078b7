"""Discovery watch: a change that a silent connection missed is received within 6 s, even if its replacements fail.

In memory with a simulated clock: a stand-in for discovery scripts the behavior of each connection.
"""

import json

import pytest
from test_node_front import SNAPSHOT_RESPONSE, WatchHarness, Transport
from test_node_wire import change_document, chunked_response, endpoint_row
from twisted.internet import error
from twisted.python.failure import Failure

from anisefront.resp_gateway import discovery_watch, watch_connection
from anisefront.resp_gateway.endpoint_changes import EndpointDirectory
from anisefront.resp_gateway.errors import DiscoveryError
from anisefront.resp_gateway.watch_codec import WatchReader

BOUND_S = 6.0
HEAD = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"


class ScriptedDiscovery(WatchHarness):
    """Stand-in for discovery: connection n follows behavior n, later ones the last behavior.

    A behavior is called with the transport and the seconds since it was opened, at the start and every 50 ms, or is the
    name of a failure to connect. Connections come up after `connect_delay_s`.
    """

    connect_delay_s = 0.0

    def __init__(self, *behaviors):
        super().__init__()
        self.behaviors, self.transports = list(behaviors), []
        first = self.reactor.tcpClients.pop()[2]
        first.clientConnectionFailed(None, Failure(error.ConnectionRefusedError()))
        self.opened = 0

    def run(self, seconds, stop=lambda: False):
        """Advance the clock until the time is up or `stop` returns true."""
        for _ in range(round(seconds * 20)):
            self.reactor.advance(0.05)
            while self.opened < len(self.reactor.tcpClients):
                host, port, factory, timeout, _ = self.reactor.tcpClients[self.opened]
                behavior = self.behaviors[min(self.opened, len(self.behaviors) - 1)]
                self.opened += 1
                self._open(behavior, factory, timeout)
            for transport in self.transports:
                if not transport.aborted and transport.since < self.reactor.seconds():
                    transport.behavior(transport, round(self.reactor.seconds() - transport.since, 2))
            if stop():
                return

    def _open(self, behavior, factory, timeout):
        if behavior == "never":
            self.reactor.callLater(timeout, factory.clientConnectionFailed, None, Failure(error.TimeoutError()))
        elif behavior == "refused":
            factory.clientConnectionFailed(None, Failure(error.ConnectionRefusedError()))
        elif self.connect_delay_s >= timeout:
            self._open("never", factory, timeout)
        elif self.connect_delay_s:
            self.reactor.callLater(self.connect_delay_s, self._connect, behavior, factory)
        else:
            self._connect(behavior, factory)

    def _connect(self, behavior, factory):
        transport = Transport()
        transport.behavior, transport.since = behavior, self.reactor.seconds()
        transport.protocol = factory.buildProtocol(None)
        if transport.protocol is not None:
            transport.protocol.makeConnection(transport)
            self.transports.append(transport)
            behavior(transport, 0.0)


def receive(transport, data):
    if not transport.aborted:
        transport.protocol.dataReceived(data)


def healthy(transport, open_s):
    if open_s == 0:
        receive(transport, SNAPSHOT_RESPONSE)
    elif open_s % 2 == 0:
        receive(transport, b"1\r\n\n\r\n")


def sends_nothing(transport, open_s):
    """Send nothing at all."""


def sends_head_only(transport, open_s):
    if open_s == 0:
        receive(transport, HEAD)


def sends_partial_lines(transport, open_s):
    receive(transport, HEAD if open_s == 0 else b"1\r\n{\r\n" if open_s == 0.05 else b"1\r\n \r\n")


def ends_within_an_object(transport, open_s):
    if open_s == 0:
        receive(transport, HEAD + b'a\r\n{"index":4\r\n0\r\n\r\n')


def closes_connection(transport, open_s):
    if open_s == 0.1:
        transport.aborted = True
        transport.protocol.connectionLost(Failure(error.ConnectionDone()))


def stops_sending(transport, open_s):
    if open_s == 0:
        receive(transport, SNAPSHOT_RESPONSE)


@pytest.mark.parametrize(
    "failure",
    [
        "never",
        "refused",
        sends_nothing,
        sends_head_only,
        sends_partial_lines,
        ends_within_an_object,
        closes_connection,
        stops_sending,
    ],
)
@pytest.mark.parametrize("times", [1, 2])
def test_change_missed_by_a_silent_watch_is_received_within_the_bound(failure, times):
    """The first watch is silent after its first object, its replacements fail too, and the next one works."""
    discovery = ScriptedDiscovery(stops_sending, *[failure] * times, healthy)
    discovery.run(0.2)
    received, silent_since = len(discovery.changes), discovery.transports[0].since
    discovery.run(20, lambda: len(discovery.changes) > received and discovery.transports[-1].behavior is healthy)
    silences = times if failure is stops_sending else 0  # each silent watch has a bound of its own
    assert discovery.transports[-1].behavior is healthy
    assert discovery.reactor.seconds() - silent_since <= BOUND_S * (1 + silences)
    discovery.run(10)
    assert len(discovery.watch.connections) == 1 and not discovery.transports[-1].aborted


def test_watch_stays_open_during_an_outage_of_discovery():
    discovery = ScriptedDiscovery(stops_sending, sends_nothing)
    discovery.run(watch_connection.HEARTBEAT_TIMEOUT_S + discovery_watch.FIRST_LINE_TIMEOUT_S + 0.2)
    for _ in range(80):
        discovery.run(0.1)
        live = [transport for transport in discovery.transports if not transport.aborted]
        assert 1 <= len(live) <= discovery_watch.MAX_WATCHES
    receive(
        live[0],
        HEAD + SNAPSHOT_RESPONSE[len(HEAD) :]
        if live[0] is not discovery.transports[0]
        else SNAPSHOT_RESPONSE[len(HEAD) :],
    )
    assert [each.version for each in discovery.changes][-1] == 43
    assert [transport for transport in discovery.transports if not transport.aborted] == [live[0]]


def test_healthy_watch_is_not_replaced():
    discovery = ScriptedDiscovery(healthy)
    discovery.run(60)
    assert discovery.opened == 1


def test_watch_that_ends_after_each_response_is_reopened_with_backoff():
    discovery = ScriptedDiscovery(
        lambda transport, open_s: receive(transport, SNAPSHOT_RESPONSE + b"0\r\n\r\n") if open_s == 0 else None
    )
    discovery.run(5)
    assert discovery.opened <= 5 / discovery_watch.BACKOFF_S[0]


def test_repeated_invalid_response_is_reported_once():
    discovery = ScriptedDiscovery(
        lambda transport, open_s: receive(transport, chunked_response(b"}\n")) if open_s == 0 else None
    )
    discovery.run(5)
    assert len(discovery.errors) == 1 and not discovery.changes and discovery.opened > 3


# ---- parsing ------------------------------------------------------------------------------------------

INDENTED = json.dumps(
    change_document(43, endpoint_row("s1", "127.0.0.1:1"), endpoint_row('s"}]{[', "127.0.0.1:2"), snapshot=True),
    indent=2,
)


def test_indented_object_is_one_change_however_it_is_split():
    data = HEAD
    for line in [*INDENTED.splitlines(), "", *INDENTED.splitlines(), ""]:
        data += b"%x\r\n%b\n\r\n" % (len(line) + 1, line.encode())
    for size in (1, 7, len(data)):
        reader = WatchReader()
        found = [each for at in range(0, len(data), size) for each in reader.feed(data[at : at + size])]
        assert [len(each.entries) for each in found] == [2, 2] and reader.heartbeats == 4
        assert found[0].entries[1].endpoint.id == 's"}]{['


def test_object_size_is_limited():
    reader = WatchReader()
    reader.feed(HEAD + b"2\r\n{\n\r\n")
    with pytest.raises(DiscoveryError):
        for _ in range(100):
            reader.feed(b"10000\r\n" + b'"x",' * 16383 + b'"x"\n' + b"\r\n")


# ---- versions ----------------------------------------------------------------------------------------


class DirectoryWatchHarness(WatchHarness):
    """Discovery watch that updates an endpoint directory."""

    def __init__(self):
        super().__init__()
        self.directory = EndpointDirectory()
        self.watch.known_version, self.watch.on_change = lambda: self.directory.version, self.directory.apply
        self.watch.on_version_reset = self.directory.reset_version


def send_changes(transport, *changes):
    """Receive the head of a response and these changes, each as a chunk."""
    transport.protocol.dataReceived(
        HEAD
        + b"".join(
            b"%x\r\n%b\n\r\n" % (len(line) + 1, line) for line in (json.dumps(each).encode() for each in changes)
        )
    )


def test_restarted_version_numbers_lead_to_a_full_watch():
    harness = DirectoryWatchHarness()
    send_changes(
        harness.connect(),
        change_document(41, endpoint_row("s1", "127.0.0.1:1"), endpoint_row("s2", "127.0.0.1:2"), snapshot=True),
    )
    harness.watch.connections[0].abort()
    harness.reactor.advance(0.2)
    transport = harness.connect()
    assert b"from=41 " in transport.take()
    # Discovery has restarted its version numbers.
    send_changes(transport, change_document(3, endpoint_row("s1", "127.0.0.1:1", "leaving")))
    assert transport.aborted and set(harness.directory.entries) == {"s1", "s2"}
    harness.reactor.advance(0.2)
    transport = harness.connect()
    assert b"from=0 " in transport.take()
    send_changes(
        transport,
        change_document(3, endpoint_row("s1", "127.0.0.1:1", "leaving")),
        change_document(4, endpoint_row("s2", "127.0.0.1:2", "left")),
    )
    assert harness.directory.version == 4 and set(harness.directory.entries) == {"s1"}
    assert harness.directory.entries["s1"].endpoint.status.value == "draining"


def test_new_discovery_address_resets_the_version():
    harness = DirectoryWatchHarness()
    send_changes(harness.connect(), change_document(41, endpoint_row("s1", "127.0.0.1:1"), snapshot=True))
    harness.watch.change_address(("127.0.0.1", 8501))
    transport = harness.connect()
    assert b"from=0 " in transport.take() and set(harness.directory.entries) == {"s1"}
    send_changes(transport, change_document(2, endpoint_row("s1", "127.0.0.1:1", "leaving")))
    assert harness.directory.entries["s1"].endpoint.status.value == "draining"


def test_repeated_versions_are_ignored_and_skipped_ones_are_accepted():
    harness = DirectoryWatchHarness()
    transport = harness.connect()
    send_changes(transport, change_document(41, endpoint_row("s1", "127.0.0.1:1"), snapshot=True))
    for index, status, ends in (
        (42, "leaving", "draining"),
        (41, "active", "draining"),
        (42, "active", "draining"),
        (47, "active", "ready"),
    ):
        transport.protocol.dataReceived(
            chunked_response(
                json.dumps(change_document(index, endpoint_row("s1", "127.0.0.1:1", status))).encode() + b"\n"
            )[len(HEAD) :]
        )
        assert harness.directory.entries["s1"].endpoint.status.value == ends


def test_address_changes_leave_one_watch():
    harness = WatchHarness()
    transport = harness.connect()
    transport.protocol.dataReceived(SNAPSHOT_RESPONSE)
    harness.watch.change_address(("127.0.0.1", 8500))
    assert len(harness.reactor.tcpClients) == 1 and not transport.aborted
    harness.watch.change_address(("127.0.0.1", 8501))
    first = harness.reactor.tcpClients[-1][2]
    harness.watch.change_address(("127.0.0.1", 8502))
    # The connection attempt to the outdated address succeeds late, and its connection is closed.
    assert transport.aborted and first.buildProtocol(None) is None
    harness.connect().protocol.dataReceived(SNAPSHOT_RESPONSE)
    assert len(harness.watch.connections) == 1 and len(harness.reactor.tcpClients) == 3


def test_address_change_before_the_start_opens_one_watch():
    harness = WatchHarness()
    harness.watch.stop()
    harness.reactor.tcpClients.clear()
    watch = discovery_watch.DiscoveryWatch(
        harness.reactor, ("127.0.0.1", 1), lambda: 0, harness.changes.append, harness.errors.append
    )
    watch.change_address(("127.0.0.1", 2))
    assert not harness.reactor.tcpClients
    watch.start()
    assert [each[:2] for each in harness.reactor.tcpClients] == [("127.0.0.1", 2)]
