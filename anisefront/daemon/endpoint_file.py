"""Endpoint list from a file, which is read whenever it has changed."""

from __future__ import annotations

import os
from collections.abc import Callable
from typing import TYPE_CHECKING, Any

from twisted.internet import task

from anisefront.cluster import endpoint_file
from anisefront.policy.events import EndpointList

if TYPE_CHECKING:
    from structlog.typing import FilteringBoundLogger
    from twisted.internet.interfaces import IReactorTime

CHECK_INTERVAL_S = 0.1
RESTART_DELAY_S = 1.0  # after an unexpected exception
MAX_TRACE_CHARACTERS = 2000  # of a traceback in the log


class EndpointFile:
    """Watches the endpoint file of a gateway instance."""

    def __init__(
        self, reactor: IReactorTime, path: str, on_list: Callable[[EndpointList], None], log: FilteringBoundLogger
    ) -> None:
        """Create an inactive watcher; `on_list` is called with each valid list."""
        self.fault = ""  # why the current file is not in use
        self._reactor = reactor
        self._path = path
        self._on_list = on_list
        self._log = log
        self._version: tuple[int, int, int] | None = None  # of the file that is in use
        self._loop = task.LoopingCall(self.check)
        self._loop.clock = reactor

    def start(self) -> None:
        """Read the file now and check it at an interval from then on."""
        self._loop.start(CHECK_INTERVAL_S, now=True).addErrback(self._restart)

    def _restart(self, failure: Any) -> None:
        """Restart after an unexpected exception: otherwise an outdated list would stay in use unnoticed."""
        self.fault = failure.getErrorMessage()
        self._log.error("roster_raised", fault=self.fault, trace=failure.getTraceback()[-MAX_TRACE_CHARACTERS:])
        self._reactor.callLater(RESTART_DELAY_S, self.start)

    def check(self) -> None:
        """Read the file if it has changed; an invalid one is ignored and logged."""
        try:
            found = os.stat(self._path)
            version = (found.st_mtime_ns, found.st_size, found.st_ino)
            if version == self._version:
                return
            with open(self._path, "rb") as file:
                text = file.read(endpoint_file.MAX_FILE_BYTES + 1)
            endpoints = endpoint_file.parse(text)
        except (OSError, endpoint_file.EndpointFileError) as error:
            self._reject(str(error))
            return
        self._version = version
        self.fault = ""
        self._log.info("roster", servers=len(endpoints.endpoints))
        self._on_list(endpoints)

    def _reject(self, fault: str) -> None:
        """Log a fault once instead of at each check."""
        if fault == self.fault:
            return
        self.fault = fault
        self._log.warning("roster_not_taken", file=self._path, fault=fault)
