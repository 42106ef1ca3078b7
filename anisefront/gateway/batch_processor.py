"""Passes batches of events to the controller, executes its actions and handles errors of both."""

from __future__ import annotations

from collections.abc import Callable

from anisefront.policy.actions import Action
from anisefront.policy.events import Event


class BatchProcessor:
    """Processes one batch of events at a time. The error callbacks may raise the error again."""

    def __init__(
        self,
        decide: Callable[[float, list[Event]], list[Action]],
        carry_out: Callable[[float, Action], None],
        on_decide_error: Callable[[Exception], None],
        on_action_error: Callable[[Action, Exception], None],
    ) -> None:
        """Create a processor.

        Args:
            decide: The controller: takes the time in milliseconds and events, returns actions.
            carry_out: Carries out one action.
            on_decide_error: Called if the controller raises. The controller must not be called again after that.
            on_action_error: Called if an action can't be carried out. The remaining actions are still carried out.
        """
        self.observer: Callable[[float, object], None] | None = None  # called with each event and each action
        self._decide = decide
        self._carry_out = carry_out
        self._on_decide_error = on_decide_error
        self._on_action_error = on_action_error

    def process(self, now_ms: float, events: list[Event]) -> None:
        """Pass a batch of events to the controller and carry out its actions."""
        if self.observer is not None:
            for event in events:
                self.observer(now_ms, event)
        try:
            actions = self._decide(now_ms, events)
        except Exception as error:
            self._on_decide_error(error)
            return
        for action in actions:
            if self.observer is not None:
                self.observer(now_ms, action)
            try:
                self._carry_out(now_ms, action)
            except Exception as error:
                self._on_action_error(action, error)
