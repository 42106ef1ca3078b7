"""What an editor asks of settings: problems, meaning of a word, where a name is defined, what may stand here.

All answers come from the checker and its table; this adds none of its own. Free of I/O.
"""

from __future__ import annotations

from dataclasses import dataclass

from anisefront.config.checker import CheckResult
from anisefront.config.lexer import Lexeme, Location
from anisefront.config.parser import Directive, List
from anisefront.config.schema import LANGUAGE, SCHEMA, DirectiveSpec


@dataclass(frozen=True, slots=True)
class CursorTarget:
    """What stands under the cursor: a word, the directive that it belongs to, and the option that it is or sets."""

    lexeme: Lexeme
    directive: Directive
    spec: DirectiveSpec | None
    option: str = ""  # the option's name, where the word is an option or its value
    is_option: bool = False


def spec_of(name: str) -> DirectiveSpec | None:
    """A directive's row of the table."""
    return SCHEMA.get(name) or LANGUAGE.get(name)


def find_target(checked: CheckResult, file: int, line: int, column: int) -> CursorTarget | None:
    """What stands at a place of a file of the load; line and column count from 1."""
    for directive in checked.loaded.sources[file].document.directives:
        found = _within(directive, directive, line, column)
        if found is not None:
            return found
    return None


def _covers(lexeme: Lexeme, line: int, column: int) -> bool:
    width = len(lexeme.text) + 2 * lexeme.quoted
    return lexeme.location.line == line and lexeme.location.column <= column <= lexeme.location.column + width


def _within(directive: Directive, outer: Directive, line: int, column: int) -> CursorTarget | None:
    spec = spec_of(outer.name.text)
    inner = directive is not outer
    if _covers(directive.name, line, column):
        return CursorTarget(directive.name, outer, spec, directive.name.text if inner else "", inner)
    option = directive.name.text if inner else ""
    for value in directive.values:
        words = value.items if isinstance(value, List) else [value]
        for lexeme in words:
            plain = isinstance(value, Lexeme) and not inner and spec is not None and lexeme.text in spec.options
            if _covers(lexeme, line, column):
                return CursorTarget(lexeme, outer, spec, lexeme.text if plain else option, plain)
            if plain:
                option = lexeme.text
    for each in directive.block or ():
        found = _within(each, outer, line, column)
        if found is not None:
            return found
    return None


def hover(checked: CheckResult, file: int, line: int, column: int) -> str:
    """What the word under the cursor means, in Markdown; "" where nothing is known."""
    found = find_target(checked, file, line, column)
    if found is None or found.spec is None:
        return ""
    option = found.spec.options.get(found.option)
    if option is not None:
        default = "must be given" if option.required else f"where not given: {option.default or '-'}"
        return f"**{found.directive.name.text} {found.option}** ({option.type.name}): {option.description}; {default}"
    return f"**{found.directive.name.text}**: {found.spec.description}\n\n    {found.spec.example}"


def definition(checked: CheckResult, file: int, line: int, column: int) -> Location | None:
    """Where the name under the cursor is defined; None where it is no reference."""
    found = find_target(checked, file, line, column)
    if found is None or found.spec is None or found.is_option:
        return None
    option = found.spec.options.get(found.option)
    if option is not None and option.refers_to:
        lexeme = checked.names.get(option.refers_to, {}).get(found.lexeme.text)
        return None if lexeme is None else lexeme.location
    if found.directive.name.text == "use":
        for source in checked.loaded.sources:
            for directive in source.document.directives:
                if (
                    directive.name.text == "define"
                    and directive.values
                    and directive.values[0].text == found.lexeme.text
                ):
                    return directive.name.location
    if found.directive.name.text == "include":
        return next(
            (
                Location(number, 1, 1)
                for number, source in enumerate(checked.loaded.sources)
                if source.included_at == found.lexeme.location
            ),
            None,
        )
    return None


def complete(checked: CheckResult, file: int, line: int, column: int) -> list[tuple[str, str]]:
    """Words that may stand at a place, each with what it means."""
    before = checked.loaded.line(Location(file, line, column))[: column - 1]
    words = before.split()
    if before.endswith((" ", "\t")):
        words.append("")
    if len(words) <= 1:
        outer = _block_at(checked, file, line)
        if outer is not None and (spec := spec_of(outer.name.text)) is not None:
            return [(name, option.description) for name, option in spec.options.items()]
        return [(name, spec.description) for name, spec in {**SCHEMA, **LANGUAGE}.items()]
    spec = spec_of(words[0])
    if spec is None:
        return []
    option = spec.options.get(words[-2])
    if option is not None and option.refers_to:
        return [(name, f"{option.refers_to} {name}") for name in checked.names.get(option.refers_to, {})]
    if option is not None:
        return [(option.type.example, option.type.name)]
    return [(name, each.description) for name, each in spec.options.items() if name not in words]


def _block_at(checked: CheckResult, file: int, line: int) -> Directive | None:
    """The directive in whose block a line stands."""
    last = None
    for directive in checked.loaded.sources[file].document.directives:
        if directive.name.location.line < line:
            last = directive
    if last is None or last.block is None:
        return None
    following = [
        each.name.location.line
        for each in checked.loaded.sources[file].document.directives
        if each.name.location.line > last.name.location.line
    ]
    lines = checked.loaded.sources[file].text.split("\n")[last.name.location.line : line - 1]
    closed = any(text.strip().startswith("}") for text in lines)
    return None if closed or following and following[0] <= line else last
