"""Problems for a person, and for programs. Free of I/O."""

from __future__ import annotations

from collections import Counter
from typing import Any

from anisefront.config.lexer import Problem, Severity
from anisefront.config.loader import LoadedSources

MAX_SHOWN_LENGTH = 160  # characters of a line that are shown


def format_problem(load: LoadedSources, problem: Problem) -> str:
    """The problem with its line, a caret under the place, and the includes that led there."""
    suggestion = f" - {problem.suggestion}" if problem.suggestion else ""
    out = [f"{load.format_location(problem.location)}: {problem.severity.name.lower()}: {problem.message}{suggestion}"]
    line = load.line(problem.location)
    if line:
        shown, start = line, 0
        if len(line) > MAX_SHOWN_LENGTH:
            start = max(0, problem.location.column - MAX_SHOWN_LENGTH // 2)
            shown = line[start : start + MAX_SHOWN_LENGTH]
        at = problem.location.column - 1 - start
        blank = "".join("\t" if letter == "\t" else " " for letter in shown[:at]) + " " * max(0, at - len(shown))
        out.append(f"    {shown}")
        out.append(f"    {blank}{'^' * max(1, min(problem.width, max(1, len(shown) - at)))}")
    out += [f"    included at {load.format_location(location)}" for location in load.include_chain(problem.location)]
    return "\n".join(out)


def as_json(load: LoadedSources, problem: Problem) -> dict[str, Any]:
    """The problem in plain values, for editors and CI."""
    path = load.sources[problem.location.file].path if problem.location.file < len(load.sources) else ""
    return {
        "file": path,
        "line": problem.location.line,
        "column": problem.location.column,
        "width": problem.width,
        "severity": problem.severity.name.lower(),
        "code": problem.code,
        "message": problem.message,
        "mend": problem.suggestion,
        "included_at": [load.format_location(location) for location in load.include_chain(problem.location)],
    }


def summarize(problems: list[Problem]) -> str:
    """How many of each."""
    counts = Counter(problem.severity for problem in problems)
    words = [
        f"{counts[severity]} {severity.name.lower()}{'s' if counts[severity] != 1 else ''}"
        for severity in reversed(Severity)
        if counts[severity]
    ]
    return ", ".join(words) or "nothing wrong"


def exit_status(problems: list[Problem], strict: bool = False) -> int:
    """The exit status: 2 for errors, 1 for warnings where these count, else 0."""
    worst = max((problem.severity for problem in problems), default=Severity.NOTE)
    return 2 if worst is Severity.ERROR else 1 if worst is Severity.WARNING and strict else 0
