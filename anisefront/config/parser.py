"""Tokens to a tree of directives, by the grammar of docs/config-grammar.md. Free of I/O, and no recursion.

document  = { line }
line      = [ directive ] [ comment ] end
directive = word { value } [ "{" { line } "}" ]
value     = word | string | list
list      = "[" { word | string } "]"          commas between are optional; it may go over lines
"""

from __future__ import annotations

from dataclasses import dataclass, field

from anisefront.config.lexer import Lexeme, Location, Problem, Token, problem_at, tokenize

MAX_NESTING_DEPTH = 8
# The grammar as published; docs/config-grammar.md is held to these lines by a test, and the parser to its cases.
GRAMMAR = tuple(line.strip() for line in __doc__.splitlines() if " = " in line)


@dataclass(slots=True)
class List:
    """A list value."""

    items: list[Lexeme]
    location: Location

    @property
    def text(self) -> str:
        """As it would be written."""
        return "[" + " ".join(lexeme.text for lexeme in self.items) + "]"


Value = Lexeme | List


@dataclass(slots=True)
class Directive:
    """One directive, its values, what its block holds, and the comments that belong to it."""

    name: Lexeme
    values: list[Value] = field(default_factory=list)
    block: list[Directive] | None = None
    comments_above: list[str] = field(default_factory=list)  # comment lines before it; "" for an empty line
    trailing_comment: str = ""  # a comment after it on its line, or after its opening brace
    comments_below: list[str] = field(default_factory=list)  # comment lines before its closing brace
    closing_comment: str = ""  # a comment after its closing brace
    has_syntax_error: bool = False  # a part of it could not be read, and was said so


@dataclass(slots=True)
class Document:
    """One file's tree."""

    directives: list[Directive]
    comments_below: list[str]  # comment lines at its end


def parse(text: str, file: int = 0) -> tuple[Document, list[Problem]]:
    """The tree of a text, as far as it can be read, and all that is wrong with its form."""
    stream, problems = tokenize(text, file)
    parser = Parser(problems)
    parser.feed(stream)
    return parser.finish(), problems


class Parser:
    """Takes tokens as they come, whole logical lines at a time; what is wrong goes to `problems`."""

    def __init__(self, problems: list[Problem]) -> None:
        """Create a parser that reports to `problems`."""
        self._problems = problems
        self._top: list[Directive] = []
        self._open: list[Directive] = []  # blocks that are open, the innermost last
        self._current: Directive | None = None
        self._list: List | None = None
        self._above: list[str] = []
        self._skip = 0  # depth of what is skipped because it lies too deep
        self._skip_line = False
        self._last: Directive | None = None  # whose line a comment may stand beside
        self._closed = False  # that directive was just closed
        self._empty = True

    @property
    def at_top_level(self) -> bool:
        """Whether a directive that begins now would be one of the document's own."""
        return not self._open and self._list is None and not self._skip

    def complete(self) -> list[Directive]:
        """Return the directives that are complete so far, and release them.

        Recovery from a syntax error looks back at earlier directives: after an error the result would be incomplete.
        """
        if self._open or self._current is not None:
            return []
        complete = self._top
        self._top = []
        return complete

    def feed(self, stream: list[Token]) -> None:
        """Take tokens."""
        for kind, lexeme in stream:
            if self._skip:
                if kind == "{":
                    self._skip += 1
                elif kind == "}":
                    self._skip -= 1
                continue
            if kind == "end":
                self._end()
            elif kind == "comment":
                self._comment(lexeme.text)
            elif self._skip_line:
                if kind == "{":  # what it opens belongs to a line that could not be read
                    self._skip = 1
                    self._skip_line = False
            elif self._list is not None and not self._abandoned(kind, lexeme):
                self._in_list(kind, lexeme)
            else:
                self._dispatch(kind, lexeme)

    def _dispatch(self, kind: str, lexeme: Lexeme) -> None:
        if kind == "word":
            self._word(lexeme)
        elif kind == "[":
            self._open_list(lexeme)
        elif kind == "{":
            self._open_block(lexeme)
        elif kind == "}":
            self._close_block(lexeme)
        elif kind == ";":
            self._finish()
        else:
            self._wrong(lexeme, f"{lexeme.text!r} can't stand here", "commas and ] belong into [ ]")

    def finish(self) -> Document:
        """The tree, or what is left of it after `complete`."""
        if self._list is not None:
            self._close_list()
        for directive in self._open[:1]:  # one message for the outermost; the inner ones follow from it
            directive.has_syntax_error = True
            out = next(
                (
                    n
                    for n, inner in enumerate(directive.block)
                    if inner.name.location.column <= directive.name.location.column
                ),
                len(directive.block),
            )
            self._top += directive.block[out:]  # lines that were plainly not meant to be inside
            del directive.block[out:]
            self._problems.append(
                Problem(
                    directive.name.location,
                    f"the block of {directive.name.text!r} is not closed",
                    "end it with }",
                    width=len(directive.name.text),
                )
            )
        self._finish()
        while self._above and not self._above[-1]:
            self._above.pop()
        return Document(self._top, self._above)

    def _wrong(self, lexeme: Lexeme, message: str, suggestion: str) -> None:
        self._problems.append(problem_at(lexeme, message, suggestion, code="syntax"))
        self._skip_line = True
        if self._current is not None:
            self._current.has_syntax_error = True

    def _word(self, lexeme: Lexeme) -> None:
        self._empty = False
        if self._current is not None:
            self._current.values.append(lexeme)
            return
        if lexeme.quoted:
            self._wrong(lexeme, "a directive's name can't be a string", "write the name without quotes")
            return
        self._current = Directive(lexeme, comments_above=self._above)
        self._above = []
        (self._open[-1].block if self._open else self._top).append(self._current)
        self._last, self._closed = self._current, False

    def _open_list(self, lexeme: Lexeme) -> None:
        self._empty = False
        if self._current is None:
            self._wrong(lexeme, "a line can't begin with a list", "begin with a directive's name")
            return
        self._list = List([], lexeme.location)
        self._current.values.append(self._list)

    def _abandoned(self, kind: str, lexeme: Lexeme) -> bool:
        """Whether a list was never closed: a later line begins no further right than the list's own."""
        if (
            kind == "]"
            or lexeme.location.line == self._list.location.line
            or lexeme.location.column > self._current.name.location.column
        ):
            return False
        self._close_list()
        self._finish()
        return True

    def _close_list(self) -> None:
        self._problems.append(Problem(self._list.location, "a list that is not closed", "end it with ]"))
        self._list, self._current.has_syntax_error = None, True

    def _in_list(self, kind: str, lexeme: Lexeme) -> None:
        if kind == "word":
            self._list.items.append(lexeme)
        elif kind == "]":
            self._list = None
        elif kind != ",":
            self._close_list()
            self._skip_line = True
            if kind == "{":
                self._skip, self._skip_line = 1, False

    def _open_block(self, lexeme: Lexeme) -> None:
        self._empty = False
        if self._current is None:
            self._problems.append(
                problem_at(lexeme, "a block without a directive", "write its name before {", code="syntax")
            )
            self._skip = 1
            return
        if len(self._open) >= MAX_NESTING_DEPTH:
            self._problems.append(
                problem_at(lexeme, f"blocks nested more than {MAX_NESTING_DEPTH} deep", "flatten them", code="syntax")
            )
            self._skip = 1
            self._current = None
            return
        self._current.block = []
        self._open.append(self._current)
        self._current = None

    def _close_block(self, lexeme: Lexeme) -> None:
        self._empty = False
        self._finish()
        if not self._open:
            self._unopened(lexeme)
            return
        directive = self._open.pop()
        while self._above and not self._above[-1]:
            self._above.pop()
        directive.comments_below, self._above = self._above, []
        self._last, self._closed = directive, True

    def _unopened(self, lexeme: Lexeme) -> None:
        """A closing brace too many; or the opening one is missing, where indented lines stand before it."""
        run = len(self._top)
        while run and self._top[run - 1].name.location.column > lexeme.location.column:
            run -= 1
        if 0 < run < len(self._top) and self._top[run - 1].block is None:
            head = self._top[run - 1]
            head.block, self._top[run:] = self._top[run:], []
            self._problems.append(
                problem_at(
                    head.name,
                    f"the {{ of {head.name.text!r}'s block is missing",
                    "write { at the end of its line",
                    code="syntax",
                )
            )
            self._skip_line = True
        else:
            self._wrong(lexeme, "a } without its {", "remove it")

    def _finish(self) -> None:
        self._current = None

    def _end(self) -> None:
        if self._list is not None:
            return
        if self._empty and not self._skip_line and (not self._above or self._above[-1]):
            self._above.append("")
        self._finish()
        self._last, self._skip_line, self._empty = None, False, True

    def _comment(self, text: str) -> None:
        text = "#" + (" " if text[1:2] not in ("", " ", "!", "#") else "") + text[1:]
        self._empty = False
        if self._last is None or self._list is not None:
            if self._list is not None:  # a comment inside a list goes above its directive
                self._current.comments_above.append(text)
            else:
                self._above.append(text)
                self._empty = False
        elif self._closed:
            self._last.closing_comment = f"{self._last.closing_comment} {text}".strip()
        else:
            self._last.trailing_comment = f"{self._last.trailing_comment} {text}".strip()
