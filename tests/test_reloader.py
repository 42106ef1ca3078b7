"""Changes of settings beside service: every order of signals and steps, and each outcome on a simulated loop."""

import gc
import os
import random
import weakref

import pytest
from test_config_corpus import GOOD
from twisted.internet.testing import MemoryReactorClock

from anisefront.config import incremental_loader
from anisefront.config.source_files import DiskFiles
from anisefront.config.incremental_loader import LoadOutcome
from anisefront.gateway.pending_request import PendingRequest, ReplicaRecord
from anisefront.gateway.errors import UnroutableRequestError
from anisefront.gateway.steps import run_to_end
from anisefront.gateway.versions import build_next_version
from anisefront.daemon import reload_scheduler
from anisefront.daemon.gateway_instance import GatewayInstance
from anisefront.daemon.reload_scheduler import Phase, ReloadScheduler
from anisefront.daemon.settings_source import SettingsSource
from anisefront.cluster import replication_messages
from anisefront.policy.events import Arrival

# ---- every order, on files in memory ------------------------------------------------------------------


class Loop(MemoryReactorClock):
    """A loop on a simulated clock, one turn at a time: what a call plans at once comes in the next turn."""

    def turn(self):
        self.rightNow += reload_scheduler.PAUSE_S
        for each in [each for each in self.calls if each.getTime() <= self.seconds()]:
            if each in self.calls:
                self.calls.remove(each)
                each.called = 1
                each.func(*each.args, **each.kw)


class Log:
    def __init__(self):
        self.lines = []

    def __getattr__(self, level):
        return lambda event, **more: self.lines.append((event, more))


BAD = -1


class Play:
    """One drawn order of writes, hang-ups, turns of the loop and perhaps a stop; the first broken promise, or None."""

    def __init__(self, seed):
        self.rng, self.reactor, self.log, self.content, self.ever = random.Random(seed), Loop(), Log(), 0, {0}
        self.force, self.readings = 0, 0
        play = self

        class Read:
            def __init__(self, path, environment):
                self.whole = True

            def steps(self):
                play.readings += 1
                found, was_whole, self.whole = play.content, self.whole, False
                for _ in range(3):
                    yield
                if not was_whole:  # it went on from half of a reading
                    return LoadOutcome(-2, (), (), "")
                if found == BAD:
                    raise ValueError("nobody foresaw this")
                self.whole = True
                return LoadOutcome(found, (), (), "")

        self.source = SettingsSource("", {}, Read)
        self.reloader = ReloadScheduler(
            self.reactor, self.change, lambda: False, self.log, self.raised, iter(range(10_000)).__next__
        )  # one step a turn

    def raised(self, problem):
        assert isinstance(problem, ValueError)

    def change(self):
        outcome = yield from self.source.steps()
        self.force = outcome.config

    def run(self):
        rng, hang_ups, stopped, told = self.rng, 0, None, None
        for number in range(rng.randrange(4, 30)):
            what = rng.choice(["write", "hang up", "turn", "turn", "turn", "turn", "stop"])
            if what == "write":
                self.content = number + 1 if rng.random() < 0.8 else BAD
                self.ever.add(self.content)
                told = None
            elif what == "hang up":
                self.reloader.request_reload()
                hang_ups += 1
                told = self.content
            elif what == "turn":
                self.reactor.turn()
            elif rng.random() < 0.2:
                self.reloader.stop()
                stopped = stopped or (self.force, self.readings)
        for _ in range(200):
            self.reactor.turn()
        if self.force not in self.ever - {BAD}:
            return "what stood in no file is in force"
        if stopped:
            if (self.force, self.readings) != stopped or self.reactor.getDelayedCalls():
                return "something after the stop"
            return None
        if self.readings > hang_ups:
            return "readings that nobody asked for"
        if told not in (None, BAD, self.force):
            return "the last change is not in force"
        return "it does not rest" if self.reloader.phase is not Phase.IDLE else None


def broken(rounds=1500):
    for seed in range(rounds):
        try:
            fault = Play(seed).run()
        except ValueError:
            fault = "what nobody foresaw ends the loop's call"
        if fault:
            return fault
    return None


def test_no_order_of_writes_hang_ups_turns_and_stops_breaks_a_promise():
    assert broken() is None


@pytest.mark.parametrize("key", list(reload_scheduler.TRANSITIONS), ids=lambda key: f"{key[0].name}-{key[1].name}")
def test_each_row_taken_out_is_found_out(key, monkeypatch):
    monkeypatch.delitem(reload_scheduler.TRANSITIONS, key)
    if key == (Phase.STOPPED, reload_scheduler.Step.RELOAD_REQUESTED):  # it only says why nothing is done
        play = Play(0)
        play.reloader.stop()
        play.reloader.request_reload()
        assert play.log.lines == []
    else:
        assert broken() is not None


@pytest.mark.parametrize("guard", ["whole", "raised", "dropped"])
def test_each_guard_taken_out_is_found_out(guard, monkeypatch):
    if guard == "whole":
        monkeypatch.setattr(SettingsSource, "steps", lambda self: self._loader.steps())
    elif guard == "raised":

        def raised(self, problem):
            raise problem  # as without the except clause: the change never ends

        monkeypatch.setattr(Play, "raised", raised)
    else:

        def take(self, step, inner=ReloadScheduler._advance):
            steps = self._steps
            inner(self, step)
            if step is reload_scheduler.Step.STOP and steps is not None:
                self._steps = self._change()  # what was dropped goes on

        monkeypatch.setattr(ReloadScheduler, "_advance", take)
    assert broken() is not None


def test_requests_go_first_and_settings_get_their_turn_all_the_same():
    reactor, busy, done = Loop(), [True], []

    def change():
        for number in range(3):
            done.append(number)
            yield

    one = ReloadScheduler(reactor, change, lambda: busy[0], Log(), done.append, iter(range(100)).__next__)
    one.request_reload()
    for _ in range(reload_scheduler.MAX_DEFERRALS):
        reactor.turn()
    assert done == []
    reactor.turn()
    assert done == [0]
    busy[0] = False
    reactor.turn()
    assert done == [0, 1]


# ---- a gatekeeper on a simulated loop -----------------------------------------------------------------

TEXT = GOOD.replace("0 of 2", "0 of 1").replace("peer 1", "# peer 1").replace("listen peers", "listen jsonrpc")


class Staged:
    """A gatekeeper with a file of settings and a folder of services that it includes; one step of settings a turn."""

    def __init__(self, folder, make=incremental_loader.IncrementalLoader, text=TEXT):
        self.folder, self.reactor = folder, Loop()
        (folder / "services").mkdir()
        self.path = folder / "gatekeeper.conf"
        self.path.write_text(text + 'include "services/*.conf"\n')
        self.service("one")
        self.source = SettingsSource(str(self.path), {}, make)
        self.made = GatewayInstance(
            run_to_end(build_next_version(None, run_to_end(self.source.steps()))),
            self.reactor,
            lambda: 1e6 + self.reactor.seconds() * 1000,
            source=self.source,
        )
        self.made.updates.scheduler._seconds = iter(range(1_000_000)).__next__
        self.log = Log()
        self.made.log = self.made.updates._log = self.made.updates.scheduler._log = self.log

    def service(self, name, more="class view pool stalls"):
        new = self.folder / "new"
        new.write_text(f"route GET /{name} {more}\n")
        new.replace(self.folder / f"services/{name}.conf")

    def takes(self, path):
        try:
            return self.made.authorization.router().map("GET", "h", path, {"x-api-key": "k-1"}).class_name
        except UnroutableRequestError:
            return None

    def turns(self, most=10_000):
        for _ in range(most):
            if self.made.updates.scheduler.phase in (Phase.IDLE, Phase.STOPPED):
                return self.settings()
            self.reactor.turn()
        raise AssertionError("it does not rest")

    def change(self):
        self.made.reload()
        return self.turns()

    def settings(self):
        return self.made.state()["settings"]

    def said(self, event):
        return [more for name, more in self.log.lines if name == event]


@pytest.fixture
def stage(tmp_path):
    return Staged(tmp_path)


def test_a_change_is_in_force_whole_with_its_version_and_digest(stage):
    before = stage.settings()
    stage.service("two")
    after = stage.change()
    assert stage.takes("/two") == "view" and (before["version"], after["version"]) == (1, 2)
    assert after["digest"] == stage.made.version.digest != before["digest"] and after["fault"] == ""
    assert stage.said("settings")[0]["routes_added"] == ["GET */two"]
    again = stage.change()  # nothing in the files is another
    assert again["readings"] == {"taken": 1, "same": 1}
    assert all(again[name] == after[name] for name in ("version", "digest", "fault", "reading"))


@pytest.mark.parametrize(
    ("break_it", "said"),
    [
        (lambda stage: stage.service("two", "class vieww pool stalls"), "two.conf:1:22: error"),
        (
            lambda stage: stage.path.write_text(stage.path.read_text().replace("warm-up 10s", "warm-up 11s")),
            "'pool' can't change while running",
        ),
        (lambda stage: stage.path.unlink(), "gatekeeper.conf"),
        (lambda stage: stage.path.write_text(stage.path.read_text() + 'include "gone.conf"\n'), "gone.conf"),
        (lambda stage: os.mkfifo(stage.folder / "services/pipe.conf"), "not a regular file"),
    ],
)
def test_a_bad_change_is_refused_whole_and_the_next_good_one_is_taken(stage, break_it, said):
    text = stage.path.read_text()
    stage.service("three")
    break_it(stage)
    after = stage.change()
    assert said in after["fault"] and after["version"] == 1 and stage.takes("/three") is None
    assert said in stage.said("settings_not_taken")[0]["faults"][0]
    stage.path.write_text(text)
    stage.service("two")
    (stage.folder / "services/pipe.conf").unlink(missing_ok=True)
    after = stage.change()
    assert after["fault"] == "" and after["version"] == 2 and stage.takes("/three") and stage.takes("/two")


def test_the_digest_of_files_is_the_one_of_the_version_that_they_come_to(stage):
    from click.testing import CliRunner

    from anisefront.cli.config import config

    stage.service("two")
    said = CliRunner().invoke(config, ["digest", str(stage.path)])
    assert said.exit_code == 0 and said.output.strip() == stage.change()["digest"]
    stage.service("two", "class vieww pool stalls")
    assert CliRunner().invoke(config, ["digest", str(stage.path)]).exit_code == 2


def test_the_file_of_a_service_that_is_taken_away_takes_its_routes_with_it(stage):
    stage.service("two")
    stage.change()
    (stage.folder / "services/one.conf").unlink()
    assert stage.change()["version"] == 3 and stage.takes("/one") is None and stage.takes("/two")


def test_a_folder_that_can_not_be_listed_takes_no_routes_away(stage, monkeypatch):
    inner = os.listdir

    def listed(path):  # as of a folder without rights
        if str(path).endswith("services"):
            raise PermissionError(13, "Permission denied", str(path))
        return inner(path)

    monkeypatch.setattr(os, "listdir", listed)
    after = stage.change()
    assert "Permission denied" in after["fault"] and "services" in after["fault"] and stage.takes("/one")
    monkeypatch.undo()
    stage.service("two")
    assert stage.change()["fault"] == "" and stage.takes("/two")


def writing(monkeypatch, write):
    """Whenever the file of service one has been read, something is written."""
    inner = DiskFiles.read

    def read(self, path):
        data = yield from inner(self, path)
        if path.endswith("one.conf"):
            write()
        return data

    monkeypatch.setattr(DiskFiles, "read", read)


def test_a_file_that_changes_while_it_is_read_is_read_again(stage, monkeypatch):
    writes = []

    def write():
        if not writes:
            writes.append(stage.service("one", "class order pool stalls"))
            stage.service("two")

    writing(monkeypatch, write)
    stage.service("one", "class view pool stalls # touched")
    after = stage.change()
    assert after["version"] == 2 and stage.takes("/one") == "order" and stage.takes("/two")


def test_files_that_are_written_all_the_time_are_told_so(stage, monkeypatch):
    writing(monkeypatch, lambda: stage.service("one", f"class view pool stalls # {os.urandom(4).hex()}"))
    stage.service("one", "class order pool stalls")
    after = stage.change()
    assert "one.conf' changed while it was read" in after["fault"]
    assert after["version"] == 1 and stage.takes("/one") == "view"
    monkeypatch.undo()
    assert stage.change()["fault"] == ""


def test_a_file_that_vanishes_between_its_finding_and_its_reading_costs_one_reading_more(stage, monkeypatch):
    stage.service("two")
    inner = DiskFiles.find

    def find(self, pattern):
        found = inner(self, pattern)
        (stage.folder / "services/two.conf").unlink(missing_ok=True)
        return found

    monkeypatch.setattr(DiskFiles, "find", find)
    stage.service("three")
    assert stage.change()["fault"] == "" and stage.takes("/three") and stage.takes("/two") is None


def test_hang_ups_during_a_reading_are_one_more(stage):
    stage.service("two")
    stage.made.reload()
    stage.reactor.turn()
    stage.service("two", "class order pool stalls")
    for _ in range(5):
        stage.made.reload()
    after = stage.turns()
    assert stage.takes("/two") == "order" and sum(after["readings"].values()) == 2


def test_a_hang_up_while_it_drains_and_a_drain_while_it_reads_change_nothing(stage):
    stage.service("two")
    stage.made.reload()
    stage.reactor.turn()
    stage.made.drain()
    assert stage.said("reading_dropped") and not stage.settings()["reading"]
    stage.made.reload()
    assert stage.said("hang_up_ignored")
    stage.reactor.pump([0.01] * 100)
    assert stage.settings()["version"] == 1 and stage.takes("/two") is None and stage.made._drain.is_complete


def test_what_nobody_foresaw_leaves_the_old_version_and_the_next_hang_up_works(tmp_path):
    class Raising(incremental_loader.IncrementalLoader):
        raises = False

        def steps(self):
            yield
            if Raising.raises:
                raise ZeroDivisionError("by nothing")
            return (yield from super().steps())

    stage = Staged(tmp_path, Raising)
    stage.service("two")
    Raising.raises = True
    after = stage.change()
    assert "ZeroDivisionError: by nothing" in after["fault"] and after["version"] == 1 and stage.takes("/one")
    assert "steps" in stage.said("reload_raised")[0]["trace"]
    Raising.raises = False
    after = stage.change()
    assert after["fault"] == "" and after["version"] == 2 and stage.takes("/two")


def test_a_version_that_is_no_longer_in_force_is_let_go_by_reference_counts(stage):
    gc.collect()
    gc.disable()
    try:
        gone = []
        for number in range(3):
            gone.append(weakref.ref(stage.made.version.router))
            stage.service("two", f"class view pool stalls units {number + 1}")
            stage.change()
            stage.service("bad", "class vieww pool stalls")
            stage.change()
            (stage.folder / "services/bad.conf").unlink()
        assert [each() for each in gone] == [None] * 3 and stage.settings()["version"] == 4
    finally:
        gc.enable()


def test_the_module_hears_of_its_own_settings_only_and_before_what_arrives_after_them(stage):
    stage.made.request_table.batches.run_scheduled()
    stage.service("two")
    stage.change()
    assert stage.made.request_table.batches.waiting == 0  # routes are no matter of the module's
    stage.path.write_text(stage.path.read_text().replace("rate 40/s", "rate 41/s"))
    stage.made.reload()
    while stage.settings()["version"] == 2:
        stage.reactor.turn()
    assert [type(each).__name__ for each in stage.made.request_table.batches._queues._requests] == ["Settings"]
    assert stage.made.request_table.controller.settings.plans[1].rate_per_s == 40
    stage.reactor.turn()
    assert stage.made.request_table.controller.settings.plans[1].rate_per_s == 41


def test_what_became_of_a_request_is_told_by_the_class_that_it_came_with(tmp_path):
    text = GOOD.replace("repeat keyed\n    scope cell\n    window 5s", "repeat unsafe")
    made = Staged(tmp_path, text=text + "members\nkeepers lease 1s\n")
    service, request_table = made.made.replication_service, made.made.request_table
    entry = PendingRequest(
        Arrival(1, "customer", "order", "stall", 2e6), None, 0.0, attempts=1, replica=ReplicaRecord("own", "try-1", {})
    )
    request_table.requests[1] = entry
    assert service.try_protect(entry)
    service.primary._requests.on_locked(1)
    assert service.may_release_attempt(1, 0, "worker")  # so it may have run
    made.path.write_text(made.path.read_text().replace("repeat unsafe", "repeat safe"))
    assert made.change()["version"] == 2
    name = next(iter(service.duplicates._request_numbers))
    service.duplicates._waiting_instances[name] = {1}
    service.request_completed(1)
    assert service.duplicates._outcomes[name] is replication_messages.Outcome.MAY_HAVE_EXECUTED
