"""Files of the settings: the one module of the language that opens files.

Nothing is cached from one load to the next, since a time stamp does not prove that a file is unchanged.
"""

from __future__ import annotations

import errno
import fnmatch
import glob
import os
import stat
from collections.abc import Callable, Generator

MAX_TOTAL_BYTES = 64 << 20  # of all files of a load
READ_CHUNK_BYTES = 1 << 18  # read in one step
FILES_PER_STEP = 8
COMPARED_FILES_MULTIPLIER = 4  # of FILES_PER_STEP: comparing a file's state costs a fraction of reading it

Read = Callable[[str], bytes]
Find = Callable[[str], list[str]]


class Files:
    """Files by a function that reads one and another that finds those of a pattern."""

    def __init__(self, read: Read, find: Find | None = None) -> None:
        """Create the files that `read` and `find` know."""
        self._read = read
        self._find = find or find_files

    def read(self, path: str) -> Generator[None, None, bytes]:
        """Return the bytes of a file, in steps; raises OSError."""
        yield
        return self._read(path)

    def find(self, pattern: str) -> list[str]:
        """Return the files that a pattern names; raises OSError where a folder can't be read."""
        return self._find(pattern)

    def real(self, path: str) -> str:
        """Return the path without links."""
        return os.path.realpath(path)

    def is_folder(self, path: str) -> bool:
        """Return whether a path names a folder."""
        return os.path.isdir(path)

    def changed(self) -> Generator[None, None, str]:
        """Return what changed since it was read, in steps; empty for nothing."""
        yield
        return ""


class DiskFiles(Files):
    """Files on disk, for one load: each is read once, and a later change of one can be detected."""

    def __init__(self) -> None:
        """Create the files for a load that begins now."""
        super().__init__(read_file)
        self._states: dict[str, tuple[int, ...]] = {}  # of each file, from before its first byte was read
        self._found: dict[str, list[str]] = {}
        self._folders: dict[str, str] = {}
        self._last_path = ""  # each path is looked up twice in a row
        self._last_mode = 0

    def read(self, path: str) -> Generator[None, None, bytes]:
        """Return the bytes of a file, in chunks; raises OSError.

        One byte more than the limit shows that the file is too long.
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
        """Return the files that a pattern names; raises OSError where a folder can't be read."""
        found = find_files(pattern)
        self._found[pattern] = found
        return found

    def real(self, path: str) -> str:
        """Return the path without links; each folder is looked up once."""
        folder, _, name = path.rpartition("/")
        mode = self._mode(path)
        if not folder or name in ("", ".", "..") or not mode or stat.S_ISLNK(mode):
            return os.path.realpath(path)
        if folder not in self._folders:
            self._folders[folder] = os.path.realpath(folder)
        return f"{self._folders[folder]}/{name}"

    def is_folder(self, path: str) -> bool:
        """Return whether a path names a folder."""
        mode = self._mode(path)
        return os.path.isdir(path) if stat.S_ISLNK(mode) else stat.S_ISDIR(mode)

    def _mode(self, path: str) -> int:
        """Return the mode of the path itself, 0 where there is nothing."""
        if path != self._last_path:
            try:
                mode = os.lstat(path).st_mode
            except OSError:
                mode = 0
            self._last_path = path
            self._last_mode = mode
        return self._last_mode

    def changed(self) -> Generator[None, None, str]:
        """Return the path of a file or the pattern of an include that changed since it was read; empty for none."""
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
    """Return the bytes of a file, at most one more than the limit."""
    with open(path, "rb") as file:
        return file.read(MAX_TOTAL_BYTES + 1)


def find_files(pattern: str) -> list[str]:
    """Return the paths that a pattern names, sorted, as `glob` does, but raise OSError for an unreadable folder.

    If a folder without read permission counted as empty, all its routes would silently be taken out of service.
    """
    if not glob.has_magic(pattern):
        return [pattern] if os.path.lexists(pattern) else []
    folder, base = os.path.split(pattern)
    found: list[str] = []
    for each in find_files(folder) if glob.has_magic(folder) else [folder]:
        found += _find_in(each, base)
    return sorted(found)


def _find_in(folder: str, base: str) -> list[str]:
    try:
        names = os.listdir(folder or os.curdir)
    except (FileNotFoundError, NotADirectoryError):
        return []
    if not glob.has_magic(base):
        names = [base] if os.path.lexists(os.path.join(folder, base)) else []
    with_hidden = base.startswith(".")
    prefix = os.path.join(folder, "")
    return [prefix + name for name in fnmatch.filter(names, base) if with_hidden or not name.startswith(".")]
