"""Loads a settings file and all files that it includes.

A file is identified by its real path, so that include loops through links and globs are detected, too. A file that
cannot be read is a problem at its include; no exception is raised.
"""

from __future__ import annotations

import glob
import os
from collections.abc import Callable, Generator
from dataclasses import dataclass, field
from typing import Any

from anisefront.config import source_files
from anisefront.config.lexer import Lexeme, Location, Problem, Severity, decode, problem_at
from anisefront.config.parser import Directive, Document, parse
from anisefront.config.source_files import Files, Find, Read, read_file
from anisefront.gateway.steps import run_to_end

MAX_FILES = 1000
MAX_INCLUDE_DEPTH = 16


@dataclass(slots=True)
class Source:
    """One file of a load."""

    path: str
    text: str
    document: Document
    included_at: Location | None = None  # location of its include


@dataclass(slots=True)
class LoadedSources:
    """All files of a load, their directives in effective order, and the problems so far."""

    sources: list[Source] = field(default_factory=list)
    directives: list[Directive] = field(default_factory=list)
    problems: list[Problem] = field(default_factory=list)

    def line(self, location: Location) -> str:
        """Return the text of a line."""
        lines = self.sources[location.file].text.split("\n") if location.file < len(self.sources) else []
        return lines[location.line - 1].removesuffix("\r") if 0 < location.line <= len(lines) else ""

    def include_chain(self, location: Location) -> list[Location]:
        """Return the includes that lead to a location, the innermost first."""
        chain: list[Location] = []
        include = self.sources[location.file].included_at if location.file < len(self.sources) else None
        while include is not None:
            chain.append(include)
            include = self.sources[include.file].included_at
        return chain

    def format_location(self, location: Location) -> str:
        """Return file:line:column."""
        path = self.sources[location.file].path if location.file < len(self.sources) else "?"
        return f"{path}:{location.line}:{location.column}"


def load(path: str, read: Read = read_file, find: Find | None = None) -> LoadedSources:
    """Load a file. `read` and `find` (a glob) can be replaced for texts that are not in files."""
    loaded = LoadedSources()

    def process_file(
        path: str, real_path: str, data: bytes, include: Lexeme | None
    ) -> Generator[None, None, list[Directive]]:
        yield
        number = len(loaded.sources)
        text, decoding_problems = decode(data, number)
        document, syntax_problems = parse(text, number)
        loaded.sources.append(Source(path, text, document, None if include is None else include.location))
        loaded.problems += decoding_problems + syntax_problems
        return document.directives

    walk = IncludeWalk(Files(read, find), process_file, loaded.format_location, loaded.problems)
    run_to_end(walk.walk_file(path, None, ()))
    loaded.directives = walk.items
    if not loaded.sources:
        loaded.sources.append(Source("settings", "", Document([], [])))
    return loaded


def load_text(text: str, path: str = "settings") -> LoadedSources:
    """Load a text as if it were the file at `path`; its includes are read from disk."""
    data = text.encode()
    return load(path, lambda asked_path: data if asked_path == path else read_file(asked_path))


class IncludeWalk:
    """Walks through a file and all files that it includes.

    Attributes:
        items: The items of all files, except the includes, in effective order.
    """

    def __init__(
        self,
        files: Files,
        process_file: Callable[..., Generator[None, None, list[Any]]],
        format_location: Callable[[Location], str],
        problems: list[Problem],
    ) -> None:
        """Create a walk.

        Args:
            files: Access to the files.
            process_file: Called as `process_file(path, real_path, data, include)` for each file; returns its items, in
                steps.
            format_location: Formats a location for a message.
            problems: Receives the problems of includes.
        """
        self._files = files
        self._process_file = process_file
        self._format_location = format_location
        self._problems = problems
        self.items: list[Any] = []
        self._bytes = 0
        self._seen: dict[str, Location | None] = {}

    def walk_file(self, path: str, include: Lexeme | None, enclosing: tuple[str, ...]) -> Generator[None, None, None]:
        """Add a file and all files that it includes.

        Args:
            path: The file.
            include: The pattern of the include that led here; None for the main file.
            enclosing: Real paths of the files through which it is included.
        """
        real_path = self._files.real_path(path)
        if real_path in enclosing:
            loop = " -> ".join(
                os.path.basename(file_path) for file_path in (*enclosing[enclosing.index(real_path) :], real_path)
            )
            self._report(include, f"an include loop: {loop}", "remove one of these includes")
            return
        if real_path in self._seen:
            first = self._seen[real_path]
            where = "" if first is None else f", first by {self._format_location(first)}"
            self._report(include, f"{path!r} is included twice{where}", "include it once")
            return
        if len(self._seen) >= MAX_FILES or len(enclosing) >= MAX_INCLUDE_DEPTH:
            self._report(include, f"more than {MAX_FILES} files, or includes nested more than {MAX_INCLUDE_DEPTH} deep")
            return
        try:
            data = yield from self._files.read(path)
        except OSError as error:
            self._report(
                include,
                f"{path!r} can't be read: {error.strerror or error}",
                "" if include is None else "mend the path, or the file's rights",
            )
            return
        self._bytes += len(data)
        if self._bytes > source_files.MAX_TOTAL_BYTES:
            self._report(include, f"more than {source_files.MAX_TOTAL_BYTES >> 20} MiB of settings")
            return
        self._seen[real_path] = None if include is None else include.location
        for item in (yield from self._process_file(path, real_path, data, include)):
            if isinstance(item, Directive) and item.name.text == "include":
                yield from self._walk_include(item, path, (*enclosing, real_path))
            else:
                self.items.append(item)

    def _walk_include(self, directive: Directive, path: str, enclosing: tuple[str, ...]) -> Generator[None, None, None]:
        lexemes = [value for value in directive.values if isinstance(value, Lexeme)]
        if len(directive.values) != 1 or not lexemes or directive.block is not None or not lexemes[0].text:
            self._problems.append(
                problem_at(
                    directive.name,
                    "include: one path or pattern is due",
                    'such as include "routes/*.conf"',
                    code="include",
                )
            )
            return
        pattern = os.path.join(os.path.dirname(path), lexemes[0].text)
        yield
        try:
            found = self._files.find(pattern)
        except OSError as error:
            self._report(
                lexemes[0],
                f"folder {str(error.filename or pattern)!r} can't be read: {error.strerror or error}",
                "mend the folder's rights",
            )
            return
        if not found and glob.has_magic(pattern):
            self._problems.append(
                problem_at(lexemes[0], f"no file matches {lexemes[0].text!r}", "", Severity.WARNING, "include")
            )
            return
        for number, found_path in enumerate(found or [pattern]):
            if number % source_files.FILES_PER_STEP == 0:
                yield
            if not self._files.is_directory(found_path):
                yield from self.walk_file(found_path, lexemes[0], enclosing)

    def _report(self, include: Lexeme | None, message: str, suggestion: str = "") -> None:
        """Report a problem at an include; at the beginning of the main file without one."""
        self._problems.append(
            Problem(Location(0, 1, 1), message, suggestion, code="include")
            if include is None
            else problem_at(include, message, suggestion, code="include")
        )
