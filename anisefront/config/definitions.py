"""Definitions and environment variables, and their expansion into lines, without I/O."""

from __future__ import annotations

from collections.abc import Iterable, Iterator, Mapping

from anisefront.config.lexer import Lexeme, Problem, Severity, problem_at
from anisefront.config.parser import Directive, List
from anisefront.config.values import did_you_mean

MAX_EXPANDED_LINES = 200_000  # of one load, after expansion


class Declarations:
    """Values and definitions declared by the `env` and `define` lines of all files of a load.

    Attributes:
        values: Values of the declared variables, or their defaults.
        definitions: `define` directives by name.
        unset: Variables with neither a value nor a default.
        problems: Problems of these lines.
    """

    def __init__(self, environment: Mapping[str, str]) -> None:
        """Create an empty set of declarations that takes values from `environment`."""
        self._environment = environment
        self.values: dict[str, str] = {}
        self.definitions: dict[str, Directive] = {}
        self.unset: set[str] = set()
        self.problems: list[Problem] = []

    def add(self, lines: Iterable[Directive]) -> None:
        """Add `env` and `define` lines, in the order in which they take effect."""
        for line in lines:
            if line.name.text == "env":
                self._add_environment_variable(line)
            else:
                self._add_definition(line)

    def _add_environment_variable(self, directive: Directive) -> None:
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
            lexeme = first if isinstance(first, Lexeme) else Lexeme("[", first.location)
            self.problems.append(
                problem_at(
                    lexeme,
                    f"environment variable {words[0]} is not set",
                    "set it, or give a default",
                    code="environment",
                )
            )
            value = ""
            self.unset.add(words[0])
        self.values[words[0]] = value

    def _add_definition(self, directive: Directive) -> None:
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

    It records all look-ups, so that a later load can decide whether its definitions and values would give the same
    result.

    Attributes:
        problems: Problems of `use` lines.
        undeclared: The first problem of each undeclared value; later ones are not reported.
        used: The definitions that were looked up; None for one that does not exist.
        looked_up: Values that were looked up and are no parameters of a definition.
        line_count: Number of lines expanded so far.
    """

    def __init__(self, declarations: Declarations) -> None:
        """Create an expansion that uses these declarations."""
        self._declarations = declarations
        self.problems: list[Problem] = []
        self.undeclared: dict[str, Problem] = {}
        self.used: dict[str, Directive | None] = {}
        self.looked_up: dict[str, str | None] = {}
        self.line_count = 0

    def expand(
        self, directive: Directive, arguments: Mapping[str, str] | None = None, enclosing: tuple[str, ...] = ()
    ) -> Iterator[Directive | None]:
        """Yield the lines that a line expands to; None marks a step of work without a line."""
        self.line_count += 1
        if self.line_count == MAX_EXPANDED_LINES:
            self.problems.append(
                problem_at(
                    directive.name, f"definitions come to more than {MAX_EXPANDED_LINES} lines", "", code="definition"
                )
            )
        if self.line_count >= MAX_EXPANDED_LINES:
            return
        if directive.name.text != "use":
            yield self._substitute_values(directive, arguments or {})
        else:
            yield from self._expand_use(directive, arguments or {}, enclosing)

    def _expand_use(
        self, directive: Directive, arguments: Mapping[str, str], enclosing: tuple[str, ...]
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
        definition = self._declarations.definitions.get(name)
        self.used[name] = definition
        if definition is None:
            self.problems.append(
                problem_at(
                    values[0],
                    f"there is no definition {name!r}",
                    did_you_mean(name, list(self._declarations.definitions)),
                    code="reference",
                )
            )
            return
        if name in enclosing:
            self.problems.append(problem_at(values[0], f"definition {name!r} uses itself", "", code="definition"))
            return
        parameters = [lexeme.text for lexeme in definition.values[1].items] if len(definition.values) == 2 else []
        words = _use_arguments(values)
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
        inner_arguments = dict(
            zip(parameters, (self._substitute_text(lexeme, arguments).text for lexeme in words), strict=True)
        )
        for line in definition.block:
            yield from self.expand(line, inner_arguments, (*enclosing, name))

    def _substitute_values(self, directive: Directive, arguments: Mapping[str, str]) -> Directive:
        if not _has_reference(directive):
            return directive
        values = [
            self._substitute_text(value, arguments)
            if isinstance(value, Lexeme)
            else List([self._substitute_text(lexeme, arguments) for lexeme in value.items], value.location)
            for value in directive.values
        ]
        block = (
            None if directive.block is None else [self._substitute_values(line, arguments) for line in directive.block]
        )
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

    def _substitute_text(self, lexeme: Lexeme, arguments: Mapping[str, str]) -> Lexeme:
        if "${" not in lexeme.text:
            return lexeme
        result = ""
        rest = lexeme.text
        while "${" in rest:
            before, _, rest = rest.partition("${")
            name, closed, rest = rest.partition("}")
            value = arguments.get(name)
            if value is None:
                value = self._declarations.values.get(name)
                self.looked_up[name] = value
            if not closed or value is None:
                message = f"${{{name}}} is not declared" if closed else "a ${ that is not closed"
                if name not in self._declarations.unset:
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
            result += before + value
        return Lexeme(result + rest, lexeme.location, True)


def substitute(directives: list[Directive], problems: list[Problem], environment: Mapping[str, str]) -> list[Directive]:
    """Return the directives with definitions expanded and declared environment variables replaced."""
    declarations = Declarations(environment)
    declarations.add(line for line in directives if line.name.text in ("env", "define"))
    expansion = Expansion(declarations)
    result: list[Directive] = []
    for directive in directives:
        if directive.name.text not in ("env", "define"):
            result += (line for line in expansion.expand(directive) if line is not None)
    problems += [*declarations.problems, *expansion.problems, *expansion.undeclared.values()]
    problems += [
        problem_at(definition.values[0], f"definition {name!r} is not used", "", Severity.NOTE, "unused")
        for name, definition in declarations.definitions.items()
        if name not in expansion.used
    ]
    return result


def _use_arguments(values: list[Lexeme | List]) -> list[Lexeme]:
    """Return the arguments of a `use` line, given as one value or as a list."""
    if len(values) < 2:
        return []
    arguments = values[1]
    return [arguments] if isinstance(arguments, Lexeme) else list(arguments.items)


def _has_reference(directive: Directive) -> bool:
    """Return whether a line contains `${name}`.

    This runs for each line that the fast path of `file_record.py` does not read, so it avoids generators.
    """
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
    return any(_has_reference(line) for line in directive.block)
