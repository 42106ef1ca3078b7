"""Converts version 1 of the language to version 2. Works on the syntax tree, so comments are preserved.

roster HOW WHAT ...      pool main roster|embedded WHAT ..., with the figures of a servers line
plan N rate R ...        quota N rate R ... and plan N quota N ...
customer header H ...    customers header H ...
route ... class C        route ... class C pool main
report a,b               report [a b]
"""

from __future__ import annotations

import re

from anisefront.config.lexer import Lexeme, Location, Problem, problem_at
from anisefront.config.parser import Directive, Document

_QUOTA_OPTIONS = ("rate", "burst", "max-out", "ceiling", "ceiling-burst", "ceiling-slack")


def prepare(text: str) -> str:
    """Return the text with lists in the syntax of version 2; in version 1, commas were parts of words."""
    return re.sub(r"(?m)^(\s*report\s+)(\S+)", lambda match: match[1] + "[" + match[2].replace(",", " ") + "]", text)


def migrate(document: Document) -> tuple[Document, list[Problem]]:
    """Convert a document to version 2. A document of version 2 is returned as it is.

    Returns:
        The converted document, and problems for what could not be converted.
    """
    if document.directives and document.directives[0].name.text == "language":
        return document, []
    problems: list[Problem] = []
    servers = next((each for each in document.directives if each.name.text == "servers"), None)
    out = [Directive(_synthetic_lexeme("language"), [_synthetic_lexeme("2")])]
    for directive in document.directives:
        out += _convert_directive(directive, servers, problems)
    if len(out) > 1:
        # The comment at the head of the file stays there.
        out[0].comments_above, out[1].comments_above = out[1].comments_above, [""]
    return Document(out, document.comments_below), problems


def _synthetic_lexeme(text: str) -> Lexeme:
    return Lexeme(text, Location(0, 1, 1))


def _pairs(values: list) -> list[tuple[Lexeme, Lexeme]]:
    return list(zip(values[::2], values[1::2], strict=False))


def _convert_directive(directive: Directive, servers: Directive | None, problems: list[Problem]) -> list[Directive]:
    name, values = directive.name.text, directive.values
    if name == "servers":
        if directive.comments_above and any(directive.comments_above):
            problems.append(
                problem_at(
                    directive.name,
                    "the comment above this line is dropped: version 2 has no such line",
                    "",
                    code="migrate",
                )
            )
        return []
    if name == "roster":
        if len(values) < 2:
            problems.append(
                problem_at(directive.name, "roster: the kind and its value are missing", "", code="migrate")
            )
            return [directive]
        kind = "roster" if values[0].text == "file" else "embedded"
        more = [_synthetic_lexeme("main"), _synthetic_lexeme(kind), *values[1:], *(servers.values if servers else [])]
        return [Directive(_synthetic_lexeme("pool"), more, None, directive.comments_above, directive.trailing_comment)]
    if name == "plan" and values:
        pairs = _pairs(values[1:])
        quota = [lexeme for pair in pairs if pair[0].text in _QUOTA_OPTIONS for lexeme in pair]
        rest = [lexeme for pair in pairs if pair[0].text not in _QUOTA_OPTIONS for lexeme in pair]
        return [
            Directive(_synthetic_lexeme("quota"), [values[0], *quota], None, directive.comments_above),
            Directive(
                _synthetic_lexeme("plan"),
                [values[0], _synthetic_lexeme("quota"), values[0], *rest],
                None,
                [],
                directive.trailing_comment,
            ),
        ]
    if name == "customer":
        return [
            Directive(
                _synthetic_lexeme("customers"), values, None, directive.comments_above, directive.trailing_comment
            )
        ]
    if name == "route":
        return [
            Directive(
                directive.name,
                [*values, _synthetic_lexeme("pool"), _synthetic_lexeme("main")],
                None,
                directive.comments_above,
                directive.trailing_comment,
            )
        ]
    return [directive]
