"""What an editor asks of settings: problems, meaning of a word, where a name is defined, what may stand here.

All answers come from the checker and its table; this adds none of its own. Free of I/O.
"""

from __future__ import annotations

from dataclasses import dataclass

from anisefront.config.checker import Checked
from anisefront.config.lexer import Place, Word
from anisefront.config.parser import Directive, List
from anisefront.config.schema import LANGUAGE, SCHEMA, Spec


@dataclass(frozen=True, slots=True)
class Under:
    """What stands under the cursor: a word, the directive that it belongs to, and the option that it is or sets."""

    word: Word
    directive: Directive
    spec: Spec | None
    option: str = ""  # the option's name, where the word is an option or its value
    is_option: bool = False


def spec_of(name: str) -> Spec | None:
    """A directive's row of the table."""
    return SCHEMA.get(name) or LANGUAGE.get(name)


def under(checked: Checked, file: int, line: int, column: int) -> Under | None:
    """What stands at a place of a file of the load; line and column count from 1."""
    for directive in checked.load.sources[file].document.directives:
        found = _within(directive, directive, line, column)
        if found is not None:
            return found
    return None


def _covers(word: Word, line: int, column: int) -> bool:
    width = len(word.text) + 2 * word.quoted
    return word.place.line == line and word.place.column <= column <= word.place.column + width


def _within(directive: Directive, outer: Directive, line: int, column: int) -> Under | None:
    spec = spec_of(outer.name.text)
    inner = directive is not outer
    if _covers(directive.name, line, column):
        return Under(directive.name, outer, spec, directive.name.text if inner else "", inner)
    option = directive.name.text if inner else ""
    for value in directive.values:
        words = value.words if isinstance(value, List) else [value]
        for word in words:
            plain = isinstance(value, Word) and not inner and spec is not None and word.text in spec.options
            if _covers(word, line, column):
                return Under(word, outer, spec, word.text if plain else option, plain)
            if plain:
                option = word.text
    for each in directive.block or ():
        found = _within(each, outer, line, column)
        if found is not None:
            return found
    return None


def hover(checked: Checked, file: int, line: int, column: int) -> str:
    """What the word under the cursor means, in Markdown; "" where nothing is known."""
    found = under(checked, file, line, column)
    if found is None or found.spec is None:
        return ""
    option = found.spec.options.get(found.option)
    if option is not None:
        default = "must be given" if option.needed else f"where not given: {option.default or '-'}"
        return f"**{found.directive.name.text} {found.option}** ({option.type.name}): {option.text}; {default}"
    return f"**{found.directive.name.text}**: {found.spec.text}\n\n    {found.spec.example}"


def definition(checked: Checked, file: int, line: int, column: int) -> Place | None:
    """Where the name under the cursor is defined; None where it is no reference."""
    found = under(checked, file, line, column)
    if found is None or found.spec is None or found.is_option:
        return None
    option = found.spec.options.get(found.option)
    if option is not None and option.refers:
        word = checked.names.get(option.refers, {}).get(found.word.text)
        return None if word is None else word.place
    if found.directive.name.text == "use":
        for source in checked.load.sources:
            for directive in source.document.directives:
                if directive.name.text == "define" and directive.values and directive.values[0].text == found.word.text:
                    return directive.name.place
    if found.directive.name.text == "include":
        return next(
            (
                Place(number, 1, 1)
                for number, source in enumerate(checked.load.sources)
                if source.asked_by == found.word.place
            ),
            None,
        )
    return None


def complete(checked: Checked, file: int, line: int, column: int) -> list[tuple[str, str]]:
    """Words that may stand at a place, each with what it means."""
    before = checked.load.line(Place(file, line, column))[: column - 1]
    words = before.split()
    if before.endswith((" ", "\t")):
        words.append("")
    if len(words) <= 1:
        outer = _block_at(checked, file, line)
        if outer is not None and (spec := spec_of(outer.name.text)) is not None:
            return [(name, option.text) for name, option in spec.options.items()]
        return [(name, spec.text) for name, spec in {**SCHEMA, **LANGUAGE}.items()]
    spec = spec_of(words[0])
    if spec is None:
        return []
    option = spec.options.get(words[-2])
    if option is not None and option.refers:
        return [(name, f"{option.refers} {name}") for name in checked.names.get(option.refers, {})]
    if option is not None:
        return [(option.type.example, option.type.name)]
    return [(name, each.text) for name, each in spec.options.items() if name not in words]


def _block_at(checked: Checked, file: int, line: int) -> Directive | None:
    """The directive in whose block a line stands."""
    last = None
    for directive in checked.load.sources[file].document.directives:
        if directive.name.place.line < line:
            last = directive
    if last is None or last.block is None:
        return None
    following = [
        each.name.place.line
        for each in checked.load.sources[file].document.directives
        if each.name.place.line > last.name.place.line
    ]
    lines = checked.load.sources[file].text.split("\n")[last.name.place.line : line - 1]
    closed = any(text.strip().startswith("}") for text in lines)
    return None if closed or following and following[0] <= line else last
