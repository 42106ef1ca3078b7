"""Suspects that a test showed: those that are not mended are listed in KNOWN-RED.txt."""

import time
from collections import defaultdict

import pytest
from cluster import REPLICATION_SETTINGS, Cluster, wait_until
from test_rules import settings

from anisefront.policy.actions import Fail, Reject, SetTimer, StartAttempt
from anisefront.policy.controller import Controller
from anisefront.policy.events import (
    Arrival,
    AttemptEnded,
    AttemptResult,
    Endpoint,
    EndpointList,
    EndpointStatus,
    TimerFired,
)
from anisefront.policy.outlier_detection import OutlierDetection

ZONE = REPLICATION_SETTINGS.replace("repeat keyed window 20s", "repeat keyed scope zone window 20s")


@pytest.mark.parametrize("has_duplicates", [False, True])
def test_a_keyed_request_that_may_have_run_in_one_zone_is_sent_to_no_other(tmp_path, has_duplicates):
    # Guards against a second effect: the duplicate of a failed keyed request ignored its deduplication scope.
    cluster = Cluster(tmp_path, extra_settings=ZONE)
    zones = defaultdict(set)
    ports = [server.server_port for server in cluster.workers.servers]

    def execute_and_fail(handler):
        handler.rfile.read(int(handler.headers.get("content-length") or 0))
        zones[handler.headers["x-idempotency-key"]].add(ports.index(handler.server.server_port) % 2)
        cluster.workers.gate.wait(20)
        handler.send_response(500)
        handler.send_header("content-length", "0")
        handler.end_headers()

    try:
        cluster.workers.servers[0].RequestHandlerClass.do_POST = execute_and_fail
        cluster.workers.gate.clear()
        cluster.set_workers_ready()
        wait_until(lambda: all(each.state()["servers"].get("ready") == 3 for each in cluster.gateways.running.values()))
        calls = [cluster.call(0, "/order", f"k{number}") for number in range(12)]
        wait_until(lambda: len(zones) >= 8)
        keys = sorted(zones)
        calls += [cluster.call(1, "/order", key) for key in keys if has_duplicates]
        time.sleep(0.5)  # the duplicates have yielded
        cluster.workers.gate.set()
        assert {call.final() for call in calls} <= {"failed", "refused"}
        assert [key for key in keys if len(zones[key]) > 1] == []
    finally:
        cluster.close()


def test_the_delay_of_an_attempt_that_has_ended_says_nothing_of_the_next_one(monkeypatch):
    # Guards against an endpoint taken as unresponsive, and a hedged request, before its own delay has passed.
    marked, starts, timers = [], [], []
    record = OutlierDetection.record_unresponsive
    monkeypatch.setattr(
        OutlierDetection,
        "record_unresponsive",
        lambda self, now_ms, state, name: marked.append(now_ms) or record(self, now_ms, state, name),
    )
    controller = Controller(settings(), 1)
    endpoints = tuple(Endpoint(f"e{number}", "z0", 0, EndpointStatus.READY) for number in range(6))
    events, now_ms = [EndpointList(endpoints), Arrival(1, "c", "look", "open", 1400.0, 1.0, 0, 3)], 0.0
    while now_ms < 700.0:
        for action in controller.handle(now_ms, events) if events else ():
            if isinstance(action, SetTimer):
                timers.append(now_ms + action.delay_ms)
            elif isinstance(action, StartAttempt):
                starts.append((now_ms, action.endpoint))
        now_ms += 1.0
        events = [TimerFired("agenda")] if any(at_ms <= now_ms for at_ms in timers) else []
        timers = [at_ms for at_ms in timers if at_ms > now_ms]
        if len(starts) == 1 and now_ms == starts[0][0] + 140.0:  # refused: it never ran
            events.append(AttemptEnded(1, 0, starts[0][1], 140.0, AttemptResult.CONNECT_FAILED, False))
    assert len(starts) == 2
    assert [at_ms for at_ms in marked if at_ms < starts[1][0] + 450.0] == []


def test_a_keyed_request_is_not_refused_as_safe_after_its_window():
    # Guards against a second effect: a retry was called safe that comes when its first execution is forgotten.
    controller, now_ms = Controller(settings(), 1), 0.0
    endpoints = (Endpoint("e0", "z0", 0, EndpointStatus.READY),)
    controller.handle(0.0, [EndpointList(endpoints)])
    answers, timers, started_ms = [], [], None
    events = [Arrival(1, "c", "seat", "open", 2500.0, 1.0, 0, 3)]  # dropped for 1,200 ms, by all
    while now_ms < 2600.0:
        for action in controller.handle(now_ms, events) if events else ():
            if isinstance(action, SetTimer):
                timers.append(now_ms + action.delay_ms)
            elif isinstance(action, StartAttempt):
                started_ms = now_ms if started_ms is None else started_ms
            elif isinstance(action, Reject | Fail):
                answers.append((now_ms, type(action)))
        now_ms += 1.0
        events = [TimerFired("agenda")] if any(at_ms <= now_ms for at_ms in timers) else []
        timers = [at_ms for at_ms in timers if at_ms > now_ms]
    assert started_ms is not None and answers[0][0] > started_ms + 1200.0
    assert answers[0][1] is Fail
