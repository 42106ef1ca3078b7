"""Fault injection into an instance: runs it with the safeguard of one rule disabled, which the auditor must detect.

    python -m anisefront.testbed.sabotage GUARD serve FILE

The safeguards are disabled by patching the running program; the program itself has no code for this.
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


def _drop_final_responses() -> None:
    """Break rule 1: never send one in three refusals and failures."""
    original, count = ActionExecutor.carry_out, [0]

    def carry_out(self: ActionExecutor, now: float, action: object) -> None:
        if isinstance(action, Reject | Fail):
            count[0] += 1
            if count[0] % 3 == 0:
                return
        original(self, now, action)

    ActionExecutor.carry_out = carry_out


def _block_event_loop() -> None:
    """Break rule 1 by sleeping in the event loop, which the kernel does not count as waiting for a core."""
    original = EventBatches.run_iteration
    last_block_s: list[float] = []

    def run_iteration(self: EventBatches) -> None:
        if not last_block_s:
            # Not at import: on a busy machine the first block would delay the start.
            last_block_s.append(time.monotonic())
        if time.monotonic() - last_block_s[0] > 4.0:
            time.sleep(3.0)
            last_block_s[0] = time.monotonic()
        original(self)

    EventBatches.run_iteration = run_iteration


def _ignore_idempotency() -> None:
    """Break rule 2: treat every class as idempotent, and allow a refusal whichever attempts ran."""
    RetryPolicy.constraint = lambda self, now_ms, request: UNCONSTRAINED
    original = RequestClass.__post_init__

    def post_init(self: RequestClass) -> None:
        original(self)
        object.__setattr__(self, "idempotency", Idempotency.IDEMPOTENT)

    RequestClass.__post_init__ = post_init


def _ignore_drains() -> None:
    """Break rule 3: treat draining and removed endpoints as ready."""
    parse = endpoint_file.parse

    def parse_as_ready(text: bytes) -> EndpointList:
        endpoints = {endpoint.id: endpoint for endpoint in parse(text).endpoints}
        known.update(endpoints)
        return EndpointList(
            tuple(
                Endpoint(
                    endpoint.id,
                    endpoint.zone,
                    endpoint.cell,
                    EndpointStatus.READY,
                    endpoint.weight,
                    endpoint.started_ms,
                )
                for endpoint in known.values()
            )
        )

    known: dict[str, Endpoint] = {}
    endpoint_file.parse = parse_as_ready


def _prefer_cold_workers() -> None:
    """Break rule 4: prefer cold endpoints, and keep the limit on attempts in flight from protecting them."""

    def choose(self: EndpointSelection, now_ms: float, request: object, eligible: object, load: float) -> object:
        for state in self._endpoints.warming_up:
            if eligible is None or state in eligible:
                return state
        return original(self, now_ms, request, eligible, load)

    original = EndpointSelection.choose
    EndpointSelection.choose = choose
    ConcurrencyLimit.headroom = lambda self: 200.0 - self.in_flight


def _remove_ceilings() -> None:
    """Break rule 5: remove the quota and the ceiling of every plan."""
    original = Plan.__post_init__

    def post_init(self: Plan) -> None:
        original(self)
        for name in ("ceiling_per_s", "ceiling_burst"):
            object.__setattr__(self, name, 0.0)
        object.__setattr__(self, "rate_per_s", 1e6)
        object.__setattr__(self, "burst", 1e6)

    Plan.__post_init__ = post_init


GUARDS: dict[str, Callable[[], None]] = {
    "one-answer": _drop_final_responses,
    "loop-blocked": _block_event_loop,
    "no-effect-twice": _ignore_idempotency,
    "drains": _ignore_drains,
    "cold": _prefer_cold_workers,
    "ceilings": _remove_ceilings,
}


if __name__ == "__main__":
    GUARDS[sys.argv.pop(1)]()
    runpy.run_module("anisefront", run_name="__main__")
