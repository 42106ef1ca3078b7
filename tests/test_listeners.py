"""The listeners of a running gateway with garbage, floods and idle clients: one rejection, no effect on others."""

import pathlib
import select
import socket
import threading
import time

import h2.config
import h2.connection
import h2.events
import pytest
from envoy.service.auth.v3 import external_auth_pb2
from test_path import Running, call, check_headers

from anisefront.protocols import grpc as wire_grpc

ROOT = pathlib.Path(__file__).parent.parent


@pytest.fixture(scope="module")
def gatekeeper(tmp_path_factory):
    path = tmp_path_factory.mktemp("conf") / "few.conf"
    text = (ROOT / "examples/loopback.conf").read_text()
    path.write_text(
        text.replace("gatekeeper 0 of 1", "gatekeeper 0 of 2") + "limits connections 40\n"
        "listen peers 127.0.0.1:0\nsecret 0123456789abcdef\npeer 1 127.0.0.1:9\n"
    )
    running = Running(path)
    yield running
    running.stop()


def connect(where):
    host, port = where.split(":")
    return socket.create_connection((host, int(port)), 5)


def read_all(connection):
    data = b""
    try:
        while part := connection.recv(65536):
            data += part
    except ConnectionResetError:
        pass
    return data


def serves_requests(gatekeeper):
    """Return true after both frontends have served a request."""
    token = check_headers(gatekeeper.check(x_request_id=str(time.monotonic())))["x-anisefront-attempt"]
    gatekeeper.log(token)
    assert gatekeeper.rpc(call(1))[0]["result"]["status"] == 200
    return True


GARBAGE = [
    b"\x16\x03\x01\x02\x00\x01\x00\x01\xfc\x03\x03",
    b"\0" * 3000,
    b"PRI * HTTP/1.1\r\n\r\nNO\r\n\r\n",
    b"GET / HTTP/1.1\r\nHost: x\r\n\r\n",
    bytes(range(256)) * 20,
]


@pytest.mark.parametrize("data", GARBAGE)
@pytest.mark.parametrize("frontend", ["grpc", "jsonrpc"])
def test_garbage(gatekeeper, frontend, data):
    with connect(gatekeeper.where[frontend]) as connection:
        connection.sendall(data)
        connection.shutdown(socket.SHUT_WR)
        assert read_all(connection)
    assert serves_requests(gatekeeper)


def test_garbage_datagrams(gatekeeper):
    host, port = gatekeeper.where["peers"].split(":")
    before = gatekeeper.state()["peers"].get("unreadable", 0) + gatekeeper.state()["peers"].get("forged", 0)
    with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as sender:
        for data in [*GARBAGE, b"\x01" + b"x" * 60, b""]:
            sender.sendto(data[:1400], (host, int(port)))
    gatekeeper.wait_for(
        lambda state: state["peers"].get("unreadable", 0) + state["peers"].get("forged", 0) >= before + 6
    )
    assert serves_requests(gatekeeper)


def test_line_without_end(gatekeeper):
    with connect(gatekeeper.where["jsonrpc"]) as connection:
        try:
            for _ in range(40):
                connection.sendall(b"x" * 65536)
        except (ConnectionResetError, BrokenPipeError):
            pass
        assert b"over 1048576 bytes" in read_all(connection)
    assert serves_requests(gatekeeper)


def rejected_connections(connections, at_least, seconds=20.0):
    """Return the connections rejected by the limit: waits for so many, then for any that follow immediately."""
    received, closed, end = dict.fromkeys(connections, b""), set(), time.monotonic() + seconds
    rejected = set()
    while ready := select.select(
        [each for each in connections if each not in closed],
        [],
        [],
        0.3 if len(rejected) >= at_least else max(0.0, end - time.monotonic()),
    )[0]:
        for each in ready:
            try:
                data = each.recv(65536)
            except ConnectionResetError:
                data = b""
            received[each] += data
            closed |= set() if data else {each}
            rejected |= {each} if b"too many connections" in received[each] else set()
    return rejected


@pytest.mark.parametrize("frontend", ["grpc", "jsonrpc"])
def test_more_connections_than_allowed(gatekeeper, frontend):
    gatekeeper.wait_for(lambda state: state["connections"][frontend] <= 1)
    many = [connect(gatekeeper.where[frontend]) for _ in range(60)]
    refused = rejected_connections(many, 20)
    assert 20 <= len(refused) <= 22, (frontend, len(refused))
    for connection in refused:
        connection.close()
    # Rejected connections do not count: as soon as an accepted one is closed, the next is accepted.
    for connection in [each for each in many if each not in refused][:5]:
        connection.close()
    gatekeeper.wait_for(lambda state: state["connections"][frontend] <= 36)
    for connection in many:
        connection.close()
    gatekeeper.wait_for(lambda state: state["connections"][frontend] <= 3)
    assert serves_requests(gatekeeper)


def test_a_silent_client_is_closed_and_a_slow_writer_is_served(gatekeeper):
    silent = connect(gatekeeper.where["grpc"])
    silent.settimeout(8)
    answers = []

    def slowly():
        with connect(gatekeeper.where["jsonrpc"]) as connection:
            for byte in b'{"jsonrpc":"2.0","id":7,"method":"state"}\n':
                connection.sendall(bytes((byte,)))
                time.sleep(0.02)
            answers.append(connection.recv(65536))

    thread = threading.Thread(target=slowly)
    thread.start()
    assert serves_requests(gatekeeper)
    thread.join()
    assert b'"id":7' in answers[0]
    began = time.monotonic()
    read_all(silent)
    assert time.monotonic() - began < 7
    silent.close()


def test_a_client_that_never_reads_affects_no_other(gatekeeper):
    with connect(gatekeeper.where["jsonrpc"]) as connection:
        connection.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
        connection.settimeout(0.5)
        try:
            for _ in range(3000):
                connection.sendall(b'{"jsonrpc":"2.0","id":7,"method":"state"}\n' * 20)
        except TimeoutError:
            pass  # the gateway stops reading from a client that does not read
        assert serves_requests(gatekeeper)


def test_a_check_by_an_independent_http2_client(gatekeeper):
    request = external_auth_pb2.CheckRequest()
    http = request.attributes.request.http
    http.method, http.path = "GET", "/stock-view"
    http.headers["x-api-key"] = "h2"
    client = h2.connection.H2Connection(h2.config.H2Configuration(client_side=True))
    client.initiate_connection()
    client.send_headers(
        1,
        [
            (":method", "POST"),
            (":scheme", "http"),
            (":authority", "x"),
            (":path", "/envoy.service.auth.v3.Authorization/Check"),
            ("content-type", "application/grpc"),
            ("te", "trailers"),
        ],
    )
    client.send_data(1, wire_grpc.encode_message(request.SerializeToString()), end_stream=True)
    body, trailers = b"", None
    with connect(gatekeeper.where["grpc"]) as connection:
        connection.sendall(client.data_to_send())
        while trailers is None:
            for event in client.receive_data(connection.recv(65536)):
                if isinstance(event, h2.events.DataReceived):
                    body += event.data
                elif isinstance(event, h2.events.TrailersReceived):
                    trailers = dict(event.headers)
            connection.sendall(client.data_to_send())
    assert trailers[b"grpc-status"] == b"0"
    answer = external_auth_pb2.CheckResponse.FromString(wire_grpc.MessageDecoder(9999).feed(body)[0])
    assert check_headers(answer)["x-envoy-original-dst-host"].startswith("127.0.0.1:")


def test_a_grpc_timeout_ends_a_queued_check_and_its_request(tmp_path):
    import grpc

    path = tmp_path / "held.conf"
    text = (ROOT / "examples/loopback.conf").read_text()
    path.write_text(text.replace("rate 1000000/s burst 1000000", "rate 1/h burst 1").replace("aim 2s", "aim 4s"))
    running = Running(path)
    try:
        first = check_headers(running.check("POST", "/pre-order", x_request_id="g0"))
        with pytest.raises(grpc.RpcError) as fault:
            running.check("POST", "/pre-order", x_request_id="g1", timeout=0.3)
        assert fault.value.code() is grpc.StatusCode.DEADLINE_EXCEEDED
        running.wait_for(lambda state: state["counts"].get("left") == 1 and state["open"] == 1)
        call_ = running.check_call.future(external_auth_pb2.CheckRequest.FromString(held_request()))
        running.wait_for(lambda state: state["open"] == 2)
        call_.cancel()  # the client disconnects while its request is queued
        running.wait_for(lambda state: state["counts"].get("left") == 2 and state["open"] == 1)
        running.log(first["x-anisefront-attempt"])
        running.wait_for(lambda state: state["open"] == 0)
    finally:
        running.stop()


def held_request():
    request = external_auth_pb2.CheckRequest()
    http = request.attributes.request.http
    http.method, http.path, http.id = "POST", "/pre-order", "g2"
    http.headers["x-api-key"] = "stall-7"
    return request.SerializeToString()
