"""The scale benchmark with a small fleet: fits, message counts, membership, settings, and termination of processes."""

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


def wait_until(condition, seconds=15.0):
    end = time.monotonic() + seconds
    while not (found := condition()):
        assert time.monotonic() < end
        time.sleep(0.05)
    return found


# ---- without processes -----------------------------------------------------------------------------------------------


@given(st.floats(-100, 100), st.floats(-5, 5), st.floats(-0.01, 0.01))
def test_a_fit_recovers_the_coefficients_of_its_data(a, b, c):
    sizes = [106, 212, 425, 850, 1700]
    found = fit.fit(sizes, [a + b * n + c * n * n for n in sizes], "quadratic")
    assert found.a == pytest.approx(a, abs=1e-6) and found.b == pytest.approx(b, abs=1e-8)
    assert found.c == pytest.approx(c, abs=1e-10) and fit.at(found, 3000) == pytest.approx(a + b * 3000 + c * 9e6)
    line = fit.fit(sizes, [a + b * n for n in sizes])
    assert (line.a, line.b, line.c) == (pytest.approx(a, abs=1e-6), pytest.approx(b, abs=1e-8), 0.0)


def test_fit_errors_match_the_textbook_formulas_and_too_few_sizes_are_rejected():
    found = fit.fit([1, 2, 3, 4], [1.0, 3.0, 2.0, 4.0])
    # residual sum of squares 1.8 with two degrees of freedom; sum of squares of the sizes about their mean 5
    assert (found.a, found.b) == (pytest.approx(0.5), pytest.approx(0.8))
    assert found.err_b == pytest.approx((0.9 / 5) ** 0.5) and found.err_a == pytest.approx((0.9 * 30 / 20) ** 0.5)
    assert found.r2 == pytest.approx(0.64)
    with pytest.raises(ValueError, match="needs 3"):
        fit.fit([1, 2], [1.0, 2.0], "quadratic")
    with pytest.raises(ValueError, match="needs 2"):
        fit.fit([2, 2], [1.0, 2.0])


def test_a_prediction_is_stored_before_the_largest_size_and_compared_with_it(tmp_path):
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
    stored = results.load(file).axes["things"]
    assert stored.fits["rss_mb"].predicted == 80 and stored.fits["rss_mb"].measured is None and len(stored.rows) == 3
    assert stored.fits["quotas_in_msgs_s"].predicted == pytest.approx(1.0) and "direct_p50_ms" not in stored.fits
    stored.rows.append(results.Row(8, {"rss_mb": 99.0, "added_p50_ms": 20.1, "quotas_in_msgs_s": 0.7}))
    assert results.compare(stored) == ["added_p50_ms", "quotas_in_msgs_s"]
    assert stored.fits["added_p50_ms"].ratio == pytest.approx(20.1 / 16) and stored.fits["rss_mb"].out is False
    results.save(results.Results(axes={"things": stored}), file)
    assert results.load(file).axes["things"].fits["added_p50_ms"].out is True
    assert json.loads(file.read_text())["machine"]["cores"] == os.cpu_count()


def test_a_row_is_strained_if_clients_send_late_but_not_if_responses_are_late():
    assert results.strained({"sent_late_p99_ms": 21.0, "wait_max_ms": 1.0})
    assert not results.strained({"sent_late_p99_ms": 3.0, "wait_max_ms": 2000.0, "served_share": 0.2})
    assert not results.strained({"idle_cpu_ms_s": 3.0})


def test_each_axis_doubles_at_least_three_times_and_ends_at_the_planned_size():
    ends = {"gatekeepers": 850, "workers": 11_000, "routes": 5800, "tenants": 22_000, "services": 450, "requests": 162}
    for name, axis in axes.AXES.items():
        steps = [after / before for before, after in zip(axis.sizes, axis.sizes[1:], strict=False)]
        assert len(steps) >= 3 and all(1.99 < step < 2.02 for step in steps), name
        assert axis.sizes[-1] == ends.get(name, axis.sizes[-1])
    assert set(PARTS) == {*axes.AXES, "micro", "change", "whole"}
    assert all(len(axes.times_at_rate(size)) == size * axes.WINDOW_S / 60 for size in axes.AXES["settings"].sizes)


def test_datagrams_are_classified_by_purpose_as_the_gateway_encodes_them():
    authenticator, member = DatagramAuthenticator(SECRET.encode(), 3, 7), Membership(3, 7, range(5), 1, 1000.0)
    sent = [member.handle(0.0), member.handle(2000.0, [(1, 9, b"\x4d\x06\0\0\0\0\0\0")])]
    kinds = [counting.purpose(authenticator.write(to, data, 0.0)) for part in sent for to, data in part]
    assert kinds[:3] == ["members.join"] * 3 and "members.ping" in kinds[3:]
    assert counting.purpose(authenticator.write(1, encode(1, 0.0, [], []), 0.0)) == "quotas"
    assert counting.purpose(authenticator.write(1, bytes((MAGIC_BYTE,)), 0.0)) == "keeping"
    assert counting.purpose(b"short") == "unreadable"
    tally = counting.Tally()
    for direction in ("in", "out", "out"):
        tally.count(0, direction, authenticator.write(0, encode(1, 0.0, [], []), 0.0))
    rates = counting.rates({}, counting.total([tally.plain(), tally.plain()]), 2.0, 2)
    size = len(authenticator.write(0, encode(1, 0.0, [], []), 0.0))
    assert (rates["quotas_in_msgs_s"], rates["quotas_out_msgs_s"]) == (0.5, 1.0)
    assert rates["quotas_out_bytes_s"] == size and rates["members_in_msgs_s"] == 0


def test_which_datagrams_cross_the_border_of_an_isolated_zone():
    assert crosses(3, 3, 4) and crosses(3, 4, 11) and not crosses(3, 3, 11) and not crosses(3, 4, 5)
    assert not crosses(None, 3, 4)


def test_highest_histogram_bucket_that_grew():
    before = {"late": {"to_1_ms": 4, "to_50_ms": 1}, "worst_ms": 41.0}
    assert highest_ms(before, {"late": {"to_1_ms": 9, "to_5_ms": 1, "to_50_ms": 1}, "worst_ms": 41.0}) == 5.0
    assert highest_ms(before, {"late": {"to_1_ms": 9, "to_50_ms": 2}, "worst_ms": 44.0}) == 44.0
    assert highest_ms(before, before) == 0.0


def test_files_match_the_fleet_size_and_a_change_adds_one_route(tmp_path):
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


def has_exited(pid):
    """Return whether a process has exited; a zombie has."""
    try:
        with open(f"/proc/{pid}/stat") as file:
            return file.read().rpartition(")")[2].split()[0] == "Z"
    except OSError:
        return True


def test_a_small_fleet_converges_stays_within_its_message_budget_and_leaves_nothing_behind():
    with Fleet(SMALL, processes=1, senders=1, settled=False) as fleet:
        pids, folder = [each.pid for each in fleet.children], fleet.folder
        ports = [int(each["jsonrpc"].rpartition(":")[2]) for each in fleet.addresses.values()]
        fleet.settle()
        wait_until(lambda: all(list(each["alive"]) == ["22"] for each in fleet.known()))
        assert sum(sum(each["alive"].values()) for each in fleet.known()) == 20
        assert all(list(each["workers"]) == ["48"] for each in fleet.known())
        # Every request is served, with no more datagrams than the protocol allows.
        before, after, seen = fleet.window(1.5, SMALL.requests)
        assert set(seen["counts"]) == {"served"} and len(seen["through"]) == len(seen["direct"]) == len(seen["check"])
        accepted = sum(state["counts"]["accepted"] for state in after.states.values())
        assert accepted == seen["counts"]["served"] > 0
        rates = fleet.rates(before, after)
        assert rates["quotas_out_msgs_s"] > 0 and rates["keeping_out_msgs_s"] == rates["keeping_in_msgs_s"] == 0
        took_ms = (after.at - before.at) * 1000
        for number in fleet.reals:

            def message_count(direction, purpose, number=number):
                return sum(
                    part.counts.get(f"{number} {direction} {purpose}", (0, 0))[0] * sign
                    for part, sign in ((after, 1), (before, -1))
                )

            indirect, quota_messages = message_count("in", "members.ping_for"), message_count("in", "quotas")
            # One ping per period, a fifth more for dead or unknown members, and indirect pings for others.
            assert 0 < message_count("out", "members.ping") <= 1.2 * (took_ms / SMALL.period_ms + 2) + indirect
            # Each ping has its acknowledgement; a few are in flight when the counts are read.
            assert -3 <= message_count("in", "members.ping") - message_count("out", "members.answer") <= 3 + indirect
            assert -3 <= message_count("out", "members.ping") - message_count("in", "members.answer") <= 3 + indirect
            # At most two quota requests and one result per request; each received item is answered.
            own_requests = after.states[number]["counts"]["accepted"]
            assert 0 < message_count("out", "quotas") <= 3 * own_requests + 8 * quota_messages
        # A settings change comes into force at all gateways.
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
        for number, state in fleet.states().items():  # each has its own main file, and so its own digest
            files = run_to_end(IncrementalLoader(str(folder / f"real-{number}.conf")).steps()).digest
            assert (state["settings"]["version"], state["settings"]["digest"]) == (2, files)
        # A change of the endpoint list, restarts of members, and a partition of a zone that heals.
        fleet.change_list(1)
        wait_until(lambda: all(list(each["workers"]) == ["47"] for each in fleet.known()))
        fleet.restart_simulated([5, 9], leaves=True)
        wait_until(lambda: all(list(each["alive"]) == ["22"] for each in fleet.known()))
        fleet.isolate_zone(4)
        wait_until(lambda: all(state["members"].get("out", 0) == 3 for state in fleet.states().values()), 40.0)
        fleet.isolate_zone(None)
        wait_until(lambda: all(state["members"].get("alive", 0) == 22 for state in fleet.states().values()), 40.0)
    assert all(map(has_exited, pids)) and not folder.exists()
    for port in ports:
        with pytest.raises(ConnectionRefusedError):
            socket.create_connection(("127.0.0.1", port), 1).close()


def test_a_fleet_that_cannot_start_reports_why_and_terminates_its_processes(monkeypatch):
    started = []
    original = child.Child.__init__
    monkeypatch.setattr(
        child.Child, "__init__", lambda self, *rest: (original(self, *rest), started.append(self.pid))[0]
    )

    def wrong(self, number, port):
        file = self.folder / "wrong.conf"
        file.write_text("language 2\nnonsense\n")
        return file

    monkeypatch.setattr(Files, "write_main", wrong)
    with pytest.raises(child.ChildError, match="nonsense"), Fleet(SMALL, processes=1, senders=1):
        pytest.fail("the fleet has started")
    assert len(started) >= 4 and all(map(has_exited, started))


def test_a_fleet_too_large_for_the_machine_is_not_started():
    with pytest.raises(ValueError, match="processes"):
        Fleet(SMALL, processes=95)
    with pytest.raises(ValueError, match="GB for simulated"):
        Fleet(Sizes(gatekeepers=65_000, workers=12_000), processes=1)


def test_child_processes_end_with_their_parent(tmp_path):
    """Both children that read commands and those that read nothing, as a real gateway, end with their parent."""
    text = f"""
import os, time
from benchmarks.scale.child import Child
log = open({str(tmp_path / "log")!r}, "w")
stay = "import time; print(1, flush=True); time.sleep(90)"
no_input = ["-m", "benchmarks.scale.child", str(os.getpid()), ".", "-c", stay]
made = [Child.start_module("workers", "workers", {{"workers": 3}}, log), Child("no_input", no_input, log)]
for each in made:
    each.receive(20)
print(*[each.pid for each in made], flush=True)
time.sleep(60)
"""
    parent = subprocess.Popen([sys.executable, "-c", text], stdout=subprocess.PIPE, text=True)
    pids = [int(pid) for pid in parent.stdout.readline().split()]
    assert len(pids) == 2 and not any(map(has_exited, pids))
    parent.send_signal(signal.SIGKILL)
    parent.wait()
    parent.stdout.close()
    wait_until(lambda: all(map(has_exited, pids)))
