"""Editor support: hover texts, go to definition and completion, derived from the checker and the table of directives.

Free of I/O.
"""

from __future__ import annotations

from dataclasses import dataclass

from anisefront.config.checker import CheckResult
from anisefront.config.lexer import Lexeme, Location
from anisefront.config.parser import Directive, List
from anisefront.config.schema import LANGUAGE, SCHEMA, DirectiveSpec


@dataclass(frozen=True, slots=True)
class CursorTarget:
    """The lexeme under the cursor, the directive it belongs to, and the option whose name or value it is."""

    lexeme: Lexeme
    directive: Directive
    spec: DirectiveSpec | None
    option: str = ""  # name of the option, if the lexeme is its name or value
    is_option: bool = False


def spec_of(name: str) -> DirectiveSpec | None:
    """Return the specification of a directive; None if there is no such directive."""
    return SCHEMA.get(name) or LANGUAGE.get(name)


def find_target(checked: CheckResult, file: int, line: int, column: int) -> CursorTarget | None:
    """Return what is at a position of a file; line and column are counted from 1."""
    for directive in checked.loaded.sources[file].document.directives:
        found = _find_in_directive(directive, directive, line, column)
        if found is not None:
            return found
    return None


def _contains(lexeme: Lexeme, line: int, column: int) -> bool:
    width = len(lexeme.text) + 2 * lexeme.quoted
    return lexeme.location.line == line and lexeme.location.column <= column <= lexeme.location.column + width


def _find_in_directive(directive: Directive, outer: Directive, line: int, column: int) -> CursorTarget | None:
    spec = spec_of(outer.name.text)
    in_block = directive is not outer
    if _contains(directive.name, line, column):
        return CursorTarget(directive.name, outer, spec, directive.name.text if in_block else "", in_block)
    option = directive.name.text if in_block else ""
    for value in directive.values:
        lexemes = value.items if isinstance(value, List) else [value]
        for lexeme in lexemes:
            is_option_name = (
                isinstance(value, Lexeme) and not in_block and spec is not None and lexeme.text in spec.options
            )
            if _contains(lexeme, line, column):
                return CursorTarget(lexeme, outer, spec, lexeme.text if is_option_name else option, is_option_name)
            if is_option_name:
                option = lexeme.text
    for inner in directive.block or ():
        found = _find_in_directive(inner, outer, line, column)
        if found is not None:
            return found
    return None


def hover(checked: CheckResult, file: int, line: int, column: int) -> str:
    """Return the meaning of the lexeme under the cursor, in Markdown; "" if there is none."""
    found = find_target(checked, file, line, column)
    if found is None or found.spec is None:
        return ""
    option = found.spec.options.get(found.option)
    if option is not None:
        default = "must be given" if option.required else f"where not given: {option.default or '-'}"
        return f"**{found.directive.name.text} {found.option}** ({option.type.name}): {option.description}; {default}"
    return f"**{found.directive.name.text}**: {found.spec.description}\n\n    {found.spec.example}"


def definition(checked: CheckResult, file: int, line: int, column: int) -> Location | None:
    """Return where the name under the cursor is defined; None if it is no reference."""
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
    """Return the words that may be inserted at a position, each with its meaning."""
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
    """Return the directive whose block contains a line; None if there is none."""
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
