"""The settings' groundwork: good files read, broken ones named by line and column, all faults at once."""

import pathlib

import pytest
from click.testing import CliRunner

from anisefront.cli.main import main
from anisefront.config import reader
from anisefront.core.routing import Key, Route, Router, Unmapped
from anisefront.policy.interface import Repeat, Scope

ROOT = pathlib.Path(__file__).parent.parent
GOOD = (ROOT / "examples/loopback.conf").read_text()


def problems(text):
    config, found = reader.read(text, "f")
    assert (config is None) == bool(found)
    return [str(problem) for problem in found]


def test_example_reads():
    config, found = reader.read(GOOD, "f")
    assert not found and config.grpc.port == 0 and config.embedded.count == 4
    kind = config.settings.classes[1]
    assert (kind.aim_ms, kind.repeat, kind.scope) == (2000, Repeat.KEYED, Scope.ALL)
    assert kind.window_ms == 5000 - 2 * config.park_ms  # what the way may take is left out
    assert config.settings.plans[0].rate_per_s == 1e6


@pytest.mark.parametrize(("old", "new", "expected"), [
    ("class stock-view aim 1s", "clas stock-view aim 1s", "f:7:1: 'clas' is no directive - did you mean 'class'?"),
    ("aim 1s deadline 5s worth 2", "aim 1 deadline 5s worth 2", "f:7:22: '1' is no time - write 1ms or 1s"),
    ("rate 1000000/s", "rate 1000000", "f:11:16: '1000000' is no rate - write 1000000/s or 1000000/min"),
    ("class stock-view\n", "class stock-vew\n",
     "f:14:29: there is no class 'stock-vew' - did you mean 'stock-view'?"),
    ("plan wide\n", "plan wid\n", "f:12:32: there is no plan 'wid' - did you mean 'wide'?"),
    ("deadline 5s worth 2", "deadline 500ms worth 2", "f:7:34: a deadline under its aim"),
    ("drain 5s", 'drain "5s', "f:19:7: a quote that is not closed - end it with \""),
    ("drain 5s", "drain 5s\ndrain 6s", "f:20:1: 'drain' stands twice, first in line 19"),
    ("window 5s", "", "f:8:1: class: a keyed class needs 'window' - say for how long workers drop a repeat"),
    ("gatekeeper 0 of 1", "gatekeeper 1 of 1", "f:2:1: gatekeeper 1 of 1 - numbers begin at 0 and end below the count"),
    ("gatekeeper 0 of 1", "gatekeeper 0 of 2",
     "f:2:1: a fleet without 'listen peers' and 'secret' - gatekeepers share quotas by authenticated datagrams"),
    ("report util,inflight", "report util,infligt",
     "f:18:8: 'infligt' is no load report value - did you mean 'inflight'?"),
    ("127.0.0.1:0\nlisten json", "127.0.0.1\nlisten json",
     "f:3:13: '127.0.0.1' is no address - write HOST:PORT, such as 127.0.0.1:9000"),
    ("attempts 3", "attempts three", "f:17:10: 'three' is no whole number"),
    ("customer header x-api-key plan wide", "", "f:1:1: there is no 'customer' line"),
])
def test_faults_name_place_fault_and_mend(old, new, expected):
    assert old in GOOD
    assert problems(GOOD.replace(old, new, 1)) == [expected]


def test_all_faults_at_once():
    text = GOOD.replace("aim 1s", "aim 1", 1).replace("drain 5s", "dran 5s").replace("repeat safe", "repeat often")
    assert [line.split(":")[1] for line in problems(text)] == ["7", "19"]


def test_check_command(tmp_path):
    good = CliRunner().invoke(main, ["check", str(ROOT / "examples/loopback.conf")])
    assert good.exit_code == 0 and "nothing wrong" in good.output
    path = tmp_path / "bad.conf"
    path.write_text(GOOD.replace("listen", "lisen"))
    bad = CliRunner().invoke(main, ["check", str(path)])
    assert bad.exit_code == 2 and f"{path}:3:1: 'lisen' is no directive" in bad.output
    assert CliRunner().invoke(main, ["check", str(tmp_path / "none")]).exit_code == 1


ROUTER = Router((Route("GET", "/a", "x"), Route("*", "/a*", "y", units_header="x-units"),
                 Route("GET", "/a", "z", host="*.example"), Route("POST", "/ab*", "w", host="h")),
                {"x": 1000.0, "y": 2000.0, "z": 1.0, "w": 1.0}, "x-key", {"k": Key("c", "p")}, "", 8.0, "x-again")


@pytest.mark.parametrize(("method", "host", "path", "name"), [
    ("GET", "h", "/a?q=1", "x"), ("POST", "h:80", "/abc", "w"), ("POST", "g", "/abc", "y"), ("PUT", "h", "/a", "y")])
def test_routes(method, host, path, name):
    assert ROUTER.find(method, host, path).class_name == name


@pytest.mark.parametrize(("path", "key", "status"), [("/b", "k", 404), ("/a", "", 401), ("/a", "other", 403)])
def test_unmapped(path, key, status):
    with pytest.raises(Unmapped) as fault:
        ROUTER.map("GET", "h", path, {"x-key": key})
    assert fault.value.status == status


@pytest.mark.parametrize(("text", "units"), [
    ("3", 3), ("", 1), ("0", 1), ("99", 8), ("many", 8), ("nan", 8), ("-1", 8)])
def test_units_that_cannot_be_read_count_as_the_most(text, units):
    assert ROUTER.map("PUT", "h", "/a", {"x-key": "k", "x-units": text}).units == units


@pytest.mark.parametrize(("text", "ms"), [("", 2000), ("500", 500), ("9999", 2000), ("0", 2000), ("soon", 2000)])
def test_time_that_the_client_leaves(text, ms):
    mapped = ROUTER.map("PUT", "h", "/a", {"x-key": "k", "x-envoy-expected-rq-timeout-ms": text, "x-again": "1"})
    assert mapped.deadline_ms == ms and mapped.is_repeat
