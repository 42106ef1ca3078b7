"""Version 1 of the language, the format of the first gatekeeper, to version 2. Works on the tree; comments stay.

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

_QUOTA = ("rate", "burst", "max-out", "ceiling", "ceiling-burst", "ceiling-slack")


def prepare(text: str) -> str:
    """The text with what version 2 can't parse written its way: commas, which were parts of words."""
    return re.sub(r"(?m)^(\s*report\s+)(\S+)", lambda found: found[1] + "[" + found[2].replace(",", " ") + "]", text)


def migrate(document: Document) -> tuple[Document, list[Problem]]:
    """The document as version 2, and what could not be carried over. One that is version 2 stays as it is."""
    if document.directives and document.directives[0].name.text == "language":
        return document, []
    problems: list[Problem] = []
    servers = next((each for each in document.directives if each.name.text == "servers"), None)
    out = [Directive(_word("language"), [_word("2")])]
    for directive in document.directives:
        out += _one(directive, servers, problems)
    if len(out) > 1:
        out[0].comments_above, out[1].comments_above = (
            out[1].comments_above,
            [""],
        )  # the comment that heads the file still does
    return Document(out, document.comments_below), problems


def _word(text: str) -> Lexeme:
    return Lexeme(text, Location(0, 1, 1))


def _pairs(values: list) -> list[tuple[Lexeme, Lexeme]]:
    return list(zip(values[::2], values[1::2], strict=False))


def _one(directive: Directive, servers: Directive | None, problems: list[Problem]) -> list[Directive]:
    name, values = directive.name.text, directive.values
    if name == "servers":
        if directive.comments_above and any(directive.comments_above):
            problems.append(
                problem_at(directive.name, "the comment above this line has no place any more", "", code="migrate")
            )
        return []
    if name == "roster":
        if len(values) < 2:
            problems.append(problem_at(directive.name, "roster: how and what are due", "", code="migrate"))
            return [directive]
        kind = "roster" if values[0].text == "file" else "embedded"
        more = [_word("main"), _word(kind), *values[1:], *(servers.values if servers else [])]
        return [Directive(_word("pool"), more, None, directive.comments_above, directive.trailing_comment)]
    if name == "plan" and values:
        pairs = _pairs(values[1:])
        quota = [lexeme for pair in pairs if pair[0].text in _QUOTA for lexeme in pair]
        rest = [lexeme for pair in pairs if pair[0].text not in _QUOTA for lexeme in pair]
        return [
            Directive(_word("quota"), [values[0], *quota], None, directive.comments_above),
            Directive(
                _word("plan"), [values[0], _word("quota"), values[0], *rest], None, [], directive.trailing_comment
            ),
        ]
    if name == "customer":
        return [Directive(_word("customers"), values, None, directive.comments_above, directive.trailing_comment)]
    if name == "route":
        return [
            Directive(
                directive.name,
                [*values, _word("pool"), _word("main")],
                None,
                directive.comments_above,
                directive.trailing_comment,
            )
        ]
    return [directive]
