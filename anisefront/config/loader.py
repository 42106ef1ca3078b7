"""Reads a settings file and what it includes: the one place of the language that opens files.

A file is named by its real path, so that a loop is seen through links and globs too. Every fault of reading is a
problem at the include that asked for it; nothing is raised.
"""

from __future__ import annotations

import glob
import os
from collections.abc import Callable, Mapping
from dataclasses import dataclass, field

from anisefront.config.lexer import Place, Problem, Severity, Word, decode, fault
from anisefront.config.parser import Directive, Document, parse

MOST_FILES, MOST_DEPTH, MOST_BYTES = 1000, 16, 64 << 20


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


def _read_file(path: str) -> bytes:
    with open(path, "rb") as file:
        return file.read(MOST_BYTES + 1)


def load(path: str, read: Read = _read_file, find: Callable[[str], list[str]] | None = None) -> Load:
    """The load of a file. `read` and `find` (a glob) may be others, for texts that are in no file."""
    loader = _Loader(read, find or (lambda pattern: sorted(glob.glob(pattern))))
    loader.file(path, None, ())
    return loader.out


def load_text(text: str, path: str = "settings") -> Load:
    """The load of a text that includes nothing but files."""
    own = text.encode()
    return load(path, lambda asked: own if asked == path else _read_file(asked))


class _Loader:
    def __init__(self, read: Read, find: Callable[[str], list[str]]) -> None:
        self._read, self._find, self.out, self._bytes = read, find, Load(), 0
        self._seen: dict[str, Place | None] = {}

    def file(self, path: str, asked: Word | None, above: tuple[str, ...]) -> None:
        real = os.path.realpath(path)
        if real in above:
            loop = " -> ".join(os.path.basename(each) for each in (*above[above.index(real):], real))
            self._fault(asked, f"an include loop: {loop}", "remove one of these includes")
            return
        if real in self._seen:
            first = self._seen[real]
            where = "" if first is None else f", first by {self.out.where(first)}"
            self._fault(asked, f"{path!r} is included twice{where}", "include it once")
            return
        if len(self.out.sources) >= MOST_FILES or len(above) >= MOST_DEPTH:
            self._fault(asked, f"more than {MOST_FILES} files, or includes nested more than {MOST_DEPTH} deep")
            return
        try:
            data = self._read(path)
        except OSError as problem:
            self._fault(asked, f"{path!r} can't be read: {problem.strerror or problem}",
                        "" if asked is None else "mend the path, or the file's rights")
            return
        self._bytes += len(data)
        if self._bytes > MOST_BYTES:
            self._fault(asked, f"more than {MOST_BYTES >> 20} MiB of settings")
            return
        self._seen[real] = None if asked is None else asked.place
        number = len(self.out.sources)
        text, problems = decode(data, number)
        document, more = parse(text, number)
        self.out.sources.append(Source(path, text, document, None if asked is None else asked.place))
        self.out.problems += problems + more
        for directive in document.directives:
            if directive.name.text == "include":
                self._include(directive, path, (*above, real))
            else:
                self.out.directives.append(directive)

    def _include(self, directive: Directive, path: str, above: tuple[str, ...]) -> None:
        words = [value for value in directive.values if isinstance(value, Word)]
        if len(directive.values) != 1 or not words or directive.block is not None or not words[0].text:
            self.out.problems.append(fault(directive.name, "include: one path or pattern is due",
                                           'such as include "routes/*.conf"', code="include"))
            return
        pattern = os.path.join(os.path.dirname(path), words[0].text)
        found = self._find(pattern)
        if not found and glob.has_magic(pattern):
            self.out.problems.append(fault(words[0], f"no file matches {words[0].text!r}", "", Severity.WARNING,
                                           "include"))
            return
        for each in found or [pattern]:
            if not os.path.isdir(each):
                self.file(each, words[0], above)

    def _fault(self, asked: Word | None, what: str, mend: str = "") -> None:
        if asked is None:
            self.out.sources.append(Source("settings", "", Document([], [])))
            self.out.problems.append(Problem(Place(0, 1, 1), what, mend, code="include"))
        else:
            self.out.problems.append(fault(asked, what, mend, code="include"))


def substitute(directives: list[Directive], problems: list[Problem],
               environment: Mapping[str, str]) -> list[Directive]:
    """The directives with definitions put in and declared environment variables replaced. Free of I/O."""
    return _Expansion(directives, problems, environment).run()


MOST_LINES = 200_000


class _Expansion:
    def __init__(self, directives: list[Directive], problems: list[Problem], environment: Mapping[str, str]) -> None:
        self._directives, self._problems = directives, problems
        self._environment, self._values = environment, dict[str, str]()
        self._definitions: dict[str, Directive] = {}
        self._used: set[str] = set()
        self._lines = 0
        self._undeclared: set[str] = set()

    def run(self) -> list[Directive]:
        for directive in self._directives:
            if directive.name.text == "env":
                self._env(directive)
            elif directive.name.text == "define":
                self._define(directive)
        out: list[Directive] = []
        rest = [each for each in self._directives if each.name.text not in ("env", "define")]
        for directive in rest:
            self._put(directive, {}, out, ())
        for name, definition in self._definitions.items():
            if name not in self._used:
                self._problems.append(fault(definition.values[0], f"definition {name!r} is not used", "",
                                            Severity.NOTE, "unused"))
        return out

    def _env(self, directive: Directive) -> None:
        words = [value.text for value in directive.values]
        if len(words) not in (1, 3) or len(words) == 3 and words[1] != "default" or directive.block is not None:
            self._problems.append(fault(directive.name, "env: a name is due, and perhaps its default",
                                        'such as env SECRET default "..."', code="arguments"))
            return
        value = self._environment.get(words[0], words[2] if len(words) == 3 else None)
        if value is None:
            self._problems.append(fault(directive.values[0], f"environment variable {words[0]} is not set",
                                        "set it, or give a default", code="environment"))
            value = ""
            self._undeclared.add(words[0])
        self._values[words[0]] = value

    def _define(self, directive: Directive) -> None:
        values = directive.values
        if not values or len(values) > 2 or not isinstance(values[0], Word) or directive.block is None \
                or len(values) == 2 and isinstance(values[1], Word):
            self._problems.append(fault(directive.name, "define: a name, [parameters] and a block are due",
                                        "such as define view [path] { ... }", code="arguments"))
            return
        name = values[0].text
        if name in self._definitions:
            self._problems.append(fault(values[0], f"definition {name!r} stands twice", "", code="twice"))
            return
        self._definitions[name] = directive

    def _put(self, directive: Directive, given: dict[str, str], out: list[Directive], above: tuple[str, ...]) -> None:
        self._lines += 1
        if self._lines == MOST_LINES:
            self._problems.append(fault(directive.name, f"definitions come to more than {MOST_LINES} lines", "",
                                        code="definition"))
        if self._lines >= MOST_LINES:
            return
        if directive.name.text != "use":
            out.append(self._replaced(directive, given))
            return
        self._use(directive, given, out, above)

    def _use(self, directive: Directive, given: dict[str, str], out: list[Directive], above: tuple[str, ...]) -> None:
        values = directive.values
        if not values or len(values) > 2 or not isinstance(values[0], Word) or directive.block is not None:
            self._problems.append(fault(directive.name, "use: a definition's name and [values] are due",
                                        "such as use view [/stock]", code="arguments"))
            return
        name = values[0].text
        definition = self._definitions.get(name)
        if definition is None:
            from anisefront.config.values import near
            self._problems.append(fault(values[0], f"there is no definition {name!r}",
                                        near(name, list(self._definitions)), code="reference"))
            return
        self._used.add(name)
        if name in above:
            self._problems.append(fault(values[0], f"definition {name!r} uses itself", "", code="definition"))
            return
        parameters = [word.text for word in definition.values[1].words] if len(definition.values) == 2 else []
        words = [values[1]] if len(values) == 2 and isinstance(values[1], Word) else \
            list(values[1].words) if len(values) == 2 else []
        if len(words) != len(parameters):
            self._problems.append(fault(values[0], f"{name} takes {len(parameters)} values, not {len(words)}",
                                        f"[{' '.join(parameters)}]", code="arguments"))
            return
        inner = dict(zip(parameters, (self._text(word, given).text for word in words), strict=True))
        for each in definition.block:
            self._put(each, inner, out, (*above, name))

    def _replaced(self, directive: Directive, given: dict[str, str]) -> Directive:
        if not given and not self._values and not _has_reference(directive):
            return directive
        from anisefront.config.parser import List
        values = [self._text(value, given) if isinstance(value, Word) else
                  List([self._text(word, given) for word in value.words], value.place) for value in directive.values]
        block = None if directive.block is None else [self._replaced(each, given) for each in directive.block]
        return Directive(directive.name, values, block, directive.above, directive.beside, directive.below)

    def _text(self, word: Word, given: dict[str, str]) -> Word:
        if "${" not in word.text:
            return word
        out, rest = "", word.text
        while "${" in rest:
            before, _, rest = rest.partition("${")
            name, closed, rest = rest.partition("}")
            value = given.get(name, self._values.get(name))
            if not closed or value is None:
                what = f"${{{name}}} is not declared" if closed else "a ${ that is not closed"
                if name not in self._undeclared:
                    self._problems.append(fault(word, what, f"write env {name}, or a parameter of the definition"
                                                if closed else "end it with }", code="reference"))
                    self._undeclared.add(name)
                value = ""
            out += before + value
        return Word(out + rest, word.place, True)


def _has_reference(directive: Directive) -> bool:
    for value in directive.values:
        words = [value] if isinstance(value, Word) else value.words
        if any("${" in word.text for word in words):
            return True
    return any(_has_reference(each) for each in directive.block or ())
