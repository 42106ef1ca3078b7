r"""Splits text into tokens with their locations.

The lexer does no I/O. It continues after an error and reports each error once.

word      ends before a space, quote, brace, bracket, comma, #, ; or \; may contain ${name}
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
    """Severity of a problem. The most severe one determines the exit status of a check."""

    NOTE = 0
    WARNING = 1
    ERROR = 2


class Location(NamedTuple):
    """A position in the source: the file by its number in the load, line and column from 1."""

    file: int
    line: int
    column: int


class Lexeme(NamedTuple):
    """The text of a token and its location; of a string without quotes and escapes."""

    text: str
    location: Location
    quoted: bool = False


class Token(NamedTuple):
    """One token. Its kind is "word", a punctuation mark such as "{", "comment", or "end" (of a logical line)."""

    kind: str
    lexeme: Lexeme


@dataclass(frozen=True, slots=True)
class Problem:
    """A diagnostic message.

    Attributes:
        location: Where the problem was found.
        message: What is wrong.
        suggestion: How to correct it; may be empty.
        severity: How severe it is.
        width: Number of characters that the caret underlines.
        code: Machine-readable kind of the problem.
    """

    location: Location
    message: str
    suggestion: str = ""
    severity: Severity = Severity.ERROR
    width: int = 1
    code: str = "syntax"


def problem_at(
    lexeme: Lexeme, message: str, suggestion: str = "", severity: Severity = Severity.ERROR, code: str = "value"
) -> Problem:
    """Return a problem that underlines a lexeme."""
    return Problem(lexeme.location, message, suggestion, severity, max(1, len(lexeme.text) + 2 * lexeme.quoted), code)


def decode(data: bytes, file: int) -> tuple[str, list[Problem]]:
    """Decode the bytes of a file as UTF-8.

    A byte-order mark is dropped. The first invalid byte is reported; invalid bytes are replaced by U+FFFD.
    """
    if data.startswith((b"\xff\xfe", b"\xfe\xff")):
        return "", [Problem(Location(file, 1, 1), "the file is UTF-16", "save it as UTF-8", code="encoding")]
    try:
        return data.removeprefix(b"\xef\xbb\xbf").decode(), []
    except UnicodeDecodeError as error:
        before = data[: error.start]
        line = before.count(b"\n") + 1
        column = len(before.rpartition(b"\n")[2].decode("utf-8", "replace")) + 1
        message = f"byte 0x{data[error.start]:02X} is no UTF-8"
        text = data.removeprefix(b"\xef\xbb\xbf").decode("utf-8", "replace")
        return text, [Problem(Location(file, line, column), message, "save the file as UTF-8", code="encoding")]


def tokenize(text: str, file: int) -> tuple[list[Token], list[Problem]]:
    """Return all tokens of a file, with an "end" token after each logical line, and the problems found."""
    out: list[Token] = []
    problems: list[Problem] = []
    for number, line in enumerate(text.split("\n"), 1):
        tokenize_line(line, number, file, out, problems)
    return out, problems


def tokenize_line(line: str, number: int, file: int, out: list[Token], problems: list[Problem]) -> bool:
    """Append the tokens of one physical line to `out`.

    Returns:
        Whether the logical line ends here; False if it is joined to the next physical line.
    """
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
    ended = _scan_line(line, number, file, out, problems)
    if ended:
        out.append(Token("end", Lexeme("", Location(file, number, len(line) + 1))))
    return ended


def _scan_line(line: str, number: int, file: int, out: list[Token], problems: list[Problem]) -> bool:
    """Append the tokens of one line; return False if a backslash joins it to the next."""
    offset, end, match, append = 0, len(line), _TOKEN.match, out.append
    while offset < end:
        token_match = match(line, offset)
        if token_match is None:
            offset += len(line[offset:]) - len(line[offset:].lstrip(" \t"))
            message, suggestion = _describe_invalid_character(line, offset)
            problems.append(Problem(Location(file, number, offset + 1), message, suggestion))
            while out and out[-1].kind != "end":  # the rest of this logical line would only cause follow-up errors
                out.pop()
            return True
        kind, offset = token_match.lastgroup, token_match.end()
        if kind == "blank":
            break
        text = token_match[kind]
        location = Location(file, number, offset - len(text) + 1)
        if kind == "word":
            append(Token("word", Lexeme(text, location)))
            if not text.isascii() and (homoglyph := _find_homoglyph(text)):
                problems.append(
                    Problem(
                        location,
                        f"{text!r} holds {homoglyph}, which looks like another letter",
                        "write it anew",
                        Severity.WARNING,
                        len(text),
                        "look-alike",
                    )
                )
        elif kind == "string":
            append(Token("word", Lexeme(_unescape(text[1:-1], location, problems), location, True)))
        elif kind == "mark":
            append(Token(text, Lexeme(text, location)))
        elif kind == "comment":
            append(Token("comment", Lexeme(text.rstrip(), location)))
        else:
            return False
    return True


def _describe_invalid_character(line: str, offset: int) -> tuple[str, str]:
    """Return message and suggestion for a character that begins no token."""
    if line[offset] == '"':
        return "a string that is not closed", 'end it with " on the same line'
    if line[offset] == "\\":
        return "a \\ in the middle of a line", "quote the word, or let the \\ end the line"
    return f"character U+{ord(line[offset]):04X} can't stand here", "remove it"


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
    """Return the name of the first non-Latin letter in a word that also has Latin letters; "" if there is none."""
    if not any("a" <= letter.lower() <= "z" for letter in text):
        return ""
    for letter in text:
        if not letter.isascii() and letter.isalpha() and not unicodedata.name(letter, "").startswith("LATIN"):
            return f"{unicodedata.name(letter, 'a letter').lower()} (U+{ord(letter):04X})"
    return ""
