"""Creation of the request table of a gateway instance with its controller and callbacks."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

from anisefront.daemon.peer_port import PeerPort
from anisefront.gateway.ledger import Ledger
from anisefront.policy.controller import Controller
from anisefront.policy.settings import Settings


def create_request_table(
    reactor: Any,
    clock: Callable[[], float],
    log: Any,
    settings: Settings,
    seed: int,
    peer_port: PeerPort | None,
    max_open: int,
    on_fault: Callable[[Exception], None] | None,
) -> Ledger:
    """Create the request table.

    Args:
        reactor: The event loop.
        clock: Returns Unix milliseconds that never decrease.
        log: Where exceptions of single actions are logged.
        settings: The controller's settings.
        seed: Of the controller's random draws.
        peer_port: Sends messages to peers; without one they are dropped.
        max_open: Requests that may be open at a time.
        on_fault: Called if the controller itself raises.
    """
    return Ledger(
        Controller(settings, seed),
        clock,
        reactor,
        peer_port.send if peer_port is not None else _drop_message,
        most_open=max_open,
        on_fault=on_fault,
        on_raise=lambda problem: log.error("action_raised", exc_info=problem),
    )


def _drop_message(receiver: int, data: bytes) -> None:
    """Drop a message: this gateway instance has no peers."""
