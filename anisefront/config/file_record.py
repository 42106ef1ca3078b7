"""Record of one settings file, which is reused while the content of the file does not change.

It has routes and keys in their final form, with their locations, and all other lines as entries, but no text, tokens or
tree. Free of I/O; built in steps.
"""

from __future__ import annotations

import re
from array import array
from collections.abc import Generator, Iterable, Iterator, Mapping
from sys import intern

from anisefront.config.checker import DeclaredName, LineReader
from anisefront.config.config_builder import Entry, key, plain_route, route
from anisefront.config.definitions import Declarations, Expansion
from anisefront.config.lexer import MAX_LINE_LENGTH, Lexeme, Location, Problem, Severity, Token, decode, tokenize_line
from anisefront.config.parser import Directive, Parser
from anisefront.config.values import HOST, PATH, InvalidValueError
from anisefront.gateway.routes import Key, Route

LINES_PER_STEP = 4  # lines of a file that are read in one step; a line may be long, and a directive may span many
PLAIN_LINES_PER_LINE = 12  # plain lines that cost as much as one other line
# A large installation has thousands of routes and keys. Those without quotes, references and rare options match these
# patterns and are read without the lexer.
_WORD = r"([!%&'()*+\-./0-9:<=>?@A-Z^_`a-z|~]{1,4096})"
_NAME = r"([A-Za-z][A-Za-z0-9._-]{0,63})"
_KEY = re.compile(rf"([ \t]*)key[ \t]+{_WORD}[ \t]+customer[ \t]+{_WORD}[ \t]+plan[ \t]+{_NAME}[ \t]*\r?\Z")
_ROUTE = re.compile(
    rf"([ \t]*)route[ \t]+(\*|[A-Z][A-Z-]{{0,31}})[ \t]+{_WORD}[ \t]+class[ \t]+{_NAME}[ \t]+pool[ \t]+"
    rf"{_NAME}(?:[ \t]+host[ \t]+{_WORD})?[ \t]*\r?\Z"
)
KEYS_PER_STEP = 256  # keys of the previous record that are indexed in one step
DECODE_CHUNK_BYTES = 1 << 15  # bytes that are decoded at once, extended to the end of the line


class Section:
    """The lines of a file between two includes, after expansion. Immutable once it is built.

    `route_locations` and `key_locations` hold file, line and column of each entry as three successive numbers.
    """

    __slots__ = (
        "declarations",
        "declared_names",
        "entries",
        "expansion_problems",
        "file",
        "first_line",
        "has_unknown_directive",
        "invalid_keys",
        "key_locations",
        "key_texts",
        "keys",
        "language_problems",
        "line_count",
        "number",
        "problems",
        "route_locations",
        "routes",
        "undeclared",
    )

    def __init__(self, file: int, number: int) -> None:
        """Create an empty section with its number in the file."""
        self.file = file
        self.number = number
        self.first_line: Directive | None = None  # without values, unless it is `language`
        self.declarations: tuple[Directive, ...] = ()  # `env` and `define` lines
        self.language_problems: tuple[Problem, ...] = ()  # of each `language` line, even the first of the main file
        self.routes: tuple[Route, ...] = ()
        self.route_locations = array("I")
        self.key_texts: tuple[str, ...] = ()  # texts of `keys`
        self.keys: tuple[Key, ...] = ()
        self.key_locations = array("I")
        self.entries: tuple[Entry, ...] = ()  # of all other lines
        self.declared_names: tuple[DeclaredName, ...] = ()  # by entries and by invalid lines other than keys
        self.invalid_keys: tuple[tuple[int, Lexeme], ...] = ()  # number of valid keys before each, and its text
        self.problems: tuple[Problem, ...] = ()  # of single lines
        self.expansion_problems: tuple[Problem, ...] = ()
        self.undeclared: tuple[tuple[str, Problem], ...] = ()  # by name, the first problem of each undeclared value
        self.line_count = 0  # after expansion
        self.has_unknown_directive = False  # see LineReader

    def route_lexeme(self, position: int) -> Lexeme:
        """Return the name lexeme of a route's line."""
        return Lexeme("route", Location(*self.route_locations[3 * position : 3 * position + 3]))

    def key_lexeme(self, position: int) -> Lexeme:
        """Return the name lexeme of a key's line."""
        return Lexeme("key", Location(*self.key_locations[3 * position : 3 * position + 3]))


class FileRecord:
    """Record of a file: its digest, sections and includes in order, syntax problems, and look-ups in other files."""

    __slots__ = ("definition_names", "digest", "items", "looked_up", "problems", "used")

    def __init__(
        self,
        digest: bytes,
        items: tuple[Section | Directive, ...],
        problems: tuple[Problem, ...],
        expansion: Expansion,
        declarations: Declarations,
    ) -> None:
        """Create the record of a file that was expanded with `declarations`."""
        self.digest = digest
        self.items = items
        self.problems = problems
        self.used = expansion.used
        self.looked_up = {name: (value, name in declarations.unset) for name, value in expansion.looked_up.items()}
        # The problem of an undefined definition suggests similar names, so it depends on the names of all definitions.
        self.definition_names = tuple(declarations.definitions) if None in expansion.used.values() else None

    def is_current(self, declarations: Declarations) -> bool:
        """Return whether expansion with these definitions and values gives the same lines."""
        return (
            all(declarations.definitions.get(name) is definition for name, definition in self.used.items())
            and all(
                (declarations.values.get(name), name in declarations.unset) == found
                for name, found in self.looked_up.items()
            )
            and (self.definition_names is None or self.definition_names == tuple(declarations.definitions))
        )


def build_file_record(
    data: bytes, digest: bytes, file: int, declarations: Declarations, previous: FileRecord | None = None
) -> Generator[None, None, FileRecord]:
    """Build the record of a file, in steps. Keys that equal those of the previous record are the same objects."""
    return (yield from _RecordBuilder(file, declarations, previous).run(data, digest))


class EntryRequest:
    """Request for entries of routes and keys of one section, whose messages need the locations of all values.

    Attributes:
        section: Number of the section in its file.
        routes: The entries of requested routes found so far, by their numbers in the section.
        keys: The entries of requested keys found so far, by their numbers in the section.
    """

    def __init__(self, section: Section, routes: Iterable[int], keys: Iterable[int]) -> None:
        """Create a request for the routes and keys with these numbers."""
        self.section = section.number
        self.routes: dict[int, Entry] = {}
        self.keys: dict[int, Entry] = {}
        self.route_numbers = frozenset(routes)
        self.key_numbers = frozenset(keys)


def collect_entries(
    data: bytes, file: int, declarations: Declarations, request: EntryRequest
) -> Generator[None, None, None]:
    """Read a file again and add the requested entries to `request`."""
    yield from _RecordBuilder(file, declarations, request=request).run(data, b"")


def lines_of(data: bytes) -> Iterator[str]:
    """Yield the lines of a file, decoded in chunks; raises UnicodeDecodeError."""
    position = 3 if data.startswith(b"\xef\xbb\xbf") else 0
    while True:
        end = data.find(b"\n", position + DECODE_CHUNK_BYTES)
        yield from data[position : end if end >= 0 else len(data)].decode().split("\n")
        if end < 0:
            return
        position = end + 1


class _RecordBuilder:
    def __init__(
        self,
        file: int,
        declarations: Declarations,
        previous: FileRecord | None = None,
        request: EntryRequest | None = None,
    ) -> None:
        self._file = file
        self._declarations = declarations
        self._request = request
        self._keys: dict[str, tuple[str, Key]] = {}
        self._previous_sections = (
            [] if previous is None else [each for each in previous.items if isinstance(each, Section)]
        )

    def _reset(self) -> None:
        self._items: list[Section | Directive] = []
        self._expansion = Expansion(self._declarations)
        self._section: _SectionBuilder | None = None

    def run(self, data: bytes, digest: bytes) -> Generator[None, None, FileRecord]:
        """Build the record, in steps."""
        for section in self._previous_sections:
            for position, known in enumerate(zip(section.key_texts, section.keys, strict=True)):
                if position % KEYS_PER_STEP == 0:
                    yield
                self._keys[known[0]] = known
        problems = yield from self._read_valid_file(data)
        if problems is None:
            problems = yield from self._read_invalid_file(data)
        self._end_section()
        return FileRecord(digest, tuple(self._items), tuple(problems), self._expansion, self._declarations)

    def _read_valid_file(self, data: bytes) -> Generator[None, None, list[Problem] | None]:
        """Read a file without syntax errors; directives are released once they are processed.

        Returns:
            Its warnings; None if it has a syntax error, since error recovery needs the whole tree.
        """
        self._reset()
        problems: list[Problem] = []
        parser, line_tokens, problem_count, work = Parser(problems), list[Token](), 0, 0
        try:
            for number, line in enumerate(lines_of(data), 1):
                if work >= LINES_PER_STEP * PLAIN_LINES_PER_LINE:
                    work = 0
                    yield
                if not line_tokens and parser.at_top_level and self._add_plain_line(line, number):
                    work += 1
                    continue
                work += PLAIN_LINES_PER_LINE
                if tokenize_line(line, number, self._file, line_tokens, problems):
                    parser.feed(line_tokens)
                    line_tokens.clear()
                    if len(problems) > problem_count:
                        if any(problem.severity is Severity.ERROR for problem in problems):
                            return None
                        problem_count = len(problems)
                    yield from self._add_directives(parser.complete())
        except UnicodeDecodeError:
            return None
        parser.feed(line_tokens)
        document = parser.finish()
        if any(problem.severity is Severity.ERROR for problem in problems):
            return None
        yield from self._add_directives(document.directives)
        return problems

    def _read_invalid_file(self, data: bytes) -> Generator[None, None, list[Problem]]:
        """Read a file with syntax errors: first parse all of it, then process its lines."""
        self._reset()
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
        yield from self._add_directives(document.directives)
        return problems

    def _add_directives(self, directives: Iterable[Directive]) -> Generator[None, None, None]:
        for number, directive in enumerate(directives, 1):
            if number % LINES_PER_STEP == 0:
                yield
            if directive.name.text == "include":
                self._end_section()
                self._items.append(directive)
                continue
            yield from self._open_section(directive).add_line(directive, self._expansion)

    def _open_section(self, first: Directive) -> _SectionBuilder:
        if self._section is None:
            number = sum(isinstance(each, Section) for each in self._items)
            request = self._request if self._request is not None and self._request.section == number else None
            self._section = _SectionBuilder(self._file, number, request, first, self._expansion, self._keys)
        return self._section

    def _add_plain_line(self, line: str, number: int) -> bool:
        """Add a plain route or key without lexing it; return False if the line is neither and must be lexed."""
        if self._request is not None or len(line) > MAX_LINE_LENGTH:
            return False
        if (found := _KEY.match(line)) is not None:
            indent, text, customer, plan = found.groups()
            lexeme = Lexeme("key", Location(self._file, number, len(indent) + 1))
            self._open_section(Directive(lexeme)).add_key(lexeme, text, Key(customer, intern(plan)))
        elif (found := _ROUTE.match(line)) is not None:
            indent, method, path, class_name, pool, host = found.groups()
            lexeme = Lexeme("route", Location(self._file, number, len(indent) + 1))
            try:
                PATH.read(Lexeme(path, lexeme.location))
                if host is not None:
                    HOST.read(Lexeme(host, lexeme.location))
            except InvalidValueError:
                return False
            self._open_section(Directive(lexeme)).add_route(
                lexeme, plain_route((method,), path, host or "*", class_name, pool)
            )
        else:
            return False
        self._expansion.line_count += 1
        return True

    def _end_section(self) -> None:
        if self._section is not None:
            self._items.append(self._section.finish(self._expansion))
            self._section = None


class _SectionBuilder:
    """Collects the lines of a section."""

    def __init__(
        self,
        file: int,
        number: int,
        request: EntryRequest | None,
        first: Directive,
        expansion: Expansion,
        previous_keys: Mapping[str, tuple[str, Key]],
    ) -> None:
        self._request = request
        self._section = Section(file, number)
        self._previous_keys = previous_keys
        self._first_line_count = expansion.line_count
        self._first_undeclared = len(expansion.undeclared)
        self._section.first_line = first if first.name.text == "language" else Directive(first.name)
        self._problems: list[Problem] = []
        self._reader = LineReader(self._problems)
        self._declarations: list[Directive] = []
        self._language_problems: list[Problem] = []
        self._routes: list[Route] = []
        self._key_texts: list[str] = []
        self._keys: list[Key] = []
        self._entries: list[Entry] = []
        self._declared_names: list[DeclaredName] = []
        self._invalid_keys: list[tuple[int, Lexeme]] = []

    def add_line(self, directive: Directive, expansion: Expansion) -> Generator[None, None, None]:
        """Add one line, expanded, in steps."""
        name = directive.name.text
        if name in ("env", "define"):
            self._declarations.append(directive)
        elif name == "language":
            self._reader.read(directive)
            self._language_problems.append(self._problems.pop())
        else:
            for count, line in enumerate(expansion.expand(directive)):
                if count % LINES_PER_STEP == LINES_PER_STEP - 1:
                    yield
                if line is not None:
                    self._add_entry(line)

    def _add_entry(self, line: Directive) -> None:
        entry, declared = self._reader.read(line)
        if entry is None:
            if declared is not None and declared.directive != "key":
                self._declared_names.append(declared)
            elif declared is not None and declared.first_value is not None:
                self._invalid_keys.append((len(self._keys), declared.first_value))
        elif entry.name == "route":
            if self._request is not None and len(self._routes) in self._request.route_numbers:
                self._request.routes[len(self._routes)] = entry
            self.add_route(entry.lexeme, route(entry))
        elif entry.name == "key":
            if self._request is not None and len(self._keys) in self._request.key_numbers:
                self._request.keys[len(self._keys)] = entry
            self.add_key(entry.lexeme, entry.arguments["key"], key(entry))
        else:
            self._entries.append(entry)
            self._declared_names.append(declared)

    def add_route(self, lexeme: Lexeme, route: Route) -> None:
        """Add a route."""
        self._routes.append(route)
        self._section.route_locations.extend(lexeme.location)

    def add_key(self, lexeme: Lexeme, text: str, key: Key) -> None:
        """Add a key, if possible as the same object as in the previous record.

        The key table refers to the objects of that record; equal copies would double the memory.
        """
        known = self._previous_keys.get(text)
        if known is not None and known[1] == key:
            text, key = known
        self._key_texts.append(text)
        self._keys.append(key)
        self._section.key_locations.extend(lexeme.location)

    def finish(self, expansion: Expansion) -> Section:
        """Complete the section and return it, with the problems of its expansion."""
        section = self._section
        section.declarations = tuple(self._declarations)
        section.language_problems = tuple(self._language_problems)
        section.routes = tuple(self._routes)
        section.key_texts = tuple(self._key_texts)
        section.keys = tuple(self._keys)
        section.entries = tuple(self._entries)
        section.declared_names = tuple(self._declared_names)
        section.invalid_keys = tuple(self._invalid_keys)
        section.problems = tuple(self._problems)
        section.expansion_problems = tuple(expansion.problems)
        section.has_unknown_directive = self._reader.has_unknown_directive
        section.undeclared = tuple(list(expansion.undeclared.items())[self._first_undeclared :])
        section.line_count = expansion.line_count - self._first_line_count
        expansion.problems.clear()
        return section


def format_location(paths: Mapping[int, str], location: Location) -> str:
    """Return file:line:column."""
    return f"{paths.get(location.file, '?')}:{location.line}:{location.column}"
