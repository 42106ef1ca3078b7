"""KNOWN-RED.txt: what is listed may fail and nothing else; what is listed wrongly fails the run."""

import pathlib
import shutil
import subprocess
import sys

import pytest

HERE = pathlib.Path(__file__).parent
RED, GREEN = "test_it.py::test_red", "test_it.py::test_green"


CASES = "def test_green():\n    pass\n"


def run(folder, *lines, more=(), cases=CASES):
    """Pytest's exit code and what it printed, of a folder with one red test and some others and these lines."""
    for name in ("conftest.py", "known_red.py"):
        shutil.copy(HERE / name, folder / name)
    (folder / "pytest.ini").write_text("[pytest]\n")
    (folder / "test_it.py").write_text(f"def test_red():\n    assert False\n\n\n{cases}")
    if lines:
        (folder / "KNOWN-RED.txt").write_text("\n".join(lines) + "\n")
    done = subprocess.run(
        [sys.executable, "-m", "pytest", "-q", "-p", "no:cacheprovider", *more],
        cwd=folder,
        capture_output=True,
        text=True,
        timeout=60,
    )
    return done.returncode, done.stdout + done.stderr


def test_without_the_file_a_red_test_fails_the_run(tmp_path):
    assert run(tmp_path)[0] == 1


def test_a_listed_test_may_fail_and_is_printed(tmp_path):
    line = f"{RED} | pytest, seed 3 | the tide is late | issue 7"
    code, said = run(tmp_path, line)
    assert code == 0
    assert f"known red: {line}" in said
    assert "1 xfailed" in said


FLAKY_ENDS = ["issue 7 | flaky 2 of 9", "flaky 2 of 9"]


@pytest.mark.parametrize("end", FLAKY_ENDS)
def test_a_flaky_entry_that_fails_passes_the_run_and_is_printed(tmp_path, end):
    line = f"{RED} | pytest, seed 3 | the tide is late | {end}"
    code, said = run(tmp_path, line)
    assert code == 0
    assert f"known red: {line}" in said
    assert "1 xfailed" in said


@pytest.mark.parametrize("end", FLAKY_ENDS)
def test_a_flaky_entry_that_passes_passes_the_run_and_is_printed(tmp_path, end):
    line = f"{GREEN} | pytest, seed 3 | the tide is late | {end}"
    code, said = run(tmp_path, line, more=[GREEN])
    assert code == 0
    assert f"known red: {line}" in said
    assert "1 xpassed" in said


def test_a_flaky_entry_lets_no_other_test_fail(tmp_path):
    assert run(tmp_path, f"{GREEN} | c | a | issue 7 | flaky 2 of 9")[0] == 1


@pytest.mark.parametrize(
    "end",
    [
        "flaky",
        "flaky 2",
        "flaky of 9",
        "flaky some of many",
        "flaky 0 of 9",
        "flaky 9 of 9",
        "flaky 10 of 9",
        "Flaky 2 of 9",
        "issue 7 | flaky",
        "issue 7 | often",
        "issue 7, flaky 2 of 9",
        "flaky 2 of 9 | issue 7",
        "flaky 2 of 9 | flaky 2 of 9",
        "issue 7 | flaky 2 of 9 | more",
    ],
)
def test_a_flaky_entry_without_proper_counts_is_malformed(tmp_path, end):
    code, said = run(tmp_path, f"{RED} | c | a | {end}")
    assert code == 4
    assert "line 1: write" in said


@pytest.mark.parametrize(
    ("lines", "code", "word"),
    [
        ((f"{RED} | c | a | 1", f"{GREEN} | c | b | 2"), 1, "XPASS(strict)"),
        ((f"{RED} | c | a | 1", "test_it.py::test_gone | c | b | 2"), 4, "no test has the id"),
        ((f"{RED} | c | a | 1", "test_gone.py::test_gone | c | b | 2"), 4, "no test has the id"),
        (tuple(f"{RED}{n} | c | a | 1" for n in range(4)), 4, "no test has the id"),
        ((f"{RED} | c | no issue",), 4, "line 1: write"),
        ((f"{RED} | c | a | 1 | 2",), 4, "line 1: write"),
        ((f"{RED} | c | | 1",), 4, "line 1: write"),
        ((f"{RED} | c | a | 1", f"{RED} | c | b | 1"), 4, "listed twice"),
    ],
)
def test_what_is_listed_wrongly_fails_the_run(tmp_path, lines, code, word):
    got, said = run(tmp_path, *lines)
    assert got == code and word in said


def test_each_line_of_a_long_list_is_printed_and_lets_its_own_test_alone_fail(tmp_path):
    lines = [f"{RED} | c | a | 1", *(f"{GREEN}[{n}] | c | a | 1 | flaky 1 of 9" for n in range(6))]
    cases = "import pytest\n\n\n@pytest.mark.parametrize('n', range(7))\ndef test_green(n):\n    assert False\n"
    code, said = run(tmp_path, *lines, cases=cases)
    assert code == 1
    assert all(f"known red: {line}" in said for line in lines)
    assert "1 failed, 7 xfailed" in said


def test_a_run_of_other_tests_alone_does_not_miss_the_listed(tmp_path):
    assert run(tmp_path, f"{RED} | c | a | 1", more=[GREEN])[0] == 0
