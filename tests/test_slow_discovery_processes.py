"""Discovery that answers late, with a gateway process on the real clock."""

import contextlib
import signal
import socket
import time

import pytest
import redis

from test_node_loopback import Discovery, GatewayProcess, Worker, managed, send_request  # noqa: F401
from test_node_wire import WIRE_SETTINGS, change_document, endpoint_row

from anisefront.resp_gateway import resp_codec

GRACE_S = 0.25  # in which a draining worker may still get requests
SLACK_S = 0.05  # "each time limit is 50 ms longer"
PATIENT_MS = 4800
TOLD_S = 6.0  # a change counts as told then at the latest


class SlowDiscovery(Discovery):
    """Discovery some of whose watches were closed before they were answered."""

    def publish(self, *rows):
        """Send a change of these endpoints to all watches that are still open."""
        self.index += 1
        for connection in self.connections:
            with contextlib.suppress(OSError):
                self._send_change(connection, change_document(self.index, *rows))


def test_worker_that_drains_under_a_slow_discovery_gets_nothing_after_its_grace(managed):  # noqa: F811
    """Guards against requests to a draining worker without end: each watch was closed before its answer came."""
    draining, active = managed(Worker()), managed(Worker())
    rows = endpoint_row("s1", draining.address), endpoint_row("s2", active.address)
    discovery = managed(SlowDiscovery(*rows))
    discovery.answer_delay_s = 3.0
    gateway = managed(GatewayProcess(managed.folder, discovery.address, *rows))
    time.sleep(TOLD_S)
    discovery.publish(endpoint_row("s1", draining.address, "leaving"))
    time.sleep(GRACE_S + SLACK_S)
    client = gateway.client()
    for number in range(1, 21):
        assert send_request(client, number) == b"value for %016x" % number
    assert not draining.received


class PatientGateway(GatewayProcess):
    """Gateway instance whose requests wait in their queue for seconds."""

    settings = GatewayProcess.settings | {
        "classes": [WIRE_SETTINGS["classes"][0] | {"aimMs": PATIENT_MS, "deadlineMs": PATIENT_MS}]
    }


def rows_that_changed(change, old, new):
    """Return discovery's rows after `s1`, which was at the old worker, changed while the instance was away."""
    return {
        "drained": [endpoint_row("s1", old.address, "leaving"), endpoint_row("s2", new.address)],
        "removed": [endpoint_row("s2", new.address)],
        "replaced": [endpoint_row("s3", new.address)],
        "moved": [endpoint_row("s1", new.address)],
    }[change]


@pytest.mark.parametrize("change", ["drained", "removed", "replaced", "moved"])
def test_restarted_instance_sends_nothing_by_its_old_list_while_discovery_is_slow(managed, change):  # noqa: F811
    """Guards against requests to a worker that drained, left or moved before the instance started."""
    old, new = managed(Worker()), managed(Worker())
    discovery = managed(SlowDiscovery(*rows_that_changed(change, old, new)))
    discovery.answer_delay_s = 1.0
    gateway = managed(PatientGateway(managed.folder, discovery.address, endpoint_row("s1", old.address)))
    for number in range(1, 6):
        assert send_request(gateway.client(), number, PATIENT_MS) == b"value for %016x" % number
    assert not old.received and len(new.received) == 5


class EndingDiscovery(SlowDiscovery):
    """Discovery that ends its first answers instead of telling."""

    answers_to_end = 0

    def _serve(self, connection):
        if len(self.requests) < self.answers_to_end:
            self.requests.append(connection.recv(4096))
            connection.sendall(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n")
        else:
            super()._serve(connection)


@pytest.mark.parametrize("times", [1, 2, 3])
def test_restarted_instance_sends_nothing_by_its_old_list_after_watches_that_ended(managed, times):  # noqa: F811
    old, new = managed(Worker()), managed(Worker())
    discovery = managed(EndingDiscovery(*rows_that_changed("drained", old, new)))
    discovery.answers_to_end = times
    known = endpoint_row("s1", old.address), endpoint_row("s2", new.address)
    gateway = managed(PatientGateway(managed.folder, discovery.address, *known))
    for number in range(1, 11):
        assert send_request(gateway.client(), number, PATIENT_MS) == b"value for %016x" % number
    assert not old.received


def test_instance_whose_discovery_never_answers_is_ready_and_comes_to_serve(managed):  # noqa: F811
    """Guards against waiting for ever: each request is answered in time, and served once discovery counts as down."""
    worker = managed(Worker())
    discovery = managed(SlowDiscovery())
    discovery.answer_delay_s = 60.0
    gateway = managed(GatewayProcess(managed.folder, discovery.address, endpoint_row("s1", worker.address)))
    ready_s = time.monotonic()
    client = gateway.client()
    with pytest.raises(redis.ResponseError, match="BUSY"):
        send_request(client, 1)
    assert time.monotonic() - ready_s <= 1.4 + SLACK_S and not worker.received
    time.sleep(max(0.0, ready_s + TOLD_S - time.monotonic()))
    assert send_request(client, 2) == b"value for %016x" % 2


def test_instance_that_is_moved_to_another_discovery_while_it_waits_serves_by_its_list(managed):  # noqa: F811
    old, new = managed(Worker()), managed(Worker())
    silent, other = managed(SlowDiscovery()), managed(SlowDiscovery(*rows_that_changed("drained", old, new)))
    silent.answer_delay_s, other.answer_delay_s = 60.0, 0.5
    gateway = managed(PatientGateway(managed.folder, silent.address, endpoint_row("s1", old.address)))
    gateway.write_config(discovery=other.address)
    gateway.process.send_signal(signal.SIGHUP)
    gateway.wait_for_log("endpoint_list_received")
    assert send_request(gateway.client(), 1) == b"value for %016x" % 1
    assert not old.received


def test_requests_that_wait_for_the_first_list_are_answered_before_a_shutdown_ends(managed):  # noqa: F811
    old = managed(Worker())
    discovery = managed(SlowDiscovery())
    discovery.answer_delay_s = 60.0
    gateway = managed(PatientGateway(managed.folder, discovery.address, endpoint_row("s1", old.address)))
    waiting = [socket.create_connection(("127.0.0.1", gateway.port), timeout=5) for _ in range(5)]
    for number, connection in enumerate(waiting):
        terms = b"c=look,t=rated,d=%d,units=1,spread=1,first=0" % PATIENT_MS
        command = [b"Q.ASK", b"00000000b4d65521", b"%016x" % number, terms]
        connection.sendall(resp_codec.encode_command(command))
    time.sleep(0.2)
    gateway.process.send_signal(signal.SIGTERM)
    assert all(connection.recv(100).startswith(b"-") for connection in waiting)
    assert gateway.process.wait(5) == 0 and not old.received
    for connection in waiting:
        connection.close()
