"""Reloads beside requests: random orders of signals and steps, and each outcome on a simulated event loop."""

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

# ---- random orders, on files in memory ----------------------------------------------------------------


class IterationReactor(MemoryReactorClock):
    """A reactor on a simulated clock that runs one iteration at a time; calls scheduled in it run in the next."""

    def run_iteration(self):
        self.rightNow += reload_scheduler.PAUSE_S
        for each in [each for each in self.calls if each.getTime() <= self.seconds()]:
            if each in self.calls:
                self.calls.remove(each)
                each.called = 1
                each.func(*each.args, **each.kw)


class RecordingLog:
    def __init__(self):
        self.entries = []

    def __getattr__(self, level):
        return lambda event, **more: self.entries.append((event, more))


BAD = -1


class RandomSchedule:
    """A random order of writes, reload requests, iterations and perhaps a stop; `run` returns a broken invariant."""

    def __init__(self, seed):
        self.rng, self.reactor, self.log, self.content, self.written = (
            random.Random(seed),
            IterationReactor(),
            RecordingLog(),
            0,
            {0},
        )
        self.applied, self.reads = 0, 0
        schedule = self

        class Read:
            def __init__(self, path, environment):
                self.is_complete = True

            def steps(self):
                schedule.reads += 1
                content_read, was_complete, self.is_complete = schedule.content, self.is_complete, False
                for _ in range(3):
                    yield
                if not was_complete:  # it continued from an interrupted read
                    return LoadOutcome(-2, (), (), "")
                if content_read == BAD:
                    raise ValueError("unexpected")
                self.is_complete = True
                return LoadOutcome(content_read, (), (), "")

        self.source = SettingsSource("", {}, Read)
        self.reloader = ReloadScheduler(
            self.reactor, self.change, lambda: False, self.log, self.raised, iter(range(10_000)).__next__
        )  # one step per iteration

    def raised(self, problem):
        assert isinstance(problem, ValueError)

    def change(self):
        outcome = yield from self.source.steps()
        self.applied = outcome.config

    def run(self):
        rng, reload_requests, state_at_stop, expected = self.rng, 0, None, None
        for number in range(rng.randrange(4, 30)):
            what = rng.choice(["write", "request reload", "iterate", "iterate", "iterate", "iterate", "stop"])
            if what == "write":
                self.content = number + 1 if rng.random() < 0.8 else BAD
                self.written.add(self.content)
                expected = None
            elif what == "request reload":
                self.reloader.request_reload()
                reload_requests += 1
                expected = self.content
            elif what == "iterate":
                self.reactor.run_iteration()
            elif rng.random() < 0.2:
                self.reloader.stop()
                state_at_stop = state_at_stop or (self.applied, self.reads)
        for _ in range(200):
            self.reactor.run_iteration()
        if self.applied not in self.written - {BAD}:
            return "settings that were in no file are applied"
        if state_at_stop:
            if (self.applied, self.reads) != state_at_stop or self.reactor.getDelayedCalls():
                return "a change or a timer after the stop"
            return None
        if self.reads > reload_requests:
            return "more reads than requested"
        if expected not in (None, BAD, self.applied):
            return "the last change is not applied"
        return "the scheduler does not become idle" if self.reloader.phase is not Phase.IDLE else None


def first_violation(rounds=1500):
    for seed in range(rounds):
        try:
            fault = RandomSchedule(seed).run()
        except ValueError:
            fault = "an unexpected exception reaches the event loop"
        if fault:
            return fault
    return None


def test_invariants_hold_in_any_order_of_writes_reloads_iterations_and_stops():
    assert first_violation() is None


@pytest.mark.parametrize("key", list(reload_scheduler.TRANSITIONS), ids=lambda key: f"{key[0].name}-{key[1].name}")
def test_each_row_taken_out_is_found_out(key, monkeypatch):
    monkeypatch.delitem(reload_scheduler.TRANSITIONS, key)
    if key == (Phase.STOPPED, reload_scheduler.Step.RELOAD_REQUESTED):  # it only logs why the request is ignored
        schedule = RandomSchedule(0)
        schedule.reloader.stop()
        schedule.reloader.request_reload()
        assert schedule.log.entries == []
    else:
        assert first_violation() is not None


@pytest.mark.parametrize("guard", ["whole", "raised", "dropped"])
def test_each_guard_taken_out_is_found_out(guard, monkeypatch):
    if guard == "whole":
        monkeypatch.setattr(SettingsSource, "steps", lambda self: self._loader.steps())
    elif guard == "raised":

        def raised(self, problem):
            raise problem  # as without the except clause: the reload never ends

        monkeypatch.setattr(RandomSchedule, "raised", raised)
    else:

        def take(self, step, inner=ReloadScheduler._advance):
            steps = self._steps
            inner(self, step)
            if step is reload_scheduler.Step.STOP and steps is not None:
                self._steps = self._change()  # the cancelled reload continues

        monkeypatch.setattr(ReloadScheduler, "_advance", take)
    assert first_violation() is not None


def test_requests_have_priority_and_reloads_still_progress():
    reactor, busy, done = IterationReactor(), [True], []

    def change():
        for number in range(3):
            done.append(number)
            yield

    scheduler = ReloadScheduler(
        reactor, change, lambda: busy[0], RecordingLog(), done.append, iter(range(100)).__next__
    )
    scheduler.request_reload()
    for _ in range(reload_scheduler.MAX_DEFERRALS):
        reactor.run_iteration()
    assert done == []
    reactor.run_iteration()
    assert done == [0]
    busy[0] = False
    reactor.run_iteration()
    assert done == [0, 1]


# ---- a gateway instance on a simulated event loop -----------------------------------------------------

TEXT = GOOD.replace("0 of 2", "0 of 1").replace("peer 1", "# peer 1").replace("listen peers", "listen jsonrpc")


class SimulatedInstance:
    """A gateway instance with a settings file and a folder of included services; one reload step per iteration."""

    def __init__(self, folder, make=incremental_loader.IncrementalLoader, text=TEXT):
        self.folder, self.reactor = folder, IterationReactor()
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
        self.log = RecordingLog()
        self.made.log = self.made.updates._log = self.made.updates.scheduler._log = self.log

    def service(self, name, more="class view pool stalls"):
        new = self.folder / "new"
        new.write_text(f"route GET /{name} {more}\n")
        new.replace(self.folder / f"services/{name}.conf")

    def class_of(self, path):
        try:
            return self.made.authorization.router().route("GET", "h", path, {"x-api-key": "k-1"}).class_name
        except UnroutableRequestError:
            return None

    def run_until_idle(self, most=10_000):
        for _ in range(most):
            if self.made.updates.scheduler.phase in (Phase.IDLE, Phase.STOPPED):
                return self.settings()
            self.reactor.run_iteration()
        raise AssertionError("the scheduler does not become idle")

    def change(self):
        self.made.reload()
        return self.run_until_idle()

    def settings(self):
        return self.made.state()["settings"]

    def logged(self, event):
        return [more for name, more in self.log.entries if name == event]


@pytest.fixture
def simulated(tmp_path):
    return SimulatedInstance(tmp_path)


def test_a_change_is_applied_as_a_whole_with_its_version_and_digest(simulated):
    before = simulated.settings()
    simulated.service("two")
    after = simulated.change()
    assert simulated.class_of("/two") == "view" and (before["version"], after["version"]) == (1, 2)
    assert after["digest"] == simulated.made.version.digest != before["digest"] and after["fault"] == ""
    assert simulated.logged("settings")[0]["routes_added"] == ["GET */two"]
    again = simulated.change()  # the files are unchanged
    assert again["readings"] == {"taken": 1, "same": 1}
    assert all(again[name] == after[name] for name in ("version", "digest", "fault", "reading"))


@pytest.mark.parametrize(
    ("break_it", "expected_fault"),
    [
        (lambda simulated: simulated.service("two", "class vieww pool stalls"), "two.conf:1:22: error"),
        (
            lambda simulated: simulated.path.write_text(
                simulated.path.read_text().replace("warm-up 10s", "warm-up 11s")
            ),
            "'pool' can't change while running",
        ),
        (lambda simulated: simulated.path.unlink(), "gatekeeper.conf"),
        (
            lambda simulated: simulated.path.write_text(simulated.path.read_text() + 'include "gone.conf"\n'),
            "gone.conf",
        ),
        (lambda simulated: os.mkfifo(simulated.folder / "services/pipe.conf"), "not a regular file"),
    ],
)
def test_an_invalid_change_is_rejected_as_a_whole_and_the_next_valid_one_applied(simulated, break_it, expected_fault):
    text = simulated.path.read_text()
    simulated.service("three")
    break_it(simulated)
    after = simulated.change()
    assert expected_fault in after["fault"] and after["version"] == 1 and simulated.class_of("/three") is None
    assert expected_fault in simulated.logged("settings_not_taken")[0]["faults"][0]
    simulated.path.write_text(text)
    simulated.service("two")
    (simulated.folder / "services/pipe.conf").unlink(missing_ok=True)
    after = simulated.change()
    assert (
        after["fault"] == "" and after["version"] == 2 and simulated.class_of("/three") and simulated.class_of("/two")
    )


def test_the_digest_command_prints_the_digest_of_the_version(simulated):
    from click.testing import CliRunner

    from anisefront.cli.config import config

    simulated.service("two")
    result = CliRunner().invoke(config, ["digest", str(simulated.path)])
    assert result.exit_code == 0 and result.output.strip() == simulated.change()["digest"]
    simulated.service("two", "class vieww pool stalls")
    assert CliRunner().invoke(config, ["digest", str(simulated.path)]).exit_code == 2


def test_removing_the_file_of_a_service_removes_its_routes(simulated):
    simulated.service("two")
    simulated.change()
    (simulated.folder / "services/one.conf").unlink()
    assert simulated.change()["version"] == 3 and simulated.class_of("/one") is None and simulated.class_of("/two")


def test_an_unreadable_folder_removes_no_routes(simulated, monkeypatch):
    inner = os.listdir

    def listed(path):  # as for a folder without read permission
        if str(path).endswith("services"):
            raise PermissionError(13, "Permission denied", str(path))
        return inner(path)

    monkeypatch.setattr(os, "listdir", listed)
    after = simulated.change()
    assert "Permission denied" in after["fault"] and "services" in after["fault"] and simulated.class_of("/one")
    monkeypatch.undo()
    simulated.service("two")
    assert simulated.change()["fault"] == "" and simulated.class_of("/two")


def writing(monkeypatch, write):
    """Call `write` whenever the file of service one has been read."""
    inner = DiskFiles.read

    def read(self, path):
        data = yield from inner(self, path)
        if path.endswith("one.conf"):
            write()
        return data

    monkeypatch.setattr(DiskFiles, "read", read)


def test_a_file_that_changes_while_it_is_read_is_read_again(simulated, monkeypatch):
    writes = []

    def write():
        if not writes:
            writes.append(simulated.service("one", "class order pool stalls"))
            simulated.service("two")

    writing(monkeypatch, write)
    simulated.service("one", "class view pool stalls # touched")
    after = simulated.change()
    assert after["version"] == 2 and simulated.class_of("/one") == "order" and simulated.class_of("/two")


def test_a_file_that_changes_during_every_read_is_reported(simulated, monkeypatch):
    writing(monkeypatch, lambda: simulated.service("one", f"class view pool stalls # {os.urandom(4).hex()}"))
    simulated.service("one", "class order pool stalls")
    after = simulated.change()
    assert "one.conf' changed while it was read" in after["fault"]
    assert after["version"] == 1 and simulated.class_of("/one") == "view"
    monkeypatch.undo()
    assert simulated.change()["fault"] == ""


def test_a_file_that_is_removed_before_it_is_read_causes_one_more_read(simulated, monkeypatch):
    simulated.service("two")
    inner = DiskFiles.find

    def find(self, pattern):
        found = inner(self, pattern)
        (simulated.folder / "services/two.conf").unlink(missing_ok=True)
        return found

    monkeypatch.setattr(DiskFiles, "find", find)
    simulated.service("three")
    assert simulated.change()["fault"] == "" and simulated.class_of("/three") and simulated.class_of("/two") is None


def test_reload_requests_during_a_read_cause_one_more_read(simulated):
    simulated.service("two")
    simulated.made.reload()
    simulated.reactor.run_iteration()
    simulated.service("two", "class order pool stalls")
    for _ in range(5):
        simulated.made.reload()
    after = simulated.run_until_idle()
    assert simulated.class_of("/two") == "order" and sum(after["readings"].values()) == 2


def test_a_reload_during_a_drain_and_a_drain_during_a_reload_change_nothing(simulated):
    simulated.service("two")
    simulated.made.reload()
    simulated.reactor.run_iteration()
    simulated.made.drain()
    assert simulated.logged("reading_dropped") and not simulated.settings()["reading"]
    simulated.made.reload()
    assert simulated.logged("hang_up_ignored")
    simulated.reactor.pump([0.01] * 100)
    assert (
        simulated.settings()["version"] == 1
        and simulated.class_of("/two") is None
        and simulated.made._drain.is_complete
    )


def test_an_unexpected_exception_keeps_the_version_and_the_next_reload_works(tmp_path):
    class Raising(incremental_loader.IncrementalLoader):
        raises = False

        def steps(self):
            yield
            if Raising.raises:
                raise ZeroDivisionError("by nothing")
            return (yield from super().steps())

    simulated = SimulatedInstance(tmp_path, Raising)
    simulated.service("two")
    Raising.raises = True
    after = simulated.change()
    assert "ZeroDivisionError: by nothing" in after["fault"] and after["version"] == 1 and simulated.class_of("/one")
    assert "steps" in simulated.logged("reload_raised")[0]["trace"]
    Raising.raises = False
    after = simulated.change()
    assert after["fault"] == "" and after["version"] == 2 and simulated.class_of("/two")


def test_an_outdated_version_is_freed_by_reference_counting(simulated):
    gc.collect()
    gc.disable()
    try:
        outdated_routers = []
        for number in range(3):
            outdated_routers.append(weakref.ref(simulated.made.version.router))
            simulated.service("two", f"class view pool stalls units {number + 1}")
            simulated.change()
            simulated.service("bad", "class vieww pool stalls")
            simulated.change()
            (simulated.folder / "services/bad.conf").unlink()
        assert [each() for each in outdated_routers] == [None] * 3 and simulated.settings()["version"] == 4
    finally:
        gc.enable()


def test_the_controller_receives_only_its_own_settings_and_before_later_arrivals(simulated):
    simulated.made.request_table.batches.run_scheduled()
    simulated.service("two")
    simulated.change()
    assert simulated.made.request_table.batches.waiting == 0  # the controller does not depend on routes
    simulated.path.write_text(simulated.path.read_text().replace("rate 40/s", "rate 41/s"))
    simulated.made.reload()
    while simulated.settings()["version"] == 2:
        simulated.reactor.run_iteration()
    assert [type(each).__name__ for each in simulated.made.request_table.batches._queues._requests] == ["Settings"]
    assert simulated.made.request_table.controller.settings.plans[1].rate_per_s == 40
    simulated.reactor.run_iteration()
    assert simulated.made.request_table.controller.settings.plans[1].rate_per_s == 41


def test_an_outcome_is_reported_by_the_class_that_the_request_arrived_with(tmp_path):
    text = GOOD.replace("repeat keyed\n    scope cell\n    window 5s", "repeat unsafe")
    made = SimulatedInstance(tmp_path, text=text + "members\nkeepers lease 1s\n")
    service, request_table = made.made.replication_service, made.made.request_table
    request = PendingRequest(
        Arrival(1, "customer", "order", "stall", 2e6), None, 0.0, attempts=1, replica=ReplicaRecord("own", "try-1", {})
    )
    request_table.requests[1] = request
    assert service.try_protect(request)
    service.primary._requests.on_locked(1)
    assert service.may_release_attempt(1, 0, "worker")  # so it may have been executed
    made.path.write_text(made.path.read_text().replace("repeat unsafe", "repeat safe"))
    assert made.change()["version"] == 2
    identity = next(iter(service.duplicates._request_numbers))
    service.duplicates._waiting_instances[identity] = {1}
    service.request_completed(1)
    assert service.duplicates._outcomes[identity] is replication_messages.Outcome.MAY_HAVE_EXECUTED
