"""The process of one gateway instance: event loop, signals, ready line and exit code."""

from __future__ import annotations

import json
import os
import signal
import sys
import time
from collections.abc import Callable
from enum import IntEnum
from typing import TYPE_CHECKING, Any, Protocol

import structlog

from anisefront.daemon import logs, signals
from anisefront.daemon.lifecycle import Command, Lifecycle, Phase, Step
from anisefront.policy.events import EndpointList

if TYPE_CHECKING:  # the RESP gateway must not load these
    from twisted.internet.defer import Deferred

    from anisefront.config.incremental_loader import LoadOutcome
    from anisefront.daemon.collector import Collector
    from anisefront.daemon.settings_source import SettingsSource
    from anisefront.gateway.request_table import RequestTable

LISTEN_DELAY_S = 0.002  # between the start-up work and listening, so that the event loop polls its sockets once
FAULT_WRITE_S = 0.2  # for writing the responses after a fault of the controller
HANDLED_SIGNALS = (signal.SIGHUP, signal.SIGTERM, signal.SIGINT)


class ExitCode(IntEnum):
    """Exit codes of the process."""

    DRAINED = 0
    STOPPED = 1
    CONTROLLER_FAULT = 3


EXIT_REASONS = {
    ExitCode.DRAINED: "drained",
    ExitCode.STOPPED: "could not start or stopped at once",
    ExitCode.CONTROLLER_FAULT: "module fault",
}


class Instance(Protocol):
    """The interface of a gateway instance to its process."""

    request_table: RequestTable
    collector: Collector

    def start(self) -> dict[str, Any]:
        """Listen, and return the addresses by frontend."""

    def drain(self) -> Deferred[None]:
        """Reject new requests, finish those in flight, and fire when that is done."""

    def end_drain(self) -> None:
        """End the drain now."""


def serve(
    source: SettingsSource,
    read: list[LoadOutcome],
    log_level: str,
    workers: Callable[[Any], EndpointList] | None = None,
) -> int:
    """Run a gateway instance of the settings language.

    Args:
        source: Where the settings are read.
        read: The valid outcome of the first read. It is removed from the list: a reference in a caller's frame would
            keep it in memory for the lifetime of the process, even after the settings have changed.
        log_level: Minimum level of logged entries.
        workers: Starts embedded endpoints on the event loop and returns their list.

    Returns:
        The exit code.
    """
    from anisefront.daemon.gateway_instance import GatewayInstance
    from anisefront.gateway.steps import run_to_end
    from anisefront.gateway.versions import build_next_version

    first = [run_to_end(build_next_version(None, read.pop()))]

    def prepare(instance: Any) -> None:
        if workers is not None:
            instance.request_table.update_endpoints(workers(instance.reactor))

    return run(
        lambda reactor, on_fault: GatewayInstance(first.pop(), reactor, on_fault=on_fault, source=source),
        log_level,
        str(first[0].config.settings.number),
        prepare,
        lambda instance: instance.reload(),
    )


def run(
    create_instance: Callable[[Any, Callable[[Exception], None]], Instance],
    log_level: str,
    name: str,
    prepare: Callable[[Any], None] = lambda instance: None,
    reload: Callable[[Any], object] | None = None,
) -> int:
    """Run a gateway instance until it ends.

    Args:
        create_instance: Creates it from the event loop and a callback for faults of its controller.
        log_level: Minimum level of logged entries.
        name: Name of the gateway instance in the log.
        prepare: Does the start-up work that needs no socket.
        reload: Called at each SIGHUP; an exception is logged and does not end the process.

    Returns:
        The exit code.
    """
    logs.set_up(log_level)
    logs.follow_twisted()
    from twisted.internet import reactor

    return InstanceProcess(reactor, name, prepare, reload).run(create_instance)


class InstanceProcess:
    """Executes the commands of the lifecycle for one gateway instance."""

    def __init__(
        self, reactor: Any, name: str, prepare: Callable[[Any], None], reload: Callable[[Any], object] | None
    ) -> None:
        """Begin in the starting phase; see `run` for the arguments."""
        self._reactor = reactor
        self._prepare_instance = prepare
        self._reload_instance = reload
        self._log = structlog.get_logger().bind(gatekeeper=name)
        self._lifecycle = Lifecycle()
        self._pending_signals: list[int] = []
        self._exit_code = ExitCode.DRAINED
        self._instance: Any = None

    def run(self, create_instance: Callable[[Any, Callable[[Exception], None]], Instance]) -> int:
        """Create the gateway instance, run it until it ends and return the exit code."""
        # A signal must not end the process before the first iteration of the event loop either.
        for number in HANDLED_SIGNALS:
            signal.signal(number, self._on_signal)
        # Taken after the handlers are set: a signal between the two steps would be recorded and never handled.
        self._pending_signals += signals.take_pending()
        self._instance = create_instance(self._reactor, self._on_controller_fault)
        self._reactor.callWhenRunning(self._handle_signals)
        self._reactor.callWhenRunning(self._start_step, self._prepare)
        started_s = time.monotonic()
        self._reactor.run(installSignalHandlers=False)
        self._log.info(
            "exit",
            code=int(self._exit_code),
            up_s=round(time.monotonic() - started_s, 1),
            why=EXIT_REASONS[self._exit_code],
        )
        sys.stderr.flush()
        return int(self._exit_code)

    # ---- signals -------------------------------------------------------------------------------

    def _on_signal(self, number: int, frame: Any) -> None:
        self._pending_signals.append(number)
        self._reactor.callFromThread(self._handle_signals)

    def _handle_signals(self) -> None:
        """Handle the signals that have arrived; equal ones in one iteration count as one.

        A signal may be sent to a process and to its process group. If both counted, the second would cut short the
        drain that the first began.
        """
        arrived = set()
        while self._pending_signals:
            arrived.add(self._pending_signals.pop())
        if signal.SIGHUP in arrived:
            self._advance(Step.RELOAD_REQUESTED)
        if arrived - {signal.SIGHUP}:
            self._log.info("signal", signals=sorted(signal.Signals(number).name for number in arrived))
            self._advance(Step.TERMINATE)

    # ---- lifecycle -----------------------------------------------------------------------------

    def _advance(self, step: Step) -> None:
        """Enter the next phase and execute its command."""
        command = self._lifecycle.advance(step)
        if command in (Command.LISTEN, Command.LISTEN_AND_RELOAD):
            self._listen()
        if command in (Command.RELOAD, Command.LISTEN_AND_RELOAD):
            self._reload()
        elif command is Command.DRAIN:
            self._instance.drain().addBoth(lambda _: self._advance(Step.DRAINED))
        elif command is Command.END_DRAIN:
            self._log.warning("stopped_at_once", open=self._instance.request_table.open_requests)
            self._exit_code = ExitCode.STOPPED
            self._instance.end_drain()
        elif command is Command.STOP and self._reactor.running:
            self._reactor.stop()

    def _start_step(self, call: Callable[[], None]) -> None:
        """Execute one step of the start; any exception ends the process.

        A process that is only partly started would serve no client, yet appear to be alive.
        """
        if self._lifecycle.phase is Phase.ENDED:
            return
        try:
            call()
        except Exception as error:
            trace = None if isinstance(error, OSError) else error
            self._log.error("not_started", fault=str(error), exc_info=trace)
            self._exit_code = ExitCode.STOPPED
            self._advance(Step.FAULT)

    def _prepare(self) -> None:
        """Do the start-up work, then listen after the event loop has polled its sockets.

        A connection that arrived during that work would be read late, while the deadlines of its requests count from
        when they were sent.
        """
        self._prepare_instance(self._instance)
        self._instance.collector.start()
        self._reactor.callLater(LISTEN_DELAY_S, self._start_step, lambda: self._advance(Step.READY))

    def _listen(self) -> None:
        """Open the listeners and print the ready line; the first endpoint list has been applied before."""
        addresses = self._instance.start()
        print(json.dumps({"ready": True, **addresses, "pid": os.getpid()}), flush=True)

    def _reload(self) -> None:
        """Reload the settings; unexpected file contents must not end a running gateway instance."""
        if self._reload_instance is None:
            return
        try:
            self._reload_instance(self._instance)
        except Exception as error:
            self._log.error("reload_raised", exc_info=error)

    def _on_controller_fault(self, error: Exception) -> None:
        """End the process after the failure answers have been written."""
        failed = self._instance.request_table.counts["failed"]
        self._log.critical("module_fault", exc_info=error, open_failed=failed)
        self._exit_code = ExitCode.CONTROLLER_FAULT
        self._reactor.callLater(FAULT_WRITE_S, self._advance, Step.FAULT)
