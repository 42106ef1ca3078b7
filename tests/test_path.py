"""One gateway process over real sockets: its public services, called by an independent client (grpcio)."""

import json
import os
import pathlib
import signal
import socket
import subprocess
import sys
import threading
import time
import urllib.request

import grpc
import pytest
from envoy.service.accesslog.v3 import als_pb2
from envoy.service.auth.v3 import external_auth_pb2
from grpc_health.v1 import health_pb2, health_pb2_grpc

ROOT = pathlib.Path(__file__).parent.parent


class Running:
    """A gateway process with clients of its services."""

    def __init__(self, path, *more, checkout=ROOT):
        self.process = subprocess.Popen(
            [sys.executable, *(more or ("-m", "anisefront")), "serve", str(path), "--log-level", "warning"],
            cwd=checkout,
            stdout=subprocess.PIPE,
            text=True,
        )
        self.where = json.loads(self.process.stdout.readline())
        self.channel = grpc.insecure_channel(self.where["grpc"])
        self.check_call = self.channel.unary_unary(
            "/envoy.service.auth.v3.Authorization/Check",
            external_auth_pb2.CheckRequest.SerializeToString,
            external_auth_pb2.CheckResponse.FromString,
        )
        self.log_call = self.channel.stream_unary(
            "/envoy.service.accesslog.v3.AccessLogService/StreamAccessLogs",
            als_pb2.StreamAccessLogsMessage.SerializeToString,
            als_pb2.StreamAccessLogsResponse.FromString,
        )

    def check(self, method="GET", path="/stock-view", timeout=5.0, **headers):
        request = external_auth_pb2.CheckRequest()
        http = request.attributes.request.http
        http.method, http.path, http.host = method, path, "stalls.example"
        for name, value in {"x-api-key": "stall-7", **headers}.items():
            http.headers[name.replace("_", "-")] = value
        return self.check_call(request, timeout=timeout)

    def log(self, token, status=200, flag="", **headers):
        message = als_pb2.StreamAccessLogsMessage()
        entry = message.http_logs.log_entry.add()
        entry.request.request_headers["x-anisefront-attempt"] = token
        entry.response.response_code.value = status
        for name, value in headers.items():
            entry.response.response_headers[name.replace("_", "-")] = value
        if flag:
            setattr(entry.common_properties.response_flags, flag, True)
        self.log_call(iter([message]), timeout=5)

    def rpc(self, *lines):
        host, port = self.where["jsonrpc"].split(":")
        with socket.create_connection((host, int(port)), 5) as link:
            link.sendall(
                b"".join(line if isinstance(line, bytes) else json.dumps(line).encode() + b"\n" for line in lines)
            )
            link.shutdown(socket.SHUT_WR)
            return [json.loads(line) for line in link.makefile()]

    def state(self):
        return self.state_or_refusal()["result"]

    def state_or_refusal(self):
        return self.rpc({"jsonrpc": "2.0", "id": 1, "method": "state"})[0]

    def wait_for(self, what, seconds=20.0):
        """Poll until the state meets a condition. A poll that the connection limit rejects is repeated."""
        end = time.monotonic() + seconds
        while "result" not in (answer := self.state_or_refusal()) or not what(answer["result"]):
            assert time.monotonic() < end, answer
            time.sleep(0.02)

    def stop(self):
        self.channel.close()
        if self.process.poll() is None:
            self.process.send_signal(signal.SIGTERM)
        self.process.wait(10)
        self.process.stdout.close()


@pytest.fixture(scope="module")
def gatekeeper():
    running = Running(ROOT / "examples/loopback.conf")
    yield running
    running.stop()


def check_headers(answer):
    return {option.header.key: option.header.value for option in answer.ok_response.headers}


def test_a_check_returns_an_endpoint_and_the_log_ends_the_attempt(gatekeeper):
    before = gatekeeper.state()["counts"].get("served", 0)
    headers = check_headers(gatekeeper.check(x_request_id="a1"))
    assert 0 < int(headers["x-envoy-upstream-rq-timeout-ms"]) <= 5000
    worker = f"http://{headers['x-envoy-original-dst-host']}/stock-view"
    with urllib.request.urlopen(worker, timeout=5) as answer:
        assert answer.status == 200 and answer.headers["endpoint-load-metrics"].startswith("TEXT ")
    gatekeeper.log(headers["x-anisefront-attempt"], 200, endpoint_load_metrics="TEXT cpu_utilization=0.5")
    gatekeeper.wait_for(lambda state: state["counts"].get("served", 0) == before + 1)
    assert gatekeeper.state()["open"] == 0


def test_a_further_check_gets_an_attempt_at_another_endpoint(gatekeeper):
    first = check_headers(gatekeeper.check(x_request_id="b1"))
    gatekeeper.log(first["x-anisefront-attempt"], 503, "upstream_remote_reset")
    second = check_headers(gatekeeper.check(x_request_id="b1", x_anisefront_attempt=first["x-anisefront-attempt"]))
    assert second["x-envoy-original-dst-host"] != first["x-envoy-original-dst-host"]
    assert second["x-anisefront-attempt"].endswith(".1")
    gatekeeper.log(second["x-anisefront-attempt"])
    gatekeeper.wait_for(lambda state: state["open"] == 0)


@pytest.mark.parametrize(
    ("path", "headers", "status"), [("/nowhere", {}, 404), ("/stock-view", {"x_api_key": ""}, 401)]
)
def test_requests_without_a_route_or_key_are_denied(gatekeeper, path, headers, status):
    answer = gatekeeper.check(path=path, **headers)
    assert answer.denied_response.status.code == status and answer.status.code != 0


def test_a_request_id_from_two_proxies_is_executed_once(gatekeeper):
    first = check_headers(gatekeeper.check(x_request_id="c1"))
    answer = gatekeeper.check(x_request_id="c1")
    assert answer.denied_response.status.code == 409
    gatekeeper.log(first["x-anisefront-attempt"])
    gatekeeper.wait_for(lambda state: state["open"] == 0)


def test_duplicate_and_unknown_logs_change_nothing(gatekeeper):
    token = check_headers(gatekeeper.check(x_request_id="d1"))["x-anisefront-attempt"]
    before = gatekeeper.state()
    gatekeeper.log(token)
    gatekeeper.log(token, 500)
    gatekeeper.log("0123456789ab.99999.0", 500)
    gatekeeper.log("\x00 no token", 500)
    gatekeeper.wait_for(
        lambda state: state["proxied"].get("logs_unknown", 0) == before["proxied"].get("logs_unknown", 0) + 3
    )
    after = gatekeeper.state()["counts"]
    assert after["served"] == before["counts"].get("served", 0) + 1
    assert after.get("attempts_error", 0) == before["counts"].get("attempts_error", 0)


def test_an_attempt_of_an_earlier_incarnation_fails_and_may_have_executed(gatekeeper):
    answer = gatekeeper.check(x_request_id="e1", x_anisefront_attempt="0123456789ab.1.0")
    headers = {option.header.key: option.header.value for option in answer.denied_response.headers}
    assert answer.denied_response.status.code == 502 and headers["x-anisefront-final"] == "failed"


def test_health_check_and_watch(gatekeeper):
    stub = health_pb2_grpc.HealthStub(gatekeeper.channel)
    assert stub.Check(health_pb2.HealthCheckRequest(), timeout=5).status == 1
    name = "envoy.service.auth.v3.Authorization"
    assert next(iter(stub.Watch(health_pb2.HealthCheckRequest(service=name), timeout=5))).status == 1
    assert next(iter(stub.Watch(health_pb2.HealthCheckRequest(service="other"), timeout=5))).status == 3
    with pytest.raises(grpc.RpcError) as fault:
        stub.Check(health_pb2.HealthCheckRequest(service="other"), timeout=5)
    assert fault.value.code() is grpc.StatusCode.NOT_FOUND


def test_compressed_large_and_unknown_calls_are_rejected_by_status(gatekeeper):
    request = external_auth_pb2.CheckRequest()
    request.attributes.request.http.path = "x" * 1000
    with pytest.raises(grpc.RpcError) as fault:
        gatekeeper.check_call(request, timeout=5, compression=grpc.Compression.Gzip)
    assert fault.value.code() is grpc.StatusCode.UNIMPLEMENTED
    request.attributes.request.http.path = "x" * 300_000
    with pytest.raises(grpc.RpcError) as fault:
        gatekeeper.check_call(request, timeout=5)
    assert fault.value.code() is grpc.StatusCode.RESOURCE_EXHAUSTED
    other = gatekeeper.channel.unary_unary("/a.B/C")
    with pytest.raises(grpc.RpcError) as fault:
        other(b"", timeout=5)
    assert fault.value.code() is grpc.StatusCode.UNIMPLEMENTED


def call(number, **params):
    return {
        "jsonrpc": "2.0",
        "id": number,
        "method": "call",
        "params": {"path": "/stock-view", "headers": {"x-api-key": "k"}} | params,
    }


def test_jsonrpc_call_is_executed(gatekeeper):
    (answer,) = gatekeeper.rpc(call("x1"))
    assert answer["result"]["status"] == 200 and answer["id"] == "x1" and answer["result"]["attempts"] == 1


def test_jsonrpc_batches_notifications_and_errors(gatekeeper):
    note = {key: value for key, value in call(0).items() if key != "id"}
    answers = gatekeeper.rpc([call(1), note, {"jsonrpc": "2.0", "id": 3, "method": "none"}, 7], note)
    assert len(answers) == 1
    batch = {answer["id"]: answer for answer in answers[0]}
    assert set(batch) == {1, 3, None} and batch[3]["error"]["code"] == -32601
    assert batch[None]["error"]["code"] == -32600 and batch[1]["result"]["status"] == 200
    faults = gatekeeper.rpc(b"{no json\n", b"[]\n", call(1, path="stock"), call(2, path="/nowhere"), call(3, body=4))
    assert [fault["error"]["code"] for fault in faults] == [-32700, -32600, -32602, -32003, -32602]


def test_a_stall_of_the_process_loses_no_response(gatekeeper):
    answers = []
    thread = threading.Thread(target=lambda: answers.extend(gatekeeper.rpc(*(call(n) for n in range(30)))))
    os.kill(gatekeeper.process.pid, signal.SIGSTOP)
    thread.start()
    time.sleep(1.5)
    os.kill(gatekeeper.process.pid, signal.SIGCONT)
    thread.join(10)
    assert sorted(answer["id"] for answer in answers if "result" in answer) == list(range(30))


def test_a_line_that_is_too_long_gets_an_error_and_a_clean_close_while_more_data_arrive(gatekeeper):
    host, port = gatekeeper.where["jsonrpc"].split(":")
    with socket.create_connection((host, int(port)), 5) as link:
        link.sendall(b"x" * (1 << 20) + b"y" * (1 << 19))
        time.sleep(0.2)
        link.sendall(b"more")
        time.sleep(0.1)
        assert link.recv(65536).count(b'"error"') == 1 and link.recv(65536) == b""


def test_a_drain_finishes_open_requests_and_rejects_new_ones(tmp_path):
    running = Running(ROOT / "examples/loopback.conf")
    token = check_headers(running.check(x_request_id="f1"))["x-anisefront-attempt"]
    running.process.send_signal(signal.SIGTERM)
    running.wait_for(lambda state: state["state"] == "draining")
    assert running.check(x_request_id="f2").denied_response.status.code == 503
    assert running.process.poll() is None
    running.log(token)
    assert running.process.wait(5) == 0
    running.stop()


def test_call_and_state_commands(gatekeeper):
    from click.testing import CliRunner

    from anisefront.cli.main import main

    where = gatekeeper.where["jsonrpc"]
    done = CliRunner().invoke(main, ["call", where, "GET", "/stock-view", "-H", "X-Api-Key: me"])
    assert done.exit_code == 0 and '"status": 200' in done.output
    assert CliRunner().invoke(main, ["call", where, "GET", "/nowhere"]).exit_code == 1
    assert '"state": "serving"' in CliRunner().invoke(main, ["state", where]).output
    assert CliRunner().invoke(main, ["state", "127.0.0.1:1"]).exit_code == 1
