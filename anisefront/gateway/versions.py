"""Settings in force as immutable versions: what changed from one to the next, and the look-ups of the next one.

A version is made in steps and put in force by one assignment, so that no request is judged under a mix. It shares with
the version before all that did not change. Pure: nothing is read here, and settings are handed in.
"""

from __future__ import annotations

import dataclasses
from collections.abc import Generator, Iterable, Mapping
from dataclasses import dataclass
from typing import Any, Protocol, TypeVar

from anisefront.gateway.routing import Key, Route, Router
from anisefront.gateway.tables import KeyTable, Part, RouteTable, parts_changed

Value = TypeVar("Value")
ENTRIES = 100  # routes or keys that are compared in one step


@dataclass(frozen=True, slots=True)
class Changed:
    """Of one kind of settings: what came, what is another now, what went. Of routes `METHODS host/path conditions`; of
    keys the customers whose they are, one for each key, since a key's text is a secret."""

    added: tuple[str, ...] = ()
    changed: tuple[str, ...] = ()
    removed: tuple[str, ...] = ()

    def __bool__(self) -> bool:
        return bool(self.added or self.changed or self.removed)


@dataclass(frozen=True, slots=True)
class ChangeSet:
    """What differs between two versions. `others`: names of fields of other settings that differ."""

    routes: Changed = Changed()
    keys: Changed = Changed()
    plans: Changed = Changed()
    classes: Changed = Changed()
    others: tuple[str, ...] = ()


class Read(Protocol):
    """What a version is made of, as a reading hands it out: settings without an error."""

    config: Any  # a Config
    digest: str
    parts: tuple[tuple[Route, ...], ...]  # config.routes in pieces; a piece that did not change is the same object


@dataclass(frozen=True, slots=True)
class Version:
    """One version of the settings. `number` counts the versions of one life, from 1."""

    number: int
    digest: str
    config: Any
    router: Router
    changes: ChangeSet
    parts: tuple[tuple[Route, ...], ...]


def at_once(steps: Generator[None, None, Value]) -> Value:
    """Run steps to their end, for a start and for a check: what they return."""
    while True:
        try:
            next(steps)
        except StopIteration as ended:
            return ended.value


def next_steps(before: Version | None, read: Read) -> Generator[None, None, Version]:
    """The version after `before` (None: the first of a life), in steps.

    What a reading came to between the two is of no matter: the two are held against each other by their parts."""
    config, settings = read.config, read.config.settings
    removed, added = parts_changed(() if before is None else before.parts, read.parts)
    ranks = {id(part): number for number, part in enumerate(read.parts)}
    yield
    table = yield from (RouteTable() if before is None else before.router.table).edited(removed, added, ranks)
    router = Router(
        config.routes,
        {kind.name: kind.deadline_ms for kind in settings.classes},
        config.customer_header,
        config.keys,
        config.default_plan,
        settings.max_units,
        config.repeat_header,
        table=table,
    )
    yield
    changes = ChangeSet()
    if before is not None:
        old, new = before.config.settings, settings
        changes = ChangeSet(
            (yield from _routes(removed, added)),
            (yield from _keys(before.config.keys, config.keys)),
            _changed(_by_name(old.plans), _by_name(new.plans)),
            _changed(_by_name(old.classes), _by_name(new.classes)),
            (*_fields(old, new, ("classes", "plans")), *_fields(before.config, config, ("settings", "routes", "keys"))),
        )
    return Version(1 if before is None else before.number + 1, read.digest, config, router, changes, read.parts)


def _routes(removed: Iterable[Part], added: Iterable[Part]) -> Generator[None, None, Changed]:
    old = yield from _by_place(removed)
    new = yield from _by_place(added)
    came, other = [], []
    for number, (name, route) in enumerate(new.items()):
        if number % ENTRIES == ENTRIES - 1:
            yield
        before = old.pop(name, None)
        if before is None:
            came.append(name)
        elif before != route:
            other.append(name)
    return Changed(tuple(came), tuple(other), tuple(old))


def _by_place(parts: Iterable[Part]) -> Generator[None, None, dict[str, Route]]:
    out: dict[str, Route] = {}
    for part in parts:
        for number, route in enumerate(part):
            if number % ENTRIES == ENTRIES - 1:
                yield
            pattern = route.pattern
            when = "".join(f" {name}={value}" for name, value in pattern.when)
            out[f"{' '.join(pattern.methods)} {pattern.host}{pattern.path}{when}"] = route
    return out


def _keys(before: Mapping[str, Key], after: Mapping[str, Key]) -> Generator[None, None, Changed]:
    if isinstance(before, KeyTable) and isinstance(after, KeyTable):
        texts: Iterable[str] = before.differing(after)
    else:
        texts = (text for text in {**before, **after} if before.get(text) != after.get(text))
    added, changed, removed = [], [], []
    for number, text in enumerate(texts):
        if number % ENTRIES == ENTRIES - 1:
            yield
        old, new = before.get(text), after.get(text)
        (added if old is None else removed if new is None else changed).append((new or old).customer)
    return Changed(tuple(sorted(added)), tuple(sorted(changed)), tuple(sorted(removed)))


def _by_name(values: Iterable[Any]) -> dict[str, Any]:
    return {each.name: each for each in values}


def _changed(before: Mapping[str, Any], after: Mapping[str, Any]) -> Changed:
    return Changed(
        tuple(name for name in after if name not in before),
        tuple(name for name in after if name in before and before[name] != after[name]),
        tuple(name for name in before if name not in after),
    )


def _fields(before: Any, after: Any, left_out: tuple[str, ...]) -> tuple[str, ...]:
    return tuple(
        each.name
        for each in dataclasses.fields(before)
        if each.name not in left_out and getattr(before, each.name) != getattr(after, each.name)
    )
