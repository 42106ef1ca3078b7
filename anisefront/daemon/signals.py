"""Signals that come before there is a gatekeeper to take them. It loads nothing, and decides nothing."""

from __future__ import annotations

import signal

TAKEN = (signal.SIGHUP, signal.SIGTERM)
_held: list[int] = []


def hold() -> None:
    """From now on keep what comes. Danger: until a handler is set, either signal ends the process as if it had
    crashed, and what a gatekeeper loads takes half a second and more on a small machine."""
    for number in TAKEN:
        signal.signal(number, lambda number, frame: _held.append(number))


def held() -> list[int]:
    """What has come so far, the first one first; it is forgotten here."""
    found, _held[:] = list(_held), []
    return found
