"""KNOWN-RED.txt: what is listed may fail and nothing else; what is listed wrongly fails the run."""

import pathlib
import shutil
import subprocess
import sys

import pytest

HERE = pathlib.Path(__file__).parent
RED, GREEN = "test_it.py::test_red", "test_it.py::test_green"


def run(folder, *lines, more=()):
    """Pytest's exit code and what it printed, of a folder with one red and one green test and these lines."""
    for name in ("conftest.py", "known_red.py"):
        shutil.copy(HERE / name, folder / name)
    (folder / "pytest.ini").write_text("[pytest]\n")
    (folder / "test_it.py").write_text("def test_red():\n    assert False\n\n\ndef test_green():\n    pass\n")
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
    code, said = run(tmp_path, f"{RED} | the tide is late | issue 7")
    assert code == 0 and f"known red: {RED} | the tide is late | issue 7" in said and "1 xfailed" in said


@pytest.mark.parametrize(
    ("lines", "code", "word"),
    [
        ((f"{RED} | a | 1", f"{GREEN} | b | 2"), 1, "XPASS(strict)"),
        ((f"{RED} | a | 1", "test_it.py::test_gone | b | 2"), 4, "no test has the id"),
        ((f"{RED} | a | 1", "test_gone.py::test_gone | b | 2"), 4, "no test has the id"),
        (tuple(f"{RED}{n} | a | 1" for n in range(4)), 4, "4 lines, 3 at most"),
        ((f"{RED} | no issue",), 4, "line 1: write"),
        ((f"{RED} | a | 1", f"{RED} | b | 1"), 4, "listed twice"),
    ],
)
def test_what_is_listed_wrongly_fails_the_run(tmp_path, lines, code, word):
    got, said = run(tmp_path, *lines)
    assert got == code and word in said


def test_a_run_of_other_tests_alone_does_not_miss_the_listed(tmp_path):
    assert run(tmp_path, f"{RED} | a | 1", more=[GREEN])[0] == 0
