"""The auditor on records made by hand: what it blames on a gatekeeper, and what on the machine."""

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


def day(answered=2000.0, stood=(), blocked=(), how="served", **more):
    records = {"clients": [], "workers": [], "proxies": [], "day": []}
    records["day"] = [
        {"at": 0, "kind": "class", "name": "look", "repeat": "safe", "scope": "all"},
        *({"at": until, "kind": "stood", "since": since, "until": until, "ms": ms} for since, until, ms in stood),
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
        {"at": answered, "kind": "answer", "id": "a", "how": how, "status": 200},
    ]
    return Auditor({**records, **more})


def breaches(auditor):
    return auditor.one_answer().breaches


def test_late_by_its_own_doing_is_a_breach_with_its_timeline():
    said = breaches(day(answered=2000.0))
    assert len(said) == 1 and "200 ms after its deadline" in said[0] and "+1000 answer" in said[0]


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
    assert "400 ms after its deadline" in said[0]


# As on a starved machine: the stand-ins wait for a core through a third of each look.
STARVED = [(float(at), at + 30.0, {"lab": 10.0}) for at in range(1000, 4000, 30)]


@pytest.mark.parametrize("how", ["served", "none"])
def test_stalls_of_the_stand_ins_while_the_gatekeeper_is_blocked_excuse_nothing(how):
    # Guards against a blocked loop that is not seen: the stand-ins' waits meanwhile were taken off its lateness.
    late = day(2800.0, STARVED, how=how)
    assert late.machine_ms(0, 1000, 2800) == 600.0  # of 1,000
    blocked = day(2800.0, STARVED, [(0, 1000, 1150), (0, 1150, 2800)], how=how)
    assert blocked.machine_ms(0, 1000, 2800) == 0.0 and len(breaches(blocked)) == 1


def test_stalls_outside_the_block_and_blocks_of_others_are_judged_as_before():
    # Guards against blame for what the machine took: only the looks of the gatekeeper's own block lose their excuse.
    kept = day(2800.0, STARVED).machine_ms(0, 1000, 2800)
    assert kept == 600.0
    assert day(2800.0, STARVED, [(1, 1000, 2800)]).machine_ms(0, 1000, 2800) == kept
    assert day(2800.0, STARVED, [(0, 1000, 1900)]).machine_ms(0, 1000, 2800) == 300.0
    assert day(2000.0, [(1100, 1160, {"lab": 30.0})], [(0, 1000, 1110)]).machine_ms(0, 1000, 2000) == 30.0
    assert day(2000.0, [(1100, 1160, {"lab": 60.0})], [(0, 1000, 1120)]).machine_ms(0, 1000, 2000) == 40.0


def test_a_gatekeepers_own_wait_for_a_core_is_taken_off_next_to_its_block():
    # Guards against blame for the wait of a gatekeeper whose block ended within the same look.
    auditor = day(2000.0, [(1100, 1160, {"0": 45.0, "lab": 60.0})], [(0, 1000, 1155)])
    assert auditor.machine_ms(0, 1000, 2000) == 45.0


class Kernel:
    """What the kernel tells of a gatekeeper and of the laboratory's process."""

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

    def looks(self, count):
        self.clock.pump([stall_monitor.SAMPLE_INTERVAL_MS / 1000] * count)


def test_watch_tells_of_a_gatekeeper_that_sleeps_on_and_when_it_began(monkeypatch):
    # Guards against a block in a call that the day's records do not show.
    kernel = Kernel(monkeypatch)
    kernel.looks(40)
    assert kernel.written[0] == (0.0, stall_monitor.BLOCKED_SAMPLES * stall_monitor.SAMPLE_INTERVAL_MS)
    assert all(before[1] == after[0] for before, after in zip(kernel.written, kernel.written[1:], strict=False))
    assert kernel.written[-1][1] == 1000.0
    kernel.ran_ms += 1.0
    kernel.looks(1)
    assert kernel.written[-1][1] == 1000.0


@pytest.mark.parametrize(
    ("wakes_every", "state"),
    [(2, "S"), (4, "S"), (1000, "R"), (1000, "T"), (1000, "D"), (1000, "")],
    ids=["a loop's timer", "twice its timer", "waits for a core", "stopped", "waits for a disk", "not known"],
)
def test_watch_does_not_take_other_pauses_for_a_block(monkeypatch, wakes_every, state):
    # Guards against blame on an intact gatekeeper that is idle or that the machine keeps from running.
    kernel = Kernel(monkeypatch)
    kernel.state = state
    for look in range(1, 41):
        kernel.ran_ms += look % wakes_every == 0
        kernel.looks(1)
    assert not kernel.written


def test_watch_does_not_take_a_stall_of_the_whole_machine_for_a_block(monkeypatch):
    # Guards against blame where all processes stood still: the first look may come before the gatekeeper's timer.
    kernel = Kernel(monkeypatch)
    kernel.looks(2)
    kernel.clock.advance(0.320)
    kernel.ran_ms += 1.0
    kernel.looks(2)
    assert not kernel.written


def test_state_of_a_process():
    assert stall_monitor.read_state("self") == "R" and stall_monitor.read_state(0) == ""


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
