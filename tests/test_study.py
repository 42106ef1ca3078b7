"""Studies: common random numbers, resumption, fit, search and report, and the commands for traces."""

import json
import pathlib
import re
import shutil

import numpy as np
import pytest
from click.testing import CliRunner
from test_model import SETTINGS, traffic

from anisefront.cli.main import main
from anisefront.testbed import script as scripts
from anisefront.testbed.day import settings_text
from anisefront.testbed.model import fit as fitting
from anisefront.testbed.model import imported, search, traces
from anisefront.testbed.model.draws import Stream, Draws, lognormal, quantile
from anisefront.testbed.model.pool import WorkerModel
from anisefront.testbed.model.store import Store
from anisefront.testbed.model.study import InvalidStudyError, OptionSpec, Runner, Study, Traffic, collect, simulate_run
from anisefront.testbed.model.traces import Arrival, Attempt, Trace
from anisefront.testbed.model.simulation import Clients, Network, Option, Simulation
from anisefront.testbed.script import Fault

ROOT = pathlib.Path(__file__).parent.parent
DAY = """length 8s
seed 1
gatekeepers 2
settings gatekeeper.conf
workers 4 cores 2 service 30ms queue 24
customers stall count 8 of-quota 0.8
customers market count 1 of-quota 0.8
mix stock-view 0.7 pre-order 0.3
"""
SCRIPT, _ = scripts.read(DAY)
CONF = settings_text(
    (ROOT / "examples/bad-saturday/gatekeeper.conf").read_text(), 0, SCRIPT, "r.json", {1: "127.0.0.1:9"}
)


def study(*options, day=DAY, **more):
    built = [OptionSpec(f"o{n}", CONF, 2, 4, service_ms=30.0, **values) for n, values in enumerate(options or ({},))]
    return Study(tuple(built), Traffic(day=day), **more)


# ---- random draws and simulation ------------------------------------------------------------------------------


def test_draws_depend_on_seed_stream_and_index_alone():
    first, second = Draws(3), Draws(3)
    indices = [0, 5000, 3, 10**9, 5000, 1023, 1024]
    rows = [first.row(Stream.REQUESTS, index) for index in indices]
    assert rows == [second.row(Stream.REQUESTS, index) for index in reversed(indices)][::-1]
    values = [first.uniform(Stream.MESSAGES, n << 32 | m, c) for n in range(20) for m in range(40) for c in range(3)]
    assert (
        len(set(values)) == 2400
        and np.mean(values) == pytest.approx(0.5, abs=0.02)
        and np.std(values) == pytest.approx(12**-0.5, abs=0.01)
        and values[7] == second.uniform(Stream.MESSAGES, 2, 1)
    )
    assert first.row(Stream.MESSAGES, 3) != first.row(Stream.REQUESTS, 3) != Draws(4).row(Stream.REQUESTS, 3)
    for index in range(0, 1024 * 200, 1024):  # blocks are evicted, and computed again with the same values
        first.row(Stream.REQUESTS, index)
    assert len(first._blocks) <= 64 and first.row(Stream.REQUESTS, 5000) == rows[1]


def test_quantiles_of_the_log_normal_distribution():
    shape = lognormal(0.5)
    assert np.mean(shape) == pytest.approx(1) and quantile(shape, 0) == shape[0] and quantile(shape, 1) == shape[-1]
    drawn = [quantile(shape, u) for u in np.random.default_rng(1).random(4000)]
    assert np.mean(drawn) == pytest.approx(1, abs=0.03) and np.std(np.log(drawn)) == pytest.approx(0.48, abs=0.03)


def test_options_that_differ_late_give_equal_series_until_then():
    """A fault late in a run must not change anything before it."""
    late = "at 6s slow workers 4 times 20 for 2s"
    built = study({}, {"troubles": (late,)})
    first, second = (simulate_run(built, option, 5)["series"] for option in (0, 1))
    assert [first["service"][str(n)] for n in range(5)] == [second["service"][str(n)] for n in range(5)]
    assert first["waits"]["3"] == second["waits"]["3"] and first["service"] != second["service"]


def test_client_retries_depend_on_the_option_and_count_once_in_the_requested_value():
    arrivals, option = traffic(15, rate=150), Option(SETTINGS, workers=WorkerModel(count=4, service_ms=40.0))
    from dataclasses import replace

    without_retries = Simulation(option, arrivals, (), 2).run()
    with_retries = Simulation(replace(option, clients=Clients(retries=2)), arrivals, (), 2).run()
    assert (
        sum(without_retries.answers.values()) == len(arrivals) < sum(with_retries.answers.values()) <= 3 * len(arrivals)
    )
    # A request counts once, however often it is retried.
    assert with_retries.requested_value == without_retries.requested_value


def test_a_surge_multiplies_the_arrivals_of_a_trace():
    arrivals = traffic(10)
    surge = Fault(2000, "surge", {"plan": "small", "times": 2.5, "for": 4000.0})
    plain, more = (Simulation(Option(SETTINGS), arrivals, troubles, 1).run() for troubles in ((), (surge,)))
    extra = sum(2000 <= each.at < 6000 for each in arrivals)
    assert sum(more.answers.values()) - sum(plain.answers.values()) == pytest.approx(1.5 * extra, rel=0.1)


def test_a_network_partition_separates_zones_and_heals():
    option = Option(SETTINGS, gateways=4, spread=4, zones=("a", "b"), network=Network(lose=0.0))
    simulation = Simulation(option, traffic(5), (Fault(1000, "partition", {"for": 2000.0}),), 1)
    calls = []
    original = simulation.faults.partitioned
    simulation.faults.partitioned = (
        lambda sender, receiver: calls.append((simulation.now, sender, receiver, original(sender, receiver)))
        or calls[-1][3]
    )
    simulation.run()
    lost = [row for row in calls if row[3]]
    assert lost and all(1000 <= at < 3000 and a % 2 != b % 2 for at, a, b, _ in lost)
    assert any(a % 2 == b % 2 for at, a, b, _ in calls if 1000 <= at < 3000)
    assert any(a % 2 != b % 2 for at, a, b, dropped in calls if at > 3000 and not dropped)


def test_overloaded_cold_workers_crash():
    workers = WorkerModel(count=2, service_ms=60.0, overload_multiple=0.3, overload_window_ms=1000.0, warm_up_ms=8000.0)
    played = Simulation(
        Option(SETTINGS, workers=workers), traffic(15), (Fault(1000, "deploy", {"over": 500.0}),), 1
    ).run()
    assert played.crashed_workers


# ---- studies --------------------------------------------------------------------------------------------------


def test_an_interrupted_and_resumed_study_stores_the_same_bytes(tmp_path):
    built, seeds = study({}, {"retries": 0}), list(range(1, 5))

    def rows(path):
        import sqlite3

        with sqlite3.connect(path) as base:
            return base.execute("select study, option, seed, figures from runs order by 1, 2, 3").fetchall()

    def run_study(path, processes, interrupt_after):
        with Store(str(path)) as store, Runner(processes) as runner:
            name, stored = store.add_study(built, "compare"), []

            def keep(option, seed, figures):
                store.save_run(name, option, seed, figures)
                stored.append(seed)
                if len(stored) == interrupt_after:
                    raise KeyboardInterrupt

            return collect(runner, built, seeds, store.load_runs(name), keep), len(stored)

    with pytest.raises(KeyboardInterrupt):
        run_study(tmp_path / "a", 1, 3)
    assert len(rows(tmp_path / "a")) == 3
    resumed, simulated = run_study(tmp_path / "a", 2, 99)
    assert simulated == 5
    uninterrupted, _ = run_study(tmp_path / "b", 2, 99)
    assert resumed == uninterrupted and rows(tmp_path / "a") == rows(tmp_path / "b")


def test_the_identifier_of_a_study_depends_on_everything_that_determines_its_figures(tmp_path):
    plain = study()
    assert plain.identity() == study({}).identity()
    others = [
        study({"queue": 5}),
        study(day=DAY + "seed 2\n"),
        study(series=False),
        study({"troubles": ("at 1s replay-datagrams",)}),
    ]
    assert len({each.identity() for each in [plain, *others]}) == 5
    with Store(str(tmp_path / "s")) as store:
        name = store.add_study(plain, "run")
        assert store.find_study(name[:5]) == plain and store.list_studies()[0]["id"] == name
        with pytest.raises(KeyError):
            store.find_study("zz")


def test_another_version_of_the_decision_module_can_be_simulated(tmp_path):
    shutil.copytree(ROOT / "anisefront/policy", tmp_path / "policy")
    path = tmp_path / "policy/customer_account.py"
    constant = r"^LOCAL_BURST_FRACTION = .*$"
    path.write_text(re.sub(constant, "LOCAL_BURST_FRACTION = 0.0", path.read_text(), flags=re.M))
    built = study({}, {"module": str(tmp_path / "policy")})
    with Runner(1) as runner:
        current, other = collect(runner, built, [1], {}, lambda *_: None)
    assert current[0] == simulate_run(built, 0, 1) and current[0]["measures"] != other[0]["measures"]
    path = tmp_path / "policy/controller.py"
    path.write_text(
        path.read_text().replace(
            "    def handle(",
            "    def handle(self, now_ms, events):\n        raise ArithmeticError('broken')\n\n    def was(",
            1,
        )
    )
    with (
        Runner(1) as runner,
        pytest.raises(InvalidStudyError, match="option o1, seed 1, 0.000 s into the day: ArithmeticError"),
    ):
        collect(runner, built, [1], {}, lambda *_: None)
    with Runner(1) as runner, pytest.raises(InvalidStudyError, match="no controller.py there"):
        collect(runner, study({}, {"module": str(tmp_path)}), [1], {}, lambda *_: None)


# ---- fit ------------------------------------------------------------------------------------------------------


@pytest.mark.parametrize(("service", "cold"), [(40.0, 0.2), (20.0, 0.5)])
def test_a_fit_recovers_the_worker_parameters_of_a_simulated_trace(service, cold):
    workers = WorkerModel(count=5, service_ms=service, cold_from=cold, warm_up_ms=8000, shape=lognormal(0.4))
    # The load has to make workers queue at times; otherwise the trace does not determine the cores.
    simulation = Simulation(
        Option(SETTINGS, workers=workers),
        traffic(40, rate=130.0),
        (Fault(6000, "deploy", {"over": 8000.0, "drain": 2000.0}),),
        3,
    )
    simulation.attempt_log = []
    simulation.run()
    found = fitting.fit(Trace(attempts=simulation.attempt_log), 8000.0, draws=20)
    assert found.best.service_ms == pytest.approx(service, rel=0.06)
    assert found.best.cold_from == pytest.approx(cold, abs=0.08) and found.best.cores == 2
    low, high = found.interval("service_ms")
    assert low < found.best.service_ms < high and (high - low) / service < 0.2
    back = fitting.Fit.from_json(json.loads(json.dumps(found.to_json())))
    assert back == found
    with pytest.raises(fitting.TraceTooShortError, match="200 are due"):
        fitting.fit(Trace(attempts=simulation.attempt_log[:150]), 8000.0)
    with pytest.raises(ValueError, match="is missing"):
        fitting.Fit.from_json({"best": {}})


def test_requests_of_different_size_separate_the_round_trip_from_the_service_time():
    rng = np.random.default_rng(1)
    attempts = [
        Attempt(n * 50.0, f"w{n % 9}", "view", units, "ok", 7.0 + 10.0 * units * rng.uniform(0.8, 1.2), 0.0)
        for n in range(2000)
        for units in (float(rng.integers(1, 4)),)
    ]
    waits = [(n * 50.0, float(rng.uniform(3, 9) + rng.uniform(3, 9)) * (n % 2)) for n in range(2000)]
    found = fitting.fit(Trace(attempts=attempts, waits=waits), 5000.0, draws=5)
    assert found.best.peers_ms == pytest.approx((3, 9), abs=0.5)
    assert found.best.service_ms == pytest.approx(10, rel=0.05) and found.best.way_ms == pytest.approx(7, abs=0.7)


def test_message_delays_are_fitted_by_simulating_the_trace():
    arrivals, workers = traffic(25, rate=90.0), WorkerModel(count=4, service_ms=35.0)
    option = Option(SETTINGS, workers=workers)
    simulation = Simulation(Option(SETTINGS, workers=workers, network=Network(peers_ms=(2.0, 8.0))), arrivals, (), 9)
    simulation.attempt_log = []
    waits = [(0.0, wait) for wait in simulation.run().waits]
    trace = Trace(arrivals, simulation.attempt_log, waits)
    initial = fitting.fit(trace, 5000.0, draws=3)
    from dataclasses import replace

    off = replace(initial, best=replace(initial.best, peers_ms=(2.6, 10.4)), draws=initial.draws)
    found = fitting.fit_message_delays(off, option, trace)
    assert sum(found.best.peers_ms) == pytest.approx(10.0, rel=0.07)
    assert found.draws[0].peers_ms[1] / initial.draws[0].peers_ms[1] == pytest.approx(sum(found.best.peers_ms) / 13.0)
    assert fitting.fit_message_delays(off, option, Trace(arrivals, simulation.attempt_log, waits[:20])) == off


# ---- search ---------------------------------------------------------------------------------------------------


def simulate_seeds(built, seeds):
    return [simulate_run(built, 0, seed)["measures"] for seed in seeds]


def test_the_worst_fault_found_lowers_service_and_is_a_valid_script_line():
    built = study(series=False)
    found = search.weakest_day(built, simulate_seeds, "service", ("slow", "freeze-gatekeeper", "partition"), 48)
    assert found["difference"][1] < -0.05 and found["with"] < found["without"] and "at " in found["trouble"]
    assert scripts.read(found["trouble"])[1] == []
    with pytest.raises(InvalidStudyError, match="--kind storm: known are deploy"):
        search.weakest_day(built, simulate_seeds, "service", ("storm",), 48)


def test_the_smallest_fleet_meets_the_measure_and_a_smaller_one_does_not():
    def run_seeds(built, seeds):
        rng = np.random.default_rng(seeds[0])
        return [{"service": min(1.0, built.options[0].workers / 20) - 0.01 * rng.random()} for _ in seeds]

    found = search.smallest_fleet(study(), run_seeds, "service", 0.72, "workers", 40, 80)
    assert found["smallest"] == 15 and found["tried"][14]["verdict"] == "falls short"
    assert search.smallest_fleet(study(), run_seeds, "service", 0.99, "workers", 12, 80)["smallest"] is None


# ---- commands -------------------------------------------------------------------------------------------------


def invoke(*arguments):
    done = CliRunner().invoke(main, [str(each) for each in arguments])
    return done.exit_code, done.output


def test_two_settings_are_compared_stored_and_reported(tmp_path):
    before, after, day, store = (tmp_path / name for name in ("now.conf", "then.conf", "d.script", "s.sqlite"))
    before.write_text(CONF)
    after.write_text(CONF.replace("quota stall rate 6/s burst 12", "quota stall rate 1/s burst 2"))
    day.write_text(DAY)
    arguments = ("model", "compare", before, after, "--day", day, "--store", store, "--runs", 8, "--processes", 2)
    code, output = invoke(*arguments)
    assert code == 1 and re.search(r"^service .*: worse", output, re.M), output
    assert invoke(*arguments) == (code, output)  # from the store
    code, listed = invoke("model", "list", "--store", store)
    assert listed.count("\n") == 1 and "16 runs" in listed
    code, _ = invoke(
        "model", "report", listed[:6], "--store", store, "-o", tmp_path / "r.html", "--plots", tmp_path / "p"
    )
    page = (tmp_path / "r.html").read_text()
    assert code == 0 and page.count("<img ") == 8 == len(list((tmp_path / "p").glob("*.png")))
    assert "http" not in page.replace("data:image", "") and "class='worse'" in page


@pytest.mark.parametrize(
    ("arguments", "message"),
    [
        (("run", "now.conf"), "what comes is due"),
        (("run", "none.conf", "--day", "d.script"), "none.conf: "),
        (("run", "now.conf,wings=2", "--day", "d.script"), "'wings=2' in"),
        (("run", "now.conf,workers=0", "--day", "d.script"), "at least one gatekeeper, worker"),
        (("run", "now.conf", "--day", "d.script", "--trouble", "at 1s flood"), "at TIME TROUBLE is due"),
        (("run", "d.script", "--day", "d.script"), "error"),
        (("compare", "now.conf", "now.conf", "--day", "d.script", "--runs", "3"), "at least 8 pairs"),
        (("report", "zz", "--store", "s"), "names no study"),
    ],
)
def test_invalid_arguments_are_reported_in_one_line(tmp_path, monkeypatch, arguments, message):
    monkeypatch.chdir(tmp_path)
    (tmp_path / "now.conf").write_text(CONF)
    (tmp_path / "d.script").write_text(DAY)
    Store(str(tmp_path / "s"))
    code, output = invoke("model", *arguments)
    assert code in (1, 2) and message in output and "Traceback" not in output, output


def test_traces_are_cut_merged_scaled_and_anonymised(tmp_path):
    arrivals = [
        Arrival(
            each.at,
            each.customer,
            each.class_name,
            each.plan,
            each.units,
            each.remaining_ms,
            n % 3,
            n % 7 == 0,
            n % 2 == 0,
        )
        for n, each in enumerate(traffic(20))
    ]
    attempts = [
        Attempt(each.at + 2, "10.0.0.1:80", "view", 1.0, "ok", 30.5, 500.0 * (n % 2)) for n, each in enumerate(arrivals)
    ]
    recording = Trace(arrivals, attempts, [], begin=1.7e12, end=1.7e12 + 20_000)
    recording.answers["served"] = 1200
    path = tmp_path / "t.trace"
    path.write_bytes(traces.encode_trace(recording))
    loaded = traces.load([str(path)])
    assert len(loaded.arrivals) == 1200 and loaded.answers == recording.answers and not loaded.problems
    for restored, original in zip(loaded.arrivals, arrivals, strict=True):
        assert restored.at == pytest.approx(original.at, abs=0.01) and restored.gateway == original.gateway
        assert (restored.customer, restored.is_retry, restored.hedging_allowed) == (
            original.customer,
            original.is_retry,
            original.hedging_allowed,
        )
    assert [each.started for each in loaded.attempts[:2]] == pytest.approx([0.0, 500.0], abs=0.01)
    for command, more in (
        ("cut", ("--from", 5, "--to", 9)),
        ("scale", ("--times", 4)),
        ("merge", ()),
        ("anonymise", ("--key", "another")),
    ):
        out = tmp_path / command
        code, output = invoke("trace", command, path, *more, "-o", out)
        assert code == 0, output
        described = json.loads(invoke("trace", "info", out)[1])
        wanted = {"cut": 240, "scale": 4800, "merge": 1200, "anonymise": 1200}[command]
        assert described["arrivals"] == pytest.approx(wanted, rel=0.15)
        assert described["customers"] == {"scale": 48}.get(command, 12)
    assert b"c3" not in str(trace_records(tmp_path / "anonymise")).encode()
    assert invoke("trace", "cut", path, "--from", 9, "--to", 5, "-o", tmp_path / "x")[0] == 1


def trace_records(path):
    from anisefront.protocols import trace

    return [record for record in trace.decode_file(path.read_bytes())[0] if record[0] == "arrive"]


def test_proxy_access_logs_are_imported_as_a_trace(tmp_path):
    def entry(number, **more):
        return {
            "common_properties": {
                "start_time": f"2026-03-07T06:00:{number % 60:02}.250Z",
                "time_to_first_upstream_tx_byte": "0.002s",
                "time_to_last_upstream_rx_byte": "0.042s",
                "upstream_remote_address": {"socket_address": {"address": "10.1.0.7", "port_value": 8080}},
                **more,
            },
            "request": {
                "path": "/stock-view?x=1" if number % 2 else "/pre-order",
                "request_headers": {"x-api-key": f"k{number % 5}"},
                "some_new_field": 1,
            },
            "response": {"response_code": 200},
        }

    lines = [json.dumps(entry(n)) for n in range(120)]
    lines += [
        "{",
        json.dumps(entry(3) | {"request": {"path": "/stock-view"}}),
        json.dumps(entry(1, response_flags={"upstream_request_timeout": True})),
    ]
    recording = imported.read(lines, {"/stock": "view", "/pre-order": "order"}, "x-api-key", "small", 2000.0, b"k")
    assert len(recording.arrivals) == 121 and recording.answers == {"served": 120, "failed": 1}
    assert {each.class_name for each in recording.arrivals} == {"view", "order"} and recording.attempts[
        0
    ].duration_ms == 40.0
    assert len({each.customer for each in recording.arrivals}) == 5 and "k1" not in str(recording.arrivals[:9])
    assert [problem.split(":")[0] for problem in recording.problems] == ["line 121", "line 122", "2 lines left out"]
    (tmp_path / "log").write_text("\n".join(lines))
    code, output = invoke(
        "trace",
        "import",
        tmp_path / "log",
        "--class-of",
        "/stock=view",
        "--class-of",
        "/pre-order=order",
        "--plan",
        "small",
        "--key",
        "k",
        "-o",
        tmp_path / "out",
    )
    assert code == 0 and "121 arrivals, 121 attempts" in output
