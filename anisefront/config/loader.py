"""Loads a settings file and all that it includes.

A file is identified by its real path, so that a loop is detected through links and globs too. Every failure to read is
a problem at the include that asked for the file; nothing is raised.
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
    included_at: Location | None = None  # the include that took it in


@dataclass(slots=True)
class LoadedSources:
    """All files of a load, the directives in the order in which they count, and what was wrong so far."""

    sources: list[Source] = field(default_factory=list)
    directives: list[Directive] = field(default_factory=list)
    problems: list[Problem] = field(default_factory=list)

    def line(self, location: Location) -> str:
        """Return the text of a line."""
        lines = self.sources[location.file].text.split("\n") if location.file < len(self.sources) else []
        return lines[location.line - 1].removesuffix("\r") if 0 < location.line <= len(lines) else ""

    def include_chain(self, location: Location) -> list[Location]:
        """Return the includes through which a place was reached, the nearest first."""
        out: list[Location] = []
        asked = self.sources[location.file].included_at if location.file < len(self.sources) else None
        while asked is not None:
            out.append(asked)
            asked = self.sources[asked.file].included_at
        return out

    def format_location(self, location: Location) -> str:
        """Return file:line:column."""
        path = self.sources[location.file].path if location.file < len(self.sources) else "?"
        return f"{path}:{location.line}:{location.column}"


def load(path: str, read: Read = read_file, find: Find | None = None) -> LoadedSources:
    """Load a file. `read` and `find` (a glob) may be others, for texts that are in no file."""
    out = LoadedSources()

    def take(path: str, real: str, data: bytes, asked: Lexeme | None) -> Generator[None, None, list[Directive]]:
        yield
        number = len(out.sources)
        text, problems = decode(data, number)
        document, more = parse(text, number)
        out.sources.append(Source(path, text, document, None if asked is None else asked.location))
        out.problems += problems + more
        return document.directives

    walk = IncludeWalk(Files(read, find), take, out.format_location, out.problems)
    run_to_end(walk.file(path, None, ()))
    out.directives = walk.out
    if not out.sources:
        out.sources.append(Source("settings", "", Document([], [])))
    return out


def load_text(text: str, path: str = "settings") -> LoadedSources:
    """Load a text that includes nothing but files."""
    own = text.encode()
    return load(path, lambda asked: own if asked == path else read_file(asked))


class IncludeWalk:
    """Walks through a file and all that it includes.

    Attributes:
        out: The items of all files, except the includes, in the order in which they count.
    """

    def __init__(
        self,
        files: Files,
        take: Callable[..., Generator[None, None, list[Any]]],
        where: Callable[[Location], str],
        problems: list[Problem],
    ) -> None:
        """Create a walk.

        Args:
            files: What is read.
            take: Called as `take(path, real, data, asked)` for each file; returns its items, in steps.
            where: Describes a place for a message.
            problems: Receives what is wrong with includes.
        """
        self._files = files
        self._take = take
        self._where = where
        self._problems = problems
        self.out: list[Any] = []
        self._bytes = 0
        self._seen: dict[str, Location | None] = {}

    def file(self, path: str, asked: Lexeme | None, above: tuple[str, ...]) -> Generator[None, None, None]:
        """Add a file and all that it includes; `asked` is the include, `above` the files around it."""
        real = self._files.real(path)
        if real in above:
            loop = " -> ".join(os.path.basename(each) for each in (*above[above.index(real) :], real))
            self._report(asked, f"an include loop: {loop}", "remove one of these includes")
            return
        if real in self._seen:
            first = self._seen[real]
            where = "" if first is None else f", first by {self._where(first)}"
            self._report(asked, f"{path!r} is included twice{where}", "include it once")
            return
        if len(self._seen) >= MAX_FILES or len(above) >= MAX_INCLUDE_DEPTH:
            self._report(asked, f"more than {MAX_FILES} files, or includes nested more than {MAX_INCLUDE_DEPTH} deep")
            return
        try:
            data = yield from self._files.read(path)
        except OSError as problem:
            self._report(
                asked,
                f"{path!r} can't be read: {problem.strerror or problem}",
                "" if asked is None else "mend the path, or the file's rights",
            )
            return
        self._bytes += len(data)
        if self._bytes > source_files.MAX_TOTAL_BYTES:
            self._report(asked, f"more than {source_files.MAX_TOTAL_BYTES >> 20} MiB of settings")
            return
        self._seen[real] = None if asked is None else asked.location
        for each in (yield from self._take(path, real, data, asked)):
            if isinstance(each, Directive) and each.name.text == "include":
                yield from self._include(each, path, (*above, real))
            else:
                self.out.append(each)

    def _include(self, directive: Directive, path: str, above: tuple[str, ...]) -> Generator[None, None, None]:
        words = [value for value in directive.values if isinstance(value, Lexeme)]
        if len(directive.values) != 1 or not words or directive.block is not None or not words[0].text:
            self._problems.append(
                problem_at(
                    directive.name,
                    "include: one path or pattern is due",
                    'such as include "routes/*.conf"',
                    code="include",
                )
            )
            return
        pattern = os.path.join(os.path.dirname(path), words[0].text)
        yield
        try:
            found = self._files.find(pattern)
        except OSError as problem:
            self._report(
                words[0],
                f"folder {str(problem.filename or pattern)!r} can't be read: {problem.strerror or problem}",
                "mend the folder's rights",
            )
            return
        if not found and glob.has_magic(pattern):
            self._problems.append(
                problem_at(words[0], f"no file matches {words[0].text!r}", "", Severity.WARNING, "include")
            )
            return
        for number, each in enumerate(found or [pattern]):
            if number % source_files.FILES_PER_STEP == 0:
                yield
            if not self._files.is_folder(each):
                yield from self.file(each, words[0], above)

    def _report(self, asked: Lexeme | None, message: str, suggestion: str = "") -> None:
        self._problems.append(
            Problem(Location(0, 1, 1), message, suggestion, code="include")
            if asked is None
            else problem_at(asked, message, suggestion, code="include")
        )
