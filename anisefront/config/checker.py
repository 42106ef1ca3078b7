"""From a load to settings, in layers: form, names, types, references, and - where these hold - meaning.

It goes on after a fault and says each once: what depends on a line that could not be read is not complained of.
Free of I/O; the environment is handed in.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, field
from typing import Any

from anisefront.config import meaning
from anisefront.config.lexer import Place, Problem, Severity, Word, fault
from anisefront.config.loader import Load, substitute
from anisefront.config.model import Entry, Model, build
from anisefront.config.parser import Directive, List
from anisefront.config.schema import LANGUAGE, SCHEMA, VERSION, Argument, Option, Spec
from anisefront.config.types import Config
from anisefront.config.values import RATE, SIZE, TIME, Unfit, near

MOST_PROBLEMS = 1000


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


def check(load: Load, environment: Mapping[str, str] | None = None) -> Checked:
    """Check a load. `environment` holds the variables that `env` may name."""
    problems = list(load.problems)
    directives = _version(load.directives, problems)
    model, names = Model(), dict[str, dict[str, Word]]()
    if directives is not None:
        lines = substitute(directives, problems, environment or {})
        checker = _Checker(problems, bool(problems))
        model, names = checker.run(lines), checker.names
    config = None
    if not any(problem.severity is Severity.ERROR for problem in problems):
        config = build(model, problems)
    if config is not None:
        problems += meaning.examine(model, config)
        if any(problem.severity is Severity.ERROR for problem in problems):
            config = None
    problems = sorted(set(problems), key=lambda problem: (problem.place, -problem.severity, problem.what))
    if len(problems) > MOST_PROBLEMS:
        more = len(problems) - MOST_PROBLEMS
        problems = problems[:MOST_PROBLEMS]
        problems.append(Problem(problems[-1].place, f"{more} more problems are not shown", "mend these first"))
    return Checked(load, model, config, problems, names)


def _version(directives: list[Directive], problems: list[Problem]) -> list[Directive] | None:
    """The directives after the language line; None where they are of another version."""
    if not directives:
        if not problems:
            problems.append(Problem(Place(0, 1, 1), "there is nothing in it", f"begin with language {VERSION}",
                                    code="version"))
        return None
    first = directives[0]
    words = [value.text for value in first.values]
    if first.name.text != "language":
        problems[:] = [each for each in problems if each.code in ("include", "encoding")]  # the rest follows from it
        problems.append(fault(first.name, "this is no version of the language that is read here",
                              f"begin with language {VERSION}; anisefront config migrate turns version 1 into it",
                              code="version"))
        return None
    if words != [str(VERSION)]:
        problems.append(fault(first.values[0] if first.values and isinstance(first.values[0], Word) else first.name,
                              f"language {' '.join(words)[:20]} is not known here", f"language {VERSION} is",
                              code="version"))
        return None
    return directives[1:]


class _Checker:
    def __init__(self, problems: list[Problem], faulty: bool) -> None:
        self._problems, self._faulty = problems, faulty
        self.names: dict[str, dict[str, Word]] = {name: {} for name in SCHEMA}
        self._stood: dict[str, Word] = {}

    def run(self, lines: list[Directive]) -> Model:
        """All entries that can be read; what is wrong goes to the problems."""
        model = Model()
        for line in lines:
            entry = self._line(line)
            if entry is not None:
                model.add(entry)
        self._references(model)
        for name, spec in SCHEMA.items():
            if spec.needed and name not in self._stood and not self._faulty:
                self._problems.append(Problem(Place(0, 1, 1), f"there is no {name!r} line", f"such as {spec.example}",
                                              code="missing"))
        return model

    def _line(self, line: Directive) -> Entry | None:
        name = line.name.text
        spec = SCHEMA.get(name)
        if spec is None:
            if name in LANGUAGE:
                mend = "it belongs at the top of a file" if name != "language" else "it stands once, at the top"
                self._problems.append(fault(line.name, f"{name!r} can't stand here", mend, code="directive"))
            else:
                self._problems.append(fault(line.name, f"{name[:60]!r} is no directive",
                                            near(name, [*SCHEMA, *LANGUAGE]), code="directive"))
                self._faulty = True  # what it was meant to be may be missed below
            return None
        before = len(self._problems)
        entry = Entry(name, line.name)
        if line.broken:
            self._known(line, entry, spec)
            return None
        rest = self._arguments(line, spec, entry)
        if rest is None:
            self._known(line, entry, spec)
            return None
        self._options(line, rest, spec, entry)
        for option, wanted in spec.options.items():
            if wanted.needed and option not in entry.options and option not in entry.unread:
                self._problems.append(fault(line.name, f"{name}: {option!r} is missing",
                                            f"such as {option} {wanted.type.example}", code="missing"))
        self._known(line, entry, spec)
        return entry if len(self._problems) == before else None

    def _known(self, line: Directive, entry: Entry, spec: Spec) -> None:
        """Remember what the line names, also where it is faulty: references to it are then no fault of theirs."""
        name = entry.name
        first = self._stood.get(name)
        if not spec.many:
            if first is not None:
                self._problems.append(fault(line.name, f"{name!r} stands twice, first in line {first.place.line}",
                                            "keep one", code="twice"))
            self._stood.setdefault(name, line.name)
            return
        self._stood.setdefault(name, line.name)
        if line.values and isinstance(line.values[0], Word):
            word = line.values[0]
            known = self.names[name].get(word.text)
            if known is not None and spec.unique:
                self._problems.append(fault(word, f"{name} {word.text!r} stands twice, first in line "
                                            f"{known.place.line}", "give it another name, or remove one",
                                            code="twice"))
            self.names[name].setdefault(word.text, word)

    def _arguments(self, line: Directive, spec: Spec, entry: Entry) -> list[Word | List] | None:
        rest = list(line.values)
        for argument in spec.arguments:
            if not rest or isinstance(rest[0], Word) and rest[0].text in spec.options and not rest[0].quoted \
                    and argument is not spec.arguments[0]:
                self._problems.append(fault(line.name, f"{entry.name}: {argument.name} is missing",
                                            f"such as {spec.example}", code="arguments"))
                return None
            value, rest = self._joined(rest, argument.type, spec.options)
            entry.places[argument.name] = value if isinstance(value, Word) else Word(value.text, value.place)
            entry.arguments[argument.name] = self._value(value, argument, f"{entry.name}: {argument.name}")
        return rest

    def _joined(self, rest: list[Word | List], wanted: Any, options: Mapping[str, Option]) -> tuple[Any, list[Any]]:
        """The next value; a number and the unit after it are one."""
        value = rest[0]
        if wanted in (TIME, RATE, SIZE) and len(rest) > 1 and isinstance(value, Word) and isinstance(rest[1], Word) \
                and value.text.replace(".", "", 1).isdigit() and rest[1].text not in options:
            joined = Word(value.text + rest[1].text, value.place)
            try:
                wanted.read(joined)
            except Unfit:
                return value, rest[1:]
            return joined, rest[2:]
        return value, rest[1:]

    def _value(self, value: Word | List, wanted: Argument | Option, what: str) -> Any:
        if isinstance(value, List) and not wanted.many:
            self._problems.append(fault(Word("[", value.place), f"{what}: one value is due, not a list", "",
                                        code="value"))
            return None
        words = [value] if isinstance(value, Word) else value.words
        if wanted.many and not words:
            self._problems.append(fault(Word("[", value.place), f"{what}: the list is empty", "", code="value"))
        out = []
        for word in words:
            try:
                out.append(wanted.type.read(word))
            except Unfit as problem:
                self._problems.append(fault(word, f"{what}: {problem.what}", problem.mend, code="value"))
        return tuple(out) if wanted.many else out[0] if out else None

    def _options(self, line: Directive, rest: list[Word | List], spec: Spec, entry: Entry) -> None:
        while rest:
            name = rest[0]
            if isinstance(name, List):
                self._problems.append(fault(Word("[", name.place), f"{entry.name}: a list can't stand here", "",
                                            code="option"))
                return
            option = self._option(name, spec, entry)
            if option is None:
                return  # what follows can't be told apart any more
            if len(rest) < 2:
                self._problems.append(fault(name, f"{entry.name}: {name.text!r} has no value",
                                            f"such as {name.text} {option.type.example}", code="option"))
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
                self._problems.append(fault(inner.name, f"{entry.name}: {inner.name.text!r}: one value is due",
                                            f"such as {inner.name.text} {option.type.example}", code="option"))
                entry.unread.add(inner.name.text)
                continue
            value, more = self._joined(values, option.type, {})
            if more:
                word = more[0] if isinstance(more[0], Word) else Word("[", more[0].place)
                self._problems.append(fault(word, f"{entry.name}: {inner.name.text!r} takes one value",
                                            "use [ ] for several" if option.many else "", code="option"))
                entry.unread.add(inner.name.text)
                continue
            self._take(entry, inner.name, option, value)

    def _option(self, name: Word, spec: Spec, entry: Entry) -> Option | None:
        option = spec.options.get(name.text)
        if option is None:
            known = ", ".join(spec.options)
            mend = near(name.text, list(spec.options)) or (f"known are {known}" if known else "it takes no options")
            self._problems.append(fault(name, f"{entry.name}: {name.text[:60]!r} is not known here", mend,
                                        code="option"))
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

    def _references(self, model: Model) -> None:
        for entry in model.all():
            for name, option in SCHEMA[entry.name].options.items():
                value = entry.options.get(name)
                if option.refers and value is not None and value not in self.names[option.refers]:
                    known = list(self.names[option.refers])
                    self._problems.append(fault(entry.places[name], f"there is no {option.refers} {value!r}",
                                                near(value, known) or (f"known are {', '.join(known[:8])}" if known
                                                                       else ""), code="reference"))
