"""The life of one gatekeeper's process as a table: what a step or a signal does in each phase. Free of I/O.

    starting --ready--> serving --terminate--> draining --drained--> ended
       |                                          |
       '--terminate--> ended                      '--terminate--> hurried --drained--> ended

A row that is not there changes nothing: nobody listens after a drain has begun, and nothing ends twice.
"""

from __future__ import annotations

from enum import Enum, auto


class Phase(Enum):
    """How far the process is."""

    STARTING = auto()
    STALE = auto()  # starting, with settings that were read before a hang-up
    SERVING = auto()
    DRAINING = auto()
    HURRIED = auto()  # draining, and all that is open is to be answered now
    ENDED = auto()


class Step(Enum):
    """What happens to it."""

    READY = auto()  # all is prepared but the ports
    TERMINATE = auto()
    HANG_UP = auto()
    DRAINED = auto()
    FAULT = auto()  # it can't go on, or could not start


class Do(Enum):
    """What is to be done."""

    LISTEN = auto()
    LISTEN_AND_RELOAD = auto()
    RELOAD = auto()
    DRAIN = auto()
    HURRY = auto()
    STOP = auto()


TABLE: dict[tuple[Phase, Step], tuple[Phase, Do | None]] = {
    (Phase.STARTING, Step.READY): (Phase.SERVING, Do.LISTEN),
    (Phase.STARTING, Step.HANG_UP): (Phase.STALE, None),
    (Phase.STARTING, Step.TERMINATE): (Phase.ENDED, Do.STOP),
    (Phase.STARTING, Step.FAULT): (Phase.ENDED, Do.STOP),
    (Phase.STALE, Step.READY): (Phase.SERVING, Do.LISTEN_AND_RELOAD),
    (Phase.STALE, Step.TERMINATE): (Phase.ENDED, Do.STOP),
    (Phase.STALE, Step.FAULT): (Phase.ENDED, Do.STOP),
    (Phase.SERVING, Step.HANG_UP): (Phase.SERVING, Do.RELOAD),
    (Phase.SERVING, Step.TERMINATE): (Phase.DRAINING, Do.DRAIN),
    (Phase.SERVING, Step.FAULT): (Phase.ENDED, Do.STOP),
    # What is still open while draining goes by the list in force, so its source may move even then.
    (Phase.DRAINING, Step.HANG_UP): (Phase.DRAINING, Do.RELOAD),
    (Phase.DRAINING, Step.TERMINATE): (Phase.HURRIED, Do.HURRY),
    (Phase.DRAINING, Step.DRAINED): (Phase.ENDED, Do.STOP),
    (Phase.DRAINING, Step.FAULT): (Phase.ENDED, Do.STOP),
    (Phase.HURRIED, Step.DRAINED): (Phase.ENDED, Do.STOP),
    (Phase.HURRIED, Step.FAULT): (Phase.ENDED, Do.STOP),
}


class Lifecycle:
    """The phase of one process."""

    def __init__(self) -> None:
        self.phase = Phase.STARTING

    def take(self, step: Step) -> Do | None:
        """Go by the table; what is to be done, if anything."""
        self.phase, do = TABLE.get((self.phase, step), (self.phase, None))
        return do
