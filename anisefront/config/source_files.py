"""Access to settings files; the only module of the settings language that opens files.

Nothing is cached from one load to the next, since a time stamp does not prove that a file is unchanged.
"""

from __future__ import annotations

import errno
import fnmatch
import glob
import os
import stat
from collections.abc import Callable, Generator

MAX_TOTAL_BYTES = 64 << 20  # total size of all files of a load
READ_CHUNK_BYTES = 1 << 18  # read in one step
FILES_PER_STEP = 8
COMPARED_FILES_MULTIPLIER = 4  # of FILES_PER_STEP: checking the state of a file is much cheaper than reading it

Read = Callable[[str], bytes]
Find = Callable[[str], list[str]]


class Files:
    """Access to files through one function that reads a file and another that expands a pattern."""

    def __init__(self, read: Read, find: Find | None = None) -> None:
        """Use `read` and `find`; by default, patterns are expanded on disk."""
        self._read = read
        self._find = find or find_files

    def read(self, path: str) -> Generator[None, None, bytes]:
        """Return the content of a file, in steps; raises OSError."""
        yield
        return self._read(path)

    def find(self, pattern: str) -> list[str]:
        """Return the files that match a pattern; raises OSError if a directory cannot be read."""
        return self._find(pattern)

    def real_path(self, path: str) -> str:
        """Return the path with symbolic links resolved."""
        return os.path.realpath(path)

    def is_directory(self, path: str) -> bool:
        """Return whether a path is a directory."""
        return os.path.isdir(path)

    def changed(self) -> Generator[None, None, str]:
        """Return the path or pattern that changed since it was read, in steps; "" if none did."""
        yield
        return ""


class DiskFiles(Files):
    """Files on disk, for one load. Each is read once; changes after that can be detected."""

    def __init__(self) -> None:
        """Create the state for a load that begins now."""
        super().__init__(read_file)
        self._states: dict[str, tuple[int, ...]] = {}  # state of each file before its first byte was read
        self._found: dict[str, list[str]] = {}
        self._directories: dict[str, str] = {}
        self._last_path = ""  # cache of the last look-up, since each path is looked up twice in a row
        self._last_mode = 0

    def read(self, path: str) -> Generator[None, None, bytes]:
        """Read a file in chunks and return its content; raises OSError.

        Reading stops beyond the limit of the total size, so that the caller can detect a file that is too large.
        """
        # Without O_NONBLOCK, a named pipe that has no writer would block the whole process.
        file = os.open(path, os.O_RDONLY | os.O_CLOEXEC | os.O_NONBLOCK)
        try:
            status = os.fstat(file)
            if not stat.S_ISREG(status.st_mode):
                raise OSError(errno.EINVAL, "not a regular file")
            self._states[path] = _state(status)
            data = os.read(file, READ_CHUNK_BYTES)
            if len(data) < READ_CHUNK_BYTES and len(data) == status.st_size:
                return data
            chunks = [data]
            size = len(data)
            while data and size <= MAX_TOTAL_BYTES:
                yield
                data = os.read(file, READ_CHUNK_BYTES)
                chunks.append(data)
                size += len(data)
            return b"".join(chunks)
        finally:
            os.close(file)

    def find(self, pattern: str) -> list[str]:
        """Return the files that match a pattern; raises OSError if a directory cannot be read."""
        found = find_files(pattern)
        self._found[pattern] = found
        return found

    def real_path(self, path: str) -> str:
        """Return the path with symbolic links resolved; each directory is resolved once."""
        directory, _, name = path.rpartition("/")
        mode = self._mode(path)
        if not directory or name in ("", ".", "..") or not mode or stat.S_ISLNK(mode):
            return os.path.realpath(path)
        if directory not in self._directories:
            self._directories[directory] = os.path.realpath(directory)
        return f"{self._directories[directory]}/{name}"

    def is_directory(self, path: str) -> bool:
        """Return whether a path is a directory."""
        mode = self._mode(path)
        return os.path.isdir(path) if stat.S_ISLNK(mode) else stat.S_ISDIR(mode)

    def _mode(self, path: str) -> int:
        """Return the mode of the path itself without following links; 0 if it does not exist."""
        if path != self._last_path:
            try:
                mode = os.lstat(path).st_mode
            except OSError:
                mode = 0
            self._last_path = path
            self._last_mode = mode
        return self._last_mode

    def changed(self) -> Generator[None, None, str]:
        """Return the path of a file or the pattern of an include that changed since it was read; "" if none did."""
        for number, (path, state) in enumerate(self._states.items()):
            if number % (COMPARED_FILES_MULTIPLIER * FILES_PER_STEP) == 0:
                yield
            try:
                if _state(os.stat(path)) != state:
                    return path
            except OSError:
                return path
        for pattern, found in self._found.items():
            yield
            try:
                if find_files(pattern) != found:
                    return pattern
            except OSError:
                return pattern
        yield
        return ""


def _state(status: os.stat_result) -> tuple[int, ...]:
    return status.st_ino, status.st_dev, status.st_size, status.st_mtime_ns, status.st_ctime_ns


def read_file(path: str) -> bytes:
    """Return the content of a file, at most one byte more than the limit, which shows that it is too large."""
    with open(path, "rb") as file:
        return file.read(MAX_TOTAL_BYTES + 1)


def find_files(pattern: str) -> list[str]:
    """Return the paths that match a pattern, sorted, as `glob` does, but raise OSError for an unreadable directory.

    If a directory without read permission counted as empty, all routes in it would silently be removed.
    """
    if not glob.has_magic(pattern):
        return [pattern] if os.path.lexists(pattern) else []
    directory, base = os.path.split(pattern)
    found: list[str] = []
    for each in find_files(directory) if glob.has_magic(directory) else [directory]:
        found += _find_in(each, base)
    return sorted(found)


def _find_in(directory: str, base: str) -> list[str]:
    try:
        names = os.listdir(directory or os.curdir)
    except (FileNotFoundError, NotADirectoryError):
        return []
    if not glob.has_magic(base):
        names = [base] if os.path.lexists(os.path.join(directory, base)) else []
    with_hidden = base.startswith(".")
    prefix = os.path.join(directory, "")
    return [prefix + name for name in fnmatch.filter(names, base) if with_hidden or not name.startswith(".")]
