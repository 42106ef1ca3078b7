"""One attempt to read all files of the settings, which reuses the records of unchanged files."""

from __future__ import annotations

import hashlib
from collections.abc import Generator, Mapping, Sequence
from dataclasses import dataclass

from anisefront.config.definitions import Declarations
from anisefront.config.file_record import EntryRequest, FileRecord, Section, build_file_record, collect_entries
from anisefront.config.lexer import Lexeme, Location, Problem
from anisefront.config.load_steps import ends_step
from anisefront.config.loader import IncludeWalk
from anisefront.config.parser import Directive
from anisefront.config.source_files import Files

HASH_CHUNK_BYTES = 1 << 18  # hashed in one step


class FileChangedError(Exception):
    """A file no longer has the content that this attempt read."""

    def __init__(self, path: str) -> None:
        """Create the error for the file at `path`."""
        super().__init__(path)
        self.path = path


@dataclass(slots=True)
class LoadedFile:
    """A file of one attempt. Locations refer to it by `number`, which stays the same while its path is in the store."""

    path: str
    number: int
    record: FileRecord
    included_at: Location | None


class RecordStore:
    """Records of files, retained from one load to the next.

    Attributes:
        environment: The variables that `env` lines may name.
        records: Records of the files of the last load and of the last valid one, by path.
        definitions: Definitions and values of the last load.
        numbers: Numbers of files by path, from 1. None is reused, since locations in retained records refer to them.
        last_number: The highest number so far.
    """

    def __init__(self, environment: Mapping[str, str]) -> None:
        """Create an empty store."""
        self.environment = environment
        self.records: dict[str, FileRecord] = {}
        self.definitions: Declarations | None = None
        self.numbers: dict[str, int] = {}
        self.last_number = 0
        self._valid: dict[str, FileRecord] = {}

    def number_of(self, path: str) -> int:
        """Return the number of a path, which is a new one if the path has none."""
        if path not in self.numbers:
            self.last_number += 1
            self.numbers[path] = self.last_number
        return self.numbers[path]

    def retain(self, files: Sequence[LoadedFile], is_valid: bool) -> None:
        """Evict the records of files that are neither in this load nor in the last valid one.

        An error in the main file can hide all others until it is corrected: without the records of the last valid load,
        all files would then have to be parsed again.
        """
        current = {file.path: file.record for file in files}
        if is_valid:
            self._valid = current
        self.records = {**self._valid, **current}
        if len(self.numbers) > len(self.records):
            self.numbers = {path: number for path, number in self.numbers.items() if path in self.records}


class LoadAttempt:
    """One attempt to read all files.

    The content of files is not retained. A file is read again for a message, or if definitions have changed, and must
    then have the same digest as before.

    Attributes:
        files: The files in effective order.
        order: The sections of all files in that order.
        problems: Problems of includes. Locations have the numbers of files in the store.
    """

    def __init__(self, store: RecordStore, disk: Files) -> None:
        """Prepare an attempt that reads `disk`."""
        self.files: list[LoadedFile] = []
        self.order: list[Section] = []
        self.problems: list[Problem] = []
        self._store = store
        self._disk = disk
        self._by_number: dict[int, LoadedFile] = {}
        self._positions: dict[int, int] = {0: 0}  # of files in this attempt, by their numbers in the store
        self._digest = hashlib.sha256()
        # Until all files are read, the definitions of the last load are assumed.
        self._collected_declarations = Declarations(store.environment)
        self._assumed_declarations = store.definitions or self._collected_declarations

    @property
    def digest(self) -> str:
        """Return the digest of the content of all files and of the locations of their includes."""
        return self._digest.hexdigest()

    @property
    def definitions(self) -> Declarations:
        """Return the definitions and values of all files."""
        return self._store.definitions

    def read(self, path: str) -> Generator[None, None, None]:
        """Read the file at `path` and all files that it includes, and build the records of those that changed."""
        walk = IncludeWalk(self._disk, self._add_file, self._format_location, self.problems)
        yield from walk.walk_file(path, None, ())
        self.order = walk.items

    def find_changed(self) -> Generator[None, None, str]:
        """Return the path of a file that changed since it was read; empty without one."""
        return (yield from self._disk.changed())

    def replace_stale_records(self) -> Generator[None, None, None]:
        """Rebuild the records that depend on definitions or values that have changed."""
        definitions = Declarations(self._store.environment)
        for number, section in enumerate(self.order):
            if ends_step(number):
                yield
            definitions.add(section.declarations)
        replaced: dict[int, Section] = {}
        yield
        for number, file in enumerate(self.files):
            if ends_step(number):
                yield
            if not file.record.is_current(definitions):
                yield from self._rebuild(file, definitions, replaced)
        if replaced:
            self.order = [replaced.get(id(section), section) for section in self.order]
        self._store.definitions = definitions

    def _rebuild(
        self, file: LoadedFile, definitions: Declarations, replaced: dict[int, Section]
    ) -> Generator[None, None, None]:
        data = yield from self.read_again(file)
        record = yield from build_file_record(data, file.record.digest, file.number, definitions, file.record)
        for old, new in zip(file.record.items, record.items, strict=True):
            if isinstance(old, Section):
                replaced[id(old)] = new
        file.record = record
        self._store.records[file.path] = record

    def read_again(self, file: LoadedFile) -> Generator[None, None, bytes]:
        """Read a file again and return its content.

        Raises:
            FileChangedError: The file can no longer be read, or its content has changed.
        """
        try:
            data = yield from self._disk.read(file.path)
        except OSError as error:
            raise FileChangedError(file.path) from error
        if (yield from _digest_of(data)) != file.record.digest:
            raise FileChangedError(file.path)
        return data

    def collect_entries(
        self, section: Section, routes: Sequence[int], keys: Sequence[int]
    ) -> Generator[None, None, EntryRequest]:
        """Return the entries of some routes and keys of a section, with the locations of all their values."""
        request = EntryRequest(section, routes, keys)
        if routes or keys:
            data = yield from self.read_again(self._by_number[section.file])
            yield from collect_entries(data, section.file, self.definitions, request)
        return request

    def localize(self, location: Location) -> Location:
        """Return a location that refers to its file by the position in this attempt."""
        return Location(self._positions[location.file], location.line, location.column)

    def _format_location(self, location: Location) -> str:
        file = self._by_number.get(location.file)
        return f"{file.path if file else '?'}:{location.line}:{location.column}"

    def _add_file(
        self, path: str, real_path: str, data: bytes, include: Lexeme | None
    ) -> Generator[None, None, tuple[Section | Directive, ...]]:
        number = self._store.number_of(path)
        digest = hashlib.sha256(data).digest() if len(data) <= HASH_CHUNK_BYTES else (yield from _digest_of(data))
        record = self._store.records.get(path)
        if record is None or record.digest != digest:
            yield
            record = yield from build_file_record(data, digest, number, self._assumed_declarations, record)
            self._store.records[path] = record
        file = LoadedFile(path, number, record, None if include is None else include.location)
        self._update_digest(file)
        self._positions[number] = len(self.files)
        self.files.append(file)
        self._by_number[number] = file
        if self._assumed_declarations is self._collected_declarations:
            for item in record.items:
                if isinstance(item, Section):
                    self._collected_declarations.add(item.declarations)
        return record.items

    def _update_digest(self, file: LoadedFile) -> None:
        location = file.included_at
        including_file = 0
        line = 0
        column = 0
        if location is not None:
            including_file = self._positions[location.file] + 1
            line = location.line
            column = location.column
        self._digest.update(b"%d %d %d " % (including_file, line, column) + file.record.digest)


def _digest_of(data: bytes) -> Generator[None, None, bytes]:
    """Return the digest of a file's content, in steps."""
    digest = hashlib.sha256(data[:HASH_CHUNK_BYTES])
    for offset in range(HASH_CHUNK_BYTES, len(data), HASH_CHUNK_BYTES):
        yield
        digest.update(data[offset : offset + HASH_CHUNK_BYTES])
    return digest.digest()
