"""The process around one gatekeeper: its reactor, its signals, its first line, its exit."""

from __future__ import annotations

import json
import os
import signal
import sys
import time
from collections.abc import Callable
from typing import Any

import structlog

from anisefront.config.checker import Checked
from anisefront.config.types import Config
from anisefront.daemon import logs
from anisefront.policy.interface import Fleet


def serve(config: Config, log_level: str, workers: Callable[[Any], Fleet] | None = None,
          again: Callable[[], Checked] | None = None) -> int:
    """Run until it is stopped; the exit code. `workers` starts an embedded fleet on the reactor, `again` reads and
    checks the settings anew when SIGHUP asks for it."""
    logs.set_up(log_level)
    logs.follow_twisted()
    from twisted.internet import reactor

    from anisefront.daemon.gatekeeper import Gatekeeper
    log = structlog.get_logger().bind(gatekeeper=config.settings.number)
    code = [0]

    def module_fault(problem: Exception) -> None:
        log.critical("module_fault", exc_info=problem, open_failed=gatekeeper.ledger.counts["failed"])
        code[0] = 3
        reactor.callLater(0.2, end)  # the failures are being written

    gatekeeper = Gatekeeper(config, reactor, on_fault=module_fault)

    def begin() -> None:
        try:
            if workers is not None:
                gatekeeper.ledger.roster(workers(reactor))
            where = gatekeeper.start()
            gatekeeper.collector.start()
        except OSError as problem:
            log.error("not_started", fault=str(problem))
            code[0] = 1
            reactor.stop()
            return
        # Every front takes its port only once the first fleet list has been handed in.
        print(json.dumps({"ready": True, **where, "pid": os.getpid()}), flush=True)

    signals = [0]

    def on_signal(number: int, frame: Any) -> None:
        signals[0] += 1
        reactor.callFromThread(stop, signal.Signals(number).name)

    def stop(name: str) -> None:
        if signals[0] > 1:
            log.warning("stopped_at_once", signal=name, open=gatekeeper.ledger.open)
            code[0] = 1
            end()
        else:
            log.info("signal", signal=name)
            gatekeeper.drain().addBoth(lambda _: end())

    def end() -> None:
        if reactor.running:
            reactor.stop()

    def on_hangup(number: int, frame: Any) -> None:
        if again is not None:
            reactor.callFromThread(lambda: gatekeeper.reload(again()))

    reactor.callWhenRunning(begin)
    signal.signal(signal.SIGHUP, on_hangup)
    for number in (signal.SIGTERM, signal.SIGINT):
        signal.signal(number, on_signal)
    started = time.monotonic()
    reactor.run(installSignalHandlers=False)
    log.info("exit", code=code[0], up_s=round(time.monotonic() - started, 1),
             why={0: "drained", 1: "stopped at once" if signals[0] else "could not start", 3: "module fault"}[code[0]])
    sys.stderr.flush()
    return code[0]
