"""State machine of a gateway process: the effect of each step or signal in each phase. Performs no I/O.

    starting --ready--> serving --terminate--> draining --drained--> ended
       |                                          |
       '--terminate--> ended                      '--terminate--> ending drain --drained--> ended

A step without a transition is ignored: no listener opens after a drain has begun, and nothing ends twice.
"""

from __future__ import annotations

from enum import Enum, auto


class Phase(Enum):
    """Phase of the process."""

    STARTING = auto()
    STALE = auto()  # starting, with settings that were read before a SIGHUP
    SERVING = auto()
    DRAINING = auto()
    ENDING_DRAIN = auto()  # draining, with all open requests to be answered immediately
    ENDED = auto()


class Step(Enum):
    """An event in the life of the process."""

    READY = auto()  # everything is prepared except the listeners
    TERMINATE = auto()
    RELOAD_REQUESTED = auto()  # SIGHUP
    DRAINED = auto()
    FAULT = auto()  # the process can't start or continue


class Command(Enum):
    """What to do next."""

    LISTEN = auto()
    LISTEN_AND_RELOAD = auto()
    RELOAD = auto()
    DRAIN = auto()
    END_DRAIN = auto()
    STOP = auto()


TRANSITIONS: dict[tuple[Phase, Step], tuple[Phase, Command | None]] = {
    (Phase.STARTING, Step.READY): (Phase.SERVING, Command.LISTEN),
    (Phase.STARTING, Step.RELOAD_REQUESTED): (Phase.STALE, None),
    (Phase.STARTING, Step.TERMINATE): (Phase.ENDED, Command.STOP),
    (Phase.STARTING, Step.FAULT): (Phase.ENDED, Command.STOP),
    (Phase.STALE, Step.READY): (Phase.SERVING, Command.LISTEN_AND_RELOAD),
    (Phase.STALE, Step.TERMINATE): (Phase.ENDED, Command.STOP),
    (Phase.STALE, Step.FAULT): (Phase.ENDED, Command.STOP),
    (Phase.SERVING, Step.RELOAD_REQUESTED): (Phase.SERVING, Command.RELOAD),
    (Phase.SERVING, Step.TERMINATE): (Phase.DRAINING, Command.DRAIN),
    (Phase.SERVING, Step.FAULT): (Phase.ENDED, Command.STOP),
    # Requests that are open during a drain use the current endpoint list, so a reload must still have an effect.
    (Phase.DRAINING, Step.RELOAD_REQUESTED): (Phase.DRAINING, Command.RELOAD),
    (Phase.DRAINING, Step.TERMINATE): (Phase.ENDING_DRAIN, Command.END_DRAIN),
    (Phase.DRAINING, Step.DRAINED): (Phase.ENDED, Command.STOP),
    (Phase.DRAINING, Step.FAULT): (Phase.ENDED, Command.STOP),
    (Phase.ENDING_DRAIN, Step.DRAINED): (Phase.ENDED, Command.STOP),
    (Phase.ENDING_DRAIN, Step.FAULT): (Phase.ENDED, Command.STOP),
}


class Lifecycle:
    """The phase of one process."""

    def __init__(self) -> None:
        """Begin in the starting phase."""
        self.phase = Phase.STARTING

    def advance(self, step: Step) -> Command | None:
        """Enter the phase that follows a step and return the command to execute, if any."""
        self.phase, command = TRANSITIONS.get((self.phase, step), (self.phase, None))
        return command
