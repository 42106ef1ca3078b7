"""Checks loaded files in layers: syntax, names, types, references and, if these are valid, semantics.

The check continues after an error and reports each error once: it does not report problems that only follow from a line
that could not be read. It does no I/O; environment variables are passed in.
"""

from __future__ import annotations

from collections.abc import Container, Iterable, Iterator, Mapping
from dataclasses import dataclass, field
from typing import Any

from anisefront.config import route_checks, semantic_checks
from anisefront.config.config_builder import (
    Entry,
    EntryTable,
    UsageCounts,
    build_config,
    check_route,
    find_second_pool,
    key,
    multiple_pools_problem,
    route,
)
from anisefront.config.definitions import substitute
from anisefront.config.lexer import Lexeme, Location, Problem, Severity, problem_at
from anisefront.config.loader import LoadedSources
from anisefront.config.parser import Directive, List
from anisefront.config.schema import LANGUAGE, SCHEMA, VERSION, Argument, DirectiveSpec, Option
from anisefront.config.types import Config
from anisefront.config.values import RATE, SIZE, TIME, InvalidValueError, did_you_mean

MAX_PROBLEMS = 1000


@dataclass(slots=True)
class CheckResult:
    """Result of a check. `config` is None if an error was found."""

    loaded: LoadedSources
    entries: EntryTable
    config: Config | None
    problems: list[Problem] = field(default_factory=list)
    names: dict[str, dict[str, Lexeme]] = field(default_factory=dict)  # defined names, by directive

    @property
    def severity(self) -> Severity | None:
        """Severity of the most severe problem; None if there are none."""
        return max((problem.severity for problem in self.problems), default=None)


def check(loaded: LoadedSources, environment: Mapping[str, str] | None = None, notes: bool = True) -> CheckResult:
    """Check loaded files.

    Args:
        loaded: The files.
        environment: The variables that `env` lines may name.
        notes: Whether to look for notes, too, which compares each route with all others.
    """
    problems = list(loaded.problems)
    entries, names = EntryTable(), dict[str, dict[str, Lexeme]]()
    if check_version(loaded.directives[0] if loaded.directives else None, problems):
        lines = substitute(loaded.directives[1:], problems, environment or {})
        checker = _Checker(problems)
        entries, names = checker.run(lines), checker.names
    config = None
    if not has_errors(problems):
        config = _check_semantics(entries, problems, notes)
    return CheckResult(loaded, entries, config, sort_problems(problems, notes), names)


def has_errors(problems: Iterable[Problem]) -> bool:
    """Return whether one of the problems is an error."""
    return any(problem.severity is Severity.ERROR for problem in problems)


def sort_problems(problems: Iterable[Problem], notes: bool = True, hidden_count: int = 0) -> list[Problem]:
    """Return the problems by location, without duplicates and at most `MAX_PROBLEMS`.

    Args:
        problems: The problems found.
        notes: Whether to include notes.
        hidden_count: Number of further problems that were counted, but not located.
    """
    result = sorted(
        {problem for problem in problems if notes or problem.severity is not Severity.NOTE},
        key=lambda problem: (problem.location, -problem.severity, problem.message),
    )
    if len(result) + hidden_count > MAX_PROBLEMS:
        hidden_count += len(result) - MAX_PROBLEMS
        result = result[:MAX_PROBLEMS]
        result.append(
            Problem(result[-1].location, f"{hidden_count} more problems are not shown", "correct these first")
        )
    return result


def _check_semantics(entries: EntryTable, problems: list[Problem], notes: bool) -> Config | None:
    """Build the settings from entries that are valid by themselves; None if they contradict each other."""
    routes = tuple(route(entry) for entry in entries.all_of("route"))
    keys = {entry.arguments["key"]: key(entry) for entry in entries.all_of("key")}
    usage = UsageCounts.count(routes, keys.values())
    other = find_second_pool(usage)
    if other:
        conflicting_entry = next(entry for entry in entries.all_of("route") if entry.options["pool"] == other)
        problems.append(multiple_pools_problem(conflicting_entry.lexeme_of("pool"), usage))
    config = build_config(entries, usage, routes, keys, problems)
    if config is None or other:
        return None
    problems += semantic_checks.check_semantics(entries, config, usage)
    problems += semantic_checks.check_customer_plans(entries.all_of("key"))
    lexemes = [entry.lexeme for entry in entries.all_of("route")]
    problems += route_checks.check_routes(list(zip(lexemes, routes, strict=True)), notes)
    return None if has_errors(problems) else config


def check_version(first: Directive | None, problems: list[Problem]) -> bool:
    """Return whether the first line declares the supported version of the language; otherwise report it."""
    if first is None:
        if not problems:
            problems.append(
                Problem(Location(0, 1, 1), "there is nothing in it", f"begin with language {VERSION}", code="version")
            )
        return False
    words = [value.text for value in first.values]
    if first.name.text != "language":
        # All other problems are follow-up errors.
        problems[:] = [each for each in problems if each.code in ("include", "encoding")]
        problems.append(
            problem_at(
                first.name,
                "this is no version of the language that is read here",
                f"begin with language {VERSION}; anisefront config migrate turns version 1 into it",
                code="version",
            )
        )
        return False
    if words != [str(VERSION)]:
        problems.append(
            problem_at(
                first.values[0] if first.values and isinstance(first.values[0], Lexeme) else first.name,
                f"language {' '.join(words)[:20]} is not known here",
                f"language {VERSION} is",
                code="version",
            )
        )
        return False
    return True


@dataclass(frozen=True, slots=True)
class DeclaredName:
    """A name that a line defines. It counts even if the line is invalid, so that references to it are not reported."""

    directive: str
    lexeme: Lexeme
    first_value: Lexeme | None


class NameTable:
    """The names that all lines define, to find duplicate and missing ones."""

    def __init__(self) -> None:
        """Create an empty table."""
        self.by_directive: dict[str, dict[str, Lexeme]] = {name: {} for name in SCHEMA}
        self._first_lexemes: dict[str, Lexeme] = {}

    def add(self, declared: DeclaredName) -> Problem | None:
        """Add the name that a line defines.

        Returns:
            A problem if the line or the name may not occur again.
        """
        name, spec = declared.directive, SCHEMA[declared.directive]
        earlier = self._first_lexemes.get(name)
        if earlier is None:
            self._first_lexemes[name] = declared.lexeme
        elif not spec.repeatable:
            return problem_at(
                declared.lexeme,
                f"{name!r} stands twice, first in line {earlier.location.line}",
                "keep one",
                code="twice",
            )
        if not spec.repeatable or declared.first_value is None:
            return None
        known = self.by_directive[name].get(declared.first_value.text)
        if known is None:
            self.by_directive[name][declared.first_value.text] = declared.first_value
            return None
        return duplicate_name_problem(name, declared.first_value, known) if spec.unique else None

    def missing(self, present: Container[str] = ()) -> list[Problem]:
        """Return a problem for each required directive that is missing; `present` has directives counted elsewhere."""
        return [
            Problem(Location(0, 1, 1), f"there is no {name!r} line", f"such as {spec.example}", code="missing")
            for name, spec in SCHEMA.items()
            if spec.required and name not in self._first_lexemes and name not in present
        ]


def duplicate_name_problem(name: str, lexeme: Lexeme, first: Lexeme) -> Problem:
    """Return the problem of a name that is defined twice."""
    return problem_at(
        lexeme,
        f"{name} {lexeme.text!r} stands twice, first in line {first.location.line}",
        "give it another name, or remove one",
        code="twice",
    )


def find_undefined_references(entry: Entry, names: Mapping[str, Iterable[str]]) -> Iterator[Problem]:
    """Find the names that an entry refers to and that are not defined."""
    for name, option in SCHEMA[entry.name].options.items():
        value = entry.options.get(name)
        if option.refers_to and value is not None and value not in names[option.refers_to]:
            known = list(names[option.refers_to])
            yield problem_at(
                entry.lexemes[name],
                f"there is no {option.refers_to} {value!r}",
                did_you_mean(value, known) or (f"known are {', '.join(known[:8])}" if known else ""),
                code="reference",
            )


class _Checker:
    def __init__(self, problems: list[Problem]) -> None:
        self._problems, self._names = problems, NameTable()
        self.names = self._names.by_directive

    def run(self, lines: list[Directive]) -> EntryTable:
        """Return all entries that can be read, and append to the problems."""
        entries, reader = EntryTable(), LineReader(self._problems)
        has_earlier_errors = has_errors(self._problems)  # an unreadable line may be the missing one
        for line in lines:
            entry, declared = reader.read(line)
            if entry is not None:
                entries.add(entry)
            if declared is not None and (problem := self._names.add(declared)) is not None:
                self._problems.append(problem)
        for entry in entries.all():
            self._problems += find_undefined_references(entry, self.names)
        if not has_earlier_errors and not reader.has_unknown_directive:
            self._problems += self._names.missing()
        return entries


class LineReader:
    """Reads lines independently of each other and appends to `problems`."""

    def __init__(self, problems: list[Problem]) -> None:
        """Create a reader that reports to `problems`."""
        self._problems = problems
        self.has_unknown_directive = False  # it may be a misspelled required directive

    def read(self, line: Directive) -> tuple[Entry | None, DeclaredName | None]:
        """Read a line.

        Returns:
            Its entry if the whole line is valid, and the name that it defines.
        """
        name = line.name.text
        spec = SCHEMA.get(name)
        if spec is None:
            if name in LANGUAGE:
                suggestion = "it belongs at the top of a file" if name != "language" else "it stands once, at the top"
                self._problems.append(problem_at(line.name, f"{name!r} can't stand here", suggestion, code="directive"))
            else:
                self._problems.append(
                    problem_at(
                        line.name,
                        f"{name[:60]!r} is no directive",
                        did_you_mean(name, [*SCHEMA, *LANGUAGE]),
                        code="directive",
                    )
                )
                self.has_unknown_directive = True
            return None, None
        first = line.values[0] if line.values and isinstance(line.values[0], Lexeme) else None
        return None if line.has_syntax_error else self._read_entry(line, spec), DeclaredName(name, line.name, first)

    def _read_entry(self, line: Directive, spec: DirectiveSpec) -> Entry | None:
        name, before = line.name.text, len(self._problems)
        entry = Entry(name, line.name)
        remaining = self._read_arguments(line, spec, entry)
        if remaining is None:
            return None
        self._read_options(line, remaining, spec, entry)
        for option, expected in spec.options.items():
            if expected.required and option not in entry.options and option not in entry.unreadable:
                self._problems.append(
                    problem_at(
                        line.name,
                        f"{name}: {option!r} is missing",
                        f"such as {option} {expected.type.example}",
                        code="missing",
                    )
                )
        if name == "route" and (problem := check_route(entry)) is not None:
            self._problems.append(problem)
        return entry if len(self._problems) == before else None

    def _read_arguments(self, line: Directive, spec: DirectiveSpec, entry: Entry) -> list[Lexeme | List] | None:
        remaining = list(line.values)
        for argument in spec.arguments:
            if (
                not remaining
                or isinstance(remaining[0], Lexeme)
                and remaining[0].text in spec.options
                and not remaining[0].quoted
                and argument is not spec.arguments[0]
            ):
                self._problems.append(
                    problem_at(
                        line.name,
                        f"{entry.name}: {argument.name} is missing",
                        f"such as {spec.example}",
                        code="arguments",
                    )
                )
                return None
            value, remaining = self._join_unit(remaining, argument.type, spec.options)
            entry.lexemes[argument.name] = value if isinstance(value, Lexeme) else Lexeme(value.text, value.location)
            entry.arguments[argument.name] = self._read_value(value, argument, f"{entry.name}: {argument.name}")
        return remaining

    def _join_unit(
        self, remaining: list[Lexeme | List], expected: Any, options: Mapping[str, Option]
    ) -> tuple[Any, list[Any]]:
        """Return the next value, joined with a unit that follows as a separate word, and the remaining values."""
        value = remaining[0]
        if (
            expected in (TIME, RATE, SIZE)
            and len(remaining) > 1
            and isinstance(value, Lexeme)
            and isinstance(remaining[1], Lexeme)
            and value.text.replace(".", "", 1).isdigit()
            and remaining[1].text not in options
        ):
            joined = Lexeme(value.text + remaining[1].text, value.location)
            try:
                expected.read(joined)
            except InvalidValueError:
                return value, remaining[1:]
            return joined, remaining[2:]
        return value, remaining[1:]

    def _read_value(self, value: Lexeme | List, expected: Argument | Option, label: str) -> Any:
        if isinstance(value, List) and not expected.is_list:
            self._problems.append(
                problem_at(Lexeme("[", value.location), f"{label}: one value is due, not a list", "", code="value")
            )
            return None
        lexemes = [value] if isinstance(value, Lexeme) else value.items
        if expected.is_list and not lexemes:
            self._problems.append(
                problem_at(Lexeme("[", value.location), f"{label}: the list is empty", "", code="value")
            )
        result = []
        for lexeme in lexemes:
            try:
                result.append(expected.type.read(lexeme))
            except InvalidValueError as error:
                self._problems.append(problem_at(lexeme, f"{label}: {error.message}", error.suggestion, code="value"))
        return tuple(result) if expected.is_list else result[0] if result else None

    def _read_options(self, line: Directive, remaining: list[Lexeme | List], spec: DirectiveSpec, entry: Entry) -> None:
        while remaining:
            name = remaining[0]
            if isinstance(name, List):
                self._problems.append(
                    problem_at(Lexeme("[", name.location), f"{entry.name}: a list can't stand here", "", code="option")
                )
                return
            option = self._find_option(name, spec, entry)
            if option is None:
                return  # what follows cannot be assigned to options
            if len(remaining) < 2:
                self._problems.append(
                    problem_at(
                        name,
                        f"{entry.name}: {name.text!r} has no value",
                        f"such as {name.text} {option.type.example}",
                        code="option",
                    )
                )
                entry.unreadable.add(name.text)
                return
            value, remaining = self._join_unit(remaining[1:], option.type, spec.options)
            self._read_option(entry, name, option, value)
        for inner in line.block or ():
            option = self._find_option(inner.name, spec, entry)
            if option is None:
                continue
            values = list(inner.values)
            if not values or inner.block is not None:
                self._problems.append(
                    problem_at(
                        inner.name,
                        f"{entry.name}: {inner.name.text!r}: one value is due",
                        f"such as {inner.name.text} {option.type.example}",
                        code="option",
                    )
                )
                entry.unreadable.add(inner.name.text)
                continue
            value, extra = self._join_unit(values, option.type, {})
            if extra:
                lexeme = extra[0] if isinstance(extra[0], Lexeme) else Lexeme("[", extra[0].location)
                self._problems.append(
                    problem_at(
                        lexeme,
                        f"{entry.name}: {inner.name.text!r} takes one value",
                        "use [ ] for several" if option.is_list else "",
                        code="option",
                    )
                )
                entry.unreadable.add(inner.name.text)
                continue
            self._read_option(entry, inner.name, option, value)

    def _find_option(self, name: Lexeme, spec: DirectiveSpec, entry: Entry) -> Option | None:
        option = spec.options.get(name.text)
        if option is None:
            known = ", ".join(spec.options)
            suggestion = did_you_mean(name.text, list(spec.options)) or (
                f"known are {known}" if known else "it takes no options"
            )
            self._problems.append(
                problem_at(name, f"{entry.name}: {name.text[:60]!r} is not known here", suggestion, code="option")
            )
            entry.unreadable.update(spec.options)  # this may be the misspelled name of a required option
            return None
        if name.text in entry.seen:
            self._problems.append(
                problem_at(name, f"{entry.name}: {name.text!r} stands twice", "keep one", code="twice")
            )
        entry.seen.add(name.text)
        return option

    def _read_option(self, entry: Entry, name: Lexeme, option: Option, value: Lexeme | List) -> None:
        before = len(self._problems)
        read = self._read_value(value, option, f"{entry.name}: {name.text}")
        if len(self._problems) > before:
            entry.unreadable.add(name.text)
            return
        entry.options.setdefault(name.text, read)
        entry.lexemes.setdefault(name.text, value if isinstance(value, Lexeme) else Lexeme(value.text, value.location))
