"""Formats settings: four spaces per level, one space between words, comments in place. Free of I/O.

The formatter works on the syntax tree alone, so it does not change the meaning. It is idempotent.
"""

from __future__ import annotations

import re

from anisefront.config.parser import Directive, Document, List, Value

INDENT = "    "
_PLAIN = re.compile(r'(?:[^\s"{}\[\],;#\\$]|\$\{[A-Za-z_][A-Za-z0-9_.-]*\}|\$)+\Z')


def quote(text: str, quoted: bool = False) -> str:
    """Return a word in source form: without quotes if possible, unless it was quoted."""
    if _PLAIN.match(text) and not quoted:
        return text
    out = text.replace("\\", "\\\\").replace('"', '\\"').replace("\n", "\\n").replace("\t", "\\t")
    return f'"{out}"'


def format_value(value: Value) -> str:
    """Return a value in source form."""
    if isinstance(value, List):
        return "[" + " ".join(quote(lexeme.text, lexeme.quoted) for lexeme in value.items) + "]"
    return quote(value.text, value.quoted)


def format_document(document: Document) -> str:
    """Return the formatted text of a file."""
    lines: list[str] = []
    _format_directives(document.directives, "", lines)
    lines += document.comments_below
    while lines and not lines[0]:
        del lines[0]
    while lines and not lines[-1]:
        lines.pop()
    return "\n".join(lines) + "\n" if lines else ""


def _format_directives(directives: list[Directive], indent: str, lines: list[str]) -> None:
    for number, directive in enumerate(directives):
        above = directive.comments_above
        while number == 0 and above and not above[0] and indent:
            above = above[1:]  # no empty line after an opening brace
        lines += [f"{indent}{line}" if line else "" for line in above]
        _format_directive(directive, indent, lines)


def _format_directive(directive: Directive, indent: str, lines: list[str]) -> None:
    head = indent + " ".join([directive.name.text, *map(format_value, directive.values)])
    beside = f"  {directive.trailing_comment}" if directive.trailing_comment else ""
    if directive.block is None:
        lines.append(head + beside)
        return
    closing = f"  {directive.closing_comment}" if directive.closing_comment else ""
    lines.append(f"{head} {{{beside}")
    _format_directives(directive.block, indent + INDENT, lines)
    lines += [f"{indent}{INDENT}{line}" if line else "" for line in directive.comments_below]
    lines.append(f"{indent}}}{closing}")
