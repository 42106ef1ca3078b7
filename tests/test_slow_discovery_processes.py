"""Discovery that answers late, with a gateway process on the real clock."""

import contextlib
import time

from test_node_loopback import Discovery, GatewayProcess, Worker, managed, send_request  # noqa: F401
from test_node_wire import change_document, endpoint_row

GRACE_S = 0.25  # in which a draining worker may still get requests
SLACK_S = 0.05  # "each time limit is 50 ms longer"
TOLD_S = 6.0  # a change counts as told then at the latest


class SlowDiscovery(Discovery):
    """Discovery that answers each call late; its list is the one that it has when it answers."""

    answer_delay_s = 0.0

    def _serve(self, connection):
        self.requests.append(connection.recv(4096))
        time.sleep(self.answer_delay_s)
        connection.sendall(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
        self._send_change(connection, change_document(self.index, *self.rows, snapshot=True))
        self.connections.append(connection)
        while True:
            time.sleep(0.5)
            connection.sendall(b"1\r\n\n\r\n")

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
