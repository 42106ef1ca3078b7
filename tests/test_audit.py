"""The auditor on records made by hand: what it blames on a gatekeeper, and what on the machine."""

import pytest

from anisefront.gateway.event_loop_lag import (
    LagHistogram,
    SchedulerSample,
    ThreadTime,
    parse_schedstat,
    thread_time_between,
)
from anisefront.testbed.audit import Auditor


def day(answered=2000.0, stood=(), **more):
    records = {"clients": [], "workers": [], "proxies": [], "day": []}
    records["day"] = [
        {"at": 0, "kind": "class", "name": "look", "repeat": "safe", "scope": "all"},
        *({"at": until, "kind": "stood", "since": since, "until": until, "ms": ms} for since, until, ms in stood),
    ]
    records["clients"] = [
        {
            "at": 1000,
            "kind": "try",
            "id": "a",
            "wish": "a",
            "number": 0,
            "customer": "c",
            "plan": "p",
            "cls": "look",
            "units": 1,
            "due": 1800,
            "gatekeeper": 0,
            "front": "proxy",
        },
        {"at": answered, "kind": "answer", "id": "a", "how": "served", "status": 200},
    ]
    return Auditor({**records, **more})


def breaches(auditor):
    return auditor.one_answer().breaches


def test_late_by_its_own_doing_is_a_breach_with_its_timeline():
    said = breaches(day(answered=2000.0))
    assert len(said) == 1 and "200 ms after its time" in said[0] and "+1000 answer" in said[0]


@pytest.mark.parametrize("name", ["0", "lab"])
def test_time_that_the_machine_took_is_taken_off(name):
    auditor = day(2000.0, [(1100, 1160, {name: 60.0})])
    assert not breaches(auditor)
    assert "60 ms of them while the machine" in auditor.excused[0]


def test_stalls_of_other_gatekeepers_and_of_other_times_excuse_nothing():
    assert breaches(day(2000.0, [(1100, 1160, {"1": 60.0})]))
    assert breaches(day(2000.0, [(900, 999, {"0": 99.0}), (2001, 2100, {"0": 99.0})]))


def test_two_that_stood_in_one_look_count_once_and_never_for_more_than_the_look():
    auditor = day(2000.0, [(1100, 1125, {"0": 20.0, "lab": 25.0}), (1990, 2090, {"0": 100.0})])
    assert auditor.machine_ms(0, 1000, 2000) == 35.0
    assert auditor.machine_ms(1, 1000, 2000) == 35.0 - 0 - 10.0


def test_more_late_than_the_machine_accounts_for_is_a_breach():
    said = breaches(day(2500.0, [(1100, 1400, {"0": 300.0})]))
    assert "400 ms after its time" in said[0]


def test_causes_of_lateness_add_up():
    ran, waited, slept = SchedulerSample(0, 100, 50), SchedulerSample(500, 400, 150), ThreadTime(300, 100, 100)
    assert thread_time_between(ran, waited) == slept
    lag = LagHistogram()
    assert lag.record(5.0) == "" and lag.record(450.0, ThreadTime(300, 100, 100)) == "own"
    assert lag.record(450.0, ThreadTime(50, 400, 50)) == "machine"
    assert lag.record(450.0, ThreadTime(10, 10, 480)) == "blocked"  # 50 of the 480 it was to sleep
    told = lag.report()
    assert told["worst_ms"] == 450.0 and sum(told["late"].values()) == 4
    assert told["notable_ms_by_cause"] == {"own": 360.0, "machine": 510.0, "blocked": 480.0}


def test_kernel_line():
    assert parse_schedstat("656105320 932521764 172\n", 7.0) == SchedulerSample(7.0, 656.10532, 932.521764)
    assert parse_schedstat("", 0) is None and parse_schedstat("x y z", 0) is None
