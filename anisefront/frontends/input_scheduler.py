"""Round robin over the connections whose received input waits to be parsed.

Without it, an event loop iteration would parse what all connections have sent: beside some hundred clients that send
much at once, it would take seconds, and timers, responses and requests of all others would wait for it.

    received --time left in this iteration, and no connection waits--> turns at once
    received --otherwise--> first turns --some input left--> further turns --none left--> read again

A turn is a bounded part of one connection's input. While a connection waits it is not read, so that the kernel's flow
control stops its client. First turns are short, and most turns are first ones, so that a client that sends little does
not wait for those that send much.
"""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Callable
from typing import Any, Protocol

MAX_ITERATION_S = 0.004  # time after which an event loop iteration starts no further turn
MIN_INTERVAL_S = 0.008  # between two such times where no connection waits


FIRST_TURN_BYTES = 512  # a request or a few
TURN_BYTES = 4096  # long enough that the change from one connection to the next costs little
FIRST_TURNS_IN_ROW = 3  # before a further turn


class InputConsumer(Protocol):
    """A connection with received input."""

    def take_turn(self, max_bytes: int) -> bool:
        """Process at most `max_bytes` of the received input, or one message; return whether some input is left."""

    def begin_waiting(self) -> None:
        """Stop reading: the received input waits for a turn."""

    def end_waiting(self) -> None:
        """Read again: no input is left."""


class InputScheduler:
    """Decides when the connections of one event loop process their input."""

    def __init__(self, reactor: Any, is_behind: Callable[[], bool] = lambda: False) -> None:
        """Create a scheduler without connections.

        Args:
            reactor: Event loop.
            is_behind: Returns whether earlier input has not been handled yet; no turn begins then.
        """
        self._reactor = reactor
        self._is_behind = is_behind
        self._first_turns: OrderedDict[InputConsumer, None] = OrderedDict()
        self._further_turns: OrderedDict[InputConsumer, None] = OrderedDict()
        self._first_turns_in_row = 0
        self._scheduled = False
        self._began_s = 0.0  # the interval in which `_used_s` was used
        self._used_s = 0.0

    def submit(self, consumer: InputConsumer) -> None:
        """Let a connection process its input: at once if there is time and no other waits, otherwise in turn."""
        if self.is_waiting(consumer):
            return
        turns = self._first_turns
        if not self._has_waiting():
            self._begin_interval()
            while self._has_time():
                if not self._take_turn(consumer, TURN_BYTES):
                    return
                turns = self._further_turns
        turns[consumer] = None
        consumer.begin_waiting()
        self._schedule()

    def is_waiting(self, consumer: InputConsumer) -> bool:
        """Tell whether a connection waits for a turn."""
        return consumer in self._first_turns or consumer in self._further_turns

    def remove(self, consumer: InputConsumer) -> None:
        """Forget a connection that has ended."""
        self._first_turns.pop(consumer, None)
        self._further_turns.pop(consumer, None)

    def _has_waiting(self) -> bool:
        return bool(self._first_turns or self._further_turns)

    def _begin_interval(self) -> None:
        """Begin another interval if the current one has passed, or the clock was set back."""
        now_s = self._reactor.seconds()
        if not self._began_s <= now_s < self._began_s + MIN_INTERVAL_S:
            self._began_s = now_s
            self._used_s = 0.0

    def _has_time(self) -> bool:
        return self._used_s < MAX_ITERATION_S and not self._is_behind()

    def _take_turn(self, consumer: InputConsumer, max_bytes: int) -> bool:
        started_s = self._reactor.seconds()
        has_more = consumer.take_turn(max_bytes)
        self._used_s += self._reactor.seconds() - started_s
        return has_more

    def _schedule(self) -> None:
        if not self._scheduled:
            self._scheduled = True
            self._reactor.callLater(0, self._run_iteration)

    def _run_iteration(self) -> None:
        """Give turns to the waiting connections, until the time of an iteration is used up."""
        self._scheduled = False
        self._began_s = self._reactor.seconds()
        self._used_s = 0.0
        while self._has_waiting() and self._has_time():
            self._run_next_turn()
        if self._has_waiting():
            self._schedule()

    def _run_next_turn(self) -> None:
        is_first = bool(self._first_turns)
        if self._further_turns and self._first_turns_in_row >= FIRST_TURNS_IN_ROW:
            is_first = False
        self._first_turns_in_row = self._first_turns_in_row + 1 if is_first else 0
        turns = self._first_turns if is_first else self._further_turns
        consumer, _ = turns.popitem(last=False)
        if self._take_turn(consumer, FIRST_TURN_BYTES if is_first else TURN_BYTES):
            self._further_turns[consumer] = None
        else:
            consumer.end_waiting()
