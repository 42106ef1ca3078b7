"""`make bench-model`: whether model and real gatekeeper put options in the same order, trouble by trouble.

Each pair of options under each trouble is compared twice: by the model's mean over many worlds and by loopback days of
the same script and seeds. Pairs that lie closer together than loopback days of one option differ are told apart.
"""

import concurrent.futures
import itertools
import pathlib
import statistics
import tempfile

from anisefront.testbed.model import calibrate
from anisefront.testbed.model.study import Runner, Study, Traffic, collect
from benchmarks.calibration import BASE, SETTINGS, SIDE_BY_SIDE, play, spec

RUNS, SEEDS = 16, (21, 22)
OPTIONS = {
    "as it is": (),
    "one attempt": (("attempts 4 second-copies yes", "attempts 1 second-copies no"),),
    "half the quotas": (
        ("rate 6/s burst 12", "rate 3/s burst 6"),
        ("rate 15/s burst 20", "rate 7/s burst 10"),
        ("rate 40/s burst 50 ceiling 50/s", "rate 20/s burst 25 ceiling 50/s"),
    ),
}
TROUBLES = {
    "errors": "at 2s errors workers 4 share 0.7 for 9s",
    "all slow in a surge": "at 3s surge plan market times 3 for 8s\nat 4s slow workers 6 times 4 for 7s",
    "deploy": "at 3s deploy over 5s drain 1500ms",
    "a gatekeeper stands still": "at 4s freeze-gatekeeper number 1 for 4s",
}


def main():
    with tempfile.TemporaryDirectory() as made, Runner(8) as runner:
        folder, model, wanted = pathlib.Path(made), {}, []
        for number, (option, changes) in enumerate(OPTIONS.items()):
            text = SETTINGS.read_text()
            for before, after in changes:
                assert before in text, before
                text = text.replace(before, after)
            path = folder / f"option-{number}.conf"
            path.write_text(text)
            for place, (trouble, line) in enumerate(TROUBLES.items()):
                # what customers ask for is the same under all options, and not a share of their quota
                day = BASE.replace(str(SETTINGS), str(path)) + line
                for before, after in (
                    ("count 8 of-quota 0.8", "count 8 each 4.8"),
                    ("count 3 of-quota 0.9", "count 3 each 13.5"),
                    ("count 1 of-quota 0.9", "count 1 each 36"),
                ):
                    day = day.replace(before, after)
                study = Study(
                    (spec(day.replace("SEED", "1"), settings=path),), Traffic(day=day.replace("SEED", "1")), False
                )
                runs = collect(runner, study, list(range(1, RUNS + 1)), {}, lambda *_: None)[0]
                model[option, trouble] = statistics.mean(each["measures"]["service"] for each in runs)
                wanted += [
                    (
                        option,
                        trouble,
                        seed,
                        folder / f"{number}-{place}-{seed}",
                        day.replace("SEED", str(seed)),
                        study.options[0].settings,
                    )
                    for seed in SEEDS
                ]
        with concurrent.futures.ThreadPoolExecutor(SIDE_BY_SIDE) as threads:
            list(threads.map(lambda each: play(each[3], each[4]), wanted))
        seen = {}
        for option, trouble, _, where, _, conf in wanted:
            seen.setdefault((option, trouble), []).append(calibrate.observed_measures(where, conf)["service"])
        noise = max(max(values) - min(values) for values in seen.values())
        print(f"days of one option differ by up to {noise:.3f}")
        print(f"{'trouble':28}" + "".join(f"{option:>34}" for option in OPTIONS))
        for trouble in TROUBLES:
            cells = [f"model {model[o, trouble]:.3f}, seen {statistics.mean(seen[o, trouble]):.3f}" for o in OPTIONS]
            print(f"{trouble:28}" + "".join(f"{cell:>34}" for cell in cells))
        same = clear = 0
        for trouble in TROUBLES:
            for a, b in itertools.combinations(OPTIONS, 2):
                found = statistics.mean(seen[b, trouble]) - statistics.mean(seen[a, trouble])
                if abs(found) > noise:
                    clear += 1
                    same += (model[b, trouble] - model[a, trouble]) * found > 0
        print(f"pairs that loopback tells apart: {clear}; in the model's order: {same}")


if __name__ == "__main__":
    main()
