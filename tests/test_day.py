"""Runs a short day script over loopback: all rules are kept, and the auditor detects each disabled safeguard."""

import concurrent.futures
import pathlib
import subprocess
import sys

import pytest

ROOT = pathlib.Path(__file__).parent.parent
RULE_BY_GUARD = {
    "one-answer": "one final answer in time",
    "loop-blocked": "one final answer in time",
    "no-effect-twice": "no effect twice",
    "drains": "drains kept",
    "cold": "cold workers not pushed over",
    "ceilings": "ceilings kept",
}


def run_day(guard):
    options = ["--break", guard] if guard else []
    completed = subprocess.run(
        [sys.executable, "-m", "anisefront", "day", "tests/short.script", *options],
        cwd=ROOT,
        capture_output=True,
        text=True,
        timeout=120,
    )
    return completed.returncode, completed.stdout + completed.stderr


@pytest.fixture(scope="module")
def results_by_guard():
    with concurrent.futures.ThreadPoolExecutor(4) as threads:
        return dict(zip((None, *RULE_BY_GUARD), threads.map(run_day, (None, *RULE_BY_GUARD)), strict=True))


def test_every_rule_is_kept(results_by_guard):
    exit_code, output = results_by_guard[None]
    assert exit_code == 0 and "verdict: every rule kept" in output, output


@pytest.mark.parametrize("guard", RULE_BY_GUARD)
def test_the_auditor_detects_a_disabled_safeguard(results_by_guard, guard):
    exit_code, output = results_by_guard[guard]
    rows = {line[:30].strip(): line[30:].split() for line in output.splitlines() if line[30:].strip()[:1].isdigit()}
    assert exit_code == 1 and int(rows[RULE_BY_GUARD[guard]][1]) > 0, output
