"""Readings of settings that change, held against fresh loads of the same files; each shortcut, made wrong, is found."""

import errno
import fnmatch
import os
import random
import re
import sys
from dataclasses import replace
from types import SimpleNamespace

import pytest
from hypothesis import HealthCheck, given, settings
from hypothesis import strategies as st

from anisefront.config import (
    checker,
    cross_file_checks,
    definitions,
    file_record,
    incremental_checks,
    incremental_loader,
    load_attempt,
    load_steps,
    loader,
    messages,
    model,
    route_checks,
    source_files,
)
from anisefront.config.checker import CheckResult
from anisefront.config.explain import explain
from anisefront.config.model import Entry, EntryTable
from anisefront.config.incremental_loader import IncrementalLoader
from anisefront.gateway import route_table, route_trie, versions
from anisefront.gateway.key_table import KeyTable, KeyTableEdit
from anisefront.gateway.route_trie import RouteNode
from anisefront.gateway.patterns import Request
from anisefront.gateway.routing import RouteIndex
from anisefront.gateway.steps import run_to_end
from anisefront.gateway.versions import build_next_version

HEAD = [
    "language 2",
    "gatekeeper 0 of 1",
    "listen grpc 127.0.0.1:0",
    "pool p roster /r",
    "quota q rate 6/s burst 9",
    "plan a quota q",
    "customers header x-key plan a",
    "class v aim 1s deadline 5s repeat safe",
]
ROUTES = [
    "route GET /x class v pool p",
    "route GET /x/ class w pool p",
    "route [GET POST] /:s class w pool p",
    "route GET /x class w pool p when [h=1]",
    "route * /x class v pool p when [g=1]",
    "route GET /X class w pool p host h.e units 3",
    "route GET /x/* class w pool p host *.e",
    "  route GET /x/a* class v pool p units-header u",
    "route POST /x {\n  class w\n  pool p\n}",
    "route [GET,\n  POST] /y \\\n class v pool p",
    "use view [/x v]",
    "use view [/z w]",
    "use both",
    "route GET /${ROOT} class v pool p",
    "route GET /x class v pool p when [g=1]",
]
KEYS = [
    "key k1 customer c1 plan a",
    "key k2 customer c1 plan a",
    "key k3 customer c1 plan b",
    "key k1 customer c2 plan b",
    'key "k 4" customer c4 plan a',
    "key k5 plan b customer c5 # beside",
    "key ${ROOT} customer c plan a",
]
OTHERS = [
    "class w aim 1s deadline 5s repeat safe",
    "plan b quota q",
    "quota r max-out 3",
    "quota q2 rate 9/s burst 2",
    "# a comment",
    "",
    "drain 6s",
    "env ROOT default r",
    "env ROOT default s",
    "pool z embedded 2",
    "define view [path class] {\n  route GET ${path} class ${class} pool p\n}",
    "define view [path class] {\n  route PUT ${path}/${ROOT} class ${class} pool p\n}",
    "define both {\n  use view [/both v]\n  key kb customer cb plan a\n}",
]
BAD = [
    "key k6 customer c6 plan 9a",
    "key k1 customer",
    "route GET x class v pool p",
    "route GET /q class none pool p",
    "drain 6",
    "nonsense",
    "key k9 customer c9 plan none",
    "route GET /x [",
    "}",
    "{",
    'key "',
    "language 2",
    "use none",
    "env NOT_SET",
    "${",
    "class v aim 1s deadline 5s repeat safe",
    "use view",
    "class w aim 2s deadline 1s repeat safe",
    "x {\n}",
    "quota zero burst 0.5 rate 1/s",
    "gatekeeper 1 of 1",
    "secret short",
    "plan c quota none",
    "include",
    "route GET /x class v pool none",
    "class u\n  aim 1s\n  deadline 2s\n}",
    "class u {\n  aim 1s\nquota u rate 1/s",
    "route GET /a//b class v pool p",
    'include "none.conf"',
    "key \u0430k customer c plan a",
    "key [a] customer",
    "include a.conf",
    "use viw [/x v]",
]
NAMES = ["a.conf", "d/b.conf", "d/c.conf", "d/e.conf"]
INCLUDES = ['include "d/*.conf"', "include a.conf", 'include "n/*.conf"']


def drawn(chance):
    """A change, drawn uniformly, which hypothesis's own draws are not."""
    good = ROUTES + KEYS
    what = chance.choice(
        [
            "put",
            "put",
            "put",
            "bad",
            "bad",
            "copy",
            "copy",
            "drop",
            "drop",
            "write",
            "remove",
            "includes",
            "includes",
            "environment",
            "lock",
            "give up",
            "give up",
            "mend",
            "mend",
        ]
    )
    path = chance.choice(["main.conf", *NAMES, *NAMES])
    if what == "put":
        return what, path, chance.randrange(10), chance.choice(chance.choice([ROUTES, KEYS, OTHERS]))
    if what == "copy":
        return what, path, chance.choice(NAMES), chance.randrange(20)
    if what == "bad":
        return "put", path, chance.randrange(10), chance.choice(BAD)
    if what == "drop":
        return what, path, chance.randrange(20)
    if what == "write":
        return what, chance.choice(NAMES), chance.sample(good + OTHERS, chance.randrange(7))
    if what == "remove":
        return what, path
    if what == "includes":
        return what, chance.sample(INCLUDES[: chance.choice((2, 2, 3))], 2), chance.randrange(10)
    if what == "environment":
        return what, chance.choice([{}, {"ROOT": "e"}, {"NOT_SET": "n"}])
    return what, chance.choice(NAMES), chance.randrange(10), chance.choice(ROUTES + KEYS), chance.randrange(1, 150)


REQUESTS = [
    Request(method, host, path, headers)
    for method in ("GET", "POST")
    for host in ("h.e", "o")
    for path in ("/x", "/x/", "/x/ab", "/X", "/z", "/r")
    for headers in ((("x-key", "k1"),), (("g", "1"), ("h", "1"), ("x-key", "k3")))
]


class World:
    """Files in memory, and the ways to them."""

    def __init__(self):
        self.lines = {
            "main.conf": [*HEAD, *INCLUDES[:2]],
            "a.conf": [OTHERS[0], OTHERS[1], OTHERS[10], OTHERS[7], OTHERS[12], ROUTES[4], ROUTES[14]],
            "d/b.conf": [ROUTES[0], ROUTES[3], KEYS[0], KEYS[2].replace("c1", "c3")],
            "d/c.conf": [ROUTES[5], ROUTES[11], KEYS[1]],
        }
        self.environment, self.locked, self.reads = {}, False, 0
        self.good = None

    def read(self, path):
        self.reads += 1
        if path not in self.lines:
            raise FileNotFoundError(errno.ENOENT, "No such file or directory", path)
        return "\n".join(self.lines[path]).encode()

    def find(self, pattern):
        if self.locked and "/" in pattern:
            raise PermissionError(errno.EACCES, "Permission denied", "d")
        return sorted(fnmatch.filter(self.lines, pattern))

    def change(self, what, *more):
        if what == "put":
            lines = self.lines.setdefault(more[0], [])
            lines.insert(more[1] % (len(lines) + 1) if more[0] != "main.conf" else len(lines) - more[1] % 4, more[2])
        elif what == "copy" and self.lines.get(more[1]):
            self.lines.setdefault(more[0], []).append(self.lines[more[1]][more[2] % len(self.lines[more[1]])])
        elif what == "drop" and self.lines.get(more[0]):
            self.lines[more[0]].pop(more[1] % len(self.lines[more[0]]))
        elif what == "write":
            self.lines[more[0]] = list(more[1])
        elif what == "remove":
            self.lines.pop(more[0], None)
        elif what == "includes":
            rest = [line for line in self.lines.get("main.conf", ()) if line not in INCLUDES]
            at = 1 + more[1] % max(1, len(rest))
            self.lines["main.conf"] = [*rest[:at], *more[0], *rest[at:]]
        elif what == "environment":
            self.environment.clear()
            self.environment.update(more[0])
        elif what == "lock":
            self.locked = not self.locked
        elif what == "mend" and self.good is not None:
            self.lines, self.locked = {path: list(lines) for path, lines in self.good.items()}, False


def kept(own):
    """What a reading keeps, in the form of a fresh check: to be explained and shown."""
    out, paths = EntryTable(), {number: path for path, number in own._store.numbers.items()}

    class Where(loader.LoadedSources):
        def format_location(self, place):
            return file_record.format_location(paths, place)

    def entry(name, word, arguments, options):
        return Entry(name, word, arguments, options)

    for part in own._order:
        for at, route in enumerate(part.routes):
            out.add(entry("route", part.route_lexeme(at), {"route": route}, {}))
        for at, (text, key) in enumerate(zip(part.key_texts, part.keys, strict=True)):
            out.add(entry("key", part.key_lexeme(at), {"key": text}, {"customer": key.customer, "plan": key.plan}))
        for each in part.entries:
            out.add(each)
    return Where(), out


def shown(load, entries, is_fresh):
    """Every line that counts, with its place."""
    out = []
    for entry in entries.all():
        arguments = entry.arguments
        if entry.name == "route" and is_fresh:
            arguments, options = {"route": model.route(entry)}, {}
        else:
            options = entry.options
        out.append((load.format_location(entry.lexeme.location), entry.name, arguments, options))
    return sorted(out, key=lambda each: str(each[:2]))


def judged(find, requests):
    return [find(each.method, each.host, each.path, dict(each.headers)) for each in requests]


def held_against_fresh(world, own, version, versions):
    """Read anew, and hold all that comes of it against a fresh load; the version in force."""
    outcome = run_to_end(own.steps())
    load = loader.load("main.conf", world.read, world.find)
    fresh = checker.check(load, world.environment, notes=False)
    assert outcome.problems == tuple(fresh.problems)
    told = sorted(fresh.problems, key=lambda problem: -problem.severity)
    assert outcome.texts == tuple(messages.format_problem(load, problem) for problem in told)
    again = run_to_end(IncrementalLoader("main.conf", world.environment, world.read, world.find).steps())
    assert (outcome.digest, outcome.texts) == (again.digest, again.texts)
    assert (outcome.config is None) == (fresh.config is None)
    if fresh.config is None:
        return version
    world.good = {path: list(lines) for path, lines in world.lines.items()}
    assert replace(outcome.config, keys=dict(outcome.config.keys)) == fresh.config
    assert len(outcome.config.keys) == len(fresh.config.keys)
    following = run_to_end(build_next_version(version, outcome))
    assert following.number == (1 if version is None else version.number + 1)
    index = RouteIndex(fresh.config.routes)
    found = judged(following.router.table.find, REQUESTS)
    numbers = judged(index.find, REQUESTS)
    assert [None if each is None else each.route for each in found] == [
        None if number < 0 else fresh.config.routes[number] for number in numbers
    ]
    if version is not None:
        changes, old = following.changes, version.config
        assert bool(changes.keys) == (dict(old.keys) != dict(outcome.config.keys))
        assert changes.plans.added == tuple(
            each.name
            for each in outcome.config.settings.plans
            if each.name not in {plan.name for plan in old.settings.plans}
        )
    own_load, own_model = kept(own)
    for request in REQUESTS[::5]:
        assert explain(CheckResult(own_load, own_model, outcome.config), request) == explain(fresh, request)
    assert shown(own_load, own_model, False) == shown(load, fresh.entries, True)
    versions.append((following, found, dict(outcome.config.keys)))
    return following


def play(changes):
    world, versions = World(), []
    own = IncrementalLoader("main.conf", world.environment, world.read, world.find)
    version = held_against_fresh(world, own, None, versions)
    assert version is not None
    for what, *more in changes:
        if what == "give up":
            world.change("put", *more[:3])
            steps = own.steps()
            for _ in range(more[3]):
                if next(steps, steps) is steps:
                    break
            continue
        world.change(what, *more)
        version = held_against_fresh(world, own, version, versions)
    for each, found, keys in versions:  # no version was changed by those that were made of it
        assert judged(each.router.table.find, REQUESTS) == found and dict(each.config.keys) == keys


@pytest.fixture(autouse=True)
def small_steps(monkeypatch):
    """So that a reading can be given up anywhere."""
    for module, name in (
        (cross_file_checks, "ENTRIES_PER_STEP"),
        (file_record, "LINES_PER_STEP"),
        (file_record, "PLAIN_LINES_PER_LINE"),
        (load_steps, "SECTIONS_PER_STEP"),
        (route_table, "ROUTES_PER_STEP"),
        (versions, "ENTRIES_PER_STEP"),
        (source_files, "FILES_PER_STEP"),
        (route_checks, "PAIRS_PER_STEP"),
    ):
        monkeypatch.setattr(module, name, 2)


SEEDS = st.binary(min_size=8, max_size=8)  # integers would be drawn small and alike
CHANGES = st.lists(SEEDS.map(lambda seed: drawn(random.Random(seed))), min_size=1, max_size=12)


@settings(max_examples=120, deadline=None, suppress_health_check=list(HealthCheck))
@given(CHANGES)
def test_after_any_changes_all_is_as_a_fresh_load_has_it(changes):
    play(changes)


# ---- each shortcut, made wrong ------------------------------------------------------------------------------------


def same_digest(patch):
    patch.setattr(
        load_attempt,
        "hashlib",
        SimpleNamespace(
            sha256=lambda data=b"": SimpleNamespace(update=lambda more: None, digest=lambda: b"", hexdigest=lambda: "")
        ),
    )


def stays_in_any_order(before, after):
    old, new = {id(part) for part in before}, {id(part) for part in after}
    return [part for part in before if id(part) not in new], [part for part in after if id(part) not in old]


def untouched_by_what_goes(patch):
    whole = cross_file_checks.CrossFileIndex._update_route

    def spot(self, name, part, at, by):
        touched = set(self._changed_groups)
        whole(self, name, part, at, by)
        if by < 0:
            self._changed_groups = touched

    patch.setattr(cross_file_checks.CrossFileIndex, "_update_route", spot)


def only_up(patch, name):
    whole = getattr(model.UsageCounts, name)
    patch.setattr(model.UsageCounts, name, lambda self, each, by: whole(self, each, by) if by > 0 else None)


def findings_stay(patch):
    class Sticky(dict):
        def pop(self, name, default=None):
            return default

    whole = cross_file_checks.CrossFileIndex.__init__

    def begin(self):
        whole(self)
        self.problems = Sticky()

    patch.setattr(cross_file_checks.CrossFileIndex, "__init__", begin)


def doubled_goes_whole(patch):
    whole = cross_file_checks.CrossFileIndex._update_key

    def key(self, text, key, by):
        if by < 0:
            self.duplicate_keys.pop(text, None)
        whole(self, text, key, by)

    patch.setattr(cross_file_checks.CrossFileIndex, "_update_key", key)


def shards_not_copied(patch):
    whole = KeyTableEdit.__init__

    def begin(self, before):
        whole(self, before)
        self._copied = type("All", (), {"__contains__": lambda self, each: True, "clear": lambda self: None})()
        self._shards = [{} for _ in self._shards]

    patch.setattr(KeyTableEdit, "__init__", begin)


def at_the_end(placed, ranks):
    def edit(here, methods):
        out = dict(here)
        for method in methods:
            out[method] = (*out.get(method, ()), placed)
        return tuple(out.items())

    return edit


def numbers_of_one_reading(patch):
    whole = load_attempt.LoadAttempt.__init__

    def begin(self, own, files):
        whole(self, own, files)
        own.numbers, own.last_number = {}, 0

    patch.setattr(load_attempt.LoadAttempt, "__init__", begin)


GUARDS = {
    "bytes as before": same_digest,
    "definitions and values": lambda patch: patch.setattr(
        file_record.FileRecord, "is_current", lambda self, known: True
    ),
    "definitions": lambda patch: patch.setattr(
        file_record.FileRecord, "used", property(lambda self: {}, lambda self, each: 0)
    ),
    "values": lambda patch: patch.setattr(
        file_record.FileRecord, "looked_up", property(lambda self: {}, lambda self, each: 0)
    ),
    "names that are near": lambda patch: patch.setattr(
        file_record.FileRecord, "definition_names", property(lambda self: None, lambda self, each: 0)
    ),
    "files that stand elsewhere": lambda patch: patch.setattr(incremental_loader, "changed_groups", stays_in_any_order),
    "parts that stand elsewhere": lambda patch: patch.setattr(versions, "changed_groups", stays_in_any_order),
    "neighbours of what goes": untouched_by_what_goes,
    "findings that are gone": findings_stay,
    "uses of names by routes": lambda patch: only_up(patch, "count_route"),
    "uses of names by keys": lambda patch: only_up(patch, "count_key"),
    "keys that stand twice": doubled_goes_whole,
    "customers' plans": lambda patch: patch.setattr(
        cross_file_checks.CrossFileIndex, "_update_customer", lambda self, key, by: None
    ),
    "nodes are copied": lambda patch: patch.setattr(route_trie, "_owned", lambda node, owner: node or RouteNode(owner)),
    "shards are copied": shards_not_copied,
    "order at one place": lambda patch: patch.setattr(route_table, "insertion", at_the_end),
    "routes that go": lambda patch: patch.setattr(route_table, "removal", lambda part: lambda here, methods: here),
    "keys that differ": lambda patch: patch.setattr(KeyTable, "differing", lambda self, other: iter(())),
    "readings given up": lambda patch: patch.setattr(
        IncrementalLoader,
        "_index_is_inconsistent",
        property(lambda self: False, lambda self, each: None),
        raising=False,
    ),
    "files by lasting numbers": numbers_of_one_reading,
    "trees of faulty files": lambda patch: patch.setattr(file_record, "Severity", SimpleNamespace(ERROR=None)),
    "plain routes' paths": lambda patch: patch.setattr(file_record, "PATH", SimpleNamespace(read=lambda word: None)),
    "plain keys' names": lambda patch: patch.setattr(
        file_record,
        "_KEY",
        re.compile(r"([ \t]*)key[ \t]+(\S+)[ \t]+customer[ \t]+(\S+)[ \t]+plan[ \t]+(\S+)[ \t]*\r?\Z"),
    ),
    "plain lines within blocks": lambda patch: patch.setattr(file_record.Parser, "at_top_level", True),
}


@pytest.mark.parametrize("name", GUARDS)
def test_each_shortcut_made_wrong_is_found(monkeypatch, name):
    GUARDS[name](monkeypatch)
    with pytest.raises((AssertionError, KeyError)):
        play([("put", "d/b.conf", 0, "use viw [/x v]"), ("drop", "a.conf", 2)])
        for seed in range(150):
            chance = random.Random(seed)
            play([drawn(chance) for _ in range(12)])


# ---- steps, and files on disk --------------------------------------------------------------------------------------


def work_of(steps):
    """The most calls of one step, and what the steps come to."""
    calls, most = [0], 0

    def count(frame, event, argument):
        calls[0] += event in ("call", "c_call")

    while True:
        calls[0] = 0
        sys.setprofile(count)
        try:
            next(steps)
        except StopIteration as ended:
            return max(most, calls[0]), ended.value
        finally:
            sys.setprofile(None)
        most = max(most, calls[0])


MOST_CALLS = 2000  # of one step; a plain file of 2,000 lines takes some hundred thousand


def large(files):
    """An installation of 1,800 keys and 300 routes, in so many files that are included."""
    world = World()
    lines = (
        [f"key k-{n} customer c-{n} plan a" for n in range(1500)]
        + [f'key "k {n}" customer c-{n} plan a' for n in range(300)]
        + [f"route GET /a-{n}/:x class v pool p" + (" when [q=1]" if n % 3 else "") for n in range(300)]
    )
    world.lines = {"main.conf": [*HEAD, 'include "d/*.conf"']}
    for n in range(files):
        world.lines[f"d/{n:03}.conf"] = lines[n::files]
    return world, IncrementalLoader("main.conf", {}, world.read, world.find)


@pytest.mark.parametrize("files", [1, 150])
def test_no_step_does_more_than_a_little(files, monkeypatch):
    monkeypatch.undo()
    world, own = large(files)
    most, outcome = work_of(own.steps())
    assert most <= MOST_CALLS and len(outcome.config.keys) == 1800
    most, version = work_of(build_next_version(None, outcome))
    assert most <= MOST_CALLS
    for bad in (
        "",
        "key k-7 customer c-7 plan a",
        "key new customer c-9 plan none",
        "}",
        "quota z burst 1",
        "plan b quota q\nkey new customer c-9 plan b",
        "route GET /n class v pool z\npool z embedded 1",
    ):
        world.lines["d/000.conf"] = [*world.lines["d/000.conf"], bad, "route GET /new class v pool p"]
        most, outcome = work_of(own.steps())
        assert most <= MOST_CALLS and (outcome.config is None) == bool(bad and "quota z" not in bad), outcome.texts
        if outcome.config is not None:
            most, version = work_of(build_next_version(version, outcome))
            assert most <= MOST_CALLS
        del world.lines["d/000.conf"][-2:]


def test_only_files_that_changed_are_read_into_records(monkeypatch):
    made = []
    whole = load_attempt.build_file_record
    monkeypatch.setattr(
        load_attempt,
        "build_file_record",
        lambda data, digest, file, *more: made.append(file) or whole(data, digest, file, *more),
    )
    world, own = large(20)

    def records():
        made.clear()
        return run_to_end(own.steps()), len(made)

    assert records()[1] == 21
    assert records()[1] == 0
    world.lines["d/007.conf"].append("route GET /new class v pool p")
    assert records()[1] == 1
    first = world.lines["main.conf"]
    world.lines["main.conf"] = ["langage 2"]
    assert records()[0].config is None
    world.lines["main.conf"] = first  # a fault that hides all other files has none of them read again
    outcome, count = records()
    assert outcome.config is not None and count == 1
    del world.lines["d/007.conf"], world.lines["d/008.conf"]
    assert records()[1] == 0 and len(own._store.numbers) == len(own._store.records) == 19


def on_disk(folder):
    (folder / "d").mkdir()
    (folder / "main.conf").write_text("\n".join([*HEAD, 'include "d/*.conf"', ""]))
    (folder / "d/a.conf").write_text("route GET /x class v pool p\n")
    return IncrementalLoader(str(folder / "main.conf"))


def test_a_file_that_changes_while_it_is_read_is_read_again_and_then_refused(tmp_path):
    own = on_disk(tmp_path)
    assert run_to_end(own.steps()).config is not None

    def with_changes(most):
        steps, done = own.steps(), 0
        while True:
            try:
                next(steps)
            except StopIteration as ended:
                return ended.value
            frame = steps.gi_frame.f_locals.get("attempt")
            if done < most and frame is not None and len(frame.files) == 2:
                done += 1
                (tmp_path / "d/a.conf").write_text(f"route GET /x{done} class v pool p\n")

    outcome = with_changes(2)
    assert [route.pattern.path for route in outcome.config.routes] == ["/x2"]
    outcome = with_changes(1000)
    assert outcome.config is None and "a.conf' changed while it was read, 3 times - reload when" in outcome.errors[0]
    assert run_to_end(own.steps()).config is not None


def with_texts(*texts):
    """A reading of which one file has another text each time that it is read; the last stays."""
    world, left = World(), list(texts)

    def read(path):
        if path != "d/b.conf":
            return world.read(path)
        return (left.pop(0) if len(left) > 1 else left[0]).encode()

    return world, left, IncrementalLoader("main.conf", {}, read, world.find)


def paths(outcome):
    return [route.pattern.path for route in outcome.config.routes]


def test_a_message_shows_lines_of_the_bytes_that_were_judged():
    _, left, own = with_texts("nonsense", "route GET /y class v pool p")
    assert "/y" in paths(run_to_end(own.steps())) and len(left) == 1
    _, left, own = with_texts(*(f"nonsense # {n}" for n in range(7)))
    outcome = run_to_end(own.steps())
    assert outcome.config is None and "'d/b.conf' changed while it was read, 3 times" in outcome.errors[0]
    assert "nonsense # 6" in run_to_end(own.steps()).errors[0]


def test_what_is_put_in_anew_is_of_the_bytes_that_were_read():
    world, left, own = with_texts("use view [/y w]")
    assert "/y" in paths(run_to_end(own.steps()))
    world.lines["a.conf"][2] = world.lines["a.conf"][2].replace("GET", "PUT")
    left[:] = ["use view [/y w]", "route GET /z class v pool p"]
    after = paths(run_to_end(own.steps()))
    assert "/z" in after and "/y" not in after and len(left) == 1
    left[:] = ["use view [/y w]"]
    assert "/y" in paths(run_to_end(own.steps()))


def test_a_file_that_comes_while_files_are_read_is_not_missed(tmp_path):
    own, steps = on_disk(tmp_path), None
    steps = own.steps()
    for count in range(1000):
        try:
            next(steps)
        except StopIteration as ended:
            assert len(ended.value.config.routes) == 2
            return
        if count == 3:
            (tmp_path / "d/b.conf").write_text("route GET /y class v pool p\n")
    raise AssertionError("no end")


def test_files_that_vanish_and_folders_that_cannot_be_read(tmp_path, monkeypatch):
    own = on_disk(tmp_path)
    with open(tmp_path / "main.conf", "a") as file:
        file.write("include d/a.conf\n")
    assert "is included twice" in run_to_end(own.steps()).errors[0]
    (tmp_path / "d/a.conf").rename(tmp_path / "d/a.other")
    outcome = run_to_end(own.steps())
    assert "d/a.conf' can't be read: No such file" in outcome.errors[0] and "no file matches" in outcome.texts[1]
    (tmp_path / "d/a.other").rename(tmp_path / "d/a.conf")
    listed = os.listdir

    def listdir(path):
        if str(path).endswith("/d"):
            raise PermissionError(errno.EACCES, "Permission denied", path)
        return listed(path)

    monkeypatch.setattr(os, "listdir", listdir)
    assert (
        f"main.conf:9:9: error: folder '{tmp_path}/d' can't be read: Permission denied - mend the folder's rights"
        in run_to_end(own.steps()).errors[0]
    )


def test_links_that_are_turned_as_a_whole_cost_nothing_where_bytes_are_as_before(tmp_path, monkeypatch):
    for name in ("one", "two"):
        (tmp_path / name / "d").mkdir(parents=True)
        (tmp_path / name / "main.conf").write_text("\n".join([*HEAD, 'include "d/*.conf"', ""]))
        (tmp_path / name / "d/a.conf").write_text("route GET /x class v pool p\n")
    (tmp_path / "now").symlink_to(tmp_path / "one")
    own = IncrementalLoader(str(tmp_path / "now/main.conf"))
    first = run_to_end(own.steps())
    (tmp_path / "next").symlink_to(tmp_path / "two")
    os.replace(tmp_path / "next", tmp_path / "now")
    monkeypatch.setattr(load_attempt, "build_file_record", None)
    second = run_to_end(own.steps())
    assert second.config is not None and second.digest == first.digest and second.parts[0] is first.parts[0]


@pytest.mark.parametrize(
    ("line", "what", "count"),
    [("plan b quota q", "there is no plan 'a'", 1801), ("", "stands twice, first in line", 1800)],
)
def test_thousands_of_problems_are_counted_and_the_first_are_told(line, what, count, monkeypatch):
    monkeypatch.undo()
    world, own = large(12)
    assert run_to_end(own.steps()).config is not None
    if line:
        world.lines["main.conf"] = [line if each == "plan a quota q" else each for each in world.lines["main.conf"]]
    else:
        world.lines.update(
            {
                path.replace("d/", "d/1"): [each for each in lines if each.startswith("key")]
                for path, lines in world.lines.items()
                if path != "main.conf"
            }
        )
    outcome = run_to_end(own.steps())
    fresh = checker.check(loader.load("main.conf", world.read, world.find), {}, notes=False)
    assert outcome.problems == tuple(fresh.problems) and len(outcome.texts) == 1001
    assert f"{count - 1000} more problems" in outcome.problems[-1].message
    assert sum(what in problem.message for problem in outcome.problems) == 1000


@pytest.mark.parametrize("end", ["\n", "\r\n"])
def test_a_file_is_read_in_pieces_as_it_is_read_whole(monkeypatch, end):
    chance, letters = random.Random(3), ["a", "é", "\u20ac", "\U0001f40d", "\n", end, "\u2028", " ", "\ufeff"]
    for size in range(40):
        data = "".join(chance.choice(letters) for _ in range(size)).encode()
        for piece in (0, 1, 3, 7, 1000):
            monkeypatch.setattr(file_record, "DECODE_CHUNK_BYTES", piece)
            for whole in (data, b"\xef\xbb\xbf" + data):
                assert list(file_record.lines_of(whole)) == loader.decode(whole, 0)[0].split("\n")


def test_lines_are_capped_over_all_files(monkeypatch):
    monkeypatch.setattr(incremental_checks, "MAX_EXPANDED_LINES", 60)
    monkeypatch.setattr(definitions, "MAX_EXPANDED_LINES", 60)
    world, own = World(), None
    world.lines["d/b.conf"] = [f"route GET /b{n} class v pool p" for n in range(20)]
    own = IncrementalLoader("main.conf", {}, world.read, world.find)
    assert run_to_end(own.steps()).config is not None
    world.lines["d/c.conf"] = [f"route GET /c{n} class v pool p" for n in range(30)]
    outcome = run_to_end(own.steps())
    assert outcome.config is None and "definitions come to more than 60 lines" in outcome.errors[0]
    world.lines["d/c.conf"] = [
        "define a {\n use b\n use b\n}",
        "define b {\n use c\n use c\n}",
        "define c {\n use d\n use d\n}",
        "define d {\n use e\n use e\n}",
        "define e {\n}",
        "use a",
        "use a",
        "use a",
    ]
    assert "definitions come to more than 60 lines" in run_to_end(own.steps()).errors[0]
