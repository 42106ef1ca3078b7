"""Incremental load of the settings file and of all files that it includes.

A gateway instance has one IncrementalLoader while it runs. Each load reads all files, since a time stamp does not
prove that a file is unchanged. Files with the same bytes as before are not lexed, parsed, expanded or checked again
(`file_record.py`); checks that span several files are repeated only where a change can affect them
(`cross_file_checks.py`). The result equals `checker.check(loader.load(path), environment, notes=False)`. A load runs
in short steps between other work and applies nothing.
"""

from __future__ import annotations

from collections.abc import Callable, Generator, Mapping
from dataclasses import dataclass

from anisefront.config import messages
from anisefront.config.cross_file_checks import CrossFileIndex
from anisefront.config.file_record import Section
from anisefront.config.incremental_checks import IncrementalChecks
from anisefront.config.lexer import Location, Problem, Severity
from anisefront.config.load_attempt import FileChangedError, LoadAttempt, RecordStore
from anisefront.config.loader import LoadedSources, Source
from anisefront.config.parser import Document
from anisefront.config.problem_texts import render_problems
from anisefront.config.source_files import DiskFiles, Files, Find, Read
from anisefront.config.types import Config
from anisefront.gateway.route_groups import changed_groups
from anisefront.gateway.routes import Route

MAX_ATTEMPTS = 3  # of one load, while files change under it


@dataclass(frozen=True, slots=True)
class LoadOutcome:
    """Result of one load. Notes are left out: they are for a person, by `config check --notes`."""

    config: Config | None  # None where an error was found
    problems: tuple[Problem, ...]  # errors and warnings, in the order of their places
    texts: tuple[str, ...]  # the same as a person reads them, errors first
    digest: str  # of the bytes of all files in the order in which they count, and of where each was included
    parts: tuple[tuple[Route, ...], ...] = ()  # config.routes in pieces, for gateway/versions.py

    @property
    def errors(self) -> tuple[str, ...]:
        """Return the texts of the errors; empty where the settings are valid."""
        count = sum(problem.severity is Severity.ERROR for problem in self.problems)
        return self.texts[:count]


class IncrementalLoader:
    """Loads one settings file again and again, at the cost of what changed.

    Attributes:
        path: The settings file.
    """

    def __init__(
        self,
        path: str,
        environment: Mapping[str, str] | None = None,
        read: Read | None = None,
        find: Find | None = None,
    ) -> None:
        """Create a loader that has loaded nothing yet.

        Args:
            path: The settings file.
            environment: The variables that `env` lines may name.
            read: Reads a file by its path, for texts that are in no file; by default from disk.
            find: Finds the files of a glob, with `read`.
        """
        self.path = path
        self._open_files: Callable[[], Files] = DiskFiles if read is None else lambda: Files(read, find)
        self._store = RecordStore({} if environment is None else environment)
        self._running: Generator[None, None, LoadOutcome] | None = None
        self._index = CrossFileIndex()
        self._order: list[Section] = []  # of the sections in the index
        self._half_done = False  # an update of the index was abandoned

    def steps(self) -> Generator[None, None, LoadOutcome]:
        """Load all files, in steps; the generator returns the outcome. A load that still runs is abandoned."""
        if self._running is not None:
            self._running.close()
        self._running = self._steps()
        return self._running

    def _steps(self) -> Generator[None, None, LoadOutcome]:
        changed_path = ""
        for _ in range(MAX_ATTEMPTS):
            attempt = LoadAttempt(self._store, self._open_files())
            try:
                yield from attempt.read(self.path)
                changed_path = yield from attempt.find_changed()
                if not changed_path:
                    yield from attempt.replace_stale_records()
                    yield from self._update_index(attempt.order)
                    return (yield from self._check(attempt))
            except FileChangedError as error:
                changed_path = error.path
        return self._unstable(changed_path)

    def _unstable(self, path: str) -> LoadOutcome:
        message = f"{path!r} changed while it was read, {MAX_ATTEMPTS} times"
        problem = Problem(Location(0, 1, 1), message, "let writing come to its end, then ask again", code="include")
        text = messages.format_problem(LoadedSources([Source(self.path, "", Document([], []))]), problem)
        return LoadOutcome(None, (problem,), (text,), "")

    def _update_index(self, order: list[Section]) -> Generator[None, None, None]:
        """Update the checks that span files to the sections of this load."""
        if self._half_done:
            self._index = CrossFileIndex()
            self._order = []
        self._half_done = True
        removed, added = changed_groups(self._order, order)
        yield
        yield from self._index.update(removed, added)
        self._order = order
        self._half_done = False

    def _check(self, attempt: LoadAttempt) -> Generator[None, None, LoadOutcome]:
        routes = tuple(section.routes for section in attempt.order if section.routes)
        checks = IncrementalChecks(attempt, self._index)
        config = yield from checks.run(routes)
        self._store.retain(attempt.files, config is not None)
        problems, texts = yield from render_problems(attempt, checks.problems, checks.uncounted)
        return LoadOutcome(config, problems, texts, attempt.digest, () if config is None else routes)
