"""Changes of settings beside the work of a gatekeeper: one at a time, in slices between turns of the loop.

    idle --hang up--> reading --ended--> idle
                      reading --hang up--> due --ended--> reading
    any --stop--> over

A change that has begun is carried through: were it given up for the next, one a second could keep all of them out. What
comes meanwhile, however often, is one more reading, since that finds the newest files. What a change is, is handed in.
"""

from __future__ import annotations

import time
from collections.abc import Callable, Generator
from enum import Enum, auto
from typing import Any

from anisefront.gateway.event_loop_lag import LagHistogram

SLICE_S = 0.0005  # work for settings in one turn of the loop; the step that passes it is the last
# A request goes through several turns of the loop, and could wait for a slice in each: so most of the time is theirs.
REST_S = 0.002
PUT_OFF = 3  # turns of the loop that a slice waits for requests that are to be decided


class Phase(Enum):
    """What is being done about settings."""

    IDLE = auto()
    READING = auto()
    DUE = auto()  # reading, and files may have changed behind it
    OVER = auto()  # the gatekeeper drains: what is in force stays so


class Step(Enum):
    """What happens."""

    HANG_UP = auto()
    ENDED = auto()  # the change is in force, or refused, or failed
    STOP = auto()


class Do(Enum):
    """What is to be done."""

    BEGIN = auto()
    DROP = auto()
    IGNORE = auto()


TABLE: dict[tuple[Phase, Step], tuple[Phase, Do | None]] = {
    (Phase.IDLE, Step.HANG_UP): (Phase.READING, Do.BEGIN),
    (Phase.READING, Step.HANG_UP): (Phase.DUE, None),
    (Phase.READING, Step.ENDED): (Phase.IDLE, None),
    (Phase.DUE, Step.ENDED): (Phase.READING, Do.BEGIN),
    (Phase.IDLE, Step.STOP): (Phase.OVER, None),
    (Phase.READING, Step.STOP): (Phase.OVER, Do.DROP),
    (Phase.DUE, Step.STOP): (Phase.OVER, Do.DROP),
    (Phase.OVER, Step.HANG_UP): (Phase.OVER, Do.IGNORE),
}


class Reloader:
    """`change()` gives the steps of one change, which carries itself out; `busy` says whether requests wait to be
    decided, `on_raise` hears of what nobody foresaw."""

    def __init__(
        self,
        reactor: Any,
        change: Callable[[], Generator[None, None, None]],
        busy: Callable[[], bool],
        log: Any,
        on_raise: Callable[[Exception], None],
        seconds: Callable[[], float] = time.perf_counter,
    ) -> None:
        self._reactor, self._change, self._busy, self._log = reactor, change, busy, log
        self._on_raise, self._seconds = on_raise, seconds
        self.phase, self.slices = Phase.IDLE, LagHistogram()
        self.work_ms = 0.0  # processor time of all changes so far
        self._steps: Generator[None, None, None] | None = None
        self._put_off = 0

    def hang_up(self) -> None:
        """The files may have changed."""
        self._take(Step.HANG_UP)

    def stop(self) -> None:
        """Nothing changes any more."""
        self._take(Step.STOP)

    def _take(self, step: Step) -> None:
        self.phase, do = TABLE.get((self.phase, step), (self.phase, None))
        if do is Do.BEGIN:
            self._steps = self._change()
            self._reactor.callLater(0, self._slice)
        elif do is Do.DROP:
            steps, self._steps = self._steps, None
            steps.close()
            self._log.info("reading_dropped", why="draining")
        elif do is Do.IGNORE:
            self._log.info("hang_up_ignored", why="draining")

    def _slice(self) -> None:
        if self._steps is None:
            return  # dropped meanwhile
        if self._busy() and self._put_off < PUT_OFF:
            self._put_off += 1
            self._reactor.callLater(0, self._slice)
            return
        self._put_off, began, work_s = 0, self._seconds(), time.thread_time()
        try:
            while True:
                next(self._steps)
                if self._seconds() - began >= SLICE_S:
                    break
        except StopIteration:
            self._steps = None
        except Exception as problem:  # Danger: a file that nobody foresaw must not end a gatekeeper in service
            self._steps = None
            self._on_raise(problem)
        self.work_ms += (time.thread_time() - work_s) * 1000
        self.slices.record((self._seconds() - began) * 1000)
        if self._steps is None:
            self._take(Step.ENDED)
        else:
            self._reactor.callLater(REST_S, self._slice)
