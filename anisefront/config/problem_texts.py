"""Texts of the problems of an incremental load.

An incremental load does not keep the text of files, so the lines shown in messages are read again.
"""

from __future__ import annotations

from collections.abc import Generator, Iterable, Iterator
from dataclasses import replace

from anisefront.config import checker, messages
from anisefront.config.file_record import lines_of
from anisefront.config.lexer import Location, Problem
from anisefront.config.load_attempt import LoadAttempt
from anisefront.config.load_steps import ends_step
from anisefront.config.loader import LoadedSources, Source
from anisefront.config.parser import Document

UTF16_BYTE_ORDER_MARKS = (b"\xff\xfe", b"\xfe\xff")
UTF8_BYTE_ORDER_MARK = b"\xef\xbb\xbf"


def render_problems(
    attempt: LoadAttempt, found: Iterable[Problem], hidden_count: int
) -> Generator[None, None, tuple[tuple[Problem, ...], tuple[str, ...]]]:
    """Return the problems by location, and their texts, errors first.

    Raises:
        FileChangedError: A file with a problem has changed since it was read.
    """
    localized = (replace(problem, location=attempt.localize(problem.location)) for problem in found)
    problems = checker.sort_problems(localized, False, hidden_count)
    if not problems:
        return (), ()
    yield
    loaded = _ShownLines(_sources(attempt))
    line_numbers: dict[int, set[int]] = {}
    for problem in problems:
        line_numbers.setdefault(problem.location.file, set()).add(problem.location.line)
    for number, lines in line_numbers.items():
        if number < len(attempt.files):
            data = yield from attempt.read_again(attempt.files[number])
            yield from loaded.look_up(number, lines, data)
    texts = []
    for problem in sorted(problems, key=lambda problem: -problem.severity):
        yield
        texts.append(messages.format_problem(loaded, problem))
    return tuple(problems), tuple(texts)


def _sources(attempt: LoadAttempt) -> list[Source]:
    sources = []
    for file in attempt.files:
        included_at = None if file.included_at is None else attempt.localize(file.included_at)
        sources.append(Source(file.path, "", Document([], []), included_at))
    return sources or [Source("settings", "", Document([], []))]


class _ShownLines(LoadedSources):
    """Loaded sources that hold only the lines that messages show."""

    def __init__(self, sources: list[Source]) -> None:
        super().__init__(sources)
        self._lines: dict[tuple[int, int], str] = {}

    def line(self, location: Location) -> str:
        """Return the text of a line."""
        return self._lines.get(location[:2], "")

    def look_up(self, file: int, lines: set[int], data: bytes) -> Generator[None, None, None]:
        """Store the given lines of a file, in steps."""
        last = max(lines)
        for number, line in enumerate(_decoded_lines(data), 1):
            if ends_step(number - 1):
                yield
            if number in lines:
                self._lines[file, number] = line.removesuffix("\r")
            if number >= last:
                return


def _decoded_lines(data: bytes) -> Iterator[str]:
    if data.startswith(UTF16_BYTE_ORDER_MARKS):
        return
    try:
        yield from lines_of(data)
    except UnicodeDecodeError:
        yield from data.removeprefix(UTF8_BYTE_ORDER_MARK).decode("utf-8", "replace").split("\n")
