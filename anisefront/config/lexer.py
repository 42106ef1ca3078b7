r"""Split text into tokens with their places. Free of I/O; it continues after an error, and reports each one once.

word      blanks, quotes, braces, brackets, commas, #, ; and \ end it; ${name} may stand in it
string    "..." on one line, with \" \\ \n \t
comment   # to the end of the line
a final \ joins a line to the next
"""

from __future__ import annotations

import re
import unicodedata
from dataclasses import dataclass
from enum import IntEnum
from typing import NamedTuple

MAX_LINE_LENGTH = 65_536
_TOKEN = re.compile(
    r"""[ \t]*(?:"""
    r"""(?P<word>(?:[^\s"{}\[\],;#\\$\x00-\x1f\x7f]+|\$\{[A-Za-z_][A-Za-z0-9_.-]*\}|\$)+)"""
    r"""|(?P<string>"(?:[^"\\]|\\.)*")|(?P<mark>[{}\[\],;])|(?P<comment>\#.*)"""
    r"""|(?P<join>\\[ \t]*$)|(?P<blank>$))"""
)
_ESCAPE = re.compile(r"\\(.)")
_ESCAPES = {"n": "\n", "t": "\t", '"': '"', "\\": "\\"}


class Severity(IntEnum):
    """How grave a problem is; the exit status of a check follows the gravest."""

    NOTE = 0
    WARNING = 1
    ERROR = 2


class Location(NamedTuple):
    """Where something stands: a file by its number in the load, line and column from 1."""

    file: int
    line: int
    column: int


class Lexeme(NamedTuple):
    """A word or a string, with its place. Compared by text alone where that is meant."""

    text: str
    location: Location
    quoted: bool = False


class Token(NamedTuple):
    """One token: its kind is "word", a mark such as "{", "comment" or "end" of a line."""

    kind: str
    lexeme: Lexeme


@dataclass(frozen=True, slots=True)
class Problem:
    """One fault: where, how grave, what, and how to mend it. `width` is what the caret underlines."""

    location: Location
    message: str
    suggestion: str = ""
    severity: Severity = Severity.ERROR
    width: int = 1
    code: str = "syntax"


def problem_at(
    lexeme: Lexeme, message: str, suggestion: str = "", severity: Severity = Severity.ERROR, code: str = "value"
) -> Problem:
    """A problem with a word."""
    return Problem(lexeme.location, message, suggestion, severity, max(1, len(lexeme.text) + 2 * lexeme.quoted), code)


def decode(data: bytes, file: int) -> tuple[str, list[Problem]]:
    """The text of a file. A byte-order mark is dropped; bytes that are no UTF-8 are named and stand as U+FFFD."""
    if data.startswith((b"\xff\xfe", b"\xfe\xff")):
        return "", [Problem(Location(file, 1, 1), "the file is UTF-16", "save it as UTF-8", code="encoding")]
    try:
        return data.removeprefix(b"\xef\xbb\xbf").decode(), []
    except UnicodeDecodeError as problem:
        before = data[: problem.start]
        line = before.count(b"\n") + 1
        column = len(before.rpartition(b"\n")[2].decode("utf-8", "replace")) + 1
        message = f"byte 0x{data[problem.start]:02X} is no UTF-8"
        text = data.removeprefix(b"\xef\xbb\xbf").decode("utf-8", "replace")
        return text, [Problem(Location(file, line, column), message, "save the file as UTF-8", code="encoding")]


def tokenize(text: str, file: int) -> tuple[list[Token], list[Problem]]:
    """All tokens of a file, with an "end" after each logical line, and the faults in it."""
    out: list[Token] = []
    problems: list[Problem] = []
    for number, line in enumerate(text.split("\n"), 1):
        tokenize_line(line, number, file, out, problems)
    return out, problems


def tokenize_line(line: str, number: int, file: int, out: list[Token], problems: list[Problem]) -> bool:
    """The tokens of one line are added; false where it is joined to the next, which must then be added to the same."""
    line = line.removesuffix("\r")
    if len(line) > MAX_LINE_LENGTH:
        problems.append(
            Problem(
                Location(file, number, MAX_LINE_LENGTH + 1),
                f"a line of {len(line)} characters, at most {MAX_LINE_LENGTH}",
                "break it up",
            )
        )
        out.append(Token("end", Lexeme("", Location(file, number, 1))))
        return True
    ended = _line(line, number, file, out, problems)
    if ended:
        out.append(Token("end", Lexeme("", Location(file, number, len(line) + 1))))
    return ended


def _line(line: str, number: int, file: int, out: list[Token], problems: list[Problem]) -> bool:
    """The tokens of one line; false where it is joined to the next."""
    at, end, match, add = 0, len(line), _TOKEN.match, out.append
    while at < end:
        found = match(line, at)
        if found is None:
            at += len(line[at:]) - len(line[at:].lstrip(" \t"))
            message, suggestion = _describe_invalid_character(line, at)
            problems.append(Problem(Location(file, number, at + 1), message, suggestion))
            while out and out[-1].kind != "end":  # half a directive would only bring faults of its own
                out.pop()
            return True
        kind, at = found.lastgroup, found.end()
        if kind == "blank":
            break
        text = found[kind]
        location = Location(file, number, at - len(text) + 1)
        if kind == "word":
            add(Token("word", Lexeme(text, location)))
            if not text.isascii() and (other := _find_homoglyph(text)):
                problems.append(
                    Problem(
                        location,
                        f"{text!r} holds {other}, which looks like another letter",
                        "write it anew",
                        Severity.WARNING,
                        len(text),
                        "look-alike",
                    )
                )
        elif kind == "string":
            add(Token("word", Lexeme(_unescape(text[1:-1], location, problems), location, True)))
        elif kind == "mark":
            add(Token(text, Lexeme(text, location)))
        elif kind == "comment":
            add(Token("comment", Lexeme(text.rstrip(), location)))
        else:
            return False
    return True


def _describe_invalid_character(line: str, at: int) -> tuple[str, str]:
    if line[at] == '"':
        return "a string that is not closed", 'end it with " on the same line'
    if line[at] == "\\":
        return "a \\ in the middle of a line", "quote the word, or let the \\ end the line"
    return f"character U+{ord(line[at]):04X} can't stand here", "remove it"


def _unescape(text: str, location: Location, problems: list[Problem]) -> str:
    if "\\" not in text:
        return text

    def replace(found: re.Match[str]) -> str:
        if found[1] not in _ESCAPES:
            problems.append(
                Problem(
                    Location(location.file, location.line, location.column + 1 + found.start()),
                    f"{found[0]} is no escape",
                    'known are \\" \\\\ \\n \\t',
                    width=2,
                )
            )
        return _ESCAPES.get(found[1], found[1])

    return _ESCAPE.sub(replace, text)


def _find_homoglyph(text: str) -> str:
    """The first letter of a word that is of another script than the Latin ones beside it."""
    if not any("a" <= letter.lower() <= "z" for letter in text):
        return ""
    for letter in text:
        if not letter.isascii() and letter.isalpha() and not unicodedata.name(letter, "").startswith("LATIN"):
            return f"{unicodedata.name(letter, 'a letter').lower()} (U+{ord(letter):04X})"
    return ""
