"""Settings behave as recorded: problems with locations and texts, digests, `show`, `fmt`, exit codes and values.

The expected data was recorded at d16e519 and is never recorded again; see settings_samples.py.
"""

import json
import os
import subprocess
import sys

import pytest
import settings_samples

EXPECTED = json.loads(settings_samples.EXPECTED.read_text(encoding="utf-8"))
SAMPLES = settings_samples.samples()
SAMPLES_OF_PROCESSES = ["good", "broken-000", "warned-000", "in-pieces", "in-pieces-with-faults"]


@pytest.fixture(scope="module")
def observed(tmp_path_factory):
    """Return the observations of each recorded sample."""
    return {
        name: settings_samples.observe(SAMPLES[name], tmp_path_factory.mktemp("sample"))
        for name in EXPECTED["samples"]
        if name in SAMPLES
    }


def run_in_process(folder, *arguments):
    """Run a command in a separate process and return its result like `settings_samples.outcome`."""
    environment = {key: value for key, value in os.environ.items() if key not in settings_samples.UNSET_VARIABLES}
    environment["PYTHONPATH"] = str(settings_samples.ROOT)
    done = subprocess.run(
        [sys.executable, "-m", "anisefront", *arguments],
        cwd=folder,
        env=environment,
        timeout=60,
        capture_output=True,
        text=True,
        check=False,
    )
    return {
        "exit": done.returncode,
        "stdout": settings_samples.remove_directory(done.stdout, folder),
        "stderr": settings_samples.remove_directory(done.stderr, folder),
    }


def test_every_recorded_sample_is_still_there_with_the_same_text(observed):
    changed = [
        name
        for name, expected in EXPECTED["samples"].items()
        if name not in observed or observed[name]["input"] != expected["input"]
    ]
    assert changed == []


def test_the_recorded_samples_cover_the_corpus_and_the_examples():
    names = list(EXPECTED["samples"])
    assert sum(name.startswith("broken-") for name in names) >= 120
    assert {"good", "example-loopback", "bad-saturday", "bad-saturday-whole", "all-options"} <= set(names)


@pytest.mark.parametrize("name", EXPECTED["samples"])
def test_sample_behaves_as_recorded(observed, name):
    assert observed[name] == EXPECTED["samples"][name]


def test_reference_page_is_as_recorded(tmp_path):
    assert settings_samples.observe_reference(tmp_path) == EXPECTED["reference"]


@pytest.mark.parametrize("name", SAMPLES_OF_PROCESSES)
def test_check_in_a_process_of_its_own_says_the_same(tmp_path, name):
    settings_samples.write_sample(SAMPLES[name], tmp_path)
    found = run_in_process(tmp_path, "check", settings_samples.MAIN)
    assert found == EXPECTED["samples"][name]["check"]


@pytest.mark.parametrize("command", ["digest", "show"])
def test_config_command_in_a_process_of_its_own_says_the_same(tmp_path, command):
    settings_samples.write_sample(SAMPLES["all-options"], tmp_path)
    found = run_in_process(tmp_path, "config", command, settings_samples.MAIN)
    assert settings_samples.abbreviate(found) == EXPECTED["samples"]["all-options"][command]


def test_recording_refuses_to_overwrite_expected_data(tmp_path):
    path = tmp_path / "expected.json"
    path.write_text("kept")
    with pytest.raises(FileExistsError):
        settings_samples.record(path)
    assert path.read_text() == "kept"
