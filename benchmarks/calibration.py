"""Checks forecasts of loopback days by the model against the days themselves (`make bench-model`).

Four days with no event but a rolling deploy are recorded to fit the workers; all other days are forecast first, then
run, four at a time.
"""

import concurrent.futures
import json
import pathlib
import statistics
import subprocess
import sys
import tempfile

from anisefront.testbed import script as scripts
from anisefront.testbed.day import settings_text
from anisefront.testbed.model import calibrate, fit, traces
from anisefront.testbed.model.store import Store
from anisefront.testbed.model.study import OptionSpec, Runner, Study, Traffic, build_option, collect, load_config

ROOT = pathlib.Path(__file__).parent.parent
SETTINGS = ROOT / "examples/bad-saturday/gatekeeper.conf"
RUNS = 79
CONCURRENT_DAYS = 4
FIT_DAYS = 4
BASE = f"""length 14s
seed SEED
gatekeepers 2
settings {SETTINGS}
workers 6 cores 2 service 40ms queue 24 cells 3 drops-repeats 6s
customers stall count 8 of-quota 0.8
customers farm count 3 of-quota 0.9
customers market count 1 of-quota 0.9
mix stock-view 0.6 pre-order 0.25 pickup 0.15
jsonrpc 0.4
"""
FIT_EVENT = "at 4s deploy over 6s drain 1500ms"
DAYS = {
    "quiet": "",
    "surge": "at 4s surge plan market times 4 for 6s",
    "deploy": "at 3s deploy over 5s drain 1500ms",
    "all slow": "at 4s slow workers 6 times 3 for 5s",
    "two slow": "at 4s slow workers 2 times 6 for 6s",
    "errors": "at 3s errors workers 3 share 0.7 for 6s",
    "silence": "at 4s silence workers 2 for 4s",
    "workers frozen": "at 5s freeze-workers workers 3 for 2s",
    "workers crash": "at 4s kill-workers workers 2",
    "datagrams lost": "at 2s datagrams lose 0.5 double 0.1 for 10s",
    "zones partitioned": "at 3s partition for 8s",
    "preemption": "at 4s preempt workers 2 notice 500ms for 4s",
    "gateway frozen": "at 4s freeze-gatekeeper number 1 for 4s",
    "gateway crash": "at 5s kill-gatekeeper number 1 back-after 1500ms",
    "deploy in a surge": "at 3s surge plan stall times 2 for 8s\nat 4s deploy over 5s drain 1500ms",
    "slow in a surge": "at 3s surge plan market times 4 for 6s\nat 5s slow workers 6 times 2 for 4s",
}


def start_ms(folder):
    """Return the mean start time of the gateways' processes on a recorded day."""
    rows = [json.loads(line) for line in (folder / "day.jsonl").read_text().splitlines()]
    started = next(row["at"] for row in rows if row["kind"] == "roster")
    return statistics.mean(row["at"] - started for row in rows if row["kind"] == "gatekeeper_up")


def option_of(text, fitted="", start=800.0, settings=SETTINGS):
    """Return the model's option for a day's script."""
    script, problems = scripts.read(text)
    assert not problems, problems
    conf = settings_text(settings.read_text(), 0, script, "roster.json", {1: "127.0.0.1:9"})
    workers = script.workers
    return OptionSpec(
        "day",
        conf,
        script.gatekeepers,
        workers["count"],
        workers["cores"],
        workers["service"],
        workers["queue"],
        workers["cells"],
        script.retries,
        0.0,
        start,
        ("room-a", "room-b"),
        fitted,
    )


def run_day(folder, text):
    """Run a loopback day and return the last line of its verdict."""
    folder.mkdir()
    path = folder / "day.script"
    path.write_text(text)
    completed = subprocess.run(
        [sys.executable, "-m", "anisefront", "day", str(path), "--keep", str(folder), "--record"],
        cwd=ROOT,
        capture_output=True,
        text=True,
        timeout=300,
    )
    return (completed.stdout.strip().splitlines() or [completed.stderr[-300:]])[-1]


def main():
    """Fit the model, forecast all days, run them, and print the coverage; the arguments are seeds."""
    seeds = [int(each) for each in sys.argv[1:]] or [11, 12]
    with tempfile.TemporaryDirectory() as temporary, Store(":memory:") as store, Runner(8) as runner:
        folder = pathlib.Path(temporary)
        calm = [BASE.replace("SEED", str(number + 1)) + FIT_EVENT for number in range(FIT_DAYS)]
        conf, fits, starts = option_of(calm[0]).settings, [], []
        with concurrent.futures.ThreadPoolExecutor(CONCURRENT_DAYS) as threads:
            list(threads.map(run_day, [folder / f"calm-{number}" for number in range(FIT_DAYS)], calm))
        for number in range(FIT_DAYS):
            record_folder = folder / f"calm-{number}"
            trace = traces.load([str(path) for path in sorted(record_folder.glob("*.trace*"))])
            fitted_workers = fit.fit(trace, load_config(conf, "conf").settings.warm_up_ms)
            script, _ = scripts.read(calm[number])
            fits.append(
                fit.fit_message_delays(fitted_workers, build_option(option_of(calm[number])), trace, script.faults)
            )
            starts.append(start_ms(record_folder))
        found, start = fit.Fit.merged(fits), statistics.mean(starts)
        print(f"  a gateway starts in {start:.0f} ms; messages take {[each.best.peers_ms for each in fits]}")
        for name in ("service_ms", "way_ms", "cores", "cold_from"):
            print(f"  {name}: {getattr(found.best, name):.3f}, 90 % interval {found.interval(name)}")
        fitted = json.dumps(found.to_json())
        forecasts = {}
        for name, line in DAYS.items():
            text = BASE.replace("SEED", "1") + line
            study = Study((option_of(text, fitted, start),), Traffic(day=text), series=False)
            key = store.add_study(study, "forecast")
            runs = collect(
                runner, study, list(range(1, RUNS + 1)), {}, lambda *row, key=key: store.save_run(key, *row)
            )[0]
            forecasts[name] = [each["measures"] for each in runs]
        rows, verdicts = [], []
        with concurrent.futures.ThreadPoolExecutor(CONCURRENT_DAYS) as threads:
            days = [(name, seed, folder / f"{number}-{seed}") for number, name in enumerate(DAYS) for seed in seeds]
            results = threads.map(
                lambda each: run_day(each[2], BASE.replace("SEED", str(each[1])) + DAYS[each[0]]), days
            )
            for (name, seed, record_folder), verdict in zip(days, results, strict=True):
                verdicts.append(verdict)
                for row in calibrate.check_forecast(
                    f"{name}, {seed}", forecasts[name], calibrate.observed_measures(record_folder, conf)
                ):
                    rows.append(row)
                    print(
                        f"{row.day:30} {row.measure:12} {row.low:8.3f} {row.median:8.3f} {row.high:8.3f}  observed "
                        f"{row.observed:8.3f} {'' if row.inside else 'OUTSIDE'}",
                        flush=True,
                    )
        print(json.dumps(calibrate.coverage(rows), indent=1))
        print(
            "days that kept every rule:",
            sum("every rule kept" in each or "not proved" in each for each in verdicts),
            "of",
            len(verdicts),
        )


if __name__ == "__main__":
    main()
