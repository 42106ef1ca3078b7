"""Coverage-guided fuzzer of the settings language with a time limit: `make fuzz`, or this file with SECONDS and SEED.

Texts that reach new lines of code are added to the corpus. For each text, nothing raises, the check ends soon, an
incremental load finds the same problems, and the output of the formatter is valid and unchanged by formatting again.
Findings are printed; they become cases of tests/test_config_corpus.py.
"""

import pathlib
import random
import sys
import time

sys.path[:0] = [str(pathlib.Path(__file__).parent), str(pathlib.Path(__file__).parent.parent)]

from test_config_corpus import CASES, GOOD, WARNINGS, check_text  # noqa: E402

from anisefront.config import checker, formatter, loader  # noqa: E402
from anisefront.config.parser import parse  # noqa: E402
from anisefront.config.incremental_loader import IncrementalLoader  # noqa: E402
from anisefront.gateway.steps import run_to_end  # noqa: E402

FILES = {
    "lexer.py",
    "parser.py",
    "checker.py",
    "values.py",
    "loader.py",
    "source_files.py",
    "definitions.py",
    "semantic_checks.py",
    "route_checks.py",
    "route_crossings.py",
    "config_builder.py",
    "formatter.py",
    "file_record.py",
    "cross_file_checks.py",
    "incremental_loader.py",
    "load_attempt.py",
    "incremental_checks.py",
    "problem_texts.py",
}
PIECES = [
    "{",
    "}",
    "[",
    "]",
    '"',
    "\\",
    "\\\n",
    "#",
    ";",
    ",",
    "${",
    "${a}",
    "*",
    ":",
    "/",
    "=",
    "%",
    "\n",
    "\t",
    " ",
    "0",
    "-1",
    "1e9",
    "define x [a] {\n",
    "use x [1]\n",
    "env A default b\n",
    "language 2\n",
    "include x\n",
    "route GET /",
    "when [a=1]",
    "host *.a",
    "\ufeff",
    "\u0430",
    "\0",
    "é",
    "9" * 30,
    "s",
    "/s",
    "ms",
]


def check_properties(text):
    """Check the properties that hold for all texts; raises if one is violated."""
    began = time.perf_counter()
    checked = check_text(text)
    assert time.perf_counter() - began < 5, "the check takes too long"
    assert (checked.config is None) == any(problem.severity == 2 for problem in checked.problems)
    file_contents = {"f.conf": text.encode()}

    def read(path):
        if path not in file_contents:
            raise FileNotFoundError(2, "No such file or directory", path)
        return file_contents[path]

    fresh = checker.check(loader.load("f.conf", read, lambda pattern: []), {}, notes=False)
    outcome = run_to_end(IncrementalLoader("f.conf", {}, read, lambda pattern: []).steps())
    assert outcome.problems == tuple(fresh.problems) and (outcome.config is None) == (fresh.config is None)
    document, problems = parse(text)
    if not problems:
        formatted = formatter.format_document(document)
        reparsed, more = parse(formatted)
        assert not more and formatter.format_document(reparsed) == formatted, "the formatter is not idempotent"


def covered_lines(text):
    """Return the lines of the language's modules that are run for a text."""
    lines = set()

    def trace(frame, event, argument):
        name = frame.f_code.co_filename.rpartition("/")[2]
        if name not in FILES:
            return None
        lines.add((name, frame.f_lineno))
        return trace

    sys.settrace(trace)
    try:
        check_properties(text)
    finally:
        sys.settrace(None)
    return lines


def mutate(text, other, generator):
    """Return a text with a few random changes; `other` is a source of fragments."""
    for _ in range(generator.randrange(1, 5)):
        at, end = sorted(generator.randrange(len(text) + 1) for _ in range(2))
        kind = generator.randrange(6)
        if kind == 0:
            text = text[:at] + generator.choice(PIECES) + text[at:]
        elif kind == 1:
            text = text[:at] + text[min(end, at + 30) :]
        elif kind == 2:
            text = text[:at] + text[at : min(end, at + 60)] * 2 + text[at:]
        elif kind == 3:
            start = generator.randrange(len(other) + 1)
            text = text[:at] + other[start : start + 60] + text[at:]
        elif kind == 4:
            lines = text.split("\n")
            generator.shuffle(lines)
            text = "\n".join(lines)
        else:
            text = text[:at] + generator.choice(PIECES) + text[at + 1 :]
    return text[:6000]


def main(seconds, seed):
    generator = random.Random(seed)
    corpus = [GOOD] + [GOOD.replace(old, new, 1)[:6000] for old, new, _, _ in CASES + WARNINGS]
    covered, run_count, findings, end = set(), 0, 0, time.monotonic() + seconds
    for text in corpus:
        covered |= covered_lines(text)
    first = len(covered)
    while time.monotonic() < end:
        text = mutate(generator.choice(corpus), generator.choice(corpus), generator)
        run_count += 1
        try:
            lines = covered_lines(text)
        except Exception as problem:
            findings += 1
            print(f"FIND {type(problem).__name__}: {problem}\n{text!r}")
            continue
        if lines - covered:
            covered |= lines
            corpus.append(text)
    print(f"{run_count} texts, {len(corpus)} kept, lines reached {first} -> {len(covered)}, {findings} finds")
    return 1 if findings else 0


if __name__ == "__main__":
    sys.exit(main(float(sys.argv[1]) if len(sys.argv) > 1 else 60.0, int(sys.argv[2]) if len(sys.argv) > 2 else 1))
