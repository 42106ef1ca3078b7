"""Settings changes of a running gateway instance: a new version is applied or rejected as a whole."""

from __future__ import annotations

import traceback
from collections import Counter
from collections.abc import Callable, Generator
from dataclasses import dataclass
from typing import TYPE_CHECKING, Any

from anisefront.config.types import Config
from anisefront.daemon import immutable_settings
from anisefront.daemon.reload_scheduler import Phase, ReloadScheduler
from anisefront.daemon.settings_source import SettingsSource
from anisefront.gateway.versions import Version, build_next_version

if TYPE_CHECKING:
    from structlog.typing import FilteringBoundLogger
    from twisted.internet.interfaces import IReactorTime

MAX_LOGGED_NAMES = 5  # names of added, changed or removed settings in one log entry
MAX_LOGGED_FAULTS = 20
MAX_FAULT_CHARACTERS = 500
MAX_TRACE_CHARACTERS = 2000


@dataclass(frozen=True, slots=True)
class SettingsReport:
    """The current settings version and the outcomes of the reloads so far."""

    version: int
    digest: str
    age_ms: int
    fault: str
    is_reading: bool
    outcomes: dict[str, int]
    work_ms: float
    slices: int
    longest_slice_ms: float


class SettingsUpdates:
    """The current settings version of a gateway instance and its replacement on request.

    Settings from two places could belong to two versions within one request. Hence all code that decides on requests
    reads `version`, which changes by one assignment.
    """

    def __init__(
        self,
        reactor: IReactorTime,
        clock: Callable[[], float],
        log: FilteringBoundLogger,
        version: Version,
        source: SettingsSource | None,
        has_waiting_requests: Callable[[], bool],
        on_change: Callable[[Config], None],
    ) -> None:
        """Start with a version.

        Args:
            reactor: The event loop.
            clock: Returns Unix milliseconds.
            log: Logger of the outcomes.
            version: The settings at the start.
            source: Source of new versions; None if the settings never change.
            has_waiting_requests: Returns whether requests await a decision.
            on_change: Called with the previous settings after `version` was replaced, to apply the new ones.
        """
        self.version = version
        self.scheduler = ReloadScheduler(reactor, self._change, has_waiting_requests, log, self._on_raise)
        self._clock = clock
        self._log = log
        self._source = source
        self._on_change = on_change
        self._applied_ms = clock()
        self._outcomes: Counter[str] = Counter()
        self._fault = ""

    def request_reload(self) -> None:
        """Read the settings in slices and apply or reject them between two iterations of the event loop."""
        if self._source is not None:
            self.scheduler.request_reload()

    def stop(self) -> None:
        """Stop reloading: the current settings remain in use."""
        self.scheduler.stop()

    def report(self) -> SettingsReport:
        """Return the current version and the outcomes so far."""
        scheduler = self.scheduler
        return SettingsReport(
            version=self.version.number,
            digest=self.version.digest,
            age_ms=round(self._clock() - self._applied_ms),
            fault=self._fault,
            is_reading=scheduler.phase in (Phase.READING, Phase.RELOAD_PENDING),
            outcomes=dict(self._outcomes),
            work_ms=round(scheduler.work_ms, 1),
            slices=scheduler.slices.report()["late"],
            longest_slice_ms=round(scheduler.slices.worst_ms, 2),
        )

    def _change(self) -> Generator[None, None, None]:
        """Carry out one reload, from reading the files to applying or rejecting the settings."""
        outcome = yield from self._source.steps()
        config = self.version.config
        faults = list(outcome.errors) or immutable_settings.rejected_changes(config, outcome.config)
        if faults:
            self._reject(faults)
        elif outcome.digest == self.version.digest:
            self._record("same", "")
            self._log.info("settings_same", version=self.version.number, digest=self.version.digest)
        else:
            version = yield from build_next_version(self.version, outcome)
            self._apply(version, len(outcome.texts))

    def _reject(self, faults: list[Any]) -> None:
        self._record("refused", faults[0])
        self._log.error(
            "settings_not_taken",
            faults=faults[:MAX_LOGGED_FAULTS],
            more=max(0, len(faults) - MAX_LOGGED_FAULTS),
            version=self.version.number,
            digest=self.version.digest,
        )

    def _apply(self, version: Version, warnings: int) -> None:
        previous = self.version.config
        self.version = version
        self._on_change(previous)
        self._applied_ms = self._clock()
        self._record("taken", "")
        self._log.info(
            "settings",
            version=version.number,
            digest=version.digest,
            routes=len(version.config.routes),
            keys=len(version.config.keys),
            warnings=warnings,
            others=version.changes.others,
            **_logged_differences(version.changes),
        )

    def _on_raise(self, error: Exception) -> None:
        fault = f"unexpected error, please report it: {type(error).__name__}: {error}"
        self._record("raised", fault[:MAX_FAULT_CHARACTERS])
        # The variables in a traceback hold settings, including secrets, so only its source lines are logged.
        trace = "".join(traceback.format_exception(error))
        self._log.error("reload_raised", fault=self._fault, trace=trace[-MAX_TRACE_CHARACTERS:])

    def _record(self, outcome: str, fault: str) -> None:
        self._outcomes[outcome] += 1
        self._fault = fault


def _logged_differences(changes: Any) -> dict[str, list[str]]:
    """Return the first names of added, changed and removed settings, by kind."""
    fields = {}
    for kind in ("routes", "keys", "plans", "classes"):
        for how in ("added", "changed", "removed"):
            names = getattr(getattr(changes, kind), how)
            if names:
                fields[f"{kind}_{how}"] = _first_names(names)
    return fields


def _first_names(names: tuple[str, ...]) -> list[str]:
    """Return the first names, followed by the number of the others."""
    more = len(names) - MAX_LOGGED_NAMES
    if more <= 0:
        return list(names)
    return [*names[:MAX_LOGGED_NAMES], f"and {more} more"]
