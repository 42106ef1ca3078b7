"""Readings of settings that change, held against fresh loads of the same files; each shortcut, made wrong, is found."""

import errno
import fnmatch
import random
from dataclasses import replace

from hypothesis import HealthCheck, given, settings
from hypothesis import strategies as st

from anisefront.config import checker, loader, messages, model, record
from anisefront.config.checker import Checked
from anisefront.config.explain import explain
from anisefront.config.model import Entry, Model
from anisefront.config.reading import Reading
from anisefront.core.patterns import Request
from anisefront.core.routing import RouteIndex
from anisefront.core.versions import at_once, next_steps

HEAD = ["language 2", "gatekeeper 0 of 1", "listen grpc 127.0.0.1:0", "pool p roster /r", "quota q rate 6/s burst 9",
        "plan a quota q", "customers header x-key plan a", "class v aim 1s deadline 5s repeat safe"]
ROUTES = ["route GET /x class v pool p", "route GET /x/ class w pool p", "route [GET POST] /:s class w pool p",
          "route GET /x class w pool p when [h=1]", "route * /x class v pool p when [g=1]",
          "route GET /X class w pool p host h.e units 3", "route GET /x/* class w pool p host *.e",
          "  route GET /x/a* class v pool p units-header u", "route POST /x {\n  class w\n  pool p\n}",
          "route [GET,\n  POST] /y \\\n class v pool p", "use view [/x v]", "use view [/z w]", "use both",
          "route GET /${ROOT} class v pool p"]
KEYS = ["key k1 customer c1 plan a", "key k2 customer c1 plan a", "key k3 customer c1 plan b", "key k1 customer c2 "
        "plan b", 'key "k 4" customer c4 plan a', "key k5 plan b customer c5 # beside", "key ${ROOT} customer c plan a"]
OTHERS = ["class w aim 1s deadline 5s repeat safe", "plan b quota q", "quota r max-out 3", "quota q2 rate 9/s burst 2",
          "# a comment", "", "drain 6s", "env ROOT default r", "env ROOT default s", "pool z embedded 2",
          "define view [path class] {\n  route GET ${path} class ${class} pool p\n}",
          "define view [path class] {\n  route PUT ${path}/${ROOT} class ${class} pool p\n}",
          "define both {\n  use view [/both v]\n  key kb customer cb plan a\n}"]
BAD = ["key k1 customer", "route GET x class v pool p", "route GET /q class none pool p", "drain 6", "nonsense",
       "key k9 customer c9 plan none", "route GET /x [", "}", "{", 'key "', "language 2", "use none", "env NOT_SET",
       "${", "class v aim 1s deadline 5s repeat safe", "use view", "class w aim 2s deadline 1s repeat safe", "x {\n}",
       "quota zero burst 0.5 rate 1/s", "gatekeeper 1 of 1", "secret short", "plan c quota none", "include",
       "route GET /x class v pool none",
       'include "none.conf"', "key \u0430k customer c plan a", "key [a] customer", "include a.conf", "use viw [/x v]"]
NAMES = ["a.conf", "d/b.conf", "d/c.conf", "d/e.conf"]
INCLUDES = ['include "d/*.conf"', "include a.conf", 'include "n/*.conf"']


def drawn(seed):
    """A change, from a seed: uniformly, which hypothesis's own draws are not."""
    chance = random.Random(seed)
    good = ROUTES + KEYS
    what = chance.choice(["put", "put", "put", "bad", "drop", "drop", "write", "write", "remove", "includes",
                          "environment", "lock", "give up", "mend", "mend"])
    path = chance.choice(["main.conf", *NAMES, *NAMES])
    if what == "put":
        return what, path, chance.randrange(10), chance.choice(good * 2 + OTHERS)
    if what == "bad":
        return "put", path, chance.randrange(10), chance.choice(BAD)
    if what == "drop":
        return what, path, chance.randrange(20)
    if what == "write":
        return what, chance.choice(NAMES), chance.sample(good + OTHERS, chance.randrange(7))
    if what == "remove":
        return what, path
    if what == "includes":
        return what, chance.sample(INCLUDES, 2), chance.randrange(10)
    if what == "environment":
        return what, chance.choice([{}, {"ROOT": "e"}, {"NOT_SET": "n"}])
    return what, chance.randrange(1, 40)


REQUESTS = [Request(method, host, path, headers) for method in ("GET", "POST") for host in ("h.e", "o")
            for path in ("/x", "/x/", "/x/ab", "/X", "/z", "/r") for headers in ((("x-key", "k1"),),
                                                                             (("g", "1"), ("h", "1"), ("x-key", "k3")))]


class World:
    """Files in memory, and the ways to them."""

    def __init__(self):
        self.lines = {"main.conf": [*HEAD, *INCLUDES[:2]], "a.conf": [OTHERS[0], OTHERS[1], OTHERS[10], OTHERS[7],
                                                                      OTHERS[12]],
                      "d/b.conf": [ROUTES[0], ROUTES[3], KEYS[0]], "d/c.conf": [ROUTES[5], ROUTES[11], KEYS[1]]}
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
    out, paths = Model(), {number: path for path, number in own._numbers.items()}

    class Where(loader.Load):
        def where(self, place):
            return record.where(paths, place)

    def entry(name, word, arguments, options):
        return Entry(name, word, arguments, options)
    for part in own._order:
        for at, route in enumerate(part.routes):
            out.add(entry("route", part.route_word(at), {"route": route}, {}))
        for at, (text, key) in enumerate(zip(part.texts, part.keys, strict=True)):
            out.add(entry("key", part.key_word(at), {"key": text}, {"customer": key.customer, "plan": key.plan}))
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
        out.append((load.where(entry.word.place), entry.name, arguments, options))
    return sorted(out, key=lambda each: str(each[:2]))


def judged(find, requests):
    return [find(each.method, each.host, each.path, dict(each.headers)) for each in requests]


def held_against_fresh(world, own, version, versions):
    """Read anew, and hold all that comes of it against a fresh load; the version in force."""
    outcome = at_once(own.steps())
    load = loader.load("main.conf", world.read, world.find)
    fresh = checker.check(load, world.environment, notes=False)
    assert outcome.problems == tuple(fresh.problems)
    told = sorted(fresh.problems, key=lambda problem: -problem.severity)
    assert outcome.texts == tuple(messages.text(load, problem) for problem in told)
    again = at_once(Reading("main.conf", world.environment, world.read, world.find).steps())
    assert (outcome.digest, outcome.texts) == (again.digest, again.texts)
    assert (outcome.config is None) == (fresh.config is None)
    if fresh.config is None:
        return version
    world.good = {path: list(lines) for path, lines in world.lines.items()}
    assert replace(outcome.config, keys=dict(outcome.config.keys)) == fresh.config
    assert len(outcome.config.keys) == len(fresh.config.keys)
    following = at_once(next_steps(version, outcome))
    assert following.number == (1 if version is None else version.number + 1)
    index = RouteIndex(fresh.config.routes)
    found = judged(following.router.table.find, REQUESTS)
    numbers = judged(index.find, REQUESTS)
    assert [None if each is None else each.route for each in found] == \
        [None if number < 0 else fresh.config.routes[number] for number in numbers]
    if version is not None:
        changes, old = following.changes, version.config
        assert bool(changes.keys) == (dict(old.keys) != dict(outcome.config.keys))
        assert changes.plans.added == tuple(each.name for each in outcome.config.settings.plans
                                            if each.name not in {plan.name for plan in old.settings.plans})
    own_load, own_model = kept(own)
    for request in REQUESTS[::5]:
        assert explain(Checked(own_load, own_model, outcome.config), request) == explain(fresh, request)
    assert shown(own_load, own_model, False) == shown(load, fresh.model, True)
    versions.append((following, found, dict(outcome.config.keys)))
    return following


def play(changes):
    world, versions = World(), []
    own = Reading("main.conf", world.environment, world.read, world.find)
    version = held_against_fresh(world, own, None, versions)
    assert version is not None
    for what, *more in changes:
        if what == "give up":
            steps = own.steps()
            for _ in range(more[0]):
                if next(steps, steps) is steps:
                    break
            continue
        world.change(what, *more)
        version = held_against_fresh(world, own, version, versions)
    for each, found, keys in versions:  # no version was changed by those that were made of it
        assert judged(each.router.table.find, REQUESTS) == found and dict(each.config.keys) == keys


CHANGES = st.lists(st.integers(0, 2**32 - 1).map(drawn), min_size=1, max_size=10)


@settings(max_examples=120, deadline=None, suppress_health_check=list(HealthCheck))
@given(CHANGES)
def test_after_any_changes_all_is_as_a_fresh_load_has_it(changes):
    play(changes)
