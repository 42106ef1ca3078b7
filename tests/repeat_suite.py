"""Plays the whole suite again and again, alone and beside busy processes: the verdict has to be the same each time.

    python tests/repeat_suite.py [--alone 10] [--beside 10] [--busy 8]

Prints a line a round and each failure's name; exits 0 only if every round was green. Not a part of the suite.
"""

import argparse
import multiprocessing
import re
import subprocess
import sys
import time


def spin(stop):
    """Keep a core busy until told; the longest it may take is bounded by the caller's life."""
    while not stop.is_set():
        for _ in range(100_000):
            pass


def play(number, kind):
    """One round; whether it was green."""
    began = time.monotonic()
    done = subprocess.run(
        [sys.executable, "-m", "pytest", "-q", "-p", "no:cacheprovider"], capture_output=True, text=True, timeout=1800
    )
    last = done.stdout.strip().splitlines()[-1] if done.stdout.strip() else done.stderr[-200:]
    print(f"{number:3} {kind:7} {time.monotonic() - began:6.0f} s  {last}", flush=True)
    for line in re.findall(r"^(?:FAILED|ERROR) .*|^E  .*", done.stdout, re.M)[:12]:
        print("      " + line[:200], flush=True)
    return done.returncode == 0


def main():
    options = argparse.ArgumentParser()
    for name, count in (("--alone", 10), ("--beside", 10), ("--busy", 8)):
        options.add_argument(name, type=int, default=count)
    wanted = options.parse_args()
    green = [play(number + 1, "alone") for number in range(wanted.alone)]
    stop = multiprocessing.Event()
    spinners = [multiprocessing.Process(target=spin, args=(stop,), daemon=True) for _ in range(wanted.busy)]
    for each in spinners:
        each.start()
    try:
        green += [play(wanted.alone + number + 1, "beside") for number in range(wanted.beside)]
    finally:
        stop.set()
    print(f"{sum(green)} passed, {len(green) - sum(green)} failed")
    sys.exit(0 if all(green) else 1)


if __name__ == "__main__":
    main()
