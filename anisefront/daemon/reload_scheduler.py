"""Scheduling of settings reloads: one at a time, in slices between iterations of the event loop.

    idle --reload requested--> reading --ended--> idle
                               reading --reload requested--> reload pending --ended--> reading
    any --stop--> stopped

A reload that has begun is completed: if each one cancelled the previous one, a request each second could prevent all
of them. Any number of reload requests in the meantime cause one more read, which finds the newest files.
"""

from __future__ import annotations

import time
from collections.abc import Callable, Generator
from enum import Enum, auto
from typing import TYPE_CHECKING

from anisefront.gateway.event_loop_lag import LagHistogram

if TYPE_CHECKING:
    from structlog.typing import FilteringBoundLogger
    from twisted.internet.interfaces import IReactorTime

SLICE_S = 0.0005  # work on settings per event loop iteration; the step that exceeds it is the last
# A request takes several iterations and may be delayed by a slice in each, so most of the time is left for requests.
PAUSE_S = 0.002
MAX_DEFERRALS = 3  # iterations by which a slice is deferred while requests await a decision


class Phase(Enum):
    """Phase of the reload."""

    IDLE = auto()
    READING = auto()
    RELOAD_PENDING = auto()  # reading, and another read must follow, since files may have changed
    STOPPED = auto()  # the gateway instance drains: the current settings remain in use


class Step(Enum):
    """An event that changes the phase."""

    RELOAD_REQUESTED = auto()  # a reload is requested
    ENDED = auto()  # the change was applied or rejected, or it failed
    STOP = auto()


class Command(Enum):
    """What to do next."""

    BEGIN = auto()
    CANCEL = auto()
    IGNORE = auto()


TRANSITIONS: dict[tuple[Phase, Step], tuple[Phase, Command | None]] = {
    (Phase.IDLE, Step.RELOAD_REQUESTED): (Phase.READING, Command.BEGIN),
    (Phase.READING, Step.RELOAD_REQUESTED): (Phase.RELOAD_PENDING, None),
    (Phase.READING, Step.ENDED): (Phase.IDLE, None),
    (Phase.RELOAD_PENDING, Step.ENDED): (Phase.READING, Command.BEGIN),
    (Phase.IDLE, Step.STOP): (Phase.STOPPED, None),
    (Phase.READING, Step.STOP): (Phase.STOPPED, Command.CANCEL),
    (Phase.RELOAD_PENDING, Step.STOP): (Phase.STOPPED, Command.CANCEL),
    (Phase.STOPPED, Step.RELOAD_REQUESTED): (Phase.STOPPED, Command.IGNORE),
}


class ReloadScheduler:
    """Runs reloads interleaved with the handling of requests."""

    def __init__(
        self,
        reactor: IReactorTime,
        change: Callable[[], Generator[None, None, None]],
        has_waiting_requests: Callable[[], bool],
        log: FilteringBoundLogger,
        on_raise: Callable[[Exception], None],
        seconds: Callable[[], float] = time.perf_counter,
    ) -> None:
        """Create an idle scheduler.

        Args:
            reactor: The event loop.
            change: Returns the steps of one reload, from reading the files to applying the settings.
            has_waiting_requests: Returns whether requests await a decision.
            log: Where dropped and ignored reloads are logged.
            on_raise: Called with an unexpected exception of a change.
            seconds: Measures slices.
        """
        self.phase = Phase.IDLE
        self.slices = LagHistogram()
        self.work_ms = 0.0  # processor time of all reloads so far
        self._reactor = reactor
        self._change = change
        self._has_waiting_requests = has_waiting_requests
        self._log = log
        self._on_raise = on_raise
        self._seconds = seconds
        self._steps: Generator[None, None, None] | None = None
        self._deferrals = 0

    def request_reload(self) -> None:
        """Request a read of the files, which may have changed."""
        self._advance(Step.RELOAD_REQUESTED)

    def stop(self) -> None:
        """Cancel a running reload and ignore further requests."""
        self._advance(Step.STOP)

    def _advance(self, step: Step) -> None:
        self.phase, command = TRANSITIONS.get((self.phase, step), (self.phase, None))
        if command is Command.BEGIN:
            self._steps = self._change()
            self._reactor.callLater(0, self._run_slice)
        elif command is Command.CANCEL:
            steps = self._steps
            self._steps = None
            steps.close()
            self._log.info("reading_dropped", why="draining")
        elif command is Command.IGNORE:
            self._log.info("hang_up_ignored", why="draining")

    def _run_slice(self) -> None:
        if self._steps is None:
            return  # cancelled meanwhile
        if self._has_waiting_requests() and self._deferrals < MAX_DEFERRALS:
            self._deferrals += 1
            self._reactor.callLater(0, self._run_slice)
            return
        self._deferrals = 0
        began_s = self._seconds()
        processor_began_s = time.thread_time()
        self._run_steps(began_s)
        self.work_ms += (time.thread_time() - processor_began_s) * 1000
        self.slices.record((self._seconds() - began_s) * 1000)
        if self._steps is None:
            self._advance(Step.ENDED)
        else:
            self._reactor.callLater(PAUSE_S, self._run_slice)

    def _run_steps(self, began_s: float) -> None:
        """Take steps until the slice is used up or the change has ended."""
        try:
            while True:
                next(self._steps)
                if self._seconds() - began_s >= SLICE_S:
                    return
        except StopIteration:
            self._steps = None
        except Exception as error:  # unexpected file contents must not end a running gateway instance
            self._steps = None
            self._on_raise(error)
