"""The clock of a gateway instance: Unix milliseconds at the start, monotonic from then on."""

from __future__ import annotations

import time


class Clock:
    """A monotonic clock in Unix milliseconds, unaffected by wall clock adjustments after the start."""

    def __init__(self) -> None:
        """Read the wall clock once."""
        self._base_ms = time.time() * 1000 - time.monotonic() * 1000

    def __call__(self) -> float:
        """Return the current time."""
        return self._base_ms + time.monotonic() * 1000


def cpu_time_ms() -> float:
    """Return the processor time that all threads of this process have used, in milliseconds."""
    return time.process_time() * 1000
