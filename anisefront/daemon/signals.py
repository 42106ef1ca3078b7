"""Recording of signals that arrive before a gateway instance can handle them. Imports nothing from this project."""

from __future__ import annotations

import signal

CAPTURED_SIGNALS = (signal.SIGHUP, signal.SIGTERM)
_pending: list[int] = []


def capture() -> None:
    """Record signals from now on.

    Without a handler either signal would kill the process, and loading the modules of a gateway instance takes half a
    second or more on a small machine.
    """
    for number in CAPTURED_SIGNALS:
        signal.signal(number, lambda number, frame: _pending.append(number))


def take_pending() -> list[int]:
    """Return the recorded signals in order of arrival, and clear the record."""
    pending = list(_pending)
    _pending.clear()
    return pending
