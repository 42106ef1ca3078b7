"""A gatekeeper that dies between two named lines with work in hand, and keepers that are starved, by processes."""

import signal
import threading
import time

import pytest
from hands import Hands, until
from test_path import Running

# The origin kills itself when it is about to call this.
DIES = """
import os, signal, sys
from anisefront.{module} import {owner}
inner = {owner}.{name}
def dies(self, *args, **more):
    os.kill(os.getpid(), signal.SIGKILL)
{owner}.{name} = dies
from anisefront.cli.main import main
main()
"""


@pytest.fixture
def hands(tmp_path):
    made = Hands(tmp_path)
    yield made
    made.close()


def dying(hands, module, owner, name):
    """Gatekeeper 0 anew, as one that dies at this line."""
    hands.fleet.kill(0)
    hands.fleet.up[0] = Running(hands.fleet.files[0], "-c", DIES.format(module=module, owner=owner, name=name))
    hands.fleet.until(lambda seen: seen.get("alive") == 4)
    hands.open()
    until(lambda: hands.fleet.up[0].state()["servers"].get("ready") == 3)


@pytest.mark.parametrize(("path", "final"), [("/pay", "failed"), ("/order", "served"), ("/look", "served")])
@pytest.mark.parametrize(
    "line",
    [
        ("gateway.request_table", "RequestTable", "attempt_ended"),
        ("upstream.direct_requests", "DirectRequests", "deliver_response"),
    ],
)
def test_killed_after_the_worker_ran_and_before_its_client_has_the_answer(hands, line, path, final):
    """As the answer is read, and after it was read and told the module: in both the client has nothing."""
    dying(hands, *line)
    first = hands.call(0, path, "a")
    assert first.final() == "gone"
    hands.fleet.up.pop(0).process.wait()
    assert hands.workers.runs[path, "a"] == 1
    ends = [hands.call(number, path, "a").final() for number in hands.fleet.up]
    assert set(ends) == {final}, ends
    assert hands.workers.runs[path, "a"] == 1 or path == "/look"
    assert path != "/pay" or hands.workers.came[path, "a"] == 1


@pytest.mark.parametrize(("path", "final"), [("/pay", "failed"), ("/order", "served")])
def test_killed_after_the_keepers_word_and_before_the_attempt_leaves(hands, path, final):
    """The keeper knows of an attempt that never left: an unsafe one is failed, the side to err on."""
    dying(hands, "gateway.request_table", "RequestTable", "release_attempt")
    first = hands.call(0, path, "a")
    assert first.final() == "gone"
    hands.fleet.up.pop(0).process.wait()
    assert hands.call(1, path, "a").final() == final
    assert hands.workers.came[path, "a"] == (0 if path == "/pay" else 1)


def test_killed_before_its_keeper_was_told_anything_it_runs_for_its_client_alone(hands):
    dying(hands, "daemon.keepers", "Keepers", "try_protect")
    assert hands.call(0, "/pay", "a").final() == "gone"
    hands.fleet.up.pop(0).process.wait()
    assert hands.call(1, "/pay", "a").final() == "served" and hands.workers.came["/pay", "a"] == 1


def calls_through(hands, count=30):
    made = [hands.call(0, "/pay", f"k{number}") for number in range(count) if time.sleep(0.02) is None]
    return [call.final() for call in made]


def test_a_keeper_on_a_quarter_of_a_core_costs_no_request(hands):
    hands.open()
    until(lambda: hands.fleet.up[0].state()["servers"].get("ready") == 3)
    over = threading.Event()

    def starve():
        while not over.is_set():
            hands.fleet.signal(1, signal.SIGSTOP)
            time.sleep(0.075)
            hands.fleet.signal(1, signal.SIGCONT)
            time.sleep(0.025)

    thread = threading.Thread(target=starve, daemon=True)
    thread.start()
    try:
        assert calls_through(hands) == ["served"] * 30
    finally:
        over.set()
        thread.join()
    assert all(times == 1 for times in hands.workers.runs.values())


def test_keepers_whose_datagrams_come_in_bursts_cost_no_request(hands):
    hands.open()
    until(lambda: hands.fleet.up[0].state()["servers"].get("ready") == 3)
    hands.fleet.relay.delay_s = lambda sender, receiver: 0.1 - time.monotonic() % 0.1
    assert calls_through(hands) == ["served"] * 30
    assert all(times == 1 for times in hands.workers.runs.values())
