"""The list's watch: whatever becomes of its connections, what a silent one missed is told within 6 s of its silence.

In memory with an exact clock: a discovery that does with each connection what the test says."""

import json

import pytest
from test_node_front import SNAPSHOT_RESPONSE, WatchHarness, Transport
from test_node_wire import change_document, chunked_response, endpoint_row
from twisted.internet import error
from twisted.python.failure import Failure

from anisefront.resp_gateway import discovery_watch
from anisefront.resp_gateway.endpoint_changes import EndpointDirectory
from anisefront.resp_gateway.errors import DiscoveryError
from anisefront.resp_gateway.watch_codec import WatchReader

BOUND_S = 6.0
HEAD = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"


class Discovery(WatchHarness):
    """Plays `manners` on the connections in turn, the last one for all that follow, until `until` s; then it is well.

    A manner hears of its link, made, and each tenth of a second how long it is open: None where it never came up."""

    def __init__(self, *manners):
        super().__init__()
        self.manners, self.links = list(manners), []
        self.reactor.tcpClients.clear()
        self.watch._connecting.clientConnectionFailed(None, Failure(error.ConnectionRefusedError()))
        self.at = 0

    def play(self, seconds, stop=lambda: False):
        for _ in range(round(seconds * 20)):
            self.reactor.advance(0.05)
            while self.at < len(self.reactor.tcpClients):
                host, port, factory, timeout, _ = self.reactor.tcpClients[self.at]
                manner = self.manners[min(self.at, len(self.manners) - 1)]
                self.at += 1
                self._open(manner, factory, timeout)
            for link in self.links:
                if not link.aborted and link.since < self.reactor.seconds():
                    link.manner(link, round(self.reactor.seconds() - link.since, 2))
            if stop():
                return

    def _open(self, manner, factory, timeout):
        if manner == "never":
            self.reactor.callLater(timeout, factory.clientConnectionFailed, None, Failure(error.TimeoutError()))
        elif manner == "refused":
            factory.clientConnectionFailed(None, Failure(error.ConnectionRefusedError()))
        else:
            link = Transport()
            link.manner, link.since = manner, self.reactor.seconds()
            link.protocol = factory.buildProtocol(None)
            if link.protocol is not None:
                link.protocol.makeConnection(link)
                self.links.append(link)
                manner(link, 0.0)


def say(link, data):
    if not link.aborted:
        link.protocol.dataReceived(data)


def well(link, open_s):
    if open_s == 0:
        say(link, SNAPSHOT_RESPONSE)
    elif open_s % 2 == 0:
        say(link, b"1\r\n\n\r\n")


def silent_at_first(link, open_s):
    """It comes up, and that is all."""


def head_only(link, open_s):
    if open_s == 0:
        say(link, HEAD)


def drips(link, open_s):
    say(link, HEAD if open_s == 0 else b"1\r\n{\r\n" if open_s == 0.05 else b"1\r\n \r\n")


def breaks_off(link, open_s):
    if open_s == 0:
        say(link, HEAD + b'a\r\n{"index":4\r\n0\r\n\r\n')


def closes(link, open_s):
    if open_s == 0.1:
        link.aborted = True
        link.protocol.connectionLost(Failure(error.ConnectionDone()))


def falls_silent(link, open_s):
    if open_s == 0:
        say(link, SNAPSHOT_RESPONSE)


@pytest.mark.parametrize(
    "worse", ["never", "refused", silent_at_first, head_only, drips, breaks_off, closes, falls_silent]
)
@pytest.mark.parametrize("times", [1, 2])
def test_what_a_silent_watch_misses_is_told_within_the_bound(worse, times):
    """The first one falls silent right after its first object, what replaces it goes wrong too, the next is well."""
    discovery = Discovery(falls_silent, *[worse] * times, well)
    discovery.play(0.2)
    told, silent_since = len(discovery.changes), discovery.links[0].since
    discovery.play(20, lambda: len(discovery.changes) > told and discovery.links[-1].manner is well)
    silences = times if worse is falls_silent else 0  # each has a bound of its own
    assert discovery.links[-1].manner is well
    assert discovery.reactor.seconds() - silent_since <= BOUND_S * (1 + silences)
    discovery.play(10)
    assert len(discovery.watch.connections) == 1 and not discovery.links[-1].aborted


def test_while_discovery_is_down_there_is_always_an_open_watch_for_what_it_tells_at_its_return():
    discovery = Discovery(falls_silent, silent_at_first)
    discovery.play(discovery_watch.HEARTBEAT_TIMEOUT_S + discovery_watch.FIRST_LINE_TIMEOUT_S + 0.2)
    for _ in range(80):
        discovery.play(0.1)
        live = [link for link in discovery.links if not link.aborted]
        assert 1 <= len(live) <= discovery_watch.MAX_WATCHES
    say(
        live[0],
        HEAD + SNAPSHOT_RESPONSE[len(HEAD) :] if live[0] is not discovery.links[0] else SNAPSHOT_RESPONSE[len(HEAD) :],
    )
    assert [each.version for each in discovery.changes][-1] == 43
    assert [link for link in discovery.links if not link.aborted] == [live[0]]


def test_a_watch_that_is_well_is_left_alone():
    discovery = Discovery(well)
    discovery.play(60)
    assert discovery.at == 1


def test_one_that_ends_after_each_answer_is_not_asked_in_a_circle():
    discovery = Discovery(lambda link, open_s: say(link, SNAPSHOT_RESPONSE + b"0\r\n\r\n") if open_s == 0 else None)
    discovery.play(5)
    assert discovery.at <= 5 / discovery_watch.BACKOFF_S[0]


def test_what_cannot_be_read_is_said_once_and_the_last_list_stays_in_force():
    discovery = Discovery(lambda link, open_s: say(link, chunked_response(b"}\n")) if open_s == 0 else None)
    discovery.play(5)
    assert len(discovery.errors) == 1 and not discovery.changes and discovery.at > 3


# ---- how it is written -------------------------------------------------------------------------------

INDENTED = json.dumps(
    change_document(43, endpoint_row("s1", "127.0.0.1:1"), endpoint_row('s"}]{[', "127.0.0.1:2"), snapshot=True),
    indent=2,
)


def test_an_indented_object_over_several_lines_is_one_change_however_it_is_cut():
    data = HEAD
    for line in [*INDENTED.splitlines(), "", *INDENTED.splitlines(), ""]:
        data += b"%x\r\n%b\n\r\n" % (len(line) + 1, line.encode())
    for size in (1, 7, len(data)):
        reader = WatchReader()
        found = [each for at in range(0, len(data), size) for each in reader.feed(data[at : at + size])]
        assert [len(each.entries) for each in found] == [2, 2] and reader.heartbeats == 4
        assert found[0].entries[1].endpoint.id == 's"}]{['


def test_an_object_that_never_ends_has_a_cap():
    reader = WatchReader()
    reader.feed(HEAD + b"2\r\n{\n\r\n")
    with pytest.raises(DiscoveryError):
        for _ in range(100):
            reader.feed(b"10000\r\n" + b'"x",' * 16383 + b'"x"\n' + b"\r\n")


# ---- which version -----------------------------------------------------------------------------------


class Kept(WatchHarness):
    """A watch with a real book."""

    def __init__(self):
        super().__init__()
        self.book = EndpointDirectory()
        self.watch.known_version, self.watch.on_change = lambda: self.book.version, self.book.apply
        self.watch.on_version_reset = self.book.reset_version


def tell(link, *changes):
    link.protocol.dataReceived(
        HEAD
        + b"".join(
            b"%x\r\n%b\n\r\n" % (len(line) + 1, line) for line in (json.dumps(each).encode() for each in changes)
        )
    )


def test_a_discovery_that_counts_anew_from_below_is_asked_for_all_and_believed():
    kept = Kept()
    tell(
        kept.link(),
        change_document(41, endpoint_row("s1", "127.0.0.1:1"), endpoint_row("s2", "127.0.0.1:2"), snapshot=True),
    )
    kept.watch.connections[0].abort()
    kept.reactor.advance(0.2)
    link = kept.link()
    assert b"from=41 " in link.take()
    tell(link, change_document(3, endpoint_row("s1", "127.0.0.1:1", "leaving")))  # it lost its count
    assert link.aborted and set(kept.book.entries) == {"s1", "s2"}
    kept.reactor.advance(0.2)
    link = kept.link()
    assert b"from=0 " in link.take()
    tell(
        link,
        change_document(3, endpoint_row("s1", "127.0.0.1:1", "leaving")),
        change_document(4, endpoint_row("s2", "127.0.0.1:2", "left")),
    )
    assert kept.book.version == 4 and set(kept.book.entries) == {"s1"}
    assert kept.book.entries["s1"].endpoint.status.value == "draining"


def test_another_discovery_after_a_hang_up_has_versions_of_its_own():
    kept = Kept()
    tell(kept.link(), change_document(41, endpoint_row("s1", "127.0.0.1:1"), snapshot=True))
    kept.watch.change_address(("127.0.0.1", 8501))
    link = kept.link()
    assert b"from=0 " in link.take() and set(kept.book.entries) == {"s1"}
    tell(link, change_document(2, endpoint_row("s1", "127.0.0.1:1", "leaving")))
    assert kept.book.entries["s1"].endpoint.status.value == "draining"


def test_an_answer_that_repeats_changes_nothing_and_one_that_skips_is_taken():
    kept = Kept()
    link = kept.link()
    tell(link, change_document(41, endpoint_row("s1", "127.0.0.1:1"), snapshot=True))
    for index, status, ends in (
        (42, "leaving", "draining"),
        (41, "active", "draining"),
        (42, "active", "draining"),
        (47, "active", "ready"),
    ):
        link.protocol.dataReceived(
            chunked_response(
                json.dumps(change_document(index, endpoint_row("s1", "127.0.0.1:1", status))).encode() + b"\n"
            )[len(HEAD) :]
        )
        assert kept.book.entries["s1"].endpoint.status.value == ends


def test_a_move_to_the_same_address_changes_nothing_and_two_at_once_leave_one_watch():
    told = WatchHarness()
    link = told.link()
    link.protocol.dataReceived(SNAPSHOT_RESPONSE)
    told.watch.change_address(("127.0.0.1", 8500))
    assert len(told.reactor.tcpClients) == 1 and not link.aborted
    told.watch.change_address(("127.0.0.1", 8501))
    first = told.reactor.tcpClients[-1][2]
    told.watch.change_address(("127.0.0.1", 8502))
    assert link.aborted and first.buildProtocol(None) is None  # it came up all the same: it is closed
    told.link().protocol.dataReceived(SNAPSHOT_RESPONSE)
    assert len(told.watch.connections) == 1 and len(told.reactor.tcpClients) == 3


def test_a_move_before_the_start_opens_one_watch():
    told = WatchHarness()
    told.watch.stop()
    told.reactor.tcpClients.clear()
    fresh = discovery_watch.DiscoveryWatch(
        told.reactor, ("127.0.0.1", 1), lambda: 0, told.changes.append, told.errors.append
    )
    fresh.change_address(("127.0.0.1", 2))
    assert not told.reactor.tcpClients
    fresh.start()
    assert [each[:2] for each in told.reactor.tcpClients] == [("127.0.0.1", 2)]
