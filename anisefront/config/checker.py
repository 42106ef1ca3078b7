"""From a load to settings, in layers: form, names, types, references, and - where these hold - meaning.

It goes on after a fault and says each once: what depends on a line that could not be read is not complained of.
Free of I/O; the environment is handed in.
"""

from __future__ import annotations

from collections.abc import Container, Iterable, Iterator, Mapping
from dataclasses import dataclass, field
from typing import Any

from anisefront.config import route_checks, semantic_checks
from anisefront.config.definitions import substitute
from anisefront.config.lexer import Lexeme, Location, Problem, Severity, problem_at
from anisefront.config.loader import LoadedSources
from anisefront.config.model import (
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
from anisefront.config.parser import Directive, List
from anisefront.config.schema import LANGUAGE, SCHEMA, VERSION, Argument, DirectiveSpec, Option
from anisefront.config.types import Config
from anisefront.config.values import RATE, SIZE, TIME, InvalidValueError, did_you_mean

MAX_PROBLEMS = 1000


@dataclass(slots=True)
class CheckResult:
    """What a check came to. `config` is None where an error was found."""

    loaded: LoadedSources
    entries: EntryTable
    config: Config | None
    problems: list[Problem] = field(default_factory=list)
    names: dict[str, dict[str, Lexeme]] = field(default_factory=dict)  # what is defined, by directive and name

    @property
    def severity(self) -> Severity | None:
        """The gravest of the problems, None without any."""
        return max((problem.severity for problem in self.problems), default=None)


def check(load: LoadedSources, environment: Mapping[str, str] | None = None, notes: bool = True) -> CheckResult:
    """Check a load. `environment` holds the variables that `env` may name. Without notes less is looked for."""
    problems = list(load.problems)
    model, names = EntryTable(), dict[str, dict[str, Lexeme]]()
    if check_version(load.directives[0] if load.directives else None, problems):
        lines = substitute(load.directives[1:], problems, environment or {})
        checker = _Checker(problems)
        model, names = checker.run(lines), checker.names
    config = None
    if not has_errors(problems):
        config = _build_config(model, problems, notes)
    return CheckResult(load, model, config, sort_problems(problems, notes), names)


def has_errors(problems: Iterable[Problem]) -> bool:
    """Whether one of them is an error."""
    return any(problem.severity is Severity.ERROR for problem in problems)


def sort_problems(problems: Iterable[Problem], notes: bool = True, more: int = 0) -> list[Problem]:
    """Problems in the order of their places, each once, at most so many; `more` are known to be and not at hand."""
    out = sorted(
        {problem for problem in problems if notes or problem.severity is not Severity.NOTE},
        key=lambda problem: (problem.location, -problem.severity, problem.message),
    )
    if len(out) + more > MAX_PROBLEMS:
        more += len(out) - MAX_PROBLEMS
        out = out[:MAX_PROBLEMS]
        out.append(Problem(out[-1].location, f"{more} more problems are not shown", "mend these first"))
    return out


def _build_config(model: EntryTable, problems: list[Problem], notes: bool) -> Config | None:
    """The settings that entries without a fault of their own come to; None where they contradict each other."""
    routes = tuple(route(entry) for entry in model.all_of("route"))
    keys = {entry.arguments["key"]: key(entry) for entry in model.all_of("key")}
    usage = UsageCounts.count(routes, keys.values())
    other = find_second_pool(usage)
    if other:
        at = next(entry for entry in model.all_of("route") if entry.options["pool"] == other)
        problems.append(multiple_pools_problem(at.lexeme_of("pool"), usage))
    config = build_config(model, usage, routes, keys, problems)
    if config is None or other:
        return None
    problems += semantic_checks.check_semantics(model, config, usage)
    problems += semantic_checks.check_customer_plans(model.all_of("key"))
    words = [entry.lexeme for entry in model.all_of("route")]
    problems += route_checks.check_routes(list(zip(words, routes, strict=True)), notes)
    return None if has_errors(problems) else config


def check_version(first: Directive | None, problems: list[Problem]) -> bool:
    """Whether the first line says that what follows is of the version that is read here."""
    if first is None:
        if not problems:
            problems.append(
                Problem(Location(0, 1, 1), "there is nothing in it", f"begin with language {VERSION}", code="version")
            )
        return False
    words = [value.text for value in first.values]
    if first.name.text != "language":
        problems[:] = [each for each in problems if each.code in ("include", "encoding")]  # the rest follows from it
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
    """A line that names something, also where it is faulty: references to it are then no fault of theirs."""

    directive: str
    lexeme: Lexeme
    first: Lexeme | None  # its first value


class NameTable:
    """What is named by all lines, and what stands twice."""

    def __init__(self) -> None:
        """Create the names of no lines."""
        self.by_directive: dict[str, dict[str, Lexeme]] = {name: {} for name in SCHEMA}
        self._stood: dict[str, Lexeme] = {}

    def add(self, declared: DeclaredName) -> Problem | None:
        """Take a line's names in; a problem where they stand already."""
        name, spec = declared.directive, SCHEMA[declared.directive]
        stood = self._stood.get(name)
        if stood is None:
            self._stood[name] = declared.lexeme
        elif not spec.repeatable:
            return problem_at(
                declared.lexeme, f"{name!r} stands twice, first in line {stood.location.line}", "keep one", code="twice"
            )
        if not spec.repeatable or declared.first is None:
            return None
        known = self.by_directive[name].get(declared.first.text)
        if known is None:
            self.by_directive[name][declared.first.text] = declared.first
            return None
        return duplicate_name_problem(name, declared.first, known) if spec.unique else None

    def missing(self, stood: Container[str] = ()) -> list[Problem]:
        """The lines that must stand and do not."""
        return [
            Problem(Location(0, 1, 1), f"there is no {name!r} line", f"such as {spec.example}", code="missing")
            for name, spec in SCHEMA.items()
            if spec.required and name not in self._stood and name not in stood
        ]


def duplicate_name_problem(name: str, lexeme: Lexeme, first: Lexeme) -> Problem:
    """What is said of a name that stands already."""
    return problem_at(
        lexeme,
        f"{name} {lexeme.text!r} stands twice, first in line {first.location.line}",
        "give it another name, or remove one",
        code="twice",
    )


def find_undefined_references(entry: Entry, names: Mapping[str, Iterable[str]]) -> Iterator[Problem]:
    """The names that an entry refers to and that are not there."""
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
        """All entries that can be read; what is wrong goes to the problems."""
        model, reader = EntryTable(), LineReader(self._problems)
        lost = has_errors(self._problems)  # a warning hides no line: without an error all that must stand does
        for line in lines:
            entry, declared = reader.read(line)
            if entry is not None:
                model.add(entry)
            if declared is not None and (problem := self._names.add(declared)) is not None:
                self._problems.append(problem)
        for entry in model.all():
            self._problems += find_undefined_references(entry, self.names)
        if not lost and not reader.lost:
            self._problems += self._names.missing()
        return model


class LineReader:
    """Reads lines, each by itself; what is wrong goes to `problems`."""

    def __init__(self, problems: list[Problem]) -> None:
        """Create a reader that reports to `problems`."""
        self._problems = problems
        self.lost = False  # a line is no directive, so that what it was meant to be may be missed

    def read(self, line: Directive) -> tuple[Entry | None, DeclaredName | None]:
        """A line's entry where all of it can be read, and what it names."""
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
                self.lost = True
            return None, None
        first = line.values[0] if line.values and isinstance(line.values[0], Lexeme) else None
        return None if line.has_syntax_error else self._entry(line, spec), DeclaredName(name, line.name, first)

    def _entry(self, line: Directive, spec: DirectiveSpec) -> Entry | None:
        name, before = line.name.text, len(self._problems)
        entry = Entry(name, line.name)
        rest = self._arguments(line, spec, entry)
        if rest is None:
            return None
        self._options(line, rest, spec, entry)
        for option, wanted in spec.options.items():
            if wanted.required and option not in entry.options and option not in entry.unread:
                self._problems.append(
                    problem_at(
                        line.name,
                        f"{name}: {option!r} is missing",
                        f"such as {option} {wanted.type.example}",
                        code="missing",
                    )
                )
        if name == "route" and (problem := check_route(entry)) is not None:
            self._problems.append(problem)
        return entry if len(self._problems) == before else None

    def _arguments(self, line: Directive, spec: DirectiveSpec, entry: Entry) -> list[Lexeme | List] | None:
        rest = list(line.values)
        for argument in spec.arguments:
            if (
                not rest
                or isinstance(rest[0], Lexeme)
                and rest[0].text in spec.options
                and not rest[0].quoted
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
            value, rest = self._joined(rest, argument.type, spec.options)
            entry.lexemes[argument.name] = value if isinstance(value, Lexeme) else Lexeme(value.text, value.location)
            entry.arguments[argument.name] = self._value(value, argument, f"{entry.name}: {argument.name}")
        return rest

    def _joined(self, rest: list[Lexeme | List], wanted: Any, options: Mapping[str, Option]) -> tuple[Any, list[Any]]:
        """The next value; a number and the unit after it are one."""
        value = rest[0]
        if (
            wanted in (TIME, RATE, SIZE)
            and len(rest) > 1
            and isinstance(value, Lexeme)
            and isinstance(rest[1], Lexeme)
            and value.text.replace(".", "", 1).isdigit()
            and rest[1].text not in options
        ):
            joined = Lexeme(value.text + rest[1].text, value.location)
            try:
                wanted.read(joined)
            except InvalidValueError:
                return value, rest[1:]
            return joined, rest[2:]
        return value, rest[1:]

    def _value(self, value: Lexeme | List, wanted: Argument | Option, label: str) -> Any:
        if isinstance(value, List) and not wanted.is_list:
            self._problems.append(
                problem_at(Lexeme("[", value.location), f"{label}: one value is due, not a list", "", code="value")
            )
            return None
        words = [value] if isinstance(value, Lexeme) else value.items
        if wanted.is_list and not words:
            self._problems.append(
                problem_at(Lexeme("[", value.location), f"{label}: the list is empty", "", code="value")
            )
        out = []
        for lexeme in words:
            try:
                out.append(wanted.type.read(lexeme))
            except InvalidValueError as problem:
                self._problems.append(
                    problem_at(lexeme, f"{label}: {problem.message}", problem.suggestion, code="value")
                )
        return tuple(out) if wanted.is_list else out[0] if out else None

    def _options(self, line: Directive, rest: list[Lexeme | List], spec: DirectiveSpec, entry: Entry) -> None:
        while rest:
            name = rest[0]
            if isinstance(name, List):
                self._problems.append(
                    problem_at(Lexeme("[", name.location), f"{entry.name}: a list can't stand here", "", code="option")
                )
                return
            option = self._option(name, spec, entry)
            if option is None:
                return  # what follows can't be told apart any more
            if len(rest) < 2:
                self._problems.append(
                    problem_at(
                        name,
                        f"{entry.name}: {name.text!r} has no value",
                        f"such as {name.text} {option.type.example}",
                        code="option",
                    )
                )
                entry.unread.add(name.text)
                return
            value, rest = self._joined(rest[1:], option.type, spec.options)
            self._take(entry, name, option, value)
        for inner in line.block or ():
            option = self._option(inner.name, spec, entry)
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
                entry.unread.add(inner.name.text)
                continue
            value, more = self._joined(values, option.type, {})
            if more:
                lexeme = more[0] if isinstance(more[0], Lexeme) else Lexeme("[", more[0].location)
                self._problems.append(
                    problem_at(
                        lexeme,
                        f"{entry.name}: {inner.name.text!r} takes one value",
                        "use [ ] for several" if option.is_list else "",
                        code="option",
                    )
                )
                entry.unread.add(inner.name.text)
                continue
            self._take(entry, inner.name, option, value)

    def _option(self, name: Lexeme, spec: DirectiveSpec, entry: Entry) -> Option | None:
        option = spec.options.get(name.text)
        if option is None:
            known = ", ".join(spec.options)
            suggestion = did_you_mean(name.text, list(spec.options)) or (
                f"known are {known}" if known else "it takes no options"
            )
            self._problems.append(
                problem_at(name, f"{entry.name}: {name.text[:60]!r} is not known here", suggestion, code="option")
            )
            entry.unread.update(spec.options)  # what is missing below may be what this was meant to be
            return None
        if name.text in entry.seen:
            self._problems.append(
                problem_at(name, f"{entry.name}: {name.text!r} stands twice", "keep one", code="twice")
            )
        entry.seen.add(name.text)
        return option

    def _take(self, entry: Entry, name: Lexeme, option: Option, value: Lexeme | List) -> None:
        before = len(self._problems)
        read = self._value(value, option, f"{entry.name}: {name.text}")
        if len(self._problems) > before:
            entry.unread.add(name.text)
            return
        entry.options.setdefault(name.text, read)
        entry.lexemes.setdefault(name.text, value if isinstance(value, Lexeme) else Lexeme(value.text, value.location))
