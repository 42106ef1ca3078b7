"""Memory use by purpose: number of entries, estimated bytes and limit.

The bytes are extrapolated from a few sample entries, each with the objects that it references, so that the cost of
the estimate does not depend on the number of entries.
"""

from __future__ import annotations

import itertools
import sys
from collections.abc import Callable, Iterable, Iterator, Sequence, Sized
from dataclasses import dataclass
from enum import Enum
from typing import Any

SAMPLES = 6
MAX_SAMPLE_OBJECTS = 400
MAX_CONTAINER_OBJECTS = 50
REFRESH_INTERVAL_MS = 1000.0


@dataclass(frozen=True, slots=True)
class Purpose:
    """A purpose of memory: its entries and their maximum number (0: limited elsewhere, see the documentation)."""

    name: str
    entries: Callable[[], Sized]
    max_entries: Callable[[], int] = lambda: 0


def size(sample: Any, shared: tuple[type, ...]) -> int:
    """Return the bytes of a sample and all objects that it references.

    Instances of the shared types are excluded unless they are the sample or one of its parts; classes, enum members
    and functions are always excluded.
    """
    roots = sample if isinstance(sample, tuple) else (sample,)
    root_ids = {id(each) for each in roots}
    seen: set[int] = set()
    stack = list(roots)
    total = 0
    while stack and len(seen) < MAX_SAMPLE_OBJECTS:
        each = stack.pop()
        is_shared = isinstance(each, shared) and id(each) not in root_ids
        if id(each) in seen or is_shared or isinstance(each, type | Enum) or callable(each):
            continue
        seen.add(id(each))
        total += sys.getsizeof(each)
        stack.extend(_referenced(each))
    return total


def _referenced(value: Any) -> Iterator[Any]:
    """Yield the objects that a value references; of a container only the first ones."""
    if isinstance(value, dict):
        yield from itertools.islice(value.keys(), MAX_CONTAINER_OBJECTS)
        yield from itertools.islice(value.values(), MAX_CONTAINER_OBJECTS)
    elif isinstance(value, list | tuple | set | frozenset):
        yield from itertools.islice(value, MAX_CONTAINER_OBJECTS)
    elif not isinstance(value, str | bytes | int | float):
        for kind in type(value).__mro__:
            for name in getattr(kind, "__slots__", ()):
                if hasattr(value, name):
                    yield getattr(value, name)
        yield from getattr(value, "__dict__", {}).values()


def samples(entries: Any) -> Iterable[Any]:
    """Return the first entries of a collection, with their keys if it is a mapping."""
    return itertools.islice(entries.items() if isinstance(entries, dict) else entries, SAMPLES)


def report(purposes: Iterable[Purpose], shared: tuple[type, ...]) -> dict[str, dict[str, int]]:
    """Return number, bytes and maximum by purpose."""
    return {purpose.name: _report_of(purpose, shared) for purpose in purposes}


def _report_of(purpose: Purpose, shared: tuple[type, ...]) -> dict[str, int]:
    entries = purpose.entries()
    sizes = [size(each, shared) for each in samples(entries)]
    mean = sum(sizes) / len(sizes) if sizes else 0.0
    return {
        "count": len(entries),
        "bytes": round(sys.getsizeof(entries) + mean * len(entries)),
        "most": purpose.max_entries(),
    }


class MemoryReport:
    """The memory report, refreshed at most once a second, however often clients request the state."""

    def __init__(self, purposes: Sequence[Purpose], shared: tuple[type, ...], clock: Callable[[], float]) -> None:
        """Report these purposes; instances of the shared types are attributed to none of them."""
        self._purposes = purposes
        self._shared = shared
        self._clock = clock
        self._refreshed_ms = 0.0
        self._current: dict[str, dict[str, int]] = {}

    def current(self) -> dict[str, dict[str, int]]:
        """Return number, bytes and maximum by purpose."""
        if self._clock() - self._refreshed_ms >= REFRESH_INTERVAL_MS:
            self._refreshed_ms = self._clock()
            self._current = report(self._purposes, self._shared)
        return self._current
