"""Parses tokens into a tree of directives by the grammar of docs/config-grammar.md, without I/O and recursion.

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
# The published grammar. Tests compare these lines with docs/config-grammar.md, and the parser with its examples.
GRAMMAR = tuple(line.strip() for line in __doc__.splitlines() if " = " in line)


@dataclass(slots=True)
class List:
    """A list value, such as `[GET HEAD]`."""

    items: list[Lexeme]
    location: Location

    @property
    def text(self) -> str:
        """Return the list in the syntax of the language, without quotes."""
        return "[" + " ".join(lexeme.text for lexeme in self.items) + "]"


Value = Lexeme | List


@dataclass(slots=True)
class Directive:
    """A directive with its values, its block and the comments that belong to it."""

    name: Lexeme
    values: list[Value] = field(default_factory=list)
    block: list[Directive] | None = None
    comments_above: list[str] = field(default_factory=list)  # comment lines before it; "" stands for an empty line
    trailing_comment: str = ""  # comment on its line or after its opening brace
    comments_below: list[str] = field(default_factory=list)  # comment lines before its closing brace
    closing_comment: str = ""  # comment after its closing brace
    has_syntax_error: bool = False  # part of it could not be parsed; that has been reported


@dataclass(slots=True)
class Document:
    """The tree of one file."""

    directives: list[Directive]
    comments_below: list[str]  # comment lines at the end of the file


def parse(text: str, file: int = 0) -> tuple[Document, list[Problem]]:
    """Parse a text.

    Returns:
        The tree of all that could be parsed, and the syntax problems.
    """
    stream, problems = tokenize(text, file)
    parser = Parser(problems)
    parser.feed(stream)
    return parser.finish(), problems


class Parser:
    """Incremental parser, fed with the tokens of whole logical lines. Problems are appended to `problems`."""

    def __init__(self, problems: list[Problem]) -> None:
        """Create a parser that reports to `problems`."""
        self._problems = problems
        self._top_level: list[Directive] = []
        self._open_blocks: list[Directive] = []  # directives whose blocks are open, the innermost last
        self._current_directive: Directive | None = None
        self._open_list_value: List | None = None
        self._pending_comments: list[str] = []
        self._skipped_depth = 0  # nesting depth within a block that is skipped; 0 outside one
        self._skipping_line = False
        self._last_directive: Directive | None = None  # the directive that a comment on this line belongs to
        self._last_block_closed = False  # whether the block of that directive was closed on this line
        self._line_is_empty = True

    @property
    def at_top_level(self) -> bool:
        """Whether a directive that begins now would be a top-level one."""
        return not self._open_blocks and self._open_list_value is None and not self._skipped_depth

    def complete(self) -> list[Directive]:
        """Return the top-level directives parsed so far and drop them from the parser.

        Valid only while there is no syntax error, since error recovery looks back at earlier directives.
        """
        if self._open_blocks or self._current_directive is not None:
            return []
        complete = self._top_level
        self._top_level = []
        return complete

    def feed(self, stream: list[Token]) -> None:
        """Process tokens of whole logical lines."""
        for kind, lexeme in stream:
            if self._skipped_depth:
                if kind == "{":
                    self._skipped_depth += 1
                elif kind == "}":
                    self._skipped_depth -= 1
                continue
            if kind == "end":
                self._end_line()
            elif kind == "comment":
                self._add_comment(lexeme.text)
            elif self._skipping_line:
                if kind == "{":  # its block belongs to a line that could not be parsed
                    self._skipped_depth = 1
                    self._skipping_line = False
            elif self._open_list_value is not None and not self._ends_unclosed_list(kind, lexeme):
                self._add_to_list(kind, lexeme)
            else:
                self._dispatch(kind, lexeme)

    def _dispatch(self, kind: str, lexeme: Lexeme) -> None:
        if kind == "word":
            self._add_word(lexeme)
        elif kind == "[":
            self._begin_list(lexeme)
        elif kind == "{":
            self._begin_block(lexeme)
        elif kind == "}":
            self._end_block(lexeme)
        elif kind == ";":
            self._end_directive()
        else:
            self._report_and_skip_line(lexeme, f"{lexeme.text!r} can't stand here", "commas and ] belong into [ ]")

    def finish(self) -> Document:
        """End the text and return the tree, without the directives that `complete` has returned."""
        if self._open_list_value is not None:
            self._report_unclosed_list()
        for directive in self._open_blocks[:1]:  # report the outermost only: the inner ones are follow-up errors
            directive.has_syntax_error = True
            outside = next(
                (
                    n
                    for n, inner in enumerate(directive.block)
                    if inner.name.location.column <= directive.name.location.column
                ),
                len(directive.block),
            )
            # By their indentation, these lines were not meant to be in the block.
            self._top_level += directive.block[outside:]
            del directive.block[outside:]
            self._problems.append(
                Problem(
                    directive.name.location,
                    f"the block of {directive.name.text!r} is not closed",
                    "end it with }",
                    width=len(directive.name.text),
                )
            )
        self._end_directive()
        while self._pending_comments and not self._pending_comments[-1]:
            self._pending_comments.pop()
        return Document(self._top_level, self._pending_comments)

    def _report_and_skip_line(self, lexeme: Lexeme, message: str, suggestion: str) -> None:
        self._problems.append(problem_at(lexeme, message, suggestion, code="syntax"))
        self._skipping_line = True
        if self._current_directive is not None:
            self._current_directive.has_syntax_error = True

    def _add_word(self, lexeme: Lexeme) -> None:
        self._line_is_empty = False
        if self._current_directive is not None:
            self._current_directive.values.append(lexeme)
            return
        if lexeme.quoted:
            self._report_and_skip_line(lexeme, "a directive's name can't be a string", "write the name without quotes")
            return
        self._current_directive = Directive(lexeme, comments_above=self._pending_comments)
        self._pending_comments = []
        (self._open_blocks[-1].block if self._open_blocks else self._top_level).append(self._current_directive)
        self._last_directive, self._last_block_closed = self._current_directive, False

    def _begin_list(self, lexeme: Lexeme) -> None:
        self._line_is_empty = False
        if self._current_directive is None:
            self._report_and_skip_line(lexeme, "a line can't begin with a list", "begin with a directive's name")
            return
        self._open_list_value = List([], lexeme.location)
        self._current_directive.values.append(self._open_list_value)

    def _ends_unclosed_list(self, kind: str, lexeme: Lexeme) -> bool:
        """Report and end an unclosed list if this token ends it.

        That is the case on a later line that is not indented further than the directive of the list.
        """
        if (
            kind == "]"
            or lexeme.location.line == self._open_list_value.location.line
            or lexeme.location.column > self._current_directive.name.location.column
        ):
            return False
        self._report_unclosed_list()
        self._end_directive()
        return True

    def _report_unclosed_list(self) -> None:
        self._problems.append(Problem(self._open_list_value.location, "a list that is not closed", "end it with ]"))
        self._open_list_value, self._current_directive.has_syntax_error = None, True

    def _add_to_list(self, kind: str, lexeme: Lexeme) -> None:
        if kind == "word":
            self._open_list_value.items.append(lexeme)
        elif kind == "]":
            self._open_list_value = None
        elif kind != ",":
            self._report_unclosed_list()
            self._skipping_line = True
            if kind == "{":
                self._skipped_depth, self._skipping_line = 1, False

    def _begin_block(self, lexeme: Lexeme) -> None:
        self._line_is_empty = False
        if self._current_directive is None:
            self._problems.append(
                problem_at(lexeme, "a block without a directive", "write its name before {", code="syntax")
            )
            self._skipped_depth = 1
            return
        if len(self._open_blocks) >= MAX_NESTING_DEPTH:
            self._problems.append(
                problem_at(lexeme, f"blocks nested more than {MAX_NESTING_DEPTH} deep", "flatten them", code="syntax")
            )
            self._skipped_depth = 1
            self._current_directive = None
            return
        self._current_directive.block = []
        self._open_blocks.append(self._current_directive)
        self._current_directive = None

    def _end_block(self, lexeme: Lexeme) -> None:
        self._line_is_empty = False
        self._end_directive()
        if not self._open_blocks:
            self._handle_unmatched_brace(lexeme)
            return
        directive = self._open_blocks.pop()
        while self._pending_comments and not self._pending_comments[-1]:
            self._pending_comments.pop()
        directive.comments_below, self._pending_comments = self._pending_comments, []
        self._last_directive, self._last_block_closed = directive, True

    def _handle_unmatched_brace(self, lexeme: Lexeme) -> None:
        """Report a } without its {.

        If indented lines precede it, the { at the end of the line before them is assumed to be missing.
        """
        start = len(self._top_level)
        while start and self._top_level[start - 1].name.location.column > lexeme.location.column:
            start -= 1
        if 0 < start < len(self._top_level) and self._top_level[start - 1].block is None:
            head = self._top_level[start - 1]
            head.block, self._top_level[start:] = self._top_level[start:], []
            self._problems.append(
                problem_at(
                    head.name,
                    f"the {{ of {head.name.text!r}'s block is missing",
                    "write { at the end of its line",
                    code="syntax",
                )
            )
            self._skipping_line = True
        else:
            self._report_and_skip_line(lexeme, "a } without its {", "remove it")

    def _end_directive(self) -> None:
        self._current_directive = None

    def _end_line(self) -> None:
        if self._open_list_value is not None:
            return
        if (
            self._line_is_empty
            and not self._skipping_line
            and (not self._pending_comments or self._pending_comments[-1])
        ):
            self._pending_comments.append("")
        self._end_directive()
        self._last_directive, self._skipping_line, self._line_is_empty = None, False, True

    def _add_comment(self, text: str) -> None:
        text = "#" + (" " if text[1:2] not in ("", " ", "!", "#") else "") + text[1:]
        self._line_is_empty = False
        if self._last_directive is None or self._open_list_value is not None:
            if self._open_list_value is not None:  # a comment inside a list is moved above its directive
                self._current_directive.comments_above.append(text)
            else:
                self._pending_comments.append(text)
                self._line_is_empty = False
        elif self._last_block_closed:
            self._last_directive.closing_comment = f"{self._last_directive.closing_comment} {text}".strip()
        else:
            self._last_directive.trailing_comment = f"{self._last_directive.trailing_comment} {text}".strip()
