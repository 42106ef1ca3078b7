"""Tests of the load generator: its schedule, coordinated omission, and the warning if it falls behind."""

import json
import pathlib
import socket
import threading
import time

import pytest
from click.testing import CliRunner
from test_path import Running

from anisefront.cli.config import load as load_settings
from anisefront.cli.main import main
from anisefront.testbed.load import plan, sender
from anisefront.testbed.load.report import Report
from anisefront.testbed.model.traces import Arrival, Trace, encode_trace

ROOT = pathlib.Path(__file__).parent.parent


def arrivals(count, gap_ms, begin_ms=0.0, name="stock-view"):
    return [
        Arrival(begin_ms + n * gap_ms, f"c{n % 7}", name, "wide", 1.0, 5000.0, 0, False, n % 2 == 0)
        for n in range(count)
    ]


class StallingServer(threading.Thread):
    """A server that responds to JSON-RPC lines at once, except for one stall of known length."""

    def __init__(self, stall_at_s, stall_s):
        super().__init__(daemon=True)
        self.listener = socket.create_server(("127.0.0.1", 0))
        self.address = f"127.0.0.1:{self.listener.getsockname()[1]}"
        self._stall_at_s, self._stall_s, self._first_call_s, self._lock = stall_at_s, stall_s, None, threading.Lock()
        self.start()

    def run(self):
        while True:
            connection, _ = self.listener.accept()
            threading.Thread(target=self._serve, args=(connection,), daemon=True).start()

    def _serve(self, connection):
        try:
            for line in connection.makefile():
                with self._lock:  # a stall delays all connections, as a stopped process does
                    now = time.monotonic()
                    self._first_call_s = self._first_call_s or now
                    if now - self._first_call_s >= self._stall_at_s and self._stall_s:
                        time.sleep(self._stall_s)
                        self._stall_s = 0.0
                call = json.loads(line)
                answer = {"jsonrpc": "2.0", "id": call["id"], "result": {"status": 200}}
                connection.sendall(json.dumps(answer).encode() + b"\n")
        except OSError:
            pass


def evenly_spaced(count, gap_ms):
    return [plan.ScheduledRequest(n * gap_ms / 1000, "jsonrpc", "GET", "/", (), "view", 5000.0) for n in range(count)]


def run_load(address, schedule, closed_clients=0):
    return Report([sender.run_sender(schedule, {"jsonrpc": address}, 0.0, time.time() + 0.3, closed_clients)])


def test_a_stall_shows_in_the_tail_of_the_open_loop_but_not_of_a_closed_one():
    """A stall of 800 ms in 2 s of load delays 40% of the open-loop requests, but one request per closed-loop client."""
    open_report = run_load(StallingServer(0.6, 0.8).address, evenly_spaced(1000, 2.0))
    closed_report = run_load(StallingServer(0.1, 0.8).address, evenly_spaced(1000, 2.0), closed_clients=2)
    tail = {
        name: [report.combined_latency().get_value_at_percentile(q) / 1000 for q in (50, 90, 99)]
        for name, report in (("open", open_report), ("closed", closed_report))
    }
    assert 700 < tail["open"][2] < 1500 and tail["open"][1] > 500
    assert tail["closed"][2] < 200  # 2 of 1,000 responses were slow
    # The requests scheduled during the stall wait for the rest of it: from 800 ms down to 0.
    latencies = open_report.combined_latency()
    stalled_fraction = (
        sum(
            item.count_added_in_this_iter_step
            for item in latencies.get_recorded_iterator()
            if item.value_iterated_to > 400_000
        )
        / latencies.get_total_count()
    )
    assert stalled_fraction == pytest.approx(0.2, abs=0.1)
    assert open_report.counts == {"served": 1000}


def test_each_process_sends_its_share_of_every_burst():
    schedule = evenly_spaced(100, 1.0)
    shares = [plan.sender_share(schedule, number, 4) for number in range(4)]
    assert sorted(request.at_s for share in shares for request in share) == [request.at_s for request in schedule]
    assert all(len([request for request in share if request.at_s < 0.02]) == 5 for share in shares)


def test_a_sender_that_falls_behind_is_reported():
    behind, on_schedule = sender.Tally(), sender.Tally()
    for tally, lateness_us in ((behind, 300_000), (on_schedule, 500)):
        for number in range(200):
            tally.lateness.record_value(lateness_us if number % 20 == 0 else 100)
            tally.record(evenly_spaced(1, 1)[0], "served", 0.01)
    report = Report([behind.as_dict(), on_schedule.as_dict()])
    assert report.fell_behind and report.late_fraction == pytest.approx(0.025) and "FELL BEHIND: 2.5%" in report.text()
    assert not Report([on_schedule.as_dict()]).fell_behind and "schedule kept" in Report([on_schedule.as_dict()]).text()
    assert report.counts["served"] == 400 and report.rows()[0][1] == 400


def test_requests_beyond_the_limit_of_open_ones_are_counted_as_not_sent():
    import asyncio

    async def send_all():
        listener = socket.create_server(("127.0.0.1", 0))  # accepts connections and never responds
        load_sender = sender.Sender({"jsonrpc": f"127.0.0.1:{listener.getsockname()[1]}"}, 0.0, max_open=10)
        schedule = [plan.ScheduledRequest(0.0, "jsonrpc", "GET", "/", (), "view", 1.0) for _ in range(30)]
        tally = await load_sender.open_loop(schedule, asyncio.get_running_loop().time())
        listener.close()
        return tally

    tally = asyncio.run(send_all())
    assert tally.counts == {"not sent": 20, "none": 10} and Report([tally.as_dict()]).fell_behind


def test_a_trace_is_sent_to_an_instance_over_both_frontends(tmp_path):
    running = Running(ROOT / "examples/loopback.conf")
    try:
        trace_file = tmp_path / "t.trace"
        trace_file.write_bytes(encode_trace(Trace(arrivals(300, 5.0), begin=1.7e12, end=1.7e12 + 1500)))
        result = CliRunner().invoke(
            main,
            [
                "load",
                str(ROOT / "examples/loopback.conf"),
                "--grpc",
                running.where["grpc"],
                "--jsonrpc",
                running.where["jsonrpc"],
                "--trace",
                str(trace_file),
                "--processes",
                "2",
                "-o",
                str(tmp_path / "out.json"),
            ],
        )
        figures = json.loads((tmp_path / "out.json").read_text())
        assert result.exit_code in (0, 3), result.output  # 3 if a busy machine delayed the senders
        assert figures["counts"] == {"allowed": 150, "served": 150} and figures["latency"]["all"]["count"] == 300
        assert {"grpc stock-view allowed", "jsonrpc stock-view served"} < set(figures["latency"])
        running.wait_for(lambda state: state["open"] == 0)
        assert running.state()["counts"]["served"] == 300
    finally:
        running.stop()


def test_classes_without_a_route_free_of_parameters_are_rejected():
    config = load_settings(str(ROOT / "examples/loopback.conf"))
    with pytest.raises(plan.UnsupportedTrafficError, match="class other: no route without parameters"):
        plan.build_schedule(arrivals(3, 1.0, name="other"), config, 1.0, ("grpc",))
    schedule = plan.build_schedule(arrivals(3, 10.0), config, 2.0, ("grpc",))
    assert [each.at_s for each in schedule] == [0.0, 0.005, 0.01] and {each.frontend for each in schedule} == {"grpc"}
    assert dict(schedule[1].headers)["x-api-key"] == "c1"
