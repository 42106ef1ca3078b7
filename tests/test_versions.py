"""Versions of settings and their lookup tables: structural sharing, change sets and the cost of a change."""

from dataclasses import replace
from types import SimpleNamespace

import pytest
from hypothesis import given
from hypothesis import strategies as st
from test_config import REQUESTS, ROUTES, linear_search
from test_config_corpus import GOOD, check_text
from anisefront.gateway import route_groups
from anisefront.gateway.patterns import Pattern
from anisefront.gateway.routes import Key, Route
from anisefront.gateway.key_table import KeyTable, KeyTableEdit
from anisefront.gateway.route_groups import changed_groups
from anisefront.gateway.route_table import RouteTable
from anisefront.gateway.steps import run_to_end
from anisefront.gateway.versions import build_next_version


def loaded_settings(parts, keys=None, **more):
    config = replace(
        check_text(GOOD).config,
        routes=tuple(route for part in parts for route in part),
        keys=KeyTable() if keys is None else keys,
        **more,
    )
    return SimpleNamespace(config=config, digest="", parts=tuple(part for part in parts if part))


def route(path, name="view", when=()):
    return Route(Pattern(("GET",), path, "*", when), name, "p")


def nodes(node):
    """Return all nodes of a trie."""
    if node is None:
        return []
    below = [*(node.literals or {}).values(), node.parameter]
    return [node, *(each for child in below for each in nodes(child))]


GROUPS = st.lists(ROUTES, max_size=4)


@given(
    GROUPS, st.lists(st.tuples(st.integers(0, 9), ROUTES, st.booleans()), max_size=6), st.lists(REQUESTS, max_size=8)
)
def test_an_edited_table_equals_one_built_at_once(parts, changes, requests):
    version = run_to_end(build_next_version(None, loaded_settings(parts)))
    for at, part, elsewhere in changes:
        before, parts = parts, list(parts)
        if parts and at % 2:
            taken = parts.pop(at % len(parts))
            parts.insert(at % (len(parts) + 1), taken if elsewhere else part)
        else:
            parts.insert(at % (len(parts) + 1), part)
        if len({id(each) for each in parts if each}) < sum(map(bool, parts)):
            parts = before  # a group occurs only once
            continue
        version = run_to_end(build_next_version(version, loaded_settings(parts)))
        routes = version.config.routes
        for request in requests:
            placed = version.router.table.find(request.method, request.host, request.path, dict(request.headers))
            number = linear_search(routes, request)
            assert (None if placed is None else placed.route) == (None if number < 0 else routes[number])
    empty = run_to_end(build_next_version(version, loaded_settings([])))
    assert not empty.router.table._exact and not empty.router.table._suffixes and empty.router.table._any is None


def test_nodes_off_the_edited_path_are_shared_and_empty_ones_removed():
    big = tuple(route(f"/s{n}/a/:x") for n in range(300))
    first = run_to_end(build_next_version(None, loaded_settings([big])))
    second = run_to_end(build_next_version(first, loaded_settings([big, (route("/s7/new/deep"),)])))
    old, new = nodes(first.router.table._any), nodes(second.router.table._any)
    assert len(old) == 901 and len(new) == 903
    assert len({id(node) for node in new} - {id(node) for node in old}) == 4  # root, s7, new, deep
    third = run_to_end(build_next_version(second, loaded_settings([big])))
    assert len(nodes(third.router.table._any)) == 901
    assert second.router.table.find("GET", "h", "/s7/new/deep", {}) is not None
    assert third.router.table.find("GET", "h", "/s7/new/deep", {}) is None


@given(st.permutations(range(8)), st.sets(st.integers(0, 7)), st.sets(st.integers(8, 11)))
def test_as_many_groups_as_possible_remain(order, removed_numbers, new):
    known = [(route(f"/{n}"),) for n in range(12)]
    before = [known[n] for n in range(8)]
    after = [known[n] for n in (*order[:4], *sorted(new), *order[4:]) if n not in removed_numbers]
    removed, added = changed_groups(before, after)
    staying = [part for part in before if all(part is not each for each in removed)]
    assert [part for part in after if all(part is not each for each in added)] == staying
    remaining = [n for n in order if n not in removed_numbers]
    longest = [1] * len(remaining)
    for at, number in enumerate(remaining):
        longest[at] += max((longest[n] for n in range(at) if remaining[n] < number), default=0)
    assert len(staying) == max(longest, default=0)


def test_a_change_set_names_what_changed_and_no_key():
    keys = KeyTableEdit(KeyTable())
    keys.put("secret-1", Key("ann", "stall"))
    keys.put("secret-2", Key("bo", "stall"))
    first = run_to_end(build_next_version(None, loaded_settings([(route("/a"), route("/b"))], keys.table())))
    keys.put("secret-1", Key("ann", "market"))
    keys.put("secret-2", None)
    keys.put("secret-3", Key("cy", "stall"))
    changed = loaded_settings(
        [(route("/a", "order"),), (route("/b"), route("/c", when=(("q", "1"),)))],
        keys.table(),
        drain_ms=1.0,
        most_open=7,
    )
    old = changed.config.settings
    plans = (*old.plans[:-1], replace(old.plans[-1], priority_multiplier=9.0), replace(old.plans[-1], name="new"))
    changed.config = replace(changed.config, settings=replace(old, plans=plans, max_attempts=9))
    second = run_to_end(build_next_version(first, changed))
    assert (first.number, second.number) == (1, 2)
    changes = second.changes
    assert (changes.routes.added, changes.routes.changed, changes.routes.removed) == (
        ("GET */c q=1",),
        ("GET */a",),
        (),
    )
    assert (changes.keys.added, changes.keys.changed, changes.keys.removed) == (("cy",), ("ann",), ("bo",))
    assert (changes.plans.added, changes.plans.changed) == (("new",), (old.plans[-1].name,)) and not changes.classes
    assert changes.others == ("max_attempts", "drain_ms", "most_open")
    assert "secret" not in repr(changes)
    assert dict(first.config.keys) == {"secret-1": Key("ann", "stall"), "secret-2": Key("bo", "stall")}


def test_adding_a_key_copies_one_shard():
    keys = KeyTableEdit(KeyTable())
    for number in range(5000):
        keys.put(f"k{number}", Key("c", "p"))
    first = keys.table()
    keys.put("new", Key("d", "p"))
    second = keys.table()
    assert sum(one is not other for one, other in zip(first._shards, second._shards, strict=True)) == 1
    assert (len(first), len(second), "new" in first, second.get("new")) == (5000, 5001, False, Key("d", "p"))
    assert list(first.differing(second)) == ["new"] and set(second) - set(first) == {"new"}


def test_ties_follow_the_order_of_groups_whatever_their_order_was_before():
    parts = [(route("/a", name),) for name in "uvw"]
    version = None
    for order in ((0, 1, 2), (2, 0, 1), (1, 2, 0), (2, 1), (0, 2, 1), (1,), (2, 1, 0)):
        version = run_to_end(build_next_version(version, loaded_settings([parts[n] for n in order])))
        assert version.router.table.find("GET", "h", "/a", {}).route.class_name == "uvw"[order[0]]


@pytest.mark.parametrize("name", ["longest", "ranks"])
def test_wrong_orders_are_detected(monkeypatch, name):
    if name == "longest":
        monkeypatch.setattr(route_groups, "_longest_increasing", lambda numbers: set(numbers))
    else:
        whole = RouteTable.edited
        monkeypatch.setattr(
            RouteTable,
            "edited",
            lambda self, removed, added, ranks: whole(
                self, removed, added, {each: -rank for each, rank in ranks.items()}
            ),
        )
    with pytest.raises(AssertionError):
        test_ties_follow_the_order_of_groups_whatever_their_order_was_before()
