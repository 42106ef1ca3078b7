"""The process of a gateway instance: memory report, garbage collection, event loop monitor, start and drain."""

import gc
import json
import signal
import socket
import subprocess
import sys
import tracemalloc

import pytest
from cluster import endpoint_list_json
from processes import SETTINGS
from test_module import ENDPOINT_LIST, new_arrival, new_controller
from test_path import ROOT, Running, check_headers
from twisted.internet.task import Clock

from anisefront.gateway.event_loop_lag import SchedulerSample
from anisefront.daemon import collector, event_loop_monitor, memory
from anisefront.policy.controller import Controller
from anisefront.protocols import grpc as wire_grpc
from anisefront.policy.settings import Plan, RequestClass, Settings

SHARED = (Settings, Plan, RequestClass, Controller)


def test_estimated_bytes_of_accounts_are_close_to_the_allocated_ones():
    controller = new_controller(gateways=1, peer_messages_enabled=False, inbox_per_s=0)
    controller.handle(1000, [ENDPOINT_LIST])
    controller.handle(1001, [new_arrival(1, customer="warm")])
    gc.collect()
    tracemalloc.start()
    before = tracemalloc.get_traced_memory()[0]
    for number in range(4000):
        controller.quota_borrower.account_for(
            1002.0, new_arrival(number, customer=f"customer-{number}"), controller.plans["rated"]
        )
    allocated = tracemalloc.get_traced_memory()[0] - before
    tracemalloc.stop()
    report = memory.report([memory.Purpose("accounts", lambda: controller.quota_borrower.accounts, lambda: 7)], SHARED)[
        "accounts"
    ]
    assert report["count"] == 4001 and report["most"] == 7
    assert report["bytes"] == pytest.approx(
        allocated, rel=0.5
    )  # the allocated bytes include the table of customer tags


def test_a_memory_report_costs_the_same_for_any_number_of_entries():
    few, many = ({n: [n] for n in range(count)} for count in (10, 100_000))
    for entries in (few, many):
        assert memory.report([memory.Purpose("x", lambda entries=entries: entries)], ())["x"]["count"] == len(entries)
    cyclic = []
    cyclic.append(cyclic)
    assert memory.size(cyclic, ()) < 200  # a cyclic reference is not followed forever


def test_full_collections_run_only_while_few_requests_are_open(monkeypatch):
    clock, open_requests, full_collections_s = Clock(), [10_000], []
    thresholds = gc.get_threshold()
    scheduler = collector.Collector(clock, lambda: open_requests[0])
    try:
        scheduler.start()
        assert gc.get_threshold()[2] == collector.OLD_THRESHOLD
        gc.callbacks.append(
            lambda phase, info: full_collections_s.append(clock.seconds())
            if phase == "stop" and info["generation"] == 2
            else None
        )
        clock.pump([60.0] * 29)
        assert not full_collections_s
        clock.pump([60.0])
        assert full_collections_s == [1800.0]  # at the latest after the maximum interval
        open_requests[0] = 3
        clock.pump([60.0] * 2)
        assert full_collections_s[1:] == [1860.0, 1920.0] and sum(scheduler.pauses.counts) >= 3
    finally:
        gc.callbacks.clear()
        gc.set_threshold(*thresholds)
        gc.unfreeze()


def test_objects_frozen_after_a_settings_change_are_collected_once_a_day():
    clock, thresholds = Clock(), gc.get_threshold()
    scheduler = collector.Collector(clock, lambda: 0)
    try:
        scheduler.freeze_new_objects()
        assert gc.get_freeze_count() == 0  # nothing is frozen before the start
        scheduler.start()
        settings = [[number] for number in range(5000)]
        scheduler.freeze_new_objects()
        tracked_objects = []
        gc.callbacks.append(
            lambda phase, info: tracked_objects.append(len(gc.get_objects(2)))
            if phase == "start" and info["generation"] == 2
            else None
        )
        clock.pump([60.0] * 3)
        assert len(tracked_objects) == 3 and max(tracked_objects) < len(settings)
        clock.advance(collector.MAX_FROZEN_S)
        assert tracked_objects[-1] > len(settings) and len(gc.get_objects(2)) < len(settings)
    finally:
        gc.callbacks.clear()
        gc.set_threshold(*thresholds)
        gc.unfreeze()


def test_event_loop_monitor_names_the_cause_of_each_lateness(monkeypatch):
    clock, late = Clock(), []
    samples = SchedulerSample(150, 90, 5), SchedulerSample(400, 95, 195)
    readings = iter([SchedulerSample(0, 0, 0), samples[0], samples[0], samples[1], samples[1]])
    monkeypatch.setattr(event_loop_monitor, "read_thread_times", lambda pid, now: next(readings))
    monitor = event_loop_monitor.EventLoopMonitor(clock, lambda: clock.seconds() * 1000, lambda *row: late.append(row))
    monitor.start()
    clock.advance(0.15)  # due after 50 ms
    clock.advance(0.25)
    assert late == [(pytest.approx(100), "own"), (pytest.approx(200), "machine")]
    assert monitor.lag.report()["worst_ms"] == 200.0


def test_ten_thousand_log_entries_at_once_delay_no_check(tmp_path):
    import pathlib

    from envoy.service.accesslog.v3 import als_pb2

    root = pathlib.Path(__file__).parent.parent
    running = Running(root / "examples/loopback.conf")
    try:
        message = als_pb2.StreamAccessLogsMessage()
        for number in range(1000):
            entry = message.http_logs.log_entry.add()
            entry.request.request_headers["x-anisefront-attempt"] = f"0123456789ab.{number}.0"
            entry.response.response_code.value = 200
        call = running.log_call.future(iter([message] * 10))
        answered = []
        while not call.done():
            token = check_headers(running.check(x_request_id=f"b{len(answered)}"))["x-anisefront-attempt"]
            answered.append(token)
            running.log(token)
        assert call.code().name == "OK"
        running.wait_for(lambda state: state["proxied"].get("logs_unknown", 0) == 10_000 and state["open"] == 0)
        state = running.state()
        assert state["counts"]["served"] == len(answered)
        assert {"accounts", "requests", "attempts", "peers", "connections"} < set(state["memory"])
        assert sum(state["turn"]["late"].values()) > 0
    finally:
        running.stop()


def test_a_client_is_not_read_from_while_its_message_is_processed():
    """While a large message of a log stream is processed, further data stay in the socket instead of our buffers."""
    from twisted.internet.testing import StringTransport

    from anisefront.frontends.grpc_server import GrpcFactory

    calls = []

    class Service:
        def __init__(self, call):
            calls.append(call)

        def message_received(self, data):
            calls[-1].continue_in_next_iteration(lambda: None)

        def half_closed(self):
            pass

        def cancelled(self):
            pass

    import h2.config
    import h2.connection

    clock = Clock()
    connection = GrpcFactory(clock, {b"/a.B/C": Service}).buildProtocol(None)
    transport = StringTransport()
    transport.setTcpNoDelay = transport.setTcpKeepAlive = lambda wanted: None
    connection.makeConnection(transport)
    client = h2.connection.H2Connection(h2.config.H2Configuration(client_side=True))
    client.initiate_connection()
    client.send_headers(
        1,
        [
            (":method", "POST"),
            (":scheme", "http"),
            (":authority", "x"),
            (":path", "/a.B/C"),
            ("content-type", "application/grpc"),
            ("te", "trailers"),
        ],
    )
    client.send_data(1, wire_grpc.encode_message(b"x"))
    connection.dataReceived(client.data_to_send())
    assert transport.producerState == "paused"
    connection.pauseProducing()  # the write buffer is full as well
    clock.advance(0)
    assert transport.producerState == "paused"
    connection.resumeProducing()
    assert transport.producerState == "producing"


def test_an_error_in_any_step_of_the_start_ends_the_process():
    """Guards against an exception in the step before listening, which once left a process that never ended."""
    code = (
        "import types\nfrom anisefront.daemon import process\n"
        "def taken(*_): raise OSError('port taken')\n"
        "def strange(*_): raise RuntimeError('port taken, unexpectedly')\n"
        "nothing = types.SimpleNamespace(start=lambda: None)\n"
        "made = types.SimpleNamespace(start={start}, collector=nothing)\n"
        "raise SystemExit(process.run(lambda *_: made, 'error', 'one', {before}))"
    )
    for start, before in (("dict", "taken"), ("taken", "lambda _: None"), ("dict", "strange"), ("strange", "taken")):
        ended = subprocess.run(
            [sys.executable, "-c", code.format(start=start, before=before)],
            cwd=ROOT,
            timeout=20,
            capture_output=True,
            text=True,
        )
        assert ended.returncode == 1 and "port taken" in ended.stderr and "ready" not in ended.stdout


def test_calls_that_were_unread_when_the_drain_began_are_answered():
    """Twenty clients send calls while the process is stopped; it then gets SIGTERM and is continued."""
    running = Running(ROOT / "examples/loopback.conf")
    links = []
    try:
        running.state()  # one connection accepted by this read: Twisted's next read accepts no more than one
        running.process.send_signal(signal.SIGSTOP)
        for number in range(20):
            links.append(socket.create_connection(running.where["jsonrpc"].split(":"), 5))
            links[-1].sendall(
                json.dumps(
                    {
                        "jsonrpc": "2.0",
                        "id": number,
                        "method": "call",
                        "params": {"method": "GET", "path": "/stock-view", "headers": {"x-api-key": "me"}},
                    }
                ).encode()
                + b"\n"
            )
        running.process.send_signal(signal.SIGTERM)
        running.process.send_signal(signal.SIGCONT)
        answers = [json.loads(link.makefile().readline()) for link in links]
        assert all(
            answer.get("result", {}).get("status") == 200 or answer["error"]["data"]["reason"] == "draining"
            for answer in answers
        )
        assert running.process.wait(10) == 0
    finally:
        for link in links:
            link.close()
        running.stop()


def test_an_open_call_is_answered_when_the_drain_times_out(tmp_path):
    """The worker never responds, and the drain timeout is shorter than the request's deadline."""
    with socket.create_server(("127.0.0.1", 0)) as worker, socket.socket(type=socket.SOCK_DGRAM) as spare:
        spare.bind(("127.0.0.1", 0))
        port = spare.getsockname()[1]
        spare.close()
        roster, conf = tmp_path / "roster.json", tmp_path / "one.conf"
        roster.write_text(endpoint_list_json([worker.getsockname()[1]]))
        conf.write_text(
            SETTINGS.format(
                number=0,
                count=1,
                room="a",
                port=port,
                more="",
                routes="",
                peers=f"peer 0 127.0.0.1:{port}",
                pool=f'roster "{roster}"',
            )
        )
        running = Running(conf)
        try:
            host, port = running.where["jsonrpc"].split(":")
            with socket.create_connection((host, int(port)), 5) as link:
                call = {"method": "GET", "path": "/stock-view", "headers": {"x-api-key": "me"}, "body": ""}
                link.sendall(json.dumps({"jsonrpc": "2.0", "id": 1, "method": "call", "params": call}).encode() + b"\n")
                assert worker.accept()
                running.process.send_signal(signal.SIGTERM)
                answer = json.loads(link.makefile().readline())
            assert answer["error"]["data"]["reason"] == "failed" and running.process.wait(5) == 0
        finally:
            running.stop()
