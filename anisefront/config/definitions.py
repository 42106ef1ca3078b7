"""Definitions and environment variables, and their expansion into lines. Free of I/O."""

from __future__ import annotations

from collections.abc import Iterable, Iterator, Mapping

from anisefront.config.lexer import Lexeme, Problem, Severity, problem_at
from anisefront.config.parser import Directive, List
from anisefront.config.values import did_you_mean

MAX_EXPANDED_LINES = 200_000  # of a load, all definitions expanded


class Declarations:
    """The values and definitions that `env` and `define` lines anywhere in a load declare.

    Attributes:
        values: Of environment variables and their defaults.
        definitions: By name.
        unset: Variables with neither a value nor a default.
        problems: What is wrong with these lines.
    """

    def __init__(self, environment: Mapping[str, str]) -> None:
        """Create an empty set of declarations that takes values from `environment`."""
        self._environment = environment
        self.values: dict[str, str] = {}
        self.definitions: dict[str, Directive] = {}
        self.unset: set[str] = set()
        self.problems: list[Problem] = []

    def add(self, lines: Iterable[Directive]) -> None:
        """Add lines, in the order in which they count."""
        for line in lines:
            if line.name.text == "env":
                self._env(line)
            else:
                self._define(line)

    def _env(self, directive: Directive) -> None:
        words = [value.text for value in directive.values]
        if len(words) not in (1, 3) or len(words) == 3 and words[1] != "default" or directive.block is not None:
            self.problems.append(
                problem_at(
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
            at = first if isinstance(first, Lexeme) else Lexeme("[", first.location)
            self.problems.append(
                problem_at(
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
            or not isinstance(values[0], Lexeme)
            or directive.block is None
            or len(values) == 2
            and isinstance(values[1], Lexeme)
        ):
            self.problems.append(
                problem_at(
                    directive.name,
                    "define: a name, [parameters] and a block are due",
                    "such as define view [path] { ... }",
                    code="arguments",
                )
            )
            return
        name = values[0].text
        if name in self.definitions:
            self.problems.append(problem_at(values[0], f"definition {name!r} stands twice", "", code="twice"))
            return
        self.definitions[name] = directive


class Expansion:
    """Expands definitions and values in lines.

    It records what it looked up, so that a later load can decide whether other definitions and values would have given
    another result.

    Attributes:
        problems: What is wrong with uses of definitions.
        undeclared: The first problem of each undeclared value; the others follow from it.
        used: The definitions that were looked up; None for one that does not exist.
        looked_up: The values that were looked up outside a definition's own parameters.
        lines: Expanded so far.
    """

    def __init__(self, known: Declarations) -> None:
        """Create an expansion by the declarations `known`."""
        self._known = known
        self.problems: list[Problem] = []
        self.undeclared: dict[str, Problem] = {}
        self.used: dict[str, Directive | None] = {}
        self.looked_up: dict[str, str | None] = {}
        self.lines = 0

    def expand(
        self, directive: Directive, given: Mapping[str, str] | None = None, above: tuple[str, ...] = ()
    ) -> Iterator[Directive | None]:
        """Yield the lines that a line expands to; None stands for a step of work without a line."""
        self.lines += 1
        if self.lines == MAX_EXPANDED_LINES:
            self.problems.append(
                problem_at(
                    directive.name, f"definitions come to more than {MAX_EXPANDED_LINES} lines", "", code="definition"
                )
            )
        if self.lines >= MAX_EXPANDED_LINES:
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
        if not values or len(values) > 2 or not isinstance(values[0], Lexeme) or directive.block is not None:
            self.problems.append(
                problem_at(
                    directive.name,
                    "use: a definition's name and [values] are due",
                    "such as use view [/stock]",
                    code="arguments",
                )
            )
            return
        name = values[0].text
        definition = self._known.definitions.get(name)
        self.used[name] = definition
        if definition is None:
            self.problems.append(
                problem_at(
                    values[0],
                    f"there is no definition {name!r}",
                    did_you_mean(name, list(self._known.definitions)),
                    code="reference",
                )
            )
            return
        if name in above:
            self.problems.append(problem_at(values[0], f"definition {name!r} uses itself", "", code="definition"))
            return
        parameters = [lexeme.text for lexeme in definition.values[1].items] if len(definition.values) == 2 else []
        words = _given_words(values)
        if len(words) != len(parameters):
            self.problems.append(
                problem_at(
                    values[0],
                    f"{name} takes {len(parameters)} values, not {len(words)}",
                    f"[{' '.join(parameters)}]",
                    code="arguments",
                )
            )
            return
        inner = dict(zip(parameters, (self._text(lexeme, given).text for lexeme in words), strict=True))
        for each in definition.block:
            yield from self.expand(each, inner, (*above, name))

    def _replaced(self, directive: Directive, given: Mapping[str, str]) -> Directive:
        if not _has_reference(directive):
            return directive
        values = [
            self._text(value, given)
            if isinstance(value, Lexeme)
            else List([self._text(lexeme, given) for lexeme in value.items], value.location)
            for value in directive.values
        ]
        block = None if directive.block is None else [self._replaced(each, given) for each in directive.block]
        return Directive(
            directive.name,
            values,
            block,
            directive.comments_above,
            directive.trailing_comment,
            directive.comments_below,
            directive.closing_comment,
            directive.has_syntax_error,
        )

    def _text(self, lexeme: Lexeme, given: Mapping[str, str]) -> Lexeme:
        if "${" not in lexeme.text:
            return lexeme
        out = ""
        rest = lexeme.text
        while "${" in rest:
            before, _, rest = rest.partition("${")
            name, closed, rest = rest.partition("}")
            value = given.get(name)
            if value is None:
                value = self._known.values.get(name)
                self.looked_up[name] = value
            if not closed or value is None:
                message = f"${{{name}}} is not declared" if closed else "a ${ that is not closed"
                if name not in self._known.unset:
                    self.undeclared.setdefault(
                        name,
                        problem_at(
                            lexeme,
                            message,
                            f"write env {name}, or a parameter of the definition" if closed else "end it with }",
                            code="reference",
                        ),
                    )
                value = ""
            out += before + value
        return Lexeme(out + rest, lexeme.location, True)


def substitute(directives: list[Directive], problems: list[Problem], environment: Mapping[str, str]) -> list[Directive]:
    """Return the directives with definitions expanded and declared environment variables replaced."""
    known = Declarations(environment)
    known.add(each for each in directives if each.name.text in ("env", "define"))
    expansion = Expansion(known)
    out: list[Directive] = []
    for directive in directives:
        if directive.name.text not in ("env", "define"):
            out += (each for each in expansion.expand(directive) if each is not None)
    problems += [*known.problems, *expansion.problems, *expansion.undeclared.values()]
    problems += [
        problem_at(definition.values[0], f"definition {name!r} is not used", "", Severity.NOTE, "unused")
        for name, definition in known.definitions.items()
        if name not in expansion.used
    ]
    return out


def _given_words(values: list[Lexeme | List]) -> list[Lexeme]:
    """Return the values that a `use` line gives: one word, or a list."""
    if len(values) < 2:
        return []
    given = values[1]
    return [given] if isinstance(given, Lexeme) else list(given.items)


def _has_reference(directive: Directive) -> bool:
    """Return whether a line refers to a value; it is called for each line that is not plain, so without generators."""
    for value in directive.values:
        if isinstance(value, Lexeme):
            if "${" in value.text:
                return True
            continue
        for lexeme in value.items:
            if "${" in lexeme.text:
                return True
    if directive.block is None:
        return False
    return any(_has_reference(each) for each in directive.block)
