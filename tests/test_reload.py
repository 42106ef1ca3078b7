"""Settings changes of a running gateway: applied or rejected as a whole, and one version for each request."""

import os
import pathlib
import signal

import pytest
from test_config_corpus import GOOD, check_text
from test_core import ProxyHarness
from test_path import Running, check_headers

from anisefront.daemon import immutable_settings
from anisefront.policy.events import AttemptResult
from anisefront.policy.settings import Idempotency, Plan, RequestClass

ROOT = pathlib.Path(__file__).parent.parent


@pytest.mark.parametrize(
    ("old", "new", "words"),
    [
        ("burst 12", "burst 13", []),
        ("drain 6s", "drain 7s", []),
        ("key k-1", "key k-2", []),
        ("class view aim 1s", "class view aim 2s", []),
        ("open 20000", "open 30000", []),
        ("plan market quota large", "plan market quota large value 2", []),
        ("report", "class new aim 1s deadline 2s repeat safe\nroute GET /n class new pool stalls\nreport", []),
        ("127.0.0.1:9001", "127.0.0.1:9003", ["listen grpc"]),
        ("of 2 zone room-a", "of 2 zone room-b", ["gatekeeper zone"]),
        ("peer 1 127.0.0.1:9102", "peer 1 127.0.0.1:9103", ["peer"]),
        ('"0123456789abcdef"', '"0123456789abcdeg"', ["secret"]),
        ("/etc/stalls.json", "/etc/other.json", ["pool"]),
        ("warm-up 10s", "warm-up 11s", ["pool"]),
        ("messages 200/s", "messages 100/s", ["messages"]),
        ("[util inflight]", "[util]", ["report"]),
        ("class view aim 1s", "class first aim 1s deadline 2s repeat safe\nclass view aim 1s", ["classes"]),
    ],
)
def test_which_settings_may_change_while_running(old, new, words):
    before, after = check_text(GOOD).config, check_text(GOOD.replace(old, new, 1)).config
    faults = immutable_settings.rejected_changes(before, after)
    assert len(faults) == len(words) and all(word in fault for word, fault in zip(words, faults, strict=True)), faults


class RunningWithSettings:
    """A gateway process whose settings file can be rewritten."""

    def __init__(self, folder):
        self.path = folder / "live.conf"
        self.text = (ROOT / "examples/loopback.conf").read_text()
        self.path.write_text(self.text)
        self.running = Running(self.path)

    def write(self, text):
        version = self.running.state()["settings"]
        self.path.write_text(text)
        os.kill(self.running.process.pid, signal.SIGHUP)
        self.running.wait_for(
            lambda state: state["settings"]["version"] > version["version"]
            or state["settings"]["fault"] != version["fault"]
        )
        return self.running.state()["settings"]


def test_changes_and_rejections_of_a_running_process(tmp_path):
    live = RunningWithSettings(tmp_path)
    running = live.running
    try:
        began = check_headers(running.check(x_request_id="r1"))
        assert live.write(live.text.replace("GET /stock-view", "GET /other"))["version"] == 2
        assert running.check(path="/stock-view").denied_response.status.code == 404
        assert check_headers(running.check(path="/other", x_request_id="r2"))
        # a request that arrived before the change still gets its next attempt
        running.log(began["x-anisefront-attempt"], 503, "upstream_remote_reset")
        again = check_headers(
            running.check(path="/stock-view", x_request_id="r1", x_anisefront_attempt=began["x-anisefront-attempt"])
        )
        assert again["x-anisefront-attempt"].endswith(".1")
        bad = live.write(live.text.replace("aim 1s", "aim 1", 1))
        assert bad["version"] == 2 and "live.conf:9:22: error: class: aim: '1' has no unit of time" in bad["fault"]
        assert running.check(path="/other", x_request_id="r3").ok_response.headers
        fixed = live.write(live.text.replace("embedded 4", "embedded 5"))
        assert fixed["version"] == 2 and "'pool' can't change while running" in fixed["fault"]
        good = live.write(live.text)
        assert good["version"] == 3 and good["fault"] == "" and running.check(x_request_id="r4").ok_response.headers
    finally:
        running.stop()


def test_a_change_keeps_spent_quota_and_the_class_of_earlier_requests():
    harness = ProxyHarness(Plan("wide", 10, 5))
    for number in range(5):
        harness.check(f"r{number}", class_name="unsafe")
    assert len(harness.responses) == 5
    old = harness.request_table.controller.settings
    classes = tuple(RequestClass(kind.name, 500, 2000, 1.0, Idempotency.IDEMPOTENT) for kind in old.classes)
    harness.request_table.change_settings(
        type(old)(
            **{name: getattr(old, name) for name in old.__slots__}
            | {"classes": classes, "plans": (Plan("wide", 10, 50),)}
        )
    )
    harness.run(0.02)
    harness.check("r5", class_name="unsafe")
    assert len(harness.responses) == 5  # a larger burst does not take effect immediately
    harness.log(harness.responses[0].attempt_name, AttemptResult.RESET)
    harness.next_check(harness.responses[0].attempt_name)
    assert harness.responses[5].verdict.value == "failed"  # it arrived as unsafe
    harness.run(0.2)
    assert len(harness.responses) == 7 and harness.responses[6].verdict.value == "go"
    harness.log(harness.responses[6].attempt_name, AttemptResult.RESET)
    harness.next_check(harness.responses[6].attempt_name)
    assert harness.responses[7].verdict.value == "go"  # it arrived as safe
