"""Incremental load of the settings file and of all files that it includes.

A gateway instance has one IncrementalLoader while it runs. Each load reads all files, since a time stamp does not
prove that a file is unchanged. Files with unchanged content are not lexed, parsed, expanded or checked again
(`file_record.py`); checks that span several files are repeated only if a change can affect them
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

MAX_ATTEMPTS = 3  # attempts of one load if files change while they are read


@dataclass(frozen=True, slots=True)
class LoadOutcome:
    """Result of one load. Notes are omitted; `config check --notes` shows them."""

    config: Config | None  # None if an error was found
    problems: tuple[Problem, ...]  # errors and warnings, by location
    texts: tuple[str, ...]  # the same problems as formatted text, errors first
    digest: str  # of the content of all files in effective order, and of the locations of their includes
    parts: tuple[tuple[Route, ...], ...] = ()  # config.routes by section, for gateway/versions.py

    @property
    def errors(self) -> tuple[str, ...]:
        """Return the texts of the errors; empty if the settings are valid."""
        count = sum(problem.severity is Severity.ERROR for problem in self.problems)
        return self.texts[:count]


class IncrementalLoader:
    """Loads one settings file repeatedly, at a cost in proportion to what changed.

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
            read: Reads a file by its path; by default from disk.
            find: Finds the files that match a glob; used only with `read`.
        """
        self.path = path
        self._open_files: Callable[[], Files] = DiskFiles if read is None else lambda: Files(read, find)
        self._store = RecordStore({} if environment is None else environment)
        self._running: Generator[None, None, LoadOutcome] | None = None
        self._index = CrossFileIndex()
        self._order: list[Section] = []  # the sections in the index
        self._index_is_inconsistent = False  # because an update was abandoned

    def steps(self) -> Generator[None, None, LoadOutcome]:
        """Load all files, in steps; the generator returns the outcome. A load that is still running is abandoned."""
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
        problem = Problem(Location(0, 1, 1), message, "reload when the file is no longer being written", code="include")
        text = messages.format_problem(LoadedSources([Source(self.path, "", Document([], []))]), problem)
        return LoadOutcome(None, (problem,), (text,), "")

    def _update_index(self, order: list[Section]) -> Generator[None, None, None]:
        """Update the checks that span files with the sections of this load."""
        if self._index_is_inconsistent:
            self._index = CrossFileIndex()
            self._order = []
        self._index_is_inconsistent = True
        removed, added = changed_groups(self._order, order)
        yield
        yield from self._index.update(removed, added)
        self._order = order
        self._index_is_inconsistent = False

    def _check(self, attempt: LoadAttempt) -> Generator[None, None, LoadOutcome]:
        routes = tuple(section.routes for section in attempt.order if section.routes)
        checks = IncrementalChecks(attempt, self._index)
        config = yield from checks.run(routes)
        self._store.retain(attempt.files, config is not None)
        problems, texts = yield from render_problems(attempt, checks.problems, checks.hidden_count)
        return LoadOutcome(config, problems, texts, attempt.digest, () if config is None else routes)
