"""Formats problems as text for people and as plain values for programs. Free of I/O."""

from __future__ import annotations

from collections import Counter
from typing import Any

from anisefront.config.lexer import Problem, Severity
from anisefront.config.loader import LoadedSources

MAX_SHOWN_LENGTH = 160  # characters of a source line that are shown


def format_problem(loaded: LoadedSources, problem: Problem) -> str:
    """Format a problem with its source line, a caret under its location, and the chain of includes."""
    suggestion = f" - {problem.suggestion}" if problem.suggestion else ""
    lines = [
        f"{loaded.format_location(problem.location)}: {problem.severity.name.lower()}: {problem.message}{suggestion}"
    ]
    source_line = loaded.line(problem.location)
    if source_line:
        shown_line, start = source_line, 0
        if len(source_line) > MAX_SHOWN_LENGTH:
            start = max(0, problem.location.column - MAX_SHOWN_LENGTH // 2)
            shown_line = source_line[start : start + MAX_SHOWN_LENGTH]
        column = problem.location.column - 1 - start
        padding = "".join("\t" if letter == "\t" else " " for letter in shown_line[:column]) + " " * max(
            0, column - len(shown_line)
        )
        lines.append(f"    {shown_line}")
        lines.append(f"    {padding}{'^' * max(1, min(problem.width, max(1, len(shown_line) - column)))}")
    lines += [
        f"    included at {loaded.format_location(location)}" for location in loaded.include_chain(problem.location)
    ]
    return "\n".join(lines)


def as_json(loaded: LoadedSources, problem: Problem) -> dict[str, Any]:
    """Return a problem as plain values, for editors and CI."""
    path = loaded.sources[problem.location.file].path if problem.location.file < len(loaded.sources) else ""
    return {
        "file": path,
        "line": problem.location.line,
        "column": problem.location.column,
        "width": problem.width,
        "severity": problem.severity.name.lower(),
        "code": problem.code,
        "message": problem.message,
        "mend": problem.suggestion,
        "included_at": [loaded.format_location(location) for location in loaded.include_chain(problem.location)],
    }


def summarize(problems: list[Problem]) -> str:
    """Return the number of problems by severity, as a sentence."""
    counts = Counter(problem.severity for problem in problems)
    words = [
        f"{counts[severity]} {severity.name.lower()}{'s' if counts[severity] != 1 else ''}"
        for severity in reversed(Severity)
        if counts[severity]
    ]
    return ", ".join(words) or "nothing wrong"


def exit_status(problems: list[Problem], strict: bool = False) -> int:
    """Return the exit status: 2 for errors, 1 for warnings if `strict`, else 0."""
    most_severe = max((problem.severity for problem in problems), default=Severity.NOTE)
    return 2 if most_severe is Severity.ERROR else 1 if most_severe is Severity.WARNING and strict else 0
