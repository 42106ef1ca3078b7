"""The process around one gatekeeper: its reactor, its signals, its first line, its exit."""

from __future__ import annotations

import json
import os
import signal
import sys
import time
from collections.abc import Callable
from typing import TYPE_CHECKING, Any

import structlog

from anisefront.daemon import logs, signals
from anisefront.daemon.lifecycle import Do, Lifecycle, Phase, Step
from anisefront.policy.events import EndpointList

if TYPE_CHECKING:  # a gatekeeper of another front must not pay for these
    from anisefront.config.reading import Outcome
    from anisefront.daemon.source import Source


SETTLE_S = 0.002  # one wait of the loop between the work of starting and listening


def serve(
    source: Source, read: list[Outcome], log_level: str, workers: Callable[[Any], EndpointList] | None = None
) -> int:
    """Run the gatekeeper of the settings language; the exit code. `read` has what `source` came to at the start, with
    no error, and is emptied: what a caller names would be held for life, however often the settings change.
    `workers` starts an embedded fleet on the reactor."""
    from anisefront.daemon.gatekeeper import Gatekeeper
    from anisefront.gateway.steps import run_to_end
    from anisefront.gateway.versions import build_next_version

    first = [run_to_end(build_next_version(None, read.pop()))]

    def before(gatekeeper: Any) -> None:
        if workers is not None:
            gatekeeper.request_table.update_endpoints(workers(gatekeeper.reactor))

    return run(
        lambda reactor, on_fault: Gatekeeper(first.pop(), reactor, on_fault=on_fault, source=source),
        log_level,
        str(first[0].config.settings.number),
        before,
        lambda gatekeeper: gatekeeper.reload(),
    )


def run(
    make: Callable[[Any, Callable[[Exception], None]], Any],
    log_level: str,
    name: str,
    before: Callable[[Any], None] = lambda gatekeeper: None,
    hang_up: Callable[[Any], object] | None = None,
) -> int:
    """Run a gatekeeper until it is stopped; the exit code.

    `make(reactor, on_fault)` makes it: it has `start`, `drain`, `hurry`, `ledger` and `collector`. `before` is called
    with it and does what its start costs and needs no port, `hang_up` at each SIGHUP; what that raises is logged and
    ends nothing."""
    logs.set_up(log_level)
    logs.follow_twisted()
    from twisted.internet import reactor

    log = structlog.get_logger().bind(gatekeeper=name)
    code = [0]
    life = Lifecycle()
    waiting: list[int] = []

    def on_signal(number: int, frame: Any) -> None:
        waiting.append(number)
        reactor.callFromThread(look)

    def look() -> None:
        """Take the signals that have come. Danger: two alike in one turn, as from a process and its group, are one;
        taken for two, the second would cut short what the first began."""
        came = set()
        while waiting:
            came.add(waiting.pop())
        if signal.SIGHUP in came:
            take(Step.HANG_UP)
        if came - {signal.SIGHUP}:
            log.info("signal", signals=sorted(signal.Signals(number).name for number in came))
            take(Step.TERMINATE)

    def take(step: Step) -> None:
        do = life.take(step)
        if do in (Do.LISTEN, Do.LISTEN_AND_RELOAD):
            where = gatekeeper.start()
            # Every front takes its port only once the first fleet list has been handed in.
            print(json.dumps({"ready": True, **where, "pid": os.getpid()}), flush=True)
        if do in (Do.RELOAD, Do.LISTEN_AND_RELOAD):
            take_again()
        elif do is Do.DRAIN:
            gatekeeper.drain().addBoth(lambda _: take(Step.DRAINED))
        elif do is Do.HURRY:
            log.warning("stopped_at_once", open=gatekeeper.request_table.open_requests)
            code[0] = 1
            gatekeeper.hurry()
        elif do is Do.STOP and reactor.running:
            reactor.stop()

    def module_fault(problem: Exception) -> None:
        log.critical("module_fault", exc_info=problem, open_failed=gatekeeper.request_table.counts["failed"])
        code[0] = 3
        reactor.callLater(0.2, take, Step.FAULT)  # the failures are being written

    # Danger: from here on until the first turn of the loop, too, either signal must end nothing; so they are set where
    # all that they call is there.
    for number in (signal.SIGHUP, signal.SIGTERM, signal.SIGINT):
        signal.signal(number, on_signal)
    waiting += signals.held()  # after that, or one that comes between the two lines would be kept for nobody

    gatekeeper = make(reactor, module_fault)

    def step(call: Callable[[], None]) -> None:
        """One step of starting; a port that can't be had ends it, as does anything nobody foresaw: left half started
        it would serve nobody and be taken for alive."""
        if life.phase is Phase.ENDED:
            return
        try:
            call()
        except Exception as problem:
            log.error("not_started", fault=str(problem), exc_info=None if isinstance(problem, OSError) else problem)
            code[0] = 1
            take(Step.FAULT)

    def prepare() -> None:
        before(gatekeeper)
        gatekeeper.collector.start()
        # Danger: who connects while we still set things up is read late, and its time counts from when it was sent.
        # So we listen only once the loop has waited: all that starting cost is behind us then.
        reactor.callLater(SETTLE_S, step, lambda: take(Step.READY))

    def take_again() -> None:
        try:
            if hang_up is not None:
                hang_up(gatekeeper)
        except Exception as problem:  # Danger: a file that nobody foresaw must not end a gatekeeper in service
            log.error("reload_raised", exc_info=problem)

    reactor.callWhenRunning(look)
    reactor.callWhenRunning(step, prepare)
    started = time.monotonic()
    reactor.run(installSignalHandlers=False)
    log.info(
        "exit",
        code=code[0],
        up_s=round(time.monotonic() - started, 1),
        why={0: "drained", 1: "could not start or stopped at once", 3: "module fault"}[code[0]],
    )
    sys.stderr.flush()
    return code[0]
