"""Tests of the auditor on synthetic records, of the stall monitor, and of the event loop's lag histogram."""

import pytest
from twisted.internet.task import Clock

from anisefront.gateway.event_loop_lag import (
    LagHistogram,
    SchedulerSample,
    ThreadTime,
    parse_schedstat,
    thread_time_between,
)
from anisefront.testbed import stall_monitor
from anisefront.testbed.audit import Auditor


def audit_one_request(responded_ms=2000.0, stalls=(), blocked=(), outcome="served", repeat="safe", **records_by_file):
    records = {"clients": [], "workers": [], "proxies": [], "day": []}
    records["day"] = [
        {"at": 0, "kind": "class", "name": "look", "repeat": repeat, "scope": "all"},
        *({"at": until, "kind": "stood", "since": since, "until": until, "ms": ms} for since, until, ms in stalls),
        *(
            {"at": until, "kind": "blocked", "number": number, "since": since, "until": until}
            for number, since, until in blocked
        ),
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
        {"at": responded_ms, "kind": "answer", "id": "a", "how": outcome, "status": 200},
    ]
    return Auditor({**records, **records_by_file})


@pytest.mark.parametrize(("repeat", "breaches"), [("safe", 0), ("keyed", 1), ("unsafe", 1)])
def test_a_request_that_ran_and_was_refused_breaks_the_rule_unless_it_is_idempotent(repeat, breaches):
    # Guards against a double effect that no day shows: a keyed retry after the window was taken for harmless.
    auditor = audit_one_request(
        outcome="refused", workers=[{"at": 1500, "kind": "run", "id": "a", "worker": "w", "cell": 0}], repeat=repeat
    )
    assert len(auditor.no_effect_twice().breaches) == breaches


def one_answer_breaches(auditor):
    return auditor.one_answer().breaches


def test_a_late_response_is_a_breach_with_its_timeline():
    found = one_answer_breaches(audit_one_request(responded_ms=2000.0))
    assert len(found) == 1 and "200 ms after its deadline" in found[0] and "+1000 answer" in found[0]


@pytest.mark.parametrize("name", ["0", "lab"])
def test_stalls_of_the_machine_are_deducted_from_the_lateness(name):
    auditor = audit_one_request(2000.0, [(1100, 1160, {name: 60.0})])
    assert not one_answer_breaches(auditor)
    assert "60 ms of them while the machine" in auditor.excused[0]


def test_stalls_of_other_instances_and_at_other_times_excuse_nothing():
    assert one_answer_breaches(audit_one_request(2000.0, [(1100, 1160, {"1": 60.0})]))
    assert one_answer_breaches(audit_one_request(2000.0, [(900, 999, {"0": 99.0}), (2001, 2100, {"0": 99.0})]))


def test_two_stalls_in_one_sample_count_once_and_for_no_more_than_the_sample():
    auditor = audit_one_request(2000.0, [(1100, 1125, {"0": 20.0, "lab": 25.0}), (1990, 2090, {"0": 100.0})])
    assert auditor.machine_ms(0, 1000, 2000) == 35.0
    assert auditor.machine_ms(1, 1000, 2000) == 35.0 - 0 - 10.0


def test_lateness_beyond_the_stalls_of_the_machine_is_a_breach():
    found = one_answer_breaches(audit_one_request(2500.0, [(1100, 1400, {"0": 300.0})]))
    assert "400 ms after its deadline" in found[0]


# On a starved machine: the test bed's process waits for a core during a third of each sample.
STARVED_TEST_BED = [(float(at), at + 30.0, {"lab": 10.0}) for at in range(1000, 4000, 30)]


@pytest.mark.parametrize("outcome", ["served", "none"])
def test_stalls_of_the_test_bed_while_the_instance_is_blocked_excuse_nothing(outcome):
    # Guards against a blocked event loop that is excused: the test bed's own stalls were deducted from its lateness.
    stalled = audit_one_request(2800.0, STARVED_TEST_BED, outcome=outcome)
    assert stalled.machine_ms(0, 1000, 2800) == 600.0  # of 1,000
    blocked = audit_one_request(2800.0, STARVED_TEST_BED, [(0, 1000, 1150), (0, 1150, 2800)], outcome=outcome)
    assert blocked.machine_ms(0, 1000, 2800) == 0.0 and len(one_answer_breaches(blocked)) == 1


def test_stalls_outside_the_blocked_span_still_count():
    # Guards against blaming an instance for stalls of the machine outside the span in which it was blocked.
    expected = audit_one_request(2800.0, STARVED_TEST_BED).machine_ms(0, 1000, 2800)
    assert expected == 600.0
    assert audit_one_request(2800.0, STARVED_TEST_BED, [(1, 1000, 2800)]).machine_ms(0, 1000, 2800) == expected
    assert audit_one_request(2800.0, STARVED_TEST_BED, [(0, 1000, 1900)]).machine_ms(0, 1000, 2800) == 300.0
    assert audit_one_request(2000.0, [(1100, 1160, {"lab": 30.0})], [(0, 1000, 1110)]).machine_ms(0, 1000, 2000) == 30.0
    assert audit_one_request(2000.0, [(1100, 1160, {"lab": 60.0})], [(0, 1000, 1120)]).machine_ms(0, 1000, 2000) == 40.0


def test_an_instances_own_wait_for_a_core_counts_next_to_its_blocked_span():
    # Guards against blaming an instance for its wait for a core after a blocked span that ended in the same sample.
    auditor = audit_one_request(2000.0, [(1100, 1160, {"0": 45.0, "lab": 60.0})], [(0, 1000, 1155)])
    assert auditor.machine_ms(0, 1000, 2000) == 45.0


class Kernel:
    """Simulated kernel counters of an instance and of the test bed's process."""

    def __init__(self, monkeypatch):
        self.clock, self.written, self.ran_ms, self.waited_ms, self.state = Clock(), [], 0.0, 0.0, "S"
        monkeypatch.setattr(stall_monitor, "now_ms", lambda: self.clock.seconds() * 1000)
        monkeypatch.setattr(stall_monitor, "read_thread_times", self.read)
        monkeypatch.setattr(stall_monitor, "read_state", lambda pid: self.state)
        stall_monitor.StallMonitor(self.clock, self, lambda: {0: 4711}).start()

    def write(self, kind, **values):
        if kind == "blocked":
            self.written.append((values["since"], values["until"]))

    def read(self, pid, now):
        return SchedulerSample(now, 0.0, 0.0) if pid == "self" else SchedulerSample(now, self.ran_ms, self.waited_ms)

    def take_samples(self, count):
        self.clock.pump([stall_monitor.SAMPLE_INTERVAL_MS / 1000] * count)


def test_the_monitor_records_since_when_an_instance_is_blocked(monkeypatch):
    # Guards against a blocked event loop that is missing from the records.
    kernel = Kernel(monkeypatch)
    kernel.take_samples(40)
    assert kernel.written[0] == (0.0, stall_monitor.BLOCKED_SAMPLES * stall_monitor.SAMPLE_INTERVAL_MS)
    assert all(before[1] == after[0] for before, after in zip(kernel.written, kernel.written[1:], strict=False))
    assert kernel.written[-1][1] == 1000.0
    kernel.ran_ms += 1.0
    kernel.take_samples(1)
    assert kernel.written[-1][1] == 1000.0


@pytest.mark.parametrize(
    ("wakes_every", "state"),
    [(2, "S"), (4, "S"), (1000, "R"), (1000, "T"), (1000, "D"), (1000, "")],
    ids=["a loop's timer", "twice its timer", "waits for a core", "stopped", "waits for a disk", "not known"],
)
def test_the_monitor_does_not_record_other_pauses_as_blocked(monkeypatch, wakes_every, state):
    # Guards against blaming an instance that is idle or that the machine keeps from running.
    kernel = Kernel(monkeypatch)
    kernel.state = state
    for sample in range(1, 41):
        kernel.ran_ms += sample % wakes_every == 0
        kernel.take_samples(1)
    assert not kernel.written


def test_the_monitor_does_not_record_a_stall_of_the_whole_machine_as_blocked(monkeypatch):
    # Guards against blaming an instance for a stall of all processes: the first sample may precede its timer.
    kernel = Kernel(monkeypatch)
    kernel.take_samples(2)
    kernel.clock.advance(0.320)
    kernel.ran_ms += 1.0
    kernel.take_samples(2)
    assert not kernel.written


def test_reading_the_state_of_a_process():
    assert stall_monitor.read_state("self") == "R" and stall_monitor.read_state(0) == ""


def test_the_causes_of_lateness_add_up():
    ran, waited, slept = SchedulerSample(0, 100, 50), SchedulerSample(500, 400, 150), ThreadTime(300, 100, 100)
    assert thread_time_between(ran, waited) == slept
    lag = LagHistogram()
    assert lag.record(5.0) == "" and lag.record(450.0, ThreadTime(300, 100, 100)) == "own"
    assert lag.record(450.0, ThreadTime(50, 400, 50)) == "machine"
    assert lag.record(450.0, ThreadTime(10, 10, 480)) == "blocked"  # of the 480 ms asleep, 50 were intended
    report = lag.report()
    assert report["worst_ms"] == 450.0 and sum(report["late"].values()) == 4
    assert report["notable_ms_by_cause"] == {"own": 360.0, "machine": 510.0, "blocked": 480.0}


def test_parsing_a_schedstat_line():
    assert parse_schedstat("656105320 932521764 172\n", 7.0) == SchedulerSample(7.0, 656.10532, 932.521764)
    assert parse_schedstat("", 0) is None and parse_schedstat("x y z", 0) is None
