"""Encoded messages equal the recorded bytes, and the recorded bytes decode to the recorded values.

The recordings are what other versions of the program send and store. A failure means that instances of two versions are
incompatible, or that clients would see different responses: fix the program, not the recordings.
"""

import pytest
import wire_samples

SAMPLES = {group: make() for group, make in wire_samples.GROUPS.items()}
RECORDED = {group: wire_samples.recorded(group) for group in SAMPLES}
RECORDED_SAMPLES = [(group, name) for group, names in RECORDED.items() for name in names]


@pytest.mark.parametrize("group", SAMPLES)
def test_samples_and_recordings_match(group):
    assert list(SAMPLES[group]) == list(RECORDED[group])


def test_recorded_files_match_the_groups():
    assert {path.name for path in wire_samples.FOLDER.iterdir()} == {f"{group}.json" for group in SAMPLES}


@pytest.mark.parametrize(("group", "name"), RECORDED_SAMPLES)
def test_encoded_sample_equals_the_recording(group, name):
    sample, (data, _) = SAMPLES[group][name], RECORDED[group][name]
    assert sample.same(sample.write()) == sample.same(data)


@pytest.mark.parametrize(("group", "name"), RECORDED_SAMPLES)
def test_recording_decodes_to_the_recorded_values(group, name):
    data, values = RECORDED[group][name]
    assert SAMPLES[group][name].read(data) == values


@pytest.mark.parametrize(("group", "kinds"), [("quota", 6), ("membership", 6)])
def test_each_kind_of_message_has_a_sample(group, kinds):
    assert {name[-1] for name in SAMPLES[group] if "of kind" in name} == {str(n + 1) for n in range(kinds)}


def test_each_kind_of_replication_message_and_entry_has_a_sample():
    data = [data for name, (data, _) in RECORDED["replication"].items() if name.startswith("message")]
    assert {each[1] for each in data} == set(range(1, 11))
    entries = [data for name, (data, _) in RECORDED["replication"].items() if name.startswith("entry")]
    assert {each[33] for each in entries} == {1, 2, 3, 4}


def test_recorded_group_is_not_overwritten(tmp_path):
    wire_samples.record("sealed", tmp_path)
    before = (tmp_path / "sealed.json").read_bytes()
    with pytest.raises(FileExistsError):
        wire_samples.record("sealed", tmp_path)
    assert (tmp_path / "sealed.json").read_bytes() == before
