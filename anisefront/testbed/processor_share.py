"""Limits a process to a share of a core, by signals, as a platform that counts processor time in periods does.

    python -m anisefront.testbed.processor_share PID SHARE PERIOD_MS

In each period the process runs until it has used its share of processor time, and is stopped for the rest of it.
Ends with the process, or at SIGTERM; the process runs freely then.
"""

from __future__ import annotations

import os
import signal
import sys
import time
from pathlib import Path

LOOK_INTERVAL_S = 0.001  # between two looks at the processor time
NS_PER_S = 1e9


def processor_time_s(pid: int) -> float:
    """Return the processor time of all threads of a process, by the kernel's scheduling statistics.

    Raises:
        OSError: The process has ended.
    """
    tasks = Path(f"/proc/{pid}/task")
    return sum(int((tasks / task / "schedstat").read_text().split()[0]) for task in os.listdir(tasks)) / NS_PER_S


def run_period(pid: int, share: float, period_s: float) -> None:
    """Let a process run for its share of one period."""
    until_s = time.monotonic() + period_s
    most_s = processor_time_s(pid) + share * period_s
    while time.monotonic() < until_s and processor_time_s(pid) < most_s:
        time.sleep(LOOK_INTERVAL_S)
    rest_s = until_s - time.monotonic()
    if rest_s <= 0:
        return
    os.kill(pid, signal.SIGSTOP)
    try:
        time.sleep(rest_s)
    finally:
        os.kill(pid, signal.SIGCONT)


def limit(pid: int, share: float, period_s: float) -> None:
    """Limit a process until it ends."""
    while True:
        try:
            run_period(pid, share, period_s)
        except OSError:
            return


if __name__ == "__main__":
    signal.signal(signal.SIGTERM, lambda number, frame: sys.exit())
    pid, share, period_ms = sys.argv[1:]
    limit(int(pid), float(share), float(period_ms) / 1000)
