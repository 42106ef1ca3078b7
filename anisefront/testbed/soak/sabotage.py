"""Runs an instance of the RESP gateway with injected faults, to show that the auditor of the soak detects each.

    python -m anisefront.testbed.soak.sabotage FAULT[,FAULT ...] node

It patches classes in its own process only; the gateway has no code for it.
"""

from __future__ import annotations

import os
import runpy
import sys
import time
from collections.abc import Callable
from dataclasses import replace
from typing import Any

from anisefront.daemon.drain import Drain
from anisefront.policy.concurrency_limit import ConcurrencyLimit
from anisefront.policy.events import EndpointStatus
from anisefront.policy.retries import UNCONSTRAINED, RetryPolicy
from anisefront.resp_gateway import resp_requests
from anisefront.resp_gateway.client_connection import ClientConnection
from anisefront.resp_gateway.endpoint_changes import EndpointDirectory
from anisefront.resp_gateway.instance import RespGatewayInstance
from anisefront.testbed import sabotage

LEAKED_BYTES = 256 << 10
LEAKED_DESCRIPTORS = 40  # stays below the limit, so that only the comparison at the end shows it
ATTEMPTS_PER_LOST_END = 5  # one attempt in this many
SLOW_START_S = 11.0
_leaked: list[object] = []


def _reset_connections() -> None:
    """Reset all client connections when a drain begins, instead of finishing them."""
    original = RespGatewayInstance._begin_drain

    def begin_drain(self: RespGatewayInstance) -> None:
        original(self)
        for clients in self.frontend.by_state.values():
            for client in list(clients):
                client.abort()

    RespGatewayInstance._begin_drain = begin_drain


def _never_complete_drain() -> None:
    """Let the process run on after its drain has completed."""
    Drain.complete = lambda self: None


def _start_slowly() -> None:
    """Delay the start beyond the time within which an instance has to be ready."""
    original = RespGatewayInstance.prepare

    def prepare_slowly(self: RespGatewayInstance) -> None:
        time.sleep(SLOW_START_S)
        original(self)

    RespGatewayInstance.prepare = prepare_slowly


def _leak_descriptors() -> None:
    """Leak a descriptor at each of the first reads."""
    original = ClientConnection.dataReceived

    def data_received(self: ClientConnection, data: bytes) -> None:
        if len(_leaked) < LEAKED_DESCRIPTORS:
            _leaked.append(os.dup(2))
        original(self, data)

    ClientConnection.dataReceived = data_received


def _leak_memory() -> None:
    """Leak memory at each read."""
    original = ClientConnection.dataReceived

    def data_received(self: ClientConnection, data: bytes) -> None:
        _leaked.append(bytearray(os.urandom(LEAKED_BYTES)))
        original(self, data)

    ClientConnection.dataReceived = data_received


def _lose_attempt_ends() -> None:
    """Leave one attempt in `ATTEMPTS_PER_LOST_END` counted as in flight after its end."""
    original, count = ConcurrencyLimit.record_attempt_ended, [0]

    def record_attempt_ended(self: ConcurrencyLimit, *arguments: Any, **keywords: Any) -> Any:
        count[0] += 1
        if count[0] % ATTEMPTS_PER_LOST_END:
            return original(self, *arguments, **keywords)
        in_flight = self.in_flight
        result = original(self, *arguments, **keywords)
        self.in_flight = in_flight
        return result

    ConcurrencyLimit.record_attempt_ended = record_attempt_ended


def _write_answers_twice() -> None:
    """Write each answer twice."""
    original = resp_requests.resp_codec.encode_bulk
    resp_requests.resp_codec.encode_bulk = lambda value: original(value) * (2 if value.startswith(b"value for") else 1)


def _retry_without_constraint() -> None:
    """Rule 2: retry a request that may have been executed at any endpoint; its class and verb are still checked."""
    RetryPolicy.constraint = lambda self, now_ms, request: UNCONSTRAINED


def _ignore_drains() -> None:
    """Rule 3: treat endpoints that drain or have left as ready."""
    original = EndpointDirectory.apply

    def apply_as_ready(self: EndpointDirectory, change: Any) -> Any:
        entries = tuple(
            replace(entry, endpoint=replace(entry.endpoint, status=EndpointStatus.READY)) for entry in change.entries
        )
        return original(self, replace(change, snapshot=False, entries=entries))

    EndpointDirectory.apply = apply_as_ready


FAULTS: dict[str, Callable[[], None]] = {
    "one-answer": sabotage.GUARDS["one-answer"],
    "twice": _retry_without_constraint,
    "drains": _ignore_drains,
    "cold": sabotage.GUARDS["cold"],
    "ceilings": sabotage.GUARDS["ceilings"],
    "resets": _reset_connections,
    "own-answers": _write_answers_twice,
    "exits": _never_complete_drain,
    "ready": _start_slowly,
    "descriptors": _leak_descriptors,
    "memory": _leak_memory,
    "attempts-out": _lose_attempt_ends,
}


if __name__ == "__main__":
    for fault in sys.argv.pop(1).split(","):
        FAULTS[fault]()
    runpy.run_module("anisefront", run_name="__main__")
