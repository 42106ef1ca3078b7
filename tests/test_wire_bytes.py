"""What leaves a process is, byte for byte, what was recorded, and what was recorded is read to the same values.

The recorded data is what other versions of the program send, answer and keep. A failure here means that instances of
two versions would not understand each other, or that a client would see another answer: mend the program, not the data.
"""

import pytest
import wire_samples

SAMPLES = {group: make() for group, make in wire_samples.GROUPS.items()}
RECORDED = {group: wire_samples.recorded(group) for group in SAMPLES}
EACH = [(group, name) for group, names in RECORDED.items() for name in names]


@pytest.mark.parametrize("group", SAMPLES)
def test_each_sample_is_recorded_and_each_record_has_its_sample(group):
    assert list(SAMPLES[group]) == list(RECORDED[group])


def test_each_recorded_file_belongs_to_a_group():
    assert {path.name for path in wire_samples.FOLDER.iterdir()} == {f"{group}.json" for group in SAMPLES}


@pytest.mark.parametrize(("group", "name"), EACH)
def test_what_is_written_is_what_was_recorded(group, name):
    sample, (data, _) = SAMPLES[group][name], RECORDED[group][name]
    assert sample.same(sample.write()) == sample.same(data)


@pytest.mark.parametrize(("group", "name"), EACH)
def test_what_was_recorded_is_read_to_the_same_values(group, name):
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


def test_a_group_that_was_recorded_is_not_recorded_again(tmp_path):
    wire_samples.record("sealed", tmp_path)
    before = (tmp_path / "sealed.json").read_bytes()
    with pytest.raises(FileExistsError):
        wire_samples.record("sealed", tmp_path)
    assert (tmp_path / "sealed.json").read_bytes() == before
