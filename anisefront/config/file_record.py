"""The record of one file of the settings, which replaces reading it again while its bytes are the same.

It has routes and keys as the program needs them, with their places, and all other lines as entries, but no text, tokens
or tree. Free of I/O; built in steps.
"""

from __future__ import annotations

import re
from array import array
from collections.abc import Generator, Iterable, Iterator, Mapping
from sys import intern

from anisefront.config.checker import DeclaredName, LineReader
from anisefront.config.definitions import Declarations, Expansion
from anisefront.config.lexer import MAX_LINE_LENGTH, Lexeme, Location, Problem, Severity, Token, decode, tokenize_line
from anisefront.config.model import Entry, key, plain_route, route
from anisefront.config.parser import Directive, Parser
from anisefront.config.values import HOST, PATH, InvalidValueError
from anisefront.gateway.routes import Key, Route

LINES_PER_STEP = 4  # of a file that are read in one step; one line may be long, and one directive may go over many
PLAIN_LINES_PER_LINE = 12  # plain lines that count as one
# The lines of which a large installation has thousands, where each word is plain: their meaning is plain as well.
_WORD = r"([!%&'()*+\-./0-9:<=>?@A-Z^_`a-z|~]{1,4096})"
_NAME = r"([A-Za-z][A-Za-z0-9._-]{0,63})"
_KEY = re.compile(rf"([ \t]*)key[ \t]+{_WORD}[ \t]+customer[ \t]+{_WORD}[ \t]+plan[ \t]+{_NAME}[ \t]*\r?\Z")
_ROUTE = re.compile(
    rf"([ \t]*)route[ \t]+(\*|[A-Z][A-Z-]{{0,31}})[ \t]+{_WORD}[ \t]+class[ \t]+{_NAME}[ \t]+pool[ \t]+"
    rf"{_NAME}(?:[ \t]+host[ \t]+{_WORD})?[ \t]*\r?\Z"
)
KEYS_PER_STEP = 256  # keys of before that are gone through in one step
DECODE_CHUNK_BYTES = 1 << 15  # bytes that are decoded at once, and those to the end of their line


class Section:
    """The lines of a file between two includes, after expansion. Never changed once it is built.

    `route_places` and `key_places` hold file, line and column of each, three numbers in a row.
    """

    __slots__ = (
        "entries",
        "expansion",
        "faulty_keys",
        "file",
        "first",
        "declarations",
        "key_locations",
        "keys",
        "languages",
        "lines",
        "lost",
        "declared_names",
        "number",
        "problems",
        "route_locations",
        "routes",
        "texts",
        "undeclared",
    )

    def __init__(self, file: int, number: int) -> None:
        """Create an empty section: the one of this number in its file."""
        self.file = file
        self.number = number
        self.first: Directive | None = None  # the first line; of its values none unless it is `language`
        self.declarations: tuple[Directive, ...] = ()  # `env` and `define` lines
        self.languages: tuple[Problem, ...] = ()  # what each `language` line is, unless it is the first of all
        self.routes: tuple[Route, ...] = ()
        self.route_locations = array("I")
        self.texts: tuple[str, ...] = ()  # of keys
        self.keys: tuple[Key, ...] = ()
        self.key_locations = array("I")
        self.entries: tuple[Entry, ...] = ()  # of all other lines
        self.declared_names: tuple[
            DeclaredName, ...
        ] = ()  # what they name, and lines with a fault of their own, but keys
        self.faulty_keys: tuple[tuple[int, Lexeme], ...] = ()  # how many keys stand before it, and its text
        self.problems: tuple[Problem, ...] = ()  # of lines by themselves
        self.expansion: tuple[Problem, ...] = ()
        self.undeclared: tuple[tuple[str, Problem], ...] = ()  # values that are not there, the first of each
        self.lines = 0  # that were read or put in
        self.lost = False  # a line is no directive

    def route_lexeme(self, at: int) -> Lexeme:
        """The first word of a route's line."""
        return Lexeme("route", Location(*self.route_locations[3 * at : 3 * at + 3]))

    def key_lexeme(self, at: int) -> Lexeme:
        """The first word of a key's line."""
        return Lexeme("key", Location(*self.key_locations[3 * at : 3 * at + 3]))


class FileRecord:
    """One file: its digest, sections and includes in order, syntax errors, and what it looked up in other files."""

    __slots__ = ("digest", "items", "looked_up", "names", "problems", "used")

    def __init__(
        self,
        digest: bytes,
        items: tuple[Section | Directive, ...],
        problems: tuple[Problem, ...],
        expansion: Expansion,
        known: Declarations,
    ) -> None:
        """Create the record of a file that was expanded by the declarations `known`."""
        self.digest = digest
        self.items = items
        self.problems = problems
        self.used = expansion.used
        self.looked_up = {name: (value, name in known.unset) for name, value in expansion.looked_up.items()}
        # The message on a definition that does not exist suggests similar names, so it depends on all names.
        self.names = tuple(known.definitions) if None in expansion.used.values() else None

    def holds(self, known: Declarations) -> bool:
        """Return whether these definitions and values expand the file to the same lines."""
        return (
            all(known.definitions.get(name) is definition for name, definition in self.used.items())
            and all((known.values.get(name), name in known.unset) == found for name, found in self.looked_up.items())
            and (self.names is None or self.names == tuple(known.definitions))
        )


def build_file_record(
    data: bytes, digest: bytes, file: int, known: Declarations, before: FileRecord | None = None
) -> Generator[None, None, FileRecord]:
    """Build a file's record, in steps. Keys that are equal to those of the record before are the same objects."""
    return (yield from _RecordBuilder(file, known, before).run(data, digest))


class EntryRequest:
    """Routes and keys of one section, by their numbers in it, of which messages need the places of all words."""

    def __init__(self, section: Section, routes: Iterable[int], keys: Iterable[int]) -> None:
        """Create a request for entries of `section`, none of which is found yet."""
        self.section = section.number
        self.routes: dict[int, Entry] = {}
        self.keys: dict[int, Entry] = {}
        self.of_routes = frozenset(routes)
        self.of_keys = frozenset(keys)


def collect_entries(data: bytes, file: int, known: Declarations, wanted: EntryRequest) -> Generator[None, None, None]:
    """Read a file again and put the entries that are wanted into `wanted`."""
    yield from _RecordBuilder(file, known, wanted=wanted).run(data, b"")


def lines_of(data: bytes) -> Iterator[str]:
    """Yield the lines of a file, decoded in chunks; raises UnicodeDecodeError."""
    at = 3 if data.startswith(b"\xef\xbb\xbf") else 0
    while True:
        end = data.find(b"\n", at + DECODE_CHUNK_BYTES)
        yield from data[at : end if end >= 0 else len(data)].decode().split("\n")
        if end < 0:
            return
        at = end + 1


class _RecordBuilder:
    def __init__(
        self, file: int, known: Declarations, before: FileRecord | None = None, wanted: EntryRequest | None = None
    ) -> None:
        self._file = file
        self._known = known
        self._wanted = wanted
        self._keys: dict[str, tuple[str, Key]] = {}
        self._before = [] if before is None else [each for each in before.items if isinstance(each, Section)]

    def _begin(self) -> None:
        self._items: list[Section | Directive] = []
        self._expansion = Expansion(self._known)
        self._section: _SectionBuilder | None = None

    def run(self, data: bytes, digest: bytes) -> Generator[None, None, FileRecord]:
        """The record."""
        for section in self._before:
            for at, known in enumerate(zip(section.texts, section.keys, strict=True)):
                if at % KEYS_PER_STEP == 0:
                    yield
                self._keys[known[0]] = known
        problems = yield from self._clean(data)
        if problems is None:
            problems = yield from self._faulty(data)
        self._end_section()
        return FileRecord(digest, tuple(self._items), tuple(problems), self._expansion, self._known)

    def _clean(self, data: bytes) -> Generator[None, None, list[Problem] | None]:
        """Read a file without syntax errors, keeping no directive once it is processed.

        Returns:
            Its warnings; None where it has a syntax error, since recovery needs the whole tree.
        """
        self._begin()
        problems: list[Problem] = []
        parser, line_tokens, seen, work = Parser(problems), list[Token](), 0, 0
        try:
            for number, line in enumerate(lines_of(data), 1):
                if work >= LINES_PER_STEP * PLAIN_LINES_PER_LINE:
                    work = 0
                    yield
                if not line_tokens and parser.at_top_level and self._plain(line, number):
                    work += 1
                    continue
                work += PLAIN_LINES_PER_LINE
                if tokenize_line(line, number, self._file, line_tokens, problems):
                    parser.feed(line_tokens)
                    line_tokens.clear()
                    if len(problems) > seen:
                        if any(problem.severity is Severity.ERROR for problem in problems):
                            return None
                        seen = len(problems)
                    yield from self._take_all(parser.complete())
        except UnicodeDecodeError:
            return None
        parser.feed(line_tokens)
        document = parser.finish()
        if any(problem.severity is Severity.ERROR for problem in problems):
            return None
        yield from self._take_all(document.directives)
        return problems

    def _faulty(self, data: bytes) -> Generator[None, None, list[Problem]]:
        """Read a file with syntax errors: its whole tree first, and then its lines."""
        self._begin()
        text, problems = decode(data, self._file)
        yield
        parser, line_tokens = Parser(problems), list[Token]()
        for number, line in enumerate(text.split("\n"), 1):
            if number % LINES_PER_STEP == 0:
                yield
            if tokenize_line(line, number, self._file, line_tokens, problems):
                parser.feed(line_tokens)
                line_tokens.clear()
        parser.feed(line_tokens)
        document = parser.finish()
        yield
        yield from self._take_all(document.directives)
        return problems

    def _take_all(self, directives: Iterable[Directive]) -> Generator[None, None, None]:
        for number, directive in enumerate(directives, 1):
            if number % LINES_PER_STEP == 0:
                yield
            if directive.name.text == "include":
                self._end_section()
                self._items.append(directive)
                continue
            yield from self._open_section(directive).take(directive, self._expansion)

    def _open_section(self, first: Directive) -> _SectionBuilder:
        if self._section is None:
            number = sum(isinstance(each, Section) for each in self._items)
            wanted = self._wanted if self._wanted is not None and self._wanted.section == number else None
            self._section = _SectionBuilder(self._file, number, wanted, first, self._expansion, self._keys)
        return self._section

    def _plain(self, line: str, number: int) -> bool:
        """Add a plain route or key without lexing it; return False where the line is neither, and has to be lexed."""
        if self._wanted is not None or len(line) > MAX_LINE_LENGTH:
            return False
        if (found := _KEY.match(line)) is not None:
            indent, text, customer, plan = found.groups()
            lexeme = Lexeme("key", Location(self._file, number, len(indent) + 1))
            self._open_section(Directive(lexeme)).key(lexeme, text, Key(customer, intern(plan)))
        elif (found := _ROUTE.match(line)) is not None:
            indent, method, path, class_name, pool, host = found.groups()
            lexeme = Lexeme("route", Location(self._file, number, len(indent) + 1))
            try:
                PATH.read(Lexeme(path, lexeme.location))
                if host is not None:
                    HOST.read(Lexeme(host, lexeme.location))
            except InvalidValueError:
                return False
            self._open_section(Directive(lexeme)).route(
                lexeme, plain_route((method,), path, host or "*", class_name, pool)
            )
        else:
            return False
        self._expansion.lines += 1
        return True

    def _end_section(self) -> None:
        if self._section is not None:
            self._items.append(self._section.closed(self._expansion))
            self._section = None


class _SectionBuilder:
    """A section while its lines are taken in."""

    def __init__(
        self,
        file: int,
        number: int,
        wanted: EntryRequest | None,
        first: Directive,
        expansion: Expansion,
        keys_before: Mapping[str, tuple[str, Key]],
    ) -> None:
        self._wanted = wanted
        self._section = Section(file, number)
        self._keys_before = keys_before
        self._lines_before = expansion.lines
        self._known_before = len(expansion.undeclared)
        self._section.first = first if first.name.text == "language" else Directive(first.name)
        self._problems: list[Problem] = []
        self._reader = LineReader(self._problems)
        self._declarations: list[Directive] = []
        self._languages: list[Problem] = []
        self._routes: list[Route] = []
        self._texts: list[str] = []
        self._keys: list[Key] = []
        self._entries: list[Entry] = []
        self._declared_names: list[DeclaredName] = []
        self._faulty_keys: list[tuple[int, Lexeme]] = []

    def take(self, directive: Directive, expansion: Expansion) -> Generator[None, None, None]:
        """Add one line."""
        name = directive.name.text
        if name in ("env", "define"):
            self._declarations.append(directive)
        elif name == "language":
            self._reader.read(directive)
            self._languages.append(self._problems.pop())
        else:
            for count, line in enumerate(expansion.expand(directive)):
                if count % LINES_PER_STEP == LINES_PER_STEP - 1:
                    yield
                if line is not None:
                    self._line(line)

    def _line(self, line: Directive) -> None:
        entry, declared = self._reader.read(line)
        if entry is None:
            if declared is not None and declared.directive != "key":
                self._declared_names.append(declared)
            elif declared is not None and declared.first is not None:
                self._faulty_keys.append((len(self._keys), declared.first))
        elif entry.name == "route":
            if self._wanted is not None and len(self._routes) in self._wanted.of_routes:
                self._wanted.routes[len(self._routes)] = entry
            self.route(entry.lexeme, route(entry))
        elif entry.name == "key":
            if self._wanted is not None and len(self._keys) in self._wanted.of_keys:
                self._wanted.keys[len(self._keys)] = entry
            self.key(entry.lexeme, entry.arguments["key"], key(entry))
        else:
            self._entries.append(entry)
            self._declared_names.append(declared)

    def route(self, lexeme: Lexeme, route: Route) -> None:
        """Add a route."""
        self._routes.append(route)
        self._section.route_locations.extend(lexeme.location)

    def key(self, lexeme: Lexeme, text: str, key: Key) -> None:
        """Add a key, as the same object as in the record before.

        The table of keys refers to the objects of that record; equal copies would take memory twice.
        """
        known = self._keys_before.get(text)
        if known is not None and known[1] == key:
            text, key = known
        self._texts.append(text)
        self._keys.append(key)
        self._section.key_locations.extend(lexeme.location)

    def closed(self, expansion: Expansion) -> Section:
        """Return the section, with the problems of its expansion."""
        section = self._section
        section.declarations = tuple(self._declarations)
        section.languages = tuple(self._languages)
        section.routes = tuple(self._routes)
        section.texts = tuple(self._texts)
        section.keys = tuple(self._keys)
        section.entries = tuple(self._entries)
        section.declared_names = tuple(self._declared_names)
        section.faulty_keys = tuple(self._faulty_keys)
        section.problems = tuple(self._problems)
        section.expansion = tuple(expansion.problems)
        section.lost = self._reader.lost
        section.undeclared = tuple(list(expansion.undeclared.items())[self._known_before :])
        section.lines = expansion.lines - self._lines_before
        expansion.problems.clear()
        return section


def format_location(paths: Mapping[int, str], location: Location) -> str:
    """Return file:line:column."""
    return f"{paths.get(location.file, '?')}:{location.line}:{location.column}"
