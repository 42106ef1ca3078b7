"""Reads a settings file and what it includes: the one place of the language that opens files.

A file is named by its real path, so that a loop is seen through links and globs too. Every fault of reading is a
problem at the include that asked for it; nothing is raised.
"""

from __future__ import annotations

import errno
import fnmatch
import glob
import os
import stat
from collections.abc import Callable, Generator, Iterable, Iterator, Mapping
from dataclasses import dataclass, field
from typing import Any

from anisefront.config.lexer import Place, Problem, Severity, Word, decode, fault
from anisefront.config.parser import Directive, Document, List, parse
from anisefront.config.values import near
from anisefront.gateway.steps import run_to_end

MOST_FILES, MOST_DEPTH, MOST_BYTES = 1000, 16, 64 << 20
PIECE = 1 << 18  # bytes that are read at once
FILES = 8  # that are read in one step


@dataclass(slots=True)
class Source:
    """One file of a load."""

    path: str
    text: str
    document: Document
    asked_by: Place | None = None  # the include that took it in


@dataclass(slots=True)
class Load:
    """All files of a load, the directives in the order in which they count, and what was wrong so far."""

    sources: list[Source] = field(default_factory=list)
    directives: list[Directive] = field(default_factory=list)
    problems: list[Problem] = field(default_factory=list)

    def line(self, place: Place) -> str:
        """The text of a line."""
        lines = self.sources[place.file].text.split("\n") if place.file < len(self.sources) else []
        return lines[place.line - 1].removesuffix("\r") if 0 < place.line <= len(lines) else ""

    def chain(self, place: Place) -> list[Place]:
        """The includes through which a place was reached, the nearest first."""
        out, asked = [], self.sources[place.file].asked_by if place.file < len(self.sources) else None
        while asked is not None:
            out.append(asked)
            asked = self.sources[asked.file].asked_by
        return out

    def where(self, place: Place) -> str:
        """file:line:column."""
        path = self.sources[place.file].path if place.file < len(self.sources) else "?"
        return f"{path}:{place.line}:{place.column}"


Read = Callable[[str], bytes]
Find = Callable[[str], list[str]]


class Files:
    """Files by a function that reads one and another that finds those of a pattern."""

    def __init__(self, read: Read, find: Find | None = None) -> None:
        self._read, self._find = read, find or find_files

    def read(self, path: str) -> Generator[None, None, bytes]:
        """The bytes of a file, in steps; raises OSError."""
        yield
        return self._read(path)

    def find(self, pattern: str) -> list[str]:
        """The files that a pattern names; raises OSError where a folder can't be read."""
        return self._find(pattern)

    def real(self, path: str) -> str:
        """The path without links."""
        return os.path.realpath(path)

    def is_folder(self, path: str) -> bool:
        """Whether a path names a folder."""
        return os.path.isdir(path)

    def changed(self) -> Generator[None, None, str]:
        """What is not as it was when it was read, in steps; "" for nothing."""
        yield
        return ""


class Disk(Files):
    """Files on disk, for one reading: each is read once, and it can be told afterwards whether one has changed."""

    def __init__(self) -> None:
        super().__init__(_read_file)
        self._marks: dict[str, tuple[int, ...]] = {}  # of each file, from before its first byte was read
        self._found: dict[str, list[str]] = {}
        self._folders: dict[str, str] = {}
        self._last = "", 0  # each path is asked of twice in a row

    def read(self, path: str) -> Generator[None, None, bytes]:
        """The bytes of a file, in pieces; raises OSError. One byte more than may be read shows that there are more."""
        # Danger: a named pipe that nobody writes to would hold up the whole process.
        file = os.open(path, os.O_RDONLY | os.O_CLOEXEC | os.O_NONBLOCK)
        try:
            known = os.fstat(file)
            if not stat.S_ISREG(known.st_mode):
                raise OSError(errno.EINVAL, "not a regular file")
            self._marks[path] = _mark(known)
            data = os.read(file, PIECE)
            if len(data) < PIECE and len(data) == known.st_size:
                return data
            pieces, size = [data], len(data)
            while data and size <= MOST_BYTES:
                yield
                data = os.read(file, PIECE)
                pieces.append(data)
                size += len(data)
            return b"".join(pieces)
        finally:
            os.close(file)

    def find(self, pattern: str) -> list[str]:
        """The files that a pattern names; raises OSError where a folder can't be read."""
        found = self._found[pattern] = find_files(pattern)
        return found

    def real(self, path: str) -> str:
        """The path without links; each folder is looked up once."""
        folder, _, name = path.rpartition("/")
        mode = self._mode(path)
        if not folder or name in ("", ".", "..") or not mode or stat.S_ISLNK(mode):
            return os.path.realpath(path)
        if folder not in self._folders:
            self._folders[folder] = os.path.realpath(folder)
        return f"{self._folders[folder]}/{name}"

    def is_folder(self, path: str) -> bool:
        """Whether a path names a folder."""
        mode = self._mode(path)
        return os.path.isdir(path) if stat.S_ISLNK(mode) else stat.S_ISDIR(mode)

    def _mode(self, path: str) -> int:
        """What a path itself is, 0 where there is nothing."""
        if path != self._last[0]:
            try:
                self._last = path, os.lstat(path).st_mode
            except OSError:
                self._last = path, 0
        return self._last[1]

    def changed(self) -> Generator[None, None, str]:
        """The path of a file or the pattern of an include that is not as it was when it was read; "" for none."""
        for number, (path, mark) in enumerate(self._marks.items()):
            if number % (4 * FILES) == 0:
                yield
            try:
                if _mark(os.stat(path)) != mark:
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


def _mark(found: os.stat_result) -> tuple[int, ...]:
    return found.st_ino, found.st_dev, found.st_size, found.st_mtime_ns, found.st_ctime_ns


def _read_file(path: str) -> bytes:
    with open(path, "rb") as file:
        return file.read(MOST_BYTES + 1)


def find_files(pattern: str) -> list[str]:
    """The paths that a pattern names, sorted, as glob has it, but that a folder that can't be read raises OSError.

    Danger: taken for empty, a folder whose rights were lost would silently take all its routes out of service."""
    if not glob.has_magic(pattern):
        return [pattern] if os.path.lexists(pattern) else []
    folder, base = os.path.split(pattern)
    out = []
    for each in find_files(folder) if glob.has_magic(folder) else [folder]:
        try:
            names = os.listdir(each or os.curdir)
        except (FileNotFoundError, NotADirectoryError):
            continue
        if not glob.has_magic(base):
            names = [base] if os.path.lexists(os.path.join(each, base)) else []
        before = os.path.join(each, "")
        out += [
            before + name for name in fnmatch.filter(names, base) if base.startswith(".") or not name.startswith(".")
        ]
    return sorted(out)


def load(path: str, read: Read = _read_file, find: Find | None = None) -> Load:
    """The load of a file. `read` and `find` (a glob) may be others, for texts that are in no file."""
    out = Load()

    def take(path: str, real: str, data: bytes, asked: Word | None) -> Generator[None, None, list[Directive]]:
        yield
        number = len(out.sources)
        text, problems = decode(data, number)
        document, more = parse(text, number)
        out.sources.append(Source(path, text, document, None if asked is None else asked.place))
        out.problems += problems + more
        return document.directives

    walk = Walk(Files(read, find), take, out.where, out.problems)
    run_to_end(walk.file(path, None, ()))
    out.directives = walk.out
    if not out.sources:
        out.sources.append(Source("settings", "", Document([], [])))
    return out


def load_text(text: str, path: str = "settings") -> Load:
    """The load of a text that includes nothing but files."""
    own = text.encode()
    return load(path, lambda asked: own if asked == path else _read_file(asked))


class Walk:
    """Goes through a file and what it includes. `take(path, real, data, asked)`, in steps, is handed each file and
    gives what stands in it; `out` has what stands in all of them, in the order in which it counts, but the includes."""

    def __init__(
        self,
        files: Files,
        take: Callable[..., Generator[None, None, list[Any]]],
        where: Callable[[Place], str],
        problems: list[Problem],
    ) -> None:
        self._files, self._take, self._where, self._problems = files, take, where, problems
        self.out: list[Any] = []
        self._bytes = 0
        self._seen: dict[str, Place | None] = {}

    def file(self, path: str, asked: Word | None, above: tuple[str, ...]) -> Generator[None, None, None]:
        """Take a file in, which an include asked for."""
        real = self._files.real(path)
        if real in above:
            loop = " -> ".join(os.path.basename(each) for each in (*above[above.index(real) :], real))
            self._fault(asked, f"an include loop: {loop}", "remove one of these includes")
            return
        if real in self._seen:
            first = self._seen[real]
            where = "" if first is None else f", first by {self._where(first)}"
            self._fault(asked, f"{path!r} is included twice{where}", "include it once")
            return
        if len(self._seen) >= MOST_FILES or len(above) >= MOST_DEPTH:
            self._fault(asked, f"more than {MOST_FILES} files, or includes nested more than {MOST_DEPTH} deep")
            return
        try:
            data = yield from self._files.read(path)
        except OSError as problem:
            self._fault(
                asked,
                f"{path!r} can't be read: {problem.strerror or problem}",
                "" if asked is None else "mend the path, or the file's rights",
            )
            return
        self._bytes += len(data)
        if self._bytes > MOST_BYTES:
            self._fault(asked, f"more than {MOST_BYTES >> 20} MiB of settings")
            return
        self._seen[real] = None if asked is None else asked.place
        for each in (yield from self._take(path, real, data, asked)):
            if isinstance(each, Directive) and each.name.text == "include":
                yield from self._include(each, path, (*above, real))
            else:
                self.out.append(each)

    def _include(self, directive: Directive, path: str, above: tuple[str, ...]) -> Generator[None, None, None]:
        words = [value for value in directive.values if isinstance(value, Word)]
        if len(directive.values) != 1 or not words or directive.block is not None or not words[0].text:
            self._problems.append(
                fault(
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
            self._fault(
                words[0],
                f"folder {str(problem.filename or pattern)!r} can't be read: {problem.strerror or problem}",
                "mend the folder's rights",
            )
            return
        if not found and glob.has_magic(pattern):
            self._problems.append(
                fault(words[0], f"no file matches {words[0].text!r}", "", Severity.WARNING, "include")
            )
            return
        for number, each in enumerate(found or [pattern]):
            if number % FILES == 0:
                yield
            if not self._files.is_folder(each):
                yield from self.file(each, words[0], above)

    def _fault(self, asked: Word | None, what: str, mend: str = "") -> None:
        self._problems.append(
            Problem(Place(0, 1, 1), what, mend, code="include")
            if asked is None
            else fault(asked, what, mend, code="include")
        )


# ---- definitions and environment ------------------------------------------------------------------------------

MOST_LINES = 200_000


class Globals:
    """What `env` and `define` lines anywhere in a load come to. Free of I/O; the environment is handed in."""

    def __init__(self, environment: Mapping[str, str]) -> None:
        self._environment = environment
        self.values: dict[str, str] = {}
        self.definitions: dict[str, Directive] = {}
        self.unset: set[str] = set()
        self.problems: list[Problem] = []

    def add(self, lines: Iterable[Directive]) -> None:
        """Take lines in, in the order in which they count."""
        for line in lines:
            if line.name.text == "env":
                self._env(line)
            else:
                self._define(line)

    def _env(self, directive: Directive) -> None:
        words = [value.text for value in directive.values]
        if len(words) not in (1, 3) or len(words) == 3 and words[1] != "default" or directive.block is not None:
            self.problems.append(
                fault(
                    directive.name,
                    "env: a name is due, and perhaps its default",
                    'such as env SECRET default "..."',
                    code="arguments",
                )
            )
            return
        value = self._environment.get(words[0], words[2] if len(words) == 3 else None)
        if value is None:
            first = directive.values[0]
            at = first if isinstance(first, Word) else Word("[", first.place)
            self.problems.append(
                fault(
                    at, f"environment variable {words[0]} is not set", "set it, or give a default", code="environment"
                )
            )
            value = ""
            self.unset.add(words[0])
        self.values[words[0]] = value

    def _define(self, directive: Directive) -> None:
        values = directive.values
        if (
            not values
            or len(values) > 2
            or not isinstance(values[0], Word)
            or directive.block is None
            or len(values) == 2
            and isinstance(values[1], Word)
        ):
            self.problems.append(
                fault(
                    directive.name,
                    "define: a name, [parameters] and a block are due",
                    "such as define view [path] { ... }",
                    code="arguments",
                )
            )
            return
        name = values[0].text
        if name in self.definitions:
            self.problems.append(fault(values[0], f"definition {name!r} stands twice", "", code="twice"))
            return
        self.definitions[name] = directive


class Expansion:
    """Puts definitions and values into lines. What it looked up is told, so that it can be known whether other
    definitions and values would have given something else."""

    def __init__(self, known: Globals) -> None:
        self._known = known
        self.problems: list[Problem] = []
        self.undeclared: dict[str, Problem] = {}  # the first of each name; the others follow from it
        self.used: dict[str, Directive | None] = {}
        self.looked_up: dict[str, str | None] = {}
        self.lines = 0

    def put(
        self, directive: Directive, given: Mapping[str, str] | None = None, above: tuple[str, ...] = ()
    ) -> Iterator[Directive | None]:
        """What a line comes to, one by one; None stands for work without a line."""
        self.lines += 1
        if self.lines == MOST_LINES:
            self.problems.append(
                fault(directive.name, f"definitions come to more than {MOST_LINES} lines", "", code="definition")
            )
        if self.lines >= MOST_LINES:
            return
        if directive.name.text != "use":
            yield self._replaced(directive, given or {})
        else:
            yield from self._use(directive, given or {}, above)

    def _use(
        self, directive: Directive, given: Mapping[str, str], above: tuple[str, ...]
    ) -> Iterator[Directive | None]:
        yield None
        values = directive.values
        if not values or len(values) > 2 or not isinstance(values[0], Word) or directive.block is not None:
            self.problems.append(
                fault(
                    directive.name,
                    "use: a definition's name and [values] are due",
                    "such as use view [/stock]",
                    code="arguments",
                )
            )
            return
        name = values[0].text
        definition = self.used[name] = self._known.definitions.get(name)
        if definition is None:
            self.problems.append(
                fault(
                    values[0],
                    f"there is no definition {name!r}",
                    near(name, list(self._known.definitions)),
                    code="reference",
                )
            )
            return
        if name in above:
            self.problems.append(fault(values[0], f"definition {name!r} uses itself", "", code="definition"))
            return
        parameters = [word.text for word in definition.values[1].words] if len(definition.values) == 2 else []
        words = (
            [values[1]]
            if len(values) == 2 and isinstance(values[1], Word)
            else list(values[1].words)
            if len(values) == 2
            else []
        )
        if len(words) != len(parameters):
            self.problems.append(
                fault(
                    values[0],
                    f"{name} takes {len(parameters)} values, not {len(words)}",
                    f"[{' '.join(parameters)}]",
                    code="arguments",
                )
            )
            return
        inner = dict(zip(parameters, (self._text(word, given).text for word in words), strict=True))
        for each in definition.block:
            yield from self.put(each, inner, (*above, name))

    def _replaced(self, directive: Directive, given: Mapping[str, str]) -> Directive:
        if not _has_reference(directive):
            return directive
        values = [
            self._text(value, given)
            if isinstance(value, Word)
            else List([self._text(word, given) for word in value.words], value.place)
            for value in directive.values
        ]
        block = None if directive.block is None else [self._replaced(each, given) for each in directive.block]
        return Directive(
            directive.name,
            values,
            block,
            directive.above,
            directive.beside,
            directive.below,
            directive.closing,
            directive.broken,
        )

    def _text(self, word: Word, given: Mapping[str, str]) -> Word:
        if "${" not in word.text:
            return word
        out, rest = "", word.text
        while "${" in rest:
            before, _, rest = rest.partition("${")
            name, closed, rest = rest.partition("}")
            value = given.get(name)
            if value is None:
                value = self.looked_up[name] = self._known.values.get(name)
            if not closed or value is None:
                what = f"${{{name}}} is not declared" if closed else "a ${ that is not closed"
                if name not in self._known.unset:
                    self.undeclared.setdefault(
                        name,
                        fault(
                            word,
                            what,
                            f"write env {name}, or a parameter of the definition" if closed else "end it with }",
                            code="reference",
                        ),
                    )
                value = ""
            out += before + value
        return Word(out + rest, word.place, True)


def substitute(directives: list[Directive], problems: list[Problem], environment: Mapping[str, str]) -> list[Directive]:
    """The directives with definitions put in and declared environment variables replaced. Free of I/O."""
    known = Globals(environment)
    known.add(each for each in directives if each.name.text in ("env", "define"))
    expansion, out = Expansion(known), list[Directive]()
    for directive in directives:
        if directive.name.text not in ("env", "define"):
            out += (each for each in expansion.put(directive) if each is not None)
    problems += [*known.problems, *expansion.problems, *expansion.undeclared.values()]
    problems += [
        fault(definition.values[0], f"definition {name!r} is not used", "", Severity.NOTE, "unused")
        for name, definition in known.definitions.items()
        if name not in expansion.used
    ]
    return out


def _has_reference(directive: Directive) -> bool:
    for value in directive.values:
        if isinstance(value, Word):
            if "${" in value.text:
                return True
        else:
            for word in value.words:
                if "${" in word.text:
                    return True
    for each in directive.block or ():
        if _has_reference(each):
            return True
    return False
