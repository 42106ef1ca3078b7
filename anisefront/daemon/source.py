"""The settings files of a process, read as they stood at one moment. It opens files, and puts nothing in force.

A reading takes a while, and files may be written meanwhile: half of one change and half of the next is no change that
anybody wrote. So what was read is looked at again at the end, and read anew where it has moved.
"""

from __future__ import annotations

import errno
import glob
import os
import stat
from collections.abc import Callable, Generator, Mapping

from anisefront.config.lexer import Place, Problem
from anisefront.config.loader import MOST_BYTES
from anisefront.config.reading import Outcome, Reading

TRIES = 4  # readings for one change, before who writes the files all the time is told so
LOOK_AT_ONCE = 32  # files looked at again in one step

# Of a file, as it was when it was opened: when it last changed in any way, its size, its inode; None: it can't be read.
Mark = tuple[int, int, int] | None


class Files:
    """Reads files and finds them by patterns, and knows whether what it handed out still stands there."""

    def __init__(self) -> None:
        self._marks: dict[str, Mark] = {}
        self._found: dict[str, list[str]] = {}

    def begin(self) -> None:
        """A reading begins."""
        self._marks, self._found = {}, {}

    def read(self, path: str) -> bytes:
        """The bytes of a file, one more than allowed where it has more. `OSError` where it can't be read."""
        self._marks[path] = None
        # Danger: a named pipe that nobody writes to would hold up the whole process.
        with open(path, "rb", opener=lambda name, flags: os.open(name, flags | os.O_NONBLOCK)) as file:
            self._marks[path] = mark = _mark(os.fstat(file.fileno()))
            if mark is None:
                raise OSError(errno.EINVAL, "not a regular file")
            return file.read(MOST_BYTES + 1)

    def find(self, pattern: str) -> list[str]:
        """The files that a pattern names, in order. `OSError` where its folder is there and can't be listed."""
        self._found[pattern] = found = sorted(glob.glob(pattern))
        folder = os.path.dirname(pattern) or "."
        if not found and os.path.isdir(folder):
            # Danger: taken for empty, a folder whose rights are wrong would take the routes of all services away.
            os.listdir(folder)
        return found

    def mark(self, path: str) -> Mark:
        """By what a file that was written anew is told from the one before."""
        try:
            return _mark(os.stat(path))
        except OSError:
            return None

    def moved(self) -> Generator[None, None, str]:
        """In steps: what is not as it was read, "" where all is."""
        for pattern, found in self._found.items():
            yield
            if sorted(glob.glob(pattern)) != found:
                return pattern
        for count, (path, mark) in enumerate(self._marks.items()):
            if count % LOOK_AT_ONCE == 0:
                yield
            if self.mark(path) != mark:
                return path
        return ""


def _mark(found: os.stat_result) -> Mark:
    return (found.st_ctime_ns, found.st_size, found.st_ino) if stat.S_ISREG(found.st_mode) else None


class Source:
    """One file of settings with what it includes, for the life of a process."""

    def __init__(self, path: str, environment: Mapping[str, str],
                 make: Callable[..., Reading] = Reading, files: Files | None = None) -> None:
        self.files = files or Files()
        self._make = lambda: make(path, environment, self.files.read, self.files.find)
        self._reading = self._make()

    def steps(self) -> Generator[None, None, Outcome]:
        """Read all files, in steps: what one moment's files come to, good or bad."""
        try:
            for _ in range(TRIES):
                self.files.begin()
                outcome = yield from self._reading.steps()
                moved = yield from self.files.moved()
                if not moved:
                    return outcome
        except OSError as problem:
            self._reading = self._make()  # what it keeps may be half of this reading
            return _refused(problem.filename, f"it can't be read: {problem.strerror or problem}",
                            "mend the path, or the rights of its folder")
        except Exception:
            self._reading = self._make()
            raise
        return _refused(moved, f"it changed while it was read, {TRIES} times over",
                        "write a new file beside it, rename it over the old one, then send SIGHUP")


def _refused(path: str, what: str, mend: str) -> Outcome:
    problem = Problem(Place(0, 1, 1), what, mend, code="include")
    return Outcome(None, (problem,), (f"{path}:1:1: error: {what} - {mend}",), "")
