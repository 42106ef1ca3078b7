"""The scale run in small: what it says of messages, members and settings, and that nothing of it is left behind."""

import json
import os
import signal
import socket
import subprocess
import sys
import time

import pytest
from hypothesis import given
from hypothesis import strategies as st

from anisefront.cli.config import checked
from anisefront.cluster.datagrams import DatagramAuthenticator
from anisefront.cluster.replication_codec import MAGIC_BYTE
from anisefront.cluster.membership import Membership
from anisefront.frontends.jsonrpc_responses import UNROUTABLE
from anisefront.policy.peer_codec import encode
from anisefront.config.incremental_loader import IncrementalLoader
from anisefront.gateway.steps import run_to_end
from benchmarks.scale import axes, child, counting, fit, results
from benchmarks.scale.__main__ import PARTS
from benchmarks.scale.files import SECRET, Files, Sizes, customers_of
from benchmarks.scale.fleet import Fleet, highest_ms, rpc
from benchmarks.scale.datagram_relay import crosses

SMALL = Sizes(gatekeepers=22, reals=2, workers=48, routes=39, tenants=66, requests=10.0, period_ms=200.0)


def until(what, seconds=15.0):
    end = time.monotonic() + seconds
    while not (found := what()):
        assert time.monotonic() < end
        time.sleep(0.05)
    return found


# ---- free of processes -----------------------------------------------------------------------------------------------


@given(st.floats(-100, 100), st.floats(-5, 5), st.floats(-0.01, 0.01))
def test_a_fit_finds_what_made_the_figures(a, b, c):
    sizes = [106, 212, 425, 850, 1700]
    found = fit.fit(sizes, [a + b * n + c * n * n for n in sizes], "quadratic")
    assert found.a == pytest.approx(a, abs=1e-6) and found.b == pytest.approx(b, abs=1e-8)
    assert found.c == pytest.approx(c, abs=1e-10) and fit.at(found, 3000) == pytest.approx(a + b * 3000 + c * 9e6)
    line = fit.fit(sizes, [a + b * n for n in sizes])
    assert (line.a, line.b, line.c) == (pytest.approx(a, abs=1e-6), pytest.approx(b, abs=1e-8), 0.0)


def test_errors_of_a_fit_are_those_of_the_textbook_and_too_few_sizes_are_refused():
    found = fit.fit([1, 2, 3, 4], [1.0, 3.0, 2.0, 4.0])
    # sum of squares about the line 1.8, two degrees free; of the sizes about their mean 5
    assert (found.a, found.b) == (pytest.approx(0.5), pytest.approx(0.8))
    assert found.err_b == pytest.approx((0.9 / 5) ** 0.5) and found.err_a == pytest.approx((0.9 * 30 / 20) ** 0.5)
    assert found.r2 == pytest.approx(0.64)
    with pytest.raises(ValueError, match="needs 3"):
        fit.fit([1, 2], [1.0, 2.0], "quadratic")
    with pytest.raises(ValueError, match="needs 2"):
        fit.fit([2, 2], [1.0, 2.0])


def test_a_prediction_is_kept_before_the_largest_size_and_held_against_it(tmp_path):
    file, axis = tmp_path / "results" / "scale.json", results.Axis("things", {"others": 1})
    for size in (1, 2, 4):
        axis.rows.append(
            results.Row(
                size,
                {
                    "rss_mb": 10.0 * size,
                    "added_p50_ms": 2.0 * size,
                    "quotas_in_msgs_s": 8.0 / size,
                    "direct_p50_ms": 1.0,
                },
            )
        )
    results.predict(axis, 8, {"quotas_in_msgs_s": "inverse"})
    results.save(results.Results(axes={"things": axis}), file)
    kept = results.load(file).axes["things"]
    assert kept.fits["rss_mb"].predicted == 80 and kept.fits["rss_mb"].measured is None and len(kept.rows) == 3
    assert kept.fits["quotas_in_msgs_s"].predicted == pytest.approx(1.0) and "direct_p50_ms" not in kept.fits
    kept.rows.append(results.Row(8, {"rss_mb": 99.0, "added_p50_ms": 20.1, "quotas_in_msgs_s": 0.7}))
    assert results.compare(kept) == ["added_p50_ms", "quotas_in_msgs_s"]
    assert kept.fits["added_p50_ms"].ratio == pytest.approx(20.1 / 16) and kept.fits["rss_mb"].out is False
    results.save(results.Results(axes={"things": kept}), file)
    assert results.load(file).axes["things"].fits["added_p50_ms"].out is True
    assert json.loads(file.read_text())["machine"]["cores"] == os.cpu_count()


def test_a_row_is_strained_where_clients_send_late_and_not_where_answers_are():
    assert results.strained({"sent_late_p99_ms": 21.0, "wait_max_ms": 1.0})
    assert not results.strained({"sent_late_p99_ms": 3.0, "wait_max_ms": 2000.0, "served_share": 0.2})
    assert not results.strained({"idle_cpu_ms_s": 3.0})


def test_each_axis_doubles_three_times_at_least_and_ends_at_the_planned_size():
    ends = {"gatekeepers": 850, "workers": 11_000, "routes": 5800, "tenants": 22_000, "services": 450, "requests": 162}
    for name, axis in axes.AXES.items():
        steps = [after / before for before, after in zip(axis.sizes, axis.sizes[1:], strict=False)]
        assert len(steps) >= 3 and all(1.99 < step < 2.02 for step in steps), name
        assert axis.sizes[-1] == ends.get(name, axis.sizes[-1])
    assert set(PARTS) == {*axes.AXES, "micro", "change", "whole"}
    assert all(len(axes.times_at_rate(size)) == size * axes.WINDOW_S / 60 for size in axes.AXES["settings"].sizes)


def test_datagrams_are_told_by_purpose_as_the_program_writes_them():
    seal, member = DatagramAuthenticator(SECRET.encode(), 3, 7), Membership(3, 7, range(5), 1, 1000.0)
    sent = [member.handle(0.0), member.handle(2000.0, [(1, 9, b"\x4d\x06\0\0\0\0\0\0")])]
    kinds = [counting.purpose(seal.write(to, data, 0.0)) for part in sent for to, data in part]
    assert kinds[:3] == ["members.join"] * 3 and "members.ping" in kinds[3:]
    assert counting.purpose(seal.write(1, encode(1, 0.0, [], []), 0.0)) == "quotas"
    assert counting.purpose(seal.write(1, bytes((MAGIC_BYTE,)), 0.0)) == "keeping"
    assert counting.purpose(b"short") == "unreadable"
    tally = counting.Tally()
    for way in ("in", "out", "out"):
        tally.count(0, way, seal.write(0, encode(1, 0.0, [], []), 0.0))
    rates = counting.rates({}, counting.total([tally.plain(), tally.plain()]), 2.0, 2)
    size = len(seal.write(0, encode(1, 0.0, [], []), 0.0))
    assert (rates["quotas_in_msgs_s"], rates["quotas_out_msgs_s"]) == (0.5, 1.0)
    assert rates["quotas_out_bytes_s"] == size and rates["members_in_msgs_s"] == 0


def test_what_crosses_the_border_of_a_zone_that_is_cut_off():
    assert crosses(3, 3, 4) and crosses(3, 4, 11) and not crosses(3, 3, 11) and not crosses(3, 4, 5)
    assert not crosses(None, 3, 4)


def test_the_highest_row_that_grew():
    before = {"late": {"to_1_ms": 4, "to_50_ms": 1}, "worst_ms": 41.0}
    assert highest_ms(before, {"late": {"to_1_ms": 9, "to_5_ms": 1, "to_50_ms": 1}, "worst_ms": 41.0}) == 5.0
    assert highest_ms(before, {"late": {"to_1_ms": 9, "to_50_ms": 2}, "worst_ms": 44.0}) == 44.0
    assert highest_ms(before, before) == 0.0


def test_files_of_a_fleet_are_of_its_size_and_a_change_is_one_route(tmp_path):
    files = Files(tmp_path, SMALL, 8000)
    files.write_peers({number: 1000 + number for number in range(22)})
    main = str(files.write_main(0, 1000))
    first = checked(main)
    assert not [each for each in first.problems if each.severity == 2]
    assert (len(first.config.routes), len(first.config.keys), len(first.config.peers)) == (39, 66, 21)
    for _ in range(2):
        path = files.change()
        then = checked(main).config
        assert [each.pattern.path for each in then.routes if each not in first.config.routes] == [path]
        assert len(then.routes) == 40
    shared = customers_of(first.config.settings, 66, set(range(22)))
    assert sorted(name for names in shared.values() for name in names) == sorted(
        f"tenant-{number:05}" for number in range(66) for _ in range(8)
    )


# ---- processes -------------------------------------------------------------------------------------------------------


def gone(pid):
    """A process that has ended; one that only waits to be looked after has."""
    try:
        with open(f"/proc/{pid}/stat") as file:
            return file.read().rpartition(")")[2].split()[0] == "Z"
    except OSError:
        return True


def test_a_small_fleet_knows_itself_says_no_more_than_it_should_and_leaves_nothing_behind():
    with Fleet(SMALL, processes=1, senders=1, settled=False) as fleet:
        pids, folder = [each.pid for each in fleet.children], fleet.folder
        ports = [int(each["jsonrpc"].rpartition(":")[2]) for each in fleet.addresses.values()]
        fleet.settle()
        until(lambda: all(list(each["alive"]) == ["22"] for each in fleet.known()))
        assert sum(sum(each["alive"].values()) for each in fleet.known()) == 20
        assert all(list(each["workers"]) == ["48"] for each in fleet.known())
        # Requests: each is served, and what is said for it stays within what the protocol says.
        before, after, seen = fleet.window(1.5, SMALL.requests)
        assert set(seen["counts"]) == {"served"} and len(seen["through"]) == len(seen["direct"]) == len(seen["check"])
        asked = sum(state["counts"]["accepted"] for state in after.states.values())
        assert asked == seen["counts"]["served"] > 0
        rates = fleet.rates(before, after)
        assert rates["quotas_out_msgs_s"] > 0 and rates["keeping_out_msgs_s"] == rates["keeping_in_msgs_s"] == 0
        took_ms = (after.at - before.at) * 1000
        for number in fleet.reals:

            def more(way, what, number=number):
                return sum(
                    part.counts.get(f"{number} {way} {what}", (0, 0))[0] * sign
                    for part, sign in ((after, 1), (before, -1))
                )

            for_others, came = more("in", "members.ping_for"), more("in", "quotas")
            # One ping a period, one in five more for those that are out or not known, and those made for others.
            assert 0 < more("out", "members.ping") <= 1.2 * (took_ms / SMALL.period_ms + 2) + for_others
            # Each ping has its answer; a few are under way when the two are counted.
            assert -3 <= more("in", "members.ping") - more("out", "members.answer") <= 3 + for_others
            assert -3 <= more("out", "members.ping") - more("in", "members.answer") <= 3 + for_others
            # Asked twice at most and told of the end; of what came each item is answered.
            own = after.states[number]["counts"]["accepted"]
            assert 0 < more("out", "quotas") <= 3 * own + 8 * came
        # A change of settings: the same in force at all.
        call = {"method": "GET", "path": "/s0000/changed-1", "headers": {"x-api-key": "k-00001"}}
        assert {rpc(each["jsonrpc"], "call", call)["error"]["code"] for each in fleet.addresses.values()} == {
            UNROUTABLE
        }
        _, path = fleet.change_settings()
        assert path == "/s0000/changed-1"
        digest = {each["digest"] for each in fleet.known()}
        assert len(digest) == 1 and all(each["version"] == 2 for each in fleet.known())
        for number, where in fleet.addresses.items():
            answer = rpc(where["jsonrpc"], "call", call)
            assert answer["result"]["status"] == 200, answer
            assert fleet.state(number)["settings"]["fault"] == ""
        for number, state in fleet.states().items():  # each has a first file of its own, and so a digest of its own
            files = run_to_end(IncrementalLoader(str(folder / f"real-{number}.conf")).steps()).digest
            assert (state["settings"]["version"], state["settings"]["digest"]) == (2, files)
        # A change of the list, members that restart, a zone that is cut off and healed.
        fleet.change_list(1)
        until(lambda: all(list(each["workers"]) == ["47"] for each in fleet.known()))
        fleet.restart_simulated([5, 9], leaves=True)
        until(lambda: all(list(each["alive"]) == ["22"] for each in fleet.known()))
        fleet.isolate_zone(4)
        until(lambda: all(state["members"].get("out", 0) == 3 for state in fleet.states().values()), 40.0)
        fleet.isolate_zone(None)
        until(lambda: all(state["members"].get("alive", 0) == 22 for state in fleet.states().values()), 40.0)
    assert all(map(gone, pids)) and not folder.exists()
    for port in ports:
        with pytest.raises(ConnectionRefusedError):
            socket.create_connection(("127.0.0.1", port), 1).close()


def test_a_fleet_that_can_not_start_says_why_and_ends_all_that_it_began(monkeypatch):
    began = []
    keep = child.Child.__init__
    monkeypatch.setattr(child.Child, "__init__", lambda self, *rest: (keep(self, *rest), began.append(self.pid))[0])

    def wrong(self, number, port):
        file = self.folder / "wrong.conf"
        file.write_text("language 2\nnonsense\n")
        return file

    monkeypatch.setattr(Files, "write_main", wrong)
    with pytest.raises(child.ChildError, match="nonsense"), Fleet(SMALL, processes=1, senders=1):
        pytest.fail("it has started")
    assert len(began) >= 4 and all(map(gone, began))


def test_what_does_not_fit_the_machine_is_not_begun():
    with pytest.raises(ValueError, match="processes"):
        Fleet(SMALL, processes=95)
    with pytest.raises(ValueError, match="GB for simulated"):
        Fleet(Sizes(gatekeepers=65_000, workers=12_000), processes=1)


def test_processes_end_with_the_one_that_began_them(tmp_path):
    """Those that read their commands, and those that read nothing, as a real gatekeeper does."""
    text = f"""
import os, time
from benchmarks.scale.child import Child
log = open({str(tmp_path / "log")!r}, "w")
stay = "import time; print(1, flush=True); time.sleep(90)"
deaf = ["-m", "benchmarks.scale.child", str(os.getpid()), ".", "-c", stay]
made = [Child.start_module("workers", "workers", {{"workers": 3}}, log), Child("deaf", deaf, log)]
for each in made:
    each.receive(20)
print(*[each.pid for each in made], flush=True)
time.sleep(60)
"""
    parent = subprocess.Popen([sys.executable, "-c", text], stdout=subprocess.PIPE, text=True)
    pids = [int(pid) for pid in parent.stdout.readline().split()]
    assert len(pids) == 2 and not any(map(gone, pids))
    parent.send_signal(signal.SIGKILL)
    parent.wait()
    parent.stdout.close()
    until(lambda: all(map(gone, pids)))
