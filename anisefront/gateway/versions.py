"""Versions of the settings: immutable, built in steps and activated by one assignment.

Hence no request is handled by a mix of two versions. A version shares with the previous one what did not change.
Performs no I/O: loaded settings are passed in.
"""

from __future__ import annotations

import dataclasses
from collections.abc import Generator, Iterable, Mapping
from dataclasses import dataclass
from typing import Any, Protocol

from anisefront.gateway.key_table import KeyTable
from anisefront.gateway.route_groups import changed_groups
from anisefront.gateway.route_table import RouteTable
from anisefront.gateway.routes import Key, Route, RouteGroup
from anisefront.gateway.routing import Router

ENTRIES_PER_STEP = 100  # routes or keys that are compared in one step


@dataclass(frozen=True, slots=True)
class NameChanges:
    """Names of the settings of one kind that were added, changed and removed.

    A route is named `METHODS host/path conditions`, a key by its customer, since its text is a secret.
    """

    added: tuple[str, ...] = ()
    changed: tuple[str, ...] = ()
    removed: tuple[str, ...] = ()

    def __bool__(self) -> bool:
        """Return whether there is any change."""
        return bool(self.added or self.changed or self.removed)


@dataclass(frozen=True, slots=True)
class ChangeSet:
    """What differs between two versions; `others` names the fields of other settings that differ."""

    routes: NameChanges = NameChanges()
    keys: NameChanges = NameChanges()
    plans: NameChanges = NameChanges()
    classes: NameChanges = NameChanges()
    others: tuple[str, ...] = ()


class LoadedSettings(Protocol):
    """Settings that were loaded without an error, from which a version is built.

    Attributes:
        config: A `Config`.
        digest: Digest of the files.
        parts: The routes of `config` in groups; a group that did not change is the same object as before.
    """

    config: Any
    digest: str
    parts: tuple[tuple[Route, ...], ...]


@dataclass(frozen=True, slots=True)
class Version:
    """One version of the settings; `number` counts the versions since the process started, from 1."""

    number: int
    digest: str
    config: Any
    router: Router
    changes: ChangeSet
    parts: tuple[tuple[Route, ...], ...]


def build_next_version(before: Version | None, loaded: LoadedSettings) -> Generator[None, None, Version]:
    """Build the version after `before`, or the first one if it is None, in steps.

    Settings that were loaded in between without being applied don't matter: the groups of routes are compared.
    """
    removed, added = changed_groups(() if before is None else before.parts, loaded.parts)
    ranks = {id(group): number for number, group in enumerate(loaded.parts)}
    yield
    table = RouteTable() if before is None else before.router.table
    table = yield from table.edited(removed, added, ranks)
    router = _router(loaded.config, table)
    yield
    changes = ChangeSet()
    if before is not None:
        changes = yield from _change_set(before.config, loaded.config, removed, added)
    number = 1 if before is None else before.number + 1
    return Version(number, loaded.digest, loaded.config, router, changes, loaded.parts)


def _router(config: Any, table: RouteTable) -> Router:
    return Router(
        config.routes,
        {request_class.name: request_class.deadline_ms for request_class in config.settings.classes},
        config.customer_header,
        config.keys,
        config.default_plan,
        config.settings.max_units,
        config.repeat_header,
        table=table,
    )


def _change_set(
    before: Any, after: Any, removed: Iterable[RouteGroup], added: Iterable[RouteGroup]
) -> Generator[None, None, ChangeSet]:
    routes = yield from _route_changes(removed, added)
    keys = yield from _key_changes(before.keys, after.keys)
    old = before.settings
    new = after.settings
    others = (
        *_changed_fields(old, new, ("classes", "plans")),
        *_changed_fields(before, after, ("settings", "routes", "keys")),
    )
    return ChangeSet(
        routes,
        keys,
        _name_changes(_by_name(old.plans), _by_name(new.plans)),
        _name_changes(_by_name(old.classes), _by_name(new.classes)),
        others,
    )


def _route_changes(removed: Iterable[RouteGroup], added: Iterable[RouteGroup]) -> Generator[None, None, NameChanges]:
    old = yield from _by_name_in_steps(removed)
    new = yield from _by_name_in_steps(added)
    added_names: list[str] = []
    changed_names: list[str] = []
    for number, (name, route) in enumerate(new.items()):
        if number % ENTRIES_PER_STEP == ENTRIES_PER_STEP - 1:
            yield
        before = old.pop(name, None)
        if before is None:
            added_names.append(name)
        elif before != route:
            changed_names.append(name)
    return NameChanges(tuple(added_names), tuple(changed_names), tuple(old))


def _by_name_in_steps(groups: Iterable[RouteGroup]) -> Generator[None, None, dict[str, Route]]:
    by_name: dict[str, Route] = {}
    for group in groups:
        for number, route in enumerate(group):
            if number % ENTRIES_PER_STEP == ENTRIES_PER_STEP - 1:
                yield
            pattern = route.pattern
            when = "".join(f" {name}={value}" for name, value in pattern.when)
            by_name[f"{' '.join(pattern.methods)} {pattern.host}{pattern.path}{when}"] = route
    return by_name


def _key_changes(before: Mapping[str, Key], after: Mapping[str, Key]) -> Generator[None, None, NameChanges]:
    if isinstance(before, KeyTable) and isinstance(after, KeyTable):
        texts: Iterable[str] = before.differing(after)
    else:
        texts = (text for text in {**before, **after} if before.get(text) != after.get(text))
    added: list[str] = []
    changed: list[str] = []
    removed: list[str] = []
    for number, text in enumerate(texts):
        if number % ENTRIES_PER_STEP == ENTRIES_PER_STEP - 1:
            yield
        old = before.get(text)
        new = after.get(text)
        if old is None:
            added.append(new.customer)
        elif new is None:
            removed.append(old.customer)
        else:
            changed.append(new.customer)
    return NameChanges(tuple(sorted(added)), tuple(sorted(changed)), tuple(sorted(removed)))


def _by_name(values: Iterable[Any]) -> dict[str, Any]:
    return {each.name: each for each in values}


def _name_changes(before: Mapping[str, Any], after: Mapping[str, Any]) -> NameChanges:
    return NameChanges(
        tuple(name for name in after if name not in before),
        tuple(name for name in after if name in before and before[name] != after[name]),
        tuple(name for name in before if name not in after),
    )


def _changed_fields(before: Any, after: Any, excluded: tuple[str, ...]) -> tuple[str, ...]:
    return tuple(
        each.name
        for each in dataclasses.fields(before)
        if each.name not in excluded and getattr(before, each.name) != getattr(after, each.name)
    )
