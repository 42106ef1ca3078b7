"""Runs the whole test suite repeatedly, alone and beside busy processes: it has to pass each time.

    python tests/repeat_suite.py [--alone 10] [--beside 10] [--busy 8]

Prints a line for each round and the failed tests; exits with 0 only if every round passed. Not part of the suite.
"""

import argparse
import multiprocessing
import re
import subprocess
import sys
import time


def keep_core_busy(stop):
    """Keep a core busy until `stop` is set; as a daemon process it ends with its parent."""
    while not stop.is_set():
        for _ in range(100_000):
            pass


def run_suite(number, kind):
    """Run one round and return whether it passed."""
    started_s = time.monotonic()
    completed = subprocess.run(
        [sys.executable, "-m", "pytest", "-q", "-p", "no:cacheprovider"], capture_output=True, text=True, timeout=1800
    )
    last_line = completed.stdout.strip().splitlines()[-1] if completed.stdout.strip() else completed.stderr[-200:]
    print(f"{number:3} {kind:7} {time.monotonic() - started_s:6.0f} s  {last_line}", flush=True)
    for line in re.findall(r"^(?:FAILED|ERROR) .*|^E  .*", completed.stdout, re.M)[:12]:
        print("      " + line[:200], flush=True)
    return completed.returncode == 0


def main():
    """Run the rounds and exit with 1 if one failed."""
    parser = argparse.ArgumentParser()
    for name, count in (("--alone", 10), ("--beside", 10), ("--busy", 8)):
        parser.add_argument(name, type=int, default=count)
    arguments = parser.parse_args()
    results = [run_suite(number + 1, "alone") for number in range(arguments.alone)]
    stop = multiprocessing.Event()
    busy_processes = [
        multiprocessing.Process(target=keep_core_busy, args=(stop,), daemon=True) for _ in range(arguments.busy)
    ]
    for process in busy_processes:
        process.start()
    try:
        results += [run_suite(arguments.alone + number + 1, "beside") for number in range(arguments.beside)]
    finally:
        stop.set()
    print(f"{sum(results)} passed, {len(results) - sum(results)} failed")
    sys.exit(0 if all(results) else 1)


if __name__ == "__main__":
    main()
