"""The load tool: its schedule, a stall that closed loops hide, and the word where it fell behind."""

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


class Stalling(threading.Thread):
    """A stand-in that answers JSON-RPC lines at once, but for one known stall."""

    def __init__(self, stall_at_s, stall_s):
        super().__init__(daemon=True)
        self.listener = socket.create_server(("127.0.0.1", 0))
        self.address = f"127.0.0.1:{self.listener.getsockname()[1]}"
        self._at, self._for, self._began, self._lock = stall_at_s, stall_s, None, threading.Lock()
        self.start()

    def run(self):
        while True:
            link, _ = self.listener.accept()
            threading.Thread(target=self._serve, args=(link,), daemon=True).start()

    def _serve(self, link):
        try:
            for line in link.makefile():
                with self._lock:  # a stall holds up all links, as a stopped process does
                    now = time.monotonic()
                    self._began = self._began or now
                    if now - self._began >= self._at and self._for:
                        time.sleep(self._for)
                        self._for = 0.0
                call = json.loads(line)
                answer = {"jsonrpc": "2.0", "id": call["id"], "result": {"status": 200}}
                link.sendall(json.dumps(answer).encode() + b"\n")
        except OSError:
            pass


def shots(count, gap_ms):
    return [plan.ScheduledRequest(n * gap_ms / 1000, "jsonrpc", "GET", "/", (), "view", 5000.0) for n in range(count)]


def run(address, wanted, closed=0):
    return Report([sender.run_sender(wanted, {"jsonrpc": address}, 0.0, time.time() + 0.3, closed)])


def test_a_known_stall_is_in_the_tail_that_a_closed_loop_hides():
    """2 s of load with a stall of 800 ms: two fifths of all clients met it; two closed clients met it once each."""
    opened = run(Stalling(0.6, 0.8).address, shots(1000, 2.0))
    closed = run(Stalling(0.1, 0.8).address, shots(1000, 2.0), closed=2)
    tail = {
        name: [report.combined_latency().get_value_at_percentile(q) / 1000 for q in (50, 90, 99)]
        for name, report in (("open", opened), ("closed", closed))
    }
    assert 700 < tail["open"][2] < 1500 and tail["open"][1] > 500
    assert tail["closed"][2] < 200  # of 1,000 answers two were slow
    # Of the schedule's clients those of the stall wait for what is left of it: 800 ms down to nothing.
    waits = opened.combined_latency()
    above = (
        sum(
            item.count_added_in_this_iter_step
            for item in waits.get_recorded_iterator()
            if item.value_iterated_to > 400_000
        )
        / waits.get_total_count()
    )
    assert above == pytest.approx(0.2, abs=0.1)
    assert opened.counts == {"served": 1000}


def test_each_process_has_its_part_of_every_burst():
    whole = shots(100, 1.0)
    parts = [plan.sender_share(whole, number, 4) for number in range(4)]
    assert sorted(shot.at_s for part in parts for shot in part) == [shot.at_s for shot in whole]
    assert all(len([shot for shot in part if shot.at_s < 0.02]) == 5 for part in parts)


def test_a_sender_that_cannot_keep_up_says_so():
    behind, kept = sender.Tally(), sender.Tally()
    for tally, late in ((behind, 300_000), (kept, 500)):
        for number in range(200):
            tally.lateness.record_value(late if number % 20 == 0 else 100)
            tally.record(shots(1, 1)[0], "served", 0.01)
    report = Report([behind.as_dict(), kept.as_dict()])
    assert report.fell_behind and report.late_fraction == pytest.approx(0.025) and "FELL BEHIND: 2.5%" in report.text()
    assert not Report([kept.as_dict()]).fell_behind and "schedule kept" in Report([kept.as_dict()]).text()
    assert report.counts["served"] == 400 and report.rows()[0][1] == 400


def test_too_many_open_are_not_sent_and_counted():
    import asyncio

    async def go():
        listener = socket.create_server(("127.0.0.1", 0))  # accepts and never answers
        one = sender.Sender({"jsonrpc": f"127.0.0.1:{listener.getsockname()[1]}"}, 0.0, max_open=10)
        quick = [plan.ScheduledRequest(0.0, "jsonrpc", "GET", "/", (), "view", 1.0) for _ in range(30)]
        tally = await one.open_loop(quick, asyncio.get_running_loop().time())
        listener.close()
        return tally

    tally = asyncio.run(go())
    assert tally.counts == {"not sent": 20, "none": 10} and Report([tally.as_dict()]).fell_behind


def test_a_trace_against_a_gatekeeper_over_both_fronts(tmp_path):
    running = Running(ROOT / "examples/loopback.conf")
    try:
        recorded = tmp_path / "t.trace"
        recorded.write_bytes(encode_trace(Trace(arrivals(300, 5.0), begin=1.7e12, end=1.7e12 + 1500)))
        done = CliRunner().invoke(
            main,
            [
                "load",
                str(ROOT / "examples/loopback.conf"),
                "--grpc",
                running.where["grpc"],
                "--jsonrpc",
                running.where["jsonrpc"],
                "--trace",
                str(recorded),
                "--processes",
                "2",
                "-o",
                str(tmp_path / "out.json"),
            ],
        )
        figures = json.loads((tmp_path / "out.json").read_text())
        assert done.exit_code in (0, 3), done.output  # a busy machine may make the senders late, and they say so
        assert figures["counts"] == {"allowed": 150, "served": 150} and figures["latency"]["all"]["count"] == 300
        assert {"grpc stock-view allowed", "jsonrpc stock-view served"} < set(figures["latency"])
        running.wait_for(lambda state: state["open"] == 0)
        assert running.state()["counts"]["served"] == 300
    finally:
        running.stop()


def test_classes_without_a_plain_route_are_refused():
    config = load_settings(str(ROOT / "examples/loopback.conf"))
    with pytest.raises(plan.UnsupportedTrafficError, match="class other: no route without parameters"):
        plan.build_schedule(arrivals(3, 1.0, name="other"), config, 1.0, ("grpc",))
    ready = plan.build_schedule(arrivals(3, 10.0), config, 2.0, ("grpc",))
    assert [shot.at_s for shot in ready] == [0.0, 0.005, 0.01] and {shot.frontend for shot in ready} == {"grpc"}
    assert dict(ready[1].headers)["x-api-key"] == "c1"
