"""Factory of a gateway instance's request table with its controller and callbacks."""

from __future__ import annotations

from collections.abc import Callable
from typing import TYPE_CHECKING

from anisefront.daemon.clock import cpu_time_ms
from anisefront.daemon.peer_port import PeerPort
from anisefront.gateway.request_table import RequestTable
from anisefront.policy.controller import Controller
from anisefront.policy.settings import Settings

if TYPE_CHECKING:
    from structlog.typing import FilteringBoundLogger
    from twisted.internet.interfaces import IReactorTime


def create_request_table(
    reactor: IReactorTime,
    clock: Callable[[], float],
    log: FilteringBoundLogger,
    settings: Settings,
    seed: int,
    peer_port: PeerPort | None,
    max_open: int,
    on_fault: Callable[[Exception], None] | None,
) -> RequestTable:
    """Create the request table.

    Args:
        reactor: The event loop.
        clock: Returns Unix milliseconds that never decrease.
        log: Where exceptions of single actions are logged.
        settings: The controller's settings.
        seed: Seed of the controller's random generator.
        peer_port: Sends messages to peers; without one they are dropped.
        max_open: Maximum number of open requests.
        on_fault: Called if the controller itself raises.
    """
    return RequestTable(
        Controller(settings, seed),
        clock,
        reactor,
        peer_port.send if peer_port is not None else _drop_message,
        max_open_requests=max_open,
        on_controller_error=on_fault,
        on_action_error=lambda error: log.error("action_raised", exc_info=error),
        cpu_time_ms=cpu_time_ms,
    )


def _drop_message(receiver: int, data: bytes) -> None:
    """Drop a message: this gateway instance has no peers."""
