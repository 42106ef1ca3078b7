"""A coverage-guided fuzz of the settings language, bounded in time: `make fuzz`, or this file with SECONDS and SEED.

Texts that reach lines not reached before are kept and changed further. What must hold of each: nothing raises, the
check ends soon, a reading in steps says the same, and what the formatter writes parses the same and is written the same
again. Finds are printed, and become cases of tests/test_config_corpus.py.
"""

import pathlib
import random
import sys
import time

sys.path[:0] = [str(pathlib.Path(__file__).parent), str(pathlib.Path(__file__).parent.parent)]

from test_config_corpus import CASES, GOOD, WARNINGS, found  # noqa: E402

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
    "model.py",
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


def holds(text):
    """What must hold of every text; raises where it does not."""
    began = time.perf_counter()
    checked = found(text)
    assert time.perf_counter() - began < 5, "the check takes too long"
    assert (checked.config is None) == any(problem.severity == 2 for problem in checked.problems)
    own = {"f.conf": text.encode()}

    def read(path):
        if path not in own:
            raise FileNotFoundError(2, "No such file or directory", path)
        return own[path]

    fresh = checker.check(loader.load("f.conf", read, lambda pattern: []), {}, notes=False)
    outcome = run_to_end(IncrementalLoader("f.conf", {}, read, lambda pattern: []).steps())
    assert outcome.problems == tuple(fresh.problems) and (outcome.config is None) == (fresh.config is None)
    document, problems = parse(text)
    if not problems:
        once = formatter.format_document(document)
        again, more = parse(once)
        assert not more and formatter.format_document(again) == once, "the formatter does not settle"


def reached(text):
    """The lines of the language's files that a check of the text runs."""
    lines = set()

    def trace(frame, event, argument):
        name = frame.f_code.co_filename.rpartition("/")[2]
        if name not in FILES:
            return None
        lines.add((name, frame.f_lineno))
        return trace

    sys.settrace(trace)
    try:
        holds(text)
    finally:
        sys.settrace(None)
    return lines


def change(text, other, chance):
    """One text made of another by a few changes."""
    for _ in range(chance.randrange(1, 5)):
        at, end = sorted(chance.randrange(len(text) + 1) for _ in range(2))
        kind = chance.randrange(6)
        if kind == 0:
            text = text[:at] + chance.choice(PIECES) + text[at:]
        elif kind == 1:
            text = text[:at] + text[min(end, at + 30) :]
        elif kind == 2:
            text = text[:at] + text[at : min(end, at + 60)] * 2 + text[at:]
        elif kind == 3:
            start = chance.randrange(len(other) + 1)
            text = text[:at] + other[start : start + 60] + text[at:]
        elif kind == 4:
            lines = text.split("\n")
            chance.shuffle(lines)
            text = "\n".join(lines)
        else:
            text = text[:at] + chance.choice(PIECES) + text[at + 1 :]
    return text[:6000]


def main(seconds, seed):
    chance = random.Random(seed)
    kept = [GOOD] + [GOOD.replace(old, new, 1)[:6000] for old, new, _, _ in CASES + WARNINGS]
    known, done, finds, end = set(), 0, 0, time.monotonic() + seconds
    for text in kept:
        known |= reached(text)
    first = len(known)
    while time.monotonic() < end:
        text = change(chance.choice(kept), chance.choice(kept), chance)
        done += 1
        try:
            lines = reached(text)
        except Exception as problem:
            finds += 1
            print(f"FIND {type(problem).__name__}: {problem}\n{text!r}")
            continue
        if lines - known:
            known |= lines
            kept.append(text)
    print(f"{done} texts, {len(kept)} kept, lines reached {first} -> {len(known)}, {finds} finds")
    return 1 if finds else 0


if __name__ == "__main__":
    sys.exit(main(float(sys.argv[1]) if len(sys.argv) > 1 else 60.0, int(sys.argv[2]) if len(sys.argv) > 2 else 1))
