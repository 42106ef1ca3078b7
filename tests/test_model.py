"""Traces and the simulation: damaged traces, reproducible runs, injected faults and the error rates of verdicts."""

import numpy as np
import pytest
from click.testing import CliRunner
from test_config_corpus import GOOD
from test_path import Running, check_headers

from anisefront.cli.main import main
from anisefront.config.types import Recording
from anisefront.daemon.recorder import Recorder
from anisefront.testbed.model import compare, traces
from anisefront.testbed.model.traces import Arrival, Trace
from anisefront.testbed.model.pool import WorkerModel
from anisefront.testbed.model.simulation import Option, Simulation
from anisefront.testbed.script import Fault
from anisefront.protocols import trace
from anisefront.policy import events
from anisefront.policy.settings import Idempotency, Plan, RequestClass, Settings

SETTINGS = Settings(
    gateways=3,
    number=0,
    zone="a",
    classes=(
        RequestClass("view", 300, 1500, 1.0, Idempotency.IDEMPOTENT),
        RequestClass("order", 300, 1500, 3.0, Idempotency.NON_IDEMPOTENT),
    ),
    plans=(Plan("small", 8, 16),),
    warm_up_ms=5000,
    slow_start_initial_factor=0.2,
    overload_multiple=3,
    overload_window_ms=2000,
    max_attempts=3,
    hedging_enabled=True,
    peer_messages_enabled=True,
    inbox_per_s=200,
    max_retry_after_ms=1000,
)


def traffic(seconds=25, rate=60.0, customers=12, seed=1):
    rng = np.random.default_rng(seed)
    times = np.sort(rng.uniform(0, seconds * 1000, int(rate * seconds)))
    return [
        Arrival(
            float(at), f"c{rng.integers(customers)}", "order" if rng.random() < 0.2 else "view", "small", 1.0, 1200.0, 0
        )
        for at in times
    ]


def recorder(tmp_path, **more):
    wanted = Recording(str(tmp_path / "t.trace"), more.get("rotate", 1 << 20), more.get("keep", 3), b"key")
    return Recorder(wanted, 0, "life", 1e12)


def arrival_event(number):
    return events.Arrival(number, f"c{number % 7}", "view", "small", 1e12 + number + 1000)


def test_a_truncated_or_damaged_trace_is_read_up_to_the_fault(tmp_path):
    recorded = recorder(tmp_path)
    for number in range(3000):
        recorded.record_event(1e12 + number, arrival_event(number))
    recorded.flush()
    data = (tmp_path / "t.trace").read_bytes()
    complete, fault = trace.decode_file(data)
    assert len(complete) == 3001 and not fault and "c1" not in str(complete[1:50])
    for at in range(0, len(data), 997):
        records, fault = trace.decode_file(data[:at])
        assert records == complete[: len(records)] and (fault or at == len(data))
    damaged = bytearray(data)
    damaged[len(data) - 40] ^= 1
    records, fault = trace.decode_file(bytes(damaged))
    assert len(records) < 3001 and "checksum mismatch" in fault
    assert trace.decode_file(b"something else")[1] == "no trace, or of another version"


def test_rotation_is_bounded_and_a_write_failure_stops_only_the_recording(tmp_path):
    recorded = recorder(tmp_path, rotate=20_000, keep=3)
    for number in range(60_000):
        recorded.record_event(1e12 + number, arrival_event(number))
    recorded.flush()
    assert len(list(tmp_path.iterdir())) == 3 and all(path.stat().st_size < 60_000 for path in tmp_path.iterdir())
    failed_recorder = Recorder(Recording(str(tmp_path / "none" / "t"), 1000, 2, b"k"), 0, "life", 1e12)
    assert "No such file" in failed_recorder.fault
    for number in range(5000):
        failed_recorder.record_event(1e12, arrival_event(number))


def test_clock_skew_is_corrected_and_backward_steps_are_reported():
    fleet = [["w", "a", 0, "ready", 0]]
    one = [["life", 1000, 0, "x"], ["fleet", 2000, fleet], ["arrive", 3000, 1, "c", "view", "small", 1, 900, 0]]
    two = [
        ["life", 6000, 1, "y"],
        ["fleet", 7000, fleet],
        ["arrive", 8500, 1, "d", "view", "small", 1, 900, 0],
        ["arrive", 8000, 2, "d", "view", "small", 1, 900, 0],
    ]
    merged = traces.merge([("one", (one, "")), ("two", (two, "cut off at byte 9"))])
    assert [(each.at, each.customer) for each in merged.arrivals] == [(2000, "c"), (2000, "d"), (2500, "d")]
    assert ["cut off" in merged.problems[0], "5000 ms ahead" in merged.problems[1], "steps back" in merged.problems[2]]
    assert len(merged.problems) == 3


def test_scaling_preserves_the_rate_per_customer_and_burstiness():
    rng = np.random.default_rng(5)
    arrivals = []
    for customer in range(30):  # each sends bursts of ten requests
        for start in rng.uniform(0, 60_000, 6):
            arrivals += [
                Arrival(float(min(59_999, start + n * 20)), f"c{customer}", "view", "small", 1.0, 900.0, 0)
                for n in range(10)
            ]
    arrivals.sort(key=lambda each: each.at)
    complete = Trace(arrivals, begin=0.0, end=60_000.0)
    before, after = traces.describe(complete), traces.describe(traces.scale(complete, 5, 1))
    assert after["customers"] == 150 and after["a_second"] == pytest.approx(5 * before["a_second"], rel=0.01)
    # The variances of independent customers add up, so the dispersion stays about the same.
    assert after["dispersion"] == pytest.approx(before["dispersion"], rel=0.4)
    assert traces.cut(complete, 10_000, 20_000).arrivals[0].at < 5000


def test_the_same_seed_gives_the_same_run():
    option = Option(SETTINGS)
    first, second = (Simulation(option, traffic(10), (), 3).run() for _ in range(2))
    assert first.measures() == second.measures() and first.answers == second.answers
    assert Simulation(option, traffic(10), (), 4).run().waits != first.waits
    assert sum(first.answers.values()) == 600 and first.measures()["service"] > 0.9


@pytest.mark.parametrize(
    "fault",
    [
        Fault(5000, "slow", {"workers": 4, "times": 6.0, "for": 8000.0}),
        Fault(4000, "deploy", {"over": 1000.0}),
        Fault(5000, "freeze-gatekeeper", {"number": 1, "for": 6000.0}),
        Fault(5000, "kill-gatekeeper", {"number": 1, "back-after": 4000.0}),
        Fault(5000, "silence", {"workers": 3, "for": 5000.0}),
        Fault(5000, "errors", {"workers": 4, "for": 5000.0}),
        Fault(5000, "kill-workers", {"workers": 3}),
        Fault(5000, "freeze-workers", {"workers": 4, "for": 5000.0}),
        Fault(5000, "preempt", {"workers": 3, "notice": 500.0, "for": 6000.0}),
    ],
    ids=lambda each: each.name,
)
def test_faults_lower_service_and_every_request_ends(fault):
    option = Option(SETTINGS, workers=WorkerModel(count=4, service_ms=35.0))
    baseline = Simulation(option, traffic(20), (), 1).run()
    degraded = Simulation(option, traffic(20), (fault,), 1).run()
    assert sum(degraded.answers.values()) == sum(baseline.answers.values()) == 1200
    assert degraded.measures()["worst_10_s"] < baseline.measures()["worst_10_s"]


def test_the_confidence_interval_has_its_nominal_coverage():
    rng = np.random.default_rng(11)
    covered = 0
    for case in range(300):  # small samples of a skewed distribution
        low, high = compare.interval(rng.exponential(1.0, 12) - 1.0, 0.9, case)
        covered += low <= 0 <= high
    assert 0.86 <= covered / 300 <= 0.97


def test_equal_options_do_not_differ_and_fewer_workers_are_worse():
    arrivals, sufficient = traffic(15), Option(SETTINGS, workers=WorkerModel(count=5, service_ms=40.0))
    undersized = Option(SETTINGS, workers=WorkerModel(count=1, service_ms=40.0))
    both = [sufficient, undersized]
    runs = [[Simulation(option, arrivals, (), seed).run().measures() for seed in range(1, 9)] for option in both]
    comparisons = compare.compare_measures(*runs)
    assert {each.measure: each.verdict for each in comparisons}["service"] == "worse"
    assert (
        compare.runs_for_precision(runs[0], runs[0]) == 8 and compare.runs_for_precision(*runs, half_width=1e-6) is None
    )
    rng, false_positives = np.random.default_rng(2), 0
    pool = [Simulation(sufficient, arrivals, (), seed).run().measures() for seed in range(24)]
    for _ in range(60):
        order = rng.permutation(24)
        comparisons = compare.compare_measures([pool[n] for n in order[:12]], [pool[n] for n in order[12:]])
        false_positives += any(each.verdict != "too small to tell" and each.low != each.high for each in comparisons)
    assert false_positives <= 6  # the nominal rate is 10%


@pytest.mark.parametrize(
    ("differences", "p_value"),
    [([1.0] * 4, 2 / 16), ([1.0, 1, 1, -1], 10 / 16), ([0.0] * 5, 1.0), ([3.0, 1, 1, 1, 1, 1, 1, 1], 2 / 256)],
)
def test_the_randomisation_test_gives_exact_p_values(differences, p_value):
    assert compare.sign_flip(np.array(differences)) == pytest.approx(p_value)
    assert compare.sign_flip(np.tile(np.array(differences), 8)) <= p_value  # signs are drawn, not enumerated


def test_an_undecided_verdict_gives_the_number_of_runs_needed():
    rng = np.random.default_rng(3)
    rows = [[{name: value for name in compare.MEASURES} for value in rng.normal(mean, 1.0, 10)] for mean in (0, 0.05)]
    line = compare.format_comparison(compare.compare_measures(*rows)[0], 10)
    assert "too small to tell with 10 runs; about" in line


def test_a_recording_of_a_running_gatekeeper_can_be_compared(tmp_path):
    import pathlib

    text = (pathlib.Path(__file__).parent.parent / "examples/loopback.conf").read_text()
    live, record = tmp_path / "live.conf", tmp_path / "live.trace"
    live.write_text(text + f'record "{record}" key k\n')
    running = Running(live)
    for number in range(150):
        token = check_headers(running.check(x_request_id=f"q{number}", x_api_key=f"stall-{number % 9}"))[
            "x-anisefront-attempt"
        ]
        running.log(token)
    running.stop()
    assert b"stall-7" not in record.read_bytes()
    done = CliRunner().invoke(main, ["trace", "info", str(record)])
    assert '"arrivals": 150' in done.output and '"customers": 9' in done.output, done.output
    settings = tmp_path / "main.conf"
    settings.write_text(
        GOOD.replace("class view", "class stock-view", 1)
        .replace("class view", "class stock-view")
        .replace("plan stall quota", "plan wide quota")
        .replace("x-api-key plan stall", "x-api-key plan wide")
    )
    done = CliRunner().invoke(
        main, ["model", "compare", str(settings), str(settings), "--trace", str(record), "--runs", "8"]
    )
    assert done.exit_code == 0 and done.output.count("too small to tell") == 4, done.output
