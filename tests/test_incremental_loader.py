"""Incremental loads of changing settings equal fresh loads of the same files; each cache check is covered.

Each check that decides whether something can be reused is disabled in turn, and the comparison must fail.
"""

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
    config_builder,
    cross_file_checks,
    definitions,
    file_record,
    incremental_checks,
    incremental_loader,
    load_attempt,
    load_steps,
    loader,
    messages,
    route_checks,
    source_files,
)
from anisefront.config.checker import CheckResult
from anisefront.config.config_builder import Entry, EntryTable
from anisefront.config.explain import explain
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


def draw_change(generator):
    """Draw a change uniformly; the draws of hypothesis are not uniform."""
    valid_lines = ROUTES + KEYS
    action = generator.choice(
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
            "abandon",
            "abandon",
            "restore",
            "restore",
        ]
    )
    path = generator.choice(["main.conf", *NAMES, *NAMES])
    if action == "put":
        return action, path, generator.randrange(10), generator.choice(generator.choice([ROUTES, KEYS, OTHERS]))
    if action == "copy":
        return action, path, generator.choice(NAMES), generator.randrange(20)
    if action == "bad":
        return "put", path, generator.randrange(10), generator.choice(BAD)
    if action == "drop":
        return action, path, generator.randrange(20)
    if action == "write":
        return action, generator.choice(NAMES), generator.sample(valid_lines + OTHERS, generator.randrange(7))
    if action == "remove":
        return action, path
    if action == "includes":
        return action, generator.sample(INCLUDES[: generator.choice((2, 2, 3))], 2), generator.randrange(10)
    if action == "environment":
        return action, generator.choice([{}, {"ROOT": "e"}, {"NOT_SET": "n"}])
    return (
        action,
        generator.choice(NAMES),
        generator.randrange(10),
        generator.choice(ROUTES + KEYS),
        generator.randrange(1, 150),
    )


REQUESTS = [
    Request(method, host, path, headers)
    for method in ("GET", "POST")
    for host in ("h.e", "o")
    for path in ("/x", "/x/", "/x/ab", "/X", "/z", "/r")
    for headers in ((("x-key", "k1"),), (("g", "1"), ("h", "1"), ("x-key", "k3")))
]


class SettingsFiles:
    """Settings files in memory, with the functions that read and find them."""

    def __init__(self):
        self.lines = {
            "main.conf": [*HEAD, *INCLUDES[:2]],
            "a.conf": [OTHERS[0], OTHERS[1], OTHERS[10], OTHERS[7], OTHERS[12], ROUTES[4], ROUTES[14]],
            "d/b.conf": [ROUTES[0], ROUTES[3], KEYS[0], KEYS[2].replace("c1", "c3")],
            "d/c.conf": [ROUTES[5], ROUTES[11], KEYS[1]],
        }
        self.environment, self.locked, self.reads = {}, False, 0
        self.last_valid_lines = None

    def read(self, path):
        self.reads += 1
        if path not in self.lines:
            raise FileNotFoundError(errno.ENOENT, "No such file or directory", path)
        return "\n".join(self.lines[path]).encode()

    def find(self, pattern):
        if self.locked and "/" in pattern:
            raise PermissionError(errno.EACCES, "Permission denied", "d")
        return sorted(fnmatch.filter(self.lines, pattern))

    def change(self, action, *more):
        if action == "put":
            lines = self.lines.setdefault(more[0], [])
            lines.insert(more[1] % (len(lines) + 1) if more[0] != "main.conf" else len(lines) - more[1] % 4, more[2])
        elif action == "copy" and self.lines.get(more[1]):
            self.lines.setdefault(more[0], []).append(self.lines[more[1]][more[2] % len(self.lines[more[1]])])
        elif action == "drop" and self.lines.get(more[0]):
            self.lines[more[0]].pop(more[1] % len(self.lines[more[0]]))
        elif action == "write":
            self.lines[more[0]] = list(more[1])
        elif action == "remove":
            self.lines.pop(more[0], None)
        elif action == "includes":
            rest = [line for line in self.lines.get("main.conf", ()) if line not in INCLUDES]
            position = 1 + more[1] % max(1, len(rest))
            self.lines["main.conf"] = [*rest[:position], *more[0], *rest[position:]]
        elif action == "environment":
            self.environment.clear()
            self.environment.update(more[0])
        elif action == "lock":
            self.locked = not self.locked
        elif action == "restore" and self.last_valid_lines is not None:
            self.lines, self.locked = {path: list(lines) for path, lines in self.last_valid_lines.items()}, False


def retained_entries(incremental):
    """Return the entries that an incremental loader retains, in the form of a fresh check."""
    out, paths = EntryTable(), {number: path for path, number in incremental._store.numbers.items()}

    class FormattedLocations(loader.LoadedSources):
        def format_location(self, location):
            return file_record.format_location(paths, location)

    def entry(name, lexeme, arguments, options):
        return Entry(name, lexeme, arguments, options)

    for section in incremental._order:
        for position, route in enumerate(section.routes):
            out.add(entry("route", section.route_lexeme(position), {"route": route}, {}))
        for position, (text, key) in enumerate(zip(section.key_texts, section.keys, strict=True)):
            out.add(
                entry("key", section.key_lexeme(position), {"key": text}, {"customer": key.customer, "plan": key.plan})
            )
        for each in section.entries:
            out.add(each)
    return FormattedLocations(), out


def describe_lines(loaded, entries, is_fresh):
    """Return all effective lines with their locations."""
    out = []
    for entry in entries.all():
        arguments = entry.arguments
        if entry.name == "route" and is_fresh:
            arguments, options = {"route": config_builder.route(entry)}, {}
        else:
            options = entry.options
        out.append((loaded.format_location(entry.lexeme.location), entry.name, arguments, options))
    return sorted(out, key=lambda each: str(each[:2]))


def route_requests(find, requests):
    """Return what `find` returns for each request."""
    return [find(each.method, each.host, each.path, dict(each.headers)) for each in requests]


def compare_with_fresh_load(files_in_memory, incremental, version, versions):
    """Load incrementally, compare all results with those of a fresh load, and return the version in force."""
    outcome = run_to_end(incremental.steps())
    loaded = loader.load("main.conf", files_in_memory.read, files_in_memory.find)
    fresh = checker.check(loaded, files_in_memory.environment, notes=False)
    assert outcome.problems == tuple(fresh.problems)
    problems_by_severity = sorted(fresh.problems, key=lambda problem: -problem.severity)
    assert outcome.texts == tuple(messages.format_problem(loaded, problem) for problem in problems_by_severity)
    second_outcome = run_to_end(
        IncrementalLoader("main.conf", files_in_memory.environment, files_in_memory.read, files_in_memory.find).steps()
    )
    assert (outcome.digest, outcome.texts) == (second_outcome.digest, second_outcome.texts)
    assert (outcome.config is None) == (fresh.config is None)
    if fresh.config is None:
        return version
    files_in_memory.last_valid_lines = {path: list(lines) for path, lines in files_in_memory.lines.items()}
    assert replace(outcome.config, keys=dict(outcome.config.keys)) == fresh.config
    assert len(outcome.config.keys) == len(fresh.config.keys)
    following = run_to_end(build_next_version(version, outcome))
    assert following.number == (1 if version is None else version.number + 1)
    index = RouteIndex(fresh.config.routes)
    found = route_requests(following.router.table.find, REQUESTS)
    numbers = route_requests(index.find, REQUESTS)
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
    retained_sources, retained_table = retained_entries(incremental)
    for request in REQUESTS[::5]:
        assert explain(CheckResult(retained_sources, retained_table, outcome.config), request) == explain(
            fresh, request
        )
    assert describe_lines(retained_sources, retained_table, False) == describe_lines(loaded, fresh.entries, True)
    versions.append((following, found, dict(outcome.config.keys)))
    return following


def run_changes(changes):
    """Apply changes one by one, and compare incremental loads with fresh ones after each."""
    files_in_memory, versions = SettingsFiles(), []
    incremental = IncrementalLoader(
        "main.conf", files_in_memory.environment, files_in_memory.read, files_in_memory.find
    )
    version = compare_with_fresh_load(files_in_memory, incremental, None, versions)
    assert version is not None
    for action, *more in changes:
        if action == "abandon":
            files_in_memory.change("put", *more[:3])
            steps = incremental.steps()
            for _ in range(more[3]):
                if next(steps, steps) is steps:
                    break
            continue
        files_in_memory.change(action, *more)
        version = compare_with_fresh_load(files_in_memory, incremental, version, versions)
    for each, found, keys in versions:  # later versions must not have modified earlier ones
        assert route_requests(each.router.table.find, REQUESTS) == found and dict(each.config.keys) == keys


@pytest.fixture(autouse=True)
def small_steps(monkeypatch):
    """Make steps small, so that a load can be abandoned anywhere."""
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


SEEDS = st.binary(min_size=8, max_size=8)  # drawn integers would be small and similar
CHANGES = st.lists(SEEDS.map(lambda seed: draw_change(random.Random(seed))), min_size=1, max_size=12)


@settings(max_examples=120, deadline=None, suppress_health_check=list(HealthCheck))
@given(CHANGES)
def test_incremental_load_equals_fresh_load_after_any_changes(changes):
    run_changes(changes)


# ---- disabled cache checks ----------------------------------------------------------------------------------------


def ignore_digests(patch):
    patch.setattr(
        load_attempt,
        "hashlib",
        SimpleNamespace(
            sha256=lambda data=b"": SimpleNamespace(update=lambda more: None, digest=lambda: b"", hexdigest=lambda: "")
        ),
    )


def ignore_order(before, after):
    old, new = {id(section) for section in before}, {id(section) for section in after}
    return [section for section in before if id(section) not in new], [
        section for section in after if id(section) not in old
    ]


def skip_groups_of_removed_routes(patch):
    original = cross_file_checks.CrossFileIndex._update_route

    def patched(self, name, section, position, by):
        previously_changed = set(self._changed_groups)
        original(self, name, section, position, by)
        if by < 0:
            self._changed_groups = previously_changed

    patch.setattr(cross_file_checks.CrossFileIndex, "_update_route", patched)


def count_up_only(patch, name):
    original = getattr(config_builder.UsageCounts, name)
    patch.setattr(config_builder.UsageCounts, name, lambda self, each, by: original(self, each, by) if by > 0 else None)


def keep_old_problems(patch):
    class StickyDict(dict):
        def pop(self, name, default=None):
            return default

    original = cross_file_checks.CrossFileIndex.__init__

    def begin(self):
        original(self)
        self.problems = StickyDict()

    patch.setattr(cross_file_checks.CrossFileIndex, "__init__", begin)


def remove_all_duplicates(patch):
    original = cross_file_checks.CrossFileIndex._update_key

    def key(self, text, key, by):
        if by < 0:
            self.duplicate_keys.pop(text, None)
        original(self, text, key, by)

    patch.setattr(cross_file_checks.CrossFileIndex, "_update_key", key)


def share_shards(patch):
    original = KeyTableEdit.__init__

    def begin(self, before):
        original(self, before)
        self._copied = type("All", (), {"__contains__": lambda self, each: True, "clear": lambda self: None})()
        self._shards = [{} for _ in self._shards]

    patch.setattr(KeyTableEdit, "__init__", begin)


def insert_at_end(route_entry, ranks):
    def edit(here, methods):
        out = dict(here)
        for method in methods:
            out[method] = (*out.get(method, ()), route_entry)
        return tuple(out.items())

    return edit


def reset_file_numbers(patch):
    original = load_attempt.LoadAttempt.__init__

    def begin(self, store, files):
        original(self, store, files)
        store.numbers, store.last_number = {}, 0

    patch.setattr(load_attempt.LoadAttempt, "__init__", begin)


DISABLED_CHECKS = {
    "file digests": ignore_digests,
    "definitions and values": lambda patch: patch.setattr(
        file_record.FileRecord, "is_current", lambda self, known: True
    ),
    "definitions": lambda patch: patch.setattr(
        file_record.FileRecord, "used", property(lambda self: {}, lambda self, each: 0)
    ),
    "values": lambda patch: patch.setattr(
        file_record.FileRecord, "looked_up", property(lambda self: {}, lambda self, each: 0)
    ),
    "similar names": lambda patch: patch.setattr(
        file_record.FileRecord, "definition_names", property(lambda self: None, lambda self, each: 0)
    ),
    "reordered files": lambda patch: patch.setattr(incremental_loader, "changed_groups", ignore_order),
    "reordered sections": lambda patch: patch.setattr(versions, "changed_groups", ignore_order),
    "neighbours of removed routes": skip_groups_of_removed_routes,
    "resolved problems": keep_old_problems,
    "names used by routes": lambda patch: count_up_only(patch, "count_route"),
    "names used by keys": lambda patch: count_up_only(patch, "count_key"),
    "duplicate keys": remove_all_duplicates,
    "customers' plans": lambda patch: patch.setattr(
        cross_file_checks.CrossFileIndex, "_update_customer", lambda self, key, by: None
    ),
    "copied trie nodes": lambda patch: patch.setattr(
        route_trie, "_owned", lambda node, owner: node or RouteNode(owner)
    ),
    "copied key shards": share_shards,
    "precedence of routes": lambda patch: patch.setattr(route_table, "insertion", insert_at_end),
    "removed routes": lambda patch: patch.setattr(route_table, "removal", lambda section: lambda here, methods: here),
    "changed keys": lambda patch: patch.setattr(KeyTable, "differing", lambda self, other: iter(())),
    "abandoned loads": lambda patch: patch.setattr(
        IncrementalLoader,
        "_index_is_inconsistent",
        property(lambda self: False, lambda self, each: None),
        raising=False,
    ),
    "persistent file numbers": reset_file_numbers,
    "trees of invalid files": lambda patch: patch.setattr(file_record, "Severity", SimpleNamespace(ERROR=None)),
    "paths of plain routes": lambda patch: patch.setattr(file_record, "PATH", SimpleNamespace(read=lambda word: None)),
    "names in plain keys": lambda patch: patch.setattr(
        file_record,
        "_KEY",
        re.compile(r"([ \t]*)key[ \t]+(\S+)[ \t]+customer[ \t]+(\S+)[ \t]+plan[ \t]+(\S+)[ \t]*\r?\Z"),
    ),
    "plain lines within blocks": lambda patch: patch.setattr(file_record.Parser, "at_top_level", True),
}


@pytest.mark.parametrize("name", DISABLED_CHECKS)
def test_each_disabled_cache_check_is_detected(monkeypatch, name):
    DISABLED_CHECKS[name](monkeypatch)
    with pytest.raises((AssertionError, KeyError)):
        run_changes([("put", "d/b.conf", 0, "use viw [/x v]"), ("drop", "a.conf", 2)])
        for seed in range(150):
            generator = random.Random(seed)
            run_changes([draw_change(generator) for _ in range(12)])


# ---- steps, and files on disk --------------------------------------------------------------------------------------


def count_calls(steps):
    """Return the maximum number of calls in one step, and the result of the steps."""
    calls, max_calls = [0], 0

    def count(frame, event, argument):
        calls[0] += event in ("call", "c_call")

    while True:
        calls[0] = 0
        sys.setprofile(count)
        try:
            next(steps)
        except StopIteration as ended:
            return max(max_calls, calls[0]), ended.value
        finally:
            sys.setprofile(None)
        max_calls = max(max_calls, calls[0])


MAX_CALLS = 2000  # of one step; a plain file of 2,000 lines takes more than a hundred thousand calls


def create_large_installation(files):
    """Create an installation of 1,800 keys and 300 routes in the given number of included files."""
    files_in_memory = SettingsFiles()
    lines = (
        [f"key k-{n} customer c-{n} plan a" for n in range(1500)]
        + [f'key "k {n}" customer c-{n} plan a' for n in range(300)]
        + [f"route GET /a-{n}/:x class v pool p" + (" when [q=1]" if n % 3 else "") for n in range(300)]
    )
    files_in_memory.lines = {"main.conf": [*HEAD, 'include "d/*.conf"']}
    for n in range(files):
        files_in_memory.lines[f"d/{n:03}.conf"] = lines[n::files]
    return files_in_memory, IncrementalLoader("main.conf", {}, files_in_memory.read, files_in_memory.find)


@pytest.mark.parametrize("files", [1, 150])
def test_steps_are_short(files, monkeypatch):
    monkeypatch.undo()
    files_in_memory, incremental = create_large_installation(files)
    max_calls, outcome = count_calls(incremental.steps())
    assert max_calls <= MAX_CALLS and len(outcome.config.keys) == 1800
    max_calls, version = count_calls(build_next_version(None, outcome))
    assert max_calls <= MAX_CALLS
    for bad in (
        "",
        "key k-7 customer c-7 plan a",
        "key new customer c-9 plan none",
        "}",
        "quota z burst 1",
        "plan b quota q\nkey new customer c-9 plan b",
        "route GET /n class v pool z\npool z embedded 1",
    ):
        files_in_memory.lines["d/000.conf"] = [
            *files_in_memory.lines["d/000.conf"],
            bad,
            "route GET /new class v pool p",
        ]
        max_calls, outcome = count_calls(incremental.steps())
        assert max_calls <= MAX_CALLS and (outcome.config is None) == bool(bad and "quota z" not in bad), outcome.texts
        if outcome.config is not None:
            max_calls, version = count_calls(build_next_version(version, outcome))
            assert max_calls <= MAX_CALLS
        del files_in_memory.lines["d/000.conf"][-2:]


def test_only_changed_files_get_new_records(monkeypatch):
    made = []
    original = load_attempt.build_file_record
    monkeypatch.setattr(
        load_attempt,
        "build_file_record",
        lambda data, digest, file, *more: made.append(file) or original(data, digest, file, *more),
    )
    files_in_memory, incremental = create_large_installation(20)

    def records():
        made.clear()
        return run_to_end(incremental.steps()), len(made)

    assert records()[1] == 21
    assert records()[1] == 0
    files_in_memory.lines["d/007.conf"].append("route GET /new class v pool p")
    assert records()[1] == 1
    first = files_in_memory.lines["main.conf"]
    files_in_memory.lines["main.conf"] = ["langage 2"]
    assert records()[0].config is None
    files_in_memory.lines["main.conf"] = first  # an error that hides all other files must not evict their records
    outcome, count = records()
    assert outcome.config is not None and count == 1
    del files_in_memory.lines["d/007.conf"], files_in_memory.lines["d/008.conf"]
    assert records()[1] == 0 and len(incremental._store.numbers) == len(incremental._store.records) == 19


def write_to_disk(folder):
    (folder / "d").mkdir()
    (folder / "main.conf").write_text("\n".join([*HEAD, 'include "d/*.conf"', ""]))
    (folder / "d/a.conf").write_text("route GET /x class v pool p\n")
    return IncrementalLoader(str(folder / "main.conf"))


def test_file_that_changes_while_it_is_read_is_retried_and_then_rejected(tmp_path):
    incremental = write_to_disk(tmp_path)
    assert run_to_end(incremental.steps()).config is not None

    def load_with_changes(max_changes):
        steps, done = incremental.steps(), 0
        while True:
            try:
                next(steps)
            except StopIteration as ended:
                return ended.value
            frame = steps.gi_frame.f_locals.get("attempt")
            if done < max_changes and frame is not None and len(frame.files) == 2:
                done += 1
                (tmp_path / "d/a.conf").write_text(f"route GET /x{done} class v pool p\n")

    outcome = load_with_changes(2)
    assert [route.pattern.path for route in outcome.config.routes] == ["/x2"]
    outcome = load_with_changes(1000)
    assert outcome.config is None and "a.conf' changed while it was read, 3 times - reload when" in outcome.errors[0]
    assert run_to_end(incremental.steps()).config is not None


def create_with_changing_file(*texts):
    """Create a loader of which one file has another text each time it is read; the last text stays."""
    files_in_memory, remaining_texts = SettingsFiles(), list(texts)

    def read(path):
        if path != "d/b.conf":
            return files_in_memory.read(path)
        return (remaining_texts.pop(0) if len(remaining_texts) > 1 else remaining_texts[0]).encode()

    return files_in_memory, remaining_texts, IncrementalLoader("main.conf", {}, read, files_in_memory.find)


def paths(outcome):
    return [route.pattern.path for route in outcome.config.routes]


def test_message_shows_lines_of_the_checked_content():
    _, remaining_texts, incremental = create_with_changing_file("nonsense", "route GET /y class v pool p")
    assert "/y" in paths(run_to_end(incremental.steps())) and len(remaining_texts) == 1
    _, remaining_texts, incremental = create_with_changing_file(*(f"nonsense # {n}" for n in range(7)))
    outcome = run_to_end(incremental.steps())
    assert outcome.config is None and "'d/b.conf' changed while it was read, 3 times" in outcome.errors[0]
    assert "nonsense # 6" in run_to_end(incremental.steps()).errors[0]


def test_expansion_is_repeated_on_the_content_that_was_read():
    files_in_memory, remaining_texts, incremental = create_with_changing_file("use view [/y w]")
    assert "/y" in paths(run_to_end(incremental.steps()))
    files_in_memory.lines["a.conf"][2] = files_in_memory.lines["a.conf"][2].replace("GET", "PUT")
    remaining_texts[:] = ["use view [/y w]", "route GET /z class v pool p"]
    after = paths(run_to_end(incremental.steps()))
    assert "/z" in after and "/y" not in after and len(remaining_texts) == 1
    remaining_texts[:] = ["use view [/y w]"]
    assert "/y" in paths(run_to_end(incremental.steps()))


def test_file_created_during_a_load_is_not_missed(tmp_path):
    incremental, steps = write_to_disk(tmp_path), None
    steps = incremental.steps()
    for count in range(1000):
        try:
            next(steps)
        except StopIteration as ended:
            assert len(ended.value.config.routes) == 2
            return
        if count == 3:
            (tmp_path / "d/b.conf").write_text("route GET /y class v pool p\n")
    raise AssertionError("no end")


def test_missing_files_and_unreadable_directories(tmp_path, monkeypatch):
    incremental = write_to_disk(tmp_path)
    with open(tmp_path / "main.conf", "a") as file:
        file.write("include d/a.conf\n")
    assert "is included twice" in run_to_end(incremental.steps()).errors[0]
    (tmp_path / "d/a.conf").rename(tmp_path / "d/a.other")
    outcome = run_to_end(incremental.steps())
    assert "d/a.conf' can't be read: No such file" in outcome.errors[0] and "no file matches" in outcome.texts[1]
    (tmp_path / "d/a.other").rename(tmp_path / "d/a.conf")
    original_listdir = os.listdir

    def listdir(path):
        if str(path).endswith("/d"):
            raise PermissionError(errno.EACCES, "Permission denied", path)
        return original_listdir(path)

    monkeypatch.setattr(os, "listdir", listdir)
    assert (
        f"main.conf:9:9: error: folder '{tmp_path}/d' can't be read: Permission denied - mend the folder's rights"
        in run_to_end(incremental.steps()).errors[0]
    )


def test_switched_symlink_costs_nothing_if_contents_are_equal(tmp_path, monkeypatch):
    for name in ("one", "two"):
        (tmp_path / name / "d").mkdir(parents=True)
        (tmp_path / name / "main.conf").write_text("\n".join([*HEAD, 'include "d/*.conf"', ""]))
        (tmp_path / name / "d/a.conf").write_text("route GET /x class v pool p\n")
    (tmp_path / "now").symlink_to(tmp_path / "one")
    incremental = IncrementalLoader(str(tmp_path / "now/main.conf"))
    first = run_to_end(incremental.steps())
    (tmp_path / "next").symlink_to(tmp_path / "two")
    os.replace(tmp_path / "next", tmp_path / "now")
    monkeypatch.setattr(load_attempt, "build_file_record", None)
    second = run_to_end(incremental.steps())
    assert second.config is not None and second.digest == first.digest and second.parts[0] is first.parts[0]


@pytest.mark.parametrize(
    ("line", "what", "count"),
    [("plan b quota q", "there is no plan 'a'", 1801), ("", "stands twice, first in line", 1800)],
)
def test_thousands_of_problems_are_counted_and_the_first_are_shown(line, what, count, monkeypatch):
    monkeypatch.undo()
    files_in_memory, incremental = create_large_installation(12)
    assert run_to_end(incremental.steps()).config is not None
    if line:
        files_in_memory.lines["main.conf"] = [
            line if each == "plan a quota q" else each for each in files_in_memory.lines["main.conf"]
        ]
    else:
        files_in_memory.lines.update(
            {
                path.replace("d/", "d/1"): [each for each in lines if each.startswith("key")]
                for path, lines in files_in_memory.lines.items()
                if path != "main.conf"
            }
        )
    outcome = run_to_end(incremental.steps())
    fresh = checker.check(loader.load("main.conf", files_in_memory.read, files_in_memory.find), {}, notes=False)
    assert outcome.problems == tuple(fresh.problems) and len(outcome.texts) == 1001
    assert f"{count - 1000} more problems" in outcome.problems[-1].message
    assert sum(what in problem.message for problem in outcome.problems) == 1000


@pytest.mark.parametrize("end", ["\n", "\r\n"])
def test_decoding_in_chunks_equals_decoding_at_once(monkeypatch, end):
    generator, letters = random.Random(3), ["a", "é", "\u20ac", "\U0001f40d", "\n", end, "\u2028", " ", "\ufeff"]
    for size in range(40):
        data = "".join(generator.choice(letters) for _ in range(size)).encode()
        for piece in (0, 1, 3, 7, 1000):
            monkeypatch.setattr(file_record, "DECODE_CHUNK_BYTES", piece)
            for original in (data, b"\xef\xbb\xbf" + data):
                assert list(file_record.lines_of(original)) == loader.decode(original, 0)[0].split("\n")


def test_line_limit_counts_all_files(monkeypatch):
    monkeypatch.setattr(incremental_checks, "MAX_EXPANDED_LINES", 60)
    monkeypatch.setattr(definitions, "MAX_EXPANDED_LINES", 60)
    files_in_memory, incremental = SettingsFiles(), None
    files_in_memory.lines["d/b.conf"] = [f"route GET /b{n} class v pool p" for n in range(20)]
    incremental = IncrementalLoader("main.conf", {}, files_in_memory.read, files_in_memory.find)
    assert run_to_end(incremental.steps()).config is not None
    files_in_memory.lines["d/c.conf"] = [f"route GET /c{n} class v pool p" for n in range(30)]
    outcome = run_to_end(incremental.steps())
    assert outcome.config is None and "definitions come to more than 60 lines" in outcome.errors[0]
    files_in_memory.lines["d/c.conf"] = [
        "define a {\n use b\n use b\n}",
        "define b {\n use c\n use c\n}",
        "define c {\n use d\n use d\n}",
        "define d {\n use e\n use e\n}",
        "define e {\n}",
        "use a",
        "use a",
        "use a",
    ]
    assert "definitions come to more than 60 lines" in run_to_end(incremental.steps()).errors[0]
