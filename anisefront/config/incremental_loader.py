"""Incremental load of the settings file and of all files that it includes.

A gateway instance has one IncrementalLoader while it runs. Each load reads all files, since a time stamp does not
prove that a file is unchanged. Files with the same bytes as before are not lexed, parsed, expanded or checked again
(`file_record.py`); checks that span several files are repeated only where a change can affect them
(`cross_file_checks.py`). The result equals `checker.check(loader.load(path), environment, notes=False)`. A load runs
in short steps between other work and applies nothing.
"""

from __future__ import annotations

import hashlib
from collections.abc import Callable, Generator, Iterator, Mapping, Sequence
from dataclasses import dataclass, replace
from itertools import chain
from typing import Any

from anisefront.config import checker, messages, model, semantic_checks
from anisefront.config.cross_file_checks import CrossFileIndex
from anisefront.config.lexer import Place, Problem, Severity, Word, fault
from anisefront.config.loader import MOST_LINES, Disk, Files, Find, Globals, Load, Read, Source, Walk
from anisefront.config.checker import MOST_PROBLEMS, Names, references
from anisefront.config.model import Entry, Model
from anisefront.config.parser import Directive, Document
from anisefront.config.file_record import Section, FileRecord, Wanted, build_file_record, collect_entries, lines_of
from anisefront.config.types import Config
from anisefront.gateway.routes import Route
from anisefront.gateway.route_groups import changed_groups

MAX_ATTEMPTS = 3  # of one reading, while files change under it
SECTIONS_PER_STEP = 64  # that are gone through in one step
HASH_CHUNK_BYTES = 1 << 18  # bytes that are hashed at once


@dataclass(frozen=True, slots=True)
class LoadOutcome:
    """What one reading came to. Notes are left out: they are for a person, by `config check --notes`."""

    config: Config | None  # None where an error was found
    problems: tuple[Problem, ...]  # errors and warnings, in the order of their places
    texts: tuple[str, ...]  # the same as a person reads them, errors first
    digest: str  # of the bytes of all files in the order in which they count, and of where each was included
    parts: tuple[tuple[Route, ...], ...] = ()  # config.routes in pieces, for gateway/versions.py

    @property
    def errors(self) -> tuple[str, ...]:
        """The texts of the errors; empty where the settings can be taken."""
        count = sum(problem.severity is Severity.ERROR for problem in self.problems)
        return self.texts[:count]


@dataclass(slots=True)
class _File:
    """A file of one reading."""

    path: str
    number: int  # by which places name it, for as long as its path is known
    record: FileRecord
    asked_by: Place | None


class _FileChangedError(Exception):
    """A file has not the bytes any more that this reading read; its path."""


class IncrementalLoader:
    """`environment` holds what `env` may name. `read` and `find` (a glob) may be others, for texts in no file."""

    def __init__(
        self,
        path: str,
        environment: Mapping[str, str] | None = None,
        read: Read | None = None,
        find: Find | None = None,
    ) -> None:
        self.path, self._environment = path, {} if environment is None else environment
        self._files: Callable[[], Files] = Disk if read is None else lambda: Files(read, find)
        self._running: Generator[None, None, LoadOutcome] | None = None
        self._last, self._numbers = 0, dict[str, int]()  # of paths, from 1; none is given again
        self._records: dict[str, FileRecord] = {}  # by path: of the files of the last reading, and of the last good one
        self._good: dict[str, FileRecord] = {}
        self._known: Globals | None = None
        self._index, self._order, self._half_done = CrossFileIndex(), list[Section](), False

    def steps(self) -> Generator[None, None, LoadOutcome]:
        """Read all files anew; the outcome is what the generator returns. A reading before it that was not run to its
        end is given up."""
        if self._running is not None:
            self._running.close()
        self._running = self._steps()
        return self._running

    def _steps(self) -> Generator[None, None, LoadOutcome]:
        changed = ""
        for _ in range(MAX_ATTEMPTS):
            files = self._files()
            turn = _LoadAttempt(self, files)
            try:
                yield from turn.read()
                changed = yield from files.changed()
                if not changed:
                    yield from turn.put_in()
                    yield from self._take(turn.order)
                    return (yield from turn.outcome())
            except _FileChangedError as moved:
                changed = str(moved)
        what = f"{changed!r} changed while it was read, {MAX_ATTEMPTS} times"
        problem = Problem(Place(0, 1, 1), what, "let writing come to its end, then ask again", code="include")
        text = messages.text(Load([Source(self.path, "", Document([], []))]), problem)
        return LoadOutcome(None, (problem,), (text,), "")

    def _take(self, order: list[Section]) -> Generator[None, None, None]:
        """Bring what is kept across files to the parts of this reading."""
        if self._half_done:
            self._index, self._order = CrossFileIndex(), []
        self._half_done = True
        removed, added = changed_groups(self._order, order)
        yield
        yield from self._index.update(removed, added)
        self._order, self._half_done = order, False


class _LoadAttempt:
    """One reading. Bytes of files are not held: for a message, or where definitions have changed, a file is read once
    more, and must have the digest that it had."""

    def __init__(self, reading: IncrementalLoader, files: Files) -> None:
        self._reading, self._index, self._disk = reading, reading._index, files
        self.files: list[_File] = []
        self._by_number: dict[int, _File] = {}
        self._running: dict[int, int] = {0: 0}  # numbers of files in this reading
        self._problems: list[Problem] = []  # places name files by their numbers until the end
        self._digest = hashlib.sha256()
        self._more = 0  # problems that are known to be, beyond those that are told
        self._lost = False
        self.order: list[Section] = []
        # What was known of definitions and values before is the best guess until all files are read.
        self._gathered = Globals(reading._environment)
        self._guess = reading._known or self._gathered

    # ---- files -----------------------------------------------------------------------------------------------

    def read(self) -> Generator[None, None, None]:
        """Read all files, and make the records of those that are not as before."""
        walk = Walk(self._disk, self._take, self._where, self._problems)
        yield from walk.file(self._reading.path, None, ())
        self.order = walk.out

    def _where(self, place: Place) -> str:
        file = self._by_number.get(place.file)
        return f"{file.path if file else '?'}:{place.line}:{place.column}"

    def _take(
        self, path: str, real: str, data: bytes, asked: Word | None
    ) -> Generator[None, None, tuple[Section | Directive, ...]]:
        numbers, records = self._reading._numbers, self._reading._records
        if path not in numbers:
            self._reading._last += 1
            numbers[path] = self._reading._last
        number = numbers[path]
        digest = hashlib.sha256(data).digest() if len(data) <= HASH_CHUNK_BYTES else (yield from _digest(data))
        place = None if asked is None else asked.place
        known = records.get(path)
        if known is None or known.digest != digest:
            yield
            known = yield from build_file_record(data, digest, number, self._guess, known)
            records[path] = known
        file = _File(path, number, known, place)
        at = (0, 0, 0) if place is None else (self._running[place.file] + 1, place.line, place.column)
        self._digest.update(b"%d %d %d " % at + digest)
        self._running[number] = len(self.files)
        self.files.append(file)
        self._by_number[number] = file
        if self._guess is self._gathered:
            for item in known.items:
                if isinstance(item, Section):
                    self._gathered.add(item.globals)
        return known.items

    def _data(self, file: _File) -> Generator[None, None, bytes]:
        """The bytes of a file, once more."""
        try:
            data = yield from self._disk.read(file.path)
        except OSError as problem:
            raise _FileChangedError(file.path) from problem
        if (yield from _digest(data)) != file.record.digest:
            raise _FileChangedError(file.path)
        return data

    def put_in(self) -> Generator[None, None, None]:
        """Make those records anew that went by other definitions or values than there are."""
        known = Globals(self._reading._environment)
        for number, part in enumerate(self.order):
            if number % SECTIONS_PER_STEP == SECTIONS_PER_STEP - 1:
                yield
            known.add(part.globals)
        self._known, instead = known, dict[int, Section]()
        yield
        for number, file in enumerate(self.files):
            if number % SECTIONS_PER_STEP == SECTIONS_PER_STEP - 1:
                yield
            if not file.record.holds(known):
                data = yield from self._data(file)
                again = yield from build_file_record(data, file.record.digest, file.number, known, file.record)
                instead.update(
                    (id(old), new)
                    for old, new in zip(file.record.items, again.items, strict=True)
                    if isinstance(old, Section)
                )
                file.record = self._reading._records[file.path] = again
        if instead:
            self.order = [instead.get(id(part), part) for part in self.order]
        self._reading._known = known

    # ---- what is wrong ----------------------------------------------------------------------------------------

    def outcome(self) -> Generator[None, None, LoadOutcome]:
        """What the files come to."""
        self._index, config = self._reading._index, None
        parts = tuple(part.routes for part in self.order if part.routes)
        for file in self.files:
            self._problems += file.record.problems
        if checker.version(next((part.first for part in self.order), None), self._problems):
            names = yield from self._form()
            yield
            if not checker.faulty(self._problems):
                config = yield from self._meaning(names, parts)
        self._keep(config is not None)
        problems, texts = yield from self._told()
        return LoadOutcome(config, problems, texts, self._digest.hexdigest(), () if config is None else parts)

    def _keep(self, good: bool) -> None:
        """Forget the records of files that are neither in this reading nor in the last good one: a fault in the first
        file, which hides all others for a while, must not have them all read again."""
        reading, now = self._reading, {file.path: file.record for file in self.files}
        if good:
            reading._good = now
        reading._records = {**reading._good, **now}
        if len(reading._numbers) > len(reading._records):
            reading._numbers = {path: number for path, number in reading._numbers.items() if path in reading._records}

    def _form(self) -> Generator[None, None, Names]:
        """Faults of lines by themselves, of definitions, of names."""
        names, problems, undeclared, lines = Names(), self._problems, set[str](), 0
        problems += self._known.problems
        for number, part in enumerate(self.order):
            if number % SECTIONS_PER_STEP == SECTIONS_PER_STEP - 1:
                yield
            problems += part.expansion
            for name, problem in part.undeclared:
                if name not in undeclared:
                    undeclared.add(name)
                    problems.append(problem)
            if lines < MOST_LINES <= lines + part.lines and part.lines < MOST_LINES:  # else it was said of the part
                problems.append(
                    fault(part.first.name, f"definitions come to more than {MOST_LINES} lines", "", code="definition")
                )
            lines += part.lines
        self._lost = checker.faulty(problems)
        for number, part in enumerate(self.order):
            if number % SECTIONS_PER_STEP == SECTIONS_PER_STEP - 1:
                yield
            problems += part.problems
            problems += part.languages[1:] if number == 0 else part.languages
            self._lost = self._lost or part.lost
            for count, named in enumerate(part.named, 1):
                if count % SECTIONS_PER_STEP == 0:
                    yield
                if (problem := names.add(named)) is not None:
                    problems.append(problem)
        yield from self._doubled()
        yield from self._references(names)
        if not self._lost:
            stood = {"route": self._index.uses.classes, "key": self._index.keys}
            problems += names.missing({name for name, there in stood.items() if there})
        return names

    def _doubled(self) -> Generator[None, None, None]:
        """Keys that stand twice."""
        texts = {*self._index.duplicate_keys, *(word.text for part in self.order for _, word in part.faulty_keys)}
        first: dict[str, Word | None] = {}  # None for one whose place is not looked up
        told = 0
        for part in self.order if texts else ():
            places = yield from _places(part.texts, texts.__contains__)
            looked = yield from self._of(part, (), places[:MOST_PROBLEMS] if told < MOST_PROBLEMS else ())
            found = [(at - 0.5, word.text, word) for at, word in part.faulty_keys]
            found += (
                (at, part.texts[at], looked.keys[at].places["key"] if at in looked.keys else None) for at in places
            )
            for count, (_, text, word) in enumerate(sorted(found, key=lambda each: each[0])):
                if count % SECTIONS_PER_STEP == SECTIONS_PER_STEP - 1:
                    yield
                if text not in first:
                    first[text] = word
                elif word is None or first[text] is None:
                    self._more += 1
                else:
                    told += 1
                    self._problems.append(checker.twice("key", word, first[text]))

    def _references(self, names: Names) -> Generator[None, None, None]:
        """Names that are not there."""
        uses = self._index.uses
        for number, part in enumerate(self.order):
            if number % SECTIONS_PER_STEP == SECTIONS_PER_STEP - 1:
                yield
            for entry in part.entries:
                self._problems += references(entry, names.of)
        plans, classes, pools = (
            {name for name in used if name not in names.of[kind]}
            for kind, used in (("plan", uses.plans), ("class", uses.classes), ("pool", uses.pools))
        )
        told, more = (
            0,
            sum(uses.plans[name] for name in plans)
            + sum(uses.classes[name] for name in classes)
            + sum(uses.pools[name] for name in pools),
        )
        for part in self.order if more else ():
            routes = yield from _places(part.routes, lambda route: route.class_name in classes or route.pool in pools)
            keys = yield from _places(part.keys, lambda key: key.plan in plans)
            looked = yield from self._of(part, routes[:MOST_PROBLEMS], keys[:MOST_PROBLEMS])
            for entry in chain(looked.routes.values(), looked.keys.values()):
                yield
                found = list(references(entry, names.of))
                self._problems += found
                told += len(found)
            if told >= MOST_PROBLEMS:
                break
        self._more += more - told

    def _of(self, part: Section, routes: Sequence[int], keys: Sequence[int]) -> Generator[None, None, Wanted]:
        """The entries of some of a part's routes and keys, with the places of their words: its file is read again."""
        wanted = Wanted(part, routes, keys)
        if routes or keys:
            data = yield from self._data(self._by_number[part.file])
            yield from collect_entries(data, part.file, self._known, wanted)
        return wanted

    def _meaning(self, names: Names, parts: tuple[tuple[Route, ...], ...]) -> Generator[None, None, Config | None]:
        """The settings, where lines are right by themselves; None where they contradict each other."""
        index, problems, rest = self._index, self._problems, Model()
        for part in self.order:
            for entry in part.entries:
                rest.add(entry)
        yield
        other = model.second_pool(index.uses)
        if other:
            for part in self.order:
                found = yield from _places(part.routes, lambda route: route.pool == other)
                if found:
                    looked = yield from self._of(part, found[:1], ())
                    problems.append(model.pools_fault(looked.routes[found[0]].place("pool"), index.uses))
                    break
        config = model.build(rest, index.uses, tuple(chain.from_iterable(parts)), index.keys.table(), problems)
        yield
        if config is None or other:
            return None
        problems += semantic_checks.check_semantics(rest, config, index.uses)
        yield
        if index.customers_on_two_plans:
            yield from self._split()
        yield from index.check_changed_groups({part: number for number, part in enumerate(self.order)})
        problems += chain.from_iterable(index.problems.values())
        return None if checker.faulty(problems) else config

    def _split(self) -> Generator[None, None, None]:
        """Customers on two plans; beyond twice as many keys as problems are shown, the rest is not counted."""
        found: list[Entry] = []
        for part in self.order:
            places = yield from _places(part.keys, lambda key: key.customer in self._index.customers_on_two_plans)
            if len(found) < 2 * MOST_PROBLEMS:
                looked = yield from self._of(part, (), places[: 2 * MOST_PROBLEMS])
                found += looked.keys.values()
        self._problems += semantic_checks.check_customer_plans(found)

    # ---- what is told -----------------------------------------------------------------------------------------

    def _told(self) -> Generator[None, None, tuple[tuple[Problem, ...], tuple[str, ...]]]:
        """The problems with files by their numbers in this reading, and their texts."""

        def now(place: Place) -> Place:
            return Place(self._running[place.file], place.line, place.column)

        problems = checker.arranged(
            (replace(each, place=now(each.place)) for each in self._problems), False, self._more
        )
        if not problems:
            return (), ()
        yield
        load = _Shown(
            [
                Source(file.path, "", Document([], []), None if file.asked_by is None else now(file.asked_by))
                for file in self.files
            ]
            or [Source("settings", "", Document([], []))]
        )
        wanted: dict[int, set[int]] = {}
        for problem in problems:
            wanted.setdefault(problem.place.file, set()).add(problem.place.line)
        for number, lines in wanted.items():
            if number < len(self.files):
                yield from load.look_up(number, lines, (yield from self._data(self.files[number])))
        texts = []
        for problem in sorted(problems, key=lambda each: -each.severity):
            yield
            texts.append(messages.text(load, problem))
        return tuple(problems), tuple(texts)


def _digest(data: bytes) -> Generator[None, None, bytes]:
    """The digest of a file's bytes, in steps."""
    whole = hashlib.sha256(data[:HASH_CHUNK_BYTES])
    for at in range(HASH_CHUNK_BYTES, len(data), HASH_CHUNK_BYTES):
        yield
        whole.update(data[at : at + HASH_CHUNK_BYTES])
    return whole.digest()


def _places(values: tuple[Any, ...], wanted: Callable[[Any], bool]) -> Generator[None, None, list[int]]:
    """Where the values that are wanted stand, in steps."""
    out = []
    for at, value in enumerate(values):
        if at % (4 * SECTIONS_PER_STEP) == 0:
            yield
        if wanted(value):
            out.append(at)
    return out


class _Shown(Load):
    """A load that knows those of its lines that are shown."""

    def __init__(self, sources: list[Source]) -> None:
        super().__init__(sources)
        self._lines: dict[tuple[int, int], str] = {}

    def line(self, place: Place) -> str:
        """The text of a line."""
        return self._lines.get(place[:2], "")

    def look_up(self, file: int, lines: set[int], data: bytes) -> Generator[None, None, None]:
        """Find lines of a file."""
        last = max(lines)
        for number, line in enumerate(_shown_lines(data), 1):
            if number % SECTIONS_PER_STEP == 0:
                yield
            if number in lines:
                self._lines[file, number] = line.removesuffix("\r")
            if number >= last:
                return


def _shown_lines(data: bytes) -> Iterator[str]:
    if data.startswith((b"\xff\xfe", b"\xfe\xff")):
        return
    try:
        yield from lines_of(data)
    except UnicodeDecodeError:
        yield from data.removeprefix(b"\xef\xbb\xbf").decode("utf-8", "replace").split("\n")
