"""Compares the order in which the model and real gateways rank options, for each fault (`make bench-model`).

Each pair of options is compared under each fault by the mean of many simulations and by loopback days with the same
script and seeds. Pairs that differ by less than loopback days of one option among themselves are not counted.
"""

import concurrent.futures
import itertools
import pathlib
import statistics
import tempfile

from anisefront.testbed.model import calibrate
from anisefront.testbed.model.study import Runner, Study, Traffic, collect
from benchmarks.calibration import BASE, CONCURRENT_DAYS, SETTINGS, option_of, run_day

RUNS = 16
SEEDS = (21, 22)
OPTIONS = {
    "unchanged": (),
    "one attempt": (("attempts 4 second-copies yes", "attempts 1 second-copies no"),),
    "half the quotas": (
        ("rate 6/s burst 12", "rate 3/s burst 6"),
        ("rate 15/s burst 20", "rate 7/s burst 10"),
        ("rate 40/s burst 50 ceiling 50/s", "rate 20/s burst 25 ceiling 50/s"),
    ),
}
FAULTS = {
    "errors": "at 2s errors workers 4 share 0.7 for 9s",
    "all slow in a surge": "at 3s surge plan market times 3 for 8s\nat 4s slow workers 6 times 4 for 7s",
    "deploy": "at 3s deploy over 5s drain 1500ms",
    "a gateway is frozen": "at 4s freeze-gatekeeper number 1 for 4s",
}


def main():
    """Simulate and play all pairs, and print the services and the pairs in the same order."""
    with tempfile.TemporaryDirectory() as temporary, Runner(8) as runner:
        folder, model, days = pathlib.Path(temporary), {}, []
        for number, (option, changes) in enumerate(OPTIONS.items()):
            text = SETTINGS.read_text()
            for before, after in changes:
                assert before in text, before
                text = text.replace(before, after)
            path = folder / f"option-{number}.conf"
            path.write_text(text)
            for place, (fault, line) in enumerate(FAULTS.items()):
                # the demand of customers is the same under all options, and not a fraction of their quota
                day = BASE.replace(str(SETTINGS), str(path)) + line
                for before, after in (
                    ("count 8 of-quota 0.8", "count 8 each 4.8"),
                    ("count 3 of-quota 0.9", "count 3 each 13.5"),
                    ("count 1 of-quota 0.9", "count 1 each 36"),
                ):
                    day = day.replace(before, after)
                study = Study(
                    (option_of(day.replace("SEED", "1"), settings=path),), Traffic(day=day.replace("SEED", "1")), False
                )
                runs = collect(runner, study, list(range(1, RUNS + 1)), {}, lambda *_: None)[0]
                model[option, fault] = statistics.mean(each["measures"]["service"] for each in runs)
                days += [
                    (
                        option,
                        fault,
                        seed,
                        folder / f"{number}-{place}-{seed}",
                        day.replace("SEED", str(seed)),
                        study.options[0].settings,
                    )
                    for seed in SEEDS
                ]
        with concurrent.futures.ThreadPoolExecutor(CONCURRENT_DAYS) as threads:
            list(threads.map(lambda each: run_day(each[3], each[4]), days))
        observed = {}
        for option, fault, _, record_folder, _, conf in days:
            observed.setdefault((option, fault), []).append(calibrate.observed_measures(record_folder, conf)["service"])
        noise = max(max(values) - min(values) for values in observed.values())
        print(f"days of one option differ by up to {noise:.3f}")
        print(f"{'fault':28}" + "".join(f"{option:>34}" for option in OPTIONS))
        for fault in FAULTS:
            cells = [
                f"model {model[o, fault]:.3f}, observed {statistics.mean(observed[o, fault]):.3f}" for o in OPTIONS
            ]
            print(f"{fault:28}" + "".join(f"{cell:>34}" for cell in cells))
        same_order = distinct = 0
        for fault in FAULTS:
            for a, b in itertools.combinations(OPTIONS, 2):
                difference = statistics.mean(observed[b, fault]) - statistics.mean(observed[a, fault])
                if abs(difference) > noise:
                    distinct += 1
                    same_order += (model[b, fault] - model[a, fault]) * difference > 0
        print(f"pairs that differ on loopback: {distinct}; in the model's order: {same_order}")


if __name__ == "__main__":
    main()
