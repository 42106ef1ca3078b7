"""The file of settings and what it includes, read again and again: in steps, each of little work.

A gatekeeper keeps one reading for its life. It opens files by the loader's ways alone, and puts nothing in force.
"""

from __future__ import annotations

import hashlib
from collections.abc import Callable, Generator, Mapping
from dataclasses import dataclass

from anisefront.config import checker, loader, messages
from anisefront.config.lexer import Problem, Severity
from anisefront.config.types import Config
from anisefront.core.routing import Route


@dataclass(frozen=True, slots=True)
class Outcome:
    """What one reading came to. Notes are left out: they are for a person, by `config check --notes`."""

    config: Config | None  # None where an error was found
    problems: tuple[Problem, ...]  # errors and warnings, in the order of their places
    texts: tuple[str, ...]  # the same as a person reads them, errors first
    digest: str  # of the bytes of all files in the order in which they count, and of where each was included
    parts: tuple[tuple[Route, ...], ...] = ()  # config.routes in pieces, for core/versions.py

    @property
    def errors(self) -> tuple[str, ...]:
        """The texts of the errors; empty where the settings can be taken."""
        count = sum(problem.severity is Severity.ERROR for problem in self.problems)
        return self.texts[:count]


class Reading:
    """`environment` holds what `env` may name. `read` and `find` (a glob) may be others, for texts in no file."""

    def __init__(self, path: str, environment: Mapping[str, str] | None = None,
                 read: Callable[[str], bytes] | None = None,
                 find: Callable[[str], list[str]] | None = None) -> None:
        self.path, self._environment = path, environment or {}
        self._read, self._find = read or loader._read_file, find

    def steps(self) -> Generator[None, None, Outcome]:
        """Read all files anew; the outcome is what the generator returns."""
        whole = hashlib.blake2b(digest_size=16)

        def read(path: str) -> bytes:
            data = self._read(path)
            whole.update(hashlib.blake2b(data, digest_size=16).digest())
            return data
        load = loader.load(self.path, read, self._find)
        yield
        checked = checker.check(load, self._environment)
        yield
        problems = tuple(each for each in checked.problems if each.severity is not Severity.NOTE)
        first = sorted(problems, key=lambda problem: -problem.severity)
        return Outcome(checked.config, problems, tuple(messages.text(load, each) for each in first), whole.hexdigest(),
                       () if checked.config is None else (checked.config.routes,))
