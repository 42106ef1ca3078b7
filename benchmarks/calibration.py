"""`make bench-model`: forecasts of loopback days by the model, made beforehand, and how often they held.

Four calm days are played and recorded to fit the workers; all other days are forecast, then played, four at a time.
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
from anisefront.testbed.model.study import OptionSpec, Runner, Study, Traffic, collect, load_config, build_option

ROOT = pathlib.Path(__file__).parent.parent
SETTINGS = ROOT / "examples/bad-saturday/gatekeeper.conf"
RUNS, SIDE_BY_SIDE, FIT_DAYS = 79, 4, 4
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
CALM = "at 4s deploy over 6s drain 1500ms"
DAYS = {
    "quiet": "",
    "surge": "at 4s surge plan market times 4 for 6s",
    "deploy": "at 3s deploy over 5s drain 1500ms",
    "all slow": "at 4s slow workers 6 times 3 for 5s",
    "two slow": "at 4s slow workers 2 times 6 for 6s",
    "errors": "at 3s errors workers 3 share 0.7 for 6s",
    "silence": "at 4s silence workers 2 for 4s",
    "workers stand still": "at 5s freeze-workers workers 3 for 2s",
    "workers die": "at 4s kill-workers workers 2",
    "messages lost": "at 2s datagrams lose 0.5 double 0.1 for 10s",
    "rooms split": "at 3s partition for 8s",
    "preemption": "at 4s preempt workers 2 notice 500ms for 4s",
    "gatekeeper stands still": "at 4s freeze-gatekeeper number 1 for 4s",
    "gatekeeper dies": "at 5s kill-gatekeeper number 1 back-after 1500ms",
    "deploy in a surge": "at 3s surge plan stall times 2 for 8s\nat 4s deploy over 5s drain 1500ms",
    "slow in a surge": "at 3s surge plan market times 4 for 6s\nat 5s slow workers 6 times 2 for 4s",
}


def start_ms(folder):
    """How long a gatekeeper's process took to start, on that day."""
    rows = [json.loads(line) for line in (folder / "day.jsonl").read_text().splitlines()]
    begun = next(row["at"] for row in rows if row["kind"] == "roster")
    return statistics.mean(row["at"] - begun for row in rows if row["kind"] == "gatekeeper_up")


def spec(text, fitted="", start=800.0, settings=SETTINGS):
    """The option that a day's script asks for."""
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


def play(folder, text):
    """A loopback day; its verdict's last line."""
    folder.mkdir()
    path = folder / "day.script"
    path.write_text(text)
    done = subprocess.run(
        [sys.executable, "-m", "anisefront", "day", str(path), "--keep", str(folder), "--record"],
        cwd=ROOT,
        capture_output=True,
        text=True,
        timeout=300,
    )
    return (done.stdout.strip().splitlines() or [done.stderr[-300:]])[-1]


def main():
    seeds = [int(each) for each in sys.argv[1:]] or [11, 12]
    with tempfile.TemporaryDirectory() as made, Store(":memory:") as store, Runner(8) as runner:
        folder = pathlib.Path(made)
        calm = [BASE.replace("SEED", str(number + 1)) + CALM for number in range(FIT_DAYS)]
        conf, fits, starts = spec(calm[0]).settings, [], []
        with concurrent.futures.ThreadPoolExecutor(SIDE_BY_SIDE) as threads:
            list(threads.map(play, [folder / f"calm-{number}" for number in range(FIT_DAYS)], calm))
        for number in range(FIT_DAYS):
            where = folder / f"calm-{number}"
            whole = traces.load([str(path) for path in sorted(where.glob("*.trace*"))])
            made = fit.fit(whole, load_config(conf, "conf").settings.warm_up_ms)
            script, _ = scripts.read(calm[number])
            fits.append(fit.fit_message_delays(made, build_option(spec(calm[number])), whole, script.troubles))
            starts.append(start_ms(where))
        found, start = fit.Fit.merged(fits), statistics.mean(starts)
        print(f"  a gatekeeper starts in {start:.0f} ms; messages take {[each.best.peers_ms for each in fits]}")
        for name in ("service_ms", "way_ms", "cores", "cold_from"):
            print(f"  {name}: {getattr(found.best, name):.3f}, nine in ten {found.interval(name)}")
        fitted = json.dumps(found.to_json())
        forecasts = {}
        for name, line in DAYS.items():
            text = BASE.replace("SEED", "1") + line
            study = Study((spec(text, fitted, start),), Traffic(day=text), series=False)
            key = store.add_study(study, "forecast")
            runs = collect(
                runner, study, list(range(1, RUNS + 1)), {}, lambda *row, key=key: store.save_run(key, *row)
            )[0]
            forecasts[name] = [each["measures"] for each in runs]
        rows, verdicts = [], []
        with concurrent.futures.ThreadPoolExecutor(SIDE_BY_SIDE) as threads:
            wanted = [(name, seed, folder / f"{number}-{seed}") for number, name in enumerate(DAYS) for seed in seeds]
            played = threads.map(lambda each: play(each[2], BASE.replace("SEED", str(each[1])) + DAYS[each[0]]), wanted)
            for (name, seed, where), verdict in zip(wanted, played, strict=True):
                verdicts.append(verdict)
                for row in calibrate.check_forecast(
                    f"{name}, {seed}", forecasts[name], calibrate.observed_measures(where, conf)
                ):
                    rows.append(row)
                    print(
                        f"{row.day:30} {row.measure:12} {row.low:8.3f} {row.median:8.3f} {row.high:8.3f}  seen "
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
