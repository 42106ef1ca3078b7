"""A gatekeeper with the guard of one rule taken out, to show that the auditor sees it.

    python -m anisefront.testbed.sabotage GUARD serve FILE

It changes the running program only; nothing of the product knows of it.
"""

from __future__ import annotations

import runpy
import sys
import time
from collections.abc import Callable

from anisefront.cluster import endpoint_file
from anisefront.gateway.action_executor import ActionExecutor
from anisefront.gateway.event_batches import EventBatches
from anisefront.policy.actions import Fail, Reject
from anisefront.policy.concurrency_limit import ConcurrencyLimit
from anisefront.policy.endpoint_selection import EndpointSelection
from anisefront.policy.events import Endpoint, EndpointList, EndpointStatus
from anisefront.policy.retries import UNCONSTRAINED, RetryPolicy
from anisefront.policy.settings import Idempotency, Plan, RequestClass


def _answers_lost() -> None:
    """Rule 1: one refusal or failure in three is never told."""
    kept, count = ActionExecutor.carry_out, [0]

    def carry_out(self: ActionExecutor, now: float, action: object) -> None:
        if isinstance(action, Reject | Fail):
            count[0] += 1
            if count[0] % 3 == 0:
                return
        kept(self, now, action)

    ActionExecutor.carry_out = carry_out


def _loop_blocked() -> None:
    """Rule 1 by our own doing: the loop sleeps in a call. The kernel counts that as no lack of a core."""
    kept = EventBatches.run_iteration
    last: list[float] = []

    def turn(self: EventBatches) -> None:
        if not last:
            last.append(time.monotonic())  # not at the import: on a busy machine the first block would delay the start
        if time.monotonic() - last[0] > 4.0:
            time.sleep(3.0)
            last[0] = time.monotonic()
        kept(self)

    EventBatches.run_iteration = turn


def _repeats_anywhere() -> None:
    """Rule 2: every class is taken for safe to repeat, and may be refused whatever ran."""
    RetryPolicy.constraint = lambda self, now_ms, request: UNCONSTRAINED
    made = RequestClass.__post_init__

    def post_init(self: RequestClass) -> None:
        made(self)
        object.__setattr__(self, "idempotency", Idempotency.IDEMPOTENT)

    RequestClass.__post_init__ = post_init


def _drains_ignored() -> None:
    """Rule 3: what the list says drains is taken for ready, and what is gone for still there."""
    parse = endpoint_file.parse

    def blind(text: bytes) -> EndpointList:
        servers = {server.id: server for server in parse(text).endpoints}
        known.update(servers)
        return EndpointList(
            tuple(Endpoint(s.id, s.zone, s.cell, EndpointStatus.READY, s.weight, s.started_ms) for s in known.values())
        )

    known: dict[str, Endpoint] = {}
    endpoint_file.parse = blind


def _cold_as_warm() -> None:
    """Rule 4: a cold worker counts as the best there is, and the cap on attempts out does not close for it."""

    def choose(self: EndpointSelection, now_ms: float, request: object, eligible: object, load: float) -> object:
        for state in self._endpoints.warming_up:
            if eligible is None or state in eligible:
                return state
        return original(self, now_ms, request, eligible, load)

    original = EndpointSelection.choose
    EndpointSelection.choose = choose
    ConcurrencyLimit.headroom = lambda self: 200.0 - self.in_flight


def _ceilings_open() -> None:
    """Rule 5: no plan has a quota or a ceiling."""
    made = Plan.__post_init__

    def post_init(self: Plan) -> None:
        made(self)
        for name in ("ceiling_per_s", "ceiling_burst"):
            object.__setattr__(self, name, 0.0)
        object.__setattr__(self, "rate_per_s", 1e6)
        object.__setattr__(self, "burst", 1e6)

    Plan.__post_init__ = post_init


GUARDS: dict[str, Callable[[], None]] = {
    "one-answer": _answers_lost,
    "loop-blocked": _loop_blocked,
    "no-effect-twice": _repeats_anywhere,
    "drains": _drains_ignored,
    "cold": _cold_as_warm,
    "ceilings": _ceilings_open,
}


if __name__ == "__main__":
    GUARDS[sys.argv.pop(1)]()
    runpy.run_module("anisefront", run_name="__main__")
