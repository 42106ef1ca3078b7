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
from anisefront.config.lexer import Place, Problem, Severity, Word, fault
from anisefront.config.loader import Load
from anisefront.config.model import (
    Entry,
    Model,
    Uses,
    build,
    check_route,
    key,
    pools_fault,
    route,
    second_pool,
)
from anisefront.config.parser import Directive, List
from anisefront.config.schema import LANGUAGE, SCHEMA, VERSION, Argument, Option, Spec
from anisefront.config.types import Config
from anisefront.config.values import RATE, SIZE, TIME, InvalidValueError, near

MAX_PROBLEMS = 1000


@dataclass(slots=True)
class Checked:
    """What a check came to. `config` is None where an error was found."""

    load: Load
    model: Model
    config: Config | None
    problems: list[Problem] = field(default_factory=list)
    names: dict[str, dict[str, Word]] = field(default_factory=dict)  # what is defined, by directive and name

    @property
    def severity(self) -> Severity | None:
        """The gravest of the problems, None without any."""
        return max((problem.severity for problem in self.problems), default=None)


def check(load: Load, environment: Mapping[str, str] | None = None, notes: bool = True) -> Checked:
    """Check a load. `environment` holds the variables that `env` may name. Without notes less is looked for."""
    problems = list(load.problems)
    model, names = Model(), dict[str, dict[str, Word]]()
    if version(load.directives[0] if load.directives else None, problems):
        lines = substitute(load.directives[1:], problems, environment or {})
        checker = _Checker(problems)
        model, names = checker.run(lines), checker.names
    config = None
    if not faulty(problems):
        config = _meant(model, problems, notes)
    return Checked(load, model, config, arranged(problems, notes), names)


def faulty(problems: Iterable[Problem]) -> bool:
    """Whether one of them is an error."""
    return any(problem.severity is Severity.ERROR for problem in problems)


def arranged(problems: Iterable[Problem], notes: bool = True, more: int = 0) -> list[Problem]:
    """Problems in the order of their places, each once, at most so many; `more` are known to be and not at hand."""
    out = sorted(
        {problem for problem in problems if notes or problem.severity is not Severity.NOTE},
        key=lambda problem: (problem.place, -problem.severity, problem.what),
    )
    if len(out) + more > MAX_PROBLEMS:
        more += len(out) - MAX_PROBLEMS
        out = out[:MAX_PROBLEMS]
        out.append(Problem(out[-1].place, f"{more} more problems are not shown", "mend these first"))
    return out


def _meant(model: Model, problems: list[Problem], notes: bool) -> Config | None:
    """The settings that entries without a fault of their own come to; None where they contradict each other."""
    routes = tuple(route(entry) for entry in model.of("route"))
    keys = {entry.arguments["key"]: key(entry) for entry in model.of("key")}
    uses = Uses.of(routes, keys.values())
    other = second_pool(uses)
    if other:
        at = next(entry for entry in model.of("route") if entry.options["pool"] == other)
        problems.append(pools_fault(at.place("pool"), uses))
    config = build(model, uses, routes, keys, problems)
    if config is None or other:
        return None
    problems += semantic_checks.check_semantics(model, config, uses)
    problems += semantic_checks.check_customer_plans(model.of("key"))
    words = [entry.word for entry in model.of("route")]
    problems += route_checks.check_routes(list(zip(words, routes, strict=True)), notes)
    return None if faulty(problems) else config


def version(first: Directive | None, problems: list[Problem]) -> bool:
    """Whether the first line says that what follows is of the version that is read here."""
    if first is None:
        if not problems:
            problems.append(
                Problem(Place(0, 1, 1), "there is nothing in it", f"begin with language {VERSION}", code="version")
            )
        return False
    words = [value.text for value in first.values]
    if first.name.text != "language":
        problems[:] = [each for each in problems if each.code in ("include", "encoding")]  # the rest follows from it
        problems.append(
            fault(
                first.name,
                "this is no version of the language that is read here",
                f"begin with language {VERSION}; anisefront config migrate turns version 1 into it",
                code="version",
            )
        )
        return False
    if words != [str(VERSION)]:
        problems.append(
            fault(
                first.values[0] if first.values and isinstance(first.values[0], Word) else first.name,
                f"language {' '.join(words)[:20]} is not known here",
                f"language {VERSION} is",
                code="version",
            )
        )
        return False
    return True


@dataclass(frozen=True, slots=True)
class Named:
    """A line that names something, also where it is faulty: references to it are then no fault of theirs."""

    directive: str
    word: Word
    first: Word | None  # its first value


class Names:
    """What is named by all lines, and what stands twice."""

    def __init__(self) -> None:
        """Create the names of no lines."""
        self.of: dict[str, dict[str, Word]] = {name: {} for name in SCHEMA}
        self._stood: dict[str, Word] = {}

    def add(self, named: Named) -> Problem | None:
        """Take a line's names in; a problem where they stand already."""
        name, spec = named.directive, SCHEMA[named.directive]
        stood = self._stood.get(name)
        if stood is None:
            self._stood[name] = named.word
        elif not spec.many:
            return fault(
                named.word, f"{name!r} stands twice, first in line {stood.place.line}", "keep one", code="twice"
            )
        if not spec.many or named.first is None:
            return None
        known = self.of[name].get(named.first.text)
        if known is None:
            self.of[name][named.first.text] = named.first
            return None
        return twice(name, named.first, known) if spec.unique else None

    def missing(self, stood: Container[str] = ()) -> list[Problem]:
        """The lines that must stand and do not."""
        return [
            Problem(Place(0, 1, 1), f"there is no {name!r} line", f"such as {spec.example}", code="missing")
            for name, spec in SCHEMA.items()
            if spec.needed and name not in self._stood and name not in stood
        ]


def twice(name: str, word: Word, first: Word) -> Problem:
    """What is said of a name that stands already."""
    return fault(
        word,
        f"{name} {word.text!r} stands twice, first in line {first.place.line}",
        "give it another name, or remove one",
        code="twice",
    )


def references(entry: Entry, names: Mapping[str, Iterable[str]]) -> Iterator[Problem]:
    """The names that an entry refers to and that are not there."""
    for name, option in SCHEMA[entry.name].options.items():
        value = entry.options.get(name)
        if option.refers and value is not None and value not in names[option.refers]:
            known = list(names[option.refers])
            yield fault(
                entry.places[name],
                f"there is no {option.refers} {value!r}",
                near(value, known) or (f"known are {', '.join(known[:8])}" if known else ""),
                code="reference",
            )


class _Checker:
    def __init__(self, problems: list[Problem]) -> None:
        self._problems, self._names = problems, Names()
        self.names = self._names.of

    def run(self, lines: list[Directive]) -> Model:
        """All entries that can be read; what is wrong goes to the problems."""
        model, reader = Model(), LineReader(self._problems)
        lost = faulty(self._problems)  # a warning hides no line: without an error all that must stand does
        for line in lines:
            entry, named = reader.read(line)
            if entry is not None:
                model.add(entry)
            if named is not None and (problem := self._names.add(named)) is not None:
                self._problems.append(problem)
        for entry in model.all():
            self._problems += references(entry, self.names)
        if not lost and not reader.lost:
            self._problems += self._names.missing()
        return model


class LineReader:
    """Reads lines, each by itself; what is wrong goes to `problems`."""

    def __init__(self, problems: list[Problem]) -> None:
        """Create a reader that reports to `problems`."""
        self._problems = problems
        self.lost = False  # a line is no directive, so that what it was meant to be may be missed

    def read(self, line: Directive) -> tuple[Entry | None, Named | None]:
        """A line's entry where all of it can be read, and what it names."""
        name = line.name.text
        spec = SCHEMA.get(name)
        if spec is None:
            if name in LANGUAGE:
                mend = "it belongs at the top of a file" if name != "language" else "it stands once, at the top"
                self._problems.append(fault(line.name, f"{name!r} can't stand here", mend, code="directive"))
            else:
                self._problems.append(
                    fault(
                        line.name, f"{name[:60]!r} is no directive", near(name, [*SCHEMA, *LANGUAGE]), code="directive"
                    )
                )
                self.lost = True
            return None, None
        first = line.values[0] if line.values and isinstance(line.values[0], Word) else None
        return None if line.broken else self._entry(line, spec), Named(name, line.name, first)

    def _entry(self, line: Directive, spec: Spec) -> Entry | None:
        name, before = line.name.text, len(self._problems)
        entry = Entry(name, line.name)
        rest = self._arguments(line, spec, entry)
        if rest is None:
            return None
        self._options(line, rest, spec, entry)
        for option, wanted in spec.options.items():
            if wanted.needed and option not in entry.options and option not in entry.unread:
                self._problems.append(
                    fault(
                        line.name,
                        f"{name}: {option!r} is missing",
                        f"such as {option} {wanted.type.example}",
                        code="missing",
                    )
                )
        if name == "route" and (problem := check_route(entry)) is not None:
            self._problems.append(problem)
        return entry if len(self._problems) == before else None

    def _arguments(self, line: Directive, spec: Spec, entry: Entry) -> list[Word | List] | None:
        rest = list(line.values)
        for argument in spec.arguments:
            if (
                not rest
                or isinstance(rest[0], Word)
                and rest[0].text in spec.options
                and not rest[0].quoted
                and argument is not spec.arguments[0]
            ):
                self._problems.append(
                    fault(
                        line.name,
                        f"{entry.name}: {argument.name} is missing",
                        f"such as {spec.example}",
                        code="arguments",
                    )
                )
                return None
            value, rest = self._joined(rest, argument.type, spec.options)
            entry.places[argument.name] = value if isinstance(value, Word) else Word(value.text, value.place)
            entry.arguments[argument.name] = self._value(value, argument, f"{entry.name}: {argument.name}")
        return rest

    def _joined(self, rest: list[Word | List], wanted: Any, options: Mapping[str, Option]) -> tuple[Any, list[Any]]:
        """The next value; a number and the unit after it are one."""
        value = rest[0]
        if (
            wanted in (TIME, RATE, SIZE)
            and len(rest) > 1
            and isinstance(value, Word)
            and isinstance(rest[1], Word)
            and value.text.replace(".", "", 1).isdigit()
            and rest[1].text not in options
        ):
            joined = Word(value.text + rest[1].text, value.place)
            try:
                wanted.read(joined)
            except InvalidValueError:
                return value, rest[1:]
            return joined, rest[2:]
        return value, rest[1:]

    def _value(self, value: Word | List, wanted: Argument | Option, what: str) -> Any:
        if isinstance(value, List) and not wanted.many:
            self._problems.append(
                fault(Word("[", value.place), f"{what}: one value is due, not a list", "", code="value")
            )
            return None
        words = [value] if isinstance(value, Word) else value.words
        if wanted.many and not words:
            self._problems.append(fault(Word("[", value.place), f"{what}: the list is empty", "", code="value"))
        out = []
        for word in words:
            try:
                out.append(wanted.type.read(word))
            except InvalidValueError as problem:
                self._problems.append(fault(word, f"{what}: {problem.what}", problem.mend, code="value"))
        return tuple(out) if wanted.many else out[0] if out else None

    def _options(self, line: Directive, rest: list[Word | List], spec: Spec, entry: Entry) -> None:
        while rest:
            name = rest[0]
            if isinstance(name, List):
                self._problems.append(
                    fault(Word("[", name.place), f"{entry.name}: a list can't stand here", "", code="option")
                )
                return
            option = self._option(name, spec, entry)
            if option is None:
                return  # what follows can't be told apart any more
            if len(rest) < 2:
                self._problems.append(
                    fault(
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
                    fault(
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
                word = more[0] if isinstance(more[0], Word) else Word("[", more[0].place)
                self._problems.append(
                    fault(
                        word,
                        f"{entry.name}: {inner.name.text!r} takes one value",
                        "use [ ] for several" if option.many else "",
                        code="option",
                    )
                )
                entry.unread.add(inner.name.text)
                continue
            self._take(entry, inner.name, option, value)

    def _option(self, name: Word, spec: Spec, entry: Entry) -> Option | None:
        option = spec.options.get(name.text)
        if option is None:
            known = ", ".join(spec.options)
            mend = near(name.text, list(spec.options)) or (f"known are {known}" if known else "it takes no options")
            self._problems.append(
                fault(name, f"{entry.name}: {name.text[:60]!r} is not known here", mend, code="option")
            )
            entry.unread.update(spec.options)  # what is missing below may be what this was meant to be
            return None
        if name.text in entry.seen:
            self._problems.append(fault(name, f"{entry.name}: {name.text!r} stands twice", "keep one", code="twice"))
        entry.seen.add(name.text)
        return option

    def _take(self, entry: Entry, name: Word, option: Option, value: Word | List) -> None:
        before = len(self._problems)
        read = self._value(value, option, f"{entry.name}: {name.text}")
        if len(self._problems) > before:
            entry.unread.add(name.text)
            return
        entry.options.setdefault(name.text, read)
        entry.places.setdefault(name.text, value if isinstance(value, Word) else Word(value.text, value.place))
