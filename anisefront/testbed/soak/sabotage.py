"""An instance of the RESP platform with one guard taken out, to show that the soak's auditor sees it.

    python -m anisefront.testbed.soak.sabotage GUARD[,GUARD ...] node

It changes the running program only; nothing of the product knows of it.
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

LEAK_BYTES = 256 << 10
KEPT_DESCRIPTORS = 40  # below its limit, so that only the end shows it
LOST_ENDS = 5  # one in so many attempts
SLOW_START_S = 11.0
_kept: list[object] = []


def _connections_reset() -> None:
    """A drain that resets its connections instead of finishing them."""
    begin = RespGatewayInstance._begin_drain

    def begin_drain(self: RespGatewayInstance) -> None:
        begin(self)
        for clients in self.frontend.by_state.values():
            for client in list(clients):
                client.abort()

    RespGatewayInstance._begin_drain = begin_drain


def _drain_without_end() -> None:
    """A drain that does not end the process."""
    Drain.complete = lambda self: None


def _slow_start() -> None:
    """A start that takes longer than the stated time."""
    prepare = RespGatewayInstance.prepare

    def slow(self: RespGatewayInstance) -> None:
        time.sleep(SLOW_START_S)
        prepare(self)

    RespGatewayInstance.prepare = slow


def _descriptors_kept() -> None:
    """A descriptor is left behind by each of the first reads."""
    received = ClientConnection.dataReceived

    def data_received(self: ClientConnection, data: bytes) -> None:
        if len(_kept) < KEPT_DESCRIPTORS:
            _kept.append(os.dup(2))
        received(self, data)

    ClientConnection.dataReceived = data_received


def _memory_kept() -> None:
    """Some memory is left behind by each read."""
    received = ClientConnection.dataReceived

    def data_received(self: ClientConnection, data: bytes) -> None:
        _kept.append(bytearray(os.urandom(LEAK_BYTES)))
        received(self, data)

    ClientConnection.dataReceived = data_received


def _ends_uncounted() -> None:
    """The end of one in some attempts is not counted."""
    ended, count = ConcurrencyLimit.record_attempt_ended, [0]

    def record_attempt_ended(self: ConcurrencyLimit, *arguments: Any, **more: Any) -> Any:
        count[0] += 1
        if count[0] % LOST_ENDS:
            return ended(self, *arguments, **more)
        in_flight = self.in_flight
        result = ended(self, *arguments, **more)
        self.in_flight = in_flight
        return result

    ConcurrencyLimit.record_attempt_ended = record_attempt_ended


def _answers_doubled() -> None:
    """Each answer is written twice."""
    encode = resp_requests.resp_codec.encode_bulk
    resp_requests.resp_codec.encode_bulk = lambda value: encode(value) * (2 if value.startswith(b"value for") else 1)


def _repeats_anywhere() -> None:
    """Rule 2: a request that may have run goes to any endpoint again; its class is still checked with its verb."""
    RetryPolicy.constraint = lambda self, now_ms, request: UNCONSTRAINED


def _drains_ignored() -> None:
    """Rule 3: no endpoint is taken for one that drains or has left."""
    apply = EndpointDirectory.apply

    def blind(self: EndpointDirectory, change: Any) -> Any:
        entries = tuple(
            replace(entry, endpoint=replace(entry.endpoint, status=EndpointStatus.READY)) for entry in change.entries
        )
        return apply(self, replace(change, snapshot=False, entries=entries))

    EndpointDirectory.apply = blind


GUARDS: dict[str, Callable[[], None]] = {
    "one-answer": sabotage.GUARDS["one-answer"],
    "twice": _repeats_anywhere,
    "drains": _drains_ignored,
    "cold": sabotage.GUARDS["cold"],
    "ceilings": sabotage.GUARDS["ceilings"],
    "resets": _connections_reset,
    "own-answers": _answers_doubled,
    "exits": _drain_without_end,
    "ready": _slow_start,
    "descriptors": _descriptors_kept,
    "memory": _memory_kept,
    "attempts-out": _ends_uncounted,
}


if __name__ == "__main__":
    for guard in sys.argv.pop(1).split(","):
        GUARDS[guard]()
    runpy.run_module("anisefront", run_name="__main__")
